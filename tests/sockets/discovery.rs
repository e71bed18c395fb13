//! A stand-in for discovery and for the address that takes notices.

use crate::http::read_request;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct State {
    rev: u64,
    targets: Vec<Value>,
    watchers: Vec<Sender<String>>,
    /// Requests for a watch, by the version that they go on from.
    asked: Vec<u64>,
    /// Notices still to be turned away.
    deaf: usize,
    /// Open watches say nothing more, as when the machine is cut off.
    frozen: bool,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    pub notices: Receiver<Value>,
}

impl Discovery {
    pub fn start() -> Self {
        Discovery::start_from(1, Vec::new())
    }

    /// One that holds another one's list already, at a version of its own.
    pub fn start_from(rev: u64, targets: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            rev,
            targets,
            ..State::default()
        }));
        let (sender, notices) = channel();
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (state, sender) = (shared.clone(), sender.clone());
                thread::spawn(move || serve(stream, &state, &sender));
            }
        });
        Discovery {
            address,
            state,
            notices,
        }
    }

    /// The whole list, as a configuration holds it.
    pub fn whole(&self) -> Value {
        let state = self.state.lock().expect("a state");
        json!({"rev": state.rev, "all": true, "targets": state.targets})
    }

    /// Lists a provider, or changes its line.
    pub fn list(&self, uid: &str, address: SocketAddr, zone: &str, kind: &str, condition: &str) {
        self.list_started(uid, address, zone, kind, condition, 0);
    }

    /// The same with the Unix time in milliseconds at which it started.
    pub fn list_started(
        &self,
        uid: &str,
        address: SocketAddr,
        zone: &str,
        kind: &str,
        condition: &str,
        started_unix_ms: u64,
    ) {
        let target = json!({"uid": uid, "endpoint": address, "az": zone, "model": kind, "pod_group": 7,
            "state": condition, "capacity_hint": 50.0, "boot_ms": started_unix_ms});
        let mut state = self.state.lock().expect("a state");
        state.rev += 1;
        state.targets.retain(|t| t["uid"] != uid);
        state.targets.push(target.clone());
        let news = json!({"rev": state.rev, "all": false, "targets": [target]});
        state.say(&format!("{news}\n"));
    }

    /// Writes any line to those who watch.
    pub fn say(&self, line: &str) {
        self.state.lock().expect("a state").say(line);
    }

    /// Its version.
    pub fn rev(&self) -> u64 {
        self.state.lock().expect("a state").rev
    }

    /// The list, line by line.
    pub fn targets(&self) -> Vec<Value> {
        self.state.lock().expect("a state").targets.clone()
    }

    /// Ends all watches.
    pub fn hang_up(&self) {
        self.state.lock().expect("a state").watchers.clear();
    }

    /// The versions that watches were asked from.
    pub fn asked(&self) -> Vec<u64> {
        self.state.lock().expect("a state").asked.clone()
    }

    /// Leaves the watches that are open without a word, or ends that.
    pub fn freeze(&self, frozen: bool) {
        self.state.lock().expect("a state").frozen = frozen;
    }

    /// Turns so many requests with notices away before one is heard.
    pub fn be_deaf(&self, times: usize) {
        self.state.lock().expect("a state").deaf = times;
    }
}

impl State {
    fn say(&mut self, line: &str) {
        self.watchers.retain(|w| w.send(line.to_string()).is_ok());
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>, notices: &Sender<Value>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    let mut stream = stream;
    while let Some((head, body)) = read_request(&mut reader) {
        if head.starts_with("POST /v1/notices ") {
            let mut state = state.lock().expect("a state");
            if state.deaf > 0 {
                state.deaf -= 1;
                let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            for line in String::from_utf8_lossy(&body).lines() {
                let _ = notices.send(serde_json::from_str(line).expect("a notice in JSON"));
            }
        } else if head.starts_with("GET /discovery/hosts?follow=1&since=") {
            let since = head
                .split("since=")
                .nth(1)
                .and_then(|s| s.split(' ').next())
                .expect("a version");
            return watch(stream, since.parse().expect("a number"), state);
        } else {
            panic!("discovery was asked {head}");
        }
    }
}

fn watch(mut stream: TcpStream, since: u64, state: &Mutex<State>) {
    let (sender, lines) = channel();
    let first = {
        let mut state = state.lock().expect("a state");
        state.asked.push(since);
        state.watchers.push(sender);
        json!({"rev": state.rev, "all": true, "targets": state.targets})
    };
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut line = format!("{first}\n");
    loop {
        while state.lock().expect("a state").frozen {
            thread::sleep(Duration::from_millis(20));
        }
        // Cut in the middle: lines and chunks need not agree.
        let (a, b) = line.split_at(line.len() / 2);
        for part in [a, b].into_iter().filter(|p| !p.is_empty()) {
            if stream
                .write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes())
                .is_err()
            {
                return;
            }
        }
        line = match lines.recv_timeout(Duration::from_secs(2)) {
            Ok(line) => line,
            Err(std::sync::mpsc::RecvTimeoutError::Timeout) => "\n".into(),
            Err(_) => return,
        };
    }
}
