//! The real program under load, with a stand-in keeper that this test controls: it changes from
//! policy to policy without a restart.
#![cfg(feature = "fleet")]

#[path = "common/keeper.rs"]
mod stand_in;

use raildeal::coordination::messages::MessageOutcomeCounts;
use raildeal::coordination::policy_rollout::document::Document;
use raildeal_test_harness::{directory, record::Record, sender::Sender};
use serde_json::json;
use stand_in::{config, target, wait, Keeper};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Observations of a client on one connection.
#[derive(Default)]
struct Client {
    accepted: u32,
    rejected: u32,
    longest: Duration,
    connections: u32,
}

/// Sends messages on one connection, each 20 ms after the response to the previous one.
fn client(at: SocketAddr, n: u32, stop: &AtomicBool, heard: &Record) -> Client {
    let mut seen = Client::default();
    let mut line: Option<BufReader<TcpStream>> = None;
    let mut id = 0;
    while !stop.load(Ordering::Relaxed) {
        id += 1;
        let (id, dest) = (format!("c{n}-{id}"), id % 2);
        let begun = Instant::now();
        let stream = line.get_or_insert_with(|| {
            seen.connections += 1;
            BufReader::new(TcpStream::connect(at).expect("a port"))
        });
        heard.handed(&id, "n0");
        let request = format!(
            "POST /event HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: event\r\nX-Remaining: 16000m\r\n\
             Content-Length: 2\r\nX-Addressing: dest={dest}\r\n\r\nhi"
        );
        let answer = stream
            .get_mut()
            .write_all(request.as_bytes())
            .and_then(|()| {
                let mut head = String::new();
                while !head.ends_with("\r\n\r\n") {
                    if stream.read_line(&mut head)? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Ok(head)
            });
        seen.longest = seen.longest.max(begun.elapsed());
        match answer {
            Ok(head) if head.starts_with("HTTP/1.1 202") => {
                heard.taken_on(&id);
                seen.accepted += 1;
            }
            Ok(_) => seen.rejected += 1,
            Err(_) => line = None,
        }
        thread::sleep(Duration::from_millis(20));
    }
    seen
}

#[test]
fn a_sender_changes_policies_under_load_and_finishes_each_message_under_its_own() {
    let (heard, called) = (Arc::<Record>::default(), Arc::<Record>::default());
    let (quick, slow) = (Duration::from_millis(10), Duration::from_millis(1_500));
    let mut targets = vec![
        target("a1", "a", 0, quick, &heard),
        target("b1", "b", 1, quick, &heard),
        target("s1", "b", 2, slow, &called),
    ];
    targets
        .iter_mut()
        .for_each(|t| t["capacity_hint"] = json!(500.0));
    let lists =
        directory::Directory::start(Duration::from_millis(1), targets.clone(), heard.clone())
            .expect("a port");
    let keeper = Keeper::default();
    let keepers = [keeper.start(false), keeper.start(true)];
    let text = format!(
        "site = \"s\"\nzone = \"b\"\nkeepers = [\"{}\", \"{}\"]\nreport_ms = 100\n[policy]\n",
        keepers[0], keepers[1]
    );
    keeper.told().away = true;
    let program = Path::new(env!("CARGO_BIN_EXE_raildeal"));
    let mut sender =
        Sender::new(program, "n0".into(), config(lists.address, &targets)).expect("a folder");
    sender.follows(&text).expect("written");
    sender.spawn().expect("started");
    sender.listens().expect("listens");
    // Nothing is accepted before the sender knows which policy applies.
    assert!(!sender.hand_in("early", 0, Duration::from_secs(16), &heard));
    keeper.told().rule = Some((1, 0, false));
    keeper.told().away = false;
    wait("a session", || keeper.told().turn == 1);
    let at = sender.log().address().expect("listens");
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|n| {
            let (stop, heard) = (stop.clone(), heard.clone());
            thread::spawn(move || client(at, n, &stop, &heard))
        })
        .collect();
    // Slots decrease and increase, attempts and deadlines change; there are more policies than the
    // sender keeps.
    let policy = |number: u64| {
        let slots = [2, 12, 5][number as usize % 3];
        let attempts = 3 + number;
        format!(
            "hook = \"fn final_answer(m, a) {{ if m.dest == 2 {{ log(`ended under {number}`); }} }}\"\n\
             [limits]\nslots = {slots}\nmax_attempts = {attempts}\n[class.event]\ndeadline_ms = {}\n",
            9_000 + number
        )
    };
    let offer = |number: u64, text: String| {
        let digest = Document::parse(&text).expect("usable").digest();
        keeper.told().offer = Some((number, digest, text));
        wait("stored or rejected", || {
            keeper.told().stored.contains_key(&number)
        });
        keeper.told().stored[&number].clone()
    };
    let (mut turn, last) = (1, 12);
    let mut paused = Duration::ZERO;
    let mut apply = |number: u64| {
        let begun = Instant::now();
        let old = keeper.told().rule.map_or(0, |r| r.1);
        for (number, pause) in [(old, true), (number, false)] {
            turn += 1;
            keeper.told().rule = Some((turn, number, pause));
            wait("a confirmation", || keeper.told().turn == turn);
        }
        paused = paused.max(begun.elapsed());
    };
    for number in 1..=last {
        assert_eq!(offer(number, policy(number)), None);
        apply(number);
        thread::sleep(Duration::from_millis(200));
    }
    // A policy that this sender cannot apply is rejected with all its faults, and changes nothing.
    let bad = "[limits]\nslots = 60000\n[class.other]\ndeadline_ms = 5\n";
    let refused = offer(last + 1, bad.into()).expect("refused");
    assert!(
        refused.contains("class.other") && refused.contains("line 3"),
        "{refused}"
    );
    let refused = offer(last + 2, "[limits]\nslots = 60000\n".into()).expect("refused");
    assert!(refused.contains("descriptors"), "{refused}");
    thread::sleep(Duration::from_millis(300));
    stop.store(true, Ordering::Relaxed);
    let clients: Vec<Client> = clients
        .into_iter()
        .map(|c| c.join().expect("a client"))
        .collect();
    let longest = clients.iter().map(|c| c.longest).max().expect("some");
    let (accepted, rejected): (u32, u32) = clients
        .iter()
        .fold((0, 0), |sum, c| (sum.0 + c.accepted, sum.1 + c.rejected));
    println!("{last} changes, {accepted} accepted, {rejected} rejected; longest gap of a client {longest:?}, longest change {paused:?}");
    assert!(
        clients.iter().all(|c| c.connections == 1),
        "a connection was dropped"
    );
    assert!(
        accepted > 400 && longest < Duration::from_millis(400),
        "{accepted} {longest:?}"
    );
    heard.settle(Duration::from_secs(20));
    let verdict = heard.verdict();
    assert_eq!((verdict.lost, verdict.doubled), (0, 0));
    // Each message is reported once, under the policy that it was accepted under.
    let reported = |of: fn(&MessageOutcomeCounts) -> u32| -> u32 {
        keeper
            .told()
            .health
            .values()
            .flatten()
            .filter(|h| h.class == "event")
            .map(of)
            .sum()
    };
    wait("all messages reported", || {
        reported(|h| h.delivered + h.delivered_late + h.deferred + h.failed) == accepted
    });
    assert_eq!(reported(|h| h.accepted), accepted);
    let policies: std::collections::BTreeSet<u64> = keeper
        .told()
        .health
        .values()
        .flatten()
        .map(|h| h.policy)
        .collect();
    assert_eq!(policies, (0..=last).collect());

    // The sender is killed with a message pending while no keeper answers: the next process
    // finishes the message under its policy and accepts nothing new.
    assert!(sender.hand_in("held", 2, Duration::from_secs(16), &heard));
    wait("a call", || called.seen().lives.contains_key("held"));
    sender.kill();
    keeper.told().away = true;
    sender.spawn().expect("started");
    sender.listens().expect("listens");
    let log = sender.log();
    assert!(!log.said("hook: ended under 12"));
    assert!(!sender.hand_in("new", 0, Duration::from_secs(16), &heard));
    wait("the end of the pending message", || {
        log.said("hook: ended under 12")
    });
    // It continues with the record's policy once a keeper answers again.
    keeper.told().away = false;
    wait("an accepted message", || {
        sender.hand_in("again", 0, Duration::from_secs(16), &heard)
    });
    // An expired lease stops admission, and nothing else. Each message has an id of its own: one that
    // comes again under the id of a delivered one is answered as delivered at any time.
    keeper.told().away = true;
    let late = AtomicUsize::new(0);
    wait("fenced", || {
        let id = format!("late-{}", late.fetch_add(1, Ordering::Relaxed));
        !sender.hand_in(&id, 0, Duration::from_secs(16), &heard)
    });
    sender.tell_to_end();
    assert!(sender.ended_well());
}
