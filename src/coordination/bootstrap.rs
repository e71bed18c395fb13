//! The first start of a site: the keepers get to know each other's folders. [`super::group`] says
//! what for.

use crate::coordination::raft_group::{GroupMember, GroupState, ReplicatedState};
use crate::coordination::raft_log::{Checkpoint, ReplicaIdentity};
use crate::coordination::record::Record;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};

/// Whether a keeper may be heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAdmission {
    /// It may, and is known already.
    Known,
    /// It may, once what is now known is written down.
    New,
    /// It may not.
    Rejected(String),
}

/// A keeper that does not take part yet.
pub struct Bootstrap {
    base: Checkpoint,
    peers: BTreeSet<u64>,
    /// Those that have written this one down.
    known_to: BTreeSet<u64>,
}

impl Bootstrap {
    /// What an empty folder begins with, as one of the first keepers of a site.
    pub fn empty(identity: ReplicaIdentity, peers: impl Iterator<Item = u64>) -> Checkpoint {
        Bootstrap::empty_of::<Record>(identity, peers)
    }

    /// The same for a group that agrees on something else.
    pub fn empty_of<R: ReplicatedState>(
        identity: ReplicaIdentity,
        peers: impl Iterator<Item = u64>,
    ) -> Checkpoint {
        let voters: BTreeSet<u64> = peers.chain([identity.keeper]).collect();
        Checkpoint::new(
            identity,
            1,
            voters.into_iter().collect(),
            GroupState::<R>::default().bytes(),
        )
    }

    /// What an empty folder begins with where the group is there already.
    pub fn joining(identity: ReplicaIdentity) -> Checkpoint {
        Bootstrap::joining_of::<Record>(identity)
    }

    /// The same for a group that agrees on something else.
    pub fn joining_of<R: ReplicatedState>(identity: ReplicaIdentity) -> Checkpoint {
        Checkpoint {
            begun: true,
            ..Checkpoint::new(identity, 0, Vec::new(), GroupState::<R>::default().bytes())
        }
    }

    /// Goes on with a first start.
    pub fn new(base: Checkpoint) -> Bootstrap {
        let me = base.identity.keeper;
        let peers = base.voters.iter().copied().filter(|id| *id != me).collect();
        Bootstrap {
            base,
            peers,
            known_to: BTreeSet::new(),
        }
    }

    /// As it is to be written down.
    pub fn base(&self) -> &Checkpoint {
        &self.base
    }

    /// Another keeper tells its folder.
    pub fn tells(&mut self, keeper: u64, incarnation: u64) -> PeerAdmission {
        if !self.peers.contains(&keeper) {
            return PeerAdmission::Rejected(format!("keeper {keeper} is none of the first"));
        }
        match self.base.known.get(&keeper) {
            Some(known) if *known == incarnation => PeerAdmission::Known,
            Some(_) => PeerAdmission::Rejected(lost(keeper)),
            None => {
                self.base.known.insert(keeper, incarnation);
                PeerAdmission::New
            }
        }
    }

    /// Another keeper says that it has written this one down.
    pub fn knows(&mut self, keeper: u64) {
        if self.peers.contains(&keeper) {
            self.known_to.insert(keeper);
        }
    }

    /// Those that are waited for.
    pub fn missing(&self) -> Vec<u64> {
        let met = |id: &&u64| self.known_to.contains(id) && self.base.known.contains_key(id);
        self.peers.iter().filter(|id| !met(id)).copied().collect()
    }

    /// Takes part, when nobody is missing.
    pub fn finish(&self, at: &BTreeMap<u64, String>) -> Option<Checkpoint> {
        self.finish_of::<Record>(at)
    }

    /// The same for a group that agrees on something else.
    pub fn finish_of<R: ReplicatedState>(&self, at: &BTreeMap<u64, String>) -> Option<Checkpoint> {
        if !self.missing().is_empty() {
            return None;
        }
        let me = &self.base.identity;
        let folders = self
            .base
            .known
            .iter()
            .map(|(id, i)| (*id, *i))
            .chain([(me.keeper, me.incarnation)]);
        let members = folders.map(|(id, incarnation)| {
            let at = at.get(&id).cloned().unwrap_or_default();
            (id, GroupMember { at, incarnation })
        });
        let held = GroupState::<R> {
            members: members.collect(),
            ..GroupState::default()
        };
        Some(Checkpoint {
            begun: true,
            held: ByteBuf::from(held.bytes()),
            ..self.base.clone()
        })
    }
}

/// Whether a keeper that says so is one of these, from the folder that is known.
pub fn admit<R: ReplicatedState>(
    held: &GroupState<R>,
    keeper: u64,
    incarnation: u64,
) -> PeerAdmission {
    match held.members.get(&keeper) {
        Some(member) if member.incarnation == incarnation => PeerAdmission::Known,
        Some(_) => PeerAdmission::Rejected(lost(keeper)),
        // One that joins knows nobody yet, and has nothing to lose.
        None if held.members.is_empty() => PeerAdmission::Known,
        None if held.removed.contains(&keeper) => {
            PeerAdmission::Rejected(format!("keeper {keeper} was removed"))
        }
        None => PeerAdmission::Rejected(format!(
            "keeper {keeper} is not in the group: an order adds it"
        )),
    }
}

fn lost(keeper: u64) -> String {
    format!(
        "keeper {keeper} has another folder than before, or is of another group, and may not vote: if its folder is lost, remove it \
         and add one under another number"
    )
}
