//! Signals that meet failing socket calls, other signals, a start or an end: each is acted upon.
//!
//! The calls fail only around the signal: from before it is sent until it is no longer pending and
//! what the process does for it at once is over. No message and no move of the directory comes in
//! between.

use super::Turn;
use raildeal_test_harness::directory::Directory;
use raildeal_test_harness::record::Record;
#[cfg(feature = "fleet")]
use raildeal_test_harness::sender::has_untaken_signal;
use raildeal_test_harness::sender::Sender;
#[cfg(feature = "fleet")]
use raildeal_test_harness::syscall_faults::SyscallFaults;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{self, Write};
#[cfg(feature = "fleet")]
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_raildeal");
/// Where the draws of the fault library begin.
const SEED: u64 = 59;
/// All calls, of a thousand.
const ALL: u16 = 1_000;
/// Some calls, of a thousand, as the soak draws them at most.
const SOME: u16 = 100;
/// A process starts or hears its directory within this time, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);
/// A signal is taken within this time, also on a busy machine, where a thread of the process waits.
const TAKEN: Duration = Duration::from_millis(200);
/// From the moment at which a signal is no longer pending to the end of the few system calls that
/// the process makes for it; a thousand times what they need, for busy machines.
const ACTED_UPON: Duration = Duration::from_millis(50);
/// From the end of the faults until a signal counts: the directory's empty line comes each 2 s, so
/// that a process without messages turns at least that often, and a second for busy machines.
const COUNTS: Duration = Duration::from_secs(3);
/// Time that a message has; nobody listens at its endpoint, so that its end is a notice.
const LEFT: Duration = Duration::from_millis(1_500);
/// From SIGTERM to SIGKILL, by the protocol; the program ends by itself after 3.4 s at the latest.
const TERM_TO_KILL: Duration = Duration::from_millis(3_700);
/// Time of a message that is held while all series are sent, which need some 3 s.
const LEFT_OVER_SERIES: Duration = Duration::from_secs(5);
/// Series of signals, and signals of each.
const SERIES: (u16, u16) = (30, 7);
/// Between two signals of a series.
const BETWEEN: Duration = Duration::from_millis(5);
/// The file that tells a process its configuration, in its folder.
const CONFIG: &str = "config.json";
/// A note of the process before, which is read when the signals are known already and before the
/// process listens.
const NOTE: &str = "state/trusted";
/// Between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(2);

/// Looks until it is so, for this time at most. Whether it was.
fn is_within(time: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    while !is_so() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(LOOK);
    }
    true
}

/// The one endpoint: nobody listens at it.
fn endpoint() -> Value {
    json!({"uid": "gone", "endpoint": "127.0.0.9:1", "az": "a", "model": "hook", "pod_group": 0,
        "state": "active", "capacity_hint": 10.0, "boot_ms": 0})
}

/// A directory of that endpoint, and what it hears.
struct Platform {
    directory: Directory,
    record: Arc<Record>,
}

impl Platform {
    fn start() -> Platform {
        let record = Arc::<Record>::default();
        let directory = Directory::start(Duration::ZERO, vec![endpoint()], record.clone())
            .expect("a directory");
        Platform { directory, record }
    }

    fn address(&self) -> SocketAddr {
        self.directory.address
    }

    /// Whether it was asked, and has answered.
    fn is_watched(&self) -> bool {
        !self.record.seen().told.is_empty()
    }

    fn has_notice(&self, id: &str) -> bool {
        let seen = self.record.seen();
        seen.lives.get(id).is_some_and(|l| !l.told.is_empty())
    }
}

fn config(discovery: SocketAddr) -> Value {
    json!({
        "listen": "127.0.0.1:0", "discovery": discovery, "seed": "0000000000000059",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 3},
        "known": {"rev": 1, "all": true, "targets": [endpoint()]},
        "settings": {
            "balancers": 1, "discovery": "subscribe", "kinds": ["hook"], "localities": ["a"],
            "weights": "rough",
            "categories": [{"name": "event", "promise": 3_000_000_000u64, "deadline": 8_000_000_000u64,
                "effect": "token", "dedupScope": "zone", "window": 5_000_000_000u64, "points": 1.0,
                "lateWorth": 0.5}],
            "familyInfo": {"maxCalls": 12, "kindApart": [true], "kindBatch": [1],
                "losesWorth": "halving"},
            "limits": {"maxAttempts": 12, "openCap": 100, "retryAfter": true,
                "maxRetryAfter": 2_000_000_000u64, "idleClose": 15_000_000_000u64,
                "connectTimeout": 1_500_000_000u64},
            "rules": {"coldShare": 0.23, "warmAfter": 13_000_000_000u64, "overloadFactor": 2.0,
                "overloadFor": 3_000_000_000u64, "mustAskIn": 10_000_000_000u64}
        }
    })
}

