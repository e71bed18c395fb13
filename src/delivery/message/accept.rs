//! Acceptance of messages: from a client's submission to a message that is owed a final answer.
//!
//! This module defines the checks before the journal, the order of journal, dispatcher and answer
//! to the client, and the answers to rejected clients. A rejected message leaves nothing behind.
//! Once the client has received the answer that its message is accepted, `deliver` continues.
//! Called by [`receive`](super::receive).

use super::held_messages::{AcceptanceDecision, Duplicate, HeldMessages, MessageIdGuard};
use super::in_delivery::MessageInDelivery;
use super::{
    class_name, dispatcher_message, lacks_required_key, log_step, ClientReply, DeliveryContext,
};
use super::{step, TimeBudget, CLIENT_ANSWER_TIMEOUT};
use crate::admission_control::message_limits::Kept;
use crate::delivery::admission::{Admission, AdmissionClosed, Admitted};
use crate::delivery::client_quota::{Client, ClientQuotaGuard, ClientQuotas};
use crate::delivery::driver::{DispatchOrder, DispatcherDriver};
use crate::delivery::endpoint_directory::EndpointDirectory;
use crate::delivery::finished_messages::Ending;
use crate::delivery::journal::OpenRecord;
use crate::delivery::policies::{Policy, PolicyHold, PolicySet};
use crate::delivery::routing_tables::RoutingTables;
use crate::delivery::script_hook::{HookDecision, ScriptBudget};
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{duration, Envelope, FinalAnswer, LifecycleEvent, Verdict};
use crate::store::log::PutError;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Retry-After of a rejection for lack of capacity: about the duration of one attempt.
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A submitted message that is not yet in the journal.
pub(super) struct Submission {
    client: Client,
    envelope: Envelope,
    time: TimeBudget,
}

impl Submission {
    /// Creates a submission, which is not yet checked.
    pub(super) fn new(client: Client, envelope: Envelope, time: TimeBudget) -> Self {
        Submission {
            client,
            envelope,
            time,
        }
    }

    /// Limits the time left to the deadline of the message's class, whatever the client requests.
    fn limit_time_left(&mut self, policy: &Policy) {
        if let Some(class) = policy.class(self.envelope.class) {
            self.time.time_left = self.time.time_left.min(duration(class.deadline));
        }
    }
}

/// The fields of a message that are needed to log and count it.
struct Identity {
    id: String,
    class: u16,
    tenant: u16,
}

impl Identity {
    fn of(envelope: &Envelope) -> Self {
        Identity {
            id: envelope.id.clone(),
            class: envelope.class,
            tenant: envelope.tenant,
        }
    }
}

/// The policy and routing table under which a message is accepted.
struct AcceptanceTerms {
    policy: PolicyHold,
    /// Number of the routing table.
    table: u64,
}

/// A message that is in the journal and not yet submitted to the dispatcher.
struct JournaledMessage {
    record: OpenRecord,
    envelope: Rc<Envelope>,
    quota: ClientQuotaGuard,
    time: TimeBudget,
}

/// Reason why a message is rejected before it is written to the journal; the text is logged.
#[derive(Debug, thiserror::Error)]
enum Rejection {
    #[error(transparent)]
    Closed(#[from] AdmissionClosed),
    #[error("no endpoint of destination {0} was ever listed")]
    NoEndpoint(u16),
    #[error("the maximum number of messages is held")]
    NoCapacity,
    #[error("too many final answers wait to be heard")]
    AnswersWaiting,
    #[error("{reason}")]
    ClientQuota { reason: Kept, retry_after: Duration },
    /// The frontend checked for a key under the previous policy, which did not require one. The
    /// frontend's check reports this to the client when it submits the message again.
    #[error("its class has come to require an idempotency key")]
    MissingKey,
    #[error("the operator's script rejects it")]
    ScriptHook { retry_after: Duration },
    #[error("journal: {source}")]
    Journal {
        source: PutError,
        retry_after: Duration,
    },
}

impl Rejection {
    /// Returns the advised time until the client submits the message again.
    fn retry_after(&self) -> Duration {
        match self {
            Rejection::Closed(closed) => closed.retry_after(),
            Rejection::NoEndpoint(_)
            | Rejection::NoCapacity
            | Rejection::AnswersWaiting
            | Rejection::MissingKey => NO_CAPACITY_RETRY_AFTER,
            Rejection::ClientQuota { retry_after, .. }
            | Rejection::ScriptHook { retry_after }
            | Rejection::Journal { retry_after, .. } => *retry_after,
        }
    }

