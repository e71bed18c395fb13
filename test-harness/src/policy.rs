//! Policies that are rolled out over a fleet: what a play gives, who orders it, and what comes of a
//! whole rollout, the next one, and one that goes back.

use crate::cold_start::NotPlayed;
use crate::keepers::Keepers;
use crate::limits::Terms;
use crate::record::Verdict;
use crate::rules::{script, Rules, Switch, OWN};
use crate::scenario::{play_seen, After, Deed, Fleet, Kept, Scenario, Step, Wanted, Which, Who};
use crate::stage::DESTS;
use crate::tables::{TableOrder, Tables};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Between two attempts of an order.
const AGAIN: Duration = Duration::from_millis(200);

/// What a play has of policies.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Part of the messages that are of a second class; there is none where this is 0.
    pub rare: f64,
    /// Senders that do not know that class.
    pub without_rare: Vec<String>,
    /// Senders are told by an operator's file with a script, which stamps what is taken on under no
    /// policy.
    pub own_script: bool,
    /// Those that can be proposed.
    pub given: Vec<Given>,
    /// The play is over when this was said and `rest_s` have passed; it is missed if that never
    /// comes.
    pub until: Option<After>,
    /// See above.
    pub rest_s: f64,
}

/// A policy that can be proposed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Given {
    /// Its name, which its script stamps on messages.
    pub name: String,
    /// The zones of each stage.
    pub stages: Vec<Vec<String>>,
    /// What else stands in it.
    #[serde(default)]
    pub text: String,
    /// What its script does before it stamps.
    #[serde(default)]
    pub script: String,
    /// Endpoints fail its messages from so many seconds after the first one.
    pub fails_after_s: Option<f64>,
    /// Only those of the rare class.
    #[serde(default)]
    pub fails_rare: bool,
    /// It must never be seen in other zones than these.
    pub only: Option<Vec<String>>,
    /// Whether stages are judged by the keepers' usual bounds; else any share of bad ends is borne,
    /// and lapsed senders are.
    #[serde(default)]
    pub judged: bool,
    /// What the plan of its rollout says beside its stages.
    #[serde(default)]
    pub plan: toml::Table,
}

/// What a person orders.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// That a policy is rolled out.
    Propose(String),
    /// That the rollout halts.
    Halt,
    /// That it goes on.
    Resume,
    /// That it goes back.
    Back,
    /// Nothing: it is only asked.
    Status,
    /// Something of routing tables.
    #[serde(skip_deserializing)]
    Table(TableOrder),
}

/// An order and what came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Ordered {
    /// The order.
    pub order: Order,
    /// Its exit code; nothing while it runs, or if it was ended.
    pub code: Option<i32>,
    /// What it said.
    pub said: String,
    /// How long it took, in seconds.
    pub took_s: f64,
    /// When it was given.
    #[serde(skip)]
    pub given_at: Option<Instant>,
    /// When it was over.
    #[serde(skip)]
    pub over_at: Option<Instant>,
}

/// Those who give orders: each is a process of its own.
pub(crate) struct People {
    program: PathBuf,
    folder: TempDir,
    ordered: Arc<Mutex<Vec<Ordered>>>,
    running: Vec<JoinHandle<()>>,
}

fn locked(ordered: &Mutex<Vec<Ordered>>) -> MutexGuard<'_, Vec<Ordered>> {
    ordered.lock().unwrap_or_else(|e| e.into_inner())
}

impl People {
    pub fn new(program: &Path) -> io::Result<People> {
        let (program, folder) = (program.to_path_buf(), TempDir::new()?);
        Ok(People {
            program,
            folder,
            ordered: Arc::default(),
            running: Vec::new(),
        })
    }

