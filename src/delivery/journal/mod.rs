//! The journal: accepted messages survive the end of the process.
//!
//! Owns the records of all messages that have not ended, and writes every step of a message to a
//! segment log ([`crate::store`]) before it is acknowledged or acted upon. It makes no decision
//! about a message and knows no endpoint. [`crate::delivery::message`] writes a message's steps
//! through its [`OpenRecord`]; `main` opens the journal and runs [`Journal::maintain`] and
//! [`Journal::run_sync`].
//!
//! The frames of a message, in order, and the action that depends on each:
//!
//! | step | frame of the store | waits for it |
//! | --- | --- | --- |
//! | accepted | `Put` with the [`MessageRecord`] | 202 to its client |
//! | attempt started | `Update` | the attempt |
//! | attempt ended | `Update` | the next attempt |
//! | decided | `Update` | the final answer |
//! | closed | `Remove` | nothing |
//!
//! Invariants:
//!
//! 1. Journal before 202: a step is written before it is acknowledged or acted upon, and with
//!    [`Durability::Machine`] it is synced before ([`OpenRecord::durable`]).
//! 2. An event that could not be written is written before the next event of the same message.
//!    Until then nothing that depends on it is sent: no answer and no further attempt.
//! 3. A record leaves memory only after its `Remove` is written. A `Remove` that failed is retried
//!    at every maintenance step.
//! 4. Only one process at a time has a folder open. It holds a lock until it ends.
//!
//! The parts: [`open`] (lock, upgrade, recovery), `replay`, `state` (log and records together),
//! `open_record` (one message's steps), `maintenance` (cleaning and late writes), `group_sync`,
//! [`record`] and `event` (the bytes), [`legacy_v1`], [`inspect`], [`restart_state`],
//! [`persistent_clock`] (the times that are written) and [`wall_clock`] (what they mean later).

mod event;
mod group_sync;
pub mod inspect;
pub mod legacy_v1;
mod maintenance;
mod note_file;
mod open;
mod open_record;
pub mod persistent_clock;
pub mod record;
mod record_table;
mod replay;
pub mod restart_state;
mod state;
pub mod wall_clock;

use crate::delivery::Envelope;
use crate::store::capacity::{GateChange, Occupancy};
use crate::store::frame;
use crate::store::log::{LogOptions, LogStatistics, PutError};
use crate::store::worker::Worker;
use group_sync::SyncProgress;
pub use open_record::{OpenRecord, RecordedRun};
use persistent_clock::PersistentClock;
pub use record::{AttemptStart, MessageRecord};
use serde::Deserialize;
use state::JournalState;
use std::cell::RefCell;
use std::fs::File;
use std::rc::Rc;
use std::time::Duration;

/// Bytes that events may add to a record, chiefly the names of two zones.
const EVENT_ALLOWANCE_BYTES: u64 = 192;
/// Delay before a failed write is retried.
pub const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Failure that written records survive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The end of the process: written data is kept.
    #[default]
    Process,
    /// The failure of the machine: synced data is kept.
    Machine,
}

/// Options of a journal.
#[derive(Clone, Copy, Debug)]
pub struct JournalOptions {
    /// Maximum size of the journal's folder, in bytes.
    pub limit_bytes: u64,
    /// Failure that written records survive.
    pub durability: Durability,
    /// Bytes of message bodies that are kept in memory. Further bodies are read from disk when they
    /// are sent.
    pub cached_body_bytes: u64,
    /// Seed of the segments' salts. Clients must not be able to know it.
    pub seed: u64,
}

impl JournalOptions {
    /// Returns options for a folder of at most `limit_bytes`, without syncs and with all bodies in
    /// memory.
    pub fn new(limit_bytes: u64) -> Self {
        JournalOptions {
            limit_bytes,
            durability: Durability::Process,
            cached_body_bytes: u64::MAX,
            seed: 0,
        }
    }

    fn requires_sync(&self) -> bool {
        self.durability == Durability::Machine
    }

    fn log_options(&self) -> LogOptions {
        LogOptions {
            limit_bytes: self.limit_bytes,
            seed: self.seed,
            sync_required: self.requires_sync(),
        }
    }

    /// Whether a worker thread is needed: for syncs, or to read bodies that are not in memory.
    fn needs_worker(&self) -> bool {
        self.requires_sync() || self.cached_body_bytes < u64::MAX
    }
}

/// Clock for the store's decisions: time since an arbitrary start, never going back.
pub type MonotonicClock = Box<dyn Fn() -> Duration>;

/// The journal of one folder.
pub struct Journal {
    /// Locks that are held until the process ends. A second process in this folder would send every
    /// message again.
    _locks: Vec<File>,
    state: RefCell<JournalState>,
    options: JournalOptions,
    monotonic_clock: MonotonicClock,
    clock: PersistentClock,
    worker: Option<Worker>,
    sync: SyncProgress,
}

impl Journal {
    /// Writes a message that is accepted under a policy and a routing table. From then on the
    /// message is owed a final answer.
    ///
    /// With [`Durability::Machine`] the record is safe only after [`OpenRecord::durable`] returns.
    ///
    /// # Errors
    /// The store is full or the write failed: the message is not accepted.
    pub fn append_accepted(
        self: &Rc<Self>,
        envelope: Envelope,
        time_left: Duration,
        policy: u64,
        table: u64,
    ) -> Result<OpenRecord, PutError> {
        let now_unix_ms = self.clock.now_unix_ms();
        let record = MessageRecord::accepted(envelope, now_unix_ms, time_left, policy, table);
        let data = record.encode();
        let reserved_bytes = reserved_bytes(&data);
        let state = &mut *self.state.borrow_mut();
        let now = (self.monotonic_clock)();
        let put = state.log.put(now, &data, reserved_bytes, &state.records);
        log_gate_change(put.gate_change);
        let id = put.result?;
        let cache_limit = self.options.cached_body_bytes;
        state
            .records
            .insert(id, record, reserved_bytes, cache_limit);
        Ok(OpenRecord::new(self.clone(), id))
    }

    /// Returns the delay after which a client that was rejected for lack of space may retry.
    pub fn retry_after(&self) -> Duration {
        self.state.borrow().log.capacity_gate().retry_after()
    }

    /// Returns the clock for all times that are stored in this folder.
    pub fn clock(&self) -> PersistentClock {
        self.clock
    }

    /// Returns the store's statistics.
    pub fn statistics(&self) -> LogStatistics {
        self.state.borrow().log.statistics()
    }

    /// Returns the store's occupancy.
    pub fn occupancy(&self) -> Occupancy {
        self.state.borrow().log.occupancy()
    }
}

fn log_gate_change(change: Option<GateChange>) {
    match change {
        Some(change @ GateChange::Closed(_)) => log::warn!("store: {change}"),
        Some(change @ GateChange::Reopened(_)) => log::info!("store: {change}"),
        None => {}
    }
}

/// Returns the bytes that the store reserves for a record with this data until the record is
/// removed.
fn reserved_bytes(data: &[u8]) -> u64 {
    frame::encoded_len(data.len()) + EVENT_ALLOWANCE_BYTES
}
