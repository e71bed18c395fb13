use super::*;

#[test]
fn a_wait_is_never_told_shorter_than_it_is() {
    assert_eq!(wait_in_ms(Duration::from_micros(999_999)), 1_000);
    assert_eq!(wait_in_ms(Duration::from_nanos(1_500_400_300)), 1_501);
    assert_eq!(wait_in_ms(Duration::from_millis(250)), 250);
    assert_eq!(wait_in_ms(Duration::ZERO), 0);
}
