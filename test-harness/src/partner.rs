//! Endpoints of partners: each takes calls over kept connections and answers after a while, as much
//! as it bears.

use crate::limits::{Death, Does, Limit, Peak, Terms};
use crate::port::Port;
use crate::record::{is_open, Record};
use crate::relay::Relay;
use crate::rules::STAMP;
use crate::Http;
use rustix::net::sockopt::set_socket_linger;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Between two looks at whether a caller that gets no answer has hung up.
const LOOK: Duration = Duration::from_millis(20);

/// How an endpoint answers the calls that it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// After the time that a call takes.
    #[default]
    Prompt,
    /// Within this before the time that its caller waits is over, or as much after it.
    AtTheEnd(Duration),
    /// With one answer after another that only announces another one, from the middle of the time
    /// that its caller waits.
    Announcing,
}

/// Between two answers that only announce another one.
const ANNOUNCES_EVERY: Duration = Duration::from_millis(250);

struct State {
    limit: Limit,
    manner: Manner,
    /// Connections that are open.
    open: Vec<Arc<TcpStream>>,
    /// Counts its deaths and returns: who waited for an answer across one gets none.
    life: u64,
    came: u32,
    turned_away: u32,
}

struct Shared {
    uid: String,
    takes: Duration,
    terms: Terms,
    port: Port,
    record: Arc<Record>,
    state: Mutex<State>,
    /// The line that leads here, which is listened at as long as this is.
    line: OnceLock<Arc<Relay>>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Shuts or opens the port by whether it can be connected to.
    fn settle(&self) -> io::Result<()> {
        let mut state = self.state();
        state.life += 1;
        let gone = state.limit.death(Instant::now()) == Some(Death::Unconnected);
        if gone {
            state.open.drain(..).for_each(|c| reset(&c));
        }
        // Under the lock: the ports are as the last change says.
        self.line.get().into_iter().for_each(|line| line.away(gone));
        self.port.set(!gone)
    }
}

/// Lets a connection be reset as soon as nobody holds it any more, and wakes who reads.
fn reset(connection: &TcpStream) {
    // One that is closed already is as good as reset.
    let _ = set_socket_linger(connection, Some(Duration::ZERO));
    let _ = connection.shutdown(Shutdown::Read);
}

/// An endpoint.
#[derive(Clone)]
pub struct Partner(Arc<Shared>);

impl Partner {
    /// Starts one, known by `uid`, that needs `takes` for each call and bears what the terms say.
    ///
    /// # Errors
    /// No port is to be had.
    pub fn start(
        uid: &str,
        takes: Duration,
        terms: Terms,
        record: Arc<Record>,
    ) -> io::Result<Partner> {
        let state = State {
            limit: Limit::new(terms),
            manner: Manner::default(),
            open: Vec::new(),
            life: 0,
            came: 0,
            turned_away: 0,
        };
        let port = Port::open()?;
        let (uid, state, line) = (uid.to_string(), Mutex::new(state), OnceLock::new());
        let shared = Arc::new(Shared {
            uid,
            takes,
            terms,
            port,
            record,
            state,
            line,
        });
        let partner = Partner(shared.clone());
        thread::spawn(move || loop {
            let stream = Arc::new(shared.port.accept());
            let here = {
                let mut state = shared.state();
                state.open.push(stream.clone());
                if state.limit.death(Instant::now()) == Some(Death::Unconnected) {
                    // Accepted as it went away, which cut off only what was known by then.
                    reset(&stream);
                }
                state.open.len() as u32
            };
            shared.record.connected(here);
            let shared = shared.clone();
            thread::spawn(move || {
                // A connection that breaks has ended, and that is all there is to say of it.
                let _ = serve(&stream, &shared);
                shared.state().open.retain(|c| !Arc::ptr_eq(c, &stream));
                shared.record.disconnected();
            });
        });
        Ok(partner)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.port.address
    }

    /// A line on which it is reached; the first one that is asked for, from then on.
    ///
    /// # Errors
    /// No port is to be had.
    pub fn line(&self) -> io::Result<Arc<Relay>> {
        let line = Arc::new(Relay::start(self.address())?);
        Ok(self.0.line.get_or_init(|| line).clone())
    }

    /// It dies, or dies otherwise than before.
    ///
    /// # Errors
    /// The port cannot be shut or opened.
    pub fn dies(&self, death: Death) -> io::Result<()> {
        self.0.state().limit.dies(death);
        self.0.settle()
    }

