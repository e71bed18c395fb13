//! The life of one message, top to bottom: taken on, written down, brought before the module,
//! called, reported, answered, closed.

use crate::delivery::admission::{Admission, AdmissionClosed};
use crate::delivery::client_quota::{Client, ClientQuotaGuard, ClientQuotas};
use crate::delivery::driver::{DispatchOrder, DispatcherDriver, MessageHandle};
use crate::delivery::endpoint_directory::EndpointDirectory;
use crate::delivery::journal::{Journal, OpenRecord, RecordedRun, WRITE_RETRY_DELAY};
use crate::delivery::policies::{Policy, PolicyHold, PolicySet};
use crate::delivery::routing_tables::RoutingTables;
use crate::delivery::script_hook::HookDecision;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{
    duration, AttemptReport, AttemptRequest, EndpointClient, Envelope, Frontend, LifecycleEvent,
    LocalBoxFuture, Verdict,
};
use crate::message_trace::step;
use crate::{
    Class, Condition, Effect, EndpointAddress, Message, Nanos, Outcome, PossibleRun, PriorAttempts,
};
use event_listener::Event as Bell;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a client turned away for want of room is told: about what one call takes.
const NO_ROOM_WAIT: Duration = Duration::from_millis(500);

/// A client hears within this time that its message is taken on, or will not hear it any more.
const CLIENT_PATIENCE: Duration = Duration::from_secs(1);
/// How often it is looked whether all messages are over, when the process is to end.
const EMPTIED_LOOK: Duration = Duration::from_millis(20);

/// The answer that a client waits for when it hands a message in.
pub trait ClientReply {
    /// Taken on. Fails if the client cannot have heard it.
    fn accepted<'a>(self: Box<Self>) -> LocalBoxFuture<'a, io::Result<()>>;
    /// Rejected: handing it in again is harmless, best after the wait.
    fn rejected<'a>(self: Box<Self>, wait: Duration) -> LocalBoxFuture<'a, ()>;
    /// Failed for good.
    fn failed<'a>(self: Box<Self>) -> LocalBoxFuture<'a, ()>;
}

/// What invocations work with.
pub struct DeliveryContext {
    /// What messages are taken on and end under.
    pub policies: Rc<PolicySet>,
    /// What messages are routed by.
    pub routing_tables: Rc<RoutingTables>,
    /// Whether they are taken on now.
    pub admission: Rc<Admission>,
    /// Names of the classes.
    pub class_names: Vec<String>,
    /// The module's desk.
    pub driver: Rc<DispatcherDriver>,
    /// The journal.
    pub journal: Rc<Journal>,
    /// Whose messages are held.
    pub client_quotas: Rc<ClientQuotas>,
    /// The list of providers.
    pub directory: Rc<EndpointDirectory>,
    /// Makes the calls.
    pub endpoint_client: Rc<dyn EndpointClient>,
    /// Those that messages come from, by [`Envelope::front`].
    pub frontends: BTreeMap<u8, Rc<dyn Frontend>>,
    /// The timers.
    pub wheel: Rc<TimerWheel>,
    /// Front and id of what is held.
    pub held_messages: RefCell<HashMap<(u8, String), Known>>,
}

/// What is known of a message under its name.
#[derive(Clone, Debug)]
pub struct Known {
    /// What has to be the same for it to be the same message.
    print: u32,
    decided: Rc<Decided>,
}

/// Whether a message is taken on and its client was told so, or it was turned away; before that it
/// may still be either.
#[derive(Debug, Default)]
struct Decided {
    taken_on: Cell<Option<bool>>,
    bell: Bell,
}

impl Decided {
    /// What was decided first stands.
    fn is(&self, taken_on: bool) {
        if self.taken_on.get().is_none() {
            self.taken_on.set(Some(taken_on));
            self.bell.notify(usize::MAX);
        }
    }
}

/// A held message's name; dropped, it may be handed in again.
struct Named {
    context: Rc<DeliveryContext>,
    name: (u8, String),
    decided: Rc<Decided>,
    /// What its front holds for it.
    _owed: Option<Box<dyn Any>>,
}

