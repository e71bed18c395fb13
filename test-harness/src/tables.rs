//! Routing tables that all sites of a play agree on: what is given, and what people order of it.

use crate::policy::{Order, Ordered};
use crate::routing::{Ends, Proposed, Routing};
use crate::scenario::{After, Site};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// What keepers say of a proposal while another one runs.
const ONLY_ONE: &str = "only one is at a time";

/// What a play has of routing tables.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tables {
    /// Those that can be proposed.
    pub given: Vec<Given>,
    /// The play is over when all of these were said and `rest_s` have passed; it is missed if that
    /// never comes.
    pub until: Vec<After>,
    /// See above.
    pub rest_s: f64,
}

/// A table that can be proposed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Given {
    /// Its name.
    pub name: String,
    /// The zones that it sends all messages to, in equal shares. Where two tables follow each other
    /// and have one in common, calls there tell less.
    pub zones: Vec<String>,
    /// Further routes, which send nowhere else.
    #[serde(default)]
    pub text: String,
    /// It ends nowhere if not all sites have accepted it in so many seconds.
    pub within_s: Option<u32>,
    /// How it ends.
    #[serde(default)]
    pub ends: Ends,
}

/// What a person orders of tables and sites.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum TableOrder {
    /// That all sites agree on a table.
    Propose(String),
    /// That the proposal ends nowhere.
    Abort,
    /// That a site is off the roster.
    Off(String),
    /// That a site joins, as a new one.
    Join {
        /// Its name.
        site: String,
        /// Its number.
        number: u64,
    },
    /// Nothing: it is only asked how things stand.
    Status,
    /// Nothing: it is only asked what is over.
    History,
}

impl Given {
    /// Its document.
    pub(crate) fn document(&self, sites: &[Site]) -> String {
        let mut text = String::new();
        for site in sites {
            let zones = toml::Value::from(site.zones.clone());
            text += &format!(
                "[site.{}]\nzones = {zones}\n\n",
                toml::Value::from(site.name.clone())
            );
        }
        let shares = self
            .zones
            .iter()
            .map(|zone| format!("{} = 1", toml::Value::from(zone.clone())));
        let tier = shares.collect::<Vec<_>>().join(", ");
        text += &format!("[[route]]\ntiers = [{{ {tier} }}]\n\n{}\n", self.text);
        text
    }
}

impl Tables {
    /// The first value that cannot be used.
    pub(crate) fn fault(&self, zones: &[String]) -> Option<(&'static str, String)> {
        let empty = self.given.iter().find(|g| g.zones.is_empty());
        if let Some(given) = empty {
            return Some(("given", format!("{} sends to no zone", given.name)));
        }
        let other = self
            .given
            .iter()
            .flat_map(|g| &g.zones)
            .find(|zone| !zones.contains(zone));
        other.map(|zone| ("given", format!("there is no zone '{zone}'")))
    }

    /// What orders make of it: what may come into force, one after another, what never may, and who
    /// is off the roster.
    pub(crate) fn end(&self, routing: &mut Routing, ordered: &[Ordered]) {
        // One that waited for another may have been given before it.
        let mut by_end: Vec<&Ordered> = ordered.iter().collect();
        by_end.sort_by_key(|one| one.over_at);
        for one in by_end {
            let (Order::Table(order), Some(given)) = (&one.order, one.given_at) else {
                continue;
            };
            // One that was not answered may have been taken.
            let taken = one.over_at.filter(|_| one.code == Some(0));
            match order {
                TableOrder::Propose(name) => {
                    let Some(table) = self.given.iter().find(|g| g.name == *name) else {
                        continue;
                    };
                    // Where nobody else proposed, it is its own proposal that is in its way: an
                    // answer was lost.
                    let in_the_way = |o: &Ordered| {
                        let proposes = matches!(o.order, Order::Table(TableOrder::Propose(_)));
                        !std::ptr::eq(o, one)
                            && proposes
                            && !o.was_refused()
                            && o.given_at <= one.over_at
                    };
                    let own = one.said.contains(ONLY_ONE) && !ordered.iter().any(in_the_way);
                    let ends = match one.code {
                        Some(1) if own => Ends::Either,
                        Some(1) => Ends::Nowhere,
                        Some(0) => table.ends,
                        _ if table.ends == Ends::Decided => Ends::Either,
                        _ => table.ends,
                    };
                    let (name, zones) = (name.clone(), table.zones.iter().cloned().collect());
                    routing.proposed(Proposed {
                        name,
                        zones,
                        given,
                        taken,
                        ends,
                    });
                }
                TableOrder::Off(site) => taken.into_iter().for_each(|at| routing.off(site, at)),
                TableOrder::Join { site, .. } => routing.joins(site, given),
                TableOrder::Abort | TableOrder::Status | TableOrder::History => {}
            }
        }
    }
}

