//! What the platform tells a sender at its start.

use super::list;
use crate::core::directory::News;
use crate::settings::{self, Deployment};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The platform's configuration.
#[derive(Debug)]
pub struct Config {
    /// Name of this sender.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The directory, which also takes notices.
    pub discovery: SocketAddr,
    /// The folder that lasts.
    pub state: PathBuf,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes that the folder may hold.
    pub disk: u64,
    /// The list as this sender last had it.
    pub known: Option<News>,
    /// Settings of module and deployment.
    pub deployment: Deployment,
    /// Names of the values in a load report.
    pub columns: Vec<String>,
}

impl Config {
    /// Reads the file that `NODE_CONFIG` names; other variables go before what it says.
    pub fn from_env(var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = var("NODE_CONFIG").ok_or("NODE_CONFIG: not set")?;
        let text = std::fs::read(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
        let json: Value = serde_json::from_slice(&text).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
        Config::read(&json, var)
    }

    fn read(json: &Value, var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let word = |variable: &str, field: &str| {
            let told = json.get(field).and_then(Value::as_str).map(str::to_string);
            var(variable).or(told).ok_or_else(|| format!("{field}: not set"))
        };
        let address = |variable: &str, field: &str| {
            let text = word(variable, field)?;
            text.parse::<SocketAddr>().map_err(|_| format!("{field}: '{text}' is not an address with a port"))
        };
        let limit = |name: &str, absent: f64| match json.pointer(&format!("/limits/{name}")) {
            None => Ok(absent),
            Some(v) => v.as_f64().filter(|v| *v > 0.0).ok_or_else(|| format!("limits.{name}: '{v}'")),
        };
        let known = json.get("known").filter(|k| !k.is_null());
        let deployment = settings::from_json(json.get("settings").ok_or("settings: not set")?)?;
        let columns = json.pointer("/settings/stats/columns").and_then(Value::as_array);
        Ok(Config {
            name: word("NODE_NAME", "name")?,
            listen: address("NODE_LISTEN", "listen")?,
            discovery: address("NODE_DISCOVERY", "discovery")?,
            state: word("NODE_STATE", "state")?.into(),
            seed: seed(json.get("seed")).ok_or("seed: not a hexadecimal number")?,
            sockets: limit("sockets", 1024.0)? as usize,
            disk: (limit("disk_mb", 3.0)? * 1e6) as u64,
            known: known
                .map(|k| list::read(k.to_string().as_bytes()))
                .transpose()
                .map_err(|e| format!("known: {e}"))?,
            deployment,
            columns: columns.into_iter().flatten().filter_map(|c| c.as_str().map(str::to_string)).collect(),
        })
    }
}

fn seed(value: Option<&Value>) -> Option<u64> {
    match value {
        None => Some(1),
        Some(Value::String(hex)) => u64::from_str_radix(hex, 16).ok(),
        Some(number) => number.as_u64(),
    }
}
