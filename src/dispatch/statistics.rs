//! Time spans, event rates and random numbers for the other modules.
//!
//! No decision is made here. Callers: all modules of this folder, and parts of the agent that
//! measure rates in the same way. No I/O and no clock; the caller passes the time.

use crate::Nanos;

/// A millisecond, in nanoseconds.
pub const MS: Nanos = 1_000_000;
/// A second, in nanoseconds.
pub const SEC: Nanos = 1_000 * MS;

/// Decay of older events in a [`Meter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateMemory {
    /// Time in which the weight of earlier events decays to 1/e, in seconds.
    pub fade_seconds: f64,
    /// Smallest part of the weight of earlier events that one further event leaves: 0.9 keeps about
    /// ten events in memory, however rare they are.
    pub least_kept: f64,
}

/// Decay of the module's own rates: shorter than an outage, and about ten events.
pub const RATE_MEMORY: RateMemory = RateMemory {
    fade_seconds: 2.0,
    least_kept: 0.9,
};

/// Measures events per second: over the last seconds where events are frequent, over the last few
/// events where they are rare.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Number of events, with decayed weights.
    count: f64,
    /// Time over which they are counted, in seconds, decayed in the same way.
    span_seconds: f64,
    updated_at: Nanos,
}

impl Meter {
    /// Creates a meter that has counted no event for `span_seconds`.
    pub fn new(now: Nanos, span_seconds: f64) -> Self {
        Meter {
            count: 0.0,
            span_seconds,
            updated_at: now,
        }
    }

    /// Returns the events per second up to now.
    pub fn rate(&self, now: Nanos) -> f64 {
        self.count / (self.span_seconds + to_secs(now.saturating_sub(self.updated_at)))
    }

    /// Counts an event and returns the rate that includes it.
    pub fn record(&mut self, now: Nanos, memory: RateMemory) -> f64 {
        let gap = to_secs(now.saturating_sub(self.updated_at));
        let kept = (-gap / memory.fade_seconds).exp().max(memory.least_kept);
        self.count = self.count * kept + 1.0;
        self.span_seconds = (self.span_seconds + gap) * kept;
        self.updated_at = now;
        self.rate(now)
    }
}

/// Random numbers from a seed (xorshift): the same numbers in each run.
#[derive(Debug, Default)]
pub struct Random(pub u64);

impl Random {
    /// Creates a generator from a seed. Small seeds are spread over all bits; otherwise the first
    /// numbers would all be near zero.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns the next number, uniformly distributed from 0 up to 1.
    pub fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Converts a span to seconds.
pub fn to_secs(span: Nanos) -> f64 {
    span as f64 / SEC as f64
}

/// Converts seconds to a span; 0 for a negative number.
pub fn from_secs(seconds: f64) -> Nanos {
    (seconds * SEC as f64) as Nanos
}

/// Returns the weighted mean of two values: `at_one` where the weight is 1, `at_zero` where it is
/// 0.
pub fn blend(weight: f64, at_one: f64, at_zero: f64) -> f64 {
    weight * at_one + (1.0 - weight) * at_zero
}
