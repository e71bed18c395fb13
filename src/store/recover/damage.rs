//! Damage found during recovery, reported to the log and to operators.

use super::ReplayError;
use std::fmt;

/// Part of the log that was written and cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damage {
    /// Unreadable bytes of a segment.
    Bytes {
        /// The segment's file.
        file: String,
        /// The segment.
        sequence: u64,
        /// Offset of the first unreadable byte.
        from: u64,
        /// Offset of the next readable frame, or of the end of frames.
        to: u64,
    },
    /// A range of segments whose files or headers are missing.
    MissingSegments {
        /// The first missing segment.
        from: u64,
        /// The next segment that is present.
        to: u64,
    },
    /// A file without a readable header, which may have been a segment.
    UnreadableHeader {
        /// The file.
        file: String,
    },
    /// A complete frame with malformed data.
    MalformedItem {
        /// The segment's file.
        file: String,
        /// Offset of the frame.
        offset: u64,
        /// The item.
        item: u64,
        /// Cause of the failed replay.
        problem: ReplayError,
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
                let len = to - from;
                write!(
                    f,
                    "{file} (segment {sequence}): {len} bytes from {from} on cannot be read"
                )
            }
            Damage::MissingSegments { from, to } if from + 1 == *to => {
                write!(f, "segment {from} is missing")
            }
            Damage::MissingSegments { from, to } => {
                write!(f, "segments {from} to {} are missing", to - 1)
            }
            Damage::UnreadableHeader { file } => write!(f, "{file}: the header cannot be read"),
            Damage::MalformedItem {
                file,
                offset,
                item,
                problem,
            } => write!(
                f,
                "{file}: the frame at {offset}, of message {item}, is malformed: {problem}"
            ),
        }
    }
}
