//! The log: segments in a ring, appended to at one end and cleaned at the other. Sole owner of the
//! segments' files.
//!
//! What it decides stands in [`super::capacity`], what it finds after a restart in [`super::recover`].

use super::capacity::{
    CapacityDecision, CapacityGate, GateChange, Occupancy, RejectReason, SegmentLayout, KEPT,
};
use super::disk::{read_full, write_full, Disk, DiskFile};
use super::frame::{self, FrameKind, SegmentHeader, FRAMES_OFFSET};
use super::recover::{self, Damage, FrameLocation, Replay};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Segments that one step of cleaning may end: each costs a line.
const RETIRED: usize = 2;

/// Free files that are kept open, so that a process without descriptors can go on writing.
const OPEN: usize = KEPT as usize + 1;
/// Descriptors that the store holds at once: of those, the file that is written, one that is read,
/// and its folder.
pub const MAX_OPEN_FILES: usize = OPEN + 3;

/// Gives items as they stand, for cleaning.
pub trait SnapshotSource {
    /// The data of an item's next `Put`. `old` reads that of the last one.
    fn snapshot(
        &self,
        no: u64,
        old: &mut dyn FnMut() -> io::Result<Vec<u8>>,
    ) -> io::Result<Vec<u8>>;
}

/// A file that an earlier form left: it counts as the oldest segment until what is open in it was
/// copied.
pub struct LegacyFile {
    /// Its name.
    pub name: String,
    /// Its size in bytes.
    pub size: u64,
    /// What is open in it.
    pub items: Vec<u64>,
}

struct Segment {
    sequence: u64,
    slot: u32,
    /// Open while it is written; others are opened when they are read.
    area: Option<Arc<dyn DiskFile>>,
    size: u64,
    salt: u64,
    /// Where frames end.
    len: u64,
    /// Nothing more is written to it.
    sealed: bool,
    /// Items whose `Put` stands here.
    homes: BTreeSet<u64>,
}

struct Spare {
    slot: u32,
    /// Open for as many as may be needed at once.
    area: Option<Arc<dyn DiskFile>>,
    size: u64,
}

struct Item {
    home: FrameLocation,
    size: u64,
}

/// What a log has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogStatistics {
    /// Bytes of frames that were asked for.
    pub requested_bytes: u64,
    /// Bytes of frames that cleaning wrote.
    pub cleaned_bytes: u64,
    /// Segments that were cleaned.
    pub retired_segments: u64,
    /// Writes that failed.
    pub failed_writes: u64,
}

/// The log.
pub struct SegmentLog {
    disk: Arc<dyn Disk>,
    limit: u64,
    shape: SegmentLayout,
    seed: u64,
    segments: VecDeque<Segment>,
    spares: Vec<Spare>,
    /// Free once what was written up to a position is synced.
    freed: VecDeque<(u64, Spare)>,
    legacy: Option<(String, u64, BTreeSet<u64>)>,
    /// A tree: a table of this size would stop everything while it is laid out anew.
    items: BTreeMap<u64, Item>,
    /// How many items there are of each size.
    sizes: BTreeMap<u64, u32>,
    live: u64,
    next: u64,
    next_sequence: u64,
    oldest: u64,
    door: CapacityGate,
    /// Bytes appended in all; what is synced is counted in the same way. Nothing, where nobody
    /// syncs.
    position: u64,
    synced: Option<u64>,
    /// Where the last copy ended that cleaning made.
    carried: u64,
    /// How far everything is synced, as segment and offset, while no mark says so.
    mark: Option<(u64, u64)>,
    dirty: BTreeMap<u32, Arc<dyn DiskFile>>,
    /// Names were made or removed since the last sync.
    named: bool,
    /// Bytes of cleaning that were paid for and not done; less than none, where the last item was
    /// larger.
    credit: i64,
    /// Segments up to this one may have lost what was written: a sync failed.
    suspect: u64,
    done: LogStatistics,
}

/// What was found at the start.
pub struct OpenedLog {
    /// The log.
    pub log: SegmentLog,
    /// What could not be read.
    pub damage: Vec<Damage>,
    /// Bytes at the end that hold part of a frame.
    pub torn: u64,
    /// Bytes read.
    pub read: u64,
}

