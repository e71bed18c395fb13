//! The keepers' own machines ([`raildeal::coordination`]) with a fleet round them, in virtual time: many
//! senders, zones that fail and come back, endpoints that fall over when they are cold. Senders are
//! simpler than the program's: each notices by two failures in a row, waits, and tries another
//! zone. All is drawn from one seed.

use crate::due::At;
use raildeal::coordination::leader::{ConnectionId, Effect, LeaderDuties, LeaderRules};
use raildeal::coordination::messages::{
    sender_hash_fraction, AgentToReplica, AttemptLeaseGrant, AttemptLeaseRequest, CallCounts,
    ListedZoneCapacity, OperatorRequest, OperatorResponse, ReplicaToAgent, SenderView,
    ZoneCallCounts,
};
use raildeal::coordination::record::{Command, Phase, Record};
use raildeal::Nanos;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A millisecond of the play's time.
pub const MS: Nanos = 1_000_000;
/// A second of it.
pub const SECOND: Nanos = 1_000 * MS;
/// Agents report this often.
const REPORT: Nanos = 200 * MS;
/// One way between agents and keepers.
const WAY: Nanos = 3 * MS;
/// Until the record has what is proposed.
const COMMIT: Nanos = 15 * MS;
/// The driver tells the leader the time this often.
const TICK: Nanos = 50 * MS;
/// A call that is not answered by then timed out.
const PATIENCE: Nanos = 2_500 * MS;
/// A call that takes longer than this hangs: a few times what calls usually take.
const HANGS: Nanos = 250 * MS;
/// Granted calls are asked for so many seconds ahead, as the program's agents do; a message takes
/// one that is there and waits for none.
const AHEAD: f64 = 3.0;
/// An endpoint that fell over is down for so long.
const DOWN: Nanos = 5 * SECOND;
/// Steps of the count of what comes to a cold endpoint.
const STEPS: u64 = 10;

/// What a play is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Senders.
    pub senders: usize,
    /// Zones of endpoints; senders stand evenly in `own` zones of their own.
    pub zones: usize,
    /// Zones that senders stand in.
    pub own: usize,
    /// Destinations; each is in every zone.
    pub dests: u16,
    /// Endpoints of a destination in a zone.
    pub endpoints: u32,
    /// Calls a second to a destination in a zone, as listed.
    pub rate: f64,
    /// Messages a second, over all.
    pub traffic: f64,
    /// For so long.
    pub lasts: Nanos,
    /// The leader's rules.
    pub rules: LeaderRules,
    /// For all that is drawn.
    pub seed: u64,
    /// What happens, in order of time.
    pub troubles: Vec<(Nanos, Trouble)>,
}

/// How endpoints are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Well.
    Well,
    /// Nobody listens.
    Down,
    /// No answer ever comes.
    Silent,
    /// Each call fails.
    Errors,
    /// Answers take ten times as long, up to a second.
    Slow,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// All endpoints of a zone.
    Zone(usize, State),
    /// Those of one destination in a zone.
    Dest(usize, u16, State),
    /// Those of one destination in all zones.
    Everywhere(u16, State),
    /// One endpoint.
    One(usize, u16, u32, State),
    /// Calls of senders that stand in this zone don't get through, whereto ever.
    Cut(usize, bool),
    /// These calls don't, and their reports don't, either.
    Silenced(usize, bool),
    /// The link from an own zone to one zone of endpoints is gone.
    Link(usize, usize, bool),
    /// These senders tell nonsense from now on: that all fails in this zone.
    Liars(Vec<usize>, usize),
    /// The keepers' leader is another one; lines are new.
    Leader,
    /// These senders start anew.
    Restart(Vec<usize>),
    /// All traffic times this.
    Traffic(f64),
    /// No list names this zone any more.
    Unlisted(usize),
    /// An operator says so.
    Person(OperatorRequest),
}

/// When an order was in the record, of which zone, what, who is out, and why.
pub type Ordered = (Nanos, String, Phase, Vec<(u16, f32)>, String);

