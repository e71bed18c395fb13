//! Carries the machines: sockets, the log's thread, time. One task owns all that decides; the
//! others bring it what came in and take away what goes out.
//!
//! `start` opens what is needed and runs the task's `event_loop`, which hands what came in to
//! `receive` and `requests`. Connections are accepted by `accept`, and opened to other replicas by
//! `peers` and to other sites by `sites` and `site_links`, both over `transport`.

use crate::coordination::bootstrap::Bootstrap;
use crate::coordination::config::Config;
use crate::coordination::leader::{ConnectionId, LeaderDuties};
use crate::coordination::messages::{AgentToReplica, OperatorRequest};
use crate::coordination::raft_group::RaftGroup;
use crate::coordination::raft_log::{LogItem, RaftLogStore, SaveError};
use crate::coordination::routing_table::member::FederationMember;
use crate::delivery::timer_wheel::TimerWheel;
use crate::store::worker::Offloaded;
use crate::Nanos;
use async_channel::Sender;
use async_executor::LocalExecutor;
use conflicts::Conflict;
use peers::{OutgoingLink, PeerMessage};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, Hasher};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

mod accept;
mod conflicts;
mod event_loop;
mod formation;
mod peers;
mod receive;
mod requests;
mod site_links;
mod sites;
mod start;
mod transport;

pub use start::run;

/// Messages that wait for another keeper; more are lost, as on any net.
const PEER_QUEUE_LENGTH: usize = 256;
/// Between two attempts to write what found no room, and to accept where there is no descriptor.
const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// What is wrong between two keepers counts as over when it was not seen for so long; connections
/// are tried more often than that.
const CONFLICT_RETENTION: Duration = Duration::from_secs(10);

/// What comes in.
enum Event {
    /// A keeper connected.
    PeerConnected {
        replica: u64,
        incarnation: u64,
        answer: Sender<PeerMessage>,
        connection_guard: Sender<()>,
    },
    /// A keeper answered.
    PeerResponded { replica: u64, message: PeerMessage },
    /// A keeper was asked for its folder, in order to add it.
    IncarnationReceived {
        connection: ConnectionId,
        replica: u64,
        at: String,
        incarnation: Result<u64, String>,
    },
    /// A message of the group.
    RaftMessage { replica: u64, bytes: Vec<u8> },
    /// A connection of an agent or a person.
    ConnectionOpened {
        connection: ConnectionId,
        queue: Sender<Vec<u8>>,
    },
    /// An agent says something.
    AgentMessage(ConnectionId, AgentToReplica),
    /// A person orders something.
    OperatorRequest(ConnectionId, OperatorRequest),
    /// A connection is gone.
    ConnectionClosed(ConnectionId),
    /// Something of another site.
    Site(site_links::SiteEvent),
}

/// What a task needs to bring something in.
#[derive(Clone)]
struct Context {
    inbox: Sender<Event>,
    wheel: Rc<TimerWheel>,
    site: Rc<str>,
    replica: u64,
    incarnation: u64,
    /// The federation, and the site's number there.
    federation: Option<(Rc<str>, u64)>,
    /// Connections that are open, and how many may be.
    open_connections: Rc<Cell<u64>>,
    max_connections: u64,
    last_connection: Rc<Cell<ConnectionId>>,
}

enum Stage {
    Bootstrapping(Box<Bootstrap>),
    InGroup(Box<RaftGroup>),
}

struct Replica {
    config: Config,
    context: Context,
    executor: Rc<LocalExecutor<'static>>,
    stage: Stage,
    duties: Option<LeaderDuties>,
    /// When a leader's beat was seen in the record last, while there was a leader.
    last_leader_seen: Option<Nanos>,
    /// Lent to its thread while that writes.
    log_store: Offloaded<RaftLogStore, LogItem, Result<(), SaveError>>,
    /// Nothing is acknowledged since then: what is to be written finds no room.
    disk_full_since: Option<Instant>,
    /// What found no room, and when it is tried again.
    pending_retry: Option<(LogItem, Instant)>,
    start: Instant,
    last_tick: Instant,
    connections: BTreeMap<ConnectionId, Sender<Vec<u8>>>,
    /// Persons that wait for an answer.
    pending_requests: BTreeSet<ConnectionId>,
    /// Who ordered that this keeper comes or goes, and the entry that adds it: that is done when it
    /// has it.
    membership_change: Option<(ConnectionId, u64, Option<u64>)>,
    outgoing: BTreeMap<u64, OutgoingLink>,
    incoming: BTreeMap<u64, Sender<()>>,
    /// Addresses that keepers may speak from.
    allowed_peers: Rc<RefCell<BTreeSet<IpAddr>>>,
    /// When it was last seen, and why.
    conflicts: BTreeMap<(u64, Conflict), (Instant, String)>,
    removed: bool,
    /// The site's part in its federation, as long as this keeper leads it.
    federation_member: Option<FederationMember>,
    sites: sites::SiteConnections,
}

/// What no other can know.
fn random_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}

impl Replica {
    fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as Nanos
    }

    fn log_prefix(&self) -> String {
        format!("keeper {} of {}", self.config.replica, self.config.site)
    }
}

#[cfg(test)]
mod tests;
