//! A line between two parties that can fail: cut, silent one way or both, slow, narrow, or broken
//! in the middle of an answer.

use crate::port::Port;
use rustix::net::sockopt::set_socket_linger;
use serde::Deserialize;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that are passed on at once.
const CHUNK: usize = 4096;

/// Pieces that are on their way on a long line.
const AHEAD: usize = 256;

/// How an answer breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Break {
    /// The connection is reset.
    Reset,
    /// The connection ends in order, as if all had been said.
    Close,
}

/// Where an answer breaks off, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Breaks {
    /// After so many bytes.
    pub after: usize,
    /// How.
    pub how: Break,
}

/// What a line does to those who speak over it. The default does nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Connections are reset, the old ones and each new one.
    pub cut: bool,
    /// Nothing comes through from the one who connected.
    pub silent_up: bool,
    /// Nothing comes through to the one who connected.
    pub silent_down: bool,
    /// Each piece comes so many milliseconds later.
    pub delay_ms: u64,
    /// Bytes a second that come through each way, 0 for no bound.
    pub rate: usize,
    /// Each connection breaks off in an answer.
    pub breaks: Option<Breaks>,
    /// Each connection breaks off in what comes from the one who connected, in the middle of a
    /// frame for instance.
    pub breaks_up: Option<Breaks>,
    /// Nobody listens here: who connects is turned away, and the old connections are reset.
    pub refuse: bool,
}

/// A connection that runs over it.
struct Line {
    number: u64,
    from: TcpStream,
    to: TcpStream,
    torn: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    fault: Fault,
    /// Where it leads to; whoever connects before that is known is reset.
    to: Option<SocketAddr>,
    /// The party at the other end does not listen, and so nobody listens here.
    away: bool,
    open: Vec<Line>,
    next: u64,
    broken: u32,
}

struct Shared {
    port: Port,
    /// All that comes needs so long, each way.
    latency: Duration,
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// One line; any number of connections run over it.
pub struct Relay {
    /// Where it is connected to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// A line to a party, without a fault.
    ///
    /// # Errors
    /// No port is to be had.
    pub fn start(to: SocketAddr) -> io::Result<Relay> {
        let relay = Relay::open()?;
        relay.aim(to);
        Ok(relay)
    }

    /// A line to a party of which it is told later where it is.
    ///
    /// # Errors
    /// No port is to be had.
    pub fn open() -> io::Result<Relay> {
        Relay::far(Duration::ZERO)
    }

    /// The same; what is said needs so long each way, however much it is.
    ///
    /// # Errors
    /// As [`Relay::open`].
    pub fn far(latency: Duration) -> io::Result<Relay> {
        let (port, state) = (Port::open()?, Mutex::new(State::default()));
        let shared = Arc::new(Shared {
            port,
            latency,
            state,
            changed: Condvar::new(),
        });
        let relay = Relay {
            address: shared.port.address,
            shared: shared.clone(),
        };
        thread::spawn(move || loop {
            let stream = shared.port.accept();
            // A party that is not there is one that hangs up at once.
            let _ = join(stream, &shared);
        });
        Ok(relay)
    }

    /// New connections lead there from now on.
    pub fn aim(&self, to: SocketAddr) {
        self.shared.state().to = Some(to);
    }

    /// From now on the line has this fault, and no other.
    pub fn set(&self, fault: Fault) {
        self.change(|state| state.fault = fault);
    }

