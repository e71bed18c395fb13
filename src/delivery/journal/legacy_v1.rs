//! The journal's first format, one file of checksummed entries. It is read once, when a folder of
//! that format is opened.
//!
//! The file is [`MAGIC`], then entries. An entry is the length and the CRC-32 of the payload, 4
//! bytes each in little endian, and the payload, postcard of [`Entry`].

use super::record::{AttemptStart, MessageRecord};
use crate::delivery::{Envelope, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::{fs, io};

/// Name of the file.
pub const FILE_NAME: &str = "journal";
/// Name of the file that an unfinished compaction leaves behind.
pub const UNFINISHED_FILE_NAME: &str = "journal.new";
/// First bytes of the file.
const MAGIC: &[u8] = b"raildeal journal 1\n";
/// Bytes before an entry's payload: its length and its checksum.
const ENTRY_PREFIX_LEN: usize = 8;

/// A record of the first format; postcard writes the fields in this order.
#[derive(Serialize, Deserialize)]
struct LegacyRecord {
    envelope: Rc<Envelope>,
    expires_unix_ms: u64,
    attempts: u16,
    possible_run: Option<AttemptStart>,
    in_flight: Option<AttemptStart>,
    verdict: Option<Verdict>,
}

/// An entry of the file, with the number of its message; postcard writes the variant's position.
#[derive(Serialize, Deserialize)]
enum Entry {
    Accepted(u64, LegacyRecord),
    AttemptStarted(u64, AttemptStart),
    AttemptEnded { id: u64, may_have_run: bool },
    Decided(u64, Verdict),
    Closed(u64),
}

/// Content of a file of the first format.
#[derive(Debug, Default)]
pub struct LegacyReplay {
    /// Records that are still open, by number.
    pub open: BTreeMap<u64, MessageRecord>,
    /// Bytes at the beginning that could be read.
    pub valid_bytes: usize,
}

/// Reads the file of a folder; `None` where there is no such file.
///
/// # Errors
/// The file exists and cannot be read.
pub fn read_file(folder: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::read(folder.join(FILE_NAME)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        read => read.map(Some),
    }
}

/// Replays the bytes of a file; `None` where they have another format.
///
/// Stops at the first incomplete entry, as the format gives no way to find the next one.
pub fn replay(bytes: &[u8]) -> Option<LegacyReplay> {
    if !bytes.starts_with(MAGIC) {
        // A file that was cut within its magic bytes holds no entry.
        return MAGIC.starts_with(bytes).then(LegacyReplay::default);
    }
    let mut open: BTreeMap<u64, MessageRecord> = BTreeMap::new();
    let mut valid_bytes = MAGIC.len();
    while let Some(payload) = whole_payload(&bytes[valid_bytes..]) {
        let Ok(entry) = postcard::from_bytes(payload) else {
            break;
        };
        apply(entry, &mut open);
        valid_bytes += ENTRY_PREFIX_LEN + payload.len();
    }
    Some(LegacyReplay { open, valid_bytes })
}

fn apply(entry: Entry, open: &mut BTreeMap<u64, MessageRecord>) {
    match entry {
        Entry::Accepted(id, record) => {
            open.insert(id, record.into());
        }
        Entry::AttemptStarted(id, start) => {
            if let Some(record) = open.get_mut(&id) {
                record.start_attempt(start);
            }
        }
        Entry::AttemptEnded { id, may_have_run } => {
            if let Some(record) = open.get_mut(&id) {
                record.end_attempt(may_have_run);
            }
        }
        Entry::Decided(id, verdict) => {
            if let Some(record) = open.get_mut(&id) {
                record.decide(verdict);
            }
        }
        Entry::Closed(id) => {
            open.remove(&id);
        }
    }
}

/// Returns the payload of the entry at the beginning of these bytes, if the entry is complete.
fn whole_payload(bytes: &[u8]) -> Option<&[u8]> {
    let (len, rest) = bytes.split_first_chunk()?;
    let (checksum, rest) = rest.split_first_chunk()?;
    let payload = rest.get(..u32::from_le_bytes(*len) as usize)?;
    (crc32fast::hash(payload) == u32::from_le_bytes(*checksum)).then_some(payload)
}

impl From<LegacyRecord> for MessageRecord {
    fn from(legacy: LegacyRecord) -> Self {
        MessageRecord {
            envelope: legacy.envelope,
            // The time of acceptance is not in this format. With 0 only the expiry bounds the time
            // left.
            accepted_unix_ms: 0,
            expires_unix_ms: legacy.expires_unix_ms,
            attempts: legacy.attempts,
            possible_run: legacy.possible_run,
            in_flight: legacy.in_flight,
            verdict: legacy.verdict,
            policy: 0,
            table: 0,
        }
    }
}

impl From<MessageRecord> for LegacyRecord {
    fn from(record: MessageRecord) -> Self {
        LegacyRecord {
            envelope: record.envelope,
            expires_unix_ms: record.expires_unix_ms,
            attempts: record.attempts,
            possible_run: record.possible_run,
            in_flight: record.in_flight,
            verdict: record.verdict,
        }
    }
}

/// Encodes a file of the first format with these records, for tests of the upgrade.
pub fn encode_file(open: &[(u64, MessageRecord)]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    for (id, record) in open.iter().cloned() {
        let entry = Entry::Accepted(id, record.into());
        let payload = postcard::to_stdvec(&entry).expect("plain data always encodes");
        bytes.extend((payload.len() as u32).to_le_bytes());
        bytes.extend(crc32fast::hash(&payload).to_le_bytes());
        bytes.extend(payload);
    }
    bytes
}
