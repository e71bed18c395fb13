//! What an agent does: whom it asks, what it believes of its lease, what it was ordered and lent.
//! No I/O, no clock; the caller brings time and carries the words.
//!
//! **Time.** A lease counts from when the word was sent that it answers, by this machine's
//! monotonic clock. Clocks of two machines may run apart by 1 % each: of what it is told it takes
//! 0.98, so that the keepers' end of a lease is never before its own.
//!
//! **A word is said once on a connection.** What was not answered there is said again on the next
//! one, a report under the number that it had: keepers count each number once. A second answer, or
//! one that comes late, therefore finds the moment of the first sending, and lengthens nothing.
//!
//! **Alone.** Where the lease has lapsed nobody may count on this sender hearing anything: it goes
//! by its own calls, as one without keepers. But what was ordered left must not be called by all at
//! one moment: it would be a return at full load of something cold. Each sender comes back to it at
//! its own time, by lot, evenly over the time that endpoints need to get warm: the sum of the
//! senders then grows no faster than what is cold gets warm, with no word between them.

use crate::agent::call_statistics::{Ledger, GROUPS, NAME};
use crate::agent::register::{self, Doorway, Kind, Register, Said};
use crate::coordination::messages::{
    sender_hash_fraction, AgentTableMessage, AgentToReplica, AttemptLeaseGrant,
    AttemptLeaseRequest, Digest, ListedZoneCapacity, MessageOutcomeCounts, ReplicaTableMessage,
    ReplicaToAgent, SenderView, SiteAdmission, ZoneCallCounts, ZoneOrder,
};
use crate::dispatch::statistics::{from_secs, Random, MS, SEC};
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Part of a lease that is believed: both clocks may be 1 % off.
const BELIEVED: f64 = 0.98;
/// Most that is believed of a lease at all, in milliseconds: a sender that hears nothing for longer
/// is alone, whatever it was told.
const LEASE_MOST: u32 = 60_000;
/// A sender that starts is told to be alone where nobody has answered for so long.
const START: Nanos = 3 * SEC;
/// A keeper that has not answered for so long, or for so many reports, is given up.
const SILENT: (Nanos, u64) = (SEC, 4);
/// First and longest wait after a keeper that could not be asked; it doubles with each failure in a
/// row, and half of it is drawn.
const AGAIN: (Nanos, Nanos) = (100 * MS, 2 * SEC);
/// Two words of a leader, or of a session that is not known, are followed within this time, drawn.
const HOP: Nanos = 20 * MS;
/// Reports of which it is known when they were sent.
const SENT: usize = 32;
/// Zones of which it is known what was ordered last.
const ZONES: usize = 256;
/// Most calls that are asked for at once, and believed of one grant.
const CALLS: (u32, u32) = (64, 1_024);
/// Runs of destinations that a line for operators names at the most.
const RUNS: usize = 16;
/// Calls are asked for so much time ahead, in seconds: about as long as a grant lasts.
const AHEAD: f64 = 3.0;

/// What an agent goes by.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The sender's name.
    pub sender: String,
    /// Drawn at the start of the process.
    pub boot: u64,
    /// Where it stands.
    pub zone: String,
    /// Numbers of the keepers, one at least.
    pub keepers: Vec<u64>,
    /// Between two reports.
    pub report: Nanos,
    /// What was left and is ordered no more comes back over this time.
    pub warm_after: Nanos,
}

