//! One command line over the model, the load tool and the experiments.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use raildeal_simulator::day::Day;
use raildeal_simulator::done::Done;
use raildeal_simulator::journal;
use raildeal_simulator::load::clients::{load, Plan};
use raildeal_simulator::load::{partners, Front};
use raildeal_simulator::log::{line, Fact, See};
use raildeal_simulator::plan::{set, Cell, Experiment};
use raildeal_simulator::policies::Policy;
use raildeal_simulator::report;
use raildeal_simulator::run::{play, Played};
use raildeal_test_harness::calm;
use raildeal_test_harness::cold_start::{self, Ends};
use raildeal_test_harness::federated;
use raildeal_test_harness::policy;
use raildeal_test_harness::record::Verdict;
use raildeal_test_harness::scenario::{self, Scenario};
use raildeal_test_harness::{soak, steps, zone};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// A model of what raildeal balances, a tool for load, and experiments.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play days of the model, and check the rules on each.
    Run {
        /// The day's file.
        file: PathBuf,
        /// Seed of the first.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many, each with the next seed.
        #[arg(long, default_value_t = 1)]
        days: u64,
        /// Tell all figures, a line of JSON for each day.
        #[arg(long)]
        json: bool,
        /// Write all that happens to this file, a line of JSON each.
        #[arg(long)]
        log: Option<PathBuf>,
    },
    /// Play an experiment on all cores, and write its figures and a report.
    Sweep {
        /// The experiment's file.
        file: PathBuf,
        /// Where days.jsonl, cells.csv and report.html go.
        #[arg(long)]
        to: PathBuf,
        /// Go on with what is in that folder.
        #[arg(long)]
        resume: bool,
        /// Days at once; all cores if not told.
        #[arg(long)]
        cores: Option<usize>,
        /// Write the plots as PNG, too.
        #[arg(long)]
        png: bool,
    },
    /// Write the report of an experiment once more, from the days in its folder.
    Report {
        /// The folder.
        folder: PathBuf,
        /// Write the plots as PNG, too.
        #[arg(long)]
        png: bool,
    },
    /// Play a day over sockets against the real program, with stand-ins for partners and the
    /// directory.
    Load {
        /// The day's file.
        file: PathBuf,
        /// Its seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The program.
        #[arg(long, default_value = "target/release/raildeal")]
        program: PathBuf,
        /// What clients and partners speak.
        #[arg(long, value_enum, default_value = "http")]
        front: Front,
        /// MQTT connections to each sender.
        #[arg(long, default_value_t = 8)]
        connections: usize,
        /// Find the highest rate, as a multiple of the day's, at which hand-ins keep this p99 in
        /// milliseconds and 99 in 100 messages are taken on.
        #[arg(long)]
        find_p99_ms: Option<f64>,
    },
    /// Start many processes of the real program with faults between them, and check the rules by
    /// what the stand-ins saw. The last line is one JSON object.
    Fleet {
        /// `cold-start`: all start in the same moment, a third of their kept lists gone; seven in
        /// ten are killed and come back. `roll`: the same start; then all are restarted a share at
        /// a time, every second one killed. `drawn`: some of everything that can happen, by the
        /// seed. `calm`: a fixed sum of messages and no fault. `zone`: a zone dies under a fleet
        /// with keepers and comes back cold. `policy`: rules are rolled out zone by zone, then
        /// others, and those go back. `table`: several sites agree on a routing table and then on
        /// another one; one is refused, and one ended. `steps`: a zone dies, and people order, once
        /// for each step that senders and keepers log and each participant that is lost at it.
        /// `soak`: a few processes under all faults at once, clocks, files and system calls
        /// included, one play for each of `--runs` seeds from `--seed` on. Else a file with a
        /// schedule.
        scenario: String,
        /// Processes; what the file says, where one is played.
        #[arg(long)]
        senders: Option<usize>,
        /// For all that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The program; an older build plays beside a newer one.
        #[arg(long, default_value = "target/release/raildeal")]
        program: PathBuf,
        /// What an ask for the list costs the directory, in milliseconds.
        #[arg(long, default_value_t = 55)]
        ask_ms: u64,
        /// The directory is down from the start on for so many seconds.
        #[arg(long, default_value_t = 0)]
        down_s: u64,
        /// The share of all senders that `roll` ends at once.
        #[arg(long, default_value_t = 1.0)]
        together: f64,
        /// All is left alone for so many seconds before anything ends.
        #[arg(long, default_value_t = 0)]
        calm_s: u64,
        /// How those end that come back.
        #[arg(long, value_enum)]
        ends: Option<Ends>,
        /// `zone`: there are no keepers; the same senders, each alone.
        #[arg(long)]
        without_record: bool,
        /// `zone`: it does not die, the directory tells that it drains, and no keepers: what is
        /// lost for lack of the zone alone.
        #[arg(long)]
        drains: bool,
        /// `zone`: the keeper that leads is killed while the zone is left. `policy`: it is killed
        /// in each rollout.
        #[arg(long)]
        kill_leader: bool,
        /// `steps`: two things go wrong in each run, drawn by the seed.
        #[arg(long)]
        pairs: bool,
        /// `steps`: runs at once.
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        /// `steps`: runs at the most.
        #[arg(long, default_value_t = 500)]
        runs: usize,
        /// `steps`: no run begins later than so many seconds after the beginning.
        #[arg(long)]
        within_s: Option<u64>,
        /// `steps`: this run and no other, as a run that failed tells it.
        #[arg(long)]
        only: Option<steps::Run>,
        /// `policy`: the rules are worse than those before, for all, for a class with a twentieth
        /// of the traffic, or after a while.
        #[arg(long, value_enum)]
        worse: Option<policy::Worse>,
        /// `table`: sites, of three keepers each.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(2..=federated::MOST_SITES as i64))]
        sites: u16,
        /// `table`: what a word from one site to another needs, in milliseconds.
        #[arg(long, default_value_t = 30)]
        delay_ms: u64,
        /// `policy`: senders are killed, stopped and cut off from keepers meanwhile. `table`: also
        /// keepers, and sites from each other.
        #[arg(long)]
        faults: bool,
        /// `calm`: what endpoints take, beside what is listed.
        #[arg(long, value_enum, default_value = "any")]
        limits: calm::Limits,
        /// `calm`: a fifth of the senders get most of the messages, and so do two destinations.
        #[arg(long)]
        uneven: bool,
    },
    /// Play a zone that dies and comes back with the keepers' machines in virtual time. The last
    /// line is one JSON object.
    Zones {
        /// Senders.
        #[arg(long, default_value_t = 300)]
        senders: usize,
        /// Zones.
        #[arg(long, default_value_t = 3)]
        zones: usize,
        /// For all that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Roll policies out with the keepers' machines in virtual time: equal ones, and some that are
    /// worse. The last line is one JSON object.
    Policy {
        /// Senders.
        #[arg(long, default_value_t = 300)]
        senders: usize,
        /// Zones, two or more.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(2..=200))]
        zones: u16,
        /// For all that is drawn; the first of them.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Plays of an equal policy, each with the next seed.
        #[arg(long, default_value_t = 2)]
        equal: u64,
    },
    /// Agree on routing tables between sites with the keepers' machines in virtual time, lines of
    /// 30 ms: calm, with sites cut off, with leaders that die. The last line is one JSON object.
    Tables {
        /// Senders, of all sites together.
        #[arg(long, default_value_t = 300)]
        senders: usize,
        /// Sites.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(2..=50))]
        sites: u16,
        /// For all that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// List the runs of the standing test, from the records of the operators' benches.
    Journal {
        /// The folder of the records.
        folder: PathBuf,
        /// As CSV, not as a table in Markdown.
        #[arg(long)]
        csv: bool,
    },
    /// Stand in for a day's partners; `load` starts it.
    #[command(hide = true)]
    StandIn {
        file: PathBuf,
        #[arg(long)]
        seed: u64,
        #[arg(long, value_enum)]
        front: Front,
    },
}

/// The last line of a scenario.
#[derive(serde::Serialize)]
struct Last<'a, P> {
    scenario: &'a str,
    senders: usize,
    seed: u64,
    #[serde(flatten)]
    played: &'a P,
}

