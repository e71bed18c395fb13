//! What the leader of a term does alone: sessions of senders and their leases, judgement of zones,
//! the shares of budgets, and the answers to operators.
//!
//! [`LeaderDuties`] is a state machine without I/O and without a clock. The replica that leads
//! owns one for its term, tells it what comes in ([`LeaderDuties::on_agent_message`],
//! [`LeaderDuties::on_operator_request`], [`LeaderDuties::on_applied`],
//! [`LeaderDuties::on_disconnect`], [`LeaderDuties::on_federation_state`]) and that time passes
//! ([`LeaderDuties::on_tick`]), each with the time of its monotonic clock, and carries out the
//! [`Effect`]s. Nothing here is stored: the next leader starts with the record alone, so whatever
//! must not be told twice is in the record first. What the record holds is the matter of
//! [`record`](crate::coordination::record); how it is agreed, of the replica.
//!
//! By file: `sessions` begins and ends sessions, `leases` renews them and proves leadership by
//! heartbeats, `agent_messages` takes what senders say, `announce` sends them the record, policies
//! and tables, `applied` takes what the record has, `decide`, `capacity` and `returns`
//! order zones, `orders` and `status` answer operators, `rules` has the settings.
//!
//! # Leases
//!
//! An agent counts 98 in 100 of its lease from when it sent the message that was answered; the
//! leader counts 102 in 100 from when it answers. A leader that was deposed and does not know it
//! must not go on renewing for long: it renews only until [`LeaderRules::heartbeat_valid_ms`] after
//! the moment at which it proposed the last heartbeat that the record has. What it proposed after
//! its successor was elected is never there, so it renews nothing later than that after the
//! election; its successor counts all leases of the record from its own start, and so much longer.
//!
//! Invariant: at no time does an agent count on a lease that the record has as lapsed.
//!
//! # Orders
//!
//! One decision on a zone is out at a time. Each names the record's epoch that it was based on and
//! is void where another one came before.
//!
//! Invariant: what holds for the decision (a destination keeps a route, not too many zones are
//! evacuated) holds for the record.

use crate::coordination::messages::{OperatorRequest, OperatorResponse, ReplicaToAgent};
use crate::coordination::policy_rollout::register::Change;
use crate::coordination::policy_rollout::rollout::Roll;
use crate::coordination::record::{Command, Record};
use crate::coordination::routing_table::cutover::Cutover;
use crate::coordination::routing_table::federation;
use crate::coordination::routing_table::federation_view::FederationView;
use crate::coordination::zones::evidence::{Evidence, ZoneVerdict};
use crate::coordination::zones::recovery_ramp::RecoveryRamp;
use crate::coordination::zones::spare_capacity::EndpointLists;
use crate::Nanos;
use leases::Heartbeats;
use sessions::{JoiningSender, Session};
use std::collections::{BTreeMap, VecDeque};

mod agent_messages;
mod announce;
mod applied;
mod capacity;
mod decide;
mod leases;
mod orders;
mod returns;
mod rules;
mod sessions;
mod status;

pub use rules::LeaderRules;

/// Nanoseconds between two judgements of all zones: half of the time between two reports.
const JUDGE_INTERVAL: Nanos = 100_000_000;
/// Nanoseconds after which what was proposed and did not come may be proposed again: ten times
/// what a slow disk takes.
const PROPOSAL_TIMEOUT: Nanos = 1_000_000_000;
/// Nanoseconds after which an operator hears that an order did not come into the record.
const ORDER_TIMEOUT: Nanos = 5 * PROPOSAL_TIMEOUT;
/// Nanoseconds after which a sender that asked for a session and has none is forgotten; it asks
/// again.
const JOIN_TIMEOUT: Nanos = 2 * PROPOSAL_TIMEOUT;
/// What an operator hears then.
const ORDER_TIMED_OUT: &str =
    "the keepers did not agree in 5 s; look at the status and say it again";

/// Names a connection; given by the replica and never used twice in one process.
pub type ConnectionId = u64;

/// What the replica is to do for the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Propose this for the record. It may be lost with the term.
    Propose(Command),
    /// Send this to the agent on a connection.
    Send(ConnectionId, ReplicaToAgent),
    /// Answer the operator on a connection.
    Reply(ConnectionId, OperatorResponse),
    /// Propose this for the federation's record. It may be lost.
    ProposeToFederation(federation::Command),
}

/// An operator's order on a zone that is not in the record yet.
#[derive(Clone, Debug)]
struct PendingZoneOrder {
    connection: ConnectionId,
    command: Command,
    received_at: Nanos,
}

/// An operator's order that the federation's record does not show yet. It is proposed there once:
/// what was void as something else ran must not come up again when that is over.
#[derive(Clone, Debug)]
struct PendingTableOrder {
    connection: ConnectionId,
    command: federation::Command,
    received_at: Nanos,
}

