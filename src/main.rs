//! The sender: reads its configuration, wires the parts and serves until it is told to end.
#![forbid(unsafe_code)]

mod cli;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use clap::Parser;
use cli::{Cli, Command};
use futures_lite::{Future, FutureExt};
use raildeal::admission_control::connection_slots::Rules;
use raildeal::admission_control::descriptor_budget::Budget;
use raildeal::admission_control::memory_budget::{Demand, MemoryBudget};
use raildeal::admission_control::memory_pool::MemoryPool;
use raildeal::config::{script, Config, Updates};
use raildeal::delivery::client_quota::ClientQuotas;
use raildeal::delivery::driver::{DispatcherDriver, DriverEffects};
use raildeal::delivery::endpoint::Endpoint;
use raildeal::delivery::endpoint_directory::EndpointDirectory;
use raildeal::delivery::finished_messages::FinishedMessages;
use raildeal::delivery::journal::persistent_clock::PersistentClock;
use raildeal::delivery::journal::restart_state;
use raildeal::delivery::journal::{Journal, JournalOptions};
use raildeal::delivery::message::held_messages::HeldMessages;
use raildeal::delivery::message::{self, DeliveryContext};
use raildeal::delivery::policies::PolicySet;
#[cfg(feature = "fleet")]
use raildeal::delivery::routing_tables::RoutingTables;
use raildeal::delivery::timer_wheel::TimerWheel;
use raildeal::delivery::{duration, EndpointClient as _, Frontend};
use raildeal::dispatch::list_polling;
use raildeal::event_loop;
use raildeal::log_filter::with_present_paths;
use raildeal::loop_latency::LoopLatency;
use raildeal::memory_report::MemoryReport;
use raildeal::net::by_kind::ByKind;
use raildeal::net::calls::Calls;
use raildeal::net::connection_listener::{ConnectionListener, WhenFull};
use raildeal::net::dns::server::UpdatePort;
use raildeal::net::dns::zone_cache::ZoneCache;
use raildeal::net::dns::zones::Zones;
use raildeal::net::mqtt::brokers::Publisher;
use raildeal::net::mqtt::ingress::Port;
use raildeal::net::mqtt::sessions::Sessions;
use raildeal::net::platform::discovery::Discovery;
use raildeal::net::platform::ingress::Ingress;
use raildeal::net::platform::notices::Notices;
use raildeal::net::platform::providers::Poster;
use raildeal::net::platform::watch::{Watch, BEAT};
use raildeal::net::{MQTT, PLATFORM};
use raildeal::process_signals::{BlockedSignals, Signal, SignalReceiver, ENDING_SIGNALS};
use raildeal::{Dispatcher, RestartState, Settings};
use rustix::process::{getrlimit, Resource};
use std::cell::Cell;
use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// After the signal to end, new connections keep coming for so long.
const STILL_COMING: Duration = Duration::from_millis(600);
/// From then on no call begins: those that are out need the rest of the time.
const LAST_CALL: Duration = Duration::from_millis(2000);
/// The process ends so long after the signal, before it would be killed.
const END: Duration = Duration::from_millis(3400);
/// How often the sizes of tables are told, where the level of the log is debug.
const SIZES_EVERY: Duration = Duration::from_secs(5);
/// A note that could not be written is tried again after this time.
const NOTE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Connections that may bring updates of the directory.
const UPDATERS: usize = 8;

/// The module's wishes that are about no message.
struct NetworkEffects {
    invoker: Rc<ByKind>,
    watch: Sender<()>,
}

impl DriverEffects for NetworkEffects {
    fn close_idle(&self, provider: &Endpoint) {
        self.invoker.close_idle(provider);
    }

