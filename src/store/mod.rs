//! A log of items in segment files, in a folder of bounded size, cleaned in slices while it serves.
//!
//! Owns the segment files of one folder. Knows nothing of what items mean: the journal keeps one
//! item a message in it ([`crate::delivery::journal`]), a replica one a batch of its log. It never
//! needs room from the file system for what it holds already. `docs/notes/store.md` has the layouts
//! weighed and the invariants, `docs/store.md` what operators see.
//!
//! On disk, all numbers little endian ([`frame`]):
//!
//! ```text
//! NNNN.seg:  header | header again | frames ... | 8 zero bytes | unused, or an earlier use's bytes
//!            at 0     at 512         from 1024, each at a multiple of 8
//! header:    magic 16 | sequence 8 | salt 8 | oldest sequence 8 | previous end 8 | next item 8
//!            | has durable marks 8 | CRC-32 of these 4
//! frame:     payload length 4 | CRC-32 of salt, length and payload 4 | payload | zeros up to 8
//! payload:   kind 1 | item, or segment 8 | data
//! ```
//!
//! A segment's sequence number says its place in the log; its file is used again for a later one.
//!
//! The parts: [`log`] appends, cleans and syncs; [`recover`] reads what an earlier process left;
//! [`capacity`] decides without I/O; [`frame`] has the bytes; [`disk`] is the folder, and
//! [`faulty`] one in memory for tests; [`worker`] is a thread for what blocks.

pub mod capacity;
pub mod disk;
pub mod faulty;
pub mod frame;
pub mod log;
pub mod recover;
pub mod sync;
pub mod worker;
