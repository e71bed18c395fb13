//! When and how often a destination, or an endpoint that is a separate route, is called.
//!
//! Decides: the pause after a rejection and the rate of calls. Inputs: results of calls, the
//! sender's [`RateQuota`] where it is one of many, and load reports. Callers: the dispatcher,
//! before each choice of an endpoint and with each result. No I/O and no clock; the caller passes
//! the time and random numbers.

use crate::dispatch::api::Nanos;
use crate::dispatch::rate_quota::RateQuota;
use crate::dispatch::stale_connections::Suspicion;
use crate::dispatch::statistics::{blend, from_secs, to_secs, Meter, MS, RATE_MEMORY, SEC};

/// Shortest backoff after a rejection without a Retry-After, and the wait expected of a kind that
/// has sent no Retry-After yet: about one call.
const MIN_BACKOFF: Nanos = 150 * MS;
/// Largest number of consecutive rejections with which the backoff still doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Growth of the rate per accepted call, relative to the rate, at most once per second: where calls
/// are frequent.
const GROWTH_FREQUENT: f64 = 0.1;
/// The same where calls are rare; the rate would otherwise grow too slowly.
const GROWTH_RARE: f64 = 0.5;
/// Additional growth of the rate per call whose report says that the limit is unused.
const UNUSED_LIMIT_GROWTH: f64 = 3.0;
/// Unused share of the limit above which a report counts the limit as unused.
const UNUSED_LIMIT_SHARE: f64 = 0.5;
/// Growth of the rate in calls per second, each second, where this sender's own calls show enough.
const RATE_GROWTH_PER_SECOND: f64 = 0.1;
/// Smallest rate after rejections, as a part of the messages that arrive: all senders together stay
/// below demand.
const MIN_RATE_OF_DEMAND: f64 = 0.4;
/// Smallest rate after rejections where the limit is known, as a part of this sender's equal part
/// of it: a limit that rejected calls count against recovers only while less is sent than it
/// allows.
const MIN_RATE_OF_FAIR_RATE: f64 = 0.5;
/// The same as a part of the messages that arrive, if that is higher.
const MIN_RATE_OF_DEMAND_AT_LIMIT: f64 = 0.15;
/// Number of calls rejected right after a rejection, for each accepted one, above which the rate is
/// cut.
const CROWDED_REJECTIONS_PER_SUCCESS: f64 = 1.5;
/// Confidence below which a sender calls too rarely to judge by its own calls.
pub const LOW_CONFIDENCE: f64 = 0.5;
/// Unused share of the limit below which a report counts the limit as used up.
pub const LIMIT_USED_UP: f64 = 0.15;
/// Factor of a rejection on the rate where the sender's own calls show little; where they show
/// much, the rate is cut to that of the calls accepted lately.
const RATE_CUT: f64 = 0.6;
/// Upper bound of that accepted rate, as a part of the present rate.
const MAX_KEPT_RATE: f64 = 0.8;
/// Tokens left after a rejection, in calls.
const TOKENS_AFTER_REJECTION: f64 = 0.5;
/// Time over which unused rate is saved as tokens, in seconds; one call at least.
const MAX_TOKENS_SECONDS: f64 = 0.35;
/// Longest spread of the return after a pause, as a part of the expected wait, for each rejection
/// per accepted call: many senders get the same time to return.
const RETURN_SPREAD: f64 = 0.5;
/// Largest number of consecutive rejections with which the spread still doubles.
const MAX_SPREAD_DOUBLINGS: u32 = 5;
/// Relative difference from the usual Retry-After from which on a wait is not caused by the limit.
const UNUSUAL_WAIT_DIFFERENCE: f64 = 0.1;
/// Weight of the newest call in the statistics of a kind.
const KIND_GAIN: f64 = 0.1;
/// Smallest assumed share of successful retries, against a division by zero.
const MIN_RETRY_SUCCESS: f64 = 0.05;

