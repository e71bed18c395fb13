//! What all senders see of zones, and what it tells.
//!
//! Reports are counts. Those of the last windows are kept by zone; a zone is judged in each window
//! by four questions, all of which have to be answered with yes, and that for
//! [`Rules::confirm_ms`]:
//!
//! 1. Do its calls fail: is the part that failed, less some standard errors, over
//!    [`Rules::fail_share`]? Refusals are no failures.
//! 2. Is it the zone: are [`Rules::dest_share`] of the destinations called there hit, and two at
//!    least where it lists two? A destination that fails in most other zones, too, is its partner's
//!    trouble and counts for neither.
//! 3. Do most reporters that call there see it, by what they send (each up to
//!    [`Rules::most_weight`]) and by head?
//! 4. Do they stand in more than [`Rules::own_share`] of the zones that reporters of it stand in?
//!
//! A reporter that sees all other zones fail is cut off itself and counts for none; so are all of a
//! zone of reporters, where the sum of what they see says so. Where few of the senders are heard,
//! the keepers are cut off, and nothing is judged.

use crate::coordination::messages::{Counts, Seen};
use crate::coordination::zones::{ms, Rules};
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A value that says how many calls hang is one for so long: five reports.
const HANGS: u32 = 1_000;
/// Own zones that are told apart at the most; the others count as one.
const GROUPS: usize = 256;
/// Parts of the time over which load is counted.
const PARTS: usize = 10;
/// Calls answered that a zone may have, for each that hangs, and still be silent: those of the
/// moment in which it fell so.
const STRAY: f64 = 0.1;

/// A reporter: its number in this office.
pub type Id = u32;

#[derive(Clone, Copy, Debug)]
struct Sight {
    at: Nanos,
    id: Id,
    dest: u16,
    taken: f32,
    refused: f32,
    bad: f32,
}

/// Counts of the last [`Rules::load_ms`].
#[derive(Clone, Debug, Default)]
struct Load {
    parts: [f32; PARTS],
    part: u64,
}

impl Load {
    fn go_on(&mut self, part: u64) {
        for gone in self.part + 1..=part.min(self.part + PARTS as u64) {
            self.parts[gone as usize % PARTS] = 0.0;
        }
        self.part = self.part.max(part);
    }
}

#[derive(Clone, Debug, Default)]
struct Sighted {
    sights: VecDeque<Sight>,
    hanging: BTreeMap<(Id, u16), (Nanos, f32)>,
    load: BTreeMap<u16, Load>,
    failing_since: Option<Nanos>,
}

/// What a zone is judged to be.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing tells that it fails.
    Well,
    /// Something fails there, but too little is seen to say what.
    Unclear,
    /// Only these destinations fail there.
    Destinations(Vec<u16>),
    /// Reporters that stand in these zones see it, and the others don't.
    Own(Vec<String>),
    /// It fails, in the eyes of so many reporters out of so many.
    Fails {
        /// Reporters that see it.
        seen_by: usize,
        /// Reporters that call there.
        of: usize,
    },
}

/// What became of calls lately, each reporter counted up to its weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lately {
    /// Taken.
    pub taken: f64,
    /// Refused.
    pub refused: f64,
    /// Failed.
    pub bad: f64,
}

impl Lately {
    fn all(self) -> f64 {
        self.taken + self.refused + self.bad
    }

    fn bad_share(self) -> f64 {
        self.bad / self.all().max(1e-9)
    }

    /// Part of those that reached it that was refused.
    pub fn refused_share(self) -> f64 {
        self.refused / (self.taken + self.refused).max(1e-9)
    }

    /// The same less a standard error: one refusal in nine calls is chance.
    pub fn least_refused(self) -> f64 {
        least_share(self.refused, self.taken + self.refused, 1.0)
    }

    fn add(&mut self, more: Lately, times: f64) {
        self.taken += more.taken * times;
        self.refused += more.refused * times;
        self.bad += more.bad * times;
    }
}

