//! Keeps the store clean while it serves, and writes late what could not be written in time.

use super::Journal;
use crate::delivery::timer_wheel::TimerWheel;
use std::rc::Rc;
use std::time::Duration;

/// Between two steps while there is something to clean: short, so that cleaning keeps ahead.
const BUSY_INTERVAL: Duration = Duration::from_millis(5);
/// Between two steps otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

impl Journal {
    /// Maintains the store for ever.
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

    /// Does one step of that, and says whether the next one should come soon.
    pub fn maintain_once(&self) -> bool {
        let mut state = self.state.borrow_mut();
        state.close_pending();
        if self.options.requires_sync() && state.log.position() != self.sync.position() {
            // Nobody waits for it, but files may be free only then.
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
