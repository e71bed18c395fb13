//! A day in virtual time: one heap of events, and the next of them is the time.

use crate::day::{Bad, Day, What};
use crate::dice::{Dice, For};
use crate::log::{Fact, See, Verdict};
use crate::partner::{seconds, Limit, Said, SECOND};
use crate::range::Range;
use crate::sender::{address, flood, Fault, Held, Sender};
use crate::world::{route, World};
use raildeal::admission_control::accept_queue;
use raildeal::config::platform_settings::Deployment;
use raildeal::{
    Action, Condition, DestinationId, Event, Message, MessageId, Nanos, Outcome, PossibleRun,
    PriorAttempts, Settings,
};
use rustc_hash::FxHashSet;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

/// After the last message was due, a day goes on for the longest time that one may be held, and
/// this.
const AFTER: Nanos = 2 * SECOND;
/// A client waits so long for the answer to a hand-in that never comes, and then turns to another
/// sender.
const UNHEARD: Nanos = SECOND;
/// A silent connection of a flood is held for so long.
const FLOOD_HOLDS: Nanos = SECOND;
/// The directory is asked again after so long, in seconds, where it could not be.
const ASK_AGAIN: Range = Range {
    low: 0.5,
    high: 4.0,
};

/// A sender that was broken for it calls again after this time.
const PUSH: Nanos = SECOND / 20;

#[derive(Clone, Copy, Debug)]
enum Ev {
    /// The next message of the steady stream is due.
    Due,
    /// A message reaches a sender.
    HandIn {
        message: u32,
        sender: u16,
    },
    /// The module asked to be woken.
    Wake {
        sender: u16,
        life: u32,
        at: Nanos,
    },
    /// News of the list reach a sender, up to this change.
    News {
        sender: u16,
        life: u32,
        upto: usize,
    },
    /// The whole list does.
    List {
        sender: u16,
        life: u32,
    },
    /// A call reaches an endpoint.
    Call {
        call: u32,
    },
    /// A sender sees how a call ended.
    Over {
        call: u32,
        outcome: Outcome,
    },
    /// Trouble begins or ends.
    Trouble {
        number: usize,
        begins: bool,
    },
    /// A sender dies.
    Die {
        sender: u16,
        down: Nanos,
    },
    /// It begins again.
    Begin {
        sender: u16,
        life: u32,
    },
    /// An endpoint is removed.
    Remove {
        route: u32,
    },
    /// A connection of a flood comes, and leaves.
    Flood {
        number: usize,
        sender: u16,
    },
    FloodLeaves {
        sender: u16,
        life: u32,
        seat: u64,
    },
    /// A sender that was broken for it calls again, without its module.
    Push {
        sender: u16,
        life: u32,
        id: MessageId,
        route: u32,
    },
    /// A sender that was broken for it answers late.
    Late {
        sender: u16,
        id: MessageId,
        verdict: Verdict,
    },
}

/// A message, as its client knows it.
#[derive(Clone, Debug)]
struct Wanted {
    dest: DestinationId,
    class: u16,
    service: u16,
    tries: u8,
    body: u32,
    by: Nanos,
}

/// A call that is out.
#[derive(Clone, Debug)]
struct Out {
    sender: u16,
    life: u32,
    id: MessageId,
    message: u32,
    route: u32,
    sent: Nanos,
    timeout: Nanos,
    attempt: u16,
    /// The module does not know of it: one that a broken sender makes.
    stray: bool,
}

/// A day under way.
pub struct Sim<'a> {
    day: &'a Day,
    settings: Settings,
    world: World,
    now: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64, Item)>>,
    made: u64,
    senders: Vec<Sender>,
    messages: Vec<Wanted>,
    calls: Vec<Out>,
    spare: Vec<u32>,
    /// Changes of the list, in order.
    changes: Vec<(u32, Condition)>,
    /// How much later than usual the directory tells, and whether it can be asked.
    behind: Nanos,
    down: bool,
    /// Messages that a surge adds, as a part of all, and for whom.
    surges: Vec<(f64, Vec<DestinationId>)>,
    /// Whether a flood runs, by trouble.
    floods: Vec<bool>,
    /// Whom each trouble hits, while it lasts.
    struck: Vec<Vec<DestinationId>>,
    turn: usize,
    dice: Streams,
    fault: Option<Fault>,
    events: u64,
}

struct Streams {
    arrivals: Dice,
    clients: Dice,
    partners: Dice,
    network: Dice,
    directory: Dice,
    troubles: Dice,
    seeds: Dice,
}

/// An event in the heap; two are never compared, as their numbers differ.
#[derive(Clone, Copy, Debug)]
struct Item(Ev);

