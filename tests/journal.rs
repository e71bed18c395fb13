//! The journal on files: recovery after a restart, torn and damaged files, other formats, and the
//! limit of its size.

use raildeal::delivery::journal::legacy_v1 as v1;
use raildeal::delivery::journal::{
    AttemptStart, Journal, JournalOptions, MessageRecord, OpenRecord,
};
use raildeal::delivery::{unix_ms, Envelope, Verdict};
use raildeal::store::disk::Folder;
use raildeal::store::log::{
    LogOptions, PutError, ReadStored, SegmentLog, SnapshotSource, MAX_OPEN_FILES,
};
use raildeal::store::recover::{Replay, ReplayError};
use raildeal::NO_TENANT;
use serde::Serialize;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;

const LIMIT_BYTES: u64 = 1_000_000;
const TIME_LEFT: Duration = Duration::from_secs(16);

fn envelope(id: &str, size: usize) -> Envelope {
    Envelope {
        id: id.into(),
        key: Some("k".into()),
        dest: 7,
        body: vec![9; size],
        ..Envelope::default()
    }
}

fn open(folder: &TempDir, limit: u64) -> (Rc<Journal>, Vec<OpenRecord>) {
    Journal::open(folder.path(), JournalOptions::new(limit)).expect("opened")
}

fn accept(journal: &Rc<Journal>, id: &str) -> OpenRecord {
    journal
        .append_accepted(envelope(id, 200), TIME_LEFT, 0, 0)
        .expect("accepted")
}

fn size(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("a folder");
    files
        .map(|f| {
            f.expect("a file")
                .metadata()
                .expect("its size")
                .len()
                .next_multiple_of(512)
        })
        .sum()
}

#[test]
fn open_records_are_recovered_after_a_restart() {
    let folder = TempDir::new().expect("a folder");
    let (journal, none) = open(&folder, LIMIT_BYTES);
    assert!(none.is_empty());
    let [a, b, c, d] = ["a", "b", "c", "d"].map(|id| accept(&journal, id));
    a.attempt_started("x").expect("written");
    b.attempt_started("x").expect("written");
    b.attempt_ended(false);
    c.attempt_started("x").expect("written");
    c.attempt_ended(true);
    c.attempt_started("y").expect("written");
    c.attempt_ended(true);
    c.decided(Verdict::Deferred {
        retry_after_ms: 500,
    })
    .expect("written");
    d.close().expect("written");
    drop((journal, a, b, c));
    // Open the journal twice: the first recovery must not change the records.
    for _ in 0..2 {
        let (_, records) = open(&folder, LIMIT_BYTES);
        let [a, b, c] = <[OpenRecord; 3]>::try_from(records)
            .unwrap_or_else(|_| panic!("three"))
            .map(|r| r.snapshot());
        assert_eq!(
            (
                &*a.envelope,
                a.expires_unix_ms - a.accepted_unix_ms,
                a.attempts
            ),
            (&envelope("a", 200), 16_000, 1)
        );
        assert_eq!(a.in_flight.as_ref().map(|s| s.zone.as_str()), Some("x"));
        assert_eq!((b.may_have_run(), b.attempts, b.verdict), (None, 1, None));
        assert_eq!(
            c.may_have_run().map(|s| s.zone.as_str()),
            Some("x"),
            "the first zone counts"
        );
        assert_eq!(
            (c.attempts, c.verdict),
            (
                2,
                Some(Verdict::Deferred {
                    retry_after_ms: 500
                })
            )
        );
        assert!(
            c.envelope.body.is_empty(),
            "the body is dropped once the final answer is decided"
        );
    }
}

