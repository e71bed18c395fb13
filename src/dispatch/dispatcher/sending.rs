//! Sending of the next messages of a destination in one call.
//!
//! Decides: whether a destination may have another call, which messages the call carries, whether
//! it uses a new connection, and its time-out. Inputs: the send queue, the chosen endpoint, the
//! kind's batch size. Caller: [`super::scheduling`].

use super::endpoint_choice::{EndpointChoice, SendRequirement};
use super::scheduling::SendQueue;
use super::*;
use crate::dispatch::endpoint_health::Health;
use crate::dispatch::statistics::MS;

/// Time since its last use from which on a connection is idle, in nanoseconds: about one call.
const MIN_IDLE: Nanos = 250 * MS;
/// Weight of each further message in a call, as a part of a call: work and time grow with the
/// messages.
const FURTHER_MESSAGE_WEIGHT: f64 = 0.25;

impl Dispatcher {
    /// Sends one call of a destination, with as many messages as it carries. Returns whether the
    /// destination may send more in this turn.
    pub(super) fn send_call(
        &mut self,
        now: Nanos,
        dest: DestinationId,
        queue: &mut SendQueue,
    ) -> bool {
        let Some(first) = queue.front().map(|eligible| eligible.id) else {
            return false;
        };
        if !self.may_call(now, dest) {
            return false;
        }
        let routes = self.routes.clone();
        let requirement = self.send_requirement(&self.pending[&first], &routes);
        let choice = match self.choose_endpoint(now, dest, &requirement) {
            Ok(choice) => choice,
            Err(opens_at) => {
                self.check_queue_by(dest, opens_at);
                return self.skip_blocked(queue, &requirement, &routes);
            }
        };
        let batch = self.max_batch(&choice.endpoint);
        let ids = self.take_batch(queue, first, batch, &choice, &routes);
        self.send_batch(now, dest, &choice, &ids);
        // Further sends of this turn would join this call: the rest of a queue with batches waits
        // for the next turn.
        if batch > 1 && !queue.is_empty() {
            self.check_queue_by(dest, now + MS);
        }
        batch == 1
    }

    /// Whether a destination may have one more call in flight.
    fn may_call(&mut self, now: Nanos, dest: DestinationId) -> bool {
        let queue = &self.destinations[&dest];
        let is_impaired = self.is_impaired(now, queue);
        let calls = self.calls.values();
        let own = calls.filter(|call| call.dest == dest).count() as u32;
        if own >= self.max_calls(queue, is_impaired) {
            return false;
        }
        if !is_impaired {
            return true;
        }
        let to_impaired = |call: &&InFlightCall| {
            let queue = self.destinations.get(&call.dest);
            queue.is_some_and(|queue| self.is_impaired(now, queue))
        };
        let impaired = self.calls.values().filter(to_impaired).count() as u32;
        if impaired >= (self.settings.max_in_flight_calls / 2).max(1) {
            self.is_starved = true;
            return false;
        }
        true
    }

