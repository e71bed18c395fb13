//! Invoker calls over kept connections, the same for every wire: connect, ask once more, one write,
//! one answer. A [`Dialect`] supplies the words.

use crate::delivery::endpoint::{Endpoint, EndpointIncarnation};
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{AttemptReport, AttemptRequest, EndpointClient, Envelope, LocalBoxFuture};
use crate::net::socket_error::{is_local, is_out_of_descriptors};
use crate::net::stream::Stream;
use crate::Outcome;
use futures_lite::{Future, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Once an answer has begun, the rest of it may take this long; then its connection is given up.
const REST_OF_ANSWER: Duration = Duration::from_millis(300);
/// Most beginnings of an answer that only announce another.
const MAX_INTERIM: usize = 32;
/// A connection rests this long before it is used again: bytes that belong to no call show up
/// meanwhile.
const SETTLE: Duration = Duration::from_millis(10);
/// Between the close of a connection whose call is given up and the end of its attempt. The next
/// attempt goes to another endpoint, and must not arrive before this one can see the close.
const CLOSE_LEAD: Duration = Duration::from_millis(20);
/// What a connection is kept for where the settings name no time.
const IDLE_DEFAULT: Duration = Duration::from_secs(60);

/// How far an answer was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// It only announces another one.
    Interim,
    /// To its end; its connection may be used again.
    Whole,
    /// As far as it matters; its connection may not be used again.
    Last,
}

/// What a wire says in a call.
pub trait Dialect {
    /// Greets a provider on a new connection. Gives how long the connection may stand idle, if the
    /// other side says.
    fn greet(&self, stream: &mut Stream) -> impl Future<Output = io::Result<Option<Duration>>>;

    /// The bytes of a call, for one write.
    fn request(
        &self,
        provider: &Endpoint,
        envelope: &Envelope,
        left: Duration,
    ) -> io::Result<Vec<u8>>;

    /// Reads an answer that has begun. `known` is set as soon as its meaning cannot change any
    /// more, whatever becomes of the rest; where it is not set in the end, the answer was spoilt.
    fn answer(
        &self,
        stream: &mut Stream,
        known: &mut Option<AttemptReport>,
    ) -> impl Future<Output = io::Result<Read>>;

    /// What is said on an idle connection before it is closed, if anything.
    fn farewell(&self) -> &'static [u8] {
        &[]
    }
}

struct Link {
    stream: Stream,
    /// Idle this long, it is closed here.
    idle_most: Duration,
    since: Instant,
}

impl Link {
    fn fresh(&self) -> bool {
        self.since.elapsed() < self.idle_most
    }
}

/// Owner of the connections to providers that speak one dialect.
pub struct Calls<D> {
    dialect: D,
    /// By process and not by address: another one may have taken over the address since.
    idle: RefCell<HashMap<EndpointIncarnation, Vec<Link>>>,
    /// Most of them.
    most: Cell<usize>,
    wheel: Rc<TimerWheel>,
    connect_timeout: Duration,
    idle_most: Duration,
}

impl<D: Dialect> Calls<D> {
    /// No connections yet; `idle_close` is when the other side closes an idle one (0: never), and
    /// so many are kept idle at the most.
    pub fn new(
        dialect: D,
        wheel: Rc<TimerWheel>,
        connect_timeout: Duration,
        idle_close: Duration,
        most: usize,
    ) -> Rc<Self> {
        // A fifth to spare: a request that crosses the other side's close is lost, and may have run
        // for all we know.
        let idle_most = if idle_close.is_zero() {
            IDLE_DEFAULT
        } else {
            idle_close * 4 / 5
        };
        let (idle, most) = (RefCell::default(), Cell::new(most));
        Rc::new(Calls {
            dialect,
            idle,
            most,
            wheel,
            connect_timeout,
            idle_most,
        })
    }

    /// So many are kept idle at the most, from the next one on that is given back.
    pub fn keep_at_most(&self, most: usize) {
        self.most.set(most);
    }

    /// Connections that are kept idle.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes connections as they get old; runs for ever.
    pub async fn sweep(&self) {
        loop {
            self.wheel.sleep(Duration::from_secs(1)).await;
            let mut idle = self.idle.borrow_mut();
            for links in idle.values_mut() {
                links
                    .iter()
                    .filter(|l| !l.fresh())
                    .for_each(|l| l.stream.try_send(self.dialect.farewell()));
                links.retain(Link::fresh);
            }
            idle.retain(|_, links| !links.is_empty());
        }
    }

    /// The connection used last of those that still stand.
    async fn kept(&self, provider: EndpointIncarnation) -> Option<Link> {
        loop {
            let link = self
                .idle
                .borrow_mut()
                .get_mut(&provider)
                .and_then(Vec::pop)?;
            if link.since.elapsed() < SETTLE {
                self.wheel.sleep_until(link.since + SETTLE).await;
            }
            if link.fresh() && link.stream.is_quiet() {
                return Some(link);
            }
        }
    }

