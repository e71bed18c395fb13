//! Calls by HTTP over real sockets, against a stand-in that does one thing after another: each event that can cross with
//! another is brought about at its exact byte.

use async_executor::LocalExecutor;
use futures_lite::{future, Future};
use raildeal::core::directory::{Entry, Provider};
use raildeal::core::wheel::Wheel;
use raildeal::core::{Envelope, Invoker, InvokerCall, Report};
use raildeal::net::calls::{Calls, Dialect, Heard, Read as HowFar};
use raildeal::net::platform::providers::Poster;
use raildeal::net::stream::Stream;
use raildeal::{Condition, Endpoint, Outcome};
use rustix::net::sockopt::{set_socket_linger, set_socket_timeout, Timeout};
use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const PATIENCE: Duration = Duration::from_secs(20);
/// An attempt whose time plays no part.
const LONG: Duration = Duration::from_secs(10);

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const ERROR: &str = "HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nno";
const FULL: &str = "HTTP/1.1 429 Slow\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 2\r\n\r\nno";

/// The provider's side of a connection.
struct Side(TcpStream);

impl Side {
    fn accept(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().expect("a connection in time");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream.set_nodelay(true).expect("an option");
        Side(stream)
    }

    /// Reads one request and gives the id in it.
    fn request(&mut self) -> String {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            self.0.read_exact(&mut byte).expect("a request");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("text");
        let field =
            |name| head.split(name).nth(1).and_then(|rest| rest.split("\r\n").next()).expect("a field");
        let mut body = vec![0; field("Content-Length: ").parse().expect("a number")];
        self.0.read_exact(&mut body).expect("a body");
        field("X-Txn: ").to_string()
    }

    fn say(&mut self, bytes: &str) {
        self.0.write_all(bytes.as_bytes()).expect("written");
    }

    fn serve(&mut self, answer: &str) {
        self.request();
        self.say(answer);
    }

    /// Ends the connection with a reset.
    fn reset(self) {
        set_socket_linger(&self.0, Some(Duration::ZERO)).expect("an option");
    }

    /// Waits for the other side's end of it, with no byte before.
    fn ended(mut self) {
        let mut rest = Vec::new();
        let read = self.0.read_to_end(&mut rest);
        let reset = read.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::ConnectionReset);
        assert!(reset || read.is_ok(), "{read:?}");
        assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
    }
}

/// A sender's connections, and a stand-in that is another thread.
struct Caller<D: Dialect> {
    calls: Rc<Calls<D>>,
    wheel: Rc<Wheel>,
    provider: Rc<Provider>,
    script: thread::JoinHandle<()>,
    /// The waits that were told, and who hears of them.
    waits: (Sender<Duration>, Receiver<Duration>),
}

fn poster() -> Poster {
    Poster { columns: Vec::new() }
}

fn caller(script: impl FnOnce(TcpListener) + Send + 'static) -> Caller<Poster> {
    caller_by(poster(), Wheel::new(), LONG, script)
}

fn caller_by<D: Dialect>(
    dialect: D,
    wheel: Rc<Wheel>,
    connect: Duration,
    script: impl FnOnce(TcpListener) + Send + 'static,
) -> Caller<D> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    set_socket_timeout(&listener, Timeout::Recv, Some(PATIENCE)).expect("an option");
    let entry = Entry {
        uid: "p".into(),
        address: listener.local_addr().expect("an address"),
        zone: "a".into(),
        kind: "k".into(),
        dest: 1,
        condition: Condition::Ready,
        rate: 1.0,
    };
    let endpoint = Endpoint { addr: [0, 0, 0, 1], port: 0 };
    Caller {
        calls: Calls::new(dialect, wheel.clone(), connect, LONG, 100),
        wheel,
        provider: Rc::new(Provider { endpoint, entry, zone: 0, kind: 0 }),
        script: thread::spawn(|| script(listener)),
        waits: channel(),
    }
}

