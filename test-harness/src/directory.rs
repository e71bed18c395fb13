//! A directory with a real queue: it serves asks one after another, fails those that waited too
//! long and works them off all the same. It takes notices at once, also while it is down.

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
/// What a watch or an ask that fell silent does not tell counts as told so long after that, whether
/// or not it arrives.
const SILENT: Duration = Duration::from_secs(6);
/// Between two looks at what a silent one does not tell.
const LOOK: Duration = Duration::from_millis(50);

#[derive(Default)]
struct State {
    rev: u64,
    targets: Vec<Value>,
    queue: VecDeque<Sender<()>>,
    watches: Vec<TcpStream>,
    ask: Duration,
    /// A notice that is taken is answered so much later.
    notice_answer_after: Duration,
    down: bool,
    /// Asks are answered 503, without waiting in the queue.
    busy: bool,
    /// After so long.
    refuses_after: Duration,
    /// Changes are told to nobody who watches.
    quiet: bool,
    /// Asks are taken and never answered.
    mute: bool,
    /// When all watches that were open last fell silent.
    fell_silent: Option<Instant>,
    /// Between the head of an answer and its list.
    list_after: Duration,
    /// When each sender was last answered.
    answered: BTreeMap<String, Instant>,
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
        let state = State {
            rev: 2,
            targets,
            ask,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            come: Condvar::new(),
            news: Condvar::new(),
            record,
        });
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
        state
            .targets
            .iter_mut()
            .filter(|t| t["uid"] == uid)
            .for_each(|t| t["state"] = condition.into());
        let (quiet, down) = (state.quiet, state.down);
        drop(state);
        if !down {
            self.shared.record.lists(uid, condition == "active");
        }
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

    /// All watches that are open say nothing more, not even that there is nothing, and stay open;
    /// asks are served or, with `asks`, taken and never answered, until [`Directory::speaks`].
    pub fn falls_silent(&self, asks: bool) {
        let mut state = self.shared.state();
        (state.fell_silent, state.mute) = (Some(Instant::now()), asks);
        drop(state);
        self.shared.news.notify_all();
    }

    /// Asks are answered again. Watches and asks that fell silent stay so.
    pub fn speaks(&self) {
        self.shared.state().mute = false;
    }

    /// Answers 503 to each ask, or serves them again.
    pub fn busy(&self, busy: bool) {
        self.shared.state().busy = busy;
    }

    /// Takes so long to refuse an ask while it is busy.
    pub fn refuses_after(&self, time: Duration) {
        self.shared.state().refuses_after = time;
    }

    /// Resets all watches.
    pub fn resets_watches(&self) {
        let watches = std::mem::take(&mut self.shared.state().watches);
        for watch in watches {
            let _ = watch.shutdown(Shutdown::Both);
        }
    }

    /// Writes the list of each answer so long after its head.
    pub fn lists_after(&self, head: Duration) {
        self.shared.state().list_after = head;
    }

    /// Answers notices so much later than it takes them.
    pub fn answers_notices_after(&self, time: Duration) {
        self.shared.state().notice_answer_after = time;
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
        }
        let is_changed = |uid: &str| state.changed.contains_key(uid);
        let changes: Vec<(String, bool)> = state
            .targets
            .iter()
            .filter_map(|t| Some((t["uid"].as_str()?.to_string(), t["state"] == "active")))
            .filter(|(uid, _)| is_changed(uid))
            .collect();
        drop(state);
        if down {
            self.resets_watches();
        } else {
            // What changed while nobody could ask counts from now on.
            for (uid, wants) in changes {
                self.shared.record.lists(&uid, wants);
            }
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
            let answer_after = shared.state().notice_answer_after;
            thread::sleep(answer_after);
            stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        } else {
            return watch(stream, &request, shared);
        }
    }
    Ok(())
}

/// Keeps a connection open and says nothing more on it. What it misses counts for its sender after
/// a while, until that is answered anew.
fn silent(
    stream: &TcpStream,
    shared: &Shared,
    name: &str,
    told: u64,
    since: Instant,
) -> io::Result<()> {
    thread::sleep((since + SILENT).saturating_duration_since(Instant::now()));
    loop {
        {
            let state = shared.state();
            if state.answered.get(name).is_some_and(|at| *at > since) {
                return stream.shutdown(Shutdown::Both);
            }
            let missed = state
                .targets
                .iter()
                .filter_map(|t| t["uid"].as_str().filter(|_| t["state"] != "active"));
            let missed = missed.filter(|u| state.changed.get(*u).is_some_and(|rev| *rev > told));
            shared.record.told_of(name, missed.map(|uid| (uid, false)));
        }
        thread::sleep(LOOK);
    }
}

