//! The program's store under load, killed at random moments, and without room.
//!
//! `KILLS=500 SEED=n cargo test --release --test sockets kills_under_load -- --nocapture` is the
//! long campaign.

use crate::http::{answer, request, Http};
use crate::program::Program;
use crate::rig::{message, settings, Answer, Call, End, Message, Rig};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// What a provider saw of a message: which process sent it, where it went, when, and how it was
/// answered.
struct Seen {
    life: usize,
    provider: String,
    at: Instant,
    answer: Answer,
}

/// What the world knows.
#[derive(Default)]
struct World {
    calls: BTreeMap<String, Vec<Seen>>,
    taken_on: BTreeSet<String>,
    refused: usize,
    /// When each notice came, and what it said.
    notices: BTreeMap<String, Vec<(Instant, String)>>,
}

/// Hands messages in until it is told to stop, each on a connection of its own.
fn client(address: SocketAddr, name: &str, seed: u64, stop: &AtomicBool, world: &Mutex<World>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let body = vec![b'x'; rng.usize(200..3000)];
        let m = Message {
            body,
            left: Duration::from_secs(6),
            ..message(&format!("{name}-{n}"))
        };
        let told = TcpStream::connect(address).ok().and_then(|mut s| {
            s.write_all(&request(&m)).ok()?;
            Some(answer(&mut s)?.0)
        });
        match told {
            Some(202) => drop(world.lock().expect("world").taken_on.insert(m.id)),
            Some(503) => {
                world.lock().expect("world").refused += 1;
                thread::sleep(5 * MS);
            }
            // Not heard, because the process ended: what is done under this id counts for nothing.
            None => thread::sleep(MS),
            Some(other) => panic!("answered {other}"),
        }
    }
}

/// Answers calls as they come, some of them late, wrong or not at all.
fn provide(
    calls: &Receiver<Call>,
    seed: u64,
    life: &Mutex<usize>,
    stop: &AtomicBool,
    world: &Mutex<World>,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut late: Vec<(Instant, Call)> = Vec::new();
    loop {
        let now = Instant::now();
        for at in (0..late.len()).rev() {
            if late[at].0 <= now {
                late.swap_remove(at).1.answer(Answer::Delivered);
            }
        }
        let call = match calls.recv_timeout(2 * MS) {
            Ok(call) => call,
            Err(RecvTimeoutError::Timeout) if !stop.load(Ordering::Relaxed) => continue,
            Err(_) => return,
        };
        let answer = match rng.u32(..100) {
            0..=3 => Answer::Full(Some(20)),
            4..=5 => Answer::Error,
            6 => Answer::Drop,
            _ => Answer::Delivered,
        };
        let seen = Seen {
            life: *life.lock().expect("life"),
            provider: call.provider.clone(),
            at: call.at,
            answer,
        };
        world
            .lock()
            .expect("world")
            .calls
            .entry(call.message.id.clone())
            .or_default()
            .push(seen);
        if matches!(answer, Answer::Delivered) && rng.u32(..4) == 0 {
            late.push((now + rng.u32(5..40) * MS, call));
        } else {
            call.answer(answer);
        }
    }
}

impl World {
    fn hear(&mut self, notice: &Value) {
        let text = |field: &str| notice[field].as_str().unwrap_or_default().to_string();
        self.notices
            .entry(text("id"))
            .or_default()
            .push((Instant::now(), text("status")));
    }

    fn is_over(&self, id: &str) -> bool {
        let delivered =
            |calls: &Vec<Seen>| calls.iter().any(|c| matches!(c.answer, Answer::Delivered));
        self.notices.contains_key(id) || self.calls.get(id).is_some_and(delivered)
    }

