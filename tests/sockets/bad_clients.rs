//! Clients that say nothing, never end or send too much: each is told or closed in time, and keeps
//! nobody waiting.

use crate::http::{answer, request, Http};
use crate::mqtt::{connect, publish, read, send, Mqtt};
use crate::rig::{message, Answer, End, Heard, Message, Rig, Wire};
use mqtt_proto::v5::{Packet, PubackReasonCode, Publish};
use mqtt_proto::TopicName;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// An error or a close is due this long after a client connected.
const DUE: Duration = Duration::from_secs(3);

/// Waits for the end of a connection, and gives what came before it.
fn ended(stream: &mut TcpStream, by: Instant) -> Vec<u8> {
    let mut told = Vec::new();
    stream
        .set_read_timeout(Some(by.saturating_duration_since(Instant::now())))
        .expect("a time-out");
    match stream.read_to_end(&mut told) {
        Ok(_) => told,
        Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => told,
        Err(e) => panic!("neither told nor closed: {e}"),
    }
}

/// Far more silent clients than there are seats, and still each usual one is answered as soon as
/// ever.
fn a_silent_crowd_keeps_nobody_waiting<W: Wire>() {
    let mut rig = Rig::<W>::start_narrow(&[("p", "a")], 64);
    let mut crowd = Vec::new();
    for round in 0..3 {
        let connect = |_| TcpStream::connect(rig.address).expect("connected");
        crowd.extend((0..60).map(connect).map(|s| (Instant::now(), s)));
        let id = format!("m{round}");
        let asked = Instant::now();
        rig.client = W::client(rig.address);
        rig.take_on(&message(&id));
        assert!(
            asked.elapsed() < Duration::from_millis(400),
            "{id} waited {:?}",
            asked.elapsed()
        );
        rig.call().answer(Answer::Delivered);
        if W::TELLS_DELIVERY {
            assert_eq!(rig.end(&id), End::Delivered);
        }
    }
    for (since, stream) in &mut crowd {
        ended(stream, *since + DUE);
    }
    rig.finish(&["m0", "m1", "m2"]);
}

#[test]
fn a_silent_crowd_keeps_no_http_client_waiting() {
    a_silent_crowd_keeps_nobody_waiting::<Http>();
}

#[test]
fn a_silent_crowd_keeps_no_mqtt_client_waiting() {
    a_silent_crowd_keeps_nobody_waiting::<Mqtt>();
}

#[test]
fn a_request_that_never_ends_is_ended() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    let whole = request(&message("m1"));
    for cut in [1, 40, whole.len() - 1] {
        let since = Instant::now();
        let mut stream = TcpStream::connect(rig.address).expect("connected");
        stream.write_all(&whole[..cut]).expect("written");
        let (status, _) = answer(&mut stream).expect("an answer");
        assert_eq!(status, 408, "cut at {cut}");
        assert!(since.elapsed() < DUE);
    }
    rig.finish(&[]);
}

#[test]
fn a_connection_that_was_answered_ends_when_it_rests() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    let mut stream = TcpStream::connect(rig.address).expect("connected");
    stream.write_all(&request(&message("m1"))).expect("written");
    assert_eq!(answer(&mut stream).expect("an answer").0, 202);
    rig.call().answer(Answer::Delivered);
    assert!(ended(&mut stream, Instant::now() + DUE).is_empty());
    rig.finish(&["m1"]);
}

/// Closed on unread bytes the connection would be reset, and the answer lost to a client that
/// writes first.
#[test]
fn a_client_that_writes_60_mb_first_still_hears_why_not() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    let since = Instant::now();
    let mut stream = TcpStream::connect(rig.address).expect("connected");
    let body = vec![7; 60_000_000];
    stream
        .write_all(&request(&Message {
            body,
            ..message("m1")
        }))
        .expect("written");
    assert_eq!(answer(&mut stream).expect("an answer").0, 413);
    assert!(since.elapsed() < Duration::from_secs(6));
    rig.finish(&[]);
}

/// Its client would take another message's end for its own.
#[test]
fn another_message_under_a_held_id_is_not_taken_on() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.take_on(&message("m1"));
    let call = rig.call();
    let other = Message {
        key: "another".into(),
        ..message("m1")
    };
    assert_eq!(rig.hand_in(&other), Heard::Failed);
    assert_eq!(rig.hand_in(&message("m1")), Heard::TakenOn);
    call.answer(Answer::Delivered);
    rig.quiet(Duration::from_millis(200));
    rig.finish(&["m1"]);
}

/// Held for as long as its client says, it could keep a seat and a line in the journal for a day.
#[test]
fn no_message_is_held_for_longer_than_its_class_allows() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.take_on(&Message {
        left: Duration::from_secs(80_000),
        ..message("m1")
    });
    let call = rig.call();
    call.answer(Answer::Full(Some(20_000)));
    assert!(matches!(rig.end("m1"), End::Deferred(_)));
    rig.finish(&[]);
}

#[test]
fn a_destination_that_nobody_listed_is_rejected() {
    let rig = Rig::<Mqtt>::start(&[("p", "a")]);
    let mut stream = connect(rig.address);
    let topic_name = TopicName::try_from("event/8").expect("a topic");
    let publish = Publish {
        topic_name,
        ..publish(&message("m1"), 5)
    };
    send(&mut stream, &Packet::Publish(publish)).expect("written");
    let Packet::Puback(ack) = read(&mut stream).expect("an answer") else {
        panic!("no PUBACK")
    };
    assert_eq!(ack.reason_code, PubackReasonCode::QuotaExceeded);
    rig.finish(&[]);
}
