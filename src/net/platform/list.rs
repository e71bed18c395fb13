//! The platform's form of the directory's list.

use crate::core::directory::{Entry, News};
use crate::Condition;
use serde::Deserialize;

#[derive(Deserialize)]
struct Hosts {
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: std::net::SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    pod_group: u16,
    state: String,
    #[serde(default)]
    capacity_hint: f32,
}

/// Reads one object of the list.
pub fn read(text: &[u8]) -> Result<News, String> {
    let hosts: Hosts = serde_json::from_slice(text).map_err(|e| format!("list: {e}"))?;
    let entries = hosts.targets.into_iter().map(|t| Entry {
        uid: t.uid,
        address: t.endpoint,
        zone: t.az,
        kind: t.model,
        dest: t.pod_group,
        condition: match t.state.as_str() {
            "active" => Condition::Ready,
            "left" => Condition::Gone,
            // What is not known to want calls gets none.
            _ => Condition::Draining,
        },
        rate: t.capacity_hint,
    });
    Ok(News { rev: hosts.rev, whole: hosts.all, entries: entries.collect() })
}
