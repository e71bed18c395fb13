//! What has to hold on every front. Times are those of the real deployment.

use crate::rig::{message, settings, Answer, End, Heard, Message, Rig, Wire};
use crate::store::bound;
use raildeal::message_trace::{step, TraceLogs};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

pub fn a_message_is_delivered_unchanged<W: Wire>() {
    let mut rig = Rig::<W>::start(&[("p", "a")]);
    let m = message("m1");
    rig.take_on(&m);
    let call = rig.call();
    assert_eq!(
        Message {
            left: m.left,
            ..call.message.clone()
        },
        m
    );
    assert!(call.message.left <= m.left && call.message.left > Duration::from_secs(1));
    call.answer(Answer::Delivered);
    // The connection is used again.
    rig.take_on(&message("m2"));
    rig.call().answer(Answer::Delivered);
    rig.finish(&["m1", "m2"]);
}

pub fn a_told_wait_is_kept_for_all_messages<W: Wire>() {
    let mut rig = Rig::<W>::start(&[("p", "a")]);
    rig.take_on(&message("m1"));
    let told = Instant::now();
    rig.call().answer(Answer::Full(Some(700)));
    rig.program.says("m1: p Rejected");
    rig.take_on(&message("m2"));
    let calls = [rig.call(), rig.call()];
    for call in &calls {
        assert!(
            call.at - told >= 700 * MS,
            "{} came too early",
            call.message.id
        );
        call.answer(Answer::Delivered);
    }
    // The refused one goes first.
    assert_eq!(calls[0].message.id, "m1");
    rig.finish(&["m1", "m2"]);
}

/// After a first call that ends like this, the message may have run: it stays in that zone, and is
/// delivered there.
fn it_may_have_run<W: Wire>(answer: Answer) {
    let mut rig = Rig::<W>::start(&[("p", "a"), ("q", "b")]);
    rig.take_on(&message("m1"));
    let first = rig.call();
    first.answer(answer);
    let second = rig.call();
    assert_eq!(second.provider, first.provider);
    assert_eq!(second.message.key, first.message.key);
    second.answer(Answer::Delivered);
    rig.finish(&["m1"]);
}

pub fn an_error_is_followed_by_the_same_zone_only<W: Wire>() {
    it_may_have_run::<W>(Answer::Error);
}

pub fn a_drop_before_the_acknowledgement_may_have_run<W: Wire>() {
    it_may_have_run::<W>(Answer::Drop);
}

pub fn garbage_from_a_provider_counts_as_a_lost_call<W: Wire>() {
    it_may_have_run::<W>(Answer::Garbage);
}

pub fn a_drop_before_the_last_byte_never_ran<W: Wire>() {
    let mut rig = Rig::<W>::start(&[]);
    // A port that nobody listens at.
    let gone = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port");
    rig.discovery.list("gone", gone, "a", W::KIND, "active");
    rig.program.says("provider gone ");
    rig.take_on(&message("m1"));
    rig.program.says("gone ConnectFailed");
    // It may go to the other zone, as nothing has run.
    rig.add_provider("q", "b");
    rig.call().answer(Answer::Delivered);
    rig.finish(&["m1"]);
}

pub fn an_acknowledgement_after_16_s_counts_for_nothing<W: Wire>() {
    let mut rig = Rig::<W>::start(&[("p", "a"), ("q", "b")]);
    let started = Instant::now();
    rig.take_on(&message("m1"));
    let first = rig.call();
    // Each attempt is given up before the next one goes (the provider's stand-in watches that), and
    // stays in the zone that may have run it.
    first.hung_up();
    let mut calls = vec![first];
    let end = loop {
        if let Some(end) = rig.end_within("m1", 50 * MS) {
            break end;
        }
        if let Ok(call) = rig.providers.calls.try_recv() {
            assert_eq!(call.provider, calls[0].provider);
            calls.push(call);
        }
        assert!(
            started.elapsed() < Duration::from_millis(16_300),
            "no end in time"
        );
    };
    assert_eq!(end, End::Undeliverable);
    std::thread::sleep(Duration::from_millis(16_100).saturating_sub(started.elapsed()));
    calls.iter().for_each(|c| c.answer(Answer::Delivered));
    rig.finish(&[]);
}

