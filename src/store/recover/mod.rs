//! Recovery: reads the files of an earlier process and finds the segments of the log, their
//! content, and damage.
//!
//! Recovery changes no file. [`super::log`] uses it to open a log, and `raildeal journal inspect`
//! to show one. The caller passes a [`Replay`] that receives the items.
//!
//! A torn write at the end of the newest segment is distinguished from damage. A torn write loses
//! only what was never acknowledged. Damage is skipped, so that the frames after it are still read,
//! and the replay is notified that frames may be missing there.

mod anomaly;
mod damage;
mod headers;
mod segment;

use super::disk::Disk;
use super::frame::SegmentHeader;
pub use anomaly::Anomaly;
pub use damage::Damage;
use std::collections::HashMap;
use std::io;

/// Receives the content of the log in the order in which it was written.
pub trait Replay {
    /// Receives the complete state of an item.
    ///
    /// # Errors
    /// The data is malformed, which is reported as damage.
    fn on_put(&mut self, item: u64, data: &[u8]) -> Result<(), ReplayError>;
    /// Receives an update of an item, which may be removed already.
    ///
    /// # Errors
    /// As [`Replay::on_put`].
    fn on_update(&mut self, item: u64, data: &[u8]) -> Result<(), ReplayError>;
    /// Receives the removal of an item.
    fn on_remove(&mut self, item: u64);
    /// Receives a place where frames may be missing: any current item may have had updates that
    /// were not replayed. [`Replay::on_losses_known`] reports whether that is the case.
    fn on_possible_loss(&mut self);
    /// Receives, for each possible loss in order, whether frames are missing that should have been
    /// preserved. Called at the end of recovery.
    fn on_losses_known(&mut self, lost: &[bool]);
}

/// Reason for which the data of a complete frame is malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplayError {
    /// The data cannot be decoded.
    #[error("{0}")]
    Undecodable(#[from] postcard::Error),
    /// This log does not contain updates.
    #[error("an update of item {item}, in a log without updates")]
    UnexpectedUpdate {
        /// The item.
        item: u64,
    },
}

/// A position in the log. Later positions compare as greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// The segment.
    pub sequence: u64,
    /// Bytes from the beginning of its file.
    pub offset: u64,
}

/// A segment of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredSegment {
    /// Number in the file's name.
    pub slot: u32,
    /// Size of the file, in bytes.
    pub size_bytes: u64,
    /// Header of the segment.
    pub header: SegmentHeader,
    /// Whether both copies of the header are equal.
    pub copies_agree: bool,
    /// Offset at which frames end.
    pub end: u64,
    /// Number of complete frames.
    pub frames: u64,
}

/// A file that is not a segment of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeFile {
    /// Number in the file's name.
    pub slot: u32,
    /// Size of the file, in bytes.
    pub size_bytes: u64,
}

/// Location of an item's last `Put`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameLocation {
    /// The segment.
    pub sequence: u64,
    /// Number in the name of the segment's file.
    pub slot: u32,
    /// Offset of the frame.
    pub offset: u64,
    /// Length of the data, in bytes.
    pub data_len: usize,
}

/// Result of a recovery.
#[derive(Debug, Default)]
pub struct RecoveredLog {
    /// Segments of the log, oldest first.
    pub segments: Vec<RecoveredSegment>,
    /// Free files.
    pub free_files: Vec<FreeFile>,
    /// Locations of the items that are not removed.
    pub locations: HashMap<u64, FrameLocation>,
    /// Sequence number of the log's first segment.
    pub oldest_sequence: u64,
    /// An item number that was never used.
    pub next_item: u64,
    /// Damage.
    pub damage: Vec<Damage>,
    /// Remains of partially failed writes, handled without loss.
    pub anomalies: Vec<Anomaly>,
    /// Bytes of an incomplete frame at the end of the newest segment.
    pub torn_bytes: u64,
    /// Number of bytes read.
    pub read_bytes: u64,
}

/// Returns the name of a segment's file.
pub fn segment_file_name(slot: u32) -> String {
    format!("{slot:04}.seg")
}

fn slot_of(file_name: &str) -> Option<u32> {
    let digits = file_name
        .strip_suffix(".seg")
        .filter(|d| d.len() >= 4 && d.bytes().all(|b| b.is_ascii_digit()))?;
    digits.parse().ok()
}

/// Reads all segments of a folder. `first_sequence` is the log's first segment unless a header or
/// frame records a later one.
///
/// # Errors
/// The folder or a file in it cannot be read. Damage inside files is not an error; it is reported
/// in [`RecoveredLog::damage`].
pub fn scan(
    disk: &dyn Disk,
    first_sequence: u64,
    replay: &mut dyn Replay,
) -> io::Result<RecoveredLog> {
    let mut scanner = Scanner {
        disk,
        replay,
        log: RecoveredLog {
            oldest_sequence: first_sequence,
            ..RecoveredLog::default()
        },
        durable_up_to: LogPosition::default(),
        possible_losses: Vec::new(),
    };
    let unreadable = scanner.read_headers()?;
    scanner.free_retired_segments();
    scanner.report_differing_copies();
    scanner.free_repeated_segments()?;
    scanner.report_unreadable(unreadable);
    scanner.read_segments()?;
    scanner.settle_possible_losses();
    scanner.drop_items_before_the_log();
    scanner.free_retired_segments();
    Ok(scanner.log)
}

