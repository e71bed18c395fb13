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
pub struct SegmentLayout {
    /// Bytes of a segment's file.
    pub segment_bytes: u64,
    /// Most segments.
    pub max_segments: u32,
}

impl SegmentLayout {
    /// For a folder that may hold `limit` bytes, of which the file system has `room` (its own files
    /// included).
    pub fn for_folder(limit: u64, room: u64) -> Self {
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
        SegmentLayout {
            segment_bytes: segment,
            max_segments: u32::try_from(limit / segment).unwrap_or(u32::MAX),
        }
    }
}

/// The store as it stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Bytes that a segment holds.
    pub segment_bytes: u64,
    /// Segments there are.
    pub segments: u32,
    /// Segments there may be.
    pub max_segments: u32,
    /// Those of them that are free.
    pub free_segments: u32,
    /// Bytes left in the one being written.
    pub tail_bytes: u64,
    /// Bytes of all items, with what each may grow by.
    pub live_bytes: u64,
    /// Bytes of the largest item.
    pub largest_item_bytes: u64,
}

impl Occupancy {
    /// Bytes of items that so many segments take. Of two neighbours, the second begins with what
    /// the first had no room for, so they are half full at least.
    fn holds(&self, segments: u32, largest: u64) -> u64 {
        let each = self
            .segment_bytes
            .saturating_sub(largest)
            .max(self.segment_bytes / 2);
        u64::from(segments.saturating_sub(SPARE)) * each
    }

    /// Bytes that may be live, with an item of this size among them.
    pub fn live_capacity(&self, size: u64) -> u64 {
        (self.holds(self.segments, self.largest_item_bytes.max(size)) as f64 * SHARE) as u64
    }

    fn fits(&self, size: u64, part: f64) -> bool {
        (self.live_bytes + size) as f64 <= self.live_capacity(size) as f64 * part
    }

    fn is_low_on_free_segments(&self) -> bool {
        self.free_segments <= (f64::from(self.segments) * LOW).max(f64::from(KEPT) + 1.0) as u32
    }

    /// Bytes to copy for so many that are about to be written; nothing while there is enough that
    /// is free.
    pub fn cleaning_quota(&self, written: u64) -> Option<u64> {
        let ahead = u64::from(self.free_segments.saturating_sub(KEPT)) * self.segment_bytes
            + self.tail_bytes;
        let pace = AHEAD * self.live_bytes as f64 / ahead.max(1) as f64;
        self.is_low_on_free_segments()
            .then(|| ((written as f64 * pace) as u64).min(SLICE.0))
    }

    /// Bytes to copy in an idle moment; nothing where it would gain little.
    pub fn idle_cleaning_quota(&self) -> Option<u64> {
        let used = u64::from(self.segments.saturating_sub(self.free_segments)) * self.segment_bytes;
        let garbage = used.saturating_sub(self.tail_bytes + self.live_bytes);
        (self.is_low_on_free_segments() && garbage > 2 * self.segment_bytes).then_some(SLICE.1)
    }

    /// Whether a segment is to be added ahead of need.
    pub fn wants_segment(&self) -> bool {
        self.segments < self.max_segments && (self.segments <= SPARE || !self.fits(0, SNUG))
    }

    /// Whether a free segment could be given back and the rest would still be ample.
    fn has_surplus_segment(&self) -> bool {
        let fewer = Occupancy {
            segments: self.segments.saturating_sub(self.segments.div_ceil(4)),
            ..*self
        };
        self.segments > SPARE + 2 && self.free_segments > KEPT + 2 && fewer.fits(0, SNUG / 2.0)
    }
}

/// Why nothing is taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// The folder's limit.
    #[error("what is held takes the room that limits.disk_mb leaves")]
    FolderLimit,
    /// The file system.
    #[error("the file system gives no more room")]
    FileSystemFull,
    /// The device.
    #[error("the file system fails")]
    DeviceError,
}

/// What is to be done about an item that wants in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityDecision {
    /// It may come in.
    Admit,
    /// Add a segment, tell [`CapacityGate::on_growth`], and ask again.
    AddSegment,
    /// It is refused.
    Reject(RejectReason),
}

/// The door for what is new. What is held already needs no asking.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityGate {
    shut: Option<(RejectReason, Duration)>,
    /// Asked of the file system no sooner than this.
    ask_at: Duration,
    /// When the next needless segment goes.
    give_at: Option<Duration>,
}

