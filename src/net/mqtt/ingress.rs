//! Where MQTT clients hand messages in, and where their final answers go.
//!
//! A message is a PUBLISH at QoS 1 to `class/dest`. Its PUBACK says whether it is taken on; the final answer is a
//! PUBLISH to its Response Topic, for whichever connection has subscribed to that, and sent until one acknowledges it.

use super::packets::{encode, property, read, user, Bad, MAX_PACKET};
use crate::core::invocation::{self, House, Reply};
use crate::core::wheel::Wheel;
use crate::core::{Envelope, Front, Local, Verdict};
use crate::net::seats::Serve;
use crate::net::stream::{Stream, Writer};
use crate::settings::Deployment;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use async_lock::Semaphore;
use event_listener::Event;
use futures_lite::FutureExt;
use mqtt_proto::v5::{
    Connack, ConnackProperties, Connect, ConnectReasonCode, Disconnect, DisconnectReasonCode, Packet, Puback,
    PubackProperties, PubackReasonCode, Publish, PublishProperties, Suback, Subscribe, SubscribeReasonCode,
    Unsuback, UnsubscribeReasonCode,
};
use mqtt_proto::{Pid, QoS, QosPid, TopicName};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// A connection must greet within this time.
const GREETING: Duration = Duration::from_secs(10);
/// A client that does not read its answers for this long is cut off.
const STUCK: Duration = Duration::from_secs(5);
/// Messages that one client may have unanswered at once.
const RECEIVE_MAX: u16 = 128;
/// Filters that one client may hold.
const MAX_FILTERS: usize = 64;

/// CONNACK of MQTT 3.1.1: unacceptable protocol version.
const OLD_REFUSAL: &[u8] = &[0x20, 2, 0, 1];

/// Where a final answer goes; kept with the message in the journal.
#[derive(Serialize, Deserialize)]
struct ReplyTo {
    topic: String,
    correlation: Option<Vec<u8>>,
}

/// One client's connection.
struct Session {
    no: u64,
    writer: Writer,
    filters: RefCell<Vec<String>>,
    /// Final answers that are out here, by packet id, and those who wait for their acknowledgement.
    out: RefCell<HashMap<u16, Sender<()>>>,
    next_pid: Cell<u16>,
    /// As many answers may be out as the client takes, none longer than this.
    room: Semaphore,
    most: usize,
    /// Closed when the connection has to end.
    ending: (Sender<()>, Receiver<()>),
}

/// The sessions, and the final answers that wait for one.
pub struct Sessions {
    open: RefCell<BTreeMap<u64, Rc<Session>>>,
    made: Cell<u64>,
    subscribed: Event,
    keep_answers: Duration,
    wheel: Rc<Wheel>,
}

/// The port for MQTT clients.
pub struct Port {
    house: Rc<House>,
    sessions: Rc<Sessions>,
    classes: Vec<String>,
    front: u8,
    executor: Rc<LocalExecutor<'static>>,
    closing: Cell<bool>,
}

impl Sessions {
    /// No sessions yet; a final answer that nobody subscribes to is kept so long.
    pub fn new(wheel: Rc<Wheel>, keep_answers: Duration) -> Rc<Self> {
        let (open, made, subscribed) = (RefCell::default(), Cell::new(0), Event::new());
        Rc::new(Sessions { open, made, subscribed, keep_answers, wheel })
    }

    fn subscriber(&self, topic: &str) -> Option<Rc<Session>> {
        let open = self.open.borrow();
        let matches = |s: &&Rc<Session>| s.filters.borrow().iter().any(|f| covers(f, topic));
        open.values().rev().find(matches).cloned()
    }

    async fn deliver(&self, to: &ReplyTo, publish: &Publish) {
        loop {
            let listening = self.subscribed.listen();
            match self.subscriber(&to.topic) {
                Some(session) => {
                    if session.answer(publish.clone()).await {
                        return;
                    }
                    // It is gone, or will be: another connection may have subscribed meanwhile.
                    session.ending.1.close();
                    self.open.borrow_mut().remove(&session.no);
                }
                None => listening.await,
            }
        }
    }
}

