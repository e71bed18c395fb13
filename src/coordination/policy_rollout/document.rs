//! A policy: the settings of a sender that may change while it runs. None of them belongs to one
//! machine (addresses, folders, memory, descriptors).
//!
//! A setting that a policy does not name keeps the value of the sender's own settings. Policies do
//! not accumulate: each is merged with the sender's own settings alone.

use crate::config::{Door, Name};
use crate::coordination::messages::Digest;
use crate::delivery::script_hook::ScriptHook;
use crate::dispatch::statistics::MS;
use crate::{Class, DedupScope, Dispatcher, Effect, Settings};
use garde::Validate;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use toml::de::{DeTable, DeValue};
use toml::Table;

/// Longest policy, in bytes of its text. A policy has to fit into a command of the record (64 KiB)
/// together with its plan, and a snapshot of 1 MiB has to hold eight of them together with ten
/// thousand senders.
pub const MAX_TEXT_BYTES: usize = 32 * 1024;
/// Most classes that a policy may name: four times as many as any simulated site has.
const MAX_CLASSES: usize = 64;
/// Longest time that a class may set, in milliseconds: a day.
const MAX_CLASS_TIME_MS: u64 = 86_400_000;
/// Prefix of the hashed bytes, so that the digest of a policy never equals that of another kind of
/// document.
const DIGEST_PREFIX: &[u8] = b"raildeal policy 1\n";

/// A fault in the text of a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line number, from 1; `None` where it is unknown.
    pub line: Option<usize>,
    /// Path of the setting, as in `class.bulk.deadline_ms`.
    pub setting: String,
    /// Description of the problem.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.line
            .map_or(Ok(()), |line| write!(f, "line {line}: "))?;
        if self.setting.is_empty() {
            f.write_str(&self.problem)
        } else {
            write!(f, "{}: {}", self.setting, self.problem)
        }
    }
}

/// A parsed policy.
#[derive(Clone, Debug, Default, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Limits of the decision module.
    #[garde(dive)]
    pub limits: Limits,
    /// Terms of classes, by name. A sender that has no class of that name rejects the policy.
    #[garde(length(max = MAX_CLASSES), dive)]
    pub class: BTreeMap<String, ClassTerms>,
    /// Limits of admission control: who may connect and whose messages are accepted.
    #[garde(dive)]
    pub door: DoorTerms,
    /// Text of the script hook; an empty text removes the sender's own hook.
    #[garde(custom(compilable_hook))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hook: Option<String>,
    /// Line number of each setting in the text.
    #[garde(skip)]
    #[serde(skip)]
    lines: BTreeMap<String, usize>,
}

/// Compares policies by their canonical form, however their texts are written.
impl PartialEq for Document {
    fn eq(&self, other: &Document) -> bool {
        self.canonical() == other.canonical()
    }
}

/// Limits of the decision module.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Most calls in flight at once.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Most messages that may be pending.
    #[garde(range(min = 1, max = 100_000_000))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub room: Option<u32>,
    /// Most attempts for one message.
    #[garde(range(min = 1, max = 10_000))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Longest Retry-After that a client is given, in milliseconds.
    #[garde(range(max = MAX_CLASS_TIME_MS))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_retry_after_ms: Option<u64>,
}

/// Effect of a message that an endpoint receives a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum EffectTerm {
    /// The message takes effect a second time, which must not happen.
    SideEffect,
    /// The repeat is harmless.
    Pure,
    /// The repeat is dropped for `window_ms`.
    Token,
}

/// Scope within which repeats are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum ScopeTerm {
    /// In the zone of the endpoint that may have processed the first copy.
    Zone,
    /// In all zones.
    All,
}

