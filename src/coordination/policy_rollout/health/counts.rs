//! Message counts by span, and the kinds of shares that are checked.

use crate::coordination::messages;
use crate::coordination::policy_rollout::plan::Bounds;
use std::collections::VecDeque;

/// Most spans that are kept: enough for the longest window and as many spans before it.
pub(super) const MAX_SPANS: usize = 64;

/// Outcomes of the messages of a span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct MessageCounts {
    /// All messages that arrived, accepted or rejected.
    pub(super) offered: u64,
    accepted: u64,
    late: u64,
    rejected: u64,
    failed: u64,
    turned_away: u64,
}

/// The number of bad outcomes, and the number of messages that they are a share of.
#[derive(Clone, Copy, Debug)]
pub(super) struct BadEnds {
    pub(super) bad: f64,
    pub(super) total: f64,
}

impl MessageCounts {
    pub(super) fn of(line: &messages::MessageOutcomeCounts) -> MessageCounts {
        let accepted = u64::from(line.accepted);
        let turned_away = u64::from(line.rejected);
        MessageCounts {
            offered: accepted + turned_away,
            accepted,
            late: line.delivered_late.into(),
            rejected: line.deferred.into(),
            failed: line.failed.into(),
            turned_away,
        }
    }

    pub(super) fn add(&mut self, other: &MessageCounts) {
        self.offered += other.offered;
        self.accepted += other.accepted;
        self.late += other.late;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.turned_away += other.turned_away;
    }

    pub(super) fn bad_ends(&self, kind: ShareKind) -> BadEnds {
        let bad = match kind {
            ShareKind::NotDeliveredInTime => self.late + self.rejected + self.failed,
            ShareKind::Late => self.late,
            ShareKind::Rejected => self.rejected,
            ShareKind::Failed => self.failed,
            ShareKind::TurnedAway => self.turned_away,
        };
        let total = match kind {
            ShareKind::TurnedAway => self.offered,
            _ => self.accepted,
        };
        // Some of the messages that ended in this span were accepted in an earlier one.
        BadEnds {
            bad: bad.min(total) as f64,
            total: total as f64,
        }
    }
}

/// A share of messages that a policy may make worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShareKind {
    NotDeliveredInTime,
    Late,
    Rejected,
    Failed,
    /// Rejected by admission control before they were accepted.
    TurnedAway,
}

impl ShareKind {
    /// All kinds, in the order in which they are checked.
    pub(super) const ALL: [ShareKind; 5] = [
        ShareKind::NotDeliveredInTime,
        ShareKind::Late,
        ShareKind::Rejected,
        ShareKind::Failed,
        ShareKind::TurnedAway,
    ];

    /// Returns the description for operators.
    pub(super) fn label(self) -> &'static str {
        match self {
            ShareKind::NotDeliveredInTime => "not delivered in time",
            ShareKind::Late => "delivered late",
            ShareKind::Rejected => "refused",
            ShareKind::Failed => "failed",
            ShareKind::TurnedAway => "turned away",
        }
    }

    /// Returns by how much the share may be worse than without the policy.
    pub(super) fn bound(self, bounds: &Bounds) -> f64 {
        match self {
            ShareKind::NotDeliveredInTime => bounds.delivered,
            ShareKind::Late => bounds.late,
            ShareKind::Rejected => bounds.refused,
            ShareKind::Failed => bounds.failed,
            ShareKind::TurnedAway => bounds.turned_away,
        }
    }
}

/// The counts of one span.
#[derive(Clone, Copy, Debug)]
struct Span {
    number: u64,
    counts: MessageCounts,
}

/// The counts of a traffic group in a stage, by span.
#[derive(Clone, Debug, Default)]
pub(super) struct SpanHistory {
    /// Counts in ascending order of spans; spans without a message are missing.
    spans: VecDeque<Span>,
    /// Sum of the counts since the change of the observed stage.
    pub(super) since_change: MessageCounts,
}

impl SpanHistory {
    /// Adds counts to a span, and to the sum since the change unless the span lies before
    /// `first_span`.
    pub(super) fn add(&mut self, span: u64, first_span: u64, counts: &MessageCounts) {
        if self.spans.back().is_none_or(|last| last.number < span) {
            if self.spans.len() >= MAX_SPANS {
                self.spans.pop_front();
            }
            self.spans.push_back(Span {
                number: span,
                counts: MessageCounts::default(),
            });
        }
        if let Some(last) = self.spans.back_mut() {
            last.counts.add(counts);
        }
        if span >= first_span {
            self.since_change.add(counts);
        }
    }

    /// Returns the sum of the counts from one span until before another one.
    pub(super) fn between(&self, from: u64, to: u64) -> MessageCounts {
        let mut sum = MessageCounts::default();
        for span in &self.spans {
            if (from..to).contains(&span.number) {
                sum.add(&span.counts);
            }
        }
        sum
    }

    /// Returns the counts of one span.
    pub(super) fn at(&self, number: u64) -> MessageCounts {
        self.spans
            .iter()
            .rev()
            .find(|span| span.number == number)
            .map_or(MessageCounts::default(), |span| span.counts)
    }
}
