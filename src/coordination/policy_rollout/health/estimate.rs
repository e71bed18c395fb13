//! The share of messages with a bad end, as observed, and bounds of the true share.

use crate::coordination::policy_rollout::health::counts::{MessageCounts, ShareKind};

/// Number of messages at the expected share that are added before two shares are compared. They
/// shrink the difference towards zero, as a few messages say little about it.
const SHRINKAGE_MESSAGES: f64 = 2.0;
/// Bisection steps for a bound: after thirty, the error is smaller than the share of one message
/// among any realistic number of messages.
const BISECTIONS: u32 = 30;

/// The observed share of messages with a bad end, and how much information it rests on.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareEstimate {
    pub(super) bad: f64,
    pub(super) total: f64,
    /// Number of independent messages that carry as much information as the `total` observed ones:
    /// less than `total`, because messages end in bursts.
    pub(super) effective_total: f64,
}

impl ShareEstimate {
    pub(super) fn new(counts: &MessageCounts, kind: ShareKind, dispersion: f64) -> ShareEstimate {
        let ends = counts.bad_ends(kind);
        ShareEstimate {
            bad: ends.bad,
            total: ends.total,
            effective_total: ends.total / dispersion,
        }
    }

    /// Returns the share; 0 where there is no message.
    pub(super) fn share(&self) -> f64 {
        if self.total > 0.0 {
            self.bad / self.total
        } else {
            0.0
        }
    }

    /// Returns by how much the share exceeds another one, plus one standard error: a difference of
    /// that size is expected later as well. Returns 0 where either side has no message.
    pub(super) fn excess_over(&self, other: &ShareEstimate) -> f64 {
        if self.total == 0.0 || other.total == 0.0 {
            return 0.0;
        }
        let expected = other.share();
        let dispersion = self.total / self.effective_total;
        let weight = self.total + SHRINKAGE_MESSAGES;
        let shrunk_share = (self.bad + SHRINKAGE_MESSAGES * expected) / weight;
        let larger_share = shrunk_share.max(expected);
        let standard_error = (larger_share * (1.0 - larger_share) * dispersion / weight).sqrt();
        (shrunk_share - expected + standard_error).max(0.0)
    }

    /// Returns a lower bound of the true share; the probability that it is wrong is at most
    /// `exp(-certainty)`.
    pub(super) fn lower_bound(&self, certainty: f64) -> f64 {
        self.bound_towards(0.0, certainty)
    }

    /// Returns an upper bound of the true share; the probability that it is wrong is at most
    /// `exp(-certainty)`.
    pub(super) fn upper_bound(&self, certainty: f64) -> f64 {
        self.bound_towards(1.0, certainty)
    }

    /// Returns the Chernoff bound on the side of `end`: from the observed share towards `end`, the
    /// first true share that the observation rules out.
    fn bound_towards(&self, end: f64, certainty: f64) -> f64 {
        let observed = self.share();
        if self.effective_total <= 0.0 {
            return end;
        }
        let mut possible = observed;
        let mut ruled_out = end;
        for _ in 0..BISECTIONS {
            let middle = (possible + ruled_out) / 2.0;
            if self.effective_total * relative_entropy(observed, middle) <= certainty {
                possible = middle;
            } else {
                ruled_out = middle;
            }
        }
        ruled_out
    }
}

/// Returns the evidence per message against a supposed true share, given the observed one: the
/// relative entropy of two Bernoulli distributions.
fn relative_entropy(observed: f64, true_share: f64) -> f64 {
    let term = |p: f64, q: f64| {
        if p <= 0.0 {
            0.0
        } else {
            p * (p / q.max(1e-300)).ln()
        }
    };
    term(observed, true_share) + term(1.0 - observed, 1.0 - true_share)
}
