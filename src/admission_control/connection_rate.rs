//! How often somebody may come: the generic cell rate algorithm (ITU-T I.371, annex A), in a table
//! that never grows beyond its bound.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// So many a second, and so many at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// A second, over time; more than 0.
    pub per_second: f64,
    /// At once, 1 at least.
    pub burst: u32,
}

impl Rate {
    fn gap(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.per_second.max(1e-6))
    }
}

/// What is remembered of each key: when it would be as if it had never come. Keys whose time has
/// passed are forgotten, and beyond the bound the one whose time comes first.
#[derive(Clone, Debug)]
pub struct Rates<K> {
    rate: Rate,
    most: usize,
    clear_at: BTreeMap<K, Duration>,
    order: BTreeSet<(Duration, K)>,
}

impl<K: Ord + Clone> Rates<K> {
    /// Remembers so many keys at most.
    pub fn new(rate: Rate, most: usize) -> Self {
        Rates {
            rate,
            most: most.max(1),
            clear_at: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Counts one that comes at this time (from any start, never back); where it comes too soon, it
    /// is not counted, and the time until it would not is given.
    pub fn come(&mut self, now: Duration, key: &K) -> Result<(), Duration> {
        while let Some((at, old)) = self.order.first().filter(|(at, _)| *at <= now).cloned() {
            self.order.remove(&(at, old.clone()));
            self.clear_at.remove(&old);
        }
        let (gap, before) = (self.rate.gap(), self.clear_at.get(key).copied());
        let clear = before.unwrap_or(now).max(now);
        let allowed = now + gap * (self.rate.burst.max(1) - 1);
        if clear > allowed {
            return Err(clear - allowed);
        }
        if let Some(before) = before {
            self.order.remove(&(before, key.clone()));
        }
        self.clear_at.insert(key.clone(), clear + gap);
        self.order.insert((clear + gap, key.clone()));
        if self.clear_at.len() > self.most {
            if let Some((_, first)) = self.order.pop_first() {
                self.clear_at.remove(&first);
            }
        }
        Ok(())
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.clear_at.len()
    }

    /// Whether nobody is.
    pub fn is_empty(&self) -> bool {
        self.clear_at.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    #[test]
    fn a_burst_passes_and_then_the_rate_counts() {
        let mut rates = Rates::new(
            Rate {
                per_second: 10.0,
                burst: 3,
            },
            100,
        );
        let passed: Vec<u32> = (0..1000)
            .filter(|ms| rates.come(*ms * MS, &"a").is_ok())
            .collect();
        assert_eq!(passed.len(), 3 + 9);
        assert_eq!(passed[..4], [0, 1, 2, 100]);
        assert_eq!(
            rates.come(1000 * MS, &"b"),
            Ok(()),
            "another one has a count of its own"
        );
        let wait = loop {
            if let Err(wait) = rates.come(1000 * MS, &"a") {
                break wait;
            }
        };
        assert!(
            rates.come(1000 * MS + wait, &"a").is_ok(),
            "the time told is true"
        );
    }

    #[test]
    fn whatever_number_of_keys_comes_the_table_stays_in_its_bound() {
        let mut rates = Rates::new(
            Rate {
                per_second: 1.0,
                burst: 1,
            },
            50,
        );
        for n in 0..10_000u32 {
            let _ = rates.come(n * MS, &n);
            assert!(rates.len() <= 50);
        }
        assert!(rates.come(3600 * 1000 * MS, &1).is_ok());
        assert_eq!(rates.len(), 1, "what lies in the past is forgotten");
    }
}
