//! What the store decides: how large segments are, what is admitted, when room is added or given
//! back, how much is cleaned for each byte written, when the door shuts and opens. No I/O and no
//! clock: sizes and times come in.

use std::fmt;
use std::time::Duration;

/// Smallest and largest file of a segment. The smallest holds two of the longest messages.
const SEGMENT: (u64, u64) = (144 * 1024, 4 * 1024 * 1024);
/// Files of segments are multiples of this.
const BLOCK: u64 = 4096;
/// Of the folder's limit, left for what is no segment.
const OTHERS: u64 = 4096;
/// Segments that a limit is cut into, and the fewest of them; below that, segments are made
/// smaller.
const PARTS: (u64, u64) = (16, 7);
/// Segments that hold nothing for certain: the one being written, and two that cleaning may need.
const SPARE: u32 = 3;
/// Of them, those that only cleaning may take.
pub const KEPT: u32 = 2;
/// Part of what segments can hold that may be live: the more, the more is copied for each byte
/// written.
const SHARE: f64 = 0.6;
/// Above this part of the live share, room is added in idle moments.
const SNUG: f64 = 0.75;
/// Cleaning begins when no more than this part of the segments is free.
const LOW: f64 = 0.33;
/// Cleaning runs ahead of what it must do by this factor.
const AHEAD: f64 = 1.25;
/// Most bytes that are copied in one go, and in one idle moment.
pub const SLICE: (u64, u64) = (256 * 1024, 64 * 1024);
/// A door that shut for want of room of our own opens at this part of it.
const REOPEN: f64 = 0.875;
/// A shut door stays shut for so long at least.
const SHUT: Duration = Duration::from_millis(100);
/// Room is asked of the file system no more often than this.
const REST: Duration = Duration::from_millis(500);
/// Segments are given back after being needless for so long, and one in each of the further times.
const NEEDLESS: (Duration, Duration) = (Duration::from_secs(60), Duration::from_secs(1));

/// How a folder is cut up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Bytes of a segment's file.
    pub segment: u64,
    /// Most segments.
    pub most: u32,
}

impl Shape {
    /// For a folder that may hold `limit` bytes, of which the file system has `room` (its own files
    /// included).
    pub fn of(limit: u64, room: u64) -> Self {
        let limit = limit.saturating_sub(OTHERS);
        let least = (limit.min(room) / PARTS.1).min(SEGMENT.0);
        let segment = (limit.min(room) / PARTS.0).clamp(least, SEGMENT.1) / BLOCK * BLOCK;
        // Where there is no room at all now, some may come.
        let segment = if segment == 0 {
            SEGMENT.0.min(limit / PARTS.1 / BLOCK * BLOCK)
        } else {
            segment
        };
        let segment = segment.max(BLOCK);
        Shape {
            segment,
            most: u32::try_from(limit / segment).unwrap_or(u32::MAX),
        }
    }
}

/// The store as it stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Bytes that a segment holds.
    pub segment: u64,
    /// Segments there are.
    pub segments: u32,
    /// Segments there may be.
    pub most: u32,
    /// Those of them that are free.
    pub free: u32,
    /// Bytes left in the one being written.
    pub rest: u64,
    /// Bytes of all items, with what each may grow by.
    pub live: u64,
    /// Bytes of the largest item.
    pub largest: u64,
}

impl View {
    /// Bytes of items that so many segments take. Of two neighbours, the second begins with what
    /// the first had no room for, so they are half full at least.
    fn holds(&self, segments: u32, largest: u64) -> u64 {
        let each = self.segment.saturating_sub(largest).max(self.segment / 2);
        u64::from(segments.saturating_sub(SPARE)) * each
    }

    /// Bytes that may be live, with an item of this size among them.
    pub fn room(&self, size: u64) -> u64 {
        (self.holds(self.segments, self.largest.max(size)) as f64 * SHARE) as u64
    }

    fn fits(&self, size: u64, part: f64) -> bool {
        (self.live + size) as f64 <= self.room(size) as f64 * part
    }

    fn is_low(&self) -> bool {
        self.free <= (f64::from(self.segments) * LOW).max(f64::from(KEPT) + 1.0) as u32
    }

    /// Bytes to copy for so many that are about to be written; nothing while there is enough that
    /// is free.
    pub fn clean(&self, written: u64) -> Option<u64> {
        let ahead = u64::from(self.free.saturating_sub(KEPT)) * self.segment + self.rest;
        let pace = AHEAD * self.live as f64 / ahead.max(1) as f64;
        self.is_low()
            .then(|| ((written as f64 * pace) as u64).min(SLICE.0))
    }

