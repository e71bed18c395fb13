//! One sender's quota of the calls that an endpoint in slow start takes, so that the sum over all
//! senders keeps the bound.
//!
//! An endpoint that is back from an outage may get `N` calls in a window, and falls over at more
//! than [`max_calls_per_window`] of `N`, whoever sends them. No sender sees what the others send,
//! so each keeps to a [`SlowStartQuota`] of its own: a rate, and how much unused rate it may save.
//!
//! Decides: that quota. Inputs: `N`, its growth, the window and the number of senders. Callers: the
//! dispatcher's choice of an endpoint, and the leader's recovery ramps of zones. No I/O, no clock,
//! no randomness; the caller brings the time that has passed.

/// Calls of a window from which on an excess by chance is granted less. Under it `N + 3 root N + 3`
/// calls are taken, from it on `N + 2 root N + 2`.
const MANY_CALLS: f64 = 30.0;
/// The sum of many senders may exceed the bound in one of a thousand windows at the worst: the
/// negative natural logarithm of that chance...
const RARE_EXCESS_LOG: f64 = 6.908;
/// ...and the deviations of a normal distribution that are exceeded as seldom.
const RARE_EXCESS_DEVIATIONS: f64 = 3.09;
/// Part of a sender's rate over a window that it saves at most, where all senders together may.
const MAX_SAVED_FRACTION: f64 = 0.5;
/// Least `N`, in calls: an endpoint that takes nothing by the settings is still tried.
const MIN_CALLS: f64 = 0.1;

/// Most calls that an endpoint with `calls` granted takes in a window. It never falls while `calls`
/// grows: the endpoint's own count may be higher than the sender's.
pub fn max_calls_per_window(calls: f64) -> f64 {
    let with_roots = |calls: f64, roots: f64| calls + roots * calls.sqrt() + roots;
    if calls < MANY_CALLS {
        with_roots(calls, 3.0).min(with_roots(MANY_CALLS, 2.0))
    } else {
        with_roots(calls, 2.0)
    }
}

/// The fraction of its calls that an endpoint takes after the part `warmed` of its warm-up, if it
/// takes the fraction `initial` at first.
pub fn warmup_fraction(initial: f64, warmed: f64) -> f64 {
    (initial + (1.0 - initial) * warmed).min(1.0)
}

/// What one sender may send to an endpoint in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartQuota {
    /// Calls a second.
    pub rate: f64,
    /// Calls that may be saved up at most.
    max_saved: f64,
    /// Whether the sum over all senders keeps the bound by chance only.
    by_chance: bool,
}

impl SlowStartQuota {
    /// One sender's quota of `calls` in a window of so many seconds, for all `senders` together,
    /// where `calls` has grown by `growth` in the last window.
    ///
    /// Each sender takes an even part of the rate. In any window it makes what falls due in it, and
    /// what it had saved before:
    ///
    /// - Few senders may save the difference of `calls` and [`max_calls_per_window`] between them,
    ///   if that is a call or more for each. Then no window exceeds the bound, whatever is asked
    ///   for.
    /// - More senders save one call each, the least that lets one go at all. Where messages wait, a
    ///   call that falls due is made at once. If the turns are drawn evenly, the calls of a window
    ///   are then a sum of independent numbers that are each one of two neighbours, and its mean,
    ///   `calls` in the middle of the window, is held under [`max_mean`]. What senders without a
    ///   message have saved comes on top as their messages come; the tests measure that with whole
    ///   dispatchers.
    pub fn for_sender(calls: f64, growth: f64, window_seconds: f64, senders: u32) -> Self {
        let calls = calls.max(MIN_CALLS);
        let senders = f64::from(senders.max(1));
        let even_rate = calls / window_seconds / senders;
        let spare = (max_calls_per_window(calls) - calls) / senders;
        if spare >= 1.0 {
            return SlowStartQuota {
                rate: even_rate,
                max_saved: (MAX_SAVED_FRACTION * calls / senders).clamp(1.0, spare),
                by_chance: false,
            };
        }
        let falls_due = (calls - growth / 2.0).max(MIN_CALLS);
        let reduction = (max_mean(max_calls_per_window(calls), senders) / falls_due).min(1.0);
        SlowStartQuota {
            rate: even_rate * reduction,
            max_saved: 1.0,
            by_chance: true,
        }
    }

    /// The calls that are due after so many seconds more.
    pub fn accrue(&self, due: f64, seconds: f64) -> f64 {
        (due + self.rate * seconds).min(self.max_saved)
    }

    /// Whether the turns of all senders have to be drawn evenly: there are too many for each to
    /// save a call.
    pub fn needs_random_turns(&self) -> bool {
        self.by_chance
    }
}

/// The highest mean of a sum of independent calls of so many senders that exceeds `bound` in one of
/// a thousand windows at the most: the higher of two that each suffice.
///
/// - By Hoeffding, a sum of numbers that each have a span of one exceeds its mean by `t` with a
///   chance of `exp(-2 t^2 / senders)`.
/// - Where each makes one call or none, the upper tail is under that of a Poisson variable
///   (Anderson and Samuels), whose mean for a given tail is a quantile of the gamma distribution
///   (Wilson and Hilferty).
fn max_mean(bound: f64, senders: f64) -> f64 {
    // The first number of calls that is too high.
    let excess = bound.floor() + 1.0;
    let by_senders = excess - (senders * RARE_EXCESS_LOG / 2.0).sqrt();
    let deviations = RARE_EXCESS_DEVIATIONS / (3.0 * excess.sqrt());
    let by_calls = excess * (1.0 - 1.0 / (9.0 * excess) - deviations).powi(3);
    if by_calls <= senders {
        by_senders.max(by_calls)
    } else {
        by_senders
    }
}
