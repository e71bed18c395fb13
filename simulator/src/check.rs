//! The rules, checked on what happened alone.

use crate::log::{Fact, See, Verdict};
use crate::partner::{in_seconds, SECOND};
use raildeal::{Class, DedupScope, DestinationId, Effect, Nanos, Outcome, Settings};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Nothing new goes to an endpoint for longer than this after its sender heard that it drains.
const DRAIN: Nanos = SECOND / 4;
/// A partner is toppled by the senders if this part of what pushed it came from those that had seen
/// it fail.
const WARNED: f64 = 2.0 / 3.0;
/// Breaches that are kept word for word.
const KEPT: usize = 20;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each message that is taken on has one final answer.
    OneAnswer,
    /// And has it in time.
    InTime,
    /// Never two attempts at one message out.
    OneOut,
    /// No more attempts than are allowed.
    Attempts,
    /// Repeats only as the class allows.
    Repeats,
    /// Nothing new to an endpoint that drains.
    Drains,
    /// Told waits are kept.
    Waits,
    /// A partner that returns cold is not pushed over.
    Toppled,
    /// A partner that is back gets its messages again.
    FailBack,
    /// Each message that was due is delivered, failed or given up by its client: none is just gone.
    Accounted,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "one final answer",
            Rule::InTime => "in time",
            Rule::OneOut => "never two attempts out",
            Rule::Attempts => "attempts",
            Rule::Repeats => "repeats within the class",
            Rule::Drains => "drains kept",
            Rule::Waits => "waits kept",
            Rule::Toppled => "no cold partner toppled",
            Rule::FailBack => "fail-back",
            Rule::Accounted => "all accounted for",
        })
    }
}

/// A message that is held.
struct Held {
    sender: u16,
    dest: DestinationId,
    class: u16,
    by: Nanos,
    out: Option<(Nanos, u16)>,
    calls: u32,
    /// The first attempt that may have run: when it was sent, and in which building.
    ran: Option<(Nanos, u16)>,
}

/// Follows a day and notes each breach of a rule.
pub struct Checker {
    classes: Vec<Class>,
    most: u32,
    patience: Nanos,
    held: FxHashMap<u32, Held>,
    /// Messages that are neither over nor held: with their clients, or on the way.
    abroad: FxHashMap<u32, DestinationId>,
    waits: FxHashMap<(u16, DestinationId, Option<u32>), Nanos>,
    gone: FxHashMap<(u16, u32), Nanos>,
    /// Senders that run.
    up: BTreeSet<u16>,
    /// Partners that came back and senders that did not call them since: when, and when such a
    /// sender first took a message on for them after that.
    back: BTreeMap<(DestinationId, u16), (Nanos, Option<Nanos>)>,
    counts: BTreeMap<Rule, u64>,
    told: Vec<String>,
}

