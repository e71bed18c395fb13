//! Who has a place, who gets one and who gives one up. No I/O and no clock: times come from any
//! start, never back.

use crate::admission_control::accept_queue::Comes;
use crate::admission_control::connection_rate::{Rate, Rates};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::IpAddr;
use std::time::Duration;

/// How long a connection is let be, though its place is wanted: silent, stuck in a request, at
/// rest. A usual client writes its request at once, and no client waits longer than 400 ms for the
/// answer to one; to end one at rest that was of no use yet costs its client a connection.
const PATIENCE: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(400),
    Duration::from_millis(10),
];
/// Where more come than all places can hold for that long, each may have its part of the places'
/// time (Little's law), but this at least; one whose request has begun four times as much.
const LEAST: Duration = Duration::from_millis(2);
const BEGUN: u32 = 4;
/// Of the places, the last of so many parts are for those that come with a whole request: what only
/// begins to speak cannot keep them waiting.
const WHOLE: usize = 8;
/// How often somebody comes is seen over about this time, in seconds.
const OVER: f64 = 0.1;

/// What a connection does with its place, those first that can best be spared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// Nothing has come on it.
    Silent,
    /// A part of a request has come.
    Begun,
    /// It was answered, and the next request has not begun.
    Resting,
    /// The same, and it has shown what it is for: a message was taken on over it, or it takes
    /// answers.
    Kept,
    /// It is owed something.
    Busy,
}

impl Use {
    /// How long a connection is let be, where each that comes may have `part` of the places' time.
    fn patience(self, part: Duration) -> Duration {
        match self {
            Use::Silent => PATIENCE[0].min(part.max(LEAST)),
            Use::Begun => PATIENCE[1].min(part.max(LEAST) * BEGUN),
            Use::Resting => PATIENCE[2].min(part.max(LEAST)),
            Use::Kept => PATIENCE[0],
            Use::Busy => Duration::MAX,
        }
    }
}

/// What is settled about places.
#[derive(Clone, Debug)]
pub struct Rules {
    /// All places.
    pub places: usize,
    /// Those of them that only known clients may take.
    pub reserve: usize,
    /// Most places of one address, if bounded.
    pub per_address: Option<usize>,
    /// Most places of one prefix, if bounded.
    pub per_prefix: Option<usize>,
    /// How often one address may come, if bounded.
    pub address_rate: Option<Rate>,
    /// How often one prefix may come, if bounded.
    pub prefix_rate: Option<Rate>,
    /// Bits of a prefix, for IPv4 and IPv6.
    pub prefix: (u8, u8),
    /// Addresses of known clients.
    pub known: Vec<IpNet>,
    /// Addresses and prefixes that are remembered for their rate, each.
    pub remembered: usize,
}

impl Rules {
    /// So many places and nothing else settled.
    pub fn open(places: usize) -> Self {
        Rules {
            places: places.max(1),
            reserve: 0,
            per_address: None,
            per_prefix: None,
            address_rate: None,
            prefix_rate: None,
            prefix: (24, 64),
            known: Vec::new(),
            remembered: 4096,
        }
    }
}

/// Why somebody is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// Its address came too often.
    AddressRate,
    /// Its prefix came too often.
    PrefixRate,
    /// Its address holds all that it may.
    Address,
    /// Its prefix holds all that it may.
    Prefix,
    /// No place is free, and none can be spared.
    Places,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::AddressRate => "address rate",
            Why::PrefixRate => "prefix rate",
            Why::Address => "address cap",
            Why::Prefix => "prefix cap",
            Why::Places => "no place",
        })
    }
}

/// The answer to one that asks for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seating {
    /// It has this place.
    Seated(u64),
    /// It may have one as soon as this one has left, which is to be told to.
    After(u64),
    /// There is none now, for this reason.
    None(Why),
}

#[derive(Clone, Debug)]
struct Place {
    address: IpAddr,
    prefix: IpNet,
    known: bool,
    what: Use,
    since: Duration,
    /// It was told to leave.
    leaving: bool,
}

/// A place that may be given up one day: what for it is used, since when, and its number.
type Idle = (Use, Duration, u64);

