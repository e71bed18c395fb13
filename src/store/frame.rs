//! The form of a segment: a header that stands twice, then frames. Plain bytes; nothing here reads
//! or writes a file.

/// What a header begins with.
const FORM: &[u8; 16] = b"raildeal store 2";
/// Bytes of one copy of a header, checksum included.
const COPY: usize = 68;
/// Where the second copy stands: in another sector than the first.
const SECOND: usize = 512;
/// Where frames begin.
pub const FRAMES_OFFSET: u64 = 1024;
/// Bytes before a frame's payload: its length and its checksum.
const HEAD: usize = 8;
/// Tag and number, which every payload begins with.
const NAMED: usize = 9;
/// Frames begin at multiples of this.
const ALIGN: u64 = 8;
/// Behind the last frame stand so many zeros, so that an end can be told from what an earlier use
/// left there.
const END: usize = 8;

/// What a segment says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Its place in the sequence.
    pub sequence: u64,
    /// What the checksums of its frames begin with.
    pub salt: u64,
    /// The oldest segment that counted when this one was begun.
    pub oldest_sequence: u64,
    /// Where frames ended in the segment before it.
    pub previous_end: u64,
    /// A number higher than all that were used before.
    pub next_item: u64,
    /// Marks tell what was synced; a hole behind the last one is an end that was cut, not damage.
    pub has_durable_marks: bool,
}

impl SegmentHeader {
    /// The bytes up to [`FRAMES_OFFSET`] and the mark of an end behind them.
    pub fn bytes(&self) -> Vec<u8> {
        let mut copy = Vec::with_capacity(COPY);
        copy.extend(FORM);
        let words = [
            self.sequence,
            self.salt,
            self.oldest_sequence,
            self.previous_end,
            self.next_item,
            u64::from(self.has_durable_marks),
        ];
        for word in words {
            copy.extend(word.to_le_bytes());
        }
        copy.extend(crc32fast::hash(&copy).to_le_bytes());
        let mut bytes = vec![0; FRAMES_OFFSET as usize + END];
        bytes[..COPY].copy_from_slice(&copy);
        bytes[SECOND..SECOND + COPY].copy_from_slice(&copy);
        bytes
    }

    /// Reads a header from a segment's first [`FRAMES_OFFSET`] bytes.
    pub fn read(bytes: &[u8]) -> SegmentStart {
        let copies = [0, SECOND].map(|at| bytes.get(at..at + COPY).and_then(SegmentHeader::copy));
        match copies {
            [Some(first), _] => SegmentStart::Header(first),
            [None, Some(second)] => SegmentStart::Header(second),
            [None, None] if bytes.iter().all(|b| *b == 0) => SegmentStart::Empty,
            [None, None] => SegmentStart::Unreadable,
        }
    }

