//! Model check of policy rollouts: random sequences of events, drawn from a seed, between an agreed
//! log, leaders of which one is deposed and continues, and three senders in two zones. The state
//! machines of a rollout are the production code; the log stands for the replicas. Sessions and
//! leases have a model of their own (`model_zones.rs`); here a sender's lease may expire by its own
//! clock at any time, and the record notes that only afterwards.
#![cfg(feature = "fleet")]

#[path = "common/printed.rs"]
mod printed;

use raildeal::coordination::messages::ReplicaToAgent;
use raildeal::coordination::policy_rollout::document::Document;
use raildeal::coordination::policy_rollout::plan::Plan;
use raildeal::coordination::policy_rollout::register::{Change, Step};
use raildeal::coordination::policy_rollout::rollout::RolloutController;
use raildeal::coordination::record::{Command, Record};
use stateright::{Checker, Model, Property, UniformChooser};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const MS: u64 = 1_000_000;
/// Time that a step advances the clock by, in milliseconds: longer than a pause.
const STEP: u64 = 500;
const ZONES: [&str; 3] = ["a", "a", "b"];

/// A fault that is injected to check that the model detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The leader changes the policy without confirmations from the senders.
    CommitsUnconfirmed,
    /// Changes do not advance the turn.
    SameTurn,
    /// Senders apply messages of earlier turns.
    AppliesEarlierTurns,
    /// The record has a sender as expired that still relies on its lease.
    ExpiresEarly,
    /// A sender that starts accepts messages before it has received what is in force.
    AcceptsUninformed,
    /// A sender applies a policy that it has not checked.
    AcceptsUnchecked,
}

#[derive(Clone, Debug)]
struct Leader {
    term: u64,
    roll: RolloutController,
    record: Record,
    proposed: Vec<Command>,
}

#[derive(Clone, Debug, Default)]
struct Sender {
    boot: u64,
    /// The term of the leader that it is connected to, and the number of the connection; the term
    /// is 0 for none.
    connection: (u64, u64),
    lease: bool,
    /// The policy that it has received since it obtained its lease: the number, and whether
    /// admission is paused.
    received: Option<(u64, bool)>,
    turn: u64,
    stored: BTreeSet<u64>,
}

#[derive(Clone, Debug)]
struct State {
    now: u64,
    log: Vec<Command>,
    leaders: Vec<Leader>,
    senders: [Sender; 3],
    /// Messages in flight to senders: the receiver, its connection, and the message.
    messages: Vec<(usize, (u64, u64), ReplicaToAgent)>,
    connections: u64,
    /// Number of times that each fault may still occur: elections, losses (and returns to a deposed
    /// leader), duplicates, expired leases, restarts, rejections.
    faults_left: [u8; 6],
    /// Policies that were in force somewhere.
    were_in_force: BTreeSet<u64>,
    violations: Vec<&'static str>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, to: &mut H) {
        printed::hash(self, to);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        printed::same(self, other)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    Advance,
    Commit,
    /// Another leader is elected; whether its log contains what the previous one proposed.
    Elect(bool),
    /// A message arrives. The first flag loses its response; the second keeps the message so that
    /// it arrives once more.
    Deliver(usize, bool, bool),
    Lose(usize),
    /// A sender rejects the policy that it is offered.
    Reject(usize),
    /// A sender opens a session with a leader.
    OpenSession(usize, usize),
    /// The lease of a sender expires by the sender's own clock.
    ExpireLease(usize),
    /// The leader proposes to record a sender as expired.
    RecordExpired(usize),
    Restart(usize),
}

struct Rollouts {
    fault: Fault,
    faults_left: [u8; 6],
    /// Whether two stages were changed one after the other and are rolled back. Otherwise one
    /// policy is proposed and rolled out until it is in force.
    back: bool,
    until: u64,
}

fn name(n: usize) -> String {
    format!("n{n}")
}

fn plan() -> Plan {
    let text =
        "watch_s = 0\noffer_s = 1\npause_ms = 250\n[[stage]]\nzones = ['a']\n[[stage]]\nzones = ['b']\n";
    Plan::parse(text).expect("a plan")
}