impl Front for Sessions {
    fn tell<'a>(&'a self, envelope: &'a Envelope, verdict: Verdict) -> Local<'a, ()> {
        async move {
            let Ok(to) = postcard::from_bytes::<ReplyTo>(&envelope.reply_to) else { return };
            let Ok(publish) = final_answer(&envelope.id, &to, verdict) else { return };
            if self.wheel.limit(self.keep_answers, self.deliver(&to, &publish)).await.is_none() {
                log::warn!("{}: nobody took its final answer, {verdict:?}, at {}", envelope.id, to.topic);
            }
        }
        .boxed_local()
    }
}

impl Session {
    async fn send(&self, packet: &Packet) -> io::Result<()> {
        self.writer.send(&encode(packet)?).await
    }

    /// Sends a final answer and waits until it is acknowledged; false if the connection ends before.
    async fn answer(&self, mut publish: Publish) -> bool {
        let _room = self.room.acquire().await;
        let (acknowledged, waiting) = async_channel::bounded(1);
        let pid = {
            let mut out = self.out.borrow_mut();
            let mut pid = self.next_pid.get();
            while pid == 0 || out.contains_key(&pid) {
                pid = pid.wrapping_add(1);
            }
            self.next_pid.set(pid.wrapping_add(1));
            out.insert(pid, acknowledged);
            pid
        };
        let Ok(id) = Pid::try_from(pid) else { return false };
        publish.qos_pid = QosPid::Level1(id);
        let sent = match encode(&Packet::Publish(publish)) {
            // What a client does not take counts as sent (MQTT 5, section 3.1.2.11.4).
            Ok(bytes) if bytes.len() > self.most => {
                log::warn!("mqtt: a final answer is longer than its client takes");
                self.out.borrow_mut().remove(&pid);
                return true;
            }
            Ok(bytes) => self.writer.send(&bytes).await.is_ok(),
            Err(_) => false,
        };
        let ended = async {
            let _ = self.ending.1.recv().await;
            false
        };
        let acknowledged = async { waiting.recv().await.is_ok() };
        let heard = sent && acknowledged.or(ended).await;
        self.out.borrow_mut().remove(&pid);
        heard
    }
}

impl Port {
    /// A port that has not begun to listen.
    pub fn new(
        house: Rc<House>,
        sessions: Rc<Sessions>,
        deployment: &Deployment,
        front: u8,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let classes = deployment.classes.clone();
        Rc::new(Port { house, sessions, classes, front, executor, closing: Cell::new(false) })
    }

    /// Takes no further messages on.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// Tells all clients that this sender ends.
    pub fn farewell(&self) {
        let bytes = encode(&Packet::Disconnect(Disconnect::new(DisconnectReasonCode::ServerShuttingDown)));
        let open = self.sessions.open.borrow();
        open.values().zip(bytes.iter().cycle()).for_each(|(s, bytes)| s.writer.try_send(bytes));
    }

