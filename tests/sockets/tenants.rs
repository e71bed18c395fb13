//! Whose message it is, as its client says: read, written down, gone by, and kept across a restart;
//! and requests that can't be read, each of which ends its own connection alone.

use crate::http::{answer, header, request, Http};
use crate::mqtt::{connect, publish, read, send, Mqtt};
use crate::rig::{message, settings, Answer, Message, Rig, Wire};
use mqtt_proto::v5::{Packet, PubackReasonCode, Publish};
use raildeal::delivery::journal::inspect::inspect;
use raildeal::net::mqtt::packets::user;
use raildeal::NO_TENANT;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Two tenants with a half each, calls one at a time, and a door that tells often what it counted.
fn with_tenants() -> String {
    let shares = settings(100).replace("maxCalls = 12", "maxCalls = 1");
    let shares = shares.replace("weights = ", "overShareWorth = 0.2\nweights = ");
    let tenants =
        ["acme", "beta"].map(|n| format!("[[settings.accounts]]\nname = \"{n}\"\nshare = 0.5\n"));
    format!("[door]\nlog_every_s = 0.05\n{shares}{}", tenants.concat())
}

/// The request of a message, with these lines more.
fn with_lines(message: &Message, lines: &str) -> Vec<u8> {
    let head = format!("X-Lane: event\r\n{lines}");
    let whole = request(message);
    let at = whole
        .windows(15)
        .position(|w| w == b"X-Lane: event\r\n")
        .expect("its class");
    [&whole[..at], head.as_bytes(), &whole[at + 15..]].concat()
}

/// What a client hears of a message with these lines more.
fn hand_in<W: Wire>(rig: &Rig<W>, id: &str, lines: &str) -> u16 {
    let http = Http {
        address: rig.address,
    };
    http.ask(&with_lines(&message(id), lines))
        .expect("an answer")
        .0
}

/// Tenants of what is held, by id.
fn held<W: Wire>(rig: &Rig<W>) -> Vec<(String, u16)> {
    let seen = inspect(&rig.state()).expect("a folder").messages;
    let mut held: Vec<_> = seen.into_iter().map(|m| (m.id, m.tenant)).collect();
    held.sort();
    held
}

#[test]
fn a_request_s_tenant_is_read_and_kept_across_a_kill_and_no_other_name_is_taken() {
    let mut rig = Rig::<Http>::start_by(&[("p", "a")], with_tenants());
    let cases = [
        ("m0", "X-Org: beta\r\n", 202),
        ("m1", "x-oRG:beta  \r\n", 202),
        ("m2", "X-Org: acme\r\n", 202),
        ("m3", "", 202),
        ("n0", "X-Org: gamma\r\n", 400),
        ("n1", "X-Org: Beta\r\n", 400),
        ("n2", "X-Org:\r\n", 400),
        ("n3", "X-Org: acme\r\nX-Org: beta\r\n", 400),
        ("n4", "X-Org: beta\r\nx-org: beta\r\n", 400),
        ("n5", "X-Org: b\u{e9}ta\r\n", 400),
    ];
    for (id, lines, status) in cases {
        assert_eq!(hand_in(&rig, id, lines), status, "{lines}");
    }
    // One is out, and the others wait for its answer.
    let _out = rig.call();
    let tenants =
        [("m0", 1), ("m1", 1), ("m2", 0), ("m3", NO_TENANT)].map(|(id, n)| (id.to_string(), n));
    assert_eq!(held(&rig), tenants);
    // The same id of another tenant is another message.
    assert_eq!(hand_in(&rig, "m0", "X-Org: acme\r\n"), 500);
    assert_eq!(hand_in(&rig, "m0", "X-Org: beta\r\n"), 202);
    let told = rig.program.says("messages without a tenant 1");
    assert!(
        told.contains("requests refused (no such tenant) 4"),
        "{told}"
    );
    rig.program.kill();
    rig.start_again();
    assert_eq!(held(&rig), tenants);
    for _ in 0..4 {
        rig.call().answer(Answer::Delivered);
    }
    rig.finish(&[]);
}

#[test]
fn without_tenants_in_the_settings_the_header_is_nobody_s() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    for (id, lines) in [
        ("m0", "X-Org: gamma\r\n"),
        ("m1", "X-Org: a\r\nX-Org: b\r\n"),
        ("m2", ""),
    ] {
        assert_eq!(hand_in(&rig, id, lines), 202, "{lines}");
    }
    let calls: Vec<_> = (0..3).map(|_| rig.call()).collect();
    assert!(held(&rig).iter().all(|(_, tenant)| *tenant == 0));
    calls.iter().for_each(|call| call.answer(Answer::Delivered));
    rig.finish(&[]);
}

/// One of `acme`'s is out, many of its wait, and the one of `beta` came last.
fn the_one_within_its_share_goes_before_the_flood(killed: bool) {
    let mut rig = Rig::<Http>::start_by(&[("p", "a")], with_tenants());
    for n in 0..30 {
        assert_eq!(hand_in(&rig, &format!("a{n}"), "X-Org: acme\r\n"), 202);
    }
    let first = rig.call();
    assert_eq!(hand_in(&rig, "b", "X-Org: beta\r\n"), 202);
    if killed {
        rig.program.kill();
        rig.start_again();
    } else {
        first.answer(Answer::Delivered);
    }
    let mut ids = Vec::new();
    for _ in 0..30 + usize::from(killed) {
        let call = rig.call();
        ids.push(call.message.id.clone());
        call.answer(Answer::Delivered);
    }
    let place = ids.iter().position(|id| id == "b").expect("called");
    assert!(place < 10, "{ids:?}");
    rig.finish(&[]);
}

