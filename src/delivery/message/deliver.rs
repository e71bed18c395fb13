//! Delivery of an accepted message: one attempt after another, as the dispatcher orders.
//!
//! This module contains the loop of orders and attempt reports until the message's outcome is
//! known. A single attempt is made by `attempt`; the outcome is handled by `final_answer`.

use super::attempt::AttemptExecutor;
use super::in_delivery::MessageInDelivery;
use super::step;
use super::{log_step, DeliveryContext};
use crate::delivery::driver::DispatchOrder;
use crate::delivery::{duration, Verdict};
use crate::Outcome;

/// Result of the attempts to deliver a message.
enum Conclusion {
    /// Its client is owed this final answer.
    Verdict(Verdict),
    /// No final answer is owed: the other side knows that the message is withdrawn or expired.
    ClosedElsewhere,
}

/// Delivers an accepted message, and sends its final answer if one is owed.
pub(super) async fn deliver(context: &DeliveryContext, mut message: MessageInDelivery) {
    match attempt_until_concluded(&context.attempt_executor(), &mut message).await {
        Conclusion::Verdict(verdict) => context.final_answers().conclude(message, verdict).await,
        Conclusion::ClosedElsewhere => close_without_answer(context, message),
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

fn close_without_answer(context: &DeliveryContext, message: MessageInDelivery) {
    let (id, destination) = (&message.envelope.id, message.envelope.dest);
    log_step!(
        debug,
        id,
        "{}{destination} closed without a final answer",
        step::DECIDED
    );
    context
        .held_messages
        .remember_end(&message.envelope, Verdict::Undeliverable);
    let _ = message.record.close();
}
