//! Zone evacuations: endpoints that are listed as ready and get no attempts all the same, except
//! for the few attempts that are leased.
//!
//! The module owns the orders in force, their leases and the reservations of leased attempts. It
//! does no I/O, and its caller passes the time. Only [`super::endpoint_directory`] calls it.
//!
//! Invariant: no more attempts start under a lease than it grants, and none after it has expired.
//! An attempt is reserved before a connection is chosen for it and starts right before its first
//! byte; the reservations ensure that no more attempts are prepared than can start.

use crate::delivery::endpoint::Endpoint;
use crate::DestinationId;
use std::collections::BTreeMap;
use std::time::Instant;

/// Maximum number of leases kept for one order; a further one replaces the one that expires first.
const MAX_LEASES_PER_ORDER: usize = 32;

/// An order to evacuate the endpoints of one destination in one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct EvacuationOrder {
    /// Name of the zone.
    pub zone: String,
    /// The destination.
    pub dest: DestinationId,
    /// Number that distinguishes the order from later ones; a lease of another epoch is void.
    pub epoch: u64,
    /// Time at which the order ends by itself, if it does.
    pub until: Option<Instant>,
}

/// A grant of attempts that may start in spite of an evacuation order.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptLease {
    /// Number of attempts that have not started yet.
    pub attempts: u32,
    /// Time at which the lease expires; attempts that have not started by then are lost.
    pub until: Instant,
}

/// Error of a reservation: every leased attempt is reserved for another message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("all leased attempts are reserved for other messages")]
pub struct LeaseExhausted;

/// Status of one destination in one zone under the evacuation orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EvacuationStatus {
    /// No order is in force.
    InUse,
    /// An order is in force, and no further attempt may be prepared.
    Evacuated,
    /// An order is in force, and there are leased attempts that are not reserved.
    LeaseAvailable,
}

/// An order with its leases.
#[derive(Debug)]
struct Evacuation {
    order: EvacuationOrder,
    leases: Vec<AttemptLease>,
    /// Number of attempts that are being prepared.
    reserved: u32,
}

impl Evacuation {
    fn is_in_force(&self, now: Instant) -> bool {
        self.order.until.is_none_or(|until| now < until)
    }

    fn leased_attempts_left(&self, now: Instant) -> u32 {
        self.leases
            .iter()
            .filter(|lease| lease.is_usable(now))
            .map(|lease| lease.attempts)
            .sum()
    }

    fn has_unreserved_attempts(&self, now: Instant) -> bool {
        self.leased_attempts_left(now) > self.reserved
    }
}

impl AttemptLease {
    fn is_usable(&self, now: Instant) -> bool {
        self.attempts > 0 && now < self.until
    }
}

/// The evacuations in force, with their leases.
#[derive(Debug, Default)]
pub struct ZoneEvacuations {
    by_destination: BTreeMap<DestinationId, Vec<Evacuation>>,
}

impl ZoneEvacuations {
    /// Whether there is no order at all.
    pub fn is_empty(&self) -> bool {
        self.by_destination.is_empty()
    }

    /// Returns the number of orders.
    pub fn len(&self) -> usize {
        self.by_destination.values().map(Vec::len).sum()
    }

    /// Replaces all orders. An order that exists already with the same epoch keeps its leases.
    pub fn set_orders(&mut self, orders: Vec<EvacuationOrder>) {
        let mut previous = std::mem::take(&mut self.by_destination);
        for order in orders {
            let kept = previous.get_mut(&order.dest).and_then(|evacuations| {
                let at = evacuations
                    .iter()
                    .position(|e| e.order.zone == order.zone)?;
                Some(evacuations.swap_remove(at)).filter(|e| e.order.epoch == order.epoch)
            });
            let (leases, reserved) = kept.map_or((Vec::new(), 0), |e| (e.leases, e.reserved));
            self.by_destination
                .entry(order.dest)
                .or_default()
                .push(Evacuation {
                    order,
                    leases,
                    reserved,
                });
        }
    }

    /// Adds a lease to the order of the given epoch, if there is one.
    pub fn grant_lease(
        &mut self,
        zone: &str,
        dest: DestinationId,
        epoch: u64,
        lease: AttemptLease,
    ) {
        let evacuation = self.find_mut(zone, dest).filter(|e| e.order.epoch == epoch);
        let Some(evacuation) = evacuation else {
            return;
        };
        let leases = &mut evacuation.leases;
        if leases.len() >= MAX_LEASES_PER_ORDER {
            let first_to_expire = leases
                .iter()
                .enumerate()
                .min_by_key(|(_, lease)| lease.until)
                .map(|(at, _)| at);
            if let Some(at) = first_to_expire {
                leases.swap_remove(at);
            }
        }
        leases.push(lease);
    }

