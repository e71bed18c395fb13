//! Carries the machines: sockets, the log's thread, time. One task owns all that decides; the others bring it what came in
//! and take away what goes out.

use super::begin::{admit, Begin, Heard};
use super::config::Config;
use super::frames::{self, Broken};
use super::group::{Event, Group, Member, ELECTION};
use super::log::{Identity, Keep, Piece, Unsaved, BASE_MOST};
use super::office::{Line, Office, Out};
use super::record::Command;
use super::table::voice::Voice;
use super::wire::{FromAgent, FromPerson, Hello, Status, TableOrder, ToAgent, ToPerson, Who, MOST, VERSION};
use crate::core::wheel::Wheel;
use crate::store::disk::Folder;
use crate::store::worker::{Lent, Worker};
use crate::Time;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::io::split;
use futures_lite::{AsyncWriteExt, FutureExt, StreamExt};
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use rustix::fs::{flock, FlockOperation};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::hash::{BuildHasher, Hasher};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

mod sites;

/// Longest frame between keepers: a snapshot, and what is said with it.
const PEER_MOST: usize = BASE_MOST + 64 * 1024;
/// Most lines at once, where the system allows so many descriptors.
const LINES: u64 = 4096;
/// Descriptors that are none of lines: files, peers, signals.
const OTHERS: u64 = 64;
/// Words that wait to be decided upon; whoever brings more waits.
const INBOX: usize = 1024;
/// Words that wait for a line: an agent that reads so slowly is dropped.
const QUEUE: usize = 32;
/// Messages that wait for another keeper; more are lost, as on any net.
const PEER_QUEUE: usize = 256;
/// Connections that wait to be accepted: as many agents may come at once.
const BACKLOG: i32 = 1024;
/// To say who one is, and to connect.
const INTRODUCTION: Duration = Duration::from_secs(2);
/// A line on which nobody says anything for so long is ended; sessions hold for less.
const IDLE: Duration = Duration::from_secs(60);
/// One that does not take a word for so long is ended.
const STUCK: Duration = Duration::from_secs(5);
/// Between two signs of life to a keeper that sends, and how long it waits for one.
const PULSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(2_500));
/// Between two attempts to reach a keeper; the real time is drawn from there to twice as long.
const AGAIN: Duration = Duration::from_millis(100);
/// Between two attempts to write what found no room, and to accept where there is no descriptor.
const LATER: Duration = Duration::from_millis(100);
/// What is wrong between two keepers counts as over when it was not seen for so long; lines are tried more often than that.
const LASTS: Duration = Duration::from_secs(10);
/// Most of that which is held at once: numbers of keepers that others only claim count, too.
const WRONGS: usize = 64;
/// At its end a leader waits so long for another one.
const FAREWELL: Duration = Duration::from_millis(400);

/// What keepers say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Peer {
    /// The folder of the one that connected.
    Me { incarnation: u64 },
    /// It is known, and written down. And the folder of the one that answers.
    Known { incarnation: u64 },
    /// It is not heard, and why.
    Refused(String),
    /// A sign of life.
    Pulse,
    /// A message of the group.
    Raft(ByteBuf),
}

/// What comes in.
enum In {
    /// A keeper connected.
    Came { keeper: u64, incarnation: u64, answer: Sender<Peer>, alive: Sender<()> },
    /// A keeper answered.
    Answered { keeper: u64, word: Peer },
    /// A keeper was asked for its folder, in order to add it.
    Asked { line: Line, keeper: u64, at: String, folder: Result<u64, String> },
    /// A message of the group.
    Raft { keeper: u64, bytes: Vec<u8> },
    /// A line of an agent or a person.
    Opened { line: Line, queue: Sender<Vec<u8>> },
    /// An agent says something.
    Agent(Line, FromAgent),
    /// A person orders something.
    Person(Line, FromPerson),
    /// A line is gone.
    Gone(Line),
    /// Something of another site.
    Site(sites::Site),
}

/// What a task needs to bring something in.
#[derive(Clone)]
struct Door {
    inbox: Sender<In>,
    wheel: Rc<Wheel>,
    site: Rc<str>,
    keeper: u64,
    incarnation: u64,
    /// The federation, and the site's number there.
    federation: Option<(Rc<str>, u64)>,
    /// Lines that are open, and how many may be.
    open: Rc<Cell<u64>>,
    most: u64,
    next: Rc<Cell<Line>>,
}

/// Counts a line for as long as it lives.
struct Seat(Rc<Cell<u64>>);

