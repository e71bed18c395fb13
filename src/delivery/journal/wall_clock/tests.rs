use super::*;

#[test]
fn a_clock_that_was_set_back_gives_no_age_and_no_extra_time() {
    let clock = |now_unix_ms| WallClock {
        now_unix_ms,
        newest_unix_ms: 10_000,
    };
    assert_eq!(clock(12_000).least_age(9_000), Some(Duration::from_secs(3)));
    assert_eq!(clock(9_500).least_age(9_000), None);
    assert_eq!(
        clock(12_000).time_left(9_000, 25_000),
        Duration::from_secs(13)
    );
    assert_eq!(
        clock(2_000).time_left(9_000, 25_000),
        Duration::from_secs(16)
    );
    assert_eq!(clock(30_000).time_left(9_000, 25_000), Duration::ZERO);
}
