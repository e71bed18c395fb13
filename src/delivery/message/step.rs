//! Texts of the log lines for the steps of a message. Each line begins with `id: `.
//!
//! The stages of delivery write them at level `debug`, and [`crate::message_trace`] parses them.

use crate::delivery::{Envelope, Verdict};
use std::time::Duration;

/// Log target of all steps, regardless of the module that logs them.
pub const LOG_TARGET: &str = "raildeal::delivery::message";

/// Returns the line for a message that was accepted, with the routing table if there is one.
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

/// Returns the line for a message that has ended.
pub fn decided(envelope: &Envelope, table: u64, verdict: Verdict, time_left: Duration) -> String {
    let under = match table {
        0 => String::new(),
        table => format!(" under table {table}"),
    };
    let dest = envelope.dest;
    format!("{DECIDED}{dest}{under} {verdict:?}, {time_left:?}{TIME_LEFT}")
}

/// The message was written to the journal; followed by class, destination, table, key and time
/// left.
pub const ACCEPTED: &str = "taken on, ";
/// Precedes the key, if the message has one.
pub const KEY: &str = ", key ";
/// Follows a time left.
pub const TIME_LEFT: &str = " left";
/// The client was sent the answer that the message is accepted.
pub const ACKNOWLEDGED: &str = "its client is told that it is taken on";
/// A process found the message in its journal and resumed it; followed by time left and number of
/// attempts.
pub const RESUMED: &str = "taken up with ";
/// An attempt began; followed by its number and endpoint.
pub const ATTEMPT: &str = "call ";
/// The message ended; followed by destination, verdict and time left.
pub const DECIDED: &str = "dest ";
/// The client has received the final answer, or none is owed any more.
pub const NOTIFIED: &str = "final answer told";
