//! The endpoint directory: the endpoints as last listed, and whether an attempt may start at one of
//! them now.
//!
//! The directory owns the list, the handles and numbers by which the dispatcher knows endpoints and
//! zones, the Retry-After waits, and, through [`super::evacuation`], the zone evacuations. It
//! computes the listings that the dispatcher receives: those of the list, with conditions
//! overridden by evacuations ([`evacuations`]). It does no I/O and does not call the dispatcher.
//!
//! [`super::driver`] applies updates and passes [`DirectoryChange`]s on to the dispatcher;
//! [`super::message`] checks the directory before each attempt; the agent reads capacity by zone
//! and sets evacuations through the driver.

mod evacuations;

use crate::delivery::endpoint::{Endpoint, EndpointEntry, EndpointListUpdate, ZoneCapacity};
use crate::delivery::evacuation::ZoneEvacuations;
use crate::dispatch::routing::Routes;
use crate::{Condition, DestinationId, DestinationKind, EndpointAddress, Event, Listing};
use evacuations::ConditionOverride;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Instant;

/// The endpoints that a Retry-After wait applies to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RetryAfterScope {
    /// One endpoint, of a kind whose endpoints have separate limits.
    Endpoint(EndpointAddress),
    /// All endpoints of a destination, of a kind whose endpoints share one limit.
    Destination(DestinationId),
}

/// Consequences of a change of the list or of evacuations, or of the passage of time.
#[derive(Debug)]
pub struct DirectoryChange {
    /// Event for the dispatcher.
    pub event: Event,
    /// Endpoints whose idle connections are to be closed.
    pub disconnect: Vec<Rc<Endpoint>>,
}

/// The endpoint list, with the state that is kept for its endpoints.
pub struct EndpointDirectory {
    /// Revision of the list; `None` before the first update.
    revision: Cell<Option<u64>>,
    /// Whether the next complete list is from another source, which may count revisions
    /// differently.
    source_changed: Cell<bool>,
    /// Destinations that were ever listed.
    known_destinations: RefCell<BTreeSet<DestinationId>>,
    /// The dispatcher's handle of each endpoint, by uid.
    handles: RefCell<HashMap<String, EndpointAddress>>,
    last_handle: Cell<u32>,
    endpoints: RefCell<BTreeMap<EndpointAddress, Rc<Endpoint>>>,
    /// End of each Retry-After wait.
    retry_after: RefCell<BTreeMap<RetryAfterScope, Instant>>,
    /// Names of zones; a zone's number is its position.
    zones: RefCell<Vec<String>>,
    /// Names of kinds; a kind's number is its position.
    kinds: Vec<String>,
    /// Whether each endpoint of a kind has a limit of its own, by the kind's number.
    has_own_limit: Vec<bool>,
    evacuations: RefCell<ZoneEvacuations>,
    /// Endpoints for which the dispatcher has another condition than the list.
    overrides: RefCell<BTreeMap<EndpointAddress, ConditionOverride>>,
    /// Destinations that stay in use because evacuations would leave them no usable endpoint.
    without_alternative: RefCell<BTreeSet<DestinationId>>,
    /// Routes of the active routing table, with zones by number.
    routes: RefCell<Rc<Routes>>,
    /// Destinations that were logged as unroutable.
    logged_unroutable: RefCell<BTreeSet<DestinationId>>,
}

impl EndpointDirectory {
    /// Creates an empty directory; zones and kinds are numbered as in the settings.
    pub fn new(zones: &[String], kind_names: &[String], kinds: &[DestinationKind]) -> Self {
        EndpointDirectory {
            revision: Cell::default(),
            source_changed: Cell::default(),
            known_destinations: RefCell::default(),
            handles: RefCell::default(),
            last_handle: Cell::default(),
            endpoints: RefCell::default(),
            retry_after: RefCell::default(),
            zones: RefCell::new(zones.to_vec()),
            kinds: kind_names.to_vec(),
            has_own_limit: kinds.iter().map(|k| k.separate_routes).collect(),
            evacuations: RefCell::default(),
            overrides: RefCell::default(),
            without_alternative: RefCell::default(),
            routes: RefCell::default(),
            logged_unroutable: RefCell::default(),
        }
    }

