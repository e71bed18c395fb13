//! What the process before this one left in the sender's folder, beside the journal: that it ended
//! as it was told to, how long the directory took for its last ask, and how long the list that it
//! had may be trusted. Without the first two a start is one of all, beside a directory that nobody
//! knows; without the third there was no process before, and the list it is given is taken as it
//! is.

use crate::dispatch::list_polling;
use crate::{Nanos, RestartState};
use std::io::Write;
use std::path::Path;
use std::time::Duration;
use std::{fs, io};

/// The note of an end, that of an ask, and that of how long the list may be trusted.
const ENDED: &str = "ended";
const ASKED: &str = "asked";
const TRUSTED: &str = "trusted";
/// A start that comes later than so many milliseconds after the end is none of a restart: the
/// machines may all have been down.
const RESTART_MS: u64 = 60_000;
/// What an ask took counts for so many milliseconds: the directory may be another one later.
const ASKED_MS: u64 = 3_600_000;

/// Notes that this process ends as it was told to.
///
/// # Errors
/// The folder cannot be written. The next start counts as one after a crash, and nothing else is
/// harmed.
pub fn note_planned_end(folder: &Path, now_ms: u64) -> io::Result<()> {
    fs::write(folder.join(ENDED), format!("{now_ms}\n"))
}

/// Notes how long the directory took for an ask.
///
/// # Errors
/// The folder cannot be written. The next start takes it for the usual time.
pub fn note_list_poll(folder: &Path, now_ms: u64, took: Duration) -> io::Result<()> {
    fs::write(
        folder.join(ASKED),
        format!("{now_ms} {}\n", took.as_micros()),
    )
}

/// Notes how long the list that is held may be trusted. Written over the note before, in as many
/// bytes, so that a process killed at any moment leaves a whole one.
///
/// # Errors
/// The folder cannot be written. The next start may take its list for older than it is, and calls
/// nobody until it has asked.
pub fn note_list_freshness(folder: &Path, now_ms: u64, trusted_for: Duration) -> io::Result<()> {
    let until_ms = now_ms.saturating_add(trusted_for.as_millis().try_into().unwrap_or(u64::MAX));
    let mut note = fs::OpenOptions::new()
        .create(true)
        .write(true)
        .truncate(false)
        .open(folder.join(TRUSTED))?;
    note.write_all(format!("{now_ms:020} {until_ms:020}\n").as_bytes())
}

/// What is known of the process before this one. The note of an end counts once: a start that ends
/// short leaves none. With it a line for the log for each note that does not count.
pub fn load(folder: &Path, now_ms: u64) -> (RestartState, Vec<String>) {
    let mut faults = Vec::new();
    let mut note = |name: &str, numbers, most_ms| {
        read(&folder.join(name), numbers, now_ms, most_ms).unwrap_or_else(|e| {
            faults.push(format!("{name}: {e}"));
            None
        })
    };
    let (ended, asked) = (note(ENDED, 1, RESTART_MS), note(ASKED, 2, ASKED_MS));
    let poll_cost_seconds = asked.map(|us| {
        let took = Duration::from_micros(us);
        list_polling::plausible_poll_cost(took.as_secs_f64())
    });
    let remaining_freshness =
        remaining_freshness(&folder.join(TRUSTED), now_ms).unwrap_or_else(|e| {
            faults.push(format!("{TRUSTED}: {e}"));
            Some(0)
        });
    match fs::remove_file(folder.join(ENDED)) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => {
            // It would count again and again.
            faults.push(format!("{ENDED}: {e}"));
            (
                RestartState {
                    planned: false,
                    poll_cost_seconds,
                    remaining_freshness,
                },
                faults,
            )
        }
        _ => (
            RestartState {
                planned: ended.is_some(),
                poll_cost_seconds,
                remaining_freshness,
            },
            faults,
        ),
    }
}

/// How long the list of the process before may still be trusted; nothing, where there was none.
fn remaining_freshness(file: &Path, now_ms: u64) -> io::Result<Option<Nanos>> {
    let until_ms = read(file, 2, now_ms, u64::MAX)?;
    let left = |until: u64| Duration::from_millis(until.saturating_sub(now_ms));
    Ok(until_ms.map(|until| left(until).as_nanos().try_into().unwrap_or(Nanos::MAX)))
}

