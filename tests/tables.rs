//! One site of a federation: the state machines of its leaders, its record, and the agents of three
//! senders, with lost, duplicated and delayed messages, clocks that run at different rates,
//! restarts, and a federation that is unreachable for longer than the site's lease.
#![cfg(feature = "fleet")]

mod common;

use common::{MS, SEC};
use raildeal::agent::register::{DocumentKind, OnLeaseLoss, Register};
use raildeal::agent::session::{
    AdmissionRequirement, AttemptDemand, SessionConfig, SessionEffect, SessionState,
};
use raildeal::coordination::leader::{self, LeaderDuties, LeaderRules};
use raildeal::coordination::messages::{
    AgentTableMessage, AgentToReplica, Digest, FederationRequest, OperatorRequest,
    OperatorResponse, ReplicaTableMessage, ReplicaToAgent, SiteAdmission,
};
use raildeal::coordination::record::{self, Record};
use raildeal::coordination::routing_table::cutover::{self, Cutover};
use raildeal::coordination::routing_table::federation::{self, Federation};
use raildeal::coordination::routing_table::federation_view::FederationView;
use raildeal::coordination::routing_table::tables::Change;
use raildeal::coordination::sender_registry::MAX_OFFERS_PER_ROUND;
use raildeal::Nanos;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Length of a sender's lease, in milliseconds, and of the site's, in nanoseconds.
const LEASE_MS: u32 = 1_500;
const SITE_LEASE: Nanos = 5 * SEC;
/// Time after the site's lease in which its senders' leases may still run, and a leader sees the
/// expiry and commits the hold, in nanoseconds.
const FENCE: Nanos = 2_200 * MS;

struct NoDemand;

impl AttemptDemand for NoDemand {
    fn waiting_messages(&self, _: u16) -> u32 {
        0
    }

    fn leased_attempts_left(&self, _: &str, _: u16) -> u32 {
        0
    }
}

/// A fault that is injected to see that the test detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Fault {
    #[default]
    None,
    /// The change is committed right after the pause, without the senders' confirmations.
    CommitUnheard,
    /// The site accepts a table that its senders have not stored.
    AcceptUnstored,
    /// The site admits messages after its lease has expired.
    NoHold,
    /// A leader relies on the recorded lease without subtracting the time during which no leader
    /// advanced the record's clock.
    AllCounted,
}

fn machine(n: usize, boot: u64, stored: BTreeMap<u64, Digest>, last: u64) -> SessionState {
    let config = SessionConfig {
        sender: format!("n{n}"),
        boot,
        zone: "a".into(),
        replicas: vec![1],
        report_interval: 100 * MS,
        warm_after: SEC,
    };
    SessionState::new(config, boot, 0).with_register(Register::new(
        DocumentKind::Table,
        OnLeaseLoss::StopAccepting,
        stored,
        last,
    ))
}

/// A clock that started at this true time, with a rate error in parts per 10,000.
#[derive(Clone, Copy)]
struct Clock {
    began: Nanos,
    rate_error: i64,
}

impl Clock {
    fn at(&self, now: Nanos) -> Nanos {
        let passed = (now - self.began) as i64;
        (passed + passed / 10_000 * self.rate_error) as Nanos
    }
}

struct Sender {
    machine: SessionState,
    boot: u64,
    clock: Clock,
    line: u64,
    admission_state: AdmissionRequirement,
    stored: BTreeMap<u64, Digest>,
    last: u64,
    /// Arrival time of its last message in each direction of its connection, and whether the
    /// connection has lost one.
    arrives: [Nanos; 2],
    broken: bool,
    /// Numbers of the tables that it refuses.
    refused: BTreeSet<u64>,
    /// Arrival times of its last session request; the list of stored tables arrives together with
    /// it.
    opened: Vec<Nanos>,
}

impl Sender {
    fn admitted_table(&self, now: Nanos) -> Option<u64> {
        match self.admission_state {
            AdmissionRequirement::Open {
                table: Some(number),
                until,
                ..
            } if until.is_none_or(|until| self.clock.at(now) < until) => Some(number),
            _ => None,
        }
    }
}

/// A leader's state of a sender, in true time.
#[derive(Clone, Copy, Default)]
struct Session {
    boot: u64,
    line: u64,
    until: Nanos,
}

/// A leader, by its own clock.
struct Leader {
    cutover: Cutover,
    clock: Clock,
    counted: Nanos,
    lease: Option<Nanos>,
}

