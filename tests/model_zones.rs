//! Model check of the unmodified [`LeaderDuties`] and [`Record`]: all orders of events between an
//! agreed log, leaders that are deposed, paused and resumed, and three senders. The log stands for
//! the Raft group: a leader's proposal is committed only while its term is the latest one, or if
//! the next leader inherits it.
#![cfg(feature = "fleet")]

#[path = "common/printed.rs"]
mod printed;

use raildeal::coordination::leader::{Effect, LeaderDuties, LeaderRules};
use raildeal::coordination::messages::{
    AgentToReplica, AttemptLeaseRequest, CallCounts, ListedZoneCapacity, ReplicaToAgent,
    ZoneCallCounts,
};
use raildeal::coordination::record::{Command, Phase, Record};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Nanoseconds in a millisecond.
const MS: u64 = 1_000_000;
/// Milliseconds by which one action advances the time.
const STEP_MS: u64 = 400;

/// An injected fault that the model has to detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A new leader does not wait until calls granted by earlier leaders have begun.
    SkipsInitialWait,
    /// The clock of a paused leader stops.
    ClockStops,
    /// Orders are applied whatever epoch they were based on.
    IgnoresBase,
    /// The end of a session ends that of any process of the sender.
    IgnoresBoot,
    /// An order does not increase the epoch.
    KeepsEpoch,
}

#[derive(Clone, Debug)]
struct Leader {
    term: u64,
    duties: LeaderDuties,
    record: Record,
    applied: usize,
    proposed: Vec<Command>,
    is_paused: bool,
    /// Milliseconds for which it was paused.
    paused_ms: u64,
    /// Time of the last report that it received, in milliseconds.
    last_report_ms: u64,
}

#[derive(Clone, Debug)]
struct Granted {
    term: u64,
    to: u64,
    calls: u32,
}

#[derive(Clone, Debug)]
struct State {
    now: u64,
    log: Vec<Command>,
    leaders: Vec<Leader>,
    granted: Vec<Granted>,
    reports: [u64; 3],
    boots: [u64; 3],
    elections: u8,
    /// Time of the last election, in milliseconds.
    elected_at_ms: u64,
    pauses: u8,
    failure_reports: u8,
    session_ends: u8,
    /// Violated invariants.
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

#[derive(Clone, Debug, PartialEq)]
enum Action {
    AdvanceTime,
    Commit,
    Pause(usize),
    Resume(usize),
    /// Another leader is elected; the flag says whether it inherits the last one's proposals.
    Elect(bool),
    /// A sender reports to this leader; the report arrives twice if the flag is set.
    Report(usize, usize, bool),
    /// Three senders report to this leader that calls to a zone fail.
    ReportFailures(usize, usize),
    /// The third sender restarts and requests a session from this leader.
    Restart(usize),
    /// The third sender's old process closes its session with this leader.
    CloseOldSession(usize),
}

struct LeaderModel {
    fault: Fault,
    until: u64,
    elections: u8,
    pauses: u8,
    failure_reports: u8,
    session_ends: u8,
    returning: bool,
}

fn rules() -> LeaderRules {
    let mut rules = LeaderRules::default();
    let z = &mut rules.zones;
    (
        z.initial_capacity_share,
        z.warmup_ms,
        z.overload_factor,
        z.overload_window_ms,
    ) = (0.5, 60_000, 1.0, 1_000);
    (z.max_evacuated_share, z.max_evacuated_zones) = (0.5, 2);
    // Short, as the model's steps are: a new leader waits for this time.
    z.grant_validity_ms = 500;
    rules
}

/// Returns lists in which only zones 0 and 1 have destination 1, and only zones 2 and 3 have
/// destination 2.
fn listed() -> Vec<ListedZoneCapacity> {
    (0..4)
        .map(|z| ListedZoneCapacity {
            zone: format!("z{z}"),
            dest: 1 + z / 2,
            endpoints: 1,
            calls_per_second: RATE,
        })
        .collect()
}

/// Listed calls per second of each zone.
const RATE: f32 = 16.0;

impl LeaderModel {
    fn new_leader(&self, s: &State, term: u64, record: Record, applied: usize) -> Leader {
        let begun = if self.fault == Fault::SkipsInitialWait {
            s.now.saturating_sub(5_000)
        } else {
            s.now
        };
        let duties = LeaderDuties::new(rules(), term, (begun + 10_000) * MS, &record);
        let mut leader = Leader {
            term,
            duties,
            record,
            applied,
            proposed: Vec::new(),
            is_paused: false,
            paused_ms: 0,
            last_report_ms: 0,
        };
        for n in 0..3u64 {
            let (sender, boot, zone) = (format!("n{n}"), s.boots[n as usize], format!("o{n}"));
            let open = AgentToReplica::OpenSession {
                sender,
                boot,
                zone,
                record_version: 1,
                stored: None,
            };
            let report = AgentToReplica::Report {
                report: s.reports[n as usize],
                record_version: 1,
                call_counts: Vec::new(),
                listed: Some(listed()),
                lease_requests: Vec::new(),
                outcomes: Vec::new(),
            };
            let mut out = Vec::new();
            for message in [open, report] {
                leader.duties.on_agent_message(
                    (s.now + 10_000) * MS,
                    n,
                    &message,
                    &leader.record,
                    &mut out,
                );
            }
        }
        leader
    }

