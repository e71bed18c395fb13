//! The files under `deploy/` can be read as they stand.

use raildeal::config::Config;
use std::path::Path;

#[test]
fn every_operators_file_is_usable() {
    for name in ["mqtt", "dns", "store"] {
        let path = format!("deploy/{name}.toml");
        assert_eq!(Config::from_file(Path::new(&path)).err(), None, "{path}");
    }
}

#[test]
fn a_store_setting_that_cannot_be_used_is_named() {
    let text = std::fs::read_to_string("deploy/store.toml").expect("text");
    let folder = tempfile::TempDir::new().expect("a folder");
    for (from, to, told) in [
        ("disk_mb = 4000.0", "disk_mb = 0.01", "limits.disk_mb: 0.01"),
        ("disk_mb = 4000.0", "disk_mb = -3.0", "limits.disk_mb: -3"),
        ("bodies_mb = 64.0", "bodies_mb = nan", "store.bodies_mb: NaN"),
        ("\"machine\"           ", "\"disk\"", "store.durability: unknown variant"),
        ("bodies_mb", "bodies", "unknown field `bodies`"),
    ] {
        assert!(text.contains(from), "{from}");
        let path = folder.path().join("file.toml");
        std::fs::write(&path, text.replacen(from, to, 1)).expect("written");
        let error = Config::from_file(&path).expect_err("refused");
        assert!(error.contains(told), "{error}");
    }
}
