//! How evacuations change what the decision module is told of listed endpoints.
//!
//! Invariants: the decision module is never told that an evacuated endpoint is ready unless
//! attempts there are leased; and an evacuation never takes the last endpoints that some message
//! could go to ([`EndpointDirectory::kept_destinations`]).

use super::{DirectoryChange, EndpointDirectory};
use crate::delivery::endpoint::Endpoint;
use crate::delivery::evacuation::{
    AttemptLease, EvacuationOrder, EvacuationStatus, LeaseExhausted, ZoneEvacuations,
};
use crate::{Condition, DestinationId, Event, Listing, LEASED_RATE};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;

/// What the decision module was told of an endpoint that is evacuated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ConditionOverride {
    /// The condition that it was told.
    condition: Condition,
    /// Attempts were leased since the evacuation began: the decision module has learned a rate that
    /// was meant for these.
    was_leased: bool,
}

impl EndpointDirectory {
    /// Replaces all evacuation orders by these. [`EndpointDirectory::expire_due`] gives what
    /// follows from it.
    pub fn set_evacuations(&self, orders: Vec<EvacuationOrder>) {
        self.evacuations.borrow_mut().set_orders(orders);
    }

    /// Leases attempts under the order of that epoch, if it is in force.
    /// [`EndpointDirectory::expire_due`] gives what follows from it.
    pub fn grant_lease(&self, zone: &str, dest: DestinationId, epoch: u64, lease: AttemptLease) {
        self.evacuations
            .borrow_mut()
            .grant_lease(zone, dest, epoch, lease);
    }

    /// Attempts that are leased for a zone and destination and have not started.
    pub fn leased_attempts_left(&self, zone: &str, dest: DestinationId) -> u32 {
        self.evacuations
            .borrow()
            .leased_attempts_left(zone, dest, Instant::now())
    }

    /// Ends the orders and leases that are due, and gives what follows from orders, leases and time
    /// as they now are: the listings that have changed for the decision module.
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

    /// Replaces the override of one endpoint, and adds what the decision module has to be told of
    /// that.
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
                // Between two leases its connections are kept.
                if previous.is_none() {
                    disconnect.push(endpoint.clone());
                }
            }
            EvacuationStatus::LeaseAvailable => {
                listings.push(endpoint.listing(Condition::Ready, LEASED_RATE));
            }
            EvacuationStatus::InUse if was_leased => {
                // What the decision module learned of it was the rate of a few leased attempts: it
                // becomes another endpoint.
                listings.push(endpoint.listing(Condition::Gone, rate));
                let renamed = self.rename(endpoint);
                listings.push(renamed.listing(Condition::Ready, rate));
                disconnect.push(endpoint.clone());
            }
            EvacuationStatus::InUse => listings.push(endpoint.listing(Condition::Ready, rate)),
        }
    }

    /// Gives an endpoint a new name for the decision module.
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

    /// Overrides conditions of the list by evacuations: a new endpoint in an evacuated zone is
    /// never told as wanted.
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

    /// When [`EndpointDirectory::expire_due`] has to be called again at the latest, if ever.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.evacuations.borrow_mut().remove_expired(Instant::now())
    }

    /// Destinations that stay in use in spite of their evacuation, for want of other endpoints.
    pub fn kept_destinations(&self) -> BTreeSet<DestinationId> {
        self.without_alternative.borrow().clone()
    }

    /// Reserves an attempt that is about to be prepared. Under an evacuation this gives the order's
    /// epoch, for [`EndpointDirectory::release_reservation`].
    ///
    /// # Errors
    /// Every leased attempt is reserved already.
    pub fn reserve_attempt(&self, endpoint: &Endpoint) -> Result<Option<u64>, LeaseExhausted> {
        if self.is_kept_in_use(endpoint) {
            return Ok(None);
        }
        self.evacuations
            .borrow_mut()
            .reserve_attempt(endpoint, Instant::now())
    }

    /// Starts an attempt. False where the endpoint is evacuated and no leased attempt is left.
    pub fn start_attempt(&self, endpoint: &Endpoint) -> bool {
        self.is_kept_in_use(endpoint)
            || self
                .evacuations
                .borrow_mut()
                .start_attempt(endpoint, Instant::now())
    }

    /// Releases a reservation: its attempt has started, or will not.
    pub fn release_reservation(&self, endpoint: &Endpoint, epoch: u64) {
        self.evacuations
            .borrow_mut()
            .release_reservation(endpoint, epoch);
    }

    /// Whether evacuations let an attempt that was prepared start.
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

    /// Destinations that evacuations would leave no endpoint that wants attempts, or none that the
    /// routes allow to some of their messages.
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

    /// Whether some message for a destination can go to evacuated zones and to none that is in use.
    /// What no zone would serve in any case does not count.
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

/// What the orders say of an endpoint, also where it is kept in use in spite of them.
fn ordered_status(
    evacuations: &ZoneEvacuations,
    endpoint: &Endpoint,
    now: Instant,
) -> EvacuationStatus {
    evacuations.status(&endpoint.entry.zone, endpoint.entry.dest, now)
}
