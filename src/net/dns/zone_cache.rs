//! What the state folder keeps of the zone in use for the next process: its identity, and a copy of
//! it where there is room.
//!
//! No process goes by a zone that a later one has replaced. So the file is written before a zone
//! counts, and an older copy does not outlive its zone: where the new copy cannot be written, the
//! identity alone takes its place, if need be in the file of the old copy. Where not even that can be
//! written, the file is removed.
//!
//! A process that starts while the operator's zone file is half written, or is older than the zone
//! that was in use, begins with the copy. It is the file `zone` in the state folder, in one of two
//! forms:
//!
//! ```text
//! raildeal zone 1 CRC-32 of all that follows this line, as eight hexadecimal digits
//! path of the operator's zone file
//! the zone, as a zone file
//! ```
//!
//! ```text
//! raildeal zone 2 CRC-32 of all that follows this line, as eight hexadecimal digits
//! path of the operator's zone file
//! identity of the zone
//! the zone, as a zone file that is compressed (zlib, RFC 1950), or nothing
//! ```
//!
//! The second form is for a zone that is too large for the first one; versions that do not know it
//! take it for a damaged copy. The file's modification time is when a process last had the zone in
//! use.

use super::zone::{Zone, ZoneError};
use super::zone_identity::ZoneIdentity;
use crate::durable_file;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Name of the copy in the state folder.
pub const FILE_NAME: &str = "zone";
/// Beginning of the first line of a copy as it is.
const PLAIN_HEADER: &str = "raildeal zone 1 ";
/// Beginning of the first line of a compressed copy, and of an identity alone.
const COMPRESSED_HEADER: &str = "raildeal zone 2 ";
/// Characters of the checksum in the first line.
const CHECKSUM_BYTES: usize = 8;
/// Largest text that is compressed, in bytes, so that reading it back takes bounded memory.
const MAX_TEXT_BYTES: u64 = 16 << 20;
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
    /// Only the identity of the zone is kept.
    #[error("{FILE_NAME}: no copy of serial {serial} was kept")]
    IdentityOnly {
        /// Serial of the zone.
        serial: u32,
    },
    /// This version cannot use the zone.
    #[error("{FILE_NAME}: {0}")]
    Zone(#[source] ZoneError),
}

/// The zone that was in use last.
#[derive(Debug)]
pub struct LastZone {
    /// Which zone it was.
    pub identity: ZoneIdentity,
    /// The zone, where a copy can be used.
    pub copy: Result<Zone, ZoneCacheError>,
}

/// What was kept of a zone.
#[derive(Debug)]
pub enum Kept {
    /// A copy.
    Copy,
    /// Less than a copy, for this reason. No other zone is kept in its place.
    Less(ZoneCacheError),
}

