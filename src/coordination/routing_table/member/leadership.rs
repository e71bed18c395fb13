//! Duties of the leading site beyond the raft group: heartbeats, leases and upkeep of the roster.
//!
//! Invariant: a lease is granted only while a majority is certain to have recently committed a
//! heartbeat of this term, and never to a site that is to be fenced.

use crate::coordination::leader::ConnectionId;
use crate::coordination::raft_group::RaftGroup;
use crate::coordination::routing_table::federation::{Command, Federation, LEASE_GRANT_WINDOW_MS};
use crate::coordination::routing_table::member::lease::Grant;
use crate::coordination::routing_table::member::pending_roster_change::{
    reply, ChangeStep, Requester, RosterChange, RosterChangeError,
};
use crate::coordination::routing_table::member::{
    nanos_of_ms, FederationMember, MemberEffect, MemberMessage, MemberSettings, Stage,
    PROPOSAL_TIMEOUT,
};
use crate::Nanos;
use std::collections::{BTreeMap, VecDeque};

/// Time between heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u32 = 1_000;
/// Largest number of heartbeats that are not committed yet: about one minute of them.
const MAX_UNCOMMITTED_HEARTBEATS: usize = 64;

/// A proposed heartbeat that is not committed yet.
struct Heartbeat {
    number: u64,
    proposed_at: Nanos,
}

/// State of the site that leads the federation, in one raft term.
pub(super) struct Leadership {
    term: u64,
    uncommitted_heartbeats: VecDeque<Heartbeat>,
    last_heartbeat: u64,
    /// Time up to which the record's clock was advanced, in nanoseconds.
    clock_counted_until: Nanos,
    /// Time until which leases may be granted, as given by the last committed heartbeat.
    grant_until: Nanos,
    /// End of the leases that this leader granted, by site, as the leader counts them.
    granted_until: BTreeMap<u64, Nanos>,
    /// Latest end of leases that earlier leaders granted.
    earlier_grants_until: Nanos,
    /// Sites that are granted no lease because they are to be removed, each with the end of that
    /// restriction.
    pub(super) lease_withheld_until: BTreeMap<u64, Nanos>,
    /// The roster change in progress; only one at a time.
    pub(super) change: Option<RosterChange>,
    /// Time of the last upkeep of the roster; 0 makes it due at once.
    pub(super) last_upkeep: Nanos,
}

