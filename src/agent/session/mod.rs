//! A sender's session with the coordination replicas, as a state machine.
//!
//! Owns the connection's state, the lease, the reports, the active zone evacuations and the
//! registers of policies and routing tables. It does no I/O and has no clock: [`super::Agent`] (and
//! tests) pass in the time and the received messages, and carry out the [`SessionEffect`]s.
//!
//! - [`connection`]: choice of the replica, backoff, redirects to the leader.
//! - [`lease`]: trusted duration of the session, and the behavior without one.
//! - [`reports`]: heartbeats that renew the lease, with counts and demand for leased attempts.
//! - [`evacuations`]: zones that the record evacuates, and grants of leased attempts.
//! - [`documents`]: policies and routing tables, and whether messages may be accepted.
//!
//! **A message is sent once on a connection.** An unanswered message is sent again on the next
//! connection, and a report keeps its number: replicas count each number once. A duplicate or late
//! answer therefore counts from the first sending, and extends no lease.

mod connection;
mod documents;
mod evacuations;
mod lease;
mod reports;

pub use documents::AdmissionRequirement;
pub use evacuations::ZoneEvacuation;

use crate::agent::call_statistics::CallStatistics;
use crate::agent::register::{DocumentKind, Register};
use crate::coordination::messages::{
    AgentToReplica, Digest, ReplicaTableMessage, ReplicaToAgent, SiteAdmission,
};
use crate::dispatch::statistics::{from_secs, to_secs, Random, SEC};
use crate::Nanos;
use connection::Connection;
use documents::Documents;
use evacuations::Evacuations;
use lease::Lease;
use reports::Reports;

/// Time (ns) without an answer from any replica after which a sender that starts logs that it is
/// standalone.
const START_GRACE: Nanos = 3 * SEC;

/// Configuration of a session: its sender and the replicas.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// The sender's name.
    pub sender: String,
    /// Incarnation of the sender, drawn at the start of the process.
    pub boot: u64,
    /// Name of the zone that the sender runs in.
    pub zone: String,
    /// Numbers of the coordination replicas, at least one.
    pub replicas: Vec<u64>,
    /// Interval between two reports (ns).
    pub report_interval: Nanos,
    /// Time (ns) over which the sender returns to an evacuated zone that is no longer ordered
    /// evacuated.
    pub warm_after: Nanos,
}

/// Actions for the caller, to be carried out in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEffect {
    /// Open a connection to a replica. Messages that are sent before it is established wait.
    Connect {
        /// Number of the connection, never used before.
        connection: u64,
        /// Number of the replica.
        replica: u64,
    },
    /// Close the connection.
    Disconnect,
    /// Send this message on the connection.
    Send(AgentToReplica),
    /// Replace all zone evacuations by these.
    SetEvacuations(Vec<ZoneEvacuation>),
    /// Grant leased attempts under an evacuation.
    GrantLease {
        /// Name of the zone.
        zone: String,
        /// Destination of the attempts.
        dest: u16,
        /// Epoch of the evacuation order.
        epoch: u64,
        /// Number of attempts.
        attempts: u32,
        /// Time (ns) by which the attempts have to start.
        until: Nanos,
    },
    /// Check a document and store it, and pass the result to [`SessionState::on_document_checked`].
    CheckDocument {
        /// Kind of the document.
        kind: DocumentKind,
        /// Number of the document.
        number: u64,
        /// Digest of the document.
        digest: Digest,
        /// Text of the document.
        text: String,
    },
    /// Open or close admission accordingly from now on.
    SetAdmission(AdmissionRequirement),
    /// Log this line for the operators.
    Log(String),
}

/// Source of the sender's demand for leased attempts.
pub trait AttemptDemand {
    /// Returns the number of messages for a destination that wait for an attempt.
    fn waiting_messages(&self, dest: u16) -> u32;
    /// Returns the number of leased attempts for a zone and destination that have not started.
    fn leased_attempts_left(&self, zone: &str, dest: u16) -> u32;
}

/// The state of one agent's session.
#[derive(Debug)]
pub struct SessionState {
    config: SessionConfig,
    random: Random,
    started: Nanos,
    /// Statistics of the sender's calls since the last report.
    pub statistics: CallStatistics,
    connection: Connection,
    lease: Lease,
    reports: Reports,
    evacuations: Evacuations,
    documents: Documents,
}

