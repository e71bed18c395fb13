//! Writes frames at the end of the log, and begins segments.

use super::{Segment, SegmentLog, SnapshotSource, SpareFile};
use crate::store::capacity::CLEANER_RESERVE;
use crate::store::disk::{write_full, DiskFile};
use crate::store::frame::{self, FrameKind, SegmentHeader, FRAMES_OFFSET, TERMINATOR};
use crate::store::recover::{segment_file_name, FrameLocation};
use std::io;
use std::sync::Arc;

/// Maximum number of attempts to write a frame: after a failed write, another segment may work.
const WRITE_ATTEMPTS: usize = 2;

impl SegmentLog {
    /// Appends a frame, after cleaning in proportion to its length.
    pub(super) fn append(
        &mut self,
        kind: FrameKind,
        number: u64,
        data: &[u8],
        items: &dyn SnapshotSource,
    ) -> io::Result<FrameLocation> {
        let len = frame::encoded_len(data.len());
        self.clean_for(len, items);
        self.write_durable_mark(items)?;
        let location = self.write(kind, number, data, Some(items))?;
        self.statistics.requested_bytes += len;
        Ok(location)
    }

    /// Cleans as much as is due for `written_bytes` further bytes.
    fn clean_for(&mut self, written_bytes: u64, items: &dyn SnapshotSource) {
        let Some(quota) = self.occupancy().cleaning_quota(written_bytes) else {
            return;
        };
        self.cleaning_credit += quota as i64;
        let budget = self.cleaning_credit.max(0) as u64;
        // An item that cannot be copied now is retried later. If there is no space for the frame,
        // its write fails.
        let copied = self.clean(items, budget).unwrap_or(0);
        self.cleaning_credit -= copied as i64;
    }

    /// Writes the position up to which the log is synced, unless a frame records it already.
    fn write_durable_mark(&mut self, items: &dyn SnapshotSource) -> io::Result<()> {
        if let Some(mark) = self.unwritten_durable_mark {
            let offset = mark.offset.to_le_bytes();
            self.write(FrameKind::DurableUpTo, mark.sequence, &offset, Some(items))?;
            self.unwritten_durable_mark = None;
        }
        Ok(())
    }

    /// Writes a frame to the newest segment, or to a new one. Only the cleaner calls this without
    /// `items`; it may use the reserved segments.
    pub(super) fn write(
        &mut self,
        kind: FrameKind,
        number: u64,
        data: &[u8],
        items: Option<&dyn SnapshotSource>,
    ) -> io::Result<FrameLocation> {
        let written = self.write_in_some_segment(kind, number, data, items);
        if written.is_err() {
            // If there is no other segment, a later write to the same place may succeed.
            self.set_tail_sealed(false);
        }
        written
    }

