use crate::coordination::zones::counts::{share_lower_bound, RecentCounts};

#[test]
fn one_rejection_in_nine_calls_does_not_exceed_the_limit() {
    let of = |accepted, rejected| {
        RecentCounts {
            accepted,
            rejected,
            failed: 0.0,
        }
        .rejected_share_lower_bound()
    };
    assert!(
        of(8.0, 1.0) < 0.1 && of(6.0, 3.0) > 0.1 && of(80.0, 10.0) < 0.1 && of(80.0, 16.0) > 0.1
    );
}

#[test]
fn the_lower_bound_of_a_share_is_low_for_few_calls() {
    assert!(share_lower_bound(13.0, 13.0, 3.0) < 0.6 && share_lower_bound(14.0, 14.0, 3.0) > 0.6);
    assert!(share_lower_bound(60.0, 100.0, 3.0) < 0.5 && share_lower_bound(0.0, 0.0, 3.0) == 0.0);
}
