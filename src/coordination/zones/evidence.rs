//! Collection of the senders' reports on zones, and the verdicts that follow from them.
//!
//! A report consists of counts. [`Evidence`] keeps those of the last windows by zone (`window`),
//! the load of each zone, and the time of each reporter's last report. `judgement` derives one
//! [`ZoneVerdict`] per zone. A zone is judged in each window by four questions; it fails if the
//! answer to all of them is yes for [`ZoneRules::confirm_ms`]:
//!
//! 1. Do its calls fail: is the share of failures, less
//!    [`standard_errors`](ZoneRules::standard_errors), at least [`ZoneRules::failure_share`]?
//!    Rejections do not count as failures.
//! 2. Is the zone the cause: do [`ZoneRules::destination_share`] of the destinations called there
//!    fail, and at least two if it lists two? A destination that fails in most other zones as well
//!    is the cause itself and is left out of the count.
//! 3. Do most reporters that call the zone see the failure, counted both by calls (each reporter up
//!    to [`ZoneRules::max_reporter_weight`]) and by reporters?
//! 4. Are they in more than [`ZoneRules::home_zone_share`] of the home zones of its reporters?
//!
//! A reporter that sees all zones but its own failing is isolated itself and does not count. The
//! same applies to all reporters of a home zone if their summed counts show this. If few of the
//! senders report, the replicas are isolated, and no zone is judged.
//!
//! The leader owns one [`Evidence`] for its term and is the only caller. This module makes no
//! decisions.

use crate::coordination::messages::{CallCounts, ZoneCallCounts};
use crate::coordination::zones::{ms, RecentCounts, ZoneRules};
use crate::Nanos;
use std::collections::{BTreeMap, VecDeque};

mod judgement;
mod load;
mod window;

pub use judgement::ZoneVerdict;

use load::LoadHistory;
use window::{HangingCalls, Observation, ReporterDestination, Window};

/// Milliseconds for which a reported number of hanging calls is valid: five report intervals.
const HANGING_VALID_MS: u32 = 1_000;
/// Maximum number of distinct home zones; reporters of any others count for the last one. Bounds
/// the memory that senders can make the leader use, and fits the index's 16 bits.
const MAX_HOME_ZONES: usize = 256;

/// A reporter: the number of a sender's session within one leader's term.
pub type ReporterId = u32;

/// Position of a home zone in [`Evidence::home_zones`].
type HomeZoneIndex = u16;

/// Recent observations of one zone.
#[derive(Clone, Debug, Default)]
struct ZoneObservations {
    /// Observations in the order in which they were reported.
    observations: VecDeque<Observation>,
    hanging: BTreeMap<ReporterDestination, HangingCalls>,
    load: BTreeMap<u16, LoadHistory>,
    failing_since: Option<Nanos>,
}

impl ZoneObservations {
    /// Returns the observations of the last `span_ms`, the newest first.
    fn recent(&self, now: Nanos, span_ms: u32) -> impl Iterator<Item = &Observation> {
        self.observations
            .iter()
            .rev()
            .take_while(move |observation| observation.at + ms(span_ms) > now)
    }

    fn is_empty(&self) -> bool {
        self.observations.is_empty() && self.hanging.is_empty() && self.load.is_empty()
    }
}

/// The senders' reports on zones that are recent enough to count.
#[derive(Clone, Debug)]
pub struct Evidence {
    rules: ZoneRules,
    zones: BTreeMap<String, ZoneObservations>,
    /// Names of the reporters' home zones.
    home_zones: Vec<String>,
    home_zone_of: BTreeMap<ReporterId, HomeZoneIndex>,
    last_report_at: BTreeMap<ReporterId, Nanos>,
    /// Number of observations of all zones.
    observation_count: usize,
}

impl Evidence {
    /// Starts without any observation.
    pub fn new(rules: ZoneRules) -> Evidence {
        Evidence {
            rules,
            zones: BTreeMap::new(),
            home_zones: Vec::new(),
            home_zone_of: BTreeMap::new(),
            last_report_at: BTreeMap::new(),
            observation_count: 0,
        }
    }

    /// Records the zone in which a reporter runs.
    pub fn add_reporter(&mut self, reporter: ReporterId, home_zone: &str) {
        let known = self.home_zones.iter().position(|zone| zone == home_zone);
        let index = known.unwrap_or_else(|| self.add_home_zone(home_zone));
        self.home_zone_of.insert(reporter, index as HomeZoneIndex);
    }

    /// Adds a home zone and returns its index; beyond [`MAX_HOME_ZONES`] that of the last one.
    fn add_home_zone(&mut self, home_zone: &str) -> usize {
        if self.home_zones.len() < MAX_HOME_ZONES {
            self.home_zones.push(home_zone.into());
        }
        self.home_zones.len() - 1
    }

    /// Removes a reporter whose session has ended; its observations expire by their age.
    pub fn remove_reporter(&mut self, reporter: ReporterId) {
        self.home_zone_of.remove(&reporter);
        self.last_report_at.remove(&reporter);
    }

