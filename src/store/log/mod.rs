//! The log: a ring of segments, appended to at one end and cleaned at the other.
//!
//! The log is the sole owner of the segment files. Its users ([`crate::delivery::journal`], a
//! replica's log) call [`SegmentLog::put`], [`SegmentLog::append_update`] and
//! [`SegmentLog::remove`] for items, [`SegmentLog::maintain`] when idle, and sync by
//! [`SegmentLog::take_unsynced`]. Capacity decisions are made in [`super::capacity`], recovery
//! after a restart in [`super::recover`].
//!
//! Invariants:
//!
//! 1. Cleaning copies all live items of the oldest segment before it writes the `LogStart` that
//!    retires the segment. Where syncs are required, the copies have to be synced before that.
//! 2. A file is reused only after its `LogStart` was written and, where syncs are required, synced.
//! 3. A failed write does not change the state of the log. What it left on disk is erased. If that
//!    fails as well, the remains have no effect: recovery reads all frames, whatever a header says.
//!
//! Submodules: `append` writes frames and begins segments, `cleaner` copies items and retires
//! segments, `files` manages free files, `durability` syncs, `index` maps items to their locations,
//! `open` recovers.

mod append;
mod cleaner;
mod durability;
mod files;
mod index;
mod open;

use super::capacity::{
    CapacityDecision, CapacityGate, GateChange, Occupancy, RejectReason, SegmentLayout,
    CLEANER_RESERVE,
};
use super::disk::{read_full, Disk, DiskFile};
use super::frame::{self, FrameKind, FRAMES_OFFSET};
use super::recover::{segment_file_name, FrameLocation, LogPosition};
pub use durability::PendingSync;
use index::ItemIndex;
pub use open::{LegacyFile, LogOptions, OpenedLog};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Number of free files that are kept open, so that a process that has run out of descriptors can
/// continue to write: the cleaner's reserve, and the next segment.
const OPEN_SPARE_FILES: usize = CLEANER_RESERVE as usize + 1;
/// Maximum number of descriptors that the log holds at once: the open free files, the file being
/// written, one being read, and the folder.
pub const MAX_OPEN_FILES: usize = OPEN_SPARE_FILES + 3;
/// Bytes of the folder's limit that segments never use, in addition to those left by the layout.
const LIMIT_MARGIN_BYTES: u64 = 2048;
/// Sequence number of a file in a legacy format, which is treated as the segment before the first.
const LEGACY_SEQUENCE: u64 = 0;

/// Reads the data of an item's last `Put` from the log.
pub type ReadStored<'a> = &'a mut dyn FnMut() -> io::Result<Vec<u8>>;

/// Provides the current state of items, which the cleaner copies.
pub trait SnapshotSource {
    /// Returns the data of an item's next `Put`. `read_stored` reads the data of its last one.
    ///
    /// # Errors
    /// The data is not available now. Cleaning stops at this item.
    fn snapshot(&self, item: u64, read_stored: ReadStored<'_>) -> io::Result<Vec<u8>>;
}

struct Segment {
    sequence: u64,
    slot: u32,
    /// Open file of the segment being written. Other segments are opened for each read.
    file: Option<Arc<dyn DiskFile>>,
    size_bytes: u64,
    salt: u64,
    /// Offset at which frames end.
    end: u64,
    /// Whether no more frames are written to the segment.
    sealed: bool,
}

impl Segment {
    fn bytes_left(&self) -> u64 {
        self.size_bytes.saturating_sub(self.end)
    }
}

/// A file that is not used by a segment.
struct SpareFile {
    slot: u32,
    /// Open file, for the last [`OPEN_SPARE_FILES`] free files.
    file: Option<Arc<dyn DiskFile>>,
    size_bytes: u64,
}

/// A file that becomes free once the log is synced up to a position.
struct UnsyncedSpare {
    free_at_position: u64,
    spare: SpareFile,
}

/// A file in a legacy format, kept until its items are copied.
struct LegacySegment {
    name: String,
    size_bytes: u64,
}

/// Counters of a log's operations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogStatistics {
    /// Bytes of frames written for the user.
    pub requested_bytes: u64,
    /// Bytes of frames written by cleaning.
    pub cleaned_bytes: u64,
    /// Number of segments that were cleaned and retired.
    pub retired_segments: u64,
    /// Number of failed writes.
    pub failed_writes: u64,
}

