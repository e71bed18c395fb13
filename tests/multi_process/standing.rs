//! The standing test's own matters, without its bench: restarts with connections open, and lists
//! that nobody brings.

use raildeal_test_harness::directory::Directory;
use raildeal_test_harness::limits::{Death, Terms};
use raildeal_test_harness::partner::Partner;
use raildeal_test_harness::record::{Record, Verdict};
use raildeal_test_harness::relay::Relay;
use raildeal_test_harness::sender::Sender;
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SENDERS: usize = 12;
const DESTS: usize = 10;
/// Two for each destination, so that none is left without one when the first ones drain.
const ENDPOINTS: usize = 20;
/// Two of equal worth.
const CLASSES: [&str; 2] = ["event", "slip"];
/// Those that drain.
const DRAINING: usize = 5;
const LEFT: Duration = Duration::from_secs(8);
/// Between SIGTERM and SIGKILL, by the protocol.
const TERM_TO_KILL: Duration = Duration::from_millis(3_700);
/// New connections keep coming so long after SIGTERM, by the protocol.
const STILL_COMING: Duration = Duration::from_millis(400);
/// Clients of the page wait for 400 ms; a machine that runs much else at once may need longer.
const ANSWER: Duration = Duration::from_secs(2);

pub(super) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn settings(shape: &Shape) -> Value {
    json!({
        "balancers": shape.senders, "discovery": "subscribe", "kinds": ["hook"], "localities": ["a"],
        "weights": shape.weights,
        "categories": CLASSES.map(|name| json!({"name": name, "promise": 3_000_000_000u64, "deadline": 8_000_000_000u64,
            "effect": "token", "dedupScope": "zone", "window": 5_000_000_000u64, "points": 1.0, "lateWorth": 0.5})),
        "familyInfo": {"maxCalls": 12, "kindApart": [true], "kindBatch": [1], "losesWorth": "halving"},
        "limits": {"maxAttempts": 12, "openCap": 100, "retryAfter": true, "maxRetryAfter": 2_000_000_000u64,
            "idleClose": 15_000_000_000u64, "connectTimeout": 1_500_000_000u64},
        "rules": {"coldShare": 0.23, "warmAfter": 13_000_000_000u64, "overloadFactor": 2.0,
            "overloadFor": 3_000_000_000u64, "mustAskIn": 10_000_000_000u64}
    })
}

/// How many there are of what, and what the list's rates are said to be worth.
#[derive(Clone, Copy)]
pub(super) struct Shape {
    pub senders: usize,
    pub dests: usize,
    pub endpoints: usize,
    pub weights: &'static str,
}

const USUAL: Shape = Shape {
    senders: SENDERS,
    dests: DESTS,
    endpoints: ENDPOINTS,
    weights: "rough",
};

pub(super) struct Fleet {
    pub record: Arc<Record>,
    shape: Shape,
    directory: Directory,
    pub partners: Vec<Partner>,
    senders: Vec<Sender>,
    /// Each sender's line to the directory, by which that knows who asks.
    _lines: Vec<Relay>,
    handed: usize,
}

impl Fleet {
    fn start(call: Duration) -> Fleet {
        Fleet::with(call, Terms::default())
    }

    fn with(call: Duration, terms: Terms) -> Fleet {
        Fleet::of(USUAL, call, terms)
    }

