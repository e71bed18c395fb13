//! The copy of the zone in use that the state folder keeps for the next process.
//!
//! A process that starts while the operator's zone file is half written, or is older than the zone
//! that was in use, begins with this copy. It is the file `zone` in the state folder:
//!
//! ```text
//! raildeal zone 1 CRC-32 of all that follows this line, as eight hexadecimal digits
//! path of the operator's zone file
//! the zone, as a zone file
//! ```
//!
//! The file's modification time is when a process last had the zone in use. Versions that do not
//! know the file leave it as it is.

use super::zone::Zone;
use crate::durable_file;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Name of the copy in the state folder.
pub const FILE_NAME: &str = "zone";
/// Beginning of the first line, with the version of the format.
const HEADER_START: &str = "raildeal zone 1 ";
/// Fraction of the folder's limit that a copy may take: one in so many.
const MAX_FRACTION: u64 = 16;
/// Block size of the file system, in bytes: files occupy whole blocks.
const BLOCK_BYTES: u64 = 4096;
/// Time since its last use after which a copy is not used any more: its endpoints may be gone.
const MAX_AGE: Duration = Duration::from_secs(24 * 3600);

/// Reason why there is no copy to use, or none could be written.
#[derive(Debug, thiserror::Error)]
pub enum ZoneCacheError {
    /// The file system failed.
    #[error("{FILE_NAME}: {0}")]
    Io(#[from] io::Error),
    /// The copy was not written completely, or is damaged.
    #[error("{FILE_NAME}: torn or damaged")]
    Damaged,
    /// The copy is of another zone file than the one that is configured now.
    #[error("{FILE_NAME}: a copy of {0}")]
    OtherZoneFile(String),
    /// No process had the zone in use for too long.
    #[error("{FILE_NAME}: last in use {} s ago, over {} s", .age.as_secs(), MAX_AGE.as_secs())]
    TooOld {
        /// Time since its last use.
        age: Duration,
    },
    /// The zone is larger than a copy may be, or the folder has no room for it.
    #[error("{FILE_NAME}: {needed_bytes} bytes are needed, {allowed_bytes} are allowed")]
    NoRoom {
        /// Size of the copy, in bytes.
        needed_bytes: u64,
        /// Bytes that it may take now.
        allowed_bytes: u64,
    },
    /// This version cannot use the zone.
    #[error("{FILE_NAME}: {0}")]
    Zone(String),
}

/// The copy in a state folder.
#[derive(Clone, Debug)]
pub struct ZoneCache {
    folder: PathBuf,
    zone_file: PathBuf,
    folder_limit_bytes: u64,
}

impl ZoneCache {
    /// Returns the copy of this zone file in a state folder that may hold so many bytes.
    pub fn new(folder: &Path, zone_file: &Path, folder_limit_bytes: u64) -> Self {
        ZoneCache {
            folder: folder.into(),
            zone_file: zone_file.into(),
            folder_limit_bytes,
        }
    }

    /// Returns the bytes of a folder's limit that a copy may take while it is replaced.
    pub fn reserved_bytes(folder_limit_bytes: u64) -> u64 {
        2 * max_copy_bytes(folder_limit_bytes)
    }

    /// Reads the copy; `None` where there is none.
    ///
    /// # Errors
    /// The copy cannot be used.
    pub fn read(&self, now: SystemTime) -> Result<Option<Zone>, ZoneCacheError> {
        let text = match fs::read_to_string(self.path()) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) if e.kind() == io::ErrorKind::InvalidData => {
                return Err(ZoneCacheError::Damaged)
            }
            text => text?,
        };
        let (zone_file, zone) = decode(&text).ok_or(ZoneCacheError::Damaged)?;
        if zone_file != self.zone_file_name() {
            return Err(ZoneCacheError::OtherZoneFile(zone_file.into()));
        }
        let last_used = fs::metadata(self.path())?.modified()?;
        // A clock that was set back makes no copy old.
        let age = now.duration_since(last_used).unwrap_or_default();
        if age > MAX_AGE {
            return Err(ZoneCacheError::TooOld { age });
        }
        Zone::read(zone, None)
            .map(Some)
            .map_err(ZoneCacheError::Zone)
    }

    /// Writes the copy durably, unless the folder has this very copy already.
    ///
    /// # Errors
    /// The copy does not fit in the folder, or the file system fails. The old copy stays.
    pub fn write(&self, zone: &Zone) -> Result<(), ZoneCacheError> {
        let copy = encode(&self.zone_file_name(), &zone.text());
        if fs::read(self.path()).is_ok_and(|present| present == copy.as_bytes()) {
            return self.note_use();
        }
        let needed_bytes = copy.len() as u64;
        let allowed_bytes = max_copy_bytes(self.folder_limit_bytes).min(self.free_bytes()?);
        if needed_bytes > allowed_bytes {
            return Err(ZoneCacheError::NoRoom {
                needed_bytes,
                allowed_bytes,
            });
        }
        durable_file::replace(&self.path(), copy.as_bytes())?;
        Ok(())
    }

    /// Removes the copy of a folder whose process has no zone, so that the journal has its room.
    ///
    /// # Errors
    /// The file system fails.
    pub fn remove_unused(folder: &Path) -> Result<(), ZoneCacheError> {
        match fs::remove_file(folder.join(FILE_NAME)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e.into()),
            _ => Ok(()),
        }
    }

    fn note_use(&self) -> Result<(), ZoneCacheError> {
        let file = File::options().write(true).open(self.path())?;
        file.set_modified(SystemTime::now())?;
        Ok(())
    }

    /// Returns the bytes that the folder may still take.
    fn free_bytes(&self) -> io::Result<u64> {
        let mut used_bytes = 0;
        for entry in fs::read_dir(&self.folder)? {
            // A file that is removed while the folder is being read does not count.
            used_bytes += entry?.metadata().map_or(0, |metadata| metadata.len());
        }
        Ok(self.folder_limit_bytes.saturating_sub(used_bytes))
    }

    fn path(&self) -> PathBuf {
        self.folder.join(FILE_NAME)
    }

    /// Returns the path of the operator's zone file, in one line.
    fn zone_file_name(&self) -> String {
        self.zone_file
            .display()
            .to_string()
            .replace('\n', "\u{fffd}")
    }
}

fn max_copy_bytes(folder_limit_bytes: u64) -> u64 {
    let blocks = folder_limit_bytes / MAX_FRACTION / BLOCK_BYTES;
    blocks.max(1) * BLOCK_BYTES
}

fn encode(zone_file: &str, zone: &str) -> String {
    let content = format!("{zone_file}\n{zone}");
    let checksum = crc32fast::hash(content.as_bytes());
    format!("{HEADER_START}{checksum:08x}\n{content}")
}

/// Returns the path and the zone of a copy; `None` where it is incomplete or damaged.
fn decode(copy: &str) -> Option<(&str, &str)> {
    let (header, content) = copy.split_once('\n')?;
    let checksum = u32::from_str_radix(header.strip_prefix(HEADER_START)?, 16).ok()?;
    if checksum != crc32fast::hash(content.as_bytes()) {
        return None;
    }
    content.split_once('\n')
}

#[cfg(test)]
mod tests;
