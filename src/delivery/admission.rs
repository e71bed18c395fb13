//! Whether messages are accepted in this moment.
//!
//! Owns the [`AdmissionState`] and the queue of messages that wait for it. Between two policies
//! nothing is accepted for a moment: what comes then waits, in order, for less time than its
//! client does. Nothing else makes a message wait here; how many clients and messages there may be
//! is `admission_control`'s business. The agent sets the state; `delivery::message` asks for it
//! right before a message is written down, and once more before its client is answered.

use crate::delivery::timer_wheel::TimerWheel;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// A message waits this long for the next policy at the most: its client hangs up after 400 ms.
pub const MAX_WAIT: Duration = Duration::from_millis(300);
/// What a client is told that waited in vain: a pause is over soon, or taken back.
const PAUSED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// What a client is told while the sender may accept nothing: nobody knows for how long.
const FENCED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Whether this sender may accept messages now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdmissionState {
    /// It may, under its own settings: it follows nobody.
    #[default]
    Standalone,
    /// It may, under the current policy.
    Open {
        /// No longer than this; nothing where it gives up the promise that all senders go by one
        /// policy.
        until: Option<Instant>,
    },
    /// It may not, for the moment between two policies.
    Paused,
    /// It may not: others may, and this sender may have missed a change.
    Fenced,
}

/// Why a message is not accepted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionClosed {
    /// It has waited for as long as it may, or as many wait as may.
    #[error("between two policies")]
    Paused,
    /// Others may go by another policy.
    #[error("the sender may have missed a change of policy")]
    Fenced,
}

impl AdmissionClosed {
    /// When the client is advised to hand the message in again.
    pub fn retry_after(self) -> Duration {
        match self {
            AdmissionClosed::Paused => PAUSED_RETRY_AFTER,
            AdmissionClosed::Fenced => FENCED_RETRY_AFTER,
        }
    }
}

/// How a message came to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// In the moment in which it came.
    AtOnce,
    /// After it waited in the queue.
    AfterWaiting,
}

/// Owner of the state, and of the queue of messages that wait for it to change.
#[derive(Default)]
pub struct Admission {
    state: Cell<AdmissionState>,
    /// In the order in which they came, so by number.
    queue: RefCell<VecDeque<QueueEntry>>,
    next_number: Cell<u64>,
}

/// A message that waits, as the queue sees it.
struct QueueEntry {
    number: u64,
    /// Tells the message that it is the first one now.
    turn: Sender<()>,
}

/// A message's place in the queue; dropped, the next one's turn has come.
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

    /// The state in this moment: one that was open until a time that has passed is fenced.
    pub fn state(&self) -> AdmissionState {
        match self.state.get() {
            AdmissionState::Open { until: Some(until) } if Instant::now() >= until => {
                AdmissionState::Fenced
            }
            state => state,
        }
    }

    /// Whether a message may be accepted in this moment.
    ///
    /// # Errors
    /// It may not.
    pub fn check(&self) -> Result<(), AdmissionClosed> {
        match self.state() {
            AdmissionState::Standalone | AdmissionState::Open { .. } => Ok(()),
            AdmissionState::Paused => Err(AdmissionClosed::Paused),
            AdmissionState::Fenced => Err(AdmissionClosed::Fenced),
        }
    }

    /// Messages that wait.
    pub fn waiting(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Admits a message when its turn comes; it waits for that behind fewer than `max_waiting`
    /// others, and not longer than [`MAX_WAIT`].
    ///
    /// # Errors
    /// It may not be accepted.
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

    /// Wakes the first message in the queue, unless it has to wait on.
    fn wake_first(&self) {
        if self.state() == AdmissionState::Paused {
            return;
        }
        if let Some(first) = self.queue.borrow().front() {
            // A full channel means that it is woken already.
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
