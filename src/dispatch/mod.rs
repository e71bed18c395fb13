//! The decision module: when, where and how often a message is attempted, and when it is given up.
//!
//! Events go in, actions come out ([`api`]), and [`dispatcher::Dispatcher`] is the one entry.
//! Nothing here does I/O or reads a clock: the time comes with each call, and randomness from the
//! seed. Callers: the embedding program ([`crate::delivery::driver`]) and the simulator. The
//! modules know nothing outside this folder, and each only those above it in this list:
//!
//! - [`routing`]: which zones may serve a message, and in which order.
//! - [`api`]: settings, events, actions.
//! - [`statistics`]: time, rates and random draws.
//! - [`deadline`]: what is still done as a message's time runs out.
//! - [`slow_start`]: a sender's quota of calls to an endpoint that is back from an outage.
//! - [`stale_connections`]: whether idle connections are to be trusted.
//! - [`rate_quota`]: a sender's quota of a listed rate.
//! - [`rate_control`]: pause and rate of a destination or route.
//! - [`endpoint_health`]: healthy, ejected or in slow start.
//! - [`list_polling`]: when to poll the endpoint list, and how long it may be trusted.
//! - `state`: what is kept of destinations, messages, attempts and calls.
//! - [`dispatcher`]: puts them together.

pub mod api;
pub mod deadline;
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
