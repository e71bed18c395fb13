//! The endpoint directory: the endpoints as last listed, and whether an attempt may start at one of
//! them now.
//!
//! Owns the list, the numbers by which the decision module knows endpoints and zones, the
//! Retry-After waits, and through [`super::evacuation`] the zone evacuations. What the decision
//! module is told of endpoints is worked out here: the list, with evacuations laid over it
//! ([`evacuations`]). It does no I/O and sends the decision module nothing itself.
//!
//! [`super::driver`] applies updates and passes [`DirectoryChange`]s on; [`super::message`] asks
//! before each attempt; the agent reads capacity by zone and brings evacuations by the driver.

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

/// To what a Retry-After wait applies.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RetryAfterScope {
    /// Each endpoint of its kind has a limit of its own.
    Endpoint(EndpointAddress),
    /// The endpoints of its kind share one limit.
    Destination(DestinationId),
}

/// What follows from a change of the list, of evacuations or of the time.
#[derive(Debug)]
pub struct DirectoryChange {
    /// What the decision module is to be told.
    pub event: Event,
    /// Endpoints whose idle connections are not wanted any more.
    pub disconnect: Vec<Rc<Endpoint>>,
}

/// Owner of the endpoint list.
pub struct EndpointDirectory {
    /// Revision of the list; nothing before the first update.
    revision: Cell<Option<u64>>,
    /// The next complete list comes from another source, which may count its revisions anew.
    source_changed: Cell<bool>,
    /// Destinations that were ever listed.
    known_destinations: RefCell<BTreeSet<DestinationId>>,
    /// The decision module's name of each endpoint, by uid.
    handles: RefCell<HashMap<String, EndpointAddress>>,
    last_handle: Cell<u32>,
    endpoints: RefCell<BTreeMap<EndpointAddress, Rc<Endpoint>>>,
    /// When each Retry-After wait ends.
    retry_after: RefCell<BTreeMap<RetryAfterScope, Instant>>,
    /// Names of zones; a zone's number is its position.
    zones: RefCell<Vec<String>>,
    /// Names of kinds; a kind's number is its position.
    kinds: Vec<String>,
    /// Whether each endpoint of a kind has a limit of its own, by the kind's number.
    has_own_limit: Vec<bool>,
    evacuations: RefCell<ZoneEvacuations>,
    /// Where the decision module was told another condition than the list has.
    overrides: RefCell<BTreeMap<EndpointAddress, ConditionOverride>>,
    /// Destinations that evacuations would leave no endpoint: these stay in use.
    without_alternative: RefCell<BTreeSet<DestinationId>>,
    /// The routing table in force, by the numbers of zones.
    routes: RefCell<Rc<Routes>>,
    /// Destinations that were logged as unroutable.
    logged_unroutable: RefCell<BTreeSet<DestinationId>>,
}

impl EndpointDirectory {
    /// An empty list; zones and kinds are numbered as in the settings.
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

    /// Revision of the list, once there is one.
    pub fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    /// The revision that no update of the present source may be older than; nothing before its
    /// first complete list.
    pub fn newest_revision(&self) -> Option<u64> {
        self.revision.get().filter(|_| !self.source_changed.get())
    }

    /// Takes the next complete list whatever its revision: it comes from another source.
    pub fn expect_new_source(&self) {
        self.source_changed.set(true);
    }

    /// Whether a destination has, or had, endpoints, as far as any list tells. One that lost its
    /// last endpoint may get another one; one that was never listed is a mistake.
    pub fn knows_destination(&self, dest: DestinationId) -> bool {
        self.revision.get().is_none() || self.known_destinations.borrow().contains(&dest)
    }

    /// Applies an update of the list and gives what follows from it. Nothing where the update is
    /// older than the list: a late update undoes nothing.
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
            // A new source may be behind the one before, which has told that this endpoint drains.
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

