//! Draws from a seed the order of events between a federation, two sites with a leader each (one of
//! which is deposed and continues to run), and two senders per site, with the production state
//! machines [`Cutover`], [`Record`] and [`Federation`]. Plain agreed logs replace the replicas' and
//! the sites' consensus. Senders' leases are counted in steps: a sender that the current leader
//! does not renew loses its lease.

use super::printed;
use raildeal::coordination::messages::{
    AgentTableMessage, Digest, ReplicaTableMessage, SiteAdmission,
};
use raildeal::coordination::record::{Command, Record};
use raildeal::coordination::routing_table::cutover::{Cutover, CutoverEffect};
use raildeal::coordination::routing_table::federation::{self, Federation, DECIDED};
use raildeal::coordination::routing_table::federation_view::FederationView;
use raildeal::coordination::routing_table::tables::Change;
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

const MS: u64 = 1_000_000;
/// Time step, in milliseconds: longer than a pause.
const STEP: u64 = 500;
const SITES: usize = 2;
const SENDERS: usize = 2;
/// Length of a site's lease, in milliseconds.
const LEASE: u64 = 4 * STEP;
/// Number of steps after which a sender that is not renewed loses its lease.
const EXPIRY_STEPS: u8 = 3;
/// Time after the site's lease by which it is fenced, in milliseconds: a leader sees the expiry and
/// holds, or the senders' leases end. A leader that dies in the meantime adds the same time again.
const FENCE: u64 = 2 * (EXPIRY_STEPS as u64 + 2) * STEP;

/// A fault that is injected to see that the model detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A site cuts over without its senders' confirmations.
    CommitsUnconfirmed,
    /// A site accepts without its senders' confirmations.
    AcceptsUnconfirmed,
    /// A site cuts over to an accepted table before it is decided.
    Undecided,
    /// A table is decided although one acceptance is missing.
    OneShort,
    /// Senders apply messages of earlier turns.
    ObeysEarlier,
    /// No site holds after its lease.
    NoHold,
    /// A deposed leader continues to renew leases, and learns of no hold.
    DeposedRenews,
    /// Sites do not report that they have cut over.
    NeverReports,
}

#[derive(Clone, Debug)]
struct Leader {
    term: u64,
    cutover: Cutover,
    record: Record,
    proposed: Vec<Command>,
    /// Number of commands of the federation's log that its member has received, the resulting
    /// record, and the end of the site's lease.
    heard: usize,
    federation: Arc<Federation>,
    lease: Option<u64>,
    dead: bool,
}

#[derive(Clone, Debug, Default)]
struct Sender {
    boot: u64,
    /// The leader to which it is connected, by term, and the number of the connection; 0 means
    /// none.
    line: (u64, u64),
    lease: bool,
    /// Number of steps without a renewal.
    steps_without_renewal: u8,
    heard: Option<(u64, SiteAdmission)>,
    turn: u64,
    stored: BTreeMap<u64, Digest>,
}

#[derive(Clone, Debug)]
struct Site {
    number: u64,
    log: Vec<Command>,
    leaders: Vec<Leader>,
    senders: [Sender; SENDERS],
    /// Time at which a leader last led.
    last_led_at: u64,
    /// Latest end of the site's lease that any leader was granted.
    latest_lease_end: u64,
    /// Messages to senders: the sender, the connection and the message.
    messages: Vec<(usize, (u64, u64), ReplicaTableMessage)>,
}

/// Number of faults of each kind that may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RemainingFaults {
    deaths: u8,
    elections: u8,
    lost: u8,
    duplicated: u8,
    restarts: u8,
    refusals: u8,
    removals: u8,
    cut_offs: u8,
    /// Number of times a sender may return to a deposed leader.
    returns_to_deposed: u8,
}

#[derive(Clone, Debug)]
struct State {
    now: u64,
    federation: Federation,
    log: Vec<federation::Command>,
    /// Messages to the federation.
    messages: Vec<federation::Command>,
    sites: [Site; SITES],
    lines: u64,
    left: RemainingFaults,
    proposals: u64,
    /// The site that is cut off from the others, if any.
    cut: Option<usize>,
    decided: Vec<u64>,
    /// Whether the expected final state was reached once no further faults happened.
    settled: Option<bool>,
    wrong: Vec<&'static str>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, to: &mut H) {
        // The content of the logs is already in the records.
        let sites: Vec<_> = self
            .sites
            .iter()
            .map(|s| {
                let leaders: Vec<_> = s
                    .leaders
                    .iter()
                    .map(|l| (&l.cutover, &l.record.tables, &l.proposed, l.heard, l.lease))
                    .collect();
                (leaders, &s.senders, &s.messages, s.latest_lease_end)
            })
            .collect();
        let all = (
            self.now,
            self.log.len(),
            &self.messages,
            sites,
            self.left,
            self.cut,
            self.settled,
            &self.wrong,
        );
        printed::hash(&all, to);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        printed::same(self, other)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    Later,
    Commit(usize),
    Dies(usize),
    /// Another leader is elected; the flag says whether its log has the last leader's proposals.
    Elect(usize, bool),
    /// A message arrives; the flags say whether the response is lost and whether the message stays
    /// to arrive once more.
    Arrives(usize, usize, bool, bool),
    Lost(usize, usize),
    Refuses(usize, usize),
    /// A sender opens a session with a leader.
    Opens(usize, usize, usize),
    Restarts(usize, usize),
    /// A command to the federation is committed; the flag says whether it stays to be committed
    /// once more.
    Agreed(usize, bool),
    LostThere(usize),
    /// A leader's member receives the committed commands: all, or only the next.
    Hears(usize, usize, bool),
    /// The federation grants a site's lease, and this leader's member receives it.
    Counts(usize, usize),
    Propose,
    Abort,
    Cut(usize),
    Heals,
    Off(usize),
    Join(usize),
    /// Runs to the end without further faults.
    Settle,
}

