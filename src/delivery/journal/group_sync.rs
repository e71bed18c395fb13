//! Syncs the store in groups: everything written during one sync is covered by the next.
//!
//! Only with [`super::Durability::Machine`]; otherwise written data needs no sync.

use super::{log_gate_change, Journal, WRITE_RETRY_DELAY};
use crate::store::log::PendingSync;
use event_listener::{Event, EventListener};
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// The synced part of the log, and the notifications between the sync task and its waiters.
#[derive(Default)]
pub(super) struct SyncProgress {
    /// Position of the log up to which everything is synced.
    position: Cell<u64>,
    failed_syncs: Cell<u64>,
    /// Wakes the task that syncs.
    requested: Event,
    /// Wakes the tasks that wait for a sync, whether it succeeded or failed.
    finished: Event,
}

impl SyncProgress {
    pub(super) fn position(&self) -> u64 {
        self.position.get()
    }

    /// Requests a sync and wakes up to `listeners` tasks that wait for requests.
    pub(super) fn request(&self, listeners: usize) {
        self.requested.notify(listeners);
    }

    fn listen_for_request(&self) -> EventListener {
        self.requested.listen()
    }
}

impl Journal {
    /// Syncs whenever a sync is requested and unsynced data exists.
    ///
    /// Returns at once where no sync is needed, and after the worker has failed.
    pub async fn run_sync(self: Rc<Self>) {
        if !self.options.requires_sync() {
            return;
        }
        let Some(worker) = &self.worker else { return };
        loop {
            let requested = self.sync.listen_for_request();
            if self.state.borrow().log.position() == self.sync.position() {
                requested.await;
            }
            let pending = self.state.borrow_mut().log.take_unsynced();
            let synced = worker.run(move || (pending.sync(), pending)).await;
            let (result, pending) = match synced {
                Ok(synced) => synced,
                Err(e) => return log::error!("store: {e}"),
            };
            if let Err(e) = self.finish_sync(result, pending) {
                log::error!(
                    "store: sync: {e}; the data that it covered is written again elsewhere"
                );
                async_io::Timer::after(WRITE_RETRY_DELAY).await;
            }
            self.sync.finished.notify(usize::MAX);
        }
    }

    /// Syncs everything written so far, on the calling thread.
    ///
    /// For the end of a process, when no other task has to run.
    ///
    /// # Errors
    /// The sync failed; the data that it covered is written again elsewhere.
    pub fn sync_now(&self) -> io::Result<()> {
        if !self.options.requires_sync() {
            return Ok(());
        }
        let pending = self.state.borrow_mut().log.take_unsynced();
        self.finish_sync(pending.sync(), pending)
    }

    fn finish_sync(&self, result: io::Result<()>, pending: PendingSync) -> io::Result<()> {
        let log = &mut self.state.borrow_mut().log;
        match &result {
            Ok(()) => {
                self.sync.position.set(pending.position);
                log.mark_synced(&pending);
            }
            Err(_) => {
                let failed = &self.sync.failed_syncs;
                failed.set(failed.get() + 1);
                log_gate_change(log.sync_failed((self.monotonic_clock)(), pending));
            }
        }
        result
    }

    /// Waits until everything written so far has the journal's [`super::Durability`].
    ///
    /// # Errors
    /// A sync failed during the wait.
    pub(super) async fn durable(&self) -> io::Result<()> {
        if !self.options.requires_sync() {
            return Ok(());
        }
        let position = self.state.borrow().log.position();
        let failed_before = self.sync.failed_syncs.get();
        loop {
            let finished = self.sync.finished.listen();
            if self.sync.position() >= position {
                return Ok(());
            }
            if self.sync.failed_syncs.get() != failed_before {
                return Err(io::Error::other("a sync failed"));
            }
            self.sync.request(usize::MAX);
            finished.await;
        }
    }
}