impl Named {
    /// Nothing, where a message of this name is held already.
    fn new(context: &Rc<DeliveryContext>, envelope: &Envelope) -> Option<Self> {
        let name = (envelope.frontend, envelope.id.clone());
        if context.held_messages.borrow().contains_key(&name) {
            return None;
        }
        let decided = Rc::<Decided>::default();
        let known = Known {
            print: print(envelope),
            decided: decided.clone(),
        };
        context
            .held_messages
            .borrow_mut()
            .insert(name.clone(), known);
        let owed = context
            .frontends
            .get(&envelope.frontend)
            .and_then(|f| f.pending_answer_guard(envelope));
        Some(Named {
            context: context.clone(),
            name,
            decided,
            _owed: owed,
        })
    }
}

/// Tells messages of one name apart.
fn print(envelope: &Envelope) -> u32 {
    let mut print = crc32fast::Hasher::new();
    print.update(
        &[envelope.class, envelope.dest, envelope.tenant]
            .map(u16::to_be_bytes)
            .concat(),
    );
    print.update(envelope.key.as_deref().unwrap_or("").as_bytes());
    print.finalize()
}

impl Drop for Named {
    fn drop(&mut self) {
        self.context.held_messages.borrow_mut().remove(&self.name);
        self.decided.is(false);
    }
}

/// Serves a message that was just handed in.
pub async fn receive(
    context: Rc<DeliveryContext>,
    client: Client,
    mut envelope: Envelope,
    left: Duration,
    reply: Box<dyn ClientReply>,
) {
    let (came, terms) = (Instant::now(), &context.policies);
    if let Some(same) = context.held_already(&envelope).await {
        return twice(&envelope, same, reply).await;
    }
    let most =
        (terms.current().max_held_messages as usize).saturating_sub(context.driver.held_count());
    let (started, left) = match context.admission.wait_for_turn(&context.wheel, most).await {
        Ok(false) => (came, left),
        Ok(true) => (Instant::now(), left.saturating_sub(came.elapsed())),
        Err(shut) => {
            log::debug!("{}: rejected, {shut}", envelope.id);
            return reply.rejected(context.patience(shut.retry_after())).await;
        }
    };
    let held = terms.hold_current();
    let (policy, table) = (held.policy.clone(), context.routing_tables.current_number());
    let tenant = envelope.tenant;
    let turned_away = |class| {
        context
            .driver
            .notify_lifecycle(policy.number, class, tenant, LifecycleEvent::Rejected)
    };
    // No message is held for longer than its class may be, whatever its client says.
    let left = policy
        .class(envelope.class)
        .map_or(left, |c| left.min(duration(c.deadline)));
    let Some(named) = Named::new(&context, &envelope) else {
        // Another copy of it came in while this one waited.
        return match context.held_already(&envelope).await {
            Some(same) => twice(&envelope, same, reply).await,
            None => reply.rejected(context.patience(NO_ROOM_WAIT)).await,
        };
    };
    if !context.directory.knows_destination(envelope.dest) {
        log::debug!(
            "{}: rejected, nobody serves destination {}",
            envelope.id,
            envelope.dest
        );
        turned_away(envelope.class);
        return reply.rejected(context.patience(NO_ROOM_WAIT)).await;
    }
    if context.driver.held_count() >= policy.max_held_messages as usize {
        log::debug!("{}: rejected, no room", envelope.id);
        turned_away(envelope.class);
        return reply.rejected(context.patience(NO_ROOM_WAIT)).await;
    }
    if let Err((why, wait)) = context.client_quotas.check(&client, envelope.class) {
        log::debug!("{}: rejected, {why}", envelope.id);
        turned_away(envelope.class);
        return reply.rejected(context.patience(wait)).await;
    }
    if lacks_required_key(policy.class(envelope.class), &envelope) {
        // Its front asked for the key by the terms of before; it is told so when it comes again.
        log::debug!(
            "{}: rejected, without a key since its class needs one",
            envelope.id
        );
        return reply.rejected(context.patience(NO_ROOM_WAIT)).await;
    }
    match policy
        .hook
        .as_ref()
        .map(|h| h.ingress(&envelope, context.class(&envelope), left))
    {
        Some(HookDecision::Reject(wait)) => {
            log::debug!("{}: rejected by the hook", envelope.id);
            turned_away(envelope.class);
            return reply.rejected(wait).await;
        }
        Some(HookDecision::Pass(notes)) => envelope.notes = notes,
        None => {}
    }
    let (id, class) = (envelope.id.clone(), envelope.class);
    // Right before it is written down: a process that stood still may have missed a change of
    // policy or table.
    if let Err(shut) = context.may_take_on(&policy, table) {
        log::debug!("{id}: rejected, {shut}");
        return reply.rejected(context.patience(shut.retry_after())).await;
    }
    let record = match context
        .journal
        .append_accepted(envelope, left, policy.number, table)
    {
        Ok(record) => record,
        Err(e) => {
            log::debug!("{id}: rejected, journal: {e}");
            turned_away(class);
            return reply
                .rejected(context.patience(context.journal.retry_after()))
                .await;
        }
    };
    let (envelope, guest) = (record.envelope(), context.client_quotas.hold(client.name));
    log::debug!("{id}: {}", step::accepted(&envelope, table, left));
    let mut ticket = context.driver.submit(message(&envelope, &held, left), None);
    let first = ticket.try_next_order();
    match first {
        Some(DispatchOrder::Reject { retry_after }) => {
            turned_away(class);
            // Handing it in again is harmless only if the next process does not take this one up.
            return match record.close() {
                Ok(()) => reply.rejected(duration(retry_after)).await,
                Err(_) => reply.failed().await,
            };
        }
        Some(DispatchOrder::Fail) => {
            turned_away(class);
            let _ = record.close();
            return reply.failed().await;
        }
        Some(DispatchOrder::Attempt { .. }) | None => {}
    }
    if let Err(e) = record.durable().await {
        log::debug!("{id}: not taken on: {e}");
        drop(ticket);
        let _ = record.close();
        return reply.failed().await;
    }
    // And once more: nobody has heard of it yet.
    if let Err(shut) = context.may_take_on(&policy, table) {
        log::debug!("{id}: not taken on: {shut}");
        drop(ticket);
        return match record.close() {
            Ok(()) => reply.rejected(context.patience(shut.retry_after())).await,
            Err(_) => reply.failed().await,
        };
    }
    // A client that does not read its answer must not keep the message from its end.
    let told = context
        .wheel
        .timeout(CLIENT_PATIENCE, reply.accepted())
        .await;
    if let Err(e) = told.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into())) {
        // It will hand the message in again: what is done under this id counts for nothing.
        log::debug!("{}: not heard that it is taken on: {e}", envelope.id);
        let _ = record.close();
        return;
    }
    log::debug!("{id}: {}", step::ACKNOWLEDGED);
    named.decided.is(true);
    context
        .driver
        .notify_lifecycle(policy.number, class, tenant, LifecycleEvent::Accepted);
    deliver(
        &context,
        envelope,
        record,
        &held,
        (ticket, guest),
        first,
        started + left,
    )
    .await;
}