/// What one address or prefix holds.
#[derive(Clone, Debug, Default)]
struct Holding {
    /// All its places.
    all: usize,
    /// Those that may be given up one day, those first that can best be spared.
    idle: BTreeSet<Idle>,
}

impl Holding {
    fn rank(&self, address: IpAddr) -> (usize, Reverse<Idle>, IpAddr) {
        let first = self
            .idle
            .first()
            .copied()
            .unwrap_or((Use::Busy, Duration::MAX, u64::MAX));
        (self.all, Reverse(first), address)
    }
}

/// The places.
pub struct Places {
    rules: Rules,
    places: BTreeMap<u64, Place>,
    made: u64,
    unknown: usize,
    /// Of unknown clients, by address; and the addresses by how many they hold, and of those that
    /// hold as many, by what can best be spared.
    addresses: BTreeMap<IpAddr, Holding>,
    order: BTreeSet<(usize, Reverse<Idle>, IpAddr)>,
    /// Of known clients, and of all unknown ones together.
    known_idle: BTreeSet<Idle>,
    unknown_idle: BTreeSet<Idle>,
    prefixes: BTreeMap<IpNet, usize>,
    /// Those who come with a whole request have a count of their own beside the others: what says
    /// nothing does not use up their rate.
    address_rates: Option<Rates<(IpAddr, bool)>>,
    prefix_rates: Option<Rates<(IpNet, bool)>>,
    /// How many come in a second, faded, and when that was.
    flow: (f64, Duration),
}

/// An IPv4 address in IPv6 clothes is that IPv4 address.
fn plain(address: IpAddr) -> IpAddr {
    address.to_canonical()
}

fn prefix(address: IpAddr, bits: (u8, u8)) -> IpNet {
    match address {
        IpAddr::V4(a) => IpNet::V4(Ipv4Net::new(a, bits.0.min(32)).expect("at most 32").trunc()),
        IpAddr::V6(a) => IpNet::V6(
            Ipv6Net::new(a, bits.1.min(128))
                .expect("at most 128")
                .trunc(),
        ),
    }
}

impl Places {
    /// All of them free.
    pub fn new(rules: Rules) -> Self {
        Places {
            address_rates: rules.address_rate.map(|r| Rates::new(r, rules.remembered)),
            prefix_rates: rules.prefix_rate.map(|r| Rates::new(r, rules.remembered)),
            rules,
            places: BTreeMap::new(),
            made: 0,
            unknown: 0,
            addresses: BTreeMap::new(),
            order: BTreeSet::new(),
            known_idle: BTreeSet::new(),
            unknown_idle: BTreeSet::new(),
            prefixes: BTreeMap::new(),
            flow: (0.0, Duration::ZERO),
        }
    }

    /// Goes by other rules from now on, for as many places. Whoever has a place keeps it, as what
    /// it was taken for; rates that stay as they were are remembered.
    pub fn change(&mut self, rules: Rules) {
        let (old, places) = (&self.rules, self.rules.places);
        let anew = old.remembered != rules.remembered;
        if anew || old.address_rate != rules.address_rate {
            self.address_rates = rules.address_rate.map(|r| Rates::new(r, rules.remembered));
        }
        if anew || old.prefix_rate != rules.prefix_rate {
            self.prefix_rates = rules.prefix_rate.map(|r| Rates::new(r, rules.remembered));
        }
        // Prefixes are counted as they were cut.
        let prefix = old.prefix;
        self.rules = Rules {
            places,
            prefix,
            ..rules
        };
    }

    /// Whether an address is one of a known client.
    pub fn knows(&self, address: IpAddr) -> bool {
        let address = plain(address);
        self.rules.known.iter().any(|net| net.contains(&address))
    }

    /// Counts a connection that comes, against the rates. Where it comes too often, the time is
    /// given after which it would not. Known ones always may.
    pub fn come(
        &mut self,
        now: Duration,
        address: IpAddr,
        comes: Comes,
    ) -> Result<(), (Why, Duration)> {
        if comes != Comes::Known && !self.knows(address) {
            let (address, whole) = (plain(address), comes >= Comes::Whole);
            if let Some(rates) = &mut self.address_rates {
                rates
                    .come(now, &(address, whole))
                    .map_err(|wait| (Why::AddressRate, wait))?;
            }
            if let Some(rates) = &mut self.prefix_rates {
                let net = prefix(address, self.rules.prefix);
                rates
                    .come(now, &(net, whole))
                    .map_err(|wait| (Why::PrefixRate, wait))?;
            }
        }
        self.flow = (self.flow(now) + 1.0 / OVER, now);
        Ok(())
    }

