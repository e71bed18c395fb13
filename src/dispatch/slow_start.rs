//! One sender's quota of the calls that an endpoint in slow start accepts, so that the sum over all
//! senders stays within the limit.
//!
//! An endpoint that recovers from an outage may receive `N` calls in a window, and fails again at
//! more than [`max_calls_per_window`] of `N`, whichever senders send them. No sender sees the calls
//! of the others, so each keeps to its own [`SlowStartQuota`]: a rate, and a limit on how much
//! unused rate it may save.
//!
//! Decides: that quota. Inputs: `N`, its growth, the window and the number of senders. Callers: the
//! dispatcher's choice of an endpoint, and the leader's recovery ramps of zones. No I/O, no clock
//! and no randomness; the caller passes the elapsed time.

/// Calls per window from which on a smaller random excess is allowed. Below it `N + 3 sqrt(N) + 3`
/// calls are accepted, from it on `N + 2 sqrt(N) + 2`.
const MANY_CALLS_PER_WINDOW: f64 = 30.0;
/// Probability with which the calls of many senders may exceed the limit in a window, one in a
/// thousand at most: its negative natural logarithm...
const RARE_EXCESS_LOG: f64 = 6.908;
/// ...and the number of standard deviations that a normal distribution exceeds with it.
const RARE_EXCESS_DEVIATIONS: f64 = 3.09;
/// Largest part of a sender's calls per window that it may save, where the limit leaves room for
/// all senders to do so.
const MAX_SAVED_FRACTION: f64 = 0.5;
/// Lower bound of `N`, in calls: an endpoint that accepts nothing by the settings is still tried.
const MIN_CALLS_PER_WINDOW: f64 = 0.1;

/// Returns the largest number of calls that an endpoint with `calls` granted accepts in a window.
/// The result never decreases as `calls` grows: the endpoint's own count may be higher than the
/// sender's.
pub fn max_calls_per_window(calls: f64) -> f64 {
    let with_deviations = |calls: f64, roots: f64| calls + roots * calls.sqrt() + roots;
    if calls < MANY_CALLS_PER_WINDOW {
        with_deviations(calls, 3.0).min(with_deviations(MANY_CALLS_PER_WINDOW, 2.0))
    } else {
        with_deviations(calls, 2.0)
    }
}

/// Returns the fraction of its full rate that an endpoint accepts after the part `warmed` of its
/// warm-up, if it accepts the fraction `initial` at first.
pub fn warmup_fraction(initial: f64, warmed: f64) -> f64 {
    (initial + (1.0 - initial) * warmed).min(1.0)
}

/// Quota of one sender for an endpoint in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartQuota {
    /// Calls per second.
    pub rate: f64,
    /// Largest number of unused calls that may be saved.
    max_saved: f64,
    /// Whether the sum over all senders stays within the limit only with high probability.
    by_chance: bool,
}

impl SlowStartQuota {
    /// Returns one sender's quota of `calls` in a window of `window_seconds`, for all `senders`
    /// together, where `calls` has grown by `growth` in the last window.
    ///
    /// Each sender takes an equal part of the rate. In any window it makes the calls that fall due
    /// in it, and those that it had saved before:
    ///
    /// - Few senders may save the difference of `calls` and [`max_calls_per_window`] between them,
    ///   if that is a call or more for each. Then no window exceeds the limit, whatever the demand.
    /// - More senders save one call each, the smallest amount with which a call can be made. Where
    ///   messages wait, a call is made as soon as it falls due. If the senders' turns are drawn
    ///   uniformly, the calls of a window are a sum of independent numbers, each one of two
    ///   adjacent integers. Its mean, `calls` in the middle of the window, is kept below
    ///   [`max_mean`]. Calls that idle senders have saved are added when their messages arrive; the
    ///   tests measure that with whole dispatchers.
    pub fn for_sender(calls: f64, growth: f64, window_seconds: f64, senders: u32) -> Self {
        let calls = calls.max(MIN_CALLS_PER_WINDOW);
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
        let falls_due = (calls - growth / 2.0).max(MIN_CALLS_PER_WINDOW);
        let reduction = (max_mean(max_calls_per_window(calls), senders) / falls_due).min(1.0);
        SlowStartQuota {
            rate: even_rate * reduction,
            max_saved: 1.0,
            by_chance: true,
        }
    }

    /// Returns the calls that are due `seconds` later, if `due` are due now.
    pub fn accrue(&self, due: f64, seconds: f64) -> f64 {
        (due + self.rate * seconds).min(self.max_saved)
    }

    /// Whether the turns of all senders have to be drawn uniformly: there are too many senders for
    /// each to save a call without exceeding the limit.
    pub fn needs_random_turns(&self) -> bool {
        self.by_chance
    }
}

/// Returns the highest mean of a sum of independent calls of `senders` that exceeds `bound` in at
/// most one of a thousand windows: the higher of two estimates, each of which suffices.
///
/// - By Hoeffding's inequality, a sum of numbers with a span of one each exceeds its mean by `t`
///   with a probability of at most `exp(-2 t^2 / senders)`.
/// - Where each sender makes one call or none, the upper tail is below that of a Poisson variable
///   (Anderson and Samuels), whose mean for a given tail is a quantile of the gamma distribution
///   (Wilson and Hilferty).
fn max_mean(bound: f64, senders: f64) -> f64 {
    // The lowest number of calls that exceeds the bound.
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
