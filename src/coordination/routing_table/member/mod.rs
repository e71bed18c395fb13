//! A site's member of the federation's raft group, run by whichever replica leads the site.
//!
//! It owns the member's raft state, its lease, the roster changes of the leading site and the
//! handshake with other members. It does no I/O and reads no clock: `coordination::replica` tells
//! it the time, what arrived and what the site's log has applied, and carries out the
//! [`MemberEffect`]s it returns. What the routing tables say and when a site cuts over is not
//! decided here but in [`cutover`](super::cutover).
//!
//! # Durable vote and fencing
//!
//! What the member has to persist goes into the site's own record
//! ([`DurableVote`](super::durable_vote::DurableVote)). A new leader of the site begins with a
//! fence there, resumes from what the record then holds, and sends what relies on a piece only when
//! the record has that piece. Invariant: nothing of an earlier leader's member is appended after a
//! later one began, and whatever the earlier one had sent stands in what the later one resumes
//! from. So the site votes once in a term, as raft requires.
//!
//! An earlier member may go on sending for a while. As a follower it sends what was persisted. As
//! the raft leader of a term, the library lets its messages go before they are persisted: entries
//! that it appends in that term, in which no other member of the site ever leads, as a later one
//! resumes as a follower and leads in a later term only. Those that take these entries count for
//! themselves; it does not count itself before they are persisted, which they never are. So what it
//! commits is committed by a majority of others.
//!
//! # Leases
//!
//! They work as the senders' leases ([`leader`](crate::coordination::leader)): the holder counts 98
//! in 100 of a lease from when it sent the request, the granting leader counts 102 in 100 from when
//! it answered, and grants only until
//! [`LEASE_GRANT_WINDOW_MS`](super::federation::LEASE_GRANT_WINDOW_MS) after it proposed the last
//! heartbeat that was committed. The length of leases is committed before the first one is granted.
//! A new leader counts from its own start what an earlier one may have granted.
//!
//! # Modules
//!
//! [`settings`] and [`messages`] are what callers hand in; `vote_persistence` fences and persists,
//! `peers` admits other members, `replication` runs the raft group, `lease` asks for this site's
//! lease, `roster_orders` forwards operators' orders; `leadership` and `roster_change` are what the
//! leading site does beyond that.

use crate::coordination::bootstrap::Bootstrap;
use crate::coordination::leader::ConnectionId;
use crate::coordination::messages::OperatorResponse;
use crate::coordination::raft_group::{GroupState, RaftGroup};
use crate::coordination::record::{self, Record};
use crate::coordination::routing_table::federation::Federation;
use crate::coordination::routing_table::federation_view::FederationView;
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

mod change_log;
mod leadership;
mod lease;
pub mod messages;
mod peers;
mod pending_roster_change;
mod replication;
mod roster_change;
mod roster_orders;
pub mod settings;
mod vote_persistence;

pub use messages::{MemberMessage, MessageError};
pub use peers::MemberAdmission;
pub use pending_roster_change::IncarnationUnknown;
pub use settings::{MemberSettings, SiteAddress, MAX_ADDRESSES_PER_SITE};

/// A proposal that is not committed within this time is made again, in nanoseconds: ten times what
/// a slow disk takes.
const PROPOSAL_TIMEOUT: Nanos = 1_000_000_000;

/// Something that the caller has to do for the member.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Append this to the site's log. It is returned again as long as the site's record does not
    /// show it.
    ProposeToSite(record::Command),
    /// Send this to another site's member. It may be lost.
    Send {
        /// The other site.
        to: u64,
        /// What to send.
        message: MemberMessage,
    },
    /// Send a message of the raft group; whether it went is to be told by
    /// [`FederationMember::on_sent`].
    SendRaft {
        /// The other site.
        to: u64,
        /// What to send.
        message: MemberMessage,
        /// Whether it has a snapshot.
        has_snapshot: bool,
    },
    /// Answer an operator.
    Answer {
        /// The operator's connection.
        connection: ConnectionId,
        /// The answer.
        answer: OperatorResponse,
    },
    /// Ask a site for its incarnation; answered by [`FederationMember::on_incarnation`].
    RequestIncarnation {
        /// The site.
        site: u64,
        /// Where its replicas listen.
        addresses: Vec<SocketAddr>,
    },
}

/// How far the member has come.
enum Stage {
    /// The fence is not committed to the site's record yet.
    Fencing,
    /// The identity is not committed yet, or the federation has not begun.
    Bootstrapping(Box<Bootstrap>),
    /// It takes part in the raft group.
    Participating(Box<RaftGroup<Federation>>),
    /// It cannot go on, and why.
    Failed(String),
}

/// A site's member of the federation.
pub struct FederationMember {
    settings: MemberSettings,
    /// The raft term in which this replica leads its site.
    site_term: u64,
    rng: fastrand::Rng,
    stage: Stage,
    write: vote_persistence::PendingWrite,
    /// Up to when the raft clock was advanced.
    ticked_until: Nanos,
    /// When each other site was heard last.
    last_heard: BTreeMap<u64, Nanos>,
    lease: lease::LeaseClient,
    /// What this site does as the leading one; nothing where it does not lead.
    leadership: Option<leadership::Leadership>,
    orders: roster_orders::ForwardedOrders,
    view: FederationView,
    logged: Option<change_log::LoggedState>,
}

