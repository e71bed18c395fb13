//! The replica process: sockets, the thread that writes the log, and time for the state machines.
//!
//! One task owns all state and makes all decisions. The other tasks send it events and write out
//! the messages that it queues. `start` opens the state folder and the listener and runs the
//! task's `event_loop`, which passes events to `receive` and `requests`. `accept` accepts
//! connections; `peers` opens them to other replicas, and `sites` and `site_links` to other sites,
//! both over `transport`.

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

/// Number of messages queued for another replica or site. Further ones are dropped, like messages
/// that a network loses.
const PEER_QUEUE_LENGTH: usize = 256;
/// Delay before a write that found the disk full, or an accept that found no free descriptor, is
/// retried.
const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a conflict that was not seen again counts as resolved. Connections are
/// attempted more often than that, so a conflict that persists is seen again in time.
const CONFLICT_RETENTION: Duration = Duration::from_secs(10);

/// Event that another task sends to the task that owns the state.
enum Event {
    /// Another replica connected.
    PeerConnected {
        replica: u64,
        incarnation: u64,
        answer: Sender<PeerMessage>,
        connection_guard: Sender<()>,
    },
    /// Another replica answered the handshake of this one.
    PeerResponded { replica: u64, message: PeerMessage },
    /// Incarnation of a replica that an operator adds, or the reason why it is not known.
    IncarnationReceived {
        connection: ConnectionId,
        replica: u64,
        at: String,
        incarnation: Result<u64, String>,
    },
    /// A Raft message of the group.
    RaftMessage { replica: u64, bytes: Vec<u8> },
    /// An agent or an operator opened a connection.
    ConnectionOpened {
        connection: ConnectionId,
        queue: Sender<Vec<u8>>,
    },
    /// A message from an agent.
    AgentMessage(ConnectionId, AgentToReplica),
    /// A request from an operator.
    OperatorRequest(ConnectionId, OperatorRequest),
    /// The connection of an agent or an operator was closed.
    ConnectionClosed(ConnectionId),
    /// An event that concerns another site of the federation.
    Site(site_links::SiteEvent),
}

/// Data and handles that the connection tasks share.
#[derive(Clone)]
struct Context {
    inbox: Sender<Event>,
    wheel: Rc<TimerWheel>,
    site: Rc<str>,
    replica: u64,
    incarnation: u64,
    /// Name of the federation, and the number of this site in it.
    federation: Option<(Rc<str>, u64)>,
    /// Number of open connections.
    open_connections: Rc<Cell<u64>>,
    /// Largest number of open connections.
    max_connections: u64,
    /// Identifier that was assigned last.
    last_connection: Rc<Cell<ConnectionId>>,
}

/// Whether this replica still waits for its peers or takes part in the group.
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
    /// Time of the last heartbeat of the current leader that was applied to the record.
    last_leader_seen: Option<Nanos>,
    /// The log store; its worker thread holds it while it writes.
    log_store: Offloaded<RaftLogStore, LogItem, Result<(), SaveError>>,
    /// Time since which writes have failed because the disk is full, and nothing is acknowledged.
    disk_full_since: Option<Instant>,
    /// Item whose write found the disk full, and the time of its next attempt.
    pending_retry: Option<(LogItem, Instant)>,
    start: Instant,
    last_tick: Instant,
    connections: BTreeMap<ConnectionId, Sender<Vec<u8>>>,
    /// Connections of operators that wait for a response.
    pending_requests: BTreeSet<ConnectionId>,
    /// Membership change that an operator requested: the connection, the replica, and the index of
    /// the entry that adds it. An addition is done when the replica has that entry.
    membership_change: Option<(ConnectionId, u64, Option<u64>)>,
    outgoing: BTreeMap<u64, OutgoingLink>,
    incoming: BTreeMap<u64, Sender<()>>,
    /// Addresses from which other replicas may connect.
    allowed_peers: Rc<RefCell<BTreeSet<IpAddr>>>,
    /// Conflicts by the number of the replica or site: the time each was last seen, and its reason.
    conflicts: BTreeMap<(u64, Conflict), (Instant, String)>,
    removed: bool,
    /// The site's member of its federation, present while this replica leads the site.
    federation_member: Option<FederationMember>,
    sites: sites::SiteConnections,
}

/// Returns a random number that no other process can predict.
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
