//! What writes that failed in part leave, for the log and for operators. Nothing of it is lost.

use std::fmt;

/// Something that no complete write leaves, and that was read all the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Anomaly {
    /// The copies of a header differ: its writing was cut, or one of them is damaged.
    HeaderCopiesDiffer {
        /// The segment's file.
        file: String,
        /// The segment.
        sequence: u64,
    },
    /// Another file has the same segment's number. This one holds no frame and is free.
    RepeatedSequence {
        /// The file that is free.
        file: String,
        /// The segment.
        sequence: u64,
    },
    /// Frames stand behind the end that the next segment's header tells.
    FramesBehindEnd {
        /// The segment's file.
        file: String,
        /// The segment.
        sequence: u64,
        /// The end that the header tells, as an offset.
        from: u64,
        /// Offset at which frames end.
        to: u64,
    },
}

impl fmt::Display for Anomaly {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Anomaly::HeaderCopiesDiffer { file, sequence } => {
                write!(f, "{file} (segment {sequence}): its header's copies differ")
            }
            Anomaly::RepeatedSequence { file, sequence } => write!(
                f,
                "{file} (segment {sequence}): another file has its number, and this one holds nothing"
            ),
            Anomaly::FramesBehindEnd {
                file,
                sequence,
                from,
                to,
            } => write!(
                f,
                "{file} (segment {sequence}): frames from {from} to {to}, behind the end that the \
                 next header tells"
            ),
        }
    }
}
