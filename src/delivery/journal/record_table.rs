//! The records of all messages that are not closed, in memory, with the bodies that fit in the
//! cache.

use super::event::JournalEvent;
use super::record::MessageRecord;
use crate::store::log::{ReadStored, SnapshotSource};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Instant;

/// The record of one message, with state of this process only.
pub(super) struct RecordEntry {
    pub record: MessageRecord,
    /// Bytes that the store reserves for the record.
    pub reserved_bytes: u64,
    /// Start of the first attempt that may have run; `None` where it is unknown.
    pub possible_run_at: Option<Instant>,
    /// Start of the attempt in flight.
    pub in_flight_since: Option<Instant>,
    /// Events that could not be written yet, oldest first.
    pub unwritten: VecDeque<JournalEvent>,
}

/// Records by their number in the store.
#[derive(Default)]
pub(super) struct RecordTable {
    entries: BTreeMap<u64, RecordEntry>,
    /// Total size of the bodies in memory, in bytes.
    cached_body_bytes: u64,
}

impl RecordTable {
    /// Adds a record.
    ///
    /// Its body stays in memory only if all bodies there then fit `cache_limit` bytes; otherwise it
    /// is read from the store when needed.
    pub(super) fn insert(
        &mut self,
        id: u64,
        mut record: MessageRecord,
        reserved_bytes: u64,
        cache_limit: u64,
    ) {
        let body_len = record.envelope.body.len();
        if self.cached_body_bytes + body_len as u64 > cache_limit {
            let envelope = Rc::make_mut(&mut record.envelope);
            envelope.stored_body_bytes = body_len;
            envelope.body = Vec::new();
        } else {
            self.cached_body_bytes += body_len as u64;
        }
        let entry = RecordEntry {
            record,
            reserved_bytes,
            possible_run_at: None,
            in_flight_since: None,
            unwritten: VecDeque::new(),
        };
        self.entries.insert(id, entry);
    }

    pub(super) fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.cached_body_bytes -= entry.record.envelope.body.len() as u64;
        }
    }

    /// Applies an event. Returns the record's new reserved size if that changes.
    pub(super) fn apply(&mut self, id: u64, event: JournalEvent) -> Option<u64> {
        let entry = self.entries.get_mut(&id)?;
        let cached_before = entry.record.envelope.body.len();
        let body_before = entry.record.envelope.body_size();
        event.apply_to(&mut entry.record);
        let envelope = &entry.record.envelope;
        self.cached_body_bytes -= (cached_before - envelope.body.len()) as u64;
        let freed = (body_before - envelope.body_size()) as u64;
        entry.reserved_bytes -= freed;
        (freed > 0).then_some(entry.reserved_bytes)
    }

    pub(super) fn get(&self, id: u64) -> Option<&RecordEntry> {
        self.entries.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut RecordEntry> {
        self.entries.get_mut(&id)
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.entries.keys().copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, &RecordEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    pub(super) fn entries_mut(&mut self) -> impl Iterator<Item = &mut RecordEntry> {
        self.entries.values_mut()
    }
}

impl SnapshotSource for RecordTable {
    fn snapshot(&self, id: u64, read_stored: ReadStored<'_>) -> io::Result<Vec<u8>> {
        let entry = self.get(id).ok_or(io::ErrorKind::NotFound)?;
        if entry.record.envelope.stored_body_bytes == 0 {
            return Ok(entry.record.encode());
        }
        let stored = MessageRecord::decode(&read_stored()?).map_err(io::Error::other)?;
        let mut record = entry.record.clone();
        Rc::make_mut(&mut record.envelope).body = stored.envelope.body.clone();
        Ok(record.encode())
    }
}
