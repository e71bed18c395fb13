//! A routing table as it is written in TOML: sites with their zones, and routes by destination,
//! class and tenant.
//!
//! It owns reading and checking a text, the canonical form and digest by which programs compare
//! tables, and whether a sender can go by one. It decides nothing about when a table is used. The
//! agent, the cutover's orders and `raildeal fleet table` call it.
//!
//! **Which route counts** for a message: one that names its destination goes before one for all
//! destinations, whatever else either says; where that is the same, one that names its class before
//! one for all classes; where that is the same too, one that names its tenant. Two routes that say
//! the same number of these, in the same places, and have a message in common, are a fault.
//!
//! `destination_range` is a setting's form, `parse` reads a text, `validate` finds faults that no
//! field shows by itself, `sender_check` finds what a sender lacks, and `route` compares routes.

use crate::coordination::messages::Digest;
use crate::coordination::policy_rollout::document::{differences, Difference};
use crate::coordination::routing_table::federation::MAX_SITES;
use crate::dispatch::routing::{self, RouteSpec, Routes, WeightedZones, MOST_TIERS};
use garde::Validate;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;

mod destination_range;
mod parse;
mod route;
mod sender_check;
mod validate;

pub use destination_range::DestinationRange;

/// Hashed before the canonical form, so that the digest of a table is never that of something else.
const DIGEST_PREFIX: &[u8] = b"raildeal table 1\n";

/// A table as it is written.
#[derive(Clone, Debug, Default, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// All is left to the list. Said by a table without routes, so that an empty file does not say
    /// it.
    #[garde(skip)]
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub list_alone: bool,
    /// Sites, by name.
    #[garde(length(max = MAX_SITES), dive)]
    pub site: BTreeMap<String, Site>,
    /// Routes; their order says nothing.
    #[garde(dive)]
    pub route: Vec<Route>,
}

/// A site.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Site {
    /// Its zones, as directories name them. A zone belongs to one site.
    #[garde(length(min = 1), inner(length(min = 1)))]
    pub zones: Vec<String>,
}

/// Where messages go.
// Field names are the TOML keys: faults name them.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// Destinations, each a number or a range as `"100-199"`; without it, all.
    #[garde(custom(not_empty_if_named))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dests: Option<Vec<DestinationRange>>,
    /// Classes, by name; without it, all.
    #[garde(custom(not_empty_if_named))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub classes: Option<Vec<String>>,
    /// Tenants, by their position in the senders' settings; without it, all. Where settings have
    /// none, all messages are tenant 0's; where they have some, a message that names none is no
    /// tenant's.
    #[garde(custom(not_empty_if_named))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Vec<u16>>,
    /// Nobody serves them: messages are given back at once.
    #[garde(skip)]
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub nobody: bool,
    /// Tiers, the first one first: sites or zones, each with its share.
    #[garde(length(max = MOST_TIERS), custom(tiers_or_nobody(&self.nobody)), inner(length(min = 1)))]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tiers: Vec<BTreeMap<String, u32>>,
    /// The line where it begins.
    #[garde(skip)]
    #[serde(skip)]
    line: Option<usize>,
}

fn not_empty_if_named<T>(named: &Option<Vec<T>>, (): &()) -> garde::Result {
    match named {
        Some(named) if named.is_empty() => {
            Err(garde::Error::new("names none; without it, all are meant"))
        }
        _ => Ok(()),
    }
}

fn tiers_or_nobody(
    nobody: &bool,
) -> impl FnOnce(&Vec<BTreeMap<String, u32>>, &()) -> garde::Result + '_ {
    move |tiers, ()| match (nobody, tiers.is_empty()) {
        (true, false) => Err(garde::Error::new("stand beside nobody = true")),
        (false, true) => Err(garde::Error::new(
            "are none; where nobody is to serve, say nobody = true",
        )),
        _ => Ok(()),
    }
}

/// Two tables are the same where they mean the same, wherever their texts say it.
impl PartialEq for Document {
    fn eq(&self, other: &Document) -> bool {
        self.canonical() == other.canonical()
    }
}

impl Document {
    /// The one form of all texts that mean the same: JSON without blanks, fields in the order of
    /// their declaration, sites by name, routes by what they are for, shares without a common
    /// factor, nothing that is not set.
    pub fn canonical(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Digest of the canonical form.
    pub fn digest(&self) -> Digest {
        Sha256::new()
            .chain_update(DIGEST_PREFIX)
            .chain_update(self.canonical())
            .finalize()
            .into()
    }

    /// What is another in the later one: its name, what it was and what it is, as JSON; nothing
    /// where it is not set. Routes are named by what they are for.
    pub fn diff(&self, later: &Document) -> Vec<Difference> {
        differences(&self.settings_as_json(), &later.settings_as_json())
    }

    /// Every setting by its name, with its value as JSON.
    fn settings_as_json(&self) -> BTreeMap<String, String> {
        let mut settings = BTreeMap::new();
        for (name, site) in &self.site {
            settings.insert(format!("site.{name}.zones"), json(&site.zones));
        }
        for route in &self.route {
            let goes_to = if route.nobody {
                json("nobody")
            } else {
                json(&route.tiers)
            };
            settings.insert(route.scope_name(), goes_to);
        }
        if self.list_alone {
            settings.insert("list_alone".into(), "true".into());
        }
        settings
    }

    /// Zones that a name in a tier stands for: those of a site, or the zone itself; nothing where
    /// it is neither.
    fn zones_of<'a>(&'a self, name: &'a str) -> Option<Vec<&'a str>> {
        if let Some(site) = self.site.get(name) {
            return Some(site.zones.iter().map(String::as_str).collect());
        }
        let mut zones = self.site.values().flat_map(|site| &site.zones);
        zones.any(|zone| zone == name).then(|| vec![name])
    }

    /// Its routes for a sender with these classes and so many tenants. A class that the sender does
    /// not have is nobody's.
    pub fn routes(&self, classes: &[String], tenants: usize) -> Routes {
        let compiled = self.route.iter().map(|route| self.compile(route, classes));
        Routes::new(classes.len(), tenants, compiled.collect())
    }

    fn compile(&self, route: &Route, classes: &[String]) -> RouteSpec {
        let index_of = |name: &String| {
            let index = classes.iter().position(|class| class == name)?;
            Some(index as u16)
        };
        let compiled_range = |range: &DestinationRange| routing::DestinationRange {
            first: range.first,
            last: range.last,
        };
        let ranges = route.dests.as_ref();
        let names = route.classes.as_ref();
        RouteSpec {
            destinations: ranges.map(|ranges| ranges.iter().map(compiled_range).collect()),
            classes: names.map(|names| names.iter().filter_map(index_of).collect()),
            tenants: route.tenants.clone(),
            tiers: route.tiers.iter().map(|tier| self.shares(tier)).collect(),
        }
    }

    /// The shares of a tier, each with its zones.
    fn shares(&self, tier: &BTreeMap<String, u32>) -> Vec<WeightedZones> {
        let mut shares = Vec::new();
        for (name, share) in tier {
            if let Some(zones) = self.zones_of(name) {
                shares.push(WeightedZones {
                    share: *share,
                    zones: zones.into_iter().map(String::from).collect(),
                });
            }
        }
        shares
    }
}

fn json(value: &(impl Serialize + ?Sized)) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// The JSON Schema of a table (draft 2020-12).
#[cfg(feature = "tools")]
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Document)
}

#[cfg(test)]
mod tests;