/// An operator's order on policies that is not in the record yet.
#[derive(Clone, Debug)]
struct PendingPolicyOrder {
    connection: ConnectionId,
    request: OperatorRequest,
    /// The turn that it was proposed on, and as what.
    base_turn: u64,
    change: Change,
    received_at: Nanos,
}

/// A decision on a zone that was proposed and is not in the record yet.
#[derive(Clone, Copy, Debug)]
struct PendingDecision {
    /// The record's epoch that it was based on.
    epoch: u64,
    proposed_at: Nanos,
}

/// What the leader of one term knows and does.
#[derive(Clone, Debug)]
pub struct LeaderDuties {
    rules: LeaderRules,
    term: u64,
    heartbeats: Heartbeats,
    /// By name of the sender. Every sender that the record has as live has one.
    sessions: BTreeMap<String, Session>,
    /// Names of the senders, by the id of their session.
    sender_names: BTreeMap<u32, String>,
    next_session_id: u32,
    /// The sender that has its session on a connection.
    connections: BTreeMap<ConnectionId, String>,
    joining: BTreeMap<String, JoiningSender>,
    pending_zone_orders: VecDeque<PendingZoneOrder>,
    pending_policy_orders: Vec<PendingPolicyOrder>,
    pending_table_orders: Vec<PendingTableOrder>,
    roll: Roll,
    cutover: Cutover,
    /// The federation, where the site is in one.
    known: Option<FederationView>,
    evidence: Evidence,
    endpoint_lists: EndpointLists,
    recovery_ramp: RecoveryRamp,
    verdicts: BTreeMap<String, ZoneVerdict>,
    /// When zones were judged last.
    judged_at: Nanos,
    pending_decision: Option<PendingDecision>,
}

impl LeaderDuties {
    /// Starts a term with nothing but the record. Leases that an earlier term gave may still run:
    /// all of them count as renewed now.
    pub fn new(rules: LeaderRules, term: u64, now: Nanos, record: &Record) -> LeaderDuties {
        let mut duties = LeaderDuties {
            term,
            heartbeats: Heartbeats::new(now),
            sessions: BTreeMap::new(),
            sender_names: BTreeMap::new(),
            next_session_id: 0,
            connections: BTreeMap::new(),
            joining: BTreeMap::new(),
            pending_zone_orders: VecDeque::new(),
            pending_policy_orders: Vec::new(),
            pending_table_orders: Vec::new(),
            roll: Roll::new(now, Some(now)),
            cutover: Cutover::new(now, Some(now)),
            known: None,
            evidence: Evidence::new(rules.zones.clone()),
            endpoint_lists: EndpointLists::default(),
            recovery_ramp: RecoveryRamp::new(rules.zones.clone(), now),
            verdicts: BTreeMap::new(),
            judged_at: 0,
            pending_decision: None,
            rules,
        };
        let lease_until = duties.end_of_inherited_leases(now);
        let live = record.roster.iter().filter(|(_, member)| member.live);
        for (sender, member) in live {
            duties.add_session(sender, member.boot, &member.zone, lease_until);
        }
        duties
    }

    /// Tells when this replica last saw a leader, before it led itself; nothing where it never did.
    ///
    /// The time since then counts with the first heartbeat, as nobody else counts it.
    pub fn with_last_leader_seen(mut self, now: Nanos, at: Option<Nanos>) -> LeaderDuties {
        self.roll = Roll::new(now, at);
        self.cutover = Cutover::new(now, at);
        self.heartbeats.count_since(now, at);
        self
    }

    /// Notes that time has passed; to be called some ten times a second.
    pub fn on_tick(&mut self, now: Nanos, record: &Record, effects: &mut Vec<Effect>) {
        self.propose_heartbeat(now, record, effects);
        self.end_lapsed_sessions(now, effects);
        self.drop_connections_without_session();
        self.joining
            .retain(|_, joining| now < joining.requested_at + JOIN_TIMEOUT);
        self.refuse_timed_out_orders(now, effects);
        self.forget_stale_decision(now, record);
        if now >= self.judged_at + JUDGE_INTERVAL {
            self.decide(now, record, effects);
        }
        self.advance_rollout(now, record, effects);
        self.announce_policies_to_all(now, record, effects);
        self.advance_cutover(now, record, effects);
        self.announce_tables_to_all(now, record, effects);
        self.reserve_slices(now, record, effects);
        self.send_grants(now, effects);
    }

    /// Takes the state of the federation; nothing where the site is in none.
    ///
    /// To be called at each change and some ten times a second, and when the leader begins, before
    /// it is given any message of a sender.
    pub fn on_federation_state(
        &mut self,
        now: Nanos,
        known: Option<FederationView>,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        self.known = known;
        self.advance_cutover(now, record, effects);
    }

    /// Forgets a decision that is void, as the record has another order, or that was lost.
    fn forget_stale_decision(&mut self, now: Nanos, record: &Record) {
        let is_current = |pending: &PendingDecision| {
            pending.epoch == record.epoch && now < pending.proposed_at + PROPOSAL_TIMEOUT
        };
        self.pending_decision = self.pending_decision.filter(is_current);
    }
}
