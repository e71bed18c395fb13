//! A zone that lists providers.
//!
//! `_raildeal._tcp.DEST SRV 0 0 PORT HOST` lists a provider of a destination. The address record of
//! the host is where it listens; its TXT record may hold `zone=`, `kind=`, `rate=` (calls a second)
//! and `state=draining`.

use super::zone_text::{self, ZoneTextError};
use crate::delivery::endpoint::EndpointEntry;
use crate::Condition;
use hickory_proto::rr::rdata::{SRV, TXT};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use hickory_proto::serialize::txt::{ParseError, Parser};
use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};

/// Records of other types are not kept.
const TYPES: [RecordType; 6] = [
    RecordType::SOA,
    RecordType::NS,
    RecordType::A,
    RecordType::AAAA,
    RecordType::SRV,
    RecordType::TXT,
];

/// Reason why a text is not a zone that can be used.
#[derive(Debug, thiserror::Error)]
pub enum ZoneError {
    /// An entry is not complete.
    #[error(transparent)]
    Incomplete(#[from] ZoneTextError),
    /// An entry cannot be parsed.
    #[error("line {line}: {source}")]
    Line {
        /// Line in which the entry begins.
        line: usize,
        /// Error of the parser.
        source: ParseError,
    },
    /// The entries together cannot be parsed.
    #[error(transparent)]
    Text(ParseError),
    /// The zone has so many SOA records.
    #[error("{0} SOA records where one is needed")]
    Soa(usize),
    /// A record cannot be kept or used.
    #[error("{0}")]
    Record(String),
}

/// A zone's records, each once.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Its apex.
    pub origin: Name,
    /// All of it.
    pub records: Vec<Record>,
}

impl Zone {
    /// Reads the text of a zone file.
    ///
    /// # Errors
    /// The text is cut or not a zone that can be used. The error begins with the line, where one
    /// line is at fault.
    pub fn read(text: &str, origin: Option<&Name>) -> Result<Self, ZoneError> {
        ListedZone::read(text, origin).map(|listed| listed.zone)
    }

    /// Parses a text, whose records may be such that the zone cannot be used.
    fn parse(text: &str, origin: Option<&Name>) -> Result<Self, ZoneError> {
        zone_text::check(text)?;
        let parser = Parser::new(text, None, origin.cloned());
        let (_, sets) =
            parser
                .parse()
                .map_err(|source| match zone_text::first_bad_line(text, origin) {
                    Some(line) => ZoneError::Line { line, source },
                    None => ZoneError::Text(source),
                })?;
        let count = sets
            .values()
            .map(|set| set.records_without_rrsigs().count())
            .sum();
        let mut records: Vec<Record> = Vec::with_capacity(count);
        for set in sets.into_values() {
            records.extend(set.into_parts().records);
        }
        let soas: Vec<&Record> = records
            .iter()
            .filter(|r| r.record_type() == RecordType::SOA)
            .collect();
        let [soa] = soas[..] else {
            return Err(ZoneError::Soa(soas.len()));
        };
        Ok(Zone {
            origin: soa.name().clone(),
            records,
        })
    }

    /// Checks that all of it can be kept, and returns the endpoints that it lists.
    ///
    /// # Errors
    /// A record of another type, class or zone, or an endpoint that cannot be called.
    pub fn check(&self) -> Result<Vec<EndpointEntry>, String> {
        for r in &self.records {
            let (name, kind) = (r.name(), r.record_type());
            if !TYPES.contains(&kind) || r.dns_class() != DNSClass::IN {
                return Err(format!(
                    "{name} {kind}: records of this type or class are not kept"
                ));
            }
            if !self.origin.zone_of(name) {
                return Err(format!("{name}: not in the zone {}", self.origin));
            }
            let plain = |s: &[u8]| s.iter().all(|b| *b == b' ' || b.is_ascii_graphic());
            if matches!(r.data(), RData::TXT(t) if !t.txt_data().iter().all(|s| plain(s))) {
                return Err(format!("{name} TXT: not printable text"));
            }
        }
        self.providers()
    }

    /// Its version.
    pub fn serial(&self) -> u32 {
        let soa = self.records.iter().find_map(|r| r.data().as_soa());
        soa.map_or(0, |soa| soa.serial())
    }

    /// As a zone file.
    pub fn text(&self) -> String {
        let mut lines: Vec<String> = self.records.iter().map(line).collect();
        // The SOA comes first; the rest in order, so that versions can be compared.
        lines.sort_by_key(|l| (!l.contains(" IN SOA "), l.clone()));
        format!("$ORIGIN {}\n{}\n", self.origin, lines.join("\n"))
    }

    /// Whether these records of it can be written as text that reads back the same.
    pub fn is_writable(&self, records: &[Record]) -> bool {
        let lines: Vec<String> = records.iter().map(line).collect();
        let text = format!("$ORIGIN {}\n{}\n", self.origin, lines.join("\n"));
        if zone_text::check(&text).is_err() {
            return false;
        }
        let Ok((_, sets)) = Parser::new(text, None, None).parse() else {
            return false;
        };
        let read = sets.into_values().flat_map(|set| set.into_parts().records);
        let read: BTreeSet<String> = read.map(|record| line(&record)).collect();
        read == lines.into_iter().collect()
    }

