//! What all runs of scripts together may take: processor time and lines of log.
//!
//! Scripts run in the event loop, so the time that they take is lost to attempts, timers and final
//! answers. A script that uses up the budget is suspended for a while, and messages pass without
//! it. The budget covers all scripts of a process; it is told the time by its caller.

use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Processor time that all runs together may take, as a fraction of one processor.
pub const MAX_PROCESSOR_FRACTION: f64 = 0.1;
/// Processor time that runs may take back to back, in seconds: less than the time for which a final
/// answer may be delayed.
pub const MAX_BURST_SECONDS: f64 = 0.05;
/// Time for which scripts are suspended once the budget is used up.
pub const SUSPENSION: Duration = Duration::from_secs(5);
/// Log output of all runs together, in bytes per second.
pub const MAX_LOG_BYTES_PER_SECOND: f64 = 16.0 * 1024.0;
/// Log output of all runs at once, in bytes.
pub const MAX_LOG_BURST_BYTES: f64 = 64.0 * 1024.0;

/// An amount that is spent, and refilled at a constant rate up to a maximum.
struct Allowance {
    per_second: f64,
    max: f64,
    available: f64,
    refilled_at: Instant,
}

impl Allowance {
    fn new(per_second: f64, max: f64, now: Instant) -> Self {
        Allowance {
            per_second,
            max,
            available: max,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.available + passed.as_secs_f64() * self.per_second;
        self.available = refilled.min(self.max);
        self.refilled_at = now;
    }

    /// Spends an amount that is only known afterwards, which may exceed what is available.
    fn spend(&mut self, amount: f64) {
        self.available -= amount;
    }

    fn is_used_up(&self) -> bool {
        self.available <= 0.0
    }
}

struct State {
    processor_seconds: Allowance,
    log_bytes: Allowance,
    suspended_until: Option<Instant>,
    skipped_runs: u64,
    dropped_lines: u64,
}

/// The budget of a process for its scripts.
pub struct ScriptBudget(RefCell<State>);

impl Default for ScriptBudget {
    fn default() -> Self {
        ScriptBudget::new(Instant::now())
    }
}

impl ScriptBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(now: Instant) -> Self {
        ScriptBudget(RefCell::new(State {
            processor_seconds: Allowance::new(MAX_PROCESSOR_FRACTION, MAX_BURST_SECONDS, now),
            log_bytes: Allowance::new(MAX_LOG_BYTES_PER_SECOND, MAX_LOG_BURST_BYTES, now),
            suspended_until: None,
            skipped_runs: 0,
            dropped_lines: 0,
        }))
    }

    /// Whether a script may run now. A run that may not is counted, and its message passes without
    /// it.
    pub fn allows_run(&self, now: Instant) -> bool {
        let state = &mut *self.0.borrow_mut();
        match state.suspended_until {
            Some(until) if now < until => {
                state.skipped_runs += 1;
                false
            }
            Some(_) => {
                state.suspended_until = None;
                let skipped = std::mem::take(&mut state.skipped_runs);
                log::warn!("hook: the script runs again; {skipped} runs were left out");
                true
            }
            None => true,
        }
    }

    /// Counts the processor time of a run that has ended, and suspends scripts if the budget is
    /// used up.
    pub fn count_run(&self, now: Instant, used: Duration) {
        let state = &mut *self.0.borrow_mut();
        state.processor_seconds.refill(now);
        state.processor_seconds.spend(used.as_secs_f64());
        if state.processor_seconds.is_used_up() && state.suspended_until.is_none() {
            state.suspended_until = Some(now + SUSPENSION);
            let (percent, seconds) = (MAX_PROCESSOR_FRACTION * 100.0, SUSPENSION.as_secs());
            log::warn!(
                "hook: the script takes over {percent} % of a processor; \
                 messages pass without it for {seconds} s"
            );
        }
    }

    /// Whether a line of so many bytes may be logged now. One that may not is counted.
    pub fn allows_line(&self, now: Instant, bytes: usize) -> bool {
        let state = &mut *self.0.borrow_mut();
        state.log_bytes.refill(now);
        if state.log_bytes.is_used_up() {
            state.dropped_lines += 1;
            return false;
        }
        state.log_bytes.spend(bytes as f64);
        let dropped = std::mem::take(&mut state.dropped_lines);
        if dropped > 0 {
            log::warn!("hook: {dropped} lines were left out of the log");
        }
        true
    }

    /// Counts lines that a run wrote beyond its own bound.
    pub fn count_dropped_lines(&self, lines: u64) {
        self.0.borrow_mut().dropped_lines += lines;
    }
}

#[cfg(test)]
mod tests;
