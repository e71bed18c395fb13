//! A segmented log of items in a folder of bounded size, cleaned incrementally while in use.
//!
//! This module owns the segment files of one folder and does not interpret items: the journal
//! stores one item per message ([`crate::delivery::journal`]), a replica one item per batch of its
//! Raft log. Items that are already stored never need further space from the file system.
//! `docs/notes/store.md` compares the layouts that were considered and lists the invariants;
//! `docs/store.md` describes what operators see.
//!
//! On disk, all numbers little endian ([`frame`]):
//!
//! ```text
//! NNNN.seg:  header | second copy  | frames ... | 8 zero bytes | unused, or an earlier use's bytes
//!            at 0     at 512         from 1024, each at a multiple of 8
//! header:    magic 16 | sequence 8 | salt 8 | oldest sequence 8 | previous end 8 | next item 8
//!            | has durable marks 8 | CRC-32 of these 4
//! frame:     payload length 4 | CRC-32 of salt, length and payload 4 | payload | zeros up to 8
//! payload:   kind 1 | item, or segment 8 | data
//! ```
//!
//! A segment's sequence number gives its position in the log. Its file is reused for a later
//! segment.
//!
//! Submodules: [`log`] appends, cleans and syncs; [`recover`] reads the files of an earlier
//! process; [`capacity`] makes capacity decisions without I/O; [`frame`] encodes and decodes
//! headers and frames; [`disk`] is the folder, and [`faulty`] an in-memory one for tests;
//! [`worker`] is a thread for blocking work.

pub mod capacity;
pub mod disk;
pub mod faulty;
pub mod frame;
pub mod log;
pub mod recover;
pub mod sync;
pub mod worker;