    /// Whether an update brings nothing new, as its source counts revisions.
    fn is_outdated(&self, update: &EndpointListUpdate) -> bool {
        let Some(revision) = self.revision.get() else {
            return false;
        };
        update.revision < revision || update.revision == revision && !update.complete
    }

    /// Removes the endpoints that a complete list leaves out, and gives them.
    fn remove_unlisted(&self, update: &EndpointListUpdate) -> Vec<Rc<Endpoint>> {
        let listed: Vec<EndpointAddress> =
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
                "directory: provider {} ({:?}) is listed no more",
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

    /// Applies one entry, in this condition. Adds to `disconnect` what is not to be connected to any
    /// more.
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
            .map(|p| (p.entry.condition, p.entry.address));
        if previously != Some((condition, entry.address)) {
            log::debug!(
                "directory: provider {} ({:?}) at {}, dest {}: {:?}",
                entry.uid,
                handle.addr,
                entry.address,
                entry.dest,
                condition
            );
            disconnect.extend(previous.filter(|p| p.entry.address != entry.address));
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

    /// Replaces the routing table. [`EndpointDirectory::expire_due`] gives what follows from it for
    /// evacuations.
    pub fn set_routes(&self, routes: Rc<Routes>) {
        *self.routes.borrow_mut() = routes;
        self.logged_unroutable.borrow_mut().clear();
        self.warn_of_unroutable_destinations();
    }

    /// Warns once of each destination to which the routing table leads no message, or not all. What
    /// was listed after a table was agreed may have no route by it.
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
                    "directory: the routing table leads no message, or not all, to destination \
                     {dest} where that is listed"
                );
            }
        }
    }

    /// The listed capacity, by zone and destination, whatever is evacuated.
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
            // Endpoints that share one limit are each listed with all of it.
            capacity.rate = if self.has_own_limit(endpoint) {
                capacity.rate + rate
            } else {
                capacity.rate.max(rate)
            };
        }
        capacities.into_values().collect()
    }

    /// Sizes of its tables, by the names that the status page shows.
    pub fn sizes(&self) -> [(&'static str, usize); 5] {
        [
            ("providers", self.endpoints.borrow().len()),
            ("handles", self.handles.borrow().len()),
            ("waits", self.retry_after.borrow().len()),
            ("zones", self.zones.borrow().len()),
            ("orders", self.evacuations.borrow().len()),
        ]
    }

    /// The endpoint that the decision module means, while it is listed.
    pub fn endpoint(&self, endpoint: EndpointAddress) -> Option<Rc<Endpoint>> {
        self.endpoints.borrow().get(&endpoint).cloned()
    }

    /// Notes the Retry-After of an endpoint. An earlier one that ends later stays.
    pub fn set_retry_after(&self, endpoint: &Endpoint, until: Instant) {
        let mut retry_after = self.retry_after.borrow_mut();
        retry_after.retain(|_, until| *until > Instant::now());
        let noted = retry_after
            .entry(self.retry_after_scope(endpoint))
            .or_insert(until);
        *noted = until.max(*noted);
    }

    /// Whether an attempt may start now: the endpoint is still wanted, no Retry-After of it is
    /// running, and it is not evacuated. Asked right before the first byte, because all of these
    /// may change while a connection comes up.
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

    /// Number of a zone; a new name gets the next one.
    pub fn zone_number(&self, name: &str) -> u16 {
        let mut zones = self.zones.borrow_mut();
        let number = zones.iter().position(|z| z == name).unwrap_or_else(|| {
            zones.push(name.to_string());
            zones.len() - 1
        });
        number as u16
    }

    /// Number of a kind. The decision module takes one that it does not know for the last, and so
    /// does this.
    fn kind_number(&self, name: &str) -> u16 {
        let number = self.kinds.iter().position(|k| k == name);
        number.unwrap_or(self.kinds.len().saturating_sub(1)) as u16
    }

    /// The decision module's name for a uid. It is not the address, which another machine may use
    /// later.
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