/// How a log is to be.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// Bytes that the folder may hold.
    pub limit_bytes: u64,
    /// For salts; a client must not be able to know it.
    pub seed: u64,
    /// Files are used again only after a sync.
    pub sync_required: bool,
}

impl SegmentLog {
    /// Opens the log of a folder and replays it. `size` tells what an item that was replayed counts
    /// for.
    pub fn open<R: Replay>(
        disk: Arc<dyn Disk>,
        options: LogOptions,
        legacy: Option<LegacyFile>,
        replay: &mut R,
        size: impl Fn(&R, u64) -> u64,
    ) -> io::Result<OpenedLog> {
        let first = u64::from(legacy.is_none());
        let mut scan = recover::scan(&*disk, first, replay)?;
        let taken: u64 = scan
            .found
            .iter()
            .map(|f| f.size)
            .chain(scan.free.iter().map(|f| f.1))
            .sum();
        let room = disk.free_bytes().unwrap_or(0).saturating_add(taken);
        let mut log = SegmentLog {
            shape: SegmentLayout::for_folder(options.limit_bytes, room),
            limit: options.limit_bytes,
            seed: options.seed,
            segments: VecDeque::new(),
            spares: Vec::new(),
            freed: VecDeque::new(),
            legacy: None,
            items: BTreeMap::new(),
            sizes: BTreeMap::new(),
            live: 0,
            next: scan.next,
            next_sequence: scan.found.last().map_or(1, |f| f.header.sequence + 1),
            oldest: scan.oldest,
            door: CapacityGate::default(),
            position: 0,
            synced: options.sync_required.then_some(0),
            carried: 0,
            mark: None,
            dirty: BTreeMap::new(),
            named: false,
            credit: 0,
            suspect: 0,
            done: LogStatistics::default(),
            disk,
        };
        for f in scan.found.drain(..) {
            log.segments.push_back(Segment {
                sequence: f.header.sequence,
                slot: f.slot,
                area: None,
                size: f.size,
                salt: f.header.salt,
                len: f.len,
                sealed: false,
                homes: BTreeSet::new(),
            });
        }
        if let Some(newest) = log.segments.back_mut() {
            newest.area = Some(log.disk.open(&recover::segment_file_name(newest.slot))?);
        }
        for (slot, size) in scan.free.drain(..) {
            log.put_back(Spare {
                slot,
                area: None,
                size,
            });
        }
        for (no, home) in scan.locations {
            log.settle(no, home, size(replay, no));
        }
        if let Some(legacy) = legacy {
            log.next = legacy
                .items
                .iter()
                .map(|no| no + 1)
                .max()
                .unwrap_or(0)
                .max(log.next);
            // Those that were copied, or are over, do not count here any more.
            let (mut left, mut over) = (BTreeSet::new(), Vec::new());
            for no in legacy.items {
                match log.items.contains_key(&no) {
                    false if log.oldest == 0 => drop(left.insert(no)),
                    false => over.push(no),
                    true => {}
                }
            }
            over.into_iter().for_each(|no| replay.on_remove(no));
            for no in &left {
                log.settle(
                    *no,
                    FrameLocation {
                        sequence: 0,
                        at: 0,
                        data: 0,
                    },
                    size(replay, *no),
                );
            }
            log.legacy = Some((legacy.name, legacy.size, left));
        }
        Ok(OpenedLog {
            log,
            damage: scan.damage,
            torn: scan.torn,
            read: scan.read,
        })
    }

    /// The store as it stands.
    pub fn occupancy(&self) -> Occupancy {
        let usable = self.shape.segment_bytes - FRAMES_OFFSET.min(self.shape.segment_bytes);
        let counted = |bytes: u64| (bytes / self.shape.segment_bytes) as u32;
        let spare = self.spares.iter().map(|s| s.size).sum();
        let segments = counted(self.bytes() - self.legacy.as_ref().map_or(0, |l| l.1));
        Occupancy {
            segment_bytes: usable,
            segments,
            max_segments: segments + counted(self.limit.saturating_sub(self.bytes() + 2048)),
            free_segments: counted(spare),
            tail_bytes: self
                .segments
                .back()
                .map_or(0, |s| s.size.saturating_sub(s.len)),
            live_bytes: self.live,
            largest_item_bytes: self.sizes.last_key_value().map_or(0, |(size, _)| *size),
        }
    }