#[test]
fn policy_and_tenant_of_a_message_survive_restarts_and_cleaning() {
    let folder = TempDir::new().expect("a folder");
    let journal_options = JournalOptions {
        cached_body_bytes: 3_000,
        ..JournalOptions::new(600_000)
    };
    let opened = || Journal::open(folder.path(), journal_options).expect("opened");
    // Every third message has no tenant, and every third the first one.
    let tenant = |n: u64| [0, n as u16, NO_TENANT][n as usize % 3];
    let (journal, _) = opened();
    let held: Vec<OpenRecord> = (0..20)
        .map(|n| {
            let envelope = Envelope {
                tenant: tenant(n),
                ..envelope(&format!("m{n}"), 400)
            };
            journal
                .append_accepted(envelope, TIME_LEFT, n * 100, 0)
                .expect("accepted")
        })
        .collect();
    held.iter()
        .for_each(|r| r.attempt_started("x").expect("written"));
    for _ in 0..3 {
        // Writes enough for cleaning to copy all open records.
        for n in 0..200 {
            journal
                .append_accepted(envelope(&format!("n{n}"), 4_000), TIME_LEFT, 7, 0)
                .expect("accepted")
                .close()
                .expect("closed");
            journal.maintain_once();
        }
    }
    assert!(journal.statistics().cleaned_bytes > 0);
    drop((journal, held));
    for _ in 0..2 {
        let (_journal, records) = opened();
        let policies: Vec<u64> = records.iter().map(|r| r.snapshot().policy).collect();
        assert_eq!(policies, (0..20).map(|n| n * 100).collect::<Vec<_>>());
        assert!(records.iter().any(|r| r.envelope().stored_body_bytes > 0));
        let wholes = records
            .iter()
            .map(|r| async_io::block_on(r.load_envelope()).expect("read").tenant);
        let tenants: Vec<_> = records
            .iter()
            .map(|r| r.envelope().tenant)
            .zip(wholes)
            .collect();
        assert_eq!(
            tenants,
            (0..20).map(|n| (tenant(n), tenant(n))).collect::<Vec<_>>()
        );
    }
    let seen = raildeal::delivery::journal::inspect::inspect(folder.path()).expect("read");
    assert_eq!(seen.messages.iter().map(|m| m.policy).max(), Some(1_900));
    assert_eq!(
        seen.messages.iter().map(|m| m.tenant).max(),
        Some(NO_TENANT)
    );
}

/// A store without records to replay or to copy.
struct EmptyStore;

impl SnapshotSource for EmptyStore {
    fn snapshot(&self, _: u64, _: ReadStored<'_>) -> io::Result<Vec<u8>> {
        unreachable!("there is nothing to clean")
    }
}

impl Replay for EmptyStore {
    fn on_put(&mut self, _: u64, _: &[u8]) -> Result<(), ReplayError> {
        Ok(())
    }
    fn on_update(&mut self, _: u64, _: &[u8]) -> Result<(), ReplayError> {
        Ok(())
    }
    fn on_remove(&mut self, _: u64) {}
    fn on_possible_loss(&mut self) {}
    fn on_losses_known(&mut self, _: &[bool]) {}
}

