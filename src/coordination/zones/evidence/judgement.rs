//! Verdicts on zones: the four questions of [`evidence`](super), answered for each window.

use crate::coordination::zones::counts::share_lower_bound;
use crate::coordination::zones::evidence::window::{ReporterWeights, Window};
use crate::coordination::zones::evidence::{
    Evidence, HomeZoneIndex, ReporterId, ZoneObservations, HANGING_VALID_MS,
};
use crate::coordination::zones::{ms, RecentCounts};
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Verdict on a zone.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneVerdict {
    /// There is no evidence of a failure.
    Healthy,
    /// Calls fail, but there is too little evidence to determine the cause.
    Unclear,
    /// Only these destinations fail in the zone.
    FailingDestinations(Vec<u16>),
    /// Reporters that run in these home zones see it failing, and the others do not.
    SeenFromHomeZones(Vec<String>),
    /// The zone fails.
    Failing {
        /// Number of reporters that see it failing.
        seen_by: usize,
        /// Number of reporters that call it.
        of: usize,
    },
}

impl ZoneVerdict {
    /// Returns the precedence of a verdict over verdicts on the same zone from other windows.
    fn severity(&self) -> u8 {
        match self {
            ZoneVerdict::Healthy => 0,
            ZoneVerdict::Unclear => 1,
            ZoneVerdict::FailingDestinations(_) => 2,
            ZoneVerdict::SeenFromHomeZones(_) => 3,
            ZoneVerdict::Failing { .. } => 4,
        }
    }
}

/// One window of one zone, and its summary.
struct ZoneWindow {
    window: Window,
    weights: ReporterWeights,
    /// Counts by destination, without those of isolated reporters.
    destinations: BTreeMap<u16, RecentCounts>,
}

/// Window of each zone, by name of the zone.
type ZoneWindows<'a> = BTreeMap<&'a str, ZoneWindow>;

/// Number of zones that an observer calls, and of those that it sees failing.
#[derive(Clone, Copy, Debug, Default)]
struct FailingZones {
    failing: u32,
    called: u32,
}

impl FailingZones {
    fn count(&mut self, fails: bool) {
        self.failing += u32::from(fails);
        self.called += 1;
    }

    /// Whether the observer is isolated: it sees all of the zones that it calls failing, and calls
    /// at least two.
    fn is_isolated(self) -> bool {
        self.called >= 2 && self.failing == self.called
    }
}

/// Number of reporters of a home zone that call a zone, and of those that see it failing.
#[derive(Clone, Copy, Debug, Default)]
struct HomeZoneView {
    seeing: usize,
    calling: usize,
}

/// Reporters that call a zone.
#[derive(Debug, Default)]
struct ZoneReporters {
    /// Number of reporters that call the zone.
    calling: usize,
    /// Number of those reporters that see it failing.
    seeing: usize,
    /// Weighted calls of all reporters.
    calls: f64,
    /// Weighted calls of the reporters that see the zone failing.
    calls_of_seeing: f64,
    by_home_zone: BTreeMap<HomeZoneIndex, HomeZoneView>,
}

impl ZoneReporters {
    /// Returns the home zones in which more than half of the reporters see the zone failing:
    /// reporters in one home zone share its network faults and count as one observer.
    fn seeing_home_zones(&self) -> Vec<HomeZoneIndex> {
        self.by_home_zone
            .iter()
            .filter(|(_, view)| view.seeing * 2 > view.calling)
            .map(|(home_zone, _)| *home_zone)
            .collect()
    }
}

impl Evidence {
    /// Judges every zone with recent failures.
    ///
    /// `live_senders` is the number of senders with a session; `listed_destinations` returns the
    /// number of destinations that a zone lists. Evacuated zones are ignored when checking whether
    /// a destination fails in other zones as well.
    pub fn judge(
        &mut self,
        now: Nanos,
        live_senders: usize,
        listed_destinations: impl Fn(&str) -> usize,
        is_evacuated: impl Fn(&str) -> bool,
    ) -> BTreeMap<String, ZoneVerdict> {
        let mut verdicts = BTreeMap::new();
        if self.enough_report(now, live_senders) {
            for span_ms in &self.rules.windows_ms {
                let judged = self.judge_window(now, *span_ms, &listed_destinations, &is_evacuated);
                keep_most_severe(&mut verdicts, judged);
            }
        }
        self.require_confirmation(now, &mut verdicts);
        verdicts
    }

