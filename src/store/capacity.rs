//! Capacity decisions of the store: the size of segments, admission of new items, when a segment
//! is added or released, and how much is cleaned.
//!
//! Uses no I/O and no clock: callers pass sizes and times. Called by [`super::log`] and the
//! simulator.

use std::fmt;
use std::time::Duration;

/// Smallest segment file, where the limit allows it: it holds two messages of maximum length.
const MIN_SEGMENT_BYTES: u64 = 144 * 1024;
/// Largest segment file. Recovery reads a whole segment into memory.
const MAX_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Segment files are a multiple of this size, the block size of a file system.
const SEGMENT_GRANULARITY: u64 = 4096;
/// Bytes of the folder's limit reserved for files other than segments.
const OTHER_FILES_BYTES: u64 = 4096;
/// Number of segments that a folder's limit is divided into.
const SEGMENTS_AIMED_AT: u64 = 16;
/// Minimum number of segments. Segments are made smaller rather than having fewer of them.
const MIN_SEGMENTS: u64 = 7;
/// Segments that do not count towards capacity: the one being written, and the cleaner's reserve.
const RESERVED_SEGMENTS: u32 = 3;
/// Free segments that only the cleaner may use: it copies into one while it empties another.
pub const CLEANER_RESERVE: u32 = 2;
/// Maximum fraction of the segments' capacity that may be live. The higher it is, the more bytes
/// cleaning copies per byte written.
const MAX_LIVE_FRACTION: f64 = 0.6;
/// A segment is added during idle maintenance once this fraction of the live capacity is in use.
const GROW_AHEAD_FRACTION: f64 = 0.75;
/// Cleaning begins when at most this fraction of the segments is free.
const LOW_FREE_FRACTION: f64 = 0.33;
/// Factor by which cleaning runs faster than it must to keep up with writes.
const CLEANING_LEAD: f64 = 1.25;
/// Maximum number of bytes copied before one frame is written, which bounds the delay of the frame.
const MAX_CLEANING_BYTES: u64 = 256 * 1024;
/// Number of bytes copied in one idle maintenance step.
pub const IDLE_CLEANING_BYTES: u64 = 64 * 1024;
/// Fraction of the live capacity below which a closed gate reopens. The hysteresis keeps the gate
/// from alternating between open and closed.
const REOPEN_FRACTION: f64 = 0.875;
/// Minimum time that a gate stays closed.
const MIN_CLOSED_TIME: Duration = Duration::from_millis(100);
/// Minimum interval between attempts to allocate a segment after one has failed.
const GROWTH_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which there has to be a surplus segment before the first one is released.
const SURPLUS_GRACE: Duration = Duration::from_secs(60);
/// Interval between releases of further surplus segments.
const SURPLUS_RELEASE_INTERVAL: Duration = Duration::from_secs(1);

/// Size and number of the segments of a folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentLayout {
    /// Size of a segment file, in bytes.
    pub segment_bytes: u64,
    /// Maximum number of segments.
    pub max_segments: u32,
}

