//! Stand-ins that speak MQTT 5: a client, and a small broker as provider.

use crate::discovery::Discovery;
use crate::program::PATIENCE;
use crate::rig::{Answer, End, Heard, Message, Wire};
use mqtt_proto::v5::{
    Connack, Connect, ConnectReasonCode, Packet, Puback, PubackReasonCode, Publish, Subscribe,
    SubscriptionOptions,
};
use mqtt_proto::{Pid, QoS, QosPid, TopicFilter, TopicName};
use raildeal::net::mqtt::packets::{decode, encode, property, user};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

const REPLIES: &str = "replies/tested";

pub struct Mqtt {
    pub stream: TcpStream,
    pid: u16,
    acks: Receiver<Puback>,
    ends: Receiver<Publish>,
}

pub fn send(stream: &mut TcpStream, packet: &Packet) -> io::Result<()> {
    stream.write_all(&encode(packet)?)
}

/// Reads one packet, a byte at a time at first: nothing of the next may be taken.
pub fn read(stream: &mut TcpStream) -> io::Result<Packet> {
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    loop {
        stream.read_exact(&mut byte)?;
        bytes.push(byte[0]);
        if let Some((packet, len)) = decode(&bytes)? {
            assert_eq!(len, bytes.len());
            return Ok(packet);
        }
    }
}

/// The packet that hands a message in.
pub fn publish(message: &Message, pid: u16) -> Publish {
    let topic = TopicName::try_from("event/7").expect("a topic");
    let pid = QosPid::Level1(Pid::try_from(pid).expect("a packet id"));
    let mut publish = Publish::new(pid, topic, message.body.clone().into());
    let properties = &mut publish.properties;
    properties.message_expiry_interval = Some(message.left.as_secs() as u32);
    properties.response_topic = Some(TopicName::try_from(REPLIES).expect("a topic"));
    properties.correlation_data = Some(format!("re {}", message.id).into_bytes().into());
    properties.user_properties = vec![user("id", &message.id), user("key", &message.key)];
    publish
}

/// Connects as a client of its own name.
pub fn connect(address: SocketAddr) -> TcpStream {
    static MADE: AtomicUsize = AtomicUsize::new(0);
    let name = format!("tester-{}", MADE.fetch_add(1, Ordering::Relaxed));
    connect_as(address, Connect::new(name.as_str().into(), 60))
}

pub fn connect_as(address: SocketAddr, connect: Connect) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_nodelay(true).expect("set");
    send(&mut stream, &Packet::Connect(connect)).expect("written");
    match read(&mut stream).expect("an answer") {
        Packet::Connack(ack) => assert_eq!(ack.reason_code, ConnectReasonCode::Success),
        other => panic!("{other:?}"),
    }
    stream
}

pub fn subscribe(stream: &mut TcpStream, qos: QoS) {
    let filter = TopicFilter::try_from("replies/+").expect("a filter");
    let topics = vec![(filter, SubscriptionOptions::new(qos))];
    let pid = Pid::try_from(9).expect("a packet id");
    send(stream, &Packet::Subscribe(Subscribe::new(pid, topics))).expect("written");
}

impl Mqtt {
    /// The next final answer.
    pub fn ends_in(&self, within: Duration) -> Option<(String, End)> {
        let end = self.ends.recv_timeout(within).ok()?;
        let told = |name| property(&end.properties.user_properties, name);
        let id = told("id").expect("an id").to_string();
        assert_eq!(&*end.topic_name, REPLIES);
        assert_eq!(
            end.properties.correlation_data.as_deref(),
            Some(format!("re {id}").as_bytes())
        );
        let again = told("again-ms").map_or(0, |ms| ms.parse().expect("ms"));
        Some(match told("status") {
            Some("delivered") => (id, End::Delivered),
            Some("undeliverable") => (id, End::Undeliverable),
            Some("deferred") => (id, End::Deferred(Duration::from_millis(again))),
            other => panic!("a final answer says {other:?}"),
        })
    }
}

impl Wire for Mqtt {
    const KIND: &'static str = "broker";
    const PORT: &'static str = "mqtt";
    const TELLS_DELIVERY: bool = true;