struct SiteSimulation {
    rng: fastrand::Rng,
    fault: Fault,
    /// Whether messages of a connection arrive in the order in which they were sent, or are lost
    /// with all that follow, as with sockets. Admission after the site's lease is checked only in
    /// this mode.
    fifo: bool,
    faulty: bool,
    now: Nanos,
    senders: Vec<Sender>,
    sessions: Vec<Session>,
    to_leader: Vec<(Nanos, usize, u64, AgentToReplica)>,
    to_agent: Vec<(Nanos, usize, u64, ReplicaToAgent)>,
    checks: Vec<(Nanos, usize, u64, Digest, bool)>,
    record: Record,
    index: u64,
    pending: Vec<(Nanos, record::Command)>,
    /// Live senders, with their process, at the proposal of a change, by turn.
    live_at_proposal: BTreeMap<u64, Vec<(usize, u64)>>,
    /// The leader, or the time until which there is none.
    leader: Result<Leader, Nanos>,
    /// Time of the last heartbeat, in true time.
    clock_advanced_at: Nanos,
    federation: Federation,
    messages: Vec<(Nanos, federation::Command)>,
    /// The federation's record as the site knows it, the site's number in it, and the end of its
    /// lease.
    heard: Arc<Federation>,
    own_number: u64,
    site_lease_end: Nanos,
    /// Time until which the site is cut off from the federation.
    cut_off_until: Nanos,
    key: u64,
    cutovers: u32,
    rolled_back: u32,
    held: u32,
    removals: u32,
}