    fn watch_list(&self) {
        let _ = self.watch.try_send(());
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let source = match cli.command {
        Some(Command::Serve { config }) => config,
        Some(command) => return command.run(),
        None => cli.config,
    };
    let signals = SenderSignals::block().map_err(|e| format!("signals: {e}"));
    let filters = std::env::var("RUST_LOG").unwrap_or_else(|_| "info".into());
    env_logger::Builder::new()
        .parse_filters(&with_present_paths(&filters))
        .parse_write_style(&std::env::var("RUST_LOG_STYLE").unwrap_or_default())
        .format_timestamp_millis()
        .init();
    let executor = Rc::new(LocalExecutor::new());
    let turns = LoopLatency::default();
    let served = signals.and_then(|signals| {
        let config = configuration(source.as_deref())?;
        let serving = serve(config, source, executor.clone(), turns.clone(), signals);
        let work = event_loop::run(&executor, serving);
        if log::log_enabled!(log::Level::Debug) {
            async_io::block_on(turns.measure(work))
        } else {
            async_io::block_on(work)
        }
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("raildeal: {e}");
            ExitCode::FAILURE
        }
    }
}

/// What this sender is told, as it stands now.
fn configuration(file: Option<&Path>) -> Result<Config, String> {
    match file {
        Some(file) => Config::from_file(file),
        None => Config::from_env(|name| std::env::var(name).ok()),
    }
}

/// Reads the configuration again and moves to the discovery that it names. A file that cannot be
/// used changes nothing.
fn reload(file: Option<&Path>, discovery: &Discovery) {
    match configuration(file).map(|c| c.platform.map(|p| p.discovery)) {
        Ok(Some(address)) => {
            log::info!("configuration read again: discovery at {address}");
            discovery.move_to(address);
        }
        Ok(None) => {
            log::warn!("configuration read again: platform: not set any more; the old one stays")
        }
        Err(e) => log::error!("configuration not read again: {e}; the old one stays"),
    }
}

/// Returns a part that an operator's file sets up. A process that owes final answers starts without
/// a part whose file cannot be used: none of the answers needs it.
fn start_without<T>(
    part: Option<Result<T, String>>,
    owes_answers: bool,
) -> Result<Option<T>, String> {
    match part.transpose() {
        Err(e) if owes_answers => {
            log::error!("{e}; the start goes on without, as final answers are owed");
            Ok(None)
        }
        part => part,
    }
}

/// Returns the zone that is the directory, if one is configured.
fn open_zones(config: &Config, owes_answers: bool) -> Result<Option<Rc<Zones>>, String> {
    let Some(dns) = &config.dns else {
        ZoneCache::remove_unused(&config.state)
            .unwrap_or_else(|e| log::warn!("state: not removed: {e}"));
        return Ok(None);
    };
    Zones::open(&dns.zone_file, config.zone_cache(dns), owes_answers)
        .map(Some)
        .map_err(|e| e.to_string())
}

/// What no client can know.
fn salt() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Runs a part for as long as the process lives.
fn keep<F: Future + 'static>(executor: &LocalExecutor<'static>, part: F)
where
    F::Output: 'static,
{
    executor.spawn(part).detach();
}

fn bind(at: SocketAddr, name: &str, who: &str) -> Result<Async<TcpListener>, String> {
    let bound = Async::<TcpListener>::bind(at).map_err(|e| format!("{who}: {at}: {e}"))?;
    let at = bound
        .get_ref()
        .local_addr()
        .map_err(|e| format!("{who}: {e}"))?;
    log::info!("{name}: {who} at {at}");
    Ok(bound)
}

/// The signals that a sender is sent, each kept until it is received.
struct SenderSignals {
    ending: SignalReceiver,
    hangups: SignalReceiver,
}

impl SenderSignals {
    /// Blocks them, which has to happen before any other thread starts.
    fn block() -> io::Result<Self> {
        const HANGUPS: [Signal; 1] = [Signal::SIGHUP];
        // Where the size of files is bounded, a write past it is an error like any other and not
        // the end of the process.
        const NEVER_READ: [Signal; 1] = [Signal::SIGXFSZ];
        let blocked = BlockedSignals::new(&[&ENDING_SIGNALS[..], &HANGUPS, &NEVER_READ].concat())?;
        Ok(SenderSignals {
            ending: blocked.receiver(&ENDING_SIGNALS)?,
            hangups: blocked.receiver(&HANGUPS)?,
        })
    }
}

