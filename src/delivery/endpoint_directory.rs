//! The list of providers as last told, and whether a call may start at one of them now.

use crate::delivery::evacuation::{Aside, Lease, Order, Standing, Taken};
use crate::dispatch::routing::{Routes, Way};
use crate::{Condition, DestinationId, EndpointAddress, Event, Kind, Listing, LENT};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// What the provider is known by; a machine that replaces it has another.
    pub uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone, by name.
    pub zone: String,
    /// Its kind, by name.
    pub kind: String,
    /// Its destination.
    pub dest: DestinationId,
    /// Its condition.
    pub condition: Condition,
    /// Calls a second that it takes, as far as the settings say.
    pub rate: f32,
}

/// What a directory has to say.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// Version of the list that this leads to.
    pub rev: u64,
    /// The whole list; what is not in it is gone.
    pub whole: bool,
    /// The lines.
    pub entries: Vec<Entry>,
}

/// A provider, as listed.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The module's name for it.
    pub endpoint: EndpointAddress,
    /// The line of the list.
    pub entry: Entry,
    /// Zone, by number.
    pub zone: u16,
    /// Kind, by number.
    pub kind: u16,
}

/// Whom a told wait binds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Gate {
    Endpoint(EndpointAddress),
    Destination(DestinationId),
}

/// Owner of the list.
pub struct Directory {
    rev: Cell<Option<u64>>,
    /// The next whole list comes from another place, which may count its versions anew.
    moved: Cell<bool>,
    /// Destinations that were ever listed.
    dests: RefCell<BTreeSet<DestinationId>>,
    handles: RefCell<HashMap<String, EndpointAddress>>,
    named: Cell<u32>,
    providers: RefCell<BTreeMap<EndpointAddress, Rc<Endpoint>>>,
    waits: RefCell<BTreeMap<Gate, Instant>>,
    zones: RefCell<Vec<String>>,
    kinds: Vec<String>,
    apart: Vec<bool>,
    /// What is left aside though the list wants it called.
    aside: RefCell<Aside>,
    /// What the module was told otherwise than the list says.
    otherwise: RefCell<BTreeMap<EndpointAddress, Otherwise>>,
    /// Destinations that orders leave no other route: there the list alone counts.
    last: RefCell<BTreeSet<DestinationId>>,
    /// Where messages may go, by the numbers of zones.
    routes: RefCell<Rc<Routes>>,
    /// Destinations that were told to have no route.
    routeless: RefCell<BTreeSet<DestinationId>>,
}

/// What the module was told of an endpoint that is under an order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Otherwise {
    shut: bool,
    /// Calls were lent since it was left aside: the module has learned a pace that was meant for
    /// these.
    lent: bool,
}

/// What zones and destinations have to offer, as the list says.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The zone.
    pub zone: String,
    /// The destination.
    pub dest: DestinationId,
    /// Endpoints that want calls.
    pub endpoints: u32,
    /// Calls a second that they take together.
    pub rate: f32,
}

/// What the module is to be told, and providers whose connections are wanted no more.
type Told = (Event, Vec<Rc<Endpoint>>);

impl Directory {
    /// An empty list; zones and kinds are numbered as in the settings.
    pub fn new(zones: &[String], names: &[String], kinds: &[Kind]) -> Self {
        Directory {
            rev: Cell::default(),
            moved: Cell::default(),
            dests: RefCell::default(),
            handles: RefCell::default(),
            named: Cell::default(),
            providers: RefCell::default(),
            waits: RefCell::default(),
            zones: RefCell::new(zones.to_vec()),
            kinds: names.to_vec(),
            apart: kinds.iter().map(|k| k.apart).collect(),
            aside: RefCell::default(),
            otherwise: RefCell::default(),
            last: RefCell::default(),
            routes: RefCell::default(),
            routeless: RefCell::default(),
        }
    }

    /// Version of the list held.
    pub fn rev(&self) -> Option<u64> {
        self.rev.get()
    }

    /// The list comes from another place from now on.
    pub fn moved(&self) {
        self.moved.set(true);
    }

    /// Whether a destination has, or had, providers, as far as any list tells. One that lost its
    /// last provider may get another one; one that nobody ever listed is a mistake.
    pub fn serves(&self, dest: DestinationId) -> bool {
        self.rev.get().is_none() || self.dests.borrow().contains(&dest)
    }

