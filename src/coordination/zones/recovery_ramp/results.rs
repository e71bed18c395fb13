//! Results of granted calls: the first answers of a zone and its destinations, their warm-up, and
//! the failure of a return.

use crate::coordination::messages::CallCounts;
use crate::coordination::zones::recovery_ramp::zone_return::{ReturningDestination, ZoneReturn};
use crate::coordination::zones::recovery_ramp::{RecoveryRamp, MIN_CONFIRMING_SENDERS};
use crate::coordination::zones::{ms, RecentCounts, ZoneRules};
use crate::Nanos;

/// Time from a failed probe to the next one, as a share of the time for which the zone has been
/// probed. The end of an outage is therefore detected with a delay of this share of its duration.
const PROBE_BACKOFF_SHARE: f64 = 0.1;
/// Upper limit of that time as a share of the warm-up, so that it is short compared with the
/// return.
const MAX_PROBE_BACKOFF_WARMUP_SHARE: f64 = 0.1;
/// Minimum of that upper limit, in milliseconds, for short warm-ups.
const MIN_PROBE_BACKOFF_LIMIT_MS: f64 = 1_000.0;
/// Seconds after which the weight of results is halved: two seconds are about ten reports.
const RESULT_HALF_LIFE_SECONDS: f64 = 2.0;
/// Share of rejections in a destination's results from which it counts as overloaded: its warm-up
/// pauses, and no sender is readmitted.
pub const OVERLOADED_REJECTED_SHARE: f64 = 0.2;
/// Minimum number of results from which a destination may count as overloaded; fewer are not
/// significant.
const MIN_RESULTS_FOR_OVERLOAD: f64 = 3.0;
/// Share of failures in the results from which a destination, or a return, has failed; the same
/// share defines an outage in other modules.
const FAILED_SHARE: f64 = 0.5;
/// Minimum number of results from which a destination may count as failed; fewer are not
/// significant.
const MIN_RESULTS_FOR_FAILURE: f64 = 5.0;
/// Number of answers that confirm a destination if only one sender was granted calls.
const MIN_ANSWERS_OF_LONE_SENDER: f64 = 3.0;
/// Milliseconds, in addition to the warm-up, after which a return ends if no sender requests calls:
/// the limits of the individual senders then suffice.
const UNUSED_AFTER_MS: u32 = 30_000;
/// Milliseconds after a grant until its outstanding results are given up.
const RESULTS_DUE_MS: u32 = 30_000;

/// Sums of the results of all destinations of a return.
#[derive(Clone, Copy, Debug, Default)]
struct ResultTotals {
    results: f64,
    failed: f64,
}

/// Progress of a return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnProgress {
    /// The return continues.
    Ongoing,
    /// Answers had been confirmed, and the return has failed since.
    Failed,
    /// No sender calls the zone.
    Unused,
}

impl RecoveryRamp {
    /// Records a sender's results of calls to a destination.
    ///
    /// Counts at most the number of calls that were granted to the sender: other calls do not
    /// belong to this return.
    pub fn record_results(
        &mut self,
        now: Nanos,
        sender: u32,
        zone: &str,
        destination: u16,
        counts: &CallCounts,
    ) {
        let Some(zone_return) = self.returns.get_mut(zone) else {
            return;
        };
        let Some(results) = zone_return.take_outstanding(sender, destination, counts) else {
            return;
        };
        zone_return.note_whether_zone_answers(now, &results, &self.rules);
        zone_return.note_reporting_sender(sender, &results);
        zone_return.add_results(now, destination, &results);
    }

    /// Advances a zone's return to `now`: destinations warm up unless they are overloaded, and the
    /// weight of results decays. `is_held` is set if an operator has ordered that the zone's state
    /// is kept: then no destination warms up and the return does not fail.
    pub fn advance(&mut self, now: Nanos, zone: &str, is_held: bool) -> ReturnProgress {
        let Some(zone_return) = self.returns.get_mut(zone) else {
            return ReturnProgress::Ongoing;
        };
        let totals = zone_return.advance(now, is_held, &self.rules);
        if is_held {
            return ReturnProgress::Ongoing;
        }
        if zone_return.has_failed(totals, &self.rules) {
            if zone_return.begun_at.is_some() {
                return ReturnProgress::Failed;
            }
            // No sender was readmitted yet: probing continues, as for a zone that does not answer.
            zone_return.restart();
        }
        let unused_after = ms(UNUSED_AFTER_MS) + ms(self.rules.warmup_ms);
        if now >= zone_return.last_used_at + unused_after {
            return ReturnProgress::Unused;
        }
        ReturnProgress::Ongoing
    }
}

impl ZoneReturn {
    /// Returns the part of a sender's counts that are results of granted calls, and deducts it from
    /// the outstanding calls; `None` if the sender was granted none or the destination is not part
    /// of the return.
    fn take_outstanding(
        &mut self,
        sender: u32,
        destination: u16,
        counts: &CallCounts,
    ) -> Option<RecentCounts> {
        let outstanding = self.outstanding.get_mut(&sender)?;
        if !self.destinations.contains_key(&destination) {
            return None;
        }
        let mut take = |reported: u32| {
            let counted = reported.min(outstanding.calls);
            outstanding.calls -= counted;
            f64::from(counted)
        };
        let failed = counts
            .failed
            .saturating_add(counts.timed_out)
            .saturating_add(counts.connect_failed);
        Some(RecentCounts {
            accepted: take(counts.delivered),
            rejected: take(counts.rejected),
            failed: take(failed),
        })
    }

