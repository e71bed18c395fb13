//! The journal's first form, one file of checksummed entries: read once, when a folder of that form
//! is opened.
//!
//! The file is [`MAGIC`], then entries: length and CRC-32 of the payload, little endian, 4 bytes
//! each, and the payload, postcard of [`Entry`].

use super::record::{AttemptStart, MessageRecord};
use crate::delivery::{Envelope, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::{fs, io};

/// Its file.
pub const FILE_NAME: &str = "journal";
/// What a compaction that did not finish left beside it.
pub const UNFINISHED_FILE_NAME: &str = "journal.new";
/// What it begins with.
const MAGIC: &[u8] = b"raildeal journal 1\n";
/// Bytes before an entry's payload: its length and its checksum.
const ENTRY_PREFIX_LEN: usize = 8;

/// A record of that form; postcard writes the fields in this order.
#[derive(Serialize, Deserialize)]
struct LegacyRecord {
    envelope: Rc<Envelope>,
    expires_unix_ms: u64,
    attempts: u16,
    possible_run: Option<AttemptStart>,
    in_flight: Option<AttemptStart>,
    verdict: Option<Verdict>,
}

/// An entry of the file, on the message of a number; postcard writes the variant's position.
#[derive(Serialize, Deserialize)]
enum Entry {
    Accepted(u64, LegacyRecord),
    AttemptStarted(u64, AttemptStart),
    AttemptEnded { id: u64, may_have_run: bool },
    Decided(u64, Verdict),
    Closed(u64),
}

/// What a file of that form holds.
#[derive(Debug, Default)]
pub struct LegacyReplay {
    /// Records that are still open, by number.
    pub open: BTreeMap<u64, MessageRecord>,
    /// Bytes at the beginning that could be read.
    pub valid_bytes: usize,
}

/// The bytes of a folder's file; none where there is no such file.
///
/// # Errors
/// It is there and cannot be read.
pub fn read_file(folder: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::read(folder.join(FILE_NAME)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        read => read.map(Some),
    }
}

/// Replays a file's bytes; none where they are of another form. Stops at the first entry that is
/// not whole, as that form has no way on from there.
pub fn replay(bytes: &[u8]) -> Option<LegacyReplay> {
    if !bytes.starts_with(MAGIC) {
        // A file that was cut within its first bytes holds nothing.
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

/// The payload of the entry at the beginning of these bytes, if a whole one stands there.
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
            // When it was accepted was not written; a time left that only the expiry bounds is what
            // it had.
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

/// A file of that form with these records in it, as tests of an upgrade need one.
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
