//! Slices of a return's budget: reserved in the record, then granted to the senders that requested
//! calls.

use crate::coordination::messages::AttemptLeaseGrant;
use crate::coordination::zones::recovery_ramp::budget;
use crate::coordination::zones::recovery_ramp::zone_return::{
    GrantRequest, OutstandingCalls, ReturningDestination, Slice, SliceCalls, ZoneReturn,
};
use crate::coordination::zones::recovery_ramp::{RecoveryRamp, MIN_CONFIRMING_SENDERS};
use crate::coordination::zones::{ms, ZoneRules};
use crate::Nanos;
use std::collections::BTreeMap;

/// Calls to one destination in a slice before the destination has answered any.
const TRIAL_CALLS_PER_DESTINATION: f64 = 2.0;
/// Calls in a slice while no destination of the zone has answered. Two, as only every second
/// granted call finds a message to send.
const PROBE_CALLS: f64 = 2.0;
/// Calls to one destination in such a slice.
const PROBE_CALLS_PER_DESTINATION: f64 = 1.0;

/// Rates from which the calls to one destination are reserved.
#[derive(Clone, Copy, Debug, Default)]
pub struct DestinationBudget {
    /// Listed calls per second.
    pub rate_per_second: f64,
    /// Share of the senders that was moved out when the zone was evacuated.
    pub evacuated_share: f64,
    /// Expected calls per second of the senders that have been readmitted since.
    pub readmitted_per_second: f64,
}

/// A slice that is to be proposed for the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceReservation {
    /// Number of the slice within the term.
    pub number: u64,
    /// Calls by destination.
    pub calls: Vec<(u16, u32)>,
    /// Warm-up time by destination, in milliseconds.
    pub warmed_ms: Vec<(u16, u32)>,
}

/// Limits on the calls of a slice to destinations that have not answered yet.
#[derive(Clone, Copy, Debug)]
struct TrialLimit {
    remaining: f64,
    per_destination: f64,
}

/// Calls that a sender is granted.
struct Granted {
    sender: u32,
    /// Number of the report that requested them.
    report: u64,
    calls: u32,
}

impl RecoveryRamp {
    /// Reserves the next slice of a zone's budget; `None` while the last slice is valid or if no
    /// call is requested. `budget` returns the rates of each destination.
    pub fn reserve_slice(
        &mut self,
        now: Nanos,
        zone: &str,
        budget: impl Fn(u16) -> DestinationBudget,
    ) -> Option<SliceReservation> {
        let previous_return = self.ended_returns.get(zone);
        if now < self.previous_terms_end || previous_return.is_some_and(|until| now < *until) {
            return None;
        }
        let zone_return = self.returns.get_mut(zone)?;
        if !zone_return.may_reserve(now, &self.rules) {
            return None;
        }
        let calls = zone_return.reserve_calls(now, &self.rules, budget);
        if calls.is_empty() {
            return None;
        }
        self.last_slice += 1;
        Some(zone_return.begin_slice(now, self.last_slice, calls))
    }

    /// Records that a slice of this term was applied to the record; its calls may now be granted.
    pub fn on_slice_committed(&mut self, zone: &str, number: u64) {
        let slice = self
            .returns
            .get_mut(zone)
            .and_then(|zone_return| zone_return.slice.as_mut())
            .filter(|slice| slice.number == number);
        if let Some(slice) = slice {
            slice.is_committed = true;
        }
    }

    /// Grants the calls that are due, and passes each grant to `send` with its sender. A slice's
    /// calls are spread evenly over its time; the oldest requests are served first.
    pub fn issue_grants(&mut self, now: Nanos, mut send: impl FnMut(u32, AttemptLeaseGrant)) {
        for (zone, zone_return) in &mut self.returns {
            for (sender, grant) in zone_return.issue_grants(now, zone, &self.rules) {
                send(sender, grant);
            }
        }
    }
}

impl ZoneReturn {
    /// Whether the last slice has ended and, if no destination answers, the next probe is due.
    fn may_reserve(&self, now: Nanos, rules: &ZoneRules) -> bool {
        let slice_is_over = self
            .slice
            .as_ref()
            .is_none_or(|slice| now >= slice.begun_at + ms(rules.slice_ms));
        slice_is_over && (self.has_answered || now >= self.next_probe_at)
    }

