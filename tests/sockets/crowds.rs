//! Hundreds of clients that never end what they have begun to send, against a process with the
//! least memory that the platform gives: it stays under its limit, and usual clients are answered
//! in time.

use crate::door::{allow_descriptors, connect_from};
use crate::http::{answer, header, request, Http};
use crate::mqtt::publish;
use crate::rig::{message, Message};
use crate::usual_clients::{usual_clients_beside, Node, ANSWER, USUAL};
use mqtt_proto::v5::{Connect, Packet};
use raildeal::net::mqtt::packets::encode;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Clients of the crowd, each from an address of its own.
const CROWD: usize = 600;
/// Threads that hold them.
const HOLDERS: usize = 6;
/// The crowd stays for so long.
const STAYS: Duration = Duration::from_secs(6);
/// The longest body that the protocol allows.
const BODY: usize = 65_536;
/// Memory that the process is told.
const MEMORY_MB: usize = 32;
/// Each test measures one process; they run one after another.
static ALONE: Mutex<()> = Mutex::new(());

/// What each client of a crowd sends, in steps with a time between them.
#[derive(Clone, Copy, Debug)]
enum Sends {
    /// A request but for the last bytes of its long body, all at once.
    MostOfABody,
    /// The same in small steps.
    ABodySlowly,
    /// Many short fields and a long one, without the end of the head.
    ManyFields,
    /// More than any body may have.
    TooMuch,
    /// An MQTT greeting, and then a long message but for its last bytes.
    MostOfAPacket,
}

impl Sends {
    fn bytes(self) -> Vec<u8> {
        let long = |length: usize| {
            let mut bytes = request(&Message {
                body: vec![b'x'; length],
                ..message("of-a-crowd")
            });
            bytes.truncate(bytes.len() - 536.min(length));
            bytes
        };
        match self {
            Sends::MostOfABody | Sends::ABodySlowly => long(BODY),
            Sends::TooMuch => long(300_000),
            Sends::ManyFields => {
                let mut head = b"POST /event HTTP/1.1\r\nHost: app.svc\r\n".to_vec();
                (0..60).for_each(|n| head.extend(format!("X-F{n}: v\r\n").bytes()));
                head.extend(b"X-Long: ");
                head.extend(vec![b'x'; 15_000]);
                head
            }
            Sends::MostOfAPacket => {
                let greeting = Packet::Connect(Connect::new("".into(), 60));
                let long = Message {
                    body: vec![b'x'; BODY],
                    ..message("of-a-crowd")
                };
                let mut bytes = encode(&greeting).expect("a packet");
                bytes.extend(encode(&Packet::Publish(publish(&long, 1))).expect("a packet"));
                bytes.truncate(bytes.len() - 536);
                bytes
            }
        }
    }

    /// Bytes in a step, and the time between two.
    fn step(self) -> (usize, Duration) {
        match self {
            Sends::ABodySlowly => (300, 10 * MS),
            _ => (usize::MAX, Duration::ZERO),
        }
    }
}

/// One client of a crowd.
struct Stranger {
    address: Ipv4Addr,
    stream: Option<TcpStream>,
    sent: usize,
    next_at: Instant,
}

impl Stranger {
    fn new(number: usize) -> Self {
        Stranger {
            address: Ipv4Addr::new(127, 3, (number / 250) as u8, (number % 250 + 1) as u8),
            stream: None,
            sent: 0,
            next_at: Instant::now(),
        }
    }

    /// Connects, where it is not connected, and sends what is due. An error ends the connection.
    fn go_on(&mut self, to: SocketAddr, bytes: &[u8], (step, rest): (usize, Duration)) {
        if Instant::now() < self.next_at {
            return;
        }
        self.next_at = Instant::now() + rest;
        let Some(stream) = &mut self.stream else {
            self.sent = 0;
            self.stream = connect_from(self.address, to);
            let set = self.stream.iter().try_for_each(|s| s.set_nonblocking(true));
            set.expect("a socket");
            return;
        };
        let end = bytes.len().min(self.sent.saturating_add(step));
        let is_over = |e: &io::Error| e.kind() != io::ErrorKind::WouldBlock;
        let mut is_open = true;
        if self.sent < end {
            match stream.write(&bytes[self.sent..end]) {
                Ok(n) => self.sent += n,
                Err(e) => is_open = !is_over(&e),
            }
        }
        match stream.read(&mut [0; 512]) {
            Ok(0) => is_open = false,
            Ok(_) => {}
            Err(e) => is_open &= !is_over(&e),
        }
        if !is_open {
            self.stream = None;
        }
    }
}

/// Holds a part of the crowd until told to stop.
fn hold(numbers: impl Iterator<Item = usize>, to: SocketAddr, sends: Sends, stop: &AtomicBool) {
    let mut strangers: Vec<Stranger> = numbers.map(Stranger::new).collect();
    let (bytes, step) = (sends.bytes(), sends.step());
    while !stop.load(Ordering::Relaxed) {
        for stranger in &mut strangers {
            stranger.go_on(to, &bytes, step);
        }
        thread::sleep(2 * MS);
    }
}

