//! The sender without a wire: what is taken on, asked of the module, called, answered and
//! remembered.
//!
//! A front hands messages in ([`message::Reply`]) and passes final answers on ([`Frontend`]); an
//! [`EndpointClient`] makes one call to one provider. Nothing here names a protocol.

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
pub mod timer_wheel;

use crate::{Nanos, Outcome};
use endpoint::Endpoint;
use futures_lite::Future;
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest body taken.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A future of this one thread.
pub type LocalBoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A message as it was handed in; passed on unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Which front it came by, as a position in [`message::DeliveryContext::fronts`].
    pub frontend: u8,
    /// The id that its client gave it.
    pub id: String,
    /// What repeats are known by, in a keyed class.
    pub key: Option<String>,
    /// Class, as a position in the settings.
    pub class: u16,
    /// Destination.
    pub dest: u16,
    /// Where its front sends the final answer; the front's own form.
    #[serde(with = "serde_bytes")]
    pub reply_to: Vec<u8>,
    /// Notes for the provider, by a script.
    pub notes: Vec<(String, String)>,
    /// Any bytes.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Bytes of a body that is not in memory.
    #[serde(skip)]
    pub stored_body_bytes: usize,
    /// Tenant, as a position in the settings, or [`crate::NO_TENANT`]; 0 where the settings have
    /// none. The journal keeps it behind the account ([`journal::record::MessageRecord`]).
    #[serde(skip)]
    pub tenant: u16,
}

impl Envelope {
    /// Bytes of its body, wherever that is.
    pub fn body_size(&self) -> usize {
        self.body.len() + self.stored_body_bytes
    }
}

/// How a message that was taken on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// A provider took it.
    Delivered,
    /// Given up unseen; may be handed in again after so many milliseconds.
    Deferred {
        /// The advised wait; 0 for none.
        retry_after_ms: u64,
    },
    /// Failed for good.
    Undeliverable,
}

/// Passes final answers on to those who handed messages in.
pub trait Frontend {
    /// Tells the verdict, as often as it takes; done once it is known to have arrived or is owed no
    /// more.
    fn send_final_answer<'a>(
        &'a self,
        envelope: &'a Envelope,
        verdict: Verdict,
    ) -> LocalBoxFuture<'a, ()>;

    /// A message is held. What this gives, if anything, is dropped once nothing is owed for it any
    /// more.
    fn pending_answer_guard(&self, _envelope: &Envelope) -> Option<Box<dyn Any>> {
        None
    }
}

/// What came of an invoker call.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// How it ended.
    pub outcome: Outcome,
    /// Nothing more is owed for the message, delivered or not.
    pub message_closed: bool,
    /// Load report, or nothing.
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

/// What became of a message, as the owner of its life tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// Turned away at the door, or by the module, before it was taken on.
    Rejected,
    /// Taken on, and its client has heard so.
    Accepted,
    /// Delivered within its promise.
    Delivered,
    /// Delivered later than that.
    DeliveredLate,
    /// Given back unseen.
    Deferred,
    /// Failed for good.
    Failed,
}

/// Sees what becomes of invoker calls, and of messages.
pub trait DeliveryObserver {
    /// This became of a message of such a class and tenant under such a policy. One that was taken
    /// on here has one end.
    fn on_lifecycle_event(&self, _policy: u64, _class: u16, _tenant: u16, _life: LifecycleEvent) {}
    /// A call is out from now on; what this gives is dropped when it is no longer.
    fn attempt_started(&self, provider: &Rc<Endpoint>) -> Box<dyn Any>;
    /// A call has ended so, after such a time.
    fn attempt_ended(&self, provider: &Endpoint, outcome: Outcome, took: Duration);
}

/// One attempt to deliver a message.
pub struct AttemptRequest<'a> {
    /// Where to.
    pub endpoint: Rc<Endpoint>,
    /// What.
    pub envelope: &'a Envelope,
    /// How long its answer is waited for.
    pub timeout: Duration,
    /// Asked right before the first byte; where it says no, nothing is sent and the outcome is
    /// moot.
    pub authorize_send: &'a dyn Fn() -> bool,
}

/// Makes invoker calls over connections that it owns.
pub trait EndpointClient {
    /// Makes a call. When this returns, or is dropped, the provider can see that the call is no
    /// longer out.
    fn execute<'a>(&'a self, call: AttemptRequest<'a>) -> LocalBoxFuture<'a, AttemptReport>;

    /// Closes the connections to a provider that carry no call.
    fn close_idle(&self, provider: &Endpoint);
}

/// Whether a text can be an id or a key: it travels in header lines and user properties, where
/// every provider has to be able to read it.
pub fn is_valid_identifier(text: &str) -> bool {
    (1..=256).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// A span of the module's.
pub fn duration(t: Nanos) -> Duration {
    Duration::from_nanos(t)
}
