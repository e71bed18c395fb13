//! What a keeper writes down, on the project's own store, and what it holds of it in memory for the
//! library.
//!
//! Two kinds of items. A [`Checkpoint`] is whole in itself: who this folder belongs to, term and vote, a
//! snapshot and the entries behind it. A [`Batch`] is what came after: term and vote, and entries
//! that replace all from the first one's place on. Each is one frame of the store, and is synced
//! before the next is written, so what is found after any stop is a base and an unbroken run of
//! batches behind it, each whole; of the last one alone it may be open whether it is there, and
//! nobody was told of that. When a base is synced, all that is older is over.
//!
//! What is found at a start was perhaps written and never synced: it would be lost by a power cut
//! after it was believed. So the first thing that a keeper writes is a base of what it found; until
//! that is synced it says nothing.

use crate::store::disk::Disk;
use crate::store::frame;
use crate::store::log::{LogOptions, PutError, ReadStored, SegmentLog, SnapshotSource};
use crate::store::recover::{Replay, ReplayError};
use protobuf::ProtobufEnum;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The form of what is written. The second one has policies behind the record in a snapshot, the
/// third routing tables behind those; older ones are read as well, and become the third with the
/// next snapshot.
const FORMAT_VERSION: u16 = 3;
/// The oldest form that is read.
const OLDEST_FORMAT_VERSION: u16 = 1;
/// Longest snapshot and base, in bytes: a record of some thousand senders is a tenth of it.
pub const MAX_CHECKPOINT_BYTES: usize = 1024 * 1024;
/// Bytes of batches after which a base is due, at least; or as many as the last base had.
const COMPACT_AFTER_BYTES: u64 = 128 * 1024;
/// Most that is set aside: half of what the smallest folder holds.
const MAX_RESERVED_BYTES: u64 = 2560 * 1024;
/// Segments that a base may add for what is set aside with it.
const MAX_RESERVE_SEGMENTS: usize = 8;
/// Entries that stay in memory behind a snapshot, so that a keeper that is a little behind needs no
/// snapshot.
const RETAINED_ENTRIES: usize = 512;

/// Whose folder it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// The site.
    pub site: String,
    /// The keeper's number.
    pub keeper: u64,
    /// Drawn when the folder was begun: another folder of the same keeper has another one.
    pub incarnation: u64,
}

/// Term, vote, and how far the log is known to be agreed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedHardState {
    /// The term.
    pub term: u64,
    /// Who this keeper voted for in it; 0 for nobody.
    pub vote: u64,
    /// The last entry that is known to be agreed.
    pub commit: u64,
}

impl PersistedHardState {
    /// As the library has it.
    pub fn of(state: &HardState) -> PersistedHardState {
        PersistedHardState {
            term: state.term,
            vote: state.vote,
            commit: state.commit,
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
    /// From the library's form.
    pub fn of(entry: &Entry) -> LogEntry {
        LogEntry {
            kind: entry.get_entry_type().value(),
            term: entry.term,
            index: entry.index,
            data: ByteBuf::from(entry.data.to_vec()),
            context: ByteBuf::from(entry.context.to_vec()),
        }
    }

    fn entry(self) -> Option<Entry> {
        let mut entry = Entry::default();
        entry.set_entry_type(EntryType::from_i32(self.kind)?);
        (entry.term, entry.index) = (self.term, self.index);
        entry.data = self.data.into_vec().into();
        entry.context = self.context.into_vec().into();
        Some(entry)
    }

    /// Bytes that it takes, about.
    pub fn size(&self) -> usize {
        self.data.len() + self.context.len() + 32
    }
}

/// All that a keeper has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// [`FORMAT_VERSION`].
    pub form: u16,
    /// Whose it is.
    pub identity: ReplicaIdentity,
    /// Whether it takes part: a first start waits until all keepers know each other.
    pub begun: bool,
    /// Folders of the other keepers, as far as they are known before that.
    pub known: BTreeMap<u64, u64>,
    /// Term and vote.
    pub hard: PersistedHardState,
    /// The last entry that the snapshot has.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// Who votes.
    pub voters: Vec<u64>,
    /// The snapshot.
    pub held: ByteBuf,
    /// The entries behind it.
    pub entries: Vec<LogEntry>,
}

impl Checkpoint {
    /// What a folder begins with.
    pub fn new(
        identity: ReplicaIdentity,
        index: u64,
        voters: Vec<u64>,
        held: Vec<u8>,
    ) -> Checkpoint {
        // A group that begins has a snapshot of nothing as its first entry, so that whoever joins
        // later is sent one.
        let hard = PersistedHardState {
            term: index,
            vote: 0,
            commit: index,
        };
        let (held, term) = (ByteBuf::from(held), index);
        let (known, entries) = (BTreeMap::new(), Vec::new());
        Checkpoint {
            form: FORMAT_VERSION,
            identity,
            begun: false,
            known,
            hard,
            index,
            term,
            voters,
            held,
            entries,
        }
    }

