//! Interface of a state that a Raft group replicates.
//!
//! The trait lets one [`RaftGroup`](super::raft_group::RaftGroup) type replicate the record of a
//! site ([`super::record`]) and the record of a federation ([`super::routing_table::federation`]).
//! It is defined in a module below all three, so that they have no circular imports.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

/// Maximum length of a command of a site's record, in bytes. It has to hold the
/// [`LogItem`](super::raft_log::LogItem)s that the site's member of a federation writes.
pub const MAX_COMMAND_BYTES: usize = 128 * 1024;

/// Size limits of a group, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct SizeLimits {
    /// Size of a command.
    pub command: usize,
    /// Total size of the entries in one message, unless a single entry is longer.
    pub message: u64,
    /// Total size of uncommitted proposals; further proposals are rejected.
    pub uncommitted: u64,
    /// Total size up to which batches are merged into one write.
    pub merged_batch: usize,
    /// Total size of the entries that follow the snapshot in a checkpoint; while they are larger,
    /// the checkpoint is delayed.
    pub checkpoint_entries: usize,
    /// Size of a checkpoint.
    pub checkpoint: usize,
}

/// State that all replicas of a group hold: each applies the same commands in the same order and
/// reaches the same state. It depends on no clock, random number or other external input.
pub trait ReplicatedState:
    Clone + Default + Debug + PartialEq + Serialize + DeserializeOwned
{
    /// A change to the state.
    type Command: Clone + Debug + PartialEq + Serialize + DeserializeOwned;
    /// Size limits of the group that replicates it.
    const LIMITS: SizeLimits;

    /// Applies the command of the log entry with this index.
    fn apply(&mut self, index: u64, command: &Self::Command);

    /// Encodes the parts that were added in later versions. They follow everything else in a
    /// snapshot, where older versions do not read.
    fn encode_extension(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Decodes the parts that were added in later versions, also if an older version wrote only
    /// some of them.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are in another format.
    fn decode_extension(&mut self, bytes: &[u8]) -> Result<(), postcard::Error> {
        match bytes {
            [] => Ok(()),
            _ => Err(postcard::Error::DeserializeBadEncoding),
        }
    }
}
