//! Events at endpoints that cross with others of the same message, or of others: the stand-in holds a connection at the
//! exact byte, or before it comes up, until the other event has come about.

use crate::http::{header, read_request, Http};
use crate::platform_only::until;
use crate::program::PATIENCE;
use crate::rig::{message, settings, Answer, End, Message, Rig, Wire};
use rustix::net::listen;
use rustix::net::sockopt::{set_socket_timeout, Timeout};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// An endpoint that does nothing by itself.
struct Endpoint(TcpListener);

impl Endpoint {
    fn bound() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        set_socket_timeout(&listener, Timeout::Recv, Some(PATIENCE)).expect("an option");
        Endpoint(listener)
    }

    /// One that the program has been told of.
    fn listed(rig: &mut Rig<Http>, uid: &str, zone: &str) -> Self {
        let endpoint = Endpoint::bound();
        endpoint.list(rig, uid, zone);
        endpoint
    }

    fn list(&self, rig: &mut Rig<Http>, uid: &str, zone: &str) {
        let address = self.0.local_addr().expect("an address");
        rig.discovery.list(uid, address, zone, Http::KIND, "active");
        rig.program.says(&format!("provider {uid} "));
    }

    fn accept(&self) -> TcpStream {
        let (stream, _) = self.0.accept().expect("a connection in time");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream
    }

    /// Lets no connection come up until what this gives is taken in by [`Endpoint::accept`].
    fn fill(&self) -> TcpStream {
        listen(&self.0, 0).expect("a queue of one");
        TcpStream::connect(self.0.local_addr().expect("an address")).expect("the one")
    }

    /// Waits until somebody's connection is on its way and not up.
    fn asked_in_vain(&self) {
        const SYN_SENT: &str = "02";
        let port = self.0.local_addr().expect("an address").port();
        let to = format!(":{port:04X}");
        until("a connection is asked for", || {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's connections");
            table.lines().any(|line| {
                let fields: Vec<&str> = line.split_whitespace().collect();
                fields.get(2).is_some_and(|f| f.ends_with(&to)) && fields.get(3) == Some(&SYN_SENT)
            })
        });
    }
}

/// Settings by which a connection may take as long as an attempt: the system asks for it again each second.
fn patient() -> String {
    settings(100).replace("connectTimeout = 1500000000", "connectTimeout = 5000000000")
}

/// Reads a call and gives its message's id.
fn call(stream: &mut TcpStream) -> String {
    let (head, _) = read_request(stream).expect("a call");
    header(&head, "x-txn").expect("an id").to_string()
}

/// Waits for the other side's end of a connection, with no byte before.
fn ended(mut stream: TcpStream) {
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("an end");
    assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
}

/// The first of these connections on which something has come.
fn next_of(streams: &mut [TcpStream]) -> &mut TcpStream {
    let end = Instant::now() + PATIENCE;
    let came = |stream: &TcpStream| {
        stream.set_read_timeout(Some(MS)).expect("a time-out");
        let came = matches!(stream.peek(&mut [0]), Ok(1..));
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        came
    };
    loop {
        if let Some(at) = streams.iter().position(came) {
            return &mut streams[at];
        }
        assert!(Instant::now() < end, "nothing comes");
    }
}

#[test]
fn an_answer_that_only_announces_others_leaves_its_message_its_end_in_time() {
    let mut rig = Rig::<Http>::start(&[]);
    let endpoint = Endpoint::listed(&mut rig, "p", "a");
    let time = Duration::from_secs(2);
    let begun = Instant::now();
    rig.take_on(&Message { left: time, ..message("m1") });
    let mut side = endpoint.accept();
    assert_eq!(call(&mut side), "m1");
    let trickle = thread::spawn(move || {
        let mut bytes = b"HT".to_vec();
        // At its own pace: whenever an answer is whole, the next has begun.
        while side.write_all(&bytes).is_ok() {
            bytes = b"TP/1.1 100 Go on\r\n\r\nHT".to_vec();
            thread::sleep(200 * MS);
        }
    });
    assert_eq!(rig.end("m1"), End::Undeliverable);
    let took = begun.elapsed();
    assert!(took < time + 500 * MS, "its final answer came after {took:?}");
    trickle.join().expect("it is hung up on");
    rig.finish(&[]);
}

#[test]
fn a_drain_told_while_a_connection_comes_up_stops_its_call() {
    let mut rig = Rig::<Http>::start_by(&[], patient());
    let endpoint = Endpoint::listed(&mut rig, "p", "a");
    let _one = endpoint.fill();
    rig.take_on(&message("m1"));
    endpoint.asked_in_vain();
    rig.drain("p");
    drop(endpoint.accept());
    // It comes up when the system asks again.
    ended(endpoint.accept());
    rig.program.says("m1: p ");
    rig.add_provider("q", "b");
    let call = rig.call();
    assert_eq!(call.provider, "q");
    call.answer(Answer::Delivered);
    rig.finish(&["m1"]);
}

#[test]
fn a_wait_told_while_a_connection_comes_up_holds_for_its_call() {
    let mut rig = Rig::<Http>::start_by(&[], patient());
    let endpoint = Endpoint::listed(&mut rig, "p", "a");
    rig.take_on(&message("m1"));
    let mut first = endpoint.accept();
    assert_eq!(call(&mut first), "m1");
    let _one = endpoint.fill();
    rig.take_on(&message("m2"));
    endpoint.asked_in_vain();
    let (told, wait) = (Instant::now(), 2500 * MS);
    first
        .write_all(b"HTTP/1.1 429 Slow\r\nX-RateLimit-Wait-Ms: 2500\r\nContent-Length: 0\r\n\r\n")
        .expect("written");
    rig.program.says("m1: p Full");
    drop(endpoint.accept());
    let second = endpoint.accept();
    let mut both = [first, second];
    let mut served = Vec::new();
    while served.len() < 2 {
        let side = next_of(&mut both);
        assert!(told.elapsed() >= wait, "a call after {:?}", told.elapsed());
        served.push(call(side));
        side.write_all(OK).expect("written");
    }
    served.sort();
    assert_eq!(served, ["m1", "m2"]);
    rig.finish(&["m1", "m2"]);
}

