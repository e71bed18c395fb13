//! The line of life of a message, joined from the logs of all senders that held it.
//!
//! Senders write these lines at the level `debug`; [`step`] has their words. A message that is
//! handed in again has another id and, in a keyed class, the same key: what is asked for by an id
//! is told for all ids of its key.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::io::{self, BufRead};

/// The words of each step, as `core::invocation` writes them behind `id: `.
pub mod step {
    use crate::delivery::{Envelope, Verdict};
    use std::time::Duration;

    /// The whole line of a message that is taken on, under a routing table where there is one.
    pub fn accepted(envelope: &Envelope, table: u64, left: Duration) -> String {
        let Envelope {
            class, dest, key, ..
        } = envelope;
        let key = key
            .as_ref()
            .map_or(String::new(), |key| format!("{KEY}{key}"));
        let under = if table > 0 {
            format!(", table {table}")
        } else {
            String::new()
        };
        format!("{ACCEPTED}class {class}, dest {dest}{under}{key}, {left:?} left")
    }

    /// The whole line of a message that is over.
    pub fn decided(envelope: &Envelope, table: u64, verdict: Verdict, left: Duration) -> String {
        let under = if table > 0 {
            format!(" under table {table}")
        } else {
            String::new()
        };
        format!(
            "{DECIDED}{}{under} {verdict:?}, {left:?} left",
            envelope.dest
        )
    }

    /// Written down and brought before the module; goes on with class, destination, key and time
    /// left.
    pub const ACCEPTED: &str = "taken on, ";
    /// Between the words before and the key, where the message has one.
    pub const KEY: &str = ", key ";
    /// Its client has been written that it is taken on.
    pub const ACKNOWLEDGED: &str = "its client is told that it is taken on";
    /// Taken up by a process that found it written down.
    pub const RESUMED: &str = "taken up with ";
    /// A call begins; goes on with number and provider.
    pub const ATTEMPT: &str = "call ";
    /// Its end; goes on with destination, verdict and time left.
    pub const DECIDED: &str = "dest ";
    /// The final answer was heard, or none is owed.
    pub const NOTIFIED: &str = "final answer told";
}

/// Where the lines of a message stand, in every log of the program.
const OF_MESSAGES: &str = "raildeal::delivery::message] ";

/// Logs, each with the name of its sender, oldest line first. Lines are read one at a time, and
/// those of messages are kept.
#[derive(Debug, Default)]
pub struct TraceLogs {
    messages: BTreeMap<String, Message>,
    by_key: BTreeMap<String, BTreeSet<String>>,
    /// Time of the newest line, in seconds.
    newest: f64,
}

#[derive(Debug, Default)]
struct Message {
    key: Option<String>,
    lines: Vec<TraceLine>,
}

#[derive(Debug)]
struct TraceLine {
    at: Timestamp,
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

/// What is wrong with a message's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifecycleFault {
    /// Its client was told that it is taken on, its time is up, and no log has its end. Where lines
    /// bear no seconds, nobody knows how far the logs go, and it counts in any case.
    NoEnd,
    /// It ended when its time was up, though a process held it then.
    Late,
    /// It ended as failed though no call was made: it should have been deferred.
    FailedUnsent,
    /// It has more ends than it was taken on; clients may use an id again once it is over.
    TwoEnds,
}

impl TraceLogs {
    /// Reads a sender's log. Bytes that are no text are passed over.
    pub fn read(&mut self, sender: &str, mut log: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        while log.read_until(b'\n', &mut bytes)? > 0 {
            self.line(sender, String::from_utf8_lossy(&bytes).trim_end());
            bytes.clear();
        }
        Ok(())
    }

    fn line(&mut self, sender: &str, line: &str) {
        let Some((before, said)) = line.split_once(OF_MESSAGES) else {
            return;
        };
        let Some((id, text)) = said.split_once(": ") else {
            return;
        };
        let time = before
            .split(['[', ' '])
            .find(|w| !w.is_empty())
            .unwrap_or("");
        let time = if time.starts_with(|c: char| c.is_ascii_digit()) {
            time
        } else {
            ""
        };
        let at = time
            .parse()
            .map_or_else(|_| Timestamp::Text(time.to_string()), Timestamp::Seconds);
        if let Timestamp::Seconds(at) = at {
            self.newest = self.newest.max(at);
        }
        let message = self.messages.entry(id.to_string()).or_default();
        if let Some((_, key)) = text
            .strip_prefix(step::ACCEPTED)
            .and_then(|t| t.split_once(step::KEY))
        {
            let key = key.split(',').next().unwrap_or(key).to_string();
            self.by_key
                .entry(key.clone())
                .or_default()
                .insert(id.to_string());
            message.key = Some(key);
        }
        let (time, sender, text) = (time.to_string(), sender.to_string(), text.to_string());
        message.lines.push(TraceLine {
            at,
            time,
            sender,
            text,
        });
    }