impl SegmentLayout {
    /// Returns the layout of a folder that may hold `limit_bytes`, when the file system has
    /// `available_bytes` for it (including the folder's existing files).
    pub fn for_folder(limit_bytes: u64, available_bytes: u64) -> Self {
        let limit = limit_bytes.saturating_sub(OTHER_FILES_BYTES);
        let usable = limit.min(available_bytes);
        let least = (usable / MIN_SEGMENTS).min(MIN_SEGMENT_BYTES);
        let mut segment_bytes =
            round_down((usable / SEGMENTS_AIMED_AT).clamp(least, MAX_SEGMENT_BYTES));
        if segment_bytes == 0 {
            // There is no space at present, but some may become available later.
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

/// Space usage of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Capacity of a segment, in bytes, without its header.
    pub segment_bytes: u64,
    /// Current number of segments.
    pub segments: u32,
    /// Number of segments that the folder's limit allows.
    pub max_segments: u32,
    /// Number of free segments.
    pub free_segments: u32,
    /// Bytes left in the segment being written.
    pub tail_bytes: u64,
    /// Bytes of all items, including the space reserved for their growth.
    pub live_bytes: u64,
    /// Bytes of the largest item, including the space reserved for its growth.
    pub largest_item_bytes: u64,
}

impl Occupancy {
    /// Returns the bytes of items that this number of segments is guaranteed to hold. Of two
    /// adjacent segments, the second begins with an item that did not fit into the first, so
    /// segments are at least half full on average.
    fn guaranteed_bytes(&self, segments: u32, largest_item_bytes: u64) -> u64 {
        let half = self.segment_bytes / 2;
        let each = self.segment_bytes.saturating_sub(largest_item_bytes);
        u64::from(segments.saturating_sub(RESERVED_SEGMENTS)) * each.max(half)
    }

    /// Returns the bytes that may be live, including an item of this size.
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

    /// Returns the bytes to copy before `written_bytes` are written, or `None` if enough segments
    /// are free.
    pub fn cleaning_quota(&self, written_bytes: u64) -> Option<u64> {
        if !self.is_low_on_free_segments() {
            return None;
        }
        let free_segments = self.free_segments.saturating_sub(CLEANER_RESERVE);
        let free_bytes = u64::from(free_segments) * self.segment_bytes + self.tail_bytes;
        let pace = CLEANING_LEAD * self.live_bytes as f64 / free_bytes.max(1) as f64;
        Some(((written_bytes as f64 * pace) as u64).min(MAX_CLEANING_BYTES))
    }

    /// Returns the bytes to copy in an idle maintenance step, or `None` if little would be gained.
    pub fn idle_cleaning_quota(&self) -> Option<u64> {
        let used_segments = self.segments.saturating_sub(self.free_segments);
        let used = u64::from(used_segments) * self.segment_bytes;
        let garbage = used.saturating_sub(self.tail_bytes + self.live_bytes);
        let is_worthwhile = garbage > 2 * self.segment_bytes;
        (self.is_low_on_free_segments() && is_worthwhile).then_some(IDLE_CLEANING_BYTES)
    }

    /// Returns whether a segment should be added before it is needed.
    pub fn wants_segment(&self) -> bool {
        let is_needed = self.segments <= RESERVED_SEGMENTS || !self.fits(0, GROW_AHEAD_FRACTION);
        self.segments < self.max_segments && is_needed
    }

    /// Returns whether a free segment can be released with ample capacity remaining.
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

/// Reason for which new items are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// The folder's size limit is reached.
    #[error("what is held takes the room that limits.disk_mb leaves")]
    FolderLimit,
    /// The file system is full.
    #[error("the file system gives no more room")]
    FileSystemFull,
    /// The device returns errors.
    #[error("the file system fails")]
    DeviceError,
}

/// Decision about a new item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityDecision {
    /// The item may be written.
    Admit,
    /// The caller has to add a segment, report the result to [`CapacityGate::on_growth`], and
    /// request again.
    AddSegment,
    /// The item is rejected.
    Reject(RejectReason),
}

/// A change of the gate's state, to be logged in one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateChange {
    /// The gate closed for this reason.
    Closed(RejectReason),
    /// The gate opened again after this time.
    Reopened(Duration),
}

impl fmt::Display for GateChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GateChange::Closed(reason) => write!(f, "takes nothing on: {reason}"),
            GateChange::Reopened(after) => {
                write!(f, "accepts messages again after {} ms", after.as_millis())
            }
        }
    }
}

/// Reason and start time of a gate's closure.
#[derive(Clone, Copy, Debug)]
struct Closed {
    reason: RejectReason,
    since: Duration,
}

/// Admission gate for new items. Frames of items that are already stored do not pass through it.
///
/// Times are monotonic and count from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityGate {
    closed: Option<Closed>,
    /// Earliest time of the next attempt to allocate a segment.
    next_growth_at: Duration,
    /// Time at which the next surplus segment is released.
    next_release_at: Option<Duration>,
}

impl CapacityGate {
    /// Decides whether an item of this size may be written now.
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

    /// Records that a segment was added, or the reason why it could not be.
    pub fn on_growth(&mut self, now: Duration, failed: Option<RejectReason>) -> Option<GateChange> {
        let reason = failed?;
        self.defer_growth(now);
        self.close(reason, now)
    }

    /// Returns whether a segment may be allocated before it is needed.
    pub fn may_grow(&self, now: Duration) -> bool {
        self.closed.is_none() && now >= self.next_growth_at
    }

    /// Defers the next allocation after the file system failed to provide a segment.
    pub fn defer_growth(&mut self, now: Duration) {
        self.next_growth_at = now + GROWTH_RETRY_INTERVAL;
    }

    /// Closes the gate after an admitted item could not be written.
    pub fn on_write_error(&mut self, now: Duration) -> Option<GateChange> {
        self.close(RejectReason::DeviceError, now)
    }

    /// Returns the time after which it is worthwhile to request again.
    pub fn retry_after(&self) -> Duration {
        GROWTH_RETRY_INTERVAL
    }

    /// Returns whether a free segment should be released now.
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

    /// Closes the gate. If it is closed already, the reason is replaced and the start time is kept.
    fn close(&mut self, reason: RejectReason, now: Duration) -> Option<GateChange> {
        let was_open = self.closed.is_none();
        let since = self.closed.map_or(now, |closed| closed.since);
        self.closed = Some(Closed { reason, since });
        was_open.then_some(GateChange::Closed(reason))
    }
}

#[cfg(test)]
mod tests;
