//! What follows from being one sender of very many: its part of a listed rate, and how it chooses
//! among routes.
//!
//! A sender that makes few of the calls that a route gets can't learn from its own calls what the
//! others do: each sees a call now and then, and all of them together are over a limit before one
//! has seen two refusals. So it keeps to its part of the listed rate from the first call on, and
//! takes siblings by lot rather than all the same one. No I/O, no clock; the caller brings time and
//! randomness.

use crate::dispatch::statistics::{secs, to_secs, Meter};
use crate::{Nanos, LEASED_RATE};

/// Senders from which on one sees too little of a route: its own calls are a tenth or less of those
/// that the route gets.
pub(crate) const MANY: u32 = 10;
/// Least part, in calls a second: a fleet that is said to be far larger than it is slows a sender
/// and never stops it.
const LEAST_PART: f64 = 1.0 / 60.0;
/// Part that comes back each second of what refusals took. A call comes every few seconds: with
/// much more in between, refusals would no longer hold a pace down.
const BACK: f64 = 0.02;
/// What a call that is taken adds and a refusal leaves. One refusal in 24 calls holds a pace where
/// it is.
const GROW: f64 = 1.03;
const CUT: f64 = 0.5;
/// A rough rate may be half too high or too low: a limit is at most twice what is listed.
const MOST: f64 = 2.0;
/// A call ahead: what a sender has to spare for one that comes before its turn. With two, a fleet
/// that is over the limit already would have twice as many refused before all of them know.
const AHEAD: f64 = 1.0;
/// A pace never falls under this part of the sender's own, or it would learn of no recovery.
const LEAST: f64 = 0.05;

/// Seconds for which a partner that failed a call `dt` seconds ago has probably been back, where
/// one of many has not called it since: it may have come back at any moment between. One of few
/// would have tried it by then: 0.
pub fn unseen(dt: f64, senders: u32) -> f64 {
    if senders < MANY {
        0.0
    } else {
        dt / 2.0
    }
}

/// One sender's part of what a route, or a destination whose endpoints share a limit, takes from
/// all senders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Calls a second.
    rate: f64,
    /// Calls are lent there, by count and for a time.
    lent: bool,
    /// A sender's turn comes more seldom than its messages can wait.
    rare: bool,
}

impl Part {
    /// The even part of a listed rate (calls a second). None where there are few senders, who learn
    /// by themselves, or where nothing useful is listed. `longest` is the longest time that a
    /// message has.
    pub fn of(listed: f64, senders: u32, longest: Nanos) -> Option<Self> {
        let told = senders >= MANY && listed > 0.0 && listed.is_finite();
        let rate = (listed / f64::from(senders)).max(LEAST_PART);
        let (lent, rare) = (
            listed >= f64::from(LEASED_RATE),
            rate * to_secs(longest) < 1.0,
        );
        told.then_some(Part { rate, lent, rare })
    }

    /// Calls by which a sender at rest may be ahead of its pace. Where its turn comes again within
    /// the time of a message, it waits for its turn: its messages live. Where it does not, two
    /// messages by chance are one too many for the part, and the second dies beside an idle route.
    /// There N senders that may each be a call ahead, each when a message comes, are no clump:
    /// their sum is as the traffic, and chance adds 3 roots of what a window expects.
    pub fn ahead(self) -> f64 {
        if self.rare {
            AHEAD
        } else {
            0.0
        }
    }

    /// How long a sender that was refused, or that starts with messages held, is no call ahead:
    /// others may have been in the same moment, and openings of all that are spread over a turn
    /// come at the listed rate.
    pub fn turn(self) -> Nanos {
        secs(1.0 / self.rate)
    }

    /// What part of a call is saved up at the beginning: as drawn, since all begin at the same
    /// moment, but a whole one where that was thought of when calls were lent.
    pub fn saved(self, draw: f64) -> f64 {
        if self.lent {
            1.0
        } else {
            draw
        }
    }

    /// The pace to begin with, in calls a second.
    pub fn opening(self) -> f64 {
        self.rate
    }

    /// The pace after `dt` seconds: what refusals took from the part comes back.
    pub fn rested(self, pace: f64, dt: f64) -> f64 {
        if pace < self.rate {
            (pace + BACK * self.rate * dt).min(self.rate)
        } else {
            pace
        }
    }

    /// The pace after a call that was taken.
    pub fn taken(self, pace: f64) -> f64 {
        (pace * GROW).min(MOST * self.rate)
    }

    /// The pace after a refusal.
    pub fn refused(self, pace: f64) -> f64 {
        (pace * CUT).max(LEAST * self.rate)
    }
}

/// Memory of what a sender is handed: seconds, and the part that one more message leaves.
const MEMORY: (f64, f64) = (8.0, 0.9);
/// What is counted as seen before the first message, in seconds without any.
const BEFORE: f64 = 2.0;
/// Part of its class's time that a message has left when it is handed in for the first time, some
/// of it spent on the way.
const FIRST: f64 = 0.95;
/// How far a sender's count may lie over the even part and still tell of none: chance in some fifty
/// messages, and what comes to all senders more than usually, for which the routes take no more.
const STRAY: f64 = 1.25;
/// Most even parts that one sender may take.
const BUSIEST: f64 = 8.0;

/// How much of the fleet's traffic comes by this sender. Fronts deal out connections, not messages:
/// some senders see several times the mean, and with the even part of each route they would hold
/// messages beside idle parts of their siblings.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Messages handed in for the first time; those that come again say how much is refused, not
    /// how much is asked for.
    first: Meter,
    /// Calls a second that all routes together take, as listed.
    listed: f64,
}

