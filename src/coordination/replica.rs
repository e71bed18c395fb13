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
const PEER_QUEUE: usize = 256;
/// Between two attempts to write what found no room, and to accept where there is no descriptor.
const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// What is wrong between two keepers counts as over when it was not seen for so long; connections
/// are tried more often than that.
const CONFLICT_LASTS: Duration = Duration::from_secs(10);

/// What comes in.
enum Incoming {
    /// A keeper connected.
    Came {
        keeper: u64,
        incarnation: u64,
        answer: Sender<PeerMessage>,
        alive: Sender<()>,
    },
    /// A keeper answered.
    Answered { keeper: u64, word: PeerMessage },
    /// A keeper was asked for its folder, in order to add it.
    Asked {
        connection: ConnectionId,
        keeper: u64,
        at: String,
        folder: Result<u64, String>,
    },
    /// A message of the group.
    Raft { keeper: u64, bytes: Vec<u8> },
    /// A connection of an agent or a person.
    Opened {
        connection: ConnectionId,
        queue: Sender<Vec<u8>>,
    },
    /// An agent says something.
    Agent(ConnectionId, AgentToReplica),
    /// A person orders something.
    Person(ConnectionId, OperatorRequest),
    /// A connection is gone.
    Gone(ConnectionId),
    /// Something of another site.
    Site(site_links::Site),
}

/// What a task needs to bring something in.
#[derive(Clone)]
struct Context {
    inbox: Sender<Incoming>,
    wheel: Rc<TimerWheel>,
    site: Rc<str>,
    keeper: u64,
    incarnation: u64,
    /// The federation, and the site's number there.
    federation: Option<(Rc<str>, u64)>,
    /// Connections that are open, and how many may be.
    open: Rc<Cell<u64>>,
    most: u64,
    next: Rc<Cell<ConnectionId>>,
}

enum Stage {
    Begins(Box<Bootstrap>),
    Takes(Box<RaftGroup>),
}

struct Replica {
    config: Config,
    context: Context,
    executor: Rc<LocalExecutor<'static>>,
    stage: Stage,
    duties: Option<LeaderDuties>,
    /// When a leader's beat was seen in the record last, while there was a leader.
    led: Option<Nanos>,
    /// Lent to its thread while that writes.
    keep: Offloaded<RaftLogStore, LogItem, Result<(), SaveError>>,
    /// Nothing is acknowledged since then: what is to be written finds no room.
    full: Option<Instant>,
    /// What found no room, and when it is tried again.
    again: Option<(LogItem, Instant)>,
    start: Instant,
    ticked: Instant,
    connections: BTreeMap<ConnectionId, Sender<Vec<u8>>>,
    /// Persons that wait for an answer.
    asked: BTreeSet<ConnectionId>,
    /// Who ordered that this keeper comes or goes, and the entry that adds it: that is done when it
    /// has it.
    changing: Option<(ConnectionId, u64, Option<u64>)>,
    outgoing: BTreeMap<u64, OutgoingLink>,
    incoming: BTreeMap<u64, Sender<()>>,
    /// Addresses that keepers may speak from.
    allowed: Rc<RefCell<BTreeSet<IpAddr>>>,
    /// When it was last seen, and why.
    wrong: BTreeMap<(u64, Conflict), (Instant, String)>,
    removed: bool,
    /// The site's part in its federation, as long as this keeper leads it.
    voice: Option<FederationMember>,
    sites: sites::Sites,
}

/// What no other can know.
fn draw() -> u64 {
    RandomState::new().build_hasher().finish()
}

impl Replica {
    fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as Nanos
    }

    fn who(&self) -> String {
        format!("keeper {} of {}", self.config.replica, self.config.site)
    }
}

#[cfg(test)]
mod tests;
