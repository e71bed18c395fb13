//! A store of items that are written, noted upon and ended, in a folder of bounded size.
//!
//! It is cleaned in slices while it serves, and never needs room from the file system for what it
//! holds already. `docs/notes/store.md` has the layouts weighed and the invariants, `docs/store.md`
//! what operators see.

pub mod capacity;
pub mod disk;
pub mod faulty;
pub mod frame;
pub mod log;
pub mod recover;
pub mod sync;
pub mod worker;
