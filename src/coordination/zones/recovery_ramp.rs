//! Calls to a zone that is being returned to: one budget for the whole fleet, by destination,
//! handed out to senders as leased grants.
//!
//! [`RecoveryRamp`] owns, for each return, how far each destination has warmed up, who asked for
//! calls, what was granted, and the slice of the budget that is being handed out. It proposes
//! slices (`slices`), judges by the results of granted calls how the return goes (`results`), and
//! estimates what a destination takes by now (`budget`). Whether a return begins, goes on or ends
//! is decided by [`leader`](crate::coordination::leader), which owns one [`RecoveryRamp`] for its
//! term and is the only caller.
//!
//! # The budget
//!
//! An endpoint that is warming up takes the share `w` of what is listed, from
//! [`ZoneRules::initial_capacity_share`] up to all of it after [`ZoneRules::warmup_ms`]
//! (`budget::capacity_share`). It is overloaded where more calls come in
//! [`ZoneRules::overload_window_ms`] (`W`) than [`max_calls_per_window`] of
//! `N = factor * w * rate * W`, which is over `N + 2` always. Warm-up is counted from the first answer of this return, once two senders
//! tell of answers, which is later than the endpoint's own count, so `w` is never over the truth.
//! Calls of a slice that begins at `b` come from `b` to `b + slice + validity + transit`. What is
//! reserved in slices that begin in a span `L` is at most `r (L + slice) + 1` at the rate `r` (the
//! credit saved up is at most one slice and a call). The calls that come in any `W` are of slices
//! that begin in a span of `W + slice + validity + transit`, so with
//! `r = N / (W + 2 slice + validity + transit)` they are at most `N + 1`. The leader is one sender
//! in the sense of [`SlowStartQuota`]: what it hands out is the whole sum, so its rate has no
//! chance in it. What the bound leaves beyond `N + 1` is for the chance of the next paragraph.
//!
//! Senders that have been readmitted limit themselves. What they are expected to send
//! ([`DestinationBudget::readmitted_per_second`]) is taken off the rate; the leader readmits as
//! many as a destination can take ([`RecoveryRamp::estimated_capacity`]).
//!
//! # No call of the budget is granted twice
//!
//! Let a leader of term `t` propose a slice at the moment `p` of its clock.
//!
//! 1. It grants of this slice only after the record has it, and only before `p + slice` by its own
//!    clock, looked at right before each grant. A leader that was stopped meanwhile finds its slice
//!    over. A grant is void `validity` after its report was sent, by the agent's clock, and the
//!    report was sent before the grant. So all calls of the slice begin before `p + slice +
//!    validity`, drift of two clocks added.
//! 2. A leader of a later term `u` is elected by a majority that takes nothing of term `t` from
//!    then on. What `t` proposes after that is not committed, so by 1 never granted. Hence every
//!    slice of `t` that is ever granted of was proposed before the term of `u` began.
//! 3. That leader grants nothing before `(slice + validity) (1 + 2 drift)` have passed on its clock
//!    ([`RecoveryRamp::new`]). By 1 and 2 all calls of earlier terms have begun by then.
//! 4. Within a term slices of a zone don't overlap, and each is handed out once: what is granted is
//!    taken off first. A grant that is lost is not given again.
//!
//! So no two leaders' calls mix, and in any window the sum is that of one budget. Clocks have to go
//! on while a process is stopped; that of Linux does, but not while the machine sleeps, which the
//! operators' page names.

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

/// Fewest senders whose results are believed: the first to tell of an answer and of a failed
/// return. One alone moves nothing.
const MIN_CONFIRMING_SENDERS: usize = 2;

/// The returns of one leader's term.
#[derive(Clone, Debug)]
pub struct RecoveryRamp {
    rules: ZoneRules,
    /// Calls of earlier terms may begin until then.
    previous_terms_end: Nanos,
    returns: BTreeMap<String, ZoneReturn>,
    /// Zones whose last return ended, and until when its calls may begin.
    ended_returns: BTreeMap<String, Nanos>,
    /// Number of the last slice of this term.
    last_slice: u64,
}

/// A zone that the record says is being returned to.
pub struct ReturningZone<'a> {
    /// Its name.
    pub name: &'a str,
    /// The epoch of the order.
    pub epoch: u64,
    /// The destinations for which any sender is still out of it.
    pub destinations: Vec<u16>,
    /// By destination, for how long it had warmed up as of the last slice, in milliseconds.
    pub warmed_ms: &'a [(u16, u32)],
}

/// How far the destinations of a zone have warmed up, in percent of what they list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupRange {
    /// That of the destination that takes least.
    pub lowest_percent: u32,
    /// That of the destination that takes most.
    pub highest_percent: u32,
}

impl RecoveryRamp {
    /// Starts a term. Hands out nothing before all calls that earlier leaders could have granted
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

    /// Takes over from the record which zones are being returned to. Returns of any other zone are
    /// dropped.
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

    /// Drops a return. Calls of its last slice may still begin for a time, for which the next
    /// return of the zone waits.
    fn end_return(&mut self, zone: String) {
        let slice = self.returns.remove(&zone).and_then(|ended| ended.slice);
        if let Some(slice) = slice {
            let longest = ms(self.rules.slice_ms) + 2 * ms(self.rules.grant_validity_ms);
            self.ended_returns.insert(zone, slice.begun_at + longest);
        }
    }

    /// Queues a sender's requests for calls, in place of its earlier ones. `report` is the number
    /// of the report that they came with.
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

    /// Starts a return over, as a zone that has not answered yet: it failed, and an operator wants
    /// it returned to all the same.
    pub fn restart(&mut self, zone: &str) {
        if let Some(zone_return) = self.returns.get_mut(zone) {
            zone_return.restart();
        }
    }

    /// Whether two senders have told of answers since a zone's return began.
    pub fn has_begun(&self, zone: &str) -> bool {
        self.returns
            .get(zone)
            .is_some_and(|zone_return| zone_return.begun_at.is_some())
    }

    /// For how long a zone's return has begun, in milliseconds; nothing where it has not.
    pub fn ms_since_begun(&self, zone: &str, now: Nanos) -> Option<u64> {
        let begun_at = self.returns.get(zone)?.begun_at?;
        Some(now.saturating_sub(begun_at) / 1_000_000)
    }

    /// The share of its listed rate that a destination of a zone is estimated to take by now;
    /// nothing before it has answered.
    ///
    /// Counted as if it had come back with the zone, if no call failed since. Granted calls go by
    /// the destination's own answers alone.
    pub fn estimated_capacity(&self, zone: &str, destination: u16) -> Option<f64> {
        let destination = self.returns.get(zone)?.destinations.get(&destination)?;
        let warmed_ms = destination.warmed_ms? + destination.zone_lead_ms;
        Some(budget::capacity_share(&self.rules, warmed_ms))
    }

    /// How far a zone's destinations have warmed up, of those that anything was requested for; for
    /// the status that operators see.
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