    /// Deducts the calls of a slice from the credit of the destinations for which they are
    /// requested.
    fn reserve_calls(
        &mut self,
        now: Nanos,
        rules: &ZoneRules,
        budget: impl Fn(u16) -> DestinationBudget,
    ) -> BTreeMap<u16, SliceCalls> {
        let seconds = self.seconds_of_credit(now, rules);
        let mut trials = self.trial_limit(rules);
        let mut reserved = BTreeMap::new();
        for number in self.destinations_after_last_probed() {
            let Some(destination) = self.destinations.get_mut(&number) else {
                continue;
            };
            let has_answered = destination.warmed_ms.is_some();
            let most = if has_answered {
                f64::INFINITY
            } else {
                trials.per_destination.min(trials.remaining)
            };
            destination.drop_late_requests(now, rules);
            destination.earn_credit(seconds, rules, &budget(number));
            let calls = destination.spend_credit(most);
            if calls < 1.0 {
                continue;
            }
            if !has_answered {
                trials.remaining -= calls;
                self.last_probed = Some(number);
            }
            let total = calls as u32;
            let remaining = total;
            reserved.insert(number, SliceCalls { total, remaining });
        }
        reserved
    }

    /// Returns the seconds since the last slice began, at most two slices. Credit accumulates for
    /// one slice only, so that a pause without senders is not made up for later.
    fn seconds_of_credit(&self, now: Nanos, rules: &ZoneRules) -> f64 {
        let slice_length = ms(rules.slice_ms);
        let since = self
            .slice
            .as_ref()
            .map_or(now.saturating_sub(slice_length), |slice| slice.begun_at);
        (now - since).min(2 * slice_length) as f64 / 1e9
    }

    /// Returns the limits on calls to destinations without an answer: one call each to a few
    /// destinations until any answers, and a few calls to some until two senders report answers.
    fn trial_limit(&self, rules: &ZoneRules) -> TrialLimit {
        if !self.has_answered {
            return TrialLimit {
                remaining: PROBE_CALLS,
                per_destination: PROBE_CALLS_PER_DESTINATION,
            };
        }
        let remaining = if self.is_answer_confirmed() {
            f64::INFINITY
        } else {
            f64::from(rules.trial_calls)
        };
        TrialLimit {
            remaining,
            per_destination: TRIAL_CALLS_PER_DESTINATION,
        }
    }

    /// Returns all destinations in cyclic order, starting after the last probed one.
    fn destinations_after_last_probed(&self) -> Vec<u16> {
        let last = self.last_probed.unwrap_or(u16::MAX);
        let mut destinations: Vec<u16> = self.destinations.keys().copied().collect();
        let next = destinations.partition_point(|destination| *destination <= last);
        destinations.rotate_left(next);
        destinations
    }

    fn begin_slice(
        &mut self,
        now: Nanos,
        number: u64,
        calls: BTreeMap<u16, SliceCalls>,
    ) -> SliceReservation {
        let warmed_ms = self
            .destinations
            .iter()
            .filter_map(|(number, destination)| Some((*number, destination.warmed_ms? as u32)));
        let reservation = SliceReservation {
            number,
            calls: calls.iter().map(|(number, c)| (*number, c.total)).collect(),
            warmed_ms: warmed_ms.collect(),
        };
        self.slice = Some(Slice {
            number,
            begun_at: now,
            calls,
            is_committed: false,
        });
        reservation
    }