    /// Gives an order, and waits for nothing. The keeper `first` is asked first.
    pub fn order(
        &mut self,
        given: &Policies,
        order: &Order,
        keepers: &Keepers,
        first: usize,
    ) -> io::Result<()> {
        let path = |what: &str| self.path(what);
        let mut words = vec!["policy".to_string()];
        let mut say = |word: &str| words.push(word.to_string());
        match order {
            Order::Propose(name) => {
                let policy = given.given.iter().find(|p| p.name == *name);
                let policy =
                    policy.ok_or_else(|| io::Error::other(format!("no policy '{name}'")))?;
                let (file, plan) = (path(name), path("plan"));
                std::fs::write(&file, policy.document())?;
                std::fs::write(&plan, policy.plan())?;
                say("propose");
                say(&file.display().to_string());
                say("--plan");
                say(&plan.display().to_string());
            }
            Order::Halt => say("halt"),
            Order::Resume => say("resume"),
            Order::Back => say("back"),
            Order::Status | Order::Table(_) => say("status"),
        }
        self.give(order.clone(), &words, &keepers.orders_file(first), None)
    }

    /// A file of the next order.
    pub fn path(&self, what: &str) -> PathBuf {
        self.folder
            .path()
            .join(format!("{}-{what}.toml", locked(&self.ordered).len()))
    }

    /// Gives an order by these words to whom this file names, and waits for nothing. Where it is
    /// `patient` it is given again for so long until it is taken.
    pub fn give(
        &mut self,
        order: Order,
        words: &[String],
        fleet: &str,
        patient: Option<Duration>,
    ) -> io::Result<()> {
        let number = locked(&self.ordered).len();
        let file = self.path("fleet");
        std::fs::write(&file, fleet)?;
        let (program, words) = (self.program.clone(), words.to_vec());
        let run = move || {
            let mut command = Command::new(&program);
            command
                .args(["fleet", "--json", "--file"])
                .arg(&file)
                .args(&words);
            command.stdin(Stdio::null()).output()
        };
        let (ordered, given_at) = (self.ordered.clone(), Some(Instant::now()));
        let one = Ordered {
            order,
            code: None,
            said: String::new(),
            took_s: 0.0,
            given_at,
            over_at: None,
        };
        locked(&ordered).push(one);
        self.running.push(thread::spawn(move || {
            let begun = Instant::now();
            // What was refused changed nothing; an attempt that was not answered may have been
            // taken.
            let (mut asked, mut unsure) = (begun, false);
            let output = loop {
                let output = run();
                let code = output.as_ref().ok().and_then(|o| o.status.code());
                if code == Some(0) || patient.is_none_or(|patient| begun.elapsed() >= patient) {
                    break output;
                }
                thread::sleep(AGAIN);
                unsure |= code != Some(1);
                if !unsure {
                    asked = Instant::now();
                }
            };
            let mut ordered = locked(&ordered);
            let one = &mut ordered[number];
            (one.took_s, one.over_at) = (begun.elapsed().as_secs_f64(), Some(Instant::now()));
            match output {
                Ok(output) => {
                    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
                    one.code = output.status.code().filter(|code| *code != 1 || !unsure);
                    one.said = [text(&output.stdout), text(&output.stderr)]
                        .join("\n")
                        .trim()
                        .to_string();
                }
                Err(e) => one.said = e.to_string(),
            }
            one.given_at = Some(asked);
        }));
        Ok(())
    }

    /// All orders and what came of them, once they are over.
    pub fn ordered(&mut self) -> Vec<Ordered> {
        self.running
            .drain(..)
            .for_each(|running| drop(running.join()));
        locked(&self.ordered).clone()
    }
}

impl Given {
    /// Its document.
    fn document(&self) -> String {
        let hook = toml::Value::from(script(&self.name, &self.script));
        // What stands at the top of a document goes before its tables.
        format!("hook = {hook}\n{}\n", self.text)
    }

    /// The plan of its rollout.
    fn plan(&self) -> String {
        let stage =
            |zones: &Vec<String>| toml::Table::from_iter([("zones".into(), zones.clone().into())]);
        let stages: Vec<toml::Value> = self
            .stages
            .iter()
            .map(|zones| stage(zones).into())
            .collect();
        let mut plan = self.plan.clone();
        plan.insert("stage".into(), stages.into());
        if !self.judged {
            let all = ["delivered", "late", "refused", "failed", "turned_away"];
            let all = toml::Table::from_iter(all.map(|share| (share.to_string(), 1.0.into())));
            let health = [
                ("all".to_string(), all.into()),
                ("lapsed".to_string(), 1.0.into()),
            ];
            plan.insert("health".into(), toml::Table::from_iter(health).into());
        }
        plan.to_string()
    }
}

