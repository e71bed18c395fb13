//! What the leader alone does: sessions and their leases, evidence, shares of budgets. None of it
//! outlives its term: the next leader begins anew, and whatever must not be told twice stands in
//! the record first.
//!
//! # Leases
//!
//! An agent counts 98 in 100 of its lease from when it sent the word that was answered; the leader
//! counts 102 in 100 from when it answers. A leader that was deposed and does not know it must not
//! go on renewing for long: it renews only until [`Rules::sure_ms`] after the moment at which it
//! proposed the last beat that the record has. What it proposed after its successor was elected is
//! never there, so it renews nothing later than that after the election; its successor counts all
//! leases of the record from its own start, and so much longer. So at no time does an agent count
//! on a lease that the record has as lapsed.
//!
//! # Orders
//!
//! One decision is out at a time. Each names the record's epoch that it was based on and is void
//! where another one came before, so what holds for the decision (a destination keeps a route, not
//! too many zones are out) holds for the record.

use crate::coordination::messages::{FromPerson, Print, ToAgent, ToPerson};
use crate::coordination::policy_rollout::register::Change;
use crate::coordination::policy_rollout::rollout::Roll;
use crate::coordination::record::{Command, Record};
use crate::coordination::routing_table::cutover::{Known, Switch};
use crate::coordination::routing_table::federation;
use crate::coordination::zones::evidence::{Evidence, Verdict};
use crate::coordination::zones::ms;
use crate::coordination::zones::recovery_ramp::Cold;
use crate::coordination::zones::spare_capacity::Lists;
use crate::Nanos;

use orders::policy;
use sessions::view;
use std::collections::{BTreeMap, VecDeque};

mod announce;
mod capacity;
mod decide;
mod orders;
mod rules;
mod sessions;
mod status;

pub use rules::Rules;

/// Zones are judged this often.
const LOOK: Nanos = 100_000_000;
/// What is proposed and does not come within this time may be proposed again: ten times what a slow
/// disk takes.
const AGAIN: Nanos = 1_000_000_000;
/// What a person hears whose order the record did not have in five times that.
const UNAGREED: &str = "the keepers did not agree in 5 s; look at the status and say it again";

/// Names a connection; given by the replica and never used twice in one process.
pub type ConnectionId = u64;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Bring this into the record. It may be lost with the term.
    Propose(Command),
    /// Say this to an agent.
    Say(ConnectionId, ToAgent),
    /// Answer an operator.
    Answer(ConnectionId, ToPerson),
    /// Bring this into the federation's record. It may be lost.
    Federation(federation::Command),
}

#[derive(Clone, Debug)]
struct Session {
    id: u32,
    boot: u64,
    connection: Option<ConnectionId>,
    until: Nanos,
    /// The highest report that was counted.
    report: u64,
    /// A word that is not answered yet, as the leader is not sure of itself.
    owed: Option<u64>,
    has: u64,
    /// The version of the last view that was said over this connection, and when.
    told: (u64, Nanos),
    /// Its lapse is proposed.
    lapsing: bool,
}

#[derive(Clone, Debug)]
struct Joining {
    boot: u64,
    connection: ConnectionId,
    has: u64,
    at: Nanos,
    stored: Option<Vec<(u64, Print)>>,
    /// Routing tables that it has, once it has said so.
    tables: Option<Vec<(u64, Print)>>,
}

/// An order on the federation's record that does not show it yet, and when it was given. It is
/// brought there once: what was void as something else ran must not come up again when that is
/// over.
#[derive(Clone, Debug)]
struct PendingTableOrder {
    connection: ConnectionId,
    command: federation::Command,
    at: Nanos,
}

/// An order on policies that is not in the record yet.
#[derive(Clone, Debug)]
struct PendingPolicyOrder {
    connection: ConnectionId,
    word: FromPerson,
    /// The turn that it was proposed on, and as what.
    base: u64,
    change: Change,
    at: Nanos,
}

