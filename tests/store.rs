//! The store stopped at every operation of random histories, with each kind of fault, and checked
//! afterwards against what was told and sent meanwhile. A failure names its seed, its fault and the
//! operation; `STORE_SEEDS=n` runs n seeds instead of the few that a usual run has.

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

/// What the world knows of a message, whatever the store says.
#[derive(Clone, Debug, Default)]
struct Truth {
    size: usize,
    /// Its client heard that it is taken on, or that it is not.
    promised: bool,
    refused: bool,
    /// Zone of each call that went, and whether it may have run.
    calls: Vec<(&'static str, bool)>,
    out: bool,
    /// Where a call was about to go when the process ended.
    tried: Option<&'static str>,
    /// What was told, and what was about to be.
    verdict: Option<Verdict>,
    deciding: Option<Verdict>,
    closed: bool,
    closing: bool,
}

impl Truth {
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
    /// Moves on by some milliseconds with each step.
    time: Rc<Cell<Duration>>,
    journal: Rc<Journal>,
    records: BTreeMap<String, OpenRecord>,
    truth: BTreeMap<String, Truth>,
    /// Lines on what is held may fail: a fault other than want of room was planted.
    faults: bool,
    /// Most bytes of a body: of one in twelve, and of the others.
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
        let (records, truth) = (BTreeMap::new(), BTreeMap::new());
        World {
            rng: fastrand::Rng::with_seed(seed),
            disk,
            setup,
            time,
            journal,
            records,
            truth,
            faults: false,
            sizes: (5_000, 1_500),
        }
    }

    /// What has to be durable before it is acted upon.
    fn settle(&self) -> bool {
        self.journal.sync_now().is_ok()
    }

    fn step(&mut self) {
        self.time.set(self.time.get() + Duration::from_millis(20));
        let kind = self.rng.u32(0..100);
        let which = self.rng.usize(..1.max(self.records.len()));
        let id = self.records.keys().nth(which).cloned();
        match (kind, id) {
            (0..=24, _) | (_, None) => self.take_on(),
            (25..=31, _) => drop(self.journal.maintain_once()),
            (_, Some(id)) => self.go_on(&id),
        }
        assert!(
            self.disk.total_bytes() <= self.setup.limit_bytes,
            "over the limit"
        );
    }

    fn take_on(&mut self) {
        let id = format!("m{}", self.truth.len());
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
        let mut truth = Truth {
            size,
            ..Truth::default()
        };
        match self.journal.append_accepted(envelope, LEFT, 0, 0) {
            Ok(record) => {
                truth.promised = self.settle();
                self.records.insert(id.clone(), record);
                // A client that was not told hands it in again; what is done under this id does not
                // count.
                truth.closing = !truth.promised;
            }
            Err(_) => truth.refused = !self.disk.is_killed(),
        }
        self.truth.insert(id, truth);
    }

    fn go_on(&mut self, id: &str) {
        let record = &self.records[id];
        let truth = self.truth.get_mut(id).expect("known");
        if truth.closing && !truth.closed {
            let _ = record;
            return self.close(id);
        }
        if truth.verdict.is_some() {
            return self.close(id);
        }
        if truth.out {
            let may = self.rng.bool();
            record.attempt_ended(may);
            truth.calls.last_mut().expect("a call").1 = may;
            truth.out = false;
            return;
        }
        if self.rng.u32(..3) == 0 {
            let verdict = match truth.may_have_run() {
                Some(_) if self.rng.bool() => Verdict::Delivered,
                Some(_) => Verdict::Undeliverable,
                None => Verdict::Deferred {
                    retry_after_ms: self.rng.u64(..5000),
                },
            };
            let verdict = truth.deciding.unwrap_or(verdict);
            truth.deciding = Some(verdict);
            match record.decided(verdict) {
                Ok(()) if self.journal.sync_now().is_ok() => truth.verdict = Some(verdict),
                Ok(()) => {}
                Err(e) => assert!(self.faults, "{id}: no room for its end: {e}"),
            }
            return;
        }
        let zone = truth.may_have_run().unwrap_or(ZONES[self.rng.usize(..3)]);
        if truth.deciding.is_some() {
            return;
        }
        truth.tried = Some(zone);
        match record.attempt_started(zone) {
            Ok(()) if self.journal.sync_now().is_ok() => {
                truth.calls.push((zone, true));
                (truth.out, truth.tried) = (true, None);
            }
            // Written and perhaps not durable: it does not go.
            Ok(()) => record.attempt_ended(false),
            Err(e) => assert!(self.faults, "{id}: no room for its call: {e}"),
        }
    }

    fn close(&mut self, id: &str) {
        let truth = self.truth.get_mut(id).expect("known");
        truth.closing = true;
        let record = self.records.remove(id).expect("held");
        match record.close() {
            // Without a sync it may come back after a power cut, and no more than that.
            Ok(()) => truth.closed = self.setup.durability == Durability::Process,
            Err(e) => assert!(self.faults, "{id}: no room for its last line: {e}"),
        }
    }

