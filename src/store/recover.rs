//! Reads what an earlier process left: which segments count, what stands in them, and what cannot
//! be read.
//!
//! A cut at the end of the newest segment is told apart from damage. A cut costs what nobody was
//! told of; damage is stepped over, so that it hides nothing behind it, and whoever replays is told
//! that lines may be missing there.

use super::disk::{read_full, Disk};
use super::frame::{self, FrameKind, SegmentHeader, SegmentStart, FRAMES_OFFSET};
use std::collections::HashMap;
use std::fmt;
use std::io;

/// Takes what is read, in the order in which it was written.
pub trait Replay {
    /// An item as it stood. An error, if it makes no sense.
    fn on_put(&mut self, no: u64, data: &[u8]) -> Result<(), String>;
    /// Something that happened to an item, which may be long over.
    fn on_update(&mut self, no: u64, data: &[u8]) -> Result<(), String>;
    /// An item is over.
    fn on_remove(&mut self, no: u64);
    /// Lines may be missing here: of all items that are open now, more may have happened than was
    /// told. Whether that is so is known at the end.
    fn on_possible_loss(&mut self);
    /// For each doubt, whether lines are missing that were believed to be kept.
    fn on_losses_known(&mut self, lost: &[bool]);
}

/// Something that cannot be read though it was written and counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damage {
    /// Bytes of a segment.
    Bytes {
        /// The segment's file.
        file: String,
        /// The segment.
        sequence: u64,
        /// Where it begins.
        from: u64,
        /// Where the next frame stands that can be read, or where frames should have ended.
        to: u64,
    },
    /// Segments that are not there, or have lost their headers: from this one on, before that one.
    Missing {
        /// The first.
        from: u64,
        /// The next that is there.
        to: u64,
    },
    /// A file that is no segment any more, and may have been one.
    UnreadableHeader {
        /// The file.
        file: String,
    },
    /// A whole frame that makes no sense.
    Malformed {
        /// The segment's file.
        file: String,
        /// Where it stands.
        at: u64,
        /// Its number.
        no: u64,
        /// What is wrong.
        problem: String,
    },
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Damage::Bytes {
                file,
                sequence,
                from,
                to,
            } => {
                write!(
                    f,
                    "{file} (segment {sequence}): {} bytes from {from} on cannot be read",
                    to - from
                )
            }
            Damage::Missing { from, to } if from + 1 == *to => {
                write!(f, "segment {from} is missing")
            }
            Damage::Missing { from, to } => write!(f, "segments {from} to {} are missing", to - 1),
            Damage::UnreadableHeader { file } => write!(f, "{file}: its header cannot be read"),
            Damage::Malformed {
                file,
                at,
                no,
                problem,
            } => {
                write!(
                    f,
                    "{file}: the frame at {at}, on message {no}, makes no sense: {problem}"
                )
            }
        }
    }
}

/// A segment that counts.
pub struct RecoveredSegment {
    /// Number in its file's name.
    pub slot: u32,
    /// Bytes of the file.
    pub size: u64,
    /// Its header.
    pub header: SegmentHeader,
    /// Where frames end.
    pub len: u64,
    /// Frames that are whole.
    pub frames: u64,
}

/// Where an item's `Put` stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameLocation {
    /// The segment.
    pub sequence: u64,
    /// Where its frame begins.
    pub at: u64,
    /// Bytes of data.
    pub data: usize,
}

/// What was found.
#[derive(Default)]
pub struct RecoveredLog {
    /// Segments that count, oldest first.
    pub found: Vec<RecoveredSegment>,
    /// Files that are free, by number, and their bytes.
    pub free: Vec<(u32, u64)>,
    /// Where items stand that are not over.
    pub locations: HashMap<u64, FrameLocation>,
    /// The oldest segment that counts.
    pub oldest: u64,
    /// A number that was never used.
    pub next: u64,
    /// What cannot be read.
    pub damage: Vec<Damage>,
    /// Bytes at the end of the newest segment that hold part of a frame.
    pub torn: u64,
    /// Bytes read.
    pub read: u64,
    /// Everything before this segment and offset was synced, as far as is told.
    mark: (u64, u64),
    /// Where lines may be missing, the place in [`RecoveredLog::damage`], and whether that depends on the
    /// mark.
    doubts: Vec<(u64, u64, usize, bool)>,
}

/// The name of a segment's file.
pub fn segment_file_name(slot: u32) -> String {
    format!("{slot:04}.seg")
}

