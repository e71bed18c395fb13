//! Reads one segment, frame by frame.

use super::{segment_file_name, Anomaly, Damage, FrameLocation, LogPosition, Scanner};
use crate::store::disk::read_full;
use crate::store::frame::{self, Frame, FrameKind, FRAMES_OFFSET};
use std::io;

/// The segment being read.
struct CurrentSegment {
    file: String,
    slot: u32,
    sequence: u64,
    salt: u64,
    /// Whether frames record what was synced, according to the header.
    has_durable_marks: bool,
    /// Whether this is the last segment of the log.
    is_newest: bool,
    /// Offset up to which there are frames at least, if the next segment's header records it.
    known_end: Option<u64>,
    size_bytes: u64,
}

impl CurrentSegment {
    /// Returns the offset at which reading continues after unreadable bytes: that of the next
    /// frame, or the known end, after which further frames may follow.
    fn next_offset(&self, bytes: &[u8], unreadable_from: usize) -> Option<usize> {
        let known_end = self.known_end.map(|end| end as usize);
        let searched_end = known_end.unwrap_or(bytes.len()).min(bytes.len());
        let searched = &bytes[..searched_end];
        frame::find_next(self.salt, searched, unreadable_from + 1).or(known_end)
    }
}

impl Scanner<'_> {
    /// Replays one segment. `buffer` is reused between segments.
    pub(super) fn read_segment(
        &mut self,
        index: usize,
        known_end: Option<u64>,
        buffer: &mut Vec<u8>,
    ) -> io::Result<()> {
        let segment = &self.log.segments[index];
        let current = CurrentSegment {
            file: segment_file_name(segment.slot),
            slot: segment.slot,
            sequence: segment.header.sequence,
            salt: segment.header.salt,
            has_durable_marks: segment.header.has_durable_marks,
            is_newest: index + 1 == self.log.segments.len(),
            known_end,
            size_bytes: segment.size_bytes,
        };
        self.read_file(&current, buffer)?;
        let (end, frames) = self.replay_frames(&current, buffer);
        self.report_frames_behind_end(&current, end);
        let segment = &mut self.log.segments[index];
        segment.end = known_end.unwrap_or(end).max(end);
        segment.frames = frames;
        Ok(())
    }

    /// Reads the whole file.
    fn read_file(&mut self, current: &CurrentSegment, buffer: &mut Vec<u8>) -> io::Result<()> {
        buffer.resize(current.size_bytes as usize, 0);
        // One file at a time, since there may be more files than descriptors.
        let read = read_full(&*self.disk.open(&current.file)?, buffer, 0)?;
        self.log.read_bytes += read as u64;
        // The file may have been truncated.
        buffer.truncate(read);
        Ok(())
    }

    /// Replays all frames, skipping unreadable bytes. Returns the offset at which frames end, and
    /// the number of complete frames.
    fn replay_frames(&mut self, current: &CurrentSegment, bytes: &[u8]) -> (u64, u64) {
        let mut offset = FRAMES_OFFSET as usize;
        let mut frames = 0;
        loop {
            let rest = bytes.get(offset..).unwrap_or_default();
            if let Some(frame) = frame::decode(current.salt, rest) {
                frames += 1;
                self.replay_frame(current, offset as u64, &frame);
                offset += frame.len as usize;
                continue;
            }
            let is_end = match current.known_end {
                Some(end) => offset as u64 >= end,
                None => frame::is_end_of_frames(rest),
            };
            if is_end {
                break;
            }
            let Some(next) = current.next_offset(bytes, offset) else {
                self.end_in_unreadable_bytes(current, offset as u64, rest);
                break;
            };
            self.report_unreadable_bytes(current, offset as u64, next as u64);
            offset = next;
        }
        (offset as u64, frames)
    }

    /// Handles a segment without readable frames from `offset` on: a torn write if the segment is
    /// the last one, damage otherwise.
    fn end_in_unreadable_bytes(&mut self, current: &CurrentSegment, offset: u64, rest: &[u8]) {
        if current.is_newest {
            self.log.torn_bytes = torn_bytes(rest);
        } else {
            self.report_unreadable_bytes(current, offset, current.size_bytes);
        }
    }

    fn report_frames_behind_end(&mut self, current: &CurrentSegment, end: u64) {
        if let Some(known_end) = current.known_end.filter(|known_end| *known_end < end) {
            self.log.anomalies.push(Anomaly::FramesBehindEnd {
                file: current.file.clone(),
                sequence: current.sequence,
                from: known_end,
                to: end,
            });
        }
    }

    fn report_unreadable_bytes(&mut self, current: &CurrentSegment, from: u64, to: u64) {
        let at = LogPosition {
            sequence: current.sequence,
            offset: from,
        };
        let damage = Damage::Bytes {
            file: current.file.clone(),
            sequence: current.sequence,
            from,
            to,
        };
        self.report_possible_loss(at, current.has_durable_marks, damage);
    }

    fn replay_frame(&mut self, current: &CurrentSegment, offset: u64, frame: &Frame<'_>) {
        let number = frame.number;
        if frame.kind.is_on_item() {
            self.log.next_item = self.log.next_item.max(number + 1);
        }
        let replayed = match frame.kind {
            FrameKind::Put => self.replay.on_put(number, frame.data),
            FrameKind::Update => self.replay.on_update(number, frame.data),
            FrameKind::Remove => {
                self.log.locations.remove(&number);
                self.replay.on_remove(number);
                return;
            }
            FrameKind::LogStart => {
                self.log.oldest_sequence = self.log.oldest_sequence.max(number);
                return;
            }
            FrameKind::DurableUpTo => {
                let offset = frame
                    .data
                    .first_chunk()
                    .map_or(0, |b| u64::from_le_bytes(*b));
                let durable = LogPosition {
                    sequence: number,
                    offset,
                };
                self.durable_up_to = self.durable_up_to.max(durable);
                return;
            }
        };
        let sequence = current.sequence;
        match replayed {
            Ok(()) if frame.kind == FrameKind::Put => {
                let location = FrameLocation {
                    sequence,
                    slot: current.slot,
                    offset,
                    data_len: frame.data.len(),
                };
                self.log.locations.insert(number, location);
            }
            Ok(()) => {}
            Err(problem) => {
                let damage = Damage::MalformedItem {
                    file: current.file.clone(),
                    offset,
                    item: number,
                    problem,
                };
                self.report_possible_loss(LogPosition { sequence, offset }, false, damage);
            }
        }
    }
}

/// Returns the number of bytes present of an incomplete frame: up to the last byte that is not
/// zero, and at most the length of the complete frame.
fn torn_bytes(rest: &[u8]) -> u64 {
    let payload_len = rest
        .first_chunk()
        .map_or(0, |len| u32::from_le_bytes(*len) as usize);
    let most = frame::encoded_len(payload_len).min(rest.len() as u64) as usize;
    rest[..most]
        .iter()
        .rposition(|b| *b != 0)
        .map_or(0, |last| last as u64 + 1)
}
