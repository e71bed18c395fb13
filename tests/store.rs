//! Runs random histories on the store, injects each kind of fault at every operation, and checks
//! the state after a restart against what was acknowledged and sent before. A failure names its
//! seed, fault and operation. `STORE_SEEDS=n` runs n seeds instead of the small default.

use raildeal::delivery::journal::persistent_clock::PersistentClock;
use raildeal::delivery::journal::{Durability, Journal, JournalOptions, OpenRecord};
use raildeal::delivery::{Envelope, Verdict};
use raildeal::store::faulty::{DiskImage, Fault, FaultyDisk};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const LEFT: Duration = Duration::from_secs(16);
const ZONES: [&str; 3] = ["a", "b", "c"];

/// State of a message as its client and its endpoint know it, independent of the store.
#[derive(Clone, Debug, Default)]
struct ExpectedMessage {
    size: usize,
    /// Whether the message was acknowledged to its client, or rejected.
    acknowledged: bool,
    rejected: bool,
    /// Zone of each call that was sent, and whether it may have run.
    calls: Vec<(&'static str, bool)>,
    in_flight: bool,
    /// Zone of a call that was about to be sent when the process ended.
    starting_zone: Option<&'static str>,
    /// Verdict that was reported, and the one that was about to be.
    verdict: Option<Verdict>,
    pending_verdict: Option<Verdict>,
    closed: bool,
    closing: bool,
}

impl ExpectedMessage {
    fn may_have_run(&self) -> Option<&'static str> {
        self.calls
            .iter()
            .find(|(_, may)| *may)
            .map(|(zone, _)| *zone)
    }
}

struct World {
    rng: fastrand::Rng,
    disk: FaultyDisk,
    setup: JournalOptions,
    /// Current time, which advances by some milliseconds at each step.
    time: Rc<Cell<Duration>>,
    journal: Rc<Journal>,
    records: BTreeMap<String, OpenRecord>,
    expected: BTreeMap<String, ExpectedMessage>,
    /// Whether writes for stored messages may fail, since a fault other than lack of space was
    /// injected.
    may_fail: bool,
    /// Maximum length of a body in bytes: of one message in twelve, and of the others.
    sizes: (usize, usize),
}

fn open(
    disk: &FaultyDisk,
    setup: JournalOptions,
    time: &Rc<Cell<Duration>>,
) -> (Rc<Journal>, Vec<OpenRecord>) {
    let (disk, time) = (Arc::new(disk.clone()), time.clone());
    let monotonic_clock = Box::new(move || time.get());
    let clock = |_| PersistentClock::from_wall_clock();
    Journal::open_on(disk, setup, None, Vec::new(), monotonic_clock, clock)
        .expect("a start succeeds")
}

impl World {
    fn new(seed: u64, setup: JournalOptions) -> Self {
        let disk = FaultyDisk::new();
        let time = Rc::new(Cell::new(Duration::ZERO));
        let (journal, none) = open(&disk, setup, &time);
        assert!(none.is_empty());
        let (records, expected) = (BTreeMap::new(), BTreeMap::new());
        World {
            rng: fastrand::Rng::with_seed(seed),
            disk,
            setup,
            time,
            journal,
            records,
            expected,
            may_fail: false,
            sizes: (5_000, 1_500),
        }
    }

    /// Makes everything written durable before it is acted upon.
    fn settle(&self) -> bool {
        self.journal.sync_now().is_ok()
    }

    fn step(&mut self) {
        self.time.set(self.time.get() + Duration::from_millis(20));
        let kind = self.rng.u32(0..100);
        let which = self.rng.usize(..1.max(self.records.len()));
        let id = self.records.keys().nth(which).cloned();
        match (kind, id) {
            (0..=24, _) | (_, None) => self.accept_message(),
            (25..=31, _) => drop(self.journal.maintain_once()),
            (_, Some(id)) => self.advance(&id),
        }
        assert!(
            self.disk.total_bytes() <= self.setup.limit_bytes,
            "over the limit"
        );
    }

    fn accept_message(&mut self) {
        let id = format!("m{}", self.expected.len());
        let most = if self.rng.u32(..12) == 0 {
            self.sizes.0
        } else {
            self.sizes.1
        };
        let size = self.rng.usize(..most);
        let envelope = Envelope {
            id: id.clone(),
            body: vec![7; size],
            ..Envelope::default()
        };
        let mut expected = ExpectedMessage {
            size,
            ..ExpectedMessage::default()
        };
        match self.journal.append_accepted(envelope, LEFT, 0, 0) {
            Ok(record) => {
                expected.acknowledged = self.settle();
                self.records.insert(id.clone(), record);
                // A client that got no answer sends the message again, so the result under this id
                // does not count.
                expected.closing = !expected.acknowledged;
            }
            Err(_) => expected.rejected = !self.disk.is_killed(),
        }
        self.expected.insert(id, expected);
    }

