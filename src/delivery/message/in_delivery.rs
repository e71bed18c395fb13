//! State of an accepted message until its end.

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

/// An accepted message, with everything that is held for it until its end and released on drop.
pub(super) struct MessageInDelivery {
    /// The message; its body may be in the journal only.
    pub(super) envelope: Rc<Envelope>,
    /// Its record in the journal.
    pub(super) record: OpenRecord,
    /// Its handle at the dispatcher.
    pub(super) handle: MessageHandle,
    /// Its share of its client's quota.
    pub(super) quota: ClientQuotaGuard,
    /// The dispatcher's order on submission, if it gave one at once.
    pub(super) first_order: Option<DispatchOrder>,
    /// Time at which its time is up.
    pub(super) deadline: Instant,
    /// Its registration; `None` if an earlier process left another message with the same id.
    pub(super) id_guard: Option<MessageIdGuard>,
    /// The policy that governs it.
    pub(super) policy: PolicyHold,
}

impl MessageInDelivery {
    /// Returns the time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time by which an attempt that begins now has to end.
    pub(super) fn attempt_ends_at(&self) -> Instant {
        let time_left = self.time_left().as_nanos() as Nanos;
        Instant::now() + duration(deadline::longest_attempt(time_left))
    }
}