/// Answers one that is handed in under the name of a message that is held, and is the same or not.
async fn twice(envelope: &Envelope, same: bool, reply: Box<dyn ClientReply>) {
    if !same {
        log::debug!(
            "{}: not taken on under the id of another message",
            envelope.id
        );
        return reply.failed().await;
    }
    // Its client has not heard that it was taken on: it is, and still once.
    log::debug!("{}: handed in once more while held", envelope.id);
    reply.accepted().await.unwrap_or_default();
}

/// Takes up a message that an earlier process took on.
pub async fn resume(context: Rc<DeliveryContext>, record: OpenRecord) {
    let account = record.snapshot();
    let envelope = account.envelope.clone();
    let named = Named::new(&context, &envelope);
    named.iter().for_each(|n| n.decided.is(true));
    if let Some(verdict) = account.verdict {
        return answer(&context, &envelope, record, verdict).await;
    }
    record.attempt_ended(true);
    let held = context.policies.hold_number(account.policy).unwrap_or_else(|| {
        let (id, number) = (&envelope.id, account.policy);
        log::warn!("{id}: policy {number} is not known any more; it ends in its own time by the sender's own settings");
        context.policies.hold_number(0).expect("the sender's own settings are always known")
    });
    let class = held.policy.class(envelope.class);
    let left = class.map_or(record.time_left(), |c| {
        record.time_left().min(duration(c.deadline))
    });
    // How long ago a first call went; where that is not known, longer than any repeat of it is
    // dropped.
    let unknown = class.map_or(0, |c| c.dedup_window) + 1;
    let ago = |age: Option<Duration>| age.map_or(unknown, |age| age.as_nanos() as Nanos);
    let ran = record
        .first_possible_run()
        .map(|run| (ago(run.age), context.directory.zone_number(&run.zone)));
    log::debug!(
        "{}: {}{left:?} left, {} calls made, ran: {ran:?}",
        envelope.id,
        step::RESUMED,
        account.attempts
    );
    let prior = PriorAttempts {
        attempts: account.attempts,
        may_have_run: ran.map(|(age, zone)| PossibleRun { age, zone }),
    };
    let mut ticket = context
        .driver
        .submit(message(&envelope, &held, left), Some(prior));
    let first = ticket.try_next_order();
    let guest = context.client_quotas.hold_restored();
    deliver(
        &context,
        envelope,
        record,
        &held,
        (ticket, guest),
        first,
        Instant::now() + left,
    )
    .await;
}

