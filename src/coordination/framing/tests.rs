use crate::coordination::framing::*;
use crate::coordination::messages::{PeerRole, MAX_FRAME_BYTES};
use std::pin::Pin;
use std::task::{Context, Poll};

fn hello() -> Handshake {
    Handshake {
        version: PROTOCOL_VERSION,
        site: "north".into(),
        role: PeerRole::Replica(2),
    }
}

#[test]
fn truncated_long_and_malformed_frames_are_distinguished() {
    let whole = encode(&hello(), MAX_FRAME_BYTES).expect("short");
    assert_eq!(
        read_blocking::<Handshake>(&mut &whole[..], MAX_FRAME_BYTES).expect("whole"),
        hello()
    );
    let mut slow = &whole[..];
    let read: Handshake = async_io::block_on(read(&mut slow, MAX_FRAME_BYTES)).expect("whole");
    assert_eq!(read, hello());
    for torn in 1..whole.len() {
        let result = read_blocking::<Handshake>(&mut &whole[..torn], MAX_FRAME_BYTES);
        assert!(
            matches!(result, Err(FrameError::Io(_))),
            "{torn}: {result:?}"
        );
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
fn another_protocol_version_or_site_is_rejected() {
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

/// Stream that reads and writes one byte at a time and interrupts every other call.
#[derive(Default)]
struct Interrupted {
    bytes: Vec<u8>,
    passes: bool,
}

impl Interrupted {
    fn call(&mut self) -> io::Result<()> {
        self.passes = !self.passes;
        match self.passes {
            true => Err(io::ErrorKind::Interrupted.into()),
            false => Ok(()),
        }
    }
}

impl Read for Interrupted {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.call()?;
        if self.bytes.is_empty() || into.is_empty() {
            return Ok(0);
        }
        into[0] = self.bytes.remove(0);
        Ok(1)
    }
}

impl AsyncRead for Interrupted {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        into: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Read::read(self.get_mut(), into))
    }
}

impl AsyncWrite for Interrupted {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        Poll::Ready(this.call().map(|()| {
            this.bytes.extend(bytes.first());
            bytes.len().min(1)
        }))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a frame that is sent only in part, which ends its connection, when a write of it
/// is interrupted.
#[test]
fn a_frame_is_written_completely_when_writes_are_interrupted() {
    let mut line = Interrupted::default();
    async_io::block_on(write(&mut line, &hello(), MAX_FRAME_BYTES)).expect("written");
    assert_eq!(
        line.bytes,
        encode(&hello(), MAX_FRAME_BYTES).expect("short")
    );
}

/// Guards against a connection that ends without a response when a read is interrupted.
#[test]
fn a_frame_is_read_completely_when_reads_are_interrupted() {
    let line = || Interrupted {
        bytes: encode(&hello(), MAX_FRAME_BYTES).expect("short"),
        passes: false,
    };
    let read: Handshake = async_io::block_on(read(&mut line(), MAX_FRAME_BYTES)).expect("whole");
    assert_eq!(read, hello());
    let read: Handshake = read_blocking(&mut line(), MAX_FRAME_BYTES).expect("whole");
    assert_eq!(read, hello());
}

/// Guards against a peer that keeps all other tasks waiting by frames without end.
#[test]
fn frames_that_are_all_there_leave_other_tasks_their_turn() {
    let frames = encode(&hello(), MAX_FRAME_BYTES)
        .expect("short")
        .repeat(1_000);
    let reads = async {
        let mut rest = &frames[..];
        while read::<Handshake>(&mut rest, MAX_FRAME_BYTES).await.is_ok() {}
        "all frames"
    };
    let other = async {
        future::yield_now().await;
        "the other task"
    };

    let first = async_io::block_on(future::or(reads, other));

    assert_eq!(first, "the other task");
}
