//! Computes how much of a zone's traffic the other zones can take, and how many senders a returning
//! zone can readmit.
//!
//! Compares the senders' reports (load, outcomes, endpoint lists) with the settings and makes no
//! decision. `decide` uses it before it proposes an evacuation or a step of a return; `orders` and
//! `status` use it for the reason why a zone cannot be evacuated.

use crate::coordination::leader::LeaderDuties;
use crate::coordination::record::{Phase, Record, Zone};
use crate::coordination::zones::evidence::Evidence;
use crate::coordination::zones::recovery_ramp::{ReturnProgress, OVERLOADED_REJECTED_SHARE};
use crate::coordination::zones::spare_capacity::{movable_share, AlternativeZone, EndpointLists};
use std::collections::BTreeMap;

/// Maximum share of the evacuated senders that one step readmits. Once no more than this share of
/// the senders that were moved out at first is still out, the rest may be readmitted at once.
const MAX_READMITTED_SHARE: f32 = 0.5;
/// Minimum share of the senders by which a partial evacuation is extended: a smaller share is not
/// worth an order.
const MIN_EXTENSION_SHARE: f32 = 0.1;
/// Number of steps in which a destination's senders are readmitted. Each step is an order, which
/// voids the outstanding grants, so there are only a few.
const READMISSION_STEPS: f64 = 4.0;
/// Minimum share of the senders that the first of these steps readmits: a destination that can take
/// less gets granted calls only.
const MIN_READMISSION_SHARE: f64 = 0.5;
/// The minimum interval between two steps of a return is the warm-up divided by this number, but at
/// most [`MAX_READMISSION_INTERVAL_MS`].
const READMISSION_INTERVALS_IN_WARMUP: u32 = 20;
/// Upper limit of the interval that follows from the warm-up, in milliseconds.
const MAX_READMISSION_INTERVAL_MS: u32 = 1_000;
/// Span over which outcomes are counted if the settings contain no window, in milliseconds.
const DEFAULT_SPAN_MS: u32 = 1_000;

/// Reason why a zone cannot be evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CannotEvacuate {
    /// The number of evacuated zones has reached the limit in the settings.
    #[error("{evacuated} of {listed} zones are evacuated already, at most {max} may be")]
    TooManyEvacuated {
        evacuated: usize,
        listed: usize,
        max: usize,
    },
    /// The record has no room for another zone.
    #[error("the record already names the maximum number of zones")]
    RecordFull,
    /// The other zones can take no traffic of any destination.
    #[error("no other zone has spare capacity for the traffic of this zone")]
    NoSpareCapacity,
}

impl LeaderDuties {
    /// Returns, by destination, the share of the senders that stays out of a returning zone; empty
    /// if all are readmitted.
    ///
    /// Each destination readmits as many senders as it can currently take, in steps, and at most
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
        // Destinations that have not answered, or that no sender calls, do not prolong the return
        // once another destination has readmitted all of its senders and no remaining one answers.
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