/// All that is seen.
#[derive(Clone, Debug)]
pub struct Evidence {
    rules: Rules,
    zones: BTreeMap<String, Sighted>,
    groups: Vec<String>,
    own: BTreeMap<Id, u16>,
    heard: BTreeMap<Id, Nanos>,
    kept: usize,
}

/// What one window shows of a zone: by reporter and destination.
type Window = BTreeMap<(Id, u16), Lately>;
/// The weights of its reporters, and what they show by destination.
type Weighed = (BTreeMap<Id, f64>, BTreeMap<u16, Lately>);

impl Evidence {
    /// Nothing is seen yet.
    pub fn new(rules: Rules) -> Evidence {
        let (zones, own, heard) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Evidence {
            rules,
            zones,
            groups: Vec::new(),
            own,
            heard,
            kept: 0,
        }
    }

    /// A reporter is there, and stands in a zone.
    pub fn meet(&mut self, id: Id, own: &str) {
        let at = self
            .groups
            .iter()
            .position(|g| g == own)
            .unwrap_or_else(|| {
                if self.groups.len() < GROUPS {
                    self.groups.push(own.into());
                }
                self.groups.len() - 1
            });
        self.own.insert(id, at as u16);
    }

    /// A reporter is gone; what it saw goes by its age.
    pub fn part(&mut self, id: Id) {
        self.own.remove(&id);
        self.heard.remove(&id);
    }

    /// A reporter tells what it saw. `most` says for a zone and destination how many taken calls of
    /// one report count as its load.
    pub fn hear(
        &mut self,
        now: Nanos,
        id: Id,
        seen: &[Seen],
        most: impl Fn(&str, u16) -> Option<f32>,
    ) {
        self.heard.insert(id, now);
        let part = now / (ms(self.rules.load_ms) / PARTS as u64).max(1);
        for Seen { zone, dest, counts } in seen {
            // Zones that no list names are kept out: names from one reporter must not fill the
            // tables.
            let Some(most) = most(zone, *dest) else {
                continue;
            };
            let Counts {
                ok,
                refused,
                failed,
                late,
                unconnected,
                hanging,
            } = *counts;
            let zone = self.zones.entry(zone.clone()).or_default();
            let bad = failed as f32 + late as f32 + unconnected as f32;
            let sight = Sight {
                at: now,
                id,
                dest: *dest,
                taken: ok as f32,
                refused: refused as f32,
                bad,
            };
            if sight.taken + sight.refused + sight.bad > 0.0 {
                zone.sights.push_back(sight);
                self.kept += 1;
            }
            if hanging > 0 {
                zone.hanging.insert((id, *dest), (now, hanging as f32));
            } else {
                zone.hanging.remove(&(id, *dest));
            }
            let load = zone.load.entry(*dest).or_default();
            load.go_on(part);
            load.parts[part as usize % PARTS] += sight.taken.min(most);
        }
        self.bound();
    }

    fn bound(&mut self) {
        while self.kept > self.rules.most_sights {
            let Some(zone) = self.zones.values_mut().max_by_key(|z| z.sights.len()) else {
                return;
            };
            self.kept -= usize::from(zone.sights.pop_front().is_some());
        }
    }

    /// Lets go of what is too old to tell anything.
    pub fn age(&mut self, now: Nanos) {
        let longest = self
            .rules
            .windows_ms
            .last()
            .copied()
            .unwrap_or(0)
            .max(self.rules.silent_ms);
        let part = now / (ms(self.rules.load_ms) / PARTS as u64).max(1);
        let mut kept = 0;
        for zone in self.zones.values_mut() {
            while zone
                .sights
                .front()
                .is_some_and(|s| s.at + ms(longest) <= now)
            {
                zone.sights.pop_front();
            }
            zone.hanging.retain(|_, (at, _)| *at + ms(HANGS) > now);
            zone.load.values_mut().for_each(|l| l.go_on(part));
            zone.load.retain(|_, l| l.parts.iter().any(|p| *p > 0.0));
            kept += zone.sights.len();
        }
        self.zones
            .retain(|_, z| !z.sights.is_empty() || !z.hanging.is_empty() || !z.load.is_empty());
        self.kept = kept;
    }

