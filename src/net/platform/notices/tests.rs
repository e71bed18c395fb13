//! Final answers told to a stand-in for the platform, over real sockets.

use super::*;
use crate::delivery::duration;
use crate::dispatch::deadline::LEAST_TIME_TO_BEGIN;
use async_executor::LocalExecutor;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Barrier};

/// A message counts as lost so long after its time.
const GRACE: Duration = Duration::from_millis(300);

/// A stand-in that serves each connection in a thread of its own, told its number.
fn platform(serve: impl Fn(usize, BufReader<TcpStream>) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for (number, connection) in listener.incoming().enumerate() {
            let reader = BufReader::new(connection.expect("a connection"));
            let serve = serve.clone();
            std::thread::spawn(move || serve(number, reader));
        }
    });
    address
}

/// A platform that answers the first request of each of its first connections, once all of them
/// have come, and is silent on them from then on, as after a cut. Later connections are served.
fn platform_that_forgets_its_first_connections() -> SocketAddr {
    let all_have_come = Arc::new(Barrier::new(MAX_NEW_REQUESTS));
    platform(move |number, mut reader| {
        if number >= MAX_NEW_REQUESTS {
            while answer_one(&mut reader) {}
            return;
        }
        assert!(read_request(&mut reader), "a request comes on each");
        all_have_come.wait();
        write_answer(&mut reader);
        while read_request(&mut reader) {}
    })
}

/// A platform that takes requests from the start and answers those that come from a moment on.
fn platform_that_is_silent_until(moment: Instant) -> SocketAddr {
    platform(move |_, mut reader| {
        while read_request(&mut reader) {
            if Instant::now() >= moment {
                write_answer(&mut reader);
            }
        }
    })
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

/// Tells notices at these times, in milliseconds, each by itself, and then one more after a while.
/// How long that one took to be heard.
fn last_is_heard_after(
    platform: SocketAddr,
    told_at_ms: &[u64],
    earlier_are_heard: bool,
    rest: Duration,
) -> Duration {
    let wheel = TimerWheel::new();
    let notices = Notices::new(Discovery::new(platform), wheel.clone());
    let executor = LocalExecutor::new();
    let mut earlier: Vec<_> = told_at_ms
        .iter()
        .map(|ms| {
            let (wheel, notices, ms) = (wheel.clone(), notices.clone(), *ms);
            executor.spawn(async move {
                wheel.sleep(Duration::from_millis(ms)).await;
                tell(&notices, &format!("at-{ms}")).await;
            })
        })
        .collect();
    let all = async {
        if earlier_are_heard {
            for told in earlier.drain(..) {
                told.await;
            }
        }
        wheel.sleep(rest).await;
        let told_at = Instant::now();
        tell(&notices, "last").await;
        told_at.elapsed()
    };
    let all_run = executor.run(all);
    async_io::block_on(all_run.or(async {
        future::zip(notices.run(), wheel.run()).await;
        unreachable!("both run for ever")
    }))
}

/// The longest that a notice may take to be heard: its message is given up some time before its end
/// and counts as lost some time after it.
fn longest() -> Duration {
    duration(LEAST_TIME_TO_BEGIN) + GRACE
}

/// A final answer came after its message's time, behind a platform that would have heard it at
/// once. A cut silences all kept connections together, but only the one whose request was not
/// answered was given up; the notice went again over the next, with a longer wait each time: with
/// three kept ones 0.3, 0.6 and 1 s and the rests between, 2.28 s in all.
#[test]
fn a_notice_that_was_not_heard_goes_over_a_new_connection() {
    let platform = platform_that_forgets_its_first_connections();
    let took = last_is_heard_after(platform, &[0, 30], true, Duration::ZERO);
    let most = longest();
    assert!(took < most, "heard after {took:?}, {most:?} at the most");
}

/// A final answer came after its message's time, behind a platform that would have heard it at
/// once: it had been silent for seconds before. A request that was not answered was waited for and
/// rested for longer each time, up to 1.5 s in all, and when all that may be out did, a new notice
/// waited until one of them was through.
#[test]
fn a_new_notice_does_not_wait_for_those_that_a_silent_platform_did_not_hear() {
    let silent = Duration::from_millis(2_600);
    let platform = platform_that_is_silent_until(Instant::now() + silent);
    let told_after = silent + Duration::from_millis(100);
    let took = last_is_heard_after(platform, &[0, 30, 60], false, told_after);
    let most = longest();
    assert!(took < most, "heard after {took:?}, {most:?} at the most");
}
