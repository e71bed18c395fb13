//! One sender: the decision module, the doors for connections and messages and the store's door,
//! all as the program has them, and what the program keeps round them.

use crate::day::Day;
use crate::policies::{Decides, Policy};
use crate::world::World;
use raildeal::admission_control::accept_queue::Comes;
use raildeal::admission_control::connection_slots::{Places, Rules, Seating};
use raildeal::admission_control::descriptor_budget::Budget;
use raildeal::admission_control::message_limits::{Kept, Limits, Messages};
use raildeal::store::capacity::{self, CapacityDecision, Occupancy, SegmentLayout};
use raildeal::{Action, Event, MessageId, Nanos, Settings};
use rustc_hash::FxHashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::Duration;

/// The module's clock when a day begins: what is told of an earlier life lies before it.
const EPOCH: Nanos = 30 * 86_400 * 1_000_000_000;
/// What the store keeps of a message beside its body.
const OVER_BODY: u64 = 576;

/// A message that a sender holds.
#[derive(Clone, Debug)]
pub struct Held {
    /// The day's number of it.
    pub message: u32,
    /// Attempts made.
    pub attempts: u16,
    /// The call that is out.
    pub out: Option<u32>,
    /// The first attempt that may have run: when, and in which building.
    pub ran: Option<(Nanos, u16)>,
    /// Since when it is held.
    pub since: Nanos,
    /// Its bytes in the store.
    pub size: u64,
    /// Who handed it in.
    pub service: u16,
    /// Its class.
    pub class: u16,
}

/// What makes a sender break rules, to see that it is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Gives no final answer that is not a delivery.
    Silent,
    /// Gives each final answer twice.
    Twice,
    /// Answers only after the message's time is up.
    Late,
    /// Has two attempts out.
    Parallel,
    /// Repeats in any building what may have run.
    Repeats,
    /// Does not hear that endpoints drain.
    Drains,
    /// Does not hear of waits, and asks again at once.
    Waits,
    /// Sends a partner that returns all that it has.
    Pushes,
    /// Never comes back to a partner that it saw fail.
    Forgets,
    /// Lets hand-ins go without a word.
    Swallows,
}

/// Connections to one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Conns {
    /// Those that rest, and since when the last one does.
    pub idle: u32,
    /// See above.
    pub since: Nanos,
    /// Those that carry a call.
    pub out: u32,
}

impl Conns {
    /// Whether one rests that was not closed for its idleness.
    pub fn rests(&self, now: Nanos, idle_close: Nanos) -> bool {
        self.idle > 0 && (idle_close == 0 || now < self.since + idle_close)
    }
}

/// A sender.
pub struct Sender {
    /// Whether it runs, and which of its lives this is.
    pub up: bool,
    /// See above.
    pub life: u32,
    /// Since when it is down.
    pub down: Nanos,
    decides: Box<dyn Decides>,
    policy: Policy,
    settings: Settings,
    /// What it holds, by the module's number.
    pub held: FxHashMap<MessageId, Held>,
    next: MessageId,
    /// The door for connections.
    pub places: Places,
    /// The door for messages.
    pub guests: Messages,
    limits: Limits,
    places_rules: Rules,
    store: capacity::CapacityGate,
    view: Occupancy,
    /// Changes of the list that it has heard.
    pub heard: usize,
    /// It lost the directory.
    pub blind: bool,
    /// Endpoints that it was told are not wanted.
    pub gone: FxHashMap<u32, ()>,
    /// Waits that it was told, by partner or endpoint.
    pub waits: FxHashMap<(u16, Option<u32>), Nanos>,
    /// Partners, or endpoints that are limited apart, that it saw fail in an outage.
    pub warned: FxHashMap<(u16, Option<u32>), Nanos>,
    /// Its connections, by endpoint.
    pub conns: FxHashMap<u32, Conns>,
    /// When its core is free.
    pub free: Nanos,
    /// When who decides wants to be woken.
    pub wake: Option<Nanos>,
    /// What the door for messages knows services by.
    names: Rc<[String]>,
}

impl Sender {
    /// One that begins its first life.
    pub fn new(day: &Day, settings: &Settings, names: Rc<[String]>, seed: u64) -> Self {
        let budget = Budget::split(
            day.senders.descriptors,
            None,
            settings.max_in_flight_calls as usize,
            0,
        );
        let limits = Limits {
            room: settings.max_held_messages as usize,
            share: day.senders.client_share,
            target: day.senders.target_ms.map(Duration::from_millis),
            ..Limits::default()
        };
        let layout = SegmentLayout::for_folder(day.senders.folder, u64::MAX);
        let places_rules = Rules::open(budget.clients);
        Sender {
            up: true,
            life: 0,
            down: 0,
            decides: day.senders.policy.begin(settings, seed),
            policy: day.senders.policy,
            settings: settings.clone(),
            held: FxHashMap::default(),
            next: 0,
            places: Places::new(places_rules.clone()),
            guests: Messages::new(limits.clone()),
            limits,
            places_rules,
            store: capacity::CapacityGate::default(),
            view: Occupancy {
                segment_bytes: layout.segment_bytes,
                segments: 4.min(layout.max_segments),
                max_segments: layout.max_segments,
                ..Occupancy::default()
            },
            heard: 0,
            blind: false,
            gone: FxHashMap::default(),
            waits: FxHashMap::default(),
            warned: FxHashMap::default(),
            conns: FxHashMap::default(),
            free: 0,
            wake: None,
            names,
        }
    }

