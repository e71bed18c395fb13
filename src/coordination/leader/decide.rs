//! Decisions on the next evacuation or recovery of a zone: at most one order at a time, based on
//! operators' requests and the evidence.
//!
//! This module owns the rules of precedence (an operator's request takes precedence over evidence,
//! a failing return over a new evacuation) and proposes the order. `capacity` computes how much
//! traffic can be moved, `returns` the progress of returns. The leader's tick calls it, and so does
//! the application of an operator's request on a zone.

use crate::coordination::leader::capacity::share_of;
use crate::coordination::leader::returns::{requested_by_operator, ReturnsProgress};
use crate::coordination::leader::{Effect, LeaderDuties, PendingDecision};
use crate::coordination::messages::RequestedZoneState;
use crate::coordination::record::{Command, Phase, Record, Zone};
use crate::coordination::zones::evidence::ZoneVerdict;
use crate::coordination::zones::recovery_ramp::ReturnProgress;
use crate::Nanos;
use std::cmp::Reverse;

/// Maximum number of destinations for which the log explains a partial evacuation.
const MAX_LOGGED_DESTINATIONS: usize = 10;
/// Maximum number of times that the time to the next return is doubled. More doublings would
/// overflow; the setting for the longest time limits it much earlier.
const MAX_BACKOFF_DOUBLINGS: u32 = 20;

/// Reason of an order that an operator requested. It is stored in the record and shown in the
/// status.
const OPERATOR_REQUEST: &str = "a person's word";

/// An order for a zone that is to be proposed.
struct ZoneDecision {
    zone: String,
    phase: Phase,
    /// By destination, the share of the senders that is evacuated.
    evacuated: Vec<(u16, f32)>,
    /// Number of recent returns to the zone, successful or not.
    recent_returns: u32,
    /// Reason, for operators; stored in the record.
    why: String,
}

impl ZoneDecision {
    fn new(
        zone: &str,
        phase: Phase,
        evacuated: Vec<(u16, f32)>,
        recent_returns: u32,
        why: impl Into<String>,
    ) -> ZoneDecision {
        ZoneDecision {
            zone: zone.to_string(),
            phase,
            evacuated,
            recent_returns,
            why: why.into(),
        }
    }
}

impl LeaderDuties {
    /// Judges all zones and proposes at most one order; none while another one is pending.
    pub(super) fn decide(&mut self, now: Nanos, record: &Record, effects: &mut Vec<Effect>) {
        self.judge_zones(now, record);
        let progress = self.advance_returns(now, record);
        if self.pending_decision.is_some() {
            return;
        }
        let decision = self.next_decision(record, &progress);
        self.restart_failed_returns(record, &progress);
        if let Some(decision) = decision {
            self.log_decision(&decision, record);
            self.propose_decision(now, decision, record, effects);
        }
    }

    /// Updates evidence, lists and returns, and judges all zones.
    fn judge_zones(&mut self, now: Nanos, record: &Record) {
        self.judged_at = now;
        self.evidence.expire(now);
        self.endpoint_lists.refresh();
        self.follow_returns(now, record);
        let lists = &self.endpoint_lists;
        let listed_destinations = |zone: &str| lists.destination_count(zone);
        let is_evacuated = |zone: &str| {
            record
                .zones
                .get(zone)
                .is_some_and(|zone| zone.phase != Phase::Used)
        };
        let live_senders = self.sessions.len();
        self.verdicts = self
            .evidence
            .judge(now, live_senders, listed_destinations, is_evacuated);
    }

    /// Returns the first order that is due for a zone of the record, or else the next evacuation.
    fn next_decision(
        &self,
        record: &Record,
        progress: &ReturnsProgress<'_>,
    ) -> Option<ZoneDecision> {
        record
            .zones
            .iter()
            .find_map(|(name, zone)| {
                let progress = progress.get(name.as_str()).copied();
                self.decide_recorded_zone(name, zone, progress, record)
            })
            .or_else(|| self.decide_evacuation(record))
    }

    fn log_decision(&self, decision: &ZoneDecision, record: &Record) {
        let ZoneDecision {
            zone,
            phase,
            evacuated,
            recent_returns,
            why,
        } = decision;
        log::info!(
            "zone={zone} phase={phase:?} tries={recent_returns} out={evacuated:?} why={why}"
        );
        if *phase != Phase::Left {
            return;
        }
        let in_part = self
            .alternatives(zone, record)
            .into_iter()
            .map(|(destination, rest)| (destination, share_of(evacuated, destination), rest))
            .filter(|(_, share, _)| *share < 1.0);
        for (destination, share, rest) in in_part.take(MAX_LOGGED_DESTINATIONS) {
            log::info!(
                "zone={zone} destination={destination} is evacuated in part: share={share}, \
                 other zones: {rest:?}"
            );
        }
    }

