//! Routing tables agreed by all sites of a federation, in virtual time: the keepers' own machines
//! ([`Cutover`], [`Record`], [`Federation`]) with senders, sessions and lines round them that are
//! simpler than the program's. The sites' consensus is an agreed log with the delays of one: a way
//! to the site that leads, a round trip and a write for a majority, a way back. All is drawn from
//! one seed.

use crate::due::At;
use raildeal::coordination::messages::{
    AgentTableMessage, Digest, ReplicaTableMessage, SiteAdmission,
};
use raildeal::coordination::record::{Command, Record};
use raildeal::coordination::routing_table::cutover::{Cutover, CutoverEffect};
use raildeal::coordination::routing_table::federation::{self, Federation};
use raildeal::coordination::routing_table::federation_view::FederationView;
use raildeal::coordination::routing_table::tables::Change;
use raildeal::coordination::sender_registry::MAX_OFFERS_PER_ROUND;
use raildeal::Nanos;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// One way between sites; a round trip is two.
const WAY: Nanos = 15 * MS;
/// One way between senders and keepers of a site.
const NEAR: Nanos = 3 * MS;
/// Until a site's record has what is proposed.
const COMMIT: Nanos = 15 * MS;
/// A sender checks a table and writes it down.
const CHECK: Nanos = 8 * MS;
/// A leader is told the time this often.
const TICK: Nanos = 50 * MS;
/// A voice asks for its site's lease this often, and that runs so long.
const ASKS: Nanos = SECOND;
/// See above.
const LEASE: Nanos = 10 * SECOND;
/// A sender's lease at its keeper, and the word of it.
const SENDER_LEASE: Nanos = 3 * SECOND;
/// See above.
const REPORT: Nanos = 200 * MS;
/// Until another keeper leads, from when one died.
const ELECTION: Nanos = 2 * SECOND;
/// The first proposal; those that follow come when the last one is in use everywhere, as much
/// later.
const PROPOSED: Nanos = 2 * SECOND;
/// A play without an end of its own ends so long after the last trouble.
const MOST: Nanos = 120 * SECOND;
/// Beyond a site's lease its senders' have to be over after this.
const FENCE: Nanos = 8 * SECOND;

/// What happens to a site, and when.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// It is cut off from the other sites for so long.
    Cut(usize, Nanos),
    /// Its leading keeper dies.
    Dies(usize),
}

/// What a play is made of.
#[derive(Clone, Debug)]
pub struct Play {
    /// Senders, spread evenly.
    pub senders: usize,
    /// Sites.
    pub sites: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// Tables that are proposed, one after the other.
    pub tables: u64,
    /// A sender of the last site refuses all of them.
    pub refuses: bool,
    /// What happens.
    pub troubles: Vec<(Nanos, Trouble)>,
}

/// What a play shows.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// From the word of a person to the decision.
    pub decided: Vec<Nanos>,
    /// From there until all senders of all sites go by it.
    pub switched: Vec<Nanos>,
    /// How long senders took nothing on between two tables, each time.
    pub pauses: Vec<Nanos>,
    /// Pauses that were taken back.
    pub taken_back: u64,
    /// Senders that were held for their site's lease, each time.
    pub held: u64,
    /// Proposals that ended nowhere, and why.
    pub nowhere: Vec<String>,
    /// What must not be: two tables in a site, three in use, one that was not decided, work beyond
    /// the lease.
    pub broken: Vec<String>,
    /// All that was to be agreed was, or ended nowhere, and all senders go by the last one.
    pub done: bool,
}

#[derive(Clone, Debug, Default)]
struct Sender {
    name: String,
    site: usize,
    /// Counts its lines; a word of an earlier one is not heard.
    line: u64,
    open: bool,
    lease: Nanos,
    heard: Option<(u64, SiteAdmission)>,
    turn: u64,
    stored: BTreeMap<u64, Digest>,
    paused: Option<Nanos>,
    /// The table that it takes messages on by.
    takes: Option<u64>,
}

