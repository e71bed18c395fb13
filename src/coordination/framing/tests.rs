use crate::coordination::framing::*;
use crate::coordination::messages::{PeerRole, MAX_FRAME_BYTES};

fn hello() -> Handshake {
    Handshake {
        version: PROTOCOL_VERSION,
        site: "north".into(),
        role: PeerRole::Replica(2),
    }
}

#[test]
fn torn_long_and_senseless_frames_are_told_apart() {
    let whole = encode(&hello(), MAX_FRAME_BYTES).expect("short");
    assert_eq!(
        read_blocking::<Handshake>(&mut &whole[..], MAX_FRAME_BYTES).expect("whole"),
        hello()
    );
    let mut slow = &whole[..];
    let read: Handshake = async_io::block_on(read(&mut slow, MAX_FRAME_BYTES)).expect("whole");
    assert_eq!(read, hello());
    for torn in 1..whole.len() {
        let told = read_blocking::<Handshake>(&mut &whole[..torn], MAX_FRAME_BYTES);
        assert!(matches!(told, Err(FrameError::Io(_))), "{torn}: {told:?}");
    }
    assert!(matches!(
        read_blocking::<Handshake>(&mut &[][..], MAX_FRAME_BYTES),
        Err(FrameError::Closed)
    ));
    let long = [&0xFFFF_FFFFu32.to_be_bytes()[..], &whole].concat();
    assert!(matches!(
        read_blocking::<Handshake>(&mut &long[..], MAX_FRAME_BYTES),
        Err(FrameError::TooLong(0xFFFF_FFFF, _))
    ));
    let (mut more, len) = (whole.clone(), whole.len());
    more[3] += 1;
    more.push(0);
    assert!(
        matches!(
            read_blocking::<Handshake>(&mut &more[..], MAX_FRAME_BYTES),
            Err(FrameError::Malformed(_))
        ),
        "{len}"
    );
    assert!(matches!(
        encode(&vec![0u8; MAX_FRAME_BYTES], MAX_FRAME_BYTES),
        Err(FrameError::TooLong(..))
    ));
}

#[test]
fn another_form_or_site_is_shut_out() {
    assert!(hello().admit("north").is_ok());
    assert!(matches!(
        hello().admit("south"),
        Err(FrameError::SiteMismatch(_))
    ));
    let other = Handshake {
        version: PROTOCOL_VERSION + 1,
        ..hello()
    };
    assert!(matches!(
        other.admit("north"),
        Err(FrameError::VersionMismatch(_))
    ));
}
