//! Answers that cannot be read, and good ones that bring more than is theirs.

use crate::http::Http;
use crate::rig::{message, Answer, Message, Rig, Wire};
use std::time::{Duration, Instant};

const MORE: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Hands two messages in, of which the first gets these bytes; gives whether the second came on the
/// same connection.
fn delivered_by(bytes: &'static [u8]) -> bool {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.take_on(&message("m1"));
    let first = rig.call();
    let since = Instant::now();
    first.answer(Answer::Raw(bytes));
    rig.program.says("m1: p Delivered");
    assert!(
        since.elapsed() < Duration::from_secs(1),
        "its slot was kept"
    );
    rig.take_on(&message("m2"));
    let second = rig.call();
    // What the first answer left behind is not the second one's.
    second.answer(Answer::Error);
    rig.program.says("m2: p Error");
    rig.call().answer(Answer::Delivered);
    let same = first.connection == second.connection;
    rig.finish(&["m1", "m2"]);
    same
}

#[test]
fn a_first_line_with_200_is_true_and_its_connection_is_not_used_again() {
    for spoilt in [
        b"HTTP/1.1 200 OK\r\n\x00\xff\xfe\r\n\r\n".as_slice(),
        b"HTTP/1.1 200 OK\r\nX-Head: never ends\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nok",
        MORE,
    ] {
        assert!(!delivered_by(spoilt), "{}", String::from_utf8_lossy(spoilt));
    }
}

#[test]
fn an_answer_with_what_does_not_matter_before_it_is_good() {
    for good in [
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".as_slice(),
        b"HTTP/1.1 200 OK\r\nX-Pressure: x0=NaN,,=\r\nContent-Length: 0\r\n\r\n",
    ] {
        assert!(delivered_by(good), "{}", String::from_utf8_lossy(good));
    }
}

/// It stays in the zone that may have run it, on another connection, well before the call's
/// time-out of 2 s.
fn may_have_run<W: Wire>(spoilt: &'static [u8]) {
    let mut rig = Rig::<W>::start(&[("p", "a"), ("q", "b")]);
    rig.take_on(&message("m1"));
    let first = rig.call();
    first.answer(Answer::Raw(spoilt));
    let second = rig.call();
    assert_eq!(second.provider, first.provider, "{spoilt:?}");
    assert_ne!(second.connection, first.connection, "{spoilt:?}");
    assert!(
        second.at - first.at < Duration::from_millis(1500),
        "{spoilt:?}"
    );
    second.answer(Answer::Delivered);
    rig.finish(&["m1"]);
}

#[test]
fn a_spoilt_answer_is_a_failed_attempt_that_may_have_run() {
    for spoilt in [
        b"\x00\xff\xfe noise".as_slice(),
        b"HTTP/1.1 503 Busy\r\nX-Head: never ends\r\n",
        b"HTTP/1.1 429 Slow down\r\nX-RateLimit-Wait-Ms: 5000\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 201 Created\r\nContent-Length: 3000000000\r\n\r\n",
    ] {
        may_have_run::<Http>(spoilt);
    }
}

#[test]
fn noise_from_a_broker_is_a_failed_attempt_that_may_have_run() {
    for spoilt in [
        b"\xff\xff\xff\xff\xff\xff".as_slice(),
        b"\x40",
        b"\x40\xff\xff\x7f",
    ] {
        may_have_run::<crate::mqtt::Mqtt>(spoilt);
    }
}

/// A machine that takes over an address is another provider, and a connection to the old one is
/// none to it.
#[test]
fn a_connection_put_back_late_is_not_another_provider_s() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.take_on(&message("m1"));
    let first = rig.call();
    let line = rig.discovery.targets().remove(0);
    let address = line["endpoint"]
        .as_str()
        .expect("text")
        .parse()
        .expect("an address");
    rig.discovery.list("p", address, "a", Http::KIND, "left");
    rig.program.says("Gone");
    rig.discovery.list("q", address, "a", Http::KIND, "active");
    rig.program.says("provider q ");
    first.answer(Answer::Delivered);
    rig.program.says("m1: p Delivered");
    rig.take_on(&Message { ..message("m2") });
    let second = rig.call();
    assert_ne!(second.connection, first.connection);
    second.answer(Answer::Delivered);
    rig.program.says("m2: q Delivered");
    rig.finish(&["m1", "m2"]);
}
