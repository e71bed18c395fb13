//! Choice of the next message, and of the time at which the dispatcher is woken.
//!
//! Decides: the order over all destinations, and the time of the next check of each queue. Inputs:
//! urgency of messages, latencies, free calls. Caller: [`Dispatcher::handle`].

use super::*;
use crate::dispatch::deadline::LEAST_TIME_TO_BEGIN;
use crate::dispatch::statistics::{MS, SEC};
use std::collections::VecDeque;

/// Interval at which a sender with a stale list checks whether it still is, in nanoseconds.
const STALE_LIST_CHECK: Nanos = 50 * MS;
/// Interval at which unused ordering keys are dropped, in nanoseconds.
const KEY_SWEEP: Nanos = SEC;
/// Added to the urgency of a message that was rejected before, so that it is sent before all
/// others.
const REJECTED_URGENCY: f64 = 100.0;

/// A message that may be sent now.
pub(super) struct Eligible {
    /// Value saved by sending it now ([`Dispatcher::urgency`]).
    urgency: f64,
    pub id: MessageId,
}

/// Messages of a queue that may be sent now, the most urgent first.
pub(super) type SendQueue = VecDeque<Eligible>;

impl Dispatcher {
    /// Sends the messages that may be sent now, the most urgent for their cost first.
    pub(super) fn send_due(&mut self, now: Nanos) {
        let mut queues = self.collect_send_queues(now);
        while (self.calls.len() as u32) < self.settings.max_in_flight_calls {
            let Some(dest) = self.most_urgent(&queues) else {
                break;
            };
            let mut queue = queues.remove(&dest).unwrap_or_default();
            if self.send_call(now, dest, &mut queue) {
                queues.insert(dest, queue);
            }
        }
        self.is_starved |= queues.values().any(|queue| !queue.is_empty());
    }

    /// Returns the messages that may be sent now, by destination.
    fn collect_send_queues(&mut self, now: Nanos) -> BTreeMap<DestinationId, SendQueue> {
        let mut queues = BTreeMap::new();
        let is_stale = self.is_list_stale(now);
        for dest in self.backlogged.clone() {
            if self.destinations[&dest].check_at > now {
                continue;
            }
            let (eligible, mut check_at) = self.eligible_messages(now, dest);
            if is_stale {
                // With a stale list no call is made: listed endpoints may have drained, and the
                // next poll is soon.
                check_at = check_at.min(now + STALE_LIST_CHECK);
            }
            let queue = self.queue(dest);
            queue.check_at = check_at.max(now + MS);
            if !is_stale && !eligible.is_empty() && !queue.endpoints.is_empty() {
                queues.insert(dest, eligible);
            }
        }
        queues
    }

    /// Returns the destination whose first message saves the most value for the time that a call
    /// takes there.
    fn most_urgent(&self, queues: &BTreeMap<DestinationId, SendQueue>) -> Option<DestinationId> {
        let mut best: Option<(f64, DestinationId)> = None;
        for (&dest, queue) in queues {
            let Some(first) = queue.front() else { continue };
            let endpoints = self.destinations[&dest].endpoints.iter();
            let latency = endpoints
                .map(|endpoint| self.endpoints[endpoint].latency)
                .fold(f64::MAX, f64::min);
            let index = first.urgency / latency;
            if best.is_none_or(|(most, _)| index > most) {
                best = Some((index, dest));
            }
        }
        best.map(|(_, dest)| dest)
    }

    /// Returns the messages of a destination that may be sent now, rejected ones before all others,
    /// and the next time at which this changes without a further event.
    fn eligible_messages(&self, now: Nanos, dest: DestinationId) -> (SendQueue, Nanos) {
        let horizon = self.drain_time(now, dest).max(SEC);
        let mut eligible = Vec::new();
        let mut changes_at = Nanos::MAX;
        for &id in &self.destinations[&dest].messages {
            let pending = &self.pending[&id];
            if pending.in_flight {
                continue;
            }
            changes_at = changes_at.min(self.changes_at(now, pending));
            if !self.retry_eligibility(pending, now).may_retry || pending.not_before > now {
                continue;
            }
            match self.key_turn(now, id, pending) {
                KeyTurn::Now => {}
                KeyTurn::AfterPause(until) => {
                    changes_at = changes_at.min(until);
                    continue;
                }
                KeyTurn::AfterOthers => continue,
            }
            let first = if pending.was_rejected {
                REJECTED_URGENCY
            } else {
                0.0
            };
            let urgency = self.urgency(pending, now, horizon) + first;
            eligible.push(Eligible { urgency, id });
        }
        eligible.sort_by(|a, b| b.urgency.total_cmp(&a.urgency).then(a.id.cmp(&b.id)));
        (eligible.into(), changes_at)
    }

    /// Returns the next time at which the options for a message change without a further event.
    fn changes_at(&self, now: Nanos, pending: &PendingMessage) -> Nanos {
        let class = self.class(&pending.message);
        let mut changes_at = pending.deadline.saturating_sub(LEAST_TIME_TO_BEGIN);
        if let (Effect::IdempotentWithKey, Some(run)) = (class.effect, pending.may_have_run) {
            changes_at = changes_at.min(run.sent_at + class.dedup_window);
        }
        if pending.not_before > now {
            changes_at = changes_at.min(pending.not_before);
        }
        changes_at
    }

    /// Whether a message may be sent by the order of its key.
    fn key_turn(&self, now: Nanos, id: MessageId, pending: &PendingMessage) -> KeyTurn {
        let message = &pending.message;
        if !self.class(message).ordered_by_key || message.key == 0 {
            return KeyTurn::Now;
        }
        let key_queue = &self.ordered_keys[&message.key];
        if key_queue.paused_until > now && key_queue.paused_for != id {
            return KeyTurn::AfterPause(key_queue.paused_until);
        }
        if key_queue.messages.front() != Some(&id) || key_queue.in_flight > 0 {
            return KeyTurn::AfterOthers;
        }
        KeyTurn::Now
    }

    /// Requests a wake-up for the next time at which something is due without a further event.
    pub(super) fn request_wake_up(&mut self, now: Nanos) {
        self.sweep_ordered_keys(now);
        let queues = self.backlogged.iter();
        let next_check = queues.map(|dest| self.destinations[dest].check_at).min();
        let poller = self.poller.as_ref();
        let next_poll = poller.and_then(EndpointListPoller::next_poll_at);
        let next = next_check
            .unwrap_or(Nanos::MAX)
            .min(next_poll.unwrap_or(Nanos::MAX))
            .max(now + MS);
        if next < Nanos::MAX && (self.wake_at <= now || next < self.wake_at) {
            // Rounded up to whole milliseconds: a coarser clock would otherwise wake slightly
            // early, and the wake-up would not be requested again.
            let span = (next - now).div_ceil(MS) * MS;
            self.wake_at = now + span;
            self.actions.push(Action::WakeAfter(span));
        }
    }

    fn sweep_ordered_keys(&mut self, now: Nanos) {
        if self.sweep_at > now {
            return;
        }
        self.sweep_at = now + KEY_SWEEP;
        self.ordered_keys.retain(|_, key_queue| {
            !key_queue.messages.is_empty()
                || key_queue.in_flight > 0
                || key_queue.paused_until > now
        });
    }
}

/// Whether a message may be sent by the order of its key.
enum KeyTurn {
    Now,
    /// Not before the key's pause ends.
    AfterPause(Nanos),
    /// Not before the preceding messages of the key have ended.
    AfterOthers,
}
