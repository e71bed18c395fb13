//! What the leader alone does: sessions and their leases, evidence, shares of budgets. None of it outlives its term: the next
//! leader begins anew, and whatever must not be told twice stands in the record first.
//!
//! # Leases
//!
//! An agent counts 98 in 100 of its lease from when it sent the word that was answered; the office counts 102 in 100 from when it
//! answers. A leader that was deposed and does not know it must not go on renewing for long: it renews only until [`Rules::sure_ms`]
//! after the moment at which it proposed the last beat that the record has. What it proposed after its successor was elected is
//! never there, so it renews nothing later than that after the election; its successor counts all leases of the record from its own
//! start, and so much longer. So at no time does an agent count on a lease that the record has as lapsed.
//!
//! # Orders
//!
//! One decision is out at a time. Each names the record's epoch that it was based on and is void where another one came before, so
//! what holds for the decision (a destination keeps a route, not too many zones are out) holds for the record.

use super::ears::OFFERS;
use super::policy::register::Change;
use super::policy::rollout::Roll;
use super::record::{Command, Phase, Record, Wish, MOST_SENDERS};
use super::table::switch::{Known, Switch};
use super::table::{federation, switch, tables};
use super::wire::{
    FromAgent, FromPerson, FromSender, Grant, Print, Status, TableOrder, ToAgent, ToPerson, ZoneWish,
};
use super::zones::bearing::{bearable, Lists, Rest};
use super::zones::cold::{Cold, Share, Step, PRESSED};
use super::zones::evidence::{Evidence, Verdict};
use super::zones::{self, ms};
use crate::Time;
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};

/// Names a connection; given by the driver and never used twice in one process.
pub type Line = u64;

/// Zones are judged this often.
const LOOK: Time = 100_000_000;
/// What is proposed and does not come within this time may be proposed again: ten times what a slow disk takes.
const AGAIN: Time = 1_000_000_000;
/// What a person hears whose order the record did not have in five times that.
const UNAGREED: &str = "the keepers did not agree in 5 s; look at the status and say it again";
/// Orders of people that wait for the record, at the most.
const MOST_WAITING: usize = 100;
/// Counts of a report that are read, at the most: 50 zones with 80 destinations.
const MOST_SEEN: usize = 4_000;
/// Senders come in again at most by this part of those that were out at once, then all.
const LAST_STEP: f32 = 0.5;
/// Destinations of which the log tells why they are not left by all, at the most.
const MOST_TOLD: usize = 10;
/// A leave that is in part grows by so great a part of the senders at least.
const LEAST_GAIN: f32 = 0.1;
/// A destination's part of the senders that is out falls in so many steps: each is an order, which voids what was granted before.
const STEPS: f64 = 4.0;
/// The first of them lets in so great a part.
const FIRST_STEP: f64 = 0.5;
/// Reports a second of an agent.
const REPORTS: f32 = 5.0;
/// A sender's part of the traffic may be so many times the even one: a fifth of a fleet sees three to five times it, few see more.
const UNEVEN: f32 = 20.0;

/// What the office is to go by; from the keeper's file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// A session holds for so long without a word, in milliseconds.
    pub lease_ms: u32,
    /// A leader shows the record that it is in office this often, in milliseconds.
    pub beat_ms: u32,
    /// It renews leases for so long after a beat that the record has, in milliseconds: two beats and a slow disk.
    pub sure_ms: u32,
    /// Senders with a session, at the most.
    pub most_senders: usize,
    /// What zones are judged by.
    pub zones: zones::Rules,
}

impl Default for Rules {
    fn default() -> Self {
        let zones = zones::Rules::default();
        Rules { lease_ms: 3_000, beat_ms: 500, sure_ms: 1_500, most_senders: MOST_SENDERS, zones }
    }
}

impl Rules {
    /// All that is wrong with them; empty where they can be worked by.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if !(500..=60_000).contains(&self.lease_ms) {
            faults.push(format!("rules.lease_ms: {} is not from 500 to 60000", self.lease_ms));
        }
        if !(100..=10_000).contains(&self.beat_ms) {
            faults.push(format!("rules.beat_ms: {} is not from 100 to 10000", self.beat_ms));
        }
        if self.sure_ms < self.beat_ms.saturating_mul(2) || self.sure_ms > 60_000 {
            faults.push(format!("rules.sure_ms: {} is not from two beats to 60000", self.sure_ms));
        }
        if !(1..=MOST_SENDERS).contains(&self.most_senders) {
            let most = self.most_senders;
            faults.push(format!("rules.most_senders: {most} is not from 1 to {MOST_SENDERS}"));
        }
        faults.extend(self.zones.faults());
        faults
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Bring this into the record. It may be lost with the term.
    Propose(Command),
    /// Say this to an agent.
    Say(Line, ToAgent),
    /// Answer an operator.
    Answer(Line, ToPerson),
    /// Bring this into the federation's record. It may be lost.
    Federation(federation::Command),
}

#[derive(Clone, Debug)]
struct Session {
    id: u32,
    boot: u64,
    line: Option<Line>,
    until: Time,
    /// The highest report that was counted.
    report: u64,
    /// A word that is not answered yet, as the office is not sure of itself.
    owed: Option<u64>,
    has: u64,
    /// The version of the last view that was said over this line, and when.
    told: (u64, Time),
    /// Its lapse is proposed.
    lapsing: bool,
}

#[derive(Clone, Debug)]
struct Joining {
    boot: u64,
    line: Line,
    has: u64,
    at: Time,
    stored: Option<Vec<(u64, Print)>>,
    /// Routing tables that it has, once it has said so.
    tables: Option<Vec<(u64, Print)>>,
}

/// An order on the federation's record that does not show it yet, and when it was given. It is brought there once: what was void as something
/// else ran must not come up again when that is over.
#[derive(Clone, Debug)]
struct Sought {
    line: Line,
    command: federation::Command,
    at: Time,
}

/// An order on policies that is not in the record yet.
#[derive(Clone, Debug)]
struct Asked {
    line: Line,
    word: FromPerson,
    /// The turn that it was proposed on, and as what.
    base: u64,
    change: Change,
    at: Time,
}

/// What a session begins with.
struct Opens<'a> {
    sender: &'a String,
    boot: u64,
    own: &'a String,
    has: u64,
    stored: Option<&'a [(u64, Print)]>,
}

