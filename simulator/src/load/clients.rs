//! Plays a day's arrivals against real programs: each message goes at the time that the day has it
//! due, whatever was answered before, and its latency counts from then.

use super::directory::Notices;
use super::partners::{Order, Seen};
use super::program::{NoProgram, Program, Used};
use super::{directory, quantiles, unix, Front};
use crate::day::{Bad, Day, What};
use crate::dice::{Dice, For};
use crate::log::{Fact, See};
use crate::range::Range;
use crate::run::play;
use crate::world::World;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use hdrhistogram::Histogram;
use mqtt_proto::v5::{
    Connect, Packet, Puback, PubackReasonCode, Publish, Subscribe, SubscriptionOptions,
};
use mqtt_proto::{Pid, QoS, QosPid, TopicFilter, TopicName};
use raildeal::delivery::timer_wheel::TimerWheel;
use raildeal::net::mqtt::packets::{self, encode, property, user};
use raildeal::net::platform::http;
use raildeal::net::stream::{Stream, Writer};
use raildeal::{DestinationId, Nanos};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client waits so long for the answer to a hand-in.
const PATIENCE: Duration = Duration::from_secs(5);
/// Where MQTT clients get final answers.
const REPLIES: &str = "replies/lab";

/// What is asked for.
pub struct Plan {
    /// The program to be loaded.
    pub program: PathBuf,
    /// What is spoken.
    pub front: Front,
    /// The day.
    pub day: Day,
    /// Its seed.
    pub seed: u64,
    /// MQTT connections to each sender.
    pub connections: usize,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Loaded {
    /// What was spoken.
    pub front: Front,
    /// Messages due a second, in the mean.
    pub rate: f64,
    /// Messages.
    pub messages: u64,
    /// Those of them that were taken on, after any number of tries.
    pub taken_on: u64,
    /// Hand-ins that were turned away.
    pub turned_away: u64,
    /// Hand-ins without an answer.
    pub unheard: u64,
    /// From when a message was due to the answer that it is taken on, in milliseconds: half, 90,
    /// 99, 99.9 and 99.99 in a hundred.
    pub hand_in_ms: [f64; 5],
    /// How late hand-ins were begun: what the tool itself adds.
    pub behind_ms: [f64; 5],
    /// What the partners saw.
    pub partners: Seen,
    /// Final answers other than deliveries, by what they say.
    pub told: BTreeMap<String, u64>,
    /// Messages that were told more than one final answer.
    pub told_twice: u64,
    /// Messages taken on that neither were delivered nor had a final answer.
    pub lost: i64,
    /// The processor's time of all senders for each message, in microseconds.
    pub cpu_us: f64,
    /// Most memory of a sender in KiB, and most descriptors.
    pub memory_kib: u64,
    /// See above.
    pub descriptors: usize,
}

/// Why it could not be.
#[derive(Debug, thiserror::Error)]
pub enum NoLoad {
    /// The day.
    #[error("{0}")]
    Day(#[from] Bad),
    /// The program.
    #[error("{0}")]
    Program(#[from] NoProgram),
    /// Sockets, files or the stand-in.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// What is due, by the model.
#[derive(Default)]
struct Arrivals(Vec<(Nanos, DestinationId, u16)>);

impl See for Arrivals {
    fn see(&mut self, now: Nanos, fact: &Fact) {
        if let Fact::Due { dest, class, .. } = fact {
            self.0.push((now, *dest, *class));
        }
    }
}

/// The process that stands in for partners.
struct Partners {
    child: Child,
    orders: Option<ChildStdin>,
    said: BufReader<std::process::ChildStdout>,
    addresses: Vec<SocketAddr>,
}

impl Partners {
    fn start(file: &Path, seed: u64, front: Front) -> io::Result<Partners> {
        let front = match front {
            Front::Http => "http",
            Front::Mqtt => "mqtt",
        };
        let mut child = Command::new(std::env::current_exe()?)
            .args(["stand-in", "--seed", &seed.to_string(), "--front", front])
            .arg(file)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let orders = child.stdin.take();
        let mut said = BufReader::new(child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?);
        let mut line = String::new();
        said.read_line(&mut line)?;
        let addresses = serde_json::from_str(&line).map_err(io::Error::other)?;
        Ok(Partners {
            child,
            orders,
            said,
            addresses,
        })
    }

    fn order(&mut self, order: &Order) -> io::Result<()> {
        let Some(to) = &mut self.orders else {
            return Ok(());
        };
        writeln!(
            to,
            "{}",
            serde_json::to_string(order).map_err(io::Error::other)?
        )?;
        to.flush()
    }

    /// Ends it, and gives what it saw.
    fn end(&mut self) -> io::Result<Seen> {
        self.orders = None;
        let mut line = String::new();
        self.said.read_line(&mut line)?;
        self.child.wait()?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }
}

impl Drop for Partners {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Tally {
    hand_in: Histogram<u64>,
    behind: Histogram<u64>,
    taken_on: u64,
    turned_away: u64,
    unheard: u64,
    /// Final answers told over MQTT, by message.
    told: BTreeMap<String, (String, u32)>,
}

type Shared = Rc<RefCell<Tally>>;

/// What a hand-in was answered.
enum Heard {
    TakenOn,
    TurnedAway(Duration),
    Nothing,
}

/// A message to hand in.
struct Message {
    id: String,
    class: String,
    dest: DestinationId,
    left: Duration,
    body: Vec<u8>,
}

/// Connections to one sender over HTTP; those that rest are used again.
struct Http {
    address: RefCell<SocketAddr>,
    resting: RefCell<Vec<Stream>>,
}

impl Http {
    async fn ask(&self, m: &Message) -> io::Result<Heard> {
        let head = format!(
            "POST /{0} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {1}\r\nX-Lane: {0}\r\nX-Remaining: {2}m\r\nIdempotency-Key: \
             key-{1}\r\nContent-Length: {3}\r\nX-Addressing: dest={4}\r\n\r\n",
            m.class,
            m.id,
            m.left.as_millis(),
            m.body.len(),
            m.dest
        );
        let bytes = [head.as_bytes(), &m.body].concat();
        let rested = self.resting.borrow_mut().pop().filter(Stream::is_quiet);
        let address = *self.address.borrow();
        let mut stream = match rested {
            Some(stream) => stream,
            None => Stream::connect(address).await?,
        };
        stream.send(&bytes).await?;
        let (answer, len) = loop {
            match http::response(&stream.buf).map_err(io::Error::other)? {
                Some(whole) => break whole,
                None if stream.fill().await? => {}
                None => return Ok(Heard::Nothing),
            }
        };
        stream.buf.drain(..len);
        let wait = answer
            .headers
            .get("retry-after")
            .and_then(|w| w.parse::<f64>().ok())
            .unwrap_or(0.0);
        let heard = match answer.status {
            202 => Heard::TakenOn,
            _ => Heard::TurnedAway(Duration::from_secs_f64(wait.clamp(0.0, 3600.0))),
        };
        if answer
            .headers
            .get("connection")
            .is_none_or(|c| !c.eq_ignore_ascii_case("close"))
        {
            self.resting.borrow_mut().push(stream);
        }
        Ok(heard)
    }
}

/// One connection to a sender over MQTT.
struct Session {
    writer: Writer,
    waiting: RefCell<HashMap<u16, Sender<Heard>>>,
    next: Cell<u16>,
    closed: Cell<bool>,
}

/// Connections to one sender over MQTT, opened as they are needed.
struct Mqtt {
    address: RefCell<SocketAddr>,
    sessions: RefCell<Vec<Rc<Session>>>,
    most: usize,
    name: String,
    made: Cell<usize>,
    wheel: Rc<TimerWheel>,
    run: Rc<LocalExecutor<'static>>,
    tally: Shared,
}

impl Mqtt {
    async fn connect(&self) -> io::Result<Rc<Session>> {
        let address = *self.address.borrow();
        let mut stream = Stream::connect(address).await?;
        let n = self.made.get();
        self.made.set(n + 1);
        let name = format!("{}-{n}", self.name);
        stream
            .send(&encode(&Packet::Connect(Connect::new(
                name.as_str().into(),
                60,
            )))?)
            .await?;
        let Some(Packet::Connack(_)) = packets::read(&mut stream).await? else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let filter = TopicFilter::try_from(REPLIES).map_err(io::Error::other)?;
        let topics = vec![(filter, SubscriptionOptions::new(QoS::Level1))];
        let pid = Pid::try_from(u16::MAX).map_err(io::Error::other)?;
        stream
            .send(&encode(&Packet::Subscribe(Subscribe::new(pid, topics)))?)
            .await?;
        let writer = stream.writer(self.wheel.clone(), PATIENCE);
        let (waiting, next) = (RefCell::default(), Cell::new(0));
        let session = Rc::new(Session {
            writer,
            waiting,
            next,
            closed: Cell::new(false),
        });
        let (read, tally) = (session.clone(), self.tally.clone());
        let reading = async move {
            while let Ok(Some(packet)) = packets::read(&mut stream).await {
                match packet {
                    Packet::Puback(ack) => read.acknowledged(&ack),
                    Packet::Publish(answer) => {
                        let told = |name| {
                            property(&answer.properties.user_properties, name).unwrap_or("?")
                        };
                        let (id, status) = (told("id").to_string(), told("status").to_string());
                        tally.borrow_mut().told.entry(id).or_insert((status, 0)).1 += 1;
                        let Some(pid) = answer.qos_pid.pid() else {
                            continue;
                        };
                        let Ok(ack) = encode(&Packet::Puback(Puback::new_success(pid))) else {
                            continue;
                        };
                        if read.writer.send(&ack).await.is_err() {
                            break;
                        }
                    }
                    Packet::Disconnect(_) => break,
                    _ => {}
                }
            }
            read.closed.set(true);
            // Whoever waits for an answer on it hears nothing.
            read.waiting.borrow_mut().clear();
        };
        self.run.spawn(reading).detach();
        Ok(session)
    }

    /// The connection that has fewest unanswered, or a new one.
    async fn session(&self) -> io::Result<Rc<Session>> {
        self.sessions.borrow_mut().retain(|s| !s.closed.get());
        let least = self
            .sessions
            .borrow()
            .iter()
            .min_by_key(|s| s.waiting.borrow().len())
            .cloned();
        match least {
            Some(session)
                if session.waiting.borrow().is_empty()
                    || self.sessions.borrow().len() >= self.most =>
            {
                Ok(session)
            }
            _ => {
                let session = self.connect().await?;
                self.sessions.borrow_mut().push(session.clone());
                Ok(session)
            }
        }
    }

    async fn ask(&self, m: &Message) -> io::Result<Heard> {
        let session = self.session().await?;
        let (heard, hears) = async_channel::bounded(1);
        let pid = session.claim(heard);
        let topic = TopicName::try_from(format!("{}/{}", m.class, m.dest).as_str())
            .map_err(io::Error::other)?;
        let number = QosPid::Level1(Pid::try_from(pid).map_err(io::Error::other)?);
        let mut publish = Publish::new(number, topic, m.body.clone().into());
        publish.properties.message_expiry_interval = Some(m.left.as_secs().max(1) as u32);
        publish.properties.response_topic = TopicName::try_from(REPLIES).ok();
        publish.properties.user_properties =
            vec![user("id", &m.id), user("key", format!("key-{}", m.id))];
        session
            .writer
            .send(&encode(&Packet::Publish(publish))?)
            .await?;
        Ok(hears.recv().await.unwrap_or(Heard::Nothing))
    }
}

impl Session {
    fn claim(&self, heard: Sender<Heard>) -> u16 {
        let mut waiting = self.waiting.borrow_mut();
        loop {
            let pid = self.next.get() % (u16::MAX - 1) + 1;
            self.next.set(pid);
            if let Entry::Vacant(free) = waiting.entry(pid) {
                free.insert(heard);
                return pid;
            }
        }
    }

    fn acknowledged(&self, ack: &Puback) {
        let Some(heard) = self.waiting.borrow_mut().remove(&ack.pid.value()) else {
            return;
        };
        let wait =
            property(&ack.properties.user_properties, "wait-ms").and_then(|w| w.parse().ok());
        let _ = heard.try_send(match ack.reason_code {
            PubackReasonCode::Success => Heard::TakenOn,
            _ => Heard::TurnedAway(Duration::from_millis(wait.unwrap_or(0))),
        });
    }
}

/// One sender, as clients reach it.
enum Door {
    Http(Http),
    Mqtt(Mqtt),
}

impl Door {
    async fn hand_in(&self, message: &Message) -> Heard {
        let asked = async {
            let heard = match self {
                Door::Http(http) => http.ask(message).await,
                Door::Mqtt(mqtt) => mqtt.ask(message).await,
            };
            heard.unwrap_or(Heard::Nothing)
        };
        let late = async {
            Timer::after(PATIENCE).await;
            Heard::Nothing
        };
        asked.or(late).await
    }

    fn moves(&self, to: SocketAddr) {
        match self {
            Door::Http(http) => *http.address.borrow_mut() = to,
            Door::Mqtt(mqtt) => *mqtt.address.borrow_mut() = to,
        }
    }
}

/// One message, until it is taken on or its client gives up.
#[derive(Clone)]
struct Client {
    doors: Rc<Vec<Door>>,
    turn: Rc<Cell<usize>>,
    tally: Shared,
    dice: Rc<RefCell<Dice>>,
    again: u32,
    pause: Range,
}

impl Client {
    async fn hands_in(self, mut message: Message, due: Instant) {
        self.tally
            .borrow_mut()
            .behind
            .saturating_record(due.elapsed().as_nanos() as u64);
        let by = due + message.left;
        let mut tries = 0;
        loop {
            let n = self.turn.get();
            self.turn.set((n + 1) % self.doors.len());
            message.left = by.saturating_duration_since(Instant::now());
            if message.left.is_zero() {
                return;
            }
            let pause = Duration::from_secs_f64(self.dice.borrow_mut().from(self.pause));
            let wait = match self.doors[n].hand_in(&message).await {
                Heard::TakenOn => {
                    let mut tally = self.tally.borrow_mut();
                    tally.taken_on += 1;
                    tally
                        .hand_in
                        .saturating_record(due.elapsed().as_nanos() as u64);
                    return;
                }
                Heard::TurnedAway(wait) => {
                    self.tally.borrow_mut().turned_away += 1;
                    tries += 1;
                    if tries > self.again {
                        return;
                    }
                    if wait.is_zero() {
                        pause
                    } else {
                        wait
                    }
                }
                Heard::Nothing => {
                    self.tally.borrow_mut().unheard += 1;
                    pause
                }
            };
            Timer::after(wait).await;
        }
    }
}

/// The list of a day's endpoints, as discovery tells it.
fn list(world: &World, day: &Day, addresses: &[SocketAddr]) -> Result<serde_json::Value, Bad> {
    let deployment = day.deployment()?;
    let targets: Vec<serde_json::Value> = world
        .routes
        .iter()
        .zip(addresses)
        .enumerate()
        .map(|(n, (route, address))| {
            serde_json::json!({"uid": format!("e{n}"), "endpoint": address, "az": deployment.zones[usize::from(route.zone)],
                "model": deployment.kinds[usize::from(route.kind)], "pod_group": route.dest, "state": "active",
                "capacity_hint": route.listed, "boot_ms": 0})
        })
        .collect();
    Ok(serde_json::json!({"rev": 1, "all": true, "targets": targets}))
}

/// What trouble does, and when.
enum Trouble {
    Order(Order),
    Kill(usize),
    Start(usize),
}

/// Those troubles of a day that are played over sockets.
fn troubles(day: &Day, world: &World, seed: u64) -> Vec<(Duration, Trouble)> {
    let mut dice = Dice::new(seed, For::Troubles);
    let mut all = Vec::new();
    for trouble in &day.troubles {
        let at = Duration::from_secs_f64(dice.from(trouble.at_s));
        let end = at + Duration::from_secs_f64(dice.from(trouble.for_s));
        let mut hit = |share| {
            let part = dice.from(share);
            world.share(&mut dice, part)
        };
        let (begins, dests) = match trouble.what {
            What::PartnersShut { share } => {
                let dests = hit(share);
                (Order::Shut(dests.clone()), dests)
            }
            What::PartnersHang { share } => {
                let dests = hit(share);
                (Order::Hang(dests.clone()), dests)
            }
            What::PartnersFail { share, calls } => {
                let dests = hit(share);
                (Order::Fail(dests.clone(), dice.from(calls)), dests)
            }
            What::SendersDie { share } => {
                let count = (dice.from(share) * day.senders.count as f64).round() as usize;
                let mut order: Vec<usize> = (0..day.senders.count).collect();
                dice.shuffle(&mut order);
                for sender in order.into_iter().take(count) {
                    all.push((at, Trouble::Kill(sender)));
                    all.push((end, Trouble::Start(sender)));
                }
                continue;
            }
            _ => {
                eprintln!("not played over sockets: {:?}", trouble.what);
                continue;
            }
        };
        all.push((at, Trouble::Order(begins)));
        all.push((end, Trouble::Order(Order::Back(dests))));
    }
    all.sort_by_key(|(at, _)| *at);
    all
}

/// Plays it.
pub fn load(plan: &Plan, file: &Path) -> Result<Loaded, NoLoad> {
    let day = &plan.day;
    let deployment = day.deployment()?;
    let mut arrivals = Arrivals::default();
    // What is due does not depend on what senders do.
    play(day, plan.seed, None, Some(&mut arrivals))?;
    let world = World::draw(day, &deployment, plan.seed)?;
    let mut partners = Partners::start(file, plan.seed, plan.front)?;
    let (directory, notices) = directory::start(list(&world, day, &partners.addresses)?)?;
    let folder = tempfile::tempdir()?;
    let start = |n: usize| {
        let name = format!("sender-{n}");
        Program::start(
            &plan.program,
            day,
            folder.path(),
            &name,
            directory,
            plan.front,
        )
    };
    let mut programs: Vec<Option<Program>> = Vec::new();
    for n in 0..day.senders.count {
        programs.push(Some(start(n)?));
    }
    let run: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let wheel = TimerWheel::new();
    let turning = wheel.clone();
    run.spawn(async move { turning.run().await }).detach();
    let histogram =
        || Histogram::new_with_bounds(1, 3_600_000_000_000, 3).expect("an hour in nanoseconds");
    let tally: Shared = Rc::new(RefCell::new(Tally {
        hand_in: histogram(),
        behind: histogram(),
        taken_on: 0,
        turned_away: 0,
        unheard: 0,
        told: BTreeMap::new(),
    }));
    let door = |(n, program): (usize, &Option<Program>)| {
        let address = RefCell::new(program.as_ref().expect("it was started").address);
        match plan.front {
            Front::Http => Door::Http(Http {
                address,
                resting: RefCell::default(),
            }),
            Front::Mqtt => Door::Mqtt(Mqtt {
                address,
                sessions: RefCell::default(),
                most: plan.connections.max(1),
                name: format!("lab-{n}"),
                made: Cell::new(0),
                wheel: wheel.clone(),
                run: run.clone(),
                tally: tally.clone(),
            }),
        }
    };
    let client = Client {
        doors: Rc::new(programs.iter().enumerate().map(door).collect()),
        turn: Rc::default(),
        tally: tally.clone(),
        dice: Rc::new(RefCell::new(Dice::new(plan.seed, For::Clients))),
        again: day.clients.again,
        pause: day.clients.pause_s,
    };
    let mut bodies = Dice::new(plan.seed, For::World);
    let mut troubles = troubles(day, &world, plan.seed).into_iter().peekable();
    let mut gone = Used::default();
    let (mut memory, mut descriptors) = (0, 0);
    let mut failed: Option<NoLoad> = None;
    let longest = deployment
        .settings
        .classes
        .iter()
        .map(|c| c.deadline)
        .max()
        .unwrap_or(0);
    async_io::block_on(run.run(async {
        let begun = Instant::now();
        let mut handed: Vec<async_executor::Task<()>> = Vec::new();
        let mut due = arrivals.0.iter().enumerate().peekable();
        let mut look = begun;
        loop {
            let next = due.peek().map(|(_, a)| begun + Duration::from_nanos(a.0));
            let trouble = troubles.peek().map(|t| begun + t.0);
            let Some(at) = [next, trouble].into_iter().flatten().min() else {
                break;
            };
            if at > Instant::now() {
                Timer::at(at).await;
            }
            if trouble == Some(at) {
                match troubles.next().map(|t| t.1) {
                    Some(Trouble::Order(order)) => {
                        failed = failed
                            .take()
                            .or(partners.order(&order).err().map(Into::into))
                    }
                    Some(Trouble::Kill(n)) => {
                        if let Some(mut program) = programs[n].take() {
                            gone.cpu_ms += program.used().cpu_ms;
                            program.kill();
                        }
                    }
                    Some(Trouble::Start(n)) => match start(n) {
                        Ok(program) => {
                            client.doors[n].moves(program.address);
                            programs[n] = Some(program);
                        }
                        Err(e) => failed = Some(e.into()),
                    },
                    None => {}
                }
                continue;
            }
            let Some((n, (_, dest, class))) = due.next() else {
                break;
            };
            let size = bodies.from(day.clients.body) as usize;
            // Its first twenty bytes say when it was due.
            let since = at.elapsed().as_nanos() as u64;
            let mut body = format!("{:020}", unix() - since).into_bytes();
            body.resize(size.max(20), b'.');
            let class = usize::from(*class);
            let message = Message {
                id: format!("m{n}"),
                class: deployment.classes[class].clone(),
                dest: *dest,
                left: Duration::from_nanos(deployment.settings.classes[class].deadline),
                body,
            };
            handed.push(run.spawn(client.clone().hands_in(message, at)));
            if look.elapsed() > Duration::from_millis(500) {
                look = Instant::now();
                for program in programs.iter().flatten() {
                    let used = program.used();
                    (memory, descriptors) = (
                        used.memory_kib.max(memory),
                        used.descriptors.max(descriptors),
                    );
                }
                handed.retain(|t| !t.is_finished());
            }
        }
        for task in handed {
            task.await;
        }
        // All that was taken on is over, or its time is.
        let by = Instant::now() + Duration::from_nanos(longest) + Duration::from_secs(2);
        let mut quiet = 0;
        let mut before = 0.0;
        while Instant::now() < by && quiet < 8 {
            Timer::after(Duration::from_millis(250)).await;
            let cpu: f64 = programs.iter().flatten().map(|p| p.used().cpu_ms).sum();
            quiet = if cpu - before < 1.0 { quiet + 1 } else { 0 };
            before = cpu;
        }
    }));
    if let Some(e) = failed {
        return Err(e);
    }
    for program in programs.iter().flatten() {
        let used = program.used();
        gone.cpu_ms += used.cpu_ms;
        memory = used.memory_kib.max(memory);
    }
    for program in programs.iter_mut().flatten() {
        program.end()?;
    }
    let seen = partners.end()?;
    let loaded = sum(
        plan,
        &arrivals.0,
        &tally.borrow(),
        &notices,
        seen,
        (gone.cpu_ms, memory, descriptors),
    );
    Ok(loaded)
}

fn sum(
    plan: &Plan,
    arrivals: &[(Nanos, DestinationId, u16)],
    tally: &Tally,
    notices: &Notices,
    partners: Seen,
    (cpu_ms, memory_kib, descriptors): (f64, u64, usize),
) -> Loaded {
    let notices = notices.lock().unwrap_or_else(|e| e.into_inner());
    let mut told: BTreeMap<String, u64> = BTreeMap::new();
    let all = || tally.told.values().chain(notices.values());
    all().for_each(|(status, _)| *told.entry(status.clone()).or_default() += 1);
    let undelivered: u64 = told
        .iter()
        .filter(|(s, _)| *s != "delivered")
        .map(|(_, n)| n)
        .sum();
    let messages = arrivals.len() as u64;
    Loaded {
        front: plan.front,
        rate: messages as f64 / plan.day.seconds,
        messages,
        taken_on: tally.taken_on,
        turned_away: tally.turned_away,
        unheard: tally.unheard,
        hand_in_ms: quantiles(&tally.hand_in),
        behind_ms: quantiles(&tally.behind),
        told_twice: all().filter(|(_, n)| *n > 1).count() as u64,
        // One that was told to be over may still have been delivered by a call that was given up.
        lost: tally.taken_on as i64 - partners.delivered as i64 - undelivered as i64,
        told,
        partners,
        cpu_us: cpu_ms * 1e3 / messages.max(1) as f64,
        memory_kib,
        descriptors,
    }
}
