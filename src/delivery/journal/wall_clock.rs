//! What may be believed of times that an earlier process wrote down. Wall clocks are all that lies
//! between processes, and they can be set back.

use std::time::Duration;

/// The wall clock at the start, beside the newest time that was found written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WallClock {
    /// Unix time in milliseconds.
    pub now_unix_ms: u64,
    /// The newest that was written, as Unix time in milliseconds.
    pub newest_unix_ms: u64,
}

impl WallClock {
    /// A clock of which nothing older is known to compare it with.
    pub fn at(now_unix_ms: u64) -> Self {
        WallClock {
            now_unix_ms,
            newest_unix_ms: 0,
        }
    }

    /// Whether it was set back: then nobody knows how much time has passed.
    pub fn was_set_back(&self) -> bool {
        self.now_unix_ms < self.newest_unix_ms
    }

    /// How long ago something happened at the least; none where nobody knows.
    pub fn least_age(&self, at_unix_ms: u64) -> Option<Duration> {
        let age_ms = self.now_unix_ms.saturating_sub(at_unix_ms);
        (!self.was_set_back()).then(|| Duration::from_millis(age_ms))
    }

    /// The time that a message has left: never more than it had when it was accepted.
    pub fn time_left(&self, accepted_unix_ms: u64, expires_unix_ms: u64) -> Duration {
        let had_ms = expires_unix_ms.saturating_sub(accepted_unix_ms);
        let left_ms = expires_unix_ms.saturating_sub(self.now_unix_ms);
        Duration::from_millis(left_ms.min(had_ms))
    }
}

#[cfg(test)]
mod tests;