impl Seat {
    fn take(door: &Door) -> Option<Seat> {
        let open = door.open.get();
        (open < door.most).then(|| {
            door.open.set(open + 1);
            Seat(door.open.clone())
        })
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What is known of the line to another keeper.
#[derive(Default)]
struct Reach {
    up: Cell<bool>,
    /// Why there is none.
    why: RefCell<String>,
    /// When that was last told, and what.
    told: RefCell<Option<(Instant, String)>>,
}

/// Another keeper that this one sends to.
struct Outgoing {
    queue: Sender<Vec<u8>>,
    at: SocketAddr,
    reach: Rc<Reach>,
    /// Ends the line when it is dropped.
    _task: Task<()>,
}

/// Why two keepers with a line between them do not take part in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wrong {
    /// One that came in this one's name is refused.
    Came,
    /// What answers at its address is another one.
    Answers,
    /// It refuses this one.
    Shut,
    /// The same between two sites.
    SiteCame,
    /// See above.
    SiteAnswers,
    /// See above.
    SiteShut,
}

/// What was to be written, and what came of it.
type Wrote = (Piece, Result<(), Unsaved>);

enum Stage {
    Begins(Box<Begin>),
    Takes(Box<Group>),
}

struct Driver {
    config: Config,
    door: Door,
    executor: Rc<LocalExecutor<'static>>,
    stage: Stage,
    office: Option<Office>,
    /// When a leader's beat was seen in the record last, while there was a leader.
    led: Option<Time>,
    /// Lent to its thread while that writes.
    keep: Lent<Keep, Piece, Result<(), Unsaved>>,
    /// Nothing is acknowledged since then: what is to be written finds no room.
    full: Option<Instant>,
    /// What found no room, and when it is tried again.
    again: Option<(Piece, Instant)>,
    start: Instant,
    ticked: Instant,
    lines: BTreeMap<Line, Sender<Vec<u8>>>,
    /// Persons that wait for an answer.
    asked: BTreeSet<Line>,
    /// Who ordered that this keeper comes or goes, and the entry that adds it: that is done when it has it.
    changing: Option<(Line, u64, Option<u64>)>,
    outgoing: BTreeMap<u64, Outgoing>,
    incoming: BTreeMap<u64, Sender<()>>,
    /// Addresses that keepers may speak from.
    allowed: Rc<RefCell<BTreeSet<IpAddr>>>,
    /// When it was last seen, and why.
    wrong: BTreeMap<(u64, Wrong), (Instant, String)>,
    removed: bool,
    /// The site's part in its federation, as long as this keeper leads it.
    voice: Option<Voice>,
    sites: sites::Sites,
}

/// What no other can know.
fn draw() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Runs a keeper until it is told to end. All that keeps it from starting, or from going on, is told.
pub fn run(config: Config) -> Result<(), String> {
    let folder = config.state.display().to_string();
    let said = |e: &dyn std::fmt::Display| format!("state: {folder}: {e}");
    fs::create_dir_all(&config.state).map_err(|e| said(&e))?;
    let lock = File::open(&config.state).map_err(|e| said(&e))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|_| said(&"in use by another process"))?;
    let disk = Arc::new(Folder::new(&config.state));
    let (keep, found) = Keep::open(disk, config.disk, draw()).map_err(|e| said(&e))?;
    let base = match found {
        Some(base) if base.identity.site != config.site || base.identity.keeper != config.keeper => {
            let other = super::log::Unusable::Other(base.identity.keeper, base.identity.site);
            return Err(said(&other));
        }
        Some(base) => base,
        None => {
            let (site, keeper) = (config.site.clone(), config.keeper);
            let identity = Identity { site, keeper, incarnation: draw() };
            match config.begin {
                true => Begin::empty(identity, config.peers.keys().copied()),
                false => Begin::joining(identity),
            }
        }
    };
    let executor = Rc::new(LocalExecutor::new());
    let served = serve(config, keep, base, executor.clone());
    async_io::block_on(executor.run(served))
}

/// How many lines may be open: as many descriptors as the system gives when it is asked for more.
fn most_lines() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let wanted = limit.maximum.unwrap_or(LINES + OTHERS).min(LINES + OTHERS);
    if limit.current.is_some_and(|now| now < wanted) {
        let _ = setrlimit(Resource::Nofile, Rlimit { current: Some(wanted), maximum: limit.maximum });
    }
    getrlimit(Resource::Nofile).current.unwrap_or(wanted).saturating_sub(OTHERS).min(LINES)
}

async fn serve(
    config: Config,
    keep: Keep,
    base: super::log::Base,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    let mut ending = Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))?;
    let listener =
        Async::<TcpListener>::bind(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    rustix::net::listen(&listener, BACKLOG).map_err(|e| format!("listen: {e}"))?;
    let at = listener.get_ref().local_addr().map_err(|e| format!("listen: {e}"))?;
    let wheel = Wheel::new();
    let (inbox, coming) = async_channel::bounded(INBOX);
    let door = Door {
        inbox,
        wheel: wheel.clone(),
        site: config.site.as_str().into(),
        keeper: config.keeper,
        incarnation: base.identity.incarnation,
        federation: config.federation.as_ref().map(|f| ((&*f.name).into(), f.number)),
        open: Rc::default(),
        most: most_lines(),
        next: Rc::default(),
    };
    log::info!("keeper {} of {}: listens at {at}", config.keeper, config.site);
    let now = Instant::now();
    let stage = match base.begun {
        true => Stage::Takes(Box::new(Group::new(base, draw()).map_err(|e| e.to_string())?)),
        false => Stage::Begins(Box::new(Begin::new(base))),
    };
    let mut driver = Driver {
        door: door.clone(),
        executor: executor.clone(),
        stage,
        office: None,
        led: None,
        keep: Lent::new(Worker::start().map_err(|e| e.to_string())?, keep, Keep::save),
        full: None,
        again: None,
        start: now,
        ticked: now,
        lines: BTreeMap::new(),
        asked: BTreeSet::new(),
        changing: None,
        outgoing: BTreeMap::new(),
        incoming: BTreeMap::new(),
        allowed: Rc::default(),
        wrong: BTreeMap::new(),
        removed: false,
        voice: None,
        sites: sites::Sites::default(),
        config,
    };
    let turning = wheel.clone();
    executor.spawn(async move { turning.turn().await }).detach();
    driver.connect();
    driver.connect_sites();
    let (allowed, sites) = (driver.allowed.clone(), driver.sites.allowed.clone());
    let gate = Gate { door, config: driver.config.clone(), allowed, sites };
    executor.spawn(gate.accept(listener, executor.clone())).detach();
    driver.first().await?;
    driver.fits()?;
    let ended = async {
        ending.next().await;
        Ok(())
    };
    let ended = driver.go_on(&coming, None).or(ended).await;
    ended?;
    let who = format!("keeper {} of {}", driver.config.keeper, driver.config.site);
    log::info!("{who}: told to end");
    driver.farewell(&coming).await?;
    log::info!("{who}: ends");
    Ok(())
}

/// Takes connections.
struct Gate {
    door: Door,
    config: Config,
    allowed: Rc<RefCell<BTreeSet<IpAddr>>>,
    sites: Rc<RefCell<BTreeSet<IpAddr>>>,
}

/// Who may speak from an address.
#[derive(Clone, Copy)]
struct May {
    agent: bool,
    keeper: bool,
    site: bool,
}

