//! The health of one endpoint, based on the results of this sender's calls to it.
//!
//! Decides: whether an endpoint is healthy, ejected or in slow start, when an ejected one gets its
//! next trial, and the time-out of a call. Inputs: results of the sender's own calls and the
//! settings. Caller: the dispatcher, with each result. No I/O and no clock; the caller passes the
//! time and random numbers.

use crate::dispatch::api::{DestinationId, Listing, Nanos, Outcome, Settings};
use crate::dispatch::rate_control::{LIMIT_USED_UP, LOW_CONFIDENCE};
use crate::dispatch::rate_quota::unobserved_recovery;
use crate::dispatch::statistics::{from_secs, to_secs, Meter, MS, RATE_MEMORY, SEC};

/// First gap between trials of an ejected endpoint: even an outage of seconds should get a few
/// trials.
pub const MIN_TRIAL_GAP: Nanos = 300 * MS;
/// Longest gap between trials; the gap grows by half with each failed trial.
pub const MAX_TRIAL_GAP: Nanos = 1_500 * MS;
/// Shortest time-out of an attempt: longer than a slow handshake and call.
const MIN_TIMEOUT: Nanos = 2 * SEC;
/// Longest time-out of an attempt: short enough that a hanging call frees its slot.
const MAX_TIMEOUT: Nanos = 8 * SEC;
/// Deviations above the mean latency after which a call times out.
const TIMEOUT_DEVIATIONS: f64 = 6.0;
/// Latency assumed before any answer, in seconds.
pub const INITIAL_LATENCY_SECONDS: f64 = 0.4;
/// Factor of a time-out on the deviation, as all calls may just have become slower.
const DEVIATION_AFTER_TIMEOUT: f64 = 2.0;
/// Weight of the newest call in the mean latency.
const LATENCY_GAIN: f64 = 0.15;
/// Weight of the newest call in the deviation of the latency.
const DEVIATION_GAIN: f64 = 0.2;
/// Weight of the newest call in the share of failing calls.
const FAILURE_GAIN: f64 = 0.2;
/// Consecutive hard failures (any but error answers) that eject an endpoint.
const EJECT_AFTER_FAILURES: u32 = 2;
/// Additional failures needed where they are error answers, as the endpoint is reachable.
const EXTRA_FAILURES_FOR_ERRORS: u32 = 2;
/// Consecutive rejections, with no success between, from which on an endpoint that has not answered
/// for long is taken for closed.
const CLOSED_AFTER_REJECTIONS: u32 = 3;
/// Share of failing calls above which most calls fail, with some margin for small samples.
const MOSTLY_FAILING_SHARE: f64 = 0.45;
/// Share of failing calls above which a destination counts as impaired.
const IMPAIRED_FAILURE_SHARE: f64 = 0.3;
/// Part of the highest throughput that decays with each success.
const PEAK_DECAY: f64 = 0.005;

/// State of an endpoint, which limits the calls to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    /// It may be sent calls up to its rate.
    #[default]
    Healthy,
    /// It may be sent one trial at a time.
    Ejected,
    /// It has recovered, perhaps at reduced capacity: sends use a budget that grows with the
    /// warm-up.
    SlowStart,
}

/// State of one endpoint, from this sender's own calls alone.
#[derive(Debug, Default)]
pub struct EndpointState {
    /// Its destination.
    pub dest: DestinationId,
    /// Its zone.
    pub zone: u16,
    /// Position of its kind.
    pub kind: usize,
    /// Whether it is listed as ready.
    pub is_ready: bool,
    /// This sender's preference, drawn once: a factor on the endpoint's cost.
    pub preference: f64,
    /// Rate in the list, in calls per second.
    pub listed_rate: f64,
    /// Its health, which limits the calls to it.
    pub health: Health,
    /// Earliest time of the next trial while it is ejected.
    pub trial_at: Nanos,
    /// The gap after that trial, in nanoseconds.
    pub trial_gap: Nanos,
    /// Whether a trial has failed since it was ejected, so that the ejection was not by chance.
    pub trial_has_failed: bool,
    /// Time from which its warm-up counts: when a recovering endpoint first answered, or last
    /// failed.
    pub warmup_since: Nanos,
    /// Consecutive failures.
    pub consecutive_failures: u32,
    /// Share of the latest calls that failed.
    pub failure_share: f64,
    /// Time of the last answer; at first the time it was listed.
    pub last_answer_at: Nanos,
    /// Time at which a call last failed or was rejected here, or it was ejected with its siblings;
    /// at first the time it was listed.
    pub failed_at: Nanos,
    /// Send time of the first call of the present series of failures.
    pub failing_since: Nanos,
    /// Mean latency, in seconds.
    pub latency: f64,
    /// Mean deviation of the latency, in seconds.
    pub latency_deviation: f64,
    /// Answered calls per second.
    answered: Meter,
    /// Highest throughput observed, in calls per second, slowly decaying; 0 before any answer.
    pub peak_throughput: f64,
    /// Calls in flight.
    pub calls_in_flight: u32,
    /// Time at which a call here last ended; its connection has been idle since.
    pub used_at: Option<Nanos>,
    /// Time of a failed connect here after which the next call shows whether the endpoint was down.
    pub connect_failed_at: Option<Nanos>,
    /// Whether a call was lost here, so that the next one needs a new connection.
    pub needs_new_connection: bool,
}

