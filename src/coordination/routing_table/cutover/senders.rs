//! The tables that the site's senders store, refuse and apply, and the messages that are sent to
//! them.

use crate::coordination::messages::{ReplicaTableMessage, SiteAdmission};
use crate::coordination::record::{Record, RosterEntry};
use crate::coordination::routing_table::cutover::{Cutover, CutoverEffect, REFUSAL_RETRY_INTERVAL};
use crate::coordination::routing_table::federation::RoutingTable;
use crate::coordination::sender_registry::{KnownSender, LiveSender};
use crate::Nanos;

impl Cutover {
    /// Handles a sender's result of checking a table: it has persisted the table, or refuses it.
    pub(super) fn on_checked(
        &mut self,
        sender: &str,
        number: u64,
        refused: Option<&str>,
        record: &Record,
    ) {
        let tables = &record.tables;
        let Some(digest) = tables.text(number).map(|t| t.digest) else {
            return;
        };
        let has_text = |number| tables.text(number).is_some();
        let refusal = self
            .senders
            .record_check(sender, (number, digest), refused, has_text);
        if let Some(why) = refusal {
            let why = why.replace('\n', "; ");
            log::warn!("table {number}: {sender} cannot go by it: {why}");
        }
    }

    /// Handles a sender's report that it has applied a turn. The last sender for which a pause
    /// waits ends the pause at once.
    pub(super) fn on_turn_taken(
        &mut self,
        now: Nanos,
        sender: &str,
        turn: u64,
        record: &Record,
        effects: &mut Vec<CutoverEffect>,
    ) {
        let is_in_future = turn > record.tables.turn;
        if is_in_future || !self.senders.record_applied(sender, turn) {
            return;
        }
        let Some(awaited) = &mut self.awaited else {
            return;
        };
        if awaited.remove(sender) && awaited.is_empty() {
            let end_pause = |cutover: &mut Cutover| cutover.end_pause(now, record);
            self.propose_change(now, record, end_pause, effects);
        }
    }

    /// Asks senders that refuse the active or the decided table again when that is due.
    pub(super) fn ask_refusing_senders_again(&mut self, now: Nanos, record: &Record) {
        let tables = &record.tables;
        let is_due = now >= self.refusals_asked_at + REFUSAL_RETRY_INTERVAL;
        if tables.register.stance == SiteAdmission::Paused || !is_due {
            return;
        }
        self.refusals_asked_at = now;
        self.senders.clear_refusals(tables.register.number);
        if let Some(next) = &tables.next {
            self.senders.clear_refusals(next.number);
        }
    }

    /// Sends a sender the messages that are due: the current turn if the sender has not confirmed
    /// it, and tables that it lacks. `offers` is the number of tables that may still be sent.
    pub fn send_due_messages(
        &mut self,
        now: Nanos,
        sender: &str,
        record: &Record,
        offers: &mut usize,
        send: &mut dyn FnMut(ReplicaTableMessage),
    ) {
        if !self
            .senders
            .get(sender)
            .is_some_and(KnownSender::has_reported)
        {
            return;
        }
        self.send_due_turn(now, sender, record, send);
        self.send_missing_tables(now, sender, record, offers, send);
        let tables = &record.tables;
        self.senders
            .forget_offers(sender, |number| tables.text(number).is_some());
    }

    fn send_due_turn(
        &mut self,
        now: Nanos,
        sender: &str,
        record: &Record,
        send: &mut dyn FnMut(ReplicaTableMessage),
    ) {
        let active = record.tables.register;
        if self.lease.is_shut() && active.stance == SiteAdmission::Open {
            return;
        }
        let turn = active.turn;
        if self.senders.claim_announcement(now, sender, turn, turn) {
            send(ReplicaTableMessage::ApplyTable {
                turn,
                number: active.number,
                admission: active.stance,
            });
        }
    }

    fn send_missing_tables(
        &mut self,
        now: Nanos,
        sender: &str,
        record: &Record,
        offers: &mut usize,
        send: &mut dyn FnMut(ReplicaTableMessage),
    ) {
        let tables = &record.tables;
        let offered = tables.offered.as_ref().map(|o| &o.table);
        let all = [Some(&tables.table), tables.next.as_ref(), offered];
        for table in all.into_iter().flatten().filter(|t| t.number > 0) {
            let senders = &mut self.senders;
            if senders.claim_offer(now, sender, table.number, &table.digest, offers) {
                send(ReplicaTableMessage::OfferTable {
                    number: table.number,
                    digest: table.digest,
                    text: table.text.clone(),
                });
            }
        }
    }

    /// Returns the live senders that have not confirmed the current turn.
    pub(super) fn not_on_turn<'a>(&'a self, record: &'a Record) -> Vec<&'a String> {
        let turn = record.tables.register.turn;
        self.senders.unconfirmed(record, |_| true, |_| turn)
    }

    /// Returns the live senders that have not confirmed that they store a table and do not refuse
    /// it.
    pub(super) fn not_storing<'a>(
        &'a self,
        record: &'a Record,
        table: &RoutingTable,
    ) -> Vec<&'a String> {
        let needs = |_: &RosterEntry| (table.number, Some(table.digest));
        let mut late = self.senders.without_document(record, |_| true, needs);
        late.retain(|name| !self.refuses(name, table.number));
        late
    }

    /// Returns whether all live senders have confirmed that they store a table.
    pub(super) fn is_stored_by_all(&self, record: &Record, table: &RoutingTable) -> bool {
        let mut live = self.senders.live(record, |_| true);
        live.all(|sender| {
            let known = sender.known;
            known.is_some_and(|k| k.has_stored(table.number, Some(table.digest)))
        })
    }

    pub(super) fn refuses(&self, sender: &str, number: u64) -> bool {
        let known = self.senders.get(sender);
        known.is_some_and(|sender| sender.refusal(number).is_some())
    }

    /// Returns the live senders that follow no tables.
    pub(super) fn not_following<'a>(&'a self, record: &'a Record) -> Vec<&'a String> {
        let live = self.senders.live(record, |_| true);
        live.filter(|sender| sender.known.is_some_and(KnownSender::failed_to_report))
            .map(|sender| sender.name)
            .collect()
    }

    /// Returns a text for operators that says why the first refusing live sender cannot use a
    /// table.
    pub(super) fn refusal(&self, record: &Record, number: u64) -> Option<String> {
        let mut live = self.senders.live(record, |_| true);
        live.find_map(|LiveSender { name, known, .. }| {
            let known = known?;
            if known.failed_to_report() {
                return Some(format!(
                    "{name}: its fleet file has no table [table], so it follows none"
                ));
            }
            known.refusal(number).map(|why| format!("{name}: {why}"))
        })
    }
}
