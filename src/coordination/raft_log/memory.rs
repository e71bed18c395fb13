//! The log as the `raft` library reads it: in memory, ahead of what is written to disk.

use super::{Checkpoint, LogEntry, UnreadableLog};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use std::collections::VecDeque;

/// Entries before a snapshot that stay in memory, so that a replica that is slightly behind needs
/// no snapshot.
const RETAINED_ENTRIES: usize = 512;

/// Position of an entry.
#[derive(Clone, Copy)]
struct Position {
    index: u64,
    term: u64,
}

/// The library's view of a replica's log.
pub struct MemoryStorage {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    conf_state: ConfState,
    snapshot: Snapshot,
    /// Position before the first entry that is in memory.
    before: Position,
    entries: VecDeque<Entry>,
}

impl MemoryStorage {
    /// Builds the storage from what was written.
    ///
    /// # Errors
    /// An entry is of a kind that this program does not know.
    pub fn new(checkpoint: &Checkpoint) -> Result<MemoryStorage, UnreadableLog> {
        let entries = checkpoint
            .entries
            .iter()
            .cloned()
            .map(LogEntry::into_library)
            .collect::<Option<_>>();
        let mut storage = MemoryStorage {
            hard_state: checkpoint.hard_state.to_library(),
            conf_state: ConfState {
                voters: checkpoint.voters.clone(),
                ..ConfState::default()
            },
            snapshot: Snapshot::default(),
            before: Position {
                index: checkpoint.index,
                term: checkpoint.term,
            },
            entries: entries.ok_or(UnreadableLog::EntryKind)?,
        };
        storage.set_snapshot(checkpoint.index, checkpoint.term, checkpoint.state.to_vec());
        Ok(storage)
    }

    fn set_snapshot(&mut self, index: u64, term: u64, state: Vec<u8>) {
        let mut snapshot = Snapshot {
            data: state.into(),
            ..Snapshot::default()
        };
        let metadata = snapshot.mut_metadata();
        metadata.index = index;
        metadata.term = term;
        metadata.set_conf_state(self.conf_state.clone());
        self.snapshot = snapshot;
    }

    /// Records a change of the voters by the entry of this index. A replica rejects a snapshot that
    /// does not count it as a voter, so the snapshot that is sent from now on is of this index; no
    /// entry is dropped.
    pub fn set_conf_state(&mut self, conf_state: ConfState, index: u64, state: Vec<u8>) {
        self.conf_state = conf_state;
        if let Ok(term) = self.term(index) {
            self.set_snapshot(index, term, state);
        }
    }

    /// Returns the replicas that vote.
    pub fn voters(&self) -> &[u64] {
        &self.conf_state.voters
    }

    /// Replaces everything by a snapshot of another replica.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let metadata = snapshot.get_metadata();
        self.before = Position {
            index: metadata.index,
            term: metadata.term,
        };
        self.conf_state = metadata.get_conf_state().clone();
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Adds entries; they replace all existing ones from the first one's index on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let kept = first.index.saturating_sub(self.before.index + 1);
        self.entries.truncate(kept as usize);
        self.entries.extend(entries.iter().cloned());
    }

    /// Replaces the snapshot by one of the state at `index`, and drops the entries before it except
    /// the last [`RETAINED_ENTRIES`].
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        let Ok(term) = self.term(index) else { return };
        self.set_snapshot(index, term, state);
        while self
            .entries
            .get(RETAINED_ENTRIES)
            .is_some_and(|e| e.index <= index)
        {
            let Some(first) = self.entries.pop_front() else {
                break;
            };
            self.before = Position {
                index: first.index,
                term: first.term,
            };
        }
    }

    /// Returns the entries after an index.
    pub(super) fn entries_after(&self, index: u64) -> Vec<LogEntry> {
        self.entries
            .iter()
            .filter(|e| e.index > index)
            .map(LogEntry::of)
            .collect()
    }

    fn last(&self) -> u64 {
        self.before.index + self.entries.len() as u64
    }
}

impl Storage for MemoryStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(
            self.hard_state.clone(),
            self.conf_state.clone(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.before.index {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let offset = |index: u64| (index - self.before.index - 1) as usize;
        let range = self.entries.range(offset(low)..offset(high));
        let mut entries: Vec<Entry> = range.cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before.index {
            return Ok(self.before.term);
        }
        let metadata = self.snapshot.get_metadata();
        if index == metadata.index {
            return Ok(metadata.term);
        }
        let offset = index
            .checked_sub(self.before.index + 1)
            .ok_or(StorageError::Compacted)?;
        let entry = self.entries.get(offset as usize);
        Ok(entry.ok_or(StorageError::Unavailable)?.term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
