//! Sites that agree on routing tables: two tables one after another, one that a sender refuses, and
//! one that a person ends.

use crate::cold_start::NotPlayed;
use crate::limits::Terms;
use crate::policy::{Ordered, Policies};
use crate::record::{Seen, Verdict};
use crate::relay::Fault;
use crate::routing::Ends;
use crate::rules::{Switch, RARE_CLASS};
use crate::scenario::{
    play_seen, After, Deed, Fleet, Kept, Scenario, Site, Step, Wanted, Which, Who,
};
use crate::stage::DESTS;
use crate::tables::{Given, TableOrder, Tables};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Names of sites, as many as can be played.
const NAMES: [&str; 6] = ["north", "south", "west", "east", "middle", "islands"];
/// What two sets of zones are called: a table sends to one zone of each site.
const SETS: [&str; 2] = ["a", "b"];
/// Part of the messages of a class that one sender does not know.
const RARE_PART: f64 = 0.05;
/// A person gives an order again for so long, in seconds: a proposal waits for all sites.
const PATIENT_S: u64 = 60;
/// A fault lasts so long at the most, in seconds.
const LASTS_S: f64 = 4.0;
/// Clients are looked at for so long after the last site went over.
const AFTER: Duration = Duration::from_secs(1);

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Processes of senders, over all sites.
    pub senders: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// Sites: 2 to 6, of 3 keepers each.
    pub sites: usize,
    /// What a word from one site to another needs, in milliseconds.
    pub delay_ms: u64,
    /// Keepers, senders and lines between sites fail meanwhile.
    pub faults: bool,
    /// Messages a second, all senders together.
    pub rate: f64,
    /// Until the first proposal, in seconds.
    pub calm_s: f64,
}

/// What [`play`] is played with where nothing else is asked for.
pub fn plan(program: &Path, senders: usize, seed: u64) -> Plan {
    let rate = (1.5 * senders as f64).max(120.0);
    let calm_s = 8.0 + 0.06 * senders as f64;
    Plan {
        program: program.into(),
        senders,
        seed,
        sites: 3,
        delay_ms: 30,
        faults: false,
        rate,
        calm_s,
    }
}

/// Most sites of a plan.
pub const MOST_SITES: usize = NAMES.len();

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Played {
    /// Sites.
    pub sites: usize,
    /// A word to another site and its answer need so long, in milliseconds.
    pub round_trip_ms: u64,
    /// From the order of a table until it was decided, the longest, in milliseconds.
    pub decided_ms: Option<u64>,
    /// The same in round trips.
    pub decided_round_trips: Option<f64>,
    /// From the order until all senders of all sites went by it, the longest, in milliseconds.
    pub switched_ms: Option<u64>,
    /// The same in round trips.
    pub switched_round_trips: Option<f64>,
    /// Longest wait of a client whose message was taken on from the order until a second after the
    /// last site went over, in milliseconds.
    pub gap_ms: u64,
    /// Clients that were turned away or heard nothing in time then.
    pub refused_around: usize,
    /// Each table that was decided.
    pub tables: Vec<Agreed>,
    /// Messages that were taken on.
    pub taken_on: usize,
    /// Those of them that were delivered.
    pub delivered: usize,
    /// Times that a keeper said that it leads its site.
    pub led: usize,
    /// Processes that ended by themselves.
    pub crashed: usize,
    /// What the rules say.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// What did not come about.
    pub missed: Vec<String>,
    /// Each site that went over, as clients saw it.
    pub switches: Vec<Switch>,
    /// What was ordered.
    pub ordered: Vec<Ordered>,
    /// The first breaches.
    pub breaches: Vec<String>,
}

/// A table that was decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Agreed {
    /// Its name.
    pub name: String,
    /// Its number.
    pub number: u64,
    /// From the order until it was decided, in milliseconds.
    pub decided_ms: u64,
    /// From the order until all sites went by it.
    pub switched_ms: Option<u64>,
    /// From the order until a second after that.
    #[serde(skip)]
    around: Option<(Instant, Instant)>,
}

fn step(after: Option<After>, at_s: f64, deed: Deed) -> Step {
    Step {
        after,
        ..Step::at(at_s, deed)
    }
}

/// Keepers say something, so often.
fn said(says: &str, times: usize) -> Option<After> {
    Some(After {
        who: "keepers".into(),
        says: says.into(),
        since_s: 0.0,
        times,
    })
}

