//! Writes a note beside the journal: a small file that readers find complete or not at all.

use std::fs;
use std::io;
use std::path::Path;

/// Extension of a note's file while it is written.
const UNFINISHED_EXTENSION: &str = "new";

/// Replaces a note atomically for its readers, also where the write fails in part or the process is
/// killed during the write.
///
/// # Errors
/// The folder cannot be written; the previous note stays.
pub(super) fn replace(folder: &Path, name: &str, text: &str) -> io::Result<()> {
    let unfinished = folder.join(format!("{name}.{UNFINISHED_EXTENSION}"));
    let written = fs::write(&unfinished, text);
    let replaced = written.and_then(|()| fs::rename(&unfinished, folder.join(name)));
    if replaced.is_err() {
        // A full disk must not keep the unfinished file.
        let _ = fs::remove_file(&unfinished);
    }
    replaced
}
