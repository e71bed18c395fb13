//! The lifecycle of one message, from its submission by a client to its final answer.
//!
//! This module defines the order of the steps and owns nothing that outlives a message: the
//! journal, the dispatcher's driver, policies, quotas and endpoints have their own modules, and
//! [`DeliveryContext`] refers to them. Each submodule implements one stage:
//!
//! - [`receive`] and `accept`: admission, checks, the journal, the answer to the client;
//! - `deliver`: one attempt after another, as the dispatcher orders, until the outcome is known;
//! - `attempt`: one attempt, with its journal entries;
//! - `final_answer`: the verdict is written to the journal and sent to the client;
//! - [`held_messages`]: the held messages, by the ids that their clients assigned.
//!
//! The frontends call [`receive`]. At its start, the process calls [`resume`] for each message that
//! an earlier process left open.

mod accept;
mod attempt;
mod deliver;
mod final_answer;
pub mod held_messages;
mod in_delivery;
pub mod step;

use crate::delivery::admission::Admission;
use crate::delivery::client_quota::{Client, ClientQuotas};
use crate::delivery::driver::DispatcherDriver;
use crate::delivery::endpoint_directory::EndpointDirectory;
use crate::delivery::journal::{Journal, OpenRecord};
use crate::delivery::policies::{PolicyHold, PolicySet};
use crate::delivery::routing_tables::RoutingTables;
use crate::delivery::script_hook::ScriptBudget;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{duration, EndpointClient, Envelope, FinalAnswer, Frontend, LocalBoxFuture};
use crate::dispatch::deadline;
use crate::{Class, Effect, Message, Nanos, PossibleRun, PriorAttempts};
use accept::AcceptanceChecks;
use attempt::AttemptExecutor;
use final_answer::FinalAnswerReporter;
use held_messages::{AcceptanceDecision, HeldMessages};
use in_delivery::MessageInDelivery;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which a process that is shutting down checks whether all messages are closed.
const ALL_CLOSED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Logs one step in a message's lifecycle, under the target that the message trace parses.
macro_rules! log_step {
    ($level:ident, $id:expr, $($text:tt)+) => {
        log::$level!(
            target: crate::delivery::message::step::LOG_TARGET,
            "{}: {}",
            $id,
            format_args!($($text)+)
        )
    };
}
use log_step;

/// Time within which a client has to receive its answer; after that it counts as not received.
const CLIENT_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The answer that a client waits for after it submits a message.
pub trait ClientReply {
    /// Answers that the message is accepted.
    ///
    /// # Errors
    /// Fails if the client cannot have received the answer.
    fn accepted<'a>(self: Box<Self>) -> LocalBoxFuture<'a, io::Result<()>>;
    /// Answers that the message is rejected, and may safely be submitted again after `retry_after`.
    fn rejected<'a>(self: Box<Self>, retry_after: Duration) -> LocalBoxFuture<'a, ()>;
    /// Answers that the message failed permanently.
    fn failed<'a>(self: Box<Self>) -> LocalBoxFuture<'a, ()>;
}

/// The time that a message has, as stated by its client.
#[derive(Clone, Copy, Debug)]
pub struct TimeBudget {
    /// Time at which the submission reached this process. The client may have started to count
    /// earlier.
    pub received_at: Instant,
    /// Time that was left at `received_at`.
    pub time_left: Duration,
}

impl TimeBudget {
    /// Returns the time at which the budget is used up.
    fn deadline(&self) -> Instant {
        self.received_at + self.time_left
    }

    /// Returns the time that is left now.
    fn remaining(&self) -> Duration {
        self.time_left.saturating_sub(self.received_at.elapsed())
    }
}

