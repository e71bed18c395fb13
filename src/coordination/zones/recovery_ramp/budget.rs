//! Permitted rate of calls to a destination of a returning zone.

use crate::coordination::zones::ZoneRules;
use crate::dispatch::slow_start::{self, SlowStartQuota};

/// Returns the calls per second that a zone may get for a destination from all senders together,
/// after a warm-up of `warmed_ms`. `listed_per_second` is 0 if no rate is listed.
pub(super) fn calls_per_second(rules: &ZoneRules, listed_per_second: f64, warmed_ms: f64) -> f64 {
    let listed = if listed_per_second > 0.0 {
        listed_per_second
    } else {
        rules.unlisted_rate_per_second
    };
    let capacity = listed * capacity_share(rules, warmed_ms);
    if rules.overload_window_ms == 0 {
        return capacity;
    }
    let window_ms = f64::from(rules.overload_window_ms);
    let spread_ms = f64::from(2 * rules.slice_ms + rules.grant_validity_ms + rules.max_transit_ms);
    let calls_in_window = rules.overload_factor * capacity * window_ms / 1e3;
    let ramp = SlowStartQuota::for_sender(calls_in_window, 0.0, (window_ms + spread_ms) / 1e3, 1);
    capacity.min(ramp.rate)
}

/// Returns the share of its listed rate that an endpoint takes after a warm-up of `warmed_ms`.
pub(super) fn capacity_share(rules: &ZoneRules, warmed_ms: f64) -> f64 {
    let warmed_fraction = if rules.warmup_ms == 0 {
        1.0
    } else {
        warmed_ms / f64::from(rules.warmup_ms)
    };
    slow_start::warmup_fraction(rules.initial_capacity_share, warmed_fraction)
}
