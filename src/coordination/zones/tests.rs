use crate::coordination::zones::*;

#[test]
fn all_faults_are_named_and_unknown_keys_are_some() {
    assert_eq!(Rules::default().faults(), Vec::<String>::new());
    let bad = Rules {
        fail_share: f64::NAN,
        slice_ms: 1,
        windows_ms: vec![1_000, 400],
        ..Rules::default()
    };
    let faults = bad.faults();
    assert_eq!(faults.len(), 3, "{faults:?}");
    assert!(toml::from_str::<Rules>("rest = 1").is_err());
    assert_eq!(
        toml::from_str::<Rules>("rest_ms = 700").unwrap().rest_ms,
        700
    );
}
