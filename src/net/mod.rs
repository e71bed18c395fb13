//! The fronts and what they stand on: sockets, and the wires spoken over them.

pub mod by_kind;
pub mod calls;
pub mod connection_listener;
pub mod dns;
pub mod mqtt;
pub mod platform;
pub mod stream;

/// Number of the platform's front, as the journal keeps it.
pub const PLATFORM: u8 = 0;
/// Number of the MQTT front, as the journal keeps it.
pub const MQTT: u8 = 1;
