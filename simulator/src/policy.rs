//! A policy rolled out to a fleet, in virtual time: the keepers' own machines
//! ([`raildeal::coordination`]) with senders round them that are simpler than the program's. Messages are
//! drawn: each has a class, and a fate that comes as much later as it does in a sender. All is
//! drawn from one seed.

use crate::due::At;
use raildeal::coordination::leader::{ConnectionId, Effect, LeaderDuties, LeaderRules};
use raildeal::coordination::messages::{
    AgentToReplica, Digest, MessageOutcomeCounts, OperatorRequest, OperatorResponse, ReplicaToAgent,
};
use raildeal::coordination::policy_rollout::register::{Change, Step};
use raildeal::coordination::record::{Command, Record};
use raildeal::Nanos;
use rand::{Rng, SeedableRng};
use rand_distr::{Binomial, Distribution};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A millisecond of the play's time.
pub const MS: Nanos = 1_000_000;
/// A second of it.
pub const SECOND: Nanos = 1_000 * MS;
/// Agents report this often; where there are a thousand or more, less often, for the play's own
/// sake.
const REPORT: [Nanos; 2] = [200 * MS, SECOND];
/// One way between agents and keepers.
const WAY: Nanos = 3 * MS;
/// Until the record has what is proposed.
const COMMIT: Nanos = 15 * MS;
/// The driver tells the leader the time this often.
const TICK: Nanos = 50 * MS;
/// A sender checks a policy and writes it down.
const CHECK: Nanos = 8 * MS;
/// The policy is proposed then: the fleet has met its keepers.
const PROPOSED: Nanos = 2 * SECOND;
/// Messages a second of each sender.
const TRAFFIC: f64 = 10.0;
/// Classes and their parts of the traffic; one has a twentieth.
const CLASSES: [(&str, f64); 3] = [("quick", 0.65), ("bulk", 0.30), ("rare", 0.05)];
/// How long messages are under way until they are delivered, late, and given up.
const TAKES: [Nanos; 3] = [400 * MS, 5 * SECOND, 12 * SECOND];
/// In each zone for itself: a second of this many in which what is refused comes in heaps, and how
/// many times as much.
const HEAPS: (f64, f64) = (20.0, 8.0);

/// What a policy does to messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    /// Nothing: they end as under the earlier one.
    Nothing,
    /// A tenth more of all are refused.
    WorseForAll,
    /// Half of the class with a twentieth of the traffic are late.
    WorseForOne,
    /// A tenth more fail, of those taken on 30 s after the change or later.
    WorseLater,
    /// As the first, while an outage strikes all zones from before the change until long after it.
    WorseInOutage,
}

impl Does {
    /// Those that a rollout has to halt at.
    pub const WORSE: [Does; 4] = [
        Does::WorseForAll,
        Does::WorseForOne,
        Does::WorseLater,
        Does::WorseInOutage,
    ];
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// All zones refuse two in five, or no more.
    Outage(bool),
    /// The leader dies, and another one is in office so much later.
    Leader(Nanos),
    /// A sender dies without a word, and is back so much later, if it is.
    Dies(usize, Option<Nanos>),
    /// A sender's line is silent for so long, both ways.
    Silent(usize, Nanos),
    /// An operator says so.
    Person(OperatorRequest),
}

/// When it happens.
#[derive(Clone, Debug, PartialEq)]
pub enum When {
    /// At this time.
    At(Nanos),
    /// This much after a stage (from 0) is in this step for the first time.
    Step(u32, Step, Nanos),
}

/// What a play is made of.
#[derive(Clone, Debug)]
pub struct Play {
    /// Senders: one in twenty stands in the first zone, the others evenly in the rest.
    pub senders: usize,
    /// Zones, two or more: the first is the first stage, the second the second, the others the
    /// last.
    pub zones: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// What the policy does.
    pub does: Does,
    /// Senders that refuse it.
    pub refuses: Vec<usize>,
    /// What happens.
    pub troubles: Vec<(When, Trouble)>,
    /// Lines of the plan, beside its stages.
    pub plan: String,
    /// The play ends then, at the latest.
    pub lasts: Nanos,
}

fn report(play: &Play) -> Nanos {
    REPORT[usize::from(play.senders >= 1_000)]
}

