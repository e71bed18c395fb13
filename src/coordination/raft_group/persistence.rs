//! The items that the group has to write, and the steps that become possible once they are written.
//!
//! The library numbers its steps of work. Each item makes the work up to a number durable; messages
//! that rely on a number wait until it is. This ensures that every vote and acknowledgement
//! survives a power cut before it leaves this replica.

use super::{RaftGroup, UnsavedItem, WaitingMessages};
use crate::coordination::raft_log::{Batch, LogItem};
use crate::coordination::replicated_state::ReplicatedState;

impl<R: ReplicatedState> RaftGroup<R> {
    /// Returns whether a checkpoint may be written now: nothing is being written, and few entries
    /// follow its snapshot.
    fn may_compact(&self) -> bool {
        let log = &self.raw.raft.raft_log;
        let behind = log.last_index().saturating_sub(self.applied);
        log.unstable_entries().is_empty()
            && behind < (R::LIMITS.checkpoint_entries / 32) as u64
            && self.unsaved.is_empty()
            && self.saving.is_none()
            && self.applied > self.checkpoint.index
    }

    /// Begins a new checkpoint, if that is possible now.
    pub fn compact(&mut self) {
        if !self.may_compact() {
            return;
        }
        let state = self.state.encode();
        let voters = self.voters().to_vec();
        let storage = self.raw.store();
        let checkpoint = self
            .checkpoint
            .next(storage, voters, state.clone(), self.applied);
        let entries = checkpoint.entries_size();
        let limits = R::LIMITS;
        if entries > limits.checkpoint_entries || state.len() + entries > limits.checkpoint {
            return;
        }
        self.raw.mut_store().compact(self.applied, state);
        let ready_number = self.waiting.back().map_or(0, |w| w.ready_number);
        self.checkpoint = checkpoint.without_state();
        self.unsaved.push_back(UnsavedItem {
            ready_number,
            item: LogItem::Checkpoint(Box::new(checkpoint)),
        });
    }

    /// Returns the item that has to be written next; `None` while one is being written. The caller
    /// writes the item, retrying if necessary, until it is saved.
    pub fn next_item(&mut self) -> Option<LogItem> {
        if self.saving.is_some() {
            return None;
        }
        let mut unsaved = self.unsaved.pop_front()?;
        if let LogItem::Batch(batch) = &mut unsaved.item {
            while let Some(next) = self.next_mergeable(batch) {
                unsaved.ready_number = next.ready_number;
                if let LogItem::Batch(next) = next.item {
                    batch.merge(next);
                }
            }
        }
        self.saving = Some(unsaved.ready_number);
        Some(unsaved.item)
    }

    /// Removes and returns the next item, if it is a batch that may be written together with this
    /// one.
    fn next_mergeable(&mut self, batch: &Batch) -> Option<UnsavedItem> {
        let fits = match self.unsaved.front().map(|next| &next.item) {
            Some(LogItem::Batch(next)) => batch.size() + next.size() <= R::LIMITS.merged_batch,
            _ => false,
        };
        if !fits {
            return None;
        }
        self.unsaved.pop_front()
    }

    /// Reports that the item of [`RaftGroup::next_item`] is written and synced.
    pub fn item_saved(&mut self) {
        if let Some(ready_number) = self.saving.take() {
            self.became_durable(ready_number);
        }
    }

    /// Releases what waited for the work up to this number to be durable, and following work that
    /// requires no writing.
    pub(super) fn became_durable(&mut self, ready_number: u64) {
        let next_unsaved = self.unsaved.front().map_or(u64::MAX, |u| u.ready_number);
        let mut durable = ready_number;
        let may_go = |waiting: &WaitingMessages| {
            waiting.ready_number <= ready_number || waiting.ready_number < next_unsaved
        };
        while self.waiting.front().is_some_and(may_go) {
            if let Some(waiting) = self.waiting.pop_front() {
                durable = durable.max(waiting.ready_number);
                self.outbox.extend(waiting.messages);
            }
        }
        if durable > 0 {
            self.raw.on_persist_ready(durable);
            self.restoring = self.restoring.filter(|restoring| *restoring > durable);
            self.report_applied();
        }
    }

    /// Reports to the library how far this replica has applied; a snapshot counts only once it is
    /// written.
    pub(super) fn report_applied(&mut self) {
        let log = &self.raw.raft.raft_log;
        let applied = self.applied.min(log.committed).min(log.persisted);
        if applied > log.applied {
            self.raw.advance_apply_to(applied);
        }
    }
}
