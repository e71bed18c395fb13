//! A site's part in its federation, as the keeper that leads the site plays it: a member of the
//! group of sites, and, where that leads, its office. No socket, no clock.
//!
//! # Where its vote stands
//!
//! What the member has to write down goes into the site's record
//! ([`DurableVote`](super::durable_vote::DurableVote)). The voice begins with a fence there, goes on from what
//! the record then holds, and says what relies on a piece only when the record has that. So nothing
//! of an earlier voice can be taken after it began, and whatever an earlier one had said stands in
//! what it goes on from.
//!
//! An earlier one may speak on for a while. As a member that follows, it says what was written. As
//! the member that leads in a term, the library lets its messages go before they are written:
//! entries that it brings in that term, which no other voice of the site ever leads in, as a later
//! one begins as a follower and leads in a later term only. Those that take these entries count for
//! themselves; it does not count itself before they are written, which they never are. So what it
//! gets agreed is agreed by a majority of others.
//!
//! # Leases
//!
//! They are as the senders' ([`leader`](crate::coordination::leader)): the asker believes 98 in 100 of it
//! from when it asked, the site that leads counts 102 in 100 from when it answers, and it answers
//! only until [`SURE_MS`] after it proposed the last beat that the record has. How long they are
//! stands in the record before the first one is given. A new leader counts from its own start what
//! an earlier one may have given.

use crate::coordination::bootstrap::{admit, Bootstrap, PeerAdmission};
use crate::coordination::leader::ConnectionId;
use crate::coordination::messages::{FederationRequest, OperatorResponse};
use crate::coordination::raft_group::{
    GroupEvent, GroupFailure, GroupMember, RaftGroup, ELECTION_TICKS,
};
use crate::coordination::raft_log::{Checkpoint, LogItem, ReplicaIdentity};
use crate::coordination::record::{self, Record};
use crate::coordination::routing_table::cutover::Known;
use crate::coordination::routing_table::federation::{Command, Federation, DECIDED, SURE_MS};
use crate::Nanos;
use protobuf::Message as _;
use raft::eraftpb::MessageType;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

mod lead;

/// What is proposed and does not come within this time is proposed again: ten times what a slow
/// disk takes.
const AGAIN: Nanos = 1_000_000_000;
/// The same where it was refused, as too much waited.
const SOON: Nanos = 100_000_000;
/// The site that leads shows the record that it does this often.
const BEAT_MS: u32 = 1_000;
/// A lease is asked for this often, or three times in its length; and more often where a third of
/// it is gone.
const ASK: (Nanos, Nanos) = (1_000_000_000, 250_000_000);
/// Words that ask and are not answered, at the most.
const ASKS: usize = 16;
/// A site counts as heard for so long after a word or a sign of life.
const HEARD: Nanos = 3_000_000_000;
/// Orders of people that wait for the site that leads, at the most, and for how long.
const ORDERS: (usize, Nanos) = (100, 5_000_000_000);

/// Another site, as the file names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Its keepers.
    pub at: Vec<SocketAddr>,
}

/// What a voice is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The federation.
    pub name: Arc<str>,
    /// This site's number in it, and its name.
    pub number: u64,
    /// See above.
    pub site: String,
    /// The federation starts for the first time, with this site and all others of the file.
    pub begin: bool,
    /// The number that this site had in it before, and that it gives up.
    pub formerly: Option<u64>,
    /// The others.
    pub sites: BTreeMap<u64, Place>,
    /// A site's lease, in milliseconds.
    pub lease_ms: u32,
    /// Its senders are fenced for certain so long after its lease is over, in milliseconds.
    pub fence_ms: u32,
    /// Length of a tick, in milliseconds.
    pub tick_ms: u32,
    /// Beyond its lease the site takes nothing new on.
    pub holds: bool,
}

