//! Calls to providers, over connections that are kept and used again.

use super::http::{self, Response};
use crate::core::directory::Provider;
use crate::core::wheel::Wheel;
use crate::core::{Envelope, Invoker, Local, Report};
use crate::net::stream::Stream;
use crate::{Outcome, Time};
use futures_lite::FutureExt;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The rest of an answer whose first line has come may take this long; then its connection is given up.
const REST_OF_ANSWER: Duration = Duration::from_millis(200);
/// Longest body of an answer that is read to keep its connection.
const MAX_REST: usize = 64 * 1024;

/// Owner of the connections to providers.
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<(Stream, Instant)>>>,
    wheel: Rc<Wheel>,
    connect_timeout: Duration,
    /// Connections idle this long are closed here, before the other side does.
    idle_most: Duration,
    /// Names of the values in a load report.
    columns: Vec<String>,
}

impl Pool {
    /// An empty pool; `idle_close` is when the other side closes an idle connection (0: never).
    pub fn new(
        wheel: Rc<Wheel>,
        connect_timeout: Duration,
        idle_close: Duration,
        columns: Vec<String>,
    ) -> Rc<Self> {
        // A fifth to spare: the other side's clock runs from when it wrote its answer.
        let idle_most = if idle_close.is_zero() { Duration::from_secs(60) } else { idle_close * 4 / 5 };
        Rc::new(Pool { idle: RefCell::default(), wheel, connect_timeout, idle_most, columns })
    }

    /// Closes connections as they get old; runs for ever.
    pub async fn sweep(&self) {
        loop {
            self.wheel.sleep(Duration::from_secs(1)).await;
            let mut idle = self.idle.borrow_mut();
            idle.values_mut().for_each(|kept| kept.retain(|(_, since)| since.elapsed() < self.idle_most));
            idle.retain(|_, kept| !kept.is_empty());
        }
    }

    /// The connection used last of those that still stand.
    fn kept(&self, address: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        std::iter::from_fn(|| kept.pop())
            .find(|(stream, since)| since.elapsed() < self.idle_most && stream.is_quiet())
            .map(|(stream, _)| stream)
    }

    fn keep(&self, address: SocketAddr, stream: Stream) {
        self.idle.borrow_mut().entry(address).or_default().push((stream, Instant::now()));
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Option<Stream> {
        let time = self.connect_timeout.min(deadline.saturating_duration_since(Instant::now()));
        let made = self.wheel.limit(time, Stream::connect(address)).await;
        made.and_then(|r| r.inspect_err(|e| log::debug!("providers: {address}: {e}")).ok())
    }

    async fn exchange(
        &self,
        provider: &Provider,
        envelope: &Envelope,
        timeout: Duration,
        go: &dyn Fn() -> bool,
    ) -> Report {
        let (address, deadline) = (provider.entry.address, Instant::now() + timeout);
        let mut stream = match self.kept(address) {
            Some(stream) => stream,
            None => match self.connect(address, deadline).await {
                Some(stream) => stream,
                None => return Outcome::ConnectFailed.into(),
            },
        };
        if !go() {
            self.keep(address, stream);
            return Outcome::Moot.into();
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let bytes = request(provider, envelope, left);
        match self.wheel.limit(left, stream.send(&bytes)).await {
            Some(Ok(())) => {}
            // Broken or stuck before its last byte: it never ran.
            _ => return Outcome::ConnectFailed.into(),
        }
        let left = deadline.saturating_duration_since(Instant::now());
        match self.wheel.limit(left, http::read_response(&mut stream)).await {
            None => Outcome::Timeout.into(),
            Some(Err(e)) => {
                log::debug!("providers: {} after the call was sent: {e}", provider.entry.uid);
                Outcome::Reset.into()
            }
            Some(Ok(answer)) => {
                let report = report(&answer, &self.columns);
                if answer.keep_alive {
                    let rest = http::read_body(&mut stream, answer.body, MAX_REST);
                    if let Some(Ok(_)) = self.wheel.limit(REST_OF_ANSWER, rest).await {
                        self.keep(address, stream);
                    }
                }
                report
            }
        }
    }
}

impl Invoker for Pool {
    fn call<'a>(
        &'a self,
        provider: Rc<Provider>,
        envelope: &'a Envelope,
        timeout: Duration,
        go: &'a dyn Fn() -> bool,
    ) -> Local<'a, Report> {
        // The connection lives in the exchange: whatever ends that has closed it, or put it back, before its report.
        async move { self.exchange(&provider, envelope, timeout, go).await }.boxed_local()
    }

    fn close_idle(&self, provider: &Provider) {
        self.idle.borrow_mut().remove(&provider.entry.address);
    }
}

/// The bytes of a call, for one write.
fn request(provider: &Provider, envelope: &Envelope, left: Duration) -> Vec<u8> {
    let key = envelope.key.as_ref().map_or(String::new(), |k| format!("Idempotency-Key: {k}\r\n"));
    let head = format!(
        "POST /hook HTTP/1.1\r\nHost: {}\r\nX-Txn: {}\r\n{key}X-Remaining: {}m\r\nContent-Length: {}\r\n\r\n",
        provider.entry.address,
        envelope.id,
        left.as_millis().max(1),
        envelope.body.len()
    );
    [head.as_bytes(), &envelope.body].concat()
}

/// What an answer means.
fn report(answer: &Response, columns: &[String]) -> Report {
    let told = answer.headers.get("x-ratelimit-wait-ms").and_then(|v| v.parse::<f64>().ok());
    let wait = told.filter(|ms| (0.0..=86_400_000.0).contains(ms)).map_or(0, |ms| (ms * 1e6) as Time);
    let (outcome, over) = match answer.status {
        200..=299 => (Outcome::Ok, true),
        410 => (Outcome::Moot, true),
        504 => (Outcome::Moot, false),
        503 if answer.headers.get("x-over-slots") == Some("1") => (Outcome::Moot, false),
        429 | 503 => (Outcome::Full { wait }, false),
        _ => (Outcome::Error, false),
    };
    Report { outcome, over, load: load(answer.headers.get("x-pressure"), columns) }
}

/// A load report by columns; nothing unless all are there.
fn load(text: Option<&str>, columns: &[String]) -> Vec<f32> {
    let items: HashMap<&str, f32> = text
        .unwrap_or("")
        .split(',')
        .filter_map(|i| i.trim().split_once('='))
        .filter_map(|(k, v)| Some((k.trim(), v.trim().parse().ok()?)))
        .collect();
    columns.iter().map(|c| items.get(c.as_str()).copied()).collect::<Option<_>>().unwrap_or_default()
}
