use crate::coordination::raft_group::*;

/// A snapshot from before the record had policies: one sender on the roster, one keeper, version 3.
const OLDER: &[u8] = &[
    3, 1, 2, b'n', b'1', 9, 1, b'a', 1, 2, 0, 0, 2, 0, 1, 1, 11, b'1', b'2', b'7', b'.', b'0',
    b'.', b'0', b'.', b'1', b':', b'7', 101, 0,
];

#[test]
fn a_snapshot_of_an_older_replica_is_read_without_policies() {
    let mut held: GroupState = GroupState::decode(OLDER).expect("it reads");
    assert_eq!(
        (
            held.record.version,
            held.record.changed,
            held.record.clock_ms
        ),
        (3, 2, 0)
    );
    assert_eq!(
        held.record.roster["n1"],
        crate::coordination::record::RosterEntry {
            boot: 9,
            zone: "a".into(),
            live: true,
            since: 2
        }
    );
    assert_eq!(
        held.members[&1],
        GroupMember {
            at: "127.0.0.1:7".into(),
            incarnation: 101
        }
    );
    assert_eq!(held.record.policies, Default::default());
    held.record.policies.turn = 7;
    assert_eq!(
        GroupState::decode(&held.encode()).expect("the newer form"),
        held
    );
    let torn = &held.encode()[..held.encode().len() - 1];
    assert!(GroupState::<Record>::decode(torn).is_err());
}
