//! The messages that have ended, by the ids that their clients assigned.
//!
//! A client whose answer was lost submits its message again under the same id, also when the first
//! copy has ended meanwhile. This module owns the table that recognizes it, and its files in the
//! state folder, so that it is recognized by the next process, too. Two generations are kept: once
//! the newer one has reached its size, the older one is forgotten as a whole. Nothing is synced: a
//! loss of power may forget what a kill does not.

mod log;

use crate::delivery::Verdict;
use log::GenerationLog;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::path::Path;

/// Key of a message: ids are unique within a frontend.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MessageKey {
    /// The frontend that received the message.
    pub frontend: u8,
    /// The id that the client assigned.
    pub id: String,
}

/// How a message ended that must not run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// An endpoint accepted it.
    Delivered,
    /// It failed, and may have run.
    Failed,
}

impl Ending {
    /// Returns the ending that has to be remembered. A deferred message has surely not run, or may
    /// run again, and its client was told to submit it again.
    pub fn of(verdict: Verdict) -> Option<Self> {
        match verdict {
            Verdict::Delivered => Some(Ending::Delivered),
            Verdict::Undeliverable => Some(Ending::Failed),
            Verdict::Deferred { .. } => None,
        }
    }
}

/// A message that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedMessage {
    /// Checksum that is equal for a repeat of the same message.
    pub fingerprint: u32,
    /// How it ended.
    pub ending: Ending,
}

/// The ids of the messages that ended last.
pub struct FinishedMessages {
    generations: RefCell<Generations>,
}

struct Generations {
    newer: HashMap<MessageKey, FinishedMessage>,
    older: HashMap<MessageKey, FinishedMessage>,
    /// Bytes of the newer one's records.
    newer_bytes: u64,
    /// Bytes at which a new one begins.
    max_bytes: u64,
    /// Where they outlive the process; `None` where they need not.
    log: Option<GenerationLog>,
    /// Whether the log was told that they cannot be written.
    is_failure_logged: bool,
}

/// Bytes of ids that are remembered where nothing else is said.
const DEFAULT_BYTES: u64 = 256 * 1024;

impl Default for FinishedMessages {
    /// A table that ends with the process.
    fn default() -> Self {
        FinishedMessages::with(DEFAULT_BYTES, None, Loaded::default())
    }
}

/// What an earlier process left.
#[derive(Default)]
struct Loaded {
    newer: HashMap<MessageKey, FinishedMessage>,
    older: HashMap<MessageKey, FinishedMessage>,
    newer_bytes: u64,
}

impl FinishedMessages {
    /// Opens the table of a state folder, in which it takes at most `max_bytes`. Where the folder
    /// cannot be used, the table is empty and ends with the process: what is owed is not lost.
    pub fn open(folder: &Path, max_bytes: u64) -> Self {
        match GenerationLog::open(folder, max_bytes) {
            Ok((log, loaded)) => FinishedMessages::with(max_bytes, Some(log), loaded),
            Err(e) => {
                ::log::error!("finished: ids are neither read nor written: {e}");
                FinishedMessages::with(max_bytes, None, Loaded::default())
            }
        }
    }

    /// Returns the bytes of a folder's limit that the table may take.
    pub fn reserved_bytes(folder_limit_bytes: u64) -> u64 {
        const FRACTION: u64 = 8;
        DEFAULT_BYTES.min(folder_limit_bytes / FRACTION)
    }

    fn with(max_bytes: u64, log: Option<GenerationLog>, loaded: Loaded) -> Self {
        FinishedMessages {
            generations: RefCell::new(Generations {
                newer: loaded.newer,
                older: loaded.older,
                newer_bytes: loaded.newer_bytes,
                max_bytes: log::generation_bytes(max_bytes),
                log,
                is_failure_logged: false,
            }),
        }
    }

    /// Returns how a message with this id ended, if that is remembered.
    pub fn find(&self, key: &MessageKey) -> Option<FinishedMessage> {
        let generations = self.generations.borrow();
        let found = generations.newer.get(key);
        found.or_else(|| generations.older.get(key)).copied()
    }

    /// Returns the number of ids that are remembered.
    pub fn len(&self) -> usize {
        let generations = self.generations.borrow();
        generations.newer.len() + generations.older.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Remembers how a message ended. Where that cannot be written, it is remembered until the end
    /// of the process.
    pub fn remember(&self, key: MessageKey, message: FinishedMessage) {
        self.generations.borrow_mut().remember(key, message);
    }
}

impl Generations {
    fn remember(&mut self, key: MessageKey, message: FinishedMessage) {
        let record = match log::encode(&key, &message) {
            Ok(record) => record,
            Err(e) => return ::log::error!("finished: {} cannot be written: {e}", key.id),
        };
        let needed = record.len() as u64;
        let mut written = Ok(());
        if self.newer_bytes + needed > self.max_bytes {
            self.older = std::mem::take(&mut self.newer);
            self.newer_bytes = 0;
            written = self.log.iter_mut().try_for_each(GenerationLog::begin_next);
        }
        let written = written.and_then(|()| {
            let mut log = self.log.iter_mut();
            log.try_for_each(|log| log.append(&record))
        });
        self.newer_bytes += needed;
        self.newer.insert(key, message);
        self.log_failure(written);
    }

    fn log_failure(&mut self, written: io::Result<()>) {
        let is_first = !self.is_failure_logged;
        self.is_failure_logged = written.is_err();
        if let Err(e) = written {
            if is_first {
                ::log::warn!(
                    "finished: ids are not written: {e}; after a restart they are not recognized"
                );
            }
        }
    }
}

#[cfg(test)]
mod tests;
