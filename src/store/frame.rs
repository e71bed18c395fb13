//! The form of a segment: a header that stands twice, then frames. Plain bytes; nothing here reads
//! or writes a file.

/// What a header begins with.
const FORM: &[u8; 16] = b"raildeal store 2";
/// Bytes of one copy of a header, checksum included.
const COPY: usize = 68;
/// Where the second copy stands: in another sector than the first.
const SECOND: usize = 512;
/// Where frames begin.
pub const BEGIN: u64 = 1024;
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
pub struct Header {
    /// Its place in the sequence.
    pub seq: u64,
    /// What the checksums of its frames begin with.
    pub salt: u64,
    /// The oldest segment that counted when this one was begun.
    pub oldest: u64,
    /// Where frames ended in the segment before it.
    pub before: u64,
    /// A number higher than all that were used before.
    pub next: u64,
    /// Marks tell what was synced; a hole behind the last one is an end that was cut, not damage.
    pub marked: bool,
}

impl Header {
    /// The bytes up to [`BEGIN`] and the mark of an end behind them.
    pub fn bytes(&self) -> Vec<u8> {
        let mut copy = Vec::with_capacity(COPY);
        copy.extend(FORM);
        let words = [
            self.seq,
            self.salt,
            self.oldest,
            self.before,
            self.next,
            u64::from(self.marked),
        ];
        for word in words {
            copy.extend(word.to_le_bytes());
        }
        copy.extend(crc32fast::hash(&copy).to_le_bytes());
        let mut bytes = vec![0; BEGIN as usize + END];
        bytes[..COPY].copy_from_slice(&copy);
        bytes[SECOND..SECOND + COPY].copy_from_slice(&copy);
        bytes
    }

    /// Reads a header from a segment's first [`BEGIN`] bytes.
    pub fn read(bytes: &[u8]) -> Began {
        let copies = [0, SECOND].map(|at| bytes.get(at..at + COPY).and_then(Header::copy));
        match copies {
            [Some(first), _] => Began::At(first),
            [None, Some(second)] => Began::At(second),
            [None, None] if bytes.iter().all(|b| *b == 0) => Began::Never,
            [None, None] => Began::Unreadable,
        }
    }

    fn copy(bytes: &[u8]) -> Option<Self> {
        let (told, sum) = bytes.split_at_checked(COPY - 4)?;
        let word =
            |n: usize| u64::from_le_bytes(*told[16 + 8 * n..].first_chunk().expect("eight bytes"));
        let whole = told.starts_with(FORM) && sum == crc32fast::hash(told).to_le_bytes();
        whole.then(|| Header {
            seq: word(0),
            salt: word(1),
            oldest: word(2),
            before: word(3),
            next: word(4),
            marked: word(5) == 1,
        })
    }
}

/// What stands at a segment's beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Began {
    /// Nothing yet.
    Never,
    /// A header.
    At(Header),
    /// Something that cannot be read.
    Unreadable,
}

/// What a frame means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tag {
    /// An item as it stands.
    Put,
    /// Something that happened to an item.
    Note,
    /// An item is over.
    Gone,
    /// Segments before this number count no more.
    Head,
    /// Everything before a place, in the segment of this number and at the offset in the data, is
    /// synced.
    Mark,
}

/// A frame that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// What it means.
    pub tag: Tag,
    /// The item, or the segment.
    pub no: u64,
    /// What is said of it.
    pub data: &'a [u8],
    /// Bytes from its beginning to that of the next.
    pub len: u64,
}

/// Bytes that a frame with so much data takes.
pub fn size(data: usize) -> u64 {
    ((HEAD + NAMED + data) as u64).next_multiple_of(ALIGN)
}

/// Most data that a frame in a segment of so many bytes can hold.
pub fn most(segment: u64) -> usize {
    (segment.saturating_sub(BEGIN) / ALIGN * ALIGN).saturating_sub((HEAD + NAMED) as u64) as usize
}

