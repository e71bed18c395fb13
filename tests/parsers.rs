//! Whatever reads bytes from outside: random cuts of what is valid, and random garbage. Seeds are
//! fixed.

use mqtt_proto::v5::{Connect, Packet, Publish};
use mqtt_proto::{Pid, QosPid, TopicName};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use raildeal::delivery::journal::legacy_v1 as v1;
use raildeal::net::dns::zone::Zone;
use raildeal::net::mqtt::packets::{self, encode, user, MAX_PACKET};
use raildeal::net::platform::{http, ingress, list};
use raildeal::store::faulty::FaultyDisk;
use raildeal::store::frame::SegmentHeader;
use raildeal::store::recover::{self, Replay, ReplayError};

fn fixed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(0x0071_da1d);
    ProptestConfig {
        rng_seed,
        failure_persistence: None,
        cases: 400,
        ..ProptestConfig::default()
    }
}

/// Counts what a store gives that holds nothing.
struct Nothing(usize);

impl Replay for Nothing {
    fn on_put(&mut self, _: u64, _: &[u8]) -> Result<(), ReplayError> {
        self.0 += 1;
        Ok(())
    }
    fn on_update(&mut self, _: u64, _: &[u8]) -> Result<(), ReplayError> {
        self.0 += 1;
        Ok(())
    }
    fn on_remove(&mut self, _: u64) {
        self.0 += 1;
    }
    fn on_possible_loss(&mut self) {}
    fn on_losses_known(&mut self, _: &[bool]) {}
}

/// Garbage that gets past the first look more often than plain noise does.
fn garbage() -> impl Strategy<Value = Vec<u8>> {
    let words = prop::sample::select(vec![
        "POST /event HTTP/1.1\r\n",
        "HTTP/1.1 200 OK\r\n",
        "Content-Length: ",
        "Transfer-Encoding: chunked\r\n",
        "\r\n",
        "\r\n\r\n",
        ":",
        "7fffffff",
        "{\"rev\":",
        "\"targets\":[",
        "]}",
        "\x30\x02",
        "\x10\x0d\0\x04MQTT\x05",
        "\0",
    ]);
    let piece = prop_oneof![
        words.prop_map(|w| w.as_bytes().to_vec()),
        vec(any::<u8>(), 0..24)
    ];
    vec(piece, 0..12).prop_map(|pieces| pieces.concat())
}

