//! What an agent is told: its site, where its sender stands, and whom it asks.

use crate::agent::register::Without;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use toml::{Table, Value};

/// Between two reports, if the file says nothing: what happened is known to all well within a
/// second.
const REPORT_MS: u64 = 200;
/// Least and most of it. More often costs the keepers more than it tells; more seldom, and a lease
/// of some seconds may lapse.
const REPORTS_MS: (u64, u64) = (20, 2_000);
/// Most keepers.
const KEEPERS: usize = 9;
/// Longest name of a site or zone, in bytes.
const NAME: usize = 64;

/// A fleet's file.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The site.
    pub site: String,
    /// The zone that this sender stands in.
    pub zone: String,
    /// The keepers, by number.
    pub keepers: BTreeMap<u64, SocketAddr>,
    /// Between two reports.
    pub report: Duration,
    /// It follows policies, and does this where it cannot know which is in force; nothing where it
    /// follows none.
    pub policy: Option<Without>,
    /// The same of routing tables.
    pub table: Option<Without>,
}

impl File {
    /// Reads it.
    ///
    /// # Errors
    /// It cannot be read or used; all that is wrong with it is told, each with its setting.
    pub fn read(path: &Path) -> Result<File, String> {
        let text = std::fs::read_to_string(path).map_err(|e| vec![e.to_string()]);
        let read = text.and_then(|text| File::parse(&text));
        read.map_err(|faults| format!("{}: {}", path.display(), faults.join("; ")))
    }

    /// Reads a text.
    ///
    /// # Errors
    /// All that is wrong with it, each with its setting.
    pub fn parse(text: &str) -> Result<File, Vec<String>> {
        let mut table: Table = text
            .parse()
            .map_err(|e: toml::de::Error| vec![e.message().to_string()])?;
        let mut faults = Vec::new();
        let site = name(&mut table, "site", &mut faults);
        let zone = name(&mut table, "zone", &mut faults);
        let keepers = keepers(table.remove("keepers"), &mut faults);
        let report = match table.remove("report_ms") {
            None => REPORT_MS,
            Some(told) => {
                let ms = told.as_integer().and_then(|ms| u64::try_from(ms).ok());
                let (least, most) = REPORTS_MS;
                ms.filter(|ms| (least..=most).contains(ms))
                    .unwrap_or_else(|| {
                        faults.push(format!(
                            "report_ms: {told} is not a number from {least} to {most}"
                        ));
                        REPORT_MS
                    })
            }
        };
        let policy = follows("policy", table.remove("policy"), &mut faults);
        let tables = follows("table", table.remove("table"), &mut faults);
        faults.extend(table.keys().map(|key| format!("{key}: no such setting")));
        match faults.is_empty() {
            true => {
                let report = Duration::from_millis(report);
                Ok(File {
                    site,
                    zone,
                    keepers,
                    report,
                    policy,
                    table: tables,
                })
            }
            false => Err(faults),
        }
    }
}

fn name(table: &mut Table, key: &str, faults: &mut Vec<String>) -> String {
    match table.remove(key) {
        Some(Value::String(text)) if (1..=NAME).contains(&text.len()) => text,
        Some(other) => {
            faults.push(format!(
                "{key}: {other} is not a name of up to {NAME} bytes"
            ));
            String::new()
        }
        None => {
            faults.push(format!("{key}: not set"));
            String::new()
        }
    }
}

/// What the table of that name says of what is followed.
fn follows(name: &str, told: Option<Value>, faults: &mut Vec<String>) -> Option<Without> {
    let mut table = match told? {
        Value::Table(table) => table,
        other => {
            faults.push(format!("{name}: {other} is not a table"));
            return None;
        }
    };
    let without = match table.remove("without_keepers") {
        None => Without::Hold,
        Some(told) => told.clone().try_into().unwrap_or_else(|_| {
            faults.push(format!(
                "{name}.without_keepers: {told} is neither \"hold\" nor \"last\""
            ));
            Without::Hold
        }),
    };
    faults.extend(
        table
            .keys()
            .map(|key| format!("{name}.{key}: no such setting")),
    );
    Some(without)
}

/// In order from 1, or by number.
fn keepers(told: Option<Value>, faults: &mut Vec<String>) -> BTreeMap<u64, SocketAddr> {
    let lines: Vec<(String, Value)> = match told {
        Some(Value::Array(all)) => all
            .into_iter()
            .enumerate()
            .map(|(at, line)| ((at + 1).to_string(), line))
            .collect(),
        Some(Value::Table(all)) => all.into_iter().collect(),
        Some(other) => {
            faults.push(format!(
                "keepers: {other} is neither a list of addresses nor a table of them by number"
            ));
            return BTreeMap::new();
        }
        None => {
            faults.push("keepers: not set".into());
            return BTreeMap::new();
        }
    };
    if lines.is_empty() || lines.len() > KEEPERS {
        faults.push(format!(
            "keepers: {} are not from 1 to {KEEPERS}",
            lines.len()
        ));
    }
    let mut keepers = BTreeMap::new();
    for (number, line) in lines {
        let at = line
            .as_str()
            .and_then(|text| text.parse::<SocketAddr>().ok());
        match (number.parse::<u64>().ok().filter(|n| *n > 0), at) {
            (None, _) => faults.push(format!("keepers.{number}: not a number from 1 on")),
            (_, None) => faults.push(format!(
                "keepers.{number}: {line} is not an address with a port"
            )),
            (_, Some(at)) if at.ip().is_unspecified() || at.port() == 0 => {
                faults.push(format!("keepers.{number}: nobody can be reached at {at}"));
            }
            (_, Some(at)) if keepers.values().any(|other| *other == at) => {
                faults.push(format!("keepers.{number}: {at} is another keeper's"));
            }
            (Some(number), Some(at)) => _ = keepers.insert(number, at),
        }
    }
    keepers
}

#[cfg(test)]
mod tests;
