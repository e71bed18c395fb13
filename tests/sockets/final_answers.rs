//! Final answers in time, where the end of a message and what comes from an endpoint cross.
//!
//! The incident: under faults two accepted messages were handed back 0.7 and 1.0 s after their
//! time, by the process that had accepted them, and nothing in its log told why. In the same days
//! others were delivered in their last milliseconds and never had a final answer at all.
//!
//! How it came about: an attempt might last up to the very end of its message, and the rest of an
//! answer that had begun longer than that, as often as it announced another one. Then the notice
//! waited behind any other that the platform was slow to hear. And a 200 that was read at the end
//! counted as the final answer by this sender's clock alone, while the client's time, which runs
//! from its own sending, was up.
//!
//! The cause: each step had a limit of its own, and none of them ended with the message's time less
//! what the final answer needs. What proved it: the life of each lost message in a log with all
//! steps (the last attempt's time-out was all the time that was left, and a 200 came 0 to 5 ms
//! before the end), and these tests, which failed on the program of then in each run.

use crate::http::{read_request, Http};
use crate::rig::{message, Answer, End, Message, Rig};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// The time that the messages of these tests have.
const LEFT: Duration = Duration::from_secs(2);
/// So long after a message's time its final answer is overdue, on sockets.
const OVERDUE: Duration = Duration::from_millis(350);

fn short(id: &str) -> Message {
    Message {
        left: LEFT,
        ..message(id)
    }
}

/// The final answer of a message whose time began at a moment, which has to come in time.
fn end_in_time(rig: &mut Rig<Http>, id: &str, sent_at: Instant) -> End {
    let overdue_at = sent_at + LEFT + OVERDUE;
    let end = rig.end_within(id, overdue_at.saturating_duration_since(Instant::now()));
    end.unwrap_or_else(|| panic!("{id} has no final answer in time"))
}

/// Where an answer that never ends is announced again and again: an endpoint that is listed.
fn start_announcing(first_at: Instant) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || announce(stream, first_at));
        }
    });
    address
}

/// Answers a call from a moment on, each time with the beginning of another answer behind one that
/// only announces it.
fn announce(mut stream: TcpStream, first_at: Instant) {
    if read_request(&mut stream).is_none() {
        return;
    }
    thread::sleep(first_at.saturating_duration_since(Instant::now()));
    let mut bytes: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 1";
    while stream.write_all(bytes).is_ok() {
        thread::sleep(250 * MS);
        bytes = b"00 Continue\r\n\r\nHTTP/1.1 1";
    }
}

#[test]
fn a_message_whose_end_crosses_an_answer_is_told_its_end_in_time() {
    // A delivery in the last moment of the client's time.
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    let sent_at = Instant::now();
    rig.take_on(&short("m1"));
    let call = rig.call();
    thread::sleep((sent_at + LEFT).saturating_duration_since(Instant::now()));
    call.answer(Answer::Delivered);
    end_in_time(&mut rig, "m1", sent_at);
    rig.finish(&[]);

    // An answer that has begun by then and does not end.
    let mut rig = Rig::<Http>::start(&[]);
    let sent_at = Instant::now();
    let endpoint = start_announcing(sent_at + LEFT - 300 * MS);
    rig.discovery.list("q", endpoint, "a", "hook", "active");
    rig.program.says("directory: provider q");
    rig.take_on(&short("m2"));
    end_in_time(&mut rig, "m2", sent_at);
    rig.finish(&[]);
}