impl Rollouts {
    fn apply(&self, record: &mut Record, index: u64, command: &Command) {
        record.apply(index, command);
        if self.fault == Fault::SameTurn {
            let turn = record.policies.turn.min(3);
            record.policies.turn = turn;
            record
                .policies
                .zones
                .values_mut()
                .for_each(|r| r.turn = r.turn.min(turn));
        }
    }

    fn accepting(&self, s: &State, n: usize) -> Option<u64> {
        let sender = &s.senders[n];
        if !sender.lease {
            return None;
        }
        match sender.received {
            Some((number, false)) => {
                let has = number == 0
                    || sender.stored.contains(&number)
                    || self.fault == Fault::AcceptsUnchecked;
                has.then_some(number)
            }
            Some((_, true)) => None,
            None => (self.fault == Fault::AcceptsUninformed).then_some(0),
        }
    }

    /// Checks the invariants of every state.
    fn check_invariants(&self, s: &mut State) {
        let accepting: Vec<(usize, u64)> = (0..3)
            .filter_map(|n| Some((n, self.accepting(s, n)?)))
            .collect();
        let two = |(n, number): &(usize, u64)| {
            accepting
                .iter()
                .any(|(m, other)| ZONES[*n] == ZONES[*m] && number != other)
        };
        if accepting.iter().any(two) {
            s.violations.push("two policies in a zone");
        }
        if accepting
            .iter()
            .any(|(n, number)| *number != 0 && !s.senders[*n].stored.contains(number))
        {
            s.violations.push("a policy that was not checked");
        }
        if accepting
            .iter()
            .any(|(_, number)| *number != 0 && !s.were_in_force.contains(number))
        {
            s.violations.push("a policy that never was in force");
        }
    }

    /// Sends a sender the messages that a leader has for it.
    fn send_messages(&self, s: &mut State, at: usize, n: usize) {
        let (leader, connection) = (&mut s.leaders[at], s.senders[n].connection);
        if connection.0 != leader.term {
            return;
        }
        let (now, mut offers) = (s.now * MS, 10);
        let messages = &mut s.messages;
        leader.roll.announce(
            now,
            &name(n),
            ZONES[n],
            &leader.record,
            &mut offers,
            &mut |message| {
                // A message that is sent again while the first copy is in flight adds nothing.
                if !messages.contains(&(n, connection, message.clone())) {
                    messages.push((n, connection, message));
                }
            },
        );
    }

    fn propose(&self, s: &mut State, at: usize, change: Option<Change>) {
        let leads = at + 1 == s.leaders.len();
        let leader = &mut s.leaders[at];
        let base = leader.record.policies.turn;
        if let Some(change) = change.filter(|_| leads) {
            leader.proposed.push(Command::ChangePolicies {
                base,
                change: Box::new(change),
            });
        }
    }

    fn tick(&self, s: &mut State, at: usize) {
        let now = s.now * MS;
        let leader = &mut s.leaders[at];
        let mut change = leader.roll.tick(now, &leader.record);
        let paused = leader
            .record
            .policies
            .rollout
            .as_ref()
            .is_some_and(|r| r.step == Step::Paused);
        if self.fault == Fault::CommitsUnconfirmed && paused && leader.proposed.is_empty() {
            change = Some(Change::Commit);
        }
        self.propose(s, at, change);
        (0..3).for_each(|n| self.send_messages(s, at, n));
    }

    fn elect(&self, s: &mut State, term: u64) {
        let mut record = Record::default();
        for (index, command) in s.log.iter().enumerate() {
            self.apply(&mut record, index as u64 + 1, command);
        }
        let roll = RolloutController::new(s.now * MS, Some(s.now * MS));
        s.leaders.push(Leader {
            term,
            roll,
            record,
            proposed: Vec::new(),
        });
    }