    /// The party at the other end does not listen, or does again.
    pub fn away(&self, away: bool) {
        self.change(|state| state.away = away);
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.shared.state();
        change(&mut state);
        let shut = state.fault.refuse || state.away;
        if state.fault.cut || shut {
            state
                .open
                .drain(..)
                .for_each(|line| tear(&line.torn, [&line.from, &line.to]));
        }
        // Under the lock: the port is as the last change says. One that can't be opened again turns
        // all away.
        let _ = self.shared.port.set(!shut);
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Answers that it broke off.
    pub fn broken(&self) -> u32 {
        self.shared.state().broken
    }
}

/// Lets a connection be reset both ways as soon as nobody holds it any more.
fn tear(torn: &AtomicBool, ends: [&TcpStream; 2]) {
    torn.store(true, Ordering::SeqCst);
    for end in ends {
        // One that is closed already is as good as reset.
        let _ = set_socket_linger(end, Some(Duration::ZERO));
        // Only who reads here wakes; the other side is told nothing yet.
        let _ = end.shutdown(Shutdown::Read);
    }
}

fn join(from: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    let to = {
        let state = shared.state();
        state
            .to
            .filter(|_| !state.fault.cut && !state.fault.refuse && !state.away)
    };
    let Some(to) = to.and_then(|to| TcpStream::connect(to).ok()) else {
        return Ok(set_socket_linger(&from, Some(Duration::ZERO))?);
    };
    let torn = Arc::new(AtomicBool::new(false));
    let number = {
        let mut state = shared.state();
        state.next += 1;
        let number = state.next;
        state.open.push(Line {
            number,
            from: from.try_clone()?,
            to: to.try_clone()?,
            torn: torn.clone(),
        });
        number
    };
    let (up, down) = ((from.try_clone()?, to.try_clone()?), (to, from));
    for ((mut source, mut sink), is_up) in [(up, true), (down, false)] {
        let (shared, torn) = (shared.clone(), torn.clone());
        thread::spawn(move || {
            // Whatever ends one way ends it for the other, too.
            let _ = pass(&mut source, &mut sink, is_up, &shared, &torn);
            if !torn.load(Ordering::SeqCst) {
                let _ = sink.shutdown(Shutdown::Write);
                let _ = if is_up {
                    Ok(())
                } else {
                    source.shutdown(Shutdown::Both)
                };
            }
            if !is_up {
                shared.state().open.retain(|l| l.number != number);
            }
        });
    }
    Ok(())
}

/// Reads what comes, to be passed on when it is due.
fn ahead(mut source: TcpStream, latency: Duration) -> Receiver<(Instant, Vec<u8>)> {
    let (come, due) = sync_channel(AHEAD);
    thread::spawn(move || {
        let mut buffer = [0; CHUNK];
        while let Ok(length @ 1..) = source.read(&mut buffer) {
            if come
                .send((Instant::now() + latency, buffer[..length].to_vec()))
                .is_err()
            {
                return;
            }
        }
    });
    due
}

/// Passes on what comes until it ends.
fn pass(
    source: &mut TcpStream,
    sink: &mut TcpStream,
    is_up: bool,
    shared: &Shared,
    torn: &AtomicBool,
) -> io::Result<()> {
    let (mut buffer, mut passed) = ([0; CHUNK], 0);
    let far = !shared.latency.is_zero();
    let ahead = far
        .then(|| Ok::<_, io::Error>(ahead(source.try_clone()?, shared.latency)))
        .transpose()?;
    loop {
        let length = match &ahead {
            None => source.read(&mut buffer)?,
            Some(ahead) => ahead.recv().map_or(0, |(due, piece)| {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                buffer[..piece.len()].copy_from_slice(&piece);
                piece.len()
            }),
        };
        if length == 0 {
            return Ok(());
        }
        let fault = {
            let silent = |s: &State| {
                if is_up {
                    s.fault.silent_up
                } else {
                    s.fault.silent_down
                }
            };
            let mut state = shared.state();
            while silent(&state) && !state.fault.cut && !state.fault.refuse {
                state = shared
                    .changed
                    .wait(state)
                    .unwrap_or_else(|e| e.into_inner());
            }
            state.fault
        };
        thread::sleep(Duration::from_millis(fault.delay_ms));
        if fault.rate > 0 {
            thread::sleep(Duration::from_secs_f64(length as f64 / fault.rate as f64));
        }
        let breaks = if is_up { fault.breaks_up } else { fault.breaks };
        let left = breaks.map(|b| b.after.saturating_sub(passed));
        let whole = left.is_none_or(|left| length <= left);
        let length = left.unwrap_or(length).min(length);
        sink.write_all(&buffer[..length])?;
        passed += length;
        if let Some(Breaks { how, .. }) = breaks.filter(|_| !whole) {
            shared.state().broken += 1;
            if how == Break::Reset {
                tear(torn, [source, sink]);
                return Ok(());
            }
            return sink.shutdown(Shutdown::Both);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    /// A party that says everything back.
    fn echo() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                thread::spawn(move || io::copy(&mut &stream, &mut &stream));
            }
        });
        address
    }

