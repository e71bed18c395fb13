//! A group that agrees, as one machine of the `raft` library: no file, no socket, no clock. The
//! keepers of a site are one, which agrees on the site's record; the sites of a federation are
//! another, of the same code. Below a member is called a keeper.
//!
//! What has to be written comes out of [`RaftGroup::piece`] and goes back as [`RaftGroup::saved`]; only
//! then come out the messages that rely on it. What is agreed comes out of [`RaftGroup::work`], in the
//! order in which all keepers see it.
//!
//! # Who may vote
//!
//! A keeper that has lost its folder has forgotten what it voted and what it acknowledged; would it
//! vote as the old one, two leaders could stand in one term and what was agreed could be lost. So a
//! vote belongs to a folder and not to a number. Each folder has an *incarnation*, drawn when it is
//! begun. A group has the incarnation of each of its members in what it agrees on, and a keeper
//! hears only those. There are two ways to become a member:
//!
//! - *The first start of a site* (`begin = true`, an empty folder). The keepers tell each other
//!   their incarnations and write down those of the others; one takes part when all others have
//!   said that they have written down its own. So whoever has ever voted or acknowledged anything
//!   is known, with its folder, to all: one that comes again without it is refused by each of the
//!   others, never hears from all of them, and never begins. A first start that breaks off with a
//!   folder lost is begun anew with empty folders.
//! - *By an order* (`Add`). The leader asks the new keeper for its incarnation, and both become
//!   agreed in one entry. A keeper that has not applied that entry does not count the new one as a
//!   voter and does not hear it.
//!
//! Numbers of keepers that were removed are never used again; the group refuses them.

use crate::coordination::raft_log::{
    Batch, Checkpoint, LogEntry, LogItem, MemoryStorage, MAX_CHECKPOINT_BYTES,
};
use crate::coordination::record::{self, Record};
use crate::coordination::routing_table::federation::{self, Federation};
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry, EntryType, Message, MessageType};
use raft::{Config, RawNode, StateRole};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Ticks without a word of the leader after which another one stands, at least; at most twice as
/// many.
pub const ELECTION_TICKS: usize = 10;
/// Ticks between two words of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks by which others may have heard the leader earlier than it hears of that.
const HEARD_SLACK_TICKS: u64 = 2;
/// Messages with entries that are out to one keeper at once.
const MAX_INFLIGHT_APPENDS: usize = 16;
/// Longest command of a site's record, in bytes: what its voice in a federation writes down is a
/// [`LogItem`] of that.
pub const MAX_COMMAND_BYTES: usize = 128 * 1024;

/// What may be how long, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct SizeLimits {
    /// A command.
    pub command: usize,
    /// Entries in one message, unless one entry is longer.
    pub message: u64,
    /// Proposals that are not agreed yet; more are refused.
    pub proposed: u64,
    /// Batches up to this size are written as one.
    pub merged: usize,
    /// Entries that a base may have behind its snapshot; with more, it waits.
    pub tail: usize,
    /// A base.
    pub base: usize,
}

