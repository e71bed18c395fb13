//! What a leader knows of senders by their own messages: the documents that each has stored, those
//! that it refuses, and the turn that it goes by.
//!
//! One registry is kept for each kind of document: policies ([`super::policy_rollout::rollout`])
//! and routing tables ([`super::routing_table::cutover`]). It belongs to one leadership: the next
//! leader begins with an empty one and hears everything again from the senders that live, so
//! nothing goes on by a message that only an earlier leader got. It sends nothing itself; it says
//! what is due to be sent, and counts it as sent.

use crate::coordination::messages::Digest;
use crate::coordination::record::{Record, RosterEntry};
use crate::coordination::truncate_utf8;
use crate::Nanos;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
/// What is announced and not confirmed is announced again after this time.
const RESEND_AFTER: Nanos = SECOND / 2;
/// A document that is offered and not answered is offered again after this time: a sender validates
/// and stores it first.
const REOFFER_AFTER: Nanos = SECOND;
/// Offers of one kind in one round of the leader: what is sent at once is a few megabytes, and
/// three thousand senders have theirs in 6 s.
pub const MAX_OFFERS_PER_ROUND: usize = 50;
/// Names in a line, at the most.
const MAX_NAMES_SHOWN: usize = 10;
/// Documents that a sender is known to have, at the most: as many as a record has of one kind.
const MAX_STORED_DOCUMENTS: usize = 8;
/// Longest reason of a sender that is kept, in bytes.
const MAX_REASON_BYTES: usize = 2_000;

/// A turn that was announced to a sender.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    turn: u64,
    at: Nanos,
}

/// What a leader knows of a sender, from its messages in this session.
#[derive(Clone, Debug, Default)]
pub struct KnownSender {
    boot: u64,
    /// Documents that it has, by number; nothing where it follows none, or has not reported yet.
    stored: Option<BTreeMap<u64, Digest>>,
    /// It has sent something that it sends after the report of what it has stored.
    inventory_due: bool,
    /// Documents that it cannot go by, and why.
    refused: BTreeMap<u64, String>,
    /// The turn that it goes by.
    applied_turn: u64,
    /// The turn that was last announced on its connection.
    announced: Option<Announcement>,
    /// When each document was last offered.
    offered_at: BTreeMap<u64, Nanos>,
}

impl KnownSender {
    /// Whether it has reported this document as stored. Number 0 stands for none, which everybody
    /// has.
    pub fn has_stored(&self, number: u64, digest: Option<Digest>) -> bool {
        if number == 0 {
            return true;
        }
        let stored = self.stored.as_ref().and_then(|s| s.get(&number));
        digest.is_some() && stored == digest.as_ref()
    }

    /// Whether it has reported what it has stored at all.
    pub fn has_reported(&self) -> bool {
        self.stored.is_some()
    }

    /// Whether it would have reported by now what it has stored, and has not.
    pub fn failed_to_report(&self) -> bool {
        self.inventory_due && self.stored.is_none()
    }

    /// Why it cannot go by a document; nothing where it has not refused it.
    pub fn refusal(&self, number: u64) -> Option<&String> {
        self.refused.get(&number)
    }
}

/// A sender that holds a lease by the record.
#[derive(Clone, Copy, Debug)]
pub struct LiveSender<'a> {
    /// Its name.
    pub name: &'a String,
    /// Its entry on the roster.
    pub entry: &'a RosterEntry,
    /// What is known of it in the session that the record has.
    pub known: Option<&'a KnownSender>,
}

/// What senders reported of one kind of document.
#[derive(Clone, Debug, Default)]
pub struct SenderRegistry {
    senders: BTreeMap<String, KnownSender>,
}

impl SenderRegistry {
    /// A sender opens a session, perhaps on another connection, where nothing was announced or
    /// offered yet. It may report what it has stored with that.
    pub fn open_session(&mut self, sender: &str, boot: u64, stored: Option<&[(u64, Digest)]>) {
        let known = self.senders.entry(sender.into()).or_default();
        if known.boot != boot {
            *known = KnownSender {
                boot,
                ..KnownSender::default()
            };
        }
        known.stored = stored.map(bounded);
        known.announced = None;
        known.offered_at.clear();
        known.refused.clear();
        known.inventory_due = false;
    }

    /// A sender reports what it has stored behind the message that opened its session.
    pub fn set_stored(&mut self, sender: &str, stored: &[(u64, Digest)]) {
        if let Some(known) = self.senders.get_mut(sender) {
            known.stored = Some(bounded(stored));
        }
    }

    /// A sender sent something that it sends after the report of what it has stored.
    pub fn note_inventory_due(&mut self, sender: &str) {
        if let Some(known) = self.senders.get_mut(sender) {
            known.inventory_due = true;
        }
    }

    /// Forgets who refused a document: it may be offered to them again.
    pub fn clear_refusals(&mut self, number: u64) {
        for known in self.senders.values_mut() {
            known.refused.remove(&number);
        }
    }

    /// A sender's session is over.
    pub fn close_session(&mut self, sender: &str) {
        self.senders.remove(sender);
    }

