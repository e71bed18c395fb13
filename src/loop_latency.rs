//! Duration of the event loop's turns: the time that the one thread works between two polls of its
//! sockets and timers.
//!
//! If level `debug` is logged, `main` runs all work through [`LoopLatency::measure`] and logs the
//! summary periodically.

use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Upper bound of the histogram; a longer turn counts as this.
const MAX_TURN: Duration = Duration::from_secs(60);
/// Length of a turn from which it is logged: one hundredth of the 400 ms that clients wait, below
/// which a delay is negligible.
const LOGGED_TURN: Duration = Duration::from_millis(4);
/// Significant decimal digits of the histogram's values.
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
    /// Runs work, and measures each of its turns.
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
            log::debug!("turns: {turn_ms:.1} ms without polling sockets");
        }
        let turn_us = turn.as_micros() as u64;
        self.0.borrow_mut().saturating_record(turn_us);
    }

    /// Returns the number of turns, the 50th, 99th and 99.9th percentiles of their lengths, and the
    /// longest, in microseconds.
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
