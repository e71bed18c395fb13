//! How much of a zone's traffic the other zones can take, and how many senders a zone that is
//! returned to can get back.
//!
//! Compares what the senders report (load, outcomes, endpoint lists) with the settings, and
//! decides nothing: `decide` asks before it proposes an evacuation or a step of a return, and
//! `orders` and `status` for the reason why a zone can't be evacuated.

use crate::coordination::leader::LeaderDuties;
use crate::coordination::record::{Phase, Record, Zone};
use crate::coordination::zones::evidence::Evidence;
use crate::coordination::zones::recovery_ramp::{ReturnProgress, OVERLOADED_REJECTED_SHARE};
use crate::coordination::zones::spare_capacity::{movable_share, AlternativeZone, EndpointLists};
use std::collections::BTreeMap;

/// Senders are readmitted at most by this share of those that are out; the last ones, at most this
/// share of those that were moved out, all at once.
const MAX_READMITTED_SHARE: f32 = 0.5;
/// A partial evacuation is extended by so great a share of the senders at least: less is not worth
/// an order.
const LEAST_EXTENSION: f32 = 0.1;
/// Steps in which a destination's senders are readmitted. Each is an order, which voids what was
/// granted before, so they are few.
const READMISSION_STEPS: f64 = 4.0;
/// Share of the senders that the first of these steps readmits: a destination that takes less goes
/// by granted calls alone.
const LEAST_READMISSION: f64 = 0.5;
/// Steps of a return come no closer than this part of the warm-up, and not further apart than
/// [`MAX_READMISSION_INTERVAL_MS`].
const READMISSION_INTERVALS_IN_WARMUP: u32 = 20;
/// Longest time between two steps of a return, in milliseconds, whatever the warm-up is.
const MAX_READMISSION_INTERVAL_MS: u32 = 1_000;
/// Span over which outcomes are counted where the settings have no window, in milliseconds.
const DEFAULT_SPAN_MS: u32 = 1_000;

/// Why a zone can't be evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CannotEvacuate {
    /// As many zones are evacuated as the settings permit.
    #[error("{evacuated} zones of {listed} are out already, of {max} that may be")]
    TooManyEvacuated {
        evacuated: usize,
        listed: usize,
        max: usize,
    },
    /// The record can't name another zone.
    #[error("the record names as many zones as it may")]
    RecordFull,
    /// There is no destination of which the other zones can take any traffic.
    #[error("no other zone can bear what goes there")]
    NoSpareCapacity,
}

impl LeaderDuties {
    /// By destination, the share of the senders that stays out of a zone that is being returned
    /// to; empty where all are readmitted.
    ///
    /// Of each destination as many are readmitted as it can take by now, in steps, and at most
    /// half of them at once.
    pub(super) fn evacuation_after_readmission(
        &self,
        name: &str,
        zone: &Zone,
        progress: ReturnProgress,
    ) -> Vec<(u16, f32)> {
        let silent_ms = self.rules.zones.silent_ms;
        let recent = self.evidence.recent_counts(name, self.judged_at, silent_ms);
        let mut remaining = Vec::new();
        let mut any_answers = false;
        for (destination, moved_out) in &zone.left {
            let is_overloaded = recent
                .get(destination)
                .is_some_and(|counts| counts.rejected_share() >= OVERLOADED_REJECTED_SHARE);
            let still_out = share_of(&zone.out, *destination);
            let share = if is_overloaded || still_out <= 0.0 {
                still_out
            } else {
                let admissible = self.admissible_share(name, *destination, progress);
                share_after_step(*moved_out, still_out, admissible)
            };
            if share > 0.0 {
                any_answers |= self.answers(name, *destination);
                remaining.push((*destination, share));
            }
        }
        // A destination that alone does not answer, or that nobody calls, keeps the order no
        // longer than the others do.
        if remaining.len() < zone.left.len() && !any_answers {
            return Vec::new();
        }
        remaining
    }

    /// Whether a destination of a zone has answered in its return.
    fn answers(&self, zone: &str, destination: u16) -> bool {
        self.recovery_ramp
            .estimated_capacity(zone, destination)
            .is_some()
    }

    /// The share of the senders that a destination of a zone can take by now, in whole steps.
    fn admissible_share(&self, zone: &str, destination: u16, progress: ReturnProgress) -> f64 {
        let capacity = match progress {
            ReturnProgress::Unused => 1.0,
            ReturnProgress::Ongoing | ReturnProgress::Failed => self
                .recovery_ramp
                .estimated_capacity(zone, destination)
                .unwrap_or(0.0),
        };
        let when_warm = self.admissible_share_when_warm(zone, destination);
        let steps = (READMISSION_STEPS * capacity * when_warm).floor();
        let share = steps.min(READMISSION_STEPS) / READMISSION_STEPS;
        if share < LEAST_READMISSION {
            return 0.0;
        }
        share
    }