/// Leaves a destination's endpoints in a zone aside.
#[derive(Clone, Debug, PartialEq)]
pub struct Aside {
    /// The zone.
    pub zone: String,
    /// The destination.
    pub dest: u16,
    /// The order; 0 where nobody orders it any more.
    pub epoch: u64,
    /// When it ends by itself, if it does.
    pub until: Option<Nanos>,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Open a connection, named by the first number, to a keeper. What is said on it waits until it
    /// stands.
    Connect {
        /// Its name, never used before.
        line: u64,
        /// The keeper.
        keeper: u64,
    },
    /// Close the connection.
    HangUp,
    /// Say this on the connection.
    Say(AgentToReplica),
    /// Go by these orders and no others.
    Stand(Vec<Aside>),
    /// Calls may begin in spite of an order.
    Lend {
        /// The zone.
        zone: String,
        /// The destination.
        dest: u16,
        /// The order.
        epoch: u64,
        /// How many.
        calls: u32,
        /// By when they have to be begun.
        until: Nanos,
    },
    /// Check this and write it down; [`Machine::checked`] says what came of it.
    Check {
        /// What it is.
        kind: Kind,
        /// Its number.
        number: u64,
        /// Its print.
        digest: Digest,
        /// Its text.
        text: String,
    },
    /// So messages are taken on from now on.
    Admit(Entrance),
    /// Tell the operators.
    Note(String),
}

/// Who takes on, by all that the sender follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Entrance {
    /// This sender, until that moment; nothing where it keeps no promise.
    Open {
        /// Under this policy, where it follows any.
        policy: Option<u64>,
        /// By this routing table, where it follows any.
        table: Option<u64>,
        /// Until when.
        until: Option<Nanos>,
    },
    /// Nobody, for a moment.
    Paused,
    /// Not this sender.
    Fenced,
}

impl Entrance {
    /// What two registers order together: each may shut the door, and the earlier bound counts.
    fn of(policies: Option<Doorway>, tables: Option<Doorway>) -> Entrance {
        let mut entrance = Entrance::Open {
            policy: None,
            table: None,
            until: None,
        };
        for (stands, is_table) in [(policies, false), (tables, true)] {
            entrance = match (entrance, stands) {
                (entrance, None) => entrance,
                (Entrance::Fenced, _) | (_, Some(Doorway::Fenced)) => Entrance::Fenced,
                (Entrance::Paused, _) | (_, Some(Doorway::Paused)) => Entrance::Paused,
                (
                    Entrance::Open {
                        policy,
                        table,
                        until,
                    },
                    Some(Doorway::Open { number, until: own }),
                ) => {
                    let until = [until, own].into_iter().flatten().min();
                    match is_table {
                        false => Entrance::Open {
                            policy: Some(number),
                            table,
                            until,
                        },
                        true => Entrance::Open {
                            policy,
                            table: Some(number),
                            until,
                        },
                    }
                }
            };
        }
        entrance
    }
}

/// A word of a register, as keepers know it.
fn worded(kind: Kind, said: Said) -> AgentToReplica {
    match (kind, said) {
        (Kind::Policy, Said::Stored { number, refused }) => {
            AgentToReplica::PolicyChecked { number, refused }
        }
        (Kind::Policy, Said::Rules { turn }) => AgentToReplica::PolicyApplied { turn },
        (Kind::Table, Said::Stored { number, refused }) => {
            AgentToReplica::RoutingTable(AgentTableMessage::TableChecked { number, refused })
        }
        (Kind::Table, Said::Rules { turn }) => {
            AgentToReplica::RoutingTable(AgentTableMessage::TableApplied { turn })
        }
    }
}

/// What the sender could use.
pub trait Needs {
    /// Messages for a destination that wait for a call.
    fn waiting(&self, dest: u16) -> u32;
    /// Calls lent for a zone and destination that have not begun.
    fn left(&self, zone: &str, dest: u16) -> u32;
}

/// Whom it speaks to.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Line {
    /// Nobody, until then.
    None(Nanos),
    /// A keeper that has not answered, since then.
    Asked(Nanos),
    /// A keeper that has renewed.
    Session,
}

/// A report that was sent.
#[derive(Debug)]
struct Sent {
    number: u64,
    first: Nanos,
    /// The connections that it was sent on: its grants come by these alone, whatever another
    /// process was granted.
    lines: (u64, u64),
    granted: BTreeSet<(String, u16)>,
}

/// A report that has not been answered.
#[derive(Debug)]
struct Pending {
    number: u64,
    seen: Vec<ZoneCallCounts>,
    health: Vec<MessageOutcomeCounts>,
    /// When it was sent on the connection that stands, if it was.
    sent: Option<Nanos>,
}