    /// Calls a second that a zone took for a destination, over [`Rules::load_ms`].
    pub fn carried(&self, zone: &str, dest: u16) -> f64 {
        let load = self.zones.get(zone).and_then(|z| z.load.get(&dest));
        load.map_or(0.0, |l| {
            f64::from(l.parts.iter().sum::<f32>()) * 1e3 / f64::from(self.rules.load_ms)
        })
    }

    /// What became of calls to a zone in its last `span_ms`, by destination.
    pub fn lately(&self, zone: &str, now: Nanos, span_ms: u32) -> BTreeMap<u16, Lately> {
        let most = self.rules.most_weight;
        let window = self
            .zones
            .get(zone)
            .map(|z| window(z, now, span_ms, None, most))
            .unwrap_or_default();
        by_dest(&window, &weights(&window, most), |_| true)
    }

    /// Judges all zones. `live` is the number of senders with a session; `listed` says how many
    /// destinations a zone lists; the zones that `is_out` are not asked whether a destination fails
    /// elsewhere, too.
    pub fn judge(
        &mut self,
        now: Nanos,
        live: usize,
        listed: impl Fn(&str) -> usize,
        is_out: impl Fn(&str) -> bool,
    ) -> BTreeMap<String, Verdict> {
        let heard = self
            .heard
            .values()
            .filter(|at| **at + ms(HANGS) > now)
            .count();
        let unheard = (heard as f64) < self.rules.heard_share * live as f64;
        let mut verdicts: BTreeMap<String, Verdict> = BTreeMap::new();
        if !unheard {
            for span in self.rules.windows_ms.clone() {
                for (zone, verdict) in self.judge_window(now, span, &listed, &is_out) {
                    let worst = verdicts.entry(zone).or_insert(Verdict::Well);
                    if rank(&verdict) > rank(worst) {
                        *worst = verdict;
                    }
                }
            }
        }
        for (name, zone) in &mut self.zones {
            let fails = matches!(verdicts.get(name), Some(Verdict::Fails { .. }));
            zone.failing_since = fails.then(|| zone.failing_since.unwrap_or(now));
            if zone
                .failing_since
                .is_some_and(|since| now < since + ms(self.rules.confirm_ms))
            {
                verdicts.insert(name.clone(), Verdict::Unclear);
            }
        }
        verdicts
    }

    fn judge_window(
        &self,
        now: Nanos,
        span: u32,
        listed: &impl Fn(&str) -> usize,
        is_out: &impl Fn(&str) -> bool,
    ) -> Vec<(String, Verdict)> {
        // A quiet moment costs a look at each sight, and no tables.
        let from = now.saturating_sub(ms(span));
        let trouble = |z: &Sighted| {
            !z.hanging.is_empty()
                || z.sights
                    .iter()
                    .rev()
                    .take_while(|s| s.at > from)
                    .any(|s| s.bad > 0.0)
        };
        if !self.zones.values().any(trouble) {
            return Vec::new();
        }
        // What has to be seen for some time has been silent for as long when it is believed.
        let silent = Some(self.rules.silent_ms.saturating_sub(self.rules.confirm_ms));
        let most = self.rules.most_weight;
        let windows: BTreeMap<&str, Window> = self
            .zones
            .iter()
            .map(|(n, z)| (n.as_str(), window(z, now, span, silent, most)))
            .collect();
        let cut = self.cut_off(&windows);
        let whole: BTreeMap<&str, Weighed> = windows
            .iter()
            .map(|(name, window)| {
                let weights = weights(window, self.rules.most_weight);
                let dests = by_dest(window, &weights, |id| !cut.contains(&id));
                (*name, (weights, dests))
            })
            .collect();
        let troubled = self.zones.iter().filter(|(_, z)| trouble(z));
        let judged = troubled.map(|(name, _)| {
            let (weights, dests) = &whole[name.as_str()];
            // Where a destination fails in most of the other zones that are called for it, its
            // partner is in trouble.
            let everywhere = |dest: u16| {
                let others = whole.iter().filter(|(n, _)| **n != name && !is_out(n));
                let others: Vec<_> = others.filter_map(|(_, (_, d))| d.get(&dest)).collect();
                let hit = others
                    .iter()
                    .filter(|l| l.bad_share() >= self.rules.fail_share)
                    .count();
                hit * 2 > others.len()
            };
            let partners: BTreeSet<u16> =
                dests.keys().copied().filter(|d| everywhere(*d)).collect();
            let window = &windows[name.as_str()];
            (
                name.clone(),
                self.judge_zone(window, weights, dests, &partners, &cut, listed(name)),
            )
        });
        judged.collect()
    }

