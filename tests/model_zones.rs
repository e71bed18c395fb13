//! All orders of what can happen between an agreed log, offices that are deposed, stopped and
//! woken, and three senders, over the unchanged machines. The log stands for the keepers: what a
//! leader proposes is committed only in the term that is the last one elected, or is inherited by
//! the next.
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

const MS: u64 = 1_000_000;
/// Time goes on by this.
const STEP: u64 = 400;

/// A fault that is put in, to see that the model finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A new leader does not wait for what earlier ones could have granted.
    SkipsWait,
    /// The clock of one that was stopped stood still.
    ClockStops,
    /// Orders are applied whatever they were based on.
    AnyBase,
    /// A lapse ends whatever process there is.
    AnyBoot,
    /// An order keeps the epoch.
    SameEpoch,
}

#[derive(Clone, Debug)]
struct Leader {
    term: u64,
    duties: LeaderDuties,
    record: Record,
    applied: usize,
    proposed: Vec<Command>,
    asleep: bool,
    /// The time that its clock lacks.
    lacks: u64,
    /// When it heard a report last.
    heard: u64,
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
    /// When the last one was.
    elected: u64,
    sleeps: u8,
    words: u8,
    lapses: u8,
    /// What went wrong.
    wrong: Vec<&'static str>,
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
    Later,
    Commit,
    Sleep(usize),
    Wake(usize),
    /// Another leader is elected, and has in its log what the last one proposed, or not.
    Elect(bool),
    /// A sender reports to this leader; twice where the word is doubled.
    Report(usize, usize, bool),
    /// Three senders tell this leader that calls to a zone fail.
    Fails(usize, usize),
    /// A sender's old process is found lapsed by this leader after a new one has joined.
    Restart(usize),
    LapseOld(usize),
}

struct Zones {
    fault: Fault,
    until: u64,
    elections: u8,
    sleeps: u8,
    words: u8,
    lapses: u8,
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
    // As short as the steps of the model are; a new leader waits so long.
    z.grant_validity_ms = 500;
    rules
}

/// Zones 0 and 1 have destination 1 between them alone, 2 and 3 destination 2.
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

const RATE: f32 = 16.0;

impl Zones {
    fn lead(&self, s: &State, term: u64, record: Record, applied: usize) -> Leader {
        let begun = if self.fault == Fault::SkipsWait {
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
            asleep: false,
            lacks: 0,
            heard: 0,
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
            let tell = AgentToReplica::Report {
                report: s.reports[n as usize],
                record_version: 1,
                call_counts: Vec::new(),
                listed: Some(listed()),
                lease_requests: Vec::new(),
                outcomes: Vec::new(),
            };
            let mut out = Vec::new();
            for word in [open, tell] {
                leader.duties.on_agent_message(
                    (s.now + 10_000) * MS,
                    n,
                    &word,
                    &leader.record,
                    &mut out,
                );
            }
        }
        leader
    }

    fn clock(&self, s: &State, at: usize) -> u64 {
        let lacks = if self.fault == Fault::ClockStops {
            s.leaders[at].lacks
        } else {
            0
        };
        (s.now + 10_000 - lacks) * MS
    }

    fn carry(&self, s: &mut State, at: usize, out: Vec<Effect>) {
        let term = s.leaders[at].term;
        for o in out {
            match o {
                Effect::Propose(command) => {
                    // Beats move the record's clock alone; the model has none of what it is for.
                    // What one proposes that is deposed is never committed.
                    let leads = s.leaders.iter().all(|l| l.term <= term);
                    if leads
                        && !matches!(command, Command::AdvanceClock { .. })
                        && s.leaders[at].proposed.len() < 3
                    {
                        s.leaders[at].proposed.push(command);
                    }
                }
                Effect::Send(_, ReplicaToAgent::GrantAttempts(g)) => {
                    let (from, to) = (s.now, s.now + u64::from(g.within_ms));
                    if s.granted.iter().any(|old| old.term < term && old.to > from) {
                        s.wrong.push("granted while an earlier term's grant holds");
                    }
                    if s.granted.iter().any(|old| old.term > term) {
                        s.wrong
                            .push("granted by one that was deposed, after its successor");
                    }
                    s.granted.push(Granted {
                        term,
                        to,
                        calls: g.attempts,
                    });
                    // All calls of the window's length could come at once.
                    let long = u64::from(rules().zones.overload_window_ms);
                    let could = s.granted.iter().filter(|g| g.to + long > from);
                    let calls: u32 = could.map(|g| g.calls).sum();
                    let n = f64::from(RATE) * 0.5 * long as f64 / 1e3;
                    let roots = if n < 30.0 { 3.0 } else { 2.0 };
                    if f64::from(calls) > n + roots * n.sqrt() + roots {
                        s.wrong.push("more than the budget of a window");
                    }
                }
                _ => {}
            }
        }
    }

