//! Cold calls of a return: one budget for the whole fleet, by destination, handed out as leased
//! shares.
//!
//! # The budget
//!
//! An endpoint that is cold takes the part `w` of what is listed, from [`Rules::cold_share`] up to
//! all of it after [`Rules::warm_after_ms`] ([`warmth`]). It falls over where more calls come in
//! [`Rules::overload_for_ms`] (`W`) than [`bound`] of `N = factor * w * rate * W`, which is over
//! `N + 2` always. Warmth is counted from the first answer of this return, once two reporters tell of
//! answers, which is later than the endpoint's own count, so `w` is never over the truth. Calls of
//! a slice that begins at `b` come from `b` to `b + slice + within + flight`. What is reserved in
//! slices that begin in a span `L` is at most `r (L + slice) + 1` at the pace `r` (the credit saved
//! up is at most one slice and a call). The calls that come in any `W` are of slices that begin in
//! a span of `W + slice + within + flight`, so with `r = N / (W + 2 slice + within + flight)` they
//! are at most `N + 1`. The office is one sender in the sense of [`Ramp`]: what it hands out is the
//! whole sum, so its rate has no chance in it. What the bound leaves beyond `N + 1` is for the
//! chance of the next paragraph.
//!
//! Senders that have come in again go by their own care. What they are expected to take
//! ([`Share::taken`]) goes off the pace; the office lets in as many as a destination bears
//! ([`Cold::bears`]).
//!
//! # A share is never spent twice
//!
//! Let a leader of term `t` propose a slice at the moment `p` of its clock.
//!
//! 1. It grants of this slice only after the record has it, and only before `p + slice` by its own
//!    clock, looked at right before each grant. A leader that was stopped meanwhile finds its slice
//!    over. A grant is void `within` after its report was sent, by the agent's clock, and the
//!    report was sent before the grant. So all calls of the slice begin before `p + slice +
//!    within`, drift of two clocks added.
//! 2. A leader of a later term `u` is elected by a majority that takes nothing of term `t` from
//!    then on. What `t` proposes after that is not committed, so by 1 never granted. Hence every
//!    slice of `t` that is ever granted of was proposed before the office of `u` began.
//! 3. That office grants nothing before `(slice + within) (1 + 2 drift)` have passed on its clock
//!    ([`Cold::new`]). By 1 and 2 all calls of earlier terms have begun by then.
//! 4. Within a term slices of a zone don't overlap, and each is handed out once: what is granted is
//!    taken off first. A grant that is lost is not given again.
//!
//! So no two leaders' calls mix, and in any window the sum is that of one budget. Clocks have to go
//! on while a process is stopped; that of Linux does, but not while the machine sleeps, which the
//! operators' page names.

use crate::coordination::messages::{Counts, Grant, Want};
use crate::coordination::zones::{ms, Rules};
#[cfg(doc)]
use crate::dispatch::slow_start::bound;
use crate::dispatch::slow_start::{self, Ramp};
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Senders that wait for calls of one zone and destination, at the most; more ask again with their
/// next report.
const MOST_WAITING: usize = 10_000;
/// Calls of one destination in a slice before any has been answered there.
const TRIALS: f64 = 2.0;
/// Calls in a slice where nothing of the zone has answered, until a result is told: a granted call
/// finds a message in one of two cases.
const KNOCK: f64 = 2.0;
/// Once one has failed the next ones come after this part of the time for which the zone has been
/// asked: an outage is found to be over so much later than it was...
const KNOCKS: f64 = 0.1;
/// ...and at the most by this part of the warm-up, a second at least: short beside the return.
const LONGEST: (f64, f64) = (0.1, 1_000.0);
/// Results weigh half as much after this time: two seconds are some ten reports.
const HALF: f64 = 2.0;
/// Part of the results of a destination that are refusals where its warm-up is held.
pub(in crate::coordination) const PRESSED: f64 = 0.2;
/// Part of the results that fail where a step fails: what is called an outage elsewhere, too.
const FAILED: f64 = 0.5;
/// Reporters that have to tell a first answer, and a failed step: one alone moves nothing.
const WITNESSES: usize = 2;
/// Answers by which one reporter is believed where no other was granted any.
const ALONE: f64 = 3.0;
/// A return that nobody wants anything of ends after this time, with the warm-up's: then each
/// sender's own care is enough.
const UNWANTED: u32 = 30_000;
/// Results may come so long after a grant.
const OWED: u32 = 30_000;