    /// Whether enough senders report for the reports to represent all of them.
    fn enough_report(&self, now: Nanos, live_senders: usize) -> bool {
        let reporting = self
            .last_report_at
            .values()
            .filter(|at| **at + ms(HANGING_VALID_MS) > now)
            .count();
        reporting as f64 >= self.rules.reporting_share * live_senders as f64
    }

    /// Delays a verdict of failure until the zone has been failing for
    /// [`ZoneRules::confirm_ms`](crate::coordination::zones::ZoneRules::confirm_ms).
    fn require_confirmation(&mut self, now: Nanos, verdicts: &mut BTreeMap<String, ZoneVerdict>) {
        let confirm = ms(self.rules.confirm_ms);
        for (name, zone) in &mut self.zones {
            if !matches!(verdicts.get(name), Some(ZoneVerdict::Failing { .. })) {
                zone.failing_since = None;
                continue;
            }
            let failing_since = *zone.failing_since.get_or_insert(now);
            if now < failing_since + confirm {
                verdicts.insert(name.clone(), ZoneVerdict::Unclear);
            }
        }
    }

    /// Returns the verdicts of one window, on the zones with any failed or hanging call.
    fn judge_window(
        &self,
        now: Nanos,
        span_ms: u32,
        listed_destinations: &impl Fn(&str) -> usize,
        is_evacuated: &impl Fn(&str) -> bool,
    ) -> Vec<(String, ZoneVerdict)> {
        // Without failures, no tables are built: only the observations are scanned.
        if !self.zones.values().any(|z| z.has_failures(now, span_ms)) {
            return Vec::new();
        }
        let windows = self.windows(now, span_ms);
        let isolated = self.isolated_reporters(&windows);
        let windows = self.summarize(windows, &isolated);
        let troubled = self
            .zones
            .iter()
            .filter(|(_, z)| z.has_failures(now, span_ms));
        let judged = troubled.map(|(name, _)| {
            let faulty = self.destinations_at_fault(name, &windows, is_evacuated);
            let zone = &windows[name.as_str()];
            let verdict = self.judge_zone(zone, &faulty, &isolated, listed_destinations(name));
            log_judgement(name, span_ms, zone, &verdict);
            (name.clone(), verdict)
        });
        judged.collect()
    }

    /// Returns the counts of every zone in a window.
    fn windows(&self, now: Nanos, span_ms: u32) -> BTreeMap<&str, Window> {
        // A failure has to be seen for `confirm_ms`, so that the zone has been silent for
        // `silent_ms` in total when the failure is confirmed.
        let silent_ms = self.rules.silent_ms.saturating_sub(self.rules.confirm_ms);
        let max_weight = self.rules.max_reporter_weight;
        self.zones
            .iter()
            .map(|(name, zone)| {
                let window = Window::with_hanging(zone, now, span_ms, silent_ms, max_weight);
                (name.as_str(), window)
            })
            .collect()
    }

