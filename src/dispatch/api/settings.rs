//! Settings of a dispatcher, and what of them may change while it runs.
//!
//! No decision is made here but for the weight of a message by its age ([`Class::weight_at_age`])
//! and the check of settings.

use super::Nanos;
use std::fmt;

/// Whether a message of a class may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Harmless to repeat.
    Idempotent,
    /// Has an idempotency key: repeats are dropped for [`Class::dedup_window`] after the first send
    /// that may have run.
    IdempotentWithKey,
    /// Must never take effect twice.
    NotIdempotent,
}

/// Which endpoints of a destination drop repeats of an [`Effect::IdempotentWithKey`] message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every endpoint of the destination.
    All,
    /// Only those in the zone of the endpoint that may have run it.
    Zone,
}

/// How the weight of a message falls once its latency objective is missed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Decay {
    /// Evenly, down to the late weight at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective, not under the late weight.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective: delivered within this time, a message has its full weight.
    pub latency_objective: Nanos,
    /// Given up after this time.
    pub deadline: Nanos,
    /// Effect of a repeat.
    pub effect: Effect,
    /// Where repeats are dropped.
    pub dedup_scope: DedupScope,
    /// How long repeats are dropped.
    pub dedup_window: Nanos,
    /// Weight of a message that is delivered in time, against those of other classes.
    pub priority_weight: f64,
    /// Fraction of the weight that is left at the deadline.
    pub late_weight: f64,
    /// Messages with one key go one at a time, in the order taken.
    pub ordered_by_key: bool,
}

impl Class {
    /// Weight of a message delivered this long after it was first handed in, before its deadline.
    pub fn weight_at_age(&self, age: Nanos, decay: Decay) -> f64 {
        self.priority_weight * self.fraction_at_age(age, decay)
    }

    fn fraction_at_age(&self, age: Nanos, decay: Decay) -> f64 {
        let late = age.saturating_sub(self.latency_objective) as f64;
        if late == 0.0 {
            return 1.0;
        }
        match decay {
            Decay::Halving => {
                let halvings = late / self.latency_objective.max(1) as f64;
                0.5f64.powf(halvings).max(self.late_weight)
            }
            Decay::Linear => {
                let rest = self.deadline.saturating_sub(self.latency_objective);
                let rest = rest.max(1) as f64;
                1.0 - (1.0 - self.late_weight) * (late / rest).min(1.0)
            }
        }
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
    /// Endpoints are separate routes with a limit and waits of their own; else all endpoints of a
    /// destination share them.
    pub separate_routes: bool,
    /// Messages that one call may carry.
    pub max_batch: u32,
}

/// How far the rates in the list are to be trusted.
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
    /// It ended by a graceful shutdown, a short time ago: this start is part of a planned restart.
    pub planned: bool,
    /// What a poll of the list cost the directory, in seconds.
    pub poll_cost_seconds: Option<f64>,
    /// How long the list that the process before had may still be trusted; nothing where no process
    /// was before.
    pub remaining_freshness: Option<Nanos>,
}

