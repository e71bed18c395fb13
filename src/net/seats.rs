//! The connections that others may open to this process: each takes a seat, and gives it back when it ends.
//!
//! With no seat free, a connection that keeps one without asking for anything has to go: those that never asked first,
//! then those that rest between two requests. One that is owed an answer never goes.

use crate::core::wheel::Wheel;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{future, Future, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// After a failed accept (no descriptor is free, say) the next one waits this long.
const ACCEPT_REST: Duration = Duration::from_millis(50);
/// With no seat free and none to be had, it is looked again after this time.
const LOOK: Duration = Duration::from_millis(10);
/// Connections that wait to be taken; more are turned away by the system, and come back only after a second.
const BACKLOG: i32 = 1024;

/// What a port does with its connections.
pub trait Serve {
    /// Serves one connection to its end. Dropped before that, where its seat says that nothing is owed on it.
    fn serve(self: Rc<Self>, socket: Async<TcpStream>, seat: Rc<Seat>) -> impl Future<Output = ()>;
}

/// What a connection does with its seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Use {
    /// Nothing has come on it.
    Silent,
    /// A part of a request has come.
    Begun,
    /// It was answered, and the next request has not begun.
    Resting,
    /// It is owed something.
    Busy,
}

impl Use {
    /// How long a connection is let be, though its seat is wanted: a usual client writes its request at once, and no
    /// client waits longer than this for the answer to one.
    fn patience(self) -> Option<Duration> {
        match self {
            Use::Silent | Use::Resting => Some(Duration::from_millis(50)),
            Use::Begun => Some(Duration::from_millis(400)),
            Use::Busy => None,
        }
    }
}

/// Owner of the seats.
pub struct Seats {
    most: usize,
    made: Cell<u64>,
    taken: RefCell<BTreeMap<u64, Rc<Seat>>>,
    freed: (Sender<()>, Receiver<()>),
}

/// One connection's seat.
pub struct Seat {
    state: Cell<(Use, Instant)>,
    /// Closed when its connection has to go.
    leave: (Sender<()>, Receiver<()>),
}

impl Seat {
    fn now(&self, what: Use) {
        self.state.set((what, Instant::now()));
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
}

/// A seat that is taken; dropped, it is free again.
struct Taken {
    seats: Rc<Seats>,
    no: u64,
}

impl Seats {
    /// So many seats.
    pub fn new(most: usize) -> Rc<Self> {
        let (made, taken) = (Cell::new(0), RefCell::default());
        Rc::new(Seats { most: most.max(1), made, taken, freed: async_channel::bounded(1) })
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
            self.room(&wheel).await;
            match listener.accept().await {
                Ok((socket, _)) => {
                    let (taken, port) = (self.take(), port.clone());
                    executor.spawn(taken.hold(port, socket)).detach();
                    // What came with it is read before another connection may want its seat.
                    future::yield_now().await;
                }
                Err(e) => {
                    log::debug!("accept: {e}");
                    wheel.sleep(ACCEPT_REST).await;
                }
            }
        }
    }

    /// Waits until a seat is free, and has the one that can best be spared given up for it.
    async fn room(&self, wheel: &Rc<Wheel>) {
        while self.taken.borrow().len() >= self.most {
            if let Some(seat) = self.spare() {
                log::debug!("seats: none free; one that is {:?} goes", seat.state.get().0);
                seat.leave.1.close();
                seat.busy();
            }
            let _ = wheel.limit(LOOK, self.freed.1.recv()).await;
        }
    }

    fn spare(&self) -> Option<Rc<Seat>> {
        let taken = self.taken.borrow();
        let idle = taken.values().filter(|s| {
            let (what, since) = s.state.get();
            what.patience().is_some_and(|p| since.elapsed() >= p)
        });
        idle.min_by_key(|s| (s.state.get().0 == Use::Resting, s.state.get().1)).cloned()
    }

    fn take(self: &Rc<Self>) -> Taken {
        let no = self.made.get();
        self.made.set(no + 1);
        let state = Cell::new((Use::Silent, Instant::now()));
        self.taken.borrow_mut().insert(no, Rc::new(Seat { state, leave: async_channel::bounded(1) }));
        Taken { seats: self.clone(), no }
    }
}

impl Taken {
    async fn hold<S: Serve>(self, port: Rc<S>, socket: Async<TcpStream>) {
        let Some(seat) = self.seats.taken.borrow().get(&self.no).cloned() else { return };
        let left = async {
            let _ = seat.leave.1.recv().await;
        };
        port.serve(socket, seat.clone()).or(left).await;
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.seats.taken.borrow_mut().remove(&self.no);
        let _ = self.seats.freed.0.try_send(());
    }
}