    /// Takes news in and says what the module is to be told, and which providers are wanted no
    /// more. Nothing, where the news is older than what is held: late news undoes nothing.
    pub fn take(&self, news: &News) -> Option<Told> {
        let old = self
            .rev
            .get()
            .is_some_and(|r| news.rev < r || news.rev == r && !news.whole);
        let anew = news.whole && self.moved.take();
        if old && !anew {
            log::debug!(
                "directory: rev {} is not newer than {:?}",
                news.rev,
                self.rev.get()
            );
            return None;
        }
        let first = self.rev.replace(Some(news.rev)).is_none();
        let mut providers = self.providers.borrow_mut();
        let mut left: Vec<Rc<Endpoint>> = Vec::new();
        if news.whole {
            let listed: Vec<EndpointAddress> =
                news.entries.iter().map(|e| self.handle(&e.uid)).collect();
            left.extend(
                providers
                    .iter()
                    .filter(|(e, _)| !listed.contains(e))
                    .map(|(_, p)| p.clone()),
            );
            for p in &left {
                providers.remove(&p.endpoint);
                log::debug!(
                    "directory: provider {} ({:?}) is listed no more",
                    p.entry.uid,
                    p.endpoint.addr
                );
                self.handles.borrow_mut().remove(&p.entry.uid);
            }
        }
        let mut lines = Vec::with_capacity(news.entries.len());
        self.dests
            .borrow_mut()
            .extend(news.entries.iter().map(|e| e.dest));
        for entry in &news.entries {
            let endpoint = self.handle(&entry.uid);
            let provider = Rc::new(Endpoint {
                endpoint,
                zone: self.zone(&entry.zone),
                kind: self.kind(&entry.kind),
                entry: entry.clone(),
            });
            lines.push(Listing {
                endpoint,
                zone: provider.zone,
                kind: provider.kind,
                dest: entry.dest,
                condition: entry.condition,
                rate: entry.rate,
            });
            let before = providers.insert(endpoint, provider.clone());
            let was = before
                .as_ref()
                .map(|p| (p.entry.condition, p.entry.address));
            if was != Some((entry.condition, entry.address)) {
                let Entry {
                    uid,
                    address,
                    condition,
                    dest,
                    ..
                } = entry;
                log::debug!(
                    "directory: provider {uid} ({:?}) at {address}, dest {dest}: {condition:?}",
                    endpoint.addr
                );
                left.extend(before.filter(|p| p.entry.address != entry.address));
            }
            if entry.condition == Condition::Gone {
                providers.remove(&endpoint);
                self.handles.borrow_mut().remove(&entry.uid);
            }
            if entry.condition != Condition::Ready {
                left.push(provider);
            }
        }
        drop(providers);
        self.tell_routeless();
        self.lay_over(&mut lines);
        let event = match (news.whole, first) {
            (true, true) => Event::CachedList(lines),
            (true, false) => Event::List(lines),
            (false, _) => Event::ListChanges(lines),
        };
        Some((event, left))
    }

    /// Lays the orders over lines of the list: what is new in a zone that is left is never told as
    /// wanted.
    fn lay_over(&self, lines: &mut [Listing]) {
        if self.aside.borrow().is_empty() {
            return;
        }
        let now = Instant::now();
        *self.last.borrow_mut() = self.without_others(now);
        let mut otherwise = self.otherwise.borrow_mut();
        for line in lines {
            let (Some(p), Condition::Ready) = (self.provider(line.endpoint), line.condition) else {
                otherwise.remove(&line.endpoint);
                continue;
            };
            if let Some(told) = otherwise.get(&line.endpoint) {
                line.condition = if told.shut {
                    Condition::Draining
                } else {
                    Condition::Ready
                };
            } else if self.standing(&p, now) != Standing::Free {
                otherwise.insert(
                    line.endpoint,
                    Otherwise {
                        shut: true,
                        lent: false,
                    },
                );
                line.condition = Condition::Draining;
            }
        }
    }

    /// Goes by these routes from now on. [`Directory::settle`] says what follows from it for
    /// orders.
    pub fn route(&self, routes: Rc<Routes>) {
        *self.routes.borrow_mut() = routes;
        self.routeless.borrow_mut().clear();
        self.tell_routeless();
    }

