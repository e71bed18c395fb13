//! What a site knows of its federation. The member keeps it current; the cutover and the leader's
//! answers to operators read it.

use crate::coordination::routing_table::federation::Federation;
use crate::Nanos;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The federation as one site's member knows it. What a member that was cut off knows may be old.
#[derive(Clone, Debug, PartialEq)]
pub struct FederationView {
    /// Name of the federation.
    pub name: Arc<str>,
    /// Number of this site in it.
    pub own_site: u64,
    /// Its record, as far as it was committed and received here. While the lease runs it is no
    /// older than when that was granted.
    pub record: Arc<Federation>,
    /// The site that leads it; 0 where none is known to.
    pub leader: u64,
    /// Sites that this member heard lately.
    pub reachable_sites: BTreeSet<u64>,
    /// The federation counts this site in until then, on the caller's clock; nothing where this
    /// member was never granted a lease.
    pub lease_until: Option<Nanos>,
    /// Beyond its lease the site admits nothing new; else it gives the promise up and goes on by
    /// its last table.
    pub holds_after_lease: bool,
}

impl FederationView {
    /// This site's own name, where it is on the roster.
    pub fn own_name(&self) -> Option<&str> {
        let own = self.record.sites.get(&self.own_site)?;
        Some(&own.name)
    }

    /// The name of a site on the roster; else empty.
    pub fn site_name(&self, site: u64) -> String {
        match self.record.sites.get(&site) {
            Some(on_roster) => on_roster.name.clone(),
            None => String::new(),
        }
    }
}
