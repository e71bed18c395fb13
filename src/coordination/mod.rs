//! Coordination of the senders of a site: 3 or 5 replicas hold an agreed record, and the agents in
//! the senders apply it.
//!
//! Senders without coordination do not need this module; it is built only with the feature `fleet`.
//!
//! The modules from the lowest to the highest; each uses only those listed before it:
//!
//! | module | owns |
//! | --- | --- |
//! | [`messages`] | messages between agents, operators and replicas |
//! | [`framing`] | framing of messages on a stream |
//! | [`replicated_state`] | interface of a state that a Raft group replicates |
//! | [`raft_log`] | a replica's log, on disk and in memory |
//! | [`policy_rollout`], [`routing_table`] | documents, their registers in the record, and their activation; `routing_table` also contains the federation of sites |
//! | [`record`] | the state on which all replicas of a site agree |
//! | [`raft_group`] | terms, votes, the commit index and the members of a group |
//! | [`bootstrap`] | the first start of a site, before its replicas vote |
//! | [`sender_registry`] | state of senders according to their own messages |
//! | [`zones`] | evidence on zones, spare capacity and recovery ramps |
//! | [`leader`] | duties of the leader: sessions and their leases, decisions, orders |
//! | [`config`] | the configuration file of a replica |
//! | [`replica`] | the process: sockets, threads, clocks, and the loop that drives all of it |
//!
//! [`policy_rollout`] and [`routing_table`] have parts below and above the record: their registers
//! and documents are below it, the leader's use of them (`policy_rollout::rollout`,
//! `routing_table::{cutover, member}`) is above.
//!
//! Only [`replica`] reads a clock or opens a socket. All other modules are driven by events and
//! return effects, so that tests and the simulator need neither.

pub mod bootstrap;
pub mod config;
pub mod framing;
pub mod leader;
pub mod messages;
pub mod policy_rollout;
pub mod raft_group;
pub mod raft_log;
pub mod record;
pub mod replica;
pub mod replicated_state;
pub mod routing_table;
pub mod sender_registry;
pub mod zones;

/// Returns the longest prefix of a text that fits in `max_bytes`, cut at a character boundary.
fn truncate_utf8(text: &str, max_bytes: usize) -> String {
    let end = (0..=max_bytes.min(text.len()))
        .rev()
        .find(|at| text.is_char_boundary(*at))
        .unwrap_or(0);
    text[..end].into()
}
