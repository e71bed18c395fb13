//! Sites that agree: whole sites of three keepers each, with the voice that each leader has, in a
//! net that loses, doubles and is late, with leaders killed, frozen or cut off from their site
//! while they speak on to others; and real processes.
//!
//! A failure of the first names its seed and repeats; `FEDERATION_SEEDS=n` plays n of them instead
//! of the few of a usual run.
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
use raildeal::coordination::routing_table::member::{Came, Out, Place, Settings, Voice, Word};
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
/// A step of a play, which is a tick of a site's keepers.
const STEP: u64 = SECOND / 20;
const FENCE: u64 = SECOND;

#[derive(Default)]
struct Keeper {
    disk: Vec<LogItem>,
    group: Option<RaftGroup>,
    voice: Option<Voice>,
    saving: Option<(LogItem, u64)>,
    saves: u32,
    /// Down, or frozen with all that it has, until then.
    back_at: u64,
    frozen: bool,
    /// Cut off from its own site until then.
    alone: u64,
    /// Ticks that it is behind.
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
        word: Word,
    },
}

struct World {
    seed: u64,
    rng: fastrand::Rng,
    now: u64,
    keepers: BTreeMap<(u64, u64), Keeper>,
    net: BTreeMap<(u64, u64), Packet>,
    sent: u64,
    faults: bool,
    /// Sites that are cut off from others, until then.
    cut: BTreeMap<u64, u64>,
    /// The breach: a piece counts as saved when it is proposed.
    early: bool,
    votes: BTreeMap<(u64, u64), u64>,
    leaders: BTreeMap<u64, u64>,
    records: BTreeMap<u64, Arc<Federation>>,
    believed: BTreeMap<u64, u64>,
    off: BTreeMap<u64, u64>,
    voices: u32,
    answers: Vec<OperatorResponse>,
}

fn settings(site: u64) -> Settings {
    let others = (1..=3).filter(|n| *n != site);
    let place = |n: u64| Place {
        name: format!("s{n}"),
        at: vec![([127, 0, 0, n as u8], 1).into()],
    };
    Settings {
        name: "land".into(),
        number: site,
        site: format!("s{site}"),
        begin: site <= 3,
        formerly: None,
        sites: others.map(|n| (n, place(n))).collect(),
        lease_ms: 4_000,
        fence_ms: (FENCE / 1_000_000) as u32,
        tick_ms: 100,
        holds: true,
    }
}