    /// Bytes to copy in an idle moment; nothing where it would gain little.
    pub fn idle(&self) -> Option<u64> {
        let used = u64::from(self.segments.saturating_sub(self.free)) * self.segment;
        let garbage = used.saturating_sub(self.rest + self.live);
        (self.is_low() && garbage > 2 * self.segment).then_some(SLICE.1)
    }

    /// Whether a segment is to be added ahead of need.
    pub fn wants_more(&self) -> bool {
        self.segments < self.most && (self.segments <= SPARE || !self.fits(0, SNUG))
    }

    /// Whether a free segment could be given back and the rest would still be ample.
    fn needless(&self) -> bool {
        let fewer = View {
            segments: self.segments.saturating_sub(self.segments.div_ceil(4)),
            ..*self
        };
        self.segments > SPARE + 2 && self.free > KEPT + 2 && fewer.fits(0, SNUG / 2.0)
    }
}

/// Why nothing is taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Why {
    /// The folder's limit.
    #[error("what is held takes the room that limits.disk_mb leaves")]
    Limit,
    /// The file system.
    #[error("the file system gives no more room")]
    Disk,
    /// The device.
    #[error("the file system fails")]
    Fault,
}

/// What is to be done about an item that wants in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// It may come in.
    Yes,
    /// Add a segment, tell [`Door::grew`], and ask again.
    Grow,
    /// It is refused.
    No(Why),
}

/// The door for what is new. What is held already needs no asking.
#[derive(Clone, Copy, Debug, Default)]
pub struct Door {
    shut: Option<(Why, Duration)>,
    /// Asked of the file system no sooner than this.
    ask_at: Duration,
    /// When the next needless segment goes.
    give_at: Option<Duration>,
}

/// A change of the door's state, worth one line of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// Shut, and why.
    Shut(Why),
    /// Open again, after so long.
    Opened(Duration),
}

impl fmt::Display for Turned {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Turned::Shut(why) => write!(f, "takes nothing on: {why}"),
            Turned::Opened(after) => {
                write!(f, "takes messages on again after {} ms", after.as_millis())
            }
        }
    }
}

impl Door {
    /// Whether an item of this size may come in at this time (counted from any start, never back).
    pub fn ask(&mut self, now: Duration, view: &View, size: u64) -> (Ask, Option<Turned>) {
        match self.shut {
            None if view.fits(size, 1.0) => (Ask::Yes, None),
            None if view.segments < view.most && now >= self.ask_at => (Ask::Grow, None),
            None if view.segments < view.most => self.close(Why::Disk, now),
            None => self.close(Why::Limit, now),
            Some((why, since)) if now < since + SHUT => (Ask::No(why), None),
            Some((_, since)) if view.fits(size, REOPEN) => {
                self.shut = None;
                (Ask::Yes, Some(Turned::Opened(now.saturating_sub(since))))
            }
            Some(_) if view.segments < view.most && now >= self.ask_at => (Ask::Grow, None),
            Some((why, _)) => (Ask::No(why), None),
        }
    }

    /// A segment was added, or could not be.
    pub fn grew(&mut self, now: Duration, failed: Option<Why>) -> Option<Turned> {
        let why = failed?;
        self.ask_at = now + REST;
        self.close(why, now).1
    }

    /// Whether room may be asked of the file system ahead of need.
    pub fn may_grow(&self, now: Duration) -> bool {
        self.shut.is_none() && now >= self.ask_at
    }

    /// It gave none, and nothing needs it yet.
    pub fn not_now(&mut self, now: Duration) {
        self.ask_at = now + REST;
    }

    /// An item that was let in could not be written.
    pub fn failed(&mut self, now: Duration) -> Option<Turned> {
        self.close(Why::Fault, now).1
    }

    /// When it makes sense to come back.
    pub fn come_back(&self) -> Duration {
        REST
    }

    /// Whether a free segment is to be given back now.
    pub fn give_back(&mut self, now: Duration, view: &View) -> bool {
        if !view.needless() {
            self.give_at = None;
            return false;
        }
        let due = now >= *self.give_at.get_or_insert(now + NEEDLESS.0);
        if due {
            self.give_at = Some(now + NEEDLESS.1);
        }
        due
    }

