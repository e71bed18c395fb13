//! Heartbeats: the reports that renew the lease, carry the sender's statistics, and request leased
//! attempts.
//!
//! Invariants: a report that was not answered is sent again with the same number and content, so
//! that replicas count everything once; a grant in the answer to a report counts from when the
//! report was first sent; and a grant is taken once, and only on the connections on which its
//! report was sent.

use super::{AttemptDemand, SessionEffect, SessionState};
use crate::agent::call_statistics::{MAX_GROUPS, MAX_ZONE_NAME};
use crate::coordination::messages::{
    AgentToReplica, AttemptLeaseRequest, ListedZoneCapacity, MessageOutcomeCounts, ZoneCallCounts,
};
use crate::Nanos;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of reports whose time of sending is remembered.
const MAX_SENT_REPORTS: usize = 32;
/// Maximum number of attempts that are requested at once for one zone and destination.
const MAX_WANTED_ATTEMPTS: u32 = 64;
/// Time ahead (seconds) for which attempts are requested: about as long as a grant lasts.
const DEMAND_AHEAD_SECONDS: f64 = 3.0;

/// A report that was sent, answered or not.
#[derive(Debug)]
struct SentReport {
    number: u64,
    /// Time at which it was first sent.
    first_sent: Nanos,
    /// First and last connection on which it was sent.
    first_connection: u64,
    last_connection: u64,
    /// Zones and destinations for which a grant was taken.
    granted: BTreeSet<(String, u16)>,
}

/// A report that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct PendingReport {
    number: u64,
    call_counts: Vec<ZoneCallCounts>,
    outcomes: Vec<MessageOutcomeCounts>,
    /// Time at which it was sent on the open connection, if it was.
    pub(super) sent: Option<Nanos>,
}

/// The reports of one process, with the endpoint list that they contain.
#[derive(Debug)]
pub(super) struct Reports {
    /// Number of the newest report, counted from 1.
    last_number: u64,
    /// Time at which the newest report was sent.
    pub(super) last_sent: Nanos,
    pub(super) pending: Option<PendingReport>,
    sent: VecDeque<SentReport>,
    /// Capacities in the sender's endpoint list, by zone and destination.
    pub(super) listed: Vec<ListedZoneCapacity>,
    /// Whether the next report contains the endpoint list.
    is_list_due: bool,
}

impl Reports {
    pub(super) fn new(now: Nanos) -> Reports {
        Reports {
            last_number: 0,
            last_sent: now,
            pending: None,
            sent: VecDeque::new(),
            listed: Vec::new(),
            is_list_due: true,
        }
    }

    /// Prepares for a new connection, on which everything is sent again.
    pub(super) fn on_connecting(&mut self) {
        self.is_list_due = true;
        if let Some(pending) = &mut self.pending {
            pending.sent = None;
        }
    }

    /// Returns the time at which a report was first sent, where it is known.
    pub(super) fn first_sent(&self, number: u64) -> Option<Nanos> {
        let report = self.sent.iter().find(|r| r.number == number)?;
        Some(report.first_sent)
    }

    /// Records that a report was answered.
    pub(super) fn on_answered(&mut self, number: u64) {
        let is_pending = |p: &PendingReport| p.number == number && p.sent.is_some();
        if self.pending.as_ref().is_some_and(is_pending) {
            self.pending = None;
        }
    }

