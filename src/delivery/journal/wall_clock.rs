//! What may be believed of times that an earlier process wrote down. Wall clocks are all that lies
//! between processes, and they can be set back.

use std::time::Duration;

/// The wall clock at the start, beside the newest time that was found written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WallClock {
    /// Unix time in milliseconds.
    pub now_ms: u64,
    /// The newest that was written.
    pub newest_ms: u64,
}

impl WallClock {
    /// It was set back: how much time has passed cannot be known.
    pub fn went_back(&self) -> bool {
        self.now_ms < self.newest_ms
    }

    /// How long ago something happened at the least, if that can be known.
    pub fn age(&self, at_ms: u64) -> Option<Duration> {
        (!self.went_back()).then(|| Duration::from_millis(self.now_ms.saturating_sub(at_ms)))
    }

    /// The time that a message has left: never more than it had when it was taken on.
    pub fn left(&self, taken_ms: u64, expires_ms: u64) -> Duration {
        let had = expires_ms.saturating_sub(taken_ms);
        Duration::from_millis(expires_ms.saturating_sub(self.now_ms).min(had))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_clock_that_was_set_back_makes_nothing_younger_and_gives_no_time() {
        let clock = |now_ms| WallClock {
            now_ms,
            newest_ms: 10_000,
        };
        assert_eq!(clock(12_000).age(9_000), Some(Duration::from_secs(3)));
        assert_eq!(clock(9_500).age(9_000), None);
        assert_eq!(clock(12_000).left(9_000, 25_000), Duration::from_secs(13));
        assert_eq!(clock(2_000).left(9_000, 25_000), Duration::from_secs(16));
        assert_eq!(clock(30_000).left(9_000, 25_000), Duration::ZERO);
    }
}
