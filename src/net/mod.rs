//! The fronts and what they stand on: sockets, and the wires spoken over them.

pub mod by_kind;
pub mod calls;
pub mod connection_listener;
pub mod dns;
pub mod mqtt;
pub mod platform;
mod socket_error;
pub mod stream;

use std::time::Duration;

/// Number of the platform's front, as the journal keeps it.
pub const PLATFORM: u8 = 0;
/// Number of the MQTT front, as the journal keeps it.
pub const MQTT: u8 = 1;

/// A wait in the whole milliseconds that a client is told. Rounded up: one that comes back exactly
/// then must not be early.
pub fn wait_in_ms(wait: Duration) -> u128 {
    wait.as_nanos().div_ceil(1_000_000)
}

#[cfg(test)]
mod tests;