/// What voices say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// A message of the group.
    Raft(ByteBuf),
    /// To the site that leads: bring this into the record.
    Command(Box<Command>),
    /// To the site that leads: a lease is asked for.
    Ask(u64),
    /// It is given, for so long from when the word was sent that asked, in milliseconds.
    Granted {
        /// That word.
        ask: u64,
        /// How long.
        lease_ms: u32,
        /// The version of the record by which it was: it counts once that is here, so whoever has a
        /// lease knows what stood then.
        version: u64,
    },
    /// To the site that leads: a person's order on the roster.
    Order {
        /// Names it at the site that sends it.
        id: u64,
        /// It.
        order: FederationRequest,
    },
    /// What came of it: the version of the record that has it, or why not.
    Ordered {
        /// The order.
        id: u64,
        /// What.
        answer: Result<u64, String>,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Bring this into the site's record. It is said again as long as that does not show it.
    Propose(record::Command),
    /// Say this to another site's voice. It may be lost.
    Say(u64, Word),
    /// The same with a message of the group; whether it went is to be told by [`Voice::sent`]. And
    /// whether it has a snapshot.
    Raft(u64, Word, bool),
    /// Answer a person.
    Answer(ConnectionId, OperatorResponse),
    /// Ask a site at these addresses for its incarnation; answered by [`Voice::met`].
    Meet(u64, Vec<SocketAddr>),
}

/// Whether another voice may be heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    /// It may: this site's record knows it.
    Known,
    /// Not yet.
    Later,
    /// It may not.
    No(String),
}

enum Stage {
    /// The fence is not in the record yet.
    Fences,
    /// What the member begins with is not in the record yet, or the federation has not begun.
    Begins(Box<Bootstrap>),
    Takes(Box<RaftGroup<Federation>>),
    /// It cannot go on, and why.
    Stuck(String),
}

/// Who ordered a change of the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asker {
    Here(ConnectionId),
    There(u64, u64),
}

/// A change of the roster.
struct Doing {
    asker: Asker,
    since: Nanos,
    site: u64,
    name: String,
    step: Step,
}

enum Step {
    /// A site is asked for its incarnation; its addresses.
    Meets(String),
    /// It is added to the group.
    Adds,
    /// It is put on the roster: the command that says so.
    Joins,
    /// It stands there, and is brought what was agreed, up to this place of the log.
    Brings(u64),
    /// It is put off the roster.
    Offs,
}

/// What the site that leads does beyond the group.
struct Lead {
    term: u64,
    beats: VecDeque<(u64, Nanos)>,
    beat: u64,
    counted: Nanos,
    sure_until: Nanos,
    /// Until when the leases run that were given, as this leader counts, and all that earlier ones
    /// gave.
    leases: BTreeMap<u64, Nanos>,
    before: Nanos,
    /// Sites that are given none, and until when.
    stopped: BTreeMap<u64, Nanos>,
    doing: Option<Doing>,
    /// When what the roster lacks was proposed last.
    tended: Nanos,
}

/// What the log was told of the record.
#[derive(Default)]
struct Told {
    proposed: u64,
    ended: u64,
    sites: BTreeMap<u64, String>,
}

/// The machine.
pub struct Voice {
    settings: Settings,
    /// The term at the site.
    term: u64,
    rng: fastrand::Rng,
    stage: Stage,
    /// The last piece's number; the piece, when it is not in the record yet; when the last proposal
    /// is to be made again.
    number: u64,
    saving: Option<LogItem>,
    again: Nanos,
    ticked: Nanos,
    heard: BTreeMap<u64, Nanos>,
    /// Words that asked for a lease, the site that was asked, and when.
    asks: VecDeque<(u64, u64, Nanos)>,
    ask: u64,
    asked: Nanos,
    /// Leases that were given by a record that is not here yet: its version, and until when they
    /// run.
    given: VecDeque<(u64, Nanos)>,
    lead: Option<Lead>,
    /// Orders that were handed on.
    orders: BTreeMap<u64, (ConnectionId, Nanos)>,
    order: u64,
    known: Known,
    told: Option<Told>,
}

fn ms(ms: u32) -> Nanos {
    Nanos::from(ms) * 1_000_000
}

/// As the one that gives it counts.
fn longer(time: Nanos) -> Nanos {
    time / 100 * 102
}

/// As the one that has it counts.
fn shorter(time: Nanos) -> Nanos {
    time / 100 * 98
}

impl Settings {
    /// Whether a record in which this identity wrote is this site's.
    ///
    /// # Errors
    /// It is another one's.
    pub fn fits(&self, held: &ReplicaIdentity) -> Result<(), String> {
        let number = held.keeper == self.number || Some(held.keeper) == self.formerly;
        match number && held.site == *self.name {
            true => Ok(()),
            false => Err(format!(
                "the site's record is of site {} of federation {:?}, the keeper's file says {} of {:?}",
                held.keeper, held.site, self.number, self.name
            )),
        }
    }
}

