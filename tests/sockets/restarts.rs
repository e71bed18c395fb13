//! Restarts: what the next process does with messages that were never called, with calls that were out, and how soon it is ready.

use crate::discovery::Discovery;
use crate::http::{answer, Http};
use crate::platform_only::platform_command;
use crate::program::Program;
use crate::rig::{Answer, Call, Providers};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const MS: Duration = Duration::from_millis(1);
/// The time that a message has.
const LEFT: Duration = Duration::from_secs(12);
/// A class for each effect, and one of keyed messages whose window outlasts every restart here.
const CLASSES: [&str; 4] = ["look", "slip", "charge", "order"];
const WINDOW: Duration = Duration::from_secs(1);
const DESTS: usize = 10;
const ROUTES: usize = 3;

/// Stand-ins for all but the program, and the folder that outlasts its processes.
struct Site {
    folder: TempDir,
    discovery: Discovery,
    providers: Providers,
    /// Each with its destination.
    addresses: Vec<(SocketAddr, usize)>,
    senders: u32,
}

impl Site {
    fn new(senders: u32) -> Site {
        let providers = Providers::new();
        let start = |n: usize| (providers.start::<Http>(&format!("s{n}")), n % DESTS);
        let addresses = (0..DESTS * ROUTES).map(start).collect();
        let (folder, discovery) = (TempDir::new().expect("a folder"), Discovery::start());
        Site { folder, discovery, providers, addresses, senders }
    }

    /// The list, with every endpoint in one state.
    fn list(&self, state: &str) -> Value {
        let target = |(n, (address, dest)): (usize, &(SocketAddr, usize))| {
            json!({"uid": format!("s{n}"), "endpoint": address, "az": "a", "model": "hook", "pod_group": dest,
                "state": state, "capacity_hint": 4.0, "boot_ms": 0})
        };
        json!({"rev": 1, "all": true, "targets": self.addresses.iter().enumerate().map(target).collect::<Vec<_>>()})
    }

    /// Starts the program with a kept list.
    fn start(&self, known: &Value, discovery: SocketAddr) -> (Program, SocketAddr) {
        let class = |name: &str, effect: &str, window: Duration| {
            json!({"name": name, "promise": 3_000_000_000u64, "deadline": LEFT.as_nanos() as u64, "effect": effect,
                "dedupScope": "zone", "window": window.as_nanos() as u64, "points": 1.0, "lateWorth": 0.5})
        };
        let classes = [
            class(CLASSES[0], "pure", WINDOW),
            class(CLASSES[1], "token", WINDOW),
            class(CLASSES[2], "side_effect", WINDOW),
            class(CLASSES[3], "token", Duration::from_secs(60)),
        ];
        let config = json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "known": known,
            "settings": {"balancers": self.senders, "categories": classes, "kinds": ["hook"], "discovery": "subscribe",
                "localities": ["a"], "weights": "rough",
                "familyInfo": {"maxCalls": 12, "kindApart": [true], "kindBatch": [1], "losesWorth": "halving"},
                "limits": {"openCap": 86, "maxAttempts": 12, "retryAfter": true, "maxRetryAfter": 2_000_000_000u64,
                    "idleClose": 15_000_000_000u64, "connectTimeout": 1_500_000_000u64},
                "rules": {"coldShare": 0.23, "warmAfter": 13_000_000_000u64, "overloadFactor": 2.0,
                    "overloadFor": 3_000_000_000u64, "mustAskIn": 10_000_000_000u64}}});
        let mut program = Program::spawn(&mut platform_command(&self.folder, &config));
        let address = program.port("platform");
        (program, address)
    }

    /// Has the list told by discovery, from now on.
    fn lists(&self, state: &str) {
        for (n, (address, dest)) in self.addresses.iter().enumerate() {
            self.discovery.list_for(&format!("s{n}"), *address, *dest, state);
        }
    }

    /// The final answers that came.
    fn ends(&self) -> Vec<(String, String)> {
        let text = |notice: &Value, field: &str| notice[field].as_str().expect("text").to_string();
        self.discovery.notices.try_iter().map(|n| (text(&n, "id"), text(&n, "status"))).collect()
    }
}