/// One agent.
#[derive(Debug)]
pub struct Machine {
    terms: Terms,
    random: Random,
    start: Nanos,
    /// What calls came to.
    pub ledger: Ledger,
    /// What messages are taken on under, where it follows policies.
    policies: Option<Register>,
    /// What they are taken on and routed by, where it follows tables.
    tables: Option<Register>,
    /// What each of them ordered last, and what both did.
    stands: (Option<Doorway>, Option<Doorway>),
    entrance: Option<Entrance>,
    /// Whose turn it is, as a position.
    keeper: usize,
    line: Line,
    lines: u64,
    /// When the connection that stands was asked for.
    opened: Nanos,
    /// Failures in a row, and how often it was sent on to another keeper since the last session.
    failures: u32,
    hops: u32,
    lease: Option<Nanos>,
    /// It goes by its own calls, since then.
    alone: Option<Nanos>,
    told_alone: bool,
    /// On this connection the record was told, or known to be as it is here.
    current: bool,
    view: SenderView,
    /// What it goes by: zones, with the epoch, and whether each is being returned to.
    obeyed: Vec<(String, u64, bool)>,
    epochs: BTreeMap<String, u64>,
    reports: u64,
    reported: Nanos,
    pending: Option<Pending>,
    sent: VecDeque<Sent>,
    listed: Vec<ListedZoneCapacity>,
    /// The list is to be told with the next report.
    tell_list: bool,
}

impl Machine {
    /// An agent that starts. The seed keeps it out of step with others.
    pub fn new(terms: Terms, seed: u64, now: Nanos) -> Machine {
        let mut random = Random::new(seed);
        let keeper = (random.draw() * terms.keepers.len() as f64) as usize;
        let first =
            now + from_secs(random.draw() * crate::dispatch::statistics::to_secs(terms.report));
        Machine {
            terms,
            random,
            start: now,
            ledger: Ledger::default(),
            policies: None,
            tables: None,
            stands: (None, None),
            entrance: None,
            keeper,
            line: Line::None(first),
            lines: 0,
            opened: now,
            failures: 0,
            hops: 0,
            lease: None,
            alone: Some(now),
            told_alone: false,
            current: false,
            view: SenderView::default(),
            obeyed: Vec::new(),
            epochs: BTreeMap::new(),
            reports: 0,
            reported: now,
            pending: None,
            sent: VecDeque::new(),
            listed: Vec::new(),
            tell_list: true,
        }
    }

    /// It follows what this register is of.
    pub fn following(self, register: Register) -> Machine {
        match register.kind() {
            Kind::Policy => Machine {
                policies: Some(register),
                ..self
            },
            Kind::Table => Machine {
                tables: Some(register),
                ..self
            },
        }
    }

    fn registers(&mut self) -> impl Iterator<Item = &mut Register> {
        self.policies.iter_mut().chain(&mut self.tables)
    }

    fn register(&mut self, kind: Kind) -> Option<&mut Register> {
        match kind {
            Kind::Policy => self.policies.as_mut(),
            Kind::Table => self.tables.as_mut(),
        }
    }

    /// The list that the sender holds now.
    pub fn list(&mut self, mut listed: Vec<ListedZoneCapacity>) {
        listed.retain(|l| l.zone.len() <= NAME);
        listed.truncate(GROUPS);
        if listed != self.listed {
            (self.listed, self.tell_list) = (listed, true);
        }
    }

    /// The sender ends.
    pub fn leave(&mut self, out: &mut Vec<Out>) {
        if self.line == Line::Session {
            out.push(Out::Say(AgentToReplica::CloseSession));
        }
        self.line = Line::None(Nanos::MAX);
    }