    /// Grants the calls of the slice that are due, by destination.
    fn issue_grants(
        &mut self,
        now: Nanos,
        zone: &str,
        rules: &ZoneRules,
    ) -> Vec<(u32, AttemptLeaseGrant)> {
        let slice_length = ms(rules.slice_ms);
        let mut grants = Vec::new();
        let slice = self.slice.as_mut().filter(|slice| slice.is_committed);
        let Some(slice) = slice.filter(|slice| now < slice.begun_at + slice_length) else {
            return grants;
        };
        let elapsed = now - slice.begun_at;
        for (number, calls) in &mut slice.calls {
            let Some(destination) = self.destinations.get_mut(number) else {
                continue;
            };
            let due = calls.due(elapsed, slice_length);
            for granted in destination.serve_requests(now, due, rules) {
                calls.remaining -= granted.calls;
                let grant = AttemptLeaseGrant {
                    report: granted.report,
                    zone: zone.to_string(),
                    epoch: self.epoch,
                    dest: *number,
                    attempts: granted.calls,
                    within_ms: rules.grant_validity_ms,
                };
                grants.push((granted.sender, grant));
            }
        }
        for (sender, grant) in &grants {
            self.note_granted(now, *sender, grant.attempts);
        }
        grants
    }

    fn note_granted(&mut self, now: Nanos, sender: u32, calls: u32) {
        if self.granted_to.len() < MIN_CONFIRMING_SENDERS {
            self.granted_to.insert(sender);
        }
        let outstanding = self.outstanding.entry(sender).or_insert(OutstandingCalls {
            calls: 0,
            granted_at: now,
        });
        outstanding.calls = outstanding.calls.saturating_add(calls);
        outstanding.granted_at = now;
    }
}

impl ReturningDestination {
    /// Drops requests that are so old that a call granted now may arrive too late to be used.
    fn drop_late_requests(&mut self, now: Nanos, rules: &ZoneRules) {
        self.requests.retain(|request| !request.is_late(now, rules));
    }

    /// Adds the credit of some time. A rate of less than one call per slice accumulates: credit is
    /// limited to one slice plus a whole call.
    fn earn_credit(&mut self, seconds: f64, rules: &ZoneRules, budget: &DestinationBudget) {
        let warmed_ms = self.warmed_ms.unwrap_or(0.0);
        let for_all = budget::calls_per_second(rules, budget.rate_per_second, warmed_ms);
        let for_evacuated = for_all * budget.evacuated_share;
        let per_second = (for_evacuated - budget.readmitted_per_second).max(0.0);
        let most = per_second * f64::from(rules.slice_ms) / 1e3 + 1.0;
        self.credit = (self.credit + per_second * seconds).min(most);
    }

    /// Deducts whole calls from the credit, at most those requested and at most `most`. Returns
    /// their number; nothing is deducted if it is less than one.
    fn spend_credit(&mut self, most: f64) -> f64 {
        let requested: f64 = self
            .requests
            .iter()
            .map(|request| f64::from(request.calls))
            .sum();
        let calls = self.credit.floor().min(requested).min(most);
        if calls >= 1.0 {
            self.credit -= calls;
        }
        calls
    }

    /// Distributes calls evenly among the queued requests, the oldest first. Requests that are too
    /// old are dropped.
    fn serve_requests(&mut self, now: Nanos, mut calls: u32, rules: &ZoneRules) -> Vec<Granted> {
        let mut served = Vec::new();
        while calls > 0 {
            let Some(request) = self.requests.pop_front() else {
                break;
            };
            if request.is_late(now, rules) {
                continue;
            }
            let even_part = (calls / (self.requests.len() as u32 + 1)).max(1);
            let granted = even_part.min(request.calls);
            calls -= granted;
            served.push(Granted {
                sender: request.sender,
                report: request.report,
                calls: granted,
            });
        }
        served
    }
}

impl GrantRequest {
    /// Whether half of a grant's validity has passed since the request was received.
    fn is_late(&self, now: Nanos, rules: &ZoneRules) -> bool {
        self.received_at + ms(rules.grant_validity_ms) / 2 <= now
    }
}

impl SliceCalls {
    /// Returns the calls that are due `elapsed` after the slice began: the proportional part of the
    /// total, less the calls already granted.
    fn due(&self, elapsed: Nanos, slice_length: Nanos) -> u32 {
        let by_now = f64::from(self.total) * elapsed as f64 / slice_length as f64;
        let granted = self.total - self.remaining;
        (by_now.ceil() as u32)
            .saturating_sub(granted)
            .min(self.remaining)
    }
}
