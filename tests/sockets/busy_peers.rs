//! One peer that sends without end, as fast as it can: others are served beside it.

use crate::http::Http;
use crate::usual_clients::{flood, greet, usual_clients_beside, Answered, Node};
use mqtt_proto::v5::{Packet, Puback, PubackReasonCode};
use mqtt_proto::Pid;
use raildeal::net::mqtt::packets::encode;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// The peer is busy for so long.
const BUSY: Duration = Duration::from_secs(3);
/// Memory of the process, in MB.
const MEMORY_MB: usize = 64;
/// A usual client hands in at least so many messages meanwhile.
const LEAST_ASKED: usize = 40;

fn assert_all_in_time(answered: Answered) {
    assert!(answered.asked >= LEAST_ASKED, "{answered:?}");
    assert_eq!(answered.in_time, answered.asked);
}

/// One client that sends the same bytes without end, over HTTP, beside usual ones.
fn busy_http_client(bytes: &[u8]) {
    let (node, calls) = Node::start::<Http>(MEMORY_MB);
    let to = node.http;
    let answered = usual_clients_beside(to, calls, |_| {
        let until = Instant::now() + BUSY;
        while Instant::now() < until {
            flood(TcpStream::connect(to).expect("connected"), bytes, until);
        }
    });
    assert_all_in_time(answered);
}

/// Guards against one client that keeps all others from being served by requests without end.
#[test]
fn a_client_that_asks_without_end_keeps_nobody_waiting() {
    busy_http_client(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n");
}

/// Guards against one client that keeps all others from being served by requests with errors.
#[test]
fn a_client_that_sends_unsound_requests_without_end_keeps_nobody_waiting() {
    busy_http_client(b"POST /event HTTP/1.1\r\nX-Txn: \x01\r\n\r\n");
}

/// One MQTT client that sends the same packet without end; others greet beside it.
fn busy_mqtt_client(packet: &Packet) {
    let (node, calls) = Node::start::<Http>(MEMORY_MB);
    let (to, bytes) = (node.mqtt, encode(packet).expect("a packet"));
    let mut greeted = Vec::new();
    let answered = usual_clients_beside(node.http, calls, |_| {
        let until = Instant::now() + BUSY;
        thread::scope(|scope| {
            scope.spawn(|| {
                while Instant::now() < until {
                    flood(greet(to).expect("greeted"), &bytes, until);
                }
            });
            while Instant::now() < until {
                thread::sleep(Duration::from_millis(200));
                greeted.push(greet(to).is_some());
            }
        });
    });
    assert_all_in_time(answered);
    assert!(
        greeted.len() > 5 && greeted.iter().all(|g| *g),
        "{greeted:?}"
    );
}

/// Guards against one MQTT client that keeps all others from being served by acknowledgements.
#[test]
fn a_client_that_acknowledges_without_end_keeps_nobody_waiting() {
    let pid = Pid::try_from(7).expect("a number");
    busy_mqtt_client(&Packet::Puback(Puback::new(pid, PubackReasonCode::Success)));
}

/// Guards against one MQTT client that keeps all others from being served by pings.
#[test]
fn a_client_that_pings_without_end_keeps_nobody_waiting() {
    busy_mqtt_client(&Packet::Pingreq);
}

/// An endpoint that answers each call with a beginning and then the same bytes without end, beside
/// usual ones.
fn busy_endpoint(begins: &'static [u8], goes_on: &'static [u8]) {
    let (node, calls) = Node::start::<Http>(MEMORY_MB);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let until = Instant::now() + BUSY;
                let _ = stream.read(&mut [0; 4096]);
                if stream.write_all(begins).is_ok() {
                    flood(stream, goes_on, until);
                }
            });
        }
    });
    node.discovery.list("busy", address, "a", "hook", "active");
    let answered = usual_clients_beside(node.http, calls, |stop| {
        thread::sleep(BUSY);
        stop.store(true, Ordering::Relaxed);
    });
    assert_all_in_time(answered);
}

/// Guards against an endpoint that keeps the process busy with lines after the last chunk.
#[test]
fn an_endpoint_that_sends_trailers_without_end_keeps_nobody_waiting() {
    busy_endpoint(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-T: v\r\n",
    );
}

/// Guards against an endpoint that keeps the process busy with chunks of one byte.
#[test]
fn an_endpoint_that_sends_small_chunks_without_end_keeps_nobody_waiting() {
    busy_endpoint(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1;extension=of-some-length\r\nx\r\n",
    );
}

/// Guards against an endpoint that keeps the process busy with answers that announce another.
#[test]
fn an_endpoint_that_announces_answers_without_end_keeps_nobody_waiting() {
    busy_endpoint(b"", b"HTTP/1.1 100 Continue\r\n\r\n");
}
