//! When a destination, or a route of its own, is called again and how often.
//!
//! Decides: the pause after a rejection and the rate of calls. Inputs: what calls there came to,
//! the sender's [`RateQuota`] where it is one of many, and load reports. Callers: the dispatcher,
//! before each choice of an endpoint and with each result. No I/O, no clock; the caller brings time
//! and randomness.

use crate::dispatch::api::Nanos;
use crate::dispatch::rate_quota::RateQuota;
use crate::dispatch::stale_connections::Suspicion;
use crate::dispatch::statistics::{blend, from_secs, to_secs, Meter, MS, RATE_MEMORY, SEC};

/// Least backoff after a rejection that told no wait, and the wait expected of a kind that has told
/// none yet: about one call.
const MIN_BACKOFF: Nanos = 150 * MS;
/// Most rejections in a row that the backoff still doubles with.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Growth of the rate per accepted call, as a part of it, at most per second: where calls are many.
const GROWTH_FREQUENT: f64 = 0.1;
/// The same where calls are rare, which would else grow too slowly.
const GROWTH_RARE: f64 = 0.5;
/// Growth of the rate, beside that, per call whose report says that the limit is unused.
const UNUSED_LIMIT_GROWTH: f64 = 3.0;
/// Share of the limit left over which a report says that it is unused.
const UNUSED_LIMIT: f64 = 0.5;
/// Calls a second that the rate gains each second where the calls here tell enough.
const RATE_CREEP: f64 = 0.1;
/// Least rate after rejections, as a part of the messages that arrive: all senders together stay
/// under what is asked for.
const MIN_RATE_OF_DEMAND: f64 = 0.4;
/// Least rate after rejections where the limit is known, as a part of this sender's even part of
/// it: a limit that rejected calls use up recovers only while less is sent than it allows.
const MIN_RATE_OF_FAIR_RATE: f64 = 0.5;
/// The same as a part of the messages that arrive, if that is more.
const MIN_RATE_OF_DEMAND_AT_LIMIT: f64 = 0.15;
/// Sends after a rejection that are rejected again, for each that is accepted, from which on the
/// rate is cut.
const CROWDED: f64 = 1.5;
/// Confidence under which a sender calls too rarely to judge by its own calls.
pub const LOW_CONFIDENCE: f64 = 0.5;
/// Share of the limit left under which a report says that it is used up.
pub const LIMIT_USED_UP: f64 = 0.15;
/// A rejection cuts the rate to what was accepted lately, and at least by this factor.
const RATE_CUT: f64 = 0.6;
/// Most of the present rate that is kept for what was accepted lately.
const MAX_KEPT_RATE: f64 = 0.8;
/// Tokens left after a rejection, in calls.
const TOKENS_AFTER_REJECTION: f64 = 0.5;
/// Seconds of the rate that are saved up as tokens at most, one call at least.
const MAX_TOKENS_SECONDS: f64 = 0.35;
/// Longest spread of the return after a pause, as a part of the expected wait for each rejection
/// per accepted call: a herd of senders is told the same moment.
const RETURN_SPREAD: f64 = 0.5;
/// Most rejections in a row that the spread still doubles with.
const MAX_SPREAD_DOUBLINGS: u32 = 5;
/// Distance from the usual told wait, as a part of it, from which on a wait is not the limit's.
const UNUSUAL_WAIT: f64 = 0.1;
/// Weight of the newest call in what a kind usually does.
const KIND_GAIN: f64 = 0.1;
/// Least share of successful retries that is reckoned with, against a division by zero.
const MIN_RETRY_SUCCESS: f64 = 0.05;

/// Pause and rate: one per destination, or per route where endpoints are separate routes.
#[derive(Debug, Default)]
pub struct RateController {
    /// When the wait ends that a rejection told.
    pub retry_after_until: Nanos,
    /// When the sender's own backoff ends.
    backoff_until: Nanos,
    /// Calls a second that the destination takes from this sender, once a rejection has shown a
    /// bound; infinite before.
    rate: f64,
    /// This sender's quota of what is listed, where it is one of many: bounds the rate from the
    /// first call on.
    quota: Option<RateQuota>,
    /// How many quotas the sender may take, where it has one: a factor on the rate.
    quota_multiplier: f64,
    /// Calls that may be sent now.
    tokens: f64,
    /// When rate and tokens were last brought up to date.
    refilled_at: Nanos,
    /// From when on the sender may be ahead of its rate, where the quota allows that.
    burst_from: Nanos,
    /// Accepted calls a second.
    accepted: Meter,
    last_accepted_at: Nanos,
    /// When the last rejection or report cut the rate.
    rate_cut_at: Nanos,
    /// Rejections since the last accepted call, those of one burst counted once.
    pub consecutive_rejections: u32,
    /// Limit in calls a second as last reported; 0: none.
    pub reported_limit: f64,
    /// Calls accepted so far: how many may be in flight at once grows with it.
    pub accepted_calls: u32,
    /// Calls that endpoints which are ejected or in slow start may be sent now; trials spend it
    /// too.
    pub slow_start_budget: f64,
    /// When that budget was last brought up to date.
    pub slow_start_budget_at: Nanos,
}

