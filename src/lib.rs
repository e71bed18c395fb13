//! The decisions of a dispatcher of notifications to outside receivers.
//!
//! [`policy`] holds every decision, [`interface`] the plain types it takes and gives back. Round
//! it, [`core`] is the sender without a wire and [`net`] its fronts on sockets.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

#[cfg(feature = "fleet")]
pub mod agent;
pub mod asking;
pub mod config;
pub mod core;
pub mod door;
pub mod fleet;
mod health;
pub mod interface;
#[cfg(feature = "fleet")]
pub mod keeper;
pub mod links;
mod measure;
pub mod net;
mod pace;
pub mod policy;
pub mod routes;
pub mod settings;
pub mod slow_start;
mod state;
pub mod store;
pub mod trace;
pub mod turns;

pub use interface::*;
pub use policy::Relay;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