impl SiteSimulation {
    fn new(seed: u64, fault: Fault) -> SiteSimulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let senders = (0..3).map(|n| {
            let boot = rng.u64(1..);
            Sender {
                machine: machine(n, boot, BTreeMap::new(), 0),
                boot,
                clock: Clock {
                    began: SEC,
                    rate_error: [-99, 0, 99][n],
                },
                line: 0,
                admission_state: AdmissionRequirement::Fenced,
                stored: BTreeMap::new(),
                last: 0,
                arrives: [0; 2],
                broken: false,
                refused: BTreeSet::new(),
                opened: Vec::new(),
            }
        });
        let mut federation = Federation::default();
        for (index, site) in [1, 2].into_iter().enumerate() {
            let join = federation::Command::Join {
                site,
                name: format!("s{site}"),
            };
            federation.apply(index as u64 + 1, &join);
        }
        SiteSimulation {
            senders: senders.collect(),
            rng,
            fault,
            fifo: seed % 2 == 0,
            faulty: true,
            now: SEC,
            sessions: vec![Session::default(); 3],
            to_leader: Vec::new(),
            to_agent: Vec::new(),
            checks: Vec::new(),
            record: Record::default(),
            index: 0,
            pending: Vec::new(),
            live_at_proposal: BTreeMap::new(),
            leader: Err(SEC),
            clock_advanced_at: SEC,
            heard: Arc::new(federation.clone()),
            federation,
            messages: Vec::new(),
            own_number: 1,
            site_lease_end: 0,
            cut_off_until: 0,
            key: 0,
            cutovers: 0,
            rolled_back: 0,
            held: 0,
            removals: 0,
        }
    }

    /// Returns the arrival times of the copies of a message; none if it is lost.
    fn arrivals(&mut self, n: usize, way: usize) -> Vec<Nanos> {
        if !self.faulty {
            self.senders[n].arrives[way] = self.now + MS;
            return vec![self.now + MS];
        }
        let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.usize(..8)];
        let most = if self.rng.u8(..10) == 0 { 3_000 } else { 30 };
        let late = self.now + self.rng.u64(1..most) * MS;
        if !self.fifo {
            return (0..copies)
                .map(|_| self.now + self.rng.u64(1..most) * MS)
                .collect();
        }
        let sender = &mut self.senders[n];
        sender.broken |= self.rng.u8(..50) == 0;
        sender.arrives[way] = sender.arrives[way].max(late);
        if sender.broken {
            return Vec::new();
        }
        vec![sender.arrives[way]; copies.max(1)]
    }

    fn send_to_sender(&mut self, n: usize, message: ReplicaToAgent) {
        let line = self.sessions[n].line;
        for at in self.arrivals(n, 0) {
            self.to_agent.push((at, n, line, message.clone()));
        }
    }

    fn run_session_effects(&mut self, n: usize, out: Vec<SessionEffect>) {
        for out in out {
            match out {
                SessionEffect::Connect {
                    connection: line, ..
                } => {
                    let (sender, now) = (&mut self.senders[n], self.now);
                    (sender.line, sender.broken, sender.arrives) = (line, false, [now; 2]);
                }
                SessionEffect::Disconnect => self.senders[n].line = 0,
                SessionEffect::Send(message) => {
                    let line = self.senders[n].line;
                    let at = match message {
                        AgentToReplica::RoutingTable(AgentTableMessage::StoredTables(_)) => {
                            self.senders[n].opened.clone()
                        }
                        _ => self.arrivals(n, 1),
                    };
                    if let AgentToReplica::OpenSession { .. } = message {
                        self.senders[n].opened.clone_from(&at);
                    }
                    self.to_leader
                        .extend(at.into_iter().map(|at| (at, n, line, message.clone())));
                }
                SessionEffect::CheckDocument {
                    kind,
                    number,
                    digest,
                    ..
                } => {
                    assert_eq!(kind, DocumentKind::Table);
                    let at = self.now + self.rng.u64(1..300) * MS;
                    let runs = self
                        .record
                        .tables
                        .offered
                        .as_ref()
                        .is_some_and(|o| !o.accepted);
                    let fits = !self.faulty || !runs || self.rng.u8(..40) > 0;
                    self.checks.push((at, n, number, digest, fits));
                }
                SessionEffect::SetAdmission(admission_state) => {
                    let sender = &mut self.senders[n];
                    sender.admission_state = admission_state;
                    if let AdmissionRequirement::Open {
                        table: Some(number),
                        ..
                    } = admission_state
                    {
                        assert!(
                            number == 0 || sender.stored.contains_key(&number),
                            "not written down"
                        );
                        sender.last = number;
                    }
                }
                SessionEffect::SetEvacuations(_)
                | SessionEffect::GrantLease { .. }
                | SessionEffect::Log(_) => {}
            }
        }
    }

    /// Returns the latest end of a sender's lease that is renewed now.
    fn counted(&self) -> Nanos {
        self.now + Nanos::from(LEASE_MS) * MS * 102 / 101
    }

    fn deliver_to_leader(&mut self, n: usize, line: u64, message: AgentToReplica) {
        let (now, sender) = (self.now, format!("n{n}"));
        let Ok(leader) = &mut self.leader else { return };
        let session = &mut self.sessions[n];
        let own =
            session.until > now && session.line == line && session.boot == self.senders[n].boot;
        match message {
            AgentToReplica::OpenSession { boot, .. } => {
                if boot != self.senders[n].boot || line < session.line && boot == session.boot {
                    return;
                }
                let live = self
                    .record
                    .roster
                    .get(&sender)
                    .is_some_and(|m| m.live && m.boot == boot);
                *session = Session {
                    boot,
                    line,
                    until: session.until,
                };
                leader.cutover.on_session_opened(&sender, boot);
                if !live {
                    self.apply(record::Command::AddSender {
                        sender,
                        boot,
                        zone: "a".into(),
                    });
                }
                self.sessions[n].until = self.counted().max(self.sessions[n].until);
                self.send_to_sender(
                    n,
                    ReplicaToAgent::LeaseRenewed {
                        report: 0,
                        lease_ms: LEASE_MS,
                    },
                );
            }
            AgentToReplica::Report { report, .. } if own => {
                leader.cutover.on_report(&sender);
                self.sessions[n].until = self.sessions[n].until.max(self.counted());
                self.send_to_sender(
                    n,
                    ReplicaToAgent::LeaseRenewed {
                        report,
                        lease_ms: LEASE_MS,
                    },
                );
            }
            AgentToReplica::Report { .. } => {
                self.to_agent
                    .push((now + MS, n, line, ReplicaToAgent::UnknownSession))
            }
            AgentToReplica::RoutingTable(message) if own => {
                let (at, mut out) = (leader.clock.at(now), Vec::new());
                leader
                    .cutover
                    .on_sender_message(at, &sender, &message, &self.record, &mut out);
                self.carry_out(out);
                self.send_due_messages_to(n);
            }
            _ => {}
        }
    }

    fn send_due_messages_to(&mut self, n: usize) {
        let Ok(leader) = &mut self.leader else { return };
        if self.sessions[n].until <= self.now {
            return;
        }
        let (at, mut said) = (leader.clock.at(self.now), Vec::new());
        let (mut offers, send) = (MAX_OFFERS_PER_ROUND, &mut |message| said.push(message));
        leader
            .cutover
            .send_due_messages(at, &format!("n{n}"), &self.record, &mut offers, send);
        said.into_iter()
            .for_each(|message| self.send_to_sender(n, ReplicaToAgent::RoutingTable(message)));
    }

    fn carry_out(&mut self, out: Vec<cutover::CutoverEffect>) {
        for out in out {
            let soon = self.now + self.rng.u64(1..20) * MS;
            match out {
                cutover::CutoverEffect::ProposeToSite(change) => {
                    let base = self.record.tables.turn;
                    let live = |n: &usize| Some((*n, self.member(*n)?.boot));
                    let live: Vec<_> = (0..3).filter_map(|n| live(&n)).collect();
                    self.live_at_proposal.insert(base, live.clone());
                    self.live_at_proposal.insert(base + 1, live);
                    let then = match (&change, self.fault) {
                        (Change::Pause, Fault::CommitUnheard) => Some(Change::Commit),
                        (Change::Offer { table }, Fault::AcceptUnstored) => Some(Change::Accept {
                            number: table.number,
                        }),
                        _ => None,
                    };
                    let table = |base, change| record::Command::ChangeTables {
                        base,
                        change: Box::new(change),
                    };
                    self.pending.push((soon, table(base, change)));
                    self.pending
                        .extend(then.map(|change| (soon + MS, table(base + 1, change))));
                }
                cutover::CutoverEffect::ProposeToFederation(command) => {
                    let lost =
                        self.cut_off_until > self.now || self.faulty && self.rng.u8(..5) == 0;
                    if !lost {
                        self.messages.push((soon, command));
                    }
                }
            }
        }
    }

    /// Returns the record's entry of a sender if the sender is live.
    fn member(&self, n: usize) -> Option<&record::RosterEntry> {
        self.record.roster.get(&format!("n{n}")).filter(|m| m.live)
    }

    /// Applies a command to the site's record.
    fn apply(&mut self, command: record::Command) {
        self.index += 1;
        let before = self.record.tables.turn;
        self.record.apply(self.index, &command);
        if let record::Command::AdvanceClock { .. } = command {
            self.clock_advanced_at = self.now;
        }
        let record::Command::ChangeTables { change, .. } = &command else {
            return;
        };
        if let Ok(leader) = &mut self.leader {
            leader
                .cutover
                .on_applied(leader.clock.at(self.now), self.index, change, &self.record);
        }
        if self.record.tables.turn == before {
            return;
        }
        match **change {
            Change::Accept { number } => self.assert_all_store(before, number),
            Change::Commit => {
                self.cutovers += 1;
                self.assert_all_store(before, self.record.tables.register.number);
            }
            Change::RollBack { .. } => self.rolled_back += 1,
            Change::Hold => self.held += 1,
            _ => {}
        }
        (0..3).for_each(|n| self.send_due_messages_to(n));
    }

    /// Asserts that all senders that were live at the proposal, and still are, store a table or
    /// refuse it. Senders that joined since start from the current record.
    fn assert_all_store(&self, base: u64, number: u64) {
        for (n, boot) in &self.live_at_proposal[&base] {
            let sender = &self.senders[*n];
            let counts = sender.boot == *boot && self.member(*n).is_some_and(|m| m.boot == *boot);
            let has = sender.stored.contains_key(&number) || sender.refused.contains(&number);
            assert!(!counts || has, "n{n} has no table {number}");
        }
    }

    /// Advances the federation, with the site if possible, and without it while it is fenced.
    fn step_federation(&mut self) {
        use federation::Command;
        let (messages, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|w| w.0 <= self.now);
        self.messages = later;
        let messages: Vec<(Nanos, Command)> = messages;
        let mut commands: Vec<Command> = messages.into_iter().map(|w| w.1).collect();
        if self.now % (100 * MS) == 0 {
            commands.push(Command::Beat {
                term: 1,
                beat: 1,
                ms: 100,
            });
            let federation = &self.federation;
            let quiet = !self.faulty && federation.table.number == 0;
            if (self.faulty || quiet)
                && federation.check_proposal("").is_ok()
                && self.rng.u8(..5) == 0
            {
                self.key += 1;
                let (by, key, text) = ("s2".into(), self.key, format!("# {}", self.key));
                let digest = [self.key as u8; 32];
                commands.push(Command::Propose {
                    by,
                    key,
                    text,
                    digest,
                    within_ms: 8_000,
                });
            }
            if let Some(p) = federation.proposal.as_ref().map(|p| p.table.number) {
                commands.push(match self.faulty && self.rng.u8(..200) == 0 {
                    true => Command::Abort {
                        number: p,
                        why: "a word".into(),
                    },
                    false => Command::Accept { site: 2, number: p },
                });
            }
            commands.push(Command::CutOver {
                site: 2,
                number: federation.table.number,
            });
            let gone = self.now > self.site_lease_end + FENCE;
            if self.fifo
                && gone
                && federation.sites.contains_key(&self.own_number)
                && self.rng.u8(..5) == 0
            {
                self.removals += 1;
                commands.push(Command::Off {
                    site: self.own_number,
                });
            }
            if self.now > self.cut_off_until && !federation.sites.contains_key(&self.own_number) {
                self.own_number += 10;
                commands.push(Command::Join {
                    site: self.own_number,
                    name: "s1".into(),
                });
            }
        }
        for command in commands {
            let version = self.federation.version + 1;
            self.federation.apply(version, &command);
        }
        if self.faulty && self.now > self.cut_off_until && self.rng.u32(..1_200) == 0 {
            self.cut_off_until = self.now + self.rng.u64(100..12_000) * MS;
        }
        // The site's member receives the record and a lease.
        let heard = self.now % (50 * MS) == 0 && (!self.faulty || self.rng.u8(..3) == 0);
        if let Ok(leader) = self.leader.as_mut().map_err(|_| ()) {
            if heard
                && self.now > self.cut_off_until
                && self.federation.sites.contains_key(&self.own_number)
            {
                self.site_lease_end = self.site_lease_end.max(self.now + SITE_LEASE * 102 / 100);
                leader.lease = Some(leader.clock.at(self.now) + SITE_LEASE * 98 / 100);
                self.heard = Arc::new(self.federation.clone());
            }
        }
    }

    /// Elects and ends leaders, and advances the current one.
    fn step_leader(&mut self) {
        let turn = self.now % (20 * MS) == 0;
        if let Err(until) = &self.leader {
            if self.now < *until {
                return;
            }
            let clock = Clock {
                began: 0,
                rate_error: self.rng.i64(-99..=99),
            };
            let at = clock.at(self.now);
            let saw = self.rng.u8(..10) > 0;
            let clock_advanced_at = match self.fault {
                Fault::AllCounted => Some(at),
                _ => saw.then(|| clock.at(self.clock_advanced_at)),
            };
            self.leader = Ok(Leader {
                cutover: Cutover::new(at, clock_advanced_at),
                clock,
                counted: at,
                lease: None,
            });
            // The new leader counts all leases in the record from now on.
            let until = self.counted() + SEC;
            for n in 0..3 {
                let m = self.record.roster.get(&format!("n{n}"));
                if let Some(m) = m.filter(|m| m.live) {
                    self.sessions[n] = Session {
                        boot: m.boot,
                        line: self.sessions[n].line,
                        until,
                    };
                }
                let (line, at) = (self.senders[n].line, self.senders[n].clock.at(self.now));
                self.senders[n].machine.on_connection_lost(at, line);
            }
        }
        if self.faulty && self.rng.u32(..1_500) == 0 {
            let gap = if self.rng.u8(..4) == 0 { 7_000 } else { 2_000 };
            self.leader = Err(self.now + self.rng.u64(1..gap) * MS);
            // What the last leader proposed is still committed, or is lost.
            let pending = std::mem::take(&mut self.pending);
            for (_, command) in pending {
                if self.rng.bool() {
                    self.apply(command);
                }
            }
            return;
        }
        let (due, later) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|p| p.0 <= self.now);
        self.pending = later;
        let due: Vec<(Nanos, record::Command)> = due;
        due.into_iter().for_each(|(_, command)| self.apply(command));
        for n in 0..3 {
            let (sender, session) = (format!("n{n}"), self.sessions[n]);
            let m = self.record.roster.get(&sender);
            if m.is_some_and(|m| m.live) && session.until <= self.now {
                self.apply(record::Command::ExpireSender {
                    sender: sender.clone(),
                    boot: session.boot,
                });
                self.leader
                    .iter_mut()
                    .for_each(|l| l.cutover.on_session_closed(&sender));
            }
        }
        let Ok(leader) = &mut self.leader else { return };
        let at = leader.clock.at(self.now);
        if at >= leader.counted + 500 * MS {
            let ms = ((at - leader.counted) / MS) as u32;
            leader.counted += Nanos::from(ms) * MS;
            self.pending.push((
                self.now + 5 * MS,
                record::Command::AdvanceClock {
                    term: 1,
                    beat: 1,
                    ms,
                },
            ));
        }
        if turn {
            let known = FederationView {
                name: "f".into(),
                own_site: self.own_number,
                record: self.heard.clone(),
                leader: 2,
                reachable_sites: BTreeSet::new(),
                lease_until: leader.lease,
                holds_after_lease: self.fault != Fault::NoHold,
            };
            let mut out = Vec::new();
            leader
                .cutover
                .on_tick(at, &self.record, Some(&known), &mut out);
            self.carry_out(out);
            (0..3).for_each(|n| self.send_due_messages_to(n));
        }
    }

    fn step(&mut self) {
        self.now += 5 * MS;
        for n in 0..3 {
            let at = self.senders[n].clock.at(self.now);
            if self.faulty && self.rng.u32(..500) == 0 {
                let line = self.senders[n].line;
                self.senders[n].machine.on_connection_lost(at, line);
            }
            if self.faulty && self.rng.u32(..3_000) == 0 {
                let sender = &mut self.senders[n];
                sender.boot += 1;
                sender.machine = machine(n, sender.boot, sender.stored.clone(), sender.last);
                (sender.clock.began, sender.admission_state, sender.line) =
                    (self.now, AdmissionRequirement::Fenced, 0);
                self.to_agent.retain(|w| w.1 != n);
                self.checks.retain(|c| c.1 != n);
            }
        }
        let due = |now, at: &Nanos| *at <= now;
        let (mut messages, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.to_leader)
            .into_iter()
            .partition(|w| due(self.now, &w.0));
        self.to_leader = later;
        messages.sort_by_key(|w| w.0);
        messages
            .into_iter()
            .for_each(|(_, n, line, message)| self.deliver_to_leader(n, line, message));
        let (mut messages, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.to_agent)
            .into_iter()
            .partition(|w| due(self.now, &w.0));
        self.to_agent = later;
        messages.sort_by_key(|w| w.0);
        for (_, n, line, message) in messages {
            let (mut out, now) = (Vec::new(), self.senders[n].clock.at(self.now));
            self.senders[n]
                .machine
                .on_message(now, line, message, &mut out);
            self.run_session_effects(n, out);
        }
        let (checks, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.checks)
            .into_iter()
            .partition(|c| due(self.now, &c.0));
        self.checks = later;
        for (_, n, number, digest, fits) in checks {
            let (mut out, sender) = (Vec::new(), &mut self.senders[n]);
            let now = sender.clock.at(self.now);
            let needs = sender.machine.needed_documents(DocumentKind::Table);
            // Three tables are kept, as in a sender's document store.
            let oldest = sender
                .stored
                .keys()
                .copied()
                .find(|n| !needs.contains(n) && *n != sender.last);
            let oldest = oldest.filter(|_| sender.stored.len() >= 3 && fits);
            if let Some(oldest) = oldest {
                sender.stored.remove(&oldest);
                sender
                    .machine
                    .forget_documents(DocumentKind::Table, &[oldest]);
            }
            let result = match fits {
                true => Ok(()),
                false => Err("line 3: no".to_string()),
            };
            if fits {
                sender.stored.insert(number, digest);
                sender.refused.remove(&number);
            } else {
                sender.refused.insert(number);
            }
            sender
                .machine
                .on_document_checked(now, DocumentKind::Table, number, result, &mut out);
            self.run_session_effects(n, out);
        }
        for n in 0..3 {
            // A sender that is stopped at times misses ticks.
            if self.faulty && self.rng.u8(..4) == 0 {
                continue;
            }
            let (mut out, now) = (Vec::new(), self.senders[n].clock.at(self.now));
            self.senders[n].machine.on_tick(now, &NoDemand, &mut out);
            self.run_session_effects(n, out);
        }
        self.step_federation();
        self.step_leader();
        let admitting: BTreeSet<u64> = self
            .senders
            .iter()
            .filter_map(|s| s.admitted_table(self.now))
            .collect();
        let register = self.record.tables.register;
        assert!(
            admitting.len() <= 1,
            "tables {admitting:?} at once, {register:?}"
        );
        if self.fifo {
            let (table, before) = (self.federation.table.number, self.federation.before.number);
            let beyond = self.now > self.site_lease_end + FENCE;
            assert!(
                !beyond || admitting.is_empty(),
                "taken on beyond the lease: {admitting:?}, {register:?}"
            );
            let of = admitting.iter().all(|t| [table, before].contains(t));
            assert!(
                of,
                "by {admitting:?} while the federation goes by {before} and {table}, {register:?}"
            );
        }
    }

    fn run(&mut self, steps: u32) {
        (0..steps).for_each(|_| self.step());
    }
}

