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
const PAUSE: Nanos = 400 * MS;

struct Nothing;

impl AttemptDemand for Nothing {
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
    began: Nanos,
    /// Error of its clock, in parts per 10,000.
    off: i64,
    line: u64,
    admission: AdmissionRequirement,
    stored: BTreeMap<u64, Digest>,
    last: u64,
    said: u64,
}

impl Sender {
    fn now(&self, now: Nanos) -> Nanos {
        let true_time = (now - self.began) as i64;
        (true_time + true_time / 10_000 * self.off) as Nanos
    }

    fn takes_on(&self, now: Nanos) -> Option<u64> {
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
    line: u64,
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
    dice: fastrand::Rng,
    on_lease_loss: OnLeaseLoss,
    now: Nanos,
    senders: Vec<Sender>,
    sessions: Vec<Session>,
    has: Vec<BTreeSet<u64>>,
    to_keeper: Vec<(Nanos, usize, u64, AgentToReplica)>,
    to_agent: Vec<(Nanos, usize, u64, ReplicaToAgent)>,
    checks: Vec<(Nanos, usize, u64, Digest)>,
    rule: (u64, u64, bool),
    change: Change,
    proposed: u64,
    committed: u32,
    taken_back: u32,
    bad: bool,
}

impl World {
    fn new(seed: u64, on_lease_loss: OnLeaseLoss) -> World {
        let mut dice = fastrand::Rng::with_seed(seed);
        let senders = (0..3).map(|n| {
            let boot = dice.u64(1..);
            Sender {
                session: session(n, boot, on_lease_loss, BTreeMap::new(), 0),
                boot,
                began: SEC,
                off: [-99, 0, 99][n],
                line: 0,
                admission: AdmissionRequirement::Fenced,
                stored: BTreeMap::new(),
                last: 0,
                said: 0,
            }
        });
        World {
            senders: senders.collect(),
            on_lease_loss,
            dice,
            now: SEC,
            sessions: vec![Session::default(); 3],
            has: vec![BTreeSet::new(); 3],
            to_keeper: Vec::new(),
            to_agent: Vec::new(),
            checks: Vec::new(),
            rule: (1, 0, false),
            change: Change::None,
            proposed: 0,
            committed: 0,
            taken_back: 0,
            bad: true,
        }
    }

    fn arrivals(&mut self) -> Vec<Nanos> {
        if !self.bad {
            return vec![self.now + MS];
        }
        let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.dice.usize(..8)];
        let most = if self.dice.u8(..10) == 0 { 3_000 } else { 30 };
        (0..copies)
            .map(|_| self.now + self.dice.u64(1..most) * MS)
            .collect()
    }

    fn say(&mut self, n: usize, word: ReplicaToAgent) {
        let line = self.sessions[n].line;
        for at in self.arrivals() {
            self.to_agent.push((at, n, line, word.clone()));
        }
    }

