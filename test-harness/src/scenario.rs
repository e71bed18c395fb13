//! A schedule of faults over many processes, read from a file and played.

mod deeds;
mod drawn;
mod play;
mod sites;

pub use deeds::{After, Deed, Step, Which, Who};
pub use play::{play, Outcome};
pub(crate) use play::{play_heard, play_seen};
pub use sites::Site;

use crate::limits::Terms;
use crate::policy::Policies;
use crate::stage::DESTS;
use crate::tables::Tables;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

/// What is played.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Processes, `n0`, `n1` and so on.
    pub senders: usize,
    /// How many the settings say that there are; these, if nothing is said.
    pub balancers: Option<usize>,
    /// Endpoints, `s0`, `s1` and so on, ten destinations in turn.
    #[serde(default = "endpoints")]
    pub endpoints: usize,
    /// Zones of the endpoints: the first ten stand in the first one, the next ten in the next, and
    /// so on around.
    #[serde(default = "zones")]
    pub zones: Vec<String>,
    /// Several sites with a record each, which are in one federation. Without any there is one,
    /// with the zones and keepers that are said elsewhere.
    #[serde(default)]
    pub sites: Vec<Site>,
    /// What a word from one site to another needs, in milliseconds.
    #[serde(default)]
    pub site_delay_ms: u64,
    /// What each endpoint bears.
    #[serde(default)]
    pub limits: Terms,
    /// Each endpoint is reached over a line of its own, which can fail.
    #[serde(default)]
    pub endpoint_lines: bool,
    /// Keepers whose record the senders follow; the sender `n0` stands in the first zone, `n1` in
    /// the next, and so on around.
    pub fleet: Option<Fleet>,
    /// What an ask costs the directory, in milliseconds.
    #[serde(default = "ask_ms")]
    pub ask_ms: u64,
    /// What a call takes, in milliseconds.
    #[serde(default = "call_ms")]
    pub call_ms: u64,
    /// Messages a second over all senders.
    pub rate: f64,
    /// They are handed in for so long, in seconds.
    pub lasts_s: f64,
    /// It ends when all steps have been taken and no sender is out of a zone any more, `lasts_s` at
    /// the latest; then it is missed that they are not back.
    #[serde(default)]
    pub until_well: bool,
    /// What the kept lists name.
    #[serde(default)]
    pub kept: Kept,
    /// What has to come out of it.
    #[serde(default)]
    pub wanted: Wanted,
    /// What is rolled out.
    #[serde(default)]
    pub policies: Policies,
    /// Routing tables that sites agree on.
    #[serde(default)]
    pub tables: Tables,
    /// What happens.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

/// Senders hold so long without a word of the leader, where the rules say nothing else.
const LEASE: Duration = Duration::from_secs(3);
/// What else a hold may take, with a leader that was just elected.
const HOLDS: Duration = Duration::from_secs(2);
/// The federation counts a site in for so long, where nothing else is said, in seconds.
const LEASE_S: i64 = 10;

/// The keepers of a play, `k1`, `k2` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// How many begin the site.
    pub keepers: usize,
    /// How many more there are, to be added to it.
    pub spare: usize,
    /// Between two reports of a sender, in milliseconds.
    pub report_ms: u64,
    /// What the keepers are told to go by, beside what `limits` says.
    pub rules: toml::Table,
    /// The table of policies in the senders' fleet files; they follow none without it.
    pub policy: Option<toml::Table>,
    /// The table of routing tables in the senders' fleet files; they follow none without it.
    pub table: Option<toml::Table>,
    /// What keepers are told of their federation, beside its sites.
    pub federation: toml::Table,
}

impl Default for Fleet {
    fn default() -> Fleet {
        let (rules, federation) = (toml::Table::new(), toml::Table::new());
        Fleet {
            keepers: 3,
            spare: 0,
            report_ms: 200,
            rules,
            policy: None,
            table: None,
            federation,
        }
    }
}

impl Fleet {
    /// Whether senders follow something that they may not go by without a lease.
    pub(crate) fn follows(&self) -> bool {
        self.policy.is_some() || self.table.is_some()
    }

