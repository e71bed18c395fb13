//! Reads what an earlier process left: which segments count, what stands in them, and what cannot
//! be read.
//!
//! A cut at the end of the newest segment is told apart from damage. A cut costs what nobody was
//! told of; damage is stepped over, so that it hides nothing behind it, and whoever replays is told
//! that lines may be missing there.

use super::disk::{read_full, Disk};
use super::frame::{self, Began, Header, Tag, BEGIN};
use std::collections::HashMap;
use std::fmt;
use std::io;

/// Takes what is read, in the order in which it was written.
pub trait Replay {
    /// An item as it stood. An error, if it makes no sense.
    fn put(&mut self, no: u64, data: &[u8]) -> Result<(), String>;
    /// Something that happened to an item, which may be long over.
    fn note(&mut self, no: u64, data: &[u8]) -> Result<(), String>;
    /// An item is over.
    fn gone(&mut self, no: u64);
    /// Lines may be missing here: of all items that are open now, more may have happened than was
    /// told. Whether that is so is known at the end.
    fn doubt(&mut self);
    /// For each doubt, whether lines are missing that were believed to be kept.
    fn believe(&mut self, lost: &[bool]);
}

/// Something that cannot be read though it was written and counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damage {
    /// Bytes of a segment.
    Bytes {
        /// The segment's file.
        file: String,
        /// The segment.
        seq: u64,
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
    Header {
        /// The file.
        file: String,
    },
    /// A whole frame that makes no sense.
    Senseless {
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
                seq,
                from,
                to,
            } => {
                write!(
                    f,
                    "{file} (segment {seq}): {} bytes from {from} on cannot be read",
                    to - from
                )
            }
            Damage::Missing { from, to } if from + 1 == *to => {
                write!(f, "segment {from} is missing")
            }
            Damage::Missing { from, to } => write!(f, "segments {from} to {} are missing", to - 1),
            Damage::Header { file } => write!(f, "{file}: its header cannot be read"),
            Damage::Senseless {
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
pub struct Found {
    /// Number in its file's name.
    pub slot: u32,
    /// Bytes of the file.
    pub size: u64,
    /// Its header.
    pub header: Header,
    /// Where frames end.
    pub len: u64,
    /// Frames that are whole.
    pub frames: u64,
}

/// Where an item's `Put` stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home {
    /// The segment.
    pub seq: u64,
    /// Where its frame begins.
    pub at: u64,
    /// Bytes of data.
    pub data: usize,
}

/// What was found.
#[derive(Default)]
pub struct Scan {
    /// Segments that count, oldest first.
    pub found: Vec<Found>,
    /// Files that are free, by number, and their bytes.
    pub free: Vec<(u32, u64)>,
    /// Where items stand that are not over.
    pub homes: HashMap<u64, Home>,
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
    /// Where lines may be missing, the place in [`Scan::damage`], and whether that depends on the
    /// mark.
    doubts: Vec<(u64, u64, usize, bool)>,
}

/// The name of a segment's file.
pub fn name(slot: u32) -> String {
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
pub fn scan(disk: &dyn Disk, first: u64, replay: &mut dyn Replay) -> io::Result<Scan> {
    let mut scan = Scan {
        oldest: first,
        next: 0,
        ..Scan::default()
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
        let mut head = vec![0; BEGIN.min(size) as usize];
        read_full(&*area, &mut head, 0)?;
        match Header::read(&head) {
            Began::At(header) => {
                scan.found.push(Found {
                    slot,
                    size,
                    header,
                    len: BEGIN,
                    frames: 0,
                });
            }
            Began::Never => scan.free.push((slot, size)),
            Began::Unreadable => unreadable.push((slot, size)),
        }
    }
    scan.found.sort_by_key(|f| f.header.seq);
    if let Some(newest) = scan.found.last() {
        scan.oldest = scan.oldest.max(newest.header.oldest);
        scan.next = newest.header.next;
    }
    // A file whose use ended counts no more; one that lost its header is free too, once it is known
    // what is missing.
    let oldest = scan.oldest;
    let (past, found): (Vec<_>, Vec<_>) = scan.found.drain(..).partition(|f| f.header.seq < oldest);
    scan.found = found;
    scan.free.extend(past.into_iter().map(|f| (f.slot, f.size)));
    let damaged = unreadable
        .iter()
        .map(|(slot, ..)| Damage::Header { file: name(*slot) });
    scan.damage.extend(damaged);
    scan.free.extend(unreadable);

    let mut bytes = Vec::new();
    let mut due = oldest.max(1);
    for at in 0..scan.found.len() {
        let seq = scan.found[at].header.seq;
        if seq > due && !(at == 0 && oldest == 0) {
            let marked = scan.found[at].header.marked;
            scan.doubt(
                replay,
                (due, 0),
                marked,
                Damage::Missing { from: due, to: seq },
            );
        }
        due = seq + 1;
        let next = scan
            .found
            .get(at + 1)
            .map(|f| f.header)
            .filter(|h| h.seq == seq + 1);
        scan.segment(disk, at, next.map(|h| h.before), &mut bytes, replay)?;
    }
    scan.believe(replay);
    // What still stands before the log's beginning was over before that was moved.
    let oldest = scan.oldest;
    let over: Vec<u64> = scan
        .homes
        .iter()
        .filter(|(_, h)| h.seq < oldest)
        .map(|(no, _)| *no)
        .collect();
    for no in over {
        scan.homes.remove(&no);
        replay.gone(no);
    }
    let (past, found): (Vec<_>, Vec<_>) = scan.found.drain(..).partition(|f| f.header.seq < oldest);
    scan.found = found;
    scan.free.extend(past.into_iter().map(|f| (f.slot, f.size)));
    Ok(scan)
}

impl Scan {
    /// Lines may be missing at a place.
    fn doubt(&mut self, replay: &mut dyn Replay, at: (u64, u64), marked: bool, damage: Damage) {
        replay.doubt();
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
        replay.believe(&lost);
        for (doubt, _) in doubts.iter().zip(&lost).rev().filter(|(_, lost)| !**lost) {
            self.torn += match self.damage.remove(doubt.2) {
                Damage::Bytes { seq, from, to, .. } if seq >= oldest => to - from,
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
            Header {
                seq, salt, marked, ..
            },
            file,
        ) = (found.header, name(found.slot));
        bytes.resize(found.size as usize, 0);
        // One file at a time: there may be more of them than descriptors.
        let got = read_full(&*disk.open(&file)?, bytes, 0)?;
        bytes.truncate(got);
        self.read += got as u64;
        // A file may have been cut short, too.
        let end = ends.unwrap_or(found.size);
        bytes.truncate(end as usize);
        let mut at = BEGIN as usize;
        loop {
            let rest = bytes.get(at..).unwrap_or_default();
            let Some(frame) = frame::read(salt, rest) else {
                if ends.map_or(frame::is_end(rest), |e| at as u64 >= e) {
                    break;
                }
                let next = frame::next(salt, bytes, at + 1);
                match (next, ends) {
                    (Some(next), _) => {
                        let (file, from) = (file.clone(), at as u64);
                        let damage = Damage::Bytes {
                            file,
                            seq,
                            from,
                            to: next as u64,
                        };
                        self.doubt(replay, (seq, from), marked, damage);
                        at = next;
                        continue;
                    }
                    (None, None) if newest => self.torn = torn(rest),
                    (None, _) => {
                        let (file, from) = (file.clone(), at as u64);
                        let damage = Damage::Bytes {
                            file,
                            seq,
                            from,
                            to: end,
                        };
                        self.doubt(replay, (seq, from), marked, damage);
                    }
                }
                break;
            };
            self.found[which].frames += 1;
            let no = frame.no;
            let made = match frame.tag {
                Tag::Put => {
                    let home = Home {
                        seq,
                        at: at as u64,
                        data: frame.data.len(),
                    };
                    replay.put(no, frame.data).map(|()| {
                        self.homes.insert(no, home);
                    })
                }
                Tag::Note => replay.note(no, frame.data),
                Tag::Gone => {
                    self.homes.remove(&no);
                    replay.gone(no);
                    Ok(())
                }
                Tag::Head => {
                    self.oldest = self.oldest.max(no);
                    Ok(())
                }
                Tag::Mark => {
                    let at = frame
                        .data
                        .first_chunk()
                        .map_or(0, |at| u64::from_le_bytes(*at));
                    self.mark = self.mark.max((no, at));
                    Ok(())
                }
            };
            if matches!(frame.tag, Tag::Put | Tag::Note | Tag::Gone) {
                self.next = self.next.max(no + 1);
            }
            if let Err(problem) = made {
                let damage = Damage::Senseless {
                    file: file.clone(),
                    at: at as u64,
                    no,
                    problem,
                };
                self.doubt(replay, (seq, at as u64), false, damage);
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
    let most = frame::size(told).min(rest.len() as u64) as usize;
    rest[..most]
        .iter()
        .rposition(|b| *b != 0)
        .map_or(0, |last| last as u64 + 1)
}
