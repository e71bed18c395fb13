//! Standing orders: endpoints that the list wants called and that are left aside all the same, and
//! the few calls that may go there meanwhile. Who gives the orders is not known here. No I/O, no
//! clock; the caller brings the time.

use crate::delivery::endpoint_directory::Endpoint;
use crate::DestinationId;
use std::collections::BTreeMap;
use std::time::Instant;

/// Leases of one order that may run at once; a further one takes the place of the one that ends
/// first.
const LEASES: usize = 32;

/// Leaves the endpoints of one destination in one zone aside.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The zone.
    pub zone: String,
    /// The destination.
    pub dest: DestinationId,
    /// What tells one order from the next: leases of another one are void.
    pub number: u64,
    /// When it ends by itself, if it does.
    pub until: Option<Instant>,
}

/// Calls that may begin in spite of an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    /// How many.
    pub calls: u32,
    /// What is not begun by then is lost.
    pub until: Instant,
}

/// All that is lent is taken up by others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("all calls that are lent are taken up by others")]
pub struct Taken;

/// How an order stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// There is none.
    Free,
    /// Nothing may begin.
    Shut,
    /// Calls may begin that no other call is about to take up.
    Lent,
}

#[derive(Debug)]
struct Group {
    order: Order,
    leases: Vec<Lease>,
    /// Calls that are about to begin.
    going: u32,
}

impl Group {
    fn runs(&self, now: Instant) -> bool {
        self.order.until.is_none_or(|until| now < until)
    }

    fn open(&self, now: Instant) -> impl Iterator<Item = &Lease> {
        self.leases
            .iter()
            .filter(move |l| l.calls > 0 && now < l.until)
    }

    fn left(&self, now: Instant) -> u32 {
        self.open(now).map(|l| l.calls).sum()
    }
}

/// Owner of the orders.
#[derive(Debug, Default)]
pub struct Aside {
    groups: BTreeMap<DestinationId, Vec<Group>>,
}

impl Aside {
    /// Whether there is no order at all.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Goes by these orders and no others. An order that stood already keeps its leases.
    pub fn stand(&mut self, orders: Vec<Order>) {
        let mut before = std::mem::take(&mut self.groups);
        for order in orders {
            let old = before.get_mut(&order.dest).and_then(|groups| {
                let at = groups.iter().position(|g| g.order.zone == order.zone)?;
                Some(groups.swap_remove(at)).filter(|g| g.order.number == order.number)
            });
            let (leases, going) = old.map_or((Vec::new(), 0), |g| (g.leases, g.going));
            self.groups.entry(order.dest).or_default().push(Group {
                order,
                leases,
                going,
            });
        }
    }

    /// Lends calls to the order of that number, if it stands.
    pub fn lend(&mut self, zone: &str, dest: DestinationId, number: u64, lease: Lease) {
        let Some(group) = self.group(zone, dest).filter(|g| g.order.number == number) else {
            return;
        };
        if group.leases.len() >= LEASES {
            let first = group
                .leases
                .iter()
                .enumerate()
                .min_by_key(|(_, l)| l.until)
                .map(|(at, _)| at);
            first.map(|at| group.leases.swap_remove(at));
        }
        group.leases.push(lease);
    }

    /// How things stand for a zone and destination.
    pub fn standing(&self, zone: &str, dest: DestinationId, now: Instant) -> Standing {
        let Some(group) = self.seen(zone, dest).filter(|g| g.runs(now)) else {
            return Standing::Free;
        };
        if group.left(now) <= group.going {
            Standing::Shut
        } else {
            Standing::Lent
        }
    }

    /// Whether a call that is about to begin may do so.
    pub fn admits(&self, zone: &str, dest: DestinationId, now: Instant) -> bool {
        self.seen(zone, dest)
            .filter(|g| g.runs(now))
            .is_none_or(|g| g.left(now) > 0)
    }

    /// A call is about to begin. Under an order this gives its number, to be given back to
    /// [`Aside::done`].
    ///
    /// # Errors
    /// Others will take up all that is lent.
    pub fn about(&mut self, p: &Endpoint, now: Instant) -> Result<Option<u64>, Taken> {
        let Some(group) = self
            .group(&p.entry.zone, p.entry.dest)
            .filter(|g| g.runs(now))
        else {
            return Ok(None);
        };
        if group.left(now) <= group.going {
            return Err(Taken);
        }
        group.going += 1;
        Ok(Some(group.order.number))
    }

    /// It begins now: takes one of the calls that are lent. Not where none is left.
    pub fn begin(&mut self, p: &Endpoint, now: Instant) -> bool {
        let Some(group) = self
            .group(&p.entry.zone, p.entry.dest)
            .filter(|g| g.runs(now))
        else {
            return true;
        };
        let open = group
            .leases
            .iter_mut()
            .filter(|l| l.calls > 0 && now < l.until);
        open.min_by_key(|l| l.until).map(|l| l.calls -= 1).is_some()
    }

    /// It is not about to begin any more: it has begun, or will not.
    pub fn done(&mut self, p: &Endpoint, number: u64) {
        let group = self
            .group(&p.entry.zone, p.entry.dest)
            .filter(|g| g.order.number == number);
        group
            .into_iter()
            .for_each(|g| g.going = g.going.saturating_sub(1));
    }

    /// Calls that are lent and not begun.
    pub fn left(&self, zone: &str, dest: DestinationId, now: Instant) -> u32 {
        self.seen(zone, dest).map_or(0, |g| g.left(now))
    }

    /// Forgets what is over, and tells when more will be.
    pub fn over(&mut self, now: Instant) -> Option<Instant> {
        self.groups.retain(|_, groups| {
            groups.retain(|g| g.runs(now));
            groups
                .iter_mut()
                .for_each(|g| g.leases.retain(|l| l.calls > 0 && now < l.until));
            !groups.is_empty()
        });
        let all = self.groups.values().flatten();
        all.flat_map(|g| g.leases.iter().map(|l| l.until).chain(g.order.until))
            .min()
    }

    /// How many orders there are.
    pub fn len(&self) -> usize {
        self.groups.values().map(Vec::len).sum()
    }

    fn seen(&self, zone: &str, dest: DestinationId) -> Option<&Group> {
        self.groups
            .get(&dest)?
            .iter()
            .find(|g| g.order.zone == zone)
    }

    fn group(&mut self, zone: &str, dest: DestinationId) -> Option<&mut Group> {
        self.groups
            .get_mut(&dest)?
            .iter_mut()
            .find(|g| g.order.zone == zone)
    }
}
