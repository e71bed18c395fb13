//! Opens a log from the files of an earlier process.

use super::index::ItemIndex;
use super::{LegacySegment, LogStatistics, Segment, SegmentLog, SpareFile, LEGACY_SEQUENCE};
use crate::store::capacity::{CapacityGate, SegmentLayout};
use crate::store::disk::Disk;
use crate::store::recover::{
    self, segment_file_name, Damage, FrameLocation, RecoveredLog, RecoveredSegment, Replay,
};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::Arc;

/// The sequence number of a log's first segment.
const FIRST_SEQUENCE: u64 = 1;

/// Options of a log.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// Size limit of the folder, in bytes.
    pub limit_bytes: u64,
    /// Seed of the segments' salts. Clients must not be able to learn it.
    pub seed: u64,
    /// Whether files are reused only after a sync.
    pub sync_required: bool,
}

/// A file in a legacy format. It is treated as the oldest segment until its items are copied.
pub struct LegacyFile {
    /// Name of the file.
    pub name: String,
    /// Size of the file, in bytes.
    pub size_bytes: u64,
    /// Items in the file that are not removed.
    pub items: Vec<u64>,
}

/// An opened log, with the findings of its recovery.
pub struct OpenedLog {
    /// The log.
    pub log: SegmentLog,
    /// Damage found during recovery.
    pub damage: Vec<Damage>,
    /// Bytes of an incomplete frame at the end of the log.
    pub torn_bytes: u64,
    /// Number of bytes read.
    pub read_bytes: u64,
}

impl SegmentLog {
    /// Opens the log of a folder and replays it. `reserved_bytes` returns the number of bytes that
    /// a replayed item is counted with.
    ///
    /// # Errors
    /// The folder or a file in it cannot be read.
    pub fn open<R: Replay>(
        disk: Arc<dyn Disk>,
        options: LogOptions,
        legacy: Option<LegacyFile>,
        replay: &mut R,
        reserved_bytes: impl Fn(&R, u64) -> u64,
    ) -> io::Result<OpenedLog> {
        let first_sequence = match legacy {
            Some(_) => LEGACY_SEQUENCE,
            None => FIRST_SEQUENCE,
        };
        let recovered = recover::scan(&*disk, first_sequence, replay)?;
        for anomaly in &recovered.anomalies {
            log::warn!("store: left by a partially failed write: {anomaly}");
        }
        let mut log = SegmentLog::without_files(disk, options, &recovered);
        log.adopt_segments(&recovered.segments)?;
        for file in &recovered.free_files {
            log.release_file(SpareFile {
                slot: file.slot,
                file: None,
                size_bytes: file.size_bytes,
            });
        }
        for (item, location) in recovered.locations {
            let reserved = reserved_bytes(replay, item);
            log.index.insert(item, location, reserved);
        }
        if let Some(legacy) = legacy {
            log.adopt_legacy(legacy, replay, &reserved_bytes);
        }
        Ok(OpenedLog {
            log,
            damage: recovered.damage,
            torn_bytes: recovered.torn_bytes,
            read_bytes: recovered.read_bytes,
        })
    }

    /// Creates a log that continues at the end of the recovered one, without its files.
    fn without_files(disk: Arc<dyn Disk>, options: LogOptions, recovered: &RecoveredLog) -> Self {
        let segment_bytes = recovered.segments.iter().map(|s| s.size_bytes);
        let free_bytes = recovered.free_files.iter().map(|f| f.size_bytes);
        let own_bytes: u64 = segment_bytes.chain(free_bytes).sum();
        let available_bytes = disk.free_bytes().unwrap_or(0).saturating_add(own_bytes);
        let newest = recovered.segments.last();
        SegmentLog {
            layout: SegmentLayout::for_folder(options.limit_bytes, available_bytes),
            limit_bytes: options.limit_bytes,
            seed: options.seed,
            segments: VecDeque::new(),
            legacy: None,
            spares: Vec::new(),
            unsynced_spares: VecDeque::new(),
            index: ItemIndex::default(),
            next_item: recovered.next_item,
            next_sequence: newest.map_or(FIRST_SEQUENCE, |s| s.header.sequence + 1),
            oldest_sequence: recovered.oldest_sequence,
            gate: CapacityGate::default(),
            position: 0,
            synced_position: options.sync_required.then_some(0),
            copied_position: 0,
            unwritten_durable_mark: None,
            dirty_files: BTreeMap::new(),
            folder_is_dirty: false,
            cleaning_credit: 0,
            suspect_up_to: 0,
            statistics: LogStatistics::default(),
            disk,
        }
    }

    fn adopt_segments(&mut self, recovered: &[RecoveredSegment]) -> io::Result<()> {
        for segment in recovered {
            self.segments.push_back(Segment {
                sequence: segment.header.sequence,
                slot: segment.slot,
                file: None,
                size_bytes: segment.size_bytes,
                salt: segment.header.salt,
                end: segment.end,
                sealed: false,
            });
        }
        if let Some(newest) = self.segments.back_mut() {
            newest.file = Some(self.disk.open(&segment_file_name(newest.slot))?);
        }
        Ok(())
    }

    /// Adds the items of a legacy file that are not removed and not copied yet.
    fn adopt_legacy<R: Replay>(
        &mut self,
        legacy: LegacyFile,
        replay: &mut R,
        reserved_bytes: &impl Fn(&R, u64) -> u64,
    ) {
        let next_item = legacy.items.iter().map(|item| item + 1).max();
        self.next_item = self.next_item.max(next_item.unwrap_or(0));
        let counts = self.oldest_sequence == LEGACY_SEQUENCE;
        for item in legacy.items {
            if self.index.contains(item) {
                continue; // The item was copied already.
            }
            if !counts {
                replay.on_remove(item);
                continue;
            }
            let location = FrameLocation {
                sequence: LEGACY_SEQUENCE,
                slot: 0,
                offset: 0,
                data_len: 0,
            };
            let reserved = reserved_bytes(replay, item);
            self.index.insert(item, location, reserved);
        }
        self.legacy = Some(LegacySegment {
            name: legacy.name,
            size_bytes: legacy.size_bytes,
        });
    }
}