/// A position at which frames may be missing.
struct PossibleLoss {
    at: LogPosition,
    /// Index in [`RecoveredLog::damage`].
    damage_index: usize,
    /// Whether frames are missing only if this position was synced. If it was not, a failure of the
    /// machine may have left a gap of writes that were never acknowledged.
    only_if_durable: bool,
}

struct Scanner<'a> {
    disk: &'a dyn Disk,
    replay: &'a mut dyn Replay,
    log: RecoveredLog,
    /// Position up to which the log was synced, according to its frames.
    durable_up_to: LogPosition,
    possible_losses: Vec<PossibleLoss>,
}

impl Scanner<'_> {
    /// Reports files without a readable header and frees them. If one was a segment, the gap in the
    /// sequence numbers shows it.
    fn report_unreadable(&mut self, unreadable: Vec<FreeFile>) {
        for file in unreadable {
            let name = segment_file_name(file.slot);
            self.log
                .damage
                .push(Damage::UnreadableHeader { file: name });
            self.log.free_files.push(file);
        }
    }

    /// Frees the files of segments before the beginning of the log.
    fn free_retired_segments(&mut self) {
        let oldest = self.log.oldest_sequence;
        let segments = std::mem::take(&mut self.log.segments);
        let (retired, counting): (Vec<_>, Vec<_>) = segments
            .into_iter()
            .partition(|s| s.header.sequence < oldest);
        self.log.segments = counting;
        self.log.free_files.extend(retired.iter().map(|s| FreeFile {
            slot: s.slot,
            size_bytes: s.size_bytes,
        }));
    }

    /// Replays all segments, oldest first, and reports gaps between them.
    fn read_segments(&mut self) -> io::Result<()> {
        let oldest = self.log.oldest_sequence;
        let mut expected = oldest.max(1);
        let mut buffer = Vec::new();
        for index in 0..self.log.segments.len() {
            let header = self.log.segments[index].header;
            // After a legacy file the log may begin with any segment.
            let may_begin_here = index == 0 && oldest == 0;
            if header.sequence > expected && !may_begin_here {
                self.report_possible_loss(
                    LogPosition {
                        sequence: expected,
                        offset: 0,
                    },
                    header.has_durable_marks,
                    Damage::MissingSegments {
                        from: expected,
                        to: header.sequence,
                    },
                );
            }
            expected = header.sequence + 1;
            let known_end = self.known_end(index);
            self.read_segment(index, known_end, &mut buffer)?;
        }
        Ok(())
    }

    /// Returns the offset up to which a segment has frames at least, from the next segment's
    /// header. If the write of that header failed at first, further frames may follow.
    fn known_end(&self, index: usize) -> Option<u64> {
        let sequence = self.log.segments[index].header.sequence;
        let next = self.log.segments.get(index + 1)?.header;
        (next.sequence == sequence + 1).then_some(next.previous_end)
    }

    fn report_possible_loss(&mut self, at: LogPosition, only_if_durable: bool, damage: Damage) {
        self.replay.on_possible_loss();
        self.possible_losses.push(PossibleLoss {
            at,
            damage_index: self.log.damage.len(),
            only_if_durable,
        });
        self.log.damage.push(damage);
    }

    /// Decides which possible losses are real. The others are torn writes, not damage.
    fn settle_possible_losses(&mut self) {
        let possible = std::mem::take(&mut self.possible_losses);
        let lost: Vec<bool> = possible.iter().map(|loss| self.is_real(loss)).collect();
        self.replay.on_losses_known(&lost);
        let oldest = self.log.oldest_sequence;
        // In reverse order, so that the remaining indices stay valid.
        for (loss, _) in possible.iter().zip(&lost).rev().filter(|(_, lost)| !**lost) {
            let damage = self.log.damage.remove(loss.damage_index);
            self.log.torn_bytes += match damage {
                Damage::Bytes {
                    sequence, from, to, ..
                } if sequence >= oldest => to - from,
                _ => 0,
            };
        }
    }

    fn is_real(&self, loss: &PossibleLoss) -> bool {
        // The file of a retired segment may be partly overwritten.
        let counts = loss.at.sequence >= self.log.oldest_sequence;
        counts && (!loss.only_if_durable || loss.at < self.durable_up_to)
    }

    /// Removes items located before the beginning of the log. They were removed before the
    /// beginning was moved past them.
    fn drop_items_before_the_log(&mut self) {
        let oldest = self.log.oldest_sequence;
        let replay = &mut *self.replay;
        self.log.locations.retain(|item, location| {
            let counts = location.sequence >= oldest;
            if !counts {
                replay.on_remove(*item);
            }
            counts
        });
    }
}
