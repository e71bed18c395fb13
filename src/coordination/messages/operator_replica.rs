//! Messages between an operator's `fleet` command and a replica: one request, one response.

use super::Digest;
use serde::{Deserialize, Serialize};

/// What an operator orders or asks.
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
        /// How long the request holds, in seconds; 0 until another one.
        for_s: u64,
    },
    /// Adds a replica to the group.
    AddReplica {
        /// Number of the replica.
        keeper: u64,
        /// Address that it listens on.
        at: String,
    },
    /// Removes a replica from the group for good.
    RemoveReplica {
        /// Number of the replica.
        keeper: u64,
    },
    /// Proposes a policy and the plan of its rollout, both as they are written.
    ProposePolicy {
        /// Text of the policy.
        text: String,
        /// Text of the plan.
        plan: String,
    },
    /// Asks for the status of policies and their rollout.
    PolicyStatus,
    /// Asks for the rollouts that are over.
    PolicyHistory,
    /// Asks for the text of a policy.
    PolicyText {
        /// Number of the policy.
        number: u64,
    },
    /// Halts the rollout until another order.
    HaltRollout {
        /// The reason; may be empty.
        why: String,
    },
    /// Lets a halted rollout go on.
    ResumeRollout,
    /// Rolls back, the last stage first.
    RollBack,
    /// About the federation and its routing table.
    Federation(FederationRequest),
}

/// What an operator orders or asks of the federation, at any of its sites.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FederationRequest {
    /// Proposes a table to all sites; done when the federation's record has the proposal.
    ProposeTable {
        /// Text of the table.
        text: String,
        /// The proposal ends without effect if not all sites have accepted it in so many seconds.
        within_s: u32,
    },
    /// Asks for the status of the federation.
    Status,
    /// Ends the proposal without effect.
    AbortProposal {
        /// The reason; may be empty.
        why: String,
    },
    /// Asks for the proposals that are over.
    TableHistory,
    /// Asks for the text of a table that is in force, was before, or is proposed.
    TableText {
        /// Number of the table.
        number: u64,
    },
    /// Takes a site off the roster, once it is fenced: once it certainly accepts nothing by its
    /// table any more.
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
    /// Leave the zone as it is: evidence moves nothing.
    Hold,
    /// Let evidence decide again.
    Free,
}

/// What a replica answers an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// Done, or as it was before: the version of the record that has it.
    Done(u64),
    /// Not done, and why.
    Rejected(String),
    /// This replica does not lead. Names the one that does, where it is known.
    NotLeader(Option<u64>),
    /// Status of the site.
    Status(Box<CoordinationStatus>),
    /// Status of policies.
    PolicyStatus(Box<PolicyStatus>),
    /// Rollouts that are over, the newest first.
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
    /// Proposals of tables that are over, the newest first.
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
    /// Site that answers.
    pub site: String,
    /// Site that leads; empty where none is known to.
    pub leader: String,
    /// Rest of this site's lease, in milliseconds; 0 where it has expired.
    pub lease_ms: u64,
    /// Whether this site stops accepting messages when its lease has expired, or goes on.
    pub holds: bool,
    /// Number and digest of the table in force; 0 for the endpoint list alone.
    pub table: (u64, Digest),
    /// The sites.
    pub sites: Vec<SiteStatus>,
    /// Proposal that runs.
    pub proposal: Option<ProposalStatus>,
    /// What is waited for at this site, in words, and from which senders: a thousand at the most.
    pub here: (String, Vec<String>),
    /// Senders of this site that refuse a table, and why.
    pub refused: Vec<(String, String)>,
}

/// Status of one site of the federation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// Name of the site.
    pub site: String,
    /// Number of the site.
    pub number: u64,
    /// Number of the table that it goes by.
    pub uses: u64,
    /// Whether it has accepted the proposal that runs.
    pub accepted: bool,
    /// Whether the site that answers hears it.
    pub heard: bool,
}

/// A proposal of a table that runs.
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

/// A proposal of a table that is over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PastProposal {
    /// Number of the table.
    pub number: u64,
    /// Digest of the table.
    pub digest: Digest,
    /// Site where it was proposed.
    pub by: String,
    /// How it ended.
    pub end: String,
    /// From its proposal to its end, on the federation's clock, in milliseconds.
    pub took_ms: u64,
}

/// Status of policies.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyStatus {
    /// The last turn.
    pub turn: u64,
    /// What is in force in each zone.
    pub zones: Vec<ZonePolicy>,
    /// Rollout that runs.
    pub rollout: Option<RolloutStatus>,
    /// The last rollout that is over.
    pub done: Option<PastRollout>,
}

/// What is in force in a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonePolicy {
    /// The zone.
    pub zone: String,
    /// Number of the policy; 0 for each sender's own settings.
    pub number: u64,
    /// Whether nothing new is accepted.
    pub paused: bool,
    /// Senders there that hold a lease.
    pub senders: u32,
}

/// A rollout that runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Number of its policy.
    pub number: u64,
    /// Number of the policy that it rolls back; 0 for none.
    pub back_of: u64,
    /// Digest of the policy.
    pub digest: Digest,
    /// Its stage, from 1.
    pub stage: u32,
    /// The zones of each stage, and how many senders hold a lease there.
    pub stages: Vec<(Vec<String>, u32)>,
    /// How far it is with the stage, in words.
    pub step: String,
    /// Why it halts.
    pub halted: Option<String>,
    /// What is observed of the stage.
    pub seen: String,
    /// What senders are waited for to do.
    pub waits_what: String,
    /// Names of those senders: a thousand at the most.
    pub waits: Vec<String>,
    /// Senders that cannot go by the policy, and why.
    pub refused: Vec<(String, String)>,
}

/// A rollout that is over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PastRollout {
    /// Number of its policy.
    pub number: u64,
    /// Number of the policy that it rolled back; 0 for none.
    pub back_of: u64,
    /// Digest of the policy.
    pub digest: Digest,
    /// Stages in which it was in force.
    pub in_force: u32,
    /// All its stages.
    pub stages: u32,
    /// How it ended.
    pub end: String,
    /// How often it halted.
    pub halts: u32,
    /// From its proposal to its end, on the record's clock, in milliseconds.
    pub took_ms: u64,
}

/// Status of a site, as one of its replicas knows it. Its JSON is an interface of operators, so the
/// keys keep their spelling.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CoordinationStatus {
    /// Name of the site.
    pub site: String,
    /// Replica that answers.
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
    /// Senders that hold a lease, with the version of the record that each goes by.
    pub senders: Vec<(String, u64)>,
    /// Senders whose lease expired.
    pub lapsed: Vec<String>,
    /// The zones: name, what is ordered, and why.
    pub zones: Vec<(String, String, String)>,
    /// Replicas that cannot take part, and why, as the one that answers knows it.
    #[serde(rename = "trouble")]
    pub faults: Vec<(u64, String)>,
}
