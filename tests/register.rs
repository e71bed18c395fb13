//! Three senders' agents and a record whose messages are lost, duplicated, delayed and reordered:
//! no two policies are active at the same time.
#![cfg(feature = "fleet")]

mod common;

use common::{MS, SEC};
use raildeal::agent::register::{DocumentKind, OnLeaseLoss, Register};
use raildeal::agent::session::{
    AdmissionRequirement, AttemptDemand, SessionConfig, SessionEffect, SessionState,
};
use raildeal::coordination::messages::{AgentToReplica, Digest, ReplicaToAgent};
use raildeal::Nanos;
use std::collections::{BTreeMap, BTreeSet};

const LEASE_MS: u32 = 1_500;
/// Time after which a pause is rolled back.
const PAUSE_TIMEOUT: Nanos = 400 * MS;

struct NoDemand;

impl AttemptDemand for NoDemand {
    fn waiting_messages(&self, _: u16) -> u32 {
        0
    }

    fn leased_attempts_left(&self, _: &str, _: u16) -> u32 {
        0
    }
}

fn session(
    n: usize,
    boot: u64,
    on_lease_loss: OnLeaseLoss,
    stored: BTreeMap<u64, Digest>,
    last: u64,
) -> SessionState {
    let config = SessionConfig {
        sender: format!("n{n}"),
        boot,
        zone: "a".into(),
        replicas: vec![1],
        report_interval: 100 * MS,
        warm_after: SEC,
    };
    SessionState::new(config, boot, 0).with_register(Register::new(
        DocumentKind::Policy,
        on_lease_loss,
        stored,
        last,
    ))
}

fn digest(number: u64) -> Digest {
    [number as u8; 32]
}

fn open(number: u64, until: Option<Nanos>) -> AdmissionRequirement {
    AdmissionRequirement::Open {
        policy: Some(number),
        table: None,
        until,
    }
}

/// A sender with its own clock.
struct Sender {
    session: SessionState,
    boot: u64,
    /// Start of its clock, in true time.
    clock_start: Nanos,
    /// Error of its clock, in parts per 10,000.
    clock_error: i64,
    connection: u64,
    admission: AdmissionRequirement,
    stored: BTreeMap<u64, Digest>,
    last: u64,
    last_reply_turn: u64,
}

impl Sender {
    fn now(&self, now: Nanos) -> Nanos {
        let true_time = (now - self.clock_start) as i64;
        (true_time + true_time / 10_000 * self.clock_error) as Nanos
    }

    fn accepting_policy(&self, now: Nanos) -> Option<u64> {
        match self.admission {
            AdmissionRequirement::Open {
                policy: Some(number),
                until,
                ..
            } if until.is_none_or(|until| self.now(now) < until) => Some(number),
            _ => None,
        }
    }
}

/// The replicas' state of a sender, in true time.
#[derive(Clone, Copy, Default)]
struct Session {
    boot: u64,
    connection: u64,
    until: Nanos,
    turn: u64,
}

/// A policy change in progress.
#[derive(Clone, Copy, PartialEq)]
enum Change {
    None,
    Offered(u64),
    Paused(u64, Nanos),
}

struct World {
    random: fastrand::Rng,
    on_lease_loss: OnLeaseLoss,
    now: Nanos,
    senders: Vec<Sender>,
    sessions: Vec<Session>,
    stored_documents: Vec<BTreeSet<u64>>,
    to_replica: Vec<(Nanos, usize, u64, AgentToReplica)>,
    to_agent: Vec<(Nanos, usize, u64, ReplicaToAgent)>,
    checks: Vec<(Nanos, usize, u64, Digest)>,
    rule: (u64, u64, bool),
    change: Change,
    proposed: u64,
    committed: u32,
    rolled_back: u32,
    is_faulty: bool,
}

