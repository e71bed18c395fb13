//! Checks of a file's values. All faults are collected; each names its key, the value found and the
//! value expected.

use super::error::ConfigFault;
use super::file::{ConfigFile, FederationFile, PeerEntry, SiteEntry};
use crate::coordination::leader::LeaderRules;
use crate::coordination::routing_table::federation::MAX_SITES;
use crate::coordination::routing_table::member::settings::{
    is_valid_name, MAX_ADDRESSES_PER_SITE, MAX_NAME_BYTES,
};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Disk space of a folder, in megabytes: with the least, each of sixteen segments can hold the
/// longest snapshot.
const DISK_MB: RangeInclusive<u64> = 20..=4096;
/// Length of a tick, in milliseconds: shorter ticks are within the delays of a busy machine; longer
/// ones leave a site without a leader for more than two seconds.
const TICK_MS: RangeInclusive<u64> = 10..=100;
/// Most replicas that a file may name: more of them only make every commit slower.
const MAX_REPLICAS: usize = 9;

/// Length of a tick in the federation, in milliseconds. An election takes 10 to 20 ticks, so the
/// shortest one tolerates round trips of some 100 ms, and with the longest one the loss of the
/// leading site takes up to 10 s to repair.
const FEDERATION_TICK_MS: RangeInclusive<u32> = 20..=500;
/// Lease of a site, in seconds.
const LEASE_S: RangeInclusive<u32> = 5..=3_600;
/// Longest fence time, in seconds; the shortest one is derived from the rules.
const MAX_FENCE_S: u32 = 3_600;
/// Time that a stop of admission takes to become effective in addition to the leases of senders, in
/// milliseconds.
const FENCE_MARGIN_MS: u32 = 2_000;

const NUMBERS_BEGIN: &str = "numbers begin at 1";
const NAMED_TWICE: &str = "named twice";
const UNREACHABLE: &str = "nothing can be reached at this address";

/// Returns all faults of a file.
pub(super) fn faults(file: &ConfigFile) -> Vec<ConfigFault> {
    let mut faults = FaultList::default();
    check_replica(file, &mut faults);
    for (n, peer) in file.peers.iter().enumerate() {
        check_peer(file, n, peer, &mut faults);
    }
    let voters = file.peers.len() + 1;
    faults.require(
        !file.begin || voters % 2 == 1,
        "begin",
        format!("{voters} keepers"),
        "the first start needs an odd number, since one keeper more tolerates no more failures",
    );
    if let Some(federation) = &file.federation {
        faults.prefix = "federation.";
        check_federation(file, federation, &mut faults);
        for (n, site) in federation.sites.iter().enumerate() {
            check_site(file, federation, n, site, &mut faults);
        }
    }
    faults.list
}

/// Faults that were found, in the order of the checks.
#[derive(Default)]
struct FaultList {
    /// Prefix of each key.
    prefix: &'static str,
    list: Vec<ConfigFault>,
}

impl FaultList {
    /// Adds a fault with the value found, unless the condition holds.
    fn require(
        &mut self,
        holds: bool,
        key: impl Display,
        found: impl Display,
        expected: impl Display,
    ) {
        if !holds {
            self.push(key, Some(found.to_string()), expected);
        }
    }

    /// Adds a fault without a value, unless the condition holds.
    fn require_key(&mut self, holds: bool, key: impl Display, expected: impl Display) {
        if !holds {
            self.push(key, None, expected);
        }
    }

    fn require_name(&mut self, key: impl Display, name: &str) {
        let expected = format!("a name has 1 to {MAX_NAME_BYTES} letters, digits, -, _ or .");
        self.require(is_valid_name(name), key, format!("{name:?}"), expected);
    }

    fn require_in<T: Display + PartialOrd>(
        &mut self,
        range: &RangeInclusive<T>,
        key: impl Display,
        found: T,
    ) {
        let expected = format!("has to be from {} to {}", range.start(), range.end());
        self.require(range.contains(&found), key, found, expected);
    }

    fn push(&mut self, key: impl Display, found: Option<String>, expected: impl Display) {
        self.list.push(ConfigFault::Invalid {
            key: format!("{}{key}", self.prefix),
            found,
            expected: expected.to_string(),
        });
    }
}

fn check_replica(file: &ConfigFile, faults: &mut FaultList) {
    faults.require_name("site", &file.site);
    faults.require(file.replica != 0, "keeper", 0, NUMBERS_BEGIN);
    faults.require(
        !file.listen.ip().is_unspecified(),
        "listen",
        file.listen,
        "a keeper has to listen on one address, not on all",
    );
    let has_folder = !file.folder.as_os_str().is_empty();
    faults.require_key(has_folder, "state", "a folder has to be set");
    faults.require_in(&DISK_MB, "disk_mb", file.disk_mb);
    faults.require_in(&TICK_MS, "tick_ms", file.tick_ms);
    faults.require_key(
        file.peers.len() < MAX_REPLICAS,
        "peer",
        format!(
            "{} entries, at most {} are allowed",
            file.peers.len(),
            MAX_REPLICAS - 1
        ),
    );
    faults.require_key(
        !file.agents.is_empty(),
        "agents",
        "without an address no agent or operator may connect",
    );
}

