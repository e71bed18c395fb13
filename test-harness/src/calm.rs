//! A fleet on a calm day: a fixed sum of messages, however many senders it comes by, and endpoints
//! that take it. What dies here dies of the senders' own doing.

use crate::cold_start::NotPlayed;
use crate::limits::Terms;
use crate::record::Verdict;
use crate::stage::{Ground, Stage, Told, DESTS};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Messages a second, all senders together.
const RATE: f64 = 58.7;
/// Endpoints of each destination.
const EACH: usize = 3;
/// Calls a second that the list tells of each endpoint.
const LISTED: f64 = 5.0;
/// Windows in which they count.
const WINDOW_MS: u64 = 2_000;
/// What a call takes.
const CALL: Duration = Duration::from_millis(20);
/// Messages come for so long.
const SPAN: Duration = Duration::from_secs(25);
/// Time that a message has.
const LEFT: Duration = Duration::from_secs(12);
/// What an ask costs the directory: nothing that would be seen here.
const ASK: Duration = Duration::from_millis(5);
/// All senders are told within this time, or it is played all the same.
const PATIENCE: Duration = Duration::from_secs(60);
/// Clients at once: one that waits for its answer holds up no other.
const CLIENTS: usize = 8;
/// Where it is uneven: half of the messages come to a fifth of the senders, and a fifth of them
/// goes to two destinations.
const UNEVEN: (f64, f64, f64, usize) = (0.5, 0.2, 0.2, 2);

/// What endpoints take in truth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Limits {
    /// Whatever comes.
    Any,
    /// What is listed.
    Listed,
    /// Half of it.
    Half,
    /// Twice as much.
    Twice,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Processes.
    pub senders: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// What endpoints take.
    pub limits: Limits,
    /// Some senders and destinations get several times what others get.
    pub uneven: bool,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Played {
    /// See [`Plan`].
    pub limits: Limits,
    /// See [`Plan`].
    pub uneven: bool,
    /// Messages that were taken on.
    pub taken: usize,
    /// Those of them that were delivered.
    pub delivered: usize,
    /// Calls that came to endpoints, and those of them that were turned away.
    pub calls: u32,
    /// See above.
    pub refused: u32,
    /// Their ratio.
    pub refusals_per_call: f64,
    /// Half of the deliveries came within so many seconds, and 95 in 100 within these.
    pub half_s: f64,
    /// See above.
    pub most_s: f64,
    /// Processes that ended by themselves.
    pub crashed: usize,
    /// What the rules say.
    #[serde(flatten)]
    pub verdict: Verdict,
}

impl Played {
    /// Whether nothing is broken.
    pub fn is_good(&self) -> bool {
        self.verdict == Verdict::default() && self.crashed == 0
    }
}

/// A message that comes: when, to which sender, for which destination.
type Comes = (Duration, usize, usize);

impl Plan {
    /// All messages, in the order of time: as many a second as chance has it.
    fn messages(&self) -> Vec<Comes> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let (often, few, hot, dests) = if self.uneven {
            UNEVEN
        } else {
            (0.0, 1.0, 0.0, DESTS)
        };
        let few = ((self.senders as f64 * few) as usize).max(1);
        let (mut all, mut at) = (Vec::new(), 0.0);
        loop {
            at += -(1.0 - random.f64()).ln() / RATE;
            if at >= SPAN.as_secs_f64() {
                return all;
            }
            let to = if random.f64() < often {
                few
            } else {
                self.senders
            };
            let sender = random.usize(..to);
            let of = if random.f64() < hot { dests } else { DESTS };
            all.push((Duration::from_secs_f64(at), sender, random.usize(..of)));
        }
    }

    fn terms(&self) -> Terms {
        let factor = match self.limits {
            Limits::Any => None,
            Limits::Listed => Some(1.0),
            Limits::Half => Some(0.5),
            Limits::Twice => Some(2.0),
        };
        Terms {
            listed: LISTED,
            factor,
            window_ms: WINDOW_MS,
            ..Terms::default()
        }
    }
}