    fn write_in_some_segment(
        &mut self,
        kind: FrameKind,
        number: u64,
        data: &[u8],
        items: Option<&dyn SnapshotSource>,
    ) -> io::Result<FrameLocation> {
        let len = frame::encoded_len(data.len());
        let mut failed = None;
        for _ in 0..WRITE_ATTEMPTS {
            if let Err(e) = self.prepare_tail(len, items) {
                return Err(failed.unwrap_or(e));
            }
            if !self.tail_fits(len) {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
            match self.write_to_tail(kind, number, data) {
                Ok(location) => return Ok(location),
                Err(e) => failed = Some(e),
            }
        }
        Err(failed.unwrap_or_else(|| io::ErrorKind::StorageFull.into()))
    }

    /// Begins another segment if the newest one has no space for `len` bytes.
    fn prepare_tail(&mut self, len: u64, items: Option<&dyn SnapshotSource>) -> io::Result<()> {
        if self.tail_fits(len) {
            return Ok(());
        }
        if let Some(items) = items {
            // The frame may fit into a free segment even if cleaning fails.
            let _ = self.free_a_segment(items);
        }
        // Cleaning may have begun another segment.
        if self.tail_fits(len) {
            return Ok(());
        }
        self.begin_segment()
    }

    /// Writes a frame to the newest segment, which has space for it. A failed write seals the
    /// segment.
    fn write_to_tail(
        &mut self,
        kind: FrameKind,
        number: u64,
        data: &[u8],
    ) -> io::Result<FrameLocation> {
        let segment = self.segments.back_mut().ok_or(io::ErrorKind::StorageFull)?;
        let file = match &segment.file {
            Some(file) => file.clone(),
            None => self.disk.open(&segment_file_name(segment.slot))?,
        };
        let mut bytes = frame::encode(segment.salt, kind, number, data);
        // No terminator is needed at the end of the file.
        bytes.truncate(segment.bytes_left() as usize);
        if let Err(e) = write_full(&*file, &bytes, segment.end) {
            self.statistics.failed_writes += 1;
            segment.sealed = true;
            let slot = segment.slot;
            let offset = segment.end;
            // Erasing the first bytes is enough: a complete frame is longer than a terminator.
            self.erase_failed_write(slot, file, offset, &TERMINATOR);
            return Err(e);
        }
        let location = FrameLocation {
            sequence: segment.sequence,
            slot: segment.slot,
            offset: segment.end,
            data_len: data.len(),
        };
        let slot = segment.slot;
        let len = frame::encoded_len(data.len());
        segment.end += len;
        self.position += len;
        self.mark_dirty(slot, file);
        Ok(location)
    }

    /// Erases what a failed write may have left, so that no later process mistakes it for a
    /// successful write.
    fn erase_failed_write(
        &mut self,
        slot: u32,
        file: Arc<dyn DiskFile>,
        offset: u64,
        zeros: &[u8],
    ) {
        if let Err(e) = write_full(&*file, zeros, offset) {
            self.statistics.failed_writes += 1;
            let name = segment_file_name(slot);
            log::debug!("store: {name}: failed write at {offset} not erased: {e}");
        }
        // The failed write and its erasure are synced together.
        self.mark_dirty(slot, file);
    }

    /// Returns whether the segment being written has space for `len` more bytes.
    fn tail_fits(&self, len: u64) -> bool {
        self.segments
            .back()
            .is_some_and(|s| !s.sealed && s.bytes_left() >= len)
    }

    pub(super) fn set_tail_sealed(&mut self, sealed: bool) {
        if let Some(tail) = self.segments.back_mut() {
            tail.sealed = sealed;
        }
    }

    fn mark_dirty(&mut self, slot: u32, file: Arc<dyn DiskFile>) {
        if self.synced_position.is_some() {
            self.dirty_files.insert(slot, file);
        }
    }

    /// Ensures a free segment beyond the cleaner's reserve, if possible. Usually the cleaner has
    /// freed one already; if it could not, it cleans now.
    fn free_a_segment(&mut self, items: &dyn SnapshotSource) -> io::Result<()> {
        let mut attempts_left = self.segments.len();
        while self.spares.len() <= CLEANER_RESERVE as usize
            && self.add_segment().is_err()
            && attempts_left > 0
        {
            let before = self.spares.len();
            self.clean(items, u64::MAX)?;
            let gained = self.spares.len() > before;
            attempts_left = if gained { attempts_left - 1 } else { 0 };
        }
        Ok(())
    }

    /// Begins a new segment in a free file.
    fn begin_segment(&mut self) -> io::Result<()> {
        if self.spares.is_empty() {
            let _ = self.add_segment();
        }
        let spare = self.spares.pop().ok_or(io::ErrorKind::StorageFull)?;
        let file = match self.open_spare(&spare) {
            Ok(file) => file,
            Err(e) => {
                self.spares.push(spare);
                return Err(e);
            }
        };
        let header = self.next_header();
        if let Err(e) = write_full(&*file, &header.encode(), 0) {
            self.statistics.failed_writes += 1;
            self.erase_failed_write(spare.slot, file, 0, &[0; FRAMES_OFFSET as usize]);
            // Another file may work.
            self.spares.insert(
                0,
                SpareFile {
                    file: None,
                    ..spare
                },
            );
            return Err(e);
        }
        self.next_sequence += 1;
        self.mark_dirty(spare.slot, file.clone());
        if let Some(previous) = self.segments.back_mut() {
            // From now on the previous segment is only read.
            previous.file = None;
        }
        self.limit_open_spares();
        self.segments.push_back(Segment {
            sequence: header.sequence,
            slot: spare.slot,
            file: Some(file),
            size_bytes: spare.size_bytes,
            salt: header.salt,
            end: FRAMES_OFFSET,
            sealed: false,
        });
        Ok(())
    }

    fn open_spare(&self, spare: &SpareFile) -> io::Result<Arc<dyn DiskFile>> {
        match &spare.file {
            Some(file) => Ok(file.clone()),
            None => self.disk.open(&segment_file_name(spare.slot)),
        }
    }

    fn next_header(&self) -> SegmentHeader {
        SegmentHeader {
            sequence: self.next_sequence,
            salt: mix(self.seed ^ mix(self.next_sequence)),
            oldest_sequence: self.oldest_sequence,
            previous_end: self.segments.back().map_or(FRAMES_OFFSET, |s| s.end),
            next_item: self.next_item,
            has_durable_marks: self.synced_position.is_some(),
        }
    }
}

/// Mixes the bits of a number (splitmix64; Steele, Lea and Flood, 2014).
fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    n ^ (n >> 31)
}