    /// Returns the revision of the list, if there is one.
    pub fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    /// Returns the newest revision of the present source, below which its updates are outdated;
    /// `None` before its first complete list.
    pub fn newest_revision(&self) -> Option<u64> {
        self.revision.get().filter(|_| !self.source_changed.get())
    }

    /// Makes the next complete list apply whatever its revision, as it is from another source.
    pub fn expect_new_source(&self) {
        self.source_changed.set(true);
    }

    /// Whether a destination has ever been listed, or no list has been received yet. A destination
    /// that lost its last endpoint may get another one; one that was never listed is a mistake of
    /// the client.
    pub fn knows_destination(&self, dest: DestinationId) -> bool {
        self.revision.get().is_none() || self.known_destinations.borrow().contains(&dest)
    }

    /// Applies an update of the list and returns its consequences. Returns `None` and changes
    /// nothing if the update is outdated.
    pub fn apply(&self, update: &EndpointListUpdate) -> Option<DirectoryChange> {
        let is_from_new_source = update.complete && self.source_changed.take();
        if self.is_outdated(update) && !is_from_new_source {
            log::debug!(
                "directory: rev {} is not newer than {:?}",
                update.revision,
                self.revision.get()
            );
            return None;
        }
        let is_behind = self.revision.get().is_some_and(|r| update.revision < r);
        let is_first = self.revision.replace(Some(update.revision)).is_none();
        let mut disconnect = Vec::new();
        if update.complete {
            disconnect = self.remove_unlisted(update);
        }
        self.known_destinations
            .borrow_mut()
            .extend(update.entries.iter().map(|e| e.dest));
        let mut listings = Vec::with_capacity(update.entries.len());
        for entry in &update.entries {
            // A new source may lag behind the previous one, which listed this endpoint as draining.
            let condition = if is_behind && self.is_draining(&entry.uid) {
                Condition::Draining
            } else {
                entry.condition
            };
            listings.push(self.apply_entry(entry, condition, &mut disconnect));
        }
        self.warn_of_unroutable_destinations();
        self.override_conditions(&mut listings);
        let event = match (update.complete, is_first) {
            (true, true) => Event::CachedList(listings),
            (true, false) => Event::List(listings),
            (false, _) => Event::ListChanges(listings),
        };
        Some(DirectoryChange { event, disconnect })
    }

    /// Whether an update is not newer than the list, by its revision.
    fn is_outdated(&self, update: &EndpointListUpdate) -> bool {
        let Some(revision) = self.revision.get() else {
            return false;
        };
        update.revision < revision || update.revision == revision && !update.complete
    }

    /// Removes the endpoints that a complete list does not contain, and returns them.
    fn remove_unlisted(&self, update: &EndpointListUpdate) -> Vec<Rc<Endpoint>> {
        let listed: BTreeSet<EndpointAddress> =
            update.entries.iter().map(|e| self.handle(&e.uid)).collect();
        let mut endpoints = self.endpoints.borrow_mut();
        let unlisted: Vec<Rc<Endpoint>> = endpoints
            .values()
            .filter(|e| !listed.contains(&e.endpoint))
            .cloned()
            .collect();
        for endpoint in &unlisted {
            endpoints.remove(&endpoint.endpoint);
            log::debug!(
                "directory: provider {} ({:?}) is no longer listed",
                endpoint.entry.uid,
                endpoint.endpoint.addr
            );
            self.handles.borrow_mut().remove(&endpoint.entry.uid);
        }
        unlisted
    }

