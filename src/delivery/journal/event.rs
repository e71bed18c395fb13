//! What the journal writes behind an accepted message, as bytes.

use super::record::{AttemptStart, MessageRecord};
use crate::delivery::Verdict;
use serde::{Deserialize, Serialize};

/// Something that happened to a message after it was accepted.
///
/// Postcard writes the variant's position and its fields in order: both are on disk. That a message
/// is accepted or closed is not among them, but a `Put` or `Remove` of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum JournalEvent {
    /// An attempt is about to go.
    AttemptStarted(AttemptStart),
    /// The attempt that was in flight has ended.
    AttemptEnded {
        /// The endpoint may have run it.
        may_have_run: bool,
    },
    /// The final answer is decided.
    Decided(Verdict),
}

impl JournalEvent {
    /// Its bytes on disk.
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data always encodes")
    }

    /// Reads those bytes.
    pub(super) fn decode(bytes: &[u8]) -> Result<JournalEvent, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Changes a record as this says.
    pub(super) fn apply_to(self, record: &mut MessageRecord) {
        match self {
            JournalEvent::AttemptStarted(start) => record.start_attempt(start),
            JournalEvent::AttemptEnded { may_have_run } => record.end_attempt(may_have_run),
            JournalEvent::Decided(verdict) => record.decide(verdict),
        }
    }
}