/// What a play shows.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// When each order was in the record, what, and why.
    pub orders: Vec<Ordered>,
    /// When the last of the senders that live and are not cut off had heard of an order, by epoch.
    pub heard: BTreeMap<u64, Nanos>,
    /// When calls to a zone failed first, or were told to hang, by zone and since it was well last.
    pub evidence: BTreeMap<String, Nanos>,
    /// Endpoints that fell over.
    pub toppled: u32,
    /// Calls, and those that were taken.
    pub calls: u64,
    /// Of these.
    pub taken: u64,
    /// Granted cold calls, and those that were begun.
    pub granted: u64,
    /// Of these.
    pub begun: u64,
    /// Calls begun at a zone that the sender knew it was out of, without a grant.
    pub trespasses: u32,
    /// Calls taken by each zone in each tenth of a second.
    pub flow: BTreeMap<String, Vec<u32>>,
    /// Moments at which a destination had no route left.
    pub stranded: u32,
    /// Answers to operators.
    pub answers: Vec<(Nanos, OperatorResponse)>,
    /// Commands in the record.
    pub commands: u64,
    /// Longest time that one look of the leader took, of the machine's own time.
    pub longest_look: std::time::Duration,
}

impl Played {
    /// When a zone had this order first, from a time on.
    pub fn when(&self, zone: &str, phase: Phase, from: Nanos) -> Option<Nanos> {
        self.orders
            .iter()
            .find(|(at, z, p, ..)| *at >= from && z == zone && *p == phase)
            .map(|o| o.0)
    }

    /// From when a zone was back until it took nine tenths of what it did before it died, in a
    /// window of two seconds.
    pub fn full(&self, zone: &str, dies: Nanos, back: Nanos) -> Option<Nanos> {
        let tenth = |at: Nanos| (at / (SECOND / 10)) as usize;
        let flow = self.flow.get(zone)?;
        let sum = |from: usize, to: usize| f64::from(flow.iter().take(to).skip(from).sum::<u32>());
        let before = sum(tenth(dies) - 40, tenth(dies)) / 2.0;
        let found =
            (tenth(back)..flow.len().saturating_sub(20)).find(|n| sum(*n, n + 20) >= 0.9 * before);
        // It does so from the middle of that window on.
        found.map(|n| (n as Nanos + 10) * SECOND / 10 - back)
    }

    /// Leaves that the record has.
    pub fn leaves(&self) -> usize {
        self.orders.iter().filter(|o| o.2 == Phase::Left).count()
    }
}

/// Numbers from a seed (splitmix64).
#[derive(Clone, Debug)]
pub struct Draw(u64);

impl Draw {
    /// Of this seed.
    pub fn new(seed: u64) -> Draw {
        Draw(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0x5851_F42D_4C95_7F2D)
    }

