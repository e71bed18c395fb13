//! Admission of messages, load shedding, and the end of messages that cannot be delivered.
//!
//! Decides: which message is shed when there are too many, whether a message may be retried or
//! rejected, and which messages are ended. Inputs: messages that arrive, the settings, pauses and
//! routes. Caller: [`Dispatcher::handle`].

use super::*;
use crate::dispatch::deadline;

/// Part of the message limit from which on load is shed, in tenths: the remaining tenth lets
/// further messages be judged here rather than rejected unseen.
const SHEDDING_THRESHOLD_TENTHS: usize = 9;
/// Factor on a tenant's share of all traffic above which it counts as over its share.
const SHARE_TOLERANCE: f64 = 1.6;

/// Permitted ways to continue or end a message.
pub(super) struct RetryEligibility {
    /// Whether another attempt is allowed.
    pub may_retry: bool,
    /// Whether it may be rejected without risking a second effect, so that its client may safely
    /// send it again.
    pub may_reject: bool,
}

/// A message that can no longer be delivered.
struct Undeliverable {
    id: MessageId,
    dest: DestinationId,
    /// Retry-After for its client; 0: the time until the queue has drained.
    wait: Nanos,
}

impl Dispatcher {
    /// Admits a message; `resumed` has the attempts of an earlier process.
    pub(super) fn admit(&mut self, now: Nanos, message: Message, resumed: PendingMessage) {
        let class = self.class(&message);
        let class_time = class.deadline;
        let is_ordered = class.ordered_by_key && message.key != 0;
        let deadline = now.saturating_add(message.ttl);
        self.traffic_share
            .record_arrival(now, message.ttl, class_time);
        let over_share = self.is_over_share(now, message.tenant);
        if is_ordered {
            let key_queue = self.ordered_keys.entry(message.key).or_default();
            key_queue.messages.push_back(message.id);
        }
        let pending = PendingMessage {
            message,
            deadline,
            created_at: deadline.saturating_sub(class_time),
            over_share,
            ..resumed
        };
        self.pending.insert(message.id, pending);
        let queue = self.queue(message.dest);
        queue.arrivals.record(now, RATE_MEMORY);
        queue.messages.insert(message.id);
        queue.check_at = 0;
        self.backlogged.insert(message.dest);
        self.shed_load(now);
    }

    /// Whether a tenant sends clearly more than its share of all messages here; a tenant that sends
    /// alone is not over its share. Messages of no tenant in the settings are within no share.
    fn is_over_share(&mut self, now: Nanos, tenant: u16) -> bool {
        let position = usize::from(tenant);
        let Some(tenant) = self.settings.tenants.get(position) else {
            return !self.settings.tenants.is_empty();
        };
        let share = tenant.share.clamp(0.0, 1.0);
        let own = self.tenant_rates[position].record(now, RATE_MEMORY);
        let all: f64 = self.tenant_rates.iter().map(|rate| rate.rate(now)).sum();
        let others = all - own;
        share < 1.0 && own > SHARE_TOLERANCE * share * others / (1.0 - share) + 1.0
    }

    /// Ends messages of the longest queue, the least valuable first, until there is room for the
    /// next message.
    fn shed_load(&mut self, now: Nanos) {
        let before_this_one = self.pending.len() - 1;
        self.held_before_change = self.held_before_change.min(before_this_one);
        let filled = self.settings.max_held_messages as usize * SHEDDING_THRESHOLD_TENTHS / 10;
        let most = filled.max(1).max(self.held_before_change);
        while self.pending.len() > most {
            let longest = self
                .backlogged
                .iter()
                .max_by_key(|dest| self.destinations[dest].messages.len());
            let Some(&dest) = longest else { return };
            let drain = self.drain_time(now, dest);
            let Some(id) = self.least_valuable(now, dest, now + drain / 2) else {
                return;
            };
            self.end_undelivered(now, id, drain);
        }
    }

    /// Returns the least valuable message of a queue at the time `at`, of those that may be
    /// rejected; the newest of equals.
    fn least_valuable(&self, now: Nanos, dest: DestinationId, at: Nanos) -> Option<MessageId> {
        let mut least: Option<(f64, MessageId)> = None;
        for &id in &self.destinations[&dest].messages {
            let pending = &self.pending[&id];
            if pending.in_flight || !self.retry_eligibility(pending, now).may_reject {
                continue;
            }
            let value = self.value_at(pending, at);
            let is_less = least.is_none_or(|(other, _)| value.total_cmp(&other).is_le());
            if is_less {
                least = Some((value, id));
            }
        }
        least.map(|(_, id)| id)
    }