/// Pause and rate of a destination, or of a route where endpoints are separate routes.
#[derive(Debug, Default)]
pub struct RateController {
    /// Time at which the Retry-After of a rejection ends.
    pub retry_after_until: Nanos,
    /// Time at which the sender's own backoff ends.
    backoff_until: Nanos,
    /// Calls per second that the destination accepts from this sender, once a rejection has shown a
    /// limit; infinite before.
    rate: f64,
    /// This sender's quota of the listed rate, where it is one of many: limits the rate from the
    /// first call on.
    quota: Option<RateQuota>,
    /// Number of quotas that the sender may use, where it has one: a factor on the rate.
    quota_multiplier: f64,
    /// Calls that may be made now.
    tokens: f64,
    /// Time at which rate and tokens were last updated.
    refilled_at: Nanos,
    /// Time from which on the sender may exceed its rate by a burst, where the quota allows it.
    burst_from: Nanos,
    /// Accepted calls per second.
    accepted: Meter,
    last_accepted_at: Nanos,
    /// Time at which a rejection or report last cut the rate.
    rate_cut_at: Nanos,
    /// Rejections since the last accepted call; those of one burst count once.
    pub consecutive_rejections: u32,
    /// Limit in calls per second as last reported; 0: none.
    pub reported_limit: f64,
    /// Calls accepted so far; the limit on calls in flight grows with them.
    pub accepted_calls: u32,
    /// Calls that may be made now to endpoints that are ejected or in slow start; trials count too.
    pub slow_start_budget: f64,
    /// Time at which that budget was last updated.
    pub slow_start_budget_at: Nanos,
}

/// A quota by the present endpoint list.
pub struct QuotaOffer {
    /// The quota, where the sender is one of many.
    pub quota: Option<RateQuota>,
    /// Number of quotas that the sender may use.
    pub multiplier: f64,
    /// Part of a call that is saved at the start, if this is the first quota here.
    pub initial_tokens: f64,
    /// Whether the sender started with pending messages, as others may have at the same moment: it
    /// may not exceed its rate at first.
    pub hold_burst: bool,
}

/// Data of a rejection, beside the controller's own.
pub struct Rejection {
    /// When the rejected call was sent.
    pub sent_at: Nanos,
    /// The Retry-After, in nanoseconds; 0: none.
    pub retry_after: Nanos,
    /// The Retry-After or, without one, the usual one, in seconds.
    pub expected_wait: f64,
    /// Shortest time over which to spread the return, in seconds, where the endpoint may need slow
    /// start.
    pub slow_start_spread: f64,
    /// Number of calls rejected right after a rejection for each accepted one.
    pub rejections_per_success: f64,
    /// Whether a report says that the limit is used up.
    pub limit_used_up: bool,
    /// The controller's confidence before this call ([`RateController::confidence`]).
    pub confidence: f64,
    /// This sender's equal part of a known limit, in calls per second.
    pub fair_rate: Option<f64>,
    /// Messages per second that arrive for the destination.
    pub demand: f64,
    /// Uniform random number from 0 to 1.
    pub jitter: f64,
}

impl RateController {
    /// Creates a controller that has seen nothing before `now`.
    pub fn new(now: Nanos) -> Self {
        RateController {
            rate: f64::INFINITY,
            quota_multiplier: 1.0,
            accepted: Meter::new(now, RATE_MEMORY.fade_seconds),
            refilled_at: now,
            last_accepted_at: now,
            slow_start_budget: 1.0,
            slow_start_budget_at: now,
            ..RateController::default()
        }
    }

    /// Applies the quota by the present list. One of many senders starts at its quota, with a part
    /// of a call saved, as all senders start at the same moment.
    pub fn offer_quota(&mut self, now: Nanos, offer: &QuotaOffer) {
        self.quota_multiplier = match offer.quota {
            Some(_) => offer.multiplier,
            None => 1.0,
        };
        let Some(quota) = offer.quota else { return };
        if !self.rate.is_infinite() {
            return;
        }
        self.quota = Some(quota);
        self.rate = quota.initial_rate();
        self.tokens = offer.initial_tokens;
        self.refilled_at = now;
        if offer.hold_burst {
            self.hold_burst(now);
        }
    }

    /// Returns the end of the pause.
    pub fn paused_until(&self) -> Nanos {
        self.retry_after_until.max(self.backoff_until)
    }

    /// Returns the calls per second that the sender may make here now.
    fn allowed_rate(&self) -> f64 {
        self.rate * self.quota_multiplier
    }

    /// Updates rate and tokens.
    pub fn refill(&mut self, now: Nanos) {
        let seconds = to_secs(now.saturating_sub(self.refilled_at));
        self.refilled_at = self.refilled_at.max(now);
        if !self.rate.is_finite() {
            return;
        }
        self.rate = match self.quota {
            Some(quota) => quota.after_rest(self.rate, seconds),
            None => self.rate + RATE_GROWTH_PER_SECOND * self.confidence(now) * seconds,
        };
        let rate = self.allowed_rate();
        let most = (rate * MAX_TOKENS_SECONDS).max(1.0);
        self.tokens = (self.tokens + rate * seconds).min(most);
    }

