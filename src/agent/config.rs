//! The fleet file: the site and zone of a sender, the coordination replicas that it connects to,
//! and the documents that it follows.
//!
//! The configuration does not change after it is read. `main` reads it for the agent; the `fleet`
//! commands read it too, but use only the site and the replicas. The keys keep the names in
//! operators' files (`keepers`, `without_keepers`).

use crate::agent::register::OnLeaseLoss;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::{Table, Value};

/// Default interval between two reports (ms): all replicas know of an event well within a second.
const DEFAULT_REPORT_MS: u64 = 200;
/// Minimum and maximum interval between two reports (ms). A shorter interval costs the leader more
/// than the reports are worth; with a longer one a lease of a few seconds may expire.
const MIN_REPORT_MS: u64 = 20;
const MAX_REPORT_MS: u64 = 2_000;
/// Maximum number of replicas.
const MAX_REPLICAS: usize = 9;
/// Maximum length of the name of a site or zone, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Content of a fleet file.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Name of the site.
    pub site: String,
    /// Name of the zone that this sender runs in.
    pub zone: String,
    /// Addresses of the coordination replicas, by number.
    pub replicas: BTreeMap<u64, SocketAddr>,
    /// Interval between two reports.
    pub report_interval: Duration,
    /// Behavior without a lease for policies; `None` where the sender does not follow policies.
    pub policies: Option<OnLeaseLoss>,
    /// Behavior without a lease for routing tables; `None` where the sender does not follow them.
    pub tables: Option<OnLeaseLoss>,
}

/// Reason for which a fleet file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FleetConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The file has invalid settings.
    #[error("{}: {}", path.display(), join(faults))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All faults in the file.
        faults: Vec<SettingFault>,
    },
}

/// A fault of one setting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingFault {
    /// The text is not TOML.
    #[error("{}", .0.message())]
    Syntax(#[source] toml::de::Error),
    /// A required setting is missing.
    #[error("{key}: not set")]
    Missing {
        /// Name of the setting.
        key: &'static str,
    },
    /// The setting does not exist.
    #[error("{key}: no such setting")]
    Unknown {
        /// Name of the setting.
        key: String,
    },
    /// The value of a setting is invalid.
    #[error("{key}: expected {expected}, got {actual}")]
    Invalid {
        /// Name of the setting.
        key: String,
        /// Description of valid values.
        expected: String,
        /// Value in the file.
        actual: String,
    },
}

impl SettingFault {
    fn invalid(
        key: impl Into<String>,
        expected: impl Into<String>,
        actual: impl ToString,
    ) -> SettingFault {
        SettingFault::Invalid {
            key: key.into(),
            expected: expected.into(),
            actual: actual.to_string(),
        }
    }
}

fn join(faults: &[SettingFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

impl FleetConfig {
    /// Reads a file.
    ///
    /// # Errors
    /// The file cannot be read or used. The error lists all faults, each with its setting.
    pub fn read(path: &Path) -> Result<FleetConfig, FleetConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| FleetConfigError::Read {
            path: path.into(),
            source,
        })?;
        FleetConfig::parse(&text).map_err(|faults| FleetConfigError::Invalid {
            path: path.into(),
            faults,
        })
    }

    /// Parses the text of a fleet file.
    ///
    /// # Errors
    /// All faults, each with its setting.
    pub fn parse(text: &str) -> Result<FleetConfig, Vec<SettingFault>> {
        let mut table: Table = text.parse().map_err(|e| vec![SettingFault::Syntax(e)])?;
        let mut faults = Vec::new();
        let config = FleetConfig {
            site: parse_name(&mut table, "site", &mut faults),
            zone: parse_name(&mut table, "zone", &mut faults),
            replicas: parse_replicas(table.remove("keepers"), &mut faults),
            report_interval: parse_report_interval(table.remove("report_ms"), &mut faults),
            policies: parse_followed("policy", table.remove("policy"), &mut faults),
            tables: parse_followed("table", table.remove("table"), &mut faults),
        };
        for key in table.keys().cloned() {
            faults.push(SettingFault::Unknown { key });
        }
        if faults.is_empty() {
            Ok(config)
        } else {
            Err(faults)
        }
    }
}

