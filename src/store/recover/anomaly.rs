//! Remains of partially failed writes, reported to the log and to operators. No data is lost.

use std::fmt;

/// Remains of an incomplete write that recovery handled without loss.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Anomaly {
    /// The copies of a header differ: its write was interrupted, or one of them is damaged.
    HeaderCopiesDiffer {
        /// The segment's file.
        file: String,
        /// The segment.
        sequence: u64,
    },
    /// Another file has the same sequence number. This file has no frames and is free.
    RepeatedSequence {
        /// The file that is free.
        file: String,
        /// The segment.
        sequence: u64,
    },
    /// There are frames past the end recorded in the next segment's header.
    FramesBehindEnd {
        /// The segment's file.
        file: String,
        /// The segment.
        sequence: u64,
        /// Offset of the end recorded in the header.
        from: u64,
        /// Offset at which frames end.
        to: u64,
    },
}

impl fmt::Display for Anomaly {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Anomaly::HeaderCopiesDiffer { file, sequence } => {
                write!(f, "{file} (segment {sequence}): the header's copies differ")
            }
            Anomaly::RepeatedSequence { file, sequence } => write!(
                f,
                "{file} (segment {sequence}): another file has the same number; this one \
                 has no frames"
            ),
            Anomaly::FramesBehindEnd {
                file,
                sequence,
                from,
                to,
            } => write!(
                f,
                "{file} (segment {sequence}): frames from {from} to {to}, past the end recorded in \
                 the next header"
            ),
        }
    }
}