    /// What was listed after a table was agreed may have no route by it: nobody is called there,
    /// which the operators hear once.
    fn tell_routeless(&self) {
        let routes = self.routes.borrow();
        if routes.is_empty() {
            return;
        }
        let mut listed: BTreeMap<DestinationId, BTreeSet<u16>> = BTreeMap::new();
        for p in self
            .providers
            .borrow()
            .values()
            .filter(|p| p.entry.condition == Condition::Ready)
        {
            listed.entry(p.entry.dest).or_default().insert(p.zone);
        }
        let mut told = self.routeless.borrow_mut();
        for (dest, zones) in listed {
            let without = routes
                .ways(dest)
                .iter()
                .any(|w| !w.nobody() && !w.leads_to().any(|z| zones.contains(&z)));
            if without && told.insert(dest) {
                log::warn!("directory: the routing table leads no message, or not all, to destination {dest} where that is listed");
            } else if !without {
                told.remove(&dest);
            }
        }
    }

    /// Goes by these orders and no others. [`Directory::settle`] says what follows from it.
    pub fn stand(&self, orders: Vec<Order>) {
        self.aside.borrow_mut().stand(orders);
    }

    /// Lends calls to the order of that number, if it stands.
    pub fn lend(&self, zone: &str, dest: DestinationId, number: u64, lease: Lease) {
        self.aside.borrow_mut().lend(zone, dest, number, lease);
    }

    /// Calls that are lent for a zone and destination and not begun.
    pub fn left(&self, zone: &str, dest: DestinationId) -> u32 {
        self.aside.borrow().left(zone, dest, Instant::now())
    }

    /// What the module is to be told now as orders and time have it: lines that have changed, and
    /// providers whose connections are wanted no more.
    pub fn settle(&self) -> Option<Told> {
        if self.aside.borrow().is_empty() && self.otherwise.borrow().is_empty() {
            return None;
        }
        let now = Instant::now();
        self.aside.borrow_mut().over(now);
        *self.last.borrow_mut() = self.without_others(now);
        let mut before = std::mem::take(&mut *self.otherwise.borrow_mut());
        let (mut lines, mut left) = (Vec::new(), Vec::new());
        let all: Vec<Rc<Endpoint>> = self.providers.borrow().values().cloned().collect();
        for p in all.iter().filter(|p| p.entry.condition == Condition::Ready) {
            let was = before.remove(&p.endpoint);
            let standing = self.standing(p, now);
            let lent = was.is_some_and(|w| w.lent) || standing == Standing::Lent;
            let told = match standing {
                Standing::Free => None,
                Standing::Shut => Some(Otherwise { shut: true, lent }),
                Standing::Lent => Some(Otherwise { shut: false, lent }),
            };
            told.map(|told| self.otherwise.borrow_mut().insert(p.endpoint, told));
            if was.map(|w| w.shut) == told.map(|t| t.shut) {
                continue;
            }
            match standing {
                Standing::Shut => {
                    lines.push(line(p, Condition::Draining, p.entry.rate));
                    // Between two leases its connections are kept.
                    left.extend(was.is_none().then(|| p.clone()));
                }
                Standing::Lent => lines.push(line(p, Condition::Ready, LENT)),
                Standing::Free if was.is_some_and(|w| w.lent) => {
                    // What the module learned of it was the pace of a few calls that were lent: it
                    // is another one now.
                    lines.push(line(p, Condition::Gone, p.entry.rate));
                    lines.push(line(&self.anew(p), Condition::Ready, p.entry.rate));
                    left.push(p.clone());
                }
                Standing::Free => lines.push(line(p, Condition::Ready, p.entry.rate)),
            }
        }
        (!lines.is_empty()).then_some((Event::Ordered(lines), left))
    }

    /// When [`Directory::settle`] has to be asked again though nothing was told, if ever.
    pub fn settles(&self) -> Option<Instant> {
        self.aside.borrow_mut().over(Instant::now())
    }

    /// Destinations that are kept in use in spite of orders, as they have no other route.
    pub fn kept(&self) -> BTreeSet<DestinationId> {
        self.last.borrow().clone()
    }