impl World {
    fn new(seed: u64) -> World {
        let mut keepers = BTreeMap::new();
        for site in 1..=4 {
            for me in 1..=3 {
                let identity = ReplicaIdentity {
                    site: format!("s{site}"),
                    keeper: me,
                    incarnation: 100 + me,
                };
                let mut begin = Bootstrap::new(Bootstrap::empty(identity, 1..=3));
                for other in (1..=3).filter(|id| *id != me) {
                    assert_eq!(begin.tells(other, 100 + other), PeerAdmission::New);
                    begin.knows(other);
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
        World {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: SECOND,
            keepers,
            net: BTreeMap::new(),
            sent: 0,
            faults: true,
            cut: BTreeMap::new(),
            early: false,
            votes: BTreeMap::new(),
            leaders: BTreeMap::new(),
            records: BTreeMap::new(),
            believed: BTreeMap::new(),
            off: BTreeMap::new(),
            voices: 0,
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
            self.sent += 1;
            let late = if self.faults {
                self.rng.u64(..5) * STEP
            } else {
                0
            };
            self.net
                .insert((self.now + STEP + late, self.sent), packet());
        }
    }

    fn harm(&mut self) {
        let until = self.now + self.rng.u64(10..120) * STEP;
        let (site, chance) = (self.rng.u64(1..=4), self.rng.u32(..240));
        let leads = self
            .keepers
            .iter()
            .find(|((s, _), k)| *s == site && k.voice.is_some())
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
                (keeper.group, keeper.voice, keeper.back_at, keeper.frozen) =
                    (None, None, until, false);
            }
            1 => (keeper.back_at, keeper.frozen) = (until, keeper.group.is_some()),
            2 | 3 => keeper.alone = until,
            4 => drop(self.cut.insert(site, until)),
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.faults {
            self.harm();
        } else {
            self.cut.clear();
            self.keepers.values_mut().for_each(|k| k.alone = 0);
        }
        let now = self.now;
        self.cut.retain(|_, until| now < *until);
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
            // Time goes before words.
            let due = (now - keeper.ticked) / STEP;
            keeper.ticked = now;
            let group = keeper.group.as_mut().expect("up");
            (0..due.min(20)).for_each(|_| group.tick());
            if keeper.saving.as_ref().is_some_and(|(_, at)| *at <= now) {
                let (piece, _) = keeper.saving.take().expect("being written");
                group.saved();
                write(&mut keeper.disk, piece);
                keeper.saves += 1;
                if keeper.saves % 40 == 0 {
                    group.compact();
                }
            }
            let mut out = Vec::new();
            if let (Some(voice), Some(group)) = (&mut keeper.voice, &keeper.group) {
                (1..=4)
                    .filter(|site| *site != at.0)
                    .for_each(|site| voice.lives(now, site));
                voice.tick(now, group.record(), &mut out);
            }
            self.carry(at, out);
            self.work(at);
            self.introduce(at);
            self.office(at);
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
                let apart = self.keepers[&(site, from)].alone > now
                    || self.keepers[&(site, to)].alone > now;
                let keeper = self.keepers.get_mut(&(site, to)).expect("a keeper");
                if let Some(group) = keeper
                    .group
                    .as_mut()
                    .filter(|_| !apart && now >= keeper.back_at)
                {
                    group.step(from, &bytes).expect("a message of the group");
                    self.work((site, to));
                }
            }
            Packet::Word {
                from,
                incarnation,
                to,
                word,
            } => {
                if self.cut.contains_key(&from) || self.cut.contains_key(&to) {
                    return;
                }
                // It comes to any that takes itself for the voice.
                let up = |k: &Keeper| k.voice.is_some() && now >= k.back_at;
                let here: Vec<_> = self
                    .keepers
                    .iter()
                    .filter(|(at, k)| at.0 == to && up(k))
                    .collect();
                let Some(at) = self.rng.choice(here).map(|(at, _)| *at) else {
                    return;
                };
                let keeper = self.keepers.get_mut(&at).expect("a keeper");
                let (Some(voice), Some(group)) = (&mut keeper.voice, &keeper.group) else {
                    return;
                };
                let mut out = Vec::new();
                if voice.came(now, from, incarnation, group.record(), &mut out) == Came::Known {
                    voice
                        .hear(now, from, word, &mut out)
                        .expect("a voice's word");
                }
                self.carry(at, out);
                self.work(at);
            }
        }
    }

    /// What lines say when they begin.
    fn introduce(&mut self, at: (u64, u64)) {
        let incarnation = |k: &Keeper| k.voice.as_ref()?.incarnation(k.group.as_ref()?.record());
        let Some(own) = incarnation(&self.keepers[&at]) else {
            return;
        };
        if self.cut.contains_key(&at.0) || self.rng.u32(..10) > 0 {
            return;
        }
        let now = self.now;
        let up = |k: &Keeper| now >= k.back_at;
        let others = self
            .keepers
            .iter()
            .filter(|(o, k)| o.0 != at.0 && up(k) && !self.cut.contains_key(&o.0));
        let others: Vec<_> = others
            .filter_map(|(o, k)| Some((*o, incarnation(k)?)))
            .collect();
        for (other, theirs) in others {
            let mut said =
                |at: (u64, u64), does: &dyn Fn(&mut Voice, &RaftGroup, &mut Vec<Out>) -> Came| {
                    let keeper = self.keepers.get_mut(&at).expect("a keeper");
                    let (Some(voice), Some(group)) = (&mut keeper.voice, &keeper.group) else {
                        return Came::Later;
                    };
                    let mut out = Vec::new();
                    let came = does(voice, group, &mut out);
                    self.carry(at, out);
                    came
                };
            if said(other, &|voice, group, out| {
                voice.came(now, at.0, own, group.record(), out)
            }) == Came::Known
            {
                said(at, &|voice, group, out| {
                    voice.answered(now, other.0, theirs, group.record(), out)
                });
            }
        }
    }