impl Voice {
    /// The voice of a site's leader, in its term at the site; it speaks when the record has its
    /// fence.
    pub fn new(settings: Settings, term: u64, now: Nanos, record: &Record, seed: u64) -> Voice {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (ask, order) = (rng.u64(..) >> 1, rng.u64(..) >> 1);
        let base = record.written.base.as_deref();
        // Until the group is heard, what the site knew last is what it knows.
        let held = base.and_then(|base| {
            crate::coordination::raft_group::GroupState::<Federation>::read(&base.held).ok()
        });
        let known = Known {
            name: settings.name.clone(),
            me: settings.number,
            record: Arc::new(held.unwrap_or_default().record),
            leader: 0,
            heard: BTreeSet::new(),
            lease: None,
            holds: settings.holds,
        };
        Voice {
            settings,
            term,
            rng,
            stage: Stage::Fences,
            number: 0,
            saving: None,
            again: now,
            ticked: now,
            heard: BTreeMap::new(),
            asks: VecDeque::new(),
            ask,
            asked: 0,
            given: VecDeque::new(),
            lead: None,
            orders: BTreeMap::new(),
            order,
            known,
            told: None,
        }
    }

    /// How the federation stands, as far as it is known here.
    pub fn known(&self) -> &Known {
        &self.known
    }

    /// The group, where the site takes part.
    pub fn group(&self) -> Option<&RaftGroup<Federation>> {
        match &self.stage {
            Stage::Takes(group) => Some(group),
            _ => None,
        }
    }

    /// Its term at the site: the voice of a later one goes before it.
    pub fn term(&self) -> u64 {
        self.term
    }

    fn who(&self) -> String {
        format!("federation {}", self.settings.name)
    }

    /// What this site is known by, once the record has it.
    pub fn incarnation(&self, record: &Record) -> Option<u64> {
        match &self.stage {
            Stage::Begins(_) | Stage::Takes(_) => {
                let base = record.written.base.as_ref()?;
                (base.identity.keeper == self.settings.number).then_some(base.identity.incarnation)
            }
            _ => None,
        }
    }

    /// Sites that it has to have a line to, and where.
    pub fn places(&self) -> BTreeMap<u64, Vec<SocketAddr>> {
        let named = |site: &u64| self.settings.sites.get(site).map(|place| place.at.clone());
        let members = self
            .group()
            .map(|group| &group.held().members)
            .filter(|m| !m.is_empty());
        match members {
            Some(members) => {
                let others = members
                    .iter()
                    .filter(|(site, _)| **site != self.settings.number);
                let at =
                    |m: &GroupMember| m.at.split(',').filter_map(|at| at.parse().ok()).collect();
                others
                    .map(|(site, m)| (*site, named(site).unwrap_or_else(|| at(m))))
                    .collect()
            }
            None => self
                .settings
                .sites
                .iter()
                .map(|(site, place)| (*site, place.at.clone()))
                .collect(),
        }
    }

    /// What a site is called.
    pub fn name_of(&self, site: u64) -> String {
        let on = self.known.record.sites.get(&site).map(|s| s.name.clone());
        on.or_else(|| self.settings.sites.get(&site).map(|p| p.name.clone()))
            .unwrap_or_else(|| site.to_string())
    }

    /// What keeps it from taking part.
    pub fn trouble(&self) -> Vec<(u64, String)> {
        let name = |site: &u64| self.name_of(*site);
        match &self.stage {
            Stage::Fences => Vec::new(),
            Stage::Stuck(why) => vec![(self.settings.number, format!("{}: {why}", self.who()))],
            Stage::Begins(begin) => {
                let missing = begin.missing();
                let told = missing.iter().map(|site| {
                    (
                        *site,
                        format!(
                            "site {}: not met yet: the federation has not begun",
                            name(site)
                        ),
                    )
                });
                told.collect()
            }
            Stage::Takes(group) => {
                let without = group.without_record();
                let told = without.iter().map(|site| {
                    (
                        *site,
                        format!(
                            "site {}: has not got the federation's record yet",
                            name(site)
                        ),
                    )
                });
                let own = self.known.record.sites.get(&self.settings.number);
                let other = own.filter(|s| s.name != self.settings.site).map(|s| {
                    (
                        self.settings.number,
                        format!("{}: it knows this site as {}", self.who(), s.name),
                    )
                });
                let off = self
                    .known
                    .record
                    .off
                    .contains(&self.settings.number)
                    .then(|| {
                        (
                            self.settings.number,
                            format!("{}: this site is off the roster", self.who()),
                        )
                    });
                told.chain(other).chain(off).collect()
            }
        }
    }

