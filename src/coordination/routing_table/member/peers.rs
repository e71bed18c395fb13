//! The other members: the first start of a federation, the admission of connections, and
//! reachability.
//!
//! Invariant: a member is admitted only under the incarnation that this site's record holds for it.
//! So a site whose record was lost cannot vote a second time under its old number.

use crate::coordination::bootstrap::{admit, PeerAdmission};
use crate::coordination::raft_group::GroupMember;
use crate::coordination::raft_log::{Checkpoint, LogItem};
use crate::coordination::record::Record;
use crate::coordination::routing_table::federation::Federation;
use crate::coordination::routing_table::member::{FederationMember, MemberEffect, Stage};
use crate::Nanos;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time after a message or a heartbeat during which a site counts as reachable, in nanoseconds.
const REACHABLE_FOR: Nanos = 3_000_000_000;

/// Admission of another site's member on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAdmission {
    /// Admitted: this site's record contains the other site.
    Admitted,
    /// Not admitted until this site's record contains the other site.
    NotYet,
    /// Rejected for this reason.
    Rejected(String),
}

impl FederationMember {
    /// Continues a first start: persists which sites are known, and completes the start when none
    /// is missing.
    pub(super) fn continue_bootstrap(
        &mut self,
        now: Nanos,
        record: &Record,
        effects: &mut Vec<MemberEffect>,
    ) {
        let Stage::Bootstrapping(begin) = &self.stage else {
            return;
        };
        if self.write.is_in_flight() {
            return;
        }
        let complete = begin.finish_of::<Federation>(&BTreeMap::new());
        if complete.is_some() {
            log::info!("{}: all sites know each other, begins", self.log_name());
        }
        let base: Checkpoint = complete.unwrap_or_else(|| begin.checkpoint().clone());
        if record.durable_vote.base.as_deref() != Some(&base) {
            self.persist(now, LogItem::Checkpoint(Box::new(base)), effects);
        }
    }

    /// Handles a connection of another site's member that presents this incarnation.
    pub fn admit_peer(
        &mut self,
        now: Nanos,
        site: u64,
        incarnation: u64,
        record: &Record,
        effects: &mut Vec<MemberEffect>,
    ) -> MemberAdmission {
        let heard = match &mut self.stage {
            Stage::Bootstrapping(begin) => begin.learn_incarnation(site, incarnation),
            Stage::Participating(group) => admit(group.state(), site, incarnation),
            Stage::Fencing => return MemberAdmission::NotYet,
            Stage::Failed(why) => return MemberAdmission::Rejected(why.clone()),
        };
        self.continue_bootstrap(now, record, effects);
        match heard {
            PeerAdmission::Rejected(_) => MemberAdmission::Rejected(self.rejection(site)),
            PeerAdmission::New => MemberAdmission::NotYet,
            PeerAdmission::Known if self.awaits_persisting(site, incarnation, record) => {
                MemberAdmission::NotYet
            }
            PeerAdmission::Known => MemberAdmission::Admitted,
        }
    }

    /// Returns a text for operators that says why a site is not admitted.
    fn rejection(&self, site: u64) -> String {
        if self.view.record.off.contains(&site) {
            format!("site {site} is off the roster: it may join under another number")
        } else {
            format!(
                "site {site} is not in this federation, or its record is another one than before: \
                 put it off the roster, and let it join under another number"
            )
        }
    }

    /// Returns whether the other site has to wait, during a first start, until this site's record
    /// has its incarnation.
    fn awaits_persisting(&self, site: u64, incarnation: u64, record: &Record) -> bool {
        let base = record.durable_vote.base.as_ref();
        let is_persisted =
            base.is_some_and(|base| base.known_incarnations.get(&site) == Some(&incarnation));
        matches!(self.stage, Stage::Bootstrapping(_)) && !is_persisted
    }