impl Leadership {
    pub(super) fn new(now: Nanos, term: u64, record: &Federation) -> Leadership {
        let earlier_grants = record.leases_left_ms().saturating_mul(1_000_000);
        Leadership {
            term,
            uncommitted_heartbeats: VecDeque::new(),
            last_heartbeat: 0,
            clock_counted_until: now,
            grant_until: 0,
            granted_until: BTreeMap::new(),
            earlier_grants_until: now + granter_share(earlier_grants),
            lease_withheld_until: BTreeMap::new(),
            change: None,
            last_upkeep: 0,
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// Returns the operator's connection to this replica that waits for the change in progress.
    pub(super) fn local_requester(&self) -> Option<ConnectionId> {
        match self.change.as_ref()?.requester {
            Requester::Local(connection) => Some(connection),
            Requester::Remote { .. } => None,
        }
    }

    /// Returns the latest end of a lease that this or an earlier leader may have granted to a site.
    pub(super) fn last_grant_of(&self, site: u64) -> Nanos {
        let granted = self.granted_until.get(&site).copied().unwrap_or_default();
        granted.max(self.earlier_grants_until)
    }

    /// Returns the heartbeat that is due. It advances the record's clock by the time that this
    /// leader measured.
    fn next_heartbeat(&mut self, now: Nanos) -> Option<Command> {
        let interval = nanos_of_ms(HEARTBEAT_INTERVAL_MS);
        if self.last_heartbeat != 0 && now < self.clock_counted_until + interval {
            return None;
        }
        self.last_heartbeat += 1;
        let passed_ms = (now - self.clock_counted_until) / 1_000_000;
        let passed_ms = passed_ms.min(u64::from(u32::MAX)) as u32;
        self.clock_counted_until += nanos_of_ms(passed_ms);
        if self.uncommitted_heartbeats.len() >= MAX_UNCOMMITTED_HEARTBEATS {
            self.uncommitted_heartbeats.pop_front();
        }
        self.uncommitted_heartbeats.push_back(Heartbeat {
            number: self.last_heartbeat,
            proposed_at: now,
        });
        Some(Command::Beat {
            term: self.term,
            beat: self.last_heartbeat,
            ms: passed_ms,
        })
    }

    /// Handles a committed heartbeat: leases may be granted for a while after it was proposed.
    pub(super) fn on_heartbeat_committed(&mut self, term: u64, number: u64) {
        if term != self.term {
            return;
        }
        while let Some(oldest) = self.uncommitted_heartbeats.front() {
            if oldest.number > number {
                break;
            }
            let granting_until = oldest.proposed_at + nanos_of_ms(LEASE_GRANT_WINDOW_MS);
            self.grant_until = self.grant_until.max(granting_until);
            self.uncommitted_heartbeats.pop_front();
        }
    }

    /// Ends a roster change that took too long.
    fn expire_change(&mut self, now: Nanos, effects: &mut Vec<MemberEffect>) {
        if let Some(change) = self.change.take_if(|change| change.is_overdue(now)) {
            reply(change.requester, Err(RosterChangeError::Timeout), effects);
        }
    }

    /// Completes a roster change once the new site has the record.
    fn finish_join(&mut self, group: &RaftGroup<Federation>, effects: &mut Vec<MemberEffect>) {
        let has_record = |change: &mut RosterChange| match change.step {
            ChangeStep::Replicating { index } => group.has_replicated(change.site, index),
            _ => false,
        };
        if let Some(change) = self.change.take_if(has_record) {
            reply(change.requester, Ok(group.record().version), effects);
        }
    }

    /// Returns commands for what the record lacks: the length of leases, and sites of the group
    /// that are not on the roster.
    fn missing_commands(
        &self,
        group: &RaftGroup<Federation>,
        settings: &MemberSettings,
    ) -> Vec<Command> {
        let record = group.record();
        let mut commands = Vec::new();
        if record.lease_ms != settings.lease_ms {
            let ms = settings.lease_ms;
            commands.push(Command::Leases { ms });
        }
        for site in group.voters().iter().copied() {
            if record.off.contains(&site) || record.sites.contains_key(&site) {
                continue;
            }
            if let Some(name) = self.name_to_join(site, settings) {
                let name = name.clone();
                commands.push(Command::Join { site, name });
            }
        }
        commands
    }

    /// Returns the name under which a site of the group is to join the roster: the name in the
    /// order, or else the name in the settings. The latter is used for the first sites and for a
    /// site whose order was not completed.
    fn name_to_join<'a>(&'a self, site: u64, settings: &'a MemberSettings) -> Option<&'a String> {
        if let Some(change) = &self.change {
            if change.site == site && matches!(change.step, ChangeStep::Joining) {
                return Some(&change.name);
            }
        }
        if site == settings.site_number {
            return Some(&settings.site_name);
        }
        settings.other_sites.get(&site).map(|address| &address.name)
    }
}

/// Returns the duration that the granting site counts for a lease: 2 % more, to tolerate clocks
/// that run at different rates.
pub(super) fn granter_share(time: Nanos) -> Nanos {
    time / 100 * 102
}

impl FederationMember {
    /// Performs the due duties of the leading site; does nothing if this site does not lead.
    pub(super) fn lead(&mut self, now: Nanos, effects: &mut Vec<MemberEffect>) {
        let (Some(leadership), Stage::Participating(group)) =
            (&mut self.leadership, &mut self.stage)
        else {
            return;
        };
        if let Some(heartbeat) = leadership.next_heartbeat(now) {
            let _ = group.propose(&heartbeat);
        }
        leadership
            .lease_withheld_until
            .retain(|_, until| now < *until);
        leadership.expire_change(now, effects);
        leadership.finish_join(group, effects);
        if now >= leadership.last_upkeep + PROPOSAL_TIMEOUT {
            leadership.last_upkeep = now;
            self.propose_upkeep();
        }
    }

    /// Proposes the commands that the roster lacks and the removal of members that are off the
    /// roster. A rejected proposal is made again at the next upkeep.
    fn propose_upkeep(&mut self) {
        let (Some(leadership), Stage::Participating(group)) = (&self.leadership, &mut self.stage)
        else {
            return;
        };
        let removed = &group.record().off;
        let voters = group.voters().iter().copied();
        let to_remove: Vec<u64> = voters.filter(|site| removed.contains(site)).collect();
        for command in leadership.missing_commands(group, &self.settings) {
            let _ = group.propose(&command);
        }
        for site in to_remove {
            let _ = group.remove_member(site);
        }
    }

    /// Handles a lease request of another site.
    pub(super) fn on_lease_request(
        &mut self,
        now: Nanos,
        from: u64,
        ask: u64,
        effects: &mut Vec<MemberEffect>,
    ) {
        let Some(grant) = self.grant_lease(now, from) else {
            return;
        };
        effects.push(MemberEffect::Send {
            to: from,
            message: MemberMessage::LeaseGranted {
                ask,
                lease_ms: grant.lease_ms,
                version: grant.version,
            },
        });
    }

    /// Grants a lease to a site if that is safe.
    pub(super) fn grant_lease(&mut self, now: Nanos, site: u64) -> Option<Grant> {
        let leadership = self.leadership.as_mut()?;
        let Stage::Participating(group) = &self.stage else {
            return None;
        };
        let record = group.record();
        let lease_ms = self.settings.lease_ms;
        let leads_certainly = group.holds_leader_lease() && now < leadership.grant_until;
        let is_length_committed = record.lease_ms == lease_ms;
        let is_withheld = leadership.lease_withheld_until.contains_key(&site);
        let is_on_roster = record.sites.contains_key(&site);
        if !leads_certainly || !is_length_committed || is_withheld || !is_on_roster {
            return None;
        }
        let until = now + granter_share(nanos_of_ms(lease_ms));
        let counted = leadership.granted_until.entry(site).or_default();
        *counted = (*counted).max(until);
        Some(Grant {
            lease_ms,
            version: record.version,
        })
    }
}
