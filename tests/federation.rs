//! Federations of whole sites with three replicas each, and the member of each site's leader. The
//! simulated network loses, duplicates and delays messages; leaders are killed, frozen, or cut off
//! from their site while they still reach others. Other tests run real processes.
//!
//! A failure of the simulation names its seed and can be repeated; `FEDERATION_SEEDS=n` runs n
//! seeds instead of the default few.
#![cfg(feature = "fleet")]

use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raildeal::coordination::bootstrap::{Bootstrap, PeerAdmission};
use raildeal::coordination::framing;
use raildeal::coordination::messages::{
    CoordinationStatus, FederationRequest, Handshake, OperatorRequest, OperatorResponse, PeerRole,
    MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use raildeal::coordination::raft_group::{GroupEvent, RaftGroup};
use raildeal::coordination::raft_log::{assemble_checkpoint, LogItem, ReplicaIdentity};
use raildeal::coordination::record::Command;
use raildeal::coordination::routing_table::federation::{self, Federation, DECIDED};
use raildeal::coordination::routing_table::member::{
    FederationMember, IncarnationUnknown, MemberAdmission, MemberEffect, MemberMessage,
    MemberSettings, SiteAddress,
};
use raildeal_test_harness::relay::Relay;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command as Process, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SECOND: u64 = 1_000_000_000;
/// Time step of a simulation, which is a tick of a site's replicas, in nanoseconds.
const STEP: u64 = SECOND / 20;
const FENCE: u64 = SECOND;

#[derive(Default)]
struct Keeper {
    disk: Vec<LogItem>,
    group: Option<RaftGroup>,
    member: Option<FederationMember>,
    saving: Option<(LogItem, u64)>,
    saves: u32,
    /// Time until which the replica is down, or frozen with all its state.
    back_at: u64,
    frozen: bool,
    /// Time until which it is cut off from its own site.
    isolated_until: u64,
    /// Time up to which its raft clock was advanced.
    ticked: u64,
}

enum Packet {
    Own {
        site: u64,
        from: u64,
        to: u64,
        bytes: Vec<u8>,
    },
    Word {
        from: u64,
        incarnation: u64,
        to: u64,
        word: MemberMessage,
    },
}

struct FederationSimulation {
    seed: u64,
    rng: fastrand::Rng,
    now: u64,
    keepers: BTreeMap<(u64, u64), Keeper>,
    net: BTreeMap<(u64, u64), Packet>,
    packets_sent: u64,
    faults: bool,
    /// Sites that are cut off from others, each with the time until which it is.
    cut_off_until: BTreeMap<u64, u64>,
    /// The injected fault: an item counts as persisted as soon as it is proposed.
    persists_early: bool,
    votes: BTreeMap<(u64, u64), u64>,
    leaders: BTreeMap<u64, u64>,
    records: BTreeMap<u64, Arc<Federation>>,
    lease_until_seen: BTreeMap<u64, u64>,
    off: BTreeMap<u64, u64>,
    members: u32,
    answers: Vec<OperatorResponse>,
}

fn settings(site: u64) -> MemberSettings {
    let others = (1..=3).filter(|n| *n != site);
    let place = |n: u64| SiteAddress {
        name: format!("s{n}"),
        addresses: vec![([127, 0, 0, n as u8], 1).into()],
    };
    MemberSettings {
        federation: "land".into(),
        site_number: site,
        site_name: format!("s{site}"),
        bootstrap: site <= 3,
        former_number: None,
        other_sites: others.map(|n| (n, place(n))).collect(),
        lease_ms: 4_000,
        fence_ms: (FENCE / 1_000_000) as u32,
        tick_ms: 100,
        holds_after_lease: true,
    }
}

impl FederationSimulation {
    fn new(seed: u64) -> FederationSimulation {
        let mut keepers = BTreeMap::new();
        for site in 1..=4 {
            for me in 1..=3 {
                let identity = ReplicaIdentity {
                    site: format!("s{site}"),
                    replica: me,
                    incarnation: 100 + me,
                };
                let mut begin = Bootstrap::new(Bootstrap::first_checkpoint(identity, 1..=3));
                for other in (1..=3).filter(|id| *id != me) {
                    assert_eq!(
                        begin.learn_incarnation(other, 100 + other),
                        PeerAdmission::New
                    );
                    begin.note_known_to(other);
                }
                let base = begin.finish(&BTreeMap::new()).expect("all know each other");
                let disk = vec![LogItem::Checkpoint(Box::new(base))];
                keepers.insert(
                    (site, me),
                    Keeper {
                        disk,
                        ..Keeper::default()
                    },
                );
            }
        }
        FederationSimulation {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: SECOND,
            keepers,
            net: BTreeMap::new(),
            packets_sent: 0,
            faults: true,
            cut_off_until: BTreeMap::new(),
            persists_early: false,
            votes: BTreeMap::new(),
            leaders: BTreeMap::new(),
            records: BTreeMap::new(),
            lease_until_seen: BTreeMap::new(),
            off: BTreeMap::new(),
            members: 0,
            answers: Vec::new(),
        }
    }

    fn post(&mut self, packet: impl Fn() -> Packet) {
        let copies = if self.faults {
            [1, 1, 1, 1, 1, 1, 1, 1, 0, 2][self.rng.usize(..10)]
        } else {
            1
        };
        for _ in 0..copies {
            self.packets_sent += 1;
            let late = if self.faults {
                self.rng.u64(..5) * STEP
            } else {
                0
            };
            self.net
                .insert((self.now + STEP + late, self.packets_sent), packet());
        }
    }

    fn harm(&mut self) {
        let until = self.now + self.rng.u64(10..120) * STEP;
        let (site, chance) = (self.rng.u64(1..=4), self.rng.u32(..240));
        let leads = self
            .keepers
            .iter()
            .find(|((s, _), k)| *s == site && k.member.is_some())
            .map(|(at, _)| *at);
        let at = leads
            .filter(|_| self.rng.u32(..4) > 0)
            .unwrap_or((site, self.rng.u64(1..=3)));
        let coin = self.rng.bool();
        let keeper = self.keepers.get_mut(&at).expect("a keeper");
        match chance {
            0 => {
                if let Some((piece, _)) = keeper.saving.take().filter(|_| coin) {
                    write(&mut keeper.disk, piece);
                }
                (keeper.group, keeper.member, keeper.back_at, keeper.frozen) =
                    (None, None, until, false);
            }
            1 => (keeper.back_at, keeper.frozen) = (until, keeper.group.is_some()),
            2 | 3 => keeper.isolated_until = until,
            4 => drop(self.cut_off_until.insert(site, until)),
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.faults {
            self.harm();
        } else {
            self.cut_off_until.clear();
            self.keepers.values_mut().for_each(|k| k.isolated_until = 0);
        }
        let now = self.now;
        self.cut_off_until.retain(|_, until| now < *until);
        while let Some(first) = self.net.first_entry().filter(|e| e.key().0 <= now) {
            let packet = first.remove();
            self.deliver(packet);
        }
        for at in self.keepers.keys().copied().collect::<Vec<_>>() {
            let keeper = self.keepers.get_mut(&at).expect("a keeper");
            if now < keeper.back_at {
                continue;
            }
            if keeper.group.is_none() {
                let base = assemble_checkpoint(keeper.disk.iter().cloned())
                    .expect("unbroken")
                    .expect("a base");
                keeper.group = Some(RaftGroup::new(base, self.rng.u64(..)).expect("a group"));
                keeper.ticked = now;
            }
            keeper.frozen = false;
            // Time advances before messages are handled.
            let due = (now - keeper.ticked) / STEP;
            keeper.ticked = now;
            let group = keeper.group.as_mut().expect("up");
            (0..due.min(20)).for_each(|_| group.tick());
            if keeper.saving.as_ref().is_some_and(|(_, at)| *at <= now) {
                let (piece, _) = keeper.saving.take().expect("being written");
                group.item_saved();
                write(&mut keeper.disk, piece);
                keeper.saves += 1;
                if keeper.saves % 40 == 0 {
                    group.compact();
                }
            }
            let mut out = Vec::new();
            if let (Some(member), Some(group)) = (&mut keeper.member, &keeper.group) {
                (1..=4)
                    .filter(|site| *site != at.0)
                    .for_each(|site| member.on_heartbeat(now, site));
                member.on_tick(now, group.record(), &mut out);
            }
            self.carry_out(at, out);
            self.run_replica(at);
            self.connect_members(at);
            self.run_cutover(at);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let now = self.now;
        match packet {
            Packet::Own {
                site,
                from,
                to,
                bytes,
            } => {
                let apart = self.keepers[&(site, from)].isolated_until > now
                    || self.keepers[&(site, to)].isolated_until > now;
                let keeper = self.keepers.get_mut(&(site, to)).expect("a keeper");
                if let Some(group) = keeper
                    .group
                    .as_mut()
                    .filter(|_| !apart && now >= keeper.back_at)
                {
                    group.step(from, &bytes).expect("a message of the group");
                    self.run_replica((site, to));
                }
            }
            Packet::Word {
                from,
                incarnation,
                to,
                word,
            } => {
                if self.cut_off_until.contains_key(&from) || self.cut_off_until.contains_key(&to) {
                    return;
                }
                // The message goes to any replica that considers itself the site's leader.
                let up = |k: &Keeper| k.member.is_some() && now >= k.back_at;
                let here: Vec<_> = self
                    .keepers
                    .iter()
                    .filter(|(at, k)| at.0 == to && up(k))
                    .collect();
                let Some(at) = self.rng.choice(here).map(|(at, _)| *at) else {
                    return;
                };
                let keeper = self.keepers.get_mut(&at).expect("a keeper");
                let (Some(member), Some(group)) = (&mut keeper.member, &keeper.group) else {
                    return;
                };
                let mut out = Vec::new();
                if member.admit_peer(now, from, incarnation, group.record(), &mut out)
                    == MemberAdmission::Admitted
                {
                    member
                        .on_message(now, from, word, &mut out)
                        .expect("a member's word");
                }
                self.carry_out(at, out);
                self.run_replica(at);
            }
        }
    }

    /// Performs the handshakes of new connections between members.
    fn connect_members(&mut self, at: (u64, u64)) {
        let incarnation = |k: &Keeper| k.member.as_ref()?.incarnation(k.group.as_ref()?.record());
        let Some(own) = incarnation(&self.keepers[&at]) else {
            return;
        };
        if self.cut_off_until.contains_key(&at.0) || self.rng.u32(..10) > 0 {
            return;
        }
        let now = self.now;
        let up = |k: &Keeper| now >= k.back_at;
        let others = self
            .keepers
            .iter()
            .filter(|(o, k)| o.0 != at.0 && up(k) && !self.cut_off_until.contains_key(&o.0));
        let others: Vec<_> = others
            .filter_map(|(o, k)| Some((*o, incarnation(k)?)))
            .collect();
        for (other, theirs) in others {
            let mut said = |at: (u64, u64),
                            does: &dyn Fn(
                &mut FederationMember,
                &RaftGroup,
                &mut Vec<MemberEffect>,
            ) -> MemberAdmission| {
                let keeper = self.keepers.get_mut(&at).expect("a keeper");
                let (Some(member), Some(group)) = (&mut keeper.member, &keeper.group) else {
                    return MemberAdmission::NotYet;
                };
                let mut out = Vec::new();
                let came = does(member, group, &mut out);
                self.carry_out(at, out);
                came
            };
            if said(other, &|member, group, out| {
                member.admit_peer(now, at.0, own, group.record(), out)
            }) == MemberAdmission::Admitted
            {
                said(at, &|member, group, out| {
                    member.on_peer_answer(now, other.0, theirs, group.record(), out)
                });
            }
        }
    }

    /// Proposes, accepts and cuts over, as a site's leader would.
    fn run_cutover(&mut self, at: (u64, u64)) {
        let (chance, key) = (self.rng.u32(..40), self.rng.u64(..));
        let Some(member) = &mut self.keepers.get_mut(&at).expect("a keeper").member else {
            return;
        };
        let (record, site) = (member.view().record.clone(), at.0);
        let mut out = Vec::new();
        match &record.proposal {
            Some(p) if chance < 8 => {
                let number = p.table.number;
                member.submit(
                    self.now,
                    federation::Command::Accept { site, number },
                    &mut out,
                );
            }
            None if chance == 0 => {
                let (by, text) = (format!("s{site}"), "x".repeat((key % 16_000) as usize));
                let propose = federation::Command::Propose {
                    by,
                    key,
                    text,
                    digest: [0; 32],
                    within_ms: 10_000,
                };
                member.submit(self.now, propose, &mut out);
            }
            _ if chance < 12 => {
                let number = record.table.number;
                member.submit(
                    self.now,
                    federation::Command::CutOver { site, number },
                    &mut out,
                );
            }
            _ => {}
        }
        self.carry_out(at, out);
        self.run_replica(at);
    }

    /// Submits an operator's order at each member.
    fn order(&mut self, order: &FederationRequest) {
        for at in self.keepers.keys().copied().collect::<Vec<_>>() {
            let keeper = self.keepers.get_mut(&at).expect("a keeper");
            let up = self.now >= keeper.back_at;
            if let Some(member) = keeper.member.as_mut().filter(|_| up) {
                let mut out = Vec::new();
                member.submit_roster_order(self.now, 1, order, &mut out);
                self.carry_out(at, out);
                self.run_replica(at);
            }
        }
    }

    fn carry_out(&mut self, at: (u64, u64), out: Vec<MemberEffect>) {
        let now = self.now;
        for what in out {
            let keeper = self.keepers.get_mut(&at).expect("a keeper");
            let (Some(member), Some(group)) = (&mut keeper.member, &mut keeper.group) else {
                return;
            };
            match what {
                MemberEffect::ProposeToSite(command) => {
                    if group.propose(&command).is_err() {
                        member.on_proposal_refused(now);
                    } else if self.persists_early
                        && matches!(
                            command,
                            Command::PersistMemberLog {
                                item: LogItem::Batch(_),
                                ..
                            }
                        )
                    {
                        let mut record = group.record().clone();
                        record.apply(record.version, &command);
                        let mut out = Vec::new();
                        member.on_applied(now, &command, &record, &mut out);
                        self.carry_out(at, out);
                    }
                }
                MemberEffect::Send { to, message } => self.say(at, to, &message),
                MemberEffect::SendRaft {
                    to,
                    message,
                    has_snapshot,
                } => {
                    member.on_sent(to, has_snapshot, true);
                    if let MemberMessage::Raft(bytes) = &message {
                        self.observe(at.0, bytes);
                    }
                    self.say(at, to, &message);
                }
                MemberEffect::Answer { answer, .. } => self.answers.push(answer),
                MemberEffect::RequestIncarnation { site, .. } => {
                    let mut there = self.keepers.iter().filter(|(o, _)| o.0 == site);
                    let met = there.find_map(|(_, k)| {
                        k.member.as_ref()?.incarnation(k.group.as_ref()?.record())
                    });
                    let mut out = Vec::new();
                    let member = self
                        .keepers
                        .get_mut(&at)
                        .and_then(|k| k.member.as_mut())
                        .expect("it asked");
                    member.on_incarnation(
                        now,
                        site,
                        met.ok_or_else(|| IncarnationUnknown("nobody speaks".into())),
                        &mut out,
                    );
                    self.carry_out(at, out);
                }
            }
        }
    }

    fn say(&mut self, at: (u64, u64), to: u64, word: &MemberMessage) {
        let keeper = &self.keepers[&at];
        let record = keeper.group.as_ref().map(RaftGroup::record);
        let known = keeper
            .member
            .as_ref()
            .zip(record)
            .and_then(|(member, record)| member.incarnation(record));
        let Some(incarnation) = known else { return };
        self.post(|| Packet::Word {
            from: at.0,
            incarnation,
            to,
            word: word.clone(),
        });
    }

    /// Asserts that no site votes twice in a term and only one site leads in a term.
    fn observe(&mut self, site: u64, bytes: &[u8]) {
        let mut m = Message::default();
        m.merge_from_bytes(bytes).expect("a message");
        let vote = match m.get_msg_type() {
            MessageType::MsgRequestVote => Some(site),
            MessageType::MsgRequestVoteResponse if !m.reject => Some(m.to),
            MessageType::MsgAppend | MessageType::MsgHeartbeat => {
                let leads = *self.leaders.entry(m.term).or_insert(site);
                assert_eq!(
                    leads, site,
                    "seed {}: two lead in term {}",
                    self.seed, m.term
                );
                None
            }
            _ => None,
        };
        if let Some(vote) = vote {
            let before = *self.votes.entry((site, m.term)).or_insert(vote);
            assert_eq!(
                before, vote,
                "seed {}: site {site} votes twice in term {}",
                self.seed, m.term
            );
        }
    }

    /// Runs a replica as its event loop would.
    fn run_replica(&mut self, at: (u64, u64)) {
        let now = self.now;
        loop {
            let wait = if self.faults {
                self.rng.u64(..3) * STEP
            } else {
                0
            };
            let keeper = self.keepers.get_mut(&at).expect("a keeper");
            let Some(group) = &mut keeper.group else {
                return;
            };
            let mut events = Vec::new();
            let messages = group.process_ready(&mut events).expect("the group goes on");
            let mut idle = messages.is_empty() && events.is_empty();
            let mut out = Vec::new();
            for event in events {
                if let (GroupEvent::Applied(_, command), Some(member)) = (event, &mut keeper.member)
                {
                    member.on_applied(now, &command, group.record(), &mut out);
                }
            }
            if keeper.saving.is_none() {
                keeper.saving = group.next_item().map(|piece| (piece, now + wait));
            }
            if group.leader() != group.id() {
                keeper.member = None;
            } else if group.is_ready_to_lead() && keeper.member.is_none() {
                let (term, seed) = (group.term(), self.rng.u64(..));
                keeper.member = Some(FederationMember::new(
                    settings(at.0),
                    term,
                    now,
                    group.record(),
                    seed,
                ));
                self.members += 1;
                idle = false;
            }
            idle &= out.is_empty();
            for message in messages {
                let bytes = message.write_to_bytes().expect("plain");
                let (site, from, to) = (at.0, at.1, message.to);
                self.post(|| Packet::Own {
                    site,
                    from,
                    to,
                    bytes: bytes.clone(),
                });
                if message.get_msg_type() == MessageType::MsgSnapshot {
                    let group = self
                        .keepers
                        .get_mut(&at)
                        .and_then(|k| k.group.as_mut())
                        .expect("up");
                    group.report_snapshot_sent(to);
                }
            }
            self.carry_out(at, out);
            if idle {
                break;
            }
        }
        self.check_invariants(at);
    }

    /// Asserts that all members have the same record for a version, and that a removed site holds
    /// no lease any more.
    fn check_invariants(&mut self, at: (u64, u64)) {
        let Some(member) = &self.keepers[&at].member else {
            return;
        };
        let known = member.view().clone();
        let record = self
            .records
            .entry(known.record.version)
            .or_insert_with(|| known.record.clone());
        assert_eq!(
            *record, known.record,
            "seed {}: two records of one version",
            self.seed
        );
        let lease_until_seen = self.lease_until_seen.entry(at.0).or_default();
        *lease_until_seen = (*lease_until_seen).max(known.lease_until.unwrap_or_default());
        for site in &known.record.off {
            let end = self.lease_until_seen.get(site).copied().unwrap_or_default();
            let since = *self.off.entry(*site).or_insert(self.now);
            assert!(
                end + FENCE <= since,
                "seed {}: site {site} is off and not fenced",
                self.seed
            );
        }
    }

    fn newest(&self) -> Arc<Federation> {
        self.records
            .values()
            .next_back()
            .expect("some record")
            .clone()
    }

    fn decided(&self) -> usize {
        let known = self.records.values().flat_map(|r| r.past.iter());
        known
            .filter(|p| p.end == DECIDED)
            .map(|p| p.number)
            .collect::<BTreeSet<_>>()
            .len()
    }
}

fn write(disk: &mut Vec<LogItem>, piece: LogItem) {
    if matches!(piece, LogItem::Checkpoint(_)) {
        disk.clear();
    }
    disk.push(piece);
}

/// Returns the number of decided tables, of leaders and of members.
fn simulate(seed: u64, persists_early: bool) -> (usize, usize, u32) {
    let mut world = FederationSimulation::new(seed);
    world.persists_early = persists_early;
    let off = FederationRequest::RemoveSite { site: "s3".into() };
    let join = FederationRequest::AddSite {
        site: "s4".into(),
        number: 4,
        at: vec!["127.0.0.4:1".into()],
    };
    for step in 0..2_400 {
        world.step();
        match step {
            600.. if step % 40 == 0 && !world.newest().off.contains(&3) => world.order(&off),
            600.. if step % 60 == 0 && !world.newest().sites.contains_key(&4) => world.order(&join),
            _ => {}
        }
    }
    // Without faults, all orders are carried out, and the remaining sites decide the next table.
    world.faults = false;
    for step in 0..3_000 {
        world.step();
        let newest = world.newest();
        if step % 40 == 0 && !newest.off.contains(&3) {
            world.order(&off);
        } else if step % 60 == 0 && !newest.sites.contains_key(&4) {
            world.order(&join);
        }
    }
    let newest = world.newest();
    let sites: Vec<u64> = newest.sites.keys().copied().collect();
    let trouble: Vec<_> = world
        .keepers
        .values()
        .filter_map(|k| k.member.as_ref())
        .flat_map(FederationMember::problems)
        .collect();
    assert!(
        !trouble.iter().any(|(_, why)| why.contains("is lost")),
        "seed {seed}: {trouble:?}"
    );
    assert_eq!(
        sites,
        [1, 2, 4],
        "seed {seed}: {:?}",
        world.answers.iter().rev().take(5).collect::<Vec<_>>()
    );
    assert!(
        newest.table.number > 0 && newest.off.contains(&3),
        "seed {seed}"
    );
    for ((site, _), keeper) in world.keepers.iter().filter(|(at, _)| sites.contains(&at.0)) {
        if let Some(known) = keeper.member.as_ref().map(FederationMember::view) {
            let late = newest.version - known.record.version;
            assert!(
                late < 20 && known.lease_until.is_some_and(|at| at > world.now),
                "seed {seed}: site {site}"
            );
        }
    }
    (world.decided(), world.leaders.len(), world.members)
}

fn seeds(few: u64) -> std::ops::Range<u64> {
    0..std::env::var("FEDERATION_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(few)
}

#[test]
fn sites_agree_across_changes_of_their_leaders_and_a_removed_site_was_fenced() {
    let (mut decided, mut leaders, mut members) = (0, 0, 0);
    for seed in seeds(6) {
        let (d, l, v) = simulate(seed, false);
        (decided, leaders, members) = (decided + d, leaders + l, members + v);
    }
    eprintln!("{decided} tables decided under {leaders} leaders, by {members} members");
    assert!(
        decided > 20 && leaders > 12 && members > 60,
        "too little happened: {decided} {leaders} {members}"
    );
}

#[test]
fn a_member_that_sends_before_persisting_is_detected() {
    // Either an invariant is violated, or the raft library detects that acknowledged data is lost.
    let told = |seed: u64| {
        let panic = std::panic::catch_unwind(|| simulate(seed, true)).err()?;
        let told = panic.downcast_ref::<String>()?;
        ["votes twice", "two lead", "two records", "is lost"]
            .into_iter()
            .find(|what| told.contains(what))
    };
    let found: BTreeSet<_> = (0..12).filter_map(told).collect();
    assert!(!found.is_empty(), "nothing was found");
    eprintln!("found: {found:?}");
}

// ---- Real processes.

struct RunningSite {
    child: Child,
    lines: Receiver<String>,
    site: &'static str,
    at: String,
}

impl Drop for RunningSite {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const NAMES: [&str; 3] = ["north", "south", "west"];

/// Three sites with one replica each.
struct FederationProcesses {
    folder: tempfile::TempDir,
    relays: Vec<Relay>,
}

impl FederationProcesses {
    fn new() -> FederationProcesses {
        let relays = NAMES
            .iter()
            .map(|_| Relay::open().expect("a port"))
            .collect();
        FederationProcesses {
            folder: tempfile::tempdir().expect("a folder"),
            relays,
        }
    }

    fn file(&self, n: usize, federation: &str, others: &[(usize, u64)]) -> PathBuf {
        let site = NAMES[n];
        let mut text = format!(
            "site = \"{site}\"\nkeeper = 1\nlisten = \"127.0.0.1:0\"\nstate = {:?}\nbegin = true\nagents = [\"127.0.0.0/8\"]\n\
             [rules]\nlease_ms = 500\nsure_ms = 1000\n[federation]\nname = \"land\"\nlease_s = 5\nfence_s = 5\n{federation}\n",
            self.folder.path().join(site)
        );
        for (other, number) in others {
            let (name, at) = (NAMES[*other], self.relays[*other].address);
            text += &format!(
                "[[federation.site]]\nnumber = {number}\nname = \"{name}\"\nat = [\"{at}\"]\n"
            );
        }
        let path = self.folder.path().join(format!("{site}.toml"));
        std::fs::write(&path, text).expect("written");
        path
    }

    fn spawn(&self, n: usize) -> RunningSite {
        let mut child = Process::new(env!("CARGO_BIN_EXE_raildeal"))
            .arg("keeper")
            .arg(self.folder.path().join(format!("{}.toml", NAMES[n])))
            .env("RUST_LOG", "raildeal=info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let (tell, lines) = channel();
        let read = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || {
            read.lines()
                .map_while(Result::ok)
                .try_for_each(|line| tell.send(line))
        });
        RunningSite {
            child,
            lines,
            site: NAMES[n],
            at: String::new(),
        }
    }

    fn start(&self, n: usize) -> RunningSite {
        let mut up = self.spawn(n);
        up.at = up
            .says(": listens at ")
            .rsplit(' ')
            .next()
            .expect("an address")
            .into();
        self.relays[n].aim(up.at.parse().expect("an address"));
        up
    }
}

impl RunningSite {
    fn says(&self, what: &str) -> String {
        let until = Instant::now() + Duration::from_secs(120);
        let mut said = Vec::new();
        while let Ok(line) = self
            .lines
            .recv_timeout(until.saturating_duration_since(Instant::now()))
        {
            if line.contains(what) {
                return line;
            }
            said.push(line);
        }
        panic!("{}: {what:?} was not said: {said:#?}", self.site);
    }

    fn order(&self, word: &OperatorRequest) -> OperatorResponse {
        let mut stream = TcpStream::connect(&self.at).expect("connected");
        stream
            .set_read_timeout(Some(Duration::from_secs(60)))
            .expect("set");
        let hello = Handshake {
            version: PROTOCOL_VERSION,
            site: self.site.into(),
            role: PeerRole::Operator,
        };
        framing::write_blocking(&mut stream, &hello, MAX_FRAME_BYTES).expect("written");
        framing::write_blocking(&mut stream, word, MAX_FRAME_BYTES).expect("written");
        framing::read_blocking(&mut stream, MAX_FRAME_BYTES).expect("an answer")
    }

    fn tells(&self, so: impl Fn(&CoordinationStatus) -> bool) {
        let until = Instant::now() + Duration::from_secs(120);
        loop {
            match self.order(&OperatorRequest::Status) {
                OperatorResponse::Status(status) if so(&status) => return,
                other => assert!(Instant::now() < until, "{other:?}"),
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Repeats an order until the response matches, and returns that response.
    fn until(
        &self,
        order: &FederationRequest,
        so: impl Fn(&OperatorResponse) -> bool,
    ) -> OperatorResponse {
        let until = Instant::now() + Duration::from_secs(120);
        loop {
            let answer = self.order(&OperatorRequest::Federation(order.clone()));
            if so(&answer) {
                return answer;
            }
            assert!(Instant::now() < until, "{answer:?}");
            std::thread::sleep(Duration::from_millis(200));
        }
    }
}

fn refused(answer: &OperatorResponse, what: &str) -> bool {
    matches!(answer, OperatorResponse::Rejected(why) if why.contains(what))
}

#[test]
fn three_processes_are_a_federation_that_one_leaves_and_joins_again() {
    let land = FederationProcesses::new();
    let first = |n: usize| {
        let others: Vec<_> = (0..3)
            .filter(|o| *o != n)
            .map(|o| (o, o as u64 + 1))
            .collect();
        land.file(n, &format!("number = {}\nbegin = true", n + 1), &others);
    };
    (0..3).for_each(first);
    let (north, south) = (land.start(0), land.start(1));
    // No site begins before all know each other.
    north.tells(|s| {
        s.faults
            .iter()
            .any(|(n, why)| *n == 3 && why.contains("has not begun"))
    });
    let west = land.start(2);
    for up in [&north, &south, &west] {
        up.says("speaks for site ");
        up.says("site west joins as 3");
        up.tells(|s| s.faults.is_empty());
    }
    // An order is carried out at whichever site it is given.
    let off = |site: &str| FederationRequest::RemoveSite { site: site.into() };
    for up in [&north, &south, &west] {
        up.until(&off("east"), |a| refused(a, "no site \"east\""));
    }
    let join = |number| {
        let at = vec![land.relays[2].address.to_string()];
        FederationRequest::AddSite {
            site: "west".into(),
            number,
            at,
        }
    };
    drop(west);
    let answer = south.until(&off("west"), |a| {
        !refused(a, "no site is known to lead") && !refused(a, "did not answer")
    });
    assert!(
        refused(&answer, "is fenced with all its senders in"),
        "{answer:?}"
    );
    south.until(&off("west"), |a| matches!(a, OperatorResponse::Done(_)));
    for up in [&north, &south] {
        up.says("site west is off the roster");
    }
    // A site's folder is not accepted under another number, unless the file names the former
    // number.
    land.file(2, "number = 4", &[(0, 1), (1, 2)]);
    land.spawn(2).says("the keeper's file says 4");
    land.file(2, "number = 4\nformerly = 3", &[(0, 1), (1, 2)]);
    let west = land.start(2);
    west.says("speaks for site 4");
    north.until(&join(3), |a| refused(a, "was used"));
    north.until(&join(4), |a| matches!(a, OperatorResponse::Done(_)));
    for up in [&north, &south, &west] {
        up.says("site west joins as 4");
    }
    for up in [&north, &south, &west] {
        up.tells(|s| s.faults.iter().all(|(_, why)| !why.contains("site")));
    }
}