/// The bytes of a frame, with the mark of an end behind it, which the next frame replaces.
pub fn bytes(salt: u64, tag: Tag, no: u64, data: &[u8]) -> Vec<u8> {
    let len = size(data.len()) as usize;
    let mut bytes = Vec::with_capacity(len + END);
    bytes.extend(((NAMED + data.len()) as u32).to_le_bytes());
    bytes.extend([0; 4]);
    bytes.push(match tag {
        Tag::Put => 1,
        Tag::Note => 2,
        Tag::Gone => 3,
        Tag::Head => 4,
        Tag::Mark => 5,
    });
    bytes.extend(no.to_le_bytes());
    bytes.extend(data);
    let sum = sum(salt, &bytes[..4], &bytes[HEAD..]);
    bytes[4..HEAD].copy_from_slice(&sum.to_le_bytes());
    bytes.resize(len + END, 0);
    bytes
}

/// The frame at the beginning of these bytes, if a whole one stands there.
pub fn read(salt: u64, bytes: &[u8]) -> Option<Frame<'_>> {
    let (head, rest) = bytes.split_first_chunk::<HEAD>()?;
    let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let payload = rest.get(..len).filter(|_| len >= NAMED)?;
    let tag = match payload[0] {
        1 => Tag::Put,
        2 => Tag::Note,
        3 => Tag::Gone,
        4 => Tag::Head,
        5 => Tag::Mark,
        _ => return None,
    };
    let whole = sum(salt, &head[..4], payload).to_le_bytes() == head[4..];
    let no = u64::from_le_bytes(*payload[1..].first_chunk()?);
    let data = &payload[NAMED..];
    whole.then(|| Frame {
        tag,
        no,
        data,
        len: size(data.len()),
    })
}

/// Whether frames end here on purpose: at the mark, or where no other frame would fit.
pub fn is_end(bytes: &[u8]) -> bool {
    bytes.len() < HEAD + NAMED || bytes[..END].iter().all(|b| *b == 0)
}

/// The first whole frame in these bytes, at or after `from`.
pub fn next(salt: u64, bytes: &[u8], from: usize) -> Option<usize> {
    let step = ALIGN as usize;
    (from.next_multiple_of(step)..bytes.len())
        .step_by(step)
        .find(|at| read(salt, &bytes[*at..]).is_some())
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
        let header = Header {
            seq: 3,
            salt: 4,
            oldest: 2,
            before: 5000,
            next: 9,
            marked: true,
        };
        let whole = header.bytes();
        for at in 0..COPY {
            let mut bytes = whole.clone();
            bytes[at] ^= 0x10;
            assert_eq!(Header::read(&bytes), Began::At(header), "byte {at}");
            bytes[SECOND + at] ^= 0x10;
            assert_eq!(Header::read(&bytes), Began::Unreadable, "byte {at}");
        }
        assert_eq!(Header::read(&[0; 1024]), Began::Never);
    }

    #[test]
    fn no_changed_byte_passes_for_a_frame_nor_one_of_another_use() {
        let whole = bytes(77, Tag::Put, 5, b"what it says");
        let frame = read(77, &whole).expect("a frame");
        assert_eq!(
            (frame.tag, frame.no, frame.data),
            (Tag::Put, 5, &b"what it says"[..])
        );
        assert_eq!(frame.len + END as u64, whole.len() as u64);
        assert_eq!(read(78, &whole), None);
        for at in 0..HEAD + NAMED + 12 {
            let mut bytes = whole.clone();
            bytes[at] ^= 0x10;
            assert_eq!(read(77, &bytes), None, "byte {at}");
        }
    }

    #[test]
    fn a_frame_inside_a_message_is_found_by_no_search() {
        let inner = bytes(1, Tag::Gone, 5, b"");
        let outer = bytes(2, Tag::Put, 6, &[&[0; 7], inner.as_slice()].concat());
        let mut spoilt = [outer, bytes(2, Tag::Note, 6, b"x")].concat();
        spoilt[10] ^= 1;
        let found = next(2, &spoilt, 8).expect("the second");
        assert_eq!(read(2, &spoilt[found..]).expect("a frame").tag, Tag::Note);
    }
}