    /// Bytes of all files.
    fn bytes(&self) -> u64 {
        let spares = self
            .spares
            .iter()
            .chain(self.freed.iter().map(|f| &f.1))
            .map(|s| s.size);
        let legacy = self.legacy.iter().map(|l| l.1);
        self.segments
            .iter()
            .map(|s| s.size)
            .chain(spares)
            .chain(legacy)
            .sum()
    }

    /// What was done so far.
    pub fn statistics(&self) -> LogStatistics {
        self.done
    }

    /// The door.
    pub fn capacity_gate(&self) -> &CapacityGate {
        &self.door
    }

    /// Writes a new item, which may grow up to `size`, if there is room for it and all that is
    /// held. What changes at the door is told in either case.
    pub fn put(
        &mut self,
        now: Duration,
        data: &[u8],
        size: u64,
        items: &dyn SnapshotSource,
    ) -> PutOutcome {
        if data.len() > frame::max_data_len(self.shape.segment_bytes) {
            return PutOutcome {
                result: Err(PutError::TooLong),
                gate_change: None,
            };
        }
        let (admitted, mut turned) = self.admit(now, size);
        if let Err(why) = admitted {
            return PutOutcome {
                result: Err(PutError::Full(why)),
                gate_change: turned,
            };
        }
        let no = self.next;
        match self.append(FrameKind::Put, no, data, items) {
            Ok((sequence, at)) => {
                self.next += 1;
                self.settle(
                    no,
                    FrameLocation {
                        sequence,
                        at,
                        data: data.len(),
                    },
                    size,
                );
                PutOutcome {
                    result: Ok(no),
                    gate_change: turned,
                }
            }
            Err(e) => {
                turned = turned.or(self.door.on_write_error(now));
                PutOutcome {
                    result: Err(PutError::Io(e)),
                    gate_change: turned,
                }
            }
        }
    }

    fn admit(
        &mut self,
        now: Duration,
        size: u64,
    ) -> (Result<(), RejectReason>, Option<GateChange>) {
        let mut turned = None;
        loop {
            let (ask, change) = self.door.request(now, &self.occupancy(), size);
            turned = turned.or(change);
            match ask {
                CapacityDecision::Admit => return (Ok(()), turned),
                CapacityDecision::Reject(why) => return (Err(why), turned),
                CapacityDecision::AddSegment => {
                    let failed = self.grow().err().map(|e| why(&e));
                    turned = turned.or(self.door.on_growth(now, failed));
                }
            }
        }
    }

    /// Writes what happened to an item.
    pub fn append_update(
        &mut self,
        no: u64,
        data: &[u8],
        items: &dyn SnapshotSource,
    ) -> io::Result<()> {
        self.append(FrameKind::Update, no, data, items).map(drop)
    }

    /// Writes that an item is over. Until that has worked, it is not.
    pub fn remove(&mut self, no: u64, items: &dyn SnapshotSource) -> io::Result<()> {
        if self.items.contains_key(&no) {
            self.append(FrameKind::Remove, no, &[], items)?;
            self.unsettle(no);
        }
        Ok(())
    }

    /// An item counts for so much from now on.
    pub fn set_reserved_size(&mut self, no: u64, size: u64) {
        if let Some(item) = self.unsettle(no) {
            self.settle(no, item.home, size);
        }
    }

    /// Where an item's data stands.
    pub fn reader(&self, no: u64) -> Option<ItemReader> {
        let home = self.items.get(&no)?.home;
        let segment = &self.segments[self.index(home.sequence)?];
        let (disk, name) = (self.disk.clone(), recover::segment_file_name(segment.slot));
        Some(ItemReader {
            disk,
            name,
            area: segment.area.clone(),
            salt: segment.salt,
            no,
            home,
        })
    }