    /// The providers that it lists.
    pub fn providers(&self) -> Result<Vec<EndpointEntry>, String> {
        let hosts = self.hosts();
        let listed = self
            .records
            .iter()
            .filter_map(|r| Some((r.data().as_srv()?, self.dest(r.name())?)));
        let called = listed.filter(|(srv, _)| !srv.target().is_root());
        called
            .map(|(srv, dest)| endpoint_entry(dest, srv, &hosts))
            .collect()
    }

    /// The addresses and attributes of all names.
    fn hosts(&self) -> HashMap<&Name, Host<'_>> {
        let mut hosts: HashMap<&Name, Host<'_>> = HashMap::new();
        for record in &self.records {
            let host = hosts.entry(record.name()).or_default();
            if host.address.is_none() {
                host.address = record.data().ip_addr();
            }
            host.texts.extend(record.data().as_txt());
        }
        hosts
    }

    /// The destination whose providers a name lists.
    fn dest(&self, name: &Name) -> Option<u16> {
        let labels: Vec<&[u8]> = name.iter().collect();
        let fits =
            labels.len() == usize::from(self.origin.num_labels()) + 3 && self.origin.zone_of(name);
        let service = fits && labels[0] == b"_raildeal" && labels[1] == b"_tcp";
        service.then(|| std::str::from_utf8(labels[2]).ok()?.parse().ok())?
    }
}

/// A zone that can be used, with the endpoints that it lists.
#[derive(Clone, Debug)]
pub struct ListedZone {
    /// The zone.
    pub zone: Zone,
    /// Its endpoints.
    pub endpoints: Vec<EndpointEntry>,
}

impl ListedZone {
    /// Reads the text of a zone file.
    ///
    /// # Errors
    /// As for [`Zone::read`].
    pub fn read(text: &str, origin: Option<&Name>) -> Result<Self, ZoneError> {
        ListedZone::new(Zone::parse(text, origin)?).map_err(ZoneError::Record)
    }

    /// Lists the endpoints of a zone.
    ///
    /// # Errors
    /// As for [`Zone::check`].
    pub fn new(zone: Zone) -> Result<Self, String> {
        let endpoints = zone.check()?;
        Ok(ListedZone { zone, endpoints })
    }
}

/// What the records of one name say of a host.
#[derive(Default)]
struct Host<'a> {
    address: Option<IpAddr>,
    texts: Vec<&'a TXT>,
}

impl Host<'_> {
    fn attribute(&self, field: &str) -> Option<String> {
        let mut items = self
            .texts
            .iter()
            .flat_map(|t| t.txt_data())
            .filter_map(|s| std::str::from_utf8(s).ok()?.split_once('='));
        items
            .find(|(name, _)| name.eq_ignore_ascii_case(field))
            .map(|(_, value)| value.to_string())
    }
}

fn endpoint_entry(
    dest: u16,
    srv: &SRV,
    hosts: &HashMap<&Name, Host<'_>>,
) -> Result<EndpointEntry, String> {
    let name = srv.target();
    let host = hosts.get(name);
    let address = host
        .and_then(|h| h.address)
        .ok_or_else(|| format!("{name}: no address in this zone"))?;
    let told = |field: &str| host.and_then(|h| h.attribute(field));
    let rate = told("rate").map_or(Ok(0.0), |v| v.parse::<f32>());
    let rate = rate.ok().filter(|r| r.is_finite() && *r >= 0.0);
    let host_name = name.to_lowercase().to_utf8();
    Ok(EndpointEntry {
        uid: format!("{dest}/{}:{}", host_name.trim_end_matches('.'), srv.port()),
        address: SocketAddr::new(address, srv.port()),
        zone: told("zone").unwrap_or_default(),
        kind: told("kind").unwrap_or_default(),
        dest,
        condition: match told("state").as_deref() {
            None | Some("active") => Condition::Ready,
            Some("draining") => Condition::Draining,
            Some(other) => return Err(format!("{name} TXT: unknown state '{other}'")),
        },
        rate: rate.ok_or_else(|| format!("{name} TXT: rate is no number"))?,
        started_unix_ms: 0,
    })
}

fn line(r: &Record) -> String {
    let data = match r.data() {
        // The library shows these without their quotes.
        RData::TXT(t) => {
            let quoted = |s: &[u8]| {
                let text = String::from_utf8_lossy(s)
                    .replace('\\', "\\\\")
                    .replace('"', "\\\"");
                format!("\"{text}\"")
            };
            t.txt_data()
                .iter()
                .map(|s| quoted(s))
                .collect::<Vec<_>>()
                .join(" ")
        }
        other => other.to_string(),
    };
    format!("{} {} IN {} {data}", r.name(), r.ttl(), r.record_type())
}
