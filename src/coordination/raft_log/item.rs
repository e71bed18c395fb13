//! Items of a replica's log, and how they are combined on start. Their encoding (`postcard`: order
//! and types of variants and fields) is the one on disk and does not change; older formats are read
//! as well.

use super::MemoryStorage;
use protobuf::ProtobufEnum;
use raft::eraftpb::{Entry, EntryType, HardState};
use raft::Storage;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

/// Format version that is written. Version 2 appends policies to the record in a snapshot, version
/// 3 routing tables after those. Older versions are read as well, and become version 3 with the
/// next snapshot.
const FORMAT_VERSION: u16 = 3;
/// Oldest format version that is read.
const OLDEST_FORMAT_VERSION: u16 = 1;
/// Approximate size of an entry or a batch besides its data, in bytes.
const OVERHEAD_BYTES: usize = 32;

/// Identity of a folder's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// The site.
    pub site: String,
    /// Number of the replica.
    pub replica: u64,
    /// Random number drawn when the folder was created: another folder of the same replica has
    /// another one.
    pub incarnation: u64,
}

/// Term, vote and commit index, as they are written to disk.
///
/// Ensures that a replica votes once per term, also across a restart: the vote is synced before the
/// message that carries it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedHardState {
    /// The term.
    pub term: u64,
    /// Replica that this one voted for in that term; 0 for none.
    pub vote: u64,
    /// Index of the last entry that is known to be committed.
    pub commit: u64,
}

impl PersistedHardState {
    /// Converts from the library's type.
    pub fn of(state: &HardState) -> PersistedHardState {
        PersistedHardState {
            term: state.term,
            vote: state.vote,
            commit: state.commit,
        }
    }

    /// Converts to the library's type.
    pub(super) fn to_library(self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote,
            commit: self.commit,
            ..HardState::default()
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    kind: i32,
    term: u64,
    index: u64,
    data: ByteBuf,
    context: ByteBuf,
}

impl LogEntry {
    /// Converts from the library's type.
    pub fn of(entry: &Entry) -> LogEntry {
        LogEntry {
            kind: entry.get_entry_type().value(),
            term: entry.term,
            index: entry.index,
            data: ByteBuf::from(entry.data.to_vec()),
            context: ByteBuf::from(entry.context.to_vec()),
        }
    }

    /// Converts to the library's type; `None` for an entry of an unknown kind.
    pub(super) fn into_library(self) -> Option<Entry> {
        let mut entry = Entry::default();
        entry.set_entry_type(EntryType::from_i32(self.kind)?);
        entry.term = self.term;
        entry.index = self.index;
        entry.data = self.data.into_vec().into();
        entry.context = self.context.into_vec().into();
        Some(entry)
    }

