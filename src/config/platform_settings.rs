//! Reads the settings that a relay is given at its start, whether as path=value lines or as nested
//! JSON with the same names. Unknown keys are skipped; no decision is made here.

use crate::{
    Class, Decay, DedupScope, DestinationKind, Effect, ListedRates, Nanos, Settings, Tenant,
    NO_TENANT,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;

/// The module's settings, and beside them what only the program around it needs.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// What the module is given.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Tenants,
    /// Names of the kinds of destination, in the order of [`Settings::kinds`].
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// A connection not made within this time is given up.
    pub connect_timeout: Nanos,
}

/// Names of the tenants, by position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenants(Vec<String>);

/// A message names a tenant that the settings don't have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no such tenant")]
pub struct UnknownTenant;

impl Tenants {
    /// Whether the settings have none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whose message it is that says this name: where the settings have no tenants, whatever it
    /// says, the first one's; where they do and it says none, [`NO_TENANT`], so that leaving the
    /// name out wins no share.
    ///
    /// # Errors
    /// The name, also an empty one, is none of the settings'.
    pub fn of(&self, said: Option<&str>) -> Result<u16, UnknownTenant> {
        if self.is_empty() {
            return Ok(0);
        }
        let Some(name) = said else {
            return Ok(NO_TENANT);
        };
        let name = spaceless(name);
        let at = self
            .0
            .iter()
            .position(|tenant| !name.is_empty() && *tenant == name);
        at.and_then(|at| u16::try_from(at).ok())
            .ok_or(UnknownTenant)
    }

    /// Names by which a message would be two tenants' are no use.
    fn are_told_apart(&self) -> Result<(), String> {
        let twice =
            |(at, name): &(usize, &String)| !name.is_empty() && self.0[..*at].contains(name);
        match self.0.iter().enumerate().find(twice) {
            Some((at, name)) => Err(format!(
                "setting accounts.{at}.name: '{name}' is there twice"
            )),
            None => Ok(()),
        }
    }
}

/// Reads path=value lines.
pub fn from_lines(env: &[u8]) -> Result<Deployment, String> {
    let text = std::str::from_utf8(env).map_err(|e| format!("settings are not UTF-8: {e}"))?;
    let mut map = BTreeMap::new();
    for (n, line) in text
        .lines()
        .enumerate()
        .filter(|(_, l)| !l.trim().is_empty())
    {
        let (k, v) = line
            .split_once('=')
            .ok_or_else(|| format!("settings line {}: no '='", n + 1))?;
        map.insert(k.to_string(), v.to_string());
    }
    parse(map)
}

/// Reads a nested object.
pub fn from_json(settings: &Value) -> Result<Deployment, String> {
    let mut map = BTreeMap::new();
    flatten(String::new(), settings, &mut map);
    parse(map)
}