    /// When it has to be asked again, at the latest.
    pub fn next(&self) -> Nanos {
        let line = match self.line {
            Line::None(at) => at,
            Line::Asked(since) => since + self.silent(),
            Line::Session => match &self.pending {
                Some(Pending { sent: Some(at), .. }) => at + self.silent(),
                Some(_) => 0,
                None => self.reported + self.terms.report,
            },
        };
        let counts = self.alone.is_none()
            || self
                .policies
                .iter()
                .chain(&self.tables)
                .any(Register::holds);
        let lapse = self.lease.filter(|_| counts);
        let start = (self.alone.is_some() && !self.told_alone).then_some(self.start + START);
        line.min(lapse.unwrap_or(Nanos::MAX))
            .min(start.unwrap_or(Nanos::MAX))
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Nanos, needs: &dyn Needs, out: &mut Vec<Out>) {
        self.look(now, out);
        self.go_on(now, needs, out);
        self.settle(now, out);
    }

    /// Sees before all else whether the lease has lapsed: the register is then heard anew on
    /// another connection, whatever the one that stands still brings.
    fn look(&mut self, now: Nanos, out: &mut Vec<Out>) {
        let holds = self.holds(now);
        // Each of them is to see it.
        let lapsed = self
            .registers()
            .filter_map(|r| r.lapses(holds).then_some(()))
            .count()
            > 0;
        if lapsed && !matches!(self.line, Line::None(_)) {
            self.hop(now, self.keeper, out);
        }
    }

    /// These are not written down any more.
    pub fn forget(&mut self, kind: Kind, numbers: &[u64]) {
        self.register(kind)
            .into_iter()
            .for_each(|r| r.forget(numbers));
    }

    /// What came of a check: it is written down, or cannot be gone by.
    pub fn checked(
        &mut self,
        now: Nanos,
        kind: Kind,
        number: u64,
        result: Result<(), String>,
        out: &mut Vec<Out>,
    ) {
        self.look(now, out);
        let mut told = Vec::new();
        self.register(kind)
            .into_iter()
            .for_each(|r| r.checked(number, result.clone(), &mut told));
        self.pass_on(kind, told, out);
        self.settle(now, out);
    }

    /// What it may need at once.
    pub fn needs(&mut self, kind: Kind) -> [u64; 2] {
        self.register(kind).map_or([0, 0], |r| r.needs())
    }

    /// Does what the registers say by the lease as it stands: the door first, then what is said of
    /// it.
    fn settle(&mut self, now: Nanos, out: &mut Vec<Out>) {
        let lease = self.lease;
        let mut said = Vec::new();
        for kind in [Kind::Policy, Kind::Table] {
            let mut told = Vec::new();
            self.register(kind)
                .into_iter()
                .for_each(|r| r.settle(now, lease, &mut told));
            for told in told {
                match (told, kind) {
                    (register::Out::Stand(doorway), Kind::Policy) => self.stands.0 = Some(doorway),
                    (register::Out::Stand(doorway), Kind::Table) => self.stands.1 = Some(doorway),
                    (word @ register::Out::Say(_), _) => said.push((kind, word)),
                    (other, _) => self.pass_on(kind, vec![other], out),
                }
            }
        }
        let (policies, tables) = self.stands;
        let entrance =
            (policies.is_some() || tables.is_some()).then(|| Entrance::of(policies, tables));
        if self.entrance != entrance {
            self.entrance = entrance;
            out.extend(entrance.map(Out::Admit));
        }
        said.into_iter()
            .for_each(|(kind, word)| self.pass_on(kind, vec![word], out));
    }

    /// What a register says goes out where somebody listens; what is not heard is asked for again.
    fn pass_on(&self, kind: Kind, told: Vec<register::Out>, out: &mut Vec<Out>) {
        let listens = !matches!(self.line, Line::None(_));
        out.extend(told.into_iter().filter_map(|told| match told {
            register::Out::Check {
                number,
                digest,
                text,
            } => Some(Out::Check {
                kind,
                number,
                digest,
                text,
            }),
            register::Out::Say(said) => listens.then(|| Out::Say(worded(kind, said))),
            register::Out::Note(line) => Some(Out::Note(line)),
            // The door stands by both.
            register::Out::Stand(_) => None,
        }));
    }