/// Calls a second that a zone may get for a destination, all senders together.
pub fn pace(rules: &Rules, listed: f64, warm_ms: f64) -> f64 {
    let rate = if listed > 0.0 {
        listed
    } else {
        rules.unlisted_rate
    };
    let can = rate * warmth(rules, warm_ms);
    if rules.overload_for_ms == 0 {
        return can;
    }
    let window = f64::from(rules.overload_for_ms);
    let spread = f64::from(2 * rules.slice_ms + rules.within_ms + rules.flight_ms);
    let n = rules.overload_factor * can * window / 1e3;
    can.min(Ramp::of(n, 0.0, (window + spread) / 1e3, 1).rate)
}

/// The part of what is listed that an endpoint takes.
fn warmth(rules: &Rules, warm_ms: f64) -> f64 {
    let warmed = if rules.warm_after_ms == 0 {
        1.0
    } else {
        warm_ms / f64::from(rules.warm_after_ms)
    };
    slow_start::warmth(rules.cold_share, warmed)
}

#[derive(Clone, Debug, Default)]
struct Dest {
    /// Since the first answer; nothing before it.
    warm_ms: Option<f64>,
    /// For so long before that answer the zone had been back, and no call failed here.
    ahead_ms: f64,
    /// When a call failed here last.
    failed: Nanos,
    credit: f64,
    taken: f64,
    refused: f64,
    bad: f64,
    waiting: VecDeque<Waiting>,
    /// In this return anything was wanted.
    wanted: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    id: u32,
    report: u64,
    heard: Nanos,
    calls: u32,
}

#[derive(Clone, Debug)]
struct Slice {
    number: u64,
    begun: Nanos,
    /// By destination: what there is, and what is left of it.
    calls: BTreeMap<u16, (u32, u32)>,
    stands: bool,
}

/// How a return goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// On.
    On,
    /// It failed, having begun.
    Failed,
    /// Nobody calls there.
    Unwanted,
}

/// One zone's return, in one office.
#[derive(Clone, Debug)]
struct Return {
    epoch: u64,
    since: Nanos,
    counted: Nanos,
    used: Nanos,
    dests: BTreeMap<u16, Dest>,
    slice: Option<Slice>,
    /// Something of the zone has answered since this return began, or began anew.
    answers: bool,
    /// When two had told of answers.
    begun: Option<Nanos>,
    /// Nothing is granted before this, as nothing answers.
    knock_at: Nanos,
    /// The destination that was asked last while nothing answered.
    knocked: Option<u16>,
    /// Calls whose results are not told yet, by sender.
    owed: BTreeMap<u32, (u32, Nanos)>,
    /// Senders that were granted any, that told of an answer, and that told of a failure; a few of
    /// each.
    granted: BTreeSet<u32>,
    witnesses: BTreeSet<u32>,
    against: BTreeSet<u32>,
}

impl Return {
    fn anew(&mut self) {
        (self.against, self.witnesses) = (BTreeSet::new(), BTreeSet::new());
        (self.answers, self.begun) = (false, None);
        for dest in self.dests.values_mut() {
            dest.warm_ms = None;
            (dest.taken, dest.refused, dest.bad) = (0.0, 0.0, 0.0);
        }
    }
}

/// All returns of one office.
#[derive(Clone, Debug)]
pub struct Cold {
    rules: Rules,
    fresh: Nanos,
    returns: BTreeMap<String, Return>,
    over: BTreeMap<String, Nanos>,
    number: u64,
}

/// What cold calls of a destination are reserved by.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// Calls a second that are listed.
    pub rate: f64,
    /// The part of the senders that has left it.
    pub left: f64,
    /// Calls a second that those take which have come in since.
    pub taken: f64,
}

/// A slice to be brought into the record: its number, its calls, and how warm the zone is.
pub type Reserve = (u64, Vec<(u16, u32)>, Vec<(u16, u32)>);

impl Cold {
    /// Hands out nothing before all that earlier leaders could have handed out is over.
    pub fn new(rules: Rules, now: Nanos) -> Cold {
        let over = f64::from(rules.slice_ms + rules.within_ms) * (1.0 + 2.0 * rules.drift);
        let fresh = now + ms(over.ceil() as u32);
        Cold {
            rules,
            fresh,
            returns: BTreeMap::new(),
            over: BTreeMap::new(),
            number: 0,
        }
    }