    /// Decides whether another attempt is allowed under the class's idempotency rules, and whether
    /// the message may still be rejected without risking a second effect.
    pub(super) fn retry_eligibility(
        &self,
        pending: &PendingMessage,
        now: Nanos,
    ) -> RetryEligibility {
        let class = self.class(&pending.message);
        let is_idle = !pending.in_flight;
        let limits = self.settings.class_limits(pending.message.class);
        let has_attempts = pending.attempts < limits.max_attempts && is_idle;
        match (pending.may_have_run, class.effect) {
            (None, _) | (_, Effect::Idempotent) => RetryEligibility {
                may_retry: has_attempts,
                may_reject: is_idle,
            },
            (Some(run), Effect::IdempotentWithKey) => RetryEligibility {
                may_retry: has_attempts && now < run.sent_at + class.dedup_window,
                may_reject: is_idle && class.dedup_scope == DedupScope::All,
            },
            (Some(_), Effect::NotIdempotent) => RetryEligibility {
                may_retry: false,
                may_reject: false,
            },
        }
    }

    /// Ends a message undelivered: rejected with a Retry-After where that is safe, otherwise
    /// failed.
    fn end_undelivered(&mut self, now: Nanos, id: MessageId, wait: Nanos) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let limits = self.settings.class_limits(pending.message.class);
        let retry_after = if self.settings.sends_retry_after {
            wait.min(limits.max_retry_after)
        } else {
            0
        };
        let action = if self.retry_eligibility(pending, now).may_reject {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        };
        self.actions.push(action);
        self.forget(id);
    }

    /// Drops a message that has its final answer or needs none.
    pub(super) fn forget(&mut self, id: MessageId) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let message = pending.message;
        if let Some(queue) = self.destinations.get_mut(&message.dest) {
            queue.messages.remove(&id);
            queue.check_at = 0;
            if queue.messages.is_empty() {
                self.backlogged.remove(&message.dest);
            }
        }
        if let Some(key_queue) = self.ordered_keys.get_mut(&message.key) {
            key_queue.messages.retain(|other| *other != id);
        }
    }

    /// Ends messages at once that can no longer be delivered: no time left, no attempt left, or a
    /// pause that lasts beyond their deadline.
    pub(super) fn end_undeliverable(&mut self, now: Nanos) {
        let mut all = Vec::new();
        for &dest in &self.backlogged {
            if self.destinations[&dest].check_at <= now {
                self.find_undeliverable(now, dest, &mut all);
            }
        }
        for over in all {
            let wait = if over.wait > 0 {
                over.wait
            } else {
                self.drain_time(now, over.dest)
            };
            self.end_undelivered(now, over.id, wait);
        }
    }

    fn find_undeliverable(&self, now: Nanos, dest: DestinationId, all: &mut Vec<Undeliverable>) {
        let queue = &self.destinations[&dest];
        let opens_at_of = |endpoint: &EndpointAddress| {
            let controller = queue.controllers.get(&self.controller_key(endpoint));
            controller.map_or(0, |controller| controller.retry_after_until)
        };
        let any_opens_at = queue.endpoints.iter().map(opens_at_of).min().unwrap_or(0);
        for &id in &queue.messages {
            let pending = &self.pending[&id];
            if pending.in_flight {
                continue;
            }
            let route = self.route_of(&self.routes, &pending.message);
            let has_no_zones = route.is_some_and(|route| !route.has_zones());
            if has_no_zones && self.retry_eligibility(pending, now).may_reject {
                // No zone serves the message, so that its client is answered now.
                let wait = Nanos::MAX;
                all.push(Undeliverable { id, dest, wait });
                continue;
            }
            let opens_at = match route {
                None => any_opens_at,
                Some(route) => {
                    let endpoints = queue.endpoints.iter();
                    let on_route =
                        endpoints.filter(|e| route.rank(self.endpoints[*e].zone).is_some());
                    on_route.map(opens_at_of).min().unwrap_or(0)
                }
            };
            let start = now.max(opens_at).max(pending.not_before);
            let is_late = !deadline::may_begin(start, pending.deadline);
            if is_late || !self.retry_eligibility(pending, start).may_retry {
                let wait = opens_at.saturating_sub(now);
                all.push(Undeliverable { id, dest, wait });
            }
        }
    }
}
