//! The signals that a process of this project is sent: to end, to read its configuration again.

use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use std::io;

/// A set of signals that this process waits for. Made, it keeps them from their usual effect.
pub struct ProcessSignals(Signals);

impl ProcessSignals {
    /// Waits for these.
    ///
    /// # Errors
    /// The system has no descriptor for them.
    pub fn new(signals: &[Signal]) -> io::Result<Self> {
        Signals::new(signals).map(ProcessSignals)
    }

    /// Ends with the next of them. A read of signals that fails is none: taken for one, an
    /// interrupted read ended the process.
    pub async fn received(&mut self) {
        while let Some(signal) = self.0.next().await {
            match signal {
                Ok(_) => return,
                Err(e) => log::debug!("signals: {e}"),
            }
        }
        future::pending().await
    }
}
