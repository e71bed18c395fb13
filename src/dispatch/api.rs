//! What goes into the decision module and what comes out: settings, events, actions. No decision is
//! made here.

use crate::dispatch::routing::Routes;
use std::fmt;
use std::rc::Rc;

/// A point in time or a span, in nanoseconds. The clock of the embedding program may start
/// anywhere.
pub type Nanos = u64;
/// Id of a message, chosen by the embedding relay; never used twice in one life of a relay.
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

/// Whether a message of a class may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Harmless to repeat.
    Idempotent,
    /// Repeats are dropped for [`Class::dedup_window`] after the first send that may have run.
    IdempotentWithKey,
    /// Must never take effect twice.
    NotIdempotent,
}

/// Which endpoints of a destination drop repeats of a [`Effect::IdempotentWithKey`] message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every endpoint of the destination.
    All,
    /// Only those in the zone of the endpoint that may have run it.
    Zone,
}

/// How worth falls once the wanted time is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Decay {
    /// Evenly, down to the late worth at the deadline.
    #[default]
    Linear,
    /// By half with each further wanted time, not under the late worth.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug)]
pub struct Class {
    /// Wanted within this time for its full worth.
    pub latency_objective: Nanos,
    /// Given up after this time.
    pub deadline: Nanos,
    /// Effect of a repeat.
    pub effect: Effect,
    /// Where repeats are dropped.
    pub dedup_scope: DedupScope,
    /// How long repeats are dropped.
    pub dedup_window: Nanos,
    /// Worth in time.
    pub priority_weight: f64,
    /// Share of the worth left at the deadline.
    pub late_weight: f64,
    /// Messages with one key go one at a time, in the order taken.
    pub ordered_by_key: bool,
}

impl Class {
    /// Worth of a message delivered this long after it was first handed in, before its deadline.
    pub fn weight_at_age(&self, age: Nanos, decay: Decay) -> f64 {
        let late = age.saturating_sub(self.latency_objective) as f64;
        let part = match decay {
            _ if late == 0.0 => 1.0,
            Decay::Halving => 0.5f64
                .powf(late / self.latency_objective.max(1) as f64)
                .max(self.late_weight),
            Decay::Linear => {
                let rest = self.deadline.saturating_sub(self.latency_objective).max(1) as f64;
                1.0 - (1.0 - self.late_weight) * (late / rest).min(1.0)
            }
        };
        self.priority_weight * part
    }
}

/// A tenant and its share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its part of the service, 0 to 1.
    pub share: f64,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    /// Endpoints are separate routes with a limit and waits of their own.
    pub separate_routes: bool,
    /// Messages that one call may carry.
    pub max_batch: u32,
}

/// What the rates in the list are worth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRates {
    /// There are none.
    #[default]
    Absent,
    /// As agreed.
    Exact,
    /// Up to half too high or too low.
    Approximate,
}

/// What is known from the process before this one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RestartState {
    /// It ended as told, a short time ago: this start is part of a planned restart.
    pub planned: bool,
    /// What an ask cost the directory, in seconds.
    pub poll_cost_seconds: Option<f64>,
    /// How long the list that the process before had may still be trusted; nothing where none was
    /// before.
    pub remaining_freshness: Option<Nanos>,
}

/// What a relay is told when it starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Classes of message, by position.
    pub classes: Vec<Class>,
    /// Tenants, by position; may be empty.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination, by position; may be empty.
    pub kinds: Vec<DestinationKind>,
    /// Relays that send to the same destinations, this one included.
    pub senders: u32,
    /// What the process before this one knew.
    pub restart_state: RestartState,
    /// Calls that may be out at once.
    pub max_in_flight_calls: u32,
    /// Messages that may be held, sent or not.
    pub max_held_messages: u32,
    /// Attempts allowed for one message.
    pub max_attempts: u32,
    /// Bounds of the messages of each class, by position, where classes have their own; empty where
    /// all have the same.
    pub class_limits: Vec<ClassLimits>,
    /// How worth falls.
    pub decay: Decay,
    /// Worth of traffic over a tenant's share, as a part of the usual.
    pub over_share_weight: f64,
    /// The list of endpoints must be asked for; it is not pushed.
    pub poll_list: bool,
    /// An agent on the sender's own machine has it: it answers at once and no other sender, and
    /// what it has counts as told from the first moment of a process.
    pub list_pushed: bool,
    /// Longest time without asking for it: then its changes count as told (0: no bound).
    pub poll_deadline: Nanos,
    /// A watch says something at least this often, also where nothing changes (0: it tells changes
    /// alone, and its silence says nothing).
    pub watch_heartbeat: Nanos,
    /// Endpoints may be probed.
    pub probes: bool,
    /// Waits told with a refusal reach the client.
    pub sends_retry_after: bool,
    /// Longest wait a client heeds.
    pub max_retry_after: Nanos,
    /// After an outage a destination has this share of its capacity, or more.
    pub slow_start_fraction: f64,
    /// And all of it after this time.
    pub slow_start_duration: Nanos,
    /// Multiple of its present capacity that pushes it over...
    pub overload_factor: f64,
    /// ...when kept up this long.
    pub overload_window: Nanos,
    /// Rest of a key after an attempt that may still run.
    pub ordered_key_pause: Nanos,
    /// The transport closes a connection that was not used for this long (0: never).
    pub connection_idle_timeout: Nanos,
    /// What [`Listing::rate`] is worth.
    pub listed_rates: ListedRates,
    /// What a message costs that a route in a zone takes on, by zone and in worth; may be empty.
    pub zone_fees: Vec<f64>,
    /// Position in a load report of the share of the limit left, if reported.
    pub report_left: Option<usize>,
    /// Position in a load report of the limit in calls a second, if reported.
    pub report_limit: Option<usize>,
}

