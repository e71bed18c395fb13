//! A Raft group, around the state machine of the `raft` library, without files, sockets or clocks.
//!
//! The replicas of a site are one group, which agrees on the site's record. The sites of a
//! federation are another group, run by the same code, with one member for each site. In this
//! module a member is called a replica.
//!
//! This module owns terms, votes, heartbeats, the commit index and the members of the group. It
//! neither writes nor sends: [`RaftGroup::next_item`] returns what has to be written,
//! [`RaftGroup::item_saved`] reports that it is, and only then are the messages released that rely
//! on it. [`RaftGroup::process_ready`] returns what was committed as [`GroupEvent`]s, in the same
//! order on all replicas. [`super::replica`] drives a site's group,
//! [`super::routing_table::member`] that of a federation.
//!
//! # Who may vote
//!
//! A replica that has lost its folder no longer knows what it voted and what it acknowledged. If it
//! voted again under its old number, one term could have two leaders, and committed entries could
//! be lost. So a vote belongs to a folder and not to a number. Each folder has an *incarnation*,
//! drawn when it is created. The group commits the incarnation of each member, and a replica
//! accepts messages only from members with the committed one. There are two ways to become a
//! member:
//!
//! - *The first start of a site* (`begin = true`, an empty folder; [`super::bootstrap`]). The
//!   replicas send each other their incarnations and store those of the others. A replica takes
//!   part once all others have confirmed that they stored its own. So the folder of each replica
//!   that has ever voted or acknowledged anything is known to all others: a replica that returns
//!   without it is rejected by each of them, never gets all their confirmations and never takes
//!   part. If a folder is lost before the first start is complete, the start is repeated with empty
//!   folders.
//! - *An operator's request* ([`RaftGroup::add_member`]). The leader asks the new replica for its
//!   incarnation, and both are committed in one entry. A replica that has not applied that entry
//!   neither counts the new one as a voter nor accepts its messages.
//!
//! Numbers of replicas that were removed are never used again; the group rejects them.

mod apply;
mod error;
mod membership;
mod persistence;
mod state;

pub use error::{GroupFailure, ProposeError, RefusedMessage};
pub use state::{GroupMember, GroupState};

use crate::coordination::raft_log::{Checkpoint, LogItem, MemoryStorage};
use crate::coordination::record::{self, Record};
use crate::coordination::replicated_state::ReplicatedState;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::{Config, RawNode, StateRole};
use std::collections::{BTreeMap, VecDeque};

/// Fewest ticks without a heartbeat of the leader after which a replica stands for election; the
/// most are twice as many.
pub const ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks by which other replicas may have received a heartbeat before the leader receives the
/// response.
const HEARD_SLACK_TICKS: u64 = 2;
/// Most messages with entries in flight to one replica.
const MAX_INFLIGHT_APPENDS: usize = 16;

/// An event of the group, for the code that drives it.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupEvent<C = record::Command> {
    /// The command of the entry with this index was applied to the state.
    Applied(u64, C),
    /// The entry with this index added or removed the replica of this number.
    MembersChanged(u64, u64),
    /// The complete state as of this index was received from another replica.
    SnapshotRestored(u64),
    /// The leader and the term changed, in this order; no leader is 0.
    LeaderChanged(u64, u64),
}

/// Role and term for which an election timeout was drawn: it is drawn again when one of them
/// changes.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ElectionRound {
    term: u64,
    leader: u64,
    role: StateRole,
}

/// Time that this replica waits for a leader before it stands for election.
struct ElectionTimeout {
    round: ElectionRound,
    ticks: usize,
}

/// The leader of a term; 0 for none.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Leadership {
    leader: u64,
    term: u64,
}

/// An item that is not written yet. Once it is, the library's work up to `ready_number` is durable.
struct UnsavedItem {
    ready_number: u64,
    item: LogItem,
}

/// Messages that may be sent once all work up to `ready_number` is durable.
struct WaitingMessages {
    ready_number: u64,
    messages: Vec<Message>,
}

/// A group as one replica runs it.
pub struct RaftGroup<R: ReplicatedState = Record> {
    raw: RawNode<MemoryStorage>,
    rng: fastrand::Rng,
    election_timeout: ElectionTimeout,
    /// The last checkpoint, without its state.
    checkpoint: Checkpoint,
    state: GroupState<R>,
    /// Index of the last entry that was applied.
    applied: u64,
    /// Number of ticks since the start.
    ticks: u64,
    /// Tick at which each other replica was last heard from in the current term.
    heard_at: BTreeMap<u64, u64>,
    unsaved: VecDeque<UnsavedItem>,
    /// Number of the library's work that the item being written makes durable.
    saving: Option<u64>,
    waiting: VecDeque<WaitingMessages>,
    outbox: Vec<Message>,
    /// Number of the library's work that a snapshot of another replica belongs to, until it is
    /// written.
    restoring: Option<u64>,
    /// Failure that a message revealed, after which this replica has to stop.
    failure: Option<GroupFailure>,
    leadership: Leadership,
}

