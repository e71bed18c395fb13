//! What cannot be read, for the log and for operators.

use super::ReplayError;
use std::fmt;

/// Something that cannot be read though it was written and counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damage {
    /// Bytes of a segment.
    Bytes {
        /// The segment's file.
        file: String,
        /// The segment.
        sequence: u64,
        /// Offset at which it begins.
        from: u64,
        /// Offset of the next frame that can be read, or where frames should have ended.
        to: u64,
    },
    /// Segments that are not there, or have lost their headers: from this one on, before that one.
    MissingSegments {
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
    MalformedItem {
        /// The segment's file.
        file: String,
        /// Offset of the frame.
        offset: u64,
        /// The item.
        item: u64,
        /// What is wrong.
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
            Damage::UnreadableHeader { file } => write!(f, "{file}: its header cannot be read"),
            Damage::MalformedItem {
                file,
                offset,
                item,
                problem,
            } => write!(
                f,
                "{file}: the frame at {offset}, on message {item}, makes no sense: {problem}"
            ),
        }
    }
}
