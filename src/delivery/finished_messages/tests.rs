//! What is remembered of messages that have ended, also by the next process.

use super::*;
use tempfile::TempDir;

const MAX_BYTES: u64 = 8 * 1024;
const DELIVERED: FinishedMessage = FinishedMessage {
    fingerprint: 7,
    ending: Ending::Delivered,
};

fn key(number: usize) -> MessageKey {
    MessageKey {
        frontend: 0,
        id: format!("id-{number}"),
    }
}

/// Bytes of a folder's files, in whole blocks.
fn folder_bytes(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).expect("a folder");
    entries
        .map(|e| e.expect("an entry").metadata().expect("a file").len())
        .map(|length| length.div_ceil(512) * 512)
        .sum()
}

#[test]
fn the_newest_ids_are_found_by_the_next_process_and_the_folder_stays_within_its_part() {
    let folder = TempDir::new().expect("a folder");
    for number in 0..2_000 {
        if number % 97 == 0 {
            // A process that begins anew goes on where the one before ended.
            let table = FinishedMessages::open(folder.path(), MAX_BYTES);
            assert!(number == 0 || table.find(&key(number - 1)).is_some());
        }
        let table = FinishedMessages::open(folder.path(), MAX_BYTES);
        table.remember(key(number), DELIVERED);
        assert!(folder_bytes(folder.path()) <= MAX_BYTES);
    }
    let table = FinishedMessages::open(folder.path(), MAX_BYTES);
    // A record of these ids takes 22 bytes at the most: half of the part holds at least these.
    for number in 1_820..2_000 {
        assert_eq!(table.find(&key(number)), Some(DELIVERED), "{number}");
    }
    assert_eq!(table.find(&key(0)), None);
    assert_eq!(table.find(&key(2_000)), None);
}

#[test]
fn a_file_that_is_cut_at_any_byte_loses_no_record_before_the_cut() {
    let folder = TempDir::new().expect("a folder");
    let table = FinishedMessages::open(folder.path(), MAX_BYTES);
    (0..3).for_each(|number| table.remember(key(number), DELIVERED));
    drop(table);
    let path = folder.path().join("finished.1");
    let whole = std::fs::read(&path).expect("written");
    let record = (whole.len() - 16) / 3;
    for cut in 0..=whole.len() {
        std::fs::write(&path, &whole[..cut]).expect("cut");
        let _ = std::fs::remove_file(folder.path().join("finished.0"));

        let table = FinishedMessages::open(folder.path(), MAX_BYTES);
        let kept = cut.saturating_sub(16) / record;
        assert_eq!(table.len(), kept, "cut at {cut}");
        table.remember(key(9), DELIVERED);
        drop(table);

        let table = FinishedMessages::open(folder.path(), MAX_BYTES);
        assert_eq!(table.len(), kept + 1, "cut at {cut}");
        assert_eq!(table.find(&key(9)), Some(DELIVERED));
    }
}

#[test]
fn a_changed_byte_never_yields_an_id_that_was_not_written() {
    let folder = TempDir::new().expect("a folder");
    let table = FinishedMessages::open(folder.path(), MAX_BYTES);
    (0..3).for_each(|number| table.remember(key(number), DELIVERED));
    drop(table);
    let path = folder.path().join("finished.1");
    let whole = std::fs::read(&path).expect("written");
    for at in 0..whole.len() {
        let mut changed = whole.clone();
        changed[at] ^= 0x41;
        std::fs::write(&path, &changed).expect("changed");
        let _ = std::fs::remove_file(folder.path().join("finished.0"));

        let table = FinishedMessages::open(folder.path(), MAX_BYTES);

        let found = (0..3).filter(|n| table.find(&key(*n)) == Some(DELIVERED));
        assert_eq!(found.count(), table.len(), "byte {at}");
    }
}

#[test]
fn without_a_folder_ids_are_remembered_until_the_process_ends() {
    let folder = TempDir::new().expect("a folder");
    let table = FinishedMessages::open(&folder.path().join("missing"), MAX_BYTES);

    table.remember(key(1), DELIVERED);

    assert_eq!(table.find(&key(1)), Some(DELIVERED));
    assert_eq!(table.find(&key(2)), None);
}

#[test]
fn a_deferred_message_may_run_again_and_is_not_remembered() {
    assert_eq!(Ending::of(Verdict::Deferred { retry_after_ms: 5 }), None);
    assert_eq!(Ending::of(Verdict::Delivered), Some(Ending::Delivered));
    assert_eq!(Ending::of(Verdict::Undeliverable), Some(Ending::Failed));
}