#[test]
fn a_site_cuts_over_as_a_whole_and_admits_nothing_that_its_federation_does_not_expect() {
    let (mut cutovers, mut rolled_back, mut held, mut removals, mut open) = (0, 0, 0, 0, 0);
    for seed in 0..100 {
        let mut world = SiteSimulation::new(seed, Fault::None);
        for _ in 0..8_000 {
            world.step();
            open += world
                .senders
                .iter()
                .filter(|s| s.admitted_table(world.now).is_some())
                .count();
        }
        (world.faulty, world.cut_off_until) = (false, 0);
        let end = world.now + 120 * SEC;
        let done = |w: &SiteSimulation| {
            let table = w.federation.table.number;
            let all = w
                .senders
                .iter()
                .all(|s| s.admitted_table(w.now) == Some(table));
            all && w.federation.proposal.is_none()
                && w.federation.sites.values().all(|s| s.uses == table)
        };
        while !done(&world) {
            world.step();
            assert!(
                world.now < end,
                "seed {seed}: {:?} {:?}",
                world.record.tables,
                world.federation
            );
        }
        cutovers += world.cutovers;
        (rolled_back, held, removals) = (
            rolled_back + world.rolled_back,
            held + world.held,
            removals + world.removals,
        );
    }
    println!(
        "{cutovers} switches, {rolled_back} taken back, {held} holds, {removals} times off, open in {open} steps"
    );
    assert!(cutovers > 100 && rolled_back > 20 && held > 100 && removals > 20 && open > 300_000);
}

