//! Cleans the store while the process runs, and retries writes that failed.

use super::Journal;
use crate::delivery::timer_wheel::TimerWheel;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two steps while there is something to clean: short, so that cleaning keeps
/// ahead of the writes.
const BUSY_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two steps otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

impl Journal {
    /// Maintains the store until the process ends.
    pub async fn maintain(self: Rc<Self>, wheel: Rc<TimerWheel>) {
        loop {
            let interval = if self.maintain_once() {
                BUSY_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            wheel.sleep(interval).await;
        }
    }

    /// Performs one maintenance step. Returns whether the next one should follow soon.
    pub fn maintain_once(&self) -> bool {
        let mut state = self.state.borrow_mut();
        state.close_pending();
        if self.options.requires_sync() && state.log.position() != self.sync.position() {
            // No task waits for this sync, but some files become free only after it.
            self.sync.request(1);
        }
        let state = &mut *state;
        let now = (self.monotonic_clock)();
        match state.log.maintain(now, &state.records) {
            Ok(busy) => busy,
            Err(e) => {
                log::debug!("store: {e}");
                false
            }
        }
    }
}
