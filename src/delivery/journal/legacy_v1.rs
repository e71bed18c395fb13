//! The journal's first form, one file of checksummed lines: read once, when a folder of that form
//! is opened.

use crate::delivery::journal::record::{AttemptStart, MessageRecord};
use crate::delivery::{Envelope, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Its file.
pub const NAME: &str = "journal";
/// What a compaction that did not finish left beside it.
pub const UNFINISHED: &str = "journal.new";
/// What it begins with.
const FORM: &[u8] = b"raildeal journal 1\n";
/// Bytes before a line's payload: its length and its checksum.
const HEAD: usize = 8;

#[derive(Serialize, Deserialize)]
struct Old {
    envelope: Rc<Envelope>,
    expires_ms: u64,
    attempts: u16,
    ran: Option<AttemptStart>,
    out: Option<AttemptStart>,
    verdict: Option<Verdict>,
}

#[derive(Serialize, Deserialize)]
enum Line {
    Open(u64, Old),
    AttemptStart(u64, AttemptStart),
    Back { no: u64, may_have_run: bool },
    Ended(u64, Verdict),
    Closed(u64),
}

/// The accounts still open after these lines, and how many bytes were whole. Stops at the first
/// line that is not, as that form has no way on from there. Nothing, where the bytes are of another
/// form.
pub fn replay(bytes: &[u8]) -> Option<(BTreeMap<u64, MessageRecord>, usize)> {
    let mut open: BTreeMap<u64, MessageRecord> = BTreeMap::new();
    if !bytes.starts_with(FORM) {
        return FORM.starts_with(bytes).then_some((open, 0));
    }
    let mut at = FORM.len();
    while let Some((payload, len)) = whole_line(&bytes[at..]) {
        let Ok(entry) = postcard::from_bytes::<Line>(payload) else {
            break;
        };
        match entry {
            Line::Open(no, old) => drop(open.insert(no, old.into())),
            Line::Closed(no) => drop(open.remove(&no)),
            Line::AttemptStart(no, sent) => drop(open.get_mut(&no).map(|a| a.sent(sent))),
            Line::Back { no, may_have_run } => {
                if let Some(account) = open.get_mut(&no) {
                    account.back(may_have_run);
                }
            }
            Line::Ended(no, verdict) => drop(open.get_mut(&no).map(|a| a.ended(verdict))),
        }
        at += len;
    }
    Some((open, at))
}

impl From<Old> for MessageRecord {
    fn from(old: Old) -> Self {
        let Old {
            envelope,
            expires_ms,
            attempts,
            ran,
            out,
            verdict,
        } = old;
        // When it was taken on was not written; a time left that only the expiry bounds is what it
        // had.
        MessageRecord {
            envelope,
            taken_ms: 0,
            expires_ms,
            attempts,
            ran,
            out,
            verdict,
            policy: 0,
            table: 0,
        }
    }
}

/// A file of that form with these messages in it, as tests of an upgrade need one.
pub fn file(open: &[(u64, MessageRecord)]) -> Vec<u8> {
    let mut bytes = FORM.to_vec();
    for (no, a) in open.iter().cloned() {
        let MessageRecord {
            envelope,
            expires_ms,
            attempts,
            ran,
            out,
            verdict,
            ..
        } = a;
        let old = Old {
            envelope,
            expires_ms,
            attempts,
            ran,
            out,
            verdict,
        };
        let payload = postcard::to_stdvec(&Line::Open(no, old)).expect("plain data always encodes");
        bytes.extend((payload.len() as u32).to_le_bytes());
        bytes.extend(crc32fast::hash(&payload).to_le_bytes());
        bytes.extend(payload);
    }
    bytes
}

fn whole_line(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let (head, rest) = bytes.split_first_chunk::<HEAD>()?;
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let payload = rest.get(..word(0) as usize)?;
    (crc32fast::hash(payload) == word(4)).then_some((payload, HEAD + payload.len()))
}
