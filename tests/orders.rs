//! Model checking of the synchronization between the store's thread and its users: compiles
//! src/store/worker.rs unchanged against loom's primitives and explores the interleavings. Each
//! model also has to find a fault that is injected into it.
//!
//! An order is one interleaving of the threads at locks, waits and thread starts.
// The file is compiled twice, each time with other primitives.
#![allow(clippy::duplicate_mod)]

use futures_lite::FutureExt;
use raildeal::store::disk::{Disk, DiskFile};
use raildeal::store::faulty::FaultyDisk;
use raildeal::store::log::{LogOptions, ReadStored, SegmentLog, SnapshotSource};
use raildeal::store::recover::{Replay, ReplayError};
use std::collections::BTreeMap;
use std::io;
use std::process::Command as Process;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[path = "../src/store"]
mod checked {
    pub mod sync {
        pub use loom::sync::{Condvar, Mutex, MutexGuard};
        pub use loom::thread;
        // The order of reference count updates is not observable by the threads.
        pub use std::sync::Arc;
    }
    pub mod worker;
}

/// The same worker with a condition variable whose notification does nothing.
#[path = "../src/store"]
mod no_notify {
    pub mod sync {
        pub use loom::sync::{Mutex, MutexGuard};
        pub use loom::thread;
        // The order of reference count updates is not observable by the threads.
        pub use std::sync::Arc;

        pub struct Condvar(loom::sync::Condvar);

        impl Condvar {
            pub fn new() -> Self {
                Condvar(loom::sync::Condvar::new())
            }

            pub fn wait<'a, T>(
                &self,
                guard: MutexGuard<'a, T>,
            ) -> std::sync::LockResult<MutexGuard<'a, T>> {
                self.0.wait(guard)
            }

            pub fn notify_one(&self) {}
        }
    }
    #[allow(dead_code)]
    pub mod worker;
}

/// Maximum number of preemptions per order. The injected faults need two at most; each further
/// preemption multiplies the run time by about five.
const MAX_PREEMPTIONS: usize = 3;
/// Environment variable set in a process that runs a model with its injected fault.
const INJECTED_FAULT: &str = "ORDERS_PLANTED";

use checked::worker::{JobHandle, Offloaded, Worker};
use loom::future::block_on;