/// The components that deliver messages. Each step receives only those that it uses.
///
/// The context is built once, at the start of the process, and has no state of its own.
pub struct DeliveryContext {
    /// The policies under which messages are accepted and end.
    pub policies: Rc<PolicySet>,
    /// The tables by which messages are routed.
    pub routing_tables: Rc<RoutingTables>,
    /// The state that decides whether messages are accepted now.
    pub admission: Rc<Admission>,
    /// Names of the classes, by position.
    pub class_names: Vec<String>,
    /// The dispatcher and its clock.
    pub driver: Rc<DispatcherDriver>,
    /// The journal of accepted messages, which survives the process.
    pub journal: Rc<Journal>,
    /// The quotas of clients.
    pub client_quotas: Rc<ClientQuotas>,
    /// The endpoint list.
    pub directory: Rc<EndpointDirectory>,
    /// The client that makes attempts.
    pub endpoint_client: Rc<dyn EndpointClient>,
    /// The frontends that receive messages, by [`Envelope::frontend`].
    pub frontends: BTreeMap<u8, Rc<dyn Frontend>>,
    /// The timers.
    pub wheel: Rc<TimerWheel>,
    /// The held messages, by the ids that their clients assigned.
    pub held_messages: Rc<HeldMessages>,
    /// The budget of the operators' scripts.
    pub script_budget: ScriptBudget,
}

/// Handles a message that a client has just submitted: accepts or rejects it, and delivers it if it
/// is accepted. Returns when no answer is owed for the message any more.
pub async fn receive(
    context: Rc<DeliveryContext>,
    client: Client,
    envelope: Envelope,
    time: TimeBudget,
    reply: Box<dyn ClientReply>,
) {
    let submission = accept::Submission::new(client, envelope, time);
    if let Some(message) = accept::accept(&context, submission, reply).await {
        deliver::deliver(&context, message).await;
    }
}

/// Resumes a message that an earlier process accepted: delivers it, or sends its final answer if
/// the verdict is already in the journal.
pub async fn resume(context: Rc<DeliveryContext>, record: OpenRecord) {
    let account = record.snapshot();
    let envelope = account.envelope.clone();
    let id_guard = context
        .held_messages
        .register(&envelope, &context.frontends);
    if let Some(guard) = &id_guard {
        guard.decide(AcceptanceDecision::Accepted);
    }
    if let Some(verdict) = account.verdict {
        // At least as much time was left when the verdict was reached.
        let time_left = record.time_left().as_nanos() as Nanos;
        let answer = FinalAnswer {
            verdict,
            crosses_end: deadline::may_cross_the_end(time_left),
        };
        return context
            .final_answers()
            .send(&envelope, record, answer)
            .await;
    }
    record.attempt_ended(true);
    let policy = hold_original_policy(&context.policies, &envelope, account.policy);
    let class = policy.policy.class(envelope.class);
    let time_left = class.map_or(record.time_left(), |c| {
        record.time_left().min(duration(c.deadline))
    });
    let prior = PriorAttempts {
        attempts: account.attempts,
        may_have_run: first_possible_run(&context.directory, &record, class),
    };
    let ran = prior.may_have_run.map(|run| (run.age, run.zone));
    log_step!(
        debug,
        envelope.id,
        "{}{time_left:?} left, {} calls made, ran: {ran:?}",
        step::RESUMED,
        prior.attempts
    );
    let mut handle = context.driver.submit(
        dispatcher_message(&envelope, &policy, time_left),
        Some(prior),
    );
    let first_order = handle.try_next_order();
    let message = MessageInDelivery {
        envelope,
        record,
        policy,
        handle,
        quota: context.client_quotas.hold_restored(),
        first_order,
        deadline: Instant::now() + time_left,
        id_guard,
    };
    deliver::deliver(&context, message).await;
}

/// Holds the policy under which an earlier process accepted a message, or the sender's own settings
/// if that policy is no longer known.
fn hold_original_policy(policies: &Rc<PolicySet>, envelope: &Envelope, number: u64) -> PolicyHold {
    policies.hold_number(number).unwrap_or_else(|| {
        log_step!(
            warn,
            envelope.id,
            "policy {number} is no longer known; the sender's own settings apply, and the message \
             keeps its deadline"
        );
        policies
            .hold_number(0)
            .expect("the sender's own settings are always known")
    })
}

