//! Writes a note beside the journal: a small file that is found whole or not at all.

use std::fs;
use std::io;
use std::path::Path;

/// Extension of a note while it is written.
const UNFINISHED_EXTENSION: &str = "new";

/// Replaces a note in one step for whoever reads it, also where the write fails in part or the
/// process is killed meanwhile.
///
/// # Errors
/// The folder cannot be written; the note before stays.
pub(super) fn replace(folder: &Path, name: &str, text: &str) -> io::Result<()> {
    let unfinished = folder.join(format!("{name}.{UNFINISHED_EXTENSION}"));
    let written = fs::write(&unfinished, text);
    let replaced = written.and_then(|()| fs::rename(&unfinished, folder.join(name)));
    if replaced.is_err() {
        // Nothing of it may stay on a disk that is full.
        let _ = fs::remove_file(&unfinished);
    }
    replaced
}
