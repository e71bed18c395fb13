//! How long the one thread works between two looks at its sockets and timers.
//!
//! `main` runs all work through [`LoopLatency::measure`] where the level `debug` is logged, and
//! logs the summary now and then.

use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest turn that is told apart; one that lasts longer counts as this.
const MAX_TURN: Duration = Duration::from_secs(60);
/// A turn is logged from this length on: clients wait 400 ms, and a hundredth of that goes
/// unnoticed.
const LOGGED_TURN: Duration = Duration::from_millis(4);
/// Digits that the histogram tells apart.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Lengths of the event loop's turns, in microseconds. Clones count together.
#[derive(Clone)]
pub struct LoopLatency(Rc<RefCell<Histogram<u64>>>);

impl Default for LoopLatency {
    fn default() -> Self {
        let histogram =
            Histogram::new_with_bounds(1, MAX_TURN.as_micros() as u64, SIGNIFICANT_DIGITS);
        let histogram = histogram.expect("bounds in order, two digits");
        LoopLatency(Rc::new(RefCell::new(histogram)))
    }
}

impl LoopLatency {
    /// Runs all work, and measures each turn of it.
    pub async fn measure<T>(&self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        poll_fn(|cx| {
            let begun = Instant::now();
            let polled = work.as_mut().poll(cx);
            self.record(begun.elapsed());
            polled
        })
        .await
    }

    fn record(&self, turn: Duration) {
        if turn >= LOGGED_TURN {
            let turn_ms = turn.as_secs_f64() * 1e3;
            log::debug!("turns: {turn_ms:.1} ms without a look at sockets");
        }
        let turn_us = turn.as_micros() as u64;
        self.0.borrow_mut().saturating_record(turn_us);
    }

    /// How many turns there were, and how long half, 99 and 99.9 in a hundred and the longest took
    /// at most, in microseconds.
    pub fn summary(&self) -> String {
        let histogram = self.0.borrow();
        let quantile = |q| histogram.value_at_quantile(q);
        format!(
            "turns={} p50={} p99={} p99.9={} longest={} us",
            histogram.len(),
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            histogram.max()
        )
    }
}

#[cfg(test)]
mod tests;
