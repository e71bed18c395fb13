//! A whole fleet that starts in the same moment, and most or all of it once more after a kill or a
//! planned end.

use crate::directory::Directory;
use crate::record::{Record, Verdict};
use crate::sender::{NoSender, Sender};
use crate::stage::{Stage, Told, DESTS, LEFT};
use serde::Serialize;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The platform starts a killed sender again after so long.
const AGAIN: Duration = Duration::from_millis(600);

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Processes.
    pub senders: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// How many the settings say that there are, these processes and others.
    pub balancers: usize,
    /// What an ask costs the directory.
    pub ask: Duration,
    /// Endpoints of partners.
    pub endpoints: usize,
    /// Messages that are handed in a second, all senders together.
    pub rate: f64,
    /// The directory is not there from the start on for so long.
    pub down: Duration,
    /// How long a fleet may take to be told before it is given up.
    pub patience: Duration,
    /// Of ten processes so many end once all are told, and come back.
    pub of_ten: usize,
    /// They do so in so many batches, one after another.
    pub batches: usize,
    /// How they end.
    pub ends: Ends,
    /// Those that ended end once more while they take up what they held.
    pub twice: bool,
    /// One of those that come back stands still for so long from its start on, as a machine that is
    /// stopped.
    pub stopped: Duration,
    /// Messages go on for so long before anything ends.
    pub calm: Duration,
    /// Messages go on for so long once all are told, also into the kill.
    pub after: Duration,
}

/// How a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Ends {
    /// By SIGKILL.
    Killed,
    /// By SIGTERM.
    Told,
    /// Every second one by each.
    Both,
}

/// How a fleet came to be told.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Round {
    /// Senders that began.
    pub began: usize,
    /// Those that were told.
    pub told: usize,
    /// When half, and the last, were told after the beginning, in seconds.
    pub half_s: f64,
    /// See above.
    pub last_s: f64,
    /// All asks one after another, in seconds.
    pub ideal_s: f64,
    /// Asks.
    pub asks: u32,
    /// Those that failed.
    pub failed: u32,
    /// Connections that were opened to partners.
    pub connections: u32,
    /// Most that were open at once.
    pub most_open: u32,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    /// All start.
    pub start: Round,
    /// Connections to partners that the fleet holds when it has long been told, nothing happening.
    pub calm_open: u32,
    /// Those that ended start again, batch by batch.
    pub back: Vec<Round>,
    /// Messages that were taken on.
    pub taken_on: usize,
    /// Those of them that were delivered.
    pub delivered: usize,
    /// Most connections that were open at one partner.
    pub most_open: u32,
    /// Processes that ended by themselves, or badly when told to.
    pub crashed: usize,
    /// What the rules say.
    #[serde(flatten)]
    pub verdict: Verdict,
}

