//! The folder of a replica's log, on the project's own store. All of it blocks: a thread of its own
//! calls it.

use super::{assemble_checkpoint, Checkpoint, LogItem, MAX_CHECKPOINT_BYTES};
use crate::store::disk::Disk;
use crate::store::frame;
use crate::store::log::{LogOptions, PutError, ReadStored, SegmentLog, SnapshotSource};
use crate::store::recover::{Replay, ReplayError};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes of batches after which a checkpoint is due, at least; or as many as the last checkpoint
/// had.
const COMPACT_AFTER_BYTES: u64 = 128 * 1024;
/// Most space that is reserved for the next checkpoint, in bytes: half of what the smallest folder
/// holds.
const MAX_RESERVED_BYTES: u64 = 2560 * 1024;
/// Segments that a checkpoint may add for the space that is reserved with it.
const MAX_RESERVE_SEGMENTS: usize = 8;

/// Why an item was not written.
#[derive(Debug, thiserror::Error)]
pub enum SaveError {
    /// Not now: the same may work at another time.
    #[error("{0}")]
    Retryable(String),
    /// What is written may be lost whatever a later sync says: the replica must stop.
    #[error("{0}")]
    Fatal(String),
}

impl SaveError {
    fn retryable(error: impl std::fmt::Display) -> SaveError {
        SaveError::Retryable(error.to_string())
    }
}

/// Why a folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The file system failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Something that was written cannot be read: it might be a vote.
    #[error(
        "damaged: {0}; this keeper may not vote again: remove it from the group and add one under \
         another number"
    )]
    Damaged(String),
    /// The folder is of another replica.
    #[error("it is of keeper {0} of site {1:?}")]
    ForeignFolder(u64, String),
    /// The folder may hold too little; its segments have this many bytes.
    #[error(
        "the file system has too little room for disk_mb: segments of {0} bytes, \
         {MAX_CHECKPOINT_BYTES} are needed"
    )]
    InsufficientSpace(u64),
}

/// Moves items from segment to segment as they were written: they are read again for that.
struct MoveUnchanged;

impl SnapshotSource for MoveUnchanged {
    fn snapshot(&self, _: u64, read_stored: ReadStored<'_>) -> io::Result<Vec<u8>> {
        read_stored()
    }
}

/// An item that a start found.
struct ReplayedItem {
    item: LogItem,
    /// Bytes of its data.
    len: usize,
}

#[derive(Default)]
struct ReplayedItems {
    items: BTreeMap<u64, ReplayedItem>,
}

impl Replay for ReplayedItems {
    fn on_put(&mut self, number: u64, data: &[u8]) -> Result<(), ReplayError> {
        let item = postcard::from_bytes(data)?;
        let len = data.len();
        self.items.insert(number, ReplayedItem { item, len });
        Ok(())
    }

    fn on_update(&mut self, number: u64, _: &[u8]) -> Result<(), ReplayError> {
        Err(ReplayError::UnexpectedUpdate { item: number })
    }

    fn on_remove(&mut self, number: u64) {
        self.items.remove(&number);
    }

    fn on_possible_loss(&mut self) {}

    fn on_losses_known(&mut self, _: &[bool]) {}
}

/// The checkpoint that counts.
#[derive(Clone, Copy)]
struct SavedCheckpoint {
    number: u64,
    /// Bytes of its frame.
    len: u64,
}

/// The owner of a folder's files.
pub struct RaftLogStore {
    log: SegmentLog,
    start: Instant,
    checkpoint: Option<SavedCheckpoint>,
    /// Items behind the checkpoint.
    batches: Vec<u64>,
    /// Items that are obsolete and not yet noted as such.
    obsolete: Vec<u64>,
    /// Bytes of batches behind the checkpoint.
    batch_bytes: u64,
}