    /// Any number.
    pub fn any(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// From 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        (self.any() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Under this.
    pub fn under(&mut self, n: usize) -> usize {
        (self.unit() * n as f64) as usize
    }
}

#[derive(Clone, Debug)]
struct Endpoint {
    state: State,
    back: Option<Nanos>,
    down_until: Nanos,
    came: [u32; STEPS as usize],
    step: u64,
    /// Calls of this second.
    second: (u64, u32),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Came {
    Taken,
    Refused,
    Failed,
    Late,
    Unconnected,
}

#[derive(Clone, Debug, Default)]
struct Care {
    row: u32,
    until: Nanos,
}

/// Calls that were granted.
#[derive(Clone, Debug)]
struct Lent {
    zone: usize,
    dest: u16,
    epoch: u64,
    calls: u32,
    until: Nanos,
}

struct Sender {
    name: String,
    own: usize,
    boot: u64,
    line: ConnectionId,
    open: bool,
    report: u64,
    sent: BTreeMap<u64, Nanos>,
    has: u64,
    view: SenderView,
    counts: BTreeMap<(usize, u16), CallCounts>,
    out: Vec<(Nanos, usize, u16)>,
    care: BTreeMap<(usize, u16), Care>,
    lent: Vec<Lent>,
    told_list: bool,
    heard_at: Nanos,
    next: Nanos,
}

enum Event {
    Message,
    Report(usize),
    Done {
        sender: usize,
        boot: u64,
        zone: usize,
        dest: u16,
        begun: Nanos,
        came: Came,
        tries: u32,
    },
    ToLeader(ConnectionId, AgentToReplica),
    ReplicaToAgent(ConnectionId, ReplicaToAgent),
    Apply(u64, Command),
    Tick,
}

/// Name of a zone of endpoints.
pub fn name(zone: usize) -> String {
    format!("z{zone}")
}

struct World {
    plan: Plan,
    draw: Draw,
    now: Nanos,
    events: BinaryHeap<Reverse<At<Event>>>,
    number: u64,
    senders: Vec<Sender>,
    of_line: BTreeMap<ConnectionId, usize>,
    next_line: ConnectionId,
    endpoints: Vec<Endpoint>,
    cut: BTreeSet<usize>,
    silenced: BTreeSet<usize>,
    links: BTreeSet<(usize, usize)>,
    liars: BTreeMap<usize, usize>,
    traffic: f64,
    record: Record,
    duties: LeaderDuties,
    term: u64,
    index: u64,
    names: Vec<String>,
    list: Vec<ListedZoneCapacity>,
    played: Played,
}

/// Plays it.
pub fn play(plan: &Plan) -> Played {
    let mut draw = Draw::new(plan.seed);
    let own = |n: usize| n % plan.own.max(1);
    let senders = (0..plan.senders).map(|n| Sender {
        name: format!("n{n}"),
        own: own(n),
        boot: 1,
        line: n as ConnectionId + 1,
        open: false,
        report: 0,
        sent: BTreeMap::new(),
        has: 0,
        view: SenderView::default(),
        counts: BTreeMap::new(),
        out: Vec::new(),
        care: BTreeMap::new(),
        lent: Vec::new(),
        told_list: false,
        heard_at: 0,
        next: (draw.unit() * REPORT as f64) as Nanos,
    });
    let senders: Vec<Sender> = senders.collect();
    let calm = Endpoint {
        state: State::Well,
        back: None,
        down_until: 0,
        came: [0; 10],
        step: 0,
        second: (0, 0),
    };
    let all = plan.zones * usize::from(plan.dests) * plan.endpoints as usize;
    let names: Vec<String> = (0..plan.zones).map(name).collect();
    let list = names.iter().flat_map(|zone| {
        (0..plan.dests).map(|dest| ListedZoneCapacity {
            zone: zone.clone(),
            dest,
            endpoints: plan.endpoints,
            calls_per_second: plan.rate as f32,
        })
    });
    let list = list.collect();
    let record = Record::default();
    let mut world = World {
        duties: LeaderDuties::new(plan.rules.clone(), 1, 0, &record),
        of_line: (0..plan.senders)
            .map(|n| (n as ConnectionId + 1, n))
            .collect(),
        next_line: plan.senders as ConnectionId + 1,
        endpoints: vec![calm; all],
        cut: BTreeSet::new(),
        silenced: BTreeSet::new(),
        links: BTreeSet::new(),
        liars: BTreeMap::new(),
        traffic: plan.traffic,
        term: 1,
        index: 0,
        now: 0,
        events: BinaryHeap::new(),
        number: 0,
        played: Played::default(),
        plan: plan.clone(),
        draw,
        senders,
        record,
        names,
        list,
    };
    world.run();
    world.played
}

impl World {
    fn at(&mut self, at: Nanos, event: Event) {
        self.number += 1;
        self.events.push(Reverse(At(at, self.number, event)));
    }

    fn run(&mut self) {
        for n in 0..self.senders.len() {
            self.at(self.senders[n].next, Event::Report(n));
        }
        self.at(0, Event::Tick);
        // The fleet has met its keepers before there is traffic.
        self.at(SECOND, Event::Message);
        let troubles = std::mem::take(&mut self.plan.troubles);
        let mut troubles = troubles.into_iter().peekable();
        while let Some(Reverse(At(at, _, event))) = self.events.pop() {
            while troubles.peek().is_some_and(|(when, _)| *when <= at) {
                if let Some((when, trouble)) = troubles.next() {
                    self.now = when.max(self.now);
                    self.strike(trouble);
                }
            }
            if at > self.plan.lasts {
                return;
            }
            self.now = at;
            self.act(event);
        }
    }