#[test]
fn each_injected_fault_is_detected() {
    let said = |fault: Fault, seed: u64| {
        let played = std::panic::catch_unwind(|| SiteSimulation::new(seed, fault).run(8_000));
        played
            .err()
            .and_then(|e| e.downcast_ref::<String>().cloned())
    };
    for (fault, wanted) in [
        (Fault::CommitUnheard, "at once"),
        (Fault::AcceptUnstored, "has no table"),
        (Fault::NoHold, "beyond the lease"),
        (Fault::AllCounted, "beyond the lease"),
    ] {
        let found = (0..40).find_map(|seed| said(fault, seed).filter(|why| why.contains(wanted)));
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} is never seen");
    }
}

/// A leader whose commands are applied at once, and a federation whose other site accepts
/// everything.
struct Site {
    duties: LeaderDuties,
    record: Record,
    index: u64,
    now: Nanos,
    federation: Federation,
    /// Whether the other site is reachable and this one has a lease.
    linked: bool,
    lease: Option<Nanos>,
    said: Vec<(u64, ReplicaToAgent)>,
    answers: Vec<OperatorResponse>,
}

impl Site {
    fn new() -> Site {
        let mut federation = Federation::default();
        for site in [1, 2] {
            federation.apply(
                site,
                &federation::Command::Join {
                    site,
                    name: format!("s{site}"),
                },
            );
        }
        let (record, now) = (Record::default(), SEC);
        let duties = LeaderDuties::new(LeaderRules::default(), 1, now, &record)
            .with_last_leader_seen(now, Some(now));
        let (said, answers) = (Vec::new(), Vec::new());
        let mut site = Site {
            duties,
            record,
            index: 0,
            now,
            federation,
            linked: true,
            lease: None,
            said,
            answers,
        };
        site.pass(SEC / 10);
        site
    }

