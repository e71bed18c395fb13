//! What the record holds of policies: the register of each zone, texts, the rollout that runs, and
//! those before.
//!
//! Each change is based on a turn and is void where another one came first (compare and set). What
//! it decides is therefore decided about the record as it stands. Nothing here reads a clock; times
//! are the record's own.

use crate::coordination::messages::Digest;
use crate::coordination::policy_rollout::plan::Plan;
use crate::coordination::truncate_utf8;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Policies with their text, at the most: in force, rolled out, gone back to, and the last ones
/// before.
pub const MOST_TEXTS: usize = 8;
/// Rollouts that are over and told.
pub const MOST_PAST: usize = 50;
/// Longest reason that is kept, in bytes: some lines of faults.
const MOST_WHY: usize = 1_000;

/// What is in force in a zone. One that is not named goes by number 0: each sender's own settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// The policy.
    pub number: u64,
    /// Nothing new is taken on.
    pub paused: bool,
    /// The turn that said so.
    pub turn: u64,
}

/// A policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Text {
    /// Its print.
    pub digest: Digest,
    /// Its text.
    pub text: String,
}

/// Where a rollout stands with its stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// The stage is to go over: senders check the policy, and its zones are watched.
    #[default]
    Ready,
    /// Its zones are paused.
    Paused,
    /// The policy is in force there, and is watched.
    Soaking,
}

/// A rollout that runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Its policy; the first of them, where it goes back to several.
    pub number: u64,
    /// The policy that it goes back from; 0 for none.
    pub back_of: u64,
    /// The policy of each zone that it names, after and before it.
    pub to: BTreeMap<String, u64>,
    /// Before it.
    pub from: BTreeMap<String, u64>,
    /// Its plan.
    pub plan: Plan,
    /// Its stage, as a position in the plan.
    pub stage: u32,
    /// Where it stands with that.
    pub step: Step,
    /// Pauses of this stage that were taken back.
    pub tries: u32,
    /// Why it halts.
    pub halted: Option<String>,
    /// How often it did.
    pub halts: u32,
    /// The place of the log at which this step began.
    pub at: u64,
    /// When it began, and when this step did, on the record's clock.
    pub begun_ms: u64,
    /// Of this step.
    pub since_ms: u64,
}

impl Rollout {
    /// Zones of the stage.
    pub fn zones(&self) -> &[String] {
        self.plan
            .stage
            .get(self.stage as usize)
            .map_or(&[], |stage| &stage.zones)
    }

    /// Stages in which its policy is in force.
    pub fn in_force(&self) -> usize {
        self.stage as usize + usize::from(self.step == Step::Soaking)
    }

    /// Whether it is the last stage.
    pub fn is_last(&self) -> bool {
        self.stage as usize + 1 >= self.plan.stage.len()
    }

    /// Its policies.
    pub fn numbers(&self) -> BTreeSet<u64> {
        self.to.values().copied().collect()
    }
}

/// A rollout that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Past {
    /// Its policy.
    pub number: u64,
    /// The policy that it went back from; 0 for none.
    pub back_of: u64,
    /// The policy's print.
    pub digest: Digest,
    /// Stages in which it was in force, and all.
    pub stages: (u32, u32),
    /// How it ended.
    pub end: String,
    /// How often it halted.
    pub halts: u32,
    /// When it began and ended, on the record's clock.
    pub begun_ms: u64,
    /// Ended.
    pub ended_ms: u64,
}

/// A change of all this.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A policy is rolled out; its number is the next one.
    Propose {
        /// Its text.
        text: String,
        /// Its print.
        digest: Digest,
        /// Its plan.
        plan: Plan,
    },
    /// The stage's zones take nothing new on.
    Pause,
    /// They go by the policy from now on.
    Commit,
    /// They go on under the earlier one: these did not answer in time.
    TakeBack {
        /// Their names, as far as there is room.
        silent: String,
    },
    /// The stage is done.
    Next,
    /// Nothing goes on until a person says so; a pause is taken back.
    Halt {
        /// Why.
        why: String,
    },
    /// It goes on.
    Resume,
    /// Back to what was before, stage by stage, the last one first.
    Back {
        /// Print of the policy that says nothing.
        own: Digest,
    },
    /// It ends before it changed anything.
    End {
        /// Why.
        why: String,
    },
}

