//! Where two events of a client's connection cross: the end of the process, the end of a connection, a place that goes to
//! another, and requests in pieces, in other forms, or many at once. One side is held at the byte or event in question.

use crate::http::{answer, header, request, Http};
use crate::platform_only::until;
use crate::rig::{message, settings, Answer, Call, End, Message, Rig};
use rustix::net::sockopt::set_socket_linger;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// What the program says when it was told to end, and when its ports are closed.
const TOLD: &str = "told to end";
const CLOSED: &str = "takes no more connections";
/// Before SIGKILL comes.
const KILLED: Duration = Duration::from_millis(3700);
/// A client waits this long for its answer.
const PATIENCE: Duration = Duration::from_millis(400);

fn open(rig: &Rig<Http>) -> TcpStream {
    TcpStream::connect(rig.address).expect("connected")
}

fn written(rig: &Rig<Http>, bytes: &[u8]) -> TcpStream {
    let mut stream = open(rig);
    stream.write_all(bytes).expect("written");
    stream
}

/// The status of the next answer, and whether it is the last one of its connection.
fn next(stream: &mut TcpStream) -> (u16, bool) {
    let (status, head) = answer(stream).expect("an answer");
    (status, header(&head, "connection") == Some("close"))
}

/// Reads a connection to its end, which must be no reset.
fn rest(stream: &mut TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    stream.set_read_timeout(Some(crate::program::PATIENCE)).expect("a time-out");
    stream.read_to_end(&mut rest).expect("an end and no reset");
    rest
}

/// Waits for the end of a connection, with nothing before it.
fn ends(stream: &mut TcpStream) {
    assert!(rest(stream).is_empty());
}

/// Waits until the other side has sent something, or its end, and leaves it unread.
fn readable(stream: &TcpStream) -> usize {
    stream.set_read_timeout(Some(crate::program::PATIENCE)).expect("a time-out");
    stream.peek(&mut [0]).expect("something to read")
}

/// Delivers whatever comes, until nobody can call any more.
fn deliver(calls: Receiver<Call>) {
    thread::spawn(move || calls.iter().for_each(|call| call.answer(Answer::Delivered)));
}

/// Tells the program to end; gives when.
fn told_to_end(rig: &mut Rig<Http>) -> Instant {
    rig.program.terminate();
    rig.program.says(TOLD);
    Instant::now()
}

fn ended_in_time(rig: &mut Rig<Http>, told: Instant) {
    assert!(rig.program.ended().success());
    assert!(told.elapsed() < KILLED, "{:?}", told.elapsed());
    let log = rig.program.log();
    assert!(!log.contains("panicked"), "{log}");
}

/// Each is answered, wherever it is cut, though its rest comes only after the ports are closed, and nothing else is held.
#[test]
fn a_request_cut_at_any_byte_by_a_shutdown_gets_its_answer() {
    let mut rig = Rig::<Http>::start_with(&[("p", "a")], 400);
    deliver(rig.providers.take_calls());
    let begun = |n: usize| {
        let whole = request(&message(&format!("m{n:03}")));
        (written(&rig, &whole[..n]), whole[n..].to_vec())
    };
    let length = request(&message("m000")).len();
    let mut clients: Vec<_> = (0..length).map(begun).collect();
    let told = told_to_end(&mut rig);
    rig.program.says(CLOSED);
    for (stream, rest) in &mut clients {
        stream.write_all(rest).expect("written");
    }
    for (n, (stream, _)) in clients.iter_mut().enumerate() {
        assert_eq!(next(stream), (202, true), "cut at {n}");
        ends(stream);
    }
    ended_in_time(&mut rig, told);
}

/// Its rest never comes: it hears that it is refused, and not only the end.
#[test]
fn a_request_that_is_not_whole_when_the_process_ends_is_refused() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    let whole = request(&message("m1"));
    let told = told_to_end(&mut rig);
    let mut stream = open(&rig);
    rig.program.says(CLOSED);
    // So late that it would have time beyond the end of the process.
    thread::sleep((told + 1200 * MS).saturating_duration_since(Instant::now()));
    stream.write_all(&whole[..whole.len() - 1]).expect("written");
    assert_eq!(next(&mut stream), (503, true));
    ends(&mut stream);
    ended_in_time(&mut rig, told);
}