    fn judge_zone(
        &self,
        window: &Window,
        weights: &BTreeMap<Id, f64>,
        dests: &BTreeMap<u16, Lately>,
        partners: &BTreeSet<u16>,
        cut: &BTreeSet<Id>,
        listed: usize,
    ) -> Verdict {
        let rules = &self.rules;
        let counted: Vec<_> = dests
            .iter()
            .filter(|(d, _)| !partners.contains(d))
            .collect();
        let hit: Vec<u16> = counted
            .iter()
            .filter(|(_, l)| l.bad_share() >= rules.fail_share)
            .map(|(d, _)| **d)
            .collect();
        if hit.is_empty() {
            return Verdict::Well;
        }
        let needed = (counted.len() as f64 * rules.dest_share).max(listed.min(2) as f64);
        if (hit.len() as f64) < needed {
            return Verdict::Destinations(hit);
        }
        let mut sum = Lately::default();
        counted.iter().for_each(|(_, l)| sum.add(**l, 1.0));
        if least_share(sum.bad, sum.all(), rules.errors) < rules.fail_share {
            return Verdict::Unclear;
        }
        let mut eyes: BTreeMap<Id, Lately> = BTreeMap::new();
        for ((id, dest), l) in window {
            if !partners.contains(dest) && !cut.contains(id) {
                eyes.entry(*id).or_default().add(*l, weights[id]);
            }
        }
        let sees = |l: &Lately| l.bad_share() >= rules.fail_share;
        let (mut all, mut seen, mut heads) = (0.0, 0.0, 0);
        let mut own: BTreeMap<u16, (usize, usize)> = BTreeMap::new();
        for (id, l) in &eyes {
            let group = own
                .entry(self.own.get(id).copied().unwrap_or(0))
                .or_default();
            all += l.all();
            group.1 += 1;
            if sees(l) {
                (seen, heads, group.0) = (seen + l.all(), heads + 1, group.0 + 1);
            }
        }
        // Reporters that stand together see together: most of each zone of theirs has to.
        let seeing: Vec<u16> = own
            .iter()
            .filter(|(_, (s, of))| s * 2 > *of)
            .map(|(g, _)| *g)
            .collect();
        if seeing.len() as f64 <= rules.own_share * own.len() as f64 {
            return Verdict::Own(
                seeing
                    .iter()
                    .map(|g| self.groups[usize::from(*g)].clone())
                    .collect(),
            );
        }
        let enough = heads as f64 >= rules.reporter_share * eyes.len() as f64
            && seen >= rules.reporter_share * all
            && heads >= rules.least_reporters as usize;
        if enough {
            Verdict::Fails {
                seen_by: heads,
                of: eyes.len(),
            }
        } else {
            Verdict::Unclear
        }
    }

