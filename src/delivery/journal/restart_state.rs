//! Notes that the previous process left in the state folder, beside the journal.
//!
//! There are four notes, each a file of one line: that the process ended as planned, how long its
//! last poll of the endpoint directory took, until when its endpoint list may be trusted, and the
//! revision of that list. Without the first two, the start is treated as a simultaneous start of
//! all senders, with a directory of unknown speed. Without the third there was no previous process,
//! and the first endpoint list is trusted as it is.
//!
//! `main` reads the notes at the start and writes the first one at the end; the code that polls the
//! directory writes the others.

use super::note_file;
use crate::dispatch::list_polling;
use crate::{Nanos, RestartState};
use std::path::Path;
use std::time::Duration;
use std::{fs, io};

/// Note of a planned end: the time at which it was written.
///
/// A start more than a minute later is not part of a restart, as all machines may have been down.
const PLANNED_END: NoteFile = NoteFile {
    name: "ended",
    numbers: 1,
    valid_for_ms: 60_000,
};
/// Note after each poll: the time at which it was written, and how long the poll took in
/// microseconds. After an hour the directory may be another one.
const LIST_POLL: NoteFile = NoteFile {
    name: "asked",
    numbers: 2,
    valid_for_ms: 3_600_000,
};
/// Note with each endpoint list: the time at which it was written, and until when the list may be
/// trusted.
const LIST_FRESHNESS: NoteFile = NoteFile {
    name: "trusted",
    numbers: 2,
    valid_for_ms: u64::MAX,
};

/// Note before the freshness of another revision is noted: the time at which it was written, and
/// the revision.
const LIST_REVISION: NoteFile = NoteFile {
    name: "listed",
    numbers: 2,
    valid_for_ms: u64::MAX,
};

/// Reason for which a note is ignored.
#[derive(Debug, thiserror::Error)]
pub enum NoteError {
    /// The file system failed.
    #[error("{file}: {source}")]
    Io {
        /// Name of the note's file.
        file: &'static str,
        /// Error of the file system.
        source: io::Error,
    },
    /// The note was not written completely.
    #[error("{file}: torn")]
    Torn {
        /// Name of the note's file.
        file: &'static str,
    },
    /// The note's time is in the future: the clock was set back since.
    #[error("{file}: from the future")]
    FromTheFuture {
        /// Name of the note's file.
        file: &'static str,
    },
}

/// State of the previous process, and the notes that were ignored.
#[derive(Debug, Default)]
pub struct LoadedNotes {
    /// Known state of the previous process.
    pub state: RestartState,
    /// Reasons for which notes were ignored, for the log.
    pub faults: Vec<NoteError>,
}

/// Notes that this process ends as planned.
///
/// # Errors
/// The folder cannot be written. The next start is treated as one after a crash; nothing else
/// changes.
pub fn note_planned_end(folder: &Path, now_unix_ms: u64) -> io::Result<()> {
    note_file::replace(folder, PLANNED_END.name, &format!("{now_unix_ms}\n"))
}

/// Notes how long the directory took for a poll.
///
/// # Errors
/// The folder cannot be written. The next start assumes the default time.
pub fn note_list_poll(folder: &Path, now_unix_ms: u64, took: Duration) -> io::Result<()> {
    let line = format!("{now_unix_ms} {}\n", took.as_micros());
    note_file::replace(folder, LIST_POLL.name, &line)
}

/// Notes how long the current endpoint list may be trusted.
///
/// # Errors
/// The folder cannot be written, and the previous note stays. The next start may treat its list as
/// older than it is, and then calls no endpoint until it has polled the directory.
pub fn note_list_freshness(
    folder: &Path,
    now_unix_ms: u64,
    trusted_for: Duration,
) -> io::Result<()> {
    let trusted_for_ms = trusted_for.as_millis().try_into().unwrap_or(u64::MAX);
    let until_unix_ms = now_unix_ms.saturating_add(trusted_for_ms);
    let line = format!("{now_unix_ms:020} {until_unix_ms:020}\n");
    note_file::replace(folder, LIST_FRESHNESS.name, &line)
}

