//! What a replica keeps on its disk: the items of its log, the snapshots inside them, and the
//! files of its folder.

use crate::fleet_values::{base, batch, line, plan, table, DIGEST};
use crate::support::{stored_files, write_files, Pins};
use raft::eraftpb::EntryType;
use raildeal::coordination::messages::{RequestedZoneState, SiteAdmission};
use raildeal::coordination::policy_rollout::register::{
    EndedRollout, Policies, Register as PolicyRegister, Rollout, Step, StoredPolicy,
};
use raildeal::coordination::raft_group::{GroupMember as Replica, GroupState};
use raildeal::coordination::raft_log::{Checkpoint, LogItem, RaftLogStore};
use raildeal::coordination::record::{
    Phase, Record, RosterEntry as Sender, SliceId, Zone, ZoneOverride,
};
use raildeal::coordination::replicated_state::ReplicatedState;
use raildeal::coordination::routing_table::durable_vote::DurableVote;
use raildeal::coordination::routing_table::federation::{
    EndedProposal as PastTable, Federation, Proposal, ProposalKey, RoutingTable, Site,
};
use raildeal::coordination::routing_table::tables::{ActiveTable, OfferedTable, SiteTables};
use raildeal::store::disk::Folder;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::Path;
use std::sync::Arc;
use tempfile::TempDir;

/// Bytes that the folder may hold, and what its salts are drawn from.
const LIMIT: u64 = 20 * 1024 * 1024;
const SEED: u64 = 7;

#[test]
fn items_of_the_log_keep_their_bytes() {
    let mut pins = Pins::of(include_str!("replica_log_items.txt"));
    for (name, item) in [("base", base()), ("batch", batch())] {
        let literal = pins.literal(name);
        let written = postcard::to_stdvec(&item).expect("plain data");
        pins.written(name, &literal, &written);
        let read = postcard::from_bytes::<LogItem>(&literal);
        if read.as_ref() != Ok(&item) {
            pins.fault(format!("{name} is read as {read:?}"));
        }
    }
    pins.finish();
}

/// Compares a snapshot with its literal, in both directions.
fn snapshot<R: ReplicatedState>(pins: &mut Pins, name: &str, held: &GroupState<R>) {
    let literal = pins.literal(name);
    pins.written(name, &literal, &held.encode());
    let read = GroupState::<R>::decode(&literal);
    if read.as_ref() != Ok(held) {
        pins.fault(format!("{name} is read as {read:?}"));
    }
}

#[test]
fn snapshots_keep_their_bytes() {
    let mut pins = Pins::of(include_str!("snapshots.txt"));
    snapshot(&mut pins, "site-empty", &GroupState::<Record>::default());
    snapshot(&mut pins, "site", &held(record()));
    snapshot(
        &mut pins,
        "federation-empty",
        &GroupState::<Federation>::default(),
    );
    snapshot(&mut pins, "federation", &held(federation()));
    pins.finish();
}

#[test]
fn snapshots_of_earlier_forms_are_read() {
    let mut pins = Pins::of(include_str!("snapshots_of_earlier_forms.txt"));
    let only_zones = Record {
        policies: Policies::default(),
        tables: SiteTables::default(),
        durable_vote: DurableVote::default(),
        ..record()
    };
    let without_tables = Record {
        tables: SiteTables::default(),
        durable_vote: DurableVote::default(),
        ..record()
    };
    for (name, record) in [("first", only_zones), ("second", without_tables)] {
        let literal = pins.literal(name);
        let read = GroupState::<Record>::decode(&literal);
        assert_eq!(read.as_ref(), Ok(&held(record)), "{name}");
    }
    pins.finish();
}

fn held<R: ReplicatedState>(record: R) -> GroupState<R> {
    let replica = Replica {
        at: "10.0.0.1:7000".into(),
        incarnation: 77,
    };
    GroupState {
        record,
        members: BTreeMap::from([(1, replica)]),
        removed: BTreeSet::from([2]),
    }
}

fn record() -> Record {
    let sender = Sender {
        boot: 99,
        zone: "a".into(),
        live: true,
        since: 12,
    };
    let wish = ZoneOverride {
        state: RequestedZoneState::Hold,
        until_ms: 60_000,
    };
    let zone = Zone {
        phase: Phase::Returning,
        epoch: 4,
        out: vec![(3, 0.5)],
        left: vec![(3, 1.0)],
        return_attempts: 2,
        reason: "faults".into(),
        since_ms: 5_000,
        request: Some(wish),
        last_slice: SliceId { term: 6, number: 7 },
        warm: vec![(3, 2_000)],
    };
    Record {
        version: 30,
        roster: BTreeMap::from([("s1".into(), sender)]),
        zones: BTreeMap::from([("a".into(), zone)]),
        epoch: 4,
        changed: 29,
        clock_ms: 8_000,
        policies: policies(),
        tables: tables(),
        durable_vote: written(),
    }
}