    fn go_on(&mut self, now: Nanos, needs: &dyn Needs, out: &mut Vec<Out>) {
        if self.alone.is_none() && !self.holds(now) {
            (self.alone, self.told_alone) = (Some(now), false);
            self.obeyed.clear();
            out.push(Out::Stand(self.orders(now)));
        }
        let lapsed = self.lease.is_some() || now >= self.start + START;
        if self.alone.is_some() && !self.told_alone && lapsed && !self.holds(now) {
            self.told_alone = true;
            out.push(Out::Note("no keeper answers; goes on alone".into()));
        }
        match self.line {
            Line::None(at) if now >= at => self.open(now, out),
            Line::Asked(since) if now >= since + self.silent() => self.give_up(now, out),
            Line::Session => {
                let silent = self
                    .pending
                    .as_ref()
                    .and_then(|p| p.sent)
                    .map(|at| at + self.silent());
                if silent.is_some_and(|at| now >= at) {
                    return self.give_up(now, out);
                }
                let unsent = self.pending.as_ref().is_some_and(|p| p.sent.is_none());
                if unsent || self.pending.is_none() && now >= self.reported + self.terms.report {
                    self.tell(now, needs, out);
                }
            }
            Line::None(_) | Line::Asked(_) => {}
        }
    }

    /// The connection of that name is gone.
    pub fn lost(&mut self, now: Nanos, line: u64) {
        if line == self.lines && !matches!(self.line, Line::None(_)) {
            self.next_keeper(now);
        }
    }

    /// A keeper said something on the connection of that name.
    pub fn hear(&mut self, now: Nanos, line: u64, word: ReplicaToAgent, out: &mut Vec<Out>) {
        self.look(now, out);
        if line == self.lines && !matches!(self.line, Line::None(_)) {
            self.take_in(now, line, word, out);
        }
        self.settle(now, out);
    }

    fn take_in(&mut self, now: Nanos, line: u64, word: ReplicaToAgent, out: &mut Vec<Out>) {
        match word {
            ReplicaToAgent::NotLeader(leader) => {
                let known = leader.and_then(|l| self.terms.keepers.iter().position(|k| *k == l));
                match known.filter(|at| *at != self.keeper) {
                    Some(at) => self.hop(now, at, out),
                    None => self.give_up(now, out),
                }
            }
            ReplicaToAgent::UnknownSession => self.hop(now, self.keeper, out),
            ReplicaToAgent::LeaseRenewed { report, lease_ms } => {
                self.renewed(now, report, lease_ms, out)
            }
            ReplicaToAgent::View(view) => self.follow(now, view, out),
            ReplicaToAgent::GrantAttempts(grant) => self.granted(now, line, grant, out),
            ReplicaToAgent::OfferPolicy {
                number,
                digest,
                text,
            } => {
                self.heard(
                    Kind::Policy,
                    ReplicaTableMessage::OfferTable {
                        number,
                        digest,
                        text,
                    },
                    out,
                );
            }
            ReplicaToAgent::ApplyPolicy {
                turn,
                number,
                paused,
            } => {
                let stance = if paused {
                    SiteAdmission::Paused
                } else {
                    SiteAdmission::Open
                };
                self.heard(
                    Kind::Policy,
                    ReplicaTableMessage::ApplyTable {
                        turn,
                        number,
                        admission: stance,
                    },
                    out,
                );
            }
            ReplicaToAgent::RoutingTable(word) => self.heard(Kind::Table, word, out),
        }
    }

    /// A word for a register.
    fn heard(&mut self, kind: Kind, word: ReplicaTableMessage, out: &mut Vec<Out>) {
        let mut told = Vec::new();
        if let Some(register) = self.register(kind) {
            register.hear(word, &mut told);
        }
        self.pass_on(kind, told, out);
    }

    /// Whether it holds a lease.
    pub fn holds(&self, now: Nanos) -> bool {
        self.lease.is_some_and(|until| now < until)
    }

    /// Whether it goes by its own calls.
    pub fn is_alone(&self) -> bool {
        self.alone.is_some()
    }