/// A person orders something at the site that leads.
fn order(order: TableOrder) -> Deed {
    let by = Which::At("lead".into(), Box::new(Which::Leader));
    Deed::Table {
        order,
        by,
        patient_s: PATIENT_S,
    }
}

fn propose(name: &str) -> Deed {
    order(TableOrder::Propose(name.into()))
}

/// Steps of a proposal's life at which faults come.
const STEPS: [&str; 6] = [
    "table N: proposed by",
    "table N: offered",
    "table N: accepted here",
    "table N: decided",
    "table N: paused by turn",
    "table N: in force by turn",
];

impl Plan {
    fn site_names(&self) -> &'static [&'static str] {
        &NAMES[..self.sites.clamp(2, NAMES.len())]
    }

    fn tables(&self) -> Tables {
        let zones = |set: usize| {
            (1..=self.sites)
                .map(|n| format!("{}{n}", SETS[set]))
                .collect::<Vec<_>>()
        };
        let given = |name: &str, set: usize, ends: Ends| Given {
            name: name.into(),
            zones: zones(set),
            ends,
            ..Given::default()
        };
        let text = format!(
            "[[route]]\nclasses = [\"{RARE_CLASS}\"]\ntiers = [{{ {} = 1 }}]\n",
            zones(1)[0]
        );
        let refused = Given {
            text,
            ..given("refused", 1, Ends::Nowhere)
        };
        let all = vec![
            given("t1", 0, Ends::Decided),
            refused,
            given("t2", 1, Ends::Decided),
            given("ended", 0, Ends::Nowhere),
        ];
        let until = said("table 4: ended", 1).into_iter().collect();
        Tables {
            given: all,
            until,
            rest_s: if self.faults { LASTS_S + 1.0 } else { 2.0 },
        }
    }

    /// Its schedule.
    pub fn scenario(&self) -> Scenario {
        let names = self.site_names();
        let site = |(n, name): (usize, &&str)| {
            let zones = SETS.map(|set| format!("{set}{}", n + 1));
            Site::of(name, &zones.each_ref().map(String::as_str), 3)
        };
        let sites: Vec<Site> = names.iter().enumerate().map(site).collect();
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut steps = vec![
            Step::at(0.0, Deed::KeeperStart(Which::All)),
            Step::at(0.0, Deed::Start),
        ];
        steps.push(Step::at(self.calm_s, propose("t1")));
        steps.push(step(
            said("table 1: all senders go by it", 1),
            0.5,
            propose("refused"),
        ));
        steps.push(step(said("table 2: ended", 1), 0.5, propose("t2")));
        // One site hears nothing of the last proposal until that is over, and so cannot have
        // accepted it.
        let all_go = || said("table 3: all senders go by it", names.len());
        let cut = |cut| {
            let fault = Fault {
                cut,
                ..Fault::default()
            };
            Deed::SiteLines {
                from: "led".into(),
                to: "all".into(),
                both: true,
                fault,
            }
        };
        let (all, whole) = ("all".to_string(), Fault::default());
        let heal = Deed::SiteLines {
            from: all.clone(),
            to: all,
            both: true,
            fault: whole,
        };
        if names.len() > 2 {
            steps.push(step(all_go(), 1.0, cut(true)));
            steps.push(step(said("table 4: ended", 1), 0.0, heal));
        } else {
            let last = Who::Names(vec![format!("n{}", self.senders - 1)]);
            steps.push(Step {
                who: last.clone(),
                ..step(all_go(), 1.0, Deed::Stop)
            });
            steps.push(Step {
                who: last,
                ..step(said("table 4: ended", 1), 0.0, Deed::GoOn)
            });
        }
        steps.push(step(all_go(), 1.2, propose("ended")));
        steps.push(step(
            said("table 4: offered", 1),
            0.0,
            order(TableOrder::Abort),
        ));
        for number in [1, 3] {
            if self.faults {
                self.draw_faults(&mut random, number, &mut steps);
            }
        }
        Scenario {
            senders: self.senders,
            balancers: None,
            endpoints: DESTS * SETS.len() * names.len(),
            zones: sites.iter().flat_map(|s| s.zones.clone()).collect(),
            sites,
            site_delay_ms: self.delay_ms,
            tables: self.tables(),
            limits: Terms::default(),
            endpoint_lines: false,
            fleet: Some(Fleet {
                table: Some(toml::Table::new()),
                ..Fleet::default()
            }),
            ask_ms: 55,
            call_ms: 50,
            rate: self.rate,
            lasts_s: self.calm_s + if self.faults { 180.0 } else { 90.0 },
            until_well: false,
            kept: Kept::True,
            wanted: Wanted::default(),
            policies: Policies {
                rare: RARE_PART,
                without_rare: vec![format!("n{}", self.senders - 1)],
                ..Policies::default()
            },
            steps,
        }
    }

    /// Keepers, senders and lines between sites fail for a while, at steps of a proposal that are
    /// drawn.
    fn draw_faults(&self, random: &mut fastrand::Rng, number: u64, steps: &mut Vec<Step>) {
        for _ in 0..4 {
            let words = STEPS[random.usize(..STEPS.len())].replace('N', &number.to_string());
            let after = said(&words, 1 + random.usize(..self.sites));
            let (at, lasts) = (0.3 * random.f64(), 0.5 + (LASTS_S - 0.5) * random.f64());
            let some = format!("n{}", random.usize(..self.senders));
            let keeper = |site: &str, which| Which::At(site.into(), Box::new(which));
            let site = ["lead", "led", "speaker"][random.usize(..3)];
            let all = || "all".to_string();
            let deed = match random.usize(..6) {
                0 => Deed::KeeperKill(keeper(site, Which::Leader)),
                1 => Deed::KeeperStop(keeper(site, Which::Leader)),
                2 => Deed::KeeperKill(keeper(site, Which::All)),
                3 => Deed::Kill,
                4 => Deed::Stop,
                _ => {
                    let fault = Fault {
                        cut: true,
                        ..Fault::default()
                    };
                    Deed::SiteLines {
                        from: site.into(),
                        to: all(),
                        both: random.bool(),
                        fault,
                    }
                }
            };
            let who = Who::Names(vec![some]);
            steps.push(Step {
                for_s: Some(lasts),
                may_fail: true,
                who,
                ..step(after, at, deed)
            });
        }
    }
}

