//! Plays a schedule.

use super::sites::Site;
use super::{After, Deed, Fleet, Kept, Scenario, Which};
use crate::cold_start::NotPlayed;
use crate::directory::Directory;
use crate::keepers::{Keepers, Led};
use crate::partner::Partner;
use crate::policy::{Order, Ordered, People, Policies};
use crate::record::{Goes, Record, Verdict};
use crate::relay::{Fault, Relay};
use crate::rules::{script, Switch, OWN, RARE, RARE_CLASS};
use crate::sayings::{Sayings, Wait};
use crate::sender::{Log, NoSender, Sender, CLASS};
use crate::stage::{Ground, Stage, Told, DESTS, LEFT};
use crate::tables::TableOrder;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients at once: each is a thread, and has another one at its endpoint. With four plays in a
/// process that is far from the 65,530 maps that a process has, of which a thread takes two. What
/// would be handed in beyond waits.
const CLIENTS: usize = 2_000;
/// Breaches that are told one by one.
const TOLD: usize = 20;
/// An order of a person is given again until it is taken, for so long.
const ORDERED: Duration = Duration::from_secs(30);
/// Between two attempts.
const AGAIN: Duration = Duration::from_millis(100);
/// A play that may end early does so when all has stood well for so long.
const WELL: Duration = Duration::from_secs(1);
/// What the sites of a play are in.
const FEDERATION: &str = "rig";
/// Stands for the other sites on lines to what these learn by an order.
const LEARNT: &str = "*";
/// Between two looks at what is due.
const LOOK: Duration = Duration::from_millis(5);

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Steps that were taken.
    pub steps: usize,
    /// Those that could come and did not.
    pub never: usize,
    /// How long it was played, in seconds.
    pub played_s: f64,
    /// Messages that were handed in.
    pub handed: usize,
    /// Most that were taken on and had no end when a step came.
    pub held: usize,
    /// Those that were taken on.
    pub taken_on: usize,
    /// Those of them that were delivered.
    pub delivered: usize,
    /// Asks for the list.
    pub asks: u32,
    /// Those that failed.
    pub failed: u32,
    /// Lists that were written in full.
    pub told: usize,
    /// Answers that lines broke off.
    pub broken_off: u32,
    /// Connections to endpoints.
    pub connections: u32,
    /// Most that were open at one endpoint.
    pub most_open: u32,
    /// Times that an endpoint fell over.
    pub toppled: usize,
    /// Senders that left a zone.
    pub left: usize,
    /// Senders that use one again that they had left.
    pub again: usize,
    /// Processes that ended by themselves, or badly when told to.
    pub crashed: usize,
    /// What the rules say.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// What people ordered, and what came of it.
    pub ordered: Vec<Ordered>,
    /// Zones that went from one policy to the next, as clients saw it.
    pub switches: Vec<Switch>,
    /// Sites that went from one table to the next, as clients saw it.
    pub tables: Vec<Switch>,
    /// What was wanted and did not come out.
    pub missed: Vec<String>,
    /// The first breaches, in words.
    pub breaches: Vec<String>,
}

impl Outcome {
    /// Whether all is as it should be.
    pub fn is_good(&self) -> bool {
        self.verdict == Verdict::default() && self.crashed == 0 && self.missed.is_empty()
    }
}

/// A fleet under a schedule.
struct Play<'a> {
    scenario: &'a Scenario,
    record: Arc<Record>,
    stage: &'a Stage,
    senders: Vec<Sender>,
    lines: Vec<Relay>,
    sites: Vec<Place>,
    /// Faults of the lines that lead from a site to the keepers of another.
    between: BTreeMap<(usize, usize), Fault>,
    /// The last one that was said to lead the federation, by its term.
    lead: Arc<Mutex<(u64, String)>>,
    people: People,
    /// Those that should run.
    run: Vec<bool>,
    /// Those that were told to end.
    ending: Vec<bool>,
    crashed: usize,
    held: usize,
    said: Arc<Sayings>,
    /// The one that logged what the step waited for that is being taken.
    speaker: Option<String>,
    /// Where orders are given: the program and the file.
    person: Option<(PathBuf, PathBuf)>,
    /// Orders that were given and not yet taken.
    orders: Arc<AtomicUsize>,
    /// Numbers of keepers that lost what their folder held: an order to add one of them is refused
    /// for good, and rightly.
    lost: Arc<Mutex<BTreeSet<String>>>,
    /// For what is drawn as steps are taken.
    random: fastrand::Rng,
}

/// A site, and its number in the federation.
struct Place {
    site: Site,
    number: u64,
    keepers: Option<Keepers>,
}

impl Place {
    /// Its keepers that are meant by a word that names no site, as things stand.
    fn those(&self, which: &Which, is_speaker: impl Fn(usize) -> bool) -> Vec<usize> {
        let Some(keepers) = &self.keepers else {
            return Vec::new();
        };
        let leader = keepers.leader();
        let mut first = 0..self.site.keepers;
        let follower =
            first.find(|n| leader != Some(*n) && keepers.runs(*n) && !keepers.is_out(*n));
        let is_meant = |n: &usize| match which {
            Which::All => true,
            Which::Leader => leader == Some(*n),
            Which::Others => leader != Some(*n),
            Which::Down => !keepers.runs(*n),
            Which::Stopped => keepers.is_stopped(*n),
            Which::Follower => follower == Some(*n),
            Which::Speaker => is_speaker(*n),
            Which::These(these) => these.contains(n),
            Which::At(..) | Which::Exactly(_) => false,
        };
        (0..keepers.count()).filter(is_meant).collect()
    }

