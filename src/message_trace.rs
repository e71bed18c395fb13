//! The lifecycle of a message, joined from the logs of all senders that held it.
//!
//! [`crate::delivery::message`] writes a line for each step at the level `debug`; [`step`] has the
//! text of those lines, for the writer and for this reader. A message that is handed in again has
//! another id and, in a keyed class, the same key: what is asked for by an id is given for all ids
//! of its key. `raildeal trace` and the tests call this.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::io::{self, BufRead};

pub use crate::delivery::message::step;

/// What stands before the id in every line of a message.
const MESSAGE_LOG_TARGET: &str = "raildeal::delivery::message] ";
/// The same in logs that were written before the module had its present path.
const EARLIER_MESSAGE_LOG_TARGET: &str = "raildeal::core::invocation] ";
/// In a line of [`step::RESUMED`]: no attempt went before.
const NO_ATTEMPTS: &str = " 0 calls made";
/// In a line of [`step::DECIDED`]: the message failed for good.
const FAILED: &str = " Undeliverable";
/// At the end of a line of [`step::DECIDED`]: the message's time was up.
const NO_TIME_LEFT: &str = " 0ns left";
/// Behind [`step::RESUMED`]: the message's time was up when it was resumed.
const RESUMED_TOO_LATE: &str = "0ns ";

/// Logs, each with the name of its sender, oldest line first. Lines are read one at a time, and
/// those of messages are kept.
#[derive(Debug, Default)]
pub struct TraceLogs {
    messages: BTreeMap<String, Message>,
    ids_by_key: BTreeMap<String, BTreeSet<String>>,
    /// Time of the newest line, in seconds as the log counts them.
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
    /// The timestamp as the log has it.
    time: String,
    sender: String,
    text: String,
}

/// When a line was written: a number of seconds, or else text that sorts (RFC 3339). Without
/// either, lines keep the order in which they were read.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
enum Timestamp {
    Seconds(f64),
    Text(String),
}

/// What is wrong with a message's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifecycleFault {
    /// Its client was told that it is accepted, its time is up, and no log has its end. Where lines
    /// bear no seconds, nobody knows how far the logs go, and it counts in any case.
    NoEnd,
    /// It ended when its time was up, though a process held it then.
    Late,
    /// It ended as failed though no attempt was made: it should have been deferred.
    FailedUnsent,
    /// It has more ends than it was accepted; clients may use an id again once it is over.
    TwoEnds,
}

impl TraceLogs {
    /// Reads a sender's log. Bytes that are no text are passed over.
    ///
    /// # Errors
    /// The log cannot be read.
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

    /// The lifecycle of a message and of all that were handed in under its key, a line for each
    /// step; none where no log has it.
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

    /// All messages whose lifecycle went wrong, and how.
    pub fn faulty_messages(&self) -> Vec<(&str, Vec<LifecycleFault>)> {
        self.messages
            .iter()
            .map(|(id, message)| (id.as_str(), message.faults(self.newest_seconds)))
            .filter(|(_, faults)| !faults.is_empty())
            .collect()
    }

    /// Messages that some log has.
    pub fn message_count(&self) -> usize {
        self.messages.len()
    }
}

/// The first word of what stands before the target, where it is a time.
fn timestamp_text(before_target: &str) -> &str {
    before_target
        .split(['[', ' '])
        .find(|token| !token.is_empty())
        .filter(|token| token.starts_with(|c: char| c.is_ascii_digit()))
        .unwrap_or("")
}

/// The key in a line of [`step::ACCEPTED`].
fn key_of(text: &str) -> Option<&str> {
    let (_, from_key) = text.strip_prefix(step::ACCEPTED)?.split_once(step::KEY)?;
    from_key.split(',').next()
}

impl Message {
    /// What follows the text of a step, for each of its lines.
    fn steps<'a>(&'a self, step: &'a str) -> impl Iterator<Item = &'a str> {
        self.lines
            .iter()
            .filter_map(move |line| line.text.strip_prefix(step))
    }

    fn count(&self, step: &str) -> usize {
        self.steps(step).count()
    }

    /// When its time is up, in seconds, by the last line that says so with a time.
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
        // A process that was killed between the end and its telling tells it again, and logs no
        // second end.
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
        // Where its time ran out between two processes, nobody could have been in time.
        let ran_out_unheld = self
            .steps(step::RESUMED)
            .any(|text| text.starts_with(RESUMED_TOO_LATE));
        let late = self
            .steps(step::DECIDED)
            .any(|text| text.ends_with(NO_TIME_LEFT));
        late && !ran_out_unheld
    }

    fn failed_unsent(&self) -> bool {
        // An attempt in flight when its process was killed may stand in the journal and in no log.
        let unsent = self.count(step::ATTEMPT) == 0
            && self
                .steps(step::RESUMED)
                .all(|text| text.contains(NO_ATTEMPTS));
        unsent && self.steps(step::DECIDED).any(|text| text.contains(FAILED))
    }
}

/// Reads a span as the log has it, such as `1.5s` or `20ms`.
fn seconds(span: &str) -> Option<f64> {
    let units = [("ns", 1e-9), ("\u{b5}s", 1e-6), ("ms", 1e-3), ("s", 1.0)];
    units
        .iter()
        .find_map(|(unit, size)| Some(span.strip_suffix(unit)?.parse::<f64>().ok()? * size))
}

#[cfg(test)]
mod tests;
