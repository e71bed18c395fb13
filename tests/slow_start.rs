//! Calls of all senders together to an endpoint in slow start, in sliding windows: 1 to 1,000
//! senders with the quota alone, up to a hundred with the whole module.

mod common;

use common::{settings, MS, SEC};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError, TestRunner};
use raildeal::dispatch::slow_start::{max_calls_per_window, warmup_fraction, SlowStartQuota};
use raildeal::*;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};

/// Whether so many calls in a window overload an endpoint with budget `n`, by the rule of the
/// standing test. It is written again here, so that the code under test does not judge itself.
fn exceeds_limit(calls: usize, n: f64) -> bool {
    let roots = if n < 30.0 { 3.0 } else { 2.0 };
    calls as f64 > n + roots * n.sqrt() + roots
}

fn runner(cases: u32) -> TestRunner {
    let rng_seed = RngSeed::Fixed(0x0071_da1d);
    // Shrinking a random failure does not make it easier to read.
    let max_shrink_iters = 0;
    let config = ProptestConfig {
        rng_seed,
        failure_persistence: None,
        cases,
        max_shrink_iters,
        ..Default::default()
    };
    TestRunner::new(config)
}

/// Steps per window.
const STEPS: usize = 60;

/// Arrival pattern of messages at the senders.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// Each sender always has a message.
    Always,
    /// Each sender gets a message with this probability per step, unless it has one that waits.
    Rare(f64),
    /// Each sender has messages in every other span of this many steps: all start and stop sending
    /// at once.
    Pulses(usize),
}

fn demand() -> impl Strategy<Value = Demand> {
    prop_oneof![
        Just(Demand::Always),
        (0.0005..0.1f64).prop_map(Demand::Rare),
        (20..400usize).prop_map(Demand::Pulses)
    ]
}

/// Returns log-uniform values: each power of ten is equally likely.
fn log_uniform(from: f64, to: f64) -> impl Strategy<Value = f64> {
    (from.ln()..to.ln()).prop_map(f64::exp)
}

/// Returns the calls in each step of `windows`, where all senders together may send `n(step)` in a
/// window. The first turns are drawn, as the dispatcher draws them when an endpoint fails.
fn calls(
    senders: u32,
    demand: Demand,
    seed: u64,
    windows: usize,
    n: impl Fn(usize) -> f64,
) -> Vec<usize> {
    let mut random = fastrand::Rng::with_seed(seed);
    let growth = n(STEPS) - n(0);
    let first = SlowStartQuota::for_sender(n(0), growth, 1.0, senders);
    let drawn = |r: &mut fastrand::Rng| {
        if first.needs_random_turns() {
            r.f64()
        } else {
            first.accrue(0.0, 1e9)
        }
    };
    let mut due: Vec<f64> = (0..senders).map(|_| drawn(&mut random)).collect();
    let mut waits = vec![false; senders as usize];
    (0..windows * STEPS)
        .map(|step| {
            let ramp = SlowStartQuota::for_sender(n(step), growth, 1.0, senders);
            let mut sent = 0;
            for (due, waits) in due.iter_mut().zip(&mut waits) {
                *due = ramp.accrue(*due, 1.0 / STEPS as f64);
                *waits = match demand {
                    Demand::Always => true,
                    Demand::Rare(chance) => *waits || random.f64() < chance,
                    Demand::Pulses(long) => step / long % 2 == 0,
                };
                while *waits && *due >= 1.0 {
                    (*due, *waits) = (*due - 1.0, !matches!(demand, Demand::Rare(_)));
                    sent += 1;
                }
            }
            sent
        })
        .collect()
}