    // ---- What the site's record has.

    fn propose(&mut self, now: Nanos, out: &mut Vec<Out>) {
        self.again = now + AGAIN;
        let term = self.term;
        match (&self.stage, &self.saving) {
            (Stage::Fences, None) => out.push(Out::Propose(record::Command::FenceMember { term })),
            (_, Some(piece)) => {
                let (number, piece) = (self.number, piece.clone());
                out.push(Out::Propose(record::Command::PersistMemberLog {
                    term,
                    number,
                    piece,
                }));
            }
            _ => {}
        }
    }

    /// What was to be proposed to the site's record was refused.
    pub fn refused(&mut self, now: Nanos) {
        self.again = self.again.min(now + SOON);
    }

    fn write(&mut self, now: Nanos, piece: LogItem, out: &mut Vec<Out>) {
        self.number += 1;
        self.saving = Some(piece);
        self.propose(now, out);
    }

    /// A command of a voice was applied to the site's record, which stands as given.
    pub fn applied(
        &mut self,
        now: Nanos,
        command: &record::Command,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        match command {
            record::Command::FenceMember { term } => {
                let mine = *term == self.term && record.written.term == self.term;
                if mine && matches!(self.stage, Stage::Fences) && self.saving.is_none() {
                    self.begin(now, record, out);
                }
            }
            record::Command::PersistMemberLog { term, number, .. } => {
                let mine = *term == self.term
                    && record.written.term == self.term
                    && *number == self.number;
                if mine && self.saving.take().is_some() {
                    self.saved(now, record, out);
                }
            }
            _ => {}
        }
    }

    /// Goes on from what the record holds.
    fn begin(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        let (name, number) = (self.settings.name.to_string(), self.settings.number);
        let held = record.written.base.as_ref().map(|base| &base.identity);
        if let Some(Err(why)) = held.map(|id| self.settings.fits(id)) {
            return self.stick(why);
        }
        match held {
            Some(id) if id.keeper == number => self.start(now, record, out),
            // Nothing may be said before the record has what it is known by.
            given_up => {
                given_up
                    .inspect(|id| log::info!("{}: gives up the number {}", self.who(), id.keeper));
                let identity = ReplicaIdentity {
                    site: name,
                    keeper: number,
                    incarnation: self.rng.u64(..),
                };
                let base = match self.settings.begin {
                    true => Bootstrap::empty_of::<Federation>(
                        identity,
                        self.settings.sites.keys().copied(),
                    ),
                    false => Bootstrap::joining_of::<Federation>(identity),
                };
                self.write(now, LogItem::Checkpoint(Box::new(base)), out);
            }
        }
    }

    fn start(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        let Some(base) = record.written.base.as_deref() else {
            return;
        };
        let who = self.who();
        if matches!(self.stage, Stage::Fences) {
            log::info!(
                "{who}: speaks for site {} in term {}",
                self.settings.number,
                self.term
            );
        }
        self.ticked = now;
        if base.begun {
            match RaftGroup::resumed(base.clone(), self.rng.u64(..)) {
                Ok(group) => self.stage = Stage::Takes(Box::new(group)),
                Err(e) => return self.stick(e.to_string()),
            }
            self.work(now, out);
        } else {
            let begin = Bootstrap::new(base.clone());
            log::info!(
                "{who}: begins when it and sites {:?} know each other",
                begin.missing()
            );
            self.stage = Stage::Begins(Box::new(begin));
            self.tend_begin(now, record, out);
        }
    }

    fn stick(&mut self, why: String) {
        log::error!("{}: this site takes no part: {why}", self.who());
        (self.stage, self.lead) = (Stage::Stuck(why), None);
    }

    /// The record has the piece that was written.
    fn saved(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        match &mut self.stage {
            Stage::Fences => self.start(now, record, out),
            Stage::Begins(_) => {
                let begun = record
                    .written
                    .base
                    .as_deref()
                    .is_some_and(|base| base.begun);
                match begun {
                    true => self.start(now, record, out),
                    false => self.tend_begin(now, record, out),
                }
            }
            Stage::Takes(group) => {
                group.saved();
                if record.written.wants_base() {
                    group.compact();
                }
                self.work(now, out);
            }
            Stage::Stuck(_) => {}
        }
    }

