//! The site's lease in its federation, as the site's leader tracks it.

use crate::coordination::messages::SiteAdmission;
use crate::coordination::record::Record;
use crate::coordination::routing_table::cutover::{
    Cutover, CutoverEffect, MS, PROPOSAL_TIMEOUT, SECOND,
};
use crate::coordination::routing_table::federation_view::FederationView;
use crate::coordination::routing_table::tables::Change;
use crate::Nanos;

/// Error margin of the recorded lease, in nanoseconds: the record's clock is up to one heartbeat
/// behind, and the recorded end of the lease is committed with a delay.
pub const CLOCK_LAG: Nanos = SECOND;
/// Time in which a new leader receives a view of the federation, in nanoseconds; without one, the
/// site is in no federation.
const VIEW_TIMEOUT: Nanos = SECOND;
/// Time after which a site that is no longer in a federation resumes, in nanoseconds.
const NO_FEDERATION_AFTER: Nanos = 10 * SECOND;
/// Smallest step by which the recorded end of the lease is moved, in milliseconds.
const MIN_RECORDED_EXTENSION_MS: u64 = 1_000;

/// The site's lease as its leader knows it.
#[derive(Clone, Debug)]
pub(super) struct SiteLease {
    /// End of the lease according to the record, on this leader's clock. The outer value is `None`
    /// before the record was read, the inner one if the end is not known.
    recorded_until: Option<Option<Nanos>>,
    /// End of the lease that was granted to the member.
    granted_until: Option<Nanos>,
    /// Time at which the end of the lease was last proposed to the record, in nanoseconds.
    recorded_at: Option<Nanos>,
    /// Whether the site admits nothing new after its lease has expired; `None` if the site is in no
    /// federation, as far as is known.
    holds_after: Option<bool>,
    /// Whether no sender may be told that messages are admitted, as of the last tick.
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
    /// Returns the end of the site's lease: the recorded or the granted one, whichever is later.
    pub(super) fn until(&self) -> Option<Nanos> {
        self.recorded_until.flatten().max(self.granted_until)
    }

    pub(super) fn is_shut(&self) -> bool {
        self.is_shut
    }

    /// Returns whether this replica's own member was granted a lease that is still running. If so,
    /// its view of the federation is at least as recent as that grant.
    pub(super) fn is_granted(&self, now: Nanos) -> bool {
        self.granted_until.is_some_and(|until| now < until)
    }
}

impl Cutover {
    /// Returns whether the site may use a table: its lease is running, it is configured to continue
    /// without one, or it has been in no federation for long enough.
    pub(super) fn may_go_by_table(&self, now: Nanos) -> bool {
        let runs = self.lease.until().is_some_and(|until| now < until);
        match self.lease.holds_after {
            Some(holds) => runs || !holds,
            None => now >= self.began_at + NO_FEDERATION_AFTER,
        }
    }

    /// Returns a text for operators if the site cannot take part in its federation because it has a
    /// table that the federation never had.
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

    /// Returns whether senders are to be told of no admission and have no lease renewed: the site
    /// has to hold, and its record does not say so yet.
    pub fn must_withhold_leases(&self, record: &Record) -> bool {
        self.lease.is_shut && record.tables.register.stance != SiteAdmission::LeaseExpired
    }

    /// Updates the lease, and records its end if that is due.
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

    /// Returns the end of the recorded lease on this leader's clock, reduced by the time during
    /// which no leader advanced the record's clock; `None` if that time is not known.
    fn read_recorded_lease(&self, record: &Record) -> Option<Nanos> {
        let left_ms = record.tables.lease_ms.saturating_sub(record.clock_ms);
        let left = left_ms.saturating_mul(MS);
        let believed = left.checked_sub(self.uncounted? + CLOCK_LAG)?;
        Some(self.began_at + believed)
    }

    fn has_to_shut(&self, now: Nanos, record: &Record, view: Option<&FederationView>) -> bool {
        let tables = &record.tables;
        let Some(view) = view else {
            // A site that was in a federation either receives a view of it soon or is no longer in
            // one.
            let was_in_one = tables.lease_ms > 0 || tables.turn > 0;
            return was_in_one && now < self.began_at + VIEW_TIMEOUT;
        };
        if !view.holds_after_lease {
            return false;
        }
        // Besides the table that was decided last, only the one before it may be in use.
        let number = tables.register.number;
        let federation = &view.record;
        let is_behind = number < federation.table.number && number != federation.before.number;
        is_behind || self.foreign_record(now, record, view).is_some() || !self.may_go_by_table(now)
    }

    /// Records the end of the lease when half of the recorded time has passed, and only if that
    /// extends it by at least one second.
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