impl Gate {
    async fn accept(self, listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>) {
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(come) => come,
                Err(e) => {
                    log::warn!("keeper: accept: {e}");
                    self.door.wheel.sleep(LATER).await;
                    continue;
                }
            };
            let from = from.ip().to_canonical();
            let (agent, keeper) = (self.config.may_ask(from), self.allowed.borrow().contains(&from));
            let may = May { agent, keeper, site: self.sites.borrow().contains(&from) };
            if !may.agent && !may.keeper && !may.site {
                log::warn!("keeper: {from} may not speak here");
                continue;
            }
            let Some(seat) = Seat::take(&self.door) else {
                log::warn!("keeper: {} lines are open, more may not be", self.door.most);
                continue;
            };
            let _ = stream.get_ref().set_nodelay(true);
            let door = self.door.clone();
            let line = async move {
                let _seat = seat;
                if let Err(e) = hear(door, stream, may).await {
                    log::debug!("keeper: a line of {from}: {e}");
                }
            };
            executor.spawn(line).detach();
        }
    }
}

/// Work that has to be done in time.
async fn within<T>(
    wheel: &Rc<Wheel>,
    time: Duration,
    work: impl std::future::Future<Output = Result<T, Broken>>,
) -> Result<T, Broken> {
    let late = || Broken::Io(std::io::ErrorKind::TimedOut.into());
    wheel.limit(time, work).await.unwrap_or_else(|| Err(late()))
}

/// A line that somebody opened.
async fn hear(door: Door, mut stream: Async<TcpStream>, may: May) -> Result<(), Broken> {
    let May { agent, keeper, site } = may;
    let hello: Hello = within(&door.wheel, INTRODUCTION, frames::read(&mut stream, MOST)).await?;
    if let Who::Site(number) = hello.who {
        let here = door.federation.as_ref().filter(|(name, me)| hello.admit(name).is_ok() && number != *me);
        return match here {
            Some(_) if site => sites::hear_site(door, stream, number).await,
            _ => sites::shut_out(&door, stream).await,
        };
    }
    let admitted = hello.admit(&door.site);
    let denied = || Broken::Io(std::io::ErrorKind::PermissionDenied.into());
    match (hello.who, admitted) {
        (Who::Keeper(_), Err(e)) => shut_out(&door, stream, e, format!("of site {:?}", door.site)).await,
        (_, Err(e)) => Err(e),
        (Who::Keeper(n), _) if keeper => hear_keeper(door, stream, n).await,
        (Who::Keeper(_), _) => {
            shut_out(&door, stream, denied(), "that knows no keeper at its address".into()).await
        }
        (Who::Agent, _) if agent => hear_line(door, stream, In::Agent).await,
        (Who::Person, _) if agent => hear_line(door, stream, In::Person).await,
        _ => Err(denied()),
    }
}

/// Tells a keeper that came to the wrong one what it came to: it would try again without a word.
async fn shut_out(
    door: &Door,
    mut stream: Async<TcpStream>,
    why: Broken,
    what: String,
) -> Result<(), Broken> {
    let word = Peer::Refused(format!("it came to a keeper {what}, form {VERSION}"));
    within(&door.wheel, STUCK, frames::write(&mut stream, &word, PEER_MOST)).await?;
    Err(why)
}

/// Another keeper's line: it sends, and this one says that it lives.
async fn hear_keeper(door: Door, mut stream: Async<TcpStream>, keeper: u64) -> Result<(), Broken> {
    let me = within(&door.wheel, INTRODUCTION, frames::read(&mut stream, PEER_MOST)).await?;
    let Peer::Me { incarnation } = me else { return Ok(()) };
    let (answer, answered) = async_channel::bounded(1);
    let (alive, ended) = async_channel::bounded::<()>(1);
    let came = In::Came { keeper, incarnation, answer, alive };
    let _ = door.inbox.send(came).await;
    let Ok(word) = answered.recv().await else { return Ok(()) };
    within(&door.wheel, STUCK, frames::write(&mut stream, &word, PEER_MOST)).await?;
    if !matches!(word, Peer::Known { .. }) {
        return Ok(());
    }
    let raft = |word| match word {
        Peer::Raft(bytes) => Ok(In::Raft { keeper, bytes: bytes.into_vec() }),
        other => Err(Broken::Io(std::io::Error::other(format!("{other:?} from a keeper")))),
    };
    hear_words(&door, stream, (&Peer::Pulse, PEER_MOST), &ended, raft).await
}

/// Brings in what another one says, and tells it that this one lives, until the line breaks or another one takes its place.
async fn hear_words<T: Serialize + serde::de::DeserializeOwned>(
    door: &Door,
    stream: Async<TcpStream>,
    (pulse, most): (&T, usize),
    ended: &Receiver<()>,
    bring: impl Fn(T) -> Result<In, Broken>,
) -> Result<(), Broken> {
    let (mut from, mut to) = split(stream);
    let reading = async {
        loop {
            let word = bring(frames::read(&mut from, most).await?)?;
            let _ = door.inbox.send(word).await;
        }
    };
    let living = async {
        loop {
            within(&door.wheel, STUCK, frames::write(&mut to, pulse, most)).await?;
            door.wheel.sleep(PULSE.0).await;
        }
    };
    let replaced = async {
        let _ = ended.recv().await;
        Ok(())
    };
    reading.or(living).or(replaced).await
}

/// The line of an agent or a person.
async fn hear_line<T: serde::de::DeserializeOwned>(
    door: Door,
    stream: Async<TcpStream>,
    bring: fn(Line, T) -> In,
) -> Result<(), Broken> {
    let line = door.next.get() + 1;
    door.next.set(line);
    let (queue, going) = async_channel::bounded::<Vec<u8>>(QUEUE);
    let _ = door.inbox.send(In::Opened { line, queue }).await;
    let (mut from, mut to) = split(stream);
    let (inbox, wheel) = (door.inbox.clone(), door.wheel.clone());
    let reading = async {
        loop {
            let word = within(&wheel, IDLE, frames::read(&mut from, MOST)).await?;
            let _ = inbox.send(bring(line, word)).await;
        }
    };
    let writing = async {
        while let Ok(bytes) = going.recv().await {
            within(&wheel, STUCK, async { Ok(to.write_all(&bytes).await?) }).await?;
        }
        Ok(())
    };
    let ended = writing.or(reading).await;
    let _ = door.inbox.send(In::Gone(line)).await;
    ended
}