impl SessionState {
    /// Creates the session of an agent that starts at the time `now` (ns). The seed desynchronizes
    /// it from other agents.
    pub fn new(config: SessionConfig, seed: u64, now: Nanos) -> SessionState {
        let mut random = Random::new(seed);
        let replica = (random.draw() * config.replicas.len() as f64) as usize;
        let connect_at = now + from_secs(random.draw() * to_secs(config.report_interval));
        SessionState {
            config,
            random,
            started: now,
            statistics: CallStatistics::default(),
            connection: Connection::new(replica, connect_at, now),
            lease: Lease::standalone(now),
            reports: Reports::new(now),
            evacuations: Evacuations::default(),
            documents: Documents::default(),
        }
    }

    /// Adds a register, whose documents the session then follows.
    pub fn with_register(mut self, register: Register) -> SessionState {
        self.documents.follow(register);
        self
    }

    /// Returns the time (ns) by which [`SessionState::on_tick`] has to be called next.
    pub fn next_deadline(&self) -> Nanos {
        let connection = self.connection_deadline();
        let lease = self.lease_deadline().unwrap_or(Nanos::MAX);
        let start = match self.lease.is_standalone() && !self.lease.is_standalone_logged {
            true => self.started + START_GRACE,
            false => Nanos::MAX,
        };
        connection.min(lease).min(start)
    }

    /// Performs all actions that are due by now.
    pub fn on_tick(
        &mut self,
        now: Nanos,
        demand: &dyn AttemptDemand,
        effects: &mut Vec<SessionEffect>,
    ) {
        self.fence_if_lease_expired(now, effects);
        self.go_standalone_if_lease_expired(now, effects);
        self.log_standalone(now, effects);
        self.drive_connection(now, demand, effects);
        self.update_admission(now, effects);
    }

    /// Handles a message that was received on the connection of that number.
    pub fn on_message(
        &mut self,
        now: Nanos,
        connection: u64,
        message: ReplicaToAgent,
        effects: &mut Vec<SessionEffect>,
    ) {
        self.fence_if_lease_expired(now, effects);
        if self.connection.is_current(connection) {
            self.dispatch_message(now, connection, message, effects);
        }
        self.update_admission(now, effects);
    }

    fn dispatch_message(
        &mut self,
        now: Nanos,
        connection: u64,
        message: ReplicaToAgent,
        effects: &mut Vec<SessionEffect>,
    ) {
        match message {
            ReplicaToAgent::NotLeader(leader) => self.on_redirect(now, leader, effects),
            ReplicaToAgent::UnknownSession => self.reconnect(now, effects),
            ReplicaToAgent::LeaseRenewed { report, lease_ms } => {
                self.on_lease_renewed(now, report, lease_ms, effects);
            }
            ReplicaToAgent::View(view) => self.on_view(now, view, effects),
            ReplicaToAgent::GrantAttempts(grant) => self.on_grant(now, connection, grant, effects),
            ReplicaToAgent::OfferPolicy {
                number,
                digest,
                text,
            } => {
                let offer = ReplicaTableMessage::OfferTable {
                    number,
                    digest,
                    text,
                };
                self.on_register_message(DocumentKind::Policy, offer, effects);
            }
            ReplicaToAgent::ApplyPolicy {
                turn,
                number,
                paused,
            } => {
                let rule = ReplicaTableMessage::ApplyTable {
                    turn,
                    number,
                    admission: if paused {
                        SiteAdmission::Paused
                    } else {
                        SiteAdmission::Open
                    },
                };
                self.on_register_message(DocumentKind::Policy, rule, effects);
            }
            ReplicaToAgent::RoutingTable(message) => {
                self.on_register_message(DocumentKind::Table, message, effects);
            }
        }
    }

    /// Ends the session: tells the leader, where a session is established, and opens no further
    /// connection.
    pub fn leave(&mut self, effects: &mut Vec<SessionEffect>) {
        if self.connection.is_established() {
            effects.push(SessionEffect::Send(AgentToReplica::CloseSession));
        }
        self.connection.close_for_good();
    }
}

#[cfg(test)]
mod tests;