/// Nanoseconds of so many milliseconds.
fn nanos_of_ms(ms: u32) -> Nanos {
    Nanos::from(ms) * 1_000_000
}

impl FederationMember {
    /// Starts the member of the site that this replica leads in `site_term`.
    ///
    /// It sends nothing before the site's record has its fence.
    pub fn new(
        settings: MemberSettings,
        site_term: u64,
        now: Nanos,
        record: &Record,
        seed: u64,
    ) -> FederationMember {
        let mut rng = fastrand::Rng::with_seed(seed);
        let lease = lease::LeaseClient::new(&mut rng);
        let orders = roster_orders::ForwardedOrders::new(&mut rng);
        let view = FederationView {
            name: settings.federation.clone(),
            own_site: settings.site_number,
            record: Arc::new(last_persisted_record(record)),
            leader: 0,
            reachable_sites: BTreeSet::new(),
            lease_until: None,
            holds_after_lease: settings.holds_after_lease,
        };
        FederationMember {
            settings,
            site_term,
            rng,
            stage: Stage::Fencing,
            write: vote_persistence::PendingWrite::new(now),
            ticked_until: now,
            last_heard: BTreeMap::new(),
            lease,
            leadership: None,
            orders,
            view,
            logged: None,
        }
    }

    /// The federation, as far as this site knows it.
    pub fn view(&self) -> &FederationView {
        &self.view
    }

    /// The raft group, where the site takes part in it.
    pub fn group(&self) -> Option<&RaftGroup<Federation>> {
        match &self.stage {
            Stage::Participating(group) => Some(group),
            _ => None,
        }
    }

    /// The term in which this replica leads its site: the member of a later term supersedes it.
    pub fn term(&self) -> u64 {
        self.site_term
    }

    /// The incarnation under which other sites know this one, once the site's record has it.
    pub fn incarnation(&self, record: &Record) -> Option<u64> {
        match &self.stage {
            Stage::Bootstrapping(_) | Stage::Participating(_) => {
                let identity = &record.durable_vote.base.as_ref()?.identity;
                (identity.replica == self.settings.site_number).then_some(identity.incarnation)
            }
            Stage::Fencing | Stage::Failed(_) => None,
        }
    }

    /// Advances time; to be called some ten times a second, and before messages that arrived while
    /// the replica stood still.
    pub fn on_tick(&mut self, now: Nanos, record: &Record, effects: &mut Vec<MemberEffect>) {
        self.repeat_overdue_proposal(now, effects);
        self.advance_raft_clock(now);
        self.continue_bootstrap(now, record, effects);
        self.run_group(now, effects);
        self.lead(now, effects);
        self.request_lease(now, effects);
        self.expire_reachability(now);
        self.expire_forwarded_orders(now, effects);
        self.run_group(now, effects);
    }

    /// Handles a message of another site's member.
    ///
    /// # Errors
    /// No member sends this: the connection is to be closed.
    pub fn on_message(
        &mut self,
        now: Nanos,
        from: u64,
        message: MemberMessage,
        effects: &mut Vec<MemberEffect>,
    ) -> Result<(), MessageError> {
        let Stage::Participating(group) = &mut self.stage else {
            return Ok(());
        };
        self.last_heard.insert(from, now);
        match message {
            MemberMessage::Raft(bytes) => group
                .step(from, &bytes)
                .map_err(MessageError::InvalidRaftMessage)?,
            MemberMessage::Command(command) => self.on_command(now, from, *command, effects),
            MemberMessage::LeaseRequest(ask) => self.on_lease_request(now, from, ask, effects),
            MemberMessage::LeaseGranted {
                ask,
                lease_ms,
                version,
            } => self.on_lease_granted(from, ask, lease_ms, version),
            MemberMessage::RosterOrder { id, order } => {
                let requester = pending_roster_change::Requester::Remote { site: from, id };
                self.carry_out_order(now, requester, &order, effects);
            }
            MemberMessage::RosterOrderResult { id, answer } => {
                self.on_order_result(id, answer, effects);
            }
        }
        self.run_group(now, effects);
        Ok(())
    }

    /// Stops the member: operators that wait are told to ask elsewhere.
    pub fn shut_down(&mut self, effects: &mut Vec<MemberEffect>) {
        let own_order = self.leadership.take().and_then(|l| l.local_requester());
        let waiting = self.orders.drain_connections().chain(own_order);
        effects.extend(waiting.map(|connection| MemberEffect::Answer {
            connection,
            answer: OperatorResponse::NotLeader(None),
        }));
    }

    /// How this member is called in the log.
    fn log_name(&self) -> String {
        format!("federation {}", self.settings.federation)
    }

    /// Stops taking part for good.
    fn fail(&mut self, why: String) {
        log::error!("{}: this site takes no part: {why}", self.log_name());
        self.stage = Stage::Failed(why);
        self.leadership = None;
    }
}

/// What the site knew last of the federation's record: all it knows until the group is heard.
fn last_persisted_record(record: &Record) -> Federation {
    let base = record.durable_vote.base.as_deref();
    let snapshot = base.and_then(|base| GroupState::<Federation>::decode(&base.state).ok());
    snapshot.unwrap_or_default().record
}