/// Introduces itself to another keeper.
async fn introduce(door: &Door, at: SocketAddr) -> Result<(Async<TcpStream>, Peer), Broken> {
    let meeting = async {
        let mut stream = Async::<TcpStream>::connect(at).await?;
        stream.get_ref().set_nodelay(true)?;
        let hello = Hello { version: VERSION, site: door.site.to_string(), who: Who::Keeper(door.keeper) };
        frames::write(&mut stream, &hello, MOST).await?;
        frames::write(&mut stream, &Peer::Me { incarnation: door.incarnation }, PEER_MOST).await?;
        let word = frames::read(&mut stream, PEER_MOST).await?;
        Ok((stream, word))
    };
    within(&door.wheel, INTRODUCTION, meeting).await
}

/// Sends to another keeper for as long as that is one.
async fn send_to(door: Door, keeper: u64, at: SocketAddr, going: Receiver<Vec<u8>>, reach: Rc<Reach>) {
    let who = format!("keeper {} of {}: keeper {keeper} at {at}", door.keeper, door.site);
    loop {
        let ended = async {
            let (stream, word) = introduce(&door, at).await?;
            let known = matches!(word, Peer::Known { .. });
            // What waited for the last line is late by now.
            while going.try_recv().is_ok() {}
            reach.up.set(known);
            let _ = door.inbox.send(In::Answered { keeper, word }).await;
            if !known {
                return Ok(());
            }
            // One that is not the keeper that it should be is left; another one may answer there by now.
            send_words::<Peer>(&door, stream, PEER_MOST, &going, &reach.up, || ()).await
        };
        let ended: Result<(), Broken> = ended.await;
        let was_up = reach.up.replace(false);
        reach.ended(&who, ended, was_up);
        door.wheel.sleep(again()).await;
    }
}

/// Sends what is to be said, for as long as there are signs of life and the other one is who it should be; tells of each of those signs.
async fn send_words<T: serde::de::DeserializeOwned>(
    door: &Door,
    stream: Async<TcpStream>,
    most: usize,
    going: &Receiver<Vec<u8>>,
    up: &Cell<bool>,
    lives: impl Fn(),
) -> Result<(), Broken> {
    let (mut from, mut to) = split(stream);
    let writing = async {
        while let Ok(bytes) = going.recv().await {
            within(&door.wheel, STUCK, async { Ok(to.write_all(&bytes).await?) }).await?;
        }
        Ok(())
    };
    let listening = async {
        while up.get() {
            within(&door.wheel, PULSE.1, frames::read::<T>(&mut from, most)).await?;
            lives();
        }
        Ok(())
    };
    writing.or(listening).await
}

/// When another attempt is made to reach somebody.
fn again() -> Duration {
    AGAIN + Duration::from_millis(fastrand::u64(0..=AGAIN.as_millis() as u64))
}

impl Reach {
    /// The line has ended, and why if it broke: told once, and again where that is `new`.
    fn ended(&self, who: &str, ended: Result<(), Broken>, new: bool) {
        let why = ended.err().map(|e| e.to_string());
        *self.why.borrow_mut() = why.clone().unwrap_or_default();
        let Some(why) = why else { return };
        let known = |(at, before): &(Instant, String)| *before == why || at.elapsed() < LASTS;
        let mut told = self.told.borrow_mut();
        if new || !told.as_ref().is_some_and(known) {
            log::info!("{who}: is not reached: {why}");
            *told = Some((Instant::now(), why));
        }
    }
}

impl Driver {
    fn now(&self) -> Time {
        self.start.elapsed().as_nanos() as Time
    }

    fn who(&self) -> String {
        format!("keeper {} of {}", self.config.keeper, self.config.site)
    }

    /// Where a keeper is reached: the file goes before what the group knows.
    fn reached(&self, keeper: u64) -> Option<SocketAddr> {
        let known = match &self.stage {
            Stage::Takes(group) => group.held().members.get(&keeper).and_then(|m| m.at.parse().ok()),
            Stage::Begins(_) => None,
        };
        self.config.peers.get(&keeper).copied().or(known)
    }

    /// Has a line to each other keeper, and to nobody else.
    fn connect(&mut self) {
        let mut wanted: BTreeSet<u64> = self.config.peers.keys().copied().collect();
        if let Stage::Takes(group) = &self.stage {
            let held = group.held();
            if !held.members.is_empty() {
                wanted = held.members.keys().copied().collect();
            }
        }
        wanted.remove(&self.config.keeper);
        let at: BTreeMap<u64, SocketAddr> =
            wanted.iter().filter_map(|id| Some((*id, self.reached(*id)?))).collect();
        // One that joins is spoken to from addresses that its file names.
        let named = self.config.peers.values();
        *self.allowed.borrow_mut() = at.values().chain(named).map(|at| at.ip().to_canonical()).collect();
        self.outgoing.retain(|id, o| at.get(id) == Some(&o.at));
        self.incoming.retain(|id, _| wanted.contains(id));
        for (keeper, at) in at {
            if !self.outgoing.contains_key(&keeper) {
                let (queue, going) = async_channel::bounded(PEER_QUEUE);
                let reach: Rc<Reach> = Rc::default();
                let task = send_to(self.door.clone(), keeper, at, going, reach.clone());
                let task = self.executor.spawn(task);
                self.outgoing.insert(keeper, Outgoing { queue, at, reach, _task: task });
            }
        }
    }