fn request(class: &str, id: &str, dest: usize, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Remaining: {}m\r\n\
         Idempotency-Key: key-of-{id}\r\nContent-Length: {}\r\nX-Addressing: dest={dest}\r\n\r\n",
        LEFT.as_millis(),
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Hands a message in; says how it was answered.
fn hand_in(address: SocketAddr, class: &str, id: &str, dest: usize) -> u16 {
    Http { address }.ask(&request(class, id, dest, b"ok")).expect("an answer").0
}

/// How the first process ends.
#[derive(Clone, Copy, PartialEq)]
enum Ends {
    Killed,
    Told,
}

/// Forty messages of three effects are taken on while no endpoint wants calls. The next process knows endpoints that do, by its
/// kept list or, where `late`, by a list that comes 5 s after its start.
fn untried_are_tried(ends: Ends, senders: u32, late: bool) {
    let site = Site::new(senders);
    site.discovery.freeze(true);
    let draining = site.list("leaving");
    let (mut program, address) = site.start(&draining, site.discovery.address);
    let ids: Vec<(String, &str)> =
        (0..40).map(|n| (format!("{}-{n}", CLASSES[n % 3]), CLASSES[n % 3])).collect();
    for (n, (id, class)) in ids.iter().enumerate() {
        assert_eq!(hand_in(address, class, id, n / 3 % DESTS), 202);
    }
    match ends {
        Ends::Killed => program.kill(),
        Ends::Told => {
            program.terminate();
            assert!(program.ended().success());
        }
    }
    assert!(site.providers.calls.try_recv().is_err(), "nobody wanted calls");
    let (kept, started) = (if late { draining } else { site.list("active") }, Instant::now());
    let (mut program, _) = site.start(&kept, site.discovery.address);
    program.says("40 messages to take up");
    if late {
        std::thread::sleep(Duration::from_secs(5).saturating_sub(started.elapsed()));
        site.lists("active");
        site.discovery.freeze(false);
    }
    let mut called: BTreeMap<String, usize> = BTreeMap::new();
    while called.len() < ids.len() && started.elapsed() < LEFT + MS * 300 {
        match site.providers.calls.recv_timeout(100 * MS) {
            Ok(call) => {
                *called.entry(call.message.id.clone()).or_default() += 1;
                call.answer(Answer::Delivered);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(e) => panic!("{e}"),
        }
    }
    assert!(called.values().all(|n| *n == 1), "called again: {called:?}");
    for class in &CLASSES[..3] {
        let (of, tried) = ids
            .iter()
            .filter(|(_, c)| c == class)
            .fold((0, 0), |(of, tried), (id, _)| (of + 1, tried + usize::from(called.contains_key(id))));
        assert!(tried * 10 >= of * 9, "{class}: {tried} of {of} tried; ends: {:?}", site.ends());
    }
    site.providers.check();
}

#[test]
fn what_a_kill_left_untried_is_tried_when_the_list_comes_5_s_later() {
    untried_are_tried(Ends::Killed, 1, true);
}

#[test]
fn what_a_planned_end_left_untried_is_tried_when_the_list_comes_5_s_later() {
    untried_are_tried(Ends::Told, 1, true);
}

#[test]
fn what_a_kill_left_untried_is_tried_by_one_of_three_hundred_senders() {
    untried_are_tried(Ends::Killed, 300, false);
}

#[test]
fn what_a_planned_end_left_untried_is_tried_by_one_of_three_hundred_senders() {
    untried_are_tried(Ends::Told, 300, false);
}

/// One message of each class, each with a call that is out when the process is killed; then the calls of the next process, and how
/// the messages end. It starts once the time that the process was dead has used the short window up.
#[test]
fn time_spent_dead_counts_against_the_window_for_repeats() {
    let site = Site::new(1);
    site.discovery.freeze(true);
    let list = site.list("active");
    let (mut program, address) = site.start(&list, site.discovery.address);
    for (n, class) in CLASSES.iter().enumerate() {
        assert_eq!(hand_in(address, class, class, n), 202);
    }
    let out: Vec<Call> = CLASSES.iter().map(|_| site.providers.call()).collect();
    let last = out.iter().map(|call| call.at).max().expect("calls");
    program.kill();
    std::thread::sleep(WINDOW.saturating_sub(last.elapsed()));
    let (mut program, _) = site.start(&list, site.discovery.address);
    program.says("4 messages to take up");
    let mut again = BTreeSet::new();
    for _ in 0..2 {
        let call = site.providers.call();
        if call.message.id == CLASSES[3] {
            let first = out.iter().find(|c| c.message.id == CLASSES[3]).expect("called");
            assert_eq!(call.message.key, first.message.key);
        }
        assert!(again.insert(call.message.id.clone()));
        call.answer(Answer::Delivered);
    }
    assert_eq!(again, BTreeSet::from([CLASSES[0].to_string(), CLASSES[3].to_string()]));
    let ended = |id: &str| {
        let notice = site.discovery.notices.recv_timeout(LEFT).expect("a notice");
        assert_eq!((notice["id"].as_str(), notice["status"].as_str()), (Some(id), Some("undeliverable")));
    };
    let mut both = [CLASSES[1], CLASSES[2]];
    let first = site.discovery.notices.recv_timeout(LEFT).expect("a notice");
    if first["id"].as_str() != Some(both[0]) {
        both.reverse();
    }
    assert_eq!((first["id"].as_str(), first["status"].as_str()), (Some(both[0]), Some("undeliverable")));
    ended(both[1]);
    assert!(site.providers.calls.try_recv().is_err(), "nothing else is called");
    site.providers.check();
}

/// A process that is stopped by its log right after a line, and killed there.
fn killed_before_line(
    site: &Site,
    line_of: impl FnOnce(SocketAddr) -> Option<u16>,
    known: &Value,
) -> Option<u16> {
    let (mut program, address) = site.start(known, site.discovery.address);
    program.says("messages to take up");
    let gate = program.gate();
    let (held, _written) = program.hold_log(&gate, 0);
    let heard = line_of(address);
    program.kill();
    drop(held);
    heard
}

#[test]
fn a_kill_between_the_journal_and_the_202_leaves_a_message_that_the_next_process_ends() {
    let site = Site::new(1);
    site.discovery.freeze(true);
    let draining = site.list("leaving");
    // The first line that a hand-in logs comes after the journal's, before the answer: nobody hears of the message.
    let heard = killed_before_line(
        &site,
        |address| {
            let mut stream = TcpStream::connect(address).expect("connected");
            stream.write_all(&request("charge", "m1", 0, b"ok")).expect("written");
            let state = site.folder.path().to_path_buf();
            let until = Instant::now() + Duration::from_secs(20);
            let written = || {
                let seen = raildeal::core::survey::survey(&state).expect("read");
                seen.messages.iter().any(|m| m.id == "m1")
            };
            while !written() {
                assert!(Instant::now() < until, "never written down");
                std::thread::sleep(5 * MS);
            }
            stream.set_read_timeout(Some(100 * MS)).expect("set");
            let mut byte = [0];
            std::io::Read::read(&mut stream, &mut byte).ok().map(|n| n as u16)
        },
        &draining,
    );
    assert_eq!(heard, None, "the answer is not out");
    let (mut program, _) = site.start(&site.list("active"), site.discovery.address);
    program.says("1 messages to take up");
    // It never ran: also one that may not be repeated is called, once.
    let call = site.providers.call();
    assert_eq!(call.message.id, "m1");
    call.answer(Answer::Delivered);
    program.says("m1: final answer told");
    assert!(site.providers.calls.try_recv().is_err());
    site.providers.check();
}

#[test]
fn a_full_store_and_a_silent_discovery_do_not_keep_a_process_from_being_ready() {
    let site = Site::new(300);
    // It is connected to and never answers; nobody reads what is asked.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let silent = silent.local_addr().map(|at| (at, silent)).expect("an address");
    let list = site.list("leaving");
    let (mut program, address) = site.start(&list, silent.0);
    let body = vec![b'x'; 24_000];
    let mut taken_on = 0;
    for n in 0..200 {
        let mut stream = TcpStream::connect(address).expect("connected");
        stream.write_all(&request(CLASSES[n % 3], &format!("m{n}"), n % DESTS, &body)).expect("written");
        match answer(&mut stream).expect("an answer").0 {
            202 => taken_on += 1,
            _ => break,
        }
    }
    assert!(taken_on > 50, "{taken_on} taken on");
    program.kill();
    let started = Instant::now();
    let (mut program, address) = site.start(&site.list("active"), silent.0);
    assert_eq!(Http { address }.ask(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("an answer").0, 200);
    let ready = started.elapsed();
    eprintln!("ready after {ready:?} with {taken_on} messages to take up");
    assert!(ready < Duration::from_secs(6), "{ready:?}");
    // The kept list serves: no word of discovery is waited for.
    let call = site.providers.call();
    call.answer(Answer::Delivered);
    program.says(&format!("{}: final answer told", call.message.id));
}