struct Site {
    record: Record,
    index: u64,
    /// The leader's, by term; nobody leads where there is none.
    cutover: Option<Cutover>,
    term: u64,
    led: Nanos,
    beat: Nanos,
    cut: Nanos,
    known: Arc<Federation>,
    lease: Option<Nanos>,
    counted: Nanos,
    senders: Vec<usize>,
    /// What is said to the federation and not agreed yet, and when.
    said: Vec<(federation::Command, Nanos)>,
}

enum Event {
    Tick,
    Report(usize),
    ToSite(usize, u64, AgentTableMessage),
    ReplicaTableMessage(usize, u64, ReplicaTableMessage),
    Stored(usize, u64, ReplicaTableMessage),
    Applies(usize, u64, Command),
    Agrees(federation::Command),
    Hears(usize, u64),
    Granted(usize, u64, Nanos),
    Leads(usize, u64),
    Happens(Trouble),
    Propose,
}

struct World {
    play: Play,
    rng: Pcg64Mcg,
    now: Nanos,
    events: BinaryHeap<Reverse<At<Event>>>,
    number: u64,
    federation: Federation,
    /// Each version of it, for sites that hear it later.
    versions: Vec<Arc<Federation>>,
    sites: Vec<Site>,
    senders: Vec<Sender>,
    /// Senders by the table that they take messages on by.
    uses: BTreeMap<u64, usize>,
    decided: Vec<u64>,
    proposed: Nanos,
    decision: Nanos,
    asked: u64,
    asks: Nanos,
    waits: bool,
    played: Played,
}

/// Plays it.
pub fn play(play: &Play) -> Played {
    let mut federation = Federation::default();
    for site in 1..=play.sites as u64 {
        federation.apply(
            site,
            &federation::Command::Join {
                site,
                name: format!("s{site}"),
            },
        );
    }
    let known = Arc::new(federation.clone());
    let site = |at: usize| Site {
        record: Record::default(),
        index: 0,
        cutover: Some(Cutover::new(0, Some(0))),
        term: 1,
        led: 0,
        beat: 0,
        cut: 0,
        known: known.clone(),
        lease: None,
        counted: 0,
        senders: (0..play.senders).filter(|n| n % play.sites == at).collect(),
        said: Vec::new(),
    };
    let sender = |n: usize| Sender {
        name: name(n),
        site: n % play.sites,
        line: 1,
        ..Sender::default()
    };
    let mut world = World {
        rng: Pcg64Mcg::seed_from_u64(play.seed),
        now: 0,
        events: BinaryHeap::new(),
        number: 0,
        federation,
        versions: vec![known.clone()],
        sites: (0..play.sites).map(site).collect(),
        senders: (0..play.senders).map(sender).collect(),
        uses: BTreeMap::new(),
        decided: vec![0],
        proposed: 0,
        decision: 0,
        asked: 0,
        asks: 0,
        waits: false,
        played: Played::default(),
        play: play.clone(),
    };
    world.run();
    world.played
}

impl World {
    fn at(&mut self, at: Nanos, event: Event) {
        self.number += 1;
        self.events.push(Reverse(At(at, self.number, event)));
    }

    fn run(&mut self) {
        self.at(0, Event::Tick);
        for n in 0..self.senders.len() {
            let first = self.rng.random_range(0..REPORT);
            self.at(first, Event::Report(n));
        }
        self.at(PROPOSED, Event::Propose);
        let mut end = MOST;
        for (at, trouble) in self.play.troubles.clone() {
            end = end.max(at + MOST);
            self.at(at, Event::Happens(trouble));
        }
        while let Some(Reverse(At(at, _, event))) = self.events.pop() {
            if at > end || self.played.done {
                return;
            }
            self.now = at;
            self.act(event);
        }
    }