    /// A first start: writes down whom it knows, and begins when nobody is missing.
    fn tend_begin(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        let Stage::Begins(begin) = &self.stage else {
            return;
        };
        if self.saving.is_some() {
            return;
        }
        let done = begin.finish_of::<Federation>(&BTreeMap::new());
        let done =
            done.inspect(|_| log::info!("{}: all sites know each other, begins", self.who()));
        let base: Checkpoint = done.unwrap_or_else(|| begin.base().clone());
        if record.written.base.as_deref() != Some(&base) {
            self.write(now, LogItem::Checkpoint(Box::new(base)), out);
        }
    }

    // ---- Other sites.

    /// Another site's voice came, and tells its incarnation.
    pub fn came(
        &mut self,
        now: Nanos,
        site: u64,
        incarnation: u64,
        record: &Record,
        out: &mut Vec<Out>,
    ) -> Came {
        let heard = match &mut self.stage {
            Stage::Begins(begin) => begin.tells(site, incarnation),
            Stage::Takes(group) => admit(group.held(), site, incarnation),
            Stage::Fences => return Came::Later,
            Stage::Stuck(why) => return Came::No(why.clone()),
        };
        self.tend_begin(now, record, out);
        match heard {
            PeerAdmission::Rejected(_) => Came::No(match self.known.record.off.contains(&site) {
                true => format!("site {site} is off the roster: it may join under another number"),
                false => format!(
                    "site {site} is not in this federation, or its record is another one than before: put it off the roster, and let it \
                     join under another number"
                ),
            }),
            PeerAdmission::Known => match &self.stage {
                // What it waits for is that it is written down here.
                Stage::Begins(_) if !self.has_written(site, incarnation, record) => Came::Later,
                _ => Came::Known,
            },
            PeerAdmission::New => Came::Later,
        }
    }

    fn has_written(&self, site: u64, incarnation: u64, record: &Record) -> bool {
        let base = record.written.base.as_ref();
        base.is_some_and(|base| base.known.get(&site) == Some(&incarnation))
    }

    /// Another site's voice answered that it knows this one, and with its incarnation.
    pub fn answered(
        &mut self,
        now: Nanos,
        site: u64,
        incarnation: u64,
        record: &Record,
        out: &mut Vec<Out>,
    ) -> Came {
        if let Stage::Begins(begin) = &mut self.stage {
            if !matches!(begin.tells(site, incarnation), PeerAdmission::Rejected(_)) {
                begin.knows(site);
                self.tend_begin(now, record, out);
                return Came::Known;
            }
        }
        self.came(now, site, incarnation, record, out)
    }

    /// A site gave a sign of life.
    pub fn lives(&mut self, now: Nanos, site: u64) {
        self.heard.insert(site, now);
    }

    /// A message of the group went, or did not.
    pub fn sent(&mut self, site: u64, snapshot: bool, went: bool) {
        if let Stage::Takes(group) = &mut self.stage {
            match (went, snapshot) {
                (true, true) => group.snapshot_sent(site),
                (true, false) => {}
                (false, snapshot) => group.unreachable(site, snapshot),
            }
        }
    }

    /// Another site's voice says something.
    ///
    /// # Errors
    /// No voice says so: its line is to be ended.
    pub fn hear(
        &mut self,
        now: Nanos,
        site: u64,
        word: Word,
        out: &mut Vec<Out>,
    ) -> Result<(), String> {
        let Stage::Takes(group) = &mut self.stage else {
            return Ok(());
        };
        self.heard.insert(site, now);
        match word {
            Word::Raft(bytes) => group.step(site, &bytes)?,
            Word::Command(command) => match says(&command, site, &self.known.record) {
                true => self.command(now, *command, out),
                false => log::debug!("{}: not site {site}'s to say: {command:?}", self.who()),
            },
            Word::Ask(ask) => {
                if let Some((lease_ms, version)) = self.grant(now, site) {
                    out.push(Out::Say(
                        site,
                        Word::Granted {
                            ask,
                            lease_ms,
                            version,
                        },
                    ));
                }
            }
            Word::Granted {
                ask,
                lease_ms,
                version,
            } => {
                let asked = self
                    .asks
                    .iter()
                    .position(|(id, at, _)| (*id, *at) == (ask, site));
                if let Some((_, _, at)) = asked.and_then(|n| self.asks.remove(n)) {
                    self.has_lease(at, lease_ms, version);
                }
            }
            Word::Order { id, order } => self.do_order(now, Asker::There(site, id), &order, out),
            Word::Ordered { id, answer } => {
                if let Some((line, _)) = self.orders.remove(&id) {
                    let word =
                        answer.map_or_else(OperatorResponse::Rejected, OperatorResponse::Done);
                    out.push(Out::Answer(line, word));
                }
            }
        }
        self.work(now, out);
        Ok(())
    }