/// Reads records that were written before messages had a tenant: without trailing numbers, with a
/// policy, and with a policy and a table.
#[test]
fn records_from_before_messages_had_a_tenant_are_read() {
    #[derive(Serialize)]
    struct RecordWithoutTenant {
        envelope: Envelope,
        accepted_unix_ms: u64,
        expires_unix_ms: u64,
        attempts: u16,
        possible_run: Option<AttemptStart>,
        in_flight: Option<AttemptStart>,
        verdict: Option<Verdict>,
    }
    let folder = TempDir::new().expect("a folder");
    let disk = Arc::new(Folder::new(folder.path()));
    let options = LogOptions {
        limit_bytes: LIMIT_BYTES,
        seed: 3,
        sync_required: false,
    };
    let mut log = SegmentLog::open(disk, options, None, &mut EmptyStore, |_, _| 0)
        .expect("opened")
        .log;
    let trailing_numbers: [&[u64]; 3] = [&[], &[300], &[0, 7]];
    for (n, trailing_numbers) in trailing_numbers.iter().enumerate() {
        let (accepted_unix_ms, expires_unix_ms) = (unix_ms(), unix_ms() + 16_000);
        let envelope = envelope(&format!("m{n}"), 50);
        let before = RecordWithoutTenant {
            envelope,
            accepted_unix_ms,
            expires_unix_ms,
            attempts: 2,
            possible_run: None,
            in_flight: None,
            verdict: None,
        };
        let bytes = postcard::to_stdvec(&before).expect("encodes");
        let bytes = trailing_numbers
            .iter()
            .fold(bytes, |b, n| postcard::to_extend(n, b).expect("encodes"));
        log.put(Duration::ZERO, &bytes, 1_000, &EmptyStore)
            .result
            .expect("written");
    }
    drop(log);
    let (_journal, records) = open(&folder, LIMIT_BYTES);
    let read = records.iter().map(|r| r.snapshot());
    let read: Vec<_> = read
        .map(|a| ((*a.envelope).clone(), a.attempts, a.policy, a.table))
        .collect();
    let was = |n, policy, table| (envelope(&format!("m{n}"), 50), 2, policy, table);
    assert_eq!(read, [was(0, 0, 0), was(1, 300, 0), was(2, 0, 7)]);
}

/// Returns the segment that is being written, and the end of its frames.
fn written(folder: &TempDir) -> (PathBuf, usize) {
    let files = fs::read_dir(folder.path())
        .expect("a folder")
        .map(|f| f.expect("a file").path());
    let ends = files.map(|path| {
        let bytes = fs::read(&path).expect("bytes");
        (
            path,
            bytes
                .iter()
                .rposition(|b| *b != 0)
                .map_or(0, |last| (last + 1).next_multiple_of(8)),
        )
    });
    ends.max_by_key(|(_, end)| *end).expect("a file")
}

#[test]
fn a_torn_end_loses_only_the_record_being_written() {
    let folder = TempDir::new().expect("a folder");
    let (journal, _) = open(&folder, LIMIT_BYTES);
    let held = [accept(&journal, "a"), accept(&journal, "b")];
    drop((journal, held));
    let (path, end) = written(&folder);
    let mut bytes = fs::read(&path).expect("bytes");
    bytes[end - 9..].fill(0);
    fs::write(&path, &bytes).expect("written");
    let (journal, records) = open(&folder, LIMIT_BYTES);
    assert_eq!(records.len(), 1);
    assert_eq!(
        records[0].snapshot().possible_run,
        None,
        "a torn end gives no doubt about complete records"
    );
    // Records that are written after the torn end are recovered.
    let c = accept(&journal, "c");
    drop((journal, records, c));
    assert_eq!(open(&folder, LIMIT_BYTES).1.len(), 2);
}

#[test]
fn damage_in_the_middle_loses_no_later_record_and_puts_earlier_ones_in_doubt() {
    let folder = TempDir::new().expect("a folder");
    let (journal, _) = open(&folder, LIMIT_BYTES);
    let [a, b, c] = ["a", "b", "c"].map(|id| accept(&journal, id));
    drop((journal, a, b, c));
    let (path, _) = written(&folder);
    let mut bytes = fs::read(&path).expect("bytes");
    // Damages the second of three frames of equal length.
    let line = (written(&folder).1 - 1024) / 3;
    bytes[1024 + line + 50] ^= 1;
    fs::write(&path, &bytes).expect("written");
    let (_journal, records) = open(&folder, LIMIT_BYTES);
    let recovered: Vec<_> = records
        .iter()
        .map(|r| (r.envelope().id.clone(), r.first_possible_run().is_some()))
        .collect();
    assert_eq!(
        recovered,
        [("a".to_string(), true), ("c".to_string(), false)]
    );
}

