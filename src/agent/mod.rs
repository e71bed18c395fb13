//! The agent in a sender: its session with the coordination replicas, what it reports to them, and
//! what it follows.
//!
//! Owns the session and the sender's side of what travels on it. It does not decide for the fleet
//! (that is [`crate::coordination`]), nor which endpoint gets a message (the decision module); it
//! sets what those decisions are made under. `main` starts it where the sender has a fleet file,
//! and calls [`Agent::leave`] at the end. Where no replica can be reached the sender does as it
//! would without an agent, but for what [`config::FleetConfig::policies`] and
//! [`config::FleetConfig::tables`] say.
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

/// Messages from replicas that may wait to be read.
const MAX_INCOMING: usize = 64;
/// The agent looks again after this time (ns) though nothing is due: the timer wheel reaches no
/// further.
const MAX_SLEEP: Nanos = 3_600 * SEC;
/// At the end of the process, its last message is written within this time, or lost.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often it is looked whether that message is written.
const LEAVE_POLL: Duration = Duration::from_millis(5);

/// What an agent works with.
pub struct AgentParts {
    /// Name of the sender.
    pub sender: String,
    /// Drawn for this process.
    pub seed: u64,
    /// An evacuated zone that nobody orders evacuated any more is returned to over this time (ns).
    pub warm_after: Nanos,
    /// What messages are delivered with: the driver, the endpoint directory, the timer wheel,
    /// admission, policies and routing tables.
    pub delivery: Rc<DeliveryContext>,
    /// The stored policies, where the sender follows policies or did before.
    pub policies: Option<DocumentStore<PolicySet>>,
    /// The same of routing tables.
    pub tables: Option<DocumentStore<RoutingTables>>,
    /// Runs the agent's tasks.
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

/// The agent.
pub struct Agent {
    config: FleetConfig,
    parts: AgentParts,
    /// The origin of the session's clock.
    started: Instant,
    session: RefCell<SessionState>,
    /// Messages for the connection that is open.
    outgoing: RefCell<Option<Sender<AgentToReplica>>>,
    incoming_sender: Sender<ConnectionEvent>,
    incoming: Receiver<ConnectionEvent>,
    documents: DocumentWork,
    /// Destinations of which operators were told that they stay in use.
    logged_kept_destinations: RefCell<BTreeSet<u16>>,
    has_left: Cell<bool>,
}

/// What the agent wakes up for.
enum AgentEvent {
    ListChanged,
    Incoming(ConnectionEvent),
    DeadlinePassed,
}

impl Agent {
    /// Starts an agent, which runs for as long as the process lives. Where it follows documents no
    /// message is accepted before it is known under which.
    pub fn start(config: FleetConfig, parts: AgentParts) -> Rc<Agent> {
        let session = start_session(&config, &parts);
        let documents = DocumentWork::new(&parts);
        apply_last_table(&config, &parts);
        let (incoming_sender, incoming) = async_channel::bounded(MAX_INCOMING);
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
        // What follows from the policy that it last went by, if it goes by that alone, counts
        // before the first message comes.
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
        // The connection ends once its messages are written, and closes the channel.
        outgoing.close();
        let wheel = &self.parts.delivery.wheel;
        let written = async {
            while !outgoing.is_empty() {
                wheel.sleep(LEAVE_POLL).await;
            }
        };
        wheel.timeout(LEAVE_TIMEOUT, written).await;
    }

    /// Now, by the session's clock.
    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// A time of the session's clock.
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

    /// Drives the session until the endpoint list has changed.
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

    /// When the session or an evacuation needs something at the latest.
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
                "fleet: destination {dest} stays in use: it has no other route than those that are \
                 ordered left"
            );
        }
        *self.logged_kept_destinations.borrow_mut() = kept;
    }

    /// What the endpoint list has, as reports say it.
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

/// The session of a sender that starts. Where it follows documents, admission is fenced.
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

/// The register of what a sender follows, if it does.
fn make_register<K: StoredDocument>(
    kind: DocumentKind,
    on_lease_loss: Option<OnLeaseLoss>,
    store: Option<&DocumentStore<K>>,
) -> Option<Register> {
    let (on_lease_loss, store) = on_lease_loss.zip(store)?;
    let register = Register::new(kind, on_lease_loss, store.stored(), store.last_applied());
    Some(register)
}

/// What an earlier process accepted goes by the routing table that it applied, before any replica
/// has answered.
fn apply_last_table(config: &FleetConfig, parts: &AgentParts) {
    let last = parts.tables.as_ref().map_or(0, DocumentStore::last_applied);
    if config.tables.is_some() && last != 0 && !parts.delivery.activate_routing_table(last) {
        log::warn!(
            "fleet: table {last}, which was gone by last, is not here; what is held goes by the \
             list"
        );
    }
}