pub fn a_draining_provider_gets_nothing_new<W: Wire>() {
    let mut rig = Rig::<W>::start(&[("p", "a"), ("q", "b")]);
    rig.take_on(&message("m0"));
    let out = rig.call();
    let drained = out.provider.clone();
    rig.drain(&drained);
    for i in 1..=6 {
        rig.take_on(&message(&format!("m{i}")));
        let call = rig.call();
        assert_ne!(call.provider, drained);
        call.answer(Answer::Delivered);
    }
    // What was out goes to its end.
    out.answer(Answer::Delivered);
    rig.finish(&["m0", "m1", "m2", "m3", "m4", "m5", "m6"]);
}

pub fn what_was_taken_on_outlives_a_kill<W: Wire>() {
    let mut rig = Rig::<W>::start(&[("p", "a"), ("q", "b")]);
    rig.take_on(&message("m1"));
    let first = rig.call();
    rig.program.kill();
    rig.program.ended();
    let before = rig.program.log();
    rig.start_again();
    // It may have run: only the same zone will do.
    let second = rig.call();
    assert_eq!(second.provider, first.provider);
    assert_eq!(
        Message {
            left: first.message.left,
            ..second.message.clone()
        },
        first.message
    );
    second.answer(Answer::Delivered);
    rig.program.says("m1: final answer told");
    // Its line of life, from the logs of both processes.
    let mut logs = TraceLogs::default();
    for (name, log) in [("before", before), ("after", rig.program.log())] {
        logs.read(name, log.as_bytes()).expect("read");
    }
    let life = logs.lifecycle("m1").expect("a life");
    let mut rest = life.as_str();
    for step in [
        ["before", step::ACCEPTED],
        ["before", step::ACKNOWLEDGED],
        ["before", step::ATTEMPT],
        ["after", step::RESUMED],
        ["after", step::ATTEMPT],
        ["after", step::DECIDED],
        ["after", step::NOTIFIED],
        ["", "m1: kept"],
    ] {
        let at = step
            .iter()
            .try_fold(rest, |rest, word| rest.split_once(word).map(|r| r.1));
        rest = at.unwrap_or_else(|| panic!("{step:?}:\n{life}"));
    }
    rig.finish(&["m1"]);
}

pub fn what_was_taken_on_outlives_a_planned_end<W: Wire>() {
    let mut rig = Rig::<W>::start(&[("p", "a")]);
    rig.take_on(&message("m1"));
    rig.call().answer(Answer::Full(Some(5000)));
    rig.program.says("Rejected");
    rig.program.terminate();
    rig.program.says("told to end");
    // Connections that still come are answered.
    rig.client = W::client(rig.address);
    rig.take_on(&message("m2"));
    assert!(rig.program.ended().success());
    rig.quiet(10 * MS);
    rig.start_again();
    for _ in 0..2 {
        rig.call().answer(Answer::Delivered);
    }
    rig.finish(&["m1", "m2"]);
}

pub fn a_message_out_of_time_at_the_start_ends_at_once<W: Wire>() {
    let mut rig = Rig::<W>::start(&[("p", "a")]);
    rig.take_on(&Message {
        left: Duration::from_secs(1),
        ..message("m1")
    });
    let out = rig.call();
    rig.program.kill();
    std::thread::sleep(1100 * MS);
    rig.start_again();
    assert_eq!(rig.end("m1"), End::Undeliverable);
    drop(out);
    rig.finish(&[]);
}