impl Checker {
    /// By the settings that the senders have.
    pub fn new(settings: &Settings) -> Self {
        // As long as the longest message may be held, a partner that returns may be left alone.
        let patience = settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0)
            + settings.slow_start_duration;
        Checker {
            classes: settings.classes.clone(),
            most: settings.max_attempts,
            patience,
            held: FxHashMap::default(),
            abroad: FxHashMap::default(),
            waits: FxHashMap::default(),
            gone: FxHashMap::default(),
            up: BTreeSet::new(),
            back: BTreeMap::new(),
            counts: BTreeMap::new(),
            told: Vec::new(),
        }
    }

    /// How often each rule was broken.
    pub fn counts(&self) -> &BTreeMap<Rule, u64> {
        &self.counts
    }

    /// The first breaches, word for word.
    pub fn told(&self) -> &[String] {
        &self.told
    }

    /// The day is over.
    pub fn finish(&mut self, now: Nanos) {
        let mut left: Vec<(u32, u16)> = self.held.iter().map(|(m, h)| (*m, h.sender)).collect();
        left.sort();
        for (message, sender) in left {
            self.breach(
                now,
                Rule::OneAnswer,
                format!("message {message} at sender {sender} has none"),
            );
        }
        let mut lost: Vec<u32> = self.abroad.drain().map(|(message, _)| message).collect();
        lost.sort();
        for message in lost {
            self.breach(
                now,
                Rule::Accounted,
                format!("message {message} was due and is nowhere"),
            );
        }
        let late: Vec<(DestinationId, u16)> = self.back.keys().copied().collect();
        late.into_iter().for_each(|at| self.fail_back(now, at));
    }

    fn breach(&mut self, now: Nanos, rule: Rule, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.told.len() < KEPT {
            self.told
                .push(format!("{:.3} s: {rule}: {what}", in_seconds(now)));
        }
    }

    /// A message that is held has its final answer.
    fn over(&mut self, now: Nanos, message: u32) {
        let Some(held) = self.held.remove(&message) else {
            return;
        };
        if now > held.by {
            let late = in_seconds(now - held.by);
            let what = format!(
                "message {message} at sender {} is answered {late:.3} s late",
                held.sender
            );
            self.breach(now, Rule::InTime, what);
        }
    }

    fn call(
        &mut self,
        now: Nanos,
        message: u32,
        sender: u16,
        endpoint: u32,
        dest: DestinationId,
        zone: u16,
    ) {
        let mut breaches = Vec::new();
        match self.held.get_mut(&message) {
            None => breaches.push((Rule::OneAnswer, "a call after the final answer".to_string())),
            Some(held) => {
                if held.sender != sender {
                    breaches.push((Rule::OneOut, format!("held by sender {}", held.sender)));
                }
                if held.out.is_some() {
                    breaches.push((Rule::OneOut, "one is out".to_string()));
                }
                if held.calls >= self.most {
                    breaches.push((Rule::Attempts, format!("{} were made", held.calls)));
                }
                let class = &self.classes[usize::from(held.class)];
                let near = |in_zone: u16| class.dedup_scope == DedupScope::All || in_zone == zone;
                let allowed = match (class.effect, held.ran) {
                    (_, None) | (Effect::Idempotent, _) => true,
                    (Effect::NotIdempotent, Some(_)) => false,
                    (Effect::IdempotentWithKey, Some((at, in_zone))) => {
                        near(in_zone) && now < at + class.dedup_window
                    }
                };
                if !allowed {
                    breaches.push((Rule::Repeats, format!("it may have run: {:?}", held.ran)));
                }
                held.calls += 1;
                held.out = Some((now, zone));
            }
        }
        if self
            .gone
            .get(&(sender, endpoint))
            .is_some_and(|since| now > since + DRAIN)
        {
            breaches.push((Rule::Drains, "it drains".to_string()));
        }
        for gate in [None, Some(endpoint)] {
            if self
                .waits
                .get(&(sender, dest, gate))
                .is_some_and(|until| now < *until)
            {
                breaches.push((Rule::Waits, "its wait runs".to_string()));
            }
        }
        for (rule, what) in breaches {
            let what = format!(
                "sender {sender} calls endpoint {endpoint} of {dest} for message {message}: {what}"
            );
            self.breach(now, rule, what);
        }
        self.back.remove(&(dest, sender));
    }

    fn fail_back(&mut self, now: Nanos, (dest, sender): (DestinationId, u16)) {
        let Some((at, Some(due))) = self.back.get(&(dest, sender)).copied() else {
            return;
        };
        if now > due + self.patience {
            self.back.remove(&(dest, sender));
            let (at, due) = (in_seconds(at), in_seconds(due));
            let what = format!(
                "partner {dest} is back since {at:.3} s; sender {sender} has messages since {due:.3} s and does not call"
            );
            self.breach(now, Rule::FailBack, what);
        }
    }
}

