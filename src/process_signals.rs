//! Signals that request a process of this project to end or to reload its configuration.
//!
//! They are blocked, so that the kernel keeps each one pending until it is read from a descriptor.
//! No handler runs, and no step that may fail lies between the sending of a signal and its reader.
//! Before they are blocked, signals have their default effect.

use async_io::{Async, Timer};
use nix::errno::Errno;
use nix::sys::signal::SigSet;
use nix::sys::signalfd::{SfdFlags, SignalFd};
use std::io;
use std::time::Duration;

pub use nix::sys::signal::Signal;

/// Signals that request a process to end.
pub const ENDING_SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGINT];

/// Delay before a read is retried after an error. The documentation of these reads lists no error
/// but an interruption. The delay is long enough for a repeated error to cost no noticeable
/// processor time, and short enough for no signal to be late.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Signals that are blocked in this thread and in all threads that it starts. They stay blocked
/// for the lifetime of the process, even after this value is dropped.
///
/// It has to be created before any other thread starts, because the kernel delivers a signal to any
/// thread that does not block it.
pub struct BlockedSignals(SigSet);

impl BlockedSignals {
    /// Blocks signals.
    ///
    /// # Errors
    /// Fails if the system does not block them.
    pub fn new(signals: &[Signal]) -> io::Result<Self> {
        let set: SigSet = signals.iter().copied().collect();
        set.thread_block()?;
        Ok(BlockedSignals(set))
    }

    /// Returns a receiver of some of the blocked signals.
    ///
    /// # Errors
    /// Fails if one of them is not blocked, or if the system cannot provide a descriptor.
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

/// A receiver of blocked signals.
pub struct SignalReceiver(Async<SignalFd>);

impl SignalReceiver {
    /// Waits for the next signal, which may have been sent before this call. A signal that is sent
    /// several times before it is received counts once.
    pub async fn received(&self) {
        while let Err(e) = self.0.read_with(read_one).await {
            log::error!("signals: cannot read pending signals: {e}");
            Timer::after(READ_RETRY_DELAY).await;
        }
    }
}

/// Reads one pending signal. After an interrupted read the signal is still pending, so that the
/// descriptor stays readable and is read again in the next turn.
fn read_one(descriptor: &SignalFd) -> io::Result<()> {
    match descriptor.read_signal() {
        Ok(Some(_)) => Ok(()),
        Ok(None) | Err(Errno::EINTR) => Err(io::ErrorKind::WouldBlock.into()),
        Err(e) => Err(e.into()),
    }
}
