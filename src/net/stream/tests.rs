//! Last words that a full connection takes in part.

use super::*;
use std::io::Read;
use std::net::TcpListener;
use std::thread;

/// More than any connection holds.
const TOO_LONG: usize = 64 << 20;

/// The connection of a [`Stream`], and its other end.
fn connected() -> (Stream, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let other = TcpStream::connect(address).expect("connected");
    let (socket, _) = listener.accept().expect("accepted");
    (Stream::new(Async::new(socket).expect("a socket")), other)
}

/// Guards against a packet that is sent behind half of another one and read as its rest.
#[test]
fn a_last_word_that_goes_in_part_is_the_end_of_its_connection() {
    let (stream, mut other) = connected();
    let writer = stream.writer(TimerWheel::new(), Duration::from_secs(20));
    writer.try_send(&vec![1; TOO_LONG]);
    let reader = thread::spawn(move || {
        let mut read = Vec::new();
        other.read_to_end(&mut read).map(|_| read)
    });
    let sent = async_io::block_on(writer.send(&[2]));
    drop((writer, stream));
    let read = reader.join().expect("a reader").expect("an end");
    assert!(
        !read.contains(&2),
        "another word came behind {}",
        read.len() - 1
    );
    assert!(sent.is_err(), "sent behind half a word");
}

/// Guards against a last word that is lost, and its connection with it, since the other side reads
/// slowly.
#[test]
fn a_last_word_that_finds_no_room_leaves_what_was_sent_before_it_whole() {
    let (stream, mut other) = connected();
    let sent = write_at_once(stream.socket.get_ref(), &vec![1; TOO_LONG]);
    stream
        .writer(TimerWheel::new(), Duration::from_secs(20))
        .try_send(&[2]);
    let mut read = vec![0; sent];
    other.read_exact(&mut read).expect("what was sent");
    async_io::block_on(write_all(&stream.socket, &[3])).expect("the connection stands");
    other.read_exact(&mut read[..1]).expect("a word");
    assert_eq!(read[0], 3);
}
