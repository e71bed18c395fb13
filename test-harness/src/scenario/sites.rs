//! Sites of a play, and the words for them.

use super::{Deed, Fleet, Scenario, Which, Who};
use crate::keepers::SITE;
use crate::stage::DESTS;
use serde::Deserialize;
use std::collections::BTreeSet;

/// A site. In the order of the file they are number 1, 2 and so on of their federation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Its zones. The senders that stand in them follow its keepers and its directory.
    pub zones: Vec<String>,
    /// How many keepers begin it: `NAME/k1`, `NAME/k2` and so on.
    #[serde(default = "keepers")]
    pub keepers: usize,
    /// How many more there are.
    #[serde(default)]
    pub spare: usize,
}

fn keepers() -> usize {
    3
}

impl Site {
    /// One.
    pub fn of(name: &str, zones: &[&str], keepers: usize) -> Site {
        let zones = zones.iter().map(|z| z.to_string()).collect();
        Site {
            name: name.into(),
            zones,
            keepers,
            spare: 0,
        }
    }
}

/// Words for sites beside their names: all, the one that leads the federation, the first one that
/// does not, and the one whose process logged what the step waited for.
pub(super) const WORDS: [&str; 4] = ["all", "lead", "led", "speaker"];

impl Scenario {
    /// Where several sites are named: their zones are all that there are, each with an endpoint for
    /// each destination at the least, and there are keepers.
    pub(super) fn with_sites(mut self) -> Scenario {
        if !self.sites.is_empty() {
            self.zones = self.sites.iter().flat_map(|s| s.zones.clone()).collect();
            self.endpoints = self.endpoints.max(DESTS * self.zones.len());
            self.fleet.get_or_insert_with(Fleet::default);
        }
        self
    }

    /// The sites; one where none is named.
    pub(crate) fn places(&self) -> Vec<Site> {
        match (&self.sites[..], &self.fleet) {
            ([], fleet) => {
                let (keepers, spare) = fleet.as_ref().map_or((0, 0), |f| (f.keepers, f.spare));
                vec![Site {
                    name: SITE.into(),
                    zones: self.zones.clone(),
                    keepers,
                    spare,
                }]
            }
            (sites, _) => sites.to_vec(),
        }
    }

    /// The site of a sender, by its position.
    pub(crate) fn site_of(&self, sender: usize) -> usize {
        let zone = &self.zones[sender % self.zones.len()];
        self.sites
            .iter()
            .position(|s| s.zones.contains(zone))
            .unwrap_or(0)
    }

    /// A keeper's name.
    pub(crate) fn keeper(&self, (site, keeper): (usize, usize)) -> String {
        match self.sites.get(site) {
            None => format!("k{}", keeper + 1),
            Some(site) => format!("{}/k{}", site.name, keeper + 1),
        }
    }

    /// Whether a word means sites.
    pub(super) fn is_site(&self, word: &str) -> bool {
        !self.sites.is_empty()
            && (WORDS.contains(&word) || self.sites.iter().any(|s| s.name == word))
    }

    /// The first fault of what is said of sites.
    pub(super) fn fault_of_sites(&self) -> Option<(String, String)> {
        let fault = |why: &str| Some(("sites".to_string(), why.to_string()));
        let names: BTreeSet<&str> = self.sites.iter().map(|s| s.name.as_str()).collect();
        let zones: BTreeSet<&String> = self.zones.iter().collect();
        if names.len() < self.sites.len()
            || !self.sites.is_empty() && zones.len() < self.zones.len()
        {
            return fault("a name, or a zone, stands twice");
        }
        if names
            .iter()
            .any(|n| n.is_empty() || n.contains('/') || WORDS.contains(n))
        {
            return fault("a name is empty, has a slash, or is a word for sites");
        }
        if self
            .sites
            .iter()
            .any(|s| s.zones.is_empty() || !(1..=9).contains(&(s.keepers + s.spare)))
        {
            return fault("each has a zone or more, and 1 to 9 keepers");
        }
        if self.sites.len() > 50 {
            return fault("50 at the most");
        }
        let tables = self.tables.fault(&self.zones);
        tables.map(|(field, why)| (format!("tables.{field}"), why))
    }

    /// What a deed says of sites that there are not, or of tables.
    pub(super) fn fault_of_deed(&self, deed: &Deed) -> Option<String> {
        let no_site = |name: &str| format!("there is no site '{name}'");
        let names: Vec<&str> = match deed {
            Deed::SiteLines { from, to, .. } => vec![from, to],
            Deed::SiteAnew { site, .. } => vec![site],
            Deed::Table {
                order: crate::tables::TableOrder::Off(site),
                ..
            }
            | Deed::Table {
                order: crate::tables::TableOrder::Join { site, .. },
                ..
            } => vec![site],
            Deed::Table {
                order: crate::tables::TableOrder::Propose(name),
                ..
            } if !self.tables.given.iter().any(|g| g.name == *name) => {
                return Some(format!("there is no table '{name}'"));
            }
            _ => Vec::new(),
        };
        names
            .into_iter()
            .find(|name| !self.is_site(name))
            .map(no_site)
    }

    /// Senders that are meant.
    pub(super) fn those(&self, who: &Who, speaker: Option<&str>) -> Vec<usize> {
        match who {
            Who::Share(share) => (0..(share * self.senders as f64).ceil() as usize).collect(),
            Who::Names(names) => {
                let speaks =
                    |name: &str| names.iter().any(|n| n == "speaker") && speaker == Some(name);
                let of_site = |n: usize| {
                    let site = self.sites.get(self.site_of(n));
                    site.is_some_and(|s| names.contains(&format!("{}/senders", s.name)))
                };
                let is_meant = |name: String| names.contains(&name) || speaks(&name);
                (0..self.senders)
                    .filter(|n| is_meant(format!("n{n}")) || of_site(*n))
                    .collect()
            }
        }
    }

    /// Whether a word means keepers that there are.
    pub(super) fn is_which(&self, which: &Which) -> bool {
        let most = self
            .places()
            .iter()
            .map(|s| s.keepers + s.spare)
            .max()
            .unwrap_or(0);
        match which {
            Which::At(site, which) => self.is_site(site) && self.is_which(which),
            Which::These(these) => these.iter().all(|n| *n < most),
            Which::Exactly(_) => true,
            _ => most > 0,
        }
    }

    /// Whether somebody is called so who logs.
    pub(super) fn is_heard(&self, who: &str) -> bool {
        let is_sender = |name: &str| (0..self.senders).any(|n| name == format!("n{n}"));
        let places = self.places();
        let keepers = || {
            (0..places.len())
                .flat_map(|s| (0..places[s].keepers + places[s].spare).map(move |k| (s, k)))
        };
        let of_site = |(site, of): (&str, &str)| {
            self.sites.iter().any(|s| s.name == site) && ["keepers", "senders"].contains(&of)
        };
        who == "senders"
            || is_sender(who)
            || who == "keepers" && keepers().next().is_some()
            || keepers().any(|k| self.keeper(k) == who)
            || who.split_once('/').is_some_and(of_site)
    }
}