impl<D: Dialect> Caller<D> {
    /// Makes a call, and whatever else there is to do meanwhile.
    fn call_while(
        &self,
        time: Duration,
        go: &dyn Fn() -> bool,
        meanwhile: impl Future<Output = ()>,
    ) -> Report {
        let envelope = Envelope { id: "m".into(), body: b"body".to_vec(), ..Envelope::default() };
        let told_wait = |wait| self.waits.0.send(wait).expect("heard");
        let provider = self.provider.clone();
        let call = InvokerCall { provider, envelope: &envelope, timeout: time, go, told_wait: &told_wait };
        let (executor, wheel) = (LocalExecutor::new(), self.wheel.clone());
        executor.spawn(async move { wheel.turn().await }).detach();
        let both = future::zip(self.calls.call(call), meanwhile);
        async_io::block_on(executor.run(both)).0
    }

    fn call(&self, time: Duration) -> Outcome {
        self.call_while(time, &|| true, async {}).outcome
    }

    /// Waits until the script has come to its end.
    fn done(self) {
        drop(self.calls);
        self.script.join().expect("the script is played");
    }
}

/// What comes of a call that gets these bytes, and whether its connection is used for the next one.
fn answered(bytes: String) -> (Outcome, bool) {
    let (tell, told) = channel();
    let caller = caller(move |listener| {
        let mut first = Side::accept(&listener);
        first.serve(&bytes);
        // The next call comes on one or the other.
        first.0.set_nonblocking(true).expect("an option");
        listener.set_nonblocking(true).expect("an option");
        let end = Instant::now() + PATIENCE;
        let (mut next, same) = loop {
            assert!(Instant::now() < end, "no next call");
            match (first.0.peek(&mut [0]), listener.accept()) {
                (Ok(1..), _) => break (first, true),
                (_, Ok((stream, _))) => break (Side(stream), false),
                _ => thread::yield_now(),
            }
        };
        tell.send(same).expect("heard");
        next.0.set_nonblocking(false).expect("an option");
        next.serve(OK);
    });
    let outcome = caller.call(LONG);
    assert_eq!(caller.call(LONG), Outcome::Ok);
    caller.done();
    (outcome, told.recv().expect("the next call's connection"))
}

#[test]
fn an_answer_cut_at_any_byte_counts_by_what_was_surely_said() {
    let first_line = OK.find('\n').expect("a line") + 1;
    for (answer, whole) in
        [(OK, Outcome::Ok), (ERROR, Outcome::Error), (FULL, Outcome::Full { wait: 700_000_000 })]
    {
        for resets in [false, true] {
            let caller = caller(move |listener| {
                for cut in 0..=answer.len() {
                    let mut side = Side::accept(&listener);
                    side.serve(&answer[..cut]);
                    if resets {
                        side.reset();
                    }
                }
            });
            for cut in 0..=answer.len() {
                let expected = match cut {
                    _ if cut == answer.len() => whole,
                    0 => Outcome::Reset,
                    _ if whole == Outcome::Ok && cut >= first_line => Outcome::Ok,
                    _ => Outcome::Error,
                };
                let came = caller.call(LONG);
                // What the system drops at a reset was never there to be read.
                let dropped = resets && came == Outcome::Reset;
                assert!(came == expected || dropped, "{came:?} at byte {cut} of {answer:?}");
            }
            caller.done();
        }
    }
}

