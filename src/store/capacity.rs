//! What the store decides about room: how large segments are, what is admitted, when a segment is
//! added or given back, and how much is cleaned.
//!
//! No I/O and no clock: sizes and times come in. [`super::log`] calls it, and so does the
//! simulator.

use std::fmt;
use std::time::Duration;

/// Smallest file of a segment, where the limit allows it: it holds two of the longest messages.
const MIN_SEGMENT_BYTES: u64 = 144 * 1024;
/// Largest file of a segment: what a recovery reads at once.
const MAX_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Files of segments are multiples of this many bytes, a file system's block.
const SEGMENT_GRANULARITY: u64 = 4096;
/// Bytes of the folder's limit that are left for what is no segment.
const OTHER_FILES_BYTES: u64 = 4096;
/// Segments that a limit is cut into.
const SEGMENTS_AIMED_AT: u64 = 16;
/// The fewest of them; below that, segments are made smaller.
const MIN_SEGMENTS: u64 = 7;
/// Segments that hold nothing for certain: the one being written, and the cleaner's reserve.
const RESERVED_SEGMENTS: u32 = 3;
/// Free segments that only the cleaner may take: it copies into one while it empties another.
pub const CLEANER_RESERVE: u32 = 2;
/// Part of what segments can hold that may be live: the more, the more is copied for each byte
/// written.
const MAX_LIVE_FRACTION: f64 = 0.6;
/// Above this part of what may be live, a segment is added in idle moments.
const GROW_AHEAD_FRACTION: f64 = 0.75;
/// Cleaning begins when no more than this part of the segments is free.
const LOW_FREE_FRACTION: f64 = 0.33;
/// Cleaning runs ahead of what it must do by this factor.
const CLEANING_LEAD: f64 = 1.25;
/// Most bytes that are copied for one frame, which bounds its pause.
const MAX_CLEANING_BYTES: u64 = 256 * 1024;
/// Bytes that are copied in one idle moment.
pub const IDLE_CLEANING_BYTES: u64 = 64 * 1024;
/// A gate that closed for want of the folder's own room reopens at this part of it, so that it does
/// not flutter.
const REOPEN_FRACTION: f64 = 0.875;
/// A closed gate stays closed for so long at least.
const MIN_CLOSED_TIME: Duration = Duration::from_millis(100);
/// The file system is asked for room no more often than this.
const GROWTH_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The first surplus segment is given back after there was one for so long.
const SURPLUS_GRACE: Duration = Duration::from_secs(60);
/// Time between further ones.
const SURPLUS_RELEASE_INTERVAL: Duration = Duration::from_secs(1);

/// How a folder is cut into segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentLayout {
    /// Bytes of a segment's file.
    pub segment_bytes: u64,
    /// Most segments.
    pub max_segments: u32,
}

impl SegmentLayout {
    /// For a folder that may hold `limit_bytes`, of which the file system has `available_bytes`
    /// (the folder's own files included).
    pub fn for_folder(limit_bytes: u64, available_bytes: u64) -> Self {
        let limit = limit_bytes.saturating_sub(OTHER_FILES_BYTES);
        let usable = limit.min(available_bytes);
        let least = (usable / MIN_SEGMENTS).min(MIN_SEGMENT_BYTES);
        let mut segment_bytes =
            round_down((usable / SEGMENTS_AIMED_AT).clamp(least, MAX_SEGMENT_BYTES));
        if segment_bytes == 0 {
            // There is no room at all now, but some may come.
            segment_bytes = MIN_SEGMENT_BYTES.min(round_down(limit / MIN_SEGMENTS));
        }
        let segment_bytes = segment_bytes.max(SEGMENT_GRANULARITY);
        SegmentLayout {
            segment_bytes,
            max_segments: u32::try_from(limit / segment_bytes).unwrap_or(u32::MAX),
        }
    }
}

fn round_down(bytes: u64) -> u64 {
    bytes / SEGMENT_GRANULARITY * SEGMENT_GRANULARITY
}