/// The office of one term.
#[derive(Clone, Debug)]
pub struct Office {
    rules: Rules,
    term: u64,
    sessions: BTreeMap<String, Session>,
    names: BTreeMap<u32, String>,
    lines: BTreeMap<Line, String>,
    joining: BTreeMap<String, Joining>,
    persons: VecDeque<(Line, Command, Time)>,
    asked: Vec<Asked>,
    sought: Vec<Sought>,
    roll: Roll,
    switch: Switch,
    /// The federation, where the site is in one.
    known: Option<Known>,
    evidence: Evidence,
    lists: Lists,
    cold: Cold,
    verdicts: BTreeMap<String, Verdict>,
    /// The decision that is out: the epoch it was based on, and when it was proposed.
    deciding: Option<(u64, Time)>,
    next_id: u32,
    looked: Time,
    beats: VecDeque<(u64, Time)>,
    beat: u64,
    counted: Time,
    /// Nobody here knows for how long nobody counted before this office.
    unknown_gap: bool,
    sure_until: Time,
}

impl Office {
    /// Begins with nothing but the record. Leases that an earlier term gave may still run: all of them count as renewed now.
    pub fn new(rules: Rules, term: u64, now: Time, record: &Record) -> Office {
        let mut office = Office {
            term,
            sessions: BTreeMap::new(),
            names: BTreeMap::new(),
            lines: BTreeMap::new(),
            joining: BTreeMap::new(),
            persons: VecDeque::new(),
            asked: Vec::new(),
            sought: Vec::new(),
            roll: Roll::new(now, Some(now)),
            switch: Switch::new(now, Some(now)),
            known: None,
            evidence: Evidence::new(rules.zones.clone()),
            lists: Lists::default(),
            cold: Cold::new(rules.zones.clone(), now),
            verdicts: BTreeMap::new(),
            deciding: None,
            next_id: 0,
            looked: 0,
            beats: VecDeque::new(),
            beat: 0,
            counted: now,
            unknown_gap: false,
            sure_until: 0,
            rules,
        };
        let until = now + longer(office.rules.lease_ms.saturating_add(office.rules.sure_ms));
        for (sender, m) in record.roster.iter().filter(|(_, m)| m.live) {
            office.meet(sender, m.boot, &m.zone, None, until, 0);
        }
        office
    }

    /// Tells when this keeper saw a leader in office last, before it took over itself; nothing, where it never did.
    pub fn led(mut self, now: Time, at: Option<Time>) -> Office {
        (self.roll, self.switch) = (Roll::new(now, at), Switch::new(now, at));
        // The first beat counts the time between: nobody else does.
        (self.counted, self.unknown_gap) = (at.unwrap_or(now), at.is_none());
        self
    }

    fn meet(&mut self, sender: &str, boot: u64, own: &str, line: Option<Line>, until: Time, has: u64) {
        self.forget(sender);
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.names.insert(id, sender.into());
        self.evidence.meet(id, own);
        let session =
            Session { id, boot, line, until, report: 0, owed: None, has, told: (0, 0), lapsing: false };
        self.sessions.insert(sender.into(), session);
    }

    fn forget(&mut self, sender: &str) {
        if let Some(s) = self.sessions.remove(sender) {
            self.names.remove(&s.id);
            self.evidence.part(s.id);
            self.lists.part(s.id);
            self.roll.part(sender);
            self.switch.part(sender);
        }
    }

    /// An agent says something over a line.
    pub fn hear(&mut self, now: Time, line: Line, word: &FromAgent, record: &Record, out: &mut Vec<Out>) {
        match word {
            FromAgent::Open { sender, boot, zone, has, stored } => {
                let (boot, own, has, stored) = (*boot, zone, *has, stored.as_deref());
                self.open(now, line, Opens { sender, boot, own, has, stored }, record, out);
            }
            FromAgent::Tell { report, has, seen, listed, wants, health } => {
                self.lines.get(&line).into_iter().for_each(|name| self.switch.reports(name));
                let known = self.lines.get(&line).and_then(|name| self.sessions.get_mut(name));
                let Some(session) = known.filter(|s| !s.lapsing && s.line == Some(line)) else {
                    out.push(Out::Say(line, ToAgent::Unknown));
                    return;
                };
                session.has = *has;
                let id = session.id;
                if *report > session.report {
                    session.report = *report;
                    let seen = &seen[..seen.len().min(MOST_SEEN)];
                    let even = UNEVEN / self.sessions.len().max(1) as f32;
                    let lists = &self.lists;
                    self.evidence.hear(now, id, seen, |zone, dest| {
                        let listed = lists.route(zone, dest)?;
                        let most = listed.rate as f32 / REPORTS * even.min(0.5);
                        Some(if most > 0.0 { most.max(1.0) } else { f32::INFINITY })
                    });
                    seen.iter().for_each(|s| self.cold.saw(now, id, &s.zone, s.dest, &s.counts));
                    if let Some(listed) = listed {
                        self.lists.tell(id, listed);
                    }
                    self.cold.want(now, id, *report, &wants[..wants.len().min(MOST_SEEN)]);
                    let member = self.lines.get(&line).and_then(|name| record.roster.get(name));
                    if let Some(member) = member {
                        self.roll.hear(now, &member.zone, health, record);
                    }
                }
                self.renew(now, line, *report, record, out);
                self.hand_out(now, out);
            }
            FromAgent::Stored { number, refused } => match self.speaks(line) {
                Some(sender) => self.roll.stored(&sender, *number, refused.as_deref(), record),
                None => out.push(Out::Say(line, ToAgent::Unknown)),
            },
            FromAgent::Rules { turn } => match self.speaks(line) {
                Some(sender) => {
                    let change = self.roll.rules(now, &sender, *turn, record);
                    out.extend(change.map(|change| policy(record, change)));
                }
                None => out.push(Out::Say(line, ToAgent::Unknown)),
            },
            FromAgent::Table(word) => self.hear_tables(now, line, word, record, out),
            FromAgent::Leave => {
                let name = self.lines.remove(&line);
                let session = name.as_ref().and_then(|name| self.sessions.get_mut(name));
                if let (Some(sender), Some(session)) = (name.clone(), session) {
                    (session.lapsing, session.line) = (true, None);
                    let boot = session.boot;
                    // The lapse is proposed again after this time, should it be lost.
                    session.until = now + AGAIN;
                    out.push(Out::Propose(Command::Lapse { sender, boot }));
                }
            }
        }
    }

    /// What a sender says of tables. What it has it says right behind its first word, before the record has its session.
    fn hear_tables(&mut self, now: Time, line: Line, word: &FromSender, record: &Record, out: &mut Vec<Out>) {
        let speaks = self.speaks(line);
        let joining = self.joining.values_mut().find(|j| j.line == line);
        match (speaks, joining, word) {
            (Some(sender), ..) => {
                let mut said = Vec::new();
                self.switch.hear(now, &sender, word, record, &mut said);
                switched(record, said, out);
                if let FromSender::Has(_) = word {
                    self.say_tables(now, &sender, record, &mut { OFFERS }, out);
                }
            }
            (None, Some(joining), FromSender::Has(tables)) => joining.tables = Some(tables.clone()),
            (None, Some(_), _) => {}
            (None, None, _) => out.push(Out::Say(line, ToAgent::Unknown)),
        }
    }

