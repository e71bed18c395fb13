//! State of senders according to their own messages: the documents that each has stored, those that
//! it has rejected, and the turn that it applies.
//!
//! There is one registry for each kind of document: policies ([`super::policy_rollout::rollout`])
//! and routing tables ([`super::routing_table::cutover`]). It lasts for one term: the next leader
//! starts with an empty registry and gets all reports again from the live senders, so no progress
//! depends on a message that only an earlier leader received. The registry sends nothing itself; it
//! determines which messages are due, and records them as sent.

use crate::coordination::messages::Digest;
use crate::coordination::record::{Record, RosterEntry};
use crate::coordination::truncate_utf8;
use crate::Nanos;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
/// Nanoseconds after which an unconfirmed announcement is sent again.
const RESEND_AFTER: Nanos = SECOND / 2;
/// Nanoseconds after which an unanswered offer of a document is sent again. Longer than
/// [`RESEND_AFTER`], as a sender validates and stores the document before it answers.
const REOFFER_AFTER: Nanos = SECOND;
/// Maximum number of offers of one kind in one round of the leader. Limits the data sent at once to
/// a few megabytes; 3,000 senders get their offers in 6 s.
pub const MAX_OFFERS_PER_ROUND: usize = 50;
/// Maximum number of names in a line.
const MAX_NAMES_SHOWN: usize = 10;
/// Maximum number of stored documents that are kept per sender: as many as a record has of one
/// kind.
const MAX_STORED_DOCUMENTS: usize = 8;
/// Maximum length of a sender's reason that is kept, in bytes.
const MAX_REASON_BYTES: usize = 2_000;

/// A turn that was announced to a sender.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    turn: u64,
    at: Nanos,
}

/// State of a sender according to its messages in this session.
#[derive(Clone, Debug, Default)]
pub struct KnownSender {
    boot: u64,
    /// Stored documents, by number; `None` if it follows none or has not reported them yet.
    stored: Option<BTreeMap<u64, Digest>>,
    /// Whether it has sent a message that it sends only after the report of its stored documents.
    inventory_due: bool,
    /// Documents that it has rejected, with the reason.
    refused: BTreeMap<u64, String>,
    /// The turn that it applies.
    applied_turn: u64,
    /// The turn that was last announced on its connection.
    announced: Option<Announcement>,
    /// Time at which each document was last offered.
    offered_at: BTreeMap<u64, Nanos>,
}

impl KnownSender {
    /// Whether it has reported this document as stored. Number 0 stands for no document, which
    /// always counts as stored.
    pub fn has_stored(&self, number: u64, digest: Option<Digest>) -> bool {
        if number == 0 {
            return true;
        }
        let stored = self.stored.as_ref().and_then(|s| s.get(&number));
        digest.is_some() && stored == digest.as_ref()
    }

    /// Whether it has reported its stored documents.
    pub fn has_reported(&self) -> bool {
        self.stored.is_some()
    }

    /// Whether the report of its stored documents is due and missing.
    pub fn failed_to_report(&self) -> bool {
        self.inventory_due && self.stored.is_none()
    }

    /// Returns the reason for which it rejected a document; `None` if it has not.
    pub fn refusal(&self, number: u64) -> Option<&String> {
        self.refused.get(&number)
    }
}

/// A sender that holds a lease according to the record.
#[derive(Clone, Copy, Debug)]
pub struct LiveSender<'a> {
    /// Name of the sender.
    pub name: &'a String,
    /// Entry on the roster.
    pub entry: &'a RosterEntry,
    /// State in the session that is in the record.
    pub known: Option<&'a KnownSender>,
}

/// State of all senders with respect to one kind of document.
#[derive(Clone, Debug, Default)]
pub struct SenderRegistry {
    senders: BTreeMap<String, KnownSender>,
}

impl SenderRegistry {
    /// Starts or resumes a sender's session. Earlier announcements and offers no longer count, as
    /// the connection may be a new one. `stored` are the documents reported with the request, if
    /// any.
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

    /// Records the stored documents that a sender reports after the message that opened its
    /// session.
    pub fn set_stored(&mut self, sender: &str, stored: &[(u64, Digest)]) {
        if let Some(known) = self.senders.get_mut(sender) {
            known.stored = Some(bounded(stored));
        }
    }

    /// Records that a sender has sent a message that it sends only after the report of its stored
    /// documents.
    pub fn note_inventory_due(&mut self, sender: &str) {
        if let Some(known) = self.senders.get_mut(sender) {
            known.inventory_due = true;
        }
    }

    /// Removes all rejections of a document, so that it may be offered again.
    pub fn clear_refusals(&mut self, number: u64) {
        for known in self.senders.values_mut() {
            known.refused.remove(&number);
        }
    }

    /// Removes a sender whose session has ended.
    pub fn close_session(&mut self, sender: &str) {
        self.senders.remove(sender);
    }

    /// Records a sender's validation of a document. Returns the reason if the sender rejected the
    /// document and had not done so before. Documents for which `is_kept` is false are removed.
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

    /// Records that a sender applies a turn. Returns false if the sender is unknown.
    pub fn record_applied(&mut self, sender: &str, turn: u64) -> bool {
        let Some(known) = self.senders.get_mut(sender) else {
            return false;
        };
        known.applied_turn = known.applied_turn.max(turn);
        true
    }

    /// Returns the state of a sender, in any session.
    pub fn get(&self, sender: &str) -> Option<&KnownSender> {
        self.senders.get(sender)
    }

    /// Whether an announcement to a sender is due, if its documents last changed with the turn
    /// `changed`. If so, it is recorded as sent, for `turn`.
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

    /// Whether the offer of a document to a sender is due and `offers` are left. If so, it is
    /// recorded as sent and deducted from `offers`.
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

    /// Removes the offers to a sender of documents for which `is_kept` is false.
    pub fn forget_offers(&mut self, sender: &str, is_kept: impl Fn(u64) -> bool) {
        if let Some(known) = self.senders.get_mut(sender) {
            known.offered_at.retain(|n, _| is_kept(*n));
        }
    }

    /// Returns the live senders for which `is_asked` is true.
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

    /// Returns the live senders that have not confirmed the turn with which their documents last
    /// changed.
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

    /// Returns the live senders that have not reported as stored the document that they are to
    /// apply, which `document` returns by number and digest.
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

/// Formats the first names of a list, and the number of the others.
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
