//! Values that several pins of the coordination write: a plan, and items of a replica's log.

use raft::eraftpb::{Entry, EntryType};
use raildeal::coordination::messages::Digest;
use raildeal::coordination::policy_rollout::plan::{Bounds, ClassBounds, Health, Plan, Stage};
use raildeal::coordination::raft_log::{
    Batch, Checkpoint, LogEntry, LogItem, PersistedHardState, ReplicaIdentity,
};
use raildeal::coordination::routing_table::federation::RoutingTable;
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

/// The digest of every document here.
pub const DIGEST: Digest = [0xab; 32];

/// A routing table.
pub fn table() -> RoutingTable {
    RoutingTable {
        number: 7,
        digest: DIGEST,
        text: "routes".into(),
    }
}

/// A plan in which no field has its default.
pub fn plan() -> Plan {
    let all = Bounds {
        delivered: 0.5,
        late: 0.25,
        refused: 0.125,
        failed: 0.0625,
        turned_away: 0.75,
    };
    let urgent = ClassBounds {
        delivered: Some(0.5),
        late: None,
        refused: Some(0.25),
        failed: None,
        turned_away: Some(0.125),
    };
    let health = Health {
        all,
        class: BTreeMap::from([("urgent".into(), urgent)]),
        lapsed: 0.5,
        sees: 0.25,
    };
    let stage = Stage {
        zones: vec!["a".into(), "b".into()],
    };
    Plan {
        stage: vec![stage],
        watch_s: 11,
        soak_s: 12,
        most_soak_s: Some(13),
        least: 14,
        offer_s: 15,
        pause_ms: 160,
        health,
    }
}

/// An entry of the log.
pub fn line(kind: EntryType, term: u64, index: u64, data: &[u8], context: &[u8]) -> LogEntry {
    let mut entry = Entry {
        term,
        index,
        data: data.to_vec().into(),
        context: context.to_vec().into(),
        ..Entry::default()
    };
    entry.set_entry_type(kind);
    LogEntry::of(&entry)
}

/// A whole state of a replica's log.
pub fn base() -> LogItem {
    let identity = ReplicaIdentity {
        site: "north".into(),
        replica: 2,
        incarnation: 0x0123_4567_89ab_cdef,
    };
    let hard = PersistedHardState {
        term: 5,
        vote: 3,
        commit: 41,
    };
    LogItem::Checkpoint(Box::new(Checkpoint {
        format_version: 3,
        identity,
        takes_part: true,
        known_incarnations: BTreeMap::from([(1, 77), (3, 88)]),
        hard_state: hard,
        index: 40,
        term: 4,
        voters: vec![1, 2, 3],
        state: ByteBuf::from(vec![9, 8, 7]),
        entries: vec![line(EntryType::EntryNormal, 4, 41, &[1, 2], &[])],
    }))
}

/// What came after it: an entry of each kind.
pub fn batch() -> LogItem {
    let hard = PersistedHardState {
        term: 6,
        vote: 2,
        commit: 43,
    };
    let entries = vec![
        line(EntryType::EntryNormal, 6, 42, &[3], &[]),
        line(EntryType::EntryConfChange, 6, 43, &[4, 5], &[6]),
        line(EntryType::EntryConfChangeV2, 6, 44, &[7], &[8, 9]),
    ];
    LogItem::Batch(Batch {
        hard_state: hard,
        entries,
    })
}
