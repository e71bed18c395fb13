//! Tests of the events that raise and lower the suspicion of idle connections.

use super::*;
use crate::dispatch::statistics::SEC;

#[test]
fn lost_idle_connections_are_distrusted_until_the_suspicion_decays_or_calls_are_answered() {
    let mut detector = StaleConnectionDetector::default();
    detector.record(SEC, Connection::Idle, true);
    assert!(detector.distrusts_idle(SEC) && !detector.distrusts_idle(20 * SEC));
    detector.record(SEC, Connection::Idle, false);
    assert!(!detector.distrusts_idle(SEC));
    // Losses on new connections as well show that idleness is not the cause.
    (0..10).for_each(|_| detector.record(2 * SEC, Connection::Fresh, true));
    detector.record(2 * SEC, Connection::Idle, true);
    assert!(!detector.distrusts_idle(2 * SEC));
}