    fn client(address: SocketAddr) -> Self {
        let mut stream = connect(address);
        subscribe(&mut stream, QoS::Level1);
        assert!(matches!(read(&mut stream), Ok(Packet::Suback(_))));
        let ((acked, acks), (ended, ends)) = (channel(), channel());
        let mut other = stream.try_clone().expect("a socket");
        thread::spawn(move || {
            while let Ok(packet) = read(&mut other) {
                match packet {
                    Packet::Puback(ack) => drop(acked.send(ack)),
                    Packet::Publish(end) => {
                        let pid = end.qos_pid.pid().expect("QoS 1");
                        let _ = send(&mut other, &Packet::Puback(Puback::new_success(pid)));
                        let _ = ended.send(end);
                    }
                    Packet::Disconnect(_) => return,
                    other => panic!("{other:?}"),
                }
            }
        });
        Mqtt {
            stream,
            pid: 0,
            acks,
            ends,
        }
    }

    fn hand_in(&mut self, message: &Message) -> Heard {
        self.pid += 1;
        send(
            &mut self.stream,
            &Packet::Publish(publish(message, self.pid)),
        )
        .expect("written");
        let ack = self
            .acks
            .recv_timeout(PATIENCE)
            .expect("an acknowledgement");
        assert_eq!(ack.pid.value(), self.pid);
        let wait = property(&ack.properties.user_properties, "wait-ms")
            .map_or(0, |w| w.parse().expect("ms"));
        match ack.reason_code {
            PubackReasonCode::Success => Heard::TakenOn,
            PubackReasonCode::QuotaExceeded => Heard::Rejected(Duration::from_millis(wait)),
            _ => Heard::Failed,
        }
    }

    fn end(&mut self, _: &Discovery, within: Duration) -> Option<(String, End)> {
        self.ends_in(within)
    }

    fn greet(stream: &mut TcpStream) -> io::Result<()> {
        match read(stream)? {
            Packet::Connect(connect) => assert!(connect.clean_start),
            other => panic!("{other:?}"),
        }
        send(
            stream,
            &Packet::Connack(Connack::new(false, ConnectReasonCode::Success)),
        )
    }

    fn read_call(stream: &mut TcpStream) -> io::Result<Message> {
        let publish = match read(stream)? {
            Packet::Publish(publish) => publish,
            Packet::Disconnect(_) => return Err(io::ErrorKind::UnexpectedEof.into()),
            other => panic!("{other:?}"),
        };
        assert_eq!(&*publish.topic_name, "in/7");
        assert_eq!(publish.qos_pid.pid().map(Pid::value), Some(1));
        let told = |name| {
            property(&publish.properties.user_properties, name)
                .expect("told")
                .to_string()
        };
        let left = Duration::from_millis(told("remaining-ms").parse().expect("ms"));
        let expiry = publish
            .properties
            .message_expiry_interval
            .expect("an expiry");
        assert!(Duration::from_secs(expiry.into()) >= left);
        Ok(Message {
            id: told("id"),
            key: told("key"),
            body: publish.payload.to_vec(),
            left,
        })
    }

    fn answer(answer: Answer) -> Vec<u8> {
        let pid = Pid::try_from(1).expect("a packet id");
        let (code, wait) = match answer {
            Answer::Delivered => (PubackReasonCode::Success, None),
            Answer::Full(wait) => (PubackReasonCode::QuotaExceeded, wait),
            Answer::Error => (PubackReasonCode::UnspecifiedError, None),
            Answer::Raw(bytes) => return bytes.to_vec(),
            Answer::Drop | Answer::Garbage => return vec![0xff; 64],
        };
        let mut ack = Puback::new(pid, code);
        ack.properties
            .user_properties
            .extend(wait.map(|ms| user("wait-ms", ms.to_string())));
        encode(&Packet::Puback(ack)).expect("encoded")
    }

    fn garbage() -> Vec<Vec<u8>> {
        let connect = encode(&Packet::Connect(Connect::new("garbler".into(), 0))).expect("encoded");
        let after = |bytes: &[u8]| [&connect, bytes].concat();
        vec![
            b"GET / HTTP/1.1\r\n".repeat(10),
            vec![0xff; 300],
            after(&[0xff; 300]),
            after(&[0x30, 0xff, 0xff, 0xff, 0x7f, 0, 0]),
            after(&[0x32, 4, 0, 200, 1, 2]),
        ]
    }
}