    fn act(&mut self, event: Event) {
        match event {
            Event::Message => {
                let gap = -(1.0 - self.draw.unit()).ln() / self.traffic.max(1e-9);
                self.at(self.now + (gap * SECOND as f64) as Nanos, Event::Message);
                let sender = self.draw.under(self.senders.len());
                let dest = self.draw.under(usize::from(self.plan.dests)) as u16;
                self.message(sender, dest, 0, None);
            }
            Event::Report(n) => self.report(n),
            Event::Done {
                sender,
                boot,
                zone,
                dest,
                begun,
                came,
                tries,
            } => {
                self.done((sender, boot), zone, dest, begun, came, tries);
            }
            Event::ToLeader(line, word) => {
                let mut out = Vec::new();
                self.duties
                    .on_agent_message(self.now, line, &word, &self.record, &mut out);
                self.carry(out);
            }
            Event::ReplicaToAgent(line, word) => self.told(line, word),
            Event::Apply(term, command) => {
                // What a leader proposed that is gone is lost with its term.
                if term == self.term {
                    self.apply(&command);
                }
            }
            Event::Tick => {
                self.at(self.now + TICK, Event::Tick);
                let mut out = Vec::new();
                let real = std::time::Instant::now();
                self.duties.on_tick(self.now, &self.record, &mut out);
                self.played.longest_look = self.played.longest_look.max(real.elapsed());
                self.carry(out);
                self.stranded();
            }
        }
    }

    fn apply(&mut self, command: &Command) {
        self.index += 1;
        let before = self.record.epoch;
        self.record.apply(self.index, command);
        self.played.commands += 1;
        if let Command::SetZonePhase {
            zone,
            phase,
            out,
            reason: why,
            ..
        } = command
        {
            if self.record.epoch > before {
                self.played
                    .orders
                    .push((self.now, zone.clone(), *phase, out.clone(), why.clone()));
            }
        }
        let mut out = Vec::new();
        self.duties
            .on_applied(self.now, self.index, command, &self.record, &mut out);
        self.carry(out);
    }

    fn stranded(&mut self) {
        let out = |zone: &String, dest: u16| {
            let z = self
                .record
                .zones
                .get(zone)
                .filter(|z| z.phase != Phase::Used);
            z.is_some_and(|z| z.out.iter().any(|(d, part)| *d == dest && *part >= 1.0))
        };
        let left = |dest| self.names.iter().all(|zone| out(zone, dest));
        self.played.stranded += (0..self.plan.dests).filter(|d| left(*d)).count() as u32;
    }

    fn carry(&mut self, out: Vec<Effect>) {
        for o in out {
            match o {
                Effect::Propose(command) => {
                    self.at(self.now + COMMIT, Event::Apply(self.term, command))
                }
                Effect::Send(line, word) => {
                    self.at(self.now + WAY, Event::ReplicaToAgent(line, word))
                }
                Effect::Reply(_, answer) => self.played.answers.push((self.now, answer)),
                // This site is in no federation.
                Effect::ProposeToFederation(_) => {}
            }
        }
    }

    fn strike(&mut self, trouble: Trouble) {
        let (dests, each) = (self.plan.dests, self.plan.endpoints);
        match trouble {
            Trouble::Zone(zone, state) => {
                (0..dests).for_each(|d| (0..each).for_each(|e| self.turn(zone, d, e, state)));
            }
            Trouble::Dest(zone, dest, state) => {
                (0..each).for_each(|e| self.turn(zone, dest, e, state))
            }
            Trouble::Everywhere(dest, state) => {
                (0..self.plan.zones)
                    .for_each(|z| (0..each).for_each(|e| self.turn(z, dest, e, state)));
            }
            Trouble::One(zone, dest, e, state) => self.turn(zone, dest, e, state),
            Trouble::Cut(own, on) => flip(&mut self.cut, own, on),
            Trouble::Silenced(own, on) => {
                flip(&mut self.cut, own, on);
                flip(&mut self.silenced, own, on);
            }
            Trouble::Link(own, zone, on) => flip(&mut self.links, (own, zone), on),
            Trouble::Liars(who, zone) => self.liars.extend(who.into_iter().map(|n| (n, zone))),
            Trouble::Leader => {
                self.term += 1;
                self.duties =
                    LeaderDuties::new(self.plan.rules.clone(), self.term, self.now, &self.record);
                (0..self.senders.len()).for_each(|n| self.new_line(n));
            }
            Trouble::Restart(who) => {
                for n in who {
                    self.duties.on_disconnect(self.senders[n].line);
                    self.new_line(n);
                    let s = &mut self.senders[n];
                    (s.boot, s.report, s.has, s.view) = (s.boot + 1, 0, 0, SenderView::default());
                    s.counts.clear();
                    s.out.clear();
                    s.care.clear();
                    s.lent.clear();
                    s.sent.clear();
                }
            }
            Trouble::Unlisted(zone) => {
                self.list.retain(|l| l.zone != self.names[zone]);
                self.senders.iter_mut().for_each(|s| s.told_list = false);
            }
            Trouble::Traffic(times) => self.traffic = self.plan.traffic * times,
            Trouble::Person(word) => {
                let mut out = Vec::new();
                self.duties
                    .on_operator_request(self.now, 0, &word, &self.record, &mut out);
                self.carry(out);
            }
        }
    }

