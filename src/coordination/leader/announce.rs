//! Announcements to senders of the record, policies and routing tables, and the senders' answers
//! on tables.
//!
//! The rollout and the cutover determine which policy or table a sender needs. This module sends
//! it on the sender's connection and limits the number of texts that are offered at once.

use crate::coordination::leader::sessions::{SentView, Session};
use crate::coordination::leader::{
    ConnectionId, Effect, LeaderDuties, ORDER_TIMEOUT, PROPOSAL_TIMEOUT,
};
use crate::coordination::messages::{AgentTableMessage, OperatorResponse, ReplicaToAgent};
use crate::coordination::record::{Command, Record};
use crate::coordination::routing_table::cutover::{self, Cutover, OrderOutcome};
use crate::coordination::routing_table::tables;
use crate::coordination::sender_registry::MAX_OFFERS_PER_ROUND;
use crate::Nanos;

/// Nanoseconds after which a view is sent again to a sender that has not reported it as applied.
const VIEW_TIMEOUT: Nanos = PROPOSAL_TIMEOUT / 2;
/// Answer to an operator whose order was not applied to the federation's record within
/// [`ORDER_TIMEOUT`].
const TABLE_ORDER_TIMED_OUT: &str = "not agreed within 5 s; check the status and repeat the order";

impl LeaderDuties {
    /// Handles a sender's message on routing tables. A sender reports its stored tables right after
    /// its request for a session, before the session has been applied to the record.
    pub(super) fn on_table_message(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        message: &AgentTableMessage,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(sender) = self.sender_on(connection) {
            self.take_table_message(now, &sender, message, record, effects);
        } else if !self.is_joining_on(connection) {
            effects.push(Effect::Send(connection, ReplicaToAgent::UnknownSession));
        } else if let AgentTableMessage::StoredTables(tables) = message {
            self.keep_tables_of_joining(connection, tables);
        }
    }

    /// Handles a message on routing tables of a sender that has a session.
    pub(super) fn take_table_message(
        &mut self,
        now: Nanos,
        sender: &str,
        message: &AgentTableMessage,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let mut proposals = Vec::new();
        self.cutover
            .on_sender_message(now, sender, message, record, &mut proposals);
        propose_table_changes(record, proposals, effects);
        if let AgentTableMessage::StoredTables(_) = message {
            self.announce_tables(now, sender, record, &mut { MAX_OFFERS_PER_ROUND }, effects);
        }
    }

    /// Advances the site's routing tables, and answers the operators whose orders have been applied
    /// to the federation's record.
    pub(super) fn advance_cutover(
        &mut self,
        now: Nanos,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let mut proposals = Vec::new();
        self.cutover
            .on_tick(now, record, self.federation_view.as_ref(), &mut proposals);
        propose_table_changes(record, proposals, effects);
        self.answer_table_orders(now, effects);
    }

    fn answer_table_orders(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let known = self.federation_view.as_ref();
        self.pending_table_orders.retain(|order| {
            let outcome = known.map_or(OrderOutcome::Pending, |known| {
                Cutover::order_outcome(&order.command, known)
            });
            let answer = match outcome {
                OrderOutcome::Done(version) => OperatorResponse::Done(version),
                OrderOutcome::Failed(why) => OperatorResponse::Rejected(why),
                OrderOutcome::Pending if now < order.received_at + ORDER_TIMEOUT => return true,
                OrderOutcome::Pending => OperatorResponse::Rejected(TABLE_ORDER_TIMED_OUT.into()),
            };
            effects.push(Effect::Reply(order.connection, answer));
            false
        });
    }

    /// Sends a sender the messages on policies that are due; `offers` is the number of texts that
    /// may still be offered.
    pub(super) fn announce_policies(
        &mut self,
        now: Nanos,
        sender: &str,
        record: &Record,
        offers: &mut usize,
        effects: &mut Vec<Effect>,
    ) {
        let Some(connection) = self.connection_of(sender) else {
            return;
        };
        let Some(member) = record.roster.get(sender) else {
            return;
        };
        let send = &mut |message| effects.push(Effect::Send(connection, message));
        self.roll
            .announce(now, sender, &member.zone, record, offers, send);
    }

    /// Sends a sender the messages on routing tables that are due; `offers` is the number of texts
    /// that may still be offered.
    pub(super) fn announce_tables(
        &mut self,
        now: Nanos,
        sender: &str,
        record: &Record,
        offers: &mut usize,
        effects: &mut Vec<Effect>,
    ) {
        let Some(connection) = self.connection_of(sender) else {
            return;
        };
        let send = &mut |message| {
            effects.push(Effect::Send(
                connection,
                ReplicaToAgent::RoutingTable(message),
            ))
        };
        self.cutover
            .send_due_messages(now, sender, record, offers, send);
    }

    /// Sends every sender the messages on policies that are due.
    pub(super) fn announce_policies_to_all(
        &mut self,
        now: Nanos,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let mut offers = MAX_OFFERS_PER_ROUND;
        for sender in self.senders() {
            self.announce_policies(now, &sender, record, &mut offers, effects);
        }
    }

    /// Sends every sender the messages on routing tables that are due.
    pub(super) fn announce_tables_to_all(
        &mut self,
        now: Nanos,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let mut offers = MAX_OFFERS_PER_ROUND;
        for sender in self.senders() {
            self.announce_tables(now, &sender, record, &mut offers, effects);
        }
    }

    /// Names of the senders that have a session.
    fn senders(&self) -> Vec<String> {
        self.sessions.keys().cloned().collect()
    }
}

/// Sends the record's view to a sender whose version is out of date, and again if the sender does
/// not report the new version within [`VIEW_TIMEOUT`].
pub(super) fn send_view(
    now: Nanos,
    session: &mut Session,
    record: &Record,
    effects: &mut Vec<Effect>,
) {
    let Some(connection) = session.open_connection() else {
        return;
    };
    let is_under_way = session
        .last_view
        .is_some_and(|view| view.version >= record.changed && now < view.sent_at + VIEW_TIMEOUT);
    if is_under_way || !record.is_view_outdated(session.record_version) {
        return;
    }
    session.last_view = Some(SentView {
        version: record.version,
        sent_at: now,
    });
    effects.push(Effect::Send(
        connection,
        ReplicaToAgent::View(record.view()),
    ));
}

/// Converts the proposals of the cutover to effects.
fn propose_table_changes(
    record: &Record,
    proposals: Vec<cutover::CutoverEffect>,
    effects: &mut Vec<Effect>,
) {
    for proposal in proposals {
        effects.push(match proposal {
            cutover::CutoverEffect::ProposeToSite(change) => propose_table_change(record, change),
            cutover::CutoverEffect::ProposeToFederation(command) => {
                Effect::ProposeToFederation(command)
            }
        });
    }
}

/// Returns the proposal of a change of the site's tables, based on the record's current turn.
fn propose_table_change(record: &Record, change: tables::Change) -> Effect {
    Effect::Propose(Command::ChangeTables {
        base: record.tables.turn,
        change: Box::new(change),
    })
}