/// What a dispatcher is given when it starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Classes of message, by position.
    pub classes: Vec<Class>,
    /// Tenants, by position; may be empty.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination, by position; may be empty.
    pub kinds: Vec<DestinationKind>,
    /// Senders that send to the same destinations, this one included.
    pub senders: u32,
    /// What the process before this one knew.
    pub restart_state: RestartState,
    /// Calls that may be in flight at once.
    pub max_in_flight_calls: u32,
    /// Messages that may be held, sent or not.
    pub max_held_messages: u32,
    /// Attempts allowed for one message.
    pub max_attempts: u32,
    /// Limits of the messages of each class, by position, where classes have their own; empty where
    /// all have the same.
    pub class_limits: Vec<ClassLimits>,
    /// How the weight of a message falls with time.
    pub decay: Decay,
    /// Factor on the weight of traffic over a tenant's share.
    pub over_share_weight: f64,
    /// The list of endpoints must be polled; it is not pushed.
    pub poll_list: bool,
    /// An agent on the sender's own machine has the list: it answers at once and no other sender,
    /// and what it has counts as told from the first moment of a process.
    pub list_pushed: bool,
    /// Longest time without a poll: then changes of the list count as told (0: no bound).
    pub poll_deadline: Nanos,
    /// A watch sends an event at least this often, also where nothing changes (0: it tells changes
    /// alone, and its silence says nothing).
    pub watch_heartbeat: Nanos,
    /// Endpoints may be sent health checks.
    pub probes: bool,
    /// The wait told with a rejection (Retry-After) reaches the client.
    pub sends_retry_after: bool,
    /// Longest Retry-After that a client heeds.
    pub max_retry_after: Nanos,
    /// After an outage a destination has this fraction of its capacity, or more.
    pub slow_start_fraction: f64,
    /// And all of it after this time.
    pub slow_start_duration: Nanos,
    /// Multiple of its present capacity that overloads a destination...
    pub overload_factor: f64,
    /// ...when kept up this long.
    pub overload_window: Nanos,
    /// Pause of an ordering key after an attempt that may still run.
    pub ordered_key_pause: Nanos,
    /// The transport closes a connection that was not used for this long (0: never).
    pub connection_idle_timeout: Nanos,
    /// How far [`Listing::rate`](super::Listing::rate) is to be trusted.
    pub listed_rates: ListedRates,
    /// What a message costs that a route in a zone takes on, by zone and in priority weight; may be
    /// empty.
    pub zone_fees: Vec<f64>,
    /// Position in a load report of the share of the limit left, if reported.
    pub report_left: Option<usize>,
    /// Position in a load report of the limit in calls a second, if reported.
    pub report_limit: Option<usize>,
}

/// Limits of each message of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimits {
    /// Attempts allowed.
    pub max_attempts: u32,
    /// Longest Retry-After that its client heeds.
    pub max_retry_after: Nanos,
}

/// Settings that may change while a dispatcher runs. Messages that it holds name classes by
/// position: those keep their places.
#[derive(Clone, Debug, Default)]
pub struct RuntimeSettings {
    /// Classes, by position.
    pub classes: Vec<Class>,
    /// Limits of each class.
    pub class_limits: Vec<ClassLimits>,
    /// Calls that may be in flight at once. Those that are beyond it end as they would have.
    pub max_in_flight_calls: u32,
    /// Messages that may be held. Those that are beyond it stay.
    pub max_held_messages: u32,
}

impl Settings {
    /// Limits of the messages of a class.
    pub fn class_limits(&self, class: u16) -> ClassLimits {
        let common = ClassLimits {
            max_attempts: self.max_attempts,
            max_retry_after: self.max_retry_after,
        };
        let own = self.class_limits.get(usize::from(class));
        own.copied().unwrap_or(common)
    }

    /// Checks that a dispatcher can work by the settings.
    ///
    /// # Errors
    /// The first setting that none can work by.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fault = |setting, problem| Err(SettingsError { setting, problem });
        if self.classes.is_empty() {
            return fault("classes", "at least one is needed");
        }
        if self.classes.iter().any(|class| class.deadline == 0) {
            return fault("classes.deadline", "must be above zero");
        }
        if self.max_in_flight_calls == 0 {
            return fault("slots", "must be above zero");
        }
        if self.max_held_messages == 0 {
            return fault("room", "must be above zero");
        }
        Ok(())
    }

    /// Takes changed settings; none that [`Settings::check`] rejects.
    pub fn change(&mut self, changed: &RuntimeSettings) {
        let RuntimeSettings {
            classes,
            class_limits,
            max_in_flight_calls,
            max_held_messages,
        } = changed.clone();
        let settings = Settings {
            classes,
            class_limits,
            max_in_flight_calls,
            max_held_messages,
            ..self.clone()
        };
        if settings.check().is_ok() {
            *self = settings;
        }
    }
}

/// Settings that no dispatcher can work by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting, as policy documents and the platform's settings name it.
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