/// A process with the fault library that watches this platform.
fn watching(platform: &Platform) -> Sender {
    let (program, name) = (Path::new(PROGRAM), "n0".to_string());
    let mut sender = Sender::new(program, name, config(platform.address())).expect("a folder");
    sender.with_faults(SEED).expect("the fault library");
    sender.spawn().expect("started");
    sender.listens().expect("up");
    assert!(is_within(PATIENCE, || platform.is_watched()), "no watch");
    sender
}

/// Sends a signal while socket calls fail, and ends that once it is acted upon.
fn signalled(sender: &Sender, interrupted: u16, short: u16, signal: impl Fn(&Sender)) {
    let faults = sender.faults().expect("the fault library");
    faults.sockets(interrupted, short).expect("written");
    signal(sender);
    hold_until_taken(|| sender.has_untaken_signal());
    faults.sockets(0, 0).expect("written");
}

/// Waits until a signal is taken and acted upon. A process that meets nothing but failing calls may
/// take it only once they are over.
fn hold_until_taken(has_untaken: impl Fn() -> io::Result<bool>) {
    is_within(TAKEN, || !has_untaken().unwrap_or(false));
    thread::sleep(ACTED_UPON);
}

/// The line of the log that tells of a move.
fn moved_to(address: SocketAddr) -> String {
    format!("configuration read again: discovery at {address}")
}

fn hands_in(sender: &Sender, id: &str, left: Duration, record: &Record) {
    assert!(sender.hand_in(id, 0, left, record), "{id} was not taken on");
}

fn moves_while_calls_fail(interrupted: u16, short: u16) {
    let _turn = Turn::wait();
    let (old, new) = (Platform::start(), Platform::start());
    let mut sender = watching(&old);
    let (log, words) = (sender.log(), moved_to(new.address()));
    assert!(!log.said(&words));
    hands_in(&sender, "m1", LEFT, &new.record);

    sender.move_directory(new.address()).expect("written");
    signalled(&sender, interrupted, short, Sender::hang_up);
    let counts = is_within(COUNTS, || log.said(&words));
    let is_told = is_within(LEFT + COUNTS, || {
        new.has_notice("m1") || old.has_notice("m1")
    });

    let old_told = old.has_notice("m1");
    assert!(
        counts && is_told && !old_told,
        "read again: {counts}; a notice: {is_told}, at the old address: {old_told}"
    );
}

/// Guards against a SIGHUP that is lost where the call that wakes the program is interrupted.
#[test]
fn a_configuration_that_is_told_while_all_socket_calls_are_interrupted_counts() {
    moves_while_calls_fail(ALL, 0);
}

/// Guards against a SIGHUP that is lost where the call that wakes the program is cut.
#[test]
fn a_configuration_that_is_told_while_all_socket_calls_take_one_byte_counts() {
    moves_while_calls_fail(0, ALL);
}

fn ends_while_calls_fail(interrupted: u16, short: u16) {
    let _turn = Turn::wait();
    let platform = Platform::start();
    let mut sender = watching(&platform);

    let told_at = Instant::now();
    signalled(&sender, interrupted, short, Sender::tell_to_end);
    let left = TERM_TO_KILL.saturating_sub(told_at.elapsed());
    let has_ended = is_within(left, || sender.status().is_some());

    let status = sender.status();
    assert!(has_ended, "it still runs after {:?}", told_at.elapsed());
    assert!(status.is_some_and(|s| s.success()), "{status:?}");
}

/// Guards against a SIGTERM that is lost in an interrupted write, so that the process is killed.
#[test]
fn a_process_told_to_end_while_all_socket_calls_are_interrupted_ends_in_time() {
    ends_while_calls_fail(ALL, 0);
}

/// Guards against a SIGTERM that is lost in a write that is cut, so that the process is killed.
#[test]
fn a_process_told_to_end_while_all_socket_calls_take_one_byte_ends_in_time() {
    ends_while_calls_fail(0, ALL);
}

