//! The load of one zone and destination: calls accepted over [`ZoneRules::load_window_ms`].
//!
//! [`ZoneRules::load_window_ms`]: crate::coordination::zones::ZoneRules::load_window_ms

use crate::coordination::zones::ms;
use crate::Nanos;

/// Intervals that the load window consists of. Ten: load that is over leaves the mean in steps of
/// a tenth.
const INTERVALS: usize = 10;

/// Accepted calls by interval, for as many intervals as a load window has.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadHistory {
    /// A ring: an interval's place is its number modulo [`INTERVALS`].
    accepted: [f32; INTERVALS],
    /// The newest interval, as [`LoadHistory::interval_at`] numbers them.
    newest: u64,
}

impl LoadHistory {
    /// The number of the interval that a moment is in.
    pub(super) fn interval_at(now: Nanos, load_window_ms: u32) -> u64 {
        now / (ms(load_window_ms) / INTERVALS as u64).max(1)
    }

    /// Clears the intervals that a later one takes the place of.
    pub(super) fn advance_to(&mut self, interval: u64) {
        let last_cleared = interval.min(self.newest + INTERVALS as u64);
        for cleared in self.newest + 1..=last_cleared {
            self.accepted[cleared as usize % INTERVALS] = 0.0;
        }
        self.newest = self.newest.max(interval);
    }

    /// Adds calls that were accepted in an interval.
    pub(super) fn add(&mut self, interval: u64, accepted: f32) {
        self.advance_to(interval);
        self.accepted[interval as usize % INTERVALS] += accepted;
    }

    /// Calls a second, averaged over the load window.
    pub(super) fn per_second(&self, load_window_ms: u32) -> f64 {
        f64::from(self.accepted.iter().sum::<f32>()) * 1e3 / f64::from(load_window_ms)
    }

    /// Whether no call was accepted in the whole window.
    pub(super) fn is_empty(&self) -> bool {
        !self.accepted.iter().any(|calls| *calls > 0.0)
    }
}
