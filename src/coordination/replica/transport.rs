//! What connections to other replicas and to other sites have in common: limits of time, signs of
//! life, attempts to connect.

use crate::coordination::framing::{self, FrameError};
use crate::coordination::replica::{Context, Event, CONFLICT_RETENTION};
use crate::delivery::timer_wheel::TimerWheel;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::io::split;
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// To say who one is, and to connect.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// One that does not take a word for so long is ended.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Between two signs of life to a keeper that sends.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// One that gives no sign of life for so long, five intervals, is left.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Between two attempts to reach a keeper; the real time is drawn from there to twice as long.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What is known of the connection to another keeper.
#[derive(Default)]
pub(super) struct LinkState {
    pub(super) up: Cell<bool>,
    /// Why there is none.
    pub(super) reason: RefCell<String>,
    /// When that was last told, and what.
    pub(super) last_logged: RefCell<Option<(Instant, String)>>,
}

impl LinkState {
    /// The connection has ended, and why if it broke: told once, and again where that is `new`.
    pub(super) fn on_disconnected(&self, log_prefix: &str, ended: Result<(), FrameError>, new: bool) {
        let reason = ended.err().map(|e| e.to_string());
        *self.reason.borrow_mut() = reason.clone().unwrap_or_default();
        let Some(reason) = reason else { return };
        let known =
            |(at, before): &(Instant, String)| *before == reason || at.elapsed() < CONFLICT_RETENTION;
        let mut last_logged = self.last_logged.borrow_mut();
        if new || !last_logged.as_ref().is_some_and(known) {
            log::info!("{log_prefix}: is not reached: {reason}");
            *last_logged = Some((Instant::now(), reason));
        }
    }
}

/// Work that has to be done in time.
pub(super) async fn with_timeout<T>(
    wheel: &Rc<TimerWheel>,
    limit: Duration,
    work: impl std::future::Future<Output = Result<T, FrameError>>,
) -> Result<T, FrameError> {
    let timed_out = || FrameError::Io(std::io::ErrorKind::TimedOut.into());
    wheel
        .timeout(limit, work)
        .await
        .unwrap_or_else(|| Err(timed_out()))
}

/// Brings in what another one says, and tells it that this one lives, until the connection breaks
/// or another one takes its place.
pub(super) async fn receive_messages<T: Serialize + DeserializeOwned>(
    context: &Context,
    stream: Async<TcpStream>,
    (heartbeat, max_bytes): (&T, usize),
    ended: &Receiver<()>,
    to_event: impl Fn(T) -> Result<Event, FrameError>,
) -> Result<(), FrameError> {
    let (mut from, mut to) = split(stream);
    let reading = async {
        loop {
            let message = to_event(framing::read(&mut from, max_bytes).await?)?;
            let _ = context.inbox.send(message).await;
        }
    };
    let heartbeats = async {
        loop {
            with_timeout(
                &context.wheel,
                WRITE_TIMEOUT,
                framing::write(&mut to, heartbeat, max_bytes),
            )
            .await?;
            context.wheel.sleep(HEARTBEAT_INTERVAL).await;
        }
    };
    let superseded = async {
        let _ = ended.recv().await;
        Ok(())
    };
    reading.or(heartbeats).or(superseded).await
}

/// Sends what is to be said, for as long as there are signs of life and the other one is who it
/// should be; tells of each of those signs.
pub(super) async fn send_messages<T: DeserializeOwned>(
    context: &Context,
    stream: Async<TcpStream>,
    max_bytes: usize,
    outbox: &Receiver<Vec<u8>>,
    up: &Cell<bool>,
    on_heartbeat: impl Fn(),
) -> Result<(), FrameError> {
    let (mut from, mut to) = split(stream);
    let writing = async {
        while let Ok(bytes) = outbox.recv().await {
            with_timeout(
                &context.wheel,
                WRITE_TIMEOUT,
                framing::write_encoded(&mut to, &bytes),
            )
            .await?;
        }
        Ok(())
    };
    let listening = async {
        while up.get() {
            with_timeout(
                &context.wheel,
                HEARTBEAT_TIMEOUT,
                framing::read::<T>(&mut from, max_bytes),
            )
            .await?;
            on_heartbeat();
        }
        Ok(())
    };
    writing.or(listening).await
}

/// When another attempt is made to reach somebody.
pub(super) fn retry_delay() -> Duration {
    RETRY_DELAY + Duration::from_millis(fastrand::u64(0..=RETRY_DELAY.as_millis() as u64))
}
