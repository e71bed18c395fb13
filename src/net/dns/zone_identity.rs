//! Which zone was in use, in a few bytes: enough to tell whether another one may take its place.

use super::update::is_newer;
use super::zone::Zone;
use hickory_proto::rr::Name;
use std::fmt;
use std::str::FromStr;

/// Identity of one version of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneIdentity {
    /// Apex of the zone.
    pub origin: Name,
    /// Its version.
    pub serial: u32,
    /// Digest of its [text](Zone::text).
    text: TextDigest,
}

/// Tells whether two texts are the same, unless somebody makes two to deceive it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextDigest {
    /// Size of the text, in bytes.
    bytes: usize,
    /// CRC-32 of the text.
    checksum: u32,
}

impl TextDigest {
    /// Returns the digest of a text.
    pub fn new(text: &str) -> Self {
        TextDigest {
            bytes: text.len(),
            checksum: crc32fast::hash(text.as_bytes()),
        }
    }

    /// Whether a text is the one of this digest with more behind it.
    pub fn has_grown_to(&self, text: &str) -> bool {
        let beginning = text.get(..self.bytes);
        text.len() > self.bytes && beginning.is_some_and(|text| TextDigest::new(text) == *self)
    }
}

/// How a zone stands to the one that was in use before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Succession {
    /// It is that zone, unchanged.
    Same,
    /// Its serial is newer.
    Newer,
    /// It has another origin, and so a serial that cannot be compared.
    OtherZone,
    /// Its serial is older: it has been replaced.
    Older,
    /// It has the same serial and another content.
    SameSerial,
}

impl ZoneIdentity {
    /// Returns the identity of a zone with this text.
    pub fn new(zone: &Zone, text: &str) -> Self {
        ZoneIdentity {
            origin: zone.origin.clone(),
            serial: zone.serial(),
            text: TextDigest::new(text),
        }
    }

    /// Returns how a zone of the identity `next` stands to a zone of this one.
    pub fn succession(&self, next: &ZoneIdentity) -> Succession {
        if next.origin != self.origin {
            Succession::OtherZone
        } else if is_newer(next.serial, self.serial) {
            Succession::Newer
        } else if next.serial != self.serial {
            Succession::Older
        } else if next == self {
            Succession::Same
        } else {
            Succession::SameSerial
        }
    }
}

/// One line: origin, serial, bytes and checksum, separated by spaces.
impl fmt::Display for ZoneIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (origin, serial) = (&self.origin, self.serial);
        let TextDigest { bytes, checksum } = self.text;
        write!(f, "{origin} {serial} {bytes} {checksum:08x}")
    }
}

/// A text is not the line of an identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the identity of a zone")]
pub struct NotAnIdentity;

impl FromStr for ZoneIdentity {
    type Err = NotAnIdentity;

    fn from_str(line: &str) -> Result<Self, NotAnIdentity> {
        // A name may hold spaces, the numbers do not.
        let fields: Vec<&str> = line.rsplitn(4, ' ').collect();
        let [checksum, bytes, serial, origin] = fields[..] else {
            return Err(NotAnIdentity);
        };
        Ok(ZoneIdentity {
            origin: Name::from_ascii(origin).map_err(|_| NotAnIdentity)?,
            serial: serial.parse().map_err(|_| NotAnIdentity)?,
            text: TextDigest {
                bytes: bytes.parse().map_err(|_| NotAnIdentity)?,
                checksum: u32::from_str_radix(checksum, 16).map_err(|_| NotAnIdentity)?,
            },
        })
    }
}
