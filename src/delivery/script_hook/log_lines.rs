//! The lines that one run of a script writes, kept until the run has ended.

use std::sync::{Mutex, PoisonError};

/// Maximum number of lines in one run.
const MAX_LINES: usize = 8;
/// Maximum length of a line, in bytes.
pub(super) const MAX_LINE_BYTES: usize = 1024;

/// Lines of a run that has ended.
#[derive(Debug, Default)]
pub(super) struct WrittenLines {
    pub(super) lines: Vec<String>,
    /// Number of lines that were left out.
    pub(super) dropped: u64,
}

/// The lines of the present run.
#[derive(Default)]
pub(super) struct LogLines(Mutex<WrittenLines>);

impl LogLines {
    /// Adds a line, or counts it if the run has written enough.
    pub(super) fn write(&self, line: &str) {
        let mut written = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if written.lines.len() < MAX_LINES {
            written.lines.push(shortened(line).to_string());
        } else {
            written.dropped += 1;
        }
    }

    /// Removes and returns all lines.
    pub(super) fn take(&self) -> WrittenLines {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns the beginning of a line that fits into the log.
pub(super) fn shortened(line: &str) -> &str {
    let mut end = line.len().min(MAX_LINE_BYTES);
    while !line.is_char_boundary(end) {
        end -= 1;
    }
    &line[..end]
}
