//! This site's own lease in the federation: requesting it from the leading site and tracking its
//! end.

use crate::coordination::routing_table::member::{
    nanos_of_ms, FederationMember, MemberEffect, MemberMessage,
};
use crate::Nanos;
use std::collections::VecDeque;

/// Time between requests while more than two thirds of the lease are left, in nanoseconds. A third
/// of the lease is used where that is shorter.
const REQUEST_INTERVAL: Nanos = 1_000_000_000;
/// Time between requests when less of the lease is left, in nanoseconds.
const URGENT_REQUEST_INTERVAL: Nanos = 250_000_000;
/// Largest number of unanswered requests, and of grants that wait for their version of the record.
const MAX_PENDING: usize = 16;

/// A request that is not answered yet.
struct PendingRequest {
    id: u64,
    leader: u64,
    sent_at: Nanos,
}

/// A grant that does not count yet, because the version of the record it is based on is not here.
struct UncountedGrant {
    version: u64,
    until: Nanos,
}

/// A lease granted by the leading site.
pub(super) struct Grant {
    pub(super) lease_ms: u32,
    /// Version of the record at the time of the grant.
    pub(super) version: u64,
}

/// State of the requests for this site's lease.
pub(super) struct LeaseClient {
    last_id: u64,
    /// Time of the last request, in nanoseconds; 0 if the current leader was sent none.
    last_sent_at: Nanos,
    pending: VecDeque<PendingRequest>,
    uncounted: VecDeque<UncountedGrant>,
}

impl LeaseClient {
    pub(super) fn new(rng: &mut fastrand::Rng) -> LeaseClient {
        LeaseClient {
            last_id: rng.u64(..) >> 1,
            last_sent_at: 0,
            pending: VecDeque::new(),
            uncounted: VecDeque::new(),
        }
    }

    /// Makes a request due at once, after a change of leader or term.
    pub(super) fn forget_last_request(&mut self) {
        self.last_sent_at = 0;
    }

    fn add_request(&mut self, leader: u64, now: Nanos) -> u64 {
        self.last_id += 1;
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingRequest {
            id: self.last_id,
            leader,
            sent_at: now,
        });
        self.last_id
    }

    /// Removes the request that a site answers and returns the time at which it was sent.
    fn take_request(&mut self, id: u64, leader: u64) -> Option<Nanos> {
        let answered = |request: &PendingRequest| request.id == id && request.leader == leader;
        let at = self.pending.iter().position(answered)?;
        self.pending.remove(at).map(|request| request.sent_at)
    }
}

/// Returns the duration that the holder of a lease counts: 2 % less, to tolerate clocks that run at
/// different rates.
fn holder_share(time: Nanos) -> Nanos {
    time / 100 * 98
}

impl FederationMember {
    /// Requests a lease if a request is due.
    pub(super) fn request_lease(&mut self, now: Nanos, effects: &mut Vec<MemberEffect>) {
        let leader = self.view.leader;
        let last = self.lease.last_sent_at;
        if leader == 0 || last != 0 && now < last + self.request_interval(now) {
            return;
        }
        self.lease.last_sent_at = now;
        if leader == self.settings.site_number {
            if let Some(grant) = self.grant_lease(now, leader) {
                self.add_grant(now, grant.lease_ms, grant.version);
            }
            return;
        }
        let id = self.lease.add_request(leader, now);
        effects.push(MemberEffect::Send {
            to: leader,
            message: MemberMessage::LeaseRequest(id),
        });
    }

    fn request_interval(&self, now: Nanos) -> Nanos {
        let lease = nanos_of_ms(self.settings.lease_ms);
        let ample = now + lease / 3 * 2;
        if self.view.lease_until.is_some_and(|until| until > ample) {
            REQUEST_INTERVAL.min(lease / 3)
        } else {
            URGENT_REQUEST_INTERVAL
        }
    }

    /// Handles a lease grant of the leading site.
    pub(super) fn on_lease_granted(&mut self, from: u64, ask: u64, lease_ms: u32, version: u64) {
        if let Some(sent_at) = self.lease.take_request(ask, from) {
            self.add_grant(sent_at, lease_ms, version);
        }
    }

    fn add_grant(&mut self, requested_at: Nanos, lease_ms: u32, version: u64) {
        if self.lease.uncounted.len() >= MAX_PENDING {
            self.lease.uncounted.pop_front();
        }
        self.lease.uncounted.push_back(UncountedGrant {
            version,
            until: requested_at + holder_share(nanos_of_ms(lease_ms)),
        });
        self.count_granted_leases();
    }

    /// Counts the grants whose version of the record has arrived here.
    pub(super) fn count_granted_leases(&mut self) {
        let version_here = self.view.record.version;
        let lease_until = &mut self.view.lease_until;
        self.lease.uncounted.retain(|grant| {
            let counts = grant.version <= version_here;
            if counts {
                *lease_until = (*lease_until).max(Some(grant.until));
            }
            !counts
        });
    }
}
