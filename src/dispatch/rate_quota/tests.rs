//! Tests of quotas of many and few senders, the traffic share and the weighted random choice.

use super::*;
use crate::dispatch::statistics::{Random, MS, SEC};

/// Longest time that a message can wait.
const LONGEST_WAIT: Nanos = 12 * SEC;

fn quota(listed_rate: f64, senders: u32) -> Option<RateQuota> {
    RateQuota::for_sender(listed_rate, senders, LONGEST_WAIT)
}

#[test]
fn a_sender_whose_turn_comes_within_the_time_of_a_message_waits_for_its_turn() {
    let burst = |listed, senders| quota(listed, senders).map(RateQuota::burst_allowance);
    assert_eq!((burst(5.0, 59), burst(5.0, 61)), (Some(0.0), Some(1.0)));
    assert_eq!((burst(5.0, 3), burst(5.0, u32::MAX)), (None, Some(1.0)));
    let one = quota(5.0, 300).expect("a quota of many senders");
    assert!((to_secs(one.turn_interval()) - 60.0).abs() < 1e-6);
}

#[test]
fn few_senders_and_unusable_listed_rates_have_no_quota() {
    assert_eq!(quota(50.0, 3), None);
    for listed in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(quota(listed, 100), None, "{listed}");
    }
}

#[test]
fn a_fleet_starts_at_the_listed_rate_and_a_huge_configured_size_keeps_a_minimum_rate() {
    let one = quota(50.0, 100).expect("a quota of many senders");
    assert!((one.initial_rate() * 100.0 - 50.0).abs() < 1e-9);
    assert!(quota(1.0, u32::MAX).expect("many").initial_rate() >= MIN_QUOTA_PER_SECOND);
}

#[test]
fn a_rate_falls_with_rejections_recovers_over_time_and_stays_within_limits() {
    let one = quota(50.0, 100).expect("a quota of many senders");
    let low = (0..50).fold(one.initial_rate(), |rate, _| one.after_rejection(rate));
    assert!(low > 0.0 && low < 0.1 * one.initial_rate());
    assert_eq!(one.after_rest(low, 120.0), one.initial_rate());
    let high = (0..500).fold(one.initial_rate(), |rate, _| one.after_accept(rate));
    assert!(high <= 2.0 * one.initial_rate() && one.after_rest(high, 60.0) == high);
}

#[test]
fn one_of_many_senders_assumes_a_recovery_halfway_through_the_time_since_the_last_failure() {
    assert_eq!(
        (unobserved_recovery(6.0, 100), unobserved_recovery(6.0, 3)),
        (3.0, 0.0)
    );
}

#[test]
fn a_sender_with_more_traffic_gets_a_larger_quota_and_repeated_messages_do_not_count() {
    let multiplier = |first_every_ms: u64, repeat_every_ms: u64, senders| {
        let mut traffic = TrafficShare::new(0);
        traffic.set_listed_rates([60.0, 40.0, f64::NAN].into_iter());
        for i in 1..=40 * SEC / MS {
            let at = i * MS;
            if i % first_every_ms == 0 {
                traffic.record_arrival(at, 12 * SEC, 12 * SEC);
            }
            if i % repeat_every_ms == 0 {
                traffic.record_arrival(at, 9 * SEC, 12 * SEC);
            }
        }
        traffic.quota_multiplier(40 * SEC, senders)
    };
    // Of 100 messages per second in all, the equal part of each of 100 senders is one per second.
    assert_eq!(multiplier(2_000, 50, 100), 1.0);
    assert!(
        (2.8..3.6).contains(&multiplier(250, 2_000, 100)),
        "{}",
        multiplier(250, 2_000, 100)
    );
    assert_eq!(
        (multiplier(20, 2_000, 100), multiplier(20, 2_000, 3)),
        (MAX_QUOTA_MULTIPLIER, 1.0)
    );
    assert_eq!(
        TrafficShare::new(0).quota_multiplier(SEC, 100),
        1.0,
        "without listed rates"
    );
}

#[test]
fn weighted_random_keys_win_in_proportion_to_their_weight() {
    let mut random = Random::new(7);
    let wins = (0..10_000)
        .filter(|_| {
            weighted_random_key(3.0, random.draw()) < weighted_random_key(1.0, random.draw())
        })
        .count();
    assert!((7_300..7_700).contains(&wins), "{wins}");
}