    /// Proposes an order based on the epoch on which it was decided. It is void if any other order
    /// is applied to the record first.
    fn propose_decision(
        &mut self,
        now: Nanos,
        decision: ZoneDecision,
        record: &Record,
        effects: &mut Vec<Effect>,
    ) {
        self.pending_decision = Some(PendingDecision {
            epoch: record.epoch,
            proposed_at: now,
        });
        effects.push(Effect::Propose(Command::SetZonePhase {
            base: record.epoch,
            zone: decision.zone,
            phase: decision.phase,
            out: decision.evacuated,
            return_attempts: decision.recent_returns,
            reason: decision.why,
        }));
    }

    /// Returns the order that is due for a zone of the record, if any.
    fn decide_recorded_zone(
        &self,
        name: &str,
        zone: &Zone,
        progress: Option<ReturnProgress>,
        record: &Record,
    ) -> Option<ZoneDecision> {
        if requested_by_operator(zone) == Some(RequestedZoneState::Hold) {
            return None;
        }
        let ms_since_order = record.clock_ms.saturating_sub(zone.since_ms);
        self.decide_extension(name, zone, ms_since_order, record)
            .or_else(|| self.decide_phase(name, zone, progress, ms_since_order, record))
    }

    /// Returns the order that moves more senders out of an evacuated zone, if one is due.
    fn decide_extension(
        &self,
        name: &str,
        zone: &Zone,
        ms_since_order: u64,
        record: &Record,
    ) -> Option<ZoneDecision> {
        // Load is averaged over this window; before it has passed, the average does not reflect
        // the last order.
        let load_is_known = ms_since_order >= u64::from(self.rules.zones.load_window_ms);
        let is_out = zone.phase != Phase::Used && !self.recovery_ramp.has_begun(name);
        let is_return_requested = requested_by_operator(zone) == Some(RequestedZoneState::Return);
        if !load_is_known || !is_out || is_return_requested {
            return None;
        }
        let evacuated = self.extended_evacuation(name, zone, record)?;
        let why = "the rest bears more";
        Some(ZoneDecision::new(
            name,
            Phase::Left,
            evacuated,
            zone.return_attempts,
            why,
        ))
    }

    /// Returns the order that changes a zone's phase or takes the next step of its return, if one
    /// is due.
    fn decide_phase(
        &self,
        name: &str,
        zone: &Zone,
        progress: Option<ReturnProgress>,
        ms_since_order: u64,
        record: &Record,
    ) -> Option<ZoneDecision> {
        match zone.phase {
            Phase::Used => self.decide_used(name, zone, ms_since_order, record),
            Phase::Left => self.decide_evacuated(name, zone, ms_since_order),
            Phase::Returning => self.decide_returning(name, zone, progress, ms_since_order),
        }
    }

    /// Decides on a zone in use: it is evacuated on request, and its history of returns is reset
    /// when it has been in use for long enough.
    fn decide_used(
        &self,
        name: &str,
        zone: &Zone,
        ms_since_order: u64,
        record: &Record,
    ) -> Option<ZoneDecision> {
        if requested_by_operator(zone) == Some(RequestedZoneState::Leave) {
            let evacuated = self.evacuation_shares(name, record).ok()?;
            return Some(ZoneDecision::new(
                name,
                Phase::Left,
                evacuated,
                zone.return_attempts,
                OPERATOR_REQUEST,
            ));
        }
        let reset_ms = u64::from(self.rules.zones.return_history_reset_ms);
        if zone.return_attempts == 0 || ms_since_order < reset_ms {
            return None;
        }
        let why = "in use for long";
        Some(ZoneDecision::new(name, Phase::Used, Vec::new(), 0, why))
    }

    /// Decides on an evacuated zone: a return begins on request, or after a time that doubles with
    /// each recent return.
    fn decide_evacuated(
        &self,
        name: &str,
        zone: &Zone,
        ms_since_order: u64,
    ) -> Option<ZoneDecision> {
        let why = match requested_by_operator(zone) {
            Some(RequestedZoneState::Leave) => return None,
            Some(RequestedZoneState::Return) => OPERATOR_REQUEST,
            _ => {
                let is_listed = self.endpoint_lists.destination_count(name) > 0;
                if ms_since_order < self.return_backoff_ms(zone) || !is_listed {
                    return None;
                }
                "rested"
            }
        };
        Some(ZoneDecision::new(
            name,
            Phase::Returning,
            zone.out.clone(),
            zone.return_attempts,
            why,
        ))
    }

    /// Returns the milliseconds from an evacuation to the next return.
    fn return_backoff_ms(&self, zone: &Zone) -> u64 {
        let rules = &self.rules.zones;
        let backoff_ms =
            u64::from(rules.return_backoff_ms) << zone.return_attempts.min(MAX_BACKOFF_DOUBLINGS);
        backoff_ms.min(rules.max_return_backoff_ms.into())
    }

