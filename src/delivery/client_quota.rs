//! How many messages are held for each client: asked before one is accepted, and released when it
//! is closed.
//!
//! Owns the clock and the counters around [`Messages`], which decides; that is in
//! `admission_control`. Called by `delivery::message`.

use crate::admission_control::message_limits::{Kept, Limits, Messages};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Who hands messages in.
#[derive(Clone, Debug)]
pub struct Client {
    /// Its name, the same for all messages that it hands in.
    pub name: Rc<str>,
    /// Whether it is one of the known clients.
    pub known: bool,
}

/// The client that messages count for that an earlier process accepted.
const RESTORED_CLIENT: &str = "an earlier process";

/// Owner of the quotas.
pub struct ClientQuotas {
    messages: RefCell<Messages>,
    started_at: Instant,
    /// How many messages were rejected, by reason.
    rejections: RefCell<BTreeMap<Kept, u64>>,
}

/// One message that counts for its client; dropped, it is closed.
pub struct ClientQuotaGuard {
    quotas: Rc<ClientQuotas>,
    client: Rc<str>,
    held_since: Instant,
    is_delivered: Cell<bool>,
}

impl ClientQuotas {
    /// Quotas of which nothing is used.
    pub fn new(limits: Limits) -> Rc<Self> {
        Rc::new(ClientQuotas {
            messages: RefCell::new(Messages::new(limits)),
            started_at: Instant::now(),
            rejections: RefCell::default(),
        })
    }

    /// Goes by other limits from now on; what is held stays.
    pub fn set_limits(&self, limits: Limits) {
        self.messages.borrow_mut().change(limits);
    }

    /// Whether a client's message of a class may be accepted.
    ///
    /// # Errors
    /// It may not: why, and when the client is advised to come back.
    pub fn check(&self, client: &Client, class: u16) -> Result<(), (Kept, Duration)> {
        let now = self.started_at.elapsed();
        let checked =
            self.messages
                .borrow_mut()
                .ask(now, &client.name, client.known, usize::from(class));
        if let Err((reason, _)) = &checked {
            *self.rejections.borrow_mut().entry(*reason).or_default() += 1;
        }
        checked
    }

    /// How many messages were rejected, by reason.
    pub fn rejections(&self) -> BTreeMap<Kept, u64> {
        self.rejections.borrow().clone()
    }

    /// Counts an accepted message for its client.
    pub fn hold(self: &Rc<Self>, client: Rc<str>) -> ClientQuotaGuard {
        self.messages.borrow_mut().taken_on(&client);
        ClientQuotaGuard {
            quotas: self.clone(),
            client,
            held_since: Instant::now(),
            is_delivered: Cell::new(false),
        }
    }

    /// Counts a message that an earlier process accepted.
    pub fn hold_restored(self: &Rc<Self>) -> ClientQuotaGuard {
        self.hold(RESTORED_CLIENT.into())
    }
}

impl ClientQuotaGuard {
    /// Notes that the message was delivered.
    pub fn mark_delivered(&self) {
        self.is_delivered.set(true);
    }
}

impl Drop for ClientQuotaGuard {
    fn drop(&mut self) {
        let now = self.quotas.started_at.elapsed();
        let held_for = self.held_since.elapsed();
        self.quotas.messages.borrow_mut().over(
            now,
            &self.client,
            held_for,
            self.is_delivered.get(),
        );
    }
}
