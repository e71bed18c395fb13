//! A sender's session with the coordination replicas, as a state machine.
//!
//! Owns the connection's state, the lease, the reports, the zone evacuations in force and the
//! registers of policies and routing tables. It does no I/O and has no clock: [`super::Agent`] (and
//! tests) bring the time and what arrives, and carry out the [`SessionEffect`]s.
//!
//! - [`connection`]: which replica is connected to, backoff, redirects to the leader.
//! - [`lease`]: how long the session is believed, and what the sender does without one.
//! - [`reports`]: heartbeats that renew the lease, with counts and demand for leased attempts.
//! - [`evacuations`]: the zones that the record evacuates, and grants of leased attempts.
//! - [`documents`]: policies and routing tables, and whether messages may be accepted.
//!
//! **A message is sent once on a connection.** What was not answered there is sent again on the
//! next one, a report under the number that it had: replicas count each number once. A second
//! answer, or one that comes late, therefore counts from the first sending, and lengthens no lease.

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

/// A sender that starts says that it is standalone once no replica has answered for so long (ns).
const START_GRACE: Nanos = 3 * SEC;

/// What a session needs to know of its sender and of the replicas.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// The sender's name.
    pub sender: String,
    /// Drawn at the start of the process: its incarnation.
    pub boot: u64,
    /// Name of the zone that the sender runs in.
    pub zone: String,
    /// Numbers of the coordination replicas, one at least.
    pub replicas: Vec<u64>,
    /// Interval between two reports (ns).
    pub report_interval: Nanos,
    /// An evacuated zone that nobody orders evacuated any more is returned to over this time (ns).
    pub warm_after: Nanos,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEffect {
    /// Open a connection to a replica. What is sent on it waits until it is up.
    Connect {
        /// Number of the connection, never used before.
        connection: u64,
        /// Number of the replica.
        replica: u64,
    },
    /// Close the connection.
    Disconnect,
    /// Send this on the connection.
    Send(AgentToReplica),
    /// Replace all zone evacuations by these.
    SetEvacuations(Vec<ZoneEvacuation>),
    /// Lease attempts under an evacuation.
    GrantLease {
        /// Name of the zone.
        zone: String,
        /// The destination.
        dest: u16,
        /// Epoch of the evacuation order.
        epoch: u64,
        /// How many.
        attempts: u32,
        /// By when they have to start (ns).
        until: Nanos,
    },
    /// Check a document and store it; [`SessionState::on_document_checked`] is told the result.
    CheckDocument {
        /// Its kind.
        kind: DocumentKind,
        /// Its number.
        number: u64,
        /// Its digest.
        digest: Digest,
        /// Its text.
        text: String,
    },
    /// Accept messages, or not, as this says from now on.
    SetAdmission(AdmissionRequirement),
    /// Log this for the operators.
    Log(String),
}

/// What the sender knows of its demand for leased attempts.
pub trait AttemptDemand {
    /// Messages for a destination that wait for an attempt.
    fn waiting_messages(&self, dest: u16) -> u32;
    /// Attempts that are leased for a zone and destination and have not started.
    fn leased_attempts_left(&self, zone: &str, dest: u16) -> u32;
}

/// The state of one agent's session.
#[derive(Debug)]
pub struct SessionState {
    config: SessionConfig,
    random: Random,
    started: Nanos,
    /// What the sender's calls came to since they were last reported.
    pub statistics: CallStatistics,
    connection: Connection,
    lease: Lease,
    reports: Reports,
    evacuations: Evacuations,
    documents: Documents,
}

impl SessionState {
    /// An agent that starts, at a time `now` (ns). The seed keeps it out of step with others.
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

    /// Follows the documents of this register.
    pub fn with_register(mut self, register: Register) -> SessionState {
        self.documents.follow(register);
        self
    }

    /// When [`SessionState::on_tick`] has to be called at the latest (ns).
    pub fn next_deadline(&self) -> Nanos {
        let connection = self.connection_deadline();
        let lease = self.lease_deadline().unwrap_or(Nanos::MAX);
        let start = match self.lease.is_standalone() && !self.lease.is_standalone_logged {
            true => self.started + START_GRACE,
            false => Nanos::MAX,
        };
        connection.min(lease).min(start)
    }

    /// Does what is due by now.
    pub fn on_tick(
        &mut self,
        now: Nanos,
        demand: &dyn AttemptDemand,
        effects: &mut Vec<SessionEffect>,
    ) {
        self.fence_if_lease_lapsed(now, effects);
        self.go_standalone_if_lease_lapsed(now, effects);
        self.log_standalone(now, effects);
        self.drive_connection(now, demand, effects);
        self.update_admission(now, effects);
    }

    /// Takes in a message that came on the connection of that number.
    pub fn on_message(
        &mut self,
        now: Nanos,
        connection: u64,
        message: ReplicaToAgent,
        effects: &mut Vec<SessionEffect>,
    ) {
        self.fence_if_lease_lapsed(now, effects);
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

    /// The sender ends: says so, where a session is established.
    pub fn leave(&mut self, effects: &mut Vec<SessionEffect>) {
        if self.connection.is_established() {
            effects.push(SessionEffect::Send(AgentToReplica::CloseSession));
        }
        self.connection.close_for_good();
    }
}

#[cfg(test)]
mod tests;
