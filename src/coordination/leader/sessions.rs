//! Sessions of senders: their start, their move to another connection, and their end.
//!
//! A session begins when the sender's [`Command::AddSender`] is applied to the record and ends when
//! its [`Command::ExpireSender`] is, so every later leader knows of it. This module owns the maps
//! between senders, connections and session ids. Renewal of a session's lease is in `leases`; the
//! messages of a session are handled in `agent_messages` and `announce`.

use crate::coordination::leader::{ConnectionId, Effect, LeaderDuties, PROPOSAL_TIMEOUT};
use crate::coordination::messages::{AgentTableMessage, Digest, ReplicaToAgent};
use crate::coordination::record::{Command, Record};
use crate::coordination::sender_registry::MAX_OFFERS_PER_ROUND;
use crate::Nanos;

/// Nanoseconds for which the end of an ending session is not proposed again while its sender joins
/// anew: an end that is applied after the new session has begun would end the new session.
const END_SUSPENSION: Nanos = 60 * PROPOSAL_TIMEOUT;

/// State of a sender that is live in the record, as the leader sees it.
#[derive(Clone, Debug)]
pub(super) struct Session {
    /// Unique within a term.
    pub(super) id: u32,
    /// Identifier of the sender's process.
    pub(super) boot: u64,
    pub(super) connection: Option<ConnectionId>,
    /// Time at which the lease expires by the leader's clock.
    pub(super) lease_until: Nanos,
    /// Highest number of a report that was counted.
    pub(super) last_report: u64,
    /// Report that is not answered yet because leadership is not proved.
    pub(super) unanswered_report: Option<u64>,
    /// Version of the record that the sender applies.
    pub(super) record_version: u64,
    /// Last view that was sent over this connection.
    pub(super) last_view: Option<SentView>,
    /// Whether the end of the session has been proposed.
    pub(super) is_ending: bool,
}

/// A view of the record that was sent to a sender.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentView {
    pub(super) version: u64,
    pub(super) sent_at: Nanos,
}

impl Session {
    /// Returns the connection on which messages can be sent to the sender, unless the session is
    /// ending.
    pub(super) fn open_connection(&self) -> Option<ConnectionId> {
        self.connection.filter(|_| !self.is_ending)
    }

    pub(super) fn is_open_on(&self, connection: ConnectionId) -> bool {
        self.open_connection() == Some(connection)
    }
}

/// A sender that requested a session which has not been applied to the record yet.
#[derive(Clone, Debug)]
pub(super) struct JoiningSender {
    boot: u64,
    connection: ConnectionId,
    record_version: u64,
    pub(super) requested_at: Nanos,
    stored_policies: Option<Vec<(u64, Digest)>>,
    /// Routing tables that it has stored, once it has reported them.
    stored_tables: Option<Vec<(u64, Digest)>>,
}

/// A sender's request for a session.
pub(super) struct SessionRequest<'a> {
    pub(super) sender: &'a str,
    pub(super) boot: u64,
    pub(super) home_zone: &'a str,
    pub(super) record_version: u64,
    pub(super) stored_policies: Option<&'a [(u64, Digest)]>,
}

/// A sender that joined, as applied to the record.
pub(super) struct JoinedSender<'a> {
    pub(super) name: &'a str,
    pub(super) boot: u64,
    pub(super) home_zone: &'a str,
}

impl LeaderDuties {
    /// Adds a session without a connection and replaces any earlier one of the sender.
    pub(super) fn add_session(
        &mut self,
        sender: &str,
        boot: u64,
        home_zone: &str,
        lease_until: Nanos,
    ) {
        self.remove_session(sender);
        let id = self.next_session_id;
        self.next_session_id = self.next_session_id.wrapping_add(1);
        self.sender_names.insert(id, sender.into());
        self.evidence.add_reporter(id, home_zone);
        let session = Session {
            id,
            boot,
            connection: None,
            lease_until,
            last_report: 0,
            unanswered_report: None,
            record_version: 0,
            last_view: None,
            is_ending: false,
        };
        self.sessions.insert(sender.into(), session);
    }

    fn remove_session(&mut self, sender: &str) {
        let Some(session) = self.sessions.remove(sender) else {
            return;
        };
        self.sender_names.remove(&session.id);
        self.evidence.remove_reporter(session.id);
        self.endpoint_lists.remove_sender(session.id);
        self.roll.close_session(sender);
        self.cutover.on_session_closed(sender);
    }

    /// Returns the session that uses a connection, also if the session is ending.
    pub(super) fn session_on_mut(&mut self, connection: ConnectionId) -> Option<&mut Session> {
        let sender = self.connections.get(&connection)?;
        self.sessions.get_mut(sender)
    }

