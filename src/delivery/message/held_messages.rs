//! The held messages, by the ids that their clients assigned.
//!
//! This module detects duplicates. While a [`MessageIdGuard`] exists, another message of the same
//! id is recognized as a duplicate, whether or not the first one is accepted yet; after its end,
//! [`FinishedMessages`] recognizes it. `accept` and `resume` register messages. The journal and the dispatcher use numbers of their own.

use crate::delivery::finished_messages::{Ending, FinishedMessage, FinishedMessages, MessageKey};
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{Envelope, Frontend, Verdict};
use event_listener::Event as Notifier;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Maximum time that a duplicate waits for the decision on the message that it repeats. A message
/// whose decision takes longer is about to be closed, as its client does not receive the answer.
const DECISION_TIMEOUT: Duration = super::CLIENT_ANSWER_TIMEOUT;

/// The ids of all held messages.
pub struct HeldMessages {
    by_id: RefCell<HashMap<MessageKey, HeldMessage>>,
    /// Most messages that may be held, those included whose final answer waits to be heard.
    max_messages: usize,
    finished: FinishedMessages,
}

impl MessageKey {
    fn of(envelope: &Envelope) -> Self {
        MessageKey {
            frontend: envelope.frontend,
            id: envelope.id.clone(),
        }
    }
}

/// A held message, as registered under its id.
#[derive(Clone)]
struct HeldMessage {
    /// Checksum that is equal for a repeat of the same message.
    fingerprint: u32,
    decision: Rc<PendingDecision>,
}

/// Decision on whether a message is accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum AcceptanceDecision {
    /// There is no decision yet.
    #[default]
    Undecided,
    /// The message is accepted, and its client has received that answer.
    Accepted,
    /// The message is rejected, or closed before its client received an answer.
    Rejected,
}

/// A decision that duplicates can wait for. Only the first decision counts.
#[derive(Default)]
struct PendingDecision {
    decision: Cell<AcceptanceDecision>,
    decided: Notifier,
}

impl PendingDecision {
    fn decide(&self, decision: AcceptanceDecision) {
        if self.decision.get() == AcceptanceDecision::Undecided {
            self.decision.set(decision);
            self.decided.notify(usize::MAX);
        }
    }

    async fn wait(&self, wheel: &Rc<TimerWheel>) -> AcceptanceDecision {
        let decided = self.decided.listen();
        if self.decision.get() == AcceptanceDecision::Undecided {
            wheel.timeout(DECISION_TIMEOUT, decided).await;
        }
        self.decision.get()
    }
}

/// Kind of a message that has the same id as a held one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Duplicate {
    /// The same message, submitted again.
    SameMessage,
    /// The same message, which has ended.
    Finished(Ending),
    /// A different message with the same id.
    OtherMessage,
}

impl Duplicate {
    /// Returns this kind for a repeat of the message with a fingerprint, else
    /// [`Duplicate::OtherMessage`].
    fn unless_other(self, of_first: u32, envelope: &Envelope) -> Self {
        if of_first == fingerprint(envelope) {
            self
        } else {
            Duplicate::OtherMessage
        }
    }
}

impl Default for HeldMessages {
    /// A table without a bound, which ends with the process.
    fn default() -> Self {
        HeldMessages::new(usize::MAX, FinishedMessages::default())
    }
}

impl HeldMessages {
    /// Creates the table for at most so many messages, beside that of the messages that have ended.
    pub fn new(max_messages: usize, finished: FinishedMessages) -> Self {
        HeldMessages {
            by_id: RefCell::default(),
            max_messages,
            finished,
        }
    }

    /// Whether more messages are registered than may be held.
    pub(super) fn is_over_limit(&self) -> bool {
        self.len() > self.max_messages
    }

    /// Returns the number of ids of ended messages that are remembered.
    pub fn finished_count(&self) -> usize {
        self.finished.len()
    }