/// Writes what happens to a file.
struct Lines(BufWriter<File>, Option<std::io::Error>);

impl See for Lines {
    fn see(&mut self, now: raildeal::Nanos, fact: &Fact) {
        if self.1.is_none() {
            self.1 = writeln!(self.0, "{}", line(now, fact)).err();
        }
    }
}

fn tell(played: &Played) {
    let sum = &played.sum;
    println!(
        "{} seed {}: score {:.3} (service {:.3}, worst {:.3}), {} messages, {:.2} calls each, ages p50 {:.2} s p99 {:.2} s; \
         {} events in {:.2?}, {:.0} times as fast as the day",
        played.day,
        played.seed,
        sum.score,
        sum.service,
        sum.worst,
        sum.messages,
        sum.calls_each,
        sum.ages[0],
        sum.ages[2],
        played.events,
        played.took,
        played.speed
    );
    let counts: Vec<String> = sum
        .counts
        .iter()
        .map(|(what, n)| format!("{what} {n}"))
        .collect();
    println!("  {}", counts.join(", "));
    for (rule, n) in &played.broken {
        println!("  BROKEN {n} times: {rule}");
    }
    played.told.iter().for_each(|t| println!("  {t}"));
}

fn days(
    file: &Path,
    seeds: std::ops::Range<u64>,
    json: bool,
    log: Option<&Path>,
) -> Result<bool, String> {
    let day = Day::read(file).map_err(|e| e.to_string())?;
    let mut lines = match log {
        Some(path) => {
            let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
            Some(Lines(BufWriter::new(file), None))
        }
        None => None,
    };
    let mut kept = true;
    for seed in seeds {
        let more = lines.as_mut().map(|l| l as &mut dyn See);
        let played = play(&day, seed, None, more).map_err(|e| e.to_string())?;
        kept &= played.broken.is_empty();
        if json {
            println!("{}", serde_json::to_string(&played).expect("figures"));
        } else {
            tell(&played);
        }
    }
    if let Some(mut lines) = lines {
        let flushed = lines.0.flush().err();
        if let Some(e) = lines.1.or(flushed) {
            return Err(format!("log: {e}"));
        }
    }
    Ok(kept)
}

