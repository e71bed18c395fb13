//! Whether messages may be accepted at this moment.
//!
//! The module owns the [`AdmissionState`] and a queue. During a change of policy or routing table
//! no message is accepted for a short time; messages that arrive then wait in order of arrival, for
//! less time than their clients do. Messages wait here for no other reason; `admission_control`
//! limits the numbers of clients and messages. The agent sets the state. `delivery::message` checks
//! it right before a message is written to the journal, and again before its client is answered.

use crate::delivery::timer_wheel::TimerWheel;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Maximum time that a message waits in the queue. Clients hang up after 400 ms.
pub const MAX_WAIT: Duration = Duration::from_millis(300);
/// Retry-After for a client whose message was not admitted during a pause: a pause ends soon, by
/// the change or by its rollback.
const PAUSED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-After for a client while the sender is fenced; it is not known for how long.
const FENCED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// State that decides whether this sender may accept messages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdmissionState {
    /// It may, under its own settings: no coordinator governs it.
    #[default]
    Standalone,
    /// It may, under the current policy.
    Open {
        /// Time at which the permission ends. `None` where the sender keeps accepting at the risk
        /// that not all senders follow the same policy.
        until: Option<Instant>,
    },
    /// It may not, for the short time of a change of policy or routing table.
    Paused,
    /// It may not: it may have missed a change that other senders have made.
    Fenced,
}

/// Reason why a message is not accepted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionClosed {
    /// The message has waited for the maximum time, or the queue is full.
    #[error("a change of policy or routing table is in progress")]
    Paused,
    /// Other senders may follow another policy.
    #[error("the sender may have missed a change of policy")]
    Fenced,
}

impl AdmissionClosed {
    /// Returns the advised time until the client submits the message again.
    pub fn retry_after(self) -> Duration {
        match self {
            AdmissionClosed::Paused => PAUSED_RETRY_AFTER,
            AdmissionClosed::Fenced => FENCED_RETRY_AFTER,
        }
    }
}

/// Way in which a message was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// On arrival.
    AtOnce,
    /// After waiting in the queue.
    AfterWaiting,
}

/// The admission state, and the queue of messages that wait for it to change.
#[derive(Default)]
pub struct Admission {
    state: Cell<AdmissionState>,
    /// Waiting messages in order of arrival, and so of their numbers.
    queue: RefCell<VecDeque<QueueEntry>>,
    next_number: Cell<u64>,
}

/// The queue's entry for a waiting message.
struct QueueEntry {
    number: u64,
    /// Notifies the message that it is the first in the queue.
    turn: Sender<()>,
}

/// A message's place in the queue. Dropping it wakes the next message.
struct QueueTicket {
    admission: Rc<Admission>,
    number: u64,
    turn: Receiver<()>,
}

impl Admission {
    /// Changes the state.
    pub fn set(&self, state: AdmissionState) {
        self.state.set(state);
        self.wake_first();
    }

    /// Returns the current state. An open state whose time has passed counts as fenced.
    pub fn state(&self) -> AdmissionState {
        match self.state.get() {
            AdmissionState::Open { until: Some(until) } if Instant::now() >= until => {
                AdmissionState::Fenced
            }
            state => state,
        }
    }

    /// Checks whether a message may be accepted at this moment.
    ///
    /// # Errors
    /// Fails if it may not, with the reason.
    pub fn check(&self) -> Result<(), AdmissionClosed> {
        match self.state() {
            AdmissionState::Standalone | AdmissionState::Open { .. } => Ok(()),
            AdmissionState::Paused => Err(AdmissionClosed::Paused),
            AdmissionState::Fenced => Err(AdmissionClosed::Fenced),
        }
    }

    /// Returns the number of waiting messages.
    pub fn waiting(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Admits a message when its turn comes. It waits behind fewer than `max_waiting` others, and
    /// not longer than [`MAX_WAIT`].
    ///
    /// # Errors
    /// Fails if the message may not be accepted.
    pub async fn wait_for_turn(
        self: &Rc<Self>,
        wheel: &Rc<TimerWheel>,
        max_waiting: usize,
    ) -> Result<Admitted, AdmissionClosed> {
        match self.check() {
            Ok(()) if self.queue.borrow().is_empty() => return Ok(Admitted::AtOnce),
            Ok(()) | Err(AdmissionClosed::Paused) => {}
            Err(closed) => return Err(closed),
        }
        if self.waiting() >= max_waiting {
            return Err(AdmissionClosed::Paused);
        }
        let gives_up_at = Instant::now() + MAX_WAIT;
        let ticket = QueueTicket::new(self);
        if self.check().is_ok() {
            self.wake_first();
        }
        loop {
            let remaining = gives_up_at.saturating_duration_since(Instant::now());
            if wheel.timeout(remaining, ticket.turn.recv()).await.is_none() {
                return Err(AdmissionClosed::Paused);
            }
            match self.check() {
                Ok(()) => return Ok(Admitted::AfterWaiting),
                Err(AdmissionClosed::Fenced) => return Err(AdmissionClosed::Fenced),
                Err(AdmissionClosed::Paused) => {}
            }
        }
    }

    /// Wakes the first message in the queue, unless it has to keep waiting.
    fn wake_first(&self) {
        if self.state() == AdmissionState::Paused {
            return;
        }
        if let Some(first) = self.queue.borrow().front() {
            // A full channel means that the message was woken already.
            let _ = first.turn.try_send(());
        }
    }
}

impl QueueTicket {
    fn new(admission: &Rc<Admission>) -> Self {
        let number = admission.next_number.get();
        admission.next_number.set(number + 1);
        let (sender, turn) = async_channel::bounded(1);
        let entry = QueueEntry {
            number,
            turn: sender,
        };
        admission.queue.borrow_mut().push_back(entry);
        QueueTicket {
            admission: admission.clone(),
            number,
            turn,
        }
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let mut queue = self.admission.queue.borrow_mut();
        if let Ok(position) = queue.binary_search_by_key(&self.number, |entry| entry.number) {
            queue.remove(position);
        }
        drop(queue);
        self.admission.wake_first();
    }
}
