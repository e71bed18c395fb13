//! The reader of the benches' records.

use raildeal_simulator::journal::{read, NoRuns, Skipped};
use serde_json::{json, Value};
use std::fs;
use tempfile::TempDir;

fn record(at: &str, cmd: &str, panel: &str, days: &[(&str, Value)], figures: Value) -> String {
    let days: Vec<Value> = days
        .iter()
        .map(|(name, score)| json!({"name": name, "score": score}))
        .collect();
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
    let (quick, full) = (
        "real:x:1:calm+mass,herd+mass:quick",
        "real:x:1:calm+mass,herd+mass,soak",
    );
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
        (
            "hundred.json",
            record(
                "x",
                "real-score",
                quick,
                &[("calm+vast", day(0.5))],
                figures(1.0, 0.5),
            ),
        ),
        (
            "single.json",
            record("x", "real", quick, &[("calm+mass", day(0.5))], json!(null)),
        ),
        (
            "torn.json",
            record("x", "real-score", quick, &[], json!({}))[..40].to_string(),
        ),
        (
            "later.json",
            json!({"v": 2, "cmd": "real-score"}).to_string(),
        ),
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
    assert_eq!(
        journal.skipped[&Skipped::Foreign],
        ["hundred.json", "single.json"]
    );
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
fn short_days_have_a_table_of_their_own_in_the_order_of_their_numbers() {
    let days = |first: f64| {
        [
            ("split+brink+mass-10", first),
            ("roll+term+brink+mass-7", 0.25),
            ("calm+brink+mass-2", 0.5),
        ]
        .map(|(name, score)| (name, json!(score)))
    };
    let brink = |at, days: &[(&str, Value)]| {
        record(
            at,
            "real-score",
            "real:x:1:brink",
            days,
            json!({"gate": 1.0, "real_score": 0.5012}),
        )
    };
    let fleet = record(
        "2026-12-02T20:00:00Z",
        "real-score",
        "p",
        &[("calm+mass", json!(0.5))],
        json!({}),
    );
    let mixed = [("calm+mass", json!(0.5)), ("calm+brink+mass-2", json!(0.5))];
    let folder = folder(&[
        ("a.json", brink("2026-12-02T21:00:00Z", &days(0.75))),
        ("b.json", fleet),
        (
            "hundred.json",
            brink("x", &[("calm+brink+vast-2", json!(0.5))]),
        ),
        ("mixed.json", brink("x", &mixed)),
        ("bare.json", brink("x", &[])),
    ]);
    let journal = read(folder.path()).expect("runs");
    assert_eq!(
        journal.markdown(),
        "| begun | commit | change | run | gate | score | calm |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n\
         | 2026-12-02T20:00:00Z | 60e119b | Paces, and \\| a line | full | not told | - | 0.50 |\n\
         \n\
         | begun | commit | change | run | gate | score | calm-2 | roll+term-7 | split-10 |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n\
         | 2026-12-02T21:00:00Z | 60e119b | Paces, and \\| a line | short | passed | 0.501 | 0.50 | 0.25 | 0.75 |\n"
    );
    let csv = journal.csv().expect("a table");
    assert_eq!(
        csv.lines().next(),
        Some("begun,commit,change,run,gate,score,calm,calm-2,roll+term-7,split-10")
    );
    assert_eq!(
        journal.skipped[&Skipped::Foreign],
        ["bare.json", "hundred.json", "mixed.json"]
    );
}

#[test]
fn a_folder_without_a_run_says_so() {
    let bare = folder(&[("torn.json", "{".into())]);
    let error = read(bare.path()).expect_err("nothing there");
    assert!(
        error
            .to_string()
            .ends_with("no record of the standing test's days (1 files skipped)"),
        "{error}"
    );
    assert!(matches!(
        read(&bare.path().join("none")),
        Err(NoRuns::Folder(..))
    ));
}
