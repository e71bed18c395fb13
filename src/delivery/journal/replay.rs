//! Rebuilds the records from the log of an earlier process.

use super::event::JournalEvent;
use super::record::MessageRecord;
use super::record_table::RecordTable;
use super::reserved_bytes;
use crate::store::recover::{Replay, ReplayError};
use std::collections::{BTreeMap, BTreeSet};

/// Replays the frames of a log in their order.
pub(super) struct JournalReplay {
    records: RecordTable,
    cache_limit: u64,
    newest_unix_ms: u64,
    /// For each place where frames may be lost, the records that were open there.
    open_at_possible_losses: Vec<Vec<u64>>,
    in_doubt: usize,
}

impl JournalReplay {
    /// Returns an empty replay that keeps up to `cache_limit` bytes of bodies in memory.
    pub(super) fn new(cache_limit: u64) -> Self {
        JournalReplay {
            records: RecordTable::default(),
            cache_limit,
            newest_unix_ms: 0,
            open_at_possible_losses: Vec::new(),
            in_doubt: 0,
        }
    }

    /// Adds the records of a [`super::legacy_v1`] file and returns their numbers.
    pub(super) fn add_legacy(&mut self, open: BTreeMap<u64, MessageRecord>) -> Vec<u64> {
        let ids = open.keys().copied().collect();
        for (id, record) in open {
            self.note_times(&record);
            let reserved_bytes = reserved_bytes(&record.encode());
            // Bodies cannot be read from such a file later, so all of them stay in memory.
            self.records.insert(id, record, reserved_bytes, u64::MAX);
        }
        ids
    }

    fn note_times(&mut self, record: &MessageRecord) {
        self.newest_unix_ms = self.newest_unix_ms.max(record.newest_unix_ms());
    }

    /// Returns the open records.
    pub(super) fn open(&self) -> impl Iterator<Item = (u64, &MessageRecord)> {
        self.records.iter().map(|(id, entry)| (id, &entry.record))
    }

    /// Removes a message that turned out to have ended.
    pub(super) fn forget(&mut self, id: u64) {
        self.records.remove(id);
    }

    /// Returns the number of messages of which events may be lost.
    pub(super) fn in_doubt(&self) -> usize {
        self.in_doubt
    }

    /// Returns the newest time in any record, as Unix time in milliseconds.
    pub(super) fn newest_unix_ms(&self) -> u64 {
        self.newest_unix_ms
    }

    /// Returns the bytes that the store reserves for a record.
    pub(super) fn reserved_bytes(&self, id: u64) -> u64 {
        self.records.get(id).map_or(0, |entry| entry.reserved_bytes)
    }

    pub(super) fn into_records(self) -> RecordTable {
        self.records
    }
}

impl Replay for JournalReplay {
    fn on_put(&mut self, id: u64, data: &[u8]) -> Result<(), ReplayError> {
        let record = MessageRecord::decode(data)?;
        self.note_times(&record);
        self.records.remove(id);
        self.records
            .insert(id, record, reserved_bytes(data), self.cache_limit);
        Ok(())
    }

    fn on_update(&mut self, id: u64, data: &[u8]) -> Result<(), ReplayError> {
        let event = JournalEvent::decode(data)?;
        if let JournalEvent::AttemptStarted(start) = &event {
            self.newest_unix_ms = self.newest_unix_ms.max(start.at_unix_ms);
        }
        self.records.apply(id, event);
        Ok(())
    }

    fn on_remove(&mut self, id: u64) {
        self.records.remove(id);
    }

    fn on_possible_loss(&mut self) {
        self.open_at_possible_losses
            .push(self.records.ids().collect());
    }

    fn on_losses_known(&mut self, lost: &[bool]) {
        let possible = std::mem::take(&mut self.open_at_possible_losses);
        let real = possible.into_iter().zip(lost).filter(|(_, lost)| **lost);
        let in_doubt: BTreeSet<u64> = real.flat_map(|(open, _)| open).collect();
        for id in in_doubt {
            if let Some(entry) = self.records.get_mut(id) {
                entry.record.assume_may_have_run();
                self.in_doubt += 1;
            }
        }
    }
}