    /// Whether the rejection counts under the current policy. One that is due to a change of policy
    /// does not.
    fn is_counted(&self) -> bool {
        !matches!(self, Rejection::Closed(_) | Rejection::MissingKey)
    }
}

/// Accepts a message, or rejects it with an answer to its client. Returns `None` if no delivery
/// follows.
pub(super) async fn accept(
    context: &DeliveryContext,
    mut submission: Submission,
    reply: Box<dyn ClientReply>,
) -> Option<MessageInDelivery> {
    let (checks, held) = (context.acceptance_checks(), &context.held_messages);
    let identity = Identity::of(&submission.envelope);
    let duplicate = held.find_duplicate(&submission.envelope, &context.wheel);
    if let Some(duplicate) = duplicate.await {
        answer_duplicate(context, &submission.envelope, duplicate, reply).await;
        return None;
    }
    if let Err(closed) = checks.wait_for_admission(&mut submission).await {
        checks.reject(&identity, &closed.into(), reply).await;
        return None;
    }
    let terms = checks.current_terms();
    submission.limit_time_left(&terms.policy.policy);
    let Some(id_guard) = held.register_new(&submission.envelope, &context.frontends) else {
        answer_concurrent_duplicate(context, &submission.envelope, reply).await;
        return None;
    };
    let journaled = match checks
        .check(&mut submission, &terms)
        .and_then(|()| write_to_journal(context, submission, &terms))
    {
        Ok(journaled) => journaled,
        Err(rejection) => {
            checks.count_rejection(&identity, &terms, &rejection);
            checks.reject(&identity, &rejection, reply).await;
            return None;
        }
    };
    let table = terms.table;
    let message = submit_to_dispatcher(&checks, journaled, terms, id_guard);
    answer_client(&checks, &identity, message, table, reply).await
}

/// Answers a message that was submitted under the id of a held or ended one.
async fn answer_duplicate(
    context: &DeliveryContext,
    envelope: &Envelope,
    duplicate: Duplicate,
    reply: Box<dyn ClientReply>,
) {
    let id = &envelope.id;
    match duplicate {
        Duplicate::OtherMessage => {
            log_step!(debug, id, "not accepted: another message has this id");
            reply.failed().await;
        }
        Duplicate::SameMessage => {
            // The client has not received the answer that the message is accepted. The message is
            // accepted, and is delivered only once.
            log_step!(debug, id, "submitted again while held");
            reply.accepted().await.unwrap_or_default();
        }
        Duplicate::Finished(Ending::Failed) => {
            log_step!(debug, id, "submitted again after it failed");
            reply.failed().await;
        }
        Duplicate::Finished(Ending::Delivered) => {
            log_step!(debug, id, "submitted again after it was delivered");
            answer_delivered_again(context, envelope, reply).await;
        }
    }
}

/// Answers a message that has been delivered as delivered once more: it is accepted, and its final
/// answer is sent again. Its id is held meanwhile, so that further copies send none of their own.
async fn answer_delivered_again(
    context: &DeliveryContext,
    envelope: &Envelope,
    reply: Box<dyn ClientReply>,
) {
    let id_guard = context.held_messages.register(envelope, &context.frontends);
    if let Some(id_guard) = &id_guard {
        id_guard.decide(AcceptanceDecision::Accepted);
    }
    if reply.accepted().await.is_err() {
        return;
    }
    let frontend = context.frontends.get(&envelope.frontend);
    if let Some(frontend) = frontend.filter(|_| id_guard.is_some()) {
        let answer = FinalAnswer {
            verdict: Verdict::Delivered,
            crosses_end: false,
        };
        frontend.send_final_answer(envelope, answer).await;
    }
}

/// Answers a message that waited for admission while another copy of it was registered.
async fn answer_concurrent_duplicate(
    context: &DeliveryContext,
    envelope: &Envelope,
    reply: Box<dyn ClientReply>,
) {
    let held = &context.held_messages;
    match held.find_duplicate(envelope, &context.wheel).await {
        Some(duplicate) => answer_duplicate(context, envelope, duplicate, reply).await,
        None => {
            let checks = context.acceptance_checks();
            let retry_after = checks.limit_retry_after(NO_CAPACITY_RETRY_AFTER);
            reply.rejected(retry_after).await;
        }
    }
}

/// Writes a message to the journal if it may still be accepted at this moment: a process that was
/// suspended may have missed a change of policy or table.
fn write_to_journal(
    context: &DeliveryContext,
    submission: Submission,
    terms: &AcceptanceTerms,
) -> Result<JournaledMessage, Rejection> {
    let Submission {
        client,
        envelope,
        time,
    } = submission;
    context
        .acceptance_checks()
        .check_still_valid(terms.policy.policy.number, terms.table)?;
    let policy = terms.policy.policy.number;
    let record = context
        .journal
        .append_accepted(envelope, time.remaining(), policy, terms.table)
        .map_err(|source| Rejection::Journal {
            source,
            retry_after: context.journal.retry_after(),
        })?;
    let envelope = record.envelope();
    let quota = context.client_quotas.hold(client.name);
    log_step!(
        debug,
        envelope.id,
        "{}",
        step::accepted(&envelope, terms.table, time.remaining())
    );
    Ok(JournaledMessage {
        record,
        envelope,
        quota,
        time,
    })
}

/// Submits a journaled message to the dispatcher, which may order something for it at once.
fn submit_to_dispatcher(
    checks: &AcceptanceChecks<'_>,
    journaled: JournaledMessage,
    terms: AcceptanceTerms,
    id_guard: MessageIdGuard,
) -> MessageInDelivery {
    let JournaledMessage {
        record,
        envelope,
        quota,
        time,
    } = journaled;
    let message = dispatcher_message(&envelope, &terms.policy, time.remaining());
    let mut handle = checks.driver.submit(message, None);
    let first_order = handle.try_next_order();
    MessageInDelivery {
        envelope,
        record,
        handle,
        quota,
        first_order,
        deadline: time.deadline(),
        id_guard: Some(id_guard),
        policy: terms.policy,
    }
}

/// Answers the client that its message is accepted, once the message is durable. Closes the message
/// if that fails or if the dispatcher rejects it.
async fn answer_client(
    checks: &AcceptanceChecks<'_>,
    identity: &Identity,
    message: MessageInDelivery,
    table: u64,
    reply: Box<dyn ClientReply>,
) -> Option<MessageInDelivery> {
    let id = &identity.id;
    if let Some(order @ (DispatchOrder::Reject { .. } | DispatchOrder::Fail)) = message.first_order
    {
        checks.observe(identity, &message.policy, LifecycleEvent::Rejected);
        close_refused(message, order, reply).await;
        return None;
    }
    if let Err(e) = message.record.durable().await {
        log_step!(debug, id, "not accepted: {e}");
        drop(message.handle);
        let _ = message.record.close();
        reply.failed().await;
        return None;
    }
    // The state may have changed during the sync, and the client has not been answered yet.
    if let Err(closed) = checks.check_still_valid(message.policy.policy.number, table) {
        log_step!(debug, id, "not accepted: {closed}");
        drop(message.handle);
        let retry_after = checks.limit_retry_after(closed.retry_after());
        close_and_reject(message.record, retry_after, reply).await;
        return None;
    }
    // A client that does not read its answer must not prevent the message from ending.
    let answered = checks
        .wheel
        .timeout(CLIENT_ANSWER_TIMEOUT, reply.accepted());
    let answered = answered.await;
    if let Err(e) = answered.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into())) {
        // The client will submit the message again and ignores the result under this id.
        log_step!(debug, id, "client did not receive the acknowledgement: {e}");
        let _ = message.record.close();
        return None;
    }
    log_step!(debug, id, "{}", step::ACKNOWLEDGED);
    if let Some(id_guard) = &message.id_guard {
        id_guard.decide(AcceptanceDecision::Accepted);
    }
    checks.observe(identity, &message.policy, LifecycleEvent::Accepted);
    Some(message)
}

