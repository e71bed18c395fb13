//! Whether a message had its end in time, by the protocol's figures for sockets.

use super::clients::Submission;
use crate::record::Life;
use std::time::{Duration, Instant};

/// A message that is neither delivered nor told so long after its time is lost.
const OVERDUE: Duration = Duration::from_millis(350);
/// No notice is overdue from a restart's signal until so long after the process is ready again.
const AFTER_READY: Duration = Duration::from_millis(1_550);
/// A machine that wakes a thread so much too late may hold a process up for so many times of it.
const HELD_UP: u32 = 3;

/// A restart, from its signal on.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// When it was signalled, or the process ended.
    pub begun_at: Instant,
    /// When the next process listened.
    pub ready_at: Option<Instant>,
}

/// When a message whose time is up at `due` has to have had its end.
pub fn overdue_at(due: Instant, restarts: &[Restart]) -> Option<Instant> {
    let mut overdue_at = due + OVERDUE;
    for restart in restarts.iter().filter(|r| r.begun_at <= due + OVERDUE) {
        // One that was never ready excuses all.
        overdue_at = overdue_at.max(restart.ready_at? + AFTER_READY);
    }
    for restart in restarts.iter().filter(|r| r.begun_at > due + OVERDUE) {
        if restart.begun_at <= overdue_at {
            overdue_at = overdue_at.max(restart.ready_at? + AFTER_READY);
        }
    }
    Some(overdue_at)
}

/// How a message missed its time, in words; nothing where it did not. The machine woke threads so
/// late at the most.
pub fn late_by(
    due: Instant,
    life: &Life,
    restarts: &[Restart],
    lateness: Duration,
) -> Option<String> {
    // What was delivered after the client's time may have been given up there.
    if life.delivered_at.is_some_and(|at| at <= due) {
        return None;
    }
    let overdue_at = overdue_at(due, restarts)? + HELD_UP * lateness;
    match life.told_at {
        Some(at) if at <= overdue_at => None,
        Some(at) => Some(format!("told {:?} after its time", at - due)),
        None => Some("never told".into()),
    }
}

/// Whether a connection that ended without an answer was ended by a kill.
pub(super) fn explains_a_reset(submission: &Submission, restarts: &[Restart]) -> bool {
    let (from, to) = (submission.sent_at, submission.ended_at);
    let is_down = |restart: &Restart| {
        restart.begun_at <= to && restart.ready_at.is_none_or(|ready_at| ready_at >= from)
    };
    restarts.iter().any(is_down)
}

#[cfg(test)]
mod tests;
