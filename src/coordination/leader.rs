//! Duties of the leader of a term: sessions of senders and their leases, judgement of zones,
//! allocation of recovery budgets, and answers to operators.
//!
//! [`LeaderDuties`] is a state machine without I/O and without a clock. The replica that leads
//! owns one for its term. It passes in each event ([`LeaderDuties::on_agent_message`],
//! [`LeaderDuties::on_operator_request`], [`LeaderDuties::on_applied`],
//! [`LeaderDuties::on_disconnect`], [`LeaderDuties::on_federation_state`]) and the passage of time
//! ([`LeaderDuties::on_tick`]), each with the time of its monotonic clock, and carries out the
//! [`Effect`]s. Nothing here is stored: the next leader starts with the record alone, so whatever
//! must not be granted twice is committed to the record first. The content of the record is
//! defined by [`record`](crate::coordination::record); the replica replicates it.
//!
//! By file: `sessions` begins and ends sessions, `leases` renews them and proves leadership by
//! heartbeats, `agent_messages` handles the messages of agents, `announce` sends them the record,
//! policies and tables, `applied` handles commands that were applied to the record, `decide`,
//! `capacity` and `returns` order evacuations and recoveries of zones, `orders` and `status`
//! answer operators, `rules` has the settings.
//!
//! # Leases
//!
//! An agent counts 98 % of its lease from when it sent the message that was answered; the leader
//! counts 102 % from when it answers. A leader that was deposed and does not know it must stop
//! renewing soon: it renews only until [`LeaderRules::heartbeat_valid_ms`] after the moment at
//! which it proposed the last heartbeat that was applied to the record. A heartbeat that it
//! proposes after its successor was elected is never applied, so it renews no lease later than
//! that time after the election. Its successor counts all leases of the record from its own start,
//! and adds `heartbeat_valid_ms` to each.
//!
//! Invariant: an agent never relies on a lease that has expired in the record.
//!
//! # Orders
//!
//! At most one decision on a zone is pending at a time. Each names the record's epoch on which it
//! was based and is void if another order was applied in between.
//!
//! Invariant: the conditions that the decision meets (each destination keeps a route, the limit of
//! evacuated zones is respected) also hold for the record after it is applied.

use crate::coordination::messages::{OperatorRequest, OperatorResponse, ReplicaToAgent};
use crate::coordination::policy_rollout::register::Change;
use crate::coordination::policy_rollout::rollout::RolloutController;
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
/// Nanoseconds after which a proposal that was not applied may be proposed again: ten times the
/// time that a write to a slow disk takes.
const PROPOSAL_TIMEOUT: Nanos = 1_000_000_000;
/// Nanoseconds after which the operator is answered that an order was not applied to the record.
const ORDER_TIMEOUT: Nanos = 5 * PROPOSAL_TIMEOUT;
/// Nanoseconds after which the request of a sender that has no session yet is dropped; the sender
/// requests a session again.
const JOIN_TIMEOUT: Nanos = 2 * PROPOSAL_TIMEOUT;
/// Answer to an operator whose order was not applied within [`ORDER_TIMEOUT`].
const ORDER_TIMED_OUT: &str =
    "the keepers did not agree within 5 s; check the status and repeat the order";

/// Identifier of a connection, assigned by the replica and never reused within one process.
pub type ConnectionId = u64;

/// An action that the replica carries out for the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Propose this command for the record. It may be lost when the term ends.
    Propose(Command),
    /// Send this message to the agent on a connection.
    Send(ConnectionId, ReplicaToAgent),
    /// Send this response to the operator on a connection.
    Reply(ConnectionId, OperatorResponse),
    /// Propose this command for the federation's record. It may be lost.
    ProposeToFederation(federation::Command),
}

/// An operator's order on a zone that has not been applied to the record yet.
#[derive(Clone, Debug)]
struct PendingZoneOrder {
    connection: ConnectionId,
    command: Command,
    received_at: Nanos,
}