#[test]
fn traffic_over_a_tenant_s_share_waits_for_what_is_within_another_one_s() {
    the_one_within_its_share_goes_before_the_flood(false);
}

#[test]
fn the_next_process_still_knows_whose_share_a_message_is_within() {
    the_one_within_its_share_goes_before_the_flood(true);
}

#[test]
fn an_mqtt_client_names_its_tenant_by_a_user_property() {
    let rig = Rig::<Mqtt>::start_by(&[("p", "a")], with_tenants());
    let mut stream = connect(rig.address);
    let mut hear = |id: &str, orgs: &[&str]| {
        let mut publish: Publish = publish(&message(id), 5);
        publish
            .properties
            .user_properties
            .extend(orgs.iter().map(|org| user("org", *org)));
        send(&mut stream, &Packet::Publish(publish)).expect("written");
        match read(&mut stream).expect("an answer") {
            Packet::Puback(ack) => ack.reason_code,
            other => panic!("{other:?}"),
        }
    };
    for orgs in [&["gamma"][..], &[""], &["acme", "beta"]] {
        assert_eq!(
            hear("n", orgs),
            PubackReasonCode::ImplementationSpecificError,
            "{orgs:?}"
        );
    }
    assert_eq!(
        [hear("m0", &["beta"]), hear("m1", &[])],
        [PubackReasonCode::Success; 2]
    );
    let first = rig.call();
    assert_eq!(held(&rig), [("m0".into(), 1), ("m1".into(), NO_TENANT)]);
    first.answer(Answer::Delivered);
    rig.call().answer(Answer::Delivered);
    rig.finish(&[]);
}

/// Behind a good request on the same connection, so that its answer and its delivery are at stake,
/// too.
#[test]
fn what_cannot_be_read_ends_its_connection_and_nothing_else() {
    let mut rig = Rig::<Http>::start_by(&[("p", "a")], with_tenants());
    let whole = |body: Vec<u8>| {
        String::from_utf8(request(&Message {
            body,
            ..message("bad")
        }))
        .expect("text")
    };
    let small = whole(b"ok".to_vec());
    let length = |lines: &str| small.replace("Content-Length: 2", lines);
    let host = |lines: &str| small.replace("Host: app.svc", lines);
    let cases = [
        (b"\x16\x03\x01\x02\x00\x01\x00\xfc".to_vec(), 400),
        (b"\0\0\0\0\r\n\r\n".to_vec(), 400),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), 400),
        (length("Content-Length: 2\r\nContent-Length: 3").into(), 400),
        (length("Content-Length: 2, 3").into(), 400),
        (length("Content-Length: 0x2").into(), 400),
        (length("Content-Length:").into(), 400),
        (
            length("Content-Length: 2\r\nTransfer-Encoding: chunked").into(),
            400,
        ),
        (
            length("Transfer-Encoding: chunked\r\nContent-Length: 2").into(),
            400,
        ),
        (length("Transfer-Encoding: chunked").into(), 411),
        (length("Content-Length : 2").into(), 400),
        (length("Content-Length: 2\r\n 3").into(), 400),
        (host("Host: app.svc\r\nHost: other.svc").into(), 400),
        (host(&format!("X-Long: {}", "l".repeat(20_000))).into(), 431),
        (host(&"X-Many: 1\r\n".repeat(70)).into(), 431),
        (vec![b'A'; 20_000], 431),
        (small.replace("POST /event ", "POST /none ").into(), 404),
        (small.replace("X-Lane", "X-Org: none\r\nX-Lane").into(), 400),
        (whole(vec![b'o'; 64 * 1024 + 1]).into(), 413),
    ];
    let mut bystander = TcpStream::connect(rig.address).expect("connected");
    for (n, (bad, status)) in cases.iter().enumerate() {
        let told = String::from_utf8_lossy(&bad[..bad.len().min(300)]).into_owned();
        let (good, other) = (message(&format!("m{n}")), message(&format!("o{n}")));
        let mut stream = TcpStream::connect(rig.address).expect("connected");
        stream
            .write_all(&[request(&good), bad.clone()].concat())
            .expect("written");
        assert_eq!(answer(&mut stream).expect("an answer").0, 202, "{told}");
        let (heard, head) = answer(&mut stream).unwrap_or_else(|| panic!("no answer to {told}"));
        assert_eq!(
            (heard, header(&head, "connection")),
            (*status, Some("close")),
            "{told}"
        );
        assert_eq!(stream.read(&mut [0]).expect("closed in order"), 0, "{told}");
        bystander.write_all(&request(&other)).expect("written");
        assert_eq!(
            answer(&mut bystander).expect("an answer").0,
            202,
            "after {told}"
        );
        for _ in 0..2 {
            let call = rig.call();
            assert!(
                [&good.id, &other.id].contains(&&call.message.id),
                "{} after {told}",
                call.message.id
            );
            call.answer(Answer::Delivered);
        }
    }
    rig.program.says("requests refused (no such tenant) 1");
    rig.finish(&[]);
}