    /// Cleans in an idle moment, adds room ahead of need and gives needless room back.
    ///
    /// Says whether it cleaned, so that more of it may be worth while.
    pub fn maintain(&mut self, now: Duration, items: &dyn SnapshotSource) -> io::Result<bool> {
        let view = self.occupancy();
        if view.wants_segment() && self.door.may_grow(now) {
            if let Err(e) = self.grow() {
                self.door.defer_growth(now);
                log::debug!("store: no further segment: {e}");
            }
        } else if self.door.should_release_segment(now, &view) {
            self.shrink()?;
        }
        let suspect = self
            .segments
            .front()
            .is_some_and(|s| s.sequence <= self.suspect);
        let rest = (suspect || self.legacy.is_some()).then_some(super::capacity::SLICE.1);
        match view.idle_cleaning_quota().or(rest) {
            Some(budget) => self.clean(items, budget).map(|_| true),
            None => Ok(false),
        }
    }

    /// Copies up to about so many bytes of what lives in the oldest segments, and ends those in
    /// which nothing does.
    pub fn clean(&mut self, items: &dyn SnapshotSource, budget: u64) -> io::Result<u64> {
        let (mut moved, mut retired) = (0, 0);
        while retired < RETIRED {
            let homes = match (&self.legacy, self.segments.front()) {
                (Some((_, _, homes)), _) => homes,
                (None, Some(oldest)) if self.segments.len() > 1 => &oldest.homes,
                _ => break,
            };
            match homes.first().copied() {
                Some(_) if moved >= budget => break,
                Some(no) => moved += self.carry(no, items)?,
                // That it counts no more may be written once the copies cannot get lost.
                None if self.synced.is_some_and(|synced| synced < self.carried) => break,
                None => {
                    self.retire()?;
                    retired += 1;
                }
            }
        }
        Ok(moved)
    }

    /// Writes an item once more, at the end.
    fn carry(&mut self, no: u64, items: &dyn SnapshotSource) -> io::Result<u64> {
        let place = self.reader(no);
        let mut old = || match &place {
            Some(place) => place.read(),
            None => Err(io::ErrorKind::NotFound.into()),
        };
        let data = items.snapshot(no, &mut old)?;
        let (sequence, at) = self.write(FrameKind::Put, no, &data, None)?;
        let size = self.unsettle(no).map_or(0, |item| item.size);
        self.settle(
            no,
            FrameLocation {
                sequence,
                at,
                data: data.len(),
            },
            size,
        );
        let len = frame::encoded_len(data.len());
        self.done.cleaned_bytes += len;
        self.carried = self.position;
        Ok(len)
    }

    /// Ends the oldest segment, in which nothing lives.
    fn retire(&mut self) -> io::Result<()> {
        let head = match (&self.legacy, self.segments.get(1)) {
            (Some(_), _) => 1,
            (None, Some(next)) => next.sequence,
            (None, None) => return Ok(()),
        };
        self.write(FrameKind::LogStart, head, &[], None)?;
        self.oldest = head;
        self.done.retired_segments += 1;
        if let Some((name, ..)) = self.legacy.take() {
            // Should it stay, the next start knows that it counts no more.
            if let Err(e) = self.disk.remove(&name) {
                log::warn!("store: {name}: not removed: {e}");
            }
            self.named = true;
            return Ok(());
        }
        if let Some(s) = self.segments.pop_front() {
            let spare = Spare {
                slot: s.slot,
                area: s.area,
                size: s.size,
            };
            match self.synced {
                Some(synced) if synced < self.position => {
                    self.freed.push_back((self.position, spare))
                }
                _ => self.put_back(spare),
            }
        }
        Ok(())
    }

    /// Takes a free file back. One of another size goes, if one of the right size can be had for
    /// it.
    fn put_back(&mut self, spare: Spare) {
        let (slot, size) = (spare.slot, spare.size);
        self.spares.push(spare);
        self.keep_open();
        if size == self.shape.segment_bytes
            || (size >= self.shape.segment_bytes / 2 && self.grow().is_err())
        {
            return;
        }
        match self.disk.remove(&recover::segment_file_name(slot)) {
            Ok(()) => {
                self.spares.retain(|s| s.slot != slot);
                self.dirty.remove(&slot);
                self.named = true;
            }
            Err(e) => log::warn!(
                "store: {}: not removed: {e}",
                recover::segment_file_name(slot)
            ),
        }
    }

