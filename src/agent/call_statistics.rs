//! What this sender's calls and messages came to since they were last reported.
//!
//! Owns the counts by zone and destination, the calls that are in flight, and the counts of
//! messages by policy, class and tenant. No I/O, no clock. [`super::observer`] records; the
//! session's reports take the counts ([`super::session`]).
//!
//! Invariants: every ended call and every message's end is counted in one report, once; and the
//! tables are bounded, so that a report always fits one frame.

use crate::coordination::messages::{CallCounts, MessageOutcomeCounts, ZoneCallCounts};
use crate::delivery::LifecycleEvent;
use crate::dispatch::statistics::{from_secs, to_secs, Meter, RateMemory, MS};
use crate::{Nanos, Outcome};
use std::collections::BTreeMap;

/// Zones and destinations that are counted: with names of [`MAX_ZONE_NAME`] bytes all of them fit
/// one frame, beside as many entries of a list.
pub const MAX_GROUPS: usize = 1_024;
/// Policies, classes and tenants that are counted: nine policies, each with some thirty classes or
/// tenants.
pub const MAX_HEALTH_GROUPS: usize = 256;
/// Longest name of a zone or class, in bytes; what is in others is not counted.
pub const MAX_ZONE_NAME: usize = 64;
/// A call hangs once it is in flight for longer than this (ns): two reports ...
const MIN_HANGING: Nanos = 400 * MS;
/// ... and for longer than so many times what calls there usually take. Who judges zones waits for
/// a silence besides.
const HANGING_FACTOR: f64 = 4.0;
/// What calls are taken to need before one has ended anywhere (seconds).
const DEFAULT_DURATION_SECONDS: f64 = 0.4;
/// The weight of the newest call in the usual duration, where there are many.
const NEWEST_WEIGHT: f64 = 0.1;
/// Memory of a destination's call rate.
const RATE_MEMORY: RateMemory = RateMemory {
    fade_seconds: 4.0,
    least_kept: 0.9,
};

/// What calls usually take: the mean of the first ones, then an exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
struct UsualDuration {
    mean_seconds: f64,
    calls: u32,
}

impl UsualDuration {
    fn record(&mut self, seconds: f64) {
        self.calls = self.calls.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.calls));
        self.mean_seconds += weight * (seconds - self.mean_seconds);
    }

    fn seconds(&self) -> Option<f64> {
        (self.calls > 0).then_some(self.mean_seconds)
    }
}

/// A zone's name and a destination.
type Group = (String, u16);

/// Whose messages are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HealthGroup {
    policy: u64,
    class: String,
    /// Position in the settings.
    tenant: u16,
}

/// The counts of one zone and destination.
#[derive(Debug, Default)]
struct GroupStatistics {
    counts: CallCounts,
    usual: UsualDuration,
    /// The last report told of calls that hang.
    reported_hanging: bool,
}

impl GroupStatistics {
    /// Whether there is nothing to report.
    fn is_idle(&self) -> bool {
        self.counts == CallCounts::default() && !self.reported_hanging
    }
}

/// A call that is in flight.
#[derive(Debug)]
struct InFlight {
    group: Group,
    started: Nanos,
}

/// The counts since the last report.
#[derive(Debug, Default)]
pub struct CallStatistics {
    groups: BTreeMap<Group, GroupStatistics>,
    in_flight: BTreeMap<u64, InFlight>,
    last_call: u64,
    rates: BTreeMap<u16, Meter>,
    /// What calls take anywhere: for groups where none has ended yet, as few of one sender go to
    /// each zone and destination.
    usual: UsualDuration,
    health: BTreeMap<HealthGroup, MessageOutcomeCounts>,
}

impl CallStatistics {
    /// Counts what became of a message. Its owner tells each end once.
    pub fn record_lifecycle_event(
        &mut self,
        policy: u64,
        class: &str,
        tenant: u16,
        event: LifecycleEvent,
    ) {
        let group = HealthGroup {
            policy,
            class: class.to_string(),
            tenant,
        };
        let is_full = self.health.len() >= MAX_HEALTH_GROUPS && !self.health.contains_key(&group);
        if class.len() > MAX_ZONE_NAME || is_full {
            return;
        }
        let health = self
            .health
            .entry(group)
            .or_insert_with(|| MessageOutcomeCounts {
                policy,
                class: class.into(),
                tenant,
                ..MessageOutcomeCounts::default()
            });
        let count = match event {
            LifecycleEvent::Rejected => &mut health.rejected,
            LifecycleEvent::Accepted => &mut health.accepted,
            LifecycleEvent::Delivered => &mut health.delivered,
            LifecycleEvent::DeliveredLate => &mut health.delivered_late,
            LifecycleEvent::Deferred => &mut health.deferred,
            LifecycleEvent::Failed => &mut health.failed,
        };
        *count = count.saturating_add(1);
    }

