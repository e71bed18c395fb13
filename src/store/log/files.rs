//! Free files: made ahead of need, used for one segment after another, given back when needless.

use super::{SegmentLog, SpareFile, LIMIT_MARGIN_BYTES, OPEN_SPARE_FILES};
use crate::store::recover::segment_file_name;
use std::collections::BTreeSet;
use std::io;

impl SegmentLog {
    /// Bytes of all files.
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

    /// Takes a file that is free. One of another size than segments have now goes, if one of the
    /// right size can be had for it.
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

    /// Has as many free files open as may be needed at once, the last ones, and no more.
    pub(super) fn limit_open_spares(&mut self) {
        let first_open = self.spares.len().saturating_sub(OPEN_SPARE_FILES);
        for (at, spare) in self.spares.iter_mut().enumerate() {
            if at < first_open {
                spare.file = None;
            } else if spare.file.is_none() {
                // Without a descriptor now, it is tried again when the file is needed.
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

    /// Gives a free file back to the file system.
    pub(super) fn give_segment_back(&mut self) -> io::Result<()> {
        if let Some(spare) = self.spares.first() {
            self.disk.remove(&segment_file_name(spare.slot))?;
            self.spares.remove(0);
            self.folder_is_dirty = true;
        }
        Ok(())
    }
}