/// The last of a note's numbers, the first of which is when it was written; nothing where it is not
/// there, or too old.
fn read(file: &Path, numbers: usize, now_ms: u64, most_ms: u64) -> io::Result<Option<u64>> {
    let text = match fs::read_to_string(file) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        text => text?,
    };
    let bad = |what| io::Error::new(io::ErrorKind::InvalidData, what);
    let found: Option<Vec<u64>> = text
        .strip_suffix('\n')
        .and_then(|line| line.split(' ').map(|n| n.parse().ok()).collect());
    let found = found
        .filter(|f| f.len() == numbers)
        .ok_or_else(|| bad("torn"))?;
    let age = now_ms
        .checked_sub(found[0])
        .ok_or_else(|| bad("from the future"))?;
    Ok(found.last().copied().filter(|_| age <= most_ms))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_end_counts_once_and_only_soon_after() {
        let folder = tempfile::tempdir().expect("a folder");
        let look = |now| load(folder.path(), now);
        let (planned, nothing) = (
            RestartState {
                planned: true,
                ..RestartState::default()
            },
            RestartState::default(),
        );
        assert_eq!(look(5), (nothing, vec![]));
        for (now, found) in [(1_700, planned), (61_000, planned), (61_001, nothing)] {
            note_planned_end(folder.path(), 1_000).expect("written");
            assert_eq!((look(now).0, look(now)), (found, (nothing, vec![])));
        }
        note_planned_end(folder.path(), 1_000).expect("written");
        assert_eq!(
            look(999),
            (nothing, vec!["ended: from the future".to_string()])
        );
    }

    #[test]
    fn a_note_that_is_torn_or_cannot_be_read_does_not_count_and_is_told() {
        let folder = tempfile::tempdir().expect("a folder");
        for torn in ["", "17", "17 \n", "17\n\n", "-1\n", "soon\n", "17 18 19\n"] {
            fs::write(folder.path().join(ENDED), torn).expect("written");
            fs::write(folder.path().join(ASKED), torn).expect("written");
            let (found, told) = load(folder.path(), 18);
            assert_eq!(
                (found, told),
                (
                    RestartState::default(),
                    vec!["ended: torn".into(), "asked: torn".into()]
                ),
                "{torn:?}"
            );
        }
        fs::create_dir(folder.path().join(ENDED)).expect("a folder");
        assert!(note_planned_end(folder.path(), 1).is_err());
        assert!(!load(folder.path(), 18).0.planned);
    }

    #[test]
    fn a_list_is_trusted_as_long_as_was_noted_and_not_at_all_by_a_spoilt_note() {
        const MS: Nanos = 1_000_000;
        let folder = tempfile::tempdir().expect("a folder");
        let left = |now| load(folder.path(), now).0.remaining_freshness;
        assert_eq!(left(5), None, "no process was before");
        for at in [1_000, 99_000] {
            note_list_freshness(folder.path(), at, Duration::from_secs(6)).expect("written");
            assert_eq!(
                [left(at), left(at + 600), left(at + 60_000)],
                [Some(6_000 * MS), Some(5_400 * MS), Some(0)]
            );
        }
        for torn in ["", "17", "17 18", "17\n", "soon 17\n"] {
            fs::write(folder.path().join(TRUSTED), torn).expect("written");
            assert_eq!(left(18), Some(0), "{torn:?}");
        }
        note_list_freshness(folder.path(), 1_000, Duration::from_secs(6)).expect("written");
        assert_eq!(left(999), Some(0), "from the future");
    }

    #[test]
    fn what_an_ask_took_counts_for_an_hour_and_within_bounds() {
        let folder = tempfile::tempdir().expect("a folder");
        let cost = |took, now| {
            note_list_poll(folder.path(), 1_000, Duration::from_millis(took)).expect("written");
            load(folder.path(), now).0.poll_cost_seconds
        };
        assert_eq!(cost(36, 1_000), Some(0.036));
        assert_eq!(
            (cost(36, 3_601_000), cost(36, 3_601_001)),
            (Some(0.036), None)
        );
        // A line is no cost, and a directory that has just started may be slower than it was.
        assert_eq!(
            (cost(2_900, 1_000), cost(1, 1_000)),
            (Some(0.055), Some(0.0275))
        );
    }
}
