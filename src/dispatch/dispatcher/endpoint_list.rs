//! Application of the endpoint list.
//!
//! Decides: which endpoints are known, and which new ones need a trial first. Inputs: lists,
//! changes and overrides of them. Caller: [`Dispatcher::handle`].

use super::*;
use crate::dispatch::endpoint_health::Health;
use std::collections::{BTreeMap, BTreeSet};

/// Largest preference of a sender for an endpoint over its siblings, as a part of the cost: without
/// it all senders would choose the same one first.
const PREFERENCE: f64 = 0.3;

impl Dispatcher {
    /// Applies entries of the list; `is_complete`: endpoints that are not among them are gone.
    pub(super) fn apply_list(&mut self, now: Nanos, listings: &[Listing], is_complete: bool) {
        let mut touched = Vec::new();
        if is_complete {
            for endpoint in self.endpoints.values_mut() {
                endpoint.is_ready = false;
            }
            touched.extend(self.endpoints.keys().copied());
        }
        let mut added = BTreeSet::new();
        for listing in listings {
            if self.apply_listing(now, listing) {
                added.insert(listing.endpoint);
            }
            touched.push(listing.endpoint);
        }
        let ready = self.endpoints.values().filter(|endpoint| endpoint.is_ready);
        self.traffic_share
            .set_listed_rates(ready.map(|endpoint| endpoint.listed_rate));
        self.try_first_if_others_failed(now, listings, &added);
        for endpoint in touched {
            self.drop_endpoint_if_unused(endpoint);
        }
    }

    /// Applies an entry of the list. Returns whether the endpoint is new and its destination has,
    /// or had, others.
    fn apply_listing(&mut self, now: Nanos, listing: &Listing) -> bool {
        let address = listing.endpoint;
        let known = self.endpoints.get(&address);
        if known.is_some_and(|endpoint| endpoint.dest != listing.dest) {
            self.drop_endpoint(address);
        }
        let is_new = !self.endpoints.contains_key(&address);
        let queue = self.queue(listing.dest);
        let has_others = !queue.endpoints.is_empty() || !queue.controllers.is_empty();
        queue.check_at = 0;
        queue.endpoints.insert(address);
        let preference = 1.0 - PREFERENCE * self.random.draw();
        let last_kind = self.kind_stats.len() - 1;
        let endpoint = self
            .endpoints
            .entry(address)
            .or_insert_with(|| EndpointState::new(listing, preference, now));
        endpoint.is_ready = listing.condition == Condition::Ready;
        endpoint.kind = usize::from(listing.kind).min(last_kind);
        endpoint.listed_rate = f64::from(listing.rate);
        is_new && has_others
    }

    /// Ejects new endpoints, so that a trial goes first, if their destination has ejected endpoints
    /// or had them last, and this sender rarely calls it: then an outage may last longer than its
    /// endpoints are listed.
    fn try_first_if_others_failed(
        &mut self,
        now: Nanos,
        listings: &[Listing],
        added: &BTreeSet<EndpointAddress>,
    ) {
        // The others of a destination are the same for all of its new endpoints.
        let mut throughputs: BTreeMap<DestinationId, Option<f64>> = BTreeMap::new();
        let mut handled = BTreeSet::new();
        for listing in listings {
            let address = &listing.endpoint;
            if !added.contains(address) || !handled.insert(address) {
                continue;
            }
            let dest = self.endpoints[address].dest;
            let throughput = *throughputs
                .entry(dest)
                .or_insert_with(|| self.throughput_before_failure(now, dest, added));
            let Some(peak_throughput) = throughput else {
                continue;
            };
            if let Some(endpoint) = self.endpoints.get_mut(address) {
                endpoint.health = Health::Ejected;
                endpoint.peak_throughput = peak_throughput;
            }
            self.draw_slow_start_budget(dest, address);
        }
    }

    /// Returns the throughput of the best endpoint of a destination that has failed and that this
    /// sender rarely calls; `None` for any other destination. New endpoints do not count.
    fn throughput_before_failure(
        &self,
        now: Nanos,
        dest: DestinationId,
        added: &BTreeSet<EndpointAddress>,
    ) -> Option<f64> {
        let queue = &self.destinations[&dest];
        let is_rare = queue.arrivals.rate(now) * RATE_MEMORY.fade_seconds < 1.0;
        let mut peak_throughput = queue.lost_throughput;
        let mut has_failed = queue.lost_throughput > 0.0;
        for other in queue.endpoints.iter().filter(|e| !added.contains(e)) {
            let other = &self.endpoints[other];
            peak_throughput = peak_throughput.max(other.peak_throughput);
            has_failed |= other.health == Health::Ejected;
        }
        (is_rare && has_failed).then_some(peak_throughput)
    }

    /// Drops an endpoint that is not ready and has no calls in flight.
    pub(super) fn drop_endpoint_if_unused(&mut self, address: EndpointAddress) {
        let endpoint = self.endpoints.get(&address);
        if endpoint.is_some_and(|endpoint| !endpoint.is_ready && endpoint.calls_in_flight == 0) {
            self.drop_endpoint(address);
        }
    }

    fn drop_endpoint(&mut self, address: EndpointAddress) {
        let Some(endpoint) = self.endpoints.remove(&address) else {
            return;
        };
        let Some(queue) = self.destinations.get_mut(&endpoint.dest) else {
            return;
        };
        queue.endpoints.remove(&address);
        if endpoint.health == Health::Ejected {
            queue.lost_throughput = endpoint.peak_throughput.max(f64::MIN_POSITIVE);
        }
        // A route's controller is dropped with its endpoint: endpoints are replaced continually,
        // and their addresses are not used again.
        if let Some(controller) = queue.controllers.remove(&Some(address)) {
            queue.accepted_calls = queue.accepted_calls.max(controller.accepted_calls);
        }
    }
}
