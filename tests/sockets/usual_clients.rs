//! Usual clients beside whatever else happens to a process, and how many of their messages are
//! accepted in time.

use crate::discovery::Discovery;
use crate::door::deliver;
use crate::http::{header, read_head, request};
use crate::mqtt::send;
use crate::program::Program;
use crate::rig::{message, settings, Call, Providers, Wire};
use mqtt_proto::v5::{Connect, Packet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const MS: Duration = Duration::from_millis(1);
/// A client waits so long for the answer to a message.
pub const ANSWER: Duration = Duration::from_millis(400);
/// Clients as they usually are, and the time between two messages of one.
pub const USUAL: usize = 4;
const BETWEEN: Duration = Duration::from_millis(100);
/// Descriptors that the process is told.
const SOCKETS: usize = 1024;

/// A process of the program that the platform's configuration starts, beside its stand-ins.
pub struct Node {
    pub program: Program,
    /// Where clients connect, by HTTP and by MQTT.
    pub http: SocketAddr,
    pub mqtt: SocketAddr,
    pub discovery: Discovery,
    _folder: TempDir,
}

impl Node {
    /// Starts it with so much memory. The program of an earlier version does not know that limit
    /// in an operator's file, but for MQTT there is no other way.
    pub fn start<W: Wire>(memory_mb: usize) -> (Node, Receiver<Call>) {
        let (discovery, mut providers) = (Discovery::start(), Providers::new());
        for uid in ["p", "q", "r"] {
            let address = providers.start::<W>(uid);
            discovery.list(uid, address, "a", W::KIND, "active");
        }
        let folder = TempDir::new().expect("a folder");
        let state = folder.path().join("state");
        std::fs::create_dir_all(&state).expect("a folder");
        let text = format!(
            "name = \"n0\"\nstate = {state:?}\nseed = 11\n[platform]\nlisten = \"127.0.0.1:0\"\n\
             discovery = \"{}\"\n[mqtt]\nlisten = \"127.0.0.1:0\"\n\
             [brokers]\nkinds = [\"broker\"]\ntopic = \"in/{{dest}}\"\n\
             [limits]\nsockets = {SOCKETS}\nmemory_mb = {memory_mb}\n{}",
            discovery.address,
            settings(100)
        );
        let file = folder.path().join("operator.toml");
        std::fs::write(&file, text).expect("a file");
        let mut program = Program::spawn(Program::command().arg(&file));
        let (http, mqtt) = (program.port("platform"), program.port("mqtt"));
        (0..3).for_each(|_| drop(program.says("directory: provider")));
        let node = Node {
            program,
            http,
            mqtt,
            discovery,
            _folder: folder,
        };
        (node, providers.take_calls())
    }
}

/// What usual clients were answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answered {
    pub asked: usize,
    pub in_time: usize,
}

/// A client that hands in one small message after another, over a connection that it keeps, until
/// told to stop.
pub fn hand_in(name: &str, to: SocketAddr, stop: &AtomicBool) -> Answered {
    let mut answered = Answered::default();
    let mut kept = None;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(BETWEEN);
        let bytes = request(&message(&format!("{name}-{}", answered.asked)));
        let since = Instant::now();
        answered.asked += 1;
        // Where the end of a resting connection crosses the request, it goes once more.
        let told = kept
            .take()
            .and_then(|stream| ask(stream, &bytes, since))
            .or_else(|| ask(TcpStream::connect(to).ok()?, &bytes, since));
        if let Some((stream, keeps)) = told {
            answered.in_time += 1;
            kept = Some(stream).filter(|_| keeps);
        }
    }
    answered
}

/// Sends a request and waits for 202 until a client gives it up. Gives the connection, and whether
/// it may be used again.
fn ask(mut stream: TcpStream, bytes: &[u8], since: Instant) -> Option<(TcpStream, bool)> {
    let left = ANSWER.checked_sub(since.elapsed())?;
    stream.set_read_timeout(Some(left.max(MS))).ok()?;
    stream.write_all(bytes).ok()?;
    let head = read_head(&mut stream)?;
    let is_taken = head.starts_with("HTTP/1.1 202") && since.elapsed() <= ANSWER;
    let keeps = header(&head, "connection") != Some("close");
    is_taken.then_some((stream, keeps))
}

/// Usual clients beside something else, for as long as that takes.
pub fn usual_clients_beside(
    to: SocketAddr,
    calls: Receiver<Call>,
    other: impl FnOnce(&AtomicBool) + Send,
) -> Answered {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let stop = &stop;
        scope.spawn(move || deliver(&calls, stop));
        let clients: Vec<_> = (0..USUAL)
            .map(|n| scope.spawn(move || hand_in(&format!("usual-{n}"), to, stop)))
            .collect();
        other(stop);
        stop.store(true, Ordering::Relaxed);
        let mut all = Answered::default();
        for client in clients {
            let one = client.join().expect("a client");
            all.asked += one.asked;
            all.in_time += one.in_time;
        }
        all
    })
}

/// Sends bytes again and again, for as long as the other side takes them.
pub fn flood(mut stream: TcpStream, bytes: &[u8], until: Instant) {
    let many = bytes.repeat(8192 / bytes.len() + 1);
    stream.set_nonblocking(true).expect("a socket");
    let mut at = 0;
    while Instant::now() < until {
        // What comes back is taken, so that this client is in nobody's way but by what it sends.
        while matches!(stream.read(&mut [0; 65_536]), Ok(1..)) {}
        match stream.write(&many[at..]) {
            Ok(n) => at = (at + n) % many.len(),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => thread::sleep(MS / 10),
            Err(_) => return,
        }
    }
}

/// Greets as an MQTT client; nothing if it is not answered in time.
pub fn greet(to: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(ANSWER)).ok()?;
    send(&mut stream, &Packet::Connect(Connect::new("".into(), 60))).ok()?;
    matches!(crate::mqtt::read(&mut stream), Ok(Packet::Connack(_))).then_some(stream)
}