    fn clock(&self, s: &State, at: usize) -> u64 {
        let paused_ms = if self.fault == Fault::ClockStops {
            s.leaders[at].paused_ms
        } else {
            0
        };
        (s.now + 10_000 - paused_ms) * MS
    }

    fn handle_effects(&self, s: &mut State, at: usize, out: Vec<Effect>) {
        let term = s.leaders[at].term;
        for o in out {
            match o {
                Effect::Propose(command) => {
                    // Heartbeats are left out: they only advance the record's clock, and the model
                    // contains nothing that depends on it. A proposal of a deposed leader is never
                    // committed.
                    let is_latest = s.leaders.iter().all(|l| l.term <= term);
                    if is_latest
                        && !matches!(command, Command::AdvanceClock { .. })
                        && s.leaders[at].proposed.len() < 3
                    {
                        s.leaders[at].proposed.push(command);
                    }
                }
                Effect::Send(_, ReplicaToAgent::GrantAttempts(g)) => {
                    let (from, to) = (s.now, s.now + u64::from(g.within_ms));
                    if s.granted.iter().any(|old| old.term < term && old.to > from) {
                        s.violations
                            .push("granted while an earlier term's grant is valid");
                    }
                    if s.granted.iter().any(|old| old.term > term) {
                        s.violations
                            .push("granted by a deposed leader after its successor granted");
                    }
                    s.granted.push(Granted {
                        term,
                        to,
                        calls: g.attempts,
                    });
                    // All calls that may begin within one window could arrive at once.
                    let long = u64::from(rules().zones.overload_window_ms);
                    let could = s.granted.iter().filter(|g| g.to + long > from);
                    let calls: u32 = could.map(|g| g.calls).sum();
                    let n = f64::from(RATE) * 0.5 * long as f64 / 1e3;
                    let roots = if n < 30.0 { 3.0 } else { 2.0 };
                    if f64::from(calls) > n + roots * n.sqrt() + roots {
                        s.violations.push("more calls than the budget of a window");
                    }
                }
                _ => {}
            }
        }
    }

    fn apply(&self, record: &mut Record, index: u64, command: &Command) {
        let mut command = command.clone();
        match (&mut command, self.fault) {
            (Command::SetZonePhase { base, .. }, Fault::IgnoresBase) => *base = record.epoch,
            (Command::ExpireSender { sender, boot }, Fault::IgnoresBoot) => {
                *boot = record.roster.get(sender).map_or(*boot, |m| m.boot);
            }
            _ => {}
        }
        record.apply(index, &command);
        if self.fault == Fault::KeepsEpoch {
            record.epoch = record.epoch.min(1);
            record
                .zones
                .values_mut()
                .for_each(|z| z.epoch = z.epoch.min(1));
        }
    }

