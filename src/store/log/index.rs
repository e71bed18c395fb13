//! Index of items: their locations, and the number of bytes that they are counted with.

use crate::store::recover::FrameLocation;
use std::collections::{BTreeMap, BTreeSet};

/// An item that is not removed.
#[derive(Clone, Copy, Debug)]
pub(super) struct IndexedItem {
    /// Location of the item's last `Put`.
    pub location: FrameLocation,
    /// Bytes that the item is counted with, including the space reserved for its growth.
    pub reserved_bytes: u64,
}

/// All items that are not removed.
///
/// Trees are used throughout, since a hash table of this size would block the process while it is
/// resized.
#[derive(Default)]
pub(super) struct ItemIndex {
    items: BTreeMap<u64, IndexedItem>,
    /// Items whose last `Put` is in a segment, by the segment's sequence number.
    by_segment: BTreeMap<u64, BTreeSet<u64>>,
    /// Number of items by the bytes that they are counted with.
    count_by_size: BTreeMap<u64, u32>,
    live_bytes: u64,
}

impl ItemIndex {
    pub(super) fn insert(&mut self, item: u64, location: FrameLocation, reserved_bytes: u64) {
        let in_segment = self.by_segment.entry(location.sequence).or_default();
        in_segment.insert(item);
        *self.count_by_size.entry(reserved_bytes).or_default() += 1;
        self.live_bytes += reserved_bytes;
        let indexed = IndexedItem {
            location,
            reserved_bytes,
        };
        self.items.insert(item, indexed);
    }

    pub(super) fn remove(&mut self, item: u64) -> Option<IndexedItem> {
        let indexed = self.items.remove(&item)?;
        let sequence = indexed.location.sequence;
        if let Some(in_segment) = self.by_segment.get_mut(&sequence) {
            in_segment.remove(&item);
            if in_segment.is_empty() {
                self.by_segment.remove(&sequence);
            }
        }
        let size = indexed.reserved_bytes;
        self.live_bytes -= size;
        if let Some(count) = self.count_by_size.get_mut(&size) {
            *count -= 1;
            if *count == 0 {
                self.count_by_size.remove(&size);
            }
        }
        Some(indexed)
    }

    pub(super) fn contains(&self, item: u64) -> bool {
        self.items.contains_key(&item)
    }

    pub(super) fn location(&self, item: u64) -> Option<FrameLocation> {
        self.items.get(&item).map(|indexed| indexed.location)
    }

    /// Returns the first item whose last `Put` is in this segment.
    pub(super) fn first_in_segment(&self, sequence: u64) -> Option<u64> {
        self.by_segment.get(&sequence)?.first().copied()
    }

    /// Returns the bytes that all items together are counted with.
    pub(super) fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// Returns the bytes that the largest item is counted with.
    pub(super) fn largest_item_bytes(&self) -> u64 {
        self.count_by_size
            .last_key_value()
            .map_or(0, |(size, _)| *size)
    }
}
