//! What one window of time shows of one zone.

use crate::coordination::messages::CallCounts;
use crate::coordination::zones::evidence::{ReporterId, ZoneObservations};
use crate::coordination::zones::RecentCounts;
use crate::Nanos;
use std::collections::BTreeMap;

/// Answered calls that a zone may have, for each that hangs, and still count as silent: answers
/// that were under way in the moment in which it fell silent.
const ANSWERED_PER_HANGING: f64 = 0.1;

/// Who reported of which destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReporterDestination {
    pub(super) reporter: ReporterId,
    pub(super) destination: u16,
}

/// What one report says of calls to one zone and destination.
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

/// Calls that a reporter has out for longer than usual, as of its last report.
#[derive(Clone, Copy, Debug)]
pub(super) struct HangingCalls {
    pub(super) reported_at: Nanos,
    pub(super) calls: f32,
}

/// The counts of one zone in one window, by reporter and destination.
#[derive(Clone, Debug, Default)]
pub(super) struct Window(BTreeMap<ReporterDestination, RecentCounts>);

/// What each reporter's counts are multiplied by.
pub(super) type ReporterWeights = BTreeMap<ReporterId, f64>;

impl Window {
    /// What came of calls in the last `span_ms`. Calls that hang are not part of it.
    pub(super) fn of_outcomes(zone: &ZoneObservations, now: Nanos, span_ms: u32) -> Window {
        let mut window = Window::default();
        for observation in zone.recent(now, span_ms) {
            let counts = window.0.entry(observation.key()).or_default();
            counts.add_weighted(observation.counts(), 1.0);
        }
        window
    }

    /// The same, where calls that hang count as failed if the zone has answered next to none in
    /// the last `silent_ms`: one that is slow still answers some, one that is dead none.
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

    /// Every reporter's counts of every destination that it called.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&ReporterDestination, &RecentCounts)> {
        self.0.iter()
    }

    /// What each reporter's counts are multiplied by, so that none counts for more calls than
    /// `max_reporter_weight`.
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

    /// The weighted counts of each destination, of the reporters that `include` names.
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
    /// Whether calls hang and next to none was answered in the last `silent_ms`.
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
