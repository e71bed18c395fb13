//! The synchronization primitives of the store.
//!
//! [`super::worker`] imports its primitives only from here, so that `tests/orders.rs` can replace
//! them with those of a model checker.

pub use std::sync::{Arc, Condvar, Mutex, MutexGuard};
pub use std::thread;