    /// Serves one client until it leaves or breaks the protocol.
    async fn converse(
        &self,
        session: &Rc<Session>,
        stream: &mut Stream,
        silence: Duration,
    ) -> Result<Option<()>, DisconnectReasonCode> {
        loop {
            let next = read(stream);
            let read = match silence.is_zero() {
                true => next.await,
                false => match self.house.wheel.limit(silence, next).await {
                    Some(read) => read,
                    None => return Err(DisconnectReasonCode::KeepAliveTimeout),
                },
            };
            let packet = match read {
                Ok(Some(packet)) => packet,
                Err(e) => {
                    log::debug!("mqtt: {e}");
                    return match Bad::behind(&e) {
                        Some(Bad::TooLarge) => Err(DisconnectReasonCode::PacketTooLarge),
                        Some(_) => Err(DisconnectReasonCode::MalformedPacket),
                        None => Ok(None),
                    };
                }
                Ok(None) => return Ok(None),
            };
            let answer = match packet {
                Packet::Publish(publish) => {
                    self.publish(session, publish).await?;
                    continue;
                }
                Packet::Puback(ack) => {
                    if let Some(waiting) = session.out.borrow_mut().remove(&ack.pid.value()) {
                        let _ = waiting.try_send(());
                    }
                    continue;
                }
                Packet::Subscribe(subscribe) => {
                    let ack = self.subscribe(session, &subscribe);
                    if session.send(&Packet::Suback(ack)).await.is_err() {
                        return Ok(None);
                    }
                    self.sessions.subscribed.notify(usize::MAX);
                    continue;
                }
                Packet::Unsubscribe(leave) => {
                    let mut filters = session.filters.borrow_mut();
                    let codes = leave.topics.iter().map(|topic| {
                        let held = filters.len();
                        filters.retain(|f| f.as_str() != &**topic);
                        let none = filters.len() == held;
                        if none {
                            UnsubscribeReasonCode::NoSubscriptionExisted
                        } else {
                            UnsubscribeReasonCode::Success
                        }
                    });
                    Packet::Unsuback(Unsuback::new(leave.pid, codes.collect()))
                }
                Packet::Pingreq => Packet::Pingresp,
                Packet::Disconnect(_) => return Ok(None),
                _ => return Err(DisconnectReasonCode::ProtocolError),
            };
            if session.send(&answer).await.is_err() {
                return Ok(None);
            }
        }
    }

    fn subscribe(&self, session: &Session, subscribe: &Subscribe) -> Suback {
        let mut filters = session.filters.borrow_mut();
        let codes = subscribe.topics.iter().map(|(filter, _)| {
            if filter.is_shared() {
                return SubscribeReasonCode::SharedSubscriptionNotSupported;
            }
            if filters.len() >= MAX_FILTERS {
                return SubscribeReasonCode::QuotaExceeded;
            }
            filters.push(filter.to_string());
            SubscribeReasonCode::GrantedQoS1
        });
        Suback::new(subscribe.pid, codes.collect())
    }

    /// Takes a PUBLISH in: a message, or an answer that says what is wrong with it.
    async fn publish(&self, session: &Rc<Session>, publish: Publish) -> Result<(), DisconnectReasonCode> {
        let pid = match publish.qos_pid {
            QosPid::Level1(pid) => pid,
            // Nothing could be promised at QoS 0, and QoS 2 was not offered.
            _ => return Err(DisconnectReasonCode::QoSNotSupported),
        };
        if publish.retain {
            return Err(DisconnectReasonCode::RetainNotSupported);
        }
        let (answered, waits) = async_channel::bounded(1);
        let answer = Box::new(Answer { session: session.clone(), pid, _answered: answered });
        if self.closing.get() {
            answer.rejected(Duration::ZERO).await;
            return Ok(());
        }
        match self.message(publish) {
            Ok((envelope, left)) => {
                self.executor.spawn(invocation::serve(self.house.clone(), envelope, left, answer)).detach();
                // Acknowledgements have to go in the order in which the messages came.
                let _ = waits.recv().await;
            }
            Err((code, what)) => {
                log::debug!("mqtt: {what}");
                answer.give(code, Some(what), None).await.unwrap_or_default();
            }
        }
        Ok(())
    }