    /// A call is about to go to a provider. Under an order this gives its number, for
    /// [`Directory::done`].
    ///
    /// # Errors
    /// Others will take up all that is lent.
    pub fn about(&self, p: &Endpoint) -> Result<Option<u64>, Taken> {
        match self.exempt(p) {
            true => Ok(None),
            false => self.aside.borrow_mut().about(p, Instant::now()),
        }
    }

    /// It begins now. Not where an order stands and nothing that was lent is left.
    pub fn begin(&self, p: &Endpoint) -> bool {
        self.exempt(p) || self.aside.borrow_mut().begin(p, Instant::now())
    }

    /// It is not about to begin any more: it has begun, or will not.
    pub fn done(&self, p: &Endpoint, number: u64) {
        self.aside.borrow_mut().done(p, number);
    }

    /// What zones and destinations have to offer, whatever is ordered.
    pub fn offers(&self) -> Vec<Offer> {
        let mut offers: BTreeMap<(String, DestinationId), (u32, f32)> = BTreeMap::new();
        for p in self
            .providers
            .borrow()
            .values()
            .filter(|p| p.entry.condition == Condition::Ready)
        {
            let offer = offers
                .entry((p.entry.zone.clone(), p.entry.dest))
                .or_default();
            let rate = if p.entry.rate.is_finite() {
                p.entry.rate.max(0.0)
            } else {
                0.0
            };
            // Endpoints that share one limit are each listed with all of it.
            let together = if self.is_apart(p) {
                offer.1 + rate
            } else {
                offer.1.max(rate)
            };
            *offer = (offer.0 + 1, together);
        }
        let offers = offers.into_iter();
        offers
            .map(|((zone, dest), (endpoints, rate))| Offer {
                zone,
                dest,
                endpoints,
                rate,
            })
            .collect()
    }

    fn standing(&self, p: &Endpoint, now: Instant) -> Standing {
        match self.last.borrow().contains(&p.entry.dest) {
            true => Standing::Free,
            false => self
                .aside
                .borrow()
                .standing(&p.entry.zone, p.entry.dest, now),
        }
    }

    fn exempt(&self, p: &Endpoint) -> bool {
        self.last.borrow().contains(&p.entry.dest)
    }