    /// Returns how well this sender's own calls show the limit of the destination, from 0 (a call
    /// now and then) to 1.
    pub fn confidence(&self, now: Nanos) -> f64 {
        let calls = self.accepted.rate(now) * RATE_MEMORY.fade_seconds;
        calls / (calls + 1.0)
    }

    /// Counts an accepted call. The rate grows with accepted calls, not with time; otherwise a rare
    /// caller would lose its estimate of the limit between calls.
    pub fn record_accepted(&mut self, now: Nanos) {
        self.accepted_calls = self.accepted_calls.saturating_add(1);
        self.accepted.record(now, RATE_MEMORY);
        self.rate = match self.quota {
            Some(quota) => quota.after_accept(self.rate),
            None => {
                let growth = blend(self.confidence(now), GROWTH_FREQUENT, GROWTH_RARE);
                let seconds = to_secs(now.saturating_sub(self.last_accepted_at));
                self.rate * (1.0 + growth * seconds.min(1.0))
            }
        };
        self.last_accepted_at = now;
        self.consecutive_rejections = 0;
    }

    /// Returns the time at which pause and rate allow the next call.
    pub fn next_call_at(&self, now: Nanos) -> Nanos {
        let burst = match self.quota {
            Some(quota) if now >= self.burst_from => quota.burst_allowance(),
            _ => 0.0,
        };
        if self.tokens >= 1.0 - burst || !self.rate.is_finite() {
            return self.paused_until();
        }
        let wait = (1.0 - burst - self.tokens) / self.allowed_rate();
        let mut due = now + MS + from_secs(wait);
        if burst <= 0.0 && self.quota.is_some() {
            // From then on a burst may exceed the rate.
            due = due.min(self.burst_from.max(now + MS));
        }
        self.paused_until().max(due)
    }

    /// Prevents bursts over the rate for one turn, after a call to this destination was rejected.
    pub fn hold_burst(&mut self, now: Nanos) {
        let turn = match self.quota {
            Some(quota) if quota.burst_allowance() > 0.0 => quota.turn_interval(),
            _ => 0,
        };
        self.burst_from = self.burst_from.max(now + turn);
    }

    /// Takes the token of a call that is sent.
    pub fn spend_token(&mut self) {
        if self.rate.is_finite() {
            self.tokens -= 1.0;
        }
    }

    /// Counts a rejection of a call that was sent at `sent_at`; those of one burst count once.
    /// Returns whether it is the first in a row.
    pub fn count_rejection(&mut self, sent_at: Nanos) -> bool {
        let is_first = self.consecutive_rejections == 0;
        self.consecutive_rejections += u32::from(sent_at >= self.rate_cut_at);
        is_first
    }

    /// Cuts the rate and sets the pause, after a rejection that is counted.
    pub fn reject(&mut self, now: Nanos, rejection: &Rejection) {
        self.refill(now);
        // Calls sent before the last cut say nothing about the rate since.
        if rejection.sent_at >= self.rate_cut_at {
            self.cut_rate(now, rejection);
        }
        self.rate_cut_at = now;
        self.pause(now, rejection);
    }

    fn cut_rate(&mut self, now: Nanos, rejection: &Rejection) {
        if let Some(quota) = self.quota {
            self.rate = quota.after_rejection(self.rate);
            self.tokens = self.tokens.min(TOKENS_AFTER_REJECTION);
            return;
        }
        let crowded = self.consecutive_rejections > 1
            && rejection.rejections_per_success > CROWDED_REJECTIONS_PER_SUCCESS;
        let confident = rejection.confidence > LOW_CONFIDENCE;
        if !rejection.limit_used_up && !crowded && !confident {
            return;
        }
        let least = match rejection.fair_rate {
            Some(fair) => {
                (MIN_RATE_OF_FAIR_RATE * fair).max(MIN_RATE_OF_DEMAND_AT_LIMIT * rejection.demand)
            }
            None => MIN_RATE_OF_DEMAND * rejection.demand,
        };
        let cut = if rejection.limit_used_up {
            least
        } else {
            RATE_CUT * self.rate.min(rejection.demand)
        };
        let accepted = self.accepted.rate(now).min(MAX_KEPT_RATE * self.rate);
        let rate = blend(rejection.confidence, accepted, cut);
        self.rate = rate.max((1.0 - rejection.confidence) * least);
        self.tokens = self.tokens.min(TOKENS_AFTER_REJECTION);
    }

