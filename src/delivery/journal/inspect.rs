//! Looks into a journal's folder without changing it, also while a process serves from it.

use crate::delivery::journal::legacy_v1 as v1;
use crate::delivery::journal::wall_clock::WallClock;
use crate::delivery::journal::{JournalReplay, MessageRecord};
use crate::delivery::unix_ms;
use crate::store::disk::Folder;
use crate::store::frame;
use crate::store::recover::{self, segment_file_name};
use rustix::fs::{flock, FlockOperation};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// How often a folder is read again that a process writes to, where something in it could not be
/// read.
const LOOKS: usize = 5;
/// Time between that.
const BETWEEN: Duration = Duration::from_millis(20);

/// A segment that counts.
#[derive(Debug, Serialize)]
pub struct SegmentSummary {
    /// Its file.
    pub file: String,
    /// Its place in the sequence.
    pub seq: u64,
    /// Bytes of the file.
    pub size: u64,
    /// Bytes written.
    pub used: u64,
    /// Frames written.
    pub frames: u64,
    /// Messages whose last whole line stands here.
    pub messages: u64,
    /// Bytes of those lines.
    pub live: u64,
}

/// A message that is not over.
#[derive(Debug, Serialize)]
pub struct MessageSummary {
    /// Its number in the store.
    pub no: u64,
    /// Its id.
    pub id: String,
    /// The policy that it was taken on under; 0 for none.
    pub policy: u64,
    /// The routing table that it was taken on under; 0 for the list alone.
    pub table: u64,
    /// Class and destination, as numbers.
    pub class: u16,
    /// Tenant, as a number; 65535 for none where the settings have some.
    pub tenant: u16,
    /// Destination.
    pub dest: u16,
    /// Bytes of its body.
    pub body: usize,
    /// Calls that went.
    pub attempts: u16,
    /// Zone of the first call that may have run.
    pub may_have_run: Option<String>,
    /// Its final answer, where it is decided.
    pub verdict: Option<String>,
    /// Milliseconds that it has left.
    pub left_ms: u64,
}

/// What was found.
#[derive(Debug, Serialize)]
pub struct JournalInspection {
    /// A process serves from it now.
    pub in_use: bool,
    /// Segments that count, oldest first.
    pub segments: Vec<SegmentSummary>,
    /// Files that are free, and their bytes.
    pub free: (usize, u64),
    /// Bytes of a file of the first form, where there is one.
    pub first_form: Option<u64>,
    /// Messages that are not over.
    pub messages: Vec<MessageSummary>,
    /// Part of the written bytes that no message needs any more.
    pub garbage: f64,
    /// What cannot be read.
    pub damage: Vec<String>,
    /// Bytes at the end that hold part of a line.
    pub torn: u64,
    /// Messages of which more may have happened than was kept.
    pub doubted: usize,
    /// Time that reading took, in milliseconds.
    pub took_ms: u64,
}

/// Looks into a folder.
pub fn inspect(folder: &Path) -> io::Result<JournalInspection> {
    let in_use = in_use(folder)?;
    let mut seen = look(folder, in_use)?;
    for _ in 0..LOOKS {
        // What a process was writing, or used again, while it was read is no damage.
        if !in_use || (seen.damage.is_empty() && seen.torn == 0) {
            break;
        }
        std::thread::sleep(BETWEEN);
        seen = look(folder, in_use)?;
    }
    Ok(seen)
}

fn in_use(folder: &Path) -> io::Result<bool> {
    // The lock is gone with the file, at the end of this function.
    Ok(flock(File::open(folder)?, FlockOperation::NonBlockingLockShared).is_err())
}

fn look(folder: &Path, in_use: bool) -> io::Result<JournalInspection> {
    let begun = Instant::now();
    let mut replayed = JournalReplay::new(u64::MAX);
    let old = match fs::read(folder.join(v1::NAME)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        other => Some(other?),
    };
    let mut damage = Vec::new();
    let numbers = match old.as_deref().map(v1::replay) {
        Some(Some((open, good))) => {
            let cut = old.as_ref().map_or(0, |bytes| bytes.len() - good);
            damage.extend(
                (cut > 0).then(|| format!("{}: {cut} bytes at its end are not whole", v1::NAME)),
            );
            replayed.first_form(open)
        }
        Some(None) => {
            damage.push(format!("{}: not a journal", v1::NAME));
            Vec::new()
        }
        None => Vec::new(),
    };
    let scan = recover::scan(
        &Folder::read_only(folder),
        u64::from(old.is_none()),
        &mut replayed,
    )?;
    if scan.oldest > 0 {
        numbers
            .iter()
            .filter(|no| !scan.locations.contains_key(no))
            .for_each(|no| replayed.forget(*no));
    }
    let mut live: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for home in scan.locations.values() {
        let (messages, bytes) = live.entry(home.sequence).or_default();
        (*messages, *bytes) = (*messages + 1, *bytes + frame::encoded_len(home.data));
    }
    let segments = scan.found.iter().map(|f| {
        let (messages, live) = live.get(&f.header.sequence).copied().unwrap_or_default();
        let (file, seq, size) = (segment_file_name(f.slot), f.header.sequence, f.size);
        SegmentSummary {
            file,
            seq,
            size,
            used: f.len - frame::FRAMES_OFFSET,
            frames: f.frames,
            messages,
            live,
        }
    });
    let segments: Vec<_> = segments.collect();
    let (used, needed) = segments
        .iter()
        .fold((0, 0), |(u, l), s| (u + s.used, l + s.live));
    damage.extend(scan.damage.iter().map(ToString::to_string));
    let clock = WallClock {
        now_ms: unix_ms(),
        newest_ms: 0,
    };
    Ok(JournalInspection {
        in_use,
        segments,
        free: (scan.free.len(), scan.free.iter().map(|f| f.1).sum()),
        first_form: old.map(|bytes| bytes.len() as u64),
        messages: replayed
            .open()
            .map(|(no, account)| message(no, account, &clock))
            .collect(),
        garbage: if used == 0 {
            0.0
        } else {
            1.0 - needed as f64 / used as f64
        },
        damage,
        torn: scan.torn,
        doubted: replayed.doubted(),
        took_ms: begun.elapsed().as_millis() as u64,
    })
}

fn message(no: u64, account: &MessageRecord, clock: &WallClock) -> MessageSummary {
    let envelope = &account.envelope;
    MessageSummary {
        no,
        id: envelope.id.clone(),
        policy: account.policy,
        tenant: account.envelope.tenant,
        table: account.table,
        class: envelope.class,
        dest: envelope.dest,
        body: envelope.body_size(),
        attempts: account.attempts,
        may_have_run: account.may_have_run().map(|s| s.zone.clone()),
        verdict: account.verdict.map(|v| format!("{v:?}")),
        left_ms: clock.left(account.taken_ms, account.expires_ms).as_millis() as u64,
    }
}
