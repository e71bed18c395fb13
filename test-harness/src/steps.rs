//! Every step of the protocols between senders and keepers, as they log it, with each participant
//! lost at that moment.
//!
//! Three scenes are played without a fault first, which tells how often each line of [`LINES`]
//! comes. Then the same scenes are played again, each time with one [`Trouble`], or two: a line, a
//! participant, and what befalls it at that line.

use crate::cold_start::NotPlayed;
use crate::limits::{Death, Terms};
use crate::policy::{Given, Order, Policies};
use crate::record::Verdict;
use crate::relay::{Break, Breaks, Fault};
use crate::routing::Ends;
use crate::rules::RARE_CLASS;
use crate::sayings::Wait;
use crate::scenario::{
    play_heard, After, Deed, Fleet, Kept, Outcome, Scenario, Site, Step, Wanted, Which, Who,
};
use crate::stage::DESTS;
use crate::tables::{self, TableOrder, Tables};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;
use std::process::Command;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// The zones.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Messages a second for all senders: six for each destination, or a second tells nothing.
const RATE: f64 = 60.0;
/// Most that a run takes, in seconds: a keeper that sleeps for 20 s, an outage, and a return after
/// it.
const LASTS: f64 = 60.0;
/// Least part of what was taken on that is delivered: troubles may take all zones away for a while.
const DELIVERED: f64 = 0.3;
/// Lines that come more often than this come a little more or less often in each play.
const MANY: usize = 12;
/// Between the line and the trouble, at the most, in milliseconds: a round between keepers, with a
/// sync.
const LATER: u64 = 40;

/// A line that is a step of the protocols. Those that a process logs are stable words.
#[derive(Debug)]
pub struct Line {
    /// What the step is called here.
    pub name: &'static str,
    /// Who logs it: `keepers` or `senders`.
    pub who: &'static str,
    /// Words of the line.
    pub says: &'static str,
}

/// All steps that are logged, in the order in which they come first.
pub const LINES: [Line; 49] = [
    Line {
        name: "listens",
        who: "keepers",
        says: ": listens at ",
    },
    Line {
        name: "begins",
        who: "keepers",
        says: ": all keepers know each other, begins",
    },
    Line {
        name: "leads",
        who: "keepers",
        says: ": leads in term ",
    },
    Line {
        name: "follows",
        who: "keepers",
        says: ": follows ",
    },
    Line {
        name: "beat",
        who: "keepers",
        says: " Beat ",
    },
    Line {
        name: "joined",
        who: "keepers",
        says: " Join ",
    },
    Line {
        name: "session",
        who: "senders",
        says: "fleet: session with keeper ",
    },
    Line {
        name: "wished",
        who: "keepers",
        says: " Wish ",
    },
    Line {
        name: "decides-left",
        who: "keepers",
        says: " phase=Left ",
    },
    Line {
        name: "ordered",
        who: "keepers",
        says: " Order ",
    },
    Line {
        name: "left",
        who: "senders",
        says: " left by epoch ",
    },
    Line {
        name: "decides-returning",
        who: "keepers",
        says: " phase=Returning ",
    },
    Line {
        name: "returning",
        who: "senders",
        says: " returning by epoch ",
    },
    Line {
        name: "slice",
        who: "keepers",
        says: " Slice ",
    },
    Line {
        name: "lent",
        who: "senders",
        says: "fleet: lent ",
    },
    Line {
        name: "decides-used",
        who: "keepers",
        says: " phase=Used ",
    },
    Line {
        name: "used",
        who: "senders",
        says: " in use again by epoch ",
    },
    Line {
        name: "members",
        who: "keepers",
        says: ": keepers [",
    },
    Line {
        name: "restored",
        who: "keepers",
        says: ": has the record up to ",
    },
    Line {
        name: "offered",
        who: "keepers",
        says: ": offered",
    },
    Line {
        name: "stored",
        who: "senders",
        says: " is checked and written down",
    },
    Line {
        name: "paused",
        who: "keepers",
        says: " paused by turn ",
    },
    Line {
        name: "pauses",
        who: "senders",
        says: "takes nothing on for a moment",
    },
    Line {
        name: "in-force",
        who: "keepers",
        says: " in force by turn ",
    },
    Line {
        name: "goes-by",
        who: "senders",
        says: "takes on under policy ",
    },
    Line {
        name: "next",
        who: "keepers",
        says: " is next by turn ",
    },
    Line {
        name: "rolled-out",
        who: "keepers",
        says: ": rolled out",
    },
    Line {
        name: "goes-back",
        who: "keepers",
        says: ": goes back as ",
    },
    Line {
        name: "leads-no-more",
        who: "keepers",
        says: ": leads no more",
    },
    Line {
        name: "site-speaks",
        who: "keepers",
        says: ": speaks for site ",
    },
    Line {
        name: "site-leads",
        who: "keepers",
        says: " leads in term ",
    },
    Line {
        name: "site-follows",
        who: "keepers",
        says: ": follows site ",
    },
    Line {
        name: "site-lease-over",
        who: "keepers",
        says: "lease of the federation is over",
    },
    Line {
        name: "site-lease-again",
        who: "keepers",
        says: "lease of the federation runs again",
    },
    Line {
        name: "site-off",
        who: "keepers",
        says: " is off the roster",
    },
    Line {
        name: "site-joins",
        who: "keepers",
        says: " joins as ",
    },
    Line {
        name: "table-proposed",
        who: "keepers",
        says: ": proposed by ",
    },
    Line {
        name: "table-decided",
        who: "keepers",
        says: ": decided",
    },
    Line {
        name: "table-ended",
        who: "keepers",
        says: ": ended: ",
    },
    Line {
        name: "table-offered",
        who: "keepers",
        says: ": offered",
    },
    Line {
        name: "table-accepted",
        who: "keepers",
        says: ": accepted here",
    },
    Line {
        name: "table-refused",
        who: "keepers",
        says: ": refused: ",
    },
    Line {
        name: "table-to-be",
        who: "keepers",
        says: ": to be switched to",
    },
    Line {
        name: "table-paused",
        who: "keepers",
        says: ": paused by turn ",
    },
    Line {
        name: "table-in-force",
        who: "keepers",
        says: ": in force by turn ",
    },
    Line {
        name: "table-taken-back",
        who: "keepers",
        says: ": taken back by turn ",
    },
    Line {
        name: "table-all-go",
        who: "keepers",
        says: ": all senders go by it",
    },
    Line {
        name: "table-stored",
        who: "senders",
        says: " is checked and written down",
    },
    Line {
        name: "table-goes",
        who: "senders",
        says: "goes by table ",
    },
];

