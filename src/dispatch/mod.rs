//! The decision module: when, where and how often a message is attempted, and when it is ended
//! undelivered.
//!
//! Events go in and actions come out ([`api`]); [`dispatcher::Dispatcher`] is the only entry point.
//! Nothing here does I/O or reads a clock: the caller passes the time with each call, and random
//! numbers come from the seed. Callers: the embedding program ([`crate::delivery::driver`]) and the
//! simulator. These modules depend on nothing outside this folder, and each depends only on modules
//! above it in this list:
//!
//! - [`routing`]: the zones that may serve a message, and their order.
//! - [`api`]: settings, events, actions.
//! - [`statistics`]: time, rates and random draws.
//! - [`deadline`]: which attempts are still allowed shortly before a message's deadline.
//! - [`slow_start`]: a sender's quota of calls to an endpoint that recovers from an outage.
//! - [`stale_connections`]: whether idle connections may be reused.
//! - [`rate_quota`]: a sender's quota of a listed rate.
//! - [`rate_control`]: pauses and call rate of a destination or route.
//! - [`endpoint_health`]: healthy, ejected or in slow start.
//! - [`list_polling`]: when the endpoint list is polled, and how long it is trusted.
//! - `state`: records of destinations, messages, attempts and calls.
//! - [`dispatcher`]: combines the modules above.

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