    /// Passes all committed commands to a leader.
    fn catch_up(&self, s: &mut State, at: usize) {
        while s.leaders[at].applied < s.log.len() {
            let (now, index) = (self.clock(s, at), s.leaders[at].applied);
            let command = s.log[index].clone();
            let leader = &mut s.leaders[at];
            let before: BTreeMap<String, u64> = leader
                .record
                .zones
                .iter()
                .map(|(n, z)| (n.clone(), z.epoch))
                .collect();
            let boots: Vec<(String, u64)> = leader
                .record
                .roster
                .iter()
                .filter(|(_, m)| m.live)
                .map(|(n, m)| (n.clone(), m.boot))
                .collect();
            let (epoch, changed) = (leader.record.epoch, leader.record.changed);
            self.apply(&mut leader.record, index as u64 + 1, &command);
            leader.applied += 1;
            let (after, mut out) = (leader.record.clone(), Vec::new());
            leader
                .duties
                .on_applied(now, index as u64 + 1, &command, &after, &mut out);
            let shrunk = after
                .zones
                .iter()
                .any(|(n, z)| before.get(n).is_some_and(|e| *e > z.epoch));
            if shrunk || (after.changed != changed && after.epoch <= epoch) {
                s.violations.push("an order did not increase the epoch");
            }
            let is_out = |zone: &str| {
                let z = after.zones.get(zone).filter(|z| z.phase != Phase::Used);
                z.is_some_and(|z| z.out.iter().any(|(_, part)| *part >= 1.0))
            };
            if (is_out("z0") && is_out("z1")) || (is_out("z2") && is_out("z3")) {
                s.violations
                    .push("a destination's last route was evacuated");
            }
            if let Command::ExpireSender { boot, .. } = &command {
                let ended = boots
                    .iter()
                    .any(|(n, b)| b != boot && !after.roster[n].live);
                if ended {
                    s.violations.push("an expiry ended another process");
                }
            }
            self.handle_effects(s, at, out);
        }
    }
}

impl Model for LeaderModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut record = Record::default();
        let mut log = Vec::new();
        for n in 0..3 {
            log.push(Command::AddSender {
                sender: format!("n{n}"),
                boot: 1,
                zone: format!("o{n}"),
            });
        }
        if self.returning {
            let order = |base, phase| {
                let (zone, out, why) = ("z0".to_string(), vec![(1, 1.0)], String::new());
                Command::SetZonePhase {
                    base,
                    zone,
                    phase,
                    out,
                    return_attempts: 0,
                    reason: why,
                }
            };
            log.extend([order(0, Phase::Left), order(1, Phase::Returning)]);
        }
        log.iter()
            .enumerate()
            .for_each(|(at, command)| record.apply(at as u64 + 1, command));
        let mut s = State {
            now: 0,
            log,
            leaders: Vec::new(),
            granted: Vec::new(),
            reports: [1; 3],
            boots: [1; 3],
            elections: 0,
            elected_at_ms: 0,
            pauses: 0,
            failure_reports: 0,
            session_ends: 0,
            violations: Vec::new(),
        };
        let applied = s.log.len();
        s.leaders.push(self.new_leader(&s, 1, record, applied));
        if self.returning {
            // The first leader's initial wait has ended.
            s.now = 1_040;
        }
        self.tick(&mut s, 0);
        if self.returning {
            // The first slice is committed, and none of its calls is granted yet.
            for action in [
                Action::Report(0, 0, false),
                Action::Commit,
                Action::AdvanceTime,
            ] {
                s = self.next_state(&s, action).unwrap_or(s);
            }
        }
        vec![s]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.now < self.until {
            actions.push(Action::AdvanceTime);
        }
        let last = s.leaders.len() - 1;
        if !s.leaders[last].is_paused && !s.leaders[last].proposed.is_empty() {
            actions.push(Action::Commit);
        }
        if s.elections < self.elections {
            actions.push(Action::Elect(true));
            if !self.returning {
                actions.push(Action::Elect(false));
            }
        }
        for (at, leader) in s.leaders.iter().enumerate() {
            if leader.is_paused {
                actions.push(Action::Resume(at));
                continue;
            }
            // A leader is paused only before it is deposed: a pause after that adds no case, as
            // the leader learns no more than one that was paused before.
            if s.pauses < self.pauses && s.leaders.len() == 1 {
                actions.push(Action::Pause(at));
            }
            if self.returning {
                // In each step a leader gets a report of one of two senders; those of the second
                // arrive twice.
                let n = (s.now / STEP_MS) as usize % 2;
                // Reports to a deposed leader add no case once its slice has ended.
                if leader.last_report_ms < s.now
                    && (at == last || leader.paused_ms > 0 || s.now < s.elected_at_ms + 2 * STEP_MS)
                {
                    actions.push(Action::Report(n, at, n == 1));
                }
            }
            if s.failure_reports < self.failure_reports {
                actions.extend((0..3).map(|z| Action::ReportFailures(at, z)));
            }
            if s.session_ends < self.session_ends {
                actions.push(Action::CloseOldSession(at));
            }
        }
        if s.session_ends < self.session_ends && s.boots[2] == 1 {
            actions.push(Action::Restart(last));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::AdvanceTime => {
                s.now += STEP_MS;
                for at in 0..s.leaders.len() {
                    if s.leaders[at].is_paused {
                        s.leaders[at].paused_ms += STEP_MS;
                    } else {
                        self.tick(&mut s, at);
                    }
                }
            }
            Action::Commit => {
                let at = s.leaders.len() - 1;
                let command = s.leaders[at].proposed.remove(0);
                s.log.push(command);
                for at in 0..s.leaders.len() {
                    if !s.leaders[at].is_paused {
                        self.catch_up(&mut s, at);
                    }
                }
            }
            Action::Pause(at) => {
                s.leaders[at].is_paused = true;
                s.pauses += 1;
            }
            Action::Resume(at) => {
                // It has messages in its buffers and believes that it leads.
                s.leaders[at].is_paused = false;
                self.catch_up(&mut s, at);
                self.tick(&mut s, at);
            }
            Action::Elect(inherits) => {
                s.elections += 1;
                s.elected_at_ms = s.now;
                let at = s.leaders.len() - 1;
                let left = std::mem::take(&mut s.leaders[at].proposed);
                let mut record = Record::default();
                for (index, command) in s.log.iter().enumerate() {
                    self.apply(&mut record, index as u64 + 1, command);
                }
                let (term, applied) = (s.leaders[at].term + 1, s.log.len());
                let mut leader = self.new_leader(&s, term, record, applied);
                if inherits {
                    leader.proposed = left;
                }
                s.leaders.push(leader);
                if s.leaders.len() > 2 {
                    s.leaders.remove(0);
                }
                let at = s.leaders.len() - 1;
                self.tick(&mut s, at);
            }
            Action::Report(n, at, doubled) => {
                s.reports[n] += 1;
                s.leaders[at].last_report_ms = s.now;
                let requests = vec![AttemptLeaseRequest {
                    zone: "z0".into(),
                    dest: 1,
                    attempts: 4,
                }];
                let (report, seen) = (s.reports[n], Vec::new());
                let message = AgentToReplica::Report {
                    report,
                    record_version: s.log.len() as u64,
                    call_counts: seen,
                    listed: None,
                    lease_requests: requests,
                    outcomes: Vec::new(),
                };
                for _ in 0..1 + u8::from(doubled) {
                    let (now, mut out) = (self.clock(&s, at), Vec::new());
                    let leader = &mut s.leaders[at];
                    leader.duties.on_agent_message(
                        now,
                        n as u64,
                        &message,
                        &leader.record,
                        &mut out,
                    );
                    self.handle_effects(&mut s, at, out);
                }
                self.tick(&mut s, at);
            }
            Action::ReportFailures(at, zone) => {
                s.failure_reports += 1;
                for n in 0..3 {
                    s.reports[n] += 1;
                    let counts = CallCounts {
                        failed: 5,
                        ..CallCounts::default()
                    };
                    let seen = vec![ZoneCallCounts {
                        zone: format!("z{zone}"),
                        dest: 1 + zone as u16 / 2,
                        counts,
                    }];
                    let (report, has) = (s.reports[n], s.log.len() as u64);
                    let message = AgentToReplica::Report {
                        report,
                        record_version: has,
                        call_counts: seen,
                        listed: None,
                        lease_requests: Vec::new(),
                        outcomes: Vec::new(),
                    };
                    let (now, mut out) = (self.clock(&s, at), Vec::new());
                    let leader = &mut s.leaders[at];
                    leader.duties.on_agent_message(
                        now,
                        n as u64,
                        &message,
                        &leader.record,
                        &mut out,
                    );
                    self.handle_effects(&mut s, at, out);
                }
            }
            Action::Restart(at) => {
                s.boots[2] += 1;
                let (sender, boot, zone) = ("n2".to_string(), s.boots[2], "o2".to_string());
                let open = AgentToReplica::OpenSession {
                    sender,
                    boot,
                    zone,
                    record_version: 0,
                    stored: None,
                };
                let (now, mut out) = (self.clock(&s, at), Vec::new());
                let leader = &mut s.leaders[at];
                leader
                    .duties
                    .on_agent_message(now, 12, &open, &leader.record, &mut out);
                self.handle_effects(&mut s, at, out);
            }
            Action::CloseOldSession(at) => {
                s.session_ends += 1;
                let (now, mut out) = (self.clock(&s, at), Vec::new());
                let leader = &mut s.leaders[at];
                leader.duties.on_agent_message(
                    now,
                    2,
                    &AgentToReplica::CloseSession,
                    &leader.record,
                    &mut out,
                );
                self.handle_effects(&mut s, at, out);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::<Self>::always("no invariant is violated", |_, s: &State| {
                s.violations.is_empty()
            }),
            Property::<Self>::sometimes("two leaders at once", |_, s: &State| s.leaders.len() > 1),
        ];
        if self.returning {
            properties.push(Property::<Self>::sometimes(
                "leaders of two terms grant calls",
                |_, s: &State| {
                    s.granted.first().map(|g| g.term) != s.granted.last().map(|g| g.term)
                },
            ));
        } else if self.failure_reports > 0 {
            properties.push(Property::<Self>::sometimes(
                "a zone is evacuated",
                |_, s: &State| {
                    s.leaders
                        .iter()
                        .any(|l| l.record.zones.values().any(|z| z.phase == Phase::Left))
                },
            ));
        }
        properties
    }
}

