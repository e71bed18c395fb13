//! A site's view of its federation. The member keeps it current; the cutover and the leader's
//! responses to operators read it.

use crate::coordination::routing_table::federation::Federation;
use crate::Nanos;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The federation as one site's member knows it; outdated while the member is cut off.
#[derive(Clone, Debug, PartialEq)]
pub struct FederationView {
    /// Name of the federation.
    pub name: Arc<str>,
    /// Number of this site in it.
    pub own_site: u64,
    /// The federation's record, as far as it was committed and received here. While a lease runs,
    /// it is at least as recent as the record by which the lease was granted.
    pub record: Arc<Federation>,
    /// Number of the site that leads the federation; 0 if none is known.
    pub leader: u64,
    /// Numbers of the sites that this member has recently heard from.
    pub reachable_sites: BTreeSet<u64>,
    /// End of this site's lease, on the caller's clock; `None` if this member was never granted a
    /// lease.
    pub lease_until: Option<Nanos>,
    /// Whether the site admits nothing new after its lease has expired. Otherwise it goes on with
    /// its last table, without the federation's guarantee.
    pub holds_after_lease: bool,
}

impl FederationView {
    /// Returns the name of this site if it is on the roster.
    pub fn own_name(&self) -> Option<&str> {
        let own = self.record.sites.get(&self.own_site)?;
        Some(&own.name)
    }

    /// Returns the name of a site on the roster; empty for any other site.
    pub fn site_name(&self, site: u64) -> String {
        match self.record.sites.get(&site) {
            Some(on_roster) => on_roster.name.clone(),
            None => String::new(),
        }
    }
}
