//! Replaces small files durably: a reader, the next process and a machine that lost its power find
//! the old content or the new one, never a part of it.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Extension that is added to a file's name while it is written.
pub const UNFINISHED_EXTENSION: &str = "new";

/// Replaces a file and returns once the change is durable.
///
/// # Errors
/// The folder cannot be written, or a sync fails. The old content stays, unless only the sync of
/// the folder failed: then either may be found after a loss of power.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let unfinished = unfinished_path(path);
    let replaced = write_and_sync(&unfinished, bytes).and_then(|()| fs::rename(&unfinished, path));
    if let Err(e) = replaced {
        // A full disk must not keep the unfinished file.
        let _ = fs::remove_file(&unfinished);
        return Err(e);
    }
    File::open(folder_of(path))?.sync_all()
}

/// Returns the path under which a file is written before it replaces the old one.
pub fn unfinished_path(path: &Path) -> PathBuf {
    let mut name = OsString::from(path);
    name.push(".");
    name.push(UNFINISHED_EXTENSION);
    PathBuf::from(name)
}

fn write_and_sync(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn folder_of(path: &Path) -> &Path {
    match path.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => folder,
        _ => Path::new("."),
    }
}

#[cfg(test)]
mod tests;