    fn is_draining(&self, uid: &str) -> bool {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(&self.handle(uid));
        endpoint.is_some_and(|e| e.entry.condition == Condition::Draining)
    }

    /// Applies one entry with the given condition, and returns its listing. Adds endpoints whose
    /// connections are to be closed to `disconnect`.
    fn apply_entry(
        &self,
        entry: &EndpointEntry,
        condition: Condition,
        disconnect: &mut Vec<Rc<Endpoint>>,
    ) -> Listing {
        let handle = self.handle(&entry.uid);
        let endpoint = Rc::new(Endpoint {
            endpoint: handle,
            zone: self.zone_number(&entry.zone),
            kind: self.kind_number(&entry.kind),
            entry: EndpointEntry {
                condition,
                ..entry.clone()
            },
        });
        let mut endpoints = self.endpoints.borrow_mut();
        let previous = endpoints.insert(handle, endpoint.clone());
        let previously = previous
            .as_ref()
            .map(|p| (p.entry.condition, p.incarnation()));
        if previously != Some((condition, endpoint.incarnation())) {
            log::debug!(
                "directory: provider {} ({:?}) at {}, dest {}: {:?}",
                entry.uid,
                handle.addr,
                entry.address,
                entry.dest,
                condition
            );
            disconnect.extend(previous.filter(|p| p.incarnation() != endpoint.incarnation()));
        }
        if condition == Condition::Gone {
            endpoints.remove(&handle);
            self.handles.borrow_mut().remove(&entry.uid);
        }
        let listing = endpoint.listing(condition, entry.rate);
        if condition != Condition::Ready {
            disconnect.push(endpoint);
        }
        listing
    }

    /// Replaces the routes. [`EndpointDirectory::expire_due`] returns the consequences for
    /// evacuations.
    pub fn set_routes(&self, routes: Rc<Routes>) {
        *self.routes.borrow_mut() = routes;
        self.logged_unroutable.borrow_mut().clear();
        self.warn_of_unroutable_destinations();
    }

    /// Warns once of each destination for which the routing table has no listed endpoint, for some
    /// or all of its messages. This can happen to a destination or zone that was listed after the
    /// table was agreed.
    fn warn_of_unroutable_destinations(&self) {
        let routes = self.routes.borrow();
        if routes.is_empty() {
            return;
        }
        let mut zones_by_destination: BTreeMap<DestinationId, BTreeSet<u16>> = BTreeMap::new();
        for endpoint in self.endpoints.borrow().values().filter(|e| e.is_ready()) {
            zones_by_destination
                .entry(endpoint.entry.dest)
                .or_default()
                .insert(endpoint.zone);
        }
        let mut logged = self.logged_unroutable.borrow_mut();
        for (dest, zones) in zones_by_destination {
            let is_unroutable = routes
                .matches_for(dest)
                .iter()
                .any(|way| !way.serves_nobody() && !way.zones().any(|zone| zones.contains(&zone)));
            if !is_unroutable {
                logged.remove(&dest);
            } else if logged.insert(dest) {
                log::warn!(
                    "directory: the routing table has no listed endpoint of destination {dest} for \
                     some or all of its messages"
                );
            }
        }
    }

    /// Returns the listed capacity by zone and destination, regardless of evacuations.
    pub fn capacity_by_zone(&self) -> Vec<ZoneCapacity> {
        let mut capacities: BTreeMap<(String, DestinationId), ZoneCapacity> = BTreeMap::new();
        for endpoint in self.endpoints.borrow().values().filter(|e| e.is_ready()) {
            let entry = &endpoint.entry;
            let capacity = capacities
                .entry((entry.zone.clone(), entry.dest))
                .or_insert_with(|| ZoneCapacity {
                    zone: entry.zone.clone(),
                    dest: entry.dest,
                    endpoints: 0,
                    rate: 0.0,
                });
            let rate = if entry.rate.is_finite() {
                entry.rate.max(0.0)
            } else {
                0.0
            };
            capacity.endpoints += 1;
            // Endpoints that share one limit are each listed with the whole limit.
            capacity.rate = if self.has_own_limit(endpoint) {
                capacity.rate + rate
            } else {
                capacity.rate.max(rate)
            };
        }
        capacities.into_values().collect()
    }