/// Terms of a class. Times are in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct ClassTerms {
    /// Latency objective of a message.
    #[garde(range(min = 1, max = MAX_CLASS_TIME_MS), custom(not_after_deadline(&self.deadline_ms)))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub promise_ms: Option<u64>,
    /// Deadline after which a message is given up.
    #[garde(range(min = 1, max = MAX_CLASS_TIME_MS))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Effect of a repeated message.
    #[garde(skip)]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub effect: Option<EffectTerm>,
    /// Scope within which repeats are dropped.
    #[garde(skip)]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dedup_scope: Option<ScopeTerm>,
    /// Time for which repeats are dropped.
    #[garde(range(max = MAX_CLASS_TIME_MS))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub window_ms: Option<u64>,
    /// Value of a message that is delivered in time.
    #[garde(custom(in_range(0.0, 1e6)))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub points: Option<f64>,
    /// Fraction of that value that is left at the deadline.
    #[garde(custom(in_range(0.0, 1.0)))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_worth: Option<f64>,
}

/// Limits of admission control; names and meanings are those of the sender's settings file.
/// [`Door::faults`] checks the ranges, after these limits are merged with the others.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct DoorTerms {
    /// Addresses and prefixes of known clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known: Option<Vec<Name>>,
    /// Client ids and user names of known MQTT clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known_names: Option<Vec<String>>,
    /// Connection slots that only known clients may take.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reserve: Option<usize>,
    /// Most connections from one address.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub per_address: Option<usize>,
    /// Most connections from one prefix.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub per_prefix: Option<usize>,
    /// New connections from one address per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_address: Option<f64>,
    /// New connections from one prefix per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_prefix: Option<f64>,
    /// Messages that one client may send per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub messages_per_client: Option<f64>,
    /// Fraction of the message capacity that one client's messages may take.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub client_share: Option<f64>,
    /// Fraction of the message capacity that is reserved for messages of known clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known_room: Option<f64>,
    /// Fraction of the message capacity up to which messages of a class are accepted; classes that
    /// are not named keep their value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class_room: Option<BTreeMap<String, f64>>,
    /// Time that the quickest message may stay before fewer messages are kept pending, in
    /// milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
}

fn in_range(low: f64, high: f64) -> impl FnOnce(&Option<f64>, &()) -> garde::Result {
    move |value, ()| match value {
        Some(value) if !(low..=high).contains(value) => Err(garde::Error::new(format!(
            "{value} is not from {low} to {high}"
        ))),
        _ => Ok(()),
    }
}

fn not_after_deadline(
    deadline: &Option<u64>,
) -> impl FnOnce(&Option<u64>, &()) -> garde::Result + '_ {
    move |promise, ()| match (promise, deadline) {
        (Some(promise), Some(deadline)) if promise > deadline => Err(garde::Error::new(format!(
            "{promise} is later than deadline_ms, which is {deadline}"
        ))),
        _ => Ok(()),
    }
}

fn compilable_hook(text: &Option<String>, (): &()) -> garde::Result {
    match text.as_deref().filter(|text| !text.is_empty()) {
        Some(text) => ScriptHook::compile(text)
            .map(drop)
            .map_err(|e| garde::Error::new(e.to_string())),
        None => Ok(()),
    }
}