    fn act(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick => self.passes(),
            Event::Report(n) => self.report(n),
            Event::ToSite(n, line, word) => {
                let s = &self.senders[n];
                let at = s.site;
                if s.line != line || !s.open {
                    return;
                }
                let mut out = Vec::new();
                let site = &mut self.sites[at];
                if let Some(cutover) = &mut site.cutover {
                    cutover.on_sender_message(now, &name(n), &word, &site.record, &mut out);
                }
                self.out(at, out);
                self.say(at, &[n]);
            }
            Event::ReplicaTableMessage(n, line, word) => self.hears(n, line, word),
            Event::Stored(n, line, word) => self.stores(n, line, word),
            Event::Applies(at, term, command) => {
                // What a leader proposed that is gone is lost with its term.
                if self.sites[at].term == term && self.sites[at].cutover.is_some() {
                    self.apply(at, &command);
                }
            }
            Event::Agrees(command) => self.agrees(&command),
            Event::Hears(at, version) => {
                let site = &mut self.sites[at];
                if now < site.cut {
                    let cut = site.cut;
                    return self.at(cut + WAY, Event::Hears(at, version));
                }
                if site.known.version < self.versions[version as usize].version {
                    site.known = self.versions[version as usize].clone();
                    let known = &site.known;
                    let runs = known.proposal.as_ref().map(|p| p.table.number);
                    site.said.retain(|(c, _)| match c {
                        federation::Command::Accept { number, .. } => runs == Some(*number),
                        federation::Command::CutOver { site, number } => {
                            known.sites.get(site).is_some_and(|s| s.uses != *number)
                        }
                        _ => false,
                    });
                    self.tick(at);
                }
            }
            Event::Granted(at, term, until) => {
                if self.sites[at].term == term && now >= self.sites[at].cut {
                    self.sites[at].lease = Some(until);
                }
            }
            Event::Leads(at, term) => {
                let site = &mut self.sites[at];
                if site.term == term {
                    site.cutover = Some(Cutover::new(now, Some(site.led)));
                    // The first beat of a term counts the time in which nobody led.
                    let ms = ((now - site.led) / MS) as u32;
                    site.beat = now;
                    self.apply(at, &Command::AdvanceClock { term, beat: 0, ms });
                }
            }
            Event::Happens(Trouble::Cut(at, lasts)) => self.sites[at].cut = now + lasts,
            Event::Happens(Trouble::Dies(at)) => {
                let site = &mut self.sites[at];
                site.cutover = None;
                (site.term, site.lease, site.led) = (site.term + 1, None, now);
                let term = site.term;
                for n in self.sites[at].senders.clone() {
                    let s = &mut self.senders[n];
                    (s.line, s.open) = (s.line + 1, false);
                }
                self.at(now + ELECTION, Event::Leads(at, term));
            }
            Event::Propose => {
                self.asked += 1;
                let key = self.asked;
                (self.proposed, self.waits) = (now, true);
                let command = federation::Command::Propose {
                    by: "s1".into(),
                    key,
                    text: format!("# {key}"),
                    digest: [key as u8; 32],
                    within_ms: 60_000,
                };
                self.brings(0, command);
            }
        }
    }

    /// A way to the site that leads, a round trip and a write for a majority.
    fn brings(&mut self, at: usize, command: federation::Command) {
        let site = &mut self.sites[at];
        if self.now < site.cut {
            return;
        }
        if !matches!(command, federation::Command::Propose { .. }) {
            let again =
                |(c, at): &(federation::Command, Nanos)| *c == command && self.now < *at + SECOND;
            if site.said.iter().any(again) {
                return;
            }
            site.said.retain(|(c, _)| *c != command);
            site.said.push((command.clone(), self.now));
        }
        let there = if at == 0 { 0 } else { WAY };
        self.at(self.now + there + 2 * WAY + COMMIT, Event::Agrees(command));
    }

    fn agrees(&mut self, command: &federation::Command) {
        let now = self.now;
        let before = self.federation.table.number;
        let version = self.federation.version + 1;
        let past = self.federation.past.len();
        self.federation.apply(version, command);
        let number = self.federation.table.number;
        if number != before {
            self.decided.push(number);
            self.decision = now;
            self.played.decided.push(now - self.proposed);
        } else if self.federation.past.len() > past {
            let why = self
                .federation
                .past
                .back()
                .map_or(String::new(), |p| p.end.clone());
            self.played.nowhere.push(why);
            self.over();
        }
        self.versions.push(Arc::new(self.federation.clone()));
        let which = self.versions.len() as u64 - 1;
        for at in 0..self.sites.len() {
            let way = if at == 0 { 0 } else { WAY };
            self.at(now + way, Event::Hears(at, which));
        }
    }

    /// The proposal is over, and all go by what is decided.
    fn over(&mut self) {
        self.waits = false;
        if self.asked < self.play.tables {
            self.at(self.now + PROPOSED, Event::Propose);
        } else {
            self.played.done = true;
        }
    }

    fn passes(&mut self) {
        let now = self.now;
        self.at(now + TICK, Event::Tick);
        if now % SECOND == 0 {
            let ms = 1_000;
            self.agrees(&federation::Command::Beat {
                term: 1,
                beat: now,
                ms,
            });
        }
        let asks = now >= self.asks;
        self.asks += if asks { ASKS } else { 0 };
        for at in 0..self.sites.len() {
            let site = &mut self.sites[at];
            if site.cutover.is_none() {
                continue;
            }
            site.led = now;
            let term = site.term;
            if asks && now >= site.cut {
                // It counts from when it asked; the site that leads, from when it answers.
                site.counted = site.counted.max(now + 2 * WAY + LEASE);
                self.at(
                    now + 2 * WAY,
                    Event::Granted(at, term, now + LEASE / 100 * 98),
                );
            }
            let site = &mut self.sites[at];
            if now >= site.beat + SECOND / 2 {
                let ms = ((now - site.beat) / MS) as u32;
                site.beat = now;
                self.apply(
                    at,
                    &Command::AdvanceClock {
                        term,
                        beat: now,
                        ms,
                    },
                );
            }
            self.tick(at);
        }
        for n in 0..self.senders.len() {
            self.look(n);
        }
        let number = self.federation.table.number;
        let by = |s: &Sender| s.takes == Some(number);
        if self.waits
            && self.federation.proposal.is_none()
            && self.played.decided.len() > self.played.switched.len()
            && self.senders.iter().all(by)
            && self.federation.sites.values().all(|s| s.uses == number)
        {
            self.played.switched.push(now - self.decision);
            self.over();
        }
    }

    /// A sender speaks to its leader: it opens a session, or renews its lease.
    fn report(&mut self, n: usize) {
        let now = self.now;
        self.at(now + REPORT, Event::Report(n));
        let at = self.senders[n].site;
        let site = &mut self.sites[at];
        // A leader renews nothing while its site has to be held and the record does not say so yet.
        let bars = site
            .cutover
            .as_ref()
            .is_some_and(|cutover| cutover.must_withhold_leases(&site.record));
        let Some(cutover) = site.cutover.as_mut().filter(|_| !bars) else {
            return;
        };
        let s = &mut self.senders[n];
        s.lease = now + SENDER_LEASE / 100 * 98;
        if !s.open {
            s.open = true;
            let live = site.record.roster.get(&name(n)).is_some_and(|m| m.live);
            cutover.on_session_opened(&name(n), 1);
            let (line, has) = (
                s.line,
                s.stored
                    .iter()
                    .map(|(number, digest)| (*number, *digest))
                    .collect(),
            );
            if !live {
                let term = site.term;
                let join = Command::AddSender {
                    sender: name(n),
                    boot: 1,
                    zone: "z".into(),
                };
                self.at(now + COMMIT, Event::Applies(at, term, join));
            }
            self.at(
                now + NEAR,
                Event::ToSite(n, line, AgentTableMessage::StoredTables(has)),
            );
        }
    }

    fn apply(&mut self, at: usize, command: &Command) {
        let now = self.now;
        let site = &mut self.sites[at];
        site.index += 1;
        let index = site.index;
        let stance = site.record.tables.register.stance;
        site.record.apply(index, command);
        if let Command::ChangeTables { change, .. } = command {
            if site.record.tables.at == index && matches!(**change, Change::RollBack { .. }) {
                self.played.taken_back += 1;
            }
            // Before it is counted in for the first time each site holds.
            let held = site.record.tables.register.stance == SiteAdmission::LeaseExpired
                && stance != SiteAdmission::LeaseExpired;
            if held && now >= PROPOSED {
                self.played.held += site.senders.len() as u64;
            }
            if let Some(cutover) = &mut site.cutover {
                cutover.on_applied(now, index, change, &site.record);
            }
        }
        self.tick(at);
    }

    fn tick(&mut self, at: usize) {
        let now = self.now;
        let leader = 1;
        let all: BTreeSet<u64> = (1..=self.sites.len() as u64).collect();
        let site = &mut self.sites[at];
        let Some(cutover) = &mut site.cutover else {
            return;
        };
        let heard = if now < site.cut { BTreeSet::new() } else { all };
        let known = FederationView {
            name: "f".into(),
            own_site: at as u64 + 1,
            record: site.known.clone(),
            leader,
            reachable_sites: heard,
            lease_until: site.lease,
            holds_after_lease: true,
        };
        let mut out = Vec::new();
        cutover.on_tick(now, &site.record, Some(&known), &mut out);
        self.out(at, out);
        let senders = self.sites[at].senders.clone();
        self.say(at, &senders);
    }

    /// What a leader has to say to these.
    fn say(&mut self, at: usize, senders: &[usize]) {
        let now = self.now;
        let mut says = Vec::new();
        let mut offers = MAX_OFFERS_PER_ROUND;
        let site = &mut self.sites[at];
        if let Some(cutover) = &mut site.cutover {
            for n in senders.iter().copied() {
                let s = &self.senders[n];
                if s.open && site.record.roster.contains_key(&s.name) {
                    let record = &site.record;
                    cutover.send_due_messages(now, &s.name, record, &mut offers, &mut |word| {
                        says.push((n, s.line, word))
                    });
                }
            }
        }
        for (n, line, word) in says {
            self.at(now + NEAR, Event::ReplicaTableMessage(n, line, word));
        }
    }

    fn out(&mut self, at: usize, out: Vec<CutoverEffect>) {
        for out in out {
            match out {
                CutoverEffect::ProposeToSite(change) => {
                    let site = &self.sites[at];
                    let (term, base) = (site.term, site.record.tables.turn);
                    let command = Command::ChangeTables {
                        base,
                        change: Box::new(change),
                    };
                    self.at(self.now + COMMIT, Event::Applies(at, term, command));
                }
                CutoverEffect::ProposeToFederation(command) => self.brings(at, command),
            }
        }
    }

    fn hears(&mut self, n: usize, line: u64, word: ReplicaTableMessage) {
        let now = self.now;
        let s = &mut self.senders[n];
        if s.line != line {
            return;
        }
        match &word {
            ReplicaTableMessage::OfferTable { .. } => {
                self.at(now + CHECK, Event::Stored(n, line, word))
            }
            ReplicaTableMessage::ApplyTable {
                turn,
                number,
                admission: stance,
            } => {
                if *turn < s.turn || now >= s.lease {
                    return;
                }
                let was = s.heard.map(|h| h.1);
                (s.turn, s.heard) = (*turn, Some((*number, *stance)));
                match stance {
                    SiteAdmission::Paused if was == Some(SiteAdmission::Open) => {
                        s.paused = Some(now)
                    }
                    SiteAdmission::Open => {
                        let paused = s.paused.take();
                        self.played.pauses.extend(paused.map(|at| now - at));
                    }
                    SiteAdmission::LeaseExpired => s.paused = None,
                    SiteAdmission::Paused => {}
                }
                let s = &self.senders[n];
                if *stance != SiteAdmission::Open || *number == 0 || s.stored.contains_key(number) {
                    let rules = AgentTableMessage::TableApplied { turn: *turn };
                    self.at(now + NEAR, Event::ToSite(n, line, rules));
                }
                self.look(n);
            }
        }
    }

    fn stores(&mut self, n: usize, line: u64, word: ReplicaTableMessage) {
        let now = self.now;
        let ReplicaTableMessage::OfferTable { number, digest, .. } = word else {
            return;
        };
        let refuses = self.play.refuses && n + 1 == self.senders.len();
        let s = &mut self.senders[n];
        if !refuses {
            s.stored.insert(number, digest);
        }
        let refused = refuses.then(|| "it leaves no route".to_string());
        let (heard, turn) = (s.heard, s.turn);
        self.at(
            now + NEAR,
            Event::ToSite(n, line, AgentTableMessage::TableChecked { number, refused }),
        );
        if heard == Some((number, SiteAdmission::Open)) && !refuses {
            self.at(
                now + NEAR,
                Event::ToSite(n, line, AgentTableMessage::TableApplied { turn }),
            );
        }
        self.look(n);
    }

    /// What a sender takes messages on by has changed, as far as it has.
    fn look(&mut self, n: usize) {
        let now = self.now;
        let s = &mut self.senders[n];
        if now >= s.lease {
            // It goes by no word but one on a line that was opened since.
            (s.heard, s.paused) = (None, None);
            if s.open {
                (s.open, s.line) = (false, s.line + 1);
            }
        }
        let heard = s.heard.filter(|(number, stance)| {
            *stance == SiteAdmission::Open && (*number == 0 || s.stored.contains_key(number))
        });
        let takes = heard.map(|h| h.0);
        let (was, at) = (std::mem::replace(&mut s.takes, takes), s.site);
        if takes.is_some() && now > self.sites[at].counted + FENCE {
            self.played.broken.push(format!(
                "{now}: sender {n} takes messages on beyond the lease of its site"
            ));
        }
        if was == takes {
            return;
        }
        if let Some(count) = was.and_then(|number| self.uses.get_mut(&number)) {
            *count -= 1;
        }
        if let Some(number) = takes {
            *self.uses.entry(number).or_default() += 1;
            let two = |m: &usize| self.senders[*m].takes.is_some_and(|other| other != number);
            if self.sites[at].senders.iter().any(two) {
                self.played
                    .broken
                    .push(format!("{now}: two tables in site {at}"));
            }
        }
        self.uses.retain(|_, count| *count > 0);
        let place = |number: &u64| self.decided.iter().position(|d| d == number);
        let places: Option<Vec<usize>> = self.uses.keys().map(place).collect();
        let follow = match places.as_deref() {
            Some([] | [_]) => true,
            Some([a, b]) => *b == a + 1,
            _ => false,
        };
        if !follow {
            self.played
                .broken
                .push(format!("{now}: in use are {:?}", self.uses));
        }
    }
}

