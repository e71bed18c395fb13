//! The log of one replica: what it writes to disk, and what the `raft` library reads of it in
//! memory.
//!
//! This module owns the form of the items ([`LogItem`]), the folder that they stand in
//! ([`RaftLogStore`], over the segments of [`crate::store`]) and the library's view of them
//! ([`MemoryStorage`]). It decides neither what is written nor when: [`super::raft_group`] does,
//! and [`super::replica`] calls the store for it. A site's member of a federation uses the items
//! without the store: its log stands in the record of the site
//! ([`super::routing_table::durable_vote`]).
//!
//! # What a folder holds
//!
//! Two kinds of items. A [`Checkpoint`] is complete in itself: whose folder it is, term and vote, a
//! snapshot and the entries behind it. A [`Batch`] is what came after: term and vote, and entries
//! that replace all from the first one's index on. Each is one frame of the store and is synced
//! before the next is written. So a start finds, after any stop, a checkpoint and an unbroken run
//! of batches behind it, each complete; only the last one may be there or not, and nobody was told
//! of that one. Once a checkpoint is synced, all older items are obsolete.
//!
//! # What makes a vote count once
//!
//! What a start finds was perhaps written and never synced: a power cut could lose it after others
//! relied on it. So the first thing that a replica writes is a checkpoint of what it found, and
//! until that is synced it sends nothing.

mod item;
mod memory;
mod store;

pub use item::{
    assemble_checkpoint, Batch, Checkpoint, LogEntry, LogItem, PersistedHardState, ReplicaIdentity,
    UnreadableLog,
};
pub use memory::MemoryStorage;
pub use store::{OpenError, RaftLogStore, SaveError};

/// Longest checkpoint, in bytes, and longest snapshot in it: a record of some thousand senders is a
/// tenth of it.
pub const MAX_CHECKPOINT_BYTES: usize = 1024 * 1024;