struct Sites {
    fault: Fault,
    left: RemainingFaults,
    proposals: u64,
    until: u64,
}

fn name(n: usize) -> String {
    format!("n{n}")
}

impl Sites {
    fn last(&self, s: &State, at: usize) -> usize {
        s.sites[at].leaders.len() - 1
    }

    fn admitted_table(&self, s: &State, at: usize, n: usize) -> Option<u64> {
        let sender = &s.sites[at].senders[n];
        let (number, stance) = sender.heard.filter(|_| sender.lease)?;
        let has = number == 0 || sender.stored.contains_key(&number);
        (stance == SiteAdmission::Open && has).then_some(number)
    }

    /// Checks the invariants that hold at any time.
    fn check_invariants(&self, s: &mut State) {
        let mut all: Vec<u64> = Vec::new();
        for at in 0..SITES {
            let tables: Vec<u64> = (0..SENDERS)
                .filter_map(|n| self.admitted_table(s, at, n))
                .collect();
            if tables.windows(2).any(|w| w[0] != w[1]) {
                s.wrong.push("two tables in a site");
            }
            if !tables.is_empty() && s.now > s.sites[at].latest_lease_end + FENCE {
                s.wrong.push("taken on beyond the lease");
            }
            all.extend(tables);
        }
        all.sort();
        all.dedup();
        let places: Option<Vec<usize>> = all
            .iter()
            .map(|n| s.decided.iter().position(|d| d == n))
            .collect();
        match places.as_deref() {
            None => s.wrong.push("a table that was not decided"),
            Some([] | [_]) => {}
            Some([a, b]) if *b == a + 1 => {}
            Some(_) => s.wrong.push("tables in use that do not follow each other"),
        }
    }

    fn commit_to_federation(&self, s: &mut State, command: federation::Command) {
        let before = s.federation.clone();
        let record = &mut s.federation;
        if let (Fault::OneShort, federation::Command::Accept { site, .. }, Some(p)) =
            (self.fault, &command, record.proposal.as_mut())
        {
            let others: Vec<u64> = record
                .sites
                .keys()
                .copied()
                .filter(|other| other != site)
                .collect();
            p.accepted.extend(others);
        }
        record.apply(s.log.len() as u64 + 1, &command);
        s.log.push(command);
        if record.table.number > before.table.number {
            let number = record.table.number;
            for at in 0..SITES {
                let on = before.sites.contains_key(&s.sites[at].number);
                let site = &s.sites[at];
                let said = site.log.iter().any(
                    |c| matches!(c, Command::ChangeTables { change, .. } if **change == Change::Accept { number }),
                );
                if on && !said {
                    s.wrong.push("decided without the word of all");
                }
            }
            s.decided.push(number);
        }
    }

    /// Sends a sender the messages that are due from a leader.
    fn say(&self, s: &mut State, at: usize, which: usize, n: usize) {
        let now = s.now * MS;
        let site = &mut s.sites[at];
        let (leader, line) = (&mut site.leaders[which], site.senders[n].line);
        if line.0 != leader.term || leader.dead {
            return;
        }
        let messages = &mut site.messages;
        leader
            .cutover
            .send_due_messages(now, &name(n), &leader.record, &mut 10, &mut |message| {
                if !messages.contains(&(n, line, message.clone())) {
                    messages.push((n, line, message));
                }
            });
    }

