//! Starts a replica with its state folder, listener and tasks, and shuts it down on a signal.

use crate::coordination::bootstrap::Bootstrap;
use crate::coordination::config::Config;
use crate::coordination::raft_group::RaftGroup;
use crate::coordination::raft_log::{Checkpoint, OpenError, RaftLogStore, ReplicaIdentity};
use crate::coordination::replica::accept::Acceptor;
use crate::coordination::replica::{random_u64, sites, Context, Event, Replica, Stage};
use crate::delivery::timer_wheel::TimerWheel;
use crate::process_signals::{BlockedSignals, SignalReceiver, ENDING_SIGNALS};
use crate::store::disk::Folder;
use crate::store::worker::{Offloaded, Worker};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use rustix::fs::{flock, FlockOperation};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Largest number of open connections, if the system allows that many descriptors.
const MAX_CONNECTIONS: u64 = 4096;
/// Descriptors reserved for other uses than accepted connections: files, peers, signals.
const RESERVED_DESCRIPTORS: u64 = 64;
/// Number of events queued for the task that owns the state; a task that sends more has to wait.
const EVENT_QUEUE_LENGTH: usize = 1024;
/// Number of connections that may wait to be accepted, as many agents may connect at once.
const LISTEN_BACKLOG: i32 = 1024;

/// Runs a replica until a signal ends it. Returns an error if it cannot start or continue.
pub fn run(config: Config) -> Result<(), String> {
    let shutdown_signals = block_shutdown_signals().map_err(|e| format!("signals: {e}"))?;
    let folder = config.folder.display().to_string();
    let state_error = |e: &dyn std::fmt::Display| format!("state: {folder}: {e}");
    fs::create_dir_all(&config.folder).map_err(|e| state_error(&e))?;
    let lock = File::open(&config.folder).map_err(|e| state_error(&e))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| state_error(&"in use by another process"))?;
    let disk = Arc::new(Folder::new(&config.folder));
    let (log_store, stored) =
        RaftLogStore::open(disk, config.disk_bytes, random_u64()).map_err(|e| state_error(&e))?;
    let checkpoint = match stored {
        Some(checkpoint)
            if checkpoint.identity.site != config.site
                || checkpoint.identity.replica != config.replica =>
        {
            let other =
                OpenError::ForeignFolder(checkpoint.identity.replica, checkpoint.identity.site);
            return Err(state_error(&other));
        }
        Some(checkpoint) => checkpoint,
        None => {
            let (site, replica) = (config.site.clone(), config.replica);
            let identity = ReplicaIdentity {
                site,
                replica,
                incarnation: random_u64(),
            };
            match config.begin {
                true => Bootstrap::first_checkpoint(identity, config.peers.keys().copied()),
                false => Bootstrap::joining_checkpoint(identity),
            }
        }
    };
    let executor = Rc::new(LocalExecutor::new());
    let served = serve(
        config,
        log_store,
        checkpoint,
        executor.clone(),
        shutdown_signals,
    );
    async_io::block_on(executor.run(served))
}

/// Blocks the signals that end a replica, before any other thread starts.
fn block_shutdown_signals() -> io::Result<SignalReceiver> {
    BlockedSignals::new(&ENDING_SIGNALS)?.receiver(&ENDING_SIGNALS)
}

/// Raises the descriptor limit of the process as far as needed and allowed, and returns the number
/// of connections that may be open.
fn connection_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let wanted = limit
        .maximum
        .unwrap_or(MAX_CONNECTIONS + RESERVED_DESCRIPTORS)
        .min(MAX_CONNECTIONS + RESERVED_DESCRIPTORS);
    if limit.current.is_some_and(|now| now < wanted) {
        let _ = setrlimit(
            Resource::Nofile,
            Rlimit {
                current: Some(wanted),
                maximum: limit.maximum,
            },
        );
    }
    getrlimit(Resource::Nofile)
        .current
        .unwrap_or(wanted)
        .saturating_sub(RESERVED_DESCRIPTORS)
        .min(MAX_CONNECTIONS)
}

