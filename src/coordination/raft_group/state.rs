//! State of a group: the record, and the members.

use crate::coordination::record::Record;
use crate::coordination::replicated_state::ReplicatedState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A member, as the group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Address that it listens on.
    pub at: String,
    /// Incarnation of its folder.
    pub incarnation: u64,
}

/// State that a group agrees on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct GroupState<R: ReplicatedState = Record> {
    /// The record.
    pub record: R,
    /// The members, by number.
    pub members: BTreeMap<u64, GroupMember>,
    /// Numbers that were members.
    pub removed: BTreeSet<u64>,
}

impl<R: ReplicatedState> GroupState<R> {
    /// Encodes the state as a snapshot. Fields that older programs do not know follow those that
    /// they wrote.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.extend(self.record.encode_extension());
        bytes
    }

    /// Decodes a snapshot, including one of an older program.
    ///
    /// # Errors
    /// The snapshot has another format.
    pub fn decode(bytes: &[u8]) -> Result<GroupState<R>, postcard::Error> {
        let (mut state, extension) = postcard::take_from_bytes::<GroupState<R>>(bytes)?;
        state.record.decode_extension(extension)?;
        Ok(state)
    }
}
