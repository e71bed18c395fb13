//! The health of one endpoint, from what this sender's calls there came to.
//!
//! Decides: whether an endpoint is healthy, ejected or in slow start, when an ejected one is tried
//! again, and the time-out of a call. Inputs: results of the sender's own calls and the settings.
//! Caller: the dispatcher, with each result. No I/O, no clock; the caller brings time and
//! randomness.

use crate::dispatch::api::{DestinationId, Listing, Nanos, Outcome, Settings};
use crate::dispatch::rate_control::{LIMIT_USED_UP, LOW_CONFIDENCE};
use crate::dispatch::rate_quota::unobserved_recovery;
use crate::dispatch::statistics::{from_secs, to_secs, Meter, MS, RATE_MEMORY, SEC};

/// First gap between trials of an ejected endpoint; an outage's seconds deserve a few calls each.
pub const MIN_TRIAL_GAP: Nanos = 300 * MS;
/// Longest gap between trials; the gap grows by half with each failed one.
pub const MAX_TRIAL_GAP: Nanos = 1_500 * MS;
/// Least time-out of an attempt: over a slow handshake and call.
const MIN_TIMEOUT: Nanos = 2 * SEC;
/// Longest time-out of an attempt: short enough that a hang does not keep the slot.
const MAX_TIMEOUT: Nanos = 8 * SEC;
/// Deviations from the mean latency that a time-out allows.
const TIMEOUT_DEVIATIONS: f64 = 6.0;
/// Latency assumed before any is seen, in seconds.
pub const INITIAL_LATENCY: f64 = 0.4;
/// Factor of a time-out on the deviation: all calls may just have become slower.
const DEVIATION_AFTER_TIMEOUT: f64 = 2.0;
/// Weight of the newest call in the mean latency.
const LATENCY_GAIN: f64 = 0.15;
/// Weight of the newest call in the deviation of the latency.
const DEVIATION_GAIN: f64 = 0.2;
/// Weight of the newest call in the share of failing calls.
const FAILURE_GAIN: f64 = 0.2;
/// Hard failures in a row that eject an endpoint.
const EJECT_AFTER_FAILURES: u32 = 2;
/// More failures that it takes where they are error answers: the endpoint is there.
const MORE_FOR_ERRORS: u32 = 2;
/// Rejections in a row, with no success between, from which on an endpoint that is long silent is
/// taken for closed.
const CLOSED_AFTER_REJECTIONS: u32 = 3;
/// Share of failing calls at which most are failing, with some margin for small samples.
const MOSTLY_FAILING: f64 = 0.45;
/// Share of failing calls over which a destination counts as impaired.
const IMPAIRED: f64 = 0.3;
/// Part of the highest throughput that is forgotten with each success.
const PEAK_FADE: f64 = 0.005;

/// What an endpoint may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    /// Whatever its rate allows.
    #[default]
    Healthy,
    /// Nothing but one trial at a time.
    Ejected,
    /// It is back, perhaps cold: sends spend a budget that grows with the warm-up.
    SlowStart,
}

/// What is known of one endpoint, from this sender's own calls alone.
#[derive(Debug, Default)]
pub struct EndpointState {
    /// Its destination.
    pub dest: DestinationId,
    /// Its zone.
    pub zone: u16,
    /// Position of its kind.
    pub kind: usize,
    /// The list has it as ready.
    pub is_ready: bool,
    /// This sender's preference, drawn once: a factor on its cost.
    pub preference: f64,
    /// Rate in the list, in calls a second.
    pub listed_rate: f64,
    /// What it may be sent.
    pub health: Health,
    /// When it may be tried next while it is ejected.
    pub trial_at: Nanos,
    /// The gap after that trial, in nanoseconds.
    pub trial_gap: Nanos,
    /// A trial has failed since it was ejected: more than chance ejected it.
    pub trial_has_failed: bool,
    /// When a returning endpoint first answered, or last failed: its warm-up counts from here.
    pub warmup_since: Nanos,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// Share of the latest calls that failed.
    pub failure_share: f64,
    /// When a call was last answered; at first when the endpoint was listed.
    pub last_answer_at: Nanos,
    /// When a call last failed or was rejected here, or it was taken for down with its siblings; at
    /// first when it was listed.
    pub failed_at: Nanos,
    /// Send time of the first call of the present row of failures.
    pub failing_since: Nanos,
    /// Mean latency, in seconds.
    pub latency: f64,
    /// Mean deviation of the latency, in seconds.
    pub latency_deviation: f64,
    /// Answered calls a second.
    answered: Meter,
    /// The highest throughput seen, in calls a second, slowly forgotten; 0 before any answer.
    pub peak_throughput: f64,
    /// Calls in flight.
    pub calls_in_flight: u32,
    /// When a call here last ended; its connection is idle since.
    pub used_at: Option<Nanos>,
    /// When a connection failed here, where the next call will tell whether the endpoint was down.
    pub connect_failed_at: Option<Nanos>,
    /// A call got lost here: the next one goes on a new connection.
    pub needs_new_connection: bool,
}

/// What is known of a call that has ended, beside its outcome.
pub struct CallResult {
    /// When it was sent.
    pub sent_at: Nanos,
    /// It was a trial of an endpoint that was ejected.
    pub is_trial: bool,
    /// How far the sender's own calls showed what is taken there, before this one
    /// ([`crate::dispatch::rate_control::RateController::confidence`]).
    pub confidence: f64,
    /// Drawn evenly from 0 to 1.
    pub jitter: f64,
}

