//! The connections that others may open to this process: each takes a place, and gives it back when it ends. Who gets
//! one, and who has to go for it, is decided in [`crate::door::places`]; here it is done.
//!
//! What finds no place waits a little in the lobby, and is then told that all is full. One that is owed an answer never
//! goes.

use crate::core::wheel::Wheel;
use crate::door::places::{Places, Rules, Seating, Use, Why};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use event_listener::{Event, EventListener};
use futures_lite::{future, Future, FutureExt};
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::net::{IpAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// After an accept that failed and could not be helped, the next one waits this long.
const ACCEPT_REST: Duration = Duration::from_millis(50);
/// In the lobby it is looked again after this time, if no place came free before.
const LOOK: Duration = Duration::from_millis(10);
/// What has waited in the lobby for so long is told that all is full.
const LOBBY: Duration = Duration::from_millis(250);
/// Connections that are told so at once, and how long each may take over it. Beyond them it is said without listening.
const FAREWELLS: (usize, Duration) = (8, Duration::from_millis(100));
/// When those who find no place should come back, in the mean.
const COME_BACK: Duration = Duration::from_millis(500);
/// Between two lines of the log on what the door did.
const TELL: Duration = Duration::from_secs(60);
/// Connections that wait to be accepted; more are turned away by the system, and come back only after a second.
const BACKLOG: i32 = 1024;

/// What a port does with its connections.
pub trait Serve {
    /// Serves one connection to its end. Dropped before that, where its seat says that nothing is owed on it.
    fn serve(self: Rc<Self>, socket: Async<TcpStream>, seat: Rc<Seat>) -> impl Future<Output = ()>;

    /// Tells a connection that there is no place for it, and when to come back. May be dropped at any time.
    fn full(&self, socket: Async<TcpStream>, why: Why, wait: Duration) -> impl Future<Output = ()>;

    /// The same in one write, without listening; nothing, where the protocol has no such word.
    fn full_at_once(&self, wait: Duration) -> Vec<u8>;
}

/// What is done with connections that come while the lobby is full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WhenFull {
    /// They wait in the system's queue.
    #[default]
    Queue,
    /// They are told at once.
    Refuse,
}

/// Owner of the places.
pub struct Seats {
    places: RefCell<Places>,
    /// Closed for a connection that has to go, by place.
    leave: RefCell<BTreeMap<u64, Sender<()>>>,
    freed: Event,
    start: Instant,
    lobby: Count,
    farewells: Count,
    when_full: WhenFull,
    rng: RefCell<fastrand::Rng>,
    /// Given up for a moment when there is no other descriptor to accept with.
    held_back: RefCell<Option<File>>,
    told: RefCell<BTreeMap<String, u64>>,
}

/// How many of something there are, up to a bound.
struct Count {
    now: Rc<Cell<usize>>,
    most: usize,
}

/// One of them; dropped, there is one less.
struct Counted(Rc<Cell<usize>>);