    /// The federation is known to stand so, or time has passed: to be told at each change and some ten times a second, and when the office
    /// begins, before a sender is heard. Nothing, where the site is in none.
    pub fn federation(&mut self, now: Time, known: Option<Known>, record: &Record, out: &mut Vec<Out>) {
        self.known = known;
        self.tick_tables(now, record, out);
    }

    fn tick_tables(&mut self, now: Time, record: &Record, out: &mut Vec<Out>) {
        let mut said = Vec::new();
        self.switch.tick(now, record, self.known.as_ref(), &mut said);
        switched(record, said, out);
        let known = self.known.as_ref();
        self.sought.retain_mut(|sought| {
            let shows = known.and_then(|known| Switch::shows(&sought.command, known));
            let answer = match shows {
                Some(Ok(version)) => ToPerson::Done(version),
                Some(Err(why)) => ToPerson::Refused(why),
                None if now >= sought.at + 5 * AGAIN => {
                    ToPerson::Refused("not agreed in 5 s; look at the status and say it again".into())
                }
                None => return true,
            };
            out.push(Out::Answer(sought.line, answer));
            false
        });
    }

    /// The sender that has a session on a line.
    fn speaks(&self, line: Line) -> Option<String> {
        let name = self.lines.get(&line)?;
        self.sessions.get(name).filter(|s| !s.lapsing && s.line == Some(line)).map(|_| name.clone())
    }

    /// The line on which a sender that has a session is spoken to.
    fn line_of(&self, sender: &str) -> Option<Line> {
        self.sessions.get(sender).filter(|s| !s.lapsing)?.line
    }

    /// Says to a sender what concerns policies; `offers` bounds the long words.
    fn say_policies(
        &mut self,
        now: Time,
        sender: &str,
        record: &Record,
        offers: &mut usize,
        out: &mut Vec<Out>,
    ) {
        let Some((line, member)) = self.line_of(sender).zip(record.roster.get(sender)) else { return };
        self.roll.say(now, sender, &member.zone, record, offers, &mut |word| out.push(Out::Say(line, word)));
    }

    /// The same of tables.
    fn say_tables(
        &mut self,
        now: Time,
        sender: &str,
        record: &Record,
        offers: &mut usize,
        out: &mut Vec<Out>,
    ) {
        let Some(line) = self.line_of(sender) else { return };
        let say = &mut |word| out.push(Out::Say(line, ToAgent::Table(word)));
        self.switch.say(now, sender, record, offers, say);
    }

    /// Says something to each sender that has a session, with the long words of one turn.
    fn each(&mut self, mut say: impl FnMut(&mut Office, &str, &mut usize)) {
        let mut offers = OFFERS;
        for sender in self.sessions.keys().cloned().collect::<Vec<_>>() {
            say(self, &sender, &mut offers);
        }
    }

    fn say_all_tables(&mut self, now: Time, record: &Record, out: &mut Vec<Out>) {
        self.each(|office, sender, offers| office.say_tables(now, sender, record, offers, out));
    }

    fn say_all_policies(&mut self, now: Time, record: &Record, out: &mut Vec<Out>) {
        self.each(|office, sender, offers| office.say_policies(now, sender, record, offers, out));
    }

    fn open(&mut self, now: Time, line: Line, opens: Opens<'_>, record: &Record, out: &mut Vec<Out>) {
        let Opens { sender, boot, own, has, stored } = opens;
        let live = record.roster.get(sender).is_some_and(|m| m.live && m.boot == boot && m.zone == *own);
        let session = self.sessions.get_mut(sender).filter(|s| live && s.boot == boot && !s.lapsing);
        if let Some(session) = session {
            if let Some(old) = session.line.replace(line).filter(|old| *old != line) {
                self.lines.remove(&old);
            }
            (session.has, session.told) = (has, (0, 0));
            self.lines.insert(line, sender.clone());
            self.roll.meet(sender, boot, stored);
            self.switch.meet(sender, boot);
            // Its lease never comes before what is in force.
            self.say_policies(now, sender, record, &mut { OFFERS }, out);
            self.renew(now, line, 0, record, out);
            return;
        }
        let full = self.sessions.len() + self.joining.len() >= self.rules.most_senders;
        if full && !self.sessions.contains_key(sender) && !self.joining.contains_key(sender) {
            log::warn!("a sender finds no room sender={sender} most={}", self.rules.most_senders);
            out.push(Out::Say(line, ToAgent::Elsewhere(None)));
            return;
        }
        let waiting = self.joining.get(sender).filter(|j| j.boot == boot && now < j.at + AGAIN);
        let at = waiting.map_or(now, |j| j.at);
        if waiting.is_none() {
            // A lapse that came after this would end what begins now.
            let lapsing = self.sessions.get_mut(sender).filter(|s| s.lapsing);
            lapsing.into_iter().for_each(|s| s.until = now + 60 * AGAIN);
            out.push(Out::Propose(Command::Join { sender: sender.clone(), boot, zone: own.clone() }));
        }
        let stored = stored.map(<[_]>::to_vec);
        let joining = Joining { boot, line, has, at, stored, tables: None };
        self.joining.insert(sender.clone(), joining);
    }

    /// Renews a session, or owes it until the office is sure of itself.
    fn renew(&mut self, now: Time, line: Line, report: u64, record: &Record, out: &mut Vec<Out>) {
        let sure = now < self.sure_until && !self.switch.bars(record);
        let (lease_ms, until) = (self.rules.lease_ms, now + longer(self.rules.lease_ms));
        let Some(session) = self.lines.get(&line).and_then(|name| self.sessions.get_mut(name)) else {
            return;
        };
        if sure {
            session.until = session.until.max(until);
            session.owed = None;
            out.push(Out::Say(line, ToAgent::Renewed { report, lease_ms }));
        } else {
            session.owed = Some(report);
        }
        view(now, session, record, out);
    }

    fn hand_out(&mut self, now: Time, out: &mut Vec<Out>) {
        let (names, sessions) = (&self.names, &self.sessions);
        self.cold.grant(now, |id, grant: Grant| {
            let session = names.get(&id).and_then(|name| sessions.get(name)).filter(|s| !s.lapsing);
            if let Some(line) = session.and_then(|s| s.line) {
                out.push(Out::Say(line, ToAgent::Grant(grant)));
            }
        });
    }

    /// A line is gone; the session goes on until its lease lapses.
    pub fn hung_up(&mut self, line: Line) {
        if let Some(name) = self.lines.remove(&line) {
            let session = self.sessions.get_mut(&name).filter(|s| s.line == Some(line));
            session.into_iter().for_each(|s| s.line = None);
        }
        self.joining.retain(|_, j| j.line != line);
        self.persons.retain(|(l, ..)| *l != line);
        self.asked.retain(|a| a.line != line);
        self.sought.retain(|s| s.line != line);
    }

