//! The log: segments in a ring, appended to at one end and cleaned at the other.
//!
//! Sole owner of the segments' files. Its users ([`crate::delivery::journal`], a replica's log)
//! call [`SegmentLog::put`], [`SegmentLog::append_update`] and [`SegmentLog::remove`] for items,
//! [`SegmentLog::maintain`] in idle moments, and sync by [`SegmentLog::take_unsynced`]. What it
//! decides stands in [`super::capacity`], what it finds after a restart in [`super::recover`].
//!
//! Invariants:
//!
//! 1. Cleaning copies all that lives in the oldest segment before a `LogStart` says that it counts
//!    no more; where syncs are required, only once the copies are synced.
//! 2. A file is used again only after that, and then only once it is synced.
//! 3. A write that fails changes nothing that was believed before. What it left on disk is erased,
//!    and counts for nothing if it cannot be: recovery reads all frames, whatever a header says.
//!
//! The parts: `append` writes frames and begins segments, `cleaner` copies and retires, `files`
//! holds free files, `durability` syncs, `index` knows where items stand, `open` recovers.

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

/// Free files that are kept open, so that a process without descriptors can go on writing: the
/// cleaner's reserve, and the next segment.
const OPEN_SPARE_FILES: usize = CLEANER_RESERVE as usize + 1;
/// Descriptors that the log holds at once: of those, the file that is written, one that is read,
/// and its folder.
pub const MAX_OPEN_FILES: usize = OPEN_SPARE_FILES + 3;
/// Bytes of the limit that no segment takes, beside what the layout leaves.
const LIMIT_MARGIN_BYTES: u64 = 2048;
/// A file of an earlier form counts as the segment before the first.
const LEGACY_SEQUENCE: u64 = 0;

/// Reads the data of an item's last `Put` from the log.
pub type ReadStored<'a> = &'a mut dyn FnMut() -> io::Result<Vec<u8>>;

/// Gives items as they stand, so that the cleaner can write them once more.
pub trait SnapshotSource {
    /// The data of an item's next `Put`; `read_stored` reads that of the last one.
    ///
    /// # Errors
    /// It cannot be had now; cleaning stops there.
    fn snapshot(&self, item: u64, read_stored: ReadStored<'_>) -> io::Result<Vec<u8>>;
}

struct Segment {
    sequence: u64,
    slot: u32,
    /// Open while it is written; others are opened when they are read.
    file: Option<Arc<dyn DiskFile>>,
    size_bytes: u64,
    salt: u64,
    /// Offset at which frames end.
    end: u64,
    /// Nothing more is written to it.
    sealed: bool,
}

impl Segment {
    fn bytes_left(&self) -> u64 {
        self.size_bytes.saturating_sub(self.end)
    }
}

/// A file that no segment uses.
struct SpareFile {
    slot: u32,
    /// Open for as many as may be needed at once.
    file: Option<Arc<dyn DiskFile>>,
    size_bytes: u64,
}

/// A file that is free once the log is synced up to a position.
struct UnsyncedSpare {
    free_at_position: u64,
    spare: SpareFile,
}

/// A file of an earlier form, until what is open in it was copied.
struct LegacySegment {
    name: String,
    size_bytes: u64,
}

/// What a log has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogStatistics {
    /// Bytes of frames that its user asked for.
    pub requested_bytes: u64,
    /// Bytes of frames that cleaning wrote.
    pub cleaned_bytes: u64,
    /// Segments that were cleaned.
    pub retired_segments: u64,
    /// Writes that failed.
    pub failed_writes: u64,
}

