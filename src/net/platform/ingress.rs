//! Where clients hand messages in.

use super::http::{self, Bad, Request};
use crate::admission_control::accept_queue::Comes;
use crate::admission_control::connection_slots::Why;
use crate::config::platform_settings::{Deployment, Tenants, UnknownTenant};
use crate::delivery::message::{self, ClientReply, DeliveryContext, TimeBudget};
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{is_valid_identifier, Envelope, LocalBoxFuture};
use crate::net::connection_listener::{Seat, Serve, WITHOUT_TENANT};
use crate::net::stream::Stream;
use crate::net::wait_in_ms;
use crate::NO_TENANT;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection without a request is closed after this time.
const IDLE: Duration = Duration::from_secs(2);
/// A request must be whole this long after its connection came, or after the answer before it.
const SLOW_REQUEST: Duration = Duration::from_millis(2500);
/// A client that does not take its answer in this time is cut off.
const STUCK: Duration = Duration::from_secs(1);
/// How long a client that broke the protocol may go on sending before its connection is closed.
const PARTING: Duration = Duration::from_secs(2);
/// When one should come back for whom there is no memory: others have been answered by then.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that is answered with an error and ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum Refusal {
    #[error(transparent)]
    Http(#[from] Bad),
    #[error("too slow")]
    Slow,
    #[error("no memory")]
    NoMemory,
    #[error("no such page")]
    NoPage,
    #[error("messages are handed in by POST")]
    NoPost,
    #[error("no such class")]
    UnknownClass,
    #[error("X-Lane is not the path's class")]
    OtherClass,
    #[error(transparent)]
    UnknownTenant(#[from] UnknownTenant),
    #[error("X-Txn is no id")]
    Id,
    #[error("X-Remaining cannot be read")]
    Remaining,
    #[error("X-Addressing names no dest")]
    Destination,
    #[error("Idempotency-Key is no key")]
    Key,
    #[error("Idempotency-Key is missing")]
    NoKey,
}

impl Refusal {
    fn status(self) -> u16 {
        match self {
            Refusal::Http(bad) => bad.status(),
            Refusal::Slow => 408,
            Refusal::NoMemory => 503,
            Refusal::NoPage | Refusal::UnknownClass => 404,
            Refusal::NoPost => 405,
            _ => 400,
        }
    }

    /// Headers that belong to the status.
    fn headers(self) -> String {
        match self {
            Refusal::NoPost => "Allow: POST\r\n".into(),
            Refusal::NoMemory => retry_after(NO_MEMORY_RETRY_AFTER),
            _ => String::new(),
        }
    }
}

/// A request as it was read.
struct ReceivedRequest {
    head: Request,
    body: Vec<u8>,
    /// When its first bytes were seen.
    begun_at: Instant,
}

/// The port for clients.
pub struct Ingress {
    context: Rc<DeliveryContext>,
    classes: Vec<String>,
    tenants: Tenants,
    /// This front, as messages name it.
    front: u8,
    executor: Rc<LocalExecutor<'static>>,
    /// Closed when connections are to end between requests.
    ending: (Sender<()>, Receiver<()>),
    last_answers: Cell<bool>,
}

impl Ingress {
    /// A port that has not begun to listen.
    pub fn new(
        context: Rc<DeliveryContext>,
        deployment: &Deployment,
        front: u8,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        Rc::new(Ingress {
            context,
            classes: deployment.classes.clone(),
            tenants: deployment.tenants.clone(),
            front,
            executor,
            ending: async_channel::bounded(1),
            last_answers: Cell::new(false),
        })
    }

    /// From now on each answer is the last of its connection.
    pub fn wind_down(&self) {
        self.last_answers.set(true);
    }

    /// Ends connections that carry no request.
    pub fn end_idle(&self) {
        self.ending.1.close();
    }

    /// Waits for the first bytes of a request; false where none comes.
    async fn begins(&self, stream: &mut Stream) -> bool {
        stream.turn().await;
        if !stream.buf.is_empty() {
            return true;
        }
        let more = async { stream.fill().await.unwrap_or(false) };
        let ending = async {
            let _ = self.ending.1.recv().await;
            false
        };
        // Reading comes first: what has arrived is answered.
        let waited = self.context.wheel.timeout(IDLE, more.or(ending)).await;
        waited == Some(true)
    }

    /// Reads one request; nothing where the connection ended before one began.
    async fn read(
        &self,
        stream: &mut Stream,
        seat: &Seat,
    ) -> Result<Option<ReceivedRequest>, Refusal> {
        let whole = async {
            if !self.begins(stream).await {
                return Ok(None);
            }
            seat.begun();
            let begun_at = seat.take_brought_at().unwrap_or(stream.filled_at());
            let (request, len) = loop {
                if let Some(head) = http::request(&stream.buf)? {
                    break head;
                }
                if !fill(stream).await? {
                    return Ok(None);
                }
            };
            let total = len + request.length;
            stream.expect(total).map_err(|_| Refusal::NoMemory)?;
            let waits = request
                .headers
                .get("expect")
                .is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
            if waits && stream.buf.len() < total {
                let _ = stream.send(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            }
            while stream.buf.len() < total {
                if !fill(stream).await? {
                    return Ok(None);
                }
            }
            seat.busy();
            Ok(Some(ReceivedRequest {
                head: request,
                body: stream.take(total, len),
                begun_at,
            }))
        };
        self.context
            .wheel
            .timeout(SLOW_REQUEST, whole)
            .await
            .unwrap_or(Err(Refusal::Slow))
    }

    /// The message that a request hands in, with the time left; nothing for a question whether this
    /// sender is up.
    fn message(
        &self,
        request: &Request,
        body: Vec<u8>,
    ) -> Result<Option<(Envelope, Duration)>, Refusal> {
        let path = request.path.split('?').next().unwrap_or("");
        let class = path
            .strip_prefix('/')
            .and_then(|p| p.split('/').next())
            .unwrap_or("");
        match request.method.as_str() {
            "GET" | "HEAD" if path == "/up" || path == "/alive" => return Ok(None),
            "POST" => {}
            "GET" | "HEAD" => return Err(Refusal::NoPage),
            _ => return Err(Refusal::NoPost),
        }
        let header = |name| request.headers.only(name);
        let known = self
            .classes
            .iter()
            .position(|c| c == class)
            .ok_or(Refusal::UnknownClass)?;
        if header("x-lane")?.is_some_and(|lane| lane != class) {
            return Err(Refusal::OtherClass);
        }
        let class = known;
        // Whose message it is; without tenants in the settings nobody asks what the header says.
        let tenant = if self.tenants.is_empty() {
            None
        } else {
            header("x-org")?
        };
        let tenant = self.tenants.of(tenant)?;
        let id = header("x-txn")?
            .filter(|id| is_valid_identifier(id))
            .ok_or(Refusal::Id)?;
        let left = header("x-remaining")?.and_then(remaining);
        let left = left.ok_or(Refusal::Remaining)?;
        let dest = header("x-addressing")?.and_then(destination);
        let dest = dest.ok_or(Refusal::Destination)?;
        let key = header("idempotency-key")?.map(str::to_string);
        if key.as_ref().is_some_and(|k| !is_valid_identifier(k)) {
            return Err(Refusal::Key);
        }
        let (id, class) = (id.to_string(), class as u16);
        let envelope = Envelope {
            frontend: self.front,
            id,
            key,
            class,
            dest,
            body,
            tenant,
            ..Envelope::default()
        };
        if message::lacks_required_key(self.context.policies.current().class(class), &envelope) {
            return Err(Refusal::NoKey);
        }
        Ok(Some((envelope, left)))
    }
}

impl Serve for Ingress {
    async fn full(&self, socket: Async<TcpStream>, _: Why, wait: Duration) {
        let mut stream = Stream::new(socket);
        let _ = stream.send(&self.full_at_once(wait)).await;
        stream.part().await;
    }

    fn full_at_once(&self, wait: Duration) -> Vec<u8> {
        head(503, &retry_after(wait), false).into_bytes()
    }

    fn brings(&self, first: &[u8]) -> Comes {
        match http::request(first) {
            Ok(Some(_)) => Comes::Whole,
            _ if first.is_empty() => Comes::Silent,
            _ => Comes::Begun,
        }
    }

    async fn serve(self: Rc<Self>, socket: Async<TcpStream>, seat: Rc<Seat>) {
        let mut stream = Stream::bounded(socket, seat.memory());
        let client = seat.client();
        // Whether a message was taken on over it.
        let mut useful = false;
        loop {
            let read = self.read(&mut stream, &seat).await.and_then(|read| {
                let Some(ReceivedRequest {
                    head,
                    body,
                    begun_at,
                }) = read
                else {
                    return Ok(None);
                };
                let keep = head.keep_alive && !self.last_answers.get();
                Ok(Some((self.message(&head, body)?, begun_at, keep)))
            });
            let (message, received_at, keep) = match read {
                Ok(Some(read)) => read,
                Ok(None) => return,
                Err(refusal) => {
                    log::debug!("ingress: {} {refusal}", refusal.status());
                    seat.counts(&format!("requests refused ({refusal})"));
                    // Whoever else wants its seat need not wait for it to leave.
                    seat.begun();
                    let told = async {
                        let _ = stream
                            .send(head(refusal.status(), &refusal.headers(), false).as_bytes())
                            .await;
                        stream.part().await;
                    };
                    self.context.wheel.timeout(PARTING, told).await;
                    return;
                }
            };
            let (sender, back) = async_channel::bounded(1);
            let answer = Answer {
                stream,
                keep,
                back: sender,
                wheel: self.context.wheel.clone(),
            };
            match message {
                Some((envelope, time_left)) => {
                    if envelope.tenant == NO_TENANT {
                        seat.counts(WITHOUT_TENANT);
                    }
                    let time = TimeBudget {
                        received_at,
                        time_left,
                    };
                    let work = message::receive(
                        self.context.clone(),
                        client.clone(),
                        envelope,
                        time,
                        Box::new(answer),
                    );
                    self.executor.spawn(work).detach();
                }
                None => drop(answer.give(200, "").await),
            }
            match back.recv().await {
                Ok((again, status)) => (stream, useful) = (again, useful || status == 202),
                Err(_) => return,
            }
            stream.release();
            if useful {
                seat.kept();
            } else {
                seat.resting();
            }
        }
    }
}

/// Reads more of a request; false where the connection has ended.
async fn fill(stream: &mut Stream) -> Result<bool, Refusal> {
    match stream.fill().await {
        Err(e) if e.kind() == io::ErrorKind::OutOfMemory => Err(Refusal::NoMemory),
        read => Ok(read.unwrap_or(false)),
    }
}

/// Reads a time left: a number and a unit, `m` milliseconds or `u` microseconds.
pub fn remaining(text: &str) -> Option<Duration> {
    let (number, micros) = match text.strip_suffix('m') {
        Some(n) => (n, 1_000),
        None => (text.strip_suffix('u')?, 1),
    };
    let digits = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit());
    let micros = number
        .parse::<u64>()
        .ok()
        .filter(|_| digits)?
        .checked_mul(micros)?;
    // Longer than a day is no time that a message is wanted for, and would overflow further on.
    (micros <= 86_400_000_000).then(|| Duration::from_micros(micros))
}

/// Reads the destination among the items of an address.
pub fn destination(text: &str) -> Option<u16> {
    let mut items = text
        .split([',', ';', ' '])
        .filter_map(|i| i.trim().split_once('='));
    items.find(|(k, _)| *k == "dest")?.1.parse().ok()
}

/// The answer owed on a connection. Given, it hands the connection back, with its status; dropped,
/// it closes it.
struct Answer {
    stream: Stream,
    keep: bool,
    back: Sender<(Stream, u16)>,
    wheel: Rc<TimerWheel>,
}

impl Answer {
    async fn give(mut self, status: u16, headers: &str) -> io::Result<()> {
        self.send(status, headers).await?;
        self.hand_back(status).await;
        Ok(())
    }

    /// Tells a client that its message is accepted. One that had closed its connection before did
    /// not hear it: the answer is met by a reset.
    async fn give_accepted(mut self) -> io::Result<()> {
        const STATUS: u16 = 202;
        let may_have_left = self.stream.has_ended_or_sent_more();
        self.send(STATUS, "").await?;
        if may_have_left && self.stream.is_reset() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.hand_back(STATUS).await;
        Ok(())
    }

    async fn send(&mut self, status: u16, headers: &str) -> io::Result<()> {
        let head = head(status, headers, self.keep);
        let sent = self
            .wheel
            .timeout(STUCK, self.stream.send(head.as_bytes()))
            .await;
        sent.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    async fn hand_back(self, status: u16) {
        if self.keep {
            let _ = self.back.send((self.stream, status)).await;
        }
    }
}

impl ClientReply for Answer {
    fn accepted<'a>(self: Box<Self>) -> LocalBoxFuture<'a, io::Result<()>> {
        self.give_accepted().boxed_local()
    }

    fn rejected<'a>(self: Box<Self>, wait: Duration) -> LocalBoxFuture<'a, ()> {
        async move { drop(self.give(503, &retry_after(wait)).await) }.boxed_local()
    }

    fn failed<'a>(self: Box<Self>) -> LocalBoxFuture<'a, ()> {
        async move { drop(self.give(500, "").await) }.boxed_local()
    }
}

fn retry_after(wait: Duration) -> String {
    match wait {
        Duration::ZERO => String::new(),
        wait => {
            let ms = wait_in_ms(wait);
            format!("Retry-After: {}.{:03}\r\n", ms / 1_000, ms % 1_000)
        }
    }
}

fn head(status: u16, headers: &str, keep: bool) -> String {
    let connection = if keep { "" } else { "Connection: close\r\n" };
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: 0\r\n{headers}{connection}\r\n",
        reason(status)
    )
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Bad Request",
    }
}