    fn out(&self, s: &mut State, at: usize, which: usize, out: Vec<CutoverEffect>) {
        let leads = which == self.last(s, at);
        for out in out {
            let site = &mut s.sites[at];
            let leader = &mut site.leaders[which];
            match out {
                CutoverEffect::ProposeToSite(change) => {
                    if let Change::Accept { number } = &change {
                        // A sender that joins before the record has the acceptance is asked again.
                        let live = |n: usize| {
                            let member = leader.record.roster.get(&name(n));
                            member.is_some_and(|m| m.live && m.boot == site.senders[n].boot)
                        };
                        if (0..SENDERS)
                            .any(|n| live(n) && !site.senders[n].stored.contains_key(number))
                        {
                            s.wrong.push("accepted without the word of a sender");
                        }
                    }
                    if self.fault == Fault::NoHold && change == Change::Hold {
                        continue;
                    }
                    let base = leader.record.tables.turn;
                    let command = Command::ChangeTables {
                        base,
                        change: Box::new(change),
                    };
                    // A deposed leader commits nothing to the record.
                    if leads && !leader.proposed.contains(&command) {
                        leader.proposed.push(command);
                    }
                }
                CutoverEffect::ProposeToFederation(command) => {
                    let silent = self.fault == Fault::NeverReports
                        && matches!(command, federation::Command::CutOver { .. });
                    if !silent && s.cut != Some(at) && !s.messages.contains(&command) {
                        s.messages.push(command);
                    }
                }
            }
        }
    }

    fn known(&self, s: &State, at: usize, which: usize) -> FederationView {
        let (site, leader) = (&s.sites[at], &s.sites[at].leaders[which]);
        FederationView {
            name: "f".into(),
            own_site: site.number,
            record: leader.federation.clone(),
            leader: 1,
            reachable_sites: if s.cut.is_none() {
                leader.federation.sites.keys().copied().collect()
            } else {
                BTreeSet::new()
            },
            lease_until: leader.lease.map(|until| until * MS),
            holds_after_lease: true,
        }
    }

    fn tick(&self, s: &mut State, at: usize, which: usize) {
        let (now, known) = (s.now * MS, self.known(s, at, which));
        let leader = &mut s.sites[at].leaders[which];
        if leader.dead {
            return;
        }
        let mut out = Vec::new();
        leader
            .cutover
            .on_tick(now, &leader.record, Some(&known), &mut out);
        let tables = &leader.record.tables;
        let fault = match self.fault {
            Fault::CommitsUnconfirmed if tables.register.stance == SiteAdmission::Paused => {
                Some(Change::Commit)
            }
            Fault::AcceptsUnconfirmed => {
                tables
                    .offered
                    .as_ref()
                    .filter(|o| !o.accepted)
                    .map(|o| Change::Accept {
                        number: o.table.number,
                    })
            }
            Fault::Undecided => tables
                .offered
                .as_ref()
                .filter(|o| o.accepted && tables.next.is_none())
                .map(|o| Change::Decide {
                    table: o.table.clone(),
                }),
            _ => None,
        };
        out.extend(fault.map(CutoverEffect::ProposeToSite));
        self.out(s, at, which, out);
        (0..SENDERS).for_each(|n| self.say(s, at, which, n));
    }

    fn elect(&self, s: &mut State, at: usize) {
        let (now, last_led_at) = (s.now, s.sites[at].last_led_at);
        let mut record = Record::default();
        let site = &mut s.sites[at];
        // The first heartbeat of a term counts the time without a leader.
        let term = site.leaders.last().map_or(0, |l| l.term) + 1;
        for (index, command) in site.log.iter().enumerate() {
            record.apply(index as u64 + 1, command);
        }
        site.last_led_at = now;
        // Its member may know less of the federation than that of the last leader.
        let joined = s
            .log
            .iter()
            .rposition(|c| matches!(c, federation::Command::Join { .. }))
            .map_or(0, |at| at + 1);
        let mut federation = Federation::default();
        s.log[..joined]
            .iter()
            .enumerate()
            .for_each(|(index, c)| federation.apply(index as u64 + 1, c));
        site.leaders.push(Leader {
            term,
            cutover: Cutover::new(now * MS, Some(last_led_at * MS)),
            record,
            proposed: Vec::new(),
            heard: joined,
            federation: Arc::new(federation),
            lease: None,
            dead: false,
        });
        let which = self.last(s, at);
        self.tick(s, at, which);
        self.commit(
            s,
            at,
            Command::AdvanceClock {
                term,
                beat: 1,
                ms: (now - last_led_at) as u32,
            },
        );
    }

