//! The log: segments in a ring, appended to at one end and cleaned at the other. Sole owner of the
//! segments' files.
//!
//! What it decides stands in [`super::plan`], what it finds after a restart in [`super::recover`].

use super::disk::{read_full, write_full, Area, Disk};
use super::frame::{self, Header, Tag, BEGIN};
use super::plan::{Ask, Door, Shape, Turned, View, Why, KEPT};
use super::recover::{self, Damage, Home, Replay};
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
pub const DESCRIPTORS: usize = OPEN + 3;

/// Gives items as they stand, for cleaning.
pub trait Items {
    /// The data of an item's next `Put`. `old` reads that of the last one.
    fn snapshot(
        &self,
        no: u64,
        old: &mut dyn FnMut() -> io::Result<Vec<u8>>,
    ) -> io::Result<Vec<u8>>;
}

/// A file that an earlier form left: it counts as the oldest segment until what is open in it was
/// copied.
pub struct Legacy {
    /// Its name.
    pub name: String,
    /// Its size in bytes.
    pub size: u64,
    /// What is open in it.
    pub items: Vec<u64>,
}

struct Segment {
    seq: u64,
    slot: u32,
    /// Open while it is written; others are opened when they are read.
    area: Option<Arc<dyn Area>>,
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
    area: Option<Arc<dyn Area>>,
    size: u64,
}

struct Item {
    home: Home,
    size: u64,
}

/// What a log has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Done {
    /// Bytes of frames that were asked for.
    pub asked: u64,
    /// Bytes of frames that cleaning wrote.
    pub cleaned: u64,
    /// Segments that were cleaned.
    pub retired: u64,
    /// Writes that failed.
    pub failed: u64,
}

/// The log.
pub struct Log {
    disk: Arc<dyn Disk>,
    limit: u64,
    shape: Shape,
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
    next_seq: u64,
    oldest: u64,
    door: Door,
    /// Bytes appended in all; what is synced is counted in the same way. Nothing, where nobody
    /// syncs.
    position: u64,
    synced: Option<u64>,
    /// Where the last copy ended that cleaning made.
    carried: u64,
    /// How far everything is synced, as segment and offset, while no mark says so.
    mark: Option<(u64, u64)>,
    dirty: BTreeMap<u32, Arc<dyn Area>>,
    /// Names were made or removed since the last sync.
    named: bool,
    /// Bytes of cleaning that were paid for and not done; less than none, where the last item was
    /// larger.
    credit: i64,
    /// Segments up to this one may have lost what was written: a sync failed.
    suspect: u64,
    done: Done,
}

/// What was found at the start.
pub struct Opened {
    /// The log.
    pub log: Log,
    /// What could not be read.
    pub damage: Vec<Damage>,
    /// Bytes at the end that hold part of a frame.
    pub torn: u64,
    /// Bytes read.
    pub read: u64,
}

/// How a log is to be.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes that the folder may hold.
    pub limit: u64,
    /// For salts; a client must not be able to know it.
    pub seed: u64,
    /// Files are used again only after a sync.
    pub synced: bool,
}