impl Play {
    /// A calm one.
    pub fn new(senders: usize, zones: usize, seed: u64, does: Does) -> Play {
        let outage = vec![
            (When::At(PROPOSED + 5 * SECOND), Trouble::Outage(true)),
            (
                When::Step(0, Step::Soaking, 50 * SECOND),
                Trouble::Outage(false),
            ),
        ];
        let troubles = if does == Does::WorseInOutage {
            outage
        } else {
            Vec::new()
        };
        // Ten messages a second of one sender say little in a minute: its plan gives them time.
        let plan = "watch_s = 20\nsoak_s = 60\nleast = 300\nmost_soak_s = 900\n".to_string();
        Play {
            senders,
            zones,
            seed,
            does,
            refuses: Vec::new(),
            troubles,
            plan,
            lasts: 3_000 * SECOND,
        }
    }
}

/// What a play shows.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// What the record has of policies, when each was there.
    pub changes: Vec<(Nanos, Change)>,
    /// When the first stage was in force.
    pub in_force: Option<Nanos>,
    /// When it halted first, at which stage from 1, and why.
    pub halted: Option<(Nanos, u32, String)>,
    /// When it was rolled out.
    pub done: Option<Nanos>,
    /// How it ended, where it did.
    pub end: Option<String>,
    /// Longest time that a sender took nothing on, of pauses that became changes, and the one in
    /// the middle.
    pub gaps: Vec<Nanos>,
    /// Moments at which two senders of a zone took messages on under two policies.
    pub two: u32,
    /// Senders that went by a policy that they had not checked.
    pub unchecked: u32,
    /// What operators were answered.
    pub answers: Vec<OperatorResponse>,
    /// The record as it is at the end.
    pub record: Record,
    /// Longest turn of the leader, of this machine's own time.
    pub longest: std::time::Duration,
}

#[derive(Clone, Debug, Default)]
struct Sender {
    name: String,
    zone: usize,
    boot: u64,
    line: ConnectionId,
    alive: bool,
    silent_until: Nanos,
    open: bool,
    /// It goes by its register: it was heard since its last start.
    heard: bool,
    turn: u64,
    number: u64,
    paused: bool,
    paused_at: Nanos,
    since: Nanos,
    stored: BTreeMap<u64, Digest>,
    report: u64,
    /// What ends at a later report: by report, policy and class, as late, refused and failed, and
    /// delivered.
    coming: BTreeMap<(u64, u64, usize), [u32; 4]>,
    /// It counts on its lease so long, as agents do: 98 in 100 from when it spoke last.
    lease_until: Nanos,
}

enum Event {
    Report(usize, u64),
    ToLeader(ConnectionId, AgentToReplica),
    ReplicaToAgent(ConnectionId, ReplicaToAgent),
    Apply(u64, Command),
    Leads(u64),
    Starts(usize),
    Happens(Trouble),
    Tick,
}

struct World {
    play: Play,
    rng: Pcg64Mcg,
    now: Nanos,
    events: BinaryHeap<Reverse<At<Event>>>,
    number: u64,
    senders: Vec<Sender>,
    of_line: BTreeMap<ConnectionId, usize>,
    next_line: ConnectionId,
    /// How bad each zone is by itself, and until when what is refused comes in a heap.
    zones: Vec<(f64, Nanos)>,
    outage: bool,
    record: Record,
    duties: Option<LeaderDuties>,
    term: u64,
    index: u64,
    led: Nanos,
    steps: Vec<(u32, Step)>,
    played: Played,
}

/// Plays it.
pub fn play(play: &Play) -> Played {
    let mut rng = Pcg64Mcg::seed_from_u64(play.seed);
    let few = (play.senders / 20).max(1);
    let senders = (0..play.senders).map(|n| Sender {
        name: format!("n{n}"),
        zone: if n < few { 0 } else { 1 + n % (play.zones - 1) },
        boot: 1,
        line: n as ConnectionId + 1,
        alive: true,
        ..Sender::default()
    });
    let senders: Vec<Sender> = senders.collect();
    let zones = (0..play.zones)
        .map(|_| (rng.random_range(0.6..1.5), 0))
        .collect();
    let record = Record::default();
    let mut world = World {
        duties: Some(LeaderDuties::new(LeaderRules::default(), 1, 0, &record)),
        of_line: (0..play.senders)
            .map(|n| (n as ConnectionId + 1, n))
            .collect(),
        next_line: play.senders as ConnectionId + 1,
        play: play.clone(),
        rng,
        now: 0,
        events: BinaryHeap::new(),
        number: 0,
        senders,
        zones,
        outage: false,
        record,
        term: 1,
        index: 0,
        led: 0,
        steps: Vec::new(),
        played: Played::default(),
    };
    world.run();
    world.played.record = world.record;
    world.played
}

