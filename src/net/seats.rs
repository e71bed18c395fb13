//! The connections that others may open to this process: each takes a seat, and gives it back when it ends.

use crate::core::wheel::Wheel;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::Future;
use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// After a failed accept (no descriptor is free, say) the next one waits this long.
const ACCEPT_REST: Duration = Duration::from_millis(50);

/// What a port does with its connections.
pub trait Serve {
    /// Serves one connection to its end.
    fn serve(self: Rc<Self>, socket: Async<TcpStream>) -> impl Future<Output = ()>;
}

/// Owner of the seats.
pub struct Seats {
    most: usize,
    taken: Cell<usize>,
    freed: (Sender<()>, Receiver<()>),
}

/// One connection's seat; dropped, it is free again.
struct Seat(Rc<Seats>);

impl Seats {
    /// So many seats.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Seats { most, taken: Cell::new(0), freed: async_channel::bounded(1) })
    }

    /// Serves each connection that comes to a port, for ever; with no seat free, connections wait to be taken.
    pub async fn listen<S: Serve + 'static>(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        port: Rc<S>,
        wheel: Rc<Wheel>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        loop {
            while self.taken.get() >= self.most {
                let _ = self.freed.1.recv().await;
            }
            match listener.accept().await {
                Ok((socket, _)) => {
                    let (seat, port) = (Seat::new(&self), port.clone());
                    let serving = async move {
                        port.serve(socket).await;
                        drop(seat);
                    };
                    executor.spawn(serving).detach();
                }
                Err(e) => {
                    log::warn!("accept: {e}");
                    wheel.sleep(ACCEPT_REST).await;
                }
            }
        }
    }
}

impl Seat {
    fn new(seats: &Rc<Seats>) -> Self {
        seats.taken.set(seats.taken.get() + 1);
        Seat(seats.clone())
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
        let _ = self.0.freed.0.try_send(());
    }
}