impl Log {
    /// Opens the log of a folder and replays it. `size` tells what an item that was replayed counts
    /// for.
    pub fn open<R: Replay>(
        disk: Arc<dyn Disk>,
        options: Options,
        legacy: Option<Legacy>,
        replay: &mut R,
        size: impl Fn(&R, u64) -> u64,
    ) -> io::Result<Opened> {
        let first = u64::from(legacy.is_none());
        let mut scan = recover::scan(&*disk, first, replay)?;
        let taken: u64 = scan
            .found
            .iter()
            .map(|f| f.size)
            .chain(scan.free.iter().map(|f| f.1))
            .sum();
        let room = disk.free().unwrap_or(0).saturating_add(taken);
        let mut log = Log {
            shape: Shape::of(options.limit, room),
            limit: options.limit,
            seed: options.seed,
            segments: VecDeque::new(),
            spares: Vec::new(),
            freed: VecDeque::new(),
            legacy: None,
            items: BTreeMap::new(),
            sizes: BTreeMap::new(),
            live: 0,
            next: scan.next,
            next_seq: scan.found.last().map_or(1, |f| f.header.seq + 1),
            oldest: scan.oldest,
            door: Door::default(),
            position: 0,
            synced: options.synced.then_some(0),
            carried: 0,
            mark: None,
            dirty: BTreeMap::new(),
            named: false,
            credit: 0,
            suspect: 0,
            done: Done::default(),
            disk,
        };
        for f in scan.found.drain(..) {
            log.segments.push_back(Segment {
                seq: f.header.seq,
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
            newest.area = Some(log.disk.open(&recover::name(newest.slot))?);
        }
        for (slot, size) in scan.free.drain(..) {
            log.put_back(Spare {
                slot,
                area: None,
                size,
            });
        }
        for (no, home) in scan.homes {
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
            over.into_iter().for_each(|no| replay.gone(no));
            for no in &left {
                log.settle(
                    *no,
                    Home {
                        seq: 0,
                        at: 0,
                        data: 0,
                    },
                    size(replay, *no),
                );
            }
            log.legacy = Some((legacy.name, legacy.size, left));
        }
        Ok(Opened {
            log,
            damage: scan.damage,
            torn: scan.torn,
            read: scan.read,
        })
    }

    /// The store as it stands.
    pub fn view(&self) -> View {
        let usable = self.shape.segment - BEGIN.min(self.shape.segment);
        let counted = |bytes: u64| (bytes / self.shape.segment) as u32;
        let spare = self.spares.iter().map(|s| s.size).sum();
        let segments = counted(self.bytes() - self.legacy.as_ref().map_or(0, |l| l.1));
        View {
            segment: usable,
            segments,
            most: segments + counted(self.limit.saturating_sub(self.bytes() + 2048)),
            free: counted(spare),
            rest: self
                .segments
                .back()
                .map_or(0, |s| s.size.saturating_sub(s.len)),
            live: self.live,
            largest: self.sizes.last_key_value().map_or(0, |(size, _)| *size),
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
    pub fn done(&self) -> Done {
        self.done
    }

    /// The door.
    pub fn door(&self) -> &Door {
        &self.door
    }

    /// Writes a new item, which may grow up to `size`, if there is room for it and all that is
    /// held. What changes at the door is told in either case.
    pub fn put(
        &mut self,
        now: Duration,
        data: &[u8],
        size: u64,
        items: &dyn Items,
    ) -> (Result<u64, Refused>, Option<Turned>) {
        if data.len() > frame::most(self.shape.segment) {
            return (Err(Refused::TooLong), None);
        }
        let (admitted, mut turned) = self.admit(now, size);
        if let Err(why) = admitted {
            return (Err(Refused::Full(why)), turned);
        }
        let no = self.next;
        match self.append(Tag::Put, no, data, items) {
            Ok((seq, at)) => {
                self.next += 1;
                self.settle(
                    no,
                    Home {
                        seq,
                        at,
                        data: data.len(),
                    },
                    size,
                );
                (Ok(no), turned)
            }
            Err(e) => {
                turned = turned.or(self.door.failed(now));
                (Err(Refused::Io(e)), turned)
            }
        }
    }

    fn admit(&mut self, now: Duration, size: u64) -> (Result<(), Why>, Option<Turned>) {
        let mut turned = None;
        loop {
            let (ask, change) = self.door.ask(now, &self.view(), size);
            turned = turned.or(change);
            match ask {
                Ask::Yes => return (Ok(()), turned),
                Ask::No(why) => return (Err(why), turned),
                Ask::Grow => {
                    let failed = self.grow().err().map(|e| why(&e));
                    turned = turned.or(self.door.grew(now, failed));
                }
            }
        }
    }

    /// Writes what happened to an item.
    pub fn note(&mut self, no: u64, data: &[u8], items: &dyn Items) -> io::Result<()> {
        self.append(Tag::Note, no, data, items).map(drop)
    }

    /// Writes that an item is over. Until that has worked, it is not.
    pub fn gone(&mut self, no: u64, items: &dyn Items) -> io::Result<()> {
        if self.items.contains_key(&no) {
            self.append(Tag::Gone, no, &[], items)?;
            self.unsettle(no);
        }
        Ok(())
    }

    /// An item counts for so much from now on.
    pub fn resize(&mut self, no: u64, size: u64) {
        if let Some(item) = self.unsettle(no) {
            self.settle(no, item.home, size);
        }
    }

    /// Where an item's data stands.
    pub fn place(&self, no: u64) -> Option<Place> {
        let home = self.items.get(&no)?.home;
        let segment = &self.segments[self.index(home.seq)?];
        let (disk, name) = (self.disk.clone(), recover::name(segment.slot));
        Some(Place {
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
    pub fn tend(&mut self, now: Duration, items: &dyn Items) -> io::Result<bool> {
        let view = self.view();
        if view.wants_more() && self.door.may_grow(now) {
            if let Err(e) = self.grow() {
                self.door.not_now(now);
                log::debug!("store: no further segment: {e}");
            }
        } else if self.door.give_back(now, &view) {
            self.shrink()?;
        }
        let suspect = self.segments.front().is_some_and(|s| s.seq <= self.suspect);
        let rest = (suspect || self.legacy.is_some()).then_some(super::plan::SLICE.1);
        match view.idle().or(rest) {
            Some(budget) => self.clean(items, budget).map(|_| true),
            None => Ok(false),
        }
    }

    /// Copies up to about so many bytes of what lives in the oldest segments, and ends those in
    /// which nothing does.
    pub fn clean(&mut self, items: &dyn Items, budget: u64) -> io::Result<u64> {
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
    fn carry(&mut self, no: u64, items: &dyn Items) -> io::Result<u64> {
        let place = self.place(no);
        let mut old = || match &place {
            Some(place) => place.read(),
            None => Err(io::ErrorKind::NotFound.into()),
        };
        let data = items.snapshot(no, &mut old)?;
        let (seq, at) = self.write(Tag::Put, no, &data, None)?;
        let size = self.unsettle(no).map_or(0, |item| item.size);
        self.settle(
            no,
            Home {
                seq,
                at,
                data: data.len(),
            },
            size,
        );
        let len = frame::size(data.len());
        self.done.cleaned += len;
        self.carried = self.position;
        Ok(len)
    }

    /// Ends the oldest segment, in which nothing lives.
    fn retire(&mut self) -> io::Result<()> {
        let head = match (&self.legacy, self.segments.get(1)) {
            (Some(_), _) => 1,
            (None, Some(next)) => next.seq,
            (None, None) => return Ok(()),
        };
        self.write(Tag::Head, head, &[], None)?;
        self.oldest = head;
        self.done.retired += 1;
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
        if size == self.shape.segment || (size >= self.shape.segment / 2 && self.grow().is_err()) {
            return;
        }
        match self.disk.remove(&recover::name(slot)) {
            Ok(()) => {
                self.spares.retain(|s| s.slot != slot);
                self.dirty.remove(&slot);
                self.named = true;
            }
            Err(e) => log::warn!("store: {}: not removed: {e}", recover::name(slot)),
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
                spare.area = self.disk.open(&recover::name(spare.slot)).ok();
            }
        }
    }

    /// Adds a segment.
    fn grow(&mut self) -> io::Result<()> {
        if self.bytes() + self.shape.segment + 2048 > self.limit {
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
        let area = self.disk.create(&recover::name(slot), self.shape.segment)?;
        self.named = true;
        self.spares.push(Spare {
            slot,
            area: Some(area),
            size: self.shape.segment,
        });
        self.keep_open();
        Ok(())
    }

    /// Gives a free segment back to the file system.
    fn shrink(&mut self) -> io::Result<()> {
        if let Some(spare) = self.spares.first() {
            self.disk.remove(&recover::name(spare.slot))?;
            self.spares.remove(0);
            self.named = true;
        }
        Ok(())
    }

    /// Appends a frame, and pays for it by cleaning.
    fn append(
        &mut self,
        tag: Tag,
        no: u64,
        data: &[u8],
        items: &dyn Items,
    ) -> io::Result<(u64, u64)> {
        let len = frame::size(data.len());
        if let Some(budget) = self.view().clean(len) {
            self.credit += budget as i64;
            // What cannot be copied now can be later; whether this frame finds room is seen below.
            let moved = self.clean(items, self.credit.max(0) as u64).unwrap_or(0);
            self.credit -= moved as i64;
        }
        if let Some((seq, at)) = self.mark {
            self.write(Tag::Mark, seq, &at.to_le_bytes(), Some(items))?;
            self.mark = None;
        }
        let place = self.write(tag, no, data, Some(items))?;
        self.done.asked += len;
        Ok(place)
    }

    /// Writes a frame to the newest segment, or to a new one. Without `items` it is cleaning that
    /// writes.
    fn write(
        &mut self,
        tag: Tag,
        no: u64,
        data: &[u8],
        items: Option<&dyn Items>,
    ) -> io::Result<(u64, u64)> {
        let len = frame::size(data.len());
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
            let mut bytes = frame::bytes(segment.salt, tag, no, data);
            bytes.truncate((segment.size - segment.len) as usize);
            let area = match &segment.area {
                Some(area) => area.clone(),
                None => self.disk.open(&recover::name(segment.slot))?,
            };
            match write_full(&*area, &bytes, segment.len) {
                Ok(()) => {
                    let at = segment.len;
                    segment.len += len;
                    self.position += len;
                    if self.synced.is_some() {
                        self.dirty.insert(segment.slot, area.clone());
                    }
                    return Ok((segment.seq, at));
                }
                Err(e) => {
                    self.done.failed += 1;
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
    fn make_room(&mut self, items: &dyn Items) -> io::Result<()> {
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
        let opened = spare
            .area
            .take()
            .map_or_else(|| self.disk.open(&recover::name(spare.slot)), Ok);
        let area = match opened {
            Ok(area) => area,
            Err(e) => {
                self.spares.push(spare);
                return Err(e);
            }
        };
        let header = Header {
            seq: self.next_seq,
            salt: mix(self.seed ^ mix(self.next_seq)),
            oldest: self.oldest,
            before: self.segments.back().map_or(BEGIN, |s| s.len),
            next: self.next,
            marked: self.synced.is_some(),
        };
        if let Err(e) = write_full(&*area, &header.bytes(), 0) {
            self.done.failed += 1;
            // Another file may do better.
            self.spares.insert(0, spare);
            return Err(e);
        }
        self.next_seq += 1;
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
            seq: header.seq,
            slot: spare.slot,
            area: Some(area),
            size: spare.size,
            salt: header.salt,
            len: BEGIN,
            sealed: false,
            homes: BTreeSet::new(),
        });
        Ok(())
    }

    fn index(&self, seq: u64) -> Option<usize> {
        self.segments.binary_search_by_key(&seq, |s| s.seq).ok()
    }

    fn homes(&mut self, seq: u64) -> Option<&mut BTreeSet<u64>> {
        match self.index(seq) {
            Some(at) => Some(&mut self.segments[at].homes),
            None => self.legacy.as_mut().filter(|_| seq == 0).map(|l| &mut l.2),
        }
    }

    fn settle(&mut self, no: u64, home: Home, size: u64) {
        if let Some(homes) = self.homes(home.seq) {
            homes.insert(no);
        }
        *self.sizes.entry(size).or_default() += 1;
        self.live += size;
        self.items.insert(no, Item { home, size });
    }

    fn unsettle(&mut self, no: u64) -> Option<Item> {
        let item = self.items.remove(&no)?;
        if let Some(homes) = self.homes(item.home.seq) {
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

    /// What has to be synced so that everything up to [`Log::position`] is.
    pub fn unsynced(&mut self) -> Unsynced {
        let named = std::mem::take(&mut self.named).then(|| self.disk.clone());
        let end = self.segments.back().map(|s| (s.seq, s.len));
        Unsynced {
            areas: std::mem::take(&mut self.dirty),
            named,
            position: self.position,
            end,
        }
    }

    /// Everything up to a position is synced: files that waited for it are free.
    pub fn is_synced(&mut self, unsynced: &Unsynced) {
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
    pub fn sync_failed(&mut self, now: Duration, unsynced: Unsynced) -> Option<Turned> {
        self.dirty.extend(unsynced.areas);
        self.named |= unsynced.named.is_some();
        self.suspect = self.segments.back().map_or(0, |s| s.seq);
        self.segments
            .back_mut()
            .into_iter()
            .for_each(|s| s.sealed = true);
        self.door.failed(now)
    }
}

/// Files that a thread may sync.
pub struct Unsynced {
    areas: BTreeMap<u32, Arc<dyn Area>>,
    named: Option<Arc<dyn Disk>>,
    /// How far everything is synced after that.
    pub position: u64,
    end: Option<(u64, u64)>,
}

impl Unsynced {
    /// Syncs them; blocks.
    pub fn sync(&self) -> io::Result<()> {
        self.areas.values().try_for_each(|a| a.sync())?;
        self.named.iter().try_for_each(|d| d.sync())
    }
}

/// Where an item's data stands; it may be read on another thread.
#[derive(Clone)]
pub struct Place {
    disk: Arc<dyn Disk>,
    name: String,
    area: Option<Arc<dyn Area>>,
    salt: u64,
    no: u64,
    home: Home,
}

impl Place {
    /// Reads the data; blocks. Fails if it stands there no more.
    pub fn read(&self) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; frame::size(self.home.data) as usize];
        let area = self
            .area
            .clone()
            .map_or_else(|| self.disk.open(&self.name), Ok)?;
        read_full(&*area, &mut bytes, self.home.at)?;
        match frame::read(self.salt, &bytes) {
            Some(f) if f.no == self.no && f.tag == Tag::Put => Ok(f.data.to_vec()),
            _ => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the message's own place cannot be read",
            )),
        }
    }
}

/// Why an item was not taken in.
#[derive(Debug, thiserror::Error)]
pub enum Refused {
    /// There is no room for it.
    #[error("{0}")]
    Full(Why),
    /// No segment could hold it.
    #[error("it is longer than a segment of the store")]
    TooLong,
    /// It could not be written.
    #[error("{0}")]
    Io(#[from] io::Error),
}

fn why(e: &io::Error) -> Why {
    match e.kind() {
        // The last is what a bound on the size of files gives.
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            Why::Disk
        }
        _ => Why::Fault,
    }
}

/// Spreads a number over all bits (splitmix64, Steele, Lea and Flood 2014).
fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    n ^ (n >> 31)
}