/// What is agreed: each member applies the same commands in the same order and comes to the same.
pub trait ReplicatedState:
    Clone + Default + std::fmt::Debug + PartialEq + Serialize + DeserializeOwned
{
    /// A change of it.
    type Command: Clone + std::fmt::Debug + PartialEq + Serialize + DeserializeOwned;
    /// What may be how long.
    const BOUNDS: SizeLimits;

    /// Applies the command that stands at this place of the log.
    fn apply(&mut self, index: u64, command: &Self::Command);

    /// What stands behind all else in a snapshot, as older programs did not know it.
    fn later(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Reads that, also where an older program wrote less of it.
    ///
    /// # Errors
    /// It is of another form.
    fn read_later(&mut self, bytes: &[u8]) -> Result<(), postcard::Error> {
        match bytes {
            [] => Ok(()),
            _ => Err(postcard::Error::DeserializeBadEncoding),
        }
    }
}

impl ReplicatedState for Record {
    type Command = record::Command;
    const BOUNDS: SizeLimits = SizeLimits {
        command: MAX_COMMAND_BYTES,
        message: 64 * 1024,
        proposed: 384 * 1024,
        merged: 256 * 1024,
        tail: 128 * 1024,
        base: MAX_CHECKPOINT_BYTES,
    };

    fn apply(&mut self, index: u64, command: &record::Command) {
        Record::apply(self, index, command);
    }

    fn later(&self) -> Vec<u8> {
        postcard::to_stdvec(&(&self.policies, &self.tables, &self.written)).unwrap_or_default()
    }

    fn read_later(&mut self, bytes: &[u8]) -> Result<(), postcard::Error> {
        if !bytes.is_empty() {
            let (policies, later) = postcard::take_from_bytes(bytes)?;
            self.policies = policies;
            if !later.is_empty() {
                (self.tables, self.written) = postcard::from_bytes(later)?;
            }
        }
        Ok(())
    }
}

impl ReplicatedState for Federation {
    type Command = federation::Command;
    // The snapshot has three tables of 16 KiB and some 20 KiB round them; with its tail, and as any
    // batch, it fits in a command of a site's record.
    const BOUNDS: SizeLimits = SizeLimits {
        command: 24 * 1024,
        message: 24 * 1024,
        proposed: 48 * 1024,
        merged: 64 * 1024,
        tail: 24 * 1024,
        base: MAX_COMMAND_BYTES - 4 * 1024,
    };

    fn apply(&mut self, index: u64, command: &federation::Command) {
        Federation::apply(self, index, command);
    }
}

/// A keeper as the group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Where it listens.
    pub at: String,
    /// Its folder.
    pub incarnation: u64,
}

/// What the group agrees on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct GroupState<R: ReplicatedState = Record> {
    /// The record.
    pub record: R,
    /// The keepers.
    pub members: BTreeMap<u64, GroupMember>,
    /// Numbers that were keepers.
    pub removed: BTreeSet<u64>,
}

impl<R: ReplicatedState> GroupState<R> {
    /// As it goes into a snapshot. What came later stands behind what older programs wrote.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.extend(self.record.later());
        bytes
    }

    /// Reads a snapshot, also one of an older program.
    ///
    /// # Errors
    /// It is of another form.
    pub fn read(bytes: &[u8]) -> Result<GroupState<R>, postcard::Error> {
        let (mut held, later) = postcard::take_from_bytes::<GroupState<R>>(bytes)?;
        held.record.read_later(later)?;
        Ok(held)
    }
}

/// Something that was agreed, or that became of this keeper.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupEvent<C = record::Command> {
    /// A command was applied to the record.
    Applied(u64, C),
    /// A keeper came or went, by the entry of this number.
    MembersChanged(u64, u64),
    /// The record came whole, from another keeper.
    SnapshotRestored(u64),
    /// Who leads and in which term, where that changed; nobody is 0.
    LeaderChanged(u64, u64),
}

/// Why the group cannot go on; its keeper stops.
#[derive(Debug, thiserror::Error)]
pub enum GroupFailure {
    /// The library.
    #[error("the group: {0}")]
    Raft(#[from] raft::Error),
    /// Something agreed that this program cannot read: it must not go on without it.
    #[error("what was agreed cannot be read: {0}")]
    Unreadable(String),
    /// The folder lost what this keeper had acknowledged, and with it maybe a vote.
    #[error(
        "the folder ends at place {last}, and keeper {leader}, which leads, knows that it held {known}: what was acknowledged is lost, \
         and this keeper may not vote again: remove it from the group and add one under another number"
    )]
    LostAcknowledged {
        /// The last place that it has.
        last: u64,
        /// The last one that it had, as far as the leader knows.
        known: u64,
        /// Who leads.
        leader: u64,
    },
}

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another keeper leads, or none.
    #[error("this keeper does not lead")]
    NotLeader,
    /// One change after another.
    #[error("another change of the keepers is not done yet")]
    ChangePending,
    /// A number that was used.
    #[error("that number was used: another keeper needs another number")]
    NumberUsed,
    /// Not a keeper.
    #[error("no keeper has that number")]
    UnknownReplica,
    /// The last one.
    #[error("the last keeper cannot go")]
    LastReplica,
    /// It leads; another one is asked to lead.
    #[error("it leads: another keeper is asked to lead, order it again there")]
    LeadershipTransferring,
    /// Too much at once, or too long.
    #[error("too much is waiting to be agreed")]
    TooMuchPending,
}