fn sweep(
    file: &Path,
    to: &Path,
    cores: Option<usize>,
    png: bool,
    resume: bool,
) -> Result<bool, String> {
    let (plan, base) = Experiment::read(file).map_err(|e| e.to_string())?;
    let cells: u64 = plan.factors.iter().map(|f| f.values.len() as u64).product();
    let done = Done::open(to, &plan, &base, resume).map_err(|e| e.to_string())?;
    let bar = ProgressBar::new(cells * plan.seeds);
    bar.set_style(
        ProgressStyle::with_template("{bar:40} {pos}/{len} days, {eta} left").expect("a template"),
    );
    bar.inc(done.count() as u64);
    bar.reset_eta();
    let all = std::thread::available_parallelism().map_or(1, usize::from);
    let cells = plan
        .run(&base, cores.unwrap_or(all), done, &|| bar.inc(1))
        .map_err(|e| e.to_string())?;
    bar.finish_and_clear();
    write_report(to, &plan, &cells, png)
}

/// Writes a report, and tells its scores; false if a rule was broken where the module decides.
fn write_report(to: &Path, plan: &Experiment, cells: &[Cell], png: bool) -> Result<bool, String> {
    report::write(to, plan, cells, png).map_err(|e| format!("{}: {e}", to.display()))?;
    for (n, cell) in cells.iter().enumerate() {
        let score = |p: &Played| p.sum.score;
        let against = report::against(cells, n, score)
            .map_or(String::new(), |d| format!(", {d} to the first"));
        println!(
            "{}: score {}{against}",
            cell.values.join(", "),
            cell.mean(score)
        );
    }
    let own = |p: &&Played| p.policy == Policy::Module;
    Ok(cells
        .iter()
        .flat_map(|c| &c.played)
        .filter(own)
        .all(|p| p.broken.is_empty()))
}

