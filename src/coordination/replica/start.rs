//! Starts a replica: its state folder, its listener, its tasks; and ends it when it is told to.

use crate::coordination::bootstrap::Bootstrap;
use crate::coordination::config::Config;
use crate::coordination::raft_group::RaftGroup;
use crate::coordination::raft_log::{Checkpoint, OpenError, RaftLogStore, ReplicaIdentity};
use crate::coordination::replica::accept::Acceptor;
use crate::coordination::replica::{draw, sites, Context, Incoming, Replica, Stage};
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

/// Most connections at once, where the system allows so many descriptors.
const MOST_CONNECTIONS: u64 = 4096;
/// Descriptors that are none of connections: files, peers, signals.
const OTHER_DESCRIPTORS: u64 = 64;
/// Words that wait to be decided upon; whoever brings more waits.
const INBOX: usize = 1024;
/// Connections that wait to be accepted: as many agents may come at once.
const BACKLOG: i32 = 1024;

/// Runs a keeper until it is told to end. All that keeps it from starting, or from going on, is
/// told.
pub fn run(config: Config) -> Result<(), String> {
    let ending = ending_signals().map_err(|e| format!("signals: {e}"))?;
    let folder = config.folder.display().to_string();
    let said = |e: &dyn std::fmt::Display| format!("state: {folder}: {e}");
    fs::create_dir_all(&config.folder).map_err(|e| said(&e))?;
    let lock = File::open(&config.folder).map_err(|e| said(&e))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| said(&"in use by another process"))?;
    let disk = Arc::new(Folder::new(&config.folder));
    let (keep, found) =
        RaftLogStore::open(disk, config.disk_bytes, draw()).map_err(|e| said(&e))?;
    let base = match found {
        Some(base)
            if base.identity.site != config.site || base.identity.replica != config.replica =>
        {
            let other = OpenError::ForeignFolder(base.identity.replica, base.identity.site);
            return Err(said(&other));
        }
        Some(base) => base,
        None => {
            let (site, keeper) = (config.site.clone(), config.replica);
            let identity = ReplicaIdentity {
                site,
                replica: keeper,
                incarnation: draw(),
            };
            match config.begin {
                true => Bootstrap::first_checkpoint(identity, config.peers.keys().copied()),
                false => Bootstrap::joining_checkpoint(identity),
            }
        }
    };
    let executor = Rc::new(LocalExecutor::new());
    let served = serve(config, keep, base, executor.clone(), ending);
    async_io::block_on(executor.run(served))
}

/// Blocks the signals that end a replica, before any other thread starts.
fn ending_signals() -> io::Result<SignalReceiver> {
    BlockedSignals::new(&ENDING_SIGNALS)?.receiver(&ENDING_SIGNALS)
}

/// How many connections may be open: as many descriptors as the system gives when it is asked for
/// more.
fn most_connections() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let wanted = limit
        .maximum
        .unwrap_or(MOST_CONNECTIONS + OTHER_DESCRIPTORS)
        .min(MOST_CONNECTIONS + OTHER_DESCRIPTORS);
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
        .saturating_sub(OTHER_DESCRIPTORS)
        .min(MOST_CONNECTIONS)
}

/// Listens where the file says.
fn listen(config: &Config) -> Result<Async<TcpListener>, String> {
    let listener = Async::<TcpListener>::bind(config.listen)
        .map_err(|e| format!("listen: {}: {e}", config.listen))?;
    rustix::net::listen(&listener, BACKLOG).map_err(|e| format!("listen: {e}"))?;
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

async fn serve(
    config: Config,
    keep: RaftLogStore,
    base: Checkpoint,
    executor: Rc<LocalExecutor<'static>>,
    ending: SignalReceiver,
) -> Result<(), String> {
    let listener = listen(&config)?;
    let wheel = TimerWheel::new();
    let (inbox, coming) = async_channel::bounded(INBOX);
    let mut replica = Replica::new(config, keep, base, (inbox, wheel.clone()), executor.clone())?;
    executor.spawn(async move { wheel.run().await }).detach();
    replica.connect_replicas();
    replica.connect_sites();
    let (allowed, sites) = (replica.allowed.clone(), replica.sites.allowed.clone());
    let acceptor = Acceptor {
        context: replica.context.clone(),
        config: replica.config.clone(),
        allowed,
        sites,
    };
    executor
        .spawn(acceptor.accept(listener, executor.clone()))
        .detach();
    replica.begin().await?;
    replica.check_federation()?;
    let ended = async {
        ending.received().await;
        Ok(())
    };
    let ended = replica.run(&coming, None).or(ended).await;
    ended?;
    let who = replica.who();
    log::info!("{who}: told to end");
    replica.hand_over(&coming).await?;
    log::info!("{who}: ends");
    Ok(())
}

impl Replica {
    /// Begins from what the folder has; nothing is connected yet.
    fn new(
        config: Config,
        keep: RaftLogStore,
        base: Checkpoint,
        (inbox, wheel): (Sender<Incoming>, Rc<TimerWheel>),
        executor: Rc<LocalExecutor<'static>>,
    ) -> Result<Replica, String> {
        let context = Context {
            inbox,
            wheel,
            site: config.site.as_str().into(),
            keeper: config.replica,
            incarnation: base.identity.incarnation,
            federation: config
                .federation
                .as_ref()
                .map(|f| ((&*f.federation).into(), f.site_number)),
            open: Rc::default(),
            most: most_connections(),
            next: Rc::default(),
        };
        let now = Instant::now();
        let stage = match base.takes_part {
            true => Stage::Takes(Box::new(
                RaftGroup::new(base, draw()).map_err(|e| e.to_string())?,
            )),
            false => Stage::Begins(Box::new(Bootstrap::new(base))),
        };
        Ok(Replica {
            context,
            executor,
            stage,
            duties: None,
            led: None,
            keep: Offloaded::new(
                Worker::start().map_err(|e| e.to_string())?,
                keep,
                RaftLogStore::save,
            ),
            full: None,
            again: None,
            start: now,
            ticked: now,
            connections: BTreeMap::new(),
            asked: BTreeSet::new(),
            changing: None,
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            allowed: Rc::default(),
            wrong: BTreeMap::new(),
            removed: false,
            voice: None,
            sites: sites::Sites::default(),
            config,
        })
    }

    /// Whether the folder is of the site that the file names in its federation.
    fn check_federation(&self) -> Result<(), String> {
        let Stage::Takes(group) = &self.stage else {
            return Ok(());
        };
        let Some(base) = &group.record().durable_vote.base else {
            return Ok(());
        };
        match &self.config.federation {
            Some(settings) => {
                let told = settings.check_identity(&base.identity);
                told.map_err(|e| format!("state: {}: {e}", self.config.folder.display()))
            }
            None => {
                log::warn!(
                    "{}: the record is of a federation, {:?}, and the file names none",
                    self.who(),
                    base.identity.site
                );
                Ok(())
            }
        }
    }
}