impl Line {
    /// Whether it is a step of a scene: what sites say to each other, and what policies and zones
    /// go through, have words in common.
    fn is_of(&self, scene: Scene) -> bool {
        let of_sites = ["site-", "table-"]
            .iter()
            .any(|of| self.name.starts_with(of));
        of_sites == (scene == Scene::Tables)
    }
}

/// What is played around a trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Scene {
    /// A zone dies, is left, comes back cold, and is returned to.
    Outage,
    /// A person has a zone left and returned to; a keeper is added and another one removed
    /// meanwhile.
    Orders,
    /// Rules are rolled out zone by zone, and go back.
    Rollout,
    /// Sites agree on a routing table, a site refuses the next one, and they agree on another one.
    Tables,
}

/// Who it befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Whom {
    /// The keeper or sender that logged the line.
    Speaker,
    /// The keeper that leads.
    Leader,
    /// A keeper that does not.
    Follower,
    /// The keeper that leads the site that leads its federation.
    Lead,
    /// The lines between that site and the others.
    Between,
    /// A sender.
    Sender,
    /// The directory.
    Directory,
    /// The endpoints of the zone that is left.
    Zone,
    /// The endpoints of another zone.
    Elsewhere,
}

/// What befalls it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Harm {
    /// Killed, and back after 1.5 s.
    Kill,
    /// It stands still for 2 s.
    Stop,
    /// It stands still for longer than any lease holds: 20 s a keeper, 4.5 s a sender.
    Sleep,
    /// Its lines are reset, old and new ones, for 2 s.
    Cut,
    /// Nothing that it says comes through, for 2 s.
    Unheard,
    /// Nothing comes through to it, for 2 s.
    Unhearing,
    /// Nothing comes through to it or from it, for 2 s.
    Silence,
    /// Its lines are reset in the middle of what is said, for 2 s.
    Torn,
    /// The same, but they end as if all had been said.
    Closed,
    /// All that is said on its lines comes late, for 2 s.
    Late,
    /// Killed, its folder is lost, and it is back at once under its old number.
    Forget,
    /// Killed, its folder's newest file is cut at any byte, and it is back at once.
    Tear,
    /// Its disk is full for 2 s.
    Full,
    /// It answers all with an error, for 1.5 s.
    Errors,
}

/// Parses and tells the variants of an enumeration by their names in a text.
macro_rules! named {
    ($of:ident { $($variant:ident = $name:literal),* $(,)? }) => {
        impl $of {
            /// All of them.
            pub const ALL: &'static [$of] = &[$($of::$variant),*];
        }
        impl fmt::Display for $of {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(match self { $($of::$variant => $name),* })
            }
        }
        impl FromStr for $of {
            type Err = String;
            fn from_str(name: &str) -> Result<$of, String> {
                match name {
                    $($name => Ok($of::$variant),)*
                    other => Err(format!("'{other}' is none of {}", [$($name),*].join(", "))),
                }
            }
        }
    };
}

named!(Scene { Outage = "outage", Orders = "orders", Rollout = "rollout", Tables = "tables" });
named!(Whom {
    Speaker = "speaker",
    Leader = "leader",
    Follower = "follower",
    Lead = "lead",
    Between = "between",
    Sender = "sender",
    Directory = "directory",
    Zone = "zone",
    Elsewhere = "elsewhere",
});
named!(Harm {
    Kill = "kill",
    Stop = "stop",
    Sleep = "sleep",
    Cut = "cut",
    Unheard = "unheard",
    Unhearing = "unhearing",
    Silence = "silence",
    Torn = "torn",
    Closed = "closed",
    Late = "late",
    Forget = "forget",
    Tear = "tear",
    Full = "full",
    Errors = "errors",
});

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// At which line.
    pub line: &'static Line,
    /// When it comes for so many times, of all keepers or senders together.
    pub times: usize,
    /// So many milliseconds later.
    pub later_ms: u64,
    /// Whom it befalls.
    pub whom: Whom,
    /// What does.
    pub harm: Harm,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Trouble {
            line,
            times,
            later_ms,
            whom,
            harm,
        } = self;
        write!(f, "{}/{times}/{later_ms}/{whom}/{harm}", line.name)
    }
}

