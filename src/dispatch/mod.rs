//! The decision module: when, where and how often a message is attempted, and when it is given up.
//!
//! Events go in, actions come out ([`api`]), and [`dispatcher::Relay`] is the one entry. Nothing
//! here does I/O or reads a clock: the time comes with each call, and randomness from the seed.
//! The embedding program ([`crate::delivery::driver`]) and the simulator are the callers. The
//! modules know nothing outside this folder.

pub mod api;
pub mod dispatcher;
mod endpoint_health;
pub mod list_polling;
mod rate_control;
pub mod rate_quota;
pub mod routing;
pub mod slow_start;
pub mod stale_connections;
mod state;
pub(crate) mod statistics;
