use crate::agent::config::*;

#[test]
fn all_faults_are_reported_together() {
    let text = "zone = 3\n\
                keepers = [\"127.0.0.1:7001\", \"0.0.0.0:7002\", \"x\", \"127.0.0.1:7001\"]\n\
                report_ms = 5\nlease = 4\nother = true\n\
                [policy]\nwithout_keepers = \"never\"\nsoon = 1\n[table]\nlater = 1";
    let faults = FleetConfig::parse(text).expect_err("rejected");
    let named = [
        "site:",
        "zone:",
        "keepers.2:",
        "keepers.3:",
        "keepers.4:",
        "report_ms:",
        "lease:",
        "other:",
        "policy.without_keepers:",
        "policy.soon:",
        "table.later:",
    ];
    assert_eq!(faults.len(), named.len(), "{faults:?}");
    for name in named {
        assert!(
            faults.iter().any(|f| f.to_string().starts_with(name)),
            "{name}: {faults:?}"
        );
    }
}

#[test]
fn replicas_are_numbered_in_order_or_by_key() {
    let read = |addresses: &str| {
        let text = format!("site = \"s\"\nzone = \"a\"\nkeepers = {addresses}");
        FleetConfig::parse(&text).map(|config| config.replicas.into_keys().collect::<Vec<_>>())
    };
    assert_eq!(read("[\"127.0.0.1:1\", \"127.0.0.1:2\"]"), Ok(vec![1, 2]));
    assert_eq!(
        read("{ 7 = \"127.0.0.1:1\", 2 = \"127.0.0.1:2\" }"),
        Ok(vec![2, 7])
    );
    assert!(
        read("[]").is_err() && read("{ 0 = \"127.0.0.1:1\" }").is_err() && read("\"x\"").is_err()
    );
}

#[test]
fn policies_and_tables_are_followed_only_where_configured() {
    let read_both = |followed: &str| {
        let text = format!("site = \"s\"\nzone = \"a\"\nkeepers = [\"127.0.0.1:1\"]\n{followed}");
        let config = FleetConfig::parse(&text).expect("valid");
        (config.policies, config.tables)
    };
    let (read, tables) = (
        |followed: &str| read_both(followed).0,
        |followed: &str| read_both(followed).1,
    );
    assert_eq!(
        (read(""), read("[policy]")),
        (None, Some(OnLeaseLoss::StopAccepting))
    );
    assert_eq!(
        read("policy.without_keepers = \"last\""),
        Some(OnLeaseLoss::KeepLast)
    );
    assert_eq!(
        (read("[table]"), tables(""), tables("[table]")),
        (None, None, Some(OnLeaseLoss::StopAccepting))
    );
}

#[test]
fn the_fleet_file_under_deploy_is_valid() {
    let error = FleetConfig::read(Path::new("deploy/fleet.toml")).err();
    assert_eq!(error.map(|e| e.to_string()), None);
}