    fn message(&self, publish: Publish) -> Result<(Envelope, Duration), (PubackReasonCode, &'static str)> {
        let topic = publish.topic_name.split_once('/');
        let place = topic.and_then(|(class, dest)| {
            let class = self.classes.iter().position(|c| c == class)?;
            Some((class, dest.parse::<u16>().ok()?))
        });
        let (class, dest) =
            place.ok_or((PubackReasonCode::TopicNameInvalid, "the topic is not class/dest"))?;
        let missing = |what| (PubackReasonCode::ImplementationSpecificError, what);
        let properties = &publish.properties;
        let value = |name| property(&properties.user_properties, name).filter(|v| !v.is_empty());
        let id = value("id").filter(|id| printable(id)).ok_or(missing("user property id is missing"))?;
        let key = value("key").filter(|key| printable(key)).map(str::to_string);
        let rules = &self.house.settings.classes[class];
        if key.is_none() && rules.effect == crate::Effect::Token {
            return Err(missing("user property key is missing"));
        }
        if publish.payload.len() > crate::net::platform::http::MAX_BODY {
            return Err((PubackReasonCode::QuotaExceeded, "payload over 64 KiB"));
        }
        let most = crate::core::span(rules.deadline);
        let left =
            properties.message_expiry_interval.map_or(most, |s| Duration::from_secs(u64::from(s)).min(most));
        let reply_to = properties.response_topic.as_ref().map(|topic| ReplyTo {
            topic: topic.to_string(),
            correlation: properties.correlation_data.as_ref().map(|c| c.to_vec()),
        });
        let reply_to = reply_to.and_then(|r| postcard::to_stdvec(&r).ok()).unwrap_or_default();
        let (id, body, class) = (id.to_string(), publish.payload.to_vec(), class as u16);
        Ok((
            Envelope { front: self.front, id, key, class, dest, reply_to, body, ..Envelope::default() },
            left,
        ))
    }
}

impl Serve for Port {
    async fn serve(self: Rc<Self>, socket: Async<TcpStream>) {
        let Ok(mut stream) = Stream::new(socket) else { return };
        let greeted = self.house.wheel.limit(GREETING, read(&mut stream)).await;
        let writer = stream.writer(self.house.wheel.clone(), STUCK);
        let connect = match greeted {
            Some(Ok(Some(Packet::Connect(connect)))) => connect,
            Some(Err(e)) if Bad::behind(&e).is_some() => {
                log::debug!("mqtt: no CONNECT but {e}");
                let refusal = |code| encode(&Packet::Connack(Connack::new(false, code)));
                let bytes = match Bad::behind(&e) {
                    // An old client could not read the answer of version 5.
                    Some(Bad::Old) => Ok(OLD_REFUSAL.to_vec()),
                    Some(Bad::Version) => refusal(ConnectReasonCode::UnsupportedProtocolVersion),
                    Some(Bad::TooLarge) => refusal(ConnectReasonCode::PacketTooLarge),
                    _ => refusal(ConnectReasonCode::MalformedPacket),
                };
                if let Ok(bytes) = bytes {
                    let _ = writer.send(&bytes).await;
                }
                self.house.wheel.limit(GREETING, stream.part()).await;
                return;
            }
            _ => return,
        };
        let no = self.sessions.made.get();
        self.sessions.made.set(no + 1);
        let session = Rc::new(Session {
            no,
            writer,
            filters: RefCell::default(),
            out: RefCell::default(),
            next_pid: Cell::new(1),
            most: connect.properties.max_packet_size.map_or(usize::MAX, |most| most as usize),
            room: Semaphore::new(usize::from(connect.properties.receive_max.unwrap_or(u16::MAX))),
            ending: async_channel::bounded(1),
        });
        let accepted = Packet::Connack(greeting(&connect, no));
        if session.send(&accepted).await.is_err() {
            return;
        }
        self.sessions.open.borrow_mut().insert(no, session.clone());
        // A client may be silent for one and a half times its keep-alive.
        let silence = Duration::from_millis(u64::from(connect.keep_alive) * 1500);
        let ended = async {
            let _ = session.ending.1.recv().await;
            Ok(None)
        };
        let reason = self.converse(&session, &mut stream, silence).or(ended).await;
        self.sessions.open.borrow_mut().remove(&no);
        session.ending.1.close();
        if let Err(code) = reason {
            log::debug!("mqtt: client {} cut off: {code:?}", connect.client_id);
            let _ = session.send(&Packet::Disconnect(Disconnect::new(code))).await;
            self.house.wheel.limit(GREETING, stream.part()).await;
        }
    }
}

/// Ids and keys travel in header lines of other wires.
fn printable(text: &str) -> bool {
    text.len() <= 256 && text.bytes().all(|b| b.is_ascii_graphic())
}