/// Guards against a last SIGHUP of many that is lost, or misread behind the rest of another.
#[test]
fn of_many_configurations_told_while_some_socket_calls_fail_the_last_one_counts() {
    let _turn = Turn::wait();
    let (old, new) = (Platform::start(), Platform::start());
    let mut sender = watching(&old);
    let log = sender.log();
    let (series, signals) = SERIES;
    hands_in(&sender, "m1", LEFT_OVER_SERIES, &new.record);

    let mut lost = Vec::new();
    for round in 0..series {
        // Nobody listens there; no two signals name the same address.
        let nobody = |n: u16| SocketAddr::from(([127, 0, 0, 9], 1_000 + round * signals + n));
        let last = nobody(signals - 1);
        let words = moved_to(last);
        assert!(!log.said(&words));
        for n in 0..signals - 1 {
            sender.move_directory(nobody(n)).expect("written");
            let faults = sender.faults().expect("the fault library");
            faults.sockets(SOME, SOME).expect("written");
            sender.hang_up();
            thread::sleep(BETWEEN);
        }
        sender.move_directory(last).expect("written");
        signalled(&sender, SOME, SOME, Sender::hang_up);
        // The first loss is waited for in full; more of them are counted without.
        let time = if lost.is_empty() { COUNTS } else { ACTED_UPON };
        if !is_within(time, || log.said(&words)) {
            lost.push(round);
        }
    }
    sender.move_directory(new.address()).expect("written");
    sender.hang_up();
    let is_told = is_within(LEFT_OVER_SERIES + COUNTS, || new.has_notice("m1"));

    assert!(
        lost.is_empty(),
        "lost in {} of {series}: {lost:?}",
        lost.len()
    );
    assert!(is_told, "no notice at the last address");
}

/// Guards against an end, or a notice to the old address, by a SIGHUP that comes after SIGTERM.
#[test]
fn a_configuration_that_is_told_while_it_winds_down_counts_for_the_notices_left() {
    let _turn = Turn::wait();
    let (old, new) = (Platform::start(), Platform::start());
    let mut sender = watching(&old);
    let (log, told_to_end) = (sender.log(), "told to end with");
    hands_in(&sender, "m1", LEFT, &new.record);
    assert!(!log.said(told_to_end));

    let told_at = Instant::now();
    sender.tell_to_end();
    assert!(is_within(COUNTS, || log.said(told_to_end)), "not told");
    sender.move_directory(new.address()).expect("written");
    sender.hang_up();
    // One that ends by itself gives the message to the next start where it is not over.
    let is_told = is_within(TERM_TO_KILL, || new.has_notice("m1"));
    let left = TERM_TO_KILL.saturating_sub(told_at.elapsed());
    let has_ended = is_within(left, || sender.status().is_some());

    assert!(is_told, "at the old address: {}", old.has_notice("m1"));
    let status = sender.status();
    assert!(
        has_ended && status.is_some_and(|s| s.success()),
        "{status:?}"
    );
}

/// A process of the program, which is killed with its owner.
struct Process(Child);

impl Process {
    /// Sends a signal. One that reads its pipe has it before what is written there afterwards.
    fn send(&self, signal: Signal) {
        let pid = Pid::from_raw(self.0.id() as i32).expect("a number");
        kill_process(pid, signal).expect("sent");
    }