    /// Every message that was taken on has its one end, and none was repeated beyond its class.
    fn check(&self, ends: &[Instant]) {
        for id in &self.taken_on {
            assert!(self.is_over(id), "{id} was taken on and has no end");
        }
        for (id, told) in &self.notices {
            assert!(
                told.iter().all(|(_, s)| *s == told[0].1),
                "{id} has two ends: {told:?}"
            );
        }
        for (id, calls) in &self.calls {
            let mut ran: Option<&Seen> = None;
            for (n, call) in calls.iter().enumerate() {
                let told = self.notices.get(id).map(|t| t[0].0);
                assert!(
                    told.is_none_or(|told| call.at < told + 100 * MS),
                    "{id} was called after its end"
                );
                if let Some(first) = ran {
                    let zones = [&call.provider[..1], &first.provider[..1]];
                    assert_eq!(
                        zones[0], zones[1],
                        "{id} may have run, and went to another zone"
                    );
                    assert!(
                        call.at - first.at < Duration::from_secs(10),
                        "{id}: repeated after its window"
                    );
                }
                let before = n.checked_sub(1).map(|n| &calls[n]);
                let repeated = before
                    .is_some_and(|b| matches!(b.answer, Answer::Delivered) && b.life == call.life);
                assert!(
                    !repeated,
                    "{id} was delivered and sent again by the same process"
                );
                // A call that a kill cut off may have run, whatever its answer was to be.
                let cut = ends
                    .iter()
                    .any(|end| *end >= call.at && *end < call.at + 60 * MS);
                if ran.is_none() && (cut || !matches!(call.answer, Answer::Full(_))) {
                    ran = Some(call);
                }
                if cut
                    && matches!(call.answer, Answer::Full(_))
                    && ran.is_some_and(|r| std::ptr::eq(r, call))
                {
                    // Its refusal may have been heard after all.
                    ran = None;
                }
            }
        }
    }
}

fn kills(count: usize, seed: u64) {
    let text = format!("[limits]\ndisk_mb = 0.4\n{}", settings(400));
    // Their names begin with their zones.
    let names: Vec<String> = (0..10)
        .map(|n| format!("{}{n}", ["a", "b"][n % 2]))
        .collect();
    let providers: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), &name[..1]))
        .collect();
    let mut rig = Rig::<Http>::start_by(&providers, text);
    let calls = rig.providers.take_calls();
    let (world, life, stop) = (
        Mutex::new(World::default()),
        Mutex::new(0),
        AtomicBool::new(false),
    );
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut ends, mut seqs) = (Vec::new(), Vec::new());
    thread::scope(|scope| {
        let (life, stop, world) = (&life, &stop, &world);
        scope.spawn(move || provide(&calls, seed, life, stop, world));
        for round in 0..count {
            let (address, gone) = (rig.address, AtomicBool::new(false));
            thread::scope(|clients| {
                for c in 0..6 {
                    let (name, seed) = (format!("m{round}-{c}"), rng.u64(..));
                    let gone = &gone;
                    clients.spawn(move || client(address, &name, seed, gone, world));
                }
                // However slow the machine is: each life takes enough on for the store to be
                // cleaned in the end.
                let by = Instant::now() + Duration::from_secs(3);
                while world.lock().expect("world").taken_on.len() < 30 * (round + 1)
                    && Instant::now() < by
                {
                    thread::sleep(5 * MS);
                }
                thread::sleep(rng.u32(30..140) * MS);
                rig.program.kill();
                ends.push(Instant::now());
                gone.store(true, Ordering::Relaxed);
            });
            rig.discovery
                .notices
                .try_iter()
                .for_each(|n| world.lock().expect("world").hear(&n));
            seqs.push(newest_segment(&rig));
            *life.lock().expect("life") += 1;
            rig.start_again();
        }
        let by = Instant::now() + Duration::from_secs(12);
        loop {
            rig.discovery
                .notices
                .try_iter()
                .for_each(|n| world.lock().expect("world").hear(&n));
            let over = |w: &World| w.taken_on.iter().all(|id| w.is_over(id));
            if over(&world.lock().expect("world")) || Instant::now() > by {
                break;
            }
            thread::sleep(20 * MS);
        }
        stop.store(true, Ordering::Relaxed);
    });
    let world = world.into_inner().expect("world");
    let calls: usize = world.calls.values().map(Vec::len).sum();
    let again = world
        .calls
        .values()
        .filter(|c| c.iter().any(|s| s.life > c[0].life))
        .count();
    eprintln!(
        "seed {seed}: {count} kills, {} messages taken on, {} refused, {calls} calls, {again} messages called by more \
         than one process, {} notices, {} segments begun",
        world.taken_on.len(),
        world.refused,
        world.notices.len(),
        seqs.last().copied().unwrap_or(0)
    );
    world.check(&ends);
    assert!(
        seqs.last().is_some_and(|s| *s as usize > count),
        "the store was not cleaned under this load: {seqs:?}"
    );
    assert!(
        world.taken_on.len() > 10 * count,
        "no load: {}",
        world.taken_on.len()
    );
    rig.providers.check();
}

