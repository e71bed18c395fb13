//! The fronts and what they stand on: sockets, and the wires spoken over them.

pub mod platform;
pub mod stream;