/// The file in a state folder.
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

    /// Reads which zone was in use last, and its copy; `None` where nothing is kept.
    ///
    /// # Errors
    /// Something is kept, but does not tell which zone it is of.
    pub fn read(&self, now: SystemTime) -> Result<Option<LastZone>, ZoneCacheError> {
        let bytes = match fs::read(self.path()) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            bytes => bytes?,
        };
        let content = decode(&bytes).ok_or(ZoneCacheError::Damaged)?;
        if content.zone_file != self.zone_file_name().as_bytes() {
            let zone_file = String::from_utf8_lossy(content.zone_file);
            return Err(ZoneCacheError::OtherZoneFile(zone_file.into()));
        }
        let mut last = content.last_zone()?;
        let last_used = fs::metadata(self.path())?.modified()?;
        // A clock that was set back makes no copy old.
        let age = now.duration_since(last_used).unwrap_or_default();
        if age > MAX_AGE {
            last.copy = last.copy.and(Err(ZoneCacheError::TooOld { age }));
        }
        Ok(Some(last))
    }

    /// Keeps a zone durably, before it counts; what was kept before is of no use any more.
    ///
    /// # Errors
    /// An earlier zone is kept and can be neither replaced nor removed, so that the next process
    /// might go by it.
    pub fn write(&self, zone: &Zone) -> Result<Kept, ZoneCacheError> {
        let text = zone.text();
        self.write_text(&ZoneIdentity::new(zone, &text), &text)
    }

    /// Keeps the zone that has this identity and text, as [`ZoneCache::write`] does.
    ///
    /// # Errors
    /// As for [`ZoneCache::write`].
    pub fn write_text(&self, identity: &ZoneIdentity, text: &str) -> Result<Kept, ZoneCacheError> {
        match self.write_copy(identity, text) {
            Ok(()) => Ok(Kept::Copy),
            Err(no_copy) => self.keep_less(identity, no_copy),
        }
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

    /// Writes the copy, unless the folder has this very copy already.
    fn write_copy(&self, identity: &ZoneIdentity, text: &str) -> Result<(), ZoneCacheError> {
        let largest_bytes = max_copy_bytes(self.folder_limit_bytes);
        let zone_file = self.zone_file_name();
        let plain_bytes = PLAIN_HEADER.len() + CHECKSUM_BYTES + zone_file.len() + text.len() + 2;
        let copy = if plain_bytes as u64 <= largest_bytes {
            with_header(PLAIN_HEADER, &[&zone_file, "\n", text].map(str::as_bytes))
        } else {
            encode(&zone_file, identity, &compress(text)?)
        };
        if fs::read(self.path()).is_ok_and(|present| present == copy) {
            return self.note_use();
        }
        self.replace(&copy, largest_bytes)
    }

    /// Keeps the identity of a zone of which there is no copy, or nothing.
    fn keep_less(
        &self,
        identity: &ZoneIdentity,
        no_copy: ZoneCacheError,
    ) -> Result<Kept, ZoneCacheError> {
        let alone = encode(&self.zone_file_name(), identity, &[]);
        if self.replace(&alone, BLOCK_BYTES).is_ok() {
            return Ok(Kept::Less(no_copy));
        }
        if self.overwrite(&alone).is_ok() || self.remove().is_ok() {
            return Ok(Kept::Less(no_copy));
        }
        match self.read(SystemTime::now()) {
            Ok(Some(last)) if last.identity != *identity => Err(no_copy),
            _ => Ok(Kept::Less(no_copy)),
        }
    }

    /// Replaces the file, if it takes no more than `largest_bytes` and no more than is free.
    fn replace(&self, bytes: &[u8], largest_bytes: u64) -> Result<(), ZoneCacheError> {
        let needed_bytes = bytes.len() as u64;
        let allowed_bytes = largest_bytes.min(self.free_bytes()?);
        if needed_bytes > allowed_bytes {
            return Err(ZoneCacheError::NoRoom {
                needed_bytes,
                allowed_bytes,
            });
        }
        durable_file::replace(&self.path(), bytes)?;
        Ok(())
    }

    /// Overwrites the file where it stands, which takes no room in a full folder. A crash in between
    /// leaves a damaged file and not the old copy.
    fn overwrite(&self, identity: &[u8]) -> Result<(), ZoneCacheError> {
        let mut file = File::options()
            .write(true)
            .truncate(true)
            .open(self.path())?;
        // An empty file is no copy either.
        let _ = file.write_all(identity);
        file.sync_all()?;
        Ok(())
    }

    /// Removes the file durably.
    fn remove(&self) -> Result<(), ZoneCacheError> {
        ZoneCache::remove_unused(&self.folder)?;
        File::open(&self.folder)?.sync_all()?;
        Ok(())
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

fn encode(zone_file: &str, identity: &ZoneIdentity, compressed: &[u8]) -> Vec<u8> {
    let lines = format!("{zone_file}\n{identity}\n");
    with_header(COMPRESSED_HEADER, &[lines.as_bytes(), compressed])
}

/// Returns a file of these parts, with the first line before them.
fn with_header(header_start: &str, parts: &[&[u8]]) -> Vec<u8> {
    let mut checksum = crc32fast::Hasher::new();
    for part in parts {
        checksum.update(part);
    }
    let mut bytes = format!("{header_start}{:08x}\n", checksum.finalize()).into_bytes();
    for part in parts {
        bytes.extend_from_slice(part);
    }
    bytes
}

fn compress(text: &str) -> Result<Vec<u8>, ZoneCacheError> {
    if text.len() as u64 > MAX_TEXT_BYTES {
        return Err(ZoneCacheError::NoRoom {
            needed_bytes: text.len() as u64,
            allowed_bytes: MAX_TEXT_BYTES,
        });
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text.as_bytes())?;
    Ok(encoder.finish()?)
}

fn decompress(compressed: &[u8]) -> Result<String, ZoneCacheError> {
    let mut text = String::new();
    ZlibDecoder::new(compressed)
        .take(MAX_TEXT_BYTES)
        .read_to_string(&mut text)?;
    Ok(text)
}

/// What the file holds.
struct Content<'a> {
    zone_file: &'a [u8],
    zone: KeptZone<'a>,
}

/// What the file holds of a zone.
enum KeptZone<'a> {
    /// Its text.
    Plain(&'a [u8]),
    /// Its identity, and its compressed text if there is any.
    Compressed(&'a [u8], &'a [u8]),
}

/// Returns the content of a file; `None` where it is incomplete or damaged.
fn decode(bytes: &[u8]) -> Option<Content<'_>> {
    let (header, content) = split_line(bytes)?;
    let header = std::str::from_utf8(header).ok()?;
    let is_plain = header.starts_with(PLAIN_HEADER);
    let header_start = if is_plain {
        PLAIN_HEADER
    } else {
        COMPRESSED_HEADER
    };
    let checksum = u32::from_str_radix(header.strip_prefix(header_start)?, 16).ok()?;
    if checksum != crc32fast::hash(content) {
        return None;
    }
    let (zone_file, zone) = split_line(content)?;
    let zone = if is_plain {
        KeptZone::Plain(zone)
    } else {
        let (identity, compressed) = split_line(zone)?;
        KeptZone::Compressed(identity, compressed)
    };
    Some(Content { zone_file, zone })
}

fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

impl Content<'_> {
    fn last_zone(&self) -> Result<LastZone, ZoneCacheError> {
        match self.zone {
            KeptZone::Plain(text) => {
                let text = std::str::from_utf8(text).map_err(|_| ZoneCacheError::Damaged)?;
                let zone = Zone::read(text, None).map_err(ZoneCacheError::Zone)?;
                Ok(LastZone {
                    identity: ZoneIdentity::new(&zone, text),
                    copy: Ok(zone),
                })
            }
            KeptZone::Compressed(identity, compressed) => {
                let line = std::str::from_utf8(identity).map_err(|_| ZoneCacheError::Damaged)?;
                let identity: ZoneIdentity = line.parse().map_err(|_| ZoneCacheError::Damaged)?;
                let serial = identity.serial;
                let copy = match compressed {
                    [] => Err(ZoneCacheError::IdentityOnly { serial }),
                    compressed => decompress(compressed)
                        .and_then(|text| Zone::read(&text, None).map_err(ZoneCacheError::Zone)),
                };
                Ok(LastZone { identity, copy })
            }
        }
    }
}

#[cfg(test)]
mod tests;
