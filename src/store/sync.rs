//! The primitives that threads of the store share by hand, and nothing else of that kind.
//!
//! [`super::worker`] takes its own from here alone, so that `tests/orders.rs` can put those of a
//! model checker in their place.

pub use std::sync::{Arc, Condvar, Mutex, MutexGuard};
pub use std::thread;
