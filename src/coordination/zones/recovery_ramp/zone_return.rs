//! The state of one zone's return.

use crate::coordination::zones::recovery_ramp::{ReturningZone, MIN_CONFIRMING_SENDERS};
use crate::coordination::zones::RecentCounts;
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most senders that wait for calls of one zone and destination: as many as the record names.
/// Any others ask again with their next report.
const MAX_QUEUED_REQUESTS: usize = 10_000;

/// One zone's return, in one leader's term.
#[derive(Clone, Debug)]
pub(super) struct ZoneReturn {
    /// The epoch of the order that it follows.
    pub(super) epoch: u64,
    pub(super) since: Nanos,
    /// Up to when warm-up has been counted.
    pub(super) advanced_at: Nanos,
    /// When a call was requested or its result told last.
    pub(super) last_used_at: Nanos,
    pub(super) destinations: BTreeMap<u16, ReturningDestination>,
    /// The last slice, which may be over.
    pub(super) slice: Option<Slice>,
    /// Something of the zone has answered since this return began, or was restarted.
    pub(super) has_answered: bool,
    /// When two senders had told of answers.
    pub(super) begun_at: Option<Nanos>,
    /// Nothing is granted before this while nothing answers.
    pub(super) next_probe_at: Nanos,
    /// The destination that was probed last while nothing answered.
    pub(super) last_probed: Option<u16>,
    /// Granted calls whose results are not told yet, by sender.
    pub(super) outstanding: BTreeMap<u32, OutstandingCalls>,
    /// Senders that were granted calls; up to [`MIN_CONFIRMING_SENDERS`], as for the next two.
    pub(super) granted_to: BTreeSet<u32>,
    /// Senders that told of an answer.
    pub(super) answered_to: BTreeSet<u32>,
    /// Senders that told of a failure.
    pub(super) failed_for: BTreeSet<u32>,
}

/// One destination of a zone that is being returned to.
#[derive(Clone, Debug, Default)]
pub(super) struct ReturningDestination {
    /// For how long it has warmed up since its first answer; nothing before that.
    pub(super) warmed_ms: Option<f64>,
    /// For how long the zone had been back before that answer without a failed call here.
    pub(super) zone_lead_ms: f64,
    pub(super) last_failure_at: Nanos,
    /// Calls that may be reserved: rate saved up, one slice and a call at the most.
    pub(super) credit: f64,
    /// Results of granted calls; they fade once it has answered.
    pub(super) results: RecentCounts,
    pub(super) requests: VecDeque<GrantRequest>,
    /// Calls were requested for it in this return.
    pub(super) was_requested: bool,
}

/// A sender's request for calls of one destination.
#[derive(Clone, Debug)]
pub(super) struct GrantRequest {
    pub(super) sender: u32,
    /// The number of the report that it came with.
    pub(super) report: u64,
    pub(super) received_at: Nanos,
    pub(super) calls: u32,
}

/// Calls that are reserved of the budget for [`slice_ms`].
///
/// [`slice_ms`]: crate::coordination::zones::ZoneRules::slice_ms
#[derive(Clone, Debug)]
pub(super) struct Slice {
    pub(super) number: u64,
    pub(super) begun_at: Nanos,
    pub(super) calls: BTreeMap<u16, SliceCalls>,
    /// The record has it: nothing is granted of it before.
    pub(super) is_committed: bool,
}

/// The calls of one destination in a slice.
#[derive(Clone, Copy, Debug)]
pub(super) struct SliceCalls {
    pub(super) total: u32,
    /// Those that are not granted yet.
    pub(super) remaining: u32,
}

/// Granted calls of a sender whose results are not told yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutstandingCalls {
    pub(super) calls: u32,
    pub(super) granted_at: Nanos,
}

impl ZoneReturn {
    /// A return that this leader has just learned of. Where the record has a warm-up, the zone has
    /// answered under an earlier leader.
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

    /// Takes over the epoch and the destinations that the record has.
    pub(super) fn follow(&mut self, zone: &ReturningZone<'_>) {
        if self.epoch != zone.epoch {
            self.epoch = zone.epoch;
            // What is left of the slice is lost, as grants of another epoch are void. Its time
            // still counts: calls of it may yet begin.
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

    /// Queues a request for calls of a destination.
    pub(super) fn request(&mut self, now: Nanos, destination: u16, request: GrantRequest) {
        let Some(destination) = self.destinations.get_mut(&destination) else {
            return;
        };
        destination.was_requested = true;
        self.last_used_at = now;
        destination.queue(request);
    }

    /// Starts over as a zone that has not answered.
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

    /// Whether so many senders have told of answers that they are believed.
    pub(super) fn is_answer_confirmed(&self) -> bool {
        self.answered_to.len() >= MIN_CONFIRMING_SENDERS
    }
}

impl ReturningDestination {
    /// Puts a request in the queue. A sender that waits already keeps its place.
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
