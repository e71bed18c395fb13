//! Settings of a dispatcher, and those that may change while it runs.
//!
//! No decision is made here except for the weight of a message by its age
//! ([`Class::weight_at_age`]) and the validation of settings.

use super::Nanos;
use std::fmt;

/// Whether a message of a class may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Harmless to repeat.
    Idempotent,
    /// Has an idempotency key: repeats are discarded for [`Class::dedup_window`] after the first
    /// send that may have run.
    IdempotentWithKey,
    /// Must never take effect twice.
    NotIdempotent,
}

/// Endpoints of a destination that discard repeats of an [`Effect::IdempotentWithKey`] message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every endpoint of the destination.
    All,
    /// Only the endpoints in the zone of the endpoint that may have run it.
    Zone,
}

/// Decrease of a message's weight once its latency objective is missed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Decay {
    /// Linear decrease to the late weight at the deadline.
    #[default]
    Linear,
    /// Halved with each further latency objective, but not below the late weight.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective: a message that is delivered within this time has its full weight.
    pub latency_objective: Nanos,
    /// Time after which a message is ended undelivered.
    pub deadline: Nanos,
    /// Effect of a repeat.
    pub effect: Effect,
    /// Endpoints at which repeats are discarded.
    pub dedup_scope: DedupScope,
    /// Time for which repeats are discarded.
    pub dedup_window: Nanos,
    /// Weight of a message that is delivered in time, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the weight that is left at the deadline.
    pub late_weight: f64,
    /// Whether messages with one ordering key are sent one at a time, in the order accepted.
    pub ordered_by_key: bool,
}

impl Class {
    /// Returns the weight of a message that is delivered at this age, before its deadline.
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
    /// Its part of all messages, 0 to 1.
    pub share: f64,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    /// Whether endpoints are separate routes with a limit and Retry-After of their own; otherwise
    /// all endpoints of a destination share them.
    pub separate_routes: bool,
    /// Messages that one call may carry.
    pub max_batch: u32,
}

/// Reliability of the rates in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRates {
    /// No rates are listed.
    #[default]
    Absent,
    /// The rates are exact.
    Exact,
    /// The rates are up to half too high or too low.
    Approximate,
}

/// State known from the previous process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RestartState {
    /// Whether the previous process ended by a graceful shutdown a short time ago, so that this
    /// start is part of a planned restart.
    pub planned: bool,
    /// Cost of a poll of the list to the directory, in seconds.
    pub poll_cost_seconds: Option<f64>,
    /// Time that the list of the previous process may still be trusted; none where there was no
    /// previous process.
    pub remaining_freshness: Option<Nanos>,
}

/// Settings with which a dispatcher starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Classes of message, by position.
    pub classes: Vec<Class>,
    /// Tenants, by position; may be empty.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination, by position; may be empty.
    pub kinds: Vec<DestinationKind>,
    /// Number of senders that send to the same destinations, this one included.
    pub senders: u32,
    /// State known from the previous process.
    pub restart_state: RestartState,
    /// Largest number of calls in flight.
    pub max_in_flight_calls: u32,
    /// Largest number of pending messages, including those in flight.
    pub max_held_messages: u32,
    /// Largest number of attempts for one message.
    pub max_attempts: u32,
    /// Limits of the messages of each class, by position; empty where all classes have the same
    /// limits.
    pub class_limits: Vec<ClassLimits>,
    /// Decrease of a message's weight over time.
    pub decay: Decay,
    /// Factor on the weight of messages over a tenant's share.
    pub over_share_weight: f64,
    /// Whether the endpoint list must be polled.
    pub poll_list: bool,
    /// Whether an agent on the sender's own machine has the list. The agent answers at once and
    /// serves no other sender, and a change must be known as soon as the agent has it, from the
    /// start of the process.
    pub list_pushed: bool,
    /// Longest time without a poll; after it the list is stale (0: unlimited).
    pub poll_deadline: Nanos,
    /// Longest interval between events of a watch, also without changes (0: a watch sends changes
    /// only, and its silence says nothing).
    pub watch_heartbeat: Nanos,
    /// Whether endpoints may be sent health checks.
    pub probes: bool,
    /// Whether the Retry-After of a rejection reaches the client.
    pub sends_retry_after: bool,
    /// Longest Retry-After that a client obeys.
    pub max_retry_after: Nanos,
    /// Least fraction of its capacity that a destination has right after an outage.
    pub slow_start_fraction: f64,
    /// Time after which it has its full capacity.
    pub slow_start_duration: Nanos,
    /// Multiple of its present capacity that overloads a destination...
    pub overload_factor: f64,
    /// ...if it lasts for this time.
    pub overload_window: Nanos,
    /// Pause of an ordering key after an attempt that may still run.
    pub ordered_key_pause: Nanos,
    /// Time after which the transport closes an unused connection (0: never).
    pub connection_idle_timeout: Nanos,
    /// Reliability of [`Listing::rate`](super::Listing::rate).
    pub listed_rates: ListedRates,
    /// Cost of a message on a route in a zone, by zone and in priority weight; may be empty.
    pub zone_fees: Vec<f64>,
    /// Position in a load report of the unused share of the limit, if reported.
    pub report_left: Option<usize>,
    /// Position in a load report of the limit in calls per second, if reported.
    pub report_limit: Option<usize>,
}

/// Limits of each message of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimits {
    /// Largest number of attempts.
    pub max_attempts: u32,
    /// Longest Retry-After that its client obeys.
    pub max_retry_after: Nanos,
}

/// Settings that may change while a dispatcher runs. Pending messages refer to classes by position,
/// so the positions of classes stay.
#[derive(Clone, Debug, Default)]
pub struct RuntimeSettings {
    /// Classes, by position.
    pub classes: Vec<Class>,
    /// Limits of each class.
    pub class_limits: Vec<ClassLimits>,
    /// Largest number of calls in flight. Calls beyond a lowered limit end as they would have.
    pub max_in_flight_calls: u32,
    /// Largest number of pending messages. Messages beyond a lowered limit stay.
    pub max_held_messages: u32,
}

impl Settings {
    /// Returns the limits of the messages of a class.
    pub fn class_limits(&self, class: u16) -> ClassLimits {
        let common = ClassLimits {
            max_attempts: self.max_attempts,
            max_retry_after: self.max_retry_after,
        };
        let own = self.class_limits.get(usize::from(class));
        own.copied().unwrap_or(common)
    }

    /// Checks that a dispatcher can work with the settings.
    ///
    /// # Errors
    /// Returns the first invalid setting.
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

    /// Applies changed settings, unless [`Settings::check`] rejects the result.
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

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting, by its name in policy documents and the platform's settings.
    pub setting: &'static str,
    /// The problem.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.problem)
    }
}

impl std::error::Error for SettingsError {}
