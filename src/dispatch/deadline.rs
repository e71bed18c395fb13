//! Limits on attempts and deliveries shortly before a message's deadline.
//!
//! Decides: until when an attempt may start, how long it may last, and whether a delivery that
//! close to the deadline can be relied on. Inputs: the message's deadline and the time. Callers:
//! the dispatcher for the first decision, the embedding program for the others, as only that
//! program sends responses to clients, which takes time.
//!
//! Sender and client measure a message's time by their own clocks and from different starting
//! points, and each may be delayed between reading its clock and writing. The sender therefore ends
//! a message some time before the client does, and a message whose result arrives between these two
//! moments gets two answers rather than none.

use crate::dispatch::api::Nanos;
use crate::dispatch::statistics::MS;

/// Time left, in nanoseconds, above which an attempt may start: with less it would hardly get an
/// answer.
pub const LEAST_TIME_TO_BEGIN: Nanos = 250 * MS;
/// Time between the latest end of an attempt and its message's deadline, in nanoseconds. It
/// covers the longest delay of a process between reading its clock and writing, so that the final
/// answer is still sent in time.
pub const FINAL_ANSWER_MARGIN: Nanos = 150 * MS;
/// Time left by the sender's clock, in nanoseconds, below which none may be left by the client's:
/// a client that waits longer than this for the response to its request has given the message up.
pub const CROSSING_MARGIN: Nanos = 400 * MS;

/// Whether an attempt that starts at `start` still gives its message a chance of delivery.
pub fn may_begin(start: Nanos, deadline: Nanos) -> bool {
    start.saturating_add(LEAST_TIME_TO_BEGIN) < deadline
}

/// Returns the longest time that an attempt may take where its message has `time_left`.
pub fn longest_attempt(time_left: Nanos) -> Nanos {
    time_left.saturating_sub(FINAL_ANSWER_MARGIN)
}

/// Whether a delivery that the sender learns of with `time_left` may have come too late by the
/// client's clock; if so, the client must still get a final answer.
pub fn may_cross_the_end(time_left: Nanos) -> bool {
    time_left < CROSSING_MARGIN
}

#[cfg(test)]
mod tests;
