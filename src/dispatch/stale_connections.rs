//! Whether idle connections are to be trusted.
//!
//! Decides: when the dispatcher closes idle connections before a send rather than use them. Input:
//! what came of calls on idle and on new connections. Caller: the dispatcher; the statistics of a
//! kind of destination keep a [`Suspicion`] too. No I/O, no clock.

#[cfg(test)]
mod tests;

use crate::dispatch::statistics::to_secs;
use crate::Nanos;

/// Suspicion from which on idle connections are closed: one lost call is enough, as a new
/// connection costs little.
const CLOSE_ABOVE: f64 = 0.7;
/// Bound of the suspicion to either side, in lost calls: else a long outage would be remembered for
/// minutes.
const MAX_SUSPICION: f64 = 3.0;
/// Seconds in which a suspicion fades to 1/e.
const FADE_SECONDS: f64 = 20.0;
/// Part of a suspicion that an answer on an idle connection leaves.
const KEPT_AFTER_ANSWER: f64 = 0.5;

/// A level of suspicion that fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspicion {
    /// The level at the last update, in lost calls.
    level: f64,
    updated_at: Nanos,
}

impl Suspicion {
    /// The level now.
    pub fn level(&self, now: Nanos) -> f64 {
        self.level * (-to_secs(now.saturating_sub(self.updated_at)) / FADE_SECONDS).exp()
    }

    /// Replaces the level.
    pub fn set(&mut self, now: Nanos, level: f64) {
        self.level = level;
        self.updated_at = now;
    }
}

/// What a call was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// A connection that had been idle, as far as the module can tell.
    Idle,
    /// A new one, or one that was in use.
    Fresh,
}

/// Detects that connections are lost while idle: calls on idle ones get lost, calls on new ones do
/// not. The suspicion is the sender's, not an endpoint's: few calls go to each, and what drops
/// connections sits between.
#[derive(Clone, Copy, Debug, Default)]
pub struct StaleConnectionDetector {
    suspicion: Suspicion,
}

impl StaleConnectionDetector {
    /// Whether idle connections are to be closed rather than used.
    pub fn distrusts_idle(&self, now: Nanos) -> bool {
        self.suspicion.level(now) > CLOSE_ABOVE
    }

    /// Learns from a call that was lost or answered.
    pub fn record(&mut self, now: Nanos, connection: Connection, lost: bool) {
        let level = self.suspicion.level(now);
        let level = match (connection, lost) {
            (Connection::Idle, true) => level + 1.0,
            (Connection::Idle, false) => level.min(level * KEPT_AFTER_ANSWER),
            (Connection::Fresh, true) => level - 1.0,
            (Connection::Fresh, false) => level,
        };
        self.suspicion
            .set(now, level.clamp(-MAX_SUSPICION, MAX_SUSPICION));
    }
}