    /// A sender has validated a document. Gives the reason for which it cannot go by it, where that
    /// is new. Documents for which `is_kept` says no are forgotten.
    pub fn record_check(
        &mut self,
        sender: &str,
        (number, digest): (u64, Digest),
        refused: Option<&str>,
        is_kept: impl Fn(u64) -> bool,
    ) -> Option<String> {
        let known = self.senders.get_mut(sender)?;
        let Some(reason) = refused else {
            known.refused.remove(&number);
            if let Some(stored) = &mut known.stored {
                stored.insert(number, digest);
                stored.retain(|n, _| is_kept(*n));
            }
            return None;
        };
        let reason = truncate_utf8(reason, MAX_REASON_BYTES);
        let is_new = known.refused.insert(number, reason.clone()).is_none();
        known.refused.retain(|n, _| is_kept(*n));
        is_new.then_some(reason)
    }

    /// A sender goes by a turn; false where nothing is known of it.
    pub fn record_applied(&mut self, sender: &str, turn: u64) -> bool {
        let Some(known) = self.senders.get_mut(sender) else {
            return false;
        };
        known.applied_turn = known.applied_turn.max(turn);
        true
    }

    /// What is known of a sender, in whatever session.
    pub fn get(&self, sender: &str) -> Option<&KnownSender> {
        self.senders.get(sender)
    }

    /// Whether what a sender is to go by, which changed last with the turn `changed`, is to be
    /// announced to it now. If so, it counts as announced, as of `turn`.
    pub fn claim_announcement(
        &mut self,
        now: Nanos,
        sender: &str,
        changed: u64,
        turn: u64,
    ) -> bool {
        let Some(known) = self.senders.get_mut(sender) else {
            return false;
        };
        let is_due = known.announced.is_none_or(|last| {
            let is_unconfirmed = known.applied_turn < changed;
            last.turn < changed || is_unconfirmed && now >= last.at + RESEND_AFTER
        });
        if is_due {
            known.announced = Some(Announcement { turn, at: now });
        }
        is_due
    }

    /// Whether a sender is to be offered a document now, while `offers` last. If so, it counts as
    /// offered.
    pub fn claim_offer(
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
        let is_checked = stored.get(&number) == Some(digest) || known.refused.contains_key(&number);
        let last = known.offered_at.get(&number);
        let is_waited_for = last.is_some_and(|at| now < at + REOFFER_AFTER);
        if is_checked || is_waited_for || *offers == 0 {
            return false;
        }
        *offers -= 1;
        known.offered_at.insert(number, now);
        true
    }

    /// Forgets offers to a sender of documents for which `is_kept` says no.
    pub fn forget_offers(&mut self, sender: &str, is_kept: impl Fn(u64) -> bool) {
        if let Some(known) = self.senders.get_mut(sender) {
            known.offered_at.retain(|n, _| is_kept(*n));
        }
    }

    /// Live senders of those that `is_asked` names.
    pub fn live<'a>(
        &'a self,
        record: &'a Record,
        is_asked: impl Fn(&RosterEntry) -> bool + 'a,
    ) -> impl Iterator<Item = LiveSender<'a>> + 'a {
        let live = record
            .roster
            .iter()
            .filter(move |(_, entry)| entry.live && is_asked(entry));
        live.map(|(name, entry)| {
            let known = self.senders.get(name);
            LiveSender {
                name,
                entry,
                known: known.filter(|k| k.boot == entry.boot),
            }
        })
    }

    /// Live senders that have not confirmed the turn with which what they go by last changed.
    pub fn unconfirmed<'a>(
        &'a self,
        record: &'a Record,
        is_asked: impl Fn(&RosterEntry) -> bool + 'a,
        changed: impl Fn(&RosterEntry) -> u64,
    ) -> Vec<&'a String> {
        let live = self.live(record, is_asked);
        let behind = live.filter(|sender| {
            let changed = changed(sender.entry);
            sender.known.is_none_or(|k| k.applied_turn < changed)
        });
        behind.map(|sender| sender.name).collect()
    }

    /// Live senders that have not reported as stored what they are to go by: its number and its
    /// digest.
    pub fn without_document<'a>(
        &'a self,
        record: &'a Record,
        is_asked: impl Fn(&RosterEntry) -> bool + 'a,
        document: impl Fn(&RosterEntry) -> (u64, Option<Digest>),
    ) -> Vec<&'a String> {
        let live = self.live(record, is_asked);
        let without = live.filter(|sender| {
            let (number, digest) = document(sender.entry);
            !sender.known.is_some_and(|k| k.has_stored(number, digest))
        });
        without.map(|sender| sender.name).collect()
    }
}

fn bounded(stored: &[(u64, Digest)]) -> BTreeMap<u64, Digest> {
    stored.iter().take(MAX_STORED_DOCUMENTS).copied().collect()
}

/// Formats some names, and how many more there are.
pub fn format_names(all: &[&String]) -> String {
    let shown: Vec<&str> = all
        .iter()
        .take(MAX_NAMES_SHOWN)
        .map(|n| n.as_str())
        .collect();
    let shown = shown.join(", ");
    match all.len().saturating_sub(MAX_NAMES_SHOWN) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}
