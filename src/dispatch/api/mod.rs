//! What goes into the decision module and what comes out: settings, events, actions.
//!
//! No decision is made here. Callers: whatever embeds the module, and all its parts.

mod settings;

pub use settings::*;

use crate::dispatch::routing::Routes;
use std::rc::Rc;

/// A point in time or a span, in nanoseconds. The clock of the embedding program may start
/// anywhere.
pub type Nanos = u64;
/// Id of a message, chosen by the embedding program; never used twice in one process.
pub type MessageId = u32;
/// Number of a destination. One destination has one or more endpoints.
pub type DestinationId = u16;

/// Address of one endpoint; compared as a whole, never read for meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointAddress {
    /// Four bytes of address.
    pub addr: [u8; 4],
    /// The port.
    pub port: u16,
}

/// What the list says of an endpoint. It says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Listed.
    Ready,
    /// To be sent nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// The rate that an endpoint is listed with while attempts there are leased to this sender, which
/// are to go there first and at once: no rate that is told of an endpoint comes near it.
pub const LEASED_RATE: f32 = 1e12;

/// A line of the list of endpoints.
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
    /// Calls a second that its destination (or the endpoint, where endpoints are separate routes)
    /// takes from all senders together, as far as [`Settings::listed_rates`] says. Any number may
    /// come.
    pub rate: f32,
}

/// The tenant of a message that names none where the settings have tenants: it is within nobody's
/// share.
pub const NO_TENANT: u16 = u16::MAX;

/// A message handed to this sender, which owes it one final answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its tenant, as a position in [`Settings::tenants`]; one that is not there, as [`NO_TENANT`],
    /// is within nobody's share.
    pub tenant: u16,
    /// Its class, as a position in [`Settings::classes`].
    pub class: u16,
    /// What it is about, for ordered classes; 0 for none.
    pub key: u64,
    /// Time left until it is given up.
    pub ttl: Nanos,
    /// Its destination.
    pub dest: DestinationId,
}

/// What an earlier process did for a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PriorAttempts {
    /// Attempts made; the next one is numbered so.
    pub attempts: u16,
    /// The first attempt that may have taken effect, if one may have.
    pub may_have_run: Option<PossibleRun>,
}

/// An attempt of an earlier process that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleRun {
    /// How long ago it was sent. The embedding program's clock must have started further back than
    /// that.
    pub age: Nanos,
    /// The zone it was sent to.
    pub zone: u16,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// Answered with an error; may have taken effect.
    Error,
    /// Rejected unseen, with the wait it told (0: none).
    Rejected {
        /// The wait.
        wait: Nanos,
    },
    /// No answer in time; may have taken effect.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// Cancelled; may have taken effect.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

/// What happened. All events of one call of the module happen at the same time, in this order.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list; what is not in it is gone.
    List(Vec<Listing>),
    /// The list as this sender last held it, perhaps stale. Comes once, first of all, after a
    /// start.
    CachedList(Vec<Listing>),
    /// Changed lines only.
    ListChanges(Vec<Listing>),
    /// Changed lines by order of others than the directory (zone evacuations, leases): the list is
    /// no newer by them.
    ListOverrides(Vec<Listing>),
    /// A poll of the list failed, or the watch broke.
    ListFailed,
    /// The list is to be polled at another place from now on.
    ListSourceMoved,
    /// These settings count from now on. What is told, learned, held and in flight stays as it is.
    SettingsChanged(Box<RuntimeSettings>),
    /// These routes count from now on, with zones as [`Listing::zone`] numbers them; for messages
    /// that are held at their next attempt. Calls in flight end as they would have.
    RoutesChanged(Rc<Routes>),
    /// A message was handed in.
    Arrived(Message),
    /// A message that an earlier process took on and still owes its end.
    Resumed {
        /// The message; its time left is that of now.
        message: Message,
        /// What came of it before.
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
        /// The message is over, by this outcome or before.
        finished: bool,
        /// Load report, or nothing.
        report: Vec<f32>,
    },
    /// Nobody waits for this message any more. No answer is owed.
    ClientGone(MessageId),
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointAddress,
        /// How it ended.
        outcome: Outcome,
        /// Load report, or nothing.
        report: Vec<f32>,
    },
    /// The time asked for by [`Action::WakeAfter`] has come.
    TimerFired,
}

impl Event {
    /// Whether the directory has said something with it.
    pub fn tells_list(&self) -> bool {
        matches!(
            self,
            Event::List(_) | Event::CachedList(_) | Event::ListChanges(_)
        )
    }
}

/// What the embedding program is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. Sends to one endpoint in one turn share a call where the kind allows it.
    Send {
        /// The message.
        id: MessageId,
        /// Where to.
        endpoint: EndpointAddress,
        /// Time-out of the attempt.
        timeout: Nanos,
    },
    /// End a message undelivered; the client may safely try again.
    Reject {
        /// The message.
        id: MessageId,
        /// How long the client is advised to stay away; 0 for no advice.
        retry_after: Nanos,
    },
    /// End a message as failed; nothing is said of its effect.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Send a health check to an endpoint.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointAddress,
    },
    /// Close the connections to an endpoint that carry no call now, so that the next send opens a
    /// new one.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointAddress,
    },
    /// Poll the list, and watch its changes from now on.
    WatchList,
    /// Hand in [`Event::TimerFired`] after this time, rounded up as the clock allows.
    WakeAfter(Nanos),
    /// A line for the operators.
    Log(String),
}
