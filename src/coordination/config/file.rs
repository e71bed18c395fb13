//! The configuration file in its TOML form. Operators depend on its keys, so they keep their
//! spelling.

use crate::coordination::leader::LeaderRules;
use ipnet::IpNet;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ConfigFile {
    pub(super) site: String,
    #[serde(rename = "keeper")]
    pub(super) replica: u64,
    pub(super) listen: SocketAddr,
    #[serde(rename = "state")]
    pub(super) folder: PathBuf,
    #[serde(default = "default_disk_mb")]
    pub(super) disk_mb: u64,
    #[serde(default)]
    pub(super) begin: bool,
    #[serde(default = "default_tick_ms")]
    pub(super) tick_ms: u64,
    #[serde(default, rename = "peer")]
    pub(super) peers: Vec<PeerEntry>,
    pub(super) agents: Vec<IpNet>,
    #[serde(default)]
    pub(super) rules: LeaderRules,
    pub(super) federation: Option<FederationFile>,
}

/// Another replica: a `[[peer]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PeerEntry {
    #[serde(rename = "keeper")]
    pub(super) replica: u64,
    #[serde(rename = "at")]
    pub(super) address: SocketAddr,
}

/// Behaviour of a site when its lease in the federation has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum OnLeaseLoss {
    /// The site accepts nothing new.
    #[default]
    Hold,
    /// The site continues with its last table.
    Last,
}

/// The federation that the site belongs to: `[federation]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FederationFile {
    pub(super) name: String,
    pub(super) number: u64,
    #[serde(default)]
    pub(super) begin: bool,
    pub(super) formerly: Option<u64>,
    #[serde(default, rename = "without")]
    pub(super) on_lease_loss: OnLeaseLoss,
    #[serde(default = "default_lease_s")]
    pub(super) lease_s: u32,
    #[serde(default = "default_fence_s")]
    pub(super) fence_s: u32,
    #[serde(default = "default_federation_tick_ms")]
    pub(super) tick_ms: u32,
    #[serde(default, rename = "site")]
    pub(super) sites: Vec<SiteEntry>,
}

/// Another site of the federation: a `[[federation.site]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SiteEntry {
    pub(super) number: u64,
    pub(super) name: String,
    #[serde(rename = "at")]
    pub(super) addresses: Vec<SocketAddr>,
}

fn default_disk_mb() -> u64 {
    64
}

fn default_tick_ms() -> u64 {
    50
}

fn default_lease_s() -> u32 {
    10
}

fn default_fence_s() -> u32 {
    15
}

fn default_federation_tick_ms() -> u32 {
    150
}