/// What keepers said of each table by its number: when it was proposed and decided, and when each
/// site went over.
fn told(said: &[(Instant, String)]) -> BTreeMap<u64, (Option<Instant>, BTreeMap<&str, Instant>)> {
    let mut told = BTreeMap::<u64, (Option<Instant>, BTreeMap<&str, Instant>)>::new();
    for (at, line) in said {
        let Some((number, what)) = line
            .split_once("table ")
            .and_then(|(_, rest)| rest.split_once(": "))
        else {
            continue;
        };
        let Ok(number) = number.parse() else { continue };
        let (decided, went) = told.entry(number).or_default();
        if what.starts_with("decided") {
            decided.get_or_insert(*at);
        } else if what.starts_with("all senders go by it") {
            let site = line.split_whitespace().next().unwrap_or_default();
            went.entry(site).or_insert(*at);
        }
    }
    told
}

/// The tables that were decided, with when they were ordered: the numbers of those that were taken
/// follow their orders.
fn agreed(seen: &Seen, ordered: &[Ordered], sites: usize) -> Vec<Agreed> {
    let proposed = ordered.iter().filter_map(|o| match &o.order {
        crate::policy::Order::Table(TableOrder::Propose(name)) if !o.was_refused() => {
            Some((name.clone(), o.given_at?))
        }
        _ => None,
    });
    let ms = |from: Instant, to: Instant| to.saturating_duration_since(from).as_millis() as u64;
    let (proposed, told) = (proposed.collect::<Vec<_>>(), told(&seen.said));
    let numbered = proposed.into_iter().zip(1..);
    let decided = numbered.filter_map(|((name, given), number)| {
        let (decided, went) = told.get(&number)?;
        let switched = went.values().max().filter(|_| went.len() >= sites).copied();
        Some(Agreed {
            name,
            number,
            decided_ms: ms(given, (*decided)?),
            switched_ms: switched.map(|at| ms(given, at)),
            around: switched.map(|at| (given, at + AFTER)),
        })
    });
    decided.collect()
}