    /// Asks for a place, for one that comes with this.
    pub fn seat(&mut self, now: Duration, address: IpAddr, comes: Comes) -> Seating {
        let address = plain(address);
        let known = comes == Comes::Known || self.knows(address);
        let net = prefix(address, self.rules.prefix);
        if !known {
            let held = self.addresses.get(&address).map_or(0, |h| h.all);
            if self.rules.per_address.is_some_and(|most| held >= most) {
                return self
                    .own(now, address)
                    .map_or(Seating::None(Why::Address), |no| self.after(no));
            }
            let held = self.prefixes.get(&net).copied().unwrap_or(0);
            if self.rules.per_prefix.is_some_and(|most| held >= most) {
                return self
                    .own(now, address)
                    .map_or(Seating::None(Why::Prefix), |no| self.after(no));
            }
        }
        let open = self.rules.places - self.rules.reserve.min(self.rules.places - 1);
        // The last of what is open to anybody, and of what is left to the known, is for whole
        // requests.
        let part = |all: usize| {
            if comes < Comes::Whole {
                all - all / WHOLE
            } else {
                all
            }
        };
        let mine = self.places.len() - self.unknown;
        let full = self.places.len() >= self.rules.places
            || (!known && self.unknown >= part(open))
            || (known && mine >= part(self.rules.places));
        if full {
            return match self.spare(now, address, known) {
                Some(no) => self.after(no),
                None => Seating::None(Why::Places),
            };
        }
        let no = self.made;
        self.made += 1;
        let place = Place {
            address,
            prefix: net,
            known,
            what: Use::Silent,
            since: now,
            leaving: false,
        };
        self.places.insert(no, place);
        self.count(no, true);
        Seating::Seated(no)
    }

    /// A place is used otherwise from now on.
    pub fn used(&mut self, now: Duration, no: u64, what: Use) {
        if self.places.get(&no).is_some_and(|p| !p.leaving) {
            self.index(no, false);
            if let Some(place) = self.places.get_mut(&no) {
                (place.what, place.since) = (what, now);
            }
            self.index(no, true);
        }
    }

    /// Whoever has this place turned out to be a known client.
    pub fn identified(&mut self, no: u64) {
        if self.places.get(&no).is_some_and(|p| !p.known) {
            self.count(no, false);
            if let Some(place) = self.places.get_mut(&no) {
                place.known = true;
            }
            self.count(no, true);
        }
    }

    /// A place is free again.
    pub fn left(&mut self, no: u64) {
        if self.places.contains_key(&no) {
            self.count(no, false);
            self.places.remove(&no);
        }
    }

    /// Places that are taken.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether all are free.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether a place is a known client's.
    pub fn is_known(&self, no: u64) -> bool {
        self.places.get(&no).is_some_and(|p| p.known)
    }

    /// What a place is used for.
    pub fn what(&self, no: u64) -> Option<Use> {
        self.places.get(&no).map(|p| p.what)
    }

    /// How many places are used for what, in the order of [`Use`].
    pub fn counts(&self) -> BTreeMap<Use, usize> {
        let mut counts = BTreeMap::new();
        for place in self.places.values() {
            *counts.entry(place.what).or_default() += 1;
        }
        counts
    }

    /// Whose a place is.
    pub fn address(&self, no: u64) -> Option<IpAddr> {
        self.places.get(&no).map(|p| p.address)
    }

    /// Places of unknown clients, of one address, and of its prefix.
    pub fn held(&self, address: IpAddr) -> (usize, usize, usize) {
        let address = plain(address);
        let net = prefix(address, self.rules.prefix);
        let own = self.addresses.get(&address).map_or(0, |h| h.all);
        (
            self.unknown,
            own,
            self.prefixes.get(&net).copied().unwrap_or(0),
        )
    }

