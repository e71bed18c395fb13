//! MQTT 5 packets off and onto a connection. The codec is a library's; what it is given is bounded
//! here.

use crate::net::stream::Stream;
use mqtt_proto::v5::{ErrorV5, Packet, UserProperty};
use mqtt_proto::Error;
use std::fmt;
use std::io;

/// Longest packet taken: the longest body with room for topic and properties.
pub const MAX_PACKET: usize = 64 * 1024 + 8 * 1024;

/// Why bytes are no packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bad {
    /// Over [`MAX_PACKET`].
    TooLarge,
    /// MQTT before version 5.
    Old,
    /// Another version, or another protocol.
    Version,
    /// Broken.
    Malformed(String),
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bad::TooLarge => write!(f, "a packet over {MAX_PACKET} bytes"),
            Bad::Old => write!(f, "MQTT before version 5"),
            Bad::Version => write!(f, "not MQTT 5"),
            Bad::Malformed(what) => write!(f, "malformed packet: {what}"),
        }
    }
}

impl std::error::Error for Bad {}

impl From<Bad> for io::Error {
    fn from(bad: Bad) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, bad)
    }
}

impl Bad {
    /// What is behind an error of [`read`], unless it is the connection's.
    pub fn behind(e: &io::Error) -> Option<&Bad> {
        e.get_ref()?.downcast_ref()
    }
}

/// Reads one packet, and how many bytes it took; `None` while it is not whole. The codec sees whole
/// packets of a bounded size only, because it makes room for whatever length a packet claims.
pub fn decode(bytes: &[u8]) -> Result<Option<(Packet, usize)>, Bad> {
    let Some(total) = total_len(bytes)? else {
        return Ok(None);
    };
    let Some(whole) = bytes.get(..total) else {
        return Ok(None);
    };
    match Packet::decode(whole) {
        Ok(Some(packet)) => Ok(Some((packet, total))),
        Ok(None) => Err(Bad::Malformed("shorter than its own fields".into())),
        Err(ErrorV5::Common(Error::UnexpectedProtocol(_))) => Err(Bad::Old),
        Err(ErrorV5::Common(Error::InvalidProtocol(..))) => Err(Bad::Version),
        Err(e) => Err(Bad::Malformed(e.to_string())),
    }
}

/// Length of the packet that begins here, from the variable-length number behind its first byte.
fn total_len(bytes: &[u8]) -> Result<Option<usize>, Bad> {
    let mut len = 0;
    for i in 0..4 {
        let Some(byte) = bytes.get(1 + i) else {
            return Ok(None);
        };
        len |= usize::from(byte & 0x7f) << (7 * i);
        if byte & 0x80 == 0 {
            let total = 2 + i + len;
            return if total > MAX_PACKET {
                Err(Bad::TooLarge)
            } else {
                Ok(Some(total))
            };
        }
    }
    Err(Bad::Malformed("length longer than four bytes".into()))
}

/// The bytes of a packet.
pub fn encode(packet: &Packet) -> io::Result<Vec<u8>> {
    let bytes = packet
        .encode()
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e.to_string()))?;
    Ok(bytes.as_ref().to_vec())
}

/// Reads one packet off a connection; nothing at its end.
pub async fn read(stream: &mut Stream) -> io::Result<Option<Packet>> {
    stream.release();
    stream.turn().await;
    loop {
        if let Some((packet, len)) = decode(&stream.buf)? {
            stream.buf.drain(..len);
            return Ok(Some(packet));
        }
        if let Some(total) = total_len(&stream.buf)? {
            stream.expect(total)?;
        }
        if !stream.fill().await? {
            return if stream.buf.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

/// The first user property of a name.
pub fn property<'a>(properties: &'a [UserProperty], name: &str) -> Option<&'a str> {
    properties
        .iter()
        .find(|p| &*p.name == name)
        .map(|p| &*p.value)
}

/// A user property.
pub fn user(name: &str, value: impl Into<String>) -> UserProperty {
    UserProperty {
        name: name.into(),
        value: value.into().into(),
    }
}
