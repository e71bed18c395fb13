//! The lifecycle of a message, joined from the logs of all senders that held it.
//!
//! [`crate::delivery::message`] logs a line for each step at level `debug`; [`step`] defines the
//! texts of those lines for the writer and for this reader. A message that is submitted again has
//! another id and, in a class with keys, the same key. A query by an id therefore returns the lines
//! of all ids with the same key. `raildeal trace` and the tests use this module.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::io::{self, BufRead};

pub use crate::delivery::message::step;

/// Text before the id in every line of a message.
const MESSAGE_LOG_TARGET: &str = "raildeal::delivery::message] ";
/// The same text in logs of versions in which the module had another path.
const EARLIER_MESSAGE_LOG_TARGET: &str = "raildeal::core::invocation] ";
/// Text in a line of [`step::RESUMED`] if no attempt was made before.
const NO_ATTEMPTS: &str = " 0 calls made";
/// Text in a line of [`step::DECIDED`] if the message failed permanently.
const FAILED: &str = " Undeliverable";
/// End of a line of [`step::DECIDED`] if the message's time was up.
const NO_TIME_LEFT: &str = " 0ns left";
/// Text after [`step::RESUMED`] if the message's time was up when it was resumed.
const RESUMED_TOO_LATE: &str = "0ns ";

/// Logs of senders, of which the lines of messages are kept. Each log is read with the name of its
/// sender, line by line, the oldest line first.
#[derive(Debug, Default)]
pub struct TraceLogs {
    messages: BTreeMap<String, Message>,
    ids_by_key: BTreeMap<String, BTreeSet<String>>,
    /// Time of the newest line, in seconds by the clock of the logs.
    newest_seconds: f64,
}

#[derive(Debug, Default)]
struct Message {
    key: Option<String>,
    lines: Vec<TraceLine>,
}

#[derive(Debug)]
struct TraceLine {
    at: Timestamp,
    /// The timestamp as text.
    time: String,
    sender: String,
    text: String,
}

/// Time of a line: a number of seconds, or a text that sorts by time (RFC 3339). Lines with neither
/// stay in the order in which they were read.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
enum Timestamp {
    Seconds(f64),
    Text(String),
}

/// A fault in a message's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifecycleFault {
    /// The message was acknowledged, its time is up, and no log has its end. If lines have no times
    /// in seconds, the end of the logs is not known, and a missing end always counts as a fault.
    NoEnd,
    /// The message ended after its time was up, although a process held it.
    Late,
    /// The message failed although no attempt was made; it should have been deferred.
    FailedUnsent,
    /// The message ended more often than it was accepted. Clients may reuse the id of a message
    /// that has ended.
    TwoEnds,
}

impl TraceLogs {
    /// Reads a sender's log. Invalid UTF-8 is replaced.
    ///
    /// # Errors
    /// Fails if the log cannot be read.
    pub fn read(&mut self, sender: &str, mut log: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        while log.read_until(b'\n', &mut bytes)? > 0 {
            self.read_line(sender, String::from_utf8_lossy(&bytes).trim_end());
            bytes.clear();
        }
        Ok(())
    }

    fn read_line(&mut self, sender: &str, line: &str) {
        let found = line
            .split_once(MESSAGE_LOG_TARGET)
            .or_else(|| line.split_once(EARLIER_MESSAGE_LOG_TARGET));
        let Some((before, message)) = found else {
            return;
        };
        let Some((id, text)) = message.split_once(": ") else {
            return;
        };
        let time = timestamp_text(before);
        let at = match time.parse() {
            Ok(seconds) => Timestamp::Seconds(seconds),
            Err(_) => Timestamp::Text(time.to_string()),
        };
        if let Timestamp::Seconds(seconds) = at {
            self.newest_seconds = self.newest_seconds.max(seconds);
        }
        let message = self.messages.entry(id.to_string()).or_default();
        if let Some(key) = key_of(text) {
            let ids = self.ids_by_key.entry(key.to_string()).or_default();
            ids.insert(id.to_string());
            message.key = Some(key.to_string());
        }
        message.lines.push(TraceLine {
            at,
            time: time.to_string(),
            sender: sender.to_string(),
            text: text.to_string(),
        });
    }

    /// Returns the lifecycle of a message and of all messages with the same key, as text with a
    /// line for each step. Returns `None` if no log has the message.
    pub fn lifecycle(&self, id: &str) -> Option<String> {
        let requested = self.messages.get(id)?;
        let alone = BTreeSet::from([id.to_string()]);
        let key = requested.key.as_ref();
        let ids = key.and_then(|k| self.ids_by_key.get(k)).unwrap_or(&alone);
        let mut lines: Vec<(&str, &TraceLine)> = Vec::new();
        for id in ids {
            let of_message = self.messages[id].lines.iter();
            lines.extend(of_message.map(|line| (id.as_str(), line)));
        }
        lines.sort_by(|(_, a), (_, b)| a.at.partial_cmp(&b.at).unwrap_or(Ordering::Equal));
        let mut text = String::new();
        for (id, line) in lines {
            let TraceLine { time, sender, .. } = line;
            let _ = writeln!(text, "{time:>10} {sender:<8} {id} {}", line.text);
        }
        for id in ids {
            let faults = self.messages[id].faults(self.newest_seconds);
            let _ = match faults.is_empty() {
                true => writeln!(text, "{id}: kept"),
                false => writeln!(text, "{id}: {faults:?}"),
            };
        }
        Some(text)
    }

