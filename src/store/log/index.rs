//! Where items stand, and how many bytes they are counted for.

use crate::store::recover::FrameLocation;
use std::collections::{BTreeMap, BTreeSet};

/// An item that is not over.
#[derive(Clone, Copy, Debug)]
pub(super) struct IndexedItem {
    /// Where its last `Put` stands.
    pub location: FrameLocation,
    /// Bytes that it is counted for, with what it may grow by.
    pub reserved_bytes: u64,
}

/// All items that are not over.
///
/// Trees throughout: a hash table of this size would stop everything while it is laid out anew.
#[derive(Default)]
pub(super) struct ItemIndex {
    items: BTreeMap<u64, IndexedItem>,
    /// Items whose `Put` stands in a segment, by its sequence number.
    by_segment: BTreeMap<u64, BTreeSet<u64>>,
    /// How many items are counted for so many bytes.
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

    /// The first item whose `Put` stands in this segment.
    pub(super) fn first_in_segment(&self, sequence: u64) -> Option<u64> {
        self.by_segment.get(&sequence)?.first().copied()
    }

    /// Bytes that all items are counted for.
    pub(super) fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// Bytes that the largest item is counted for.
    pub(super) fn largest_item_bytes(&self) -> u64 {
        self.count_by_size
            .last_key_value()
            .map_or(0, |(size, _)| *size)
    }
}
