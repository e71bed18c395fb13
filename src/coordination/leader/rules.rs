//! Settings of a leader: `[rules]` of the replica's configuration file, with their permitted
//! ranges.
//!
//! The keys keep the spelling of existing configuration files; where a field has a clearer name
//! here, `serde(rename)` gives the key.

use crate::coordination::record::MAX_SENDERS;
use crate::coordination::zones::ZoneRules;
use serde::Deserialize;

/// Settings of a leader. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaderRules {
    /// Time for which a sender's session lasts without a message from the sender.
    pub lease_ms: u32,
    /// Time between two heartbeats. A leader proves by its heartbeats that it still leads.
    #[serde(rename = "beat_ms")]
    pub heartbeat_interval_ms: u32,
    /// Time for which an applied heartbeat permits the leader to renew leases, from when the
    /// heartbeat was proposed: two heartbeat intervals and a write to a slow disk.
    #[serde(rename = "sure_ms")]
    pub heartbeat_valid_ms: u32,
    /// Maximum number of senders with a session.
    #[serde(rename = "most_senders")]
    pub max_senders: usize,
    /// Settings by which zones are judged.
    pub zones: ZoneRules,
}

impl Default for LeaderRules {
    fn default() -> Self {
        LeaderRules {
            lease_ms: 3_000,
            heartbeat_interval_ms: 500,
            heartbeat_valid_ms: 1_500,
            max_senders: MAX_SENDERS,
            zones: ZoneRules::default(),
        }
    }
}

impl LeaderRules {
    /// Returns one error text for each setting that is out of its range; the text names the setting
    /// by its key. Empty if all are valid.
    pub fn faults(&self) -> Vec<String> {
        let LeaderRules {
            lease_ms,
            heartbeat_interval_ms,
            heartbeat_valid_ms,
            max_senders,
            zones,
        } = self;
        let mut faults = Vec::new();
        if !(500..=60_000).contains(lease_ms) {
            faults.push(format!(
                "rules.lease_ms: {lease_ms} is not from 500 to 60000"
            ));
        }
        if !(100..=10_000).contains(heartbeat_interval_ms) {
            faults.push(format!(
                "rules.beat_ms: {heartbeat_interval_ms} is not from 100 to 10000"
            ));
        }
        let two_heartbeats = heartbeat_interval_ms.saturating_mul(2);
        if !(two_heartbeats..=60_000).contains(heartbeat_valid_ms) {
            faults.push(format!(
                "rules.sure_ms: {heartbeat_valid_ms} is not from twice beat_ms to 60000"
            ));
        }
        if !(1..=MAX_SENDERS).contains(max_senders) {
            faults.push(format!(
                "rules.most_senders: {max_senders} is not from 1 to {MAX_SENDERS}"
            ));
        }
        faults.extend(zones.faults());
        faults
    }
}

#[cfg(test)]
mod tests;