/// Tells the runs in a folder of records; false if there are none.
fn journal(folder: &Path, csv: bool) -> Result<bool, String> {
    let journal = match journal::read(folder) {
        Ok(journal) => journal,
        Err(e) => {
            eprintln!("raildeal-simulator: {e}");
            return Ok(false);
        }
    };
    for (why, files) in &journal.skipped {
        eprintln!("skipped, {why}: {}", files.join(" "));
    }
    let table = if csv {
        journal.csv().map_err(|e| e.to_string())?
    } else {
        journal.markdown()
    };
    print!("{table}");
    Ok(true)
}

/// Processes where what happens is drawn, if nothing is said.
const DRAWN: usize = 12;
/// Processes in each run of `steps`.
const STEP_SENDERS: usize = 6;
/// Processes, where nothing is said.
const SENDERS: usize = 30;

fn fleet(scenario: &str, plan: &cold_start::Plan) -> Result<bool, String> {
    let played = cold_start::play(plan).map_err(|e| e.to_string())?;
    last(scenario, plan.senders, plan.seed, &played);
    Ok(played.verdict == Verdict::default() && played.crashed == 0)
}

fn zones(plan: &zone::Plan) -> Result<bool, String> {
    let played = zone::play(plan).map_err(|e| e.to_string())?;
    last("zone", plan.senders, plan.seed, &played);
    Ok(played.verdict == Verdict::default())
}

/// Plays `steps`; a run that fails is told at once, with how to play it again.
fn each_step(plan: &steps::Plan) -> Result<bool, String> {
    let tell = |ran: &steps::Ran| {
        if !ran.is_good() || plan.only.is_some() {
            eprintln!("{}\n  {}", steps::again(plan, ran), ran.told);
        }
    };
    let sum = steps::play(plan, &tell).map_err(|e| e.to_string())?;
    last("steps", plan.senders, plan.seed, &sum);
    Ok(sum.is_good())
}

/// Plays `soak` for so many seeds, some at once; each outcome is told as it comes.
fn soaks(program: &Path, first_seed: u64, runs: usize, jobs: usize) -> Result<bool, String> {
    let next = AtomicUsize::new(0);
    let good = AtomicUsize::new(0);
    let play_some = || -> Result<(), String> {
        loop {
            let run = next.fetch_add(1, Ordering::SeqCst);
            if run >= runs {
                return Ok(());
            }
            let plan = soak::plan(program, first_seed + run as u64);
            let outcome = soak::play(&plan).map_err(|e| e.to_string())?;
            last("soak", plan.senders, plan.seed, &outcome);
            good.fetch_add(usize::from(outcome.is_good()), Ordering::SeqCst);
        }
    };
    thread::scope(|scope| {
        let players: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(play_some)).collect();
        players
            .into_iter()
            .try_for_each(|player| player.join().map_err(|_| "a player panicked".to_string())?)
    })?;
    let good = good.load(Ordering::SeqCst);
    eprintln!("soak: {good} of {runs} seeds without a broken rule");
    Ok(good == runs)
}

fn policies(plan: &policy::Plan) -> Result<bool, String> {
    let played = policy::play(plan).map_err(|e| e.to_string())?;
    last("policy", plan.senders, plan.seed, &played);
    Ok(played.is_good())
}

fn tables(plan: &federated::Plan) -> Result<bool, String> {
    let played = federated::play(plan).map_err(|e| e.to_string())?;
    last("table", plan.senders, plan.seed, &played);
    Ok(played.is_good())
}

fn calms(plan: &calm::Plan) -> Result<bool, String> {
    let played = calm::play(plan).map_err(|e| e.to_string())?;
    last("calm", plan.senders, plan.seed, &played);
    Ok(played.is_good())
}

