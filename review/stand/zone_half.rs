//! Case: the sender is restarted as planned while its zone file is half written.
//!
//! Usage: zone_half RECORD ROOT, with TROUBLE=0 for the same restart with a whole zone file.

#[path = "shared/mod.rs"]
mod shared;

use shared::{
    answer, connect, free_port, header, packet, publish, read_packet, read_request, subscribe,
    Record, Sender,
};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a message may take, in seconds.
const TIME: u64 = 16;
/// Messages are handed in until this time, so many in a second; every second one is for destination
/// 8, whose partner is over its limit throughout.
const UNTIL: f64 = 6.0;
const RATE: f64 = 5.0;
/// The new zone file is half written, and so long after it the sender is told to end.
const HALF_AT: f64 = 6.2;
const TERM_AT: f64 = 6.5;
/// SIGKILL comes so long after SIGTERM, the next start so long after that, and where the process
/// ends at its start it is started again after a second.
const KILL: f64 = 3.7;
const PAUSE: f64 = 0.6;
const AGAIN: f64 = 1.0;
/// A sender that takes longer to be ready has failed.
const READY: f64 = 30.0;
/// An answer may come so long after a message's time: 300 ms, 50 ms on sockets, and some more. None
/// is overdue until 1.5 s after the sender is ready again.
const GRACE: f64 = 1.0;
const RESTART: f64 = 1.5;
const TOPIC: &str = "answers/portal";

#[derive(Default)]
struct Message {
    sent: f64,
    taken_on: bool,
    run: bool,
    told: Option<(f64, String)>,
}

type Messages = Arc<Mutex<BTreeMap<String, Message>>>;