/// Runs a model in all orders with a bounded number of preemptions, and returns the number of
/// orders. The checker panics if an order fails or deadlocks. `ORDERS_STOPS=n` sets another bound.
fn count_orders(model: impl Fn() + Send + Sync + 'static) -> usize {
    let stops = std::env::var("ORDERS_STOPS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(MAX_PREEMPTIONS);
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let mut checker = loom::model::Builder::new();
    checker.preemption_bound = Some(stops);
    checker.check(move || {
        counted.fetch_add(1, Ordering::Relaxed);
        model();
    });
    count.load(Ordering::Relaxed)
}

/// Checks that the model holds in all orders, and that it fails with `words` when its fault is
/// injected. The latter runs in a separate process, since the checker does not always unwind.
fn check_model(name: &str, words: &str, model: impl Fn(bool) + Send + Sync + 'static) {
    if std::env::var_os(INJECTED_FAULT).is_some() {
        count_orders(move || model(true));
        return;
    }
    let test = std::thread::current().name().expect("a test").to_string();
    let me = std::env::current_exe().expect("a program");
    let planted = Process::new(me)
        .args(["--exact", &test, "--nocapture"])
        .env(INJECTED_FAULT, "1")
        .output()
        .expect("run");
    let stderr = String::from_utf8_lossy(&planted.stderr);
    assert!(
        !planted.status.success() && stderr.contains(words),
        "{name}: the injected fault was not found: {stderr}"
    );
    eprintln!("{name}: {} orders", count_orders(move || model(false)));
}

fn start() -> Worker {
    Worker::start().expect("a thread")
}

/// State that a log writes to, and what was acknowledged.
#[derive(Default)]
struct World {
    /// A write in progress, which a power cut would leave incomplete.
    begun: Option<u64>,
    written: Vec<u64>,
    acknowledged: Vec<u64>,
    /// Number of writes that fail for lack of space before one succeeds.
    full: u32,
}

type Shared = Arc<loom::sync::Mutex<World>>;

fn new_world(full: u32) -> Shared {
    Arc::new(loom::sync::Mutex::new(World {
        full,
        ..World::default()
    }))
}

/// Writes a piece as a log does: in two steps, and possibly failing for lack of space.
fn save(log: &mut Shared, piece: &u64) -> bool {
    {
        let mut world = log.lock().expect("whole");
        if world.full > 0 {
            world.full -= 1;
            return false;
        }
        assert_eq!(
            world.begun.replace(*piece),
            None,
            "two pieces are written at once"
        );
    }
    let mut world = log.lock().expect("whole");
    world.begun = None;
    world.written.push(*piece);
    true
}

fn offload(log: &Shared) -> Offloaded<Shared, u64, bool> {
    Offloaded::new(start(), log.clone(), save)
}

#[test]
fn jobs_run_in_order_and_are_reported_even_when_the_worker_is_dropped() {
    check_model("worker", "deadlock", |without_notify| {
        let log = new_world(0);
        let mut same = [log.clone(), log.clone()];
        let [one, two] = &mut same;
        let (mut one, mut two) = (one.clone(), two.clone());
        if without_notify {
            let worker = no_notify::worker::Worker::start().expect("a thread");
            assert!(block_on(worker.run(move || save(&mut one, &1))).expect("done"));
            return;
        }
        let worker = start();
        let first = worker.run(move || save(&mut one, &1));
        let second = worker.run(move || save(&mut two, &2));
        drop(worker);
        assert!(block_on(second).expect("done") && block_on(first).expect("done"));
        assert_eq!(log.lock().expect("whole").written, [1, 2]);
    });
}

#[test]
fn nothing_is_acknowledged_before_it_is_written() {
    check_model("acknowledged", "a power cut now would lose it", |early| {
        let log = new_world(0);
        let seen = log.clone();
        let cut = loom::thread::spawn(move || {
            let world = seen.lock().expect("whole");
            let lost = world
                .acknowledged
                .iter()
                .find(|piece| !world.written.contains(piece));
            assert_eq!(lost, None, "acknowledged; a power cut now would lose it");
        });
        let mut keep = offload(&log);
        keep.start_job(1).expect("here");
        if early {
            log.lock().expect("whole").acknowledged.push(1);
        }
        assert_eq!(block_on(keep.finished()).expect("back"), (1, true));
        log.lock().expect("whole").acknowledged.push(1);
        cut.join().expect("seen");
    });
}

#[test]
fn task_that_is_ended_during_a_job_gets_the_log_and_the_piece_back() {
    check_model("ending", "the log is lost", |lets_go| {
        let log = new_world(0);
        let stopper = start();
        let stopped: JobHandle<()> = stopper.run(|| ());
        let ended = async { stopped.await.map(|()| None) };
        if lets_go {
            // The only reference to the log is in the future that waits for it.
            let (worker, mut held) = (start(), Some(log.clone()));
            let mut out = held.take().expect("here");
            let saved = async {
                let saved = worker.run(move || (save(&mut out, &1), out)).await?;
                held = Some(saved.1);
                Ok(Some(1))
            };
            drop(block_on(saved.or(ended)));
            assert!(held.is_some(), "the log is lost");
            return;
        }
        let mut keep = offload(&log);
        keep.start_job(1).expect("here");
        let saved = async { keep.finished().await.map(|(piece, _)| Some(piece)) };
        let done = block_on(saved.or(ended)).expect("the thread lives");
        let done = done.unwrap_or_else(|| block_on(keep.finished()).expect("back").0);
        assert!(done == 1 && keep.idle().is_some());
        assert_eq!(log.lock().expect("whole").written, [1]);
    });
}

#[test]
fn no_piece_is_written_while_an_earlier_one_is_not() {
    check_model(
        "one at a time",
        "written while an earlier one is not",
        |two_out| {
            let log = new_world(1);
            let mut keep = offload(&log);
            if two_out {
                let worker = start();
                let (mut one, mut two) = (log.clone(), log.clone());
                let out = (
                    worker.run(move || save(&mut one, &1)),
                    worker.run(move || save(&mut two, &2)),
                );
                drop((block_on(out.0), block_on(out.1)));
            } else {
                let mut left = vec![2, 1];
                while let Some(piece) = left.pop() {
                    keep.start_job(piece).expect("here");
                    // A second job is returned.
                    assert_eq!(keep.start_job(9), Err(9));
                    let (piece, saved) = block_on(keep.finished()).expect("back");
                    left.extend((!saved).then_some(piece));
                }
            }
            assert_eq!(
                log.lock().expect("whole").written,
                [1, 2],
                "one is written while an earlier one is not"
            );
        },
    );
}

#[test]
fn waiting_and_later_tasks_get_an_error_when_the_thread_panics() {
    // The panic is expected in each order, so it is not printed.
    std::panic::set_hook(Box::new(|message| {
        let message = message.to_string();
        if !message.contains("injected panic") {
            eprintln!("{message}");
        }
    }));
    let dies = |_: &mut (), _: &u64| -> bool { panic!("injected panic") };
    check_model("dies", "deadlock", move |waits| {
        let worker = start();
        let mut keep = Offloaded::new(start(), (), dies);
        keep.start_job(1).expect("here");
        let behind = worker.run(|| panic!("injected panic"));
        let behind: [JobHandle<()>; 2] = [behind, worker.run(|| ())];
        for out in behind {
            assert!(block_on(out).is_err());
        }
        assert!(block_on(worker.run(|| ())).is_err());
        for _ in 0..2 {
            assert!(block_on(keep.finished()).is_err());
        }
        assert!(keep.idle().is_none());
        if waits {
            // Reproduces a fault of the replicas' driver: it held a sender of the channel
            // itself, so the channel was never closed.
            let (written, done) = async_channel::bounded(1);
            let (sends, out) = (
                written.clone(),
                start().run(|| -> u64 { panic!("injected panic") }),
            );
            block_on(async move {
                if let Ok(wrote) = out.await {
                    let _ = sends.send(wrote).await;
                }
            });
            let _ = block_on(done.recv());
            drop(written);
        }
    });
}

// ---- The log of the store, which the journal continues to write while the thread syncs.

const LIMIT_BYTES: u64 = 256 * 1024;

/// A disk at which other threads may run between any two operations.
struct InterleavedDisk(FaultyDisk, Arc<loom::sync::Mutex<()>>);

struct InterleavedFile(Arc<dyn DiskFile>, Arc<loom::sync::Mutex<()>>);

impl DiskFile for InterleavedFile {
    fn size(&self) -> io::Result<u64> {
        self.0.size()
    }

    fn read_at(&self, into: &mut [u8], at: u64) -> io::Result<usize> {
        self.0.read_at(into, at)
    }

    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<usize> {
        let _turn = self.1.lock().expect("whole");
        self.0.write_at(bytes, at)
    }

    fn sync(&self) -> io::Result<()> {
        let _turn = self.1.lock().expect("whole");
        self.0.sync()
    }
}

impl Disk for InterleavedDisk {
    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        self.0.list()
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        Ok(Arc::new(InterleavedFile(
            self.0.open(name)?,
            self.1.clone(),
        )))
    }

    fn create(&self, name: &str, size: u64) -> io::Result<Arc<dyn DiskFile>> {
        Ok(Arc::new(InterleavedFile(
            self.0.create(name, size)?,
            self.1.clone(),
        )))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }

    fn free_bytes(&self) -> io::Result<u64> {
        self.0.free_bytes()
    }

    fn sync(&self) -> io::Result<()> {
        let _turn = self.1.lock().expect("whole");
        Disk::sync(&self.0)
    }
}

