//! The agent in a sender: its session with the keepers, what it tells them, and what it follows.
//!
//! [`machine`] decides, with a [`register`] for policies and one for routing tables; [`ledger`]
//! counts; none of them does any I/O. [`Agent`] carries the words, hands orders to the desk, and
//! has the house go by policies and tables that a [`shelf`] each keeps. Where no keeper can be
//! reached the sender does as it did alone, but for what [`file::File::policy`] and
//! [`file::File::table`] say.

pub mod call_statistics;
pub mod config;
pub mod document_store;
pub mod register;
pub mod session;

use crate::coordination::framing::{self, FrameError};
use crate::coordination::messages::{
    AgentToReplica, Digest, Handshake, ListedZoneCapacity, PeerRole, ReplicaToAgent,
    MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use crate::delivery::admission::AdmissionState;
use crate::delivery::endpoint::Endpoint;
use crate::delivery::evacuation::{AttemptLease, EvacuationOrder};
use crate::delivery::message::DeliveryContext;
use crate::delivery::policies::PolicySet as Policies;
use crate::delivery::routing_tables::RoutingTables;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{duration, DeliveryObserver, LifecycleEvent};
use crate::{Nanos, Outcome};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use config::File;
use document_store::{Kept, Shelf};
use futures_lite::FutureExt;
use register::{Kind, Register, Without};
use session::{Entrance, Machine, Needs, Out, Terms};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A keeper's machine that has not taken a connection within this time is not there.
const CONNECT: Duration = Duration::from_secs(1);
/// Words that may wait for a connection: an open, a report, a leave, and what is said of policies
/// and tables, some of it twice.
const WORDS: usize = 20;
/// Policies and tables that wait to be checked; what is offered beside them is offered again.
const CHECKS: usize = 8;
/// Words of keepers that may wait to be read.
const HEARD: usize = 64;
/// The sender's end waits so long until its last word is written.
const LAST_WORD: Duration = Duration::from_millis(100);

/// What happened on a connection.
enum Heard {
    Word(ReplicaToAgent),
    Lost(FrameError),
}

/// The same with the name of the connection.
type Named = (u64, Heard);

/// What an agent works with.
pub struct Parts {
    /// Name of the sender.
    pub sender: String,
    /// Drawn for this process.
    pub seed: u64,
    /// What was left and is ordered no more comes back over this time.
    pub warm_after: Nanos,
    /// The house: its desk, its list, its timers, what it takes messages on under.
    pub context: Rc<DeliveryContext>,
    /// The policies that are written down, where it follows them.
    pub policies: Option<Shelf<Policies>>,
    /// The same of routing tables.
    pub tables: Option<Shelf<RoutingTables>>,
    /// Where its parts run.
    pub executor: Rc<LocalExecutor<'static>>,
}

/// What is to be checked and written down.
type Check = (Kind, u64, Digest, String);

/// The agent.
pub struct Agent {
    file: File,
    parts: Parts,
    start: Instant,
    machine: RefCell<Machine>,
    /// Words for the connection that stands.
    words: RefCell<Option<Sender<AgentToReplica>>>,
    heard: (Sender<Named>, Receiver<Named>),
    checks: (Sender<Check>, Receiver<Check>),
    /// The policy and the table that were gone by last, and a bell for the shelves to note them.
    last: (Cell<u64>, Cell<u64>),
    gone_by: (Sender<()>, Receiver<()>),
    /// Destinations of which it was told that they are kept in use.
    kept: RefCell<BTreeSet<u16>>,
    ended: Cell<bool>,
}

impl Needs for Parts {
    fn waiting(&self, dest: u16) -> u32 {
        self.context.driver.waiting_messages(dest) as u32
    }

    fn left(&self, zone: &str, dest: u16) -> u32 {
        self.context.directory.leased_attempts_left(zone, dest)
    }
}

/// A call that is out.
struct Call {
    agent: Rc<Agent>,
    name: u64,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.agent.machine.borrow_mut().ledger.back(self.name);
    }
}

/// What the desk tells of calls.
struct Eye(Rc<Agent>);

impl DeliveryObserver for Eye {
    fn attempt_started(&self, provider: &Rc<Endpoint>) -> Box<dyn Any> {
        let (now, entry) = (self.0.now(), &provider.entry);
        let name = self
            .0
            .machine
            .borrow_mut()
            .ledger
            .out(now, &entry.zone, entry.dest);
        Box::new(Call {
            agent: self.0.clone(),
            name,
        })
    }

