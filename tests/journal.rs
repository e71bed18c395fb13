//! The journal on files: what it gives back, what it does with a broken end, and that it keeps its limit.

use raildeal::core::journal::{replay, Journal, Record, Unwritten};
use raildeal::core::{Envelope, Verdict};
use std::fs;
use std::path::Path;
use std::rc::Rc;
use tempfile::TempDir;

const ROOM: u64 = 1_000_000;

fn envelope(id: &str, size: usize) -> Rc<Envelope> {
    Rc::new(Envelope {
        id: id.into(),
        key: Some("k".into()),
        dest: 7,
        body: vec![9; size],
        ..Envelope::default()
    })
}

fn take_on(journal: &Rc<Journal>, id: &str) -> Record {
    journal.take_on(envelope(id, 200), 99).expect("taken on")
}

fn size(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("a folder");
    files.map(|f| f.expect("a file").metadata().expect("its size").len().next_multiple_of(512)).sum()
}

#[test]
fn it_gives_back_what_was_left_open() {
    let folder = TempDir::new().expect("a folder");
    let (journal, none) = Journal::open(folder.path(), ROOM).expect("opened");
    assert!(none.is_empty());
    let [a, b, c, d] = ["a", "b", "c", "d"].map(|id| take_on(&journal, id));
    a.sent("x").expect("written");
    b.sent("x").expect("written");
    b.back(false);
    c.sent("x").expect("written");
    c.back(true);
    c.sent("y").expect("written");
    c.back(true);
    c.ended(Verdict::Deferred { again_ms: 500 });
    d.close();
    drop((journal, a, b, c));
    // Open it twice: the second time from its own compaction.
    for _ in 0..2 {
        let (_, records) = Journal::open(folder.path(), ROOM).expect("opened");
        let [a, b, c] =
            <[Record; 3]>::try_from(records).unwrap_or_else(|_| panic!("three")).map(|r| r.account());
        assert_eq!((a.envelope, a.expires_ms, a.attempts), (envelope("a", 200), 99, 1));
        assert_eq!(a.out.as_ref().map(|s| s.zone.as_str()), Some("x"));
        assert_eq!((b.may_have_run(), b.attempts, b.verdict), (None, 1, None));
        assert_eq!(c.may_have_run().map(|s| s.zone.as_str()), Some("x"), "the first zone counts");
        assert_eq!((c.attempts, c.verdict), (2, Some(Verdict::Deferred { again_ms: 500 })));
        assert!(c.envelope.body.is_empty(), "what has its verdict is only to be told of it");
    }
}

#[test]
fn a_torn_end_costs_only_what_was_being_written() {
    let folder = TempDir::new().expect("a folder");
    let (journal, _) = Journal::open(folder.path(), ROOM).expect("opened");
    let open = [take_on(&journal, "a"), take_on(&journal, "b")];
    let path = folder.path().join("journal");
    let whole = fs::read(&path).expect("a file");
    let first = replay(&whole[..whole.len() - 1]).1;
    for cut in 0..whole.len() {
        let (open, good) = replay(&whole[..cut]);
        assert!(good <= cut && open.len() == usize::from(cut >= first));
    }
    drop((journal, open));
    fs::write(&path, &whole[..whole.len() - 3]).expect("written");
    let (journal, records) = Journal::open(folder.path(), ROOM).expect("opened");
    assert_eq!(records.len(), 1);
    // What is written after it is found again.
    let c = take_on(&journal, "c");
    drop((journal, records, c));
    assert_eq!(Journal::open(folder.path(), ROOM).expect("opened").1.len(), 2);
}

#[test]
fn a_broken_line_is_never_believed() {
    let folder = TempDir::new().expect("a folder");
    let (journal, _) = Journal::open(folder.path(), ROOM).expect("opened");
    let _open = [take_on(&journal, "a"), take_on(&journal, "b")];
    let whole = fs::read(folder.path().join("journal")).expect("a file");
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        assert!(replay(&bytes).0.len() < 2, "byte {at}");
    }
}

#[test]
fn it_keeps_its_limit_and_goes_on_after_a_full_stop() {
    let folder = TempDir::new().expect("a folder");
    let limit = 100_000;
    let (journal, _) = Journal::open(folder.path(), limit).expect("opened");
    let mut open = Vec::new();
    loop {
        match journal.take_on(envelope("m", 2000), 99) {
            Ok(record) => open.push(record),
            Err(Unwritten::Full) => break,
            Err(Unwritten::Io(e)) => panic!("{e}"),
        }
    }
    assert!(open.len() >= 8, "{}", open.len());
    // Attempts of what is open go on being written, however many there are.
    for i in 0..20_000 {
        let record = &open[i % open.len()];
        record.sent("zone").expect("written");
        record.back(false);
        // While it compacts, the old file and the new one stand side by side.
        let (now, live) = (size(folder.path()), open.len() as u64 * 2200);
        assert!(now + live <= limit, "{now} bytes after {i}");
    }
    // Room comes back with what is closed.
    open.drain(..4).for_each(Record::close);
    open.push(journal.take_on(envelope("n", 2000), 99).expect("taken on"));
    let kept = open.len();
    drop((journal, open));
    assert_eq!(Journal::open(folder.path(), limit).expect("opened").1.len(), kept);
}

#[test]
fn a_folder_serves_one_process_and_one_form() {
    let folder = TempDir::new().expect("a folder");
    let first = Journal::open(folder.path(), ROOM).expect("opened");
    let refused = |words: &str| {
        let told = Journal::open(folder.path(), ROOM).err().expect("refused").to_string();
        assert!(told.contains(words), "{told}");
    };
    refused("another process");
    drop(first);
    fs::write(folder.path().join("journal"), "something else").expect("written");
    refused("another form");
}

#[test]
fn an_answer_that_waits_takes_no_room_for_its_message() {
    let folder = TempDir::new().expect("a folder");
    let (journal, _) = Journal::open(folder.path(), 100_000).expect("opened");
    let mut waiting = Vec::new();
    for _ in 0..10 {
        let record = journal.take_on(envelope("m", 20_000), 99).expect("room");
        record.ended(Verdict::Delivered);
        waiting.push(record);
    }
}
