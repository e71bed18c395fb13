//! Chooses the next change of the site's tables.

use crate::coordination::messages::SiteAdmission;
use crate::coordination::policy_rollout::rollout::MIN_PAUSE_GAP;
use crate::coordination::record::Record;
use crate::coordination::routing_table::cutover::{Cutover, MS, SECOND};
use crate::coordination::routing_table::federation_view::FederationView;
use crate::coordination::routing_table::tables::Change;
use crate::coordination::sender_registry::format_names;
use crate::Nanos;
use std::collections::BTreeSet;

/// Longest pause, in nanoseconds: clients wait 300 ms for admission and close the connection after
/// 400 ms.
const MAX_PAUSE: Nanos = 150 * MS;
/// Shortest time between a pause that was rolled back and the next one, in nanoseconds. It doubles
/// with each rollback.
const MIN_RETRY_BACKOFF: Nanos = SECOND;
/// Longest time between a pause that was rolled back and the next one, in nanoseconds.
const MAX_RETRY_BACKOFF: Nanos = 60 * SECOND;

impl Cutover {
    /// Returns the next change. In order of precedence: a hold, the end of a running pause, what
    /// the federation's record has and the site's lacks, and a pause for the decided table or the
    /// end of a hold.
    pub(super) fn next_change(
        &mut self,
        now: Nanos,
        record: &Record,
        view: Option<&FederationView>,
    ) -> Option<Change> {
        let tables = &record.tables;
        let stance = tables.register.stance;
        if view.is_some() && self.lease.is_shut() && stance != SiteAdmission::LeaseExpired {
            return Some(Change::Hold);
        }
        if stance == SiteAdmission::Paused {
            return self.end_pause(now, record);
        }
        if let Some(change) = view.and_then(|view| self.catch_up_change(record, view)) {
            return Some(change);
        }
        let is_held = stance == SiteAdmission::LeaseExpired;
        if !self.may_go_by_table(now) || is_held && !self.may_leave_hold(now, view) {
            return None;
        }
        if tables.next.is_some() {
            return self.may_pause(now, record).then_some(Change::Pause);
        }
        let has_caught_up = view.is_none_or(|view| {
            !view.holds_after_lease || tables.register.number == view.record.table.number
        });
        (is_held && has_caught_up).then_some(Change::Resume)
    }

    /// Returns whether a site that holds may leave the hold. A site that is configured to hold has
    /// to be on the roster, and this replica's own member needs a running lease, so that its view
    /// is recent.
    fn may_leave_hold(&self, now: Nanos, view: Option<&FederationView>) -> bool {
        view.is_none_or(|view| {
            let is_on_roster = view.own_name().is_some();
            !view.holds_after_lease || self.lease.is_granted(now) && is_on_roster
        })
    }

    /// Returns whether a pause for the decided table may begin: all senders store it, those that
    /// were silent in the last pause respond, the backoff has passed, and no policy rollout has
    /// paused recently.
    fn may_pause(&self, now: Nanos, record: &Record) -> bool {
        let tables = &record.tables;
        let Some(next) = &tables.next else {
            return false;
        };
        let is_stored = self.not_storing(record, next).is_empty();
        let silent = |name: &String| self.silent.contains(name);
        let is_any_silent = self.not_on_turn(record).into_iter().any(silent);
        let is_rested =
            tables.tries == 0 || now >= self.step.began_at + retry_backoff(tables.tries);
        let is_apart = self
            .policy_paused_at
            .is_none_or(|at| now >= at + MIN_PAUSE_GAP);
        is_stored && !is_any_silent && is_rested && is_apart
    }

    /// Returns the change that commits the pause or rolls it back; `None` while the pause
    /// continues.
    pub(super) fn end_pause(&mut self, now: Nanos, record: &Record) -> Option<Change> {
        let is_over = now >= self.step.began_at + MAX_PAUSE;
        let waits = self.awaited.as_ref().is_some_and(|a| !a.is_empty());
        if !is_over && waits {
            return None;
        }
        let mut late = self.not_on_turn(record);
        if let Some(next) = &record.tables.next {
            late.extend(self.not_storing(record, next));
        }
        late.sort();
        late.dedup();
        if late.is_empty() && self.may_go_by_table(now) {
            return Some(Change::Commit);
        }
        let silent = if late.is_empty() {
            "the federation is".into()
        } else {
            format_names(&late)
        };
        let late: BTreeSet<String> = late.into_iter().cloned().collect();
        if is_over {
            self.silent = late;
            return Some(Change::RollBack { silent });
        }
        self.awaited = Some(late);
        None
    }

    /// Returns the change that adds what the site's record lacks of the federation's.
    fn catch_up_change(&self, record: &Record, view: &FederationView) -> Option<Change> {
        let tables = &record.tables;
        let federation = &view.record;
        let decided = &federation.table;
        if decided.number > tables.newest_decided() {
            let table = decided.clone();
            return Some(Change::Decide { table });
        }
        if let Some(change) = self.offered_change(record, view) {
            return Some(change);
        }
        if tables.next.is_some() {
            return None;
        }
        let proposed = &federation.proposal.as_ref()?.table;
        let newest = match &tables.offered {
            Some(offered) => offered.table.number,
            None => tables.register.number,
        };
        let table = proposed.clone();
        (proposed.number > newest).then_some(Change::Offer { table })
    }

    /// Returns the change for the offered table: it is dropped when its proposal has ended, and
    /// accepted when all live senders store it and none refuses it.
    fn offered_change(&self, record: &Record, view: &FederationView) -> Option<Change> {
        let offered = record.tables.offered.as_ref()?;
        let number = offered.table.number;
        let proposal = view.record.proposal.as_ref();
        if proposal.is_none_or(|p| p.table.number != number) {
            // A proposal that is missing because the view of the federation's record is older has
            // not ended.
            let is_over = view.record.given >= number;
            return is_over.then_some(Change::Drop { number });
        }
        let may_accept = !offered.accepted
            && self.refusal(record, number).is_none()
            && self.is_stored_by_all(record, &offered.table);
        may_accept.then_some(Change::Accept { number })
    }
}

/// Returns the time between the rollback of a pause and the next pause, after this number of
/// rollbacks.
fn retry_backoff(tries: u32) -> Nanos {
    let doublings = tries.saturating_sub(1).min(10);
    (MIN_RETRY_BACKOFF << doublings).min(MAX_RETRY_BACKOFF)
}
