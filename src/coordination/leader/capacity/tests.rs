//! Time between the steps of a return.

use super::*;

#[test]
fn steps_of_a_return_follow_the_warmup_between_a_heartbeat_and_a_second() {
    assert_eq!(readmission_interval_ms(10_000, 200), 500);
    assert_eq!(readmission_interval_ms(1_000, 200), 200);
    assert_eq!(readmission_interval_ms(60_000, 200), 1_000);
}

/// Guards against a panic of the leader at the first step of a return with `rules.beat_ms` over
/// 1,000 (up to 10,000 is permitted): the interval was clamped to a range whose minimum, the
/// heartbeat interval, exceeded its maximum of one second.
#[test]
fn steps_of_a_return_are_a_heartbeat_apart_where_that_is_over_a_second() {
    assert_eq!(readmission_interval_ms(60_000, 10_000), 10_000);
}