    fn new_line(&mut self, n: usize) {
        self.of_line.remove(&self.senders[n].line);
        let s = &mut self.senders[n];
        (s.line, s.open, s.told_list) = (self.next_line, false, false);
        self.of_line.insert(self.next_line, n);
        self.next_line += 1;
    }

    fn turn(&mut self, zone: usize, dest: u16, e: u32, state: State) {
        let now = self.now;
        let at = self.place(zone, dest, e);
        let endpoint = &mut self.endpoints[at];
        let was_out = !matches!(endpoint.state, State::Well | State::Slow);
        endpoint.state = state;
        if state == State::Well && was_out {
            (endpoint.back, endpoint.came) = (Some(now), [0; 10]);
            self.played.evidence.remove(&self.names[zone]);
        }
    }

    fn place(&self, zone: usize, dest: u16, e: u32) -> usize {
        (zone * usize::from(self.plan.dests) + usize::from(dest)) * self.plan.endpoints as usize
            + e as usize
    }

    fn is_out(&self, n: usize, zone: usize, dest: u16) -> Option<(u64, bool)> {
        let s = &self.senders[n];
        let order = s.view.zones.iter().find(|o| o.zone == self.names[zone])?;
        let part = order.out.iter().find(|(d, _)| *d == dest)?.1;
        (sender_hash_fraction(&s.name, &self.names[zone], dest) < part)
            .then_some((order.epoch, order.returning))
    }

    /// A message looks for a zone: one where calls are granted, else by lot among those that it may
    /// use and that did not fail lately.
    fn message(&mut self, n: usize, dest: u16, tries: u32, not: Option<usize>) {
        if tries > 3 {
            return;
        }
        let now = self.now;
        let lent = &mut self.senders[n].lent;
        lent.retain(|l| l.calls > 0 && now < l.until);
        if let Some(l) = lent
            .iter_mut()
            .find(|l| l.dest == dest && Some(l.zone) != not)
        {
            l.calls -= 1;
            let zone = l.zone;
            self.played.begun += 1;
            return self.call(n, zone, dest, tries);
        }
        let mut zones = Vec::new();
        for zone in (0..self.plan.zones).filter(|z| Some(*z) != not) {
            let rests = self.senders[n]
                .care
                .get(&(zone, dest))
                .is_some_and(|c| c.until > now);
            if !rests && self.is_out(n, zone, dest).is_none() {
                zones.push(zone);
            }
        }
        if !zones.is_empty() {
            let zone = zones[self.draw.under(zones.len())];
            self.call(n, zone, dest, tries);
        }
    }

    /// Calls that could go where only granted ones may: as many as usually come, less what is
    /// granted already.
    fn wants(&mut self, n: usize) -> Vec<AttemptLeaseRequest> {
        let now = self.now;
        let usual = self.traffic / self.senders.len() as f64 / f64::from(self.plan.dests) * AHEAD;
        let usual = (usual + self.draw.unit()) as u32;
        let mut wants = Vec::new();
        for zone in 0..self.plan.zones {
            for dest in
                (0..self.plan.dests).filter(|d| self.is_out(n, zone, *d).is_some_and(|o| o.1))
            {
                let lent = self.senders[n]
                    .lent
                    .iter()
                    .filter(|l| (l.zone, l.dest) == (zone, dest));
                let left: u32 = lent.filter(|l| now < l.until).map(|l| l.calls).sum();
                if usual > left {
                    wants.push(AttemptLeaseRequest {
                        zone: self.names[zone].clone(),
                        dest,
                        attempts: usual - left,
                    });
                }
            }
        }
        wants
    }