impl FromStr for Trouble {
    type Err = String;

    fn from_str(text: &str) -> Result<Trouble, String> {
        let parts: Vec<&str> = text.split('/').collect();
        let [line, times, later_ms, whom, harm] = parts[..] else {
            return Err(format!("'{text}': LINE/TIMES/MILLISECONDS/WHOM/HARM"));
        };
        let number = |n: &str| n.parse::<u64>().map_err(|e| format!("'{n}': {e}"));
        let line = LINES
            .iter()
            .find(|l| l.name == line)
            .ok_or_else(|| format!("'{line}' is no step"))?;
        let trouble = Trouble {
            line,
            times: number(times)?.max(1) as usize,
            later_ms: number(later_ms)?,
            whom: whom.parse()?,
            harm: harm.parse()?,
        };
        let can = trouble.whom.harms(line.who).contains(&trouble.harm);
        can.then_some(trouble)
            .ok_or_else(|| format!("'{text}': {harm} cannot befall {whom} there"))
    }
}

/// A scene with troubles.
#[derive(Clone, Debug)]
pub struct Run {
    /// What is played.
    pub scene: Scene,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.scene)?;
        self.troubles.iter().try_for_each(|t| write!(f, "+{t}"))
    }
}

impl FromStr for Run {
    type Err = String;

    fn from_str(text: &str) -> Result<Run, String> {
        let (scene, troubles) = text.split_once('+').unwrap_or((text, ""));
        let troubles = troubles
            .split('+')
            .filter(|t| !t.is_empty())
            .map(str::parse);
        Ok(Run {
            scene: scene.parse()?,
            troubles: troubles.collect::<Result<_, _>>()?,
        })
    }
}

/// Where among what befalls keepers stands what befalls lines.
const LINES_FROM: usize = 2;
/// See above.
const LINES_TO: usize = 8;

impl Whom {
    /// Whether it is there in a scene.
    fn is_in(self, scene: Scene) -> bool {
        scene == Scene::Tables || !matches!(self, Whom::Lead | Whom::Between)
    }

    /// What can befall it, where `who` logs the line.
    fn harms(self, who: &str) -> &'static [Harm] {
        use Harm::*;
        const KEEPER: &[Harm] = &[
            Kill, Stop, Cut, Unheard, Unhearing, Silence, Torn, Late, Forget, Tear, Full, Sleep,
        ];
        const SENDER: &[Harm] = &[
            Kill, Stop, Sleep, Cut, Unheard, Unhearing, Silence, Torn, Closed, Late,
        ];
        match self {
            Whom::Speaker if who == "senders" => SENDER,
            Whom::Speaker => &KEEPER[..KEEPER.len() - 1],
            Whom::Leader | Whom::Lead => KEEPER,
            Whom::Between => &KEEPER[LINES_FROM..LINES_TO],
            // One that sleeps is one that stands still, where it does not lead.
            Whom::Follower => &KEEPER[..KEEPER.len() - 1],
            Whom::Sender => SENDER,
            Whom::Directory => &[Kill, Errors, Cut, Unheard, Torn, Closed, Late],
            Whom::Zone | Whom::Elsewhere => &[Kill, Stop, Errors, Cut, Unheard, Torn, Closed, Late],
        }
    }
}

