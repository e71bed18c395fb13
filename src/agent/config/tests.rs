use crate::agent::config::*;

#[test]
fn all_faults_are_named_at_once() {
    let text = "zone = 3\nkeepers = [\"127.0.0.1:7001\", \"0.0.0.0:7002\", \"x\", \"127.0.0.1:7001\"]\nreport_ms = 5\n\
                lease = 4\nother = true\n[policy]\nwithout_keepers = \"never\"\nsoon = 1\n[table]\nlater = 1";
    let faults = File::parse(text).expect_err("refused");
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
            faults.iter().any(|f| f.starts_with(name)),
            "{name}: {faults:?}"
        );
    }
}

#[test]
fn keepers_are_numbered_in_order_or_by_name() {
    let read = |keepers: &str| {
        let text = format!("site = \"s\"\nzone = \"a\"\nkeepers = {keepers}");
        File::parse(&text).map(|f| f.keepers.into_keys().collect::<Vec<_>>())
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
fn policies_and_tables_are_followed_only_where_the_file_says_so() {
    let both = |told: &str| {
        let text = format!("site = \"s\"\nzone = \"a\"\nkeepers = [\"127.0.0.1:1\"]\n{told}");
        let file = File::parse(&text).expect("usable");
        (file.policy, file.table)
    };
    let (read, tables) = (|told: &str| both(told).0, |told: &str| both(told).1);
    assert_eq!((read(""), read("[policy]")), (None, Some(Without::Hold)));
    assert_eq!(
        read("policy.without_keepers = \"last\""),
        Some(Without::Last)
    );
    assert_eq!(
        (read("[table]"), tables(""), tables("[table]")),
        (None, None, Some(Without::Hold))
    );
}

#[test]
fn the_file_under_deploy_is_usable() {
    assert_eq!(File::read(Path::new("deploy/fleet.toml")).err(), None);
}
