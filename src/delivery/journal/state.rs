//! The log and its records, which change together.

use super::event::JournalEvent;
use super::record_table::RecordTable;
use crate::store::log::SegmentLog;
use std::collections::BTreeSet;
use std::io;

/// The log, its open records, and the writes that are still to be made.
pub(super) struct JournalState {
    pub log: SegmentLog,
    pub records: RecordTable,
    /// Messages that have ended and whose `Remove` could not be written yet.
    pub unclosed: BTreeSet<u64>,
}

impl JournalState {
    /// Writes the pending events of a message, then one more event. The record does not change.
    pub(super) fn write(&mut self, id: u64, event: &JournalEvent) -> io::Result<()> {
        self.write_pending(id)?;
        self.log.append_update(id, &event.encode(), &self.records)
    }

    /// Writes the pending events of a message, in order.
    fn write_pending(&mut self, id: u64) -> io::Result<()> {
        while let Some(event) = self.records.get(id).and_then(|e| e.unwritten.front()) {
            self.log.append_update(id, &event.encode(), &self.records)?;
            if let Some(entry) = self.records.get_mut(id) {
                entry.unwritten.pop_front();
            }
        }
        Ok(())
    }

    /// Applies an event to the record, whether it is written or not.
    pub(super) fn apply(&mut self, id: u64, event: JournalEvent) {
        if let Some(reserved_bytes) = self.records.apply(id, event) {
            self.log.set_reserved_size(id, reserved_bytes);
        }
    }

    /// Writes an event, and applies it if the write succeeded.
    pub(super) fn record(&mut self, id: u64, event: JournalEvent) -> io::Result<()> {
        self.write(id, &event)?;
        self.apply(id, event);
        Ok(())
    }

    /// Writes that a message has ended. Where that fails, [`JournalState::close_pending`] retries.
    pub(super) fn close(&mut self, id: u64) -> io::Result<()> {
        match self.log.remove(id, &self.records) {
            Ok(()) => {
                self.unclosed.remove(&id);
                self.records.remove(id);
                Ok(())
            }
            Err(e) => {
                self.unclosed.insert(id);
                Err(e)
            }
        }
    }

    /// Retries the pending `Remove`s until one fails.
    pub(super) fn close_pending(&mut self) {
        let unclosed: Vec<u64> = self.unclosed.iter().copied().collect();
        for id in unclosed {
            if self.close(id).is_err() {
                break;
            }
        }
    }
}