#[test]
fn a_file_of_the_first_format_is_read_and_removed_after_its_records_are_copied() {
    let folder = TempDir::new().expect("a folder");
    let sent = AttemptStart {
        at_unix_ms: unix_ms() - 500,
        zone: "x".into(),
    };
    let record = |id: &str| MessageRecord {
        envelope: Rc::new(envelope(id, 300)),
        accepted_unix_ms: 0,
        expires_unix_ms: unix_ms() + 9_000,
        attempts: 1,
        possible_run: None,
        in_flight: Some(sent.clone()),
        verdict: None,
        policy: 0,
        table: 0,
    };
    let old = v1::encode_file(&[(5, record("a")), (9, record("b"))]);
    // An incomplete entry at the end, and an unfinished compaction.
    fs::write(
        folder.path().join("journal"),
        [&old[..], &old[20..60]].concat(),
    )
    .expect("written");
    fs::write(folder.path().join("journal.new"), "raildeal").expect("written");
    for round in 0..3 {
        let (journal, records) = open(&folder, LIMIT_BYTES);
        let ids: Vec<_> = records.iter().map(|r| r.envelope().id.clone()).collect();
        assert_eq!(ids, ["a", "b"], "round {round}");
        assert_eq!(records[0].snapshot().may_have_run(), Some(&sent));
        assert!(records[0].time_left() > Duration::from_secs(5));
        if round == 1 {
            while journal.maintain_once() {}
        }
        let old = ["journal", "journal.new"].map(|name| folder.path().join(name).exists());
        assert_eq!(old, [round == 0, false], "round {round}");
    }
}

#[test]
fn after_the_clock_was_set_back_the_age_of_a_possible_run_is_unknown() {
    for (ahead, is_age_known) in [(0, true), (3_600_000, false)] {
        let folder = TempDir::new().expect("a folder");
        let in_flight = Some(AttemptStart {
            at_unix_ms: unix_ms() + ahead - 100,
            zone: "x".into(),
        });
        let (envelope, accepted_unix_ms) = (Rc::new(envelope("a", 300)), unix_ms() + ahead - 200);
        let expires_unix_ms = accepted_unix_ms + 9_000;
        let record = MessageRecord {
            envelope,
            accepted_unix_ms,
            expires_unix_ms,
            attempts: 1,
            possible_run: None,
            in_flight,
            verdict: None,
            policy: 0,
            table: 0,
        };
        fs::write(
            folder.path().join("journal"),
            v1::encode_file(&[(1, record)]),
        )
        .expect("written");
        let (_journal, records) = open(&folder, LIMIT_BYTES);
        records[0].attempt_ended(true);
        let run = records[0].first_possible_run().expect("it may have run");
        assert_eq!(
            (run.zone.as_str(), run.age.is_some()),
            ("x", is_age_known),
            "{ahead}"
        );
    }
}

#[test]
fn bodies_beyond_the_cache_limit_are_read_back_after_cleaning_moved_them() {
    let folder = TempDir::new().expect("a folder");
    let journal_options = JournalOptions {
        cached_body_bytes: 50_000,
        ..JournalOptions::new(3_000_000)
    };
    let (journal, _) = Journal::open(folder.path(), journal_options).expect("opened");
    let records: Vec<_> = (0..20)
        .map(|i| {
            journal
                .append_accepted(envelope(&format!("m{i}"), 10_000 + i), TIME_LEFT, 0, 0)
                .expect("accepted")
        })
        .collect();
    // Enough events for several passes through all segments, so that cleaning copies every record
    // more than once.
    for i in 0..20_000 {
        records[i % 20].attempt_started("zone").expect("written");
        records[i % 20].attempt_ended(false);
    }
    let check = |records: &[OpenRecord]| {
        for (i, record) in records.iter().enumerate() {
            assert_eq!(record.envelope().body_size(), 10_000 + i);
            let whole = async_io::block_on(record.load_envelope()).expect("read");
            assert_eq!((whole.body.len(), whole.stored_body_bytes), (10_000 + i, 0));
        }
        let kept = records
            .iter()
            .filter(|r| r.envelope().stored_body_bytes == 0)
            .count();
        assert_eq!(kept, 4, "of 50,000 bytes");
    };
    check(&records);
    drop((journal, records));
    check(
        &Journal::open(folder.path(), journal_options)
            .expect("opened")
            .1,
    );
}

