//! Handle of one message at the dispatcher: receives its orders and reports its attempts.

use super::{DispatchOrder, DispatcherDriver};
use crate::delivery::AttemptReport;
use crate::{Event, MessageId, Nanos, Outcome};
use async_channel::Receiver;
use futures_lite::future;
use std::rc::Rc;
use std::time::Instant;

/// Handle of a message that was submitted to the dispatcher. Dropping it reports an attempt in
/// flight as not sent and removes the message from the dispatcher.
pub struct MessageHandle {
    driver: Rc<DispatcherDriver>,
    id: MessageId,
    orders: Receiver<DispatchOrder>,
    /// Number of attempts so far, including those of earlier processes.
    attempts: u16,
    in_flight: Option<InFlightAttempt>,
    /// Whether the dispatcher has closed the message, or has received a report that closes it.
    is_closed: bool,
}

/// An attempt whose result the dispatcher is waiting for.
struct InFlightAttempt {
    number: u16,
    ordered_at: Instant,
}

impl MessageHandle {
    pub(super) fn new(
        driver: Rc<DispatcherDriver>,
        id: MessageId,
        orders: Receiver<DispatchOrder>,
        attempts: u16,
    ) -> Self {
        MessageHandle {
            driver,
            id,
            orders,
            attempts,
            in_flight: None,
            is_closed: false,
        }
    }

    /// Returns the next order, if there is one already.
    pub fn try_next_order(&mut self) -> Option<DispatchOrder> {
        let order = self.orders.try_recv().ok()?;
        Some(self.begin(order))
    }

    /// Waits for the next order. Never returns once the driver is halted.
    pub async fn next_order(&mut self) -> DispatchOrder {
        match self.orders.recv().await {
            Ok(order) if !self.driver.is_halted.get() => self.begin(order),
            _ => future::pending().await,
        }
    }

    fn begin(&mut self, order: DispatchOrder) -> DispatchOrder {
        match order {
            DispatchOrder::Attempt { .. } => {
                self.in_flight = Some(InFlightAttempt {
                    number: self.attempts,
                    ordered_at: Instant::now(),
                });
                self.attempts += 1;
                self.driver.set_in_flight(self.id, true);
                self.driver.count_begun();
            }
            DispatchOrder::Reject { .. } | DispatchOrder::Fail => self.is_closed = true,
        }
        order
    }

    /// Reports the result of the attempt in flight to the dispatcher.
    pub fn report_attempt(&mut self, report: AttemptReport) {
        let Some(attempt) = self.in_flight.take() else {
            return;
        };
        self.driver.set_in_flight(self.id, false);
        self.driver.count_ended();
        self.is_closed |= report.message_closed;
        self.driver.handle_event(Event::AttemptEnded {
            id: self.id,
            attempt: attempt.number,
            outcome: report.outcome,
            took: attempt.ordered_at.elapsed().as_nanos() as Nanos,
            finished: report.message_closed,
            report: report.load_report,
        });
    }
}

impl Drop for MessageHandle {
    fn drop(&mut self) {
        if !self.is_closed {
            self.driver.handle_event(Event::ClientGone(self.id));
        }
        // An order for an attempt that was not carried out also counts as an attempt in flight.
        while self.in_flight.is_none() && self.try_next_order().is_some() {}
        self.report_attempt(AttemptReport {
            message_closed: true,
            ..Outcome::NotSent.into()
        });
        self.driver.remove(self.id);
    }
}
