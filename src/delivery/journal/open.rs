//! Opens a journal: locks the folder, imports a file of the first format, and recovers the log.

use super::group_sync::SyncProgress;
use super::legacy_v1;
use super::persistent_clock::PersistentClock;
use super::record_table::RecordTable;
use super::replay::JournalReplay;
use super::state::JournalState;
use super::wall_clock::WallClock;
use super::{Journal, JournalOptions, MonotonicClock, OpenRecord};
use crate::store::disk::{Disk, Folder};
use crate::store::log::{LegacyFile, OpenedLog, SegmentLog};
use crate::store::worker::Worker;
use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Lock file of earlier versions.
const LOCK_FILE: &str = "lock";
/// Retries for a folder that is locked at the start: `inspect` holds the lock for a moment.
const LOCK_RETRIES: usize = 5;
/// Delay between two attempts to lock the folder.
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(20);

impl Journal {
    /// Opens the journal of a folder and returns the records that an earlier process left open.
    ///
    /// # Errors
    /// Another process has the folder open, its content has another format, or the file system
    /// fails.
    pub fn open(folder: &Path, options: JournalOptions) -> io::Result<(Rc<Self>, Vec<OpenRecord>)> {
        let locks = lock(folder)?;
        let legacy = legacy_v1::read_file(folder)?;
        let _ = fs::remove_file(folder.join(legacy_v1::UNFINISHED_FILE_NAME));
        let start = Instant::now();
        let disk = Arc::new(Folder::new(folder));
        let monotonic_clock = Box::new(move || start.elapsed());
        let clock = |newest_unix_ms| PersistentClock::open(folder, newest_unix_ms);
        Journal::open_on(disk, options, legacy, locks, monotonic_clock, clock)
    }

    /// Opens the journal on any disk.
    ///
    /// `legacy` has the bytes of the [`legacy_v1`] file, if there is one; `clock` is called with
    /// the newest time that was found in the records.
    ///
    /// # Errors
    /// As [`Journal::open`].
    pub fn open_on(
        disk: Arc<dyn Disk>,
        options: JournalOptions,
        legacy: Option<Vec<u8>>,
        locks: Vec<File>,
        monotonic_clock: MonotonicClock,
        clock: impl FnOnce(u64) -> PersistentClock,
    ) -> io::Result<(Rc<Self>, Vec<OpenRecord>)> {
        let mut replay = JournalReplay::new(options.cached_body_bytes);
        let legacy = legacy
            .map(|bytes| replay_legacy(&bytes, &mut replay))
            .transpose()?;
        let opened = SegmentLog::open(
            disk,
            options.log_options(),
            legacy,
            &mut replay,
            JournalReplay::reserved_bytes,
        )?;
        log_recovery(&opened, replay.in_doubt());
        let newest_unix_ms = replay.newest_unix_ms();
        let clock = clock(newest_unix_ms);
        let wall_clock = WallClock {
            now_unix_ms: clock.now_unix_ms(),
            newest_unix_ms,
        };
        log_clock(&wall_clock);
        let worker = options.needs_worker().then(Worker::start).transpose()?;
        let mut records = replay.into_records();
        set_ages(&mut records, &wall_clock);
        let ids: Vec<u64> = records.ids().collect();
        let state = JournalState {
            log: opened.log,
            records,
            unclosed: BTreeSet::new(),
        };
        let journal = Rc::new(Journal {
            _locks: locks,
            state: RefCell::new(state),
            options,
            monotonic_clock,
            clock,
            worker,
            sync: SyncProgress::default(),
        });
        let open = ids
            .into_iter()
            .map(|id| OpenRecord::new(journal.clone(), id));
        let open = open.collect();
        Ok((journal, open))
    }
}

/// Locks a folder: the folder itself, which takes no disk space, and the lock file of earlier
/// versions where it exists.
fn lock(folder: &Path) -> io::Result<Vec<File>> {
    let mut locks = vec![File::open(folder)?];
    match File::options().write(true).open(folder.join(LOCK_FILE)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        other => locks.push(other?),
    }
    for file in &locks {
        match lock_with_retries(file) {
            Err(Errno::WOULDBLOCK) => {
                return Err(io::Error::new(
                    io::ErrorKind::WouldBlock,
                    "in use by another process",
                ))
            }
            Err(e) => log::warn!("journal: cannot lock the folder: {e}"),
            Ok(()) => {}
        }
    }
    Ok(locks)
}

fn lock_with_retries(file: &File) -> Result<(), Errno> {
    let mut locked = flock(file, FlockOperation::NonBlockingLockExclusive);
    for _ in 0..LOCK_RETRIES {
        if locked != Err(Errno::WOULDBLOCK) {
            break;
        }
        std::thread::sleep(LOCK_RETRY_DELAY);
        locked = flock(file, FlockOperation::NonBlockingLockExclusive);
    }
    locked
}

/// Imports the records of a file of the first format. The file counts as the oldest segment until
/// its records are copied.
fn replay_legacy(bytes: &[u8], replay: &mut JournalReplay) -> io::Result<LegacyFile> {
    let replayed = legacy_v1::replay(bytes)
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "a journal of another format"))?;
    if replayed.valid_bytes < bytes.len() {
        log::warn!(
            "journal: {} bytes at its end are part of an incomplete entry and are ignored",
            bytes.len() - replayed.valid_bytes
        );
    }
    Ok(LegacyFile {
        name: legacy_v1::FILE_NAME.into(),
        size_bytes: bytes.len() as u64,
        items: replay.add_legacy(replayed.open),
    })
}

fn log_recovery(opened: &OpenedLog, in_doubt: usize) {
    for damage in &opened.damage {
        log::error!("store: damaged: {damage}");
    }
    if !opened.damage.is_empty() {
        log::error!(
            "store: {in_doubt} messages were open where frames may be lost; \
             they are treated as messages that may have run"
        );
    }
    if opened.torn_bytes > 0 {
        log::warn!(
            "store: {} bytes at its end are part of a frame that was not finished",
            opened.torn_bytes
        );
    }
}

fn log_clock(clock: &WallClock) {
    if clock.was_set_back() {
        let by = clock.newest_unix_ms - clock.now_unix_ms;
        log::warn!(
            "store: the clock was set back by {by} ms or more: \
             calls that may have run are not repeated"
        );
    }
}

/// Converts the wall clock times of attempts that may have run to this process's monotonic clock.
fn set_ages(records: &mut RecordTable, wall_clock: &WallClock) {
    let now = Instant::now();
    for entry in records.entries_mut() {
        let attempt = entry.record.may_have_run();
        let age = attempt.and_then(|attempt| wall_clock.least_age(attempt.at_unix_ms));
        entry.possible_run_at = age.and_then(|age| now.checked_sub(age));
        entry.in_flight_since = entry.possible_run_at;
    }
}
