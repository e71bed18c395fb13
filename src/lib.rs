//! A sender that delivers messages to external endpoints: the decisions, the sender around them and
//! the coordination of many senders.
//!
//! - [`dispatch`] makes every decision of a sender; it opens no socket and reads no clock.
//! - [`delivery`] handles the life of a message without the wire protocols, on top of [`store`] and
//!   [`dispatch`].
//! - [`net`] implements the wire protocols, [`admission_control`] decides who may connect and whose
//!   messages are accepted.
//! - `coordination` and `agent` (feature `fleet`) are the replicas that coordinate senders and the
//!   part of a sender that communicates with them.
//! - [`config`] reads a sender's configuration, [`process_signals`] handles the signals that end
//!   it.
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
pub mod durable_file;
pub mod event_loop;
pub mod log_filter;
pub mod loop_latency;
pub mod memory_report;
pub mod message_trace;
pub mod net;
pub mod process_signals;
pub mod store;

pub use dispatch::api::*;
pub use dispatch::dispatcher::Dispatcher;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