    /// Entries of all tables.
    pub fn remembered(&self) -> usize {
        let rates = self.address_rates.as_ref().map_or(0, Rates::len);
        rates
            + self.prefix_rates.as_ref().map_or(0, Rates::len)
            + self.addresses.len()
            + self.prefixes.len()
    }

    /// Told to leave: it is nobody's choice any more.
    fn after(&mut self, no: u64) -> Seating {
        self.index(no, false);
        if let Some(place) = self.places.get_mut(&no) {
            place.leaving = true;
        }
        Seating::After(no)
    }

    /// How many come in a second.
    fn flow(&self, now: Duration) -> f64 {
        self.flow.0 * (-now.saturating_sub(self.flow.1).as_secs_f64() / OVER).exp()
    }

    /// The part of the places' time that each may have who comes.
    fn part(&self, now: Duration) -> Duration {
        Duration::from_secs_f64((self.rules.places as f64 / self.flow(now).max(1.0)).min(3600.0))
    }

    /// One of its own that can be spared, for one that may hold no more.
    fn own(&self, now: Duration, address: IpAddr) -> Option<u64> {
        best(now, self.part(now), &self.addresses.get(&address)?.idle)
    }

    /// The one that can best be spared for somebody: of the unknown address that holds most, and
    /// never of one that holds no more than it would itself. A known client takes from the unknown
    /// first.
    fn spare(&self, now: Duration, address: IpAddr, known: bool) -> Option<u64> {
        let own = if known {
            0
        } else {
            self.addresses.get(&address).map_or(0, |h| h.all)
        };
        let fair = |held: usize, other: &IpAddr| known || held > own || *other == address;
        let part = self.part(now);
        let mut others = self
            .order
            .iter()
            .rev()
            .filter(|(held, _, other)| fair(*held, other));
        // In a flood mostly none can be: that is seen without asking each address.
        let spared = best(now, part, &self.unknown_idle).and_then(|_| {
            others.find_map(|(_, _, other)| best(now, part, &self.addresses.get(other)?.idle))
        });
        spared.or_else(|| best(now, part, &self.known_idle).filter(|_| known))
    }

    fn count(&mut self, no: u64, comes: bool) {
        if !comes {
            self.index(no, false);
        }
        let Some(Place {
            address,
            prefix,
            known,
            ..
        }) = self.places.get(&no).cloned()
        else {
            return;
        };
        if !known {
            self.hold(address, |h| {
                h.all = if comes { h.all + 1 } else { h.all - 1 }
            });
            let net = self.prefixes.entry(prefix).or_default();
            *net = if comes { *net + 1 } else { *net - 1 };
            if *net == 0 {
                self.prefixes.remove(&prefix);
            }
            self.unknown = if comes {
                self.unknown + 1
            } else {
                self.unknown - 1
            };
        }
        if comes {
            self.index(no, true);
        }
    }

    fn index(&mut self, no: u64, comes: bool) {
        let Some(place) = self.places.get(&no) else {
            return;
        };
        let key = (place.what, place.since, no);
        let is = comes && place.what != Use::Busy && !place.leaving;
        let change = |idle: &mut BTreeSet<Idle>| {
            if is {
                idle.insert(key);
            } else {
                idle.remove(&key);
            }
        };
        match (place.known, place.address) {
            (true, _) => change(&mut self.known_idle),
            (false, address) => {
                change(&mut self.unknown_idle);
                self.hold(address, |h| change(&mut h.idle));
            }
        }
    }

    /// Changes what an unknown address holds, and its rank with that.
    fn hold(&mut self, address: IpAddr, change: impl FnOnce(&mut Holding)) {
        let holding = self.addresses.entry(address).or_default();
        self.order.remove(&holding.rank(address));
        change(holding);
        if holding.all == 0 {
            self.addresses.remove(&address);
        } else {
            self.order.insert(holding.rank(address));
        }
    }
}

/// The first that has had its time.
fn best(now: Duration, part: Duration, idle: &BTreeSet<Idle>) -> Option<u64> {
    [Use::Silent, Use::Begun, Use::Resting, Use::Kept]
        .into_iter()
        .find_map(|what| {
            let (_, since, no) = idle
                .range((what, Duration::ZERO, 0)..)
                .next()
                .filter(|(w, ..)| *w == what)?;
            (now - *since >= what.patience(part)).then_some(*no)
        })
}
