//! Unix time that is unaffected by steps of the wall clock, within a process and across restarts.
//!
//! A later process compares the times that the journal and the notes beside it hold. The wall clock
//! can be set forward and back; the system's monotonic clock runs on until the machine reboots. So
//! the first process after a boot notes which Unix time corresponds to which monotonic time, and
//! all later processes of that boot continue from there.
//!
//! [`Journal::open`](super::Journal::open) starts the clock after the folder is locked; all code
//! that writes or compares times of the state folder uses it. `main` stores the note
//! ([`PersistentClock::note`]). Without a usable note the clock continues from the wall clock as of
//! the start of the process. In either case a step of the wall clock has no effect while the
//! process runs.

use super::note_file;
use crate::delivery::unix_ms;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Instant;

/// Name of the note's file.
const FILE_NAME: &str = "clock";
/// File in which Linux gives the id of the current boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// Largest difference from this clock, in milliseconds, at which an existing note is kept.
const NOTE_TOLERANCE_MS: u64 = 20;

/// Readings of the machine's clocks at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockReadings {
    /// The wall clock, as Unix time in milliseconds.
    pub wall_unix_ms: u64,
    /// The monotonic clock, which continues across processes; `None` where its boot is unknown.
    pub monotonic: Option<MonotonicTime>,
}

/// A time of the machine's monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MonotonicTime {
    /// Id of the boot that the time counts from.
    pub boot_id: String,
    /// Time since the boot, in milliseconds.
    pub ms: u64,
}

impl ClockReadings {
    /// Reads the clocks.
    pub fn now() -> Self {
        let boot_id = fs::read_to_string(BOOT_ID_PATH).ok();
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

/// Returns the monotonic clock in milliseconds.
///
/// The program may read clocks only through the standard library, which shows this number only in
/// the debug text of an [`Instant`]. Where that text has another form the result is `None`, and the
/// wall clock is used.
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

/// The Unix time that corresponds to a monotonic time.
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

    /// Decodes a note; `None` where it is incomplete or damaged.
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

    /// Returns the Unix time now, continued from this note; `None` where the machine's monotonic
    /// clock did not run on since.
    fn continued(&self, now: &ClockReadings) -> Option<u64> {
        let monotonic = now.monotonic.as_ref()?;
        let is_same_boot = monotonic.boot_id == self.monotonic.boot_id;
        let passed_ms = monotonic.ms.checked_sub(self.monotonic.ms)?;
        is_same_boot.then(|| self.unix_ms.saturating_add(passed_ms))
    }
}

/// The clock. Within a process it never goes back and never steps.
#[derive(Clone, Copy, Debug)]
pub struct PersistentClock {
    unix_ms_at_start: u64,
    started_at: Instant,
}

impl PersistentClock {
    /// Returns a clock that begins with the wall clock's time.
    pub fn from_wall_clock() -> Self {
        PersistentClock::at(unix_ms())
    }

    fn at(unix_ms: u64) -> Self {
        PersistentClock {
            unix_ms_at_start: unix_ms,
            started_at: Instant::now(),
        }
    }

    /// Returns a clock that continues from a folder's note, or from the wall clock where the note
    /// is unusable.
    ///
    /// `newest_unix_ms` is the newest time that an earlier process wrote. A note that gives an
    /// earlier time is unusable: the machine's monotonic clock did not run on between the
    /// processes. Changes nothing in the folder.
    pub fn open(folder: &Path, newest_unix_ms: u64) -> Self {
        PersistentClock::open_at(folder, newest_unix_ms, &ClockReadings::now())
    }

    fn open_at(folder: &Path, newest_unix_ms: u64, now: &ClockReadings) -> Self {
        let continued = read_note(folder)
            .and_then(|note| note.continued(now))
            .filter(|unix_ms| *unix_ms >= newest_unix_ms);
        if let Some(unix_ms) = continued {
            let step_ms = now.wall_unix_ms.abs_diff(unix_ms);
            log::debug!(
                "state: the clock continues from its note, {step_ms} ms apart from the wall clock"
            );
            return PersistentClock::at(unix_ms);
        }
        PersistentClock::at(now.wall_unix_ms)
    }

    /// Writes this clock to the folder's note for the next process. A note that already agrees with
    /// it stays.
    ///
    /// # Errors
    /// The folder cannot be written: until it can, the next process begins with the wall clock.
    pub fn note(&self, folder: &Path) -> io::Result<()> {
        note_at(folder, self.now_unix_ms(), &ClockReadings::now())
    }

    /// Returns the time, as Unix time in milliseconds.
    pub fn now_unix_ms(&self) -> u64 {
        self.unix_ms_at_start + self.started_at.elapsed().as_millis() as u64
    }
}

/// Notes that this Unix time corresponds to these readings.
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

/// Writes a note completely or not at all, also where the process is killed during the write. The
/// old note is removed first: it is wrong, and the next process must not find it if this write
/// fails.
fn write_note(folder: &Path, note: &ClockNote) -> io::Result<()> {
    match fs::remove_file(folder.join(FILE_NAME)) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    note_file::replace(folder, FILE_NAME, &note.encode())
}

#[cfg(test)]
mod tests;
