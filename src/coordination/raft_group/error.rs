//! Errors of a Raft group: rejected requests and messages, and failures that stop the replica.

/// A failure after which the replica has to stop.
#[derive(Debug, thiserror::Error)]
pub enum GroupFailure {
    /// The library reported an error.
    #[error("the Raft library failed: {0}")]
    Raft(#[from] raft::Error),
    /// A committed entry or snapshot cannot be read by this program, which must not continue
    /// without it.
    #[error("a committed item cannot be read: {0}")]
    Unreadable(String),
    /// The folder lost entries that this replica had acknowledged, and possibly a vote.
    #[error(
        "the folder ends at place {last}, and keeper {leader}, which leads, knows that it held \
         {known}: what was acknowledged is lost, and this keeper may not vote again: remove it from \
         the group and add one under another number"
    )]
    LostAcknowledged {
        /// Index of the last entry in the folder.
        last: u64,
        /// Index of the last entry that the replica had, as far as the leader knows.
        known: u64,
        /// The leader.
        leader: u64,
    },
}

impl GroupFailure {
    /// A snapshot that cannot be read.
    pub(super) fn snapshot(error: impl std::fmt::Display) -> GroupFailure {
        GroupFailure::Unreadable(format!("the snapshot: {error}"))
    }

    /// An entry that cannot be read.
    pub(super) fn entry(index: u64, error: impl std::fmt::Display) -> GroupFailure {
        GroupFailure::Unreadable(format!("entry {index}: {error}"))
    }
}

/// Reason for which a proposal is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, or none.
    #[error("this keeper does not lead")]
    NotLeader,
    /// Members are changed one at a time, so that any two majorities, before and after a change,
    /// have a replica in common.
    #[error("another change of the keepers is still in progress")]
    ChangePending,
    /// The number was used before: a vote of the earlier replica could be counted for the new one.
    #[error("that number was used before: a new keeper needs a new number")]
    NumberUsed,
    /// No member has that number.
    #[error("no keeper has that number")]
    UnknownReplica,
    /// The last member cannot be removed.
    #[error("the last keeper cannot be removed")]
    LastReplica,
    /// The replica leads; another one has been asked to take over.
    #[error(
        "this keeper leads: another one has been asked to take over, repeat the command there"
    )]
    LeadershipTransferring,
    /// Too much is proposed at once, or a command is too long.
    #[error("too many proposals are pending, or the command is too long")]
    TooMuchPending,
}

/// Reason for which a message of another replica is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RefusedMessage {
    /// It cannot be decoded.
    #[error("{0}")]
    Malformed(String),
    /// It does not name the replica that sent it, or is not addressed to this one.
    #[error("a message names {from} as its sender and {to} as its receiver")]
    Misdirected {
        /// Sender that it names.
        from: u64,
        /// Receiver that it names.
        to: u64,
    },
    /// Replicas do not send messages of this kind.
    #[error("a message of the unexpected kind {0}")]
    Kind(String),
}