    // ---- The group.

    /// Time has passed; to be told some ten times a second, and before words that came in after the
    /// voice stood still.
    pub fn tick(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        if now >= self.again && (self.saving.is_some() || matches!(self.stage, Stage::Fences)) {
            self.propose(now, out);
        }
        if let Stage::Takes(group) = &mut self.stage {
            let tick = ms(self.settings.tick_ms);
            let due = (now - self.ticked) / tick;
            self.ticked += tick * due;
            // After twice the time of an election, a leader that heard nobody leads no more.
            (0..due.min(2 * ELECTION_TICKS as u64)).for_each(|_| group.tick());
        }
        self.tend_begin(now, record, out);
        self.work(now, out);
        self.lead(now, out);
        self.ask(now, out);
        self.heard.retain(|_, at| now < *at + HEARD);
        self.known.heard = self.heard.keys().copied().collect();
        let late: Vec<u64> = self
            .orders
            .iter()
            .filter(|(_, o)| now >= o.1 + ORDERS.1)
            .map(|(id, _)| *id)
            .collect();
        for (line, _) in late
            .iter()
            .filter_map(|id| self.orders.remove(id))
            .collect::<Vec<_>>()
        {
            let why =
                "the site that leads did not answer in 5 s; look at the status and say it again";
            out.push(Out::Answer(line, OperatorResponse::Rejected(why.into())));
        }
        self.work(now, out);
    }

    /// Goes on until nothing more is to be done.
    fn work(&mut self, now: Nanos, out: &mut Vec<Out>) {
        loop {
            let Stage::Takes(group) = &mut self.stage else {
                return;
            };
            let mut events = Vec::new();
            let messages = match group.work(&mut events) {
                Ok(messages) => messages,
                Err(GroupFailure::LostAcknowledged { last, known, leader }) => {
                    return self.stick(format!(
                        "the record ends at place {last}, and site {leader}, which leads, knows that this one held {known}: what was \
                         acknowledged is lost, and it may not vote again: put it off the roster, and let it join under another number"
                    ))
                }
                Err(e) => return self.stick(e.to_string()),
            };
            let idle = messages.is_empty() && events.is_empty();
            for message in messages {
                let snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
                match message.write_to_bytes() {
                    Ok(bytes) => out.push(Out::Raft(
                        message.to,
                        Word::Raft(ByteBuf::from(bytes)),
                        snapshot,
                    )),
                    Err(e) => log::error!("{}: a message to site {}: {e}", self.who(), message.to),
                }
            }
            for event in events {
                self.happened(event, out);
            }
            self.leads(now);
            let Stage::Takes(group) = &mut self.stage else {
                return;
            };
            let piece = if self.saving.is_none() {
                group.piece()
            } else {
                None
            };
            if let Some(piece) = piece {
                self.write(now, piece, out);
            } else if idle {
                break;
            }
        }
        self.tell();
    }

