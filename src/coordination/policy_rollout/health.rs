//! Judges whether a stage of a rollout got worse under its policy, from counts that senders report.
//!
//! [`RolloutHealth`] owns the counts of a rollout and judges its stages; it reads no clock, does no
//! I/O and decides nothing. The rollout owns one for a leader's term and is the only caller. The
//! counts are in `counts`, the bounds on shares in `estimate`, the comparison of a stage with
//! others in `comparison`.
//!
//! **Comparison.** A stage is compared, from its change to the policy on, with the zones that have
//! not changed yet, over the same seconds. The difference that existed before the change is
//! subtracted, with one standard error. The last stage has no other zones left and is compared with
//! itself before the change, less what the other zones got worse by in the meantime. So a
//! disturbance that affects both sides has no effect on the result. Each class and tenant is
//! compared over the last 10 s, the last minute and the whole time since the change, so that a
//! fault that begins late is not hidden by good results from before.
//!
//! **Shares** are bad outcomes relative to accepted messages and not to finished ones: a message
//! that fails takes longer than one that is delivered, and a rejected one ends immediately, so
//! shares of finished messages would be distorted in the first seconds. As a result a stage can
//! look better than it is until its first messages have ended, but never worse.
//!
//! **Enough messages.** A stage is complete only when the observations rule out that it is worse by
//! [`sees`](super::plan::Health::sees) (with an error in at most one of thirty checks): for each
//! class and tenant over the last minute, and for all messages together also over the last 10 s.
//! Until then there are too few messages to judge. So a policy that is worse by that much does not
//! pass its first stage, even with little traffic.
//!
//! **Certainty.** The bounds of a share are Chernoff bounds by relative entropy, which hold for any
//! number of messages and far out in the tails, where those of the normal distribution do not. The
//! counts are scaled by how much more neighbouring spans differ than chance explains, because
//! messages end in bursts; the largest such step is left out, as a policy that turns worse causes
//! one. All checks, classes, tenants, shares and windows of a stage share one
//! [`FALSE_ALARM_PROBABILITY`] (Bonferroni correction).

use crate::coordination::messages;
use crate::coordination::policy_rollout::plan::Plan;
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

mod comparison;
mod counts;
mod estimate;

use comparison::{Comparison, Observed, Window};
use counts::{MessageCounts, ShareKind, SpanHistory};

/// Probability, over all checks of a stage, that an equally good policy is judged to be worse.
const FALSE_ALARM_PROBABILITY: f64 = 1e-3;
/// At most one check in this number lets a stage pass that is worse by
/// [`super::plan::Health::sees`].
const LOOKS_PER_MISS: f64 = 30.0;
/// Length of a span, the interval by which counts are kept, in nanoseconds. A stage is judged once
/// per span.
pub const SPAN: Nanos = 2_000_000_000;
/// Spans of the longest window, and of the time before a change that a stage is compared with: one
/// minute.
const LONG_WINDOW_SPANS: u64 = 30;
/// Spans of the shorter window: 10 s.
const SHORT_WINDOW_SPANS: u64 = 5;
/// Most groups (a class and tenant of one stage) that are counted separately; messages of further
/// groups count only in the total of their stage. Limits the memory that reports can occupy in the
/// leader.
const MAX_GROUPS: usize = 2_000;
/// Share of the messages from which a class and tenant has to be judged before a stage is complete.
const LEAST_JUDGED_SHARE: f64 = 0.02;
/// Most lines of one report that are read.
const MAX_REPORT_LINES: usize = 1_000;

/// The messages of one class and tenant, or of all of them together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TrafficGroup {
    /// Name of the class; empty for all classes and tenants.
    class: String,
    tenant: u16,
}

impl TrafficGroup {
    fn all() -> TrafficGroup {
        TrafficGroup {
            class: String::new(),
            tenant: 0,
        }
    }

    fn of(line: &messages::MessageOutcomeCounts) -> TrafficGroup {
        TrafficGroup {
            class: line.class.clone(),
            tenant: line.tenant,
        }
    }