fn slot(name: &str) -> Option<u32> {
    let digits = name
        .strip_suffix(".seg")
        .filter(|d| d.len() >= 4 && d.bytes().all(|b| b.is_ascii_digit()))?;
    digits.parse().ok()
}

/// Reads all segments of a folder. `first` is the oldest that counts where no header says
/// otherwise.
pub fn scan(disk: &dyn Disk, first: u64, replay: &mut dyn Replay) -> io::Result<RecoveredLog> {
    let mut scan = RecoveredLog {
        oldest: first,
        next: 0,
        ..RecoveredLog::default()
    };
    let mut unreadable = Vec::new();
    let mut files: Vec<_> = disk
        .list()?
        .into_iter()
        .filter_map(|(n, size)| Some((slot(&n)?, n, size)))
        .collect();
    files.sort();
    for (slot, name, size) in files {
        let area = disk.open(&name)?;
        let mut head = vec![0; FRAMES_OFFSET.min(size) as usize];
        read_full(&*area, &mut head, 0)?;
        match SegmentHeader::read(&head) {
            SegmentStart::Header(header) => {
                scan.found.push(RecoveredSegment {
                    slot,
                    size,
                    header,
                    len: FRAMES_OFFSET,
                    frames: 0,
                });
            }
            SegmentStart::Empty => scan.free.push((slot, size)),
            SegmentStart::Unreadable => unreadable.push((slot, size)),
        }
    }
    scan.found.sort_by_key(|f| f.header.sequence);
    if let Some(newest) = scan.found.last() {
        scan.oldest = scan.oldest.max(newest.header.oldest_sequence);
        scan.next = newest.header.next_item;
    }
    // A file whose use ended counts no more; one that lost its header is free too, once it is known
    // what is missing.
    let oldest = scan.oldest;
    let (past, found): (Vec<_>, Vec<_>) = scan
        .found
        .drain(..)
        .partition(|f| f.header.sequence < oldest);
    scan.found = found;
    scan.free.extend(past.into_iter().map(|f| (f.slot, f.size)));
    let damaged = unreadable
        .iter()
        .map(|(slot, ..)| Damage::UnreadableHeader {
            file: segment_file_name(*slot),
        });
    scan.damage.extend(damaged);
    scan.free.extend(unreadable);

    let mut bytes = Vec::new();
    let mut due = oldest.max(1);
    for at in 0..scan.found.len() {
        let sequence = scan.found[at].header.sequence;
        if sequence > due && !(at == 0 && oldest == 0) {
            let marked = scan.found[at].header.has_durable_marks;
            scan.doubt(
                replay,
                (due, 0),
                marked,
                Damage::Missing {
                    from: due,
                    to: sequence,
                },
            );
        }
        due = sequence + 1;
        let next = scan
            .found
            .get(at + 1)
            .map(|f| f.header)
            .filter(|h| h.sequence == sequence + 1);
        scan.segment(disk, at, next.map(|h| h.previous_end), &mut bytes, replay)?;
    }
    scan.believe(replay);
    // What still stands before the log's beginning was over before that was moved.
    let oldest = scan.oldest;
    let over: Vec<u64> = scan
        .locations
        .iter()
        .filter(|(_, h)| h.sequence < oldest)
        .map(|(no, _)| *no)
        .collect();
    for no in over {
        scan.locations.remove(&no);
        replay.on_remove(no);
    }
    let (past, found): (Vec<_>, Vec<_>) = scan
        .found
        .drain(..)
        .partition(|f| f.header.sequence < oldest);
    scan.found = found;
    scan.free.extend(past.into_iter().map(|f| (f.slot, f.size)));
    Ok(scan)
}

impl RecoveredLog {
    /// Lines may be missing at a place.
    fn doubt(&mut self, replay: &mut dyn Replay, at: (u64, u64), marked: bool, damage: Damage) {
        replay.on_possible_loss();
        self.doubts.push((at.0, at.1, self.damage.len(), marked));
        self.damage.push(damage);
    }

