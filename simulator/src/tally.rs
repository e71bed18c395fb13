//! What a day came to: worth, latencies, counts, and each second of it.

use crate::log::{Fact, See, Verdict};
use crate::partner::{in_seconds, SECOND};
use hdrhistogram::Histogram;
use raildeal::{DestinationId, Nanos, Outcome, Settings};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The worst stretch of a day is looked for over so many seconds, and weighs this much.
const WORST: (usize, f64) = (10, 0.25);

/// One second of a day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Worth of the messages that were due first in it.
    pub asked: f64,
    /// What of it was delivered, whenever.
    pub gained: f64,
    /// Messages delivered in it.
    pub delivered: u32,
    /// Messages refused in it, at the door or later.
    pub refused: u32,
    /// Calls begun in it.
    pub calls: u32,
    /// Calls refused in it.
    pub full: u32,
    /// Calls begun in it to partners that are cold after an outage.
    pub cold: u32,
    /// Sum of the ages of what was delivered in it, in seconds.
    pub ages: f64,
}

/// Follows a day.
pub struct Tally {
    settings: Settings,
    /// When each message that is not over was first due, and its class.
    due: FxHashMap<u32, (Nanos, u16)>,
    seconds: Vec<Second>,
    /// Until when partners are cold.
    cold: FxHashMap<DestinationId, Nanos>,
    ages: Histogram<u64>,
    counts: BTreeMap<&'static str, u64>,
}

/// What a day came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    /// Three quarters of the whole and a quarter of the worst ten seconds.
    pub score: f64,
    /// Worth delivered of what was asked.
    pub service: f64,
    /// The same of the worst ten seconds.
    pub worst: f64,
    /// Messages.
    pub messages: u64,
    /// How many of each thing there were.
    pub counts: BTreeMap<String, u64>,
    /// Calls for each message that was delivered.
    pub calls_each: f64,
    /// Ages at delivery, in seconds: half, 90, 99, 99.9 and 99.99 in a hundred are not older.
    pub ages: [f64; 5],
}

impl Tally {
    /// By the settings that the senders have.
    pub fn new(settings: &Settings) -> Self {
        Tally {
            settings: settings.clone(),
            due: FxHashMap::default(),
            seconds: Vec::new(),
            cold: FxHashMap::default(),
            ages: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("an hour in microseconds"),
            counts: BTreeMap::new(),
        }
    }

    /// Each second.
    pub fn seconds(&self) -> &[Second] {
        &self.seconds
    }

    fn second(&mut self, at: Nanos) -> &mut Second {
        let n = (at / SECOND) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize_with(n + 1, Second::default);
        }
        &mut self.seconds[n]
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// What it came to.
    pub fn sum(&self) -> Sum {
        let part = |seconds: &[Second]| {
            let (asked, gained) = seconds
                .iter()
                .fold((0.0, 0.0), |s, n| (s.0 + n.asked, s.1 + n.gained));
            if asked > 0.0 {
                gained / asked
            } else {
                1.0
            }
        };
        let asked = self
            .seconds
            .iter()
            .rposition(|s| s.asked > 0.0)
            .map_or(0, |n| n + 1);
        let seconds = &self.seconds[..asked];
        let service = part(seconds);
        let worst = seconds
            .windows(WORST.0.min(asked.max(1)))
            .map(part)
            .fold(1.0, f64::min);
        let at = |q: f64| self.ages.value_at_quantile(q) as f64 / 1e6;
        let count = |what| self.counts.get(what).copied().unwrap_or(0);
        Sum {
            score: (1.0 - WORST.1) * service + WORST.1 * worst,
            service,
            worst,
            messages: count("due"),
            counts: self
                .counts
                .iter()
                .map(|(what, n)| (what.to_string(), *n))
                .collect(),
            calls_each: count("calls") as f64 / count("delivered").max(1) as f64,
            ages: [0.5, 0.9, 0.99, 0.999, 0.9999].map(at),
        }
    }
}

impl See for Tally {
    fn see(&mut self, now: Nanos, fact: &Fact) {
        match *fact {
            Fact::Due { message, class, .. } => {
                self.count("due");
                self.due.insert(message, (now, class));
                let worth = self.settings.classes[usize::from(class)].priority_weight;
                self.second(now).asked += worth;
            }
            Fact::TakenOn { .. } => self.count("taken on"),
            Fact::TurnedAway { why, .. } => {
                self.count(why);
                self.second(now).refused += 1;
            }
            Fact::Ended {
                message, verdict, ..
            } => match verdict {
                Verdict::Delivered => {
                    self.count("delivered");
                    if let Some((due, class)) = self.due.remove(&message) {
                        let class = &self.settings.classes[usize::from(class)];
                        let (age, decay) = (now - due, self.settings.decay);
                        let worth = if age < class.deadline {
                            class.weight_at_age(age, decay)
                        } else {
                            0.0
                        };
                        self.second(due).gained += worth;
                        self.ages.saturating_record(age / 1000);
                        let second = self.second(now);
                        second.delivered += 1;
                        second.ages += in_seconds(age);
                    }
                }
                Verdict::Refused => {
                    self.count("refused");
                    self.second(now).refused += 1;
                }
                Verdict::Failed => self.count("failed"),
            },
            Fact::Call { dest, .. } => {
                self.count("calls");
                let cold = self.cold.get(&dest).is_some_and(|until| now < *until);
                let second = self.second(now);
                (second.calls, second.cold) = (second.calls + 1, second.cold + u32::from(cold));
            }
            Fact::Back { dest } => drop(
                self.cold
                    .insert(dest, now + self.settings.slow_start_duration),
            ),
            Fact::Answer { outcome, .. } => {
                self.count(match outcome {
                    Outcome::Delivered => "answered",
                    Outcome::Rejected { .. } => "full",
                    Outcome::Error => "errors",
                    Outcome::Timeout => "time-outs",
                    Outcome::ConnectFailed => "no connection",
                    Outcome::Reset | Outcome::Cancelled => "resets",
                    Outcome::NotSent => "called off",
                });
                if let Outcome::Rejected { .. } = outcome {
                    self.second(now).full += 1;
                }
            }
            Fact::Toppled { .. } => self.count("toppled"),
            Fact::Died { .. } => self.count("deaths"),
            Fact::Wait { .. } => self.count("waits told"),
            Fact::GaveUp { .. } => self.count("given up"),
            Fact::Listed { .. } | Fact::Began { .. } | Fact::Trouble { .. } => {}
        }
    }
}
