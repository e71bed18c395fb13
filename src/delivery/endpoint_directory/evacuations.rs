//! Overrides of listings by evacuations, before the dispatcher receives them.
//!
//! Invariants: the dispatcher never receives an evacuated endpoint as ready unless attempts there
//! are leased; and an evacuation never removes the last endpoints that some message could go to
//! ([`EndpointDirectory::kept_destinations`]).

use super::{DirectoryChange, EndpointDirectory};
use crate::delivery::endpoint::Endpoint;
use crate::delivery::evacuation::{
    AttemptLease, EvacuationOrder, EvacuationStatus, LeaseExhausted, ZoneEvacuations,
};
use crate::{Condition, DestinationId, Event, Listing, LEASED_RATE};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;

/// The dispatcher's view of an evacuated endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ConditionOverride {
    /// Condition that was last reported to the dispatcher.
    condition: Condition,
    /// Whether attempts were leased since the evacuation began. If so, the dispatcher has learned a
    /// rate that holds for the leased attempts only.
    was_leased: bool,
}

impl EndpointDirectory {
    /// Replaces all evacuation orders. [`EndpointDirectory::expire_due`] returns the consequences.
    pub fn set_evacuations(&self, orders: Vec<EvacuationOrder>) {
        self.evacuations.borrow_mut().set_orders(orders);
    }

    /// Leases attempts under the order of the given epoch, if that is in force.
    /// [`EndpointDirectory::expire_due`] returns the consequences.
    pub fn grant_lease(&self, zone: &str, dest: DestinationId, epoch: u64, lease: AttemptLease) {
        self.evacuations
            .borrow_mut()
            .grant_lease(zone, dest, epoch, lease);
    }

    /// Returns the number of attempts that are leased for a zone and destination and have not
    /// started.
    pub fn leased_attempts_left(&self, zone: &str, dest: DestinationId) -> u32 {
        self.evacuations
            .borrow()
            .leased_attempts_left(zone, dest, Instant::now())
    }

    /// Ends the orders and leases that are due, and returns the listings that have changed for the
    /// dispatcher by orders, leases and the passage of time.
    pub fn expire_due(&self) -> Option<DirectoryChange> {
        if self.evacuations.borrow().is_empty() && self.overrides.borrow().is_empty() {
            return None;
        }
        let now = Instant::now();
        self.evacuations.borrow_mut().remove_expired(now);
        *self.without_alternative.borrow_mut() = self.destinations_without_alternative(now);
        let mut previous_overrides = std::mem::take(&mut *self.overrides.borrow_mut());
        let endpoints: Vec<Rc<Endpoint>> = self.endpoints.borrow().values().cloned().collect();
        let mut listings = Vec::new();
        let mut disconnect = Vec::new();
        for endpoint in endpoints.iter().filter(|e| e.is_ready()) {
            let previous = previous_overrides.remove(&endpoint.endpoint);
            let status = self.status(endpoint, now);
            self.update_override(endpoint, previous, status, &mut listings, &mut disconnect);
        }
        if listings.is_empty() {
            return None;
        }
        let event = Event::ListOverrides(listings);
        Some(DirectoryChange { event, disconnect })
    }

    /// Replaces the override of one endpoint, and adds the resulting listings for the dispatcher.
    fn update_override(
        &self,
        endpoint: &Rc<Endpoint>,
        previous: Option<ConditionOverride>,
        status: EvacuationStatus,
        listings: &mut Vec<Listing>,
        disconnect: &mut Vec<Rc<Endpoint>>,
    ) {
        let was_leased = previous.is_some_and(|p| p.was_leased);
        let condition = match status {
            EvacuationStatus::InUse => None,
            EvacuationStatus::Evacuated => Some(Condition::Draining),
            EvacuationStatus::LeaseAvailable => Some(Condition::Ready),
        };
        if let Some(condition) = condition {
            let current = ConditionOverride {
                condition,
                was_leased: was_leased || status == EvacuationStatus::LeaseAvailable,
            };
            self.overrides
                .borrow_mut()
                .insert(endpoint.endpoint, current);
        }
        if previous.map(|p| p.condition) == condition {
            return;
        }
        let rate = endpoint.entry.rate;
        match status {
            EvacuationStatus::Evacuated => {
                listings.push(endpoint.listing(Condition::Draining, rate));
                // Between two leases the connections are kept.
                if previous.is_none() {
                    disconnect.push(endpoint.clone());
                }
            }
            EvacuationStatus::LeaseAvailable => {
                listings.push(endpoint.listing(Condition::Ready, LEASED_RATE));
            }
            EvacuationStatus::InUse if was_leased => {
                // The dispatcher has learned a rate from a few leased attempts only. A new handle
                // makes it learn the rate from the start.
                listings.push(endpoint.listing(Condition::Gone, rate));
                let renamed = self.rename(endpoint);
                listings.push(renamed.listing(Condition::Ready, rate));
                disconnect.push(endpoint.clone());
            }
            EvacuationStatus::InUse => listings.push(endpoint.listing(Condition::Ready, rate)),
        }
    }

    /// Assigns a new handle to an endpoint.
    fn rename(&self, endpoint: &Endpoint) -> Rc<Endpoint> {
        self.handles.borrow_mut().remove(&endpoint.entry.uid);
        let handle = self.handle(&endpoint.entry.uid);
        let renamed = Rc::new(Endpoint {
            endpoint: handle,
            ..endpoint.clone()
        });
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.remove(&endpoint.endpoint);
        endpoints.insert(handle, renamed.clone());
        renamed
    }