/// Who may hold how many descriptors: of those that are told, or fewer, where the system allows
/// fewer.
fn budget(config: &Config) -> Budget {
    let updates = config
        .dns
        .as_ref()
        .and_then(|d| d.updates.as_ref())
        .map_or(0, |_| UPDATERS);
    let allowed = getrlimit(Resource::Nofile).current;
    let budget = Budget::split(
        config.sockets,
        allowed,
        config.deployment.settings.max_in_flight_calls as usize,
        updates,
    );
    if budget.all < config.sockets {
        let told = config.sockets;
        log::warn!(
            "limits.sockets: {told} are told, but the system allows {}; that many are used",
            budget.all
        );
    }
    budget
}

/// Who may hold how much of the memory that is told.
fn memory_budget(config: &Config, descriptors: &Budget) -> MemoryBudget {
    let demand = Demand {
        connections: descriptors.clients,
        calls: descriptors.calls,
        messages: config.deployment.settings.max_held_messages as usize,
        state_folder_bytes: config.journal_options().limit_bytes as usize,
    };
    let budget = MemoryBudget::split(config.memory_bytes, demand);
    if budget.is_short {
        log::warn!(
            "limits.memory_mb: {} bytes may not be enough for {demand:?}",
            budget.limit_bytes
        );
    }
    budget
}

/// Those who call providers, by the wire that they speak.
fn providers(config: &Config, budget: &Budget, wheel: &Rc<TimerWheel>) -> Rc<ByKind> {
    let deployment = &config.deployment;
    // Both wires together keep what the budget has for it.
    let most = budget.kept / if config.brokers.is_some() { 2 } else { 1 };
    let (connect, idle) = (
        duration(deployment.connect_timeout),
        duration(deployment.settings.connection_idle_timeout),
    );
    let posters = Calls::new(
        Poster {
            columns: config.columns.clone(),
        },
        wheel.clone(),
        connect,
        idle,
        most,
    );
    let brokers = config.brokers.as_ref().map(|b| {
        let publisher = Publisher::new(
            b.client_id.clone(),
            b.topic.clone(),
            deployment.classes.clone(),
            idle,
        );
        (
            Calls::new(publisher, wheel.clone(), connect, idle, most),
            b.kinds.clone(),
        )
    });
    Rc::new(ByKind { posters, brokers })
}

/// Tells how long each table is, and how long work took between two looks at the sockets, for as
/// long as the process lives.
async fn sizes(
    context: Rc<DeliveryContext>,
    invoker: Rc<ByKind>,
    notices: Option<Rc<Notices>>,
    turns: LoopLatency,
) {
    loop {
        context.wheel.sleep(SIZES_EVERY).await;
        let mut all = context.driver.table_sizes();
        all.extend(context.directory.sizes());
        all.push(("names", context.held_messages.len()));
        all.push(("finished", context.held_messages.finished_count()));
        all.push(("idle", invoker.idle()));
        all.push(("notices", notices.as_ref().map_or(0, |n| n.waiting())));
        all.push(("sleepers", context.wheel.sleeping()));
        let all: Vec<String> = all
            .iter()
            .map(|(table, entries)| format!("{table}={entries}"))
            .collect();
        log::debug!("sizes: {}", all.join(" "));
        log::debug!("{}", turns.summary());
    }
}

/// What the process before this one left.
fn known_from_before(config: &Config, clock: &PersistentClock) -> RestartState {
    let notes = restart_state::load(
        &config.state,
        clock.now_unix_ms(),
        config.known.as_ref().map(|known| known.revision),
    );
    for fault in &notes.faults {
        log::warn!("state: a note does not count: {fault}");
    }
    log::debug!("state: {:?}", notes.state);
    notes.state
}

