//! Settings by which zones are judged: `[rules.zones]` of the replica's configuration file.
//!
//! Defines the keys, their defaults and their permitted ranges. The leader's own settings are in
//! [`leader::rules`](crate::coordination::leader::LeaderRules), which contains these.
//!
//! The keys keep the spelling of existing configuration files; where a field has a clearer name
//! here, `serde(rename)` gives the key.

use serde::Deserialize;

/// Settings by which zones are judged. Times are in milliseconds, shares from 0 to 1.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneRules {
    /// Windows in which a zone is judged, the shortest first.
    ///
    /// The first spans two reports of each agent; the second permits evacuation within 1.5 s of a
    /// zone that gets about 20 calls per second; the last is for little traffic.
    pub windows_ms: Vec<u32>,
    /// Share of failed calls from which a destination counts as failing.
    ///
    /// More than a half, as one of two endpoints may be down.
    #[serde(rename = "fail_share")]
    pub failure_share: f64,
    /// Standard errors by which the observed share of failures has to exceed `failure_share`.
    ///
    /// With 3, one window in a thousand exceeds the share by chance, and two in succession are
    /// required.
    #[serde(rename = "errors")]
    pub standard_errors: f64,
    /// Share of the destinations called in the zone that have to fail.
    #[serde(rename = "dest_share")]
    pub destination_share: f64,
    /// Share of the reporters calling the zone that have to see it failing, counted both by calls
    /// and by reporters.
    pub reporter_share: f64,
    /// Minimum number of reporters that have to see it failing.
    ///
    /// Three, so that two reporters with the same fault cause no evacuation.
    #[serde(rename = "least_reporters")]
    pub min_reporters: u32,
    /// Maximum number of calls of one reporter that count in a window, so that no reporter
    /// outweighs the others.
    #[serde(rename = "most_weight")]
    pub max_reporter_weight: f64,
    /// Share of the reporters' home zones that has to be exceeded by those that see it failing.
    #[serde(rename = "own_share")]
    pub home_zone_share: f64,
    /// Share of the senders with a session that have to report.
    ///
    /// If fewer report, the replicas themselves are isolated, and no zone is judged.
    #[serde(rename = "heard_share")]
    pub reporting_share: f64,
    /// Time without an answer of a zone after which its hanging calls count as failures, including
    /// `confirm_ms`.
    ///
    /// Equals five reports of an agent. A zone in which every call takes longer than this cannot be
    /// distinguished from a dead one.
    pub silent_ms: u32,
    /// Time for which a zone has to be seen failing: more than one report.
    pub confirm_ms: u32,
    /// Maximum number of zones that are evacuated at once.
    #[serde(rename = "most_left")]
    pub max_evacuated_zones: u32,
    /// Maximum share of all zones that is evacuated at once; one zone may always be evacuated.
    ///
    /// The remaining zones have to carry the traffic.
    #[serde(rename = "left_share")]
    pub max_evacuated_share: f64,
    /// Share of the listed rates of the other zones that evacuated traffic may use.
    ///
    /// The remainder absorbs random fluctuations.
    pub headroom: f64,
    /// Share of rejected calls above which a zone has no spare capacity.
    #[serde(rename = "refused_share")]
    pub rejected_share: f64,
    /// Time over which a zone's load is averaged; long compared with the first seconds of an
    /// outage.
    #[serde(rename = "load_ms")]
    pub load_window_ms: u32,
    /// Time from an evacuation to the first return. Doubles with each recent return.
    #[serde(rename = "rest_ms")]
    pub return_backoff_ms: u32,
    /// Maximum time from an evacuation to the next return.
    #[serde(rename = "most_rest_ms")]
    pub max_return_backoff_ms: u32,
    /// Time in use after a return from which a zone counts as one without earlier returns.
    #[serde(rename = "calm_ms")]
    pub return_history_reset_ms: u32,
    /// Calls of all destinations in a slice before two reporters have reported answers; at most two
    /// per destination.
    pub trial_calls: u32,
    /// Minimum number of results by which a return is judged.
    #[serde(rename = "least_results")]
    pub min_results: u32,
    /// Time for which the calls of a return are reserved at once.
    pub slice_ms: u32,
    /// Validity of a grant, from when the report that requested it was sent.
    ///
    /// The granted call is lost if the sender gets no message for it in this time. With 12 senders
    /// and 6 messages per second for a destination, one in two is lost.
    #[serde(rename = "within_ms")]
    pub grant_validity_ms: u32,
    /// Maximum time from a sender's start of a granted call to its arrival at the endpoint:
    /// connection setup and transit.
    #[serde(rename = "flight_ms")]
    pub max_transit_ms: u32,
    /// Maximum relative difference in rate between the clocks of replicas and senders.
    #[serde(rename = "drift")]
    pub max_clock_drift: f64,
    /// Capacity of an endpoint right after it comes back, as a share of its listed rate.
    #[serde(rename = "cold_share")]
    pub initial_capacity_share: f64,
    /// Time after which an endpoint takes its whole listed rate.
    #[serde(rename = "warm_after_ms")]
    pub warmup_ms: u32,
    /// Multiple of its current capacity that overloads an endpoint that is warming up, if sustained
    /// for `overload_for_ms`.
    pub overload_factor: f64,
    /// Time for which that multiple has to be sustained; 0: no endpoint is ever overloaded.
    #[serde(rename = "overload_for_ms")]
    pub overload_window_ms: u32,
    /// Calls per second to a warmed-up destination of a zone that lists no rate.
    #[serde(rename = "unlisted_rate")]
    pub unlisted_rate_per_second: f64,
    /// Maximum number of observations that are kept at once, over all zones.
    ///
    /// 10,000 senders with four observations in each report of the longest window would have twice
    /// as many; the oldest are then dropped.
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
    /// Returns an error text for every setting that is out of its range, named by its key; empty if
    /// all are valid.
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

    /// Returns the ranges of the settings by which [`evidence`](super::evidence) judges.
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

    /// Returns the ranges of the settings for evacuations and their duration.
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

    /// Returns the ranges of the settings of [`recovery_ramp`](super::recovery_ramp), and of the
    /// limit on memory.
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

/// A setting's value and its permitted range, both ends included.
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
    /// Returns an error text if the value is out of its range; NaN is in no range.
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
