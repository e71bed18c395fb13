//! A directory with a real queue: it serves asks one after another, fails those that waited too long and works them off all the
//! same. It takes notices at once, also while it is down.

use crate::record::Record;
use crate::Http;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// An ask that waited so long fails.
const FAILS: Duration = Duration::from_secs(3);
/// A watch brings an empty line so often.
const BEAT: Duration = Duration::from_secs(2);

#[derive(Default)]
struct State {
    rev: u64,
    targets: Vec<Value>,
    queue: VecDeque<Sender<()>>,
    watches: Vec<TcpStream>,
    ask: Duration,
    down: bool,
    /// Asks are answered 503 at once.
    busy: bool,
    /// Changes are told to nobody who watches.
    quiet: bool,
    /// The version in which an endpoint's line changed, by its uid.
    changed: BTreeMap<String, u64>,
    /// Who comes over which line, by the port that it connects to.
    names: BTreeMap<u16, String>,
}

struct Shared {
    state: Mutex<State>,
    come: Condvar,
    news: Condvar,
    record: Arc<Record>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// The directory.
pub struct Directory {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Directory {
    /// One that tells these targets and needs `ask` for each ask.
    ///
    /// # Errors
    /// No port is to be had.
    pub fn start(ask: Duration, targets: Vec<Value>, record: Arc<Record>) -> io::Result<Directory> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { rev: 2, targets, ask, ..State::default() };
        let shared =
            Arc::new(Shared { state: Mutex::new(state), come: Condvar::new(), news: Condvar::new(), record });
        let (works, serves) = (shared.clone(), shared.clone());
        thread::spawn(move || work(&works));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = serves.clone();
                // A connection that breaks has ended, and that is all there is to say of it.
                thread::spawn(move || drop(serve(&stream, &shared)));
            }
        });
        Ok(Directory { address, shared })
    }

    /// Whoever connects to this port is this sender.
    pub fn names(&self, port: u16, sender: &str) {
        self.shared.state().names.insert(port, sender.to_string());
    }

    /// Changes an endpoint's state, and tells those who watch.
    pub fn change(&self, uid: &str, condition: &str) {
        let mut state = self.shared.state();
        state.rev += 1;
        let rev = state.rev;
        state.changed.insert(uid.to_string(), rev);
        state.targets.iter_mut().filter(|t| t["uid"] == uid).for_each(|t| t["state"] = condition.into());
        let quiet = state.quiet;
        drop(state);
        // What is told to nobody counts for nobody.
        if !quiet {
            self.shared.record.wants(uid, condition == "active");
        }
        self.shared.news.notify_all();
    }

    /// Tells nobody who watches of changes, or does again.
    pub fn quiet(&self, quiet: bool) {
        self.shared.state().quiet = quiet;
    }

    /// Answers 503 to each ask at once, or serves them again.
    pub fn busy(&self, busy: bool) {
        self.shared.state().busy = busy;
    }

    /// Needs so long for each ask from now on.
    pub fn takes(&self, ask: Duration) {
        self.shared.state().ask = ask;
    }

    /// Goes down, which ends all watches, or comes back.
    pub fn down(&self, down: bool) {
        let mut state = self.shared.state();
        state.down = down;
        if down {
            state.queue.clear();
            state.watches.drain(..).for_each(|w| drop(w.shutdown(Shutdown::Both)));
        }
    }
}

/// Works off asks, also those that nobody waits for any more.
fn work(shared: &Shared) {
    loop {
        let (asker, ask) = {
            let mut state = shared.state();
            loop {
                if let Some(asker) = state.queue.pop_front() {
                    break (asker, state.ask);
                }
                state = shared.come.wait(state).unwrap_or_else(|e| e.into_inner());
            }
        };
        thread::sleep(ask);
        let _ = asker.send(());
    }
}

fn serve(mut stream: &TcpStream, shared: &Shared) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some((request, body)) = Http::read(&mut reader)? {
        if request.first.starts_with("POST ") {
            for line in body.lines() {
                let notice: Value = serde_json::from_str(line).map_err(io::Error::other)?;
                let text = |field: &str| notice[field].as_str().unwrap_or_default();
                shared.record.told(text("id"), text("status"));
            }
            stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        } else {
            return watch(stream, &request, shared);
        }
    }
    Ok(())
}

fn watch(mut stream: &TcpStream, request: &Http, shared: &Shared) -> io::Result<()> {
    let (asker, served) = channel();
    let port = request.header("host").and_then(|h| h.rsplit(':').next()?.parse::<u16>().ok());
    let name = {
        let mut state = shared.state();
        let name = port.and_then(|p| state.names.get(&p)).cloned().unwrap_or_default();
        shared.record.asks(&name);
        if state.down {
            return stream.shutdown(Shutdown::Both);
        }
        shared.record.seen().asks += 1;
        if state.busy {
            shared.record.seen().failed += 1;
            return stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        }
        state.queue.push_back(asker);
        name
    };
    shared.come.notify_one();
    if let Err(why) = served.recv_timeout(FAILS) {
        shared.record.seen().failed += 1;
        if why == RecvTimeoutError::Disconnected {
            return stream.shutdown(Shutdown::Both);
        }
        return stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    }
    let (mut told, targets) = {
        let mut state = shared.state();
        if state.down {
            return stream.shutdown(Shutdown::Both);
        }
        state.watches.push(stream.try_clone()?);
        (state.rev, state.targets.clone())
    };
    let tell = |mut stream: &TcpStream, rev: u64, all: bool, targets: &[Value]| -> io::Result<()> {
        let line = format!("{}\n", json!({"rev": rev, "all": all, "targets": targets}));
        write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
        let wants = targets.iter().map(|t| (t["uid"].as_str().unwrap_or_default(), t["state"] == "active"));
        shared.record.told_of(&name, wants);
        Ok(())
    };
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    tell(stream, told, true, &targets)?;
    shared.record.seen().told.push(Instant::now());
    loop {
        let (rev, targets) = {
            let state = shared.state();
            let same = |s: &mut State| s.rev == told || s.quiet;
            let (state, _) =
                shared.news.wait_timeout_while(state, BEAT, same).unwrap_or_else(|e| e.into_inner());
            let is_new = |t: &&Value| t["uid"].as_str().and_then(|u| state.changed.get(u)) > Some(&told);
            let new =
                if state.quiet { vec![] } else { state.targets.iter().filter(is_new).cloned().collect() };
            (state.rev, new)
        };
        if targets.is_empty() {
            stream.write_all(b"1\r\n\n\r\n")?;
        } else {
            tell(stream, rev, false, &targets)?;
            told = rev;
        }
    }
}