    /// The same without what is large.
    pub fn bare(&self) -> Checkpoint {
        let known = self.known.clone();
        Checkpoint {
            identity: self.identity.clone(),
            known,
            held: ByteBuf::new(),
            entries: Vec::new(),
            voters: Vec::new(),
            ..*self
        }
    }

    /// The same place, as it stands in memory.
    pub fn of(
        &self,
        shelf: &MemoryStorage,
        voters: Vec<u64>,
        held: Vec<u8>,
        index: u64,
    ) -> Checkpoint {
        let (entries, term) = (shelf.after(index), shelf.term(index).unwrap_or(self.term));
        let hard = PersistedHardState {
            commit: shelf.hard.commit.max(index),
            ..PersistedHardState::of(&shelf.hard)
        };
        Checkpoint {
            form: FORMAT_VERSION,
            hard,
            index,
            term,
            voters,
            held: ByteBuf::from(held),
            entries,
            ..self.clone()
        }
    }
}

/// What came after.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Term and vote.
    pub hard: PersistedHardState,
    /// Entries; they replace all from the first one's place on.
    pub entries: Vec<LogEntry>,
}

impl Batch {
    /// What came even later, in one.
    pub fn merge(&mut self, later: Batch) {
        self.hard = later.hard;
        if let Some(first) = later.entries.first() {
            let from = first.index;
            self.entries.retain(|e| e.index < from);
        }
        self.entries.extend(later.entries);
    }

    /// Bytes that it takes, about.
    pub fn size(&self) -> usize {
        self.entries.iter().map(LogEntry::size).sum::<usize>() + 32
    }
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogItem {
    /// All.
    Checkpoint(Box<Checkpoint>),
    /// What came after.
    Batch(Batch),
}

/// Why something was not written.
#[derive(Debug, thiserror::Error)]
pub enum SaveError {
    /// Not now: the same may work at another time.
    #[error("{0}")]
    Retryable(String),
    /// What is written may be lost whatever a later sync says: this keeper must stop.
    #[error("{0}")]
    Fatal(String),
}

/// Why a folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The file system.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Something that was kept cannot be read: it might be a vote.
    #[error("damaged: {0}; this keeper may not vote again: remove it from the group and add one under another number")]
    Damaged(String),
    /// It is of another keeper.
    #[error("it is of keeper {0} of site {1:?}")]
    ForeignFolder(u64, String),
    /// The file system has too little room.
    #[error(
        "the file system has too little room for disk_mb: segments of {0} bytes, {MAX_CHECKPOINT_BYTES} are needed"
    )]
    InsufficientSpace(u64),
}

/// Items stand as they were written; they are read again where they have to move.
struct KeepAsWritten;

impl SnapshotSource for KeepAsWritten {
    fn snapshot(&self, _: u64, read_stored: ReadStored<'_>) -> io::Result<Vec<u8>> {
        read_stored()
    }
}

#[derive(Default)]
struct ReplayedItems {
    pieces: BTreeMap<u64, (LogItem, usize)>,
}

impl Replay for ReplayedItems {
    fn on_put(&mut self, no: u64, data: &[u8]) -> Result<(), ReplayError> {
        let piece = postcard::from_bytes(data)?;
        self.pieces.insert(no, (piece, data.len()));
        Ok(())
    }

    fn on_update(&mut self, no: u64, _: &[u8]) -> Result<(), ReplayError> {
        Err(ReplayError::UnexpectedUpdate { item: no })
    }

    fn on_remove(&mut self, no: u64) {
        self.pieces.remove(&no);
    }

    fn on_possible_loss(&mut self) {}

    fn on_losses_known(&mut self, _: &[bool]) {}
}

/// The owner of the folder's files. All of it blocks.
pub struct RaftLogStore {
    log: SegmentLog,
    start: Instant,
    /// The base that counts, and its bytes.
    base: Option<(u64, u64)>,
    /// Items behind it.
    batches: Vec<u64>,
    /// Items that are over and not yet noted as such.
    over: Vec<u64>,
    /// Bytes of batches behind the base.
    behind: u64,
}

