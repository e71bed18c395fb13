//! The first start of a site: the keepers get to know each other's folders. [`super::group`] says
//! what for.

use crate::coordination::raft_group::{Agreed, Held, Member};
use crate::coordination::raft_log::{Base, Identity};
use crate::coordination::record::Record;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};

/// Whether a keeper may be heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It may, and is known already.
    Known,
    /// It may, once what is now known is written down.
    New,
    /// It may not.
    No(String),
}

/// A keeper that does not take part yet.
pub struct Begin {
    base: Base,
    peers: BTreeSet<u64>,
    /// Those that have written this one down.
    known_to: BTreeSet<u64>,
}

impl Begin {
    /// What an empty folder begins with, as one of the first keepers of a site.
    pub fn empty(identity: Identity, peers: impl Iterator<Item = u64>) -> Base {
        Begin::empty_of::<Record>(identity, peers)
    }

    /// The same for a group that agrees on something else.
    pub fn empty_of<R: Agreed>(identity: Identity, peers: impl Iterator<Item = u64>) -> Base {
        let voters: BTreeSet<u64> = peers.chain([identity.keeper]).collect();
        Base::new(
            identity,
            1,
            voters.into_iter().collect(),
            Held::<R>::default().bytes(),
        )
    }

    /// What an empty folder begins with where the group is there already.
    pub fn joining(identity: Identity) -> Base {
        Begin::joining_of::<Record>(identity)
    }

    /// The same for a group that agrees on something else.
    pub fn joining_of<R: Agreed>(identity: Identity) -> Base {
        Base {
            begun: true,
            ..Base::new(identity, 0, Vec::new(), Held::<R>::default().bytes())
        }
    }

    /// Goes on with a first start.
    pub fn new(base: Base) -> Begin {
        let me = base.identity.keeper;
        let peers = base.voters.iter().copied().filter(|id| *id != me).collect();
        Begin {
            base,
            peers,
            known_to: BTreeSet::new(),
        }
    }

    /// As it is to be written down.
    pub fn base(&self) -> &Base {
        &self.base
    }

    /// Another keeper tells its folder.
    pub fn tells(&mut self, keeper: u64, incarnation: u64) -> Heard {
        if !self.peers.contains(&keeper) {
            return Heard::No(format!("keeper {keeper} is none of the first"));
        }
        match self.base.known.get(&keeper) {
            Some(known) if *known == incarnation => Heard::Known,
            Some(_) => Heard::No(lost(keeper)),
            None => {
                self.base.known.insert(keeper, incarnation);
                Heard::New
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
    pub fn finish(&self, at: &BTreeMap<u64, String>) -> Option<Base> {
        self.finish_of::<Record>(at)
    }

    /// The same for a group that agrees on something else.
    pub fn finish_of<R: Agreed>(&self, at: &BTreeMap<u64, String>) -> Option<Base> {
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
            (id, Member { at, incarnation })
        });
        let held = Held::<R> {
            members: members.collect(),
            ..Held::default()
        };
        Some(Base {
            begun: true,
            held: ByteBuf::from(held.bytes()),
            ..self.base.clone()
        })
    }
}

/// Whether a keeper that says so is one of these, from the folder that is known.
pub fn admit<R: Agreed>(held: &Held<R>, keeper: u64, incarnation: u64) -> Heard {
    match held.members.get(&keeper) {
        Some(member) if member.incarnation == incarnation => Heard::Known,
        Some(_) => Heard::No(lost(keeper)),
        // One that joins knows nobody yet, and has nothing to lose.
        None if held.members.is_empty() => Heard::Known,
        None if held.removed.contains(&keeper) => Heard::No(format!("keeper {keeper} was removed")),
        None => Heard::No(format!(
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
