//! How much of the traffic of a zone the other zones can bear, and how much a zone that is returned
//! to can take. Decides nothing.

use crate::coordination::leader::LeaderDuties;
use crate::coordination::record::{Phase, Record, Zone};
use crate::coordination::zones::evidence::Evidence;
use crate::coordination::zones::recovery_ramp::{Step, PRESSED};
use crate::coordination::zones::spare_capacity::{bearable, Lists, Rest};
use std::collections::BTreeMap;

/// Senders come in again at most by this part of those that were out at once, then all.
const LAST_STEP: f32 = 0.5;
/// A leave that is in part grows by so great a part of the senders at least.
const LEAST_GAIN: f32 = 0.1;
/// A destination's part of the senders that is out falls in so many steps: each is an order, which
/// voids what was granted before.
const STEPS: f64 = 4.0;
/// The first of them lets in so great a part.
const FIRST_STEP: f64 = 0.5;

impl LeaderDuties {
    /// Who stays out of a zone that is being returned to: of each destination as many come in as
    /// what it takes by now has room for, in quarters and at most half of them at once. Empty where
    /// all come in.
    pub(super) fn still_out(&self, zone: &str, z: &Zone, step: Step) -> Vec<(u16, f32)> {
        let rules = &self.rules.zones;
        let lately = self.evidence.lately(zone, self.looked, rules.silent_ms);
        let part = |dest: u16, left: f32| {
            let now = share_of(&z.out, dest);
            let bears = match step {
                Step::Unwanted => 1.0,
                _ => self.cold.bears(zone, dest).unwrap_or(0.0),
            };
            let pressed = lately
                .get(&dest)
                .is_some_and(|l| l.refused_share() >= PRESSED);
            let room = (STEPS * bears * self.room(zone, dest)).floor().min(STEPS) / STEPS;
            // What is colder goes by granted calls alone.
            let room = if room < FIRST_STEP { 0.0 } else { room };
            let most = if now > left * LAST_STEP {
                now * LAST_STEP
            } else {
                0.0
            };
            let part = (left * (1.0 - room as f32)).max(most).min(now);
            if pressed || now <= 0.0 {
                now
            } else {
                part
            }
        };
        let parts: Vec<(u16, f32, bool)> = z
            .left
            .iter()
            .map(|(d, left)| (*d, part(*d, *left), self.cold.bears(zone, *d).is_some()))
            .filter(|(_, part, _)| *part > 0.0)
            .collect();
        // One that does not answer alone, or that nobody calls, keeps the order no longer than the
        // others do.
        if parts.len() < z.left.len() && parts.iter().all(|(.., answers)| !answers) {
            return Vec::new();
        }
        parts.into_iter().map(|(d, part, _)| (d, part)).collect()
    }

    /// The part of the senders that may be in a destination of a zone where it bears all that is
    /// listed; over 1 where there is room to spare. By the list at least: no more than the headroom
    /// of it is used. Where less comes than that, by what comes: the zone's part of all that the
    /// destination carries now, and no more senders than their even parts push a cold one over.
    fn room(&self, zone: &str, dest: u16) -> f64 {
        let rules = &self.rules.zones;
        let by_list = 1.0 / rules.headroom;
        let Some(rate) = self
            .lists
            .route(zone, dest)
            .map(|r| r.rate)
            .filter(|rate| *rate > 0.0)
        else {
            return by_list;
        };
        let expected_load = expected_load(&self.lists, &self.evidence, zone, dest);
        let topples = if rules.overload_for_ms == 0 {
            f64::INFINITY
        } else {
            rules.overload_factor
        };
        let by_load = if expected_load > 0.0 {
            rate * rules.headroom / expected_load
        } else {
            by_list
        };
        by_list.max(by_load.min(topples))
    }

    /// Time between two steps of a return: a beat of the record's clock at least, as it is counted
    /// on it.
    pub(super) fn settle_ms(&self) -> u32 {
        (self.rules.zones.warm_after_ms / 20).clamp(self.rules.beat_ms, 1_000)
    }

