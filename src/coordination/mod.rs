//! The agreed record of a site: 3 or 5 replicas hold it, and the agents in the senders follow it.
//!
//! Senders that share nothing do without all of this: it is built with the feature `fleet` alone.
//!
//! From the bottom up; each module uses only those above it in this list:
//!
//! | module | owns |
//! | --- | --- |
//! | [`messages`] | what agents, operators and replicas say to each other |
//! | [`framing`] | how a message stands on a stream |
//! | [`replicated_state`] | what a Raft group has to know of what it agrees on |
//! | [`raft_log`] | a replica's log, on disk and in memory |
//! | [`policy_rollout`], [`routing_table`] | documents, their registers in the record, and how they come into force; of the second also the federation of sites |
//! | [`record`] | what all replicas of a site agree on |
//! | [`raft_group`] | terms, votes, the commit index and the members of a group |
//! | [`bootstrap`] | the first start of a site, before its replicas vote |
//! | [`sender_registry`] | what a leader knows of senders by their own messages |
//! | [`zones`] | evidence on zones, spare capacity and recovery ramps |
//! | [`leader`] | what the leader alone does: sessions and their leases, decisions, orders |
//! | [`config`] | the file of a replica |
//! | [`replica`] | the process: sockets, threads, clocks, and the loop that drives all of it |
//!
//! Two of them have parts on both sides of the record: the registers and documents of
//! [`policy_rollout`] and [`routing_table`] are below it, what the leader does with them
//! (`policy_rollout::rollout`, `routing_table::{cutover, member}`) is above.
//!
//! Only [`replica`] reads a clock or opens a socket. Everything below it is driven by events and
//! returns effects, so that tests and the simulator drive it without either.

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

/// Keeps as much of a text as fits in so many bytes, in whole characters.
fn truncate_utf8(text: &str, max_bytes: usize) -> String {
    let end = (0..=max_bytes.min(text.len()))
        .rev()
        .find(|at| text.is_char_boundary(*at))
        .unwrap_or(0);
    text[..end].into()
}
