//! SIGHUP: the configuration is read again, and the program moves to the discovery that it names.

use crate::discovery::Discovery;
use crate::http::{request, Http};
use crate::platform_only::{config, platform_command, until};
use crate::program::Program;
use crate::rig::{message, Answer, End, Message, Rig};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Less than any time-out of the old address could take.
const AT_ONCE: Duration = Duration::from_millis(400);

#[test]
fn watch_and_notices_move_at_once_and_nothing_held_is_harmed() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.take_on(&message("held"));
    let out = rig.call();
    for round in 0..3 {
        // The old address neither answers nor closes: nothing there may be waited for.
        rig.discovery.freeze(true);
        rig.discovery.be_deaf(usize::MAX);
        let next = Discovery::start_from(rig.discovery.rev() + 1, rig.discovery.targets());
        let (since, _old) = (Instant::now(), rig.move_discovery(next));
        until("a watch at the new address", || {
            rig.discovery.asked().len() == 1
        });
        assert!(since.elapsed() < AT_ONCE, "{:?}", since.elapsed());
        let uid = format!("q{round}");
        rig.add_provider(&uid, "b");
        rig.program.says(&format!("provider {uid} "));
        let id = format!("m{round}");
        rig.take_on(&Message {
            left: Duration::from_secs(2),
            ..message(&id)
        });
        let call = rig.call();
        call.answer(Answer::Full(Some(5000)));
        rig.drain(&call.provider);
    }
    assert!((0..3).all(|i| rig.end(&format!("m{i}")) != End::Delivered));
    out.answer(Answer::Delivered);
    rig.program.says("held: p Delivered");
    rig.finish(&["held"]);
}

#[test]
fn a_notice_that_is_on_its_way_goes_to_the_new_address() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.discovery.be_deaf(usize::MAX);
    rig.take_on(&Message {
        left: Duration::from_secs(2),
        ..message("m1")
    });
    rig.call().answer(Answer::Full(Some(5000)));
    rig.program.says("notices: answered 503");
    let next = Discovery::start_from(rig.discovery.rev() + 1, rig.discovery.targets());
    let _old = rig.move_discovery(next);
    assert!(matches!(rig.end("m1"), End::Deferred(_)));
    rig.finish(&[]);
}

#[test]
fn of_two_moves_in_quick_order_the_last_one_counts() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.take_on(&message("held"));
    let out = rig.call();
    let between = Discovery::start_from(rig.discovery.rev() + 1, rig.discovery.targets());
    let last = Discovery::start_from(rig.discovery.rev() + 2, rig.discovery.targets());
    // The one between answers nothing; signals that come together may count as one.
    between.freeze(true);
    let _old = rig.move_discovery(between);
    let _between = rig.move_discovery(last);
    until("a watch at the last address", || {
        rig.discovery.asked().len() == 1
    });
    rig.add_provider("q", "b");
    rig.program.says("provider q ");
    out.answer(Answer::Delivered);
    rig.finish(&["held"]);
}

#[test]
fn a_move_in_the_middle_of_a_take_up_loses_nothing() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    // More than there are slots, so that most of them still wait when the move comes.
    let ids: BTreeSet<String> = (0..30).map(|i| format!("m{i}")).collect();
    ids.iter().for_each(|id| rig.take_on(&message(id)));
    rig.call();
    rig.program.kill();
    rig.providers.calls.try_iter().for_each(drop);
    rig.start_again();
    let next = Discovery::start_from(rig.discovery.rev() + 1, rig.discovery.targets());
    let _old = rig.move_discovery(next);
    until("a watch at the new address", || {
        rig.discovery.asked().len() == 1
    });
    let mut delivered = BTreeSet::new();
    while delivered.len() < ids.len() {
        let call = rig.call();
        assert!(
            delivered.insert(call.message.id.clone()),
            "{} again",
            call.message.id
        );
        call.answer(Answer::Delivered);
    }
    assert_eq!(delivered, ids);
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    rig.finish(&ids);
}

/// The new directory may count its versions anew.
#[test]
fn a_whole_list_of_a_lower_version_counts_after_a_move() {
    let mut rig = Rig::<Http>::start(&[("p", "a"), ("q", "b")]);
    let targets = rig.discovery.targets();
    let kept = targets.into_iter().filter(|t| t["uid"] == "q").collect();
    let _old = rig.move_discovery(Discovery::start_from(1, kept));
    rig.program.says("provider p ");
    rig.serves(&["m1", "m2", "m3"], "q");
    rig.finish(&["m1", "m2", "m3"]);
}