impl Policies {
    /// The first value that cannot be used.
    pub(crate) fn fault(&self, zones: &[String]) -> Option<(&'static str, String)> {
        if !(0.0..1.0).contains(&self.rare) {
            return Some(("rare", "0 to 1".into()));
        }
        let all = self
            .given
            .iter()
            .flat_map(|g| g.stages.iter().flatten().chain(g.only.iter().flatten()));
        let other = all.clone().find(|zone| !zones.contains(zone));
        other.map(|zone| ("given", format!("there is no zone '{zone}'")))
    }

    /// What is known of it before the play.
    pub(crate) fn begin(&self, rules: &mut Rules, fleet: &Fleet) {
        if fleet.holds() {
            rules.lease(fleet.lease());
        }
        for given in &self.given {
            let after = given.fails_after_s.map(Duration::from_secs_f64);
            after
                .into_iter()
                .for_each(|after| rules.fail(&given.name, after, given.fails_rare));
            given
                .only
                .iter()
                .for_each(|zones| rules.only_in(&given.name, zones));
        }
    }

    /// What orders make of it: what may come into force, one after another, and what never may.
    pub(crate) fn end(rules: &mut Rules, ordered: &[Ordered]) {
        for one in ordered {
            match &one.order {
                Order::Propose(name) if one.was_refused() => rules.only_in(name, &[]),
                Order::Propose(name) => rules.may_follow(name),
                Order::Back if !one.was_refused() => {
                    let before = rules.last_two().1.unwrap_or(OWN).to_string();
                    rules.may_follow(&before);
                }
                _ => {}
            }
        }
    }
}

impl Ordered {
    /// Whether the keepers said no.
    pub fn was_refused(&self) -> bool {
        self.code == Some(1)
    }
}

/// The zones of a play of its own, and the stages: a first one that is small, then the others.
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// See above.
const STAGES: [&[&str]; 3] = [&["a"], &["b", "c"], &["d", "e"]];
/// A stage is judged by so many messages at the least.
const LEAST: i64 = 50;
/// A policy that is worse for some is so for this part of the messages.
const RARE_PART: f64 = 0.05;

/// How the first policy of a play is worse than what it follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Worse {
    /// It turns a fifth of all messages away.
    All,
    /// It turns all messages of a class away that has a twentieth of the traffic.
    Class,
    /// What it takes on fails from half a minute after it came into force on.
    Later,
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
    /// Whether the first policy is worse, and how. Else it goes through, the next one does, and
    /// that one goes back.
    pub worse: Option<Worse>,
    /// The keeper that leads is killed in each rollout, at a step that is drawn.
    pub kill_leader: bool,
    /// Senders are killed, stopped and cut off from keepers meanwhile.
    pub faults: bool,
    /// Messages a second, all senders together.
    pub rate: f64,
    /// Until the first proposal, in seconds.
    pub calm_s: f64,
    /// Each stage soaks for so long, in seconds; longer where the policy gets worse late.
    pub soak_s: u64,
}