/// Data of a call that has ended, beside its outcome.
pub struct CallResult {
    /// When it was sent.
    pub sent_at: Nanos,
    /// Whether it was a trial of an endpoint that was ejected.
    pub is_trial: bool,
    /// Confidence of the rate controller before this call
    /// ([`crate::dispatch::rate_control::RateController::confidence`]).
    pub confidence: f64,
    /// Uniform random number from 0 to 1.
    pub jitter: f64,
}

/// Data of a rejection that shows whether the endpoint is closed.
pub struct RejectionHint {
    /// Consecutive rejections, this one included.
    pub consecutive: u32,
    /// The Retry-After, in nanoseconds; 0: none.
    pub retry_after: Nanos,
    /// Unused share of the limit, by a report.
    pub limit_left: Option<f64>,
}

impl EndpointState {
    /// Creates an endpoint that has just been listed, with this sender's preference for it.
    pub fn new(listing: &Listing, preference: f64, now: Nanos) -> Self {
        EndpointState {
            preference,
            dest: listing.dest,
            zone: listing.zone,
            last_answer_at: now,
            failed_at: now,
            latency: INITIAL_LATENCY_SECONDS,
            latency_deviation: INITIAL_LATENCY_SECONDS,
            answered: Meter::new(now, RATE_MEMORY.fade_seconds),
            ..EndpointState::default()
        }
    }