impl Trouble {
    /// Its steps. What is drawn, by the seed.
    fn steps(&self, scene: Scene, senders: usize, random: &mut fastrand::Rng) -> Vec<Step> {
        let after = After {
            who: self.line.who.into(),
            says: self.line.says.into(),
            since_s: 0.0,
            times: self.times,
        };
        let bytes = random.usize(1..2_000);
        let breaks = |how| Some(Breaks { after: bytes, how });
        let (torn, closed) = (breaks(Break::Reset), breaks(Break::Close));
        let whole = Fault::default();
        // What each harm does to a line that leads away from the one that it befalls, and to one
        // that leads to it.
        let (away, to) = match self.harm {
            Harm::Cut => (Fault { cut: true, ..whole }, Fault { cut: true, ..whole }),
            Harm::Unheard => (
                Fault {
                    silent_up: true,
                    ..whole
                },
                Fault {
                    silent_down: true,
                    ..whole
                },
            ),
            Harm::Unhearing => (
                Fault {
                    silent_down: true,
                    ..whole
                },
                Fault {
                    silent_up: true,
                    ..whole
                },
            ),
            Harm::Silence => {
                let silent = Fault {
                    silent_up: true,
                    silent_down: true,
                    ..whole
                };
                (silent, silent)
            }
            Harm::Torn => {
                let torn = Fault {
                    breaks: torn,
                    breaks_up: torn,
                    ..whole
                };
                (torn, torn)
            }
            Harm::Closed => {
                let closed = Fault {
                    breaks: closed,
                    breaks_up: closed,
                    ..whole
                };
                (closed, closed)
            }
            Harm::Late => {
                let late = Fault {
                    delay_ms: random.u64(100..500),
                    ..whole
                };
                (late, late)
            }
            _ => (whole, whole),
        };
        let sender = random.usize(..senders);
        let zone = match (self.whom, scene) {
            (Whom::Elsewhere, _) => ZONES[0],
            (_, Scene::Outage) => ZONES[1],
            (_, Scene::Orders | Scene::Rollout | Scene::Tables) => ZONES[2],
        };
        let speaks_as_sender = self.whom == Whom::Speaker && self.line.who == "senders";
        let mut deeds: Vec<(Deed, f64)> = Vec::new();
        let mut who = Who::default();
        match self.whom {
            Whom::Sender | Whom::Speaker if self.whom == Whom::Sender || speaks_as_sender => {
                let name = if speaks_as_sender {
                    "speaker".to_string()
                } else {
                    format!("n{sender}")
                };
                who = Who::Names(vec![name]);
                match self.harm {
                    Harm::Kill => deeds.push((Deed::Kill, 1.5)),
                    Harm::Stop => deeds.push((Deed::Stop, 2.0)),
                    Harm::Sleep => deeds.push((Deed::Stop, 4.5)),
                    _ => {
                        deeds.push((Deed::Line(away), 2.0));
                        // Its neighbours in the zone share its line to the keepers.
                        let zone = Some(ZONES[sender % ZONES.len()].to_string());
                        deeds.push((
                            Deed::AgentLines {
                                zone,
                                to: Which::All,
                                fault: away,
                            },
                            2.0,
                        ));
                    }
                }
            }
            Whom::Between => {
                let (from, to) = ("lead".to_string(), "all".to_string());
                // Half of the time only what the others begin fails.
                let both = random.bool();
                deeds.push((
                    Deed::SiteLines {
                        from,
                        to,
                        both,
                        fault: away,
                    },
                    2.0,
                ));
            }
            Whom::Leader | Whom::Lead | Whom::Follower | Whom::Speaker | Whom::Sender => {
                let at = |site: &str, which| Which::At(site.into(), Box::new(which));
                let which = || match self.whom {
                    Whom::Lead => at("lead", Which::Leader),
                    Whom::Leader if scene == Scene::Tables => at("speaker", Which::Leader),
                    Whom::Follower if scene == Scene::Tables => at("lead", Which::Follower),
                    Whom::Leader => Which::Leader,
                    Whom::Follower => Which::Follower,
                    _ => Which::Speaker,
                };
                match self.harm {
                    Harm::Kill => deeds.push((Deed::KeeperKill(which()), 1.5)),
                    Harm::Stop => deeds.push((Deed::KeeperStop(which()), 2.0)),
                    Harm::Sleep => deeds.push((Deed::KeeperStop(which()), 20.0)),
                    Harm::Full => deeds.push((Deed::KeeperFull(which()), 2.0)),
                    Harm::Forget => deeds.push((Deed::KeeperForget(which()), 0.0)),
                    Harm::Tear => deeds.push((Deed::KeeperTear(which()), 0.0)),
                    _ => {
                        let (from, all) = (which(), Which::All);
                        deeds.push((
                            Deed::KeeperLines {
                                from,
                                to: all,
                                fault: away,
                            },
                            2.0,
                        ));
                        let (from, all) = (Which::All, which());
                        deeds.push((
                            Deed::KeeperLines {
                                from,
                                to: all,
                                fault: to,
                            },
                            2.0,
                        ));
                        // Half of the time senders reach it as ever.
                        if random.bool() {
                            deeds.push((
                                Deed::AgentLines {
                                    zone: None,
                                    to: which(),
                                    fault: to,
                                },
                                2.0,
                            ));
                        }
                    }
                }
            }
            Whom::Directory => match self.harm {
                Harm::Kill => deeds.push((Deed::DirectoryDown, 2.0)),
                Harm::Errors => deeds.push((Deed::Busy(true), 2.0)),
                _ => deeds.push((Deed::Line(to), 2.0)),
            },
            Whom::Zone | Whom::Elsewhere => {
                let zone = zone.to_string();
                match self.harm {
                    Harm::Kill => deeds.push((
                        Deed::ZoneDies {
                            zone,
                            how: Death::Unconnected,
                        },
                        1.5,
                    )),
                    Harm::Stop => deeds.push((
                        Deed::ZoneDies {
                            zone,
                            how: Death::Hangs,
                        },
                        1.5,
                    )),
                    Harm::Errors => deeds.push((
                        Deed::ZoneDies {
                            zone,
                            how: Death::Errors,
                        },
                        1.5,
                    )),
                    _ => {
                        // Answers of endpoints are short.
                        let short = |b: Option<Breaks>| {
                            b.map(|b| Breaks {
                                after: b.after % 60,
                                ..b
                            })
                        };
                        let fault = Fault {
                            breaks: short(to.breaks),
                            breaks_up: None,
                            ..to
                        };
                        deeds.push((Deed::EndpointLines { zone, fault }, 2.0));
                    }
                }
            }
        }
        let at_s = Duration::from_millis(self.later_ms).as_secs_f64();
        let step = |(deed, lasts): (Deed, f64)| Step {
            at_s,
            for_s: (lasts > 0.0).then_some(lasts),
            may_fail: true,
            after: Some(after.clone()),
            who: who.clone(),
            deed,
        };
        deeds.into_iter().map(step).collect()
    }
}