    fn copy(bytes: &[u8]) -> Option<Self> {
        let (told, sum) = bytes.split_at_checked(COPY - 4)?;
        let word =
            |n: usize| u64::from_le_bytes(*told[16 + 8 * n..].first_chunk().expect("eight bytes"));
        let whole = told.starts_with(FORM) && sum == crc32fast::hash(told).to_le_bytes();
        whole.then(|| SegmentHeader {
            sequence: word(0),
            salt: word(1),
            oldest_sequence: word(2),
            previous_end: word(3),
            next_item: word(4),
            has_durable_marks: word(5) == 1,
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
    /// An item as it stands.
    Put,
    /// Something that happened to an item.
    Update,
    /// An item is over.
    Remove,
    /// Segments before this number count no more.
    LogStart,
    /// Everything before a place, in the segment of this number and at the offset in the data, is
    /// synced.
    DurableUpTo,
}

/// A frame that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// What it means.
    pub kind: FrameKind,
    /// The item, or the segment.
    pub no: u64,
    /// What is said of it.
    pub data: &'a [u8],
    /// Bytes from its beginning to that of the next.
    pub len: u64,
}

/// Bytes that a frame with so much data takes.
pub fn encoded_len(data: usize) -> u64 {
    ((HEAD + NAMED + data) as u64).next_multiple_of(ALIGN)
}

/// Most data that a frame in a segment of so many bytes can hold.
pub fn max_data_len(segment: u64) -> usize {
    (segment.saturating_sub(FRAMES_OFFSET) / ALIGN * ALIGN).saturating_sub((HEAD + NAMED) as u64)
        as usize
}

/// The bytes of a frame, with the mark of an end behind it, which the next frame replaces.
pub fn encode(salt: u64, kind: FrameKind, no: u64, data: &[u8]) -> Vec<u8> {
    let len = encoded_len(data.len()) as usize;
    let mut bytes = Vec::with_capacity(len + END);
    bytes.extend(((NAMED + data.len()) as u32).to_le_bytes());
    bytes.extend([0; 4]);
    bytes.push(match kind {
        FrameKind::Put => 1,
        FrameKind::Update => 2,
        FrameKind::Remove => 3,
        FrameKind::LogStart => 4,
        FrameKind::DurableUpTo => 5,
    });
    bytes.extend(no.to_le_bytes());
    bytes.extend(data);
    let sum = sum(salt, &bytes[..4], &bytes[HEAD..]);
    bytes[4..HEAD].copy_from_slice(&sum.to_le_bytes());
    bytes.resize(len + END, 0);
    bytes
}

/// The frame at the beginning of these bytes, if a whole one stands there.
pub fn decode(salt: u64, bytes: &[u8]) -> Option<Frame<'_>> {
    let (head, rest) = bytes.split_first_chunk::<HEAD>()?;
    let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let payload = rest.get(..len).filter(|_| len >= NAMED)?;
    let tag = match payload[0] {
        1 => FrameKind::Put,
        2 => FrameKind::Update,
        3 => FrameKind::Remove,
        4 => FrameKind::LogStart,
        5 => FrameKind::DurableUpTo,
        _ => return None,
    };
    let whole = sum(salt, &head[..4], payload).to_le_bytes() == head[4..];
    let no = u64::from_le_bytes(*payload[1..].first_chunk()?);
    let data = &payload[NAMED..];
    whole.then(|| Frame {
        kind: tag,
        no,
        data,
        len: encoded_len(data.len()),
    })
}

/// Whether frames end here on purpose: at the mark, or where no other frame would fit.
pub fn is_end_of_frames(bytes: &[u8]) -> bool {
    bytes.len() < HEAD + NAMED || bytes[..END].iter().all(|b| *b == 0)
}

/// The first whole frame in these bytes, at or after `from`.
pub fn find_next(salt: u64, bytes: &[u8], from: usize) -> Option<usize> {
    let step = ALIGN as usize;
    (from.next_multiple_of(step)..bytes.len())
        .step_by(step)
        .find(|at| decode(salt, &bytes[*at..]).is_some())
}

fn sum(salt: u64, head: &[u8], payload: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&salt.to_le_bytes());
    sum.update(head);
    sum.update(payload);
    sum.finalize()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_header_outlives_the_loss_of_one_of_its_copies_and_no_more() {
        let header = SegmentHeader {
            sequence: 3,
            salt: 4,
            oldest_sequence: 2,
            previous_end: 5000,
            next_item: 9,
            has_durable_marks: true,
        };
        let whole = header.bytes();
        for at in 0..COPY {
            let mut bytes = whole.clone();
            bytes[at] ^= 0x10;
            assert_eq!(
                SegmentHeader::read(&bytes),
                SegmentStart::Header(header),
                "byte {at}"
            );
            bytes[SECOND + at] ^= 0x10;
            assert_eq!(
                SegmentHeader::read(&bytes),
                SegmentStart::Unreadable,
                "byte {at}"
            );
        }
        assert_eq!(SegmentHeader::read(&[0; 1024]), SegmentStart::Empty);
    }

    #[test]
    fn no_changed_byte_passes_for_a_frame_nor_one_of_another_use() {
        let whole = encode(77, FrameKind::Put, 5, b"what it says");
        let frame = decode(77, &whole).expect("a frame");
        assert_eq!(
            (frame.kind, frame.no, frame.data),
            (FrameKind::Put, 5, &b"what it says"[..])
        );
        assert_eq!(frame.len + END as u64, whole.len() as u64);
        assert_eq!(decode(78, &whole), None);
        for at in 0..HEAD + NAMED + 12 {
            let mut bytes = whole.clone();
            bytes[at] ^= 0x10;
            assert_eq!(decode(77, &bytes), None, "byte {at}");
        }
    }

    #[test]
    fn a_frame_inside_a_message_is_found_by_no_search() {
        let inner = encode(1, FrameKind::Remove, 5, b"");
        let outer = encode(2, FrameKind::Put, 6, &[&[0; 7], inner.as_slice()].concat());
        let mut spoilt = [outer, encode(2, FrameKind::Update, 6, b"x")].concat();
        spoilt[10] ^= 1;
        let found = find_next(2, &spoilt, 8).expect("the second");
        assert_eq!(
            decode(2, &spoilt[found..]).expect("a frame").kind,
            FrameKind::Update
        );
    }
}