/// Guards against a move that is forgotten, with the new list refused as an old one, where the old
/// watch ends in the turn in which the program learns of the move.
#[test]
fn a_move_counts_where_the_old_watch_ends_in_the_same_turn() {
    let mut rig = Rig::<Http>::start(&[("p", "a"), ("q", "b")]);
    let targets = rig.discovery.targets();
    let kept = targets.into_iter().filter(|t| t["uid"] == "q").collect();
    rig.program.signal("STOP");
    let old = rig.move_discovery(Discovery::start_from(1, kept));
    old.hang_up();
    rig.program.signal("CONT");
    rig.program.says("provider p ");
    rig.serves(&["m1", "m2", "m3"], "q");
    rig.finish(&["m1", "m2", "m3"]);
}

/// Guards against new work at a drained endpoint after a move to a directory that is behind the one
/// before.
#[test]
fn a_drain_that_was_told_outlives_an_older_list_after_a_move() {
    let mut rig = Rig::<Http>::start(&[("p", "a"), ("q", "b")]);
    let before = rig.discovery.targets();
    rig.drain("p");
    let _old = rig.move_discovery(Discovery::start_from(1, before));
    until("a watch at the new address", || {
        rig.discovery.asked().len() == 1
    });
    rig.add_provider("r", "b");
    rig.program.says("provider r ");
    let ids: Vec<String> = (0..12).map(|i| format!("m{i}")).collect();
    for id in &ids {
        rig.take_on(&message(id));
        let call = rig.call();
        assert_ne!(call.provider, "p");
        call.answer(Answer::Delivered);
    }
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    rig.finish(&ids);
}

/// Guards against new work at drained endpoints by a restart right after a move, which would rely
/// on the list for as long as before it.
#[test]
fn a_move_is_noted_for_the_next_process() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    let note = rig.state().join("trusted");
    let trusted_ms = || {
        let text = std::fs::read_to_string(&note).unwrap_or_default();
        let numbers: Vec<u64> = text.split_whitespace().flat_map(str::parse).collect();
        numbers
            .get(1)
            .zip(numbers.first())
            .map(|(until, at)| until - at)
    };
    until("a list that is relied on", || {
        trusted_ms().is_some_and(|ms| ms > 4_000)
    });
    let next = Discovery::start_from(rig.discovery.rev() + 1, rig.discovery.targets());
    next.freeze(true);
    let _old = rig.move_discovery(next);
    until("a watch at the new address", || {
        rig.discovery.asked().len() == 1
    });
    assert!(
        trusted_ms().is_some_and(|ms| ms <= 4_000),
        "{:?}",
        trusted_ms()
    );
    rig.finish(&[]);
}

#[test]
fn a_file_that_cannot_be_used_changes_nothing() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    let good = std::fs::read_to_string(rig.config_file()).expect("text");
    let elsewhere = good.replace(&rig.discovery.address.to_string(), "nowhere");
    for (text, words) in [
        ("name = ", "operator.toml"),
        (&elsewhere, "platform.discovery"),
    ] {
        std::fs::write(rig.config_file(), text).expect("a file");
        rig.program.signal("HUP");
        assert!(rig
            .program
            .says("configuration not read again")
            .contains(words));
    }
    std::fs::remove_file(rig.config_file()).expect("removed");
    rig.program.signal("HUP");
    rig.program.says("configuration not read again");
    rig.add_provider("q", "b");
    rig.program.says("provider q ");
    rig.take_on(&message("m1"));
    rig.call().answer(Answer::Delivered);
    rig.program.says("m1: ");
    rig.finish(&["m1"]);
}

/// The variable that was set at the start says where discovery was then; the file says where it is.
#[test]
fn the_file_s_discovery_counts_whatever_the_variable_says() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    let folder = TempDir::new().expect("a folder");
    let mut told = config(&folder, rig.discovery.whole());
    let mut command = platform_command(&folder, &told);
    let mut program = Program::spawn(command.env("NODE_DISCOVERY", "127.0.0.1:9"));
    let http = Http {
        address: program.port("platform"),
    };
    told["discovery"] = rig.discovery.address.to_string().into();
    platform_command(&folder, &told);
    assert_eq!(rig.discovery.asked().len(), 1);
    program.signal("HUP");
    until("a watch at the new address", || {
        rig.discovery.asked().len() == 2
    });
    assert_eq!(
        http.ask(&request(&message("m1"))).expect("an answer").0,
        202
    );
    rig.call().answer(Answer::Delivered);
    program.says("m1: p Delivered");
    rig.finish(&[]);
}
