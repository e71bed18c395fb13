//! The agent's connection to a replica: attempts in turn, backoff, redirects to the leader.
//!
//! Owns the connection's state and number. The code that carries out the effects opens and closes
//! the connection itself.
//!
//! Invariant: messages of a connection that was given up are ignored, as its number is no longer
//! the current one.

use super::{AttemptDemand, SessionEffect, SessionState};
use crate::coordination::messages::{AgentTableMessage, AgentToReplica};
use crate::dispatch::statistics::{MS, SEC};
use crate::Nanos;

/// A replica is given up after this time (ns) without an answer, or after this number of report
/// intervals, whichever is longer.
const ANSWER_TIMEOUT: Nanos = SEC;
const ANSWER_TIMEOUT_REPORTS: u64 = 4;
/// Minimum and maximum backoff (ns) after a failed connection. It doubles with each consecutive
/// failure, and half of it is random, so that agents do not synchronize.
const MIN_BACKOFF: Nanos = 100 * MS;
const MAX_BACKOFF: Nanos = 2 * SEC;
/// Number of doublings after which the backoff exceeds its maximum.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Maximum random delay (ns) before a redirect is followed, so that agents do not synchronize.
const MAX_REDIRECT_DELAY: Nanos = 20 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    /// No connection is open; the next one is opened at `until`.
    Waiting { until: Nanos },
    /// The connection was opened at `since` and has not been answered yet.
    Connecting { since: Nanos },
    /// The leader has renewed the lease on this connection.
    Established,
}

/// State of the connection to a replica.
#[derive(Debug)]
pub(super) struct Connection {
    state: ConnectionState,
    /// Number of the newest connection.
    pub(super) number: u64,
    /// Time at which the newest connection was opened.
    pub(super) opened: Nanos,
    /// Current replica, as a position in the configuration.
    replica: usize,
    /// Consecutive failures.
    failures: u32,
    /// Redirects and reconnects since the last session.
    redirects: u32,
}

impl Connection {
    pub(super) fn new(replica: usize, connect_at: Nanos, now: Nanos) -> Connection {
        Connection {
            state: ConnectionState::Waiting { until: connect_at },
            number: 0,
            opened: now,
            replica,
            failures: 0,
            redirects: 0,
        }
    }

    /// Whether a connection is open, answered or not.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.state, ConnectionState::Waiting { .. })
    }

    /// Whether the leader has answered on the connection.
    pub(super) fn is_established(&self) -> bool {
        self.state == ConnectionState::Established
    }

    /// Whether the connection of that number is the open one.
    pub(super) fn is_current(&self, number: u64) -> bool {
        number == self.number && self.is_open()
    }

    /// Records that the leader has answered.
    pub(super) fn establish(&mut self) {
        self.state = ConnectionState::Established;
        self.failures = 0;
        self.redirects = 0;
    }

    /// Closes the connection; no further one is opened.
    pub(super) fn close_for_good(&mut self) {
        self.state = ConnectionState::Waiting { until: Nanos::MAX };
    }
}

impl SessionState {
    fn answer_timeout(&self) -> Nanos {
        ANSWER_TIMEOUT.max(ANSWER_TIMEOUT_REPORTS * self.config.report_interval)
    }

    /// Returns the number of the current replica.
    pub(super) fn replica(&self) -> u64 {
        self.config.replicas[self.connection.replica]
    }

    /// Returns the latest time at which the connection needs an action.
    pub(super) fn connection_deadline(&self) -> Nanos {
        match self.connection.state {
            ConnectionState::Waiting { until } => until,
            ConnectionState::Connecting { since } => since + self.answer_timeout(),
            ConnectionState::Established => match &self.reports.pending {
                None => self.reports.last_sent + self.config.report_interval,
                Some(pending) => match pending.sent {
                    None => 0,
                    Some(sent) => sent + self.answer_timeout(),
                },
            },
        }
    }

