//! The journal: what was accepted outlives the process.
//!
//! Owns the records of all messages that are not over, and writes every step of a message to a
//! segment log ([`crate::store`]) before anything is promised or sent. It decides nothing about a
//! message and knows no endpoint. [`crate::delivery::message`] writes a message's steps through its
//! [`OpenRecord`]; `main` opens the journal and runs [`Journal::maintain`] and
//! [`Journal::run_sync`].
//!
//! A message's frames, in order, and what waits for each:
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
//! 1. Journal before 202: what is told or sent is written before, and with
//!    [`Durability::Machine`] synced before ([`OpenRecord::durable`]).
//! 2. An event that cannot be written is written before the next one of the same message; until
//!    then nothing that depends on it is told, and no further attempt goes.
//! 3. A record leaves memory only once its `Remove` is written; one that cannot be written is tried
//!    again at every maintenance step.
//! 4. One process at a time has a folder open, by a lock that is held as long as the process lives.
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

/// Bytes that events may add to a record: two zones' names above all.
const EVENT_ALLOWANCE_BYTES: u64 = 192;
/// A write that failed is tried again after this time.
pub const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What has to outlast what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The process: what is written is kept.
    #[default]
    Process,
    /// The machine: what is synced is kept.
    Machine,
}

/// How a journal is to be.
#[derive(Clone, Copy, Debug)]
pub struct JournalOptions {
    /// Bytes that its folder may hold.
    pub limit_bytes: u64,
    /// What it outlasts.
    pub durability: Durability,
    /// Bytes of bodies that are kept in memory; those of further messages are read when they are
    /// sent.
    pub cached_body_bytes: u64,
    /// For the salts of segments; a client must not be able to know it.
    pub seed: u64,
}

impl JournalOptions {
    /// For a folder that may hold so many bytes; the rest at its simplest.
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

    /// A thread of its own is needed for syncs, and to read bodies that are not in memory.
    fn needs_worker(&self) -> bool {
        self.requires_sync() || self.cached_body_bytes < u64::MAX
    }
}

/// Time since any start, never back, that the store's decisions go by.
pub type MonotonicClock = Box<dyn Fn() -> Duration>;

/// The journal of one folder.
pub struct Journal {
    /// Held for as long as the process lives; a second one in this folder would send everything
    /// once more.
    _locks: Vec<File>,
    state: RefCell<JournalState>,
    options: JournalOptions,
    monotonic_clock: MonotonicClock,
    clock: PersistentClock,
    worker: Option<Worker>,
    sync: SyncProgress,
}

impl Journal {
    /// Writes down a message that is accepted under a policy and a routing table; from now on it is
    /// owed its end.
    ///
    /// With [`Durability::Machine`] that counts once [`OpenRecord::durable`] says so.
    ///
    /// # Errors
    /// There is no room, or it cannot be written: it is not accepted.
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

    /// When a client that was rejected for want of room may come back.
    pub fn retry_after(&self) -> Duration {
        self.state.borrow().log.capacity_gate().retry_after()
    }

    /// The clock that all times in this folder go by.
    pub fn clock(&self) -> PersistentClock {
        self.clock
    }

    /// What the store has done so far.
    pub fn statistics(&self) -> LogStatistics {
        self.state.borrow().log.statistics()
    }

    /// How full the store is.
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

/// Bytes that a record with this data is counted for, from its first frame to its last.
fn reserved_bytes(data: &[u8]) -> u64 {
    frame::encoded_len(data.len()) + EVENT_ALLOWANCE_BYTES
}