    /// Records the zone's first answer, or sets the time of the next probe after a failed one.
    fn note_whether_zone_answers(&mut self, now: Nanos, results: &RecentCounts, rules: &ZoneRules) {
        if results.total() > 0.0 {
            self.last_used_at = now;
        }
        if self.has_answered {
            return;
        }
        if results.accepted + results.rejected > 0.0 {
            // The zone is back: earlier failures belong to the outage.
            self.has_answered = true;
            self.failed_for.clear();
            for destination in self.destinations.values_mut() {
                destination.results.failed = 0.0;
            }
        } else if results.failed > 0.0 {
            self.next_probe_at = now + self.probe_backoff(now, rules);
        }
    }

    /// Returns the time from a failed probe to the next one.
    fn probe_backoff(&self, now: Nanos, rules: &ZoneRules) -> Nanos {
        let probed_for_ms = (now - self.since) as f64 / 1e6;
        let longest_ms = (f64::from(rules.warmup_ms) * MAX_PROBE_BACKOFF_WARMUP_SHARE)
            .max(MIN_PROBE_BACKOFF_LIMIT_MS);
        let backoff_ms = (probed_for_ms * PROBE_BACKOFF_SHARE)
            .min(longest_ms)
            .max(f64::from(rules.slice_ms));
        ms(backoff_ms as u32)
    }

    /// Records which senders reported failures and answers. Two senders have to confirm that the
    /// zone answers; after that, one sender suffices for each destination.
    fn note_reporting_sender(&mut self, sender: u32, results: &RecentCounts) {
        if results.failed > 0.0 && self.failed_for.len() < MIN_CONFIRMING_SENDERS {
            self.failed_for.insert(sender);
        }
        if results.accepted > 0.0 && self.answered_to.len() < MIN_CONFIRMING_SENDERS {
            self.answered_to.insert(sender);
        }
    }

    /// Adds results to those of a destination; its warm-up begins with the first confirmed answer.
    fn add_results(&mut self, now: Nanos, destination: u16, results: &RecentCounts) {
        let zone_is_believed = self.is_answer_confirmed();
        let has_lone_sender = self.granted_to.len() < MIN_CONFIRMING_SENDERS;
        let Some(destination) = self.destinations.get_mut(&destination) else {
            return;
        };
        destination.results.add_weighted(*results, 1.0);
        if results.failed > 0.0 {
            destination.last_failure_at = now;
        }
        let answers = destination.results.accepted;
        let is_believed =
            zone_is_believed || has_lone_sender && answers >= MIN_ANSWERS_OF_LONE_SENDER;
        if destination.warmed_ms.is_none() && answers > 0.0 && is_believed {
            let begun_at = *self.begun_at.get_or_insert(now);
            destination.begin_warmup(now, begun_at);
        }
    }

    /// Advances all destinations to `now`. Returns the sums of the results before their weight
    /// decays.
    fn advance(&mut self, now: Nanos, is_held: bool, rules: &ZoneRules) -> ResultTotals {
        let passed_ms = (now - self.advanced_at) as f64 / 1e6;
        self.advanced_at = now;
        self.outstanding.retain(|_, outstanding| {
            outstanding.calls > 0 && outstanding.granted_at + ms(RESULTS_DUE_MS) > now
        });
        let fade = 0.5f64.powf(passed_ms / 1e3 / RESULT_HALF_LIFE_SECONDS);
        let mut totals = ResultTotals::default();
        for destination in self.destinations.values_mut() {
            totals.results += destination.results.total();
            totals.failed += destination.results.failed;
            destination.advance(passed_ms, fade, is_held, rules);
        }
        totals
    }

    /// Whether enough results, from at least two senders, are failures for the return to have
    /// failed.
    fn has_failed(&self, totals: ResultTotals, rules: &ZoneRules) -> bool {
        totals.results >= f64::from(rules.min_results)
            && totals.failed >= FAILED_SHARE * totals.results
            && self.failed_for.len() >= MIN_CONFIRMING_SENDERS
    }
}

impl ReturningDestination {
    /// Starts the warm-up of a destination that has answered, in a return that began at
    /// `begun_at`.
    fn begin_warmup(&mut self, now: Nanos, begun_at: Nanos) {
        let lead = now.saturating_sub(begun_at.max(self.last_failure_at));
        self.warmed_ms = Some(0.0);
        self.zone_lead_ms = lead as f64 / 1e6;
    }

    fn advance(&mut self, passed_ms: f64, fade: f64, is_held: bool, rules: &ZoneRules) {
        let total = self.results.total();
        let has_failed =
            total >= MIN_RESULTS_FOR_FAILURE && self.results.failed >= FAILED_SHARE * total;
        if has_failed && !is_held {
            // This destination fails its calls; others of the zone may still answer.
            self.warmed_ms = None;
            self.results.accepted = 0.0;
        }
        let is_overloaded = total >= MIN_RESULTS_FOR_OVERLOAD
            && self.results.rejected >= OVERLOADED_REJECTED_SHARE * total;
        // Before the first answer the results do not decay, so that all failures are counted.
        let Some(warmed_ms) = &mut self.warmed_ms else {
            return;
        };
        if !is_overloaded && !is_held {
            *warmed_ms = (*warmed_ms + passed_ms).min(f64::from(rules.warmup_ms));
        }
        self.results.scale(fade);
    }
}
