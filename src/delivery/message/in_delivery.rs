//! What is held for an accepted message until its end.

use super::held_messages::MessageIdGuard;
use crate::delivery::client_quota::ClientQuotaGuard;
use crate::delivery::driver::{DispatchOrder, MessageHandle};
use crate::delivery::journal::OpenRecord;
use crate::delivery::policies::PolicyHold;
use crate::delivery::Envelope;
use std::rc::Rc;
use std::time::Instant;

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
