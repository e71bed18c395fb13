//! The bytes of a segment: a header that stands twice, then frames. Nothing here reads or writes a
//! file; [`super`] shows the layout.
//!
//! A frame's checksum begins with its segment's salt, so neither what an earlier use left in the
//! file nor bytes inside an item can pass for a frame.

/// What a header begins with.
const MAGIC: &[u8; 16] = b"raildeal store 2";
/// Bytes of one copy of a header, checksum included.
const HEADER_LEN: usize = 68;
/// Bytes of a checksum.
const CHECKSUM_LEN: usize = 4;
/// Where the second copy stands: in another sector than the first.
const SECOND_HEADER_OFFSET: usize = 512;
/// Where frames begin.
pub const FRAMES_OFFSET: u64 = 1024;
/// Bytes before a frame's payload: its length and its checksum.
const FRAME_PREFIX_LEN: usize = 8;
/// Kind and number, which every payload begins with.
const PAYLOAD_PREFIX_LEN: usize = 9;
/// Frames begin at multiples of this.
const FRAME_ALIGNMENT: u64 = 8;
/// Behind the last frame stand so many zeros, so that an end can be told from what an earlier use
/// left there.
const TERMINATOR_LEN: usize = 8;
/// What stands behind the last frame.
pub const TERMINATOR: [u8; TERMINATOR_LEN] = [0; TERMINATOR_LEN];

/// What a segment says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Its place in the sequence of segments.
    pub sequence: u64,
    /// What the checksums of its frames begin with.
    pub salt: u64,
    /// The oldest segment that counted when this one was begun.
    pub oldest_sequence: u64,
    /// Where frames ended in the segment before it.
    pub previous_end: u64,
    /// An item number higher than all that were used before.
    pub next_item: u64,
    /// Frames say what was synced ([`FrameKind::DurableUpTo`]); a hole behind the last of them is
    /// an end that was cut, not damage.
    pub has_durable_marks: bool,
}

impl SegmentHeader {
    /// The bytes up to [`FRAMES_OFFSET`] and the terminator behind them.
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

    /// Reads a header from a segment's first [`FRAMES_OFFSET`] bytes. Of copies that differ, the
    /// later one counts.
    pub fn decode(bytes: &[u8]) -> SegmentStart {
        let copies = Self::decode_copies(bytes);
        match copies.into_iter().flatten().max_by_key(|h| h.sequence) {
            Some(header) => SegmentStart::Header(header),
            None if bytes.iter().all(|b| *b == 0) => SegmentStart::Empty,
            None => SegmentStart::Unreadable,
        }
    }

    /// Whether both copies of a header say the same. Where they do not, its writing was cut, or one
    /// of them is damaged.
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

/// What stands at a segment's beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentStart {
    /// Nothing yet.
    Empty,
    /// A header.
    Header(SegmentHeader),
    /// Something that cannot be read.
    Unreadable,
}

/// What a frame means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// An item as it stands; replaces all frames on it before.
    Put,
    /// Something that happened to an item.
    Update,
    /// An item is over.
    Remove,
    /// Segments before this one count no more.
    LogStart,
    /// Everything before an offset of this segment is synced; the data has the offset.
    DurableUpTo,
}

impl FrameKind {
    /// Its byte on disk.
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

    /// Whether it says something of an item, and not of the log.
    pub fn is_on_item(self) -> bool {
        matches!(self, FrameKind::Put | FrameKind::Update | FrameKind::Remove)
    }
}

/// A frame that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// What it means.
    pub kind: FrameKind,
    /// The item's number, or the segment's.
    pub number: u64,
    /// What is said of it.
    pub data: &'a [u8],
    /// Bytes from its beginning to that of the next.
    pub len: u64,
}

/// Bytes that a frame with so much data takes.
pub fn encoded_len(data_len: usize) -> u64 {
    ((FRAME_PREFIX_LEN + PAYLOAD_PREFIX_LEN + data_len) as u64).next_multiple_of(FRAME_ALIGNMENT)
}

/// Most data that a frame in a segment of so many bytes can hold.
pub fn max_data_len(segment_bytes: u64) -> usize {
    let usable = segment_bytes.saturating_sub(FRAMES_OFFSET) / FRAME_ALIGNMENT * FRAME_ALIGNMENT;
    usable.saturating_sub((FRAME_PREFIX_LEN + PAYLOAD_PREFIX_LEN) as u64) as usize
}

/// The bytes of a frame, with the terminator behind it, which the next frame replaces.
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

/// The frame at the beginning of these bytes, if a whole one stands there.
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

/// Whether frames end here on purpose: at the terminator, or where no other frame would fit.
pub fn is_end_of_frames(bytes: &[u8]) -> bool {
    bytes.len() < FRAME_PREFIX_LEN + PAYLOAD_PREFIX_LEN
        || bytes[..TERMINATOR_LEN].iter().all(|b| *b == 0)
}

/// The first whole frame in these bytes, at or after `from`.
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
