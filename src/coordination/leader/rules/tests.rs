use crate::coordination::leader::LeaderRules;

/// A field may be renamed here, but its key in existing configuration files must not change.
#[test]
fn every_settings_key_keeps_its_spelling_and_its_field() {
    let file = "
        lease_ms = 3100
        beat_ms = 510
        sure_ms = 1520
        most_senders = 33
        [zones]
        rest_ms = 700
    ";

    let read = toml::from_str::<LeaderRules>(file).expect("all keys are known");

    assert_eq!(read.lease_ms, 3_100);
    assert_eq!(read.heartbeat_interval_ms, 510);
    assert_eq!(read.heartbeat_valid_ms, 1_520);
    assert_eq!(read.max_senders, 33);
    assert_eq!(read.zones.return_backoff_ms, 700);
    assert!(toml::from_str::<LeaderRules>("heartbeat_valid_ms = 1520").is_err());
}

#[test]
fn a_setting_out_of_its_range_is_named_by_its_key() {
    let rules = LeaderRules {
        lease_ms: 499,
        heartbeat_interval_ms: 99,
        heartbeat_valid_ms: 197,
        max_senders: 0,
        ..LeaderRules::default()
    };

    let faults = rules.faults();

    assert_eq!(
        faults,
        [
            "rules.lease_ms: 499 is not from 500 to 60000",
            "rules.beat_ms: 99 is not from 100 to 10000",
            "rules.sure_ms: 197 is not from twice beat_ms to 60000",
            "rules.most_senders: 0 is not from 1 to 10000",
        ]
    );
}
