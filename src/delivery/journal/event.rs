//! Events that the journal writes after a message was accepted, and their encoding.

use super::record::{AttemptStart, MessageRecord};
use crate::delivery::Verdict;
use serde::{Deserialize, Serialize};

/// An event of a message after its acceptance.
///
/// Postcard writes the variant's position and its fields in order: both are on disk. Acceptance and
/// closing are not events; they are a `Put` and a `Remove` of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum JournalEvent {
    /// An attempt is about to start.
    AttemptStarted(AttemptStart),
    /// The attempt in flight has ended.
    AttemptEnded {
        /// Whether the endpoint may have run the attempt.
        may_have_run: bool,
    },
    /// The final answer is decided.
    Decided(Verdict),
}

impl JournalEvent {
    /// Encodes the event for the disk.
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data always encodes")
    }

    /// Decodes an event.
    pub(super) fn decode(bytes: &[u8]) -> Result<JournalEvent, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Applies the event to a record.
    pub(super) fn apply_to(self, record: &mut MessageRecord) {
        match self {
            JournalEvent::AttemptStarted(start) => record.start_attempt(start),
            JournalEvent::AttemptEnded { may_have_run } => record.end_attempt(may_have_run),
            JournalEvent::Decided(verdict) => record.decide(verdict),
        }
    }
}
