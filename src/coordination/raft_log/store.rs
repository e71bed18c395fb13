//! The folder of a replica's log, in the segment store of this project. All calls block, so a
//! separate thread makes them.

use super::{assemble_checkpoint, Checkpoint, LogItem, MAX_CHECKPOINT_BYTES};
use crate::store::disk::Disk;
use crate::store::frame;
use crate::store::log::{LogOptions, PutError, ReadStored, SegmentLog, SnapshotSource};
use crate::store::recover::{Replay, ReplayError};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Fewest bytes of batches after which a checkpoint is due; more are needed where the last
/// checkpoint was larger.
const COMPACT_AFTER_BYTES: u64 = 128 * 1024;
/// Most space that is reserved for the next checkpoint, in bytes: half of the capacity of the
/// smallest folder.
const MAX_RESERVED_BYTES: u64 = 2560 * 1024;
/// Most segments that are added for the space reserved with a checkpoint.
const MAX_RESERVE_SEGMENTS: usize = 8;

/// Reason for which an item was not written.
#[derive(Debug, thiserror::Error)]
pub enum SaveError {
    /// The item cannot be written now; the same item may be written later.
    #[error("{0}")]
    Retryable(String),
    /// Written items may be lost even if a later sync succeeds: the replica has to stop.
    #[error("{0}")]
    Fatal(String),
}

impl SaveError {
    fn retryable(error: impl std::fmt::Display) -> SaveError {
        SaveError::Retryable(error.to_string())
    }
}

/// Reason for which a folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The file system reported an error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A written item cannot be read, and it may have been a vote.
    #[error(
        "damaged: {0}; this keeper may not vote again: remove it from the group and add one under \
         another number"
    )]
    Damaged(String),
    /// The folder belongs to another replica.
    #[error("the folder is that of keeper {0} of site {1:?}")]
    ForeignFolder(u64, String),
    /// The folder's capacity is too small; its segments have this many bytes.
    #[error(
        "the file system has too little space for disk_mb: segments would have {0} bytes, \
         {MAX_CHECKPOINT_BYTES} are needed"
    )]
    InsufficientSpace(u64),
}

/// Moves items between segments unchanged, by reading the written bytes again.
struct MoveUnchanged;

impl SnapshotSource for MoveUnchanged {
    fn snapshot(&self, _: u64, read_stored: ReadStored<'_>) -> io::Result<Vec<u8>> {
        read_stored()
    }
}

/// An item that was found on start.
struct ReplayedItem {
    item: LogItem,
    /// Size of its data, in bytes.
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

/// The newest checkpoint.
#[derive(Clone, Copy)]
struct SavedCheckpoint {
    number: u64,
    /// Size of its frame, in bytes.
    len: u64,
}

/// The store of a replica's log, which owns the files of the folder.
pub struct RaftLogStore {
    log: SegmentLog,
    start: Instant,
    checkpoint: Option<SavedCheckpoint>,
    /// Numbers of the items after the checkpoint.
    batches: Vec<u64>,
    /// Numbers of the items that are obsolete and not yet marked as such.
    obsolete: Vec<u64>,
    /// Bytes of the batches after the checkpoint.
    batch_bytes: u64,
}

impl RaftLogStore {
    /// Opens a folder that may hold `limit` bytes, and returns the checkpoint that it contains;
    /// `None` where the folder is empty.
    ///
    /// # Errors
    /// The folder cannot be read, or its capacity is too small.
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
        // The items that were found become obsolete with the first checkpoint as well.
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

    /// Writes an item, and returns once it survives a power cut.
    ///
    /// # Errors
    /// The item is not written, or is not certain to survive.
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

    /// Writes a frame, and returns the item's number.
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

    /// Returns the space to reserve with a checkpoint, for the batches after it and for the next
    /// checkpoint. So when other programs fill the file system, batches and the next checkpoint can
    /// still be written, and with that checkpoint obsolete items are removed.
    fn reserved_bytes(len: u64) -> u64 {
        (3 * (len + COMPACT_AFTER_BYTES.max(len))).min(MAX_RESERVED_BYTES)
    }

    fn reserve(&mut self, checkpoint: SavedCheckpoint) {
        let reserved = Self::reserved_bytes(checkpoint.len);
        self.log.set_reserved_size(checkpoint.number, reserved);
    }

    /// Releases the reserved space so that the next checkpoint can be written to it.
    fn release_reserve(&mut self) {
        if let Some(checkpoint) = self.checkpoint {
            self.log
                .set_reserved_size(checkpoint.number, checkpoint.len);
        }
    }

    /// Adds segments for the reserved space; where the file system provides no more, reserves half
    /// of the capacity that is left.
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

    /// Marks items as obsolete. If a mark is lost, a later checkpoint makes the item obsolete
    /// again.
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

    /// Returns whether a new checkpoint should be written.
    pub fn wants_checkpoint(&self) -> bool {
        self.checkpoint
            .is_some_and(|checkpoint| self.batch_bytes > checkpoint.len.max(COMPACT_AFTER_BYTES))
    }
}
