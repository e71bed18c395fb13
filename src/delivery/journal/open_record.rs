//! The handle by which a message's owner writes its steps.

use super::event::JournalEvent;
use super::record::{AttemptStart, MessageRecord};
use super::record_table::RecordEntry;
use super::wall_clock::WallClock;
use super::Journal;
use crate::delivery::{Envelope, Verdict};
use crate::store::log::ItemReader;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Reads of a body before it is given up: cleaning may move it between finding and reading it.
const BODY_READS: usize = 4;

/// The first attempt of a message that an endpoint may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRun {
    /// Zone that the attempt went to, by name; empty where that is not known.
    pub zone: String,
    /// How long ago it went; none where that is not known.
    pub age: Option<Duration>,
}

/// The open record of one message. Dropped unclosed, it stays open for the next process.
pub struct OpenRecord {
    journal: Rc<Journal>,
    id: u64,
}

impl OpenRecord {
    pub(super) fn new(journal: Rc<Journal>, id: u64) -> Self {
        OpenRecord { journal, id }
    }

    fn with_entry<T>(&self, look: impl FnOnce(&RecordEntry) -> T) -> T {
        let state = self.journal.state.borrow();
        let entry = state.records.get(self.id);
        look(entry.expect("a record is in the table until it is closed"))
    }

    /// What is known of the message, as it is now.
    pub fn snapshot(&self) -> MessageRecord {
        self.with_entry(|entry| entry.record.clone())
    }

    /// The message; its body may be on disk only.
    pub fn envelope(&self) -> Rc<Envelope> {
        self.with_entry(|entry| entry.record.envelope.clone())
    }

    /// The message with its body.
    ///
    /// # Errors
    /// The body cannot be read.
    pub async fn load_envelope(&self) -> io::Result<Rc<Envelope>> {
        let mut failed = io::ErrorKind::NotFound.into();
        for _ in 0..BODY_READS {
            let envelope = self.envelope();
            if envelope.stored_body_bytes == 0 {
                return Ok(envelope);
            }
            match self.read_stored().await? {
                Ok(stored) => {
                    let mut whole = (*envelope).clone();
                    whole.body = stored.envelope.body.clone();
                    whole.stored_body_bytes = 0;
                    return Ok(Rc::new(whole));
                }
                // Cleaning may have moved it; then it is found where it is now.
                Err(e) => failed = e,
            }
        }
        Err(failed)
    }

    /// Reads the record from the store, on its thread. The outer error lasts; the inner one is of
    /// this place alone.
    async fn read_stored(&self) -> io::Result<io::Result<MessageRecord>> {
        let reader = self.reader().ok_or(io::ErrorKind::NotFound)?;
        let data = match &self.journal.worker {
            Some(worker) => worker.run(move || reader.read()).await?,
            None => reader.read(),
        };
        Ok(data.and_then(|data| MessageRecord::decode(&data).map_err(io::Error::other)))
    }

    fn reader(&self) -> Option<ItemReader> {
        self.journal.state.borrow().log.reader(self.id)
    }

    /// The first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<RecordedRun> {
        self.with_entry(|entry| {
            let attempt = entry.record.possible_run.as_ref()?;
            Some(RecordedRun {
                zone: attempt.zone.clone(),
                age: entry.possible_run_at.map(|at| at.elapsed()),
            })
        })
    }

    /// The time that the message has left now, as an earlier process wrote it down.
    pub fn time_left(&self) -> Duration {
        self.with_entry(|entry| {
            let record = &entry.record;
            let clock = WallClock::at(self.journal.clock.now_unix_ms());
            clock.time_left(record.accepted_unix_ms, record.expires_unix_ms)
        })
    }

    /// Waits until all that was written of it is as durable as it is to be.
    ///
    /// # Errors
    /// A sync failed meanwhile: what was written may not be relied upon.
    pub async fn durable(&self) -> io::Result<()> {
        self.journal.durable().await
    }

    /// Whether what is written has to be waited for.
    pub fn requires_sync(&self) -> bool {
        self.journal.options.requires_sync()
    }

    /// Writes that an attempt is about to go.
    ///
    /// # Errors
    /// It could not be written: the attempt must not go.
    pub fn attempt_started(&self, zone: &str) -> io::Result<()> {
        let start = AttemptStart {
            at_unix_ms: self.journal.clock.now_unix_ms(),
            zone: zone.to_string(),
        };
        let mut state = self.journal.state.borrow_mut();
        state.record(self.id, JournalEvent::AttemptStarted(start))?;
        if let Some(entry) = state.records.get_mut(self.id) {
            entry.in_flight_since = Some(Instant::now());
        }
        Ok(())
    }

    /// Writes that the attempt in flight has ended. Where that cannot be written now, no further
    /// attempt goes before it is.
    pub fn attempt_ended(&self, may_have_run: bool) {
        let event = JournalEvent::AttemptEnded { may_have_run };
        let mut state = self.journal.state.borrow_mut();
        let written = state.write(self.id, &event);
        let had_possible_run =
            (state.records.get(self.id)).is_some_and(|entry| entry.record.possible_run.is_some());
        state.apply(self.id, event.clone());
        let Some(entry) = state.records.get_mut(self.id) else {
            return;
        };
        if !had_possible_run {
            entry.possible_run_at = entry.in_flight_since.take().filter(|_| may_have_run);
        }
        if let Err(e) = written {
            log::debug!("store: {}: {e}", entry.record.envelope.id);
            entry.unwritten.push_back(event);
        }
    }

    /// Writes that the final answer is decided.
    ///
    /// # Errors
    /// It could not be written: it must not be told, unless the message's time is up.
    pub fn decided(&self, verdict: Verdict) -> io::Result<()> {
        let mut state = self.journal.state.borrow_mut();
        state.record(self.id, JournalEvent::Decided(verdict))
    }

    /// Writes that the message is over.
    ///
    /// # Errors
    /// It cannot be written now; it will be as soon as it can.
    pub fn close(self) -> io::Result<()> {
        self.journal.state.borrow_mut().close(self.id)
    }
}
