//! Which messages are taken on, before the decision module sees them: so that no client fills the
//! room, one class leaves room for another, and no more is held than is really delivered in time.
//! It only keeps away; it sends nothing, and refuses nothing that was taken on.

use crate::admission_control::connection_rate::{Rate, Rates};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The adapting limit is looked at this often.
const INTERVAL: Duration = Duration::from_secs(1);
/// It falls to this part of what is held, and rises by this part of itself.
const STEPS: (f64, f64) = (0.8, 0.05);
/// It never falls below this part of the room, so that what recovers is noticed.
const FLOOR: f64 = 0.05;
/// Deliveries are counted over about this time.
const OVER: f64 = 5.0;
/// Shortest and longest time to come back that is told, and the one told while nothing is known.
const WAITS: (Duration, Duration, Duration) = (
    Duration::from_millis(100),
    Duration::from_secs(10),
    Duration::from_millis(500),
);

/// What is settled; what is not set is not bounded.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Messages that may be held at all.
    pub room: usize,
    /// Messages that one client may hand in.
    pub rate: Option<Rate>,
    /// Part of the room that one client's messages may take.
    pub share: Option<f64>,
    /// Part of the room that only known clients' messages may take.
    pub reserve: f64,
    /// Part of the room up to which a class is taken on, by class; all of it where nothing is said.
    pub classes: Vec<f64>,
    /// How long the quickest message may stay before less is held.
    pub target: Option<Duration>,
    /// Clients whose rate is remembered.
    pub remembered: usize,
}

/// Why a message is not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kept {
    /// Its client hands in too often.
    Rate,
    /// Its client's messages take their share.
    Share,
    /// What is left is for other classes.
    Class,
    /// What is left is for known clients.
    Known,
    /// More is held already than is delivered in time.
    Slow,
}

impl fmt::Display for Kept {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kept::Rate => "client rate",
            Kept::Share => "client share",
            Kept::Class => "class room",
            Kept::Known => "known room",
            Kept::Slow => "slow delivery",
        })
    }
}

/// Counts what is held, by client, and how it fares.
pub struct Messages {
    limits: Limits,
    held: BTreeMap<String, usize>,
    all: usize,
    rates: Option<Rates<String>>,
    /// Messages that may be held for now.
    limit: f64,
    /// Deliveries a second, faded, and when that was.
    flow: (f64, Duration),
    /// Since when, the shortest stay since then, and the most that was held.
    seen: (Duration, Option<Duration>, usize),
}

impl Messages {
    /// Nothing held yet.
    pub fn new(limits: Limits) -> Self {
        Messages {
            rates: limits.rate.map(|r| Rates::new(r, limits.remembered.max(1))),
            limit: limits.room as f64,
            held: BTreeMap::new(),
            all: 0,
            flow: (0.0, Duration::ZERO),
            seen: (Duration::ZERO, None, 0),
            limits,
        }
    }

    /// Goes by other limits from now on. What is held stays, and counts; rates that stay as they
    /// were are remembered.
    pub fn change(&mut self, limits: Limits) {
        let remembered = limits.remembered.max(1);
        if (limits.rate, remembered) != (self.limits.rate, self.limits.remembered.max(1)) {
            self.rates = limits.rate.map(|r| Rates::new(r, remembered));
        }
        // What was learned holds as far as there is room, and where there was no need to hold less
        // there is none now.
        let learned = limits.target.is_some() && self.limit < self.limits.room as f64;
        self.limit = if learned {
            self.limit.min(limits.room as f64)
        } else {
            limits.room as f64
        };
        self.limits = limits;
    }

    /// Whether a client's message of a class may come in. Where not, when to come back.
    pub fn ask(
        &mut self,
        now: Duration,
        client: &str,
        known: bool,
        class: usize,
    ) -> Result<(), (Kept, Duration)> {
        self.look(now);
        let room = self.limits.room as f64;
        // What is kept for known clients is a part of what may be held for now.
        let open = if known {
            1.0
        } else {
            1.0 - self.limits.reserve
        };
        let least = self.limit.min(1.0);
        let limit = (self.limit * open).max(least);
        if self.all as f64 >= limit {
            let why = if self.limit < room {
                Kept::Slow
            } else {
                Kept::Known
            };
            return Err((why, self.drained(now, self.all as f64 + 1.0 - limit)));
        }
        let part = self.limits.classes.get(class).copied().unwrap_or(1.0);
        if self.all as f64 >= room * part {
            return Err((
                Kept::Class,
                self.drained(now, self.all as f64 + 1.0 - room * part),
            ));
        }
        let held = self.held.get(client).copied().unwrap_or(0);
        if let Some(share) = self.limits.share {
            let most = (room * share).max(1.0);
            if held as f64 >= most {
                return Err((Kept::Share, self.drained(now, 1.0)));
            }
        }
        if let Some(rates) = &mut self.rates {
            rates
                .come(now, &client.to_string())
                .map_err(|wait| (Kept::Rate, wait))?;
        }
        Ok(())
    }