    /// The version of the record that it goes by.
    pub fn has(&self) -> u64 {
        self.view.version
    }

    fn silent(&self) -> Nanos {
        SILENT.0.max(SILENT.1 * self.terms.report)
    }

    fn open(&mut self, now: Nanos, out: &mut Vec<Out>) {
        if !self.holds(now) {
            self.registers().for_each(Register::begins);
        }
        self.lines += 1;
        (self.line, self.opened, self.current, self.tell_list) =
            (Line::Asked(now), now, false, true);
        self.pending.iter_mut().for_each(|p| p.sent = None);
        let Terms {
            sender,
            boot,
            zone,
            keepers,
            ..
        } = &self.terms;
        out.push(Out::Connect {
            line: self.lines,
            keeper: keepers[self.keeper],
        });
        let (sender, zone) = (sender.clone(), zone.clone());
        let (boot, has, stored) = (
            *boot,
            self.view.version,
            self.policies.as_ref().map(Register::stored),
        );
        out.push(Out::Say(AgentToReplica::OpenSession {
            sender,
            boot,
            zone,
            record_version: has,
            stored,
        }));
        let tables = self
            .tables
            .as_ref()
            .map(|r| AgentToReplica::RoutingTable(AgentTableMessage::StoredTables(r.stored())));
        out.extend(tables.map(Out::Say));
    }

    /// Hangs up and asks another keeper at once, or the same one anew, unless that goes round and
    /// round.
    fn hop(&mut self, now: Nanos, keeper: usize, out: &mut Vec<Out>) {
        self.hops += 1;
        if self.hops as usize > self.terms.keepers.len() + 1 {
            return self.give_up(now, out);
        }
        out.push(Out::HangUp);
        self.keeper = keeper;
        self.line = Line::None(now + (self.random.draw() * HOP as f64) as Nanos);
    }

    fn give_up(&mut self, now: Nanos, out: &mut Vec<Out>) {
        out.push(Out::HangUp);
        self.next_keeper(now);
    }

    fn next_keeper(&mut self, now: Nanos) {
        self.keeper = (self.keeper + 1) % self.terms.keepers.len();
        self.hops = 0;
        let wait = (AGAIN.0 << self.failures.min(8)).min(AGAIN.1) as f64;
        self.failures = self.failures.saturating_add(1);
        self.line = Line::None(now + (wait * (0.5 + 0.5 * self.random.draw())) as Nanos);
    }

    fn tell(&mut self, now: Nanos, needs: &dyn Needs, out: &mut Vec<Out>) {
        let pending = match self.pending.take() {
            // What was not answered goes as it was: what has happened since is told with the next
            // one.
            Some(again) => again,
            None => {
                self.reports += 1;
                let (seen, health) = (self.ledger.take(now), self.ledger.take_health());
                Pending {
                    number: self.reports,
                    seen,
                    health,
                    sent: None,
                }
            }
        };
        match self.sent.iter_mut().find(|s| s.number == pending.number) {
            Some(again) => again.lines.1 = self.lines,
            None => {
                if self.sent.len() >= SENT {
                    self.sent.pop_front();
                }
                let lines = (self.lines, self.lines);
                self.sent.push_back(Sent {
                    number: pending.number,
                    first: now,
                    lines,
                    granted: BTreeSet::new(),
                });
            }
        }
        let listed = std::mem::take(&mut self.tell_list).then(|| self.listed.clone());
        let (report, has, seen) = (pending.number, self.view.version, pending.seen.clone());
        let (wants, health) = (self.wants(now, needs), pending.health.clone());
        out.push(Out::Say(AgentToReplica::Report {
            report,
            record_version: has,
            call_counts: seen,
            listed,
            lease_requests: wants,
            outcomes: health,
        }));
        self.pending = Some(Pending {
            sent: Some(now),
            ..pending
        });
        self.reported = now;
    }

