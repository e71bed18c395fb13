//! Who may connect: decisions on connections, messages and descriptors, free of I/O and clocks.
//!
//! `docs/notes/door.md` has the options weighed and the invariants, `docs/door.md` what operators
//! see.

pub mod budget;
pub mod lobby;
pub mod messages;
pub mod places;
pub mod rate;