/// A log of items in one folder.
pub struct SegmentLog {
    disk: Arc<dyn Disk>,
    limit_bytes: u64,
    layout: SegmentLayout,
    seed: u64,
    /// Segments, oldest first; the last one is being written.
    segments: VecDeque<Segment>,
    legacy: Option<LegacySegment>,
    /// Free files; the last one is used next.
    spares: Vec<SpareFile>,
    /// Files that become free after a sync, oldest first.
    unsynced_spares: VecDeque<UnsyncedSpare>,
    index: ItemIndex,
    next_item: u64,
    next_sequence: u64,
    /// Sequence number of the log's first segment.
    oldest_sequence: u64,
    gate: CapacityGate,
    /// Total number of bytes appended. The other positions count in the same way.
    position: u64,
    /// Position up to which the log is synced; `None` where syncs are not required.
    synced_position: Option<u64>,
    /// Position of the end of the last copy made by cleaning.
    copied_position: u64,
    /// Position up to which the log is synced, until a frame records it.
    unwritten_durable_mark: Option<LogPosition>,
    /// Files written since the last sync, by slot.
    dirty_files: BTreeMap<u32, Arc<dyn DiskFile>>,
    /// Whether files were created or removed since the last sync.
    folder_is_dirty: bool,
    /// Bytes of cleaning that are due and not yet done; negative if the last item copied exceeded
    /// what was due.
    cleaning_credit: i64,
    /// Sequence number up to which segments may have lost data because a sync failed.
    suspect_up_to: u64,
    statistics: LogStatistics,
}

impl SegmentLog {
    /// Returns the space usage.
    pub fn occupancy(&self) -> Occupancy {
        let segment_bytes = self.layout.segment_bytes;
        let in_segments = |bytes: u64| (bytes / segment_bytes) as u32;
        let total_bytes = self.total_bytes();
        let legacy_bytes = self.legacy.as_ref().map_or(0, |l| l.size_bytes);
        let segments = in_segments(total_bytes - legacy_bytes);
        let growth_bytes = self
            .limit_bytes
            .saturating_sub(total_bytes + LIMIT_MARGIN_BYTES);
        let spare_bytes = self.spares.iter().map(|s| s.size_bytes).sum();
        Occupancy {
            segment_bytes: segment_bytes - FRAMES_OFFSET.min(segment_bytes),
            segments,
            max_segments: segments + in_segments(growth_bytes),
            free_segments: in_segments(spare_bytes),
            tail_bytes: self.segments.back().map_or(0, Segment::bytes_left),
            live_bytes: self.index.live_bytes(),
            largest_item_bytes: self.index.largest_item_bytes(),
        }
    }

    /// Returns the counters.
    pub fn statistics(&self) -> LogStatistics {
        self.statistics
    }

    /// Returns the admission gate for new items.
    pub fn capacity_gate(&self) -> &CapacityGate {
        &self.gate
    }

    /// Writes a new item, which may grow up to `reserved_bytes`, if it fits in addition to the
    /// items already stored.
    pub fn put(
        &mut self,
        now: Duration,
        data: &[u8],
        reserved_bytes: u64,
        items: &dyn SnapshotSource,
    ) -> PutOutcome {
        let mut gate_change = None;
        let result = self.try_put(now, data, reserved_bytes, items, &mut gate_change);
        PutOutcome {
            result,
            gate_change,
        }
    }

    fn try_put(
        &mut self,
        now: Duration,
        data: &[u8],
        reserved_bytes: u64,
        items: &dyn SnapshotSource,
        gate_change: &mut Option<GateChange>,
    ) -> Result<u64, PutError> {
        if data.len() > frame::max_data_len(self.layout.segment_bytes) {
            return Err(PutError::TooLong);
        }
        self.admit(now, reserved_bytes, gate_change)
            .map_err(PutError::Full)?;
        let item = self.next_item;
        match self.append(FrameKind::Put, item, data, items) {
            Ok(location) => {
                self.next_item += 1;
                self.index.insert(item, location, reserved_bytes);
                Ok(item)
            }
            Err(e) => {
                let closed = self.gate.on_write_error(now);
                *gate_change = gate_change.or(closed);
                Err(PutError::Io(e))
            }
        }
    }