    /// Has as many free files open as may be needed at once, the last ones, and no more.
    fn keep_open(&mut self) {
        let first = self.spares.len().saturating_sub(OPEN);
        for (at, spare) in self.spares.iter_mut().enumerate() {
            if at < first {
                spare.area = None;
            } else if spare.area.is_none() {
                // Without a descriptor now, it is tried again when the file is needed.
                spare.area = self.disk.open(&recover::segment_file_name(spare.slot)).ok();
            }
        }
    }

    /// Adds a segment.
    fn grow(&mut self) -> io::Result<()> {
        if self.bytes() + self.shape.segment_bytes + 2048 > self.limit {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let used: BTreeSet<u32> = self
            .segments
            .iter()
            .map(|s| s.slot)
            .chain(
                self.spares
                    .iter()
                    .chain(self.freed.iter().map(|f| &f.1))
                    .map(|s| s.slot),
            )
            .collect();
        let slot = (0..).find(|slot| !used.contains(slot)).unwrap_or_default();
        let area = self
            .disk
            .create(&recover::segment_file_name(slot), self.shape.segment_bytes)?;
        self.named = true;
        self.spares.push(Spare {
            slot,
            area: Some(area),
            size: self.shape.segment_bytes,
        });
        self.keep_open();
        Ok(())
    }

    /// Gives a free segment back to the file system.
    fn shrink(&mut self) -> io::Result<()> {
        if let Some(spare) = self.spares.first() {
            self.disk.remove(&recover::segment_file_name(spare.slot))?;
            self.spares.remove(0);
            self.named = true;
        }
        Ok(())
    }

    /// Appends a frame, and pays for it by cleaning.
    fn append(
        &mut self,
        kind: FrameKind,
        no: u64,
        data: &[u8],
        items: &dyn SnapshotSource,
    ) -> io::Result<(u64, u64)> {
        let len = frame::encoded_len(data.len());
        if let Some(budget) = self.occupancy().cleaning_quota(len) {
            self.credit += budget as i64;
            // What cannot be copied now can be later; whether this frame finds room is seen below.
            let moved = self.clean(items, self.credit.max(0) as u64).unwrap_or(0);
            self.credit -= moved as i64;
        }
        if let Some((sequence, at)) = self.mark {
            self.write(
                FrameKind::DurableUpTo,
                sequence,
                &at.to_le_bytes(),
                Some(items),
            )?;
            self.mark = None;
        }
        let place = self.write(kind, no, data, Some(items))?;
        self.done.requested_bytes += len;
        Ok(place)
    }

    /// Writes a frame to the newest segment, or to a new one. Without `items` it is cleaning that
    /// writes.
    fn write(
        &mut self,
        kind: FrameKind,
        no: u64,
        data: &[u8],
        items: Option<&dyn SnapshotSource>,
    ) -> io::Result<(u64, u64)> {
        let len = frame::encoded_len(data.len());
        let mut failed = None;
        for _ in 0..2 {
            if !self.fits(len) {
                // What keeps cleaning from its work need not keep this from its place.
                let _ = items.map(|items| self.make_room(items));
            }
            // Cleaning may have begun another segment.
            if !self.fits(len) {
                if let Err(e) = self.roll() {
                    // Where there is no other segment, the same place may do at another time.
                    self.segments
                        .back_mut()
                        .into_iter()
                        .for_each(|s| s.sealed = false);
                    return Err(failed.unwrap_or(e));
                }
            }
            let Some(segment) = self.segments.back_mut() else {
                break;
            };
            if segment.size.saturating_sub(segment.len) < len {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
            let mut bytes = frame::encode(segment.salt, kind, no, data);
            bytes.truncate((segment.size - segment.len) as usize);
            let area = match &segment.area {
                Some(area) => area.clone(),
                None => self.disk.open(&recover::segment_file_name(segment.slot))?,
            };
            match write_full(&*area, &bytes, segment.len) {
                Ok(()) => {
                    let at = segment.len;
                    segment.len += len;
                    self.position += len;
                    if self.synced.is_some() {
                        self.dirty.insert(segment.slot, area.clone());
                    }
                    return Ok((segment.sequence, at));
                }
                Err(e) => {
                    self.done.failed_writes += 1;
                    segment.sealed = true;
                    failed = Some(e);
                }
            }
        }
        self.segments
            .back_mut()
            .into_iter()
            .for_each(|s| s.sealed = false);
        Err(failed.unwrap_or_else(|| io::ErrorKind::StorageFull.into()))
    }

    /// Whether the segment being written has room for so many bytes more.
    fn fits(&self, len: u64) -> bool {
        self.segments
            .back()
            .is_some_and(|s| !s.sealed && s.size.saturating_sub(s.len) >= len)
    }

    /// Has a free segment beyond those that cleaning may need, if one can be had. Cleaning keeps
    /// ahead of this by its pace; where it could not, it is done now.
    fn make_room(&mut self, items: &dyn SnapshotSource) -> io::Result<()> {
        let mut left = self.segments.len();
        while self.spares.len() <= KEPT as usize && self.grow().is_err() && left > 0 {
            let before = self.spares.len();
            self.clean(items, u64::MAX)?;
            left = if self.spares.len() > before {
                left - 1
            } else {
                0
            };
        }
        Ok(())
    }

    /// Begins a new segment.
    fn roll(&mut self) -> io::Result<()> {
        if self.spares.is_empty() {
            let _ = self.grow();
        }
        let mut spare = self.spares.pop().ok_or(io::ErrorKind::StorageFull)?;
        let opened = spare.area.take().map_or_else(
            || self.disk.open(&recover::segment_file_name(spare.slot)),
            Ok,
        );
        let area = match opened {
            Ok(area) => area,
            Err(e) => {
                self.spares.push(spare);
                return Err(e);
            }
        };
        let header = SegmentHeader {
            sequence: self.next_sequence,
            salt: mix(self.seed ^ mix(self.next_sequence)),
            oldest_sequence: self.oldest,
            previous_end: self.segments.back().map_or(FRAMES_OFFSET, |s| s.len),
            next_item: self.next,
            has_durable_marks: self.synced.is_some(),
        };
        if let Err(e) = write_full(&*area, &header.bytes(), 0) {
            self.done.failed_writes += 1;
            // Another file may do better.
            self.spares.insert(0, spare);
            return Err(e);
        }
        self.next_sequence += 1;
        if self.synced.is_some() {
            self.dirty.insert(spare.slot, area.clone());
        }
        // What was written before is only read from now on.
        self.segments
            .back_mut()
            .into_iter()
            .for_each(|s| s.area = None);
        self.keep_open();
        self.segments.push_back(Segment {
            sequence: header.sequence,
            slot: spare.slot,
            area: Some(area),
            size: spare.size,
            salt: header.salt,
            len: FRAMES_OFFSET,
            sealed: false,
            homes: BTreeSet::new(),
        });
        Ok(())
    }

    fn index(&self, sequence: u64) -> Option<usize> {
        self.segments
            .binary_search_by_key(&sequence, |s| s.sequence)
            .ok()
    }

    fn homes(&mut self, sequence: u64) -> Option<&mut BTreeSet<u64>> {
        match self.index(sequence) {
            Some(at) => Some(&mut self.segments[at].homes),
            None => self
                .legacy
                .as_mut()
                .filter(|_| sequence == 0)
                .map(|l| &mut l.2),
        }
    }

    fn settle(&mut self, no: u64, home: FrameLocation, size: u64) {
        if let Some(homes) = self.homes(home.sequence) {
            homes.insert(no);
        }
        *self.sizes.entry(size).or_default() += 1;
        self.live += size;
        self.items.insert(no, Item { home, size });
    }

    fn unsettle(&mut self, no: u64) -> Option<Item> {
        let item = self.items.remove(&no)?;
        if let Some(homes) = self.homes(item.home.sequence) {
            homes.remove(&no);
        }
        self.live -= item.size;
        if let Some(count) = self.sizes.get_mut(&item.size) {
            *count -= 1;
            if *count == 0 {
                self.sizes.remove(&item.size);
            }
        }
        Some(item)
    }

    /// How far it is written.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// What has to be synced so that everything up to [`SegmentLog::position`] is.
    pub fn take_unsynced(&mut self) -> PendingSync {
        let named = std::mem::take(&mut self.named).then(|| self.disk.clone());
        let end = self.segments.back().map(|s| (s.sequence, s.len));
        PendingSync {
            areas: std::mem::take(&mut self.dirty),
            named,
            position: self.position,
            end,
        }
    }

    /// Everything up to a position is synced: files that waited for it are free.
    pub fn mark_synced(&mut self, unsynced: &PendingSync) {
        let position = unsynced.position;
        self.mark = unsynced.end;
        self.synced = self.synced.map(|s| s.max(position));
        while self.freed.front().is_some_and(|(at, _)| *at <= position) {
            if let Some((_, spare)) = self.freed.pop_front() {
                self.put_back(spare);
            }
        }
    }

    /// A sync failed: what was written to these files may be lost, whatever a later sync says. All
    /// that lives in them is written again elsewhere.
    pub fn sync_failed(&mut self, now: Duration, unsynced: PendingSync) -> Option<GateChange> {
        self.dirty.extend(unsynced.areas);
        self.named |= unsynced.named.is_some();
        self.suspect = self.segments.back().map_or(0, |s| s.sequence);
        self.segments
            .back_mut()
            .into_iter()
            .for_each(|s| s.sealed = true);
        self.door.on_write_error(now)
    }
}

/// Files that a thread may sync.
pub struct PendingSync {
    areas: BTreeMap<u32, Arc<dyn DiskFile>>,
    named: Option<Arc<dyn Disk>>,
    /// How far everything is synced after that.
    pub position: u64,
    end: Option<(u64, u64)>,
}

impl PendingSync {
    /// Syncs them; blocks.
    pub fn sync(&self) -> io::Result<()> {
        self.areas.values().try_for_each(|a| a.sync())?;
        self.named.iter().try_for_each(|d| d.sync())
    }
}

/// Where an item's data stands; it may be read on another thread.
#[derive(Clone)]
pub struct ItemReader {
    disk: Arc<dyn Disk>,
    name: String,
    area: Option<Arc<dyn DiskFile>>,
    salt: u64,
    no: u64,
    home: FrameLocation,
}

impl ItemReader {
    /// Reads the data; blocks. Fails if it stands there no more.
    pub fn read(&self) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; frame::encoded_len(self.home.data) as usize];
        let area = self
            .area
            .clone()
            .map_or_else(|| self.disk.open(&self.name), Ok)?;
        read_full(&*area, &mut bytes, self.home.at)?;
        match frame::decode(self.salt, &bytes) {
            Some(f) if f.no == self.no && f.kind == FrameKind::Put => Ok(f.data.to_vec()),
            _ => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the message's own place cannot be read",
            )),
        }
    }
}

/// What came of a put.
#[derive(Debug)]
pub struct PutOutcome {
    /// The new item's number.
    pub result: Result<u64, PutError>,
    /// Whether the gate closed or opened, which is worth a line of the log.
    pub gate_change: Option<GateChange>,
}

/// Why an item was not taken in.
#[derive(Debug, thiserror::Error)]
pub enum PutError {
    /// There is no room for it.
    #[error("{0}")]
    Full(RejectReason),
    /// No segment could hold it.
    #[error("it is longer than a segment of the store")]
    TooLong,
    /// It could not be written.
    #[error("{0}")]
    Io(#[from] io::Error),
}

fn why(e: &io::Error) -> RejectReason {
    match e.kind() {
        // The last is what a bound on the size of files gives.
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            RejectReason::FileSystemFull
        }
        _ => RejectReason::DeviceError,
    }
}

/// Spreads a number over all bits (splitmix64, Steele, Lea and Flood 2014).
fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    n ^ (n >> 31)
}
