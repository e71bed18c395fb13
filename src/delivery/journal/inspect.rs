//! Inspects a journal's folder without changing it, also while a process uses it.
//!
//! `raildeal journal inspect` and `verify` print the result; the JSON keys are those of the
//! serialized [`JournalInspection`].

use super::legacy_v1;
use super::persistent_clock::PersistentClock;
use super::record::MessageRecord;
use super::replay::JournalReplay;
use super::wall_clock::WallClock;
use crate::delivery::Verdict;
use crate::store::disk::Folder;
use crate::store::frame;
use crate::store::recover::{self, segment_file_name, RecoveredLog, RecoveredSegment};
use rustix::fs::{flock, FlockOperation};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// Maximum number of times that a folder in use is read again because part of it could not be read.
const READ_RETRIES: usize = 5;
/// Delay between two reads.
const READ_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A segment that holds part of the log.
#[derive(Debug, Serialize)]
pub struct SegmentSummary {
    /// Name of the segment's file.
    pub file: String,
    /// Position in the sequence of segments.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// Size of the file, in bytes.
    #[serde(rename = "size")]
    pub size_bytes: u64,
    /// Bytes that the frames occupy.
    #[serde(rename = "used")]
    pub used_bytes: u64,
    /// Frames written.
    pub frames: u64,
    /// Messages whose last `Put` is in this segment.
    pub messages: u64,
    /// Bytes of the last `Put` frames of these messages.
    #[serde(rename = "live")]
    pub live_bytes: u64,
}

/// A message that has not ended.
#[derive(Debug, Serialize)]
pub struct MessageSummary {
    /// Number of the message in the store.
    #[serde(rename = "no")]
    pub item: u64,
    /// Id of the message.
    pub id: String,
    /// Number of the policy under which the message was accepted; 0 for none.
    pub policy: u64,
    /// Number of the routing table under which the message was accepted; 0 for the endpoint list
    /// alone.
    pub table: u64,
    /// Class, as a number.
    pub class: u16,
    /// Tenant, as a number; 65535 for no tenant where the settings have tenants.
    pub tenant: u16,
    /// Destination, as a number.
    #[serde(rename = "dest")]
    pub destination: u16,
    /// Size of the body, in bytes.
    #[serde(rename = "body")]
    pub body_bytes: usize,
    /// Attempts started.
    pub attempts: u16,
    /// Zone of the first attempt that may have run.
    pub may_have_run: Option<String>,
    /// Final answer, where it is decided.
    pub verdict: Option<String>,
    /// Time left, in milliseconds.
    #[serde(rename = "left_ms")]
    pub time_left_ms: u64,
}

/// Free segment files, serialized as count and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(usize, u64)")]
pub struct FreeFiles {
    /// Number of files.
    pub count: usize,
    /// Total size in bytes.
    pub bytes: u64,
}

impl From<FreeFiles> for (usize, u64) {
    fn from(free: FreeFiles) -> Self {
        (free.count, free.bytes)
    }
}

/// Result of an inspection.
#[derive(Debug, Serialize)]
pub struct JournalInspection {
    /// Whether a process has the folder open.
    pub in_use: bool,
    /// Segments that hold part of the log, oldest first.
    pub segments: Vec<SegmentSummary>,
    /// Free segment files.
    #[serde(rename = "free")]
    pub free_files: FreeFiles,
    /// Bytes of a [`legacy_v1`] file, where there is one.
    #[serde(rename = "first_form")]
    pub legacy_bytes: Option<u64>,
    /// Messages that have not ended.
    pub messages: Vec<MessageSummary>,
    /// Fraction of the written bytes that no message needs any more, from 0 to 1.
    #[serde(rename = "garbage")]
    pub garbage_fraction: f64,
    /// Descriptions of data that cannot be read.
    pub damage: Vec<String>,
    /// Leftovers of partly failed writes that did not prevent reading.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub anomalies: Vec<String>,
    /// Bytes of an incomplete frame at the end of the newest segment.
    #[serde(rename = "torn")]
    pub torn_bytes: u64,
    /// Number of messages some of whose events may be lost.
    #[serde(rename = "doubted")]
    pub messages_in_doubt: usize,
    /// Duration of the inspection, in milliseconds.
    pub took_ms: u64,
}

/// Inspects a folder.
///
/// # Errors
/// The folder or a file in it cannot be read.
pub fn inspect(folder: &Path) -> io::Result<JournalInspection> {
    let in_use = is_in_use(folder)?;
    let mut inspection = inspect_once(folder, in_use)?;
    for _ in 0..READ_RETRIES {
        // Data that a process was writing or reusing during the read is not damage.
        let is_whole = inspection.damage.is_empty() && inspection.torn_bytes == 0;
        if !in_use || is_whole {
            break;
        }
        std::thread::sleep(READ_RETRY_DELAY);
        inspection = inspect_once(folder, in_use)?;
    }
    Ok(inspection)
}

fn is_in_use(folder: &Path) -> io::Result<bool> {
    // The shared lock is released when the file is dropped at the end of this function.
    Ok(flock(File::open(folder)?, FlockOperation::NonBlockingLockShared).is_err())
}