    /// Senders that hear no keeper take nothing new on after so long, where they hold.
    pub(crate) fn lease(&self) -> Duration {
        let ms = self.rules.get("lease_ms").and_then(toml::Value::as_integer);
        ms.map_or(LEASE, |ms| Duration::from_millis(ms.unsigned_abs()))
    }

    /// Whether senders take nothing new on without keepers.
    pub(crate) fn holds(&self) -> bool {
        let holds = |how: &toml::Table| {
            how.get("without_keepers")
                .is_none_or(|how| how.as_str() == Some("hold"))
        };
        [&self.policy, &self.table].into_iter().flatten().any(holds)
    }

    /// A site that is away takes nothing new on after so long: its senders' own lease comes behind
    /// the site's, where its keepers could not agree any more that it holds. Nothing where it gives
    /// that up.
    pub(crate) fn site_lease(&self) -> Option<Duration> {
        let holds = self
            .federation
            .get("without")
            .is_none_or(|how| how.as_str() == Some("hold"));
        let s = self
            .federation
            .get("lease_s")
            .and_then(toml::Value::as_integer)
            .unwrap_or(LEASE_S);
        (holds && self.holds())
            .then(|| Duration::from_secs(s.unsigned_abs()) + self.lease() + HOLDS)
    }

    /// The table of rules that the keepers are told, as the text of a file.
    fn rules(&self, limits: &Terms) -> String {
        let ms = |s: f64| toml::Value::Integer((s * 1_000.0) as i64);
        let told = [
            ("cold_share", toml::Value::Float(limits.cold_share)),
            ("warm_after_ms", ms(limits.warm_after_s)),
            (
                "overload_factor",
                toml::Value::Float(limits.overload_factor),
            ),
            ("overload_for_ms", ms(limits.overload_for_s)),
        ];
        let mut zones: toml::Table = told
            .into_iter()
            .map(|(name, value)| (name.to_string(), value))
            .collect();
        let mut rules = self.rules.clone();
        if let Some(toml::Value::Table(own)) = rules.remove("zones") {
            zones.extend(own);
        }
        rules.insert("zones".into(), zones.into());
        toml::Table::from_iter([("rules".to_string(), toml::Value::Table(rules))]).to_string()
    }
}

/// What a kept list names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kept {
    /// The endpoints that there are.
    #[default]
    True,
    /// For a third of them others that are gone.
    ThirdGone,
    /// Others that are gone, and none of them.
    Gone,
}

/// What has to come out, beside the rules.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Wanted {
    /// Least part of what was taken on that is delivered.
    pub delivered: f64,
    /// Most asks for the list.
    pub asks: Option<u32>,
    /// Least messages that are held when some step comes.
    pub held: usize,
    /// Least senders that have left a zone, and most of them.
    pub left: usize,
    /// See above.
    pub most_left: Option<usize>,
    /// Least senders that use one again that they had left.
    pub again: usize,
    /// Most endpoints that may fall over, each time counted.
    pub toppled: Option<usize>,
    /// Least answers that lines broke off: that the fault came about.
    pub broken_off: u32,
    /// Lines that must not be logged so often.
    pub unsaid: Vec<After>,
    /// How often sites were seen to go from one table to the next at the least, all together.
    pub tables: usize,
    /// How often zones went from one policy to the next, all together.
    pub switched: Option<usize>,
    /// Orders that were refused.
    pub refused_orders: usize,
}

fn endpoints() -> usize {
    30
}

fn zones() -> Vec<String> {
    vec!["a".to_string()]
}

fn ask_ms() -> u64 {
    55
}

fn call_ms() -> u64 {
    50
}

/// A file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum NoScenario {
    /// It cannot be read.
    #[error("{0}: {1}")]
    Unread(String, std::io::Error),
    /// A field is not what it should be.
    #[error("{0}: {1}: {2}")]
    Field(String, String, String),
}

impl Scenario {
    /// Reads one.
    ///
    /// # Errors
    /// The file cannot be read, or a field of it cannot be used: one line with its name.
    pub fn read(file: &Path) -> Result<Scenario, NoScenario> {
        let name = file.display().to_string();
        let text =
            std::fs::read_to_string(file).map_err(|e| NoScenario::Unread(name.clone(), e))?;
        Scenario::of(&name, &text)
    }

