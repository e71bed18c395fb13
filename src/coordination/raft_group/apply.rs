//! Processes the output of the `raft` library: messages, items to write, and committed entries.

use super::{
    GroupEvent, GroupFailure, GroupState, Leadership, RaftGroup, UnsavedItem, WaitingMessages,
};
use crate::coordination::raft_log::{Batch, LogEntry, LogItem, PersistedHardState};
use crate::coordination::replicated_state::ReplicatedState;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry, EntryType, Message, Snapshot};
use raft::Ready;

impl<R: ReplicatedState> RaftGroup<R> {
    /// Processes all output that is available. Returns the messages to send, each with the replica
    /// that it is for, and adds what happened to `events`.
    ///
    /// # Errors
    /// This replica has to stop.
    pub fn process_ready(
        &mut self,
        events: &mut Vec<GroupEvent<R::Command>>,
    ) -> Result<Vec<Message>, GroupFailure> {
        if let Some(failure) = self.failure.take() {
            return Err(failure);
        }
        while self.raw.has_ready() {
            let ready = self.raw.ready();
            self.process_one(ready, events)?;
        }
        self.note_leadership(events);
        Ok(std::mem::take(&mut self.outbox))
    }

    fn process_one(
        &mut self,
        mut ready: Ready,
        events: &mut Vec<GroupEvent<R::Command>>,
    ) -> Result<(), GroupFailure> {
        let ready_number = ready.number();
        self.outbox.extend(ready.take_messages());
        if let Some(hard_state) = ready.hs() {
            self.raw.mut_store().hard_state = hard_state.clone();
        }
        if !ready.snapshot().is_empty() {
            self.restore(ready_number, ready.snapshot().clone(), events)?;
        }
        self.raw.mut_store().append(ready.entries());
        if ready.must_sync() {
            self.queue_batch(ready_number, ready.entries());
        }
        self.waiting.push_back(WaitingMessages {
            ready_number,
            messages: ready.take_persisted_messages(),
        });
        let committed = ready.take_committed_entries();
        self.raw.advance_append_async(ready);
        for entry in committed {
            self.apply_entry(entry, events)?;
        }
        self.report_applied();
        if self.unsaved.is_empty() && self.saving.is_none() {
            self.became_durable(ready_number);
        }
        Ok(())
    }

    /// Replaces the whole state by a snapshot of another replica, and queues it for writing.
    fn restore(
        &mut self,
        ready_number: u64,
        snapshot: Snapshot,
        events: &mut Vec<GroupEvent<R::Command>>,
    ) -> Result<(), GroupFailure> {
        self.state = GroupState::decode(&snapshot.data).map_err(GroupFailure::snapshot)?;
        self.applied = snapshot.get_metadata().index;
        let state = snapshot.data.to_vec();
        self.raw.mut_store().restore(snapshot);
        let storage = self.raw.store();
        let voters = storage.voters().to_vec();
        let checkpoint = self.checkpoint.next(storage, voters, state, self.applied);
        self.checkpoint = checkpoint.without_state();
        self.unsaved.push_back(UnsavedItem {
            ready_number,
            item: LogItem::Checkpoint(Box::new(checkpoint)),
        });
        self.restoring = Some(ready_number);
        events.push(GroupEvent::SnapshotRestored(self.applied));
        Ok(())
    }

    /// Queues term, vote and entries for writing.
    fn queue_batch(&mut self, ready_number: u64, entries: &[Entry]) {
        let batch = Batch {
            hard_state: PersistedHardState::of(&self.raw.store().hard_state),
            entries: entries.iter().map(LogEntry::of).collect(),
        };
        self.unsaved.push_back(UnsavedItem {
            ready_number,
            item: LogItem::Batch(batch),
        });
    }

    fn note_leadership(&mut self, events: &mut Vec<GroupEvent<R::Command>>) {
        let leadership = Leadership {
            leader: self.leader(),
            term: self.term(),
        };
        if leadership != self.leadership {
            self.leadership = leadership;
            let Leadership { leader, term } = leadership;
            events.push(GroupEvent::LeaderChanged(leader, term));
        }
    }

    fn apply_entry(
        &mut self,
        entry: Entry,
        events: &mut Vec<GroupEvent<R::Command>>,
    ) -> Result<(), GroupFailure> {
        let index = entry.index;
        match entry.get_entry_type() {
            // A leader's first entry, or one that the library emptied.
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => self.apply_command(&entry, events)?,
            EntryType::EntryConfChange => self.apply_member_change(&entry, events)?,
            EntryType::EntryConfChangeV2 => {
                let fault = "a change of several keepers at once";
                return Err(GroupFailure::entry(index, fault));
            }
        }
        self.applied = index;
        Ok(())
    }

    fn apply_command(
        &mut self,
        entry: &Entry,
        events: &mut Vec<GroupEvent<R::Command>>,
    ) -> Result<(), GroupFailure> {
        let index = entry.index;
        let command: R::Command =
            postcard::from_bytes(&entry.data).map_err(|e| GroupFailure::entry(index, e))?;
        self.state.record.apply(index, &command);
        events.push(GroupEvent::Applied(index, command));
        Ok(())
    }

    fn apply_member_change(
        &mut self,
        entry: &Entry,
        events: &mut Vec<GroupEvent<R::Command>>,
    ) -> Result<(), GroupFailure> {
        let index = entry.index;
        let mut change = ConfChange::default();
        change
            .merge_from_bytes(&entry.data)
            .map_err(|e| GroupFailure::entry(index, e))?;
        let replica = change.node_id;
        match change.get_change_type() {
            ConfChangeType::RemoveNode => {
                self.state.members.remove(&replica);
                self.state.removed.insert(replica);
            }
            _ => {
                let member = postcard::from_bytes(&entry.context)
                    .map_err(|e| GroupFailure::entry(index, e))?;
                self.state.members.insert(replica, member);
            }
        }
        let conf_state = self.raw.apply_conf_change(&change)?;
        let state = self.state.encode();
        self.raw
            .mut_store()
            .set_conf_state(conf_state, index, state);
        events.push(GroupEvent::MembersChanged(index, replica));
        Ok(())
    }
}
