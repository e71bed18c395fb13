//! Messages that come again under the id of one that has ended: nothing runs twice.

use crate::http::Http;
use crate::mqtt::Mqtt;
use crate::rig::{message, settings, Answer, End, Heard, Message, Rig, Wire};
use std::thread;
use std::time::Duration;

/// After these times a message comes again, beginning with its end.
const COMES_AGAIN_AFTER: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_secs(1),
];
/// Nothing runs within this time: far more than a call takes to begin.
const QUIET: Duration = Duration::from_millis(300);

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
