//! The file of a keeper. All its faults are told at the start, each by the name of its field.

use crate::coordination::leader::LeaderRules;
use crate::coordination::routing_table::federation::MAX_SITES;
use crate::coordination::routing_table::member::settings::{
    is_valid_name, MemberSettings, SiteAddress, MAX_ADDRESSES_PER_SITE, MAX_NAME_BYTES,
};
use ipnet::IpNet;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Least and most megabytes: of the least, sixteen segments hold a snapshot of the longest kind
/// each.
const DISK_MB: (u64, u64) = (20, 4096);
/// Shortest and longest tick: shorter ones are less than what a busy machine loses, longer ones
/// leave a site without a leader for more than two seconds.
const TICK_MS: (u64, u64) = (10, 100);
/// Keepers that a file may name: more of them only make every word slower.
const KEEPERS: usize = 9;

/// Length of a tick in the federation, in milliseconds: an election takes 10 to 20 of them, so the
/// shortest one bears lines of some 100 ms there and back, and with the longest one a site that led
/// is missed for 10 s.
const FEDERATION_TICK_MS: (u32, u32) = (20, 500);
/// Shortest and longest lease of a site, in seconds.
const LEASE_S: (u32, u32) = (5, 3_600);
/// Longest fence, in seconds; the shortest one is derived.
const FENCE_S: u32 = 3_600;
/// What a hold takes to come into force beyond what the leases of senders say, in milliseconds.
const FENCE_MORE_MS: u32 = 2_000;

/// Another keeper.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Peer {
    keeper: u64,
    at: SocketAddr,
}

/// The file, as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    site: String,
    keeper: u64,
    listen: SocketAddr,
    state: PathBuf,
    #[serde(default = "disk_mb")]
    disk_mb: u64,
    #[serde(default)]
    begin: bool,
    #[serde(default = "tick_ms")]
    tick_ms: u64,
    #[serde(default)]
    peer: Vec<Peer>,
    agents: Vec<IpNet>,
    #[serde(default)]
    rules: LeaderRules,
    federation: Option<FederationFile>,
}

/// What a site does when its lease in the federation is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Without {
    /// It takes nothing new on.
    #[default]
    Hold,
    /// It goes on by its last table.
    Last,
}

/// The federation that a site is in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FederationFile {
    name: String,
    number: u64,
    #[serde(default)]
    begin: bool,
    formerly: Option<u64>,
    #[serde(default)]
    without: Without,
    #[serde(default = "lease_s")]
    lease_s: u32,
    #[serde(default = "fence_s")]
    fence_s: u32,
    #[serde(default = "federation_tick_ms")]
    tick_ms: u32,
    #[serde(default)]
    site: Vec<SiteFile>,
}

/// Another site of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SiteFile {
    number: u64,
    name: String,
    at: Vec<SocketAddr>,
}

fn lease_s() -> u32 {
    10
}

fn fence_s() -> u32 {
    15
}

fn federation_tick_ms() -> u32 {
    150
}

fn disk_mb() -> u64 {
    64
}

fn tick_ms() -> u64 {
    50
}

/// What a keeper is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// The site that it belongs to.
    pub site: String,
    /// Its number; never given twice in a site.
    pub keeper: u64,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its folder.
    pub state: PathBuf,
    /// Bytes that the folder may hold.
    pub disk: u64,
    /// The site starts for the first time, with this keeper and all peers: only then may an empty
    /// folder vote.
    pub begin: bool,
    /// Length of a tick, in milliseconds.
    pub tick_ms: u64,
    /// The other keepers, by number, and where they are reached.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Addresses that agents and persons may speak from.
    pub agents: Vec<IpNet>,
    /// What the leader goes by.
    pub rules: LeaderRules,
    /// The federation that the site is in.
    pub federation: Option<MemberSettings>,
}