#[test]
fn at_most_one_window_in_a_thousand_of_1_to_1000_senders_exceeds_the_bound() {
    let (windows, over) = (Cell::new(0), Cell::new(0));
    let of = (
        log_uniform(1.0, 1_000.5),
        log_uniform(0.2, 600.0),
        demand(),
        any::<u64>(),
    );
    runner(300)
        .run(&of, |(senders, n, demand, seed)| {
            let senders = senders as u32;
            // Many senders keep the limit while messages wait at each of them, which is the highest
            // demand.
            let few = !SlowStartQuota::for_sender(n, 0.0, 1.0, senders).needs_random_turns();
            let calls = calls(
                senders,
                if few { demand } else { Demand::Always },
                seed,
                100,
                |_| n,
            );
            let too_many = calls
                .windows(STEPS)
                .filter(|w| exceeds_limit(w.iter().sum(), n))
                .count();
            prop_assert!(!few || too_many == 0, "{too_many} of few senders");
            windows.set(windows.get() + calls.len());
            over.set(over.get() + too_many);
            Ok::<(), TestCaseError>(())
        })
        .expect("few senders always keep the limit");
    println!("{} of {} windows", over.get(), windows.get());
    assert!(
        over.get() * 1_000 <= windows.get(),
        "{} of {} windows",
        over.get(),
        windows.get()
    );
}

#[test]
fn at_most_one_recovery_in_a_hundred_of_1_to_1000_senders_exceeds_the_bound() {
    const RETURNS: u32 = 1_000;
    let over = Cell::new(0);
    let of = (
        log_uniform(1.0, 1_000.5),
        log_uniform(0.5, 200.0),
        0.05..0.6f64,
        2..10usize,
        demand(),
        any::<u64>(),
    );
    runner(RETURNS)
        .run(&of, |(senders, first, cold, long, demand, seed)| {
            let n = |step: usize| {
                first / cold * warmup_fraction(cold, step as f64 / (long * STEPS) as f64)
            };
            let needs_random_turns = |step| {
                SlowStartQuota::for_sender(n(step), n(STEPS) - n(0), 1.0, senders as u32)
                    .needs_random_turns()
            };
            let by_chance = (0..=long * STEPS).any(needs_random_turns);
            let demand = if by_chance { Demand::Always } else { demand };
            let calls = calls(senders as u32, demand, seed, long, n);
            let sum = |end: usize| calls[end.saturating_sub(STEPS)..end].iter().sum();
            let too_many = (1..=calls.len()).find(|end| exceeds_limit(sum(*end), n(*end)));
            prop_assert!(
                by_chance || too_many.is_none(),
                "few senders, by step {too_many:?}"
            );
            over.set(over.get() + u32::from(too_many.is_some()));
            Ok(())
        })
        .expect("few senders always keep the limit");
    println!("{} of {RETURNS} recoveries", over.get());
    assert!(
        over.get() * 100 <= RETURNS,
        "{} of {RETURNS} recoveries",
        over.get()
    );
}

#[test]
fn the_quota_of_all_senders_uses_what_the_endpoint_accepts() {
    let part = |senders, n, growth| {
        SlowStartQuota::for_sender(n, growth, 3.0, senders).rate * 3.0 * f64::from(senders) / n
    };
    for senders in [1, 3, 10, 30, 100, 300, 1_000] {
        for n in [0.5, 2.0, 5.0, 14.0, 29.0, 30.0, 45.0, 100.0, 400.0] {
            // A lower rate where chance would exceed the limit: many senders that each make less
            // than a call.
            let least = if senders <= 30 || n < 20.0 {
                1.0 - 1e-6
            } else {
                0.82
            };
            assert!(
                (least..=1.000_001).contains(&part(senders, n, 0.0)),
                "{senders} senders, {n} calls"
            );
            // Where the limit of an endpoint doubles within a window, that growth alone covers the
            // random excess.
            assert!(
                part(senders, n, n / 2.0) > 1.0 - 1e-6,
                "{senders} senders, {n} calls"
            );
        }
    }
}

#[test]
fn the_bound_matches_the_standing_test_and_never_falls_as_the_limit_grows() {
    for tenth in 0..5_000 {
        let n = f64::from(tenth) / 10.0;
        assert!(
            !exceeds_limit(max_calls_per_window(n).floor() as usize, n),
            "{n}"
        );
        assert!(
            max_calls_per_window(n) <= max_calls_per_window(n + 0.1),
            "{n}"
        );
    }
    assert!(exceeds_limit(
        max_calls_per_window(100.0) as usize + 1,
        100.0
    ));
}