/// Has the state folder note its clock, as soon as it can be written.
async fn note_clock(clock: PersistentClock, folder: PathBuf, wheel: Rc<TimerWheel>) {
    let mut was_told = false;
    while let Err(e) = clock.note(&folder) {
        if !std::mem::replace(&mut was_told, true) {
            log::warn!("state: clock not noted: {e}; a step of the wall clock counts");
        }
        wheel.sleep(NOTE_RETRY_DELAY).await;
    }
}

/// Names the file of the fleet that this sender acts with, if it does.
const FLEET: &str = "RAILDEAL_FLEET";

/// The parts that what acts with the fleet is wired to.
#[cfg_attr(not(feature = "fleet"), allow(dead_code))]
struct Wired<'a> {
    config: &'a Config,
    settings: &'a Settings,
    budget: &'a Budget,
    context: &'a Rc<DeliveryContext>,
    seats: &'a Rc<ConnectionListener>,
    invoker: &'a Rc<ByKind>,
    executor: &'a Rc<LocalExecutor<'static>>,
}

/// What acts with the fleet in this sender.
#[cfg(feature = "fleet")]
struct Fleet(
    Option<raildeal::agent::config::FleetConfig>,
    Option<Rc<raildeal::agent::Agent>>,
);

#[cfg(feature = "fleet")]
impl Fleet {
    fn read() -> Result<Fleet, String> {
        let file = std::env::var_os(FLEET)
            .map(|path| raildeal::agent::config::FleetConfig::read(Path::new(&path)));
        let file = file.transpose().map_err(|e| format!("{FLEET}: {e}"))?;
        Ok(Fleet(file, None))
    }

    /// The store, with room left for policies and tables where they are followed.
    fn store(&self, config: &Config) -> Result<JournalOptions, String> {
        use raildeal::agent::document_store;
        let (policies, tables) = self.follows();
        let policies = document_store::reserved_bytes::<PolicySet>(&config.state, policies);
        let both = policies.and_then(|p| {
            Ok(p + document_store::reserved_bytes::<RoutingTables>(&config.state, tables)?)
        });
        let reserved = both.map_err(|e| format!("state: {}: {e}", config.state.display()))?;
        let options = config.journal_options();
        let limit = options.limit_bytes.saturating_sub(reserved);
        if limit < reserved {
            let least = 2 * reserved;
            return Err(format!(
                "limits.disk_mb: policies or tables are followed here, which needs {least} bytes at least"
            ));
        }
        Ok(JournalOptions {
            limit_bytes: limit,
            ..options
        })
    }

    /// Whether it follows policies, and tables.
    fn follows(&self) -> (bool, bool) {
        self.0.as_ref().map_or((false, false), |file| {
            (file.policies.is_some(), file.tables.is_some())
        })
    }

