//! Where MQTT clients hand messages in: a message is a PUBLISH at QoS 1 to `class/dest`, and its
//! PUBACK says whether it is taken on.

use super::packets::{decode, encode, property, read, user, Bad, MAX_PACKET};
use super::sessions::{ReplyTo, Session, Sessions};
use crate::admission_control::accept_queue::Comes;
use crate::admission_control::connection_slots::Why;
use crate::config::platform_settings::{Deployment, Tenants};
use crate::delivery::message::{self, ClientReply, DeliveryContext, TimeBudget};
use crate::delivery::{duration, is_valid_identifier, Envelope, LocalBoxFuture, MAX_BODY_BYTES};
use crate::net::connection_listener::{Seat, Serve, WITHOUT_TENANT};
use crate::net::stream::{Stream, Writer};
use crate::net::wait_in_ms;
use crate::NO_TENANT;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use mqtt_proto::v5::{
    Connack, ConnackProperties, Connect, ConnectReasonCode, Disconnect, DisconnectReasonCode,
    Packet, Puback, PubackProperties, PubackReasonCode, Publish, Suback, Unsuback, UserProperty,
};
use mqtt_proto::{Pid, QoS, QosPid};
use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection must greet within this time.
const GREETING: Duration = Duration::from_millis(2500);
/// A client that does not read its answers for this long is cut off.
const STUCK: Duration = Duration::from_secs(5);
/// Messages that one client may have unanswered at once.
const RECEIVE_MAX: u16 = 128;
/// CONNACK of MQTT 3.1.1: unacceptable protocol version.
const OLD_REFUSAL: &[u8] = &[0x20, 2, 0, 1];
/// CONNACK of MQTT 3.1.1: server unavailable.
const OLD_FULL: &[u8] = &[0x20, 2, 0, 3];

/// The port for MQTT clients.
pub struct Port {
    context: Rc<DeliveryContext>,
    sessions: Rc<Sessions>,
    classes: Vec<String>,
    tenants: Tenants,
    front: u8,
    executor: Rc<LocalExecutor<'static>>,
    closing: Cell<bool>,
}

impl Port {
    /// A port that has not begun to listen.
    pub fn new(
        context: Rc<DeliveryContext>,
        sessions: Rc<Sessions>,
        deployment: &Deployment,
        front: u8,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let (classes, tenants) = (deployment.classes.clone(), deployment.tenants.clone());
        Rc::new(Port {
            context,
            sessions,
            classes,
            tenants,
            front,
            executor,
            closing: Cell::new(false),
        })
    }

    /// Takes no further messages on.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// Serves one client until it leaves or breaks the protocol.
    async fn converse(
        &self,
        session: &Rc<Session>,
        stream: &mut Stream,
        silence: Duration,
    ) -> Result<(), DisconnectReasonCode> {
        loop {
            let next = read(stream);
            let read = match silence.is_zero() {
                true => next.await,
                false => match self.context.wheel.timeout(silence, next).await {
                    Some(read) => read,
                    None => return Err(DisconnectReasonCode::KeepAliveTimeout),
                },
            };
            let packet = match read {
                Ok(Some(packet)) => packet,
                Err(e) => {
                    log::debug!("mqtt: {e}");
                    if e.kind() == io::ErrorKind::OutOfMemory {
                        return Err(DisconnectReasonCode::QuotaExceeded);
                    }
                    return match Bad::behind(&e) {
                        Some(Bad::TooLarge) => Err(DisconnectReasonCode::PacketTooLarge),
                        Some(_) => Err(DisconnectReasonCode::MalformedPacket),
                        None => Ok(()),
                    };
                }
                Ok(None) => return Ok(()),
            };
            let answer = match packet {
                Packet::Publish(publish) => {
                    self.publish(session, publish, stream.filled_at()).await?;
                    continue;
                }
                Packet::Puback(ack) => {
                    session.acknowledged(ack.pid.value());
                    continue;
                }
                Packet::Subscribe(wanted) => {
                    Packet::Suback(Suback::new(wanted.pid, session.subscribe(&wanted)))
                }
                Packet::Unsubscribe(leave) => {
                    Packet::Unsuback(Unsuback::new(leave.pid, session.unsubscribe(&leave)))
                }
                Packet::Pingreq => Packet::Pingresp,
                Packet::Disconnect(_) => return Ok(()),
                _ => return Err(DisconnectReasonCode::ProtocolError),
            };
            if session.send(&answer).await.is_err() {
                return Ok(());
            }
            if let Packet::Suback(_) = answer {
                self.sessions.subscribed();
            }
        }
    }