/// A crowd beside usual clients: the peak of the process's memory in KiB, and what they were
/// answered.
fn crowd_beside_usual_clients(sends: Sends) {
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    allow_descriptors();
    let (node, calls) = Node::start::<Http>(MEMORY_MB);
    let to = match sends {
        Sends::MostOfAPacket => node.mqtt,
        _ => node.http,
    };
    let at_rest_kb = node.program.memory();
    let answered = usual_clients_beside(node.http, calls, |_| {
        let stop = AtomicBool::new(false);
        thread::scope(|scope| {
            for holder in 0..HOLDERS {
                let (stop, numbers) = (&stop, (holder..CROWD).step_by(HOLDERS));
                scope.spawn(move || hold(numbers, to, sends, stop));
            }
            thread::sleep(STAYS);
            stop.store(true, Ordering::Relaxed);
        });
    });
    let peak_kb = node.program.status_kb("VmHWM:");
    println!("{sends:?}: {at_rest_kb} KiB at rest, {peak_kb} KiB at the most, {answered:?}");
    assert!(
        peak_kb * 1024 <= MEMORY_MB * 1_000_000,
        "{sends:?}: {peak_kb} KiB of {MEMORY_MB} MB, {at_rest_kb} KiB at rest"
    );
    assert!(answered.asked >= USUAL * 20, "{answered:?}");
    assert_eq!(answered.in_time, answered.asked, "{sends:?}");
}

/// Guards against a process that is killed for its memory by clients that stop within a body.
#[test]
fn a_crowd_that_stops_within_long_bodies_stays_under_the_memory_limit() {
    crowd_beside_usual_clients(Sends::MostOfABody);
}

/// Guards against a process that is killed for its memory by clients that send slowly.
#[test]
fn a_crowd_that_sends_long_bodies_slowly_stays_under_the_memory_limit() {
    crowd_beside_usual_clients(Sends::ABodySlowly);
}

/// Guards against a process that is killed for its memory by heads that never end.
#[test]
fn a_crowd_that_sends_heads_of_many_fields_stays_under_the_memory_limit() {
    crowd_beside_usual_clients(Sends::ManyFields);
}

/// Guards against a process that is killed for its memory by bodies longer than any may be.
#[test]
fn a_crowd_that_sends_more_than_a_body_may_have_stays_under_the_memory_limit() {
    crowd_beside_usual_clients(Sends::TooMuch);
}

/// Guards against a process that is killed for its memory by MQTT clients that stop within a packet.
#[test]
fn a_crowd_that_stops_within_long_packets_stays_under_the_memory_limit() {
    crowd_beside_usual_clients(Sends::MostOfAPacket);
}

/// Whether a connection was told 503 by now.
fn is_refused(stream: &TcpStream) -> bool {
    let mut first = [0; 12];
    stream.set_nonblocking(true).expect("a socket");
    let told = stream.peek(&mut first).is_ok();
    stream.set_nonblocking(false).expect("a socket");
    told && first.ends_with(b"503")
}

/// Guards against clients for whom there is no memory and who are not told so at once, and against
/// small messages that wait for the memory of long ones.
#[test]
fn a_long_request_without_memory_is_refused_at_once_and_a_small_one_is_accepted() {
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    let (node, _calls) = Node::start::<Http>(MEMORY_MB);
    let begun = &Sends::MostOfABody.bytes()[..2_000];
    let since = Instant::now();
    let mut crowd: Vec<TcpStream> = (0..200)
        .map(|n| {
            let from = Ipv4Addr::new(127, 3, 9, n + 1);
            let mut stream = connect_from(from, node.http).expect("connected");
            stream.write_all(begun).expect("written");
            stream
        })
        .collect();

    let mut usual = TcpStream::connect(node.http).expect("connected");
    let asked = Instant::now();
    usual.write_all(&request(&message("m1"))).expect("written");
    let accepted = answer(&mut usual).expect("an answer").0;
    let accepted_after = asked.elapsed();
    thread::sleep(ANSWER.saturating_sub(since.elapsed()));
    let refused = crowd.iter().filter(|s| is_refused(s)).count();
    for stream in &mut crowd {
        // One that had memory is told that it is too slow, or closed for others.
        let told = answer(stream);
        let is_sound = told.is_none_or(|(status, head)| match status {
            503 => header(&head, "retry-after").is_some(),
            status => status == 408,
        });
        assert!(is_sound);
    }

    assert_eq!(accepted, 202);
    assert!(accepted_after < ANSWER, "{accepted_after:?}");
    assert!(
        refused > 0,
        "nobody was told in time that there is no memory"
    );
    assert!(
        since.elapsed() < Duration::from_secs(3),
        "{:?}",
        since.elapsed()
    );
}