/// Plays it: all start and are told; then messages come, and nothing else happens.
///
/// # Errors
/// Stand-ins or processes could not be started.
pub fn play(plan: &Plan) -> Result<Played, NotPlayed> {
    let endpoints = DESTS * EACH;
    let ground = Ground {
        endpoints,
        zones: vec!["a".into()],
        call: CALL,
        terms: plan.terms(),
        lines: false,
    };
    let mut stage = Stage::on(ground, ASK, |_| false)?;
    stage.deadline = LEFT;
    let (record, directory) = (stage.record.clone(), &stage.directory);
    let Plan {
        program,
        seed,
        senders,
        ..
    } = plan;
    let told = Told {
        program,
        seed: *seed,
        balancers: *senders,
        rare: false,
    };
    let fleet = (0..*senders).map(|n| stage.sender(&told, n, directory.address));
    let mut fleet = fleet.collect::<Result<Vec<_>, _>>()?;
    fleet.iter_mut().try_for_each(|s| s.spawn())?;
    fleet.iter().try_for_each(|s| s.listens())?;
    let end = Instant::now() + PATIENCE;
    while record.seen().told.len() < *senders && Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }

    let (messages, begun) = (plan.messages(), Instant::now());
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (messages, record, fleet) = (&messages, &record, &fleet);
            scope.spawn(move || {
                for (n, (at, sender, dest)) in
                    messages.iter().enumerate().skip(client).step_by(CLIENTS)
                {
                    thread::sleep((begun + *at).saturating_duration_since(Instant::now()));
                    fleet[*sender].hand_in(&format!("m{n}"), *dest, LEFT, record);
                }
            });
        }
    });
    record.settle(LEFT + Duration::from_secs(2));
    let crashed = fleet.iter_mut().map(|s| usize::from(!s.lives())).sum();
    drop(fleet);

    let (came, turned_away) = stage
        .partners
        .iter()
        .map(|p| p.came())
        .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    let seen = record.seen();
    let taken: Vec<_> = seen.lives.values().filter(|l| l.taken_on).collect();
    let ages = taken
        .iter()
        .filter_map(|l| Some((l.delivered_at? - l.handed_at?).as_secs_f64()));
    let mut ages: Vec<f64> = ages.collect();
    ages.sort_by(f64::total_cmp);
    let within = |part: f64| {
        ages.get((ages.len() as f64 * part) as usize)
            .copied()
            .unwrap_or(f64::NAN)
    };
    let played = Played {
        limits: plan.limits,
        uneven: plan.uneven,
        taken: taken.len(),
        delivered: ages.len(),
        calls: came,
        refused: turned_away,
        refusals_per_call: f64::from(turned_away) / f64::from(came.max(1)),
        half_s: within(0.5),
        most_s: within(0.95),
        crashed,
        verdict: Verdict::default(),
    };
    drop(seen);
    Ok(Played {
        verdict: record.verdict(),
        ..played
    })
}

/// What [`play`] is played with where nothing else is asked for: endpoints that take whatever
/// comes.
pub fn plan(program: &Path, senders: usize, seed: u64) -> Plan {
    Plan {
        program: program.to_path_buf(),
        senders,
        seed,
        limits: Limits::Any,
        uneven: false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_sum_is_the_same_however_many_senders_there_are_and_uneven_is_as_it_is_said() {
        let messages = |senders, uneven| {
            let plan = Plan {
                uneven,
                ..plan(Path::new("none"), senders, 7)
            };
            plan.messages()
        };
        for senders in [30, 300] {
            let even = messages(senders, false);
            let expected = RATE * SPAN.as_secs_f64();
            assert!(
                (even.len() as f64 - expected).abs() < 4.0 * expected.sqrt(),
                "{}",
                even.len()
            );
            assert!(even
                .iter()
                .all(|(at, sender, dest)| *at < SPAN && *sender < senders && *dest < DESTS));
            let uneven = messages(senders, true);
            let part = |of: fn(&Comes, usize) -> bool| {
                uneven.iter().filter(|m| of(m, senders)).count() as f64 / uneven.len() as f64
            };
            assert!((0.55..0.65).contains(&part(|m, senders| m.1 < senders / 5)));
            assert!((0.3..0.42).contains(&part(|m, _| m.2 < 2)));
        }
    }
}
