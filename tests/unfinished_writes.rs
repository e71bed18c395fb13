//! Writes of the store that fail in part, cut at each byte: what the log goes on with, and what the
//! next process reads of it.

use raildeal::store::disk::{Disk, DiskFile};
use raildeal::store::faulty::{DiskImage, Fault, FaultyDisk};
use raildeal::store::frame::{self, FrameKind, SegmentHeader, SegmentStart, FRAMES_OFFSET};
use raildeal::store::log::{LogOptions, ReadStored, SegmentLog, SnapshotSource};
use raildeal::store::recover::{self, Anomaly, Damage, Replay, ReplayError};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

const ITEM_BYTES: usize = 900;
const UPDATE_BYTES: usize = 20;
/// Bytes of the longest write that is cut: a header, and a frame.
const LONGEST_WRITE: usize = 1_040;

/// Items as they were written, with their updates behind them.
#[derive(Clone, Debug, Default, PartialEq)]
struct Items(BTreeMap<u64, Vec<u8>>);

impl Replay for Items {
    fn on_put(&mut self, item: u64, data: &[u8]) -> Result<(), ReplayError> {
        self.0.insert(item, data.to_vec());
        Ok(())
    }

    fn on_update(&mut self, item: u64, data: &[u8]) -> Result<(), ReplayError> {
        if let Some(held) = self.0.get_mut(&item) {
            held.extend(data);
        }
        Ok(())
    }

    fn on_remove(&mut self, item: u64) {
        self.0.remove(&item);
    }

    fn on_possible_loss(&mut self) {}

    fn on_losses_known(&mut self, _: &[bool]) {}
}

impl SnapshotSource for Items {
    fn snapshot(&self, item: u64, _: ReadStored<'_>) -> io::Result<Vec<u8>> {
        Ok(self.0[&item].clone())
    }
}

/// A process with its log, and what it believes to be written.
struct Process {
    disk: FaultyDisk,
    log: SegmentLog,
    held: Items,
    damage: Vec<Damage>,
    /// Tells the data of one item from that of another.
    written: u8,
}

impl Process {
    fn start(image: DiskImage) -> Process {
        let disk = FaultyDisk::from_image(image);
        let options = LogOptions {
            limit_bytes: 110_000,
            seed: 5,
            sync_required: false,
        };
        let mut held = Items::default();
        let size = |held: &Items, item: u64| held.0[&item].len() as u64;
        let opened = SegmentLog::open(Arc::new(disk.clone()), options, None, &mut held, size);
        let opened = opened.expect("a start succeeds");
        Process {
            disk,
            log: opened.log,
            held,
            damage: opened.damage,
            written: 0,
        }
    }

    /// One that goes on until the next item needs another segment.
    fn before_a_segment() -> Process {
        let mut process = Process::start(DiskImage::new());
        loop {
            assert!(process.put());
            let tail_bytes = process.log.occupancy().tail_bytes;
            if process.held.0.len() > 8 && tail_bytes < frame::encoded_len(ITEM_BYTES) {
                return process;
            }
        }
    }

    fn put(&mut self) -> bool {
        self.written = self.written.wrapping_add(1);
        let data = vec![self.written; ITEM_BYTES];
        let put = self
            .log
            .put(Duration::ZERO, &data, ITEM_BYTES as u64, &self.held);
        if let Ok(item) = put.result {
            self.held.0.insert(item, data);
            return true;
        }
        false
    }

    fn update(&mut self, item: u64) {
        let data = vec![b'u'; UPDATE_BYTES];
        if self.log.append_update(item, &data, &self.held).is_ok() {
            self.held.0.entry(item).or_default().extend(data);
        }
    }

    fn remove(&mut self, item: u64) {
        if self.log.remove(item, &self.held).is_ok() {
            self.held.0.remove(&item);
        }
    }

    /// Writes what still fits into the newest segment.
    fn update_one(&mut self) {
        let newest = self.held.0.keys().next_back().copied();
        newest.into_iter().for_each(|item| self.update(item));
    }

    /// Updates every item.
    fn update_all(&mut self) {
        let items: Vec<u64> = self.held.0.keys().copied().collect();
        items.into_iter().for_each(|item| self.update(item));
    }

