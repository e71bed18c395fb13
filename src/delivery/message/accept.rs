//! Acceptance: from a message that a client hands in to one that is owed its end.
//!
//! Owns the checks before the journal, the order of journal, dispatcher and client's answer, and
//! what a client is told that is rejected. A rejected message leaves nothing behind; once the
//! client has received that its message is accepted, `deliver` goes on. Called by
//! [`receive`](super::receive).

use super::held_messages::{AcceptanceDecision, Duplicate, MessageIdGuard};
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
use crate::delivery::journal::OpenRecord;
use crate::delivery::policies::{Policy, PolicyHold, PolicySet};
use crate::delivery::routing_tables::RoutingTables;
use crate::delivery::script_hook::HookDecision;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{duration, Envelope, LifecycleEvent};
use crate::store::log::PutError;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a client that is rejected for want of capacity is told to wait: about what one attempt
/// takes.
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A message that was handed in and is not yet written down.
pub(super) struct Submission {
    client: Client,
    envelope: Envelope,
    time: TimeBudget,
}

impl Submission {
    /// A message that is not yet checked.
    pub(super) fn new(client: Client, envelope: Envelope, time: TimeBudget) -> Self {
        Submission {
            client,
            envelope,
            time,
        }
    }

    /// No message is held for longer than its class may be, whatever its client says.
    fn limit_time_left(&mut self, policy: &Policy) {
        if let Some(class) = policy.class(self.envelope.class) {
            self.time.time_left = self.time.time_left.min(duration(class.deadline));
        }
    }
}

/// What a message is logged and counted by.
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

/// What a message is accepted under.
struct AcceptanceTerms {
    policy: PolicyHold,
    /// Number of the routing table.
    table: u64,
}

/// A message that the journal has, and that the dispatcher does not know yet.
struct JournaledMessage {
    record: OpenRecord,
    envelope: Rc<Envelope>,
    quota: ClientQuotaGuard,
    time: TimeBudget,
}

/// Why a message is rejected before it is written down; the text is what the log says.
#[derive(Debug, thiserror::Error)]
enum Rejection {
    #[error(transparent)]
    Closed(#[from] AdmissionClosed),
    #[error("nobody serves destination {0}")]
    NoEndpoint(u16),
    #[error("no room")]
    NoCapacity,
    #[error("{reason}")]
    ClientQuota { reason: Kept, retry_after: Duration },
    /// Its frontend asked for a key by the policy of before; its client is told so when it hands
    /// the message in again.
    #[error("without a key since its class needs one")]
    MissingKey,
    #[error("by the hook")]
    ScriptHook { retry_after: Duration },
    #[error("journal: {source}")]
    Journal {
        source: PutError,
        retry_after: Duration,
    },
}

impl Rejection {
    /// When the client is advised to hand the message in again.
    fn retry_after(&self) -> Duration {
        match self {
            Rejection::Closed(closed) => closed.retry_after(),
            Rejection::NoEndpoint(_) | Rejection::NoCapacity | Rejection::MissingKey => {
                NO_CAPACITY_RETRY_AFTER
            }
            Rejection::ClientQuota { retry_after, .. }
            | Rejection::ScriptHook { retry_after }
            | Rejection::Journal { retry_after, .. } => *retry_after,
        }
    }