    fn happened(&mut self, event: GroupEvent<Command>, out: &mut Vec<Out>) {
        let who = self.who();
        let Stage::Takes(group) = &self.stage else {
            return;
        };
        match event {
            GroupEvent::Applied(index, command) => {
                log::debug!("{who}: applied {index} {command:?}");
                if let Some(lead) = &mut self.lead {
                    match &command {
                        Command::Beat { term, beat, .. } if *term == lead.term => {
                            while lead.beats.front().is_some_and(|(n, _)| n <= beat) {
                                if let Some((_, at)) = lead.beats.pop_front() {
                                    lead.sure_until = lead.sure_until.max(at + ms(SURE_MS));
                                }
                            }
                        }
                        Command::Join { site, .. } => {
                            let on = group.record().sites.get(site).map(|s| &s.name);
                            let stands = |d: &&mut Doing| d.site == *site && on == Some(&d.name);
                            if let Some(doing) = lead.doing.as_mut().filter(stands) {
                                doing.step = Step::Brings(index);
                            }
                        }
                        Command::Off { site } => {
                            let done =
                                |d: &mut Doing| d.site == *site && matches!(d.step, Step::Offs);
                            if let Some(doing) = lead.doing.take_if(done) {
                                lead::answer(doing.asker, Ok(index), out);
                            }
                        }
                        _ => {}
                    }
                }
            }
            GroupEvent::MembersChanged(index, site) => {
                log::info!("{who}: sites {:?} by entry {index}", group.voters());
                let came = group.held().members.contains_key(&site);
                let adds = |d: &&mut Doing| came && d.site == site && matches!(d.step, Step::Adds);
                let doing = self
                    .lead
                    .as_mut()
                    .and_then(|lead| lead.doing.as_mut())
                    .filter(adds);
                doing.into_iter().for_each(|d| d.step = Step::Joins);
            }
            GroupEvent::SnapshotRestored(index) => {
                log::info!("{who}: has the record up to {index} from another site")
            }
            GroupEvent::LeaderChanged(leader, term) => {
                if leader != 0 && leader != group.me() {
                    log::info!("{who}: follows site {leader} in term {term}");
                }
                // The one that leads now has not been asked yet.
                self.asked = 0;
            }
        }
    }

    /// Takes office, or gives it up.
    fn leads(&mut self, now: Nanos) {
        let Stage::Takes(group) = &self.stage else {
            return;
        };
        let term = group.term();
        if group.leader() != group.me() || self.lead.as_ref().is_some_and(|lead| lead.term != term)
        {
            self.lead = None;
        }
        if group.is_ready_to_lead() && self.lead.is_none() {
            log::info!("{}: site {} leads in term {term}", self.who(), group.me());
            self.lead = Some(Lead {
                term,
                beats: VecDeque::new(),
                beat: 0,
                counted: now,
                sure_until: 0,
                leases: BTreeMap::new(),
                before: now + longer(group.record().leases_left_ms().saturating_mul(1_000_000)),
                stopped: BTreeMap::new(),
                doing: None,
                tended: 0,
            });
        }
        let leads = group.leader() != group.me() || self.lead.is_some();
        self.known.leader = if leads { group.leader() } else { 0 };
        if group.record().version != self.known.record.version {
            self.known.record = Arc::new(group.record().clone());
            self.count_leases();
        }
    }

    /// Tells the log what has become of the record.
    fn tell(&mut self) {
        let Stage::Takes(group) = &self.stage else {
            return;
        };
        let record = group.record();
        let first = self.told.is_none();
        let told = self.told.get_or_insert_with(Told::default);
        let say = |what: String| (!first).then(|| log::info!("{what}"));
        for past in record.past.iter().filter(|p| p.number > told.ended) {
            if past.number > told.proposed {
                say(format!("table {}: proposed by {}", past.number, past.by.0));
            }
            say(match past.end.as_str() {
                DECIDED => format!("table {}: decided", past.number),
                why => format!("table {}: ended: {why}", past.number),
            });
        }
        if let Some(p) = record
            .proposal
            .as_ref()
            .filter(|p| p.table.number > told.proposed)
        {
            say(format!("table {}: proposed by {}", p.table.number, p.by.0));
            told.proposed = p.table.number;
        }
        told.ended = record.past.back().map_or(0, |p| p.number).max(told.ended);
        told.proposed = told.proposed.max(told.ended);
        for (site, s) in record
            .sites
            .iter()
            .filter(|(site, _)| !told.sites.contains_key(site))
        {
            say(format!("site {} joins as {site}", s.name));
        }
        told.sites.retain(|site, name| {
            let stays = record.sites.contains_key(site);
            if !stays {
                say(format!("site {name} is off the roster"));
            }
            stays
        });
        told.sites
            .extend(record.sites.iter().map(|(site, s)| (*site, s.name.clone())));
    }

    // ---- Its lease, and what it wants of the site that leads.

    fn has_lease(&mut self, asked: Nanos, lease_ms: u32, version: u64) {
        if self.given.len() >= ASKS {
            self.given.pop_front();
        }
        self.given
            .push_back((version, asked + shorter(ms(lease_ms))));
        self.count_leases();
    }

