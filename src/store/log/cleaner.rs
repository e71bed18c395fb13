//! Cleans the oldest segments: copies what lives there to the log's end, and retires them.

use super::{SegmentLog, SnapshotSource, SpareFile, UnsyncedSpare, LEGACY_SEQUENCE};
use crate::store::capacity::IDLE_CLEANING_BYTES;
use crate::store::frame::{self, FrameKind};
use std::io;
use std::time::Duration;

/// Segments that one step of cleaning may retire: each costs a frame.
const MAX_RETIRED_PER_STEP: usize = 2;

impl SegmentLog {
    /// Cleans in an idle moment, adds room ahead of need and gives needless room back.
    ///
    /// Says whether it cleaned, so that more of it may be worth while.
    ///
    /// # Errors
    /// A file cannot be given back, or cleaning fails; what stands in the log stays as it is.
    pub fn maintain(&mut self, now: Duration, items: &dyn SnapshotSource) -> io::Result<bool> {
        let occupancy = self.occupancy();
        if occupancy.wants_segment() && self.gate.may_grow(now) {
            if let Err(e) = self.add_segment() {
                self.gate.defer_growth(now);
                log::debug!("store: no further segment: {e}");
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

    /// Whether a failed sync may have lost what was written to the oldest segment.
    fn is_oldest_suspect(&self) -> bool {
        self.segments
            .front()
            .is_some_and(|s| s.sequence <= self.suspect_up_to)
    }

    /// Copies up to about so many bytes of what lives in the oldest segments, and retires those in
    /// which nothing does. Gives the bytes that were copied.
    ///
    /// # Errors
    /// An item cannot be read or written; it is tried again at the next step.
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
                // That it counts no more may be written once the copies cannot get lost.
                None if self.has_unsynced_copies() => break,
                None => {
                    self.retire_oldest()?;
                    retired += 1;
                }
            }
        }
        Ok(copied_bytes)
    }

    /// The oldest segment, but never the one that is written.
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

    /// Writes an item once more, at the end. Gives the bytes that it took.
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

    /// Retires the oldest segment, in which nothing lives.
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
        // Should it stay, the next start knows that it counts no more.
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