    fn advance(&mut self, id: &str) {
        let record = &self.records[id];
        let expected = self.expected.get_mut(id).expect("known");
        if expected.closing && !expected.closed {
            let _ = record;
            return self.close(id);
        }
        if expected.verdict.is_some() {
            return self.close(id);
        }
        if expected.in_flight {
            let may = self.rng.bool();
            record.attempt_ended(may);
            expected.calls.last_mut().expect("a call").1 = may;
            expected.in_flight = false;
            return;
        }
        if self.rng.u32(..3) == 0 {
            let verdict = match expected.may_have_run() {
                Some(_) if self.rng.bool() => Verdict::Delivered,
                Some(_) => Verdict::Undeliverable,
                None => Verdict::Deferred {
                    retry_after_ms: self.rng.u64(..5000),
                },
            };
            let verdict = expected.pending_verdict.unwrap_or(verdict);
            expected.pending_verdict = Some(verdict);
            match record.decided(verdict) {
                Ok(()) if self.journal.sync_now().is_ok() => expected.verdict = Some(verdict),
                Ok(()) => {}
                Err(e) => assert!(self.may_fail, "{id}: no space for its verdict: {e}"),
            }
            return;
        }
        let zone = expected
            .may_have_run()
            .unwrap_or(ZONES[self.rng.usize(..3)]);
        if expected.pending_verdict.is_some() {
            return;
        }
        expected.starting_zone = Some(zone);
        match record.attempt_started(zone) {
            Ok(()) if self.journal.sync_now().is_ok() => {
                expected.calls.push((zone, true));
                (expected.in_flight, expected.starting_zone) = (true, None);
            }
            // Written but possibly not durable: the call is not sent.
            Ok(()) => record.attempt_ended(false),
            Err(e) => assert!(self.may_fail, "{id}: no space for its call: {e}"),
        }
    }

    fn close(&mut self, id: &str) {
        let expected = self.expected.get_mut(id).expect("known");
        expected.closing = true;
        let record = self.records.remove(id).expect("held");
        match record.close() {
            // Without a sync, the message may reappear after a power cut.
            Ok(()) => expected.closed = self.setup.durability == Durability::Process,
            Err(e) => assert!(self.may_fail, "{id}: no space for its removal: {e}"),
        }
    }

    /// Starts the next process on `image` and checks the messages that it recovers.
    fn restart(&mut self, image: DiskImage) {
        self.records.clear();
        self.disk = FaultyDisk::from_image(image);
        let (journal, records) = open(&self.disk, self.setup, &self.time);
        self.journal = journal;
        for record in records {
            let id = record.envelope().id.clone();
            assert!(
                self.records.insert(id.clone(), record).is_none(),
                "{id} was recovered twice"
            );
        }
        for (id, expected) in &mut self.expected {
            let Some(record) = self.records.get(id) else {
                assert!(
                    !expected.acknowledged || expected.closed || expected.closing,
                    "{id} is lost: {expected:?}"
                );
                continue;
            };
            assert!(!expected.closed, "{id} was closed: {expected:?}");
            assert!(!expected.rejected, "{id} was rejected: {expected:?}");
            let account = record.snapshot();
            if let Some(reported) = expected.verdict {
                assert_eq!(
                    account.verdict,
                    Some(reported),
                    "{id} has another verdict: {expected:?}"
                );
                continue;
            }
            assert!(
                account.verdict.is_none() || account.verdict == expected.pending_verdict,
                "{id}: {account:?}"
            );
            expected.verdict = account.verdict;
            if expected.verdict.is_some() {
                continue;
            }
            assert!(
                usize::from(account.attempts) >= expected.calls.len(),
                "{id}: {account:?} {expected:?}"
            );
            let recovered = account.may_have_run().map(|s| s.zone.as_str());
            match expected.may_have_run() {
                Some(zone) => assert_eq!(recovered, Some(zone), "{id} may have run: {expected:?}"),
                // A call that did not run may be recovered as one that may have run.
                None => {
                    let last = expected.calls.last().map(|c| c.0);
                    assert!(
                        recovered.is_none()
                            || recovered == last
                            || recovered == expected.starting_zone,
                        "{id}: {recovered:?} {expected:?}"
                    );
                    expected.calls.extend(recovered.map(|zone| {
                        (
                            ZONES[ZONES.iter().position(|z| *z == zone).expect("one")],
                            true,
                        )
                    }));
                }
            }
            let whole = async_io::block_on(record.load_envelope()).expect("its body");
            assert_eq!(whole.body.len(), expected.size, "{id}");
            record.attempt_ended(true);
            (expected.in_flight, expected.starting_zone) = (false, None);
        }
        for id in self.records.keys() {
            assert!(self.expected.contains_key(id), "{id} was never submitted");
        }
    }

