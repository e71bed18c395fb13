//! Parses the text of a table and reports all faults at once, each with its line and setting.

use crate::coordination::policy_rollout::document::{Fault, Text};
use crate::coordination::routing_table::document::validate::is_within;
use crate::coordination::routing_table::document::{DestinationRange, Document, Route};
use crate::coordination::routing_table::federation::MAX_TEXT_BYTES;
use std::collections::BTreeMap;
use toml::Value;

/// Largest share: differences finer than one ten-thousandth are not observable.
const MAX_SHARE: u32 = 10_000;

impl Document {
    /// Parses the text of a table.
    ///
    /// # Errors
    /// All faults of the text, each with its line and setting.
    pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
        let text = Text::read(text, MAX_TEXT_BYTES)?;
        let mut faults = Vec::new();
        let mut document = Document::read_settings(&text, &mut faults);
        // A setting that could not be read is reported once, without the faults that follow from
        // it.
        let unread = faults.clone();
        let follows = |fault: &Fault| unread.iter().any(|u| is_same_place(u, fault));
        let field_faults = text.validation_faults(&document).into_iter();
        faults.extend(field_faults.filter(|fault| !follows(fault)));
        document.normalize();
        document.check_meaning(&text, &unread, &mut faults);
        document.check_presence(&text, &unread, &mut faults);
        faults.sort();
        faults.dedup();
        // The order of routes has no meaning; they are sorted by scope.
        document.route.sort_by_key(Route::scope);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(faults)
        }
    }

    fn read_settings(text: &Text, faults: &mut Vec<Fault>) -> Document {
        let mut document = Document::default();
        for (key, value) in &text.values {
            match (key.as_str(), value) {
                ("list_alone", Value::Boolean(alone)) => document.list_alone = *alone,
                ("site", Value::Table(sites)) => document.read_sites(text, sites, faults),
                ("route", Value::Array(routes)) => document.read_routes(text, routes, faults),
                ("list_alone", _) => faults.push(text.fault(key, "is neither true nor false")),
                ("site", _) => faults.push(text.fault(key, "is not a table of sites")),
                ("route", _) => faults.push(text.fault(key, "is not a list: [[route]]")),
                _ => faults.push(text.fault(key, "unknown setting")),
            }
        }
        document
    }

    fn read_sites(&mut self, text: &Text, sites: &toml::Table, faults: &mut Vec<Fault>) {
        for (name, site) in sites {
            let at = format!("site.{name}");
            if let Value::Table(settings) = site {
                let site = text.fields(&at, settings, faults);
                self.site.insert(name.clone(), site);
            } else {
                faults.push(text.fault(&at, "is not a table"));
            }
        }
    }

    fn read_routes(&mut self, text: &Text, routes: &[Value], faults: &mut Vec<Fault>) {
        for (n, route) in routes.iter().enumerate() {
            let at = format!("route[{n}]");
            if let Value::Table(settings) = route {
                self.route.push(read_route(text, &at, settings, faults));
            } else {
                faults.push(text.fault(&at, "is not a table"));
            }
        }
    }

    /// Gives settings with the same meaning the same form. The order of routes is kept because
    /// faults refer to their positions.
    fn normalize(&mut self) {
        for site in self.site.values_mut() {
            site.zones.sort();
        }
        for route in &mut self.route {
            if let Some(ranges) = &mut route.dests {
                *ranges = merge_ranges(std::mem::take(ranges));
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
                reduce_shares(tier);
            }
        }
    }
}

/// Returns whether two faults concern the same setting, or one concerns a part of the other's
/// setting.
fn is_same_place(one: &Fault, other: &Fault) -> bool {
    is_within(&one.setting, &other.setting) || is_within(&other.setting, &one.setting)
}

/// Sorts ranges and merges those that overlap or are adjacent.
fn merge_ranges(mut ranges: Vec<DestinationRange>) -> Vec<DestinationRange> {
    ranges.sort();
    let mut merged: Vec<DestinationRange> = Vec::new();
    for range in ranges {
        match merged.last_mut() {
            Some(last) if range.first <= last.last.saturating_add(1) => {
                last.last = last.last.max(range.last);
            }
            _ => merged.push(range),
        }
    }
    merged
}

/// Divides the shares of a tier by their greatest common divisor.
fn reduce_shares(tier: &mut BTreeMap<String, u32>) {
    let divisor = tier.values().copied().reduce(greatest_common_divisor);
    if let Some(divisor) = divisor.filter(|divisor| *divisor > 1) {
        for share in tier.values_mut() {
            *share /= divisor;
        }
    }
}

fn greatest_common_divisor(a: u32, b: u32) -> u32 {
    match b {
        0 => a,
        b => greatest_common_divisor(b, a % b),
    }
}

/// Reads a route. Its tiers are read share by share, so that each fault has its own line.
fn read_route(text: &Text, at: &str, settings: &toml::Table, faults: &mut Vec<Fault>) -> Route {
    let mut rest = settings.clone();
    let tiers = rest.remove("tiers");
    let mut route: Route = text.fields(at, &rest, faults);
    route.line = text.fault(at, "").line;
    match tiers {
        None => {}
        Some(Value::Array(tiers)) => {
            for (n, tier) in tiers.iter().enumerate() {
                let at = format!("{at}.tiers[{n}]");
                if let Value::Table(shares) = tier {
                    route.tiers.push(read_tier(text, &at, shares, faults));
                } else {
                    faults.push(text.fault(&at, "is not a tier: { NAME = SHARE, ... }"));
                }
            }
        }
        Some(_) => faults.push(text.fault(&format!("{at}.tiers"), "is not a list of tiers")),
    }
    route
}

fn read_tier(
    text: &Text,
    at: &str,
    shares: &toml::Table,
    faults: &mut Vec<Fault>,
) -> BTreeMap<String, u32> {
    let tier: BTreeMap<String, u32> = text.fields(at, shares, faults);
    for (name, share) in &tier {
        if !(1..=MAX_SHARE).contains(share) {
            let problem = format!("{share} is not from 1 to {MAX_SHARE}");
            faults.push(text.fault(&format!("{at}.{name}"), problem));
        }
    }
    tier
}