    /// Records that a report is sent.
    fn note_sent(&mut self, number: u64, connection: u64, now: Nanos) {
        if let Some(again) = self.sent.iter_mut().find(|r| r.number == number) {
            again.last_connection = connection;
            return;
        }
        if self.sent.len() >= MAX_SENT_REPORTS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentReport {
            number,
            first_sent: now,
            first_connection: connection,
            last_connection: connection,
            granted: BTreeSet::new(),
        });
    }

    /// Returns when the report of a grant was first sent; `None` where the report is unknown, or
    /// was not sent on the connection on which the grant was received.
    pub(super) fn sent_for_grant(&self, number: u64, connection: u64) -> Option<Nanos> {
        let report = self.sent.iter().find(|r| r.number == number)?;
        let was_sent_on_it =
            report.first_connection == connection || report.last_connection == connection;
        was_sent_on_it.then_some(report.first_sent)
    }

    /// Takes a report's grant for a zone and destination; returns false where it was taken before.
    pub(super) fn take_grant(&mut self, number: u64, zone: &str, dest: u16) -> bool {
        let report = self.sent.iter_mut().find(|r| r.number == number);
        report.is_some_and(|r| r.granted.insert((zone.to_string(), dest)))
    }

    fn is_listed(&self, zone: &str, dest: u16) -> bool {
        self.listed.iter().any(|l| l.zone == zone && l.dest == dest)
    }
}

impl SessionState {
    /// Sets the capacities of the current endpoint list.
    pub fn set_listed(&mut self, mut listed: Vec<ListedZoneCapacity>) {
        listed.retain(|l| l.zone.len() <= MAX_ZONE_NAME);
        listed.truncate(MAX_GROUPS);
        if listed != self.reports.listed {
            self.reports.listed = listed;
            self.reports.is_list_due = true;
        }
    }

    /// Sends the unanswered report again, or a new one.
    pub(super) fn send_report(
        &mut self,
        now: Nanos,
        demand: &dyn AttemptDemand,
        effects: &mut Vec<SessionEffect>,
    ) {
        // An unanswered report is sent unchanged; later events are in the next one.
        let mut report = match self.reports.pending.take() {
            Some(unanswered) => unanswered,
            None => self.new_report(now),
        };
        self.reports
            .note_sent(report.number, self.connection.number, now);
        let is_list_due = std::mem::take(&mut self.reports.is_list_due);
        let listed = is_list_due.then(|| self.reports.listed.clone());
        let lease_requests = self.wanted_attempts(now, demand);
        effects.push(SessionEffect::Send(AgentToReplica::Report {
            report: report.number,
            record_version: self.record_version(),
            call_counts: report.call_counts.clone(),
            listed,
            lease_requests,
            outcomes: report.outcomes.clone(),
        }));
        report.sent = Some(now);
        self.reports.pending = Some(report);
        self.reports.last_sent = now;
    }

    fn new_report(&mut self, now: Nanos) -> PendingReport {
        self.reports.last_number += 1;
        PendingReport {
            number: self.reports.last_number,
            call_counts: self.statistics.take_counts(now),
            outcomes: self.statistics.take_health(),
            sent: None,
        }
    }

    /// Returns the attempts to request where only leased ones may be made: for the waiting messages
    /// and the usual rate, less those that are leased already. The usual rate is rounded at random:
    /// of many senders with rare messages only a few request attempts at a time, and leave the
    /// budget to those with waiting messages.
    fn wanted_attempts(
        &mut self,
        now: Nanos,
        demand: &dyn AttemptDemand,
    ) -> Vec<AttemptLeaseRequest> {
        let draw = self.random.draw();
        if self.is_standalone() {
            return Vec::new();
        }
        let mut wants = Vec::new();
        for order in self.evacuations.view.zones.iter().filter(|o| o.returning) {
            for (dest, _) in self.evacuated_destinations(order) {
                if wants.len() >= MAX_GROUPS {
                    return wants;
                }
                if !self.reports.is_listed(&order.zone, dest) {
                    continue;
                }
                let usual_rate = self.statistics.calls_per_second(now, dest);
                let usual = (usual_rate * DEMAND_AHEAD_SECONDS + draw) as u32;
                let attempts = demand
                    .waiting_messages(dest)
                    .saturating_add(usual)
                    .min(MAX_WANTED_ATTEMPTS)
                    .saturating_sub(demand.leased_attempts_left(&order.zone, dest));
                if attempts > 0 {
                    wants.push(AttemptLeaseRequest {
                        zone: order.zone.clone(),
                        dest,
                        attempts,
                    });
                }
            }
        }
        wants
    }
}
