//! Clients that keep their connections, and use them for as long as they stay open.

use super::Plan;
use crate::record::Record;
use crate::sender::{Log, ANSWER, CLASS};
use crate::stage::DESTS;
use crate::Http;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longest rest of a client between two messages.
const MAX_REST: Duration = Duration::from_millis(400);
/// A client that finds nobody looks again after this time.
const LOOK: Duration = Duration::from_millis(20);

/// A message that was handed in.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    pub id: String,
    /// Number of the process.
    pub process: usize,
    /// When its client began to send it, from when its time counts.
    pub sent_at: Instant,
    /// When its client had an answer, or gave it up.
    pub ended_at: Instant,
    /// It was written whole to a new connection, and that ended without an answer.
    pub is_unanswered: bool,
}

/// What came of a request.
enum Answered {
    /// The status, and whether the connection may be used again.
    Status { accepted: bool, keeps: bool },
    /// Nothing came in a client's time.
    Nothing,
    /// The connection ended; whether the request had been written whole.
    Ended { was_written: bool },
}

/// All of them.
pub(super) struct Clients {
    stop: Arc<AtomicBool>,
    /// Where each process says that it listens.
    logs: Vec<Arc<Mutex<Arc<Log>>>>,
    threads: Vec<JoinHandle<Vec<Submission>>>,
}

impl Clients {
    pub fn start(
        processes: impl Iterator<Item = (String, Arc<Log>)>,
        plan: &Plan,
        time_left: Duration,
        record: Arc<Record>,
    ) -> Clients {
        let mut clients = Clients {
            stop: Arc::default(),
            logs: Vec::new(),
            threads: Vec::new(),
        };
        for (process, (name, log)) in processes.enumerate() {
            let log = Arc::new(Mutex::new(log));
            clients.logs.push(log.clone());
            for n in 0..plan.clients {
                let client = Client {
                    process,
                    sender: name.clone(),
                    name: format!("m{process}-{n}"),
                    log: log.clone(),
                    time_left,
                    record: record.clone(),
                    random: fastrand::Rng::with_seed(plan.seed ^ (process << 8 | n) as u64),
                    kept: None,
                };
                let stop = clients.stop.clone();
                clients
                    .threads
                    .push(thread::spawn(move || client.run(&stop)));
            }
        }
        clients
    }

    /// A process logs there from now on.
    pub fn listens(&self, process: usize, log: Arc<Log>) {
        *self.logs[process].lock().unwrap_or_else(|e| e.into_inner()) = log;
    }

    /// Ends them, and gives all that they handed in.
    pub fn stop(self) -> Vec<Submission> {
        self.stop.store(true, Ordering::SeqCst);
        let handed_in = self
            .threads
            .into_iter()
            .map(|t| t.join().unwrap_or_default());
        handed_in.flatten().collect()
    }
}

struct Client {
    process: usize,
    sender: String,
    name: String,
    log: Arc<Mutex<Arc<Log>>>,
    time_left: Duration,
    record: Arc<Record>,
    random: fastrand::Rng,
    kept: Option<TcpStream>,
}

impl Client {
    fn run(mut self, stop: &AtomicBool) -> Vec<Submission> {
        let mut handed_in = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(MAX_REST.mul_f64(self.random.f64()));
            let id = format!("{}-{}", self.name, handed_in.len());
            match self.hand_in(id) {
                Some(submission) => handed_in.push(submission),
                None => thread::sleep(LOOK),
            }
        }
        handed_in
    }

    /// Hands a message in over the connection that is kept, or a new one. Nothing where nobody
    /// listens.
    fn hand_in(&mut self, id: String) -> Option<Submission> {
        let was_kept = self.kept.is_some();
        let mut stream = match self.kept.take() {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let sent_at = Instant::now();
        self.record.handed(&id, &self.sender);
        let mut answered = self.ask(&mut stream, &id, self.time_left);
        let mut is_new = !was_kept;
        if was_kept && matches!(answered, Answered::Ended { .. }) {
            // The end of a resting connection crossed the request: it goes once more, over a new
            // one.
            if let Some(new) = self.connect() {
                stream = new;
                is_new = true;
                let time_left = self.time_left.saturating_sub(sent_at.elapsed());
                answered = self.ask(&mut stream, &id, time_left);
            }
        }
        if let Answered::Status { accepted, keeps } = answered {
            self.record.answered(&id, accepted);
            self.kept = Some(stream).filter(|_| keeps);
        }
        Some(Submission {
            id,
            process: self.process,
            sent_at,
            ended_at: Instant::now(),
            is_unanswered: is_new && matches!(answered, Answered::Ended { was_written: true }),
        })
    }

    fn connect(&self) -> Option<TcpStream> {
        let log = self.log.lock().unwrap_or_else(|e| e.into_inner()).clone();
        TcpStream::connect(log.address()?).ok()
    }

    fn ask(&mut self, stream: &mut TcpStream, id: &str, time_left: Duration) -> Answered {
        let request = format!(
            "POST /{CLASS} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: {CLASS}\r\n\
             X-Remaining: {}m\r\nIdempotency-Key: key-of-{id}\r\nContent-Length: 2\r\n\
             X-Addressing: dest={}\r\n\r\nhi",
            time_left.as_millis(),
            self.random.usize(..DESTS)
        );
        let _ = stream.set_read_timeout(Some(ANSWER));
        if stream.write_all(request.as_bytes()).is_err() {
            return Answered::Ended { was_written: false };
        }
        match Http::read(&mut BufReader::new(&*stream)) {
            Ok(Some((answer, _))) => Answered::Status {
                accepted: answer.first.contains(" 202") || answer.first.contains(" 200"),
                keeps: answer.header("connection") != Some("close"),
            },
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                Answered::Nothing
            }
            Ok(None) | Err(_) => Answered::Ended { was_written: true },
        }
    }
}