    fn start(&mut self, wired: &Wired) -> Result<(), String> {
        use raildeal::agent::{document_store, Agent, AgentParts};
        use std::sync::Arc;
        let Wired {
            config,
            settings,
            budget,
            context,
            seats,
            invoker,
            executor,
        } = *wired;
        let (policies, tables) = self.follows();
        let told = |e: std::io::Error| format!("state: {}: {e}", config.state.display());
        // What an earlier process took on may have been under policies, also where none is followed
        // any more.
        let reserved = document_store::reserved_bytes::<PolicySet>(&config.state, policies);
        let policies = (reserved.unwrap_or(0) > 0).then(|| {
            let validation = Arc::new(document_store::PolicyValidationContext {
                settings: settings.clone(),
                classes: context.class_names.clone(),
                admission: config.door.clone(),
                client_slots: budget.clients,
                // One at least is kept of what is kept idle.
                max_calls: budget.calls + budget.kept.saturating_sub(1),
                disk_bytes: config.journal_options().limit_bytes,
            });
            let unchanged = validation.clone();
            let current = Box::new(move || unchanged.clone());
            document_store::DocumentStore::<PolicySet>::open(
                &config.state,
                &validation,
                current,
                context.policies.clone(),
            )
        });
        let policies = policies.transpose().map_err(told)?;
        let tenants = settings.tenants.len();
        let tables = tables.then(|| {
            let validation = move |context: &DeliveryContext, listed| {
                let classes = context.class_names.clone();
                document_store::TableValidationContext {
                    classes,
                    tenants,
                    listed,
                }
            };
            let start = validation(context, None);
            let now = context.clone();
            let current = Box::new(move || {
                Arc::new(validation(&now, Some(now.directory.capacity_by_zone())))
            });
            document_store::DocumentStore::<RoutingTables>::open(
                &config.state,
                &start,
                current,
                context.routing_tables.clone(),
            )
        });
        let tables = tables.transpose().map_err(told)?;
        if !context.policies.numbers().is_empty() {
            context
                .driver
                .apply_settings(context.policies.merged_runtime_settings());
        }
        let (seats, invoker, both) = (seats.clone(), invoker.clone(), budget.calls + budget.kept);
        context.policies.on_activation(move |policy| {
            seats.change(policy.connection_rules.clone());
            invoker.keep_at_most(both.saturating_sub(policy.max_in_flight_calls as usize));
        });
        let (sender, context, executor) = (config.name.clone(), context.clone(), executor.clone());
        let warm_after = settings.slow_start_duration;
        let parts = AgentParts {
            sender,
            seed: salt(),
            warm_after,
            delivery: context,
            policies,
            tables,
            executor,
        };
        self.1 = self.0.take().map(|file| Agent::start(file, parts));
        Ok(())
    }

    async fn leave(&self) {
        if let Some(agent) = &self.1 {
            agent.leave().await;
        }
    }
}

/// This program was built without.
#[cfg(not(feature = "fleet"))]
struct Fleet;

#[cfg(not(feature = "fleet"))]
impl Fleet {
    fn read() -> Result<Fleet, String> {
        match std::env::var_os(FLEET) {
            Some(_) => Err(format!(
                "{FLEET}: set, but this program was built without the feature fleet"
            )),
            None => Ok(Fleet),
        }
    }

    fn store(&self, config: &Config) -> Result<JournalOptions, String> {
        Ok(config.journal_options())
    }

    fn start(&mut self, _: &Wired) -> Result<(), String> {
        Ok(())
    }

    async fn leave(&self) {}
}