/// The acknowledgement owed for a PUBLISH.
struct Answer {
    session: Rc<Session>,
    pid: Pid,
    /// Dropped with the answer, which tells that it was given.
    _answered: Sender<()>,
}

impl Answer {
    async fn give(
        &self,
        code: PubackReasonCode,
        reason: Option<&str>,
        wait: Option<Duration>,
    ) -> io::Result<()> {
        let waits = wait.filter(|w| !w.is_zero()).map(|w| user("wait-ms", w.as_millis().to_string()));
        let properties = PubackProperties {
            reason_string: reason.map(Into::into),
            user_properties: waits.into_iter().collect(),
        };
        let ack = Puback { properties, ..Puback::new(self.pid, code) };
        self.session.send(&Packet::Puback(ack)).await
    }
}

impl Reply for Answer {
    fn taken_on<'a>(self: Box<Self>) -> Local<'a, io::Result<()>> {
        async move { self.give(PubackReasonCode::Success, None, None).await }.boxed_local()
    }

    fn rejected<'a>(self: Box<Self>, wait: Duration) -> Local<'a, ()> {
        async move { drop(self.give(PubackReasonCode::QuotaExceeded, None, Some(wait)).await) }.boxed_local()
    }

    fn failed<'a>(self: Box<Self>) -> Local<'a, ()> {
        async move { drop(self.give(PubackReasonCode::UnspecifiedError, None, None).await) }.boxed_local()
    }
}

/// What a client is told of this server when it connects.
fn greeting(connect: &Connect, no: u64) -> Connack {
    let unnamed = connect.client_id.is_empty();
    let properties = ConnackProperties {
        // Subscriptions end with their connection; answers wait for the next one.
        session_expiry_interval: Some(0),
        receive_max: Some(RECEIVE_MAX),
        max_qos: Some(QoS::Level1),
        retain_available: Some(false),
        max_packet_size: Some(MAX_PACKET as u32),
        assigned_client_id: unnamed.then(|| format!("client-{no}").as_str().into()),
        shared_subscription_available: Some(false),
        ..ConnackProperties::default()
    };
    Connack { properties, ..Connack::new(false, ConnectReasonCode::Success) }
}

fn final_answer(id: &str, to: &ReplyTo, verdict: Verdict) -> Result<Publish, mqtt_proto::Error> {
    let (status, again) = match verdict {
        Verdict::Delivered => ("delivered", 0),
        Verdict::Deferred { again_ms } => ("deferred", again_ms),
        Verdict::Undeliverable => ("undeliverable", 0),
    };
    let mut told = vec![user("id", id), user("status", status)];
    told.extend((again > 0).then(|| user("again-ms", again.to_string())));
    let properties = PublishProperties {
        correlation_data: to.correlation.clone().map(Into::into),
        user_properties: told,
        ..PublishProperties::default()
    };
    let topic = TopicName::try_from(to.topic.as_str())?;
    Ok(Publish { properties, ..Publish::new(QosPid::Level0, topic, status.as_bytes().to_vec().into()) })
}

/// Whether a topic filter covers a topic.
fn covers(filter: &str, topic: &str) -> bool {
    if topic.starts_with('$') && !filter.starts_with('$') {
        return false;
    }
    let (mut filter, mut topic) = (filter.split('/'), topic.split('/'));
    loop {
        match (filter.next(), topic.next()) {
            (Some("#"), _) | (None, None) => return true,
            (Some("+"), Some(_)) => {}
            (Some(f), Some(t)) if f == t => {}
            _ => return false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::covers;

    #[test]
    fn filters_cover_topics_as_the_standard_says() {
        for (filter, topic, yes) in [
            ("a/b", "a/b", true),
            ("a/b", "a/b/c", false),
            ("a/+", "a/b", true),
            ("a/+", "a", false),
            ("a/#", "a", true),
            ("#", "a/b", true),
            ("+", "/a", false),
            ("#", "$SYS/a", false),
        ] {
            assert_eq!(covers(filter, topic), yes, "{filter} {topic}");
        }
    }
}