    fn commit(&self, s: &mut State, at: usize, command: Command) {
        let now = s.now * MS;
        let which = self.last(s, at);
        s.sites[at].log.push(command.clone());
        let index = s.sites[at].log.len() as u64;
        let leader = &mut s.sites[at].leaders[which];
        let before = leader.record.tables.clone();
        leader.record.apply(index, &command);
        let (term, record) = (leader.term, leader.record.clone());
        let after = &record.tables;
        if after.turn < before.turn {
            s.wrong.push("a turn that shrank");
        }
        if after.register.number != before.register.number {
            let number = after.register.number;
            if (0..SENDERS).any(|n| {
                self.admitted_table(s, at, n)
                    .is_some_and(|uses| uses != number)
            }) {
                s.wrong.push("a change without the word of all");
            }
            if !s.decided.contains(&number) {
                s.wrong.push("a change before it was decided");
            }
        }
        match &command {
            Command::ChangeTables { change, .. } => {
                let leader = &mut s.sites[at].leaders[which];
                leader.cutover.on_applied(now, index, change, &record);
            }
            Command::AddSender { sender, boot, .. } => {
                let n = (0..SENDERS)
                    .find(|n| name(*n) == *sender)
                    .expect("a sender");
                if s.sites[at].senders[n].boot == *boot && s.sites[at].senders[n].line.0 == term {
                    self.open_session(s, at, which, n);
                }
            }
            Command::ExpireSender { sender, .. } => {
                s.sites[at].leaders[which].cutover.on_session_closed(sender);
            }
            _ => {}
        }
        (0..SENDERS).for_each(|n| self.say(s, at, which, n));
    }

    fn open_session(&self, s: &mut State, at: usize, which: usize, n: usize) {
        let now = s.now * MS;
        let site = &mut s.sites[at];
        let (leader, sender) = (&mut site.leaders[which], &mut site.senders[n]);
        leader.cutover.on_session_opened(&name(n), sender.boot);
        let has = AgentTableMessage::StoredTables(
            sender
                .stored
                .iter()
                .map(|(number, digest)| (*number, *digest))
                .collect(),
        );
        if !sender.lease {
            (sender.lease, sender.heard) = (true, None);
        }
        sender.steps_without_renewal = 0;
        let mut out = Vec::new();
        leader
            .cutover
            .on_sender_message(now, &name(n), &has, &leader.record, &mut out);
        self.out(s, at, which, out);
        self.say(s, at, which, n);
    }

    /// Delivers a message to its sender, which responds unless the response is lost.
    fn arrives(
        &self,
        s: &mut State,
        at: usize,
        message: (usize, (u64, u64), ReplicaTableMessage),
        lost: bool,
        refuses: bool,
    ) {
        let now = s.now * MS;
        let (n, line, message) = message;
        let site = &mut s.sites[at];
        let sender = &mut site.senders[n];
        if sender.line != line {
            return;
        }
        let mut answers = Vec::new();
        match message {
            ReplicaTableMessage::OfferTable { number, digest, .. } => {
                if !refuses {
                    sender.stored.insert(number, digest);
                    while sender.stored.len() > 3 {
                        let uses = sender.heard.map_or(0, |h| h.0);
                        let first = sender
                            .stored
                            .keys()
                            .copied()
                            .find(|n| *n != uses)
                            .expect("one of four");
                        sender.stored.remove(&first);
                    }
                }
                answers.push(AgentTableMessage::TableChecked {
                    number,
                    refused: refuses.then(|| "no".into()),
                });
                if sender.heard == Some((number, SiteAdmission::Open)) && !refuses {
                    answers.push(AgentTableMessage::TableApplied { turn: sender.turn });
                }
            }
            ReplicaTableMessage::ApplyTable {
                turn,
                number,
                admission: stance,
            } => {
                if turn < sender.turn && self.fault != Fault::ObeysEarlier {
                    return;
                }
                if sender.lease {
                    (sender.turn, sender.heard) = (turn, Some((number, stance)));
                    if stance != SiteAdmission::Open
                        || number == 0
                        || sender.stored.contains_key(&number)
                    {
                        answers.push(AgentTableMessage::TableApplied { turn });
                    }
                }
            }
        }
        let Some(which) = site
            .leaders
            .iter()
            .position(|l| l.term == line.0)
            .filter(|_| !lost)
        else {
            return;
        };
        let mut out = Vec::new();
        let leader = &mut site.leaders[which];
        if leader.dead {
            return;
        }
        for answer in answers {
            leader
                .cutover
                .on_sender_message(now, &name(n), &answer, &leader.record, &mut out);
        }
        self.out(s, at, which, out);
        (0..SENDERS).for_each(|n| self.say(s, at, which, n));
    }

    fn break_connection(&self, s: &mut State, at: usize, n: usize, line: (u64, u64)) {
        let sender = &mut s.sites[at].senders[n];
        if sender.line == line {
            sender.line = (0, 0);
        }
    }

    fn opens(&self, s: &mut State, at: usize, n: usize, which: usize) {
        s.lines += 1;
        let lines = s.lines;
        let site = &mut s.sites[at];
        let leader = &mut site.leaders[which];
        let sender = &mut site.senders[n];
        sender.line = (leader.term, lines);
        let boot = sender.boot;
        let live = leader
            .record
            .roster
            .get(&name(n))
            .is_some_and(|m| m.live && m.boot == boot);
        let ends =
            |c: &Command| matches!(c, Command::ExpireSender { sender, .. } if *sender == name(n));
        if live && !leader.proposed.iter().any(ends) {
            self.open_session(s, at, which, n);
        } else {
            leader.proposed.push(Command::AddSender {
                sender: name(n),
                boot,
                zone: "a".into(),
            });
        }
    }

