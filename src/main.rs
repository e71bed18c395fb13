//! The sender: reads its configuration, wires the parts and serves until it is told to end.
#![forbid(unsafe_code)]

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use raildeal::core::desk::{Desk, Hands};
use raildeal::core::directory::{Directory, Provider};
use raildeal::core::invocation::{self, House};
use raildeal::core::journal::Journal;
use raildeal::core::wheel::Wheel;
use raildeal::core::{span, Front, Invoker};
use raildeal::net::platform::config::Config;
use raildeal::net::platform::ingress::Ingress;
use raildeal::net::platform::notices::Notices;
use raildeal::net::platform::providers::Pool;
use raildeal::net::platform::watch::Watch;
use raildeal::Relay;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// After the signal to end, new connections keep coming for so long.
const STILL_COMING: Duration = Duration::from_millis(600);
/// From then on no call begins: those that are out need the rest of the time.
const LAST_CALL: Duration = Duration::from_millis(2000);
/// The process ends so long after the signal, before it would be killed.
const END: Duration = Duration::from_millis(3400);

/// The module's wishes that are about no message.
struct Wishes {
    pool: Rc<Pool>,
    watch: Sender<()>,
}

impl Hands for Wishes {
    fn close_idle(&self, provider: &Provider) {
        self.pool.close_idle(provider);
    }

    fn watch_list(&self) {
        let _ = self.watch.try_send(());
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let config = match Config::from_env(|name| std::env::var(name).ok()) {
        Ok(config) => config,
        Err(e) => {
            eprintln!("raildeal: {e}");
            return ExitCode::FAILURE;
        }
    };
    let executor = Rc::new(LocalExecutor::new());
    match async_io::block_on(executor.run(serve(config, executor.clone()))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("raildeal: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(config: Config, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let mut ending = Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))?;
    let (deployment, settings) = (&config.deployment, &config.deployment.settings);
    let wheel = Wheel::new();
    let directory = Rc::new(Directory::new(&deployment.zones, &deployment.kinds, &settings.kinds));
    let (journal, unfinished) = Journal::open(&config.state, config.disk)
        .map_err(|e| format!("state {}: {e}", config.state.display()))?;
    let pool = Pool::new(
        wheel.clone(),
        span(deployment.connect_timeout),
        span(settings.idle_close),
        config.columns.clone(),
    );
    let relay = Relay::new(settings.clone(), config.seed).map_err(|e| e.to_string())?;
    let (watch, asked) = async_channel::bounded(1);
    let desk = Desk::new(relay, directory.clone(), Rc::new(Wishes { pool: pool.clone(), watch }));
    let notices = Notices::new(config.discovery, wheel.clone());
    let house = Rc::new(House {
        settings: settings.clone(),
        desk: desk.clone(),
        journal,
        directory: directory.clone(),
        invoker: pool.clone() as Rc<dyn Invoker>,
        fronts: vec![notices.clone() as Rc<dyn Front>],
        wheel: wheel.clone(),
    });
    let listener =
        Async::<TcpListener>::bind(config.listen).map_err(|e| format!("listen {}: {e}", config.listen))?;
    log::info!("{}: {} messages to take up, listening at {}", config.name, unfinished.len(), config.listen);

    // The list as last held comes first of all, then what is still owed.
    match &config.known {
        Some(known) => desk.list(known),
        None => desk.list_failed(),
    }
    let (timing, keeping, sweeping, noticing) = (wheel.clone(), desk.clone(), pool.clone(), notices.clone());
    executor.spawn(async move { timing.turn().await }).detach();
    let timers = wheel.clone();
    executor.spawn(async move { keeping.keep_time(&timers).await }).detach();
    executor.spawn(async move { sweeping.sweep().await }).detach();
    executor.spawn(async move { noticing.run().await }).detach();
    let watch = Watch { address: config.discovery, desk: desk.clone(), directory, wheel: wheel.clone() };
    executor.spawn(async move { watch.run(asked).await }).detach();
    for record in unfinished {
        executor.spawn(invocation::resume(house.clone(), record)).detach();
    }
    let ingress = Ingress::new(house, deployment, 0, config.sockets / 2);
    let listening = executor.spawn(ingress.clone().listen(listener, executor.clone()));

    ending.next().await;
    log::info!("{}: told to end with {} messages held", config.name, desk.held());
    let finishing = async {
        ingress.wind_down();
        wheel.sleep(STILL_COMING).await;
        listening.cancel().await;
        ingress.end_idle();
        wheel.sleep(LAST_CALL - STILL_COMING).await;
        desk.halt();
        desk.calls_ended().await;
    };
    finishing.or(async { wheel.sleep(END).await }).await;
    log::info!("{}: ends with {} messages for the next start", config.name, desk.held());
    Ok(())
}
