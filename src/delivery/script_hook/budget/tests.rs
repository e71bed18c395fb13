//! What runs may take together, whatever each of them takes.

use super::*;

/// Largest overrun of a run's own bound that is played here.
const LONG_RUN: Duration = Duration::from_millis(3);

/// Offers runs at regular times and returns the processor time that those that ran took.
fn play(
    budget: &ScriptBudget,
    begin: Instant,
    seconds: u64,
    rate: u64,
    each: Duration,
) -> Duration {
    let mut taken = Duration::ZERO;
    for run in 0..seconds * rate {
        let now = begin
            + Duration::from_secs(run / rate)
            + Duration::from_secs(1) / rate as u32 * (run % rate) as u32;
        if budget.allows_run(now) {
            budget.count_run(now, each);
            taken += each;
        }
    }
    taken
}

#[test]
fn no_rate_of_slow_runs_takes_more_than_the_stated_part_of_a_processor() {
    for rate in [20, 59, 1000, 20_000] {
        let begin = Instant::now();
        let budget = ScriptBudget::new(begin);
        let taken = play(&budget, begin, 30, rate, LONG_RUN).as_secs_f64();
        let allowed = MAX_BURST_SECONDS + 30.0 * MAX_PROCESSOR_FRACTION + LONG_RUN.as_secs_f64();
        assert!(taken <= allowed, "{rate} runs a second took {taken} s");
    }
}

#[test]
fn runs_that_stay_below_it_are_never_left_out() {
    let begin = Instant::now();
    let budget = ScriptBudget::new(begin);
    let each = Duration::from_micros(100);
    let taken = play(&budget, begin, 30, 900, each);
    assert_eq!(taken, each * 30 * 900);
}

#[test]
fn a_script_that_was_suspended_runs_again_after_the_stated_time() {
    let begin = Instant::now();
    let budget = ScriptBudget::new(begin);
    budget.count_run(begin, Duration::from_secs_f64(MAX_BURST_SECONDS));
    assert!(!budget.allows_run(begin + SUSPENSION - Duration::from_millis(1)));
    assert!(budget.allows_run(begin + SUSPENSION));
    assert!(budget.allows_run(begin + SUSPENSION));
}

#[test]
fn no_number_of_lines_is_more_than_the_stated_bytes() {
    const LINE_BYTES: usize = 1024;
    let begin = Instant::now();
    let budget = ScriptBudget::new(begin);
    let mut logged = 0;
    for millisecond in 0..10_000 {
        let now = begin + Duration::from_millis(millisecond);
        for _ in 0..8 {
            if budget.allows_line(now, LINE_BYTES) {
                logged += LINE_BYTES;
            }
        }
    }
    let allowed = MAX_LOG_BURST_BYTES + 10.0 * MAX_LOG_BYTES_PER_SECOND;
    assert!(logged <= allowed as usize + LINE_BYTES, "{logged} bytes");
}
