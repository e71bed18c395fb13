//! Counts of call outcomes, and the shares that follow from them. Used by `evidence` for what
//! senders report and by `recovery_ramp` for the results of granted calls.

/// Outcomes of recent calls, weighted: a count need not be a whole number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentCounts {
    /// Calls that were accepted.
    pub accepted: f64,
    /// Calls that were rejected unseen.
    pub rejected: f64,
    /// Calls that failed.
    pub failed: f64,
}

/// Least divisor of a share: without any call the share is 0 and not undefined.
const LEAST_TOTAL: f64 = 1e-9;

impl RecentCounts {
    pub(super) fn total(self) -> f64 {
        self.accepted + self.rejected + self.failed
    }

    pub(super) fn failure_share(self) -> f64 {
        self.failed / self.total().max(LEAST_TOTAL)
    }

    /// Whether more calls failed than were answered.
    pub fn mostly_failed(self) -> bool {
        self.failed > self.accepted + self.rejected
    }

    /// Share of the calls that reached the endpoint that was rejected.
    pub fn rejected_share(self) -> f64 {
        self.rejected / (self.accepted + self.rejected).max(LEAST_TOTAL)
    }

    /// The same less a standard error: one rejection in nine calls is chance.
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

/// The share `part / total`, less so many standard errors: the lower end of Wilson's interval,
/// which holds for few calls as well.
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
