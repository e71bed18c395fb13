//! Value of a message, and urgency of sending it.
//!
//! Decides: the order of messages. Inputs: the class's priority weight, the message's age, and the
//! time until its queue is empty. Callers: [`super::admission`] to choose messages to shed,
//! [`super::scheduling`] to choose the next message to send.

use super::*;
use crate::dispatch::endpoint_health::INITIAL_LATENCY_SECONDS;
use crate::dispatch::rate_control::RateController;
use crate::dispatch::statistics::from_secs;

/// Smallest throughput that is assumed of a destination, in calls per second.
const MIN_THROUGHPUT_PER_SECOND: f64 = 0.5;
/// Longest time that a queue is assumed to take to drain, in seconds.
const MAX_DRAIN_SECONDS: f64 = 60.0;
/// Weight of a message's value in its urgency, beside the value saved by sending it now.
const VALUE_WEIGHT: f64 = 0.05;

impl Dispatcher {
    /// Returns the value of a message if it is delivered at the time `at`.
    pub(super) fn value_at(&self, pending: &PendingMessage, at: Nanos) -> f64 {
        if at >= pending.deadline {
            return 0.0;
        }
        let class = self.class(&pending.message);
        let age = at.saturating_sub(pending.created_at);
        let weight = class.weight_at_age(age, self.settings.decay);
        let factor = if pending.over_share {
            self.settings.over_share_weight
        } else {
            1.0
        };
        weight * factor
    }

    /// Returns the time until the queue of a destination is empty at the observed throughput.
    pub(super) fn drain_time(&self, now: Nanos, dest: DestinationId) -> Nanos {
        let Some(queue) = self.destinations.get(&dest) else {
            return 0;
        };
        let endpoints = queue.endpoints.iter();
        let throughput: f64 = endpoints.map(|e| self.endpoints[e].peak_throughput).sum();
        let throughput = throughput.max(MIN_THROUGHPUT_PER_SECOND);
        let controllers = queue.controllers.values();
        let paused_until = controllers.map(RateController::paused_until).max();
        let pause = paused_until.unwrap_or(0).saturating_sub(now);
        let drain = (queue.messages.len() as f64 / throughput).min(MAX_DRAIN_SECONDS);
        pause + from_secs(drain)
    }

    /// Returns the value saved by sending a message now rather than after `horizon`, when its queue
    /// has drained, plus a small part of its value.
    pub(super) fn urgency(&self, pending: &PendingMessage, now: Nanos, horizon: Nanos) -> f64 {
        let soon = now + from_secs(INITIAL_LATENCY_SECONDS);
        let value = self.value_at(pending, soon);
        value - self.value_at(pending, soon + horizon) + VALUE_WEIGHT * value
    }
}