/// Calls as the module orders until the message is over, then gives the final answer.
async fn deliver(
    context: &DeliveryContext,
    envelope: Rc<Envelope>,
    record: OpenRecord,
    held: &PolicyHold,
    (mut ticket, guest): (MessageHandle, ClientQuotaGuard),
    mut first: Option<DispatchOrder>,
    deadline: Instant,
) {
    let verdict = loop {
        let order = match first.take() {
            Some(order) => order,
            None => ticket.next_order().await,
        };
        match order {
            DispatchOrder::Attempt { endpoint, timeout } => {
                let report = call(
                    context,
                    &envelope,
                    &record,
                    held,
                    endpoint,
                    duration(timeout),
                    deadline,
                )
                .await;
                let over = report.message_closed;
                let delivered = report.outcome == Outcome::Delivered;
                ticket.report_attempt(report);
                if delivered {
                    guest.mark_delivered();
                    break Verdict::Delivered;
                }
                if over {
                    // Withdrawn or out of time, as the other side knows: nothing is owed.
                    log::debug!(
                        "{}: {}{} over elsewhere",
                        envelope.id,
                        step::DECIDED,
                        envelope.dest
                    );
                    let _ = record.close();
                    return;
                }
            }
            DispatchOrder::Reject { retry_after } => {
                break Verdict::Deferred {
                    retry_after_ms: duration(retry_after).as_millis() as u64,
                }
            }
            DispatchOrder::Fail => break Verdict::Undeliverable,
        }
    };
    drop((ticket, guest));
    let life = end(held, &envelope, verdict, deadline);
    context
        .driver
        .notify_lifecycle(held.policy.number, envelope.class, envelope.tenant, life);
    let left = deadline.saturating_duration_since(Instant::now());
    log::debug!(
        "{}: {}",
        envelope.id,
        step::decided(&envelope, record.snapshot().table, verdict, left)
    );
    context.write_down(&record, verdict, deadline).await;
    if let Some(hook) = &held.policy.hook {
        hook.final_answer(&envelope, context.class(&envelope), verdict);
    }
    // An answer may wait long for its client; the body goes now.
    drop(envelope);
    let envelope = record.envelope();
    answer(context, &envelope, record, verdict).await;
}

