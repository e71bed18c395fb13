//! The settings that a leader goes by, and what is wrong with them.

use crate::coordination::record::MOST_SENDERS;
use crate::coordination::zones;
use serde::Deserialize;

/// What the leader is to go by; from the keeper's file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// A session holds for so long without a word, in milliseconds.
    pub lease_ms: u32,
    /// A leader shows the record that it is in office this often, in milliseconds.
    pub beat_ms: u32,
    /// It renews leases for so long after a beat that the record has, in milliseconds: two beats
    /// and a slow disk.
    pub sure_ms: u32,
    /// Senders with a session, at the most.
    pub most_senders: usize,
    /// What zones are judged by.
    pub zones: zones::Rules,
}

impl Default for Rules {
    fn default() -> Self {
        let zones = zones::Rules::default();
        Rules {
            lease_ms: 3_000,
            beat_ms: 500,
            sure_ms: 1_500,
            most_senders: MOST_SENDERS,
            zones,
        }
    }
}

impl Rules {
    /// All that is wrong with them; empty where they can be worked by.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if !(500..=60_000).contains(&self.lease_ms) {
            faults.push(format!(
                "rules.lease_ms: {} is not from 500 to 60000",
                self.lease_ms
            ));
        }
        if !(100..=10_000).contains(&self.beat_ms) {
            faults.push(format!(
                "rules.beat_ms: {} is not from 100 to 10000",
                self.beat_ms
            ));
        }
        if self.sure_ms < self.beat_ms.saturating_mul(2) || self.sure_ms > 60_000 {
            faults.push(format!(
                "rules.sure_ms: {} is not from two beats to 60000",
                self.sure_ms
            ));
        }
        if !(1..=MOST_SENDERS).contains(&self.most_senders) {
            let most = self.most_senders;
            faults.push(format!(
                "rules.most_senders: {most} is not from 1 to {MOST_SENDERS}"
            ));
        }
        faults.extend(self.zones.faults());
        faults
    }
}
