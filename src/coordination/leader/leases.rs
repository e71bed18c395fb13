//! Leases of senders, and the heartbeats by which the leader proves that it still leads.
//!
//! This module implements the timing of [`leader`](super)'s section on leases: how much longer the
//! leader counts a lease than the agent does, how long an applied heartbeat is valid, and when a
//! lease has expired. The cutover determines whether the site's lease in the federation forbids
//! renewal.

use crate::coordination::leader::announce::send_view;
use crate::coordination::leader::{ConnectionId, Effect, LeaderDuties, PROPOSAL_TIMEOUT};
use crate::coordination::messages::ReplicaToAgent;
use crate::coordination::record::{Command, Record};
use crate::coordination::zones::ms;
use crate::Nanos;
use std::collections::VecDeque;

/// Nanoseconds that the leader counts for each millisecond of a lease: 102 %, more than any other
/// clock counts. Invariant: the agent's lease always ends before the leader's.
const LEADER_SIDE_NANOS_PER_MS: Nanos = 1_020_000;
/// Maximum number of pending heartbeats; when it is exceeded, the oldest counts as lost.
const MAX_PENDING_HEARTBEATS: usize = 64;
const NANOS_PER_MS: Nanos = 1_000_000;

/// A heartbeat that was proposed and has not been applied to the record yet.
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
    /// Time up to which this leader has added time to the record's clock.
    counted_until: Nanos,
    /// Whether the length of the gap before this term, in which no leader counted, is unknown.
    has_unknown_gap: bool,
    /// Time until which leases may be renewed.
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

    /// Starts counting at the time at which a leader was last seen, if that is known.
    pub(super) fn count_since(&mut self, now: Nanos, last_leader_seen: Option<Nanos>) {
        self.counted_until = last_leader_seen.unwrap_or(now);
        self.has_unknown_gap = last_leader_seen.is_none();
    }

    fn is_due(&self, now: Nanos, interval_ms: u32) -> bool {
        self.last_number == 0 || now >= self.counted_until + ms(interval_ms)
    }

    /// Returns the whole milliseconds that have passed and were not counted yet, and marks them as
    /// counted. The remaining fraction of a millisecond is counted by the next heartbeat.
    fn count_milliseconds(&mut self, now: Nanos) -> u32 {
        let passed = (now - self.counted_until) / NANOS_PER_MS;
        let passed = passed.min(u64::from(u32::MAX)) as u32;
        self.counted_until += Nanos::from(passed) * NANOS_PER_MS;
        passed
    }

    /// Records a heartbeat that is being proposed and returns its number.
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

    /// Records that a heartbeat of this term was applied: leadership is proved for `valid_ms` after
    /// the heartbeat was proposed.
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
    /// Proposes a heartbeat if one is due. The heartbeat adds the time since the last one to the
    /// record's clock.
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

    /// Returns the milliseconds that the first heartbeat counts for a gap of unknown length: the
    /// whole remaining lease in the federation, as a later leader would otherwise believe that the
    /// lease is still valid.
    fn unknown_gap_ms(&mut self, record: &Record) -> u32 {
        if !std::mem::take(&mut self.heartbeats.has_unknown_gap) {
            return 0;
        }
        let lease_left_ms = record.tables.lease_ms.saturating_sub(record.clock_ms);
        lease_left_ms.min(u64::from(u32::MAX)) as u32
    }

    /// Handles a heartbeat that was applied to the record. One of another term proves nothing.
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

    /// Returns the time at which a lease that is granted now expires by the leader's clock.
    pub(super) fn lease_until(&self, now: Nanos) -> Nanos {
        now + leader_side_lease(self.rules.lease_ms)
    }

    /// Returns the time at which leases that earlier leaders may have renewed expire, counted from
    /// the start of a term.
    pub(super) fn end_of_inherited_leases(&self, now: Nanos) -> Nanos {
        let rules = &self.rules;
        now + leader_side_lease(rules.lease_ms.saturating_add(rules.heartbeat_valid_ms))
    }

    /// Renews the lease of the sender on a connection in answer to a report. Leaves the report
    /// unanswered until leadership is proved and the federation's lease permits renewal.
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

    /// Answers the pending reports once leadership is proved.
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

    /// Proposes the end of every session whose lease has expired.
    pub(super) fn end_expired_sessions(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        for (sender, session) in &mut self.sessions {
            if now < session.lease_until {
                continue;
            }
            session.is_ending = true;
            // The end is proposed again after this time if the proposal is lost; by then the
            // session has no connection.
            session.lease_until = now + PROPOSAL_TIMEOUT;
            effects.push(Effect::Propose(Command::ExpireSender {
                sender: sender.clone(),
                boot: session.boot,
            }));
        }
    }
}

/// Returns the length of a lease as the leader counts it: longer than by any other clock.
fn leader_side_lease(ms: u32) -> Nanos {
    Nanos::from(ms) * LEADER_SIDE_NANOS_PER_MS
}
