//! Reads the records that the operators' benches leave in `journal/`, and lists the runs of the standing test: one row a run,
//! one column a day.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::{fmt, fs, io};

/// Form of the records that this reader knows.
const VERSION: u64 = 1;
/// What a record of a score on real senders says of its command.
const SCORE: &str = "real-score";
/// What the days of the full fleet are called.
const DAYS: &str = "+mass";
/// The one day of it that has another name.
const SOAK: &str = "soak";

/// A journal without a run.
#[derive(Debug, thiserror::Error)]
pub enum NoRuns {
    /// The folder cannot be read.
    #[error("{0}: {1}")]
    Folder(PathBuf, io::Error),
    /// Nothing in it is a run of the standing test.
    #[error("{0}: no record of the full fleet's days ({1} files skipped)")]
    Empty(PathBuf, usize),
}

/// Why a file is no run of the standing test.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Skipped {
    /// It cannot be read, or holds no record.
    Unreadable(String),
    /// Its form is not the one known here.
    Version(u64),
    /// It is of another bench, of single days or of other days.
    Foreign,
}

impl fmt::Display for Skipped {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Skipped::Unreadable(why) => write!(f, "not readable: {why}"),
            Skipped::Version(v) => write!(f, "a record of version {v}, not {VERSION}"),
            Skipped::Foreign => write!(f, "of another bench, or of single days"),
        }
    }
}

/// What a record holds, as far as it is used.
#[derive(Deserialize)]
struct Record {
    at: Vec<String>,
    #[serde(default)]
    why: Option<String>,
    #[serde(default)]
    head: Option<String>,
    #[serde(default)]
    panel: Option<String>,
    #[serde(default)]
    figures: Option<BTreeMap<String, f64>>,
    #[serde(default)]
    days: Vec<Played>,
}

#[derive(Deserialize)]
struct Played {
    name: String,
    #[serde(default)]
    score: Option<f64>,
}

/// A run of the standing test.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// When it began, as the record has it.
    pub at: String,
    /// The commit that it was made on, shortened.
    pub commit: String,
    /// What had changed, in the words of `--why`.
    pub why: String,
    /// Three of the days only.
    pub quick: bool,
    /// Whether the gate was passed; nothing where the record does not say.
    pub passed: Option<bool>,
    /// The score of the whole, where one was given.
    pub score: Option<f64>,
    /// Score by day, the suffix left out; nothing for a day without one.
    pub days: BTreeMap<String, Option<f64>>,
}

impl Run {
    fn of(text: &str) -> Result<Run, Skipped> {
        let unreadable = |e: serde_json::Error| Skipped::Unreadable(e.to_string());
        let whole: serde_json::Value = serde_json::from_str(text).map_err(unreadable)?;
        match whole["v"].as_u64() {
            Some(VERSION) => {}
            Some(other) => return Err(Skipped::Version(other)),
            None => return Err(Skipped::Unreadable("no version".into())),
        }
        if whole["cmd"] != SCORE {
            return Err(Skipped::Foreign);
        }
        let record: Record = serde_json::from_value(whole).map_err(unreadable)?;
        let ours = |d: &Played| d.name.ends_with(DAYS) || d.name == SOAK;
        // A soak alone may be of any fleet.
        if !record.days.iter().all(ours) || !record.days.iter().any(|d| d.name.ends_with(DAYS)) {
            return Err(Skipped::Foreign);
        }
        let figures = record.figures.unwrap_or_default();
        let days = record.days.iter().map(|d| (d.name.trim_end_matches(DAYS).to_string(), d.score));
        Ok(Run {
            at: record.at.into_iter().next().ok_or(Skipped::Unreadable("no time".into()))?,
            commit: record.head.unwrap_or_default().chars().take(7).collect(),
            why: record.why.unwrap_or_default(),
            quick: record.panel.is_some_and(|p| p.ends_with(":quick")),
            passed: figures.get("gate").map(|g| *g == 1.0),
            score: figures.get("real_score").copied(),
            days: days.collect(),
        })
    }

