//! Whether a stage of a rollout is worse for its policy, from counts that senders report.
//!
//! [`RolloutHealth`] owns the counts of a rollout and judges its stages; it reads no clock, does
//! no I/O and decides nothing. The rollout owns one for a leader's term and is the only caller.
//! The counts are in `counts`, the bounds on shares in `estimate`, what a stage is compared with
//! in `comparison`.
//!
//! **What is compared.** A stage, from when it changed to its policy, with the zones that have
//! not, in the same seconds; less what it was worse by before, and a standard error of that. The
//! last stage has nothing left to be compared with at the same time: it is compared with what it
//! was itself, less what the other zones got worse by meanwhile. So what strikes both moves
//! nothing. By class and tenant, in the last 10 s, the last minute and all since the change: what
//! begins later is not drowned in what was good before.
//!
//! **Shares** are bad ends of messages that were accepted, not of ends: a message that fails takes
//! longer than one that is delivered, and one that is rejected ends at once; as a share of ends the
//! first seconds would look like nothing else. So a stage looks better than it is for as long as
//! its messages last, never worse.
//!
//! **When it is enough.** A stage is over only when what was observed of it rules out that it is
//! worse by [`sees`](super::plan::Health::sees) (in one of thirty looks wrongly): each class and
//! tenant in the last minute, all together also in the last 10 s. Until then there are too few
//! messages to judge. So a policy that is worse by that much does not pass its first stage,
//! however little comes there.
//!
//! **How sure.** Bounds of a share are Chernoff's by relative entropy, which hold for any number of
//! messages and far out in the tails, where those of the normal law don't. Counts are widened by
//! how much more neighbouring spans differ than chance alone lets them (ends of messages come in
//! heaps); the largest such step is left out, as a policy that turns worse makes one. All looks,
//! classes, tenants, shares and spans of a stage share one [`FALSE_ALARM_PROBABILITY`]
//! (Bonferroni).

use crate::coordination::messages;
use crate::coordination::policy_rollout::plan::Plan;
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

mod comparison;
mod counts;
mod estimate;

use comparison::{Comparison, Observed, Window};
use counts::{MessageCounts, ShareKind, SpanHistory};

/// Probability, over all that is looked at in a stage, that an equal policy is taken for worse.
const FALSE_ALARM_PROBABILITY: f64 = 1e-3;
/// Looks of which one lets a stage pass that is worse by [`super::plan::Health::sees`], at most.
const LOOKS_PER_MISS: f64 = 30.0;
/// Nanoseconds of a span, by which counts are kept. A stage is judged once a span.
pub const SPAN: Nanos = 2_000_000_000;
/// Spans of the longest window that is looked at, and of the time before a change that a stage is
/// compared with: a minute.
const LONG_WINDOW_SPANS: u64 = 30;
/// Spans of the shorter window: 10 s.
const SHORT_WINDOW_SPANS: u64 = 5;
/// Most classes and tenants of all stages; what comes beyond is counted in the sum of its stage
/// alone. Bounds what reports can make the leader keep.
const MAX_GROUPS: usize = 2_000;
/// A class and tenant with this share of the messages has to be judged before a stage is over.
const LEAST_JUDGED_SHARE: f64 = 0.02;
/// Most lines of one report that are read.
const MAX_REPORT_LINES: usize = 1_000;

/// The messages of a class and tenant, or of all of them together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TrafficGroup {
    /// Empty for all classes and tenants.
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

    /// For operators.
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

/// What a leader has observed of a rollout's messages. Starts empty with each leader.
#[derive(Clone, Debug, Default)]
pub struct RolloutHealth {
    histories: BTreeMap<StageGroup, SpanHistory>,
    /// The first span that is all after the change of the stage that is looked at.
    first_span: u64,
    /// Counts of the minute before that change.
    before_change: BTreeMap<StageGroup, MessageCounts>,
}

/// Whether a stage may go on.
#[derive(Clone, Debug, PartialEq)]
pub enum StageVerdict {
    /// It is worse than the bounds allow: which share, and by what.
    Worse(String),
    /// Nothing speaks against it.
    Healthy,
    /// Nothing speaks against it so far, yet too few messages came: of what.
    TooFewMessages(String),
}

impl RolloutHealth {
    /// Forgets everything, as a rollout begins or is over.
    pub fn clear(&mut self) {
        *self = RolloutHealth::default();
    }

    /// Takes the report of a sender whose zone is in a stage.
    ///
    /// `only_policy` is the policy of a stage that has changed to it: there only messages count
    /// that were accepted under it.
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

    /// Notes that a stage changes to its policy: what was before is what it is compared with.
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

    /// Looks at the stage anew from now on, compared with what was before its change.
    pub fn restart_observation(&mut self, now: Nanos) {
        self.first_span = now / SPAN + 1;
        for history in self.histories.values_mut() {
            history.since_change = MessageCounts::default();
        }
    }

    /// Messages that came to a stage since the change.
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

    /// What a stage lacks of messages, of each class and tenant that has a share of them elsewhere
    /// or had one before.
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

    /// Counts of a traffic group, added up over some stages.
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

    /// The same of the minute before the change.
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

/// The certainty that each single bound needs, as the negative logarithm of its probability of
/// error: all that is looked at in a stage shares [`FALSE_ALARM_PROBABILITY`].
fn certainty(groups: usize, plan: &Plan) -> f64 {
    let looks = plan.most_soak() as f64 / (SPAN as f64 / 1e9) + 1.0;
    let bounds_per_group = ShareKind::ALL.len() * Window::ALL.len();
    let bounds = groups.max(1) as f64 * bounds_per_group as f64 * looks;
    (2.0 * bounds / FALSE_ALARM_PROBABILITY).ln()
}

/// What an operator is told where a share may still be worse than is allowed; nothing where that
/// is ruled out.
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
