//! How long the one thread works between two looks at its sockets and timers, told at the level
//! debug.

use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest stretch that is told apart; one that lasts longer counts as this.
const MOST: Duration = Duration::from_secs(60);
/// A stretch from which on it is named in the log: clients wait 400 ms, and a hundredth of that
/// goes unnoticed.
const LONG: Duration = Duration::from_millis(4);

/// Stretches of work, in microseconds.
#[derive(Clone)]
pub struct LoopLatency(Rc<RefCell<Histogram<u64>>>);

impl Default for LoopLatency {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MOST.as_micros() as u64, 2);
        LoopLatency(Rc::new(RefCell::new(
            histogram.expect("bounds in order, two digits"),
        )))
    }
}

impl LoopLatency {
    /// Runs all work, and times each stretch of it.
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

    fn record(&self, stretch: Duration) {
        if stretch >= LONG {
            log::debug!(
                "turns: {:.1} ms without a look at sockets",
                stretch.as_secs_f64() * 1e3
            );
        }
        self.0
            .borrow_mut()
            .saturating_record(stretch.as_micros() as u64);
    }

    /// How many there were, and how long half, 99 and 99.9 in a hundred and the longest took at
    /// most, in microseconds.
    pub fn summary(&self) -> String {
        let h = self.0.borrow();
        let at = |q| h.value_at_quantile(q);
        format!(
            "turns={} p50={} p99={} p99.9={} longest={} us",
            h.len(),
            at(0.5),
            at(0.99),
            at(0.999),
            h.max()
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_stretch_is_counted_and_the_longest_is_told() {
        let turns = LoopLatency::default();
        let work = async {
            futures_lite::future::yield_now().await;
            std::thread::sleep(Duration::from_millis(20));
            7
        };
        assert_eq!(async_io::block_on(turns.measure(work)), 7);
        let told = turns.summary();
        assert!(told.starts_with("turns=2 "), "{told}");
        let longest: u64 = told
            .split("longest=")
            .nth(1)
            .and_then(|t| t.split(' ').next()?.parse().ok())
            .expect("a figure");
        assert!(longest >= 19_800, "{told}");
        turns.record(2 * MOST);
        assert!(
            turns.summary().contains("turns=3"),
            "one beyond the bound counts, too"
        );
    }
}