impl Document {
    /// Parses the text of a policy.
    ///
    /// # Errors
    /// All faults of the text at once, each with its line and setting.
    pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
        let table = Text::read(text, MAX_TEXT_BYTES)?;
        let mut faults = Vec::new();
        let mut document = Document {
            lines: table.lines.clone(),
            ..Document::default()
        };
        for (key, value) in &table.values {
            match (key.as_str(), value) {
                ("limits", toml::Value::Table(t)) => {
                    document.limits = table.fields(key, t, &mut faults)
                }
                ("door", toml::Value::Table(t)) => {
                    document.door = table.fields(key, t, &mut faults)
                }
                ("class", toml::Value::Table(classes)) => {
                    for (name, terms) in classes {
                        let at = format!("class.{name}");
                        match terms {
                            toml::Value::Table(t) => {
                                let terms: ClassTerms = table.fields(&at, t, &mut faults);
                                document.class.insert(name.clone(), terms);
                            }
                            _ => faults.push(table.fault(&at, "is not a table of terms")),
                        }
                    }
                }
                ("hook", toml::Value::String(script)) => document.hook = Some(script.clone()),
                ("hook", _) => faults.push(table.fault(key, "is not a string")),
                ("limits" | "class" | "door", _) => faults.push(table.fault(key, "is not a table")),
                _ => faults.push(table.fault(key, "no policy may set this")),
            }
        }
        faults.extend(table.validation_faults(&document));
        // Only those faults count that no sender's own admission settings could correct.
        let own: Vec<String> = document
            .door
            .class_room
            .iter()
            .flat_map(|m| m.keys().cloned())
            .collect();
        let mut door = document.door.over(&Door::default());
        // The sender's own settings may name known clients.
        door.known_names.push(String::new());
        faults.extend(document.faults_of_settings(door.faults(&own)));
        faults.sort();
        faults.dedup();
        document.normalize();
        match faults.is_empty() {
            true => Ok(document),
            false => Err(faults),
        }
    }

    /// Brings settings of the same meaning into the same form.
    fn normalize(&mut self) {
        if let Some(known) = &mut self.door.known {
            known.iter_mut().for_each(|name| name.0 = name.0.trunc());
            known.sort();
            known.dedup();
        }
        if let Some(names) = &mut self.door.known_names {
            names.sort();
            names.dedup();
        }
        self.door.class_room = self
            .door
            .class_room
            .take()
            .filter(|classes| !classes.is_empty());
        self.class.retain(
            |_, terms| !matches!(serde_json::to_value(terms), Ok(Value::Object(o)) if o.is_empty()),
        );
    }

    /// Returns the canonical form, which is the same for all texts of the same meaning: JSON
    /// without white space, fields in the order of their declaration, classes by name, without
    /// settings that are unset.
    pub fn canonical(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the digest of the canonical form.
    pub fn digest(&self) -> Digest {
        Sha256::new()
            .chain_update(DIGEST_PREFIX)
            .chain_update(self.canonical())
            .finalize()
            .into()
    }

    /// Returns the settings by path, with their values as JSON.
    fn settings(&self) -> BTreeMap<String, String> {
        fn flatten(path: &str, value: &Value, into: &mut BTreeMap<String, String>) {
            match value {
                Value::Object(fields) => {
                    let at = |key: &String| match path {
                        "" => key.clone(),
                        path => format!("{path}.{key}"),
                    };
                    fields
                        .iter()
                        .for_each(|(key, value)| flatten(&at(key), value, into));
                }
                other => _ = into.insert(path.into(), other.to_string()),
            }
        }
        let mut settings = BTreeMap::new();
        let value = serde_json::to_value(self).unwrap_or_default();
        flatten("", &value, &mut settings);
        settings
    }

    /// Returns the settings that differ in a later policy, with the value in each as JSON, or
    /// `None` where the policy does not set it.
    pub fn diff(&self, later: &Document) -> Vec<Difference> {
        differences(&self.settings(), &later.settings())
    }

    /// Merges the policy with a sender's own settings, the names of its classes and its admission
    /// settings. The hook is in [`Document::hook`].
    ///
    /// # Errors
    /// All reasons why this sender cannot apply the policy.
    pub fn merge_into(
        &self,
        own: &Settings,
        classes: &[String],
        door: &Door,
    ) -> Result<(Settings, Door), Vec<Fault>> {
        let mut settings = own.clone();
        let mut faults = Vec::new();
        let Limits {
            slots,
            room,
            max_attempts,
            max_retry_after_ms,
        } = self.limits;
        settings.max_in_flight_calls = slots.unwrap_or(own.max_in_flight_calls);
        settings.max_held_messages = room.unwrap_or(own.max_held_messages);
        settings.max_attempts = max_attempts.unwrap_or(own.max_attempts);
        settings.max_retry_after = max_retry_after_ms.map_or(own.max_retry_after, |ms| ms * MS);
        for (name, terms) in &self.class {
            let at = classes.iter().position(|class| class == name);
            match at.and_then(|at| settings.classes.get_mut(at)) {
                Some(class) => {
                    terms.merge_into(class);
                    if class.latency_objective > class.deadline {
                        let (latency_objective, deadline) =
                            (class.latency_objective / MS, class.deadline / MS);
                        let problem =
                            format!("wanted within {latency_objective} ms, but given up after {deadline} ms");
                        faults.push(self.fault(&format!("class.{name}"), problem));
                    }
                }
                None => faults
                    .push(self.fault(&format!("class.{name}"), "this sender has no such class")),
            }
        }
        if let Err(e) = Dispatcher::new(settings.clone(), 0) {
            let setting = match e.setting.split_once('.') {
                Some(("classes", term)) => format!("class.{term}"),
                _ => format!("limits.{}", e.setting),
            };
            faults.push(self.fault(&setting, e.problem));
        }
        let door = self.door.over(door);
        faults.extend(self.faults_of_settings(door.faults(classes)));
        match faults.is_empty() {
            true => Ok((settings, door)),
            false => Err(faults),
        }
    }

    fn fault(&self, setting: &str, problem: impl Into<String>) -> Fault {
        Fault {
            line: line_of(&self.lines, setting),
            setting: setting.into(),
            problem: problem.into(),
        }
    }

    /// Converts faults of the form `name: problem`, as settings report them.
    fn faults_of_settings(&self, texts: Vec<String>) -> Vec<Fault> {
        let split = |text: &String| match text.split_once(": ") {
            Some((setting, problem)) => self.fault(setting, problem),
            None => self.fault("", text.as_str()),
        };
        texts.iter().map(split).collect()
    }
}