/// Notes the revision of the list to which the noted freshness belongs from now on.
///
/// # Errors
/// The folder cannot be written. The noted freshness belongs to an older list then, so it is
/// withdrawn, and the next start calls no endpoint until it has polled the directory.
pub fn note_list_revision(folder: &Path, now_unix_ms: u64, revision: u64) -> io::Result<()> {
    let line = format!("{now_unix_ms} {revision}\n");
    let noted = note_file::replace(folder, LIST_REVISION.name, &line);
    if noted.is_err() {
        withdraw_list_freshness(folder)?;
    }
    noted
}

/// Empties the note of a list's freshness where it stands, which takes no room in a full folder: a
/// torn note is trusted for no time, whereas a missing one is that of a first start.
fn withdraw_list_freshness(folder: &Path) -> io::Result<()> {
    fs::File::create(folder.join(LIST_FRESHNESS.name)).map(drop)
}

/// Reads the state of the previous process, for a process that begins with the list of this
/// revision.
///
/// The note of a planned end is removed: a process that does not end as planned leaves none.
pub fn load(folder: &Path, now_unix_ms: u64, held_revision: Option<u64>) -> LoadedNotes {
    let mut faults = Vec::new();
    let mut read = |note: &NoteFile| {
        note.read(folder, now_unix_ms).unwrap_or_else(|fault| {
            faults.push(fault);
            None
        })
    };
    let planned_end = read(&PLANNED_END);
    let poll_us = read(&LIST_POLL);
    let remaining_freshness = remaining_freshness(folder, now_unix_ms, held_revision);
    let remaining_freshness = remaining_freshness.unwrap_or_else(|fault| {
        faults.push(fault);
        Some(0)
    });
    let removed = PLANNED_END.remove(folder);
    // A note that cannot be removed would count at every later start, so it is ignored.
    let planned = planned_end.is_some() && removed.is_ok();
    faults.extend(removed.err());
    let state = RestartState {
        planned,
        poll_cost_seconds: poll_us.map(|us| {
            let took = Duration::from_micros(us);
            list_polling::plausible_poll_cost(took.as_secs_f64())
        }),
        remaining_freshness,
    };
    LoadedNotes { state, faults }
}

/// Returns how long the list of the previous process may still be trusted, for a process that
/// begins with the list of this revision; `None` where there was no previous process.
fn remaining_freshness(
    folder: &Path,
    now_unix_ms: u64,
    held_revision: Option<u64>,
) -> Result<Option<Nanos>, NoteError> {
    let noted_revision = LIST_REVISION.read(folder, now_unix_ms)?;
    if noted_revision.is_some_and(|noted| held_revision.is_none_or(|held| held < noted)) {
        return Ok(Some(0));
    }
    let until_unix_ms = LIST_FRESHNESS.read(folder, now_unix_ms)?;
    Ok(until_unix_ms.map(|until| {
        let left = Duration::from_millis(until.saturating_sub(now_unix_ms));
        left.as_nanos().try_into().unwrap_or(Nanos::MAX)
    }))
}

/// Format and validity of a note's file.
struct NoteFile {
    name: &'static str,
    /// Numbers in the line; the first is the time of writing, as Unix time in milliseconds.
    numbers: usize,
    valid_for_ms: u64,
}

impl NoteFile {
    /// Returns the last number of the note; `None` where the note is missing or too old.
    fn read(&self, folder: &Path, now_unix_ms: u64) -> Result<Option<u64>, NoteError> {
        let file = self.name;
        let text = match fs::read_to_string(folder.join(file)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            text => text.map_err(|source| NoteError::Io { file, source })?,
        };
        let line = text.strip_suffix('\n').ok_or(NoteError::Torn { file })?;
        let numbers: Option<Vec<u64>> = line.split(' ').map(|n| n.parse().ok()).collect();
        let numbers = numbers
            .filter(|numbers| numbers.len() == self.numbers)
            .ok_or(NoteError::Torn { file })?;
        let age_ms = now_unix_ms
            .checked_sub(numbers[0])
            .ok_or(NoteError::FromTheFuture { file })?;
        Ok(numbers
            .last()
            .copied()
            .filter(|_| age_ms <= self.valid_for_ms))
    }

    /// Removes the note, if it exists.
    fn remove(&self, folder: &Path) -> Result<(), NoteError> {
        match fs::remove_file(folder.join(self.name)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            removed => removed.map_err(|source| NoteError::Io {
                file: self.name,
                source,
            }),
        }
    }
}

#[cfg(test)]
mod tests;
