use super::*;

#[test]
fn an_attempt_that_may_begin_has_time_for_an_answer_and_ends_before_its_deadline() {
    let deadline = 10_000 * MS;
    assert!(may_begin(deadline - LEAST_TIME_TO_BEGIN - 1, deadline));
    assert!(!may_begin(deadline - LEAST_TIME_TO_BEGIN, deadline));
    assert!(!may_begin(Nanos::MAX, deadline));
    assert_eq!(longest_attempt(LEAST_TIME_TO_BEGIN), 100 * MS);
    assert_eq!(longest_attempt(FINAL_ANSWER_MARGIN - 1), 0);
}

#[test]
fn only_a_delivery_well_before_the_deadline_is_relied_on() {
    assert!(may_cross_the_end(0));
    assert!(may_cross_the_end(CROSSING_MARGIN - 1));
    assert!(!may_cross_the_end(CROSSING_MARGIN));
}