/// What is rolled out: a stage of one zone, then the others, with hardly a soak.
fn rolled_out() -> Policies {
    let stage = |zones: &[&str]| zones.iter().map(|z| z.to_string()).collect();
    let plan = [("watch_s", 0), ("soak_s", 1), ("least", 1)];
    let given = Given {
        name: "p1".into(),
        stages: vec![stage(&ZONES[..1]), stage(&ZONES[1..])],
        plan: plan
            .map(|(name, n)| (name.to_string(), toml::Value::Integer(n)))
            .into_iter()
            .collect(),
        ..Given::default()
    };
    let until = After {
        who: "keepers".into(),
        says: "policy 2: rolled out".into(),
        since_s: 0.0,
        times: 1,
    };
    Policies {
        own_script: true,
        given: vec![given],
        until: Some(until),
        rest_s: 1.0,
        ..Policies::default()
    }
}

/// Part of the messages that are of a class that one sender does not know, where a table is refused
/// for it.
const RARE_PART: f64 = 0.05;

/// Three sites with two zones each, and the tables that they agree on: to the first zones, and to
/// the second ones.
fn agreed() -> (Vec<Site>, Tables) {
    let sites = [
        ("north", ["a", "d"]),
        ("south", ["b", "e"]),
        ("west", ["c", "f"]),
    ];
    // Any of three keepers may lose its folder, and its site goes on.
    let sites = sites.map(|(name, zones)| Site::of(name, &zones, 3));
    let given = |name: &str, zones: [&str; 3], ends| tables::Given {
        name: name.into(),
        zones: zones.map(String::from).to_vec(),
        ends,
        ..tables::Given::default()
    };
    let text = format!("[[route]]\nclasses = [\"{RARE_CLASS}\"]\ntiers = [{{ d = 1 }}]\n");
    let refused = tables::Given {
        text,
        ..given("refused", ["d", "e", "f"], Ends::Nowhere)
    };
    let (first, second) = (["a", "b", "c"], ["d", "e", "f"]);
    let given = vec![
        given("t1", first, Ends::Decided),
        refused,
        given("t2", second, Ends::Decided),
    ];
    let all = |site: &Site| After {
        who: format!("{}/keepers", site.name),
        says: "table 3: all senders go by it".into(),
        since_s: 0.0,
        times: 1,
    };
    let until = sites.iter().map(all).collect();
    (
        sites.to_vec(),
        Tables {
            given,
            until,
            rest_s: 2.0,
        },
    )
}

