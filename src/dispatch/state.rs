//! What a dispatcher keeps of destinations, messages, attempts and calls.
//!
//! No decision and no tuned number is here; [`crate::dispatch::dispatcher`] is the only caller.

use crate::dispatch::api::*;
use crate::dispatch::rate_control::RateController;
use crate::dispatch::statistics::Meter;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One destination: its endpoints, its messages, its rate controllers.
#[derive(Debug, Default)]
pub struct DestinationQueue {
    /// Its listed endpoints, and those that are gone but still have calls in flight.
    pub endpoints: BTreeSet<EndpointAddress>,
    /// Messages that arrived for it.
    pub arrivals: Meter,
    /// Messages that are not over, in flight or not.
    pub messages: BTreeSet<MessageId>,
    /// One for all endpoints (no address), or one per endpoint where they are separate routes.
    pub controllers: BTreeMap<Option<EndpointAddress>, RateController>,
    /// When the queue is looked at next if nothing happens here before; 0: in this turn.
    pub check_at: Nanos,
    /// Highest throughput, in calls a second, of endpoints that went while they were ejected; 0
    /// once another one has answered.
    pub lost_throughput: f64,
    /// Most calls that a controller which went had accepted.
    pub accepted_calls: u32,
}

/// A message that is not over.
#[derive(Debug, Default)]
pub struct PendingMessage {
    /// The message as it was handed in.
    pub message: Message,
    /// When it is given up.
    pub deadline: Nanos,
    /// When it was first handed in, by its class and the time it had left.
    pub created_at: Nanos,
    /// Attempts made.
    pub attempts: u32,
    /// An attempt is out.
    pub in_flight: bool,
    /// The first attempt that may have taken effect.
    pub may_have_run: Option<SentAttempt>,
    /// An attempt was rejected or got no connection.
    pub was_rejected: bool,
    /// It is not sent again before this time.
    pub not_before: Nanos,
    /// Its tenant sent more than its share when it arrived.
    pub over_share: bool,
}

/// When and where an attempt was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// When it was sent.
    pub sent_at: Nanos,
    /// The zone of its endpoint.
    pub zone: u16,
}

impl PendingMessage {
    /// What an earlier process left of a message.
    pub fn resumed(now: Nanos, prior: &PriorAttempts) -> Self {
        let may_have_run = prior.may_have_run.map(|run| SentAttempt {
            sent_at: now.saturating_sub(run.age),
            zone: run.zone,
        });
        PendingMessage {
            attempts: u32::from(prior.attempts),
            may_have_run,
            ..PendingMessage::default()
        }
    }
}

/// Names an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The message.
    pub message: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u16,
}

/// One message's part of a call that is out.
#[derive(Debug)]
pub struct InFlightAttempt {
    /// Number of the call.
    pub call: u64,
    /// Zone of the endpoint.
    pub zone: u16,
    /// The message's ordering key; 0: none.
    pub key: u64,
}

/// A call that is out, with one message or several.
#[derive(Clone, Debug)]
pub struct InFlightCall {
    /// Attempts of it that have not ended.
    pub attempts_left: u32,
    /// The destination.
    pub dest: DestinationId,
    /// The endpoint.
    pub endpoint: EndpointAddress,
    /// When it was sent.
    pub sent_at: Nanos,
    /// Its first result has been counted; the others say nothing new.
    pub is_counted: bool,
    /// It was sent after a rejection with nothing accepted since.
    pub follows_rejection: bool,
    /// It is a trial of an ejected endpoint.
    pub is_trial: bool,
    /// It probably took a connection that had been idle.
    pub on_idle_connection: bool,
}

/// Messages with one ordering key, which go one at a time.
#[derive(Debug, Default)]
pub struct OrderedKeyQueue {
    /// The messages, in the order taken.
    pub messages: VecDeque<MessageId>,
    /// Attempts that are out.
    pub in_flight: u32,
    /// The key rests until then, as an attempt may still run...
    pub paused_until: Nanos,
    /// ...but not for the message of that attempt.
    pub paused_for: MessageId,
}
