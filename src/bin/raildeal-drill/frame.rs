//! Frames of the simulator's wire protocol: their header, their records and their errors.
//!
//! A frame has a sequence number (4 bytes) and the length of its body (4 bytes), then a body: a
//! clock (8 bytes) and records, each with a code of one byte. Numbers are big-endian. A reply is a
//! frame of the same sequence number without a clock. [`super::reader`] reads records,
//! [`super::writer`] writes replies.

use raildeal::{EndpointAddress, Listing, Message, Outcome};

/// Longest accepted frame, in bytes; a batch may have megabytes, but not gigabytes.
const MAX_FRAME: usize = 256 << 20;
/// Length of the clock, in bytes.
const CLOCK: usize = 8;

/// Malformed input: the problem and its position in the frame's body.
#[derive(Debug, thiserror::Error)]
#[error("{problem} at byte {position}")]
pub struct FrameError {
    pub problem: String,
    pub position: usize,
}

/// The header of a frame.
pub struct FrameHeader {
    /// The sequence number, as received.
    pub sequence: [u8; 4],
    /// Length of the body, in bytes.
    pub body_length: usize,
}

impl FrameHeader {
    /// Parses a header and checks its length.
    ///
    /// # Errors
    /// Returns an error if the length leaves no room for the clock, or exceeds the limit.
    pub fn parse(header: &[u8; 8]) -> Result<FrameHeader, FrameError> {
        let [s0, s1, s2, s3, l0, l1, l2, l3] = *header;
        let body_length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
        let fault = |problem: &str| FrameError {
            problem: format!("batch header: length {body_length} {problem}"),
            position: 4,
        };
        if body_length < CLOCK {
            return Err(fault("leaves no room for the clock"));
        }
        if body_length > MAX_FRAME {
            return Err(fault("is over the limit"));
        }
        Ok(FrameHeader {
            sequence: [s0, s1, s2, s3],
            body_length,
        })
    }
}

/// One record of a batch, by its name on the wire.
#[derive(Debug)]
pub enum Record<'a> {
    /// INSTANCE: the records after it are for this instance.
    Instance(u16),
    /// BORN: the instance starts.
    Born {
        seed: u64,
        /// Its settings, in lines.
        settings: &'a [u8],
    },
    /// INVENTORY: defines a list of endpoints.
    Inventory { set: u16, entries: Vec<Listing> },
    /// FLEET: the instance receives a list.
    Fleet { how: ListKind, set: u16 },
    /// WORK_ITEM: a message is handed in.
    WorkItem(Message),
    /// HEAD_RECEIVED: ignored by the module.
    Head,
    /// MEMO: ignored by the module.
    Memo,
    /// TIMEOUT_FIRED: the time of the last requested wake-up has come.
    TimeoutFired,
    /// REPLY: an attempt ended.
    Reply {
        id: u32,
        attempt: u16,
        outcome: Outcome,
        /// Time since it was sent, in nanoseconds.
        took: u64,
        finished: bool,
        report: Vec<f32>,
    },
    /// VANISHED: the client no longer waits for the message.
    Vanished(u32),
    /// EXIT: the instance ends.
    Exit,
    /// STATUS_BACK: a health check ended.
    StatusBack {
        endpoint: EndpointAddress,
        outcome: Outcome,
        report: Vec<f32>,
    },
}

/// Content of the list of a FLEET record.
#[derive(Clone, Copy, Debug)]
pub enum ListKind {
    /// Changed entries.
    Changes,
    /// The whole list.
    Complete,
    /// The list as the instance last had it.
    Cached,
    /// No list: the poll failed.
    Failed,
}