    fn carry_out(&mut self, out: Vec<leader::Effect>) {
        for out in out {
            let mut more = Vec::new();
            match out {
                leader::Effect::Propose(command) => {
                    self.index += 1;
                    self.record.apply(self.index, &command);
                    self.duties
                        .on_applied(self.now, self.index, &command, &self.record, &mut more);
                }
                leader::Effect::Send(line, message) => self.said.push((line, message)),
                leader::Effect::Reply(_, message) => self.answers.push(message),
                leader::Effect::ProposeToFederation(command) if self.linked => {
                    let version = self.federation.version + 1;
                    self.federation.apply(version, &command);
                }
                leader::Effect::ProposeToFederation(_) => {}
            }
            self.carry_out(more);
        }
    }

    /// Advances time by `time`, in steps of 50 ms.
    fn pass(&mut self, time: Nanos) {
        for _ in 0..time / (50 * MS) {
            self.now += 50 * MS;
            if self.linked {
                self.lease = Some(self.now + 5 * SEC);
                for command in [
                    federation::Command::Accept {
                        site: 2,
                        number: self.federation.given,
                    },
                    federation::Command::CutOver {
                        site: 2,
                        number: self.federation.table.number,
                    },
                ] {
                    let version = self.federation.version + 1;
                    self.federation.apply(version, &command);
                }
            }
            let known = FederationView {
                name: "f".into(),
                own_site: 1,
                record: Arc::new(self.federation.clone()),
                leader: 2,
                reachable_sites: BTreeSet::new(),
                lease_until: self.lease,
                holds_after_lease: true,
            };
            let mut out = Vec::new();
            self.duties
                .on_federation_state(self.now, Some(known), &self.record, &mut out);
            self.carry_out(out);
            let mut out = Vec::new();
            self.duties.on_tick(self.now, &self.record, &mut out);
            self.carry_out(out);
        }
    }

