//! Messages between the agent in a sender and the replica that leads its site.
//!
//! The agent opens a session, renews its lease with every report, and answers offers of policies
//! and routing tables. The leader grants the lease and orders which policy and table to apply.

use super::Digest;
use serde::{Deserialize, Serialize};

/// Results of a sender's calls, as counts and not as verdicts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Delivered.
    pub delivered: u32,
    /// Rejected by the endpoint before it processed anything.
    pub rejected: u32,
    /// Answered with an error, or broken after the last byte of the request.
    pub failed: u32,
    /// Not answered in time.
    pub timed_out: u32,
    /// No connection could be made.
    pub connect_failed: u32,
    /// In flight now for longer than calls there usually take: a gauge, and not a count since the
    /// last report.
    pub hanging: u32,
}

/// Results of calls to one zone and destination since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneCallCounts {
    /// Zone of the endpoints.
    pub zone: String,
    /// Destination, as a position in the settings.
    pub dest: u16,
    /// Results of the calls.
    pub counts: CallCounts,
}

/// Capacity that a sender's endpoint list names for one zone and destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedZoneCapacity {
    /// Zone of the endpoints.
    pub zone: String,
    /// Destination, as a position in the settings.
    pub dest: u16,
    /// Endpoints that accept calls.
    pub endpoints: u32,
    /// Calls a second that these endpoints accept together, as listed.
    pub calls_per_second: f32,
}

/// Messages from an agent to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentToReplica {
    /// Opens a session or resumes it on another connection. A sender that restarts has another
    /// `boot`.
    OpenSession {
        /// Name of the sender.
        sender: String,
        /// Random number that is drawn when the sender's process starts.
        boot: u64,
        /// Zone of the sender.
        zone: String,
        /// Version of the record that the sender has; 0 for none.
        record_version: u64,
        /// Policies that the sender has validated and stored, by number. `None` where the sender's
        /// file lets it follow no policies: such a sender is never offered one.
        stored: Option<Vec<(u64, Digest)>>,
    },
    /// Renews the lease and reports what the sender observed.
    Report {
        /// Numbers the reports of one boot, from 1; one that arrives twice counts once.
        report: u64,
        /// Version of the record that the sender uses.
        record_version: u64,
        /// Results of calls since the last report.
        call_counts: Vec<ZoneCallCounts>,
        /// Capacity by the sender's endpoint list, where it changed since it was last reported.
        listed: Option<Vec<ListedZoneCapacity>>,
        /// Attempts in zones on a recovery ramp that the sender could use now.
        lease_requests: Vec<AttemptLeaseRequest>,
        /// Outcomes of messages since the last report, by policy, class and tenant.
        outcomes: Vec<MessageOutcomeCounts>,
    },
    /// Answers [`ReplicaToAgent::OfferPolicy`].
    PolicyChecked {
        /// Number of the policy.
        number: u64,
        /// Reasons why the sender cannot apply it, one per line; `None` where it is validated and
        /// stored.
        refused: Option<String>,
    },
    /// The sender applies [`ReplicaToAgent::ApplyPolicy`] of this turn. If that was a pause, the
    /// sender accepts nothing new until a later turn.
    PolicyApplied {
        /// The turn.
        turn: u64,
    },
    /// Ends the session: the sender shuts down.
    CloseSession,
    /// About routing tables; only from a sender whose file lets it follow them.
    RoutingTable(AgentTableMessage),
}

/// Messages from an agent to a replica about routing tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentTableMessage {
    /// Tables that the sender has validated and stored, by number. Sent directly after
    /// [`AgentToReplica::OpenSession`].
    StoredTables(Vec<(u64, Digest)>),
    /// Answers [`ReplicaTableMessage::OfferTable`].
    TableChecked {
        /// Number of the table.
        number: u64,
        /// Reasons why the sender cannot apply it, one per line; `None` where it is validated and
        /// stored.
        refused: Option<String>,
    },
    /// The sender applies [`ReplicaTableMessage::ApplyTable`] of this turn. If that stopped
    /// admission, the sender accepts nothing new until a later turn.
    TableApplied {
        /// The turn.
        turn: u64,
    },
}

/// Attempts in a zone on a recovery ramp that a sender asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptLeaseRequest {
    /// Zone of the endpoints.
    pub zone: String,
    /// Destination, as a position in the settings.
    pub dest: u16,
    /// Number of attempts.
    pub attempts: u32,
}