impl TableOrder {
    /// Its words behind `raildeal fleet`; `file` is where a table may be written, `at` where a
    /// site's keepers are reached.
    pub(crate) fn words(
        &self,
        tables: &Tables,
        sites: &[Site],
        file: &Path,
        at: &[String],
    ) -> std::io::Result<Vec<String>> {
        let words = |words: &[&str]| words.iter().map(|w| w.to_string()).collect::<Vec<_>>();
        Ok(match self {
            TableOrder::Propose(name) => {
                let table = tables.given.iter().find(|g| g.name == *name);
                let table =
                    table.ok_or_else(|| std::io::Error::other(format!("no table '{name}'")))?;
                std::fs::write(file, table.document(sites))?;
                let mut said = words(&["table", "propose"]);
                said.push(file.display().to_string());
                said.extend(
                    table
                        .within_s
                        .iter()
                        .flat_map(|s| ["--within-s".to_string(), s.to_string()]),
                );
                said
            }
            TableOrder::Abort => words(&["table", "abort"]),
            TableOrder::Status => words(&["table", "status"]),
            TableOrder::History => words(&["table", "history"]),
            TableOrder::Off(site) => words(&["site", "off", site]),
            TableOrder::Join { site, number } => [
                words(&["site", "join", site, &number.to_string()]),
                at.to_vec(),
            ]
            .concat(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;
    use std::time::{Duration, Instant};

    #[test]
    fn a_document_names_sites_and_sends_to_its_zones_alone() {
        let site = |name: &str, zones: &[&str]| Site::of(name, zones, 1);
        let sites = [site("north", &["a", "b"]), site("south", &["c"])];
        let zones = vec!["a".to_string(), "c".to_string()];
        let given = Given {
            name: "t1".into(),
            zones,
            ..Given::default()
        };
        let text: toml::Table = given.document(&sites).parse().expect("TOML");
        assert_eq!(text["site"]["north"]["zones"].to_string(), "[\"a\", \"b\"]");
        let tiers = text["route"][0]["tiers"][0].as_table().expect("a tier");
        assert_eq!(tiers.keys().collect::<Vec<_>>(), ["a", "c"]);
    }

    #[test]
    fn what_was_refused_may_be_seen_nowhere_and_what_was_not_answered_may_have_come() {
        let begun = Instant::now();
        let given = |name: &str, zone: &str| Given {
            name: name.into(),
            zones: vec![zone.into()],
            ..Given::default()
        };
        let tables = Tables {
            given: vec![given("t1", "a"), given("t2", "b")],
            ..Tables::default()
        };
        let order = |name: &str, code| Ordered {
            order: Order::Table(TableOrder::Propose(name.into())),
            code,
            said: String::new(),
            took_s: 0.0,
            given_at: Some(begun),
            over_at: Some(begun),
        };
        // A call into b after both orders were given, as things went with the second one.
        let breaches = |code| {
            let mut routing = Routing::default();
            routing.stands("n0", "north");
            tables.end(&mut routing, &[order("t1", Some(0)), order("t2", code)]);
            let record = crate::record::Record::default();
            record.handed("m1", "n0");
            let mut seen = record.seen();
            let life = seen.lives.get_mut("m1").expect("handed in");
            life.handed_at = Some(begun + Duration::from_secs(1));
            life.calls
                .push((begun + Duration::from_secs(2), "b".into()));
            let lives: BTreeMap<_, _> = std::mem::take(&mut seen.lives);
            routing.breaches(&lives).len()
        };
        assert_eq!([Some(0), None, Some(2)].map(breaches), [0; 3]);
        assert_eq!(breaches(Some(1)), 0, "the list alone may still be in force");
    }
}