    /// Writes down what an empty folder begins with.
    async fn first(&mut self) -> Result<(), String> {
        let Stage::Begins(begin) = &self.stage else { return self.turn() };
        let piece = Piece::Base(Box::new(begin.base().clone()));
        self.write_now(piece).await?;
        // One that is alone waits for nobody.
        self.begins().await?;
        if let Stage::Begins(begin) = &self.stage {
            log::info!("{}: begins when it and keepers {:?} know each other", self.who(), begin.missing());
        }
        self.turn()
    }

    /// Writes something down while nothing else goes on: before this keeper takes part.
    async fn write_now(&mut self, mut piece: Piece) -> Result<(), String> {
        loop {
            self.keep.lend(piece).map_err(|_| "the log is lent")?;
            let (back, result) = self.keep.back().await.map_err(|e| format!("state: {e}"))?;
            match result {
                Ok(()) => return Ok(()),
                Err(Unsaved::Later(e)) => log::warn!("{}: not written yet: {e}", self.who()),
                Err(e) => return Err(format!("state: {e}")),
            }
            piece = back;
            self.door.wheel.sleep(LATER).await;
        }
    }

    /// Serves until something is fatal, it was removed, or the time is up.
    async fn go_on(&mut self, coming: &Receiver<In>, until: Option<Instant>) -> Result<(), String> {
        enum Next {
            Wrote(Wrote),
            Came(In),
            Tick,
        }
        let tick = Duration::from_millis(self.config.tick_ms);
        let wheel = self.door.wheel.clone();
        while !self.removed && until.is_none_or(|at| Instant::now() < at) {
            let (keep, at) = (&mut self.keep, self.ticked + tick);
            let wrote = async {
                let wrote = keep.back().await.map_err(|e| format!("state: {e}"))?;
                Ok::<_, String>(Next::Wrote(wrote))
            };
            let came = async { Ok(Next::Came(coming.recv().await.map_err(|e| e.to_string())?)) };
            let due = async {
                wheel.until(at).await;
                Ok(Next::Tick)
            };
            let next = wrote.or(came).or(due).await?;
            // Time goes before words: one that stood still must not act on what it believed before.
            self.catch_up(tick);
            match next {
                Next::Wrote(wrote) => self.wrote(wrote)?,
                Next::Came(word) => self.came(word).await?,
                Next::Tick => {}
            }
            self.turn()?;
        }
        Ok(())
    }

    /// Ticks that are due. After twice the time of an election, a leader that heard nobody leads no more.
    fn catch_up(&mut self, tick: Duration) {
        let due = (self.ticked.elapsed().as_nanos() / tick.as_nanos()) as u32;
        if due == 0 {
            return;
        }
        self.ticked += tick * due;
        let now = self.now();
        let Stage::Takes(group) = &mut self.stage else { return };
        for _ in 0..due.min(2 * ELECTION as u32) {
            group.tick();
        }
        let mut out = Vec::new();
        if let Some(office) = self.office.as_mut().filter(|_| group.leads_for_certain()) {
            office.tick(now, group.record(), &mut out);
        }
        self.carry_out(out);
        self.tick_voice();
    }

    async fn came(&mut self, word: In) -> Result<(), String> {
        match word {
            In::Came { keeper, incarnation, answer, alive } => {
                let heard = match &mut self.stage {
                    Stage::Begins(begin) => begin.tells(keeper, incarnation),
                    Stage::Takes(group) => admit(group.held(), keeper, incarnation),
                };
                if heard == Heard::New {
                    self.write_down().await?;
                }
                let word = match heard {
                    Heard::No(why) => {
                        self.is_wrong(keeper, Wrong::Came, &why);
                        Peer::Refused(why)
                    }
                    _ => {
                        self.wrong.remove(&(keeper, Wrong::Came));
                        self.incoming.insert(keeper, alive);
                        Peer::Known { incarnation: self.door.incarnation }
                    }
                };
                let _ = answer.try_send(word);
                self.begins().await
            }
            In::Answered { keeper, word: Peer::Known { incarnation } } => {
                let heard = match &mut self.stage {
                    Stage::Begins(begin) => begin.tells(keeper, incarnation),
                    Stage::Takes(group) => admit(group.held(), keeper, incarnation),
                };
                if let Heard::No(why) = &heard {
                    self.is_wrong(keeper, Wrong::Answers, why);
                    // Nothing is said to it.
                    self.outgoing.get(&keeper).into_iter().for_each(|o| o.reach.up.set(false));
                    return Ok(());
                }
                let was =
                    [Wrong::Answers, Wrong::Shut].map(|how| self.wrong.remove(&(keeper, how)).is_some());
                if let Some(o) = self.outgoing.get(&keeper) {
                    if o.reach.told.take().is_some() || was.contains(&true) {
                        log::info!("{}: keeper {keeper} at {}: is reached", self.who(), o.at);
                    }
                }
                if let Stage::Begins(begin) = &mut self.stage {
                    begin.knows(keeper);
                }
                if heard == Heard::New {
                    self.write_down().await?;
                }
                self.begins().await
            }
            In::Answered { keeper, word } => {
                if let Peer::Refused(why) = word {
                    self.is_wrong(keeper, Wrong::Shut, &why);
                }
                Ok(())
            }
            In::Asked { line, keeper, at, folder } => {
                self.add(line, keeper, at, folder);
                Ok(())
            }
            In::Raft { keeper, bytes } => {
                if let Stage::Takes(group) = &mut self.stage {
                    if let Err(e) = group.step(keeper, &bytes) {
                        log::warn!("{}: keeper {keeper} sent {e}", self.who());
                        self.incoming.remove(&keeper);
                    }
                }
                Ok(())
            }
            In::Opened { line, queue } => {
                self.lines.insert(line, queue);
                Ok(())
            }
            In::Agent(line, word) => {
                self.agent(line, &word);
                Ok(())
            }
            In::Person(line, word) => {
                self.person(line, word);
                Ok(())
            }
            In::Site(word) => {
                self.came_site(word);
                Ok(())
            }
            In::Gone(line) => {
                self.voice.iter_mut().for_each(|voice| voice.hung_up(line));
                self.lines.remove(&line);
                self.asked.remove(&line);
                self.office.iter_mut().for_each(|office| office.hung_up(line));
                Ok(())
            }
        }
    }