/// Messages from a replica to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicaToAgent {
    /// This replica does not lead. Names the one that does, where it is known.
    NotLeader(Option<u64>),
    /// Renews the session's lease, which counts from when the message that this answers was sent.
    LeaseRenewed {
        /// Report that this answers; 0 for [`AgentToReplica::OpenSession`].
        report: u64,
        /// Length of the lease, in milliseconds.
        lease_ms: u32,
    },
    /// The complete record as it concerns senders; sent only where it changed.
    View(SenderView),
    /// Attempts that may be begun in a zone on a recovery ramp.
    GrantAttempts(AttemptLeaseGrant),
    /// The session has expired or never existed: open it.
    UnknownSession,
    /// Asks the sender to validate this policy against its own settings and to store it. The offer
    /// alone changes nothing.
    OfferPolicy {
        /// Number of the policy.
        number: u64,
        /// Digest of the policy, as in the record.
        digest: Digest,
        /// Text of the policy.
        text: String,
    },
    /// Policy under which messages are accepted in the sender's zone from now on. A message with an
    /// earlier turn than one that arrived before has no effect.
    ApplyPolicy {
        /// Grows with each change of what is in force or paused anywhere in the record.
        turn: u64,
        /// Number of the policy in force; 0 for the sender's own settings alone.
        number: u64,
        /// Whether nothing new is accepted before the next of these messages, not even under this
        /// policy.
        paused: bool,
    },
    /// About routing tables; only to a sender that sent [`AgentTableMessage::StoredTables`] on this
    /// connection.
    RoutingTable(ReplicaTableMessage),
}

/// Messages from a replica to an agent about routing tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaTableMessage {
    /// Asks the sender to validate this table against its own list and settings and to store it.
    /// The offer alone changes nothing.
    OfferTable {
        /// Number of the table.
        number: u64,
        /// Digest of the table, as in the record.
        digest: Digest,
        /// Text of the table.
        text: String,
    },
    /// Table by which messages are accepted and routed at this site from now on. A message with an
    /// earlier turn than one that arrived before has no effect.
    ApplyTable {
        /// Grows with each change of the site's table or its admission.
        turn: u64,
        /// Number of the table in force; 0 for the endpoint list alone.
        number: u64,
        /// Whether anything new is accepted.
        admission: SiteAdmission,
    },
}

/// Whether a site accepts new messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SiteAdmission {
    /// The site accepts messages.
    #[default]
    Open,
    /// Admission is paused for the moment between two tables.
    Paused,
    /// Admission has stopped because the site's lease in its federation has expired, until the
    /// federation receives its messages again.
    LeaseExpired,
}

/// Outcomes of messages of one policy, class and tenant since the last report, as counts and not as
/// verdicts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageOutcomeCounts {
    /// Number of the policy that the messages were accepted under.
    pub policy: u64,
    /// Name of the class.
    pub class: String,
    /// Tenant, as a position in the settings.
    pub tenant: u16,
    /// Accepted.
    pub accepted: u32,
    /// Delivered within the latency objective.
    pub delivered: u32,
    /// Delivered after the latency objective.
    pub delivered_late: u32,
    /// Deferred: ended without an attempt.
    pub deferred: u32,
    /// Undeliverable.
    pub failed: u32,
    /// Rejected by admission control before they were accepted.
    pub rejected: u32,
}

/// Attempts that a sender may begin in a zone on a recovery ramp. Those that are not begun in time
/// expire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptLeaseGrant {
    /// Report that asked for it: the lease counts from when that was sent.
    pub report: u64,
    /// Zone of the endpoints.
    pub zone: String,
    /// Epoch of the return to the zone. A lease of another epoch has no effect.
    pub epoch: u64,
    /// Destination, as a position in the settings.
    pub dest: u16,
    /// Number of attempts.
    pub attempts: u32,
    /// Time after the report was sent within which they may be begun, in milliseconds.
    pub within_ms: u32,
}

/// The part of the record that concerns senders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SenderView {
    /// Version of the record.
    pub version: u64,
    /// Zones that are evacuated or being returned to. Zones that are not named are in use.
    pub zones: Vec<ZoneOrder>,
}

/// The order for one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// The zone.
    pub zone: String,
    /// Grows with each order.
    pub epoch: u64,
    /// Whether the zone is being returned to: then an evacuated sender may begin calls there by
    /// [`AttemptLeaseGrant`]s.
    pub returning: bool,
    /// Evacuated fraction of the senders by destination, over 0 and up to 1: those whose
    /// [`sender_hash_fraction`] is below it. Senders stay in the zone for destinations that are not
    /// named.
    pub out: Vec<(u16, f32)>,
}

/// Maps a sender to a fraction from 0 to 1, evenly over senders, for a destination of a zone.
///
/// A sender compares it with [`ZoneOrder::out`]: as the evacuated fraction grows, more senders
/// leave, and those that left before stay out.
pub fn sender_hash_fraction(sender: &str, zone: &str, dest: u16) -> f32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(sender.as_bytes());
    hasher.update(&[0]);
    hasher.update(zone.as_bytes());
    hasher.update(&dest.to_be_bytes());
    // The upper bits of a checksum of short names are not evenly distributed by themselves.
    let mixed = u64::from(hasher.finalize()).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed >> 40) as f32 / (1u32 << 24) as f32
}
