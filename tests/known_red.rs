//! `.ci/known-red`, which runs the tests that `KNOWN-RED.txt` lists apart from the others, against
//! a `cargo` that records how it is called.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::process::{Command, Output};
use tempfile::TempDir;

/// Lists three tests, two of them of one name; a test that is named alone ends as `$RED_RESULT`
/// says.
const CARGO: &str = r#"#!/bin/sh
echo "$@" >> "$CALLS"
case "$*" in
*--list*) printf 'a::fails: test\nb::twin: test\nb::twin: test\n' ;;
*--skip*) exit 0 ;;
*--exact*) exit "$RED_RESULT" ;;
esac
"#;

struct Run {
    output: Output,
    calls: String,
}

impl Run {
    /// Runs the script over a list of this text.
    fn of(list: Option<&str>, red_result: u8) -> Run {
        let folder = TempDir::new().expect("a folder");
        let (cargo, calls) = (folder.path().join("cargo"), folder.path().join("calls"));
        fs::write(&cargo, CARGO).expect("written");
        fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).expect("executable");
        let file = folder.path().join("KNOWN-RED.txt");
        if let Some(list) = list {
            fs::write(&file, list).expect("written");
        }
        let path = std::env::var("PATH").expect("a path");
        let output = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red"))
            .arg(&file)
            .arg("--workspace")
            .env("PATH", format!("{}:{path}", folder.path().display()))
            .env("CALLS", &calls)
            .env("RED_RESULT", red_result.to_string())
            .output()
            .expect("the script runs");
        Run {
            output,
            calls: fs::read_to_string(&calls).unwrap_or_default(),
        }
    }

    fn passed(&self) -> bool {
        self.output.status.success()
    }

    fn told(&self) -> String {
        String::from_utf8_lossy(&[&self.output.stdout[..], &self.output.stderr[..]].concat())
            .into_owned()
    }
}

#[test]
fn without_a_list_all_tests_run_at_once() {
    for list in [None, Some(""), Some("\n \n")] {
        let run = Run::of(list, 1);
        assert!(run.passed(), "{}", run.told());
        assert_eq!(run.calls, "test --workspace\n");
    }
}

#[test]
fn a_listed_test_runs_apart_may_fail_and_is_told() {
    let run = Run::of(
        Some("a::fails | its command | what was seen | issue 7\n"),
        1,
    );
    assert!(
        run.passed() && run.told().contains("KNOWN-RED: a::fails fails, as listed"),
        "{}",
        run.told()
    );
    assert!(
        run.calls
            .contains("test --workspace -- --exact --skip a::fails\n"),
        "{}",
        run.calls
    );
    assert!(
        run.calls
            .ends_with("test --workspace -- --exact a::fails\n"),
        "{}",
        run.calls
    );
}

#[test]
fn a_listed_test_that_passes_is_told_so_that_its_line_goes() {
    let run = Run::of(Some("a::fails | its command | what was seen | issue 7"), 0);
    assert!(
        run.passed() && run.told().contains("a::fails passes now: its line goes"),
        "{}",
        run.told()
    );
}

#[test]
fn a_case_without_a_test_is_told_and_runs_nothing() {
    let line = "- | a bench and its seed | what was seen | issue 7";
    let run = Run::of(Some(line), 1);
    assert!(run.passed() && run.told().contains(line), "{}", run.told());
    assert_eq!(run.calls, "test --workspace\n");
}

#[test]
fn each_line_is_told_beside_the_tests() {
    let lines = "- | a bench | a loss | issue 7\na::fails | its command | a failure | issue 7\n";
    let run = Run::of(Some(lines), 1);
    assert!(run.passed(), "{}", run.told());
    for line in lines.lines() {
        assert!(run.told().contains(line), "{}", run.told());
    }
    assert!(
        run.calls
            .contains("test --workspace -- --exact --skip a::fails\n"),
        "{}",
        run.calls
    );
}

#[test]
fn a_list_that_cannot_be_honoured_fails_and_says_why() {
    for (list, told) in [
        (
            "a::gone | its command | what was seen | issue 7",
            "'a::gone' is the name of 0 tests",
        ),
        (
            "a::fail | its command | what was seen | issue 7",
            "'a::fail' is the name of 0 tests",
        ),
        (
            "b::twin | its command | what was seen | issue 7",
            "'b::twin' is the name of 2 tests",
        ),
        ("a::fails", "not of the form"),
        ("a::fails | the cause", "not of the form"),
        ("a::fails | the cause | issue 7", "not of the form"),
        ("- | the cause | issue 7", "not of the form"),
        (
            "-- | its command | what was seen | issue 7",
            "not of the form",
        ),
        (
            "--help | its command | what was seen | issue 7",
            "not of the form",
        ),
    ] {
        let run = Run::of(Some(list), 0);
        assert!(
            !run.passed() && run.told().contains(told),
            "{list}: {}",
            run.told()
        );
    }
}
