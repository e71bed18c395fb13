//! Benchmark of the store under load: `cargo bench --bench store`. One run measures the store with
//! cleaning, without copying, and the legacy format, whose compaction rewrote all open messages in
//! one step.
//!
//! Messages end in random order, so that cleaning has to copy the remaining ones. The defaults are
//! `OPEN=50000 BODY=1200 STEPS=200000 RECOVER_MB=16,64,256,1024`.

use hdrhistogram::Histogram;
use raildeal::delivery::journal::legacy_v1 as v1;
use raildeal::delivery::journal::{Durability, Journal, JournalOptions, OpenRecord};
use raildeal::delivery::{Envelope, Verdict};
use std::collections::VecDeque;
use std::fs;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const LEFT: Duration = Duration::from_secs(16);

fn env_or(name: &str, absent: usize) -> usize {
    std::env::var(name)
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(absent)
}

fn envelope(n: usize, body: usize) -> Envelope {
    Envelope {
        id: format!("{n:016x}"),
        key: Some(format!("{n:032x}")),
        dest: 7,
        body: vec![9; body],
        ..Envelope::default()
    }
}

fn folder() -> TempDir {
    match std::env::var_os("STORE_DIR") {
        Some(dir) => TempDir::new_in(dir),
        None => TempDir::new(),
    }
    .expect("a folder")
}

struct Latencies {
    accept: Histogram<u64>,
    maintain: Histogram<u64>,
    all: Histogram<u64>,
}

impl Latencies {
    fn new() -> Self {
        let empty = || Histogram::new(3).expect("a histogram");
        Latencies {
            accept: empty(),
            maintain: empty(),
            all: empty(),
        }
    }
}

fn time<T>(into: &mut [&mut Histogram<u64>], work: impl FnOnce() -> T) -> T {
    let begun = Instant::now();
    let made = work();
    let took = begun.elapsed().as_nanos() as u64;
    into.iter_mut()
        .for_each(|h| h.record(took).expect("recorded"));
    made
}

fn line(what: &str, h: &Histogram<u64>) {
    let us = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
    println!(
        "{what:<34} p50 {:>8.1}  p99 {:>8.1}  p99.9 {:>8.1}  p99.99 {:>8.1}  longest {:>8.1} us",
        us(0.5),
        us(0.99),
        us(0.999),
        us(0.9999),
        h.max() as f64 / 1e3
    );
}

/// Runs a steady load with `open` messages: each step accepts one, records an attempt of one, and
/// ends one. It ends the oldest, which leaves nothing to copy, or if `mixed` a random one, so that
/// some stay open for long.
fn steady(
    name: &str,
    options: JournalOptions,
    (open, body, steps): (usize, usize, usize),
    mixed: bool,
) -> (Latencies, f64) {
    let folder = folder();
    let (journal, _) = Journal::open(folder.path(), options).expect("opened");
    let mut latencies = Latencies::new();
    let mut held: VecDeque<OpenRecord> = VecDeque::new();
    let (mut n, mut rng) = (0, fastrand::Rng::with_seed(1));
    while held.len() < open {
        held.push_back(
            journal
                .append_accepted(envelope(n, body), LEFT, 0, 0)
                .expect("room"),
        );
        n += 1;
    }
    let (before, begun) = (journal.statistics(), Instant::now());
    for step in 0..steps {
        let Latencies {
            accept,
            maintain,
            all,
        } = &mut latencies;
        let record = time(&mut [accept, all], || {
            journal.append_accepted(envelope(n, body), LEFT, 0, 0)
        })
        .expect("room");
        n += 1;
        held.push_back(record);
        let middle = &held[open / 2];
        time(&mut [all], || middle.attempt_started("edificio-a")).expect("written");
        time(&mut [all], || middle.attempt_ended(true));
        if mixed {
            held.swap(0, rng.usize(..held.len()));
        }
        let first = held.pop_front().expect("held");
        time(&mut [all], || first.decided(Verdict::Delivered)).expect("written");
        time(&mut [all], || first.close()).expect("written");
        if step % 50 == 0 {
            time(&mut [maintain, all], || journal.maintain_once());
        }
    }
    let rate = steps as f64 / begun.elapsed().as_secs_f64();
    let done = journal.statistics();
    let (asked, cleaned) = (
        done.requested_bytes - before.requested_bytes,
        done.cleaned_bytes - before.cleaned_bytes,
    );
    let amplified = 1.0 + cleaned as f64 / asked as f64;
    println!(
        "{name}: {rate:.0} messages a second, {} MB live, {} segments retired, written {amplified:.2} times",
        journal.occupancy().live_bytes / 1_000_000,
        done.retired_segments - before.retired_segments
    );
    (latencies, amplified)
}