/// How full the store is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Bytes that a segment holds.
    pub segment_bytes: u64,
    /// Segments there are.
    pub segments: u32,
    /// Segments there may be.
    pub max_segments: u32,
    /// Those that are free.
    pub free_segments: u32,
    /// Bytes left in the one being written.
    pub tail_bytes: u64,
    /// Bytes of all items, with what each may grow by.
    pub live_bytes: u64,
    /// Bytes of the largest item.
    pub largest_item_bytes: u64,
}

impl Occupancy {
    /// Bytes of items that so many segments take for certain. Of two neighbours, the second begins
    /// with what the first had no room for, so they are half full at least.
    fn guaranteed_bytes(&self, segments: u32, largest_item_bytes: u64) -> u64 {
        let half = self.segment_bytes / 2;
        let each = self.segment_bytes.saturating_sub(largest_item_bytes);
        u64::from(segments.saturating_sub(RESERVED_SEGMENTS)) * each.max(half)
    }

    /// Bytes that may be live, with an item of this size among them.
    pub fn live_capacity(&self, item_bytes: u64) -> u64 {
        let largest = self.largest_item_bytes.max(item_bytes);
        (self.guaranteed_bytes(self.segments, largest) as f64 * MAX_LIVE_FRACTION) as u64
    }

    fn fits(&self, item_bytes: u64, fraction: f64) -> bool {
        let capacity = self.live_capacity(item_bytes) as f64;
        (self.live_bytes + item_bytes) as f64 <= capacity * fraction
    }

    fn is_low_on_free_segments(&self) -> bool {
        let low = f64::from(self.segments) * LOW_FREE_FRACTION;
        self.free_segments <= low.max(f64::from(CLEANER_RESERVE) + 1.0) as u32
    }

    /// Bytes to copy for so many that are about to be written; none while enough is free.
    pub fn cleaning_quota(&self, written_bytes: u64) -> Option<u64> {
        if !self.is_low_on_free_segments() {
            return None;
        }
        let free_segments = self.free_segments.saturating_sub(CLEANER_RESERVE);
        let free_bytes = u64::from(free_segments) * self.segment_bytes + self.tail_bytes;
        let pace = CLEANING_LEAD * self.live_bytes as f64 / free_bytes.max(1) as f64;
        Some(((written_bytes as f64 * pace) as u64).min(MAX_CLEANING_BYTES))
    }

    /// Bytes to copy in an idle moment; none where it would gain little.
    pub fn idle_cleaning_quota(&self) -> Option<u64> {
        let used_segments = self.segments.saturating_sub(self.free_segments);
        let used = u64::from(used_segments) * self.segment_bytes;
        let garbage = used.saturating_sub(self.tail_bytes + self.live_bytes);
        let is_worthwhile = garbage > 2 * self.segment_bytes;
        (self.is_low_on_free_segments() && is_worthwhile).then_some(IDLE_CLEANING_BYTES)
    }

    /// Whether a segment is to be added ahead of need.
    pub fn wants_segment(&self) -> bool {
        let is_needed = self.segments <= RESERVED_SEGMENTS || !self.fits(0, GROW_AHEAD_FRACTION);
        self.segments < self.max_segments && is_needed
    }

    /// Whether a free segment could be given back and the rest would still be ample.
    fn has_surplus_segment(&self) -> bool {
        let three_quarters = Occupancy {
            segments: self.segments.saturating_sub(self.segments.div_ceil(4)),
            ..*self
        };
        self.segments > RESERVED_SEGMENTS + 2
            && self.free_segments > CLEANER_RESERVE + 2
            && three_quarters.fits(0, GROW_AHEAD_FRACTION / 2.0)
    }
}

/// Why no new item is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// The folder's limit.
    #[error("what is held takes the room that limits.disk_mb leaves")]
    FolderLimit,
    /// The file system is full.
    #[error("the file system gives no more room")]
    FileSystemFull,
    /// The device fails.
    #[error("the file system fails")]
    DeviceError,
}

/// What is to be done about a new item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityDecision {
    /// It may be written.
    Admit,
    /// Add a segment, tell [`CapacityGate::on_growth`], and request again.
    AddSegment,
    /// It is rejected.
    Reject(RejectReason),
}