    /// Its process ends: all that is left is what the store has.
    pub fn die(&mut self, now: Nanos) {
        (self.up, self.down) = (false, now);
        self.life += 1;
        self.places = Places::new(self.places_rules.clone());
        self.guests = Messages::new(self.limits.clone());
        self.store = capacity::CapacityGate::default();
        self.waits.clear();
        self.warned.clear();
        self.conns.clear();
        self.wake = None;
    }

    /// It begins again; gives what it holds, oldest first.
    pub fn begin(&mut self, seed: u64) -> Vec<Held> {
        self.decides = self.policy.begin(&self.settings, seed);
        self.up = true;
        let mut held: Vec<Held> = self.held.drain().map(|(_, h)| h).collect();
        held.sort_by_key(|h| (h.since, h.message));
        held
    }

    /// One turn of the module.
    pub fn turn(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.decides.handle(EPOCH + now, event, &mut actions);
        actions
    }

    /// A number for a message that was never used.
    pub fn number(&mut self) -> MessageId {
        self.next += 1;
        self.next
    }

    /// A place for a connection of a service; nothing if there is none, even after another has
    /// left.
    pub fn seat(&mut self, now: Nanos, from: IpAddr, comes: Comes) -> Option<u64> {
        let now = Duration::from_nanos(now);
        self.places.come(now, from, comes).ok()?;
        // One that is told to leave does so at once here.
        for _ in 0..2 {
            match self.places.seat(now, from, comes) {
                Seating::Seated(no) => return Some(no),
                Seating::After(no) => self.places.left(no),
                Seating::None(_) => return None,
            }
        }
        None
    }

    /// Whether the doors for messages let one in; why not, and when to come back.
    pub fn ask(
        &mut self,
        now: Nanos,
        service: u16,
        class: u16,
        body: u64,
    ) -> Result<u64, (&'static str, Nanos)> {
        if self.held.len() >= self.settings.max_held_messages as usize {
            return Err(("no room", 500_000_000));
        }
        let (at, size) = (Duration::from_nanos(now), body + OVER_BODY);
        let asked = self.guests.ask(
            at,
            &self.names[usize::from(service)],
            false,
            usize::from(class),
        );
        asked.map_err(|(why, wait)| {
            let why = match why {
                Kept::Rate => "client rate",
                Kept::Share => "client share",
                Kept::Class => "class room",
                Kept::Known => "known room",
                Kept::Slow => "slow delivery",
            };
            (why, wait.as_nanos() as Nanos)
        })?;
        loop {
            match self.store.request(at, &self.view, size).0 {
                CapacityDecision::Admit => return Ok(size),
                CapacityDecision::AddSegment => {
                    self.view.segments += 1;
                    self.store.on_growth(at, None);
                }
                CapacityDecision::Reject(_) => {
                    return Err(("store", self.store.retry_after().as_nanos() as Nanos))
                }
            }
        }
    }

    /// A message is held from now on.
    pub fn hold(&mut self, id: MessageId, held: Held) {
        self.guests.taken_on(&self.names[usize::from(held.service)]);
        self.view.live_bytes += held.size;
        self.view.largest_item_bytes = self.view.largest_item_bytes.max(held.size);
        self.held.insert(id, held);
    }

    /// A message is over.
    pub fn let_go(&mut self, now: Nanos, id: MessageId, delivered: bool) -> Option<Held> {
        let held = self.held.remove(&id)?;
        let stayed = Duration::from_nanos(now - held.since);
        self.guests.over(
            Duration::from_nanos(now),
            &self.names[usize::from(held.service)],
            stayed,
            delivered,
        );
        self.view.live_bytes -= held.size;
        Some(held)
    }

    /// What is held again after a start.
    pub fn again(&mut self, id: MessageId, held: Held) {
        self.guests.taken_on(&self.names[usize::from(held.service)]);
        self.held.insert(id, held);
    }

    /// Its open connections to an endpoint.
    pub fn connections(&self, now: Nanos, route: u32, idle_close: Nanos) -> u32 {
        let conns = self.conns.get(&route).copied().unwrap_or_default();
        conns.out
            + if conns.rests(now, idle_close) {
                conns.idle
            } else {
                0
            }
    }

    /// Closes those that carry no call.
    pub fn close_idle(&mut self, route: u32) {
        if let Some(conns) = self.conns.get_mut(&route) {
            conns.idle = 0;
        }
    }

    /// Whether a call may begin, as the program looks once more before the first byte.
    pub fn admits(&self, now: Nanos, world: &World, route: u32) -> bool {
        let r = &world.routes[route as usize];
        let waits = |gate| {
            self.waits
                .get(&(r.dest, gate))
                .is_some_and(|until| now < *until)
        };
        !self.gone.contains_key(&route) && !waits(None) && !waits(Some(route))
    }
}

/// Where a service's connections come from.
pub fn address(service: u16) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 1, (service >> 8) as u8, service as u8))
}

/// Where a flood's come from.
pub fn flood() -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(198, 51, 100, 1))
}
