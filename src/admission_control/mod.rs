//! Who may connect: decisions on connections, messages and descriptors, free of I/O and clocks.
//!
//! `docs/notes/door.md` has the options weighed and the invariants, `docs/door.md` what operators
//! see.

pub mod accept_queue;
pub mod connection_rate;
pub mod connection_slots;
pub mod descriptor_budget;
pub mod memory_budget;
pub mod memory_pool;
pub mod message_limits;