impl PartialEq for Item {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Item {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

/// What a run came to beside what was seen.
#[derive(Clone, Copy, Debug)]
pub struct Ran {
    /// Virtual time.
    pub time: Nanos,
    /// Events.
    pub events: u64,
}

impl<'a> Sim<'a> {
    /// A day that has not begun. A fault breaks every sender in that way.
    pub fn new(day: &'a Day, seed: u64, fault: Option<Fault>) -> Result<Self, Bad> {
        let deployment: Deployment = day.deployment()?;
        let settings = Settings {
            poll_list: true,
            ..deployment.settings.clone()
        };
        let world = World::draw(day, &deployment, seed)?;
        let mut seeds = Dice::new(seed, For::World);
        let names: Rc<[String]> = (0..day.clients.services)
            .map(|n| format!("service-{n}"))
            .collect();
        raildeal::Dispatcher::new(settings.clone(), 0).map_err(|e| Bad::Setting {
            setting: "settings".into(),
            what: e.to_string(),
        })?;
        let senders = (0..day.senders.count)
            .map(|_| Sender::new(day, &settings, names.clone(), seeds.seed()))
            .collect();
        let dice = |concern| Dice::new(seed, concern);
        Ok(Sim {
            day,
            settings,
            world,
            now: 0,
            queue: BinaryHeap::new(),
            made: 0,
            senders,
            messages: Vec::new(),
            calls: Vec::new(),
            spare: Vec::new(),
            changes: Vec::new(),
            behind: 0,
            down: false,
            surges: Vec::new(),
            floods: vec![false; day.troubles.len()],
            struck: vec![Vec::new(); day.troubles.len()],
            turn: 0,
            dice: Streams {
                arrivals: dice(For::Arrivals),
                clients: dice(For::Clients),
                partners: dice(For::Partners),
                network: dice(For::Network),
                directory: dice(For::Directory),
                troubles: dice(For::Troubles),
                seeds,
            },
            fault,
            events: 0,
        })
    }

    /// The settings that the senders have.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Plays it.
    pub fn run(mut self, see: &mut dyn See) -> Ran {
        for sender in 0..self.senders.len() as u16 {
            see.see(0, &Fact::Began { sender });
            self.list(sender, true, see);
        }
        for (number, trouble) in self.day.troubles.iter().enumerate() {
            let at = seconds(self.dice.troubles.from(trouble.at_s));
            let long = seconds(self.dice.troubles.from(trouble.for_s));
            self.at(
                at,
                Ev::Trouble {
                    number,
                    begins: true,
                },
            );
            self.at(
                at + long,
                Ev::Trouble {
                    number,
                    begins: false,
                },
            );
        }
        self.at(0, Ev::Due);
        let last = seconds(self.day.seconds);
        let longest = self
            .settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        let on_the_way =
            seconds(self.day.clients.pause_s.high + self.day.network.across_ms.high / 1e3);
        let end = last + longest + on_the_way + AFTER;
        while let Some(Reverse((at, _, Item(event)))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.events += 1;
            self.happens(event, see);
        }
        Ran {
            time: self.now,
            events: self.events,
        }
    }