    /// Whether nobody there hears anything: all are dead or stand still.
    fn is_dead(&self) -> bool {
        let silent = |k: &Keepers| (0..k.count()).all(|n| !k.runs(n) || k.is_stopped(n));
        self.keepers.as_ref().is_some_and(silent)
    }
}

/// What the program says of who leads a federation: the term, and the site by its number or name.
fn leads(line: &str) -> Option<(u64, String)> {
    let (site, term) = line
        .split_once(": site ")?
        .1
        .split_once(" leads in term ")?;
    let term = term
        .split(|c: char| !c.is_ascii_digit())
        .next()?
        .parse()
        .ok()?;
    Some((term, site.to_string()))
}

impl Play<'_> {
    /// The sites that a word means, as things stand.
    fn sites(&self, word: &str) -> Vec<usize> {
        let lead = self
            .lead
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .1
            .clone();
        let leads = |p: &Place| p.site.name == lead || p.number.to_string() == lead;
        let lead = self.sites.iter().position(leads).unwrap_or(0);
        let speaks = |s: &usize| {
            let name = self.speaker.as_deref().unwrap_or_default();
            let sender = self.senders.iter().position(|sender| sender.name == name);
            let keeper = name
                .split_once('/')
                .is_some_and(|(site, _)| site == self.sites[*s].site.name);
            keeper || sender.is_some_and(|n| self.scenario.site_of(n) == *s)
        };
        let is_meant = |s: &usize| match word {
            "all" => true,
            "lead" => *s == lead,
            "led" => *s == usize::from(lead == 0),
            "speaker" => speaks(s),
            name => self.sites[*s].site.name == name,
        };
        (0..self.sites.len()).filter(is_meant).collect()
    }

    /// The keepers that are meant, as things stand, each with its site.
    fn keepers(&self, which: &Which) -> Vec<(usize, usize)> {
        let (sites, which) = match which {
            Which::Exactly(these) => return these.clone(),
            Which::At(site, which) => (self.sites(site), which.as_ref()),
            which => ((0..self.sites.len()).collect(), which),
        };
        let of_site = |s: usize| {
            let speaks = |n| self.speaker.as_deref() == Some(self.scenario.keeper((s, n)).as_str());
            self.sites[s]
                .those(which, speaks)
                .into_iter()
                .map(move |n| (s, n))
        };
        sites.into_iter().flat_map(of_site).collect()
    }

    /// Does something with each keeper that is meant.
    fn with_keepers(
        &mut self,
        which: &Which,
        mut does: impl FnMut(&mut Keepers, usize) -> Result<(), NoSender>,
    ) -> Result<(), NoSender> {
        let meant = self.keepers(which);
        meant
            .into_iter()
            .try_for_each(|(s, n)| match &mut self.sites[s].keepers {
                Some(keepers) => does(keepers, n),
                None => Ok(()),
            })
    }

    /// Whether somebody has said something.
    fn said(&self, after: &After) -> bool {
        let by_sender = |s: &Sender| {
            (s.name == after.who || after.who == "senders") && s.log().said(&after.says)
        };
        let by_keeper = |(s, n): (usize, usize)| {
            let meant = after.who == "keepers" || after.who == self.scenario.keeper((s, n));
            meant
                && self.sites[s]
                    .keepers
                    .as_ref()
                    .is_some_and(|k| k.log(n).said(&after.says))
        };
        self.senders.iter().any(by_sender) || self.keepers(&Which::All).into_iter().any(by_keeper)
    }

    /// Which sites are away, now that something has happened; `before` is when it had not yet.
    fn look_at_sites(&self, before: Instant) {
        if self.scenario.sites.is_empty() {
            return;
        }
        let dumb = |from: usize, to: usize| {
            let fault = self.between.get(&(from, to)).copied().unwrap_or_default();
            fault.cut || fault.refuse || fault.silent_up && fault.silent_down
        };
        for (s, place) in self.sites.iter().enumerate() {
            let mut others = (0..self.sites.len()).filter(|o| *o != s).peekable();
            let cut = others.peek().is_some() && others.all(|o| dumb(s, o) && dumb(o, s));
            let away = cut || place.is_dead();
            let since = if away { Instant::now() } else { before };
            self.record
                .routing(|r| r.away(&place.site.name, away, since));
        }
    }

    /// What the keepers of a site are told of the federation.
    fn federate(&mut self, s: usize, begin: bool, formerly: Option<u64>) {
        let mut told = self
            .scenario
            .fleet
            .as_ref()
            .map(|f| f.federation.clone())
            .unwrap_or_default();
        let me = &self.sites[s].site.name;
        told.insert("name".into(), FEDERATION.into());
        told.insert("number".into(), (self.sites[s].number as i64).into());
        told.insert("begin".into(), begin.into());
        told.extend(formerly.map(|number| ("formerly".to_string(), (number as i64).into())));
        let others = self.sites.iter().filter(|p| p.site.name != *me).map(|p| {
            let at = p
                .keepers
                .as_ref()
                .map(|k| k.reached_from_site(me))
                .unwrap_or_default();
            let mut other = toml::Table::new();
            other.insert("number".into(), (p.number as i64).into());
            other.insert("name".into(), p.site.name.clone().into());
            other.insert("at".into(), at.into());
            toml::Value::Table(other)
        });
        told.insert("site".into(), others.collect::<Vec<_>>().into());
        self.sites[s]
            .keepers
            .iter_mut()
            .for_each(|k| k.in_federation(told.clone()));
    }

    /// A person orders something of tables or sites.
    fn order_table(
        &mut self,
        order: &TableOrder,
        by: &Which,
        patient_s: u64,
    ) -> Result<(), NotPlayed> {
        let (s, first) = self.keepers(by).first().copied().unwrap_or_default();
        let reached = |site: &String| {
            let place = self.sites.iter().find(|p| p.site.name == *site)?;
            Some(place.keepers.as_ref()?.reached_from_site(LEARNT))
        };
        let at = match order {
            TableOrder::Join { site, .. } => reached(site).unwrap_or_default(),
            _ => Vec::new(),
        };
        let file = self.people.path("table");
        let words = order.words(&self.scenario.tables, &self.scenario.places(), &file, &at)?;
        let patient = (patient_s > 0).then(|| Duration::from_secs(patient_s));
        let fleet = self.sites[s]
            .keepers
            .as_ref()
            .map(|k| k.orders_file(first))
            .unwrap_or_default();
        Ok(self
            .people
            .give(Order::Table(order.clone()), &words, &fleet, patient)?)
    }

    /// The lines from one site to another have this fault.
    fn between(&mut self, from: usize, to: usize, fault: Fault) {
        self.between.insert((from, to), fault);
        let Some(keepers) = &self.sites[to].keepers else {
            return;
        };
        keepers.from_site(&self.sites[from].site.name, fault);
        // What all learn by an order has one line for all.
        let mut others = (0..self.sites.len()).filter(|o| *o != to);
        if others.all(|o| self.between.get(&(o, to)).copied().unwrap_or_default() == fault) {
            keepers.from_site(LEARNT, fault);
        }
    }

    /// A person gives an order, and again until it is taken.
    fn order(&self, words: Vec<String>) {
        let Some((program, file)) = self.person.clone() else {
            return;
        };
        let (orders, lost) = (self.orders.clone(), self.lost.clone());
        let is_moot = move |words: &[String]| {
            let lost = lost.lock().unwrap_or_else(|e| e.into_inner());
            matches!(words, [what, order, number, ..] if what == "keeper" && order == "add" && lost.contains(number))
        };
        orders.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            let begun = Instant::now();
            while begun.elapsed() < ORDERED {
                let mut given = Command::new(&program);
                given.arg("fleet").args(&words).arg("--file").arg(&file);
                let ended = given.stdout(Stdio::null()).stderr(Stdio::null()).status();
                if ended.is_ok_and(|ended| ended.success()) || is_moot(&words) {
                    orders.fetch_sub(1, Ordering::SeqCst);
                    return;
                }
                thread::sleep(AGAIN);
            }
        });
    }

    /// Senders can hear no keeper, or can again.
    fn cut_off(&self, senders: &[String], cut: bool) {
        if self.scenario.fleet.as_ref().is_some_and(Fleet::follows) {
            self.record
                .rules(|r| r.cut(senders.iter().map(String::as_str), cut, Instant::now()));
        }
    }

    /// Senders of a zone; all, if none is named.
    fn of_zone(&self, zone: Option<&str>) -> Vec<String> {
        let zones = &self.scenario.zones;
        let there = |n: &usize| zone.is_none_or(|zone| zones[n % zones.len()] == zone);
        (0..self.senders.len())
            .filter(there)
            .map(|n| self.senders[n].name.clone())
            .collect()
    }

    /// Senders of a site.
    fn at_site(&self, s: usize) -> Vec<String> {
        let there = |n: &usize| self.scenario.site_of(*n) == s;
        (0..self.senders.len())
            .filter(there)
            .map(|n| self.senders[n].name.clone())
            .collect()
    }

    fn directories(&self, does: impl Fn(&Directory)) {
        self.stage.directories().for_each(does);
    }

    fn partner(&self, uid: &str) -> Option<&Partner> {
        let number: usize = uid.strip_prefix('s')?.parse().ok()?;
        self.stage.partners.get(number)
    }

    fn crashed_keepers(&mut self) -> usize {
        self.sites
            .iter_mut()
            .filter_map(|p| p.keepers.as_mut())
            .map(Keepers::crashed)
            .sum()
    }

    fn hears(&self, n: usize, hears: bool) {
        self.record.deaf(&self.senders[n].name, !hears);
    }

    /// Waits for a process that was told to end.
    fn ended(&mut self, n: usize) {
        if std::mem::take(&mut self.ending[n]) {
            self.crashed += usize::from(!self.senders[n].ended_well());
        }
    }

    /// Starts keepers that do not run.
    fn start_keepers(&mut self, which: &Which) -> Result<(), NoSender> {
        let those = self.keepers(which);
        let sites: BTreeSet<usize> = those.iter().map(|(s, _)| *s).collect();
        sites
            .into_iter()
            .for_each(|s| self.cut_off(&self.at_site(s), false));
        for (s, n) in those {
            let name = self.scenario.keeper((s, n));
            let Some(keepers) = self.sites[s].keepers.as_mut().filter(|k| !k.runs(n)) else {
                continue;
            };
            self.record.keeper_starts(&name);
            keepers.start(n)?;
        }
        Ok(())
    }

    /// Those who stand in it are cut off where all keepers of a site are dead.
    fn cut_off_from_dead(&self) {
        for (s, place) in self.sites.iter().enumerate() {
            let none_runs = |k: &Keepers| (0..k.count()).all(|n| !k.runs(n));
            if place.keepers.as_ref().is_some_and(none_runs) {
                self.cut_off(&self.at_site(s), true);
            }
        }
    }

    fn does(&mut self, deed: &Deed, which: &[usize]) -> Result<(), NotPlayed> {
        let before = Instant::now();
        self.do_it(deed, which)?;
        self.look_at_sites(before);
        Ok(())
    }

    fn do_it(&mut self, deed: &Deed, which: &[usize]) -> Result<(), NotPlayed> {
        match deed {
            Deed::Start => {
                for &n in which {
                    self.ended(n);
                    if self.senders[n].lives() {
                        continue;
                    }
                    self.record.starts(&self.senders[n].name);
                    self.senders[n].spawn()?;
                    self.run[n] = true;
                }
            }
            Deed::Kill => {
                for &n in which {
                    self.crashed += usize::from(self.run[n] && !self.senders[n].lives());
                    self.senders[n].kill();
                    self.run[n] = false;
                }
            }
            Deed::TellToEnd => {
                for &n in which {
                    self.senders[n].tell_to_end();
                    self.ending[n] |= std::mem::take(&mut self.run[n]);
                }
            }
            Deed::Stop | Deed::GoOn => {
                for &n in which {
                    self.senders[n].stopped(*deed == Deed::Stop);
                    self.hears(n, *deed != Deed::Stop);
                    self.cut_off(&[self.senders[n].name.clone()], *deed == Deed::Stop);
                }
            }
            Deed::Move => {
                for &n in which {
                    let directory = self.stage.directory_of(self.scenario.site_of(n));
                    self.senders[n].move_line(directory, &mut self.lines[n])?;
                }
                // It is told to all as nearly at once as can be.
                which.iter().for_each(|&n| self.senders[n].hang_up());
            }
            Deed::HangUp => which.iter().for_each(|&n| self.senders[n].hang_up()),
            Deed::LoseFolder => {
                for &n in which {
                    self.ended(n);
                    self.senders[n].lose_folder()?;
                }
            }
            Deed::Line(fault) => {
                for &n in which {
                    self.hears(n, *fault == Fault::default());
                    self.record.line_broken(&self.senders[n].name);
                    self.lines[n].set(*fault);
                }
            }
            Deed::DirectoryDown => self.directories(|d| d.down(true)),
            Deed::DirectoryBack => self.directories(|d| d.down(false)),
            Deed::Busy(busy) => self.directories(|d| d.busy(*busy)),
            Deed::RefusesAfterMs(ms) => {
                self.directories(|d| d.refuses_after(Duration::from_millis(*ms)));
            }
            Deed::ResetWatches => self.directories(|d| d.resets_watches()),
            Deed::Quiet(quiet) => self.directories(|d| d.quiet(*quiet)),
            Deed::AskMs(ms) => self.directories(|d| d.takes(Duration::from_millis(*ms))),
            Deed::Drain(uid) => self.directories(|d| d.change(uid, "leaving")),
            Deed::Leave(uid) => self.directories(|d| d.change(uid, "left")),
            Deed::Return(uid) => self.directories(|d| d.change(uid, "active")),
            Deed::ZoneDies { zone, how } => self
                .stage
                .ground
                .of_zone(zone)
                .try_for_each(|n| self.stage.partners[n].dies(*how))?,
            Deed::ZoneBack(zone) => self
                .stage
                .ground
                .of_zone(zone)
                .try_for_each(|n| self.stage.partners[n].lives())?,
            Deed::ZoneUnlisted(zone) | Deed::ZoneListed(zone) => {
                let now = if matches!(deed, Deed::ZoneListed(_)) {
                    "active"
                } else {
                    "left"
                };
                let those = self.stage.ground.of_zone(zone);
                those.for_each(|n| self.directories(|d| d.change(&format!("s{n}"), now)));
            }
            Deed::EndpointDies { endpoint, how } => {
                self.partner(endpoint).map_or(Ok(()), |p| p.dies(*how))?
            }
            Deed::EndpointLines { zone, fault } => {
                for n in self.stage.ground.of_zone(zone) {
                    self.stage.partners[n].line()?.set(*fault);
                }
            }
            Deed::KeeperStart(which) => self.start_keepers(which)?,
            Deed::Policy { order, by } => {
                let (s, first) = self.keepers(by).first().copied().unwrap_or_default();
                if let Some(keepers) = &self.sites[s].keepers {
                    self.people
                        .order(&self.scenario.policies, order, keepers, first)?;
                }
            }
            Deed::KeeperKill(which) => {
                self.crashed += self.crashed_keepers();
                self.with_keepers(which, |k, n| {
                    k.kill(n);
                    Ok(())
                })?;
                self.cut_off_from_dead();
            }
            Deed::KeeperStop(which) | Deed::KeeperGoOn(which) => {
                let stop = matches!(deed, Deed::KeeperStop(_));
                self.with_keepers(which, |k, n| {
                    k.stopped(n, stop);
                    Ok(())
                })?;
            }
            Deed::KeeperLoseFolder(which) => self.with_keepers(which, |k, n| k.lose_folder(n))?,
            Deed::KeeperBeginAnew(which) => self.with_keepers(which, |k, n| {
                k.begins_anew(n);
                k.lose_folder(n)
            })?,
            Deed::KeeperForget(which) | Deed::KeeperTear(which) => {
                let (forgets, draw) = (matches!(deed, Deed::KeeperForget(_)), self.random.f64());
                let those = self.keepers(which);
                let numbers = those.iter().map(|(_, n)| (n + 1).to_string());
                self.lost
                    .lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .extend(numbers);
                let these = Which::Exactly(those);
                self.does(&Deed::KeeperKill(these.clone()), &[])?;
                self.with_keepers(&these, |k, n| {
                    if forgets {
                        k.lose_folder(n)
                    } else {
                        k.tear_folder(n, draw)
                    }
                })?;
                self.start_keepers(&these)?;
            }
            Deed::KeeperFull(which) | Deed::KeeperRoom(which) => {
                let full = matches!(deed, Deed::KeeperFull(_));
                self.with_keepers(which, |k, n| {
                    k.full(n, full);
                    Ok(())
                })?;
            }
            Deed::KeeperAdd(which) | Deed::KeeperRemove(which) => {
                let adds = matches!(deed, Deed::KeeperAdd(_));
                for (s, n) in self.keepers(which) {
                    let Some(keepers) = &mut self.sites[s].keepers else {
                        continue;
                    };
                    let (at, number) = (keepers.address(n), (n + 1).to_string());
                    let word = |word: &str| word.to_string();
                    if adds {
                        let at = at.map(|at| at.to_string()).unwrap_or_default();
                        self.order(vec![word("keeper"), word("add"), number, at]);
                    } else {
                        keepers.may_end(n);
                        self.order(vec![word("keeper"), word("remove"), number]);
                    }
                }
            }
            Deed::Order(words) => self.order(words.clone()),
            Deed::Table {
                order,
                by,
                patient_s,
            } => self.order_table(order, by, *patient_s)?,
            Deed::SiteLines {
                from,
                to,
                both,
                fault,
            } => {
                for from in self.sites(from) {
                    for to in self.sites(to).into_iter().filter(|to| *to != from) {
                        self.between(from, to, *fault);
                        if *both {
                            self.between(to, from, *fault);
                        }
                    }
                }
            }
            Deed::SiteAnew {
                site,
                number,
                keeps,
            } => {
                for s in self.sites(site) {
                    let before = std::mem::replace(&mut self.sites[s].number, *number);
                    self.federate(s, false, keeps.then_some(before));
                    let keepers = self.sites[s].keepers.as_mut().filter(|_| !keeps);
                    let Some(keepers) = keepers else { continue };
                    for n in 0..keepers.count() {
                        keepers.begins_anew(n);
                        keepers.lose_folder(n)?;
                    }
                }
            }
            Deed::KeeperLines { from, to, fault } => {
                let to = self.keepers(to);
                for (s, from) in self.keepers(from) {
                    let Some(keepers) = &self.sites[s].keepers else {
                        continue;
                    };
                    let here = to.iter().filter(|(site, _)| *site == s);
                    here.for_each(|(_, to)| keepers.between(from, *to, *fault));
                }
            }
            Deed::AgentLines { zone, to, fault } => {
                let dumb = fault.cut || fault.refuse || fault.silent_up || fault.silent_down;
                let to = self.keepers(to);
                for (s, place) in self.sites.iter().enumerate() {
                    let Some(keepers) = &place.keepers else {
                        continue;
                    };
                    let here: Vec<usize> = to
                        .iter()
                        .filter(|(site, _)| *site == s)
                        .map(|(_, n)| *n)
                        .collect();
                    let zones = place
                        .site
                        .zones
                        .iter()
                        .filter(|z| zone.as_ref().is_none_or(|zone| zone == *z));
                    for zone in zones {
                        here.iter()
                            .for_each(|n| keepers.from_zone(zone, *n, *fault));
                        if here.len() == keepers.count() {
                            self.cut_off(&self.of_zone(Some(zone)), dumb);
                        }
                    }
                }
            }
            Deed::EndpointBack(endpoint) => {
                self.partner(endpoint).map_or(Ok(()), Partner::lives)?
            }
        }
        Ok(())
    }
}