    /// What comes back of some bytes within a time, and whether the connection was reset.
    fn says(stream: &mut TcpStream, bytes: &[u8], within: Duration) -> (Vec<u8>, bool) {
        let _ = stream.write_all(bytes);
        stream.set_read_timeout(Some(within)).expect("set");
        let (mut back, mut buffer) = (Vec::new(), [0; 64]);
        while back.len() < bytes.len() {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(n) => back.extend(&buffer[..n]),
                Err(e) => return (back, e.kind() == io::ErrorKind::ConnectionReset),
            }
        }
        (back, false)
    }

    #[test]
    fn each_fault_does_what_it_says_and_heals() {
        let (wait, soon) = (Duration::from_secs(10), Duration::from_millis(100));
        let relay = Relay::start(echo()).expect("a relay");
        let connect = || TcpStream::connect(relay.address).expect("connected");
        let mut line = connect();
        assert_eq!(says(&mut line, b"whole", wait), (b"whole".to_vec(), false));
        for (silent_up, silent_down) in [(true, false), (false, true), (true, true)] {
            relay.set(Fault {
                silent_up,
                silent_down,
                ..Fault::default()
            });
            assert_eq!(says(&mut line, b"later", soon), (Vec::new(), false));
            relay.set(Fault::default());
            assert_eq!(says(&mut line, b"", wait), (Vec::new(), false));
            line.set_read_timeout(Some(wait)).expect("set");
            let mut later = [0; 5];
            line.read_exact(&mut later)
                .expect("what was held back comes");
            assert_eq!(&later, b"later");
        }
        let begun = Instant::now();
        relay.set(Fault {
            delay_ms: 100,
            rate: 50,
            ..Fault::default()
        });
        assert_eq!(says(&mut line, b"tardy", wait), (b"tardy".to_vec(), false));
        assert!(begun.elapsed() >= 4 * soon, "{:?}", begun.elapsed());
        for (how, is_reset) in [(Break::Close, false), (Break::Reset, true)] {
            relay.set(Fault {
                breaks: Some(Breaks { after: 3, how }),
                ..Fault::default()
            });
            let (back, was_reset) = says(&mut connect(), b"broken", wait);
            assert!(
                was_reset == is_reset && (is_reset || back == b"bro"),
                "{how:?}: {back:?} {was_reset}"
            );
        }
        assert_eq!(relay.broken(), 2);
        relay.set(Fault {
            breaks_up: Some(Breaks {
                after: 3,
                how: Break::Close,
            }),
            ..Fault::default()
        });
        let (back, _) = says(&mut connect(), b"broken", wait);
        assert!(b"bro".starts_with(&back) && relay.broken() == 3, "{back:?}");
        relay.set(Fault {
            refuse: true,
            ..Fault::default()
        });
        let refused = TcpStream::connect(relay.address)
            .expect_err("turned away")
            .kind();
        assert_eq!(refused, io::ErrorKind::ConnectionRefused);
        relay.set(Fault::default());
        let mut line = connect();
        relay.set(Fault {
            cut: true,
            ..Fault::default()
        });
        assert_eq!(says(&mut line, b"gone", wait).0, b"");
        assert_eq!(says(&mut connect(), b"gone", wait).0, b"");
        relay.set(Fault::default());
        assert_eq!(
            says(&mut connect(), b"back", wait),
            (b"back".to_vec(), false)
        );
    }

    #[test]
    fn a_long_line_needs_its_time_once_and_fails_as_a_short_one() {
        let (wait, latency) = (Duration::from_secs(10), Duration::from_millis(50));
        let relay = Relay::far(latency).expect("a relay");
        relay.aim(echo());
        let mut line = TcpStream::connect(relay.address).expect("connected");
        let begun = Instant::now();
        // Twenty pieces that follow each other are all on their way at once.
        for _ in 0..20 {
            line.write_all(b"a piece").expect("sent");
            thread::sleep(Duration::from_millis(2));
        }
        line.set_read_timeout(Some(wait)).expect("set");
        let mut back = [0; 140];
        line.read_exact(&mut back).expect("all comes back");
        assert!(
            (2 * latency..20 * latency).contains(&begun.elapsed()),
            "{:?}",
            begun.elapsed()
        );
        relay.set(Fault {
            cut: true,
            ..Fault::default()
        });
        assert_eq!(says(&mut line, b"gone", wait).0, b"");
    }

    #[test]
    fn a_line_whose_end_is_told_later_leads_there_from_then_on() {
        let wait = Duration::from_secs(10);
        let relay = Relay::open().expect("a relay");
        let connect = || TcpStream::connect(relay.address).expect("connected");
        assert_eq!(says(&mut connect(), b"nobody", wait).0, b"");
        relay.aim(echo());
        assert_eq!(
            says(&mut connect(), b"there", wait),
            (b"there".to_vec(), false)
        );
    }
}
