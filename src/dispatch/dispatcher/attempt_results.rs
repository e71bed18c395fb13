//! Processing of attempts that end.
//!
//! Decides: health changes, pauses and rates (through [`EndpointState`] and the rate controller),
//! which siblings are ejected as well, which idle connections are closed, and when a message may be
//! retried. Inputs: outcomes and load reports. Caller: [`Dispatcher::handle`].

use super::*;
use crate::dispatch::endpoint_health::{CallResult, Health, RejectionHint, MAX_TRIAL_GAP};
use crate::dispatch::rate_control::{Rejection, LIMIT_USED_UP};
use crate::dispatch::stale_connections::Connection;
use crate::dispatch::statistics::{from_secs, to_secs, MS};

/// Level, in failed connects, of the suspicion that endpoints of a kind are out of connections:
/// from this level on, connections to that kind are closed after each call.
const CLOSE_CONNECTIONS_SHORTAGE: f64 = 1.0;
/// Largest level of that suspicion, so that it decays within a minute.
const MAX_CONNECTION_SHORTAGE: f64 = 8.0;
/// Delay before a message's next attempt after an error, in seconds; it doubles with each attempt.
const RETRY_DELAY_SECONDS: f64 = 0.1;
/// Number of attempts after which that delay no longer doubles.
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// The limit in a load report.
#[derive(Clone, Copy)]
struct LoadReport {
    /// Share of the limit that is unused.
    left: f64,
    /// The limit in calls per second, for all senders together.
    limit: f64,
}