impl ClassTerms {
    fn merge_into(&self, class: &mut Class) {
        let ms = |set: Option<u64>, own| set.map_or(own, |ms| ms * MS);
        class.latency_objective = ms(self.promise_ms, class.latency_objective);
        class.deadline = ms(self.deadline_ms, class.deadline);
        class.dedup_window = ms(self.window_ms, class.dedup_window);
        class.effect = match self.effect {
            Some(EffectTerm::SideEffect) => Effect::NotIdempotent,
            Some(EffectTerm::Pure) => Effect::Idempotent,
            Some(EffectTerm::Token) => Effect::IdempotentWithKey,
            None => class.effect,
        };
        class.dedup_scope = match self.dedup_scope {
            Some(ScopeTerm::Zone) => DedupScope::Zone,
            Some(ScopeTerm::All) => DedupScope::All,
            None => class.dedup_scope,
        };
        class.priority_weight = self.points.unwrap_or(class.priority_weight);
        class.late_weight = self.late_worth.unwrap_or(class.late_weight);
    }
}

impl DoorTerms {
    fn over(&self, own: &Door) -> Door {
        let mut door = own.clone();
        if let Some(known) = &self.known {
            door.known.clone_from(known);
        }
        if let Some(names) = &self.known_names {
            door.known_names.clone_from(names);
        }
        door.reserve = self.reserve.unwrap_or(own.reserve);
        door.per_address = self.per_address.or(own.per_address);
        door.per_prefix = self.per_prefix.or(own.per_prefix);
        door.rate_per_address = self.rate_per_address.or(own.rate_per_address);
        door.rate_per_prefix = self.rate_per_prefix.or(own.rate_per_prefix);
        door.messages_per_client = self.messages_per_client.or(own.messages_per_client);
        door.client_share = self.client_share.or(own.client_share);
        door.known_room = self.known_room.or(own.known_room);
        door.target_ms = self.target_ms.or(own.target_ms);
        let classes = self.class_room.iter().flatten();
        door.class_room
            .extend(classes.map(|(class, part)| (class.clone(), *part)));
        door
    }
}

/// Returns the JSON Schema of a policy (draft 2020-12).
#[cfg(feature = "tools")]
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Document)
}

/// A setting with its earlier and its later value, as JSON.
pub type Difference = (String, Option<String>, Option<String>);

/// Returns the settings that differ between two sets.
pub(in crate::coordination) fn differences(
    was: &BTreeMap<String, String>,
    is: &BTreeMap<String, String>,
) -> Vec<Difference> {
    let names: BTreeSet<&String> = was.keys().chain(is.keys()).collect();
    let lines = names
        .into_iter()
        .map(|n| (n.clone(), was.get(n).cloned(), is.get(n).cloned()));
    lines.filter(|(_, was, is)| was != is).collect()
}

