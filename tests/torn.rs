//! A state folder that was cut at any byte, or in which any byte has changed: what is whole is recovered, what is not is
//! reported, and a start goes on.

use raildeal::core::journal::{Journal, Setup};
use raildeal::core::{Envelope, Verdict};
use raildeal::store::disk::Disk;
use raildeal::store::faulty::{Faulty, Image};
use raildeal::store::frame::{self, Began, Header, Tag, BEGIN};
use raildeal::store::recover::{self, Replay, Scan};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Segments as small as there are, so that a few messages fill several.
const LIMIT: u64 = 33_000;
const BLOCK: usize = 4096;

fn open(image: &Image) -> (std::rc::Rc<Journal>, Vec<raildeal::core::journal::Record>) {
    let (disk, setup) = (Arc::new(Faulty::holding(image.clone())), Setup { seed: 5, ..Setup::new(LIMIT) });
    Journal::on(disk, setup, None, Vec::new(), Box::new(|| Duration::ZERO)).expect("a start succeeds")
}

/// A store of several segments with messages at each stage of their lives.
fn small() -> Image {
    let disk = Faulty::new();
    let setup = Setup { seed: 5, ..Setup::new(LIMIT) };
    let time = Box::new(|| Duration::ZERO);
    let (journal, _) = Journal::on(Arc::new(disk.clone()), setup, None, Vec::new(), time).expect("opened");
    let mut held = Vec::new();
    for n in 0..18 {
        let envelope = Envelope { id: format!("m{n}"), body: vec![n; 400], ..Envelope::default() };
        let record = journal.take_on(envelope, Duration::from_secs(16), 0, 0).expect("taken on");
        match n % 6 {
            0 => {}
            2 => record.sent("a").expect("written"),
            4 => {
                record.sent("a").expect("written");
                record.back(true);
                record.ended(Verdict::Undeliverable).expect("written");
            }
            _ => {
                record.close().expect("closed");
                continue;
            }
        }
        held.push(record);
    }
    disk.after_kill()
}

/// Where a frame stands in its file, and what it says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    file: String,
    at: usize,
    len: usize,
    said: Said,
}

type Said = (u8, u64, Vec<u8>);

/// All that a store tells, in order, and how often lines may be missing.
#[derive(Default)]
struct Told(Vec<Said>);

impl Replay for Told {
    fn put(&mut self, no: u64, data: &[u8]) -> Result<(), String> {
        self.0.push((0, no, data.to_vec()));
        Ok(())
    }
    fn note(&mut self, no: u64, data: &[u8]) -> Result<(), String> {
        self.0.push((1, no, data.to_vec()));
        Ok(())
    }
    fn gone(&mut self, no: u64) {
        self.0.push((2, no, Vec::new()));
    }
    fn doubt(&mut self) {}
    fn believe(&mut self, _: &[bool]) {}
}

fn scan(image: &Image) -> (Scan, Vec<Said>) {
    let disk: Arc<dyn Disk> = Arc::new(Faulty::holding(image.clone()));
    let mut told = Told::default();
    let scan = recover::scan(&*disk, 1, &mut told).expect("read");
    (scan, told.0)
}

/// Every line about a message that counts in a whole store; what cleaning has copied and left behind does not.
fn counting(image: &Image) -> Vec<Line> {
    let told: BTreeSet<Said> = scan(image).1.into_iter().collect();
    let mut lines = lines(image);
    lines.retain(|l| told.contains(&l.said));
    lines
}

/// Every line of a whole store about a message.
fn lines(image: &Image) -> Vec<Line> {
    let mut lines = Vec::new();
    for (file, bytes) in image {
        let Began::At(header) = Header::read(&bytes[..BEGIN as usize]) else { continue };
        let mut at = BEGIN as usize;
        while let Some(f) = frame::read(header.salt, &bytes[at..]) {
            let len = f.len as usize;
            let kind = match f.tag {
                Tag::Put => 0,
                Tag::Note => 1,
                Tag::Gone => 2,
                // What the store says of itself.
                Tag::Head | Tag::Mark => {
                    at += len;
                    continue;
                }
            };
            lines.push(Line { file: file.clone(), at, len, said: (kind, f.no, f.data.to_vec()) });
            at += len;
        }
    }
    lines
}

