//! An operator's zone file: reads it within a bound, and replaces it durably.

use super::zone::{ListedZone, ZoneError};
use crate::durable_file;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Maximum size of a zone file, in bytes: room for some 100,000 endpoints.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Reason why a zone file cannot be read, with its path.
#[derive(Debug, thiserror::Error)]
pub enum ZoneFileError {
    /// The file system failed.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The file is larger than a zone file may be.
    #[error("{}: over {MAX_FILE_BYTES} bytes", .path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
    },
    /// The text is not a zone that can be used.
    #[error("{}: {fault}", .path.display())]
    Fault {
        /// The file.
        path: PathBuf,
        /// What is wrong, with its line or with the record's name.
        fault: ZoneError,
    },
}

impl ZoneFileError {
    /// Whether there is no such file.
    pub fn is_not_found(&self) -> bool {
        matches!(self, ZoneFileError::Io { source, .. } if source.kind() == io::ErrorKind::NotFound)
    }
}

/// Reads a zone file.
///
/// # Errors
/// The file cannot be read, or is not a zone that can be used.
pub fn read(path: &Path) -> Result<ListedZone, ZoneFileError> {
    parse(path, &read_text(path)?)
}

/// Reads the text of a zone file.
///
/// # Errors
/// The file cannot be read, or is too large.
pub fn read_text(path: &Path) -> Result<String, ZoneFileError> {
    let text = read_bounded(path).map_err(|source| ZoneFileError::Io {
        path: path.into(),
        source,
    })?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(ZoneFileError::TooLarge { path: path.into() });
    }
    Ok(text)
}

/// Parses the text of the zone file at this path.
///
/// # Errors
/// The text is not a zone that can be used.
pub fn parse(path: &Path, text: &str) -> Result<ListedZone, ZoneFileError> {
    ListedZone::read(text, None).map_err(|fault| ZoneFileError::Fault {
        path: path.into(),
        fault,
    })
}

/// Reads a file's text, and not much more of it than a zone file may have.
fn read_bounded(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    let file = File::open(path)?;
    file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text)?;
    Ok(text)
}

/// Replaces a zone file by the text of a zone, durably.
///
/// # Errors
/// The file system fails. The old file stays.
pub fn replace(path: &Path, text: &str) -> io::Result<()> {
    durable_file::replace(path, text.as_bytes())
}