fn name(n: usize) -> String {
    format!("n{n}")
}

/// The last line of the command. Times are in milliseconds.
#[derive(Debug, Default, serde::Serialize)]
pub struct Figures {
    /// Sites.
    pub sites: usize,
    /// Tables that were decided.
    pub decided: usize,
    /// From a person's word to the decision: in the middle, and the longest; and the same in round
    /// trips of 30 ms.
    pub decided_ms: [u64; 2],
    /// See above.
    pub decided_trips: [f64; 2],
    /// From the decision until all senders of all sites go by it.
    pub switched_ms: [u64; 2],
    /// See above.
    pub switched_trips: [f64; 2],
    /// Pauses of senders between two tables.
    pub pause_ms: [u64; 2],
    /// Pauses that were taken back, in all plays.
    pub taken_back: u64,
    /// With a tenth of the sites cut off for 5 s and 25 s: from the person's word until all go by
    /// it.
    pub cut_ms: Vec<u64>,
    /// Senders that were held meanwhile.
    pub held: u64,
    /// With the leaders of a fifth of the sites dying: the same, the longest of the plays.
    pub died_ms: u64,
    /// Longest pause of a sender in those plays.
    pub died_pause_ms: u64,
    /// A table that one sender refuses: how it ended.
    pub refused: Vec<String>,
    /// What must not be, and plays that did not come to their end.
    pub broken: u64,
    /// The first of them.
    pub why: Vec<String>,
}