/// The newest segment of a store that nobody uses, which must be whole.
fn newest_segment(rig: &Rig<Http>) -> u64 {
    let mut inspect = Command::new(env!("CARGO_BIN_EXE_raildeal"));
    inspect
        .args(["journal", "inspect", "--json"])
        .arg(rig.state());
    let told = inspect.output().expect("the program runs");
    let seen: Value = serde_json::from_slice(&told.stdout).expect("JSON");
    assert_eq!(seen["damage"], serde_json::json!([]), "{seen}");
    seen["segments"]
        .as_array()
        .and_then(|s| s.last())
        .and_then(|s| s["seq"].as_u64())
        .unwrap_or(0)
}

fn told(name: &str, absent: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(absent)
}

#[test]
fn kills_under_load() {
    kills(told("KILLS", 20) as usize, told("SEED", 7));
}

/// Bounds the files that a process may write: as on a full disk, no further segment can be had.
pub fn bound(program: &Program, bytes: Option<u64>) {
    let pid = Pid::from_raw(program.pid() as i32);
    prlimit(
        pid,
        Resource::Fsize,
        Rlimit {
            current: bytes,
            maximum: None,
        },
    )
    .expect("a bound");
}

#[test]
fn with_syncs_and_bodies_on_disk_messages_go_whole_and_outlive_a_kill() {
    let text = format!(
        "[store]\ndurability = \"machine\"\nbodies_mb = 0.0\n{}",
        settings(100)
    );
    let mut rig = Rig::<Http>::start_by(&[("p", "a"), ("q", "b")], text);
    let big = |id: &str| Message {
        body: id.bytes().cycle().take(50_000).collect(),
        ..message(id)
    };
    rig.take_on(&big("m1"));
    let call = rig.call();
    assert_eq!(call.message.body, big("m1").body);
    call.answer(Answer::Error);
    let second = rig.call();
    assert_eq!(second.provider, call.provider);
    rig.take_on(&big("m2"));
    let other = rig.call();
    assert_eq!(other.message.body, big("m2").body);
    rig.program.kill();
    rig.start_again();
    for _ in 0..2 {
        let again = rig.call();
        assert_eq!(again.message.body, big(&again.message.id).body);
        let before = if again.message.id == "m1" {
            &second
        } else {
            &other
        };
        assert_eq!(again.provider, before.provider, "it may have run there");
        again.answer(Answer::Delivered);
    }
    rig.finish(&["m1", "m2"]);
}