    /// Opens the connection, gives it up, or sends a heartbeat on it, whichever is due.
    pub(super) fn drive_connection(
        &mut self,
        now: Nanos,
        demand: &dyn AttemptDemand,
        effects: &mut Vec<SessionEffect>,
    ) {
        match self.connection.state {
            ConnectionState::Waiting { until } if now >= until => self.open(now, effects),
            ConnectionState::Connecting { since } if now >= since + self.answer_timeout() => {
                self.give_up(now, effects);
            }
            ConnectionState::Established => self.drive_heartbeat(now, demand, effects),
            ConnectionState::Waiting { .. } | ConnectionState::Connecting { .. } => {}
        }
    }

    fn drive_heartbeat(
        &mut self,
        now: Nanos,
        demand: &dyn AttemptDemand,
        effects: &mut Vec<SessionEffect>,
    ) {
        let is_due = match &self.reports.pending {
            None => now >= self.reports.last_sent + self.config.report_interval,
            Some(pending) => match pending.sent {
                None => true,
                Some(sent) if now >= sent + self.answer_timeout() => {
                    return self.give_up(now, effects);
                }
                Some(_) => false,
            },
        };
        if is_due {
            self.send_report(now, demand, effects);
        }
    }

    /// Opens a connection to the current replica, and a session on it.
    fn open(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        if !self.holds_lease(now) {
            self.documents.on_connecting_without_lease();
        }
        self.connection.number += 1;
        self.connection.opened = now;
        self.connection.state = ConnectionState::Connecting { since: now };
        self.evacuations.is_view_current = false;
        self.reports.on_connecting();
        effects.push(SessionEffect::Connect {
            connection: self.connection.number,
            replica: self.replica(),
        });
        effects.push(SessionEffect::Send(AgentToReplica::OpenSession {
            sender: self.config.sender.clone(),
            boot: self.config.boot,
            zone: self.config.zone.clone(),
            record_version: self.record_version(),
            stored: self.documents.stored_policies(),
        }));
        if let Some(tables) = self.documents.stored_tables() {
            let message = AgentToReplica::RoutingTable(AgentTableMessage::StoredTables(tables));
            effects.push(SessionEffect::Send(message));
        }
    }

    /// Handles the loss of the connection of that number.
    pub fn on_connection_lost(&mut self, now: Nanos, connection: u64) {
        if self.connection.is_current(connection) {
            self.back_off_to_next_replica(now);
        }
    }

    /// Handles the answer of a replica that is not the leader; `leader` is the leader, where the
    /// replica knows it.
    pub(super) fn on_redirect(
        &mut self,
        now: Nanos,
        leader: Option<u64>,
        effects: &mut Vec<SessionEffect>,
    ) {
        let replicas = &self.config.replicas;
        let leader = leader.and_then(|leader| replicas.iter().position(|r| *r == leader));
        match leader.filter(|leader| *leader != self.connection.replica) {
            Some(leader) => self.connect_to_next_replica(now, leader, effects),
            None => self.give_up(now, effects),
        }
    }

    /// Closes the connection and opens another one to the same replica.
    pub(super) fn reconnect(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        self.connect_to_next_replica(now, self.connection.replica, effects);
    }

    /// Closes the connection and opens one to this replica after a short delay. Gives up where
    /// there were too many redirects since the last session.
    fn connect_to_next_replica(
        &mut self,
        now: Nanos,
        replica: usize,
        effects: &mut Vec<SessionEffect>,
    ) {
        self.connection.redirects += 1;
        if self.connection.redirects as usize > self.config.replicas.len() + 1 {
            return self.give_up(now, effects);
        }
        effects.push(SessionEffect::Disconnect);
        let delay = (self.random.draw() * MAX_REDIRECT_DELAY as f64) as Nanos;
        self.connection.replica = replica;
        self.connection.state = ConnectionState::Waiting { until: now + delay };
    }

    fn give_up(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        effects.push(SessionEffect::Disconnect);
        self.back_off_to_next_replica(now);
    }

    fn back_off_to_next_replica(&mut self, now: Nanos) {
        let connection = &mut self.connection;
        let doublings = connection.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (MIN_BACKOFF << doublings).min(MAX_BACKOFF) as f64;
        let delay = (backoff * (0.5 + 0.5 * self.random.draw())) as Nanos;
        connection.replica = (connection.replica + 1) % self.config.replicas.len();
        connection.redirects = 0;
        connection.failures = connection.failures.saturating_add(1);
        connection.state = ConnectionState::Waiting { until: now + delay };
    }
}