impl Config {
    /// Reads a file's text. Gives all that is wrong, a line each.
    pub fn from_toml(text: &str) -> Result<Config, Vec<String>> {
        let read = toml::Deserializer::parse(text).map_err(|e| vec![e.to_string()])?;
        let file: File = serde_path_to_error::deserialize(read).map_err(|e| {
            let (path, inner) = (e.path().to_string(), e.inner().to_string());
            vec![format!("{path}: {inner}")]
        })?;
        let faults = file.faults();
        if !faults.is_empty() {
            return Err(faults);
        }
        let federation = file.federation.map(|f| MemberSettings {
            federation: f.name.into(),
            site_number: f.number,
            site_name: file.site.clone(),
            bootstrap: f.begin,
            former_number: f.formerly,
            other_sites: f
                .site
                .into_iter()
                .map(|s| {
                    (
                        s.number,
                        SiteAddress {
                            name: s.name,
                            addresses: s.at,
                        },
                    )
                })
                .collect(),
            lease_ms: f.lease_s * 1_000,
            fence_ms: f.fence_s * 1_000,
            tick_ms: f.tick_ms,
            holds_after_lease: f.without == Without::Hold,
        });
        Ok(Config {
            federation,
            site: file.site,
            keeper: file.keeper,
            listen: file.listen,
            state: file.state,
            disk: file.disk_mb * 1024 * 1024,
            begin: file.begin,
            tick_ms: file.tick_ms,
            peers: file.peer.iter().map(|p| (p.keeper, p.at)).collect(),
            agents: file.agents,
            rules: file.rules,
        })
    }

    /// Whether an agent or a person may speak from there.
    pub fn may_ask(&self, from: IpAddr) -> bool {
        self.agents
            .iter()
            .any(|net| net.contains(&from.to_canonical()))
    }
}

impl File {
    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut fault = |wrong: bool, told: String| faults.extend(wrong.then_some(told));
        fault(
            !is_valid_name(&self.site),
            format!("site: {}", no_name(&self.site)),
        );
        fault(self.keeper == 0, "keeper: 0: numbers begin at 1".into());
        let any = self.listen.ip().is_unspecified();
        fault(
            any,
            format!(
                "listen: {}: a keeper listens on one address, never on all",
                self.listen
            ),
        );
        fault(
            self.state.as_os_str().is_empty(),
            "state: a folder is needed".into(),
        );
        let (least, most) = DISK_MB;
        let fits = (least..=most).contains(&self.disk_mb);
        fault(
            !fits,
            format!("disk_mb: {}: {least} to {most} may be", self.disk_mb),
        );
        let (least, most) = TICK_MS;
        let fits = (least..=most).contains(&self.tick_ms);
        fault(
            !fits,
            format!("tick_ms: {}: {least} to {most} may be", self.tick_ms),
        );
        fault(
            self.peer.len() >= KEEPERS,
            format!("peer: {} of them, {} may be", self.peer.len(), KEEPERS - 1),
        );
        fault(
            self.agents.is_empty(),
            "agents: without an address nobody may speak".into(),
        );
        for (n, peer) in self.peer.iter().enumerate() {
            let Peer { keeper, at } = peer;
            fault(
                *keeper == 0,
                format!("peer[{n}].keeper: 0: numbers begin at 1"),
            );
            fault(
                *keeper == self.keeper,
                format!("peer[{n}].keeper: {keeper}: that is this keeper"),
            );
            let twice = self.peer[..n].iter().any(|p| p.keeper == *keeper);
            fault(twice, format!("peer[{n}].keeper: {keeper}: named twice"));
            let taken = self.peer[..n].iter().any(|p| p.at == *at)
                || (*at == self.listen && at.port() != 0);
            fault(taken, format!("peer[{n}].at: {at}: named twice"));
            let nowhere = at.ip().is_unspecified() || at.port() == 0;
            fault(
                nowhere,
                format!("peer[{n}].at: {at}: nobody can be reached there"),
            );
        }
        let voters = self.peer.len() + 1;
        fault(
            self.begin && voters % 2 == 0,
            format!("begin: {voters} keepers: an odd number begins, since one more bears no more losses"),
        );
        if let Some(federation) = &self.federation {
            faults.extend(federation.faults(self));
        }
        faults
    }
}