    /// Records the counts of one report.
    ///
    /// `max_load` returns, for a zone and destination, the maximum number of accepted calls of one
    /// report that count as load; `None` if no list names the zone and destination. Their counts
    /// are dropped, as names invented by one reporter must not fill the tables.
    pub fn record_report(
        &mut self,
        now: Nanos,
        reporter: ReporterId,
        seen: &[ZoneCallCounts],
        max_load: impl Fn(&str, u16) -> Option<f32>,
    ) {
        self.last_report_at.insert(reporter, now);
        let interval = LoadHistory::interval_at(now, self.rules.load_window_ms);
        for ZoneCallCounts { zone, dest, counts } in seen {
            let Some(max_load) = max_load(zone, *dest) else {
                continue;
            };
            let observation = Observation::new(now, reporter, *dest, counts);
            let zone = self.zones.entry(zone.clone()).or_default();
            if observation.total() > 0.0 {
                zone.observations.push_back(observation);
                self.observation_count += 1;
            }
            zone.record_hanging(now, reporter, *dest, counts);
            let load = zone.load.entry(*dest).or_default();
            load.add(interval, observation.accepted.min(max_load));
        }
        self.drop_surplus_observations();
    }

    /// Drops the oldest observations of the zone with the most, down to the limit for all zones.
    fn drop_surplus_observations(&mut self) {
        while self.observation_count > self.rules.max_observations {
            let longest = self
                .zones
                .values_mut()
                .max_by_key(|zone| zone.observations.len());
            let Some(zone) = longest else {
                return;
            };
            self.observation_count -= usize::from(zone.observations.pop_front().is_some());
        }
    }

    /// Drops observations that are too old to count.
    pub fn expire(&mut self, now: Nanos) {
        let longest_window = self.rules.windows_ms.last().copied().unwrap_or(0);
        let max_age = ms(longest_window.max(self.rules.silent_ms));
        let interval = LoadHistory::interval_at(now, self.rules.load_window_ms);
        for zone in self.zones.values_mut() {
            zone.expire(now, max_age, interval);
        }
        self.zones.retain(|_, zone| !zone.is_empty());
        self.observation_count = self
            .zones
            .values()
            .map(|zone| zone.observations.len())
            .sum();
    }

    /// Returns the calls per second that a zone accepted for a destination, averaged over
    /// [`ZoneRules::load_window_ms`].
    pub fn load_per_second(&self, zone: &str, destination: u16) -> f64 {
        let load = self
            .zones
            .get(zone)
            .and_then(|zone| zone.load.get(&destination));
        load.map_or(0.0, |load| load.per_second(self.rules.load_window_ms))
    }

    /// Returns the outcomes of calls to a zone in the last `span_ms`, by destination.
    pub fn recent_counts(
        &self,
        zone: &str,
        now: Nanos,
        span_ms: u32,
    ) -> BTreeMap<u16, RecentCounts> {
        let window = self
            .zones
            .get(zone)
            .map(|zone| Window::of_outcomes(zone, now, span_ms))
            .unwrap_or_default();
        let weights = window.reporter_weights(self.rules.max_reporter_weight);
        window.by_destination(&weights, |_| true)
    }

    /// Returns the index of a reporter's home zone; that of the first zone if the reporter is
    /// unknown.
    fn home_zone_index(&self, reporter: ReporterId) -> HomeZoneIndex {
        self.home_zone_of.get(&reporter).copied().unwrap_or(0)
    }

    /// Whether a zone is the home zone of a reporter.
    fn is_home_zone(&self, reporter: ReporterId, zone: &str) -> bool {
        let index = usize::from(self.home_zone_index(reporter));
        self.home_zones.get(index).is_some_and(|home| home == zone)
    }
}

impl ZoneObservations {
    /// Replaces the number of hanging calls that a reporter reported before.
    fn record_hanging(
        &mut self,
        now: Nanos,
        reporter: ReporterId,
        destination: u16,
        counts: &CallCounts,
    ) {
        let key = ReporterDestination {
            reporter,
            destination,
        };
        if counts.hanging == 0 {
            self.hanging.remove(&key);
            return;
        }
        let hanging = HangingCalls {
            reported_at: now,
            calls: counts.hanging as f32,
        };
        self.hanging.insert(key, hanging);
    }

    /// Drops observations of at least `max_age`, hanging calls that were not reported again, and
    /// load of intervals that have left the load window.
    fn expire(&mut self, now: Nanos, max_age: Nanos, interval: u64) {
        while self
            .observations
            .front()
            .is_some_and(|observation| observation.at + max_age <= now)
        {
            self.observations.pop_front();
        }
        self.hanging
            .retain(|_, hanging| hanging.reported_at + ms(HANGING_VALID_MS) > now);
        for load in self.load.values_mut() {
            load.advance_to(interval);
        }
        self.load.retain(|_, load| !load.is_empty());
    }
}

#[cfg(test)]
mod tests;
