//! Messages of the senders' agents to the leader: one function per kind of message.

use crate::coordination::leader::orders::propose_policy_change;
use crate::coordination::leader::sessions::SessionRequest;
use crate::coordination::leader::{ConnectionId, Effect, LeaderDuties};
use crate::coordination::messages::{
    AgentToReplica, AttemptLeaseGrant, AttemptLeaseRequest, ListedZoneCapacity,
    MessageOutcomeCounts, ReplicaToAgent, ZoneCallCounts,
};
use crate::coordination::record::Record;
use crate::Nanos;

/// Maximum number of entries that are read of a report's call counts, and of its lease requests: 50
/// zones with 80 destinations.
const MAX_REPORT_ENTRIES: usize = 4_000;
/// Number of reports that an agent sends per second.
const REPORTS_PER_SECOND: f32 = 5.0;
/// Multiple of the average load per sender up to which a sender's load counts. A fifth of a fleet
/// has three to five times the average; few senders have more.
const MAX_UNEVENNESS: f32 = 20.0;
/// Share of a destination's listed rate up to which a sender's load counts, even if there are few
/// senders.
const MAX_LOAD_SHARE: f32 = 0.5;

/// A report of an agent.
struct Report<'a> {
    /// Number of the report among those of the sender's process.
    number: u64,
    /// Version of the record that the sender applies.
    record_version: u64,
    call_counts: &'a [ZoneCallCounts],
    listed: Option<&'a [ListedZoneCapacity]>,
    lease_requests: &'a [AttemptLeaseRequest],
    outcomes: &'a [MessageOutcomeCounts],
}

impl LeaderDuties {
    /// Handles a message of an agent.
    pub fn on_agent_message(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        message: &AgentToReplica,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            AgentToReplica::OpenSession {
                sender,
                boot,
                zone,
                record_version,
                stored,
            } => {
                let request = SessionRequest {
                    sender,
                    boot: *boot,
                    home_zone: zone,
                    record_version: *record_version,
                    stored_policies: stored.as_deref(),
                };
                self.on_session_request(now, connection, request, record, effects);
            }
            AgentToReplica::Report {
                report,
                record_version,
                call_counts,
                listed,
                lease_requests,
                outcomes,
            } => {
                let report = Report {
                    number: *report,
                    record_version: *record_version,
                    call_counts,
                    listed: listed.as_deref(),
                    lease_requests,
                    outcomes,
                };
                self.on_report(now, connection, &report, record, effects);
            }
            AgentToReplica::PolicyChecked { number, refused } => {
                let refused = refused.as_deref();
                self.on_policy_stored(connection, *number, refused, record, effects);
            }
            AgentToReplica::PolicyApplied { turn } => {
                self.on_policy_turn(now, connection, *turn, record, effects);
            }
            AgentToReplica::RoutingTable(message) => {
                self.on_table_message(now, connection, message, record, effects);
            }
            AgentToReplica::CloseSession => self.on_session_close(now, connection, effects),
        }
    }

    /// Handles a report. Every report renews the session; its content is counted once, even if the
    /// report arrives several times.
    fn on_report(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        report: &Report<'_>,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(sender) = self.connections.get(&connection) {
            self.cutover.on_report(sender);
        }
        let session = self
            .session_on_mut(connection)
            .filter(|session| session.is_open_on(connection));
        let Some(session) = session else {
            effects.push(Effect::Send(connection, ReplicaToAgent::UnknownSession));
            return;
        };
        session.record_version = report.record_version;
        let session_id = session.id;
        if report.number > session.last_report {
            session.last_report = report.number;
            self.record_counts(now, session_id, report);
            self.record_outcomes(now, connection, report, record);
        }
        self.renew(now, connection, report.number, record, effects);
        self.send_grants(now, effects);
    }

    /// Records a sender's call counts, endpoint list and lease requests.
    fn record_counts(&mut self, now: Nanos, session_id: u32, report: &Report<'_>) {
        let call_counts = &report.call_counts[..report.call_counts.len().min(MAX_REPORT_ENTRIES)];
        let lease_requests =
            &report.lease_requests[..report.lease_requests.len().min(MAX_REPORT_ENTRIES)];
        let senders = self.sessions.len().max(1) as f32;
        let max_share = (MAX_UNEVENNESS / senders).min(MAX_LOAD_SHARE);
        let lists = &self.endpoint_lists;
        let max_load = |zone: &str, destination: u16| {
            let listed = lists.capacity(zone, destination)?;
            Some(max_load_per_report(listed.rate_per_second, max_share))
        };
        self.evidence
            .record_report(now, session_id, call_counts, max_load);
        for counted in call_counts {
            self.recovery_ramp.record_results(
                now,
                session_id,
                &counted.zone,
                counted.dest,
                &counted.counts,
            );
        }
        if let Some(listed) = report.listed {
            self.endpoint_lists.report(session_id, listed);
        }
        self.recovery_ramp
            .request_grants(now, session_id, report.number, lease_requests);
    }

    /// Records the outcomes of a sender's messages for the rollout of policies.
    fn record_outcomes(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        report: &Report<'_>,
        record: &Record,
    ) {
        let member = self
            .connections
            .get(&connection)
            .and_then(|sender| record.roster.get(sender));
        if let Some(member) = member {
            self.roll
                .record_outcomes(now, &member.zone, report.outcomes, record);
        }
    }

    /// Handles a sender's report that it has stored or rejected a policy that it was offered.
    fn on_policy_stored(
        &mut self,
        connection: ConnectionId,
        number: u64,
        refused: Option<&str>,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        match self.sender_on(connection) {
            Some(sender) => self.roll.record_check(&sender, number, refused, record),
            None => effects.push(Effect::Send(connection, ReplicaToAgent::UnknownSession)),
        }
    }

    /// Handles a sender's report that it applies the policies of a turn.
    fn on_policy_turn(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        turn: u64,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let Some(sender) = self.sender_on(connection) else {
            effects.push(Effect::Send(connection, ReplicaToAgent::UnknownSession));
            return;
        };
        if let Some(change) = self.roll.record_applied(now, &sender, turn, record) {
            effects.push(propose_policy_change(record, change));
        }
    }

    /// Sends the grants that are due to the senders that have a connection.
    pub(super) fn send_grants(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let sender_names = &self.sender_names;
        let sessions = &self.sessions;
        self.recovery_ramp
            .issue_grants(now, |session_id, grant: AttemptLeaseGrant| {
                let connection = sender_names
                    .get(&session_id)
                    .and_then(|sender| sessions.get(sender))
                    .and_then(|session| session.open_connection());
                if let Some(connection) = connection {
                    effects.push(Effect::Send(
                        connection,
                        ReplicaToAgent::GrantAttempts(grant),
                    ));
                }
            });
    }
}

/// Returns the maximum number of accepted calls of one report that count as load of a destination:
/// `max_share` of its listed rate, and at least one. All count if no rate is listed.
fn max_load_per_report(listed_per_second: f64, max_share: f32) -> f32 {
    let max_load = listed_per_second as f32 / REPORTS_PER_SECOND * max_share;
    if max_load > 0.0 {
        max_load.max(1.0)
    } else {
        f32::INFINITY
    }
}