    fn commit(&self, s: &mut State, command: Command) {
        s.log.push(command.clone());
        let (index, at, now) = (s.log.len() as u64, s.leaders.len() - 1, s.now * MS);
        let leader = &mut s.leaders[at];
        let (turn, zones) = (
            leader.record.policies.turn,
            leader.record.policies.zones.clone(),
        );
        self.apply(&mut leader.record, index, &command);
        let record = leader.record.clone();
        if record.policies.turn < turn {
            s.violations.push("a turn that decreased");
        }
        for zone in ["a", "b"] {
            let (was, is) = (
                zones.get(zone).copied().unwrap_or_default(),
                record.policies.register(zone),
            );
            if was.number == is.number {
                continue;
            }
            s.were_in_force.insert(is.number);
            let ended = matches!(&command, Command::ChangePolicies { change, .. } if matches!(**change, Change::End { .. }));
            let live = |n: usize| {
                record
                    .roster
                    .get(&name(n))
                    .is_some_and(|m| m.live && m.boot == s.senders[n].boot)
            };
            let here: Vec<usize> = (0..3).filter(|n| ZONES[*n] == zone).collect();
            if ended
                || here.iter().any(|n| {
                    self.accepting(s, *n)
                        .is_some_and(|number| number != is.number)
                })
            {
                s.violations.push("a change without all confirmations");
            }
            if here
                .iter()
                .any(|n| live(*n) && !s.senders[*n].stored.contains(&is.number))
            {
                s.violations
                    .push("a change before all senders had stored it");
            }
        }
        let leader = &mut s.leaders[at];
        match &command {
            Command::ChangePolicies { change, .. } => {
                leader.roll.on_change_applied(now, index, change, &record)
            }
            Command::AddSender { sender, boot, .. } => {
                let n = (0..3).find(|n| name(*n) == *sender).expect("a sender");
                // The sender waits for its session on this connection.
                if s.senders[n].boot == *boot && s.senders[n].connection.0 == s.leaders[at].term {
                    self.open_session(s, at, n);
                }
            }
            Command::ExpireSender { sender, .. } => {
                leader.roll.close_session(sender);
                let n = (0..3).find(|n| name(*n) == *sender).expect("a sender");
                if s.senders[n].connection.0 == leader.term {
                    s.senders[n].connection = (0, 0);
                }
            }
            _ => {}
        }
        (0..3).for_each(|n| self.send_messages(s, at, n));
    }

    /// Opens a session: the sender receives what is in force on its connection before anything
    /// else.
    fn open_session(&self, s: &mut State, at: usize, n: usize) {
        let leader = &mut s.leaders[at];
        let policies = &leader.record.policies;
        let has = s.senders[n]
            .stored
            .iter()
            .filter_map(|number| Some((*number, policies.digest(*number)?)));
        let stored: Vec<_> = has.collect();
        leader
            .roll
            .open_session(&name(n), s.senders[n].boot, Some(&stored));
        if !s.senders[n].lease {
            (s.senders[n].lease, s.senders[n].received) = (true, None);
        }
        self.send_messages(s, at, n);
    }

    /// Delivers a message to its sender, which responds unless the response is lost.
    fn deliver(
        &self,
        s: &mut State,
        n: usize,
        connection: (u64, u64),
        message: &ReplicaToAgent,
        lost: bool,
        refuses: bool,
    ) {
        let sender = &mut s.senders[n];
        if sender.connection != connection {
            return;
        }
        let at = s.leaders.iter().position(|l| l.term == connection.0);
        let mut rules = None;
        match message {
            ReplicaToAgent::OfferPolicy { number, .. } => {
                if !refuses {
                    sender.stored.insert(*number);
                }
                if let Some(at) = at.filter(|_| !lost) {
                    let leader = &mut s.leaders[at];
                    let why = refuses.then_some("no");
                    leader
                        .roll
                        .record_check(&name(n), *number, why, &leader.record);
                }
                let (received, turn) = (sender.received, sender.turn);
                rules = received
                    .filter(|(now, paused)| !paused && now == number && !refuses)
                    .map(|_| turn);
            }
            ReplicaToAgent::ApplyPolicy {
                turn,
                number,
                paused,
            } => {
                if *turn < sender.turn && self.fault != Fault::AppliesEarlierTurns {
                    return;
                }
                if sender.lease {
                    (sender.turn, sender.received) = (*turn, Some((*number, *paused)));
                    let has = *paused || *number == 0 || sender.stored.contains(number);
                    rules = has.then_some(*turn);
                }
            }
            _ => {}
        }
        if let (Some(at), Some(turn)) = (at.filter(|_| !lost), rules) {
            let leader = &mut s.leaders[at];
            let change = leader
                .roll
                .record_applied(s.now * MS, &name(n), turn, &leader.record);
            self.propose(s, at, change);
        }
    }
}