    /// An operator orders something over a line; answered at once, or when the record has it. Of the status, what the office does not
    /// know (site, keepers) is left for the driver to fill in.
    pub fn order(&mut self, now: Time, line: Line, word: &FromPerson, record: &Record, out: &mut Vec<Out>) {
        let (zone, wish, for_s) = match word {
            FromPerson::Zone { zone, order, for_s } => (zone, *order, *for_s),
            FromPerson::Status => {
                out.push(Out::Answer(line, ToPerson::Status(Box::new(self.status(record)))));
                return;
            }
            FromPerson::Policies => {
                let status = Box::new(self.roll.status(now, record));
                out.push(Out::Answer(line, ToPerson::Policies(status)));
                return;
            }
            FromPerson::PastPolicies => {
                out.push(Out::Answer(line, ToPerson::PastPolicies(Roll::history(record))));
                return;
            }
            FromPerson::Policy { number } => {
                let held = record.policies.texts.get(number);
                let answer = match held {
                    Some(t) => ToPerson::Policy { number: *number, print: t.print, text: t.text.clone() },
                    None => ToPerson::Refused(format!("the record has no text of policy {number}")),
                };
                out.push(Out::Answer(line, answer));
                return;
            }
            FromPerson::Propose { .. } | FromPerson::Halt { .. } | FromPerson::Resume | FromPerson::Back => {
                self.order_policy(now, line, word, record, out);
                return;
            }
            FromPerson::Table(word) => {
                self.order_table(now, line, word, record, out);
                return;
            }
            FromPerson::Add { .. } | FromPerson::Remove { .. } => {
                out.push(Out::Answer(
                    line,
                    ToPerson::Refused("keepers are not the office's to change".into()),
                ));
                return;
            }
        };
        self.lists.settle();
        let stands = record.zones.get(zone);
        let word = stands.and_then(|z| z.wish);
        let phase = stands.map_or(Phase::Used, |z| z.phase);
        let refusal = if self.lists.count(zone) == 0 && stands.is_none() {
            Some(format!("no list names a zone {zone:?}"))
        } else if !record.has_room(zone) {
            Some("the record names as many zones as it may".into())
        } else if wish == ZoneWish::Leave && phase == Phase::Used {
            self.may_leave(zone, record).err()
        } else {
            None
        };
        // What stands already is not written again.
        let same = match wish {
            ZoneWish::Free => word.is_none(),
            _ => for_s == 0 && word == Some(Wish { what: wish, until_ms: 0 }),
        };
        let answer = match refusal {
            Some(why) => ToPerson::Refused(why),
            None if same => ToPerson::Done(record.version),
            None if self.persons.len() >= MOST_WAITING => {
                ToPerson::Refused("too many orders wait; again in a second".into())
            }
            None => {
                // The record's clock may be a beat behind.
                let beat = if for_s == 0 { 0 } else { u64::from(self.rules.beat_ms) };
                let for_ms = for_s.saturating_mul(1_000).saturating_add(beat);
                let command = Command::Wish { zone: zone.clone(), wish, for_ms };
                out.push(Out::Propose(command.clone()));
                self.persons.push_back((line, command, now));
                return;
            }
        };
        out.push(Out::Answer(line, answer));
    }

    /// An order on policies, given first at some time: proposed on the turn that stands.
    fn order_policy(&mut self, at: Time, line: Line, word: &FromPerson, record: &Record, out: &mut Vec<Out>) {
        let answer = match self.roll.order(word, record) {
            Err(why) => ToPerson::Refused(why),
            Ok(None) => ToPerson::Done(record.version),
            Ok(Some(_)) if self.asked.len() >= MOST_WAITING => {
                ToPerson::Refused("too many orders wait; again in a second".into())
            }
            Ok(Some(change)) => {
                out.push(policy(record, change.clone()));
                let (word, base) = (word.clone(), record.policies.turn);
                self.asked.push(Asked { line, word, base, change, at });
                return;
            }
        };
        out.push(Out::Answer(line, answer));
    }

    /// An order on the federation and its table: answered at once, or when the federation's record shows it.
    fn order_table(&mut self, now: Time, line: Line, word: &TableOrder, record: &Record, out: &mut Vec<Out>) {
        let known = self.known.as_ref();
        let none = || ToPerson::Refused("this site is in no federation".into());
        let answer = match (word, known) {
            (TableOrder::Status, Some(known)) => {
                ToPerson::Federation(Box::new(self.switch.status(now, record, known)))
            }
            (TableOrder::History, Some(known)) => ToPerson::PastTables(Switch::history(known)),
            (TableOrder::Status | TableOrder::History, None) => none(),
            (TableOrder::Text { number }, _) => match Switch::text(*number, record, known) {
                Some((number, print, text)) => ToPerson::Table { number, print, text },
                None => ToPerson::Refused(format!("no text of table {number} is held")),
            },
            _ => match self.switch.order(word, record, known) {
                Err(why) => ToPerson::Refused(why),
                Ok(None) => ToPerson::Done(known.map_or(0, |k| k.record.version)),
                Ok(Some(_)) if self.sought.len() >= MOST_WAITING => {
                    ToPerson::Refused("too many orders wait; again in a second".into())
                }
                Ok(Some(command)) => {
                    out.push(Out::Federation(command.clone()));
                    self.sought.push(Sought { line, command, at: now });
                    return;
                }
            },
        };
        out.push(Out::Answer(line, answer));
    }

