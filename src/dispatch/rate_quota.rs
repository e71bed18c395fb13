//! One sender's quota of a listed rate, and its share of the fleet's traffic.
//!
//! A sender that makes few of the calls that a route gets can't learn from its own calls what the
//! others do: each sees a call now and then, and all of them together are over a limit before one
//! has seen two rejections. So it keeps to its quota of the listed rate from the first call on, and
//! picks among siblings by weighted random choice rather than all senders the same one.
//!
//! Decides: the quota, how it moves with accepted and rejected calls, and its multiplier. Inputs:
//! listed rates, the number of senders, messages that arrive. Callers: the rate controller and the
//! dispatcher's choice of an endpoint. No I/O, no clock; the caller brings time and randomness.

#[cfg(test)]
mod tests;

use crate::dispatch::statistics::{from_secs, to_secs, Meter, RateMemory};
use crate::{Nanos, LEASED_RATE};

/// Senders from which on one sees too little of a route: its own calls are a tenth or less of those
/// that the route gets.
pub(crate) const MANY_SENDERS: u32 = 10;
/// Least quota, in calls a second: a fleet that is said to be far larger than it is slows a sender
/// and never stops it.
const MIN_QUOTA: f64 = 1.0 / 60.0;
/// Part of the quota that comes back each second after rejections took it. A call comes every few
/// seconds: with much more in between, rejections would no longer hold a rate down.
const RECOVERY_PER_SECOND: f64 = 0.02;
/// Factor on the rate for an accepted call. One rejection in 24 calls holds a rate where it is.
const ACCEPT_FACTOR: f64 = 1.03;
/// Factor on the rate for a rejected call.
const REJECT_FACTOR: f64 = 0.5;
/// Most of its quota that a rate grows to. An approximate rate may be half too high or too low: a
/// limit is at most twice what is listed.
const MAX_RATE_FACTOR: f64 = 2.0;
/// Least of its quota that a rate falls to, or a sender would learn of no recovery.
const MIN_RATE_FACTOR: f64 = 0.05;
/// Calls that a sender may be ahead of its rate, for one message that comes before its turn. With
/// two, a fleet that is over the limit already would have twice as many rejected before all of them
/// know.
const BURST_CALLS: f64 = 1.0;

/// Seconds for which an endpoint that failed a call so many seconds ago has probably been back.
///
/// One of many senders has not called it since: it may have come back at any moment between. One of
/// few would have tried it by then: 0.
pub fn unobserved_recovery(seconds_since_failure: f64, senders: u32) -> f64 {
    if senders < MANY_SENDERS {
        0.0
    } else {
        seconds_since_failure / 2.0
    }
}

/// One sender's even part of what a route, or a destination whose endpoints share a limit, takes
/// from all senders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateQuota {
    /// Calls a second.
    rate: f64,
    /// Calls are leased there, by count and for a time.
    leased: bool,
    /// A sender's turn comes more seldom than its messages can wait.
    infrequent: bool,
}

impl RateQuota {
    /// The even part of a listed rate, in calls a second. None where there are few senders, who
    /// learn by themselves, or where nothing useful is listed. `longest_wait` is the longest time
    /// that a message has.
    pub fn for_sender(listed_rate: f64, senders: u32, longest_wait: Nanos) -> Option<Self> {
        let useful = senders >= MANY_SENDERS && listed_rate > 0.0 && listed_rate.is_finite();
        let rate = (listed_rate / f64::from(senders)).max(MIN_QUOTA);
        useful.then_some(RateQuota {
            rate,
            leased: listed_rate >= f64::from(LEASED_RATE),
            infrequent: rate * to_secs(longest_wait) < 1.0,
        })
    }

    /// Calls by which a sender at rest may be ahead of its rate.
    ///
    /// Where its turn comes again within the time of a message, it waits for its turn: its messages
    /// live. Where it does not, two messages by chance are one too many for the quota, and the
    /// second dies beside an idle route. There N senders that may each be a call ahead, each when a
    /// message comes, are no burst: their sum is as the traffic, and chance adds 3 roots of what a
    /// window expects.
    pub fn burst_allowance(self) -> f64 {
        if self.infrequent {
            BURST_CALLS
        } else {
            0.0
        }
    }

    /// How long a sender that was rejected, or that starts with messages held, may not be a call
    /// ahead: others may have been in the same moment, and first calls of all that are spread over
    /// a turn come at the listed rate.
    pub fn turn_interval(self) -> Nanos {
        from_secs(1.0 / self.rate)
    }