    fn pause(&mut self, now: Nanos, rejection: &Rejection) {
        let consecutive = self.consecutive_rejections;
        let mut until = now;
        if rejection.retry_after > 0 {
            self.retry_after_until = self.retry_after_until.max(now + rejection.retry_after);
        } else {
            let doublings = consecutive.clamp(1, MAX_BACKOFF_DOUBLINGS);
            let backoff = to_secs(MIN_BACKOFF) * f64::from(1u32 << doublings) / 2.0;
            until = now
                + from_secs(blend(
                    rejection.confidence,
                    backoff,
                    rejection.expected_wait,
                ));
        }
        // Counted from the end of the pause; otherwise the rejections of one burst would add up
        // their spreads.
        until = until.max(self.retry_after_until);
        let doublings = consecutive.min(MAX_SPREAD_DOUBLINGS);
        let crowd_spread = RETURN_SPREAD
            * rejection.rejections_per_success
            * rejection.expected_wait
            * f64::from(1u32 << doublings);
        let silent = to_secs(now.saturating_sub(self.last_accepted_at));
        let spread = silent.min(rejection.slow_start_spread.max(crowd_spread));
        let delay = rejection.jitter * spread * (1.0 - rejection.confidence);
        self.backoff_until = self.backoff_until.max(until + from_secs(delay));
    }

    /// Applies a load report: the unused share of the limit, and the limit in calls per second, of
    /// which `fair_rate` is this sender's equal part.
    pub fn apply_report(&mut self, now: Nanos, left: f64, limit: f64, fair_rate: f64) {
        self.refill(now);
        if left < LIMIT_USED_UP && now > self.rate_cut_at + SEC {
            self.rate_cut_at = now;
            let accepted = self.accepted.rate(now).max(fair_rate);
            self.rate = self.rate.min(accepted).min(limit);
        } else if left > UNUSED_LIMIT_SHARE {
            let unsure = 1.0 - self.confidence(now);
            let growth = unsure * UNUSED_LIMIT_GROWTH * (2.0 * left - 1.0);
            self.rate = (self.rate * (1.0 + growth)).max(fair_rate);
        }
    }
}

/// Statistics over all destinations of a kind, as each destination alone is called too rarely.
#[derive(Clone, Debug, Default)]
pub struct DestinationKindStats {
    /// Usual Retry-After, in seconds.
    usual_wait: f64,
    /// Share of the calls right after a rejection that are accepted. It is low where many senders
    /// wait, and where rejected calls count against the limit; there the return is spread out and
    /// the rate is cut.
    retry_success: f64,
    /// Suspicion that its endpoints are out of connections, in failed connects.
    pub connection_shortage: Suspicion,
}

/// Wait to expect after a rejection.
pub struct ExpectedWait {
    /// The Retry-After in seconds, or the usual one where there was none.
    pub seconds: f64,
    /// Whether it differs much from the usual one, so that the limit is not its cause.
    pub is_unusual: bool,
}

impl DestinationKindStats {
    /// Creates the statistics of a kind that has not been called.
    pub fn new() -> Self {
        DestinationKindStats {
            usual_wait: to_secs(MIN_BACKOFF),
            retry_success: 0.5,
            ..DestinationKindStats::default()
        }
    }

    /// Records whether the first call after a rejection was accepted.
    pub fn record_retry(&mut self, accepted: bool) {
        let value = f64::from(u8::from(accepted));
        self.retry_success += KIND_GAIN * (value - self.retry_success);
    }

    /// Records the Retry-After of a rejection (0: none).
    pub fn record_wait(&mut self, retry_after: Nanos) -> ExpectedWait {
        if retry_after == 0 {
            return ExpectedWait {
                seconds: self.usual_wait,
                is_unusual: false,
            };
        }
        let seconds = to_secs(retry_after);
        let is_unusual =
            (seconds - self.usual_wait).abs() > UNUSUAL_WAIT_DIFFERENCE * self.usual_wait;
        self.usual_wait += KIND_GAIN * (seconds - self.usual_wait);
        ExpectedWait {
            seconds,
            is_unusual,
        }
    }

    /// Returns the number of calls rejected right after a rejection for each accepted one.
    pub fn rejections_per_success(&self) -> f64 {
        (1.0 - self.retry_success) / self.retry_success.max(MIN_RETRY_SUCCESS)
    }
}