    /// Two keepers cannot go together: told when it begins, and in the status for as long as it lasts.
    fn is_new_wrong(&mut self, number: u64, how: Wrong, why: &str) -> bool {
        let now = Instant::now();
        self.wrong.retain(|_, (at, _)| now.duration_since(*at) < LASTS);
        if self.wrong.len() >= WRONGS && !self.wrong.contains_key(&(number, how)) {
            return false;
        }
        let told = self.wrong.insert((number, how), (now, why.into()));
        told.is_none_or(|(_, before)| before != why)
    }

    fn is_wrong(&mut self, keeper: u64, how: Wrong, why: &str) {
        if !self.is_new_wrong(keeper, how, why) {
            return;
        }
        let (who, at) =
            (self.who(), self.outgoing.get(&keeper).map(|o| o.at.to_string()).unwrap_or_default());
        match how {
            Wrong::Came => log::error!("{who}: refuses keeper {keeper}: {why}"),
            Wrong::Answers => log::error!("{who}: refuses what answers as keeper {keeper} at {at}: {why}"),
            _ => log::warn!("{who}: keeper {keeper} at {at} does not hear it: {why}"),
        }
    }

    /// What keeps other keepers from taking part, as far as this one knows.
    fn trouble(&self) -> Vec<(u64, String)> {
        let mut told: Vec<(u64, String)> = Vec::new();
        for ((keeper, how), (at, why)) in &self.wrong {
            if at.elapsed() < LASTS {
                let what = match how {
                    Wrong::Came => "refused as it came",
                    Wrong::Answers => "refused as it answered",
                    Wrong::Shut => "does not hear this keeper",
                    Wrong::SiteCame => "as a site: refused as it came",
                    Wrong::SiteAnswers => "as a site: refused as it answered",
                    Wrong::SiteShut => "as a site: does not hear this one",
                };
                told.push((*keeper, format!("{what}: {why}")));
            }
        }
        for (keeper, o) in &self.outgoing {
            let why = o.reach.why.borrow();
            if !o.reach.up.get() && !why.is_empty() {
                told.push((*keeper, format!("not reached at {}: {why}", o.at)));
            }
        }
        let (left, what) = match &self.stage {
            Stage::Begins(begin) => (begin.missing(), "not met yet: the site has not begun"),
            Stage::Takes(group) => (group.without_record(), "has not got the record yet"),
        };
        told.extend(left.into_iter().map(|keeper| (keeper, what.into())));
        told.extend(self.site_trouble());
        told.sort();
        told
    }

    /// Writes down whom it knows.
    async fn write_down(&mut self) -> Result<(), String> {
        let Stage::Begins(begin) = &self.stage else { return Ok(()) };
        self.write_now(Piece::Base(Box::new(begin.base().clone()))).await
    }

    /// Takes part, when all know each other.
    async fn begins(&mut self) -> Result<(), String> {
        let Stage::Begins(begin) = &self.stage else { return Ok(()) };
        let peers = self.config.peers.iter().map(|(id, at)| (*id, at.to_string()));
        let at = peers.chain([(self.config.keeper, self.config.listen.to_string())]).collect();
        if let Some(base) = begin.finish(&at) {
            log::info!("{}: all keepers know each other, begins", self.who());
            let group = Group::new(base, draw()).map_err(|e| e.to_string())?;
            self.stage = Stage::Takes(Box::new(group));
        }
        Ok(())
    }

    /// What came of writing.
    fn wrote(&mut self, (piece, result): Wrote) -> Result<(), String> {
        let wants_base = self.keep.here().is_some_and(Keep::wants_base);
        let who = self.who();
        let Stage::Takes(group) = &mut self.stage else { return Ok(()) };
        match result {
            Ok(()) => {
                group.saved();
                if self.full.take().is_some() {
                    log::info!("{who}: writes again");
                }
                if wants_base {
                    group.compact();
                }
                Ok(())
            }
            Err(Unsaved::Later(e)) => {
                if self.full.is_none() {
                    log::error!("{who}: acknowledges nothing: {e}");
                }
                let since = *self.full.get_or_insert_with(Instant::now);
                // Others may have room.
                if since.elapsed() > Duration::from_millis(self.config.tick_ms) * ELECTION as u32 {
                    let _ = group.hand_on();
                }
                self.again = Some((piece, Instant::now() + LATER));
                Ok(())
            }
            Err(e) => Err(format!("state: {e}")),
        }
    }