    /// Returns the sizes of the directory's tables, by the names that the status page shows.
    pub fn sizes(&self) -> [(&'static str, usize); 5] {
        [
            ("providers", self.endpoints.borrow().len()),
            ("handles", self.handles.borrow().len()),
            ("waits", self.retry_after.borrow().len()),
            ("zones", self.zones.borrow().len()),
            ("orders", self.evacuations.borrow().len()),
        ]
    }

    /// Returns the listed endpoint with the given handle.
    pub fn endpoint(&self, endpoint: EndpointAddress) -> Option<Rc<Endpoint>> {
        self.endpoints.borrow().get(&endpoint).cloned()
    }

    /// Records the Retry-After of an endpoint. An earlier one that ends later stays in force.
    pub fn set_retry_after(&self, endpoint: &Endpoint, until: Instant) {
        let mut retry_after = self.retry_after.borrow_mut();
        retry_after.retain(|_, until| *until > Instant::now());
        let noted = retry_after
            .entry(self.retry_after_scope(endpoint))
            .or_insert(until);
        *noted = until.max(*noted);
    }

    /// Whether an attempt may start now: the endpoint is still ready, no Retry-After of it is
    /// running, and it is not evacuated. Checked right before the first byte, because all of these
    /// may change while a connection is established.
    pub fn admits(&self, endpoint: EndpointAddress, now: Instant) -> bool {
        let Some(endpoint) = self.endpoint(endpoint) else {
            return false;
        };
        endpoint.is_ready()
            && !self.has_retry_after(&endpoint, now)
            && self.evacuations_admit(&endpoint, now)
    }

    fn has_retry_after(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let scope = self.retry_after_scope(endpoint);
        let retry_after = self.retry_after.borrow();
        retry_after.get(&scope).is_some_and(|until| now < *until)
    }

    fn retry_after_scope(&self, endpoint: &Endpoint) -> RetryAfterScope {
        if self.has_own_limit(endpoint) {
            RetryAfterScope::Endpoint(endpoint.endpoint)
        } else {
            RetryAfterScope::Destination(endpoint.entry.dest)
        }
    }

    fn has_own_limit(&self, endpoint: &Endpoint) -> bool {
        let kind = usize::from(endpoint.kind);
        self.has_own_limit.get(kind).copied().unwrap_or(false)
    }

    /// Returns the number of a zone; a new name gets the next number.
    pub fn zone_number(&self, name: &str) -> u16 {
        let mut zones = self.zones.borrow_mut();
        let number = zones.iter().position(|z| z == name).unwrap_or_else(|| {
            zones.push(name.to_string());
            zones.len() - 1
        });
        number as u16
    }

    /// Returns the number of a kind. An unknown kind counts as the last one, as it does in the
    /// dispatcher.
    fn kind_number(&self, name: &str) -> u16 {
        let number = self.kinds.iter().position(|k| k == name);
        number.unwrap_or(self.kinds.len().saturating_sub(1)) as u16
    }

    /// Returns the dispatcher's handle for a uid; a new uid gets a new one. The endpoint's address
    /// does not serve as the handle, because another machine may use it later.
    fn handle(&self, uid: &str) -> EndpointAddress {
        let mut handles = self.handles.borrow_mut();
        *handles.entry(uid.to_string()).or_insert_with(|| {
            self.last_handle.set(self.last_handle.get() + 1);
            EndpointAddress {
                addr: self.last_handle.get().to_be_bytes(),
                port: 0,
            }
        })
    }
}

#[cfg(test)]
mod tests;
