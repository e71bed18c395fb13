//! The agreed record of a site: 3 or 5 keepers hold it, agents in the senders follow it.
//!
//! From the bottom: [`wire`] has the words that are said, [`record`] what all keepers agree on,
//! [`leader`] what the leader alone does with it (sessions, evidence, leases), [`zones`] what it
//! judges zones by. These read no clock and open no socket. What carries them stands above.
//!
//! The platform's senders share nothing: there none of this is built.

pub mod begin;
pub mod config;
pub mod ears;
pub mod frames;
pub mod group;
pub mod leader;
pub mod log;
pub mod policy;
pub mod record;
pub mod replica;
pub mod table;
pub mod wire;
pub mod zones;

/// As much of a reason as is kept: so many bytes at the most, and whole characters.
fn cut(why: &str, most: usize) -> String {
    let end = (0..=most.min(why.len()))
        .rev()
        .find(|at| why.is_char_boundary(*at))
        .unwrap_or(0);
    why[..end].into()
}
