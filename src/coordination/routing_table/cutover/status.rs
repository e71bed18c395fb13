//! Status of a site and its federation, for operators.

use crate::coordination::messages::{
    FederationStatus, PastProposal, ProposalStatus, SiteAdmission, SiteStatus,
};
use crate::coordination::record::Record;
use crate::coordination::routing_table::cutover::{Cutover, MS};
use crate::coordination::routing_table::federation::{Federation, RoutingTable};
use crate::coordination::routing_table::federation_view::FederationView;
use crate::coordination::sender_registry::LiveSender;
use crate::Nanos;

/// Largest number of awaited senders that a status names.
const MAX_AWAITED_NAMES: usize = 1_000;
/// Largest number of refusing senders in a status.
const MAX_REFUSALS: usize = 100;

/// The event for which the site waits, and the senders that have not responded.
struct Awaited<'a> {
    what: String,
    senders: Vec<&'a String>,
}

impl Cutover {
    /// Returns the status of the site and its federation.
    pub fn status(&self, now: Nanos, record: &Record, view: &FederationView) -> FederationStatus {
        let tables = &record.tables;
        let awaited = self.awaited_senders(record);
        let what = match self.foreign_record(now, record, view) {
            Some(foreign) => foreign,
            None if awaited.senders.is_empty() => String::new(),
            None => awaited.what,
        };
        let senders = awaited.senders.into_iter();
        let lease_until = self.lease.until().unwrap_or(0);
        FederationStatus {
            federation: view.name.to_string(),
            site: view.site_name(view.own_site),
            leader: view.site_name(view.leader),
            lease_ms: lease_until.saturating_sub(now) / MS,
            holds: view.holds_after_lease,
            table: (tables.register.number, tables.table.digest),
            sites: site_statuses(view),
            proposal: proposal_status(&view.record),
            here: (what, senders.take(MAX_AWAITED_NAMES).cloned().collect()),
            refused: self.refusals(record),
        }
    }

    fn awaited_senders<'a>(&'a self, record: &'a Record) -> Awaited<'a> {
        let tables = &record.tables;
        if tables.register.stance == SiteAdmission::Open {
            if let Some(table) = newest_table(record) {
                let senders = self.not_storing(record, table);
                if !senders.is_empty() {
                    let what = format!("to check table {} and write it down", table.number);
                    return Awaited { what, senders };
                }
            }
        }
        let what = match tables.register.stance {
            SiteAdmission::Open if tables.next.is_some() && tables.tries > 0 => format!(
                "paused and taken back {} times, is tried again; to answer",
                tables.tries
            ),
            SiteAdmission::Open => format!("to go by table {}", tables.register.number),
            SiteAdmission::Paused => "to take nothing on for a moment".into(),
            SiteAdmission::LeaseExpired => {
                "to take nothing on, as the lease of the federation is over".into()
            }
        };
        let senders = self.not_on_turn(record);
        Awaited { what, senders }
    }

    /// Returns the senders that refuse the newest table, with their reasons.
    fn refusals(&self, record: &Record) -> Vec<(String, String)> {
        let Some(table) = newest_table(record) else {
            return Vec::new();
        };
        let live = self.senders.live(record, |_| true);
        let refusals = live.filter_map(|LiveSender { name, known, .. }| {
            let known = known?;
            let why = match known.refusal(table.number) {
                Some(why) => why.clone(),
                None if known.failed_to_report() => "its fleet file has no table [table]".into(),
                None => return None,
            };
            Some((name.clone(), why))
        });
        refusals.take(MAX_REFUSALS).collect()
    }

    /// Returns the ended proposals, the newest first.
    pub fn history(view: &FederationView) -> Vec<PastProposal> {
        let past = view.record.past.iter().rev().map(|p| PastProposal {
            number: p.number,
            digest: p.digest,
            by: p.by.site.clone(),
            end: p.end.clone(),
            took_ms: p.ended_ms.saturating_sub(p.since_ms),
        });
        past.collect()
    }

    /// Returns the table with this number if the federation's or the site's record holds its text.
    pub fn text<'a>(
        number: u64,
        record: &'a Record,
        view: Option<&'a FederationView>,
    ) -> Option<&'a RoutingTable> {
        let agreed = view.and_then(|view| view.record.text(number));
        agreed.or_else(|| record.tables.text(number))
    }
}

/// Returns the newest table that senders should store: the offered one, else the decided one, else
/// the active one.
fn newest_table(record: &Record) -> Option<&RoutingTable> {
    let tables = &record.tables;
    if let Some(offered) = &tables.offered {
        return Some(&offered.table);
    }
    if let Some(next) = &tables.next {
        return Some(next);
    }
    Some(&tables.table).filter(|table| table.number > 0)
}

fn site_statuses(view: &FederationView) -> Vec<SiteStatus> {
    let federation = &view.record;
    let proposal = federation.proposal.as_ref();
    let sites = federation.sites.iter().map(|(number, site)| SiteStatus {
        site: site.name.clone(),
        number: *number,
        uses: site.uses,
        accepted: proposal.is_some_and(|p| p.accepted.contains(number)),
        heard: view.reachable_sites.contains(number),
    });
    sites.collect()
}

fn proposal_status(federation: &Federation) -> Option<ProposalStatus> {
    let proposal = federation.proposal.as_ref()?;
    let missing = federation.not_accepted_by(proposal);
    Some(ProposalStatus {
        number: proposal.table.number,
        digest: proposal.table.digest,
        by: proposal.by.site.clone(),
        left_ms: proposal.until_ms.saturating_sub(federation.clock_ms),
        waits: missing.map(|site| site.name.clone()).collect(),
    })
}