impl Traffic {
    /// Nothing seen and nothing listed yet.
    pub fn new(now: Nanos) -> Self {
        Traffic {
            first: Meter::new(now, BEFORE),
            listed: 0.0,
        }
    }

    /// Takes what the routes of a list take, in calls a second each.
    pub fn list(&mut self, rates: impl Iterator<Item = f64>) {
        self.listed = rates.filter(|r| *r < f64::from(LEASED_RATE)).sum();
    }

    /// Counts a message that may be delivered for `left`, in a class that gives it `whole`.
    pub fn handed_in(&mut self, now: Nanos, left: Nanos, whole: Nanos) {
        if left as f64 >= FIRST * whole as f64 {
            self.first.hit(now, MEMORY);
        }
    }

    /// Even parts that this sender may take of each route: as many as it is handed of what the
    /// routes take, one at least. What one takes over one part others leave, as far as the list is
    /// right about all routes together.
    pub fn parts(&self, now: Nanos, senders: u32) -> f64 {
        if senders < MANY || self.listed <= 0.0 {
            return 1.0;
        }
        (self.first.rate(now) * f64::from(senders) / (STRAY * self.listed)).clamp(1.0, BUSIEST)
    }
}

/// The place of a route in a lottery: the smallest wins, each as often as its weight is part of all
/// weights. `draw` is evenly from 0 to 1, a weight of 0 or less comes last.
pub fn lot(weight: f64, draw: f64) -> f64 {
    -(1.0 - draw).max(f64::MIN_POSITIVE).ln() / weight.max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Time that a message has.
    const TIME: Nanos = 12 * crate::dispatch::statistics::SEC;

    #[test]
    fn who_is_called_on_within_the_time_of_a_message_waits_for_its_turn() {
        let ahead = |listed, senders| Part::of(listed, senders, TIME).map(Part::ahead);
        assert_eq!((ahead(5.0, 59), ahead(5.0, 61)), (Some(0.0), Some(1.0)));
        assert_eq!((ahead(5.0, 3), ahead(5.0, u32::MAX)), (None, Some(1.0)));
        let part = Part::of(5.0, 300, TIME).expect("many");
        assert!((to_secs(part.turn()) - 60.0).abs() < 1e-6);
    }

    #[test]
    fn few_senders_and_useless_lists_have_no_part() {
        assert_eq!(Part::of(50.0, 3, TIME), None);
        for listed in [0.0, -1.0, f64::NAN, f64::INFINITY] {
            assert_eq!(Part::of(listed, 100, TIME), None, "{listed}");
        }
    }

    #[test]
    fn a_fleet_opens_at_what_is_listed_and_one_said_to_be_huge_still_moves() {
        let part = Part::of(50.0, 100, TIME).expect("many");
        assert!((part.opening() * 100.0 - 50.0).abs() < 1e-9);
        assert!(Part::of(1.0, u32::MAX, TIME).expect("many").opening() >= LEAST_PART);
    }

    #[test]
    fn a_pace_falls_by_refusals_comes_back_by_itself_and_stays_in_bounds() {
        let part = Part::of(50.0, 100, TIME).expect("many");
        let low = (0..50).fold(part.opening(), |pace, _| part.refused(pace));
        assert!(low > 0.0 && low < 0.1 * part.opening());
        assert_eq!(part.rested(low, 120.0), part.opening());
        let high = (0..500).fold(part.opening(), |pace, _| part.taken(pace));
        assert!(high <= 2.0 * part.opening() && part.rested(high, 60.0) == high);
    }

    #[test]
    fn one_of_many_takes_a_return_for_half_as_old_as_its_last_failure() {
        assert_eq!((unseen(6.0, 100), unseen(6.0, 3)), (3.0, 0.0));
    }

    #[test]
    fn a_sender_that_is_handed_more_than_others_takes_more_parts_and_repeats_count_for_none() {
        const SEC: Nanos = crate::dispatch::statistics::SEC;
        let seen = |first: u64, again: u64, senders| {
            let mut traffic = Traffic::new(0);
            traffic.list([60.0, 40.0, f64::NAN].into_iter());
            for i in 1..=40 * SEC / crate::dispatch::statistics::MS {
                let at = i * crate::dispatch::statistics::MS;
                (0..u64::from(i % first == 0))
                    .for_each(|_| traffic.handed_in(at, 12 * SEC, 12 * SEC));
                (0..u64::from(i % again == 0))
                    .for_each(|_| traffic.handed_in(at, 9 * SEC, 12 * SEC));
            }
            traffic.parts(40 * SEC, senders)
        };
        // One in a second is the even part of 100 a second among 100 senders.
        assert_eq!(seen(2_000, 50, 100), 1.0);
        assert!(
            (2.8..3.6).contains(&seen(250, 2_000, 100)),
            "{}",
            seen(250, 2_000, 100)
        );
        assert_eq!((seen(20, 2_000, 100), seen(20, 2_000, 3)), (BUSIEST, 1.0));
        assert_eq!(Traffic::new(0).parts(SEC, 100), 1.0, "nothing listed");
    }

    #[test]
    fn lots_fall_by_weight() {
        let mut random = crate::dispatch::statistics::Random::new(7);
        let wins = (0..10_000)
            .filter(|_| lot(3.0, random.draw()) < lot(1.0, random.draw()))
            .count();
        assert!((7_300..7_700).contains(&wins), "{wins}");
    }
}
