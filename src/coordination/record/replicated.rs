//! The record as the state of a Raft group.

use super::{Command, Record};
use crate::coordination::raft_log::MAX_CHECKPOINT_BYTES;
use crate::coordination::replicated_state::{ReplicatedState, SizeLimits, MAX_COMMAND_BYTES};

impl ReplicatedState for Record {
    type Command = Command;
    const LIMITS: SizeLimits = SizeLimits {
        command: MAX_COMMAND_BYTES,
        message: 64 * 1024,
        uncommitted: 384 * 1024,
        merged_batch: 256 * 1024,
        checkpoint_entries: 128 * 1024,
        checkpoint: MAX_CHECKPOINT_BYTES,
    };

    fn apply(&mut self, index: u64, command: &Command) {
        Record::apply(self, index, command);
    }

    fn encode_extension(&self) -> Vec<u8> {
        let extension = (&self.policies, &self.tables, &self.durable_vote);
        postcard::to_stdvec(&extension).unwrap_or_default()
    }

    /// Decodes the policies, and the tables and the member's log if present: those two were added
    /// together in a later version.
    fn decode_extension(&mut self, bytes: &[u8]) -> Result<(), postcard::Error> {
        if bytes.is_empty() {
            return Ok(());
        }
        let (policies, rest) = postcard::take_from_bytes(bytes)?;
        self.policies = policies;
        if !rest.is_empty() {
            (self.tables, self.durable_vote) = postcard::from_bytes(rest)?;
        }
        Ok(())
    }
}
