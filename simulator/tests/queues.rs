//! The model's queues against closed forms, and its scale.

use raildeal_simulator::day::Day;
use raildeal_simulator::plan::Mean;
use raildeal_simulator::run::play;

/// One sender that tries each message once, and one partner with a queue that is never full.
fn queue(rate: f64, mean_ms: f64, workers: usize, seconds: f64) -> Day {
    let median = mean_ms * std::f64::consts::LN_2;
    let text = format!(
        r#"
name = "queue"
seconds = {seconds}
[senders]
count = 1
descriptors = 65536
folder = 1_000_000_000
policy = "one_try"
[clients]
full = {rate}
load = 1
services = 1
body = 200
[network]
within_ms = 0
across_ms = 0
[[partners]]
kind = "k"
count = 1
endpoints = 1
rate = 1
tells = 0
wait_s = 0
service_ms = {median}
shape = "exponential"
limit = "workers"
workers = {workers}
queue_s = 10000
[settings]
balancers = 1
kinds = ["k"]
localities = ["a"]
[[settings.categories]]
name = "c"
promise = 60_000_000_000
deadline = 60_000_000_000
effect = "pure"
[settings.familyInfo]
maxCalls = 100000
kindApart = [true]
kindBatch = [1]
[settings.limits]
maxAttempts = 1
openCap = 100000
[settings.rules]
coldShare = 0.23
warmAfter = 13_000_000_000
overloadFactor = 2.0
overloadFor = 3_000_000_000
"#
    );
    Day::parse("queue", &text).expect("a day")
}

/// Mean time in the system of M/M/c, in seconds (Erlang C).
fn closed(rate: f64, mean: f64, workers: usize) -> f64 {
    let (load, c) = (rate * mean, workers as f64);
    let terms: Vec<f64> = (0..=workers)
        .scan(1.0, |term, n| {
            *term *= if n == 0 { 1.0 } else { load / n as f64 };
            Some(*term)
        })
        .collect();
    let full = terms[workers] * c / (c - load);
    let waits = full / (terms[..workers].iter().sum::<f64>() + full);
    waits / (c / mean - rate) + mean
}

fn measured(day: &Day, seeds: u64) -> Mean {
    let means: Vec<f64> = (1..=seeds)
        .map(|seed| {
            let played = play(day, seed, None, None).expect("played");
            assert!(played.broken.is_empty(), "{:?}", played.told);
            let of = played
                .seconds
                .iter()
                .fold((0.0, 0u32), |s, n| (s.0 + n.ages, s.1 + n.delivered));
            assert_eq!(u64::from(of.1), played.sum.messages, "all are delivered");
            of.0 / f64::from(of.1)
        })
        .collect();
    Mean::of(&means)
}

#[test]
fn closed_forms_are_what_tables_give() {
    assert!(
        (closed(8.0, 0.1, 1) - 0.5).abs() < 1e-9,
        "1 / (mu - lambda)"
    );
    // Two workers at a load of 1.5: P(wait) is 9/14.
    assert!((closed(15.0, 0.1, 2) - (0.1 + 9.0 / 14.0 / 5.0)).abs() < 1e-9);
}

#[test]
fn a_queue_of_the_model_waits_as_long_as_closed_forms_say() {
    for (rate, mean, workers) in [(7.0, 0.1, 1), (30.0, 0.05, 2), (56.0, 0.1, 8)] {
        let day = queue(rate, mean * 1e3, workers, 1500.0);
        let (seen, wanted) = (measured(&day, 24), closed(rate, mean, workers));
        assert!(
            (seen.mean - wanted).abs() <= seen.half,
            "M/M/{workers}: {seen}, and {wanted:.4} is wanted"
        );
        assert!(
            seen.half < wanted * 0.05,
            "M/M/{workers}: the interval says something: {seen}"
        );
        let other = closed(rate * 0.9, mean, workers);
        assert!(
            (seen.mean - other).abs() > seen.half,
            "M/M/{workers}: a tenth less load would be seen: {seen}"
        );
    }
}
