//! Brokers as providers: a message goes out as one PUBLISH at QoS 1, and its PUBACK is the answer.

use super::packets::{encode, property, read, user};
use crate::delivery::endpoint::Endpoint;
use crate::delivery::{AttemptReport, Envelope};
use crate::net::calls::{Dialect, Read};
use crate::net::stream::Stream;
use crate::{Nanos, Outcome};
use mqtt_proto::v5::{
    Connect, ConnectReasonCode, Packet, Puback, PubackReasonCode, Publish, PublishProperties,
};
use mqtt_proto::{Pid, QosPid, TopicName};
use std::cell::Cell;
use std::io;
use std::time::Duration;

/// DISCONNECT without a reason: a normal end.
const DISCONNECT: &[u8] = &[0xe0, 0];
/// One PUBLISH is out per connection, so one packet id serves.
const PID: u16 = 1;

/// The words of a call by MQTT.
pub struct Publisher {
    client_id: String,
    /// Connections made, which tells their client ids apart.
    made: Cell<u64>,
    topic: String,
    classes: Vec<String>,
    keep_alive: Duration,
}

impl Publisher {
    /// `topic` may hold `{dest}`, `{class}` and `{key}`; connections stand idle up to `idle_most`.
    pub fn new(
        client_id: String,
        topic: String,
        classes: Vec<String>,
        idle_most: Duration,
    ) -> Self {
        // Idle connections are closed well before the broker would miss a packet, so that none has
        // to ping.
        Publisher {
            client_id,
            made: Cell::new(0),
            topic,
            classes,
            keep_alive: idle_most * 2,
        }
    }

    fn topic(&self, envelope: &Envelope) -> String {
        let class = self
            .classes
            .get(usize::from(envelope.class))
            .map_or("", String::as_str);
        let key = envelope.key.as_deref().unwrap_or("");
        // Keys come from outside: one that holds a wildcard or a level would make another topic of
        // it.
        let key = key.replace(['/', '+', '#', '\0'], "_");
        self.topic
            .replace("{dest}", &envelope.dest.to_string())
            .replace("{class}", class)
            .replace("{key}", &key)
    }
}

impl Dialect for Publisher {
    async fn greet(&self, stream: &mut Stream) -> io::Result<Option<Duration>> {
        self.made.set(self.made.get() + 1);
        let id = format!(
            "{}-{}-{}",
            self.client_id,
            std::process::id(),
            self.made.get()
        );
        let keep_alive = self.keep_alive.as_secs().min(u64::from(u16::MAX)) as u16;
        // `Connect::new` asks for a clean start: nothing that an earlier connection left is wanted.
        stream
            .send(&encode(&Packet::Connect(Connect::new(
                id.as_str().into(),
                keep_alive,
            )))?)
            .await?;
        match read(stream).await? {
            Some(Packet::Connack(ack)) if ack.reason_code == ConnectReasonCode::Success => {
                let told = ack.properties.server_keep_alive.filter(|s| *s > 0);
                Ok(told.map(|s| Duration::from_secs(u64::from(s))))
            }
            Some(Packet::Connack(ack)) => {
                Err(io::Error::other(format!("CONNACK {:?}", ack.reason_code)))
            }
            other => Err(io::Error::other(format!("no CONNACK but {other:?}"))),
        }
    }

    fn request(&self, _: &Endpoint, envelope: &Envelope, left: Duration) -> io::Result<Vec<u8>> {
        let mut properties = vec![user("id", &envelope.id)];
        properties.extend(envelope.key.as_ref().map(|k| user("key", k)));
        properties.extend(
            envelope
                .notes
                .iter()
                .map(|(n, v)| user(&format!("note-{n}"), v)),
        );
        properties.push(user("remaining-ms", left.as_millis().max(1).to_string()));
        let publish = Publish {
            properties: PublishProperties {
                // Whole seconds, rounded up: a broker must not drop what is still waited for.
                message_expiry_interval: Some(left.as_millis().div_ceil(1000).max(1) as u32),
                user_properties: properties,
                ..PublishProperties::default()
            },
            ..Publish::new(
                QosPid::Level1(Pid::try_from(PID).map_err(invalid)?),
                TopicName::try_from(self.topic(envelope).as_str()).map_err(invalid)?,
                envelope.body.clone().into(),
            )
        };
        encode(&Packet::Publish(publish))
    }

    async fn answer(
        &self,
        stream: &mut Stream,
        known: &mut Option<AttemptReport>,
    ) -> io::Result<Read> {
        match read(stream).await? {
            Some(Packet::Puback(ack)) if ack.pid.value() == PID => {
                *known = Some(report(&ack).into());
                Ok(Read::Whole)
            }
            other => Err(io::Error::other(format!("no PUBACK but {other:?}"))),
        }
    }

    fn farewell(&self) -> &'static [u8] {
        DISCONNECT
    }
}

fn invalid(e: mqtt_proto::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, e.to_string())
}

/// What an acknowledgement means.
fn report(ack: &Puback) -> Outcome {
    match ack.reason_code {
        PubackReasonCode::Success => Outcome::Delivered,
        PubackReasonCode::QuotaExceeded => {
            let told = property(&ack.properties.user_properties, "wait-ms")
                .and_then(|v| v.parse::<u64>().ok());
            Outcome::Rejected {
                wait: told.filter(|ms| *ms <= 86_400_000).unwrap_or(0) * 1_000_000 as Nanos,
            }
        }
        // No subscriber took it, say: it may be anywhere but there.
        _ => Outcome::Error,
    }
}