    fn summarize<'a>(
        &self,
        windows: BTreeMap<&'a str, Window>,
        isolated: &BTreeSet<ReporterId>,
    ) -> ZoneWindows<'a> {
        let summarize_one = |(name, window): (&'a str, Window)| {
            let weights = window.reporter_weights(self.rules.max_reporter_weight);
            let destinations =
                window.by_destination(&weights, |reporter| !isolated.contains(&reporter));
            let summary = ZoneWindow {
                window,
                weights,
                destinations,
            };
            (name, summary)
        };
        windows.into_iter().map(summarize_one).collect()
    }

    /// Returns the destinations of a zone that fail in more than half of the other zones in which
    /// they are called: the destination itself is the cause, whatever the zone.
    fn destinations_at_fault(
        &self,
        zone: &str,
        windows: &ZoneWindows<'_>,
        is_evacuated: &impl Fn(&str) -> bool,
    ) -> BTreeSet<u16> {
        let fails_elsewhere = |destination: &u16| {
            let elsewhere: Vec<&RecentCounts> = windows
                .iter()
                .filter(|(name, _)| **name != zone && !is_evacuated(name))
                .filter_map(|(_, other)| other.destinations.get(destination))
                .collect();
            let failing = elsewhere
                .iter()
                .filter(|counts| self.is_failing(counts))
                .count();
            failing * 2 > elsewhere.len()
        };
        windows[zone]
            .destinations
            .keys()
            .copied()
            .filter(fails_elsewhere)
            .collect()
    }

    /// Answers the four questions for one zone.
    fn judge_zone(
        &self,
        zone: &ZoneWindow,
        destinations_at_fault: &BTreeSet<u16>,
        isolated: &BTreeSet<ReporterId>,
        listed_destinations: usize,
    ) -> ZoneVerdict {
        let counted: BTreeMap<u16, RecentCounts> = zone
            .destinations
            .iter()
            .filter(|(destination, _)| !destinations_at_fault.contains(destination))
            .map(|(destination, counts)| (*destination, *counts))
            .collect();
        let failing = self.failing_destinations(&counted);
        if failing.is_empty() {
            return ZoneVerdict::Healthy;
        }
        if !self.is_fault_of_zone(failing.len(), counted.len(), listed_destinations) {
            return ZoneVerdict::FailingDestinations(failing);
        }
        if !self.fails_beyond_chance(&counted) {
            return ZoneVerdict::Unclear;
        }
        let reporters = self.zone_reporters(zone, destinations_at_fault, isolated);
        let home_zones = reporters.seeing_home_zones();
        if !self.is_seen_from_enough_home_zones(home_zones.len(), &reporters) {
            return ZoneVerdict::SeenFromHomeZones(self.home_zone_names(&home_zones));
        }
        if !self.is_seen_by_enough_reporters(&reporters) {
            return ZoneVerdict::Unclear;
        }
        ZoneVerdict::Failing {
            seen_by: reporters.seeing,
            of: reporters.calling,
        }
    }

    fn is_failing(&self, counts: &RecentCounts) -> bool {
        counts.failure_share() >= self.rules.failure_share
    }

    fn failing_destinations(&self, destinations: &BTreeMap<u16, RecentCounts>) -> Vec<u16> {
        destinations
            .iter()
            .filter(|(_, counts)| self.is_failing(counts))
            .map(|(destination, _)| *destination)
            .collect()
    }

    /// Question 2: whether enough destinations fail for the zone to be the cause, and at least two
    /// if it lists two.
    fn is_fault_of_zone(&self, failing: usize, counted: usize, listed: usize) -> bool {
        let needed = counted as f64 * self.rules.destination_share;
        failing as f64 >= needed.max(listed.min(2) as f64)
    }

    /// Question 1: whether the share of failures, less the configured standard errors, is high
    /// enough.
    fn fails_beyond_chance(&self, destinations: &BTreeMap<u16, RecentCounts>) -> bool {
        let mut sum = RecentCounts::default();
        for counts in destinations.values() {
            sum.add_weighted(*counts, 1.0);
        }
        let share = share_lower_bound(sum.failed, sum.total(), self.rules.standard_errors);
        share >= self.rules.failure_share
    }

    /// Question 4: whether reporters in enough home zones see the failure.
    fn is_seen_from_enough_home_zones(&self, seeing: usize, reporters: &ZoneReporters) -> bool {
        let home_zones = reporters.by_home_zone.len();
        seeing as f64 > self.rules.home_zone_share * home_zones as f64
    }

    /// Question 3: whether enough reporters see the failure, by calls and by number.
    fn is_seen_by_enough_reporters(&self, reporters: &ZoneReporters) -> bool {
        let share = self.rules.reporter_share;
        reporters.seeing as f64 >= share * reporters.calling as f64
            && reporters.calls_of_seeing >= share * reporters.calls
            && reporters.seeing >= self.rules.min_reporters as usize
    }

    fn home_zone_names(&self, home_zones: &[HomeZoneIndex]) -> Vec<String> {
        home_zones
            .iter()
            .map(|index| self.home_zones[usize::from(*index)].clone())
            .collect()
    }

    /// Counts the reporters that call a zone and those that see it failing, without isolated
    /// reporters and without the destinations that are at fault themselves.
    fn zone_reporters(
        &self,
        zone: &ZoneWindow,
        destinations_at_fault: &BTreeSet<u16>,
        isolated: &BTreeSet<ReporterId>,
    ) -> ZoneReporters {
        let mut by_reporter: BTreeMap<ReporterId, RecentCounts> = BTreeMap::new();
        for (key, counts) in zone.window.iter() {
            if destinations_at_fault.contains(&key.destination) || isolated.contains(&key.reporter)
            {
                continue;
            }
            let sum = by_reporter.entry(key.reporter).or_default();
            sum.add_weighted(*counts, zone.weights[&key.reporter]);
        }
        let mut reporters = ZoneReporters {
            calling: by_reporter.len(),
            ..ZoneReporters::default()
        };
        for (reporter, counts) in &by_reporter {
            let home_zone = self.home_zone_index(*reporter);
            let view = reporters.by_home_zone.entry(home_zone).or_default();
            view.calling += 1;
            reporters.calls += counts.total();
            if self.is_failing(counts) {
                view.seeing += 1;
                reporters.seeing += 1;
                reporters.calls_of_seeing += counts.total();
            }
        }
        reporters
    }

    /// Returns the isolated reporters: those that see all zones but their own failing, and call at
    /// least two others. If the summed counts of a home zone's reporters meet this condition, all
    /// of them are isolated.
    fn isolated_reporters(&self, windows: &BTreeMap<&str, Window>) -> BTreeSet<ReporterId> {
        let mut reporters: BTreeMap<ReporterId, FailingZones> = BTreeMap::new();
        let mut home_zones: BTreeMap<HomeZoneIndex, FailingZones> = BTreeMap::new();
        for (zone, window) in windows {
            let mut by_reporter: BTreeMap<ReporterId, RecentCounts> = BTreeMap::new();
            let mut by_home_zone: BTreeMap<HomeZoneIndex, RecentCounts> = BTreeMap::new();
            let weights = window.reporter_weights(self.rules.max_reporter_weight);
            let from_outside = window
                .iter()
                .filter(|(key, _)| !self.is_home_zone(key.reporter, zone));
            for (key, counts) in from_outside {
                let reporter = by_reporter.entry(key.reporter).or_default();
                reporter.add_weighted(*counts, 1.0);
                let home_zone = self.home_zone_index(key.reporter);
                let home_zone = by_home_zone.entry(home_zone).or_default();
                home_zone.add_weighted(*counts, weights[&key.reporter]);
            }
            for (reporter, counts) in &by_reporter {
                let zones = reporters.entry(*reporter).or_default();
                zones.count(self.is_failing(counts));
            }
            for (home_zone, counts) in &by_home_zone {
                let zones = home_zones.entry(*home_zone).or_default();
                zones.count(self.is_failing(counts));
            }
        }
        let is_isolated = |reporter: ReporterId, zones: &FailingZones| {
            let home_zone = home_zones.get(&self.home_zone_index(reporter));
            zones.is_isolated() || home_zone.is_some_and(|zones| zones.is_isolated())
        };
        reporters
            .iter()
            .filter(|(reporter, zones)| is_isolated(**reporter, zones))
            .map(|(reporter, _)| *reporter)
            .collect()
    }
}

