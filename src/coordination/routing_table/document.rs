//! A routing table as it is written: sites with their zones, and routes by destination, class and
//! tenant.
//!
//! **Which route counts** for a message: one that names its destination goes before one for all
//! destinations, whatever else either says; where that is the same, one that names its class before
//! one for all classes; where that is the same too, one that names its tenant. Two routes that say
//! the same number of these, in the same places, and have a message in common, are a fault.

use crate::coordination::messages::Digest;
use crate::coordination::policy_rollout::document::{differences, Difference, Fault, Text};
use crate::coordination::routing_table::federation::{MOST_SITES, MOST_TEXT};
use crate::delivery::endpoint::ZoneCapacity;
use crate::dispatch::routing::{DestinationRange, RouteSpec, Routes, WeightedZones, MOST_TIERS};
use garde::Validate;
use serde::de::{Deserializer, Error, Unexpected, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use toml::Value;

/// Largest share: finer than parts in ten thousand nobody can see.
const MOST_SHARE: u32 = 10_000;
/// Lines of what a sender lacks, at the most: they are told with its refusal.
const MOST_TOLD: usize = 20;
/// Before what is hashed, so that the print of a table is never that of something else.
const KIND: &[u8] = b"raildeal table 1\n";

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
    #[garde(length(max = MOST_SITES), dive)]
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
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// Destinations, each a number or a range as `"100-199"`; without it, all.
    #[garde(custom(some))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dests: Option<Vec<Dests>>,
    /// Classes, by name; without it, all.
    #[garde(custom(some))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub classes: Option<Vec<String>>,
    /// Tenants, by their position in the senders' settings; without it, all. Where settings have
    /// none, all messages are tenant 0's; where they have some, a message that names none is no
    /// tenant's.
    #[garde(custom(some))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Vec<u16>>,
    /// Nobody serves them: messages are given back at once.
    #[garde(skip)]
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub nobody: bool,
    /// Tiers, the first one first: sites or zones, each with its share.
    #[garde(length(max = MOST_TIERS), custom(either(&self.nobody)), inner(length(min = 1)))]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tiers: Vec<BTreeMap<String, u32>>,
    /// The line where it begins.
    #[garde(skip)]
    #[serde(skip)]
    line: Option<usize>,
}

/// One destination or several that follow each other: the first and the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Dests(pub u16, pub u16);

fn some<T>(named: &Option<Vec<T>>, (): &()) -> garde::Result {
    match named {
        Some(named) if named.is_empty() => {
            Err(garde::Error::new("names none; without it, all are meant"))
        }
        _ => Ok(()),
    }
}

fn either(nobody: &bool) -> impl FnOnce(&Vec<BTreeMap<String, u32>>, &()) -> garde::Result + '_ {
    move |tiers, ()| match (nobody, tiers.is_empty()) {
        (true, false) => Err(garde::Error::new("stand beside nobody = true")),
        (false, true) => Err(garde::Error::new(
            "are none; where nobody is to serve, say nobody = true",
        )),
        _ => Ok(()),
    }
}

impl fmt::Display for Dests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Dests(one, last) if one == last => write!(f, "{one}"),
            Dests(first, last) => write!(f, "{first}-{last}"),
        }
    }
}

impl Serialize for Dests {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match self {
            Dests(one, last) if one == last => s.serialize_u16(*one),
            several => s.collect_str(several),
        }
    }
}

impl<'de> Deserialize<'de> for Dests {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Dests, D::Error> {
        struct Read;

        impl Visitor<'_> for Read {
            type Value = Dests;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a destination from 0 to 65535 or a range as \"100-199\"")
            }

            fn visit_i64<E: Error>(self, one: i64) -> Result<Dests, E> {
                let dest = u16::try_from(one)
                    .map_err(|_| E::invalid_value(Unexpected::Signed(one), &self))?;
                Ok(Dests(dest, dest))
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<Dests, E> {
                let ends = text
                    .split_once('-')
                    .and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
                let ends = ends.filter(|(a, b)| a <= b);
                ends.map(|(a, b)| Dests(a, b))
                    .ok_or_else(|| E::invalid_value(Unexpected::Str(text), &self))
            }
        }

        d.deserialize_any(Read)
    }
}

