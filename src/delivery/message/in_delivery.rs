//! What is held for an accepted message until its end.

use super::held_messages::MessageIdGuard;
use crate::delivery::client_quota::ClientQuotaGuard;
use crate::delivery::driver::{DispatchOrder, MessageHandle};
use crate::delivery::journal::OpenRecord;
use crate::delivery::policies::PolicyHold;
use crate::delivery::{duration, Envelope};
use crate::dispatch::deadline;
use crate::Nanos;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An accepted message, and what is held for it until its end. Dropped, all of that is released.
pub(super) struct MessageInDelivery {
    /// The message; its body may be in the journal only.
    pub(super) envelope: Rc<Envelope>,
    /// Its record in the journal.
    pub(super) record: OpenRecord,
    /// Its place at the dispatcher.
    pub(super) handle: MessageHandle,
    /// Its part of its client's quota.
    pub(super) quota: ClientQuotaGuard,
    /// What the dispatcher ordered as it took the message in.
    pub(super) first_order: Option<DispatchOrder>,
    /// When its time is up.
    pub(super) deadline: Instant,
    /// Its id; nothing where an earlier process left another message of the same one.
    pub(super) id_guard: Option<MessageIdGuard>,
    /// The policy that it ends under.
    pub(super) policy: PolicyHold,
}

impl MessageInDelivery {
    /// The time that it has left.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// When an attempt that begins now is over at the latest.
    pub(super) fn attempt_ends_at(&self) -> Instant {
        let time_left = self.time_left().as_nanos() as Nanos;
        Instant::now() + duration(deadline::longest_attempt(time_left))
    }
}
