//! What an endpoint bears: so many calls in a window, less while it is cold, and it falls over when
//! far too many come to it then. No clock and no socket: the time is handed in.

use serde::Deserialize;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// What all endpoints of a play bear, and what the senders' settings say of them.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// Calls a second that the list tells of each.
    pub listed: f64,
    /// What it takes is so many times the listed rate; without a bound, if nothing is said.
    pub factor: Option<f64>,
    /// It counts in windows of so many milliseconds.
    pub window_ms: u64,
    /// It tells those that it turns away for how long.
    pub tells: bool,
    /// Part of its rate that it bears when it is back from the dead.
    pub cold_share: f64,
    /// It bears all after so long, growing evenly, in seconds.
    pub warm_after_s: f64,
    /// What topples a cold one: so many times what it bears...
    pub overload_factor: f64,
    /// ...for so long, in seconds.
    pub overload_for_s: f64,
    /// One that fell over is down for so long, in seconds.
    pub down_s: f64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            listed: 50.0,
            factor: None,
            window_ms: 1_000,
            tells: true,
            cold_share: 0.23,
            warm_after_s: 13.0,
            overload_factor: 2.0,
            overload_for_s: 3.0,
            down_s: 5.0,
        }
    }
}

impl Terms {
    /// The first value that cannot be used: its name, and what it has to be.
    pub fn fault(&self) -> Option<(&'static str, &'static str)> {
        let span = |s: f64| (0.0..=3_600.0).contains(&s);
        let all = [
            (
                "listed",
                self.listed > 0.0 && self.listed <= 100_000.0,
                "above 0, at most 100000",
            ),
            (
                "factor",
                self.factor.is_none_or(|f| f > 0.0 && f <= 1_000.0),
                "above 0, at most 1000",
            ),
            (
                "window_ms",
                (1..=600_000).contains(&self.window_ms),
                "1 to 600000",
            ),
            (
                "cold_share",
                self.cold_share > 0.0 && self.cold_share <= 1.0,
                "above 0, at most 1",
            ),
            ("warm_after_s", span(self.warm_after_s), "0 to 3600"),
            (
                "overload_factor",
                (1.0..=1_000.0).contains(&self.overload_factor),
                "1 to 1000",
            ),
            (
                "overload_for_s",
                self.overload_for_s > 0.0 && span(self.overload_for_s),
                "above 0, at most 3600",
            ),
            ("down_s", span(self.down_s), "0 to 3600"),
        ];
        all.into_iter()
            .find(|(_, good, _)| !good)
            .map(|(name, _, why)| (name, why))
    }

    /// Part of its rate that one bears which has been back for so long.
    pub fn warmth(&self, back: Duration) -> f64 {
        let grown = (back.as_secs_f64() / self.warm_after_s.max(1e-9)).min(1.0);
        self.cold_share + (1.0 - self.cold_share) * grown
    }
}

/// How an endpoint is dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Death {
    /// Nobody listens, and whoever was connected is cut off.
    Unconnected,
    /// It accepts and reads, and never answers.
    Hangs,
    /// It answers later by so many milliseconds. One that is only slow was never away and is not
    /// cold after it.
    Slow(u64),
    /// It answers each call with an error.
    Errors,
}

/// What an endpoint does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    /// It delivers it, later than usually by this.
    Takes(Duration),
    /// It turns it away; there is room again after this time, if it tells.
    Full(Option<Duration>),
    /// It is an error.
    Errs,
    /// It never answers.
    Hangs,
    /// It hangs up: nobody is there. Whether it fell over just now.
    Gone(bool),
}

/// One endpoint's.
#[derive(Debug)]
pub struct Limit {
    terms: Terms,
    dead: Option<Death>,
    fallen: Option<Instant>,
    /// When it came back from the dead, if it ever did.
    back: Option<Instant>,
    window: Option<Instant>,
    taken: u32,
    /// What came of late, while it was cold.
    came: VecDeque<Instant>,
    peak: Peak,
}

/// Calls from which on chance counts for less: 2 roots of them and 2 calls, and 3 roots and 3 calls
/// under that.
const MANY_CALLS: f64 = 30.0;

/// Most calls within `overload_for_s` that one bears which may get so many.
pub fn bears(may: f64) -> f64 {
    let roots = if may < MANY_CALLS { 3.0 } else { 2.0 };
    may + roots * may.sqrt() + roots
}