    /// Requests admission from the gate, and adds segments as it decides.
    fn admit(
        &mut self,
        now: Duration,
        reserved_bytes: u64,
        gate_change: &mut Option<GateChange>,
    ) -> Result<(), RejectReason> {
        loop {
            let occupancy = self.occupancy();
            let (decision, change) = self.gate.request(now, &occupancy, reserved_bytes);
            *gate_change = gate_change.or(change);
            match decision {
                CapacityDecision::Admit => return Ok(()),
                CapacityDecision::Reject(reason) => return Err(reason),
                CapacityDecision::AddSegment => {
                    let failed = self.add_segment().err().map(|e| reject_reason(&e));
                    let change = self.gate.on_growth(now, failed);
                    *gate_change = gate_change.or(change);
                }
            }
        }
    }

    /// Writes an update of an item.
    ///
    /// # Errors
    /// The update could not be written.
    pub fn append_update(
        &mut self,
        item: u64,
        data: &[u8],
        items: &dyn SnapshotSource,
    ) -> io::Result<()> {
        self.append(FrameKind::Update, item, data, items).map(drop)
    }

    /// Removes an item.
    ///
    /// # Errors
    /// The removal could not be written; the item remains.
    pub fn remove(&mut self, item: u64, items: &dyn SnapshotSource) -> io::Result<()> {
        if self.index.contains(item) {
            self.append(FrameKind::Remove, item, &[], items)?;
            self.index.remove(item);
        }
        Ok(())
    }

    /// Sets the number of bytes that an item is counted with.
    pub fn set_reserved_size(&mut self, item: u64, reserved_bytes: u64) {
        if let Some(indexed) = self.index.remove(item) {
            self.index.insert(item, indexed.location, reserved_bytes);
        }
    }

    /// Returns a reader for an item's data; `None` if the item is not in a segment.
    pub fn reader(&self, item: u64) -> Option<ItemReader> {
        let location = self.index.location(item)?;
        let first = self
            .segments
            .partition_point(|s| s.sequence < location.sequence);
        // An earlier version may have assigned the same sequence number to two files.
        let segment = self
            .segments
            .range(first..)
            .take_while(|s| s.sequence == location.sequence)
            .find(|s| s.slot == location.slot)?;
        Some(ItemReader {
            disk: self.disk.clone(),
            file_name: segment_file_name(segment.slot),
            file: segment.file.clone(),
            salt: segment.salt,
            item,
            location,
        })
    }
}

/// Reads an item's data from its segment. Can be sent to another thread.
#[derive(Clone)]
pub struct ItemReader {
    disk: Arc<dyn Disk>,
    file_name: String,
    file: Option<Arc<dyn DiskFile>>,
    salt: u64,
    item: u64,
    location: FrameLocation,
}

impl ItemReader {
    /// Reads the data. Blocks.
    ///
    /// # Errors
    /// The data is no longer at this location, or the device fails.
    pub fn read(&self) -> io::Result<Vec<u8>> {
        let file = match &self.file {
            Some(file) => file.clone(),
            None => self.disk.open(&self.file_name)?,
        };
        let mut bytes = vec![0; frame::encoded_len(self.location.data_len) as usize];
        read_full(&*file, &mut bytes, self.location.offset)?;
        match frame::decode(self.salt, &bytes) {
            Some(frame) if frame.number == self.item && frame.kind == FrameKind::Put => {
                Ok(frame.data.to_vec())
            }
            _ => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the frame of the item cannot be read",
            )),
        }
    }
}

/// Outcome of a put.
#[derive(Debug)]
pub struct PutOutcome {
    /// Number of the new item.
    pub result: Result<u64, PutError>,
    /// Change of the gate's state, which the caller logs.
    pub gate_change: Option<GateChange>,
}

/// Reason for which an item was not written.
#[derive(Debug, thiserror::Error)]
pub enum PutError {
    /// There is no space for the item.
    #[error("{0}")]
    Full(RejectReason),
    /// The item is longer than a segment.
    #[error("the item is longer than a segment of the store")]
    TooLong,
    /// The write failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

fn reject_reason(e: &io::Error) -> RejectReason {
    match e.kind() {
        // `FileTooLarge` is returned when a limit on the size of files is exceeded.
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            RejectReason::FileSystemFull
        }
        _ => RejectReason::DeviceError,
    }
}
