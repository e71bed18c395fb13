//! The processor time that one run of a script takes.
//!
//! It is the time since the run began, less the time that the thread waited for a processor: on a
//! busy machine a script is not slow because others run. Where the kernel does not tell that wait,
//! all of the time counts.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The scheduler's statistics of a thread: time on a processor, time waited for one, both in
/// nanoseconds, and a count.
const THREAD_STATISTICS: &str = "/proc/thread-self/schedstat";
/// Room for the three numbers of the statistics, in bytes.
const STATISTICS_BYTES: usize = 64;

/// Measures the runs of one script, one after another on one thread.
///
/// The engine checks the timer from a callback that may have to be shared between threads, which is
/// why its fields are atomic.
pub(super) struct RunTimer {
    limit_ns: u64,
    epoch: Instant,
    started_ns: AtomicU64,
    waited_before_ns: AtomicU64,
    /// The run cannot have used up its time before this.
    next_check_ns: AtomicU64,
    statistics: OnceLock<Option<File>>,
}

impl RunTimer {
    /// Creates a timer for runs that may take this processor time.
    pub(super) fn new(limit: Duration) -> Self {
        RunTimer {
            limit_ns: limit.as_nanos() as u64,
            epoch: Instant::now(),
            started_ns: AtomicU64::new(0),
            waited_before_ns: AtomicU64::new(0),
            next_check_ns: AtomicU64::new(0),
            statistics: OnceLock::new(),
        }
    }

    /// Begins to measure a run.
    pub(super) fn start(&self) {
        // A wait between the two readings must not count as time of the run: here the wait is read
        // first, in `used` last.
        self.waited_before_ns
            .store(self.waited_ns(), Ordering::Relaxed);
        let now_ns = self.now_ns();
        self.started_ns.store(now_ns, Ordering::Relaxed);
        self.next_check_ns
            .store(now_ns + self.limit_ns, Ordering::Relaxed);
    }

    /// Returns the processor time that the run has taken.
    pub(super) fn used(&self) -> Duration {
        let elapsed_ns = self.now_ns() - self.started_ns.load(Ordering::Relaxed);
        let waited_before_ns = self.waited_before_ns.load(Ordering::Relaxed);
        let waited_ns = self.waited_ns().saturating_sub(waited_before_ns);
        Duration::from_nanos(elapsed_ns.saturating_sub(waited_ns))
    }

    /// Whether the run has used up its time. Cheap enough for each operation of a script.
    pub(super) fn is_over(&self) -> bool {
        let now_ns = self.now_ns();
        if now_ns < self.next_check_ns.load(Ordering::Relaxed) {
            return false;
        }
        let used_ns = self.used().as_nanos() as u64;
        let left_ns = self.limit_ns.saturating_sub(used_ns);
        self.next_check_ns
            .store(now_ns + left_ns, Ordering::Relaxed);
        left_ns == 0
    }

    fn now_ns(&self) -> u64 {
        self.epoch.elapsed().as_nanos() as u64
    }

    /// Returns the time that this thread has waited for a processor; 0 where it is not known.
    fn waited_ns(&self) -> u64 {
        let statistics = self
            .statistics
            .get_or_init(|| File::open(THREAD_STATISTICS).ok());
        let mut text = [0; STATISTICS_BYTES];
        let read = statistics
            .as_ref()
            .and_then(|file| file.read_at(&mut text, 0).ok());
        read.and_then(|len| parse_waited_ns(&text[..len]))
            .unwrap_or(0)
    }
}

fn parse_waited_ns(statistics: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(statistics).ok()?;
    text.split_whitespace().nth(1)?.parse().ok()
}