    /// Remembers that a message has ended, so that it does not run again under its id.
    pub(super) fn remember_end(&self, envelope: &Envelope, verdict: Verdict) {
        let Some(ending) = Ending::of(verdict) else {
            return;
        };
        let message = FinishedMessage {
            fingerprint: fingerprint(envelope),
            ending,
        };
        self.finished.remember(MessageKey::of(envelope), message);
    }

    fn find_finished(&self, envelope: &Envelope) -> Option<Duplicate> {
        let finished = self.finished.find(&MessageKey::of(envelope))?;
        let duplicate = Duplicate::Finished(finished.ending);
        Some(duplicate.unless_other(finished.fingerprint, envelope))
    }

    /// Returns the number of held messages.
    pub fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Whether no message is held.
    pub fn is_empty(&self) -> bool {
        self.by_id.borrow().is_empty()
    }

    /// Looks for a held or ended message with the same id. Waits for a decision if that message may
    /// still be rejected: a client that is answered earlier would consider its message accepted.
    pub(super) async fn find_duplicate(
        &self,
        envelope: &Envelope,
        wheel: &Rc<TimerWheel>,
    ) -> Option<Duplicate> {
        let held = self.by_id.borrow().get(&MessageKey::of(envelope)).cloned();
        let Some(held) = held else {
            return self.find_finished(envelope);
        };
        if held.decision.wait(wheel).await == AcceptanceDecision::Rejected {
            return None;
        }
        Some(Duplicate::SameMessage.unless_other(held.fingerprint, envelope))
    }

    /// Registers a new message under its id. Returns `None` if a message with this id is held or
    /// has ended.
    pub(super) fn register_new(
        self: &Rc<Self>,
        envelope: &Envelope,
        frontends: &BTreeMap<u8, Rc<dyn Frontend>>,
    ) -> Option<MessageIdGuard> {
        if self.find_finished(envelope).is_some() {
            return None;
        }
        self.register(envelope, frontends)
    }

    /// Registers a message under its id. Returns `None` if a message with this id is held already.
    pub(super) fn register(
        self: &Rc<Self>,
        envelope: &Envelope,
        frontends: &BTreeMap<u8, Rc<dyn Frontend>>,
    ) -> Option<MessageIdGuard> {
        let key = MessageKey::of(envelope);
        if self.by_id.borrow().contains_key(&key) {
            return None;
        }
        let decision = Rc::<PendingDecision>::default();
        let held = HeldMessage {
            fingerprint: fingerprint(envelope),
            decision: decision.clone(),
        };
        self.by_id.borrow_mut().insert(key.clone(), held);
        let pending_answer = frontends
            .get(&envelope.frontend)
            .and_then(|frontend| frontend.pending_answer_guard(envelope));
        Some(MessageIdGuard {
            held_messages: self.clone(),
            key,
            decision,
            _pending_answer: pending_answer,
        })
    }
}

/// Registration of a held message under its id. Dropping it frees the id, and rejects the message
/// if there is no decision on it.
pub(super) struct MessageIdGuard {
    held_messages: Rc<HeldMessages>,
    key: MessageKey,
    decision: Rc<PendingDecision>,
    /// The frontend's guard for the message, until no answer is owed for it.
    _pending_answer: Option<Box<dyn Any>>,
}

impl MessageIdGuard {
    /// Decides on the message, and wakes the duplicates that wait for the decision. Only the first
    /// decision counts.
    pub(super) fn decide(&self, decision: AcceptanceDecision) {
        self.decision.decide(decision);
    }
}

impl Drop for MessageIdGuard {
    fn drop(&mut self) {
        self.held_messages.by_id.borrow_mut().remove(&self.key);
        self.decide(AcceptanceDecision::Rejected);
    }
}

/// Returns a checksum that distinguishes messages with the same id.
fn fingerprint(envelope: &Envelope) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for number in [envelope.class, envelope.dest, envelope.tenant] {
        hasher.update(&number.to_be_bytes());
    }
    hasher.update(envelope.key.as_deref().unwrap_or("").as_bytes());
    hasher.finalize()
}
