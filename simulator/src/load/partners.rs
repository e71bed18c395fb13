//! A process that stands in for all partners of a day: each endpoint on a port of its own, with the
//! limits, times and faults that the day draws for it.

use super::{quantiles, unix, Front};
use crate::day::{Bad, Day};
use crate::dice::{Dice, For};
use crate::partner::Said;
use crate::world::World;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use hdrhistogram::Histogram;
use mqtt_proto::v5::{Connack, ConnectReasonCode, Packet, Puback, PubackReasonCode};
use raildeal::net::mqtt::packets::{self, encode, property, user};
use raildeal::net::platform::http;
use raildeal::net::stream::Stream;
use raildeal::{DestinationId, Nanos};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io::{self, BufRead, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What is to be changed while it runs; one line of JSON each.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// These refuse all.
    Shut(Vec<DestinationId>),
    /// These answer nothing.
    Hang(Vec<DestinationId>),
    /// These fail a part of their calls.
    Fail(Vec<DestinationId>, f64),
    /// These are well again, and cold.
    Back(Vec<DestinationId>),
}

/// What the partners saw.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Seen {
    /// Calls.
    pub calls: u64,
    /// Calls that were refused.
    pub full: u64,
    /// Messages that were delivered, each once.
    pub delivered: u64,
    /// Deliveries of a message that had been delivered already.
    pub repeats: u64,
    /// Times that a message was out twice at once.
    pub two_out: u64,
    /// Times that a partner fell over.
    pub toppled: u64,
    /// Ages at delivery in milliseconds: half, 90, 99, 99.9, 99.99 in a hundred.
    pub ages_ms: [f64; 5],
}

struct State {
    world: World,
    dice: Dice,
    seen: Seen,
    ages: Histogram<u64>,
    delivered: FxHashSet<String>,
    out: FxHashMap<String, u32>,
    begun: Instant,
}

type Shared = Rc<RefCell<State>>;

impl State {
    fn now(&self) -> u64 {
        self.begun.elapsed().as_nanos() as u64
    }

    fn order(&mut self, order: &Order) {
        let (dests, now) = match order {
            Order::Shut(d) | Order::Hang(d) | Order::Fail(d, _) | Order::Back(d) => (d, self.now()),
        };
        for dest in dests {
            for n in self.world.dests[usize::from(*dest)].endpoints.clone() {
                let route = &mut self.world.routes[n as usize];
                let limit = &mut self.world.limits[route.limit as usize];
                match order {
                    Order::Shut(_) => limit.shut(u64::MAX / 2),
                    Order::Hang(_) => route.hangs = u64::MAX,
                    Order::Fail(_, part) => route.fails = (u64::MAX, *part),
                    Order::Back(_) => {
                        (route.hangs, route.fails) = (0, (0, 0.0));
                        limit.open(now);
                    }
                }
            }
        }
    }

    /// What an endpoint does with a call, and after how long; nothing if it hangs.
    fn call(&mut self, route: u32) -> Option<(Said, Duration)> {
        let now = self.now();
        let (said, at, fell) = self.world.call(route, now, true, &mut self.dice)?;
        self.seen.toppled += u64::from(fell.is_some());
        self.seen.full += u64::from(matches!(said, Said::Full(_)));
        Some((said, Duration::from_nanos(at - now)))
    }

    /// A message was delivered whose body says when it was due.
    fn took(&mut self, id: &str, body: &[u8]) {
        if !self.delivered.insert(id.to_string()) {
            self.seen.repeats += 1;
            return;
        }
        self.seen.delivered += 1;
        let due = std::str::from_utf8(body.get(..20).unwrap_or_default())
            .ok()
            .and_then(|t| t.trim().parse().ok());
        if let Some(due) = due {
            self.ages.saturating_record(unix().saturating_sub(due));
        }
    }
}

/// A message that is out here; dropped, it is not any more.
struct Out(Shared, String);

impl Out {
    fn new(state: &Shared, id: &str) -> Self {
        let mut s = state.borrow_mut();
        s.seen.calls += 1;
        let out = s.out.entry(id.to_string()).or_default();
        *out += 1;
        let twice = *out > 1;
        s.seen.two_out += u64::from(twice);
        Out(state.clone(), id.to_string())
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        let mut s = self.0.borrow_mut();
        if let Some(n) = s.out.get_mut(&self.1) {
            *n -= 1;
            if *n == 0 {
                s.out.remove(&self.1);
            }
        }
    }
}

/// One call, from its last byte to its answer; nothing where none is given.
async fn answer(state: &Shared, route: u32, id: &str, body: &[u8]) -> Option<Said> {
    let _out = Out::new(state, id);
    let (said, after) = state.borrow_mut().call(route)?;
    if !after.is_zero() {
        Timer::after(after).await;
    }
    if said == Said::Ok {
        state.borrow_mut().took(id, body);
    }
    Some(said)
}

/// A told wait in whole milliseconds.
fn in_ms(wait: Nanos) -> u64 {
    wait.div_ceil(1_000_000).min(3_600_000)
}

