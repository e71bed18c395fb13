//! The connections that others may open to this process: each takes a place, and gives it back when
//! it ends. Who gets one, and who has to go for it, is decided in [`crate::admission_control::connection_slots`]; here it
//! is done.
//!
//! What finds no place waits a little in the lobby, and is then told that all is full. Who waits
//! there without a request goes for the next that comes, so that one with a request is seen
//! whatever number comes with none. One that is owed an answer never goes.

use crate::admission_control::accept_queue::{Comes, Lobby, Rank};
use crate::admission_control::connection_slots::{Places, Rules, Seating, Use, Why};
use crate::admission_control::memory_pool::{MemoryHold, MemoryPool};
use crate::delivery::client_quota::{Client, ClientQuotas};
use crate::delivery::timer_wheel::TimerWheel;
use crate::net::socket_error::{is_of_one_connection, is_out_of_descriptors};
use crate::net::stream::write_at_once;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use event_listener::{Event, EventListener};
use futures_lite::{future, Future, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{IpAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// After an accept that failed for want of something of the system's, the next one waits this long;
/// who has connected waits in the system's queue.
const ACCEPT_REST: Duration = Duration::from_millis(20);
/// In the lobby it is looked again after this time, if no place came free before.
const LOOK: Duration = Duration::from_millis(10);
/// What has waited in the lobby for so long is told that all is full.
const LOBBY: Duration = Duration::from_millis(250);
/// Connections that are told so at once, and how long each may take over it. Beyond them it is said
/// without listening.
const FAREWELLS: (usize, Duration) = (8, Duration::from_millis(100));
/// When those who find no place should come back, in the mean.
const COME_BACK: Duration = Duration::from_millis(500);
/// So much of what a connection brings is looked at before it has a place: a usual request or
/// greeting.
const LOOKED_AT: usize = 2048;
/// Connections that wait to be accepted; more are turned away by the system, and come back only
/// after a second.
const BACKLOG: i32 = 1024;
/// One who holds memory for a request that has not come whole gives it up after this time, if others
/// are refused meanwhile: no client waits longer for an answer.
const MEMORY_PATIENCE: Duration = Duration::from_millis(400);
/// Who has to is looked at no more often than this.
const MEMORY_LOOK: Duration = Duration::from_millis(50);

/// What a port does with its connections.
pub trait Serve {
    /// Serves one connection to its end. Dropped before that, where its seat says that nothing is
    /// owed on it.
    fn serve(self: Rc<Self>, socket: Async<TcpStream>, seat: Rc<Seat>) -> impl Future<Output = ()>;

    /// Tells a connection that there is no place for it, and when to come back. May be dropped at
    /// any time.
    fn full(&self, socket: Async<TcpStream>, why: Why, wait: Duration) -> impl Future<Output = ()>;

    /// The same at once, without listening; nothing, where the protocol has no such word.
    fn full_at_once(&self, wait: Duration) -> Vec<u8>;

    /// What a connection brings, by its first bytes; they are not taken off it. Where a port does
    /// not tell a part from a whole request, whatever has come counts as one: it must not be kept
    /// from the last places.
    fn brings(&self, first: &[u8]) -> Comes {
        if first.is_empty() {
            Comes::Silent
        } else {
            Comes::Whole
        }
    }
}

/// What is done with connections that come while the lobby is full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(rename_all = "lowercase")]
pub enum WhenFull {
    /// They wait in the system's queue.
    #[default]
    Queue,
    /// They are told at once.
    Refuse,
}

/// Owner of the places.
pub struct ConnectionListener {
    places: RefCell<Places>,
    /// Closed for a connection that has to go, by place.
    leave: RefCell<BTreeMap<u64, Sender<()>>>,
    /// A place came free, and one in the lobby.
    freed: Event,
    left: Event,
    start: Instant,
    lobby: RefCell<Lobby>,
    /// The connections of those who wait there, and what is closed when one has to go.
    waiting: RefCell<BTreeMap<u64, Waits>>,
    farewells: Count,
    when_full: WhenFull,
    rng: RefCell<fastrand::Rng>,
    /// Given up for a moment when there is no other descriptor to accept with.
    held_back: RefCell<Option<File>>,
    told: RefCell<BTreeMap<String, u64>>,
    /// What all connections may hold together of requests that have begun.
    memory: Rc<MemoryPool>,
    /// What each of them holds, by place.
    holds: RefCell<BTreeMap<u64, WatchedHold>>,
}

/// What a connection holds, and since when it was seen to hold that for one message.
struct WatchedHold {
    memory: Rc<MemoryHold>,
    seen: Option<SeenHold>,
}

/// A hold as it was seen first.
struct SeenHold {
    releases: u64,
    at: Instant,
}

impl WatchedHold {
    /// Since when it is held for the same message; `None` where nothing is held.
    fn held_since(&mut self, now: Instant) -> Option<Instant> {
        let releases = self.memory.releases();
        if self.memory.bytes() == 0 {
            self.seen = None;
        } else if self.seen.as_ref().is_none_or(|s| s.releases != releases) {
            self.seen = Some(SeenHold { releases, at: now });
        }
        self.seen.as_ref().map(|s| s.at)
    }
}

type Waits = (Rc<Async<TcpStream>>, IpAddr, Sender<()>);

/// How many of something there are, up to a bound.
struct Count {
    now: Rc<Cell<usize>>,
    most: usize,
}

/// One of them; dropped, there is one less.
struct Counted(Rc<Cell<usize>>);

impl Count {
    fn new(most: usize) -> Self {
        Count {
            now: Rc::default(),
            most,
        }
    }

    fn one(&self) -> Option<Counted> {
        (self.now.get() < self.most).then(|| {
            self.now.set(self.now.get() + 1);
            Counted(self.now.clone())
        })
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What is counted of a message that names no tenant where the settings have some.
pub const WITHOUT_TENANT: &str = "messages without a tenant";

/// One connection's place; dropped, it is free again.
pub struct Seat {
    seats: Rc<ConnectionListener>,
    no: u64,
    /// Closed when its connection has to go.
    left: Receiver<()>,
    /// When the first bytes of its connection were seen, where that was before it had this place.
    brought_at: Cell<Option<Instant>>,
    /// What its connection holds of requests.
    memory: Rc<MemoryHold>,
}

impl Seat {
    /// The part of the memory that its connection may use.
    pub fn memory(&self) -> Rc<MemoryHold> {
        self.memory.clone()
    }

    /// When the connection's first request was seen to come, if it waited for its place since. Said
    /// once: later requests are read as they come.
    pub fn take_brought_at(&self) -> Option<Instant> {
        self.brought_at.take()
    }

    fn now(&self, what: Use) {
        self.seats
            .places
            .borrow_mut()
            .used(self.seats.start.elapsed(), self.no, what);
    }

    /// A request has begun to come.
    pub fn begun(&self) {
        self.now(Use::Begun);
    }

    /// A request is whole, or the connection was greeted: its answer is owed.
    pub fn busy(&self) {
        self.now(Use::Busy);
    }

    /// All that was asked is answered.
    pub fn resting(&self) {
        self.now(Use::Resting);
    }

    /// The same, and it has shown that it is of use.
    pub fn kept(&self) {
        self.now(Use::Kept);
    }

    /// Waits until this connection has to go. Where its protocol has a last word, this is the time
    /// for it; it ends as soon as it next waits for anything.
    pub async fn gone(&self) {
        let _ = self.left.recv().await;
    }

    /// Counts something that came over it, for the line that the log gets now and then. Only for
    /// words that are known beforehand: each has its count for as long as the process lives.
    pub fn counts(&self, what: &str) {
        self.seats.count(what.into());
    }

    /// Who it is, by the address that it came from.
    pub fn client(&self) -> Client {
        let address = self.seats.places.borrow().address(self.no);
        let name = address.map_or_else(|| "".into(), |a| a.to_string().into());
        Client {
            name,
            known: self.is_known(),
        }
    }

    /// Whether it is one of the known clients.
    pub fn is_known(&self) -> bool {
        self.seats.places.borrow().is_known(self.no)
    }

    /// Whoever this is, it is one of the known clients.
    pub fn identified(&self) {
        self.memory.set_known();
        self.seats.places.borrow_mut().identified(self.no);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.seats.places.borrow_mut().left(self.no);
        self.seats.leave.borrow_mut().remove(&self.no);
        self.seats.holds.borrow_mut().remove(&self.no);
        self.seats.freed.notify(usize::MAX);
    }
}

impl ConnectionListener {
    /// Places by these rules, with so many in the lobby at most.
    pub fn new(
        rules: Rules,
        lobby: usize,
        when_full: WhenFull,
        memory: Rc<MemoryPool>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(ConnectionListener {
            places: RefCell::new(Places::new(rules)),
            leave: RefCell::default(),
            freed: Event::new(),
            left: Event::new(),
            start: Instant::now(),
            lobby: RefCell::new(Lobby::new(lobby)),
            waiting: RefCell::default(),
            farewells: Count::new(FAREWELLS.0),
            when_full,
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            held_back: RefCell::new(File::open("/dev/null").ok()),
            told: RefCell::default(),
            memory,
            holds: RefCell::default(),
        })
    }

    /// Goes by other rules from now on, for as many places; no connection is dropped for it.
    pub fn change(&self, rules: Rules) {
        self.places.borrow_mut().change(rules);
        self.freed.notify(usize::MAX);
    }

    /// Serves each connection that comes to a port, for ever.
    pub async fn listen<S: Serve + 'static>(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        port: Rc<S>,
        wheel: Rc<TimerWheel>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        if let Err(e) = rustix::net::listen(&listener, BACKLOG) {
            log::warn!("listen: {e}");
        }
        let hall = Rc::new(AcceptQueue {
            seats: self.clone(),
            port,
            wheel,
            executor,
        });
        let wheel = &hall.wheel;
        loop {
            while self.when_full == WhenFull::Queue && self.lobby.borrow().is_full() {
                let left = self.left.listen();
                wheel.timeout(LOOK, left).await;
            }
            match listener.accept().await {
                Ok((socket, from)) => {
                    hall.arrive(socket, from.ip());
                    // One in a turn: what came with it is read, and others go on, before the next.
                    future::yield_now().await;
                }
                Err(e) if is_out_of_descriptors(&e) => {
                    if !self.without_descriptor(&listener, &*hall.port) {
                        wheel.sleep(LOOK).await;
                    }
                    future::yield_now().await;
                }
                Err(e) if is_of_one_connection(&e) => {
                    log::debug!("accept: {e}");
                    future::yield_now().await;
                }
                Err(e) => {
                    log::debug!("accept: {e}");
                    wheel.sleep(ACCEPT_REST).await;
                }
            }
        }
    }

    /// Ends connections that have held memory for too long for a request that has not come whole,
    /// whenever others are refused; runs for ever.
    pub async fn reclaim_memory(self: Rc<Self>, wheel: Rc<TimerWheel>) {
        loop {
            self.memory.next_refusal().await;
            self.end_long_holds(Instant::now());
            wheel.sleep(MEMORY_LOOK).await;
        }
    }

    fn end_long_holds(&self, now: Instant) {
        let places = self.places.borrow();
        for (no, hold) in self.holds.borrow_mut().iter_mut() {
            let Some(since) = hold.held_since(now) else {
                continue;
            };
            // An answer is owed for what has come whole.
            let is_owed = places.what(*no) == Some(Use::Busy);
            if is_owed || now - since < MEMORY_PATIENCE {
                continue;
            }
            let is_told = self.leave.borrow().get(no).is_some_and(Sender::close);
            if is_told {
                log::debug!("door: place {no} ended, {} bytes", hold.memory.bytes());
                self.count("shed (memory)".into());
            }
        }
    }

    /// Tells the log now and then what the door did with connections and messages; runs for ever.
    pub async fn tell(
        self: Rc<Self>,
        guests: Rc<ClientQuotas>,
        every: Duration,
        wheel: Rc<TimerWheel>,
    ) {
        let mut before = (BTreeMap::new(), BTreeMap::new());
        loop {
            wheel.sleep(every).await;
            let now = (self.told.borrow().clone(), guests.rejections());
            if now != before {
                let mut counts: Vec<String> = now
                    .0
                    .iter()
                    .map(|(what, n)| format!("{what} {n}"))
                    .collect();
                counts.extend(
                    now.1
                        .iter()
                        .map(|(why, n)| format!("messages refused ({why}) {n}")),
                );
                log::info!(
                    "door: {}; {} places taken",
                    counts.join(", "),
                    self.places.borrow().len()
                );
                before = now;
            }
        }
    }

    /// How many connections are used for what.
    pub fn counts_by_use(&self) -> BTreeMap<Use, usize> {
        self.places.borrow().counts()
    }

    fn count(&self, what: String) {
        *self.told.borrow_mut().entry(what).or_default() += 1;
    }

    /// Counts one that is turned away, and spreads its time to come back over half to one and a
    /// half times its mean.
    fn refused(&self, why: &str, wait: Duration) -> Duration {
        self.count(format!("refused ({why})"));
        wait.mul_f64(0.5 + self.rng.borrow_mut().f64())
    }

    /// How one ranks in the lobby.
    fn rank(&self, from: IpAddr, comes: Comes) -> Rank {
        Rank(
            comes == Comes::Known || self.places.borrow().knows(from),
            comes,
        )
    }

    /// Takes a place for one that comes with this, or has one left for it. Where there is none,
    /// why, and when to come back.
    fn seat(self: &Rc<Self>, from: IpAddr, comes: Comes) -> Result<Rc<Seat>, Why> {
        if self.lobby.borrow().is_ahead(self.rank(from, comes)) {
            return Err(Why::Places);
        }
        let seating = self
            .places
            .borrow_mut()
            .seat(self.start.elapsed(), from, comes);
        match seating {
            Seating::Seated(no) => {
                self.count("admitted".into());
                let (leave, left) = async_channel::bounded(1);
                self.leave.borrow_mut().insert(no, leave);
                let memory = self.memory.hold();
                if self.places.borrow().is_known(no) {
                    memory.set_known();
                }
                let memory = Rc::new(memory);
                let watched = WatchedHold {
                    memory: memory.clone(),
                    seen: None,
                };
                self.holds.borrow_mut().insert(no, watched);
                Ok(Rc::new(Seat {
                    seats: self.clone(),
                    no,
                    left,
                    brought_at: Cell::default(),
                    memory,
                }))
            }
            Seating::After(no) => {
                self.count("shed".into());
                if let Some(leave) = self.leave.borrow().get(&no) {
                    leave.close();
                }
                Err(Why::Places)
            }
            Seating::None(why) => Err(why),
        }
    }

    /// Accepts one with the descriptor that is held back, tells it that all is full, and holds that
    /// back again. False if it could not.
    fn without_descriptor<S: Serve>(&self, listener: &Async<TcpListener>, port: &S) -> bool {
        let given_up = self.held_back.borrow_mut().take().is_some();
        let accepted = listener.get_ref().accept();
        if let Ok((socket, _)) = &accepted {
            let wait = self.refused("no descriptor", COME_BACK);
            match socket.set_nonblocking(true) {
                Ok(()) => drop(write_at_once(socket, &port.full_at_once(wait))),
                // Written to, it could block all others.
                Err(e) => log::debug!("accept: {e}"),
            }
        }
        let done = accepted.is_ok();
        drop(accepted);
        *self.held_back.borrow_mut() = File::open("/dev/null").ok();
        given_up && done
    }
}

/// One port's way to the places.
struct AcceptQueue<S> {
    seats: Rc<ConnectionListener>,
    port: Rc<S>,
    wheel: Rc<TimerWheel>,
    executor: Rc<LocalExecutor<'static>>,
}

/// One in the lobby; dropped, its place there is free.
struct Waiting {
    seats: Rc<ConnectionListener>,
    no: u64,
    socket: Rc<Async<TcpStream>>,
    /// Closed when it has to go for another.
    left: Receiver<()>,
}

impl Waiting {
    /// Leaves the lobby with its connection.
    fn leave(self) -> Option<Async<TcpStream>> {
        let socket = self.socket.clone();
        drop(self);
        Rc::into_inner(socket)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.seats.lobby.borrow_mut().leave(self.no);
        self.seats.waiting.borrow_mut().remove(&self.no);
        self.seats.left.notify(1);
    }
}

/// How one fares that asked for a place: it has it, or not, for a reason and with a time to come
/// back.
type Asked = Result<Rc<Seat>, (Why, Duration)>;

impl<S: Serve + 'static> AcceptQueue<S> {
    fn arrive(self: &Rc<Self>, socket: Async<TcpStream>, from: IpAddr) {
        let comes = self.brings(&socket);
        let brought_at = (comes != Comes::Silent).then(Instant::now);
        // Listened for before anyone is told to leave, or that could have happened already.
        let freed = self.seats.freed.listen();
        match self.ask(from, comes) {
            Ok(seat) => {
                seat.brought_at.set(brought_at);
                let held = hold(seat, self.port.clone(), socket);
                self.executor.spawn(held).detach();
            }
            // A whole request has nothing more to say for itself.
            Err((why, wait)) if why != Why::Places && comes >= Comes::Whole => {
                self.turn_away(socket, (why, wait));
            }
            Err(refused) => match self.enter(socket, from, comes) {
                Ok(waiting) => {
                    let hall = self.clone();
                    let wait = async move { hall.wait(waiting, freed, from, comes, refused).await };
                    self.executor.spawn(wait).detach();
                }
                Err(socket) => self.turn_away(socket, refused),
            },
        }
    }

    /// What a connection has brought so far.
    fn brings(&self, socket: &Async<TcpStream>) -> Comes {
        let mut first = [0; LOOKED_AT];
        let n = socket.get_ref().peek(&mut first).unwrap_or(0);
        self.port.brings(&first[..n])
    }

    /// Counts one that comes, and takes a place for it.
    fn ask(&self, from: IpAddr, comes: Comes) -> Asked {
        let now = self.seats.start.elapsed();
        self.seats.places.borrow_mut().come(now, from, comes)?;
        self.seats.seat(from, comes).map_err(|why| (why, COME_BACK))
    }

    /// Has one wait in the lobby; where that is full, for the one there that brought least, if that
    /// is no more.
    fn enter(
        &self,
        socket: Async<TcpStream>,
        from: IpAddr,
        comes: Comes,
    ) -> Result<Waiting, Async<TcpStream>> {
        let (seats, rank) = (&self.seats, self.seats.rank(from, comes));
        loop {
            let entered = seats.lobby.borrow_mut().enter(seats.start.elapsed(), rank);
            if let Some(no) = entered {
                let (socket, (leave, left)) = (Rc::new(socket), async_channel::bounded(1));
                seats
                    .waiting
                    .borrow_mut()
                    .insert(no, (socket.clone(), from, leave));
                return Ok(Waiting {
                    seats: seats.clone(),
                    no,
                    socket,
                    left,
                });
            }
            let mut lobby = seats.lobby.borrow_mut();
            let Some(least) = lobby.least(rank) else {
                return Err(socket);
            };
            let waiting = seats.waiting.borrow();
            let Some((other, of, leave)) = waiting.get(&least) else {
                return Err(socket);
            };
            match self.brings(other) {
                // It may have a better reason to stay than was known.
                more if more >= Comes::Whole && lobby.rank(least) < Some(seats.rank(*of, more)) => {
                    lobby.brought(least, seats.rank(*of, more));
                }
                _ => {
                    leave.close();
                    lobby.leave(least);
                }
            }
        }
    }

    /// Waits in the lobby for a place, or for the time to say that there is none.
    async fn wait(
        &self,
        waiting: Waiting,
        mut freed: EventListener,
        from: IpAddr,
        mut comes: Comes,
        (mut why, mut wait): (Why, Duration),
    ) {
        let seats = &self.seats;
        let by = Instant::now() + LOBBY;
        let mut brought_at = (comes != Comes::Silent).then(Instant::now);
        while Instant::now() < by {
            // One that came too often is only looked at again once it has brought more.
            let too_often = matches!(why, Why::AddressRate | Why::PrefixRate);
            let brings = async {
                match comes {
                    Comes::Silent => drop(waiting.socket.readable().await),
                    // What has begun to come would wake it all the time.
                    _ => future::pending().await,
                }
                true
            };
            let place = async {
                if too_often {
                    future::pending().await
                }
                freed.await;
                true
            };
            let displaced = async {
                let _ = waiting.left.recv().await;
                false
            };
            let look = if too_often && comes == Comes::Silent {
                LOBBY
            } else {
                LOOK
            };
            if self
                .wheel
                .timeout(look, displaced.or(brings).or(place))
                .await
                == Some(false)
            {
                let socket = waiting.leave();
                return socket.into_iter().for_each(|s| self.tell(&s, why, wait));
            }
            freed = seats.freed.listen();
            let more = self.brings(&waiting.socket);
            let asked = if more != comes {
                comes = more;
                brought_at = brought_at.or_else(|| Some(Instant::now()));
                seats
                    .lobby
                    .borrow_mut()
                    .brought(waiting.no, seats.rank(from, more));
                self.ask(from, comes)
            } else if too_often {
                continue;
            } else {
                seats.seat(from, comes).map_err(|why| (why, COME_BACK))
            };
            match asked {
                Ok(seat) => {
                    seat.brought_at.set(brought_at);
                    match waiting.leave() {
                        Some(socket) => return hold(seat, self.port.clone(), socket).await,
                        None => return,
                    }
                }
                Err(refused) => (why, wait) = refused,
            }
            if why != Why::Places && comes >= Comes::Whole {
                break;
            }
        }
        if let Some(socket) = waiting.leave() {
            self.turn_away(socket, (why, wait));
        }
    }

    /// Tells a connection that there is no place, and when to come back: not all at one time.
    fn turn_away(&self, socket: Async<TcpStream>, (why, wait): (Why, Duration)) {
        match self.seats.farewells.one() {
            Some(parting) => {
                let wait = self.seats.refused(&why.to_string(), wait);
                let (port, wheel) = (self.port.clone(), self.wheel.clone());
                let told = async move {
                    wheel
                        .timeout(FAREWELLS.1, port.full(socket, why, wait))
                        .await;
                    drop(parting);
                };
                self.executor.spawn(told).detach();
            }
            None => self.tell(&socket, why, wait),
        }
    }

    /// The same at once, without listening.
    fn tell(&self, socket: &Async<TcpStream>, why: Why, wait: Duration) {
        let wait = self.seats.refused(&why.to_string(), wait);
        write_at_once(socket.get_ref(), &self.port.full_at_once(wait));
    }
}

async fn hold<S: Serve>(seat: Rc<Seat>, port: Rc<S>, socket: Async<TcpStream>) {
    let left = async {
        let _ = seat.left.recv().await;
    };
    port.serve(socket, seat.clone()).or(left).await;
}