    /// Behind the last mark a hole is what a machine that fails may leave of writes that nobody
    /// relied upon.
    fn believe(&mut self, replay: &mut dyn Replay) {
        let doubts = std::mem::take(&mut self.doubts);
        let (mark, oldest) = (self.mark, self.oldest);
        // A segment that counts no more may be half used again.
        let lost: Vec<bool> = doubts
            .iter()
            .map(|d| d.0 >= oldest && (!d.3 || (d.0, d.1) < mark))
            .collect();
        replay.on_losses_known(&lost);
        for (doubt, _) in doubts.iter().zip(&lost).rev().filter(|(_, lost)| !**lost) {
            self.torn += match self.damage.remove(doubt.2) {
                Damage::Bytes {
                    sequence, from, to, ..
                } if sequence >= oldest => to - from,
                _ => 0,
            };
        }
    }

    /// Reads one segment; `ends` is where its frames end, if that is known.
    fn segment(
        &mut self,
        disk: &dyn Disk,
        which: usize,
        ends: Option<u64>,
        bytes: &mut Vec<u8>,
        replay: &mut dyn Replay,
    ) -> io::Result<()> {
        let newest = which + 1 == self.found.len();
        let found = &self.found[which];
        let (
            SegmentHeader {
                sequence,
                salt,
                has_durable_marks: marked,
                ..
            },
            file,
        ) = (found.header, segment_file_name(found.slot));
        bytes.resize(found.size as usize, 0);
        // One file at a time: there may be more of them than descriptors.
        let got = read_full(&*disk.open(&file)?, bytes, 0)?;
        bytes.truncate(got);
        self.read += got as u64;
        // A file may have been cut short, too.
        let end = ends.unwrap_or(found.size);
        bytes.truncate(end as usize);
        let mut at = FRAMES_OFFSET as usize;
        loop {
            let rest = bytes.get(at..).unwrap_or_default();
            let Some(frame) = frame::decode(salt, rest) else {
                if ends.map_or(frame::is_end_of_frames(rest), |e| at as u64 >= e) {
                    break;
                }
                let next = frame::find_next(salt, bytes, at + 1);
                match (next, ends) {
                    (Some(next), _) => {
                        let (file, from) = (file.clone(), at as u64);
                        let damage = Damage::Bytes {
                            file,
                            sequence,
                            from,
                            to: next as u64,
                        };
                        self.doubt(replay, (sequence, from), marked, damage);
                        at = next;
                        continue;
                    }
                    (None, None) if newest => self.torn = torn(rest),
                    (None, _) => {
                        let (file, from) = (file.clone(), at as u64);
                        let damage = Damage::Bytes {
                            file,
                            sequence,
                            from,
                            to: end,
                        };
                        self.doubt(replay, (sequence, from), marked, damage);
                    }
                }
                break;
            };
            self.found[which].frames += 1;
            let no = frame.no;
            let made = match frame.kind {
                FrameKind::Put => {
                    let home = FrameLocation {
                        sequence,
                        at: at as u64,
                        data: frame.data.len(),
                    };
                    replay.on_put(no, frame.data).map(|()| {
                        self.locations.insert(no, home);
                    })
                }
                FrameKind::Update => replay.on_update(no, frame.data),
                FrameKind::Remove => {
                    self.locations.remove(&no);
                    replay.on_remove(no);
                    Ok(())
                }
                FrameKind::LogStart => {
                    self.oldest = self.oldest.max(no);
                    Ok(())
                }
                FrameKind::DurableUpTo => {
                    let at = frame
                        .data
                        .first_chunk()
                        .map_or(0, |at| u64::from_le_bytes(*at));
                    self.mark = self.mark.max((no, at));
                    Ok(())
                }
            };
            if matches!(
                frame.kind,
                FrameKind::Put | FrameKind::Update | FrameKind::Remove
            ) {
                self.next = self.next.max(no + 1);
            }
            if let Err(problem) = made {
                let damage = Damage::Malformed {
                    file: file.clone(),
                    at: at as u64,
                    no,
                    problem,
                };
                self.doubt(replay, (sequence, at as u64), false, damage);
            }
            at += frame.len as usize;
        }
        self.found[which].len = ends.unwrap_or(at as u64).max(at as u64);
        Ok(())
    }
}

/// How many bytes of a frame that was cut off are there: up to the last that is not zero, and no
/// more than it would have had.
fn torn(rest: &[u8]) -> u64 {
    let told = rest
        .first_chunk()
        .map_or(0, |len| u32::from_le_bytes(*len) as usize);
    let most = frame::encoded_len(told).min(rest.len() as u64) as usize;
    rest[..most]
        .iter()
        .rposition(|b| *b != 0)
        .map_or(0, |last| last as u64 + 1)
}