    /// Overrides conditions of the list by evacuations, so that the dispatcher never receives a new
    /// endpoint in an evacuated zone as ready.
    pub(super) fn override_conditions(&self, listings: &mut [Listing]) {
        if self.evacuations.borrow().is_empty() {
            return;
        }
        let now = Instant::now();
        *self.without_alternative.borrow_mut() = self.destinations_without_alternative(now);
        for listing in listings {
            self.override_condition(listing, now);
        }
    }

    fn override_condition(&self, listing: &mut Listing, now: Instant) {
        let mut overrides = self.overrides.borrow_mut();
        let endpoint = self.endpoint(listing.endpoint);
        let Some(endpoint) = endpoint.filter(|_| listing.condition == Condition::Ready) else {
            overrides.remove(&listing.endpoint);
            return;
        };
        if let Some(current) = overrides.get(&listing.endpoint) {
            listing.condition = current.condition;
        } else if self.status(&endpoint, now) != EvacuationStatus::InUse {
            let draining = ConditionOverride {
                condition: Condition::Draining,
                was_leased: false,
            };
            overrides.insert(listing.endpoint, draining);
            listing.condition = Condition::Draining;
        }
    }

    /// Returns the latest time for the next call of [`EndpointDirectory::expire_due`], if one is
    /// needed.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.evacuations.borrow_mut().remove_expired(Instant::now())
    }

    /// Returns the destinations that stay in use in spite of an evacuation, because some of their
    /// messages would have no other endpoint.
    pub fn kept_destinations(&self) -> BTreeSet<DestinationId> {
        self.without_alternative.borrow().clone()
    }

    /// Reserves an attempt that is about to be prepared. Under an evacuation it returns the order's
    /// epoch, for [`EndpointDirectory::release_reservation`].
    ///
    /// # Errors
    /// Fails if every leased attempt is reserved already.
    pub fn reserve_attempt(&self, endpoint: &Endpoint) -> Result<Option<u64>, LeaseExhausted> {
        if self.is_kept_in_use(endpoint) {
            return Ok(None);
        }
        self.evacuations
            .borrow_mut()
            .reserve_attempt(endpoint, Instant::now())
    }

    /// Starts an attempt. Returns false if the endpoint is evacuated and no leased attempt is left.
    pub fn start_attempt(&self, endpoint: &Endpoint) -> bool {
        self.is_kept_in_use(endpoint)
            || self
                .evacuations
                .borrow_mut()
                .start_attempt(endpoint, Instant::now())
    }

    /// Releases a reservation after its attempt has started or was given up.
    pub fn release_reservation(&self, endpoint: &Endpoint, epoch: u64) {
        self.evacuations
            .borrow_mut()
            .release_reservation(endpoint, epoch);
    }

    /// Whether evacuations allow a prepared attempt to start.
    pub(super) fn evacuations_admit(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let evacuations = self.evacuations.borrow();
        self.is_kept_in_use(endpoint)
            || evacuations.admits(&endpoint.entry.zone, endpoint.entry.dest, now)
    }

    fn is_kept_in_use(&self, endpoint: &Endpoint) -> bool {
        self.without_alternative
            .borrow()
            .contains(&endpoint.entry.dest)
    }

    fn status(&self, endpoint: &Endpoint, now: Instant) -> EvacuationStatus {
        if self.is_kept_in_use(endpoint) {
            return EvacuationStatus::InUse;
        }
        ordered_status(&self.evacuations.borrow(), endpoint, now)
    }

    /// Returns the destinations that evacuations would leave no ready endpoint, or none that the
    /// routes allow for some of their messages.
    fn destinations_without_alternative(&self, now: Instant) -> BTreeSet<DestinationId> {
        let mut zones_in_use = ZonesByDestination::new();
        let mut zones_evacuated = ZonesByDestination::new();
        let evacuations = self.evacuations.borrow();
        for endpoint in self.endpoints.borrow().values().filter(|e| e.is_ready()) {
            let zones = match ordered_status(&evacuations, endpoint, now) {
                EvacuationStatus::InUse => &mut zones_in_use,
                EvacuationStatus::Evacuated | EvacuationStatus::LeaseAvailable => {
                    &mut zones_evacuated
                }
            };
            zones
                .entry(endpoint.entry.dest)
                .or_default()
                .insert(endpoint.zone);
        }
        zones_evacuated
            .iter()
            .filter(|(dest, evacuated)| match zones_in_use.get(dest) {
                None => true,
                Some(in_use) => self.routes_need(**dest, evacuated, in_use),
            })
            .map(|(dest, _)| *dest)
            .collect()
    }

    /// Whether some messages for a destination can go to evacuated zones only. Messages that no
    /// listed zone would serve in any case do not count.
    fn routes_need(
        &self,
        dest: DestinationId,
        evacuated: &BTreeSet<u16>,
        in_use: &BTreeSet<u16>,
    ) -> bool {
        let routes = self.routes.borrow();
        if routes.is_empty() {
            return false;
        }
        routes.matches_for(dest).iter().any(|way| {
            way.zones().any(|zone| evacuated.contains(&zone))
                && !way.zones().any(|zone| in_use.contains(&zone))
        })
    }
}

/// Numbers of zones, by destination.
type ZonesByDestination = BTreeMap<DestinationId, BTreeSet<u16>>;

/// Returns an endpoint's status by the orders alone, even if it is kept in use in spite of them.
fn ordered_status(
    evacuations: &ZoneEvacuations,
    endpoint: &Endpoint,
    now: Instant,
) -> EvacuationStatus {
    evacuations.status(&endpoint.entry.zone, endpoint.entry.dest, now)
}