pub fn a_full_sender_rejects_with_a_wait<W: Wire>() {
    let mut rig = Rig::<W>::start_with(&[("p", "a")], 2);
    rig.take_on(&message("m1"));
    let out = rig.call();
    for id in ["m2", "m3"] {
        let Heard::Rejected(wait) = rig.hand_in(&message(id)) else {
            panic!("{id} not rejected")
        };
        assert!(wait > Duration::ZERO && wait <= Duration::from_secs(2));
    }
    out.answer(Answer::Delivered);
    rig.program.says("m1: p Delivered");
    rig.take_on(&message("m2"));
    rig.call().answer(Answer::Delivered);
    rig.finish(&["m1", "m2"]);
}

pub fn a_message_given_up_is_answered_at_once<W: Wire>() {
    let mut rig = Rig::<W>::start(&[("p", "a")]);
    rig.take_on(&Message {
        left: Duration::from_secs(2),
        ..message("m1")
    });
    let told = Instant::now();
    rig.call().answer(Answer::Full(Some(5000)));
    // The wait outlasts it: no reason to hold it to its deadline.
    let End::Deferred(again) = rig.end("m1") else {
        panic!("not deferred")
    };
    assert!(told.elapsed() < Duration::from_millis(500));
    assert_eq!(
        again,
        Duration::from_secs(2),
        "the wait, as far as clients heed one"
    );
    // And one that cannot make it is turned away as it comes, with the time to come back.
    let Heard::Rejected(wait) = rig.hand_in(&Message {
        left: Duration::from_secs(2),
        ..message("m2")
    }) else {
        panic!("not rejected");
    };
    assert!(wait > Duration::from_secs(1));
    rig.finish(&[]);
}

pub fn garbage_from_a_client_harms_nobody_else<W: Wire>() {
    let mut rig = Rig::<W>::start(&[("p", "a")]);
    let address = rig.address;
    for bytes in W::garbage() {
        let mut stream = TcpStream::connect(address).expect("connected");
        // It may be cut off before all is written.
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut answer = Vec::new();
        stream
            .read_to_end(&mut answer)
            .expect("an answer and an end, no reset");
        assert!(!answer.is_empty());
    }
    rig.take_on(&message("m1"));
    rig.call().answer(Answer::Delivered);
    rig.finish(&["m1"]);
}

pub fn without_room_what_is_new_is_refused_and_what_is_held_ends<W: Wire>() {
    let mut rig = Rig::<W>::start_by(&[("p", "a")], settings(400));
    rig.serves(&["first"], "p");
    if W::TELLS_DELIVERY {
        assert_eq!(rig.end("first"), End::Delivered);
    }
    let big = |id: &str| Message {
        body: vec![7; 60_000],
        ..message(id)
    };
    let mut held = Vec::new();
    for n in 0..4 {
        held.push(format!("m{n}"));
        rig.take_on(&big(&held[n]));
    }
    // Less than a segment: none can be added, and the last part of those that are there cannot be
    // written.
    bound(&rig.program, Some(100_000));
    let wait = loop {
        let m = big(&format!("m{}", held.len()));
        let begun = Instant::now();
        let heard = rig.hand_in(&m);
        assert!(begun.elapsed() < 300 * MS, "a refusal is told at once");
        match heard {
            Heard::TakenOn => held.push(m.id),
            Heard::Rejected(wait) => break wait,
            Heard::Failed => panic!("failed"),
        }
        assert!(held.len() < 40, "never full");
    };
    assert!(wait > Duration::ZERO, "with a time to come back");
    for n in 0..50 {
        assert!(matches!(
            rig.hand_in(&big(&format!("more{n}"))),
            Heard::Rejected(_)
        ));
    }
    // A start without room succeeds and serves what it owes.
    rig.program.kill();
    rig.start_bounded("-f", (100_000) / 512);
    let mut left = held.clone();
    while !left.is_empty() {
        // A call of the process before may still come out of its connection; answering that one
        // ends nothing.
        if let Ok(call) = rig.providers.calls.recv_timeout(50 * MS) {
            call.answer(Answer::Delivered);
        }
        let log = rig.program.log();
        left.retain(|id| !log.contains(&format!("{id}: p Delivered")));
    }
    bound(&rig.program, None);
    std::thread::sleep(600 * MS);
    rig.serves(&["last"], "p");
    let log = rig.program.log();
    let lines = log
        .lines()
        .filter(|l| l.contains("takes nothing on"))
        .count();
    assert!(lines <= 1, "one line at each change: {log}");
    let all: Vec<&str> = held
        .iter()
        .map(String::as_str)
        .chain(["first", "last"])
        .collect();
    rig.finish(&all);
}