    fn send_requirement<'a>(
        &self,
        pending: &PendingMessage,
        routes: &'a Option<Rc<Routes>>,
    ) -> SendRequirement<'a> {
        SendRequirement {
            zone: self.required_zone(pending),
            is_repeatable: self.class(&pending.message).effect != Effect::NotIdempotent,
            route: self.route_of(routes, &pending.message),
        }
    }

    /// Returns the only zone that discards repeats of a message which may have run.
    fn required_zone(&self, pending: &PendingMessage) -> Option<u16> {
        let class = self.class(&pending.message);
        let drops_in_zone =
            class.dedup_scope == DedupScope::Zone && class.effect == Effect::IdempotentWithKey;
        let run = pending.may_have_run.filter(|_| drops_in_zone)?;
        Some(run.zone)
    }

    /// Removes the first message of a queue, for which no endpoint is available, and those with the
    /// same requirements. Returns whether others may be sent.
    fn skip_blocked(
        &self,
        queue: &mut SendQueue,
        requirement: &SendRequirement,
        routes: &Option<Rc<Routes>>,
    ) -> bool {
        queue.pop_front();
        let is_special = requirement.zone.is_some() || !requirement.is_repeatable;
        let Some(route) = requirement.route else {
            return !queue.is_empty() && is_special;
        };
        if !is_special {
            // No message with the same route can be sent now; others may.
            queue.retain(|eligible| {
                let other = self.route_of(routes, &self.pending[&eligible.id].message);
                other.is_some_and(|other| !other.is_same_route(&route))
            });
        }
        !queue.is_empty()
    }

    /// Returns the largest number of messages that a call to an endpoint may carry.
    fn max_batch(&self, endpoint: &EndpointAddress) -> usize {
        let kind = self.settings.kinds.get(self.endpoints[endpoint].kind);
        kind.map_or(1, |kind| kind.max_batch.max(1)) as usize
    }

    /// Takes the messages that may go in a call with the first one out of a queue.
    fn take_batch(
        &self,
        queue: &mut SendQueue,
        first: MessageId,
        batch: usize,
        choice: &EndpointChoice,
        routes: &Option<Rc<Routes>>,
    ) -> Vec<MessageId> {
        let zone = self.endpoints[&choice.endpoint].zone;
        let mut ids = Vec::new();
        let mut keys = BTreeSet::new();
        queue.retain(|eligible| {
            let id = eligible.id;
            let pending = &self.pending[&id];
            let message = &pending.message;
            let class = self.class(message);
            let route = self.route_of(routes, message);
            let is_excluded = choice.is_trial && class.effect == Effect::NotIdempotent;
            let fits = ids.len() < batch
                && self.required_zone(pending).is_none_or(|only| only == zone)
                && route.is_none_or(|route| route.rank(zone).is_some())
                && (id == first || !is_excluded)
                && (!class.ordered_by_key || message.key == 0 || keys.insert(message.key));
            if fits {
                ids.push(id);
            }
            !fits
        });
        ids
    }

    fn send_batch(
        &mut self,
        now: Nanos,
        dest: DestinationId,
        choice: &EndpointChoice,
        ids: &[MessageId],
    ) {
        let number = self.next_call;
        self.next_call += 1;
        let on_idle_connection = self.prepare_connection(now, choice.endpoint);
        let Some(endpoint) = self.endpoints.get_mut(&choice.endpoint) else {
            return;
        };
        let weight = 1.0 + FURTHER_MESSAGE_WEIGHT * (ids.len() - 1) as f64;
        let timeout = endpoint.timeout(weight);
        endpoint.calls_in_flight += 1;
        endpoint.trial_at = now + endpoint.trial_gap;
        let zone = endpoint.zone;
        let needs_budget = endpoint.health != Health::Healthy;
        let controller = self.controller(dest, &choice.endpoint);
        if needs_budget {
            controller.slow_start_budget -= weight;
        }
        let follows_rejection = controller.consecutive_rejections > 0;
        controller.spend_token();
        let call = InFlightCall {
            attempts_left: ids.len() as u32,
            dest,
            endpoint: choice.endpoint,
            sent_at: now,
            is_counted: false,
            follows_rejection,
            is_trial: choice.is_trial,
            on_idle_connection,
        };
        self.calls.insert(number, call);
        for &id in ids {
            self.send_message(now, id, number, choice.endpoint, zone, timeout);
        }
    }

    /// Closes idle connections to an endpoint that are not to be trusted. Returns whether the next
    /// call there probably uses an idle connection.
    fn prepare_connection(&mut self, now: Nanos, address: EndpointAddress) -> bool {
        let closes_after = self.settings.connection_idle_timeout;
        let Some(endpoint) = self.endpoints.get_mut(&address) else {
            return false;
        };
        let idle_for = match endpoint.used_at {
            Some(used_at) if endpoint.calls_in_flight == 0 => now.saturating_sub(used_at),
            _ => 0,
        };
        let is_idle = idle_for >= MIN_IDLE && (closes_after == 0 || idle_for < closes_after);
        let is_distrusted = is_idle && self.stale_connections.distrusts_idle(now);
        if !endpoint.needs_new_connection && !is_distrusted {
            return is_idle;
        }
        endpoint.needs_new_connection = false;
        self.actions.push(Action::CloseIdle { endpoint: address });
        false
    }

    fn send_message(
        &mut self,
        now: Nanos,
        id: MessageId,
        call: u64,
        endpoint: EndpointAddress,
        zone: u16,
        timeout: Nanos,
    ) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let class = self.class(&pending.message);
        // A call that must not be repeated gains nothing from an early time-out.
        let timeout = if class.effect == Effect::NotIdempotent {
            timeout * 2
        } else {
            timeout
        };
        let key = if class.ordered_by_key {
            pending.message.key
        } else {
            0
        };
        let time_left = pending.deadline.saturating_sub(now).max(1);
        let attempt = AttemptId {
            message: id,
            attempt: pending.attempts as u16,
        };
        self.actions.push(Action::Send {
            id,
            endpoint,
            timeout: timeout.min(time_left),
        });
        self.attempts
            .insert(attempt, InFlightAttempt { call, zone, key });
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.attempts += 1;
            pending.in_flight = true;
        }
        if key == 0 {
            return;
        }
        if let Some(key_queue) = self.ordered_keys.get_mut(&key) {
            key_queue.in_flight += 1;
        }
    }
}
