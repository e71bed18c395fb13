//! Inputs and outputs of the decision module: settings, events and actions.
//!
//! No decision is made here. Callers: the embedding program and all parts of the module.

mod settings;

pub use settings::*;

use crate::dispatch::routing::Routes;
use std::rc::Rc;

/// A point in time or a span, in nanoseconds. The clock of the embedding program may start
/// anywhere.
pub type Nanos = u64;
/// Id of a message, chosen by the embedding program; unique within one process.
pub type MessageId = u32;
/// Number of a destination. One destination has one or more endpoints.
pub type DestinationId = u16;

/// Address of one endpoint; compared as a whole, never interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointAddress {
    /// Four bytes of address.
    pub addr: [u8; 4],
    /// The port.
    pub port: u16,
}

/// Condition of an endpoint by the list, which says nothing of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Listed.
    Ready,
    /// Must not be sent new calls.
    Draining,
    /// Removed.
    Gone,
}

/// Rate with which an endpoint is listed while attempts to it are leased to this sender, which are
/// made there first and at once. No real rate comes near it.
pub const LEASED_RATE: f32 = 1e12;

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    /// The endpoint.
    pub endpoint: EndpointAddress,
    /// Its zone.
    pub zone: u16,
    /// Its kind, as a position in [`Settings::kinds`].
    pub kind: u16,
    /// Its destination.
    pub dest: DestinationId,
    /// Its condition.
    pub condition: Condition,
    /// Calls per second that its destination (or the endpoint, where endpoints are separate routes)
    /// accepts from all senders together, as reliable as [`Settings::listed_rates`] says. Any
    /// number may be listed.
    pub rate: f32,
}

/// Tenant of a message that names none where the settings have tenants: the message is within no
/// tenant's share.
pub const NO_TENANT: u16 = u16::MAX;

/// A message handed to this sender, which must give it one final answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its tenant, as a position in [`Settings::tenants`]; a message with an unknown position, such
    /// as [`NO_TENANT`], is within no tenant's share.
    pub tenant: u16,
    /// Its class, as a position in [`Settings::classes`].
    pub class: u16,
    /// Ordering key, for ordered classes; 0 for none.
    pub key: u64,
    /// Time left until it is ended undelivered.
    pub ttl: Nanos,
    /// Its destination.
    pub dest: DestinationId,
}

/// Attempts of an earlier process for a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PriorAttempts {
    /// Number of attempts made, and number of the next one.
    pub attempts: u16,
    /// The first attempt that may have taken effect, if any.
    pub may_have_run: Option<PossibleRun>,
}

/// An attempt of an earlier process that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleRun {
    /// Time since it was sent. The clock of the embedding program must have started earlier than
    /// that.
    pub age: Nanos,
    /// The zone it was sent to.
    pub zone: u16,
}

/// Result of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// Answered with an error; may have taken effect.
    Error,
    /// Rejected unprocessed, with the Retry-After of the response (0: none).
    Rejected {
        /// The Retry-After.
        wait: Nanos,
    },
    /// No answer in time; may have taken effect.
    Timeout,
    /// No connection; certainly did not run.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// Cancelled; may have taken effect.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

/// An input of the module. All events of one call of the module happen at the same time, in this
/// order.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list; endpoints that are not in it are gone.
    List(Vec<Listing>),
    /// The list as this sender last had it, perhaps stale. Given at most once, before all other
    /// events, after a start.
    CachedList(Vec<Listing>),
    /// Changed entries only.
    ListChanges(Vec<Listing>),
    /// Changed entries from sources other than the directory (zone evacuations, leases): they do
    /// not make the list fresher.
    ListOverrides(Vec<Listing>),
    /// A poll of the list failed, or the watch broke.
    ListFailed,
    /// The directory has another address from now on.
    ListSourceMoved,
    /// New settings, effective from now on. The received list, learned state, pending messages and
    /// calls in flight stay as they are.
    SettingsChanged(Box<RuntimeSettings>),
    /// New routes, effective from now on, with zones as [`Listing::zone`] numbers them. They apply
    /// to pending messages from their next attempt on; calls in flight end as they would have.
    RoutesChanged(Rc<Routes>),
    /// A message was handed in.
    Arrived(Message),
    /// A message that an earlier process accepted and that still needs its final answer.
    Resumed {
        /// The message; its remaining time is as of now.
        message: Message,
        /// Its earlier attempts.
        prior: PriorAttempts,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The message.
        id: MessageId,
        /// Number of the attempt, from 0.
        attempt: u16,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Nanos,
        /// Whether the message has its final answer, by this outcome or before.
        finished: bool,
        /// Load report, or empty.
        report: Vec<f32>,
    },
    /// The client no longer waits for this message. No answer is required.
    ClientGone(MessageId),
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointAddress,
        /// How it ended.
        outcome: Outcome,
        /// Load report, or empty.
        report: Vec<f32>,
    },
    /// The time requested by [`Action::WakeAfter`] has passed.
    TimerFired,
}

impl Event {
    /// Whether the event carries the directory's list or changes of it.
    pub fn tells_list(&self) -> bool {
        matches!(
            self,
            Event::List(_) | Event::CachedList(_) | Event::ListChanges(_)
        )
    }
}

/// An instruction to the embedding program, to be followed in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. Sends to one endpoint in one turn share a call where the kind of destination
    /// allows it.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        endpoint: EndpointAddress,
        /// Time-out of the attempt.
        timeout: Nanos,
    },
    /// End a message undelivered; the client may safely send it again.
    Reject {
        /// The message.
        id: MessageId,
        /// Retry-After for the client; 0 for none.
        retry_after: Nanos,
    },
    /// End a message as failed; whether it took effect stays open.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Send a health check to an endpoint.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointAddress,
    },
    /// Close the idle connections to an endpoint, so that the next send opens a new one.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointAddress,
    },
    /// Poll the list, and watch its changes from now on.
    WatchList,
    /// Hand in [`Event::TimerFired`] after this time, rounded up as the clock allows.
    WakeAfter(Nanos),
    /// A log line for the operators.
    Log(String),
}