    fn act(&mut self, n: usize, out: Vec<SessionEffect>) {
        for out in out {
            match out {
                SessionEffect::Connect {
                    connection: line, ..
                } => self.senders[n].line = line,
                SessionEffect::Disconnect => self.senders[n].line = 0,
                SessionEffect::Send(word) => {
                    if let AgentToReplica::PolicyApplied { turn } = word {
                        let sender = &mut self.senders[n];
                        assert!(turn >= sender.said, "turn {turn} after {}", sender.said);
                        sender.said = turn;
                    }
                    let line = self.senders[n].line;
                    for at in self.arrivals() {
                        self.to_keeper.push((at, n, line, word.clone()));
                    }
                }
                SessionEffect::CheckDocument { number, digest, .. } => {
                    let at = self.now + self.dice.u64(1..300) * MS;
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
    fn counted(&self) -> Nanos {
        self.now + Nanos::from(LEASE_MS) * MS * 102 / 101
    }

    fn keeper_hears(&mut self, n: usize, line: u64, word: AgentToReplica) {
        let live = self.sessions[n].until > self.now;
        let own = live && self.sessions[n].line == line;
        match word {
            AgentToReplica::OpenSession { boot, stored, .. } => {
                // A late message of an earlier process or on an earlier connection is ignored.
                if boot != self.senders[n].boot
                    || line < self.sessions[n].line && boot == self.sessions[n].boot
                {
                    return;
                }
                let (until, turn) = (self.counted().max(self.sessions[n].until), 0);
                self.sessions[n] = Session {
                    boot,
                    line,
                    until,
                    turn,
                };
                self.has[n] = stored
                    .expect("the sender follows policies")
                    .into_iter()
                    .map(|(number, _)| number)
                    .collect();
                self.say_rule(n);
                self.say(
                    n,
                    ReplicaToAgent::LeaseRenewed {
                        report: 0,
                        lease_ms: LEASE_MS,
                    },
                );
            }
            AgentToReplica::Report { report, .. } if own => {
                self.sessions[n].until = self.sessions[n].until.max(self.counted());
                self.say(
                    n,
                    ReplicaToAgent::LeaseRenewed {
                        report,
                        lease_ms: LEASE_MS,
                    },
                );
            }
            AgentToReplica::Report { .. } => {
                let unknown = (self.now + MS, n, line, ReplicaToAgent::UnknownSession);
                self.to_agent.push(unknown);
            }
            AgentToReplica::PolicyChecked {
                number,
                refused: None,
            } if own => _ = self.has[n].insert(number),
            AgentToReplica::PolicyApplied { turn } if own => {
                self.sessions[n].turn = self.sessions[n].turn.max(turn)
            }
            _ => {}
        }
    }

    fn say_rule(&mut self, n: usize) {
        let (turn, number, paused) = self.rule;
        self.say(
            n,
            ReplicaToAgent::ApplyPolicy {
                turn,
                number,
                paused,
            },
        );
    }

    fn live(&self) -> Vec<usize> {
        (0..3)
            .filter(|n| self.sessions[*n].until > self.now)
            .collect()
    }

    fn turn(&mut self, number: u64, paused: bool) {
        self.rule = (self.rule.0 + 1, number, paused);
        self.live().into_iter().for_each(|n| self.say_rule(n));
    }

    /// Advances the record: to the next policy with the replies of all live senders, or back.
    fn keep(&mut self) {
        let live = self.live();
        let behind: Vec<usize> = live
            .iter()
            .copied()
            .filter(|n| self.sessions[*n].turn < self.rule.0)
            .collect();
        if self.now % (100 * MS) == 0 {
            behind.iter().for_each(|n| self.say_rule(*n));
            let offered = if let Change::Offered(number) = self.change {
                number
            } else {
                0
            };
            for n in live.clone() {
                for number in [self.rule.1, offered] {
                    if number > 0 && !self.has[n].contains(&number) {
                        self.say(
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
                if self.dice.u16(..200) == 0 {
                    self.proposed += 1;
                    self.change = Change::Offered(self.proposed);
                }
            }
            Change::Offered(number) => {
                if !live.is_empty() && live.iter().all(|n| self.has[*n].contains(&number)) {
                    self.turn(self.rule.1, true);
                    self.change = Change::Paused(number, self.now + PAUSE);
                }
            }
            Change::Paused(number, _) if behind.is_empty() => {
                self.turn(number, false);
                self.committed += 1;
                self.change = Change::None;
            }
            Change::Paused(number, until) => {
                if self.now >= until {
                    self.turn(self.rule.1, false);
                    self.taken_back += 1;
                    self.change = Change::Offered(number);
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += 5 * MS;
        for n in 0..3 {
            let at = self.senders[n].now(self.now);
            if self.bad && self.dice.u32(..500) == 0 {
                let line = self.senders[n].line;
                self.senders[n].session.on_connection_lost(at, line);
            }
            if self.bad && self.dice.u32(..3_000) == 0 {
                let sender = &mut self.senders[n];
                sender.boot += 1;
                sender.session = session(
                    n,
                    sender.boot,
                    self.on_lease_loss,
                    sender.stored.clone(),
                    sender.last,
                );
                (sender.began, sender.admission, sender.line, sender.said) =
                    (self.now, AdmissionRequirement::Fenced, 0, 0);
                self.to_agent.retain(|w| w.1 != n);
                self.checks.retain(|c| c.1 != n);
            }
        }
        let due = |now, at: &Nanos| *at <= now;
        let (words, later) = std::mem::take(&mut self.to_keeper)
            .into_iter()
            .partition(|w| due(self.now, &w.0));
        self.to_keeper = later;
        let words: Vec<(Nanos, usize, u64, AgentToReplica)> = words;
        words
            .into_iter()
            .for_each(|(_, n, line, word)| self.keeper_hears(n, line, word));
        let (words, later) = std::mem::take(&mut self.to_agent)
            .into_iter()
            .partition(|w| due(self.now, &w.0));
        self.to_agent = later;
        let words: Vec<(Nanos, usize, u64, ReplicaToAgent)> = words;
        for (_, n, line, word) in words {
            let (mut out, now) = (Vec::new(), self.senders[n].now(self.now));
            self.senders[n]
                .session
                .on_message(now, line, word, &mut out);
            self.act(n, out);
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
            self.act(n, out);
        }
        for n in 0..3 {
            // A sender is occasionally suspended, and checks nothing during that time.
            if self.bad && self.dice.u8(..4) == 0 {
                continue;
            }
            let (mut out, now) = (Vec::new(), self.senders[n].now(self.now));
            self.senders[n].session.on_tick(now, &Nothing, &mut out);
            self.act(n, out);
        }
        self.keep();
        let taking: BTreeSet<u64> = self
            .senders
            .iter()
            .filter_map(|s| s.takes_on(self.now))
            .collect();
        assert!(
            taking.len() <= 1,
            "policies {taking:?} at once, rule {:?}",
            self.rule
        );
        let acked = self
            .live()
            .iter()
            .all(|n| self.sessions[*n].turn == self.rule.0);
        assert!(
            !(self.rule.2 && acked && !taking.is_empty()),
            "accepted while all are paused"
        );
    }
}

#[test]
fn over_faulty_connections_and_restarts_no_two_senders_accept_under_two_policies() {
    let (mut committed, mut taken_back, mut open) = (0, 0, 0);
    for seed in 0..200 {
        let mut world = World::new(seed, OnLeaseLoss::StopAccepting);
        for _ in 0..8_000 {
            world.step();
            open += world
                .senders
                .iter()
                .filter(|s| s.takes_on(world.now).is_some())
                .count();
        }
        world.bad = false;
        (0..1_500).for_each(|_| world.step());
        // All senders apply the record's policy once the connections are reliable.
        while world.rule.2 || world.change != Change::None {
            world.step();
        }
        (0..100).for_each(|_| world.step());
        let taking: Vec<_> = world
            .senders
            .iter()
            .map(|s| s.takes_on(world.now))
            .collect();
        assert!(
            world.rule.2 || taking == [Some(world.rule.1); 3],
            "seed {seed}: {taking:?}"
        );
        (committed, taken_back) = (committed + world.committed, taken_back + world.taken_back);
    }
    // The runs have to contain all of these cases.
    println!("{committed} committed, {taken_back} rolled back, open in {open} steps of senders");
    assert!(
        committed > 1_000 && taken_back > 300 && open > 1_000_000,
        "{committed} {taken_back} {open}"
    );
}

#[test]
fn senders_that_keep_the_last_policy_without_a_lease_do_diverge() {
    let breaks = |seed| {
        let played = std::panic::catch_unwind(|| {
            let mut world = World::new(seed, OnLeaseLoss::KeepLast);
            (0..8_000).for_each(|_| world.step());
        });
        played.is_err_and(|e| {
            e.downcast_ref::<String>()
                .is_some_and(|why| why.contains("at once"))
        })
    };
    assert!((0..20).any(breaks), "the checked failure never happens");
}

/// Returns an agent in a session that has received this rule, at 1 s of its clock.
fn in_session(
    on_lease_loss: OnLeaseLoss,
    stored: &[u64],
    rule: (u64, u64, bool),
) -> (SessionState, Vec<SessionEffect>) {
    let stored = stored.iter().map(|n| (*n, digest(*n))).collect();
    let (mut agent, mut out) = (session(0, 9, on_lease_loss, stored, 0), Vec::new());
    agent.on_tick(SEC, &Nothing, &mut out);
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

fn rules(out: &[SessionEffect]) -> Vec<u64> {
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
    let (mut agent, out) = in_session(OnLeaseLoss::StopAccepting, &[3], (4, 3, false));
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
    let mut hear = |turn, number, paused| {
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
        (requirements(&out), rules(&out))
    };
    assert_eq!(hear(4, 3, false), (vec![], vec![4]), "a duplicate");
    assert_eq!(
        hear(5, 3, true),
        (vec![AdmissionRequirement::Paused], vec![5])
    );
    assert_eq!(hear(4, 3, false), (vec![], vec![]), "an earlier turn");
    assert_eq!(
        hear(5, 3, false),
        (vec![], vec![5]),
        "a turn has a single rule"
    );
    // A policy that is not stored is not applied, and the reply is not sent before it is.
    assert_eq!(
        hear(6, 7, false),
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
    assert!(out.contains(&stored) && rules(&out) == [6]);
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
fn a_lapsed_lease_requires_a_new_session_and_rule() {
    for (on_lease_loss, after) in [
        (OnLeaseLoss::StopAccepting, AdmissionRequirement::Fenced),
        (OnLeaseLoss::KeepLast, open(3, None)),
    ] {
        let (mut agent, _) = in_session(on_lease_loss, &[3], (4, 3, true));
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
            (requirements(&out), rules(&out)),
            (vec![after], vec![]),
            "{on_lease_loss:?}"
        );
        out.clear();
        let now = late + 20 * MS;
        agent.on_tick(now, &Nothing, &mut out);
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
        assert!(rules(&out).is_empty(), "no rule was received yet");
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
        assert_eq!(rules(&out), [9]);
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
        agent.on_tick(SEC, &Nothing, &mut out);
        assert_eq!(requirements(&out), [expected]);
        let has = out.iter().find_map(|o| match o {
            SessionEffect::Send(AgentToReplica::OpenSession { stored, .. }) => Some(stored.clone()),
            _ => None,
        });
        assert_eq!(has, Some(Some(vec![(3, digest(3))])));
    }
}
