//! Comparison of a stage with those that have not changed to the policy, or with itself before.

use crate::coordination::policy_rollout::health::counts::{
    BadEnds, MessageCounts, ShareKind, SpanHistory, MAX_SPANS,
};
use crate::coordination::policy_rollout::health::estimate::ShareEstimate;
use crate::coordination::policy_rollout::health::{
    RolloutHealth, TrafficGroup, LEAST_JUDGED_SHARE, LONG_WINDOW_SPANS, SHORT_WINDOW_SPANS, SPAN,
};
use crate::coordination::policy_rollout::plan::Plan;

/// Fewest steps between neighbouring spans from which their dispersion is estimated.
const MIN_DISPERSION_STEPS: usize = 8;
/// Dispersion that is assumed while there are fewer steps than that.
const UNKNOWN_DISPERSION: f64 = 3.0;

/// The time over which a share is observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Window {
    /// The given number of last spans.
    Last(u64),
    /// The whole time since the change.
    SinceChange,
}

impl Window {
    /// All windows, in the order in which they are checked.
    pub(super) const ALL: [Window; 3] = [
        Window::Last(SHORT_WINDOW_SPANS),
        Window::Last(LONG_WINDOW_SPANS),
        Window::SinceChange,
    ];
}

/// A stage, and the stages that it is compared with.
pub(super) struct Comparison<'a> {
    health: &'a RolloutHealth,
    stage: [usize; 1],
    others: Vec<usize>,
    /// Whether this is the last stage, which is compared with itself before the change.
    is_last_stage: bool,
    /// Current span: it is not complete and does not count.
    current_span: u64,
}

/// The observation of one share in one window.
pub(super) struct Observed {
    pub(super) own: ShareEstimate,
    /// The share that is expected without the policy.
    reference: ShareEstimate,
    /// Difference that is attributed to reasons other than the policy.
    tolerance: f64,
    first_span: u64,
}

impl Observed {
    /// Returns whether the share is certainly worse than the bound allows.
    pub(super) fn is_worse(&self, bound: f64, certainty: f64) -> bool {
        let lowest = self.own.lower_bound(certainty);
        lowest > self.reference.upper_bound(certainty) + self.tolerance + bound
    }

    /// Returns the share that is expected without the policy, with the difference that is
    /// attributed to other reasons.
    pub(super) fn expected(&self) -> f64 {
        self.reference.share() + self.tolerance
    }
}

/// The difference between a stage and the others in one span, and its variance by chance.
#[derive(Clone, Copy)]
struct SpanDifference {
    difference: f64,
    variance: f64,
}

impl SpanDifference {
    /// Compares the two sides in a span; `None` where one of them has no message.
    fn of(own: BadEnds, others: Option<BadEnds>) -> Option<SpanDifference> {
        let has_messages = |ends: &BadEnds| ends.total != 0.0;
        if !has_messages(&own) || !others.iter().all(has_messages) {
            return None;
        }
        let none = BadEnds {
            bad: 0.0,
            total: 0.0,
        };
        let beside = others.unwrap_or(none);
        let share = (own.bad + beside.bad + 0.5) / (own.total + beside.total + 1.0);
        let mut difference = own.bad / own.total;
        let mut variance_factor = 1.0 / own.total;
        if let Some(others) = others {
            difference -= others.bad / others.total;
            variance_factor += 1.0 / others.total;
        }
        Some(SpanDifference {
            difference,
            variance: share * (1.0 - share) * variance_factor,
        })
    }

    /// Returns the square of the step from the previous span, relative to its expectation by
    /// chance.
    fn step_from(&self, before: &SpanDifference) -> f64 {
        let step = self.difference - before.difference;
        step * step / (self.variance + before.variance)
    }
}

