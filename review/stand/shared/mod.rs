//! What the stand-ins of all cases share: the record, the sender's process, the words of an MQTT 5
//! client, and the head of an HTTP request.
#![allow(dead_code)]

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

pub struct Record {
    pub start: Instant,
    pub lines: Mutex<File>,
}

impl Record {
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.lines.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn free_port() -> SocketAddr {
    let port = TcpListener::bind("127.0.0.1:0").expect("a free port");
    port.local_addr().expect("its address")
}

pub struct Sender(pub Child);

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Sender {
    /// Starts the program as the deploy file says, with an operator's file, and waits until it
    /// listens; nothing where it does not.
    pub fn start(root: &str, folder: &Path, file: &Path, listen: SocketAddr) -> Option<Sender> {
        let log = File::create(folder.join("log")).expect("a log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("exec target/release/raildeal {}", file.display()))
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("cloned"))
            .stderr(log)
            .spawn()
            .expect("a shell");
        let mut sender = Sender(child);
        for _ in 0..500 {
            thread::sleep(Duration::from_millis(20));
            if TcpStream::connect(listen).is_ok() {
                return Some(sender);
            }
            if sender.ended().is_some() {
                return None;
            }
        }
        None
    }

    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.0.try_wait().ok().flatten().map(|s| s.to_string())
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.0.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(kill).status();
    }
}

/// One HTTP request: its head, as text. Its body is read and dropped. Nothing at the end.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut more = |buffer: &mut Vec<u8>| {
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(n @ 1..) => {
                buffer.extend_from_slice(&chunk[..n]);
                Some(())
            }
            _ => None,
        }
    };
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        more(buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).to_string();
    let length: usize = header(&head, "content-length").map_or(0, |v| v.parse().unwrap_or(0));
    while buffer.len() < end + length {
        more(buffer)?;
    }
    buffer.drain(..end + length);
    Some(head)
}

/// The value of a header.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|l| {
        let (n, v) = l.split_once(':')?;
        n.eq_ignore_ascii_case(name).then(|| v.trim().to_string())
    })
}

pub fn number(mut n: usize) -> Vec<u8> {
    let mut out = Vec::new();
    loop {
        let byte = (n % 128) as u8;
        n /= 128;
        out.push(if n > 0 { byte | 128 } else { byte });
        if n == 0 {
            return out;
        }
    }
}

pub fn text(t: &str) -> Vec<u8> {
    [&(t.len() as u16).to_be_bytes()[..], t.as_bytes()].concat()
}

pub fn packet(first: u8, rest: &[u8]) -> Vec<u8> {
    [&[first][..], &number(rest.len()), rest].concat()
}

pub fn connect(name: &str, keep_alive: u16) -> Vec<u8> {
    let mut rest = [text("MQTT"), vec![5, 2]].concat();
    rest.extend(keep_alive.to_be_bytes());
    rest.push(0);
    rest.extend(text(name));
    packet(0x10, &rest)
}

pub fn subscribe(topic: &str) -> Vec<u8> {
    let rest = [vec![0, 1, 0], text(topic), vec![1]].concat();
    packet(0x82, &rest)
}

pub fn publish(id: &str, dest: u16, pid: u16, time: u64, topic: &str) -> Vec<u8> {
    let mut properties = vec![2];
    properties.extend((time as u32).to_be_bytes());
    properties.push(8);
    properties.extend(text(topic));
    properties.push(9);
    properties.extend(text(id));
    for (name, value) in [("id", id), ("key", id)] {
        properties.push(0x26);
        properties.extend(text(name));
        properties.extend(text(value));
    }
    let mut rest = text(&format!("portal-event/{dest}"));
    rest.extend(pid.to_be_bytes());
    rest.extend(number(properties.len()));
    rest.extend(properties);
    rest.extend(b"an event");
    packet(0x32, &rest)
}

pub fn read_packet(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let (mut byte, mut len, mut shift) = ([0], 0, 0);
    stream.read_exact(&mut byte)?;
    let first = byte[0];
    loop {
        stream.read_exact(&mut byte)?;
        len |= usize::from(byte[0] & 127) << shift;
        shift += 7;
        if byte[0] < 128 {
            break;
        }
    }
    let mut rest = vec![0; len];
    stream.read_exact(&mut rest)?;
    Ok((first, rest))
}

/// Packet id, id and status of a final answer.
pub fn answer(first: u8, rest: &[u8]) -> Option<(Option<u16>, String, String)> {
    let u16_at = |at: usize| Some(u16::from_be_bytes([*rest.get(at)?, *rest.get(at + 1)?]));
    let mut at = 2 + usize::from(u16_at(0)?);
    let pid = if first & 6 == 0 {
        None
    } else {
        at += 2;
        u16_at(at - 2)
    };
    let (mut len, mut shift) = (0, 0);
    loop {
        let byte = *rest.get(at)?;
        at += 1;
        len |= usize::from(byte & 127) << shift;
        shift += 7;
        if byte < 128 {
            break;
        }
    }
    let end = at + len;
    let (mut id, mut status) = (String::new(), String::new());
    let string = |at: &mut usize| -> Option<String> {
        let n = usize::from(u16_at(*at)?);
        let s = String::from_utf8_lossy(rest.get(*at + 2..*at + 2 + n)?).to_string();
        *at += 2 + n;
        Some(s)
    };
    while at < end {
        let kind = rest[at];
        at += 1;
        match kind {
            0x26 => {
                let (name, value) = (string(&mut at)?, string(&mut at)?);
                match name.as_str() {
                    "id" => id = value,
                    "status" => status = value,
                    _ => {}
                }
            }
            9 | 8 | 3 => drop(string(&mut at)?),
            2 => at += 4,
            1 => at += 1,
            0x23 => at += 2,
            _ => return None,
        }
    }
    Some((pid, id, status))
}