    fn hear(&mut self, line: u64, messages: &[AgentToReplica]) -> Vec<ReplicaToAgent> {
        let mut out = Vec::new();
        self.said.clear();
        // Messages that arrive together are handled before the record has any of their effects.
        messages.iter().for_each(|w| {
            self.duties
                .on_agent_message(self.now, line, w, &self.record, &mut out)
        });
        self.carry_out(out);
        self.said.iter().map(|(_, m)| m.clone()).collect()
    }

    fn order(&mut self, message: FederationRequest) {
        let mut out = Vec::new();
        self.answers.clear();
        self.duties.on_operator_request(
            self.now,
            99,
            &OperatorRequest::Federation(message),
            &self.record,
            &mut out,
        );
        self.carry_out(out);
    }

    /// Advances time while the senders on these connections report, store every table they are
    /// offered, and apply every turn they receive.
    fn serve(&mut self, lines: &[u64], time: Nanos) {
        for _ in 0..time / (50 * MS) {
            self.said.clear();
            self.pass(50 * MS);
            for (line, message) in std::mem::take(&mut self.said) {
                let ReplicaToAgent::RoutingTable(message) = message else {
                    continue;
                };
                let answer = match message {
                    _ if !lines.contains(&line) => continue,
                    ReplicaTableMessage::OfferTable { number, .. } => {
                        AgentTableMessage::TableChecked {
                            number,
                            refused: None,
                        }
                    }
                    ReplicaTableMessage::ApplyTable { turn, .. } => {
                        AgentTableMessage::TableApplied { turn }
                    }
                };
                let before = std::mem::take(&mut self.said);
                self.hear(line, &[AgentToReplica::RoutingTable(answer)]);
                self.said.extend(before);
            }
            lines
                .iter()
                .for_each(|line| _ = self.hear(*line, &[load_report(self.now / MS)]));
        }
    }
}

fn open_session(sender: &str) -> AgentToReplica {
    AgentToReplica::OpenSession {
        sender: sender.into(),
        boot: 7,
        zone: "a".into(),
        record_version: 0,
        stored: None,
    }
}

fn load_report(report: u64) -> AgentToReplica {
    AgentToReplica::Report {
        report,
        record_version: 0,
        call_counts: vec![],
        listed: None,
        lease_requests: vec![],
        outcomes: vec![],
    }
}

