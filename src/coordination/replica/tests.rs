use crate::coordination::framing;
use crate::coordination::replica::peers::{PeerMessage, MAX_PEER_FRAME_BYTES};
use crate::coordination::replica::site_links::{SiteMessage, MAX_SITE_FRAME_BYTES};
use crate::coordination::routing_table::member::MemberMessage;
use data_encoding::HEXLOWER;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_bytes::ByteBuf;
use std::fmt::Debug;

/// Asserts that a message is encoded as these literal bytes, and that they decode to it.
fn assert_frame<T>(message: T, max_bytes: usize, hex: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written = framing::encode(&message, max_bytes).expect("short enough");
    assert_eq!(HEXLOWER.encode(&written), hex, "{message:?}");
    let literal = HEXLOWER.decode(hex.as_bytes()).expect("hexadecimal digits");
    let read: T = framing::read_blocking(&mut &literal[..], max_bytes).expect("a frame");
    assert_eq!(read, message);
}

#[test]
fn messages_between_replicas_keep_their_bytes() {
    let frame = |message, hex| assert_frame(message, MAX_PEER_FRAME_BYTES, hex);
    frame(PeerMessage::Hello { incarnation: 300 }, "0000000300ac02");
    frame(PeerMessage::Admitted { incarnation: 300 }, "0000000301ac02");
    frame(PeerMessage::Rejected("no".into()), "0000000402026e6f");
    frame(PeerMessage::Heartbeat, "0000000103");
    let raft = PeerMessage::Raft(ByteBuf::from(vec![1, 2, 3]));
    frame(raft, "000000050403010203");
}

#[test]
fn messages_between_sites_keep_their_bytes() {
    let frame = |message, hex| assert_frame(message, MAX_SITE_FRAME_BYTES, hex);
    let hello = SiteMessage::Hello {
        incarnation: 300,
        term: 5,
    };
    frame(hello, "0000000400ac0205");
    let admitted = SiteMessage::Admitted {
        number: 2,
        incarnation: 300,
        term: 5,
    };
    frame(admitted, "000000050102ac0205");
    frame(SiteMessage::NotLeader(None), "000000020200");
    let not_leader = SiteMessage::NotLeader(Some("10.0.0.1:7000".into()));
    frame(not_leader, "0000001002010d31302e302e302e313a37303030");
    frame(SiteMessage::Rejected("no".into()), "0000000403026e6f");
    frame(SiteMessage::Heartbeat, "0000000104");
    frame(
        SiteMessage::Member(MemberMessage::LeaseRequest(300)),
        "000000040502ac02",
    );
}
