//! Free files: created before they are needed, reused for one segment after another, and removed
//! when they are no longer needed.

use super::{SegmentLog, SpareFile, LIMIT_MARGIN_BYTES, OPEN_SPARE_FILES};
use crate::store::recover::segment_file_name;
use std::collections::BTreeSet;
use std::io;

impl SegmentLog {
    /// Returns the size of all files, in bytes.
    pub(super) fn total_bytes(&self) -> u64 {
        let segments = self.segments.iter().map(|s| s.size_bytes);
        let spares = self.all_spares().map(|s| s.size_bytes);
        let legacy = self.legacy.iter().map(|l| l.size_bytes);
        segments.chain(spares).chain(legacy).sum()
    }

    fn all_spares(&self) -> impl Iterator<Item = &SpareFile> {
        let unsynced = self.unsynced_spares.iter().map(|u| &u.spare);
        self.spares.iter().chain(unsynced)
    }

    /// Adds a file to the free ones. A file whose size differs from the current segment size is
    /// removed if it is too small to be usable or a file of the current size can be added.
    pub(super) fn release_file(&mut self, spare: SpareFile) {
        let slot = spare.slot;
        let size_bytes = spare.size_bytes;
        self.spares.push(spare);
        self.limit_open_spares();
        let segment_bytes = self.layout.segment_bytes;
        if size_bytes == segment_bytes {
            return;
        }
        let is_usable = size_bytes >= segment_bytes / 2;
        if is_usable && self.add_segment().is_err() {
            return;
        }
        match self.disk.remove(&segment_file_name(slot)) {
            Ok(()) => {
                self.spares.retain(|s| s.slot != slot);
                self.dirty_files.remove(&slot);
                self.folder_is_dirty = true;
            }
            Err(e) => log::warn!("store: {}: not removed: {e}", segment_file_name(slot)),
        }
    }

    /// Keeps the last [`OPEN_SPARE_FILES`] free files open, and closes the others.
    pub(super) fn limit_open_spares(&mut self) {
        let first_open = self.spares.len().saturating_sub(OPEN_SPARE_FILES);
        for (at, spare) in self.spares.iter_mut().enumerate() {
            if at < first_open {
                spare.file = None;
            } else if spare.file.is_none() {
                // If no descriptor is available, the file is opened when it is needed.
                spare.file = self.disk.open(&segment_file_name(spare.slot)).ok();
            }
        }
    }

    /// Adds a free file.
    pub(super) fn add_segment(&mut self) -> io::Result<()> {
        let size_bytes = self.layout.segment_bytes;
        if self.total_bytes() + size_bytes + LIMIT_MARGIN_BYTES > self.limit_bytes {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let slot = self.unused_slot();
        let file = self.disk.create(&segment_file_name(slot), size_bytes)?;
        self.folder_is_dirty = true;
        self.spares.push(SpareFile {
            slot,
            file: Some(file),
            size_bytes,
        });
        self.limit_open_spares();
        Ok(())
    }

    fn unused_slot(&self) -> u32 {
        let in_segments = self.segments.iter().map(|s| s.slot);
        let used: BTreeSet<u32> = in_segments
            .chain(self.all_spares().map(|s| s.slot))
            .collect();
        (0..).find(|slot| !used.contains(slot)).unwrap_or_default()
    }

    /// Removes a free file from the file system.
    pub(super) fn give_segment_back(&mut self) -> io::Result<()> {
        if let Some(spare) = self.spares.first() {
            self.disk.remove(&segment_file_name(spare.slot))?;
            self.spares.remove(0);
            self.folder_is_dirty = true;
        }
        Ok(())
    }
}
