//! The policy state in the record: the register of each zone, the policy texts, the current rollout
//! and the past ones.
//!
//! Each change is based on a turn and has no effect where another change was applied first (compare
//! and set), so that every decision applies to the state that it was made from. Nothing here reads
//! a clock; times are the record's own.

use crate::coordination::messages::Digest;
use crate::coordination::policy_rollout::plan::Plan;
use crate::coordination::truncate_utf8;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most policies whose text is kept: those in force, being rolled out, being rolled back to, and
/// the most recent earlier ones.
pub const MAX_TEXTS: usize = 8;
/// Most past rollouts that are kept and reported.
pub const MAX_PAST_ROLLOUTS: usize = 50;
/// Longest reason that is stored, in bytes: enough for several lines of faults.
const MAX_REASON_BYTES: usize = 1_000;

/// The policy in force in a zone. A zone without a register has number 0: each sender's own
/// settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// Number of the policy.
    pub number: u64,
    /// Whether nothing new is accepted.
    pub paused: bool,
    /// Turn of the change that set this register.
    pub turn: u64,
}

/// A stored policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredPolicy {
    /// Digest of the policy.
    pub digest: Digest,
    /// Text of the policy.
    pub text: String,
}

/// Progress of a rollout within its stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// The stage has not changed yet: senders check the policy, and the zones are observed.
    #[default]
    Ready,
    /// The zones of the stage are paused.
    Paused,
    /// The policy is in force in the zones of the stage and is observed.
    Soaking,
}

/// A rollout in progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Number of its policy; the lowest one, where it rolls back to several.
    pub number: u64,
    /// Number of the policy that it rolls back; 0 for none.
    pub back_of: u64,
    /// Number of the policy in each zone of the plan after the rollout.
    pub to: BTreeMap<String, u64>,
    /// Number of the policy in each zone of the plan before the rollout.
    pub from: BTreeMap<String, u64>,
    /// Plan of the rollout.
    pub plan: Plan,
    /// Current stage, as a position in the plan.
    pub stage: u32,
    /// Progress within the stage.
    pub step: Step,
    /// Number of pauses of this stage that were revoked.
    pub tries: u32,
    /// Reason for which the rollout is halted.
    pub halted: Option<String>,
    /// Number of times that the rollout was halted.
    pub halts: u32,
    /// Index of the log entry at which this step began.
    pub at: u64,
    /// Time at which the rollout began, in milliseconds of the record's clock.
    pub begun_ms: u64,
    /// Time at which this step began, in milliseconds of the record's clock.
    pub since_ms: u64,
}

impl Rollout {
    /// Returns the zones of the stage.
    pub fn zones(&self) -> &[String] {
        self.plan
            .stage
            .get(self.stage as usize)
            .map_or(&[], |stage| &stage.zones)
    }

    /// Returns the number of stages in which its policy is in force.
    pub fn in_force(&self) -> usize {
        self.stage as usize + usize::from(self.step == Step::Soaking)
    }

    /// Returns whether the current stage is the last one.
    pub fn is_last(&self) -> bool {
        self.stage as usize + 1 >= self.plan.stage.len()
    }

    /// Returns the numbers of its policies.
    pub fn numbers(&self) -> BTreeSet<u64> {
        self.to.values().copied().collect()
    }
}

/// A rollout that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedRollout {
    /// Number of its policy.
    pub number: u64,
    /// Number of the policy that it rolled back; 0 for none.
    pub back_of: u64,
    /// Digest of the policy.
    pub digest: Digest,
    /// Number of stages in which the policy was in force, and number of all stages.
    pub stages: (u32, u32),
    /// Description of how the rollout ended.
    pub end: String,
    /// Number of times that it was halted.
    pub halts: u32,
    /// Time at which it began, in milliseconds of the record's clock.
    pub begun_ms: u64,
    /// Time at which it ended, in milliseconds of the record's clock.
    pub ended_ms: u64,
}

/// A change of the policy state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Starts the rollout of a policy, which gets the next number.
    Propose {
        /// Text of the policy.
        text: String,
        /// Digest of the policy.
        digest: Digest,
        /// Plan of the rollout.
        plan: Plan,
    },
    /// Makes the stage's zones stop accepting new messages.
    Pause,
    /// Puts the policy in force in the stage's zones.
    Commit,
    /// Revokes the pause: the zones continue under the earlier policy, as some senders did not
    /// answer in time.
    TakeBack {
        /// Names of those senders, as many as fit.
        silent: String,
    },
    /// Completes the stage.
    Next,
    /// Halts the rollout until an operator resumes it; a pause is revoked.
    Halt {
        /// Reason for the halt.
        why: String,
    },
    /// Resumes the rollout.
    Resume,
    /// Rolls back to what was in force before, stage by stage, the last one first.
    Back {
        /// Digest of the policy that sets nothing.
        own: Digest,
    },
    /// Ends the rollout before it changed anything.
    End {
        /// Reason for the end.
        why: String,
    },
}

/// All policy state in the record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policies {
    /// Turn of the last change; grows by one with each change.
    pub turn: u64,
    /// Index of the log entry of the last change.
    pub at: u64,
    /// Register of each zone.
    pub zones: BTreeMap<String, Register>,
    /// Highest policy number that was assigned.
    pub last_number: u64,
    /// Stored policies by number.
    pub texts: BTreeMap<u64, StoredPolicy>,
    /// Rollout in progress.
    pub rollout: Option<Rollout>,
    /// Last rollout that was completed and can still be rolled back.
    pub last: Option<Rollout>,
    /// Rollouts that have ended, the newest last.
    pub past: VecDeque<EndedRollout>,
}