impl Scene {
    /// It without a trouble.
    fn scenario(self, senders: usize, seed: u64) -> Scenario {
        let after = |who: &str, says: &str, at_s: f64, deed: Deed| Step {
            after: Some(After {
                who: who.into(),
                says: says.into(),
                since_s: 0.0,
                times: 1,
            }),
            ..Step::at(at_s, deed)
        };
        let order = |words: &str| Deed::Order(words.split(' ').map(String::from).collect());
        let mut steps = vec![
            Step::at(0.0, Deed::KeeperStart(Which::All)),
            Step::at(0.0, Deed::Start),
        ];
        // The directory tells one sender after another, and keepers elect.
        let calm = 2.4 + 0.06 * senders as f64;
        let (mut spare, mut policies, mut tables) = (0, Policies::default(), Tables::default());
        let mut sites = Vec::new();
        match self {
            Scene::Outage => {
                let (mut random, zone) = (fastrand::Rng::with_seed(seed), ZONES[1].to_string());
                let how = [Death::Unconnected, Death::Hangs, Death::Errors][random.usize(..3)];
                steps.push(Step::at(
                    calm,
                    Deed::ZoneDies {
                        zone: zone.clone(),
                        how,
                    },
                ));
                steps.push(after("keepers", " phase=Left ", 1.5, Deed::ZoneBack(zone)));
            }
            Scene::Orders => {
                spare = 1;
                steps.push(Step::at(calm, order("zone leave c")));
                steps.push(Step::at(calm + 0.2, Deed::KeeperAdd(Which::These(vec![3]))));
                steps.push(after(
                    "keepers",
                    ": keepers [",
                    0.3,
                    Deed::KeeperRemove(Which::Follower),
                ));
                steps.push(after(
                    "senders",
                    "zone c left by epoch ",
                    0.8,
                    order("zone return c"),
                ));
                steps.push(after("keepers", " phase=Used ", 0.3, order("zone free c")));
            }
            Scene::Rollout => {
                let order = |order| Deed::Policy {
                    order,
                    by: Which::All,
                };
                // Troubles of the first sessions are over by then: a zone without a sender is no
                // part of a plan.
                steps.push(Step::at(calm + 2.0, order(Order::Propose("p1".into()))));
                steps.push(after(
                    "keepers",
                    "policy 1: rolled out",
                    0.3,
                    order(Order::Back),
                ));
                policies = rolled_out();
            }
            Scene::Tables => {
                (sites, tables) = agreed();
                policies = Policies {
                    rare: RARE_PART,
                    without_rare: vec!["n0".into()],
                    ..Policies::default()
                };
                let propose = |name: &str| {
                    let by = Which::At("lead".into(), Box::new(Which::Leader));
                    Deed::Table {
                        order: TableOrder::Propose(name.into()),
                        by,
                        patient_s: LASTS as u64,
                    }
                };
                steps.push(Step::at(calm + 3.0, propose("t1")));
                steps.push(after(
                    "keepers",
                    "table 1: all senders go by it",
                    0.3,
                    propose("refused"),
                ));
                steps.push(after("keepers", "table 2: ended", 0.3, propose("t2")));
            }
        }
        let rules = toml::Table::from_iter([("rest_ms".to_string(), toml::Value::Integer(700))]);
        let rules = toml::Table::from_iter([("zones".to_string(), toml::Value::Table(rules))]);
        let policy = (self == Scene::Rollout).then(toml::Table::new);
        let table = (self == Scene::Tables).then(toml::Table::new);
        let zones: Vec<String> = match &sites[..] {
            [] => ZONES.map(String::from).to_vec(),
            sites => sites.iter().flat_map(|s: &Site| s.zones.clone()).collect(),
        };
        Scenario {
            senders,
            balancers: None,
            endpoints: DESTS * zones.len(),
            zones,
            sites,
            site_delay_ms: if self == Scene::Tables { 30 } else { 0 },
            tables,
            limits: Terms {
                // Two of three zones carry all of it.
                listed: 0.7 * RATE / DESTS as f64,
                factor: Some(1.3),
                warm_after_s: 1.5,
                ..Terms::default()
            },
            endpoint_lines: true,
            fleet: Some(Fleet {
                spare,
                rules,
                policy,
                table,
                ..Fleet::default()
            }),
            ask_ms: 55,
            call_ms: 30,
            rate: RATE,
            // A site that slept for 20 s is beyond its lease, and the next table waits for it.
            lasts_s: if self == Scene::Tables {
                2.0 * LASTS
            } else {
                LASTS
            },
            until_well: !matches!(self, Scene::Rollout | Scene::Tables),
            kept: Kept::True,
            wanted: Wanted {
                delivered: DELIVERED,
                ..Wanted::default()
            },
            policies,
            steps,
        }
    }
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Processes of senders in each run.
    pub senders: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// Runs at the most, beside those without a trouble.
    pub runs: usize,
    /// Runs at once.
    pub jobs: usize,
    /// Two troubles in each run, drawn, instead of one.
    pub pairs: bool,
    /// This run and no other.
    pub only: Option<Run>,
    /// No run begins later than so long after the beginning.
    pub within: Option<Duration>,
}

/// A run that was played.
pub struct Ran<'a> {
    /// Which.
    pub run: &'a Run,
    /// By which seed.
    pub seed: u64,
    /// What came of it.
    pub sum: Sum,
    /// The same in more words.
    pub told: String,
}

impl Ran<'_> {
    /// Whether all is as it should be.
    pub fn is_good(&self) -> bool {
        self.sum.is_good()
    }
}

/// What came of all runs.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Sum {
    /// Runs that were played.
    pub runs: usize,
    /// Different lines and counts at which something went wrong.
    pub steps: usize,
    /// Single troubles that there are.
    pub troubles: usize,
    /// What the rules say.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// Runs that were not as they should be, for whatever reason.
    pub failed: usize,
    /// Processes that ended by themselves.
    pub crashed: usize,
    /// Runs whose line never came, so that nothing went wrong.
    pub never: usize,
    /// Times that an endpoint fell over.
    pub toppled: usize,
    /// Messages that were taken on.
    pub taken_on: usize,
    /// Those of them that were delivered.
    pub delivered: usize,
    /// The longest run, in seconds.
    pub longest_s: f64,
}

impl Sum {
    /// Whether all runs are as they should be.
    pub fn is_good(&self) -> bool {
        self.failed == 0 && self.verdict == Verdict::default()
    }

    /// Of one run.
    fn of(o: &Outcome) -> Sum {
        Sum {
            runs: 1,
            verdict: o.verdict,
            failed: usize::from(!o.is_good()),
            crashed: o.crashed,
            never: usize::from(o.never > 0),
            toppled: o.toppled,
            taken_on: o.taken_on,
            delivered: o.delivered,
            longest_s: o.played_s,
            ..Sum::default()
        }
    }