impl Model for Rollouts {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut log = Vec::new();
        for (n, zone) in ZONES.iter().enumerate() {
            log.push(Command::AddSender {
                sender: name(n),
                boot: 1,
                zone: zone.to_string(),
            });
        }
        let digest = Document::parse("limits.slots = 9")
            .expect("a policy")
            .digest();
        let mut changes = vec![Change::Propose {
            text: "limits.slots = 9".into(),
            digest,
            plan: plan(),
        }];
        if self.back {
            let stage = [Change::Pause, Change::Commit, Change::Next];
            changes.extend(stage.iter().cloned().chain(stage.iter().cloned()));
            changes.push(Change::Back {
                own: Document::default().digest(),
            });
        }
        let policy = |(turn, change)| Command::ChangePolicies {
            base: turn as u64,
            change: Box::new(change),
        };
        log.extend(changes.into_iter().enumerate().map(policy));
        let number = u64::from(self.back);
        let sender = |term: u64, n: u64| Sender {
            boot: 1,
            connection: (term, n),
            lease: true,
            received: Some((number, false)),
            turn: if self.back { 7 } else { 0 },
            stored: (1..=number).collect(),
        };
        let mut s = State {
            now: 10_000,
            log,
            leaders: Vec::new(),
            senders: [sender(1, 0), sender(1, 1), sender(1, 2)],
            messages: Vec::new(),
            connections: 3,
            faults_left: self.faults_left,
            were_in_force: (1..=number).collect(),
            violations: Vec::new(),
        };
        self.elect(&mut s, 1);
        (0..3).for_each(|n| self.open_session(&mut s, 0, n));
        // The first messages arrive: the policy is offered, and the register is known.
        for _ in 0..20 {
            let Some((n, connection, message)) = s
                .messages
                .first()
                .cloned()
                .filter(|_| self.faults_left[5] == 0)
            else {
                break;
            };
            s.messages.remove(0);
            self.deliver(&mut s, n, connection, &message, false, false);
        }
        vec![s]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        let last = s.leaders.len() - 1;
        if s.now < 10_000 + self.until {
            actions.push(Action::Advance);
        }
        if !s.leaders[last].proposed.is_empty() {
            actions.push(Action::Commit);
        }
        if s.faults_left[0] > 0 {
            actions.push(Action::Elect(true));
            if !s.leaders[last].proposed.is_empty() {
                actions.push(Action::Elect(false));
            }
        }
        for at in 0..s.messages.len() {
            // Messages on one connection keep their order.
            if s.messages[..at].iter().any(|w| w.1 == s.messages[at].1) {
                continue;
            }
            actions.push(Action::Deliver(at, false, false));
            if s.faults_left[1] > 0 {
                actions.extend([Action::Deliver(at, true, false), Action::Lose(at)]);
            }
            if s.faults_left[2] > 0 {
                actions.push(Action::Deliver(at, false, true));
            }
            if s.faults_left[5] > 0
                && matches!(s.messages[at].2, ReplicaToAgent::OfferPolicy { .. })
            {
                actions.push(Action::Reject(at));
            }
        }
        for n in 0..3 {
            let sender = &s.senders[n];
            for (at, leader) in s.leaders.iter().enumerate() {
                // A deposed leader renews no expired lease and opens no session.
                let back = sender.connection.0 > leader.term && s.faults_left[1] > 0;
                if (sender.connection.0 < leader.term || back) && (at == last || sender.lease) {
                    actions.push(Action::OpenSession(n, at));
                }
            }
            if s.faults_left[3] > 0 && sender.lease {
                actions.push(Action::ExpireLease(n));
            }
            let live = s.leaders[last]
                .record
                .roster
                .get(&name(n))
                .is_some_and(|m| m.live && m.boot <= sender.boot);
            let early = self.fault == Fault::ExpiresEarly && s.faults_left[3] > 0;
            let lapsed = !sender.lease || early;
            if live
                && lapsed
                && !s.leaders[last]
                    .proposed
                    .iter()
                    .any(|c| matches!(c, Command::ExpireSender { .. }))
            {
                actions.push(Action::RecordExpired(n));
            }
            if s.faults_left[4] > 0 {
                actions.push(Action::Restart(n));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        let leads = s.leaders.len() - 1;
        match action {
            Action::Advance => {
                s.now += STEP;
                (0..s.leaders.len()).for_each(|at| self.tick(&mut s, at));
            }
            Action::Commit => {
                let command = s.leaders[leads].proposed.remove(0);
                self.commit(&mut s, command);
            }
            Action::Elect(inherits) => {
                s.faults_left[0] -= 1;
                let left = std::mem::take(&mut s.leaders[leads].proposed);
                if inherits {
                    // A leader applies all that it inherits before it sends anything; the deposed
                    // one receives none of it.
                    let deposed = s.leaders[leads].clone();
                    let messages = s.messages.clone();
                    left.into_iter()
                        .for_each(|command| self.commit(&mut s, command));
                    (s.leaders[leads], s.messages) = (deposed, messages);
                    s.leaders[leads].proposed.clear();
                }
                let term = s.leaders[leads].term + 1;
                self.elect(&mut s, term);
            }
            Action::Deliver(at, lost, doubled) => {
                let (n, connection, message) = s.messages[at].clone();
                if doubled {
                    s.faults_left[2] -= 1;
                } else {
                    s.messages.remove(at);
                }
                s.faults_left[1] -= u8::from(lost);
                self.deliver(&mut s, n, connection, &message, lost, false);
            }
            Action::Lose(at) => {
                s.faults_left[1] -= 1;
                s.messages.remove(at);
            }
            Action::Reject(at) => {
                s.faults_left[5] -= 1;
                let (n, connection, message) = s.messages.remove(at);
                self.deliver(&mut s, n, connection, &message, false, true);
            }
            Action::OpenSession(n, at) => {
                s.faults_left[1] -= u8::from(s.senders[n].connection.0 > s.leaders[at].term);
                s.connections += 1;
                let term = s.leaders[at].term;
                s.senders[n].connection = (term, s.connections);
                let boot = s.senders[n].boot;
                let live = s.leaders[at]
                    .record
                    .roster
                    .get(&name(n))
                    .is_some_and(|m| m.live && m.boot == boot);
                let ends = |c: &Command| matches!(c, Command::ExpireSender { sender, .. } if *sender == name(n));
                if live && !s.leaders[at].proposed.iter().any(ends) {
                    self.open_session(&mut s, at, n);
                } else {
                    let (sender, zone) = (name(n), ZONES[n].to_string());
                    s.leaders[at]
                        .proposed
                        .push(Command::AddSender { sender, boot, zone });
                }
            }
            Action::ExpireLease(n) => {
                s.faults_left[3] -= 1;
                let sender = &mut s.senders[n];
                (sender.lease, sender.received, sender.connection) = (false, None, (0, 0));
            }
            Action::RecordExpired(n) => {
                s.faults_left[3] = s.faults_left[3].saturating_sub(u8::from(s.senders[n].lease));
                let boot = s.leaders[leads].record.roster[&name(n)].boot;
                s.leaders[leads].proposed.push(Command::ExpireSender {
                    sender: name(n),
                    boot,
                });
            }
            Action::Restart(n) => {
                s.faults_left[4] -= 1;
                let (boot, stored) = (
                    s.senders[n].boot + 1,
                    std::mem::take(&mut s.senders[n].stored),
                );
                s.senders[n] = Sender {
                    boot,
                    stored,
                    ..Sender::default()
                };
            }
        }
        self.check_invariants(&mut s);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::<Self>::always("no invariant is violated", |_, s: &State| {
                s.violations.is_empty()
            }),
            Property::<Self>::sometimes("a zone changes its policy", |m: &Rollouts, s: &State| {
                s.were_in_force.len() > usize::from(m.back)
            }),
        ];
        fn taken(s: &State, what: fn(&Change) -> bool) -> bool {
            s.log
                .iter()
                .any(|c| matches!(c, Command::ChangePolicies { change, .. } if what(change)))
        }
        if self.back {
            properties.push(Property::<Self>::sometimes(
                "the rollback completes",
                |_, s: &State| s.leaders.iter().any(|l| l.record.policies.past.len() > 1),
            ));
        } else if self.faults_left[5] > 0 {
            properties.push(Property::<Self>::sometimes(
                "a rejection ends the rollout",
                |_, s: &State| taken(s, |c| matches!(c, Change::End { .. })),
            ));
        } else {
            properties.push(Property::<Self>::sometimes(
                "a pause is revoked",
                |_, s: &State| taken(s, |c| matches!(c, Change::TakeBack { .. })),
            ));
        }
        properties
    }

