//! Faults of a table that involve several fields: zones of two sites, names with two meanings,
//! tiers that name a zone twice, and routes that match the same message.

use crate::coordination::policy_rollout::document::{Fault, Text};
use crate::coordination::routing_table::document::Document;
use std::collections::{BTreeMap, BTreeSet};

impl Document {
    /// Finds faults in the settings that were read. `unread` are the faults of those that could not
    /// be read.
    pub(super) fn check_meaning(&self, text: &Text, unread: &[Fault], faults: &mut Vec<Fault>) {
        self.check_sites(text, faults);
        for n in 0..self.route.len() {
            self.check_tiers(n, text, faults);
            self.check_conflict(n, text, unread, faults);
        }
    }

    /// Checks that a zone belongs to one site, and that no site has the name of another one's zone.
    fn check_sites(&self, text: &Text, faults: &mut Vec<Fault>) {
        let mut site_of_zone: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, site) in &self.site {
            let at = format!("site.{name}.zones");
            for zone in &site.zones {
                match site_of_zone.insert(zone, name) {
                    Some(other) if other == name => {
                        faults.push(text.fault(&at, format!("{zone} is listed twice")));
                    }
                    Some(other) => {
                        faults.push(text.fault(&at, format!("{zone} is a zone of {other}")));
                    }
                    None => {}
                }
            }
        }
        for (name, site) in &self.site {
            if site_of_zone.contains_key(name.as_str()) && site.zones != [name.as_str()] {
                let problem = "is the name of a zone as well, so a tier could mean either";
                faults.push(text.fault(&format!("site.{name}"), problem));
            }
        }
    }

    /// Checks that the tiers of a route name sites or their zones, and each zone at most once per
    /// tier.
    fn check_tiers(&self, n: usize, text: &Text, faults: &mut Vec<Fault>) {
        for (tier, shares) in self.route[n].tiers.iter().enumerate() {
            let mut seen = BTreeSet::new();
            for name in shares.keys() {
                let at = format!("route[{n}].tiers[{tier}].{name}");
                let Some(zones) = self.zones_of(name) else {
                    faults.push(text.fault(&at, "is neither a site nor a zone of one"));
                    continue;
                };
                if let Some(zone) = zones.into_iter().find(|zone| !seen.insert(*zone)) {
                    let problem = format!("zone {zone} is listed twice in this tier");
                    faults.push(text.fault(&at, problem));
                }
            }
        }
    }

    /// Checks that no earlier route matches the same message with the same specificity.
    fn check_conflict(&self, n: usize, text: &Text, unread: &[Fault], faults: &mut Vec<Fault>) {
        if !is_scope_read(n, unread) {
            return;
        }
        let earlier = self.route[..n].iter().enumerate();
        let conflict = earlier
            .filter(|(m, _)| is_scope_read(*m, unread))
            .find_map(|(m, other)| Some((m, self.route[n].conflict_with(other)?)));
        let Some((m, message)) = conflict else {
            return;
        };
        let line = match self.route[m].line {
            Some(line) => format!(" (line {line})"),
            None => String::new(),
        };
        let problem =
            format!("{message}: route[{m}]{line} matches it as well, and neither is more specific");
        faults.push(text.fault(&format!("route[{n}]"), problem));
    }

    /// Checks that a table either has routes or sets `list_alone`.
    pub(super) fn check_presence(&self, text: &Text, unread: &[Fault], faults: &mut Vec<Fault>) {
        let has_routes = !self.route.is_empty();
        if self.list_alone && has_routes {
            faults.push(text.fault("list_alone", "cannot be combined with routes"));
        } else if !self.list_alone && !has_routes && unread.is_empty() {
            let problem = "has no route; set list_alone = true to route by the endpoint list alone";
            faults.push(text.fault("", problem));
        }
    }
}

/// Returns whether all settings that select a route's messages could be read. Only then can the
/// route be compared with others.
fn is_scope_read(n: usize, unread: &[Fault]) -> bool {
    let route = format!("route[{n}]");
    let tiers = format!("{route}.tiers");
    let is_of_scope =
        |fault: &Fault| is_within(&fault.setting, &route) && !is_within(&fault.setting, &tiers);
    !unread.iter().any(is_of_scope)
}

/// Returns whether a setting is the one called `of` or a part of it.
pub(super) fn is_within(setting: &str, of: &str) -> bool {
    setting
        .strip_prefix(of)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}
