//! Plays a day and gives what came of it.

use crate::check::Checker;
use crate::day::{Bad, Day};
use crate::log::{Fact, See};
use crate::policies::Policy;
use crate::sender::Fault;
use crate::sim::Sim;
use crate::tally::{Second, Sum, Tally};
use raildeal::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What came of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Played {
    /// Its file's name of it.
    pub day: String,
    /// Its seed.
    pub seed: u64,
    /// Who decided.
    pub policy: Policy,
    /// What it came to.
    pub sum: Sum,
    /// How often each rule was broken.
    pub broken: BTreeMap<String, u64>,
    /// The first breaches, word for word.
    pub told: Vec<String>,
    /// Each second of it.
    pub seconds: Vec<Second>,
    /// When trouble began and ended, in seconds.
    pub troubles: Vec<(f64, f64)>,
    /// Events.
    pub events: u64,
    /// How many times as fast as the day itself. Not the same on each run.
    #[serde(skip)]
    pub speed: f64,
    /// The time that it took.
    #[serde(skip)]
    pub took: Duration,
}

struct All<'a> {
    checker: Checker,
    tally: Tally,
    troubles: Vec<(f64, f64)>,
    more: Option<&'a mut dyn See>,
}

impl See for All<'_> {
    fn see(&mut self, now: Nanos, fact: &Fact) {
        self.checker.see(now, fact);
        self.tally.see(now, fact);
        if let Fact::Trouble { number, begins } = fact {
            let at = crate::partner::in_seconds(now);
            let when = &mut self.troubles[*number];
            if *begins {
                *when = (at, at);
            } else {
                when.1 = at;
            }
        }
        if let Some(more) = &mut self.more {
            more.see(now, fact);
        }
    }
}

/// Plays a day; whoever else wants to see it, may.
pub fn play(
    day: &Day,
    seed: u64,
    fault: Option<Fault>,
    more: Option<&mut dyn See>,
) -> Result<Played, Bad> {
    let sim = Sim::new(day, seed, fault)?;
    let settings = sim.settings().clone();
    let troubles = vec![(0.0, 0.0); day.troubles.len()];
    let mut all = All {
        checker: Checker::new(&settings),
        tally: Tally::new(&settings),
        troubles,
        more,
    };
    let begun = Instant::now();
    let ran = sim.run(&mut all);
    let took = begun.elapsed();
    all.checker.finish(ran.time);
    let broken = all
        .checker
        .counts()
        .iter()
        .map(|(rule, n)| (rule.to_string(), *n))
        .collect();
    Ok(Played {
        day: day.name.clone(),
        seed,
        policy: day.senders.policy,
        sum: all.tally.sum(),
        broken,
        told: all.checker.told().to_vec(),
        seconds: all.tally.seconds().to_vec(),
        troubles: all.troubles,
        events: ran.events,
        speed: crate::partner::in_seconds(ran.time) / took.as_secs_f64().max(1e-9),
        took,
    })
}
