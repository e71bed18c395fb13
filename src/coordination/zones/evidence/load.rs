//! Load of one zone and destination: calls accepted over [`ZoneRules::load_window_ms`].
//!
//! [`ZoneRules::load_window_ms`]: crate::coordination::zones::ZoneRules::load_window_ms

use crate::coordination::zones::ms;
use crate::Nanos;

/// Number of intervals of the load window. With ten, load that has ended leaves the average in
/// steps of a tenth.
const INTERVALS: usize = 10;

/// Accepted calls in each interval of a load window.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadHistory {
    /// Ring buffer: the position of an interval is its number modulo [`INTERVALS`].
    accepted: [f32; INTERVALS],
    /// Number of the newest interval, as returned by [`LoadHistory::interval_at`].
    newest: u64,
}

impl LoadHistory {
    /// Returns the number of the interval that contains `now`.
    pub(super) fn interval_at(now: Nanos, load_window_ms: u32) -> u64 {
        now / (ms(load_window_ms) / INTERVALS as u64).max(1)
    }

    /// Clears the positions of the intervals from the newest one up to `interval`.
    pub(super) fn advance_to(&mut self, interval: u64) {
        let last_cleared = interval.min(self.newest + INTERVALS as u64);
        for cleared in self.newest + 1..=last_cleared {
            self.accepted[cleared as usize % INTERVALS] = 0.0;
        }
        self.newest = self.newest.max(interval);
    }

    /// Adds the calls that were accepted in an interval.
    pub(super) fn add(&mut self, interval: u64, accepted: f32) {
        self.advance_to(interval);
        self.accepted[interval as usize % INTERVALS] += accepted;
    }

    /// Returns the calls per second, averaged over the load window.
    pub(super) fn per_second(&self, load_window_ms: u32) -> f64 {
        f64::from(self.accepted.iter().sum::<f32>()) * 1e3 / f64::from(load_window_ms)
    }

    /// Whether no call was accepted in the whole window.
    pub(super) fn is_empty(&self) -> bool {
        !self.accepted.iter().any(|calls| *calls > 0.0)
    }
}
