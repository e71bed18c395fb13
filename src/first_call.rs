//! When a message that a restart found untried gets its first call, whatever the pace of its sender.
//!
//! One of many senders keeps to its even part of each route, which may be less than a call in the time of a message. A sender that
//! comes back with a line of messages would let most of them end without one call beside routes that take them. Those messages were
//! taken on before: they are part of a traffic that the routes were listed for, and each of them is owed one try. Told waits, pauses
//! after refusals and the budget of endpoints that come back cold stand above it. No I/O, no clock; the caller brings time and
//! randomness.

use crate::measure::{mix, secs, to_secs};
use crate::Time;

/// Parts of the remaining time between which first calls fall due. Before the first of them the pace serves what it can. After the
/// last one there is still time for a call, and for a second one after a refusal. Senders that were killed at the same moment
/// spread their calls in between.
const DUE: (f64, f64) = (0.25, 0.65);

/// When the first call is due of a message that may be delivered for `left` from `now` on. `draw` is evenly from 0 to 1.
pub fn due(now: Time, left: Time, draw: f64) -> Time {
    now.saturating_add(secs(to_secs(left) * mix(DUE.0, DUE.1, draw)))
}