    /// The share of the senders that a destination of a zone can take when it has warmed up; over
    /// 1 where it has capacity to spare.
    ///
    /// By the list at least: no more than its headroom is used. Where less traffic comes than is
    /// listed, by the traffic: the zone's part of all that the destination carries now, and no
    /// more senders than overload one that is warming up with their even parts.
    fn admissible_share_when_warm(&self, zone: &str, destination: u16) -> f64 {
        let rules = &self.rules.zones;
        let by_list = 1.0 / rules.headroom;
        let Some(rate_per_second) = self
            .endpoint_lists
            .capacity(zone, destination)
            .map(|listed| listed.rate_per_second)
            .filter(|rate_per_second| *rate_per_second > 0.0)
        else {
            return by_list;
        };
        let load = full_load_per_second(&self.endpoint_lists, &self.evidence, zone, destination);
        let by_load = if load > 0.0 {
            rate_per_second * rules.headroom / load
        } else {
            by_list
        };
        let without_overload = if rules.overload_window_ms == 0 {
            f64::INFINITY
        } else {
            rules.overload_factor
        };
        by_list.max(by_load.min(without_overload))
    }

    /// Milliseconds between two steps of a return.
    pub(super) fn readmission_interval_ms(&self) -> u32 {
        readmission_interval_ms(self.rules.zones.warmup_ms, self.rules.heartbeat_interval_ms)
    }

    /// By destination, the share of the senders that can be moved out of one more zone.
    ///
    /// # Errors
    ///
    /// Why it can't be evacuated for any destination.
    pub(super) fn evacuation_shares(
        &self,
        name: &str,
        record: &Record,
    ) -> Result<Vec<(u16, f32)>, CannotEvacuate> {
        // A zone that no list names any more carries nothing, whatever the record has of it.
        let evacuated = record
            .zones
            .iter()
            .filter(|(other, zone)| zone.phase != Phase::Used && *other != name)
            .filter(|(other, _)| self.endpoint_lists.destination_count(other) > 0)
            .count();
        let listed = self.endpoint_lists.zones().count();
        let max = self.max_evacuated_zones(listed);
        if evacuated >= max {
            return Err(CannotEvacuate::TooManyEvacuated {
                evacuated,
                listed,
                max,
            });
        }
        if !record.has_room(name) {
            return Err(CannotEvacuate::RecordFull);
        }
        let load = |destination| self.evidence.load_per_second(name, destination);
        let shares = self.movable_shares(name, record, load);
        if shares.is_empty() {
            return Err(CannotEvacuate::NoSpareCapacity);
        }
        Ok(shares)
    }

    /// Most zones, of so many that are listed, that may be evacuated at once.
    fn max_evacuated_zones(&self, listed: usize) -> usize {
        let rules = &self.rules.zones;
        let by_share = (listed as f64 * rules.max_evacuated_share).floor() as usize;
        by_share.max(1).min(rules.max_evacuated_zones as usize)
    }

    /// By destination, the share of the senders that is out of a zone after a partial evacuation
    /// is extended to what the rest can take by now, of destinations that still fail there.
    /// Nothing where that is too little.
    pub(super) fn extended_evacuation(
        &self,
        name: &str,
        zone: &Zone,
        record: &Record,
    ) -> Option<Vec<(u16, f32)>> {
        let staying = |destination: u16| 1.0 - share_of(&zone.left, destination);
        let recent = self
            .evidence
            .recent_counts(name, self.judged_at, self.longest_window_ms());
        let is_failing = |destination: u16| {
            recent
                .get(&destination)
                .is_some_and(|counts| counts.mostly_failed())
        };
        let may_extend =
            |destination| staying(destination) >= LEAST_EXTENSION && is_failing(destination);
        if !self.endpoint_lists.destinations(name).any(may_extend) {
            return None;
        }
        // What those that stay would bring elsewhere; some of it is there already, after a call
        // that failed.
        let load = |destination| {
            let full =
                full_load_per_second(&self.endpoint_lists, &self.evidence, name, destination);
            f64::from(staying(destination)) * full
        };
        let mut evacuated: BTreeMap<u16, f32> = zone.left.iter().copied().collect();
        let mut is_extended = false;
        for (destination, movable) in self.movable_shares(name, record, load) {
            let extension = staying(destination) * movable;
            if is_failing(destination) && extension >= LEAST_EXTENSION {
                *evacuated.entry(destination).or_insert(0.0) += extension;
                is_extended = true;
            }
        }
        is_extended.then(|| evacuated.into_iter().collect())
    }

