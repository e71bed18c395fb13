//! Whether a sender can go by a table: its classes, its tenants and what its endpoint list offers.

use crate::coordination::routing_table::document::{Document, Route};
use crate::delivery::endpoint::ZoneCapacity;
use std::collections::{BTreeMap, BTreeSet};

/// Lines of what a sender lacks, at the most: they are sent with its refusal.
pub(super) const MAX_LACKS: usize = 20;

impl Document {
    /// All for which a sender cannot go by it, a line each, at most 20: by the names of its
    /// classes, how many tenants its settings have, and what its directory lists.
    ///
    /// Each destination that is listed has to have a route for each class and tenant, with a zone
    /// in which it is listed, or has to be served by nobody on purpose.
    pub fn lacks(
        &self,
        classes: &[String],
        tenants: usize,
        listed: &[ZoneCapacity],
    ) -> Vec<String> {
        let tenants = tenants.max(1);
        let mut lacks = Vec::new();
        for route in &self.route {
            lacks.extend(unknown_names(route, classes, tenants));
        }
        if self.route.is_empty() {
            return lacks;
        }
        for (dest, zones) in &listed_zones(listed) {
            for class in classes {
                self.lacks_at(*dest, zones, class, tenants, &mut lacks);
                if lacks.len() > MAX_LACKS {
                    lacks.truncate(MAX_LACKS - 1);
                    lacks.push("and more".into());
                    return lacks;
                }
            }
        }
        lacks
    }

    /// What a class lacks at a destination that is listed in these zones: a line for each route
    /// that does not lead there, and one for want of any.
    fn lacks_at(
        &self,
        dest: u16,
        listed: &BTreeSet<&str>,
        class: &str,
        tenants: usize,
        lacks: &mut Vec<String>,
    ) {
        for (route, of) in self.tenants_by_route(dest, class, tenants) {
            let tenant = if of.len() == tenants {
                String::new()
            } else {
                format!(", tenant {}", joined(of.iter().map(usize::to_string)))
            };
            let who = format!("destination {dest}, class {class}{tenant}");
            let has = joined(listed.iter().copied());
            let Some(route) = route.map(|at| &self.route[at]) else {
                lacks.push(format!("{who}: no route, and it is listed in zone {has}"));
                continue;
            };
            let zones = self.zones_of_route(route);
            if !route.nobody && zones.is_disjoint(listed) {
                let name = route.name_in_text();
                let goes = joined(zones.iter().copied());
                lacks.push(format!(
                    "{who}: {name} goes to zone {goes}, and it is listed in zone {has} alone"
                ));
            }
        }
    }

    /// The route of each tenant, or none: tenants by route.
    fn tenants_by_route(
        &self,
        dest: u16,
        class: &str,
        tenants: usize,
    ) -> BTreeMap<Option<usize>, Vec<usize>> {
        let mut by_route: BTreeMap<Option<usize>, Vec<usize>> = BTreeMap::new();
        for tenant in 0..tenants {
            let route = self.route_for(dest, class, tenant as u16);
            by_route.entry(route).or_default().push(tenant);
        }
        by_route
    }

    /// All zones that a route leads to.
    fn zones_of_route<'a>(&'a self, route: &'a Route) -> BTreeSet<&'a str> {
        let names = route.tiers.iter().flat_map(|tier| tier.keys());
        let zones = names.filter_map(|name| self.zones_of(name));
        zones.flatten().collect()
    }

    /// The route that counts for a message.
    fn route_for(&self, dest: u16, class: &str, tenant: u16) -> Option<usize> {
        let all = self.route.iter().enumerate();
        let matching = all.filter(|(_, route)| route.is_for(dest, class, tenant));
        let most_specific = matching.min_by_key(|(_, route)| route.specificity());
        most_specific.map(|(at, _)| at)
    }
}

/// Classes and tenants that a route names and the sender does not have.
fn unknown_names(route: &Route, classes: &[String], tenants: usize) -> Vec<String> {
    let mut unknown = Vec::new();
    for name in route.classes.iter().flatten() {
        if !classes.contains(name) {
            unknown.push(format!(
                "{}: this sender has no class {name}",
                route.name_in_text()
            ));
        }
    }
    for tenant in route.tenants.iter().flatten() {
        if usize::from(*tenant) >= tenants {
            unknown.push(format!(
                "{}: this sender has no tenant {tenant}",
                route.name_in_text()
            ));
        }
    }
    unknown
}

/// Zones in which each destination is listed.
fn listed_zones(listed: &[ZoneCapacity]) -> BTreeMap<u16, BTreeSet<&str>> {
    let mut zones_of: BTreeMap<u16, BTreeSet<&str>> = BTreeMap::new();
    for capacity in listed {
        let zones = zones_of.entry(capacity.dest).or_default();
        zones.insert(&capacity.zone);
    }
    zones_of
}

/// Several in one line, with blanks between them.
fn joined<T: AsRef<str>>(all: impl Iterator<Item = T>) -> String {
    let mut line = String::new();
    for one in all {
        if !line.is_empty() {
            line.push(' ');
        }
        line.push_str(one.as_ref());
    }
    line
}
