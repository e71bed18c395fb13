//! Records that a dispatcher keeps of destinations, messages, attempts and calls.
//!
//! No decision is made and no parameter is set here; [`crate::dispatch::dispatcher`] is the only
//! caller.

use crate::dispatch::api::*;
use crate::dispatch::rate_control::RateController;
use crate::dispatch::statistics::Meter;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One destination: its endpoints, its messages, its rate controllers.
#[derive(Debug, Default)]
pub struct DestinationQueue {
    /// Its listed endpoints, and those no longer listed that still have calls in flight.
    pub endpoints: BTreeSet<EndpointAddress>,
    /// Messages that arrived for it.
    pub arrivals: Meter,
    /// Messages without a final answer, in flight or not.
    pub messages: BTreeSet<MessageId>,
    /// One for all endpoints (no address), or one per endpoint where they are separate routes.
    pub controllers: BTreeMap<Option<EndpointAddress>, RateController>,
    /// Time of the next check of the queue if no event triggers one earlier; 0: in this turn.
    pub check_at: Nanos,
    /// Highest throughput, in calls per second, of endpoints that were dropped while ejected; 0
    /// once another endpoint has answered.
    pub lost_throughput: f64,
    /// Highest number of accepted calls among the controllers that were dropped.
    pub accepted_calls: u32,
}

/// A message without a final answer.
#[derive(Debug, Default)]
pub struct PendingMessage {
    /// The message as it was handed in.
    pub message: Message,
    /// Time at which it is ended undelivered.
    pub deadline: Nanos,
    /// Time at which it was first handed in, computed from its class and its remaining time.
    pub created_at: Nanos,
    /// Attempts made.
    pub attempts: u32,
    /// Whether an attempt is in flight.
    pub in_flight: bool,
    /// The first attempt that may have taken effect.
    pub may_have_run: Option<SentAttempt>,
    /// Whether an attempt was rejected or got no connection.
    pub was_rejected: bool,
    /// Earliest time of the next attempt.
    pub not_before: Nanos,
    /// Whether its tenant exceeded its share when the message arrived.
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
    /// Creates the state of a message that an earlier process has attempted.
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

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The message.
    pub message: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u16,
}

/// One message's part of a call in flight.
#[derive(Debug)]
pub struct InFlightAttempt {
    /// Number of the call.
    pub call: u64,
    /// Zone of the endpoint.
    pub zone: u16,
    /// The message's ordering key; 0: none.
    pub key: u64,
}

/// A call in flight, with one message or several.
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
    /// Whether its first result has been counted; further results carry no new information.
    pub is_counted: bool,
    /// Whether it was sent after a rejection with nothing accepted since.
    pub follows_rejection: bool,
    /// Whether it is a trial call to an ejected endpoint.
    pub is_trial: bool,
    /// Whether it probably used an idle connection.
    pub on_idle_connection: bool,
}

/// Messages with one ordering key, which are sent one at a time.
#[derive(Debug, Default)]
pub struct OrderedKeyQueue {
    /// The messages, in the order in which they were accepted.
    pub messages: VecDeque<MessageId>,
    /// Attempts in flight.
    pub in_flight: u32,
    /// End of the key's pause while an attempt may still run...
    pub paused_until: Nanos,
    /// ...which does not apply to the message of that attempt.
    pub paused_for: MessageId,
}