impl See for Checker {
    fn see(&mut self, now: Nanos, fact: &Fact) {
        match *fact {
            Fact::TakenOn {
                message,
                sender,
                class,
                by,
            } => {
                let Some(dest) = self.abroad.remove(&message) else {
                    let what = format!("message {message} is taken on, and nobody had it");
                    return self.breach(now, Rule::Accounted, what);
                };
                if let Some((_, due)) = self.back.get_mut(&(dest, sender)) {
                    due.get_or_insert(now);
                    self.fail_back(now, (dest, sender));
                }
                let held = Held {
                    sender,
                    dest,
                    class,
                    by,
                    out: None,
                    calls: 0,
                    ran: None,
                };
                if self.held.insert(message, held).is_some() {
                    self.breach(
                        now,
                        Rule::OneAnswer,
                        format!("message {message} is taken on twice"),
                    );
                }
            }
            Fact::Ended {
                message,
                sender,
                verdict,
            } => match self.held.get(&message).map(|h| h.dest) {
                None => {
                    let what =
                        format!("sender {sender} answers message {message}, which is not held");
                    self.breach(now, Rule::OneAnswer, what);
                }
                Some(dest) => {
                    if verdict == Verdict::Refused {
                        // It is its client's again, which says what becomes of it.
                        self.abroad.insert(message, dest);
                    }
                    self.over(now, message);
                }
            },
            Fact::GaveUp { message } => {
                if self.abroad.remove(&message).is_none() {
                    let what =
                        format!("message {message} is given up, and its client did not have it");
                    self.breach(now, Rule::Accounted, what);
                }
            }
            Fact::Call {
                message,
                sender,
                endpoint,
                dest,
                zone,
            } => {
                self.call(now, message, sender, endpoint, dest, zone);
            }
            Fact::Answer {
                message, outcome, ..
            } => {
                if let Some(held) = self.held.get_mut(&message) {
                    let out = held.out.take();
                    let never = matches!(
                        outcome,
                        Outcome::Rejected { .. }
                            | Outcome::ConnectFailed
                            | Outcome::NotSent
                            | Outcome::Delivered
                    );
                    if !never && held.ran.is_none() {
                        held.ran = out;
                    }
                }
            }
            Fact::Wait {
                sender,
                dest,
                endpoint,
                until,
            } => {
                let wait = self.waits.entry((sender, dest, endpoint)).or_insert(0);
                *wait = until.max(*wait);
            }
            Fact::Listed {
                sender,
                endpoint,
                ready,
            } => {
                if ready {
                    self.gone.remove(&(sender, endpoint));
                } else {
                    self.gone.entry((sender, endpoint)).or_insert(now);
                }
            }
            Fact::Died { sender } => {
                // What was out may have run; what it was told is forgotten, but not by its journal.
                for held in self.held.values_mut().filter(|h| h.sender == sender) {
                    if let Some(out) = held.out.take() {
                        held.ran.get_or_insert(out);
                    }
                }
                self.up.remove(&sender);
                self.back.retain(|(_, s), _| *s != sender);
                self.waits.retain(|(s, ..), _| *s != sender);
                self.gone.retain(|(s, _), _| *s != sender);
            }
            Fact::Began { sender } => {
                self.up.insert(sender);
                // What ran out of time while nobody was there to answer is owed its answer from now
                // on.
                for held in self.held.values_mut().filter(|h| h.sender == sender) {
                    held.by = held.by.max(now);
                }
            }
            Fact::Back { dest } => {
                self.back
                    .extend(self.up.iter().map(|sender| ((dest, *sender), (now, None))));
            }
            Fact::Due { dest, message, .. } => drop(self.abroad.insert(message, dest)),
            Fact::Toppled { dest, warned } if warned >= WARNED => {
                let what = format!(
                    "partner {dest}, by senders of which {:.0}% knew",
                    warned * 100.0
                );
                self.breach(now, Rule::Toppled, what);
            }
            Fact::Toppled { .. } | Fact::TurnedAway { .. } | Fact::Trouble { .. } => {}
        }
    }
}
