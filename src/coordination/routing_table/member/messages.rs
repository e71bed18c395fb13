//! Messages between the members of a federation, and what a site may ask the leading one for.
//!
//! They travel as postcard frames: the order of variants and fields is the wire format.

use crate::coordination::messages::FederationRequest;
use crate::coordination::raft_group::RefusedMessage;
use crate::coordination::routing_table::federation::{Command, Federation};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// A message of the raft group.
    Raft(ByteBuf),
    /// To the leading site: append this command to the federation's log.
    Command(Box<Command>),
    /// To the leading site: grant the sender a lease. Holds the request's identifier.
    LeaseRequest(u64),
    /// A lease is granted.
    LeaseGranted {
        /// The request that it answers.
        ask: u64,
        /// Length from when the request was sent, in milliseconds.
        lease_ms: u32,
        /// Version of the federation's record by which it was granted. The lease counts once the
        /// receiver has that version, so whoever has a lease knows what was agreed by then.
        version: u64,
    },
    /// To the leading site: an operator's order on the roster.
    RosterOrder {
        /// Identifies the order at the site that sends it.
        id: u64,
        /// The order.
        order: FederationRequest,
    },
    /// Result of an order on the roster.
    RosterOrderResult {
        /// The order.
        id: u64,
        /// Version of the record that has it, or why it was refused, for people. The wire format
        /// has a plain text here.
        answer: Result<u64, String>,
    },
}

/// A member sent what no member sends; its connection is to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The raft group cannot take the message.
    #[error(transparent)]
    InvalidRaftMessage(#[from] RefusedMessage),
}

/// Whether a site may ask for this command: it speaks for itself alone, and what only the leader
/// says nobody else may.
pub(super) fn may_request(command: &Command, from: u64, record: &Federation) -> bool {
    match command {
        Command::Propose { by, .. } => record.sites.get(&from).is_some_and(|s| s.name == *by),
        Command::Accept { site, .. }
        | Command::Refuse { site, .. }
        | Command::CutOver { site, .. } => *site == from,
        Command::Abort { .. } => true,
        Command::Beat { .. }
        | Command::Join { .. }
        | Command::Off { .. }
        | Command::Leases { .. } => false,
    }
}
