//! Orders of operators: checked, proposed, and answered when the record has them.

use crate::coordination::leader::{
    ConnectionId, LeaderDuties, Out, PendingPolicyOrder, PendingTableOrder,
};
use crate::coordination::messages::{FromPerson, TableOrder, ToPerson, ZoneWish};
use crate::coordination::policy_rollout::register::Change;
use crate::coordination::policy_rollout::rollout::Roll;
use crate::coordination::record::{Command, Phase, Record, Wish};
use crate::coordination::routing_table::cutover::Switch;
use crate::Nanos;

/// Orders of people that wait for the record, at the most.
const MOST_WAITING: usize = 100;

impl LeaderDuties {
    /// An operator orders something over a connection; answered at once, or when the record has it.
    /// Of the status, what the leader does not know (site, keepers) is left for the replica to fill
    /// in.
    pub fn order(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        word: &FromPerson,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        let answer = match word {
            FromPerson::Zone { zone, order, for_s } => {
                match self.zone_command(zone, *order, *for_s, record) {
                    Ok(command) => {
                        out.push(Out::Propose(command.clone()));
                        self.pending_orders.push_back((connection, command, now));
                        return;
                    }
                    Err(answer) => answer,
                }
            }
            FromPerson::Status => ToPerson::Status(Box::new(self.status(record))),
            FromPerson::Policies => ToPerson::Policies(Box::new(self.roll.status(now, record))),
            FromPerson::PastPolicies => ToPerson::PastPolicies(Roll::history(record)),
            FromPerson::Policy { number } => match record.policies.texts.get(number) {
                Some(t) => ToPerson::Policy {
                    number: *number,
                    print: t.print,
                    text: t.text.clone(),
                },
                None => ToPerson::Refused(format!("the record has no text of policy {number}")),
            },
            FromPerson::Propose { .. }
            | FromPerson::Halt { .. }
            | FromPerson::Resume
            | FromPerson::Back => {
                return self.order_policy(now, connection, word, record, out);
            }
            FromPerson::Table(word) => return self.order_table(now, connection, word, record, out),
            FromPerson::Add { .. } | FromPerson::Remove { .. } => {
                ToPerson::Refused("keepers are not the office's to change".into())
            }
        };
        out.push(Out::Answer(connection, answer));
    }

    /// What an order on a zone brings into the record; else what is answered at once.
    fn zone_command(
        &mut self,
        zone: &str,
        wish: ZoneWish,
        for_s: u64,
        record: &Record,
    ) -> Result<Command, ToPerson> {
        self.lists.settle();
        if let Some(why) = self.refusal(zone, wish, record) {
            return Err(ToPerson::Refused(why));
        }
        let word = record.zones.get(zone).and_then(|z| z.wish);
        // What stands already is not written again.
        let same = match wish {
            ZoneWish::Free => word.is_none(),
            _ => {
                for_s == 0
                    && word
                        == Some(Wish {
                            what: wish,
                            until_ms: 0,
                        })
            }
        };
        if same {
            return Err(ToPerson::Done(record.version));
        }
        if self.pending_orders.len() >= MOST_WAITING {
            return Err(ToPerson::Refused(
                "too many orders wait; again in a second".into(),
            ));
        }
        // The record's clock may be a beat behind.
        let beat = if for_s == 0 {
            0
        } else {
            u64::from(self.rules.beat_ms)
        };
        let for_ms = for_s.saturating_mul(1_000).saturating_add(beat);
        Ok(Command::Wish {
            zone: zone.into(),
            wish,
            for_ms,
        })
    }

    /// Why an order on a zone is not taken on.
    fn refusal(&self, zone: &str, wish: ZoneWish, record: &Record) -> Option<String> {
        let stands = record.zones.get(zone);
        let phase = stands.map_or(Phase::Used, |z| z.phase);
        if self.lists.count(zone) == 0 && stands.is_none() {
            Some(format!("no list names a zone {zone:?}"))
        } else if !record.has_room(zone) {
            Some("the record names as many zones as it may".into())
        } else if wish == ZoneWish::Leave && phase == Phase::Used {
            self.may_leave(zone, record).err()
        } else {
            None
        }
    }

    /// An order on policies, given first at some time: proposed on the turn that stands.
    fn order_policy(
        &mut self,
        at: Nanos,
        connection: ConnectionId,
        word: &FromPerson,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        let answer = match self.roll.order(word, record) {
            Err(why) => ToPerson::Refused(why),
            Ok(None) => ToPerson::Done(record.version),
            Ok(Some(_)) if self.pending_policy_orders.len() >= MOST_WAITING => {
                ToPerson::Refused("too many orders wait; again in a second".into())
            }
            Ok(Some(change)) => {
                out.push(policy(record, change.clone()));
                let (word, base) = (word.clone(), record.policies.turn);
                self.pending_policy_orders.push(PendingPolicyOrder {
                    connection,
                    word,
                    base,
                    change,
                    at,
                });
                return;
            }
        };
        out.push(Out::Answer(connection, answer));
    }

    /// An order on the federation and its table: answered at once, or when the federation's record
    /// shows it.
    fn order_table(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        word: &TableOrder,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        let known = self.known.as_ref();
        let none = || ToPerson::Refused("this site is in no federation".into());
        let answer = match (word, known) {
            (TableOrder::Status, Some(known)) => {
                ToPerson::Federation(Box::new(self.switch.status(now, record, known)))
            }
            (TableOrder::History, Some(known)) => ToPerson::PastTables(Switch::history(known)),
            (TableOrder::Status | TableOrder::History, None) => none(),
            (TableOrder::Text { number }, _) => match Switch::text(*number, record, known) {
                Some((number, print, text)) => ToPerson::Table {
                    number,
                    print,
                    text,
                },
                None => ToPerson::Refused(format!("no text of table {number} is held")),
            },
            _ => match self.switch.order(word, record, known) {
                Err(why) => ToPerson::Refused(why),
                Ok(None) => ToPerson::Done(known.map_or(0, |k| k.record.version)),
                Ok(Some(_)) if self.pending_table_orders.len() >= MOST_WAITING => {
                    ToPerson::Refused("too many orders wait; again in a second".into())
                }
                Ok(Some(command)) => {
                    out.push(Out::Federation(command.clone()));
                    self.pending_table_orders.push(PendingTableOrder {
                        connection,
                        command,
                        at: now,
                    });
                    return;
                }
            },
        };
        out.push(Out::Answer(connection, answer));
    }

    /// A change of policies was applied, or was void.
    pub(super) fn changed_policies(
        &mut self,
        now: Nanos,
        index: u64,
        change: &Change,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        self.roll.applied(now, index, change, record);
        let stands = record.policies.at == index;
        let (late, wait): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_policy_orders)
            .into_iter()
            .partition(|a| a.base < record.policies.turn);
        self.pending_policy_orders = wait;
        for a in late {
            match stands && a.base + 1 == record.policies.turn && a.change == *change {
                true => out.push(Out::Answer(a.connection, ToPerson::Done(index))),
                // Another change came first: it is looked at anew.
                false => self.order_policy(a.at, a.connection, &a.word, record, out),
            }
        }
        if stands {
            self.say_all_policies(now, record, out);
        }
    }
}

/// A change of policies, based on the turn that stands.
pub(super) fn policy(record: &Record, change: Change) -> Out {
    Out::Propose(Command::Policy {
        base: record.policies.turn,
        change: Box::new(change),
    })
}