/// A change of the gate's state, worth one line of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateChange {
    /// Closed, and why.
    Closed(RejectReason),
    /// Open again, after so long.
    Reopened(Duration),
}

impl fmt::Display for GateChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GateChange::Closed(reason) => write!(f, "takes nothing on: {reason}"),
            GateChange::Reopened(after) => {
                write!(f, "takes messages on again after {} ms", after.as_millis())
            }
        }
    }
}

/// Why and since when a gate is closed.
#[derive(Clone, Copy, Debug)]
struct Closed {
    reason: RejectReason,
    since: Duration,
}

/// The gate for new items. What is held already passes without asking.
///
/// Times are counted from any start, never back.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityGate {
    closed: Option<Closed>,
    /// The file system is asked for room no sooner than this.
    next_growth_at: Duration,
    /// When the next surplus segment is given back.
    next_release_at: Option<Duration>,
}

impl CapacityGate {
    /// Whether an item of this size may be written now.
    pub fn request(
        &mut self,
        now: Duration,
        occupancy: &Occupancy,
        item_bytes: u64,
    ) -> (CapacityDecision, Option<GateChange>) {
        let has_more_segments = occupancy.segments < occupancy.max_segments;
        let may_grow = has_more_segments && now >= self.next_growth_at;
        let Some(closed) = self.closed else {
            if occupancy.fits(item_bytes, 1.0) {
                return (CapacityDecision::Admit, None);
            }
            if may_grow {
                return (CapacityDecision::AddSegment, None);
            }
            let reason = match has_more_segments {
                true => RejectReason::FileSystemFull,
                false => RejectReason::FolderLimit,
            };
            let change = self.close(reason, now);
            return (CapacityDecision::Reject(reason), change);
        };
        if now < closed.since + MIN_CLOSED_TIME {
            return (CapacityDecision::Reject(closed.reason), None);
        }
        if occupancy.fits(item_bytes, REOPEN_FRACTION) {
            self.closed = None;
            let after = now.saturating_sub(closed.since);
            return (CapacityDecision::Admit, Some(GateChange::Reopened(after)));
        }
        if may_grow {
            return (CapacityDecision::AddSegment, None);
        }
        (CapacityDecision::Reject(closed.reason), None)
    }

    /// A segment was added, or could not be.
    pub fn on_growth(&mut self, now: Duration, failed: Option<RejectReason>) -> Option<GateChange> {
        let reason = failed?;
        self.defer_growth(now);
        self.close(reason, now)
    }

    /// Whether the file system may be asked for room ahead of need.
    pub fn may_grow(&self, now: Duration) -> bool {
        self.closed.is_none() && now >= self.next_growth_at
    }

    /// The file system gave no room: it is not asked again for a while.
    pub fn defer_growth(&mut self, now: Duration) {
        self.next_growth_at = now + GROWTH_RETRY_INTERVAL;
    }

    /// An item that was admitted could not be written.
    pub fn on_write_error(&mut self, now: Duration) -> Option<GateChange> {
        self.close(RejectReason::DeviceError, now)
    }

    /// When it makes sense to request again.
    pub fn retry_after(&self) -> Duration {
        GROWTH_RETRY_INTERVAL
    }

    /// Whether a free segment is to be given back now.
    pub fn should_release_segment(&mut self, now: Duration, occupancy: &Occupancy) -> bool {
        if !occupancy.has_surplus_segment() {
            self.next_release_at = None;
            return false;
        }
        let is_due = now >= *self.next_release_at.get_or_insert(now + SURPLUS_GRACE);
        if is_due {
            self.next_release_at = Some(now + SURPLUS_RELEASE_INTERVAL);
        }
        is_due
    }

    /// Closes the gate. Why it stays closed may change; since when does not.
    fn close(&mut self, reason: RejectReason, now: Duration) -> Option<GateChange> {
        let was_open = self.closed.is_none();
        let since = self.closed.map_or(now, |closed| closed.since);
        self.closed = Some(Closed { reason, since });
        was_open.then_some(GateChange::Closed(reason))
    }
}

#[cfg(test)]
mod tests;
