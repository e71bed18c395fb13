//! One attempt to deliver a message, with its journal entries.
//!
//! This module enforces that an attempt is in the journal before its first byte can be sent. It
//! also repeats the checks right before that byte, because the state in which the dispatcher chose
//! the endpoint may have changed while the connection was established. `deliver` calls it for each
//! ordered attempt; the [`EndpointClient`] owns the connections.

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

/// The components that make an attempt.
pub(super) struct AttemptExecutor<'a> {
    pub(super) directory: &'a EndpointDirectory,
    pub(super) driver: &'a Rc<DispatcherDriver>,
    pub(super) routing_tables: &'a RoutingTables,
    pub(super) endpoint_client: &'a dyn EndpointClient,
    pub(super) wheel: &'a Rc<TimerWheel>,
}

impl AttemptExecutor<'_> {
    /// Makes one attempt and returns its result, [`Outcome::NotSent`] if it must not begin. All
    /// waits end early enough to leave the rest of the message's time for its final answer.
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

    /// Waits for work on the journal's files, up to a deadline.
    async fn by<T>(
        &self,
        moment: Instant,
        work: impl Future<Output = io::Result<T>>,
    ) -> io::Result<T> {
        let time = moment.saturating_duration_since(Instant::now());
        let done = self.wheel.timeout(time, work).await;
        done.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Closes the idle connections to an endpoint that is draining, replaced or no longer listed.
    /// This may have happened while an attempt was in flight, and nothing else would close the
    /// connection that the attempt has returned to the pool.
    fn close_if_not_ready(&self, address: EndpointAddress, endpoint: &Endpoint) {
        let listed = self.directory.endpoint(address);
        let is_ready = listed.is_some_and(|e| {
            e.entry.condition == Condition::Ready && e.incarnation() == endpoint.incarnation()
        });
        if !is_ready {
            self.endpoint_client.close_idle(endpoint);
        }
    }
}

/// Reason why an ordered attempt is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendRefusal {
    /// The endpoint is draining, no longer listed, evacuated, or in a Retry-After wait.
    EndpointUnavailable,
    /// Another process is listed in the endpoint's place.
    EndpointReplaced,
    /// The time in which the attempt has to end is up.
    TimeUp,
    /// The endpoint list is stale.
    ListStale,
    /// The routing table does not allow the message in the endpoint's zone.
    NotRouted,
    /// The message may have run already, and must not be repeated at the endpoint.
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
    /// Time by which the attempt has to end.
    ends_at: Instant,
    /// Whether the journal has an entry for the attempt.
    is_journaled: Cell<bool>,
    /// Whether its first byte was allowed to be sent.
    has_begun: Cell<bool>,
}

impl Attempt<'_> {
    /// Writes the attempt to the journal and waits until the entry is durable, because there is no
    /// time to wait once the connection is established. Returns false if the attempt must not
    /// begin.
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

    /// Called right before the first byte. If it returns false, nothing must be sent.
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

    /// Whether the message may still be sent to the endpoint now. If not, the reason is logged.
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
        } else if self.is_replaced() {
            Some(SendRefusal::EndpointReplaced)
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

    /// Whether another process has been listed in the endpoint's place since the attempt was ordered.
    fn is_replaced(&self) -> bool {
        let listed = self.executor.directory.endpoint(self.address);
        listed.is_some_and(|e| e.incarnation() != self.endpoint.incarnation())
    }

    /// Whether the message may be sent to the endpoint's zone although it may have run already, by
    /// the idempotency rules of its class.
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

    /// Writes the start of the attempt to the journal. Returns false if that fails.
    fn write_sent(&self) -> bool {
        let written = self
            .message
            .record
            .attempt_started(&self.endpoint.entry.zone)
            .is_ok();
        self.is_journaled.set(written);
        written
    }

    /// Passes the attempt's outcome to the observer, the directory, the journal and the log.
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
            // A delivered message counts as one that may have run: if this process ends before the
            // verdict is written, the next process must not send the message to another zone.
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
