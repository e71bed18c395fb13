//! Messages of the coordination protocol: plain data, with one file for each pair of participants.
//!
//! - [`agent_replica`]: the agent in a sender, and the replica that leads its site.
//! - [`operator_replica`]: an operator's command, and any replica of a site.
//! - Replica to replica and site to site: their messages carry Raft messages and are defined with
//!   the links that send them, in `replica/peers.rs` and `replica/site_links.rs`.
//!
//! This module defines the messages, and the [`Handshake`] that opens each connection. It opens no
//! connection, reads no clock and decides nothing; [`super::framing`] puts messages on a stream.
//! Agents, the `fleet` commands, the leader and the replicas use it.
//!
//! # Encoding
//!
//! All messages are encoded by `postcard`, which writes variants by their position and fields in
//! their order, without names. Names may change; the order and the types of variants and fields may
//! not, unless [`PROTOCOL_VERSION`] is raised.

mod agent_replica;
mod operator_replica;

pub use agent_replica::*;
pub use operator_replica::*;

use serde::{Deserialize, Serialize};

/// Version of the protocol. A side that receives another version closes the connection.
pub const PROTOCOL_VERSION: u16 = 3;
/// Longest body of a frame, in bytes, between agents, operators and replicas: a report of fifty
/// zones with eighty destinations each fits in it.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

/// Identifies the side that opens a connection; the first message on every connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// [`PROTOCOL_VERSION`] of the side that opens the connection.
    pub version: u16,
    /// Site that the connection is for, or the federation where the role is [`PeerRole::Site`]. A
    /// replica of another site rejects it.
    pub site: String,
    /// Role of the side that opens the connection.
    pub role: PeerRole,
}

/// Role of the side that opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRole {
    /// A replica of the same site, by its number.
    Replica(u64),
    /// The agent in a sender.
    Agent,
    /// A command of an operator.
    Operator,
    /// The leading replica of another site of the federation that [`Handshake::site`] names, by the
    /// number of that site.
    Site(u64),
}

/// Digest of a policy or a routing table: a hash of its canonical form, by which senders and
/// replicas verify that they refer to the same document.
pub type Digest = [u8; 32];

#[cfg(test)]
mod tests;
