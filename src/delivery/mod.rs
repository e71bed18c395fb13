//! Message delivery without a wire: from a message that a client hands in to its final answer.
//!
//! # The way of one message
//!
//! 1. A frontend calls [`message::receive`]; `accept::accept` checks the message
//!    (`AcceptanceChecks`), writes it to the [`journal`], submits it to the dispatcher
//!    ([`driver::DispatcherDriver::submit`]) and answers the client ([`message::ClientReply`]).
//!    A message that an earlier process accepted comes in by [`message::resume`] instead.
//! 2. `deliver::deliver` carries out the dispatcher's orders
//!    ([`driver::MessageHandle::next_order`]): for each one, `AttemptExecutor::execute` makes one
//!    attempt through [`EndpointClient::execute`] and reports how it ended
//!    ([`driver::MessageHandle::report_attempt`]).
//! 3. Once the outcome is known, `FinalAnswerReporter::conclude` writes the [`Verdict`] down, has
//!    the frontend send it ([`Frontend::send_final_answer`]) and closes the record.
//!
//! # What this folder owns
//!
//! Accepted messages, from the journal's first line to the last; the endpoint list; the policies
//! and routing tables that messages go by; the timers. It names no protocol: `net` implements
//! [`Frontend`], [`EndpointClient`] and [`message::ClientReply`]. It decides on no attempt: that is
//! `dispatch`, which [`driver`] calls. It counts no connections: that is `admission_control`.
//!
//! `net` and `agent` call it; it calls `dispatch`, `store` and `admission_control`.

pub mod admission;
pub mod client_quota;
pub mod driver;
pub mod endpoint;
pub mod endpoint_directory;
pub mod evacuation;
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

/// Longest body that is accepted, in bytes; the clients' interface says so.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Longest id or idempotency key, in bytes.
const MAX_IDENTIFIER_BYTES: usize = 256;

/// A future that stays on this one thread.
pub type LocalBoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A message as it was handed in; passed on unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The frontend that it came by, as a key of [`message::DeliveryContext::frontends`].
    pub frontend: u8,
    /// The id that its client gave it.
    pub id: String,
    /// The idempotency key that repeats are known by, in a class with keys.
    pub key: Option<String>,
    /// Class, as a position in the settings.
    pub class: u16,
    /// Destination.
    pub dest: u16,
    /// Where its frontend sends the final answer; the frontend's own form.
    #[serde(with = "serde_bytes")]
    pub reply_to: Vec<u8>,
    /// Notes for the endpoint, by the operator's script: name and text.
    pub notes: Vec<(String, String)>,
    /// Any bytes.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Bytes of a body that only the journal has.
    #[serde(skip)]
    pub stored_body_bytes: usize,
    /// Tenant, as a position in the settings, or [`crate::NO_TENANT`]; 0 where the settings have
    /// none. The journal keeps it behind the account ([`journal::MessageRecord`]).
    #[serde(skip)]
    pub tenant: u16,
}

impl Envelope {
    /// Bytes of its body, wherever that is.
    pub fn body_size(&self) -> usize {
        self.body.len() + self.stored_body_bytes
    }
}

/// What the final answer to an accepted message says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// An endpoint accepted it.
    Delivered,
    /// Given back without having run; it may be handed in again.
    Deferred {
        /// The advised wait in milliseconds; 0 for none.
        retry_after_ms: u64,
    },
    /// Failed for good.
    Undeliverable,
}

/// A final answer as its frontend has to send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// What it says.
    pub verdict: Verdict,
    /// The verdict came so close to the end of the message's time that its client may have taken
    /// the message for lost: it has to be told even what it usually learns by itself.
    pub crosses_end: bool,
}

/// Sends final answers to the clients that handed messages in.
pub trait Frontend {
    /// Sends a final answer, as often as it takes; done once it is known to have been received, or
    /// is owed no more.
    fn send_final_answer<'a>(
        &'a self,
        envelope: &'a Envelope,
        answer: FinalAnswer,
    ) -> LocalBoxFuture<'a, ()>;

    /// A message is held from now on. What this returns, if anything, is dropped once nothing is
    /// owed for the message any more.
    fn pending_answer_guard(&self, _envelope: &Envelope) -> Option<Box<dyn Any>> {
        None
    }
}

/// How one attempt to deliver a message ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// Its outcome.
    pub outcome: Outcome,
    /// Nothing more is owed for the message, delivered or not.
    pub message_closed: bool,
    /// The endpoint's load report, by column; empty where it gave none.
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

/// What became of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// Rejected before it was accepted, by a check or by the dispatcher.
    Rejected,
    /// Accepted, and its client has received that answer.
    Accepted,
    /// Delivered within its class's latency objective.
    Delivered,
    /// Delivered later than that.
    DeliveredLate,
    /// Given back without having run.
    Deferred,
    /// Failed for good.
    Failed,
}

/// Observes what becomes of attempts and messages.
pub trait DeliveryObserver {
    /// This became of a message of a class and tenant under a policy. One that was accepted here
    /// has one end.
    fn on_lifecycle_event(&self, _policy: u64, _class: u16, _tenant: u16, _event: LifecycleEvent) {}

    /// An attempt is about to begin. What this returns is dropped when it is over.
    fn attempt_started(&self, endpoint: &Rc<Endpoint>) -> Box<dyn Any>;

    /// An attempt has ended, after such a time.
    fn attempt_ended(&self, endpoint: &Endpoint, outcome: Outcome, took: Duration);
}

/// One attempt to deliver a message.
pub struct AttemptRequest<'a> {
    /// Where to.
    pub endpoint: Rc<Endpoint>,
    /// What.
    pub envelope: &'a Envelope,
    /// How long its answer is waited for.
    pub timeout: Duration,
    /// The attempt is over by then, even if an answer has begun: the rest of its message's time is
    /// for the final answer.
    pub ends_at: Instant,
    /// Called right before the first byte; where it returns false, nothing must be sent and the
    /// outcome is [`Outcome::NotSent`].
    pub authorize_send: &'a dyn Fn() -> bool,
}

/// Carries out attempts over connections that it owns.
pub trait EndpointClient {
    /// Carries out one attempt. When this returns, or is dropped, the endpoint can see that the
    /// attempt is no longer in flight.
    fn execute<'a>(&'a self, attempt: AttemptRequest<'a>) -> LocalBoxFuture<'a, AttemptReport>;

    /// Closes the connections to an endpoint that carry no attempt.
    fn close_idle(&self, endpoint: &Endpoint);
}

/// Whether a text can be an id or an idempotency key: it travels in header lines and user
/// properties, where every endpoint has to be able to read it.
pub fn is_valid_identifier(text: &str) -> bool {
    (1..=MAX_IDENTIFIER_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// A time span of the dispatcher's.
pub fn duration(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos)
}
