//! One sender's quota of a listed rate, and its share of the fleet's traffic.
//!
//! A sender that makes few of a route's calls cannot learn the other senders' rate from its own
//! calls: each makes a call now and then, and all together exceed a limit before one of them has
//! seen two rejections. It therefore keeps to its quota of the listed rate from the first call on,
//! and chooses among siblings by weighted random choice, so that not all senders choose the same
//! one.
//!
//! Decides: the quota, its changes with accepted and rejected calls, and its multiplier. Inputs:
//! listed rates, the number of senders, messages that arrive. Callers: the rate controller and the
//! dispatcher's choice of an endpoint. No I/O and no clock; the caller passes the time and random
//! numbers.

#[cfg(test)]
mod tests;

use crate::dispatch::statistics::{from_secs, to_secs, Meter, RateMemory};
use crate::{Nanos, LEASED_RATE};

/// Number of senders from which on one sees too little of a route: its own calls are a tenth or
/// less of all calls to the route.
pub(crate) const MANY_SENDERS: u32 = 10;
/// Smallest quota, in calls per second: if the configured fleet size is far too high, the sender is
/// slowed but never stopped.
const MIN_QUOTA_PER_SECOND: f64 = 1.0 / 60.0;
/// Part of the quota that is restored each second after rejections reduced the rate. A call is made
/// every few seconds: with much more restored in between, rejections would no longer keep a rate
/// down.
const RECOVERY_PER_SECOND: f64 = 0.02;
/// Factor on the rate for an accepted call. One rejection in 24 calls keeps a rate constant.
const ACCEPT_FACTOR: f64 = 1.03;
/// Factor on the rate for a rejected call.
const REJECT_FACTOR: f64 = 0.5;
/// Largest rate as a multiple of the quota. An approximate rate may be half too high or too low: a
/// limit is at most twice the listed rate.
const MAX_RATE_FACTOR: f64 = 2.0;
/// Smallest rate as a part of the quota; with a lower one a sender would not notice a recovery.
const MIN_RATE_FACTOR: f64 = 0.05;
/// Calls by which a sender may exceed its rate, for one message that arrives before its turn. With
/// two, a fleet that already exceeds the limit would have twice as many calls rejected before all
/// senders know.
const BURST_CALLS: f64 = 1.0;

/// Returns the estimated time, in seconds, since the recovery of an endpoint that failed a call
/// `seconds_since_failure` ago.
///
/// One of many senders has not called the endpoint since: on average it recovered halfway through
/// that time. One of few senders would have called it by then: 0.
pub fn unobserved_recovery(seconds_since_failure: f64, senders: u32) -> f64 {
    if senders < MANY_SENDERS {
        0.0
    } else {
        seconds_since_failure / 2.0
    }
}

/// One sender's equal part of the rate that a route, or a destination whose endpoints share a
/// limit, accepts from all senders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateQuota {
    /// Calls per second.
    rate: f64,
    /// Whether calls there are leased, by number and for a limited time.
    leased: bool,
    /// Whether the interval between a sender's turns is longer than its messages can wait.
    infrequent: bool,
}

impl RateQuota {
    /// Returns the equal part of a listed rate, in calls per second. None where there are few
    /// senders, which learn the limit by their own calls, or where no usable rate is listed.
    /// `longest_wait` is the longest time that a message has.
    pub fn for_sender(listed_rate: f64, senders: u32, longest_wait: Nanos) -> Option<Self> {
        let useful = senders >= MANY_SENDERS && listed_rate > 0.0 && listed_rate.is_finite();
        let rate = (listed_rate / f64::from(senders)).max(MIN_QUOTA_PER_SECOND);
        useful.then_some(RateQuota {
            rate,
            leased: listed_rate >= f64::from(LEASED_RATE),
            infrequent: rate * to_secs(longest_wait) < 1.0,
        })
    }

    /// Returns the calls by which a sender that has been idle may exceed its rate.
    ///
    /// Where the sender's next turn comes within the time of a message, it waits for that turn, and
    /// its messages do not expire. Where it does not, two messages that happen to arrive close
    /// together exceed the quota, and the second would expire beside an idle route. In that case N
    /// senders that may each be a call ahead, each when a message arrives, make no burst: the sum
    /// of their calls follows the traffic, and chance adds 3 standard deviations (square roots) of
    /// the calls expected in a window.
    pub fn burst_allowance(self) -> f64 {
        if self.infrequent {
            BURST_CALLS
        } else {
            0.0
        }
    }

    /// Returns the time for which a sender may not exceed its rate after a rejection, or after a
    /// start with pending messages: other senders may have been rejected or started at the same
    /// moment, and first calls of all senders that are spread over this time arrive at the listed
    /// rate.
    pub fn turn_interval(self) -> Nanos {
        from_secs(1.0 / self.rate)
    }