    /// A change of policies was applied, or was void.
    fn changed_policies(
        &mut self,
        now: Time,
        index: u64,
        change: &Change,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        self.roll.applied(now, index, change, record);
        let stands = record.policies.at == index;
        let (late, wait): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.asked).into_iter().partition(|a| a.base < record.policies.turn);
        self.asked = wait;
        for a in late {
            match stands && a.base + 1 == record.policies.turn && a.change == *change {
                true => out.push(Out::Answer(a.line, ToPerson::Done(index))),
                // Another change came first: it is looked at anew.
                false => self.order_policy(a.at, a.line, &a.word, record, out),
            }
        }
        if stands {
            self.say_all_policies(now, record, out);
        }
    }

    /// A command was applied to the record, which stands as given.
    pub fn applied(&mut self, now: Time, index: u64, command: &Command, record: &Record, out: &mut Vec<Out>) {
        match command {
            Command::Join { sender, boot, zone } => {
                let until = now + longer(self.rules.lease_ms);
                let joining = self.joining.get(sender).filter(|j| j.boot == *boot).cloned();
                if !record.roster.get(sender).is_some_and(|m| m.live && m.boot == *boot) {
                    // The roster is full of senders that live.
                    self.joining.remove(sender);
                    joining.into_iter().for_each(|j| out.push(Out::Say(j.line, ToAgent::Elsewhere(None))));
                    return;
                }
                let known = self.sessions.get(sender).filter(|s| s.boot == *boot && !s.lapsing);
                if known.is_none() {
                    if let Some(old) = self.sessions.get(sender).and_then(|s| s.line) {
                        self.lines.remove(&old);
                    }
                    self.meet(sender, *boot, zone, None, until, 0);
                } else if let Some(s) = known {
                    self.evidence.meet(s.id, zone);
                }
                if let Some(j) = joining {
                    self.joining.remove(sender);
                    let session = self.sessions.get_mut(sender);
                    session.into_iter().for_each(|s| (s.line, s.has) = (Some(j.line), j.has));
                    self.lines.insert(j.line, sender.clone());
                    self.roll.meet(sender, *boot, j.stored.as_deref());
                    self.switch.meet(sender, *boot);
                    self.say_policies(now, sender, record, &mut { OFFERS }, out);
                    if let Some(tables) = j.tables {
                        let mut said = Vec::new();
                        self.switch.hear(now, sender, &FromSender::Has(tables), record, &mut said);
                        switched(record, said, out);
                        self.say_tables(now, sender, record, &mut { OFFERS }, out);
                    }
                    self.renew(now, j.line, 0, record, out);
                }
            }
            Command::Lapse { sender, boot } => {
                if self.sessions.get(sender).is_some_and(|s| s.boot == *boot)
                    && !record.roster.get(sender).is_some_and(|m| m.live)
                {
                    let line = self.sessions.get(sender).and_then(|s| s.line);
                    line.map(|line| self.lines.remove(&line));
                    self.forget(sender);
                }
            }
            Command::Beat { term, beat, .. } => {
                if *term == self.term {
                    while self.beats.front().is_some_and(|(n, _)| n <= beat) {
                        if let Some((_, at)) = self.beats.pop_front() {
                            self.sure_until = self.sure_until.max(at + ms(self.rules.sure_ms));
                        }
                    }
                    self.pay(now, record, out);
                }
            }
            Command::Order { .. } => {
                self.deciding = self.deciding.filter(|(base, _)| *base >= record.epoch);
                if record.changed == index {
                    self.follow(now, record);
                    self.sessions.values_mut().for_each(|s| view(now, s, record, out));
                }
            }
            Command::Wish { .. } => {
                let done = self.persons.iter().position(|(_, c, _)| c == command);
                if let Some((line, ..)) = done.and_then(|at| self.persons.remove(at)) {
                    out.push(Out::Answer(line, ToPerson::Done(index)));
                }
                self.looked = 0;
                self.look(now, record, out);
            }
            Command::Slice { term, slice, zone, epoch, .. } => {
                let stands = record.zones.get(zone).is_some_and(|z| z.slice == (*term, *slice));
                if *term == self.term && stands && record.zones[zone].epoch == *epoch {
                    self.cold.stands(zone, *slice);
                    self.hand_out(now, out);
                }
            }
            Command::Policy { change, .. } => self.changed_policies(now, index, change, record, out),
            Command::Table { change, .. } => {
                self.switch.applied(now, index, change, record);
                if record.tables.at == index {
                    self.say_all_tables(now, record, out);
                }
            }
            Command::Fence { .. } | Command::Voice { .. } => {}
        }
    }

    /// Answers what was owed until the office is sure of itself.
    fn pay(&mut self, now: Time, record: &Record, out: &mut Vec<Out>) {
        if now >= self.sure_until {
            return;
        }
        let owed = self.sessions.values().filter(|s| !s.lapsing);
        let owed: Vec<_> = owed.filter_map(|s| Some((s.line?, s.owed?))).collect();
        owed.iter().for_each(|(line, report)| self.renew(now, *line, *report, record, out));
    }

    /// Time has passed; to be told some ten times a second.
    pub fn tick(&mut self, now: Time, record: &Record, out: &mut Vec<Out>) {
        self.beat(now, record, out);
        for (sender, s) in &mut self.sessions {
            if now >= s.until {
                // Said again each second, should it be lost; by then the session has no line.
                (s.lapsing, s.until) = (true, now + AGAIN);
                out.push(Out::Propose(Command::Lapse { sender: sender.clone(), boot: s.boot }));
            }
        }
        let sessions = &self.sessions;
        self.lines.retain(|_, name| sessions.get(name).is_some_and(|s| !s.lapsing));
        self.joining.retain(|_, j| now < j.at + 2 * AGAIN);
        while self.persons.front().is_some_and(|(_, _, at)| now >= at + 5 * AGAIN) {
            if let Some((line, ..)) = self.persons.pop_front() {
                out.push(Out::Answer(line, ToPerson::Refused(UNAGREED.into())));
            }
        }
        let (old, asked): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.asked).into_iter().partition(|a| now >= a.at + 5 * AGAIN);
        self.asked = asked;
        for a in old {
            out.push(Out::Answer(a.line, ToPerson::Refused(UNAGREED.into())));
        }
        self.deciding = self.deciding.filter(|(base, at)| *base == record.epoch && now < at + AGAIN);
        if now >= self.looked + LOOK {
            self.look(now, record, out);
        }
        let change = self.roll.tick(now, record);
        out.extend(change.map(|change| policy(record, change)));
        self.say_all_policies(now, record, out);
        self.tick_tables(now, record, out);
        self.say_all_tables(now, record, out);
        self.reserve(now, record, out);
        self.hand_out(now, out);
    }

    fn beat(&mut self, now: Time, record: &Record, out: &mut Vec<Out>) {
        let first = self.beat == 0;
        if !first && now < self.counted + ms(self.rules.beat_ms) {
            return;
        }
        self.beat += 1;
        let passed = ((now - self.counted) / 1_000_000).min(u64::from(u32::MAX)) as u32;
        // What is left of a millisecond counts with the next.
        self.counted += Time::from(passed) * 1_000_000;
        if self.beats.len() >= 64 {
            self.beats.pop_front();
        }
        self.beats.push_back((self.beat, now));
        // A gap that nobody knows ends the lease in the federation: else a later leader would believe what is left of it.
        let lease = record.tables.lease_ms.saturating_sub(record.clock_ms);
        let gap = if std::mem::take(&mut self.unknown_gap) { lease } else { 0 };
        let ms = passed.max(gap.min(u64::from(u32::MAX)) as u32);
        out.push(Out::Propose(Command::Beat { term: self.term, beat: self.beat, ms }));
    }

    fn follow(&mut self, now: Time, record: &Record) {
        let back = record.zones.iter().filter(|(_, z)| z.phase == Phase::Returning);
        let back = back.map(|(zone, z)| {
            (zone.as_str(), z.epoch, z.out.iter().map(|(d, _)| *d).collect(), z.warm.as_slice())
        });
        self.cold.follow(now, back);
    }

    fn reserve(&mut self, now: Time, record: &Record, out: &mut Vec<Out>) {
        for (zone, z) in record.zones.iter().filter(|(_, z)| z.phase == Phase::Returning) {
            let (lists, evidence, headroom) = (&self.lists, &self.evidence, self.rules.zones.headroom);
            let listed = |dest| {
                let (left, out) = (part_of(&z.left, dest), part_of(&z.out, dest));
                // Those that are not listed any more get nothing.
                let rate = lists.route(zone, dest).map(|r| r.rate);
                rate.map_or(Share::default(), |rate| Share {
                    rate,
                    left: left.into(),
                    taken: f64::from(left - out) * comes(lists, evidence, zone, dest).min(rate * headroom),
                })
            };
            if let Some((slice, calls, warm)) = self.cold.reserve(now, zone, listed) {
                let (term, epoch, zone) = (self.term, z.epoch, zone.clone());
                out.push(Out::Propose(Command::Slice { term, slice, zone, epoch, calls, warm }));
            }
        }
    }

    /// Looks at the evidence and at what people wish, and proposes one order at the most.
    fn look(&mut self, now: Time, record: &Record, out: &mut Vec<Out>) {
        self.looked = now;
        self.evidence.age(now);
        self.lists.settle();
        self.follow(now, record);
        let lists = &self.lists;
        let is_out = |zone: &str| record.zones.get(zone).is_some_and(|z| z.phase != Phase::Used);
        self.verdicts = self.evidence.judge(now, self.sessions.len(), |zone| lists.count(zone), is_out);
        let steps: BTreeMap<&String, Step> = record
            .zones
            .iter()
            .filter(|(_, z)| z.phase == Phase::Returning)
            .map(|(zone, z)| (zone, self.cold.step(now, zone, wish(z.wish) == Some(ZoneWish::Hold))))
            .collect();
        if self.deciding.is_some() {
            return;
        }
        let order = record
            .zones
            .iter()
            .find_map(|(zone, z)| self.next(zone, z, steps.get(zone).copied(), record))
            .or_else(|| self.next_to_leave(record));
        for (zone, step) in steps {
            // Whoever wishes a return has it tried again.
            if step == Step::Failed && wish(record.zones[zone].wish) == Some(ZoneWish::Return) {
                self.cold.anew(zone);
            }
        }
        if let Some((zone, phase, parts, tries, why)) = order {
            log::info!("zone={zone} phase={phase:?} tries={tries} out={parts:?} why={why}");
            if phase == Phase::Left {
                let rest = self.rest(&zone, record).into_iter();
                for (dest, rest) in rest.filter(|(d, _)| part_of(&parts, *d) < 1.0).take(MOST_TOLD) {
                    let part = part_of(&parts, dest);
                    log::info!(
                        "zone={zone} destination={dest} is left by a part of {part}, as the rest is {rest:?}"
                    );
                }
            }
            self.deciding = Some((record.epoch, now));
            out.push(Out::Propose(Command::Order {
                base: record.epoch,
                zone,
                phase,
                out: parts,
                tries,
                why,
            }));
        }
    }

    /// What is next for a zone that the record names.
    fn next(&self, zone: &str, z: &super::record::Zone, step: Option<Step>, record: &Record) -> Option<Next> {
        let wish = wish(z.wish);
        if wish == Some(ZoneWish::Hold) {
            return None;
        }
        // What is carried is a mean over so long; before it tells of the last order nothing follows from it.
        let passed = record.clock_ms.saturating_sub(z.since_ms) >= u64::from(self.rules.zones.load_ms);
        let is_out = z.phase != Phase::Used && !self.cold.has_begun(zone);
        let grown = || {
            let out = self.grown(zone, z, record)?;
            Some((zone.to_string(), Phase::Left, out, z.tries, "the rest bears more".to_string()))
        };
        let more = (passed && is_out && wish != Some(ZoneWish::Return)).then(grown).flatten();
        more.or_else(|| self.moves(zone, z, step, record))
    }

    /// The same, but for how many leave.
    fn moves(
        &self,
        zone: &str,
        z: &super::record::Zone,
        step: Option<Step>,
        record: &Record,
    ) -> Option<Next> {
        let rules = &self.rules.zones;
        let passed = record.clock_ms.saturating_sub(z.since_ms);
        let to = |phase, out, tries, why: &str| Some((zone.to_string(), phase, out, tries, why.to_string()));
        let wish = wish(z.wish);
        match z.phase {
            Phase::Used if wish == Some(ZoneWish::Leave) => {
                let parts = self.may_leave(zone, record).ok()?;
                to(Phase::Left, parts, z.tries, "a person's word")
            }
            Phase::Used if z.tries > 0 && passed >= u64::from(rules.calm_ms) => {
                to(Phase::Used, Vec::new(), 0, "in use for long")
            }
            Phase::Used => None,
            Phase::Left if wish == Some(ZoneWish::Leave) => None,
            Phase::Left => {
                let rest = u64::from(rules.rest_ms) << z.tries.min(20);
                let rested = passed >= rest.min(rules.most_rest_ms.into());
                let listed = self.lists.count(zone) > 0;
                match wish {
                    Some(ZoneWish::Return) => to(Phase::Returning, z.out.clone(), z.tries, "a person's word"),
                    _ if rested && listed => to(Phase::Returning, z.out.clone(), z.tries, "rested"),
                    _ => None,
                }
            }
            Phase::Returning if wish == Some(ZoneWish::Leave) => {
                to(Phase::Left, z.left.clone(), z.tries, "a person's word")
            }
            Phase::Returning => {
                let fails = matches!(self.verdicts.get(zone), Some(Verdict::Fails { .. }));
                let step = step?;
                match step {
                    _ if wish == Some(ZoneWish::Return) => {}
                    Step::Failed => {
                        return to(
                            Phase::Left,
                            z.left.clone(),
                            z.tries.saturating_add(1),
                            "the return failed",
                        )
                    }
                    // Senders that are in see it, and not by granted calls.
                    _ if fails && self.cold.has_begun(zone) => {
                        let why = "it fails while it is returned to";
                        return to(Phase::Left, z.left.clone(), z.tries.saturating_add(1), why);
                    }
                    _ => {}
                }
                let out = self.still_out(zone, z, step);
                // An order voids what was granted: those that have not answered yet have had their time with it.
                let lags = z.out.iter().any(|(d, _)| self.cold.bears(zone, *d).is_none());
                let gap = if lags { rules.within_ms.max(self.settle_ms()) } else { self.settle_ms() };
                let begun_ms = self.cold.begun_ms(zone, self.looked).unwrap_or(u64::MAX);
                if out == z.out || passed.min(begun_ms) < u64::from(gap) {
                    None
                } else if out.is_empty() {
                    let why = if step == Step::Unwanted { "nobody calls there" } else { "warm" };
                    to(Phase::Used, Vec::new(), z.tries.saturating_add(1), why)
                } else {
                    to(Phase::Returning, out, z.tries, "it bears more")
                }
            }
        }
    }

    /// Who stays out of a zone that is being returned to: of each destination as many come in as what it takes by now has room for,
    /// in quarters and at most half of them at once. Empty where all come in.
    fn still_out(&self, zone: &str, z: &super::record::Zone, step: Step) -> Vec<(u16, f32)> {
        let rules = &self.rules.zones;
        let lately = self.evidence.lately(zone, self.looked, rules.silent_ms);
        let part = |dest: u16, left: f32| {
            let now = part_of(&z.out, dest);
            let bears = match step {
                Step::Unwanted => 1.0,
                _ => self.cold.bears(zone, dest).unwrap_or(0.0),
            };
            let pressed = lately.get(&dest).is_some_and(|l| l.refused_share() >= PRESSED);
            let room = (STEPS * bears * self.room(zone, dest)).floor().min(STEPS) / STEPS;
            // What is colder goes by granted calls alone.
            let room = if room < FIRST_STEP { 0.0 } else { room };
            let most = if now > left * LAST_STEP { now * LAST_STEP } else { 0.0 };
            let part = (left * (1.0 - room as f32)).max(most).min(now);
            if pressed || now <= 0.0 {
                now
            } else {
                part
            }
        };
        let parts: Vec<(u16, f32, bool)> = z
            .left
            .iter()
            .map(|(d, left)| (*d, part(*d, *left), self.cold.bears(zone, *d).is_some()))
            .filter(|(_, part, _)| *part > 0.0)
            .collect();
        // One that does not answer alone, or that nobody calls, keeps the order no longer than the others do.
        if parts.len() < z.left.len() && parts.iter().all(|(.., answers)| !answers) {
            return Vec::new();
        }
        parts.into_iter().map(|(d, part, _)| (d, part)).collect()
    }

    /// The part of the senders that may be in a destination of a zone where it bears all that is listed; over 1 where there is room to
    /// spare. By the list at least: no more than the headroom of it is used. Where less comes than that, by what comes: the zone's part
    /// of all that the destination carries now, and no more senders than their even parts push a cold one over.
    fn room(&self, zone: &str, dest: u16) -> f64 {
        let rules = &self.rules.zones;
        let by_list = 1.0 / rules.headroom;
        let Some(rate) = self.lists.route(zone, dest).map(|r| r.rate).filter(|rate| *rate > 0.0) else {
            return by_list;
        };
        let comes = comes(&self.lists, &self.evidence, zone, dest);
        let topples = if rules.overload_for_ms == 0 { f64::INFINITY } else { rules.overload_factor };
        let by_load = if comes > 0.0 { rate * rules.headroom / comes } else { by_list };
        by_list.max(by_load.min(topples))
    }

    /// Time between two steps of a return: a beat of the record's clock at least, as it is counted on it.
    fn settle_ms(&self) -> u32 {
        (self.rules.zones.warm_after_ms / 20).clamp(self.rules.beat_ms, 1_000)
    }

    /// The zone that evidence says to leave next, if there is one: where more fail, the one that most see.
    fn next_to_leave(&self, record: &Record) -> Option<Next> {
        let failing = self.verdicts.iter().filter_map(|(zone, verdict)| match verdict {
            Verdict::Fails { seen_by, of } => Some((zone, *seen_by, *of)),
            _ => None,
        });
        let mut failing: Vec<_> = failing.collect();
        failing.sort_by_key(|(_, seen_by, _)| std::cmp::Reverse(*seen_by));
        failing.into_iter().find_map(|(zone, seen_by, of)| {
            let known = record.zones.get(zone);
            if known.is_some_and(|z| z.phase != Phase::Used || z.wish.is_some()) {
                return None;
            }
            let parts = self.may_leave(zone, record).ok()?;
            let why = format!("seen failing by {seen_by} of {of} senders");
            Some((zone.clone(), Phase::Left, parts, known.map_or(0, |z| z.tries), why))
        })
    }

    /// Whether one more zone may be left, and for which destinations and parts of the senders.
    fn may_leave(&self, zone: &str, record: &Record) -> Result<Vec<(u16, f32)>, String> {
        // One that no list names any more carries nothing, whatever stands of it.
        let out = record.zones.iter().filter(|(name, z)| z.phase != Phase::Used && *name != zone);
        let out = out.filter(|(name, _)| self.lists.count(name) > 0).count();
        let all = self.lists.zones().count();
        let share = ((all as f64 * self.rules.zones.left_share).floor() as usize).max(1);
        let most = share.min(self.rules.zones.most_left as usize);
        if out >= most {
            return Err(format!("{out} zones of {all} are out already, of {most} that may be"));
        }
        if !record.has_room(zone) {
            return Err("the record names as many zones as it may".into());
        }
        let parts = self.parts(zone, record, |dest| self.evidence.carried(zone, dest));
        if parts.is_empty() {
            return Err("no other zone can bear what goes there".into());
        }
        Ok(parts)
    }

    /// Who is out of a zone, where more can leave than have left: of destinations that fail there still, what the rest has room for now.
    fn grown(&self, zone: &str, z: &super::record::Zone, record: &Record) -> Option<Vec<(u16, f32)>> {
        let stays = |dest: u16| 1.0 - part_of(&z.left, dest);
        let span = self.rules.zones.windows_ms.last().copied().unwrap_or(1_000);
        let seen = self.evidence.lately(zone, self.looked, span);
        let fails = |dest: u16| seen.get(&dest).is_some_and(|l| l.bad > l.taken + l.refused);
        if self.lists.dests(zone).all(|(dest, _)| stays(dest) < LEAST_GAIN || !fails(dest)) {
            return None;
        }
        // What those that stay would bring elsewhere; some of it is there already, after a call that failed.
        let load = |dest| f64::from(stays(dest)) * comes(&self.lists, &self.evidence, zone, dest);
        let mut out: BTreeMap<u16, f32> = z.left.iter().copied().collect();
        let mut gains = false;
        for (dest, more) in self.parts(zone, record, load) {
            let gain = stays(dest) * more;
            if fails(dest) && gain >= LEAST_GAIN {
                *out.entry(dest).or_insert(0.0) += gain;
                gains = true;
            }
        }
        gains.then(|| out.into_iter().collect())
    }

    /// By destination, the part of the senders that the rest can bear, by what each brings.
    fn parts(&self, zone: &str, record: &Record, load: impl Fn(u16) -> f64) -> Vec<(u16, f32)> {
        let rest = self.rest(zone, record).into_iter();
        let parts = rest.map(|(dest, rest)| (dest, bearable(&self.rules.zones, load(dest), &rest) as f32));
        parts.filter(|(_, part)| *part > 0.0).collect()
    }

    /// What there is beside a zone for each of its destinations.
    fn rest(&self, zone: &str, record: &Record) -> Vec<(u16, Vec<Rest>)> {
        let rules = &self.rules.zones;
        let others: Vec<&str> = self.lists.zones().filter(|z| *z != zone).collect();
        let span = rules.windows_ms.last().copied().unwrap_or(1_000);
        let lately: BTreeMap<&str, _> =
            others.iter().map(|z| (*z, self.evidence.lately(z, self.looked, span))).collect();
        let rest = |dest| {
            let rest = others.iter().filter_map(|other| {
                let route = self.lists.route(other, dest)?;
                let stands = record.zones.get(*other).filter(|z| z.phase != Phase::Used);
                let seen = lately[other].get(&dest).copied().unwrap_or_default();
                Some(Rest {
                    rate: route.rate,
                    carried: self.evidence.carried(other, dest),
                    refused: seen.least_refused(),
                    out: stands.map_or(0.0, |z| part_of(&z.out, dest).into()),
                    fails: seen.bad > seen.taken + seen.refused,
                })
            });
            rest.collect()
        };
        self.lists.dests(zone).map(|(dest, _)| (dest, rest(dest))).collect()
    }

    fn status(&self, record: &Record) -> Status {
        let live = record.roster.iter().filter(|(_, m)| m.live);
        let senders = live.map(|(name, _)| (name.clone(), self.sessions.get(name).map_or(0, |s| s.has)));
        let lapsed = record.roster.iter().filter(|(_, m)| !m.live).map(|(name, _)| name.clone());
        let mut lines: BTreeMap<String, (String, String)> = BTreeMap::new();
        for zone in self.lists.zones() {
            lines.insert(zone.into(), ("used".into(), String::new()));
        }
        for (zone, z) in &record.zones {
            let ordered = match (z.phase, self.cold.warmth(zone)) {
                (Phase::Used, _) => "used".to_string(),
                (Phase::Left, _) => format!("left {}", parts_line(&z.out)),
                (Phase::Returning, None) => "returning, nothing wanted yet".to_string(),
                (Phase::Returning, Some(_)) if !self.cold.has_begun(zone) => {
                    format!("returning, nothing answers yet, {}", parts_line(&z.out))
                }
                (Phase::Returning, Some((low, high))) => {
                    format!("returning, {low} to {high} in 100 warm, {}", parts_line(&z.out))
                }
            };
            let word = z.wish.map_or(String::new(), |w| {
                let until = match w.until_ms {
                    0 => "until another word".to_string(),
                    ms => format!("for {} s more", ms.saturating_sub(record.clock_ms) / 1_000),
                };
                format!("; a person's word: {:?}, {until}", w.what).to_lowercase()
            });
            lines.insert(zone.clone(), (ordered, format!("{}{word}", z.why)));
        }
        for (zone, verdict) in &self.verdicts {
            let seen = match verdict {
                Verdict::Well => continue,
                Verdict::Unclear => "too little is seen to say what fails".to_string(),
                Verdict::Destinations(dests) => format!("destinations {dests:?} fail there"),
                Verdict::Own(own) => format!("only senders in {own:?} see it fail"),
                Verdict::Fails { seen_by, of } => {
                    let why = self.may_leave(zone, record).err();
                    let why = why.map_or(String::new(), |why| format!(", not left: {why}"));
                    format!("{seen_by} of {of} senders see it fail{why}")
                }
            };
            let line = lines.entry(zone.clone()).or_insert_with(|| ("used".into(), String::new()));
            let between = if line.1.is_empty() { "" } else { "; " };
            line.1.push_str(between);
            line.1.push_str(&seen);
        }
        Status {
            term: self.term,
            version: record.version,
            senders: senders.collect(),
            lapsed: lapsed.collect(),
            zones: lines.into_iter().map(|(zone, (ordered, why))| (zone, ordered, why)).collect(),
            ..Status::default()
        }
    }
}