/// A quota as the endpoint list gives it now.
pub struct QuotaOffer {
    /// The quota, where the sender is one of many.
    pub quota: Option<RateQuota>,
    /// How many quotas the sender may take.
    pub multiplier: f64,
    /// Part of a call that is saved up if the quota is the first one here.
    pub initial_tokens: f64,
    /// The sender began with messages held, as others may have in the same moment: it is not ahead
    /// of its rate at first.
    pub hold_burst: bool,
}

/// What is known of a rejection, beside the controller that it came to.
pub struct Rejection {
    /// When the rejected call was sent.
    pub sent_at: Nanos,
    /// The wait it told, in nanoseconds; 0: none.
    pub retry_after: Nanos,
    /// The wait it told or, where none is, the usual one, in seconds.
    pub expected_wait: f64,
    /// Seconds over which to spread the return at least, where the endpoint may come back cold.
    pub cold_spread: f64,
    /// How many calls are rejected after a rejection for each that is accepted.
    pub rejections_per_success: f64,
    /// A report says that the limit is used up.
    pub limit_used_up: bool,
    /// The controller's confidence before this call ([`RateController::confidence`]).
    pub confidence: f64,
    /// This sender's even part of a known limit, in calls a second.
    pub fair_rate: Option<f64>,
    /// Messages a second that arrive for the destination.
    pub demand: f64,
    /// Drawn evenly from 0 to 1.
    pub jitter: f64,
}

impl RateController {
    /// A controller that has seen nothing since `now`.
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

    /// Takes the quota that the list gives now. One of many senders begins at its quota, with a
    /// part of a call saved up: all begin at the same moment.
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

    /// When the pause ends.
    pub fn paused_until(&self) -> Nanos {
        self.retry_after_until.max(self.backoff_until)
    }

    /// Calls a second that the sender may make here now.
    fn allowed_rate(&self) -> f64 {
        self.rate * self.quota_multiplier
    }

    /// Brings rate and tokens up to now.
    pub fn refill(&mut self, now: Nanos) {
        let seconds = to_secs(now.saturating_sub(self.refilled_at));
        self.refilled_at = self.refilled_at.max(now);
        if !self.rate.is_finite() {
            return;
        }
        self.rate = match self.quota {
            Some(quota) => quota.after_rest(self.rate, seconds),
            None => self.rate + RATE_CREEP * self.confidence(now) * seconds,
        };
        let rate = self.allowed_rate();
        let most = (rate * MAX_TOKENS_SECONDS).max(1.0);
        self.tokens = (self.tokens + rate * seconds).min(most);
    }

    /// How far this sender's own calls show what the destination takes, from 0 (a call now and
    /// then) to 1.
    pub fn confidence(&self, now: Nanos) -> f64 {
        let calls = self.accepted.rate(now) * RATE_MEMORY.fade_seconds;
        calls / (calls + 1.0)
    }

    /// Counts an accepted call. The rate grows by what was tried, not by time, or a rare caller
    /// forgets the limit between calls.
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

