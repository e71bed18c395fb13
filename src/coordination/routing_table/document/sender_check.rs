//! Checks whether a sender can use a table, by its classes, its tenants and its endpoint list.

use crate::coordination::routing_table::document::{Document, Route};
use crate::delivery::endpoint::ZoneCapacity;
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of lines about what a sender lacks; they are sent with its refusal.
pub(super) const MAX_LACKS: usize = 20;

impl Document {
    /// Returns the reasons why a sender cannot use the table, one per line and at most 20. They
    /// depend on the names of its classes, the number of tenants in its settings, and the endpoints
    /// that its directory lists.
    ///
    /// Each listed destination needs a route for each class and tenant. That route has to include a
    /// zone in which the destination is listed, or state with `nobody` that no zone serves it.
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

    /// Adds what a class lacks at a destination that is listed in these zones: a line for each
    /// route that leads to none of them, and a line if there is no route.
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

    /// Returns the tenants by the route that applies to them; `None` is the key of tenants without
    /// a route.
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

    /// Returns all zones of a route.
    fn zones_of_route<'a>(&'a self, route: &'a Route) -> BTreeSet<&'a str> {
        let names = route.tiers.iter().flat_map(|tier| tier.keys());
        let zones = names.filter_map(|name| self.zones_of(name));
        zones.flatten().collect()
    }

    /// Returns the index of the route that applies to a message.
    fn route_for(&self, dest: u16, class: &str, tenant: u16) -> Option<usize> {
        let all = self.route.iter().enumerate();
        let matching = all.filter(|(_, route)| route.is_for(dest, class, tenant));
        let most_specific = matching.min_by_key(|(_, route)| route.specificity());
        most_specific.map(|(at, _)| at)
    }
}

/// Returns the classes and tenants that a route names and the sender does not have, one per line.
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

/// Returns the zones in which each destination is listed.
fn listed_zones(listed: &[ZoneCapacity]) -> BTreeMap<u16, BTreeSet<&str>> {
    let mut zones_of: BTreeMap<u16, BTreeSet<&str>> = BTreeMap::new();
    for capacity in listed {
        let zones = zones_of.entry(capacity.dest).or_default();
        zones.insert(&capacity.zone);
    }
    zones_of
}

/// Joins values with spaces.
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
