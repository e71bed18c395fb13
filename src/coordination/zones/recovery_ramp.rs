//! Budget of calls to a returning zone: one budget for the whole fleet, by destination, which
//! senders get as leased grants.
//!
//! [`RecoveryRamp`] keeps, for each return, the warm-up of each destination, the senders' requests
//! for calls, the outstanding grants, and the current slice of the budget. It proposes slices
//! (`slices`), judges the progress of the return by the results of granted calls (`results`), and
//! estimates the current capacity of a destination (`budget`). The
//! [leader](crate::coordination::leader) decides whether a return begins, continues or ends. It
//! owns one [`RecoveryRamp`] for its term and is the only caller.
//!
//! # The budget
//!
//! An endpoint that is warming up takes the share `w` of its listed rate, from
//! [`ZoneRules::initial_capacity_share`] up to all of it after [`ZoneRules::warmup_ms`]
//! (`budget::capacity_share`). It is overloaded if more calls arrive in
//! [`ZoneRules::overload_window_ms`] (`W`) than [`max_calls_per_window`] of
//! `N = factor * w * rate * W`, which always exceeds `N + 2`. Warm-up is counted from the first
//! answer of this return, once two senders have reported answers. This is later than the start of
//! the endpoint's own warm-up, so `w` never exceeds the true share.
//!
//! Calls of a slice that begins at `b` arrive between `b` and `b + slice + validity + transit`. The
//! calls reserved in slices that begin in a span `L` number at most `r (L + slice) + 1` at the rate
//! `r` (the accumulated credit is at most one slice and a call). The calls that arrive in any `W`
//! belong to slices that begin in a span of `W + slice + validity + transit`, so with
//! `r = N / (W + 2 slice + validity + transit)` they are at most `N + 1`. The leader is a single
//! sender in the sense of [`SlowStartQuota`]: it grants the whole sum, so its rate needs no reserve
//! for random variation. The remainder of the bound above `N + 1` is the reserve for the variation
//! of readmitted senders.
//!
//! Senders that have been readmitted limit themselves. Their expected rate
//! ([`DestinationBudget::readmitted_per_second`]) is subtracted from the budget's rate; the leader
//! readmits as many as a destination can take ([`RecoveryRamp::estimated_capacity`]).
//!
//! # No call of the budget is granted twice
//!
//! Let a leader of term `t` propose a slice at time `p` of its clock.
//!
//! 1. It grants calls of this slice only after the slice was applied to the record, and only before
//!    `p + slice` by its own clock, which it reads right before each grant. A leader that was
//!    stopped meanwhile finds that its slice has ended. A grant expires `validity` after its report
//!    was sent, by the agent's clock, and the report was sent before the grant. So all calls of the
//!    slice begin before `p + slice + validity`, plus the drift of two clocks.
//! 2. A leader of a later term `u` is elected by a majority that accepts nothing of term `t` from
//!    then on. A proposal of `t` after the election is not committed, so by 1 no calls of it are
//!    granted. Hence every slice of `t` of which calls are granted was proposed before the term `u`
//!    began.
//! 3. The leader of `u` grants nothing before `(slice + validity) (1 + 2 drift)` have passed on its
//!    clock ([`RecoveryRamp::new`]). By 1 and 2 all calls of earlier terms have begun by then.
//! 4. Within a term, slices of a zone do not overlap, and the calls of each are granted once: they
//!    are deducted before the grant is sent. A lost grant is not issued again.
//!
//! So calls of two leaders never overlap, and in any window their sum is that of one budget. This
//! requires clocks that continue while a process is stopped. Linux's monotonic clock does, but not
//! while the machine is suspended; the operators' documentation states this.

use crate::coordination::messages::AttemptLeaseRequest;
use crate::coordination::zones::{ms, ZoneRules};
#[cfg(doc)]
use crate::dispatch::slow_start::{max_calls_per_window, SlowStartQuota};
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

mod budget;
mod results;
mod slices;
mod zone_return;

pub use results::{ReturnProgress, OVERLOADED_REJECTED_SHARE};
pub use slices::{DestinationBudget, SliceReservation};

use zone_return::{GrantRequest, ZoneReturn};

/// Minimum number of senders that have to report a zone's first answer or a failed return. Reports
/// of a single sender do not suffice.
const MIN_CONFIRMING_SENDERS: usize = 2;

/// State of all returns in one leader's term.
#[derive(Clone, Debug)]
pub struct RecoveryRamp {
    rules: ZoneRules,
    /// Time until which calls granted in earlier terms may begin.
    previous_terms_end: Nanos,
    returns: BTreeMap<String, ZoneReturn>,
    /// Zones whose last return ended, with the time until which its calls may begin.
    ended_returns: BTreeMap<String, Nanos>,
    /// Number of the last slice of this term.
    last_slice: u64,
}

