//! What a leader knows of senders by their own words: what each has checked and written down, what
//! it refuses, and the turn that it goes by.
//!
//! It forgets all of it with its office: the next leader hears it again from those that live, so
//! nothing goes on by a word that only an earlier one heard. Rules ([`super::policy::rollout`]) and
//! routing tables ([`super::table::switch`]) have one each.

use crate::coordination::cut;
use crate::coordination::messages::Digest;
use crate::coordination::record::{Record, RosterEntry};
use crate::Nanos;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
/// What is said and not answered is said again after this time.
const RESEND_AFTER: Nanos = SECOND / 2;
/// A text that is offered and not answered is offered again after this time: a sender checks and
/// writes it first.
const REOFFER_AFTER: Nanos = SECOND;
/// Offers of one kind in one turn of the office: what is sent at once is a few megabytes, and three
/// thousand senders have theirs in 6 s.
pub const MAX_OFFERS_PER_ROUND: usize = 50;
/// Names in a line, at the most.
const MAX_NAMES_SHOWN: usize = 10;
/// Texts that a sender is known to have, at the most: as many as a record has of one kind.
const MAX_STORED_TEXTS: usize = 8;
/// Longest reason of a sender that is kept, in bytes.
const MAX_REASON_BYTES: usize = 2_000;

/// What a leader knows of a sender, from its words in this session.
#[derive(Clone, Debug, Default)]
pub struct KnownSender {
    boot: u64,
    /// What it has; nothing where it follows none, or has not said yet.
    stored: Option<BTreeMap<u64, Digest>>,
    /// It has had time to say what it has.
    told_all: bool,
    /// What it cannot go by, and why.
    refused: BTreeMap<u64, String>,
    /// The turn that it goes by.
    heard: u64,
    /// The turn that was said on its line, and when.
    told: Option<(u64, Nanos)>,
    offered: BTreeMap<u64, Nanos>,
}

impl KnownSender {
    /// Whether it has said that it has this text; number 0 has none.
    pub fn has(&self, number: u64, digest: Option<Digest>) -> bool {
        number == 0
            || digest.is_some()
                && self.stored.as_ref().and_then(|s| s.get(&number)) == digest.as_ref()
    }

    /// Whether it has said what it has at all.
    pub fn follows(&self) -> bool {
        self.stored.is_some()
    }

    /// Whether it would have said by now what it has, and has not.
    pub fn is_deaf(&self) -> bool {
        self.told_all && self.stored.is_none()
    }

    /// Why it cannot go by that.
    pub fn refuses(&self, number: u64) -> Option<&String> {
        self.refused.get(&number)
    }
}

/// A sender that the record has as live, with what is known of it in the session that the record
/// has.
pub type LiveSender<'a> = (&'a String, &'a RosterEntry, Option<&'a KnownSender>);

/// What senders said of one kind of text.
#[derive(Clone, Debug, Default)]
pub struct SenderRegistry {
    senders: BTreeMap<String, KnownSender>,
}

impl SenderRegistry {
    /// A sender has a session, and says what it has. On a line of its own nothing was said yet.
    pub fn meet(&mut self, sender: &str, boot: u64, stored: Option<&[(u64, Digest)]>) {
        let known = self.senders.entry(sender.into()).or_default();
        if known.boot != boot {
            *known = KnownSender {
                boot,
                ..KnownSender::default()
            };
        }
        known.stored = stored.map(|all| all.iter().take(MAX_STORED_TEXTS).copied().collect());
        (known.told, known.offered, known.refused) = (None, BTreeMap::new(), BTreeMap::new());
        known.told_all = false;
    }

    /// It says behind its first word what it has.
    pub fn has(&mut self, sender: &str, stored: &[(u64, Digest)]) {
        if let Some(known) = self.senders.get_mut(sender) {
            known.stored = Some(stored.iter().take(MAX_STORED_TEXTS).copied().collect());
        }
    }

    /// It says something that it says after what it has.
    pub fn is_told(&mut self, sender: &str) {
        self.senders
            .get_mut(sender)
            .into_iter()
            .for_each(|known| known.told_all = true);
    }

    /// A text that senders cannot go by may be offered to them again.
    pub fn forgive(&mut self, number: u64) {
        self.senders
            .values_mut()
            .for_each(|known| _ = known.refused.remove(&number));
    }

    /// Its session is over.
    pub fn part(&mut self, sender: &str) {
        self.senders.remove(sender);
    }

