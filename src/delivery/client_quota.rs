//! Quotas on the messages held for each client. A quota is checked before a message is accepted and
//! released when the message is closed.
//!
//! The module owns the clock and the counters; [`Messages`] in `admission_control` takes the
//! decisions. Called by `delivery::message`.

use crate::admission_control::message_limits::{Kept, Limits, Messages};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client that submits messages.
#[derive(Clone, Debug)]
pub struct Client {
    /// Name of the client, the same for all of its messages.
    pub name: Rc<str>,
    /// Whether the client is one of the known clients.
    pub known: bool,
}

/// Name of the client to which messages that an earlier process accepted are attributed.
const RESTORED_CLIENT: &str = "an earlier process";

/// The quotas of all clients.
pub struct ClientQuotas {
    messages: RefCell<Messages>,
    started_at: Instant,
    /// Number of rejected messages, by reason.
    rejections: RefCell<BTreeMap<Kept, u64>>,
}

/// Counts one message against its client's quota until it is dropped.
pub struct ClientQuotaGuard {
    quotas: Rc<ClientQuotas>,
    client: Rc<str>,
    held_since: Instant,
    is_delivered: Cell<bool>,
}

impl ClientQuotas {
    /// Creates quotas of which nothing is used.
    pub fn new(limits: Limits) -> Rc<Self> {
        Rc::new(ClientQuotas {
            messages: RefCell::new(Messages::new(limits)),
            started_at: Instant::now(),
            rejections: RefCell::default(),
        })
    }

    /// Replaces the limits. Messages that are held already stay.
    pub fn set_limits(&self, limits: Limits) {
        self.messages.borrow_mut().change(limits);
    }

    /// Whether a client's message of a class may be accepted.
    ///
    /// # Errors
    /// If it may not: the reason, and the advised time until the client submits it again.
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

    /// Returns the number of rejected messages, by reason.
    pub fn rejections(&self) -> BTreeMap<Kept, u64> {
        self.rejections.borrow().clone()
    }

    /// Counts an accepted message against its client's quota.
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
    /// Records that the message was delivered.
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
