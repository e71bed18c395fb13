//! Parts that connections to other replicas and to other sites share: timeouts, heartbeats and the
//! delay between attempts to connect.

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

/// Time limit to connect and to exchange the first messages.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit to write one message; a connection that exceeds it is closed.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of heartbeats on a connection, from the receiver of its messages to the sender.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a heartbeat after which the sender closes the connection: five intervals.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Shortest delay between two attempts to connect; the actual delay is random, up to twice as long.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// State of the connection to another replica.
#[derive(Default)]
pub(super) struct LinkState {
    /// Whether messages may be sent over the connection.
    pub(super) up: Cell<bool>,
    /// Reason why there is no connection, empty if unknown.
    pub(super) reason: RefCell<String>,
    /// Time and text of the last log line about it.
    pub(super) last_logged: RefCell<Option<(Instant, String)>>,
}

impl LinkState {
    /// Records that the connection has ended, and the reason if it failed. The reason is logged
    /// once, again if it differs from one logged more than `CONFLICT_RETENTION` ago, and always if
    /// `new` is set.
    pub(super) fn on_disconnected(
        &self,
        log_prefix: &str,
        ended: Result<(), FrameError>,
        new: bool,
    ) {
        let reason = ended.err().map(|e| e.to_string());
        *self.reason.borrow_mut() = reason.clone().unwrap_or_default();
        let Some(reason) = reason else { return };
        let known = |(at, before): &(Instant, String)| {
            *before == reason || at.elapsed() < CONFLICT_RETENTION
        };
        let mut last_logged = self.last_logged.borrow_mut();
        if new || !last_logged.as_ref().is_some_and(known) {
            log::info!("{log_prefix}: is not reached: {reason}");
            *last_logged = Some((Instant::now(), reason));
        }
    }
}

/// Runs work with a time limit; exceeding it is an I/O error of kind `TimedOut`.
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

/// Receives messages as events and sends heartbeats, until the connection fails or is replaced by
/// a newer one.
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

/// Sends queued messages while heartbeats arrive and `up` stays set. Calls `on_heartbeat` for each
/// heartbeat.
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

/// Returns the random delay before the next attempt to connect.
pub(super) fn retry_delay() -> Duration {
    RETRY_DELAY + Duration::from_millis(fastrand::u64(0..=RETRY_DELAY.as_millis() as u64))
}