    /// Begins some segments, and cleans others.
    fn go_on(&mut self) {
        for _ in 0..12 {
            self.put();
            self.update_all();
            let oldest = self.held.0.keys().next().copied();
            oldest.into_iter().for_each(|item| self.remove(item));
        }
    }

    /// The next process reads exactly what this one believes; gives it.
    fn restart(self, case: &str) -> Process {
        let next = Process::start(self.disk.after_kill());
        assert!(
            next.held == self.held,
            "{case}: {}",
            difference(&self, &next)
        );
        next
    }
}

fn difference(before: &Process, after: &Process) -> String {
    let lens = |items: &Items| -> Vec<(u64, usize)> {
        items
            .0
            .iter()
            .map(|(item, data)| (*item, data.len()))
            .collect()
    };
    let damage: Vec<String> = after.damage.iter().map(ToString::to_string).collect();
    format!(
        "{:?} became {:?}, {damage:?}",
        lens(&before.held),
        lens(&after.held)
    )
}

/// What comes after the write that is cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    /// The process ends.
    Ends,
    /// The log goes on in the segment before.
    GoesOnInSegment,
    /// The next write is cut, too, and the log goes on in the segment before.
    FailsAgain,
    /// The log goes on through further segments.
    GoesOn,
}

const ALL_THEN: [Then; 4] = [
    Then::Ends,
    Then::GoesOnInSegment,
    Then::FailsAgain,
    Then::GoesOn,
];

/// Cuts the nth write of an item that begins a segment, plays what follows, restarts, and goes on
/// to a second restart. Gives the damage that the first restart told.
fn play(nth: u64, cut: usize, undoing: Option<Fault>, then: Then) -> Vec<Damage> {
    let case = format!("write {nth} cut at {cut}, undoing {undoing:?}, {then:?}");
    let mut process = Process::before_a_segment();
    process.disk.fail(nth, Fault::Cut(cut));
    if let Some(fault) = undoing {
        process.disk.fail(nth + 1, fault);
    }
    process.put();
    match then {
        Then::Ends => {}
        Then::GoesOnInSegment => process.update_one(),
        Then::FailsAgain => {
            process.disk.fail(0, Fault::Cut(cut));
            process.put();
            process.update_one();
        }
        Then::GoesOn => process.go_on(),
    }
    let mut next = process.restart(&case);
    let damage = std::mem::take(&mut next.damage);
    next.go_on();
    next.restart(&case);
    damage
}

/// Writes that an item takes which begins a segment: those of its frame and of the header.
fn writes_of_an_item() -> u64 {
    let mut process = Process::before_a_segment();
    let before = process.disk.operations();
    assert!(process.put());
    process.disk.operations() - before
}

/// Guards against items that are lost, or come back, after a write that failed in part.
#[test]
fn a_write_cut_at_any_byte_loses_nothing_and_brings_nothing_back() {
    for nth in 0..writes_of_an_item() {
        for cut in 0..=LONGEST_WRITE {
            for then in ALL_THEN {
                let damage = play(nth, cut, None, then);
                assert!(
                    damage.is_empty(),
                    "write {nth} at {cut}, {then:?}: {damage:?}"
                );
            }
        }
    }
}

/// Guards against an item that was refused and comes back, since its frame was cut behind its data.
#[test]
fn a_refused_item_stays_refused_wherever_its_frame_was_cut() {
    let first_frame = 0;
    let write_in_another_segment = 2;
    for cut in 0..=LONGEST_WRITE {
        let mut process = Process::start(DiskImage::new());
        assert!(process.put());
        process.disk.fail(first_frame, Fault::Cut(cut));
        process.disk.fail(write_in_another_segment, Fault::Cut(cut));
        assert!(!process.put(), "taken on, cut at {cut}");
        process.restart(&format!("refused, cut at {cut}"));
    }
}