/// They were read together: whoever closes behind the first answer has read the others and says nothing to them.
#[test]
fn requests_read_at_once_are_all_answered_after_the_signal_to_end() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    deliver(rig.providers.take_calls());
    let mut stream = open(&rig);
    let told = told_to_end(&mut rig);
    let ids: Vec<String> = (0..40).map(|n| format!("m{n}")).collect();
    let all: Vec<u8> = ids.iter().flat_map(|id| request(&message(id))).collect();
    stream.write_all(&all).expect("written");
    for id in &ids {
        let is_last = Some(id) == ids.last();
        assert_eq!(next(&mut stream), (202, is_last), "{id}");
    }
    ends(&mut stream);
    ended_in_time(&mut rig, told);
}

/// The client writes again with the answer before it, and before it has seen that it is the last.
#[test]
fn a_request_that_crosses_the_last_answer_is_not_sent_on_and_resets_nothing() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    let told = told_to_end(&mut rig);
    let mut stream = written(&rig, &request(&message("m1")));
    assert_eq!(readable(&stream), 1);
    stream.write_all(&request(&message("m2"))).expect("written");
    rig.call().answer(Answer::Delivered);
    // Now its end is there as well.
    rig.quiet(50 * MS);
    assert_eq!(next(&mut stream), (202, true));
    ends(&mut stream);
    ended_in_time(&mut rig, told);
    rig.quiet(10 * MS);
}

#[test]
fn a_connection_that_has_not_spoken_when_the_ports_close_is_served() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    let told = told_to_end(&mut rig);
    let mut stream = open(&rig);
    rig.program.says(CLOSED);
    stream.write_all(&request(&message("m1"))).expect("written");
    assert_eq!(next(&mut stream), (202, true));
    rig.call().answer(Answer::Delivered);
    ends(&mut stream);
    ended_in_time(&mut rig, told);
}

/// The system has accepted them, the program has not: closed with its port, they would be reset.
#[test]
fn who_has_connected_when_the_ports_close_is_served() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    deliver(rig.providers.take_calls());
    let told = told_to_end(&mut rig);
    rig.program.signal("STOP");
    let mut clients: Vec<_> = (0..30).map(|n| written(&rig, &request(&message(&format!("m{n}"))))).collect();
    // It wakes after the time to close its ports.
    thread::sleep((told + 700 * MS).saturating_duration_since(Instant::now()));
    rig.program.signal("CONT");
    for (n, stream) in clients.iter_mut().enumerate() {
        assert_eq!(next(stream), (202, true), "m{n}");
        ends(stream);
    }
    ended_in_time(&mut rig, told);
}

#[test]
fn further_signals_to_end_change_nothing() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.take_on(&message("m1"));
    let first = rig.call();
    let told = told_to_end(&mut rig);
    for (n, signal) in ["TERM", "INT", "TERM"].into_iter().enumerate() {
        rig.program.signal(signal);
        let mut stream = written(&rig, &request(&message(&format!("after-{n}"))));
        assert_eq!(next(&mut stream), (202, true));
        rig.call().answer(Answer::Delivered);
    }
    first.answer(Answer::Delivered);
    rig.program.says("m1: p Ok");
    ended_in_time(&mut rig, told);
}

#[test]
fn a_hangup_after_the_signal_to_end_still_moves_discovery() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.take_on(&Message { left: Duration::from_secs(2), ..message("m1") });
    let call = rig.call();
    let told = told_to_end(&mut rig);
    // The old address hears nothing any more.
    rig.discovery.be_deaf(usize::MAX);
    let next = crate::discovery::Discovery::start_from(rig.discovery.rev() + 1, rig.discovery.targets());
    let _old = rig.move_discovery(next);
    rig.program.says("configuration read again");
    call.answer(Answer::Full(Some(5000)));
    assert!(matches!(rig.end("m1"), End::Deferred(_)));
    ended_in_time(&mut rig, told);
}

/// So many connections that bring these bytes, before the program sees the first of them.
fn at_once(rig: &Rig<Http>, count: usize, bytes: impl Fn(usize) -> Vec<u8>) -> Vec<TcpStream> {
    rig.program.signal("STOP");
    let streams = (0..count).map(|n| written(rig, &bytes(n))).collect();
    rig.program.signal("CONT");
    streams
}