    fn close(&mut self, why: Why, now: Duration) -> (Ask, Option<Turned>) {
        let turned = self.shut.is_none().then_some(Turned::Shut(why));
        // Why it stays shut may change; since when it is shut for the log does not.
        let since = self.shut.map_or(now, |(_, since)| since);
        self.shut = Some((why, since));
        (Ask::No(why), turned)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KB: u64 = 1024;
    const MS: Duration = Duration::from_millis(1);

    fn view(segments: u32, free: u32, live: u64) -> View {
        View {
            segment: 190 * KB,
            segments,
            most: 15,
            free,
            rest: 0,
            live,
            largest: 2 * KB,
        }
    }

    #[test]
    fn limits_from_none_to_gigabytes_are_cut_into_segments_that_stay_under_them() {
        for (limit, room) in [
            (3_000_000, u64::MAX),
            (3_000_000, 1_000_000),
            (3_000_000, 0),
            (1_000_000, 1 << 30),
            (100_000, 1 << 30),
            (20_000, 0),
            (1 << 30, 1 << 40),
            (64 << 30, 1 << 40),
        ] {
            let shape = Shape::of(limit, room);
            assert!(
                shape.segment * u64::from(shape.most) <= limit,
                "{limit} {room}: {shape:?}"
            );
            assert!(
                shape.segment >= BLOCK && shape.segment <= SEGMENT.1,
                "{limit} {room}: {shape:?}"
            );
            assert!(
                limit < 100_000 || shape.most >= 7,
                "{limit} {room}: {shape:?}"
            );
        }
        assert!(
            Shape::of(3_000_000, u64::MAX).segment >= 2 * 66 * KB,
            "two of the longest bodies"
        );
        assert!(
            Shape::of(3_000_000, 1_100_000).segment * 7 <= 1_100_000,
            "what is there, not what is told"
        );
    }

    #[test]
    fn nothing_is_cleaned_while_much_is_free_and_all_of_it_before_the_free_is_gone() {
        assert_eq!(view(15, 9, 500 * KB).clean(1000), None);
        // Written on and on, what is live is copied before the last free segment is touched.
        let (mut v, mut copied) = (view(15, 4, 1300 * KB), 0);
        let (mut left, live) = (2 * v.segment, v.live);
        while copied < live {
            v.free = KEPT + (left / v.segment) as u32;
            v.rest = left % v.segment;
            copied += v.clean(500).expect("low");
            left = left.checked_sub(500).expect("cleaned in time");
        }
    }

    #[test]
    fn the_door_shuts_once_asks_seldom_and_opens_with_room_to_spare() {
        let (mut door, size) = (Door::default(), 1000);
        let room = view(15, 9, 0).room(size);
        assert_eq!(
            door.ask(Duration::ZERO, &view(15, 9, room - size), size),
            (Ask::Yes, None)
        );
        let shut = Some(Turned::Shut(Why::Limit));
        assert_eq!(
            door.ask(MS, &view(15, 9, room), size),
            (Ask::No(Why::Limit), shut)
        );
        assert_eq!(
            door.ask(2 * MS, &view(15, 9, room), size),
            (Ask::No(Why::Limit), None)
        );
        // A little room, or much of it too soon, is not enough.
        assert_eq!(
            door.ask(700 * MS, &view(15, 9, room - size), size).0,
            Ask::No(Why::Limit)
        );
        assert_eq!(
            door.ask(90 * MS, &view(15, 9, 0), size).0,
            Ask::No(Why::Limit)
        );
        let (ask, turned) = door.ask(701 * MS, &view(15, 9, room / 2), size);
        assert_eq!((ask, turned), (Ask::Yes, Some(Turned::Opened(700 * MS))));
    }

    #[test]
    fn a_full_file_system_is_asked_twice_a_second_and_no_more() {
        let (mut door, full) = (Door::default(), view(4, 2, 150 * KB));
        let (mut asked, mut lines) = (0, 0);
        for ms in 0..3000 {
            let (ask, turned) = door.ask(ms * MS, &full, 1000);
            lines += u32::from(turned.is_some());
            if ask == Ask::Grow {
                asked += 1;
                lines += u32::from(door.grew(ms * MS, Some(Why::Disk)).is_some());
                assert_eq!(door.ask(ms * MS, &full, 1000).0, Ask::No(Why::Disk));
            }
        }
        assert_eq!((asked, lines), (6, 1));
        assert_eq!(door.ask(3000 * MS, &full, 1000).0, Ask::Grow);
        assert_eq!(door.grew(3000 * MS, None), None);
        assert_eq!(door.ask(3000 * MS, &view(9, 5, 150 * KB), 1000).0, Ask::Yes);
    }

    #[test]
    fn needless_segments_go_one_by_one_after_a_minute() {
        let (mut door, v) = (Door::default(), view(15, 13, 10 * KB));
        assert!(!door.give_back(Duration::ZERO, &v) && !door.give_back(59_000 * MS, &v));
        assert!(door.give_back(60_000 * MS, &v) && !door.give_back(60_500 * MS, &v));
        assert!(door.give_back(61_000 * MS, &v));
        assert!(
            !door.give_back(70_000 * MS, &view(15, 4, 900 * KB)),
            "not while they are used"
        );
        assert!(!door.give_back(71_000 * MS, &v), "the minute begins again");
    }
}