    /// Continues until all stored messages are closed.
    fn finish(&mut self) {
        for _ in 0..2_000 {
            let Some(id) = self.records.keys().next().cloned() else {
                return;
            };
            self.advance(&id);
        }
        panic!("{} messages do not end", self.records.len());
    }
}

fn setup(durability: Durability, bodies: u64) -> JournalOptions {
    JournalOptions {
        durability,
        cached_body_bytes: bodies,
        seed: 5,
        ..JournalOptions::new(110_000)
    }
}

fn seeds(few: u64) -> std::ops::Range<u64> {
    let count = std::env::var("STORE_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok());
    0..count.unwrap_or(few)
}

const STEPS: usize = 800;

/// Runs a history with a fault at one of its operations. Returns its number of operations.
fn run(seed: u64, setup: JournalOptions, fault: Option<(u64, Fault)>) -> u64 {
    let mut world = World::new(seed, setup);
    if let Some((at, fault)) = fault {
        world.disk.fail(at, fault);
        world.may_fail = true;
    }
    for _ in 0..STEPS {
        world.step();
        if world.disk.is_killed() {
            break;
        }
    }
    let operations = world.disk.operations();
    if fault.is_none() {
        assert!(
            world.journal.statistics().retired_segments >= 4
                && world.journal.statistics().cleaned_bytes > 0,
            "seed {seed}: too little was cleaned: {:?}",
            world.journal.statistics()
        );
    }
    let image = match world.setup.durability {
        Durability::Process => world.disk.after_kill(),
        Durability::Machine => {
            let mut coin = fastrand::Rng::with_seed(seed ^ operations);
            world.disk.after_power_cut(|| coin.bool())
        }
    };
    world.restart(image);
    world.may_fail = false;
    for _ in 0..40 {
        world.step();
    }
    world.finish();
    let left = world.disk.after_kill();
    world.restart(left);
    operations
}

/// Runs a history once per fault and operation: for one in `every` of them, or for all if
/// `STORE_SEEDS` is set.
fn campaign(setup: JournalOptions, few: u64, every: usize, faults: &[Fault]) {
    let every = if std::env::var_os("STORE_SEEDS").is_some() {
        1
    } else {
        every
    };
    let (mut runs, mut operations) = (0, 0);
    for seed in seeds(few) {
        let all = run(seed, setup, None);
        operations += all;
        for (nth, fault) in (0..all)
            .flat_map(|at| faults.iter().map(move |f| (at, *f)))
            .enumerate()
        {
            if (nth + seed as usize) % every == 0 {
                let result = std::panic::catch_unwind(|| run(seed, setup, Some(fault)));
                assert!(result.is_ok(), "seed {seed}, {fault:?}, of {all}");
                runs += 1;
            }
        }
    }
    eprintln!("{runs} runs, {operations} operations");
}

#[test]
fn kill_at_any_operation_neither_loses_nor_repeats_messages() {
    campaign(
        setup(Durability::Process, u64::MAX),
        2,
        3,
        &[
            Fault::Kill,
            Fault::Torn(3),
            Fault::Torn(13),
            Fault::Torn(16),
        ],
    );
}

#[test]
fn kill_while_bodies_are_on_disk_only_loses_no_body() {
    campaign(
        setup(Durability::Process, 3_000),
        1,
        3,
        &[Fault::Kill, Fault::Torn(8)],
    );
}

#[test]
fn failed_operation_is_not_ignored() {
    campaign(
        setup(Durability::Process, u64::MAX),
        2,
        3,
        &[Fault::Io, Fault::NoSpace, Fault::Short],
    );
}

#[test]
fn power_cut_at_any_operation_keeps_synced_data() {
    campaign(
        setup(Durability::Machine, u64::MAX),
        2,
        5,
        &[Fault::Kill, Fault::Torn(7)],
    );
}

#[test]
fn failed_sync_or_write_is_repaired_before_anything_is_acknowledged() {
    campaign(setup(Durability::Machine, u64::MAX), 1, 5, &[Fault::Io]);
}

#[test]
fn stored_messages_need_no_space_from_a_full_file_system() {
    for seed in seeds(20) {
        let mut world = World::new(seed, setup(Durability::Process, u64::MAX));
        if seed % 4 == 0 {
            // Bodies of maximum length, in a folder of the size used with them.
            world = World::new(
                seed,
                JournalOptions {
                    limit_bytes: 3_000_000,
                    ..world.setup
                },
            );
            world.sizes = (65_536, 65_536);
        }
        for round in 0..30 {
            for _ in 0..60 {
                world.step();
            }
            // Alternates between a full file system and one with space. Stored messages can be
            // finished in both cases, and a restart in between succeeds.
            world
                .disk
                .set_quota((round % 3 != 2).then_some(world.disk.total_bytes()));
            if round % 7 == 3 {
                let (image, quota) = (world.disk.after_kill(), world.disk.total_bytes());
                world.restart(image);
                world.disk.set_quota(Some(quota));
            }
        }
        world.finish();
    }
}
