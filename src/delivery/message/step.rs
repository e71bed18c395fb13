//! The text of the lines that the steps of a message leave in the log, behind `id: `.
//!
//! The stages of delivery write them at the level `debug`; [`crate::message_trace`] reads them.

use crate::delivery::{Envelope, Verdict};
use std::time::Duration;

/// The target under which each step is logged, whatever file of the delivery writes it.
pub const LOG_TARGET: &str = "raildeal::delivery::message";

/// The whole line of a message that is accepted, under a routing table where there is one.
pub fn accepted(envelope: &Envelope, table: u64, time_left: Duration) -> String {
    let Envelope {
        class, dest, key, ..
    } = envelope;
    let key = match key {
        Some(key) => format!("{KEY}{key}"),
        None => String::new(),
    };
    let under = match table {
        0 => String::new(),
        table => format!(", table {table}"),
    };
    format!("{ACCEPTED}class {class}, dest {dest}{under}{key}, {time_left:?}{TIME_LEFT}")
}

/// The whole line of a message that is over.
pub fn decided(envelope: &Envelope, table: u64, verdict: Verdict, time_left: Duration) -> String {
    let under = match table {
        0 => String::new(),
        table => format!(" under table {table}"),
    };
    let dest = envelope.dest;
    format!("{DECIDED}{dest}{under} {verdict:?}, {time_left:?}{TIME_LEFT}")
}

/// Written down and given to the dispatcher; goes on with class, destination, key and time
/// left.
pub const ACCEPTED: &str = "taken on, ";
/// Between the words before and the key, where the message has one.
pub const KEY: &str = ", key ";
/// Behind a time left.
pub const TIME_LEFT: &str = " left";
/// Its client has been written that it is accepted.
pub const ACKNOWLEDGED: &str = "its client is told that it is taken on";
/// Resumed by a process that found it in its journal; goes on with time left and attempts.
pub const RESUMED: &str = "taken up with ";
/// An attempt; goes on with number and endpoint.
pub const ATTEMPT: &str = "call ";
/// Its end; goes on with destination, verdict and time left.
pub const DECIDED: &str = "dest ";
/// The final answer was heard, or none is owed.
pub const NOTIFIED: &str = "final answer told";
