//! The leader's reaction to each command that was applied to the record: one function per kind of
//! command.

use crate::coordination::leader::announce::send_view;
use crate::coordination::leader::sessions::JoinedSender;
use crate::coordination::leader::{Effect, LeaderDuties};
use crate::coordination::messages::OperatorResponse;
use crate::coordination::record::{Command, Record, SliceId};
use crate::coordination::routing_table::tables;
use crate::Nanos;

impl LeaderDuties {
    /// Handles the command that was applied to the record at `index` of the log; `record` is the
    /// state after that command.
    pub fn on_applied(
        &mut self,
        now: Nanos,
        index: u64,
        command: &Command,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        match command {
            Command::AddSender { sender, boot, zone } => {
                let joined = JoinedSender {
                    name: sender,
                    boot: *boot,
                    home_zone: zone,
                };
                self.on_sender_added(now, joined, record, effects);
            }
            Command::ExpireSender { sender, boot } => self.on_sender_expired(sender, *boot, record),
            Command::AdvanceClock { term, beat, .. } => {
                self.on_heartbeat_applied(now, *term, *beat, record, effects);
            }
            Command::SetZonePhase { .. } => self.on_zone_order_applied(now, index, record, effects),
            Command::RequestZoneState { .. } => {
                self.on_operator_request_applied(now, index, command, record, effects);
            }
            Command::AllocateAttempts {
                term,
                slice,
                zone,
                epoch,
                ..
            } => {
                if self.is_slice_current(*term, *slice, zone, *epoch, record) {
                    self.recovery_ramp.on_slice_committed(zone, *slice);
                    self.send_grants(now, effects);
                }
            }
            Command::ChangePolicies { change, .. } => {
                self.on_policy_change_applied(now, index, change, record, effects);
            }
            Command::ChangeTables { change, .. } => {
                self.on_table_change_applied(now, index, change, record, effects);
            }
            // These commands concern only the site's member of the federation.
            Command::FenceMember { .. } | Command::PersistMemberLog { .. } => {}
        }
    }

    /// Handles an order for a zone. A void order has changed nothing in the record.
    fn on_zone_order_applied(
        &mut self,
        now: Nanos,
        index: u64,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        self.pending_decision = self
            .pending_decision
            .filter(|pending| pending.epoch >= record.epoch);
        if record.changed != index {
            return;
        }
        self.follow_returns(now, record);
        for session in self.sessions.values_mut() {
            send_view(now, session, record, effects);
        }
    }

    /// Handles an operator's request on a zone that was applied to the record: answers the operator
    /// and immediately decides on the orders that follow from the request.
    fn on_operator_request_applied(
        &mut self,
        now: Nanos,
        index: u64,
        command: &Command,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        let position = self
            .pending_zone_orders
            .iter()
            .position(|order| order.command == *command);
        let order = position.and_then(|position| self.pending_zone_orders.remove(position));
        if let Some(order) = order {
            effects.push(Effect::Reply(
                order.connection,
                OperatorResponse::Done(index),
            ));
        }
        self.decide(now, record, effects);
    }

    /// Whether a slice was proposed in this term and is the last one of an ongoing return. Calls
    /// may be granted only of such a slice. Invariant: no call of the budget is granted twice.
    fn is_slice_current(
        &self,
        term: u64,
        slice: u64,
        zone: &str,
        epoch: u64,
        record: &Record,
    ) -> bool {
        term == self.term
            && record.zones.get(zone).is_some_and(|zone| {
                zone.last_slice
                    == SliceId {
                        term,
                        number: slice,
                    }
                    && zone.epoch == epoch
            })
    }

    fn on_table_change_applied(
        &mut self,
        now: Nanos,
        index: u64,
        change: &tables::Change,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        self.cutover.on_applied(now, index, change, record);
        if record.tables.at == index {
            self.announce_tables_to_all(now, record, effects);
        }
    }
}