    fn call(&mut self, n: usize, zone: usize, dest: u16, tries: u32) {
        let now = self.now;
        self.played.calls += 1;
        self.senders[n].out.push((now, zone, dest));
        let (own, boot) = (self.senders[n].own, self.senders[n].boot);
        let e = self.draw.under(self.plan.endpoints as usize) as u32;
        let quick = 20 * MS + (self.draw.unit() * 60.0) as Nanos * MS;
        let slow = 200 * MS + (self.draw.unit() * 800.0) as Nanos * MS;
        let (came, took) = if self.cut.contains(&own) || self.links.contains(&(own, zone)) {
            (Came::Unconnected, 5 * MS)
        } else {
            match self.comes(zone, dest, e) {
                State::Well if self.has_room(zone, dest, e) => (Came::Taken, quick),
                State::Well => (Came::Refused, quick),
                State::Slow => (Came::Taken, slow),
                State::Down => (Came::Unconnected, 2 * MS),
                State::Errors => (Came::Failed, quick),
                State::Silent => (Came::Late, PATIENCE),
            }
        };
        let event = Event::Done {
            sender: n,
            boot,
            zone,
            dest,
            begun: now,
            came,
            tries,
        };
        self.at(now + took, event);
    }

    /// A call comes to an endpoint, which falls over if it is cold and gets too much.
    fn comes(&mut self, zone: usize, dest: u16, e: u32) -> State {
        let (now, rules) = (self.now, self.plan.rules.zones.clone());
        let rate = self.plan.rate / f64::from(self.plan.endpoints);
        let at = self.place(zone, dest, e);
        let endpoint = &mut self.endpoints[at];
        if now < endpoint.down_until {
            return State::Down;
        }
        let (warm, long) = (
            Nanos::from(rules.warmup_ms) * MS,
            Nanos::from(rules.overload_window_ms) * MS,
        );
        let cold = endpoint.back.filter(|back| now < back + warm && long > 0);
        if let Some(back) = cold.filter(|_| endpoint.state == State::Well) {
            let step = now / (long / STEPS);
            for gone in endpoint.step + 1..=step.min(endpoint.step + STEPS) {
                endpoint.came[(gone % STEPS) as usize] = 0;
            }
            endpoint.step = endpoint.step.max(step);
            endpoint.came[(step % STEPS) as usize] += 1;
            let part = (now - back) as f64 / warm as f64;
            let warmth = rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * part;
            let n =
                rules.overload_factor * warmth * rate * f64::from(rules.overload_window_ms) / 1e3;
            let roots = if n < 30.0 { 3.0 } else { 2.0 };
            if f64::from(endpoint.came.iter().sum::<u32>()) > n + roots * n.sqrt() + roots {
                self.played.toppled += 1;
                (endpoint.down_until, endpoint.back) = (now + DOWN, Some(now + DOWN));
                endpoint.came = [0; 10];
                return State::Down;
            }
        }
        endpoint.state
    }

    fn has_room(&mut self, zone: usize, dest: u16, e: u32) -> bool {
        let (at, second) = (self.place(zone, dest, e), self.now / SECOND);
        // What is listed is a mean over a second; half as much again is chance.
        let most = (self.plan.rate / f64::from(self.plan.endpoints) * 1.5).max(3.0) as u32;
        let endpoint = &mut self.endpoints[at];
        if endpoint.second.0 != second {
            endpoint.second = (second, 0);
        }
        endpoint.second.1 += 1;
        endpoint.second.1 <= most
    }

    fn done(
        &mut self,
        (n, boot): (usize, u64),
        zone: usize,
        dest: u16,
        begun: Nanos,
        came: Came,
        tries: u32,
    ) {
        let now = self.now;
        let s = &mut self.senders[n];
        if s.boot != boot {
            return;
        }
        if let Some(at) = s.out.iter().position(|o| *o == (begun, zone, dest)) {
            s.out.swap_remove(at);
        }
        let counts = s.counts.entry((zone, dest)).or_default();
        match came {
            Came::Taken => counts.delivered += 1,
            Came::Refused => counts.rejected += 1,
            Came::Failed => counts.failed += 1,
            Came::Late => counts.timed_out += 1,
            Came::Unconnected => counts.connect_failed += 1,
        }
        let care = s.care.entry((zone, dest)).or_default();
        match came {
            Came::Taken => {
                *care = Care::default();
                self.played.taken += 1;
                let (tenth, name) = ((now / (SECOND / 10)) as usize, self.names[zone].clone());
                let flow = self.played.flow.entry(name).or_default();
                flow.resize(flow.len().max(tenth + 1), 0);
                flow[tenth] += 1;
                return;
            }
            Came::Refused => care.until = now + 500 * MS,
            _ => {
                care.row += 1;
                if care.row >= 2 {
                    care.until = now + (SECOND << care.row.min(5)) / 4;
                }
                self.played
                    .evidence
                    .entry(self.names[zone].clone())
                    .or_insert(now);
            }
        }
        self.message(n, dest, tries + 1, Some(zone));
    }

