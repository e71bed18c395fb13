//! The messages that are held, by the id that their clients know them by.
//!
//! Owns the answer to "is this message here already?". While a [`MessageIdGuard`] lives, a second
//! message of its id is recognized as a duplicate, whether or not the first one is accepted yet.
//! `accept` and `resume` register messages; the stages of the journal and the dispatcher have
//! their own numbers for them.

use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{Envelope, Frontend};
use event_listener::Event as Notifier;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// A duplicate waits this long for the decision on the message that it repeats: one that takes
/// longer is about to be closed, as its client does not receive the answer.
const DECISION_TIMEOUT: Duration = super::CLIENT_ANSWER_TIMEOUT;

/// Owner of the ids of all messages that are held.
#[derive(Default)]
pub struct HeldMessages {
    by_id: RefCell<HashMap<MessageKey, HeldMessage>>,
}

/// What a message is known by: ids are unique within a frontend.
#[derive(Clone, PartialEq, Eq, Hash)]
struct MessageKey {
    frontend: u8,
    id: String,
}

impl MessageKey {
    fn of(envelope: &Envelope) -> Self {
        MessageKey {
            frontend: envelope.frontend,
            id: envelope.id.clone(),
        }
    }
}

/// What is known of a message under its id.
#[derive(Clone)]
struct HeldMessage {
    /// What has to be equal for a second one to be the same message.
    fingerprint: u32,
    decision: Rc<PendingDecision>,
}

/// Whether a message is accepted, and its client was told so, or is rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum AcceptanceDecision {
    /// It may still become either.
    #[default]
    Undecided,
    /// It is accepted, and its client has received that answer.
    Accepted,
    /// It is rejected, or closed before its client received an answer.
    Rejected,
}

/// A decision that others may wait for. The first one stands.
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

/// A message that has the id of one that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Duplicate {
    /// The same message, handed in once more.
    SameMessage,
    /// Another message under the same id.
    OtherMessage,
}

impl HeldMessages {
    /// How many messages are held.
    pub fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Whether no message is held.
    pub fn is_empty(&self) -> bool {
        self.by_id.borrow().is_empty()
    }

    /// Looks for a message that is held under the id of this one. One that may still be rejected
    /// is waited for: a client that is answered now would take its message for accepted.
    pub(super) async fn find_duplicate(
        &self,
        envelope: &Envelope,
        wheel: &Rc<TimerWheel>,
    ) -> Option<Duplicate> {
        let held = self
            .by_id
            .borrow()
            .get(&MessageKey::of(envelope))
            .cloned()?;
        if held.decision.wait(wheel).await == AcceptanceDecision::Rejected {
            return None;
        }
        if held.fingerprint == fingerprint(envelope) {
            Some(Duplicate::SameMessage)
        } else {
            Some(Duplicate::OtherMessage)
        }
    }

    /// Registers a message under its id; nothing where one of this id is held already.
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

/// The id of a message that is held. Dropping it frees the id, and decides that a message that was
/// not accepted by then is rejected.
pub(super) struct MessageIdGuard {
    held_messages: Rc<HeldMessages>,
    key: MessageKey,
    decision: Rc<PendingDecision>,
    /// What the frontend holds for the message until nothing is owed for it.
    _pending_answer: Option<Box<dyn Any>>,
}

impl MessageIdGuard {
    /// Decides on the message, and wakes the duplicates that wait for it. The first decision
    /// stands.
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

/// Tells messages of one id apart.
fn fingerprint(envelope: &Envelope) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for number in [envelope.class, envelope.dest, envelope.tenant] {
        hasher.update(&number.to_be_bytes());
    }
    hasher.update(envelope.key.as_deref().unwrap_or("").as_bytes());
    hasher.finalize()
}