/// `HAND_IN=seconds RAILDEAL=program cargo test --release --test sockets hand_in_times --
/// --nocapture` measures a program, this one or an earlier one, while it cleans its store; a usual
/// run only sees that it is measured.
#[test]
fn hand_in_times() {
    let text = format!("[limits]\ndisk_mb = 1.5\nsockets = 1024\n{}", settings(400));
    let names: Vec<String> = (0..20).map(|n| format!("p{n}")).collect();
    let providers: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
    let mut rig = Rig::<Http>::start_by(&providers, text);
    let (calls, address, stop) = (
        rig.providers.take_calls(),
        rig.address,
        AtomicBool::new(false),
    );
    let times = Mutex::new(Vec::new());
    let (stop, shared) = (&stop, &times);
    thread::scope(|scope| {
        scope.spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                if let Ok(call) = calls.recv_timeout(5 * MS) {
                    call.answer(Answer::Delivered);
                }
            }
        });
        for c in 0..4 {
            scope.spawn(move || {
                let (mut stream, mut rng) = (
                    TcpStream::connect(address).expect("connected"),
                    fastrand::Rng::with_seed(c),
                );
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let body = vec![b'x'; rng.usize(500..8000)];
                    let m = Message {
                        body,
                        ..message(&format!("m{c}-{n}"))
                    };
                    let begun = Instant::now();
                    stream.write_all(&request(&m)).expect("written");
                    let status = answer(&mut stream).expect("an answer").0;
                    shared
                        .lock()
                        .expect("times")
                        .push((begun.elapsed(), status));
                    thread::sleep(3 * MS);
                }
            });
        }
        thread::sleep(Duration::from_secs(told("HAND_IN", 1)));
        stop.store(true, Ordering::Relaxed);
    });
    let mut times = times.into_inner().expect("times");
    times.sort();
    let at = |part: f64| {
        times[((times.len() - 1) as f64 * part) as usize]
            .0
            .as_secs_f64()
            * 1e3
    };
    let taken = times.iter().filter(|t| t.1 == 202).count();
    eprintln!(
        "{} hand-ins, {taken} taken on: p50 {:.2}  p99 {:.2}  p99.9 {:.2}  longest {:.2} ms",
        times.len(),
        at(0.5),
        at(0.99),
        at(0.999),
        at(1.0)
    );
    assert!(taken > 50, "{taken} of {}", times.len());
}

#[test]
fn it_can_be_looked_into_while_it_serves_and_damage_is_told_from_a_torn_end() {
    let mut rig = Rig::<Http>::start(&[("p", "a"), ("q", "b")]);
    rig.take_on(&message("m1"));
    let first = rig.call();
    rig.take_on(&message("m2"));
    let second = rig.call();
    let state = rig.state();
    let run = |what: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_raildeal"));
        let told = command
            .arg("journal")
            .args(what)
            .arg(&state)
            .output()
            .expect("the program runs");
        (
            told.status.code(),
            String::from_utf8(told.stdout).expect("text"),
        )
    };
    let (code, text) = run(&["inspect", "--messages"]);
    assert_eq!(code, Some(0));
    assert!(
        text.contains("in use") && text.contains("m1 class 0 dest 7"),
        "{text}"
    );
    assert_eq!(run(&["verify"]).0, Some(0));
    rig.program.kill();
    let path = std::fs::read_dir(&state)
        .expect("a folder")
        .map(|f| f.expect("a file").path())
        .find(|p| {
            std::fs::read(p)
                .expect("bytes")
                .windows(2)
                .any(|w| w == b"m1")
        })
        .expect("a segment");
    let whole = std::fs::read(&path).expect("bytes");
    let end = whole.iter().rposition(|b| *b != 0).expect("lines");
    // A line that was cut off at the end costs nothing that anybody was told.
    let mut bytes = whole.clone();
    bytes[end - 2..].fill(0);
    std::fs::write(&path, &bytes).expect("written");
    let (code, text) = run(&["verify"]);
    assert!(code == Some(0) && text.contains("not finished"), "{text}");
    // A byte in the middle is damage, and the first message may have lost what happened to it.
    let mut bytes = whole;
    let at = bytes
        .windows(2)
        .position(|w| w == b"m2")
        .expect("the second message");
    bytes[at] ^= 1;
    std::fs::write(&path, &bytes).expect("written");
    let (code, text) = run(&["verify"]);
    assert!(
        code == Some(1) && text.contains("cannot be read") && text.contains("1 open messages"),
        "{text}"
    );
    rig.start_again();
    let log = rig.program.log();
    assert!(
        log.contains("damaged: ") && log.contains("1 messages were open"),
        "{log}"
    );
    assert_eq!(rig.end("m1"), End::Undeliverable);
    drop((first, second));
    rig.quiet(100 * MS);
}