async fn http(state: Shared, route: u32, mut stream: Stream) -> io::Result<()> {
    loop {
        let (request, head) = loop {
            match http::request(&stream.buf) {
                Ok(Some(whole)) => break whole,
                Ok(None) => {}
                Err(_) => return Ok(()),
            }
            if !stream.fill().await? {
                return Ok(());
            }
        };
        while stream.buf.len() < head + request.length {
            if !stream.fill().await? {
                return Ok(());
            }
        }
        let body: Vec<u8> = stream
            .buf
            .drain(..head + request.length)
            .skip(head)
            .collect();
        let id = request.headers.get("x-txn").unwrap_or_default().to_string();
        let Some(answer) = answer(&state, route, &id, &body).await else {
            return std::future::pending().await;
        };
        let (status, more) = match answer {
            Said::Ok => ("200 OK", String::new()),
            Said::Full(0) => ("503 Service Unavailable", String::new()),
            Said::Full(wait) => (
                "429 Too Many Requests",
                format!("X-RateLimit-Wait-Ms: {}\r\n", in_ms(wait)),
            ),
            Said::Error => ("500 Internal Server Error", String::new()),
        };
        stream
            .send(format!("HTTP/1.1 {status}\r\n{more}Content-Length: 0\r\n\r\n").as_bytes())
            .await?;
    }
}

async fn mqtt(state: Shared, route: u32, mut stream: Stream) -> io::Result<()> {
    let Some(Packet::Connect(_)) = packets::read(&mut stream).await? else {
        return Ok(());
    };
    stream
        .send(&encode(&Packet::Connack(Connack::new(
            false,
            ConnectReasonCode::Success,
        )))?)
        .await?;
    loop {
        let publish = match packets::read(&mut stream).await? {
            Some(Packet::Publish(publish)) => publish,
            Some(Packet::Pingreq) => {
                stream.send(&encode(&Packet::Pingresp)?).await?;
                continue;
            }
            _ => return Ok(()),
        };
        let Some(pid) = publish.qos_pid.pid() else {
            return Ok(());
        };
        let id = property(&publish.properties.user_properties, "id")
            .unwrap_or_default()
            .to_string();
        let Some(answer) = answer(&state, route, &id, &publish.payload).await else {
            return std::future::pending().await;
        };
        let (code, wait) = match answer {
            Said::Ok => (PubackReasonCode::Success, 0),
            Said::Full(wait) => (PubackReasonCode::QuotaExceeded, in_ms(wait)),
            Said::Error => (PubackReasonCode::UnspecifiedError, 0),
        };
        let mut ack = Puback::new(pid, code);
        ack.properties
            .user_properties
            .extend((wait > 0).then(|| user("wait-ms", wait.to_string())));
        stream.send(&encode(&Packet::Puback(ack))?).await?;
    }
}

/// Why the partners of a day cannot be stood in for.
#[derive(Debug, thiserror::Error)]
pub enum NoPartners {
    /// The day.
    #[error("{0}")]
    Day(#[from] Bad),
    /// Sockets.
    #[error("partners: {0}")]
    Io(#[from] io::Error),
}

/// Stands in for a day's partners until the standard input ends. The first line of the standard
/// output is the list of their addresses, the last what they saw; orders come as lines of the
/// standard input.
pub fn serve(day: &Day, seed: u64, front: Front) -> Result<(), NoPartners> {
    let world = World::draw(day, &day.deployment()?, seed)?;
    let routes = world.routes.len() as u32;
    let state: Shared = Rc::new(RefCell::new(State {
        world,
        dice: Dice::new(seed, For::Partners),
        seen: Seen::default(),
        ages: Histogram::new_with_bounds(1, 3_600_000_000_000, 3).expect("an hour in nanoseconds"),
        delivered: FxHashSet::default(),
        out: FxHashMap::default(),
        begun: Instant::now(),
    }));
    let executor: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for route in 0..routes {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        addresses.push(listener.get_ref().local_addr()?);
        let (state, run) = (state.clone(), executor.clone());
        let accepts = async move {
            loop {
                let Ok((socket, _)) = listener.accept().await else {
                    Timer::after(Duration::from_millis(50)).await;
                    continue;
                };
                let stream = Stream::new(socket);
                // An error ends the connection, and that is all there is to say of it.
                match front {
                    Front::Http => run.spawn(http(state.clone(), route, stream)).detach(),
                    Front::Mqtt => run.spawn(mqtt(state.clone(), route, stream)).detach(),
                }
            }
        };
        executor.spawn(accepts).detach();
    }
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{}",
        serde_json::to_string(&addresses).map_err(io::Error::other)?
    )?;
    out.flush()?;
    let (orders, ordered) = async_channel::unbounded();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            match serde_json::from_str::<Order>(&line) {
                Ok(order) => drop(orders.send_blocking(order)),
                Err(e) => eprintln!("partners: {line}: {e}"),
            }
        }
    });
    async_io::block_on(executor.run(async {
        while let Ok(order) = ordered.recv().await {
            state.borrow_mut().order(&order);
        }
    }));
    let mut s = state.borrow_mut();
    s.seen.ages_ms = quantiles(&s.ages);
    writeln!(
        out,
        "{}",
        serde_json::to_string(&s.seen).map_err(io::Error::other)?
    )?;
    out.flush()?;
    Ok(())
}