/// A change of policies, based on the turn that stands.
fn policy(record: &Record, change: Change) -> Out {
    Out::Propose(Command::Policy { base: record.policies.turn, change: Box::new(change) })
}

/// What the leader does with tables, as commands.
fn switched(record: &Record, said: Vec<switch::Out>, out: &mut Vec<Out>) {
    out.extend(said.into_iter().map(|said| match said {
        switch::Out::Site(change) => Out::Propose(table(record, change)),
        switch::Out::Federation(command) => Out::Federation(command),
    }));
}

/// A change of tables, based on the turn that stands.
fn table(record: &Record, change: tables::Change) -> Command {
    Command::Table { base: record.tables.turn, change: Box::new(change) }
}

/// An order: the zone, its phase, who is out, returns that failed, and why.
type Next = (String, Phase, Vec<(u16, f32)>, u32, String);

fn wish(wish: Option<Wish>) -> Option<ZoneWish> {
    wish.map(|w| w.what)
}

/// So many milliseconds, counted longer than any other clock counts them.
fn longer(ms: u32) -> Time {
    Time::from(ms) * 1_020_000
}

/// Says the record to a sender that lacks some of it; once, and again where it does not come to have it in half a second.
fn view(now: Time, session: &mut Session, record: &Record, out: &mut Vec<Out>) {
    let (told, at) = session.told;
    let again = told < record.changed || told == 0 || now >= at + AGAIN / 2;
    if let Some(line) = session.line.filter(|_| !session.lapsing && again && record.is_news_to(session.has)) {
        session.told = (record.version, now);
        out.push(Out::Say(line, ToAgent::View(record.view())));
    }
}

/// Calls a second that a zone would get for a destination were all senders in it: its part, by the list, of all that is carried there.
fn comes(lists: &Lists, evidence: &Evidence, zone: &str, dest: u16) -> f64 {
    let rates = lists.zones().filter_map(|z| Some((z, lists.route(z, dest)?.rate)));
    let (all, carried) =
        rates.fold((0.0, 0.0), |(all, carried), (z, rate)| (all + rate, carried + evidence.carried(z, dest)));
    carried * lists.route(zone, dest).map_or(0.0, |r| r.rate) / f64::max(all, 1e-9)
}

/// The part of the senders that is out of a destination.
fn part_of(parts: &[(u16, f32)], dest: u16) -> f32 {
    parts.iter().find(|(d, _)| *d == dest).map_or(0.0, |(_, part)| *part)
}

fn parts_line(out: &[(u16, f32)]) -> String {
    let low = out.iter().map(|(_, part)| *part).fold(1.0, f32::min);
    format!("for {} destinations by {:.0} in 100 senders or more", out.len(), low * 100.0)
}
