//! Heartbeats: the reports that renew the lease, carry what the sender saw, and ask for leased
//! attempts.
//!
//! Invariants: a report that was not answered is sent again with the same number and content, so
//! that replicas count everything once; what a report's answer grants counts from when the report
//! was first sent; and a grant is taken once, by the connections that its report was sent on alone.

use super::{AttemptDemand, SessionEffect, SessionState};
use crate::agent::call_statistics::{MAX_GROUPS, MAX_ZONE_NAME};
use crate::coordination::messages::{
    AgentToReplica, AttemptLeaseRequest, ListedZoneCapacity, MessageOutcomeCounts, ZoneCallCounts,
};
use crate::Nanos;
use std::collections::{BTreeSet, VecDeque};

/// Reports of which it is known when they were sent.
const MAX_SENT_REPORTS: usize = 32;
/// Most attempts that are asked for at once, for one zone and destination.
const MAX_WANTED_ATTEMPTS: u32 = 64;
/// Attempts are asked for so much time ahead (seconds): about as long as a grant lasts.
const DEMAND_AHEAD_SECONDS: f64 = 3.0;

/// A report that was sent, answered or not.
#[derive(Debug)]
struct SentReport {
    number: u64,
    /// When it was first sent.
    first_sent: Nanos,
    /// The first and the last connection that it was sent on.
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
    /// When it was sent on the connection that is open, if it was.
    pub(super) sent: Option<Nanos>,
}

/// The reports of one process, and the endpoint list that goes with them.
#[derive(Debug)]
pub(super) struct Reports {
    /// Number of the newest report; they count from 1.
    last_number: u64,
    /// When the newest one was sent.
    pub(super) last_sent: Nanos,
    pub(super) pending: Option<PendingReport>,
    sent: VecDeque<SentReport>,
    /// What the sender's list has, by zone and destination.
    pub(super) listed: Vec<ListedZoneCapacity>,
    /// The list goes with the next report.
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

    /// On a new connection everything is sent anew.
    pub(super) fn on_connecting(&mut self) {
        self.is_list_due = true;
        if let Some(pending) = &mut self.pending {
            pending.sent = None;
        }
    }

    /// When a report was first sent, as far as that is known.
    pub(super) fn first_sent(&self, number: u64) -> Option<Nanos> {
        let report = self.sent.iter().find(|r| r.number == number)?;
        Some(report.first_sent)
    }

    /// A report was answered.
    pub(super) fn on_answered(&mut self, number: u64) {
        let is_pending = |p: &PendingReport| p.number == number && p.sent.is_some();
        if self.pending.as_ref().is_some_and(is_pending) {
            self.pending = None;
        }
    }

    /// Notes that a report is sent.
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

    /// When the report was first sent by which a grant came on a connection; nothing where the
    /// report is not known, or was not sent on that connection.
    pub(super) fn sent_for_grant(&self, number: u64, connection: u64) -> Option<Nanos> {
        let report = self.sent.iter().find(|r| r.number == number)?;
        let was_sent_on_it =
            report.first_connection == connection || report.last_connection == connection;
        was_sent_on_it.then_some(report.first_sent)
    }

    /// Takes a report's grant for a zone and destination; false where it was taken before.
    pub(super) fn take_grant(&mut self, number: u64, zone: &str, dest: u16) -> bool {
        let report = self.sent.iter_mut().find(|r| r.number == number);
        report.is_some_and(|r| r.granted.insert((zone.to_string(), dest)))
    }

    fn lists(&self, zone: &str, dest: u16) -> bool {
        self.listed.iter().any(|l| l.zone == zone && l.dest == dest)
    }
}

impl SessionState {
    /// The list that the sender holds now.
    pub fn set_listed(&mut self, mut listed: Vec<ListedZoneCapacity>) {
        listed.retain(|l| l.zone.len() <= MAX_ZONE_NAME);
        listed.truncate(MAX_GROUPS);
        if listed != self.reports.listed {
            self.reports.listed = listed;
            self.reports.is_list_due = true;
        }
    }

    /// Sends the report that was not answered once more, or a new one.
    pub(super) fn send_report(
        &mut self,
        now: Nanos,
        demand: &dyn AttemptDemand,
        effects: &mut Vec<SessionEffect>,
    ) {
        // What was not answered goes as it was: what has happened since goes with the next one.
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

    /// Attempts that could go where only leased ones may: for the messages that wait and those that
    /// usually come, less what is leased already. Of many senders that a message reaches now and
    /// then few ask at a time, by lot, and leave the budget to those where some wait.
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
                if !self.reports.lists(&order.zone, dest) {
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
