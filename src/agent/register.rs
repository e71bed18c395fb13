//! What a sender takes messages on under, as a register of the record says: that of its zone for
//! policies, that of its site for routing tables. No I/O, no clock; [`super::machine`] hands words
//! in and says how long its lease is believed.
//!
//! **A turn only grows.** A word of an earlier turn than one that was heard is none; the same one
//! again is answered again.
//!
//! **A lease that lapsed** makes all that was heard doubtful: the record may have gone on without
//! this sender. It takes nothing on before the register was heard on a connection that was opened
//! since. While a lease lasts the record cannot go on without this sender's word, also where its
//! connection is lost and another one comes.
//!
//! **What is said is so.** [`Said::Rules`] is said when the sender goes by that turn: it holds a
//! lease, and what it takes on under is written down.

use crate::coordination::messages::{Digest, ReplicaTableMessage, SiteAdmission};
use crate::Nanos;
use std::collections::BTreeMap;

/// Texts that are checked at once; what is offered beside them is offered again.
const CHECKS: usize = 4;

/// What a register is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Policies.
    Policy,
    /// Routing tables.
    Table,
}

impl Kind {
    /// What one of them is called.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Policy => "policy",
            Kind::Table => "table",
        }
    }

    /// How messages are taken on with one.
    fn how(self) -> &'static str {
        match self {
            Kind::Policy => "under policy",
            Kind::Table => "by table",
        }
    }
}

/// What is said to a keeper.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// Answers an offer.
    Stored {
        /// What was offered.
        number: u64,
        /// Why it cannot be gone by; nothing where it is checked and written down.
        refused: Option<String>,
    },
    /// The sender goes by the rule of this turn.
    Rules {
        /// The turn.
        turn: u64,
    },
}

/// What a sender does that cannot know whether the record has gone on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Without {
    /// It takes nothing new on, and ends what it owes.
    Hold,
    /// It takes on under what it last went by. Two senders may then go by two.
    Last,
}

/// Who takes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Doorway {
    /// This sender, until that moment; nothing where it keeps no promise.
    Open {
        /// Under this.
        number: u64,
        /// Until when.
        until: Option<Nanos>,
    },
    /// Nobody, for a moment.
    Paused,
    /// Not this sender.
    Fenced,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Check this and write it down; [`Register::checked`] says what came of it.
    Check {
        /// Its number.
        number: u64,
        /// Its print.
        digest: Digest,
        /// Its text.
        text: String,
    },
    /// So messages are taken on from now on.
    Stand(Doorway),
    /// Say this on the connection.
    Say(Said),
    /// Tell the operators.
    Note(String),
}

/// What the register says.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rule {
    turn: u64,
    number: u64,
    stance: SiteAdmission,
}

/// A sender's side of the register.
#[derive(Debug)]
pub struct Register {
    kind: Kind,
    without: Without,
    stored: BTreeMap<u64, Digest>,
    checking: BTreeMap<u64, Digest>,
    /// The word of the highest turn.
    rule: Option<Rule>,
    /// It was heard since the lease last lapsed.
    sure: bool,
    /// The lease was held when it was last looked.
    held: bool,
    /// What it last took on under, also in an earlier process.
    last: u64,
    /// What was ordered of the sender last.
    stands: Option<Doorway>,
    /// The turn whose [`Said::Rules`] is owed.
    owed: Option<u64>,
}

impl Register {
    /// A sender that starts, with what it has written down and the number that it last took on
    /// under.
    pub fn new(kind: Kind, without: Without, stored: BTreeMap<u64, Digest>, last: u64) -> Register {
        let last = if stored.contains_key(&last) { last } else { 0 };
        let (checking, rule, stands, owed) = (BTreeMap::new(), None, None, None);
        Register {
            kind,
            without,
            stored,
            checking,
            rule,
            sure: false,
            held: false,
            last,
            stands,
            owed,
        }
    }

    /// What it is of.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// What it has written down, by number.
    pub fn stored(&self) -> Vec<(u64, Digest)> {
        self.stored
            .iter()
            .map(|(number, digest)| (*number, *digest))
            .collect()
    }

    /// What it may need at once: the one that the record names, and the one that it last went by.
    pub fn needs(&self) -> [u64; 2] {
        [self.rule.map_or(0, |r| r.number), self.last]
    }

    /// A keeper's word.
    pub fn hear(&mut self, word: ReplicaTableMessage, out: &mut Vec<Out>) {
        match word {
            ReplicaTableMessage::OfferTable {
                number,
                digest,
                text,
            } => self.offered(number, digest, text, out),
            ReplicaTableMessage::ApplyTable {
                turn,
                number,
                admission: stance,
            } => {
                let rule = Rule {
                    turn,
                    number,
                    stance,
                };
                if self.rule.is_some_and(|heard| turn < heard.turn) {
                    return;
                }
                // One turn has one meaning: what was heard first stands.
                if self.rule.is_none_or(|heard| turn > heard.turn) {
                    self.rule = Some(rule);
                }
                (self.sure, self.owed) = (true, Some(turn));
            }
        }
    }

