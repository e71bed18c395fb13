//! The plan of a rollout: which zones change together and in which order, how long each stage is
//! observed, and what halts the rollout.

use crate::coordination::policy_rollout::document::{Fault, Text};
use garde::Validate;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Longest plan, in bytes of its text: enough for 200 zones with names of 64 bytes and the syntax
/// around them.
pub const MAX_TEXT_BYTES: usize = 16 * 1024;
/// Most stages of a plan. The counts of each stage are kept separately.
pub const MAX_STAGES: usize = 16;
/// Longest name of a zone, in bytes; the same limit as in a sender's file.
const MAX_ZONE_NAME_BYTES: usize = 64;

/// A rollout plan. It has to name each zone of the site in exactly one stage; no zone can be left
/// out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// The stages, in order.
    #[garde(length(min = 1, max = MAX_STAGES), dive)]
    pub stage: Vec<Stage>,
    /// Time that each stage is observed before it changes, in seconds, to learn what its zones are
    /// like without the policy.
    #[garde(range(max = 3_600))]
    pub watch_s: u32,
    /// Time that each stage is observed after it has changed, in seconds.
    #[garde(range(min = 1, max = 86_400))]
    pub soak_s: u32,
    /// Time after which the rollout halts because too few messages arrived to judge the stage, in
    /// seconds. Unset means four times `soak_s`.
    #[garde(range(min = 1, max = 345_600))]
    pub most_soak_s: Option<u32>,
    /// Fewest messages of a stage by which it can be judged.
    #[garde(range(min = 1, max = 1_000_000_000))]
    pub least: u32,
    /// Time within which each sender has to answer whether it can apply the policy, in seconds. A
    /// sender that does not answer ends the rollout.
    #[garde(range(min = 1, max = 3_600))]
    pub offer_s: u32,
    /// Longest time for which a stage's senders accept nothing, in milliseconds; after it the
    /// keepers revoke the pause and retry later. Senders queue messages for 300 ms; the rest of
    /// that time is for the notification to arrive.
    #[garde(range(min = 20, max = 250))]
    pub pause_ms: u32,
    /// Bounds that halt the rollout.
    #[garde(dive)]
    pub health: Health,
}

/// Zones that change from one policy to the next at the same moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Stage {
    /// Names of the zones.
    #[garde(length(min = 1, max = 200), inner(length(min = 1, max = MAX_ZONE_NAME_BYTES)))]
    pub zones: Vec<String>,
}

/// Bounds that halt a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Health {
    /// Bounds for classes that are not named.
    #[garde(dive)]
    pub all: Bounds,
    /// Bounds by class; a bound that is unset for a class is the one for all classes.
    #[garde(dive)]
    pub class: BTreeMap<String, ClassBounds>,
    /// Fraction of a stage's senders whose lease may expire during the stage.
    #[garde(custom(share))]
    pub lapsed: f64,
    /// Difference that the observations have to rule out before a stage is complete: that a share
    /// is worse by this much more than its bound allows. 1 accepts any number of messages as
    /// enough.
    #[garde(custom(share))]
    pub sees: f64,
}

/// Most by which each share may be worse than without the policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Not delivered within the latency objective, of those accepted.
    #[garde(custom(share))]
    pub delivered: f64,
    /// Delivered late, of those accepted.
    #[garde(custom(share))]
    pub late: f64,
    /// Deferred without an attempt, of those accepted.
    #[garde(custom(share))]
    pub refused: f64,
    /// Undeliverable, of those accepted.
    #[garde(custom(share))]
    pub failed: f64,
    /// Rejected, of all that arrived.
    #[garde(custom(share))]
    pub turned_away: f64,
}

/// Bounds for one class; those that are unset are the ones for all classes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct ClassBounds {
    /// Bound for [`Bounds::delivered`].
    #[garde(custom(optional_share))]
    pub delivered: Option<f64>,
    /// Bound for [`Bounds::late`].
    #[garde(custom(optional_share))]
    pub late: Option<f64>,
    /// Bound for [`Bounds::refused`].
    #[garde(custom(optional_share))]
    pub refused: Option<f64>,
    /// Bound for [`Bounds::failed`].
    #[garde(custom(optional_share))]
    pub failed: Option<f64>,
    /// Bound for [`Bounds::turned_away`].
    #[garde(custom(optional_share))]
    pub turned_away: Option<f64>,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            delivered: 0.02,
            late: 0.02,
            refused: 0.02,
            failed: 0.01,
            turned_away: 0.02,
        }
    }
}

