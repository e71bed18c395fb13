//! Configuration file of a replica (`keeper.toml`).
//!
//! This module owns the keys of the file and their checks. All faults of a file are reported at
//! once, each with its key. The module opens the file and nothing else: [`super::replica`] starts
//! from the [`Config`], the `keeper` command loads it. The rules of the leader (`[rules]`) are
//! described in [`super::leader`], the settings of a federation in
//! [`super::routing_table::member`].

mod error;
mod file;
mod validate;

pub use error::{ConfigError, ConfigFault};

use crate::coordination::leader::LeaderRules;
use crate::coordination::routing_table::member::settings::{MemberSettings, SiteAddress};
use file::{ConfigFile, FederationFile, OnLeaseLoss};
use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Site that the replica belongs to.
    pub site: String,
    /// Number of the replica; a site never uses a number twice.
    pub replica: u64,
    /// Address that the replica listens on.
    pub listen: SocketAddr,
    /// Folder of the replica.
    pub folder: PathBuf,
    /// Bytes that the folder may hold.
    pub disk_bytes: u64,
    /// Whether the site starts for the first time, with this replica and all peers: only then may a
    /// replica with an empty folder vote.
    pub begin: bool,
    /// Length of a tick, in milliseconds.
    pub tick_ms: u64,
    /// Addresses of the other replicas, by number.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Networks that agents and operators may connect from.
    pub agents: Vec<IpNet>,
    /// Rules of the leader.
    pub rules: LeaderRules,
    /// Federation that the site belongs to.
    pub federation: Option<MemberSettings>,
}

impl Config {
    /// Loads a file.
    ///
    /// # Errors
    /// All faults of the file.
    pub fn load(path: &Path) -> Result<Config, Vec<ConfigError>> {
        let config = match std::fs::read_to_string(path) {
            Ok(text) => Config::from_toml(&text),
            Err(e) => Err(vec![ConfigFault::Unreadable(e)]),
        };
        config.map_err(|faults| {
            let in_file = |fault| ConfigError {
                file: path.to_path_buf(),
                fault,
            };
            faults.into_iter().map(in_file).collect()
        })
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    /// All faults of the text. A key of a wrong type hides the faults of the others.
    pub fn from_toml(text: &str) -> Result<Config, Vec<ConfigFault>> {
        let file = parse(text).map_err(|fault| vec![fault])?;
        let faults = validate::faults(&file);
        if !faults.is_empty() {
            return Err(faults);
        }
        let federation = file.federation.map(|f| federation_settings(f, &file.site));
        Ok(Config {
            federation,
            site: file.site,
            replica: file.replica,
            listen: file.listen,
            folder: file.folder,
            disk_bytes: file.disk_mb * 1024 * 1024,
            begin: file.begin,
            tick_ms: file.tick_ms,
            peers: file.peers.iter().map(|p| (p.replica, p.address)).collect(),
            agents: file.agents,
            rules: file.rules,
        })
    }

    /// Returns whether an agent or an operator may connect from this address.
    pub fn may_connect(&self, from: IpAddr) -> bool {
        let from = from.to_canonical();
        self.agents.iter().any(|network| network.contains(&from))
    }
}

fn parse(text: &str) -> Result<ConfigFile, ConfigFault> {
    let toml = toml::Deserializer::parse(text).map_err(ConfigFault::Syntax)?;
    serde_path_to_error::deserialize(toml).map_err(|e| ConfigFault::Type {
        key: e.path().to_string(),
        source: e.into_inner(),
    })
}

fn federation_settings(file: FederationFile, site: &str) -> MemberSettings {
    let sites = file.sites.into_iter().map(|s| {
        let address = SiteAddress {
            name: s.name,
            addresses: s.addresses,
        };
        (s.number, address)
    });
    MemberSettings {
        federation: file.name.into(),
        site_number: file.number,
        site_name: site.to_string(),
        bootstrap: file.begin,
        former_number: file.formerly,
        other_sites: sites.collect(),
        lease_ms: file.lease_s * 1_000,
        fence_ms: file.fence_s * 1_000,
        tick_ms: file.tick_ms,
        holds_after_lease: file.on_lease_loss == OnLeaseLoss::Hold,
    }
}

#[cfg(test)]
mod tests;
