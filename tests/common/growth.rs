//! How the time of work grows with its size, which tells more than the time itself: machines differ.

use std::time::Duration;

/// Endpoints of the largest fleet.
pub const LARGEST: usize = 3_200;
/// Runs of which the quickest counts.
const RUNS: usize = 5;

/// Returns how much longer work takes at the size of the largest fleet than at a quarter of it: four
/// times where the time grows with the size, sixteen times where it grows with its square.
pub fn growth(work: impl Fn(usize) -> Duration) -> f64 {
    let least = |size: usize| (0..RUNS).map(|_| work(size)).min().expect("a run");
    least(LARGEST).as_secs_f64() / least(LARGEST / 4).as_secs_f64()
}

/// Halfway between growth with the size and with its square.
pub const MAX_GROWTH: f64 = 8.0;