    /// A client's message is held from now on.
    pub fn taken_on(&mut self, client: &str) {
        *self.held.entry(client.to_string()).or_default() += 1;
        self.all += 1;
        self.seen.2 = self.seen.2.max(self.all);
    }

    /// It is held no more, after so long, delivered or not.
    pub fn over(&mut self, now: Duration, client: &str, stayed: Duration, delivered: bool) {
        if let Some(held) = self.held.get_mut(client) {
            (*held, self.all) = (*held - 1, self.all - 1);
            if *held == 0 {
                self.held.remove(client);
            }
        }
        if delivered {
            self.flow = (self.rate(now) + 1.0 / OVER, now);
            self.seen.1 = Some(self.seen.1.map_or(stayed, |least| least.min(stayed)));
        }
        self.look(now);
    }

    /// Messages held, and clients who have some.
    pub fn held(&self) -> (usize, usize) {
        (self.all, self.held.len())
    }

    /// Deliveries a second.
    fn rate(&self, now: Duration) -> f64 {
        self.flow.0 * (-now.saturating_sub(self.flow.1).as_secs_f64() / OVER).exp()
    }

    /// The time in which so many are delivered, at the rate seen.
    fn drained(&self, now: Duration, excess: f64) -> Duration {
        let rate = self.rate(now);
        let told = if rate > 0.01 {
            Duration::from_secs_f64(excess.max(1.0) / rate)
        } else {
            WAITS.2
        };
        told.clamp(WAITS.0, WAITS.1)
    }