    /// Takes a PUBLISH in: a message, or an answer that says what is wrong with it.
    async fn publish(
        &self,
        session: &Rc<Session>,
        publish: Publish,
        received_at: Instant,
    ) -> Result<(), DisconnectReasonCode> {
        let pid = match publish.qos_pid {
            QosPid::Level1(pid) => pid,
            // Nothing could be promised at QoS 0, and QoS 2 was not offered.
            _ => return Err(DisconnectReasonCode::QoSNotSupported),
        };
        if publish.retain {
            return Err(DisconnectReasonCode::RetainNotSupported);
        }
        let (answered, waits) = async_channel::bounded(1);
        let answer = Box::new(Answer {
            session: session.clone(),
            pid,
            _answered: answered,
        });
        if self.closing.get() {
            answer.rejected(Duration::ZERO).await;
            return Ok(());
        }
        session.asks(true);
        match self.message(publish) {
            Ok((envelope, time_left)) => {
                let time = TimeBudget {
                    received_at,
                    time_left,
                };
                if envelope.tenant == NO_TENANT {
                    session.counts(WITHOUT_TENANT);
                }
                self.executor
                    .spawn(message::receive(
                        self.context.clone(),
                        session.client(),
                        envelope,
                        time,
                        answer,
                    ))
                    .detach();
                // Acknowledgements have to go in the order in which the messages came.
                let _ = waits.recv().await;
            }
            Err((code, what)) => {
                log::debug!("mqtt: {what}");
                answer
                    .give(code, Some(what), None)
                    .await
                    .unwrap_or_default();
            }
        }
        session.asks(false);
        Ok(())
    }

    fn message(
        &self,
        publish: Publish,
    ) -> Result<(Envelope, Duration), (PubackReasonCode, &'static str)> {
        let topic = publish.topic_name.split_once('/');
        let place = topic.and_then(|(class, dest)| {
            let class = self.classes.iter().position(|c| c == class)?;
            Some((class, dest.parse::<u16>().ok()?))
        });
        let (class, dest) = place.ok_or((
            PubackReasonCode::TopicNameInvalid,
            "the topic is not class/dest",
        ))?;
        let missing = |what| (PubackReasonCode::ImplementationSpecificError, what);
        let properties = &publish.properties;
        let value =
            |name| property(&properties.user_properties, name).filter(|v| is_valid_identifier(v));
        let id = value("id").ok_or(missing("user property id is missing"))?;
        let key = value("key").map(str::to_string);
        let tenant = self.tenant(&properties.user_properties);
        let tenant = tenant.ok_or(missing("user property org is no tenant's name"))?;
        if publish.payload.len() > MAX_BODY_BYTES {
            return Err((PubackReasonCode::QuotaExceeded, "payload over 64 KiB"));
        }
        let policy = self.context.policies.current();
        let wanted = properties
            .message_expiry_interval
            .map(|s| Duration::from_secs(u64::from(s)));
        let left = wanted.unwrap_or(
            policy
                .class(class as u16)
                .map_or(Duration::ZERO, |c| duration(c.deadline)),
        );
        let reply_to = properties.response_topic.as_ref().map(|topic| ReplyTo {
            topic: topic.to_string(),
            correlation: properties.correlation_data.as_ref().map(|c| c.to_vec()),
        });
        let reply_to = reply_to
            .and_then(|r| postcard::to_stdvec(&r).ok())
            .unwrap_or_default();
        let (id, body, class) = (id.to_string(), publish.payload.to_vec(), class as u16);
        let envelope = Envelope {
            frontend: self.front,
            id,
            key,
            class,
            dest,
            reply_to,
            body,
            tenant,
            ..Envelope::default()
        };
        if message::lacks_required_key(policy.class(class), &envelope) {
            return Err(missing("user property key is missing"));
        }
        Ok((envelope, left))
    }
}

