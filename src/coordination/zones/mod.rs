//! Zones: what is seen of them ([`evidence`]), what the rest can bear when one is left
//! ([`bearing`]), and the cold calls of a return ([`cold`]). The office brings these together and
//! proposes; the record decides.

pub mod evidence;
pub mod recovery_ramp;
pub mod spare_capacity;

use serde::Deserialize;

/// What zones are judged by; `[rules.zones]` of the keeper's file. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Windows in which a zone is judged, the shortest first. The first is two reports of agents;
    /// the second lets a zone be left in 1.5 s where it gets some 20 calls a second; the last is
    /// for little traffic.
    pub windows_ms: Vec<u32>,
    /// Part of a destination's calls that fail where it counts as hit. Over a half, as one of two
    /// endpoints may be down.
    pub fail_share: f64,
    /// Standard errors by which the part that is seen has to be over it. 3: one window in a
    /// thousand by chance, and that twice.
    pub errors: f64,
    /// Part of the destinations called in the zone that have to be hit.
    pub dest_share: f64,
    /// Part of the reporters that call there that have to see it, by what they send and by head.
    pub reporter_share: f64,
    /// Reporters that have to see it, at the least. Three: two that err together move nothing.
    pub least_reporters: u32,
    /// Calls of one reporter that count in a window, at the most, so that no one outweighs the
    /// others.
    pub most_weight: f64,
    /// Part of the reporters' own zones that have to see it; more than that.
    pub own_share: f64,
    /// Part of the senders with a session that have to be heard; else the keepers are cut off, and
    /// judge nothing.
    pub heard_share: f64,
    /// Calls that hang count where a zone has answered none for so long, `confirm_ms` included.
    /// Five reports of agents; a zone where every call takes longer than that cannot be told from a
    /// dead one.
    pub silent_ms: u32,
    /// A zone has to be seen failing for so long, one report and more.
    pub confirm_ms: u32,
    /// Zones that are out at once, at the most.
    pub most_left: u32,
    /// Part of all zones that is out at once, at the most, but one may be: the rest has to carry
    /// them.
    pub left_share: f64,
    /// Part of the listed rates of the rest that may be filled by what leaves; the remainder is for
    /// chance.
    pub headroom: f64,
    /// Part of calls refused over which a zone has no room for more.
    pub refused_share: f64,
    /// What a zone carries is counted over this time; long against an outage's first seconds.
    pub load_ms: u32,
    /// A return begins after this time...
    pub rest_ms: u32,
    /// ...which doubles with each one that failed, up to this.
    pub most_rest_ms: u32,
    /// A zone that has been used for so long after a return has no failed returns.
    pub calm_ms: u32,
    /// Calls in a slice, before any has been answered; of one destination two.
    pub trial_calls: u32,
    /// Results in a return by which it is judged, at the least.
    pub least_results: u32,
    /// Cold calls are reserved for so long at once.
    pub slice_ms: u32,
    /// A grant holds for so long from when the report that asked for it was sent. A message comes
    /// to that sender in this time or the call is lost: with 12 senders and 6 messages a second for
    /// a destination one in two.
    pub within_ms: u32,
    /// A granted call begins on its endpoint this much later at the most: the connection and the
    /// way.
    pub flight_ms: u32,
    /// Clocks of keepers and senders differ in pace by this part at the most.
    pub drift: f64,
    /// What an endpoint takes when it comes back, as a part of what is listed.
    pub cold_share: f64,
    /// It takes all after this time.
    pub warm_after_ms: u32,
    /// Multiple of what it can take that pushes a cold one over...
    pub overload_factor: f64,
    /// ...kept up for so long; 0: none falls over.
    pub overload_for_ms: u32,
    /// Calls a second to a destination of a zone that lists no rate, when warm.
    pub unlisted_rate: f64,
    /// Sights of one window that are kept at the most, over all zones: 10,000 senders with four in
    /// each report of the longest window would be twice that, and then the oldest go.
    pub most_sights: usize,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            windows_ms: vec![400, 1_000, 4_000],
            fail_share: 0.6,
            errors: 3.0,
            dest_share: 0.6,
            reporter_share: 0.6,
            least_reporters: 3,
            most_weight: 5.0,
            own_share: 0.5,
            heard_share: 0.3,
            silent_ms: 1_000,
            confirm_ms: 200,
            most_left: 4,
            left_share: 0.34,
            headroom: 0.9,
            refused_share: 0.1,
            load_ms: 10_000,
            rest_ms: 5_000,
            most_rest_ms: 160_000,
            calm_ms: 60_000,
            trial_calls: 10,
            least_results: 10,
            slice_ms: 500,
            within_ms: 3_000,
            flight_ms: 250,
            drift: 0.01,
            cold_share: 1.0,
            warm_after_ms: 0,
            overload_factor: 1.0,
            overload_for_ms: 0,
            unlisted_rate: 1.0,
            most_sights: 400_000,
        }
    }
}

