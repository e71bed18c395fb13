//! The log and the records that it holds, changed together.

use super::event::JournalEvent;
use super::record_table::RecordTable;
use crate::store::log::SegmentLog;
use std::collections::BTreeSet;
use std::io;

/// The log, the open records in it, and what could not be written yet.
pub(super) struct JournalState {
    pub log: SegmentLog,
    pub records: RecordTable,
    /// Messages that are over, whose `Remove` could not be written yet.
    pub unclosed: BTreeSet<u64>,
}

impl JournalState {
    /// Writes what is still unwritten of a message, then one more event; the record stays as it is.
    pub(super) fn write(&mut self, id: u64, event: &JournalEvent) -> io::Result<()> {
        self.write_pending(id)?;
        self.log.append_update(id, &event.encode(), &self.records)
    }

    /// Writes the events of a message that could not be written before, in order.
    fn write_pending(&mut self, id: u64) -> io::Result<()> {
        while let Some(event) = self.records.get(id).and_then(|e| e.unwritten.front()) {
            self.log.append_update(id, &event.encode(), &self.records)?;
            if let Some(entry) = self.records.get_mut(id) {
                entry.unwritten.pop_front();
            }
        }
        Ok(())
    }

    /// Applies an event to the record, written or not.
    pub(super) fn apply(&mut self, id: u64, event: JournalEvent) {
        if let Some(reserved_bytes) = self.records.apply(id, event) {
            self.log.set_reserved_size(id, reserved_bytes);
        }
    }

    /// Writes an event, and applies it once it is written.
    pub(super) fn record(&mut self, id: u64, event: JournalEvent) -> io::Result<()> {
        self.write(id, &event)?;
        self.apply(id, event);
        Ok(())
    }

    /// Writes that a message is over. Where that fails, [`JournalState::close_pending`] does it.
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

    /// Closes what could not be closed before, until one still cannot be.
    pub(super) fn close_pending(&mut self) {
        let unclosed: Vec<u64> = self.unclosed.iter().copied().collect();
        for id in unclosed {
            if self.close(id).is_err() {
                break;
            }
        }
    }
}