    /// Reads the text of one.
    ///
    /// # Errors
    /// As [`Scenario::read`].
    pub fn of(name: &str, text: &str) -> Result<Scenario, NoScenario> {
        let field = |field: &str, why: &str| {
            NoScenario::Field(
                name.to_string(),
                field.to_string(),
                why.trim().replace('\n', " "),
            )
        };
        let reader = toml::Deserializer::parse(text).map_err(|e| field("toml", e.message()))?;
        let scenario: Scenario = serde_path_to_error::deserialize(reader)
            .map_err(|e| field(&e.path().to_string(), e.inner().message()))?;
        let scenario = scenario.with_sites();
        match scenario.fault() {
            Some((at, why)) => Err(field(&at, &why)),
            None => Ok(scenario),
        }
    }

    /// The first value that is well formed and cannot be used.
    pub(crate) fn fault(&self) -> Option<(String, String)> {
        let is_sender = |name: &str| (0..self.senders).any(|n| name == format!("n{n}"));
        let is_endpoint = |uid: &str| (0..self.endpoints).any(|n| uid == format!("s{n}"));
        let first = self.fleet.as_ref().map_or(0, |f| f.keepers);
        let keepers = first + self.fleet.as_ref().map_or(0, |f| f.spare);
        let is_span = |s: f64| (0.0..=3_600.0).contains(&s);
        let all = [
            (
                "senders",
                (1..=3_000).contains(&self.senders),
                "1 to 3000 can be started",
            ),
            (
                "endpoints",
                (DESTS..=1_000).contains(&self.endpoints),
                "10 to 1000 can be started",
            ),
            (
                "zones",
                (1..=100).contains(&self.zones.len()),
                "1 to 100 names",
            ),
            (
                "fleet.keepers",
                self.fleet.is_none() || (1..=9).contains(&first),
                "1 to 9",
            ),
            ("fleet.spare", keepers <= 9, "9 keepers in all"),
            (
                "rate",
                self.rate > 0.0 && self.rate <= 10_000.0,
                "above 0, at most 10000",
            ),
            ("lasts_s", is_span(self.lasts_s), "0 to 3600"),
            (
                "wanted.delivered",
                (0.0..=1.0).contains(&self.wanted.delivered),
                "0 to 1",
            ),
        ];
        let one = all.into_iter().find(|(_, good, _)| !good);
        let one = one.map(|(field, _, why)| (field.to_string(), why.to_string()));
        let unheard = |a: &&After| a.times == 0 || !self.is_heard(&a.who);
        let unsaid = self.wanted.unsaid.iter().find(unheard);
        let unsaid = || {
            unsaid.map(|a| {
                (
                    "wanted.unsaid".to_string(),
                    format!("nobody is '{}', or times is 0", a.who),
                )
            })
        };
        let limits = || {
            self.limits
                .fault()
                .map(|(field, why)| (format!("limits.{field}"), why.to_string()))
        };
        let policies = || {
            self.policies
                .fault(&self.zones)
                .map(|(field, why)| (format!("policies.{field}"), why))
        };
        let sites = || self.fault_of_sites();
        one.or_else(limits)
            .or_else(unsaid)
            .or_else(policies)
            .or_else(sites)
            .or_else(|| {
                self.steps.iter().enumerate().find_map(|(n, step)| {
                    let fault =
                        |field: &str, why: String| Some((format!("step[{n}].{field}"), why));
                    if !is_span(step.at_s) {
                        return fault("at_s", "0 to 3600".into());
                    }
                    if let Some(after) = step.after.as_ref().filter(|a| !self.is_heard(&a.who)) {
                        return fault("after.who", format!("there is no sender '{}'", after.who));
                    }
                    if step.after.as_ref().is_some_and(|a| a.times == 0) {
                        return fault("after.times", "1 or more".into());
                    }
                    if step.for_s.is_some_and(|s| !is_span(s)) {
                        return fault("for_s", "0 to 3600".into());
                    }
                    if step.for_s.is_some() && step.deed.undone(&[]).is_none() {
                        return fault("for_s", "this lasts, or is undone by another step".into());
                    }
                    if !step
                        .deed
                        .keepers()
                        .into_iter()
                        .all(|which| self.is_which(which))
                    {
                        return fault("does", format!("there are {keepers} keepers"));
                    }
                    match &step.who {
                        Who::Share(share) if !(0.0..=1.0).contains(share) => {
                            return fault("who", "0 to 1".into())
                        }
                        Who::Names(names) => {
                            let is_speaker = |n: &str| n == "speaker" && step.after.is_some();
                            let is_site = |n: &str| {
                                n.strip_suffix("/senders").is_some_and(|n| self.is_site(n))
                            };
                            let known = |n: &str| is_sender(n) || is_speaker(n) || is_site(n);
                            if let Some(name) = names.iter().find(|n| !known(n)) {
                                return fault("who", format!("there is no sender '{name}'"));
                            }
                        }
                        Who::Share(_) => {}
                    }
                    if let Some(why) = self.fault_of_deed(&step.deed) {
                        return fault("does", why);
                    }
                    match &step.deed {
                        Deed::Drain(uid) | Deed::Leave(uid) | Deed::Return(uid)
                            if !is_endpoint(uid) =>
                        {
                            fault("does", format!("there is no endpoint '{uid}'"))
                        }
                        Deed::EndpointDies { endpoint: uid, .. } | Deed::EndpointBack(uid)
                            if !is_endpoint(uid) =>
                        {
                            fault("does", format!("there is no endpoint '{uid}'"))
                        }
                        Deed::ZoneDies { zone, .. }
                        | Deed::ZoneBack(zone)
                        | Deed::ZoneUnlisted(zone)
                        | Deed::ZoneListed(zone)
                        | Deed::EndpointLines { zone, .. }
                        | Deed::AgentLines {
                            zone: Some(zone), ..
                        } if !self.zones.contains(zone) => {
                            fault("does", format!("there is no zone '{zone}'"))
                        }
                        Deed::EndpointLines { .. } if !self.endpoint_lines => fault(
                            "does",
                            "endpoints have no lines without endpoint_lines".into(),
                        ),
                        _ => None,
                    }
                })
            })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SITES: &str = "senders = 3\nrate = 5.0\nlasts_s = 2.0\n[[sites]]\nname = \"north\"\nzones = [\"a\", \"b\"]\nkeepers = 1\n\
                         [[sites]]\nname = \"south\"\nzones = [\"c\"]\n";

    #[test]
    fn all_schedules_of_the_tests_can_be_played() {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../tests/multi_process");
        let files = std::fs::read_dir(folder)
            .expect("a folder")
            .map(|file| file.expect("a file").path());
        let read: Vec<_> = files
            .filter(|f| f.extension().is_some_and(|e| e == "toml"))
            .collect();
        let faults: Vec<_> = read
            .iter()
            .filter_map(|file| Scenario::read(file).err())
            .collect();
        assert!(read.len() > 30 && faults.is_empty(), "{faults:?}");
    }

    #[test]
    fn sites_have_the_zones_and_their_senders_and_keepers_bear_their_names() {
        let text = format!(
            "{SITES}[[step]]\nwho = [\"south/senders\"]\nafter = {{ who = \"north/keepers\", says = \"x\" }}\ndoes = \"kill\"\n\
             [[step]]\ndoes = {{ keeper-kill = \"lead/leader\" }}\n\
             [[step]]\ndoes = {{ site-lines = {{ from = \"led\", both = true, fault = {{ cut = true }} }} }}\n"
        );
        let scenario = Scenario::of("x", &text).expect("a schedule");
        assert_eq!(
            (scenario.zones.join(""), scenario.endpoints),
            ("abc".into(), 30)
        );
        assert_eq!(
            (0..4).map(|n| scenario.site_of(n)).collect::<Vec<_>>(),
            [0, 0, 1, 0]
        );
        assert_eq!(scenario.those(&scenario.steps[0].who, None), [2]);
        assert_eq!(
            (scenario.keeper((1, 2)), scenario.places().len()),
            ("south/k3".into(), 2)
        );
        let one = Scenario::of("x", "senders = 3\nrate = 5.0\nlasts_s = 2.0\n[fleet]")
            .expect("a schedule");
        assert_eq!(
            (one.keeper((0, 0)), one.places()[0].keepers),
            ("k1".into(), 3)
        );
    }

    #[test]
    fn a_scenario_that_cannot_be_used_names_file_and_field() {
        let good = "senders = 3\nrate = 5.0\nlasts_s = 2.0\n";
        assert!(Scenario::of("x", good).is_ok());
        for (text, told) in [
            ("senders = 3\nrate = 5.0\n", "x: .: missing field `lasts_s`"),
            ("senders = 3\nrate = 5.0\nlasts_s = -1\n", "x: lasts_s: 0 to 3600"),
            (&format!("{good}sender = 3"), "x: sender: unknown field `sender`"),
            (&format!("{good}[[step]]\ndoes = \"explode\""), "x: step[0].does: unknown variant `explode`"),
            (
                &format!("{good}[[step]]\nwho = [\"n3\"]\ndoes = \"kill\""),
                "x: step[0].who: there is no sender 'n3'",
            ),
            (
                &format!("{good}[[step]]\ndoes = {{ drain = \"s30\" }}"),
                "x: step[0].does: there is no endpoint 's30'",
            ),
            (
                &format!("{good}[[step]]\ndoes = {{ line = {{ dealy_ms = 3 }} }}"),
                "x: step[0].does.line.dealy_ms: unknown field `dealy_ms`",
            ),
            (
                &format!("{good}[[step]]\nafter = {{ who = \"m1\", says = \"x\" }}\ndoes = \"kill\""),
                "x: step[0].after.who: there is no sender 'm1'",
            ),
            (&format!("{good}[limits]\nfactor = 0.0"), "x: limits.factor: above 0, at most 1000"),
            (
                &format!("{good}[[step]]\ndoes = {{ zone-dies = {{ zone = \"b\", how = \"hangs\" }} }}"),
                "x: step[0].does: there is no zone 'b'",
            ),
            (
                &format!("{good}[[step]]\ndoes = {{ keeper-kill = \"leader\" }}"),
                "x: step[0].does: there are 0 keepers",
            ),
            (
                &format!("{good}[fleet]\n[[step]]\ndoes = {{ keeper-kill = \"k4\" }}"),
                "x: step[0].does: there are 3 keepers",
            ),
            (
                &format!("{good}[fleet]\n[[step]]\ndoes = {{ keeper-kill = \"boss\" }}"),
                "x: step[0].does.keeper-kill: 'boss' is none of",
            ),
            (
                &format!("{good}[[step]]\ndoes = {{ endpoint-lines = {{ zone = \"a\", fault = {{}} }} }}"),
                "x: step[0].does: endpoints have no lines",
            ),
            (
                &format!("{SITES}[[step]]\ndoes = {{ keeper-kill = \"west/leader\" }}"),
                "x: step[0].does: there are 3 keepers",
            ),
            (
                &format!("{SITES}[[step]]\nafter = {{ who = \"north/k2\", says = \"x\" }}\ndoes = \"kill\""),
                "x: step[0].after.who: there is no sender 'north/k2'",
            ),
            (
                &format!("{SITES}[[step]]\ndoes = {{ site-lines = {{ from = \"west\", fault = {{}} }} }}"),
                "x: step[0].does: there is no site 'west'",
            ),
            (
                &format!("{SITES}[[step]]\ndoes = {{ table = {{ order = {{ propose = \"t9\" }} }} }}"),
                "x: step[0].does: there is no table 't9'",
            ),
            (
                &format!("{SITES}[[sites]]\nname = \"west\"\nzones = [\"c\"]"),
                "x: sites: a name, or a zone, stands twice",
            ),
            (
                &format!("{SITES}[[tables.given]]\nname = \"t1\"\nzones = [\"x\"]"),
                "x: tables.given: there is no zone 'x'",
            ),
        ] {
            let error = Scenario::of("x", text).expect_err("refused").to_string();
            assert!(error.starts_with(told) && !error.contains('\n'), "{error}");
        }
    }
}
