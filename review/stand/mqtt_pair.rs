//! Case: two instances of one back-end service hand messages in by MQTT and wait for the final
//! answers on one response topic. One instance's machine vanishes; the other stays.
//!
//! Usage: mqtt_pair RECORD ROOT, with TROUBLE=0 for the run without the disruption.

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

/// Time that a message may take, as its client says (Message Expiry Interval, in seconds): one for
/// destination 7, which takes all, and one for destination 8, which is over its limit throughout.
const TIME: u64 = 16;
const TIME_OF_FULL: u64 = 6;
/// A final answer counts up to this long after that: 300 ms and 50 ms by the protocol page, half a
/// second by the page on the standing days; here one second.
const GRACE: f64 = 1.0;
/// Keep-alive of both clients, in seconds.
const KEEP_ALIVE: u16 = 60;
/// The machine of the second instance vanishes at this time, in seconds.
const VANISHES: f64 = 6.0;
/// Messages are handed in until this time.
const UNTIL: f64 = 16.0;
/// Messages of each instance in a second.
const RATE: f64 = 5.0;
const TOPIC: &str = "answers/portal";

#[derive(Default)]
struct Message {
    from: &'static str,
    sent: f64,
    time: u64,
    taken_on: Option<f64>,
    run: Option<f64>,
    /// Final answers that an instance heard: when, who, what.
    heard: Vec<(f64, &'static str, String)>,
}

type Messages = Arc<Mutex<BTreeMap<String, Message>>>;

/// One instance of the service: hands messages in and acknowledges final answers, until it
/// vanishes: then it neither reads nor writes, and its connection stays open.
fn instance(
    name: &'static str,
    at: SocketAddr,
    record: Arc<Record>,
    messages: Messages,
    vanishes: Option<f64>,
    over: Arc<AtomicBool>,
) {
    let mut stream = TcpStream::connect(at).expect("connected");
    let _ = stream.set_nodelay(true);
    stream
        .write_all(&connect(name, KEEP_ALIVE))
        .expect("written");
    let (first, rest) = read_packet(&mut stream).expect("an answer to CONNECT");
    assert!(first == 0x20 && rest[1] == 0, "CONNACK {rest:?}");
    stream.write_all(&subscribe(TOPIC)).expect("written");
    let (first, rest) = read_packet(&mut stream).expect("an answer to SUBSCRIBE");
    assert!(first == 0x90 && rest[3] == 1, "SUBACK {rest:?}");
    record.note(&format!(
        "{name} is connected and has subscribed to {TOPIC}"
    ));
    let gone = Arc::new(AtomicBool::new(false));
    let pids: Arc<Mutex<BTreeMap<u16, String>>> = Arc::default();

    let (mut reader, reads) = (stream.try_clone().expect("cloned"), messages.clone());
    let (seen, lost, outstanding) = (record.clone(), gone.clone(), pids.clone());
    // Answers are acknowledged by the thread that reads; a PUBACK is one short write.
    let reading = thread::spawn(move || loop {
        let Ok((first, rest)) = read_packet(&mut reader) else {
            if !lost.load(SeqCst) {
                seen.note(&format!("{name}: its connection has ended"));
            }
            return;
        };
        if lost.load(SeqCst) {
            // What came in this moment is heard by nobody. The connection stays open.
            loop {
                thread::sleep(Duration::from_secs(3600));
            }
        }
        match first >> 4 {
            4 => {
                let pid = u16::from_be_bytes([rest[0], rest[1]]);
                let reason = rest.get(2).copied().unwrap_or(0);
                let id = outstanding.lock().unwrap().remove(&pid);
                if let Some(id) = id {
                    seen.note(&format!("{name} heard PUBACK {reason:#x} of {id}"));
                    if reason == 0 {
                        reads.lock().unwrap().get_mut(&id).unwrap().taken_on = Some(seen.now());
                    }
                }
            }
            3 => match answer(first, &rest) {
                Some((pid, id, status)) => {
                    seen.note(&format!("{name} heard the final answer of {id}: {status}"));
                    if let Some(m) = reads.lock().unwrap().get_mut(&id) {
                        m.heard.push((seen.now(), name, status));
                    }
                    if let Some(pid) = pid {
                        let _ = reader.write_all(&packet(0x40, &pid.to_be_bytes()));
                    }
                }
                None => seen.note(&format!("{name} heard what it cannot read")),
            },
            _ => {}
        }
    });

    let (mut sent, mut pinged) = (0u16, record.now());
    while !over.load(SeqCst) {
        thread::sleep(Duration::from_secs_f64(1.0 / RATE));
        let now = record.now();
        if vanishes.is_some_and(|at| now >= at) {
            gone.store(true, SeqCst);
            record.note(&format!("the machine of {name} vanishes"));
            loop {
                thread::sleep(Duration::from_secs(3600));
            }
        }
        let bytes = if now < UNTIL {
            sent += 1;
            let id = format!("{name}-{sent:04}");
            let (dest, time) = match sent % 5 {
                0 => (8, TIME_OF_FULL),
                _ => (7, TIME),
            };
            let handed_in = Message {
                from: name,
                sent: now,
                time,
                ..Message::default()
            };
            messages.lock().unwrap().insert(id.clone(), handed_in);
            pids.lock().unwrap().insert(sent, id.clone());
            publish(&id, dest, sent, time, TOPIC)
        } else if now - pinged > 15.0 {
            pinged = now;
            packet(0xc0, &[])
        } else {
            continue;
        };
        if stream.write_all(&bytes).is_err() {
            record.note(&format!("{name}: its connection cannot be written to"));
            break;
        }
    }
    drop(reading);
}

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
            let mut stream = stream;
            let mut buffer = Vec::new();
            let mut calls = 0u64;
            loop {
                let Some(head) = read_request(&mut stream, &mut buffer) else {
                    return;
                };
                let id = header(&head, "x-txn").unwrap_or_default();
                if full {
                    record.note(&format!("{name} turned {id} away with 503"));
                    let _ = stream.write_all(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                calls += 1;
                thread::sleep(Duration::from_millis(320 + calls * 83 % 240));
                if stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    .is_err()
                {
                    record.note(&format!("{name} ran {id}; its caller has gone"));
                    return;
                }
                record.note(&format!("{name} ran {id} and answered 200"));
                if let Some(m) = messages.lock().unwrap().get_mut(&id) {
                    m.run.get_or_insert(record.now());
                }
            }
        });
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (path, root) = (&arguments[1], &arguments[2]);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let folder = std::env::temp_dir().join(format!("review-mqtt-{}", std::process::id()));
    fs::create_dir_all(folder.join("state")).expect("a folder");
    let record = Arc::new(Record {
        start: Instant::now(),
        lines: Mutex::new(File::create(path).expect("the record")),
    });
    record.note(&format!("trouble: {trouble}"));
    let messages = Messages::default();
    let mut providers = String::new();
    let partners = [
        ("oviedo-1", "edificio-a", 7),
        ("oviedo-2", "edificio-b", 7),
        ("gijon-1", "edificio-a", 8),
    ];
    for (name, zone, dest) in partners {
        let port = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = port.local_addr().expect("its address");
        providers += &format!(
            "[[provider]]\nuid = \"{name}\"\naddress = \"{at}\"\ndest = {dest}\nzone = \"{zone}\"\n\
             kind = \"major-partner\"\nrate = 20.0\n\n"
        );
        let (record, messages) = (record.clone(), messages.clone());
        thread::spawn(move || endpoint(name, dest == 8, port, record, messages));
    }
    let listen = free_port();
    let file = folder.join("sender.toml");
    let state = folder.join("state");
    let settings = include_str!("mqtt_settings.toml");
    let text = format!(
        "name = \"n1\"\nstate = \"{}\"\n\n[limits]\nsockets = 1024\ndisk_mb = 3.0\n\n\
         [mqtt]\nlisten = \"{listen}\"\n\n{providers}{settings}",
        state.display()
    );
    fs::write(&file, text).expect("the sender's file");
    let Some(mut sender) = Sender::start(root, &folder, &file, listen) else {
        record.note("the sender did not start");
        exit(2);
    };
    let over = Arc::new(AtomicBool::new(false));
    let both = [
        ("portal-1", None),
        ("portal-2", trouble.then_some(VANISHES)),
    ];
    for (name, vanishes) in both {
        let (record, messages, over) = (record.clone(), messages.clone(), over.clone());
        thread::spawn(move || instance(name, listen, record, messages, vanishes, over));
        // One after the other: the second one is the newer connection.
        thread::sleep(Duration::from_millis(500));
    }
    let end = UNTIL + TIME as f64 + GRACE + 1.0;
    while record.now() < end {
        thread::sleep(Duration::from_millis(50));
        if let Some(status) = sender.ended() {
            record.note(&format!("the sender has ended: {status}"));
            exit(2);
        }
    }
    over.store(true, SeqCst);

    // Judged is what the instance that stays has handed in and was told is taken on.
    let messages = messages.lock().unwrap();
    let (mut all, mut unanswered, mut undelivered) = (0, Vec::new(), 0);
    for (id, m) in messages.iter() {
        if m.from != "portal-1" || m.taken_on.is_none() {
            continue;
        }
        all += 1;
        let by = m.sent + m.time as f64 + GRACE;
        if !m.heard.iter().any(|(at, ..)| *at <= by) {
            undelivered += usize::from(m.run.is_none());
            unanswered.push(format!("{id} (sent {:.3}, run {:?})", m.sent, m.run));
        }
    }
    for id in &unanswered {
        record.note(&format!("no final answer heard in time: {id}"));
    }
    let line = format!(
        "portal-1: {all} messages taken on, {} of them without a final answer {GRACE} s after their \
         time was up, {undelivered} of these not delivered either",
        unanswered.len()
    );
    record.note(&line);
    println!("{line}");
    drop(sender);
    let _ = fs::remove_dir_all(&folder);
    exit(if all == 0 {
        2
    } else {
        i32::from(!unanswered.is_empty())
    });
}
