//! Whose messages are held: asked before one is taken on, and told when it is over.

use crate::admission_control::message_limits::{Kept, Limits, Messages};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Who hands messages in.
#[derive(Clone, Debug)]
pub struct Client {
    /// Its name, the same for all that it hands in.
    pub name: Rc<str>,
    /// Whether it is one of the known clients.
    pub known: bool,
}

/// Who handed in what an earlier process took on.
const EARLIER: &str = "an earlier process";

/// Owner of the count.
pub struct ClientQuotas {
    messages: RefCell<Messages>,
    start: Instant,
    /// How many were refused, by reason.
    refused: RefCell<BTreeMap<Kept, u64>>,
}

/// One message that is held; dropped, it is over.
pub struct ClientQuotaGuard {
    guests: Rc<ClientQuotas>,
    client: Rc<str>,
    since: Instant,
    delivered: Cell<bool>,
}

impl ClientQuotas {
    /// Nobody yet.
    pub fn new(limits: Limits) -> Rc<Self> {
        let messages = RefCell::new(Messages::new(limits));
        Rc::new(ClientQuotas {
            messages,
            start: Instant::now(),
            refused: RefCell::default(),
        })
    }

    /// Goes by other limits from now on; what is held stays.
    pub fn set_limits(&self, limits: Limits) {
        self.messages.borrow_mut().change(limits);
    }

    /// Whether a client's message of a class may come in. Where not, when to come back.
    pub fn check(&self, client: &Client, class: u16) -> Result<(), (Kept, Duration)> {
        let now = self.start.elapsed();
        let asked =
            self.messages
                .borrow_mut()
                .ask(now, &client.name, client.known, usize::from(class));
        asked.inspect_err(|(why, _)| *self.refused.borrow_mut().entry(*why).or_default() += 1)
    }

    /// How many were refused, by reason.
    pub fn rejections(&self) -> BTreeMap<Kept, u64> {
        self.refused.borrow().clone()
    }

    /// A client's message is held.
    pub fn hold(self: &Rc<Self>, client: Rc<str>) -> ClientQuotaGuard {
        self.messages.borrow_mut().taken_on(&client);
        ClientQuotaGuard {
            guests: self.clone(),
            client,
            since: Instant::now(),
            delivered: Cell::new(false),
        }
    }

    /// So is one that an earlier process took on.
    pub fn hold_restored(self: &Rc<Self>) -> ClientQuotaGuard {
        self.hold(EARLIER.into())
    }
}

impl ClientQuotaGuard {
    /// A provider took it.
    pub fn mark_delivered(&self) {
        self.delivered.set(true);
    }
}

impl Drop for ClientQuotaGuard {
    fn drop(&mut self) {
        let (now, stayed) = (self.guests.start.elapsed(), self.since.elapsed());
        self.guests
            .messages
            .borrow_mut()
            .over(now, &self.client, stayed, self.delivered.get());
    }
}