    /// Returns the time-out of a call of this weight, where one message weighs 1.
    pub fn timeout(&self, weight: f64) -> Nanos {
        let usual = self.latency + TIMEOUT_DEVIATIONS * self.latency_deviation;
        from_secs(usual * weight).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Whether it is ejected or many of its calls fail.
    pub fn is_impaired(&self) -> bool {
        self.health == Health::Ejected || self.failure_share > IMPAIRED_FAILURE_SHARE
    }

    /// Ejects it until a trial is answered.
    fn eject(&mut self, now: Nanos, jitter: f64) {
        self.trial_gap = if self.health == Health::Ejected {
            (self.trial_gap * 3 / 2).min(MAX_TRIAL_GAP)
        } else {
            MIN_TRIAL_GAP
        };
        self.trial_at = now + from_secs(to_secs(self.trial_gap) * (0.7 + 0.6 * jitter));
        self.health = Health::Ejected;
    }

    /// Ejects it with its siblings; the first trial may be made at once.
    pub fn eject_with_siblings(&mut self, now: Nanos) {
        self.health = Health::Ejected;
        self.trial_at = now;
        self.trial_gap = MIN_TRIAL_GAP;
        self.failing_since = now;
        self.failed_at = now;
    }

    /// Records when a series of failures began and when a call last failed, before the result
    /// itself is recorded.
    pub fn begin_result(&mut self, now: Nanos, outcome: Outcome, sent_at: Nanos) {
        let is_failing = self.failing_since > self.last_answer_at;
        if self.consecutive_failures == 0 && outcome != Outcome::Delivered && !is_failing {
            self.failing_since = sent_at;
        }
        // Rejections count too: an endpoint that is closed had not recovered yet.
        let says_nothing = matches!(
            outcome,
            Outcome::Delivered | Outcome::Cancelled | Outcome::NotSent
        );
        if !says_nothing {
            self.failed_at = now;
        }
    }

    /// Records that a call was answered.
    pub fn record_answer(&mut self, now: Nanos, call: &CallResult, settings: &Settings) {
        // A series of failures that ends this soon was chance or a short slowdown, unless a trial
        // failed, too: calls that are lost by chance come one or two in a row, with no answered
        // call between them. Even after a short outage the endpoint needs slow start.
        let lasted = now.saturating_sub(self.failing_since) >= settings.overload_window * 3 / 2;
        let was_outage = lasted || self.trial_has_failed;
        self.trial_has_failed = false;
        self.consecutive_failures = 0;
        self.last_answer_at = now;
        self.failure_share *= 1.0 - FAILURE_GAIN;
        self.record_latency(to_secs(now.saturating_sub(call.sent_at)), call.confidence);
        let throughput = self.answered.record(now, RATE_MEMORY);
        self.peak_throughput +=
            (throughput - self.peak_throughput).max(PEAK_DECAY * -self.peak_throughput);
        if self.health == Health::Ejected {
            self.health = if was_outage {
                Health::SlowStart
            } else {
                Health::Healthy
            };
            let silent = to_secs(now - self.failed_at);
            let back = unobserved_recovery(silent, settings.senders);
            self.warmup_since = now - from_secs(back);
        } else if now > self.warmup_since + settings.slow_start_duration {
            self.health = Health::Healthy;
        }
    }

    fn record_latency(&mut self, latency: f64, confidence: f64) {
        if self.peak_throughput == 0.0 && confidence < LOW_CONFIDENCE {
            self.latency = latency;
            self.latency_deviation = latency;
        }
        let deviation = (latency - self.latency).abs();
        self.latency_deviation += DEVIATION_GAIN * (deviation - self.latency_deviation);
        self.latency += LATENCY_GAIN * (latency - self.latency);
    }

    /// Records that a call was rejected.
    pub fn record_rejection(
        &mut self,
        now: Nanos,
        hint: &RejectionHint,
        call: &CallResult,
        settings: &Settings,
    ) {
        let last_activity = self.last_answer_at.max(self.failing_since);
        let is_silent = now.saturating_sub(last_activity) > settings.overload_window;
        // A rejection with the limit unused means that the endpoint is closed.
        let limit_is_unused =
            hint.limit_left > Some(1.0 - LIMIT_USED_UP) && call.confidence < LOW_CONFIDENCE;
        let is_closed = limit_is_unused
            || hint.consecutive >= CLOSED_AFTER_REJECTIONS
                && is_silent
                && hint.limit_left.is_none_or(|left| left >= LIMIT_USED_UP);
        let long_wait = hint.retry_after > settings.overload_window * 3 / 2;
        if is_closed || self.health == Health::Ejected || long_wait {
            // An endpoint that stays full for long is closed: it needs slow start when it recovers,
            // and every sender got the same time to return.
            self.eject(now, call.jitter);
            self.trial_at = self.trial_at.max(now + hint.retry_after);
        }
    }

    /// Records that a call failed. `connection_shortage`: it got no connection, and its kind is
    /// suspected to be out of them.
    pub fn record_failure(
        &mut self,
        now: Nanos,
        outcome: Outcome,
        connection_shortage: bool,
        call: &CallResult,
        settings: &Settings,
    ) {
        // Calls lost while others sent later were answered show loss in the network, not an outage.
        let none_answered_since = self.last_answer_at <= call.sent_at;
        self.consecutive_failures += u32::from(none_answered_since);
        self.failure_share += FAILURE_GAIN * (1.0 - self.failure_share);
        self.widen_deviation(none_answered_since && outcome == Outcome::Timeout);
        let is_hard = outcome != Outcome::Error;
        // One failure is enough after a long time without answers: calls are too rare for a series.
        let silent = call.sent_at.saturating_sub(self.last_answer_at);
        let is_rare = none_answered_since && is_hard && silent > settings.overload_window;
        let single_is_enough = is_rare && call.confidence < LOW_CONFIDENCE && !connection_shortage;
        let enough = EJECT_AFTER_FAILURES
            + EXTRA_FAILURES_FOR_ERRORS * u32::from(!is_hard)
            + u32::from(connection_shortage);
        self.trial_has_failed |= call.is_trial && is_hard;
        if self.consecutive_failures >= enough || call.is_trial && is_hard || single_is_enough {
            self.eject(now, call.jitter);
        } else if self.health == Health::SlowStart || self.failure_share > MOSTLY_FAILING_SHARE {
            // Most calls fail though some succeed: keep to the slow-start budget until that ends.
            self.health = Health::SlowStart;
            self.warmup_since = now;
        }
    }

    fn widen_deviation(&mut self, slower: bool) {
        let factor = if slower { DEVIATION_AFTER_TIMEOUT } else { 1.0 };
        let most = INITIAL_LATENCY_SECONDS.max(self.latency * factor);
        self.latency_deviation = (self.latency_deviation * factor).min(most);
    }
}