/// A change of the door's state, worth one line of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateChange {
    /// Shut, and why.
    Closed(RejectReason),
    /// Open again, after so long.
    Reopened(Duration),
}

impl fmt::Display for GateChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GateChange::Closed(why) => write!(f, "takes nothing on: {why}"),
            GateChange::Reopened(after) => {
                write!(f, "takes messages on again after {} ms", after.as_millis())
            }
        }
    }
}

impl CapacityGate {
    /// Whether an item of this size may come in at this time (counted from any start, never back).
    pub fn request(
        &mut self,
        now: Duration,
        view: &Occupancy,
        size: u64,
    ) -> (CapacityDecision, Option<GateChange>) {
        match self.shut {
            None if view.fits(size, 1.0) => (CapacityDecision::Admit, None),
            None if view.segments < view.max_segments && now >= self.ask_at => {
                (CapacityDecision::AddSegment, None)
            }
            None if view.segments < view.max_segments => {
                self.close(RejectReason::FileSystemFull, now)
            }
            None => self.close(RejectReason::FolderLimit, now),
            Some((why, since)) if now < since + SHUT => (CapacityDecision::Reject(why), None),
            Some((_, since)) if view.fits(size, REOPEN) => {
                self.shut = None;
                (
                    CapacityDecision::Admit,
                    Some(GateChange::Reopened(now.saturating_sub(since))),
                )
            }
            Some(_) if view.segments < view.max_segments && now >= self.ask_at => {
                (CapacityDecision::AddSegment, None)
            }
            Some((why, _)) => (CapacityDecision::Reject(why), None),
        }
    }

    /// A segment was added, or could not be.
    pub fn on_growth(&mut self, now: Duration, failed: Option<RejectReason>) -> Option<GateChange> {
        let why = failed?;
        self.ask_at = now + REST;
        self.close(why, now).1
    }

    /// Whether room may be asked of the file system ahead of need.
    pub fn may_grow(&self, now: Duration) -> bool {
        self.shut.is_none() && now >= self.ask_at
    }

    /// It gave none, and nothing needs it yet.
    pub fn defer_growth(&mut self, now: Duration) {
        self.ask_at = now + REST;
    }

    /// An item that was let in could not be written.
    pub fn on_write_error(&mut self, now: Duration) -> Option<GateChange> {
        self.close(RejectReason::DeviceError, now).1
    }

    /// When it makes sense to come back.
    pub fn retry_after(&self) -> Duration {
        REST
    }

    /// Whether a free segment is to be given back now.
    pub fn should_release_segment(&mut self, now: Duration, view: &Occupancy) -> bool {
        if !view.has_surplus_segment() {
            self.give_at = None;
            return false;
        }
        let due = now >= *self.give_at.get_or_insert(now + NEEDLESS.0);
        if due {
            self.give_at = Some(now + NEEDLESS.1);
        }
        due
    }