    /// By destination, the share of the senders whose load the other zones can take.
    fn movable_shares(
        &self,
        zone: &str,
        record: &Record,
        load_per_second: impl Fn(u16) -> f64,
    ) -> Vec<(u16, f32)> {
        self.alternatives(zone, record)
            .into_iter()
            .map(|(destination, zones)| {
                let load = load_per_second(destination);
                let share = movable_share(&self.rules.zones, load, &zones);
                (destination, share as f32)
            })
            .filter(|(_, share)| *share > 0.0)
            .collect()
    }

    /// For each destination of a zone, the other zones that list it.
    pub(super) fn alternatives(
        &self,
        zone: &str,
        record: &Record,
    ) -> Vec<(u16, Vec<AlternativeZone>)> {
        let span_ms = self.longest_window_ms();
        let others: BTreeMap<&str, _> = self
            .endpoint_lists
            .zones()
            .filter(|other| *other != zone)
            .map(|other| {
                let recent = self.evidence.recent_counts(other, self.judged_at, span_ms);
                (other, recent)
            })
            .collect();
        let for_destination = |destination: u16| {
            let alternatives = others.iter().filter_map(|(other, recent)| {
                let listed = self.endpoint_lists.capacity(other, destination)?;
                let evacuated = record
                    .zones
                    .get(*other)
                    .filter(|zone| zone.phase != Phase::Used)
                    .map_or(0.0, |zone| share_of(&zone.out, destination));
                let counts = recent.get(&destination).copied().unwrap_or_default();
                Some(AlternativeZone {
                    rate_per_second: listed.rate_per_second,
                    load_per_second: self.evidence.load_per_second(other, destination),
                    rejected_share: counts.rejected_share_lower_bound(),
                    evacuated_share: evacuated.into(),
                    is_failing: counts.mostly_failed(),
                })
            });
            (destination, alternatives.collect())
        };
        self.endpoint_lists
            .destinations(zone)
            .map(for_destination)
            .collect()
    }

    /// The longest span over which zones are judged.
    fn longest_window_ms(&self) -> u32 {
        let windows = &self.rules.zones.windows_ms;
        windows.last().copied().unwrap_or(DEFAULT_SPAN_MS)
    }
}

/// The share of the senders that is out of a destination after one step, where `admissible` can be
/// in it, `moved_out` were moved out at first and `still_out` are out before the step.
fn share_after_step(moved_out: f32, still_out: f32, admissible: f64) -> f32 {
    let least_out = if still_out > moved_out * MAX_READMITTED_SHARE {
        still_out * MAX_READMITTED_SHARE
    } else {
        0.0
    };
    let not_admissible = moved_out * (1.0 - admissible as f32);
    not_admissible.max(least_out).min(still_out)
}

/// Calls a second that a zone would get for a destination if no sender were out of it: its part,
/// by the list, of all that is carried there.
pub(super) fn full_load_per_second(
    lists: &EndpointLists,
    evidence: &Evidence,
    zone: &str,
    destination: u16,
) -> f64 {
    let mut listed_by_all = 0.0;
    let mut carried_by_all = 0.0;
    for other in lists.zones() {
        if let Some(listed) = lists.capacity(other, destination) {
            listed_by_all += listed.rate_per_second;
            carried_by_all += evidence.load_per_second(other, destination);
        }
    }
    let listed = lists
        .capacity(zone, destination)
        .map_or(0.0, |listed| listed.rate_per_second);
    carried_by_all * listed / f64::max(listed_by_all, 1e-9)
}

/// The share of the senders that a list of shares has for a destination; 0 where it has none.
pub(super) fn share_of(shares: &[(u16, f32)], destination: u16) -> f32 {
    shares
        .iter()
        .find(|(listed, _)| *listed == destination)
        .map_or(0.0, |(_, share)| *share)
}

/// Milliseconds between two steps of a return to what warms up for so long. Steps are counted on
/// the record's clock, so a heartbeat is the least, also where heartbeats are further apart than
/// steps may be otherwise.
fn readmission_interval_ms(warmup_ms: u32, heartbeat_interval_ms: u32) -> u32 {
    let by_warmup = warmup_ms / READMISSION_INTERVALS_IN_WARMUP;
    by_warmup
        .min(MAX_READMISSION_INTERVAL_MS)
        .max(heartbeat_interval_ms)
}

#[cfg(test)]
mod tests;