    /// Calls that could go where only calls that are lent may: what waits and what usually comes,
    /// less what is lent already. Of many senders that a message reaches now and then few ask at a
    /// time, by lot, and leave the budget to those where some wait.
    fn wants(&mut self, now: Nanos, needs: &dyn Needs) -> Vec<AttemptLeaseRequest> {
        let draw = self.random.draw();
        let returning = self
            .view
            .zones
            .iter()
            .filter(|o| o.returning && self.alone.is_none());
        let ours = returning.flat_map(|o| self.ours(o).map(|(dest, _)| (&o.zone, dest)));
        let listed =
            ours.filter(|(z, d)| self.listed.iter().any(|l| (&l.zone, l.dest) == (*z, *d)));
        let wants = listed.map(|(zone, dest)| {
            let usual = (self.ledger.rate(now, dest) * AHEAD + draw) as u32;
            let calls = needs.waiting(dest).saturating_add(usual).min(CALLS.0);
            AttemptLeaseRequest {
                zone: zone.clone(),
                dest,
                attempts: calls.saturating_sub(needs.left(zone, dest)),
            }
        });
        wants.filter(|w| w.attempts > 0).take(GROUPS).collect()
    }

    fn renewed(&mut self, now: Nanos, report: u64, lease_ms: u32, out: &mut Vec<Out>) {
        let asked = match report {
            0 => Some(self.opened),
            n => self.sent.iter().find(|s| s.number == n).map(|s| s.first),
        };
        let Some(asked) = asked else { return };
        if self
            .pending
            .as_ref()
            .is_some_and(|p| p.number == report && p.sent.is_some())
        {
            self.pending = None;
        }
        let lease = asked + (f64::from(lease_ms.min(LEASE_MOST)) * BELIEVED * MS as f64) as Nanos;
        self.lease = self.lease.max(Some(lease));
        if self.line != Line::Session {
            (self.line, self.failures, self.hops) = (Line::Session, 0, 0);
            // It tells at once: what was ordered meanwhile is known by the answer at the latest.
            self.reported = now.saturating_sub(self.terms.report);
            out.push(Out::Note(format!(
                "session with keeper {}",
                self.terms.keepers[self.keeper]
            )));
        }
        self.current |= report > 0;
        self.join(now, out);
    }

    /// Goes by the record again, where it has a lease and knows that its record is no old one.
    fn join(&mut self, now: Nanos, out: &mut Vec<Out>) {
        if self.alone.is_some() && self.current && self.line == Line::Session && self.holds(now) {
            self.alone = None;
            self.obey(now, out);
        }
    }

    fn follow(&mut self, now: Nanos, mut view: SenderView, out: &mut Vec<Out>) {
        if view.version <= self.view.version {
            return;
        }
        view.zones.truncate(ZONES);
        // An order that is older than one of that zone that was heard is none.
        for order in &mut view.zones {
            let heard = self.epochs.get(&order.zone).copied().unwrap_or(0);
            let held = self.view.zones.iter().find(|o| o.zone == order.zone);
            if let Some(held) = held.filter(|_| order.epoch < heard) {
                *order = held.clone();
            }
        }
        for order in &view.zones {
            if self.epochs.len() >= ZONES && !self.epochs.contains_key(&order.zone) {
                self.epochs.pop_first();
            }
            let heard = self.epochs.entry(order.zone.clone()).or_default();
            *heard = order.epoch.max(*heard);
        }
        self.view = view;
        self.current = true;
        match self.alone {
            None => self.obey(now, out),
            Some(_) => self.join(now, out),
        }
    }