#[test]
fn a_full_journal_keeps_its_limit_and_accepts_again_after_records_are_closed() {
    let folder = TempDir::new().expect("a folder");
    let limit = 100_000;
    let (journal, _) = open(&folder, limit);
    let mut held = Vec::new();
    loop {
        match journal.append_accepted(envelope("m", 2000), TIME_LEFT, 0, 0) {
            Ok(record) => held.push(record),
            Err(PutError::Full(_)) => break,
            Err(e) => panic!("{e}"),
        }
    }
    assert!(held.len() >= 8, "{}", held.len());
    // Attempts of open messages are still written, however many there are.
    for i in 0..20_000 {
        let record = &held[i % held.len()];
        record.attempt_started("zone").expect("written");
        record.attempt_ended(false);
        let now = size(folder.path());
        assert!(now <= limit, "{now} bytes after {i}");
    }
    // Closing records frees space.
    held.drain(..held.len() / 4)
        .for_each(|r| r.close().expect("written"));
    // The capacity gate stays closed for a short time.
    std::thread::sleep(Duration::from_millis(150));
    held.push(
        journal
            .append_accepted(envelope("n", 2000), TIME_LEFT, 0, 0)
            .expect("accepted"),
    );
    let kept = held.len();
    drop((journal, held));
    assert_eq!(open(&folder, limit).1.len(), kept);
}

#[test]
fn many_segments_need_few_file_descriptors() {
    let folder = TempDir::new().expect("a folder");
    let open_descriptors = |folder: &TempDir| {
        let links = fs::read_dir("/proc/self/fd")
            .expect("a process")
            .filter_map(|f| fs::read_link(f.ok()?.path()).ok());
        links.filter(|to| to.starts_with(folder.path())).count()
    };
    let (journal, _) = open(&folder, 3_000_000);
    let mut records: Vec<_> = (0..300)
        .map(|i| {
            journal
                .append_accepted(envelope(&format!("m{i}"), 3_000), TIME_LEFT, 0, 0)
                .expect("accepted")
        })
        .collect();
    for _ in 0..300 {
        records.remove(0).close().expect("written");
        records.push(
            journal
                .append_accepted(envelope("n", 3_000), TIME_LEFT, 0, 0)
                .expect("accepted"),
        );
    }
    let files = fs::read_dir(folder.path()).expect("a folder").count();
    assert!(
        files > MAX_OPEN_FILES + 4 && open_descriptors(&folder) <= MAX_OPEN_FILES,
        "{} of {files}",
        open_descriptors(&folder)
    );
    drop((journal, records));
    let (_journal, records) = open(&folder, 3_000_000);
    assert!(
        records.len() == 300 && open_descriptors(&folder) <= MAX_OPEN_FILES,
        "{} after a start",
        open_descriptors(&folder)
    );
}

#[test]
fn a_folder_in_use_or_of_another_format_is_rejected() {
    let folder = TempDir::new().expect("a folder");
    let first = open(&folder, LIMIT_BYTES);
    let assert_rejected = |words: &str| {
        let error = Journal::open(folder.path(), JournalOptions::new(LIMIT_BYTES))
            .err()
            .expect("rejected")
            .to_string();
        assert!(error.contains(words), "{error}");
    };
    assert_rejected("another process");
    drop(first);
    fs::write(folder.path().join("journal"), "something else").expect("written");
    assert_rejected("another format");
}

#[test]
fn a_decided_message_reserves_no_space_for_its_body() {
    let folder = TempDir::new().expect("a folder");
    let (journal, _) = open(&folder, 700_000);
    let mut waiting = Vec::new();
    for _ in 0..40 {
        let record = journal
            .append_accepted(envelope("m", 20_000), TIME_LEFT, 0, 0)
            .expect("accepted");
        record.decided(Verdict::Delivered).expect("written");
        waiting.push(record);
    }
}