/// The machine.
pub struct RaftGroup<R: ReplicatedState = Record> {
    raw: RawNode<MemoryStorage>,
    random: fastrand::Rng,
    /// How long it waits for a leader, in ticks, and when that was drawn.
    waits: ((u64, u64, StateRole), usize),
    base: Checkpoint,
    held: GroupState<R>,
    /// The last entry that was applied.
    applied: u64,
    /// Ticks so far, and when each other keeper was last heard.
    ticks: u64,
    heard: BTreeMap<u64, u64>,
    unsaved: VecDeque<(u64, LogItem)>,
    saving: Option<u64>,
    /// Messages that go when everything up to a number is saved.
    waiting: VecDeque<(u64, Vec<Message>)>,
    out: Vec<Message>,
    /// A snapshot of another keeper that is not written yet.
    restoring: Option<u64>,
    /// Why it must not go on, as a message shows.
    forgot: Option<GroupFailure>,
    leads: (u64, u64),
}

fn quiet() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

impl<R: ReplicatedState> RaftGroup<R> {
    /// Goes on with what was written down, perhaps without a sync: so the first that it writes is
    /// that. When it stands for election is drawn from the seed.
    pub fn new(base: Checkpoint, seed: u64) -> Result<RaftGroup<R>, GroupFailure> {
        let mut group = RaftGroup::resumed(base.clone(), seed)?;
        group
            .unsaved
            .push_back((0, LogItem::Checkpoint(Box::new(base))));
        Ok(group)
    }

    /// The same where what was written down is known to stay.
    pub fn resumed(base: Checkpoint, seed: u64) -> Result<RaftGroup<R>, GroupFailure> {
        let held: GroupState<R> = GroupState::read(&base.held)
            .map_err(|e| GroupFailure::Unreadable(format!("the snapshot: {e}")))?;
        let shelf = MemoryStorage::new(&base).map_err(GroupFailure::Unreadable)?;
        let config = Config {
            id: base.identity.keeper,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: base.index,
            max_size_per_msg: R::BOUNDS.message,
            max_inflight_msgs: MAX_INFLIGHT_APPENDS,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: R::BOUNDS.proposed,
            max_committed_size_per_ready: R::BOUNDS.message,
            ..Config::default()
        };
        let raw = RawNode::new(&config, shelf, &quiet())?;
        let mut group = RaftGroup {
            raw,
            random: fastrand::Rng::with_seed(seed),
            waits: ((u64::MAX, 0, StateRole::Follower), ELECTION_TICKS),
            held,
            applied: base.index,
            base: base.bare(),
            ticks: 0,
            heard: BTreeMap::new(),
            unsaved: VecDeque::new(),
            saving: None,
            waiting: VecDeque::new(),
            out: Vec::new(),
            restoring: None,
            forgot: None,
            leads: (0, 0),
        };
        group.draw();
        Ok(group)
    }

    /// Draws when it stands, anew where the library would. What that draws itself has no seed, and
    /// is not used.
    fn draw(&mut self) {
        let now = (
            self.raw.raft.term,
            self.raw.raft.leader_id,
            self.raw.raft.state,
        );
        if self.waits.0 != now {
            self.waits = (now, self.random.usize(ELECTION_TICKS..2 * ELECTION_TICKS));
        }
        self.raw.raft.set_randomized_election_timeout(self.waits.1);
    }

    /// This keeper's number.
    pub fn me(&self) -> u64 {
        self.base.identity.keeper
    }

    /// The record.
    pub fn record(&self) -> &R {
        &self.held.record
    }

    /// What is agreed.
    pub fn held(&self) -> &GroupState<R> {
        &self.held
    }

