//! What only the MQTT front has: packet ids, subscriptions, versions.

use crate::mqtt::{connect, connect_as, publish, read, send, subscribe, Mqtt};
use crate::rig::{message, Answer, Rig};
use mqtt_proto::v5::{Connect, DisconnectReasonCode, Packet, Puback, PubackReasonCode, Publish};
use mqtt_proto::{v3, QoS, QosPid};
use std::io::{Read, Write};
use std::net::TcpStream;

fn acknowledged(stream: &mut TcpStream) -> Puback {
    match read(stream).expect("an answer") {
        Packet::Puback(ack) => ack,
        other => panic!("{other:?}"),
    }
}

/// The next final answer.
fn told(stream: &mut TcpStream) -> Publish {
    loop {
        match read(stream).expect("a packet") {
            Packet::Publish(end) => return end,
            Packet::Suback(_) => {}
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_message_handed_in_once_more_while_held_is_taken_on_once() {
    let rig = Rig::<Mqtt>::start(&[("p", "a")]);
    // Its client lost the connection before it saw the acknowledgement.
    for dup in [false, true] {
        let mut stream = connect(rig.address);
        let again = Publish {
            dup,
            ..publish(&message("m1"), 5)
        };
        send(&mut stream, &Packet::Publish(again)).expect("written");
        assert_eq!(
            acknowledged(&mut stream).reason_code,
            PubackReasonCode::Success
        );
    }
    rig.call().answer(Answer::Delivered);
    rig.quiet(std::time::Duration::from_millis(200));
    rig.finish(&["m1"]);
}

#[test]
fn a_final_answer_waits_for_a_subscriber_and_for_its_acknowledgement() {
    let mut rig = Rig::<Mqtt>::start(&[("p", "a")]);
    rig.client
        .stream
        .shutdown(std::net::Shutdown::Both)
        .expect("shut");
    let mut stream = connect(rig.address);
    send(&mut stream, &Packet::Publish(publish(&message("m1"), 5))).expect("written");
    assert_eq!(
        acknowledged(&mut stream).reason_code,
        PubackReasonCode::Success
    );
    rig.call().answer(Answer::Delivered);
    rig.program.says("m1: p Delivered");
    drop(stream);
    // The first one that subscribes goes away without a word; the next one gets it again.
    let mut first = connect(rig.address);
    subscribe(&mut first, QoS::Level1);
    assert_eq!(told(&mut first).payload.as_ref(), b"delivered");
    drop(first);
    let mut second = connect(rig.address);
    subscribe(&mut second, QoS::Level1);
    let end = told(&mut second);
    assert_eq!(
        end.properties.correlation_data.as_deref(),
        Some(b"re m1".as_slice())
    );
    let ack = Puback::new_success(end.qos_pid.pid().expect("QoS 1"));
    send(&mut second, &Packet::Puback(ack)).expect("written");
    rig.program.terminate();
    rig.program.says("ends with 0 messages");
}

#[test]
fn a_subscriber_at_qos_0_is_told_once_and_acknowledges_nothing() {
    let rig = Rig::<Mqtt>::start(&[("p", "a")]);
    rig.client
        .stream
        .shutdown(std::net::Shutdown::Both)
        .expect("shut");
    let mut stream = connect(rig.address);
    subscribe(&mut stream, QoS::Level0);
    assert!(matches!(read(&mut stream), Ok(Packet::Suback(_))));
    send(&mut stream, &Packet::Publish(publish(&message("m1"), 5))).expect("written");
    assert_eq!(
        acknowledged(&mut stream).reason_code,
        PubackReasonCode::Success
    );
    rig.call().answer(Answer::Delivered);
    let end = told(&mut stream);
    assert_eq!(
        (end.payload.as_ref(), end.qos_pid),
        (b"delivered".as_slice(), QosPid::Level0)
    );
    rig.program.terminate();
    let mut program = rig.program;
    program.says("ends with 0 messages");
}

#[test]
fn a_client_that_comes_back_under_its_name_takes_its_place() {
    let rig = Rig::<Mqtt>::start(&[]);
    let named = || connect_as(rig.address, Connect::new("one".into(), 60));
    let (mut first, mut second) = (named(), named());
    match read(&mut first).expect("a last word") {
        Packet::Disconnect(end) => {
            assert_eq!(end.reason_code, DisconnectReasonCode::SessionTakenOver)
        }
        other => panic!("{other:?}"),
    }
    assert!(read(&mut first).is_err());
    send(&mut second, &Packet::Pingreq).expect("written");
    assert_eq!(read(&mut second).expect("an answer"), Packet::Pingresp);
    rig.finish(&[]);
}

#[test]
fn a_client_that_wants_no_reasons_is_told_none() {
    let rig = Rig::<Mqtt>::start(&[]);
    for (wants, told) in [(None, true), (Some(false), false)] {
        let mut plain = Connect::new(format!("plain-{told}").as_str().into(), 60);
        plain.properties.request_problem_info = wants;
        let mut stream = connect_as(rig.address, plain);
        let mut m = publish(&message("m1"), 5);
        m.properties.user_properties.clear();
        send(&mut stream, &Packet::Publish(m)).expect("written");
        assert_eq!(
            acknowledged(&mut stream).properties.reason_string.is_some(),
            told
        );
    }
    rig.finish(&[]);
}

#[test]
fn what_could_not_be_promised_is_not_taken() {
    let rig = Rig::<Mqtt>::start(&[("p", "a")]);
    let mut old = TcpStream::connect(rig.address).expect("connected");
    let connect_v3 = v3::Packet::Connect(v3::Connect::new("old".into(), 10))
        .encode()
        .expect("encoded");
    old.write_all(connect_v3.as_ref()).expect("written");
    // In the words of its own version, or it could not read them.
    let mut told = Vec::new();
    old.read_to_end(&mut told).expect("an answer and an end");
    let refused = v3::Packet::Connack(v3::Connack::new(
        false,
        v3::ConnectReturnCode::UnacceptableProtocolVersion,
    ));
    assert_eq!(told, refused.encode().expect("encoded").as_ref());
    let cut_off = |publish: Publish| {
        let mut stream = connect(rig.address);
        send(&mut stream, &Packet::Publish(publish)).expect("written");
        match read(&mut stream).expect("an answer") {
            Packet::Disconnect(end) => end.reason_code,
            other => panic!("{other:?}"),
        }
    };
    let m = publish(&message("m1"), 5);
    let at_most_once = Publish {
        qos_pid: QosPid::Level0,
        ..m.clone()
    };
    assert_eq!(cut_off(at_most_once), DisconnectReasonCode::QoSNotSupported);
    assert_eq!(
        cut_off(Publish {
            retain: true,
            ..m.clone()
        }),
        DisconnectReasonCode::RetainNotSupported
    );
    let mut stream = connect(rig.address);
    let mut refused = |publish: Publish| {
        send(&mut stream, &Packet::Publish(publish)).expect("written");
        acknowledged(&mut stream).reason_code
    };
    let elsewhere = Publish {
        topic_name: "event/x".try_into().expect("a topic"),
        ..m.clone()
    };
    assert_eq!(refused(elsewhere), PubackReasonCode::TopicNameInvalid);
    let mut nameless = m.clone();
    nameless.properties.user_properties.clear();
    assert_eq!(
        refused(nameless),
        PubackReasonCode::ImplementationSpecificError
    );
    assert_eq!(refused(m), PubackReasonCode::Success);
    rig.call().answer(Answer::Delivered);
    rig.finish(&["m1"]);
}
