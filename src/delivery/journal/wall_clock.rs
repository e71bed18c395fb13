//! Interpretation of the times that an earlier process wrote. Only the wall clock connects two
//! processes, and it can be set back.

use std::time::Duration;

/// The wall clock at the start, with the newest time that was found in the records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WallClock {
    /// The wall clock, as Unix time in milliseconds.
    pub now_unix_ms: u64,
    /// Newest time in the records, as Unix time in milliseconds.
    pub newest_unix_ms: u64,
}

impl WallClock {
    /// Returns a clock without an earlier time to compare it with.
    pub fn at(now_unix_ms: u64) -> Self {
        WallClock {
            now_unix_ms,
            newest_unix_ms: 0,
        }
    }

    /// Whether the clock was set back. The time that has passed is unknown then.
    pub fn was_set_back(&self) -> bool {
        self.now_unix_ms < self.newest_unix_ms
    }

    /// Returns the minimum time since an event; `None` where it is unknown.
    pub fn least_age(&self, at_unix_ms: u64) -> Option<Duration> {
        let age_ms = self.now_unix_ms.saturating_sub(at_unix_ms);
        (!self.was_set_back()).then(|| Duration::from_millis(age_ms))
    }

    /// Returns the time that a message has left: at most the time that it had when it was accepted.
    pub fn time_left(&self, accepted_unix_ms: u64, expires_unix_ms: u64) -> Duration {
        let had_ms = expires_unix_ms.saturating_sub(accepted_unix_ms);
        let left_ms = expires_unix_ms.saturating_sub(self.now_unix_ms);
        Duration::from_millis(left_ms.min(had_ms))
    }
}

#[cfg(test)]
mod tests;