/// The plan's text.
pub fn plan(play: &Play) -> String {
    let list = |from: usize, to: usize| {
        (from..to)
            .map(|z| format!("\"z{z}\""))
            .collect::<Vec<_>>()
            .join(", ")
    };
    let mut text = play.plan.clone();
    for (from, to) in [(0, 1), (1, 2), (2, play.zones)]
        .into_iter()
        .filter(|(from, to)| from < to)
    {
        text.push_str(&format!("[[stage]]\nzones = [{}]\n", list(from, to)));
    }
    text
}

impl World {
    fn at(&mut self, at: Nanos, event: Event) {
        self.number += 1;
        self.events.push(Reverse(At(at, self.number, event)));
    }

    fn run(&mut self) {
        for n in 0..self.senders.len() {
            let first = self.rng.random_range(0..report(&self.play));
            self.at(first, Event::Report(n, 1));
        }
        self.at(0, Event::Tick);
        let propose = OperatorRequest::ProposePolicy {
            text: "limits.max_attempts = 9".into(),
            plan: plan(&self.play),
        };
        self.at(PROPOSED, Event::Happens(Trouble::Person(propose)));
        for (when, trouble) in self.play.troubles.clone() {
            if let When::At(at) = when {
                self.at(at, Event::Happens(trouble));
            }
        }
        while let Some(Reverse(At(at, _, event))) = self.events.pop() {
            let over = self
                .played
                .done
                .or(self.played.halted.as_ref().map(|h| h.0));
            // What is ordered after a halt still has its time.
            let over = over
                .filter(|_| self.play.troubles.is_empty())
                .map(|at| at + SECOND);
            if at > over.unwrap_or(self.play.lasts) {
                return;
            }
            self.now = at;
            self.act(event);
        }
    }

