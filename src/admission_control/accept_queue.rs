//! Who waits for a place, and who of them goes when more come than may wait. No I/O and no clock:
//! times come from any start, never back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a connection has brought so far, those first that can best be spared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Comes {
    /// Nothing.
    Silent,
    /// A part of a request, or what is none.
    Begun,
    /// A whole request.
    Whole,
    /// The name of a known client.
    Known,
}

/// Whether one comes from where a known client does, and what it has brought; those first that can
/// best be spared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub bool, pub Comes);

/// Those who wait.
pub struct Lobby {
    most: usize,
    waiting: BTreeMap<u64, (Rank, Duration)>,
    order: BTreeSet<(Rank, Duration, u64)>,
    made: u64,
}

impl Lobby {
    /// Room for so many, 1 at least.
    pub fn new(most: usize) -> Self {
        Lobby {
            most: most.max(1),
            waiting: BTreeMap::new(),
            order: BTreeSet::new(),
            made: 0,
        }
    }

    /// One waits from now on; nothing if there is no room.
    pub fn enter(&mut self, now: Duration, rank: Rank) -> Option<u64> {
        if self.waiting.len() >= self.most {
            return None;
        }
        let no = self.made;
        self.made += 1;
        self.waiting.insert(no, (rank, now));
        self.order.insert((rank, now, no));
        Some(no)
    }

    /// One has brought more.
    pub fn brought(&mut self, no: u64, rank: Rank) {
        if let Some((old, since)) = self.waiting.get_mut(&no) {
            self.order.remove(&(*old, *since, no));
            *old = rank;
            self.order.insert((rank, *since, no));
        }
    }

    /// How one ranks that waits.
    pub fn rank(&self, no: u64) -> Option<Rank> {
        self.waiting.get(&no).map(|w| w.0)
    }

    /// One waits no more.
    pub fn leave(&mut self, no: u64) {
        if let Some((rank, since)) = self.waiting.remove(&no) {
            self.order.remove(&(rank, since, no));
        }
    }

    /// Who would go for a newcomer of this rank: of those of the least, the one that has waited
    /// longest. It has to be looked at again whether it has brought more meanwhile. Nobody goes for
    /// one who ranks below, nor one with a request for its like.
    pub fn least(&self, rank: Rank) -> Option<u64> {
        let (least, _, no) = self.order.first()?;
        (*least < rank || (*least == rank && rank.1 < Comes::Whole)).then_some(*no)
    }

    /// Whether places are for another first: one without a request lets those pass who wait with
    /// one, unless they are unknown and it is not.
    pub fn is_ahead(&self, rank: Rank) -> bool {
        let most = self.order.last().map(|(most, ..)| *most);
        rank.1 < Comes::Whole && most.is_some_and(|m| m.1 >= Comes::Whole && m.0 >= rank.0)
    }

    /// Whether no more can wait.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.most
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody does.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