/// Closes a message that the dispatcher rejects on submission, and answers its client accordingly.
async fn close_refused(
    message: MessageInDelivery,
    order: DispatchOrder,
    reply: Box<dyn ClientReply>,
) {
    if let DispatchOrder::Reject { retry_after } = order {
        close_and_reject(message.record, duration(retry_after), reply).await;
    } else {
        let _ = message.record.close();
        reply.failed().await;
    }
}

/// Closes a message and rejects it. If its record cannot be closed, the answer is that it failed:
/// the next process may resume it, so that submitting it again is not safe.
async fn close_and_reject(record: OpenRecord, retry_after: Duration, reply: Box<dyn ClientReply>) {
    match record.close() {
        Ok(()) => reply.rejected(retry_after).await,
        Err(_) => reply.failed().await,
    }
}

/// The components that decide whether a message is accepted.
pub(super) struct AcceptanceChecks<'a> {
    pub(super) policies: &'a Rc<PolicySet>,
    pub(super) routing_tables: &'a RoutingTables,
    pub(super) admission: &'a Rc<Admission>,
    pub(super) client_quotas: &'a ClientQuotas,
    pub(super) held_messages: &'a HeldMessages,
    pub(super) directory: &'a EndpointDirectory,
    pub(super) driver: &'a Rc<DispatcherDriver>,
    pub(super) class_names: &'a [String],
    pub(super) script_budget: &'a ScriptBudget,
    pub(super) wheel: &'a Rc<TimerWheel>,
}

