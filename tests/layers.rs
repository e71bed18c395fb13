//! The core must know no wire: what it names, it depends on.

use std::fs;

#[test]
fn core_names_no_front() {
    let mut files = 0;
    for file in fs::read_dir("src/core").expect("the core's folder") {
        let path = file.expect("a file").path();
        let text = fs::read_to_string(&path).expect("text").to_lowercase();
        for word in [
            "http",
            "mqtt",
            "dns",
            "crate::net",
            "tcp",
            "platform",
            "broker",
            "publish",
            "config",
        ] {
            let line = text.lines().position(|l| l.contains(word));
            assert_eq!(line, None, "{path:?} names {word}");
        }
        files += 1;
    }
    assert!(files >= 6);
}

/// The files of the decision module; each names only those before it.
const MODULE: [&str; 10] = [
    "routes",
    "interface",
    "measure",
    "slow_start",
    "links",
    "fleet",
    "pace",
    "health",
    "state",
    "policy",
];

#[test]
fn the_module_names_no_socket_and_no_core_and_goes_in_no_circle() {
    for (n, name) in MODULE.iter().enumerate() {
        let path = format!("src/{name}.rs");
        let text = fs::read_to_string(&path).expect("text");
        for word in [
            "crate::core",
            "crate::net",
            "std::net",
            "async",
            "std::time",
        ] {
            assert!(!text.contains(word), "{path} names {word}");
        }
        for later in &MODULE[n + 1..] {
            assert!(
                !text.contains(&format!("crate::{later}::")),
                "{path} names {later}"
            );
        }
    }
}
