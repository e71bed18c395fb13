//! What a partner's endpoints do with calls: one place that the model asks, and the stand-in on
//! sockets, too.

use crate::dice::Dice;
use crate::range::Range;
use raildeal::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A second.
pub const SECOND: Nanos = 1_000_000_000;

/// Seconds as a time.
pub fn seconds(s: f64) -> Nanos {
    (s.max(0.0) * SECOND as f64) as Nanos
}

/// A time as seconds.
pub fn in_seconds(t: Nanos) -> f64 {
    t as f64 / SECOND as f64
}

/// How partners come back and fall over, by the settings' rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Share of its capacity that one starts with after an outage.
    pub cold_share: f64,
    /// And has all of it after this time.
    pub warm_after: Nanos,
    /// Multiple of what it can do at the moment that pushes it over...
    pub overload_factor: f64,
    /// ...when kept up for so long.
    pub overload_for: Nanos,
}

/// One that falls over stays down for so long.
const DOWN: Nanos = 30 * SECOND;
/// What one that is cold bears beyond its budget: so many standard deviations of chance. And what
/// any bears in a window, in calls; with less the module topples small partners here and not on the
/// operators' simulator.
const SLACK: f64 = 3.0;
const LEAST: f64 = 10.0;
/// Steps in which it is seen how much comes.
const STEPS: usize = 6;

/// How a limit counts.
#[derive(Clone, Debug)]
pub enum Counts {
    /// Calls begin at even distances (the generic cell rate algorithm); the next could at this
    /// time.
    Paced(Nanos),
    /// So many in each window of this length: which window it is, and how many came.
    Window(Nanos, u64, u64),
    /// Workers that take one call each; when each is free.
    Workers(BinaryHeap<Reverse<Nanos>>),
}

impl Counts {
    /// Some workers, all free.
    pub fn workers(count: usize) -> Self {
        Counts::Workers(std::iter::repeat_n(Reverse(0), count.max(1)).collect())
    }
}

/// What limits calls: one endpoint's or one partner's.
#[derive(Clone, Debug)]
pub struct Limit {
    /// Calls a second; where workers count, only what is listed of them.
    pub rate: f64,
    /// Calls wait for so long at most before they are refused.
    pub queue: Nanos,
    counts: Counts,
    /// Refuses all until then.
    shut: Nanos,
    /// Was refusing, failing or silent until then, and comes back cold from there.
    back: Option<Nanos>,
    /// What has come in each of the last steps, and how much of it from senders that had seen it
    /// fail.
    came: [(u32, u32); STEPS],
    step: u64,
}

/// How a call fares that comes to a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Comes {
    /// It begins at this time.
    Begins(Nanos),
    /// It is refused; there is room again at this time.
    Full(Nanos),
    /// It is refused, and nobody knows until when.
    Shut,
}

impl Limit {
    /// Nothing has come yet.
    pub fn new(rate: f64, queue: Nanos, counts: Counts) -> Self {
        Limit {
            rate,
            queue,
            counts,
            shut: 0,
            back: None,
            came: Default::default(),
            step: 0,
        }
    }

    /// Refuses all until then, and comes back cold.
    pub fn shut(&mut self, until: Nanos) {
        self.shut = self.shut.max(until);
        self.back = Some(self.shut);
    }

    /// Opens at this time, and is cold.
    pub fn open(&mut self, now: Nanos) {
        (self.shut, self.back) = (0, Some(now));
    }

    /// Whether it refuses all.
    pub fn is_shut(&self, now: Nanos) -> bool {
        now < self.shut
    }

    /// Share of its capacity that it has.
    pub fn warmth(&self, now: Nanos, rules: &Rules) -> f64 {
        match self.back {
            Some(back) if now < back + rules.warm_after => {
                let part = now.saturating_sub(back) as f64 / rules.warm_after.max(1) as f64;
                rules.cold_share + (1.0 - rules.cold_share) * part
            }
            _ => 1.0,
        }
    }

    /// Whether most of its calls fail: that is an outage, after which it is cold.
    pub fn is_outage(part: f64) -> bool {
        part >= 0.5
    }

    /// Whether it comes back from an outage, and is not warm yet.
    pub fn is_cold(&self, now: Nanos, rules: &Rules) -> bool {
        self.back
            .is_some_and(|back| now >= back && now < back + rules.warm_after)
    }

