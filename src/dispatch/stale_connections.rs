//! Detection of connections that are lost while idle.
//!
//! Decides: when the dispatcher closes idle connections before a send rather than use them. Input:
//! results of calls on idle and on new connections. Callers: the dispatcher, and the statistics of
//! a kind of destination, which keep a [`Suspicion`] as well. No I/O and no clock.

#[cfg(test)]
mod tests;

use crate::dispatch::statistics::to_secs;
use crate::Nanos;

/// Level of suspicion above which idle connections are closed: one lost call is enough, as a new
/// connection costs little.
const CLOSE_ABOVE_SUSPICION: f64 = 0.7;
/// Largest absolute level of suspicion, in lost calls: without it a long outage would have an
/// effect for minutes.
const MAX_SUSPICION: f64 = 3.0;
/// Time in which a suspicion decays to 1/e, in seconds.
const DECAY_SECONDS: f64 = 20.0;
/// Part of a suspicion that remains after an answer on an idle connection.
const KEPT_AFTER_ANSWER: f64 = 0.5;

/// A level of suspicion that decays over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspicion {
    /// The level at the last update, in lost calls.
    level: f64,
    updated_at: Nanos,
}

impl Suspicion {
    /// Returns the level now.
    pub fn level(&self, now: Nanos) -> f64 {
        self.level * (-to_secs(now.saturating_sub(self.updated_at)) / DECAY_SECONDS).exp()
    }

    /// Replaces the level.
    pub fn set(&mut self, now: Nanos, level: f64) {
        self.level = level;
        self.updated_at = now;
    }
}

/// Kind of connection that a call was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// A connection that had been idle, as far as the module can infer.
    Idle,
    /// A new connection, or one that was in use.
    Fresh,
}

/// Detects that connections are lost while idle: calls on idle connections are lost, calls on new
/// ones are not. The suspicion is kept per sender, not per endpoint: few calls go to each endpoint,
/// and the cause of the loss lies in the network between.
#[derive(Clone, Copy, Debug, Default)]
pub struct StaleConnectionDetector {
    suspicion: Suspicion,
}

impl StaleConnectionDetector {
    /// Whether idle connections are to be closed rather than used.
    pub fn distrusts_idle(&self, now: Nanos) -> bool {
        self.suspicion.level(now) > CLOSE_ABOVE_SUSPICION
    }

    /// Records a call that was lost or answered.
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