/// A place that is wanted is taken from a request that does not get on: its client hears a refusal.
#[test]
fn a_request_whose_place_goes_to_another_is_refused_in_words() {
    let rig = Rig::<Http>::start_narrow(&[("p", "a")], 64);
    let whole = request(&message("m1"));
    let stuck = at_once(&rig, 40, |_| whole[..60].to_vec());
    until("nobody has a place", || Http { address: rig.address }.ask(&whole).is_some_and(|a| a.0 == 202));
    rig.call().answer(Answer::Delivered);
    let mut refused = 0;
    for mut stream in stuck {
        let said = String::from_utf8(rest(&mut stream)).expect("text");
        assert!(said.starts_with("HTTP/1.1 503 ") || said.starts_with("HTTP/1.1 408 "), "{said:?}");
        refused += usize::from(said.starts_with("HTTP/1.1 503 "));
    }
    assert!(refused > 0);
    rig.finish(&["m1"]);
}

/// More come at once than are told one by one: those that are told without waiting hear it all the same.
#[test]
fn a_crowd_that_finds_no_place_is_refused_in_words_and_never_by_a_reset() {
    let text = format!("[limits]\nsockets = 64\n[door]\nwhen_full = \"refuse\"\n{}", settings(100));
    let mut rig = Rig::<Http>::start_by(&[("p", "a")], text);
    let body = vec![7; 9000];
    let crowd = at_once(&rig, 100, |n| match n {
        0..=30 => b"POST /event HTTP/1.1\r\nHost: a".to_vec(),
        _ => request(&Message { body: body.clone(), ..message(&format!("m{n}")) }),
    });
    for (n, mut stream) in crowd.into_iter().enumerate() {
        let (status, _) = next(&mut stream);
        assert!(matches!(status, 202 | 408 | 503), "{n}: {status}");
        stream.shutdown(Shutdown::Write).expect("open");
        ends(&mut stream);
    }
    deliver(rig.providers.take_calls());
    rig.program.terminate();
    assert!(rig.program.ended().success());
}

/// Sends until told to stop, as fast as the other side takes it, and reads what comes if it is to.
fn flood(mut stream: TcpStream, bytes: &[u8], reads: bool, stop: &AtomicBool) {
    let mut reader = stream.try_clone().expect("a socket");
    thread::scope(|scope| {
        if reads {
            scope.spawn(move || while reader.read(&mut [0; 64 * 1024]).is_ok_and(|n| n > 0) {});
        }
        let many = bytes.repeat(64 * 1024 / bytes.len());
        while !stop.load(Ordering::Relaxed) && stream.write_all(&many).is_ok() {}
        let _ = stream.shutdown(Shutdown::Both);
    });
}

/// Dropped, also by a panic, it tells threads to stop.
struct Stops<'a>(&'a AtomicBool);

impl Drop for Stops<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Of what one connection brings without end, the others' requests wait for one at the most.
#[test]
fn many_requests_at_once_on_one_connection_keep_nobody_waiting_nor_the_process_from_its_end() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    deliver(rig.providers.take_calls());
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stops = Stops(&stop);
        let up: &[u8] = b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n";
        // One whose client reads, one whose answers are stuck, and one of empty lines.
        for (bytes, reads) in [(up, true), (up, false), (b"\r\n".as_slice(), true)] {
            let (stream, stop) = (open(&rig), &stop);
            scope.spawn(move || flood(stream, bytes, reads, stop));
        }
        let begun = Instant::now();
        for n in 0.. {
            let asked = Instant::now();
            let mut stream = written(&rig, &request(&message(&format!("m{n}"))));
            assert_eq!(next(&mut stream).0, 202);
            assert!(asked.elapsed() < PATIENCE, "m{n} waited {:?}", asked.elapsed());
            if begun.elapsed() > Duration::from_secs(1) {
                break;
            }
        }
        let told = told_to_end(&mut rig);
        ended_in_time(&mut rig, told);
    });
}

/// With a close, a reset and the end of its own sending, after each byte.
#[test]
fn clients_that_leave_after_any_byte_harm_nobody() {
    let mut rig = Rig::<Http>::start_with(&[("p", "a")], 400);
    deliver(rig.providers.take_calls());
    let whole = request(&message("m000"));
    for cut in 0..whole.len() {
        let left = written(&rig, &whole[..cut]);
        if cut % 2 == 0 {
            set_socket_linger(&left, Some(Duration::ZERO)).expect("set");
        }
        drop(left);
        let mut half = written(&rig, &whole[..cut]);
        half.shutdown(Shutdown::Write).expect("open");
        ends(&mut half);
    }
    let mut half = written(&rig, &whole);
    half.shutdown(Shutdown::Write).expect("open");
    assert_eq!(next(&mut half), (202, false));
    ends(&mut half);
    rig.take_on(&message("m1"));
    rig.program.says("m1: p Ok");
    rig.finish(&["m1"]);
}

