//! What the log says of memory: how much is resident, how much of it is held for whom, and what the
//! connections of clients are used for.

use crate::admission_control::memory_pool::MemoryPool;
use crate::delivery::timer_wheel::TimerWheel;
use crate::net::connection_listener::ConnectionListener;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Where the system tells of this process.
const STATUS: &str = "/proc/self/status";
/// Resident memory from so many percent of the limit on is told as a warning.
const HIGH_PERCENT: usize = 85;
/// From so many percent on it is told at the level `info`.
const NOTABLE_PERCENT: usize = 50;

/// Resident memory of this process, in bytes.
///
/// # Errors
/// The system does not tell.
pub fn resident_bytes() -> io::Result<usize> {
    let status = std::fs::read_to_string(STATUS)?;
    let kibibytes = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|value| value.trim().strip_suffix(" kB"))
        .and_then(|value| value.parse::<usize>().ok());
    kibibytes
        .map(|kibibytes| kibibytes * 1024)
        .ok_or_else(|| io::Error::other(format!("{STATUS}: no VmRSS")))
}

/// What is told at one moment.
struct Sample {
    resident_bytes: usize,
    limit_bytes: usize,
    reading_bytes: usize,
    reading_limit_bytes: usize,
    refusals: u64,
    connections: String,
}

impl fmt::Display for Sample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "resident_bytes={} limit_bytes={} reading_bytes={} reading_limit_bytes={} refused={} connections: {}",
            self.resident_bytes,
            self.limit_bytes,
            self.reading_bytes,
            self.reading_limit_bytes,
            self.refusals,
            self.connections
        )
    }
}

/// Tells the log now and then.
pub struct MemoryReport {
    /// The limit on the whole process, in bytes.
    pub limit_bytes: usize,
    /// What requests that are being read hold.
    pub reading: Rc<MemoryPool>,
    /// The connections of clients.
    pub connections: Rc<ConnectionListener>,
}

impl MemoryReport {
    /// Tells it at this interval, for as long as the process lives: as a warning where little is
    /// left, at the level `info` where memory was refused or half of it is used, else at `debug`.
    pub async fn run(self, every: Duration, wheel: Rc<TimerWheel>) {
        let mut refusals_before = 0;
        loop {
            wheel.sleep(every).await;
            let sample = match self.sample() {
                Ok(sample) => sample,
                Err(e) => {
                    log::debug!("memory: {e}");
                    continue;
                }
            };
            let percent = sample.resident_bytes * 100 / sample.limit_bytes.max(1);
            if percent >= HIGH_PERCENT {
                log::warn!("memory: close to the limit: {sample}");
            } else if sample.refusals > refusals_before || percent >= NOTABLE_PERCENT {
                log::info!("memory: {sample}");
            } else {
                log::debug!("memory: {sample}");
            }
            refusals_before = sample.refusals;
        }
    }

    fn sample(&self) -> io::Result<Sample> {
        let counts = self.connections.counts_by_use();
        let connections: Vec<String> = counts
            .iter()
            .map(|(used_for, count)| format!("{used_for:?}={count}").to_lowercase())
            .collect();
        Ok(Sample {
            resident_bytes: resident_bytes()?,
            limit_bytes: self.limit_bytes,
            reading_bytes: self.reading.held_bytes(),
            reading_limit_bytes: self.reading.limit_bytes(),
            refusals: self.reading.refusals(),
            connections: connections.join(" "),
        })
    }
}