    /// What part of a call is saved up at the beginning: as drawn, since all senders begin at the
    /// same moment, but a whole one where that was taken into account when calls were leased.
    pub fn initial_tokens(self, draw: f64) -> f64 {
        if self.leased {
            1.0
        } else {
            draw
        }
    }

    /// The rate to begin with, in calls a second.
    pub fn initial_rate(self) -> f64 {
        self.rate
    }

    /// The rate after so many seconds without a call: what rejections took comes back.
    pub fn after_rest(self, rate: f64, seconds: f64) -> f64 {
        if rate < self.rate {
            (rate + RECOVERY_PER_SECOND * self.rate * seconds).min(self.rate)
        } else {
            rate
        }
    }

    /// The rate after a call that was accepted.
    pub fn after_accept(self, rate: f64) -> f64 {
        (rate * ACCEPT_FACTOR).min(MAX_RATE_FACTOR * self.rate)
    }

    /// The rate after a call that was rejected.
    pub fn after_rejection(self, rate: f64) -> f64 {
        (rate * REJECT_FACTOR).max(MIN_RATE_FACTOR * self.rate)
    }
}

/// Memory of the messages that a sender is handed: a fleet's traffic moves slowly.
const TRAFFIC_MEMORY: RateMemory = RateMemory {
    fade_seconds: 8.0,
    least_kept: 0.9,
};
/// Seconds without any message that are counted as seen before the first one.
const EMPTY_HISTORY_SECONDS: f64 = 2.0;
/// Part of its class's time that a message has left when it is handed in for the first time, some
/// of it spent on the way.
const FIRST_ARRIVAL_FRACTION: f64 = 0.95;
/// How far a sender's count may lie over the even part and still show nothing: chance in some fifty
/// messages, and what comes to all senders more than usually, for which the routes take no more.
const CHANCE_FACTOR: f64 = 1.25;
/// Most even parts that one sender may take.
const MAX_QUOTA_MULTIPLIER: f64 = 8.0;

/// How much of the fleet's traffic comes by this sender.
///
/// Load balancers deal out connections, not messages: some senders see several times the mean, and
/// with the even part of each route they would hold messages beside idle parts of their siblings.
#[derive(Clone, Debug, Default)]
pub struct TrafficShare {
    /// Messages handed in for the first time; those that come again say how much is rejected, not
    /// how much is asked for.
    first_arrivals: Meter,
    /// Calls a second that all routes together take, as listed.
    listed_rate: f64,
}

impl TrafficShare {
    /// Nothing seen and nothing listed yet.
    pub fn new(now: Nanos) -> Self {
        TrafficShare {
            first_arrivals: Meter::new(now, EMPTY_HISTORY_SECONDS),
            listed_rate: 0.0,
        }
    }

    /// Takes the rates of the listed routes, in calls a second.
    pub fn set_listed_rates(&mut self, rates: impl Iterator<Item = f64>) {
        self.listed_rate = rates.filter(|rate| *rate < f64::from(LEASED_RATE)).sum();
    }

    /// Counts a message that may be delivered for `time_left`, in a class that gives it
    /// `class_time`.
    pub fn record_arrival(&mut self, now: Nanos, time_left: Nanos, class_time: Nanos) {
        if time_left as f64 >= FIRST_ARRIVAL_FRACTION * class_time as f64 {
            self.first_arrivals.record(now, TRAFFIC_MEMORY);
        }
    }

    /// Even parts that this sender may take of each route: as many as it is handed of what the
    /// routes take, one at least. What one takes over one part others leave, as far as the list is
    /// right about all routes together.
    pub fn quota_multiplier(&self, now: Nanos, senders: u32) -> f64 {
        if senders < MANY_SENDERS || self.listed_rate <= 0.0 {
            return 1.0;
        }
        let arrivals = self.first_arrivals.rate(now) * f64::from(senders);
        (arrivals / (CHANCE_FACTOR * self.listed_rate)).clamp(1.0, MAX_QUOTA_MULTIPLIER)
    }
}

/// The sort key of a route in a weighted random choice: the smallest wins, each as often as its
/// weight is part of all weights. `draw` is evenly from 0 to 1, a weight of 0 or less comes last.
pub fn weighted_random_key(weight: f64, draw: f64) -> f64 {
    -(1.0 - draw).max(f64::MIN_POSITIVE).ln() / weight.max(f64::MIN_POSITIVE)
}
