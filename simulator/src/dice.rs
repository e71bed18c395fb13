//! Random numbers of a day: one stream for each concern, so that a change in one part does not move
//! the others.

use crate::range::Range;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_pcg::Pcg64;

/// What a stream is for.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum For {
    /// What the day is made of.
    World = 1,
    /// When messages come, and for whom.
    Arrivals,
    /// How clients act on answers.
    Clients,
    /// What partners do.
    Partners,
    /// Delays on the way.
    Network,
    /// When the directory tells.
    Directory,
    /// What goes wrong.
    Troubles,
    /// What a textbook's policy draws; its seed is a sender's.
    Policy,
}

/// One stream.
#[derive(Clone, Debug)]
pub struct Dice(Pcg64);

impl Dice {
    /// The stream of a day for a concern.
    pub fn new(seed: u64, concern: For) -> Self {
        let mut key = [0; 32];
        key[..8].copy_from_slice(&seed.to_le_bytes());
        key[8..16].copy_from_slice(&(concern as u64).to_le_bytes());
        // The seeds of neighbouring days are neighbours: the first draws are not for use.
        let mut stream = Pcg64::from_seed(key);
        for _ in 0..16 {
            stream.random::<u64>();
        }
        Dice(stream)
    }

    /// Evenly from a range.
    pub fn from(&mut self, range: Range) -> f64 {
        if range.low < range.high {
            self.0.random_range(range.low..range.high)
        } else {
            range.low
        }
    }

    /// A whole number from a range.
    pub fn count(&mut self, range: Range) -> usize {
        self.from(Range {
            low: range.low,
            high: range.high + 0.999,
        }) as usize
    }

    /// One of so many.
    pub fn below(&mut self, most: usize) -> usize {
        self.0.random_range(0..most.max(1))
    }

    /// Whether something of this probability comes true.
    pub fn is(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.0.random::<f64>() < probability
    }

    /// From 0 to 1.
    pub fn part(&mut self) -> f64 {
        self.0.random()
    }

    /// An exponential time of this mean.
    pub fn gap(&mut self, mean: f64) -> f64 {
        let unit: f64 = Exp1.sample(&mut self.0);
        unit * mean
    }

    /// A log-normal value of this median.
    pub fn spread(&mut self, median: f64, sigma: f64) -> f64 {
        let normal: f64 = StandardNormal.sample(&mut self.0);
        median * (sigma * normal).exp()
    }

    /// A seed for another generator.
    pub fn seed(&mut self) -> u64 {
        self.0.random()
    }

    /// Puts items in any order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for n in (1..items.len()).rev() {
            items.swap(n, self.below(n + 1));
        }
    }
}