    /// Takes a call in that will take so long. Also whether it falls over by it, and which part of
    /// what pushed it came from senders that had seen it fail.
    pub fn come(
        &mut self,
        now: Nanos,
        rules: &Rules,
        warned: bool,
        took: Nanos,
    ) -> (Comes, Option<f64>) {
        let fell = self.count(now, rules, warned);
        if fell.is_some() {
            self.shut(now + DOWN);
        }
        if self.is_shut(now) {
            return (Comes::Shut, fell);
        }
        let warmth = self.warmth(now, rules);
        let comes = match &mut self.counts {
            Counts::Paced(next) => {
                let begins = (*next).max(now);
                if begins - now > self.queue {
                    Comes::Full(begins - self.queue)
                } else {
                    *next = begins + (SECOND as f64 / (self.rate * warmth).max(1e-3)) as Nanos;
                    Comes::Begins(begins)
                }
            }
            Counts::Window(long, which, came) => {
                if now / *long != *which {
                    (*which, *came) = (now / *long, 0);
                }
                // One at least, or it would never take any.
                let most = (self.rate * warmth * in_seconds(*long)).max(1.0) as u64;
                if *came >= most {
                    Comes::Full((*which + 1) * *long)
                } else {
                    *came += 1;
                    Comes::Begins(now)
                }
            }
            Counts::Workers(free) => {
                let first = free.peek().map_or(0, |f| f.0).max(now);
                if first - now > self.queue {
                    Comes::Full(first - self.queue)
                } else {
                    free.pop();
                    // A cold one is as much slower.
                    free.push(Reverse(first + (took as f64 / warmth.max(1e-3)) as Nanos));
                    Comes::Begins(first)
                }
            }
        };
        (comes, fell)
    }

    /// Counts what comes. One that is cold, and gets more than its multiple for long enough, falls
    /// over.
    fn count(&mut self, now: Nanos, rules: &Rules, warned: bool) -> Option<f64> {
        if !self.is_cold(now, rules) {
            return None;
        }
        let width = (rules.overload_for / STEPS as u64).max(1);
        let step = now / width;
        for gone in self.step + 1..=step.min(self.step + STEPS as u64) {
            self.came[gone as usize % STEPS] = (0, 0);
        }
        self.step = self.step.max(step);
        let slot = &mut self.came[step as usize % STEPS];
        *slot = (slot.0 + 1, slot.1 + u32::from(warned));
        // A budget over the window, with some slack for chance where calls are few.
        let budget = self.rate
            * self.warmth(now, rules)
            * rules.overload_factor
            * in_seconds(rules.overload_for);
        let all: u32 = self.came.iter().map(|c| c.0).sum();
        if f64::from(all) <= (budget + SLACK * budget.sqrt()).max(LEAST) {
            return None;
        }
        let warned: u32 = self.came.iter().map(|c| c.1).sum();
        self.came = Default::default();
        Some(f64::from(warned) / f64::from(all))
    }
}

/// How a partner's calls go.
#[derive(Clone, Debug)]
pub struct Manners {
    /// Part of its refusals that tell a wait.
    pub tells: f64,
    /// The least that is told, in seconds.
    pub wait: Range,
    /// Median of the time for a call, in seconds.
    pub median: f64,
    /// Spread of that time.
    pub shape: Shape,
    /// Part of its calls that fail.
    pub errors: f64,
}

/// How times for a call are spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// Log-normal, with this sigma of the logarithm.
    LogNormal(f64),
    /// Exponential.
    Exponential,
}

impl Manners {
    /// Draws the time of a call.
    fn took(&self, dice: &mut Dice) -> Nanos {
        seconds(match self.shape {
            Shape::LogNormal(sigma) => dice.spread(self.median, sigma),
            Shape::Exponential => dice.gap(self.median / std::f64::consts::LN_2),
        })
    }
}

/// What a call is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// Delivered.
    Ok,
    /// It failed.
    Error,
    /// Refused; the told wait, or 0 for none.
    Full(Nanos),
}