/// Returns the age, in nanoseconds, and the zone of the first attempt that may have run.
fn first_possible_run(
    directory: &EndpointDirectory,
    record: &OpenRecord,
    class: Option<&Class>,
) -> Option<PossibleRun> {
    let run = record.first_possible_run()?;
    // An unknown age counts as one at which endpoints no longer recognize a repeat.
    let unknown_age = class.map_or(0, |c| c.dedup_window) + 1;
    let age = run.age.map_or(unknown_age, |age| age.as_nanos() as Nanos);
    Some(PossibleRun {
        age,
        zone: directory.zone_number(&run.zone),
    })
}

/// Returns the message in the dispatcher's form.
fn dispatcher_message(envelope: &Envelope, policy: &PolicyHold, time_left: Duration) -> Message {
    Message {
        class: policy.class(envelope.class),
        dest: envelope.dest,
        tenant: envelope.tenant,
        ttl: time_left.as_nanos() as Nanos,
        ..Message::default()
    }
}

/// Whether a message lacks the idempotency key that its class requires.
pub fn lacks_required_key(class: Option<&Class>, envelope: &Envelope) -> bool {
    envelope.key.is_none() && class.is_some_and(|c| c.effect == Effect::IdempotentWithKey)
}

impl DeliveryContext {
    /// Waits until every held message has ended and no answer is owed any more.
    pub async fn all_closed(&self) {
        while !self.held_messages.is_empty() {
            self.wheel.sleep(ALL_CLOSED_POLL_INTERVAL).await;
        }
    }

    /// Makes a policy the one under which messages are accepted. Returns false if it is not known.
    /// Held messages, attempts in flight and connections are not affected.
    pub fn activate_policy(&self, number: u64) -> bool {
        let is_known = self.policies.activate(number);
        if is_known {
            self.driver
                .apply_settings(self.policies.merged_runtime_settings());
            self.client_quotas
                .set_limits(self.policies.current().message_limits.clone());
        }
        is_known
    }

    /// Makes a routing table current for new messages, and for the next attempts of held ones.
    /// Returns false if it is not known.
    pub fn activate_routing_table(&self, number: u64) -> bool {
        let routes = self
            .routing_tables
            .activate(number, |zone| self.directory.zone_number(zone));
        let Some(routes) = routes else {
            return false;
        };
        self.driver.apply_routes(routes);
        true
    }

    fn acceptance_checks(&self) -> AcceptanceChecks<'_> {
        AcceptanceChecks {
            policies: &self.policies,
            routing_tables: &self.routing_tables,
            admission: &self.admission,
            client_quotas: &self.client_quotas,
            held_messages: &self.held_messages,
            directory: &self.directory,
            driver: &self.driver,
            class_names: &self.class_names,
            script_budget: &self.script_budget,
            wheel: &self.wheel,
        }
    }

    fn attempt_executor(&self) -> AttemptExecutor<'_> {
        AttemptExecutor {
            directory: &self.directory,
            driver: &self.driver,
            routing_tables: &self.routing_tables,
            endpoint_client: &*self.endpoint_client,
            wheel: &self.wheel,
        }
    }

    fn final_answers(&self) -> FinalAnswerReporter<'_> {
        FinalAnswerReporter {
            frontends: &self.frontends,
            driver: &self.driver,
            held_messages: &self.held_messages,
            class_names: &self.class_names,
            script_budget: &self.script_budget,
            wheel: &self.wheel,
        }
    }
}

/// Returns the name of a message's class, or an empty text if the settings no longer
/// have the class.
fn class_name<'a>(class_names: &'a [String], envelope: &Envelope) -> &'a str {
    class_names
        .get(usize::from(envelope.class))
        .map_or("", String::as_str)
}