/// A zone that is returning in the record.
pub struct ReturningZone<'a> {
    /// Name of the zone.
    pub name: &'a str,
    /// Epoch of the order.
    pub epoch: u64,
    /// Destinations for which some senders are still out of the zone.
    pub destinations: Vec<u16>,
    /// Warm-up time of each destination as of the last slice, in milliseconds.
    pub warmed_ms: &'a [(u16, u32)],
}

/// Range of the warm-up of a zone's destinations, in percent of their listed rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupRange {
    /// Warm-up of the destination with the lowest one.
    pub lowest_percent: u32,
    /// Warm-up of the destination with the highest one.
    pub highest_percent: u32,
}

impl RecoveryRamp {
    /// Starts a term. No call is granted before all calls that earlier leaders may have granted
    /// have begun.
    pub fn new(rules: ZoneRules, now: Nanos) -> RecoveryRamp {
        let longest_ms = f64::from(rules.slice_ms + rules.grant_validity_ms)
            * (1.0 + 2.0 * rules.max_clock_drift);
        RecoveryRamp {
            rules,
            previous_terms_end: now + ms(longest_ms.ceil() as u32),
            returns: BTreeMap::new(),
            ended_returns: BTreeMap::new(),
            last_slice: 0,
        }
    }

    /// Updates the returns to those of the record. Returns of any other zone are dropped.
    pub fn follow<'a>(&mut self, now: Nanos, zones: impl Iterator<Item = ReturningZone<'a>>) {
        let mut ended: BTreeSet<String> = self.returns.keys().cloned().collect();
        for zone in zones {
            ended.remove(zone.name);
            let zone_return = self
                .returns
                .entry(zone.name.to_string())
                .or_insert_with(|| ZoneReturn::new(now, &zone));
            zone_return.follow(&zone);
        }
        for zone in ended {
            self.end_return(zone);
        }
        self.ended_returns.retain(|_, until| *until > now);
    }

    /// Drops a return. Calls of its last slice may still begin for some time, and the next return
    /// of the zone waits until then.
    fn end_return(&mut self, zone: String) {
        let slice = self.returns.remove(&zone).and_then(|ended| ended.slice);
        if let Some(slice) = slice {
            let longest = ms(self.rules.slice_ms) + 2 * ms(self.rules.grant_validity_ms);
            self.ended_returns.insert(zone, slice.begun_at + longest);
        }
    }

    /// Queues a sender's requests for calls and replaces its earlier ones. `report` is the number
    /// of the report that contained them.
    pub fn request_grants(
        &mut self,
        now: Nanos,
        sender: u32,
        report: u64,
        wants: &[AttemptLeaseRequest],
    ) {
        for want in wants.iter().filter(|want| want.attempts > 0) {
            let Some(zone_return) = self.returns.get_mut(&want.zone) else {
                continue;
            };
            let request = GrantRequest {
                sender,
                report,
                received_at: now,
                calls: want.attempts,
            };
            zone_return.request(now, want.dest, request);
        }
    }

    /// Restarts a return as that of a zone that has not answered yet, after the return failed and
    /// an operator still requests it.
    pub fn restart(&mut self, zone: &str) {
        if let Some(zone_return) = self.returns.get_mut(zone) {
            zone_return.restart();
        }
    }

    /// Whether answers have been confirmed since a zone's return was ordered.
    pub fn has_begun(&self, zone: &str) -> bool {
        self.returns
            .get(zone)
            .is_some_and(|zone_return| zone_return.begun_at.is_some())
    }

    /// Returns the milliseconds since answers of a zone were confirmed; `None` before that.
    pub fn ms_since_begun(&self, zone: &str, now: Nanos) -> Option<u64> {
        let begun_at = self.returns.get(zone)?.begun_at?;
        Some(now.saturating_sub(begun_at) / 1_000_000)
    }

    /// Returns the share of its listed rate that a destination of a zone is estimated to take now;
    /// `None` before it has answered.
    ///
    /// Warm-up is counted from when the zone came back or the destination's last call failed,
    /// whichever is later. The budget of granted calls counts it from the destination's own first
    /// answer instead.
    pub fn estimated_capacity(&self, zone: &str, destination: u16) -> Option<f64> {
        let destination = self.returns.get(zone)?.destinations.get(&destination)?;
        let warmed_ms = destination.warmed_ms? + destination.zone_lead_ms;
        Some(budget::capacity_share(&self.rules, warmed_ms))
    }

    /// Returns the warm-up of those destinations of a zone for which calls were requested; shown in
    /// the status for operators.
    pub fn warmup(&self, zone: &str) -> Option<WarmupRange> {
        let percents = self
            .returns
            .get(zone)?
            .destinations
            .values()
            .filter(|destination| destination.was_requested)
            .map(|destination| {
                let share = destination.warmed_ms.map_or(0.0, |warmed_ms| {
                    budget::capacity_share(&self.rules, warmed_ms)
                });
                (share * 100.0) as u32
            });
        let percents: Vec<u32> = percents.collect();
        Some(WarmupRange {
            lowest_percent: percents.iter().copied().min()?,
            highest_percent: percents.iter().copied().max()?,
        })
    }
}
