//! What this sender's calls came to, by zone and destination, since it was last told. No I/O, no
//! clock.

use crate::coordination::messages::{CallCounts, MessageOutcomeCounts, ZoneCallCounts};
use crate::delivery::LifecycleEvent;
use crate::dispatch::statistics::{from_secs, to_secs, Meter, RateMemory, MS};
use crate::{Nanos, Outcome};
use std::collections::BTreeMap;

/// Zones and destinations that are counted: with names of [`NAME`] bytes all of them fit one word,
/// beside as many lines of a list.
pub const GROUPS: usize = 1_024;
/// Policies, classes and tenants that are counted: nine policies, each with some thirty classes or
/// tenants.
pub const FATES: usize = 256;
/// Longest name of a zone, in bytes; what is in others is not counted.
pub const NAME: usize = 64;
/// A call hangs once it is out for longer than this, two reports, and than so many times what calls
/// usually take there. Who judges zones waits for a silence besides.
const HANGS: (Nanos, f64) = (400 * MS, 4.0);
/// What calls are taken to need before one has ended anywhere, in seconds, and the weight of the
/// newest where there are many.
const USUAL: (f64, f64) = (0.4, 0.1);
/// Memory of how many calls a destination gets: seconds, and the part that one more leaves.
const MEMORY: RateMemory = RateMemory {
    fade_seconds: 4.0,
    least_kept: 0.9,
};

/// What calls usually take: the mean of the first ones, then the newer ones weigh more.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    seconds: f64,
    calls: u32,
}

impl Usual {
    fn learn(&mut self, took: f64) {
        self.calls = self.calls.saturating_add(1);
        self.seconds += USUAL.1.max(1.0 / f64::from(self.calls)) * (took - self.seconds);
    }

    fn seconds(&self) -> Option<f64> {
        (self.calls > 0).then_some(self.seconds)
    }
}

#[derive(Debug)]
struct Tally {
    counts: CallCounts,
    usual: Usual,
    /// The last report told of calls that hang.
    hung: bool,
}

/// Owner of the counts.
#[derive(Debug, Default)]
pub struct Ledger {
    groups: BTreeMap<(String, u16), Tally>,
    out: BTreeMap<u64, ((String, u16), Nanos)>,
    rates: BTreeMap<u16, Meter>,
    /// What calls take anywhere: for where none has ended yet, as few of one sender go to each zone
    /// and destination.
    usual: Usual,
    next: u64,
    /// What became of messages, by policy, class and tenant.
    fates: BTreeMap<(u64, String, u16), MessageOutcomeCounts>,
}

impl Ledger {
    /// This became of a message. Its owner tells each end once.
    pub fn life(&mut self, policy: u64, class: &str, tenant: u16, life: LifecycleEvent) {
        let group = (policy, class.to_string(), tenant);
        if class.len() > NAME || self.fates.len() >= FATES && !self.fates.contains_key(&group) {
            return;
        }
        let fresh = || MessageOutcomeCounts {
            policy,
            class: class.into(),
            tenant,
            ..MessageOutcomeCounts::default()
        };
        let health = self.fates.entry(group).or_insert_with(fresh);
        let count = match life {
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
        std::mem::take(&mut self.fates).into_values().collect()
    }

    /// A call is out to a zone and destination. Its name is for [`Ledger::back`].
    pub fn out(&mut self, now: Nanos, zone: &str, dest: u16) -> u64 {
        self.next += 1;
        self.out.insert(self.next, ((zone.to_string(), dest), now));
        if self.rates.len() >= GROUPS && !self.rates.contains_key(&dest) {
            self.rates.pop_first();
        }
        self.rates
            .entry(dest)
            .or_insert_with(|| Meter::new(now, MEMORY.fade_seconds))
            .record(now, MEMORY);
        self.next
    }

    /// It is not out any more.
    pub fn back(&mut self, call: u64) {
        self.out.remove(&call);
    }

    /// A call there ended so. What was called off or never sent counts for nothing.
    pub fn ended(&mut self, zone: &str, dest: u16, outcome: Outcome, took: Nanos) {
        let Some(tally) = self.tally(zone, dest) else {
            return;
        };
        let counts = &mut tally.counts;
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
            tally.usual.learn(to_secs(took));
            self.usual.learn(to_secs(took));
        }
    }

    /// Takes what was counted since it was last taken, and how many calls hang now.
    pub fn take(&mut self, now: Nanos) -> Vec<ZoneCallCounts> {
        let mut hanging: BTreeMap<(String, u16), u32> = BTreeMap::new();
        for (group, since) in self.out.values() {
            let usual = self
                .groups
                .get(group)
                .and_then(|t| t.usual.seconds())
                .or(self.usual.seconds());
            let usual = usual.unwrap_or(USUAL.0);
            if now.saturating_sub(*since) > HANGS.0.max(from_secs(HANGS.1 * usual)) {
                *hanging.entry(group.clone()).or_default() += 1;
            }
        }
        for (zone, dest) in hanging.keys() {
            self.tally(zone, *dest);
        }
        let mut seen = Vec::new();
        for (group, tally) in &mut self.groups {
            let mut counts = std::mem::take(&mut tally.counts);
            counts.hanging = hanging.get(group).copied().unwrap_or(0);
            // That none hangs any more is told once.
            let told = counts != CallCounts::default() || tally.hung;
            tally.hung = counts.hanging > 0;
            if told {
                seen.push(ZoneCallCounts {
                    zone: group.0.clone(),
                    dest: group.1,
                    counts,
                });
            }
        }
        seen
    }

    /// Calls a second that a destination gets of this sender.
    pub fn rate(&self, now: Nanos, dest: u16) -> f64 {
        self.rates.get(&dest).map_or(0.0, |r| r.rate(now))
    }

    fn tally(&mut self, zone: &str, dest: u16) -> Option<&mut Tally> {
        let group = (zone.to_string(), dest);
        if zone.len() > NAME {
            return None;
        }
        if self.groups.len() >= GROUPS && !self.groups.contains_key(&group) {
            // One that has nothing to tell makes room; where all have, the newest goes without.
            let idle = self
                .groups
                .iter()
                .find(|(_, t)| t.counts == CallCounts::default() && !t.hung);
            let idle = idle.map(|(group, _)| group.clone())?;
            self.groups.remove(&idle);
        }
        let fresh = || Tally {
            counts: CallCounts::default(),
            usual: Usual::default(),
            hung: false,
        };
        Some(self.groups.entry(group).or_insert_with(fresh))
    }
}

#[cfg(test)]
mod tests;
