//! What a group agrees on: the record, and who is a member.

use crate::coordination::record::Record;
use crate::coordination::replicated_state::ReplicatedState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A member as the group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Address that it listens on.
    pub at: String,
    /// Incarnation of its folder.
    pub incarnation: u64,
}

/// What a group agrees on.
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
    /// Encodes it as a snapshot. What older programs did not know stands behind what they wrote.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.extend(self.record.encode_extension());
        bytes
    }

    /// Decodes a snapshot, also one of an older program.
    ///
    /// # Errors
    /// It is of another form.
    pub fn decode(bytes: &[u8]) -> Result<GroupState<R>, postcard::Error> {
        let (mut state, extension) = postcard::take_from_bytes::<GroupState<R>>(bytes)?;
        state.record.decode_extension(extension)?;
        Ok(state)
    }
}