fn watch(mut stream: &TcpStream, request: &Http, shared: &Shared) -> io::Result<()> {
    let (asker, served) = channel();
    let port = request
        .header("host")
        .and_then(|h| h.rsplit(':').next()?.parse::<u16>().ok());
    let name = {
        let mut state = shared.state();
        let name = port
            .and_then(|p| state.names.get(&p))
            .cloned()
            .unwrap_or_default();
        shared.record.asks(&name);
        if state.down {
            return stream.shutdown(Shutdown::Both);
        }
        shared.record.seen().asks += 1;
        if state.busy {
            let refuses_after = state.refuses_after;
            drop(state);
            shared.record.seen().failed += 1;
            thread::sleep(refuses_after);
            return stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        }
        if state.mute {
            drop(state);
            return silent(stream, shared, &name, 0, Instant::now());
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
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let list_after = shared.state().list_after;
    thread::sleep(list_after);
    let opened = Instant::now();
    let (mut told, targets) = {
        let mut state = shared.state();
        if state.down {
            return stream.shutdown(Shutdown::Both);
        }
        state.watches.push(stream.try_clone()?);
        state.answered.insert(name.clone(), opened);
        (state.rev, state.targets.clone())
    };
    let tell = |mut stream: &TcpStream, rev: u64, all: bool, targets: &[Value]| -> io::Result<()> {
        let line = format!("{}\n", json!({"rev": rev, "all": all, "targets": targets}));
        write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
        let wants = targets.iter().map(|t| {
            (
                t["uid"].as_str().unwrap_or_default(),
                t["state"] == "active",
            )
        });
        shared.record.told_of(&name, wants);
        Ok(())
    };
    tell(stream, told, true, &targets)?;
    shared.record.seen().told.push(Instant::now());
    loop {
        let (rev, targets) = {
            let state = shared.state();
            let is_silent = |s: &State| s.fell_silent.filter(|at| *at > opened);
            let same = |s: &mut State| (s.rev == told || s.quiet) && is_silent(s).is_none();
            let (state, _) = shared
                .news
                .wait_timeout_while(state, BEAT, same)
                .unwrap_or_else(|e| e.into_inner());
            if let Some(since) = is_silent(&state) {
                drop(state);
                return silent(stream, shared, &name, told, since);
            }
            let is_new =
                |t: &&Value| t["uid"].as_str().and_then(|u| state.changed.get(u)) > Some(&told);
            let new = if state.quiet {
                vec![]
            } else {
                state.targets.iter().filter(is_new).cloned().collect()
            };
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_silent_watch_or_ask_misses_counts_after_six_seconds_until_it_is_answered_anew() {
        let record = Arc::<Record>::default();
        let target = json!({"uid": "s0", "state": "active"});
        let directory =
            Directory::start(Duration::ZERO, vec![target], record.clone()).expect("a port");
        let ask = |port: u16, sender: &str| {
            directory.names(port, sender);
            let mut stream = TcpStream::connect(directory.address).expect("connected");
            write!(stream, "GET / HTTP/1.1\r\nHost: x:{port}\r\n\r\n").expect("asked");
            stream
        };
        let answered = |n: usize| {
            while record.seen().told.len() < n {
                thread::yield_now();
            }
        };
        let mut open = vec![ask(1, "watches"), ask(2, "asks again")];
        answered(2);
        directory.falls_silent(true);
        open.push(ask(3, "asks"));
        directory.change("s0", "leaving");
        let silent = Instant::now();
        let calls = || {
            for by in ["watches", "asks", "asks again"] {
                record.handed(by, by);
                record.called(by, "s0", None);
                record.ended(by, None, false);
            }
            record.seen().breaches().len()
        };
        thread::sleep(SILENT / 2);
        assert_eq!(calls(), 0, "it counts as told to nobody yet");
        directory.change("s0", "active");
        directory.speaks();
        open.push(ask(2, "asks again"));
        answered(3);
        directory.change("s0", "leaving");
        thread::sleep(
            (silent + SILENT + Duration::from_millis(1_200))
                .saturating_duration_since(Instant::now()),
        );
        assert_eq!(calls(), 3, "{:?}", record.seen().after_drain);
    }
}