    /// Returns the approximate size, in bytes.
    pub fn size(&self) -> usize {
        self.data.len() + self.context.len() + OVERHEAD_BYTES
    }
}

/// Complete state of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Format version.
    pub format_version: u16,
    /// Identity of the folder's owner.
    pub identity: ReplicaIdentity,
    /// Whether the replica takes part: at a site's first start it waits until all replicas know
    /// each other.
    pub takes_part: bool,
    /// Incarnations of the other replicas that are known before the replica takes part.
    pub known_incarnations: BTreeMap<u64, u64>,
    /// Term, vote and commit index.
    pub hard_state: PersistedHardState,
    /// Index of the last entry that the snapshot contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Replicas that vote.
    pub voters: Vec<u64>,
    /// The snapshot: a [`GroupState`](crate::coordination::raft_group::GroupState).
    pub state: ByteBuf,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl Checkpoint {
    /// Creates the first checkpoint of a folder. A group that begins has an empty snapshot as its
    /// entry 1, so that a replica which joins later is sent one; a replica that joins a group
    /// begins at 0.
    pub fn new(
        identity: ReplicaIdentity,
        index: u64,
        voters: Vec<u64>,
        state: Vec<u8>,
    ) -> Checkpoint {
        Checkpoint {
            format_version: FORMAT_VERSION,
            identity,
            takes_part: false,
            known_incarnations: BTreeMap::new(),
            hard_state: PersistedHardState {
                term: index,
                vote: 0,
                commit: index,
            },
            index,
            term: index,
            voters,
            state: ByteBuf::from(state),
            entries: Vec::new(),
        }
    }

    /// Copies the checkpoint without snapshot, entries and voters.
    pub fn without_state(&self) -> Checkpoint {
        Checkpoint {
            identity: self.identity.clone(),
            known_incarnations: self.known_incarnations.clone(),
            state: ByteBuf::new(),
            entries: Vec::new(),
            voters: Vec::new(),
            ..*self
        }
    }

    /// Returns the next checkpoint of the same replica: a snapshot as of `index`, with the later
    /// entries of `storage`.
    pub fn next(
        &self,
        storage: &MemoryStorage,
        voters: Vec<u64>,
        state: Vec<u8>,
        index: u64,
    ) -> Checkpoint {
        let hard_state = PersistedHardState::of(&storage.hard_state);
        Checkpoint {
            format_version: FORMAT_VERSION,
            hard_state: PersistedHardState {
                commit: hard_state.commit.max(index),
                ..hard_state
            },
            index,
            term: storage.term(index).unwrap_or(self.term),
            voters,
            state: ByteBuf::from(state),
            entries: storage.entries_after(index),
            ..self.clone()
        }
    }

    /// Adds a batch that was written after this checkpoint.
    pub fn append(&mut self, batch: Batch) {
        let mut merged = Batch {
            hard_state: self.hard_state,
            entries: std::mem::take(&mut self.entries),
        };
        merged.merge(batch);
        self.hard_state = merged.hard_state;
        self.entries = merged.entries;
    }

    /// Returns the approximate size of the entries after the snapshot, in bytes.
    pub fn entries_size(&self) -> usize {
        self.entries.iter().map(LogEntry::size).sum()
    }

    /// Returns whether the entries follow the snapshot without a gap.
    fn is_unbroken(&self) -> bool {
        let indexes = self.index + 1..;
        self.entries
            .iter()
            .zip(indexes)
            .all(|(entry, index)| entry.index == index)
    }
}

/// Changes that were written after a checkpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Term, vote and commit index.
    pub hard_state: PersistedHardState,
    /// Entries; they replace all existing ones from the first one's index on.
    pub entries: Vec<LogEntry>,
}

impl Batch {
    /// Merges the batch that follows this one into it.
    pub fn merge(&mut self, later: Batch) {
        self.hard_state = later.hard_state;
        if let Some(first) = later.entries.first() {
            let from = first.index;
            self.entries.retain(|e| e.index < from);
        }
        self.entries.extend(later.entries);
    }

    /// Returns the approximate size, in bytes.
    pub fn size(&self) -> usize {
        self.entries.iter().map(LogEntry::size).sum::<usize>() + OVERHEAD_BYTES
    }
}

/// An item of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogItem {
    /// The complete state of the replica.
    Checkpoint(Box<Checkpoint>),
    /// Changes after the checkpoint.
    Batch(Batch),
}

/// Reason for which the items that were read do not form a valid state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnreadableLog {
    /// A checkpoint of a format version that this program does not know.
    #[error(
        "the checkpoint has format version {0}, this program knows {OLDEST_FORMAT_VERSION} to \
         {FORMAT_VERSION}"
    )]
    Form(u16),
    /// Entries between the checkpoint and the last entry are missing.
    #[error("log entries are missing")]
    EntriesMissing,
    /// An entry of a kind that this program does not know.
    #[error("a log entry is of an unknown kind")]
    EntryKind,
}

/// Combines the newest checkpoint with the batches after it; `None` where there is no checkpoint.
///
/// # Errors
/// The items do not form a valid state.
pub fn assemble_checkpoint(
    items: impl Iterator<Item = LogItem>,
) -> Result<Option<Checkpoint>, UnreadableLog> {
    let mut newest: Option<Checkpoint> = None;
    for item in items {
        match item {
            LogItem::Checkpoint(checkpoint) => {
                if !(OLDEST_FORMAT_VERSION..=FORMAT_VERSION).contains(&checkpoint.format_version) {
                    return Err(UnreadableLog::Form(checkpoint.format_version));
                }
                newest = Some(*checkpoint);
            }
            LogItem::Batch(batch) => {
                // A batch without a checkpoint before it is older than the checkpoint, and not yet
                // marked as obsolete.
                if let Some(checkpoint) = &mut newest {
                    checkpoint.append(batch);
                    if !checkpoint.is_unbroken() {
                        return Err(UnreadableLog::EntriesMissing);
                    }
                }
            }
        }
    }
    Ok(newest)
}