    /// It has checked a text of that print. Gives the reason for which it cannot go by it, where
    /// that is new. What is not `kept` any more is not asked for again.
    pub fn checked(
        &mut self,
        sender: &str,
        (number, digest): (u64, Digest),
        refused: Option<&str>,
        kept: impl Fn(u64) -> bool,
    ) -> Option<String> {
        let known = self.senders.get_mut(sender)?;
        match refused {
            Some(why) => {
                let why = cut(why, MAX_REASON_BYTES);
                let new = known.refused.insert(number, why.clone()).is_none();
                known.refused.retain(|n, _| kept(*n));
                new.then_some(why)
            }
            None => {
                known.refused.remove(&number);
                if let Some(stored) = &mut known.stored {
                    stored.insert(number, digest);
                    stored.retain(|n, _| kept(*n));
                }
                None
            }
        }
    }

    /// It goes by a turn; false where nothing is known of it.
    pub fn goes_by(&mut self, sender: &str, turn: u64) -> bool {
        let known = self.senders.get_mut(sender);
        known
            .map(|known| known.heard = known.heard.max(turn))
            .is_some()
    }

    /// What is known of a sender, in whatever session.
    pub fn of(&self, sender: &str) -> Option<&KnownSender> {
        self.senders.get(sender)
    }

    /// Whether a sender is to be told now what its register says, that changed last by this turn.
    /// It counts as told.
    pub fn is_due(&mut self, now: Nanos, sender: &str, changed: u64, turn: u64) -> bool {
        let Some(known) = self.senders.get_mut(sender) else {
            return false;
        };
        let again = match known.told {
            None => true,
            Some((told, at)) => told < changed || known.heard < changed && now >= at + RESEND_AFTER,
        };
        if again {
            known.told = Some((turn, now));
        }
        again
    }

    /// Whether a sender is to be offered this now, while `offers` last. It counts as offered.
    pub fn lacks(
        &mut self,
        now: Nanos,
        sender: &str,
        number: u64,
        digest: &Digest,
        offers: &mut usize,
    ) -> bool {
        let Some(known) = self.senders.get_mut(sender) else {
            return false;
        };
        let Some(stored) = &known.stored else {
            return false;
        };
        let has = stored.get(&number) == Some(digest) || known.refused.contains_key(&number);
        let waits = known
            .offered
            .get(&number)
            .is_some_and(|at| now < at + REOFFER_AFTER);
        if has || waits || *offers == 0 {
            return false;
        }
        *offers -= 1;
        known.offered.insert(number, now);
        true
    }

    /// What is not `kept` any more was never offered.
    pub fn forget(&mut self, sender: &str, kept: impl Fn(u64) -> bool) {
        self.senders
            .get_mut(sender)
            .into_iter()
            .for_each(|known| known.offered.retain(|n, _| kept(*n)));
    }

    /// Live senders of those that are asked for.
    pub fn live<'a>(
        &'a self,
        record: &'a Record,
        asked: impl Fn(&RosterEntry) -> bool + 'a,
    ) -> impl Iterator<Item = LiveSender<'a>> + 'a {
        let live = record
            .roster
            .iter()
            .filter(move |(_, m)| m.live && asked(m));
        live.map(|(name, m)| (name, m, self.senders.get(name).filter(|k| k.boot == m.boot)))
    }

    /// Those of them that have not said that they go by their register, as it stands since a turn.
    pub fn unheard<'a>(
        &'a self,
        record: &'a Record,
        asked: impl Fn(&RosterEntry) -> bool + 'a,
        changed: impl Fn(&RosterEntry) -> u64,
    ) -> Vec<&'a String> {
        let live = self.live(record, asked);
        live.filter(|(_, m, known)| known.is_none_or(|k| k.heard < changed(m)))
            .map(|(name, ..)| name)
            .collect()
    }

    /// Those of them that have not said that they have what they are to go by: its number, and its
    /// print.
    pub fn unstored<'a>(
        &'a self,
        record: &'a Record,
        asked: impl Fn(&RosterEntry) -> bool + 'a,
        needs: impl Fn(&RosterEntry) -> (u64, Option<Digest>),
    ) -> Vec<&'a String> {
        let late = self.live(record, asked).filter(|(_, m, known)| {
            let (number, digest) = needs(m);
            !known.is_some_and(|k| k.has(number, digest))
        });
        late.map(|(name, ..)| name).collect()
    }
}

/// Some names, and how many more there are.
pub fn names(all: &[&String]) -> String {
    let some: Vec<&str> = all
        .iter()
        .take(MAX_NAMES_SHOWN)
        .map(|n| n.as_str())
        .collect();
    let more = all.len().saturating_sub(MAX_NAMES_SHOWN);
    let rest = if more > 0 {
        format!(" and {more} more")
    } else {
        String::new()
    };
    format!("{}{rest}", some.join(", "))
}