    /// Goes on until nothing more is to be done.
    fn turn(&mut self) -> Result<(), String> {
        loop {
            let who = self.who();
            let now = self.now();
            let Stage::Takes(group) = &mut self.stage else { return Ok(()) };
            let mut events = Vec::new();
            let messages = group.work(&mut events).map_err(|e| e.to_string())?;
            let idle = messages.is_empty() && events.is_empty();
            send(group, &self.outgoing, messages);
            let (mut out, mut said) = (Vec::new(), Vec::new());
            let mut members = false;
            for event in events {
                match event {
                    Event::Applied(index, command) => {
                        let told = format!("{command:?}");
                        if let Command::Beat { term, .. } = &command {
                            // An older one that is only now read says nothing of when its leader lived.
                            if *term == group.term() && group.leader() != 0 {
                                self.led = Some(now);
                            }
                        }
                        let kind = told.split([' ', '(', '{']).next().unwrap_or_default();
                        let print = crc32fast::hash(told.as_bytes());
                        log::debug!("{who}: applied {index} {kind} {print:08x}");
                        if let Some(voice) = &mut self.voice {
                            voice.applied(now, &command, group.record(), &mut said);
                        }
                        if let Some(office) = &mut self.office {
                            office.applied(now, index, &command, group.record(), &mut out);
                        }
                    }
                    Event::Member(index, keeper) => {
                        log::info!("{who}: keepers {:?} by entry {index}", group.voters());
                        members = true;
                        self.removed = group.held().removed.contains(&group.me());
                        let came = group.held().members.contains_key(&keeper);
                        if let Some(changing) = self.changing.as_mut().filter(|c| c.1 == keeper) {
                            changing.2 = Some(index).filter(|_| came);
                            if !came {
                                out.push(Out::Answer(changing.0, ToPerson::Done(index)));
                                self.changing = None;
                            }
                        }
                    }
                    Event::Restored(index) => {
                        log::info!("{who}: has the record up to {index} from another keeper");
                        members = true;
                    }
                    Event::Leads(leader, term) if leader != 0 && leader != group.me() => {
                        log::info!("{who}: follows {leader} in term {term}");
                    }
                    Event::Leads(..) => {}
                }
            }
            let has = |(_, keeper, index): &mut (_, u64, Option<u64>)| {
                index.is_some_and(|index| group.has(*keeper, index))
            };
            if let Some((line, _, Some(index))) = self.changing.take_if(has) {
                out.push(Out::Answer(line, ToPerson::Done(index)));
            }
            let (leads, term) = (group.is_ready_to_lead(), group.term());
            let (mut begins, mut ends) = (false, false);
            if leads && self.office.is_none() {
                begins = true;
                log::info!("{who}: leads in term {term}");
                let office = Office::new(self.config.rules.clone(), term, now, group.record());
                self.office = Some(office.led(now, self.led));
            }
            if group.leader() != group.me() && self.office.take().is_some() {
                log::info!("{who}: leads no more");
                ends = true;
                self.changing = None;
                let elsewhere = ToPerson::Elsewhere(Some(group.leader()).filter(|id| *id != 0));
                let asked = std::mem::take(&mut self.asked);
                out.extend(asked.into_iter().map(|line| Out::Answer(line, elsewhere.clone())));
            }
            let due = |again: &mut (Piece, Instant)| again.1 <= Instant::now();
            let piece = self.keep.here().and_then(|_| match self.again.take_if(due) {
                Some((piece, _)) => Some(piece),
                // Nothing, while something is to be written again.
                None => group.piece(),
            });
            let quiet = out.is_empty() && said.is_empty() && piece.is_none();
            self.carry_out(out);
            if let Some(piece) = piece {
                self.keep.lend(piece).map_err(|_| "the log is lent")?;
            }
            if ends {
                self.end_voice();
            }
            if begins {
                self.begin_voice();
            }
            if !said.is_empty() {
                self.carry_voice(said);
                self.connect_sites();
            }
            self.tell_office(false);
            if members {
                self.connect();
            }
            if idle && quiet {
                return Ok(());
            }
        }
    }

    /// Does what the office wants.
    fn carry_out(&mut self, out: Vec<Out>) {
        for what in out {
            match what {
                Out::Propose(command) => {
                    if let Stage::Takes(group) = &mut self.stage {
                        if let Err(no) = group.propose(&command) {
                            log::debug!("{}: not proposed: {no}", self.who());
                        }
                    }
                }
                Out::Say(line, word) => self.say(line, &word),
                Out::Answer(line, word) => self.answer(line, word),
                Out::Federation(command) => {
                    let (now, mut said) = (self.now(), Vec::new());
                    self.voice.iter_mut().for_each(|voice| voice.command(now, command.clone(), &mut said));
                    self.carry_voice(said);
                }
            }
        }
    }

    fn say<T: Serialize>(&mut self, line: Line, word: &T) {
        let Some(queue) = self.lines.get(&line) else { return };
        let sent = frames::bytes(word, MOST).map_err(|e| e.to_string());
        let sent = sent.and_then(|bytes| queue.try_send(bytes).map_err(|e| e.to_string()));
        if let Err(e) = sent {
            // Its task sees that nobody writes to it any more.
            log::debug!("{}: line {line} is dropped: {e}", self.who());
            self.lines.remove(&line);
        }
    }

    fn answer(&mut self, line: Line, mut word: ToPerson) {
        self.asked.remove(&line);
        if let ToPerson::Status(status) = &mut word {
            self.fill(status);
        }
        self.say(line, &word);
    }

    /// What the driver knows of how things stand.
    fn fill(&self, status: &mut Status) {
        (status.site, status.keeper) = (self.config.site.clone(), self.config.keeper);
        if let Stage::Takes(group) = &self.stage {
            // One that was elected leads when it knows all that was agreed before.
            let leads = group.leader() != group.me() || self.office.is_some();
            (status.leader, status.term) = (if leads { group.leader() } else { 0 }, group.term());
            status.version = group.record().version;
            status.keepers = group.voters().to_vec();
            status.keepers.sort_unstable();
        }
        status.trouble = self.trouble();
    }

    fn leader(&self) -> Option<u64> {
        match &self.stage {
            Stage::Takes(group) => {
                // One that leads and may not speak yet, or no more, knows of nobody.
                Some(group.leader()).filter(|id| *id != 0 && *id != group.me())
            }
            Stage::Begins(_) => None,
        }
    }

    fn agent(&mut self, line: Line, word: &FromAgent) {
        let now = self.now();
        let mut out = Vec::new();
        match (&mut self.stage, &mut self.office) {
            (Stage::Takes(group), Some(office)) if group.leads_for_certain() => {
                office.hear(now, line, word, group.record(), &mut out);
            }
            _ => out.push(Out::Say(line, ToAgent::Elsewhere(self.leader()))),
        }
        self.carry_out(out);
    }

