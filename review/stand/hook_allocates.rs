//! Case: the operator's script allocates without end when a message is handed in.
//!
//! Usage: hook_allocates RECORD ROOT, with TROUBLE=0 for a script that allocates once.

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
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients, each with one message unacknowledged at the most, and a pause after each PUBACK.
const CLIENTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(1000);
/// Messages are handed in until this time, in seconds.
const UNTIL: f64 = 20.0;
/// Time that a message may take, in seconds, as its client says: for destination 7, which takes all,
/// and for destination 8, whose partner is over its limit throughout.
const TIMES: [u64; 2] = [16, 5];
/// A final answer counts up to this long after that: 300 ms and 50 ms by the protocol page, half a
/// second by the standing page; here one second.
const GRACE: f64 = 1.0;

const ENDLESS: &str = r#"fn ingress(message) {
    loop {
        let text = "";
        text.pad(16000, "x");
    }
}
"#;
const ONCE: &str = r#"fn ingress(message) {
    let text = "";
    text.pad(16000, "x");
}
"#;

struct Message {
    sent: f64,
    time: f64,
    taken_on: Option<f64>,
    run: bool,
    told: Option<f64>,
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
                    record.note(&format!("{name} ran {id}; its caller has gone"));
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

/// A back-end service: one MQTT client with a name and a response topic of its own.
fn service(no: usize, at: SocketAddr, record: Arc<Record>, messages: Messages) {
    let name = format!("portal-{no}");
    let topic = format!("answers/{name}");
    let mut stream = TcpStream::connect(at).expect("connected");
    let _ = stream.set_nodelay(true);
    stream.write_all(&connect(&name, 60)).expect("written");
    let (first, rest) = read_packet(&mut stream).expect("an answer to CONNECT");
    assert!(first == 0x20 && rest[1] == 0, "CONNACK {rest:?}");
    stream.write_all(&subscribe(&topic)).expect("written");
    let (first, rest) = read_packet(&mut stream).expect("an answer to SUBSCRIBE");
    assert!(first == 0x90 && rest[3] == 1, "SUBACK {rest:?}");
    let (acknowledged, acknowledgements) = channel();
    let mut reader = stream.try_clone().expect("cloned");
    let (seen, heard) = (record.clone(), messages.clone());
    thread::spawn(move || {
        while let Ok((first, rest)) = read_packet(&mut reader) {
            match first >> 4 {
                4 => drop(acknowledged.send(rest.get(2).copied().unwrap_or(0))),
                3 => {
                    if let Some((pid, id, status)) = answer(first, &rest) {
                        seen.note(&format!("the final answer of {id}: {status}"));
                        if let Some(m) = heard.lock().unwrap().get_mut(&id) {
                            m.told.get_or_insert(seen.now());
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
    for sent in 1u16.. {
        if record.now() > UNTIL {
            break;
        }
        let id = format!("{name}-{sent:03}");
        let full = usize::from(sent % 2 == 0);
        let message = Message {
            sent: record.now(),
            time: TIMES[full] as f64,
            taken_on: None,
            run: false,
            told: None,
        };
        messages.lock().unwrap().insert(id.clone(), message);
        record.note(&format!("{id} is handed in"));
        let bytes = publish(&id, 7 + full as u16, sent, TIMES[full], &topic);
        if stream.write_all(&bytes).is_err() {
            return;
        }
        let Ok(reason) = acknowledgements.recv() else {
            return;
        };
        record.note(&format!("PUBACK {reason:#x} of {id}"));
        if reason == 0 {
            let mut all = messages.lock().unwrap();
            all.get_mut(&id).unwrap().taken_on = Some(record.now());
        }
        thread::sleep(PAUSE);
    }
    // The connection stays open for the answers.
    thread::sleep(Duration::from_secs(3600));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (path, root) = (&arguments[1], &arguments[2]);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let folder = std::env::temp_dir().join(format!("review-hook-{}", std::process::id()));
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
    let script = folder.join("hook.rhai");
    fs::write(&script, if trouble { ENDLESS } else { ONCE }).expect("the script");
    let (file, state) = (folder.join("sender.toml"), folder.join("state"));
    let settings = include_str!("mqtt_settings.toml");
    let text = format!(
        "name = \"n1\"\nstate = \"{}\"\n\n[limits]\nsockets = 1024\ndisk_mb = 3.0\n\n\
         [mqtt]\nlisten = \"{listen}\"\n\n[hook]\nscript = \"{}\"\n\n{providers}{settings}",
        state.display(),
        script.display()
    );
    fs::write(&file, text).expect("the sender's file");
    let Some(mut sender) = Sender::start(root, &folder, &file, listen) else {
        record.note("the sender did not start");
        exit(2);
    };
    for no in 1..=CLIENTS {
        let (record, messages) = (record.clone(), messages.clone());
        thread::spawn(move || service(no, listen, record, messages));
    }
    // Until the last answer is due, also of a message that was acknowledged late.
    while record.now() < UNTIL + 2.0 * TIMES[0] as f64 + GRACE + 1.0 {
        thread::sleep(Duration::from_millis(100));
        if let Some(status) = sender.ended() {
            record.note(&format!("the sender has ended: {status}"));
            exit(2);
        }
    }
    let messages = messages.lock().unwrap();
    let (mut all, mut late, mut lost, mut even_so, mut longest) = (0, 0, 0, 0, 0.0f64);
    for (id, m) in messages.iter() {
        let Some(taken_on) = m.taken_on else { continue };
        all += 1;
        longest = longest.max(taken_on - m.sent);
        let in_time = |from: f64| m.told.is_some_and(|at| at <= from + m.time + GRACE);
        if !in_time(m.sent) {
            late += 1;
            lost += usize::from(!m.run);
            even_so += usize::from(!in_time(taken_on));
            record.note(&format!(
                "no final answer in time: {id}, sent {:.3}, time {} s, taken on {taken_on:.3}, \
                 told {:?}",
                m.sent, m.time, m.told
            ));
        }
    }
    let line = format!(
        "{all} messages taken on (the longest wait for a PUBACK {longest:.1} s), {late} without a \
         final answer {GRACE} s after their time, {lost} of these not delivered; counted from the \
         PUBACK instead {even_so} are without one"
    );
    record.note(&line);
    println!("{line}");
    drop(sender);
    let _ = fs::remove_dir_all(&folder);
    exit(if all == 0 { 2 } else { i32::from(late > 0) });
}