fn schedule(file: &str, senders: Option<usize>, seed: u64, program: &Path) -> Result<bool, String> {
    let scenario = match file {
        "drawn" => Scenario::drawn(senders.unwrap_or(DRAWN), seed),
        file => {
            let read = Scenario::read(Path::new(file)).map_err(|e| e.to_string())?;
            Scenario {
                senders: senders.unwrap_or(read.senders),
                ..read
            }
        }
    };
    let played = scenario::play(&scenario, program, seed).map_err(|e| e.to_string())?;
    last(file, scenario.senders, seed, &played);
    Ok(played.is_good())
}

fn last<P: serde::Serialize>(scenario: &str, senders: usize, seed: u64, played: &P) {
    println!(
        "{}",
        serde_json::to_string(&Last {
            scenario,
            senders,
            seed,
            played
        })
        .expect("figures")
    );
}

/// Steps of a search between a rate that is kept and one that is not.
const STEPS: u32 = 5;

fn loads(mut plan: Plan, file: &Path, find: Option<f64>) -> Result<bool, String> {
    let Some(most) = find else {
        let loaded = load(&plan, file).map_err(|e| e.to_string())?;
        println!("{}", serde_json::to_string(&loaded).expect("figures"));
        let seen = &loaded.partners;
        return Ok(loaded.told_twice + seen.two_out == 0 && loaded.lost <= 0);
    };
    let full = plan.day.clients.full;
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let mut base: toml::Value = toml::from_str(&text).map_err(|e| e.to_string())?;
    let (mut kept, mut lost, mut times, mut steps) = (0.0, f64::INFINITY, 1.0, 0);
    while steps < STEPS {
        // The stand-in reads the same file.
        set(&mut base, "clients.full", &toml::Value::Float(full * times))?;
        let changed = folder.path().join("day.toml");
        std::fs::write(&changed, base.to_string()).map_err(|e| e.to_string())?;
        plan.day = Day::read(&changed).map_err(|e| e.to_string())?;
        let loaded = load(&plan, &changed).map_err(|e| e.to_string())?;
        let good = loaded.hand_in_ms[2] <= most && loaded.taken_on * 100 >= loaded.messages * 99;
        eprintln!(
            "{:.0} a second: p99 {:.2} ms, {} of {} taken on, tool late by {:.2} ms at p99: {}",
            loaded.rate,
            loaded.hand_in_ms[2],
            loaded.taken_on,
            loaded.messages,
            loaded.behind_ms[2],
            if good { "kept" } else { "not kept" }
        );
        println!("{}", serde_json::to_string(&loaded).expect("figures"));
        if good {
            kept = times;
        } else {
            lost = times;
        }
        times = if lost.is_infinite() {
            times * 2.0
        } else {
            (kept + lost) / 2.0
        };
        steps += u32::from(lost.is_finite());
    }
    println!("{{\"highest\":{kept},\"p99_ms\":{most}}}");
    Ok(kept > 0.0)
}