    /// Who votes.
    pub fn voters(&self) -> &[u64] {
        self.raw.store().voters()
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Who leads, as far as this keeper knows; 0 for nobody.
    pub fn leader(&self) -> u64 {
        self.raw.raft.leader_id
    }

    /// The last entry that was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether this keeper leads and has applied all that was agreed before its term.
    pub fn is_ready_to_lead(&self) -> bool {
        self.raw.raft.state == StateRole::Leader && self.raw.raft.apply_to_current_term()
    }

    /// Whether, as a leader, it has heard a majority lately enough that nobody else can lead by
    /// now.
    pub fn leads_for_certain(&self) -> bool {
        if self.raw.raft.state != StateRole::Leader {
            return false;
        }
        let me = self.me();
        let fresh = |id: &&u64| {
            **id == me
                || self
                    .heard
                    .get(id)
                    .is_some_and(|at| self.ticks - at + HEARD_SLACK_TICKS < ELECTION_TICKS as u64)
        };
        let voters = self.voters();
        voters.iter().filter(fresh).count() > voters.len() / 2
    }

    /// Whether, as this leader knows, another keeper has written down all up to an entry.
    pub fn has(&self, keeper: u64, index: u64) -> bool {
        self.raw
            .raft
            .prs()
            .get(keeper)
            .is_some_and(|known| known.matched >= index)
    }

    /// Voters that, as this leader knows, have nothing of the record; nobody, where it does not
    /// lead.
    pub fn without_record(&self) -> Vec<u64> {
        let voters = self.voters().iter().copied();
        voters
            .filter(|id| self.is_ready_to_lead() && !self.has(*id, 1))
            .collect()
    }

    /// Time has passed.
    pub fn tick(&mut self) {
        self.ticks += 1;
        if self.restoring.is_none() {
            self.raw.tick();
            self.draw();
        }
    }

    /// Another keeper's message. One that is not from it, not for this one or of no kind that
    /// keepers send is refused.
    pub fn step(&mut self, from: u64, bytes: &[u8]) -> Result<(), String> {
        let mut message = Message::default();
        message.merge_from_bytes(bytes).map_err(|e| e.to_string())?;
        if message.from != from || message.to != self.me() {
            return Err(format!("a message from {} to {}", message.from, message.to));
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
            | MessageType::MsgTimeoutNow => {}
            other => return Err(format!("a message of kind {other:?}")),
        }
        if message.term == self.term() {
            self.heard.insert(from, self.ticks);
        }
        // The library can do nothing with a snapshot that is not written yet; what is lost
        // meanwhile is sent again.
        if self.restoring.is_some() {
            return Ok(());
        }
        // A leader says no more of what is agreed than this keeper has acknowledged.
        let (last, known) = (self.raw.raft.raft_log.last_index(), message.commit);
        let leads =
            message.get_msg_type() == MessageType::MsgHeartbeat && message.term >= self.term();
        if leads && known > last {
            self.forgot = Some(GroupFailure::LostAcknowledged {
                last,
                known,
                leader: from,
            });
            return Ok(());
        }
        // What the library refuses is late or of no use, and no fault of the line.
        let _ = self.raw.step(message);
        self.draw();
        Ok(())
    }

    /// A message could not be brought to another keeper.
    pub fn unreachable(&mut self, keeper: u64, snapshot: bool) {
        self.raw.report_unreachable(keeper);
        if snapshot {
            self.raw
                .report_snapshot(keeper, raft::SnapshotStatus::Failure);
        }
    }

    /// A snapshot was handed to the line.
    pub fn snapshot_sent(&mut self, keeper: u64) {
        self.raw
            .report_snapshot(keeper, raft::SnapshotStatus::Finish);
    }

    /// Brings a command before the group; whether it is agreed is told by [`GroupEvent::Applied`], or
    /// never.
    pub fn propose(&mut self, command: &R::Command) -> Result<(), ProposeError> {
        let data = postcard::to_stdvec(command).map_err(|_| ProposeError::TooMuchPending)?;
        if self.raw.raft.state != StateRole::Leader {
            return Err(ProposeError::NotLeader);
        }
        if data.len() > R::BOUNDS.command {
            return Err(ProposeError::TooMuchPending);
        }
        self.raw
            .propose(Vec::new(), data)
            .map_err(|_| ProposeError::TooMuchPending)
    }

    fn change(
        &mut self,
        kind: ConfChangeType,
        keeper: u64,
        context: Vec<u8>,
    ) -> Result<(), ProposeError> {
        if !self.is_ready_to_lead() {
            return Err(ProposeError::NotLeader);
        }
        // The library would turn it into nothing, silently.
        if self.raw.raft.has_pending_conf() {
            return Err(ProposeError::ChangePending);
        }
        let mut change = ConfChange {
            node_id: keeper,
            ..ConfChange::default()
        };
        change.set_change_type(kind);
        self.raw
            .propose_conf_change(context, change)
            .map_err(|_| ProposeError::TooMuchPending)
    }

    /// Whether a keeper of this number may be added.
    pub fn may_add(&self, keeper: u64) -> Result<(), ProposeError> {
        match keeper {
            0 => Err(ProposeError::UnknownReplica),
            n if self.held.removed.contains(&n) || self.held.members.contains_key(&n) => {
                Err(ProposeError::NumberUsed)
            }
            _ => Ok(()),
        }
    }

    /// Adds a keeper.
    pub fn add(&mut self, keeper: u64, member: &GroupMember) -> Result<(), ProposeError> {
        self.may_add(keeper)?;
        let context = postcard::to_stdvec(member).map_err(|_| ProposeError::TooMuchPending)?;
        self.change(ConfChangeType::AddNode, keeper, context)
    }

    /// Removes a keeper.
    pub fn remove(&mut self, keeper: u64) -> Result<(), ProposeError> {
        if !self.voters().contains(&keeper) {
            return Err(ProposeError::UnknownReplica);
        }
        if self.voters().len() == 1 {
            return Err(ProposeError::LastReplica);
        }
        if keeper == self.me() {
            return self
                .hand_on()
                .and(Err(ProposeError::LeadershipTransferring));
        }
        self.change(ConfChangeType::RemoveNode, keeper, Vec::new())
    }

    /// Asks another keeper to lead: the one that was heard last.
    pub fn hand_on(&mut self) -> Result<(), ProposeError> {
        let me = self.me();
        let others = self.voters().iter().filter(|id| **id != me);
        let next = others.max_by_key(|id| self.heard.get(id)).copied();
        self.raw
            .transfer_leader(next.ok_or(ProposeError::LastReplica)?);
        Ok(())
    }

    /// Whether a base may be written now: nothing is on its way to the disk, and what would stand
    /// behind it is short.
    fn may_compact(&self) -> bool {
        let last = self.raw.raft.raft_log.last_index();
        let tail = self.raw.raft.raft_log.unstable_entries().is_empty()
            && last.saturating_sub(self.applied) < (R::BOUNDS.tail / 32) as u64;
        self.unsaved.is_empty() && self.saving.is_none() && tail && self.applied > self.base.index
    }

    /// Begins a new base, if that is possible now.
    pub fn compact(&mut self) {
        if !self.may_compact() {
            return;
        }
        let data = self.held.bytes();
        let base = self.base.of(
            self.raw.store(),
            self.voters().to_vec(),
            data.clone(),
            self.applied,
        );
        let tail: usize = base.entries.iter().map(LogEntry::size).sum();
        if tail > R::BOUNDS.tail || data.len() + tail > R::BOUNDS.base {
            return;
        }
        self.raw.mut_store().compact(self.applied, data);
        let number = self.waiting.back().map_or(0, |w| w.0);
        self.base = base.bare();
        self.unsaved
            .push_back((number, LogItem::Checkpoint(Box::new(base))));
    }

    /// What is to be written next; nothing while something is being written. It is given again
    /// until it is saved.
    pub fn piece(&mut self) -> Option<LogItem> {
        if self.saving.is_some() {
            return None;
        }
        let (mut number, mut piece) = self.unsaved.pop_front()?;
        while let (LogItem::Batch(batch), Some((_, LogItem::Batch(next)))) =
            (&mut piece, self.unsaved.front())
        {
            if batch.size() + next.size() > R::BOUNDS.merged {
                break;
            }
            if let Some((n, LogItem::Batch(next))) = self.unsaved.pop_front() {
                batch.merge(next);
                number = n;
            }
        }
        self.saving = Some(number);
        Some(piece)
    }

    /// What [`RaftGroup::piece`] gave is written.
    pub fn saved(&mut self) {
        let Some(number) = self.saving.take() else {
            return;
        };
        self.persisted(number);
    }

    /// All that was to be written up to this number is; and what comes after it, as far as it needs
    /// no writing.
    fn persisted(&mut self, number: u64) {
        let next = self.unsaved.front().map_or(u64::MAX, |(n, _)| *n);
        let mut upto = number;
        while self
            .waiting
            .front()
            .is_some_and(|(n, _)| *n <= number || *n < next)
        {
            if let Some((n, messages)) = self.waiting.pop_front() {
                upto = upto.max(n);
                self.out.extend(messages);
            }
        }
        if upto > 0 {
            self.raw.on_persist_ready(upto);
            self.restoring = self.restoring.filter(|n| *n > upto);
            self.was_applied();
        }
    }

    /// Tells the library how far this keeper is; a snapshot counts only when it is written.
    fn was_applied(&mut self) {
        let log = &self.raw.raft.raft_log;
        let upto = self.applied.min(log.committed).min(log.persisted);
        if upto > log.applied {
            self.raw.advance_apply_to(upto);
        }
    }

    /// Goes on as far as it can. Gives messages to send, each with the keeper that it is for, and
    /// tells what happened.
    pub fn work(
        &mut self,
        events: &mut Vec<GroupEvent<R::Command>>,
    ) -> Result<Vec<Message>, GroupFailure> {
        if let Some(forgot) = self.forgot.take() {
            return Err(forgot);
        }
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            self.out.extend(ready.take_messages());
            let number = ready.number();
            if let Some(hard) = ready.hs() {
                self.raw.mut_store().hard = hard.clone();
            }
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                self.held = GroupState::read(&snapshot.data)
                    .map_err(|e| GroupFailure::Unreadable(format!("the snapshot: {e}")))?;
                self.applied = snapshot.get_metadata().index;
                let data = snapshot.data.to_vec();
                self.raw.mut_store().restore(snapshot);
                let (store, index) = (self.raw.store(), self.applied);
                let base = self.base.of(store, store.voters().to_vec(), data, index);
                self.base = base.bare();
                self.unsaved
                    .push_back((number, LogItem::Checkpoint(Box::new(base))));
                self.restoring = Some(number);
                events.push(GroupEvent::SnapshotRestored(self.applied));
            }
            self.raw.mut_store().append(ready.entries());
            if ready.must_sync() {
                let entries = ready.entries().iter().map(LogEntry::of).collect();
                let batch = Batch {
                    hard: super::raft_log::PersistedHardState::of(&self.raw.store().hard),
                    entries,
                };
                self.unsaved.push_back((number, LogItem::Batch(batch)));
            }
            self.waiting
                .push_back((number, ready.take_persisted_messages()));
            let agreed = ready.take_committed_entries();
            self.raw.advance_append_async(ready);
            for entry in agreed {
                self.apply(entry, events)?;
            }
            self.was_applied();
            if self.unsaved.is_empty() && self.saving.is_none() {
                self.persisted(number);
            }
        }
        let leads = (self.leader(), self.term());
        if leads != self.leads {
            self.leads = leads;
            events.push(GroupEvent::LeaderChanged(leads.0, leads.1));
        }
        Ok(std::mem::take(&mut self.out))
    }

    fn apply(
        &mut self,
        entry: Entry,
        events: &mut Vec<GroupEvent<R::Command>>,
    ) -> Result<(), GroupFailure> {
        let index = entry.index;
        match entry.get_entry_type() {
            // A leader's first entry, and what the library emptied.
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => {
                let command: R::Command = postcard::from_bytes(&entry.data)
                    .map_err(|e| GroupFailure::Unreadable(format!("entry {index}: {e}")))?;
                self.held.record.apply(index, &command);
                events.push(GroupEvent::Applied(index, command));
            }
            EntryType::EntryConfChange => {
                let mut change = ConfChange::default();
                let read = change.merge_from_bytes(&entry.data);
                read.map_err(|e| GroupFailure::Unreadable(format!("entry {index}: {e}")))?;
                let keeper = change.node_id;
                match change.get_change_type() {
                    ConfChangeType::RemoveNode => {
                        self.held.members.remove(&keeper);
                        self.held.removed.insert(keeper);
                    }
                    _ => {
                        let member = postcard::from_bytes(&entry.context)
                            .map_err(|e| GroupFailure::Unreadable(format!("entry {index}: {e}")))?;
                        self.held.members.insert(keeper, member);
                    }
                }
                let conf = self.raw.apply_conf_change(&change)?;
                let data = self.held.bytes();
                self.raw.mut_store().set_conf(conf, index, data);
                events.push(GroupEvent::MembersChanged(index, keeper));
            }
            EntryType::EntryConfChangeV2 => {
                return Err(GroupFailure::Unreadable(format!(
                    "entry {index}: a change of many keepers at once"
                )))
            }
        }
        self.applied = index;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
