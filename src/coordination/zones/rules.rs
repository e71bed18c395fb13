//! The settings by which zones are judged: `[rules.zones]` of the keeper's file.
//!
//! Owns the keys, their defaults and their permitted ranges. The leader's own settings are in
//! [`leader::rules`](crate::coordination::leader::LeaderRules), which contains these.
//!
//! The keys keep the spelling that the operators' files have; where a field has a clearer name
//! here, `serde(rename)` gives the key.

use serde::Deserialize;

/// The settings by which zones are judged. Times are in milliseconds, shares from 0 to 1.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneRules {
    /// Windows in which a zone is judged, the shortest first.
    ///
    /// The first spans two reports of agents; the second lets a zone be evacuated in 1.5 s where
    /// it gets some 20 calls a second; the last is for little traffic.
    pub windows_ms: Vec<u32>,
    /// Share of a destination's calls that fail from which it counts as failing.
    ///
    /// Over a half, as one of two endpoints may be down.
    #[serde(rename = "fail_share")]
    pub failure_share: f64,
    /// Standard errors by which the observed share of failures has to exceed `failure_share`.
    ///
    /// 3: one window in a thousand exceeds it by chance, and it has to happen twice.
    #[serde(rename = "errors")]
    pub standard_errors: f64,
    /// Share of the destinations called in the zone that have to fail.
    #[serde(rename = "dest_share")]
    pub destination_share: f64,
    /// Share of the reporters that call the zone that have to see it fail, both by what they send
    /// and by head.
    pub reporter_share: f64,
    /// Fewest reporters that have to see it fail.
    ///
    /// Three: two that err together move nothing.
    #[serde(rename = "least_reporters")]
    pub min_reporters: u32,
    /// Most calls of one reporter that count in a window, so that no one outweighs the others.
    #[serde(rename = "most_weight")]
    pub max_reporter_weight: f64,
    /// Share of the reporters' home zones that have to see it fail; more than that.
    #[serde(rename = "own_share")]
    pub home_zone_share: f64,
    /// Share of the senders with a session that have to report.
    ///
    /// With fewer, the replicas themselves are cut off, and judge nothing.
    #[serde(rename = "heard_share")]
    pub reporting_share: f64,
    /// Calls that hang count as failures once a zone has answered none for so long, `confirm_ms`
    /// included.
    ///
    /// Five reports of agents. A zone where every call takes longer than that cannot be told from
    /// a dead one.
    pub silent_ms: u32,
    /// A zone has to be seen failing for so long: one report and more.
    pub confirm_ms: u32,
    /// Most zones that are evacuated at once.
    #[serde(rename = "most_left")]
    pub max_evacuated_zones: u32,
    /// Largest share of all zones that is evacuated at once; one always may be.
    ///
    /// The rest has to carry their traffic.
    #[serde(rename = "left_share")]
    pub max_evacuated_share: f64,
    /// Share of the listed rates of the rest that may be filled by the evacuated traffic.
    ///
    /// The remainder is for chance.
    pub headroom: f64,
    /// Share of rejected calls over which a zone has no spare capacity.
    #[serde(rename = "refused_share")]
    pub rejected_share: f64,
    /// The time over which a zone's load is averaged; long against an outage's first seconds.
    #[serde(rename = "load_ms")]
    pub load_window_ms: u32,
    /// A return begins so long after the evacuation...
    #[serde(rename = "rest_ms")]
    pub return_backoff_ms: u32,
    /// ...which doubles with each return that failed, up to this.
    #[serde(rename = "most_rest_ms")]
    pub max_return_backoff_ms: u32,
    /// A zone that has been in use for so long after a return counts as one without failed
    /// returns.
    #[serde(rename = "calm_ms")]
    pub return_history_reset_ms: u32,
    /// Calls of all destinations in a slice before two reporters have told of answers; two of
    /// each destination.
    pub trial_calls: u32,
    /// Fewest results in a return by which it is judged.
    #[serde(rename = "least_results")]
    pub min_results: u32,
    /// Calls of a return are reserved for so long at once.
    pub slice_ms: u32,
    /// A grant holds for so long from when the report that asked for it was sent.
    ///
    /// A message comes to that sender in this time or the call is lost: one in two is, with 12
    /// senders and 6 messages a second for a destination.
    #[serde(rename = "within_ms")]
    pub grant_validity_ms: u32,
    /// Longest time from when a sender begins a granted call until it reaches its endpoint: the
    /// connection and the transit.
    #[serde(rename = "flight_ms")]
    pub max_transit_ms: u32,
    /// Largest share by which the clocks of replicas and senders differ in pace.
    #[serde(rename = "drift")]
    pub max_clock_drift: f64,
    /// What an endpoint takes right after it comes back, as a share of its listed rate.
    #[serde(rename = "cold_share")]
    pub initial_capacity_share: f64,
    /// An endpoint takes its whole listed rate after this time.
    #[serde(rename = "warm_after_ms")]
    pub warmup_ms: u32,
    /// Multiple of its current capacity that overloads an endpoint that is warming up...
    pub overload_factor: f64,
    /// ...when it is kept up for so long; 0: none is ever overloaded.
    #[serde(rename = "overload_for_ms")]
    pub overload_window_ms: u32,
    /// Calls a second to a destination of a zone that lists no rate, when it has warmed up.
    #[serde(rename = "unlisted_rate")]
    pub unlisted_rate_per_second: f64,
    /// Most observations that are kept at once, over all zones.
    ///
    /// 10,000 senders with four in each report of the longest window would be twice that, and
    /// then the oldest go.
    #[serde(rename = "most_sights")]
    pub max_observations: usize,
}

