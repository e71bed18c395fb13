//! Reads what an earlier process left: which segments count, what stands in them, and what cannot
//! be read.
//!
//! Changes nothing. [`super::log`] opens a log with it, and `raildeal journal inspect` looks into
//! one. Whoever calls it gives a [`Replay`] that takes the items.
//!
//! A cut at the end of the newest segment is told apart from damage. A cut costs what nobody was
//! told of; damage is stepped over, so that it hides nothing behind it, and the replay learns that
//! frames may be missing there.

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

/// Takes what is read, in the order in which it was written.
pub trait Replay {
    /// An item as it stood.
    ///
    /// # Errors
    /// The data makes no sense; it is reported as damage.
    fn on_put(&mut self, item: u64, data: &[u8]) -> Result<(), ReplayError>;
    /// Something that happened to an item, which may be long over.
    ///
    /// # Errors
    /// As [`Replay::on_put`].
    fn on_update(&mut self, item: u64, data: &[u8]) -> Result<(), ReplayError>;
    /// An item is over.
    fn on_remove(&mut self, item: u64);
    /// Frames may be missing here: of all items that are open now, more may have happened than was
    /// told. Whether that is so is known at the end.
    fn on_possible_loss(&mut self);
    /// For each possible loss, in order, whether frames are missing that were believed to be kept.
    fn on_losses_known(&mut self, lost: &[bool]);
}

/// Why a whole frame makes no sense to who replays it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplayError {
    /// Its data is of another form.
    #[error("{0}")]
    Undecodable(#[from] postcard::Error),
    /// Items here have no updates.
    #[error("an update of item {item}, where none are written")]
    UnexpectedUpdate {
        /// The item.
        item: u64,
    },
}

/// A place in the log. Later places are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// The segment.
    pub sequence: u64,
    /// Bytes from the beginning of its file.
    pub offset: u64,
}

/// A segment that counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredSegment {
    /// Number in its file's name.
    pub slot: u32,
    /// Bytes of the file.
    pub size_bytes: u64,
    /// Its header.
    pub header: SegmentHeader,
    /// Both copies of the header say the same.
    pub copies_agree: bool,
    /// Offset at which frames end.
    pub end: u64,
    /// Frames that are whole.
    pub frames: u64,
}

/// A file that holds nothing that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeFile {
    /// Number in its name.
    pub slot: u32,
    /// Its bytes.
    pub size_bytes: u64,
}

/// Where an item's last `Put` stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameLocation {
    /// The segment.
    pub sequence: u64,
    /// Number in the name of the segment's file.
    pub slot: u32,
    /// Where its frame begins.
    pub offset: u64,
    /// Bytes of data.
    pub data_len: usize,
}

/// What was found.
#[derive(Debug, Default)]
pub struct RecoveredLog {
    /// Segments that count, oldest first.
    pub segments: Vec<RecoveredSegment>,
    /// Files that are free.
    pub free_files: Vec<FreeFile>,
    /// Where items stand that are not over.
    pub locations: HashMap<u64, FrameLocation>,
    /// The oldest segment that counts.
    pub oldest_sequence: u64,
    /// An item number that was never used.
    pub next_item: u64,
    /// What cannot be read.
    pub damage: Vec<Damage>,
    /// What writes that failed in part have left, and was read all the same.
    pub anomalies: Vec<Anomaly>,
    /// Bytes at the end of the newest segment that hold part of a frame.
    pub torn_bytes: u64,
    /// Bytes read.
    pub read_bytes: u64,
}

/// The name of a segment's file.
pub fn segment_file_name(slot: u32) -> String {
    format!("{slot:04}.seg")
}

fn slot_of(file_name: &str) -> Option<u32> {
    let digits = file_name
        .strip_suffix(".seg")
        .filter(|d| d.len() >= 4 && d.bytes().all(|b| b.is_ascii_digit()))?;
    digits.parse().ok()
}

/// Reads all segments of a folder. `first_sequence` is the oldest that counts where no header says
/// otherwise.
///
/// # Errors
/// The folder or a file in it cannot be read. What is wrong inside files is no error but
/// [`RecoveredLog::damage`].
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

/// A place where frames may be missing.
struct PossibleLoss {
    at: LogPosition,
    /// Its place in [`RecoveredLog::damage`].
    damage_index: usize,
    /// Frames are missing only if this was synced: otherwise a machine that failed may have left a
    /// hole of writes that nobody relied upon.
    only_if_durable: bool,
}

struct Scanner<'a> {
    disk: &'a dyn Disk,
    replay: &'a mut dyn Replay,
    log: RecoveredLog,
    /// Everything before this was synced, as far as frames say so.
    durable_up_to: LogPosition,
    possible_losses: Vec<PossibleLoss>,
}

impl Scanner<'_> {
    /// A file that lost its header is free; what is missing is seen by the gap in the sequence.
    fn report_unreadable(&mut self, unreadable: Vec<FreeFile>) {
        for file in unreadable {
            let name = segment_file_name(file.slot);
            self.log
                .damage
                .push(Damage::UnreadableHeader { file: name });
            self.log.free_files.push(file);
        }
    }

    /// Files of segments before the log's beginning count no more.
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
            // Behind a file of an earlier form the log may begin with any segment.
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

    /// Where frames stand in a segment for certain, as the next segment's header says. Where that
    /// header failed, others may follow.
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

    /// Decides which possible losses are real. The others are no damage but a torn end.
    fn settle_possible_losses(&mut self) {
        let possible = std::mem::take(&mut self.possible_losses);
        let lost: Vec<bool> = possible.iter().map(|loss| self.is_real(loss)).collect();
        self.replay.on_losses_known(&lost);
        let oldest = self.log.oldest_sequence;
        // Backwards, so that the places of those before stay right.
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
        // A segment that counts no more may be half used again.
        let counts = loss.at.sequence >= self.log.oldest_sequence;
        counts && (!loss.only_if_durable || loss.at < self.durable_up_to)
    }

    /// What still stands before the log's beginning was over before that was moved.
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
