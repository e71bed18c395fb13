//! Counts of one zone in one window of time.

use crate::coordination::messages::CallCounts;
use crate::coordination::zones::evidence::{ReporterId, ZoneObservations};
use crate::coordination::zones::RecentCounts;
use crate::Nanos;
use std::collections::BTreeMap;

/// Maximum number of answered calls, per hanging call, with which a zone still counts as silent:
/// answers that were already in transit when the zone stopped answering.
const ANSWERED_PER_HANGING: f64 = 0.1;

/// A reporter and the destination of its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReporterDestination {
    pub(super) reporter: ReporterId,
    pub(super) destination: u16,
}

/// Outcomes of calls to one zone and destination, from one report.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub(super) at: Nanos,
    reporter: ReporterId,
    destination: u16,
    pub(super) accepted: f32,
    rejected: f32,
    pub(super) failed: f32,
}

impl Observation {
    pub(super) fn new(
        at: Nanos,
        reporter: ReporterId,
        destination: u16,
        counts: &CallCounts,
    ) -> Observation {
        Observation {
            at,
            reporter,
            destination,
            accepted: counts.delivered as f32,
            rejected: counts.rejected as f32,
            failed: counts.failed as f32 + counts.timed_out as f32 + counts.connect_failed as f32,
        }
    }

    pub(super) fn total(&self) -> f32 {
        self.accepted + self.rejected + self.failed
    }

    fn key(&self) -> ReporterDestination {
        ReporterDestination {
            reporter: self.reporter,
            destination: self.destination,
        }
    }

    fn counts(&self) -> RecentCounts {
        RecentCounts {
            accepted: self.accepted.into(),
            rejected: self.rejected.into(),
            failed: self.failed.into(),
        }
    }
}

/// Calls of a reporter that are pending for longer than usual, as of its last report.
#[derive(Clone, Copy, Debug)]
pub(super) struct HangingCalls {
    pub(super) reported_at: Nanos,
    pub(super) calls: f32,
}

/// Counts of one zone in one window, by reporter and destination.
#[derive(Clone, Debug, Default)]
pub(super) struct Window(BTreeMap<ReporterDestination, RecentCounts>);

/// Factor by which each reporter's counts are multiplied.
pub(super) type ReporterWeights = BTreeMap<ReporterId, f64>;

impl Window {
    /// Returns the outcomes of calls in the last `span_ms`, without hanging calls.
    pub(super) fn of_outcomes(zone: &ZoneObservations, now: Nanos, span_ms: u32) -> Window {
        let mut window = Window::default();
        for observation in zone.recent(now, span_ms) {
            let counts = window.0.entry(observation.key()).or_default();
            counts.add_weighted(observation.counts(), 1.0);
        }
        window
    }

    /// Returns the outcomes of calls in the last `span_ms`. Hanging calls count as failed if the
    /// zone has answered almost none in the last `silent_ms`: a slow zone still answers some calls,
    /// a dead one none.
    pub(super) fn with_hanging(
        zone: &ZoneObservations,
        now: Nanos,
        span_ms: u32,
        silent_ms: u32,
        max_reporter_weight: f64,
    ) -> Window {
        let mut window = Window::of_outcomes(zone, now, span_ms);
        if !zone.is_silent(now, silent_ms, max_reporter_weight) {
            return window;
        }
        for (key, hanging) in &zone.hanging {
            window.0.entry(*key).or_default().failed += f64::from(hanging.calls);
        }
        window
    }

    /// Returns every reporter's counts for every destination that it called.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&ReporterDestination, &RecentCounts)> {
        self.0.iter()
    }

    /// Returns the factor for each reporter's counts, so that no reporter counts for more calls
    /// than `max_reporter_weight`.
    pub(super) fn reporter_weights(&self, max_reporter_weight: f64) -> ReporterWeights {
        let mut weights: ReporterWeights = BTreeMap::new();
        for (key, counts) in self.iter() {
            *weights.entry(key.reporter).or_default() += counts.total();
        }
        for weight in weights.values_mut() {
            let calls = weight.max(1e-9);
            *weight = (max_reporter_weight / calls).min(1.0);
        }
        weights
    }

    /// Returns the weighted counts of each destination, of the reporters for which `include` is
    /// true.
    pub(super) fn by_destination(
        &self,
        weights: &ReporterWeights,
        include: impl Fn(ReporterId) -> bool,
    ) -> BTreeMap<u16, RecentCounts> {
        let mut destinations: BTreeMap<u16, RecentCounts> = BTreeMap::new();
        for (key, counts) in self.iter().filter(|(key, _)| include(key.reporter)) {
            let sum = destinations.entry(key.destination).or_default();
            sum.add_weighted(*counts, weights[&key.reporter]);
        }
        destinations
    }
}

impl ZoneObservations {
    /// Whether almost no call was answered in the last `silent_ms`, compared with the hanging
    /// calls.
    fn is_silent(&self, now: Nanos, silent_ms: u32, max_reporter_weight: f64) -> bool {
        let answered: f64 = self
            .recent(now, silent_ms)
            .map(|observation| f64::from(observation.accepted + observation.rejected))
            .sum();
        let hanging: f64 = self
            .hanging
            .values()
            .map(|hanging| f64::from(hanging.calls).min(max_reporter_weight))
            .sum();
        answered <= ANSWERED_PER_HANGING * hanging
    }
}