/// Duration of a delivered call, and of a failed connect.
const CALL: (Nanos, Nanos) = (200 * MS, 10 * MS);
/// Time that a message has left.
const TTL: Nanos = 12 * SEC;
const STEP: Nanos = 10 * MS;

/// An endpoint that fails and recovers at reduced capacity, called by whole dispatchers.
struct Recovery {
    senders: Vec<Dispatcher>,
    s: Settings,
    listed: f64,
    /// Number of endpoints that fail together, this one included.
    down_endpoints: u8,
    now: Nanos,
    down: bool,
    /// Time at which the endpoint recovered.
    recovered_at: Option<Nanos>,
    /// Times of the calls received since, within the last window.
    received: VecDeque<Nanos>,
    /// Highest count of a window, relative to the limit, with the calls and the budget at that
    /// time.
    worst: (f64, usize, f64),
    out: BTreeMap<(Nanos, usize, MessageId), Outcome>,
    attempts: BTreeMap<MessageId, u16>,
    next: MessageId,
    random: fastrand::Rng,
}

impl Recovery {
    fn new(
        senders: u32,
        (endpoints, down_endpoints): (u8, u8),
        listed: f64,
        seed: u64,
    ) -> Recovery {
        let s = Settings {
            senders,
            listed_rates: ListedRates::Exact,
            max_in_flight_calls: 40,
            max_held_messages: 400,
            slow_start_fraction: 0.23,
            slow_start_duration: 13 * SEC,
            overload_window: 3 * SEC,
            max_attempts: 12,
            ..settings()
        };
        let line = |n| Listing {
            rate: listed as f32,
            ..common::line(n, 1, 2, Condition::Ready)
        };
        let (now, list) = (5 * SEC, Vec::from_iter((1..=endpoints).map(line)));
        let dispatcher = |i| {
            let mut dispatcher =
                Dispatcher::new(s.clone(), seed * 10_000 + i).expect("valid settings");
            dispatcher.handle(now, &[Event::CachedList(list.clone())], &mut Vec::new());
            dispatcher
        };
        Recovery {
            senders: (0..u64::from(senders)).map(dispatcher).collect(),
            s,
            listed,
            down_endpoints,
            now,
            down: false,
            recovered_at: None,
            received: VecDeque::new(),
            worst: (0.0, 0, 0.0),
            out: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the calls that the endpoint may get in a window now, during its recovery.
    fn budget(&self) -> Option<f64> {
        let warmed = (self.now - self.recovered_at?) as f64 / self.s.slow_start_duration as f64;
        let can = self.listed
            * warmup_fraction(self.s.slow_start_fraction, warmed)
            * self.s.overload_window as f64
            / SEC as f64;
        (warmed < 1.0).then_some(self.s.overload_factor * can)
    }

    fn call_result(&mut self, endpoint: EndpointAddress) -> (Nanos, Outcome) {
        if self.down && endpoint <= common::at(self.down_endpoints) {
            return (CALL.1, Outcome::ConnectFailed);
        }
        if endpoint != common::at(1) {
            return (CALL.0, Outcome::Delivered);
        }
        let Some(n) = self.budget() else {
            return (CALL.0, Outcome::Delivered);
        };
        self.received.push_back(self.now);
        self.received
            .retain(|at| at + self.s.overload_window > self.now);
        let roots = if n < 30.0 { 3.0 } else { 2.0 };
        let part = self.received.len() as f64 / (n + roots * n.sqrt() + roots);
        if part > self.worst.0 {
            self.worst = (part, self.received.len(), n);
        }
        (CALL.0, Outcome::Delivered)
    }

    fn handle_event(&mut self, dispatcher: usize, event: Event) {
        let mut actions = Vec::new();
        self.senders[dispatcher].handle(self.now, &[event], &mut actions);
        for a in actions {
            let Action::Send { id, endpoint, .. } = a else {
                continue;
            };
            *self.attempts.entry(id).or_insert(0) += 1;
            let (took, outcome) = self.call_result(endpoint);
            self.out.insert((self.now + took, dispatcher, id), outcome);
        }
    }

    /// Lets time pass, with messages that arrive at random senders at this rate per second.
    fn pass(&mut self, seconds: u64, rate: f64) {
        for _ in 0..seconds * SEC / STEP {
            self.now += STEP;
            if self.random.f64() < rate * STEP as f64 / SEC as f64 {
                self.next += 1;
                let m = Message {
                    id: self.next,
                    tenant: 0,
                    class: 0,
                    key: 0,
                    ttl: TTL,
                    dest: 1,
                };
                let dispatcher = self.random.usize(0..self.senders.len());
                self.handle_event(dispatcher, Event::Arrived(m));
            }
            while let Some((&(at, dispatcher, id), _)) =
                self.out.first_key_value().filter(|(k, _)| k.0 <= self.now)
            {
                let outcome = self.out.remove(&(at, dispatcher, id)).expect("in flight");
                let finished = outcome == Outcome::Delivered;
                let (attempt, took) = (
                    self.attempts[&id] - 1,
                    if finished { CALL.0 } else { CALL.1 },
                );
                self.handle_event(
                    dispatcher,
                    Event::AttemptEnded {
                        id,
                        attempt,
                        outcome,
                        took,
                        finished,
                        report: Vec::new(),
                    },
                );
            }
            (0..self.senders.len()).for_each(|r| self.handle_event(r, Event::TimerFired));
        }
    }

    /// Runs the endpoint through normal operation, an outage and its recovery. Returns the worst
    /// window.
    fn run(&mut self, down: u64, rate: f64) -> (f64, usize, f64) {
        self.pass(10, rate);
        self.down = true;
        self.pass(down, rate);
        (self.down, self.recovered_at) = (false, Some(self.now));
        self.pass(14, rate);
        self.worst
    }
}

/// Returns the runs of 1 to 100 senders in which an endpoint that was down for `down` seconds got
/// more calls than it accepts.
fn runs_over_the_limit(down: u64) -> Vec<String> {
    let loads = [(4.0, 0.8), (10.0, 0.8), (10.0, 2.5), (40.0, 1.5)];
    let mut over = Vec::new();
    for senders in [1, 3, 9, 10, 30, 100] {
        // Number of endpoints of the destination, and of those that fail.
        for shape in [(1, 1), (2, 1), (2, 2)] {
            for (seed, (listed, load)) in loads.into_iter().enumerate() {
                let mut recovery = Recovery::new(senders, shape, listed, seed as u64 + 1);
                let worst = recovery.run(down, listed * load);
                let seen = format!(
                    "{senders} senders, {shape:?}, {listed} listed, load {load}, down {down} s: {worst:.2?}"
                );
                println!("{seen}");
                over.extend((worst.0 > 1.0).then_some(seen));
            }
        }
    }
    over
}

#[test]
fn senders_keep_the_bound_of_an_endpoint_that_recovers_from_an_outage() {
    for down in [6, 10, 25] {
        let over = runs_over_the_limit(down);
        assert!(over.is_empty(), "{over:#?}");
    }
}

/// Guards against an overload of an endpoint that was down for under one and a half windows (4.5 s
/// here): all senders together overloaded it at its recovery, and it stayed down. A series of
/// failures that ended so soon was taken for chance or a short slowdown, whatever had failed in it,
/// and no slow-start budget applied after it. The printed worst windows showed it: above the limit
/// after 4 s, below it after 6 s and more.
#[test]
fn senders_keep_the_bound_of_an_endpoint_that_recovers_from_a_short_outage() {
    let over = runs_over_the_limit(4);
    assert!(over.is_empty(), "{over:#?}");
}

/// Where an outage ends before most senders have seen a trial fail, some of them have only a failed
/// call or two as evidence, which chance causes as well. Listed in KNOWN-RED.txt.
#[test]
fn relays_keep_the_bound_however_short_the_outage_was() {
    for down in [1, 2, 3] {
        let over = runs_over_the_limit(down);
        assert!(over.is_empty(), "{over:#?}");
    }
}