/// A torn store tells of every line that is whole and of nothing that was not written. Where a line is missing, that is reported.
fn check(image: &Image, (all, counting): (&[Line], &[Line]), whole: impl Fn(&Line) -> bool, what: &str) {
    let (scan, told) = scan(image);
    let known: BTreeSet<&Said> = all.iter().map(|l| &l.said).collect();
    assert!(told.iter().all(|said| known.contains(said)), "{what}: told what was never written");
    let found: BTreeSet<&Said> = told.iter().collect();
    let missing = counting.iter().filter(|l| !found.contains(&l.said));
    let missing: Vec<&Line> = missing.collect();
    assert!(
        missing.iter().all(|l| !whole(l)),
        "{what}: a whole line is not recovered: {:?}",
        missing.iter().map(|l| (&l.file, l.at)).collect::<Vec<_>>()
    );
    let reported = !scan.damage.is_empty() || scan.torn_at.is_some() || !scan.short.is_empty();
    assert!(
        missing.is_empty() || reported,
        "{what}: {} lines are missing and nothing is reported",
        missing.len()
    );
    assert_eq!(scan.torn > 0, scan.torn_at.is_some(), "{what}");
    for damage in &scan.damage {
        let words = damage.to_string();
        assert!(words.contains(".seg") || words.contains("segment"), "{what}: {words}");
    }
    // The next process takes what is there up, and writes on.
    let (journal, records) = open(image);
    let more =
        journal.take_on(Envelope { id: "more".into(), ..Envelope::default() }, Duration::from_secs(1), 0, 0);
    drop((more, records));
}

/// Lines of the files that the store uses; what stands behind their last lines was never written.
fn used(all: &[Line], file: &str) -> usize {
    all.iter().filter(|l| l.file == file).map(|l| l.at + l.len).max().unwrap_or(0)
}

#[test]
fn a_store_cut_at_any_byte_of_any_file_gives_back_what_is_whole_and_reports_the_rest() {
    let image = small();
    let (all, counting) = (lines(&image), counting(&image));
    let files: BTreeSet<&String> = counting.iter().map(|l| &l.file).collect();
    assert!(files.len() >= 2, "{files:?}");
    for file in files {
        for cut in 0..BLOCK {
            let mut torn = image.clone();
            torn.get_mut(file).expect("a file").truncate(cut);
            // Without its header a file tells nothing.
            let header = cut >= 68;
            let whole = |l: &Line| l.file != *file || header && l.at + l.len <= cut;
            check(&torn, (&all, &counting), whole, &format!("{file} cut at {cut}"));
        }
    }
}

#[test]
fn a_store_in_which_any_byte_has_changed_gives_back_what_is_whole_and_reports_the_rest() {
    let image = small();
    let (all, counting) = (lines(&image), counting(&image));
    let files: BTreeSet<&String> = counting.iter().map(|l| &l.file).collect();
    for file in files {
        for at in 0..(used(&all, file) + 64).min(BLOCK) {
            for bit in [0x01, 0x80] {
                let mut torn = image.clone();
                torn.get_mut(file).expect("a file")[at] ^= bit;
                let whole = |l: &Line| l.file != *file || !(l.at..l.at + l.len).contains(&at);
                check(&torn, (&all, &counting), whole, &format!("{file}, byte {at} changed by {bit:#x}"));
            }
        }
    }
}

#[test]
fn a_store_of_which_any_file_is_gone_or_empty_goes_on_and_reports_it() {
    let image = small();
    let (all, counting) = (lines(&image), counting(&image));
    let files: BTreeSet<&String> = counting.iter().map(|l| &l.file).collect();
    // That the newest one was there nothing tells, once it is gone; emptied, it is seen.
    for file in files.iter().rev().skip(1) {
        let mut torn = image.clone();
        torn.remove(*file);
        check(&torn, (&all, &counting), |l| l.file != **file, &format!("{file} gone"));
    }
}