    fn close(
        &mut self,
        why: RejectReason,
        now: Duration,
    ) -> (CapacityDecision, Option<GateChange>) {
        let turned = self.shut.is_none().then_some(GateChange::Closed(why));
        // Why it stays shut may change; since when it is shut for the log does not.
        let since = self.shut.map_or(now, |(_, since)| since);
        self.shut = Some((why, since));
        (CapacityDecision::Reject(why), turned)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KB: u64 = 1024;
    const MS: Duration = Duration::from_millis(1);

    fn view(segments: u32, free: u32, live: u64) -> Occupancy {
        Occupancy {
            segment_bytes: 190 * KB,
            segments,
            max_segments: 15,
            free_segments: free,
            tail_bytes: 0,
            live_bytes: live,
            largest_item_bytes: 2 * KB,
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
            let shape = SegmentLayout::for_folder(limit, room);
            assert!(
                shape.segment_bytes * u64::from(shape.max_segments) <= limit,
                "{limit} {room}: {shape:?}"
            );
            assert!(
                shape.segment_bytes >= BLOCK && shape.segment_bytes <= SEGMENT.1,
                "{limit} {room}: {shape:?}"
            );
            assert!(
                limit < 100_000 || shape.max_segments >= 7,
                "{limit} {room}: {shape:?}"
            );
        }
        assert!(
            SegmentLayout::for_folder(3_000_000, u64::MAX).segment_bytes >= 2 * 66 * KB,
            "two of the longest bodies"
        );
        assert!(
            SegmentLayout::for_folder(3_000_000, 1_100_000).segment_bytes * 7 <= 1_100_000,
            "what is there, not what is told"
        );
    }

    #[test]
    fn nothing_is_cleaned_while_much_is_free_and_all_of_it_before_the_free_is_gone() {
        assert_eq!(view(15, 9, 500 * KB).cleaning_quota(1000), None);
        // Written on and on, what is live is copied before the last free segment is touched.
        let (mut v, mut copied) = (view(15, 4, 1300 * KB), 0);
        let (mut left, live) = (2 * v.segment_bytes, v.live_bytes);
        while copied < live {
            v.free_segments = KEPT + (left / v.segment_bytes) as u32;
            v.tail_bytes = left % v.segment_bytes;
            copied += v.cleaning_quota(500).expect("low");
            left = left.checked_sub(500).expect("cleaned in time");
        }
    }

    #[test]
    fn the_door_shuts_once_asks_seldom_and_opens_with_room_to_spare() {
        let (mut door, size) = (CapacityGate::default(), 1000);
        let room = view(15, 9, 0).live_capacity(size);
        assert_eq!(
            door.request(Duration::ZERO, &view(15, 9, room - size), size),
            (CapacityDecision::Admit, None)
        );
        let shut = Some(GateChange::Closed(RejectReason::FolderLimit));
        assert_eq!(
            door.request(MS, &view(15, 9, room), size),
            (CapacityDecision::Reject(RejectReason::FolderLimit), shut)
        );
        assert_eq!(
            door.request(2 * MS, &view(15, 9, room), size),
            (CapacityDecision::Reject(RejectReason::FolderLimit), None)
        );
        // A little room, or much of it too soon, is not enough.
        assert_eq!(
            door.request(700 * MS, &view(15, 9, room - size), size).0,
            CapacityDecision::Reject(RejectReason::FolderLimit)
        );
        assert_eq!(
            door.request(90 * MS, &view(15, 9, 0), size).0,
            CapacityDecision::Reject(RejectReason::FolderLimit)
        );
        let (ask, turned) = door.request(701 * MS, &view(15, 9, room / 2), size);
        assert_eq!(
            (ask, turned),
            (
                CapacityDecision::Admit,
                Some(GateChange::Reopened(700 * MS))
            )
        );
    }

    #[test]
    fn a_full_file_system_is_asked_twice_a_second_and_no_more() {
        let (mut door, full) = (CapacityGate::default(), view(4, 2, 150 * KB));
        let (mut asked, mut lines) = (0, 0);
        for ms in 0..3000 {
            let (ask, turned) = door.request(ms * MS, &full, 1000);
            lines += u32::from(turned.is_some());
            if ask == CapacityDecision::AddSegment {
                asked += 1;
                lines += u32::from(
                    door.on_growth(ms * MS, Some(RejectReason::FileSystemFull))
                        .is_some(),
                );
                assert_eq!(
                    door.request(ms * MS, &full, 1000).0,
                    CapacityDecision::Reject(RejectReason::FileSystemFull)
                );
            }
        }
        assert_eq!((asked, lines), (6, 1));
        assert_eq!(
            door.request(3000 * MS, &full, 1000).0,
            CapacityDecision::AddSegment
        );
        assert_eq!(door.on_growth(3000 * MS, None), None);
        assert_eq!(
            door.request(3000 * MS, &view(9, 5, 150 * KB), 1000).0,
            CapacityDecision::Admit
        );
    }

    #[test]
    fn needless_segments_go_one_by_one_after_a_minute() {
        let (mut door, v) = (CapacityGate::default(), view(15, 13, 10 * KB));
        assert!(
            !door.should_release_segment(Duration::ZERO, &v)
                && !door.should_release_segment(59_000 * MS, &v)
        );
        assert!(
            door.should_release_segment(60_000 * MS, &v)
                && !door.should_release_segment(60_500 * MS, &v)
        );
        assert!(door.should_release_segment(61_000 * MS, &v));
        assert!(
            !door.should_release_segment(70_000 * MS, &view(15, 4, 900 * KB)),
            "not while they are used"
        );
        assert!(
            !door.should_release_segment(71_000 * MS, &v),
            "the minute begins again"
        );
    }
}