/// A door that lets two of this client's messages in at once, of twenty that there is room for.
fn the_door_lets_two_in<W: Wire>(door: &str, why: &str) {
    let mut rig = Rig::<W>::start_by(&[("p", "a")], format!("[door]\n{door}\n{}", settings(20)));
    for id in ["m1", "m2"] {
        rig.take_on(&message(id));
    }
    let Heard::Rejected(wait) = rig.hand_in(&message("m3")) else {
        panic!("not rejected")
    };
    rig.program.says(&format!("m3: rejected, {why}"));
    assert!(wait >= 100 * MS, "{wait:?}");
    for _ in 0..2 {
        // They may come in either order.
        let call = rig.call();
        call.answer(Answer::Delivered);
        rig.program
            .says(&format!("{}: p Delivered", call.message.id));
    }
    std::thread::sleep(wait);
    rig.take_on(&message("m3"));
    rig.call().answer(Answer::Delivered);
    rig.finish(&["m1", "m2", "m3"]);
}

pub fn one_client_does_not_fill_the_room<W: Wire>() {
    the_door_lets_two_in::<W>("client_share = 0.1", "client share");
}

pub fn a_class_does_not_fill_the_room<W: Wire>() {
    the_door_lets_two_in::<W>("class_room = { event = 0.1 }", "class room");
}

pub fn unknown_clients_do_not_fill_the_room<W: Wire>() {
    the_door_lets_two_in::<W>("known = [\"192.0.2.1\"]\nknown_room = 0.9", "known room");
}

pub fn a_client_that_hands_in_too_often_is_told_when_to_come_back<W: Wire>() {
    the_door_lets_two_in::<W>("messages_per_client = 1.0\nburst_s = 2.0", "client rate");
}

/// Where even the quickest delivery takes longer than the target, less is taken on than there is
/// room for; where it is quick again, more.
pub fn what_is_held_follows_what_is_delivered<W: Wire>() {
    let text = format!("[door]\ntarget_ms = 150\n{}", settings(40));
    let mut rig = Rig::<W>::start_by(&[("p", "a"), ("q", "a")], text);
    let (mut made, mut held, mut out) = (0, Vec::new(), Vec::new());
    let begun = Instant::now();
    let wait = loop {
        assert!(
            begun.elapsed() < Duration::from_secs(10),
            "{made} taken on, and none rejected"
        );
        while held.len() < 12 {
            let id = format!("m{made}");
            match rig.hand_in(&message(&id)) {
                Heard::TakenOn => held.push(id),
                Heard::Rejected(wait) => {
                    out.push(wait);
                    break;
                }
                Heard::Failed => panic!("{id} failed"),
            }
            made += 1;
        }
        if let Some(wait) = out.pop() {
            break wait;
        }
        // Each stays longer than the target.
        std::thread::sleep(200 * MS);
        for call in std::iter::from_fn(|| rig.providers.calls.try_recv().ok()) {
            call.answer(Answer::Delivered);
            held.retain(|id| *id != call.message.id);
        }
    };
    assert!(
        held.len() < 12 && wait >= 100 * MS,
        "{} held, {wait:?}",
        held.len()
    );
    while let Some(id) = held.pop() {
        let call = rig.call();
        call.answer(Answer::Delivered);
        held.push(id);
        held.retain(|id| *id != call.message.id);
    }
    std::thread::sleep(wait);
    let id = format!("m{made}");
    rig.take_on(&message(&id));
    rig.call().answer(Answer::Delivered);
    let all: Vec<String> = (0..=made).map(|n| format!("m{n}")).collect();
    rig.finish(&all.iter().map(String::as_str).collect::<Vec<_>>());
}