impl LeaderModel {
    fn tick(&self, s: &mut State, at: usize) {
        let (now, mut out) = (self.clock(s, at), Vec::new());
        let leader = &mut s.leaders[at];
        leader.duties.on_tick(now, &leader.record, &mut out);
        self.handle_effects(s, at, out);
    }
}

fn budget(fault: Fault) -> LeaderModel {
    let until = 1_040 + 5 * STEP_MS;
    LeaderModel {
        fault,
        until,
        elections: 1,
        pauses: 1,
        failure_reports: 0,
        session_ends: 0,
        returning: true,
    }
}

fn orders(fault: Fault) -> LeaderModel {
    LeaderModel {
        fault,
        until: 5 * STEP_MS,
        elections: 1,
        pauses: 0,
        failure_reports: 2,
        session_ends: 0,
        returning: false,
    }
}

fn sessions(fault: Fault) -> LeaderModel {
    LeaderModel {
        fault,
        until: 2 * STEP_MS,
        elections: 1,
        pauses: 1,
        failure_reports: 0,
        session_ends: 2,
        returning: false,
    }
}

fn check(what: &str, model: LeaderModel, most: usize) -> Option<String> {
    let (fault, begun) = (model.fault, std::time::Instant::now());
    let checker = model
        .checker()
        .threads(4)
        .target_state_count(most)
        .spawn_bfs()
        .join();
    let found = checker.discovery("no invariant is violated");
    println!(
        "{what}, fault {fault:?}: {} states, {} of them different, depth {}, {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        begun.elapsed()
    );
    if fault == Fault::None {
        for reached in checker.model().properties().iter().skip(1) {
            assert!(
                checker.discovery(reached.name).is_some(),
                "never reached: {}",
                reached.name
            );
        }
    }
    let path = found?;
    let last = path.last_state().violations.clone();
    println!("  found: {last:?} by {:?}", path.into_actions());
    Some(format!("{last:?}"))
}

