//! A sender's state folder: its journal, the notes beside it, and the journal's first form.

use crate::support::{stored_files, write_files, Pins};
use raildeal::delivery::journal::legacy_v1;
use raildeal::delivery::journal::restart_state;
use raildeal::delivery::journal::{
    AttemptStart, Journal, JournalOptions, MessageRecord, OpenRecord,
};
use raildeal::delivery::{Envelope, Verdict};
use raildeal::net::mqtt::sessions::ReplyTo;
use raildeal::store::disk::Folder;
use raildeal::store::log::{LogOptions, SegmentLog, SnapshotSource};
use raildeal::store::recover::{Replay, ReplayError};
use raildeal::NO_TENANT;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;

/// Bytes that the folder may hold, and what its salts are drawn from.
const LIMIT: u64 = 1_000_000;
const SEED: u64 = 7;
/// How long messages live here, in milliseconds.
const LIFE_MS: u64 = 16_000;
/// When a message was taken on and when a call went, in the literals.
const TAKEN_MS: u64 = 1_700_000_000_000;
const SENT_MS: u64 = 1_700_000_000_500;

fn envelope(id: &str) -> Envelope {
    Envelope {
        frontend: 1,
        id: id.into(),
        key: Some("k1".into()),
        class: 2,
        dest: 500,
        reply_to: vec![4, 5],
        notes: vec![("origin".into(), "x".into())],
        body: vec![9, 8, 7],
        stored_body_bytes: 0,
        tenant: 0,
    }
}

/// A message that names nothing which may be left out.
fn bare_envelope(id: &str) -> Envelope {
    Envelope {
        id: id.into(),
        ..Envelope::default()
    }
}

fn account(envelope: Envelope) -> MessageRecord {
    MessageRecord {
        envelope: Rc::new(envelope),
        accepted_unix_ms: TAKEN_MS,
        expires_unix_ms: TAKEN_MS + LIFE_MS,
        attempts: 0,
        possible_run: None,
        in_flight: None,
        verdict: None,
        policy: 0,
        table: 0,
    }
}

fn sent(zone: &str) -> AttemptStart {
    AttemptStart {
        at_unix_ms: SENT_MS,
        zone: zone.into(),
    }
}

/// What is open in the pinned journal, in order of its numbers.
fn open_accounts() -> Vec<MessageRecord> {
    let out = MessageRecord {
        attempts: 1,
        in_flight: Some(sent("a")),
        ..account(envelope("sent"))
    };
    let ran = MessageRecord {
        attempts: 2,
        possible_run: Some(sent("a")),
        in_flight: Some(sent("b")),
        ..account(envelope("sent again"))
    };
    let without_body = |id: &str| Envelope {
        body: Vec::new(),
        ..envelope(id)
    };
    let delivered = MessageRecord {
        attempts: 1,
        verdict: Some(Verdict::Delivered),
        ..account(without_body("delivered"))
    };
    let deferred = MessageRecord {
        verdict: Some(Verdict::Deferred {
            retry_after_ms: 500,
        }),
        ..account(without_body("deferred"))
    };
    let undeliverable = MessageRecord {
        verdict: Some(Verdict::Undeliverable),
        ..account(without_body("undeliverable"))
    };
    let policy = MessageRecord {
        policy: 300,
        ..account(bare_envelope("policy"))
    };
    let table = MessageRecord {
        table: 4,
        ..account(bare_envelope("table"))
    };
    let tenant = Envelope {
        tenant: NO_TENANT,
        ..bare_envelope("tenant")
    };
    vec![
        account(envelope("taken on")),
        out,
        ran,
        delivered,
        deferred,
        undeliverable,
        policy,
        table,
        account(tenant),
    ]
}