impl Policies {
    /// Returns what is in force in a zone.
    pub fn register(&self, zone: &str) -> Register {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// Returns the digest of a policy; `None` for 0 and for policies that are no longer stored.
    pub fn digest(&self, number: u64) -> Option<Digest> {
        self.texts.get(&number).map(|t| t.digest)
    }

    /// Applies a change that was based on the turn `base`. A change has no effect where another one
    /// was applied first, or where it does not fit the state.
    pub fn apply(&mut self, index: u64, clock_ms: u64, base: u64, change: &Change) {
        if base == self.turn && self.try_apply(index, clock_ms, change).is_some() {
            (self.turn, self.at) = (self.turn + 1, index);
            self.remove_old_texts();
        }
    }

    /// Checks whether a proposal fits beside what is in force, and returns the reason where it does
    /// not.
    pub fn check_capacity(&self, plan: &Plan, most_zones: usize) -> Result<(), String> {
        let zones: BTreeSet<&String> = self.zones.keys().chain(plan.zones()).collect();
        if zones.len() > most_zones {
            return Err(format!("the record can name at most {most_zones} zones"));
        }
        // One number for the proposal, and one for each policy in its zones that a rollback may
        // need.
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
        if kept + 1 + before.len() > MAX_TEXTS {
            return Err(format!(
                "{kept} policies are in force at once; roll out one policy to several of these zones first"
            ));
        }
        Ok(())
    }

    fn try_apply(&mut self, index: u64, now: u64, change: &Change) -> Option<()> {
        let turn = self.turn + 1;
        match change {
            Change::Propose { text, digest, plan } => {
                if self.rollout.is_some() || plan.stage.is_empty() {
                    return None;
                }
                self.last_number += 1;
                let number = self.last_number;
                self.texts.insert(
                    number,
                    StoredPolicy {
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
                self.end_pauses(turn);
            }
            Change::Next => {
                let r = self
                    .rollout
                    .as_mut()
                    .filter(|r| r.step == Step::Soaking && r.halted.is_none())?;
                if r.is_last() {
                    let r = self.rollout.take()?;
                    self.add_past(&r, now, "done");
                    self.last = Some(r).filter(|r| r.back_of == 0);
                } else {
                    (r.stage, r.step, r.at, r.since_ms) = (r.stage + 1, Step::Ready, index, now);
                }
            }
            Change::Halt { why } => {
                let r = self.rollout.as_mut().filter(|r| r.halted.is_none())?;
                (r.halted, r.halts, r.at) = (
                    Some(truncate_utf8(why, MAX_REASON_BYTES)),
                    r.halts.saturating_add(1),
                    index,
                );
                if r.step == Step::Paused {
                    (r.step, r.since_ms) = (Step::Ready, now);
                    self.end_pauses(turn);
                }
            }
            Change::Resume => {
                let r = self.rollout.as_mut().filter(|r| r.halted.is_some())?;
                (r.halted, r.tries, r.at, r.since_ms) = (None, 0, index, now);
            }
            Change::Back { own } => self.roll_back(index, now, own)?,
            Change::End { why } => {
                let r = self
                    .rollout
                    .as_ref()
                    .filter(|r| r.in_force() == 0 && r.step == Step::Ready)?;
                let r = r.clone();
                self.add_past(&r, now, &truncate_utf8(why, MAX_REASON_BYTES));
                self.rollout = None;
            }
        }
        Some(())
    }

    /// Ends the pause of all paused zones, which continue under their current policy.
    fn end_pauses(&mut self, turn: u64) {
        for register in self.zones.values_mut().filter(|r| r.paused) {
            (register.paused, register.turn) = (false, turn);
        }
    }

    fn roll_back(&mut self, index: u64, now: u64, own: &Digest) -> Option<()> {
        let turn = self.turn + 1;
        let r = match (&self.rollout, &self.last) {
            (Some(r), _) | (None, Some(r)) if r.back_of == 0 => r.clone(),
            _ => return None,
        };
        let running = self.rollout.take().is_some();
        self.last = None;
        self.end_pauses(turn);
        // A completed rollout is in force in all stages.
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
            self.add_past(&r, now, how);
        }
        if stages == 0 {
            return Some(());
        }
        let plan = Plan {
            stage: r.plan.stage[..stages].iter().rev().cloned().collect(),
            ..r.plan.clone()
        };
        // Each distinct policy that is rolled back to gets one new number. Where no policy was in
        // force before, that is the policy that sets nothing.
        let mut numbers: BTreeMap<Digest, u64> = BTreeMap::new();
        let mut to = BTreeMap::new();
        for zone in plan.zones() {
            let before = r.from.get(zone).copied().unwrap_or_default();
            let text = self.texts.get(&before).cloned().filter(|_| before != 0);
            let text = text.unwrap_or(StoredPolicy {
                digest: *own,
                text: String::new(),
            });
            let number = *numbers.entry(text.digest).or_insert_with(|| {
                self.last_number += 1;
                self.texts.insert(self.last_number, text);
                self.last_number
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

    fn add_past(&mut self, r: &Rollout, now: u64, end: &str) {
        if self.past.len() >= MAX_PAST_ROLLOUTS {
            self.past.pop_front();
        }
        self.past.push_back(EndedRollout {
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

    /// Removes the oldest texts while more than [`MAX_TEXTS`] are stored. Texts that a register or
    /// a rollout refers to are never removed.
    fn remove_old_texts(&mut self) {
        let mut used: BTreeSet<u64> = self.zones.values().map(|r| r.number).collect();
        for r in self.rollout.iter().chain(&self.last) {
            used.extend(r.to.values().chain(r.from.values()));
        }
        while self.texts.len() > MAX_TEXTS {
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
