//! The agent in a sender: its session with the coordination replicas, the reports that it sends to
//! them, and the decisions of the fleet that it follows.
//!
//! Owns the session and the sender's side of the protocol. It makes no decision for the fleet (see
//! [`crate::coordination`]) and does not choose the endpoint of a message (see the decision
//! module); it sets the conditions under which those choices are made. `main` starts it where the
//! sender has a fleet file, and calls [`Agent::leave`] at the end. Where no replica can be reached
//! the sender works as without an agent, except as [`config::FleetConfig::policies`] and
//! [`config::FleetConfig::tables`] demand.
//!
//! - [`session`] decides, with a [`register`] each for policies and routing tables. No I/O.
//! - [`call_statistics`] counts what is reported. No I/O.
//! - [`effects`] carries out what the session decides: connections, evacuations, admission.
//! - [`connection`] is the wire; [`observer`] records calls and messages.
//! - [`documents`] checks and stores what is offered, with a [`document_store`] each.

pub mod call_statistics;
pub mod config;
mod connection;
pub mod document_store;
mod documents;
mod effects;
mod observer;
pub mod register;
pub mod session;

use crate::coordination::messages::{AgentToReplica, ListedZoneCapacity};
use crate::delivery::admission::AdmissionState;
use crate::delivery::duration;
use crate::delivery::message::DeliveryContext;
use crate::delivery::policies::PolicySet;
use crate::delivery::routing_tables::RoutingTables;
use crate::dispatch::statistics::SEC;
use crate::Nanos;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use config::FleetConfig;
use connection::ConnectionEvent;
use document_store::{DocumentStore, StoredDocument};
use documents::DocumentWork;
use event_listener::EventListener;
use futures_lite::{future, FutureExt};
use observer::AgentObserver;
use register::{DocumentKind, OnLeaseLoss, Register};
use session::{AttemptDemand, SessionConfig, SessionEffect, SessionState};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of received messages in the queue.
const MAX_QUEUED_INCOMING: usize = 64;
/// Longest sleep (ns): the timer wheel reaches no further. The agent wakes up after this time even
/// if nothing is due.
const MAX_SLEEP: Nanos = 3_600 * SEC;
/// Time at the end of the process within which the last message has to be written; after that it is
/// lost.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which the agent checks whether that message is written.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Dependencies of an agent.
pub struct AgentParts {
    /// Name of the sender.
    pub sender: String,
    /// Random seed of this process.
    pub seed: u64,
    /// Time (ns) over which the sender returns to an evacuated zone that is no longer ordered
    /// evacuated.
    pub warm_after: Nanos,
    /// Context for delivering messages: the driver, the endpoint directory, the timer wheel,
    /// admission, policies and routing tables.
    pub delivery: Rc<DeliveryContext>,
    /// The stored policies, where the sender follows policies or has followed them before.
    pub policies: Option<DocumentStore<PolicySet>>,
    /// The stored routing tables, under the same condition.
    pub tables: Option<DocumentStore<RoutingTables>>,
    /// Executor of the agent's tasks.
    pub executor: Rc<LocalExecutor<'static>>,
}

impl AttemptDemand for AgentParts {
    fn waiting_messages(&self, dest: u16) -> u32 {
        self.delivery.driver.waiting_messages(dest) as u32
    }

    fn leased_attempts_left(&self, zone: &str, dest: u16) -> u32 {
        self.delivery.directory.leased_attempts_left(zone, dest)
    }
}

/// The agent of a sender.
pub struct Agent {
    config: FleetConfig,
    parts: AgentParts,
    /// The origin of the session's clock.
    started: Instant,
    session: RefCell<SessionState>,
    /// Queue of messages for the open connection.
    outgoing: RefCell<Option<Sender<AgentToReplica>>>,
    incoming_sender: Sender<ConnectionEvent>,
    incoming: Receiver<ConnectionEvent>,
    documents: DocumentWork,
    /// Destinations that were logged as staying in use.
    logged_kept_destinations: RefCell<BTreeSet<u16>>,
    has_left: Cell<bool>,
}

/// Event that wakes up the agent.
enum AgentEvent {
    ListChanged,
    Incoming(ConnectionEvent),
    DeadlinePassed,
}

impl Agent {
    /// Starts an agent, which runs until the process ends.
    ///
    /// Where it follows documents, no message is accepted before the applicable documents are
    /// known.
    pub fn start(config: FleetConfig, parts: AgentParts) -> Rc<Agent> {
        let session = start_session(&config, &parts);
        let documents = DocumentWork::new(&parts);
        apply_last_table(&config, &parts);
        let (incoming_sender, incoming) = async_channel::bounded(MAX_QUEUED_INCOMING);
        let agent = Rc::new(Agent {
            config,
            parts,
            started: Instant::now(),
            session: RefCell::new(session),
            outgoing: RefCell::default(),
            incoming_sender,
            incoming,
            documents,
            logged_kept_destinations: RefCell::default(),
            has_left: Cell::new(false),
        });
        let observer = Rc::new(AgentObserver::new(agent.clone()));
        agent.parts.delivery.driver.set_observer(observer);
        // The effects of the last applied policy, where the sender follows that one alone, have to
        // be in place before the first message arrives.
        agent.tick_at(0);
        let running = agent.clone();
        agent
            .parts
            .executor
            .spawn(async move { running.run().await })
            .detach();
        agent.start_document_tasks();
        agent
    }