impl<'a> Comparison<'a> {
    pub(super) fn new(
        health: &'a RolloutHealth,
        stage: usize,
        plan: &Plan,
        current_span: u64,
    ) -> Comparison<'a> {
        let is_last_stage = stage + 1 >= plan.stage.len();
        let others = if is_last_stage {
            (0..stage).collect()
        } else {
            (stage + 1..plan.stage.len()).collect()
        };
        Comparison {
            health,
            stage: [stage],
            others,
            is_last_stage,
            current_span,
        }
    }

    /// Returns a share in a window; `None` where the window reaches back before the change, or
    /// there is nothing to compare with.
    pub(super) fn observe(
        &self,
        group: &TrafficGroup,
        kind: ShareKind,
        dispersion: f64,
        window: Window,
    ) -> Option<Observed> {
        let first_span = self.first_span(window)?;
        let counts = |history: &SpanHistory| match window {
            Window::Last(_) => history.between(first_span, self.current_span),
            Window::SinceChange => history.since_change,
        };
        let estimate = |counts: MessageCounts| ShareEstimate::new(&counts, kind, dispersion);
        let own = estimate(self.health.sum(&self.stage, group, counts));
        let others = estimate(self.health.sum(&self.others, group, counts));
        let own_before = estimate(self.health.sum_before_change(&self.stage, group));
        let others_before = estimate(self.health.sum_before_change(&self.others, group));
        let reference = if self.is_last_stage {
            own_before
        } else {
            others
        };
        let tolerance = if self.is_last_stage {
            others.excess_over(&others_before)
        } else {
            own_before.excess_over(&others_before)
        };
        if reference.total <= 0.0 {
            return None;
        }
        Some(Observed {
            own,
            reference,
            tolerance,
            first_span,
        })
    }

    /// Returns the first span of a window; `None` where it does not lie after the change.
    fn first_span(&self, window: Window) -> Option<u64> {
        let after_change = self.health.first_span;
        match window {
            Window::Last(spans) => {
                let first = self.current_span.saturating_sub(spans);
                Some(first).filter(|first| *first > after_change)
            }
            Window::SinceChange => Some(after_change.min(self.current_span)),
        }
    }

    /// Returns whether a stage is complete only once this share is known precisely enough: all
    /// messages together in each window of fixed length, each class and tenant in the window of a
    /// minute.
    pub(super) fn has_to_be_sure(
        &self,
        group: &TrafficGroup,
        window: Window,
        observed: &Observed,
    ) -> bool {
        let spans = self.current_span - observed.first_span;
        let is_in_time = match window {
            Window::Last(LONG_WINDOW_SPANS) => true,
            Window::Last(_) => group.is_all(),
            Window::SinceChange => spans <= LONG_WINDOW_SPANS,
        };
        is_in_time && self.has_judged_share(group)
    }

    /// Returns whether a class and tenant has a large enough share of the messages on the side it
    /// is compared with that it has to be judged.
    pub(super) fn has_judged_share(&self, group: &TrafficGroup) -> bool {
        let offered = |group: &TrafficGroup| {
            let counts = if self.is_last_stage {
                self.health.sum_before_change(&self.stage, group)
            } else {
                self.health
                    .sum(&self.others, group, |history| history.since_change)
            };
            counts.offered
        };
        let all = offered(&TrafficGroup::all()).max(1);
        offered(group) as f64 >= LEAST_JUDGED_SHARE * all as f64
    }

    /// Returns by how much more neighbouring spans differ than chance explains, at least 1.
    pub(super) fn dispersion(&self, group: &TrafficGroup, kind: ShareKind) -> f64 {
        let first = self.current_span.saturating_sub(MAX_SPANS as u64);
        let differences: Vec<SpanDifference> = (first..self.current_span)
            .filter_map(|span| self.difference_at(span, group, kind))
            .collect();
        let mut steps: Vec<f64> = differences
            .windows(2)
            .map(|pair| pair[1].step_from(&pair[0]))
            .collect();
        if steps.len() < MIN_DISPERSION_STEPS {
            return UNKNOWN_DISPERSION;
        }
        // The largest step is left out: a policy that turns worse causes one.
        steps.sort_by(f64::total_cmp);
        steps.pop();
        (steps.iter().sum::<f64>() / steps.len() as f64).max(1.0)
    }

    fn difference_at(
        &self,
        span: u64,
        group: &TrafficGroup,
        kind: ShareKind,
    ) -> Option<SpanDifference> {
        let ends = |stages: &[usize]| {
            let counts = self.health.sum(stages, group, |history| history.at(span));
            counts.bad_ends(kind)
        };
        let others = (!self.others.is_empty()).then(|| ends(&self.others));
        SpanDifference::of(ends(&self.stage), others)
    }

    /// Describes for operators that a share is worse.
    pub(super) fn describe_worse(
        &self,
        group: &TrafficGroup,
        kind: ShareKind,
        observed: &Observed,
    ) -> String {
        let compared_with = if self.is_last_stage {
            "there before"
        } else {
            "in zones not yet touched"
        };
        let seconds = (self.current_span - observed.first_span) * SPAN / 1_000_000_000;
        format!(
            "{}: {:.1} in 100 of {} {}, {:.1} in 100 of {} {}; in {} s",
            group.describe(),
            observed.own.share() * 100.0,
            observed.own.total,
            kind.label(),
            observed.reference.share() * 100.0,
            observed.reference.total,
            compared_with,
            seconds,
        )
    }
}