    fn attempt_ended(&self, provider: &Endpoint, outcome: Outcome, took: Duration) {
        let (entry, took) = (&provider.entry, took.as_nanos() as Nanos);
        self.0
            .machine
            .borrow_mut()
            .ledger
            .ended(&entry.zone, entry.dest, outcome, took);
    }

    fn on_lifecycle_event(&self, policy: u64, class: u16, tenant: u16, life: LifecycleEvent) {
        let class = self
            .0
            .parts
            .context
            .class_names
            .get(usize::from(class))
            .map_or("", String::as_str);
        self.0
            .machine
            .borrow_mut()
            .ledger
            .life(policy, class, tenant, life);
    }
}

impl Agent {
    /// Starts one, which runs for as long as the process lives. Where it follows policies nothing
    /// is taken on before it is known under which.
    pub fn start(file: File, parts: Parts) -> Rc<Agent> {
        let terms = Terms {
            sender: parts.sender.clone(),
            boot: parts.seed,
            zone: file.zone.clone(),
            keepers: file.keepers.keys().copied().collect(),
            report: file.report.as_nanos() as Nanos,
            warm_after: parts.warm_after,
        };
        let last = (
            parts.policies.as_ref().map_or(0, Shelf::last),
            parts.tables.as_ref().map_or(0, Shelf::last),
        );
        let mut machine = Machine::new(terms, parts.seed, 0);
        let followed = [
            follows(Kind::Policy, file.policy, parts.policies.as_ref()),
            follows(Kind::Table, file.table, parts.tables.as_ref()),
        ];
        for register in followed.into_iter().flatten() {
            parts.context.admission.set(AdmissionState::Fenced);
            machine = machine.following(register);
        }
        // What an earlier process took on goes by the table that it went by, before any keeper is
        // heard.
        if file.table.is_some() && last.1 != 0 && !parts.context.activate_routing_table(last.1) {
            log::warn!(
                "fleet: table {}, which was gone by last, is not here; what is held goes by the list",
                last.1
            );
        }
        let agent = Rc::new(Agent {
            file,
            parts,
            start: Instant::now(),
            machine: RefCell::new(machine),
            words: RefCell::default(),
            heard: async_channel::bounded(HEARD),
            checks: async_channel::bounded(CHECKS),
            last: (Cell::new(last.0), Cell::new(last.1)),
            gone_by: async_channel::bounded(1),
            kept: RefCell::default(),
            ended: Cell::new(false),
        });
        agent
            .parts
            .context
            .driver
            .set_observer(Rc::new(Eye(agent.clone())));
        // What follows from the policy that it last went by, if it goes by that alone, counts
        // before the first message comes.
        let mut out = Vec::new();
        agent.machine.borrow_mut().tick(0, &agent.parts, &mut out);
        agent.act(out);
        let (running, checking, noting) = (agent.clone(), agent.clone(), agent.clone());
        agent
            .parts
            .executor
            .spawn(async move { running.run().await })
            .detach();
        if agent.parts.policies.is_some() || agent.parts.tables.is_some() {
            agent
                .parts
                .executor
                .spawn(async move { checking.check().await })
                .detach();
            agent
                .parts
                .executor
                .spawn(async move { noting.note().await })
                .detach();
        }
        agent
    }

    /// Says that the sender ends, if anybody listens.
    pub async fn leave(&self) {
        let mut out = Vec::new();
        self.machine.borrow_mut().leave(&mut out);
        self.ended.set(true);
        let words = self.words.borrow_mut().take();
        let Some(words) = words else { return };
        for word in out {
            if let Out::Say(word) = word {
                let _ = words.try_send(word);
            }
        }
        // The connection ends once its words are written, and closes the channel.
        words.close();
        let written = async {
            while !words.is_empty() {
                self.parts
                    .context
                    .wheel
                    .sleep(Duration::from_millis(5))
                    .await;
            }
        };
        self.parts.context.wheel.timeout(LAST_WORD, written).await;
    }

    fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as Nanos
    }

    fn at(&self, time: Nanos) -> Instant {
        self.start + duration(time)
    }

    async fn run(self: Rc<Self>) {
        loop {
            let changed = self.parts.context.driver.list_changed();
            self.machine.borrow_mut().list(self.listed());
            let mut listed = Some(changed);
            while let Some(changed) = listed.take() {
                let mut out = Vec::new();
                self.machine
                    .borrow_mut()
                    .tick(self.now(), &self.parts, &mut out);
                self.act(out);
                self.parts.context.driver.apply_evacuation_changes();
                self.tell_kept();
                let next = self.machine.borrow().next();
                // A tick of the wheel ahead, where nothing is to be done for long.
                let next = self.at(next.min(self.now() + 3_600_000_000_000));
                let next = self
                    .parts
                    .context
                    .directory
                    .next_expiry()
                    .map_or(next, |at| at.min(next));
                let wheel = &self.parts.context.wheel;
                let mut changed = changed;
                let told = async {
                    (&mut changed).await;
                    None
                };
                let due = async {
                    wheel.sleep_until(next).await;
                    Some(None)
                };
                let heard = async { Some(self.heard.1.recv().await.ok()) };
                match told.or(heard).or(due).await {
                    None => break,
                    Some(None) => {}
                    Some(Some((line, heard))) => self.hear(line, heard),
                }
                listed = Some(changed);
            }
        }
    }

    /// Checks what is offered, one by one.
    async fn check(self: Rc<Self>) {
        while let Ok(check) = self.checks.1.recv().await {
            match check.0 {
                Kind::Policy => self.check_one(self.parts.policies.as_ref(), check).await,
                Kind::Table => self.check_one(self.parts.tables.as_ref(), check).await,
            }
        }
    }

    async fn check_one<K: Kept>(self: &Rc<Self>, shelf: Option<&Shelf<K>>, check: Check) {
        let (Some(shelf), (kind, number, digest, text)) = (shelf, check) else {
            return;
        };
        let needs = self.machine.borrow_mut().needs(kind);
        let checked = match shelf.make_room(number, needs) {
            Ok(forgotten) => {
                self.machine.borrow_mut().forget(kind, &forgotten);
                shelf.add(number, digest, text, forgotten).await
            }
            Err(why) => Err(why),
        };
        let mut out = Vec::new();
        self.machine
            .borrow_mut()
            .checked(self.now(), kind, number, checked, &mut out);
        self.act(out);
    }

    /// Notes what is gone by.
    async fn note(self: Rc<Self>) {
        let mut noted = (self.last.0.get(), self.last.1.get());
        while self.gone_by.1.recv().await.is_ok() {
            let last = (self.last.0.get(), self.last.1.get());
            if let Some(shelf) = self.parts.policies.as_ref().filter(|_| noted.0 != last.0) {
                shelf.goes_by(last.0).await;
            }
            if let Some(shelf) = self.parts.tables.as_ref().filter(|_| noted.1 != last.1) {
                shelf.goes_by(last.1).await;
            }
            noted = last;
        }
    }

    /// Takes messages on as it is told: the policy and the table count from the turn in which the
    /// door opens.
    fn admit(&self, entrance: Entrance) {
        let context = &self.parts.context;
        let door = match entrance {
            Entrance::Paused => AdmissionState::Paused,
            Entrance::Fenced => AdmissionState::Fenced,
            Entrance::Open {
                policy,
                table,
                until,
            } => {
                let (begun, held) = (Instant::now(), context.driver.held_count());
                let policies = (
                    Kind::Policy,
                    policy,
                    context.policies.current().number,
                    &self.last.0,
                );
                let tables = (
                    Kind::Table,
                    table,
                    context.routing_tables.current_number(),
                    &self.last.1,
                );
                for (kind, number, current, last) in [policies, tables] {
                    let Some(number) = number else { continue };
                    if number != current {
                        let known = match kind {
                            Kind::Policy => context.activate_policy(number),
                            Kind::Table => context.activate_routing_table(number),
                        };
                        let name = kind.name();
                        if !known {
                            log::error!("fleet: {name} {number} is not known; nothing is taken on");
                            return context.admission.set(AdmissionState::Fenced);
                        }
                        let took = begun.elapsed();
                        log::info!(
                            "fleet: goes by {name} {number} with {held} messages held, after {took:?}"
                        );
                    }
                    if last.replace(number) != number {
                        // A bell that rings already is heard.
                        let _ = self.gone_by.0.try_send(());
                    }
                }
                AdmissionState::Open {
                    until: until.map(|until| self.at(until)),
                }
            }
        };
        context.admission.set(door);
    }

    fn hear(self: &Rc<Self>, line: u64, heard: Heard) {
        let (now, mut out) = (self.now(), Vec::new());
        match heard {
            Heard::Word(word) => self.machine.borrow_mut().hear(now, line, word, &mut out),
            Heard::Lost(e) => {
                log::debug!("fleet: connection {line}: {e}");
                self.machine.borrow_mut().lost(now, line);
            }
        }
        self.act(out);
    }

    fn act(self: &Rc<Self>, out: Vec<Out>) {
        if self.ended.get() {
            return;
        }
        let driver = &self.parts.context.driver;
        for out in out {
            match out {
                Out::Connect { line, keeper } => self.connect(line, keeper),
                Out::HangUp => *self.words.borrow_mut() = None,
                // A connection that takes no words is silent, and given up as such.
                Out::Say(word) => self
                    .words
                    .borrow()
                    .iter()
                    .for_each(|w| drop(w.try_send(word.clone()))),
                Out::Stand(orders) => {
                    let orders = orders.into_iter().map(|o| EvacuationOrder {
                        zone: o.zone,
                        dest: o.dest,
                        epoch: o.epoch,
                        until: o.until.map(|until| self.at(until)),
                    });
                    driver.set_evacuations(orders.collect());
                }
                Out::Lend {
                    zone,
                    dest,
                    epoch,
                    calls,
                    until,
                } => {
                    log::debug!(
                        "fleet: lent {calls} calls of epoch {epoch} to destination {dest} of zone {zone}"
                    );
                    driver.grant_lease(
                        &zone,
                        dest,
                        epoch,
                        AttemptLease {
                            attempts: calls,
                            until: self.at(until),
                        },
                    );
                }
                // What finds no room is offered again.
                Out::Check {
                    kind,
                    number,
                    digest,
                    text,
                } => {
                    let _ = self.checks.0.try_send((kind, number, digest, text));
                }
                Out::Admit(entrance) => self.admit(entrance),
                Out::Note(line) => log::info!("fleet: {line}"),
            }
        }
    }

    fn tell_kept(&self) {
        let kept = self.parts.context.directory.kept_destinations();
        for dest in kept.difference(&self.kept.borrow()) {
            log::warn!("fleet: destination {dest} stays in use: it has no other route than those that are ordered left");
        }
        *self.kept.borrow_mut() = kept;
    }

    fn listed(&self) -> Vec<ListedZoneCapacity> {
        let offers = self.parts.context.directory.capacity_by_zone().into_iter();
        offers
            .map(|o| ListedZoneCapacity {
                zone: o.zone,
                dest: o.dest,
                endpoints: o.endpoints,
                calls_per_second: o.rate,
            })
            .collect()
    }

    fn connect(self: &Rc<Self>, line: u64, keeper: u64) {
        let Some(at) = self.file.keepers.get(&keeper).copied() else {
            return;
        };
        let (words, said) = async_channel::bounded(WORDS);
        *self.words.borrow_mut() = Some(words);
        let hello = Handshake {
            version: PROTOCOL_VERSION,
            site: self.file.site.clone(),
            role: PeerRole::Agent,
        };
        let (heard, wheel) = (self.heard.0.clone(), self.parts.context.wheel.clone());
        let talk = async move {
            let ended = talk(at, hello, line, said, &heard, &wheel).await;
            let ended = ended.err().unwrap_or(FrameError::Closed);
            let _ = heard.send((line, Heard::Lost(ended))).await;
        };
        self.parts.executor.spawn(talk).detach();
    }
}

