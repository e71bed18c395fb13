use super::*;
use crate::delivery::Envelope;
use std::time::Duration;

fn logs(of: &[(&str, &str)]) -> TraceLogs {
    let mut logs = TraceLogs::default();
    of.iter()
        .for_each(|(sender, text)| logs.read(sender, text.as_bytes()).expect("read"));
    logs
}

#[test]
fn a_lifecycle_is_joined_over_senders_in_order_of_time_and_over_ids_of_one_key() {
    let logs = logs(&[
        (
            "n2",
            "10.5 [DEBUG raildeal::delivery::message] b: taken on, class 0, dest 3, key k1, 9s left\n\
             10.6 [DEBUG raildeal::delivery::message] b: its client is told that it is taken on\n\
             11.0 [DEBUG raildeal::delivery::message] b: call 1 to p, for 2s\n\
             11.5 [DEBUG raildeal::delivery::message] b: dest 3 Delivered, 8s left\n",
        ),
        (
            "n1",
            "9.25 [DEBUG raildeal::delivery::message] a: taken on, class 0, dest 3, key k1, 12s left\n\
             9.5 [INFO  raildeal] n1: something else\n\
             \u{fffd}\u{0}: no line\n\
             9.75 [DEBUG raildeal::delivery::message] a: dest 3 Deferred { again_ms: 5 }, 11s left\n",
        ),
    ]);
    let lifecycle = logs.lifecycle("b").expect("known");
    let ids: Vec<&str> = lifecycle
        .lines()
        .take(6)
        .map(|l| l.split_whitespace().nth(2).expect("an id"))
        .collect();
    assert_eq!(ids, ["a", "a", "b", "b", "b", "b"]);
    assert!(
        lifecycle.contains("n1       a taken on") && lifecycle.ends_with("a: kept\nb: kept\n"),
        "{lifecycle}"
    );
    assert_eq!((logs.lifecycle("c"), logs.message_count()), (None, 2));
}

#[test]
fn messages_without_a_key_have_lifecycles_of_their_own() {
    let accepted = step::accepted(&Envelope::default(), 0, Duration::from_secs(12));
    let line = |id: &str| format!("1.0 [DEBUG raildeal::delivery::message] {id}: {accepted}\n");
    let lifecycle = logs(&[("n1", &["a", "b"].map(line).concat())])
        .lifecycle("b")
        .expect("known");
    assert_eq!(lifecycle.lines().count(), 2, "{lifecycle}");
}

#[test]
fn a_message_held_when_the_logs_end_is_no_fault_and_an_id_may_be_reused() {
    let line = |text: &str| {
        format!(
            "{}\n",
            text.replacen(' ', " [DEBUG raildeal::delivery::message] ", 1)
        )
    };
    let log: String = [
        "1.0 held: taken on, class 0, dest 3, key k, 12s left",
        "1.0 held: its client is told that it is taken on",
        "1.0 lost: taken up with 1500.5ms left, 2 calls made, ran: Some((1, 2))",
        "2.0 sent: taken up with 5s left, 1 calls made, ran: Some((1, 2))",
        "2.1 sent: dest 3 Undeliverable, 4s left",
        "3.0 again: taken on, class 0, dest 3, key k, 12s left",
        "3.1 again: dest 3 Delivered, 11s left",
        "4.0 again: taken on, class 0, dest 3, key l, 12s left",
        "4.1 again: dest 3 Delivered, 11s left",
    ]
    .map(line)
    .concat();
    assert_eq!(
        logs(&[("n1", &log)]).faulty_messages(),
        [("lost", vec![LifecycleFault::NoEnd])]
    );
}

#[test]
fn faulty_lifecycles_are_reported() {
    let line = |text: &str| {
        format!("2026-12-01T10:00:00.000Z DEBUG raildeal::delivery::message] {text}\n")
    };
    let log: String = [
        "lost: its client is told that it is taken on",
        "up: taken up with 3s left, 1 calls made, ran: None",
        "up: dest 1 Deferred { again_ms: 0 }, 1s left",
        "late: dest 1 Delivered, 0ns left",
        "unsent: dest 1 Undeliverable, 2s left",
        "sent: call 1 to p, for 1s",
        "sent: dest 1 Undeliverable, 2s left",
        "twice: dest 1 Delivered, 2s left",
        "twice: dest 1 Delivered, 1s left",
        "again: taken up with 3s left, 0 calls made, ran: None",
        "again: final answer told",
        "gone: taken up with 0ns left, 0 calls made, ran: None",
        "gone: dest 1 Deferred { again_ms: 5 }, 0ns left",
    ]
    .map(line)
    .concat();
    let logs = logs(&[("n1", &log)]);
    let expected = [
        ("late", vec![LifecycleFault::Late]),
        ("lost", vec![LifecycleFault::NoEnd]),
        ("twice", vec![LifecycleFault::TwoEnds]),
        ("unsent", vec![LifecycleFault::FailedUnsent]),
    ];
    assert_eq!(logs.faulty_messages(), expected);
}