    /// When pause and rate allow the next call.
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
            // Then it may be ahead of its rate.
            due = due.min(self.burst_from.max(now + MS));
        }
        self.paused_until().max(due)
    }

    /// For one turn it is not ahead of its rate: a call to this destination was rejected.
    pub fn hold_burst(&mut self, now: Nanos) {
        let turn = match self.quota {
            Some(quota) if quota.burst_allowance() > 0.0 => quota.turn_interval(),
            _ => 0,
        };
        self.burst_from = self.burst_from.max(now + turn);
    }

    /// Spends a token on a call that is sent.
    pub fn spend_token(&mut self) {
        if self.rate.is_finite() {
            self.tokens -= 1.0;
        }
    }

    /// Counts a rejection of a call that was sent at `sent_at`; those of one burst count once.
    /// Whether it is the first in a row.
    pub fn count_rejection(&mut self, sent_at: Nanos) -> bool {
        let is_first = self.consecutive_rejections == 0;
        self.consecutive_rejections += u32::from(sent_at >= self.rate_cut_at);
        is_first
    }

    /// Cuts the rate and sets the pause, after a rejection that is counted.
    pub fn reject(&mut self, now: Nanos, rejection: &Rejection) {
        self.refill(now);
        // What was sent before the last cut says nothing of the rate since.
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
        let crowded = self.consecutive_rejections > 1 && rejection.rejections_per_success > CROWDED;
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
        // From the pause itself: the rejections of one burst would else add up their spreads.
        until = until.max(self.retry_after_until);
        let doublings = consecutive.min(MAX_SPREAD_DOUBLINGS);
        let crowd_spread = RETURN_SPREAD
            * rejection.rejections_per_success
            * rejection.expected_wait
            * f64::from(1u32 << doublings);
        let silent = to_secs(now.saturating_sub(self.last_accepted_at));
        let spread = silent.min(rejection.cold_spread.max(crowd_spread));
        let delay = rejection.jitter * spread * (1.0 - rejection.confidence);
        self.backoff_until = self.backoff_until.max(until + from_secs(delay));
    }

    /// Takes a load report: the share of the limit that is left, and the limit in calls a second,
    /// of which `fair_rate` is this sender's even part.
    pub fn apply_report(&mut self, now: Nanos, left: f64, limit: f64, fair_rate: f64) {
        self.refill(now);
        if left < LIMIT_USED_UP && now > self.rate_cut_at + SEC {
            self.rate_cut_at = now;
            let accepted = self.accepted.rate(now).max(fair_rate);
            self.rate = self.rate.min(accepted).min(limit);
        } else if left > UNUSED_LIMIT {
            let unsure = 1.0 - self.confidence(now);
            let growth = unsure * UNUSED_LIMIT_GROWTH * (2.0 * left - 1.0);
            self.rate = (self.rate * (1.0 + growth)).max(fair_rate);
        }
    }
}

/// What the destinations of a kind usually do, as seen from all of them together: each alone is
/// called too rarely.
#[derive(Clone, Debug, Default)]
pub struct DestinationKindStats {
    /// The wait that rejections usually tell, in seconds.
    usual_wait: f64,
    /// Share of the calls next after a rejection that are accepted. Low where many wait, and where
    /// rejected calls use up the limit; there the return is spread out and the rate is cut.
    retry_success: f64,
    /// Suspicion that its endpoints are out of connections, in failed connects.
    pub connection_shortage: Suspicion,
}

/// What the wait of a rejection comes to.
pub struct ExpectedWait {
    /// The wait in seconds, or the usual one where none was told.
    pub seconds: f64,
    /// Whether it is far from the usual one: then it is not the limit's.
    pub is_unusual: bool,
}

impl DestinationKindStats {
    /// A kind of which nothing is known.
    pub fn new() -> Self {
        DestinationKindStats {
            usual_wait: to_secs(MIN_BACKOFF),
            retry_success: 0.5,
            ..DestinationKindStats::default()
        }
    }

    /// Learns whether the first call after a rejection was accepted.
    pub fn record_retry(&mut self, accepted: bool) {
        let value = f64::from(u8::from(accepted));
        self.retry_success += KIND_GAIN * (value - self.retry_success);
    }

    /// Learns from the wait that a rejection told (0: none).
    pub fn record_wait(&mut self, retry_after: Nanos) -> ExpectedWait {
        if retry_after == 0 {
            return ExpectedWait {
                seconds: self.usual_wait,
                is_unusual: false,
            };
        }
        let seconds = to_secs(retry_after);
        let is_unusual = (seconds - self.usual_wait).abs() > UNUSUAL_WAIT * self.usual_wait;
        self.usual_wait += KIND_GAIN * (seconds - self.usual_wait);
        ExpectedWait {
            seconds,
            is_unusual,
        }
    }

    /// How many calls are rejected after a rejection for each that is accepted.
    pub fn rejections_per_success(&self) -> f64 {
        (1.0 - self.retry_success) / self.retry_success.max(MIN_RETRY_SUCCESS)
    }
}
