use crate::coordination::zones::*;

#[test]
fn all_faults_are_reported_and_unknown_keys_are_rejected() {
    assert_eq!(ZoneRules::default().faults(), Vec::<String>::new());
    let bad = ZoneRules {
        failure_share: f64::NAN,
        slice_ms: 1,
        windows_ms: vec![1_000, 400],
        ..ZoneRules::default()
    };
    let faults = bad.faults();
    assert_eq!(faults.len(), 3, "{faults:?}");
    assert!(toml::from_str::<ZoneRules>("rest = 1").is_err());
    assert_eq!(
        toml::from_str::<ZoneRules>("rest_ms = 700")
            .unwrap()
            .return_backoff_ms,
        700
    );
}

/// Every key in the spelling of existing configuration files. Each has a value of its own, so that
/// a key that sets another key's field is noticed.
const ALL_KEYS: &str = "
    windows_ms = [300, 900]
    fail_share = 0.51
    errors = 1.5
    dest_share = 0.52
    reporter_share = 0.53
    least_reporters = 5
    most_weight = 6.0
    own_share = 0.54
    heard_share = 0.55
    silent_ms = 701
    confirm_ms = 702
    most_left = 7
    left_share = 0.21
    headroom = 0.56
    refused_share = 0.57
    load_ms = 1703
    rest_ms = 704
    most_rest_ms = 705
    calm_ms = 1706
    trial_calls = 8
    least_results = 9
    slice_ms = 707
    within_ms = 708
    flight_ms = 709
    drift = 0.011
    cold_share = 0.58
    warm_after_ms = 710
    overload_factor = 1.25
    overload_for_ms = 711
    unlisted_rate = 12.5
    most_sights = 1001
";

/// Returns the settings that [`ALL_KEYS`] is expected to give.
fn rules_of_all_keys() -> ZoneRules {
    ZoneRules {
        windows_ms: vec![300, 900],
        failure_share: 0.51,
        standard_errors: 1.5,
        destination_share: 0.52,
        reporter_share: 0.53,
        min_reporters: 5,
        max_reporter_weight: 6.0,
        home_zone_share: 0.54,
        reporting_share: 0.55,
        silent_ms: 701,
        confirm_ms: 702,
        max_evacuated_zones: 7,
        max_evacuated_share: 0.21,
        headroom: 0.56,
        rejected_share: 0.57,
        load_window_ms: 1_703,
        return_backoff_ms: 704,
        max_return_backoff_ms: 705,
        return_history_reset_ms: 1_706,
        trial_calls: 8,
        min_results: 9,
        slice_ms: 707,
        grant_validity_ms: 708,
        max_transit_ms: 709,
        max_clock_drift: 0.011,
        initial_capacity_share: 0.58,
        warmup_ms: 710,
        overload_factor: 1.25,
        overload_window_ms: 711,
        unlisted_rate_per_second: 12.5,
        max_observations: 1_001,
    }
}

#[test]
fn every_settings_key_keeps_its_spelling_and_its_field() {
    let read = toml::from_str::<ZoneRules>(ALL_KEYS).expect("all keys are known");

    assert_eq!(read, rules_of_all_keys());
    assert_eq!(read.faults(), Vec::<String>::new());
}