impl RaftLogStore {
    /// Opens a folder that may hold `limit` bytes, and gives what stands in it; nothing, where it
    /// is empty.
    ///
    /// # Errors
    /// The folder cannot be read, or may hold too little.
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
        let size = |found: &ReplayedItems, number: u64| {
            found
                .items
                .get(&number)
                .map_or(0, |i| frame::encoded_len(i.len))
        };
        let opened = SegmentLog::open(disk, options, None, &mut found, size)?;
        if !opened.damage.is_empty() {
            let damage: Vec<String> = opened.damage.iter().map(ToString::to_string).collect();
            return Err(OpenError::Damaged(damage.join("; ")));
        }
        let segment = opened.log.occupancy().segment_bytes;
        if segment < (MAX_CHECKPOINT_BYTES + 1024) as u64 {
            return Err(OpenError::InsufficientSpace(segment));
        }
        // Also what was found is obsolete with the first checkpoint.
        let obsolete = found.items.keys().copied().collect();
        let checkpoint = assemble_checkpoint(found.items.into_values().map(|i| i.item))
            .map_err(|e| OpenError::Damaged(e.to_string()))?;
        let store = RaftLogStore {
            log: opened.log,
            start: Instant::now(),
            checkpoint: None,
            batches: Vec::new(),
            obsolete,
            batch_bytes: 0,
        };
        Ok((store, checkpoint))
    }

    /// Writes an item and returns when it survives a power cut.
    ///
    /// # Errors
    /// The item is not written, or not certain to stay.
    pub fn save(&mut self, item: &LogItem) -> Result<(), SaveError> {
        let data = postcard::to_stdvec(item).map_err(SaveError::retryable)?;
        let len = frame::encoded_len(data.len());
        if let LogItem::Checkpoint(_) = item {
            self.release_reserve();
        }
        let number = self.write(&data, len)?;
        self.sync()?;
        match item {
            LogItem::Batch(_) => self.saved_batch(number, len),
            LogItem::Checkpoint(_) => self.saved_checkpoint(SavedCheckpoint { number, len }),
        }
        self.drop_obsolete();
        if let Err(e) = self.log.maintain(self.now(), &MoveUnchanged) {
            log::debug!("keeper's log: {e}");
        }
        Ok(())
    }

    /// Writes a frame, and gives the item's number.
    fn write(&mut self, data: &[u8], len: u64) -> Result<u64, SaveError> {
        let put = self.log.put(self.now(), data, len, &MoveUnchanged);
        if let Some(change) = put.gate_change {
            log::info!("keeper's log: {change}");
        }
        put.result.map_err(|e| {
            if let Some(checkpoint) = self.checkpoint {
                self.reserve(checkpoint);
            }
            match e {
                PutError::TooLong => SaveError::Fatal(e.to_string()),
                _ => SaveError::retryable(e),
            }
        })
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

    fn saved_batch(&mut self, number: u64, len: u64) {
        self.batches.push(number);
        self.batch_bytes += len;
        let fits_in_reserve = self.checkpoint.is_some_and(|checkpoint| {
            self.batch_bytes <= 2 * COMPACT_AFTER_BYTES.max(checkpoint.len)
        });
        if fits_in_reserve {
            self.log.set_reserved_size(number, 1);
        }
    }

    fn saved_checkpoint(&mut self, checkpoint: SavedCheckpoint) {
        let before = self.checkpoint.replace(checkpoint);
        self.obsolete.extend(before.map(|c| c.number));
        self.obsolete.append(&mut self.batches);
        self.batch_bytes = 0;
        self.reserve(checkpoint);
        self.back_reserve(checkpoint);
    }

    /// Space that a checkpoint stands for: with each, space for the batches behind it and for the
    /// next checkpoint is reserved. So a file system that others have filled stops neither of them
    /// nor, with the next checkpoint, the removal of what is obsolete.
    fn reserved_bytes(len: u64) -> u64 {
        (3 * (len + COMPACT_AFTER_BYTES.max(len))).min(MAX_RESERVED_BYTES)
    }

    fn reserve(&mut self, checkpoint: SavedCheckpoint) {
        let reserved = Self::reserved_bytes(checkpoint.len);
        self.log.set_reserved_size(checkpoint.number, reserved);
    }

    /// Frees the reserved space for the next checkpoint to be written to.
    fn release_reserve(&mut self) {
        if let Some(checkpoint) = self.checkpoint {
            self.log
                .set_reserved_size(checkpoint.number, checkpoint.len);
        }
    }

    /// Adds segments for the reserved space; where the file system gives no more, half of what is
    /// left is reserved.
    fn back_reserve(&mut self, checkpoint: SavedCheckpoint) {
        for _ in 0..MAX_RESERVE_SEGMENTS {
            let _ = self.log.maintain(self.now(), &MoveUnchanged);
        }
        let occupancy = self.log.occupancy();
        if occupancy.live_bytes <= occupancy.live_capacity(0) {
            return;
        }
        let SavedCheckpoint { number, len } = checkpoint;
        self.log.set_reserved_size(number, len);
        let occupancy = self.log.occupancy();
        let left = occupancy
            .live_capacity(Self::reserved_bytes(len))
            .saturating_sub(occupancy.live_bytes);
        self.log.set_reserved_size(number, len + left / 2);
    }

    /// Notes items as obsolete. A note may be lost: a later checkpoint makes them obsolete, too.
    fn drop_obsolete(&mut self) {
        while let Some(number) = self.obsolete.last().copied() {
            if self.log.remove(number, &MoveUnchanged).is_err() {
                break;
            }
            self.obsolete.pop();
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Whether a new checkpoint should be written.
    pub fn wants_checkpoint(&self) -> bool {
        self.checkpoint
            .is_some_and(|checkpoint| self.batch_bytes > checkpoint.len.max(COMPACT_AFTER_BYTES))
    }
}