    /// The next process, on what it finds.
    fn restart(&mut self, image: DiskImage) {
        self.records.clear();
        self.disk = FaultyDisk::from_image(image);
        let (journal, records) = open(&self.disk, self.setup, &self.time);
        self.journal = journal;
        for record in records {
            let id = record.envelope().id.clone();
            assert!(
                self.records.insert(id.clone(), record).is_none(),
                "{id} came back twice"
            );
        }
        for (id, truth) in &mut self.truth {
            let Some(record) = self.records.get(id) else {
                assert!(
                    !truth.promised || truth.closed || truth.closing,
                    "{id} is lost: {truth:?}"
                );
                continue;
            };
            assert!(!truth.closed, "{id} was over: {truth:?}");
            assert!(!truth.refused, "{id} was refused: {truth:?}");
            let account = record.snapshot();
            if let Some(told) = truth.verdict {
                assert_eq!(
                    account.verdict,
                    Some(told),
                    "{id} has another end: {truth:?}"
                );
                continue;
            }
            assert!(
                account.verdict.is_none() || account.verdict == truth.deciding,
                "{id}: {account:?}"
            );
            truth.verdict = account.verdict;
            if truth.verdict.is_some() {
                continue;
            }
            assert!(
                usize::from(account.attempts) >= truth.calls.len(),
                "{id}: {account:?} {truth:?}"
            );
            let told = account.may_have_run().map(|s| s.zone.as_str());
            match truth.may_have_run() {
                Some(zone) => assert_eq!(told, Some(zone), "{id} may have run there: {truth:?}"),
                // A call that is known not to have run may be taken for one that has.
                None => {
                    let last = truth.calls.last().map(|c| c.0);
                    assert!(
                        told.is_none() || told == last || told == truth.tried,
                        "{id}: {told:?} {truth:?}"
                    );
                    truth.calls.extend(told.map(|zone| {
                        (
                            ZONES[ZONES.iter().position(|z| *z == zone).expect("one")],
                            true,
                        )
                    }));
                }
            }
            let whole = async_io::block_on(record.load_envelope()).expect("its body");
            assert_eq!(whole.body.len(), truth.size, "{id}");
            record.attempt_ended(true);
            (truth.out, truth.tried) = (false, None);
        }
        for id in self.records.keys() {
            assert!(self.truth.contains_key(id), "{id} was never handed in");
        }
    }

    /// Everything that is held comes to its end.
    fn finish(&mut self) {
        for _ in 0..2_000 {
            let Some(id) = self.records.keys().next().cloned() else {
                return;
            };
            self.go_on(&id);
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
    let told = std::env::var("STORE_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok());
    0..told.unwrap_or(few)
}

const STEPS: usize = 800;

/// Runs a history, with a fault at one of its operations; gives how many operations it had.
fn run(seed: u64, setup: JournalOptions, fault: Option<(u64, Fault)>) -> u64 {
    let mut world = World::new(seed, setup);
    if let Some((at, fault)) = fault {
        world.disk.fail(at, fault);
        world.faults = true;
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
            "seed {seed}: too little to clean: {:?}",
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
    world.faults = false;
    for _ in 0..40 {
        world.step();
    }
    world.finish();
    let left = world.disk.after_kill();
    world.restart(left);
    operations
}

/// Operations of a history, each in a run of its own: one in so many in a usual run, all where
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
                let told = std::panic::catch_unwind(|| run(seed, setup, Some(fault)));
                assert!(told.is_ok(), "seed {seed}, {fault:?}, of {all}");
                runs += 1;
            }
        }
    }
    eprintln!("{runs} runs, {operations} operations");
}

#[test]
fn a_kill_at_any_operation_loses_nothing_and_repeats_nothing() {
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
fn a_kill_while_bodies_are_away_loses_none() {
    campaign(
        setup(Durability::Process, 3_000),
        1,
        3,
        &[Fault::Kill, Fault::Torn(8)],
    );
}

#[test]
fn a_failing_operation_is_not_ignored() {
    campaign(
        setup(Durability::Process, u64::MAX),
        2,
        3,
        &[Fault::Io, Fault::NoSpace, Fault::Short],
    );
}

#[test]
fn a_power_cut_at_any_operation_keeps_what_was_synced() {
    campaign(
        setup(Durability::Machine, u64::MAX),
        2,
        5,
        &[Fault::Kill, Fault::Torn(7)],
    );
}

#[test]
fn a_sync_or_write_that_fails_is_made_good_before_anything_is_told() {
    campaign(setup(Durability::Machine, u64::MAX), 1, 5, &[Fault::Io]);
}

#[test]
fn what_is_held_needs_no_room_from_a_file_system_that_others_have_filled() {
    for seed in seeds(20) {
        let mut world = World::new(seed, setup(Durability::Process, u64::MAX));
        if seed % 4 == 0 {
            // The longest bodies there are, in a folder of the size that they come with.
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
            // Filled to the last byte, and free again: neither stops what is held, and a start
            // succeeds in between.
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
