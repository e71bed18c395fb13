//! A bounded sum of bytes that many connections hold together. No I/O and no clock.
//!
//! Each connection has one [`MemoryHold`], which says how many bytes it needs now and returns them
//! when it is dropped. What does not fit is refused at once: whoever asks has to say so to its peer.

use event_listener::{Event, EventListener};
use std::cell::Cell;
use std::rc::Rc;

/// Part of a pool that only known clients may use: one in so many bytes.
const KNOWN_SHARE: usize = 4;

/// More memory was asked for than the pool has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for {wanted} bytes more")]
pub struct OutOfMemory {
    /// Bytes that were asked for in addition to those held already.
    pub wanted: usize,
}

impl From<OutOfMemory> for std::io::Error {
    fn from(full: OutOfMemory) -> Self {
        std::io::Error::new(std::io::ErrorKind::OutOfMemory, full)
    }
}

/// The bytes that may be held together.
#[derive(Debug)]
pub struct MemoryPool {
    /// Notified when memory is refused.
    refused: Event,
    limit_bytes: usize,
    held_bytes: Cell<usize>,
    refusals: Cell<u64>,
}

impl MemoryPool {
    /// Creates a pool of so many bytes, all of them free.
    pub fn new(limit_bytes: usize) -> Rc<Self> {
        Rc::new(MemoryPool {
            refused: Event::new(),
            limit_bytes,
            held_bytes: Cell::default(),
            refusals: Cell::default(),
        })
    }

    /// Returns a hold of no bytes yet.
    pub fn hold(self: &Rc<Self>) -> MemoryHold {
        MemoryHold {
            pool: self.clone(),
            bytes: Cell::default(),
            releases: Cell::default(),
            is_known: Cell::default(),
        }
    }

    /// Bytes that all holds may have together.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Bytes that all holds have now.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// How often memory was refused since the start of the process.
    pub fn refusals(&self) -> u64 {
        self.refusals.get()
    }

    /// Listens for the next refusal.
    pub fn next_refusal(&self) -> EventListener {
        self.refused.listen()
    }

    /// Bytes that one who is known, or not, may use beside what is held.
    fn free_bytes(&self, is_known: bool) -> usize {
        let kept_back = if is_known {
            0
        } else {
            self.limit_bytes / KNOWN_SHARE
        };
        self.limit_bytes
            .saturating_sub(kept_back + self.held_bytes.get())
    }
}

/// The bytes of one connection. Dropping it returns them to the pool.
#[derive(Debug)]
pub struct MemoryHold {
    pool: Rc<MemoryPool>,
    bytes: Cell<usize>,
    /// How often all was returned.
    releases: Cell<u64>,
    is_known: Cell<bool>,
}

impl MemoryHold {
    /// Lets it use also what is kept for known clients.
    pub fn set_known(&self) {
        self.is_known.set(true);
    }

    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Holds at least so many bytes from now on.
    ///
    /// # Errors
    /// The pool has not that many left; nothing is changed.
    pub fn grow_to(&self, bytes: usize) -> Result<(), OutOfMemory> {
        let wanted = bytes.saturating_sub(self.bytes.get());
        if wanted > self.pool.free_bytes(self.is_known.get()) && wanted > 0 {
            self.pool.refusals.set(self.pool.refusals.get() + 1);
            self.pool.refused.notify(usize::MAX);
            return Err(OutOfMemory { wanted });
        }
        self.set(self.bytes.get() + wanted);
        Ok(())
    }

    /// Returns all bytes to the pool.
    pub fn release(&self) {
        self.releases.set(self.releases.get() + 1);
        self.set(0);
    }

    /// How often all was returned: what is held now is for the same message as long as this does
    /// not change.
    pub fn releases(&self) -> u64 {
        self.releases.get()
    }

    fn set(&self, bytes: usize) {
        let others = self.pool.held_bytes.get() - self.bytes.replace(bytes);
        self.pool.held_bytes.set(others + bytes);
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.release();
    }
}

#[cfg(test)]
mod tests;
