//! The dispatchers of one run, by instance number, and their batches of events.

use crate::frame::{FrameError, ListKind, Record};
use crate::reader::Reader;
use crate::writer::Writer;
use raildeal::config::platform_settings;
use raildeal::{Dispatcher, Event, Listing, Nanos};
use std::collections::BTreeMap;

/// The running instances and the defined lists.
#[derive(Default)]
pub struct Instances {
    dispatchers: BTreeMap<u16, Dispatcher>,
    /// Lists by their number.
    lists: BTreeMap<u16, Vec<Listing>>,
    /// Events of the current batch, by instance.
    pending: BTreeMap<u16, Vec<Event>>,
}

/// Remaining work for a record.
enum Followup {
    /// Select the instance for the records after this one.
    Select(u16),
    /// Queue the event for the selected instance.
    Queue(Event),
    Nothing,
}

/// A record that cannot be applied.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error("{0} before any INSTANCE")]
    NoInstance(&'static str),
    #[error("event for instance {0}, which is not running")]
    NotRunning(u16),
    #[error("FLEET: list {0} was never defined")]
    UnknownList(u16),
    #[error("BORN: {0}")]
    Born(String),
}

impl Instances {
    /// Processes the records of one batch in order, and returns the reply. Events are queued per
    /// instance until the whole batch is read, so that an instance decides once per batch; an
    /// instance that ends drops its queued events.
    ///
    /// # Errors
    /// Returns an error if the batch is malformed, or is for an instance that does not run.
    pub fn handle_batch(&mut self, sequence: [u8; 4], body: &[u8]) -> Result<Vec<u8>, FrameError> {
        let mut reader = Reader::new(body);
        let now = reader.clock()?;
        let mut selected = None;
        loop {
            let position = reader.position();
            let Some(record) = reader.next() else { break };
            let fault = |e: RecordError| FrameError {
                problem: e.to_string(),
                position,
            };
            match self.apply(selected, record?).map_err(fault)? {
                Followup::Select(instance) => selected = Some(instance),
                Followup::Queue(event) => self.queue(selected, event).map_err(fault)?,
                Followup::Nothing => {}
            }
        }
        Ok(self.decide(now, sequence))
    }

    /// Applies a record as far as it needs no running instance.
    fn apply(&mut self, selected: Option<u16>, record: Record) -> Result<Followup, RecordError> {
        let event = match record {
            Record::Instance(instance) => return Ok(Followup::Select(instance)),
            Record::Head | Record::Memo => return Ok(Followup::Nothing),
            Record::Inventory { set, entries } => {
                self.lists.insert(set, entries);
                return Ok(Followup::Nothing);
            }
            Record::Born { seed, settings } => {
                let instance = selected.ok_or(RecordError::NoInstance("BORN"))?;
                self.begin(instance, seed, settings)?;
                return Ok(Followup::Nothing);
            }
            Record::Exit => {
                let instance = selected.ok_or(RecordError::NoInstance("EXIT"))?;
                self.dispatchers.remove(&instance);
                self.pending.remove(&instance);
                return Ok(Followup::Nothing);
            }
            Record::Fleet { how, set } => self.list_event(how, set)?,
            Record::WorkItem(message) => Event::Arrived(message),
            Record::TimeoutFired => Event::TimerFired,
            Record::Reply {
                id,
                attempt,
                outcome,
                took,
                finished,
                report,
            } => Event::AttemptEnded {
                id,
                attempt,
                outcome,
                took,
                finished,
                report,
            },
            Record::Vanished(id) => Event::ClientGone(id),
            Record::StatusBack {
                endpoint,
                outcome,
                report,
            } => Event::HealthCheckEnded {
                endpoint,
                outcome,
                report,
            },
        };
        Ok(Followup::Queue(event))
    }

    fn begin(&mut self, instance: u16, seed: u64, settings: &[u8]) -> Result<(), RecordError> {
        let deployment = platform_settings::from_lines(settings)
            .map_err(|e| RecordError::Born(e.to_string()))?;
        let dispatcher = Dispatcher::new(deployment.settings, seed)
            .map_err(|e| RecordError::Born(e.to_string()))?;
        self.dispatchers.insert(instance, dispatcher);
        self.pending.insert(instance, Vec::new());
        Ok(())
    }

    fn list_event(&self, how: ListKind, set: u16) -> Result<Event, RecordError> {
        let list = || {
            let list = self.lists.get(&set).cloned();
            list.ok_or(RecordError::UnknownList(set))
        };
        Ok(match how {
            ListKind::Changes => Event::ListChanges(list()?),
            ListKind::Complete => Event::List(list()?),
            ListKind::Cached => Event::CachedList(list()?),
            ListKind::Failed => Event::ListFailed,
        })
    }

    fn queue(&mut self, selected: Option<u16>, event: Event) -> Result<(), RecordError> {
        let instance = selected.ok_or(RecordError::NoInstance("event"))?;
        if !self.dispatchers.contains_key(&instance) {
            return Err(RecordError::NotRunning(instance));
        }
        self.pending.entry(instance).or_default().push(event);
        Ok(())
    }

    fn decide(&mut self, now: Nanos, sequence: [u8; 4]) -> Vec<u8> {
        let mut writer = Writer::new(sequence);
        let mut actions = Vec::new();
        for (instance, events) in std::mem::take(&mut self.pending) {
            let Some(dispatcher) = self.dispatchers.get_mut(&instance) else {
                continue;
            };
            dispatcher.handle(now, &events, &mut actions);
            for action in actions.drain(..) {
                writer.action(instance, &action);
            }
        }
        writer.finish()
    }
}