#[test]
fn a_connection_that_comes_up_after_its_time_is_closed_and_one_attempt_follows() {
    let mut rig = Rig::<Http>::start(&[]);
    let endpoint = Endpoint::listed(&mut rig, "p", "a");
    let _one = endpoint.fill();
    rig.take_on(&message("m1"));
    rig.program.says("m1: p ConnectFailed");
    drop(endpoint.accept());
    let mut side = endpoint.accept();
    assert_eq!(call(&mut side), "m1");
    side.write_all(OK).expect("written");
    rig.program.says("m1: p Ok");
    // Nothing else was ever opened.
    endpoint.0.set_nonblocking(true).expect("an option");
    assert!(endpoint.0.accept().is_err(), "another connection");
    rig.finish(&["m1"]);
}

/// A spoilt answer is a failed attempt that may have run; the wait that its head tells is told all the same.
#[test]
fn a_wait_is_kept_though_the_answer_that_tells_it_is_cut() {
    let mut rig = Rig::<Http>::start(&[]);
    let endpoint = Endpoint::listed(&mut rig, "p", "a");
    rig.take_on(&message("m1"));
    let mut first = endpoint.accept();
    assert_eq!(call(&mut first), "m1");
    let told = Instant::now();
    first
        .write_all(b"HTTP/1.1 429 Slow\r\nX-RateLimit-Wait-Ms: 1700\r\nContent-Length: 9\r\n\r\nshort")
        .expect("written");
    drop(first);
    rig.program.says("m1: p Error");
    // Another zone may not have it any more.
    rig.add_provider("q", "b");
    let mut second = endpoint.accept();
    assert_eq!(call(&mut second), "m1");
    assert!(told.elapsed() >= 1700 * MS, "a call after {:?}", told.elapsed());
    second.write_all(OK).expect("written");
    rig.quiet(Duration::ZERO);
    rig.finish(&["m1"]);
}

#[test]
fn an_endpoint_listed_at_another_address_is_not_called_at_the_one_before() {
    let mut rig = Rig::<Http>::start(&[]);
    let before = Endpoint::listed(&mut rig, "p", "a");
    rig.take_on(&message("m1"));
    let mut side = before.accept();
    assert_eq!(call(&mut side), "m1");
    let after = Endpoint::listed(&mut rig, "p", "a");
    side.write_all(OK).expect("written");
    rig.program.says("m1: p Ok");
    rig.take_on(&message("m2"));
    let mut second = after.accept();
    assert_eq!(call(&mut second), "m2");
    second.write_all(OK).expect("written");
    // It was not kept, either.
    ended(side);
    rig.finish(&["m1", "m2"]);
}

#[test]
fn a_connection_to_an_address_that_is_listed_no_more_carries_no_call() {
    let mut rig = Rig::<Http>::start_by(&[], patient());
    let before = Endpoint::listed(&mut rig, "p", "a");
    let _one = before.fill();
    rig.take_on(&message("m1"));
    before.asked_in_vain();
    let after = Endpoint::listed(&mut rig, "p", "a");
    drop(before.accept());
    ended(before.accept());
    let mut side = after.accept();
    assert_eq!(call(&mut side), "m1");
    side.write_all(OK).expect("written");
    rig.finish(&["m1"]);
}

/// Answers that are written from just before the end of a message's time to just after it: each message has one end, the
/// one that the program took note of, and none is late.
#[test]
fn an_answer_beside_the_end_of_its_message_s_time_gives_one_final_answer() {
    let mut rig = Rig::<Http>::start(&[]);
    let endpoint = Endpoint::listed(&mut rig, "p", "a");
    let time = 800 * MS;
    let (mut side, mut delivered) = (None::<TcpStream>, Vec::new());
    let next = |side: &mut Option<TcpStream>| {
        let kept = side.take().filter(|s| matches!(s.peek(&mut [0]), Ok(1..)));
        kept.unwrap_or_else(|| endpoint.accept())
    };
    // Milliseconds from 12 before the end.
    for at in [0, 8, 12, 14, 16, 18, 24] {
        // One that is served beforehand, so that the endpoint counts as well.
        let (calm, late) = (format!("calm{at}"), format!("late{at}"));
        rig.take_on(&message(&calm));
        let mut stream = next(&mut side);
        assert_eq!(call(&mut stream), calm);
        stream.write_all(OK).expect("written");
        rig.program.says(&format!("{calm}: p Ok"));
        delivered.push(calm);
        let begun = Instant::now();
        rig.take_on(&Message { left: time, ..message(&late) });
        side = Some(stream);
        let mut stream = next(&mut side);
        assert_eq!(call(&mut stream), late);
        let due = time - 12 * MS + at * MS;
        thread::sleep(due.saturating_sub(begun.elapsed()));
        // Whether it is still heard is for the program to say.
        let _ = stream.write_all(OK);
        let said = rig.program.says(&format!("{late}: p "));
        match said.ends_with(" Ok") {
            true => delivered.push(late),
            false => {
                assert_eq!(rig.end(&late), End::Undeliverable);
                assert!(begun.elapsed() < time + 500 * MS, "{:?}", begun.elapsed());
            }
        }
        side = Some(stream);
    }
    drop(side);
    let delivered: Vec<&str> = delivered.iter().map(String::as_str).collect();
    rig.finish(&delivered);
}