    /// How it ended; nothing while it runs.
    fn status(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().expect("known")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended already is not killed.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A process that is held up at a file that it reads when it starts, which is a pipe here; and the
/// pipe's end for writing, which is open once the process reads.
fn held_up(folder: &TempDir, at: &str) -> (Process, File) {
    let pipe = folder.path().join(at);
    let made = Command::new("mkfifo").arg(&pipe).status();
    assert!(made.is_ok_and(|s| s.success()), "no pipe");
    let child = Command::new(PROGRAM)
        .env("NODE_CONFIG", folder.path().join(CONFIG))
        .env("NODE_STATE", folder.path().join("state"))
        .env("NODE_NAME", "n0")
        .env("RUST_LOG", "info")
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .map(Process)
        .expect("started");
    let (sends, opened) = channel();
    thread::spawn(move || sends.send(File::options().write(true).open(pipe)));
    let opened = opened.recv_timeout(PATIENCE).expect("it reads");
    (child, opened.expect("a pipe"))
}

/// A folder for a process, with an empty one for its state.
fn folder() -> TempDir {
    let folder = TempDir::new().expect("a folder");
    std::fs::create_dir(folder.path().join("state")).expect("a folder");
    folder
}

/// Puts a configuration with this platform in the place of the one before.
fn tell(folder: &TempDir, platform: &Platform) {
    let text = config(platform.address()).to_string();
    let new = folder.path().join("new.json");
    std::fs::write(&new, text).expect("a file");
    std::fs::rename(new, folder.path().join(CONFIG)).expect("replaced");
}

/// Guards against an operator's SIGHUP right after a start that kills the process, or is forgotten.
#[test]
fn a_configuration_that_is_told_before_the_first_is_read_counts() {
    let folder = folder();
    let (old, new) = (Platform::start(), Platform::start());
    let (mut process, mut pipe) = held_up(&folder, CONFIG);

    // What is read for the signal is a file like any other: the pipe would be waited for again.
    tell(&folder, &new);
    process.send(Signal::HUP);
    let text = config(old.address()).to_string();
    // One that is gone reads nothing.
    let written = pipe.write_all(text.as_bytes());
    drop(pipe);
    let is_watched = is_within(PATIENCE, || new.is_watched());

    let status = process.status();
    assert!(is_watched && status.is_none(), "{status:?} {written:?}");
}

/// Guards against a SIGTERM that comes right after a start and is forgotten.
#[test]
fn a_process_told_to_end_before_its_configuration_is_read_ends_in_time() {
    let (folder, platform) = (folder(), Platform::start());
    let (mut process, mut pipe) = held_up(&folder, CONFIG);

    process.send(Signal::TERM);
    let text = config(platform.address()).to_string();
    // One that is gone reads nothing.
    let written = pipe.write_all(text.as_bytes());
    drop(pipe);
    is_within(TERM_TO_KILL, || process.status().is_some());

    let status = process.status();
    let has_ended = status.is_some_and(|s| s.success());
    assert!(has_ended, "{status:?}; {written:?}");
}

/// Guards against a SIGHUP that is forgotten between the first read and the listener.
#[test]
fn a_configuration_that_is_told_before_the_process_listens_counts() {
    let folder = folder();
    let (old, new) = (Platform::start(), Platform::start());
    tell(&folder, &old);
    let (mut process, pipe) = held_up(&folder, NOTE);

    tell(&folder, &new);
    process.send(Signal::HUP);
    drop(pipe);
    let is_watched = is_within(PATIENCE, || new.is_watched());

    let status = process.status();
    assert!(is_watched && status.is_none(), "{status:?}");
}

/// A coordinator alone, and whether it ends in time.
#[cfg(feature = "fleet")]
fn coordinator_ends_while_calls_fail(interrupted: u16, short: u16) {
    let folder = TempDir::new().expect("a folder");
    let faults = SyscallFaults::new(folder.path(), SEED).expect("the fault library");
    let (file, state) = (
        folder.path().join("keeper.toml"),
        folder.path().join("state"),
    );
    std::fs::create_dir(&state).expect("a folder");
    let text = format!(
        "site = \"rig\"\nkeeper = 1\nlisten = \"127.0.0.1:0\"\nstate = {state:?}\ndisk_mb = 20\n\
         begin = true\nagents = [\"127.0.0.0/8\"]\n"
    );
    std::fs::write(&file, text).expect("a file");
    let mut process = Command::new(PROGRAM)
        .arg("keeper")
        .arg(&file)
        .envs(faults.environment())
        .env("RUST_LOG", "info")
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map(Process)
        .expect("started");
    let (says, said) = channel();
    let stderr = process.0.stderr.take().expect("a log");
    thread::spawn(move || {
        let lines = BufReader::new(stderr).lines().map_while(Result::ok);
        lines.for_each(|line| drop(says.send(line)));
    });
    let mut lines = Vec::new();
    while !lines
        .iter()
        .any(|l: &String| l.contains(": leads in term "))
    {
        lines.push(
            said.recv_timeout(PATIENCE)
                .unwrap_or_else(|e| panic!("{e}: {lines:?}")),
        );
    }

    faults
        .check_loaded(process.0.id())
        .expect("the fault library");

    let told_at = Instant::now();
    faults.sockets(interrupted, short).expect("written");
    process.send(Signal::TERM);
    hold_until_taken(|| has_untaken_signal(process.0.id()));
    faults.sockets(0, 0).expect("written");
    let left = TERM_TO_KILL.saturating_sub(told_at.elapsed());
    is_within(left, || process.status().is_some());

    let status = process.status();
    assert!(status.is_some_and(|s| s.success()), "{status:?}");
}

/// Guards against a coordinator that misses the word to end in an interrupted write.
#[cfg(feature = "fleet")]
#[test]
fn a_coordinator_told_to_end_while_all_socket_calls_are_interrupted_ends_in_time() {
    coordinator_ends_while_calls_fail(ALL, 0);
}

/// Guards against a coordinator that misses the word to end in a write that is cut.
#[cfg(feature = "fleet")]
#[test]
fn a_coordinator_told_to_end_while_all_socket_calls_take_one_byte_ends_in_time() {
    coordinator_ends_while_calls_fail(0, ALL);
}
