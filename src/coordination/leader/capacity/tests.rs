//! Time between the steps of a return.

use super::*;

#[test]
fn steps_of_a_return_follow_the_warmup_between_a_heartbeat_and_a_second() {
    assert_eq!(readmission_interval_ms(10_000, 200), 500);
    assert_eq!(readmission_interval_ms(1_000, 200), 200);
    assert_eq!(readmission_interval_ms(60_000, 200), 1_000);
}

/// The leader ended at the first step of a return where `rules.beat_ms` was over 1,000, which the
/// settings permit up to 10,000: a heartbeat was the least and a second the most, and a range whose
/// least is over its most is a panic.
#[test]
fn steps_of_a_return_are_a_heartbeat_apart_where_that_is_over_a_second() {
    assert_eq!(readmission_interval_ms(60_000, 10_000), 10_000);
}
