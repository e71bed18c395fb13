//! The notation of destinations in a route: one number, or a range such as `"100-199"`.

use serde::de::{Deserializer, Error, Unexpected, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use std::fmt;

/// A destination or a range of consecutive destinations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DestinationRange {
    /// The first destination.
    pub first: u16,
    /// The last destination.
    pub last: u16,
}

impl DestinationRange {
    /// Parses a range such as `100-199`.
    fn parse(text: &str) -> Option<DestinationRange> {
        let (first, last) = text.split_once('-')?;
        let first: u16 = first.parse().ok()?;
        let last: u16 = last.parse().ok()?;
        (first <= last).then_some(DestinationRange { first, last })
    }

    pub(super) fn contains(&self, dest: u16) -> bool {
        (self.first..=self.last).contains(&dest)
    }

    pub(super) fn overlaps(&self, other: &DestinationRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }
}

impl fmt::Display for DestinationRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.first == self.last {
            write!(f, "{}", self.first)
        } else {
            write!(f, "{}-{}", self.first, self.last)
        }
    }
}

impl Serialize for DestinationRange {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if self.first == self.last {
            s.serialize_u16(self.first)
        } else {
            s.collect_str(self)
        }
    }
}

impl<'de> Deserialize<'de> for DestinationRange {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<DestinationRange, D::Error> {
        struct RangeVisitor;

        impl Visitor<'_> for RangeVisitor {
            type Value = DestinationRange;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a destination from 0 to 65535 or a range as \"100-199\"")
            }

            fn visit_i64<E: Error>(self, one: i64) -> Result<DestinationRange, E> {
                let dest = u16::try_from(one)
                    .map_err(|_| E::invalid_value(Unexpected::Signed(one), &self))?;
                Ok(DestinationRange {
                    first: dest,
                    last: dest,
                })
            }

            fn visit_str<E: Error>(self, text: &str) -> Result<DestinationRange, E> {
                DestinationRange::parse(text)
                    .ok_or_else(|| E::invalid_value(Unexpected::Str(text), &self))
            }
        }

        d.deserialize_any(RangeVisitor)
    }
}

#[cfg(feature = "tools")]
impl schemars::JsonSchema for DestinationRange {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        // The name of this type in the published schema does not change.
        "Dests".into()
    }

    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({
            "description": "A destination, or a range of them as \"100-199\".",
            "anyOf": [
                {"type": "integer", "minimum": 0, "maximum": 65535},
                {"type": "string", "pattern": "^[0-9]{1,5}-[0-9]{1,5}$"},
            ],
        })
    }
}