/// One invoker call, with its lines in the journal.
async fn call(
    context: &DeliveryContext,
    envelope: &Envelope,
    record: &OpenRecord,
    held: &PolicyHold,
    endpoint: EndpointAddress,
    timeout: Duration,
    deadline: Instant,
) -> AttemptReport {
    let Some(provider) = context.directory.endpoint(endpoint) else {
        return Outcome::NotSent.into();
    };
    let body = match record.load_envelope().await {
        Ok(whole) => whole,
        Err(e) => {
            log::error!("{}: its body cannot be read: {e}", envelope.id);
            return AttemptReport {
                outcome: Outcome::NotSent,
                message_closed: false,
                load_report: Vec::new(),
            };
        }
    };
    let Some(permit) = context.driver.permit_attempt(&provider) else {
        return Outcome::NotSent.into();
    };
    let went = Cell::new(false);
    let allowed = || {
        context.directory.admits(endpoint, Instant::now())
            && Instant::now() < deadline
            && !context.driver.endpoint_list_is_stale()
            && context.routing_tables.allows_zone(envelope, provider.zone)
            && context.may_repeat(
                held.policy.class(envelope.class),
                record.first_possible_run(),
                provider.zone,
            )
    };
    // Where it has to be synced, it is written before the connection is asked for: afterwards is
    // too late to wait.
    if record.requires_sync() {
        if !allowed() || record.attempt_started(&provider.entry.zone).is_err() {
            return Outcome::NotSent.into();
        }
        went.set(true);
        if record.durable().await.is_err() {
            record.attempt_ended(false);
            return Outcome::NotSent.into();
        }
    }
    let began = Cell::new(false);
    // A connection may take its time to come up: what the module saw when it chose is looked at
    // once more.
    let go = || {
        if went.get() {
            began.set(allowed() && permit.begin());
        } else if allowed() && permit.begin() {
            went.set(record.attempt_started(&provider.entry.zone).is_ok());
            began.set(went.get());
        }
        if began.get() {
            let (id, uid) = (&envelope.id, &provider.entry.uid);
            log::debug!(
                "{id}: {}{} to {uid}, for {timeout:?}",
                step::ATTEMPT,
                record.snapshot().attempts
            );
        }
        began.get()
    };
    let report = context
        .endpoint_client
        .execute(AttemptRequest {
            endpoint: provider.clone(),
            envelope: &body,
            timeout,
            authorize_send: &go,
        })
        .await;
    permit.attempt_ended(report.outcome);
    // It may have left while the call was out: nobody else would close the connection that was just
    // given back.
    if context
        .directory
        .endpoint(endpoint)
        .is_none_or(|p| p.entry.condition != Condition::Ready)
    {
        context.endpoint_client.close_idle(&provider);
    }
    if let Outcome::Rejected { wait } = report.outcome {
        context
            .directory
            .set_retry_after(&provider, Instant::now() + duration(wait));
    }
    if went.get() {
        // A delivery ran, too: a process that ends before the verdict is written must not send it
        // to another zone.
        let never = matches!(
            report.outcome,
            Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent
        );
        record.attempt_ended(began.get() && !never);
    }
    log::debug!(
        "{}: {} {:?}",
        envelope.id,
        provider.entry.uid,
        report.outcome
    );
    report
}

/// Passes the final answer on and closes the record.
async fn answer(
    context: &DeliveryContext,
    envelope: &Envelope,
    record: OpenRecord,
    verdict: Verdict,
) {
    match context.frontends.get(&envelope.frontend) {
        Some(front) => {
            front.send_final_answer(envelope, verdict).await;
            log::debug!("{}: {}", envelope.id, step::NOTIFIED);
            let _ = record.close();
        }
        // The record stays open: what is owed is owed until that front is back.
        None => log::error!(
            "{}: its front is not set up any more; {verdict:?} is not told",
            envelope.id
        ),
    }
}

fn message(envelope: &Envelope, held: &PolicyHold, left: Duration) -> Message {
    let ttl = left.as_nanos() as Nanos;
    let Envelope { dest, tenant, .. } = *envelope;
    Message {
        class: held.class(envelope.class),
        dest,
        tenant,
        ttl,
        ..Message::default()
    }
}

/// Whether a message has no key though its class is one with keys.
pub fn lacks_required_key(class: Option<&Class>, envelope: &Envelope) -> bool {
    envelope.key.is_none() && class.is_some_and(|c| c.effect == Effect::IdempotentWithKey)
}

/// How a message ended, now.
fn end(
    held: &PolicyHold,
    envelope: &Envelope,
    verdict: Verdict,
    deadline: Instant,
) -> LifecycleEvent {
    match verdict {
        Verdict::Deferred { .. } => LifecycleEvent::Deferred,
        Verdict::Undeliverable => LifecycleEvent::Failed,
        Verdict::Delivered => {
            let rest = deadline.saturating_duration_since(Instant::now());
            let age = |c: &Class| duration(c.deadline).saturating_sub(rest);
            let late = held
                .policy
                .class(envelope.class)
                .is_some_and(|c| age(c) > duration(c.latency_objective));
            if late {
                LifecycleEvent::DeliveredLate
            } else {
                LifecycleEvent::Delivered
            }
        }
    }
}

