//! Three senders' agents and a record whose words are lost, doubled, late and out of order: never
//! two policies at once.
#![cfg(feature = "fleet")]

mod common;

use common::{MS, SEC};
use raildeal::agent::register::{Kind, Register, Without};
use raildeal::agent::session::{Entrance, Machine, Needs, Out, Terms};
use raildeal::coordination::messages::{AgentToReplica, Digest, ReplicaToAgent};
use raildeal::Nanos;
use std::collections::{BTreeMap, BTreeSet};

const LEASE_MS: u32 = 1_500;
/// A pause is taken back after this time.
const PAUSE: Nanos = 400 * MS;

struct Nothing;

impl Needs for Nothing {
    fn waiting(&self, _: u16) -> u32 {
        0
    }

    fn left(&self, _: &str, _: u16) -> u32 {
        0
    }
}

fn machine(
    n: usize,
    boot: u64,
    without: Without,
    stored: BTreeMap<u64, Digest>,
    last: u64,
) -> Machine {
    let (sender, zone, keepers) = (format!("n{n}"), "a".to_string(), vec![1]);
    let terms = Terms {
        sender,
        boot,
        zone,
        keepers,
        report: 100 * MS,
        warm_after: SEC,
    };
    Machine::new(terms, boot, 0).following(Register::new(Kind::Policy, without, stored, last))
}

fn digest(number: u64) -> Digest {
    [number as u8; 32]
}

fn open(number: u64, until: Option<Nanos>) -> Entrance {
    Entrance::Open {
        policy: Some(number),
        table: None,
        until,
    }
}

/// A sender, by its own clock.
struct Sender {
    machine: Machine,
    boot: u64,
    /// Its clock began at this true time, and runs so many parts in 10,000 wrong.
    began: Nanos,
    off: i64,
    line: u64,
    doorway: Entrance,
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
        match self.doorway {
            Entrance::Open {
                policy: Some(number),
                until,
                ..
            } if until.is_none_or(|until| self.now(now) < until) => Some(number),
            _ => None,
        }
    }
}

/// What the keepers hold of a sender, in true time.
#[derive(Clone, Copy, Default)]
struct Session {
    boot: u64,
    line: u64,
    until: Nanos,
    turn: u64,
}

/// A change that is under way.
#[derive(Clone, Copy, PartialEq)]
enum Change {
    None,
    Offered(u64),
    Paused(u64, Nanos),
}