#[test]
fn the_end_of_an_answer_is_where_it_says_and_what_is_not_clear_ends_its_connection() {
    let body = |head: &str, body: &str| format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}");
    let error = |head: &str, body: &str| format!("HTTP/1.1 500 Oh\r\n{head}\r\n\r\n{body}");
    for (bytes, outcome, kept) in [
        (body("Content-Length: 2", "ok"), Outcome::Ok, true),
        (body("Content-Length: 2\r\nContent-Length: 2", "ok"), Outcome::Ok, true),
        (body("Content-Length: 2\r\nContent-Length: 3", "ok"), Outcome::Ok, false),
        (error("Content-Length: 2\r\nContent-Length: 3", "no"), Outcome::Error, false),
        (body("Content-Length: 2", "ok\r\n"), Outcome::Ok, false),
        (body("Content-Length: 2", "okHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), Outcome::Ok, false),
        (body("Transfer-Encoding: chunked", "2;a=b\r\nok\r\n0\r\nT: x\r\n\r\n"), Outcome::Ok, true),
        (body("Transfer-Encoding: chunked", "2\r\nok"), Outcome::Ok, false),
        (error("Transfer-Encoding: chunked", "2\r\nnot two\r\n0\r\n\r\n"), Outcome::Error, false),
        // Told in two ways, or in one that is not known.
        (body("Transfer-Encoding: chunked\r\nContent-Length: 9", "2\r\nok\r\n0\r\n\r\n"), Outcome::Ok, false),
        (body("Transfer-Encoding: gzip\r\nContent-Length: 2", "ok"), Outcome::Ok, false),
        (body("Connection: close\r\nContent-Length: 2", "ok"), Outcome::Ok, false),
        (body("Server: s", "to the end"), Outcome::Ok, false),
        ("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok".into(), Outcome::Ok, false),
        (
            "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into(),
            Outcome::Error,
            true,
        ),
        ("HTTP/1.1 20".into(), Outcome::Error, false),
        (
            format!("HTTP/1.1 503 Busy\r\nContent-Length: 90000\r\n\r\n{}", "x".repeat(90_000)),
            Outcome::Error,
            false,
        ),
    ] {
        let shown = bytes[..bytes.len().min(90)].to_string();
        assert_eq!(answered(bytes), (outcome, kept), "{shown:?}");
    }
}

#[test]
fn an_answer_without_end_ends_with_its_attempt() {
    for (piece, pause) in [
        // Each announces another and begins the next one: the connection is never silent, and never between two.
        ("TP/1.1 100 Go on\r\n\r\nHT", 200 * MS),
        ("TP/1.1 100 Go on\r\n\r\nHT", MS),
        ("X: y\r\n", MS),
        ("1\r\na\r\n", MS),
        ("a", 20 * MS),
    ] {
        for start in ["HT", "HTTP/1.1 500 Oh\r\n", "HTTP/1.1 500 Oh\r\nTransfer-Encoding: chunked\r\n\r\n"] {
            let caller = trickle_from(start, piece, pause);
            let begun = Instant::now();
            let outcome = caller.call(400 * MS);
            let took = begun.elapsed();
            assert_eq!(outcome, Outcome::Error, "{start:?} {piece:?}");
            assert!(took < 900 * MS, "{took:?} for 400 ms: {start:?} {piece:?}");
            caller.done();
        }
    }
}

fn trickle_from(start: &'static str, piece: &'static str, pause: Duration) -> Caller<Poster> {
    caller(move |listener| {
        let mut side = Side::accept(&listener);
        side.serve(start);
        // At its own pace, until the other side is gone.
        while side.0.write_all(piece.as_bytes()).is_ok() {
            thread::sleep(pause);
        }
    })
}

#[test]
fn an_answer_whose_last_byte_comes_beside_the_timer_counts() {
    let (read, asked) = async_channel::bounded(1);
    let (wrote, written) = channel();
    let caller = caller(move |listener| {
        let mut side = Side::accept(&listener);
        side.request();
        read.send_blocking(()).expect("heard");
        side.say(OK);
        wrote.send(()).expect("heard");
        side.serve(OK);
    });
    // Nobody else has a turn from before the answer until the attempt's time is over: both are there at once.
    let time = 300 * MS;
    let begun = Instant::now();
    let stands_still = async move {
        asked.recv().await.expect("the request is read");
        written.recv().expect("the answer is written");
        thread::sleep((time + 50 * MS).saturating_sub(begun.elapsed()));
    };
    assert_eq!(caller.call_while(time, &|| true, stands_still).outcome, Outcome::Ok);
    assert!(begun.elapsed() > time);
    assert_eq!(caller.call(LONG), Outcome::Ok);
    caller.done();
}

#[test]
fn a_call_that_timed_out_has_closed_its_connection_when_it_is_reported() {
    let (ask, asked) = channel::<()>();
    let (tell, told) = channel();
    let caller = caller(move |listener| {
        let mut side = Side::accept(&listener);
        side.request();
        asked.recv().expect("the report");
        side.0.set_nonblocking(true).expect("an option");
        tell.send(side.0.read(&mut [0]).map_err(|e| e.kind())).expect("heard");
        // Its late answer finds nobody, and the next call is another connection's.
        let _ = side.0.write_all(OK.as_bytes());
        Side::accept(&listener).serve(ERROR);
    });
    assert_eq!(caller.call(150 * MS), Outcome::Timeout);
    ask.send(()).expect("asked");
    assert_eq!(told.recv().expect("told"), Ok(0));
    assert_eq!(caller.call(LONG), Outcome::Error);
    caller.done();
}

/// What can come on a connection that carries no call, and how it ends the call that would have taken it.
fn spoil(mut side: Side, how: &str) -> Option<Side> {
    match how {
        "closed" => None,
        "reset" => {
            side.reset();
            None
        }
        bytes => {
            side.say(bytes);
            Some(side)
        }
    }
}

/// Each of them: half a line, and whole answers to nothing.
const SPOILT: [&str; 5] = ["closed", "reset", "HTTP/1.1 20", "\r\n", OK];

#[test]
fn what_comes_on_an_idle_connection_ends_it_and_harms_no_call() {
    for how in SPOILT {
        let (tell, told) = channel();
        let caller = caller(move |listener| {
            let mut side = Side::accept(&listener);
            side.serve(OK);
            let held = spoil(side, how);
            tell.send(()).expect("heard");
            Side::accept(&listener).serve(ERROR);
            held.into_iter().for_each(Side::ended);
        });
        assert_eq!(caller.call(LONG), Outcome::Ok);
        told.recv().expect("it is spoilt");
        assert_eq!(caller.call(LONG), Outcome::Error, "{how:?}");
        caller.done();
    }
}

#[test]
fn what_comes_on_a_connection_in_the_moment_of_its_reuse_costs_no_attempt() {
    for how in SPOILT {
        let (go, gone) = channel::<()>();
        let (tell, told) = channel::<()>();
        let caller = caller(move |listener| {
            let mut side = Side::accept(&listener);
            side.serve(OK);
            gone.recv().expect("the call is let go");
            let held = spoil(side, how);
            tell.send(()).expect("heard");
            Side::accept(&listener).serve(ERROR);
            held.into_iter().for_each(Side::ended);
        });
        assert_eq!(caller.call(LONG), Outcome::Ok);
        let asked = Cell::new(0);
        let lets_go = || {
            asked.set(asked.get() + 1);
            if asked.get() == 1 {
                go.send(()).expect("heard");
                told.recv().expect("it is spoilt");
            }
            true
        };
        let report = caller.call_while(LONG, &lets_go, async {});
        // The stand-in's own answer to the call, on a connection of its own.
        assert_eq!((report.outcome, asked.get()), (Outcome::Error, 2), "{how:?}");
        caller.done();
    }
}

#[test]
fn a_new_connection_that_is_ended_before_the_call_goes_has_carried_none() {
    for resets in [false, true] {
        let (go, gone) = channel::<()>();
        let (tell, told) = channel::<()>();
        let caller = caller(move |listener| {
            let side = Side::accept(&listener);
            gone.recv().expect("the call is let go");
            if resets {
                side.reset();
            } else {
                drop(side);
            }
            tell.send(()).expect("heard");
        });
        let lets_go = || {
            go.send(()).expect("heard");
            told.recv().is_ok()
        };
        let report = caller.call_while(LONG, &lets_go, async {});
        assert_eq!(report.outcome, Outcome::ConnectFailed);
        caller.done();
    }
}

#[test]
fn an_answer_that_was_there_before_its_call_is_heard() {
    let (go, gone) = channel::<()>();
    let (tell, told) = channel::<()>();
    let caller = caller(move |listener| {
        let mut side = Side::accept(&listener);
        gone.recv().expect("the call is let go");
        // One connection too many, say.
        side.say("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        tell.send(()).expect("heard");
        side.request();
    });
    let lets_go = || {
        go.send(()).expect("heard");
        told.recv().is_ok()
    };
    let report = caller.call_while(LONG, &lets_go, async {});
    assert_eq!(report.outcome, Outcome::Full { wait: 0 });
    caller.done();
}

#[test]
fn a_call_that_may_not_go_any_more_when_its_connection_was_spoilt_is_not_sent() {
    let (go, gone) = channel::<()>();
    let (tell, told) = channel::<()>();
    let caller = caller(move |listener| {
        let mut side = Side::accept(&listener);
        side.serve(OK);
        gone.recv().expect("the call is let go");
        drop(side);
        tell.send(()).expect("heard");
        Side::accept(&listener).ended();
    });
    assert_eq!(caller.call(LONG), Outcome::Ok);
    let asked = Cell::new(0);
    let lets_go = || {
        asked.set(asked.get() + 1);
        if asked.get() == 1 {
            go.send(()).expect("heard");
            told.recv().expect("it is closed");
        }
        asked.get() == 1
    };
    assert_eq!(caller.call_while(LONG, &lets_go, async {}).outcome, Outcome::Moot);
    caller.done();
}

#[test]
fn a_wait_counts_from_the_head_that_tells_it() {
    let (tell, told) = channel();
    let mut caller = caller(move |listener| {
        let mut side = Side::accept(&listener);
        side.serve(&FULL[..FULL.len() - 2]);
        assert_eq!(told.recv_timeout(PATIENCE).expect("the wait is noted"), 700 * MS);
        side.say("no");
    });
    caller.waits.0 = tell;
    assert_eq!(caller.call(LONG), Outcome::Full { wait: 700_000_000 });
    caller.done();
}

/// Its connections do not come up in time.
struct Slow(Poster, Rc<Wheel>);

impl Dialect for Slow {
    async fn greet(&self, _: &mut Stream) -> io::Result<Option<Duration>> {
        self.1.sleep(LONG).await;
        Ok(None)
    }

    fn request(&self, provider: &Provider, envelope: &Envelope, left: Duration) -> io::Result<Vec<u8>> {
        self.0.request(provider, envelope, left)
    }

    async fn answer(&self, stream: &mut Stream, heard: &mut Heard<'_>) -> io::Result<HowFar> {
        self.0.answer(stream, heard).await
    }
}

#[test]
fn a_call_with_no_time_left_for_an_answer_is_not_sent_and_leaves_its_connection_to_the_next() {
    let (sent, gone) = channel();
    let caller = caller(move |listener| {
        let mut side = Side::accept(&listener);
        side.serve(OK);
        side.request();
        sent.send(Instant::now()).expect("heard");
        side.say(OK);
        side.ended();
    });
    assert_eq!(caller.call(LONG), Outcome::Ok);
    assert_eq!(caller.call(95 * MS), Outcome::Moot);
    let third = Instant::now();
    assert_eq!(caller.call(LONG), Outcome::Ok);
    assert!(gone.recv().expect("a request") >= third);
    caller.done();
}

#[test]
fn a_connection_that_comes_up_too_late_is_closed_before_the_report_and_never_used() {
    let (report, reported): (_, Receiver<()>) = channel();
    let wheel = Wheel::new();
    let caller = caller_by(Slow(poster(), wheel.clone()), wheel, 100 * MS, move |listener| {
        let side = Side::accept(&listener);
        reported.recv().expect("the report");
        side.0.set_nonblocking(true).expect("an option");
        side.ended();
    });
    assert_eq!(caller.call(LONG), Outcome::ConnectFailed);
    report.send(()).expect("heard");
    assert_eq!(caller.calls.idle(), 0);
    caller.done();
}
