//! Which zone is left or returned to next, by the evidence and by what operators wish: one order at
//! the most.

use crate::coordination::leader::capacity::{expected_load, share_of};
use crate::coordination::leader::{LeaderDuties, Out};
use crate::coordination::messages::ZoneWish;
use crate::coordination::record::{Command, Phase, Record, Wish, Zone};
use crate::coordination::zones::evidence::Verdict;
use crate::coordination::zones::recovery_ramp::{Share, Step};
use crate::Nanos;
use std::collections::BTreeMap;

/// Destinations of which the log tells why they are not left by all, at the most.
const MOST_TOLD: usize = 10;

/// An order: the zone, its phase, who is out, returns that failed, and why.
type Next = (String, Phase, Vec<(u16, f32)>, u32, String);

impl LeaderDuties {
    pub(super) fn follow(&mut self, now: Nanos, record: &Record) {
        let back = record
            .zones
            .iter()
            .filter(|(_, z)| z.phase == Phase::Returning);
        let back = back.map(|(zone, z)| {
            (
                zone.as_str(),
                z.epoch,
                z.out.iter().map(|(d, _)| *d).collect(),
                z.warm.as_slice(),
            )
        });
        self.cold.follow(now, back);
    }

    pub(super) fn reserve(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        for (zone, z) in record
            .zones
            .iter()
            .filter(|(_, z)| z.phase == Phase::Returning)
        {
            let (lists, evidence, headroom) =
                (&self.lists, &self.evidence, self.rules.zones.headroom);
            let listed = |dest| {
                let (left, out) = (share_of(&z.left, dest), share_of(&z.out, dest));
                // Those that are not listed any more get nothing.
                let rate = lists.route(zone, dest).map(|r| r.rate);
                rate.map_or(Share::default(), |rate| Share {
                    rate,
                    left: left.into(),
                    taken: f64::from(left - out)
                        * expected_load(lists, evidence, zone, dest).min(rate * headroom),
                })
            };
            if let Some((slice, calls, warm)) = self.cold.reserve(now, zone, listed) {
                let (term, epoch, zone) = (self.term, z.epoch, zone.clone());
                out.push(Out::Propose(Command::Slice {
                    term,
                    slice,
                    zone,
                    epoch,
                    calls,
                    warm,
                }));
            }
        }
    }

    /// Looks at the evidence and at what people wish, and proposes one order at the most.
    pub(super) fn decide(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        self.looked = now;
        self.evidence.age(now);
        self.lists.settle();
        self.follow(now, record);
        let lists = &self.lists;
        let is_out = |zone: &str| {
            record
                .zones
                .get(zone)
                .is_some_and(|z| z.phase != Phase::Used)
        };
        self.verdicts =
            self.evidence
                .judge(now, self.sessions.len(), |zone| lists.count(zone), is_out);
        let steps: BTreeMap<&String, Step> = record
            .zones
            .iter()
            .filter(|(_, z)| z.phase == Phase::Returning)
            .map(|(zone, z)| {
                (
                    zone,
                    self.cold
                        .step(now, zone, wish(z.wish) == Some(ZoneWish::Hold)),
                )
            })
            .collect();
        if self.deciding.is_some() {
            return;
        }
        let order = record
            .zones
            .iter()
            .find_map(|(zone, z)| self.next(zone, z, steps.get(zone).copied(), record))
            .or_else(|| self.next_to_leave(record));
        for (zone, step) in steps {
            // Whoever wishes a return has it tried again.
            if step == Step::Failed && wish(record.zones[zone].wish) == Some(ZoneWish::Return) {
                self.cold.anew(zone);
            }
        }
        if let Some((zone, phase, parts, tries, why)) = order {
            log::info!("zone={zone} phase={phase:?} tries={tries} out={parts:?} why={why}");
            if phase == Phase::Left {
                let rest = self.rest(&zone, record).into_iter();
                for (dest, rest) in rest
                    .filter(|(d, _)| share_of(&parts, *d) < 1.0)
                    .take(MOST_TOLD)
                {
                    let part = share_of(&parts, dest);
                    log::info!(
                        "zone={zone} destination={dest} is left by a part of {part}, as the rest is {rest:?}"
                    );
                }
            }
            self.deciding = Some((record.epoch, now));
            out.push(Out::Propose(Command::Order {
                base: record.epoch,
                zone,
                phase,
                out: parts,
                tries,
                why,
            }));
        }
    }

    /// What is next for a zone that the record names.
    fn next(&self, zone: &str, z: &Zone, step: Option<Step>, record: &Record) -> Option<Next> {
        let wish = wish(z.wish);
        if wish == Some(ZoneWish::Hold) {
            return None;
        }
        // What is carried is a mean over so long; before it tells of the last order nothing follows
        // from it.
        let passed =
            record.clock_ms.saturating_sub(z.since_ms) >= u64::from(self.rules.zones.load_ms);
        let is_out = z.phase != Phase::Used && !self.cold.has_begun(zone);
        let grown = || {
            let out = self.grown(zone, z, record)?;
            Some((
                zone.to_string(),
                Phase::Left,
                out,
                z.tries,
                "the rest bears more".to_string(),
            ))
        };
        let more = (passed && is_out && wish != Some(ZoneWish::Return))
            .then(grown)
            .flatten();
        more.or_else(|| self.moves(zone, z, step, record))
    }

