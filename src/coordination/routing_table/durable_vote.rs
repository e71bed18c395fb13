//! What a site's voice in the federation has written down. It stands in the site's record, so that
//! whichever keeper leads the site next goes on from it: the site votes once in a term, and what it
//! has acknowledged it knows.
//!
//! Two keepers may both take themselves for the voice for a while. The first command of each names
//! its term at the site ([`DurableVote::fence`]); from there on nothing of an earlier one is taken.
//! What an earlier one had said before relied on what stands here, and stays true.

use crate::coordination::raft_group::MAX_COMMAND_BYTES;
use crate::coordination::raft_log::{Batch, Checkpoint, LogEntry, LogItem};
use serde::{Deserialize, Serialize};

/// Entries behind the base after which another one is due, in bytes: as much again as two tables.
const COMPACT_AFTER_BYTES: usize = 32 * 1024;
/// And how many: four minutes of beats.
const COMPACT_AFTER_ENTRIES: usize = 256;
/// Longest piece that fits in a command with what is said round it, in bytes.
pub const MAX_ITEM_BYTES: usize = MAX_COMMAND_BYTES - 1024;

/// It.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableVote {
    /// The term of the site's leader that writes.
    pub term: u64,
    /// Its last piece that counts.
    pub number: u64,
    /// All that was written: the base with the batches behind it.
    pub base: Option<Box<Checkpoint>>,
}

impl DurableVote {
    /// From now on only the leader of this term writes, if none of a later one does.
    pub fn fence(&mut self, term: u64) {
        if term > self.term {
            (self.term, self.number) = (term, 0);
        }
    }

    /// A piece, numbered from 1 on in each term. Void are pieces of other terms, those that came
    /// before, and what does not go on from what is here. Another identity begins with an empty
    /// base and gives up the earlier one's vote for good: it cannot come back, as it would be drawn
    /// anew.
    pub fn put(&mut self, term: u64, number: u64, piece: &LogItem) {
        if term != self.term || number != self.number + 1 {
            return;
        }
        self.number = number;
        match (piece, &mut self.base) {
            (LogItem::Checkpoint(base), Some(before)) => {
                if before.identity == base.identity || base.index <= 1 && base.hard.vote == 0 {
                    *before = base.clone();
                }
            }
            (LogItem::Checkpoint(base), before) => *before = Some(base.clone()),
            (LogItem::Batch(_), None) => {}
            (LogItem::Batch(batch), Some(base)) => {
                let mut all = Batch {
                    hard: base.hard,
                    entries: std::mem::take(&mut base.entries),
                };
                all.merge(batch.clone());
                (base.hard, base.entries) = (all.hard, all.entries);
            }
        }
    }

    /// Whether another base should be written.
    pub fn wants_base(&self) -> bool {
        self.base.as_ref().is_some_and(|base| {
            base.entries.len() > COMPACT_AFTER_ENTRIES
                || base.entries.iter().map(LogEntry::size).sum::<usize>() > COMPACT_AFTER_BYTES
        })
    }
}

#[cfg(test)]
mod tests;
