//! Final answers told to a stand-in for the platform, over real sockets.

use super::*;
use crate::delivery::duration;
use crate::dispatch::deadline::LEAST_TIME_TO_BEGIN;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Barrier};

/// A message counts as lost so long after its time.
const GRACE: Duration = Duration::from_millis(300);

/// A platform that answers the first request of each of its first connections, once all of them
/// have come, and is silent on them from then on, as after a cut. Later connections are served.
fn platform_that_forgets_its_first_connections() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let all_have_come = Arc::new(Barrier::new(MAX_REQUESTS));
    std::thread::spawn(move || {
        for (number, connection) in listener.incoming().enumerate() {
            let connection = connection.expect("a connection");
            let all_have_come = all_have_come.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(connection);
                if number >= MAX_REQUESTS {
                    while answer_one(&mut reader) {}
                    return;
                }
                let is_whole = read_request(&mut reader);
                assert!(is_whole, "a request comes on each");
                all_have_come.wait();
                write_answer(&mut reader);
                while read_request(&mut reader) {}
            });
        }
    });
    address
}

fn answer_one(reader: &mut BufReader<TcpStream>) -> bool {
    let is_whole = read_request(reader);
    if is_whole {
        write_answer(reader);
    }
    is_whole
}

/// Reads a request; false at the connection's end.
fn read_request(reader: &mut BufReader<TcpStream>) -> bool {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().expect("a length");
        }
        if line == "\r\n" {
            return reader.read_exact(&mut vec![0; length]).is_ok();
        }
    }
}

fn write_answer(reader: &mut BufReader<TcpStream>) {
    let answer = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
    reader.get_mut().write_all(answer).expect("written");
}

async fn tell(notices: &Notices, id: &str) {
    let envelope = Envelope {
        id: id.into(),
        ..Envelope::default()
    };
    let answer = FinalAnswer {
        verdict: Verdict::Undeliverable,
        crosses_end: false,
    };
    notices.send_final_answer(&envelope, answer).await;
}

/// A final answer came after its message's time, behind a platform that would have heard it at
/// once. A cut silences all kept connections together, but only the one whose request was not
/// answered was given up; the notice went again over the next, with a longer wait each time: 0.3,
/// 0.6 and 1 s and the rests between, 2.28 s in all.
#[test]
fn a_notice_that_was_not_heard_goes_over_a_new_connection() {
    let wheel = TimerWheel::new();
    let discovery = Discovery::new(platform_that_forgets_its_first_connections());
    let notices = Notices::new(discovery, wheel.clone());
    let after = |ms, id| {
        let (wheel, notices) = (wheel.clone(), notices.clone());
        async move {
            wheel.sleep(Duration::from_millis(ms)).await;
            tell(&notices, id).await;
        }
    };

    let took = async_io::block_on(
        async {
            // One after another, so that each goes by itself.
            let others = future::zip(after(30, "second"), after(60, "third"));
            future::zip(after(0, "first"), others).await;
            let told_at = Instant::now();
            tell(&notices, "last").await;
            told_at.elapsed()
        }
        .or(async {
            future::zip(notices.run(), wheel.run()).await;
            unreachable!("both run for ever")
        }),
    );

    let most = duration(LEAST_TIME_TO_BEGIN) + GRACE;
    assert!(took < most, "heard after {took:?}, {most:?} at the most");
}
