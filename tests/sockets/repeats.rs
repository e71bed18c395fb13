//! Messages that come again under the id of one that has ended, and clients that leave: nothing runs
//! twice, and nothing runs for a client that was gone before it could hear of it.

use crate::http::{answer, request, Http};
use crate::mqtt::Mqtt;
use crate::rig::{message, settings, Answer, End, Heard, Message, Rig, Wire};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// After these times a message comes again, beginning with its end.
const COMES_AGAIN_AFTER: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_secs(1),
];
/// Nothing runs within this time: far more than a call takes to begin.
const QUIET: Duration = Duration::from_millis(300);
/// Messages that a client writes at once before it leaves.
const AT_ONCE: usize = 40;

/// Settings whose class has this effect.
fn with_effect(effect: &str) -> String {
    settings(100).replace("effect = \"token\"", &format!("effect = \"{effect}\""))
}

/// A delivered message comes again, also after a restart: it is answered as delivered, and does not
/// run again.
fn a_delivered_message_that_comes_again_runs_once<W: Wire>(effect: &str) {
    let mut rig = Rig::<W>::start_by(&[("p", "a")], with_effect(effect));
    rig.take_on(&message("m1"));
    rig.call().answer(Answer::Delivered);
    rig.program.says("m1: p Delivered");
    if W::TELLS_DELIVERY {
        assert_eq!(rig.end("m1"), End::Delivered);
    }
    for after in COMES_AGAIN_AFTER {
        thread::sleep(after);
        assert_eq!(rig.client.hand_in(&message("m1")), Heard::TakenOn);
        rig.quiet(QUIET);
    }
    rig.program.kill();
    rig.start_again();
    assert_eq!(rig.client.hand_in(&message("m1")), Heard::TakenOn);
    rig.quiet(QUIET);

    // Another message under the same id would be taken for this one by its client.
    let other = Message {
        key: "another".into(),
        ..message("m1")
    };
    assert_eq!(rig.client.hand_in(&other), Heard::Failed);
    rig.quiet(QUIET);
}

/// Guards against a message that runs twice in a class in which none may.
#[test]
fn a_delivered_message_that_may_not_be_repeated_runs_once_over_http() {
    a_delivered_message_that_comes_again_runs_once::<Http>("side_effect");
}

/// Guards against a message that runs twice in a class with keys.
#[test]
fn a_delivered_message_with_a_key_runs_once_over_http() {
    a_delivered_message_that_comes_again_runs_once::<Http>("token");
}

/// Guards against a message that runs twice in a class in which none may.
#[test]
fn a_delivered_message_that_may_not_be_repeated_runs_once_over_mqtt() {
    a_delivered_message_that_comes_again_runs_once::<Mqtt>("side_effect");
}

/// Guards against a message whose end is not known and that runs again under its id.
#[test]
fn a_message_that_failed_and_may_have_run_does_not_run_again() {
    let mut rig = Rig::<Http>::start_by(&[("p", "a")], with_effect("side_effect"));
    rig.take_on(&message("m1"));
    rig.call().answer(Answer::Error);
    assert_eq!(rig.end("m1"), End::Undeliverable);
    rig.program.says("m1: final answer told");

    assert_eq!(rig.client.hand_in(&message("m1")), Heard::Failed);
    rig.quiet(QUIET);
    rig.finish(&[]);
}

/// Stands the program still while something is done that it finds afterwards, all at once.
fn while_stopped(rig: &Rig<Http>, what: impl FnOnce()) {
    rig.program.signal("STOP");
    what();
    thread::sleep(20 * MS);
    rig.program.signal("CONT");
}

/// Guards against messages that are sent on for a client that had left before it was answered.
#[test]
fn what_a_client_wrote_before_it_left_unanswered_is_not_sent_on() {
    for at_once in [1, AT_ONCE] {
        let rig = Rig::<Http>::start(&[("p", "a")]);
        while_stopped(&rig, || {
            let mut stream = TcpStream::connect(rig.address).expect("connected");
            for number in 0..at_once {
                let bytes = request(&message(&format!("m{number}")));
                stream.write_all(&bytes).expect("written");
            }
        });
        rig.quiet(QUIET);
        rig.finish(&[]);
    }
}

/// Guards against a client that has ended only what it sends and is taken for one that has left.
#[test]
fn a_client_that_only_ended_what_it_sends_is_answered_and_its_message_delivered() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    let mut stream = TcpStream::connect(rig.address).expect("connected");
    while_stopped(&rig, || {
        stream.write_all(&request(&message("m1"))).expect("written");
        stream.shutdown(Shutdown::Write).expect("shut");
    });
    assert_eq!(answer(&mut stream).expect("an answer").0, 202);
    rig.call().answer(Answer::Delivered);
    rig.finish(&["m1"]);
}