    /// Handles a response of another site's member that it knows this site, with that site's
    /// incarnation.
    pub fn on_peer_answer(
        &mut self,
        now: Nanos,
        site: u64,
        incarnation: u64,
        record: &Record,
        effects: &mut Vec<MemberEffect>,
    ) -> MemberAdmission {
        if let Stage::Bootstrapping(begin) = &mut self.stage {
            if !matches!(
                begin.learn_incarnation(site, incarnation),
                PeerAdmission::Rejected(_)
            ) {
                begin.note_known_to(site);
                self.continue_bootstrap(now, record, effects);
                return MemberAdmission::Admitted;
            }
        }
        self.admit_peer(now, site, incarnation, record, effects)
    }

    /// Handles a heartbeat of another site.
    pub fn on_heartbeat(&mut self, now: Nanos, site: u64) {
        self.last_heard.insert(site, now);
    }

    /// Removes sites from the reachable ones that were not heard for a while.
    pub(super) fn expire_reachability(&mut self, now: Nanos) {
        self.last_heard.retain(|_, at| now < *at + REACHABLE_FOR);
        self.view.reachable_sites = self.last_heard.keys().copied().collect();
    }

    /// Returns the sites to which this one has to be connected, with the addresses of their
    /// replicas. These are the members of the group or, before the federation has begun, the sites
    /// in the settings. Addresses in the settings take precedence over recorded ones.
    pub fn peer_addresses(&self) -> BTreeMap<u64, Vec<SocketAddr>> {
        let members = self.group().map(|group| &group.state().members);
        let Some(members) = members.filter(|members| !members.is_empty()) else {
            return self
                .settings
                .other_sites
                .iter()
                .map(|(site, address)| (*site, address.addresses.clone()))
                .collect();
        };
        members
            .iter()
            .filter(|(site, _)| **site != self.settings.site_number)
            .map(|(site, member)| (*site, self.addresses_of(*site, member)))
            .collect()
    }

    fn addresses_of(&self, site: u64, member: &GroupMember) -> Vec<SocketAddr> {
        match self.settings.other_sites.get(&site) {
            Some(address) => address.addresses.clone(),
            None => member
                .at
                .split(',')
                .filter_map(|at| at.parse().ok())
                .collect(),
        }
    }

    /// Returns the name of a site: from the roster, else from the settings, else its number.
    pub fn site_name(&self, site: u64) -> String {
        if let Some(on_roster) = self.view.record.sites.get(&site) {
            return on_roster.name.clone();
        }
        match self.settings.other_sites.get(&site) {
            Some(address) => address.name.clone(),
            None => site.to_string(),
        }
    }

    /// Returns the problems that keep sites from taking part, as far as this site knows: a line for
    /// operators, with the number of the site.
    pub fn problems(&self) -> Vec<(u64, String)> {
        match &self.stage {
            Stage::Fencing => Vec::new(),
            Stage::Failed(why) => {
                vec![(
                    self.settings.site_number,
                    format!("{}: {why}", self.log_name()),
                )]
            }
            Stage::Bootstrapping(begin) => self.problems_of(
                &begin.missing(),
                "not met yet: the federation has not begun",
            ),
            Stage::Participating(group) => {
                let mut problems = self.problems_of(
                    &group.voters_without_record(),
                    "does not have the federation's record yet",
                );
                problems.extend(self.own_roster_problems());
                problems
            }
        }
    }

    /// Returns one line per site for a problem that several sites share.
    fn problems_of(&self, sites: &[u64], problem: &str) -> Vec<(u64, String)> {
        let line = |site: &u64| format!("site {}: {problem}", self.site_name(*site));
        sites.iter().map(|site| (*site, line(site))).collect()
    }

    /// Returns differences between the roster and this site's settings: another name, or the site's
    /// removal.
    fn own_roster_problems(&self) -> Vec<(u64, String)> {
        let own_number = self.settings.site_number;
        let record = &self.view.record;
        let mut problems = Vec::new();
        if let Some(on_roster) = record.sites.get(&own_number) {
            if on_roster.name != self.settings.site_name {
                let line = format!(
                    "{}: its roster names this site {}",
                    self.log_name(),
                    on_roster.name
                );
                problems.push((own_number, line));
            }
        }
        if record.off.contains(&own_number) {
            let line = format!("{}: this site is off the roster", self.log_name());
            problems.push((own_number, line));
        }
        problems
    }
}