    /// Whether it counts under the current policy. It does not where the message came in between
    /// two policies.
    fn is_counted(&self) -> bool {
        !matches!(self, Rejection::Closed(_) | Rejection::MissingKey)
    }
}

/// Accepts a message, or answers its client that it is not. Nothing where no delivery follows.
pub(super) async fn accept(
    context: &DeliveryContext,
    mut submission: Submission,
    reply: Box<dyn ClientReply>,
) -> Option<MessageInDelivery> {
    let (checks, held) = (context.acceptance_checks(), &context.held_messages);
    let identity = Identity::of(&submission.envelope);
    let duplicate = held.find_duplicate(&submission.envelope, &context.wheel);
    if let Some(duplicate) = duplicate.await {
        answer_duplicate(&identity.id, duplicate, reply).await;
        return None;
    }
    if let Err(closed) = checks.wait_for_admission(&mut submission).await {
        checks.reject(&identity, &closed.into(), reply).await;
        return None;
    }
    let terms = checks.current_terms();
    submission.limit_time_left(&terms.policy.policy);
    let Some(id_guard) = held.register(&submission.envelope, &context.frontends) else {
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

/// Answers a message that was handed in under the id of one that is held.
async fn answer_duplicate(id: &str, duplicate: Duplicate, reply: Box<dyn ClientReply>) {
    match duplicate {
        Duplicate::OtherMessage => {
            log_step!(debug, id, "not taken on under the id of another message");
            reply.failed().await;
        }
        Duplicate::SameMessage => {
            // Its client has not received that it is accepted: it is, and still once.
            log_step!(debug, id, "handed in once more while held");
            reply.accepted().await.unwrap_or_default();
        }
    }
}

/// Answers a message of which another copy was registered while this one waited for admission.
async fn answer_concurrent_duplicate(
    context: &DeliveryContext,
    envelope: &Envelope,
    reply: Box<dyn ClientReply>,
) {
    let held = &context.held_messages;
    match held.find_duplicate(envelope, &context.wheel).await {
        Some(duplicate) => answer_duplicate(&envelope.id, duplicate, reply).await,
        None => {
            let checks = context.acceptance_checks();
            let retry_after = checks.limit_retry_after(NO_CAPACITY_RETRY_AFTER);
            reply.rejected(retry_after).await;
        }
    }
}

/// Writes a message down, if it may still be accepted in this moment: a process that stood still
/// may have missed a change of policy or table.
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

/// Hands a message that is written down to the dispatcher, which may have an order for it at once.
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

/// Tells the client that its message is accepted, once it is sure to outlive this process; or
/// closes the message, where that fails or the dispatcher refuses it.
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
        log_step!(debug, id, "not taken on: {e}");
        drop(message.handle);
        let _ = message.record.close();
        reply.failed().await;
        return None;
    }
    // And once more: its client has not received an answer yet.
    if let Err(closed) = checks.check_still_valid(message.policy.policy.number, table) {
        log_step!(debug, id, "not taken on: {closed}");
        drop(message.handle);
        let retry_after = checks.limit_retry_after(closed.retry_after());
        close_and_reject(message.record, retry_after, reply).await;
        return None;
    }
    // A client that does not read its answer must not keep the message from its end.
    let answered = checks
        .wheel
        .timeout(CLIENT_ANSWER_TIMEOUT, reply.accepted());
    let answered = answered.await;
    if let Err(e) = answered.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into())) {
        // It will hand the message in again: what is done under this id counts for nothing.
        log_step!(debug, id, "not heard that it is taken on: {e}");
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

/// Closes a message that the dispatcher refuses at once, and answers its client accordingly.
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

/// Closes a message and rejects it. Handing it in again is harmless only if the next process does
/// not take this one up: where it cannot be closed, it failed.
async fn close_and_reject(record: OpenRecord, retry_after: Duration, reply: Box<dyn ClientReply>) {
    match record.close() {
        Ok(()) => reply.rejected(retry_after).await,
        Err(_) => reply.failed().await,
    }
}

/// The parts that decide whether a message is accepted.
pub(super) struct AcceptanceChecks<'a> {
    pub(super) policies: &'a Rc<PolicySet>,
    pub(super) routing_tables: &'a RoutingTables,
    pub(super) admission: &'a Rc<Admission>,
    pub(super) client_quotas: &'a ClientQuotas,
    pub(super) directory: &'a EndpointDirectory,
    pub(super) driver: &'a Rc<DispatcherDriver>,
    pub(super) class_names: &'a [String],
    pub(super) wheel: &'a Rc<TimerWheel>,
}

impl AcceptanceChecks<'_> {
    /// Waits while nothing is accepted for a moment; the time that a message waits is its own.
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

    /// The policy and the table that messages are accepted under now.
    fn current_terms(&self) -> AcceptanceTerms {
        AcceptanceTerms {
            policy: self.policies.hold_current(),
            table: self.routing_tables.current_number(),
        }
    }

    /// All that is checked before a message is written down, cheapest first. The script may leave
    /// notes on the message.
    fn check(&self, submission: &mut Submission, terms: &AcceptanceTerms) -> Result<(), Rejection> {
        let (policy, envelope) = (&terms.policy.policy, &mut submission.envelope);
        if !self.directory.knows_destination(envelope.dest) {
            return Err(Rejection::NoEndpoint(envelope.dest));
        }
        if self.driver.held_count() >= policy.max_held_messages as usize {
            return Err(Rejection::NoCapacity);
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
        match hook.ingress(envelope, class, submission.time.remaining()) {
            HookDecision::Reject(retry_after) => Err(Rejection::ScriptHook { retry_after }),
            HookDecision::Pass(notes) => {
                envelope.notes = notes;
                Ok(())
            }
        }
    }

    /// Whether a message may be accepted in this moment under this policy and table.
    fn check_still_valid(&self, policy: u64, table: u64) -> Result<(), AdmissionClosed> {
        self.admission.check()?;
        let is_current = self.policies.current().number == policy
            && self.routing_tables.current_number() == table;
        if is_current {
            Ok(())
        } else {
            // Another one counts since this message came in: it is for another process, or for its
            // client's next attempt.
            Err(AdmissionClosed::Paused)
        }
    }

    /// Rejects a message that is not written down.
    async fn reject(
        &self,
        identity: &Identity,
        rejection: &Rejection,
        reply: Box<dyn ClientReply>,
    ) {
        log_step!(debug, identity.id, "rejected, {rejection}");
        let retry_after = match rejection {
            // An operator's script says what it means.
            Rejection::ScriptHook { retry_after } => *retry_after,
            other => self.limit_retry_after(other.retry_after()),
        };
        reply.rejected(retry_after).await;
    }

    /// A wait, as far as clients heed one.
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
