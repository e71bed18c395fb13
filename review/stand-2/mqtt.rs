//! A client that speaks MQTT 5: hands messages in at QoS 1, and acknowledges final answers.

use crate::record::say;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A final answer, or the acknowledgement of a message that was handed in.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The message's id; of an acknowledgement the packet id.
    pub what: String,
    /// `delivered` and the like; of an acknowledgement its reason code.
    pub status: String,
}

#[derive(Default)]
struct State {
    acks: Vec<Heard>,
    answers: Vec<Heard>,
}

/// One connection of a client.
pub struct Client {
    name: String,
    stream: Arc<Mutex<TcpStream>>,
    state: Arc<Mutex<State>>,
    next: AtomicU16,
}

fn text(into: &mut Vec<u8>, value: &str) {
    into.extend((value.len() as u16).to_be_bytes());
    into.extend(value.as_bytes());
}

fn packet(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    let mut left = body.len();
    loop {
        let digit = (left % 128) as u8;
        left /= 128;
        bytes.push(if left > 0 { digit | 0x80 } else { digit });
        if left == 0 {
            break;
        }
    }
    bytes.extend(body);
    bytes
}

fn with_length(properties: &[u8]) -> Vec<u8> {
    packet(0, properties)[1..].to_vec()
}

fn read_packet(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut byte = [0];
    stream.read_exact(&mut byte)?;
    let kind = byte[0];
    let (mut length, mut shift) = (0usize, 0);
    loop {
        stream.read_exact(&mut byte)?;
        length |= usize::from(byte[0] & 0x7f) << shift;
        shift += 7;
        if byte[0] & 0x80 == 0 {
            break;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok((kind, body))
}

/// Reads the fields of a PUBLISH: its packet id, and its user properties.
fn read_publish(kind: u8, body: &[u8]) -> Option<(Option<u16>, Vec<(String, String)>)> {
    let take16 = |at: usize| Some(u16::from_be_bytes([*body.get(at)?, *body.get(at + 1)?]));
    let mut at = 2 + usize::from(take16(0)?);
    let mut id = None;
    if kind & 0x06 != 0 {
        id = take16(at);
        at += 2;
    }
    let (mut length, mut shift) = (0usize, 0);
    loop {
        let byte = *body.get(at)?;
        at += 1;
        length |= usize::from(byte & 0x7f) << shift;
        shift += 7;
        if byte & 0x80 == 0 {
            break;
        }
    }
    let end = at + length;
    let mut users = Vec::new();
    while at < end {
        let property = body[at];
        at += 1;
        let string = |at: &mut usize| {
            let length = usize::from(take16(*at)?);
            let bytes = body.get(*at + 2..*at + 2 + length)?;
            *at += 2 + length;
            Some(String::from_utf8_lossy(bytes).into_owned())
        };
        match property {
            0x26 => users.push((string(&mut at)?, string(&mut at)?)),
            0x03 | 0x08 | 0x09 => drop(string(&mut at)?),
            0x02 => at += 4,
            0x23 => at += 2,
            0x01 => at += 1,
            _ => return None,
        }
    }
    Some((id, users))
}

impl Client {
    /// Connects with a clean start, and pings within its keep-alive.
    pub fn connect(name: &str, at: SocketAddr, keep_alive_s: u16) -> Result<Client, String> {
        let fails = |e: io::Error| format!("client {name}: {e}");
        let mut stream = TcpStream::connect(at).map_err(fails)?;
        let _ = stream.set_nodelay(true);
        let mut body = Vec::new();
        text(&mut body, "MQTT");
        body.extend([5, 0x02]);
        body.extend(keep_alive_s.to_be_bytes());
        body.push(0);
        text(&mut body, name);
        stream.write_all(&packet(0x10, &body)).map_err(fails)?;
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let (kind, ack) = read_packet(&mut stream).map_err(fails)?;
        if kind != 0x20 || ack.get(1) != Some(&0) {
            return Err(format!("client {name}: not let in: {ack:?}"));
        }
        let _ = stream.set_read_timeout(None);
        say(&format!("client {name}: connected, keep-alive {keep_alive_s} s"));
        let mut reading = stream.try_clone().map_err(fails)?;
        let client = Client {
            name: name.to_string(),
            stream: Arc::new(Mutex::new(stream)),
            state: Arc::default(),
            next: AtomicU16::new(1),
        };
        let state = client.state.clone();
        let (writing, called) = (client.stream.clone(), name.to_string());
        std::thread::spawn(move || {
            while let Ok((kind, body)) = read_packet(&mut reading) {
                take(&called, kind, &body, &state, &writing);
            }
            say(&format!("client {called}: its connection has ended"));
        });
        let writing = client.stream.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(u64::from(keep_alive_s) * 500));
            let Ok(mut stream) = writing.lock() else { return };
            if stream.write_all(&[0xc0, 0]).is_err() {
                return;
            }
        });
        Ok(client)
    }

    fn send(&self, bytes: &[u8]) -> Result<(), String> {
        let mut stream = self.stream.lock().map_err(|e| e.to_string())?;
        stream.write_all(bytes).map_err(|e| format!("client {}: {e}", self.name))
    }

    /// Subscribes at QoS 1.
    pub fn subscribe(&self, filter: &str) -> Result<(), String> {
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        let mut body = id.to_be_bytes().to_vec();
        body.push(0);
        text(&mut body, filter);
        body.push(1);
        self.send(&packet(0x82, &body))?;
        say(&format!("client {}: subscribes to {filter}", self.name));
        self.heard(|s| s.acks.iter().find(|a| a.what == format!("sub {id}")).cloned(), 5.0)
            .map(drop)
            .ok_or(format!("client {}: no SUBACK", self.name))
    }

    /// Hands a message in; gives the reason code of its acknowledgement, or nothing in time.
    pub fn hand_in(&self, topic: &str, id: &str, answers_to: &str) -> Result<Option<String>, String> {
        let pid = self.next.fetch_add(1, Ordering::SeqCst);
        let mut body = Vec::new();
        text(&mut body, topic);
        body.extend(pid.to_be_bytes());
        let mut properties = vec![0x08];
        text(&mut properties, answers_to);
        for (field, value) in [("id", id.to_string()), ("key", format!("key-{id}"))] {
            properties.push(0x26);
            text(&mut properties, field);
            text(&mut properties, &value);
        }
        body.extend(with_length(&properties));
        body.extend(b"an event");
        self.send(&packet(0x32, &body))?;
        let ack = self.heard(|s| s.acks.iter().find(|a| a.what == format!("pub {pid}")).cloned(), 2.0);
        let status = ack.map(|a| a.status);
        say(&format!("client {}: hands {id} in to {topic}: PUBACK {status:?}", self.name));
        Ok(status)
    }

    fn heard<T>(&self, look: impl Fn(&State) -> Option<T>, seconds: f64) -> Option<T> {
        let by = Instant::now() + Duration::from_secs_f64(seconds);
        loop {
            if let Some(found) = self.state.lock().ok().and_then(|s| look(&s)) {
                return Some(found);
            }
            if Instant::now() >= by {
                return None;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The final answers that it has heard.
    pub fn answers(&self) -> Vec<Heard> {
        self.state.lock().map(|s| s.answers.clone()).unwrap_or_default()
    }
}

fn take(name: &str, kind: u8, body: &[u8], state: &Mutex<State>, writing: &Mutex<TcpStream>) {
    let id = |at: usize| body.get(at..at + 2).map_or(0, |b| u16::from_be_bytes([b[0], b[1]]));
    let Ok(mut state) = state.lock() else { return };
    match kind >> 4 {
        4 => {
            let reason = body.get(2).copied().unwrap_or(0);
            let (what, status) = (format!("pub {}", id(0)), format!("{reason:#04x}"));
            state.acks.push(Heard { what, status });
        }
        9 => {
            let what = format!("sub {}", id(0));
            state.acks.push(Heard { what, status: String::new() });
        }
        3 => {
            let Some((pid, users)) = read_publish(kind, body) else {
                return say(&format!("client {name}: a PUBLISH that cannot be read"));
            };
            let user = |name: &str| {
                let found = users.iter().find(|(n, _)| n == name);
                found.map_or(String::new(), |(_, v)| v.clone())
            };
            let answer = Heard { what: user("id"), status: user("status") };
            say(&format!("client {name}: final answer for {}: {}", answer.what, answer.status));
            state.answers.push(answer);
            if let (Some(pid), Ok(mut stream)) = (pid, writing.lock()) {
                let _ = stream.write_all(&packet(0x40, &pid.to_be_bytes()));
            }
        }
        _ => {}
    }
}
