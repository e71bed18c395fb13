//! The end of a message: its verdict is counted, written to the journal and sent to its client.
//!
//! This module enforces that a verdict is durable before the final answer is sent, as long as the
//! message has time left. The frontend implements the transfer. `deliver` calls this module once
//! the verdict is known, and [`resume`](super::resume) for a verdict of an earlier process.

use super::held_messages::HeldMessages;
use super::in_delivery::MessageInDelivery;
use super::step;
use super::{class_name, log_step};
use crate::delivery::driver::DispatcherDriver;
use crate::delivery::journal::{OpenRecord, WRITE_RETRY_DELAY};
use crate::delivery::policies::Policy;
use crate::delivery::script_hook::ScriptBudget;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{duration, Envelope, FinalAnswer, Frontend, LifecycleEvent, Verdict};
use crate::dispatch::deadline;
use crate::Nanos;
use futures_lite::future;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay of a verdict after its message's deadline from which it is logged. The verdict on a
/// message whose time ran out while no process was running is reached as soon as it is found.
const NOTABLE_DELAY: Duration = Duration::from_millis(50);

/// The components that write and send final answers.
pub(super) struct FinalAnswerReporter<'a> {
    pub(super) frontends: &'a BTreeMap<u8, Rc<dyn Frontend>>,
    pub(super) driver: &'a DispatcherDriver,
    pub(super) held_messages: &'a HeldMessages,
    pub(super) class_names: &'a [String],
    pub(super) script_budget: &'a ScriptBudget,
    pub(super) wheel: &'a Rc<TimerWheel>,
}

impl FinalAnswerReporter<'_> {
    /// Ends a message with a verdict: counts the verdict, writes it to the journal, sends it and
    /// passes it to the operator's script.
    pub(super) async fn conclude(&self, message: MessageInDelivery, verdict: Verdict) {
        let MessageInDelivery {
            envelope,
            record,
            handle,
            quota,
            deadline,
            id_guard,
            policy,
            ..
        } = message;
        // The message no longer occupies the dispatcher or its client's quota.
        drop((handle, quota));
        self.observe_end(&envelope, &policy.policy, verdict, deadline);
        let time_left = deadline.saturating_duration_since(Instant::now());
        // The client may have started to count the time earlier. By its clock the delivery may be
        // too late, and then it waits for a final answer that only this sender can give.
        let answer = FinalAnswer {
            verdict,
            crosses_end: deadline::may_cross_the_end(time_left.as_nanos() as Nanos),
        };
        let line = step::decided(&envelope, record.snapshot().table, verdict, time_left);
        log_step!(debug, envelope.id, "{line}");
        let late = deadline.elapsed();
        if late > NOTABLE_DELAY {
            log_step!(warn, envelope.id, "{verdict:?} {late:?} after its deadline");
        }
        self.write_verdict(&record, verdict, deadline).await;
        // Sending the answer may take long; release the body first.
        drop(envelope);
        let envelope = record.envelope();
        let sent = self.send(&envelope, record, answer);
        let shown = self.show_to_script(&policy.policy, &envelope, verdict);
        future::zip(sent, shown).await;
        drop((id_guard, policy));
    }

    /// Passes a verdict to the operator's script, after everything that is ready to run now: first of
    /// all, the answer is sent.
    async fn show_to_script(&self, policy: &Policy, envelope: &Envelope, verdict: Verdict) {
        let Some(hook) = &policy.hook else {
            return;
        };
        future::yield_now().await;
        let class = class_name(self.class_names, envelope);
        hook.final_answer(self.script_budget, envelope, class, verdict);
    }

    /// Sends a final answer, and closes the record once the client has received it.
    pub(super) async fn send(&self, envelope: &Envelope, record: OpenRecord, answer: FinalAnswer) {
        let id = &envelope.id;
        let Some(frontend) = self.frontends.get(&envelope.frontend) else {
            // The record stays open, so that the answer is sent once the frontend is set up
            // again.
            log_step!(
                error,
                id,
                "its frontend is no longer set up; final answer {:?} is not sent",
                answer.verdict
            );
            return;
        };
        frontend.send_final_answer(envelope, answer).await;
        log_step!(debug, id, "{}", step::NOTIFIED);
        self.held_messages.remember_end(envelope, answer.verdict);
        let _ = record.close();
    }

    /// Writes a verdict to the journal, with retries until the message's time is up. After that the
    /// final answer is sent in any case, even if the disk has not responded.
    async fn write_verdict(&self, record: &OpenRecord, verdict: Verdict, deadline: Instant) {
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let written = self
                .wheel
                .timeout(time_left, write_durably(record, verdict));
            let Err(e) = (written.await).unwrap_or(Err(io::ErrorKind::TimedOut.into())) else {
                return;
            };
            if Instant::now() + WRITE_RETRY_DELAY >= deadline {
                let id = &record.envelope().id;
                log_step!(
                    error,
                    id,
                    "{verdict:?} could not be written and may be sent again: {e}"
                );
                return;
            }
            self.wheel.sleep(WRITE_RETRY_DELAY).await;
        }
    }

    fn observe_end(
        &self,
        envelope: &Envelope,
        policy: &Policy,
        verdict: Verdict,
        deadline: Instant,
    ) {
        let event = match verdict {
            Verdict::Deferred { .. } => LifecycleEvent::Deferred,
            Verdict::Undeliverable => LifecycleEvent::Failed,
            Verdict::Delivered if is_late(envelope, policy, deadline) => {
                LifecycleEvent::DeliveredLate
            }
            Verdict::Delivered => LifecycleEvent::Delivered,
        };
        self.driver
            .notify_lifecycle(policy.number, envelope.class, envelope.tenant, event);
    }
}

async fn write_durably(record: &OpenRecord, verdict: Verdict) -> io::Result<()> {
    record.decided(verdict)?;
    record.durable().await
}

/// Whether a message that is delivered now has missed its class's latency objective.
fn is_late(envelope: &Envelope, policy: &Policy, deadline: Instant) -> bool {
    let Some(class) = policy.class(envelope.class) else {
        return false;
    };
    let time_left = deadline.saturating_duration_since(Instant::now());
    let age = duration(class.deadline).saturating_sub(time_left);
    age > duration(class.latency_objective)
}