    /// Returns all messages with faults in their lifecycles.
    pub fn faulty_messages(&self) -> Vec<(&str, Vec<LifecycleFault>)> {
        self.messages
            .iter()
            .map(|(id, message)| (id.as_str(), message.faults(self.newest_seconds)))
            .filter(|(_, faults)| !faults.is_empty())
            .collect()
    }

    /// Returns the number of messages in the logs.
    pub fn message_count(&self) -> usize {
        self.messages.len()
    }
}

/// Returns the first word before the log target if that is a time, or an empty text.
fn timestamp_text(before_target: &str) -> &str {
    before_target
        .split(['[', ' '])
        .find(|token| !token.is_empty())
        .filter(|token| token.starts_with(|c: char| c.is_ascii_digit()))
        .unwrap_or("")
}

/// Returns the key from a line of [`step::ACCEPTED`].
fn key_of(text: &str) -> Option<&str> {
    let (_, from_key) = text.strip_prefix(step::ACCEPTED)?.split_once(step::KEY)?;
    from_key.split(',').next()
}

impl Message {
    /// Returns the rest of each line that begins with the text of a step.
    fn steps<'a>(&'a self, step: &'a str) -> impl Iterator<Item = &'a str> {
        self.lines
            .iter()
            .filter_map(move |line| line.text.strip_prefix(step))
    }

    fn count(&self, step: &str) -> usize {
        self.steps(step).count()
    }

    /// Returns the deadline, in seconds, by the last line from which it can be computed.
    fn deadline_seconds(&self) -> Option<f64> {
        self.lines.iter().rev().find_map(|line| {
            let resumed = line.text.strip_prefix(step::RESUMED);
            let accepted = line.text.strip_prefix(step::ACCEPTED);
            let time_left = resumed.or_else(|| accepted?.rsplit(", ").next())?;
            let time_left = seconds(time_left.split(' ').next()?)?;
            match line.at {
                Timestamp::Seconds(at) => Some(at + time_left),
                Timestamp::Text(_) => None,
            }
        })
    }

    fn faults(&self, newest_seconds: f64) -> Vec<LifecycleFault> {
        let mut faults = Vec::new();
        if self.has_no_end(newest_seconds) {
            faults.push(LifecycleFault::NoEnd);
        }
        if self.ended_late() {
            faults.push(LifecycleFault::Late);
        }
        if self.failed_unsent() {
            faults.push(LifecycleFault::FailedUnsent);
        }
        // If a process is killed after the verdict was written, the next process sends the final
        // answer and logs no second end.
        if self.count(step::DECIDED) > self.count(step::ACCEPTED).max(1) {
            faults.push(LifecycleFault::TwoEnds);
        }
        faults
    }

    fn has_no_end(&self, newest_seconds: f64) -> bool {
        let owed = self.count(step::ACKNOWLEDGED) + self.count(step::RESUMED) > 0;
        let ended = self.count(step::DECIDED) + self.count(step::NOTIFIED) > 0;
        let still_held = self
            .deadline_seconds()
            .is_some_and(|deadline| newest_seconds < deadline);
        owed && !ended && !still_held
    }

    fn ended_late(&self) -> bool {
        // If the time ran out between two processes, no process could have ended the message in
        // time.
        let ran_out_unheld = self
            .steps(step::RESUMED)
            .any(|text| text.starts_with(RESUMED_TOO_LATE));
        let late = self
            .steps(step::DECIDED)
            .any(|text| text.ends_with(NO_TIME_LEFT));
        late && !ran_out_unheld
    }

    fn failed_unsent(&self) -> bool {
        // An attempt that was in flight when its process was killed may be in the journal only.
        let unsent = self.count(step::ATTEMPT) == 0
            && self
                .steps(step::RESUMED)
                .all(|text| text.contains(NO_ATTEMPTS));
        unsent && self.steps(step::DECIDED).any(|text| text.contains(FAILED))
    }
}

/// Parses a duration from a log line, such as `1.5s` or `20ms`, into seconds.
fn seconds(span: &str) -> Option<f64> {
    let units = [("ns", 1e-9), ("\u{b5}s", 1e-6), ("ms", 1e-3), ("s", 1.0)];
    units
        .iter()
        .find_map(|(unit, size)| Some(span.strip_suffix(unit)?.parse::<f64>().ok()? * size))
}

#[cfg(test)]
mod tests;