/// Why it could not be played.
#[derive(Debug, thiserror::Error)]
pub enum NotPlayed {
    /// Sockets.
    #[error("stand-ins: {0}")]
    Io(#[from] io::Error),
    /// The program.
    #[error("{0}")]
    Sender(#[from] NoSender),
}

/// A fleet that is played.
struct Fleet<'a> {
    plan: &'a Plan,
    record: Arc<Record>,
    senders: Vec<Sender>,
    handed: usize,
    random: fastrand::Rng,
    ended_badly: usize,
}

impl Fleet<'_> {
    /// Hands messages in for a while, as many a second as planned, or until `done`.
    fn serve(&mut self, most: Duration, done: impl Fn(&Record) -> bool) {
        let (begun, first) = (Instant::now(), self.handed);
        while begun.elapsed() < most && !done(&self.record) {
            let due = first + (begun.elapsed().as_secs_f64() * self.plan.rate) as usize;
            if self.handed >= due {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            let sender = &self.senders[self.random.usize(..self.senders.len())];
            sender.hand_in(
                &format!("m{}", self.handed),
                self.random.usize(..DESTS),
                LEFT,
                &self.record,
            );
            self.handed += 1;
        }
    }

    /// Starts these at once.
    fn begin(&mut self, which: &[usize]) -> Result<(), NoSender> {
        which.iter().try_for_each(|n| self.senders[*n].spawn())?;
        which.iter().try_for_each(|n| self.senders[*n].listens())
    }

    /// Ends these, and lets the time pass after which the platform starts them again.
    fn end(&mut self, which: &[usize]) {
        let ends = self.plan.ends;
        let told = |n: &&usize| ends == Ends::Told || ends == Ends::Both && **n % 2 == 0;
        which
            .iter()
            .filter(told)
            .for_each(|n| self.senders[*n].tell_to_end());
        which
            .iter()
            .filter(|n| !told(n))
            .for_each(|n| self.senders[*n].kill());
        for n in which.iter().filter(told) {
            self.ended_badly += usize::from(!self.senders[*n].ended_well());
        }
        thread::sleep(AGAIN);
    }

    /// Starts these, serves until all are told, and tells how it went.
    fn round(&mut self, which: &[usize], directory: &Directory) -> Result<Round, NotPlayed> {
        let (asks, failed, connections, told) = {
            let mut seen = self.record.seen();
            seen.peak = seen.open;
            (seen.asks, seen.failed, seen.connections, seen.told.len())
        };
        let mut begun = Instant::now();
        self.begin(which)?;
        if told > 0 && !self.plan.stopped.is_zero() {
            self.senders[which[0]].stopped(true);
            self.serve(self.plan.stopped, |_| false);
            self.senders[which[0]].stopped(false);
        }
        if !self.plan.down.is_zero() && told == 0 {
            self.serve(self.plan.down, |_| false);
            directory.down(false);
            begun = Instant::now();
        }
        self.serve(self.plan.patience, |r| {
            r.seen().told.len() >= told + which.len()
        });
        self.serve(self.plan.after, |_| false);
        let seen = self.record.seen();
        let mut times: Vec<f64> = seen.told[told..]
            .iter()
            .map(|t| (*t - begun).as_secs_f64())
            .collect();
        times.sort_by(f64::total_cmp);
        Ok(Round {
            began: which.len(),
            told: times.len().min(which.len()),
            half_s: times.get(which.len() / 2).copied().unwrap_or(f64::NAN),
            last_s: times.last().copied().unwrap_or(f64::NAN),
            ideal_s: which.len() as f64 * self.plan.ask.as_secs_f64(),
            asks: seen.asks - asks,
            failed: seen.failed - failed,
            connections: seen.connections - connections,
            most_open: seen.peak,
        })
    }
}

/// Plays it: a kept list of which a third names endpoints that are gone, all processes at once;
/// when all are told, most of them end and come back.
///
/// # Errors
/// Stand-ins or processes could not be started.
pub fn play(plan: &Plan) -> Result<Played, NotPlayed> {
    let stage = Stage::set(plan.endpoints, Duration::from_millis(50), plan.ask, |n| {
        n % 3 == 0
    })?;
    let Stage {
        record, directory, ..
    } = &stage;
    directory.down(!plan.down.is_zero());
    let Plan {
        program,
        seed,
        balancers,
        ..
    } = plan;
    let told = Told {
        program,
        seed: *seed,
        balancers: *balancers,
        rare: false,
    };
    let senders = (0..plan.senders).map(|n| stage.sender(&told, n, directory.address));
    let senders = senders.collect::<Result<Vec<_>, _>>()?;
    let random = fastrand::Rng::with_seed(plan.seed);
    let mut fleet = Fleet {
        plan,
        record: record.clone(),
        senders,
        handed: 0,
        random,
        ended_badly: 0,
    };
    let all: Vec<usize> = (0..plan.senders).collect();
    let start = fleet.round(&all, directory)?;

    fleet.serve(plan.calm, |_| false);
    let calm_open = record.seen().open;
    let ending: Vec<usize> = all
        .iter()
        .copied()
        .filter(|n| n % 10 < plan.of_ten)
        .collect();
    let mut back = Vec::new();
    for batch in ending.chunks(ending.len().div_ceil(plan.batches.max(1)).max(1)) {
        fleet.end(batch);
        if plan.twice {
            fleet.begin(batch)?;
            fleet.end(batch);
        }
        back.push(fleet.round(batch, directory)?);
    }
    record.settle(LEFT + Duration::from_secs(2));
    let dead: usize = fleet
        .senders
        .iter_mut()
        .map(|s| usize::from(!s.lives()))
        .sum();
    let crashed = dead + fleet.ended_badly;
    drop(fleet);
    let ((taken_on, delivered), most_open) = (record.ends(), record.seen().most_open);
    Ok(Played {
        start,
        calm_open,
        back,
        taken_on,
        delivered,
        most_open,
        crashed,
        verdict: record.verdict(),
    })
}

/// What [`play`] is played with where nothing else is asked for: the directory that the operators
/// describe.
pub fn plan(program: &Path, senders: usize, seed: u64) -> Plan {
    Plan {
        program: program.to_path_buf(),
        senders,
        seed,
        balancers: senders,
        ask: Duration::from_millis(55),
        endpoints: 30,
        rate: 0.5 * senders as f64,
        down: Duration::ZERO,
        patience: Duration::from_secs(180),
        of_ten: 7,
        batches: 1,
        ends: Ends::Killed,
        twice: false,
        stopped: Duration::ZERO,
        calm: Duration::ZERO,
        after: Duration::from_secs(3),
    }
}
