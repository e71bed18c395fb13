//! A dispatcher of messages to outside receivers: the decisions, the sender around them and the
//! coordination of many senders.
//!
//! - [`dispatch`] holds every decision of a sender; it opens no socket and reads no clock.
//! - [`delivery`] is the life of a message without a wire, on top of [`store`] and [`dispatch`].
//! - [`net`] has the wires, [`admission_control`] who may connect and whose messages are accepted.
//! - `coordination` and `agent` (feature `fleet`) are the replicas that coordinate senders and the
//!   part of a sender that follows them.
//! - [`config`] is what a sender is told, [`process_signals`] how it is told to end.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod admission_control;
#[cfg(feature = "fleet")]
pub mod agent;
pub mod config;
#[cfg(feature = "fleet")]
pub mod coordination;
pub mod delivery;
pub mod dispatch;
pub mod log_filter;
pub mod loop_latency;
pub mod message_trace;
pub mod net;
pub mod process_signals;
pub mod store;

pub use dispatch::api::*;
pub use dispatch::dispatcher::Dispatcher;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
