//! Stand-ins that speak the platform's HTTP: a client, and a provider.

use crate::discovery::Discovery;
use crate::rig::{Answer, End, Heard, Message, Wire};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Http {
    pub address: SocketAddr,
}

/// Reads a head up to its empty line; nothing at the end of the connection.
pub fn read_head(stream: &mut impl Read) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(String::from_utf8(head).expect("a head is text"))
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|l| l.split_once(':'));
    lines
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.trim())
}

/// Reads a request with its body.
pub fn read_request(stream: &mut impl Read) -> Option<(String, Vec<u8>)> {
    let head = read_head(stream)?;
    let mut body =
        vec![0; header(&head, "content-length").map_or(0, |l| l.parse().expect("a length"))];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// The request that hands a message in.
pub fn request(message: &Message) -> Vec<u8> {
    let head = format!(
        "POST /event HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {}\r\nX-Lane: event\r\nX-Remaining: {}m\r\n\
         Idempotency-Key: {}\r\nContent-Length: {}\r\nX-Addressing: dest=7\r\n\r\n",
        message.id,
        message.left.as_millis(),
        message.key,
        message.body.len()
    );
    [head.as_bytes(), &message.body].concat()
}

/// Status and headers of an answer.
pub fn answer(stream: &mut TcpStream) -> Option<(u16, String)> {
    stream
        .set_read_timeout(Some(crate::program::PATIENCE))
        .expect("a time-out");
    let head = read_head(stream)?;
    Some((head.split(' ').nth(1)?.parse().ok()?, head))
}

impl Http {
    /// Sends bytes on a connection of their own and reads the answer.
    pub fn ask(&self, bytes: &[u8]) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(self.address).expect("connected");
        stream.write_all(bytes).expect("written");
        answer(&mut stream)
    }
}

impl Wire for Http {
    const KIND: &'static str = "hook";
    const PORT: &'static str = "platform";
    const TELLS_DELIVERY: bool = false;

    fn client(address: SocketAddr) -> Self {
        let http = Http { address };
        assert_eq!(
            http.ask(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                .expect("an answer")
                .0,
            200
        );
        http
    }

    fn hand_in(&mut self, message: &Message) -> Heard {
        let (status, head) = self.ask(&request(message)).expect("an answer");
        let wait = header(&head, "retry-after").map_or(0.0, |w| w.parse().expect("seconds"));
        match status {
            200 | 202 => Heard::TakenOn,
            429 | 503 => Heard::Rejected(Duration::from_secs_f64(wait)),
            _ => Heard::Failed,
        }
    }

    fn end(&mut self, discovery: &Discovery, within: Duration) -> Option<(String, End)> {
        let notice = discovery.notices.recv_timeout(within).ok()?;
        let end = match notice["status"].as_str() {
            Some("undeliverable") => End::Undeliverable,
            Some("deferred") => End::Deferred(Duration::from_millis(
                notice["again_ms"].as_u64().unwrap_or(0),
            )),
            other => panic!("a notice says {other:?}"),
        };
        Some((notice["id"].as_str().expect("an id").into(), end))
    }

    fn greet(_: &mut TcpStream) -> io::Result<()> {
        Ok(())
    }

    fn read_call(stream: &mut TcpStream) -> io::Result<Message> {
        let (head, body) = read_request(stream).ok_or(io::ErrorKind::UnexpectedEof)?;
        let text = |name| header(&head, name).expect("a header").to_string();
        assert!(head.starts_with("POST /hook HTTP/1.1\r\n"));
        let left = text("x-remaining")
            .strip_suffix('m')
            .expect("milliseconds")
            .parse()
            .expect("a number");
        let (id, key) = (text("x-txn"), text("idempotency-key"));
        Ok(Message {
            id,
            key,
            body,
            left: Duration::from_millis(left),
        })
    }

    fn answer(answer: Answer) -> Vec<u8> {
        let (status, more) = match answer {
            Answer::Delivered => ("200 OK", String::new()),
            Answer::Full(Some(ms)) => (
                "429 Too Many Requests",
                format!("X-RateLimit-Wait-Ms: {ms}\r\n"),
            ),
            Answer::Full(None) => ("503 Service Unavailable", String::new()),
            Answer::Error => ("500 Internal Server Error", String::new()),
            Answer::Raw(bytes) => return bytes.to_vec(),
            Answer::Drop | Answer::Garbage => return b"\x00\xff no status line\r\n\r\n".to_vec(),
        };
        format!("HTTP/1.1 {status}\r\n{more}Content-Length: 2\r\n\r\nok").into_bytes()
    }

    fn garbage() -> Vec<Vec<u8>> {
        let long = [
            b"POST /event HTTP/1.1\r\n".as_slice(),
            &b"X-Long: 1\r\n".repeat(3000),
        ]
        .concat();
        let big = request(&Message {
            body: vec![7; 64 * 1024 + 1],
            ..crate::rig::message("big")
        });
        vec![
            b"\x16\x03\x01\x02\x00\x01\x00 this is not HTTP\r\n\r\n".to_vec(),
            long,
            big,
        ]
    }
}