    fn within_boundary(&self, s: &State) -> bool {
        s.messages.len() <= 8 && s.leaders.iter().all(|l| l.proposed.len() <= 3)
    }
}

/// A policy is put in force in one zone, with an election, a lost message or response, a duplicate,
/// and either an expired lease or a restart.
fn change(fault: Fault, lapses: u8, restarts: u8) -> Rollouts {
    Rollouts {
        fault,
        faults_left: [1, 1, 1, lapses, restarts, 0],
        back: false,
        until: 8 * STEP,
    }
}

fn refusal(fault: Fault) -> Rollouts {
    Rollouts {
        fault,
        faults_left: [1, 0, 1, 0, 0, 1],
        back: false,
        until: 2 * STEP,
    }
}

fn back(fault: Fault, restarts: u8) -> Rollouts {
    Rollouts {
        fault,
        faults_left: [1 - restarts, 0, 1, 0, restarts, 0],
        back: true,
        until: 12 * STEP,
    }
}

fn check(what: &str, model: Rollouts, max_states: usize) -> Option<String> {
    let (fault, begun) = (model.fault, std::time::Instant::now());
    // There are far more sequences than can be explored, and faults appear late in them: so random
    // walks are drawn from a seed, each to its end.
    let checker = model
        .checker()
        .target_state_count(max_states)
        .spawn_simulation(7, UniformChooser)
        .join();
    let found = checker.discovery("no invariant is violated");
    println!(
        "{what}, fault {fault:?}: {} states, depth {}, {:?}",
        checker.state_count(),
        checker.max_depth(),
        begun.elapsed()
    );
    if fault == Fault::None {
        for reached in checker.model().properties().iter().skip(1) {
            assert!(
                checker.discovery(reached.name).is_some(),
                "never: {}",
                reached.name
            );
        }
    }
    let path = found?;
    let last = path.last_state().violations.clone();
    println!("  found: {last:?} by {:?}", path.into_actions());
    Some(format!("{last:?}"))
}

