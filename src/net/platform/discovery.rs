//! Where discovery is. The one owner of that address, which the operators may change while the
//! program runs.

use event_listener::Event;
use futures_lite::{Future, FutureExt};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The address of discovery, which takes notices too.
pub struct Discovery {
    address: Cell<SocketAddr>,
    moved: Event,
}

impl Discovery {
    /// At an address, for now.
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(Discovery {
            address: Cell::new(address),
            moved: Event::new(),
        })
    }

    /// Where it is now.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// It is somewhere else from now on: all work with it there ends at once, and begins again at
    /// the new address.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify(usize::MAX);
        }
    }

    /// Runs work with it; nothing, if it moves before that is done. Whatever the work was waiting
    /// for cannot delay the move: the old address may never answer again.
    pub async fn while_there<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let listening = self.moved.listen();
        let moved = async {
            listening.await;
            None
        };
        // The move comes first: it is told once, and work that ends in the same turn is not the
        // end that its caller has to know of.
        moved.or(async { Some(work.await) }).await
    }
}