/// A log of items in one folder.
pub struct SegmentLog {
    disk: Arc<dyn Disk>,
    limit_bytes: u64,
    layout: SegmentLayout,
    seed: u64,
    /// Oldest first; the last one is written.
    segments: VecDeque<Segment>,
    legacy: Option<LegacySegment>,
    /// Free files; the last one is used next.
    spares: Vec<SpareFile>,
    /// Free once what was written is synced, oldest first.
    unsynced_spares: VecDeque<UnsyncedSpare>,
    index: ItemIndex,
    next_item: u64,
    next_sequence: u64,
    /// The oldest segment that counts.
    oldest_sequence: u64,
    gate: CapacityGate,
    /// Bytes appended in all; what is synced is counted in the same way.
    position: u64,
    /// None, where syncs are not required.
    synced_position: Option<u64>,
    /// Where the last copy ended that cleaning made.
    copied_position: u64,
    /// How far everything is synced, while no frame says so.
    unwritten_durable_mark: Option<LogPosition>,
    /// Files written since the last sync, by slot.
    dirty_files: BTreeMap<u32, Arc<dyn DiskFile>>,
    /// Files were made or removed since the last sync.
    folder_is_dirty: bool,
    /// Bytes of cleaning that were paid for and not done; negative where the last item was larger.
    cleaning_credit: i64,
    /// Segments up to this one may have lost what was written: a sync failed.
    suspect_up_to: u64,
    statistics: LogStatistics,
}

impl SegmentLog {
    /// How full it is.
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

    /// What was done so far.
    pub fn statistics(&self) -> LogStatistics {
        self.statistics
    }

    /// The gate for new items.
    pub fn capacity_gate(&self) -> &CapacityGate {
        &self.gate
    }

    /// Writes a new item, which may grow up to `reserved_bytes`, if there is room for it and all
    /// that is held.
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

    /// Asks the gate, and adds segments as it says.
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

    /// Writes what happened to an item.
    ///
    /// # Errors
    /// It is not written.
    pub fn append_update(
        &mut self,
        item: u64,
        data: &[u8],
        items: &dyn SnapshotSource,
    ) -> io::Result<()> {
        self.append(FrameKind::Update, item, data, items).map(drop)
    }

    /// Writes that an item is over.
    ///
    /// # Errors
    /// It is not written, and the item not over.
    pub fn remove(&mut self, item: u64, items: &dyn SnapshotSource) -> io::Result<()> {
        if self.index.contains(item) {
            self.append(FrameKind::Remove, item, &[], items)?;
            self.index.remove(item);
        }
        Ok(())
    }

    /// An item counts for so many bytes from now on.
    pub fn set_reserved_size(&mut self, item: u64, reserved_bytes: u64) {
        if let Some(indexed) = self.index.remove(item) {
            self.index.insert(item, indexed.location, reserved_bytes);
        }
    }

    /// Reads an item's data; none where it stands in no segment.
    pub fn reader(&self, item: u64) -> Option<ItemReader> {
        let location = self.index.location(item)?;
        let first = self
            .segments
            .partition_point(|s| s.sequence < location.sequence);
        // An earlier version may have given a number to two files.
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

/// Reads an item's data where it stands; may be sent to another thread.
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
    /// Reads the data; blocks.
    ///
    /// # Errors
    /// It stands there no more, or the device fails.
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
                "the message's own place cannot be read",
            )),
        }
    }
}

/// What came of a put.
#[derive(Debug)]
pub struct PutOutcome {
    /// The new item's number.
    pub result: Result<u64, PutError>,
    /// The gate closed or reopened, which is worth a line of the log.
    pub gate_change: Option<GateChange>,
}

/// Why an item was not written.
#[derive(Debug, thiserror::Error)]
pub enum PutError {
    /// There is no room for it.
    #[error("{0}")]
    Full(RejectReason),
    /// No segment could hold it.
    #[error("it is longer than a segment of the store")]
    TooLong,
    /// It could not be written.
    #[error("{0}")]
    Io(#[from] io::Error),
}

fn reject_reason(e: &io::Error) -> RejectReason {
    match e.kind() {
        // The last is what a bound on the size of files gives.
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            RejectReason::FileSystemFull
        }
        _ => RejectReason::DeviceError,
    }
}