impl Rules {
    /// All that is wrong with them; empty where they can be worked by.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut within = |name: &str, value: f64, low: f64, high: f64| {
            if !(low..=high).contains(&value) {
                faults.push(format!(
                    "rules.zones.{name}: {value} is not from {low} to {high}"
                ));
            }
        };
        within("fail_share", self.fail_share, 0.5, 0.95);
        within("errors", self.errors, 1.0, 6.0);
        within("dest_share", self.dest_share, 0.5, 1.0);
        within("reporter_share", self.reporter_share, 0.5, 1.0);
        within("least_reporters", self.least_reporters.into(), 2.0, 1_000.0);
        within("most_weight", self.most_weight, 1.0, 1_000.0);
        within("own_share", self.own_share, 0.0, 0.99);
        within("heard_share", self.heard_share, 0.0, 1.0);
        within("silent_ms", self.silent_ms.into(), 200.0, 60_000.0);
        within("confirm_ms", self.confirm_ms.into(), 0.0, 10_000.0);
        within("most_left", self.most_left.into(), 0.0, 100.0);
        within("left_share", self.left_share, 0.0, 0.5);
        within("headroom", self.headroom, 0.1, 1.0);
        within("refused_share", self.refused_share, 0.0, 1.0);
        within("load_ms", self.load_ms.into(), 1_000.0, 120_000.0);
        within("rest_ms", self.rest_ms.into(), 500.0, 3_600_000.0);
        within(
            "most_rest_ms",
            self.most_rest_ms.into(),
            self.rest_ms.into(),
            86_400_000.0,
        );
        within("calm_ms", self.calm_ms.into(), 1_000.0, 86_400_000.0);
        within("trial_calls", self.trial_calls.into(), 1.0, 1_000.0);
        within("least_results", self.least_results.into(), 3.0, 1_000.0);
        within("slice_ms", self.slice_ms.into(), 100.0, 5_000.0);
        within("within_ms", self.within_ms.into(), 100.0, 5_000.0);
        within("flight_ms", self.flight_ms.into(), 0.0, 5_000.0);
        within("drift", self.drift, 0.0, 0.02);
        within("cold_share", self.cold_share, 0.001, 1.0);
        within("warm_after_ms", self.warm_after_ms.into(), 0.0, 3_600_000.0);
        within("overload_factor", self.overload_factor, 0.1, 100.0);
        within(
            "overload_for_ms",
            self.overload_for_ms.into(),
            0.0,
            600_000.0,
        );
        within("unlisted_rate", self.unlisted_rate, 0.01, 1e6);
        within("most_sights", self.most_sights as f64, 1_000.0, 1e7);
        let w = &self.windows_ms;
        if w.is_empty() || w.len() > 8 || w[0] < 200 || w[w.len() - 1] > 60_000 {
            faults.push("rules.zones.windows_ms: one to eight windows from 200 to 60000".into());
        } else if w.windows(2).any(|two| two[0] >= two[1]) {
            faults.push("rules.zones.windows_ms: each has to be longer than the one before".into());
        }
        faults
    }
}

/// Milliseconds as time.
pub(super) fn ms(ms: u32) -> crate::Nanos {
    crate::Nanos::from(ms) * 1_000_000
}

#[cfg(test)]
mod tests;
