//! Messages between an operator's `fleet` command and a replica: one request, one response.

use super::Digest;
use serde::{Deserialize, Serialize};

/// A request of an operator: an order or a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Asks for the status of the site.
    Status,
    /// Requests a state of a zone.
    RequestZoneState {
        /// The zone.
        zone: String,
        /// The state.
        order: RequestedZoneState,
        /// Time for which the request is valid, in seconds; 0 until another request replaces it.
        for_s: u64,
    },
    /// Adds a replica to the group.
    AddReplica {
        /// Number of the replica.
        keeper: u64,
        /// Address that it listens on.
        at: String,
    },
    /// Removes a replica from the group permanently.
    RemoveReplica {
        /// Number of the replica.
        keeper: u64,
    },
    /// Proposes a policy and the plan of its rollout, both as text.
    ProposePolicy {
        /// Text of the policy.
        text: String,
        /// Text of the plan.
        plan: String,
    },
    /// Asks for the status of policies and their rollout.
    PolicyStatus,
    /// Asks for the rollouts that have ended.
    PolicyHistory,
    /// Asks for the text of a policy.
    PolicyText {
        /// Number of the policy.
        number: u64,
    },
    /// Halts the rollout until another request.
    HaltRollout {
        /// The reason; may be empty.
        why: String,
    },
    /// Resumes a halted rollout.
    ResumeRollout,
    /// Rolls back, the last stage first.
    RollBack,
    /// A request about the federation and its routing table.
    Federation(FederationRequest),
}

/// A request of an operator to the federation, at any of its sites.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FederationRequest {
    /// Proposes a table to all sites; succeeds once the federation's record has the proposal.
    ProposeTable {
        /// Text of the table.
        text: String,
        /// Time after which the proposal ends without effect unless all sites have accepted it, in
        /// seconds.
        within_s: u32,
    },
    /// Asks for the status of the federation.
    Status,
    /// Ends the proposal without effect.
    AbortProposal {
        /// The reason; may be empty.
        why: String,
    },
    /// Asks for the proposals that have ended.
    TableHistory,
    /// Asks for the text of a table that is or was in force, or is proposed.
    TableText {
        /// Number of the table.
        number: u64,
    },
    /// Removes a site from the roster, once it is fenced, so that it is certain to accept nothing
    /// by its table any more.
    RemoveSite {
        /// Name of the site.
        site: String,
    },
    /// Adds a site under a number that was never used.
    AddSite {
        /// Name of the site.
        site: String,
        /// Number of the site.
        number: u64,
        /// Addresses of its replicas.
        at: Vec<String>,
    },
}

/// State that an operator requests for a zone; takes precedence over evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestedZoneState {
    /// Evacuate the zone.
    Leave,
    /// Return to the zone, by its recovery ramp.
    Return,
    /// Keep the zone in its state: evidence changes nothing.
    Hold,
    /// Let evidence decide again.
    Free,
}

/// A replica's response to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// The request succeeded, or changed nothing: the version of the record that has its result.
    Done(u64),
    /// The request was rejected for this reason.
    Rejected(String),
    /// This replica does not lead. Names the one that does, where it is known.
    NotLeader(Option<u64>),
    /// Status of the site.
    Status(Box<CoordinationStatus>),
    /// Status of policies.
    PolicyStatus(Box<PolicyStatus>),
    /// Rollouts that have ended, the newest first.
    PolicyHistory(Vec<PastRollout>),
    /// A policy.
    PolicyText {
        /// Number of the policy.
        number: u64,
        /// Digest of the policy.
        digest: Digest,
        /// Text of the policy.
        text: String,
    },
    /// Status of the federation and its table.
    FederationStatus(Box<FederationStatus>),
    /// Proposals of tables that have ended, the newest first.
    TableHistory(Vec<PastProposal>),
    /// A routing table.
    TableText {
        /// Number of the table.
        number: u64,
        /// Digest of the table.
        digest: Digest,
        /// Text of the table.
        text: String,
    },
}

/// Status of the federation, as one site knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FederationStatus {
    /// Name of the federation.
    pub federation: String,
    /// Site that sent the response.
    pub site: String,
    /// Site that leads; empty where none is known.
    pub leader: String,
    /// Remaining time of this site's lease, in milliseconds; 0 where it has expired.
    pub lease_ms: u64,
    /// Whether this site stops accepting messages when its lease has expired; otherwise it
    /// continues.
    pub holds: bool,
    /// Number and digest of the table in force; 0 for the endpoint list alone.
    pub table: (u64, Digest),
    /// The sites.
    pub sites: Vec<SiteStatus>,
    /// Proposal in progress.
    pub proposal: Option<ProposalStatus>,
    /// Description of what this site waits for, and the names of up to a thousand senders that it
    /// waits for.
    pub here: (String, Vec<String>),
    /// Senders of this site that reject a table, and the reasons.
    pub refused: Vec<(String, String)>,
}

