//! Connection between the [recovery ramp] and the record: the zones that are returning, the
//! progress of each return, and the slices of calls that are proposed for them. This module makes
//! no decision on orders.
//!
//! [recovery ramp]: crate::coordination::zones::recovery_ramp

use crate::coordination::leader::capacity::{full_load_per_second, share_of};
use crate::coordination::leader::{Effect, LeaderDuties};
use crate::coordination::messages::RequestedZoneState;
use crate::coordination::record::{Command, Phase, Record, Zone};
use crate::coordination::zones::recovery_ramp::{DestinationBudget, ReturnProgress, ReturningZone};
use crate::Nanos;
use std::collections::BTreeMap;

/// Progress of each return in the record, by zone.
pub(super) type ReturnsProgress<'a> = BTreeMap<&'a str, ReturnProgress>;

impl LeaderDuties {
    /// Passes the zones that are returning in the record to the recovery ramp.
    pub(super) fn follow_returns(&mut self, now: Nanos, record: &Record) {
        let returning = returning_zones(record).map(|(name, zone)| ReturningZone {
            name,
            epoch: zone.epoch,
            destinations: zone.out.iter().map(|(number, _)| *number).collect(),
            warmed_ms: &zone.warm,
        });
        self.recovery_ramp.follow(now, returning);
    }

    /// Proposes the next slice of calls for each return whose last slice has ended.
    pub(super) fn reserve_slices(
        &mut self,
        now: Nanos,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        for (name, zone) in returning_zones(record) {
            let lists = &self.endpoint_lists;
            let evidence = &self.evidence;
            let headroom = self.rules.zones.headroom;
            let budget = |destination| {
                // A destination that is no longer listed gets no budget.
                let Some(listed) = lists.capacity(name, destination) else {
                    return DestinationBudget::default();
                };
                let rate_per_second = listed.rate_per_second;
                let moved_out = share_of(&zone.left, destination);
                let readmitted = moved_out - share_of(&zone.out, destination);
                let load = full_load_per_second(lists, evidence, name, destination);
                DestinationBudget {
                    rate_per_second,
                    evacuated_share: moved_out.into(),
                    readmitted_per_second: f64::from(readmitted)
                        * load.min(rate_per_second * headroom),
                }
            };
            let reservation = self.recovery_ramp.reserve_slice(now, name, budget);
            if let Some(reservation) = reservation {
                effects.push(Effect::Propose(Command::AllocateAttempts {
                    term: self.term,
                    slice: reservation.number,
                    zone: name.to_string(),
                    epoch: zone.epoch,
                    calls: reservation.calls,
                    warm: reservation.warmed_ms,
                }));
            }
        }
    }

    /// Advances all returns to `now` and returns the progress of each.
    pub(super) fn advance_returns<'a>(
        &mut self,
        now: Nanos,
        record: &'a Record,
    ) -> ReturnsProgress<'a> {
        returning_zones(record)
            .map(|(name, zone)| {
                let is_held = requested_by_operator(zone) == Some(RequestedZoneState::Hold);
                (name, self.recovery_ramp.advance(now, name, is_held))
            })
            .collect()
    }

    /// Restarts the failed returns that an operator still requests.
    pub(super) fn restart_failed_returns(
        &mut self,
        record: &Record,
        progress: &ReturnsProgress<'_>,
    ) {
        for (name, progress) in progress {
            let requested = requested_by_operator(&record.zones[*name]);
            if *progress == ReturnProgress::Failed && requested == Some(RequestedZoneState::Return)
            {
                self.recovery_ramp.restart(name);
            }
        }
    }
}

/// Returns the zones that are returning in the record.
fn returning_zones(record: &Record) -> impl Iterator<Item = (&str, &Zone)> {
    record
        .zones
        .iter()
        .filter(|(_, zone)| zone.phase == Phase::Returning)
        .map(|(name, zone)| (name.as_str(), zone))
}

/// Returns the state that an operator requests for a zone, while the request is valid.
pub(super) fn requested_by_operator(zone: &Zone) -> Option<RequestedZoneState> {
    zone.request.map(|request| request.state)
}
