//! Experiments: each combination of a plan is played on the same seeds, on all cores.

use crate::day::Bad;
use crate::done::{Done, NotKept};
use crate::plan::{Cell, Experiment};
use crate::run::play;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use toml::Value;

/// Why an experiment did not come to its end. What was finished is kept.
#[derive(Debug, thiserror::Error)]
pub enum NoExperiment {
    /// Its file, or a day of it.
    #[error("{0}")]
    Bad(#[from] Bad),
    /// Days could not be kept.
    #[error("{0}")]
    Kept(#[from] NotKept),
}

impl Experiment {
    /// Plays on so many cores what is not done yet, and keeps each day as it ends; told after each.
    pub fn run(
        &self,
        base: &Value,
        cores: usize,
        done: Done,
        told: &(dyn Fn() + Sync),
    ) -> Result<Vec<Cell>, NoExperiment> {
        let cells = self.cells(base)?;
        let seeds = self.seeds as usize;
        let missing: Vec<(usize, u64)> = (0..cells.len() * seeds)
            .map(|n| (n / seeds, (n % seeds) as u64 + 1))
            .filter(|at| !done.has(*at))
            .collect();
        let next = AtomicUsize::new(0);
        let done = Mutex::new((done, None));
        std::thread::scope(|scope| {
            for _ in 0..cores.clamp(1, missing.len().max(1)) {
                scope.spawn(|| loop {
                    let Some((cell, seed)) =
                        missing.get(next.fetch_add(1, Ordering::Relaxed)).copied()
                    else {
                        return;
                    };
                    let (values, day) = &cells[cell];
                    let played = play(day, seed, None, None);
                    let mut done = done.lock().unwrap_or_else(|e| e.into_inner());
                    let kept = played.map_err(NoExperiment::from).and_then(|played| {
                        done.0
                            .keep((cell, seed), values, played)
                            .map_err(NoExperiment::from)
                    });
                    if let Err(e) = kept {
                        // The others need not begin another day.
                        next.store(missing.len(), Ordering::Relaxed);
                        done.1.get_or_insert(e);
                    }
                    told();
                });
            }
        });
        let (done, failed) = done.into_inner().unwrap_or_else(|e| e.into_inner());
        match failed {
            Some(e) => Err(e),
            None => Ok(done.finish()?),
        }
    }
}