    pub fn of(shape: Shape, call: Duration, terms: Terms) -> Fleet {
        let record = Arc::<Record>::default();
        let partner = |n: usize| Partner::start(&format!("s{n}"), call, terms, record.clone());
        let partners: Vec<Partner> = (0..shape.endpoints)
            .map(|n| partner(n).expect("an endpoint"))
            .collect();
        let target = |(n, partner): (usize, &Partner)| {
            json!({"uid": format!("s{n}"), "endpoint": partner.address(), "az": "a", "model": "hook",
                "pod_group": n % shape.dests, "state": "active", "capacity_hint": terms.listed, "boot_ms": 0})
        };
        let targets: Vec<Value> = partners.iter().enumerate().map(target).collect();
        let directory =
            Directory::start(ms(5), targets.clone(), record.clone()).expect("a directory");
        let (mut senders, mut lines) = (Vec::new(), Vec::new());
        for n in 0..shape.senders {
            let (name, line) = (
                format!("n{n}"),
                Relay::start(directory.address).expect("a line"),
            );
            directory.names(line.address.port(), &name);
            let config = json!({"listen": "127.0.0.1:0", "discovery": line.address, "seed": format!("{n:016x}"),
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 3},
                "known": {"rev": 1, "all": true, "targets": targets}, "settings": settings(&shape)});
            let program = Path::new(env!("CARGO_BIN_EXE_raildeal"));
            senders.push(Sender::new(program, name, config).expect("a folder"));
            lines.push(line);
        }
        let mut fleet = Fleet {
            record,
            shape,
            directory,
            partners,
            senders,
            _lines: lines,
            handed: 0,
        };
        fleet.starts(0..shape.senders);
        fleet
    }

    fn starts(&mut self, which: impl Iterator<Item = usize> + Clone) {
        for n in which.clone() {
            self.record.starts(&self.senders[n].name);
            self.senders[n].spawn().expect("started");
        }
        which.for_each(|n| self.senders[n].listens().expect("up"));
    }

    fn drains(&self) {
        (0..DRAINING).for_each(|n| self.directory.change(&format!("s{n}"), "leaving"));
    }

    /// Hands forty messages a second in for a while, and looks how late this machine is.
    pub fn hands_in(&mut self, lasts: Duration) {
        const STEP: Duration = ms(25);
        let Shape { senders, dests, .. } = self.shape;
        let (end, mut clients) = (Instant::now() + lasts, Vec::new());
        while Instant::now() < end {
            let sender = &self.senders[self.handed % senders];
            let (log, name, record) = (sender.log(), sender.name.clone(), self.record.clone());
            // Each sender comes to each destination.
            let (id, dest) = (format!("m{}", self.handed), self.handed / senders % dests);
            clients.push(thread::spawn(move || {
                log.hand_in(&name, &id, CLASSES[0], dest, LEFT, &record)
            }));
            self.handed += 1;
            let asleep = Instant::now();
            thread::sleep(STEP);
            let mut seen = self.record.seen();
            seen.lateness = seen.lateness.max(asleep.elapsed() - STEP);
        }
        clients.into_iter().for_each(|c| drop(c.join()));
    }

    /// Waits for the ends of all, and checks the rules.
    pub fn judge(&mut self, least: f64) {
        self.record.settle(LEFT + ms(2_000));
        let (verdict, (taken_on, delivered)) = (self.record.verdict(), self.record.ends());
        let seen = self.record.seen();
        assert_eq!(
            verdict,
            Verdict::default(),
            "{:?} {:?}",
            seen.breaches(),
            seen.twice
        );
        assert!(
            taken_on > 0 && delivered as f64 >= least * taken_on as f64,
            "{delivered} of {taken_on}"
        );
        drop(seen);
        assert!(self.senders.iter_mut().all(Sender::lives), "all run");
    }
}

#[test]
fn a_watch_and_an_ask_that_fall_silent_are_given_up_and_what_they_missed_is_obeyed() {
    let mut fleet = Fleet::start(ms(20));
    fleet.hands_in(ms(2_000));
    let asks = fleet.record.seen().asks;
    // What waits for a word is not called by the old list when the head of an answer is there.
    fleet.directory.lists_after(ms(400));
    fleet.directory.falls_silent(true);
    fleet.hands_in(ms(500));
    fleet.drains();
    fleet.hands_in(ms(8_500));
    let again = fleet.record.seen().asks - asks;
    assert!(
        again as usize >= SENDERS,
        "{again} asks of {SENDERS} that hear nothing"
    );
    let told = fleet.record.seen().told.len();
    fleet.directory.speaks();
    fleet.hands_in(ms(1_500));
    fleet.judge(0.9);
    assert!(fleet.record.seen().told.len() > told, "they are told again");
}

#[test]
fn what_is_pushed_counts_at_once_after_an_outage_and_from_the_first_moment_of_a_process() {
    let mut fleet = Fleet::start(ms(100));
    fleet.hands_in(ms(1_000));
    fleet.directory.down(true);
    fleet.hands_in(ms(1_000));
    // Nobody is told of it before the directory is back; by then a third are new processes with the
    // old list.
    fleet.drains();
    (0..SENDERS / 3).for_each(|n| fleet.senders[n].kill());
    fleet.directory.down(false);
    fleet.starts(0..SENDERS / 3);
    fleet.hands_in(ms(3_000));
    fleet.judge(0.9);
    let late = fleet.record.seen();
    assert!(
        late.told.len() >= SENDERS * 2,
        "all are told again: {}",
        late.told.len()
    );
}

