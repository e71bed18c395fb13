//! Leases of senders, and the heartbeats by which the leader proves that it still leads.
//!
//! Owns the times of [`leader`](super)'s section on leases: how much longer than the agent the
//! leader counts a lease, for how long a heartbeat in the record is valid, and when a lease has
//! lapsed. Whether a sender's routing-table lease in the federation bars its renewal is asked of
//! the cutover.

use crate::coordination::leader::announce::send_view;
use crate::coordination::leader::{ConnectionId, Effect, LeaderDuties, PROPOSAL_TIMEOUT};
use crate::coordination::messages::ReplicaToAgent;
use crate::coordination::record::{Command, Record};
use crate::coordination::zones::ms;
use crate::Nanos;
use std::collections::VecDeque;

/// Nanoseconds that the leader counts for each millisecond of a lease: 102 in 100, more than any
/// other clock counts. Invariant: the agent's lease always ends before the leader's.
const LEADER_SIDE_NANOS_PER_MS: Nanos = 1_020_000;
/// Most heartbeats that are waited for; those before are lost.
const MAX_PENDING_HEARTBEATS: usize = 64;
const NANOS_PER_MS: Nanos = 1_000_000;

/// A heartbeat that was proposed and is not in the record yet.
#[derive(Clone, Copy, Debug)]
struct PendingHeartbeat {
    number: u64,
    proposed_at: Nanos,
}

/// The heartbeats of one term.
///
/// Invariant: `leadership_valid_until` is never later than
/// [`heartbeat_valid_ms`](super::LeaderRules::heartbeat_valid_ms) after a moment in which no later
/// leader was elected, so a leader that was deposed stops renewing.
#[derive(Clone, Debug)]
pub(super) struct Heartbeats {
    pending: VecDeque<PendingHeartbeat>,
    last_number: u64,
    /// Up to when time is counted on the record's clock.
    counted_until: Nanos,
    /// Nobody here knows for how long nobody counted before this term.
    has_unknown_gap: bool,
    /// Leases may be renewed until then.
    leadership_valid_until: Nanos,
}

impl Heartbeats {
    pub(super) fn new(now: Nanos) -> Heartbeats {
        Heartbeats {
            pending: VecDeque::new(),
            last_number: 0,
            counted_until: now,
            has_unknown_gap: false,
            leadership_valid_until: 0,
        }
    }

    /// Counts the time from when a leader was last seen, where that is known.
    pub(super) fn count_since(&mut self, now: Nanos, last_leader_seen: Option<Nanos>) {
        self.counted_until = last_leader_seen.unwrap_or(now);
        self.has_unknown_gap = last_leader_seen.is_none();
    }

    fn is_due(&self, now: Nanos, interval_ms: u32) -> bool {
        self.last_number == 0 || now >= self.counted_until + ms(interval_ms)
    }

    /// The whole milliseconds that have passed and were not counted yet. What is left of a
    /// millisecond counts with the next heartbeat.
    fn count_milliseconds(&mut self, now: Nanos) -> u32 {
        let passed = (now - self.counted_until) / NANOS_PER_MS;
        let passed = passed.min(u64::from(u32::MAX)) as u32;
        self.counted_until += Nanos::from(passed) * NANOS_PER_MS;
        passed
    }

    /// Notes a heartbeat that is being proposed and returns its number.
    fn add_pending(&mut self, now: Nanos) -> u64 {
        self.last_number += 1;
        if self.pending.len() >= MAX_PENDING_HEARTBEATS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingHeartbeat {
            number: self.last_number,
            proposed_at: now,
        });
        self.last_number
    }

    /// Notes that the record has a heartbeat of this term: leadership is proved for some time
    /// after it was proposed.
    fn on_applied(&mut self, number: u64, valid_ms: u32) {
        while let Some(heartbeat) = self.pending.front().copied() {
            if heartbeat.number > number {
                return;
            }
            self.pending.pop_front();
            let valid_until = heartbeat.proposed_at + ms(valid_ms);
            self.leadership_valid_until = self.leadership_valid_until.max(valid_until);
        }
    }
}