    fn report(&mut self, n: usize) {
        let now = self.now;
        self.at(now + REPORT, Event::Report(n));
        if self.silenced.contains(&self.senders[n].own) {
            return;
        }
        let s = &mut self.senders[n];
        let line = s.line;
        if !s.open {
            let (sender, boot, zone) = (s.name.clone(), s.boot, format!("own{}", s.own));
            let open = AgentToReplica::OpenSession {
                sender,
                boot,
                zone,
                record_version: s.has,
                stored: None,
            };
            self.at(now + WAY, Event::ToLeader(line, open));
            return;
        }
        for (begun, zone, dest) in &s.out {
            if now - begun > HANGS {
                s.counts.entry((*zone, *dest)).or_default().hanging += 1;
                self.played
                    .evidence
                    .entry(self.names[*zone].clone())
                    .or_insert(now);
            }
        }
        let mut seen: Vec<ZoneCallCounts> = std::mem::take(&mut s.counts)
            .into_iter()
            .map(|((zone, dest), counts)| ZoneCallCounts {
                zone: self.names[zone].clone(),
                dest,
                counts,
            })
            .collect();
        if let Some(zone) = self.liars.get(&n) {
            seen.clear();
            let counts = CallCounts {
                failed: 1_000_000,
                hanging: 1_000,
                ..CallCounts::default()
            };
            let lies = (0..self.plan.dests).map(|dest| ZoneCallCounts {
                zone: self.names[*zone].clone(),
                dest,
                counts,
            });
            seen.extend(lies);
        }
        let listed = (!s.told_list).then(|| self.list.clone());
        s.told_list = true;
        let wants = self.wants(n);
        let s = &mut self.senders[n];
        s.report += 1;
        s.sent.insert(s.report, now);
        s.sent = s.sent.split_off(&s.report.saturating_sub(20));
        let (report, has) = (s.report, s.has);
        self.at(
            now + WAY,
            Event::ToLeader(
                line,
                AgentToReplica::Report {
                    report,
                    record_version: has,
                    call_counts: seen,
                    listed,
                    lease_requests: wants,
                    outcomes: Vec::new(),
                },
            ),
        );
    }