impl World {
    fn new(seed: u64, on_lease_loss: OnLeaseLoss) -> World {
        let mut random = fastrand::Rng::with_seed(seed);
        let senders = (0..3).map(|n| {
            let boot = random.u64(1..);
            Sender {
                session: session(n, boot, on_lease_loss, BTreeMap::new(), 0),
                boot,
                clock_start: SEC,
                clock_error: [-99, 0, 99][n],
                connection: 0,
                admission: AdmissionRequirement::Fenced,
                stored: BTreeMap::new(),
                last: 0,
                last_reply_turn: 0,
            }
        });
        World {
            senders: senders.collect(),
            on_lease_loss,
            random,
            now: SEC,
            sessions: vec![Session::default(); 3],
            stored_documents: vec![BTreeSet::new(); 3],
            to_replica: Vec::new(),
            to_agent: Vec::new(),
            checks: Vec::new(),
            rule: (1, 0, false),
            change: Change::None,
            proposed: 0,
            committed: 0,
            rolled_back: 0,
            is_faulty: true,
        }
    }

    fn arrivals(&mut self) -> Vec<Nanos> {
        if !self.is_faulty {
            return vec![self.now + MS];
        }
        let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.random.usize(..8)];
        let max_delay_ms = if self.random.u8(..10) == 0 { 3_000 } else { 30 };
        (0..copies)
            .map(|_| self.now + self.random.u64(1..max_delay_ms) * MS)
            .collect()
    }

    fn send_to_agent(&mut self, n: usize, message: ReplicaToAgent) {
        let connection = self.sessions[n].connection;
        for at in self.arrivals() {
            self.to_agent.push((at, n, connection, message.clone()));
        }
    }

    fn carry_out(&mut self, n: usize, out: Vec<SessionEffect>) {
        for out in out {
            match out {
                SessionEffect::Connect { connection, .. } => {
                    self.senders[n].connection = connection
                }
                SessionEffect::Disconnect => self.senders[n].connection = 0,
                SessionEffect::Send(message) => {
                    if let AgentToReplica::PolicyApplied { turn } = message {
                        let sender = &mut self.senders[n];
                        assert!(
                            turn >= sender.last_reply_turn,
                            "turn {turn} after {}",
                            sender.last_reply_turn
                        );
                        sender.last_reply_turn = turn;
                    }
                    let connection = self.senders[n].connection;
                    for at in self.arrivals() {
                        self.to_replica.push((at, n, connection, message.clone()));
                    }
                }
                SessionEffect::CheckDocument { number, digest, .. } => {
                    let at = self.now + self.random.u64(1..300) * MS;
                    self.checks.push((at, n, number, digest));
                }
                SessionEffect::SetAdmission(admission) => {
                    let sender = &mut self.senders[n];
                    sender.admission = admission;
                    if let AdmissionRequirement::Open {
                        policy: Some(number),
                        ..
                    } = admission
                    {
                        assert!(
                            number == 0 || sender.stored.contains_key(&number),
                            "not stored"
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

    /// Returns the latest time until which a sender may trust a lease that is granted now.
    fn lease_end(&self) -> Nanos {
        self.now + Nanos::from(LEASE_MS) * MS * 102 / 101
    }

    fn replica_receives(&mut self, n: usize, connection: u64, message: AgentToReplica) {
        let is_live = self.sessions[n].until > self.now;
        let is_current = is_live && self.sessions[n].connection == connection;
        match message {
            AgentToReplica::OpenSession { boot, stored, .. } => {
                // A late message of an earlier process or on an earlier connection is ignored.
                if boot != self.senders[n].boot
                    || connection < self.sessions[n].connection && boot == self.sessions[n].boot
                {
                    return;
                }
                let (until, turn) = (self.lease_end().max(self.sessions[n].until), 0);
                self.sessions[n] = Session {
                    boot,
                    connection,
                    until,
                    turn,
                };
                self.stored_documents[n] = stored
                    .expect("the sender follows policies")
                    .into_iter()
                    .map(|(number, _)| number)
                    .collect();
                self.send_rule(n);
                self.send_to_agent(
                    n,
                    ReplicaToAgent::LeaseRenewed {
                        report: 0,
                        lease_ms: LEASE_MS,
                    },
                );
            }
            AgentToReplica::Report { report, .. } if is_current => {
                self.sessions[n].until = self.sessions[n].until.max(self.lease_end());
                self.send_to_agent(
                    n,
                    ReplicaToAgent::LeaseRenewed {
                        report,
                        lease_ms: LEASE_MS,
                    },
                );
            }
            AgentToReplica::Report { .. } => {
                let unknown = (self.now + MS, n, connection, ReplicaToAgent::UnknownSession);
                self.to_agent.push(unknown);
            }
            AgentToReplica::PolicyChecked {
                number,
                refused: None,
            } if is_current => _ = self.stored_documents[n].insert(number),
            AgentToReplica::PolicyApplied { turn } if is_current => {
                self.sessions[n].turn = self.sessions[n].turn.max(turn)
            }
            _ => {}
        }
    }

    fn send_rule(&mut self, n: usize) {
        let (turn, number, paused) = self.rule;
        self.send_to_agent(
            n,
            ReplicaToAgent::ApplyPolicy {
                turn,
                number,
                paused,
            },
        );
    }

    fn live_senders(&self) -> Vec<usize> {
        (0..3)
            .filter(|n| self.sessions[*n].until > self.now)
            .collect()
    }

    fn set_rule(&mut self, number: u64, paused: bool) {
        self.rule = (self.rule.0 + 1, number, paused);
        self.live_senders()
            .into_iter()
            .for_each(|n| self.send_rule(n));
    }

    /// Advances the record: to the next policy with the replies of all live senders, or back.
    fn advance_record(&mut self) {
        let live = self.live_senders();
        let behind: Vec<usize> = live
            .iter()
            .copied()
            .filter(|n| self.sessions[*n].turn < self.rule.0)
            .collect();
        if self.now % (100 * MS) == 0 {
            behind.iter().for_each(|n| self.send_rule(*n));
            let offered = if let Change::Offered(number) = self.change {
                number
            } else {
                0
            };
            for n in live.clone() {
                for number in [self.rule.1, offered] {
                    if number > 0 && !self.stored_documents[n].contains(&number) {
                        self.send_to_agent(
                            n,
                            ReplicaToAgent::OfferPolicy {
                                number,
                                digest: digest(number),
                                text: String::new(),
                            },
                        );
                    }
                }
            }
        }
        match self.change {
            Change::None => {
                if self.random.u16(..200) == 0 {
                    self.proposed += 1;
                    self.change = Change::Offered(self.proposed);
                }
            }
            Change::Offered(number) => {
                if !live.is_empty()
                    && live
                        .iter()
                        .all(|n| self.stored_documents[*n].contains(&number))
                {
                    self.set_rule(self.rule.1, true);
                    self.change = Change::Paused(number, self.now + PAUSE_TIMEOUT);
                }
            }
            Change::Paused(number, _) if behind.is_empty() => {
                self.set_rule(number, false);
                self.committed += 1;
                self.change = Change::None;
            }
            Change::Paused(number, until) => {
                if self.now >= until {
                    self.set_rule(self.rule.1, false);
                    self.rolled_back += 1;
                    self.change = Change::Offered(number);
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += 5 * MS;
        for n in 0..3 {
            let at = self.senders[n].now(self.now);
            if self.is_faulty && self.random.u32(..500) == 0 {
                let connection = self.senders[n].connection;
                self.senders[n].session.on_connection_lost(at, connection);
            }
            if self.is_faulty && self.random.u32(..3_000) == 0 {
                let sender = &mut self.senders[n];
                sender.boot += 1;
                sender.session = session(
                    n,
                    sender.boot,
                    self.on_lease_loss,
                    sender.stored.clone(),
                    sender.last,
                );
                (
                    sender.clock_start,
                    sender.admission,
                    sender.connection,
                    sender.last_reply_turn,
                ) = (self.now, AdmissionRequirement::Fenced, 0, 0);
                self.to_agent.retain(|w| w.1 != n);
                self.checks.retain(|c| c.1 != n);
            }
        }
        let due = |now, at: &Nanos| *at <= now;
        let (due_messages, later) = std::mem::take(&mut self.to_replica)
            .into_iter()
            .partition(|w| due(self.now, &w.0));
        self.to_replica = later;
        let due_messages: Vec<(Nanos, usize, u64, AgentToReplica)> = due_messages;
        due_messages
            .into_iter()
            .for_each(|(_, n, connection, message)| self.replica_receives(n, connection, message));
        let (due_messages, later) = std::mem::take(&mut self.to_agent)
            .into_iter()
            .partition(|w| due(self.now, &w.0));
        self.to_agent = later;
        let due_messages: Vec<(Nanos, usize, u64, ReplicaToAgent)> = due_messages;
        for (_, n, connection, message) in due_messages {
            let (mut out, now) = (Vec::new(), self.senders[n].now(self.now));
            self.senders[n]
                .session
                .on_message(now, connection, message, &mut out);
            self.carry_out(n, out);
        }
        let (checks, later) = std::mem::take(&mut self.checks)
            .into_iter()
            .partition(|c| due(self.now, &c.0));
        self.checks = later;
        let checks: Vec<(Nanos, usize, u64, Digest)> = checks;
        for (_, n, number, digest) in checks {
            let (mut out, now) = (Vec::new(), self.senders[n].now(self.now));
            self.senders[n].stored.insert(number, digest);
            self.senders[n].session.on_document_checked(
                now,
                DocumentKind::Policy,
                number,
                Ok(()),
                &mut out,
            );
            self.carry_out(n, out);
        }
        for n in 0..3 {
            // A sender is occasionally suspended, and checks nothing during that time.
            if self.is_faulty && self.random.u8(..4) == 0 {
                continue;
            }
            let (mut out, now) = (Vec::new(), self.senders[n].now(self.now));
            self.senders[n].session.on_tick(now, &NoDemand, &mut out);
            self.carry_out(n, out);
        }
        self.advance_record();
        let active_policies: BTreeSet<u64> = self
            .senders
            .iter()
            .filter_map(|s| s.accepting_policy(self.now))
            .collect();
        assert!(
            active_policies.len() <= 1,
            "policies {active_policies:?} at once, rule {:?}",
            self.rule
        );
        let have_all_replied = self
            .live_senders()
            .iter()
            .all(|n| self.sessions[*n].turn == self.rule.0);
        assert!(
            !(self.rule.2 && have_all_replied && !active_policies.is_empty()),
            "accepted while all are paused"
        );
    }
}

#[test]
fn over_faulty_connections_and_restarts_no_two_senders_accept_under_two_policies() {
    let (mut committed, mut rolled_back, mut open) = (0, 0, 0);
    for seed in 0..200 {
        let mut world = World::new(seed, OnLeaseLoss::StopAccepting);
        for _ in 0..8_000 {
            world.step();
            open += world
                .senders
                .iter()
                .filter(|s| s.accepting_policy(world.now).is_some())
                .count();
        }
        world.is_faulty = false;
        (0..1_500).for_each(|_| world.step());
        // All senders apply the record's policy once the connections are reliable.
        while world.rule.2 || world.change != Change::None {
            world.step();
        }
        (0..100).for_each(|_| world.step());
        let active_policies: Vec<_> = world
            .senders
            .iter()
            .map(|s| s.accepting_policy(world.now))
            .collect();
        assert!(
            world.rule.2 || active_policies == [Some(world.rule.1); 3],
            "seed {seed}: {active_policies:?}"
        );
        (committed, rolled_back) = (committed + world.committed, rolled_back + world.rolled_back);
    }
    // The runs have to contain all of these cases.
    println!("{committed} committed, {rolled_back} rolled back, open in {open} steps of senders");
    assert!(
        committed > 1_000 && rolled_back > 300 && open > 1_000_000,
        "{committed} {rolled_back} {open}"
    );
}

#[test]
fn senders_that_keep_the_last_policy_without_a_lease_do_diverge() {
    let diverges = |seed| {
        let result = std::panic::catch_unwind(|| {
            let mut world = World::new(seed, OnLeaseLoss::KeepLast);
            (0..8_000).for_each(|_| world.step());
        });
        result.is_err_and(|e| {
            e.downcast_ref::<String>()
                .is_some_and(|why| why.contains("at once"))
        })
    };
    assert!((0..20).any(diverges), "the checked failure never happens");
}

/// Returns an agent in a session that has received this rule, at 1 s of its clock.
fn agent_in_session(
    on_lease_loss: OnLeaseLoss,
    stored: &[u64],
    rule: (u64, u64, bool),
) -> (SessionState, Vec<SessionEffect>) {
    let stored = stored.iter().map(|n| (*n, digest(*n))).collect();
    let (mut agent, mut out) = (session(0, 9, on_lease_loss, stored, 0), Vec::new());
    agent.on_tick(SEC, &NoDemand, &mut out);
    let (turn, number, paused) = rule;
    agent.on_message(
        SEC,
        1,
        ReplicaToAgent::ApplyPolicy {
            turn,
            number,
            paused,
        },
        &mut out,
    );
    agent.on_message(
        SEC,
        1,
        ReplicaToAgent::LeaseRenewed {
            report: 0,
            lease_ms: LEASE_MS,
        },
        &mut out,
    );
    (agent, out)
}

fn requirements(out: &[SessionEffect]) -> Vec<AdmissionRequirement> {
    out.iter()
        .filter_map(|o| {
            if let SessionEffect::SetAdmission(requirement) = o {
                Some(*requirement)
            } else {
                None
            }
        })
        .collect()
}

fn reply_turns(out: &[SessionEffect]) -> Vec<u64> {
    let turn = |o: &SessionEffect| {
        if let SessionEffect::Send(AgentToReplica::PolicyApplied { turn }) = o {
            Some(*turn)
        } else {
            None
        }
    };
    out.iter().filter_map(turn).collect()
}

#[test]
fn a_sender_applies_the_highest_turn_replies_once_applied_and_answers_duplicates() {
    let until = Some(SEC + Nanos::from(LEASE_MS) * MS * 98 / 100);
    let (mut agent, out) = agent_in_session(OnLeaseLoss::StopAccepting, &[3], (4, 3, false));
    assert_eq!(
        requirements(&out),
        [AdmissionRequirement::Fenced, open(3, until)]
    );
    let at = |wanted: fn(&SessionEffect) -> bool| out.iter().position(wanted).expect("the effect");
    let opened = at(|o| {
        matches!(
            o,
            SessionEffect::SetAdmission(AdmissionRequirement::Open { .. })
        )
    });
    assert!(
        opened
            < at(|o| matches!(
                o,
                SessionEffect::Send(AgentToReplica::PolicyApplied { turn: 4 })
            ))
    );
    let mut receive_rule = |turn, number, paused| {
        let mut out = Vec::new();
        agent.on_message(
            SEC + MS,
            1,
            ReplicaToAgent::ApplyPolicy {
                turn,
                number,
                paused,
            },
            &mut out,
        );
        (requirements(&out), reply_turns(&out))
    };
    assert_eq!(receive_rule(4, 3, false), (vec![], vec![4]), "a duplicate");
    assert_eq!(
        receive_rule(5, 3, true),
        (vec![AdmissionRequirement::Paused], vec![5])
    );
    assert_eq!(
        receive_rule(4, 3, false),
        (vec![], vec![]),
        "an earlier turn"
    );
    assert_eq!(
        receive_rule(5, 3, false),
        (vec![], vec![5]),
        "a turn has a single rule"
    );
    // A policy that is not stored is not applied, and the reply is not sent before it is.
    assert_eq!(
        receive_rule(6, 7, false),
        (vec![AdmissionRequirement::Fenced], vec![])
    );
    let mut out = Vec::new();
    let offer = ReplicaToAgent::OfferPolicy {
        number: 7,
        digest: digest(7),
        text: "x".into(),
    };
    agent.on_message(SEC + MS, 1, offer.clone(), &mut out);
    agent.on_message(SEC + MS, 1, offer.clone(), &mut out);
    assert_eq!(out.len(), 1, "checked once: {out:?}");
    agent.on_document_checked(SEC + MS, DocumentKind::Policy, 7, Ok(()), &mut out);
    let stored = SessionEffect::Send(AgentToReplica::PolicyChecked {
        number: 7,
        refused: None,
    });
    assert!(out.contains(&stored) && reply_turns(&out) == [6]);
    assert_eq!(requirements(&out), [open(7, until)]);
    out.clear();
    agent.on_message(SEC + MS, 1, offer, &mut out);
    assert_eq!(out, [stored], "already stored");
    let offer = ReplicaToAgent::OfferPolicy {
        number: 8,
        digest: digest(8),
        text: "x".into(),
    };
    agent.on_message(SEC + MS, 1, offer, &mut out);
    out.clear();
    agent.on_document_checked(
        SEC + MS,
        DocumentKind::Policy,
        8,
        Err("line 3: no".into()),
        &mut out,
    );
    assert!(
        out.contains(&SessionEffect::Send(AgentToReplica::PolicyChecked {
            number: 8,
            refused: Some("line 3: no".into())
        }))
    );
}

#[test]
fn an_expired_lease_requires_a_new_session_and_rule() {
    for (on_lease_loss, after) in [
        (OnLeaseLoss::StopAccepting, AdmissionRequirement::Fenced),
        (OnLeaseLoss::KeepLast, open(3, None)),
    ] {
        let (mut agent, _) = agent_in_session(on_lease_loss, &[3], (4, 3, true));
        let mut out = Vec::new();
        agent.on_message(
            SEC + MS,
            1,
            ReplicaToAgent::ApplyPolicy {
                turn: 5,
                number: 3,
                paused: false,
            },
            &mut out,
        );
        agent.on_message(
            SEC + MS,
            1,
            ReplicaToAgent::ApplyPolicy {
                turn: 6,
                number: 3,
                paused: true,
            },
            &mut out,
        );
        out.clear();
        // Messages that arrive on that connection after the expiry are ignored, even if they were
        // sent before.
        let late = agent.next_deadline().max(SEC + 2 * SEC);
        agent.on_message(
            late,
            1,
            ReplicaToAgent::ApplyPolicy {
                turn: 7,
                number: 3,
                paused: false,
            },
            &mut out,
        );
        agent.on_message(
            late,
            1,
            ReplicaToAgent::LeaseRenewed {
                report: 1,
                lease_ms: 60_000,
            },
            &mut out,
        );
        assert!(out.contains(&SessionEffect::Disconnect), "{out:?}");
        assert_eq!(
            (requirements(&out), reply_turns(&out)),
            (vec![after], vec![]),
            "{on_lease_loss:?}"
        );
        out.clear();
        let now = late + 20 * MS;
        agent.on_tick(now, &NoDemand, &mut out);
        assert!(
            out.iter()
                .any(|o| matches!(o, SessionEffect::Connect { connection: 2, .. })),
            "{out:?}"
        );
        out.clear();
        agent.on_message(
            now,
            2,
            ReplicaToAgent::LeaseRenewed {
                report: 0,
                lease_ms: LEASE_MS,
            },
            &mut out,
        );
        assert!(reply_turns(&out).is_empty(), "no rule was received yet");
        agent.on_message(
            now,
            2,
            ReplicaToAgent::ApplyPolicy {
                turn: 9,
                number: 3,
                paused: false,
            },
            &mut out,
        );
        assert_eq!(reply_turns(&out), [9]);
    }
}

#[test]
fn a_starting_sender_reports_stored_documents_and_follows_its_setting() {
    let stored: BTreeMap<u64, Digest> = [(3, digest(3))].into();
    for (on_lease_loss, last, expected) in [
        (OnLeaseLoss::StopAccepting, 3, AdmissionRequirement::Fenced),
        (OnLeaseLoss::KeepLast, 3, open(3, None)),
        (OnLeaseLoss::KeepLast, 4, open(0, None)),
    ] {
        let (mut agent, mut out) = (
            session(0, 9, on_lease_loss, stored.clone(), last),
            Vec::new(),
        );
        agent.on_tick(SEC, &NoDemand, &mut out);
        assert_eq!(requirements(&out), [expected]);
        let stored_documents = out.iter().find_map(|o| match o {
            SessionEffect::Send(AgentToReplica::OpenSession { stored, .. }) => Some(stored.clone()),
            _ => None,
        });
        assert_eq!(stored_documents, Some(Some(vec![(3, digest(3))])));
    }
}
