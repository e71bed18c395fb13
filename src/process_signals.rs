//! The signals that a process of this project is sent: to end, to read its configuration again.
//!
//! They are blocked, so that the kernel keeps each one pending until it is read from a descriptor.
//! No handler runs, and nothing that may fail lies between a signal that is sent to the process and
//! its reader. Before they are blocked, signals have their usual effect.

use async_io::{Async, Timer};
use nix::errno::Errno;
use nix::sys::signal::SigSet;
use nix::sys::signalfd::{SfdFlags, SignalFd};
use std::io;
use std::time::Duration;

pub use nix::sys::signal::Signal;

/// Those that tell a process to end.
pub const ENDING_SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGINT];

/// After an error of a read, the next one comes after this time. No error but an interruption is
/// documented for these reads; the pause is so long that one would cost no noticeable processor
/// time, and so short that no signal would be late.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Signals that are kept from their usual effect in this thread and in all that it starts, also
/// after this is dropped: what was blocked stays blocked for as long as the process lives.
///
/// It has to be made before any other thread starts: the kernel gives a signal to any thread that
/// does not block it.
pub struct BlockedSignals(SigSet);

impl BlockedSignals {
    /// Blocks these.
    ///
    /// # Errors
    /// The system refuses to block them.
    pub fn new(signals: &[Signal]) -> io::Result<Self> {
        let set: SigSet = signals.iter().copied().collect();
        set.thread_block()?;
        Ok(BlockedSignals(set))
    }

    /// Receives these of them.
    ///
    /// # Errors
    /// One of them is not blocked, or the system has no descriptor for them.
    pub fn receiver(&self, signals: &[Signal]) -> io::Result<SignalReceiver> {
        if let Some(signal) = signals.iter().find(|s| !self.0.contains(**s)) {
            let message = format!("{signal} is not blocked");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        let set: SigSet = signals.iter().copied().collect();
        let flags = SfdFlags::SFD_NONBLOCK | SfdFlags::SFD_CLOEXEC;
        let descriptor = SignalFd::with_flags(&set, flags)?;
        Ok(SignalReceiver(Async::new_nonblocking(descriptor)?))
    }
}

/// Receives signals that are blocked.
pub struct SignalReceiver(Async<SignalFd>);

impl SignalReceiver {
    /// Ends with the next of them, also with one that came while nobody waited. A signal that is
    /// sent again before it was received counts once.
    pub async fn received(&self) {
        while let Err(e) = self.0.read_with(read_one).await {
            log::error!("signals: not read: {e}");
            Timer::after(READ_RETRY_DELAY).await;
        }
    }
}

/// Takes one that is pending. After an interrupted read it still is, so that the descriptor stays
/// readable and is read again in the next turn.
fn read_one(descriptor: &SignalFd) -> io::Result<()> {
    match descriptor.read_signal() {
        Ok(Some(_)) => Ok(()),
        Ok(None) | Err(Errno::EINTR) => Err(io::ErrorKind::WouldBlock.into()),
        Err(e) => Err(e.into()),
    }
}
