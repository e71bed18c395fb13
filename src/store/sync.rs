//! What threads share by hand stands on these, and on nothing else of that kind: a checker of
//! orders puts its own in their place.

pub use std::sync::{Arc, Condvar, Mutex, MutexGuard};
pub use std::thread;
