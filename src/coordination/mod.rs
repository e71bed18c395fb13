//! The agreed record of a site: 3 or 5 keepers hold it, agents in the senders follow it.
//!
//! From the bottom: [`messages`] has the words that are said, [`record`] what all keepers agree on,
//! [`leader`] what the leader alone does with it (sessions, evidence, leases), [`zones`] what it
//! judges zones by. These read no clock and open no socket. What carries them stands above.
//!
//! The platform's senders share nothing: there none of this is built.

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
pub mod routing_table;
pub mod sender_registry;
pub mod zones;

/// As much of a reason as is kept: so many bytes at the most, and whole characters.
fn cut(why: &str, most: usize) -> String {
    let end = (0..=most.min(why.len()))
        .rev()
        .find(|at| why.is_char_boundary(*at))
        .unwrap_or(0);
    why[..end].into()
}
