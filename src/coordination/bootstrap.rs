//! The first start of a site: the replicas learn each other's folders before one of them votes.
//!
//! [`super::raft_group`] says why a vote belongs to a folder. This module owns the state of a
//! replica that does not take part yet ([`Bootstrap`]), and the check of whether another replica's
//! messages may be taken ([`admit`]). It neither sends nor writes: [`super::replica`] and
//! [`super::routing_table::member`] bring it what others say and write its checkpoint.

use crate::coordination::raft_group::{GroupMember, GroupState};
use crate::coordination::raft_log::{Checkpoint, ReplicaIdentity};
use crate::coordination::record::Record;
use crate::coordination::replicated_state::ReplicatedState;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};

/// Whether another replica's messages may be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAdmission {
    /// They may: its folder is known already.
    Known,
    /// They may, once its folder, which is now known, is written down.
    New,
    /// They may not, for this reason.
    Rejected(String),
}

/// A replica that does not take part yet.
pub struct Bootstrap {
    checkpoint: Checkpoint,
    peers: BTreeSet<u64>,
    /// Peers that have written down this replica's folder.
    known_to: BTreeSet<u64>,
}

impl Bootstrap {
    /// What an empty folder begins with, as one of the first replicas of a site.
    pub fn first_checkpoint(
        identity: ReplicaIdentity,
        peers: impl Iterator<Item = u64>,
    ) -> Checkpoint {
        Bootstrap::first_checkpoint_of::<Record>(identity, peers)
    }

    /// The same as [`Bootstrap::first_checkpoint`], for a group that agrees on something else.
    pub fn first_checkpoint_of<R: ReplicatedState>(
        identity: ReplicaIdentity,
        peers: impl Iterator<Item = u64>,
    ) -> Checkpoint {
        let voters: BTreeSet<u64> = peers.chain([identity.replica]).collect();
        let state = GroupState::<R>::default().encode();
        Checkpoint::new(identity, 1, voters.into_iter().collect(), state)
    }

    /// What an empty folder begins with where the group exists already.
    pub fn joining_checkpoint(identity: ReplicaIdentity) -> Checkpoint {
        Bootstrap::joining_checkpoint_of::<Record>(identity)
    }

    /// The same as [`Bootstrap::joining_checkpoint`], for a group that agrees on something else.
    pub fn joining_checkpoint_of<R: ReplicatedState>(identity: ReplicaIdentity) -> Checkpoint {
        let state = GroupState::<R>::default().encode();
        Checkpoint {
            takes_part: true,
            ..Checkpoint::new(identity, 0, Vec::new(), state)
        }
    }

    /// Goes on with a first start.
    pub fn new(checkpoint: Checkpoint) -> Bootstrap {
        let own = checkpoint.identity.replica;
        let voters = checkpoint.voters.iter().copied();
        Bootstrap {
            peers: voters.filter(|id| *id != own).collect(),
            checkpoint,
            known_to: BTreeSet::new(),
        }
    }

    /// The checkpoint as it is to be written.
    pub fn checkpoint(&self) -> &Checkpoint {
        &self.checkpoint
    }

    /// Learns the incarnation of a peer's folder. One folder is known for a number, for good.
    pub fn learn_incarnation(&mut self, replica: u64, incarnation: u64) -> PeerAdmission {
        if !self.peers.contains(&replica) {
            return PeerAdmission::Rejected(format!("keeper {replica} is none of the first"));
        }
        match self.checkpoint.known_incarnations.get(&replica) {
            Some(known) if *known == incarnation => PeerAdmission::Known,
            Some(_) => PeerAdmission::Rejected(another_folder(replica)),
            None => {
                let known = &mut self.checkpoint.known_incarnations;
                known.insert(replica, incarnation);
                PeerAdmission::New
            }
        }
    }

    /// Notes that a peer has written down this replica's incarnation.
    pub fn note_known_to(&mut self, replica: u64) {
        if self.peers.contains(&replica) {
            self.known_to.insert(replica);
        }
    }

    /// Peers that are waited for.
    pub fn missing(&self) -> Vec<u64> {
        let known = &self.checkpoint.known_incarnations;
        let is_met = |id: &u64| self.known_to.contains(id) && known.contains_key(id);
        let missing = self.peers.iter().filter(|id| !is_met(id));
        missing.copied().collect()
    }

    /// The checkpoint that the replica takes part with; nothing while a peer is missing.
    pub fn finish(&self, addresses: &BTreeMap<u64, String>) -> Option<Checkpoint> {
        self.finish_of::<Record>(addresses)
    }

    /// The same as [`Bootstrap::finish`], for a group that agrees on something else.
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

/// Decides whether the messages of another replica may be taken: it is a member, and has the folder
/// that the group knows.
pub fn admit<R: ReplicatedState>(
    state: &GroupState<R>,
    replica: u64,
    incarnation: u64,
) -> PeerAdmission {
    match state.members.get(&replica) {
        Some(member) if member.incarnation == incarnation => PeerAdmission::Known,
        Some(_) => PeerAdmission::Rejected(another_folder(replica)),
        // A replica that joins knows nobody yet, and has nothing to lose.
        None if state.members.is_empty() => PeerAdmission::Known,
        None if state.removed.contains(&replica) => {
            PeerAdmission::Rejected(format!("keeper {replica} was removed"))
        }
        None => PeerAdmission::Rejected(format!(
            "keeper {replica} is not in the group: an order adds it"
        )),
    }
}

fn another_folder(replica: u64) -> String {
    format!(
        "keeper {replica} has another folder than before, or is of another group, and may not \
         vote: if its folder is lost, remove it and add one under another number"
    )
}
