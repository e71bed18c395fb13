//! What a Raft group agrees on, as far as the group has to know it.
//!
//! The trait lets one [`RaftGroup`](super::raft_group::RaftGroup) carry the record of a site
//! ([`super::record`]) and the record of a federation ([`super::routing_table::federation`]). It
//! stands below all three, so that none of them imports the others in a circle.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

/// Longest command of a site's record, in bytes. What the site's member of a federation writes down
/// is a [`LogItem`](super::raft_log::LogItem) in such a command.
pub const MAX_COMMAND_BYTES: usize = 128 * 1024;

/// Limits of a group, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct SizeLimits {
    /// A command.
    pub command: usize,
    /// Entries in one message, unless one entry is longer.
    pub message: u64,
    /// Proposals that are not committed yet; more are refused.
    pub uncommitted: u64,
    /// Batches up to this size are written as one.
    pub merged_batch: usize,
    /// Entries that a checkpoint may have behind its snapshot; with more, it waits.
    pub checkpoint_entries: usize,
    /// A checkpoint.
    pub checkpoint: usize,
}

/// A state that all replicas of a group hold: each applies the same commands in the same order and
/// comes to the same state. Nothing in it reads a clock, a random number or anything outside.
pub trait ReplicatedState:
    Clone + Default + Debug + PartialEq + Serialize + DeserializeOwned
{
    /// A change of the state.
    type Command: Clone + Debug + PartialEq + Serialize + DeserializeOwned;
    /// Limits of the group that holds it.
    const LIMITS: SizeLimits;

    /// Applies the command of the log entry with this index.
    fn apply(&mut self, index: u64, command: &Self::Command);

    /// Encodes the parts that older programs did not know. They stand behind everything else in a
    /// snapshot, where an older program does not read.
    fn encode_extension(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Decodes those parts, also where an older program wrote fewer of them.
    ///
    /// # Errors
    /// They are of another form.
    fn decode_extension(&mut self, bytes: &[u8]) -> Result<(), postcard::Error> {
        match bytes {
            [] => Ok(()),
            _ => Err(postcard::Error::DeserializeBadEncoding),
        }
    }
}