/// A partner's endpoint: answers each call with 200 after 320 to 560 ms, or, over its limit, with 503
/// at once.
fn endpoint(
    name: &'static str,
    full: bool,
    port: TcpListener,
    record: Arc<Record>,
    messages: Messages,
) {
    for stream in port.incoming().flatten() {
        let (record, messages) = (record.clone(), messages.clone());
        thread::spawn(move || {
            let (mut stream, mut buffer, mut calls) = (stream, Vec::new(), 0u64);
            while let Some(head) = read_request(&mut stream, &mut buffer) {
                let id = header(&head, "x-txn").unwrap_or_default();
                if full {
                    record.note(&format!("{name} turned {id} away with 503"));
                    let _ = stream.write_all(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                calls += 1;
                thread::sleep(Duration::from_millis(320 + calls * 83 % 240));
                let ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(ok).is_err() {
                    return;
                }
                record.note(&format!("{name} ran {id} and answered 200"));
                if let Some(m) = messages.lock().unwrap().get_mut(&id) {
                    m.run = true;
                }
            }
        });
    }
}

/// Reads what comes on one connection, until it ends, and acknowledges final answers.
fn listen_to(mut stream: TcpStream, record: &Record, messages: &Messages) {
    while let Ok((first, rest)) = read_packet(&mut stream) {
        let mut all = messages.lock().unwrap();
        match first >> 4 {
            4 => {
                let pid = u16::from_be_bytes([rest[0], rest[1]]);
                let reason = rest.get(2).copied().unwrap_or(0);
                record.note(&format!("PUBACK {reason:#x} of m-{pid:04}"));
                if let Some(m) = all.get_mut(&format!("m-{pid:04}")) {
                    m.taken_on = reason == 0;
                }
            }
            3 => {
                if let Some((pid, id, status)) = answer(first, &rest) {
                    record.note(&format!("the final answer of {id}: {status}"));
                    if let Some(m) = all.get_mut(&id) {
                        m.told.get_or_insert((record.now(), status));
                    }
                    if let Some(pid) = pid {
                        let _ = stream.write_all(&packet(0x40, &pid.to_be_bytes()));
                    }
                }
            }
            _ => {}
        }
    }
}

/// The back-end service: one MQTT client, which comes back under its name whenever its connection
/// has ended.
fn service(at: SocketAddr, record: Arc<Record>, messages: Messages) {
    let mut sent = 0u16;
    loop {
        thread::sleep(Duration::from_millis(200));
        let Ok(mut stream) = TcpStream::connect(at) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let greeted = stream
            .write_all(&connect("portal-1", 60))
            .and_then(|()| read_packet(&mut stream))
            .and_then(|_| stream.write_all(&subscribe(TOPIC)));
        let (Ok(()), Ok(reader)) = (greeted, stream.try_clone()) else {
            continue;
        };
        record.note("the service is connected");
        let ended = Arc::new(AtomicBool::new(false));
        let (seen, heard, over) = (record.clone(), messages.clone(), ended.clone());
        thread::spawn(move || {
            listen_to(reader, &seen, &heard);
            over.store(true, SeqCst);
        });
        let mut pinged = record.now();
        while !ended.load(SeqCst) {
            thread::sleep(Duration::from_secs_f64(1.0 / RATE));
            let bytes = if record.now() < UNTIL {
                sent += 1;
                let id = format!("m-{sent:04}");
                let message = Message {
                    sent: record.now(),
                    ..Message::default()
                };
                messages.lock().unwrap().insert(id.clone(), message);
                publish(&id, 7 + sent % 2, sent, TIME, TOPIC)
            } else if record.now() - pinged > 15.0 {
                pinged = record.now();
                packet(0xc0, &[])
            } else {
                continue;
            };
            if stream.write_all(&bytes).is_err() {
                break;
            }
        }
        record.note("the service's connection has ended");
    }
}

/// The zone with two destinations.
fn zone(serial: u32, ports: &[(u16, u16)], rate: u32) -> String {
    let mut text = format!(
        "$ORIGIN partners.oviedo.example.\n$TTL 60\n\
         @ IN SOA ns.partners.oviedo.example. hostmaster.oviedo.example. {serial} 3600 600 86400 60\n\
         @ IN NS ns.partners.oviedo.example.\nns IN A 127.0.0.1\n"
    );
    for (dest, port) in ports {
        text += &format!(
            "_raildeal._tcp.{dest} IN SRV 0 0 {port} install-{dest}\n\
             install-{dest} IN A 127.0.0.1\n\
             install-{dest} IN TXT \"zone=edificio-a\" \"kind=major-partner\" \"rate={rate}\"\n"
        );
    }
    text
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (path, root) = (&arguments[1], &arguments[2]);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let folder = std::env::temp_dir().join(format!("review-zone-{}", std::process::id()));
    fs::create_dir_all(folder.join("state")).expect("a folder");
    let record = Arc::new(Record {
        start: Instant::now(),
        lines: Mutex::new(File::create(path).expect("the record")),
    });
    record.note(&format!("trouble: {trouble}"));
    let messages = Messages::default();
    let mut ports = Vec::new();
    for (name, dest) in [("install-7", 7), ("install-8", 8)] {
        let port = TcpListener::bind("127.0.0.1:0").expect("a port");
        ports.push((dest, port.local_addr().expect("its address").port()));
        let (record, messages) = (record.clone(), messages.clone());
        thread::spawn(move || endpoint(name, dest == 8, port, record, messages));
    }
    let zone_file = folder.join("partners.zone");
    fs::write(&zone_file, zone(2026120401, &ports, 20)).expect("the zone");
    let listen = free_port();
    let (file, state) = (folder.join("sender.toml"), folder.join("state"));
    let settings = include_str!("mqtt_settings.toml");
    let text = format!(
        "name = \"n1\"\nstate = \"{}\"\n\n[limits]\nsockets = 1024\ndisk_mb = 3.0\n\n\
         [mqtt]\nlisten = \"{listen}\"\n\n[dns]\nzone_file = \"{}\"\n\n{settings}",
        state.display(),
        zone_file.display()
    );
    fs::write(&file, text).expect("the sender's file");
    let Some(mut sender) = Sender::start(root, &folder, &file, listen) else {
        record.note("the sender did not start");
        exit(2);
    };
    let (clients, handed_in) = (record.clone(), messages.clone());
    thread::spawn(move || service(listen, clients, handed_in));
    let until = |time: f64| {
        let left = (time - record.now()).max(0.0);
        thread::sleep(Duration::from_secs_f64(left));
    };
    until(HALF_AT);
    if trouble {
        let whole = zone(2026120402, &ports, 25);
        fs::write(&zone_file, &whole[..whole.len() / 2]).expect("half of the zone");
        record.note("the new zone file is half written");
    }
    until(TERM_AT);
    if sender.ended().is_some() {
        record.note("the sender has ended before it was told to");
        exit(1);
    }
    sender.signal("TERM");
    let told_at = record.now();
    record.note("SIGTERM");
    while sender.ended().is_none() && record.now() < told_at + KILL {
        thread::sleep(Duration::from_millis(10));
    }
    drop(sender);
    thread::sleep(Duration::from_secs_f64(PAUSE));

    let begun = record.now();
    let (mut starts, mut ready, mut running) = (0, None, None);
    while ready.is_none() && record.now() < begun + READY {
        starts += 1;
        running = Sender::start(root, &folder, &file, listen);
        match &running {
            Some(_) => {
                ready = Some(record.now());
                record.note("the sender is ready again");
            }
            None => {
                let log = fs::read_to_string(folder.join("log")).unwrap_or_default();
                let last = log.lines().last().unwrap_or("").to_string();
                record.note(&format!("the sender has ended at its start: {last}"));
                thread::sleep(Duration::from_secs_f64(AGAIN));
            }
        }
    }
    // Until the last answer is due.
    until(UNTIL + TIME as f64 + GRACE + 1.0);
    if let Some(ready) = ready {
        until(ready + RESTART + GRACE);
    }
    let messages = messages.lock().unwrap();
    let (mut all, mut open, mut undelivered) = (0, 0, 0);
    for (id, m) in messages.iter().filter(|(_, m)| m.taken_on) {
        all += 1;
        let by = (m.sent + TIME as f64 + GRACE).max(ready.unwrap_or(0.0) + RESTART + GRACE);
        if !m.told.as_ref().is_some_and(|(at, _)| *at <= by) {
            open += 1;
            undelivered += usize::from(!m.run);
            record.note(&format!("no final answer: {id} (sent {:.3})", m.sent));
        }
    }
    let line = format!(
        "started {starts} times in {READY} s after the planned restart, {}; {all} messages taken on, \
         {open} of them without a final answer, {undelivered} of these not delivered either",
        match ready {
            Some(ready) => format!("ready {:.1} s after the first", ready - begun),
            None => "never ready: each process ended at its start".into(),
        }
    );
    record.note(&line);
    println!("{line}");
    drop(running);
    let _ = fs::remove_dir_all(&folder);
    exit(if all == 0 {
        2
    } else {
        i32::from(ready.is_none() || open > 0)
    });
}