impl<R: ReplicatedState> RaftGroup<R> {
    /// Continues from a checkpoint that may have been written without a sync, so that checkpoint is
    /// the first item to write. Election timeouts are drawn from the seed.
    ///
    /// # Errors
    /// The checkpoint cannot be read.
    pub fn new(checkpoint: Checkpoint, seed: u64) -> Result<RaftGroup<R>, GroupFailure> {
        let mut group = RaftGroup::resumed(checkpoint.clone(), seed)?;
        group.unsaved.push_back(UnsavedItem {
            ready_number: 0,
            item: LogItem::Checkpoint(Box::new(checkpoint)),
        });
        Ok(group)
    }

    /// Continues from a checkpoint that is known to be durable.
    ///
    /// # Errors
    /// The checkpoint cannot be read.
    pub fn resumed(checkpoint: Checkpoint, seed: u64) -> Result<RaftGroup<R>, GroupFailure> {
        let state = GroupState::decode(&checkpoint.state).map_err(GroupFailure::snapshot)?;
        let storage =
            MemoryStorage::new(&checkpoint).map_err(|e| GroupFailure::Unreadable(e.to_string()))?;
        let raw = RawNode::new(&library_config::<R>(&checkpoint), storage, &no_logger())?;
        let mut group = RaftGroup {
            raw,
            rng: fastrand::Rng::with_seed(seed),
            election_timeout: ElectionTimeout {
                round: ElectionRound {
                    term: u64::MAX,
                    leader: 0,
                    role: StateRole::Follower,
                },
                ticks: ELECTION_TICKS,
            },
            state,
            applied: checkpoint.index,
            checkpoint: checkpoint.without_state(),
            ticks: 0,
            heard_at: BTreeMap::new(),
            unsaved: VecDeque::new(),
            saving: None,
            waiting: VecDeque::new(),
            outbox: Vec::new(),
            restoring: None,
            failure: None,
            leadership: Leadership { leader: 0, term: 0 },
        };
        group.set_election_timeout();
        Ok(group)
    }

    /// Sets the election timeout, and draws it anew whenever the library would. The library's own
    /// draw has no seed and is not used.
    fn set_election_timeout(&mut self) {
        let raft = &mut self.raw.raft;
        let round = ElectionRound {
            term: raft.term,
            leader: raft.leader_id,
            role: raft.state,
        };
        if self.election_timeout.round != round {
            let ticks = self.rng.usize(ELECTION_TICKS..2 * ELECTION_TICKS);
            self.election_timeout = ElectionTimeout { round, ticks };
        }
        raft.set_randomized_election_timeout(self.election_timeout.ticks);
    }

    /// Returns the number of this replica.
    pub fn id(&self) -> u64 {
        self.checkpoint.identity.replica
    }

    /// Returns the record that the group agrees on.
    pub fn record(&self) -> &R {
        &self.state.record
    }

    /// Returns the whole state that the group agrees on.
    pub fn state(&self) -> &GroupState<R> {
        &self.state
    }