/// Most states that are explored in CI.
const MAX_STATES: usize = 30_000;

fn max_states() -> usize {
    std::env::var("MODEL_STATES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(MAX_STATES)
}

#[test]
fn a_zone_changes_only_when_all_live_senders_confirmed() {
    assert_eq!(
        check("change, lapses", change(Fault::None, 1, 0), max_states()),
        None
    );
    for (fault, what) in [
        (Fault::CommitsUnconfirmed, "a change without"),
        (Fault::ExpiresEarly, "a change without"),
        (Fault::SameTurn, "a change without"),
        (Fault::AppliesEarlierTurns, "two policies"),
    ] {
        let found = check("change, lapses", change(fault, 1, 0), max_states());
        assert!(
            found.as_ref().is_some_and(|f| f.contains(what)),
            "{fault:?}: {found:?}"
        );
    }
}

#[test]
fn a_restarted_sender_accepts_nothing_before_it_received_its_policy() {
    assert_eq!(
        check("change, restarts", change(Fault::None, 0, 1), max_states()),
        None
    );
    let found = check(
        "back, restarts",
        back(Fault::AcceptsUninformed, 1),
        max_states(),
    );
    assert!(found.is_some(), "{found:?}");
}

#[test]
fn a_rejected_policy_changes_nothing_in_any_zone() {
    assert_eq!(check("refusal", refusal(Fault::None), max_states()), None);
    // A sender that expired before it had checked the policy joins again where it is in force.
    let unchecked = Rollouts {
        faults_left: [0, 0, 0, 1, 0, 1],
        until: 6 * STEP,
        ..refusal(Fault::AcceptsUnchecked)
    };
    let found = check("refusal, lapses", unchecked, max_states());
    assert!(
        found.as_ref().is_some_and(|f| f.contains("not checked")),
        "{found:?}"
    );
}

#[test]
fn stages_roll_back_one_by_one() {
    assert_eq!(check("back", back(Fault::None, 0), max_states()), None);
}