/// Status of one site of the federation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// Name of the site.
    pub site: String,
    /// Number of the site.
    pub number: u64,
    /// Number of the table that the site uses.
    pub uses: u64,
    /// Whether the site has accepted the proposal in progress.
    pub accepted: bool,
    /// Whether the responding site receives messages from this site.
    pub heard: bool,
}

/// A proposal of a table that is in progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProposalStatus {
    /// Number of the table.
    pub number: u64,
    /// Digest of the table.
    pub digest: Digest,
    /// Site where it was proposed.
    pub by: String,
    /// Time until it ends without effect, in milliseconds.
    pub left_ms: u64,
    /// Sites that have not accepted it.
    pub waits: Vec<String>,
}

/// A proposal of a table that has ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PastProposal {
    /// Number of the table.
    pub number: u64,
    /// Digest of the table.
    pub digest: Digest,
    /// Site where it was proposed.
    pub by: String,
    /// Description of how it ended.
    pub end: String,
    /// Time from its proposal to its end on the federation's clock, in milliseconds.
    pub took_ms: u64,
}

/// Status of policies.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyStatus {
    /// The last turn.
    pub turn: u64,
    /// Policy in force in each zone.
    pub zones: Vec<ZonePolicy>,
    /// Rollout in progress.
    pub rollout: Option<RolloutStatus>,
    /// The last rollout that has ended.
    pub done: Option<PastRollout>,
}

/// The policy in force in a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonePolicy {
    /// The zone.
    pub zone: String,
    /// Number of the policy; 0 for each sender's own settings.
    pub number: u64,
    /// Whether nothing new is accepted.
    pub paused: bool,
    /// Number of senders in the zone that hold a lease.
    pub senders: u32,
}

/// A rollout in progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Number of its policy.
    pub number: u64,
    /// Number of the policy that it rolls back; 0 for none.
    pub back_of: u64,
    /// Digest of the policy.
    pub digest: Digest,
    /// Current stage, from 1.
    pub stage: u32,
    /// Zones of each stage, and the number of senders there that hold a lease.
    pub stages: Vec<(Vec<String>, u32)>,
    /// Description of the progress within the stage.
    pub step: String,
    /// Reason for which the rollout is halted.
    pub halted: Option<String>,
    /// Description of what was observed of the stage.
    pub seen: String,
    /// Description of what the rollout waits for senders to do.
    pub waits_what: String,
    /// Names of up to a thousand of those senders.
    pub waits: Vec<String>,
    /// Senders that cannot apply the policy, and the reasons.
    pub refused: Vec<(String, String)>,
}

/// A rollout that has ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PastRollout {
    /// Number of its policy.
    pub number: u64,
    /// Number of the policy that it rolled back; 0 for none.
    pub back_of: u64,
    /// Digest of the policy.
    pub digest: Digest,
    /// Number of stages in which it was in force.
    pub in_force: u32,
    /// Number of all its stages.
    pub stages: u32,
    /// Description of how it ended.
    pub end: String,
    /// Number of times that it was halted.
    pub halts: u32,
    /// Time from its proposal to its end on the record's clock, in milliseconds.
    pub took_ms: u64,
}

/// Status of a site, as one of its replicas knows it. Operators depend on its JSON, so the keys
/// keep their spelling.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CoordinationStatus {
    /// Name of the site.
    pub site: String,
    /// Replica that sent the response.
    #[serde(rename = "keeper")]
    pub replica: u64,
    /// Replica that leads.
    pub leader: u64,
    /// Term of the leader.
    pub term: u64,
    /// Version of the record.
    pub version: u64,
    /// Replicas that vote.
    #[serde(rename = "keepers")]
    pub voters: Vec<u64>,
    /// Senders that hold a lease, each with the version of the record that it uses.
    pub senders: Vec<(String, u64)>,
    /// Senders whose lease expired.
    pub lapsed: Vec<String>,
    /// Each zone's name, its order, and the reason.
    pub zones: Vec<(String, String, String)>,
    /// Replicas that cannot take part, and the reasons, as far as the responding replica knows
    /// them.
    #[serde(rename = "trouble")]
    pub faults: Vec<(u64, String)>,
}