    /// It answers in this manner from now on.
    pub fn answers(&self, manner: Manner) {
        self.0.state().manner = manner;
    }

    /// It lives again.
    ///
    /// # Errors
    /// The port cannot be opened.
    pub fn lives(&self) -> io::Result<()> {
        self.0.state().limit.lives(Instant::now());
        self.0.settle()
    }

    /// Calls that came, and those of them that were turned away.
    pub fn came(&self) -> (u32, u32) {
        let state = self.0.state();
        (state.came, state.turned_away)
    }

    /// The most calls of a window that ever came while it was cold.
    pub fn peak(&self) -> Peak {
        self.0.state().limit.peak()
    }

    /// Part of its rate that it bears now.
    pub fn warmth(&self) -> f64 {
        self.0.state().limit.warmth(Instant::now())
    }
}

fn serve(over: &Arc<TcpStream>, shared: &Arc<Shared>) -> io::Result<()> {
    let mut stream = over.as_ref();
    let mut reader = BufReader::new(stream);
    while let Some((call, _)) = Http::read(&mut reader)? {
        let Some(id) = call.header("x-txn").map(str::to_string) else {
            // No call names no message. Plays beside this one have ports too, and one that is given
            // up there may be taken here.
            eprintln!(
                "{} at {}: no call: {:?}",
                shared.uid, shared.port.address, call.first
            );
            return stream.write_all(
                b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            );
        };
        shared.record.called(&id, &shared.uid, Some(over));
        let fails = shared.record.stamped(&id, call.header(STAMP));
        let (mut does, life, manner) = {
            let mut state = shared.state();
            let does = state.limit.comes(Instant::now());
            state.came += 1;
            state.turned_away += u32::from(matches!(does, Does::Full(_)));
            (does, state.life, state.manner)
        };
        if fails && matches!(does, Does::Takes(_)) {
            does = Does::Errs;
        }
        let takes = matches!(does, Does::Takes(_));
        if takes {
            shared.record.ran(&id, &shared.uid);
        }
        if takes {
            thread::sleep(more_time(manner, &call));
        }
        if takes && manner == Manner::Announcing {
            // It ends when the caller hangs up, who cannot know whether it has run.
            announce(over);
            shared.record.ended(&id, Some(over), false);
            return Ok(());
        }
        let said = says(does, life, over, shared);
        if !takes {
            // Who is turned away may call elsewhere before this thread goes on: it is out no more
            // before it hears so.
            shared.record.ended(&id, Some(over), false);
        }
        let answered_at = Instant::now();
        // An answer to one who has hung up delivers nothing, though it can be written.
        let heard = is_open(over);
        let answered = match &said {
            Some(answer) => stream.write_all(answer.as_bytes()),
            None => Err(io::ErrorKind::ConnectionAborted.into()),
        };
        if takes {
            let is_delivered = heard && answered.is_ok();
            let delivered_at = is_delivered.then_some(answered_at);
            shared.record.answered_call(&id, Some(over), delivered_at);
        }
        if answered.is_err() {
            reset(over);
        }
        answered?;
    }
    Ok(())
}

/// How much longer a call takes than it would otherwise.
fn more_time(manner: Manner, call: &Http) -> Duration {
    let caller_waits = call
        .header("x-remaining")
        .and_then(|left| left.strip_suffix('m')?.parse().ok())
        .map_or(Duration::ZERO, Duration::from_millis);
    match manner {
        Manner::Prompt => Duration::ZERO,
        Manner::Announcing => caller_waits / 2,
        Manner::AtTheEnd(around) => {
            let spread = 2.0 * fastrand::f64() - 1.0;
            let at = caller_waits.as_secs_f64() + around.as_secs_f64() * spread;
            Duration::from_secs_f64(at.max(0.0))
        }
    }
}

/// Announces an answer, with the beginning of the next announcement behind it, until the caller
/// hangs up.
fn announce(over: &Arc<TcpStream>) {
    let mut stream = over.as_ref();
    let mut bytes: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 1";
    while is_open(over) && stream.write_all(bytes).is_ok() {
        thread::sleep(ANNOUNCES_EVERY);
        bytes = b"00 Continue\r\n\r\nHTTP/1.1 1";
    }
}