/// Guards against items that are lost because a header that failed could not be erased either.
#[test]
fn a_header_that_cannot_be_erased_hides_no_item() {
    let header_write = 0;
    for cut in 0..=LONGEST_WRITE {
        for undoing in [Fault::Io, Fault::Cut(cut / 2)] {
            for then in ALL_THEN {
                let damage = play(header_write, cut, Some(undoing), then);
                let is_header = |d: &Damage| matches!(d, Damage::UnreadableHeader { .. });
                assert!(damage.iter().all(is_header), "{cut}, {then:?}: {damage:?}");
            }
        }
    }
}

/// Guards against items that are lost because the process ended between a header's write that
/// failed and its undoing.
#[test]
fn a_kill_before_a_header_is_erased_hides_no_item() {
    let header_write = 0;
    for cut in 0..=LONGEST_WRITE {
        play(header_write, cut, Some(Fault::Kill), Then::Ends);
    }
}

/// A folder of a version that did not erase headers: the number of the newest segment stands in a
/// free file, too. Gives the name of that file, and the header in it.
fn with_repeated_header(process: &Process) -> (DiskImage, String, SegmentHeader) {
    let mut image = process.disk.after_kill();
    let header_of = |bytes: &[u8]| match SegmentHeader::decode(&bytes[..FRAMES_OFFSET as usize]) {
        SegmentStart::Header(header) => Some(header),
        _ => None,
    };
    let newest = image.values().filter_map(|b| header_of(b));
    let newest = newest.max_by_key(|h| h.sequence).expect("a segment");
    let free = image.iter().rev().find(|(_, b)| header_of(b).is_none());
    let name = free.expect("a free file").0.clone();
    let header = newest.encode();
    image.get_mut(&name).expect("there")[..header.len()].copy_from_slice(&header);
    (image, name, newest)
}

/// Guards against a number that stands twice being taken for a missing or a damaged segment.
#[test]
fn of_two_files_with_one_number_the_one_without_frames_is_free() {
    let mut process = Process::before_a_segment();
    assert!(process.put());
    let (image, name, header) = with_repeated_header(&process);
    let disk = FaultyDisk::from_image(image.clone());
    let found = recover::scan(&disk, 1, &mut Items::default()).expect("read");
    let repeated = Anomaly::RepeatedSequence {
        file: name,
        sequence: header.sequence,
    };
    assert_eq!((found.damage, found.anomalies), (vec![], vec![repeated]));
    process.disk = disk;
    let mut next = process.restart("a number stands twice");
    next.go_on();
    next.restart("and the log goes on");
}

/// Guards against the loss of frames that an earlier version wrote to the second of two files with
/// one number.
#[test]
fn two_files_with_one_number_and_frames_are_both_read_and_cleaned() {
    let mut process = Process::before_a_segment();
    assert!(process.put());
    let (image, name, header) = with_repeated_header(&process);
    let disk = FaultyDisk::from_image(image);
    let item = process.held.0.keys().max().expect("an item") + 1;
    let data = vec![77; ITEM_BYTES];
    let bytes = frame::encode(header.salt, FrameKind::Put, item, &data);
    let file: Arc<dyn DiskFile> = disk.open(&name).expect("there");
    file.write_at(&bytes, FRAMES_OFFSET).expect("written");
    process.held.0.insert(item, data);
    process.disk = disk;
    let mut next = process.restart("both have frames");
    let stored = next.log.reader(item).expect("a place").read();
    assert_eq!(stored.expect("read").len(), ITEM_BYTES);
    next.go_on();
    next.restart("and the log goes on");
}

/// Guards against frames behind the end that a header tells being dropped without a word.
#[test]
fn frames_behind_the_end_that_a_header_tells_are_read_and_told_of() {
    let mut process = Process::before_a_segment();
    process.disk.fail(0, Fault::Cut(516));
    process.disk.fail(1, Fault::Io);
    assert!(!process.put());
    process.update_one();
    let disk = FaultyDisk::from_image(process.disk.after_kill());
    let found = recover::scan(&disk, 1, &mut Items::default()).expect("read");
    let told: Vec<String> = found.anomalies.iter().map(ToString::to_string).collect();
    assert!(
        matches!(
            found.anomalies[..],
            [
                Anomaly::HeaderCopiesDiffer { .. },
                Anomaly::FramesBehindEnd { .. }
            ]
        ),
        "{told:?}"
    );
    process.restart("frames behind the end");
}