fn check_peer(file: &ConfigFile, n: usize, peer: &PeerEntry, faults: &mut FaultList) {
    let PeerEntry { replica, address } = peer;
    let before = &file.peers[..n];
    let key = format!("peer[{n}].keeper");
    faults.require(*replica != 0, &key, replica, NUMBERS_BEGIN);
    faults.require(
        *replica != file.replica,
        &key,
        replica,
        "this is the number of the keeper itself",
    );
    let is_new = before.iter().all(|p| p.replica != *replica);
    faults.require(is_new, &key, replica, NAMED_TWICE);
    let key = format!("peer[{n}].at");
    let is_own = *address == file.listen && address.port() != 0;
    let is_new = before.iter().all(|p| p.address != *address) && !is_own;
    faults.require(is_new, &key, address, NAMED_TWICE);
    faults.require(is_reachable(address), &key, address, UNREACHABLE);
}

fn is_reachable(address: &SocketAddr) -> bool {
    !address.ip().is_unspecified() && address.port() != 0
}

fn check_federation(file: &ConfigFile, federation: &FederationFile, faults: &mut FaultList) {
    let number = federation.number;
    faults.require_name("name", &federation.name);
    faults.require(number != 0, "number", number, NUMBERS_BEGIN);
    faults.require(
        federation.formerly != Some(number),
        "formerly",
        number,
        "this is the current number of the site",
    );
    faults.require_key(
        !federation.begin || federation.formerly.is_none(),
        "formerly",
        "a site cannot have had another number in a federation that starts for the first time",
    );
    faults.require_in(&LEASE_S, "lease_s", federation.lease_s);
    let least = least_fence_s(&file.rules);
    faults.require(
        (least..=MAX_FENCE_S).contains(&federation.fence_s),
        "fence_s",
        federation.fence_s,
        format!(
            "has to be from {least} to {MAX_FENCE_S}, as rules.lease_ms is {}",
            file.rules.lease_ms
        ),
    );
    faults.require_in(&FEDERATION_TICK_MS, "tick_ms", federation.tick_ms);
    let max_sites = MAX_SITES - 1;
    faults.require_key(
        federation.sites.len() <= max_sites,
        "site",
        format!(
            "{} entries, at most {max_sites} are allowed",
            federation.sites.len()
        ),
    );
}

/// Returns the shortest fence time, in seconds. Senders whose replicas were cut off from each other
/// when admission was to stop continue for the length of their lease, by a clock that may be two
/// percent slow.
fn least_fence_s(rules: &LeaderRules) -> u32 {
    let lease_ms =
        (rules.lease_ms.saturating_add(rules.heartbeat_valid_ms) / 100).saturating_mul(102);
    lease_ms
        .saturating_add(rules.heartbeat_interval_ms)
        .saturating_add(FENCE_MARGIN_MS)
        .div_ceil(1_000)
}

fn check_site(
    file: &ConfigFile,
    federation: &FederationFile,
    n: usize,
    site: &SiteEntry,
    faults: &mut FaultList,
) {
    let SiteEntry {
        number,
        name,
        addresses,
    } = site;
    let before = &federation.sites[..n];
    let key = format!("site[{n}].number");
    faults.require(*number != 0, &key, number, NUMBERS_BEGIN);
    faults.require(
        *number != federation.number,
        &key,
        number,
        "this is the number of the site itself",
    );
    let is_new = before.iter().all(|s| s.number != *number);
    faults.require(is_new, &key, number, NAMED_TWICE);
    let key = format!("site[{n}].name");
    faults.require_name(&key, name);
    let is_new = before.iter().all(|s| s.name != *name) && *name != file.site;
    faults.require(is_new, &key, name, NAMED_TWICE);
    faults.require_key(
        (1..=MAX_ADDRESSES_PER_SITE).contains(&addresses.len()),
        format!("site[{n}].at"),
        format!(
            "{} addresses, 1 to {MAX_ADDRESSES_PER_SITE} are allowed",
            addresses.len()
        ),
    );
    for (m, address) in addresses.iter().enumerate() {
        let key = format!("site[{n}].at[{m}]");
        faults.require(is_reachable(address), &key, address, UNREACHABLE);
        let own = file.peers.iter().map(|p| p.address).chain([file.listen]);
        let others = before.iter().flat_map(|s| s.addresses.iter().copied());
        let is_new =
            !others.chain(own).any(|other| other == *address) && !addresses[..m].contains(address);
        faults.require(is_new, &key, address, NAMED_TWICE);
    }
}