/// Merges the verdicts of one window into those of the others and keeps the most severe per zone.
fn keep_most_severe(
    verdicts: &mut BTreeMap<String, ZoneVerdict>,
    judged: Vec<(String, ZoneVerdict)>,
) {
    for (zone, verdict) in judged {
        let kept = verdicts.entry(zone).or_insert(ZoneVerdict::Healthy);
        if verdict.severity() > kept.severity() {
            *kept = verdict;
        }
    }
}

impl ZoneObservations {
    /// Whether any call hangs, or failed in the window.
    fn has_failures(&self, now: Nanos, span_ms: u32) -> bool {
        !self.hanging.is_empty() || self.recent(now, span_ms).any(|seen| seen.failed > 0.0)
    }
}

/// Logs the counts by which a zone with failed or hanging calls was judged.
fn log_judgement(name: &str, span_ms: u32, zone: &ZoneWindow, verdict: &ZoneVerdict) {
    let mut sum = RecentCounts::default();
    for counts in zone.destinations.values() {
        sum.add_weighted(*counts, 1.0);
    }
    log::debug!(
        "evidence: zone={name} window_ms={span_ms} failed={:.0} calls={:.0} destinations={} reporters={} \
         verdict={verdict:?}",
        sum.failed,
        sum.total(),
        zone.destinations.len(),
        zone.weights.len()
    );
}