/// Lays a nested value out as the paths of the line form.
fn flatten(path: String, value: &Value, into: &mut BTreeMap<String, String>) {
    let under = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(k, v)| flatten(under(k), v, into)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            into.insert(under("count"), items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| flatten(under(&i.to_string()), v, into));
        }
        Value::Array(items) => {
            into.insert(path, items.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        other => {
            into.insert(path, plain(other));
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(s) => spaceless(s),
        other => other.to_string(),
    }
}

/// A name in the line form, which has no room for spaces and commas.
fn spaceless(name: &str) -> String {
    name.replace([' ', ','], "_")
}

struct Env(BTreeMap<String, String>);

impl Env {
    fn get<T: FromStr>(&self, key: &str, absent: T) -> Result<T, String> {
        match self.word(key) {
            None => Ok(absent),
            Some(v) => v
                .parse()
                .map_err(|_| format!("setting {key}: cannot read '{v}'")),
        }
    }

    fn word(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    fn list(&self, key: &str) -> Vec<&str> {
        self.word(key)
            .filter(|v| !v.is_empty())
            .map_or(Vec::new(), |v| v.split(',').collect())
    }

    fn names(&self, key: &str) -> Vec<String> {
        self.list(key).into_iter().map(str::to_string).collect()
    }

    /// Items of a list of objects; bounded by the keys that are there, whatever the count claims.
    fn items<T>(
        &self,
        name: &str,
        read: impl Fn(&str) -> Result<T, String>,
    ) -> Result<Vec<T>, String> {
        let count: usize = self.get(&format!("{name}.count"), 0)?;
        if count > self.0.len() {
            return Err(format!("setting {name}.count: {count} items are not there"));
        }
        (0..count).map(|i| read(&format!("{name}.{i}"))).collect()
    }

    fn column(&self, name: &str) -> Option<usize> {
        self.list("stats.columns").iter().position(|c| *c == name)
    }
}

fn parse(map: BTreeMap<String, String>) -> Result<Deployment, String> {
    let env = Env(map);
    let classes = env.items("categories", |p| {
        let effect = match env.word(&format!("{p}.effect")) {
            None | Some("side_effect") => Effect::NotIdempotent,
            Some("pure") => Effect::Idempotent,
            Some("token") => Effect::IdempotentWithKey,
            Some(v) => return Err(format!("setting {p}.effect: unknown '{v}'")),
        };
        let scope = match env.word(&format!("{p}.dedupScope")) {
            Some("all") => DedupScope::All,
            _ => DedupScope::Zone,
        };
        Ok(Class {
            latency_objective: env.get(&format!("{p}.promise"), 0)?,
            deadline: env.get(&format!("{p}.deadline"), 0)?,
            effect,
            dedup_scope: scope,
            dedup_window: env.get(&format!("{p}.window"), 0)?,
            priority_weight: env.get(&format!("{p}.points"), 1.0)?,
            late_weight: env.get(&format!("{p}.lateWorth"), 0.0)?,
            ordered_by_key: env.get(&format!("{p}.fifoByKey"), false)?,
        })
    })?;
    let tenants = env.items("accounts", |p| {
        Ok(Tenant {
            share: env.get(&format!("{p}.share"), 0.0)?,
        })
    })?;
    let (apart, batch) = (
        env.list("familyInfo.kindApart"),
        env.list("familyInfo.kindBatch"),
    );
    let kinds = (0..env.list("kinds").len())
        .map(|i| {
            let size = batch.get(i).map_or(Ok(1), |v| v.parse());
            let size =
                size.map_err(|_| format!("setting familyInfo.kindBatch: cannot read item {i}"))?;
            Ok(DestinationKind {
                separate_routes: apart.get(i) == Some(&"true"),
                max_batch: size,
            })
        })
        .collect::<Result<_, String>>()?;
    let names = |list| {
        env.items(list, |p| {
            Ok(env.word(&format!("{p}.name")).unwrap_or("").to_string())
        })
    };
    let (class_names, tenant_names) = (names("categories")?, Tenants(names("accounts")?));
    tenant_names.are_told_apart()?;
    let fees = env.list("familyInfo.carriage").into_iter().map(str::parse);
    let zone_fees = fees
        .collect::<Result<_, _>>()
        .map_err(|e| format!("setting familyInfo.carriage: {e}"))?;
    let settings = Settings {
        restart_state: Default::default(),
        zone_fees,
        classes,
        tenants,
        kinds,
        senders: env.get("balancers", 1)?,
        max_in_flight_calls: env.get("familyInfo.maxCalls", 0)?,
        max_held_messages: env.get("limits.openCap", 0)?,
        max_attempts: env.get("limits.maxAttempts", 1)?,
        class_limits: Vec::new(),
        decay: if env.word("familyInfo.losesWorth") == Some("halving") {
            Decay::Halving
        } else {
            Decay::Linear
        },
        over_share_weight: env.get("overShareWorth", 1.0)?,
        poll_list: env.word("discovery") == Some("subscribe"),
        list_pushed: env.word("discovery") == Some("automatic"),
        poll_deadline: env.get("rules.mustAskIn", 0)?,
        watch_heartbeat: 0,
        probes: env.get("limits.probes", false)?,
        sends_retry_after: env.get("limits.retryAfter", false)?,
        max_retry_after: env.get("limits.maxRetryAfter", 0)?,
        slow_start_fraction: env.get("rules.coldShare", 1.0)?,
        slow_start_duration: env.get("rules.warmAfter", 0)?,
        overload_factor: env.get("rules.overloadFactor", 1.0)?,
        overload_window: env.get("rules.overloadFor", 0)?,
        ordered_key_pause: env.get("rules.orderSettle", 0)?,
        connection_idle_timeout: env.get("limits.idleClose", 0)?,
        listed_rates: match env.word("weights") {
            Some("nominal") => ListedRates::Exact,
            Some("rough") => ListedRates::Approximate,
            _ => ListedRates::Absent,
        },
        report_left: env.column("x0"),
        report_limit: env.column("x1"),
    };
    Ok(Deployment {
        settings,
        classes: class_names,
        tenants: tenant_names,
        kinds: env.names("kinds"),
        zones: env.names("localities"),
        connect_timeout: env.get("limits.connectTimeout", 1_500_000_000)?,
    })
}