    /// Once in an interval: where even the quickest message stayed too long, less is held; where
    /// the limit was reached and all is well, more.
    fn look(&mut self, now: Duration) {
        let Some(target) = self.limits.target else {
            return;
        };
        let (since, least, most) = self.seen;
        if now < since + INTERVAL {
            return;
        }
        let (room, floor) = (
            self.limits.room as f64,
            (self.limits.room as f64 * FLOOR).max(1.0),
        );
        match least {
            Some(least) if least > target => {
                self.limit = (most as f64 * STEPS.0).min(self.limit).max(floor)
            }
            Some(_) if most as f64 >= self.limit * (1.0 - self.limits.reserve) - 1.0 => {
                self.limit = (self.limit + (self.limit * STEPS.1).max(1.0)).min(room);
            }
            // Nothing was delivered though much is held, or nothing was asked for: neither says
            // that more would do.
            _ => {}
        }
        self.seen = (now, None, self.all);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::VecDeque;

    const MS: Duration = Duration::from_millis(1);

    fn limits() -> Limits {
        Limits {
            room: 100,
            remembered: 10,
            ..Limits::default()
        }
    }

    #[test]
    fn one_client_never_takes_more_than_its_share_and_the_other_finds_room() {
        let mut m = Messages::new(Limits {
            share: Some(0.3),
            ..limits()
        });
        let taken = (0..100)
            .filter(|_| m.ask(MS, "a", false, 0).map(|()| m.taken_on("a")).is_ok())
            .count();
        assert_eq!(taken, 30);
        assert!(matches!(m.ask(MS, "a", false, 0), Err((Kept::Share, _))));
        assert_eq!(m.ask(MS, "b", false, 0), Ok(()));
        m.over(2 * MS, "a", MS, true);
        assert_eq!(m.ask(2 * MS, "a", false, 0), Ok(()));
    }

    #[test]
    fn however_many_unknown_clients_come_the_known_find_room() {
        for limit in [None, Some(500 * MS)] {
            let mut m = Messages::new(Limits {
                reserve: 0.2,
                target: limit,
                ..limits()
            });
            let unknown = (0..500)
                .filter(|n| {
                    let name = n.to_string();
                    m.ask(MS, &name, false, 0)
                        .map(|()| m.taken_on(&name))
                        .is_ok()
                })
                .count();
            assert_eq!(unknown, 80);
            assert!(matches!(m.ask(MS, "x", false, 0), Err((Kept::Known, _))));
            let known = (0..500)
                .filter(|_| m.ask(MS, "k", true, 0).map(|()| m.taken_on("k")).is_ok())
                .count();
            assert_eq!(known, 20);
        }
    }

    #[test]
    fn a_lesser_class_leaves_room_for_the_others() {
        let mut m = Messages::new(Limits {
            classes: vec![1.0, 0.5],
            ..limits()
        });
        let take = |m: &mut Messages, class| {
            (0..200)
                .filter(|_| {
                    m.ask(MS, "a", false, class)
                        .map(|()| m.taken_on("a"))
                        .is_ok()
                })
                .count()
        };
        assert_eq!(take(&mut m, 1), 50);
        assert_eq!(take(&mut m, 0), 50);
    }

    /// A queue that is served at a rate, and asked for more than that all the time; gives stays of
    /// what was delivered and what was held at the end.
    fn run(m: &mut Messages, from: u64, seconds: u64, gap_ms: u64) -> (Duration, usize) {
        let (mut queue, mut stays) = (VecDeque::new(), Vec::new());
        for _ in 0..m.held().0 {
            queue.push_back(from);
        }
        for ms in from..from + seconds * 1000 {
            if ms % 2 == 0 && m.ask(ms as u32 * MS, "a", false, 0).is_ok() {
                m.taken_on("a");
                queue.push_back(ms);
            }
            if ms % gap_ms == 0 {
                if let Some(came) = queue.pop_front() {
                    let stayed = (ms - came) as u32 * MS;
                    m.over(ms as u32 * MS, "a", stayed, true);
                    stays.push(stayed);
                }
            }
        }
        let late = &stays[stays.len() / 2..];
        (
            late.iter().sum::<Duration>() / late.len() as u32,
            m.held().0,
        )
    }

    #[test]
    fn what_is_held_follows_what_is_delivered() {
        let mut m = Messages::new(Limits {
            target: Some(500 * MS),
            ..limits()
        });
        // 20 a second: 100 held would wait 5 s each.
        let (stay, held) = run(&mut m, 0, 60, 50);
        assert!(stay < 900 * MS && held <= 20, "{stay:?} with {held}");
        let wait = loop {
            match m.ask(60_001 * MS, "a", false, 0) {
                Ok(()) => m.taken_on("b"),
                Err((why, wait)) => break (why == Kept::Slow).then_some(wait).expect("slow"),
            }
        };
        assert!(
            wait >= WAITS.0 && wait < 200 * MS,
            "about what one delivery takes: {wait:?}"
        );
        // Ten times as quick: more is held again.
        let (stay, held) = run(&mut m, 60_000, 60, 5);
        assert!(stay < 600 * MS && held > 50, "{stay:?} with {held}");
    }

    #[test]
    fn limits_change_under_what_is_held_and_forget_neither_it_nor_rates_that_stay() {
        let rate = Some(Rate {
            per_second: 1.0,
            burst: 2,
        });
        let mut m = Messages::new(Limits { rate, ..limits() });
        let take = |m: &mut Messages| m.ask(MS, "a", false, 0).map(|()| m.taken_on("a"));
        assert!(take(&mut m).is_ok() && take(&mut m).is_ok());
        m.change(Limits {
            rate,
            room: 2,
            ..limits()
        });
        assert!(
            matches!(take(&mut m), Err((Kept::Known, _))),
            "what is held fills the room"
        );
        m.change(Limits { rate, ..limits() });
        assert!(
            matches!(take(&mut m), Err((Kept::Rate, _))),
            "the rate is remembered"
        );
        m.change(limits());
        assert!(take(&mut m).is_ok());
        (0..3).for_each(|_| m.over(MS, "a", MS, true));
        assert_eq!(m.held(), (0, 0));
    }

    #[test]
    fn without_settings_only_the_room_counts() {
        let mut m = Messages::new(limits());
        let taken = (0..200)
            .filter(|_| m.ask(MS, "a", false, 3).map(|()| m.taken_on("a")).is_ok())
            .count();
        assert_eq!(taken, 100);
    }
}
