use crate::coordination::config::*;

const GOOD: &str = r#"
        site = "north"
        keeper = 1
        listen = "127.0.0.1:0"
        state = "/var/lib/keeper"
        agents = ["127.0.0.0/8", "::1/128"]
        [[peer]]
        keeper = 2
        at = "127.0.0.1:7102"
        [[peer]]
        keeper = 3
        at = "127.0.0.1:7103"
    "#;

/// Returns the lines that an operator reads when a file is rejected.
fn fault_lines(text: &str) -> Vec<String> {
    let faults = Config::from_toml(text).expect_err("a file with faults");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn a_file_with_only_required_keys_gets_defaults() {
    let config = Config::from_toml(GOOD).expect("good");
    assert_eq!(
        (config.tick_ms, config.disk_bytes >> 20, config.begin),
        (50, 64, false)
    );
    assert!(config.may_connect([127, 3, 2, 1].into()) && !config.may_connect([10, 0, 0, 1].into()));
    let mapped: IpAddr = "::ffff:127.0.0.1".parse().expect("an address");
    assert!(config.may_connect(mapped));
}

#[test]
fn all_faults_are_reported_with_their_key() {
    let text = GOOD
        .replace("\"north\"", "\"no/rth\"")
        .replace(
            "keeper = 1",
            "keeper = 3\ntick_ms = 5\ndisk_mb = 1\nbegin = true",
        )
        .replace("127.0.0.1:0", "0.0.0.0:7101")
        .replace("[\"127.0.0.0/8\", \"::1/128\"]", "[]");
    let text = format!("{text}\n[[peer]]\nkeeper = 2\nat = \"127.0.0.1:7102\"\n");
    let faults = fault_lines(&text);
    for field in [
        "site:",
        "listen:",
        "disk_mb:",
        "tick_ms:",
        "agents:",
        "begin:",
        "peer[1].keeper:",
        "peer[2].keeper:",
        "peer[2].at:",
    ] {
        assert!(
            faults.iter().any(|f| f.starts_with(field)),
            "{field} {faults:#?}"
        );
    }
    assert_eq!(faults.len(), 9, "{faults:#?}");
    let text = format!(
        "{GOOD}\n[rules]\nlease_ms = 30000\n[federation]\nname = \"l/d\"\nnumber = 2\nformerly = 2\nbegin = true\nlease_s = 1\ntick_ms = 5\n\
         [[federation.site]]\nnumber = 2\nname = \"north\"\nat = [\"127.0.0.1:7102\", \"0.0.0.0:1\"]\n\
         [[federation.site]]\nnumber = 0\nname = \"south\"\nat = []\n"
    );
    let faults = fault_lines(&text);
    let keys: Vec<&str> = faults.iter().filter_map(|f| f.split(": ").next()).collect();
    let fields = "name formerly formerly lease_s fence_s tick_ms site[0].number site[0].name site[0].at[0] site[0].at[1] \
                  site[1].number site[1].at";
    let fields: Vec<String> = fields
        .split_whitespace()
        .map(|f| format!("federation.{f}"))
        .collect();
    assert_eq!(keys, fields, "{faults:#?}");
    let unknown = fault_lines(&format!("colour = 1\n{GOOD}"));
    assert!(unknown[0].contains("colour"), "{unknown:?}");
    let typed = fault_lines(&GOOD.replace("127.0.0.1:7103", "here"));
    assert!(typed[0].starts_with("peer[1].at"), "{typed:?}");
}