/// All that the record holds of policies.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policies {
    /// Grows with each change.
    pub turn: u64,
    /// The place of the log of the last one.
    pub at: u64,
    /// The registers.
    pub zones: BTreeMap<String, Register>,
    /// The last number that was given.
    pub given: u64,
    /// Texts by number.
    pub texts: BTreeMap<u64, Text>,
    /// The rollout that runs.
    pub rollout: Option<Rollout>,
    /// The last one that came to its end and may be gone back from.
    pub last: Option<Rollout>,
    /// Those that are over, the newest last.
    pub past: VecDeque<Past>,
}

impl Policies {
    /// What is in force in a zone.
    pub fn register(&self, zone: &str) -> Register {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// The print of a policy; nothing for 0 and those that are not held any more.
    pub fn digest(&self, number: u64) -> Option<Digest> {
        self.texts.get(&number).map(|t| t.digest)
    }

    /// Applies a change that was based on this turn; void where another one came first, or where it
    /// does not fit.
    pub fn apply(&mut self, index: u64, clock_ms: u64, base: u64, change: &Change) {
        if base == self.turn && self.change(index, clock_ms, change).is_some() {
            (self.turn, self.at) = (self.turn + 1, index);
            self.tidy();
        }
    }

    /// Whether a proposal has room beside what is in force: why not.
    pub fn room(&self, plan: &Plan, most_zones: usize) -> Result<(), String> {
        let zones: BTreeSet<&String> = self.zones.keys().chain(plan.zones()).collect();
        if zones.len() > most_zones {
            return Err(format!("the record names {most_zones} zones at the most"));
        }
        // One more for it, and as many to go back to as its zones go by now.
        let before: BTreeSet<u64> = plan
            .zones()
            .map(|zone| self.register(zone).number)
            .collect();
        let kept = self
            .zones
            .values()
            .map(|r| r.number)
            .filter(|n| *n != 0)
            .collect::<BTreeSet<u64>>()
            .len();
        if kept + 1 + before.len() > MOST_TEXTS {
            return Err(format!(
                "{kept} policies are in force at once; bring zones under one first"
            ));
        }
        Ok(())
    }

    fn change(&mut self, index: u64, now: u64, change: &Change) -> Option<()> {
        let turn = self.turn + 1;
        match change {
            Change::Propose { text, digest, plan } => {
                if self.rollout.is_some() || plan.stage.is_empty() {
                    return None;
                }
                self.given += 1;
                let number = self.given;
                self.texts.insert(
                    number,
                    Text {
                        digest: *digest,
                        text: text.clone(),
                    },
                );
                self.rollout = Some(Rollout {
                    number,
                    to: plan.zones().map(|zone| (zone.clone(), number)).collect(),
                    from: plan
                        .zones()
                        .map(|zone| (zone.clone(), self.register(zone).number))
                        .collect(),
                    plan: plan.clone(),
                    at: index,
                    begun_ms: now,
                    since_ms: now,
                    ..Rollout::default()
                });
                self.last = None;
            }
            Change::Pause => {
                let r = self
                    .rollout
                    .as_mut()
                    .filter(|r| r.step == Step::Ready && r.halted.is_none())?;
                (r.step, r.at, r.since_ms) = (Step::Paused, index, now);
                for zone in r.zones() {
                    let register = self.zones.entry(zone.clone()).or_default();
                    (register.paused, register.turn) = (true, turn);
                }
            }
            Change::Commit => {
                let r = self.rollout.as_mut().filter(|r| r.step == Step::Paused)?;
                (r.step, r.tries, r.at, r.since_ms) = (Step::Soaking, 0, index, now);
                for zone in r.zones() {
                    let number = r.to.get(zone).copied().unwrap_or_default();
                    self.zones.insert(
                        zone.clone(),
                        Register {
                            number,
                            paused: false,
                            turn,
                        },
                    );
                }
            }
            Change::TakeBack { .. } => {
                let r = self.rollout.as_mut().filter(|r| r.step == Step::Paused)?;
                (r.step, r.tries, r.at, r.since_ms) =
                    (Step::Ready, r.tries.saturating_add(1), index, now);
                self.go_on(turn);
            }
            Change::Next => {
                let r = self
                    .rollout
                    .as_mut()
                    .filter(|r| r.step == Step::Soaking && r.halted.is_none())?;
                if r.is_last() {
                    let r = self.rollout.take()?;
                    self.over(&r, now, "done");
                    self.last = Some(r).filter(|r| r.back_of == 0);
                } else {
                    (r.stage, r.step, r.at, r.since_ms) = (r.stage + 1, Step::Ready, index, now);
                }
            }
            Change::Halt { why } => {
                let r = self.rollout.as_mut().filter(|r| r.halted.is_none())?;
                (r.halted, r.halts, r.at) = (
                    Some(truncate_utf8(why, MOST_WHY)),
                    r.halts.saturating_add(1),
                    index,
                );
                if r.step == Step::Paused {
                    (r.step, r.since_ms) = (Step::Ready, now);
                    self.go_on(turn);
                }
            }
            Change::Resume => {
                let r = self.rollout.as_mut().filter(|r| r.halted.is_some())?;
                (r.halted, r.tries, r.at, r.since_ms) = (None, 0, index, now);
            }
            Change::Back { own } => self.back(index, now, own)?,
            Change::End { why } => {
                let r = self
                    .rollout
                    .as_ref()
                    .filter(|r| r.in_force() == 0 && r.step == Step::Ready)?;
                let r = r.clone();
                self.over(&r, now, &truncate_utf8(why, MOST_WHY));
                self.rollout = None;
            }
        }
        Some(())
    }

    /// Zones that are paused go on under what they went by.
    fn go_on(&mut self, turn: u64) {
        for register in self.zones.values_mut().filter(|r| r.paused) {
            (register.paused, register.turn) = (false, turn);
        }
    }

    fn back(&mut self, index: u64, now: u64, own: &Digest) -> Option<()> {
        let turn = self.turn + 1;
        let r = match (&self.rollout, &self.last) {
            (Some(r), _) | (None, Some(r)) if r.back_of == 0 => r.clone(),
            _ => return None,
        };
        let running = self.rollout.take().is_some();
        self.last = None;
        self.go_on(turn);
        // One that is over is in force everywhere.
        let stages = if running {
            r.in_force()
        } else {
            r.plan.stage.len()
        };
        if running {
            let how = if stages == 0 {
                "called back before it was in force"
            } else {
                "goes back"
            };
            self.over(&r, now, how);
        }
        if stages == 0 {
            return Some(());
        }
        let plan = Plan {
            stage: r.plan.stage[..stages].iter().rev().cloned().collect(),
            ..r.plan.clone()
        };
        // A number for each policy that is gone back to; what was no policy is one that says
        // nothing.
        let mut numbers: BTreeMap<Digest, u64> = BTreeMap::new();
        let mut to = BTreeMap::new();
        for zone in plan.zones() {
            let before = r.from.get(zone).copied().unwrap_or_default();
            let text = self.texts.get(&before).cloned().filter(|_| before != 0);
            let text = text.unwrap_or(Text {
                digest: *own,
                text: String::new(),
            });
            let number = *numbers.entry(text.digest).or_insert_with(|| {
                self.given += 1;
                self.texts.insert(self.given, text);
                self.given
            });
            to.insert(zone.clone(), number);
        }
        self.rollout = Some(Rollout {
            number: numbers.values().min().copied().unwrap_or_default(),
            back_of: r.number,
            from: plan
                .zones()
                .map(|zone| (zone.clone(), self.register(zone).number))
                .collect(),
            to,
            plan,
            at: index,
            begun_ms: now,
            since_ms: now,
            ..Rollout::default()
        });
        Some(())
    }

    fn over(&mut self, r: &Rollout, now: u64, end: &str) {
        if self.past.len() >= MOST_PAST {
            self.past.pop_front();
        }
        self.past.push_back(Past {
            number: r.number,
            back_of: r.back_of,
            digest: self.digest(r.number).unwrap_or_default(),
            stages: (r.in_force() as u32, r.plan.stage.len() as u32),
            end: end.into(),
            halts: r.halts,
            begun_ms: r.begun_ms,
            ended_ms: now,
        });
    }

    /// Texts that nobody goes by, may go by or may go back to are kept while there is room, the
    /// newest ones.
    fn tidy(&mut self) {
        let mut used: BTreeSet<u64> = self.zones.values().map(|r| r.number).collect();
        for r in self.rollout.iter().chain(&self.last) {
            used.extend(r.to.values().chain(r.from.values()));
        }
        while self.texts.len() > MOST_TEXTS {
            let Some(oldest) = self
                .texts
                .keys()
                .find(|number| !used.contains(number))
                .copied()
            else {
                break;
            };
            self.texts.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
