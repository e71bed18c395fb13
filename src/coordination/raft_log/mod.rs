//! The log of one replica: the items that it writes to disk, and the entries that the `raft`
//! library reads in memory.
//!
//! This module owns the format of the items ([`LogItem`]), the folder that contains them
//! ([`RaftLogStore`], over the segments of [`crate::store`]) and the library's view of them
//! ([`MemoryStorage`]). It decides neither what is written nor when: [`super::raft_group`] does,
//! and [`super::replica`] calls the store for it. A site's member of a federation uses the items
//! without the store: its log is in the record of the site
//! ([`super::routing_table::durable_vote`]).
//!
//! # Contents of a folder
//!
//! There are two kinds of items. A [`Checkpoint`] is complete in itself: the identity of the
//! folder's owner, term and vote, a snapshot and the entries after it. A [`Batch`] contains later
//! changes: term and vote, and entries that replace all from the first one's index on. Each item is
//! one frame of the store and is synced before the next is written. So after any stop, a start
//! finds a checkpoint followed by an unbroken run of batches, each complete. Only the last batch
//! may be present or not, and no other replica was sent anything that relies on it. Once a
//! checkpoint is synced, all older items are obsolete.
//!
//! # Why a vote counts once
//!
//! Items that a start finds may have been written and never synced: a power cut could lose them
//! after other replicas relied on them. So the first thing that a replica writes is a checkpoint of
//! what it found, and it sends nothing until that is synced.

mod item;
mod memory;
mod store;

pub use item::{
    assemble_checkpoint, Batch, Checkpoint, LogEntry, LogItem, PersistedHardState, ReplicaIdentity,
    UnreadableLog,
};
pub use memory::MemoryStorage;
pub use store::{OpenError, RaftLogStore, SaveError};

/// Longest checkpoint, and longest snapshot in it, in bytes: a record of some thousand senders
/// takes a tenth of it.
pub const MAX_CHECKPOINT_BYTES: usize = 1024 * 1024;
