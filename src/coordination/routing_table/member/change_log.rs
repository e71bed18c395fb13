//! Log lines about changes of proposals and of the roster. Each change is logged once; nothing that
//! the record already held when the member started is logged.

use crate::coordination::routing_table::federation::{Federation, DECIDED};
use crate::coordination::routing_table::member::{FederationMember, Stage};
use std::collections::BTreeMap;

/// The state of the record at the last call of `log_changes`.
#[derive(Default)]
pub(super) struct LoggedState {
    /// Highest table number that was proposed.
    proposed: u64,
    /// Highest table number whose proposal has ended.
    ended: u64,
    /// Names of the sites on the roster, by number.
    sites: BTreeMap<u64, String>,
}

impl LoggedState {
    fn log_changes(&self, record: &Federation) {
        for past in record.past.iter().filter(|p| p.number > self.ended) {
            if past.number > self.proposed {
                log::info!("table {}: proposed by {}", past.number, past.by.site);
            }
            match past.end.as_str() {
                DECIDED => log::info!("table {}: decided", past.number),
                why => log::info!("table {}: ended: {why}", past.number),
            }
        }
        if let Some(proposal) = &record.proposal {
            let number = proposal.table.number;
            if number > self.proposed {
                log::info!("table {number}: proposed by {}", proposal.by.site);
            }
        }
        for (number, site) in &record.sites {
            if !self.sites.contains_key(number) {
                log::info!("site {} joins as {number}", site.name);
            }
        }
        for (number, name) in &self.sites {
            if !record.sites.contains_key(number) {
                log::info!("site {name} is off the roster");
            }
        }
    }

    fn catch_up(&mut self, record: &Federation) {
        let newest_past = record.past.back().map_or(0, |p| p.number);
        self.ended = self.ended.max(newest_past);
        let running = record.proposal.as_ref().map_or(0, |p| p.table.number);
        self.proposed = self.proposed.max(running).max(self.ended);
        let names = record.sites.iter();
        self.sites = names.map(|(n, site)| (*n, site.name.clone())).collect();
    }
}

impl FederationMember {
    /// Logs what changed in the federation's record since the last call.
    pub(super) fn log_changes(&mut self) {
        let Stage::Participating(group) = &self.stage else {
            return;
        };
        if let Some(logged) = &self.logged {
            logged.log_changes(group.record());
        }
        self.logged
            .get_or_insert_with(LoggedState::default)
            .catch_up(group.record());
    }
}