    fn apply(&self, record: &mut Record, index: u64, command: &Command) {
        let mut command = command.clone();
        match (&mut command, self.fault) {
            (Command::SetZonePhase { base, .. }, Fault::AnyBase) => *base = record.epoch,
            (Command::ExpireSender { sender, boot }, Fault::AnyBoot) => {
                *boot = record.roster.get(sender).map_or(*boot, |m| m.boot);
            }
            _ => {}
        }
        record.apply(index, &command);
        if self.fault == Fault::SameEpoch {
            record.epoch = record.epoch.min(1);
            record
                .zones
                .values_mut()
                .for_each(|z| z.epoch = z.epoch.min(1));
        }
    }

    /// A leader hears of all that is committed.
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
                s.wrong.push("an order without a later epoch");
            }
            let is_out = |zone: &str| {
                let z = after.zones.get(zone).filter(|z| z.phase != Phase::Used);
                z.is_some_and(|z| z.out.iter().any(|(_, part)| *part >= 1.0))
            };
            if (is_out("z0") && is_out("z1")) || (is_out("z2") && is_out("z3")) {
                s.wrong.push("a destination's last route");
            }
            if let Command::ExpireSender { boot, .. } = &command {
                let ended = boots
                    .iter()
                    .any(|(n, b)| b != boot && !after.roster[n].live);
                if ended {
                    s.wrong.push("a lapse ended another process");
                }
            }
            self.carry(s, at, out);
        }
    }
}