    /// Proposes, accepts and switches, as an office would.
    fn office(&mut self, at: (u64, u64)) {
        let (chance, key) = (self.rng.u32(..40), self.rng.u64(..));
        let Some(voice) = &mut self.keepers.get_mut(&at).expect("a keeper").voice else {
            return;
        };
        let (record, site) = (voice.known().record.clone(), at.0);
        let mut out = Vec::new();
        match &record.proposal {
            Some(p) if chance < 8 => {
                let number = p.table.number;
                voice.command(
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
                voice.command(self.now, propose, &mut out);
            }
            _ if chance < 12 => {
                let number = record.table.number;
                voice.command(
                    self.now,
                    federation::Command::Switched { site, number },
                    &mut out,
                );
            }
            _ => {}
        }
        self.carry(at, out);
        self.work(at);
    }

    /// A person's order, said at each voice.
    fn order(&mut self, order: &FederationRequest) {
        for at in self.keepers.keys().copied().collect::<Vec<_>>() {
            let keeper = self.keepers.get_mut(&at).expect("a keeper");
            let up = self.now >= keeper.back_at;
            if let Some(voice) = keeper.voice.as_mut().filter(|_| up) {
                let mut out = Vec::new();
                voice.order(self.now, 1, order, &mut out);
                self.carry(at, out);
                self.work(at);
            }
        }
    }

    fn carry(&mut self, at: (u64, u64), out: Vec<Out>) {
        let now = self.now;
        for what in out {
            let keeper = self.keepers.get_mut(&at).expect("a keeper");
            let (Some(voice), Some(group)) = (&mut keeper.voice, &mut keeper.group) else {
                return;
            };
            match what {
                Out::Propose(command) => {
                    if group.propose(&command).is_err() {
                        voice.refused(now);
                    } else if self.early
                        && matches!(
                            command,
                            Command::PersistMemberLog {
                                piece: LogItem::Batch(_),
                                ..
                            }
                        )
                    {
                        let mut record = group.record().clone();
                        record.apply(record.version, &command);
                        let mut out = Vec::new();
                        voice.applied(now, &command, &record, &mut out);
                        self.carry(at, out);
                    }
                }
                Out::Say(to, word) => self.say(at, to, &word),
                Out::Raft(to, word, snapshot) => {
                    voice.sent(to, snapshot, true);
                    if let Word::Raft(bytes) = &word {
                        self.observe(at.0, bytes);
                    }
                    self.say(at, to, &word);
                }
                Out::Answer(_, word) => self.answers.push(word),
                Out::Meet(site, _) => {
                    let mut there = self.keepers.iter().filter(|(o, _)| o.0 == site);
                    let met = there.find_map(|(_, k)| {
                        k.voice.as_ref()?.incarnation(k.group.as_ref()?.record())
                    });
                    let mut out = Vec::new();
                    let voice = self
                        .keepers
                        .get_mut(&at)
                        .and_then(|k| k.voice.as_mut())
                        .expect("it asked");
                    voice.met(
                        now,
                        site,
                        met.ok_or_else(|| "nobody speaks".into()),
                        &mut out,
                    );
                    self.carry(at, out);
                }
            }
        }
    }

    fn say(&mut self, at: (u64, u64), to: u64, word: &Word) {
        let keeper = &self.keepers[&at];
        let record = keeper.group.as_ref().map(RaftGroup::record);
        let known = keeper
            .voice
            .as_ref()
            .zip(record)
            .and_then(|(voice, record)| voice.incarnation(record));
        let Some(incarnation) = known else { return };
        self.post(|| Packet::Word {
            from: at.0,
            incarnation,
            to,
            word: word.clone(),
        });
    }

    /// Nobody votes twice in a term, and one site leads in one.
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

    /// A keeper goes on as its driver would have it.
    fn work(&mut self, at: (u64, u64)) {
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
            let messages = group.work(&mut events).expect("the group goes on");
            let mut idle = messages.is_empty() && events.is_empty();
            let mut out = Vec::new();
            for event in events {
                if let (GroupEvent::Applied(_, command), Some(voice)) = (event, &mut keeper.voice) {
                    voice.applied(now, &command, group.record(), &mut out);
                }
            }
            if keeper.saving.is_none() {
                keeper.saving = group.piece().map(|piece| (piece, now + wait));
            }
            if group.leader() != group.me() {
                keeper.voice = None;
            } else if group.is_ready_to_lead() && keeper.voice.is_none() {
                let (term, seed) = (group.term(), self.rng.u64(..));
                keeper.voice = Some(Voice::new(settings(at.0), term, now, group.record(), seed));
                self.voices += 1;
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
                    group.snapshot_sent(to);
                }
            }
            self.carry(at, out);
            if idle {
                break;
            }
        }
        self.look(at);
    }

    /// One record for each version, and no lease beyond what is counted.
    fn look(&mut self, at: (u64, u64)) {
        let Some(voice) = &self.keepers[&at].voice else {
            return;
        };
        let known = voice.known().clone();
        let record = self
            .records
            .entry(known.record.version)
            .or_insert_with(|| known.record.clone());
        assert_eq!(
            *record, known.record,
            "seed {}: two records of one version",
            self.seed
        );
        let believed = self.believed.entry(at.0).or_default();
        *believed = (*believed).max(known.lease.unwrap_or_default());
        for site in &known.record.off {
            let end = self.believed.get(site).copied().unwrap_or_default();
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

/// Gives how many tables were decided, under how many leaders, with how many voices.
fn play(seed: u64, early: bool) -> (usize, usize, u32) {
    let mut world = World::new(seed);
    world.early = early;
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
    // Without faults all of that is carried out, and the next table is decided by all that are
    // there.
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
        .filter_map(|k| k.voice.as_ref())
        .flat_map(Voice::trouble)
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
        if let Some(known) = keeper.voice.as_ref().map(Voice::known) {
            let late = newest.version - known.record.version;
            assert!(
                late < 20 && known.lease.is_some_and(|at| at > world.now),
                "seed {seed}: site {site}"
            );
        }
    }
    (world.decided(), world.leaders.len(), world.voices)
}

fn seeds(few: u64) -> std::ops::Range<u64> {
    0..std::env::var("FEDERATION_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(few)
}

#[test]
fn sites_agree_whoever_speaks_for_them_and_one_that_is_off_was_fenced() {
    let (mut decided, mut leaders, mut voices) = (0, 0, 0);
    for seed in seeds(6) {
        let (d, l, v) = play(seed, false);
        (decided, leaders, voices) = (decided + d, leaders + l, voices + v);
    }
    eprintln!("{decided} tables decided under {leaders} leaders, by {voices} voices");
    assert!(
        decided > 20 && leaders > 12 && voices > 60,
        "too little happened: {decided} {leaders} {voices}"
    );
}

#[test]
fn a_voice_that_speaks_before_the_record_has_it_is_found_out() {
    // It breaks a promise, or the library sees that what was acknowledged is lost.
    let told = |seed: u64| {
        let panic = std::panic::catch_unwind(|| play(seed, true)).err()?;
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

struct Up {
    child: Child,
    lines: Receiver<String>,
    site: &'static str,
    at: String,
}

impl Drop for Up {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const NAMES: [&str; 3] = ["north", "south", "west"];

/// Three sites of a keeper each.
struct Land {
    folder: tempfile::TempDir,
    ways: Vec<Relay>,
}

impl Land {
    fn new() -> Land {
        let ways = NAMES
            .iter()
            .map(|_| Relay::open().expect("a port"))
            .collect();
        Land {
            folder: tempfile::tempdir().expect("a folder"),
            ways,
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
            let (name, at) = (NAMES[*other], self.ways[*other].address);
            text += &format!(
                "[[federation.site]]\nnumber = {number}\nname = \"{name}\"\nat = [\"{at}\"]\n"
            );
        }
        let path = self.folder.path().join(format!("{site}.toml"));
        std::fs::write(&path, text).expect("written");
        path
    }

    fn spawn(&self, n: usize) -> Up {
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
        Up {
            child,
            lines,
            site: NAMES[n],
            at: String::new(),
        }
    }

    fn start(&self, n: usize) -> Up {
        let mut up = self.spawn(n);
        up.at = up
            .says(": listens at ")
            .rsplit(' ')
            .next()
            .expect("an address")
            .into();
        self.ways[n].aim(up.at.parse().expect("an address"));
        up
    }
}

impl Up {
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

    /// Orders it until the answer is so, and gives that.
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
    let land = Land::new();
    let first = |n: usize| {
        let others: Vec<_> = (0..3)
            .filter(|o| *o != n)
            .map(|o| (o, o as u64 + 1))
            .collect();
        land.file(n, &format!("number = {}\nbegin = true", n + 1), &others);
    };
    (0..3).for_each(first);
    let (north, south) = (land.start(0), land.start(1));
    // Nobody begins before all know each other.
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
    // An order is carried out wherever it is given.
    let off = |site: &str| FederationRequest::RemoveSite { site: site.into() };
    for up in [&north, &south, &west] {
        up.until(&off("east"), |a| refused(a, "no site \"east\""));
    }
    let join = |number| {
        let at = vec![land.ways[2].address.to_string()];
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
    // Its folder is not one of another number, unless the file says what became of that.
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
