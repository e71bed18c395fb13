//! What the store's thread and those that it works for share, played in all orders:
//! src/store/worker.rs as it stands, on the primitives of a checker. Each model is shown to find a
//! fault that is planted in it.
//!
//! An order is one way in which the threads can take turns at locks, waits and starts.
// The file is there twice, each time on other primitives.
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
        // Who counts it last changes nothing that a thread sees.
        pub use std::sync::Arc;
    }
    pub mod worker;
}

/// The same on a condition that wakes nobody.
#[path = "../src/store"]
mod deaf {
    pub mod sync {
        pub use loom::sync::{Mutex, MutexGuard};
        pub use loom::thread;
        // Who counts it last changes nothing that a thread sees.
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

/// Faults that are planted here need two at most; each more takes about five times as long.
const STOPS: usize = 3;
/// Set in a process that plays a model with its fault.
const PLANTED: &str = "ORDERS_PLANTED";

use checked::worker::{JobHandle, Offloaded, Worker};
use loom::future::block_on;

/// Plays a model in all orders in which a thread is stopped for another one at most so often where
/// it could have gone on, and says how many there were; the checker panics where one fails or
/// stands still for ever. `ORDERS_STOPS=n` sets another bound.
fn orders(model: impl Fn() + Send + Sync + 'static) -> usize {
    let stops = std::env::var("ORDERS_STOPS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(STOPS);
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

/// The model holds in all orders. With its fault, in a process of its own since the checker does
/// not always unwind, it ends with these words.
fn finds(name: &str, words: &str, model: impl Fn(bool) + Send + Sync + 'static) {
    if std::env::var_os(PLANTED).is_some() {
        orders(move || model(true));
        return;
    }
    let test = std::thread::current().name().expect("a test").to_string();
    let me = std::env::current_exe().expect("a program");
    let planted = Process::new(me)
        .args(["--exact", &test, "--nocapture"])
        .env(PLANTED, "1")
        .output()
        .expect("run");
    let told = String::from_utf8_lossy(&planted.stderr);
    assert!(
        !planted.status.success() && told.contains(words),
        "{name}: the planted fault was not found: {told}"
    );
    eprintln!("{name}: {} orders", orders(move || model(false)));
}

fn start() -> Worker {
    Worker::start().expect("a thread")
}

/// What a log writes to, and what was told of it.
#[derive(Default)]
struct World {
    /// A write that a cut of power now would leave half done.
    begun: Option<u64>,
    written: Vec<u64>,
    told: Vec<u64>,
    /// Writes that find no room before one does.
    full: u32,
}

type Shared = Arc<loom::sync::Mutex<World>>;

fn world(full: u32) -> Shared {
    Arc::new(loom::sync::Mutex::new(World {
        full,
        ..World::default()
    }))
}

/// As a log does it: not at once, and it may find no room.
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

fn lent(log: &Shared) -> Offloaded<Shared, u64, bool> {
    Offloaded::new(start(), log.clone(), save)
}

#[test]
fn what_is_brought_is_done_in_order_and_told_also_when_the_worker_is_let_go_of() {
    finds("worker", "deadlock", |deaf| {
        let log = world(0);
        let mut same = [log.clone(), log.clone()];
        let [one, two] = &mut same;
        let (mut one, mut two) = (one.clone(), two.clone());
        if deaf {
            let worker = deaf::worker::Worker::start().expect("a thread");
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
fn nothing_is_told_before_it_is_written() {
    finds("told", "a cut of power now would lose it", |early| {
        let log = world(0);
        let seen = log.clone();
        let cut = loom::thread::spawn(move || {
            let world = seen.lock().expect("whole");
            let lost = world
                .told
                .iter()
                .find(|piece| !world.written.contains(piece));
            assert_eq!(lost, None, "told, and a cut of power now would lose it");
        });
        let mut keep = lent(&log);
        keep.start_job(1).expect("here");
        if early {
            log.lock().expect("whole").told.push(1);
        }
        assert_eq!(block_on(keep.finished()).expect("back"), (1, true));
        log.lock().expect("whole").told.push(1);
        cut.join().expect("seen");
    });
}

#[test]
fn one_that_is_told_to_end_meanwhile_has_the_log_and_the_piece_back() {
    finds("ending", "the log is lost", |lets_go| {
        let log = world(0);
        let tells = start();
        let told: JobHandle<()> = tells.run(|| ());
        let ended = async { told.await.map(|()| None) };
        if lets_go {
            // A log that is held by nothing but what waits for it.
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
        let mut keep = lent(&log);
        keep.start_job(1).expect("here");
        let saved = async { keep.finished().await.map(|(piece, _)| Some(piece)) };
        let came = block_on(saved.or(ended)).expect("the thread lives");
        let came = came.unwrap_or_else(|| block_on(keep.finished()).expect("back").0);
        assert!(came == 1 && keep.idle().is_some());
        assert_eq!(log.lock().expect("whole").written, [1]);
    });
}

#[test]
fn no_piece_is_written_while_one_before_it_is_not() {
    finds(
        "one at a time",
        "written while one before it is not",
        |two_out| {
            let log = world(1);
            let mut keep = lent(&log);
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
                    // Another one is given back.
                    assert_eq!(keep.start_job(9), Err(9));
                    let (piece, saved) = block_on(keep.finished()).expect("back");
                    left.extend((!saved).then_some(piece));
                }
            }
            assert_eq!(
                log.lock().expect("whole").written,
                [1, 2],
                "one is written while one before it is not"
            );
        },
    );
}

#[test]
fn who_waits_for_a_thread_that_dies_is_told_and_so_is_who_comes_later() {
    // It is meant to, in each order.
    std::panic::set_hook(Box::new(|told| {
        let told = told.to_string();
        if !told.contains("as planted") {
            eprintln!("{told}");
        }
    }));
    let dies = |_: &mut (), _: &u64| -> bool { panic!("as planted") };
    finds("dies", "deadlock", move |waits| {
        let worker = start();
        let mut keep = Offloaded::new(start(), (), dies);
        keep.start_job(1).expect("here");
        let behind = worker.run(|| panic!("as planted"));
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
            // As the keepers' driver did: it had the sending end itself, so the channel never
            // ended.
            let (written, done) = async_channel::bounded(1);
            let (sends, out) = (
                written.clone(),
                start().run(|| -> u64 { panic!("as planted") }),
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

// ---- The journal's part: the store's own log, which goes on writing while the thread syncs.

const DISK: u64 = 256 * 1024;

/// A disk at which others may come in between any two operations.
struct Turns(FaultyDisk, Arc<loom::sync::Mutex<()>>);

struct Turn(Arc<dyn DiskFile>, Arc<loom::sync::Mutex<()>>);

impl DiskFile for Turn {
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

impl Disk for Turns {
    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        self.0.list()
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        Ok(Arc::new(Turn(self.0.open(name)?, self.1.clone())))
    }

    fn create(&self, name: &str, size: u64) -> io::Result<Arc<dyn DiskFile>> {
        Ok(Arc::new(Turn(self.0.create(name, size)?, self.1.clone())))
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
struct Found(BTreeMap<u64, Vec<u8>>);

impl Replay for Found {
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

struct Asis;

impl SnapshotSource for Asis {
    fn snapshot(&self, _: u64, read_stored: ReadStored<'_>) -> io::Result<Vec<u8>> {
        read_stored()
    }
}

fn open(disk: Arc<dyn Disk>) -> (SegmentLog, Found) {
    let mut found = Found::default();
    let options = LogOptions {
        limit_bytes: DISK,
        seed: 5,
        sync_required: true,
    };
    let opened =
        SegmentLog::open(disk, options, None, &mut found, |_, _| 64).expect("a start succeeds");
    (opened.log, found)
}

#[test]
fn what_is_written_while_the_thread_syncs_counts_with_the_next_sync() {
    finds("sync", "a cut of power now would lose it", |all_at_once| {
        let (disk, worker) = (FaultyDisk::new(), start());
        let turns = Turns(disk.clone(), Arc::new(loom::sync::Mutex::new(())));
        let (mut log, _) = open(Arc::new(turns));
        let put = |log: &mut SegmentLog, n: u8| {
            log.put(Default::default(), &[n; 8], 64, &Asis)
                .result
                .expect("room")
        };
        let mut waits = vec![put(&mut log, 1)];
        for n in [2, 3] {
            // As the journal does: what is written by now, and no more.
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
            assert_eq!(lost, None, "told, and a cut of power now would lose it");
            waits = vec![later];
        }
    });
}