    /// Goes by what is ordered, and tells what is new of it.
    fn obey(&mut self, now: Nanos, out: &mut Vec<Out>) {
        for (zone, epoch, _) in self
            .obeyed
            .iter()
            .filter(|(z, ..)| self.view.zones.iter().all(|o| o.zone != *z))
        {
            out.push(Out::Note(format!(
                "zone {zone} in use again by epoch {epoch}"
            )));
        }
        let ordered = self
            .view
            .zones
            .iter()
            .map(|o| (o.zone.clone(), o.epoch, o.returning))
            .collect::<Vec<_>>();
        for (zone, epoch, returning) in ordered.iter().filter(|o| !self.obeyed.contains(o)) {
            let how = if *returning { "returning" } else { "left" };
            let order = self.view.zones.iter().find(|o| o.zone == *zone);
            let ours = order.map_or(String::new(), |o| {
                named(self.ours(o).map(|(dest, _)| dest).collect())
            });
            out.push(Out::Note(format!(
                "zone {zone} {how} by epoch {epoch} for {ours}"
            )));
        }
        self.obeyed = ordered;
        out.push(Out::Stand(self.orders(now)));
    }

    fn granted(&mut self, now: Nanos, line: u64, grant: AttemptLeaseGrant, out: &mut Vec<Out>) {
        let AttemptLeaseGrant {
            report,
            zone,
            epoch,
            dest,
            attempts: calls,
            within_ms,
        } = grant;
        let order = self
            .view
            .zones
            .iter()
            .find(|o| o.zone == zone && o.returning && o.epoch == epoch);
        let ours = order.is_some_and(|o| self.ours(o).any(|(d, _)| d == dest));
        let sent = self.sent.iter_mut().find(|s| s.number == report);
        let sent = sent.filter(|s| s.lines.0 == line || s.lines.1 == line);
        let Some(sent) = sent.filter(|_| ours && self.alone.is_none() && calls > 0) else {
            return;
        };
        let until =
            sent.first + (f64::from(within_ms.min(LEASE_MOST)) * BELIEVED * MS as f64) as Nanos;
        // What comes twice was granted once.
        if now < until && sent.granted.insert((zone.clone(), dest)) {
            out.push(Out::Lend {
                zone,
                dest,
                epoch,
                calls: calls.min(CALLS.1),
                until,
            });
        }
    }

    /// Destinations of a zone that this sender is out of, with the part of all senders that is.
    fn ours<'a>(&'a self, order: &'a ZoneOrder) -> impl Iterator<Item = (u16, f32)> + 'a {
        order.out.iter().copied().filter(|(dest, part)| {
            sender_hash_fraction(&self.terms.sender, &order.zone, *dest) < *part
        })
    }

    /// What is left aside, as things stand.
    fn orders(&self, now: Nanos) -> Vec<Aside> {
        let mut orders: BTreeMap<(String, u16), Aside> = BTreeMap::new();
        for order in &self.view.zones {
            for (dest, part) in self.ours(order) {
                let zone = order.zone.clone();
                // The lots of those that are out are even from 0 up to that part.
                let own = sender_hash_fraction(&self.terms.sender, &zone, dest) / part;
                let over = f64::from(own) * self.terms.warm_after.max(SEC) as f64;
                let (epoch, until) = match self.alone {
                    None => (order.epoch, None),
                    Some(since) => (0, Some(since + over as Nanos)),
                };
                if until.is_none_or(|until| now < until) {
                    orders.insert(
                        (zone.clone(), dest),
                        Aside {
                            zone,
                            dest,
                            epoch,
                            until,
                        },
                    );
                }
            }
        }
        orders.into_values().collect()
    }
}

/// Destinations as a line names them, those in a row as one: at most [`RUNS`] of these, and how
/// many more there are.
fn named(mut dests: Vec<u16>) -> String {
    dests.sort_unstable();
    let runs: Vec<&[u16]> = dests.chunk_by(|a, b| a + 1 == *b).collect();
    let more: usize = runs.iter().skip(RUNS).map(|run| run.len()).sum();
    let told = runs.iter().take(RUNS).map(|run| match run {
        [one] => one.to_string(),
        run => format!("{}-{}", run[0], run[run.len() - 1]),
    });
    let told: Vec<String> = told.collect();
    match (told.is_empty(), more) {
        (true, _) => "no destination".into(),
        (_, 0) => format!("destinations {}", told.join(", ")),
        (_, more) => format!("destinations {} and {more} more", told.join(", ")),
    }
}

#[cfg(test)]
mod tests;