/// Plays it.
///
/// # Errors
/// Stand-ins or processes could not be started.
pub fn play(plan: &Plan) -> Result<Played, NotPlayed> {
    let scenario = plan.scenario();
    let (mut outcome, record, led) = play_seen(&scenario, &plan.program, plan.seed)?;
    if plan.faults {
        // Who dies may say no more what it did: what waits for that never comes.
        outcome.missed.retain(|missed| missed != "steps");
    }
    let seen = record.seen();
    let tables = agreed(&seen, &outcome.ordered, scenario.sites.len());
    let around = |at: Option<Instant>| {
        let within = |(from, to): (Instant, Instant)| at.is_some_and(|at| at >= from && at <= to);
        tables.iter().filter_map(|t| t.around).any(within)
    };
    let met: Vec<_> = seen
        .lives
        .values()
        .filter(|l| around(l.handed_at))
        .collect();
    let waited = met.iter().filter(|l| l.taken_on);
    let waited =
        waited.filter_map(|l| Some(l.answered_at?.saturating_duration_since(l.handed_at?)));
    let trip = 2 * plan.delay_ms;
    let trips = |ms: Option<u64>| ms.filter(|_| trip > 0).map(|ms| ms as f64 / trip as f64);
    let decided_ms = tables.iter().map(|t| t.decided_ms).max();
    let switched_ms = tables.iter().filter_map(|t| t.switched_ms).max();
    if tables.iter().filter(|t| t.switched_ms.is_some()).count() < 2 {
        outcome.missed.push("two tables in use at all sites".into());
    }
    Ok(Played {
        sites: scenario.sites.len(),
        round_trip_ms: trip,
        decided_ms,
        decided_round_trips: trips(decided_ms),
        switched_ms,
        switched_round_trips: trips(switched_ms),
        gap_ms: waited.max().unwrap_or_default().as_millis() as u64,
        refused_around: met.iter().filter(|l| !l.taken_on).count(),
        tables,
        taken_on: outcome.taken_on,
        delivered: outcome.delivered,
        led: led.len(),
        crashed: outcome.crashed,
        verdict: outcome.verdict,
        missed: outcome.missed,
        switches: outcome.tables,
        ordered: outcome.ordered,
        breaches: outcome.breaches,
    })
}

impl Played {
    /// Whether nothing is broken, and all came about.
    pub fn is_good(&self) -> bool {
        self.verdict == Verdict::default() && self.crashed == 0 && self.missed.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_table_is_timed_from_its_order_to_the_last_site() {
        let begun = Instant::now();
        let at = |ms: u64| begun + Duration::from_millis(ms);
        let mut seen = Seen::default();
        for (ms, line) in [
            (
                120,
                "north [INFO] federation rig: table 1: proposed by north",
            ),
            (300, "south [INFO] federation rig: table 1: decided"),
            (310, "north [INFO] federation rig: table 1: decided"),
            (
                400,
                "north [INFO] keeper 1 of north: table 1: all senders go by it",
            ),
            (
                500,
                "south [INFO] keeper 2 of south: table 1: all senders go by it",
            ),
            (
                900,
                "south [INFO] keeper 1 of south: table 1: all senders go by it",
            ),
            (
                950,
                "south [INFO] federation rig: table 2: ended: refused by south: n3: x",
            ),
        ] {
            seen.said.push((at(ms), line.into()));
        }
        let order = |name: &str, ms, code| Ordered {
            order: crate::policy::Order::Table(TableOrder::Propose(name.into())),
            code,
            said: String::new(),
            took_s: 0.0,
            given_at: Some(at(ms)),
            over_at: None,
        };
        let ordered = [
            order("no", 50, Some(1)),
            order("t1", 100, Some(0)),
            order("refused", 900, Some(0)),
        ];
        let all = agreed(&seen, &ordered, 2);
        let [one] = all.as_slice() else {
            panic!("one: {all:?}")
        };
        assert_eq!(
            (one.name.as_str(), one.decided_ms, one.switched_ms),
            ("t1", 200, Some(400))
        );
        assert_eq!(
            agreed(&seen, &ordered, 3)[0].switched_ms,
            None,
            "one site is late"
        );
    }

    #[test]
    fn a_plan_can_be_played_with_any_number_of_sites_and_what_fails_is_undone() {
        for sites in [2, 3, 6] {
            let plan = Plan {
                sites,
                faults: true,
                ..plan(Path::new("none"), 12, 7)
            };
            let scenario = plan.scenario();
            assert_eq!((scenario.fault(), scenario.sites.len()), (None, sites));
            let drawn = scenario.steps.iter().filter(|s| s.may_fail);
            assert!(drawn.clone().count() == 8 && drawn.clone().all(|s| s.for_s.is_some()));
        }
    }
}
