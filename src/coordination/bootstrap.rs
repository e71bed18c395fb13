//! First start of a site: the replicas learn the incarnations of each other's folders before any of
//! them votes.
//!
//! [`super::raft_group`] explains why a vote belongs to a folder. This module owns the state of a
//! replica that does not take part yet ([`Bootstrap`]), and the check of whether another replica's
//! messages may be accepted ([`admit`]). It neither sends nor writes: [`super::replica`] and
//! [`super::routing_table::member`] pass it what others report and write its checkpoint.

use crate::coordination::raft_group::{GroupMember, GroupState};
use crate::coordination::raft_log::{Checkpoint, ReplicaIdentity};
use crate::coordination::record::Record;
use crate::coordination::replicated_state::ReplicatedState;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};

/// Whether another replica's messages may be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAdmission {
    /// They may be accepted: its folder is known already.
    Known,
    /// They may be accepted once the incarnation of its folder, unknown before, is stored.
    New,
    /// They are rejected for this reason.
    Rejected(String),
}

/// The state of a replica that does not take part in its group yet.
pub struct Bootstrap {
    checkpoint: Checkpoint,
    peers: BTreeSet<u64>,
    /// Peers that have stored this replica's incarnation.
    known_to: BTreeSet<u64>,
}

impl Bootstrap {
    /// Returns the checkpoint to write into the empty folder of one of a site's first replicas.
    pub fn first_checkpoint(
        identity: ReplicaIdentity,
        peers: impl Iterator<Item = u64>,
    ) -> Checkpoint {
        Bootstrap::first_checkpoint_of::<Record>(identity, peers)
    }

    /// Does the same as [`Bootstrap::first_checkpoint`], for a group that agrees on another state.
    pub fn first_checkpoint_of<R: ReplicatedState>(
        identity: ReplicaIdentity,
        peers: impl Iterator<Item = u64>,
    ) -> Checkpoint {
        let voters: BTreeSet<u64> = peers.chain([identity.replica]).collect();
        let state = GroupState::<R>::default().encode();
        Checkpoint::new(identity, 1, voters.into_iter().collect(), state)
    }

    /// Returns the checkpoint to write into the empty folder of a replica that joins an existing
    /// group.
    pub fn joining_checkpoint(identity: ReplicaIdentity) -> Checkpoint {
        Bootstrap::joining_checkpoint_of::<Record>(identity)
    }

    /// Does the same as [`Bootstrap::joining_checkpoint`], for a group that agrees on another
    /// state.
    pub fn joining_checkpoint_of<R: ReplicatedState>(identity: ReplicaIdentity) -> Checkpoint {
        let state = GroupState::<R>::default().encode();
        Checkpoint {
            takes_part: true,
            ..Checkpoint::new(identity, 0, Vec::new(), state)
        }
    }

    /// Continues a first start from a checkpoint.
    pub fn new(checkpoint: Checkpoint) -> Bootstrap {
        let own = checkpoint.identity.replica;
        let voters = checkpoint.voters.iter().copied();
        Bootstrap {
            peers: voters.filter(|id| *id != own).collect(),
            checkpoint,
            known_to: BTreeSet::new(),
        }
    }

    /// Returns the current checkpoint, which the caller has to write.
    pub fn checkpoint(&self) -> &Checkpoint {
        &self.checkpoint
    }

    /// Records the incarnation of a peer's folder. Once one is recorded for a replica number, any
    /// other is rejected.
    pub fn learn_incarnation(&mut self, replica: u64, incarnation: u64) -> PeerAdmission {
        if !self.peers.contains(&replica) {
            return PeerAdmission::Rejected(format!(
                "keeper {replica} is not one of the first keepers of the group"
            ));
        }
        match self.checkpoint.known_incarnations.get(&replica) {
            Some(known) if *known == incarnation => PeerAdmission::Known,
            Some(_) => PeerAdmission::Rejected(another_folder_reason(replica)),
            None => {
                let known = &mut self.checkpoint.known_incarnations;
                known.insert(replica, incarnation);
                PeerAdmission::New
            }
        }
    }

    /// Records that a peer has stored this replica's incarnation.
    pub fn note_known_to(&mut self, replica: u64) {
        if self.peers.contains(&replica) {
            self.known_to.insert(replica);
        }
    }

    /// Returns the peers that have not completed the exchange of incarnations.
    pub fn missing(&self) -> Vec<u64> {
        let known = &self.checkpoint.known_incarnations;
        let is_complete = |id: &u64| self.known_to.contains(id) && known.contains_key(id);
        let missing = self.peers.iter().filter(|id| !is_complete(id));
        missing.copied().collect()
    }

    /// Returns the checkpoint with which the replica takes part; `None` while a peer is missing.
    pub fn finish(&self, addresses: &BTreeMap<u64, String>) -> Option<Checkpoint> {
        self.finish_of::<Record>(addresses)
    }

    /// Does the same as [`Bootstrap::finish`], for a group that agrees on another state.
    pub fn finish_of<R: ReplicatedState>(
        &self,
        addresses: &BTreeMap<u64, String>,
    ) -> Option<Checkpoint> {
        if !self.missing().is_empty() {
            return None;
        }
        let own = &self.checkpoint.identity;
        let mut incarnations = self.checkpoint.known_incarnations.clone();
        incarnations.insert(own.replica, own.incarnation);
        let members = incarnations.into_iter().map(|(id, incarnation)| {
            let at = addresses.get(&id).cloned().unwrap_or_default();
            (id, GroupMember { at, incarnation })
        });
        let state = GroupState::<R> {
            members: members.collect(),
            ..GroupState::default()
        };
        Some(Checkpoint {
            takes_part: true,
            state: ByteBuf::from(state.encode()),
            ..self.checkpoint.clone()
        })
    }
}

/// Decides whether the messages of another replica may be accepted: it has to be a member, with the
/// folder that the group knows.
pub fn admit<R: ReplicatedState>(
    state: &GroupState<R>,
    replica: u64,
    incarnation: u64,
) -> PeerAdmission {
    match state.members.get(&replica) {
        Some(member) if member.incarnation == incarnation => PeerAdmission::Known,
        Some(_) => PeerAdmission::Rejected(another_folder_reason(replica)),
        // A replica that joins knows no members yet, and has no state to lose.
        None if state.members.is_empty() => PeerAdmission::Known,
        None if state.removed.contains(&replica) => {
            PeerAdmission::Rejected(format!("keeper {replica} was removed"))
        }
        None => PeerAdmission::Rejected(format!(
            "keeper {replica} is not in the group: it has to be added by an operator"
        )),
    }
}

fn another_folder_reason(replica: u64) -> String {
    format!(
        "keeper {replica} has another folder than before, or is of another group, and may not \
         vote: if its folder is lost, remove it and add one under another number"
    )
}