    fn add(&mut self, one: &Sum) {
        self.runs += one.runs;
        self.failed += one.failed;
        self.verdict.broken += one.verdict.broken;
        self.verdict.lost += one.verdict.lost;
        self.verdict.doubled += one.verdict.doubled;
        self.crashed += one.crashed;
        self.never += one.never;
        self.toppled += one.toppled;
        self.taken_on += one.taken_on;
        self.delivered += one.delivered;
        self.longest_s = self.longest_s.max(one.longest_s);
    }
}

/// Lines that are counted.
fn counted() -> Vec<Wait> {
    let wait = |l: &Line| Wait {
        who: l.who.into(),
        says: l.says.into(),
        since: Duration::ZERO,
        times: usize::MAX,
        heard: 0,
        at: None,
    };
    LINES.iter().map(wait).collect()
}

fn play_one(plan: &Plan, run: &Run, seed: u64) -> Result<(Outcome, Vec<usize>), NotPlayed> {
    let mut scenario = run.scene.scenario(plan.senders, seed);
    let mut random = fastrand::Rng::with_seed(seed ^ 3);
    for trouble in &run.troubles {
        scenario
            .steps
            .extend(trouble.steps(run.scene, plan.senders, &mut random));
    }
    let (outcome, _, _, heard) = play_heard(&scenario, &plan.program, seed, counted())?;
    Ok((outcome, heard.iter().map(|w| w.heard).collect()))
}

/// Of a line that comes so often, the times at which something is to go wrong: the first, one in
/// the middle, and one of the last.
fn times(count: usize) -> BTreeSet<usize> {
    match count {
        0 => BTreeSet::new(),
        1..=MANY => [1, count.div_ceil(2), count].into(),
        _ => [1, count / 3, 2 * count / 3].into(),
    }
}

/// All single troubles of a scene in which lines come so often, in an order that is drawn: one for
/// each line, time and participant, then the next.
fn troubles(scene: Scene, counts: &[usize], random: &mut fastrand::Rng) -> Vec<(usize, Trouble)> {
    let mut all = Vec::new();
    for (line, count) in LINES
        .iter()
        .zip(counts)
        .filter(|(line, _)| line.is_of(scene))
    {
        for times in times(*count) {
            for whom in Whom::ALL.iter().filter(|whom| whom.is_in(scene)) {
                let mut harms = whom.harms(line.who).to_vec();
                random.shuffle(&mut harms);
                for (round, harm) in harms.into_iter().enumerate() {
                    let later_ms = if random.bool() {
                        0
                    } else {
                        random.u64(..LATER)
                    };
                    all.push((
                        round,
                        Trouble {
                            line,
                            times,
                            later_ms,
                            whom: *whom,
                            harm,
                        },
                    ));
                }
            }
        }
    }
    random.shuffle(&mut all);
    all.sort_by_key(|(round, _)| *round);
    all
}

/// Plays one here.
fn here<'a>(plan: &Plan, run: &'a Run, seed: u64) -> Result<(Ran<'a>, Vec<usize>), NotPlayed> {
    let (outcome, counts) = play_one(plan, run, seed)?;
    let told = serde_json::to_string(&outcome).unwrap_or_default();
    Ok((
        Ran {
            run,
            seed,
            sum: Sum::of(&outcome),
            told,
        },
        counts,
    ))
}

/// Plays one in a process of its own: stand-ins last as long as their process.
fn apart<'a>(plan: &Plan, run: &'a Run, seed: u64) -> Ran<'a> {
    let failed = |told: String| Ran {
        run,
        seed,
        sum: Sum {
            runs: 1,
            failed: 1,
            ..Sum::default()
        },
        told,
    };
    let output = std::env::current_exe().and_then(|player| {
        let mut player = Command::new(player);
        player.args([
            "fleet",
            "steps",
            "--senders",
            &plan.senders.to_string(),
            "--seed",
            &seed.to_string(),
        ]);
        player
            .arg("--program")
            .arg(&plan.program)
            .args(["--only", &run.to_string()])
            .output()
    });
    let output = match output {
        Ok(output) => output,
        Err(e) => return failed(format!("the player: {e}")),
    };
    let [said, told] =
        [&output.stdout, &output.stderr].map(|text| String::from_utf8_lossy(text).into_owned());
    match said.lines().last().map(serde_json::from_str) {
        Some(Ok(sum)) => Ran {
            run,
            seed,
            sum,
            told: told.lines().last().unwrap_or_default().trim().into(),
        },
        _ => failed(format!("not played: {}", told.trim().replace('\n', "; "))),
    }
}