    /// Whether one more zone may be left, and for which destinations and parts of the senders.
    pub(super) fn may_leave(&self, zone: &str, record: &Record) -> Result<Vec<(u16, f32)>, String> {
        // One that no list names any more carries nothing, whatever stands of it.
        let out = record
            .zones
            .iter()
            .filter(|(name, z)| z.phase != Phase::Used && *name != zone);
        let out = out.filter(|(name, _)| self.lists.count(name) > 0).count();
        let all = self.lists.zones().count();
        let share = ((all as f64 * self.rules.zones.left_share).floor() as usize).max(1);
        let most = share.min(self.rules.zones.most_left as usize);
        if out >= most {
            return Err(format!(
                "{out} zones of {all} are out already, of {most} that may be"
            ));
        }
        if !record.has_room(zone) {
            return Err("the record names as many zones as it may".into());
        }
        let parts = self.parts(zone, record, |dest| self.evidence.carried(zone, dest));
        if parts.is_empty() {
            return Err("no other zone can bear what goes there".into());
        }
        Ok(parts)
    }

    /// Who is out of a zone, where more can leave than have left: of destinations that fail there
    /// still, what the rest has room for now.
    pub(super) fn grown(&self, zone: &str, z: &Zone, record: &Record) -> Option<Vec<(u16, f32)>> {
        let stays = |dest: u16| 1.0 - share_of(&z.left, dest);
        let span = self.rules.zones.windows_ms.last().copied().unwrap_or(1_000);
        let seen = self.evidence.lately(zone, self.looked, span);
        let fails = |dest: u16| seen.get(&dest).is_some_and(|l| l.bad > l.taken + l.refused);
        if self
            .lists
            .dests(zone)
            .all(|(dest, _)| stays(dest) < LEAST_GAIN || !fails(dest))
        {
            return None;
        }
        // What those that stay would bring elsewhere; some of it is there already, after a call
        // that failed.
        let load =
            |dest| f64::from(stays(dest)) * expected_load(&self.lists, &self.evidence, zone, dest);
        let mut out: BTreeMap<u16, f32> = z.left.iter().copied().collect();
        let mut gains = false;
        for (dest, more) in self.parts(zone, record, load) {
            let gain = stays(dest) * more;
            if fails(dest) && gain >= LEAST_GAIN {
                *out.entry(dest).or_insert(0.0) += gain;
                gains = true;
            }
        }
        gains.then(|| out.into_iter().collect())
    }

    /// By destination, the part of the senders that the rest can bear, by what each brings.
    fn parts(&self, zone: &str, record: &Record, load: impl Fn(u16) -> f64) -> Vec<(u16, f32)> {
        let rest = self.rest(zone, record).into_iter();
        let parts =
            rest.map(|(dest, rest)| (dest, bearable(&self.rules.zones, load(dest), &rest) as f32));
        parts.filter(|(_, part)| *part > 0.0).collect()
    }

    /// What there is beside a zone for each of its destinations.
    pub(super) fn rest(&self, zone: &str, record: &Record) -> Vec<(u16, Vec<Rest>)> {
        let rules = &self.rules.zones;
        let others: Vec<&str> = self.lists.zones().filter(|z| *z != zone).collect();
        let span = rules.windows_ms.last().copied().unwrap_or(1_000);
        let lately: BTreeMap<&str, _> = others
            .iter()
            .map(|z| (*z, self.evidence.lately(z, self.looked, span)))
            .collect();
        let rest = |dest| {
            let rest = others.iter().filter_map(|other| {
                let route = self.lists.route(other, dest)?;
                let stands = record.zones.get(*other).filter(|z| z.phase != Phase::Used);
                let seen = lately[other].get(&dest).copied().unwrap_or_default();
                Some(Rest {
                    rate: route.rate,
                    carried: self.evidence.carried(other, dest),
                    refused: seen.least_refused(),
                    out: stands.map_or(0.0, |z| share_of(&z.out, dest).into()),
                    fails: seen.bad > seen.taken + seen.refused,
                })
            });
            rest.collect()
        };
        self.lists
            .dests(zone)
            .map(|(dest, _)| (dest, rest(dest)))
            .collect()
    }
}

/// Calls a second that a zone would get for a destination were all senders in it: its part, by the
/// list, of all that is carried there.
pub(super) fn expected_load(lists: &Lists, evidence: &Evidence, zone: &str, dest: u16) -> f64 {
    let rates = lists
        .zones()
        .filter_map(|z| Some((z, lists.route(z, dest)?.rate)));
    let (all, carried) = rates.fold((0.0, 0.0), |(all, carried), (z, rate)| {
        (all + rate, carried + evidence.carried(z, dest))
    });
    carried * lists.route(zone, dest).map_or(0.0, |r| r.rate) / f64::max(all, 1e-9)
}

/// The part of the senders that is out of a destination.
pub(super) fn share_of(parts: &[(u16, f32)], dest: u16) -> f32 {
    parts
        .iter()
        .find(|(d, _)| *d == dest)
        .map_or(0.0, |(_, part)| *part)
}
