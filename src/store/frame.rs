//! Encoding of a segment: two copies of a header, then frames. Performs no I/O; [`super`] shows the
//! layout.
//!
//! A frame's checksum covers its segment's salt, so neither remains of an earlier use of the file
//! nor bytes inside an item are mistaken for a frame.

/// First bytes of a header.
const MAGIC: &[u8; 16] = b"raildeal store 2";
/// Bytes of one copy of a header, checksum included.
const HEADER_LEN: usize = 68;
/// Bytes of a checksum.
const CHECKSUM_LEN: usize = 4;
/// Offset of the header's second copy, which is in a different sector from the first.
const SECOND_HEADER_OFFSET: usize = 512;
/// Offset of the first frame.
pub const FRAMES_OFFSET: u64 = 1024;
/// Bytes before a frame's payload: payload length and checksum.
const FRAME_PREFIX_LEN: usize = 8;
/// Bytes of the kind and number at the beginning of every payload.
const PAYLOAD_PREFIX_LEN: usize = 9;
/// Alignment of frames, in bytes.
const FRAME_ALIGNMENT: u64 = 8;
/// Number of zeros after the last frame. They distinguish the end from remains of an earlier use.
const TERMINATOR_LEN: usize = 8;
/// Bytes after the last frame.
pub const TERMINATOR: [u8; TERMINATOR_LEN] = [0; TERMINATOR_LEN];

/// Header of a segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Position in the sequence of segments.
    pub sequence: u64,
    /// Salt that the checksums of the segment's frames begin with.
    pub salt: u64,
    /// Sequence number of the oldest segment of the log when this one was begun.
    pub oldest_sequence: u64,
    /// Offset at which frames ended in the previous segment.
    pub previous_end: u64,
    /// An item number higher than all those used before.
    pub next_item: u64,
    /// Whether frames record what was synced ([`FrameKind::DurableUpTo`]). If so, unreadable bytes
    /// after the last synced position are a torn write, not damage.
    pub has_durable_marks: bool,
}

impl SegmentHeader {
    /// Returns the bytes up to [`FRAMES_OFFSET`] and the terminator after them.
    pub fn encode(&self) -> Vec<u8> {
        let numbers = [
            self.sequence,
            self.salt,
            self.oldest_sequence,
            self.previous_end,
            self.next_item,
            u64::from(self.has_durable_marks),
        ];
        let mut copy = Vec::with_capacity(HEADER_LEN);
        copy.extend(MAGIC);
        for number in numbers {
            copy.extend(number.to_le_bytes());
        }
        copy.extend(crc32fast::hash(&copy).to_le_bytes());
        let mut bytes = vec![0; FRAMES_OFFSET as usize + TERMINATOR_LEN];
        for offset in [0, SECOND_HEADER_OFFSET] {
            bytes[offset..offset + HEADER_LEN].copy_from_slice(&copy);
        }
        bytes
    }

    /// Reads a header from a segment's first [`FRAMES_OFFSET`] bytes. If the copies differ, the one
    /// with the higher sequence number is used.
    pub fn decode(bytes: &[u8]) -> SegmentStart {
        let copies = Self::decode_copies(bytes);
        match copies.into_iter().flatten().max_by_key(|h| h.sequence) {
            Some(header) => SegmentStart::Header(header),
            None if bytes.iter().all(|b| *b == 0) => SegmentStart::Empty,
            None => SegmentStart::Unreadable,
        }
    }

    /// Returns whether both copies of a header are equal. If not, the write of the header was
    /// interrupted, or one of the copies is damaged.
    pub fn copies_agree(bytes: &[u8]) -> bool {
        let [first, second] = Self::decode_copies(bytes);
        first == second
    }

    fn decode_copies(bytes: &[u8]) -> [Option<Self>; 2] {
        let copy_at = |offset: usize| bytes.get(offset..offset + HEADER_LEN);
        [0, SECOND_HEADER_OFFSET].map(|at| copy_at(at).and_then(Self::decode_copy))
    }

    fn decode_copy(bytes: &[u8]) -> Option<Self> {
        let (content, checksum) = bytes.split_at_checked(HEADER_LEN - CHECKSUM_LEN)?;
        let numbers = content.strip_prefix(MAGIC)?;
        let number = |n: usize| {
            let bytes = numbers[8 * n..].first_chunk().expect("eight bytes");
            u64::from_le_bytes(*bytes)
        };
        let is_valid = checksum == crc32fast::hash(content).to_le_bytes();
        is_valid.then(|| SegmentHeader {
            sequence: number(0),
            salt: number(1),
            oldest_sequence: number(2),
            previous_end: number(3),
            next_item: number(4),
            has_durable_marks: number(5) == 1,
        })
    }
}

/// Content of the beginning of a segment file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentStart {
    /// Zeros only: nothing was written yet.
    Empty,
    /// A valid header.
    Header(SegmentHeader),
    /// Bytes that are not a valid header.
    Unreadable,
}

/// Kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// The complete state of an item; replaces all its earlier frames.
    Put,
    /// An update of an item.
    Update,
    /// The removal of an item.
    Remove,
    /// The log begins at this segment; earlier ones are retired.
    LogStart,
    /// Everything before an offset in this segment is synced. The data contains the offset.
    DurableUpTo,
}

impl FrameKind {
    /// Returns the kind's byte on disk.
    fn tag(self) -> u8 {
        match self {
            FrameKind::Put => 1,
            FrameKind::Update => 2,
            FrameKind::Remove => 3,
            FrameKind::LogStart => 4,
            FrameKind::DurableUpTo => 5,
        }
    }

    fn from_tag(tag: u8) -> Option<Self> {
        match tag {
            1 => Some(FrameKind::Put),
            2 => Some(FrameKind::Update),
            3 => Some(FrameKind::Remove),
            4 => Some(FrameKind::LogStart),
            5 => Some(FrameKind::DurableUpTo),
            _ => None,
        }
    }

    /// Returns whether the frame concerns an item rather than the log.
    pub fn is_on_item(self) -> bool {
        matches!(self, FrameKind::Put | FrameKind::Update | FrameKind::Remove)
    }
}

/// A decoded frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Kind of the frame.
    pub kind: FrameKind,
    /// Number of the item, or sequence number of the segment.
    pub number: u64,
    /// Data of the frame.
    pub data: &'a [u8],
    /// Bytes from the beginning of this frame to the beginning of the next.
    pub len: u64,
}

/// Returns the encoded length of a frame with `data_len` bytes of data.
pub fn encoded_len(data_len: usize) -> u64 {
    ((FRAME_PREFIX_LEN + PAYLOAD_PREFIX_LEN + data_len) as u64).next_multiple_of(FRAME_ALIGNMENT)
}

/// Returns the maximum data length of a frame in a segment of `segment_bytes`.
pub fn max_data_len(segment_bytes: u64) -> usize {
    let usable = segment_bytes.saturating_sub(FRAMES_OFFSET) / FRAME_ALIGNMENT * FRAME_ALIGNMENT;
    usable.saturating_sub((FRAME_PREFIX_LEN + PAYLOAD_PREFIX_LEN) as u64) as usize
}

/// Encodes a frame and the terminator after it, which the next frame overwrites.
pub fn encode(salt: u64, kind: FrameKind, number: u64, data: &[u8]) -> Vec<u8> {
    let len = encoded_len(data.len()) as usize;
    let mut bytes = Vec::with_capacity(len + TERMINATOR_LEN);
    bytes.extend(((PAYLOAD_PREFIX_LEN + data.len()) as u32).to_le_bytes());
    bytes.extend([0; CHECKSUM_LEN]);
    bytes.push(kind.tag());
    bytes.extend(number.to_le_bytes());
    bytes.extend(data);
    let checksum = checksum(salt, &bytes[..4], &bytes[FRAME_PREFIX_LEN..]);
    bytes[4..FRAME_PREFIX_LEN].copy_from_slice(&checksum.to_le_bytes());
    bytes.resize(len + TERMINATOR_LEN, 0);
    bytes
}

/// Decodes the frame at the beginning of these bytes; `None` if there is no complete frame.
pub fn decode(salt: u64, bytes: &[u8]) -> Option<Frame<'_>> {
    let (prefix, rest) = bytes.split_first_chunk::<FRAME_PREFIX_LEN>()?;
    let (len, stored_checksum) = prefix.split_first_chunk::<4>()?;
    let payload = rest.get(..u32::from_le_bytes(*len) as usize)?;
    let (number, data) = payload.get(1..)?.split_first_chunk()?;
    let kind = FrameKind::from_tag(payload[0])?;
    let is_valid = checksum(salt, len, payload).to_le_bytes() == stored_checksum;
    is_valid.then(|| Frame {
        kind,
        number: u64::from_le_bytes(*number),
        data,
        len: encoded_len(data.len()),
    })
}

/// Returns whether this is a regular end of frames: a terminator, or too few bytes for a frame.
pub fn is_end_of_frames(bytes: &[u8]) -> bool {
    bytes.len() < FRAME_PREFIX_LEN + PAYLOAD_PREFIX_LEN
        || bytes[..TERMINATOR_LEN].iter().all(|b| *b == 0)
}

/// Returns the offset of the first complete frame at or after `from`.
pub fn find_next(salt: u64, bytes: &[u8], from: usize) -> Option<usize> {
    let step = FRAME_ALIGNMENT as usize;
    (from.next_multiple_of(step)..bytes.len())
        .step_by(step)
        .find(|at| decode(salt, &bytes[*at..]).is_some())
}

fn checksum(salt: u64, len: &[u8], payload: &[u8]) -> u32 {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&salt.to_le_bytes());
    checksum.update(len);
    checksum.update(payload);
    checksum.finalize()
}

#[cfg(test)]
mod tests;
