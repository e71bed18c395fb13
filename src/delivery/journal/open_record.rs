//! The handle through which the owner of a message writes its steps.

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

/// Maximum number of tries to read a body: a try fails if cleaning moves the body between the
/// lookup and the read.
const MAX_BODY_READS: usize = 4;

/// Of the attempts of one message, the first that may have run at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRun {
    /// Name of the attempt's zone; empty where it is unknown.
    pub zone: String,
    /// Time since the attempt started; `None` where it is unknown.
    pub age: Option<Duration>,
}

/// The open record of one message.
///
/// A record that is dropped without [`OpenRecord::close`] stays open for the next process.
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

    /// Returns a copy of the message's current record.
    pub fn snapshot(&self) -> MessageRecord {
        self.with_entry(|entry| entry.record.clone())
    }

    /// Returns the message. Its body may be on disk only.
    pub fn envelope(&self) -> Rc<Envelope> {
        self.with_entry(|entry| entry.record.envelope.clone())
    }

    /// Returns the message with its body.
    ///
    /// # Errors
    /// The body cannot be read.
    pub async fn load_envelope(&self) -> io::Result<Rc<Envelope>> {
        let mut last_error = io::ErrorKind::NotFound.into();
        for _ in 0..MAX_BODY_READS {
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
                // Cleaning may have moved the body; the next read looks it up again.
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }

    /// Reads the record from the store, on the worker thread.
    ///
    /// The outer error is permanent. The inner one concerns only the place that was read: if
    /// cleaning has moved the record, another read can succeed.
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

    /// Returns the first attempt that has ended and may have run.
    pub fn first_possible_run(&self) -> Option<RecordedRun> {
        self.with_entry(|entry| {
            let attempt = entry.record.possible_run.as_ref()?;
            Some(RecordedRun {
                zone: attempt.zone.clone(),
                age: entry.possible_run_at.map(|at| at.elapsed()),
            })
        })
    }

    /// Returns the time from now until the message expires. The expiry is that in the record, which
    /// an earlier process wrote.
    pub fn time_left(&self) -> Duration {
        self.with_entry(|entry| {
            let record = &entry.record;
            let clock = WallClock::at(self.journal.clock.now_unix_ms());
            clock.time_left(record.accepted_unix_ms, record.expires_unix_ms)
        })
    }

    /// Waits until everything written about the message so far is as durable as the journal's
    /// [`super::Durability`] requires.
    ///
    /// # Errors
    /// A sync failed during the wait: written data may be lost.
    pub async fn durable(&self) -> io::Result<()> {
        self.journal.durable().await
    }

    /// Whether written data has to be synced before it counts as durable.
    pub fn requires_sync(&self) -> bool {
        self.journal.options.requires_sync()
    }

    /// Writes that an attempt is about to start.
    ///
    /// # Errors
    /// The write failed: the attempt must not start.
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

    /// Writes that the attempt in flight has ended.
    ///
    /// Where the write fails, the event is kept and written before the next one, so no further
    /// attempt starts without it.
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
    /// The write failed: the answer must not be sent unless the message's deadline has passed.
    pub fn decided(&self, verdict: Verdict) -> io::Result<()> {
        let mut state = self.journal.state.borrow_mut();
        state.record(self.id, JournalEvent::Decided(verdict))
    }

    /// Writes that the message has ended.
    ///
    /// # Errors
    /// The write failed; it is retried at every maintenance step.
    pub fn close(self) -> io::Result<()> {
        self.journal.state.borrow_mut().close(self.id)
    }
}