    /// Reporters that see all zones but their own fail, two at least: it is they that are cut off.
    /// Where that is so for the sum of a zone's reporters, all of them.
    fn cut_off(&self, windows: &BTreeMap<&str, Window>) -> BTreeSet<Id> {
        let own = |id: &Id| self.own.get(id).copied().unwrap_or(0);
        let mut alone: BTreeMap<Id, (u32, u32)> = BTreeMap::new();
        let mut groups: BTreeMap<u16, (u32, u32)> = BTreeMap::new();
        for (name, window) in windows {
            let mut of_each: BTreeMap<Id, Lately> = BTreeMap::new();
            let mut of_group: BTreeMap<u16, Lately> = BTreeMap::new();
            let weights = weights(window, self.rules.most_weight);
            for ((id, _), l) in window {
                if self
                    .groups
                    .get(usize::from(own(id)))
                    .is_none_or(|g| g != name)
                {
                    of_each.entry(*id).or_default().add(*l, 1.0);
                    of_group.entry(own(id)).or_default().add(*l, weights[id]);
                }
            }
            let fails = |l: &Lately| u32::from(l.bad_share() >= self.rules.fail_share);
            for (id, l) in of_each {
                let (failing, called) = alone.entry(id).or_default();
                (*failing, *called) = (*failing + fails(&l), *called + 1);
            }
            for (group, l) in of_group {
                let (failing, called) = groups.entry(group).or_default();
                (*failing, *called) = (*failing + fails(&l), *called + 1);
            }
        }
        let is_cut = |(failing, called): &(u32, u32)| *called >= 2 && failing == called;
        let cut = alone
            .iter()
            .filter(|(id, a)| is_cut(a) || groups.get(&own(id)).is_some_and(is_cut));
        cut.map(|(id, _)| *id).collect()
    }
}

fn rank(verdict: &Verdict) -> u8 {
    match verdict {
        Verdict::Well => 0,
        Verdict::Unclear => 1,
        Verdict::Destinations(_) => 2,
        Verdict::Own(_) => 3,
        Verdict::Fails { .. } => 4,
    }
}

/// What is seen in a window; calls that hang count where none is answered any more.
fn window(zone: &Sighted, now: Nanos, span: u32, hanging: Option<u32>, most: f64) -> Window {
    let mut window = Window::new();
    for s in zone
        .sights
        .iter()
        .rev()
        .take_while(|s| s.at + ms(span) > now)
    {
        let l = window.entry((s.id, s.dest)).or_default();
        l.add(
            Lately {
                taken: s.taken.into(),
                refused: s.refused.into(),
                bad: s.bad.into(),
            },
            1.0,
        );
    }
    // A zone that is slow still answers some; one that is dead answers none.
    let still = |silent: u32| {
        let late = zone
            .sights
            .iter()
            .rev()
            .take_while(|s| s.at + ms(silent) > now);
        late.map(|s| f64::from(s.taken + s.refused)).sum::<f64>()
    };
    let hang: f64 = zone
        .hanging
        .values()
        .map(|(_, calls)| f64::from(*calls).min(most))
        .sum();
    if hanging.is_some_and(|silent| still(silent) <= STRAY * hang) {
        for ((id, dest), (_, calls)) in &zone.hanging {
            window.entry((*id, *dest)).or_default().bad += f64::from(*calls);
        }
    }
    window
}

/// What each reporter's counts are multiplied with, so that none counts for more than the most.
fn weights(window: &Window, most: f64) -> BTreeMap<Id, f64> {
    let mut all: BTreeMap<Id, f64> = BTreeMap::new();
    for ((id, _), l) in window {
        *all.entry(*id).or_default() += l.all();
    }
    all.values_mut()
        .for_each(|sum| *sum = (most / sum.max(1e-9)).min(1.0));
    all
}

fn by_dest(
    window: &Window,
    weights: &BTreeMap<Id, f64>,
    who: impl Fn(Id) -> bool,
) -> BTreeMap<u16, Lately> {
    let mut dests: BTreeMap<u16, Lately> = BTreeMap::new();
    for ((id, dest), l) in window.iter().filter(|((id, _), _)| who(*id)) {
        dests.entry(*dest).or_default().add(*l, weights[id]);
    }
    dests
}

/// The part of `all` that `some` is, less so many standard errors (Wilson's bound, which holds for
/// few as well).
fn least_share(some: f64, all: f64, errors: f64) -> f64 {
    if all <= 0.0 {
        return 0.0;
    }
    let (share, square) = (some / all, errors * errors);
    let middle = share + square / (2.0 * all);
    let spread = errors * (share * (1.0 - share) / all + square / (4.0 * all * all)).sqrt();
    (middle - spread) / (1.0 + square / all)
}

#[cfg(test)]
mod tests;
