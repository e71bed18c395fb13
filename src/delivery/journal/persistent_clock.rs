//! Unix time that no step of the wall clock moves, also from one process to the next.
//!
//! What the journal and the notes beside it say of times is compared by a later process. Wall
//! clocks are set, forward and back; the system's monotonic clock runs on as long as the machine
//! does. So the first process after a boot writes down which Unix time stands for which monotonic
//! time, and all later ones of that boot go on from there.
//!
//! [`Journal::open`](super::Journal::open) starts it, once the folder is locked; whoever writes or
//! compares times of the state folder asks it. `main` has it noted ([`PersistentClock::note`]).
//! Without a usable note the wall clock counts, as of the start of the process: a step while the
//! process lives changes nothing in any case.

use super::note_file;
use crate::delivery::unix_ms;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Instant;

/// The note's file.
const FILE_NAME: &str = "clock";
/// Where Linux says which boot this is.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// A note that is so little apart from this clock, in milliseconds, stays as it is.
const NOTE_TOLERANCE_MS: u64 = 20;

/// What the machine's clocks say in one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockReadings {
    /// The wall clock, as Unix time in milliseconds.
    pub wall_unix_ms: u64,
    /// The monotonic clock, which goes on from process to process; none where it is not known
    /// which boot it belongs to.
    pub monotonic: Option<MonotonicTime>,
}

/// A time by the machine's monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MonotonicTime {
    /// The boot that it counts from.
    pub boot_id: String,
    /// Milliseconds.
    pub ms: u64,
}

impl ClockReadings {
    /// Reads the clocks.
    pub fn now() -> Self {
        let boot_id = fs::read_to_string(BOOT_ID).ok();
        let boot_id = boot_id.map(|id| id.trim().to_string()).filter(|id| {
            let is_plain = id.bytes().all(|b| b.is_ascii_graphic());
            is_plain && !id.is_empty()
        });
        ClockReadings {
            wall_unix_ms: unix_ms(),
            monotonic: boot_id
                .zip(monotonic_ms())
                .map(|(boot_id, ms)| MonotonicTime { boot_id, ms }),
        }
    }
}

/// The monotonic clock in milliseconds. The program may read clocks by the standard library alone,
/// which shows this number nowhere but in the text of an [`Instant`]; in any other form of text it
/// is not found, and the wall clock counts.
fn monotonic_ms() -> Option<u64> {
    let text = format!("{:?}", Instant::now());
    let number_behind = |name: &str| {
        let digits = text.split_once(name)?.1.trim_start();
        let end = digits.find(|c: char| !c.is_ascii_digit())?;
        digits[..end].parse::<u64>().ok()
    };
    let seconds = number_behind("tv_sec:")?;
    let nanos = number_behind("tv_nsec:")?;
    Some(seconds * 1_000 + nanos / 1_000_000)
}

/// Which Unix time stands for which monotonic time.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ClockNote {
    monotonic: MonotonicTime,
    unix_ms: u64,
}

impl ClockNote {
    fn encode(&self) -> String {
        let MonotonicTime { boot_id, ms } = &self.monotonic;
        let numbers = format!("{boot_id} {ms} {}", self.unix_ms);
        format!("{numbers} {:08x}\n", crc32fast::hash(numbers.as_bytes()))
    }

    /// Reads a note; nothing where it is not whole.
    fn decode(text: &str) -> Option<Self> {
        let (numbers, sum) = text.strip_suffix('\n')?.rsplit_once(' ')?;
        let is_whole =
            u32::from_str_radix(sum, 16).ok() == Some(crc32fast::hash(numbers.as_bytes()));
        let mut words = numbers.split(' ').filter(|_| is_whole);
        Some(ClockNote {
            monotonic: MonotonicTime {
                boot_id: words.next()?.to_string(),
                ms: words.next()?.parse().ok()?,
            },
            unix_ms: words.next()?.parse().ok()?,
        })
    }

    /// The Unix time that goes on from this note; nothing where the machine's clock did not run on
    /// since.
    fn continued(&self, now: &ClockReadings) -> Option<u64> {
        let monotonic = now.monotonic.as_ref()?;
        let is_same_boot = monotonic.boot_id == self.monotonic.boot_id;
        let passed_ms = monotonic.ms.checked_sub(self.monotonic.ms)?;
        is_same_boot.then(|| self.unix_ms.saturating_add(passed_ms))
    }
}

/// The clock. Within a process it never goes back and takes no step.
#[derive(Clone, Copy, Debug)]
pub struct PersistentClock {
    unix_ms_at_start: u64,
    started_at: Instant,
}

impl PersistentClock {
    /// One that begins with the wall clock's time.
    pub fn from_wall_clock() -> Self {
        PersistentClock::at(unix_ms())
    }

    fn at(unix_ms: u64) -> Self {
        PersistentClock {
            unix_ms_at_start: unix_ms,
            started_at: Instant::now(),
        }
    }

    /// Goes on from what a folder notes; where that is of no use, the wall clock counts from now
    /// on. `newest_unix_ms` is the newest time that an earlier process wrote: a machine whose
    /// monotonic clock does not go on between processes shows by it. Changes nothing in the folder.
    pub fn open(folder: &Path, newest_unix_ms: u64) -> Self {
        PersistentClock::open_at(folder, newest_unix_ms, &ClockReadings::now())
    }

    fn open_at(folder: &Path, newest_unix_ms: u64, now: &ClockReadings) -> Self {
        let continued = read_note(folder)
            .and_then(|note| note.continued(now))
            .filter(|unix_ms| *unix_ms >= newest_unix_ms);
        if let Some(unix_ms) = continued {
            let step_ms = now.wall_unix_ms.abs_diff(unix_ms);
            log::debug!("state: the clock goes on, {step_ms} ms apart from the wall clock");
            return PersistentClock::at(unix_ms);
        }
        PersistentClock::at(now.wall_unix_ms)
    }

    /// Has a folder note this clock for the next process; a note that says so already stays.
    ///
    /// # Errors
    /// The folder cannot be written: until it is, the next process begins with the wall clock.
    pub fn note(&self, folder: &Path) -> io::Result<()> {
        note_at(folder, self.now_unix_ms(), &ClockReadings::now())
    }

    /// The time, as Unix time in milliseconds.
    pub fn now_unix_ms(&self) -> u64 {
        self.unix_ms_at_start + self.started_at.elapsed().as_millis() as u64
    }
}

/// Notes that this Unix time stands for these readings.
fn note_at(folder: &Path, unix_ms: u64, now: &ClockReadings) -> io::Result<()> {
    let Some(monotonic) = &now.monotonic else {
        return Ok(());
    };
    let noted = read_note(folder).and_then(|note| note.continued(now));
    if noted.is_some_and(|noted| noted.abs_diff(unix_ms) <= NOTE_TOLERANCE_MS) {
        return Ok(());
    }
    let note = ClockNote {
        monotonic: monotonic.clone(),
        unix_ms,
    };
    write_note(folder, &note)
}

fn read_note(folder: &Path) -> Option<ClockNote> {
    let text = fs::read_to_string(folder.join(FILE_NAME)).ok()?;
    ClockNote::decode(&text)
}

/// Writes it whole or not at all, also where the process is killed meanwhile. The old one goes
/// first: it is of no use, and must not be found by a process that may not write.
fn write_note(folder: &Path, note: &ClockNote) -> io::Result<()> {
    match fs::remove_file(folder.join(FILE_NAME)) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    note_file::replace(folder, FILE_NAME, &note.encode())
}

#[cfg(test)]
mod tests;
