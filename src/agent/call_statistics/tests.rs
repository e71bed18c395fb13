use crate::agent::call_statistics::*;
use crate::dispatch::statistics::SEC;

#[test]
fn every_call_is_counted_once_and_hanging_calls_as_of_now() {
    let mut statistics = CallStatistics::default();
    let call = statistics.call_started(0, "a", 1);
    assert_eq!(
        statistics.take_counts(SEC),
        [],
        "the usual duration of calls is still unknown"
    );
    let hangs = |n| CallCounts {
        hanging: n,
        ..CallCounts::default()
    };
    let reported = |counts| {
        vec![ZoneCallCounts {
            zone: "a".into(),
            dest: 1,
            counts,
        }]
    };
    assert_eq!(statistics.take_counts(2 * SEC), reported(hangs(1)));
    assert_eq!(statistics.take_counts(3 * SEC), reported(hangs(1)));
    statistics.record_outcome("a", 1, Outcome::Timeout, 3 * SEC);
    statistics.call_finished(call);
    assert_eq!(
        statistics.take_counts(3 * SEC),
        reported(CallCounts {
            timed_out: 1,
            ..CallCounts::default()
        })
    );
    assert_eq!(statistics.take_counts(3 * SEC), []);
    statistics.record_outcome("a", 1, Outcome::NotSent, 0);
    assert_eq!(statistics.take_counts(3 * SEC), []);
}

#[test]
fn a_call_hangs_by_the_usual_duration_of_its_group_or_else_of_all_calls() {
    let mut statistics = CallStatistics::default();
    let hanging_calls = |statistics: &mut CallStatistics, now| {
        statistics
            .take_counts(now)
            .iter()
            .map(|s| s.counts.hanging)
            .sum::<u32>()
    };
    statistics.record_outcome("a", 1, Outcome::Delivered, 50 * MS);
    let quick = statistics.call_started(SEC, "b", 2);
    assert_eq!(
        (
            hanging_calls(&mut statistics, 1_400 * MS),
            hanging_calls(&mut statistics, 1_401 * MS)
        ),
        (0, 1)
    );
    statistics.call_finished(quick);
    // One answer suffices to know that this destination is slow, whatever the others are.
    statistics.record_outcome("b", 3, Outcome::Delivered, 500 * MS);
    statistics.call_started(2 * SEC, "b", 3);
    assert_eq!(
        (
            hanging_calls(&mut statistics, 4 * SEC),
            hanging_calls(&mut statistics, 4_001 * MS)
        ),
        (0, 1)
    );
}

#[test]
fn the_table_is_bounded_and_loses_no_unreported_count() {
    let mut statistics = CallStatistics::default();
    for dest in 0..3_000 {
        statistics.record_outcome("a", dest, Outcome::Delivered, SEC);
    }
    statistics.record_outcome(&"z".repeat(MAX_ZONE_NAME + 1), 1, Outcome::Delivered, SEC);
    let seen = statistics.take_counts(0);
    assert_eq!(
        (
            seen.len(),
            seen.iter().map(|s| s.counts.delivered).sum::<u32>()
        ),
        (MAX_GROUPS, MAX_GROUPS as u32)
    );
    statistics.record_outcome("b", 1, Outcome::Delivered, SEC);
    assert_eq!(
        statistics.take_counts(0).len(),
        1,
        "the table has space again"
    );
}
