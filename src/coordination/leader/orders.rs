//! Requests of operators: validated, proposed, and answered when they have been applied to the
//! record.
//!
//! This module owns the pending orders, whose number is limited. The rollout and the cutover
//! interpret orders on policies and tables. Orders on the replicas themselves are handled by the
//! replica and rejected here.

use crate::coordination::leader::{
    ConnectionId, Effect, LeaderDuties, PendingPolicyOrder, PendingTableOrder, PendingZoneOrder,
    ORDER_TIMED_OUT, ORDER_TIMEOUT,
};
use crate::coordination::messages::{
    FederationRequest, OperatorRequest, OperatorResponse, RequestedZoneState,
};
use crate::coordination::policy_rollout::register::Change;
use crate::coordination::policy_rollout::rollout::RolloutController;
use crate::coordination::record::{Command, Phase, Record, ZoneOverride};
use crate::coordination::routing_table::cutover::Cutover;
use crate::Nanos;

/// Maximum number of pending orders of each kind: more than operators issue at once, and few enough
/// to search linearly.
const MAX_PENDING_ORDERS: usize = 100;
const TOO_MANY_ORDERS: &str = "too many orders are pending; retry in a second";
const NO_FEDERATION: &str = "this site is in no federation";

/// An operator's order on a zone.
struct ZoneRequest<'a> {
    zone: &'a str,
    state: RequestedZoneState,
    /// Seconds for which it is valid; 0 until the next order.
    for_seconds: u64,
}

impl LeaderDuties {
    /// Handles an operator's request. The answer follows at once, or when the order has been
    /// applied to the record.
    ///
    /// The replica fills in the fields of the status that the leader does not know (site,
    /// replicas).
    pub fn on_operator_request(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        request: &OperatorRequest,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let answer = match request {
            OperatorRequest::RequestZoneState { zone, order, for_s } => {
                let request = ZoneRequest {
                    zone,
                    state: *order,
                    for_seconds: *for_s,
                };
                return self.order_zone(now, connection, request, record, effects);
            }
            OperatorRequest::ProposePolicy { .. }
            | OperatorRequest::HaltRollout { .. }
            | OperatorRequest::ResumeRollout
            | OperatorRequest::RollBack => {
                return self.order_policy(now, connection, request, record, effects);
            }
            OperatorRequest::Federation(order) => {
                return self.order_table(now, connection, order, record, effects);
            }
            OperatorRequest::Status => OperatorResponse::Status(Box::new(self.status(record))),
            OperatorRequest::PolicyStatus => {
                OperatorResponse::PolicyStatus(Box::new(self.roll.status(now, record)))
            }
            OperatorRequest::PolicyHistory => {
                OperatorResponse::PolicyHistory(RolloutController::history(record))
            }
            OperatorRequest::PolicyText { number } => policy_text(*number, record),
            OperatorRequest::AddReplica { .. } | OperatorRequest::RemoveReplica { .. } => {
                OperatorResponse::Rejected("the list of keepers can't be changed here".into())
            }
        };
        effects.push(Effect::Reply(connection, answer));
    }