struct World {
    dice: fastrand::Rng,
    without: Without,
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
    fn new(seed: u64, without: Without) -> World {
        let mut dice = fastrand::Rng::with_seed(seed);
        let senders = (0..3).map(|n| {
            let boot = dice.u64(1..);
            Sender {
                machine: machine(n, boot, without, BTreeMap::new(), 0),
                boot,
                began: SEC,
                off: [-99, 0, 99][n],
                line: 0,
                doorway: Entrance::Fenced,
                stored: BTreeMap::new(),
                last: 0,
                said: 0,
            }
        });
        World {
            senders: senders.collect(),
            without,
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

    fn act(&mut self, n: usize, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Connect { line, .. } => self.senders[n].line = line,
                Out::HangUp => self.senders[n].line = 0,
                Out::Say(word) => {
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
                Out::Check { number, digest, .. } => {
                    let at = self.now + self.dice.u64(1..300) * MS;
                    self.checks.push((at, n, number, digest));
                }
                Out::Admit(doorway) => {
                    let sender = &mut self.senders[n];
                    sender.doorway = doorway;
                    if let Entrance::Open {
                        policy: Some(number),
                        ..
                    } = doorway
                    {
                        assert!(
                            number == 0 || sender.stored.contains_key(&number),
                            "not written down"
                        );
                        sender.last = number;
                    }
                }
                Out::Stand(_) | Out::Lend { .. } | Out::Note(_) => {}
            }
        }
    }

    /// The longest that a lease of this sender may be believed, from now on.
    fn counted(&self) -> Nanos {
        self.now + Nanos::from(LEASE_MS) * MS * 102 / 101
    }

    fn keeper_hears(&mut self, n: usize, line: u64, word: AgentToReplica) {
        let live = self.sessions[n].until > self.now;
        let own = live && self.sessions[n].line == line;
        match word {
            AgentToReplica::OpenSession { boot, stored, .. } => {
                // One that was said long ago by a process before this one, or on a connection
                // before this one, is shut out.
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
                    .expect("it follows")
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

    /// The record goes on: with the word of all that live, or back.
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
                self.senders[n].machine.lost(at, line);
            }
            if self.bad && self.dice.u32(..3_000) == 0 {
                let sender = &mut self.senders[n];
                sender.boot += 1;
                sender.machine = machine(
                    n,
                    sender.boot,
                    self.without,
                    sender.stored.clone(),
                    sender.last,
                );
                (sender.began, sender.doorway, sender.line, sender.said) =
                    (self.now, Entrance::Fenced, 0, 0);
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
            self.senders[n].machine.hear(now, line, word, &mut out);
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
            self.senders[n]
                .machine
                .checked(now, Kind::Policy, number, Ok(()), &mut out);
            self.act(n, out);
        }
        for n in 0..3 {
            // One that stands still now and then looks at nothing meanwhile.
            if self.bad && self.dice.u8(..4) == 0 {
                continue;
            }
            let (mut out, now) = (Vec::new(), self.senders[n].now(self.now));
            self.senders[n].machine.tick(now, &Nothing, &mut out);
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
            "taken on while all are paused"
        );
    }
}

#[test]
fn over_bad_lines_and_restarts_no_two_senders_ever_take_on_under_two_policies() {
    let (mut committed, mut taken_back, mut open) = (0, 0, 0);
    for seed in 0..200 {
        let mut world = World::new(seed, Without::Hold);
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
        // All come to the record's policy once the lines are good.
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
    // The histories have all of it in them.
    println!("{committed} committed, {taken_back} taken back, open in {open} steps of senders");
    assert!(
        committed > 1_000 && taken_back > 300 && open > 1_000_000,
        "{committed} {taken_back} {open}"
    );
}

#[test]
fn senders_that_give_the_promise_up_do_break_it() {
    let breaks = |seed| {
        let played = std::panic::catch_unwind(|| {
            let mut world = World::new(seed, Without::Last);
            (0..8_000).for_each(|_| world.step());
        });
        played.is_err_and(|e| {
            e.downcast_ref::<String>()
                .is_some_and(|why| why.contains("at once"))
        })
    };
    assert!((0..20).any(breaks), "what is checked for never happens");
}

/// An agent in a session that has heard this rule, at 1 s by its clock.
fn in_session(without: Without, stored: &[u64], rule: (u64, u64, bool)) -> (Machine, Vec<Out>) {
    let stored = stored.iter().map(|n| (*n, digest(*n))).collect();
    let (mut agent, mut out) = (machine(0, 9, without, stored, 0), Vec::new());
    agent.tick(SEC, &Nothing, &mut out);
    let (turn, number, paused) = rule;
    agent.hear(
        SEC,
        1,
        ReplicaToAgent::ApplyPolicy {
            turn,
            number,
            paused,
        },
        &mut out,
    );
    agent.hear(
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

fn doorways(out: &[Out]) -> Vec<Entrance> {
    out.iter()
        .filter_map(|o| {
            if let Out::Admit(d) = o {
                Some(*d)
            } else {
                None
            }
        })
        .collect()
}

fn rules(out: &[Out]) -> Vec<u64> {
    let turn = |o: &Out| {
        if let Out::Say(AgentToReplica::PolicyApplied { turn }) = o {
            Some(*turn)
        } else {
            None
        }
    };
    out.iter().filter_map(turn).collect()
}

#[test]
fn a_sender_goes_by_the_highest_turn_says_so_after_it_is_so_and_answers_doubled_words() {
    let until = Some(SEC + Nanos::from(LEASE_MS) * MS * 98 / 100);
    let (mut agent, out) = in_session(Without::Hold, &[3], (4, 3, false));
    assert_eq!(doorways(&out), [Entrance::Fenced, open(3, until)]);
    let at = |wanted: fn(&Out) -> bool| out.iter().position(wanted).expect("there");
    let stands = at(|o| matches!(o, Out::Admit(Entrance::Open { .. })));
    assert!(stands < at(|o| matches!(o, Out::Say(AgentToReplica::PolicyApplied { turn: 4 }))));
    let mut hear = |turn, number, paused| {
        let mut out = Vec::new();
        agent.hear(
            SEC + MS,
            1,
            ReplicaToAgent::ApplyPolicy {
                turn,
                number,
                paused,
            },
            &mut out,
        );
        (doorways(&out), rules(&out))
    };
    assert_eq!(hear(4, 3, false), (vec![], vec![4]), "doubled");
    assert_eq!(hear(5, 3, true), (vec![Entrance::Paused], vec![5]));
    assert_eq!(hear(4, 3, false), (vec![], vec![]), "of before");
    assert_eq!(
        hear(5, 3, false),
        (vec![], vec![5]),
        "one turn has one meaning"
    );
    // A policy that is not written down is not gone by, and no word is given before it is.
    assert_eq!(hear(6, 7, false), (vec![Entrance::Fenced], vec![]));
    let mut out = Vec::new();
    let offer = ReplicaToAgent::OfferPolicy {
        number: 7,
        digest: digest(7),
        text: "x".into(),
    };
    agent.hear(SEC + MS, 1, offer.clone(), &mut out);
    agent.hear(SEC + MS, 1, offer.clone(), &mut out);
    assert_eq!(out.len(), 1, "checked once: {out:?}");
    agent.checked(SEC + MS, Kind::Policy, 7, Ok(()), &mut out);
    let stored = Out::Say(AgentToReplica::PolicyChecked {
        number: 7,
        refused: None,
    });
    assert!(out.contains(&stored) && rules(&out) == [6]);
    assert_eq!(doorways(&out), [open(7, until)]);
    out.clear();
    agent.hear(SEC + MS, 1, offer, &mut out);
    assert_eq!(out, [stored], "written down already");
    let offer = ReplicaToAgent::OfferPolicy {
        number: 8,
        digest: digest(8),
        text: "x".into(),
    };
    agent.hear(SEC + MS, 1, offer, &mut out);
    out.clear();
    agent.checked(
        SEC + MS,
        Kind::Policy,
        8,
        Err("line 3: no".into()),
        &mut out,
    );
    assert!(out.contains(&Out::Say(AgentToReplica::PolicyChecked {
        number: 8,
        refused: Some("line 3: no".into())
    })));
}

#[test]
fn a_lease_that_lapsed_takes_another_session_and_word() {
    for (without, after) in [
        (Without::Hold, Entrance::Fenced),
        (Without::Last, open(3, None)),
    ] {
        let (mut agent, _) = in_session(without, &[3], (4, 3, true));
        let mut out = Vec::new();
        agent.hear(
            SEC + MS,
            1,
            ReplicaToAgent::ApplyPolicy {
                turn: 5,
                number: 3,
                paused: false,
            },
            &mut out,
        );
        agent.hear(
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
        // What comes on that connection after the lapse counts for nothing, though it was said
        // before.
        let late = agent.next().max(SEC + 2 * SEC);
        agent.hear(
            late,
            1,
            ReplicaToAgent::ApplyPolicy {
                turn: 7,
                number: 3,
                paused: false,
            },
            &mut out,
        );
        agent.hear(
            late,
            1,
            ReplicaToAgent::LeaseRenewed {
                report: 1,
                lease_ms: 60_000,
            },
            &mut out,
        );
        assert!(out.contains(&Out::HangUp), "{out:?}");
        assert_eq!(
            (doorways(&out), rules(&out)),
            (vec![after], vec![]),
            "{without:?}"
        );
        out.clear();
        let now = late + 20 * MS;
        agent.tick(now, &Nothing, &mut out);
        assert!(
            out.iter()
                .any(|o| matches!(o, Out::Connect { line: 2, .. })),
            "{out:?}"
        );
        out.clear();
        agent.hear(
            now,
            2,
            ReplicaToAgent::LeaseRenewed {
                report: 0,
                lease_ms: LEASE_MS,
            },
            &mut out,
        );
        assert!(rules(&out).is_empty(), "not heard yet");
        agent.hear(
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
fn a_sender_that_starts_says_what_it_has_and_goes_by_its_setting() {
    let stored: BTreeMap<u64, Digest> = [(3, digest(3))].into();
    for (without, last, stands) in [
        (Without::Hold, 3, Entrance::Fenced),
        (Without::Last, 3, open(3, None)),
        (Without::Last, 4, open(0, None)),
    ] {
        let (mut agent, mut out) = (machine(0, 9, without, stored.clone(), last), Vec::new());
        agent.tick(SEC, &Nothing, &mut out);
        assert_eq!(doorways(&out), [stands]);
        let has = out.iter().find_map(|o| match o {
            Out::Say(AgentToReplica::OpenSession { stored, .. }) => Some(stored.clone()),
            _ => None,
        });
        assert_eq!(has, Some(Some(vec![(3, digest(3))])));
    }
}