/// The leader of one term.
#[derive(Clone, Debug)]
pub struct LeaderDuties {
    rules: Rules,
    term: u64,
    sessions: BTreeMap<String, Session>,
    names: BTreeMap<u32, String>,
    connections: BTreeMap<ConnectionId, String>,
    joining: BTreeMap<String, Joining>,
    pending_orders: VecDeque<(ConnectionId, Command, Nanos)>,
    pending_policy_orders: Vec<PendingPolicyOrder>,
    pending_table_orders: Vec<PendingTableOrder>,
    roll: Roll,
    switch: Switch,
    /// The federation, where the site is in one.
    known: Option<Known>,
    evidence: Evidence,
    lists: Lists,
    cold: Cold,
    verdicts: BTreeMap<String, Verdict>,
    /// The decision that is out: the epoch it was based on, and when it was proposed.
    deciding: Option<(u64, Nanos)>,
    next_id: u32,
    looked: Nanos,
    beats: VecDeque<(u64, Nanos)>,
    beat: u64,
    counted: Nanos,
    /// Nobody here knows for how long nobody counted before this term.
    unknown_gap: bool,
    sure_until: Nanos,
}

impl LeaderDuties {
    /// Begins with nothing but the record. Leases that an earlier term gave may still run: all of
    /// them count as renewed now.
    pub fn new(rules: Rules, term: u64, now: Nanos, record: &Record) -> LeaderDuties {
        let mut duties = LeaderDuties {
            term,
            sessions: BTreeMap::new(),
            names: BTreeMap::new(),
            connections: BTreeMap::new(),
            joining: BTreeMap::new(),
            pending_orders: VecDeque::new(),
            pending_policy_orders: Vec::new(),
            pending_table_orders: Vec::new(),
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
        let until =
            now + leader_side_lease(duties.rules.lease_ms.saturating_add(duties.rules.sure_ms));
        for (sender, m) in record.roster.iter().filter(|(_, m)| m.live) {
            duties.add_session(sender, m.boot, &m.zone, None, until, 0);
        }
        duties
    }

    /// Tells when this keeper saw a leader in office last, before it took over itself; nothing,
    /// where it never did.
    pub fn led(mut self, now: Nanos, at: Option<Nanos>) -> LeaderDuties {
        (self.roll, self.switch) = (Roll::new(now, at), Switch::new(now, at));
        // The first beat counts the time between: nobody else does.
        (self.counted, self.unknown_gap) = (at.unwrap_or(now), at.is_none());
        self
    }

    /// A command was applied to the record, which stands as given.
    pub fn applied(
        &mut self,
        now: Nanos,
        index: u64,
        command: &Command,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        match command {
            Command::Join { sender, boot, zone } => {
                self.joined(now, (sender, *boot, zone), record, out)
            }
            Command::Lapse { sender, boot } => self.lapsed(sender, *boot, record),
            Command::Beat { term, beat, .. } => {
                if *term == self.term {
                    self.beat_applied(*beat);
                    self.renew_owed(now, record, out);
                }
            }
            Command::Order { .. } => {
                self.deciding = self.deciding.filter(|(base, _)| *base >= record.epoch);
                if record.changed == index {
                    self.follow(now, record);
                    self.sessions
                        .values_mut()
                        .for_each(|s| view(now, s, record, out));
                }
            }
            Command::Wish { .. } => {
                let done = self
                    .pending_orders
                    .iter()
                    .position(|(_, c, _)| c == command);
                if let Some((connection, ..)) = done.and_then(|at| self.pending_orders.remove(at)) {
                    out.push(Out::Answer(connection, ToPerson::Done(index)));
                }
                self.looked = 0;
                self.decide(now, record, out);
            }
            Command::Slice {
                term,
                slice,
                zone,
                epoch,
                ..
            } => {
                let stands = record
                    .zones
                    .get(zone)
                    .is_some_and(|z| z.slice == (*term, *slice));
                if *term == self.term && stands && record.zones[zone].epoch == *epoch {
                    self.cold.stands(zone, *slice);
                    self.send_grants(now, out);
                }
            }
            Command::Policy { change, .. } => {
                self.changed_policies(now, index, change, record, out)
            }
            Command::Table { change, .. } => {
                self.switch.applied(now, index, change, record);
                if record.tables.at == index {
                    self.say_all_tables(now, record, out);
                }
            }
            Command::Fence { .. } | Command::Voice { .. } => {}
        }
    }

    /// The record has a beat of this term: leases may be renewed for some time after it was
    /// proposed.
    fn beat_applied(&mut self, beat: u64) {
        while self.beats.front().is_some_and(|(n, _)| *n <= beat) {
            if let Some((_, at)) = self.beats.pop_front() {
                self.sure_until = self.sure_until.max(at + ms(self.rules.sure_ms));
            }
        }
    }

    /// Time has passed; to be told some ten times a second.
    pub fn tick(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        self.beat(now, record, out);
        for (sender, s) in &mut self.sessions {
            if now >= s.until {
                // Said again each second, should it be lost; by then the session has no connection.
                (s.lapsing, s.until) = (true, now + AGAIN);
                out.push(Out::Propose(Command::Lapse {
                    sender: sender.clone(),
                    boot: s.boot,
                }));
            }
        }
        let sessions = &self.sessions;
        self.connections
            .retain(|_, name| sessions.get(name).is_some_and(|s| !s.lapsing));
        self.joining.retain(|_, j| now < j.at + 2 * AGAIN);
        while self
            .pending_orders
            .front()
            .is_some_and(|(_, _, at)| now >= at + 5 * AGAIN)
        {
            if let Some((connection, ..)) = self.pending_orders.pop_front() {
                out.push(Out::Answer(connection, ToPerson::Refused(UNAGREED.into())));
            }
        }
        let (old, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_policy_orders)
            .into_iter()
            .partition(|a| now >= a.at + 5 * AGAIN);
        self.pending_policy_orders = waiting;
        for a in old {
            out.push(Out::Answer(
                a.connection,
                ToPerson::Refused(UNAGREED.into()),
            ));
        }
        self.deciding = self
            .deciding
            .filter(|(base, at)| *base == record.epoch && now < at + AGAIN);
        if now >= self.looked + LOOK {
            self.decide(now, record, out);
        }
        let change = self.roll.tick(now, record);
        out.extend(change.map(|change| policy(record, change)));
        self.say_all_policies(now, record, out);
        self.tick_tables(now, record, out);
        self.say_all_tables(now, record, out);
        self.reserve(now, record, out);
        self.send_grants(now, out);
    }

    fn beat(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        let first = self.beat == 0;
        if !first && now < self.counted + ms(self.rules.beat_ms) {
            return;
        }
        self.beat += 1;
        let passed = ((now - self.counted) / 1_000_000).min(u64::from(u32::MAX)) as u32;
        // What is left of a millisecond counts with the next.
        self.counted += Nanos::from(passed) * 1_000_000;
        if self.beats.len() >= 64 {
            self.beats.pop_front();
        }
        self.beats.push_back((self.beat, now));
        // A gap that nobody knows ends the lease in the federation: else a later leader would
        // believe what is left of it.
        let lease = record.tables.lease_ms.saturating_sub(record.clock_ms);
        let gap = if std::mem::take(&mut self.unknown_gap) {
            lease
        } else {
            0
        };
        let ms = passed.max(gap.min(u64::from(u32::MAX)) as u32);
        out.push(Out::Propose(Command::Beat {
            term: self.term,
            beat: self.beat,
            ms,
        }));
    }
}

/// So many milliseconds, counted longer than any other clock counts them.
fn leader_side_lease(ms: u32) -> Nanos {
    Nanos::from(ms) * 1_020_000
}