/// What [`play`] is played with where nothing else is asked for.
pub fn plan(program: &Path, senders: usize, seed: u64) -> Plan {
    Plan {
        program: program.to_path_buf(),
        senders,
        seed,
        worse: None,
        kill_leader: false,
        faults: false,
        // Each zone needs enough of them in a soak to be judged by, and in the moment of a switch
        // to tell what a client waits.
        rate: (1.5 * senders as f64).max(150.0),
        // The directory tells one sender after another.
        calm_s: 6.0 + 0.06 * senders as f64,
        soak_s: 4,
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Played {
    /// How the first policy was worse.
    pub worse: Option<Worse>,
    /// Stages of which all zones went over, all rollouts together.
    pub stages: usize,
    /// Longest wait of a client of a stage for its answer around the switch, in milliseconds.
    pub gap_max_ms: u64,
    /// Median of the waits of those that came in between the last that was taken on before and the
    /// first after.
    pub gap_p50_ms: u64,
    /// How many of these there were.
    pub met: usize,
    /// Clients that were turned away or heard nothing in time around switches.
    pub refused_around: usize,
    /// Whether a rollout halted by itself.
    pub halted: bool,
    /// From when the first message was taken on under it, in seconds; from when it got worse, if
    /// that is later.
    pub halted_after_s: Option<f64>,
    /// Zones that a policy that halted came to.
    pub halted_in: Vec<String>,
    /// Times that a keeper said that it leads.
    pub led: usize,
    /// Messages that were taken on.
    pub taken_on: usize,
    /// Those of them that were delivered.
    pub delivered: usize,
    /// Processes that ended by themselves.
    pub crashed: usize,
    /// What the rules say.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// What did not come about.
    pub missed: Vec<String>,
    /// Each zone that went over.
    pub switches: Vec<Switch>,
    /// What was ordered.
    pub ordered: Vec<Ordered>,
    /// The first breaches.
    pub breaches: Vec<String>,
}

fn said(says: &str) -> Option<After> {
    Some(After {
        who: "keepers".into(),
        says: says.into(),
        since_s: 0.0,
        times: 1,
    })
}

/// A step that comes so long after something was said.
fn after(says: &str, at_s: f64, deed: Deed) -> Step {
    Step {
        after: said(says),
        ..Step::at(at_s, deed)
    }
}

impl Plan {
    fn given(&self) -> Vec<Given> {
        let stages: Vec<Vec<String>> = STAGES
            .iter()
            .map(|zones| zones.iter().map(|z| z.to_string()).collect())
            .collect();
        let told = [
            ("watch_s", 0),
            ("soak_s", self.soaks() as i64),
            ("least", LEAST),
        ];
        let plan = toml::Table::from_iter(told.map(|(name, n)| (name.to_string(), n.into())));
        let named = |name: &str| Given {
            name: name.into(),
            stages: stages.clone(),
            judged: true,
            plan: plan.clone(),
            ..Given::default()
        };
        let mut first = named("p1");
        match self.worse {
            None => return vec![first, named("p2")],
            Some(Worse::All) => {
                first.script = "if message.id.ends_with(\"0\") || message.id.ends_with(\"5\") { return #{ reject_ms: 500 }; }".into();
            }
            Some(Worse::Class) => {
                first.script =
                    "if message.class == \"rare\" { return #{ reject_ms: 500 }; }".into();
            }
            Some(Worse::Later) => first.fails_after_s = Some(LATER_S),
        }
        first.only = first.stages.first().cloned();
        vec![first]
    }

    fn soaks(&self) -> u64 {
        match self.worse {
            None => self.soak_s,
            Some(Worse::All | Worse::Class) => self.soak_s.max(SOAKS_S),
            Some(Worse::Later) => (LATER_S + HALTS_IN_S) as u64,
        }
    }

    /// Its schedule.
    pub fn scenario(&self) -> Scenario {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut steps = vec![
            Step::at(0.0, Deed::KeeperStart(Which::All)),
            Step::at(0.0, Deed::Start),
        ];
        let order = |order: Order| Deed::Policy {
            order,
            by: Which::All,
        };
        steps.push(Step::at(self.calm_s, order(Order::Propose("p1".into()))));
        let mut rollouts = 1;
        if self.worse.is_none() {
            steps.push(after(
                &ROLLED_OUT.replace('N', "1"),
                1.0,
                order(Order::Propose("p2".into())),
            ));
            steps.push(after(
                &ROLLED_OUT.replace('N', "2"),
                1.0,
                order(Order::Back),
            ));
            rollouts = 3;
        }
        for rollout in 1..=rollouts {
            let words = drawn(&mut random, rollout);
            if self.kill_leader {
                steps.push(after(&words, 0.0, Deed::KeeperKill(Which::Leader)));
                steps.push(after(&words, 4.0, Deed::KeeperStart(Which::Down)));
            }
            if self.faults {
                self.draw_faults(&mut random, rollout, &mut steps);
            }
        }
        let until = match self.worse {
            None => ROLLED_OUT.replace('N', "3"),
            Some(_) => HALTED.replace('N', "1"),
        };
        let most = rollouts as f64 * STAGES.len() as f64 * (self.soaks() as f64 + 12.0);
        Scenario {
            senders: self.senders,
            balancers: None,
            endpoints: DESTS * ZONES.len(),
            zones: ZONES.map(String::from).to_vec(),
            sites: Vec::new(),
            site_delay_ms: 0,
            tables: Tables::default(),
            limits: Terms::default(),
            endpoint_lines: false,
            fleet: Some(Fleet {
                policy: Some(toml::Table::new()),
                ..Fleet::default()
            }),
            ask_ms: 55,
            call_ms: 50,
            rate: self.rate,
            lasts_s: self.calm_s + most,
            until_well: false,
            kept: Kept::True,
            wanted: Wanted::default(),
            policies: Policies {
                rare: if self.worse == Some(Worse::Class) {
                    RARE_PART
                } else {
                    0.0
                },
                own_script: true,
                given: self.given(),
                until: said(&until),
                rest_s: if self.kill_leader || self.faults {
                    LASTS_S + 1.0
                } else {
                    2.0
                },
                ..Policies::default()
            },
            steps,
        }
    }

    /// Some senders are killed and come back, stand still, or hear no keeper for a while, at steps
    /// of a rollout that are drawn.
    fn draw_faults(&self, random: &mut fastrand::Rng, rollout: usize, steps: &mut Vec<Step>) {
        for _ in 0..3 {
            let words = drawn(random, rollout);
            let (at, lasts) = (0.5 * random.f64(), 0.3 + LASTS_S * random.f64());
            let some = random.usize(..self.senders);
            let who = || Who::Names(vec![format!("n{some}")]);
            let zone = || Some(ZONES[zone_of(some)].to_string());
            let lines = |cut| {
                let fault = crate::relay::Fault {
                    cut,
                    ..Default::default()
                };
                Deed::AgentLines {
                    zone: zone(),
                    to: Which::All,
                    fault,
                }
            };
            let (away, back) = match random.usize(..3) {
                0 => (Deed::Kill, Deed::Start),
                1 => (Deed::Stop, Deed::GoOn),
                _ => (lines(true), lines(false)),
            };
            steps.push(Step {
                who: who(),
                ..after(&words, at, away)
            });
            steps.push(Step {
                who: who(),
                ..after(&words, at + lasts, back)
            });
        }
    }
}

/// A fault lasts so long at the most, in seconds.
const LASTS_S: f64 = 5.0;

/// The zone of a sender, by its number.
fn zone_of(sender: usize) -> usize {
    sender % ZONES.len()
}

/// What is to be judged soaks for so long at the least, in seconds.
const SOAKS_S: u64 = 20;
/// A policy that gets worse does so after this, in seconds.
const LATER_S: f64 = 30.0;
/// ...and halts within this.
const HALTS_IN_S: f64 = 30.0;
/// What keepers say of the rollout N.
const ROLLED_OUT: &str = "policy N: rolled out";
/// See above.
const HALTED: &str = "policy N: halted";
/// Words at which faults come.
const STEPS: [&str; 5] = [
    "policy N: offered",
    "policy N: stage 1 paused",
    "policy N: stage 1 in force",
    "policy N: stage 1 soaks",
    "policy N: stage 2 paused",
];

/// What keepers say at some step of a rollout.
fn drawn(random: &mut fastrand::Rng, rollout: usize) -> String {
    let step = STEPS[random.usize(..STEPS.len())];
    // One that goes back is offered to nobody: they have it.
    let step = if rollout == 3 && step.ends_with("offered") {
        "goes back as N"
    } else {
        step
    };
    step.replace('N', &rollout.to_string())
}

/// Plays it.
///
/// # Errors
/// Stand-ins or processes could not be started.
pub fn play(plan: &Plan) -> Result<Played, NotPlayed> {
    let scenario = plan.scenario();
    let (mut outcome, record, led) = play_seen(&scenario, &plan.program, plan.seed)?;
    // A leader that dies may say no more what it did: what waits for that never comes.
    outcome.missed.retain(|missed| missed != "steps");
    let seen = record.seen();
    let mut waits: Vec<Duration> = outcome
        .switches
        .iter()
        .flat_map(|s| s.waits.clone())
        .collect();
    waits.sort();
    let first = outcome.switches.first().and_then(|s| s.at);
    let halted = seen
        .said
        .iter()
        .find(|(_, line)| line.contains(": halted"))
        .map(|(at, _)| *at);
    let worse_from = first.map(|first| match plan.worse {
        Some(Worse::Later) => first + Duration::from_secs_f64(LATER_S),
        _ => first,
    });
    let over = |to: &str, zones: &[&str]| {
        zones
            .iter()
            .all(|z| outcome.switches.iter().any(|s| s.to == to && s.zone == **z))
    };
    Ok(Played {
        worse: plan.worse,
        stages: ["p1", "p2"]
            .iter()
            .map(|to| STAGES.iter().filter(|zones| over(to, zones)).count())
            .sum(),
        gap_max_ms: outcome
            .switches
            .iter()
            .map(|s| s.longest_ms)
            .max()
            .unwrap_or(0),
        gap_p50_ms: waits
            .get(waits.len() / 2)
            .map_or(0, |w| w.as_millis() as u64),
        met: waits.len(),
        refused_around: outcome.switches.iter().map(|s| s.refused).sum(),
        halted: halted.is_some(),
        halted_after_s: halted
            .zip(worse_from)
            .map(|(at, from)| at.saturating_duration_since(from).as_secs_f64()),
        halted_in: outcome
            .switches
            .iter()
            .filter(|_| halted.is_some())
            .map(|s| s.zone.clone())
            .collect(),
        led: led.len(),
        taken_on: outcome.taken_on,
        delivered: outcome.delivered,
        crashed: outcome.crashed,
        verdict: outcome.verdict,
        missed: outcome.missed,
        switches: outcome.switches,
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
    fn what_was_refused_may_be_seen_nowhere_and_what_went_back_comes_again() {
        let (given_at, over_at) = (None, None);
        let one = |order, code| Ordered {
            order,
            code,
            said: String::new(),
            took_s: 0.0,
            given_at,
            over_at,
        };
        let propose = |name: &str, code| one(Order::Propose(name.into()), Some(code));
        let mut rules = Rules::default();
        rules.stands("n0", "a");
        let all = [
            propose("p1", 0),
            propose("p2", 1),
            propose("p3", 0),
            one(Order::Back, Some(0)),
        ];
        Policies::end(&mut rules, &all);
        assert_eq!(rules.last_two(), (Some("p1"), Some("p3")));
    }

    #[test]
    fn a_document_stamps_and_a_plan_names_its_stages() {
        let mut given = plan(Path::new("none"), 10, 1).given().remove(0);
        given.text = "[limits]\nroom = 50".into();
        let document: toml::Table = given.document().parse().expect("TOML");
        assert!(
            document["hook"]
                .as_str()
                .is_some_and(|h| h.contains("policy: \"p1\"")),
            "{document}"
        );
        assert_eq!(document["limits"]["room"].as_integer(), Some(50));
        let told: toml::Table = given.plan().parse().expect("TOML");
        let zones = told["stage"]
            .as_array()
            .expect("stages")
            .iter()
            .map(|s| s["zones"].to_string());
        assert_eq!(
            zones.collect::<Vec<_>>(),
            ["[\"a\"]", "[\"b\", \"c\"]", "[\"d\", \"e\"]"]
        );
        assert_eq!(told["soak_s"].as_integer(), Some(4));
    }
}