#[derive(Default)]
struct FoundItems(BTreeMap<u64, Vec<u8>>);

impl Replay for FoundItems {
    fn on_put(&mut self, no: u64, data: &[u8]) -> Result<(), ReplayError> {
        self.0.insert(no, data.into());
        Ok(())
    }

    fn on_update(&mut self, _: u64, _: &[u8]) -> Result<(), ReplayError> {
        Ok(())
    }

    fn on_remove(&mut self, no: u64) {
        self.0.remove(&no);
    }

    fn on_possible_loss(&mut self) {}

    fn on_losses_known(&mut self, _: &[bool]) {}
}

struct StoredData;

impl SnapshotSource for StoredData {
    fn snapshot(&self, _: u64, read_stored: ReadStored<'_>) -> io::Result<Vec<u8>> {
        read_stored()
    }
}

fn open(disk: Arc<dyn Disk>) -> (SegmentLog, FoundItems) {
    let mut found = FoundItems::default();
    let options = LogOptions {
        limit_bytes: LIMIT_BYTES,
        seed: 5,
        sync_required: true,
    };
    let opened =
        SegmentLog::open(disk, options, None, &mut found, |_, _| 64).expect("a start succeeds");
    (opened.log, found)
}

#[test]
fn data_written_during_a_sync_is_durable_only_after_the_next_sync() {
    check_model("sync", "a power cut now would lose it", |all_at_once| {
        let (disk, worker) = (FaultyDisk::new(), start());
        let turns = InterleavedDisk(disk.clone(), Arc::new(loom::sync::Mutex::new(())));
        let (mut log, _) = open(Arc::new(turns));
        let put = |log: &mut SegmentLog, n: u8| {
            log.put(Default::default(), &[n; 8], 64, &StoredData)
                .result
                .expect("room")
        };
        let mut waits = vec![put(&mut log, 1)];
        for n in [2, 3] {
            // As the journal does: covers only what is written by now.
            let unsynced = log.take_unsynced();
            let syncing = worker.run(move || (unsynced.sync(), unsynced));
            let later = put(&mut log, n);
            let (synced, unsynced) = block_on(syncing).expect("the thread lives");
            synced.expect("it works");
            log.mark_synced(&unsynced);
            if all_at_once {
                waits.push(later);
            }
            let (_, found) = open(Arc::new(FaultyDisk::from_image(
                disk.after_power_cut(|| false),
            )));
            let lost = waits.iter().find(|no| !found.0.contains_key(no));
            assert_eq!(lost, None, "acknowledged; a power cut now would lose it");
            waits = vec![later];
        }
    });
}
