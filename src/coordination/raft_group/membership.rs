//! Proposals to the group: commands, and changes of its members.

use super::{GroupMember, ProposeError, RaftGroup};
use crate::coordination::replicated_state::ReplicatedState;
use raft::eraftpb::{ConfChange, ConfChangeType};
use raft::StateRole;

impl<R: ReplicatedState> RaftGroup<R> {
    /// Proposes a command. [`GroupEvent::Applied`](super::GroupEvent::Applied) reports that it was
    /// committed; it may never be.
    ///
    /// # Errors
    /// This replica does not lead, the command is too long, or too much is proposed.
    pub fn propose(&mut self, command: &R::Command) -> Result<(), ProposeError> {
        let data = postcard::to_stdvec(command).map_err(|_| ProposeError::TooMuchPending)?;
        if self.raw.raft.state != StateRole::Leader {
            return Err(ProposeError::NotLeader);
        }
        if data.len() > R::LIMITS.command {
            return Err(ProposeError::TooMuchPending);
        }
        self.raw
            .propose(Vec::new(), data)
            .map_err(|_| ProposeError::TooMuchPending)
    }

    fn propose_member_change(
        &mut self,
        kind: ConfChangeType,
        replica: u64,
        context: Vec<u8>,
    ) -> Result<(), ProposeError> {
        if !self.is_ready_to_lead() {
            return Err(ProposeError::NotLeader);
        }
        // The library would silently replace the change by an empty entry.
        if self.raw.raft.has_pending_conf() {
            return Err(ProposeError::ChangePending);
        }
        let mut change = ConfChange {
            node_id: replica,
            ..ConfChange::default()
        };
        change.set_change_type(kind);
        self.raw
            .propose_conf_change(context, change)
            .map_err(|_| ProposeError::TooMuchPending)
    }

    /// Checks whether a replica of this number may be added.
    ///
    /// # Errors
    /// The number is 0, or is or was a member's.
    pub fn may_add(&self, replica: u64) -> Result<(), ProposeError> {
        if replica == 0 {
            return Err(ProposeError::UnknownReplica);
        }
        let state = &self.state;
        if state.removed.contains(&replica) || state.members.contains_key(&replica) {
            return Err(ProposeError::NumberUsed);
        }
        Ok(())
    }

    /// Proposes to add a member.
    ///
    /// # Errors
    /// Its number may not be added, this replica does not lead, or another change is in progress.
    pub fn add_member(&mut self, replica: u64, member: &GroupMember) -> Result<(), ProposeError> {
        self.may_add(replica)?;
        let context = postcard::to_stdvec(member).map_err(|_| ProposeError::TooMuchPending)?;
        self.propose_member_change(ConfChangeType::AddNode, replica, context)
    }

    /// Proposes to remove a member. A leader that is asked to remove itself transfers its
    /// leadership instead.
    ///
    /// # Errors
    /// It is no member or the last one, it leads, this replica does not lead, or another change is
    /// in progress.
    pub fn remove_member(&mut self, replica: u64) -> Result<(), ProposeError> {
        if !self.voters().contains(&replica) {
            return Err(ProposeError::UnknownReplica);
        }
        if self.voters().len() == 1 {
            return Err(ProposeError::LastReplica);
        }
        if replica == self.id() {
            self.transfer_leadership()?;
            return Err(ProposeError::LeadershipTransferring);
        }
        self.propose_member_change(ConfChangeType::RemoveNode, replica, Vec::new())
    }

    /// Asks another replica to lead: the one that was heard from last.
    ///
    /// # Errors
    /// There is no other replica.
    pub fn transfer_leadership(&mut self) -> Result<(), ProposeError> {
        let own = self.id();
        let others = self.voters().iter().filter(|id| **id != own);
        let next = others.max_by_key(|id| self.heard_at.get(id)).copied();
        self.raw
            .transfer_leader(next.ok_or(ProposeError::LastReplica)?);
        Ok(())
    }
}
