use crate::coordination::raft_log::{PersistedHardState, ReplicaIdentity};
use crate::coordination::routing_table::durable_vote::*;

fn base(site: u64, incarnation: u64) -> Checkpoint {
    let identity = ReplicaIdentity {
        site: "land".into(),
        replica: site,
        incarnation,
    };
    Checkpoint::new(identity, 1, vec![1, 2, 3], Vec::new())
}

fn vote(term: u64, vote: u64) -> LogItem {
    LogItem::Batch(Batch {
        hard_state: PersistedHardState {
            term,
            vote,
            commit: 1,
        },
        entries: Vec::new(),
    })
}

#[test]
fn only_the_last_leader_writes_and_each_item_is_applied_once() {
    let mut w = DurableVote::default();
    w.fence(4);
    w.put(4, 1, &LogItem::Checkpoint(Box::new(base(2, 7))));
    w.put(4, 2, &vote(5, 1));
    w.put(4, 2, &vote(5, 3));
    let stands = w.clone();
    assert_eq!(
        stands
            .base
            .as_ref()
            .map(|b| (b.hard_state.vote, b.identity.incarnation)),
        Some((1, 7))
    );
    // An item of a deposed leader, an item that skips a number, and a fence of an earlier term are
    // void.
    w.fence(6);
    w.fence(5);
    w.put(4, 3, &vote(6, 2));
    w.put(6, 2, &vote(6, 2));
    assert_eq!((w.base.clone(), w.term, w.number), (stands.base, 6, 0));
    w.put(6, 1, &vote(6, 2));
    assert_eq!(
        w.base.as_ref().map(|b| b.hard_state),
        Some(PersistedHardState {
            term: 6,
            vote: 2,
            commit: 1
        })
    );
    // The base of another identity is accepted only if it is empty.
    let voted = Checkpoint {
        hard_state: PersistedHardState {
            term: 7,
            vote: 1,
            commit: 1,
        },
        ..base(4, 9)
    };
    w.put(6, 2, &LogItem::Checkpoint(Box::new(voted)));
    assert_eq!(w.base.as_ref().map(|b| b.identity.replica), Some(2));
    w.put(6, 3, &LogItem::Checkpoint(Box::new(base(4, 9))));
    assert_eq!(w.base.as_ref().map(|b| b.identity.replica), Some(4));
}