    fn is_all(&self) -> bool {
        self.class.is_empty()
    }

    /// Describes the group for operators.
    fn describe(&self) -> String {
        if self.is_all() {
            return "all classes".into();
        }
        format!("class {} of tenant {}", self.class, self.tenant)
    }
}

/// A traffic group of one stage.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StageGroup {
    stage: usize,
    group: TrafficGroup,
}

/// Message counts of a rollout that a leader has observed. Empty when a leader's term begins.
#[derive(Clone, Debug, Default)]
pub struct RolloutHealth {
    histories: BTreeMap<StageGroup, SpanHistory>,
    /// First span that lies completely after the change of the observed stage.
    first_span: u64,
    /// Counts of the minute before that change.
    before_change: BTreeMap<StageGroup, MessageCounts>,
}

/// Result of judging a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum StageVerdict {
    /// The stage is worse than the bounds allow; names the share and the difference.
    Worse(String),
    /// The counts show no deterioration.
    Healthy,
    /// The counts show no deterioration, but there are too few messages to rule it out; names what
    /// is missing.
    TooFewMessages(String),
}

impl RolloutHealth {
    /// Clears all counts, when a rollout begins or ends.
    pub fn clear(&mut self) {
        *self = RolloutHealth::default();
    }

    /// Adds the report of a sender whose zone is in a stage.
    ///
    /// `only_policy` is the policy of a stage that has changed to it: in that stage only messages
    /// count that were accepted under this policy.
    pub fn record_report(
        &mut self,
        now: Nanos,
        stage: usize,
        only_policy: Option<u64>,
        lines: &[messages::MessageOutcomeCounts],
    ) {
        let span = now / SPAN;
        let counted = lines
            .iter()
            .take(MAX_REPORT_LINES)
            .filter(|line| !line.class.is_empty())
            .filter(|line| only_policy.is_none_or(|policy| line.policy == policy));
        for line in counted {
            let counts = MessageCounts::of(line);
            let all = TrafficGroup::all();
            self.add(span, StageGroup { stage, group: all }, &counts);
            let group = TrafficGroup::of(line);
            let key = StageGroup { stage, group };
            if self.histories.len() < MAX_GROUPS || self.histories.contains_key(&key) {
                self.add(span, key, &counts);
            }
        }
    }

    fn add(&mut self, span: u64, key: StageGroup, counts: &MessageCounts) {
        let first_span = self.first_span;
        let history = self.histories.entry(key).or_default();
        history.add(span, first_span, counts);
    }

    /// Records that a stage changes to its policy, and keeps the counts from before for the
    /// comparison.
    pub fn on_stage_changed(&mut self, now: Nanos) {
        let span = now / SPAN;
        let first = span.saturating_sub(LONG_WINDOW_SPANS);
        self.before_change = self
            .histories
            .iter()
            .map(|(key, history)| (key.clone(), history.between(first, span)))
            .collect();
        self.restart_observation(now);
    }

    /// Restarts the observation of the stage. It is still compared with the time before its change.
    pub fn restart_observation(&mut self, now: Nanos) {
        self.first_span = now / SPAN + 1;
        for history in self.histories.values_mut() {
            history.since_change = MessageCounts::default();
        }
    }

    /// Returns the number of messages that arrived in a stage since the change.
    pub fn messages_since_change(&self, stage: usize) -> u64 {
        let group = TrafficGroup::all();
        self.histories
            .get(&StageGroup { stage, group })
            .map_or(0, |history| history.since_change.offered)
    }

