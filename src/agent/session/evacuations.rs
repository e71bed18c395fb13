//! Zone evacuations as the record orders them, and grants of leased attempts.
//!
//! Owns this sender's view of the record. [`crate::delivery::evacuation`] enforces the evacuations
//! that are computed here.
//!
//! Invariants: an order with an earlier epoch than the latest received one for its zone is ignored;
//! a grant counts only under the order of its epoch, once, and from the time its report was sent;
//! and while standalone each sender ends its evacuations at a time of its own.

use super::{lease, SessionEffect, SessionState};
use crate::coordination::messages::{
    sender_hash_fraction, AttemptLeaseGrant, SenderView, ZoneOrder,
};
use crate::dispatch::statistics::SEC;
use crate::Nanos;
use std::collections::BTreeMap;

/// Maximum number of zones whose latest epoch is remembered.
const MAX_ZONES: usize = 256;
/// Maximum number of attempts that are accepted from one grant.
const MAX_GRANTED_ATTEMPTS: u32 = 1_024;
/// Maximum number of runs of destinations in a log line.
const MAX_LOGGED_RUNS: usize = 16;

/// Evacuation of a destination's endpoints in a zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneEvacuation {
    /// Name of the zone.
    pub zone: String,
    /// Destination of the endpoints.
    pub dest: u16,
    /// Epoch of the order; 0 while standalone, where no order is in force.
    pub epoch: u64,
    /// Time (ns) at which the evacuation ends by itself, if it does.
    pub until: Option<Nanos>,
}

/// An order that the sender has applied.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AppliedOrder {
    zone: String,
    epoch: u64,
    returning: bool,
}

/// This sender's view of the record.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    pub(super) view: SenderView,
    /// Whether the view was received on the open connection, or is known to match the record.
    pub(super) is_view_current: bool,
    /// Orders that the sender has applied; empty while standalone.
    pub(super) applied: Vec<AppliedOrder>,
    /// Highest received epoch, by zone.
    epochs: BTreeMap<String, u64>,
}

impl Evacuations {
    /// Replaces orders with an earlier epoch than the latest received one by the orders of the
    /// current view, and records the epochs.
    fn replace_outdated_orders(&mut self, view: &mut SenderView) {
        for order in &mut view.zones {
            let known_epoch = self.epochs.get(&order.zone).copied().unwrap_or(0);
            if order.epoch >= known_epoch {
                continue;
            }
            if let Some(held) = self.view.zones.iter().find(|o| o.zone == order.zone) {
                *order = held.clone();
            }
        }
        for order in &view.zones {
            if self.epochs.len() >= MAX_ZONES && !self.epochs.contains_key(&order.zone) {
                self.epochs.pop_first();
            }
            let known_epoch = self.epochs.entry(order.zone.clone()).or_default();
            *known_epoch = order.epoch.max(*known_epoch);
        }
    }
}

impl SessionState {
    /// Returns the version of the record in this sender's view.
    pub fn record_version(&self) -> u64 {
        self.evacuations.view.version
    }

    /// Replaces the view of the record, unless the received one is not newer.
    pub(super) fn on_view(
        &mut self,
        now: Nanos,
        mut view: SenderView,
        effects: &mut Vec<SessionEffect>,
    ) {
        if view.version <= self.record_version() {
            return;
        }
        view.zones.truncate(MAX_ZONES);
        self.evacuations.replace_outdated_orders(&mut view);
        self.evacuations.view = view;
        self.evacuations.is_view_current = true;
        if self.is_standalone() {
            self.end_standalone(now, effects);
        } else {
            self.apply_view(now, effects);
        }
    }

    /// Applies the orders of the view, and logs the changes.
    pub(super) fn apply_view(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        let orders = &self.evacuations.view.zones;
        for previous in &self.evacuations.applied {
            if orders.iter().all(|order| order.zone != previous.zone) {
                effects.push(SessionEffect::Log(format!(
                    "zone {} in use again by epoch {}",
                    previous.zone, previous.epoch
                )));
            }
        }
        let mut applied = Vec::with_capacity(orders.len());
        for order in orders {
            let new = AppliedOrder {
                zone: order.zone.clone(),
                epoch: order.epoch,
                returning: order.returning,
            };
            if !self.evacuations.applied.contains(&new) {
                effects.push(SessionEffect::Log(self.describe_order(order)));
            }
            applied.push(new);
        }
        self.evacuations.applied = applied;
        let evacuations = self.evacuations_in_force(now);
        effects.push(SessionEffect::SetEvacuations(evacuations));
    }