/// Plays it with a program.
///
/// # Errors
/// Stand-ins or processes could not be started.
pub fn play(scenario: &Scenario, program: &Path, seed: u64) -> Result<Outcome, NotPlayed> {
    play_seen(scenario, program, seed).map(|(outcome, ..)| outcome)
}

/// The same; also the record, and which keepers led.
pub(crate) fn play_seen(
    scenario: &Scenario,
    program: &Path,
    seed: u64,
) -> Result<(Outcome, Arc<Record>, Vec<Led>), NotPlayed> {
    play_heard(scenario, program, seed, Vec::new())
        .map(|(outcome, record, led, _)| (outcome, record, led))
}

/// What [`play_heard`] brings.
pub(crate) type Heard = (Outcome, Arc<Record>, Vec<Led>, Vec<Wait>);

/// The same; also how often each of these was said.
pub(crate) fn play_heard(
    scenario: &Scenario,
    program: &Path,
    seed: u64,
    counted: Vec<Wait>,
) -> Result<Heard, NotPlayed> {
    let wait = |after: &After| Wait {
        who: after.who.clone(),
        says: after.says.clone(),
        since: Duration::from_secs_f64(after.since_s),
        times: after.times,
        heard: 0,
        at: None,
    };
    // A step that waits for no line waits for one that nobody says.
    let steps = scenario
        .steps
        .iter()
        .map(|step| step.after.as_ref().map(wait).unwrap_or_else(Wait::none));
    let waits = steps.chain(scenario.wanted.unsaid.iter().map(wait));
    let waits = waits
        .chain(scenario.tables.until.iter().map(wait))
        .chain(counted);
    let places = scenario.places();
    let sites = scenario.sites.iter().flat_map(|_| 0..scenario.senders);
    let sites = sites.map(|n| (format!("n{n}"), places[scenario.site_of(n)].name.clone()));
    let said = Arc::new(Sayings::new(waits.collect(), sites.collect()));
    let is_gone =
        |n: usize| scenario.kept == Kept::Gone || scenario.kept == Kept::ThirdGone && n % 3 == 0;
    let [call, ask] = [scenario.call_ms, scenario.ask_ms].map(Duration::from_millis);
    let ground = Ground {
        endpoints: scenario.endpoints,
        zones: scenario.zones.clone(),
        call,
        terms: scenario.limits,
        lines: scenario.endpoint_lines,
    };
    let mut stage = Stage::on(ground, ask, is_gone)?;
    stage.sites(places.len())?;
    let record = &stage.record;
    let balancers = scenario.balancers.unwrap_or(scenario.senders);
    let policies = &scenario.policies;
    let told = Told {
        program,
        seed,
        balancers,
        rare: policies.rare > 0.0,
    };
    let (mut senders, mut lines) = (Vec::new(), Vec::new());
    let (mut sites, lead) = (Vec::new(), Arc::<Mutex<(u64, String)>>::default());
    for (s, site) in places.iter().enumerate() {
        let others = scenario
            .sites
            .iter()
            .filter(|other| other.name != site.name)
            .map(|o| o.name.clone());
        let others: Vec<String> = others
            .chain(scenario.sites.iter().take(1).map(|_| LEARNT.into()))
            .collect();
        let latency = Duration::from_millis(scenario.site_delay_ms);
        let mut keepers = None;
        if let Some(fleet) = &scenario.fleet {
            let (site, count) = (
                (site.name.as_str(), &others[..], latency),
                (site.keepers, site.spare),
            );
            let rules = fleet.rules(&scenario.limits);
            let mut new = Keepers::of_site(program, site, count, &places[s].zones, &rules)?;
            let names: Vec<String> = (0..new.count()).map(|n| scenario.keeper((s, n))).collect();
            let (record, said, lead) = (record.clone(), said.clone(), lead.clone());
            new.heard_by(Arc::new(move |n: usize, line: &str| {
                record.keeper_logs(&names[n], line);
                if let Some(leads) = leads(line) {
                    let mut lead = lead.lock().unwrap_or_else(|e| e.into_inner());
                    *lead = leads.max(lead.clone());
                }
                said.hear(&names[n], line);
            }));
            keepers = Some(new);
        }
        sites.push(Place {
            site: site.clone(),
            number: s as u64 + 1,
            keepers,
        });
    }
    let folder = tempfile::TempDir::new()?;
    let mut person = None;
    if let Some(keepers) = &sites[0].keepers {
        let file = folder.path().join("people.toml");
        std::fs::write(&file, keepers.orders_file(0))?;
        person = Some((program.to_path_buf(), file));
    }
    for n in 0..scenario.senders {
        let site = scenario.site_of(n);
        let directory = stage.directories().nth(site).unwrap_or(&stage.directory);
        let line = Relay::start(directory.address)?;
        let lacks = policies.without_rare.contains(&format!("n{n}"));
        let mut sender = stage.sender(
            &Told {
                rare: told.rare && !lacks,
                ..told
            },
            n,
            line.address,
        )?;
        if policies.own_script {
            sender.hooked(&script(OWN, ""))?;
        }
        if let (Some(keepers), Some(fleet)) = (&sites[site].keepers, &scenario.fleet) {
            let zone = &scenario.zones[n % scenario.zones.len()];
            let mut file = keepers.fleet_file(zone, fleet.report_ms);
            for (name, told) in [("policy", &fleet.policy), ("table", &fleet.table)] {
                let told = told
                    .iter()
                    .map(|told| (name.to_string(), told.clone().into()));
                file += &toml::Table::from_iter(told).to_string();
            }
            if fleet.follows() {
                record.rules(|r| r.stands(&sender.name, zone));
            }
            if !scenario.sites.is_empty() {
                record.routing(|r| r.stands(&sender.name, &places[site].name));
            }
            sender.follows(&file)?;
        }
        let (record, said, name) = (record.clone(), said.clone(), sender.name.clone());
        sender.heard_by(Arc::new(move |line: &str| {
            record.logs(&name, line);
            said.hear(&name, line);
        }));
        directory.names(line.address.port(), &sender.name);
        senders.push(sender);
        lines.push(line);
    }
    if let Some(fleet) = scenario.fleet.as_ref().filter(|f| f.follows()) {
        record.rules(|r| policies.begin(r, fleet));
        if let Some(lease) = fleet.site_lease().filter(|_| !scenario.sites.is_empty()) {
            record.routing(|r| r.lease(lease));
        }
    }
    let (run, ending) = (vec![false; senders.len()], vec![false; senders.len()]);
    let mut play = Play {
        scenario,
        record: record.clone(),
        stage: &stage,
        senders,
        lines,
        sites,
        between: BTreeMap::new(),
        lead,
        people: People::new(program)?,
        run,
        ending,
        crashed: 0,
        held: 0,
        said: said.clone(),
        speaker: None,
        person,
        orders: Arc::default(),
        lost: Arc::default(),
        random: fastrand::Rng::with_seed(seed ^ 2),
    };
    (0..scenario.sites.len()).for_each(|s| play.federate(s, true, None));
    let begun = Instant::now();
    let Went {
        steps,
        never,
        handed,
        well,
        over,
    } = run_through(&mut play, seed)?;
    let (played_s, not_ordered) = (
        begun.elapsed().as_secs_f64(),
        play.orders.load(Ordering::SeqCst),
    );
    record.settle(LEFT + Duration::from_secs(2));
    (0..scenario.senders).for_each(|n| play.ended(n));
    let dead = play
        .senders
        .iter_mut()
        .zip(&play.run)
        .map(|(s, run)| usize::from(*run && !s.lives()));
    let mut crashed = play.crashed + dead.sum::<usize>();
    crashed += play.crashed_keepers();
    let mut broken_off: u32 = play.lines.iter().map(Relay::broken).sum();
    if scenario.endpoint_lines {
        for partner in &stage.partners {
            broken_off += partner.line()?.broken();
        }
    }
    let ordered = play.people.ordered();
    if !ordered.is_empty() {
        record.rules(|r| Policies::end(r, &ordered));
    }
    if !scenario.sites.is_empty() {
        record.routing(|r| scenario.tables.end(r, &ordered));
    }
    let keepers = || play.sites.iter().filter_map(|p| p.keepers.as_ref());
    let mut said_of: Vec<(Instant, String)> = Vec::new();
    for (place, keepers) in play
        .sites
        .iter()
        .filter_map(|p| Some((p, p.keepers.as_ref()?)))
    {
        let name = &place.site.name;
        said_of.extend(
            keepers
                .policies()
                .into_iter()
                .map(|(at, line)| (at, format!("{name} {line}"))),
        );
    }
    said_of.sort();
    record.seen().said = said_of;
    let (held, led) = (play.held, keepers().flat_map(Keepers::led).collect());
    drop(play);
    let (verdict, (taken_on, delivered)) = (record.verdict(), record.ends());
    let seen = record.seen();
    let mut outcome = Outcome {
        steps,
        never,
        played_s,
        handed,
        held,
        taken_on,
        delivered,
        asks: seen.asks,
        failed: seen.failed,
        told: seen.told.len(),
        broken_off,
        connections: seen.connections,
        most_open: seen.most_open,
        toppled: seen.toppled.len(),
        left: seen.those_that(Goes::Left),
        again: seen.those_that(Goes::Back),
        crashed,
        verdict,
        ordered,
        switches: seen
            .rules
            .as_ref()
            .map(|r| r.switches(&seen.lives))
            .unwrap_or_default(),
        tables: seen
            .routing
            .as_ref()
            .map(|r| r.switches(&seen.lives))
            .unwrap_or_default(),
        missed: Vec::new(),
        breaches: seen
            .breaches()
            .into_iter()
            .chain(seen.strayed())
            .chain(
                seen.twice
                    .iter()
                    .chain(&seen.disagreed)
                    .chain(&seen.ran_twice)
                    .map(String::as_str),
            )
            .map(str::to_string)
            .chain(seen.rules.iter().flat_map(|r| r.breaches(&seen.lives)))
            .chain(seen.routing.iter().flat_map(|r| r.breaches(&seen.lives)))
            .take(TOLD)
            .collect(),
    };
    let wanted = &scenario.wanted;
    let mut heard = said.waits().split_off(scenario.steps.len());
    let unsaid: Vec<Wait> = heard.drain(..wanted.unsaid.len()).collect();
    heard.drain(..scenario.tables.until.len());
    let missed = [
        ("steps", steps + never < scenario.steps.len()),
        ("well", scenario.until_well && !well),
        ("orders", not_ordered > 0),
        (
            "delivered",
            (delivered as f64) < wanted.delivered * taken_on as f64,
        ),
        ("asks", wanted.asks.is_some_and(|most| outcome.asks > most)),
        (
            "toppled",
            wanted.toppled.is_some_and(|most| outcome.toppled > most),
        ),
        (
            "left",
            outcome.left < wanted.left || wanted.most_left.is_some_and(|most| outcome.left > most),
        ),
        ("again", outcome.again < wanted.again),
        ("held", held < wanted.held),
        ("broken_off", broken_off < wanted.broken_off),
        ("unsaid", unsaid.iter().any(|wait| wait.at.is_some())),
        ("taken_on", taken_on == 0),
        (
            "switched",
            wanted.switched.is_some_and(|n| outcome.switches.len() != n),
        ),
        ("tables", outcome.tables.len() < wanted.tables),
        (
            "refused_orders",
            outcome.ordered.iter().filter(|o| o.was_refused()).count() != wanted.refused_orders,
        ),
        (
            "until",
            (scenario.policies.until.is_some() || !scenario.tables.until.is_empty()) && !over,
        ),
    ];
    outcome.missed = missed
        .iter()
        .filter(|m| m.1)
        .map(|m| m.0.to_string())
        .collect();
    drop(seen);
    Ok((outcome, record.clone(), led, heard))
}

