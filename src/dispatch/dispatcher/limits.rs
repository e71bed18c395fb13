//! What is known of the limits of endpoints.

use super::*;

impl Dispatcher {
    pub(super) fn limit_of(&self, report: &[f32]) -> Option<(f64, f64)> {
        let value = |at: Option<usize>| at.and_then(|i| report.get(i)).map(|v| f64::from(*v));
        let told = value(self.s.report_left).zip(value(self.s.report_limit));
        told.filter(|&(left, limit)| left >= 0.0 && limit > 0.0 && limit.is_finite())
    }

    /// What the list says that an endpoint takes from all relays, 0 where it tells nothing.
    pub(super) fn listed(&self, e: &EndpointAddress) -> f64 {
        let told = self
            .hosts
            .get(e)
            .filter(|_| self.s.listed_rates != ListedRates::Absent);
        told.map_or(0.0, |h| h.listed)
    }

    /// This relay's even part of a known limit: as reported, else as listed.
    pub(super) fn fair(&mut self, dest: DestinationId, e: &EndpointAddress) -> Option<f64> {
        let trust = if self.s.listed_rates == ListedRates::Approximate {
            ROUGH
        } else {
            1.0
        };
        let limits = [self.gate(dest, e).limit, self.listed(e) * trust];
        let limit = limits.into_iter().find(|l| *l > 0.0 && l.is_finite());
        limit.map(|l| l / f64::from(self.s.senders.max(1)))
    }
}
