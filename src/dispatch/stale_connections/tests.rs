//! Tests of the events that raise and lower the suspicion of idle connections.

use super::*;
use crate::dispatch::statistics::SEC;

#[test]
fn idle_connections_that_get_lost_are_distrusted_until_it_fades_or_calls_on_them_are_answered() {
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