    /// Takes what became of messages since it was last taken.
    pub fn take_health(&mut self) -> Vec<MessageOutcomeCounts> {
        std::mem::take(&mut self.health).into_values().collect()
    }

    /// A call to a zone and destination starts. Gives its number, for
    /// [`CallStatistics::call_finished`].
    pub fn call_started(&mut self, now: Nanos, zone: &str, dest: u16) -> u64 {
        self.last_call += 1;
        let call = InFlight {
            group: (zone.to_string(), dest),
            started: now,
        };
        self.in_flight.insert(self.last_call, call);
        if self.rates.len() >= MAX_GROUPS && !self.rates.contains_key(&dest) {
            self.rates.pop_first();
        }
        self.rates
            .entry(dest)
            .or_insert_with(|| Meter::new(now, RATE_MEMORY.fade_seconds))
            .record(now, RATE_MEMORY);
        self.last_call
    }

    /// A call is not in flight any more.
    pub fn call_finished(&mut self, call: u64) {
        self.in_flight.remove(&call);
    }

    /// Counts how a call to a zone and destination ended, after `duration` (ns). What was cancelled
    /// or never sent does not count.
    pub fn record_outcome(&mut self, zone: &str, dest: u16, outcome: Outcome, duration: Nanos) {
        let Some(group) = self.group_mut(zone, dest) else {
            return;
        };
        let counts = &mut group.counts;
        let count = match outcome {
            Outcome::Delivered => &mut counts.delivered,
            Outcome::Rejected { .. } => &mut counts.rejected,
            Outcome::Error | Outcome::Reset => &mut counts.failed,
            Outcome::Timeout => &mut counts.timed_out,
            Outcome::ConnectFailed => &mut counts.connect_failed,
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        *count = count.saturating_add(1);
        if outcome == Outcome::Delivered {
            group.usual.record(to_secs(duration));
            self.usual.record(to_secs(duration));
        }
    }

    /// Takes what was counted since it was last taken, and how many calls hang now.
    pub fn take_counts(&mut self, now: Nanos) -> Vec<ZoneCallCounts> {
        let hanging = self.hanging_calls(now);
        for (zone, dest) in hanging.keys() {
            self.group_mut(zone, *dest);
        }
        let mut seen = Vec::new();
        for (group, statistics) in &mut self.groups {
            let mut counts = std::mem::take(&mut statistics.counts);
            counts.hanging = hanging.get(group).copied().unwrap_or(0);
            // That none hangs any more is reported once.
            let is_news = counts != CallCounts::default() || statistics.reported_hanging;
            statistics.reported_hanging = counts.hanging > 0;
            if is_news {
                let (zone, dest) = group.clone();
                seen.push(ZoneCallCounts { zone, dest, counts });
            }
        }
        seen
    }

    /// Calls that are in flight for much longer than is usual there, by group.
    fn hanging_calls(&self, now: Nanos) -> BTreeMap<Group, u32> {
        let mut hanging: BTreeMap<Group, u32> = BTreeMap::new();
        for call in self.in_flight.values() {
            let usual = self
                .groups
                .get(&call.group)
                .and_then(|statistics| statistics.usual.seconds())
                .or(self.usual.seconds())
                .unwrap_or(DEFAULT_DURATION_SECONDS);
            let limit = MIN_HANGING.max(from_secs(HANGING_FACTOR * usual));
            if now.saturating_sub(call.started) > limit {
                *hanging.entry(call.group.clone()).or_default() += 1;
            }
        }
        hanging
    }

    /// Calls per second that a destination gets of this sender.
    pub fn calls_per_second(&self, now: Nanos, dest: u16) -> f64 {
        self.rates.get(&dest).map_or(0.0, |meter| meter.rate(now))
    }

    /// The statistics of a zone and destination; nothing where there is no room for them.
    fn group_mut(&mut self, zone: &str, dest: u16) -> Option<&mut GroupStatistics> {
        if zone.len() > MAX_ZONE_NAME {
            return None;
        }
        let group = (zone.to_string(), dest);
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&group) {
            // One that has nothing to report makes room; where all have, the newest goes without.
            let idle = self.groups.iter().find(|(_, s)| s.is_idle());
            let idle = idle.map(|(group, _)| group.clone())?;
            self.groups.remove(&idle);
        }
        Some(self.groups.entry(group).or_default())
    }
}

#[cfg(test)]
mod tests;
