//! Case: a partner's host moves to another address while calls to it are out. The zone file gets the
//! new address under a raised serial, and the sender is told to read it again.
//!
//! Usage: dns_move RECORD ROOT, with TROUBLE=0 for the run without the move.

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
use std::path::Path;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a message may take, in seconds.
const TIME: u64 = 16;
/// The host moves at this time, in seconds.
const MOVES: f64 = 6.0;
/// Messages are handed in until this time, so many in a second.
const UNTIL: f64 = 20.0;
const RATE: f64 = 5.0;
/// No new work after this time since the sender was told, in seconds: 250 ms, and on sockets 50 ms
/// more. 200 ms are added for the signal and the reading of the file.
const GRACE: f64 = 0.250 + 0.050 + 0.200;
const TOPIC: &str = "answers/portal";
/// The host's addresses before and after.
const OLD: &str = "127.0.0.2";
const NEW: &str = "127.0.0.3";

#[derive(Default)]
struct Message {
    taken_on: bool,
    /// Where it ran, and when its call arrived.
    calls: Vec<(&'static str, f64)>,
    told: Option<String>,
}

type Messages = Arc<Mutex<BTreeMap<String, Message>>>;

/// A zone with one host, which serves destination 7.
fn write_zone(path: &Path, serial: u32, address: &str, port: u16) {
    let text = format!(
        "$ORIGIN partners.oviedo.example.\n$TTL 60\n\
         @ IN SOA ns.partners.oviedo.example. hostmaster.oviedo.example. {serial} 3600 600 86400 60\n\
         @ IN NS ns.partners.oviedo.example.\n\
         ns IN A 127.0.0.1\n\
         _raildeal._tcp.7 IN SRV 0 0 {port} install\n\
         install IN A {address}\n\
         install IN TXT \"zone=edificio-a\" \"kind=major-partner\" \"rate=20\"\n"
    );
    let next = path.with_extension("next");
    fs::write(&next, text).expect("the zone");
    fs::rename(&next, path).expect("the zone in its place");
}

/// A machine: answers each call with 200 after 320 to 560 ms.
fn machine(name: &'static str, port: TcpListener, record: Arc<Record>, messages: Messages) {
    for stream in port.incoming().flatten() {
        let (record, messages) = (record.clone(), messages.clone());
        thread::spawn(move || {
            let (mut stream, mut buffer, mut calls) = (stream, Vec::new(), 0u64);
            while let Some(head) = read_request(&mut stream, &mut buffer) {
                let id = header(&head, "x-txn").unwrap_or_default();
                record.note(&format!("{name} gets {id}"));
                if let Some(m) = messages.lock().unwrap().get_mut(&id) {
                    m.calls.push((name, record.now()));
                }
                calls += 1;
                thread::sleep(Duration::from_millis(320 + calls * 83 % 240));
                let ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(ok).is_err() {
                    return;
                }
            }
        });
    }
}

/// The back-end service: one MQTT client, which hands messages in and hears the final answers.
fn service(at: SocketAddr, record: Arc<Record>, messages: Messages) {
    let mut stream = TcpStream::connect(at).expect("connected");
    let _ = stream.set_nodelay(true);
    stream.write_all(&connect("portal-1", 60)).expect("written");
    let (first, rest) = read_packet(&mut stream).expect("an answer to CONNECT");
    assert!(first == 0x20 && rest[1] == 0, "CONNACK {rest:?}");
    stream.write_all(&subscribe(TOPIC)).expect("written");
    let (first, rest) = read_packet(&mut stream).expect("an answer to SUBSCRIBE");
    assert!(first == 0x90 && rest[3] == 1, "SUBACK {rest:?}");
    let mut reader = stream.try_clone().expect("cloned");
    let (seen, heard) = (record.clone(), messages.clone());
    thread::spawn(move || {
        while let Ok((first, rest)) = read_packet(&mut reader) {
            let mut all = heard.lock().unwrap();
            match first >> 4 {
                4 => {
                    let pid = u16::from_be_bytes([rest[0], rest[1]]);
                    let reason = rest.get(2).copied().unwrap_or(0);
                    seen.note(&format!("PUBACK {reason:#x} of m-{pid:04}"));
                    if let Some(m) = all.get_mut(&format!("m-{pid:04}")) {
                        m.taken_on = reason == 0;
                    }
                }
                3 => {
                    if let Some((pid, id, status)) = answer(first, &rest) {
                        seen.note(&format!("the final answer of {id}: {status}"));
                        if let Some(m) = all.get_mut(&id) {
                            m.told = Some(status);
                        }
                        if let Some(pid) = pid {
                            let _ = reader.write_all(&packet(0x40, &pid.to_be_bytes()));
                        }
                    }
                }
                _ => {}
            }
        }
    });
    let mut sent = 0u16;
    while record.now() < UNTIL {
        thread::sleep(Duration::from_secs_f64(1.0 / RATE));
        sent += 1;
        let id = format!("m-{sent:04}");
        messages
            .lock()
            .unwrap()
            .insert(id.clone(), Message::default());
        if stream
            .write_all(&publish(&id, 7, sent, TIME, TOPIC))
            .is_err()
        {
            return;
        }
    }
    // The connection stays open for the answers.
    thread::sleep(Duration::from_secs(3600));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (path, root) = (&arguments[1], &arguments[2]);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let folder = std::env::temp_dir().join(format!("review-dns-{}", std::process::id()));
    fs::create_dir_all(folder.join("state")).expect("a folder");
    let record = Arc::new(Record {
        start: Instant::now(),
        lines: Mutex::new(File::create(path).expect("the record")),
    });
    record.note(&format!("trouble: {trouble}"));
    let messages = Messages::default();
    let old = TcpListener::bind((OLD, 0)).expect("a port");
    let port = old.local_addr().expect("its address").port();
    let Ok(new) = TcpListener::bind((NEW, port)) else {
        record.note("the port is taken at the new address");
        exit(2);
    };
    for (name, port) in [("old", old), ("new", new)] {
        let (record, messages) = (record.clone(), messages.clone());
        thread::spawn(move || machine(name, port, record, messages));
    }
    let zone = folder.join("partners.zone");
    write_zone(&zone, 2026120401, OLD, port);
    let listen = free_port();
    let (file, state) = (folder.join("sender.toml"), folder.join("state"));
    let settings = include_str!("mqtt_settings.toml");
    let text = format!(
        "name = \"n1\"\nstate = \"{}\"\n\n[limits]\nsockets = 1024\ndisk_mb = 3.0\n\n\
         [mqtt]\nlisten = \"{listen}\"\n\n[dns]\nzone_file = \"{}\"\n\n{settings}",
        state.display(),
        zone.display()
    );
    fs::write(&file, text).expect("the sender's file");
    let Some(mut sender) = Sender::start(root, &folder, &file, listen) else {
        record.note("the sender did not start");
        exit(2);
    };
    let (clients, handed_in) = (record.clone(), messages.clone());
    thread::spawn(move || service(listen, clients, handed_in));
    let mut told_at = f64::MAX;
    while record.now() < UNTIL + 3.0 {
        thread::sleep(Duration::from_millis(20));
        if let Some(status) = sender.ended() {
            record.note(&format!("the sender has ended: {status}"));
            exit(2);
        }
        if trouble && told_at == f64::MAX && record.now() >= MOVES {
            write_zone(&zone, 2026120402, NEW, port);
            sender.signal("HUP");
            told_at = record.now();
            record.note(&format!("install is at {NEW} now; the sender is told"));
        }
    }
    let messages = messages.lock().unwrap();
    let from_then = |name| {
        let calls = messages.values().flat_map(|m| &m.calls);
        calls
            .filter(|(at, time)| *at == name && *time > told_at + GRACE)
            .map(|(_, time)| *time - told_at)
            .collect::<Vec<f64>>()
    };
    let (late, right) = (from_then("old"), from_then("new"));
    let last = late.iter().fold(0.0, |a: f64, b| a.max(*b));
    let told_delivered = messages
        .values()
        .filter(|m| m.taken_on && m.told.as_deref() == Some("delivered"))
        .filter(|m| m.calls.iter().all(|(at, _)| *at == "old"))
        .filter(|m| m.calls.iter().any(|(_, time)| *time > told_at + GRACE))
        .count();
    let line = format!(
        "{} messages; from {GRACE:.3} s after the move on, {} calls at the old address (the last \
         {last:.1} s after it) and {} at the new one; {told_delivered} messages that only the old \
         address got were told as delivered",
        messages.len(),
        late.len(),
        right.len()
    );
    record.note(&line);
    println!("{line}");
    let delivered = messages.values().filter(|m| m.told.is_some()).count();
    let broken = !late.is_empty();
    drop(sender);
    let _ = fs::remove_dir_all(&folder);
    exit(if delivered == 0 { 2 } else { i32::from(broken) });
}