    /// Decides on a zone that is returning: the return ends on request or when it fails; otherwise
    /// it takes its next step when one is possible.
    fn decide_returning(
        &self,
        name: &str,
        zone: &Zone,
        progress: Option<ReturnProgress>,
        ms_since_order: u64,
    ) -> Option<ZoneDecision> {
        if requested_by_operator(zone) == Some(RequestedZoneState::Leave) {
            return Some(ZoneDecision::new(
                name,
                Phase::Left,
                zone.left.clone(),
                zone.return_attempts,
                OPERATOR_REQUEST,
            ));
        }
        let progress = progress?;
        if let Some(why) = self.return_failure(name, zone, progress) {
            return Some(ZoneDecision::new(
                name,
                Phase::Left,
                zone.left.clone(),
                zone.return_attempts.saturating_add(1),
                why,
            ));
        }
        self.decide_readmission(name, zone, progress, ms_since_order)
    }

    /// Returns why a return has failed, if it has. A return that an operator requested continues
    /// despite failures.
    fn return_failure(
        &self,
        name: &str,
        zone: &Zone,
        progress: ReturnProgress,
    ) -> Option<&'static str> {
        if requested_by_operator(zone) == Some(RequestedZoneState::Return) {
            return None;
        }
        if progress == ReturnProgress::Failed {
            return Some("the return failed");
        }
        // These failures are reported by readmitted senders, whose calls need no grant.
        let is_failing = matches!(self.verdicts.get(name), Some(ZoneVerdict::Failing { .. }));
        if is_failing && self.recovery_ramp.has_begun(name) {
            return Some("it fails while it is returned to");
        }
        None
    }

    /// Returns the order for the next step of a return that has not failed, if one is due.
    fn decide_readmission(
        &self,
        name: &str,
        zone: &Zone,
        progress: ReturnProgress,
        ms_since_order: u64,
    ) -> Option<ZoneDecision> {
        let evacuated = self.evacuation_after_readmission(name, zone, progress);
        let ms_since_begun = self
            .recovery_ramp
            .ms_since_begun(name, self.judged_at)
            .unwrap_or(u64::MAX);
        let ms_since_step = ms_since_order.min(ms_since_begun);
        if evacuated == zone.out || ms_since_step < u64::from(self.min_step_ms(name, zone)) {
            return None;
        }
        if !evacuated.is_empty() {
            let why = "it bears more";
            let phase = Phase::Returning;
            return Some(ZoneDecision::new(
                name,
                phase,
                evacuated,
                zone.return_attempts,
                why,
            ));
        }
        let why = if progress == ReturnProgress::Unused {
            "nobody calls there"
        } else {
            "warm"
        };
        let returns = zone.return_attempts.saturating_add(1);
        Some(ZoneDecision::new(
            name,
            Phase::Used,
            evacuated,
            returns,
            why,
        ))
    }

    /// Returns the minimum number of milliseconds from one step of a return to the next.
    ///
    /// Each order voids outstanding grants. Where a destination has not answered yet, the step
    /// therefore waits until its grants have expired.
    fn min_step_ms(&self, name: &str, zone: &Zone) -> u32 {
        let interval_ms = self.readmission_interval_ms();
        let all_answer = zone.out.iter().all(|(destination, _)| {
            self.recovery_ramp
                .estimated_capacity(name, *destination)
                .is_some()
        });
        if all_answer {
            interval_ms
        } else {
            interval_ms.max(self.rules.zones.grant_validity_ms)
        }
    }

    /// Returns the next evacuation that the evidence calls for, if any: of several failing zones,
    /// the one that most reporters see failing.
    fn decide_evacuation(&self, record: &Record) -> Option<ZoneDecision> {
        let mut failing: Vec<FailingZone<'_>> = self.failing_zones();
        failing.sort_by_key(|zone| Reverse(zone.seen_by));
        failing.into_iter().find_map(|failing| {
            let recorded = record.zones.get(failing.name);
            if recorded.is_some_and(|zone| zone.phase != Phase::Used || zone.request.is_some()) {
                return None;
            }
            let evacuated = self.evacuation_shares(failing.name, record).ok()?;
            let recent_returns = recorded.map_or(0, |zone| zone.return_attempts);
            let FailingZone { name, seen_by, of } = failing;
            let why = format!("seen failing by {seen_by} of {of} senders");
            Some(ZoneDecision::new(
                name,
                Phase::Left,
                evacuated,
                recent_returns,
                why,
            ))
        })
    }

    fn failing_zones(&self) -> Vec<FailingZone<'_>> {
        self.verdicts
            .iter()
            .filter_map(|(name, verdict)| match verdict {
                ZoneVerdict::Failing { seen_by, of } => Some(FailingZone {
                    name,
                    seen_by: *seen_by,
                    of: *of,
                }),
                _ => None,
            })
            .collect()
    }
}

/// A zone that is judged to be failing.
struct FailingZone<'a> {
    name: &'a str,
    /// Number of reporters that see it failing.
    seen_by: usize,
    /// Number of reporters that call it.
    of: usize,
}