#[cfg(feature = "tools")]
impl schemars::JsonSchema for Dests {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "Dests".into()
    }

    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({
            "description": "A destination, or a range of them as \"100-199\".",
            "anyOf": [
                {"type": "integer", "minimum": 0, "maximum": 65535},
                {"type": "string", "pattern": "^[0-9]{1,5}-[0-9]{1,5}$"},
            ],
        })
    }
}

/// Two tables are the same where they mean the same, wherever their texts say it.
impl PartialEq for Document {
    fn eq(&self, other: &Document) -> bool {
        self.canonical() == other.canonical()
    }
}

impl Document {
    /// Reads a text.
    ///
    /// # Errors
    /// All that is wrong with it at once, each with its line and setting.
    pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
        let table = Text::read(text, MOST_TEXT)?;
        let mut faults = Vec::new();
        let mut document = Document::default();
        for (key, value) in &table.values {
            match (key.as_str(), value) {
                ("list_alone", Value::Boolean(alone)) => document.list_alone = *alone,
                ("site", Value::Table(sites)) => {
                    for (name, site) in sites {
                        let at = format!("site.{name}");
                        match site {
                            Value::Table(t) => {
                                let site = table.fields(&at, t, &mut faults);
                                document.site.insert(name.clone(), site);
                            }
                            _ => faults.push(table.fault(&at, "is not a table")),
                        }
                    }
                }
                ("route", Value::Array(routes)) => {
                    for (n, route) in routes.iter().enumerate() {
                        let at = format!("route[{n}]");
                        match route {
                            Value::Table(t) => {
                                document.route.push(route_of(&table, &at, t, &mut faults))
                            }
                            _ => faults.push(table.fault(&at, "is not a table")),
                        }
                    }
                }
                ("list_alone", _) => faults.push(table.fault(key, "is neither true nor false")),
                ("site", _) => faults.push(table.fault(key, "is not a table of sites")),
                ("route", _) => faults.push(table.fault(key, "is not a list: [[route]]")),
                _ => faults.push(table.fault(key, "no table may say this")),
            }
        }
        // What did not read is told, and not once more for what follows from it.
        let read = faults.clone();
        let follows = |f: &Fault| {
            read.iter()
                .any(|r| within(&r.setting, &f.setting) || within(&f.setting, &r.setting))
        };
        faults.extend(table.judged(&document).into_iter().filter(|f| !follows(f)));
        document.settle();
        document.look(&table, &read, &mut faults);
        if document.list_alone && !document.route.is_empty() {
            faults.push(table.fault("list_alone", "routes stand beside it"));
        } else if !document.list_alone && document.route.is_empty() && read.is_empty() {
            faults.push(table.fault(
                "",
                "has no route; where all is left to the list, say list_alone = true",
            ));
        }
        faults.sort();
        faults.dedup();
        // Their order says nothing; it is that of their scopes.
        document.route.sort_by_key(Route::scope);
        match faults.is_empty() {
            true => Ok(document),
            false => Err(faults),
        }
    }

    /// What means the same becomes the same, but for the order of routes: faults name their places.
    fn settle(&mut self) {
        self.site.values_mut().for_each(|site| site.zones.sort());
        for route in &mut self.route {
            if let Some(dests) = &mut route.dests {
                dests.sort();
                let mut joined: Vec<Dests> = Vec::new();
                for dests in dests.iter() {
                    match joined.last_mut() {
                        Some(last) if dests.0 <= last.1.saturating_add(1) => {
                            last.1 = last.1.max(dests.1)
                        }
                        _ => joined.push(*dests),
                    }
                }
                *dests = joined;
            }
            if let Some(classes) = &mut route.classes {
                classes.sort();
                classes.dedup();
            }
            if let Some(tenants) = &mut route.tenants {
                tenants.sort();
                tenants.dedup();
            }
            for tier in &mut route.tiers {
                let all = tier.values().copied().reduce(common).filter(|all| *all > 1);
                all.into_iter()
                    .for_each(|all| tier.values_mut().for_each(|share| *share /= all));
            }
        }
    }

    /// Faults that no field shows by itself.
    fn look(&self, table: &Text, read: &[Fault], faults: &mut Vec<Fault>) {
        // What a route is for counts only where all of that did read.
        let scope = |f: &Fault, at: &str| {
            within(&f.setting, at) && !within(&f.setting, &format!("{at}.tiers"))
        };
        let whole = |n: usize| !read.iter().any(|f| scope(f, &format!("route[{n}]")));
        let mut of: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, site) in &self.site {
            let at = format!("site.{name}.zones");
            for zone in &site.zones {
                match of.insert(zone, name) {
                    Some(other) if other == name => {
                        faults.push(table.fault(&at, format!("{zone} stands twice")))
                    }
                    Some(other) => {
                        faults.push(table.fault(&at, format!("{zone} is a zone of {other}")))
                    }
                    None => {}
                }
            }
        }
        for (name, site) in &self.site {
            if of.contains_key(name.as_str()) && site.zones != [name.as_str()] {
                let problem = "is the name of a zone as well, and a tier could mean either";
                faults.push(table.fault(&format!("site.{name}"), problem));
            }
        }
        for (n, route) in self.route.iter().enumerate() {
            for (tier, shares) in route.tiers.iter().enumerate() {
                let mut seen = BTreeSet::new();
                for name in shares.keys() {
                    let at = format!("route[{n}].tiers[{tier}].{name}");
                    match self.zones_of(name) {
                        None => {
                            faults.push(table.fault(&at, "is neither a site nor a zone of one"))
                        }
                        Some(zones) => {
                            let twice = zones.into_iter().find(|zone| !seen.insert(*zone));
                            let problem =
                                |zone: &str| format!("zone {zone} stands twice in this tier");
                            faults.extend(twice.map(|zone| table.fault(&at, problem(zone))));
                        }
                    }
                }
            }
            let others = self.route[..n]
                .iter()
                .enumerate()
                .filter(|(m, _)| whole(*m));
            let same = others
                .into_iter()
                .find_map(|(m, other)| Some((m, route.meets(other)?)));
            if let Some((m, what)) = same.filter(|_| whole(n)) {
                let line = self.route[m]
                    .line
                    .map_or(String::new(), |line| format!(" (line {line})"));
                let problem = format!(
                    "{what}: route[{m}]{line} is for it as well, and neither is more specific"
                );
                faults.push(table.fault(&format!("route[{n}]"), problem));
            }
        }
    }

    /// Zones that a name in a tier stands for.
    fn zones_of<'a>(&'a self, name: &'a str) -> Option<Vec<&'a str>> {
        match self.site.get(name) {
            Some(site) => Some(site.zones.iter().map(String::as_str).collect()),
            None => {
                let known = self
                    .site
                    .values()
                    .any(|site| site.zones.iter().any(|zone| zone == name));
                known.then(|| vec![name])
            }
        }
    }

    /// The one form of all texts that mean the same: JSON without blanks, fields in the order of
    /// their declaration, sites by name, routes by what they are for, shares without a common
    /// factor, nothing that is not set.
    pub fn canonical(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The print of that.
    pub fn digest(&self) -> Digest {
        Sha256::new()
            .chain_update(KIND)
            .chain_update(self.canonical())
            .finalize()
            .into()
    }

    /// What is another in the later one: its name, what it was and what it is, as JSON; nothing
    /// where it is not said. Routes are named by what they are for.
    pub fn diff(&self, later: &Document) -> Vec<Difference> {
        let said = |of: &Document| {
            let json = |value: serde_json::Result<String>| value.unwrap_or_default();
            let sites = of.site.iter().map(|(name, s)| {
                (
                    format!("site.{name}.zones"),
                    json(serde_json::to_string(&s.zones)),
                )
            });
            let routes = of.route.iter().map(|route| {
                let goes = if route.nobody {
                    json(serde_json::to_string("nobody"))
                } else {
                    json(serde_json::to_string(&route.tiers))
                };
                (route.scope_told(), goes)
            });
            let alone = of
                .list_alone
                .then(|| ("list_alone".to_string(), "true".to_string()));
            sites.chain(routes).chain(alone).collect()
        };
        differences(&said(self), &said(later))
    }

    /// All for which a sender cannot go by it, a line each, at most 20: by the names of its
    /// classes, how many tenants its settings have, and what its directory lists. Each destination
    /// that is listed has to have a route for each class and tenant, with a zone in which it is
    /// listed, or has to be served by nobody on purpose.
    pub fn lacks(
        &self,
        classes: &[String],
        tenants: usize,
        listed: &[ZoneCapacity],
    ) -> Vec<String> {
        let mut lacks = Vec::new();
        let tenants = tenants.max(1);
        for route in &self.route {
            let at = |what: String| format!("{}: {what}", route.told());
            let unknown = route
                .classes
                .iter()
                .flatten()
                .filter(|name| !classes.contains(name));
            lacks.extend(unknown.map(|name| at(format!("this sender has no class {name}"))));
            let unknown = route
                .tenants
                .iter()
                .flatten()
                .filter(|tenant| usize::from(**tenant) >= tenants);
            lacks.extend(unknown.map(|tenant| at(format!("this sender has no tenant {tenant}"))));
        }
        if !self.route.is_empty() {
            let mut zones_of: BTreeMap<u16, BTreeSet<&str>> = BTreeMap::new();
            for capacity in listed {
                let zones = zones_of.entry(capacity.dest).or_default();
                zones.insert(&capacity.zone);
            }
            for (dest, zones) in &zones_of {
                for class in classes {
                    self.lacks_of(*dest, zones, class, tenants, &mut lacks);
                    if lacks.len() > MOST_TOLD {
                        lacks.truncate(MOST_TOLD - 1);
                        lacks.push("and more".into());
                        return lacks;
                    }
                }
            }
        }
        lacks
    }

    /// What a class lacks at a destination that is listed in these zones: a line for each route
    /// that does not lead there, and one for want of any.
    fn lacks_of(
        &self,
        dest: u16,
        listed: &BTreeSet<&str>,
        class: &str,
        tenants: usize,
        lacks: &mut Vec<String>,
    ) {
        let shown = |zones: &mut dyn Iterator<Item = &str>| zones.collect::<Vec<_>>().join(" ");
        let mut by: BTreeMap<Option<usize>, Vec<usize>> = BTreeMap::new();
        for tenant in 0..tenants {
            by.entry(self.route_for(dest, class, tenant as u16))
                .or_default()
                .push(tenant);
        }
        for (route, of) in by {
            let tenant = match of.len() == tenants {
                true => String::new(),
                false => {
                    format!(
                        ", tenant {}",
                        of.iter()
                            .map(usize::to_string)
                            .collect::<Vec<_>>()
                            .join(" ")
                    )
                }
            };
            let who = format!("destination {dest}, class {class}{tenant}");
            let has = shown(&mut listed.iter().copied());
            let Some(route) = route.map(|at| &self.route[at]) else {
                lacks.push(format!("{who}: no route, and it is listed in zone {has}"));
                continue;
            };
            let names: BTreeSet<&str> = route
                .tiers
                .iter()
                .flat_map(|t| t.keys())
                .filter_map(|name| self.zones_of(name))
                .flatten()
                .collect();
            if !route.nobody && !names.iter().any(|zone| listed.contains(zone)) {
                let (told, goes) = (route.told(), shown(&mut names.iter().copied()));
                lacks.push(format!(
                    "{who}: {told} goes to zone {goes}, and it is listed in zone {has} alone"
                ));
            }
        }
    }

    /// The route that counts for a message.
    fn route_for(&self, dest: u16, class: &str, tenant: u16) -> Option<usize> {
        let is_for = |r: &Route| {
            r.dests
                .as_ref()
                .is_none_or(|d| d.iter().any(|d| (d.0..=d.1).contains(&dest)))
                && r.classes
                    .as_ref()
                    .is_none_or(|c| c.iter().any(|c| c == class))
                && r.tenants.as_ref().is_none_or(|t| t.contains(&tenant))
        };
        let all = self.route.iter().enumerate().filter(|(_, r)| is_for(r));
        all.min_by_key(|(_, r)| r.specific()).map(|(at, _)| at)
    }

    /// Its routes for a sender with these classes and so many tenants. A class that the sender does
    /// not have is nobody's.
    pub fn routes(&self, classes: &[String], tenants: usize) -> Routes {
        let place = |name: &String| {
            classes
                .iter()
                .position(|class| class == name)
                .map(|at| at as u16)
        };
        let destination_range = |range: &Dests| DestinationRange {
            first: range.0,
            last: range.1,
        };
        let said = self.route.iter().map(|route| RouteSpec {
            destinations: route
                .dests
                .as_ref()
                .map(|ranges| ranges.iter().map(destination_range).collect()),
            classes: route
                .classes
                .as_ref()
                .map(|names| names.iter().filter_map(place).collect()),
            tenants: route.tenants.clone(),
            tiers: route.tiers.iter().map(|tier| self.parts(tier)).collect(),
        });
        Routes::new(classes.len(), tenants, said.collect())
    }

    fn parts(&self, tier: &BTreeMap<String, u32>) -> Vec<WeightedZones> {
        tier.iter()
            .filter_map(|(name, share)| {
                let zones = self.zones_of(name)?.into_iter().map(String::from).collect();
                Some(WeightedZones {
                    share: *share,
                    zones,
                })
            })
            .collect()
    }
}

