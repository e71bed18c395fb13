//! A directory with a real queue: it serves asks one after another, fails those that waited too long and works them off all the
//! same. It takes notices at once, also while it is down.

use crate::record::Record;
use crate::Http;
use serde_json::{json, Value};
use std::collections::VecDeque;
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
}

struct Shared {
    state: Mutex<State>,
    come: Condvar,
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
        let shared = Arc::new(Shared { state: Mutex::new(state), come: Condvar::new(), record });
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
            return watch(stream, shared);
        }
    }
    Ok(())
}

fn watch(mut stream: &TcpStream, shared: &Shared) -> io::Result<()> {
    let (asker, served) = channel();
    {
        let mut state = shared.state();
        if state.down {
            return stream.shutdown(Shutdown::Both);
        }
        shared.record.seen().asks += 1;
        state.queue.push_back(asker);
    }
    shared.come.notify_one();
    if let Err(why) = served.recv_timeout(FAILS) {
        shared.record.seen().failed += 1;
        if why == RecvTimeoutError::Disconnected {
            return stream.shutdown(Shutdown::Both);
        }
        return stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    }
    let list = {
        let mut state = shared.state();
        if state.down {
            return stream.shutdown(Shutdown::Both);
        }
        state.watches.push(stream.try_clone()?);
        json!({"rev": state.rev, "all": true, "targets": state.targets})
    };
    let line = format!("{list}\n");
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len())?;
    shared.record.seen().told.push(Instant::now());
    loop {
        thread::sleep(BEAT);
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}
