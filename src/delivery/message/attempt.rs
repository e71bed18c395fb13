//! One attempt to deliver a message, with its lines in the journal.
//!
//! Owns the rule that an attempt is in the journal before its first byte can be sent, and the
//! checks right before that byte: a connection may take its time to come up, and what the
//! dispatcher saw when it chose the endpoint may have changed meanwhile. Called by `deliver` for
//! each order to attempt; the connection itself is the [`EndpointClient`]'s.

use super::in_delivery::MessageInDelivery;
use super::log_step;
use super::step;
use crate::delivery::driver::{AttemptPermit, DispatcherDriver};
use crate::delivery::endpoint::Endpoint;
use crate::delivery::endpoint_directory::EndpointDirectory;
use crate::delivery::routing_tables::RoutingTables;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{duration, AttemptReport, AttemptRequest, EndpointClient};
use crate::{Condition, DedupScope, Effect, EndpointAddress, Outcome};
use futures_lite::Future;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The parts that an attempt is carried out with.
pub(super) struct AttemptExecutor<'a> {
    pub(super) directory: &'a EndpointDirectory,
    pub(super) driver: &'a Rc<DispatcherDriver>,
    pub(super) routing_tables: &'a RoutingTables,
    pub(super) endpoint_client: &'a dyn EndpointClient,
    pub(super) wheel: &'a Rc<TimerWheel>,
}

impl AttemptExecutor<'_> {
    /// Carries one attempt out and says how it ended; [`Outcome::NotSent`] where it must not begin.
    /// Whatever it waits for, the message's last moments are left to its final answer.
    pub(super) async fn execute(
        &self,
        message: &MessageInDelivery,
        address: EndpointAddress,
        timeout: Duration,
    ) -> AttemptReport {
        let Some(endpoint) = self.directory.endpoint(address) else {
            return Outcome::NotSent.into();
        };
        let ends_at = message.attempt_ends_at();
        let loaded = self.by(ends_at, message.record.load_envelope()).await;
        let envelope = match loaded {
            Ok(envelope) => envelope,
            Err(e) => {
                log_step!(error, message.envelope.id, "its body cannot be read: {e}");
                return Outcome::NotSent.into();
            }
        };
        let Some(permit) = self.driver.permit_attempt(&endpoint) else {
            return Outcome::NotSent.into();
        };
        let attempt = Attempt {
            executor: self,
            message,
            address,
            endpoint,
            permit,
            timeout,
            ends_at,
            is_journaled: Cell::new(false),
            has_begun: Cell::new(false),
        };
        if message.record.requires_sync() && !attempt.write_ahead().await {
            return Outcome::NotSent.into();
        }
        let request = AttemptRequest {
            endpoint: attempt.endpoint.clone(),
            envelope: &envelope,
            timeout: timeout.min(ends_at.saturating_duration_since(Instant::now())),
            ends_at,
            authorize_send: &|| attempt.authorize_send(),
        };
        let report = self.endpoint_client.execute(request).await;
        attempt.end(report.outcome);
        report
    }

    /// Waits for work on the journal's files until a moment at the latest.
    async fn by<T>(
        &self,
        moment: Instant,
        work: impl Future<Output = io::Result<T>>,
    ) -> io::Result<T> {
        let time = moment.saturating_duration_since(Instant::now());
        let done = self.wheel.timeout(time, work).await;
        done.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Closes the connections to an endpoint that has left or drains: it may have done so while an
    /// attempt was in flight, and nobody else would close the connection that was just given back.
    fn close_if_not_ready(&self, address: EndpointAddress, endpoint: &Endpoint) {
        let listed = self.directory.endpoint(address);
        let is_ready = listed.is_some_and(|e| e.entry.condition == Condition::Ready);
        if !is_ready {
            self.endpoint_client.close_idle(endpoint);
        }
    }
}

/// Why an attempt that was ordered is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendRefusal {
    /// The endpoint drains, has left, is evacuated, or asked to wait.
    EndpointUnavailable,
    /// The attempt would end too late.
    TimeUp,
    /// Whatever the endpoint list says may have changed.
    ListStale,
    /// The routing table leads the message elsewhere.
    NotRouted,
    /// The message may have run, and may not be repeated there.
    MayHaveRun,
}

