//! The command line with its tools, as a shell sees it: what is printed where, and how it ends.

#![cfg(feature = "tools")]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn raildeal(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_raildeal"))
        .args(args)
        .env_remove("NODE_CONFIG")
        .output()
        .expect("it runs")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn deploy() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
    let files = std::fs::read_dir(folder)
        .expect("a folder")
        .map(|f| f.expect("an entry").path());
    // The platform's own file says how the program is built, as does its twin for counts; keepers
    // and agents have theirs, which tests of their own read: they are of other forms.
    let others = ["balancer.toml", "trace.toml", "keeper.toml", "fleet.toml"];
    let platforms = |f: &PathBuf| others.iter().any(|o| f.ends_with(o));
    let operators = |f: &PathBuf| f.extension().is_some_and(|e| e == "toml") && !platforms(f);
    files.filter(operators).collect()
}

fn written(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("written");
    file
}

#[test]
fn all_that_is_wrong_with_a_file_is_told_at_once() {
    let file = written(
        "name = 5\nstate = \"/tmp/x\"\ncolour = \"red\"\n[limits]\nsockets = \"many\"\n[door]\nper_adress = 3\nreserve = -1\n\
         [settings]\n",
    );
    let told = raildeal(&["check", &file.path().display().to_string()]);
    assert_eq!(told.status.code(), Some(1));
    let text = out(&told);
    for setting in [
        "colour",
        "name: 5",
        "limits.sockets",
        "door.reserve",
        "per_adress",
    ] {
        assert!(text.contains(setting), "{setting}:\n{text}");
    }
    // Well formed, and wrong in five ways.
    let file = written(
        "name = \"n\"\nstate = \"/tmp/x\"\n[limits]\nsockets = 4\n[door]\nreserve = 2\nper_address = 0\ntarget_ms = 0\n[settings]\n",
    );
    let told = raildeal(&["check", &file.path().display().to_string()]);
    let text = out(&told);
    assert_eq!(
        (told.status.code(), text.lines().count()),
        (Some(1), 6),
        "{text}"
    );
    for setting in [
        "platform, mqtt: neither",
        "platform, provider, dns: one of them",
        "limits.sockets: 4",
        "door.per_address: 0",
        "door.target_ms: 0",
        "door.reserve: nobody is known",
    ] {
        assert!(text.contains(setting), "{setting}:\n{text}");
    }
    assert_eq!(
        raildeal(&["check", "/nowhere/file.toml"]).status.code(),
        Some(2),
        "it could not be looked at"
    );
}

#[test]
fn example_files_are_of_the_schema_and_have_no_fault_but_files_of_other_machines() {
    let schema = raildeal(&["schema"]);
    assert_eq!(schema.status.code(), Some(0));
    let schema = serde_json::from_str(&out(&schema)).expect("JSON");
    let validator = jsonschema::validator_for(&schema).expect("a schema");
    let files = deploy();
    assert!(files.len() >= 4, "{files:?}");
    for file in files {
        let text = std::fs::read_to_string(&file).expect("text");
        let value = serde_json::to_value(toml::from_str::<toml::Table>(&text).expect("TOML"))
            .expect("values");
        let faults: Vec<String> = validator
            .iter_errors(&value)
            .map(|e| e.to_string())
            .collect();
        assert!(faults.is_empty(), "{}: {faults:?}", file.display());
        let told = out(&raildeal(&["check", &file.display().to_string()]));
        let other = told.lines().find(|l| !l.contains("No such file"));
        assert_eq!(other, None, "{}", file.display());
    }
    // A schema that takes all would be none.
    assert!(!validator.is_valid(
        &serde_json::json!({ "name": "n", "state": "s", "settings": {}, "colour": "red" })
    ));
}

#[test]
fn what_is_asked_for_is_printed_and_nothing_else() {
    for (args, holds) in [
        (&["completions", "bash"][..], "_raildeal"),
        (&["man"], ".TH raildeal"),
        (&["--version"], env!("CARGO_PKG_VERSION")),
        (&["help"], "journal"),
    ] {
        let told = raildeal(args);
        assert_eq!(
            (told.status.code(), told.stderr.len()),
            (Some(0), 0),
            "{args:?}"
        );
        assert!(out(&told).contains(holds), "{args:?}");
    }
    for args in [
        &["check"][..],
        &["--colour"],
        &["journal", "verify", "/nowhere"],
    ] {
        let told = raildeal(args);
        assert_eq!(
            (told.status.code(), told.stdout.len()),
            (Some(2), 0),
            "{args:?}"
        );
        assert!(!told.stderr.is_empty(), "{args:?}");
    }
    // Serving by name is what a bare start is: without a configuration both say so and end with 1.
    for args in [&["serve"][..], &[]] {
        let told = raildeal(args);
        assert_eq!(told.status.code(), Some(1), "{args:?}");
        assert!(
            String::from_utf8_lossy(&told.stderr).contains("NODE_CONFIG: not set"),
            "{args:?}"
        );
    }
}

/// The example of the operators' page.
#[cfg(feature = "fleet")]
fn example_table() -> String {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/docs/tables.md"))
        .expect("the page");
    let (_, rest) = page.split_once("```toml\n").expect("an example");
    rest.split_once("```").expect("its end").0.into()
}

#[cfg(feature = "fleet")]
#[test]
fn a_table_is_checked_compared_and_refused_without_a_keeper() {
    let table = |args: &[&str]| raildeal(&[&["fleet", "table"], args].concat());
    let (good, bad) = (
        written(&example_table()),
        written("[site.n]\nzones = []\n[[route]]\ndest = [3]\n"),
    );
    let [good, bad] = [&good, &bad].map(|f| f.path().display().to_string());
    let checked = table(&["check", &good]);
    assert!(
        checked.status.success() && out(&checked).starts_with("no faults; print "),
        "{}",
        out(&checked)
    );
    // What is wrong with its text is told before any keeper is asked.
    for args in [vec!["check", &bad], vec!["propose", &bad]] {
        let told = table(&args);
        let faults: Vec<String> = out(&told)
            .lines()
            .map(|l| l.replace(&bad, "FILE"))
            .collect();
        assert_eq!(told.status.code(), Some(1));
        assert_eq!(faults.len(), 3, "{faults:#?}");
        for fault in [
            "line 2: site.n.zones: length",
            "line 4: route[0].dest: unknown",
            "route[0].tiers: are none",
        ] {
            assert!(
                faults
                    .iter()
                    .any(|f| f.starts_with("refused: FILE: line") && f.contains(fault)),
                "{faults:#?}"
            );
        }
    }
    let other = written(&example_table().replace("nobody = true", "tiers = [{ south = 1 }]"));
    let diff = table(&["diff", &good, &other.path().display().to_string()]);
    assert_eq!(
        out(&diff),
        "route for destinations 9: \"nobody\" -> [{\"south\":1}]\n"
    );
    let none = table(&["diff", &good, "0", "--json"]);
    assert_eq!(
        out(&none).matches("\"setting\"").count(),
        6,
        "{}",
        out(&none)
    );
    // The schema takes the example, and not what is misspelt.
    let schema = serde_json::from_str(&out(&table(&["schema"]))).expect("JSON");
    let validator = jsonschema::validator_for(&schema).expect("a schema");
    let value = |text: &str| {
        serde_json::to_value(text.parse::<toml::Table>().expect("TOML")).expect("a value")
    };
    assert!(validator.is_valid(&value(&example_table())));
    assert!(!validator.is_valid(&value(&example_table().replace("dests", "dest"))));
}