    /// Destinations that orders leave nothing that wants calls, or nothing that the routes allow to
    /// some of their messages.
    fn without_others(&self, now: Instant) -> BTreeSet<DestinationId> {
        let (aside, routes) = (self.aside.borrow(), self.routes.borrow());
        let (mut rest, mut hit): (
            BTreeMap<DestinationId, BTreeSet<u16>>,
            BTreeMap<DestinationId, BTreeSet<u16>>,
        ) = Default::default();
        for p in self
            .providers
            .borrow()
            .values()
            .filter(|p| p.entry.condition == Condition::Ready)
        {
            let all = match aside.standing(&p.entry.zone, p.entry.dest, now) {
                Standing::Free => &mut rest,
                _ => &mut hit,
            };
            all.entry(p.entry.dest).or_default().insert(p.zone);
        }
        let keeps = |dest: &DestinationId, hit: &BTreeSet<u16>| {
            let Some(rest) = rest.get(dest) else {
                return true;
            };
            let leads = |way: &Way<'_>, zones: &BTreeSet<u16>| {
                way.leads_to().any(|zone| zones.contains(&zone))
            };
            // What no zone would serve in any case is not for want of those that are left.
            !routes.is_empty()
                && routes
                    .ways(*dest)
                    .iter()
                    .any(|way| leads(way, hit) && !leads(way, rest))
        };
        hit.iter()
            .filter(|(dest, zones)| keeps(dest, zones))
            .map(|(dest, _)| *dest)
            .collect()
    }

    /// The same provider under another name of the module's.
    fn anew(&self, p: &Endpoint) -> Rc<Endpoint> {
        self.handles.borrow_mut().remove(&p.entry.uid);
        let endpoint = self.handle(&p.entry.uid);
        let again = Rc::new(Endpoint {
            endpoint,
            ..p.clone()
        });
        let mut providers = self.providers.borrow_mut();
        providers.remove(&p.endpoint);
        providers.insert(endpoint, again.clone());
        again
    }

    /// Entries of its tables.
    pub fn sizes(&self) -> [(&'static str, usize); 5] {
        let (providers, handles) = (self.providers.borrow().len(), self.handles.borrow().len());
        let (waits, zones) = (self.waits.borrow().len(), self.zones.borrow().len());
        let orders = self.aside.borrow().len();
        [
            ("providers", providers),
            ("handles", handles),
            ("waits", waits),
            ("zones", zones),
            ("orders", orders),
        ]
    }

    /// The provider that the module means.
    pub fn provider(&self, endpoint: EndpointAddress) -> Option<Rc<Endpoint>> {
        self.providers.borrow().get(&endpoint).cloned()
    }

    /// Notes a wait that a provider told.
    pub fn told_wait(&self, provider: &Endpoint, until: Instant) {
        let mut waits = self.waits.borrow_mut();
        waits.retain(|_, until| *until > Instant::now());
        let wait = waits.entry(self.gate(provider)).or_insert(until);
        *wait = until.max(*wait);
    }

    /// Whether a call may start now: the provider is still wanted, no wait that it told is running,
    /// and no order keeps it aside. Asked right before the first byte, because all of these may
    /// change while a connection comes up.
    pub fn admits(&self, endpoint: EndpointAddress, now: Instant) -> bool {
        let Some(p) = self.provider(endpoint) else {
            return false;
        };
        let waits = self
            .waits
            .borrow()
            .get(&self.gate(&p))
            .is_some_and(|until| now < *until);
        let ordered = || self.aside.borrow().admits(&p.entry.zone, p.entry.dest, now);
        p.entry.condition == Condition::Ready && !waits && (self.exempt(&p) || ordered())
    }

    /// Number of a zone.
    pub fn zone(&self, name: &str) -> u16 {
        let mut zones = self.zones.borrow_mut();
        let at = zones.iter().position(|z| z == name).unwrap_or_else(|| {
            zones.push(name.to_string());
            zones.len() - 1
        });
        at as u16
    }

    fn is_apart(&self, p: &Endpoint) -> bool {
        self.apart
            .get(usize::from(p.kind))
            .copied()
            .unwrap_or(false)
    }

    fn gate(&self, p: &Endpoint) -> Gate {
        if self.is_apart(p) {
            Gate::Endpoint(p.endpoint)
        } else {
            Gate::Destination(p.entry.dest)
        }
    }

    /// Number of a kind; the module takes one that it does not know for the last, and so does this.
    fn kind(&self, name: &str) -> u16 {
        let known = self.kinds.iter().position(|k| k == name);
        known.unwrap_or(self.kinds.len().saturating_sub(1)) as u16
    }

    /// A name of the module's own for each uid: addresses may be used again by a machine that
    /// replaces another.
    fn handle(&self, uid: &str) -> EndpointAddress {
        let mut handles = self.handles.borrow_mut();
        *handles.entry(uid.to_string()).or_insert_with(|| {
            self.named.set(self.named.get() + 1);
            EndpointAddress {
                addr: self.named.get().to_be_bytes(),
                port: 0,
            }
        })
    }
}