    fn act(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Report(n, boot) => self.report(n, boot),
            Event::ToLeader(line, word) => self.duties(|duties, record, out| {
                duties.on_agent_message(now, line, &word, record, out)
            }),
            Event::ReplicaToAgent(line, word) => self.told(line, word),
            Event::Apply(term, command) => {
                // What a leader proposed that is gone is lost with its term.
                if term == self.term && self.duties.is_some() {
                    self.apply(&command);
                }
            }
            Event::Leads(term) => {
                let duties = LeaderDuties::new(LeaderRules::default(), term, now, &self.record);
                self.duties = Some(duties.with_last_leader_seen(now, Some(self.led)));
            }
            Event::Starts(n) => {
                let s = &mut self.senders[n];
                let stored = std::mem::take(&mut s.stored);
                let (name, zone, boot) = (s.name.clone(), s.zone, s.boot + 1);
                *s = Sender {
                    name,
                    zone,
                    boot,
                    alive: true,
                    stored,
                    ..Sender::default()
                };
                self.new_line(n);
                self.at(now, Event::Report(n, boot));
            }
            Event::Happens(trouble) => self.happens(trouble),
            Event::Tick => {
                self.at(now + TICK, Event::Tick);
                for zone in &mut self.zones {
                    if self.rng.random_range(0.0..HEAPS.0 * SECOND as f64) < TICK as f64 {
                        zone.1 = now + SECOND;
                    }
                }
                self.duties(|duties, record, out| duties.on_tick(now, record, out));
            }
        }
    }

    fn duties(&mut self, word: impl FnOnce(&mut LeaderDuties, &Record, &mut Vec<Effect>)) {
        let Some(duties) = &mut self.duties else {
            return;
        };
        let (mut out, real) = (Vec::new(), std::time::Instant::now());
        word(duties, &self.record, &mut out);
        self.played.longest = self.played.longest.max(real.elapsed());
        for o in out {
            match o {
                Effect::Propose(command) => {
                    self.at(self.now + COMMIT, Event::Apply(self.term, command))
                }
                Effect::Send(line, word) => {
                    self.at(self.now + WAY, Event::ReplicaToAgent(line, word))
                }
                Effect::Reply(_, answer) => self.played.answers.push(answer),
                // This site is in no federation.
                Effect::ProposeToFederation(_) => {}
            }
        }
    }

    fn apply(&mut self, command: &Command) {
        self.index += 1;
        let (now, index) = (self.now, self.index);
        self.record.apply(index, command);
        if let Command::AdvanceClock { .. } = command {
            self.led = now;
        }
        if let Command::ChangePolicies { change, .. } = command {
            if self.record.policies.at == index {
                self.changed(change);
            }
        }
        self.duties(|duties, record, out| duties.on_applied(now, index, command, record, out));
    }

    fn changed(&mut self, change: &Change) {
        let now = self.now;
        self.played.changes.push((now, change.clone()));
        let policies = &self.record.policies;
        let stage = policies.rollout.as_ref().map_or(0, |r| r.stage);
        match change {
            Change::Commit => _ = self.played.in_force.get_or_insert(now),
            Change::Halt { why } => {
                _ = self
                    .played
                    .halted
                    .get_or_insert((now, stage + 1, why.clone()))
            }
            Change::Next if policies.rollout.is_none() => self.played.done = Some(now),
            Change::End { why } => {
                self.played.end = Some(why.clone());
                self.played.done = Some(now);
            }
            _ => {}
        }
        let Some(step) = policies.rollout.as_ref().map(|r| (r.stage, r.step)) else {
            return;
        };
        if !self.steps.contains(&step) {
            self.steps.push(step);
            for (when, trouble) in self.play.troubles.clone() {
                if let When::Step(stage, at, after) = when {
                    if (stage, at) == step {
                        self.at(now + after, Event::Happens(trouble));
                    }
                }
            }
        }
    }

    fn happens(&mut self, trouble: Trouble) {
        let now = self.now;
        match trouble {
            Trouble::Outage(on) => self.outage = on,
            Trouble::Leader(after) => {
                self.duties = None;
                self.term += 1;
                (0..self.senders.len()).for_each(|n| self.new_line(n));
                self.at(now + after, Event::Leads(self.term));
            }
            Trouble::Dies(n, back) => {
                self.senders[n].alive = false;
                let line = self.senders[n].line;
                self.of_line.remove(&line);
                self.duties(|duties, _, _| duties.on_disconnect(line));
                if let Some(after) = back {
                    self.at(now + after, Event::Starts(n));
                }
            }
            Trouble::Silent(n, lasts) => self.senders[n].silent_until = now + lasts,
            Trouble::Person(word) => self.duties(|duties, record, out| {
                duties.on_operator_request(now, 0, &word, record, out)
            }),
        }
    }

    fn new_line(&mut self, n: usize) {
        let old = self.senders[n].line;
        self.of_line.remove(&old);
        self.duties(|duties, _, _| duties.on_disconnect(old));
        self.senders[n].line = self.next_line;
        self.senders[n].open = false;
        self.of_line.insert(self.next_line, n);
        self.next_line += 1;
    }

    fn say(&mut self, n: usize, after: Nanos, word: AgentToReplica) {
        if self.now >= self.senders[n].silent_until {
            let line = self.senders[n].line;
            self.at(self.now + after + WAY, Event::ToLeader(line, word));
        }
    }

    /// Two senders of a zone that take messages on go by one policy.
    fn one_policy(&mut self, zone: usize) {
        let now = self.now;
        let holds = |s: &&Sender| s.alive && s.heard && !s.paused && now < s.lease_until;
        let taking = self.senders.iter().filter(|s| s.zone == zone).filter(holds);
        let mut numbers: Vec<u64> = taking.map(|s| s.number).collect();
        numbers.dedup();
        self.played.two += u32::from(numbers.len() > 1);
    }

    fn told(&mut self, line: ConnectionId, word: ReplicaToAgent) {
        let now = self.now;
        let Some(n) = self.of_line.get(&line).copied() else {
            return;
        };
        if now < self.senders[n].silent_until || !self.senders[n].alive {
            return;
        }
        match word {
            ReplicaToAgent::LeaseRenewed { lease_ms, .. } => {
                self.senders[n].open = true;
                self.senders[n].lease_until = now - 2 * WAY + Nanos::from(lease_ms) * MS / 100 * 98;
            }
            // These senders follow no tables.
            ReplicaToAgent::RoutingTable(_) => {}
            ReplicaToAgent::UnknownSession => {
                // Its lease has lapsed: it takes nothing on before it has heard its register again.
                (self.senders[n].open, self.senders[n].heard) = (false, false);
                self.new_line(n);
            }
            ReplicaToAgent::OfferPolicy { number, digest, .. } => {
                let refused = self
                    .play
                    .refuses
                    .contains(&n)
                    .then(|| "too little memory".to_string());
                if refused.is_none() {
                    self.senders[n].stored.insert(number, digest);
                }
                self.say(n, CHECK, AgentToReplica::PolicyChecked { number, refused });
            }
            ReplicaToAgent::ApplyPolicy {
                turn,
                number,
                paused,
            } => {
                let s = &mut self.senders[n];
                if turn < s.turn {
                    return;
                }
                self.played.unchecked +=
                    u32::from(number != 0 && !s.stored.contains_key(&number) && !paused);
                if s.heard && s.paused && !paused && number != s.number {
                    self.played.gaps.push(now - s.paused_at);
                }
                if paused && !s.paused {
                    s.paused_at = now;
                }
                if number != s.number {
                    s.since = now;
                }
                (s.heard, s.turn, s.number, s.paused) = (true, turn, number, paused);
                let zone = s.zone;
                self.one_policy(zone);
                self.say(n, 0, AgentToReplica::PolicyApplied { turn });
            }
            ReplicaToAgent::NotLeader(_)
            | ReplicaToAgent::View(_)
            | ReplicaToAgent::GrantAttempts(_) => {}
        }
    }

    fn report(&mut self, n: usize, boot: u64) {
        let now = self.now;
        if !self.senders[n].alive || self.senders[n].boot != boot {
            return;
        }
        self.at(now + report(&self.play), Event::Report(n, boot));
        let health = self.messages(n);
        let s = &mut self.senders[n];
        if s.open && now >= s.lease_until {
            // Its lease has lapsed in its own count.
            (s.open, s.heard) = (false, false);
            self.new_line(n);
        }
        let s = &mut self.senders[n];
        if !s.open {
            // Counts of a report that nobody hears are lost, as those of a sender that starts anew.
            let (sender, boot, zone) = (s.name.clone(), s.boot, format!("z{}", s.zone));
            let stored = Some(
                s.stored
                    .iter()
                    .map(|(number, digest)| (*number, *digest))
                    .collect(),
            );
            return self.say(
                n,
                0,
                AgentToReplica::OpenSession {
                    sender,
                    boot,
                    zone,
                    record_version: 1,
                    stored,
                },
            );
        }
        s.report += 1;
        let (report, has) = (s.report, 1_000_000_000);
        let (seen, listed, wants) = (Vec::new(), None, Vec::new());
        self.say(
            n,
            0,
            AgentToReplica::Report {
                report,
                record_version: has,
                call_counts: seen,
                listed,
                lease_requests: wants,
                outcomes: health,
            },
        );
    }

    /// What became of messages since the last report.
    fn messages(&mut self, n: usize) -> Vec<MessageOutcomeCounts> {
        let now = self.now;
        let each = report(&self.play);
        let (bad, heap) = self.zones[self.senders[n].zone];
        let mut told: BTreeMap<(u64, usize), MessageOutcomeCounts> = BTreeMap::new();
        let line = |told: &mut BTreeMap<(u64, usize), MessageOutcomeCounts>,
                    policy: u64,
                    class: usize,
                    add: [u32; 6]| {
            let name = CLASSES[class].0.to_string();
            let new = MessageOutcomeCounts {
                policy,
                class: name,
                ..MessageOutcomeCounts::default()
            };
            let h = told.entry((policy, class)).or_insert(new);
            h.accepted += add[0];
            h.delivered_late += add[1];
            h.deferred += add[2];
            h.failed += add[3];
            h.delivered += add[4];
            h.rejected += add[5];
        };
        let s = &mut self.senders[n];
        let policy = s.number;
        let takes = s.heard && !s.paused && now < s.lease_until;
        for (class, (_, part)) in CLASSES.iter().enumerate().filter(|_| takes) {
            let mut drawn = |n: u64, p: f64| {
                let p = p.clamp(0.0, 1.0);
                Binomial::new(n, p).map_or(0, |b| b.sample(&mut self.rng))
            };
            let mut came = drawn(40, TRAFFIC * part * each as f64 / SECOND as f64 / 40.0);
            let turned = drawn(came, 0.005 * bad);
            came -= turned;
            let under = policy != 0;
            let old = now - s.since;
            let mut refuse = 0.02 * bad;
            if now < heap {
                refuse *= HEAPS.1;
            }
            if self.outage {
                refuse += 0.4;
            }
            let worse = under && matches!(self.play.does, Does::WorseForAll | Does::WorseInOutage);
            refuse += if worse { 0.1 } else { 0.0 };
            let one = under && self.play.does == Does::WorseForOne && class == 2;
            let late = 0.02 * bad + if one { 0.5 } else { 0.0 };
            let later = under && self.play.does == Does::WorseLater && old >= 30 * SECOND;
            let fail = 0.01 * bad + if later { 0.1 } else { 0.0 };
            let refused = drawn(came, refuse);
            let failed = drawn(came - refused, fail);
            let lates = drawn(came - refused - failed, late);
            let delivered = came - refused - failed - lates;
            line(
                &mut told,
                policy,
                class,
                [came as u32, 0, refused as u32, 0, 0, turned as u32],
            );
            for (at, which, count) in [
                (TAKES[1], 0, lates),
                (TAKES[2], 2, failed),
                (TAKES[0], 3, delivered),
            ] {
                if count > 0 {
                    s.coming.entry((now + at, policy, class)).or_default()[which] += count as u32;
                }
            }
        }
        while let Some(entry) = s.coming.first_entry().filter(|e| e.key().0 <= now) {
            let ((_, policy, class), [late, refused, failed, delivered]) = entry.remove_entry();
            line(
                &mut told,
                policy,
                class,
                [0, late, refused, failed, delivered, 0],
            );
        }
        told.into_values().collect()
    }
}