fn chunked(body: &[u8], sizes: &[usize]) -> Vec<u8> {
    let (mut bytes, mut rest) = (Vec::new(), body);
    for size in sizes.iter().cycle().map(|s| s + 1) {
        let (now, later) = rest.split_at(size.min(rest.len()));
        bytes.extend(format!("{:x};ext=1\r\n", now.len()).bytes());
        bytes.extend(now);
        bytes.extend(b"\r\n");
        if now.is_empty() {
            return bytes;
        }
        rest = later;
    }
    unreachable!("there is a size")
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn a_cut_request_waits_for_its_rest(id in "[!-~]{1,20}", length in 0usize..65_536, cut in any::<prop::sample::Index>()) {
        let text = format!("POST /event HTTP/1.1\r\nX-Txn: {id}\r\nContent-Length: {length}\r\n\r\n");
        prop_assert_eq!(http::request(&text.as_bytes()[..cut.index(text.len())]), Ok(None));
        let (request, len) = http::request(text.as_bytes()).expect("valid").expect("whole");
        prop_assert_eq!((request.headers.get("x-txn"), request.length, len), (Some(id.as_str()), length, text.len()));
    }

    #[test]
    fn a_cut_answer_waits_for_its_rest(status in 200u16..600, wait in any::<u32>(), cut in any::<prop::sample::Index>()) {
        let text = format!("HTTP/1.1 {status} Words\r\nX-RateLimit-Wait-Ms: {wait}\r\nContent-Length: 0\r\n\r\n");
        let part = &text.as_bytes()[..cut.index(text.len())];
        prop_assert_eq!(http::response(part), Ok(None));
        // The first line tells the status once it is whole, whatever comes behind it.
        prop_assert_eq!(http::status(part), part.contains(&b'\n').then_some(status));
        prop_assert_eq!(http::status(&[b"HTTP/1.1 200 OK\r\n", part].concat()), Some(200));
        let (answer, len) = http::response(text.as_bytes()).expect("valid").expect("whole");
        prop_assert_eq!((answer.status, len), (status, text.len()));
    }

    #[test]
    fn chunks_give_the_body_in_any_cut(body in vec(any::<u8>(), 0..300), sizes in vec(0usize..40, 1..5), cuts in vec(1usize..50, 1..6)) {
        let bytes = chunked(&body, &sizes);
        let (mut chunks, mut from, mut got, mut rest) = (http::Chunks::default(), Vec::new(), Vec::new(), bytes.as_slice());
        for cut in cuts.iter().cycle() {
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            from.extend(now);
            rest = later;
            if chunks.take(&mut from, &mut got).expect("valid") {
                break;
            }
            prop_assert!(!rest.is_empty(), "no end");
        }
        prop_assert_eq!(got, body);
    }

    #[test]
    fn a_cut_packet_waits_for_its_rest(id in "[!-~]{1,20}", body in vec(any::<u8>(), 0..400), cut in any::<prop::sample::Index>(), flip in any::<prop::sample::Index>(), bit in 0u8..8) {
        let topic = TopicName::try_from("event/7").expect("a topic");
        let mut publish = Publish::new(QosPid::Level1(Pid::try_from(5).expect("an id")), topic, body.into());
        publish.properties.user_properties = vec![user("id", id)];
        let mut bytes = encode(&Packet::Publish(publish.clone())).expect("encoded");
        prop_assert_eq!(packets::decode(&bytes[..cut.index(bytes.len())]), Ok(None));
        prop_assert_eq!(packets::decode(&bytes), Ok(Some((Packet::Publish(publish), bytes.len()))));
        // One bit wrong: another packet, or none, but never a panic or more than what is there.
        let at = flip.index(bytes.len());
        bytes[at] ^= 1 << bit;
        if let Ok(Some((_, len))) = packets::decode(&bytes) {
            prop_assert!(len <= bytes.len());
        }
    }

    #[test]
    fn garbage_harms_no_parser(bytes in garbage(), head in any::<[u8; 5]>()) {
        let _ = http::request(&bytes);
        let _ = http::response(&bytes);
        let _ = http::status(&bytes);
        let _ = http::Chunks::default().take(&mut bytes.clone(), &mut Vec::new());
        let _ = list::read(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        prop_assert!(ingress::remaining(&text).is_none_or(|t| t.as_secs() <= 86_400));
        let _ = ingress::destination(&text);
        let journal = [b"raildeal journal 1\n", &bytes[..]].concat();
        prop_assert!(v1::replay(&journal).is_some_and(|replayed| replayed.valid_bytes <= journal.len()));
        // The same where a segment's frames should be.
        let segment = [SegmentHeader { sequence: 1, salt: 7, ..SegmentHeader::default() }.encode(), bytes.clone()].concat();
        let mut none = Nothing(0);
        let scan = recover::scan(&FaultyDisk::from_image([("0000.seg".into(), segment)].into()), 1, &mut none);
        prop_assert_eq!((scan.expect("read").locations.len(), none.0), (0, 0));
        let _ = Zone::read(&format!("$ORIGIN x.\n@ 60 IN SOA a. b. 1 2 3 4 5\n{text}"), None);
        let packet = [&head[..], &bytes].concat();
        if let Ok(Some((_, len))) = packets::decode(&packet) {
            prop_assert!(len <= packet.len().min(MAX_PACKET));
        }
        let connect = encode(&Packet::Connect(Connect::new("c".into(), 9))).expect("encoded");
        let at = usize::from(head[0]) % connect.len();
        let _ = packets::decode(&[&connect[..at], &bytes, &connect[at..]].concat());
    }
}