impl RaftLogStore {
    /// Opens a folder that may hold `limit` bytes, and gives what stands in it; nothing, where it
    /// is empty.
    pub fn open(
        disk: Arc<dyn Disk>,
        limit: u64,
        seed: u64,
    ) -> Result<(RaftLogStore, Option<Checkpoint>), OpenError> {
        let mut found = ReplayedItems::default();
        let options = LogOptions {
            limit_bytes: limit,
            seed,
            sync_required: true,
        };
        let size =
            |f: &ReplayedItems, no: u64| f.pieces.get(&no).map_or(0, |p| frame::encoded_len(p.1));
        let opened = SegmentLog::open(disk, options, None, &mut found, size)?;
        if !opened.damage.is_empty() {
            let told: Vec<String> = opened.damage.iter().map(ToString::to_string).collect();
            return Err(OpenError::Damaged(told.join("; ")));
        }
        let segment = opened.log.occupancy().segment_bytes;
        if segment < (MAX_CHECKPOINT_BYTES + 1024) as u64 {
            return Err(OpenError::InsufficientSpace(segment));
        }
        let over = found.pieces.keys().copied().collect();
        let base = assemble_checkpoint(found.pieces.into_values().map(|p| p.0))
            .map_err(OpenError::Damaged)?;
        let (start, batches) = (Instant::now(), Vec::new());
        Ok((
            RaftLogStore {
                log: opened.log,
                start,
                base: None,
                batches,
                over,
                behind: 0,
            },
            base,
        ))
    }

