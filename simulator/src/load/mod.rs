//! The same day over sockets: real programs, stand-ins for partners and the directory, clients that
//! do not wait for answers before they hand the next message in.

pub mod clients;
pub mod directory;
pub mod partners;
pub mod program;

use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// What clients and partners speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Front {
    /// The platform's protocol over HTTP/1.1.
    Http,
    /// MQTT 5.
    Mqtt,
}

/// Nanoseconds since 1970, the same in all processes of a machine.
pub fn unix() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_nanos() as u64)
}

/// Half, 90, 99, 99.9 and 99.99 in a hundred are no longer than these, in milliseconds.
pub fn quantiles(times: &hdrhistogram::Histogram<u64>) -> [f64; 5] {
    [0.5, 0.9, 0.99, 0.999, 0.9999].map(|q| times.value_at_quantile(q) as f64 / 1e6)
}