impl AcceptanceChecks<'_> {
    /// Waits for admission during a change of policy or table. The wait counts against the
    /// message's time.
    async fn wait_for_admission(&self, submission: &mut Submission) -> Result<(), AdmissionClosed> {
        let capacity = self.policies.current().max_held_messages as usize;
        let max_waiting = capacity.saturating_sub(self.driver.held_count());
        if self
            .admission
            .wait_for_turn(self.wheel, max_waiting)
            .await?
            == Admitted::AfterWaiting
        {
            submission.time = TimeBudget {
                time_left: submission.time.remaining(),
                received_at: Instant::now(),
            };
        }
        Ok(())
    }

    /// Returns the policy and the table under which messages are accepted now.
    fn current_terms(&self) -> AcceptanceTerms {
        AcceptanceTerms {
            policy: self.policies.hold_current(),
            table: self.routing_tables.current_number(),
        }
    }

    /// Runs all checks that precede the journal, the cheapest first. The script may add notes to
    /// the message.
    fn check(&self, submission: &mut Submission, terms: &AcceptanceTerms) -> Result<(), Rejection> {
        let (policy, envelope) = (&terms.policy.policy, &mut submission.envelope);
        if !self.directory.knows_destination(envelope.dest) {
            return Err(Rejection::NoEndpoint(envelope.dest));
        }
        if self.driver.held_count() >= policy.max_held_messages as usize {
            return Err(Rejection::NoCapacity);
        }
        if self.held_messages.is_over_limit() {
            return Err(Rejection::AnswersWaiting);
        }
        self.client_quotas
            .check(&submission.client, envelope.class)
            .map_err(|(reason, retry_after)| Rejection::ClientQuota {
                reason,
                retry_after,
            })?;
        if lacks_required_key(policy.class(envelope.class), envelope) {
            return Err(Rejection::MissingKey);
        }
        let Some(hook) = &policy.hook else {
            return Ok(());
        };
        let class = class_name(self.class_names, envelope);
        let time_left = submission.time.remaining();
        match hook.ingress(self.script_budget, envelope, class, time_left) {
            HookDecision::Reject(retry_after) => Err(Rejection::ScriptHook { retry_after }),
            HookDecision::Pass(notes) => {
                envelope.notes = notes;
                Ok(())
            }
        }
    }

    /// Checks whether a message may be accepted at this moment under this policy and table.
    fn check_still_valid(&self, policy: u64, table: u64) -> Result<(), AdmissionClosed> {
        self.admission.check()?;
        let is_current = self.policies.current().number == policy
            && self.routing_tables.current_number() == table;
        if is_current {
            Ok(())
        } else {
            // The policy or table has changed since the message arrived. Its client submits it
            // again, here or to another process.
            Err(AdmissionClosed::Paused)
        }
    }

    /// Rejects a message that is not in the journal.
    async fn reject(
        &self,
        identity: &Identity,
        rejection: &Rejection,
        reply: Box<dyn ClientReply>,
    ) {
        log_step!(debug, identity.id, "rejected, {rejection}");
        let retry_after = match rejection {
            // A wait that the operator's script advises is not limited.
            Rejection::ScriptHook { retry_after } => *retry_after,
            other => self.limit_retry_after(other.retry_after()),
        };
        reply.rejected(retry_after).await;
    }

    /// Limits a wait to the longest Retry-After that clients follow.
    fn limit_retry_after(&self, wait: Duration) -> Duration {
        wait.min(duration(
            self.policies.current().class_limits.max_retry_after,
        ))
    }

    fn count_rejection(&self, identity: &Identity, terms: &AcceptanceTerms, rejection: &Rejection) {
        if rejection.is_counted() {
            self.observe(identity, &terms.policy, LifecycleEvent::Rejected);
        }
    }

    fn observe(&self, identity: &Identity, policy: &PolicyHold, event: LifecycleEvent) {
        let policy = policy.policy.number;
        self.driver
            .notify_lifecycle(policy, identity.class, identity.tenant, event);
    }
}
