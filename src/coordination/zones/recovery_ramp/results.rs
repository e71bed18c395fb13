//! Results of granted calls: when a zone and its destinations have answered, how far they have
//! warmed up, and whether the return has failed.

use crate::coordination::messages::CallCounts;
use crate::coordination::zones::recovery_ramp::zone_return::{ReturningDestination, ZoneReturn};
use crate::coordination::zones::recovery_ramp::{RecoveryRamp, MIN_CONFIRMING_SENDERS};
use crate::coordination::zones::{ms, RecentCounts, ZoneRules};
use crate::Nanos;

/// Once a probe has failed, the next ones come after this share of the time for which the zone has
/// been probed: the end of an outage is found so much later than it was...
const PROBE_BACKOFF_SHARE: f64 = 0.1;
/// ...and at the most by this share of the warm-up, which is short beside the return...
const MAX_PROBE_BACKOFF_WARMUP_SHARE: f64 = 0.1;
/// ...or this many milliseconds, where that is longer.
const LEAST_MAX_PROBE_BACKOFF_MS: f64 = 1_000.0;
/// Seconds after which results weigh half as much: two seconds are some ten reports.
const RESULT_HALF_LIFE_SECONDS: f64 = 2.0;
/// Share of a destination's results that are rejections from which it counts as overloaded: its
/// warm-up waits, and nobody is readmitted.
pub const OVERLOADED_REJECTED_SHARE: f64 = 0.2;
/// Fewest results by which a destination counts as overloaded; with fewer it is chance.
const MIN_RESULTS_FOR_OVERLOAD: f64 = 3.0;
/// Share of the results that are failures from which a destination, or a return, has failed: what
/// is called an outage elsewhere as well.
const FAILED_SHARE: f64 = 0.5;
/// Fewest results by which a destination counts as failed; with fewer it is chance.
const MIN_RESULTS_FOR_FAILURE: f64 = 5.0;
/// Answers by which one sender is believed where no other was granted any call.
const MIN_ANSWERS_OF_LONE_SENDER: f64 = 3.0;
/// Milliseconds, and the warm-up's on top, after which a return ends that nobody requests calls
/// of: then it is enough that each sender limits itself.
const UNUSED_AFTER_MS: u32 = 30_000;
/// Milliseconds after a grant for which its results are waited for.
const RESULTS_DUE_MS: u32 = 30_000;

/// Results of all destinations of a return.
#[derive(Clone, Copy, Debug, Default)]
struct ResultTotals {
    results: f64,
    failed: f64,
}

/// How a return goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnProgress {
    /// It goes on.
    Ongoing,
    /// It had begun and failed.
    Failed,
    /// Nobody calls there.
    Unused,
}

impl RecoveryRamp {
    /// Takes what a sender tells of its calls to a destination.
    ///
    /// Counts no more than the calls that were granted to the sender: the others are not of this
    /// return.
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

    /// Counts the time since the last call for a zone's return: destinations warm up unless they
    /// are overloaded, and results fade. `is_held` is the operator's order to leave all as it is:
    /// then nothing warms up and nothing fails.
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
            // Nothing was readmitted yet: it is probed on, as a zone that does not answer.
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
    /// What of a sender's counts are results of calls that were granted to it; nothing where none
    /// are outstanding or the destination is not part of the return.
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

    /// Notes the zone's first answer, or when it is probed next as it did not answer.
    fn note_whether_zone_answers(&mut self, now: Nanos, results: &RecentCounts, rules: &ZoneRules) {
        if results.total() > 0.0 {
            self.last_used_at = now;
        }
        if self.has_answered {
            return;
        }
        if results.accepted + results.rejected > 0.0 {
            // It is back: what failed before tells of the time before.
            self.has_answered = true;
            self.failed_for.clear();
            for destination in self.destinations.values_mut() {
                destination.results.failed = 0.0;
            }
        } else if results.failed > 0.0 {
            self.next_probe_at = now + self.probe_backoff(now, rules);
        }
    }

    /// The time from a failed probe to the next one.
    fn probe_backoff(&self, now: Nanos, rules: &ZoneRules) -> Nanos {
        let probed_for_ms = (now - self.since) as f64 / 1e6;
        let longest_ms = (f64::from(rules.warmup_ms) * MAX_PROBE_BACKOFF_WARMUP_SHARE)
            .max(LEAST_MAX_PROBE_BACKOFF_MS);
        let backoff_ms = (probed_for_ms * PROBE_BACKOFF_SHARE)
            .min(longest_ms)
            .max(f64::from(rules.slice_ms));
        ms(backoff_ms as u32)
    }

    /// Notes who told of failures and of answers. That the zone answers is told by two senders;
    /// from then on one is enough for each destination.
    fn note_reporting_sender(&mut self, sender: u32, results: &RecentCounts) {
        if results.failed > 0.0 && self.failed_for.len() < MIN_CONFIRMING_SENDERS {
            self.failed_for.insert(sender);
        }
        if results.accepted > 0.0 && self.answered_to.len() < MIN_CONFIRMING_SENDERS {
            self.answered_to.insert(sender);
        }
    }

    /// Adds results to a destination's; its warm-up begins with the first answer that is believed.
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

    /// Lets time pass for all destinations. Returns the totals of the results before they faded.
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

    /// Whether so many results, of two senders at least, are failures that the return has failed.
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
            // This one does not take its calls; the others may.
            self.warmed_ms = None;
            self.results.accepted = 0.0;
        }
        let is_overloaded = total >= MIN_RESULTS_FOR_OVERLOAD
            && self.results.rejected >= OVERLOADED_REJECTED_SHARE * total;
        // Without an answer there is no other count of failures than all of them.
        let Some(warmed_ms) = &mut self.warmed_ms else {
            return;
        };
        if !is_overloaded && !is_held {
            *warmed_ms = (*warmed_ms + passed_ms).min(f64::from(rules.warmup_ms));
        }
        self.results.scale(fade);
    }
}
