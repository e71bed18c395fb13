//! A routing table in TOML: sites with their zones, and routes by destination, class and tenant.
//!
//! This module parses and validates a text, defines the canonical form and the digest by which
//! programs compare tables, and checks whether a sender can use a table. It does not decide when a
//! table is used. The agent, the cutover's orders and `raildeal fleet table` call it.
//!
//! **The route that applies** to a message is the most specific one. A route that names the
//! message's destination takes precedence over one for all destinations, whatever else they name.
//! Where both do or neither does, a route that names the class takes precedence over one for all
//! classes; then a route that names the tenant. It is a fault if two routes name the same ones of
//! these three properties and match a common message.
//!
//! `destination_range` is the format of a setting, `parse` reads a text, `validate` finds faults
//! that involve several fields, `sender_check` finds what a sender lacks, and `route` compares
//! routes.

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

/// Prefix that is hashed before the canonical form, so that the digest of a table never equals that
/// of another kind of data.
const DIGEST_PREFIX: &[u8] = b"raildeal table 1\n";

/// A routing table.
#[derive(Clone, Debug, Default, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Whether all messages are routed by the endpoint list alone. A table without routes has to
    /// set this, so that an empty file is not taken for such a table.
    #[garde(skip)]
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub list_alone: bool,
    /// Sites, by name.
    #[garde(length(max = MAX_SITES), dive)]
    pub site: BTreeMap<String, Site>,
    /// Routes, in any order.
    #[garde(dive)]
    pub route: Vec<Route>,
}

/// A site.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Site {
    /// Zones of the site, by their names in the directories. A zone belongs to one site.
    #[garde(length(min = 1), inner(length(min = 1)))]
    pub zones: Vec<String>,
}

/// A route: a set of messages, and the zones that serve them.
// Field names are the TOML keys, and faults name them.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// Destinations, each a number or a range such as `"100-199"`; all if not set.
    #[garde(custom(not_empty_if_named))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dests: Option<Vec<DestinationRange>>,
    /// Classes, by name; all if not set.
    #[garde(custom(not_empty_if_named))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub classes: Option<Vec<String>>,
    /// Tenants, by their position in the senders' settings; all if not set. If the settings list no
    /// tenants, all messages belong to tenant 0; if they list some, a message that names no tenant
    /// belongs to none.
    #[garde(custom(not_empty_if_named))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Vec<u16>>,
    /// Whether no zone serves these messages: they are deferred at once.
    #[garde(skip)]
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub nobody: bool,
    /// Tiers in order of preference: sites or zones, each with its share.
    #[garde(length(max = MOST_TIERS), custom(tiers_or_nobody(&self.nobody)), inner(length(min = 1)))]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tiers: Vec<BTreeMap<String, u32>>,
    /// Line on which the route begins.
    #[garde(skip)]
    #[serde(skip)]
    line: Option<usize>,
}

fn not_empty_if_named<T>(named: &Option<Vec<T>>, (): &()) -> garde::Result {
    match named {
        Some(named) if named.is_empty() => {
            Err(garde::Error::new("names none; leave it out to match all"))
        }
        _ => Ok(()),
    }
}

fn tiers_or_nobody(
    nobody: &bool,
) -> impl FnOnce(&Vec<BTreeMap<String, u32>>, &()) -> garde::Result + '_ {
    move |tiers, ()| match (nobody, tiers.is_empty()) {
        (true, false) => Err(garde::Error::new("cannot stand beside nobody = true")),
        (false, true) => Err(garde::Error::new(
            "are none; set nobody = true if no zone is to serve these messages",
        )),
        _ => Ok(()),
    }
}

/// Two tables are equal if they have the same meaning, wherever their texts state it.
impl PartialEq for Document {
    fn eq(&self, other: &Document) -> bool {
        self.canonical() == other.canonical()
    }
}

impl Document {
    /// Returns the canonical form, which is the same for all texts with the same meaning: JSON
    /// without whitespace, fields in the order of their declaration, sites by name, routes by the
    /// messages they match, shares without a common factor, and no unset fields.
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

    /// Returns the settings that differ in the later table: name, old value and new value, as JSON;
    /// a value is `None` where it is not set. Routes are named by the messages they match.
    pub fn diff(&self, later: &Document) -> Vec<Difference> {
        differences(&self.settings_as_json(), &later.settings_as_json())
    }

    /// Returns every setting by its name, with its value as JSON.
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

    /// Returns the zones that a name in a tier stands for: those of a site, or the zone itself;
    /// `None` if it is neither.
    fn zones_of<'a>(&'a self, name: &'a str) -> Option<Vec<&'a str>> {
        if let Some(site) = self.site.get(name) {
            return Some(site.zones.iter().map(String::as_str).collect());
        }
        let mut zones = self.site.values().flat_map(|site| &site.zones);
        zones.any(|zone| zone == name).then(|| vec![name])
    }

    /// Returns the routes for a sender with these classes and this number of tenants. Classes that
    /// the sender does not have are left out.
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

    /// Returns the shares of a tier, each with its zones.
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

/// Returns the JSON Schema of a table (draft 2020-12).
#[cfg(feature = "tools")]
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Document)
}

#[cfg(test)]
mod tests;
