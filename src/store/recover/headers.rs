//! Reads the headers of all files, and decides which files are segments.
//!
//! After a partially failed write, a valid header may be on disk although its segment was not
//! begun: the log continued in the previous segment, and may have assigned the same sequence number
//! to another file. A file with such a header has no frames. Therefore, among files with the same
//! number, those without frames are free, and the end of the previous segment recorded in a header
//! is a lower bound.

use super::{segment_file_name, slot_of, Anomaly, FreeFile, RecoveredSegment, Scanner};
use crate::store::disk::read_full;
use crate::store::frame::{self, SegmentHeader, SegmentStart, FRAMES_OFFSET};
use std::io;

impl Scanner<'_> {
    /// Sorts files into segments and free files, and reads the beginning of the log from the newest
    /// header. Returns the files without a readable header.
    pub(super) fn read_headers(&mut self) -> io::Result<Vec<FreeFile>> {
        let mut files: Vec<_> = self
            .disk
            .list()?
            .into_iter()
            .filter_map(|(name, size_bytes)| Some((slot_of(&name)?, name, size_bytes)))
            .collect();
        files.sort();
        let mut unreadable = Vec::new();
        for (slot, name, size_bytes) in files {
            let bytes = self.read_header(&name, size_bytes)?;
            match SegmentHeader::decode(&bytes) {
                SegmentStart::Header(header) => self.log.segments.push(RecoveredSegment {
                    slot,
                    size_bytes,
                    header,
                    copies_agree: SegmentHeader::copies_agree(&bytes),
                    end: FRAMES_OFFSET,
                    frames: 0,
                }),
                SegmentStart::Empty => self.log.free_files.push(FreeFile { slot, size_bytes }),
                SegmentStart::Unreadable => unreadable.push(FreeFile { slot, size_bytes }),
            }
        }
        // The sort is stable: files with the same number stay in the order of their slots, in which
        // they were written.
        self.log.segments.sort_by_key(|s| s.header.sequence);
        if let Some(newest) = self.log.segments.last() {
            self.log.oldest_sequence = self.log.oldest_sequence.max(newest.header.oldest_sequence);
            self.log.next_item = newest.header.next_item;
        }
        Ok(unreadable)
    }

    fn read_header(&self, name: &str, size_bytes: u64) -> io::Result<Vec<u8>> {
        let file = self.disk.open(name)?;
        let mut bytes = vec![0; FRAMES_OFFSET.min(size_bytes) as usize];
        read_full(&*file, &mut bytes, 0)?;
        Ok(bytes)
    }

    /// Reports headers whose copies differ, among the segments that are not retired.
    pub(super) fn report_differing_copies(&mut self) {
        let differing = self.log.segments.iter().filter(|s| !s.copies_agree);
        let anomalies = differing.map(|segment| Anomaly::HeaderCopiesDiffer {
            file: segment_file_name(segment.slot),
            sequence: segment.header.sequence,
        });
        self.log.anomalies.extend(anomalies);
    }

    /// Frees the files without frames among those with the same number, keeping at least one file
    /// of each number.
    pub(super) fn free_repeated_segments(&mut self) -> io::Result<()> {
        let mut segments = std::mem::take(&mut self.log.segments)
            .into_iter()
            .peekable();
        while let Some(segment) = segments.next() {
            let sequence = segment.header.sequence;
            let is_last_of_its_number = segments
                .peek()
                .is_none_or(|next| next.header.sequence != sequence);
            let has_number_before = self
                .log
                .segments
                .last()
                .is_some_and(|before| before.header.sequence == sequence);
            let is_only_one_left = is_last_of_its_number && !has_number_before;
            if is_only_one_left || self.has_frames(&segment)? {
                self.log.segments.push(segment);
            } else {
                self.free_repeated_segment(&segment);
            }
        }
        Ok(())
    }

    fn has_frames(&self, segment: &RecoveredSegment) -> io::Result<bool> {
        let mut bytes = vec![0; segment.size_bytes as usize];
        let file = self.disk.open(&segment_file_name(segment.slot))?;
        let read = read_full(&*file, &mut bytes, 0)?;
        let first_frame =
            frame::find_next(segment.header.salt, &bytes[..read], FRAMES_OFFSET as usize);
        Ok(first_frame.is_some())
    }

    fn free_repeated_segment(&mut self, segment: &RecoveredSegment) {
        self.log.anomalies.push(Anomaly::RepeatedSequence {
            file: segment_file_name(segment.slot),
            sequence: segment.header.sequence,
        });
        self.log.free_files.push(FreeFile {
            slot: segment.slot,
            size_bytes: segment.size_bytes,
        });
    }
}
