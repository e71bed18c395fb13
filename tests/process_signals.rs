//! Signals that are blocked and read from a descriptor. Each test signals its own thread, so that
//! no other thread of the test program receives the signal.

use async_io::block_on;
use futures_lite::FutureExt;
use nix::sys::signal::raise;
use raildeal::process_signals::{BlockedSignals, Signal, SignalReceiver};
use std::io::ErrorKind;
use std::time::Duration;

/// Maximum wait for an expected signal; longer than a busy machine needs to read a descriptor.
const PATIENCE: Duration = Duration::from_secs(5);
/// Wait after which an unexpected signal is taken to be not pending; shorter than [`PATIENCE`].
const MOMENT: Duration = Duration::from_millis(50);

fn is_received_within(receiver: &SignalReceiver, time: Duration) -> bool {
    let received = async {
        receiver.received().await;
        true
    };
    let waited = async {
        async_io::Timer::after(time).await;
        false
    };
    block_on(received.or(waited))
}

/// Guards against losing a signal that is sent before a receiver waits for it.
#[test]
fn a_signal_sent_before_its_receiver_exists_is_received() {
    let blocked = BlockedSignals::new(&[Signal::SIGHUP]).expect("blocked");
    raise(Signal::SIGHUP).expect("sent");
    let receiver = blocked.receiver(&[Signal::SIGHUP]).expect("a receiver");
    assert!(is_received_within(&receiver, PATIENCE));
    assert!(!is_received_within(&receiver, MOMENT), "received twice");
}

/// Guards against losing a signal that is sent while the previous one is being handled.
#[test]
fn each_signal_sent_after_the_previous_one_was_received_is_received() {
    let blocked = BlockedSignals::new(&[Signal::SIGHUP]).expect("blocked");
    let receiver = blocked.receiver(&[Signal::SIGHUP]).expect("a receiver");
    for round in 0..3 {
        raise(Signal::SIGHUP).expect("sent");
        assert!(is_received_within(&receiver, PATIENCE), "round {round}");
    }
}

/// Guards against a receiver that consumes signals of another receiver.
#[test]
fn a_receiver_leaves_other_signals_pending() {
    let both = [Signal::SIGHUP, Signal::SIGTERM];
    let blocked = BlockedSignals::new(&both).expect("blocked");
    let hangups = blocked.receiver(&both[..1]).expect("a receiver");
    let ending = blocked.receiver(&both[1..]).expect("a receiver");
    raise(Signal::SIGTERM).expect("sent");
    assert!(!is_received_within(&hangups, MOMENT));
    assert!(is_received_within(&ending, PATIENCE));
}

/// Guards against a receiver of a signal that still has its default effect, to end the process.
#[test]
fn a_receiver_of_a_signal_that_is_not_blocked_is_an_error() {
    let blocked = BlockedSignals::new(&[Signal::SIGHUP]).expect("blocked");
    let refused = blocked.receiver(&[Signal::SIGHUP, Signal::SIGTERM]).err();
    assert_eq!(refused.map(|e| e.kind()), Some(ErrorKind::InvalidInput));
}