    /// Advances time by one step: heartbeats are committed, leases are renewed or not, and expired
    /// senders are found.
    fn advance(&self, s: &mut State) {
        s.now += STEP;
        for at in 0..SITES {
            let last = self.last(s, at);
            if !s.sites[at].leaders[last].dead {
                let term = s.sites[at].leaders[last].term;
                self.commit(
                    s,
                    at,
                    Command::AdvanceClock {
                        term,
                        beat: s.now,
                        ms: STEP as u32,
                    },
                );
                s.sites[at].last_led_at = s.now;
            }
            let site = &mut s.sites[at];
            let leader = &site.leaders[last];
            let (term, dead) = (leader.term, leader.dead);
            // A leader renews no lease while its site has to hold and the record does not say so
            // yet.
            let renews = !dead
                && (!leader.cutover.must_withhold_leases(&leader.record)
                    || self.fault == Fault::NoHold);
            let deposed = self.fault == Fault::DeposedRenews;
            for sender in &mut site.senders {
                let on = sender.line.0 == term && renews
                    || deposed && sender.line.0 != 0 && sender.line.0 < term;
                sender.steps_without_renewal = if on {
                    0
                } else {
                    sender.steps_without_renewal.saturating_add(1)
                };
                if sender.lease && sender.steps_without_renewal >= EXPIRY_STEPS {
                    (sender.lease, sender.heard, sender.line) = (false, None, (0, 0));
                }
            }
            for n in 0..SENDERS {
                let site = &mut s.sites[at];
                let (sender, leader) = (&site.senders[n], &mut site.leaders[last]);
                let live = leader
                    .record
                    .roster
                    .get(&name(n))
                    .filter(|m| m.live && m.boot <= sender.boot);
                let gone = !sender.lease || live.is_some_and(|m| m.boot < sender.boot);
                let waits = leader.proposed.iter().any(|c| matches!(c, Command::ExpireSender { sender, .. } | Command::AddSender { sender, .. } if *sender == name(n)));
                if let Some(m) = live.filter(|_| gone && !dead && !waits) {
                    leader.proposed.push(Command::ExpireSender {
                        sender: name(n),
                        boot: m.boot,
                    });
                }
            }
            (0..s.sites[at].leaders.len()).for_each(|which| self.tick(s, at, which));
        }
    }

    fn receive_commands(&self, s: &mut State, at: usize, which: usize, all: bool) {
        let to = if all {
            s.log.len()
        } else {
            (s.sites[at].leaders[which].heard + 1).min(s.log.len())
        };
        let leader = &mut s.sites[at].leaders[which];
        let mut record = (*leader.federation).clone();
        for index in leader.heard..to {
            record.apply(index as u64 + 1, &s.log[index]);
        }
        (leader.heard, leader.federation) = (to, Arc::new(record));
        self.tick(s, at, which);
    }

    fn grant_site_lease(&self, s: &mut State, at: usize, which: usize) {
        let until = s.now + LEASE;
        let site = &mut s.sites[at];
        let number = site.number;
        if site.leaders[which].federation.sites.contains_key(&number) {
            site.latest_lease_end = site.latest_lease_end.max(until);
            site.leaders[which].lease = Some(until);
            self.tick(s, at, which);
        }
    }

    /// Returns whether all sites on the roster, and all their senders, use the decided table.
    fn is_settled(&self, s: &State) -> bool {
        let number = s.federation.table.number;
        s.federation.proposal.is_none()
            && s.federation.sites.values().all(|site| site.uses == number)
            && (0..SITES).all(|at| {
                !s.federation.sites.contains_key(&s.sites[at].number)
                    || (0..SENDERS).all(|n| self.admitted_table(s, at, n) == Some(number))
            })
    }

    /// Runs without further faults until the final state is reached or the steps are used up.
    fn settle(&self, s: &mut State) {
        s.cut = None;
        for _ in 0..300 {
            for at in 0..SITES {
                if s.sites[at].leaders[self.last(s, at)].dead {
                    self.elect(s, at);
                }
                let last = self.last(s, at);
                self.receive_commands(s, at, last, true);
                self.grant_site_lease(s, at, last);
                for n in 0..SENDERS {
                    let term = s.sites[at].leaders[last].term;
                    if s.sites[at].senders[n].line.0 != term {
                        self.opens(s, at, n, last);
                    }
                }
                for _ in 0..10 {
                    let messages = std::mem::take(&mut s.sites[at].messages);
                    messages
                        .into_iter()
                        .for_each(|message| self.arrives(s, at, message, false, false));
                    let last = self.last(s, at);
                    let proposed = std::mem::take(&mut s.sites[at].leaders[last].proposed);
                    proposed
                        .into_iter()
                        .for_each(|command| self.commit(s, at, command));
                }
            }
            std::mem::take(&mut s.messages)
                .into_iter()
                .for_each(|command| self.commit_to_federation(s, command));
            self.check_invariants(s);
            if self.is_settled(s) {
                s.settled = Some(true);
                return;
            }
            let ms = STEP as u32;
            self.commit_to_federation(
                s,
                federation::Command::Beat {
                    term: 1,
                    beat: s.now,
                    ms,
                },
            );
            self.advance(s);
        }
        s.settled = Some(false);
        s.wrong.push("it never ends");
    }
}