    /// Closes the kept connection that was used least lately; false where none is kept.
    fn give_up_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        // Each provider's stand in that order.
        let oldest = idle
            .values_mut()
            .filter(|l| !l.is_empty())
            .min_by_key(|l| l[0].since);
        oldest
            .map(|links| links.remove(0).stream.try_send(self.dialect.farewell()))
            .is_some()
    }

    fn keep(&self, provider: EndpointIncarnation, link: Link) {
        while self.idle() >= self.most.get() {
            if !self.give_up_oldest() {
                return link.stream.try_send(self.dialect.farewell());
            }
        }
        let mut link = Link {
            since: Instant::now(),
            ..link
        };
        link.stream.release();
        let mut idle = self.idle.borrow_mut();
        idle.entry(provider).or_default().push(link);
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Link> {
        let mut stream = match Stream::connect(address).await {
            // A call goes before what is only kept.
            Err(e) if is_out_of_descriptors(&e) && self.give_up_oldest() => {
                Stream::connect(address).await?
            }
            other => other?,
        };
        let told = self.dialect.greet(&mut stream).await?;
        let idle_most = told.map_or(self.idle_most, |t| self.idle_most.min(t));
        Ok(Link {
            stream,
            idle_most,
            since: Instant::now(),
        })
    }

    /// Closes a connection whose call may still be out at its endpoint, and waits until the
    /// endpoint can have seen that.
    async fn give_up(&self, link: Link) {
        drop(link);
        self.wheel.sleep(CLOSE_LEAD).await;
    }

    async fn exchange(&self, call: AttemptRequest<'_>) -> AttemptReport {
        let AttemptRequest {
            endpoint: provider,
            envelope,
            timeout,
            ends_at,
            authorize_send: go,
        } = call;
        let address = provider.entry.address;
        let deadline = (Instant::now() + timeout).min(ends_at - CLOSE_LEAD);
        let left = || deadline.saturating_duration_since(Instant::now());
        let mut link = match self.kept(provider.incarnation()).await {
            Some(link) => link,
            None => match self
                .wheel
                .timeout(self.connect_timeout.min(left()), self.connect(address))
                .await
            {
                Some(Ok(link)) => link,
                Some(Err(e)) if is_local(&e) => {
                    log::debug!("calls: {address}: not opened here: {e}");
                    return Outcome::NotSent.into();
                }
                failed => {
                    log::debug!("calls: {address}: {:?}", failed.and_then(Result::err));
                    return Outcome::ConnectFailed.into();
                }
            },
        };
        let request = self.dialect.request(&provider, envelope, left());
        let bytes = match request
            .inspect_err(|e| log::error!("calls: {} cannot be said: {e}", envelope.id))
        {
            Ok(bytes) if go() => bytes,
            _ => {
                self.keep(provider.incarnation(), link);
                return Outcome::NotSent.into();
            }
        };
        if !matches!(
            self.wheel.timeout(left(), link.stream.send(&bytes)).await,
            Some(Ok(()))
        ) {
            // Broken or stuck before its last byte: it never ran.
            return Outcome::ConnectFailed.into();
        }
        let mut known = None;
        for _ in 0..MAX_INTERIM {
            let begins = async { Ok(!link.stream.buf.is_empty() || link.stream.fill().await?) };
            match self.wheel.timeout(left(), begins).await {
                None => {
                    self.give_up(link).await;
                    return Outcome::Timeout.into();
                }
                Some(Ok(true)) => {}
                Some(end @ (Ok(false) | Err::<_, io::Error>(_))) => {
                    log::debug!(
                        "calls: {} ended after the call was sent: {end:?}",
                        provider.entry.uid
                    );
                    self.give_up(link).await;
                    return Outcome::Reset.into();
                }
            }
            let rest = self.dialect.answer(&mut link.stream, &mut known);
            // Its message's last moments are not the endpoint's to take, however it dribbles.
            let rest_time = (ends_at - CLOSE_LEAD).saturating_duration_since(Instant::now());
            match self
                .wheel
                .timeout(REST_OF_ANSWER.min(rest_time), rest)
                .await
            {
                Some(Ok(Read::Interim)) => continue,
                Some(Ok(Read::Whole)) if link.stream.buf.is_empty() => {
                    self.keep(provider.incarnation(), link);
                    return known.unwrap_or(Outcome::Error.into());
                }
                Some(Ok(_)) => {}
                spoilt => log::debug!(
                    "calls: {} answered what is no answer: {spoilt:?}",
                    provider.entry.uid
                ),
            }
            break;
        }
        if known.is_none() {
            self.give_up(link).await;
        }
        // Answered, if not to be read: the provider is there, and may have run it.
        known.unwrap_or(Outcome::Error.into())
    }
}

impl<D: Dialect> EndpointClient for Calls<D> {
    fn execute<'a>(&'a self, call: AttemptRequest<'a>) -> LocalBoxFuture<'a, AttemptReport> {
        // The connection lives in the exchange: whatever ends that has closed it, or put it back,
        // before its report.
        self.exchange(call).boxed_local()
    }

    fn close_idle(&self, provider: &Endpoint) {
        let links = self.idle.borrow_mut().remove(&provider.incarnation());
        links
            .iter()
            .flatten()
            .for_each(|l| l.stream.try_send(self.dialect.farewell()));
    }
}