async fn serve(
    config: Config,
    file: Option<PathBuf>,
    executor: Rc<LocalExecutor<'static>>,
    turns: LoopLatency,
    signals: SenderSignals,
) -> Result<(), String> {
    let SenderSignals { ending, hangups } = signals;
    let Config {
        name, deployment, ..
    } = &config;
    let mut settings = deployment.settings.clone();
    // On sockets nobody pushes the list: a discovery service has to be asked for it, whatever the
    // settings say.
    settings.poll_list = config.platform.is_some();
    let mut fleet = Fleet::read()?;

    // Each part, with its one owner.
    let wheel = TimerWheel::new();
    let directory = Rc::new(EndpointDirectory::new(
        &deployment.zones,
        &deployment.kinds,
        &settings.kinds,
    ));
    let (journal, unfinished) = Journal::open(
        &config.state,
        JournalOptions {
            seed: salt(),
            ..fleet.store(&config)?
        },
    )
    .map_err(|e| format!("state: {}: {e}", config.state.display()))?;
    let finished = FinishedMessages::open(&config.state, config.finished_ids_bytes());
    let owes_answers = !unfinished.is_empty();
    settings.watch_heartbeat = config
        .platform
        .as_ref()
        .map_or(0, |_| BEAT.as_nanos() as u64);
    let clock = journal.clock();
    keep(
        &executor,
        note_clock(clock, config.state.clone(), wheel.clone()),
    );
    settings.restart_state = known_from_before(&config, &clock);
    let (tended, synced, ended) = (journal.clone(), journal.clone(), journal.clone());
    let budget = budget(&config);
    let memory = memory_budget(&config, &budget);
    let reading = MemoryPool::new(memory.reading_bytes);
    let invoker = providers(&config, &budget, &wheel);
    let relay = Dispatcher::new(settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let (watch, asked) = async_channel::bounded(1);
    let driver = DispatcherDriver::new(
        relay,
        directory.clone(),
        Rc::new(NetworkEffects {
            invoker: invoker.clone(),
            watch,
        }),
    );
    let zones = open_zones(&config, owes_answers)?;
    let discovery = config
        .platform
        .as_ref()
        .map(|p| Discovery::new(p.discovery));
    let notices = discovery.clone().map(|d| Notices::new(d, wheel.clone()));
    let sessions = config
        .mqtt
        .as_ref()
        .map(|m| Sessions::new(wheel.clone(), m.keep_answers()));
    let mut fronts: BTreeMap<u8, Rc<dyn Frontend>> = BTreeMap::new();
    fronts.extend(notices.clone().map(|n| (PLATFORM, n as Rc<dyn Frontend>)));
    fronts.extend(sessions.clone().map(|s| (MQTT, s as Rc<dyn Frontend>)));
    let hook = config.hook.as_deref().map(script);
    let hook = start_without(hook, owes_answers)?;
    let terms =
        PolicySet::new(
            config
                .door
                .policy(0, &settings, &deployment.classes, budget.clients, hook),
        );
    let context = Rc::new(DeliveryContext {
        policies: terms,
        routing_tables: Default::default(),
        admission: Default::default(),
        class_names: deployment.classes.clone(),
        driver: driver.clone(),
        journal,
        client_quotas: ClientQuotas::new(
            config
                .door
                .limits(settings.max_held_messages as usize, &deployment.classes),
        ),
        directory: directory.clone(),
        endpoint_client: invoker.clone(),
        frontends: fronts,
        wheel: wheel.clone(),
        held_messages: Rc::new(HeldMessages::new(memory.max_messages, finished)),
        script_budget: Default::default(),
    });

    // Ports, so that whatever is wrong with them is told before anything is served.
    let updates = config.dns.as_ref().and_then(|d| d.updates.as_ref());
    let signer = start_without(updates.map(Updates::signer), owes_answers)?;
    let updates = updates.filter(|_| signer.is_some());
    let platform_port = config
        .platform
        .as_ref()
        .map(|p| bind(p.listen, name, "platform"))
        .transpose()?;
    let mqtt_port = config
        .mqtt
        .as_ref()
        .map(|m| bind(m.listen, name, "mqtt"))
        .transpose()?;
    let update_port = updates
        .map(|u| bind(u.listen, name, "dns updates"))
        .transpose()?;

    // The list as last held comes first of all, then what is still owed, then what is new.
    log::info!("{name}: {} messages to take up", unfinished.len());
    match zones
        .as_ref()
        .and_then(|z| z.list_update())
        .or(config.known.clone())
    {
        Some(list) => driver.apply_list_update(&list),
        None => driver.report_list_failure(),
    }
    let (turning, timing) = (wheel.clone(), (driver.clone(), wheel.clone()));
    keep(&executor, async move { turning.run().await });
    keep(
        &executor,
        async move { timing.0.run_timer(&timing.1).await },
    );
    keep(&executor, tended.maintain(wheel.clone()));
    keep(&executor, synced.run_sync());
    if let Some(zones) = zones.clone() {
        let wheel = wheel.clone();
        keep(&executor, async move { zones.maintain_cache(&wheel).await });
    }
    let sweeping = invoker.clone();
    keep(&executor, async move { sweeping.sweep().await });
    if let Some(notices) = notices.clone() {
        keep(&executor, async move { notices.run().await });
    }
    if log::log_enabled!(log::Level::Debug) {
        keep(
            &executor,
            sizes(context.clone(), invoker.clone(), notices, turns),
        );
    }
    if let Some(discovery) = discovery.clone() {
        let patience = Duration::from_secs_f64(list_polling::poll_timeout(
            list_polling::senders_polling_together(&settings),
        ));
        let watch = Watch {
            discovery,
            driver: driver.clone(),
            directory,
            wheel: wheel.clone(),
            patience,
            state: config.state.clone(),
            clock,
            quickest: Cell::new(
                settings
                    .restart_state
                    .poll_cost_seconds
                    .map(Duration::from_secs_f64),
            ),
            unnoted: Cell::default(),
            noted_revision: Cell::default(),
        };
        keep(&executor, async move { watch.run(asked).await });
    }
    let door = &config.door;
    let seats = ConnectionListener::new(
        door.rules(budget.clients),
        budget.lobby,
        door.when_full,
        reading.clone(),
        config.seed,
    );
    keep(&executor, seats.clone().reclaim_memory(wheel.clone()));
    let memory_report = MemoryReport {
        limit_bytes: memory.limit_bytes,
        reading: reading.clone(),
        connections: seats.clone(),
    };
    keep(
        &executor,
        memory_report.run(door.log_every(), wheel.clone()),
    );
    fleet.start(&Wired {
        config: &config,
        settings: &settings,
        budget: &budget,
        context: &context,
        seats: &seats,
        invoker: &invoker,
        executor: &executor,
    })?;
    for record in unfinished {
        keep(&executor, message::resume(context.clone(), record));
    }
    keep(
        &executor,
        seats.clone().tell(
            context.client_quotas.clone(),
            door.log_every(),
            wheel.clone(),
        ),
    );
    let run = executor.clone();
    let ingress = Ingress::new(context.clone(), deployment, PLATFORM, run.clone());
    let port = sessions
        .clone()
        .map(|s| Port::new(context.clone(), s, deployment, MQTT, run.clone()));
    let mut listening = Vec::new();
    if let Some(listener) = platform_port {
        let clients = seats
            .clone()
            .listen(listener, ingress.clone(), wheel.clone(), run.clone());
        listening.push(executor.spawn(clients));
    }
    if let Some((listener, port)) = mqtt_port.zip(port.clone()) {
        listening.push(executor.spawn(seats.listen(listener, port, wheel.clone(), run.clone())));
    }
    if let Some(((listener, zones), signer)) = update_port.zip(zones.clone()).zip(signer) {
        let updates = Rc::new(UpdatePort {
            zones,
            driver: driver.clone(),
            signer,
            wheel: wheel.clone(),
        });
        let seats = ConnectionListener::new(
            Rules::open(UPDATERS),
            1,
            WhenFull::Queue,
            reading,
            config.seed,
        );
        keep(&executor, seats.clone().reclaim_memory(wheel.clone()));
        listening.push(executor.spawn(seats.listen(listener, updates, wheel.clone(), run)));
    }
    let reloading = driver.clone();
    keep(&executor, async move {
        loop {
            hangups.received().await;
            discovery.iter().for_each(|d| reload(file.as_deref(), d));
            if let Some(zones) = &zones {
                zones.reload(&reloading).await;
            }
        }
    });

    ending.received().await;
    log::info!(
        "{name}: told to end with {} messages held",
        driver.held_count()
    );
    let finishing = async {
        ingress.wind_down();
        wheel.sleep(STILL_COMING).await;
        for task in listening {
            task.cancel().await;
        }
        ingress.end_idle();
        port.iter().for_each(|p| p.close());
        let rest = async { wheel.sleep(LAST_CALL - STILL_COMING).await };
        rest.or(context.all_closed()).await;
        driver.halt();
        fleet.leave().await;
        driver.wait_for_attempts().await;
    };
    finishing.or(async { wheel.sleep(END).await }).await;
    sessions.iter().for_each(|s| s.farewell());
    ended
        .sync_now()
        .unwrap_or_else(|e| log::error!("store: sync: {e}"));
    restart_state::note_planned_end(&config.state, clock.now_unix_ms())
        .unwrap_or_else(|e| log::warn!("state: end not noted: {e}"));
    log::info!(
        "{name}: ends with {} messages for the next start",
        driver.held_count()
    );
    Ok(())
}