impl Model for Sites {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let now = 100_000;
        let site = |number: u64| Site {
            number,
            log: Vec::new(),
            leaders: Vec::new(),
            senders: Default::default(),
            last_led_at: now,
            latest_lease_end: now,
            messages: Vec::new(),
        };
        let mut s = State {
            now,
            federation: Federation::default(),
            log: Vec::new(),
            messages: Vec::new(),
            sites: [site(1), site(2)],
            lines: 0,
            left: self.left,
            proposals: self.proposals,
            cut: None,
            decided: vec![0],
            settled: None,
            wrong: Vec::new(),
        };
        for at in 0..SITES {
            self.commit_to_federation(
                &mut s,
                federation::Command::Join {
                    site: at as u64 + 1,
                    name: format!("s{at}"),
                },
            );
        }
        for at in 0..SITES {
            s.sites[at]
                .senders
                .iter_mut()
                .for_each(|sender| sender.boot = 1);
            self.elect(&mut s, at);
        }
        self.settle(&mut s);
        s.settled = None;
        vec![s]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.settled.is_some() {
            return;
        }
        if s.now >= 100_000 + self.until {
            actions.push(Action::Settle);
            return;
        }
        actions.extend([Action::Later; 2]);
        if s.proposals > 0 {
            actions.push(Action::Propose);
        }
        if s.federation.proposal.is_some() && s.left.refusals > 0 {
            actions.push(Action::Abort);
        }
        for at in 0..s.messages.len() {
            actions.extend([Action::Agreed(at, false); 4]);
            if s.left.duplicated > 0 {
                actions.push(Action::Agreed(at, true));
            }
            if s.left.lost > 0 {
                actions.push(Action::LostThere(at));
            }
        }
        match s.cut {
            None if s.left.cut_offs > 0 => actions.extend((0..SITES).map(Action::Cut)),
            // The cut mostly lasts longer than all leases.
            Some(at) if s.now > s.sites[at].latest_lease_end + FENCE || s.left.lost == 0 => {
                actions.push(Action::Heals)
            }
            _ => {}
        }
        for at in 0..SITES {
            let (site, last) = (&s.sites[at], self.last(s, at));
            let dead = site.leaders[last].dead;
            if !dead && !site.leaders[last].proposed.is_empty() {
                // Repeated, so that it is drawn more often than a fault.
                actions.extend([Action::Commit(at); 4]);
            }
            if !dead && s.left.deaths > 0 {
                actions.push(Action::Dies(at));
            }
            if dead {
                actions.push(Action::Elect(at, false));
            } else if s.left.elections > 0 {
                actions.extend([Action::Elect(at, true), Action::Elect(at, false)]);
            }
            for w in 0..site.messages.len() {
                if site.messages[..w]
                    .iter()
                    .any(|earlier| earlier.1 == site.messages[w].1)
                {
                    continue;
                }
                actions.extend([Action::Arrives(at, w, false, false); 4]);
                if s.left.lost > 0 {
                    actions.extend([Action::Arrives(at, w, true, false), Action::Lost(at, w)]);
                }
                if s.left.duplicated > 0 {
                    actions.push(Action::Arrives(at, w, false, true));
                }
                if s.left.refusals > 0
                    && matches!(site.messages[w].2, ReplicaTableMessage::OfferTable { .. })
                {
                    actions.push(Action::Refuses(at, w));
                }
            }
            for n in 0..SENDERS {
                if site.senders[n].line.0 < site.leaders[last].term && !dead {
                    actions.push(Action::Opens(at, n, last));
                }
                // The sender returns to a deposed leader that does not know that it is deposed, and
                // whose record is older.
                let deposed = last.checked_sub(1).map(|last| &site.leaders[last]);
                let stands = |l: &Leader| l.record.tables.register.turn;
                let back = |l: &Leader| {
                    !l.dead
                        && site.senders[n].line.0 > l.term
                        && stands(l) < stands(&site.leaders[last])
                };
                if s.left.returns_to_deposed > 0
                    && site.senders[n].lease
                    && deposed.is_some_and(back)
                {
                    actions.push(Action::Opens(at, n, last - 1));
                }
                if s.left.restarts > 0 {
                    actions.push(Action::Restarts(at, n));
                }
            }
            for (which, leader) in site.leaders.iter().enumerate().skip(last.saturating_sub(1)) {
                if leader.dead || s.cut == Some(at) {
                    continue;
                }
                if leader.heard < s.log.len() {
                    actions.extend([Action::Hears(at, which, true); 2]);
                    actions.push(Action::Hears(at, which, false));
                }
                if s.federation.sites.contains_key(&site.number)
                    && leader.lease.is_none_or(|l| l < s.now + LEASE)
                {
                    actions.push(Action::Counts(at, which));
                }
            }
            let on = s.federation.sites.contains_key(&site.number);
            if on && s.left.removals > 0 && s.now > site.latest_lease_end + FENCE {
                actions.push(Action::Off(at));
            }
            if !on {
                actions.push(Action::Join(at));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::Later => {
                let ms = STEP as u32;
                self.commit_to_federation(
                    &mut s,
                    federation::Command::Beat {
                        term: 1,
                        beat: last.now,
                        ms,
                    },
                );
                self.advance(&mut s);
            }
            Action::Commit(at) => {
                let which = self.last(&s, at);
                let command = s.sites[at].leaders[which].proposed.remove(0);
                self.commit(&mut s, at, command);
            }
            Action::Dies(at) => {
                s.left.deaths -= 1;
                let which = self.last(&s, at);
                s.sites[at].leaders[which].dead = true;
            }
            Action::Elect(at, inherits) => {
                let which = self.last(&s, at);
                if !s.sites[at].leaders[which].dead {
                    s.left.elections -= 1;
                }
                let left = std::mem::take(&mut s.sites[at].leaders[which].proposed);
                if inherits {
                    let deposed = s.sites[at].leaders[which].clone();
                    let messages = s.sites[at].messages.clone();
                    left.into_iter()
                        .for_each(|command| self.commit(&mut s, at, command));
                    s.sites[at].leaders[which] = Leader {
                        proposed: Vec::new(),
                        ..deposed
                    };
                    s.sites[at].messages = messages;
                }
                self.elect(&mut s, at);
            }
            Action::Arrives(at, w, lost, duplicated) => {
                let message = s.sites[at].messages[w].clone();
                if duplicated {
                    s.left.duplicated -= 1;
                } else {
                    s.sites[at].messages.remove(w);
                }
                s.left.lost -= u8::from(lost);
                let (n, line) = (message.0, message.1);
                self.arrives(&mut s, at, message, lost, false);
                if lost {
                    self.break_connection(&mut s, at, n, line);
                }
            }
            Action::Lost(at, w) => {
                // A lost message breaks its connection.
                s.left.lost -= 1;
                let (n, line, _) = s.sites[at].messages.remove(w);
                self.break_connection(&mut s, at, n, line);
            }
            Action::Refuses(at, w) => {
                s.left.refusals -= 1;
                let message = s.sites[at].messages.remove(w);
                self.arrives(&mut s, at, message, false, true);
            }
            Action::Opens(at, n, which) => {
                s.left.returns_to_deposed -= u8::from(which != self.last(&s, at));
                self.opens(&mut s, at, n, which);
            }
            Action::Restarts(at, n) => {
                s.left.restarts -= 1;
                let sender = &mut s.sites[at].senders[n];
                let (boot, stored) = (sender.boot + 1, std::mem::take(&mut sender.stored));
                *sender = Sender {
                    boot,
                    stored,
                    ..Sender::default()
                };
            }
            Action::Agreed(w, duplicated) => {
                let command = s.messages[w].clone();
                if duplicated {
                    s.left.duplicated -= 1;
                } else {
                    s.messages.remove(w);
                }
                self.commit_to_federation(&mut s, command);
            }
            Action::LostThere(w) => {
                s.left.lost -= 1;
                s.messages.remove(w);
            }
            Action::Hears(at, which, all) => self.receive_commands(&mut s, at, which, all),
            Action::Counts(at, which) => self.grant_site_lease(&mut s, at, which),
            Action::Propose => {
                s.proposals -= 1;
                let key = s.proposals + 1;
                self.commit_to_federation(
                    &mut s,
                    federation::Command::Propose {
                        by: "s0".into(),
                        key,
                        text: format!("# {key}"),
                        digest: [key as u8; 32],
                        within_ms: 20 * STEP,
                    },
                );
            }
            Action::Abort => {
                s.left.refusals -= 1;
                let number = s.federation.proposal.as_ref()?.table.number;
                self.commit_to_federation(
                    &mut s,
                    federation::Command::Abort {
                        number,
                        why: "a person's word".into(),
                    },
                );
            }
            Action::Cut(at) => {
                s.left.cut_offs -= 1;
                s.cut = Some(at);
            }
            Action::Heals => s.cut = None,
            Action::Off(at) => {
                s.left.removals -= 1;
                let site = s.sites[at].number;
                self.commit_to_federation(&mut s, federation::Command::Off { site });
            }
            Action::Join(at) => {
                let site = s.sites[at].number + 10;
                s.sites[at].number = site;
                s.sites[at].leaders.iter_mut().for_each(|l| l.lease = None);
                self.commit_to_federation(
                    &mut s,
                    federation::Command::Join {
                        site,
                        name: format!("s{at}"),
                    },
                );
            }
            Action::Settle => self.settle(&mut s),
        }
        self.check_invariants(&mut s);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("nothing goes wrong", |_, s: &State| s.wrong.is_empty()),
            Property::<Self>::sometimes("one is decided and in use", |_, s: &State| {
                s.federation.past.iter().any(|p| p.end == DECIDED) && s.settled == Some(true)
            }),
        ]
    }

    fn within_boundary(&self, s: &State) -> bool {
        s.messages.len() <= 8 && s.sites.iter().all(|site| site.messages.len() <= 8)
    }
}

