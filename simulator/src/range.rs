//! Values that a file gives as one or as a pair to draw from.

use serde::Deserialize;

/// A value, or a range that a day draws from.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(from = "Written")]
pub struct Range {
    /// The least.
    pub low: f64,
    /// The most.
    pub high: f64,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Written {
    One(f64),
    Pair([f64; 2]),
}

impl From<Written> for Range {
    fn from(written: Written) -> Self {
        match written {
            Written::One(n) => Range { low: n, high: n },
            Written::Pair([low, high]) => Range { low, high },
        }
    }
}

impl Range {
    /// Always this.
    pub const fn is(n: f64) -> Self {
        Range { low: n, high: n }
    }

    /// Whether it lies within these, in order.
    pub fn holds(&self, least: f64, most: f64) -> bool {
        self.low <= self.high && self.low >= least && self.high <= most
    }
}