/// What came to a cold one within `overload_for_s`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Peak {
    /// All calls, also those that were turned away.
    pub calls: usize,
    /// What it might get then.
    pub budget: f64,
}

impl Peak {
    /// The calls as a part of those that it bears: over 1, it falls.
    pub fn part(&self) -> f64 {
        self.calls as f64 / bears(self.budget)
    }
}

impl Limit {
    /// One that is warm.
    pub fn new(terms: Terms) -> Limit {
        let (came, peak) = (VecDeque::new(), Peak::default());
        Limit {
            terms,
            dead: None,
            fallen: None,
            back: None,
            window: None,
            taken: 0,
            came,
            peak,
        }
    }

    /// It dies, or dies otherwise.
    pub fn dies(&mut self, death: Death) {
        self.dead = Some(death);
    }

    /// It lives again, and is cold if it was away.
    pub fn lives(&mut self, now: Instant) {
        match self.dead.take() {
            None | Some(Death::Slow(_)) => {}
            Some(_) => self.comes_back(now),
        }
    }

    fn comes_back(&mut self, at: Instant) {
        (self.back, self.window) = (Some(at), None);
        self.came.clear();
    }

    /// How it is dead. One that fell over is as one that nobody can connect to.
    pub fn death(&mut self, now: Instant) -> Option<Death> {
        if let Some(until) = self.fallen.filter(|until| *until <= now) {
            self.fallen = None;
            self.comes_back(until);
        }
        self.fallen.map(|_| Death::Unconnected).or(self.dead)
    }

    /// Part of its rate that it bears.
    pub fn warmth(&self, now: Instant) -> f64 {
        self.back.map_or(1.0, |back| {
            self.terms.warmth(now.saturating_duration_since(back))
        })
    }

    /// The most that ever came while it was cold, beside what it bore then.
    pub fn peak(&self) -> Peak {
        self.peak
    }

    /// A call comes in.
    pub fn comes(&mut self, now: Instant) -> Does {
        let late = match self.death(now) {
            Some(Death::Unconnected) => return Does::Gone(false),
            Some(Death::Hangs) => return Does::Hangs,
            Some(Death::Errors) => return Does::Errs,
            Some(Death::Slow(ms)) => Duration::from_millis(ms),
            None => Duration::ZERO,
        };
        let Some(factor) = self.terms.factor else {
            return Does::Takes(late);
        };
        let bears = self.terms.listed * factor * self.warmth(now);
        if self.topples(now, bears) {
            self.fallen = Some(now + Duration::from_secs_f64(self.terms.down_s));
            return Does::Gone(true);
        }
        let long = Duration::from_millis(self.terms.window_ms);
        if self.window.is_none_or(|begun| now >= begun + long) {
            (self.window, self.taken) = (Some(now), 0);
        }
        // One at least, or it would never take any.
        if self.taken >= (bears * long.as_secs_f64()).max(1.0) as u32 {
            let left = self.window.map(|begun| begun + long - now);
            return Does::Full(left.filter(|_| self.terms.tells));
        }
        self.taken += 1;
        Does::Takes(late)
    }

