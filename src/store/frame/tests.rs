use super::*;

#[test]
fn header_is_readable_with_one_damaged_copy_and_unreadable_with_two() {
    let header = SegmentHeader {
        sequence: 3,
        salt: 4,
        oldest_sequence: 2,
        previous_end: 5000,
        next_item: 9,
        has_durable_marks: true,
    };
    let whole = header.encode();
    for at in 0..HEADER_LEN {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        assert_eq!(
            SegmentHeader::decode(&bytes),
            SegmentStart::Header(header),
            "byte {at}"
        );
        bytes[SECOND_HEADER_OFFSET + at] ^= 0x10;
        assert_eq!(
            SegmentHeader::decode(&bytes),
            SegmentStart::Unreadable,
            "byte {at}"
        );
    }
    assert_eq!(SegmentHeader::decode(&[0; 1024]), SegmentStart::Empty);
}

#[test]
fn decode_rejects_frames_with_a_changed_byte_or_another_salt() {
    let whole = encode(77, FrameKind::Put, 5, b"what it says");
    let frame = decode(77, &whole).expect("a frame");
    assert_eq!(
        (frame.kind, frame.number, frame.data),
        (FrameKind::Put, 5, &b"what it says"[..])
    );
    assert_eq!(frame.len + TERMINATOR_LEN as u64, whole.len() as u64);
    assert_eq!(decode(78, &whole), None);
    for at in 0..FRAME_PREFIX_LEN + PAYLOAD_PREFIX_LEN + 12 {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        assert_eq!(decode(77, &bytes), None, "byte {at}");
    }
}

#[test]
fn find_next_skips_a_frame_inside_another_frames_data() {
    let inner = encode(1, FrameKind::Remove, 5, b"");
    let outer = encode(2, FrameKind::Put, 6, &[&[0; 7], inner.as_slice()].concat());
    let mut damaged = [outer, encode(2, FrameKind::Update, 6, b"x")].concat();
    damaged[10] ^= 1;
    let found = find_next(2, &damaged, 8).expect("the second");
    let frame = decode(2, &damaged[found..]).expect("a frame");
    assert_eq!(frame.kind, FrameKind::Update);
}
