//! The order of the parts: what each folder of `src/` may name.

use std::fs;
use std::path::{Path, PathBuf};

/// Every Rust file below a folder, inline test modules included.
fn sources(folder: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let mut folders = vec![PathBuf::from(folder)];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).expect("a folder of the sources") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                files.push(path);
            }
        }
    }
    files
}

fn assert_names_none_of(path: &Path, words: &[&str]) {
    let text = fs::read_to_string(path).expect("text").to_lowercase();
    for word in words {
        let line = text.lines().position(|l| l.contains(word));
        assert_eq!(line, None, "{path:?} names {word}");
    }
}

#[test]
fn delivery_names_no_wire() {
    let files = sources("src/delivery");
    for path in &files {
        let words = [
            "http",
            "mqtt",
            "dns",
            "crate::net",
            "tcp",
            "platform",
            "broker",
            "publish",
            "config",
        ];
        assert_names_none_of(path, &words);
    }
    assert!(files.len() >= 6);
}

/// The modules of the decision module; each names only those before it.
const DISPATCH: [&str; 11] = [
    "routing",
    "api",
    "statistics",
    "slow_start",
    "stale_connections",
    "rate_quota",
    "rate_control",
    "endpoint_health",
    "list_polling",
    "state",
    "dispatcher",
];

/// The files of one module: its own, and those in its folder.
fn files_of(module: &str) -> Vec<PathBuf> {
    let file = PathBuf::from(format!("src/dispatch/{module}.rs"));
    let folder = format!("src/dispatch/{module}");
    let mut files = if Path::new(&folder).is_dir() {
        sources(&folder)
    } else {
        Vec::new()
    };
    files.extend(file.exists().then_some(file));
    files
}

#[test]
fn dispatch_names_no_socket_and_no_other_part_and_has_no_import_cycle() {
    let mut seen = 0;
    for (n, module) in DISPATCH.iter().enumerate() {
        let files = files_of(module);
        assert!(!files.is_empty(), "{module} has no file");
        seen += files.len();
        for path in files {
            let text = fs::read_to_string(&path).expect("text");
            for word in [
                "crate::delivery",
                "crate::net",
                "std::net",
                "async",
                "std::time",
            ] {
                assert!(!text.contains(word), "{path:?} names {word}");
            }
            for later in &DISPATCH[n + 1..] {
                assert!(
                    !text.contains(&format!("crate::dispatch::{later}::")),
                    "{path:?} names {later}"
                );
            }
        }
    }
    // All but `mod.rs` belong to one of them.
    assert_eq!(seen + 1, sources("src/dispatch").len());
}