fn no_name(name: &str) -> String {
    format!("{name:?}: 1 to {MAX_NAME_BYTES} letters, digits, -, _ or . are a name")
}

impl FederationFile {
    fn faults(&self, file: &File) -> Vec<String> {
        let mut faults = Vec::new();
        let mut fault =
            |wrong: bool, told: String| faults.extend(wrong.then(|| format!("federation.{told}")));
        fault(
            !is_valid_name(&self.name),
            format!("name: {}", no_name(&self.name)),
        );
        fault(self.number == 0, "number: 0: numbers begin at 1".into());
        fault(
            self.formerly == Some(self.number),
            format!("formerly: {}: that is its number now", self.number),
        );
        let both = self.begin && self.formerly.is_some();
        fault(
            both,
            "formerly: a federation that begins has had no site before".into(),
        );
        let (least, most) = LEASE_S;
        let fits = (least..=most).contains(&self.lease_s);
        fault(
            !fits,
            format!("lease_s: {}: {least} to {most} may be", self.lease_s),
        );
        // Senders whose keepers were cut off from each other when the hold was due go on for so
        // long.
        let rules = &file.rules;
        let least =
            (rules.lease_ms.saturating_add(rules.heartbeat_valid_ms) / 100).saturating_mul(102);
        let least = least
            .saturating_add(rules.heartbeat_interval_ms)
            .saturating_add(FENCE_MORE_MS)
            .div_ceil(1_000);
        let fits = (least..=FENCE_S).contains(&self.fence_s);
        let told = format!(
            "fence_s: {}: {least} to {FENCE_S} may be, as rules.lease_ms is {}",
            self.fence_s, rules.lease_ms
        );
        fault(!fits, told);
        let (least, most) = FEDERATION_TICK_MS;
        let fits = (least..=most).contains(&self.tick_ms);
        fault(
            !fits,
            format!("tick_ms: {}: {least} to {most} may be", self.tick_ms),
        );
        let most = MAX_SITES - 1;
        fault(
            self.site.len() > most,
            format!("site: {} of them, {most} may be", self.site.len()),
        );
        for (n, site) in self.site.iter().enumerate() {
            let SiteFile { number, name, at } = site;
            let before = &self.site[..n];
            fault(
                *number == 0,
                format!("site[{n}].number: 0: numbers begin at 1"),
            );
            fault(
                *number == self.number,
                format!("site[{n}].number: {number}: that is this site"),
            );
            let twice = before.iter().any(|s| s.number == *number);
            fault(twice, format!("site[{n}].number: {number}: named twice"));
            fault(
                !is_valid_name(name),
                format!("site[{n}].name: {}", no_name(name)),
            );
            let twice = before.iter().any(|s| s.name == *name) || *name == file.site;
            fault(twice, format!("site[{n}].name: {name}: named twice"));
            let many = !(1..=MAX_ADDRESSES_PER_SITE).contains(&at.len());
            fault(
                many,
                format!(
                    "site[{n}].at: {} addresses, 1 to {MAX_ADDRESSES_PER_SITE} may be",
                    at.len()
                ),
            );
            for (m, at) in at.iter().enumerate() {
                let nowhere = at.ip().is_unspecified() || at.port() == 0;
                fault(
                    nowhere,
                    format!("site[{n}].at[{m}]: {at}: nobody can be reached there"),
                );
                let own = file.peer.iter().map(|p| p.at).chain([file.listen]);
                let taken = before
                    .iter()
                    .flat_map(|s| s.at.iter().copied())
                    .chain(own)
                    .any(|other| other == *at);
                fault(
                    taken || site.at[..m].contains(at),
                    format!("site[{n}].at[{m}]: {at}: named twice"),
                );
            }
        }
        faults
    }
}

#[cfg(test)]
mod tests;