impl Port {
    /// Whose message it is; nothing where it names a tenant that is not known, or two.
    fn tenant(&self, properties: &[UserProperty]) -> Option<u16> {
        let mut names = properties
            .iter()
            .filter(|p| &*p.name == "org")
            .map(|p| &*p.value);
        let name = names.next();
        let alone = self.tenants.is_empty() || names.next().is_none();
        self.tenants.of(name).ok().filter(|_| alone)
    }

    /// Whether a client names itself as one that is known.
    fn knows(&self, connect: &Connect) -> bool {
        let user = connect.username.as_ref().map(|u| u.to_string());
        let policy = self.context.policies.current();
        policy
            .known_client_names
            .iter()
            .any(|k| *k == *connect.client_id || user.as_ref() == Some(k))
    }
}

impl Serve for Port {
    async fn full(&self, socket: Async<TcpStream>, why: Why, wait: Duration) {
        let mut stream = Stream::new(socket);
        // Only an answer to a CONNECT is one.
        let code = match why {
            Why::AddressRate | Why::PrefixRate => ConnectReasonCode::ConnectionRateExceeded,
            Why::Address | Why::Prefix | Why::Places => ConnectReasonCode::QuotaExceeded,
        };
        let bytes = match read(&mut stream).await {
            Ok(Some(Packet::Connect(connect))) => {
                let told = connect.properties.request_problem_info != Some(false);
                let waits = told.then(|| user("wait-ms", wait_in_ms(wait).to_string()));
                let properties = ConnackProperties {
                    user_properties: waits.into_iter().collect(),
                    ..Default::default()
                };
                encode(&Packet::Connack(Connack {
                    properties,
                    ..Connack::new(false, code)
                }))
                .unwrap_or_default()
            }
            Err(e) if matches!(Bad::behind(&e), Some(Bad::Old)) => OLD_FULL.to_vec(),
            _ => return,
        };
        let _ = stream.send(&bytes).await;
        stream.part().await;
    }

    fn full_at_once(&self, _: Duration) -> Vec<u8> {
        Vec::new()
    }

    fn brings(&self, first: &[u8]) -> Comes {
        match decode(first) {
            Ok(Some((Packet::Connect(connect), _))) if self.knows(&connect) => Comes::Known,
            Ok(Some((Packet::Connect(_), _))) => Comes::Whole,
            _ if first.is_empty() => Comes::Silent,
            _ => Comes::Begun,
        }
    }

    async fn serve(self: Rc<Self>, socket: Async<TcpStream>, seat: Rc<Seat>) {
        let mut stream = Stream::bounded(socket, seat.memory());
        let wheel = &self.context.wheel;
        let greeted = wheel.timeout(GREETING, read(&mut stream)).await;
        let writer = stream.writer(wheel.clone(), STUCK);
        let connect = match greeted {
            Some(Ok(Some(Packet::Connect(connect))))
                if connect.properties.auth_method.is_none() =>
            {
                if self.knows(&connect) {
                    seat.identified();
                }
                connect
            }
            other => {
                turn_away(&writer, other).await;
                wheel.timeout(GREETING, stream.part()).await;
                return;
            }
        };
        let open = self.sessions.open(&connect, writer, seat.clone());
        let session = &open.session;
        if session
            .send(&Packet::Connack(greeting(&connect, session)))
            .await
            .is_err()
        {
            return;
        }
        // A client may be silent for one and a half times its keep-alive.
        let silence = Duration::from_millis(u64::from(connect.keep_alive) * 1500);
        let gone = async {
            seat.gone().await;
            self.sessions.make_room(session);
        };
        let ended = async {
            session.ended().or(gone).await;
            Ok(())
        };
        if let Err(code) = self.converse(session, &mut stream, silence).or(ended).await {
            log::debug!("mqtt: client {} cut off: {code:?}", connect.client_id);
            let _ = session
                .send(&Packet::Disconnect(Disconnect::new(code)))
                .await;
            drop(open);
            wheel.timeout(GREETING, stream.part()).await;
        }
    }
}