/// Listens at the address in the configuration file.
fn listen(config: &Config) -> Result<Async<TcpListener>, String> {
    let listener = Async::<TcpListener>::bind(config.listen)
        .map_err(|e| format!("listen: {}: {e}", config.listen))?;
    rustix::net::listen(&listener, LISTEN_BACKLOG).map_err(|e| format!("listen: {e}"))?;
    let at = listener
        .get_ref()
        .local_addr()
        .map_err(|e| format!("listen: {e}"))?;
    log::info!(
        "keeper {} of {}: listens at {at}",
        config.replica,
        config.site
    );
    Ok(listener)
}

/// Runs the tasks of a replica until a signal or a fatal error ends it.
async fn serve(
    config: Config,
    log_store: RaftLogStore,
    checkpoint: Checkpoint,
    executor: Rc<LocalExecutor<'static>>,
    shutdown_signals: SignalReceiver,
) -> Result<(), String> {
    let listener = listen(&config)?;
    let wheel = TimerWheel::new();
    let (inbox, events) = async_channel::bounded(EVENT_QUEUE_LENGTH);
    let mut replica = Replica::new(
        config,
        log_store,
        checkpoint,
        (inbox, wheel.clone()),
        executor.clone(),
    )?;
    executor.spawn(async move { wheel.run().await }).detach();
    replica.connect_replicas();
    replica.connect_sites();
    let (allowed_peers, allowed_sites) =
        (replica.allowed_peers.clone(), replica.sites.allowed.clone());
    let acceptor = Acceptor {
        context: replica.context.clone(),
        config: replica.config.clone(),
        allowed_peers,
        allowed_sites,
    };
    executor
        .spawn(acceptor.accept(listener, executor.clone()))
        .detach();
    replica.begin().await?;
    replica.check_federation()?;
    let ended = async {
        shutdown_signals.received().await;
        Ok(())
    };
    let ended = replica.run(&events, None).or(ended).await;
    ended?;
    let log_prefix = replica.log_prefix();
    log::info!("{log_prefix}: told to end");
    replica.hand_over_leadership(&events).await?;
    log::info!("{log_prefix}: ends");
    Ok(())
}

impl Replica {
    /// Creates a replica from the checkpoint in its folder, without connections.
    fn new(
        config: Config,
        log_store: RaftLogStore,
        checkpoint: Checkpoint,
        (inbox, wheel): (Sender<Event>, Rc<TimerWheel>),
        executor: Rc<LocalExecutor<'static>>,
    ) -> Result<Replica, String> {
        let context = Context {
            inbox,
            wheel,
            site: config.site.as_str().into(),
            replica: config.replica,
            incarnation: checkpoint.identity.incarnation,
            federation: config
                .federation
                .as_ref()
                .map(|f| ((&*f.federation).into(), f.site_number)),
            open_connections: Rc::default(),
            max_connections: connection_limit(),
            last_connection: Rc::default(),
        };
        let now = Instant::now();
        let stage = match checkpoint.takes_part {
            true => Stage::InGroup(Box::new(
                RaftGroup::new(checkpoint, random_u64()).map_err(|e| e.to_string())?,
            )),
            false => Stage::Bootstrapping(Box::new(Bootstrap::new(checkpoint))),
        };
        Ok(Replica {
            context,
            executor,
            stage,
            duties: None,
            last_leader_seen: None,
            log_store: Offloaded::new(
                Worker::start().map_err(|e| e.to_string())?,
                log_store,
                RaftLogStore::save,
            ),
            disk_full_since: None,
            pending_retry: None,
            start: now,
            last_tick: now,
            connections: BTreeMap::new(),
            pending_requests: BTreeSet::new(),
            membership_change: None,
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            allowed_peers: Rc::default(),
            conflicts: BTreeMap::new(),
            removed: false,
            federation_member: None,
            sites: sites::SiteConnections::default(),
            config,
        })
    }

    /// Checks that the folder belongs to the site that the configuration file names in its
    /// federation.
    fn check_federation(&self) -> Result<(), String> {
        let Stage::InGroup(group) = &self.stage else {
            return Ok(());
        };
        let Some(base) = &group.record().durable_vote.base else {
            return Ok(());
        };
        match &self.config.federation {
            Some(settings) => {
                let check = settings.check_identity(&base.identity);
                check.map_err(|e| format!("state: {}: {e}", self.config.folder.display()))
            }
            None => {
                log::warn!(
                    "{}: the record belongs to federation {:?}, but the file names none",
                    self.log_prefix(),
                    base.identity.site
                );
                Ok(())
            }
        }
    }
}