fn check(what: &str, model: Sites, max_states: usize) -> Option<String> {
    let (fault, begun) = (model.fault, std::time::Instant::now());
    let builder = model.checker().target_state_count(max_states);
    let builder = match fault {
        Fault::None => builder,
        _ => builder.finish_when(HasDiscoveries::AnyFailures),
    };
    let checker = builder.spawn_simulation(7, UniformChooser).join();
    let found = checker.discovery("nothing goes wrong");
    let (states, depth) = (checker.state_count(), checker.max_depth());
    println!(
        "{what}, fault {fault:?}: {states} states, depth {depth}, {:?}",
        begun.elapsed()
    );
    if fault == Fault::None {
        for reached in checker.model().properties().iter().skip(1) {
            assert!(
                found.is_some() || checker.discovery(reached.name).is_some(),
                "never: {}",
                reached.name
            );
        }
    }
    let path = found?;
    let wrong = path.last_state().wrong.clone();
    println!("  found: {:?} by {:?}", wrong.first(), path.into_actions());
    Some(format!("{wrong:?}"))
}

/// Largest number of states that are explored in CI.
const MAX_STATES: usize = 15_000;

fn max_states() -> usize {
    std::env::var("MODEL_STATES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(MAX_STATES)
}

/// Two proposals, with deposed leaders that continue to run, lost and duplicated messages, a
/// refusal or an operator's abort, and a restart.
fn calm(fault: Fault) -> Sites {
    let left = RemainingFaults {
        elections: 1,
        lost: 2,
        duplicated: 1,
        restarts: 1,
        refusals: 1,
        returns_to_deposed: 1,
        ..RemainingFaults::default()
    };
    Sites {
        fault,
        left,
        proposals: 2,
        until: 24 * STEP,
    }
}

/// A site is cut off for longer than its lease, its leaders die, and it may be removed from the
/// roster and join again.
fn cut(fault: Fault) -> Sites {
    let left = RemainingFaults {
        deaths: 1,
        elections: 1,
        lost: 1,
        cut_offs: 1,
        removals: 1,
        ..RemainingFaults::default()
    };
    Sites {
        fault,
        left,
        proposals: 3,
        until: 50 * STEP,
    }
}

#[test]
fn sites_cut_over_only_with_the_confirmation_of_all() {
    assert_eq!(check("proposals", calm(Fault::None), max_states()), None);
    for (fault, what) in [
        (Fault::CommitsUnconfirmed, "a change without"),
        (Fault::AcceptsUnconfirmed, "accepted without"),
        (Fault::Undecided, "decided"),
        (Fault::OneShort, "decided without"),
        (Fault::ObeysEarlier, "two tables"),
        (Fault::NeverReports, "never ends"),
    ] {
        let left = match fault {
            Fault::ObeysEarlier => RemainingFaults {
                elections: 1,
                returns_to_deposed: 2,
                ..RemainingFaults::default()
            },
            _ => calm(fault).left,
        };
        let found = check(
            "proposals",
            Sites {
                left,
                proposals: 3,
                ..calm(fault)
            },
            10 * MAX_STATES,
        );
        assert!(
            found.as_ref().is_some_and(|f| f.contains(what)),
            "{fault:?}: {found:?}"
        );
    }
}

#[test]
fn nothing_is_admitted_after_the_lease() {
    assert_eq!(check("cut off", cut(Fault::None), max_states()), None);
    for (fault, what) in [
        (Fault::NoHold, "beyond the lease"),
        (Fault::DeposedRenews, ""),
    ] {
        let found = check("cut off", cut(fault), 10 * MAX_STATES);
        assert!(
            found.as_ref().is_some_and(|f| f.contains(what)),
            "{fault:?}: {found:?}"
        );
    }
}