impl Default for Health {
    fn default() -> Health {
        Health {
            all: Bounds::default(),
            class: BTreeMap::new(),
            lapsed: 0.25,
            sees: 0.1,
        }
    }
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            stage: Vec::new(),
            watch_s: 20,
            soak_s: 60,
            most_soak_s: None,
            least: 1_000,
            offer_s: 60,
            pause_ms: 150,
            health: Health::default(),
        }
    }
}

fn share(value: &f64, (): &()) -> garde::Result {
    match (0.0..=1.0).contains(value) {
        true => Ok(()),
        false => Err(garde::Error::new(format!("{value} is not from 0 to 1"))),
    }
}

fn optional_share(value: &Option<f64>, (): &()) -> garde::Result {
    value.as_ref().map_or(Ok(()), |value| share(value, &()))
}

impl Plan {
    /// Parses the text of a plan.
    ///
    /// # Errors
    /// All faults of the text at once, each with its line and setting.
    pub fn parse(text: &str) -> Result<Plan, Vec<Fault>> {
        let mut source = Text::read(text, MAX_TEXT_BYTES)?;
        let (stages, health) = (
            source.values.remove("stage"),
            source.values.remove("health"),
        );
        let mut faults = Vec::new();
        let mut plan: Plan = source.fields("", &source.values, &mut faults);
        match stages {
            Some(toml::Value::Array(stages)) => {
                for (n, stage) in stages.iter().enumerate() {
                    let at = format!("stage[{n}]");
                    match stage {
                        toml::Value::Table(t) => {
                            plan.stage.push(source.fields(&at, t, &mut faults))
                        }
                        _ => faults.push(source.fault(&at, "is not a table")),
                    }
                }
            }
            Some(_) => faults.push(source.fault("stage", "is not an array of tables, [[stage]]")),
            None => faults.push(source.fault(
                "stage",
                "not set; each zone of the site has to be in exactly one stage",
            )),
        }
        match health {
            Some(toml::Value::Table(t)) => plan.health = source.fields("health", &t, &mut faults),
            Some(_) => faults.push(source.fault("health", "is not a table")),
            None => {}
        }
        if faults.is_empty() {
            faults = source.validation_faults(&plan);
            faults.extend(
                plan.duplicate_zones()
                    .into_iter()
                    .map(|(at, why)| source.fault(&at, why)),
            );
        }
        if plan.most_soak_s.is_some_and(|most| most < plan.soak_s) {
            faults.push(source.fault(
                "most_soak_s",
                format!("less than soak_s, which is {}", plan.soak_s),
            ));
        }
        faults.sort();
        faults.dedup();
        match faults.is_empty() {
            true => Ok(plan),
            false => Err(faults),
        }
    }

    /// Returns the zones that are named more than once, each as the setting and the problem.
    fn duplicate_zones(&self) -> Vec<(String, String)> {
        let mut known = BTreeSet::new();
        let mut duplicates = Vec::new();
        for (n, stage) in self.stage.iter().enumerate() {
            for zone in stage
                .zones
                .iter()
                .filter(|zone| !known.insert(zone.as_str()))
            {
                duplicates.push((
                    format!("stage[{n}].zones"),
                    format!("zone {zone:?} is named twice"),
                ));
            }
        }
        duplicates
    }

    /// Returns all zones that the plan names.
    pub fn zones(&self) -> impl Iterator<Item = &String> {
        self.stage.iter().flat_map(|stage| &stage.zones)
    }

    /// Returns the stage of a zone.
    pub fn stage_of(&self, zone: &str) -> Option<usize> {
        self.stage
            .iter()
            .position(|stage| stage.zones.iter().any(|z| z == zone))
    }

    /// Returns the longest soak period, in seconds.
    pub fn max_soak_s(&self) -> u64 {
        self.most_soak_s
            .map_or(4 * u64::from(self.soak_s), u64::from)
    }

    /// Returns the bounds of a class.
    pub fn bounds(&self, class: &str) -> Bounds {
        let Bounds {
            delivered,
            late,
            refused,
            failed,
            turned_away,
        } = self.health.all;
        let own = self.health.class.get(class).copied().unwrap_or_default();
        Bounds {
            delivered: own.delivered.unwrap_or(delivered),
            late: own.late.unwrap_or(late),
            refused: own.refused.unwrap_or(refused),
            failed: own.failed.unwrap_or(failed),
            turned_away: own.turned_away.unwrap_or(turned_away),
        }
    }
}

/// Returns the JSON Schema of a plan (draft 2020-12).
#[cfg(feature = "tools")]
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Plan)
}

#[cfg(test)]
mod tests;