impl Count {
    fn new(most: usize) -> Self {
        Count { now: Rc::default(), most }
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

/// One connection's place; dropped, it is free again.
pub struct Seat {
    seats: Rc<Seats>,
    no: u64,
    /// Closed when its connection has to go.
    left: Receiver<()>,
}

impl Seat {
    fn now(&self, what: Use) {
        self.seats.places.borrow_mut().used(self.seats.start.elapsed(), self.no, what);
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

    /// The address that it came from.
    pub fn client(&self) -> Rc<str> {
        let address = self.seats.places.borrow().address(self.no);
        address.map_or_else(|| "".into(), |a| a.to_string().into())
    }

    /// Whoever this is, it is one of the known clients.
    pub fn identified(&self) {
        self.seats.places.borrow_mut().identified(self.no);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.seats.places.borrow_mut().left(self.no);
        self.seats.leave.borrow_mut().remove(&self.no);
        self.seats.freed.notify(usize::MAX);
    }
}

impl Seats {
    /// Places by these rules, with so many in the lobby at most.
    pub fn new(rules: Rules, lobby: usize, when_full: WhenFull, seed: u64) -> Rc<Self> {
        Rc::new(Seats {
            places: RefCell::new(Places::new(rules)),
            leave: RefCell::default(),
            freed: Event::new(),
            start: Instant::now(),
            lobby: Count::new(lobby.max(1)),
            farewells: Count::new(FAREWELLS.0),
            when_full,
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            held_back: RefCell::new(File::open("/dev/null").ok()),
            told: RefCell::default(),
        })
    }

    /// Serves each connection that comes to a port, for ever.
    pub async fn listen<S: Serve + 'static>(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        port: Rc<S>,
        wheel: Rc<Wheel>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        if let Err(e) = rustix::net::listen(&listener, BACKLOG) {
            log::warn!("listen: {e}");
        }
        loop {
            while self.when_full == WhenFull::Queue && self.lobby.now.get() >= self.lobby.most {
                let freed = self.freed.listen();
                wheel.limit(LOOK, freed).await;
            }
            match listener.accept().await {
                Ok((socket, from)) => {
                    self.arrive(socket, from.ip(), &port, &wheel, &executor);
                    // One in a turn: what came with it is read, and others go on, before the next.
                    future::yield_now().await;
                }
                Err(e) if is_short(&e) => {
                    if !self.without_descriptor(&listener, &*port) {
                        wheel.sleep(LOOK).await;
                    }
                    future::yield_now().await;
                }
                Err(e) => {
                    log::debug!("accept: {e}");
                    wheel.sleep(ACCEPT_REST).await;
                }
            }
        }
    }

    /// Tells the log what the door did, now and then; runs for ever.
    pub async fn tell(self: Rc<Self>, wheel: Rc<Wheel>) {
        let mut before = BTreeMap::new();
        loop {
            wheel.sleep(TELL).await;
            let now = self.told.borrow().clone();
            if now != before {
                let counts: Vec<String> = now.iter().map(|(what, n)| format!("{what} {n}")).collect();
                log::info!("door: {}; {} places taken", counts.join(", "), self.places.borrow().len());
                before = now;
            }
        }
    }

    fn count(&self, what: String) {
        *self.told.borrow_mut().entry(what).or_default() += 1;
    }

    fn arrive<S: Serve + 'static>(
        self: &Rc<Self>,
        socket: Async<TcpStream>,
        from: IpAddr,
        port: &Rc<S>,
        wheel: &Rc<Wheel>,
        executor: &Rc<LocalExecutor<'static>>,
    ) {
        let come = self.places.borrow_mut().come(self.start.elapsed(), from);
        if let Err((why, wait)) = come {
            return self.turn_away(socket, why, wait, port, wheel, executor);
        }
        // Listened for before anyone is told to leave, or that could have happened already.
        let freed = self.freed.listen();
        match self.seat(from) {
            Ok(seat) => executor.spawn(hold(seat, port.clone(), socket)).detach(),
            Err(Seating::None(why @ (Why::Address | Why::Prefix))) => {
                self.turn_away(socket, why, COME_BACK, port, wheel, executor)
            }
            Err(_) => match self.lobby.one() {
                Some(waiting) => {
                    let (seats, port, wheel, run) =
                        (self.clone(), port.clone(), wheel.clone(), executor.clone());
                    let wait =
                        async move { seats.wait((waiting, freed), socket, from, &port, &wheel, &run).await };
                    executor.spawn(wait).detach();
                }
                None => self.turn_away(socket, Why::Places, COME_BACK, port, wheel, executor),
            },
        }
    }

    /// Takes a place, or has one left for it.
    fn seat(self: &Rc<Self>, from: IpAddr) -> Result<Rc<Seat>, Seating> {
        let seating = self.places.borrow_mut().seat(self.start.elapsed(), from);
        match seating {
            Seating::Seated(no) => {
                self.count("admitted".into());
                let (leave, left) = async_channel::bounded(1);
                self.leave.borrow_mut().insert(no, leave);
                Ok(Rc::new(Seat { seats: self.clone(), no, left }))
            }
            Seating::After(no) => {
                self.count("shed".into());
                if let Some(leave) = self.leave.borrow().get(&no) {
                    leave.close();
                }
                Err(seating)
            }
            Seating::None(_) => Err(seating),
        }
    }

    /// Waits for a place.
    async fn wait<S: Serve + 'static>(
        self: Rc<Self>,
        (waiting, mut freed): (Counted, EventListener),
        socket: Async<TcpStream>,
        from: IpAddr,
        port: &Rc<S>,
        wheel: &Rc<Wheel>,
        executor: &Rc<LocalExecutor<'static>>,
    ) {
        let by = Instant::now() + LOBBY;
        while Instant::now() < by {
            wheel.limit(LOOK, freed).await;
            freed = self.freed.listen();
            if let Ok(seat) = self.seat(from) {
                drop(waiting);
                self.freed.notify(usize::MAX);
                return hold(seat, port.clone(), socket).await;
            }
        }
        drop(waiting);
        self.freed.notify(usize::MAX);
        self.turn_away(socket, Why::Places, COME_BACK, port, wheel, executor);
    }

    /// Tells a connection that there is no place, and when to come back: not all at one time.
    fn turn_away<S: Serve + 'static>(
        self: &Rc<Self>,
        socket: Async<TcpStream>,
        why: Why,
        wait: Duration,
        port: &Rc<S>,
        wheel: &Rc<Wheel>,
        executor: &Rc<LocalExecutor<'static>>,
    ) {
        self.count(format!("refused ({why})"));
        let wait = wait.mul_f64(0.5 + self.rng.borrow_mut().f64());
        match self.farewells.one() {
            Some(parting) => {
                let (port, wheel) = (port.clone(), wheel.clone());
                let told = async move {
                    wheel.limit(FAREWELLS.1, port.full(socket, why, wait)).await;
                    drop(parting);
                };
                executor.spawn(told).detach();
            }
            None => drop(socket.get_ref().write(&port.full_at_once(wait))),
        }
    }

    /// Accepts one with the descriptor that is held back, tells it that all is full, and holds that back again. False if
    /// it could not.
    fn without_descriptor<S: Serve>(&self, listener: &Async<TcpListener>, port: &S) -> bool {
        let given_up = self.held_back.borrow_mut().take().is_some();
        let accepted = listener.get_ref().accept();
        if let Ok((socket, _)) = &accepted {
            self.count("refused (no descriptor)".into());
            let wait = COME_BACK.mul_f64(0.5 + self.rng.borrow_mut().f64());
            let _ = socket
                .set_nonblocking(true)
                .and_then(|()| (&*socket).write(&port.full_at_once(wait)).map(drop));
        }
        let done = accepted.is_ok();
        drop(accepted);
        *self.held_back.borrow_mut() = File::open("/dev/null").ok();
        given_up && done
    }
}

async fn hold<S: Serve>(seat: Rc<Seat>, port: Rc<S>, socket: Async<TcpStream>) {
    let left = async {
        let _ = seat.left.recv().await;
    };
    port.serve(socket, seat.clone()).or(left).await;
}

/// Whether an error says that there is no descriptor.
pub fn is_short(e: &io::Error) -> bool {
    matches!(e.raw_os_error().map(Errno::from_raw_os_error), Some(Errno::MFILE | Errno::NFILE))
}