    /// The same, but for how many leave.
    fn moves(&self, zone: &str, z: &Zone, step: Option<Step>, record: &Record) -> Option<Next> {
        let rules = &self.rules.zones;
        let passed = record.clock_ms.saturating_sub(z.since_ms);
        let to = |phase, out, tries, why: &str| {
            Some((zone.to_string(), phase, out, tries, why.to_string()))
        };
        let wish = wish(z.wish);
        match z.phase {
            Phase::Used if wish == Some(ZoneWish::Leave) => {
                let parts = self.may_leave(zone, record).ok()?;
                to(Phase::Left, parts, z.tries, "a person's word")
            }
            Phase::Used if z.tries > 0 && passed >= u64::from(rules.calm_ms) => {
                to(Phase::Used, Vec::new(), 0, "in use for long")
            }
            Phase::Used => None,
            Phase::Left if wish == Some(ZoneWish::Leave) => None,
            Phase::Left => {
                let rest = u64::from(rules.rest_ms) << z.tries.min(20);
                let rested = passed >= rest.min(rules.most_rest_ms.into());
                let listed = self.lists.count(zone) > 0;
                match wish {
                    Some(ZoneWish::Return) => {
                        to(Phase::Returning, z.out.clone(), z.tries, "a person's word")
                    }
                    _ if rested && listed => to(Phase::Returning, z.out.clone(), z.tries, "rested"),
                    _ => None,
                }
            }
            Phase::Returning if wish == Some(ZoneWish::Leave) => {
                to(Phase::Left, z.left.clone(), z.tries, "a person's word")
            }
            Phase::Returning => self.returns(zone, z, step?, passed),
        }
    }

    /// The same for a zone that is being returned to, and stands as it is for `passed`
    /// milliseconds.
    fn returns(&self, zone: &str, z: &Zone, step: Step, passed: u64) -> Option<Next> {
        let rules = &self.rules.zones;
        let to = |phase, out, tries, why: &str| {
            Some((zone.to_string(), phase, out, tries, why.to_string()))
        };
        let fails = matches!(self.verdicts.get(zone), Some(Verdict::Fails { .. }));
        match step {
            _ if wish(z.wish) == Some(ZoneWish::Return) => {}
            Step::Failed => {
                return to(
                    Phase::Left,
                    z.left.clone(),
                    z.tries.saturating_add(1),
                    "the return failed",
                )
            }
            // Senders that are in see it, and not by granted calls.
            _ if fails && self.cold.has_begun(zone) => {
                let why = "it fails while it is returned to";
                return to(Phase::Left, z.left.clone(), z.tries.saturating_add(1), why);
            }
            _ => {}
        }
        let out = self.still_out(zone, z, step);
        // An order voids what was granted: those that have not answered yet have had their time
        // with it.
        let lags = z
            .out
            .iter()
            .any(|(d, _)| self.cold.bears(zone, *d).is_none());
        let gap = if lags {
            rules.within_ms.max(self.settle_ms())
        } else {
            self.settle_ms()
        };
        let begun_ms = self.cold.begun_ms(zone, self.looked).unwrap_or(u64::MAX);
        if out == z.out || passed.min(begun_ms) < u64::from(gap) {
            None
        } else if out.is_empty() {
            let why = if step == Step::Unwanted {
                "nobody calls there"
            } else {
                "warm"
            };
            to(Phase::Used, Vec::new(), z.tries.saturating_add(1), why)
        } else {
            to(Phase::Returning, out, z.tries, "it bears more")
        }
    }

    /// The zone that evidence says to leave next, if there is one: where more fail, the one that
    /// most see.
    fn next_to_leave(&self, record: &Record) -> Option<Next> {
        let failing = self
            .verdicts
            .iter()
            .filter_map(|(zone, verdict)| match verdict {
                Verdict::Fails { seen_by, of } => Some((zone, *seen_by, *of)),
                _ => None,
            });
        let mut failing: Vec<_> = failing.collect();
        failing.sort_by_key(|(_, seen_by, _)| std::cmp::Reverse(*seen_by));
        failing.into_iter().find_map(|(zone, seen_by, of)| {
            let known = record.zones.get(zone);
            if known.is_some_and(|z| z.phase != Phase::Used || z.wish.is_some()) {
                return None;
            }
            let parts = self.may_leave(zone, record).ok()?;
            let why = format!("seen failing by {seen_by} of {of} senders");
            Some((
                zone.clone(),
                Phase::Left,
                parts,
                known.map_or(0, |z| z.tries),
                why,
            ))
        })
    }
}

pub(super) fn wish(wish: Option<Wish>) -> Option<ZoneWish> {
    wish.map(|w| w.what)
}