fn two(times: &[Nanos]) -> [Nanos; 2] {
    let mut times = times.to_vec();
    times.sort_unstable();
    [
        times.get(times.len() / 2).copied().unwrap_or(0) / MS,
        times.last().copied().unwrap_or(0) / MS,
    ]
}

/// Plays one calm federation, some with sites that are cut off or whose leaders die, and one with a
/// sender that refuses.
pub fn figures(senders: usize, sites: usize, seed: u64) -> Figures {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let calm = Play {
        senders,
        sites,
        seed,
        tables: 3,
        refuses: false,
        troubles: Vec::new(),
    };
    let mut figures = Figures {
        sites,
        ..Figures::default()
    };
    let see = |figures: &mut Figures, what: &str, played: &Played, decided: u64| {
        let wrong = played.broken.iter().map(|b| format!("{what}: {b}")).chain(
            (!played.done || played.decided.len() as u64 != decided).then(|| {
                format!(
                    "{what}: {} decided, done: {}, {:?}",
                    played.decided.len(),
                    played.done,
                    played.nowhere
                )
            }),
        );
        let wrong: Vec<String> = wrong.collect();
        figures.broken += wrong.len() as u64;
        figures.why.extend(wrong.into_iter().take(3));
        figures.taken_back += played.taken_back;
        figures.held += played.held;
    };
    let played = play(&calm);
    see(&mut figures, "calm", &played, 3);
    figures.decided = played.decided.len();
    let trips = |ms: [u64; 2]| ms.map(|ms| (ms * MS) as f64 / (2 * WAY) as f64);
    figures.decided_ms = two(&played.decided);
    figures.switched_ms = two(&played.switched);
    (figures.decided_trips, figures.switched_trips) =
        (trips(figures.decided_ms), trips(figures.switched_ms));
    figures.pause_ms = two(&played.pauses);
    for lasts in [5 * SECOND, 25 * SECOND] {
        // The first site leads the others; it is not cut off, as who leads then is not played here.
        let which = (1..sites).filter(|at| at % 10 == 1);
        let cut = which.map(|at| {
            (
                PROPOSED + rng.random_range(0..150 * MS),
                Trouble::Cut(at, lasts),
            )
        });
        let played = play(&Play {
            tables: 1,
            troubles: cut.collect(),
            ..calm.clone()
        });
        see(&mut figures, "cut off", &played, 1);
        let all = played
            .decided
            .iter()
            .zip(&played.switched)
            .map(|(d, s)| (d + s) / MS)
            .max();
        figures.cut_ms.push(all.unwrap_or(0));
    }
    for _ in 0..5 {
        let which = (0..sites).filter(|at| at % 5 == 0);
        let dies = which.map(|at| (PROPOSED + rng.random_range(0..300 * MS), Trouble::Dies(at)));
        let played = play(&Play {
            tables: 1,
            troubles: dies.collect(),
            ..calm.clone()
        });
        see(&mut figures, "leaders die", &played, 1);
        let all = played
            .decided
            .iter()
            .zip(&played.switched)
            .map(|(d, s)| (d + s) / MS)
            .max();
        figures.died_ms = figures.died_ms.max(all.unwrap_or(0));
        figures.died_pause_ms = figures.died_pause_ms.max(two(&played.pauses)[1]);
    }
    let played = play(&Play {
        tables: 1,
        refuses: true,
        ..calm
    });
    see(&mut figures, "refused", &played, 0);
    figures.refused = played.nowhere;
    figures
}
