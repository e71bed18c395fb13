//! Bytes and words that other programs read, pinned: frames on a wire, files on a disk, settings
//! and commands. The literals stand in this folder and are never computed by the code under test,
//! so a rename that changes what is written, or no longer reads what was written, fails here.
//!
//! A literal changes only with the protocol it pins, never with a name in the code.

mod support;

mod command_line;
#[cfg(feature = "fleet")]
mod fleet_frames;
#[cfg(feature = "fleet")]
mod fleet_values;
#[cfg(feature = "fleet")]
mod replica_log;
mod settings_keys;
mod state_folder;
#[cfg(feature = "fleet")]
mod stored_documents;
