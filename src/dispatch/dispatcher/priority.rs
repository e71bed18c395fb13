//! How much a message is worth, and how urgent it is to send it.
//!
//! Decides: the order of messages. Inputs: the class's priority weight, the message's age, and how
//! fast its queue drains. Callers: [`super::admission`] for what to shed, [`super::scheduling`] for
//! what to send next.

use super::*;
use crate::dispatch::endpoint_health::INITIAL_LATENCY;
use crate::dispatch::rate_control::RateController;
use crate::dispatch::statistics::from_secs;

/// Throughput of a destination that is reckoned with at least, in calls a second.
const MIN_THROUGHPUT: f64 = 0.5;
/// Longest time that a queue is thought to take to drain, in seconds.
const MAX_DRAIN_SECONDS: f64 = 60.0;
/// Part of a message's value that counts as such, beside what is saved by sending it now.
const VALUE_AS_SUCH: f64 = 0.05;

impl Dispatcher {
    /// What a message is worth if it is delivered at a time.
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

    /// Time until the queue of a destination is empty at the throughput seen.
    pub(super) fn drain_time(&self, now: Nanos, dest: DestinationId) -> Nanos {
        let Some(queue) = self.destinations.get(&dest) else {
            return 0;
        };
        let endpoints = queue.endpoints.iter();
        let throughput: f64 = endpoints.map(|e| self.endpoints[e].peak_throughput).sum();
        let throughput = throughput.max(MIN_THROUGHPUT);
        let controllers = queue.controllers.values();
        let paused_until = controllers.map(RateController::paused_until).max();
        let pause = paused_until.unwrap_or(0).saturating_sub(now);
        let drain = (queue.messages.len() as f64 / throughput).min(MAX_DRAIN_SECONDS);
        pause + from_secs(drain)
    }

    /// Value saved by sending a message now rather than when its queue has drained, after
    /// `horizon`; a little for its value as such.
    pub(super) fn urgency(&self, pending: &PendingMessage, now: Nanos, horizon: Nanos) -> f64 {
        let soon = now + from_secs(INITIAL_LATENCY);
        let value = self.value_at(pending, soon);
        value - self.value_at(pending, soon + horizon) + VALUE_AS_SUCH * value
    }
}