/// Maximum number of states that are explored.
const MAX_STATES: usize = 60_000;

#[test]
fn no_budget_is_granted_twice_across_leaders() {
    assert_eq!(check("budget", budget(Fault::None), MAX_STATES), None);
    for fault in [Fault::SkipsInitialWait, Fault::ClockStops] {
        assert!(
            check("budget", budget(fault), MAX_STATES).is_some(),
            "{fault:?} is not found"
        );
    }
}

#[test]
fn orders_keep_a_route_for_each_destination_and_increase_the_epoch() {
    assert_eq!(check("orders", orders(Fault::None), MAX_STATES), None);
    for (fault, what) in [
        (Fault::IgnoresBase, "last route"),
        (Fault::KeepsEpoch, "epoch"),
    ] {
        let found = check("orders", orders(fault), MAX_STATES);
        assert!(
            found.as_ref().is_some_and(|f| f.contains(what)),
            "{fault:?}: {found:?}"
        );
    }
}

#[test]
fn an_expiry_ends_no_session_of_another_process() {
    assert_eq!(check("sessions", sessions(Fault::None), MAX_STATES), None);
    let found = check("sessions", sessions(Fault::IgnoresBoot), MAX_STATES);
    assert!(
        found
            .as_ref()
            .is_some_and(|f| f.contains("another process")),
        "{found:?}"
    );
}
