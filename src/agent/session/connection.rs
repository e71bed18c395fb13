//! Which replica the agent is connected to: attempts in turn, backoff, redirects to the leader.
//!
//! Owns the connection's state and number. The connection itself is made and closed by whoever
//! carries out the effects.
//!
//! Invariant: messages of a connection that was given up are ignored, as its number is not the
//! current one any more.

use super::{AttemptDemand, SessionEffect, SessionState};
use crate::coordination::messages::{AgentTableMessage, AgentToReplica};
use crate::dispatch::statistics::{MS, SEC};
use crate::Nanos;

/// A replica that has not answered for so long (ns), or for so many report intervals, whichever is
/// longer, is given up.
const ANSWER_TIMEOUT: Nanos = SEC;
const ANSWER_TIMEOUT_REPORTS: u64 = 4;
/// First and longest backoff after a replica that could not be asked (ns). It doubles with each
/// failure in a row, and half of it is drawn, so that agents do not come in step.
const MIN_BACKOFF: Nanos = 100 * MS;
const MAX_BACKOFF: Nanos = 2 * SEC;
/// Doublings after which the backoff has passed its longest.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// A redirect is followed within this time (ns), drawn, so that agents do not come in step.
const MAX_REDIRECT_DELAY: Nanos = 20 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    /// None is open; the next one is opened then.
    Waiting { until: Nanos },
    /// Opened then, and not answered yet.
    Connecting { since: Nanos },
    /// The leader has renewed the lease on it.
    Established,
}

/// The connection to a replica.
#[derive(Debug)]
pub(super) struct Connection {
    state: ConnectionState,
    /// Number of the newest connection.
    pub(super) number: u64,
    /// When it was opened.
    pub(super) opened: Nanos,
    /// The replica that is asked, as a position in the configuration.
    replica: usize,
    /// Failures in a row.
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

    /// Whether one is open, answered or not.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.state, ConnectionState::Waiting { .. })
    }

    /// Whether the leader has answered on it.
    pub(super) fn is_established(&self) -> bool {
        self.state == ConnectionState::Established
    }

    /// Whether the connection of that number is the one that is open.
    pub(super) fn is_current(&self, number: u64) -> bool {
        number == self.number && self.is_open()
    }

    /// The leader has answered.
    pub(super) fn establish(&mut self) {
        self.state = ConnectionState::Established;
        self.failures = 0;
        self.redirects = 0;
    }

    /// No connection is opened any more.
    pub(super) fn close_for_good(&mut self) {
        self.state = ConnectionState::Waiting { until: Nanos::MAX };
    }
}

impl SessionState {
    fn answer_timeout(&self) -> Nanos {
        ANSWER_TIMEOUT.max(ANSWER_TIMEOUT_REPORTS * self.config.report_interval)
    }

    /// Number of the replica that is asked.
    pub(super) fn replica(&self) -> u64 {
        self.config.replicas[self.connection.replica]
    }

    /// When the connection needs something at the latest.
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

    /// Opens the connection, gives it up, or sends a heartbeat on it, as is due.
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

    /// Opens a connection to the replica whose turn it is, and opens a session on it.
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

    /// The connection of that number is gone.
    pub fn on_connection_lost(&mut self, now: Nanos, connection: u64) {
        if self.connection.is_current(connection) {
            self.back_off_to_next_replica(now);
        }
    }

    /// The replica does not lead; it names the one that does, where it knows.
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

    /// Closes the connection and opens one to the same replica.
    pub(super) fn reconnect(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        self.connect_to_next_replica(now, self.connection.replica, effects);
    }

    /// Closes the connection and opens one to this replica soon, unless that goes round in circles.
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