/// The frames of a store, in the order in which they were written.
#[derive(Default)]
struct Frames(Vec<(&'static str, u64, Vec<u8>)>);

impl Frames {
    fn of(folder: &Path) -> Frames {
        let mut frames = Frames::default();
        open_log(folder, &mut frames);
        frames
    }
}

impl Replay for Frames {
    fn on_put(&mut self, no: u64, data: &[u8]) -> Result<(), ReplayError> {
        self.0.push(("put", no, data.to_vec()));
        Ok(())
    }

    fn on_update(&mut self, no: u64, data: &[u8]) -> Result<(), ReplayError> {
        self.0.push(("note", no, data.to_vec()));
        Ok(())
    }

    fn on_remove(&mut self, no: u64) {
        self.0.push(("gone", no, Vec::new()));
    }

    fn on_possible_loss(&mut self) {}

    fn on_losses_known(&mut self, _: &[bool]) {}
}

fn open_log(folder: &Path, replay: &mut impl Replay) -> SegmentLog {
    let options = LogOptions {
        limit_bytes: LIMIT,
        seed: SEED,
        sync_required: false,
    };
    let disk = Arc::new(Folder::new(folder));
    let opened = SegmentLog::open(disk, options, None, replay, |_, _| 1).expect("opened");
    assert_eq!((opened.damage, opened.torn_bytes), (vec![], 0));
    opened.log
}

/// Nothing is cleaned here.
struct Nothing;

impl SnapshotSource for Nothing {
    fn snapshot(&self, _: u64, _: &mut dyn FnMut() -> io::Result<Vec<u8>>) -> io::Result<Vec<u8>> {
        Err(io::ErrorKind::NotFound.into())
    }
}

fn setup() -> JournalOptions {
    JournalOptions {
        seed: SEED,
        ..JournalOptions::new(LIMIT)
    }
}

/// A number as postcard writes it, least significant seven bits first.
fn varint(mut number: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
    bytes
}

fn replace(bytes: &[u8], from: u64, to: u64) -> Vec<u8> {
    let (from, to) = (varint(from), varint(to));
    assert_eq!(from.len(), to.len(), "times of one length");
    let mut bytes = bytes.to_vec();
    let at = bytes.windows(from.len()).position(|w| w == from);
    if let Some(at) = at {
        bytes[at..at + to.len()].copy_from_slice(&to);
    }
    bytes
}

/// Writes a journal in which everything happens that a journal knows. Gives the times that it
/// wrote, with those that the literals have in their place.
fn write_journal(folder: &Path) -> BTreeMap<u64, u64> {
    let (journal, found) = Journal::open(folder, setup()).expect("opened");
    assert!(found.is_empty());
    let mut times = BTreeMap::new();
    let mut take_on = |envelope: Envelope, policy, table| {
        let left = Duration::from_millis(LIFE_MS);
        let record = journal.append_accepted(envelope, left, policy, table);
        let record = record.expect("room");
        times.insert(record.snapshot().accepted_unix_ms, TAKEN_MS);
        times.insert(record.snapshot().expires_unix_ms, TAKEN_MS + LIFE_MS);
        record
    };
    let records: Vec<OpenRecord> = [
        "taken on",
        "sent",
        "sent again",
        "delivered",
        "deferred",
        "undeliverable",
    ]
    .map(|id| take_on(envelope(id), 0, 0))
    .into();
    take_on(bare_envelope("policy"), 300, 0);
    take_on(bare_envelope("table"), 0, 4);
    let tenant = Envelope {
        tenant: NO_TENANT,
        ..bare_envelope("tenant")
    };
    take_on(tenant, 0, 0);
    let closed = take_on(envelope("closed"), 0, 0);
    closed.close().expect("written");
    // Calls go later than messages come, or their times could not be told apart.
    std::thread::sleep(Duration::from_millis(2));
    let mut send = |record: &OpenRecord, zone| {
        record.attempt_started(zone).expect("written");
        let out = record.snapshot().in_flight.expect("a call that is out");
        times.insert(out.at_unix_ms, SENT_MS);
    };
    send(&records[1], "a");
    send(&records[2], "a");
    records[2].attempt_ended(true);
    send(&records[2], "b");
    send(&records[3], "a");
    records[3].attempt_ended(false);
    let end = |record: &OpenRecord, verdict| record.decided(verdict).expect("written");
    end(&records[3], Verdict::Delivered);
    end(
        &records[4],
        Verdict::Deferred {
            retry_after_ms: 500,
        },
    );
    end(&records[5], Verdict::Undeliverable);
    times
}

#[test]
fn frames_of_a_journal_are_written_as_pinned() {
    let mut pins = Pins::of(include_str!("journal_frames.txt"));
    let folder = TempDir::new().expect("a folder");
    let times = write_journal(folder.path());
    for (at, (kind, no, data)) in Frames::of(folder.path()).0.into_iter().enumerate() {
        let name = format!("{at:02}-{kind}-{no}");
        let literal = pins.literal(&name);
        let data = times
            .iter()
            .fold(data, |data, (was, pinned)| replace(&data, *was, *pinned));
        pins.written(&name, &literal, &data);
    }
    pins.finish();
}

#[test]
fn segments_of_a_journal_are_written_as_pinned() {
    let mut pins = Pins::of(include_str!("journal_folder.txt"));
    let folder = TempDir::new().expect("a folder");
    let mut log = open_log(folder.path(), &mut Frames::default());
    for (name, data) in crate::support::literals(include_str!("journal_frames.txt")) {
        let parts: Vec<&str> = name.split('-').collect();
        let no: u64 = parts[2].parse().expect("a number");
        match parts[1] {
            "put" => {
                let put = log.put(Duration::ZERO, &data, 300, &Nothing);
                assert_eq!(put.result.ok(), Some(no), "{name}");
            }
            "note" => log.append_update(no, &data, &Nothing).expect("written"),
            _ => log.remove(no, &Nothing).expect("written"),
        }
    }
    pins.folder(folder.path());
    pins.finish();
}

#[test]
fn segments_of_a_journal_are_read_as_pinned() {
    let folder = TempDir::new().expect("a folder");
    write_files(folder.path(), include_str!("journal_folder.txt"));
    let before = stored_files(folder.path());
    let (_, records) = Journal::open(folder.path(), setup()).expect("opened");
    let accounts: Vec<MessageRecord> = records.iter().map(OpenRecord::snapshot).collect();
    assert_eq!(accounts, open_accounts());
    assert_eq!(stored_files(folder.path()), before, "only read");
}

#[test]
fn a_journal_of_the_first_form_is_read_as_pinned() {
    let mut pins = Pins::of(include_str!("journal_first_form.txt"));
    let old = |id: &str| MessageRecord {
        accepted_unix_ms: 0,
        ..account(envelope(id))
    };
    // Open; open, sent, back, sent; open, sent, back, ended; open, closed.
    let ran = MessageRecord {
        attempts: 2,
        possible_run: Some(sent("a")),
        in_flight: Some(sent("b")),
        ..old("o2")
    };
    let mut ended = MessageRecord {
        attempts: 1,
        verdict: Some(Verdict::Deferred {
            retry_after_ms: 500,
        }),
        ..old("o3")
    };
    Rc::make_mut(&mut ended.envelope).body = Vec::new();
    let all = pins.literal("every-line");
    let read = legacy_v1::replay(&all).expect("that form");
    assert_eq!(read.valid_bytes, all.len(), "all of it is whole");
    let expected = BTreeMap::from([(1, old("o1")), (2, ran.clone()), (3, ended.clone())]);
    assert_eq!(read.open, expected);

    let literal = pins.literal("open-lines");
    let written = legacy_v1::encode_file(&[(1, old("o1")), (2, ran), (3, ended)]);
    pins.written("open-lines", &literal, &written);
    assert_eq!(
        legacy_v1::replay(&literal).expect("that form").open,
        expected
    );
    pins.finish();
}

#[test]
fn where_an_answer_goes_by_mqtt_keeps_its_bytes() {
    for (topic, correlation, literal) in [
        ("r/1", Some(vec![1, 2]), &b"\x03r/1\x01\x02\x01\x02"[..]),
        ("r/2", None, &b"\x03r/2\x00"[..]),
    ] {
        let reply_to = ReplyTo {
            topic: topic.into(),
            correlation: correlation.clone(),
        };
        let written = postcard::to_stdvec(&reply_to).expect("plain data");
        assert_eq!(written, literal);
        let read: ReplyTo = postcard::from_bytes(literal).expect("read");
        assert_eq!(
            (read.topic.as_str(), read.correlation),
            (topic, correlation)
        );
    }
}

#[test]
fn notes_of_a_restart_are_written_and_read_as_pinned() {
    let folder = TempDir::new().expect("a folder");
    let read = |name: &str| fs::read_to_string(folder.path().join(name)).expect("a note");
    let now = TAKEN_MS;
    restart_state::note_planned_end(folder.path(), now).expect("written");
    restart_state::note_list_poll(folder.path(), now, Duration::from_millis(36)).expect("written");
    restart_state::note_list_revision(folder.path(), now, 41).expect("written");
    restart_state::note_list_freshness(folder.path(), now, Duration::from_secs(6))
        .expect("written");
    assert_eq!(read("ended"), "1700000000000\n");
    assert_eq!(read("asked"), "1700000000000 36000\n");
    assert_eq!(read("listed"), "1700000000000 41\n");
    assert_eq!(
        read("trusted"),
        "00000001700000000000 00000001700000006000\n"
    );

    let folder = TempDir::new().expect("a folder");
    let write = |name: &str, text| fs::write(folder.path().join(name), text).expect("written");
    write("ended", "1700000000000\n");
    write("asked", "1700000000000 36000\n");
    write("trusted", "00000001700000000000 00000001700000006000\n");
    write("listed", "1700000000000 41\n");
    let notes = restart_state::load(folder.path(), now + 1_000, Some(41));
    assert!(notes.faults.is_empty(), "{:?}", notes.faults);
    let earlier = notes.state;
    assert!(earlier.planned);
    assert_eq!(earlier.poll_cost_seconds, Some(0.036));
    assert_eq!(earlier.remaining_freshness, Some(5_000_000_000));
}
