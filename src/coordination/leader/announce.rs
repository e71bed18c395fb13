//! What is said to senders of policies and routing tables, and what they answer.

use crate::coordination::leader::{ConnectionId, LeaderDuties, Out, AGAIN};
use crate::coordination::messages::{FromSender, ToAgent, ToPerson};
use crate::coordination::record::{Command, Record};
use crate::coordination::routing_table::cutover::{Known, Switch};
use crate::coordination::routing_table::{cutover, tables};
use crate::coordination::sender_registry::OFFERS;
use crate::Nanos;

impl LeaderDuties {
    /// What a sender says of tables. What it has it says right behind its first word, before the
    /// record has its session.
    pub(super) fn hear_tables(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        word: &FromSender,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        let speaks = self.sender_on(connection);
        let joining = self
            .joining
            .values_mut()
            .find(|j| j.connection == connection);
        match (speaks, joining, word) {
            (Some(sender), ..) => {
                let mut said = Vec::new();
                self.switch.hear(now, &sender, word, record, &mut said);
                switched(record, said, out);
                if let FromSender::Has(_) = word {
                    self.say_tables(now, &sender, record, &mut { OFFERS }, out);
                }
            }
            (None, Some(joining), FromSender::Has(tables)) => joining.tables = Some(tables.clone()),
            (None, Some(_), _) => {}
            (None, None, _) => out.push(Out::Say(connection, ToAgent::Unknown)),
        }
    }

    /// The federation is known to stand so, or time has passed: to be told at each change and some
    /// ten times a second, and when the leader begins, before a sender is heard. Nothing, where the
    /// site is in none.
    pub fn federation(
        &mut self,
        now: Nanos,
        known: Option<Known>,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        self.known = known;
        self.tick_tables(now, record, out);
    }

    pub(super) fn tick_tables(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        let mut said = Vec::new();
        self.switch
            .tick(now, record, self.known.as_ref(), &mut said);
        switched(record, said, out);
        let known = self.known.as_ref();
        self.pending_table_orders.retain_mut(|order| {
            let shows = known.and_then(|known| Switch::shows(&order.command, known));
            let answer = match shows {
                Some(Ok(version)) => ToPerson::Done(version),
                Some(Err(why)) => ToPerson::Refused(why),
                None if now >= order.at + 5 * AGAIN => ToPerson::Refused(
                    "not agreed in 5 s; look at the status and say it again".into(),
                ),
                None => return true,
            };
            out.push(Out::Answer(order.connection, answer));
            false
        });
    }

    /// Says to a sender what concerns policies; `offers` bounds the long words.
    pub(super) fn say_policies(
        &mut self,
        now: Nanos,
        sender: &str,
        record: &Record,
        offers: &mut usize,
        out: &mut Vec<Out>,
    ) {
        let Some((connection, member)) = self.connection_of(sender).zip(record.roster.get(sender))
        else {
            return;
        };
        self.roll
            .say(now, sender, &member.zone, record, offers, &mut |word| {
                out.push(Out::Say(connection, word))
            });
    }

    /// The same of tables.
    pub(super) fn say_tables(
        &mut self,
        now: Nanos,
        sender: &str,
        record: &Record,
        offers: &mut usize,
        out: &mut Vec<Out>,
    ) {
        let Some(connection) = self.connection_of(sender) else {
            return;
        };
        let say = &mut |word| out.push(Out::Say(connection, ToAgent::Table(word)));
        self.switch.say(now, sender, record, offers, say);
    }

    /// Says something to each sender that has a session, with the long words of one turn.
    fn each(&mut self, mut say: impl FnMut(&mut LeaderDuties, &str, &mut usize)) {
        let mut offers = OFFERS;
        for sender in self.sessions.keys().cloned().collect::<Vec<_>>() {
            say(self, &sender, &mut offers);
        }
    }

    pub(super) fn say_all_tables(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        self.each(|duties, sender, offers| duties.say_tables(now, sender, record, offers, out));
    }

    pub(super) fn say_all_policies(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        self.each(|duties, sender, offers| duties.say_policies(now, sender, record, offers, out));
    }
}

/// What the leader does with tables, as commands.
pub(super) fn switched(record: &Record, said: Vec<cutover::Out>, out: &mut Vec<Out>) {
    out.extend(said.into_iter().map(|said| match said {
        cutover::Out::Site(change) => Out::Propose(table(record, change)),
        cutover::Out::Federation(command) => Out::Federation(command),
    }));
}

/// A change of tables, based on the turn that stands.
fn table(record: &Record, change: tables::Change) -> Command {
    Command::Table {
        base: record.tables.turn,
        change: Box::new(change),
    }
}
