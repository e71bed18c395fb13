//! The connections that clients may hold, over all ports together.

use crate::core::wheel::Wheel;
use async_channel::{Receiver, Sender};
use async_io::Async;
use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// After a failed accept (no descriptor is free, say) the next one waits this long.
const ACCEPT_REST: Duration = Duration::from_millis(50);

/// Owner of the seats.
pub struct Seats {
    most: usize,
    taken: Cell<usize>,
    freed: (Sender<()>, Receiver<()>),
}

/// One connection's seat; dropped, it is free again.
pub struct Seat(Rc<Seats>);

impl Seats {
    /// So many seats.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Seats { most, taken: Cell::new(0), freed: async_channel::bounded(1) })
    }

    /// Gives each connection that comes a seat, for ever; with none free, connections wait to be taken.
    pub async fn accept(
        self: Rc<Self>,
        wheel: &Rc<Wheel>,
        listener: &Async<TcpListener>,
        mut serve: impl FnMut(Async<TcpStream>, Seat),
    ) {
        loop {
            while self.taken.get() >= self.most {
                let _ = self.freed.1.recv().await;
            }
            match listener.accept().await {
                Ok((socket, _)) => {
                    self.taken.set(self.taken.get() + 1);
                    serve(socket, Seat(self.clone()));
                }
                Err(e) => {
                    log::warn!("accept: {e}");
                    wheel.sleep(ACCEPT_REST).await;
                }
            }
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
        let _ = self.0.freed.0.try_send(());
    }
}
