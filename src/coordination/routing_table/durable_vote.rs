//! The persisted raft state of a site's federation member, kept in the site's own record.
//!
//! This module owns the fence between the members of successive site leaders, and the raft state of
//! the last one. `coordination::record` applies the commands; [`member`](super::member) proposes
//! them and resumes from this state.
//!
//! Two replicas may both consider themselves the site's leader for a while. The first command of
//! each is a fence that names its term at the site ([`DurableVote::fence`]); after it, nothing of
//! an earlier term is appended. Invariant: the site votes once in a raft term, and whichever
//! replica leads it next has all that the site acknowledged.

use crate::coordination::raft_log::{Batch, Checkpoint, LogEntry, LogItem};
use crate::coordination::replicated_state::MAX_COMMAND_BYTES;
use serde::{Deserialize, Serialize};

/// Total size of the entries after the base at which a new base is due, in bytes: as much as two
/// tables.
const COMPACT_AFTER_BYTES: usize = 32 * 1024;
/// Number of entries after the base at which a new base is due: four minutes of heartbeats.
const COMPACT_AFTER_ENTRIES: usize = 256;
/// Longest item that fits in a command of the site's log together with the data around it, in
/// bytes.
pub const MAX_ITEM_BYTES: usize = MAX_COMMAND_BYTES - 1024;

/// The persisted raft state of a site's member, and the term of the site leader that writes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableVote {
    /// Fence: the term of the site leader whose member may write.
    pub term: u64,
    /// Number of the last item that was appended in this term.
    pub number: u64,
    /// The persisted state: the base with the batches after it.
    pub base: Option<Box<Checkpoint>>,
}

impl DurableVote {
    /// Lets only the member of this site term write, unless a later term already does.
    pub fn fence(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.number = 0;
        }
    }

    /// Appends an item; the items of each term are numbered from 1.
    ///
    /// Items of other terms, repeated items, and items that do not follow the last one are void.
    pub fn put(&mut self, term: u64, number: u64, piece: &LogItem) {
        if term != self.term || number != self.number + 1 {
            return;
        }
        self.number = number;
        match piece {
            LogItem::Checkpoint(base) => self.replace_base(base),
            LogItem::Batch(batch) => self.append(batch),
        }
    }

    /// Replaces the base. The base of another identity has to be an empty one. It discards the
    /// earlier identity's vote for good, which is safe because that identity cannot return: an
    /// identity is drawn anew.
    fn replace_base(&mut self, base: &Checkpoint) {
        if let Some(before) = &self.base {
            let is_same_identity = before.identity == base.identity;
            let is_empty = base.index <= 1 && base.hard_state.vote == 0;
            if !is_same_identity && !is_empty {
                return;
            }
        }
        self.base = Some(Box::new(base.clone()));
    }

    fn append(&mut self, batch: &Batch) {
        let Some(base) = &mut self.base else {
            return;
        };
        let mut all = Batch {
            hard_state: base.hard_state,
            entries: std::mem::take(&mut base.entries),
        };
        all.merge(batch.clone());
        base.hard_state = all.hard_state;
        base.entries = all.entries;
    }

    /// Returns whether a new base is due.
    pub fn wants_base(&self) -> bool {
        let Some(base) = &self.base else {
            return false;
        };
        let bytes: usize = base.entries.iter().map(LogEntry::size).sum();
        base.entries.len() > COMPACT_AFTER_ENTRIES || bytes > COMPACT_AFTER_BYTES
    }
}

#[cfg(test)]
mod tests;