/// A provider's line, with another condition or rate than the list has.
fn line(p: &Endpoint, condition: Condition, rate: f32) -> Listing {
    Listing {
        endpoint: p.endpoint,
        zone: p.zone,
        kind: p.kind,
        dest: p.entry.dest,
        condition,
        rate,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    fn entry(uid: &str, condition: Condition) -> Entry {
        let address = "127.0.0.1:9000".parse().expect("an address");
        let kind = "small".to_string();
        Entry {
            uid: uid.into(),
            address,
            zone: "a".into(),
            kind,
            dest: 3,
            condition,
            rate: 1.0,
        }
    }

    fn news(rev: u64, whole: bool, entries: Vec<Entry>) -> News {
        News {
            rev,
            whole,
            entries,
        }
    }

    fn directory(apart: bool) -> Directory {
        Directory::new(&[], &["small".into()], &[Kind { apart, batch: 1 }])
    }

    #[test]
    fn older_news_undoes_nothing() {
        let d = directory(true);
        d.take(&news(5, true, vec![entry("x", Condition::Draining)]))
            .expect("first list");
        assert!(d
            .take(&news(4, true, vec![entry("x", Condition::Ready)]))
            .is_none());
        assert!(d
            .take(&news(5, false, vec![entry("x", Condition::Ready)]))
            .is_none());
        assert!(!d.admits(d.handle("x"), Instant::now()));
        assert!(d
            .take(&news(6, false, vec![entry("x", Condition::Ready)]))
            .is_some());
        assert!(d.admits(d.handle("x"), Instant::now()));
    }

    #[test]
    fn what_a_whole_list_leaves_out_is_gone() {
        let d = directory(true);
        d.take(&news(
            1,
            true,
            vec![entry("x", Condition::Ready), entry("y", Condition::Ready)],
        ));
        let (_, left) = d
            .take(&news(2, true, vec![entry("y", Condition::Ready)]))
            .expect("newer");
        assert_eq!(
            left.iter()
                .map(|p| p.entry.uid.as_str())
                .collect::<Vec<_>>(),
            ["x"]
        );
        assert!(
            !d.admits(d.handle("x"), Instant::now()) && d.admits(d.handle("y"), Instant::now())
        );
    }

    #[test]
    fn a_wait_binds_the_route_or_the_whole_destination() {
        for (apart, other_is_free) in [(true, true), (false, false)] {
            let d = directory(apart);
            d.take(&news(
                1,
                true,
                vec![entry("x", Condition::Ready), entry("y", Condition::Ready)],
            ));
            let (now, wait) = (Instant::now(), Duration::from_secs(2));
            let x = d.provider(d.handle("x")).expect("listed");
            d.told_wait(&x, now + wait);
            d.told_wait(&x, now + wait / 2); // a shorter one later does not end it
            assert!(!d.admits(x.endpoint, now + wait / 2));
            assert_eq!(d.admits(d.handle("y"), now), other_is_free);
            assert!(d.admits(x.endpoint, now + wait));
        }
    }

    #[test]
    fn a_zone_that_is_the_last_of_some_messages_by_the_routes_is_not_left() {
        use crate::dispatch::routing::Said;
        let d = directory(true);
        let at = |uid: &str| Entry {
            zone: uid.into(),
            ..entry(uid, Condition::Ready)
        };
        d.take(&news(1, true, vec![at("a"), at("b"), at("c")]));
        let to = |tiers: &[&str], class: Option<u16>| {
            let tiers = tiers
                .iter()
                .map(|zone| vec![(1, vec![zone.to_string()])])
                .collect();
            Said {
                classes: class.map(|c| vec![c]),
                tiers,
                ..Said::default()
            }
        };
        let kept = |zones: &[&str], said: Vec<Said>| {
            d.route(Rc::new(
                Routes::new(2, 1, said).numbered(|zone| d.zone(zone)),
            ));
            let order = |zone: &&str| Order {
                zone: zone.to_string(),
                dest: 3,
                number: 1,
                until: None,
            };
            d.stand(zones.iter().map(order).collect());
            d.settle();
            !d.kept().is_empty()
        };
        // Without routes, only where nothing is left at all.
        assert!(!kept(&["a", "b"], vec![]) && kept(&["a", "b", "c"], vec![]));
        // By routes, where one class has nothing else, also while another has.
        assert!(kept(&["a"], vec![to(&["a"], Some(0)), to(&["b"], None)]));
        assert!(!kept(&["c"], vec![to(&["a"], Some(0)), to(&["b"], None)]));
        assert!(!kept(
            &["a"],
            vec![to(&["a", "b"], Some(0)), to(&["b"], None)]
        ));
        // A class that nobody serves, or that goes where nothing is listed, is nobody's reason.
        assert!(!kept(&["a"], vec![to(&[], Some(0)), to(&["b"], None)]));
        assert!(!kept(
            &["a"],
            vec![to(&["z"], Some(0)), to(&["b", "a"], None)]
        ));
        assert!(
            d.admits(d.handle("b"), Instant::now()) && !d.admits(d.handle("a"), Instant::now())
        );
    }

    #[test]
    fn a_machine_at_an_address_used_before_is_another_provider() {
        let d = directory(true);
        d.take(&news(1, true, vec![entry("x", Condition::Ready)]));
        d.take(&news(
            2,
            false,
            vec![entry("x", Condition::Gone), entry("z", Condition::Ready)],
        ));
        assert!(
            !d.admits(d.handle("x"), Instant::now()) && d.admits(d.handle("z"), Instant::now())
        );
    }
}
