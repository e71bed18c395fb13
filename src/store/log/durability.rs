//! Syncs: what has to be synced, what is, and what a failed sync means.

use super::SegmentLog;
use crate::store::capacity::GateChange;
use crate::store::disk::{Disk, DiskFile};
use crate::store::recover::LogPosition;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Files that are to be synced; may be sent to another thread.
pub struct PendingSync {
    files: BTreeMap<u32, Arc<dyn DiskFile>>,
    /// The folder, where files were made or removed.
    folder: Option<Arc<dyn Disk>>,
    /// How far everything is synced after that, in bytes appended.
    pub position: u64,
    /// The same as a place in the log.
    end: Option<LogPosition>,
}

impl PendingSync {
    /// Syncs them; blocks.
    ///
    /// # Errors
    /// What was written may be lost, whatever a later sync says.
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
    /// How far it is written, in bytes appended.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// What has to be synced so that everything up to [`SegmentLog::position`] is. Give it to
    /// [`SegmentLog::mark_synced`] or [`SegmentLog::sync_failed`] afterwards.
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

    /// Everything up to a position is synced: files that waited for it are free.
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

    /// A sync failed: what was written to these files may be lost, whatever a later sync says. All
    /// that lives in them is written again elsewhere.
    pub fn sync_failed(&mut self, now: Duration, failed: PendingSync) -> Option<GateChange> {
        self.dirty_files.extend(failed.files);
        self.folder_is_dirty |= failed.folder.is_some();
        self.suspect_up_to = self.segments.back().map_or(0, |s| s.sequence);
        self.set_tail_sealed(true);
        self.gate.on_write_error(now)
    }
}
