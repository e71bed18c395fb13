//! The life of one message, from the moment a client hands it in to its final answer.
//!
//! Owns the order of the steps, and nothing that outlives a message: the journal, the dispatcher's
//! driver, policies, quotas and endpoints have their own modules, and [`DeliveryContext`] names
//! them. The steps are in the submodules, one stage each:
//!
//! - [`receive`] and `accept`: admission, checks, the journal, the client's answer;
//! - `deliver`: one attempt after another, as the dispatcher orders, until the outcome is known;
//! - `attempt`: one attempt, with its lines in the journal;
//! - `final_answer`: the verdict is written down and sent to the client;
//! - [`held_messages`]: which messages are held, by the id that their clients know them by.
//!
//! The frontends call [`receive`]; the start of the process calls [`resume`] for what an earlier
//! process left open.

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

/// How often a process that is to end looks whether all messages are closed.
const ALL_CLOSED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Logs one step of a message's life, under the target that the message trace reads.
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

/// A client receives its answer within this time, or will not receive it any more.
const CLIENT_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The answer that a client waits for when it hands a message in.
pub trait ClientReply {
    /// The message is accepted.
    ///
    /// # Errors
    /// The client cannot have received the answer.
    fn accepted<'a>(self: Box<Self>) -> LocalBoxFuture<'a, io::Result<()>>;
    /// The message is rejected: handing it in again is harmless, best after `retry_after`.
    fn rejected<'a>(self: Box<Self>, retry_after: Duration) -> LocalBoxFuture<'a, ()>;
    /// The message failed for good.
    fn failed<'a>(self: Box<Self>) -> LocalBoxFuture<'a, ()>;
}

/// How much time a message has, as its client said it.
#[derive(Clone, Copy, Debug)]
pub struct TimeBudget {
    /// When the client's word reached this process: its time runs since then at least.
    pub received_at: Instant,
    /// The time that was left then.
    pub time_left: Duration,
}

impl TimeBudget {
    /// When it is used up.
    fn deadline(&self) -> Instant {
        self.received_at + self.time_left
    }

    /// What is left of it now.
    fn remaining(&self) -> Duration {
        self.time_left.saturating_sub(self.received_at.elapsed())
    }
}

/// Names the parts that messages are delivered with; each step takes only those that it uses.
///
/// Built once, at the start of the process. It owns no state of its own.
pub struct DeliveryContext {
    /// The policies that messages are accepted and end under.
    pub policies: Rc<PolicySet>,
    /// The tables that messages are routed by.
    pub routing_tables: Rc<RoutingTables>,
    /// Whether messages are accepted now.
    pub admission: Rc<Admission>,
    /// Names of the classes, by position.
    pub class_names: Vec<String>,
    /// The dispatcher and its clock.
    pub driver: Rc<DispatcherDriver>,
    /// What survives the process.
    pub journal: Rc<Journal>,
    /// How much of the capacity each client may use.
    pub client_quotas: Rc<ClientQuotas>,
    /// The endpoint list.
    pub directory: Rc<EndpointDirectory>,
    /// Carries attempts out.
    pub endpoint_client: Rc<dyn EndpointClient>,
    /// Those that messages come from, by [`Envelope::frontend`].
    pub frontends: BTreeMap<u8, Rc<dyn Frontend>>,
    /// The timers.
    pub wheel: Rc<TimerWheel>,
    /// The messages that are held, by the id that their clients know them by.
    pub held_messages: Rc<HeldMessages>,
}

/// Serves a message that a client has just handed in: accepts or rejects it, and delivers what was
/// accepted. Ends when nothing is owed for the message any more.
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

/// Takes up a message that an earlier process accepted, and delivers it, or sends the final answer
/// that was decided already.
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
        // When it was decided, no less time was left than now.
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

/// Holds the policy that an earlier process accepted a message under; where it is not known any
/// more, the sender's own settings.
fn hold_original_policy(policies: &Rc<PolicySet>, envelope: &Envelope, number: u64) -> PolicyHold {
    policies.hold_number(number).unwrap_or_else(|| {
        log_step!(
            warn,
            envelope.id,
            "policy {number} is not known any more; it ends in its own time by the sender's own \
             settings"
        );
        policies
            .hold_number(0)
            .expect("the sender's own settings are always known")
    })
}

/// How long ago the first attempt that may have run was sent, in nanoseconds, and to which zone.
fn first_possible_run(
    directory: &EndpointDirectory,
    record: &OpenRecord,
    class: Option<&Class>,
) -> Option<PossibleRun> {
    let run = record.first_possible_run()?;
    // Where the age is not known: longer than any repeat of it is recognized as one.
    let unknown_age = class.map_or(0, |c| c.dedup_window) + 1;
    let age = run.age.map_or(unknown_age, |age| age.as_nanos() as Nanos);
    Some(PossibleRun {
        age,
        zone: directory.zone_number(&run.zone),
    })
}

/// The message as the dispatcher sees it.
fn dispatcher_message(envelope: &Envelope, policy: &PolicyHold, time_left: Duration) -> Message {
    Message {
        class: policy.class(envelope.class),
        dest: envelope.dest,
        tenant: envelope.tenant,
        ttl: time_left.as_nanos() as Nanos,
        ..Message::default()
    }
}

/// Whether a message has no idempotency key though its class needs one.
pub fn lacks_required_key(class: Option<&Class>, envelope: &Envelope) -> bool {
    envelope.key.is_none() && class.is_some_and(|c| c.effect == Effect::IdempotentWithKey)
}

impl DeliveryContext {
    /// Waits until every message has had its end, and its client has received the final answer.
    pub async fn all_closed(&self) {
        while !self.held_messages.is_empty() {
            self.wheel.sleep(ALL_CLOSED_POLL_INTERVAL).await;
        }
    }

    /// Accepts messages under a policy from now on; false where it is not known. What is held, in
    /// flight and connected goes on.
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

    /// Accepts messages by a routing table from now on, and routes all that are held by it at
    /// their next attempt; false where it is not known.
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
            directory: &self.directory,
            driver: &self.driver,
            class_names: &self.class_names,
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
            class_names: &self.class_names,
            wheel: &self.wheel,
        }
    }
}

/// The name of a message's class; empty where the settings have lost it.
fn class_name<'a>(class_names: &'a [String], envelope: &Envelope) -> &'a str {
    class_names
        .get(usize::from(envelope.class))
        .map_or("", String::as_str)
}