/// What is known of a rejection, as far as it says whether the endpoint is closed.
pub struct RejectionHint {
    /// Rejections in a row, this one included.
    pub consecutive: u32,
    /// The wait it told, in nanoseconds; 0: none.
    pub retry_after: Nanos,
    /// Share of the limit left, by a report.
    pub limit_left: Option<f64>,
}

impl EndpointState {
    /// An endpoint that has just been listed, with this sender's preference for it.
    pub fn new(listing: &Listing, preference: f64, now: Nanos) -> Self {
        EndpointState {
            preference,
            dest: listing.dest,
            zone: listing.zone,
            last_answer_at: now,
            failed_at: now,
            latency: INITIAL_LATENCY,
            latency_deviation: INITIAL_LATENCY,
            answered: Meter::new(now, RATE_MEMORY.fade_seconds),
            ..EndpointState::default()
        }
    }

    /// Time-out of a call of this weight, where one message weighs 1.
    pub fn timeout(&self, weight: f64) -> Nanos {
        let usual = self.latency + TIMEOUT_DEVIATIONS * self.latency_deviation;
        from_secs(usual * weight).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Whether it is ejected or many of its calls fail.
    pub fn is_impaired(&self) -> bool {
        self.health == Health::Ejected || self.failure_share > IMPAIRED
    }

    /// Takes it for down until a trial is answered.
    fn eject(&mut self, now: Nanos, jitter: f64) {
        self.trial_gap = if self.health == Health::Ejected {
            (self.trial_gap * 3 / 2).min(MAX_TRIAL_GAP)
        } else {
            MIN_TRIAL_GAP
        };
        self.trial_at = now + from_secs(to_secs(self.trial_gap) * (0.7 + 0.6 * jitter));
        self.health = Health::Ejected;
    }

    /// Takes it for down with its siblings, with a trial at once.
    pub fn eject_with_siblings(&mut self, now: Nanos) {
        self.health = Health::Ejected;
        self.trial_at = now;
        self.trial_gap = MIN_TRIAL_GAP;
        self.failing_since = now;
        self.failed_at = now;
    }

    /// Notes when a row of failures began and when a call last failed, before the result itself is
    /// recorded.
    pub fn begin_result(&mut self, now: Nanos, outcome: Outcome, sent_at: Nanos) {
        let is_failing = self.failing_since > self.last_answer_at;
        if self.consecutive_failures == 0 && outcome != Outcome::Delivered && !is_failing {
            self.failing_since = sent_at;
        }
        // A rejection too: an endpoint that is closed was not back yet.
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
        // A row of failures that ends this soon was chance or a slow spell, unless a trial failed,
        // too: calls that are lost by chance come one or two in a row, and nothing was sent there
        // between that was answered. However short, an outage leaves the endpoint cold.
        let lasted = now.saturating_sub(self.failing_since) >= settings.overload_window * 3 / 2;
        let was_outage = lasted || self.trial_has_failed;
        self.trial_has_failed = false;
        self.consecutive_failures = 0;
        self.last_answer_at = now;
        self.failure_share *= 1.0 - FAILURE_GAIN;
        self.record_latency(to_secs(now.saturating_sub(call.sent_at)), call.confidence);
        let throughput = self.answered.record(now, RATE_MEMORY);
        self.peak_throughput +=
            (throughput - self.peak_throughput).max(PEAK_FADE * -self.peak_throughput);
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
        let last_sign = self.last_answer_at.max(self.failing_since);
        let is_silent = now.saturating_sub(last_sign) > settings.overload_window;
        // Rejected with the limit unused: it is closed.
        let limit_is_unused =
            hint.limit_left > Some(1.0 - LIMIT_USED_UP) && call.confidence < LOW_CONFIDENCE;
        let is_closed = limit_is_unused
            || hint.consecutive >= CLOSED_AFTER_REJECTIONS
                && is_silent
                && hint.limit_left.is_none_or(|left| left >= LIMIT_USED_UP);
        let long_wait = hint.retry_after > settings.overload_window * 3 / 2;
        if is_closed || self.health == Health::Ejected || long_wait {
            // Full for long is closed: it comes back cold, and every sender was told the same
            // moment.
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
        // Calls lost while others sent later were answered tell of loss on the way, not of an
        // outage.
        let none_answered_since = self.last_answer_at <= call.sent_at;
        self.consecutive_failures += u32::from(none_answered_since);
        self.failure_share += FAILURE_GAIN * (1.0 - self.failure_share);
        self.widen_deviation(none_answered_since && outcome == Outcome::Timeout);
        let is_hard = outcome != Outcome::Error;
        // One failure is enough where nothing was answered for long: calls are too rare for rows.
        let silent = call.sent_at.saturating_sub(self.last_answer_at);
        let is_rare = none_answered_since && is_hard && silent > settings.overload_window;
        let single_is_enough = is_rare && call.confidence < LOW_CONFIDENCE && !connection_shortage;
        let enough = EJECT_AFTER_FAILURES
            + MORE_FOR_ERRORS * u32::from(!is_hard)
            + u32::from(connection_shortage);
        self.trial_has_failed |= call.is_trial && is_hard;
        if self.consecutive_failures >= enough || call.is_trial && is_hard || single_is_enough {
            self.eject(now, call.jitter);
        } else if self.health == Health::SlowStart || self.failure_share > MOSTLY_FAILING {
            // Most calls fail though some get through: hold to the cold budget until that ends.
            self.health = Health::SlowStart;
            self.warmup_since = now;
        }
    }

    fn widen_deviation(&mut self, slower: bool) {
        let factor = if slower { DEVIATION_AFTER_TIMEOUT } else { 1.0 };
        let most = INITIAL_LATENCY.max(self.latency * factor);
        self.latency_deviation = (self.latency_deviation * factor).min(most);
    }
}