    /// Returns the part of a call that is saved at the start: the random `draw`, as all senders
    /// start at the same moment, but a whole call where that was taken into account when calls were
    /// leased.
    pub fn initial_tokens(self, draw: f64) -> f64 {
        if self.leased {
            1.0
        } else {
            draw
        }
    }

    /// Returns the initial rate, in calls per second.
    pub fn initial_rate(self) -> f64 {
        self.rate
    }

    /// Returns the rate after `seconds` without a call: reductions by rejections are restored.
    pub fn after_rest(self, rate: f64, seconds: f64) -> f64 {
        if rate < self.rate {
            (rate + RECOVERY_PER_SECOND * self.rate * seconds).min(self.rate)
        } else {
            rate
        }
    }

    /// Returns the rate after a call that was accepted.
    pub fn after_accept(self, rate: f64) -> f64 {
        (rate * ACCEPT_FACTOR).min(MAX_RATE_FACTOR * self.rate)
    }

    /// Returns the rate after a call that was rejected.
    pub fn after_rejection(self, rate: f64) -> f64 {
        (rate * REJECT_FACTOR).max(MIN_RATE_FACTOR * self.rate)
    }
}

/// Decay of the arrival rate of messages: a fleet's traffic changes slowly.
const TRAFFIC_MEMORY: RateMemory = RateMemory {
    fade_seconds: 8.0,
    least_kept: 0.9,
};
/// Time without messages that is assumed before the first one, in seconds.
const EMPTY_HISTORY_SECONDS: f64 = 2.0;
/// Part of its class's deadline that a message has left at least when it is handed in for the first
/// time; some of the time is spent in transit.
const FIRST_ARRIVAL_FRACTION: f64 = 0.95;
/// Factor by which a sender's arrivals may exceed the equal part without an effect: random
/// variation over about fifty messages, and traffic above the listed rates at all senders, for
/// which the routes accept no more.
const CHANCE_FACTOR: f64 = 1.25;
/// Largest number of equal parts that one sender may use.
const MAX_QUOTA_MULTIPLIER: f64 = 8.0;

/// Share of the fleet's traffic that arrives at this sender.
///
/// Load balancers distribute connections, not messages: some senders receive several times the
/// mean, and with the equal part of each route they would hold messages while other senders leave
/// their parts unused.
#[derive(Clone, Debug, Default)]
pub struct TrafficShare {
    /// Messages handed in for the first time; repeated ones show how many are rejected, not the
    /// demand.
    first_arrivals: Meter,
    /// Calls per second that all routes together accept, as listed.
    listed_rate: f64,
}

impl TrafficShare {
    /// Creates a share without messages or listed rates.
    pub fn new(now: Nanos) -> Self {
        TrafficShare {
            first_arrivals: Meter::new(now, EMPTY_HISTORY_SECONDS),
            listed_rate: 0.0,
        }
    }

    /// Sets the rates of the listed routes, in calls per second.
    pub fn set_listed_rates(&mut self, rates: impl Iterator<Item = f64>) {
        self.listed_rate = rates.filter(|rate| *rate < f64::from(LEASED_RATE)).sum();
    }

    /// Counts a message that may be delivered for `time_left`, in a class with a deadline of
    /// `class_time`.
    pub fn record_arrival(&mut self, now: Nanos, time_left: Nanos, class_time: Nanos) {
        if time_left as f64 >= FIRST_ARRIVAL_FRACTION * class_time as f64 {
            self.first_arrivals.record(now, TRAFFIC_MEMORY);
        }
    }

    /// Returns the number of equal parts of each route that this sender may use: its share of the
    /// traffic that the routes accept, in equal parts, one at least. What it uses over one part
    /// others leave unused, as far as the sum of the listed rates is right.
    pub fn quota_multiplier(&self, now: Nanos, senders: u32) -> f64 {
        if senders < MANY_SENDERS || self.listed_rate <= 0.0 {
            return 1.0;
        }
        let arrivals = self.first_arrivals.rate(now) * f64::from(senders);
        (arrivals / (CHANCE_FACTOR * self.listed_rate)).clamp(1.0, MAX_QUOTA_MULTIPLIER)
    }
}

/// Returns the sort key of a route in a weighted random choice: the smallest key wins, and each
/// route wins with a probability proportional to its weight. `draw` is uniform from 0 to 1; a route
/// with a weight of 0 or less comes last.
pub fn weighted_random_key(weight: f64, draw: f64) -> f64 {
    -(1.0 - draw).max(f64::MIN_POSITIVE).ln() / weight.max(f64::MIN_POSITIVE)
}