/// One attempt that is about to begin, or in flight.
struct Attempt<'a> {
    executor: &'a AttemptExecutor<'a>,
    message: &'a MessageInDelivery,
    address: EndpointAddress,
    endpoint: Rc<Endpoint>,
    permit: AttemptPermit,
    timeout: Duration,
    /// It is over by then.
    ends_at: Instant,
    /// The journal says that it was sent.
    is_journaled: Cell<bool>,
    /// Its first byte was allowed to go.
    has_begun: Cell<bool>,
}

impl Attempt<'_> {
    /// Writes the attempt down and waits until that is durable: once the connection is up, it is
    /// too late to wait. False where the attempt must not begin.
    async fn write_ahead(&self) -> bool {
        if !self.is_allowed() || !self.write_sent() {
            return false;
        }
        let durable = self
            .executor
            .by(self.ends_at, self.message.record.durable());
        if durable.await.is_err() {
            self.message.record.attempt_ended(false);
            return false;
        }
        true
    }

    /// Called right before the first byte; it must not be sent where this is false.
    fn authorize_send(&self) -> bool {
        let begins = if self.is_journaled.get() {
            self.is_allowed() && self.permit.begin()
        } else {
            self.is_allowed() && self.permit.begin() && self.write_sent()
        };
        self.has_begun.set(begins);
        if begins {
            log_step!(
                debug,
                self.message.envelope.id,
                "{}{} to {}, for {:?}",
                step::ATTEMPT,
                self.message.record.snapshot().attempts,
                self.endpoint.entry.uid,
                self.timeout
            );
        }
        begins
    }

    /// Whether the endpoint may still receive this message now; the log says why not.
    fn is_allowed(&self) -> bool {
        let Some(refusal) = self.send_refusal() else {
            return true;
        };
        let uid = &self.endpoint.entry.uid;
        log_step!(
            debug,
            self.message.envelope.id,
            "not sent to {uid}: {refusal:?}"
        );
        false
    }

    fn send_refusal(&self) -> Option<SendRefusal> {
        let AttemptExecutor {
            directory,
            driver,
            routing_tables,
            ..
        } = self.executor;
        let now = Instant::now();
        if !directory.admits(self.address, now) {
            Some(SendRefusal::EndpointUnavailable)
        } else if now >= self.ends_at {
            Some(SendRefusal::TimeUp)
        } else if driver.endpoint_list_is_stale() {
            Some(SendRefusal::ListStale)
        } else if !routing_tables.allows_zone(&self.message.envelope, self.endpoint.zone) {
            Some(SendRefusal::NotRouted)
        } else if !self.may_repeat() {
            Some(SendRefusal::MayHaveRun)
        } else {
            None
        }
    }

    /// Whether a message that may have run already may go to this zone, by the idempotency rules
    /// of its class.
    fn may_repeat(&self) -> bool {
        let message = self.message;
        let Some(class) = message.policy.policy.class(message.envelope.class) else {
            return false;
        };
        let Some(run) = message.record.first_possible_run() else {
            return true;
        };
        match class.effect {
            Effect::Idempotent => true,
            Effect::NotIdempotent => false,
            Effect::IdempotentWithKey => {
                let is_in_scope = class.dedup_scope == DedupScope::All
                    || self.executor.directory.zone_number(&run.zone) == self.endpoint.zone;
                is_in_scope
                    && run
                        .age
                        .is_some_and(|age| age < duration(class.dedup_window))
            }
        }
    }

    /// Writes down that the attempt is sent; false where it cannot be written.
    fn write_sent(&self) -> bool {
        let written = self
            .message
            .record
            .attempt_started(&self.endpoint.entry.zone)
            .is_ok();
        self.is_journaled.set(written);
        written
    }

    /// Passes the attempt's outcome on to all that have to know it.
    fn end(&self, outcome: Outcome) {
        self.permit.attempt_ended(outcome);
        self.executor
            .close_if_not_ready(self.address, &self.endpoint);
        if let Outcome::Rejected { wait } = outcome {
            let until = Instant::now() + duration(wait);
            self.executor
                .directory
                .set_retry_after(&self.endpoint, until);
        }
        if self.is_journaled.get() {
            // One that was delivered may have run, too: a process that ends before the verdict is
            // written must not send it to another zone.
            let never_ran = matches!(
                outcome,
                Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent
            );
            let may_have_run = self.has_begun.get() && !never_ran;
            self.message.record.attempt_ended(may_have_run);
        }
        let (id, uid) = (&self.message.envelope.id, &self.endpoint.entry.uid);
        log_step!(debug, id, "{uid} {outcome:?}");
    }
}
