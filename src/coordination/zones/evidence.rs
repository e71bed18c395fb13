//! What senders report of zones, and what it says about them.
//!
//! A report consists of counts. [`Evidence`] keeps those of the last windows by zone (`window`),
//! the load of each zone, and when each reporter was heard. `judgement` turns them into one
//! [`ZoneVerdict`] a zone. A zone is judged in each window by four questions; it fails if all of
//! them are answered with yes for [`ZoneRules::confirm_ms`]:
//!
//! 1. Do its calls fail: is the share of failures, less some standard errors, over
//!    [`ZoneRules::failure_share`]? Rejections are no failures.
//! 2. Is it the zone: do [`ZoneRules::destination_share`] of the destinations called there fail,
//!    and two at least where it lists two? A destination that fails in most other zones as well
//!    is at fault itself and counts for neither side.
//! 3. Do most reporters that call there see it, both by what they send (each up to
//!    [`ZoneRules::max_reporter_weight`]) and by head?
//! 4. Are they in more than [`ZoneRules::home_zone_share`] of the home zones of its reporters?
//!
//! A reporter that sees all other zones fail is isolated itself and counts for none; so are all
//! reporters of a home zone, where the sum of what they see says so. Where few of the senders
//! report, the replicas are isolated, and nothing is judged.
//!
//! The leader owns one [`Evidence`] for its term and is the only caller. It decides nothing here.

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

/// Milliseconds for which a reported number of hanging calls is valid: five reports.
const HANGING_VALID_MS: u32 = 1_000;
/// Most home zones that are told apart; reporters of any others count for the last one. Bounds
/// what senders can make the leader keep, and fits the index's 16 bits.
const MAX_HOME_ZONES: usize = 256;

/// A reporter: the number of a sender's session within one leader's term.
pub type ReporterId = u32;

/// Position of a home zone in [`Evidence::home_zones`].
type HomeZoneIndex = u16;

/// What is kept of one zone.
#[derive(Clone, Debug, Default)]
struct ZoneObservations {
    /// In the order in which they were reported.
    observations: VecDeque<Observation>,
    hanging: BTreeMap<ReporterDestination, HangingCalls>,
    load: BTreeMap<u16, LoadHistory>,
    failing_since: Option<Nanos>,
}

impl ZoneObservations {
    /// The observations of the last `span_ms`, the newest first.
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

/// All that senders have reported of zones and that is recent enough to count.
#[derive(Clone, Debug)]
pub struct Evidence {
    rules: ZoneRules,
    zones: BTreeMap<String, ZoneObservations>,
    /// Names of the reporters' home zones.
    home_zones: Vec<String>,
    home_zone_of: BTreeMap<ReporterId, HomeZoneIndex>,
    last_report_at: BTreeMap<ReporterId, Nanos>,
    /// Observations of all zones together.
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

    /// Notes the zone that a reporter runs in.
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

    /// Forgets a reporter whose session is over; what it observed expires by its age.
    pub fn remove_reporter(&mut self, reporter: ReporterId) {
        self.home_zone_of.remove(&reporter);
        self.last_report_at.remove(&reporter);
    }

    /// Takes the counts of one report.
    ///
    /// `max_load` gives, for a zone and destination, the most accepted calls of one report that
    /// count as load; nothing where no list names the zone. Counts of such a zone are dropped:
    /// names made up by one reporter must not fill the tables.
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

    /// Drops the oldest observations of the zone that has most, down to the limit of all.
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

    /// Drops what is too old to count for anything.
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

    /// Calls a second that a zone accepted for a destination, over
    /// [`ZoneRules::load_window_ms`].
    pub fn load_per_second(&self, zone: &str, destination: u16) -> f64 {
        let load = self
            .zones
            .get(zone)
            .and_then(|zone| zone.load.get(&destination));
        load.map_or(0.0, |load| load.per_second(self.rules.load_window_ms))
    }

    /// Outcomes of calls to a zone in the last `span_ms`, by destination.
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

    /// The home zone of a reporter; that of an unknown reporter counts as the first one.
    fn home_zone_index(&self, reporter: ReporterId) -> HomeZoneIndex {
        self.home_zone_of.get(&reporter).copied().unwrap_or(0)
    }

    /// Whether a reporter runs in this zone.
    fn is_home_zone(&self, reporter: ReporterId, zone: &str) -> bool {
        let index = usize::from(self.home_zone_index(reporter));
        self.home_zones.get(index).is_some_and(|home| home == zone)
    }
}

impl ZoneObservations {
    /// Replaces what a reporter said before of calls that hang.
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

    /// Drops observations of `max_age` and more, hanging calls that were not reported again, and
    /// load of intervals that are over.
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
