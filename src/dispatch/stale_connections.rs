//! Which idle connections are to be trusted: a decision of its own, from what came of calls. No
//! I/O, no clock.

use crate::dispatch::statistics::to_secs;
use crate::Nanos;

/// Suspicion of idle connections: where it closes them (one lost call: they cost little), bound,
/// memory in s.
const REAP: (f64, f64, f64) = (0.7, 3.0, 20.0);

/// Whether connections are lost while idle: calls on idle ones get lost, calls on new ones do not.
/// Suspicion is the relay's, not an endpoint's: few calls go to each, and what drops connections
/// sits between.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reaper {
    /// The suspicion when it was last learnt of.
    pub level: f64,
    /// When that was.
    pub at: Nanos,
}

impl Reaper {
    /// The suspicion now: it fades.
    pub fn level(&self, now: Nanos) -> f64 {
        self.level * (-to_secs(now.saturating_sub(self.at)) / REAP.2).exp()
    }

    /// Whether idle connections are to be closed rather than used.
    pub fn doubts(&self, now: Nanos) -> bool {
        self.level(now) > REAP.0
    }

    /// Learns from a call that took an idle connection or a new one, and was lost or answered.
    pub fn learn(&mut self, now: Nanos, idle: bool, lost: bool) {
        let level = self.level(now);
        self.at = now;
        self.level = match (idle, lost) {
            (true, true) => level + 1.0,
            (true, false) => level.min(level * 0.5),
            (false, true) => level - 1.0,
            (false, false) => level,
        };
        self.level = self.level.clamp(-REAP.1, REAP.1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::dispatch::statistics::SEC;

    #[test]
    fn idle_connections_that_get_lost_are_doubted_until_it_fades_or_calls_on_them_are_answered() {
        let mut reaper = Reaper::default();
        reaper.learn(SEC, true, true);
        assert!(reaper.doubts(SEC) && !reaper.doubts(20 * SEC));
        reaper.learn(SEC, true, false);
        assert!(!reaper.doubts(SEC));
        // New connections that get lost as well say that it is not for being idle.
        (0..10).for_each(|_| reaper.learn(2 * SEC, false, true));
        reaper.learn(2 * SEC, true, true);
        assert!(!reaper.doubts(2 * SEC));
    }
}
