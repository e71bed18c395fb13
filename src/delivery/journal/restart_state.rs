//! What the process before this one left in the state folder, beside the journal.
//!
//! Four notes, each a file of one line: that the process ended as it was told to, how long the
//! endpoint directory took for its last poll, how long the endpoint list that it had may be
//! trusted, and which revision that was. Without the first two, a start counts as one of all
//! senders at once, beside a directory that nobody knows. Without the third there was no process
//! before, and the list that this one is given is taken as it is.
//!
//! `main` reads the notes at the start and writes the first one at the end; whoever polls the
//! directory writes the others.

use super::note_file;
use crate::dispatch::list_polling;
use crate::{Nanos, RestartState};
use std::path::Path;
use std::time::Duration;
use std::{fs, io};

/// Written at the end of a process that was told to end: its time.
///
/// A start that comes more than a minute later is not part of a restart: the machines may all have
/// been down.
const PLANNED_END: NoteFile = NoteFile {
    name: "ended",
    numbers: 1,
    valid_for_ms: 60_000,
};
/// Written after each poll: its time, and how long it took in microseconds. After an hour the
/// directory may be another one.
const LIST_POLL: NoteFile = NoteFile {
    name: "asked",
    numbers: 2,
    valid_for_ms: 3_600_000,
};
/// Written with each list: its time, and until when the list may be trusted.
const LIST_FRESHNESS: NoteFile = NoteFile {
    name: "trusted",
    numbers: 2,
    valid_for_ms: u64::MAX,
};

/// Written before the freshness of another revision is: its time, and the revision.
const LIST_REVISION: NoteFile = NoteFile {
    name: "listed",
    numbers: 2,
    valid_for_ms: u64::MAX,
};

/// Why a note does not count.
#[derive(Debug, thiserror::Error)]
pub enum NoteError {
    /// The file system failed.
    #[error("{file}: {source}")]
    Io {
        /// The note's file.
        file: &'static str,
        /// What failed.
        source: io::Error,
    },
    /// It was not written in full.
    #[error("{file}: torn")]
    Torn {
        /// The note's file.
        file: &'static str,
    },
    /// The clock was set back since it was written.
    #[error("{file}: from the future")]
    FromTheFuture {
        /// The note's file.
        file: &'static str,
    },
}

/// What was found.
#[derive(Debug, Default)]
pub struct LoadedNotes {
    /// What is known of the process before.
    pub state: RestartState,
    /// Why notes did not count, for the log.
    pub faults: Vec<NoteError>,
}

/// Notes that this process ends as it was told to.
///
/// # Errors
/// The folder cannot be written. The next start counts as one after a crash, and nothing else is
/// harmed.
pub fn note_planned_end(folder: &Path, now_unix_ms: u64) -> io::Result<()> {
    note_file::replace(folder, PLANNED_END.name, &format!("{now_unix_ms}\n"))
}

/// Notes how long the directory took for a poll.
///
/// # Errors
/// The folder cannot be written. The next start takes it for the usual time.
pub fn note_list_poll(folder: &Path, now_unix_ms: u64, took: Duration) -> io::Result<()> {
    let line = format!("{now_unix_ms} {}\n", took.as_micros());
    note_file::replace(folder, LIST_POLL.name, &line)
}

/// Notes how long the list that is held may be trusted.
///
/// # Errors
/// The folder cannot be written, and the note before stays. The next start may take its list for
/// older than it is, and calls nobody until it has polled.
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

/// Notes of which revision of the list the freshness is noted from now on.
///
/// # Errors
/// The folder cannot be written. The next start may rely on an older list than this process does.
pub fn note_list_revision(folder: &Path, now_unix_ms: u64, revision: u64) -> io::Result<()> {
    let line = format!("{now_unix_ms} {revision}\n");
    note_file::replace(folder, LIST_REVISION.name, &line)
}

/// Reads what is known of the process before this one, by one that begins with this revision of the
/// list. The note of a planned end counts once: a start that ends short leaves none.
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
    // One that stays would count again and again.
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

/// How long the list of the process before may still be trusted, by one that begins with this
/// revision; none where there was none.
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

/// A note's file, and when what it says counts.
struct NoteFile {
    name: &'static str,
    /// Numbers in its line; the first is when it was written, as Unix time in milliseconds.
    numbers: usize,
    valid_for_ms: u64,
}

impl NoteFile {
    /// The last number of the note; none where it is not there, or too old.
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

    /// Removes the note, if it is there.
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