    /// The zones that are being returned to, each with its epoch, the destinations it was left for,
    /// and how warm the record has it. What belongs to others is let go.
    pub fn follow<'a>(
        &mut self,
        now: Nanos,
        zones: impl Iterator<Item = (&'a str, u64, Vec<u16>, &'a [(u16, u32)])>,
    ) {
        let mut gone: BTreeSet<String> = self.returns.keys().cloned().collect();
        for (zone, epoch, dests, warm) in zones {
            gone.remove(zone);
            let back = self
                .returns
                .entry(zone.to_string())
                .or_insert_with(|| Return {
                    epoch,
                    since: now,
                    counted: now,
                    used: now,
                    dests: BTreeMap::new(),
                    slice: None,
                    answers: !warm.is_empty(),
                    begun: (!warm.is_empty()).then_some(now),
                    knock_at: 0,
                    knocked: None,
                    owed: BTreeMap::new(),
                    granted: BTreeSet::new(),
                    witnesses: BTreeSet::new(),
                    against: BTreeSet::new(),
                });
            if back.epoch != epoch {
                // What is left of its slice is lost; its time counts, as calls of it may still
                // begin.
                back.epoch = epoch;
                back.slice.iter_mut().for_each(|s| s.calls.clear());
            }
            back.dests.retain(|d, _| dests.contains(d));
            for dest in dests {
                let known = warm
                    .iter()
                    .find(|(d, _)| *d == dest)
                    .map(|(_, ms)| f64::from(*ms));
                back.dests.entry(dest).or_insert_with(|| Dest {
                    warm_ms: known,
                    credit: 1.0,
                    ..Dest::default()
                });
            }
        }
        for zone in gone {
            let last = self.returns.remove(&zone).and_then(|b| b.slice);
            // Calls of a return that ended may begin for so long; the next one waits for them.
            let over = |s: Slice| s.begun + ms(self.rules.slice_ms) + 2 * ms(self.rules.within_ms);
            last.map(|s| self.over.insert(zone, over(s)));
        }
        self.over.retain(|_, over| *over > now);
    }

    /// A sender wants cold calls.
    pub fn want(&mut self, now: Nanos, id: u32, report: u64, wants: &[Want]) {
        for want in wants.iter().filter(|w| w.calls > 0) {
            let Some(back) = self.returns.get_mut(&want.zone) else {
                continue;
            };
            let Some(dest) = back.dests.get_mut(&want.dest) else {
                continue;
            };
            (dest.wanted, back.used) = (true, now);
            let waiting = Waiting {
                id,
                report,
                heard: now,
                calls: want.calls,
            };
            let place = dest.waiting.iter().position(|w| w.id == id);
            match place {
                // It keeps its place.
                Some(at) => dest.waiting[at] = waiting,
                None if dest.waiting.len() < MOST_WAITING => dest.waiting.push_back(waiting),
                None => {}
            }
        }
    }

    /// A sender tells what came of calls to a zone. Counts up to what it was granted; the others
    /// are not of this return.
    pub fn saw(&mut self, now: Nanos, id: u32, zone: &str, dest: u16, counts: &Counts) {
        let Some(back) = self.returns.get_mut(zone) else {
            return;
        };
        let Some((owed, _)) = back.owed.get_mut(&id) else {
            return;
        };
        if !back.dests.contains_key(&dest) {
            return;
        }
        let mut take = |n: u32| {
            let n = n.min(*owed);
            *owed -= n;
            f64::from(n)
        };
        let taken = take(counts.ok);
        let refused = take(counts.refused);
        let bad = take(
            counts
                .failed
                .saturating_add(counts.late)
                .saturating_add(counts.unconnected),
        );
        if taken + refused + bad > 0.0 {
            back.used = now;
        }
        if taken + refused > 0.0 && !back.answers {
            // It is back: what failed before tells of the time before.
            (back.answers, back.against) = (true, BTreeSet::new());
            back.dests.values_mut().for_each(|d| d.bad = 0.0);
        } else if !back.answers && bad > 0.0 {
            let asked = (now - back.since) as f64 / 1e6;
            let most = (f64::from(self.rules.warm_after_ms) * LONGEST.0).max(LONGEST.1);
            let gap = (asked * KNOCKS)
                .min(most)
                .max(f64::from(self.rules.slice_ms));
            back.knock_at = now + ms(gap as u32);
        }
        let Some(d) = back.dests.get_mut(&dest) else {
            return;
        };
        (d.taken, d.refused, d.bad) = (d.taken + taken, d.refused + refused, d.bad + bad);
        if bad > 0.0 {
            d.failed = now;
        }
        if bad > 0.0 && back.against.len() < WITNESSES {
            back.against.insert(id);
        }
        // That the zone answers is told by two; then one is enough for each destination.
        if taken > 0.0 && back.witnesses.len() < WITNESSES {
            back.witnesses.insert(id);
        }
        let alone = back.granted.len() < WITNESSES && d.taken >= ALONE;
        if d.warm_ms.is_none() && d.taken > 0.0 && (back.witnesses.len() >= WITNESSES || alone) {
            let begun = *back.begun.get_or_insert(now);
            let ahead = now.saturating_sub(begun.max(d.failed));
            (d.warm_ms, d.ahead_ms) = (Some(0.0), ahead as f64 / 1e6);
        }
    }

    /// Time goes on for a zone's return: its destinations warm up where they bear it. Held: nothing
    /// warms and nothing fails.
    pub fn step(&mut self, now: Nanos, zone: &str, held: bool) -> Step {
        let Some(back) = self.returns.get_mut(zone) else {
            return Step::On;
        };
        let passed = (now - back.counted) as f64 / 1e6;
        back.counted = now;
        back.owed
            .retain(|_, (calls, at)| *calls > 0 && *at + ms(OWED) > now);
        let fade = 0.5f64.powf(passed / 1e3 / HALF);
        let (mut all, mut bad) = (0.0, 0.0);
        for dest in back.dests.values_mut() {
            let sum = dest.taken + dest.refused + dest.bad;
            (all, bad) = (all + sum, bad + dest.bad);
            if sum >= 5.0 && dest.bad >= FAILED * sum && !held {
                // This one does not bear it; the others may.
                (dest.warm_ms, dest.taken) = (None, 0.0);
            }
            let pressed = sum >= 3.0 && dest.refused >= PRESSED * sum;
            if let Some(warm) = dest.warm_ms.as_mut().filter(|_| !pressed && !held) {
                *warm = (*warm + passed).min(f64::from(self.rules.warm_after_ms));
            }
            // Without an answer there is no other count of failures than all of them.
            if dest.warm_ms.is_some() {
                (dest.taken, dest.refused, dest.bad) =
                    (dest.taken * fade, dest.refused * fade, dest.bad * fade);
            }
        }
        if held {
            return Step::On;
        }
        let least = f64::from(self.rules.least_results);
        if all >= least && bad >= FAILED * all && back.against.len() >= WITNESSES {
            if back.begun.is_some() {
                return Step::Failed;
            }
            // Nothing was returned to yet: it is asked on as one that is dead.
            back.anew();
        }
        if now >= back.used + ms(UNWANTED) + ms(self.rules.warm_after_ms) {
            return Step::Unwanted;
        }
        Step::On
    }

    /// A return goes on from nothing: a step failed that nobody may end.
    pub fn anew(&mut self, zone: &str) {
        self.returns
            .get_mut(zone)
            .into_iter()
            .for_each(Return::anew);
    }

    /// Whether two have told of answers since a zone's return began.
    pub fn has_begun(&self, zone: &str) -> bool {
        self.returns
            .get(zone)
            .is_some_and(|back| back.begun.is_some())
    }

    /// For how long a zone's return has begun, in milliseconds.
    pub fn begun_ms(&self, zone: &str, now: Nanos) -> Option<u64> {
        Some(now.saturating_sub(self.returns.get(zone)?.begun?) / 1_000_000)
    }

    /// The part of what is listed that a destination of a zone is taken to bear by now: nothing
    /// before it has answered, then as if it had come back with the zone, if no call failed since.
    /// Granted calls go by its own answers alone.
    pub fn bears(&self, zone: &str, dest: u16) -> Option<f64> {
        let dest = self.returns.get(zone)?.dests.get(&dest)?;
        Some(warmth(&self.rules, dest.warm_ms? + dest.ahead_ms))
    }

    /// The next slice of a zone, where the last one is over and anything is wanted, by what there
    /// is for each destination.
    pub fn reserve(
        &mut self,
        now: Nanos,
        zone: &str,
        listed: impl Fn(u16) -> Share,
    ) -> Option<Reserve> {
        if now < self.fresh || self.over.get(zone).is_some_and(|over| now < *over) {
            return None;
        }
        let rules = &self.rules;
        let back = self.returns.get_mut(zone)?;
        let slice_over = back
            .slice
            .as_ref()
            .is_none_or(|s| now >= s.begun + ms(rules.slice_ms));
        if !slice_over || !back.answers && now < back.knock_at {
            return None;
        }
        let since = back
            .slice
            .as_ref()
            .map_or(now.saturating_sub(ms(rules.slice_ms)), |s| s.begun);
        // Credit saves up for one slice, so a moment without senders is not made up for later.
        let span = ((now - since).min(2 * ms(rules.slice_ms))) as f64 / 1e9;
        // Until something answers one call each of a few destinations, in turn; until two tell of
        // it a few calls of some.
        let (mut trials, each) = match (back.answers, back.witnesses.len() >= WITNESSES) {
            (false, _) => (KNOCK, 1.0),
            (true, false) => (f64::from(rules.trial_calls), TRIALS),
            (true, true) => (f64::INFINITY, TRIALS),
        };
        let mut calls = BTreeMap::new();
        let last = back.knocked.unwrap_or(u16::MAX);
        let in_turn: Vec<u16> = back.dests.keys().copied().collect();
        let after = in_turn.partition_point(|d| *d <= last);
        for number in in_turn[after..].iter().chain(&in_turn[..after]) {
            let Some(dest) = back.dests.get_mut(number) else {
                continue;
            };
            dest.waiting
                .retain(|w| w.heard + ms(rules.within_ms) / 2 > now);
            let share = listed(*number);
            let all = pace(rules, share.rate, dest.warm_ms.unwrap_or(0.0)) * share.left;
            let pace = (all - share.taken).max(0.0);
            // A pace under one call a slice is saved up; a whole call at the most lies in it.
            dest.credit =
                (dest.credit + pace * span).min(pace * f64::from(rules.slice_ms) / 1e3 + 1.0);
            let wanted: f64 = dest.waiting.iter().map(|w| f64::from(w.calls)).sum();
            let most = if dest.warm_ms.is_none() {
                each.min(trials)
            } else {
                f64::INFINITY
            };
            let may = dest.credit.floor().min(wanted).min(most);
            if may >= 1.0 {
                dest.credit -= may;
                if dest.warm_ms.is_none() {
                    trials -= may;
                    back.knocked = Some(*number);
                }
                calls.insert(*number, (may as u32, may as u32));
            }
        }
        let all: Vec<(u16, u32)> = calls.iter().map(|(d, (n, _))| (*d, *n)).collect();
        if all.is_empty() {
            return None;
        }
        self.number += 1;
        back.slice = Some(Slice {
            number: self.number,
            begun: now,
            calls,
            stands: false,
        });
        let warm = back
            .dests
            .iter()
            .filter_map(|(d, dest)| Some((*d, dest.warm_ms? as u32)))
            .collect();
        Some((self.number, all, warm))
    }

    /// The record has a slice of this office.
    pub fn stands(&mut self, zone: &str, number: u64) {
        let slice = self.returns.get_mut(zone).and_then(|b| b.slice.as_mut());
        slice
            .into_iter()
            .filter(|s| s.number == number)
            .for_each(|s| s.stands = true);
    }

    /// Hands out what may be begun now: a slice's calls come evenly over its time, to those that
    /// wait longest first.
    pub fn grant(&mut self, now: Nanos, mut to: impl FnMut(u32, Grant)) {
        let long = ms(self.rules.slice_ms);
        for (zone, back) in &mut self.returns {
            let Some(slice) = back
                .slice
                .as_mut()
                .filter(|s| s.stands && now < s.begun + long)
            else {
                continue;
            };
            for (number, (all, left)) in &mut slice.calls {
                let Some(dest) = back.dests.get_mut(number) else {
                    continue;
                };
                let due =
                    (f64::from(*all) * (now - slice.begun) as f64 / long as f64).ceil() as u32;
                let mut may = due.saturating_sub(*all - *left).min(*left);
                while may > 0 {
                    let Some(first) = dest.waiting.pop_front() else {
                        break;
                    };
                    if first.heard + ms(self.rules.within_ms) / 2 <= now {
                        // It would come too late to be used.
                        continue;
                    }
                    let part = (may / (dest.waiting.len() as u32 + 1)).max(1);
                    let calls = part.min(first.calls);
                    (may, *left) = (may - calls, *left - calls);
                    if back.granted.len() < WITNESSES {
                        back.granted.insert(first.id);
                    }
                    let owed = back.owed.entry(first.id).or_insert((0, now));
                    *owed = (owed.0.saturating_add(calls), now);
                    let (report, within_ms) = (first.report, self.rules.within_ms);
                    let dest = *number;
                    to(
                        first.id,
                        Grant {
                            report,
                            zone: zone.clone(),
                            epoch: back.epoch,
                            dest,
                            calls,
                            within_ms,
                        },
                    );
                }
            }
        }
    }

    /// For people: how warm a zone is, in hundredths, the coldest and the warmest of its
    /// destinations.
    pub fn warmth(&self, zone: &str) -> Option<(u32, u32)> {
        let back = self.returns.get(zone)?;
        let parts = back.dests.values().filter(|d| d.wanted);
        let parts =
            parts.map(|d| (d.warm_ms.map_or(0.0, |w| warmth(&self.rules, w)) * 100.0) as u32);
        let parts: Vec<u32> = parts.collect();
        Some((parts.iter().copied().min()?, parts.iter().copied().max()?))
    }
}
