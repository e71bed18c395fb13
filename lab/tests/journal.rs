//! The reader of the benches' records.

use raildeal_lab::journal::{read, NoRuns, Skipped};
use serde_json::{json, Value};
use std::fs;
use tempfile::TempDir;

fn record(at: &str, cmd: &str, panel: &str, days: &[(&str, Value)], figures: Value) -> String {
    let days: Vec<Value> = days.iter().map(|(name, score)| json!({"name": name, "score": score})).collect();
    json!({"v": 1, "cmd": cmd, "at": [at, at], "why": "Paces, and | a line", "head": "60e119b31cc5a66c",
        "panel": panel, "figures": figures, "days": days})
    .to_string()
}

fn folder(files: &[(&str, String)]) -> TempDir {
    let folder = TempDir::new().expect("a folder");
    for (name, text) in files {
        fs::write(folder.path().join(name), text).expect("written");
    }
    fs::create_dir(folder.path().join("blobs")).expect("a folder");
    folder
}

#[test]
fn runs_are_listed_in_order_and_whatever_else_is_there_is_named_and_skipped() {
    let (quick, full) = ("real:x:1:calm+mass,herd+mass:quick", "real:x:1:calm+mass,herd+mass,soak");
    let figures = |gate: f64, score: f64| json!({"gate": gate, "real_score": score});
    let day = |n: f64| json!(n);
    let folder = folder(&[
        (
            "b.json",
            record(
                "2026-12-01T20:00:00Z",
                "real-score",
                quick,
                &[("calm+mass", day(0.655)), ("herd+mass", Value::Null)],
                figures(0.0, 0.5),
            ),
        ),
        (
            "a.json",
            record(
                "2026-12-02T20:00:00Z",
                "real-score",
                full,
                &[("calm+mass", day(0.5)), ("soak", day(0.9))],
                figures(1.0, 0.5649),
            ),
        ),
        ("hundred.json", record("x", "real-score", quick, &[("calm+vast", day(0.5))], figures(1.0, 0.5))),
        ("single.json", record("x", "real", quick, &[("calm+mass", day(0.5))], json!(null))),
        ("torn.json", record("x", "real-score", quick, &[], json!({}))[..40].to_string()),
        ("later.json", json!({"v": 2, "cmd": "real-score"}).to_string()),
        ("list.json", "[1]".into()),
        ("read.me", "no record".into()),
    ]);
    let journal = read(folder.path()).expect("runs");
    assert_eq!(
        journal.markdown(),
        "| begun | commit | change | run | gate | score | calm | herd | soak |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n\
         | 2026-12-01T20:00:00Z | 60e119b | Paces, and \\| a line | quick | FAILED | 0.500 | 0.66 | - | - |\n\
         | 2026-12-02T20:00:00Z | 60e119b | Paces, and \\| a line | full | passed | 0.565 | 0.50 | - | 0.90 |\n"
    );
    let csv = journal.csv().expect("a table");
    assert_eq!(
        csv.lines().nth(1),
        Some("2026-12-01T20:00:00Z,60e119b,\"Paces, and | a line\",quick,FAILED,0.500,0.66,-,-")
    );
    assert_eq!(journal.skipped[&Skipped::Foreign], ["hundred.json", "single.json"]);
    assert_eq!(journal.skipped[&Skipped::Version(2)], ["later.json"]);
    let unreadable: Vec<&String> = journal
        .skipped
        .iter()
        .filter(|(k, _)| matches!(k, Skipped::Unreadable(_)))
        .flat_map(|(_, v)| v)
        .collect();
    assert_eq!(unreadable.len(), 2, "{unreadable:?}");
}

#[test]
fn a_folder_without_a_run_says_so() {
    let bare = folder(&[("torn.json", "{".into())]);
    let error = read(bare.path()).expect_err("nothing there");
    assert!(error.to_string().ends_with("no record of the full fleet's days (1 files skipped)"), "{error}");
    assert!(matches!(read(&bare.path().join("none")), Err(NoRuns::Folder(..))));
}