    /// Returns the sender whose open session uses a connection.
    pub(super) fn sender_on(&self, connection: ConnectionId) -> Option<String> {
        let sender = self.connections.get(&connection)?;
        let session = self.sessions.get(sender)?;
        session.is_open_on(connection).then(|| sender.clone())
    }

    /// Returns the connection on which messages can be sent to a sender that has a session.
    pub(super) fn connection_of(&self, sender: &str) -> Option<ConnectionId> {
        self.sessions.get(sender)?.open_connection()
    }

    /// Returns the sender that requested a session on a connection and has none yet.
    fn joining_on_mut(&mut self, connection: ConnectionId) -> Option<&mut JoiningSender> {
        self.joining
            .values_mut()
            .find(|joining| joining.connection == connection)
    }

    /// Whether a sender has requested a session on a connection and has none yet.
    pub(super) fn is_joining_on(&self, connection: ConnectionId) -> bool {
        self.joining
            .values()
            .any(|joining| joining.connection == connection)
    }

    /// Keeps the routing tables that a sender reports as stored until its session is applied to the
    /// record.
    pub(super) fn keep_tables_of_joining(
        &mut self,
        connection: ConnectionId,
        tables: &[(u64, Digest)],
    ) {
        if let Some(joining) = self.joining_on_mut(connection) {
            joining.stored_tables = Some(tables.to_vec());
        }
    }