fn policies() -> Policies {
    let register = PolicyRegister {
        number: 4,
        paused: true,
        turn: 6,
    };
    let text = StoredPolicy {
        digest: DIGEST,
        text: "policy".into(),
    };
    let rollout = |step, halted| Rollout {
        number: 5,
        back_of: 4,
        to: BTreeMap::from([("a".into(), 5)]),
        from: BTreeMap::from([("a".into(), 4)]),
        plan: plan(),
        stage: 0,
        step,
        tries: 1,
        halted,
        halts: 2,
        at: 28,
        begun_ms: 6_000,
        since_ms: 7_000,
    };
    let past = EndedRollout {
        number: 4,
        back_of: 3,
        digest: DIGEST,
        stages: (1, 2),
        end: "done".into(),
        halts: 3,
        begun_ms: 1_000,
        ended_ms: 2_000,
    };
    Policies {
        turn: 6,
        at: 28,
        zones: BTreeMap::from([("a".into(), register)]),
        last_number: 5,
        texts: BTreeMap::from([(4, text)]),
        rollout: Some(rollout(Step::Soaking, Some("slow".into()))),
        last: Some(rollout(Step::Paused, None)),
        past: VecDeque::from([past]),
    }
}

fn tables() -> SiteTables {
    let register = ActiveTable {
        number: 7,
        stance: SiteAdmission::LeaseExpired,
        turn: 8,
    };
    let offered = OfferedTable {
        table: table(),
        accepted: true,
    };
    SiteTables {
        turn: 8,
        at: 27,
        register,
        table: table(),
        offered: Some(offered),
        next: Some(table()),
        tries: 2,
        held: true,
        since_ms: 7_500,
        lease_ms: 9_000,
    }
}

fn written() -> DurableVote {
    let LogItem::Checkpoint(base) = base() else {
        unreachable!("a base is a base");
    };
    DurableVote {
        term: 5,
        number: 6,
        base: Some(base),
    }
}

fn federation() -> Federation {
    let site = Site {
        name: "north".into(),
        uses: 7,
    };
    let before = RoutingTable {
        number: 6,
        digest: [0xcd; 32],
        text: "before".into(),
    };
    let proposal = Proposal {
        table: table(),
        by: ProposalKey {
            site: "north".into(),
            key: 9,
        },
        accepted: BTreeSet::from([1]),
        since_ms: 3_000,
        until_ms: 63_000,
    };
    let past = PastTable {
        number: 5,
        digest: DIGEST,
        by: ProposalKey {
            site: "south".into(),
            key: 8,
        },
        end: "decided".into(),
        since_ms: 1_000,
        ended_ms: 2_000,
    };
    Federation {
        version: 20,
        clock_ms: 4_000,
        sites: BTreeMap::from([(1, site)]),
        off: BTreeSet::from([2]),
        used: 1,
        lease_ms: 4_000,
        earlier_ms: 5_000,
        table: table(),
        before,
        given: 8,
        proposal: Some(proposal),
        past: VecDeque::from([past]),
    }
}

fn open(folder: &Path) -> (RaftLogStore, Option<Checkpoint>) {
    RaftLogStore::open(Arc::new(Folder::new(folder)), LIMIT, SEED)
        .expect("a folder that can be used")
}

#[test]
fn files_of_the_folder_are_written_as_pinned() {
    let mut pins = Pins::of(include_str!("replica_log_folder.txt"));
    let folder = TempDir::new().expect("a folder");
    let (mut keep, found) = open(folder.path());
    assert_eq!(found, None);
    keep.save(&base()).expect("written");
    keep.save(&batch()).expect("written");
    pins.folder(folder.path());
    pins.finish();
}

#[test]
fn files_of_the_folder_are_read_as_pinned() {
    let folder = TempDir::new().expect("a folder");
    write_files(folder.path(), include_str!("replica_log_folder.txt"));
    let before = stored_files(folder.path());
    let (_, found) = open(folder.path());
    // The batch replaces the entries behind its first one and brings a later term.
    let LogItem::Checkpoint(mut expected) = base() else {
        unreachable!("a base is a base");
    };
    expected.hard_state.term = 6;
    expected.hard_state.vote = 2;
    expected.hard_state.commit = 43;
    expected.entries = vec![
        line(EntryType::EntryNormal, 4, 41, &[1, 2], &[]),
        line(EntryType::EntryNormal, 6, 42, &[3], &[]),
        line(EntryType::EntryConfChange, 6, 43, &[4, 5], &[6]),
        line(EntryType::EntryConfChangeV2, 6, 44, &[7], &[8, 9]),
    ];
    assert_eq!(found, Some(*expected));
    assert_eq!(stored_files(folder.path()), before, "only read");
}