/// Refuses a connection that began with anything but a CONNECT of version 5.
async fn turn_away(writer: &Writer, greeted: Option<io::Result<Option<Packet>>>) {
    let refusal = |code| encode(&Packet::Connack(Connack::new(false, code)));
    let bytes = match &greeted {
        Some(Ok(Some(Packet::Connect(_)))) => refusal(ConnectReasonCode::BadAuthMethod),
        Some(Ok(Some(_))) => refusal(ConnectReasonCode::ProtocolError),
        Some(Err(e)) => match Bad::behind(e) {
            // An old client could not read the answer of version 5.
            Some(Bad::Old) => Ok(OLD_REFUSAL.to_vec()),
            Some(Bad::Version) => refusal(ConnectReasonCode::UnsupportedProtocolVersion),
            Some(Bad::TooLarge) => refusal(ConnectReasonCode::PacketTooLarge),
            Some(Bad::Malformed(_)) => refusal(ConnectReasonCode::MalformedPacket),
            None if e.kind() == io::ErrorKind::OutOfMemory => {
                refusal(ConnectReasonCode::QuotaExceeded)
            }
            None => return,
        },
        Some(Ok(None)) | None => return,
    };
    log::debug!("mqtt: turned away: {greeted:?}");
    if let Ok(bytes) = bytes {
        let _ = writer.send(&bytes).await;
    }
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
        let told = self.session.told_more;
        let waits = wait.filter(|w| told && !w.is_zero());
        let properties = PubackProperties {
            reason_string: reason.filter(|_| told).map(Into::into),
            user_properties: waits
                .map(|w| user("wait-ms", wait_in_ms(w).to_string()))
                .into_iter()
                .collect(),
        };
        let ack = Puback {
            properties,
            ..Puback::new(self.pid, code)
        };
        self.session.send(&Packet::Puback(ack)).await
    }
}

impl ClientReply for Answer {
    fn accepted<'a>(self: Box<Self>) -> LocalBoxFuture<'a, io::Result<()>> {
        self.session.useful();
        async move { self.give(PubackReasonCode::Success, None, None).await }.boxed_local()
    }

    fn rejected<'a>(self: Box<Self>, wait: Duration) -> LocalBoxFuture<'a, ()> {
        async move {
            drop(
                self.give(PubackReasonCode::QuotaExceeded, None, Some(wait))
                    .await,
            )
        }
        .boxed_local()
    }

    fn failed<'a>(self: Box<Self>) -> LocalBoxFuture<'a, ()> {
        async move {
            drop(
                self.give(PubackReasonCode::UnspecifiedError, None, None)
                    .await,
            )
        }
        .boxed_local()
    }
}

/// What a client is told of this server when it connects.
fn greeting(connect: &Connect, session: &Session) -> Connack {
    let unnamed = connect.client_id.is_empty();
    let properties = ConnackProperties {
        // Subscriptions end with their connection; answers wait for the next one.
        session_expiry_interval: Some(0),
        receive_max: Some(RECEIVE_MAX),
        max_qos: Some(QoS::Level1),
        retain_available: Some(false),
        max_packet_size: Some(MAX_PACKET as u32),
        assigned_client_id: unnamed.then(|| session.client_id.as_str().into()),
        shared_subscription_available: Some(false),
        ..ConnackProperties::default()
    };
    Connack {
        properties,
        ..Connack::new(false, ConnectReasonCode::Success)
    }
}