impl Dispatcher {
    /// Processes the end of an attempt, `took` after it was sent.
    pub(super) fn attempt_ended(
        &mut self,
        now: Nanos,
        id: AttemptId,
        outcome: Outcome,
        took: Nanos,
        report: &[f32],
    ) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.release_key(now, &attempt, id.message, outcome);
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        call.attempts_left -= 1;
        let is_first_result = !call.is_counted;
        call.is_counted = true;
        let call = call.clone();
        if call.attempts_left == 0 {
            self.close_call(attempt.call, call.endpoint);
        }
        if is_first_result {
            self.record_call_result(now, &call, outcome, took, report);
        }
        self.check_queue_by(call.dest, 0);
        if let Outcome::Rejected { wait } = outcome {
            let controller = self.controller(call.dest, &call.endpoint);
            controller.retry_after_until = controller.retry_after_until.max(now + wait);
        }
        self.drop_endpoint_if_unused(call.endpoint);
        let sent_attempt = SentAttempt {
            sent_at: call.sent_at,
            zone: attempt.zone,
        };
        self.record_attempt_result(now, id.message, outcome, sent_attempt);
    }

    /// Releases an ordering key for its next message; if the attempt that ended may still take
    /// effect, only after a pause.
    fn release_key(
        &mut self,
        now: Nanos,
        attempt: &InFlightAttempt,
        message: MessageId,
        outcome: Outcome,
    ) {
        if attempt.key == 0 {
            return;
        }
        let Some(key_queue) = self.ordered_keys.get_mut(&attempt.key) else {
            return;
        };
        key_queue.in_flight = key_queue.in_flight.saturating_sub(1);
        if may_still_run(outcome) {
            key_queue.paused_until = now + self.settings.ordered_key_pause;
            key_queue.paused_for = message;
        }
    }

    fn close_call(&mut self, number: u64, endpoint: EndpointAddress) {
        self.calls.remove(&number);
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            endpoint.calls_in_flight = endpoint.calls_in_flight.saturating_sub(1);
        }
        if std::mem::take(&mut self.is_starved) {
            self.check_backlog();
        }
    }

    /// Records the result of a message's attempt, and when the message may be retried.
    fn record_attempt_result(
        &mut self,
        now: Nanos,
        id: MessageId,
        outcome: Outcome,
        sent_attempt: SentAttempt,
    ) {
        let jitter = self.random.draw();
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.in_flight = false;
        if may_still_run(outcome) || outcome == Outcome::Error {
            pending.may_have_run.get_or_insert(sent_attempt);
        }
        pending.was_rejected |=
            matches!(outcome, Outcome::Rejected { .. } | Outcome::ConnectFailed);
        let needs_delay = matches!(
            outcome,
            Outcome::Error | Outcome::Reset | Outcome::NotSent | Outcome::ConnectFailed
        );
        if needs_delay {
            let doublings = pending.attempts.min(MAX_RETRY_DOUBLINGS);
            let seconds = RETRY_DELAY_SECONDS * f64::from(1u32 << doublings) * (0.5 + jitter);
            pending.not_before = now + from_secs(seconds);
        }
    }

    /// Processes the first result of a call.
    fn record_call_result(
        &mut self,
        now: Nanos,
        call: &InFlightCall,
        outcome: Outcome,
        took: Nanos,
        report: &[f32],
    ) {
        let endpoint = call.endpoint;
        let is_answer = matches!(outcome, Outcome::Delivered | Outcome::Rejected { .. });
        if call.follows_rejection && is_answer {
            let kind = self.endpoints.get(&endpoint).map_or(0, |state| state.kind);
            self.kind_stats[kind].record_retry(outcome == Outcome::Delivered);
        }
        let is_lost = matches!(outcome, Outcome::Timeout | Outcome::Reset);
        self.record_connection_result(now, call, outcome, is_lost);
        let report = self.load_report(report);
        if let Some(report) = report {
            self.controller(call.dest, &endpoint).reported_limit = report.limit;
        }
        // A call that was lost because of its stale connection says nothing about the endpoint.
        let was_stale =
            call.on_idle_connection && is_lost && self.stale_connections.distrusts_idle(now);
        if !was_stale {
            let sent_at = now.saturating_sub(took);
            let left = report.map(|report| report.left);
            self.record_endpoint_result(now, endpoint, outcome, sent_at, call.is_trial, left);
        }
        if let Some(report) = report {
            let fair_rate = report.limit / f64::from(self.settings.senders.max(1));
            let controller = self.controller(call.dest, &endpoint);
            controller.apply_report(now, report.left, report.limit, fair_rate);
        }
    }

    fn record_connection_result(
        &mut self,
        now: Nanos,
        call: &InFlightCall,
        outcome: Outcome,
        is_lost: bool,
    ) {
        if (is_lost || outcome == Outcome::Delivered) && !call.is_trial {
            let connection = if call.on_idle_connection {
                Connection::Idle
            } else {
                Connection::Fresh
            };
            self.stale_connections.record(now, connection, is_lost);
        }
        if let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
            endpoint.used_at = Some(now);
            endpoint.needs_new_connection |= is_lost;
        }
        self.watch_connection_shortage(now, call.endpoint, outcome);
    }

    /// Detects a shortage of connections. Some endpoints accept few connections, idle ones
    /// included, from hundreds of senders: where endpoints of a kind reject connections and answer
    /// soon after, no connection to that kind is kept idle. This costs handshakes while it lasts.
    /// An endpoint that is down rejects connections too, but does not answer soon after.
    fn watch_connection_shortage(
        &mut self,
        now: Nanos,
        address: EndpointAddress,
        outcome: Outcome,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&address) else {
            return;
        };
        let kind = endpoint.kind;
        let is_unused = endpoint.calls_in_flight == 0;
        let connect_failed_at = endpoint.connect_failed_at.take();
        if outcome == Outcome::ConnectFailed && endpoint.consecutive_failures == 0 {
            endpoint.connect_failed_at = Some(now);
        }
        let answered_soon = outcome == Outcome::Delivered
            && connect_failed_at.is_some_and(|failed_at| now < failed_at + MAX_TRIAL_GAP);
        let shortage = &mut self.kind_stats[kind].connection_shortage;
        let before = shortage.level(now);
        let level = (before + f64::from(u8::from(answered_soon))).min(MAX_CONNECTION_SHORTAGE);
        shortage.set(now, level);
        if level < CLOSE_CONNECTIONS_SHORTAGE {
            return;
        }
        if before < CLOSE_CONNECTIONS_SHORTAGE {
            self.close_idle_connections(kind);
        } else if is_unused {
            self.close_idle(address);
        }
    }

    /// Closes the idle connections to all endpoints of a kind.
    fn close_idle_connections(&mut self, kind: usize) {
        let is_idle = |endpoint: &EndpointState| {
            endpoint.kind == kind && endpoint.calls_in_flight == 0 && endpoint.used_at.is_some()
        };
        let all = self.endpoints.iter();
        let idle = all.filter(|(_, endpoint)| is_idle(endpoint));
        let idle: Vec<EndpointAddress> = idle.map(|(address, _)| *address).collect();
        for address in idle {
            self.close_idle(address);
        }
    }

    fn close_idle(&mut self, address: EndpointAddress) {
        if let Some(endpoint) = self.endpoints.get_mut(&address) {
            endpoint.used_at = None;
        }
        self.actions.push(Action::CloseIdle { endpoint: address });
    }

    fn load_report(&self, report: &[f32]) -> Option<LoadReport> {
        let value = |position: Option<usize>| report.get(position?).map(|value| f64::from(*value));
        let left = value(self.settings.report_left)?;
        let limit = value(self.settings.report_limit)?;
        let is_usable = left >= 0.0 && limit > 0.0 && limit.is_finite();
        is_usable.then_some(LoadReport { left, limit })
    }

    /// Updates the health of an endpoint, and the limits of its destination, from one call.
    fn record_endpoint_result(
        &mut self,
        now: Nanos,
        address: EndpointAddress,
        outcome: Outcome,
        sent_at: Nanos,
        is_trial: bool,
        limit_left: Option<f64>,
    ) {
        let jitter = self.random.draw();
        let Some(dest) = self.endpoints.get(&address).map(|endpoint| endpoint.dest) else {
            return;
        };
        let call = CallResult {
            sent_at,
            is_trial,
            confidence: self.controller(dest, &address).confidence(now),
            jitter,
        };
        let fair_rate = self.fair_rate(dest, &address);
        let Some(endpoint) = self.endpoints.get_mut(&address) else {
            return;
        };
        let before = endpoint.health;
        endpoint.begin_result(now, outcome, sent_at);
        match outcome {
            Outcome::Delivered => {
                endpoint.record_answer(now, &call, &self.settings);
                self.controller(dest, &address).record_accepted(now);
                self.queue(dest).lost_throughput = 0.0;
            }
            Outcome::Rejected { wait } => {
                self.record_rejected_call(now, address, wait, limit_left, fair_rate, &call);
            }
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                let shortage = self.kind_stats[endpoint.kind].connection_shortage;
                let is_shortage = outcome == Outcome::ConnectFailed
                    && shortage.level(now) > CLOSE_CONNECTIONS_SHORTAGE;
                endpoint.record_failure(now, outcome, is_shortage, &call, &self.settings);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.health_changed(now, address, before, outcome);
    }

    fn record_rejected_call(
        &mut self,
        now: Nanos,
        address: EndpointAddress,
        retry_after: Nanos,
        limit_left: Option<f64>,
        fair_rate: Option<f64>,
        call: &CallResult,
    ) {
        let dest = self.endpoints[&address].dest;
        let controller = self.controller(dest, &address);
        let is_first = controller.count_rejection(call.sent_at);
        let hint = RejectionHint {
            consecutive: controller.consecutive_rejections,
            retry_after,
            limit_left,
        };
        let Some(endpoint) = self.endpoints.get_mut(&address) else {
            return;
        };
        endpoint.record_rejection(now, &hint, call, &self.settings);
        let stats = &mut self.kind_stats[endpoint.kind];
        let expected = stats.record_wait(retry_after);
        let rejection = Rejection {
            sent_at: call.sent_at,
            retry_after,
            expected_wait: expected.seconds,
            slow_start_spread: if expected.is_unusual {
                to_secs(self.settings.slow_start_duration)
            } else {
                0.0
            },
            rejections_per_success: stats.rejections_per_success(),
            limit_used_up: limit_left.is_some_and(|left| left < LIMIT_USED_UP),
            confidence: call.confidence,
            fair_rate,
            demand: self.destinations[&dest].arrivals.rate(now),
            jitter: call.jitter,
        };
        self.controller(dest, &address).reject(now, &rejection);
        // Messages are spread over routes at random: where one is full, the others are nearly full.
        for controller in self.queue(dest).controllers.values_mut() {
            controller.hold_burst(now);
        }
        if is_first {
            let wait_ms = retry_after / MS;
            self.log(format!("pause dest {dest}: full, told {wait_ms} ms"));
        }
    }

    /// Applies the consequences of a change of an endpoint's health, if there is one.
    fn health_changed(
        &mut self,
        now: Nanos,
        address: EndpointAddress,
        before: Health,
        outcome: Outcome,
    ) {
        let Some(endpoint) = self.endpoints.get(&address) else {
            return;
        };
        let dest = endpoint.dest;
        let health = endpoint.health;
        if health == before {
            return;
        }
        if before == Health::Healthy {
            self.draw_slow_start_budget(dest, &address);
        }
        if health == Health::Ejected {
            self.eject_silent_siblings(now, dest, address);
        }
        let (addr, port) = (address.addr, address.port);
        self.log(format!(
            "dest {dest} endpoint {addr:?}:{port} {health:?} ({outcome:?})"
        ));
    }

    /// Ejects the siblings of an ejected endpoint that have not answered since its failures began:
    /// most outages affect all endpoints of a destination, so these siblings need a trial as well.
    /// Where there are routes, only siblings in the same zone are ejected: a zone of a later rank
    /// is seldom called, so that its silence says nothing.
    fn eject_silent_siblings(&mut self, now: Nanos, dest: DestinationId, address: EndpointAddress) {
        let endpoint = &self.endpoints[&address];
        let failing_since = endpoint.failing_since;
        let only_zone = self.routes.as_ref().map(|_| endpoint.zone);
        for sibling in &self.destinations[&dest].endpoints {
            if *sibling == address {
                continue;
            }
            let Some(endpoint) = self.endpoints.get_mut(sibling) else {
                continue;
            };
            let is_silent = endpoint.last_answer_at < failing_since;
            let in_zone = only_zone.is_none_or(|zone| zone == endpoint.zone);
            if endpoint.health == Health::Healthy && is_silent && in_zone {
                endpoint.eject_with_siblings(now);
            }
        }
    }
}

/// Whether an attempt with this outcome may still take effect.
fn may_still_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
    )
}
