//! A site's member of the federation's raft group, run by the replica that leads the site.
//!
//! This module owns the member's raft state, its lease, the roster changes of the leading site and
//! the handshake with other members. It does no I/O and reads no clock: `coordination::replica`
//! passes in the time, received messages and the applied entries of the site's log, and carries out
//! the [`MemberEffect`]s it returns. The content of routing tables and the time of a cutover are
//! decided in [`cutover`](super::cutover).
//!
//! # Durable vote and fencing
//!
//! The member persists its state in the site's own record
//! ([`DurableVote`](super::durable_vote::DurableVote)). A new leader of the site first commits a
//! fence there and resumes from what the record then holds. It sends a message only after the
//! record has the item that the message relies on. Invariant: nothing of an earlier leader's member
//! is appended after a later one has begun, and the state from which the later one resumes contains
//! whatever the earlier one's messages relied on. So the site votes once in a term, as raft
//! requires.
//!
//! An earlier member may continue to send for a while. As a follower, it sends only what was
//! persisted. As the raft leader of a term, the library releases its messages before they are
//! persisted: these contain entries that it appends in that term. No other member of the site ever
//! leads in the same term, because a later one resumes as a follower and can lead only in a later
//! term. The members that receive these entries count for themselves; the earlier member does not
//! count itself before the entries are persisted, which never happens. So whatever it commits is
//! committed by a majority of the other members.
//!
//! # Leases
//!
//! Leases work like the senders' leases ([`leader`](crate::coordination::leader)). The holder
//! counts 98 % of a lease from the time it sent the request; the granting leader counts 102 % from
//! the time it responded. The leader grants leases only until
//! [`LEASE_GRANT_WINDOW_MS`](super::federation::LEASE_GRANT_WINDOW_MS) after it proposed the last
//! committed heartbeat. The length of leases is committed before the first one is granted. A new
//! leader assumes that the leases of earlier leaders run from its own start.
//!
//! # Modules
//!
//! [`settings`] and [`messages`] define the inputs of callers. `vote_persistence` fences and
//! persists, `peers` admits other members, `replication` runs the raft group, `lease` requests this
//! site's lease, and `roster_orders` forwards operators' orders. `leadership` and `roster_change`
//! are the additional duties of the leading site.

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

/// Time after which an uncommitted proposal is made again, in nanoseconds: ten times the delay of a
/// slow disk.
const PROPOSAL_TIMEOUT: Nanos = 1_000_000_000;

/// An action that the caller has to carry out for the member.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Append this command to the site's log. It is returned again until the site's record contains
    /// it.
    ProposeToSite(record::Command),
    /// Send this message to another site's member. It may be lost.
    Send {
        /// Number of the other site.
        to: u64,
        /// The message.
        message: MemberMessage,
    },
    /// Send a message of the raft group, and report with [`FederationMember::on_sent`] whether it
    /// was sent.
    SendRaft {
        /// Number of the other site.
        to: u64,
        /// The message.
        message: MemberMessage,
        /// Whether the message contains a snapshot.
        has_snapshot: bool,
    },
    /// Respond to an operator.
    Answer {
        /// The operator's connection.
        connection: ConnectionId,
        /// The response.
        answer: OperatorResponse,
    },
    /// Request a site's incarnation; the result goes to [`FederationMember::on_incarnation`].
    RequestIncarnation {
        /// Number of the site.
        site: u64,
        /// Addresses on which its replicas listen.
        addresses: Vec<SocketAddr>,
    },
}

/// Stage of the member's start.
enum Stage {
    /// The fence is not committed to the site's record yet.
    Fencing,
    /// The identity is not committed yet, or the federation's first start is not complete.
    Bootstrapping(Box<Bootstrap>),
    /// The member takes part in the raft group.
    Participating(Box<RaftGroup<Federation>>),
    /// The member has stopped for good, for this reason.
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
    /// Time up to which the raft clock was advanced, in nanoseconds.
    ticked_until: Nanos,
    /// Time of the last message or heartbeat of each other site, in nanoseconds.
    last_heard: BTreeMap<u64, Nanos>,
    lease: lease::LeaseClient,
    /// State of this site as the leading one; `None` while it does not lead.
    leadership: Option<leadership::Leadership>,
    orders: roster_orders::ForwardedOrders,
    view: FederationView,
    logged: Option<change_log::LoggedState>,
}

/// Converts milliseconds to nanoseconds.
fn nanos_of_ms(ms: u32) -> Nanos {
    Nanos::from(ms) * 1_000_000
}

impl FederationMember {
    /// Starts the member of the site that this replica leads in `site_term`.
    ///
    /// The member sends nothing before the site's record has its fence.
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

    /// Returns this site's view of the federation.
    pub fn view(&self) -> &FederationView {
        &self.view
    }

    /// Returns the raft group if the site takes part in it.
    pub fn group(&self) -> Option<&RaftGroup<Federation>> {
        match &self.stage {
            Stage::Participating(group) => Some(group),
            _ => None,
        }
    }

    /// Returns the term in which this replica leads its site. The member of a later term supersedes
    /// this one.
    pub fn term(&self) -> u64 {
        self.site_term
    }

    /// Returns the incarnation under which other sites know this one, once the site's record has
    /// it.
    pub fn incarnation(&self, record: &Record) -> Option<u64> {
        match &self.stage {
            Stage::Bootstrapping(_) | Stage::Participating(_) => {
                let identity = &record.durable_vote.base.as_ref()?.identity;
                (identity.replica == self.settings.site_number).then_some(identity.incarnation)
            }
            Stage::Fencing | Stage::Failed(_) => None,
        }
    }

    /// Advances time. To be called about ten times per second, and before handling messages that
    /// arrived while the replica was stopped.
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
    /// The message is invalid; the connection is to be closed.
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

    /// Stops the member. Waiting operators get the response that this replica does not lead.
    pub fn shut_down(&mut self, effects: &mut Vec<MemberEffect>) {
        let own_order = self.leadership.take().and_then(|l| l.local_requester());
        let waiting = self.orders.drain_connections().chain(own_order);
        effects.extend(waiting.map(|connection| MemberEffect::Answer {
            connection,
            answer: OperatorResponse::NotLeader(None),
        }));
    }

    /// Returns the name of this member in log lines.
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

/// Returns the last persisted version of the federation's record: all that the site knows until the
/// group has been heard.
fn last_persisted_record(record: &Record) -> Federation {
    let base = record.durable_vote.base.as_deref();
    let snapshot = base.and_then(|base| GroupState::<Federation>::decode(&base.state).ok());
    snapshot.unwrap_or_default().record
}