impl Default for ZoneRules {
    fn default() -> Self {
        ZoneRules {
            windows_ms: vec![400, 1_000, 4_000],
            failure_share: 0.6,
            standard_errors: 3.0,
            destination_share: 0.6,
            reporter_share: 0.6,
            min_reporters: 3,
            max_reporter_weight: 5.0,
            home_zone_share: 0.5,
            reporting_share: 0.3,
            silent_ms: 1_000,
            confirm_ms: 200,
            max_evacuated_zones: 4,
            max_evacuated_share: 0.34,
            headroom: 0.9,
            rejected_share: 0.1,
            load_window_ms: 10_000,
            return_backoff_ms: 5_000,
            max_return_backoff_ms: 160_000,
            return_history_reset_ms: 60_000,
            trial_calls: 10,
            min_results: 10,
            slice_ms: 500,
            grant_validity_ms: 3_000,
            max_transit_ms: 250,
            max_clock_drift: 0.01,
            initial_capacity_share: 1.0,
            warmup_ms: 0,
            overload_factor: 1.0,
            overload_window_ms: 0,
            unlisted_rate_per_second: 1.0,
            max_observations: 400_000,
        }
    }
}

impl ZoneRules {
    /// Every setting that is out of its range, named by its key; empty where all are valid.
    pub fn faults(&self) -> Vec<String> {
        let mut faults: Vec<String> = [
            self.judgement_ranges(),
            self.evacuation_ranges(),
            self.return_ranges(),
        ]
        .iter()
        .flatten()
        .filter_map(SettingRange::fault)
        .collect();
        faults.extend(self.window_fault().map(String::from));
        faults
    }

    /// The settings by which [`evidence`](super::evidence) judges.
    fn judgement_ranges(&self) -> Vec<SettingRange> {
        vec![
            range("fail_share", self.failure_share, 0.5, 0.95),
            range("errors", self.standard_errors, 1.0, 6.0),
            range("dest_share", self.destination_share, 0.5, 1.0),
            range("reporter_share", self.reporter_share, 0.5, 1.0),
            range("least_reporters", self.min_reporters, 2.0, 1_000.0),
            range("most_weight", self.max_reporter_weight, 1.0, 1_000.0),
            range("own_share", self.home_zone_share, 0.0, 0.99),
            range("heard_share", self.reporting_share, 0.0, 1.0),
            range("silent_ms", self.silent_ms, 200.0, 60_000.0),
            range("confirm_ms", self.confirm_ms, 0.0, 10_000.0),
        ]
    }

    /// The settings by which a zone is evacuated and stays so.
    fn evacuation_ranges(&self) -> Vec<SettingRange> {
        vec![
            range("most_left", self.max_evacuated_zones, 0.0, 100.0),
            range("left_share", self.max_evacuated_share, 0.0, 0.5),
            range("headroom", self.headroom, 0.1, 1.0),
            range("refused_share", self.rejected_share, 0.0, 1.0),
            range("load_ms", self.load_window_ms, 1_000.0, 120_000.0),
            range("rest_ms", self.return_backoff_ms, 500.0, 3_600_000.0),
            range(
                "most_rest_ms",
                self.max_return_backoff_ms,
                self.return_backoff_ms.into(),
                86_400_000.0,
            ),
            range(
                "calm_ms",
                self.return_history_reset_ms,
                1_000.0,
                86_400_000.0,
            ),
        ]
    }

    /// The settings of [`recovery_ramp`](super::recovery_ramp), and the bound on memory.
    fn return_ranges(&self) -> Vec<SettingRange> {
        vec![
            range("trial_calls", self.trial_calls, 1.0, 1_000.0),
            range("least_results", self.min_results, 3.0, 1_000.0),
            range("slice_ms", self.slice_ms, 100.0, 5_000.0),
            range("within_ms", self.grant_validity_ms, 100.0, 5_000.0),
            range("flight_ms", self.max_transit_ms, 0.0, 5_000.0),
            range("drift", self.max_clock_drift, 0.0, 0.02),
            range("cold_share", self.initial_capacity_share, 0.001, 1.0),
            range("warm_after_ms", self.warmup_ms, 0.0, 3_600_000.0),
            range("overload_factor", self.overload_factor, 0.1, 100.0),
            range("overload_for_ms", self.overload_window_ms, 0.0, 600_000.0),
            range("unlisted_rate", self.unlisted_rate_per_second, 0.01, 1e6),
            range("most_sights", self.max_observations as f64, 1_000.0, 1e7),
        ]
    }

    fn window_fault(&self) -> Option<&'static str> {
        let windows = &self.windows_ms;
        if windows.is_empty()
            || windows.len() > 8
            || windows[0] < 200
            || windows[windows.len() - 1] > 60_000
        {
            return Some("rules.zones.windows_ms: one to eight windows from 200 to 60000");
        }
        if windows.windows(2).any(|pair| pair[0] >= pair[1]) {
            return Some("rules.zones.windows_ms: each has to be longer than the one before");
        }
        None
    }
}

/// A setting's value, and the range that it has to be in, both ends included.
struct SettingRange {
    key: &'static str,
    value: f64,
    lowest: f64,
    highest: f64,
}

fn range(key: &'static str, value: impl Into<f64>, lowest: f64, highest: f64) -> SettingRange {
    SettingRange {
        key,
        value: value.into(),
        lowest,
        highest,
    }
}

impl SettingRange {
    /// What is wrong with the value; a value that is not a number is in no range.
    fn fault(&self) -> Option<String> {
        let SettingRange {
            key,
            value,
            lowest,
            highest,
        } = self;
        if (lowest..=highest).contains(&value) {
            return None;
        }
        Some(format!(
            "rules.zones.{key}: {value} is not from {lowest} to {highest}"
        ))
    }
}

#[cfg(test)]
mod tests;