impl Route {
    /// Sorts the more specific before the less.
    fn specific(&self) -> (bool, bool, bool) {
        (
            self.dests.is_none(),
            self.classes.is_none(),
            self.tenants.is_none(),
        )
    }

    /// What it is for: no two routes of a table are for the same.
    fn scope(&self) -> impl Ord {
        (
            self.dests.clone(),
            self.classes.clone(),
            self.tenants.clone(),
        )
    }

    fn scope_told(&self) -> String {
        fn some<T: ToString>(what: &str, names: &Option<Vec<T>>) -> String {
            let names = names
                .as_ref()
                .map(|n| n.iter().map(T::to_string).collect::<Vec<_>>().join(" "));
            names.map_or(String::new(), |names| format!(", {what} {names}"))
        }
        let dests = match &self.dests {
            Some(_) => some("destinations", &self.dests).split_off(2),
            None => "all destinations".into(),
        };
        format!(
            "route for {dests}{}{}",
            some("classes", &self.classes),
            some("tenants", &self.tenants)
        )
    }

    /// It, for those who have its text before them.
    fn told(&self) -> String {
        self.line.map_or_else(
            || self.scope_told(),
            |line| format!("its route in line {line}"),
        )
    }

    /// A message that both are for, where neither is more specific.
    fn meets(&self, other: &Route) -> Option<String> {
        if self.specific() != other.specific() {
            return None;
        }
        let meet = |a: &Dests| {
            other
                .dests
                .iter()
                .flatten()
                .find(|b| a.0 <= b.1 && b.0 <= a.1)
                .map(|b| a.0.max(b.0))
        };
        let mut what = Vec::new();
        if let Some(dests) = &self.dests {
            what.push(format!("destination {}", dests.iter().find_map(meet)?));
        }
        if let Some(classes) = &self.classes {
            let both = classes
                .iter()
                .find(|c| other.classes.iter().flatten().any(|o| o == *c))?;
            what.push(format!("class {both}"));
        }
        if let Some(tenants) = &self.tenants {
            let both = tenants
                .iter()
                .find(|t| other.tenants.iter().flatten().any(|o| o == *t))?;
            what.push(format!("tenant {both}"));
        }
        match what.is_empty() {
            true => Some("all messages".into()),
            false => Some(what.join(", ")),
        }
    }
}

