//! State of one zone's return.

use crate::coordination::zones::recovery_ramp::{ReturningZone, MIN_CONFIRMING_SENDERS};
use crate::coordination::zones::RecentCounts;
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of senders with queued requests for one zone and destination: as many as the
/// record names. Any others request again with their next report.
const MAX_QUEUED_REQUESTS: usize = 10_000;

/// One zone's return, in one leader's term.
#[derive(Clone, Debug)]
pub(super) struct ZoneReturn {
    /// Epoch of the order.
    pub(super) epoch: u64,
    /// Time at which this leader learned of the return.
    pub(super) since: Nanos,
    /// Time up to which warm-up has been counted.
    pub(super) advanced_at: Nanos,
    /// Time at which a call was last requested or its result reported.
    pub(super) last_used_at: Nanos,
    pub(super) destinations: BTreeMap<u16, ReturningDestination>,
    /// The last slice, which may have ended.
    pub(super) slice: Option<Slice>,
    /// Whether any destination has answered since this return began or was restarted.
    pub(super) has_answered: bool,
    /// Time at which answers were confirmed.
    pub(super) begun_at: Option<Nanos>,
    /// Time before which nothing is granted while no destination answers.
    pub(super) next_probe_at: Nanos,
    /// The last destination without an answer for which calls were reserved.
    pub(super) last_probed: Option<u16>,
    /// Granted calls whose results have not been reported yet, by sender.
    pub(super) outstanding: BTreeMap<u32, OutstandingCalls>,
    /// Senders that were granted calls; at most [`MIN_CONFIRMING_SENDERS`], as in the next two
    /// sets.
    pub(super) granted_to: BTreeSet<u32>,
    /// Senders that reported an accepted call.
    pub(super) answered_to: BTreeSet<u32>,
    /// Senders that reported a failed call.
    pub(super) failed_for: BTreeSet<u32>,
}

/// One destination of a returning zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ReturningDestination {
    /// Warm-up time since its first answer, in milliseconds; `None` before that.
    pub(super) warmed_ms: Option<f64>,
    /// Time before that answer for which the zone had been back and no call failed here, in
    /// milliseconds.
    pub(super) zone_lead_ms: f64,
    pub(super) last_failure_at: Nanos,
    /// Number of calls that may be reserved: the rate accumulated over time, at most one slice and
    /// a call.
    pub(super) credit: f64,
    /// Results of granted calls; their weight decays once the destination has answered.
    pub(super) results: RecentCounts,
    pub(super) requests: VecDeque<GrantRequest>,
    /// Whether calls were requested for it in this return.
    pub(super) was_requested: bool,
}

/// A sender's request for calls to one destination.
#[derive(Clone, Debug)]
pub(super) struct GrantRequest {
    pub(super) sender: u32,
    /// Number of the report that contained it.
    pub(super) report: u64,
    pub(super) received_at: Nanos,
    pub(super) calls: u32,
}

/// Calls of the budget that are reserved for [`slice_ms`].
///
/// [`slice_ms`]: crate::coordination::zones::ZoneRules::slice_ms
#[derive(Clone, Debug)]
pub(super) struct Slice {
    pub(super) number: u64,
    pub(super) begun_at: Nanos,
    pub(super) calls: BTreeMap<u16, SliceCalls>,
    /// Whether it was applied to the record; no call of it is granted before.
    pub(super) is_committed: bool,
}

/// The calls of one destination in a slice.
#[derive(Clone, Copy, Debug)]
pub(super) struct SliceCalls {
    pub(super) total: u32,
    /// Calls that have not been granted yet.
    pub(super) remaining: u32,
}

/// Granted calls of a sender whose results have not been reported yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutstandingCalls {
    pub(super) calls: u32,
    pub(super) granted_at: Nanos,
}

impl ZoneReturn {
    /// Creates a return of which this leader has just learned. If the record contains a warm-up,
    /// the zone has answered under an earlier leader.
    pub(super) fn new(now: Nanos, zone: &ReturningZone<'_>) -> ZoneReturn {
        let has_answered = !zone.warmed_ms.is_empty();
        ZoneReturn {
            epoch: zone.epoch,
            since: now,
            advanced_at: now,
            last_used_at: now,
            destinations: BTreeMap::new(),
            slice: None,
            has_answered,
            begun_at: has_answered.then_some(now),
            next_probe_at: 0,
            last_probed: None,
            outstanding: BTreeMap::new(),
            granted_to: BTreeSet::new(),
            answered_to: BTreeSet::new(),
            failed_for: BTreeSet::new(),
        }
    }

    /// Updates the epoch and the destinations to those of the record.
    pub(super) fn follow(&mut self, zone: &ReturningZone<'_>) {
        if self.epoch != zone.epoch {
            self.epoch = zone.epoch;
            // The remaining calls of the slice are dropped, as grants of another epoch are void.
            // Its time still counts, as calls that were granted may still begin.
            if let Some(slice) = &mut self.slice {
                slice.calls.clear();
            }
        }
        self.destinations
            .retain(|destination, _| zone.destinations.contains(destination));
        for destination in &zone.destinations {
            let recorded = zone
                .warmed_ms
                .iter()
                .find(|(recorded, _)| recorded == destination);
            self.destinations
                .entry(*destination)
                .or_insert_with(|| ReturningDestination {
                    warmed_ms: recorded.map(|(_, warmed_ms)| f64::from(*warmed_ms)),
                    credit: 1.0,
                    ..ReturningDestination::default()
                });
        }
    }

    /// Queues a request for calls to a destination.
    pub(super) fn request(&mut self, now: Nanos, destination: u16, request: GrantRequest) {
        let Some(destination) = self.destinations.get_mut(&destination) else {
            return;
        };
        destination.was_requested = true;
        self.last_used_at = now;
        destination.queue(request);
    }

    /// Restarts the return as that of a zone that has not answered.
    pub(super) fn restart(&mut self) {
        self.failed_for.clear();
        self.answered_to.clear();
        self.has_answered = false;
        self.begun_at = None;
        for destination in self.destinations.values_mut() {
            destination.warmed_ms = None;
            destination.results = RecentCounts::default();
        }
    }

    /// Whether enough senders have reported answers for the zone to count as back.
    pub(super) fn is_answer_confirmed(&self) -> bool {
        self.answered_to.len() >= MIN_CONFIRMING_SENDERS
    }
}

impl ReturningDestination {
    /// Adds a request to the queue. A sender with a queued request keeps its position.
    fn queue(&mut self, request: GrantRequest) {
        let waiting = self
            .requests
            .iter()
            .position(|waiting| waiting.sender == request.sender);
        if let Some(position) = waiting {
            self.requests[position] = request;
        } else if self.requests.len() < MAX_QUEUED_REQUESTS {
            self.requests.push_back(request);
        }
    }
}
