use crate::coordination::framing;
use crate::coordination::replica::peers::{PeerMessage, PEER_MOST};
use crate::coordination::replica::site_links::{Said, SITE_MOST};
use crate::coordination::routing_table::member::MemberMessage;
use data_encoding::HEXLOWER;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_bytes::ByteBuf;
use std::fmt::Debug;

/// A frame has these bytes, written out here and not computed, and they are read as the same.
fn assert_frame<T>(message: T, most: usize, hex: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written = framing::encode(&message, most).expect("short enough");
    assert_eq!(HEXLOWER.encode(&written), hex, "{message:?}");
    let literal = HEXLOWER.decode(hex.as_bytes()).expect("hexadecimal digits");
    let read: T = framing::read_blocking(&mut &literal[..], most).expect("a frame");
    assert_eq!(read, message);
}

#[test]
fn messages_between_replicas_keep_their_bytes() {
    let frame = |message, hex| assert_frame(message, PEER_MOST, hex);
    frame(PeerMessage::Me { incarnation: 300 }, "0000000300ac02");
    frame(PeerMessage::Known { incarnation: 300 }, "0000000301ac02");
    frame(PeerMessage::Refused("no".into()), "0000000402026e6f");
    frame(PeerMessage::Pulse, "0000000103");
    let raft = PeerMessage::Raft(ByteBuf::from(vec![1, 2, 3]));
    frame(raft, "000000050403010203");
}

#[test]
fn messages_between_sites_keep_their_bytes() {
    let frame = |message, hex| assert_frame(message, SITE_MOST, hex);
    let me = Said::Me {
        incarnation: 300,
        term: 5,
    };
    frame(me, "0000000400ac0205");
    let known = Said::Known {
        number: 2,
        incarnation: 300,
        term: 5,
    };
    frame(known, "000000050102ac0205");
    frame(Said::Elsewhere(None), "000000020200");
    let elsewhere = Said::Elsewhere(Some("10.0.0.1:7000".into()));
    frame(elsewhere, "0000001002010d31302e302e302e313a37303030");
    frame(Said::Refused("no".into()), "0000000403026e6f");
    frame(Said::Pulse, "0000000104");
    frame(
        Said::Word(MemberMessage::LeaseRequest(300)),
        "000000040502ac02",
    );
}
