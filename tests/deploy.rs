//! The files under `deploy/` can be read as they stand.

use raildeal::config::Config;
use std::path::Path;

#[test]
fn every_operators_file_is_usable() {
    for name in ["mqtt", "dns", "store", "door"] {
        let path = format!("deploy/{name}.toml");
        assert_eq!(Config::from_file(Path::new(&path)).err(), None, "{path}");
    }
}

/// Each change to a file is refused with these words.
fn named(file: &str, changes: &[(&str, &str, &str)]) {
    let text = std::fs::read_to_string(file).expect("text");
    let folder = tempfile::TempDir::new().expect("a folder");
    for (from, to, told) in changes {
        assert!(text.contains(from), "{from}");
        let path = folder.path().join("file.toml");
        std::fs::write(&path, text.replacen(from, to, 1)).expect("written");
        let error = Config::from_file(&path).expect_err("refused");
        assert!(error.contains(told), "{error}");
    }
}

#[test]
fn a_store_setting_that_cannot_be_used_is_named() {
    named(
        "deploy/store.toml",
        &[
            ("disk_mb = 4000.0", "disk_mb = 0.01", "limits.disk_mb: 0.01"),
            ("disk_mb = 4000.0", "disk_mb = -3.0", "limits.disk_mb: -3"),
            (
                "bodies_mb = 64.0",
                "bodies_mb = nan",
                "store.bodies_mb: NaN",
            ),
            (
                "\"machine\"           ",
                "\"disk\"",
                "store.durability: unknown variant",
            ),
            ("bodies_mb", "bodies", "unknown field `bodies`"),
        ],
    );
}

#[test]
fn what_share_restarts_together_is_no_setting_and_no_variable_of_the_deployment() {
    let discovery = "discovery = \"127.0.0.1:8500\"";
    let set = "discovery = \"127.0.0.1:8500\"\nrestarts_together = 0.1";
    named(
        "deploy/store.toml",
        &[(discovery, set, "unknown field `restarts_together`")],
    );
    for file in ["deploy/balancer.toml", "deploy/trace.toml"] {
        let text = std::fs::read_to_string(file).expect("text");
        assert!(!text.contains("RAILDEAL_"), "{file}: {text}");
    }
}

#[test]
fn a_door_setting_that_cannot_be_used_is_named() {
    named(
        "deploy/door.toml",
        &[
            ("per_address = 40", "per_address = 0", "door.per_address: 0"),
            (
                "rate_per_prefix = 200.0",
                "rate_per_prefix = -1.0",
                "door.rate_per_prefix: -1",
            ),
            (
                "prefix_bits = [24, 64]",
                "prefix_bits = [33, 64]",
                "door.prefix_bits: [33, 64]",
            ),
            (
                "127.0.0.2",
                "127.0.0.x",
                "door.known[1]: '127.0.0.x' is neither",
            ),
            ("known = [", "knwn = [", "unknown field `knwn`"),
            (
                "known_room = 0.2",
                "known_room = 1.0",
                "door.known_room: 1 is not",
            ),
            (
                "log_every_s = 60",
                "log_every_s = 0",
                "door.log_every_s: 0 is not",
            ),
            (
                "when_full = \"refuse\"",
                "when_full = \"drop\"",
                "door.when_full: unknown variant",
            ),
        ],
    );
}

/// The table of a site that the acceptance is played on beside the customers' own.
fn site(name: &str) -> toml::Table {
    let text = std::fs::read_to_string(format!("deploy/sites/{name}.toml")).expect("text");
    text.parse().expect("a table")
}

fn tables<'a>(site: &'a toml::Table, name: &str) -> Vec<&'a toml::Table> {
    let all = site
        .get(name)
        .and_then(toml::Value::as_array)
        .into_iter()
        .flatten();
    all.map(|entry| entry.as_table().expect("a table"))
        .collect()
}

fn number(table: &toml::Table, key: &str) -> f64 {
    let value = table.get(key).unwrap_or_else(|| panic!("{key} is missing"));
    value
        .as_float()
        .or(value.as_integer().map(|n| n as f64))
        .expect("a number")
}

#[test]
fn the_site_of_many_classes_has_each_effect_short_windows_and_tenants_with_shares() {
    let site = site("many-classes");
    let classes = tables(&site, "class");
    let mut effects: Vec<_> = classes
        .iter()
        .filter_map(|c| c["effect"].as_str())
        .collect();
    effects.sort_unstable();
    assert_eq!(effects, ["keyed", "safe", "unsafe"]);
    for class in &classes {
        assert_eq!(number(class, "window_ms"), 1_000.0);
        let (aim, deadline) = (number(class, "aim_ms"), number(class, "deadline_ms"));
        assert!(aim < deadline && deadline <= 8_000.0, "{aim} {deadline}");
    }
    let sum_of_shares = |name| {
        tables(&site, name)
            .iter()
            .map(|t| number(t, "share"))
            .sum::<f64>()
    };
    assert!(
        (sum_of_shares("class") - 1.0).abs() < 1e-9 && (sum_of_shares("tenant") - 1.0).abs() < 1e-9
    );
    assert_eq!(tables(&site, "tenant").len(), 3);
}

#[test]
fn the_site_of_tight_limits_pushes_lists_and_leaves_little_room() {
    let site = site("tight-limits");
    assert_eq!(site["discovery"]["mode"].as_str(), Some("push"));
    assert_eq!(site["allow"]["max_attempts"].as_integer(), Some(4));
    assert_eq!(tables(&site, "class")[0]["group"].as_str(), Some("all"));
    let family = site["fam"].as_table().expect("a table");
    for kind in tables(family, "kind") {
        let headroom = kind["headroom"].as_array().expect("a range");
        assert!(
            headroom
                .iter()
                .all(|h| h.as_float().is_some_and(|h| h <= 1.5)),
            "{headroom:?}"
        );
    }
}