fn main() -> ExitCode {
    // RUST_LOG=debug tells what the modules of a day's senders say.
    env_logger::init();
    let done = match Cli::parse().command {
        Command::Run {
            file,
            seed,
            days: count,
            json,
            log,
        } => days(&file, seed..seed + count, json, log.as_deref()),
        Command::Load {
            file,
            seed,
            program,
            front,
            connections,
            find_p99_ms,
        } => {
            let day = Day::read(&file).map_err(|e| e.to_string());
            day.and_then(|day| {
                loads(
                    Plan {
                        program,
                        front,
                        day,
                        seed,
                        connections,
                    },
                    &file,
                    find_p99_ms,
                )
            })
        }
        Command::StandIn { file, seed, front } => {
            let day = Day::read(&file).map_err(|e| e.to_string());
            day.and_then(|day| {
                partners::serve(&day, seed, front)
                    .map(|()| true)
                    .map_err(|e| e.to_string())
            })
        }
        Command::Fleet {
            scenario,
            senders,
            seed,
            program,
            ask_ms,
            down_s,
            together,
            calm_s,
            ends,
            without_record,
            drains,
            kill_leader,
            pairs,
            jobs,
            runs,
            within_s,
            only,
            worse,
            sites,
            delay_ms,
            faults,
            limits,
            uneven,
        } => {
            let (of_ten, batches, usual) = match scenario.as_str() {
                "cold-start" => (7, 1, Ends::Killed),
                "roll" => (
                    10,
                    (1.0 / together.clamp(0.01, 1.0)).round() as usize,
                    Ends::Both,
                ),
                "zone" => {
                    let plan = zone::plan(&program, senders.unwrap_or(SENDERS), seed);
                    let record = !without_record && !drains;
                    return exit(zones(&zone::Plan {
                        record,
                        drains,
                        kill_leader,
                        ..plan
                    }));
                }
                "steps" => {
                    let (senders, within) = (
                        senders.unwrap_or(STEP_SENDERS),
                        within_s.map(Duration::from_secs),
                    );
                    let plan = steps::Plan {
                        program,
                        senders,
                        seed,
                        runs,
                        jobs,
                        pairs,
                        only,
                        within,
                    };
                    return exit(each_step(&plan));
                }
                "soak" => return exit(soaks(&program, seed, runs, jobs)),
                "policy" => {
                    let plan = policy::plan(&program, senders.unwrap_or(SENDERS), seed);
                    return exit(policies(&policy::Plan {
                        worse,
                        kill_leader,
                        faults,
                        ..plan
                    }));
                }
                "table" => {
                    // Each site has a sender.
                    let senders = senders.unwrap_or(SENDERS).max(2 * usize::from(sites));
                    let plan = federated::plan(&program, senders, seed);
                    return exit(tables(&federated::Plan {
                        sites: sites.into(),
                        delay_ms,
                        faults,
                        ..plan
                    }));
                }
                "calm" => {
                    let plan = calm::plan(&program, senders.unwrap_or(SENDERS), seed);
                    return exit(calms(&calm::Plan {
                        limits,
                        uneven,
                        ..plan
                    }));
                }
                file => return exit(schedule(file, senders, seed, &program)),
            };
            let senders = senders.unwrap_or(SENDERS);
            let plan = cold_start::Plan {
                of_ten,
                batches,
                ends: ends.unwrap_or(usual),
                ask: Duration::from_millis(ask_ms),
                calm: Duration::from_secs(calm_s),
                down: Duration::from_secs(down_s),
                ..cold_start::plan(&program, senders, seed)
            };
            fleet(&scenario, &plan)
        }
        Command::Zones {
            senders,
            zones,
            seed,
        } => {
            let played = raildeal_simulator::zones::outage(senders, zones, seed);
            last("zones", senders, seed, &played);
            Ok(played.broken == 0)
        }
        Command::Policy {
            senders,
            zones,
            seed,
            equal,
        } => {
            let played =
                raildeal_simulator::policy::figures(senders.max(2), zones.into(), seed, equal);
            last("policy", senders, seed, &played);
            Ok(played.broken == 0)
        }
        Command::Tables {
            senders,
            sites,
            seed,
        } => {
            let sites = usize::from(sites);
            let played = raildeal_simulator::tables::figures(senders.max(sites), sites, seed);
            last("tables", senders.max(sites), seed, &played);
            Ok(played.broken == 0)
        }
        Command::Journal { folder, csv } => journal(&folder, csv),
        Command::Sweep {
            file,
            to,
            resume,
            cores,
            png,
        } => sweep(&file, &to, cores, png, resume),
        Command::Report { folder, png } => {
            let read = Done::cells(&folder).map_err(|e| e.to_string());
            read.and_then(|(plan, cells)| write_report(&folder, &plan, &cells, png))
        }
    };
    exit(done)
}

fn exit(done: Result<bool, String>) -> ExitCode {
    match done {
        Ok(true) => ExitCode::SUCCESS,
        // A broken rule is a failure of what was played, and not of the tool.
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("raildeal-simulator: {e}");
            ExitCode::from(2)
        }
    }
}