impl LeaderDuties {
    /// Proposes a heartbeat where one is due. It carries the time that has passed since the last
    /// one to the record's clock.
    pub(super) fn propose_heartbeat(
        &mut self,
        now: Nanos,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let interval_ms = self.rules.heartbeat_interval_ms;
        if !self.heartbeats.is_due(now, interval_ms) {
            return;
        }
        let passed_ms = self.heartbeats.count_milliseconds(now);
        let beat = self.heartbeats.add_pending(now);
        let gap_ms = self.unknown_gap_ms(record);
        effects.push(Effect::Propose(Command::AdvanceClock {
            term: self.term,
            beat,
            ms: passed_ms.max(gap_ms),
        }));
    }

    /// Milliseconds that the first heartbeat counts for a gap that nobody knows: all that is left
    /// of the lease in the federation, as a later leader would believe that.
    fn unknown_gap_ms(&mut self, record: &Record) -> u32 {
        if !std::mem::take(&mut self.heartbeats.has_unknown_gap) {
            return 0;
        }
        let lease_left_ms = record.tables.lease_ms.saturating_sub(record.clock_ms);
        lease_left_ms.min(u64::from(u32::MAX)) as u32
    }

    /// Takes a heartbeat that is in the record. One of another term proves nothing.
    pub(super) fn on_heartbeat_applied(
        &mut self,
        now: Nanos,
        term: u64,
        number: u64,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        if term != self.term {
            return;
        }
        let valid_ms = self.rules.heartbeat_valid_ms;
        self.heartbeats.on_applied(number, valid_ms);
        self.renew_unanswered(now, record, effects);
    }

    /// Whether this leader has proved recently that no other one was elected.
    fn has_proved_leadership(&self, now: Nanos) -> bool {
        now < self.heartbeats.leadership_valid_until
    }

    /// Until when a lease that is given now counts here.
    pub(super) fn lease_until(&self, now: Nanos) -> Nanos {
        now + leader_side_lease(self.rules.lease_ms)
    }

    /// Until when leases that earlier leaders may have renewed count here, at the start of a term.
    pub(super) fn end_of_inherited_leases(&self, now: Nanos) -> Nanos {
        let rules = &self.rules;
        now + leader_side_lease(rules.lease_ms.saturating_add(rules.heartbeat_valid_ms))
    }

    /// Renews the lease of the sender on a connection in answer to a report, or leaves the report
    /// unanswered until leadership is proved.
    pub(super) fn renew(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        report: u64,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let may_renew =
            self.has_proved_leadership(now) && !self.cutover.must_withhold_leases(record);
        let lease_ms = self.rules.lease_ms;
        let lease_until = self.lease_until(now);
        let Some(session) = self.session_on_mut(connection) else {
            return;
        };
        if may_renew {
            session.lease_until = session.lease_until.max(lease_until);
            session.unanswered_report = None;
            let renewed = ReplicaToAgent::LeaseRenewed { report, lease_ms };
            effects.push(Effect::Send(connection, renewed));
        } else {
            session.unanswered_report = Some(report);
        }
        send_view(now, session, record, effects);
    }

    /// Answers the reports that were left unanswered, once leadership is proved.
    pub(super) fn renew_unanswered(
        &mut self,
        now: Nanos,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        if !self.has_proved_leadership(now) {
            return;
        }
        let unanswered: Vec<(ConnectionId, u64)> = self
            .sessions
            .values()
            .filter(|session| !session.is_ending)
            .filter_map(|session| Some((session.connection?, session.unanswered_report?)))
            .collect();
        for (connection, report) in unanswered {
            self.renew(now, connection, report, record, effects);
        }
    }

    /// Proposes the end of every session whose lease has lapsed.
    pub(super) fn end_lapsed_sessions(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        for (sender, session) in &mut self.sessions {
            if now < session.lease_until {
                continue;
            }
            session.is_ending = true;
            // Proposed again after this time, should it be lost; by then it has no connection.
            session.lease_until = now + PROPOSAL_TIMEOUT;
            effects.push(Effect::Propose(Command::ExpireSender {
                sender: sender.clone(),
                boot: session.boot,
            }));
        }
    }
}

/// A lease of so many milliseconds, counted longer than any other clock counts it.
fn leader_side_lease(ms: u32) -> Nanos {
    Nanos::from(ms) * LEADER_SIDE_NANOS_PER_MS
}
