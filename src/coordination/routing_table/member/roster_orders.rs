//! Operators' roster orders: carried out here if this site leads, otherwise forwarded to the site
//! that does.

use crate::coordination::leader::ConnectionId;
use crate::coordination::messages::{FederationRequest, OperatorResponse};
use crate::coordination::routing_table::member::pending_roster_change::Requester;
use crate::coordination::routing_table::member::{
    FederationMember, MemberEffect, MemberMessage, Stage,
};
use crate::Nanos;
use std::collections::BTreeMap;

/// Largest number of forwarded orders that wait for a response.
const MAX_FORWARDED: usize = 100;
/// Time that a forwarded order waits for a response, in nanoseconds. The error text for the
/// operator contains this value.
const ANSWER_TIMEOUT: Nanos = 5_000_000_000;

struct ForwardedOrder {
    connection: ConnectionId,
    sent_at: Nanos,
}

/// Orders that were forwarded to the leading site and are not answered yet.
pub(super) struct ForwardedOrders {
    last_id: u64,
    by_id: BTreeMap<u64, ForwardedOrder>,
}

impl ForwardedOrders {
    pub(super) fn new(rng: &mut fastrand::Rng) -> ForwardedOrders {
        ForwardedOrders {
            last_id: rng.u64(..) >> 1,
            by_id: BTreeMap::new(),
        }
    }

    fn add(&mut self, connection: ConnectionId, now: Nanos) -> u64 {
        self.last_id += 1;
        let order = ForwardedOrder {
            connection,
            sent_at: now,
        };
        self.by_id.insert(self.last_id, order);
        self.last_id
    }

    /// Removes and returns the orders that have waited too long.
    fn take_overdue(&mut self, now: Nanos) -> Vec<ForwardedOrder> {
        let is_overdue = |order: &ForwardedOrder| now >= order.sent_at + ANSWER_TIMEOUT;
        let overdue = self.by_id.iter().filter(|(_, order)| is_overdue(order));
        let ids: Vec<u64> = overdue.map(|(id, _)| *id).collect();
        ids.iter().filter_map(|id| self.by_id.remove(id)).collect()
    }

    /// Removes all orders and returns the connections that wait for them.
    pub(super) fn drain_connections(&mut self) -> impl Iterator<Item = ConnectionId> {
        let all = std::mem::take(&mut self.by_id);
        all.into_values().map(|order| order.connection)
    }
}

impl FederationMember {
    /// Handles an operator's roster order.
    pub fn submit_roster_order(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        order: &FederationRequest,
        effects: &mut Vec<MemberEffect>,
    ) {
        if self.leadership.is_some() {
            self.carry_out_order(now, Requester::Local(connection), order, effects);
            return self.run_group(now, effects);
        }
        if let Some(why) = self.reason_not_to_forward() {
            effects.push(MemberEffect::Answer {
                connection,
                answer: OperatorResponse::Rejected(why),
            });
            return;
        }
        let id = self.orders.add(connection, now);
        let order = order.clone();
        effects.push(MemberEffect::Send {
            to: self.view.leader,
            message: MemberMessage::RosterOrder { id, order },
        });
    }

    /// Returns a text for operators that says why an order cannot be forwarded, or `None` if it
    /// can.
    fn reason_not_to_forward(&self) -> Option<String> {
        if let Stage::Failed(why) = &self.stage {
            return Some(why.clone());
        }
        if self.view.leader == 0 {
            return Some("no site is known to lead the federation".into());
        }
        if self.orders.by_id.len() >= MAX_FORWARDED {
            return Some("too many orders are pending; retry in a second".into());
        }
        None
    }

    /// Handles the leading site's response to a forwarded order.
    pub(super) fn on_order_result(
        &mut self,
        id: u64,
        answer: Result<u64, String>,
        effects: &mut Vec<MemberEffect>,
    ) {
        if let Some(order) = self.orders.by_id.remove(&id) {
            effects.push(MemberEffect::Answer {
                connection: order.connection,
                answer: answer.map_or_else(OperatorResponse::Rejected, OperatorResponse::Done),
            });
        }
    }

    pub(super) fn expire_forwarded_orders(&mut self, now: Nanos, effects: &mut Vec<MemberEffect>) {
        for order in self.orders.take_overdue(now) {
            let why =
                "the site that leads did not answer in 5 s; check the status and repeat the order";
            effects.push(MemberEffect::Answer {
                connection: order.connection,
                answer: OperatorResponse::Rejected(why.into()),
            });
        }
    }

    /// Removes the orders of an operator's connection that was closed.
    pub fn on_connection_closed(&mut self, connection: ConnectionId) {
        self.orders
            .by_id
            .retain(|_, order| order.connection != connection);
    }
}