/// What clients saw.
#[derive(Debug, Default)]
struct Fates {
    taken_on: AtomicUsize,
    refused: AtomicUsize,
    /// The connection had ended before the request was written whole, or nobody listened.
    ended: AtomicUsize,
    /// It ended on a kept connection just then; the request was sent once more.
    crossed: AtomicUsize,
    /// Answers that said that they are the last ones of their connections.
    last: AtomicUsize,
    /// A connection was closed with no answer to the one request that it brought, or none came.
    unanswered: AtomicUsize,
}

/// How a request over a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    TakenOn {
        last: bool,
    },
    Refused {
        last: bool,
    },
    /// The sender had closed it before the request's last byte was written.
    Ended,
    NoAnswer,
}

/// Sends a request over a connection, its last byte after `pause`, and reads the answer.
fn request(
    stream: &TcpStream,
    (class, id, dest): (&str, &str, usize),
    pause: Duration,
) -> io::Result<Fate> {
    stream.set_read_timeout(Some(ANSWER))?;
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Remaining: {}m\r\n\
         Idempotency-Key: key-of-{id}\r\nContent-Length: 2\r\nX-Addressing: dest={dest}\r\n\r\nh",
        LEFT.as_millis()
    );
    if (&*stream).write_all(head.as_bytes()).is_err() || {
        thread::sleep(pause);
        has_ended(stream)
    } {
        return Ok(Fate::Ended);
    }
    if (&*stream).write_all(b"i").is_err() {
        return Ok(Fate::Ended);
    }
    let (mut reader, mut first, mut last) = (BufReader::new(stream), String::new(), false);
    if !matches!(reader.read_line(&mut first), Ok(1..)) {
        return Ok(Fate::NoAnswer);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? <= 2 {
            break;
        }
        last |= line.eq_ignore_ascii_case("connection: close\r\n");
    }
    Ok(if first.contains(" 202 ") || first.contains(" 200 ") {
        Fate::TakenOn { last }
    } else {
        Fate::Refused { last }
    })
}

/// Whether the other side has closed a connection.
fn has_ended(stream: &TcpStream) -> bool {
    let look = || {
        stream.set_nonblocking(true)?;
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        seen
    };
    !matches!(look(), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// A client that keeps its connection and hands one message after another in until `until`; from
/// `no_more` on it opens no other connection than for a request that was crossed.
fn client(
    sender: (SocketAddr, &str),
    client: usize,
    (no_more, until): (Instant, Instant),
    record: &Record,
    fates: &Fates,
) {
    let count = |n: &AtomicUsize| _ = n.fetch_add(1, Ordering::SeqCst);
    let mut kept: Option<TcpStream> = None;
    for n in 0.. {
        if Instant::now() > until || kept.is_none() && Instant::now() > no_more {
            return;
        }
        // Every fourth client is slow with its bodies, as some are in the middle of one when the
        // end comes.
        let pause = if client % 4 == 0 { ms(300) } else { ms(0) };
        let id = format!("{}c{client}m{n}", sender.1);
        record.handed(&id, sender.1);
        let mut again = true;
        loop {
            let fresh = kept.is_none();
            let Some(stream) = kept.take().or_else(|| TcpStream::connect(sender.0).ok()) else {
                count(&fates.ended);
                break;
            };
            let last = match request(&stream, (CLASSES[0], &id, (client + n) % DESTS), pause)
                .unwrap_or(Fate::NoAnswer)
            {
                Fate::TakenOn { last } => {
                    record.taken_on(&id);
                    count(&fates.taken_on);
                    last
                }
                Fate::Refused { last } => {
                    count(&fates.refused);
                    last
                }
                Fate::Ended => {
                    count(&fates.ended);
                    true
                }
                Fate::NoAnswer if !fresh && std::mem::take(&mut again) => {
                    count(&fates.crossed);
                    continue;
                }
                Fate::NoAnswer => {
                    count(&fates.unanswered);
                    true
                }
            };
            (0..usize::from(last)).for_each(|_| count(&fates.last));
            kept = (!last).then_some(stream);
            break;
        }
        thread::sleep(ms(200));
    }
}

#[test]
fn clients_that_send_on_every_open_connection_up_to_the_kill_get_their_answers() {
    let mut fleet = Fleet::start(ms(300));
    let (fates, term) = (Arc::<Fates>::default(), Instant::now() + ms(1_500));
    let times = (term + STILL_COMING, term + TERM_TO_KILL);
    let mut clients = Vec::new();
    for sender in &fleet.senders {
        let address = sender.log().address().expect("it listens");
        for n in 0..8 {
            let (name, record, fates) = (sender.name.clone(), fleet.record.clone(), fates.clone());
            clients.push(thread::spawn(move || {
                client((address, &name), n, times, &record, &fates)
            }));
        }
    }
    thread::sleep(term.saturating_duration_since(Instant::now()));
    (0..SENDERS / 2).for_each(|n| fleet.senders[n].tell_to_end());
    thread::sleep(times.1.saturating_duration_since(Instant::now()));
    (0..SENDERS / 2).for_each(|n| fleet.senders[n].kill());
    clients
        .into_iter()
        .for_each(|c| c.join().expect("a client"));
    thread::sleep(ms(600));
    fleet.starts(0..SENDERS / 2);
    fleet.judge(0.5);
    let of = |n: &AtomicUsize| n.load(Ordering::SeqCst);
    assert_eq!(of(&fates.unanswered), 0, "{fates:?}");
    assert!(
        of(&fates.taken_on) > 300 && of(&fates.last) >= SENDERS / 2,
        "{fates:?}"
    );
}

#[test]
fn a_connection_that_is_closed_with_no_answer_is_seen() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut lines = BufReader::new(&stream).lines().map_while(Result::ok);
            // All but the last byte of the body comes as lines; the connection ends with what
            // follows unread.
            while lines.next().is_some_and(|l| !l.is_empty()) {}
            thread::sleep(ms(50));
        }
    });
    let (record, fates, until) = (
        Record::default(),
        Fates::default(),
        Instant::now() + ms(200),
    );
    client((address, "n0"), 1, (until, until), &record, &fates);
    assert!(
        fates.unanswered.load(Ordering::SeqCst) > 0 && record.ends().0 == 0,
        "{fates:?}"
    );
}

