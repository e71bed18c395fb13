//! Syncs: tracks what has to be synced and what is synced, and handles failed syncs.

use super::SegmentLog;
use crate::store::capacity::GateChange;
use crate::store::disk::{Disk, DiskFile};
use crate::store::recover::LogPosition;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Files to be synced. Can be sent to another thread.
pub struct PendingSync {
    files: BTreeMap<u32, Arc<dyn DiskFile>>,
    /// The folder, if files were created or removed.
    folder: Option<Arc<dyn Disk>>,
    /// Position up to which the log is synced afterwards, in bytes appended.
    pub position: u64,
    /// The same position as a segment and an offset.
    end: Option<LogPosition>,
}

impl PendingSync {
    /// Syncs the files. Blocks.
    ///
    /// # Errors
    /// Data written before may be lost, even if a later sync succeeds.
    pub fn sync(&self) -> io::Result<()> {
        for file in self.files.values() {
            file.sync()?;
        }
        match &self.folder {
            Some(folder) => folder.sync(),
            None => Ok(()),
        }
    }
}

impl SegmentLog {
    /// Returns the end of the log, in bytes appended.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Takes the files that have to be synced to make the log durable up to
    /// [`SegmentLog::position`]. The caller has to pass the result to
    /// [`SegmentLog::mark_synced`] or [`SegmentLog::sync_failed`] after the sync.
    pub fn take_unsynced(&mut self) -> PendingSync {
        let folder_is_dirty = std::mem::take(&mut self.folder_is_dirty);
        let end = self.segments.back().map(|s| LogPosition {
            sequence: s.sequence,
            offset: s.end,
        });
        PendingSync {
            files: std::mem::take(&mut self.dirty_files),
            folder: folder_is_dirty.then(|| self.disk.clone()),
            position: self.position,
            end,
        }
    }

    /// Records a successful sync, and frees the files that waited for it.
    pub fn mark_synced(&mut self, synced: &PendingSync) {
        let position = synced.position;
        self.unwritten_durable_mark = synced.end;
        self.synced_position = self.synced_position.map(|before| before.max(position));
        while let Some(waiting) = self.unsynced_spares.front() {
            if waiting.free_at_position > position {
                break;
            }
            if let Some(free) = self.unsynced_spares.pop_front() {
                self.release_file(free.spare);
            }
        }
    }

    /// Records a failed sync. Data written to these files may be lost, even if a later sync
    /// succeeds. Therefore the newest segment is sealed, and cleaning copies the live items of all
    /// segments so far to new ones.
    pub fn sync_failed(&mut self, now: Duration, failed: PendingSync) -> Option<GateChange> {
        self.dirty_files.extend(failed.files);
        self.folder_is_dirty |= failed.folder.is_some();
        self.suspect_up_to = self.segments.back().map_or(0, |s| s.sequence);
        self.set_tail_sealed(true);
        self.gate.on_write_error(now)
    }
}