/// What one policy showed, as the last line of the command tells it.
#[derive(Debug, serde::Serialize)]
pub struct Halted {
    /// What it does.
    pub does: String,
    /// The stage at which it halted; 0 for none.
    pub stage: u32,
    /// From when the first stage was in force, in milliseconds.
    pub after_ms: Option<u64>,
    /// Why.
    pub why: Option<String>,
}

/// The last line of the command.
#[derive(Debug, Default, serde::Serialize)]
pub struct Figures {
    /// Zones.
    pub zones: usize,
    /// Plays of an equal policy, and how many of them halted.
    pub equal: u64,
    /// Of these.
    pub false_halts: u64,
    /// Why, where one did.
    pub why: Vec<String>,
    /// Worse policies.
    pub worse: Vec<Halted>,
    /// Longest and middle time that a sender took nothing on, in milliseconds.
    pub gap_ms: u64,
    /// In the middle.
    pub gap_p50_ms: u64,
    /// Longest turn of the leader, in milliseconds of this machine.
    pub turn_ms: f64,
    /// Breaches: two policies in a zone, a false halt, a worse policy that got past its first
    /// stage.
    pub broken: u64,
}

/// Plays an equal policy so many times, each with the next seed and an outage that strikes all
/// zones in every second play, and each of the worse ones once.
pub fn figures(senders: usize, zones: usize, seed: u64, equal: u64) -> Figures {
    let mut figures = Figures {
        zones,
        equal,
        ..Figures::default()
    };
    let mut gaps = Vec::new();
    for n in 0..equal {
        let mut calm = Play::new(senders, zones, seed + n, Does::Nothing);
        if n % 2 == 1 {
            calm.troubles = vec![
                (
                    When::Step(0, Step::Soaking, 10 * SECOND),
                    Trouble::Outage(true),
                ),
                (
                    When::Step(0, Step::Soaking, 35 * SECOND),
                    Trouble::Outage(false),
                ),
            ];
        }
        let played = play(&calm);
        let halted = played.halted.as_ref().map(|h| h.2.clone());
        let halted = halted.or_else(|| {
            played
                .done
                .is_none()
                .then(|| "not rolled out in time".to_string())
        });
        figures.false_halts += u64::from(halted.is_some());
        figures
            .why
            .extend(halted.map(|why| format!("seed {}: {why}", seed + n)));
        figures.broken += u64::from(played.two + played.unchecked);
        figures.turn_ms = figures.turn_ms.max(played.longest.as_secs_f64() * 1e3);
        gaps.extend(played.gaps);
    }
    for does in Does::WORSE {
        let played = play(&Play::new(senders, zones, seed, does));
        let halted = played.halted.clone();
        let after = halted
            .as_ref()
            .zip(played.in_force)
            .map(|(h, at)| (h.0 - at) / MS);
        let stage = halted.as_ref().map_or(0, |h| h.1);
        figures.broken += u64::from(stage != 1) + u64::from(played.two + played.unchecked);
        figures.worse.push(Halted {
            does: format!("{does:?}"),
            stage,
            after_ms: after,
            why: halted.map(|h| h.2),
        });
    }
    gaps.sort_unstable();
    figures.gap_ms = gaps.last().map_or(0, |g| g / MS);
    figures.gap_p50_ms = gaps.get(gaps.len() / 2).map_or(0, |g| g / MS);
    figures.broken += figures.false_halts;
    figures
}