impl Model for Zones {
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
            elected: 0,
            sleeps: 0,
            words: 0,
            lapses: 0,
            wrong: Vec::new(),
        };
        let applied = s.log.len();
        s.leaders.push(self.lead(&s, 1, record, applied));
        if self.returning {
            // The first leader's own wait is over.
            s.now = 1_040;
        }
        self.tick(&mut s, 0);
        if self.returning {
            // The first slice stands, and nothing of it is granted yet.
            for action in [Action::Report(0, 0, false), Action::Commit, Action::Later] {
                s = self.next_state(&s, action).unwrap_or(s);
            }
        }
        vec![s]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.now < self.until {
            actions.push(Action::Later);
        }
        let last = s.leaders.len() - 1;
        if !s.leaders[last].asleep && !s.leaders[last].proposed.is_empty() {
            actions.push(Action::Commit);
        }
        if s.elections < self.elections {
            actions.push(Action::Elect(true));
            if !self.returning {
                actions.push(Action::Elect(false));
            }
        }
        for (at, leader) in s.leaders.iter().enumerate() {
            if leader.asleep {
                actions.push(Action::Wake(at));
                continue;
            }
            // One that is deposed already and stops learns as little as one that was stopped
            // before.
            if s.sleeps < self.sleeps && s.leaders.len() == 1 {
                actions.push(Action::Sleep(at));
            }
            if self.returning {
                // Each leader hears one of the two in a step, the second one's words twice.
                let n = (s.now / STEP) as usize % 2;
                // One that is deposed says nothing new when its slice is over.
                if leader.heard < s.now
                    && (at == last || leader.lacks > 0 || s.now < s.elected + 2 * STEP)
                {
                    actions.push(Action::Report(n, at, n == 1));
                }
            }
            if s.words < self.words {
                actions.extend((0..3).map(|z| Action::Fails(at, z)));
            }
            if s.lapses < self.lapses {
                actions.push(Action::LapseOld(at));
            }
        }
        if s.lapses < self.lapses && s.boots[2] == 1 {
            actions.push(Action::Restart(last));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::Later => {
                s.now += STEP;
                for at in 0..s.leaders.len() {
                    if s.leaders[at].asleep {
                        s.leaders[at].lacks += STEP;
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
                    if !s.leaders[at].asleep {
                        self.catch_up(&mut s, at);
                    }
                }
            }
            Action::Sleep(at) => {
                s.leaders[at].asleep = true;
                s.sleeps += 1;
            }
            Action::Wake(at) => {
                // It has words in its buffers and believes that it leads.
                s.leaders[at].asleep = false;
                self.catch_up(&mut s, at);
                self.tick(&mut s, at);
            }
            Action::Elect(inherits) => {
                s.elections += 1;
                s.elected = s.now;
                let at = s.leaders.len() - 1;
                let left = std::mem::take(&mut s.leaders[at].proposed);
                let mut record = Record::default();
                for (index, command) in s.log.iter().enumerate() {
                    self.apply(&mut record, index as u64 + 1, command);
                }
                let (term, applied) = (s.leaders[at].term + 1, s.log.len());
                let mut leader = self.lead(&s, term, record, applied);
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
                s.leaders[at].heard = s.now;
                let wants = vec![AttemptLeaseRequest {
                    zone: "z0".into(),
                    dest: 1,
                    attempts: 4,
                }];
                let (report, seen) = (s.reports[n], Vec::new());
                let word = AgentToReplica::Report {
                    report,
                    record_version: s.log.len() as u64,
                    call_counts: seen,
                    listed: None,
                    lease_requests: wants,
                    outcomes: Vec::new(),
                };
                for _ in 0..1 + u8::from(doubled) {
                    let (now, mut out) = (self.clock(&s, at), Vec::new());
                    let leader = &mut s.leaders[at];
                    leader
                        .duties
                        .on_agent_message(now, n as u64, &word, &leader.record, &mut out);
                    self.carry(&mut s, at, out);
                }
                self.tick(&mut s, at);
            }
            Action::Fails(at, zone) => {
                s.words += 1;
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
                    let word = AgentToReplica::Report {
                        report,
                        record_version: has,
                        call_counts: seen,
                        listed: None,
                        lease_requests: Vec::new(),
                        outcomes: Vec::new(),
                    };
                    let (now, mut out) = (self.clock(&s, at), Vec::new());
                    let leader = &mut s.leaders[at];
                    leader
                        .duties
                        .on_agent_message(now, n as u64, &word, &leader.record, &mut out);
                    self.carry(&mut s, at, out);
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
                self.carry(&mut s, at, out);
            }
            Action::LapseOld(at) => {
                s.lapses += 1;
                let (now, mut out) = (self.clock(&s, at), Vec::new());
                let leader = &mut s.leaders[at];
                leader.duties.on_agent_message(
                    now,
                    2,
                    &AgentToReplica::CloseSession,
                    &leader.record,
                    &mut out,
                );
                self.carry(&mut s, at, out);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::<Self>::always("nothing goes wrong", |_, s: &State| s.wrong.is_empty()),
            Property::<Self>::sometimes("two offices at once", |_, s: &State| s.leaders.len() > 1),
        ];
        if self.returning {
            properties.push(Property::<Self>::sometimes(
                "two terms grant",
                |_, s: &State| {
                    s.granted.first().map(|g| g.term) != s.granted.last().map(|g| g.term)
                },
            ));
        } else if self.words > 0 {
            properties.push(Property::<Self>::sometimes(
                "a zone is left",
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

impl Zones {
    fn tick(&self, s: &mut State, at: usize) {
        let (now, mut out) = (self.clock(s, at), Vec::new());
        let leader = &mut s.leaders[at];
        leader.duties.on_tick(now, &leader.record, &mut out);
        self.carry(s, at, out);
    }
}

fn budget(fault: Fault) -> Zones {
    let until = 1_040 + 5 * STEP;
    Zones {
        fault,
        until,
        elections: 1,
        sleeps: 1,
        words: 0,
        lapses: 0,
        returning: true,
    }
}

fn orders(fault: Fault) -> Zones {
    Zones {
        fault,
        until: 5 * STEP,
        elections: 1,
        sleeps: 0,
        words: 2,
        lapses: 0,
        returning: false,
    }
}

fn sessions(fault: Fault) -> Zones {
    Zones {
        fault,
        until: 2 * STEP,
        elections: 1,
        sleeps: 1,
        words: 0,
        lapses: 2,
        returning: false,
    }
}

fn check(what: &str, model: Zones, most: usize) -> Option<String> {
    let (fault, begun) = (model.fault, std::time::Instant::now());
    let checker = model
        .checker()
        .threads(4)
        .target_state_count(most)
        .spawn_bfs()
        .join();
    let found = checker.discovery("nothing goes wrong");
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
                "never: {}",
                reached.name
            );
        }
    }
    let path = found?;
    let last = path.last_state().wrong.clone();
    println!("  found: {last:?} by {:?}", path.into_actions());
    Some(format!("{last:?}"))
}

/// States that are looked at, at the most; in CI.
const MOST: usize = 60_000;

#[test]
fn no_share_is_spent_twice_across_leaders() {
    assert_eq!(check("budget", budget(Fault::None), MOST), None);
    for fault in [Fault::SkipsWait, Fault::ClockStops] {
        assert!(
            check("budget", budget(fault), MOST).is_some(),
            "{fault:?} is not found"
        );
    }
}

#[test]
fn orders_keep_a_route_and_their_epochs_grow() {
    assert_eq!(check("orders", orders(Fault::None), MOST), None);
    for (fault, what) in [(Fault::AnyBase, "last route"), (Fault::SameEpoch, "epoch")] {
        let found = check("orders", orders(fault), MOST);
        assert!(
            found.as_ref().is_some_and(|f| f.contains(what)),
            "{fault:?}: {found:?}"
        );
    }
}

#[test]
fn a_lapse_ends_no_other_process() {
    assert_eq!(check("sessions", sessions(Fault::None), MOST), None);
    let found = check("sessions", sessions(Fault::AnyBoot), MOST);
    assert!(
        found
            .as_ref()
            .is_some_and(|f| f.contains("another process")),
        "{found:?}"
    );
}