/// What holds for each message of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimits {
    /// Attempts allowed.
    pub max_attempts: u32,
    /// Longest wait that its client heeds.
    pub max_retry_after: Nanos,
}

/// What may change while a relay runs. Messages that it holds name classes by position: those keep
/// their places.
#[derive(Clone, Debug, Default)]
pub struct RuntimeSettings {
    /// Classes, by position.
    pub classes: Vec<Class>,
    /// Bounds of each.
    pub class_limits: Vec<ClassLimits>,
    /// Calls that may be out at once. Those that are beyond it end as they would have.
    pub max_in_flight_calls: u32,
    /// Messages that may be held. Those that are beyond it stay.
    pub max_held_messages: u32,
}

impl Settings {
    /// What holds for messages of a class.
    pub fn class_limits(&self, class: u16) -> ClassLimits {
        let all = ClassLimits {
            max_attempts: self.max_attempts,
            max_retry_after: self.max_retry_after,
        };
        self.class_limits
            .get(usize::from(class))
            .copied()
            .unwrap_or(all)
    }

    /// The first setting that no relay can work by, if there is one.
    ///
    /// # Errors
    /// There is one.
    pub fn check(&self) -> Result<(), SettingsError> {
        let faults = [
            (self.classes.is_empty(), "classes", "at least one is needed"),
            (
                self.classes.iter().any(|c| c.deadline == 0),
                "classes.deadline",
                "must be above zero",
            ),
            (self.max_in_flight_calls == 0, "slots", "must be above zero"),
            (self.max_held_messages == 0, "room", "must be above zero"),
        ];
        let fault = faults.into_iter().find(|f| f.0);
        fault.map_or(Ok(()), |(_, setting, problem)| {
            Err(SettingsError { setting, problem })
        })
    }

    /// Goes by other terms from now on; by none that [`Settings::check`] refuses.
    pub fn change(&mut self, terms: &RuntimeSettings) {
        let RuntimeSettings {
            classes,
            class_limits,
            max_in_flight_calls,
            max_held_messages,
        } = terms.clone();
        let changed = Settings {
            classes,
            class_limits,
            max_in_flight_calls,
            max_held_messages,
            ..self.clone()
        };
        if changed.check().is_ok() {
            *self = changed;
        }
    }
}

/// Start-up settings that no relay can work by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting, as a field of [`Settings`].
    pub setting: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.problem)
    }
}

impl std::error::Error for SettingsError {}

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

/// What an endpoint is listed with while calls there are lent to this relay, which are to go there
/// first and at once: no rate that is told of a partner comes near it.
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
    /// Calls a second that its destination (or the endpoint, where routes are apart) takes from all
    /// relays together, as far as [`Settings::listed`] says. Any number may come.
    pub rate: f32,
}

/// The tenant of a message that names none where the settings have tenants: it is within nobody's
/// share.
pub const NO_TENANT: u16 = u16::MAX;

/// A message handed to this relay, which owes it one final answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its tenant, as a position in [`Settings::tenants`]; one that is not there, as [`NO_TENANT`],
    /// is within nobody's share.
    pub tenant: u16,
    /// Its class, as a position in [`Settings::classes`].
    pub class: u16,
    /// What it is about, for classes in order; 0 for none.
    pub key: u64,
    /// Time left until it is given up.
    pub ttl: Nanos,
    /// Its destination.
    pub dest: DestinationId,
}

/// What an earlier life of a relay did for a message.
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
    /// How long ago it was sent, in nanoseconds. The embedding program's clock must have started
    /// further back than that.
    pub age: Nanos,
    /// The zone it was sent to.
    pub zone: u16,
}

/// How an attempt or a probe ended.
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
    /// Called off; may have taken effect.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

/// What happened. All events of one call of the module happen at the same time, in this order.
#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list; what is not in it is gone.
    List(Vec<Listing>),
    /// The list as this relay last held it, perhaps stale. Comes once, first of all, after a start.
    CachedList(Vec<Listing>),
    /// Changed lines only.
    ListChanges(Vec<Listing>),
    /// The same by order of others than the directory, which has said nothing: the list is no newer
    /// by it.
    ListOverrides(Vec<Listing>),
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
    /// The list is to be asked for at another place from now on.
    ListSourceMoved,
    /// Goes by these terms from now on. What is told, learned, held and out stays as it is.
    SettingsChanged(Box<RuntimeSettings>),
    /// Goes by these routes from now on, as [`Listing::zone`] numbers zones; messages that are held
    /// at their next attempt. Calls that are out end as they would have.
    RoutesChanged(Rc<Routes>),
    /// A message was handed in.
    Arrived(Message),
    /// A message that an earlier life of this relay took on and still owes its end.
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
    /// A probe ended.
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

/// What the relay is to do, in the order given.
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
    /// Probe an endpoint.
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
    /// Follow changes of the list from now on.
    WatchList,
    /// Hand in [`Event::TimerFired`] after this time, rounded up as the clock allows.
    WakeAfter(Nanos),
    /// A line for the operators.
    Log(String),
}