    fn kind(&self) -> &'static str {
        if self.quick {
            "quick"
        } else {
            "full"
        }
    }

    fn gate(&self) -> &'static str {
        match self.passed {
            Some(true) => "passed",
            Some(false) => "FAILED",
            None => "not told",
        }
    }
}

/// What a journal holds.
#[derive(Debug)]
pub struct Journal {
    /// The runs, the oldest first.
    pub runs: Vec<Run>,
    /// What else is there, by reason.
    pub skipped: BTreeMap<Skipped, Vec<String>>,
}

/// Reads the records of a folder; files that end in anything but `.json`, and folders in it, are no records.
///
/// # Errors
/// The folder cannot be read, or has no run of the standing test.
pub fn read(folder: &Path) -> Result<Journal, NoRuns> {
    let failed = |e| NoRuns::Folder(folder.to_path_buf(), e);
    let mut journal = Journal { runs: Vec::new(), skipped: BTreeMap::new() };
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        files.push(entry.map_err(failed)?.path());
    }
    files.sort();
    for file in files.iter().filter(|f| f.extension().is_some_and(|e| e == "json")) {
        let text = fs::read_to_string(file).map_err(|e| Skipped::Unreadable(e.to_string()));
        match text.and_then(|text| Run::of(&text)) {
            Ok(run) => journal.runs.push(run),
            Err(why) => {
                let name = file.file_name().unwrap_or_default().to_string_lossy().into_owned();
                journal.skipped.entry(why).or_default().push(name);
            }
        }
    }
    if journal.runs.is_empty() {
        return Err(NoRuns::Empty(folder.to_path_buf(), journal.skipped.values().map(Vec::len).sum()));
    }
    // Times of one form and zone: their order as text is the order in time.
    journal.runs.sort_by(|a, b| a.at.cmp(&b.at));
    Ok(journal)
}

impl Journal {
    fn days(&self) -> Vec<&str> {
        let named: BTreeSet<&str> =
            self.runs.iter().flat_map(|r| r.days.keys().map(String::as_str)).collect();
        let mut days: Vec<&str> = named.into_iter().collect();
        // The soak is the last of a full run.
        days.sort_by_key(|d| (*d == SOAK, *d));
        days
    }

    fn rows(&self) -> Vec<Vec<String>> {
        let days = self.days();
        let head =
            ["begun", "commit", "change", "run", "gate", "score"].into_iter().chain(days.iter().copied());
        let mut rows = vec![head.map(String::from).collect::<Vec<_>>()];
        let figure = |f: Option<f64>, digits| f.map_or("-".into(), |f| format!("{f:.digits$}"));
        for run in &self.runs {
            let mut row = vec![run.at.clone(), run.commit.clone(), run.why.clone()];
            row.extend([run.kind().into(), run.gate().into(), figure(run.score, 3)]);
            row.extend(days.iter().map(|d| figure(run.days.get(*d).copied().flatten(), 2)));
            rows.push(row);
        }
        rows
    }

    /// A table in Markdown.
    pub fn markdown(&self) -> String {
        let rows = self.rows();
        let line = |cells: &[String]| {
            let cells: Vec<String> = cells.iter().map(|c| c.replace('|', "\\|").replace('\n', " ")).collect();
            format!("| {} |\n", cells.join(" | "))
        };
        let rule = format!("|{}\n", " --- |".repeat(rows[0].len()));
        rows.iter().enumerate().map(|(n, r)| line(r) + if n == 0 { &rule } else { "" }).collect()
    }

    /// The same as CSV.
    ///
    /// # Errors
    /// None is known: it is written to memory.
    pub fn csv(&self) -> Result<String, csv::Error> {
        let mut csv = csv::Writer::from_writer(Vec::new());
        for row in self.rows() {
            csv.write_record(row)?;
        }
        let bytes = csv.into_inner().map_err(|e| e.into_error())?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}