/// Plays all, and hands each run to `tell` as it ends.
///
/// # Errors
/// A scene without a trouble, or the only run, could not be played.
pub fn play(plan: &Plan, tell: &(dyn Fn(&Ran) + Sync)) -> Result<Sum, NotPlayed> {
    if let Some(only) = &plan.only {
        let (ran, _) = here(plan, only, plan.seed)?;
        tell(&ran);
        return Ok(ran.sum);
    }
    let begun = std::time::Instant::now();
    let (mut sum, mut runs, mut all) = (Sum::default(), Vec::new(), Vec::new());
    let mut random = fastrand::Rng::with_seed(plan.seed);
    for scene in Scene::ALL {
        let run = Run {
            scene: *scene,
            troubles: Vec::new(),
        };
        let (ran, counts) = here(plan, &run, plan.seed)?;
        sum.add(&ran.sum);
        tell(&ran);
        let of_scene = LINES
            .iter()
            .zip(&counts)
            .filter(|(line, _)| line.is_of(*scene));
        sum.steps += of_scene.map(|(_, c)| times(*c).len()).sum::<usize>();
        let found = troubles(*scene, &counts, &mut random);
        all.extend(
            found
                .into_iter()
                .map(|(round, trouble)| (round, *scene, trouble)),
        );
    }
    sum.troubles = all.len();
    if plan.pairs && all.len() > 1 {
        while runs.len() < plan.runs {
            let [one, other] = [0; 2].map(|_| all[random.usize(..all.len())]);
            if one.1 == other.1 {
                runs.push(Run {
                    scene: one.1,
                    troubles: vec![one.2, other.2],
                });
            }
        }
    } else {
        random.shuffle(&mut all);
        all.sort_by_key(|(round, ..)| *round);
        runs.extend(all.into_iter().map(|(_, scene, one)| Run {
            scene,
            troubles: vec![one],
        }));
        runs.truncate(plan.runs);
    }
    let (next, sum) = (AtomicUsize::new(0), Mutex::new(sum));
    let late = || plan.within.is_some_and(|within| begun.elapsed() >= within);
    thread::scope(|scope| {
        for _ in 0..plan.jobs.clamp(1, runs.len().max(1)) {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::SeqCst);
                let Some(run) = runs.get(n).filter(|_| !late()) else {
                    return;
                };
                let ran = apart(plan, run, plan.seed + 1 + n as u64);
                sum.lock().unwrap_or_else(|e| e.into_inner()).add(&ran.sum);
                tell(&ran);
            });
        }
    });
    Ok(sum.into_inner().unwrap_or_else(|e| e.into_inner()))
}

/// The command that plays a run again.
pub fn again(plan: &Plan, ran: &Ran) -> String {
    let (senders, program) = (plan.senders, plan.program.display());
    let (seed, run) = (ran.seed, ran.run);
    format!("raildeal-simulator fleet steps --senders {senders} --seed {seed} --program {program} --only {run}")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_run_is_told_and_read_again() {
        let text = "outage+left/3/12/leader/kill+session/1/0/speaker/torn";
        let run: Run = text.parse().expect("a run");
        assert_eq!((run.to_string(), run.troubles.len()), (text.to_string(), 2));
        for (bad, told) in [
            ("storm", "'storm' is none of outage, orders"),
            ("outage+left", "'left': LINE/TIMES/MILLISECONDS/WHOM/HARM"),
            ("outage+gone/1/0/leader/kill", "'gone' is no step"),
            ("outage+left/1/0/boss/kill", "'boss' is none of speaker"),
            ("outage+left/x/0/leader/kill", "'x': "),
            (
                "outage+left/1/0/directory/tear",
                "'left/1/0/directory/tear': tear cannot befall directory there",
            ),
        ] {
            let error = bad.parse::<Run>().expect_err("refused");
            assert!(error.starts_with(told), "{error}");
        }
    }

    #[test]
    fn each_line_time_and_participant_has_a_trouble_before_any_has_two_and_the_seed_draws_the_rest()
    {
        let counts: Vec<usize> = (0..LINES.len()).map(|n| [0, 1, 2, 7, 40][n % 5]).collect();
        for scene in [Scene::Orders, Scene::Tables] {
            troubles_are_drawn(scene, &counts);
        }
    }

    fn troubles_are_drawn(scene: Scene, counts: &[usize]) {
        let drawn = |seed| {
            let all = troubles(scene, counts, &mut fastrand::Rng::with_seed(seed));
            all.iter().map(|(_, t)| t.to_string()).collect::<Vec<_>>()
        };
        let all = drawn(1);
        let met: BTreeSet<String> = all
            .iter()
            .map(|t| t.rsplit_once('/').expect("a harm").0.to_string())
            .collect();
        let of_scene = LINES
            .iter()
            .zip(counts)
            .filter(|(line, _)| line.is_of(scene));
        let whom = Whom::ALL.iter().filter(|whom| whom.is_in(scene)).count();
        let least = of_scene
            .map(|(_, count)| times(*count).len())
            .sum::<usize>()
            * whom;
        let first: BTreeSet<String> = all
            .iter()
            .map(|t| t.split('/').collect::<Vec<_>>())
            .map(|t| [t[0], t[1], t[3]].join("/"))
            .take(least)
            .collect();
        assert!(first.len() == least && least > 100);
        assert!(met.len() >= first.len() && all != drawn(2) && all == drawn(1));
        assert_eq!(
            all.iter().collect::<BTreeSet<_>>().len(),
            all.len(),
            "none comes twice"
        );
        // All that befalls somebody does something, and is undone.
        for text in &all {
            let trouble: Trouble = text.parse().expect("a trouble");
            let steps = trouble.steps(scene, 6, &mut fastrand::Rng::with_seed(1));
            assert!(
                !steps.is_empty() && steps.iter().all(|s| s.may_fail && s.after.is_some()),
                "{text}"
            );
        }
    }
}
