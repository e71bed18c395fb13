//! A wake-up call between two tasks of one thread.

use async_channel::{Receiver, Sender};

/// Wakes one task that waits. Set while nobody waits, it ends the next wait at once; set twice, it
/// counts once.
pub(super) struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    /// One that is not set.
    pub(super) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Signal { sender, receiver }
    }

    /// Ends the wait of now, or the next one.
    pub(super) fn set(&self) {
        // A full channel means that it is set already.
        let _ = self.sender.try_send(());
    }

    /// Waits until it is set.
    pub(super) async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}
