//! The site's lease in its federation, as its leader counts it.

use crate::coordination::messages::SiteAdmission;
use crate::coordination::record::Record;
use crate::coordination::routing_table::cutover::{
    Cutover, CutoverEffect, MS, PROPOSAL_TIMEOUT, SECOND,
};
use crate::coordination::routing_table::federation_view::FederationView;
use crate::coordination::routing_table::tables::Change;
use crate::Nanos;

/// The record's clock is up to a heartbeat behind, and its value of the lease takes a moment to be
/// committed; in nanoseconds.
pub const CLOCK_LAG: Nanos = SECOND;
/// A new leader hears within this time how the federation stands, or the site is in none.
const VIEW_TIMEOUT: Nanos = SECOND;
/// A site that is in no federation any more goes on after this time.
const NO_FEDERATION_AFTER: Nanos = 10 * SECOND;
/// The recorded end of the lease is moved on by no less than this, in milliseconds.
const MIN_RECORDED_EXTENSION_MS: u64 = 1_000;

/// What a leader knows of the site's lease.
#[derive(Clone, Debug)]
pub(super) struct SiteLease {
    /// Until when the record says that the site is counted in, on this leader's clock; the outer
    /// value is nothing before it was read.
    recorded_until: Option<Option<Nanos>>,
    /// Until when the member was granted the lease.
    granted_until: Option<Nanos>,
    /// When its end was proposed to the record last.
    recorded_at: Option<Nanos>,
    /// Whether the site holds beyond its lease; nothing where it is in no federation, as far as is
    /// known.
    holds_after: Option<bool>,
    /// Whether no sender may hear that messages are admitted, as of the last tick.
    is_shut: bool,
}

impl Default for SiteLease {
    fn default() -> SiteLease {
        SiteLease {
            recorded_until: None,
            granted_until: None,
            recorded_at: None,
            holds_after: None,
            is_shut: true,
        }
    }
}

impl SiteLease {
    /// Until when the site may count itself in.
    pub(super) fn until(&self) -> Option<Nanos> {
        self.recorded_until.flatten().max(self.granted_until)
    }

    pub(super) fn is_shut(&self) -> bool {
        self.is_shut
    }

    /// Whether this replica's member itself was granted a lease that runs: then what it knows of
    /// the federation is no older than that.
    pub(super) fn is_granted(&self, now: Nanos) -> bool {
        self.granted_until.is_some_and(|until| now < until)
    }
}

impl Cutover {
    /// Whether the site may go by a table: its lease runs, or it gives the promise up, or has been
    /// in no federation for long enough.
    pub(super) fn may_go_by_table(&self, now: Nanos) -> bool {
        let runs = self.lease.until().is_some_and(|until| now < until);
        match self.lease.holds_after {
            Some(holds) => runs || !holds,
            None => now >= self.began_at + NO_FEDERATION_AFTER,
        }
    }

    /// Why the site can have no part in its federation, for people: it goes by a table that the
    /// federation never had.
    pub(super) fn foreign_record(
        &self,
        now: Nanos,
        record: &Record,
        view: &FederationView,
    ) -> Option<String> {
        let has = record.tables.newest_decided();
        let given = view.record.given;
        if !self.lease.is_granted(now) || has <= given {
            return None;
        }
        Some(format!(
            "it goes by table {has}, and its federation has come to {given}: its record is that of \
             another one"
        ))
    }

    /// Whether senders are to hear of no admission and have no lease renewed: the site has to be
    /// held, and the record does not say so yet.
    pub fn must_withhold_leases(&self, record: &Record) -> bool {
        self.lease.is_shut && record.tables.register.stance != SiteAdmission::LeaseExpired
    }

    /// Counts the lease, and records what is left of it.
    pub(super) fn update_lease(
        &mut self,
        now: Nanos,
        record: &Record,
        view: Option<&FederationView>,
        effects: &mut Vec<CutoverEffect>,
    ) {
        if self.lease.recorded_until.is_none() {
            self.lease.recorded_until = Some(self.read_recorded_lease(record));
        }
        let granted = view.and_then(|view| view.lease_until);
        self.lease.granted_until = self.lease.granted_until.max(granted);
        self.lease.holds_after = view.map(|view| view.holds_after_lease);
        self.lease.is_shut = self.has_to_shut(now, record, view);
        self.record_lease(now, record, effects);
    }

    /// What the record says of the lease, as an end on this leader's clock: less the time that
    /// nobody counted; nothing where that is not known.
    fn read_recorded_lease(&self, record: &Record) -> Option<Nanos> {
        let left_ms = record.tables.lease_ms.saturating_sub(record.clock_ms);
        let left = left_ms.saturating_mul(MS);
        let believed = left.checked_sub(self.uncounted? + CLOCK_LAG)?;
        Some(self.began_at + believed)
    }

    fn has_to_shut(&self, now: Nanos, record: &Record, view: Option<&FederationView>) -> bool {
        let tables = &record.tables;
        let Some(view) = view else {
            // A site that was in a federation hears soon how that stands, or is in none any more.
            let was_in_one = tables.lease_ms > 0 || tables.turn > 0;
            return was_in_one && now < self.began_at + VIEW_TIMEOUT;
        };
        if !view.holds_after_lease {
            return false;
        }
        // Beside the table that was decided last only the one before it may be in use.
        let number = tables.register.number;
        let federation = &view.record;
        let is_behind = number < federation.table.number && number != federation.before.number;
        is_behind || self.foreign_record(now, record, view).is_some() || !self.may_go_by_table(now)
    }

    /// Records the end of the lease when half of what was recorded has passed, and for no less than
    /// a second more.
    fn record_lease(&mut self, now: Nanos, record: &Record, effects: &mut Vec<CutoverEffect>) {
        let recorded_ms = record.tables.lease_ms;
        let left_ms = self.lease.granted_until.unwrap_or(0).saturating_sub(now) / MS;
        let recorded_left_ms = recorded_ms.saturating_sub(record.clock_ms);
        let recorded_at = self.lease.recorded_at;
        let is_proposed = recorded_at.is_some_and(|at| now < at + PROPOSAL_TIMEOUT);
        if is_proposed || recorded_left_ms >= left_ms / 2 {
            return;
        }
        let until_ms = record
            .clock_ms
            .saturating_add(left_ms.saturating_sub(CLOCK_LAG / MS));
        if until_ms >= recorded_ms.saturating_add(MIN_RECORDED_EXTENSION_MS) {
            self.lease.recorded_at = Some(now);
            effects.push(CutoverEffect::ProposeToSite(Change::Lease { until_ms }));
        }
    }
}