/// Answers a call that comes now: what, when, and whether the partner falls over by it (see
/// [`Limit::come`]).
pub fn answer(
    limit: &mut Limit,
    manners: &Manners,
    errors: f64,
    rules: &Rules,
    (now, warned): (Nanos, bool),
    dice: &mut Dice,
) -> (Said, Nanos, Option<f64>) {
    let took = manners.took(dice);
    let fails = dice.is(errors);
    // One that fails does so quickly.
    let took = if fails { took / 10 } else { took };
    let (comes, fell) = limit.come(now, rules, warned, took);
    let room = match comes {
        Comes::Begins(at) => return (if fails { Said::Error } else { Said::Ok }, at + took, fell),
        Comes::Full(room) => room,
        Comes::Shut => now,
    };
    let told = dice.is(manners.tells);
    let least = seconds(dice.from(manners.wait));
    // The wait ends with room, as the sender hears it later.
    (
        Said::Full(if told { (room - now).max(least) } else { 0 }),
        now,
        fell,
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULES: Rules = Rules {
        cold_share: 0.25,
        warm_after: 10 * SECOND,
        overload_factor: 2.0,
        overload_for: 3 * SECOND,
    };

    /// Calls at this rate for so long from a time on: those that began, and whether it fell over.
    fn calls(limit: &mut Limit, from: Nanos, rate: f64, for_s: f64) -> (usize, bool) {
        let gap = seconds(1.0 / rate);
        let (mut began, mut fell) = (0, false);
        for n in 0..(rate * for_s) as u64 {
            let (comes, over) = limit.come(from + n * gap, &RULES, true, 0);
            began += usize::from(matches!(comes, Comes::Begins(_)));
            fell |= over.is_some();
        }
        (began, fell)
    }

    #[test]
    fn a_limit_takes_its_rate_and_a_queue_and_tells_when_there_is_room() {
        let mut limit = Limit::new(10.0, SECOND / 2, Counts::Paced(0));
        let (began, fell) = calls(&mut limit, 0, 100.0, 10.0);
        assert!((100..=106).contains(&began) && !fell, "{began}");
        let room = loop {
            if let (Comes::Full(room), _) = limit.come(10 * SECOND, &RULES, false, 0) {
                break room;
            }
        };
        assert!(
            matches!(limit.come(room + 1, &RULES, false, 0).0, Comes::Begins(_)),
            "the time told is true"
        );
    }

    #[test]
    fn after_an_outage_it_is_cold_and_falls_over_when_pushed() {
        for (rate, falls) in [(4.0, false), (40.0, true)] {
            let mut limit = Limit::new(10.0, 0, Counts::Paced(0));
            limit.shut(5 * SECOND);
            assert_eq!(limit.come(SECOND, &RULES, false, 0).0, Comes::Shut);
            assert_eq!(limit.warmth(5 * SECOND, &RULES), 0.25);
            assert_eq!(limit.warmth(10 * SECOND, &RULES), 0.625);
            assert_eq!(calls(&mut limit, 5 * SECOND, rate, 6.0).1, falls, "{rate}");
            assert_eq!(limit.is_shut(11 * SECOND), falls);
        }
    }

    #[test]
    fn a_warm_one_is_full_and_does_not_fall() {
        assert!(!calls(&mut Limit::new(10.0, 0, Counts::Paced(0)), 0, 200.0, 10.0).1);
    }

    #[test]
    fn a_window_takes_its_count_and_tells_when_the_next_begins() {
        let mut limit = Limit::new(10.0, 0, Counts::Window(2 * SECOND, 0, 0));
        let (began, _) = calls(&mut limit, 0, 100.0, 1.0);
        assert_eq!(began, 20, "all of a window's at once");
        assert_eq!(
            limit.come(SECOND, &RULES, false, 0).0,
            Comes::Full(2 * SECOND)
        );
        assert!(matches!(
            limit.come(2 * SECOND, &RULES, false, 0).0,
            Comes::Begins(_)
        ));
    }

    #[test]
    fn workers_take_one_call_each_and_the_rest_waits_for_the_first_that_is_free() {
        let mut limit = Limit::new(10.0, SECOND, Counts::workers(2));
        let mut come = |at, took| limit.come(at, &RULES, false, took).0;
        assert_eq!(come(0, 3 * SECOND), Comes::Begins(0));
        assert_eq!(come(0, SECOND), Comes::Begins(0));
        assert_eq!(come(0, SECOND), Comes::Begins(SECOND));
        assert_eq!(come(0, SECOND), Comes::Full(SECOND));
        assert_eq!(come(SECOND, SECOND), Comes::Begins(2 * SECOND));
    }
}
