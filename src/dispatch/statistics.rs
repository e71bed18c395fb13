//! Spans of time, rates and draws: plain helpers that every decision stands on. No I/O, no clock.

use crate::Nanos;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SEC: Nanos = 1_000 * MS;
/// Memory of a rate: seconds (less than an outage), and the part that one more event leaves: some
/// ten.
pub const RATE: (f64, f64) = (2.0, 0.9);

/// Events a second: over the last seconds where they are frequent, over the last few events where
/// they are rare.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    pub count: f64,
    pub span: f64,
    pub at: Nanos,
}

impl Meter {
    /// Nothing seen, for `span` seconds.
    pub fn new(now: Nanos, span: f64) -> Self {
        Meter {
            count: 0.0,
            span,
            at: now,
        }
    }

    pub fn rate(&self, now: Nanos) -> f64 {
        self.count / (self.span + to_secs(now.saturating_sub(self.at)))
    }

    /// Counts an event. What came before fades within `tau` seconds, but keeps the part `keep` at
    /// least.
    pub fn hit(&mut self, now: Nanos, (tau, keep): (f64, f64)) -> f64 {
        let gap = to_secs(now.saturating_sub(self.at));
        let keep = (-gap / tau).exp().max(keep);
        (self.count, self.span, self.at) = (self.count * keep + 1.0, (self.span + gap) * keep, now);
        self.rate(now)
    }
}

/// Numbers in 0..1 from a seed (xorshift).
#[derive(Debug, Default)]
pub struct Random(pub u64);

impl Random {
    /// Small seeds are spread over all bits, or the first draws would all be near zero.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub fn to_secs(t: Nanos) -> f64 {
    t as f64 / SEC as f64
}

/// `much` as far as `part` goes, `little` for the rest.
pub fn mix(part: f64, much: f64, little: f64) -> f64 {
    part * much + (1.0 - part) * little
}

pub fn secs(t: f64) -> Nanos {
    (t * SEC as f64) as Nanos
}