    /// Whether it held a lease when it was last looked.
    pub fn holds(&self) -> bool {
        self.held
    }

    /// The lease is held, or not, as it is looked now. True where it has lapsed since the last
    /// look: nothing that was heard counts any more, and what still comes on that connection must
    /// not.
    pub fn lapses(&mut self, holds: bool) -> bool {
        let lapsed = self.held && !holds;
        self.held = holds;
        if lapsed {
            (self.sure, self.owed) = (false, None);
        }
        lapsed
    }

    /// A connection is opened without a lease: only what is heard on it counts.
    pub fn begins(&mut self) {
        (self.sure, self.owed) = (false, None);
    }

    /// These are not written down any more.
    pub fn forget(&mut self, numbers: &[u64]) {
        numbers
            .iter()
            .for_each(|number| _ = self.stored.remove(number));
    }

    /// What came of a check: it is written down, or cannot be gone by.
    pub fn checked(&mut self, number: u64, result: Result<(), String>, out: &mut Vec<Out>) {
        let name = self.kind.name();
        let Some(digest) = self.checking.remove(&number) else {
            return;
        };
        let refused = match result {
            Ok(()) => {
                self.stored.insert(number, digest);
                out.push(Out::Note(format!(
                    "{name} {number} is checked and written down"
                )));
                None
            }
            Err(why) => {
                out.push(Out::Note(format!(
                    "{name} {number} refused: {}",
                    why.replace('\n', "; ")
                )));
                Some(why)
            }
        };
        out.push(Out::Say(Said::Stored { number, refused }));
    }

    /// Orders what follows from what was heard and from the lease, which is believed until then if
    /// there is one.
    pub fn settle(&mut self, now: Nanos, lease: Option<Nanos>, out: &mut Vec<Out>) {
        let holds = lease.filter(|until| now < *until);
        self.held |= holds.is_some();
        let rule = self.rule.filter(|_| self.sure && holds.is_some());
        let known = |number: u64| number == 0 || self.stored.contains_key(&number);
        let stands = match rule {
            Some(Rule {
                stance: SiteAdmission::Paused,
                ..
            }) => Doorway::Paused,
            Some(Rule {
                stance: SiteAdmission::LeaseExpired,
                ..
            }) => Doorway::Fenced,
            Some(rule) if known(rule.number) => {
                let until = holds.filter(|_| self.without == Without::Hold);
                Doorway::Open {
                    number: rule.number,
                    until,
                }
            }
            Some(_) => Doorway::Fenced,
            None if self.without == Without::Last => Doorway::Open {
                number: self.last,
                until: None,
            },
            None => Doorway::Fenced,
        };
        if let (Doorway::Open { number, .. }, Some(_)) = (stands, rule) {
            self.last = number;
        }
        if self.stands != Some(stands) {
            out.extend(self.told(stands, rule).map(Out::Note));
            self.stands = Some(stands);
            out.push(Out::Stand(stands));
        }
        // Said after it is so. What is fenced for want of the text does not go by it yet.
        if rule
            .is_some_and(|r| r.stance == SiteAdmission::LeaseExpired || stands != Doorway::Fenced)
        {
            out.extend(self.owed.take().map(|turn| Out::Say(Said::Rules { turn })));
        }
    }

    /// What is new, for the operators; a lease that was renewed is not.
    fn told(&self, stands: Doorway, rule: Option<Rule>) -> Option<String> {
        let (name, how) = (self.kind.name(), self.kind.how());
        let by = rule.map_or("without a keeper's word".into(), |r| {
            format!("by turn {}", r.turn)
        });
        match (self.stands, stands) {
            (Some(Doorway::Open { number: old, .. }), Doorway::Open { number, .. })
                if old == number =>
            {
                None
            }
            (_, Doorway::Open { number, .. }) => Some(format!("takes on {how} {number} {by}")),
            (_, Doorway::Paused) => Some(format!("takes nothing on for a moment {by}")),
            (_, Doorway::Fenced) => match rule {
                Some(Rule {
                    stance: SiteAdmission::LeaseExpired,
                    ..
                }) => Some(format!(
                    "takes nothing on {by}: the site's lease in its federation is over"
                )),
                Some(rule) => Some(format!(
                    "takes nothing on {by}: {name} {} is not here yet",
                    rule.number
                )),
                None => Some(format!(
                    "takes nothing on: it may have missed a change of {name}"
                )),
            },
        }
    }

    fn offered(&mut self, number: u64, digest: Digest, text: String, out: &mut Vec<Out>) {
        if self.stored.get(&number) == Some(&digest) {
            return out.push(Out::Say(Said::Stored {
                number,
                refused: None,
            }));
        }
        if number == 0 {
            let refused = Some(format!("{} 0 has no text", self.kind.name()));
            return out.push(Out::Say(Said::Stored { number, refused }));
        }
        // One that is being checked is answered once; what finds no room is offered again.
        if self.checking.len() < CHECKS && !self.checking.contains_key(&number) {
            self.checking.insert(number, digest);
            out.push(Out::Check {
                number,
                digest,
                text,
            });
        }
    }
}
