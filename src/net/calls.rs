//! Invoker calls over kept connections, the same for every wire: connect, ask once more, one write, one answer. A
//! [`Dialect`] supplies the words.

use crate::core::directory::Provider;
use crate::core::wheel::Wheel;
use crate::core::{Envelope, Invoker, InvokerCall, Local, Report};
use crate::net::stream::Stream;
use crate::Outcome;
use futures_lite::{Future, FutureExt};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An answer that is known but not wholly read may take this long more; then its connection is given up.
const REST_OF_ANSWER: Duration = Duration::from_millis(200);
/// What a connection is kept for where the settings name no time.
const IDLE_DEFAULT: Duration = Duration::from_secs(60);

/// What a wire says in a call.
pub trait Dialect {
    /// What is still to be read of an answer that is known, before its connection can be used again.
    type Rest;

    /// Greets a provider on a new connection. Gives how long the connection may stand idle, if the other side says.
    fn greet(&self, stream: &mut Stream) -> impl Future<Output = io::Result<Option<Duration>>>;

    /// The bytes of a call, for one write.
    fn request(&self, provider: &Provider, envelope: &Envelope, left: Duration) -> io::Result<Vec<u8>>;

    /// Reads up to where the outcome is known.
    fn answer(&self, stream: &mut Stream) -> impl Future<Output = io::Result<(Report, Self::Rest)>>;

    /// Reads the rest. False: the connection is not to be used again.
    fn rest(&self, stream: &mut Stream, rest: Self::Rest) -> impl Future<Output = io::Result<bool>>;

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
    idle: RefCell<HashMap<SocketAddr, Vec<Link>>>,
    wheel: Rc<Wheel>,
    connect_timeout: Duration,
    idle_most: Duration,
}

impl<D: Dialect> Calls<D> {
    /// No connections yet; `idle_close` is when the other side closes an idle one (0: never).
    pub fn new(dialect: D, wheel: Rc<Wheel>, connect_timeout: Duration, idle_close: Duration) -> Rc<Self> {
        // A fifth to spare: a request that crosses the other side's close is lost, and may have run for all we know.
        let idle_most = if idle_close.is_zero() { IDLE_DEFAULT } else { idle_close * 4 / 5 };
        Rc::new(Calls { dialect, idle: RefCell::default(), wheel, connect_timeout, idle_most })
    }

    /// Closes connections as they get old; runs for ever.
    pub async fn sweep(&self) {
        loop {
            self.wheel.sleep(Duration::from_secs(1)).await;
            let mut idle = self.idle.borrow_mut();
            for links in idle.values_mut() {
                links.iter().filter(|l| !l.fresh()).for_each(|l| l.stream.try_send(self.dialect.farewell()));
                links.retain(Link::fresh);
            }
            idle.retain(|_, links| !links.is_empty());
        }
    }

    /// The connection used last of those that still stand.
    fn kept(&self, address: SocketAddr) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        std::iter::from_fn(|| links.pop()).find(|l| l.fresh() && l.stream.is_quiet())
    }

    fn keep(&self, address: SocketAddr, link: Link) {
        let link = Link { since: Instant::now(), ..link };
        self.idle.borrow_mut().entry(address).or_default().push(link);
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Link> {
        let mut stream = Stream::connect(address).await?;
        let told = self.dialect.greet(&mut stream).await?;
        let idle_most = told.map_or(self.idle_most, |t| self.idle_most.min(t));
        Ok(Link { stream, idle_most, since: Instant::now() })
    }

    async fn exchange(&self, call: InvokerCall<'_>) -> Report {
        let InvokerCall { provider, envelope, timeout, go } = call;
        let (address, deadline) = (provider.entry.address, Instant::now() + timeout);
        let left = || deadline.saturating_duration_since(Instant::now());
        let mut link = match self.kept(address) {
            Some(link) => link,
            None => match self.wheel.limit(self.connect_timeout.min(left()), self.connect(address)).await {
                Some(Ok(link)) => link,
                failed => {
                    log::debug!("calls: {address}: {:?}", failed.and_then(Result::err));
                    return Outcome::ConnectFailed.into();
                }
            },
        };
        let request = self.dialect.request(&provider, envelope, left());
        let bytes = match request.inspect_err(|e| log::error!("calls: {} cannot be said: {e}", envelope.id)) {
            Ok(bytes) if go() => bytes,
            _ => {
                self.keep(address, link);
                return Outcome::Moot.into();
            }
        };
        if !matches!(self.wheel.limit(left(), link.stream.send(&bytes)).await, Some(Ok(()))) {
            // Broken or stuck before its last byte: it never ran.
            return Outcome::ConnectFailed.into();
        }
        match self.wheel.limit(left(), self.dialect.answer(&mut link.stream)).await {
            None => Outcome::Timeout.into(),
            Some(Err(e)) => {
                log::debug!("calls: {} after the call was sent: {e}", provider.entry.uid);
                Outcome::Reset.into()
            }
            Some(Ok((report, rest))) => {
                let rest = self.dialect.rest(&mut link.stream, rest);
                if let Some(Ok(true)) = self.wheel.limit(REST_OF_ANSWER, rest).await {
                    self.keep(address, link);
                }
                report
            }
        }
    }
}

impl<D: Dialect> Invoker for Calls<D> {
    fn call<'a>(&'a self, call: InvokerCall<'a>) -> Local<'a, Report> {
        // The connection lives in the exchange: whatever ends that has closed it, or put it back, before its report.
        self.exchange(call).boxed_local()
    }

    fn close_idle(&self, provider: &Provider) {
        let links = self.idle.borrow_mut().remove(&provider.entry.address);
        links.iter().flatten().for_each(|l| l.stream.try_send(self.dialect.farewell()));
    }
}