    /// Writes something down and returns when it outlasts the machine.
    pub fn save(&mut self, piece: &LogItem) -> Result<(), SaveError> {
        let later = |e: &dyn std::fmt::Display| SaveError::Retryable(e.to_string());
        let data = postcard::to_stdvec(piece).map_err(|e| later(&e))?;
        let len = frame::encoded_len(data.len());
        // Room for the next base is set aside with each, so that a file system which others have
        // filled stops neither that nor, with it, the end of what is old.
        let aside = |len: u64| (3 * (len + COMPACT_AFTER_BYTES.max(len))).min(MAX_RESERVED_BYTES);
        if let (LogItem::Checkpoint(_), Some((no, len))) = (piece, self.base) {
            self.log.set_reserved_size(no, len);
        }
        let put = self.log.put(self.now(), &data, len, &KeepAsWritten);
        if let Some(change) = put.gate_change {
            log::info!("keeper's log: {change}");
        }
        let no = match put.result {
            Ok(no) => no,
            Err(e) => {
                if let Some((no, len)) = self.base {
                    self.log.set_reserved_size(no, aside(len));
                }
                let too_long = matches!(e, PutError::TooLong);
                return Err(if too_long {
                    SaveError::Fatal(e.to_string())
                } else {
                    later(&e)
                });
            }
        };
        self.sync()?;
        match piece {
            LogItem::Batch(_) => {
                self.batches.push(no);
                self.behind += len;
                // What was set aside is there for it.
                if self
                    .base
                    .is_some_and(|(_, base)| self.behind <= 2 * COMPACT_AFTER_BYTES.max(base))
                {
                    self.log.set_reserved_size(no, 1);
                }
            }
            LogItem::Checkpoint(_) => {
                self.over.extend(self.base.map(|b| b.0));
                self.over.append(&mut self.batches);
                (self.base, self.behind) = (Some((no, len)), 0);
                self.log.set_reserved_size(no, aside(len));
                // What is set aside has to be there; where the file system gives no more, half of
                // what is left is.
                for _ in 0..MAX_RESERVE_SEGMENTS {
                    let _ = self.log.maintain(self.now(), &KeepAsWritten);
                }
                let view = self.log.occupancy();
                if view.live_bytes > view.live_capacity(0) {
                    self.log.set_reserved_size(no, len);
                    let view = self.log.occupancy();
                    let left = view
                        .live_capacity(aside(len))
                        .saturating_sub(view.live_bytes);
                    self.log.set_reserved_size(no, len + left / 2);
                }
            }
        }
        // That something is over may be lost: a later base says so too.
        while let Some(no) = self.over.last().copied() {
            if self.log.remove(no, &KeepAsWritten).is_err() {
                break;
            }
            self.over.pop();
        }
        if let Err(e) = self.log.maintain(self.now(), &KeepAsWritten) {
            log::debug!("keeper's log: {e}");
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), SaveError> {
        let unsynced = self.log.take_unsynced();
        match unsynced.sync() {
            Ok(()) => {
                self.log.mark_synced(&unsynced);
                Ok(())
            }
            Err(e) => {
                self.log.sync_failed(self.now(), unsynced);
                Err(SaveError::Fatal(format!("sync: {e}")))
            }
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Whether a new base should be written.
    pub fn wants_base(&self) -> bool {
        self.base
            .is_some_and(|(_, len)| self.behind > len.max(COMPACT_AFTER_BYTES))
    }
}

/// Puts the newest base and what stands behind it together; nothing, where there is no base. Tells
/// what is wrong with it.
pub fn assemble_checkpoint(
    pieces: impl Iterator<Item = LogItem>,
) -> Result<Option<Checkpoint>, String> {
    let mut told: Option<Checkpoint> = None;
    for piece in pieces {
        match (piece, &mut told) {
            (LogItem::Checkpoint(base), _) if !(OLDEST_FORMAT_VERSION..=FORMAT_VERSION).contains(&base.form) => {
                return Err(format!(
                    "it has form {}, this program knows {OLDEST_FORMAT_VERSION} to {FORMAT_VERSION}",
                    base.form
                ))
            }
            (LogItem::Checkpoint(base), told) => *told = Some(*base),
            // Older than the base, and not yet noted as over.
            (LogItem::Batch(_), None) => {}
            (LogItem::Batch(batch), Some(base)) => {
                let mut all = Batch {
                    hard: base.hard,
                    entries: std::mem::take(&mut base.entries),
                };
                all.merge(batch);
                (base.hard, base.entries) = (all.hard, all.entries);
                let unbroken = base
                    .entries
                    .iter()
                    .zip(base.index + 1..)
                    .all(|(line, index)| line.index == index);
                if !unbroken {
                    return Err("entries are missing".into());
                }
            }
        }
    }
    Ok(told)
}

/// What the library reads: all in memory, ahead of what is written.
pub struct MemoryStorage {
    /// Term, vote and commit.
    pub hard: HardState,
    conf: ConfState,
    snapshot: Snapshot,
    /// The place before the first entry that is here, with its term.
    before: (u64, u64),
    entries: VecDeque<Entry>,
}

impl MemoryStorage {
    /// As it was written down.
    pub fn new(base: &Checkpoint) -> Result<MemoryStorage, String> {
        let mut hard = HardState::default();
        (hard.term, hard.vote, hard.commit) = (base.hard.term, base.hard.vote, base.hard.commit);
        let conf = ConfState {
            voters: base.voters.clone(),
            ..ConfState::default()
        };
        let read = base
            .entries
            .iter()
            .cloned()
            .map(LogEntry::entry)
            .collect::<Option<_>>();
        let entries = read.ok_or("an entry of a kind that is not known")?;
        let before = (base.index, base.term);
        let mut shelf = MemoryStorage {
            hard,
            conf,
            snapshot: Snapshot::default(),
            before,
            entries,
        };
        shelf.set_snapshot(base.index, base.term, base.held.to_vec());
        Ok(shelf)
    }

    fn set_snapshot(&mut self, index: u64, term: u64, data: Vec<u8>) {
        let mut snapshot = Snapshot {
            data: data.into(),
            ..Snapshot::default()
        };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(self.conf.clone());
        self.snapshot = snapshot;
    }

    /// Who votes has changed, by the entry of this place. A keeper refuses a snapshot that does not
    /// count it as a voter, so the one that is sent from now on is of this place; no entry goes.
    pub fn set_conf(&mut self, conf: ConfState, index: u64, data: Vec<u8>) {
        self.conf = conf;
        if let Ok(term) = self.term(index) {
            self.set_snapshot(index, term, data);
        }
    }

    /// Who votes.
    pub fn voters(&self) -> &[u64] {
        &self.conf.voters
    }

    /// A snapshot of another keeper takes the place of all.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.before = (meta.index, meta.term);
        self.conf = meta.get_conf_state().clone();
        self.hard.commit = self.hard.commit.max(meta.index);
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Entries that replace all from the first one's place on.
    pub fn append(&mut self, entries: &[Entry]) {
        if let Some(first) = entries.first() {
            self.entries
                .truncate(first.index.saturating_sub(self.before.0 + 1) as usize);
            self.entries.extend(entries.iter().cloned());
        }
    }

    /// A snapshot of what was applied; entries before it may go, but for some.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) {
        let Ok(term) = self.term(index) else { return };
        self.set_snapshot(index, term, data);
        while self
            .entries
            .get(RETAINED_ENTRIES)
            .is_some_and(|e| e.index <= index)
        {
            let Some(first) = self.entries.pop_front() else {
                break;
            };
            self.before = (first.index, first.term);
        }
    }

    /// Entries behind a place.
    fn after(&self, index: u64) -> Vec<LogEntry> {
        self.entries
            .iter()
            .filter(|e| e.index > index)
            .map(LogEntry::of)
            .collect()
    }

    fn last(&self) -> u64 {
        self.before.0 + self.entries.len() as u64
    }
}

impl Storage for MemoryStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.before.0 {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let at = |index: u64| (index - self.before.0 - 1) as usize;
        let mut entries: Vec<Entry> = self.entries.range(at(low)..at(high)).cloned().collect();
        raft::util::limit_size(&mut entries, most.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before.0 {
            return Ok(self.before.1);
        }
        let meta = self.snapshot.get_metadata();
        if index == meta.index {
            return Ok(meta.term);
        }
        let at = index
            .checked_sub(self.before.0 + 1)
            .ok_or(StorageError::Compacted)?;
        Ok(self
            .entries
            .get(at as usize)
            .ok_or(StorageError::Unavailable)?
            .term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, least: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < least {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
