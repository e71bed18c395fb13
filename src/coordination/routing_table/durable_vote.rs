//! What a site's federation member has persisted, as it stands in the site's own record.
//!
//! It owns the fence between members of successive site leaders and the raft state of the last
//! one. `coordination::record` applies the commands; [`member`](super::member) proposes them and
//! resumes from what stands here.
//!
//! Two replicas may both take themselves for the site's leader for a while. The first command of
//! each is a fence that names its term at the site ([`DurableVote::fence`]); nothing of an earlier
//! term is appended after it. Invariant: the site votes once in a raft term, and has whatever it
//! has acknowledged, whichever replica leads it next.

use crate::coordination::raft_log::{Batch, Checkpoint, LogEntry, LogItem};
use crate::coordination::replicated_state::MAX_COMMAND_BYTES;
use serde::{Deserialize, Serialize};

/// Entries behind the base after which another base is due, in bytes: as much again as two tables.
const COMPACT_AFTER_BYTES: usize = 32 * 1024;
/// The same as a number of entries: four minutes of heartbeats.
const COMPACT_AFTER_ENTRIES: usize = 256;
/// Longest piece that fits in a command of the site's log with what surrounds it, in bytes.
pub const MAX_ITEM_BYTES: usize = MAX_COMMAND_BYTES - 1024;

/// The persisted raft state of a site's member, and the term of the site leader that writes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableVote {
    /// Term of the site leader whose member may write: the fence.
    pub term: u64,
    /// Number of its last piece that was appended.
    pub number: u64,
    /// All that was persisted: the base with the batches behind it.
    pub base: Option<Box<Checkpoint>>,
}

impl DurableVote {
    /// Lets only the member of this site term write from now on, unless a later one already does.
    pub fn fence(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.number = 0;
        }
    }

    /// Appends a piece; pieces of each term are numbered from 1.
    ///
    /// Void are pieces of other terms, repeated ones, and those that do not follow what stands
    /// here.
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

    /// Replaces the base. Another identity has to begin with an empty one; it gives up the earlier
    /// identity's vote for good, as that cannot come back: it would be drawn anew.
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

    /// Whether another base should be written.
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