    /// Returns the replicas that vote.
    pub fn voters(&self) -> &[u64] {
        self.raw.store().voters()
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Returns the leader of the current term, as far as this replica knows; 0 for none.
    pub fn leader(&self) -> u64 {
        self.raw.raft.leader_id
    }

    /// Returns the index of the last entry that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Returns whether this replica leads and has applied all entries that were committed before
    /// its term. Only then may it decide anything, as it then knows all that earlier leaders
    /// granted.
    pub fn is_ready_to_lead(&self) -> bool {
        self.raw.raft.state == StateRole::Leader && self.raw.raft.apply_to_current_term()
    }

    /// Returns whether this replica holds the leader's lease: it has heard from a majority so
    /// recently that no other replica can lead yet. This ensures that a response without a log
    /// entry of its own (a grant, a status) never comes from a leader that was deposed.
    pub fn holds_leader_lease(&self) -> bool {
        if self.raw.raft.state != StateRole::Leader {
            return false;
        }
        let voters = self.voters();
        let fresh = voters.iter().filter(|id| self.is_fresh(**id)).count();
        fresh > voters.len() / 2
    }

    /// Returns whether a replica was heard from so recently that it does not elect another leader
    /// yet.
    fn is_fresh(&self, replica: u64) -> bool {
        let heard_at = self.heard_at.get(&replica);
        replica == self.id()
            || heard_at
                .is_some_and(|at| self.ticks - at + HEARD_SLACK_TICKS < ELECTION_TICKS as u64)
    }

    /// Returns whether another replica, as this leader knows, has written all entries up to an
    /// index.
    pub fn has_replicated(&self, replica: u64, index: u64) -> bool {
        let progress = self.raw.raft.prs().get(replica);
        progress.is_some_and(|known| known.matched >= index)
    }

    /// Returns the voters that, as this leader knows, have nothing of the record; none where this
    /// replica does not lead.
    pub fn voters_without_record(&self) -> Vec<u64> {
        if !self.is_ready_to_lead() {
            return Vec::new();
        }
        let voters = self.voters().iter().copied();
        voters.filter(|id| !self.has_replicated(*id, 1)).collect()
    }

    /// Advances the group by one tick.
    pub fn tick(&mut self) {
        self.ticks += 1;
        if self.restoring.is_none() {
            self.raw.tick();
            self.set_election_timeout();
        }
    }

    /// Processes a message of another replica.
    ///
    /// # Errors
    /// The message is not from that replica, not for this one, or of a kind that replicas do not
    /// send.
    pub fn step(&mut self, from: u64, bytes: &[u8]) -> Result<(), RefusedMessage> {
        let mut message = Message::default();
        message
            .merge_from_bytes(bytes)
            .map_err(|e| RefusedMessage::Malformed(e.to_string()))?;
        self.check_message(from, &message)?;
        if message.term == self.term() {
            self.heard_at.insert(from, self.ticks);
        }
        // The library cannot process messages while a snapshot is not written yet; messages that
        // are dropped meanwhile are sent again.
        if self.restoring.is_some() {
            return Ok(());
        }
        if let Some(failure) = self.lost_acknowledged(from, &message) {
            self.failure = Some(failure);
            return Ok(());
        }
        // Messages that the library rejects are late or of no use; that is no fault of the
        // connection.
        let _ = self.raw.step(message);
        self.set_election_timeout();
        Ok(())
    }

    fn check_message(&self, from: u64, message: &Message) -> Result<(), RefusedMessage> {
        if message.from != from || message.to != self.id() {
            return Err(RefusedMessage::Misdirected {
                from: message.from,
                to: message.to,
            });
        }
        match message.get_msg_type() {
            MessageType::MsgAppend
            | MessageType::MsgAppendResponse
            | MessageType::MsgRequestVote
            | MessageType::MsgRequestVoteResponse
            | MessageType::MsgRequestPreVote
            | MessageType::MsgRequestPreVoteResponse
            | MessageType::MsgSnapshot
            | MessageType::MsgHeartbeat
            | MessageType::MsgHeartbeatResponse
            | MessageType::MsgTimeoutNow => Ok(()),
            other => Err(RefusedMessage::Kind(format!("{other:?}"))),
        }
    }

    /// Checks whether a heartbeat shows that this replica's folder lost acknowledged entries: a
    /// leader sends a replica no commit index that is higher than what the replica has
    /// acknowledged.
    fn lost_acknowledged(&self, from: u64, message: &Message) -> Option<GroupFailure> {
        let last = self.raw.raft.raft_log.last_index();
        let is_heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
        if !is_heartbeat || message.term < self.term() || message.commit <= last {
            return None;
        }
        Some(GroupFailure::LostAcknowledged {
            last,
            known: message.commit,
            leader: from,
        })
    }

    /// Reports that a message could not be delivered to another replica.
    pub fn report_unreachable(&mut self, replica: u64, was_snapshot: bool) {
        self.raw.report_unreachable(replica);
        if was_snapshot {
            let failed = raft::SnapshotStatus::Failure;
            self.raw.report_snapshot(replica, failed);
        }
    }

    /// Reports that a snapshot was written to the connection.
    pub fn report_snapshot_sent(&mut self, replica: u64) {
        let sent = raft::SnapshotStatus::Finish;
        self.raw.report_snapshot(replica, sent);
    }
}

/// Returns the settings of the library. `check_quorum` deposes a leader that hears from no
/// majority; `pre_vote` prevents a replica that was cut off from deposing a leader that others
/// still hear.
fn library_config<R: ReplicatedState>(checkpoint: &Checkpoint) -> Config {
    Config {
        id: checkpoint.identity.replica,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: checkpoint.index,
        max_size_per_msg: R::LIMITS.message,
        max_inflight_msgs: MAX_INFLIGHT_APPENDS,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: R::LIMITS.uncommitted,
        max_committed_size_per_ready: R::LIMITS.message,
        ..Config::default()
    }
}

/// Returns a logger that discards the library's own log lines; relevant changes are reported as
/// [`GroupEvent`]s.
fn no_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

#[cfg(test)]
mod tests;