    /// Judges a stage that has changed to its policy.
    pub fn judge(&self, now: Nanos, stage: usize, plan: &Plan) -> StageVerdict {
        let groups: BTreeSet<&TrafficGroup> = self.histories.keys().map(|key| &key.group).collect();
        let certainty = certainty(groups.len(), plan);
        let comparison = Comparison::new(self, stage, plan, now / SPAN);
        let mut too_few = self.lacking_messages(&comparison, stage, plan, &groups);
        for group in &groups {
            let bounds = plan.bounds(&group.class);
            for kind in ShareKind::ALL {
                let bound = kind.bound(&bounds);
                let dispersion = comparison.dispersion(group, kind);
                for window in Window::ALL {
                    let Some(observed) = comparison.observe(group, kind, dispersion, window) else {
                        continue;
                    };
                    if observed.is_worse(bound, certainty) {
                        let why = comparison.describe_worse(group, kind, &observed);
                        return StageVerdict::Worse(why);
                    }
                    if too_few.is_none() && comparison.has_to_be_sure(group, window, &observed) {
                        let allowed = observed.expected() + bound + plan.health.sees;
                        too_few = describe_uncertainty(group, kind, &observed, allowed);
                    }
                }
            }
        }
        too_few.map_or(StageVerdict::Healthy, StageVerdict::TooFewMessages)
    }

    /// Describes which messages a stage lacks: in total, or of a class and tenant that has a share
    /// of the messages elsewhere or had one before.
    fn lacking_messages(
        &self,
        comparison: &Comparison<'_>,
        stage: usize,
        plan: &Plan,
        groups: &BTreeSet<&TrafficGroup>,
    ) -> Option<String> {
        let offered = self.messages_since_change(stage);
        if offered < u64::from(plan.least) {
            return Some(format!("{offered} messages of {}", plan.least));
        }
        let least = (f64::from(plan.least) * LEAST_JUDGED_SHARE).ceil() as u64;
        groups.iter().find_map(|group| {
            let own = self.sum(&[stage], group, |history| history.since_change);
            let lacks = comparison.has_judged_share(group) && own.offered < least;
            lacks.then(|| format!("{}: {} messages of {least}", group.describe(), own.offered))
        })
    }

    /// Adds up the counts of a traffic group over some stages.
    fn sum(
        &self,
        stages: &[usize],
        group: &TrafficGroup,
        counts: impl Fn(&SpanHistory) -> MessageCounts,
    ) -> MessageCounts {
        let mut sum = MessageCounts::default();
        for stage in stages {
            if let Some(history) = self.histories.get(&stage_group(*stage, group)) {
                sum.add(&counts(history));
            }
        }
        sum
    }

    /// Adds up the counts of a traffic group in the minute before the change, over some stages.
    fn sum_before_change(&self, stages: &[usize], group: &TrafficGroup) -> MessageCounts {
        let mut sum = MessageCounts::default();
        for stage in stages {
            if let Some(counts) = self.before_change.get(&stage_group(*stage, group)) {
                sum.add(counts);
            }
        }
        sum
    }
}

fn stage_group(stage: usize, group: &TrafficGroup) -> StageGroup {
    StageGroup {
        stage,
        group: group.clone(),
    }
}

/// Returns the certainty that each single bound needs, as the negative logarithm of its probability
/// of error: all checks of a stage share [`FALSE_ALARM_PROBABILITY`].
fn certainty(groups: usize, plan: &Plan) -> f64 {
    let looks = plan.max_soak_s() as f64 / (SPAN as f64 / 1e9) + 1.0;
    let bounds_per_group = ShareKind::ALL.len() * Window::ALL.len();
    let bounds = groups.max(1) as f64 * bounds_per_group as f64 * looks;
    (2.0 * bounds / FALSE_ALARM_PROBABILITY).ln()
}

/// Describes for operators that a share may still be worse than allowed; `None` where that is ruled
/// out.
fn describe_uncertainty(
    group: &TrafficGroup,
    kind: ShareKind,
    observed: &Observed,
    allowed: f64,
) -> Option<String> {
    let highest = observed.own.upper_bound(LOOKS_PER_MISS.ln());
    if highest <= allowed {
        return None;
    }
    Some(format!(
        "{}: by {} messages up to {:.0} in 100 may be {}, and {:.0} may not",
        group.describe(),
        observed.own.total,
        highest * 100.0,
        kind.label(),
        allowed * 100.0
    ))
}

#[cfg(test)]
mod tests;