#[test]
fn requests_in_every_form_of_http_are_taken_on_whole_or_byte_by_byte() {
    let mut rig = Rig::<Http>::start_with(&[("p", "a")], 400);
    deliver(rig.providers.take_calls());
    let plain = |n: usize| {
        String::from_utf8(request(&Message { body: b"hi".to_vec(), ..message(&format!("m{n:02}")) }))
            .expect("text")
    };
    type Form = fn(String) -> String;
    let forms: [Form; 13] = [
        |r| r,
        |r| r.replace("X-Txn", "x-txn").replace("Content-Length", "CONTENT-LENGTH"),
        |r| r.replace(": ", ":"),
        |r| r.replace(": ", ": \t ").replace("dest=7", "dest=7 \t"),
        |r| r.replace("POST /event ", "POST /event/now?a=1 "),
        |r| r.replace("POST /event ", "POST http://app.svc/event "),
        |r| r.replace("POST /event ", "POST HTTP://app.svc:80/event?a=1 "),
        |r| r.replace("X-Lane: event\r\n", ""),
        |r| r.replace("HTTP/1.1", "HTTP/1.0"),
        |r| r.replace("Host: app.svc\r\n", "Host: app.svc\r\nConnection: Close\r\n"),
        |r| r.replace("Host: app.svc\r\n", "Host: app.svc\r\nConnection: keep-alive\r\n"),
        |r| format!("\r\n{r}\r\n"),
        |r| r.replace("\r\n", "\n"),
    ];
    for (form, make) in forms.iter().enumerate() {
        for by_byte in [false, true] {
            let bytes = make(plain(2 * form + usize::from(by_byte)));
            let mut stream = open(&rig);
            stream.set_nodelay(true).expect("set");
            let size = if by_byte { 1 } else { bytes.len() };
            bytes.as_bytes().chunks(size).for_each(|part| stream.write_all(part).expect("written"));
            let (status, last) = next(&mut stream);
            assert_eq!(status, 202, "{bytes}");
            assert_eq!(last, bytes.contains("Close") || bytes.contains("HTTP/1.0"), "{bytes}");
            if bytes.ends_with("hi\r\n") {
                // Nothing behind it counts as a request that has begun.
                ends(&mut stream);
            }
        }
    }
    let waits = request(&message("waits"));
    let at = waits.len() - message("waits").body.len();
    let head = String::from_utf8(waits[..at].to_vec()).expect("text");
    let mut stream = written(&rig, head.replace("Host:", "Expect: 100-Continue\r\nHost:").as_bytes());
    assert_eq!(next(&mut stream).0, 100);
    stream.write_all(&waits[at..]).expect("written");
    assert_eq!(next(&mut stream).0, 202);
    rig.program.says("waits: p Ok");
    rig.program.terminate();
    assert!(rig.program.ended().success());
}

/// Connections that say nothing, as many as there can be, and others for those that were closed.
fn crowd(address: std::net::SocketAddr, stop: &AtomicBool) {
    let mut idle: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        idle.retain(|s| {
            s.set_nonblocking(true).expect("set");
            matches!(s.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
        });
        while idle.len() < 200 {
            let Ok(stream) = TcpStream::connect(address) else { break };
            idle.push(stream);
        }
        thread::sleep(MS);
    }
}

/// What the program's own work needs is kept from clients: the directory, the journal, calls.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_nobody_from_discovery_that_comes_back() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.program.kill();
    rig.start_bounded("-n", 64);
    rig.take_on(&message("m1"));
    let first = rig.call();
    rig.discovery.be_down(true);
    rig.program.says("watch:");
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _stops = Stops(&stop);
        let (address, asked) = (rig.address, rig.discovery.asked().len());
        let stop = &stop;
        scope.spawn(move || crowd(address, stop));
        // It is full, and its own asks fail for another reason.
        rig.program.says("watch:");
        rig.add_provider("q", "a");
        rig.discovery.be_down(false);
        until("discovery is asked", || rig.discovery.asked().len() > asked);
        rig.program.says("provider q ");
        first.answer(Answer::Error);
        rig.call().answer(Answer::Delivered);
        rig.program.says("m1: ");
        until("m2 finds no place", || {
            Http { address }.ask(&request(&message("m2"))).is_some_and(|a| a.0 == 202)
        });
        rig.call().answer(Answer::Delivered);
        rig.program.says("m2: ");
    });
    let log = rig.program.log();
    assert!(!log.contains("Too many open files"), "{log}");
    rig.finish(&["m1", "m2"]);
}