    fn order_zone(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        request: ZoneRequest<'_>,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        match self.zone_command(request, record) {
            Ok(command) => {
                effects.push(Effect::Propose(command.clone()));
                self.pending_zone_orders.push_back(PendingZoneOrder {
                    connection,
                    command,
                    received_at: now,
                });
            }
            Err(answer) => effects.push(Effect::Reply(connection, answer)),
        }
    }

    /// Returns the command that applies an order on a zone to the record.
    ///
    /// # Errors
    ///
    /// Returns the immediate answer to the operator if there is nothing to propose.
    fn zone_command(
        &mut self,
        request: ZoneRequest<'_>,
        record: &Record,
    ) -> Result<Command, OperatorResponse> {
        self.endpoint_lists.refresh();
        if let Some(why) = self.zone_rejection(&request, record) {
            return Err(OperatorResponse::Rejected(why));
        }
        if is_recorded(&request, record) {
            return Err(OperatorResponse::Done(record.version));
        }
        if self.pending_zone_orders.len() >= MAX_PENDING_ORDERS {
            return Err(OperatorResponse::Rejected(TOO_MANY_ORDERS.into()));
        }
        Ok(Command::RequestZoneState {
            zone: request.zone.into(),
            state: request.state,
            for_ms: self.order_duration_ms(request.for_seconds),
        })
    }

    /// Returns the milliseconds for which an order is valid on the record's clock; 0 until the next
    /// order. The clock may be one heartbeat interval behind, so that interval is added.
    fn order_duration_ms(&self, for_seconds: u64) -> u64 {
        if for_seconds == 0 {
            return 0;
        }
        for_seconds
            .saturating_mul(1_000)
            .saturating_add(u64::from(self.rules.heartbeat_interval_ms))
    }

    /// Returns why an order on a zone is rejected, if it is.
    fn zone_rejection(&self, request: &ZoneRequest<'_>, record: &Record) -> Option<String> {
        let name = request.zone;
        let zone = record.zones.get(name);
        if zone.is_none() && self.endpoint_lists.destination_count(name) == 0 {
            return Some(format!("no endpoint list names a zone {name:?}"));
        }
        if !record.has_room(name) {
            return Some("the record already names the maximum number of zones".into());
        }
        let is_used = zone.is_none_or(|zone| zone.phase == Phase::Used);
        if request.state == RequestedZoneState::Leave && is_used {
            let rejection = self.evacuation_shares(name, record).err()?;
            return Some(rejection.to_string());
        }
        None
    }

    /// Handles an order on policies that was first received at `received_at`, and proposes it based
    /// on the record's current turn.
    fn order_policy(
        &mut self,
        received_at: Nanos,
        connection: ConnectionId,
        request: &OperatorRequest,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let answer = match self.roll.handle_request(request, record) {
            Err(why) => OperatorResponse::Rejected(why),
            Ok(None) => OperatorResponse::Done(record.version),
            Ok(Some(_)) if self.pending_policy_orders.len() >= MAX_PENDING_ORDERS => {
                OperatorResponse::Rejected(TOO_MANY_ORDERS.into())
            }
            Ok(Some(change)) => {
                effects.push(propose_policy_change(record, change.clone()));
                self.pending_policy_orders.push(PendingPolicyOrder {
                    connection,
                    request: request.clone(),
                    base_turn: record.policies.turn,
                    change,
                    received_at,
                });
                return;
            }
        };
        effects.push(Effect::Reply(connection, answer));
    }

    /// Handles a request on the federation and its table. The answer follows at once, or when the
    /// order has been applied to the federation's record.
    fn order_table(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        order: &FederationRequest,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let answer = match order {
            FederationRequest::Status => self.federation_status(now, record),
            FederationRequest::TableHistory => self.table_history(),
            FederationRequest::TableText { number } => self.table_text(*number, record),
            FederationRequest::ProposeTable { .. }
            | FederationRequest::AbortProposal { .. }
            | FederationRequest::RemoveSite { .. }
            | FederationRequest::AddSite { .. } => {
                return self.change_federation(now, connection, order, record, effects);
            }
        };
        effects.push(Effect::Reply(connection, answer));
    }

    fn federation_status(&self, now: Nanos, record: &Record) -> OperatorResponse {
        match &self.federation_view {
            Some(known) => OperatorResponse::FederationStatus(Box::new(
                self.cutover.status(now, record, known),
            )),
            None => OperatorResponse::Rejected(NO_FEDERATION.into()),
        }
    }

    fn table_history(&self) -> OperatorResponse {
        match &self.federation_view {
            Some(known) => OperatorResponse::TableHistory(Cutover::history(known)),
            None => OperatorResponse::Rejected(NO_FEDERATION.into()),
        }
    }

    fn table_text(&self, number: u64, record: &Record) -> OperatorResponse {
        match Cutover::text(number, record, self.federation_view.as_ref()) {
            Some(table) => OperatorResponse::TableText {
                number: table.number,
                digest: table.digest,
                text: table.text.clone(),
            },
            None => OperatorResponse::Rejected(format!("the text of table {number} is not stored")),
        }
    }

    /// Proposes a change to the federation's record.
    fn change_federation(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        order: &FederationRequest,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.federation_view.as_ref();
        let answer = match self.cutover.command_for_order(order, record, known) {
            Err(rejected) => OperatorResponse::Rejected(rejected.to_string()),
            Ok(None) => OperatorResponse::Done(known.map_or(0, |known| known.record.version)),
            Ok(Some(_)) if self.pending_table_orders.len() >= MAX_PENDING_ORDERS => {
                OperatorResponse::Rejected(TOO_MANY_ORDERS.into())
            }
            Ok(Some(command)) => {
                effects.push(Effect::ProposeToFederation(command.clone()));
                self.pending_table_orders.push(PendingTableOrder {
                    connection,
                    command,
                    received_at: now,
                });
                return;
            }
        };
        effects.push(Effect::Reply(connection, answer));
    }

    /// Proposes the next automatic change of the rollout, if one is due.
    pub(super) fn advance_rollout(
        &mut self,
        now: Nanos,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(change) = self.roll.tick(now, record) {
            effects.push(propose_policy_change(record, change));
        }
    }

    /// Handles a change of policies that was applied or was void: answers the operator who ordered
    /// it, and re-evaluates the orders that another change preceded.
    pub(super) fn on_policy_change_applied(
        &mut self,
        now: Nanos,
        index: u64,
        change: &Change,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        self.roll.on_change_applied(now, index, change, record);
        let was_applied = record.policies.at == index;
        let turn = record.policies.turn;
        let (overtaken, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_policy_orders)
                .into_iter()
                .partition(|order| order.base_turn < turn);
        self.pending_policy_orders = waiting;
        for order in overtaken {
            let PendingPolicyOrder {
                connection,
                request,
                received_at,
                ..
            } = &order;
            if was_applied && order.base_turn + 1 == turn && order.change == *change {
                effects.push(Effect::Reply(*connection, OperatorResponse::Done(index)));
            } else {
                self.order_policy(*received_at, *connection, request, record, effects);
            }
        }
        if was_applied {
            self.announce_policies_to_all(now, record, effects);
        }
    }

    /// Rejects the orders on zones and policies that were not applied to the record in time.
    pub(super) fn reject_timed_out_orders(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let has_timed_out = |received_at: Nanos| now >= received_at + ORDER_TIMEOUT;
        let mut reject = |connection: ConnectionId| {
            let refused = OperatorResponse::Rejected(ORDER_TIMED_OUT.into());
            effects.push(Effect::Reply(connection, refused));
        };
        while let Some(order) = self.pending_zone_orders.front() {
            if !has_timed_out(order.received_at) {
                break;
            }
            reject(order.connection);
            self.pending_zone_orders.pop_front();
        }
        self.pending_policy_orders.retain(|order| {
            let keeps = !has_timed_out(order.received_at);
            if !keeps {
                reject(order.connection);
            }
            keeps
        });
    }

    /// Drops the pending orders that were received over a connection.
    pub(super) fn forget_orders_on(&mut self, connection: ConnectionId) {
        self.pending_zone_orders
            .retain(|order| order.connection != connection);
        self.pending_policy_orders
            .retain(|order| order.connection != connection);
        self.pending_table_orders
            .retain(|order| order.connection != connection);
    }
}

/// Whether the record already has exactly this order, so that it need not be written again. An
/// order for a limited time is always written again, as its time starts over.
fn is_recorded(request: &ZoneRequest<'_>, record: &Record) -> bool {
    let recorded = record.zones.get(request.zone).and_then(|zone| zone.request);
    if request.state == RequestedZoneState::Free {
        return recorded.is_none();
    }
    let same = ZoneOverride {
        state: request.state,
        until_ms: 0,
    };
    request.for_seconds == 0 && recorded == Some(same)
}

fn policy_text(number: u64, record: &Record) -> OperatorResponse {
    match record.policies.texts.get(&number) {
        Some(stored) => OperatorResponse::PolicyText {
            number,
            digest: stored.digest,
            text: stored.text.clone(),
        },
        None => OperatorResponse::Rejected(format!("the record has no text of policy {number}")),
    }
}

/// Returns the proposal of a change of policies, based on the record's current turn.
pub(super) fn propose_policy_change(record: &Record, change: Change) -> Effect {
    Effect::Propose(Command::ChangePolicies {
        base: record.policies.turn,
        change: Box::new(change),
    })
}