fn has(tables: &[(u64, Digest)]) -> AgentToReplica {
    AgentToReplica::RoutingTable(AgentTableMessage::StoredTables(tables.to_vec()))
}

fn rules(said: &[ReplicaToAgent]) -> Vec<(u64, SiteAdmission)> {
    let rule = |message: &ReplicaToAgent| match message {
        ReplicaToAgent::RoutingTable(ReplicaTableMessage::ApplyTable {
            number,
            admission: stance,
            ..
        }) => Some((*number, *stance)),
        _ => None,
    };
    said.iter().filter_map(rule).collect()
}

#[test]
fn a_leader_brings_a_proposed_table_into_use_and_holds_after_the_lease() {
    let mut site = Site::new();
    let said = site.hear(1, &[open_session("n1"), has(&[])]);
    assert_eq!(rules(&said), [(0, SiteAdmission::Open)], "{said:?}");
    assert!(
        !said.contains(&ReplicaToAgent::UnknownSession),
        "what it has comes before its session: {said:?}"
    );
    site.serve(&[1], SEC);
    let text = "list_alone = true\n".to_string();
    site.order(FederationRequest::ProposeTable {
        text: "[[route]]\ntiers = 3\n".into(),
        within_s: 0,
    });
    assert!(
        matches!(&site.answers[..], [OperatorResponse::Rejected(why)] if why.contains("line 2"))
    );
    let propose = FederationRequest::ProposeTable { text, within_s: 10 };
    site.order(propose.clone());
    site.serve(&[1], 3 * SEC);
    assert!(
        matches!(site.answers[..], [OperatorResponse::Done(_)]),
        "{:?}",
        site.answers
    );
    let register = site.record.tables.register;
    assert_eq!((register.number, register.stance), (1, SiteAdmission::Open));
    assert_eq!(site.federation.sites[&1].uses, 1);
    // A sender whose configuration file does not let it follow tables ends a proposal by any site,
    // and the reason names the sender.
    site.hear(2, &[open_session("n2")]);
    site.hear(2, &[load_report(1)]);
    site.order(propose);
    assert!(
        matches!(&site.answers[..], [OperatorResponse::Rejected(why)] if why.contains("n2") && why.contains("[table]"))
    );
    let (by, text, digest) = ("s2".to_string(), "list_alone = true\n".to_string(), [1; 32]);
    let command = federation::Command::Propose {
        by,
        key: 1,
        text,
        digest,
        within_ms: 60_000,
    };
    site.federation.apply(900, &command);
    site.serve(&[1], SEC);
    let end = site.federation.past.back().expect("over").end.clone();
    assert!(
        site.federation.proposal.is_none() && end.contains("refused by s1: n2"),
        "{end}"
    );
    site.hear(2, &[AgentToReplica::CloseSession]);
    // The federation is unreachable for longer than the lease: nothing is admitted, and no sender
    // is told otherwise, not even by the next leader.
    site.linked = false;
    site.serve(&[1], 7 * SEC);
    assert_eq!(
        site.record.tables.register.stance,
        SiteAdmission::LeaseExpired
    );
    let status_after = |site: &mut Site| {
        site.serve(&[1], SEC);
        site.order(FederationRequest::Status);
        site.answers.pop()
    };
    let Some(OperatorResponse::FederationStatus(status)) = status_after(&mut site) else {
        panic!("no status")
    };
    assert_eq!(
        (status.lease_ms, status.table.0, status.sites.len()),
        (0, 1, 2)
    );
    site.linked = true;
    site.serve(&[1], 2 * SEC);
    assert_eq!(site.record.tables.register.stance, SiteAdmission::Open);
    // A leader that does not know how long there was no leader does not rely on the recorded lease:
    // no sender is told that messages are admitted.
    (site.linked, site.lease) = (false, None);
    site.duties = LeaderDuties::new(LeaderRules::default(), 2, site.now, &site.record)
        .with_last_leader_seen(site.now, None);
    let known = FederationView {
        name: "f".into(),
        own_site: 1,
        record: Arc::new(site.federation.clone()),
        leader: 0,
        reachable_sites: BTreeSet::new(),
        lease_until: None,
        holds_after_lease: true,
    };
    let mut out = Vec::new();
    site.duties
        .on_federation_state(site.now, Some(known), &site.record, &mut out);
    // The change to hold is not in the record yet.
    let mut held = Vec::new();
    std::mem::swap(&mut held, &mut out);
    let said = site.hear(3, &[open_session("n3"), has(&[])]);
    assert_eq!(rules(&said), [], "{said:?}");
    assert!(
        !said
            .iter()
            .any(|w| matches!(w, ReplicaToAgent::LeaseRenewed { .. })),
        "{said:?}"
    );
    site.said.clear();
    site.carry_out(held);
    let said: Vec<ReplicaToAgent> = site.said.iter().map(|(_, m)| m.clone()).collect();
    assert_eq!(rules(&said), [(1, SiteAdmission::LeaseExpired)], "{said:?}");
}
