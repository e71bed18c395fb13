//! Settings of a site's member of the federation, and the limits shared by the replica's
//! configuration file and roster orders.
//!
//! This module is below both `coordination::config`, which reads the file, and the member, which
//! uses the settings; it depends on neither.

use crate::coordination::raft_log::ReplicaIdentity;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest number of replica addresses of one site in a file or an order.
pub const MAX_ADDRESSES_PER_SITE: usize = 9;
/// Longest name of a site or of a federation, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Returns whether this is a valid name of a site or a federation: letters, digits, `-`, `_` and
/// `.`.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed)
}

/// Another site of the federation, from the replica's configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteAddress {
    /// Name of the site.
    pub name: String,
    /// Addresses on which its replicas listen.
    pub addresses: Vec<SocketAddr>,
}

/// Settings of a member, from the replica's configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Name of the federation.
    pub federation: Arc<str>,
    /// Number of this site in the federation.
    pub site_number: u64,
    /// Name of this site.
    pub site_name: String,
    /// Whether this is the federation's first start, with this site and all others in the file.
    pub bootstrap: bool,
    /// Earlier number of this site, which it gives up.
    pub former_number: Option<u64>,
    /// The other sites, by number.
    pub other_sites: BTreeMap<u64, SiteAddress>,
    /// Length of a site's lease, in milliseconds.
    pub lease_ms: u32,
    /// Time after the end of a site's lease by which its senders are certainly fenced, in
    /// milliseconds.
    pub fence_ms: u32,
    /// Length of a tick of the raft clock, in milliseconds.
    pub tick_ms: u32,
    /// Whether the site admits nothing new after its lease has expired.
    pub holds_after_lease: bool,
}

/// Mismatch between the site's record and the configuration file: the record belongs to another
/// site or federation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the site's record is of site {recorded_site} of federation {recorded_federation:?}, the \
     keeper's file says {site} of {federation:?}"
)]
pub struct IdentityMismatch {
    recorded_site: u64,
    recorded_federation: String,
    site: u64,
    federation: Arc<str>,
}

impl MemberSettings {
    /// Checks that a record written under this identity belongs to this site.
    ///
    /// # Errors
    /// The identity is that of another site or federation.
    pub fn check_identity(&self, recorded: &ReplicaIdentity) -> Result<(), IdentityMismatch> {
        let is_own_number =
            recorded.replica == self.site_number || Some(recorded.replica) == self.former_number;
        if is_own_number && recorded.site == *self.federation {
            return Ok(());
        }
        Err(IdentityMismatch {
            recorded_site: recorded.replica,
            recorded_federation: recorded.site.clone(),
            site: self.site_number,
            federation: self.federation.clone(),
        })
    }
}