/// Measures a compaction of the legacy format: all open messages are encoded and written to a file
/// that replaces the old one.
fn old_compaction(open: usize, body: usize) -> Duration {
    let folder = folder();
    let (journal, _) =
        Journal::open(folder.path(), JournalOptions::new(4_000_000_000)).expect("opened");
    let held: Vec<OpenRecord> = (0..open)
        .map(|n| {
            journal
                .append_accepted(envelope(n, body), LEFT, 0, 0)
                .expect("room")
        })
        .collect();
    let accounts: Vec<_> = held
        .iter()
        .enumerate()
        .map(|(n, r)| (n as u64, r.snapshot()))
        .collect();
    let (new, path) = (
        folder.path().join("journal.new"),
        folder.path().join("journal"),
    );
    let begun = Instant::now();
    fs::write(&new, v1::encode_file(&accounts)).expect("written");
    fs::rename(&new, &path).expect("renamed");
    begun.elapsed()
}

/// Measures the time to open a store of about `mb` megabytes, half of it live.
fn recovery(mb: usize, options: JournalOptions) {
    let folder = folder();
    let body = 1200;
    let all = mb * 1_000_000 / (body + 500);
    let (journal, _) = Journal::open(folder.path(), options).expect("opened");
    fill(&journal, all, body);
    while journal.maintain_once() {}
    drop(journal);
    let size = size(folder.path());
    let begun = Instant::now();
    let (_journal, records) = Journal::open(folder.path(), options).expect("opened");
    let took = begun.elapsed();
    println!(
        "recovery: {:>5} MB in files, {:>6} open of {all} messages: {:>7.1} ms ({:.0} MB/s)",
        size / 1_000_000,
        records.len(),
        took.as_secs_f64() * 1e3,
        size as f64 / 1e6 / took.as_secs_f64()
    );
}

fn fill(journal: &Rc<Journal>, all: usize, body: usize) {
    let (mut held, mut rng) = (VecDeque::new(), fastrand::Rng::with_seed(2));
    for n in 0..all * 2 {
        held.push_back(
            journal
                .append_accepted(envelope(n, body), LEFT, 0, 0)
                .expect("room"),
        );
        if held.len() > all * 2 / 5 {
            held.swap(0, rng.usize(..held.len()));
            let first: OpenRecord = held.pop_front().expect("held");
            first.close().expect("written");
        }
    }
}

fn size(folder: &Path) -> u64 {
    fs::read_dir(folder)
        .expect("a folder")
        .map(|f| f.expect("a file").metadata().expect("its size").len())
        .sum()
}

fn main() {
    let (open, body, steps) = (
        env_or("OPEN", 50_000),
        env_or("BODY", 1200),
        env_or("STEPS", 200_000),
    );
    let live = (open * (body + 300)) as u64;
    println!("{open} messages open with bodies of {body} bytes, {steps} steps");
    let (options, size) = (
        JournalOptions::new(live * 2 + 30_000_000),
        (open, body, steps),
    );
    let (without, _) = steady("nothing to copy", options, size, false);
    let (with, _) = steady("cleaning", options, size, true);
    let (away, _) = steady(
        "cleaning, bodies on disk",
        JournalOptions {
            cached_body_bytes: live / 20,
            ..options
        },
        size,
        true,
    );
    line("accept, nothing to copy", &without.accept);
    line("accept, cleaning", &with.accept);
    line("accept, cleaning, bodies on disk", &away.accept);
    line("any write, nothing to copy", &without.all);
    line("any write, cleaning", &with.all);
    line("any write, bodies on disk", &away.all);
    line("idle step, cleaning", &with.maintain);
    println!(
        "legacy format: one compaction of the same messages takes {:.1} ms",
        old_compaction(open, body).as_secs_f64() * 1e3
    );
    for mb in std::env::var("RECOVER_MB")
        .unwrap_or("16,64,256,1024".into())
        .split(',')
    {
        let mb: usize = mb.trim().parse().expect("megabytes");
        recovery(
            mb,
            JournalOptions {
                durability: Durability::Process,
                ..JournalOptions::new(mb as u64 * 1_000_000)
            },
        );
    }
}