impl DeliveryContext {
    /// Waits until every message has had its end, and that was heard.
    pub async fn all_closed(&self) {
        while !self.held_messages.borrow().is_empty() {
            self.wheel.sleep(EMPTIED_LOOK).await;
        }
    }

    /// Whether a message is held under the name of this one, and whether it is the same. One that
    /// may still be turned away is waited for: who hears of it now would take it for taken on.
    async fn held_already(&self, envelope: &Envelope) -> Option<bool> {
        let known = self
            .held_messages
            .borrow()
            .get(&(envelope.frontend, envelope.id.clone()))
            .cloned()?;
        let bell = known.decided.bell.listen();
        if known.decided.taken_on.get().is_none() {
            self.wheel.timeout(CLIENT_PATIENCE, bell).await;
        }
        let same = known.print == print(envelope);
        // One that takes as long as that is about to be given up, as its client does not hear.
        (known.decided.taken_on.get() != Some(false)).then_some(same)
    }

    /// Writes a final answer down, as often as it takes. Once the message's time is up it is told
    /// in any case.
    async fn write_down(&self, record: &OpenRecord, verdict: Verdict, deadline: Instant) {
        loop {
            let written = match record.decided(verdict) {
                Ok(()) => record.durable().await,
                Err(e) => Err(e),
            };
            let Err(e) = written else { return };
            if Instant::now() + WRITE_RETRY_DELAY >= deadline {
                let id = &record.envelope().id;
                return log::error!(
                    "{id}: {verdict:?} could not be written and may be told again: {e}"
                );
            }
            self.wheel.sleep(WRITE_RETRY_DELAY).await;
        }
    }

    fn class(&self, envelope: &Envelope) -> &str {
        self.class_names
            .get(usize::from(envelope.class))
            .map_or("", String::as_str)
    }

    /// A wait, as far as clients heed one.
    fn patience(&self, wait: Duration) -> Duration {
        wait.min(duration(
            self.policies.current().class_limits.max_retry_after,
        ))
    }

    /// Whether a message may be taken on under this policy and table in this moment.
    fn may_take_on(&self, policy: &Policy, table: u64) -> Result<(), AdmissionClosed> {
        self.admission.check()?;
        // Another one counts since this message came in: it is for another process, or for its
        // client's next try.
        let same = self.policies.current().number == policy.number
            && self.routing_tables.current_number() == table;
        same.then_some(()).ok_or(AdmissionClosed::Paused)
    }

    /// Takes messages on under a policy from now on; false where it is not known. What is held,
    /// told and connected goes on.
    pub fn activate_policy(&self, number: u64) -> bool {
        let known = self.policies.activate(number);
        if known {
            self.driver
                .apply_settings(self.policies.merged_runtime_settings());
            self.client_quotas
                .set_limits(self.policies.current().message_limits.clone());
        }
        known
    }

    /// Takes messages on, and routes all that are held at their next attempt, by a routing table
    /// from now on; false where it is not known.
    pub fn activate_routing_table(&self, number: u64) -> bool {
        let routes = self
            .routing_tables
            .activate(number, |zone| self.directory.zone_number(zone));
        routes
            .map(|routes| self.driver.apply_routes(routes))
            .is_some()
    }

    /// Whether a keyed message that may have run may go to this zone now.
    fn may_repeat(&self, class: Option<&Class>, ran: Option<RecordedRun>, zone: u16) -> bool {
        let Some(class) = class else { return false };
        let Some(ran) = ran else { return true };
        match class.effect {
            Effect::Idempotent => true,
            Effect::NotIdempotent => false,
            Effect::IdempotentWithKey => {
                let near = class.dedup_scope == crate::DedupScope::All
                    || self.directory.zone_number(&ran.zone) == zone;
                near && ran
                    .age
                    .is_some_and(|age| age < duration(class.dedup_window))
            }
        }
    }
}