    fn describe_order(&self, order: &ZoneOrder) -> String {
        let how = if order.returning { "returning" } else { "left" };
        let destinations = self.evacuated_destinations(order).map(|(dest, _)| dest);
        let destinations = format_destinations(destinations.collect());
        let (zone, epoch) = (&order.zone, order.epoch);
        format!("zone {zone} {how} by epoch {epoch} for {destinations}")
    }

    /// Handles a grant of leased attempts that was received on the connection of that number.
    pub(super) fn on_grant(
        &mut self,
        now: Nanos,
        connection: u64,
        grant: AttemptLeaseGrant,
        effects: &mut Vec<SessionEffect>,
    ) {
        let AttemptLeaseGrant {
            report,
            zone,
            epoch,
            dest,
            attempts,
            within_ms,
        } = grant;
        if self.is_standalone() || attempts == 0 || !self.may_be_granted(&zone, epoch, dest) {
            return;
        }
        let Some(sent) = self.reports.sent_for_grant(report, connection) else {
            return;
        };
        let until = lease::believed_end(sent, within_ms);
        // A duplicate of a grant counts once.
        if now < until && self.reports.take_grant(report, &zone, dest) {
            effects.push(SessionEffect::GrantLease {
                zone,
                dest,
                epoch,
                attempts: attempts.min(MAX_GRANTED_ATTEMPTS),
                until,
            });
        }
    }

    /// Whether the order of that epoch returns the zone, and this sender has evacuated the
    /// destination.
    fn may_be_granted(&self, zone: &str, epoch: u64, dest: u16) -> bool {
        let orders = &self.evacuations.view.zones;
        let order = orders
            .iter()
            .find(|o| o.zone == zone && o.returning && o.epoch == epoch);
        order.is_some_and(|order| self.evacuated_destinations(order).any(|(d, _)| d == dest))
    }

    /// Returns the destinations of a zone that this sender has evacuated, each with the fraction of
    /// all senders that have evacuated it.
    pub(super) fn evacuated_destinations<'a>(
        &'a self,
        order: &'a ZoneOrder,
    ) -> impl Iterator<Item = (u16, f32)> + 'a {
        order.out.iter().copied().filter(|(dest, fraction)| {
            sender_hash_fraction(&self.config.sender, &order.zone, *dest) < *fraction
        })
    }

    /// Returns the evacuations in force now: as ordered, or while standalone until this sender's
    /// own time.
    pub(super) fn evacuations_in_force(&self, now: Nanos) -> Vec<ZoneEvacuation> {
        let mut evacuations: BTreeMap<(String, u16), ZoneEvacuation> = BTreeMap::new();
        for order in &self.evacuations.view.zones {
            for (dest, fraction) in self.evacuated_destinations(order) {
                let (epoch, until) = match self.lease.standalone_since {
                    None => (order.epoch, None),
                    Some(since) => {
                        let delay = self.return_delay(&order.zone, dest, fraction);
                        (0, Some(since + delay))
                    }
                };
                if until.is_some_and(|until| now >= until) {
                    continue;
                }
                let evacuation = ZoneEvacuation {
                    zone: order.zone.clone(),
                    dest,
                    epoch,
                    until,
                };
                evacuations.insert((order.zone.clone(), dest), evacuation);
            }
        }
        evacuations.into_values().collect()
    }

    /// Returns the delay after which this sender, once standalone, returns to a zone's destination
    /// that a fraction of all senders has evacuated. The senders are spread evenly over the warm-up
    /// time by a hash.
    fn return_delay(&self, zone: &str, dest: u16, fraction: f32) -> Nanos {
        // The hashes of the senders that have evacuated it are spread evenly from 0 to that
        // fraction.
        let position = sender_hash_fraction(&self.config.sender, zone, dest) / fraction;
        (f64::from(position) * self.config.warm_after.max(SEC) as f64) as Nanos
    }
}

/// Formats destinations for a log line, with consecutive ones as one run: at most
/// [`MAX_LOGGED_RUNS`] runs, and the number of further destinations.
pub(super) fn format_destinations(mut destinations: Vec<u16>) -> String {
    destinations.sort_unstable();
    let runs: Vec<&[u16]> = destinations.chunk_by(|a, b| a + 1 == *b).collect();
    let more: usize = runs.iter().skip(MAX_LOGGED_RUNS).map(|run| run.len()).sum();
    let named: Vec<String> = runs
        .iter()
        .take(MAX_LOGGED_RUNS)
        .map(|run| match run {
            [one] => one.to_string(),
            run => format!("{}-{}", run[0], run[run.len() - 1]),
        })
        .collect();
    match (named.is_empty(), more) {
        (true, _) => "no destination".into(),
        (_, 0) => format!("destinations {}", named.join(", ")),
        (_, more) => format!("destinations {} and {more} more", named.join(", ")),
    }
}
