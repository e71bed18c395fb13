//! Messages between the members of a federation, and the commands that a site may request from the
//! leading one.
//!
//! The messages are encoded as postcard frames: the order of variants and fields is the wire
//! format.

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
    /// Asks the leading site to append a command to the federation's log.
    Command(Box<Command>),
    /// Asks the leading site to grant the sender a lease. Holds the request's identifier.
    LeaseRequest(u64),
    /// Grants a lease.
    LeaseGranted {
        /// Identifier of the request that this message answers.
        ask: u64,
        /// Length of the lease from the time the request was sent, in milliseconds.
        lease_ms: u32,
        /// Version of the federation's record at the time of the grant. The lease counts once the
        /// receiver has that version, so the holder of a lease knows all that was agreed by then.
        version: u64,
    },
    /// Forwards an operator's roster order to the leading site.
    RosterOrder {
        /// Identifier of the order at the site that sends it.
        id: u64,
        /// The order.
        order: FederationRequest,
    },
    /// Result of a forwarded roster order.
    RosterOrderResult {
        /// Identifier of the order at the site that sent it.
        id: u64,
        /// Version of the record that contains the change, or a text for operators that says why
        /// the order was rejected. The wire format has a plain text here.
        answer: Result<u64, String>,
    },
}

/// Reason why a message of another member is invalid; its connection is to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The raft group rejects the message.
    #[error(transparent)]
    InvalidRaftMessage(#[from] RefusedMessage),
}

/// Returns whether a site may request this command. A site may request commands about itself and
/// the abort of a proposal, but no command that only the leader issues.
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