/// The register of what a sender follows, if it does.
fn follows<K: Kept>(
    kind: Kind,
    without: Option<Without>,
    shelf: Option<&Shelf<K>>,
) -> Option<Register> {
    let (without, shelf) = without.zip(shelf)?;
    Some(Register::new(kind, without, shelf.stored(), shelf.last()))
}

/// One connection: says what it is given and passes on what it hears, until it breaks or is hung
/// up.
async fn talk(
    at: SocketAddr,
    hello: Handshake,
    line: u64,
    said: Receiver<AgentToReplica>,
    heard: &Sender<Named>,
    wheel: &Rc<TimerWheel>,
) -> Result<(), FrameError> {
    let connected = wheel
        .timeout(CONNECT, Async::<TcpStream>::connect(at))
        .await;
    let stream = connected.ok_or(io::Error::from(io::ErrorKind::TimedOut))??;
    stream.get_ref().set_nodelay(true)?;
    let (mut reads, mut writes) = (&stream, &stream);
    let saying = async {
        framing::write(&mut writes, &hello, MAX_FRAME_BYTES).await?;
        // What was said before somebody hung up is still written.
        while let Ok(word) = said.recv().await {
            framing::write(&mut writes, &word, MAX_FRAME_BYTES).await?;
        }
        Ok(())
    };
    let hearing = async {
        loop {
            let word = framing::read(&mut reads, MAX_FRAME_BYTES).await?;
            if heard.send((line, Heard::Word(word))).await.is_err() {
                return Ok(());
            }
        }
    };
    saying.or(hearing).await
}
