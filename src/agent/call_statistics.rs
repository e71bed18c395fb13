//! Statistics of this sender's calls and messages since the last report.
//!
//! Owns the counts by zone and destination, the calls in flight, and the counts of messages by
//! policy, class and tenant. No I/O, no clock. [`super::observer`] records; the session's reports
//! take the counts ([`super::session`]).
//!
//! Invariants: every ended call and every message's end is counted in exactly one report; and the
//! tables are bounded, so that a report always fits one frame.

use crate::coordination::messages::{CallCounts, MessageOutcomeCounts, ZoneCallCounts};
use crate::delivery::LifecycleEvent;
use crate::dispatch::statistics::{from_secs, to_secs, Meter, RateMemory, MS};
use crate::{Nanos, Outcome};
use std::collections::BTreeMap;

/// Maximum number of counted pairs of zone and destination. With names of [`MAX_ZONE_NAME`] bytes
/// all of them fit one frame, together with as many entries of an endpoint list.
pub const MAX_GROUPS: usize = 1_024;
/// Maximum number of counted combinations of policy, class and tenant: nine policies, each with
/// about thirty classes or tenants.
pub const MAX_HEALTH_GROUPS: usize = 256;
/// Maximum length of the name of a zone or class, in bytes. Calls and messages with longer names
/// are not counted.
pub const MAX_ZONE_NAME: usize = 64;
/// Minimum time in flight (ns) after which a call hangs: two default report intervals.
const MIN_HANGING: Nanos = 400 * MS;
/// Multiple of the usual duration of calls to the same zone and destination that a hanging call
/// also exceeds. The judgement on a zone additionally waits for a period of silence.
const HANGING_FACTOR: f64 = 4.0;
/// Assumed duration of calls before any call has ended (seconds).
const DEFAULT_DURATION_SECONDS: f64 = 0.4;
/// Minimum weight of the newest call in the usual duration.
const NEWEST_WEIGHT: f64 = 0.1;
/// Averaging of a destination's call rate.
const RATE_MEMORY: RateMemory = RateMemory {
    fade_seconds: 4.0,
    least_kept: 0.9,
};

/// Usual duration of calls: the mean of the first ones, then an exponentially weighted mean.
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

/// Name of a zone, and a destination.
type Group = (String, u16);

/// Key of the messages that are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HealthGroup {
    policy: u64,
    class: String,
    /// Position of the tenant in the settings.
    tenant: u16,
}

/// Statistics of one zone and destination.
#[derive(Debug, Default)]
struct GroupStatistics {
    counts: CallCounts,
    usual: UsualDuration,
    /// Whether the last report contained hanging calls.
    reported_hanging: bool,
}

impl GroupStatistics {
    /// Whether there is nothing to report.
    fn is_idle(&self) -> bool {
        self.counts == CallCounts::default() && !self.reported_hanging
    }
}

/// A call in flight.
#[derive(Debug)]
struct InFlight {
    group: Group,
    started: Nanos,
}

/// Statistics since the last report.
#[derive(Debug, Default)]
pub struct CallStatistics {
    groups: BTreeMap<Group, GroupStatistics>,
    in_flight: BTreeMap<u64, InFlight>,
    last_call: u64,
    rates: BTreeMap<u16, Meter>,
    /// Usual duration of all calls, for groups where no call has ended yet: a single sender makes
    /// few calls to each zone and destination.
    usual: UsualDuration,
    health: BTreeMap<HealthGroup, MessageOutcomeCounts>,
}

impl CallStatistics {
    /// Counts an event of a message. The owner of the message reports each end once.
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

    /// Returns and resets the counts of messages.
    pub fn take_health(&mut self) -> Vec<MessageOutcomeCounts> {
        std::mem::take(&mut self.health).into_values().collect()
    }

    /// Records the start of a call to a zone and destination. Returns the number of the call for
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

    /// Records that a call is no longer in flight.
    pub fn call_finished(&mut self, call: u64) {
        self.in_flight.remove(&call);
    }

    /// Counts the outcome of a call to a zone and destination that took `duration` (ns). Cancelled
    /// and unsent calls are not counted.
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

    /// Returns and resets the counts of calls, with the number of calls that hang now.
    pub fn take_counts(&mut self, now: Nanos) -> Vec<ZoneCallCounts> {
        let hanging = self.hanging_calls(now);
        for (zone, dest) in hanging.keys() {
            self.group_mut(zone, *dest);
        }
        let mut changed_counts = Vec::new();
        for (group, statistics) in &mut self.groups {
            let mut counts = std::mem::take(&mut statistics.counts);
            counts.hanging = hanging.get(group).copied().unwrap_or(0);
            // The end of the last hanging call is reported once.
            let is_news = counts != CallCounts::default() || statistics.reported_hanging;
            statistics.reported_hanging = counts.hanging > 0;
            if is_news {
                let (zone, dest) = group.clone();
                changed_counts.push(ZoneCallCounts { zone, dest, counts });
            }
        }
        changed_counts
    }

    /// Returns the number of hanging calls by group.
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

    /// Returns the calls per second that this sender makes to a destination.
    pub fn calls_per_second(&self, now: Nanos, dest: u16) -> f64 {
        self.rates.get(&dest).map_or(0.0, |meter| meter.rate(now))
    }

    /// Returns the statistics of a zone and destination; `None` where the table is full.
    fn group_mut(&mut self, zone: &str, dest: u16) -> Option<&mut GroupStatistics> {
        if zone.len() > MAX_ZONE_NAME {
            return None;
        }
        let group = (zone.to_string(), dest);
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&group) {
            // A group with nothing to report is replaced; where there is none, the new group is not
            // counted.
            let idle = self.groups.iter().find(|(_, s)| s.is_idle());
            let idle = idle.map(|(group, _)| group.clone())?;
            self.groups.remove(&idle);
        }
        Some(self.groups.entry(group).or_default())
    }
}

#[cfg(test)]
mod tests;
