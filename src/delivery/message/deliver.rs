//! Delivery of an accepted message: one attempt after another, as the dispatcher orders.
//!
//! Owns the loop between the dispatcher's orders and the reports of attempts, until the message's
//! outcome is known. How one attempt goes is in `attempt`; what follows the outcome, in
//! `final_answer`.

use super::attempt::AttemptExecutor;
use super::held_messages::MessageIdGuard;
use super::{log_step, DeliveryContext};
use crate::delivery::client_quota::ClientQuotaGuard;
use crate::delivery::driver::{DispatchOrder, MessageHandle};
use crate::delivery::journal::OpenRecord;
use crate::delivery::policies::PolicyHold;
use crate::delivery::{duration, Envelope, Verdict};
use crate::message_trace::step;
use crate::Outcome;
use std::rc::Rc;
use std::time::Instant;

/// An accepted message, and what is held for it until its end. Dropped, all of that is released.
pub(super) struct MessageInDelivery {
    /// The message; its body may be in the journal only.
    pub(super) envelope: Rc<Envelope>,
    /// Its record in the journal.
    pub(super) record: OpenRecord,
    /// Its place at the dispatcher.
    pub(super) handle: MessageHandle,
    /// Its part of its client's quota.
    pub(super) quota: ClientQuotaGuard,
    /// What the dispatcher ordered as it took the message in.
    pub(super) first_order: Option<DispatchOrder>,
    /// When its time is up.
    pub(super) deadline: Instant,
    /// Its id; nothing where an earlier process left another message of the same one.
    pub(super) id_guard: Option<MessageIdGuard>,
    /// The policy that it ends under.
    pub(super) policy: PolicyHold,
}

/// How the attempts to deliver a message ended.
enum Conclusion {
    /// Its client is owed this final answer.
    Verdict(Verdict),
    /// The other side knows that the message is withdrawn or out of time: nothing is owed.
    ClosedElsewhere,
}

/// Delivers an accepted message, and sends its final answer where one is owed.
pub(super) async fn deliver(context: &DeliveryContext, mut message: MessageInDelivery) {
    match attempt_until_concluded(&context.attempt_executor(), &mut message).await {
        Conclusion::Verdict(verdict) => context.final_answers().conclude(message, verdict).await,
        Conclusion::ClosedElsewhere => close_without_answer(message),
    }
}

/// Carries out the dispatcher's orders, one after the other, until the message's outcome is known.
async fn attempt_until_concluded(
    executor: &AttemptExecutor<'_>,
    message: &mut MessageInDelivery,
) -> Conclusion {
    loop {
        let order = match message.first_order.take() {
            Some(order) => order,
            None => message.handle.next_order().await,
        };
        let (address, timeout) = match order {
            DispatchOrder::Attempt { address, timeout } => (address, duration(timeout)),
            DispatchOrder::Reject { retry_after } => {
                return Conclusion::Verdict(Verdict::Deferred {
                    retry_after_ms: duration(retry_after).as_millis() as u64,
                });
            }
            DispatchOrder::Fail => return Conclusion::Verdict(Verdict::Undeliverable),
        };
        let report = executor.execute(message, address, timeout).await;
        let (outcome, message_closed) = (report.outcome, report.message_closed);
        message.handle.report_attempt(report);
        if outcome == Outcome::Delivered {
            message.quota.mark_delivered();
            return Conclusion::Verdict(Verdict::Delivered);
        }
        if message_closed {
            return Conclusion::ClosedElsewhere;
        }
    }
}

fn close_without_answer(message: MessageInDelivery) {
    let (id, destination) = (&message.envelope.id, message.envelope.dest);
    log_step!(debug, id, "{}{destination} over elsewhere", step::DECIDED);
    let _ = message.record.close();
}