#[test]
fn endpoints_that_come_back_cold_are_not_toppled_by_all_senders_together() {
    // Each bears 4 calls a second, and 0.92 when it comes back: 16 of the fleet within 3 s topple
    // it.
    let mut fleet = Fleet::with(
        ms(20),
        Terms {
            listed: 4.0,
            factor: Some(1.0),
            ..Terms::default()
        },
    );
    fleet.hands_in(ms(1_000));
    // All endpoints of half of the destinations, so that their messages wait for them.
    let away = |n: &usize| n % DESTS < DESTS / 2;
    (0..ENDPOINTS)
        .filter(away)
        .for_each(|n| fleet.partners[n].dies(Death::Unconnected).expect("shut"));
    fleet.hands_in(ms(4_000));
    (0..ENDPOINTS)
        .filter(away)
        .for_each(|n| fleet.partners[n].lives().expect("opened"));
    fleet.hands_in(ms(5_000));
    fleet.judge(0.4);
    let toppled = &fleet.record.seen().toppled;
    assert!(toppled.is_empty(), "{toppled:?}");
}

#[test]
fn two_classes_of_equal_worth_get_equal_parts_of_a_limit_that_bears_neither_whole() {
    // 80 calls a second for 120 messages a second.
    let mut fleet = Fleet::with(
        ms(20),
        Terms {
            listed: 4.0,
            factor: Some(1.0),
            ..Terms::default()
        },
    );
    let end = Instant::now() + ms(6_000);
    let of_sender = |sender: &Sender| {
        let (address, name) = (
            sender.log().address().expect("it listens"),
            sender.name.clone(),
        );
        let record = fleet.record.clone();
        thread::spawn(move || {
            for n in (0..).take_while(|_| Instant::now() < end) {
                let class = CLASSES[n % 2];
                let id = format!("{class}-{name}-{n}");
                record.handed(&id, &name);
                let answer = TcpStream::connect(address)
                    .and_then(|s| request(&s, (class, &id, n / 2 % DESTS), Duration::ZERO));
                if matches!(answer, Ok(Fate::TakenOn { .. })) {
                    record.taken_on(&id);
                }
                thread::sleep(ms(95));
            }
        })
    };
    let clients: Vec<_> = fleet.senders.iter().map(of_sender).collect();
    clients
        .into_iter()
        .for_each(|c| c.join().expect("a client"));
    fleet.judge(0.3);
    let seen = fleet.record.seen();
    let of = |class: &str| {
        let of_class = seen.lives.iter().filter(|(id, _)| id.starts_with(class));
        of_class.fold((0, 0), |(all, done), (_, life)| {
            (all + 1, done + usize::from(life.delivered > 0))
        })
    };
    let [(all, first), (_, second)] = CLASSES.map(of);
    assert!(
        first * 3 >= all && first.abs_diff(second) * 5 <= first + second,
        "{first} and {second} of {all}"
    );
}