fn inspect_once(folder: &Path, in_use: bool) -> io::Result<JournalInspection> {
    let begun = Instant::now();
    let legacy = legacy_v1::read_file(folder)?;
    let mut replay = JournalReplay::new(u64::MAX);
    let mut damage = Vec::new();
    let legacy_items = match &legacy {
        Some(bytes) => replay_legacy(bytes, &mut replay, &mut damage),
        None => Vec::new(),
    };
    let disk = Folder::read_only(folder);
    // A legacy file stands for segment 0; without one, the log begins with segment 1.
    let oldest_sequence = u64::from(legacy.is_none());
    let recovered = recover::scan(&disk, oldest_sequence, &mut replay)?;
    forget_ended_legacy(&legacy_items, &recovered, &mut replay);
    damage.extend(recovered.damage.iter().map(ToString::to_string));
    let segments = summarize_segments(&recovered);
    let wall_clock = WallClock::at(PersistentClock::open(folder, 0).now_unix_ms());
    Ok(JournalInspection {
        in_use,
        garbage_fraction: garbage_fraction(&segments),
        segments,
        free_files: FreeFiles {
            count: recovered.free_files.len(),
            bytes: recovered.free_files.iter().map(|f| f.size_bytes).sum(),
        },
        legacy_bytes: legacy.map(|bytes| bytes.len() as u64),
        messages: replay
            .open()
            .map(|(item, record)| summarize_message(item, record, &wall_clock))
            .collect(),
        damage,
        anomalies: recovered
            .anomalies
            .iter()
            .map(ToString::to_string)
            .collect(),
        torn_bytes: recovered.torn_bytes,
        messages_in_doubt: replay.in_doubt(),
        took_ms: begun.elapsed().as_millis() as u64,
    })
}

/// Replays a [`legacy_v1`] file and returns the numbers of its messages.
fn replay_legacy(bytes: &[u8], replay: &mut JournalReplay, damage: &mut Vec<String>) -> Vec<u64> {
    let name = legacy_v1::FILE_NAME;
    let Some(legacy) = legacy_v1::replay(bytes) else {
        damage.push(format!("{name}: not a journal"));
        return Vec::new();
    };
    let cut = bytes.len() - legacy.valid_bytes;
    if cut > 0 {
        damage.push(format!(
            "{name}: {cut} bytes at its end are part of an incomplete entry"
        ));
    }
    replay.add_legacy(legacy.open)
}

/// Removes the messages of a [`legacy_v1`] file that have ended.
///
/// Such a file stands for segment 0. Once the oldest segment that counts is a later one, a message
/// of the file that is not in the log has ended.
fn forget_ended_legacy(legacy_items: &[u64], recovered: &RecoveredLog, replay: &mut JournalReplay) {
    if recovered.oldest_sequence == 0 {
        return;
    }
    for item in legacy_items {
        if !recovered.locations.contains_key(item) {
            replay.forget(*item);
        }
    }
}

/// Live data of one segment.
#[derive(Clone, Copy, Default)]
struct LiveFrames {
    messages: u64,
    bytes: u64,
}

fn summarize_segments(recovered: &RecoveredLog) -> Vec<SegmentSummary> {
    let mut live: BTreeMap<u64, LiveFrames> = BTreeMap::new();
    for location in recovered.locations.values() {
        let in_segment = live.entry(location.sequence).or_default();
        in_segment.messages += 1;
        in_segment.bytes += frame::encoded_len(location.data_len);
    }
    let live_in = |sequence| live.get(&sequence).copied().unwrap_or_default();
    recovered
        .segments
        .iter()
        .map(|segment| summarize_segment(segment, live_in(segment.header.sequence)))
        .collect()
}

fn summarize_segment(segment: &RecoveredSegment, live: LiveFrames) -> SegmentSummary {
    SegmentSummary {
        file: segment_file_name(segment.slot),
        sequence: segment.header.sequence,
        size_bytes: segment.size_bytes,
        used_bytes: segment.end - frame::FRAMES_OFFSET,
        frames: segment.frames,
        messages: live.messages,
        live_bytes: live.bytes,
    }
}

fn garbage_fraction(segments: &[SegmentSummary]) -> f64 {
    let used: u64 = segments.iter().map(|s| s.used_bytes).sum();
    let live: u64 = segments.iter().map(|s| s.live_bytes).sum();
    if used == 0 {
        return 0.0;
    }
    1.0 - live as f64 / used as f64
}

fn summarize_message(item: u64, record: &MessageRecord, clock: &WallClock) -> MessageSummary {
    let envelope = &record.envelope;
    let time_left = clock.time_left(record.accepted_unix_ms, record.expires_unix_ms);
    MessageSummary {
        item,
        id: envelope.id.clone(),
        policy: record.policy,
        table: record.table,
        class: envelope.class,
        tenant: envelope.tenant,
        destination: envelope.dest,
        body_bytes: envelope.body_size(),
        attempts: record.attempts,
        may_have_run: record.may_have_run().map(|attempt| attempt.zone.clone()),
        verdict: record.verdict.map(verdict_text),
        time_left_ms: time_left.as_millis() as u64,
    }
}

/// Formats a final answer. Scripts read this text from the JSON, so it must not change.
fn verdict_text(verdict: Verdict) -> String {
    match verdict {
        Verdict::Delivered => "Delivered".into(),
        Verdict::Deferred { retry_after_ms } => {
            format!("Deferred {{ again_ms: {retry_after_ms} }}")
        }
        Verdict::Undeliverable => "Undeliverable".into(),
    }
}

#[cfg(test)]
mod tests;
