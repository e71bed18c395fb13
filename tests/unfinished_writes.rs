//! Partially failed writes of the store, cut at each byte: the log has to continue correctly, and
//! the next process has to read exactly the state that the previous one recorded.

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
/// Length of the longest write that is cut, in bytes: that of a header or a frame.
const LONGEST_WRITE: usize = 1_040;

/// Data of each item, followed by its updates.
#[derive(Clone, Debug, Default, PartialEq)]
struct Items(BTreeMap<u64, Vec<u8>>);

impl Replay for Items {
    fn on_put(&mut self, item: u64, data: &[u8]) -> Result<(), ReplayError> {
        self.0.insert(item, data.to_vec());
        Ok(())
    }

    fn on_update(&mut self, item: u64, data: &[u8]) -> Result<(), ReplayError> {
        if let Some(stored) = self.0.get_mut(&item) {
            stored.extend(data);
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

/// A process with its log, and the items that were written successfully.
struct Process {
    disk: FaultyDisk,
    log: SegmentLog,
    items: Items,
    damage: Vec<Damage>,
    /// Byte that fills the last item, which differs between consecutive items.
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
        let mut items = Items::default();
        let size = |items: &Items, item: u64| items.0[&item].len() as u64;
        let opened = SegmentLog::open(Arc::new(disk.clone()), options, None, &mut items, size);
        let opened = opened.expect("a start succeeds");
        Process {
            disk,
            log: opened.log,
            items,
            damage: opened.damage,
            written: 0,
        }
    }

    /// Starts a process and writes items until the next one needs another segment.
    fn before_new_segment() -> Process {
        let mut process = Process::start(DiskImage::new());
        loop {
            assert!(process.put());
            let tail_bytes = process.log.occupancy().tail_bytes;
            if process.items.0.len() > 8 && tail_bytes < frame::encoded_len(ITEM_BYTES) {
                return process;
            }
        }
    }

    fn put(&mut self) -> bool {
        self.written = self.written.wrapping_add(1);
        let data = vec![self.written; ITEM_BYTES];
        let put = self
            .log
            .put(Duration::ZERO, &data, ITEM_BYTES as u64, &self.items);
        if let Ok(item) = put.result {
            self.items.0.insert(item, data);
            return true;
        }
        false
    }

    fn update(&mut self, item: u64) {
        let data = vec![b'u'; UPDATE_BYTES];
        if self.log.append_update(item, &data, &self.items).is_ok() {
            self.items.0.entry(item).or_default().extend(data);
        }
    }

    fn remove(&mut self, item: u64) {
        if self.log.remove(item, &self.items).is_ok() {
            self.items.0.remove(&item);
        }
    }

    /// Writes an update that still fits into the newest segment.
    fn update_one(&mut self) {
        let newest = self.items.0.keys().next_back().copied();
        newest.into_iter().for_each(|item| self.update(item));
    }

    /// Updates every item.
    fn update_all(&mut self) {
        let items: Vec<u64> = self.items.0.keys().copied().collect();
        items.into_iter().for_each(|item| self.update(item));
    }

    /// Continues until further segments are begun and others cleaned.
    fn continue_writing(&mut self) {
        for _ in 0..12 {
            self.put();
            self.update_all();
            let oldest = self.items.0.keys().next().copied();
            oldest.into_iter().for_each(|item| self.remove(item));
        }
    }

    /// Starts the next process and checks that it reads exactly the items of this one.
    fn restart(self, case: &str) -> Process {
        let next = Process::start(self.disk.after_kill());
        assert!(
            next.items == self.items,
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
        lens(&before.items),
        lens(&after.items)
    )
}

/// Event after the write that is cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NextEvent {
    /// The process ends.
    ProcessEnds,
    /// The log continues in the previous segment.
    ContinuesInSegment,
    /// The next write is cut as well, and the log continues in the previous segment.
    FailsAgain,
    /// The log continues through further segments.
    Continues,
}

const NEXT_EVENTS: [NextEvent; 4] = [
    NextEvent::ProcessEnds,
    NextEvent::ContinuesInSegment,
    NextEvent::FailsAgain,
    NextEvent::Continues,
];

/// Cuts the nth write of an item that begins a segment, runs the following event, restarts, and
/// continues until a second restart. Returns the damage reported by the first restart.
fn run_case(nth: u64, cut: usize, erasure: Option<Fault>, then: NextEvent) -> Vec<Damage> {
    let case = format!("write {nth} cut at {cut}, erasure {erasure:?}, {then:?}");
    let mut process = Process::before_new_segment();
    process.disk.fail(nth, Fault::Cut(cut));
    if let Some(fault) = erasure {
        process.disk.fail(nth + 1, fault);
    }
    process.put();
    match then {
        NextEvent::ProcessEnds => {}
        NextEvent::ContinuesInSegment => process.update_one(),
        NextEvent::FailsAgain => {
            process.disk.fail(0, Fault::Cut(cut));
            process.put();
            process.update_one();
        }
        NextEvent::Continues => process.continue_writing(),
    }
    let mut next = process.restart(&case);
    let damage = std::mem::take(&mut next.damage);
    next.continue_writing();
    next.restart(&case);
    damage
}

/// Returns the number of writes for an item that begins a segment: those of the header and the
/// frame.
fn writes_of_an_item() -> u64 {
    let mut process = Process::before_new_segment();
    let before = process.disk.operations();
    assert!(process.put());
    process.disk.operations() - before
}

/// Guards against items that are lost or reappear after a partially failed write.
#[test]
fn write_cut_at_any_byte_neither_loses_nor_restores_items() {
    for nth in 0..writes_of_an_item() {
        for cut in 0..=LONGEST_WRITE {
            for then in NEXT_EVENTS {
                let damage = run_case(nth, cut, None, then);
                assert!(
                    damage.is_empty(),
                    "write {nth} at {cut}, {then:?}: {damage:?}"
                );
            }
        }
    }
}

/// Guards against a rejected item that reappears because its frame was cut after its data, so that
/// the frame is complete on disk although its write failed.
#[test]
fn rejected_item_stays_rejected_wherever_its_frame_was_cut() {
    let first_frame = 0;
    let write_in_another_segment = 2;
    for cut in 0..=LONGEST_WRITE {
        let mut process = Process::start(DiskImage::new());
        assert!(process.put());
        process.disk.fail(first_frame, Fault::Cut(cut));
        process.disk.fail(write_in_another_segment, Fault::Cut(cut));
        assert!(!process.put(), "accepted, cut at {cut}");
        process.restart(&format!("rejected, cut at {cut}"));
    }
}

/// Guards against items that are lost because both the write of a header and its erasure failed.
#[test]
fn header_that_cannot_be_erased_hides_no_item() {
    let header_write = 0;
    for cut in 0..=LONGEST_WRITE {
        for erasure in [Fault::Io, Fault::Cut(cut / 2)] {
            for then in NEXT_EVENTS {
                let damage = run_case(header_write, cut, Some(erasure), then);
                let is_header = |d: &Damage| matches!(d, Damage::UnreadableHeader { .. });
                assert!(damage.iter().all(is_header), "{cut}, {then:?}: {damage:?}");
            }
        }
    }
}

/// Guards against items that are lost because the process ended between the failed write of a
/// header and its erasure.
#[test]
fn kill_before_a_header_is_erased_hides_no_item() {
    let header_write = 0;
    for cut in 0..=LONGEST_WRITE {
        run_case(header_write, cut, Some(Fault::Kill), NextEvent::ProcessEnds);
    }
}

/// Returns the folder of a version that did not erase headers: the header of the newest segment is
/// also in a free file. Returns the name of that file and the header as well.
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

/// Guards against a repeated sequence number that is reported as a missing or damaged segment.
#[test]
fn of_two_files_with_one_number_the_one_without_frames_is_freed() {
    let mut process = Process::before_new_segment();
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
    let mut next = process.restart("a repeated sequence number");
    next.continue_writing();
    next.restart("after the log continued");
}

/// Guards against the loss of frames that an earlier version wrote to the second of two files with
/// the same sequence number.
#[test]
fn two_files_with_one_number_and_frames_are_both_read_and_cleaned() {
    let mut process = Process::before_new_segment();
    assert!(process.put());
    let (image, name, header) = with_repeated_header(&process);
    let disk = FaultyDisk::from_image(image);
    let item = process.items.0.keys().max().expect("an item") + 1;
    let data = vec![77; ITEM_BYTES];
    let bytes = frame::encode(header.salt, FrameKind::Put, item, &data);
    let file: Arc<dyn DiskFile> = disk.open(&name).expect("there");
    file.write_at(&bytes, FRAMES_OFFSET).expect("written");
    process.items.0.insert(item, data);
    process.disk = disk;
    let mut next = process.restart("both have frames");
    let stored = next.log.reader(item).expect("a place").read();
    assert_eq!(stored.expect("read").len(), ITEM_BYTES);
    next.continue_writing();
    next.restart("after the log continued");
}

/// Guards against frames that are silently dropped because they are past the end recorded in the
/// next segment's header.
#[test]
fn frames_past_the_end_recorded_in_a_header_are_read_and_reported() {
    let mut process = Process::before_new_segment();
    process.disk.fail(0, Fault::Cut(516));
    process.disk.fail(1, Fault::Io);
    assert!(!process.put());
    process.update_one();
    let disk = FaultyDisk::from_image(process.disk.after_kill());
    let found = recover::scan(&disk, 1, &mut Items::default()).expect("read");
    let reported: Vec<String> = found.anomalies.iter().map(ToString::to_string).collect();
    assert!(
        matches!(
            found.anomalies[..],
            [
                Anomaly::HeaderCopiesDiffer { .. },
                Anomaly::FramesBehindEnd { .. }
            ]
        ),
        "{reported:?}"
    );
    process.restart("frames past the recorded end");
}
