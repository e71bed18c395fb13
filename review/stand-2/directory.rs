//! Discovery of the platform: the list, watches on it, and notices; and a client of the platform.

use crate::record::say;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// An endpoint as it is listed.
#[derive(Clone, Debug)]
pub struct Listed {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub dest: u16,
    pub state: &'static str,
    pub rate: f64,
    pub boot_ms: u64,
}

impl Listed {
    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":{},\"boot_ms\":{}}}",
            self.uid, self.address, self.zone, self.kind, self.dest, self.state, self.rate, self.boot_ms
        )
    }
}

#[derive(Default)]
struct State {
    rev: u64,
    /// All changes, each with its version.
    changes: Vec<(u64, Listed)>,
}

impl State {
    /// The entries as they are after all changes.
    fn whole(&self) -> Vec<Listed> {
        let mut list: Vec<Listed> = Vec::new();
        for (_, change) in &self.changes {
            list.retain(|l| l.uid != change.uid);
            if change.state != "left" {
                list.push(change.clone());
            }
        }
        list
    }
}

pub struct Directory {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn object(rev: u64, all: bool, entries: &[Listed]) -> String {
    let entries: Vec<String> = entries.iter().map(Listed::json).collect();
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}\n", entries.join(","))
}

impl Directory {
    pub fn start(list: Vec<Listed>) -> Result<Directory, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let changes = list.into_iter().map(|l| (1, l)).collect();
        let shared = Arc::new((Mutex::new(State { rev: 1, changes, ..State::default() }), Condvar::new()));
        let served = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = served.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(Directory { address, shared })
    }

    /// The whole list, as the configuration has it.
    pub fn known(&self) -> String {
        self.shared.0.lock().map(|s| object(s.rev, true, &s.whole())).unwrap_or_default()
    }

    /// Tells a change to all that watch.
    pub fn change(&self, entry: Listed) {
        if let Ok(mut state) = self.shared.0.lock() {
            state.rev += 1;
            say(&format!("discovery: version {} tells {} {}", state.rev, entry.uid, entry.state));
            let rev = state.rev;
            state.changes.push((rev, entry));
        }
        self.shared.1.notify_all();
    }
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn serve(stream: TcpStream, shared: &(Mutex<State>, Condvar)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    loop {
        let Some((line, body)) = read_request(&mut reader) else { return };
        if line.starts_with("POST /v1/notices") {
            body.lines().for_each(|notice| say(&format!("notice: {notice}")));
            if writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        let since = line.split_once("since=").and_then(|(_, rest)| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        });
        let _ = watch(&mut writer, since.unwrap_or(0), shared);
        return;
    }
}

/// Answers a watch, until its connection ends.
fn watch(writer: &mut TcpStream, since: u64, shared: &(Mutex<State>, Condvar)) -> std::io::Result<()> {
    writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut told = since;
    let mut first = true;
    loop {
        let text = {
            let Ok(state) = shared.0.lock() else { return Ok(()) };
            let state = if !first && state.rev == told {
                match shared.1.wait_timeout(state, Duration::from_secs(2)) {
                    Ok((state, _)) => state,
                    Err(_) => return Ok(()),
                }
            } else {
                state
            };
            // A version that it does not know yet: it is behind what the asker was told.
            let text = if first && (since == 0 || since > state.rev) {
                object(state.rev, true, &state.whole())
            } else if first || state.rev > told {
                let news: Vec<Listed> = state.changes.iter().filter(|(rev, _)| *rev > told).map(|(_, l)| l.clone()).collect();
                object(state.rev, false, &news)
            } else {
                "\n".to_string()
            };
            told = state.rev;
            text
        };
        first = false;
        writer.write_all(&chunk(&text))?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let (mut first, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if first.is_empty() {
            first = line.to_string();
        }
        if let Some((field, value)) = line.split_once(':') {
            if field.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, String::from_utf8_lossy(&body).into_owned()))
}

/// A client of the platform's protocol, on a connection that it keeps.
pub struct Client {
    at: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(at: SocketAddr) -> Client {
        Client { at, stream: None }
    }

    /// Hands a message in; gives the status of the answer, 0 where there is none in 400 ms. A
    /// connection that was closed while it rested is opened anew once.
    pub fn hand_in(&mut self, class: &str, dest: u16, id: &str, remaining_ms: u64) -> u16 {
        let request = format!(
            "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Remaining: {remaining_ms}m\r\nIdempotency-Key: key-{id}\r\nX-Addressing: dest={dest}\r\nContent-Length: 8\r\n\r\nan event"
        );
        for _ in 0..2 {
            let was_kept = self.stream.is_some();
            match self.ask(&request) {
                Some(status) => {
                    say(&format!("client: {id} for {dest}, answered {status}"));
                    return status;
                }
                None => self.stream = None,
            }
            if !was_kept {
                break;
            }
        }
        say(&format!("client: {id} for {dest}, not answered"));
        0
    }

    fn ask(&mut self, request: &str) -> Option<u16> {
        if self.stream.is_none() {
            let stream = TcpStream::connect(self.at).ok()?;
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut()?;
        reader.get_mut().write_all(request.as_bytes()).ok()?;
        let (mut status, mut ends) = (0, false);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if status == 0 {
                status = line.split(' ').nth(1)?.parse().ok()?;
            }
            ends |= line.eq_ignore_ascii_case("connection: close");
        }
        if ends {
            self.stream = None;
        }
        Some(status)
    }
}