/// Waits as long as the call takes. The answer; nothing if the connection ends instead.
fn says(does: Does, life: u64, over: &Arc<TcpStream>, shared: &Arc<Shared>) -> Option<String> {
    let (status, more) = match does {
        Does::Takes(late) => {
            thread::sleep(shared.takes + late);
            ("200 OK", String::new())
        }
        Does::Errs => ("500 Internal Server Error", String::new()),
        Does::Full(None) => ("503 Service Unavailable", String::new()),
        Does::Full(Some(wait)) => {
            let ms = wait.as_nanos().div_ceil(1_000_000);
            (
                "429 Too Many Requests",
                format!("X-RateLimit-Wait-Ms: {ms}\r\n"),
            )
        }
        Does::Hangs => {
            while shared.state().life == life && is_open(over) {
                thread::sleep(LOOK);
            }
            return None;
        }
        Does::Gone(fell) => {
            if fell {
                fall(shared);
            }
            return None;
        }
    };
    // One that was cut off meanwhile hears no more.
    let connected = shared.state().open.iter().any(|c| Arc::ptr_eq(c, over));
    connected.then(|| format!("HTTP/1.1 {status}\r\n{more}Content-Length: 0\r\n\r\n"))
}

/// It fell over: it cannot be connected to, and comes back by itself.
fn fall(shared: &Arc<Shared>) {
    shared.record.toppled(&shared.uid);
    let _ = shared.settle();
    let (shared, down) = (shared.clone(), Duration::from_secs_f64(shared.terms.down_s));
    thread::spawn(move || {
        thread::sleep(down);
        let _ = shared.settle();
    });
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The first line of the answer to a call, and the wait that it tells.
    fn call(to: SocketAddr, within: Duration) -> io::Result<(String, Option<u64>)> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(within))?;
        stream.write_all(b"POST / HTTP/1.1\r\nX-Txn: m\r\nContent-Length: 0\r\n\r\n")?;
        let answer = Http::read(&mut BufReader::new(&stream))?;
        let (answer, _) = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
        let wait = answer
            .header("x-ratelimit-wait-ms")
            .and_then(|w| w.parse().ok());
        Ok((answer.first.trim_end().to_string(), wait))
    }

    #[test]
    fn each_death_does_what_it_says_and_a_return_is_cold_and_can_be_toppled() {
        let (soon, long) = (Duration::from_millis(150), Duration::from_secs(10));
        let terms = Terms {
            listed: 4.0,
            factor: Some(1.0),
            down_s: 0.3,
            ..Terms::default()
        };
        let record = Arc::new(Record::default());
        let partner = Partner::start("s0", Duration::ZERO, terms, record.clone()).expect("started");
        let to = partner.address();
        let ok = |answer: io::Result<(String, Option<u64>)>| {
            answer
                .as_ref()
                .is_ok_and(|(first, _)| first.ends_with("200 OK"))
        };
        (0..4).for_each(|_| assert!(ok(call(to, long))));
        let (first, wait) = call(to, long).expect("answered");
        assert!(
            first.contains(" 429 ") && wait.is_some_and(|w| (1..=1_000).contains(&w)),
            "{first} {wait:?}"
        );
        let kept = TcpStream::connect(to).expect("connected");
        let cut_off_by = Instant::now() + long;
        partner.dies(Death::Unconnected).expect("dead");
        assert_eq!(
            call(to, long).expect_err("gone").kind(),
            io::ErrorKind::ConnectionRefused
        );
        while is_open(&kept) {
            assert!(Instant::now() < cut_off_by, "never cut off");
            thread::sleep(LOOK);
        }
        partner.dies(Death::Hangs).expect("dead");
        assert_eq!(
            call(to, soon).expect_err("silent").kind(),
            io::ErrorKind::WouldBlock
        );
        partner.dies(Death::Errors).expect("dead");
        assert_eq!(
            call(to, long).expect("an error").0,
            "HTTP/1.1 500 Internal Server Error"
        );
        partner.lives().expect("back");
        assert!(partner.warmth() < 0.3 && ok(call(to, long)));
        // 4 a second, cold 0.92: it may get 5.5 within 3 s, and 10.0 by chance.
        let toppled = || record.seen().toppled.len();
        let calls = (1..)
            .take_while(|_| call(to, long).is_ok() && toppled() == 0)
            .count();
        assert!(toppled() == 1 && (13..=17).contains(&calls), "{calls}");
        assert_eq!(
            call(to, long).expect_err("gone").kind(),
            io::ErrorKind::ConnectionRefused
        );
        let until = Instant::now() + long;
        let back = loop {
            if ok(call(to, long)) || Instant::now() > until {
                break Instant::now() < until;
            }
            thread::sleep(LOOK);
        };
        assert!(back && partner.warmth() < 0.3 && toppled() == 1);
    }
}