fn parse_name(table: &mut Table, key: &'static str, faults: &mut Vec<SettingFault>) -> String {
    match table.remove(key) {
        Some(Value::String(text)) if (1..=MAX_NAME_BYTES).contains(&text.len()) => return text,
        Some(other) => faults.push(SettingFault::invalid(
            key,
            format!("a name of up to {MAX_NAME_BYTES} bytes"),
            other,
        )),
        None => faults.push(SettingFault::Missing { key }),
    }
    String::new()
}

fn parse_report_interval(value: Option<Value>, faults: &mut Vec<SettingFault>) -> Duration {
    let default = Duration::from_millis(DEFAULT_REPORT_MS);
    let Some(value) = value else {
        return default;
    };
    match value.as_integer().map(u64::try_from) {
        Some(Ok(ms)) if (MIN_REPORT_MS..=MAX_REPORT_MS).contains(&ms) => Duration::from_millis(ms),
        _ => {
            faults.push(SettingFault::invalid(
                "report_ms",
                format!("a number from {MIN_REPORT_MS} to {MAX_REPORT_MS}"),
                value,
            ));
            default
        }
    }
}

/// Parses the table `policy` or `table`; `None` where it is missing.
fn parse_followed(
    name: &str,
    value: Option<Value>,
    faults: &mut Vec<SettingFault>,
) -> Option<OnLeaseLoss> {
    let mut table = match value? {
        Value::Table(table) => table,
        other => {
            faults.push(SettingFault::invalid(name, "a table", other));
            return None;
        }
    };
    let mut on_lease_loss = OnLeaseLoss::StopAccepting;
    if let Some(value) = table.remove("without_keepers") {
        match value.clone().try_into() {
            Ok(known) => on_lease_loss = known,
            Err(_) => faults.push(SettingFault::invalid(
                format!("{name}.without_keepers"),
                "\"hold\" or \"last\"",
                value,
            )),
        }
    }
    for key in table.keys() {
        let key = format!("{name}.{key}");
        faults.push(SettingFault::Unknown { key });
    }
    Some(on_lease_loss)
}

/// Parses the replicas: a list that is numbered from 1, or a table by number.
fn parse_replicas(
    value: Option<Value>,
    faults: &mut Vec<SettingFault>,
) -> BTreeMap<u64, SocketAddr> {
    let by_number: Vec<(String, Value)> = match value {
        Some(Value::Array(addresses)) => (1..)
            .map(|number: u64| number.to_string())
            .zip(addresses)
            .collect(),
        Some(Value::Table(addresses)) => addresses.into_iter().collect(),
        Some(other) => {
            let expected = "a list of addresses, or a table of addresses by number";
            faults.push(SettingFault::invalid("keepers", expected, other));
            return BTreeMap::new();
        }
        None => {
            faults.push(SettingFault::Missing { key: "keepers" });
            return BTreeMap::new();
        }
    };
    if by_number.is_empty() || by_number.len() > MAX_REPLICAS {
        let expected = format!("from 1 to {MAX_REPLICAS} keepers");
        faults.push(SettingFault::invalid("keepers", expected, by_number.len()));
    }
    let mut replicas = BTreeMap::new();
    for (number, address) in by_number {
        match parse_replica(&number, &address, &replicas) {
            Ok((number, address)) => _ = replicas.insert(number, address),
            Err(expected) => {
                let key = format!("keepers.{number}");
                faults.push(SettingFault::invalid(key, expected, address));
            }
        }
    }
    replicas
}

/// Parses the number and the address of a replica; `others` are the previous replicas.
///
/// # Errors
/// Description of the expected value.
fn parse_replica(
    number: &str,
    address: &Value,
    others: &BTreeMap<u64, SocketAddr>,
) -> Result<(u64, SocketAddr), &'static str> {
    let Some(number) = number.parse().ok().filter(|number| *number > 0) else {
        return Err("a key that is a number of at least 1");
    };
    let address = address.as_str().and_then(|text| text.parse().ok());
    let address: SocketAddr = address.ok_or("an address with a port")?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err("an address that is not unspecified, with a port other than 0");
    }
    if others.values().any(|other| *other == address) {
        return Err("an address that no other keeper has");
    }
    Ok((number, address))
}

#[cfg(test)]
mod tests;