    /// Handles a sender's request for a session: resumes an existing session or proposes a new one.
    pub(super) fn on_session_request(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        request: SessionRequest<'_>,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        if self.has_session(&request, record) {
            self.resume_session(now, connection, request, record, effects);
        } else if self.has_room_for(request.sender) {
            self.propose_session(now, connection, request, effects);
        } else {
            log::warn!(
                "sender not admitted: the limit of sessions is reached sender={} limit={}",
                request.sender,
                self.rules.max_senders
            );
            effects.push(Effect::Send(connection, ReplicaToAgent::NotLeader(None)));
        }
    }

    /// Whether both the record and the leader have the requested session, of the same process.
    fn has_session(&self, request: &SessionRequest<'_>, record: &Record) -> bool {
        let is_live = record.roster.get(request.sender).is_some_and(|member| {
            member.live && member.boot == request.boot && member.zone == request.home_zone
        });
        let session = self.sessions.get(request.sender);
        is_live && session.is_some_and(|s| s.boot == request.boot && !s.is_ending)
    }

    fn has_room_for(&self, sender: &str) -> bool {
        self.sessions.len() + self.joining.len() < self.rules.max_senders
            || self.sessions.contains_key(sender)
            || self.joining.contains_key(sender)
    }

    /// Resumes a session over another connection.
    fn resume_session(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        request: SessionRequest<'_>,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let sender = request.sender;
        let Some(session) = self.sessions.get_mut(sender) else {
            return;
        };
        let previous = session.connection.replace(connection);
        session.record_version = request.record_version;
        session.last_view = None;
        if let Some(previous) = previous.filter(|previous| *previous != connection) {
            self.connections.remove(&previous);
        }
        self.connections.insert(connection, sender.to_string());
        self.roll
            .open_session(sender, request.boot, request.stored_policies);
        self.cutover.on_session_opened(sender, request.boot);
        // The sender gets the active policies before its lease is renewed.
        self.announce_policies(now, sender, record, &mut { MAX_OFFERS_PER_ROUND }, effects);
        self.renew(now, connection, 0, record, effects);
    }

    /// Proposes a session, and proposes it again if the proposal is older than
    /// [`PROPOSAL_TIMEOUT`] and so counts as lost.
    fn propose_session(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        request: SessionRequest<'_>,
        effects: &mut Vec<Effect>,
    ) {
        let proposed_at = self
            .joining
            .get(request.sender)
            .filter(|joining| joining.boot == request.boot)
            .map(|joining| joining.requested_at)
            .filter(|at| now < at + PROPOSAL_TIMEOUT);
        if proposed_at.is_none() {
            self.suspend_end(now, request.sender);
            effects.push(Effect::Propose(Command::AddSender {
                sender: request.sender.to_string(),
                boot: request.boot,
                zone: request.home_zone.to_string(),
            }));
        }
        let joining = JoiningSender {
            boot: request.boot,
            connection,
            record_version: request.record_version,
            requested_at: proposed_at.unwrap_or(now),
            stored_policies: request.stored_policies.map(<[_]>::to_vec),
            stored_tables: None,
        };
        self.joining.insert(request.sender.to_string(), joining);
    }

    /// Suspends the repeated proposal of an ending session's end, as its sender joins anew.
    fn suspend_end(&mut self, now: Nanos, sender: &str) {
        if let Some(session) = self.sessions.get_mut(sender) {
            if session.is_ending {
                session.lease_until = now + END_SUSPENSION;
            }
        }
    }

    /// Handles a sender's join that was applied to the record, or that the full roster rejected.
    pub(super) fn on_sender_added(
        &mut self,
        now: Nanos,
        joined: JoinedSender<'_>,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let sender = joined.name;
        let is_live = record
            .roster
            .get(sender)
            .is_some_and(|member| member.live && member.boot == joined.boot);
        if !is_live {
            self.reject_joining(sender, joined.boot, effects);
            return;
        }
        self.begin_or_keep_session(now, &joined);
        let is_of_this_process = |joining: &JoiningSender| joining.boot == joined.boot;
        if self.joining.get(sender).is_some_and(is_of_this_process) {
            if let Some(joining) = self.joining.remove(sender) {
                self.connect_session(now, sender, joining, record, effects);
            }
        }
    }

    /// Rejects a sender's request for a session, as the roster is full of live senders.
    fn reject_joining(&mut self, sender: &str, boot: u64, effects: &mut Vec<Effect>) {
        let rejected = self.joining.remove(sender);
        if let Some(rejected) = rejected.filter(|joining| joining.boot == boot) {
            let elsewhere = ReplicaToAgent::NotLeader(None);
            effects.push(Effect::Send(rejected.connection, elsewhere));
        }
    }

    /// Adds the session of a sender that joined, unless the leader has it already.
    fn begin_or_keep_session(&mut self, now: Nanos, joined: &JoinedSender<'_>) {
        let session = self.sessions.get(joined.name);
        let kept = session.filter(|s| s.boot == joined.boot && !s.is_ending);
        if let Some(session) = kept {
            self.evidence.add_reporter(session.id, joined.home_zone);
            return;
        }
        if let Some(connection) = session.and_then(|session| session.connection) {
            self.connections.remove(&connection);
        }
        let lease_until = self.lease_until(now);
        self.add_session(joined.name, joined.boot, joined.home_zone, lease_until);
    }

    /// Attaches the connection to a session that has been applied to the record, and sends the
    /// first messages.
    fn connect_session(
        &mut self,
        now: Nanos,
        sender: &str,
        joining: JoiningSender,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let connection = joining.connection;
        if let Some(session) = self.sessions.get_mut(sender) {
            session.connection = Some(connection);
            session.record_version = joining.record_version;
        }
        self.connections.insert(connection, sender.to_string());
        let stored_policies = joining.stored_policies.as_deref();
        self.roll
            .open_session(sender, joining.boot, stored_policies);
        self.cutover.on_session_opened(sender, joining.boot);
        self.announce_policies(now, sender, record, &mut { MAX_OFFERS_PER_ROUND }, effects);
        if let Some(tables) = joining.stored_tables {
            let message = AgentTableMessage::StoredTables(tables);
            self.take_table_message(now, sender, &message, record, effects);
        }
        self.renew(now, connection, 0, record, effects);
    }

    /// Handles a sender's request to end its session.
    pub(super) fn on_session_close(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(sender) = self.connections.remove(&connection) else {
            return;
        };
        let Some(session) = self.sessions.get_mut(&sender) else {
            return;
        };
        session.is_ending = true;
        session.connection = None;
        // The end is proposed again after this time if the proposal is lost.
        session.lease_until = now + PROPOSAL_TIMEOUT;
        let boot = session.boot;
        effects.push(Effect::Propose(Command::ExpireSender { sender, boot }));
    }

    /// Handles the end of a session that was applied to the record. Invariant: it ends no session
    /// of a later process.
    pub(super) fn on_sender_expired(&mut self, sender: &str, boot: u64, record: &Record) {
        let Some(session) = self.sessions.get(sender).filter(|s| s.boot == boot) else {
            return;
        };
        if record.roster.get(sender).is_some_and(|member| member.live) {
            return;
        }
        if let Some(connection) = session.connection {
            self.connections.remove(&connection);
        }
        self.remove_session(sender);
    }

    /// Handles the loss of a connection. Its session continues until the lease expires; orders of
    /// an operator that are pending on the connection get no answer.
    pub fn on_disconnect(&mut self, connection: ConnectionId) {
        if let Some(sender) = self.connections.remove(&connection) {
            if let Some(session) = self.sessions.get_mut(&sender) {
                session.connection = session.connection.filter(|own| *own != connection);
            }
        }
        self.joining
            .retain(|_, joining| joining.connection != connection);
        self.forget_orders_on(connection);
    }

    /// Removes the connections of sessions that are ending or have ended.
    pub(super) fn drop_connections_without_session(&mut self) {
        let sessions = &self.sessions;
        self.connections
            .retain(|_, sender| sessions.get(sender).is_some_and(|s| !s.is_ending));
    }
}