/// Reads a route; its tiers share by share, so that each fault has its own line.
fn route_of(table: &Text, at: &str, told: &toml::Table, faults: &mut Vec<Fault>) -> Route {
    let mut rest = told.clone();
    let tiers = rest.remove("tiers");
    let mut route: Route = table.fields(at, &rest, faults);
    route.line = table.fault(at, "").line;
    match tiers {
        None => {}
        Some(Value::Array(tiers)) => {
            for (n, tier) in tiers.iter().enumerate() {
                let at = format!("{at}.tiers[{n}]");
                match tier {
                    Value::Table(t) => {
                        let tier: BTreeMap<String, u32> = table.fields(&at, t, faults);
                        for (name, share) in
                            tier.iter().filter(|(_, n)| !(1..=MOST_SHARE).contains(n))
                        {
                            let problem = format!("{share} is not from 1 to {MOST_SHARE}");
                            faults.push(table.fault(&format!("{at}.{name}"), problem));
                        }
                        route.tiers.push(tier);
                    }
                    _ => faults.push(table.fault(&at, "is not a tier: { NAME = SHARE, ... }")),
                }
            }
        }
        Some(_) => faults.push(table.fault(&format!("{at}.tiers"), "is not a list of tiers")),
    }
    route
}

/// Whether a setting is one, or stands in it.
fn within(setting: &str, of: &str) -> bool {
    setting
        .strip_prefix(of)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

/// The greatest common factor.
fn common(a: u32, b: u32) -> u32 {
    match b {
        0 => a,
        b => common(b, a % b),
    }
}

/// The JSON Schema of a table (draft 2020-12).
#[cfg(feature = "tools")]
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Document)
}

#[cfg(test)]
mod tests;