/// Returns the line of a setting, or else of the innermost table that contains it.
fn line_of(lines: &BTreeMap<String, usize>, setting: &str) -> Option<usize> {
    let mut at = Some(setting);
    while let Some(path) = at {
        if let Some(line) = lines.get(path) {
            return Some(*line);
        }
        at = path.rsplit_once('.').map(|(outer, _)| outer);
    }
    None
}

/// The values of a TOML text, and the line of each.
pub(in crate::coordination) struct Text {
    pub(in crate::coordination) values: Table,
    pub(in crate::coordination) lines: BTreeMap<String, usize>,
}

impl Text {
    /// Parses a text of at most `most` bytes; all syntax errors are reported at once.
    pub(in crate::coordination) fn read(text: &str, most: usize) -> Result<Text, Vec<Fault>> {
        if text.len() > most {
            let problem = format!("{} bytes; at most {most} may be used", text.len());
            return Err(vec![Fault {
                line: None,
                setting: String::new(),
                problem,
            }]);
        }
        let line_at = |at: usize| {
            text.as_bytes()[..at.min(text.len())]
                .iter()
                .filter(|b| **b == b'\n')
                .count()
                + 1
        };
        let (read, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            let fault = |e: &toml::de::Error| Fault {
                line: e.span().map(|span| line_at(span.start)),
                setting: String::new(),
                problem: e.message().trim().replace('\n', "; "),
            };
            return Err(errors.iter().map(fault).collect());
        }
        let mut lines = BTreeMap::new();
        collect_lines("", read.get_ref(), &line_at, &mut lines);
        let whole = |e: toml::de::Error| Fault {
            line: e.span().map(|span| line_at(span.start)),
            setting: String::new(),
            problem: e.message().into(),
        };
        Ok(Text {
            values: text.parse().map_err(|e| vec![whole(e)])?,
            lines,
        })
    }

    pub(in crate::coordination) fn fault(
        &self,
        setting: &str,
        problem: impl Into<String>,
    ) -> Fault {
        Fault {
            line: line_of(&self.lines, setting),
            setting: setting.into(),
            problem: problem.into(),
        }
    }

    /// Reads the fields of a table one by one, so that a fault in one hides none in the others.
    pub(in crate::coordination) fn fields<T: DeserializeOwned + Default>(
        &self,
        at: &str,
        table: &Table,
        faults: &mut Vec<Fault>,
    ) -> T {
        let mut good = table.clone();
        for (key, value) in table {
            let one = Table::from_iter([(key.clone(), value.clone())]);
            if let Err(e) = one.try_into::<T>() {
                let setting = if at.is_empty() {
                    key.clone()
                } else {
                    format!("{at}.{key}")
                };
                faults.push(self.fault(&setting, e.message().trim().replace('\n', "; ")));
                good.remove(key);
            }
        }
        good.try_into().unwrap_or_default()
    }

    /// Returns the validation faults of a value that was read.
    pub(in crate::coordination) fn validation_faults<T: Validate<Context = ()>>(
        &self,
        what: &T,
    ) -> Vec<Fault> {
        let report = what
            .validate()
            .err()
            .map(garde::Report::into_inner)
            .unwrap_or_default();
        report
            .iter()
            .map(|(path, e)| self.fault(&path.to_string(), e.message()))
            .collect()
    }
}

fn collect_lines(
    path: &str,
    table: &DeTable<'_>,
    line_at: &dyn Fn(usize) -> usize,
    lines: &mut BTreeMap<String, usize>,
) {
    for (key, value) in table {
        let at = if path.is_empty() {
            key.get_ref().to_string()
        } else {
            format!("{path}.{}", key.get_ref())
        };
        lines.insert(at.clone(), line_at(key.span().start));
        match value.get_ref() {
            DeValue::Table(inner) => collect_lines(&at, inner, line_at, lines),
            DeValue::Array(items) => {
                for (n, item) in items.iter().enumerate() {
                    let at = format!("{at}[{n}]");
                    lines.insert(at.clone(), line_at(item.span().start));
                    if let DeValue::Table(inner) = item.get_ref() {
                        collect_lines(&at, inner, line_at, lines);
                    }
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