/// How a play went.
struct Went {
    /// Steps that were taken.
    steps: usize,
    /// Those that could come and did not.
    never: usize,
    /// Messages that were handed in.
    handed: usize,
    /// All steps were taken, and no sender was out of a zone at the end.
    well: bool,
    /// What ends it was said.
    over: bool,
}

/// Takes the steps as they come due and hands messages in.
fn run_through(play: &mut Play, seed: u64) -> Result<Went, NotPlayed> {
    let begun = Instant::now();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut open: Vec<usize> = (0..play.scenario.steps.len()).collect();
    // What is to be undone, and when.
    let mut undone: Vec<(Instant, Deed, Vec<usize>)> = Vec::new();
    let (mut handed, mut clients, mut well_since) = (0, Vec::new(), None);
    let policies = &play.scenario.policies;
    let tables = &play.scenario.tables;
    let rest_s = if tables.until.is_empty() {
        policies.rest_s
    } else {
        tables.rest_s
    };
    let (rest, mut over) = (Duration::from_secs_f64(rest_s), None);
    let until = play.scenario.steps.len() + play.scenario.wanted.unsaid.len();
    let until = until..until + tables.until.len();
    while begun.elapsed().as_secs_f64() < play.scenario.lasts_s {
        if let (None, Some(until)) = (over, &policies.until) {
            let since = begun.elapsed().as_secs_f64() >= until.since_s;
            over = (since && play.said(until)).then(Instant::now);
        }
        if over.is_none() && !until.is_empty() {
            let said = play.said.waits()[until.clone()]
                .iter()
                .all(|wait| wait.at.is_some());
            over = said.then(Instant::now);
        }
        if over.is_some_and(|over: Instant| over.elapsed() >= rest) {
            break;
        }
        let mut due: Vec<(Instant, usize, Option<String>)> = Vec::new();
        for &n in &open {
            let step = &play.scenario.steps[n];
            // When a step may come, as far as that is known, and who said so.
            let from = match step.after {
                None => Some((begun, None)),
                Some(_) => play.said.waits()[n]
                    .at
                    .clone()
                    .map(|(at, who)| (at, Some(who))),
            };
            let at = from.map(|(from, who)| (from + Duration::from_secs_f64(step.at_s), who));
            due.extend(
                at.filter(|(at, _)| *at <= Instant::now())
                    .map(|(at, who)| (at, n, who)),
            );
        }
        due.sort();
        for (_, n, speaker) in &due {
            play.held = play.held.max(play.record.open());
            let step = &play.scenario.steps[*n];
            play.record.seen().steps.push((Instant::now(), *n));
            play.speaker.clone_from(speaker);
            let senders = play.scenario.those(&step.who, speaker.as_deref());
            let keepers = step
                .deed
                .keepers()
                .last()
                .map(|which| play.keepers(which))
                .unwrap_or_default();
            if let Some(after) = step.for_s {
                let at = Instant::now() + Duration::from_secs_f64(after);
                let undo = step
                    .deed
                    .undone(&keepers)
                    .map(|deed| (at, deed, senders.clone()));
                undone.extend(undo);
            }
            play.does(&step.deed, &senders)?;
        }
        open.retain(|n| !due.iter().any(|(_, d, _)| d == n));
        while let Some(at) = undone.iter().position(|(at, ..)| *at <= Instant::now()) {
            let (_, deed, senders) = undone.remove(at);
            play.does(&deed, &senders)?;
        }
        let due = begun.elapsed().as_secs_f64() * play.scenario.rate;
        while (handed as f64) < due && clients.len() < CLIENTS {
            let sender = random.usize(..play.senders.len());
            let dest = random.usize(..DESTS);
            let is_rare = policies.rare > 0.0 && random.f64() < policies.rare;
            let (class, id) = match is_rare {
                true => (RARE_CLASS, format!("{RARE}{handed}")),
                false => (CLASS, format!("m{handed}")),
            };
            let (log, name): (Arc<Log>, _) = (
                play.senders[sender].log(),
                play.senders[sender].name.clone(),
            );
            handed += 1;
            if log.listens() {
                let record = play.record.clone();
                clients.push(thread::spawn(move || {
                    log.hand_in(&name, &id, class, dest, LEFT, &record)
                }));
            }
        }
        clients.retain(|c| !c.is_finished());
        let must = open.iter().any(|n| !play.scenario.steps[*n].may_fail);
        let is_well = !must && undone.is_empty() && play.record.all_in();
        let ordered = play.orders.load(Ordering::SeqCst) == 0;
        well_since = well_since
            .filter(|_| is_well && ordered)
            .or_else(|| is_well.then(Instant::now));
        if play.scenario.until_well && well_since.is_some_and(|since| since.elapsed() >= WELL) {
            break;
        }
        let asleep = Instant::now();
        thread::sleep(LOOK);
        let late = asleep.elapsed() - LOOK;
        let mut seen = play.record.seen();
        seen.lateness = seen.lateness.max(late);
    }
    clients.into_iter().for_each(|c| drop(c.join()));
    let never = open
        .iter()
        .filter(|n| play.scenario.steps[**n].may_fail)
        .count();
    let (steps, well) = (play.scenario.steps.len() - open.len(), well_since.is_some());
    // Whoever stands still goes on before all is looked at, and lines are whole.
    for (_, deed, senders) in undone {
        play.does(&deed, &senders)?;
    }
    Ok(Went {
        steps,
        never,
        handed,
        well,
        over: over.is_some(),
    })
}