    /// Counts what comes to a cold one, also what it turns away. It falls over where more came
    /// within `overload_for_s` than it may get (N: so many times what it bears now) and what chance
    /// explains ([`bears`]).
    fn topples(&mut self, now: Instant, bears: f64) -> bool {
        let long = Duration::from_secs_f64(self.terms.overload_for_s);
        if self.warmth(now) >= 1.0 {
            self.came.clear();
            return false;
        }
        while self.came.front().is_some_and(|at| *at + long <= now) {
            self.came.pop_front();
        }
        self.came.push_back(now);
        let may = self.terms.overload_factor * bears * self.terms.overload_for_s;
        let came = Peak {
            calls: self.came.len(),
            budget: may,
        };
        if came.part() > self.peak.part() {
            self.peak = came;
        }
        let falls = came.part() > 1.0;
        if falls {
            self.came.clear();
        }
        falls
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(factor: f64) -> (Limit, Instant) {
        let terms = Terms {
            listed: 10.0,
            factor: Some(factor),
            ..Terms::default()
        };
        (Limit::new(terms), Instant::now())
    }

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn a_window_takes_its_calls_and_tells_how_long_it_is_full() {
        let (mut limit, begun) = of(0.5);
        for n in 0..5 {
            assert_eq!(limit.comes(begun + ms(n)), Does::Takes(ms(0)));
        }
        assert_eq!(limit.comes(begun + ms(300)), Does::Full(Some(ms(700))));
        assert_eq!(limit.comes(begun + ms(1_000)), Does::Takes(ms(0)));
        limit.terms.tells = false;
        (0..4).for_each(|_| assert_eq!(limit.comes(begun + ms(1_001)), Does::Takes(ms(0))));
        assert_eq!(limit.comes(begun + ms(1_002)), Does::Full(None));
        // A warm one is not toppled, whatever comes.
        assert!((0..1_000).all(|_| limit.comes(begun + ms(1_003)) == Does::Full(None)));
    }

    #[test]
    fn one_that_was_away_is_cold_and_grows_evenly() {
        let (mut limit, begun) = of(1.0);
        for (death, does) in [
            (Death::Unconnected, Does::Gone(false)),
            (Death::Hangs, Does::Hangs),
            (Death::Errors, Does::Errs),
        ] {
            limit.dies(death);
            assert_eq!(
                (limit.comes(begun), limit.death(begun)),
                (does, Some(death))
            );
            limit.lives(begun + ms(500));
            assert!(
                (limit.warmth(begun + ms(500)) - 0.23).abs() < 1e-9,
                "{death:?}"
            );
        }
        assert_eq!(limit.comes(begun + ms(500)), Does::Takes(ms(0)));
        assert_eq!(limit.comes(begun + ms(501)), Does::Takes(ms(0)));
        assert_eq!(
            limit.comes(begun + ms(502)),
            Does::Full(Some(ms(998))),
            "2 of 10 while it is cold"
        );
        assert!((limit.warmth(begun + ms(7_000)) - 0.615).abs() < 1e-9);
        assert_eq!(limit.warmth(begun + ms(13_500)), 1.0);
        limit.dies(Death::Slow(800));
        assert_eq!(limit.comes(begun + ms(20_000)), Does::Takes(ms(800)));
        limit.lives(begun + ms(20_000));
        assert_eq!(limit.warmth(begun + ms(20_000)), 1.0, "it was never away");
    }

    #[test]
    fn a_cold_one_falls_over_by_one_call_too_many_and_is_cold_again_when_it_is_back() {
        // 10 a second, cold 2.3: it may get 13.8 within 3 s, and 3 standard deviations and 3 more:
        // 27.
        let (mut limit, begun) = of(1.0);
        limit.dies(Death::Hangs);
        limit.lives(begun);
        assert!((0..27).all(|_| !matches!(limit.comes(begun), Does::Gone(_))));
        assert_eq!(limit.comes(begun), Does::Gone(true));
        assert_eq!(limit.comes(begun + ms(4_999)), Does::Gone(false));
        assert_eq!(limit.comes(begun + ms(5_000)), Does::Takes(ms(0)));
        assert!((limit.warmth(begun + ms(5_000)) - 0.23).abs() < 1e-9);
        assert_eq!(limit.peak().calls, 28, "{:?}", limit.peak());
        // The same calls over a longer time are what it may get.
        let (mut limit, begun) = of(1.0);
        limit.dies(Death::Hangs);
        limit.lives(begun);
        assert!((0..120).all(|n| !matches!(limit.comes(begun + ms(115 * n)), Does::Gone(_))));
        assert!(limit.peak().part() < 1.0, "{:?}", limit.peak());
    }

    #[test]
    fn one_that_may_get_thirty_calls_bears_two_roots_and_two_more() {
        // 100 a second, cold 23: it may get 138 within 3 s, and 2 roots and 2 more: 163.
        let terms = Terms {
            listed: 100.0,
            factor: Some(1.0),
            ..Terms::default()
        };
        let (mut limit, begun) = (Limit::new(terms), Instant::now());
        limit.dies(Death::Hangs);
        limit.lives(begun);
        assert!((0..163).all(|_| !matches!(limit.comes(begun), Does::Gone(_))));
        assert_eq!(limit.comes(begun), Does::Gone(true));
        assert_eq!((bears(29.0) as u32, bears(30.0) as u32), (48, 42));
    }
}