    /// Leases that were given by what is known here count.
    fn count_leases(&mut self) {
        let (here, lease) = (self.known.record.version, &mut self.known.lease);
        self.given.retain(|(version, until)| {
            let counts = *version <= here;
            if counts {
                *lease = Some(lease.map_or(*until, |before| before.max(*until)));
            }
            !counts
        });
    }

    /// Asks for a lease, when that is due.
    fn ask(&mut self, now: Nanos, out: &mut Vec<Out>) {
        let lease = ms(self.settings.lease_ms);
        let fresh = self
            .known
            .lease
            .is_some_and(|until| until > now + lease / 3 * 2);
        let every = if fresh { ASK.0.min(lease / 3) } else { ASK.1 };
        let leader = self.known.leader;
        if leader == 0 || self.asked != 0 && now < self.asked + every {
            return;
        }
        self.asked = now;
        if leader == self.settings.number {
            if let Some((lease_ms, version)) = self.grant(now, leader) {
                self.has_lease(now, lease_ms, version);
            }
            return;
        }
        self.ask += 1;
        if self.asks.len() >= ASKS {
            self.asks.pop_front();
        }
        self.asks.push_back((self.ask, leader, now));
        out.push(Out::Say(leader, Word::Ask(self.ask)));
    }

    /// Brings a command before the federation's record, here or at the site that leads. It may be
    /// lost.
    pub fn command(&mut self, now: Nanos, command: Command, out: &mut Vec<Out>) {
        let leader = self.known.leader;
        let Stage::Takes(group) = &mut self.stage else {
            return;
        };
        if self.lead.is_some() {
            if let Err(no) = group.propose(&command) {
                log::debug!("{}: not proposed: {no}", self.who());
            }
            self.work(now, out);
        } else if leader != 0 {
            out.push(Out::Say(leader, Word::Command(Box::new(command))));
        }
    }

    // ---- The roster.

    /// A person's order on the roster: carried out here or at the site that leads.
    pub fn order(
        &mut self,
        now: Nanos,
        line: ConnectionId,
        order: &FederationRequest,
        out: &mut Vec<Out>,
    ) {
        if self.lead.is_some() {
            self.do_order(now, Asker::Here(line), order, out);
            return self.work(now, out);
        }
        let refused = match (&self.stage, self.known.leader) {
            (Stage::Stuck(why), _) => why.clone(),
            (_, 0) => "no site is known to lead the federation".into(),
            _ if self.orders.len() >= ORDERS.0 => "too many orders wait; again in a second".into(),
            (_, leader) => {
                self.order += 1;
                self.orders.insert(self.order, (line, now));
                out.push(Out::Say(
                    leader,
                    Word::Order {
                        id: self.order,
                        order: order.clone(),
                    },
                ));
                return;
            }
        };
        out.push(Out::Answer(line, OperatorResponse::Rejected(refused)));
    }

    /// Asks another site to lead, if this one does.
    pub fn hand_on(&mut self) -> bool {
        match &mut self.stage {
            Stage::Takes(group) if self.lead.is_some() => group.hand_on().is_ok(),
            _ => false,
        }
    }

    /// A line of a person is gone.
    pub fn hung_up(&mut self, line: ConnectionId) {
        self.orders.retain(|_, (l, _)| *l != line);
    }

    /// The voice ends: persons that wait are to ask elsewhere.
    pub fn ends(&mut self, out: &mut Vec<Out>) {
        let here = self
            .lead
            .take()
            .and_then(|lead| lead.doing)
            .map(|d| d.asker);
        let here = here.and_then(|asker| match asker {
            Asker::Here(line) => Some(line),
            Asker::There(..) => None,
        });
        let lines = std::mem::take(&mut self.orders)
            .into_values()
            .map(|o| o.0)
            .chain(here);
        out.extend(lines.map(|line| Out::Answer(line, OperatorResponse::NotLeader(None))));
    }
}

/// Keepers of one site that a file or an order may name.
pub const MOST_AT: usize = 9;

/// Whether a site may say that.
fn says(command: &Command, from: u64, record: &Federation) -> bool {
    match command {
        Command::Propose { by, .. } => record.sites.get(&from).is_some_and(|s| s.name == *by),
        Command::Accept { site, .. }
        | Command::Refuse { site, .. }
        | Command::Switched { site, .. } => *site == from,
        Command::Abort { .. } => true,
        Command::Beat { .. }
        | Command::Join { .. }
        | Command::Off { .. }
        | Command::Leases { .. } => false,
    }
}
