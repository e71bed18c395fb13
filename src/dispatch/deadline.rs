//! What is still done as a message's time runs out.
//!
//! Decides: until when an attempt may begin, until when it may last, and whether a delivery so
//! close to the end can be relied on. Inputs: the message's deadline and the time. Callers: the
//! dispatcher for the first, the embedding program for the others: it alone has a way back to its
//! clients that takes time.
//!
//! The parties reckon a message's time by their own clocks, from moments of their own, and each may
//! be held up between reading its clock and writing. So a message is over here some time before it
//! is over for its client, and what happens in between is answered twice rather than never.

use crate::dispatch::api::Nanos;
use crate::dispatch::statistics::MS;

/// No attempt begins with less time left than this, in nanoseconds: it would hardly get an answer.
pub const LEAST_TIME_TO_BEGIN: Nanos = 250 * MS;
/// An attempt is over so long before its message's deadline, in nanoseconds: the longest that a
/// process is held up between reading its clock and writing, so that the final answer still goes
/// in time.
pub const FINAL_ANSWER_MARGIN: Nanos = 150 * MS;
/// With less time left than this, in nanoseconds, the client's time may be up already: a client
/// that waits longer for the answer to its request has given the message up.
pub const CROSSING_MARGIN: Nanos = 400 * MS;

/// Whether an attempt that begins at a time still leaves its message a chance.
pub fn may_begin(start: Nanos, deadline: Nanos) -> bool {
    start.saturating_add(LEAST_TIME_TO_BEGIN) < deadline
}

/// The time that an attempt may take at most where its message has so much time left.
pub fn longest_attempt(time_left: Nanos) -> Nanos {
    time_left.saturating_sub(FINAL_ANSWER_MARGIN)
}

/// Whether a delivery that is known with so much time left may have come too late by the client's
/// clock: then the client is owed a final answer all the same.
pub fn may_cross_the_end(time_left: Nanos) -> bool {
    time_left < CROSSING_MARGIN
}

#[cfg(test)]
mod tests;
