//! Message delivery, independent of any protocol: from a client's submission to the final answer.
//!
//! # Lifecycle of a message
//!
//! 1. A frontend calls [`message::receive`]; `accept::accept` checks the message
//!    (`AcceptanceChecks`), writes it to the [`journal`], submits it to the dispatcher
//!    ([`driver::DispatcherDriver::submit`]) and answers the client ([`message::ClientReply`]).
//!    A message that an earlier process accepted enters by [`message::resume`] instead.
//! 2. `deliver::deliver` carries out the dispatcher's orders
//!    ([`driver::MessageHandle::next_order`]): for each one, `AttemptExecutor::execute` makes one
//!    attempt through [`EndpointClient::execute`] and reports how it ended
//!    ([`driver::MessageHandle::report_attempt`]).
//! 3. Once the outcome is known, `FinalAnswerReporter::conclude` writes the [`Verdict`] to the
//!    journal, has the frontend send it ([`Frontend::send_final_answer`]) and closes the record.
//!
//! # Responsibilities
//!
//! This module owns accepted messages, from their first journal entry to their last; the endpoint
//! list; the policies and routing tables that govern messages; and the timers. It depends on no
//! protocol: `net` implements [`Frontend`], [`EndpointClient`] and [`message::ClientReply`].
//! `dispatch`, which [`driver`] calls, decides on attempts, and `admission_control` counts
//! connections.
//!
//! `net` and `agent` call it; it calls `dispatch`, `store` and `admission_control`.

pub mod admission;
pub mod client_quota;
pub mod driver;
pub mod endpoint;
pub mod endpoint_directory;
pub mod evacuation;
pub mod finished_messages;
pub mod journal;
pub mod message;
pub mod policies;
pub mod routing_tables;
pub mod script_hook;
mod signal;
pub mod timer_wheel;

use crate::{Nanos, Outcome};
use endpoint::Endpoint;
use futures_lite::Future;
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum size of a body, in bytes, as documented in the clients' interface.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum length of an id or idempotency key, in bytes.
const MAX_IDENTIFIER_BYTES: usize = 256;

/// A boxed future that is not sent to another thread.
pub type LocalBoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A message as its client submitted it; delivered unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The frontend that received the message, as a key of
    /// [`message::DeliveryContext::frontends`].
    pub frontend: u8,
    /// The id that the client assigned.
    pub id: String,
    /// The idempotency key that identifies repeats, in a class with keys.
    pub key: Option<String>,
    /// Class, as a position in the settings.
    pub class: u16,
    /// Destination.
    pub dest: u16,
    /// Return address of the final answer, in a format private to the frontend.
    #[serde(with = "serde_bytes")]
    pub reply_to: Vec<u8>,
    /// Notes for the endpoint that the operator's script added, as name and text.
    pub notes: Vec<(String, String)>,
    /// The body, arbitrary bytes.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Size of a body that is only in the journal, in bytes.
    #[serde(skip)]
    pub stored_body_bytes: usize,
    /// Tenant, as a position in the settings, or [`crate::NO_TENANT`]; 0 where the settings have
    /// none. The journal stores it after the message record ([`journal::MessageRecord`]).
    #[serde(skip)]
    pub tenant: u16,
}

impl Envelope {
    /// Returns the size of the body in bytes, whether it is in memory or in the journal.
    pub fn body_size(&self) -> usize {
        self.body.len() + self.stored_body_bytes
    }
}

/// The verdict that the final answer to an accepted message carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// An endpoint accepted the message.
    Delivered,
    /// The message did not run; its client may submit it again.
    Deferred {
        /// The advised wait in milliseconds; 0 for none.
        retry_after_ms: u64,
    },
    /// The message failed permanently.
    Undeliverable,
}

/// A final answer for the frontend to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// The verdict to send.
    pub verdict: Verdict,
    /// Whether the verdict was reached so close to the deadline that the client may consider the
    /// message lost. Such a client has to be notified even of what it usually learns by itself.
    pub crosses_end: bool,
}

/// Sends final answers to the clients that submitted messages.
pub trait Frontend {
    /// Sends a final answer, and repeats it until the client is known to have received it or no
    /// answer is owed any more.
    fn send_final_answer<'a>(
        &'a self,
        envelope: &'a Envelope,
        answer: FinalAnswer,
    ) -> LocalBoxFuture<'a, ()>;

    /// Returns a guard, if the frontend needs one, that is held from the registration of a message
    /// and dropped once no answer is owed for it any more.
    fn pending_answer_guard(&self, _envelope: &Envelope) -> Option<Box<dyn Any>> {
        None
    }
}

/// Result of one attempt to deliver a message.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether no answer is owed for the message any more, delivered or not.
    pub message_closed: bool,
    /// The endpoint's load report, by column; empty if it sent none.
    pub load_report: Vec<f32>,
}

impl From<Outcome> for AttemptReport {
    fn from(outcome: Outcome) -> Self {
        AttemptReport {
            outcome,
            message_closed: outcome == Outcome::Delivered,
            load_report: Vec::new(),
        }
    }
}

/// A step in the lifecycle of a message that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// Rejected before it was accepted, by a check or by the dispatcher.
    Rejected,
    /// Accepted, and its client has received that answer.
    Accepted,
    /// Delivered within its class's latency objective.
    Delivered,
    /// Delivered, but not within the latency objective.
    DeliveredLate,
    /// Ended without having run; its client may submit it again.
    Deferred,
    /// Failed permanently.
    Failed,
}

/// Observes attempts and the lifecycle of messages.
pub trait DeliveryObserver {
    /// Called for each lifecycle event of a message, with its policy, class and tenant. A message
    /// that was accepted by this process ends exactly once.
    fn on_lifecycle_event(&self, _policy: u64, _class: u16, _tenant: u16, _event: LifecycleEvent) {}

    /// Called right before an attempt begins. The returned guard is dropped when it has ended.
    fn attempt_started(&self, endpoint: &Rc<Endpoint>) -> Box<dyn Any>;

    /// Called after an attempt has ended, with its duration.
    fn attempt_ended(&self, endpoint: &Endpoint, outcome: Outcome, took: Duration);
}

/// One attempt to deliver a message.
pub struct AttemptRequest<'a> {
    /// The endpoint to call.
    pub endpoint: Rc<Endpoint>,
    /// The message to send.
    pub envelope: &'a Envelope,
    /// Maximum time to wait for the endpoint's answer.
    pub timeout: Duration,
    /// Time by which the attempt has to end, even if the answer has begun to arrive: the rest of
    /// the message's time is reserved for its final answer.
    pub ends_at: Instant,
    /// Called right before the first byte. If it returns false, the client must send nothing and
    /// report [`Outcome::NotSent`].
    pub authorize_send: &'a dyn Fn() -> bool,
}

/// Makes attempts over connections that it owns.
pub trait EndpointClient {
    /// Makes one attempt. When the future returns or is dropped, the endpoint can see that the
    /// attempt is no longer in flight.
    fn execute<'a>(&'a self, attempt: AttemptRequest<'a>) -> LocalBoxFuture<'a, AttemptReport>;

    /// Closes the idle connections to an endpoint.
    fn close_idle(&self, endpoint: &Endpoint);
}

/// Whether a text is a valid id or idempotency key: 1 to [`MAX_IDENTIFIER_BYTES`] printable ASCII
/// characters without spaces. It is sent in headers and user properties, where every endpoint has
/// to be able to read it.
pub fn is_valid_identifier(text: &str) -> bool {
    (1..=MAX_IDENTIFIER_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Returns the current time in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Converts a time span of the dispatcher, in nanoseconds.
pub fn duration(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos)
}