    /// Returns the share of the senders that a destination of a zone can currently take, in whole
    /// steps.
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
        if share < MIN_READMISSION_SHARE {
            return 0.0;
        }
        share
    }

    /// Returns the share of the senders that a destination of a zone can take when it has warmed
    /// up; more than 1 if it has capacity to spare.
    ///
    /// The lower limit follows from the listed rate, of which `headroom` is used. If the
    /// destination carries less traffic than is listed, the share follows from the traffic: the
    /// zone's part of the destination's current load. It is then limited so that senders with even
    /// parts of the traffic do not overload a destination that is warming up.
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

    /// Returns the milliseconds between two steps of a return.
    pub(super) fn readmission_interval_ms(&self) -> u32 {
        readmission_interval_ms(self.rules.zones.warmup_ms, self.rules.heartbeat_interval_ms)
    }

    /// Returns, by destination, the share of the senders that can be moved out of one more zone.
    ///
    /// # Errors
    ///
    /// Returns the reason if the zone cannot be evacuated for any destination.
    pub(super) fn evacuation_shares(
        &self,
        name: &str,
        record: &Record,
    ) -> Result<Vec<(u16, f32)>, CannotEvacuate> {
        // A zone that is no longer listed carries no traffic and does not count, even if the record
        // has it as evacuated.
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

    /// Returns the maximum number of zones that may be evacuated at once, of `listed` zones.
    fn max_evacuated_zones(&self, listed: usize) -> usize {
        let rules = &self.rules.zones;
        let by_share = (listed as f64 * rules.max_evacuated_share).floor() as usize;
        by_share.max(1).min(rules.max_evacuated_zones as usize)
    }

    /// Returns, by destination, the share of the senders that is out of a zone after a partial
    /// evacuation is extended to what the other zones can currently take. Only destinations that
    /// still fail in the zone are extended. `None` if the extension would be too small.
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
            |destination| staying(destination) >= MIN_EXTENSION_SHARE && is_failing(destination);
        if !self.endpoint_lists.destinations(name).any(may_extend) {
            return None;
        }
        // Load that the remaining senders would bring to the other zones. Part of it already
        // arrives there, as retries of failed calls.
        let load = |destination| {
            let full =
                full_load_per_second(&self.endpoint_lists, &self.evidence, name, destination);
            f64::from(staying(destination)) * full
        };
        let mut evacuated: BTreeMap<u16, f32> = zone.left.iter().copied().collect();
        let mut is_extended = false;
        for (destination, movable) in self.movable_shares(name, record, load) {
            let extension = staying(destination) * movable;
            if is_failing(destination) && extension >= MIN_EXTENSION_SHARE {
                *evacuated.entry(destination).or_insert(0.0) += extension;
                is_extended = true;
            }
        }
        is_extended.then(|| evacuated.into_iter().collect())
    }

    /// Returns, by destination, the share of the senders whose load the other zones can take.
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

    /// Returns, for each destination of a zone, the other zones that list it.
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

    /// Returns the longest window over which zones are judged.
    fn longest_window_ms(&self) -> u32 {
        let windows = &self.rules.zones.windows_ms;
        windows.last().copied().unwrap_or(DEFAULT_SPAN_MS)
    }
}

/// Returns the share of the senders that is out of a destination after one step. `admissible` is
/// the share that the destination can take, `moved_out` the share that was moved out at first, and
/// `still_out` the share that is out before the step.
fn share_after_step(moved_out: f32, still_out: f32, admissible: f64) -> f32 {
    let least_out = if still_out > moved_out * MAX_READMITTED_SHARE {
        still_out * MAX_READMITTED_SHARE
    } else {
        0.0
    };
    let not_admissible = moved_out * (1.0 - admissible as f32);
    not_admissible.max(least_out).min(still_out)
}

/// Returns the calls per second that a zone would get for a destination if no sender were out of
/// it: the zone's part, by listed rate, of the destination's load in all zones.
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

/// Returns the share for a destination in a list of shares; 0 if the list does not contain it.
pub(super) fn share_of(shares: &[(u16, f32)], destination: u16) -> f32 {
    shares
        .iter()
        .find(|(listed, _)| *listed == destination)
        .map_or(0.0, |(_, share)| *share)
}

/// Returns the milliseconds between two steps of a return with this warm-up. Steps are timed by the
/// record's clock, which advances with heartbeats, so the interval is at least one heartbeat
/// interval even if that exceeds [`MAX_READMISSION_INTERVAL_MS`].
fn readmission_interval_ms(warmup_ms: u32, heartbeat_interval_ms: u32) -> u32 {
    let by_warmup = warmup_ms / READMISSION_INTERVALS_IN_WARMUP;
    by_warmup
        .min(MAX_READMISSION_INTERVAL_MS)
        .max(heartbeat_interval_ms)
}

#[cfg(test)]
mod tests;