    /// Returns the status of a destination in a zone.
    pub fn status(&self, zone: &str, dest: DestinationId, now: Instant) -> EvacuationStatus {
        let Some(evacuation) = self.find(zone, dest).filter(|e| e.is_in_force(now)) else {
            return EvacuationStatus::InUse;
        };
        if evacuation.has_unreserved_attempts(now) {
            EvacuationStatus::LeaseAvailable
        } else {
            EvacuationStatus::Evacuated
        }
    }

    /// Whether a prepared attempt may start.
    pub fn admits(&self, zone: &str, dest: DestinationId, now: Instant) -> bool {
        self.find(zone, dest)
            .filter(|e| e.is_in_force(now))
            .is_none_or(|e| e.leased_attempts_left(now) > 0)
    }

    /// Reserves an attempt that is about to be prepared. Under an order it returns the order's
    /// epoch, for [`ZoneEvacuations::release_reservation`].
    ///
    /// # Errors
    /// Fails if every leased attempt is reserved already.
    pub fn reserve_attempt(
        &mut self,
        endpoint: &Endpoint,
        now: Instant,
    ) -> Result<Option<u64>, LeaseExhausted> {
        let evacuation = self
            .find_mut(&endpoint.entry.zone, endpoint.entry.dest)
            .filter(|e| e.is_in_force(now));
        let Some(evacuation) = evacuation else {
            return Ok(None);
        };
        if !evacuation.has_unreserved_attempts(now) {
            return Err(LeaseExhausted);
        }
        evacuation.reserved += 1;
        Ok(Some(evacuation.order.epoch))
    }

    /// Starts an attempt, which uses one of the lease that expires first. Returns false if an order
    /// is in force and no leased attempt is left.
    pub fn start_attempt(&mut self, endpoint: &Endpoint, now: Instant) -> bool {
        let evacuation = self
            .find_mut(&endpoint.entry.zone, endpoint.entry.dest)
            .filter(|e| e.is_in_force(now));
        let Some(evacuation) = evacuation else {
            return true;
        };
        let first_to_expire = evacuation
            .leases
            .iter_mut()
            .filter(|lease| lease.is_usable(now))
            .min_by_key(|lease| lease.until);
        let Some(lease) = first_to_expire else {
            return false;
        };
        lease.attempts -= 1;
        true
    }

    /// Releases a reservation after its attempt has started or was given up.
    pub fn release_reservation(&mut self, endpoint: &Endpoint, epoch: u64) {
        let evacuation = self
            .find_mut(&endpoint.entry.zone, endpoint.entry.dest)
            .filter(|e| e.order.epoch == epoch);
        if let Some(evacuation) = evacuation {
            evacuation.reserved = evacuation.reserved.saturating_sub(1);
        }
    }

    /// Returns the number of leased attempts that have not started.
    pub fn leased_attempts_left(&self, zone: &str, dest: DestinationId, now: Instant) -> u32 {
        self.find(zone, dest)
            .map_or(0, |e| e.leased_attempts_left(now))
    }

    /// Removes the orders and leases that have ended, and returns when the next one ends.
    pub fn remove_expired(&mut self, now: Instant) -> Option<Instant> {
        self.by_destination.retain(|_, evacuations| {
            evacuations.retain(|e| e.is_in_force(now));
            for evacuation in evacuations.iter_mut() {
                evacuation.leases.retain(|lease| lease.is_usable(now));
            }
            !evacuations.is_empty()
        });
        self.by_destination
            .values()
            .flatten()
            .flat_map(|e| {
                e.leases
                    .iter()
                    .map(|lease| lease.until)
                    .chain(e.order.until)
            })
            .min()
    }

    fn find(&self, zone: &str, dest: DestinationId) -> Option<&Evacuation> {
        self.by_destination
            .get(&dest)?
            .iter()
            .find(|e| e.order.zone == zone)
    }

    fn find_mut(&mut self, zone: &str, dest: DestinationId) -> Option<&mut Evacuation> {
        self.by_destination
            .get_mut(&dest)?
            .iter_mut()
            .find(|e| e.order.zone == zone)
    }
}