/// An operator's order that the federation's record does not show yet. It is proposed there only
/// once: an order that was void because another operation was under way must not take effect when
/// that operation ends.
#[derive(Clone, Debug)]
struct PendingTableOrder {
    connection: ConnectionId,
    command: federation::Command,
    received_at: Nanos,
}

/// An operator's order on policies that has not been applied to the record yet.
#[derive(Clone, Debug)]
struct PendingPolicyOrder {
    connection: ConnectionId,
    request: OperatorRequest,
    /// The turn on which the change was based.
    base_turn: u64,
    /// The change that was proposed for the request.
    change: Change,
    received_at: Nanos,
}

/// A decision on a zone that was proposed and has not been applied to the record yet.
#[derive(Clone, Copy, Debug)]
struct PendingDecision {
    /// The record's epoch on which it was based.
    epoch: u64,
    proposed_at: Nanos,
}

/// State and duties of the leader of one term.
#[derive(Clone, Debug)]
pub struct LeaderDuties {
    rules: LeaderRules,
    term: u64,
    heartbeats: Heartbeats,
    /// Sessions by name of the sender. Every sender that is live in the record has one.
    sessions: BTreeMap<String, Session>,
    /// Names of the senders, by the id of their sessions.
    sender_names: BTreeMap<u32, String>,
    next_session_id: u32,
    /// The sender whose session uses a connection.
    connections: BTreeMap<ConnectionId, String>,
    joining: BTreeMap<String, JoiningSender>,
    pending_zone_orders: VecDeque<PendingZoneOrder>,
    pending_policy_orders: Vec<PendingPolicyOrder>,
    pending_table_orders: Vec<PendingTableOrder>,
    roll: RolloutController,
    cutover: Cutover,
    /// The federation as this replica sees it; `None` if the site is not a member of one.
    federation_view: Option<FederationView>,
    evidence: Evidence,
    endpoint_lists: EndpointLists,
    recovery_ramp: RecoveryRamp,
    verdicts: BTreeMap<String, ZoneVerdict>,
    /// Time at which zones were last judged.
    judged_at: Nanos,
    pending_decision: Option<PendingDecision>,
}

impl LeaderDuties {
    /// Starts a term with nothing but the record.
    ///
    /// Leases that an earlier term granted may still be valid: all of them count as renewed now.
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
            roll: RolloutController::new(now, Some(now)),
            cutover: Cutover::new(now, Some(now)),
            federation_view: None,
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

    /// Sets the time at which this replica last saw another leader before it was elected; `None`
    /// if it never saw one.
    ///
    /// The time since then is added to the record's clock by the first heartbeat, as no other
    /// leader counts it.
    pub fn with_last_leader_seen(mut self, now: Nanos, at: Option<Nanos>) -> LeaderDuties {
        self.roll = RolloutController::new(now, at);
        self.cutover = Cutover::new(now, at);
        self.heartbeats.count_since(now, at);
        self
    }

    /// Performs all duties that depend on time; to be called about ten times a second.
    pub fn on_tick(&mut self, now: Nanos, record: &Record, effects: &mut Vec<Effect>) {
        self.propose_heartbeat(now, record, effects);
        self.end_expired_sessions(now, effects);
        self.drop_connections_without_session();
        self.joining
            .retain(|_, joining| now < joining.requested_at + JOIN_TIMEOUT);
        self.reject_timed_out_orders(now, effects);
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

    /// Handles the state of the federation; `None` if the site is not a member of one.
    ///
    /// To be called at each change and about ten times a second, and at the start of a term before
    /// any message of a sender is passed in.
    pub fn on_federation_state(
        &mut self,
        now: Nanos,
        federation_view: Option<FederationView>,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        self.federation_view = federation_view;
        self.advance_cutover(now, record, effects);
    }

    /// Drops a pending decision that is void because the record has another order, or that was
    /// lost.
    fn forget_stale_decision(&mut self, now: Nanos, record: &Record) {
        let is_current = |pending: &PendingDecision| {
            pending.epoch == record.epoch && now < pending.proposed_at + PROPOSAL_TIMEOUT
        };
        self.pending_decision = self.pending_decision.filter(is_current);
    }
}
