//! Another process at the place of an endpoint: nothing goes to the one before over connections that
//! were made to it, whatever of the endpoint stays the same.

use crate::http::{read_request, Http};
use crate::rig::{message, Rig};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a call takes.
const CALL: Duration = Duration::from_millis(30);
/// Within this time what the list tells is known, and calls that were out have ended.
const TOLD: Duration = Duration::from_millis(250);
/// Messages before the endpoint is replaced, and after that.
const BEFORE: usize = 6;
const AFTER: usize = 20;

/// An endpoint's process: it delivers all calls over the connections that it has, also once it
/// listens no more.
struct Process {
    address: SocketAddr,
    listener: Arc<Mutex<Option<TcpListener>>>,
}

/// A call, by the process that it came to.
type Calls = Receiver<&'static str>;

impl Process {
    fn start(name: &'static str, at: SocketAddr, calls: Sender<&'static str>) -> Process {
        let listener = TcpListener::bind(at).expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Mutex::new(Some(listener.try_clone().expect("a socket"))));
        let held = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if held.lock().expect("a listener").is_none() {
                    return;
                }
                let calls = calls.clone();
                thread::spawn(move || answer_all(stream, name, &calls));
            }
        });
        Process {
            address,
            listener: shared,
        }
    }

    /// Listens no more; open connections stay.
    fn stop_listening(&self) {
        drop(self.listener.lock().expect("a listener").take());
        // The thread that accepts holds the port until it wakes.
        let _ = TcpStream::connect(self.address);
    }
}

fn answer_all(mut stream: TcpStream, name: &'static str, calls: &Sender<&'static str>) {
    while read_request(&mut stream).is_some() {
        let _ = calls.send(name);
        thread::sleep(CALL);
        let answered = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        if answered.is_err() {
            return;
        }
    }
}

/// Starts the new process as soon as the address is free.
fn start_at(at: SocketAddr, calls: &Sender<&'static str>) -> Process {
    for _ in 0..200 {
        match TcpListener::bind(at) {
            Ok(probe) => {
                drop(probe);
                return Process::start("new", at, calls.clone());
            }
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
    panic!("the address does not come free");
}

fn hand_in(rig: &mut Rig<Http>, ids: std::ops::Range<usize>) {
    for number in ids {
        rig.take_on(&message(&format!("m{number}")));
        thread::sleep(Duration::from_millis(10));
    }
}

fn received(calls: &Calls, count: usize) -> Vec<&'static str> {
    (0..count)
        .map(|_| calls.recv_timeout(Duration::from_secs(10)).expect("a call"))
        .collect()
}

/// Replaces the process of an endpoint while calls to it are out, at its address or another one; the
/// list tells that in some way.
fn replaced(moves: bool, told: impl FnOnce(&Rig<Http>, SocketAddr)) {
    let (sender, calls) = channel();
    let mut rig = Rig::<Http>::start(&[]);
    let anywhere = "127.0.0.1:0".parse().expect("an address");
    let old = Process::start("old", anywhere, sender.clone());
    rig.discovery
        .list_started("p", old.address, "a", "hook", "active", 1_000);
    rig.program.says("directory: provider p");
    hand_in(&mut rig, 0..BEFORE);
    received(&calls, BEFORE - 1);

    old.stop_listening();
    let new = if moves {
        Process::start("new", anywhere, sender.clone())
    } else {
        start_at(old.address, &sender)
    };
    told(&rig, new.address);
    thread::sleep(TOLD);
    while calls.try_recv().is_ok() {}
    hand_in(&mut rig, BEFORE..BEFORE + AFTER);

    let after = received(&calls, AFTER);
    assert!(after.iter().all(|process| *process == "new"), "{after:?}");
}

/// Guards against calls to a process that is gone, where only the time of its start tells.
#[test]
fn a_new_start_of_the_same_endpoint_is_another_process() {
    replaced(false, |rig, address| {
        let discovery = &rig.discovery;
        discovery.list_started("p", address, "a", "hook", "active", 2_000);
    });
}

/// Guards against calls to a process that is gone, where another endpoint is listed at its address.
#[test]
fn a_new_endpoint_at_the_same_address_is_another_process() {
    replaced(false, |rig, address| {
        let discovery = &rig.discovery;
        discovery.list_started("p", address, "a", "hook", "left", 1_000);
        discovery.list_started("q", address, "a", "hook", "active", 2_000);
    });
}

/// Guards against calls to an address that an endpoint has left, over connections on which a call was
/// out when the list told it.
#[test]
fn an_endpoint_that_moves_while_calls_are_out_gets_nothing_at_its_old_address() {
    replaced(true, |rig, address| {
        let discovery = &rig.discovery;
        discovery.list_started("p", address, "a", "hook", "active", 1_000);
    });
}