    fn person(&mut self, line: Line, word: FromPerson) {
        let now = self.now();
        let elsewhere = ToPerson::Elsewhere(self.leader());
        let mut out = Vec::new();
        match (&mut self.stage, &mut self.office) {
            (Stage::Takes(group), Some(office)) if group.leads_for_certain() => {
                self.asked.insert(line);
                match word {
                    FromPerson::Table(order @ (TableOrder::Off { .. } | TableOrder::Join { .. }))
                        if self.voice.is_some() =>
                    {
                        return self.order_site(line, &order);
                    }
                    FromPerson::Add { keeper, at } => return self.ask(line, keeper, at),
                    FromPerson::Remove { keeper } => match group.remove(keeper) {
                        Ok(()) => self.changing = Some((line, keeper, None)),
                        // It was removed before: as ordered.
                        Err(_) if group.held().removed.contains(&keeper) => {
                            out.push(Out::Answer(line, ToPerson::Done(group.record().version)));
                        }
                        Err(no) => out.push(Out::Answer(line, ToPerson::Refused(no.to_string()))),
                    },
                    word => {
                        office.order(now, line, &word, group.record(), &mut out);
                        // What the driver knows can be told in any case.
                        let none = |o: &Out| matches!(o, Out::Answer(l, ToPerson::Refused(_)) if *l == line);
                        if word == FromPerson::Status && out.iter().any(none) {
                            out.retain(|o| !none(o));
                            out.push(Out::Answer(line, ToPerson::Status(Box::default())));
                        }
                    }
                }
            }
            // How things stand here may be asked of any keeper.
            _ if word == FromPerson::Status => {
                out.push(Out::Answer(line, ToPerson::Status(Box::default())));
            }
            _ => out.push(Out::Answer(line, elsewhere)),
        }
        self.carry_out(out);
    }

    /// Whether the folder is of the site that the file names in its federation.
    fn fits(&self) -> Result<(), String> {
        let Stage::Takes(group) = &self.stage else { return Ok(()) };
        let Some(base) = &group.record().written.base else { return Ok(()) };
        match &self.config.federation {
            Some(settings) => {
                let told = settings.fits(&base.identity);
                told.map_err(|e| format!("state: {}: {e}", self.config.state.display()))
            }
            None => {
                log::warn!(
                    "{}: the record is of a federation, {:?}, and the file names none",
                    self.who(),
                    base.identity.site
                );
                Ok(())
            }
        }
    }

    /// Asks a keeper that is to be added for its folder.
    fn ask(&mut self, line: Line, keeper: u64, at: String) {
        let Stage::Takes(group) = &self.stage else { return };
        let known = group.held().members.get(&keeper);
        if known.is_some_and(|m| m.at == at) {
            // As ordered, already.
            let word = match group.has(keeper, 1) {
                true => ToPerson::Done(group.record().version),
                false => {
                    ToPerson::Refused(format!("keeper {keeper} was added and has not got the record yet"))
                }
            };
            return self.answer(line, word);
        }
        if let Err(no) = group.may_add(keeper) {
            return self.answer(line, ToPerson::Refused(no.to_string()));
        }
        let address = match at.parse::<SocketAddr>() {
            Ok(address) if !address.ip().is_unspecified() && address.port() != 0 => address,
            _ => return self.answer(line, ToPerson::Refused(format!("{at:?}: no address with a port"))),
        };
        let door = self.door.clone();
        let asking = async move {
            let folder = match introduce(&door, address).await {
                Ok((_, Peer::Known { incarnation })) => Ok(incarnation),
                Ok((_, Peer::Refused(why))) => Err(why),
                Ok((_, other)) => Err(format!("it answers {other:?}")),
                Err(e) => Err(e.to_string()),
            };
            let _ = door.inbox.send(In::Asked { line, keeper, at, folder }).await;
        };
        self.executor.spawn(asking).detach();
    }

    fn add(&mut self, line: Line, keeper: u64, at: String, folder: Result<u64, String>) {
        let Stage::Takes(group) = &mut self.stage else { return };
        let added = match folder {
            Ok(incarnation) => {
                let added = group.add(keeper, &Member { at, incarnation });
                added.map_err(|no| no.to_string())
            }
            Err(e) => Err(format!("keeper {keeper} at {at}: {e}")),
        };
        match added {
            Ok(()) => self.changing = Some((line, keeper, None)),
            Err(e) => self.answer(line, ToPerson::Refused(e)),
        }
    }

    /// A leader asks another one to lead before it ends.
    async fn farewell(&mut self, coming: &Receiver<In>) -> Result<(), String> {
        // The federation has another leader before the site has.
        if self.voice.as_mut().is_some_and(Voice::hand_on) {
            self.tick_voice();
            self.go_on(coming, Some(Instant::now() + FAREWELL)).await?;
        }
        let handed = match &mut self.stage {
            Stage::Takes(group) if group.leader() == group.me() => group.hand_on().is_ok(),
            _ => false,
        };
        if handed {
            self.turn()?;
            self.go_on(coming, Some(Instant::now() + FAREWELL)).await?;
        }
        Ok(())
    }
}

/// Sends messages of the group, each as far as there is a line for it.
fn send(group: &mut Group, outgoing: &BTreeMap<u64, Outgoing>, messages: Vec<Message>) {
    for message in messages {
        let (to, snapshot) = (message.to, message.get_msg_type() == MessageType::MsgSnapshot);
        let line = outgoing.get(&to).filter(|o| o.reach.up.get());
        let bytes = message.write_to_bytes().map_err(|e| e.to_string());
        let framed = bytes
            .and_then(|b| frames::bytes(&Peer::Raft(ByteBuf::from(b)), PEER_MOST).map_err(|e| e.to_string()));
        let sent = match (framed, line) {
            (Ok(bytes), Some(line)) => line.queue.try_send(bytes).is_ok(),
            (Ok(_), None) => false,
            (Err(e), _) => {
                log::error!("keeper {}: a message to keeper {to}: {e}", group.me());
                false
            }
        };
        match (sent, snapshot) {
            (true, true) => group.snapshot_sent(to),
            (true, false) => {}
            (false, snapshot) => group.unreachable(to, snapshot),
        }
    }
}
