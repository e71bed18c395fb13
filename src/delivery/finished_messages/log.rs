//! The files of [`FinishedMessages`](super::FinishedMessages): one for each generation.
//!
//! A file begins with a magic number and the number of its generation, and goes on with records: the
//! length of the content in two bytes, the content that [`postcard`] encodes, and its CRC-32; all
//! numbers in big-endian order. A record that is not whole ends the file: the process before was
//! stopped in its middle.

use super::{FinishedMessage, Loaded, MessageKey};
use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Names of the two files.
const FILE_NAMES: [&str; 2] = ["finished.0", "finished.1"];
const MAGIC: [u8; 8] = *b"RDFINID1";
/// Bytes before the first record: the magic number and the number of the generation.
const HEADER_BYTES: usize = 16;
/// Bytes of a record's length and of its checksum.
const LENGTH_BYTES: usize = 2;
const CHECKSUM_BYTES: usize = 4;
/// Files count in whole blocks of so many bytes.
const BLOCK_BYTES: u64 = 512;

/// Bytes of records in a generation, where both files together may take so many.
pub(super) fn generation_bytes(max_bytes: u64) -> u64 {
    let blocks = max_bytes / 2 / BLOCK_BYTES;
    (blocks * BLOCK_BYTES).saturating_sub(HEADER_BYTES as u64)
}

/// The bytes of a record.
pub(super) fn encode(key: &MessageKey, message: &FinishedMessage) -> io::Result<Vec<u8>> {
    let content = postcard::to_stdvec(&(key, message)).map_err(io::Error::other)?;
    let length = u16::try_from(content.len()).map_err(io::Error::other)?;
    let mut record = length.to_be_bytes().to_vec();
    record.extend_from_slice(&content);
    record.extend(crc32fast::hash(&content).to_be_bytes());
    Ok(record)
}

/// Decodes the first record, and the bytes that it takes; `None` where it is not whole or damaged.
fn decode(bytes: &[u8]) -> Option<((MessageKey, FinishedMessage), usize)> {
    let length = usize::from(u16::from_be_bytes(*bytes.first_chunk::<LENGTH_BYTES>()?));
    let end = LENGTH_BYTES + length;
    let content = bytes.get(LENGTH_BYTES..end)?;
    let checksum = bytes.get(end..)?.first_chunk::<CHECKSUM_BYTES>()?;
    if u32::from_be_bytes(*checksum) != crc32fast::hash(content) {
        return None;
    }
    Some((postcard::from_bytes(content).ok()?, end + CHECKSUM_BYTES))
}

/// What a file holds.
#[derive(Default)]
struct Content {
    generation: u64,
    messages: HashMap<MessageKey, FinishedMessage>,
    /// End of the last whole record.
    end: u64,
}

/// Reads a file; an empty content where it has no header of this format.
fn read(bytes: &[u8]) -> Content {
    let Some((header, mut rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Content::default();
    };
    let generation = header.strip_prefix(&MAGIC).and_then(|g| g.try_into().ok());
    let Some(generation) = generation.map(u64::from_be_bytes) else {
        return Content::default();
    };
    let mut content = Content {
        generation,
        messages: HashMap::new(),
        end: HEADER_BYTES as u64,
    };
    while let Some(((key, message), length)) = decode(rest) {
        content.messages.insert(key, message);
        content.end += length as u64;
        rest = &rest[length..];
    }
    content
}

/// The two files. The newer one is open.
pub(super) struct GenerationLog {
    paths: [PathBuf; 2],
    generation: u64,
    file: File,
    /// End of the last whole record of the newer file.
    end: u64,
    /// Most bytes of a file.
    max_end: u64,
}

impl GenerationLog {
    /// Opens the files of a folder, and returns what an earlier process left in them.
    pub(super) fn open(folder: &Path, max_bytes: u64) -> io::Result<(Self, Loaded)> {
        let paths = FILE_NAMES.map(|name| folder.join(name));
        let mut contents = Vec::new();
        for path in &paths {
            contents.push(match std::fs::read(path) {
                Err(e) if e.kind() == io::ErrorKind::NotFound => Content::default(),
                bytes => read(&bytes?),
            });
        }
        let is_second_newer = contents[1].generation > contents[0].generation;
        if is_second_newer {
            contents.swap(0, 1);
        }
        let [newer, older]: [Content; 2] = contents.try_into().map_err(|_| io::ErrorKind::Other)?;
        let mut log = GenerationLog {
            file: open_file(&paths[usize::from(is_second_newer)])?,
            paths,
            generation: newer.generation,
            end: newer.end,
            max_end: HEADER_BYTES as u64 + generation_bytes(max_bytes),
        };
        if newer.end == 0 {
            log.begin_next()?;
        } else {
            log.file.set_len(log.end)?;
        }
        let loaded = Loaded {
            newer_bytes: log.end - HEADER_BYTES as u64,
            newer: newer.messages,
            older: older.messages,
        };
        Ok((log, loaded))
    }

    /// Begins the next generation in the file of the older one, which is forgotten with that.
    pub(super) fn begin_next(&mut self) -> io::Result<()> {
        let generation = self.generation + 1;
        let file = open_file(&self.paths[(generation % 2) as usize])?;
        file.set_len(0)?;
        let mut header = MAGIC.to_vec();
        header.extend(generation.to_be_bytes());
        file.write_all_at(&header, 0)?;
        self.file = file;
        self.generation = generation;
        self.end = HEADER_BYTES as u64;
        Ok(())
    }

    /// Appends a record. What a failed write left is overwritten by the next one.
    pub(super) fn append(&mut self, record: &[u8]) -> io::Result<()> {
        let end = self.end + record.len() as u64;
        if end > self.max_end {
            // The next generation could not be begun.
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.file.write_all_at(record, self.end)?;
        self.end = end;
        Ok(())
    }
}

fn open_file(path: &Path) -> io::Result<File> {
    let mut options = File::options();
    options.read(true).write(true).create(true).truncate(false);
    options.open(path)
}
