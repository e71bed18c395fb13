//! A wake-up notification between two tasks of one thread.

use async_channel::{Receiver, Sender};

/// Wakes one waiting task. If it is set while no task waits, the next wait ends at once; repeated
/// sets before that count as one.
pub(super) struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    /// Creates a signal that is not set.
    pub(super) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Signal { sender, receiver }
    }

    /// Ends the current wait, or the next one if no task waits.
    pub(super) fn set(&self) {
        // A full channel means that the signal is set already.
        let _ = self.sender.try_send(());
    }

    /// Waits until the signal is set, and clears it.
    pub(super) async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}