    /// Tells the leader that the sender ends, if a session is established.
    pub async fn leave(&self) {
        let mut effects = Vec::new();
        self.session.borrow_mut().leave(&mut effects);
        self.has_left.set(true);
        let outgoing = self.outgoing.borrow_mut().take();
        let Some(outgoing) = outgoing else { return };
        for effect in effects {
            if let SessionEffect::Send(message) = effect {
                let _ = outgoing.try_send(message);
            }
        }
        // The connection ends after its messages are written, and then closes the channel.
        outgoing.close();
        let wheel = &self.parts.delivery.wheel;
        let written = async {
            while !outgoing.is_empty() {
                wheel.sleep(LEAVE_POLL_INTERVAL).await;
            }
        };
        wheel.timeout(LEAVE_TIMEOUT, written).await;
    }

    /// Returns the current time of the session's clock.
    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Converts a time of the session's clock to an [`Instant`].
    fn instant(&self, time: Nanos) -> Instant {
        self.started + duration(time)
    }

    async fn run(self: Rc<Self>) {
        loop {
            let list_changed = self.parts.delivery.driver.list_changed();
            self.session.borrow_mut().set_listed(self.listed());
            self.run_until(list_changed).await;
        }
    }

    /// Drives the session until the endpoint list changes.
    async fn run_until(self: &Rc<Self>, mut list_changed: EventListener) {
        loop {
            self.tick_at(self.now());
            self.parts.delivery.driver.apply_evacuation_changes();
            self.log_kept_destinations();
            match self.next_event(&mut list_changed).await {
                AgentEvent::ListChanged => return,
                AgentEvent::Incoming(event) => self.on_connection_event(event),
                AgentEvent::DeadlinePassed => {}
            }
        }
    }

    async fn next_event(&self, list_changed: &mut EventListener) -> AgentEvent {
        let changed = async {
            list_changed.await;
            AgentEvent::ListChanged
        };
        let received = async {
            match self.incoming.recv().await {
                Ok(event) => AgentEvent::Incoming(event),
                // Never closed: this agent holds a sender.
                Err(_) => future::pending().await,
            }
        };
        let deadline = self.next_deadline();
        let due = async {
            self.parts.delivery.wheel.sleep_until(deadline).await;
            AgentEvent::DeadlinePassed
        };
        changed.or(received).or(due).await
    }

    /// Returns the latest time at which the session or an evacuation needs a wake-up.
    fn next_deadline(&self) -> Instant {
        let session = self.session.borrow().next_deadline();
        let session = self.instant(session.min(self.now() + MAX_SLEEP));
        match self.parts.delivery.directory.next_expiry() {
            Some(expiry) => session.min(expiry),
            None => session,
        }
    }

    fn tick_at(self: &Rc<Self>, now: Nanos) {
        let mut effects = Vec::new();
        self.session
            .borrow_mut()
            .on_tick(now, &self.parts, &mut effects);
        self.perform(effects);
    }

    fn log_kept_destinations(&self) {
        let kept = self.parts.delivery.directory.kept_destinations();
        for dest in kept.difference(&self.logged_kept_destinations.borrow()) {
            log::warn!(
                "fleet: destination {dest} stays in use: all its routes are in zones that are \
                 ordered left"
            );
        }
        *self.logged_kept_destinations.borrow_mut() = kept;
    }

    /// Returns the capacities in the endpoint list, as reports contain them.
    fn listed(&self) -> Vec<ListedZoneCapacity> {
        let capacities = self.parts.delivery.directory.capacity_by_zone();
        capacities
            .into_iter()
            .map(|capacity| ListedZoneCapacity {
                zone: capacity.zone,
                dest: capacity.dest,
                endpoints: capacity.endpoints,
                calls_per_second: capacity.rate,
            })
            .collect()
    }
}

/// Creates the session of a sender that starts. Where it follows documents, admission is fenced.
fn start_session(config: &FleetConfig, parts: &AgentParts) -> SessionState {
    let session_config = SessionConfig {
        sender: parts.sender.clone(),
        boot: parts.seed,
        zone: config.zone.clone(),
        replicas: config.replicas.keys().copied().collect(),
        report_interval: config.report_interval.as_nanos() as Nanos,
        warm_after: parts.warm_after,
    };
    let policies = make_register(
        DocumentKind::Policy,
        config.policies,
        parts.policies.as_ref(),
    );
    let tables = make_register(DocumentKind::Table, config.tables, parts.tables.as_ref());
    let mut session = SessionState::new(session_config, parts.seed, 0);
    for register in policies.into_iter().chain(tables) {
        parts.delivery.admission.set(AdmissionState::Fenced);
        session = session.with_register(register);
    }
    session
}

/// Creates the register for one kind of document, if the sender follows that kind.
fn make_register<K: StoredDocument>(
    kind: DocumentKind,
    on_lease_loss: Option<OnLeaseLoss>,
    store: Option<&DocumentStore<K>>,
) -> Option<Register> {
    let (on_lease_loss, store) = on_lease_loss.zip(store)?;
    let register = Register::new(kind, on_lease_loss, store.stored(), store.last_applied());
    Some(register)
}

/// Activates the routing table that an earlier process applied last, so that the messages it
/// accepted are routed by that table before any replica has answered.
fn apply_last_table(config: &FleetConfig, parts: &AgentParts) {
    let last = parts.tables.as_ref().map_or(0, DocumentStore::last_applied);
    if config.tables.is_some() && last != 0 && !parts.delivery.activate_routing_table(last) {
        log::warn!(
            "fleet: table {last}, which was applied last, is not stored here; held messages follow \
             the endpoint list"
        );
    }
}