    fn told(&mut self, line: ConnectionId, word: ReplicaToAgent) {
        let now = self.now;
        let Some(n) = self.of_line.get(&line).copied() else {
            return;
        };
        if self.silenced.contains(&self.senders[n].own) {
            return;
        }
        match word {
            ReplicaToAgent::LeaseRenewed { .. } => self.senders[n].open = true,
            ReplicaToAgent::UnknownSession => self.senders[n].open = false,
            // These senders follow no policies and no tables.
            ReplicaToAgent::NotLeader(_)
            | ReplicaToAgent::OfferPolicy { .. }
            | ReplicaToAgent::ApplyPolicy { .. }
            | ReplicaToAgent::RoutingTable(_) => {}
            ReplicaToAgent::View(view) => {
                let newest = view.zones.iter().map(|z| z.epoch).max().unwrap_or(0);
                let s = &mut self.senders[n];
                (s.has, s.view, s.heard_at) = (view.version, view, now);
                let heard = self.played.heard.entry(newest).or_default();
                *heard = (*heard).max(now);
                let lent = std::mem::take(&mut self.senders[n].lent);
                let stands = |l: &Lent| self.is_out(n, l.zone, l.dest) == Some((l.epoch, true));
                let lent = lent.into_iter().filter(stands).collect();
                self.senders[n].lent = lent;
            }
            ReplicaToAgent::GrantAttempts(grant) => {
                self.played.granted += u64::from(grant.attempts);
                let Some(zone) = self.names.iter().position(|z| *z == grant.zone) else {
                    return;
                };
                let sent = self.senders[n]
                    .sent
                    .get(&grant.report)
                    .copied()
                    .unwrap_or(0);
                let stands = self.is_out(n, zone, grant.dest) == Some((grant.epoch, true));
                let until = sent + Nanos::from(grant.within_ms) * MS;
                if stands && now < until {
                    let AttemptLeaseGrant {
                        dest,
                        epoch,
                        attempts: calls,
                        ..
                    } = grant;
                    self.senders[n].lent.push(Lent {
                        zone,
                        dest,
                        epoch,
                        calls,
                        until,
                    });
                }
            }
        }
    }
}

fn flip<T: Ord>(set: &mut BTreeSet<T>, what: T, on: bool) {
    if on {
        set.insert(what);
    } else {
        set.remove(&what);
    }
}

/// A plan that is calm: so many senders, zones, and a traffic of which the rest can bear a zone's
/// part.
pub fn calm(senders: usize, zones: usize, seed: u64) -> Plan {
    let mut rules = LeaderRules::default();
    rules.zones.initial_capacity_share = 0.1;
    rules.zones.warmup_ms = 20_000;
    rules.zones.overload_factor = 1.5;
    rules.zones.overload_window_ms = 3_000;
    let dests = 6;
    // Fleets are asked for more than a sender alone; zones share it.
    let traffic = 30.0 * zones as f64 * (senders as f64 / 100.0).clamp(1.0, 4.0);
    let rate = traffic / zones as f64 / f64::from(dests) * 2.0;
    let (own, endpoints, lasts, troubles) = (3.min(senders), 2, 30 * SECOND, Vec::new());
    Plan {
        senders,
        zones,
        own,
        dests,
        endpoints,
        rate,
        traffic,
        lasts,
        rules,
        seed,
        troubles,
    }
}

/// What a zone's death and its return show, as the last line of the command tells it.
#[derive(Debug, serde::Serialize)]
pub struct Figures {
    /// Zones.
    pub zones: usize,
    /// From the first evidence until all had heard that it is left, in milliseconds.
    pub left_after_ms: Option<u64>,
    /// From when the zone died until it was asked for the first time whether it is back.
    pub return_after_ms: Option<u64>,
    /// From when the zone was back until it took nine tenths of what it did before, as a multiple
    /// of the warm-up.
    pub full: Option<f64>,
    /// The same until the zone was in use by all.
    pub used: Option<f64>,
    /// Endpoints that fell over.
    pub toppled: u32,
    /// Calls granted, and those begun.
    pub granted: u64,
    /// Of these.
    pub begun: u64,
    /// Commands in the record.
    pub commands: u64,
    /// Longest look of the leader, in milliseconds of this machine.
    pub look_ms: f64,
    /// Breaches: leaves of other zones, destinations without a route, endpoints toppled, what took
    /// longer than it may.
    pub broken: u32,
}

/// Plays the death of a zone and its return: it is left within 1.5 s of the evidence and full
/// within 1.3 of the warm-up.
pub fn outage(senders: usize, zones: usize, seed: u64) -> Figures {
    let (dies, back) = (8 * SECOND, 20 * SECOND);
    let mut plan = calm(senders, zones, seed);
    plan.lasts = back + 70 * SECOND;
    plan.troubles = vec![
        (dies, Trouble::Zone(0, State::Down)),
        (back, Trouble::Zone(0, State::Well)),
    ];
    let mut until = plan.clone();
    (until.lasts, until.troubles) = (back - SECOND, vec![(dies, Trouble::Zone(0, State::Down))]);
    let left = play(&until);
    let played = play(&plan);
    let first = left.evidence.get("z0");
    let left_after_ms = first.and_then(|at| Some((left.heard.get(&1)? - at) / MS));
    let began = played.when("z0", Phase::Returning, dies);
    let used = played.when("z0", Phase::Used, back);
    let ideal = f64::from(plan.rules.zones.warmup_ms) * 1e6;
    let used = used.map(|used| (used - back) as f64 / ideal);
    let full = played
        .full("z0", dies, back)
        .map(|full| full as f64 / ideal);
    let others = played.orders.iter().filter(|o| o.1 != "z0").count() as u32;
    let late = u32::from(left_after_ms.is_none_or(|ms| ms > 1_500));
    let slow = u32::from(full.is_none_or(|full| full > 1.3));
    Figures {
        zones,
        left_after_ms,
        return_after_ms: began.map(|at| (at - dies) / MS),
        full,
        used,
        toppled: played.toppled,
        granted: played.granted,
        begun: played.begun,
        commands: played.commands,
        look_ms: played.longest_look.as_secs_f64() * 1e3,
        broken: others + late + slow + played.toppled + played.stranded,
    }
}