    fn at(&mut self, at: Nanos, event: Ev) {
        self.made += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.made, Item(event))));
    }

    fn is_of(&self, sender: u16, life: u32) -> bool {
        let s = &self.senders[usize::from(sender)];
        s.up && s.life == life
    }

    fn happens(&mut self, event: Ev, see: &mut dyn See) {
        match event {
            Ev::Due => self.due(see),
            Ev::HandIn { message, sender } => self.hand_in(message, sender, see),
            Ev::Wake { sender, life, at } => {
                let asked = &mut self.senders[usize::from(sender)].wake;
                if asked.take_if(|asked| *asked == at).is_some() && self.is_of(sender, life) {
                    self.module(sender, Event::TimerFired, None, see);
                }
            }
            Ev::News { sender, life, upto } => {
                if self.is_of(sender, life) {
                    self.news(sender, upto, see);
                }
            }
            Ev::List { sender, life } => {
                if self.is_of(sender, life) {
                    self.whole(sender, see);
                }
            }
            Ev::Call { call } => self.call_comes(call, see),
            Ev::Over { call, outcome } => self.call_over(call, outcome, see),
            Ev::Trouble { number, begins } => self.trouble(number, begins, see),
            Ev::Die { sender, down } => self.die(sender, down, see),
            Ev::Begin { sender, life } => self.begin(sender, life, see),
            Ev::Remove { route } => self.change(route, Condition::Gone),
            Ev::Flood { number, sender } => self.flood(number, sender),
            Ev::FloodLeaves { sender, life, seat } => {
                if self.is_of(sender, life) {
                    self.senders[usize::from(sender)].places.left(seat);
                }
            }
            Ev::Push {
                sender,
                life,
                id,
                route,
            } => {
                let held = &self.senders[usize::from(sender)].held;
                if let Some(h) = held.get(&id).filter(|_| self.is_of(sender, life)) {
                    let (message, attempt) = (h.message, h.attempts);
                    self.call(sender, (id, message, attempt), route, SECOND, true, see);
                }
            }
            Ev::Late {
                sender,
                id,
                verdict,
            } => self.answer(sender, id, verdict, 0, see),
        }
    }

    // Clients.

    fn due(&mut self, see: &mut dyn See) {
        if self.now >= seconds(self.day.seconds) {
            return;
        }
        let clumps = self.day.clients.clumps;
        let part = (clumps.low + clumps.high) / 2.0;
        let rate = self.world.rate * (1.0 - part);
        let dest = self.world.dest(&mut self.dice.arrivals);
        self.wanted(dest, see);
        // Clumps come by themselves, so often that they make up their part.
        let take = self.day.clients.clump_s;
        let size = self.world.dests[usize::from(dest)].rate * self.dice.arrivals.from(take);
        let per_message = part / (1.0 - part).max(1e-9) / size.max(1.0);
        if self.dice.arrivals.is(per_message) {
            (0..size.ceil() as u32).for_each(|_| self.wanted(dest, see));
        }
        for n in 0..self.surges.len() {
            let more = self.surges[n].0;
            let mut left = more;
            while self.dice.arrivals.is(left) {
                let at = self.dice.arrivals.below(self.surges[n].1.len());
                let dest = self.surges[n].1[at];
                self.wanted(dest, see);
                left -= 1.0;
            }
        }
        let gap = seconds(self.dice.arrivals.gap(1.0 / rate.max(1e-9)));
        self.at(self.now + gap.max(1), Ev::Due);
    }

    /// A message is due for the first time.
    fn wanted(&mut self, dest: DestinationId, see: &mut dyn See) {
        let message = self.messages.len() as u32;
        let class = self.dice.arrivals.below(self.settings.classes.len()) as u16;
        let by = self.now + self.settings.classes[usize::from(class)].deadline;
        let service = self.dice.arrivals.below(self.day.clients.services) as u16;
        let body = self.dice.arrivals.from(self.day.clients.body) as u32;
        self.messages.push(Wanted {
            dest,
            class,
            service,
            tries: 0,
            body,
            by,
        });
        see.see(
            self.now,
            &Fact::Due {
                message,
                class,
                dest,
            },
        );
        self.front(message, 0);
    }

    /// The front layer passes a message to the next sender that it does not know to be dead.
    fn front(&mut self, message: u32, after: Nanos) {
        let at = self.now + after;
        let blind = seconds(self.dice.clients.from(self.day.clients.blind_s));
        for _ in 0..self.senders.len() {
            self.turn = (self.turn + 1) % self.senders.len();
            let s = &self.senders[self.turn];
            if s.up || at < s.down + blind {
                break;
            }
        }
        let sender = self.turn as u16;
        let way = self.way(sender, self.world.homes[usize::from(sender)]);
        self.at(at + way, Ev::HandIn { message, sender });
    }

    fn hand_in(&mut self, message: u32, sender: u16, see: &mut dyn See) {
        let wanted = self.messages[message as usize].clone();
        if self.now >= wanted.by {
            return see.see(self.now, &Fact::GaveUp { message });
        }
        if self.fault == Some(Fault::Swallows) {
            return;
        }
        let s = &mut self.senders[usize::from(sender)];
        if !s.up {
            // It is noticed, and another one is tried; that is no refusal.
            let after = seconds(self.dice.clients.from(self.day.clients.pause_s)).max(1);
            return self.front(message, after);
        }
        let cost = (self.day.senders.cpu_us * 1e3) as Nanos;
        if s.free > self.now + UNHEARD {
            return self.turned_away(message, sender, ("unheard", 0), see);
        }
        if cost > 0 {
            s.free = s.free.max(self.now) + cost;
        }
        let from = address(wanted.service);
        let Some(seat) = s.seat(self.now, from, accept_queue::Comes::Whole) else {
            return self.turned_away(message, sender, ("no place", 500_000_000), see);
        };
        let asked = s.ask(
            self.now,
            wanted.service,
            wanted.class,
            u64::from(wanted.body),
        );
        s.places.left(seat);
        let size = match asked {
            Ok(size) => size,
            Err((why, wait)) => return self.turned_away(message, sender, (why, wait), see),
        };
        let id = s.number();
        let held = Held {
            message,
            attempts: 0,
            out: None,
            ran: None,
            since: self.now,
            size,
            service: wanted.service,
            class: wanted.class,
        };
        s.hold(id, held);
        let event = Event::Arrived(Message {
            id,
            class: wanted.class,
            dest: wanted.dest,
            ttl: wanted.by - self.now,
            ..Message::default()
        });
        self.module(sender, event, Some(id), see);
    }

    /// A message is not taken on, or given back: its client comes again, a few times.
    fn turned_away(
        &mut self,
        message: u32,
        sender: u16,
        (why, wait): (&'static str, Nanos),
        see: &mut dyn See,
    ) {
        see.see(
            self.now,
            &Fact::TurnedAway {
                message,
                sender,
                why,
            },
        );
        self.again(message, wait, see);
    }

    fn again(&mut self, message: u32, wait: Nanos, see: &mut dyn See) {
        let pause = seconds(self.dice.clients.from(self.day.clients.pause_s)).max(1);
        let wanted = &mut self.messages[message as usize];
        let after = if wait > 0 { wait } else { pause };
        if u32::from(wanted.tries) < self.day.clients.again && self.now + after < wanted.by {
            wanted.tries += 1;
            self.front(message, after);
        } else {
            see.see(self.now, &Fact::GaveUp { message });
        }
    }

    // Senders.

    /// One turn of the module, and what it orders. `fresh` is a message that is only taken on if it
    /// is not refused here.
    fn module(&mut self, sender: u16, event: Event, fresh: Option<MessageId>, see: &mut dyn See) {
        let actions = self.senders[usize::from(sender)].turn(self.now, event);
        if let Some(id) = fresh {
            let refused = actions.iter().find_map(|a| match a {
                Action::Reject {
                    id: of,
                    retry_after,
                } if *of == id => Some(("module", *retry_after)),
                Action::Fail { id: of } if *of == id => Some(("failed at once", 0)),
                _ => None,
            });
            let s = &mut self.senders[usize::from(sender)];
            let message = s.held[&id].message;
            if let Some(why) = refused {
                s.let_go(self.now, id, false);
                self.turned_away(message, sender, why, see);
            } else {
                let Wanted { class, by, .. } = self.messages[message as usize];
                see.see(
                    self.now,
                    &Fact::TakenOn {
                        message,
                        sender,
                        class,
                        by,
                    },
                );
            }
        }
        for action in actions {
            match action {
                Action::Send {
                    id,
                    endpoint,
                    timeout,
                } => self.send(sender, id, route(endpoint), timeout, see),
                Action::Reject { id, retry_after } => {
                    self.ends(sender, id, Verdict::Refused, retry_after, see)
                }
                Action::Fail { id } => self.ends(sender, id, Verdict::Failed, 0, see),
                Action::CloseIdle { endpoint } => {
                    self.senders[usize::from(sender)].close_idle(route(endpoint));
                }
                Action::WakeAfter(after) => {
                    // As at the program's desk, the last word counts.
                    let at = self.now + after.max(1);
                    let s = &mut self.senders[usize::from(sender)];
                    let life = s.life;
                    if s.wake.replace(at) != Some(at) {
                        self.at(at, Ev::Wake { sender, life, at });
                    }
                }
                Action::Log(line) => log::debug!(
                    target: "module",
                    "{:.3} s: sender {sender}: {line}",
                    crate::partner::in_seconds(self.now)
                ),
                Action::HealthCheck { .. } | Action::WatchList => {}
            }
        }
    }

    /// The module gave a message up.
    fn ends(
        &mut self,
        sender: u16,
        id: MessageId,
        verdict: Verdict,
        wait: Nanos,
        see: &mut dyn See,
    ) {
        match self.fault {
            Some(Fault::Silent) => {}
            Some(Fault::Late) => {
                if let Some(held) = self.senders[usize::from(sender)].held.get(&id) {
                    let by = self.messages[held.message as usize].by;
                    self.at(
                        by + SECOND,
                        Ev::Late {
                            sender,
                            id,
                            verdict,
                        },
                    );
                }
            }
            _ => self.answer(sender, id, verdict, wait, see),
        }
    }

    /// A message gets its final answer.
    fn answer(
        &mut self,
        sender: u16,
        id: MessageId,
        verdict: Verdict,
        wait: Nanos,
        see: &mut dyn See,
    ) {
        let s = &mut self.senders[usize::from(sender)];
        let Some(held) = s.let_go(self.now, id, verdict == Verdict::Delivered) else {
            return;
        };
        let message = held.message;
        let ended = Fact::Ended {
            message,
            sender,
            verdict,
        };
        see.see(self.now, &ended);
        if self.fault == Some(Fault::Twice) {
            see.see(self.now, &ended);
        }
        if verdict == Verdict::Refused {
            self.again(message, wait, see);
        }
    }

    fn send(&mut self, sender: u16, id: MessageId, route: u32, timeout: Nanos, see: &mut dyn See) {
        let Some(held) = self.senders[usize::from(sender)].held.get(&id) else {
            return;
        };
        let attempt = held.attempts;
        self.call(
            sender,
            (id, held.message, attempt),
            route,
            timeout,
            false,
            see,
        );
        if self.fault == Some(Fault::Parallel) {
            let message = self.senders[usize::from(sender)].held[&id].message;
            self.call(sender, (id, message, attempt), route, timeout, true, see);
        }
    }

    /// A call begins.
    fn call(
        &mut self,
        sender: u16,
        (id, message, attempt): (MessageId, u32, u16),
        route: u32,
        timeout: Nanos,
        stray: bool,
        see: &mut dyn See,
    ) {
        let (dest, zone) = {
            let r = &self.world.routes[route as usize];
            (r.dest, r.zone)
        };
        let deaf = matches!(self.fault, Some(Fault::Drains | Fault::Waits));
        let s = &mut self.senders[usize::from(sender)];
        let forgot =
            self.fault == Some(Fault::Forgets) && s.warned.keys().any(|(of, _)| *of == dest);
        let admitted = stray || deaf || (s.admits(self.now, &self.world, route) && !forgot);
        let life = s.life;
        let call = Out {
            sender,
            life,
            id,
            message,
            route,
            sent: self.now,
            timeout,
            attempt,
            stray,
        };
        let no = match self.spare.pop() {
            Some(no) => {
                self.calls[no as usize] = call;
                no
            }
            None => {
                self.calls.push(call);
                self.calls.len() as u32 - 1
            }
        };
        if !stray {
            if let Some(held) = s.held.get_mut(&id) {
                held.attempts += 1;
                held.out = Some(no);
            }
        }
        if !admitted {
            // Nothing was sent; the module hears it in a turn of its own.
            return self.at(
                self.now,
                Ev::Over {
                    call: no,
                    outcome: Outcome::NotSent,
                },
            );
        }
        see.see(
            self.now,
            &Fact::Call {
                message,
                sender,
                endpoint: route,
                dest,
                zone,
            },
        );
        let cost = (self.day.senders.cpu_us * 1e3) as Nanos;
        let idle_close = self.settings.connection_idle_timeout;
        let conns = s.conns.entry(route).or_default();
        conns.out += 1;
        let kept = conns.rests(self.now, idle_close);
        conns.idle = if kept { conns.idle - 1 } else { 0 };
        let begins = s.free.max(self.now) + cost;
        if cost > 0 {
            s.free = begins;
        }
        let way = self.way(sender, zone);
        if let Some(most) = self.world.dests[usize::from(dest)]
            .connections
            .filter(|_| !kept)
        {
            let open: u32 = self
                .senders
                .iter()
                .map(|s| s.connections(self.now, route, idle_close))
                .sum();
            if open > most {
                return self.at(
                    begins + 2 * way,
                    Ev::Over {
                        call: no,
                        outcome: Outcome::ConnectFailed,
                    },
                );
            }
        }
        // A new connection takes a way there and back before anything is sent.
        let comes = begins + way * if kept { 1 } else { 3 };
        self.at(comes, Ev::Call { call: no });
    }

    /// A call is over, as its sender sees it.
    fn call_over(&mut self, no: u32, outcome: Outcome, see: &mut dyn See) {
        let call = self.calls[no as usize].clone();
        self.spare.push(no);
        let Out {
            sender,
            life,
            id,
            message,
            route,
            sent,
            attempt,
            stray,
            ..
        } = call;
        if !self.is_of(sender, life) {
            return;
        }
        if outcome != Outcome::NotSent {
            see.see(
                self.now,
                &Fact::Answer {
                    message,
                    sender,
                    endpoint: route,
                    outcome,
                },
            );
            let conns = self.senders[usize::from(sender)]
                .conns
                .entry(route)
                .or_default();
            conns.out = conns.out.saturating_sub(1);
        }
        if self.fault == Some(Fault::Pushes) && matches!(outcome, Outcome::Rejected { .. }) {
            self.at(
                self.now + PUSH,
                Ev::Push {
                    sender,
                    life,
                    id,
                    route,
                },
            );
        }
        if stray {
            return;
        }
        let (dest, zone) = {
            let r = &self.world.routes[route as usize];
            (r.dest, r.zone)
        };
        let apart = self.world.dests[usize::from(dest)].apart;
        let cold = self.world.rules.warm_after;
        let s = &mut self.senders[usize::from(sender)];
        let unsure = matches!(
            outcome,
            Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(held) = s.held.get_mut(&id) {
            held.out = None;
            if unsure {
                held.ran.get_or_insert((sent, zone));
            }
        }
        if !matches!(outcome, Outcome::Delivered | Outcome::NotSent)
            && self.world.is_out(route, self.now)
        {
            s.warned
                .insert((dest, apart.then_some(route)), self.now + cold);
        }
        if matches!(
            outcome,
            Outcome::Delivered | Outcome::Rejected { .. } | Outcome::Error
        ) {
            let conns = s.conns.entry(route).or_default();
            (conns.idle, conns.since) = (conns.idle + 1, self.now);
        }
        let mut heard = outcome;
        if let Outcome::Rejected { wait } = outcome {
            if wait > 0 {
                let endpoint = apart.then_some(route);
                let until = self.now + wait;
                let told = s.waits.entry((dest, endpoint)).or_insert(0);
                *told = until.max(*told);
                see.see(
                    self.now,
                    &Fact::Wait {
                        sender,
                        dest,
                        endpoint,
                        until,
                    },
                );
            }
            if self.fault == Some(Fault::Waits) {
                heard = Outcome::Rejected { wait: 0 };
            }
        }
        let known = self.senders[usize::from(sender)].held.contains_key(&id);
        let finished = outcome == Outcome::Delivered;
        if known && finished {
            self.answer(sender, id, Verdict::Delivered, 0, see);
        }
        if known && self.fault == Some(Fault::Repeats) && unsure {
            // At once, in any building, and without the module.
            let routes = self.world.dests[usize::from(dest)].endpoints.clone();
            let other = routes
                .iter()
                .find(|r| **r != route)
                .copied()
                .unwrap_or(route);
            self.call(sender, (id, message, attempt), other, SECOND, true, see);
        }
        let event = Event::AttemptEnded {
            id,
            attempt,
            outcome: heard,
            took: self.now - sent,
            finished: finished || !known,
            report: Vec::new(),
        };
        self.module(sender, event, None, see);
    }

    // Partners.

    /// One way between a sender and a building.
    fn way(&mut self, sender: u16, zone: u16) -> Nanos {
        let network = &self.day.network;
        let home = self.world.homes[usize::from(sender)];
        let range = if home == zone {
            network.within_ms
        } else {
            network.across_ms
        };
        seconds(self.dice.network.from(range) / 1e3)
    }

    fn call_comes(&mut self, no: u32, see: &mut dyn See) {
        let Out {
            sender,
            life,
            route,
            sent,
            timeout,
            ..
        } = self.calls[no as usize];
        let gives_up = sent + timeout;
        if !self.is_of(sender, life) {
            self.spare.push(no);
            return;
        }
        let r = self.world.routes[route as usize].clone();
        let back = self.way(sender, r.zone);
        let over = |outcome| Ev::Over { call: no, outcome };
        if r.condition == Condition::Gone {
            return self.at(
                (self.now + back).min(gives_up),
                over(Outcome::ConnectFailed),
            );
        }
        let breaks = self.day.network.breaks;
        if self.dice.network.is(breaks) {
            return self.at((self.now + back).min(gives_up), over(Outcome::Reset));
        }
        let warned = {
            let s = &self.senders[usize::from(sender)];
            let of = (
                r.dest,
                self.world.dests[usize::from(r.dest)].apart.then_some(route),
            );
            s.warned.get(&of).is_some_and(|until| self.now < *until)
        };
        let Some((said, at, fell)) =
            self.world
                .call(route, self.now, warned, &mut self.dice.partners)
        else {
            return self.at(gives_up, over(Outcome::Timeout));
        };
        if let Some(warned) = fell {
            see.see(
                self.now,
                &Fact::Toppled {
                    dest: r.dest,
                    warned,
                },
            );
        }
        let outcome = match said {
            Said::Ok => Outcome::Delivered,
            Said::Error => Outcome::Error,
            Said::Full(wait) => Outcome::Rejected { wait },
        };
        let heard = at + back;
        if heard < gives_up {
            self.at(heard, over(outcome));
        } else {
            self.at(gives_up, over(Outcome::Timeout));
        }
    }

    // The directory.

    fn lateness(&mut self) -> Nanos {
        seconds(self.dice.directory.from(self.day.directory.late_s)) + self.behind
    }

    /// An endpoint is listed otherwise from now on; each sender hears of it late.
    fn change(&mut self, route: u32, condition: Condition) {
        self.world.routes[route as usize].condition = condition;
        self.changes.push((route, condition));
        let upto = self.changes.len();
        for sender in 0..self.senders.len() as u16 {
            let (life, at) = (
                self.senders[usize::from(sender)].life,
                self.now + self.lateness(),
            );
            self.at(at, Ev::News { sender, life, upto });
        }
    }

    fn news(&mut self, sender: u16, upto: usize, see: &mut dyn See) {
        if self.down {
            return self.lost(sender, see);
        }
        let s = &mut self.senders[usize::from(sender)];
        if s.blind || upto <= s.heard {
            return;
        }
        let news = self.changes[s.heard..upto].to_vec();
        s.heard = upto;
        let mut lines = Vec::new();
        for (route, condition) in news {
            self.hears(sender, route, condition, see);
            if self.fault != Some(Fault::Drains) || condition == Condition::Ready {
                lines.push(self.world.listing(route, condition));
            }
        }
        self.module(sender, Event::ListChanges(lines), None, see);
    }

    fn hears(&mut self, sender: u16, route: u32, condition: Condition, see: &mut dyn See) {
        let ready = condition == Condition::Ready;
        let gone = &mut self.senders[usize::from(sender)].gone;
        let changed = if ready {
            gone.remove(&route).is_some()
        } else {
            gone.insert(route, ()).is_none()
        };
        if changed {
            see.see(
                self.now,
                &Fact::Listed {
                    sender,
                    endpoint: route,
                    ready,
                },
            );
        }
    }

    /// A sender lost the directory, and asks again.
    fn lost(&mut self, sender: u16, see: &mut dyn See) {
        let s = &mut self.senders[usize::from(sender)];
        if !std::mem::replace(&mut s.blind, true) {
            self.module(sender, Event::ListFailed, None, see);
        }
        let (life, after) = (
            self.senders[usize::from(sender)].life,
            seconds(self.dice.directory.from(ASK_AGAIN)),
        );
        self.at(self.now + after, Ev::List { sender, life });
    }

    /// The list as a sender last had it, and the whole of it soon.
    fn list(&mut self, sender: u16, first: bool, see: &mut dyn See) {
        let heard = self.senders[usize::from(sender)].heard;
        let later: FxHashSet<u32> = self.changes[heard..].iter().map(|c| c.0).collect();
        let gone = &self.senders[usize::from(sender)].gone;
        let lines = (0..self.world.routes.len() as u32)
            .filter(|r| !gone.contains_key(r) && (!later.contains(r) || first))
            .map(|r| self.world.listing(r, Condition::Ready))
            .collect();
        self.module(sender, Event::CachedList(lines), None, see);
        let (life, at) = (
            self.senders[usize::from(sender)].life,
            self.now + self.lateness(),
        );
        self.at(at, Ev::List { sender, life });
    }

    fn whole(&mut self, sender: u16, see: &mut dyn See) {
        if self.down {
            return self.lost(sender, see);
        }
        let s = &mut self.senders[usize::from(sender)];
        (s.blind, s.heard) = (false, self.changes.len());
        let mut lines = Vec::new();
        for route in 0..self.world.routes.len() as u32 {
            let condition = self.world.routes[route as usize].condition;
            self.hears(sender, route, condition, see);
            let hidden = self.fault == Some(Fault::Drains) && condition != Condition::Ready;
            if condition != Condition::Gone || hidden {
                let told = if hidden { Condition::Ready } else { condition };
                lines.push(self.world.listing(route, told));
            }
        }
        self.module(sender, Event::List(lines), None, see);
    }

    // Trouble.

    fn trouble(&mut self, number: usize, begins: bool, see: &mut dyn See) {
        see.see(self.now, &Fact::Trouble { number, begins });
        let trouble = self.day.troubles[number].clone();
        let long = seconds(self.dice.troubles.from(trouble.for_s));
        let share = |sim: &mut Self, share| {
            let part = sim.dice.troubles.from(share);
            sim.world.share(&mut sim.dice.troubles, part)
        };
        match (trouble.what, begins) {
            (What::SendersDie { share }, true) => {
                let count =
                    (self.dice.troubles.from(share) * self.senders.len() as f64).round() as usize;
                let mut order: Vec<u16> = (0..self.senders.len() as u16).collect();
                self.dice.troubles.shuffle(&mut order);
                for sender in order.into_iter().take(count) {
                    self.at(self.now, Ev::Die { sender, down: long });
                }
            }
            (What::SendersRestart { down_s }, true) => {
                let step = long / self.senders.len().max(1) as u64;
                for sender in 0..self.senders.len() as u16 {
                    let down = seconds(self.dice.troubles.from(down_s));
                    self.at(
                        self.now + step * u64::from(sender),
                        Ev::Die { sender, down },
                    );
                }
            }
            (What::DirectoryBehind { by_s }, true) => {
                self.behind = seconds(self.dice.troubles.from(by_s))
            }
            (What::DirectoryBehind { .. }, false) => self.behind = 0,
            (What::DirectoryDown, _) => {
                self.down = begins;
                for sender in 0..self.senders.len() as u16 {
                    if begins && self.senders[usize::from(sender)].up {
                        self.lost(sender, see);
                    }
                }
            }
            (What::PartnersFail { share: of, calls }, true) => {
                let (hit, calls) = (share(self, of), self.dice.troubles.from(calls));
                self.each_route(&hit, |r, _| r.fails = (Nanos::MAX, calls));
                self.struck[number] = hit;
            }
            (What::PartnersHang { share: of }, true) => {
                let hit = share(self, of);
                self.each_route(&hit, |r, _| r.hangs = Nanos::MAX);
                self.struck[number] = hit;
            }
            (What::PartnersShut { share: of }, true) => {
                let hit = share(self, of);
                self.each_route(&hit, |_, limit| limit.shut(Nanos::MAX / 2));
                self.struck[number] = hit;
            }
            (
                What::PartnersFail { .. } | What::PartnersHang { .. } | What::PartnersShut { .. },
                false,
            ) => {
                let (hit, now) = (std::mem::take(&mut self.struck[number]), self.now);
                let mild = matches!(trouble.what, What::PartnersFail { .. });
                let mut cold = true;
                self.each_route(&hit, |r, limit| {
                    cold &= !mild || Limit::is_outage(r.fails.1);
                    (r.hangs, r.fails) = (0, (0, 0.0));
                    if cold {
                        limit.open(now);
                    }
                });
                for dest in hit.into_iter().filter(|_| cold) {
                    see.see(self.now, &Fact::Back { dest });
                }
            }
            (What::BuildingOut, begins) => {
                let zone = (number % usize::from(self.world.zones)) as u16;
                let now = self.now;
                for n in 0..self.world.routes.len() {
                    let limit = self.world.routes[n].limit as usize;
                    if self.world.routes[n].zone != zone {
                        continue;
                    }
                    if begins {
                        self.world.limits[limit].shut(Nanos::MAX / 2);
                    } else {
                        self.world.limits[limit].open(now);
                    }
                }
            }
            (What::Surge { partners, more }, true) => {
                let more = self.dice.troubles.from(more);
                self.surges
                    .push((more, self.world.largest(partners as usize)));
            }
            (What::Surge { .. }, false) => {
                if !self.surges.is_empty() {
                    self.surges.remove(0);
                }
            }
            (What::Replaced { share }, true) => {
                let part = self.dice.troubles.from(share);
                for n in 0..self.world.routes.len() as u32 {
                    if self.dice.troubles.is(part) {
                        self.replace(n, long);
                    }
                }
            }
            (What::Flood { .. }, begins) => {
                self.floods[number] = begins;
                for sender in 0..self.senders.len() as u16 {
                    if begins {
                        self.at(self.now, Ev::Flood { number, sender });
                    }
                }
            }
            (
                What::SendersDie { .. } | What::SendersRestart { .. } | What::Replaced { .. },
                false,
            ) => {}
        }
    }

    fn each_route(
        &mut self,
        hit: &[DestinationId],
        mut what: impl FnMut(&mut crate::world::Route, &mut crate::partner::Limit),
    ) {
        for dest in hit {
            for n in self.world.dests[usize::from(*dest)].endpoints.clone() {
                let route = &mut self.world.routes[n as usize];
                what(route, &mut self.world.limits[route.limit as usize]);
            }
        }
    }

    /// An endpoint drains, and another takes its place.
    fn replace(&mut self, old: u32, after: Nanos) {
        if self.world.routes[old as usize].condition != Condition::Ready {
            return;
        }
        let mut route = self.world.routes[old as usize].clone();
        let dest = usize::from(route.dest);
        if self.world.dests[dest].apart {
            let limit = self.world.limits[route.limit as usize].clone();
            self.world.limits.push(limit);
            route.limit = self.world.limits.len() as u32 - 1;
        }
        let new = self.world.routes.len() as u32;
        self.world.routes.push(route);
        self.world.dests[dest].endpoints.push(new);
        self.change(new, Condition::Ready);
        self.change(old, Condition::Draining);
        self.at(self.now + after, Ev::Remove { route: old });
    }

    fn die(&mut self, sender: u16, down: Nanos, see: &mut dyn See) {
        let s = &mut self.senders[usize::from(sender)];
        if !s.up {
            return;
        }
        // What is out may have run.
        for held in s.held.values_mut() {
            if let Some(out) = held.out.take() {
                let call = &self.calls[out as usize];
                held.ran
                    .get_or_insert((call.sent, self.world.routes[call.route as usize].zone));
            }
        }
        s.die(self.now);
        let life = s.life;
        see.see(self.now, &Fact::Died { sender });
        self.at(self.now + down.max(1), Ev::Begin { sender, life });
    }

    fn begin(&mut self, sender: u16, life: u32, see: &mut dyn See) {
        if self.senders[usize::from(sender)].life != life {
            return;
        }
        see.see(self.now, &Fact::Began { sender });
        let seed = self.dice.seeds.seed();
        let held = self.senders[usize::from(sender)].begin(seed);
        self.list(sender, false, see);
        for mut h in held {
            let wanted = self.messages[h.message as usize].clone();
            let id = self.senders[usize::from(sender)].number();
            let prior = PriorAttempts {
                attempts: h.attempts,
                may_have_run: h.ran.map(|(at, zone)| PossibleRun {
                    age: self.now - at,
                    zone,
                }),
            };
            h.since = self.now;
            self.senders[usize::from(sender)].again(id, h);
            if self.now >= wanted.by {
                // Its time ran out while nobody was there to answer; the checker counts from the
                // first moment there is.
                self.answer(sender, id, Verdict::Failed, 0, see);
                continue;
            }
            let event = Event::Resumed {
                message: Message {
                    id,
                    class: wanted.class,
                    dest: wanted.dest,
                    ttl: wanted.by - self.now,
                    ..Message::default()
                },
                prior,
            };
            self.module(sender, event, None, see);
        }
    }

    fn flood(&mut self, number: usize, sender: u16) {
        let What::Flood { per_second } = self.day.troubles[number].what else {
            return;
        };
        if !self.floods[number] {
            return;
        }
        let s = &mut self.senders[usize::from(sender)];
        if s.up {
            let life = s.life;
            if let Some(seat) = s.seat(self.now, flood(), accept_queue::Comes::Silent) {
                self.at(
                    self.now + FLOOD_HOLDS,
                    Ev::FloodLeaves { sender, life, seat },
                );
            }
        }
        let gap = seconds(self.dice.troubles.gap(1.0 / per_second.max(1e-9)));
        self.at(self.now + gap.max(1), Ev::Flood { number, sender });
    }
}