    /// The life of a message and of all that were handed in under its key, a line for each step;
    /// nothing where no log has it.
    pub fn lifecycle(&self, id: &str) -> Option<String> {
        let asked = self.messages.get(id)?;
        let alone = BTreeSet::from([id.to_string()]);
        let ids = asked
            .key
            .as_ref()
            .and_then(|k| self.by_key.get(k))
            .unwrap_or(&alone);
        let mut lines: Vec<(&str, &TraceLine)> = Vec::new();
        for id in ids {
            lines.extend(self.messages[id].lines.iter().map(|l| (id.as_str(), l)));
        }
        lines.sort_by(|a, b| {
            a.1.at
                .partial_cmp(&b.1.at)
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        let mut told = String::new();
        for (
            id,
            TraceLine {
                time, sender, text, ..
            },
        ) in lines
        {
            let _ = writeln!(told, "{time:>10} {sender:<8} {id} {text}");
        }
        for id in ids {
            let wrong = self.messages[id].wrong(self.newest);
            let _ = writeln!(
                told,
                "{id}: {}",
                if wrong.is_empty() {
                    "kept".into()
                } else {
                    format!("{wrong:?}")
                }
            );
        }
        Some(told)
    }

    /// All messages whose life went wrong, and how.
    pub fn faulty_messages(&self) -> Vec<(&str, Vec<LifecycleFault>)> {
        let all = self
            .messages
            .iter()
            .map(|(id, m)| (id.as_str(), m.wrong(self.newest)));
        all.filter(|(_, wrong)| !wrong.is_empty()).collect()
    }

    /// Messages that some log has.
    pub fn message_count(&self) -> usize {
        self.messages.len()
    }
}

impl Message {
    /// When its time is up, in seconds, as last told with a time.
    fn up(&self) -> Option<f64> {
        self.lines.iter().rev().find_map(|l| {
            let taken_up = l.text.strip_prefix(step::RESUMED);
            let taken_on = l
                .text
                .strip_prefix(step::ACCEPTED)
                .and_then(|t| t.rsplit(", ").next());
            let left = seconds(taken_up.or(taken_on)?.split(' ').next()?)?;
            if let Timestamp::Seconds(at) = l.at {
                Some(at + left)
            } else {
                None
            }
        })
    }

    fn wrong(&self, newest: f64) -> Vec<LifecycleFault> {
        let steps = |word| {
            self.lines
                .iter()
                .filter_map(move |l| l.text.strip_prefix(word))
        };
        let count = |word| steps(word).count();
        let (ends, taken_up) = (|| steps(step::DECIDED), || steps(step::RESUMED));
        let owed = count(step::ACKNOWLEDGED) + count(step::RESUMED) > 0;
        // A call that was out when its process was killed may stand in the journal and in no log.
        let unsent = count(step::ATTEMPT) == 0 && taken_up().all(|t| t.contains(" 0 calls made"));
        let held = self.up().is_some_and(|up| newest < up);
        let failed = ends().any(|e| e.contains(" Undeliverable"));
        let late = ends().any(|e| e.ends_with(" 0ns left"));
        // Its time ran out between two processes: nobody could have been in time.
        let gone = taken_up().any(|t| t.starts_with("0ns "));
        // A process that was killed between the end and its telling tells it again, and logs no
        // second end.
        let faults = [
            (
                owed && !held && count(step::DECIDED) + count(step::NOTIFIED) == 0,
                LifecycleFault::NoEnd,
            ),
            (late && !gone, LifecycleFault::Late),
            (unsent && failed, LifecycleFault::FailedUnsent),
            (
                count(step::DECIDED) > count(step::ACCEPTED).max(1),
                LifecycleFault::TwoEnds,
            ),
        ];
        faults.into_iter().filter(|f| f.0).map(|f| f.1).collect()
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
mod tests {
    use super::*;
    use crate::delivery::Envelope;
    use std::time::Duration;

    fn logs(of: &[(&str, &str)]) -> TraceLogs {
        let mut logs = TraceLogs::default();
        of.iter()
            .for_each(|(sender, text)| logs.read(sender, text.as_bytes()).expect("read"));
        logs
    }

    #[test]
    fn a_life_is_joined_over_senders_in_order_of_time_and_over_ids_of_one_key() {
        let logs = logs(&[
            (
                "n2",
                "10.5 [DEBUG raildeal::delivery::message] b: taken on, class 0, dest 3, key k1, 9s left\n\
                 10.6 [DEBUG raildeal::delivery::message] b: its client is told that it is taken on\n\
                 11.0 [DEBUG raildeal::delivery::message] b: call 1 to p, for 2s\n\
                 11.5 [DEBUG raildeal::delivery::message] b: dest 3 Delivered, 8s left\n",
            ),
            (
                "n1",
                "9.25 [DEBUG raildeal::delivery::message] a: taken on, class 0, dest 3, key k1, 12s left\n\
                 9.5 [INFO  raildeal] n1: something else\n\
                 \u{fffd}\u{0}: no line\n\
                 9.75 [DEBUG raildeal::delivery::message] a: dest 3 Deferred { again_ms: 5 }, 11s left\n",
            ),
        ]);
        let life = logs.lifecycle("b").expect("known");
        let ids: Vec<&str> = life
            .lines()
            .take(6)
            .map(|l| l.split_whitespace().nth(2).expect("an id"))
            .collect();
        assert_eq!(ids, ["a", "a", "b", "b", "b", "b"]);
        assert!(
            life.contains("n1       a taken on") && life.ends_with("a: kept\nb: kept\n"),
            "{life}"
        );
        assert_eq!((logs.lifecycle("c"), logs.message_count()), (None, 2));
    }

    #[test]
    fn messages_without_a_key_have_lives_of_their_own() {
        let taken_on = step::accepted(&Envelope::default(), 0, Duration::from_secs(12));
        let line = |id: &str| format!("1.0 [DEBUG raildeal::delivery::message] {id}: {taken_on}\n");
        let life = logs(&[("n1", &["a", "b"].map(line).concat())])
            .lifecycle("b")
            .expect("known");
        assert_eq!(life.lines().count(), 2, "{life}");
    }

    #[test]
    fn what_is_held_when_the_logs_end_is_not_lost_and_an_id_may_be_used_again() {
        let line = |text: &str| {
            format!(
                "{}\n",
                text.replacen(' ', " [DEBUG raildeal::delivery::message] ", 1)
            )
        };
        let log: String = [
            "1.0 held: taken on, class 0, dest 3, key k, 12s left",
            "1.0 held: its client is told that it is taken on",
            "1.0 lost: taken up with 1500.5ms left, 2 calls made, ran: Some((1, 2))",
            "2.0 sent: taken up with 5s left, 1 calls made, ran: Some((1, 2))",
            "2.1 sent: dest 3 Undeliverable, 4s left",
            "3.0 again: taken on, class 0, dest 3, key k, 12s left",
            "3.1 again: dest 3 Delivered, 11s left",
            "4.0 again: taken on, class 0, dest 3, key l, 12s left",
            "4.1 again: dest 3 Delivered, 11s left",
        ]
        .map(line)
        .concat();
        assert_eq!(
            logs(&[("n1", &log)]).faulty_messages(),
            [("lost", vec![LifecycleFault::NoEnd])]
        );
    }

    #[test]
    fn lives_that_went_wrong_are_found() {
        let line = |text: &str| {
            format!("2026-12-01T10:00:00.000Z DEBUG raildeal::delivery::message] {text}\n")
        };
        let log: String = [
            "lost: its client is told that it is taken on",
            "up: taken up with 3s left, 1 calls made, ran: None",
            "up: dest 1 Deferred { again_ms: 0 }, 1s left",
            "late: dest 1 Delivered, 0ns left",
            "unsent: dest 1 Undeliverable, 2s left",
            "sent: call 1 to p, for 1s",
            "sent: dest 1 Undeliverable, 2s left",
            "twice: dest 1 Delivered, 2s left",
            "twice: dest 1 Delivered, 1s left",
            "again: taken up with 3s left, 0 calls made, ran: None",
            "again: final answer told",
            "gone: taken up with 0ns left, 0 calls made, ran: None",
            "gone: dest 1 Deferred { again_ms: 5 }, 0ns left",
        ]
        .map(line)
        .concat();
        let logs = logs(&[("n1", &log)]);
        let expected = [
            ("late", vec![LifecycleFault::Late]),
            ("lost", vec![LifecycleFault::NoEnd]),
            ("twice", vec![LifecycleFault::TwoEnds]),
            ("unsent", vec![LifecycleFault::FailedUnsent]),
        ];
        assert_eq!(logs.faulty_messages(), expected);
    }
}
