//! One sender's part of the calls that an endpoint in slow start bears, so that the sum over all
//! senders keeps the bound.
//!
//! An endpoint that is back from an outage may get `N` calls in a window, and falls over at more
//! than [`max_calls_per_window`] of `N`, whoever sends them. No sender sees what the others send,
//! so each keeps to a [`SlowStartQuota`] of its own: a rate, and how much unused rate it may save.
//! No I/O, no clock, no randomness; the caller brings the time that has passed.

/// Calls of a window from which on chance is granted less. Under it `N + 3 root N + 3` calls are
/// borne, from it on `N + 2 root N + 2`.
const MANY_CALLS: f64 = 30.0;
/// Logarithm of the part of all windows, one in a thousand, in which the sum of many senders may
/// exceed the bound at the worst, and the deviation of a normal distribution that is exceeded as
/// seldom.
const SELDOM: (f64, f64) = (6.908, 3.09);
/// Part of a sender's rate over a window that it saves at most, where all senders together bear
/// that.
const SAVED: f64 = 0.5;
/// Least `N`: an endpoint that bears nothing by the settings is still asked whether it is back.
const LEAST: f64 = 0.1;

/// Most calls that an endpoint with budget `n` bears in a window. It never falls while `n` grows:
/// the endpoint's own count may be higher than the sender's.
pub fn max_calls_per_window(n: f64) -> f64 {
    let of = |n: f64, roots: f64| n + roots * n.sqrt() + roots;
    if n < MANY_CALLS {
        of(n, 3.0).min(of(MANY_CALLS, 2.0))
    } else {
        of(n, 2.0)
    }
}

/// The part of its calls that an endpoint bears after `warmed` of its warm-up, if it bears the part
/// `cold` at first.
pub fn warmup_fraction(cold: f64, warmed: f64) -> f64 {
    (cold + (1.0 - cold) * warmed).min(1.0)
}

/// What one sender may send to an endpoint in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartQuota {
    /// Calls a second.
    pub rate: f64,
    /// Calls that may be due at most.
    saved: f64,
    /// Whether the sum keeps the bound by chance.
    by_chance: bool,
}

impl SlowStartQuota {
    /// One sender's part of `n` calls in a window of so many seconds, for all `senders` together,
    /// where `n` has grown by `growth` in the last window.
    ///
    /// Each sender takes an even part of the rate. In any window it makes what falls due in it, and
    /// what it had saved before:
    ///
    /// - Few senders may save the difference of `n` and [`max_calls_per_window`] between them, if
    ///   that is a call or more for each. Then no window exceeds the bound, whatever is asked for.
    /// - More senders save one call each, the least that lets one go at all. Where messages wait, a
    ///   call that falls due is made at once. If the turns are drawn evenly, the calls of a window
    ///   are then a sum of independent numbers that are each one of two neighbours, and its mean,
    ///   `n` in the middle of the window, is held under [`mean`]. What senders without a message
    ///   have saved comes on top as their messages come; the tests measure that with whole relays.
    pub fn of(n: f64, growth: f64, window: f64, senders: u32) -> SlowStartQuota {
        let (n, each) = (n.max(LEAST), f64::from(senders.max(1)));
        let (even, spare) = (n / window / each, (max_calls_per_window(n) - n) / each);
        if spare >= 1.0 {
            let saved = (SAVED * n / each).clamp(1.0, spare);
            return SlowStartQuota {
                rate: even,
                saved,
                by_chance: false,
            };
        }
        let falls_due = (n - growth / 2.0).max(LEAST);
        let rate = even * (mean(max_calls_per_window(n), each) / falls_due).min(1.0);
        SlowStartQuota {
            rate,
            saved: 1.0,
            by_chance: true,
        }
    }

    /// What is due after so many seconds more, in calls.
    pub fn due(&self, before: f64, seconds: f64) -> f64 {
        (before + self.rate * seconds).min(self.saved)
    }

    /// Whether the turns of all senders have to be drawn evenly: there are too many for each to
    /// save a call.
    pub fn needs_lot(&self) -> bool {
        self.by_chance
    }
}

/// The highest mean of a sum of independent calls of so many senders that exceeds
/// `max_calls_per_window` in one of a thousand windows at the most: the higher of two that each suffice.
///
/// - By Hoeffding, a sum of numbers that each have a span of one exceeds its mean by `t` with a
///   chance of `exp(-2 t^2 / senders)`.
/// - Where each makes one call or none, the upper tail is under that of a Poisson variable
///   (Anderson and Samuels), whose mean for a given tail is a quantile of the gamma distribution
///   (Wilson and Hilferty).
fn mean(max_calls_per_window: f64, senders: f64) -> f64 {
    // The first number of calls that is too high.
    let over = max_calls_per_window.floor() + 1.0;
    let by_senders = over - (senders * SELDOM.0 / 2.0).sqrt();
    let by_calls = over * (1.0 - 1.0 / (9.0 * over) - SELDOM.1 / (3.0 * over.sqrt())).powi(3);
    if by_calls <= senders {
        by_senders.max(by_calls)
    } else {
        by_senders
    }
}
