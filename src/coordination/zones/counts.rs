//! Counts of call outcomes, and the shares computed from them. Used by `evidence` for the senders'
//! reports and by `recovery_ramp` for the results of granted calls.

/// Weighted outcomes of recent calls; because of the weights, a count need not be an integer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentCounts {
    /// Calls that were accepted.
    pub accepted: f64,
    /// Calls that were rejected without being processed.
    pub rejected: f64,
    /// Calls that failed.
    pub failed: f64,
}

/// Minimum divisor of a share, so that the share is 0 and not undefined if there were no calls.
const MIN_TOTAL: f64 = 1e-9;

impl RecentCounts {
    pub(super) fn total(self) -> f64 {
        self.accepted + self.rejected + self.failed
    }

    pub(super) fn failure_share(self) -> f64 {
        self.failed / self.total().max(MIN_TOTAL)
    }

    /// Whether more calls failed than were answered.
    pub fn mostly_failed(self) -> bool {
        self.failed > self.accepted + self.rejected
    }

    /// Returns the rejected share of the calls that the endpoint answered.
    pub fn rejected_share(self) -> f64 {
        self.rejected / (self.accepted + self.rejected).max(MIN_TOTAL)
    }

    /// Returns [`Self::rejected_share`] less one standard error, so that a single rejection in nine
    /// calls counts as chance.
    pub fn rejected_share_lower_bound(self) -> f64 {
        share_lower_bound(self.rejected, self.accepted + self.rejected, 1.0)
    }

    /// Adds other counts, multiplied by a weight.
    pub(super) fn add_weighted(&mut self, more: RecentCounts, weight: f64) {
        self.accepted += more.accepted * weight;
        self.rejected += more.rejected * weight;
        self.failed += more.failed * weight;
    }

    /// Multiplies all counts.
    pub(super) fn scale(&mut self, factor: f64) {
        self.accepted *= factor;
        self.rejected *= factor;
        self.failed *= factor;
    }
}

/// Returns the share `part / total` less `standard_errors`: the lower end of the Wilson score
/// interval, which is also valid for few calls.
pub(super) fn share_lower_bound(part: f64, total: f64, standard_errors: f64) -> f64 {
    if total <= 0.0 {
        return 0.0;
    }
    let share = part / total;
    let square = standard_errors * standard_errors;
    let middle = share + square / (2.0 * total);
    let variance = share * (1.0 - share) / total + square / (4.0 * total * total);
    let spread = standard_errors * variance.sqrt();
    (middle - spread) / (1.0 + square / total)
}
