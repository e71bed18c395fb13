//! Cleans the oldest segments: copies their live items to the end of the log, and retires them.

use super::{SegmentLog, SnapshotSource, SpareFile, UnsyncedSpare, LEGACY_SEQUENCE};
use crate::store::capacity::IDLE_CLEANING_BYTES;
use crate::store::frame::{self, FrameKind};
use std::io;
use std::time::Duration;

/// Maximum number of segments retired in one cleaning step, since each one costs a frame.
const MAX_RETIRED_PER_STEP: usize = 2;

impl SegmentLog {
    /// Performs idle maintenance: cleans, adds a segment before it is needed, and releases a
    /// surplus one.
    ///
    /// Returns whether it cleaned, in which case another call may be worthwhile.
    ///
    /// # Errors
    /// A file cannot be released, or cleaning fails. The content of the log is unchanged.
    pub fn maintain(&mut self, now: Duration, items: &dyn SnapshotSource) -> io::Result<bool> {
        let occupancy = self.occupancy();
        if occupancy.wants_segment() && self.gate.may_grow(now) {
            if let Err(e) = self.add_segment() {
                self.gate.defer_growth(now);
                log::debug!("store: no segment added: {e}");
            }
        } else if self.gate.should_release_segment(now, &occupancy) {
            self.give_segment_back()?;
        }
        let must_rewrite = self.is_oldest_suspect() || self.legacy.is_some();
        let quota = occupancy
            .idle_cleaning_quota()
            .or(must_rewrite.then_some(IDLE_CLEANING_BYTES));
        match quota {
            Some(budget_bytes) => self.clean(items, budget_bytes).map(|_| true),
            None => Ok(false),
        }
    }

    /// Returns whether a failed sync may have lost data written to the oldest segment.
    fn is_oldest_suspect(&self) -> bool {
        self.segments
            .front()
            .is_some_and(|s| s.sequence <= self.suspect_up_to)
    }

    /// Copies about `budget_bytes` of live items from the oldest segments, and retires segments
    /// without live items. Returns the number of bytes copied.
    ///
    /// # Errors
    /// An item cannot be read or written. The next step tries it again.
    pub fn clean(&mut self, items: &dyn SnapshotSource, budget_bytes: u64) -> io::Result<u64> {
        let mut copied_bytes = 0;
        let mut retired = 0;
        while retired < MAX_RETIRED_PER_STEP {
            let Some(oldest) = self.oldest_cleanable() else {
                break;
            };
            match self.index.first_in_segment(oldest) {
                Some(_) if copied_bytes >= budget_bytes => break,
                Some(item) => copied_bytes += self.copy_item(item, items)?,
                // A segment is retired only once the copies of its items are durable.
                None if self.has_unsynced_copies() => break,
                None => {
                    self.retire_oldest()?;
                    retired += 1;
                }
            }
        }
        Ok(copied_bytes)
    }

    /// Returns the oldest segment, unless it is the one being written.
    fn oldest_cleanable(&self) -> Option<u64> {
        if self.legacy.is_some() {
            return Some(LEGACY_SEQUENCE);
        }
        let oldest = self.segments.front()?;
        (self.segments.len() > 1).then_some(oldest.sequence)
    }

    fn has_unsynced_copies(&self) -> bool {
        self.synced_position
            .is_some_and(|synced| synced < self.copied_position)
    }

    /// Copies an item to the end of the log. Returns the bytes written.
    fn copy_item(&mut self, item: u64, items: &dyn SnapshotSource) -> io::Result<u64> {
        let reader = self.reader(item);
        let mut read_stored = || match &reader {
            Some(reader) => reader.read(),
            None => Err(io::ErrorKind::NotFound.into()),
        };
        let data = items.snapshot(item, &mut read_stored)?;
        let location = self.write(FrameKind::Put, item, &data, None)?;
        let reserved_bytes = self.index.remove(item).map_or(0, |i| i.reserved_bytes);
        self.index.insert(item, location, reserved_bytes);
        let len = frame::encoded_len(data.len());
        self.statistics.cleaned_bytes += len;
        self.copied_position = self.position;
        Ok(len)
    }

    /// Retires the oldest segment, which has no live items.
    fn retire_oldest(&mut self) -> io::Result<()> {
        let log_start = match (&self.legacy, self.segments.get(1)) {
            (Some(_), _) => LEGACY_SEQUENCE + 1,
            (None, Some(next)) => next.sequence,
            (None, None) => return Ok(()),
        };
        self.write(FrameKind::LogStart, log_start, &[], None)?;
        self.oldest_sequence = log_start;
        self.statistics.retired_segments += 1;
        if self.legacy.is_some() {
            self.remove_legacy();
        } else {
            self.free_oldest_file();
        }
        Ok(())
    }

    fn remove_legacy(&mut self) {
        let Some(legacy) = self.legacy.take() else {
            return;
        };
        // If the file remains, the next start sees from the `LogStart` that it is retired.
        if let Err(e) = self.disk.remove(&legacy.name) {
            log::warn!("store: {}: not removed: {e}", legacy.name);
        }
        self.folder_is_dirty = true;
    }

    fn free_oldest_file(&mut self) {
        let Some(retired) = self.segments.pop_front() else {
            return;
        };
        let spare = SpareFile {
            slot: retired.slot,
            file: retired.file,
            size_bytes: retired.size_bytes,
        };
        match self.synced_position {
            Some(synced) if synced < self.position => {
                self.unsynced_spares.push_back(UnsyncedSpare {
                    free_at_position: self.position,
                    spare,
                });
            }
            _ => self.release_file(spare),
        }
    }
}
