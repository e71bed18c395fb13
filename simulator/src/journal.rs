//! Reads the records that the operators' benches leave in `journal/`, and lists the runs of the
//! standing test: one row a run, one column a day. The short days have a table of their own.

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
/// What the short days are called, before their numbers.
const SHORT: &str = "+brink+mass-";
/// The one day of it that has another name.
const SOAK: &str = "soak";

/// A journal without a run.
#[derive(Debug, thiserror::Error)]
pub enum NoRuns {
    /// The folder cannot be read.
    #[error("{0}: {1}")]
    Folder(PathBuf, io::Error),
    /// Nothing in it is a run of the standing test.
    #[error("{0}: no record of the standing test's days ({1} files skipped)")]
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

/// Which days of the standing test a run played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// All of the full fleet's.
    Full,
    /// Three of them.
    Quick,
    /// The short days, with a handful of senders.
    Short,
}

impl Kind {
    /// By the days that a record has; nothing where they are others.
    fn of(days: &[Played], panel: Option<&str>) -> Option<Kind> {
        let all = |ours: fn(&Played) -> bool| !days.is_empty() && days.iter().all(ours);
        // A soak alone may be of any fleet.
        let fleet = all(|d| d.name.ends_with(DAYS) || d.name == SOAK)
            && days.iter().any(|d| d.name != SOAK);
        match (fleet, panel.is_some_and(|p| p.ends_with(":quick"))) {
            (true, true) => Some(Kind::Quick),
            (true, false) => Some(Kind::Full),
            (false, _) => all(|d| short(&d.name).is_some()).then_some(Kind::Short),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Kind::Full => "full",
            Kind::Quick => "quick",
            Kind::Short => "short",
        })
    }
}

/// A short day as tables name it, with its number; nothing for another day. One kind of day comes
/// more than once.
fn short(name: &str) -> Option<(u32, String)> {
    let (kind, number) = name.split_once(SHORT)?;
    let number = number.parse().ok()?;
    Some((number, format!("{kind}-{number}")))
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
    /// Which days were played.
    pub kind: Kind,
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
        let kind = Kind::of(&record.days, record.panel.as_deref()).ok_or(Skipped::Foreign)?;
        let figures = record.figures.unwrap_or_default();
        let name = |d: &Played| {
            short(&d.name).map_or(d.name.trim_end_matches(DAYS).to_string(), |(_, n)| n)
        };
        let days = record.days.iter().map(|d| (name(d), d.score));
        Ok(Run {
            at: record
                .at
                .into_iter()
                .next()
                .ok_or(Skipped::Unreadable("no time".into()))?,
            commit: record.head.unwrap_or_default().chars().take(7).collect(),
            why: record.why.unwrap_or_default(),
            kind,
            passed: figures.get("gate").map(|g| *g == 1.0),
            score: figures.get("real_score").copied(),
            days: days.collect(),
        })
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

/// Reads the records of a folder; files that end in anything but `.json`, and folders in it, are no
/// records.
///
/// # Errors
/// The folder cannot be read, or has no run of the standing test.
pub fn read(folder: &Path) -> Result<Journal, NoRuns> {
    let failed = |e| NoRuns::Folder(folder.to_path_buf(), e);
    let mut journal = Journal {
        runs: Vec::new(),
        skipped: BTreeMap::new(),
    };
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        files.push(entry.map_err(failed)?.path());
    }
    files.sort();
    for file in files
        .iter()
        .filter(|f| f.extension().is_some_and(|e| e == "json"))
    {
        let text = fs::read_to_string(file).map_err(|e| Skipped::Unreadable(e.to_string()));
        match text.and_then(|text| Run::of(&text)) {
            Ok(run) => journal.runs.push(run),
            Err(why) => {
                let name = file
                    .file_name()
                    .unwrap_or_default()
                    .to_string_lossy()
                    .into_owned();
                journal.skipped.entry(why).or_default().push(name);
            }
        }
    }
    if journal.runs.is_empty() {
        return Err(NoRuns::Empty(
            folder.to_path_buf(),
            journal.skipped.values().map(Vec::len).sum(),
        ));
    }
    // Times of one form and zone: their order as text is the order in time.
    journal.runs.sort_by(|a, b| a.at.cmp(&b.at));
    Ok(journal)
}

impl Journal {
    /// Columns of these runs: the full fleet's days by name, its soak, the short days by number.
    fn days<'a>(runs: &[&'a Run]) -> Vec<&'a str> {
        let named: BTreeSet<&str> = runs
            .iter()
            .flat_map(|r| r.days.keys().map(String::as_str))
            .collect();
        let mut days: Vec<&str> = named.into_iter().collect();
        let number = |d: &str| d.rsplit_once('-').and_then(|(_, n)| n.parse::<u32>().ok());
        days.sort_by_key(|d| (number(d), *d == SOAK, *d));
        days
    }

    fn rows(runs: &[&Run]) -> Vec<Vec<String>> {
        let days = Self::days(runs);
        let head = ["begun", "commit", "change", "run", "gate", "score"]
            .into_iter()
            .chain(days.iter().copied());
        let mut rows = vec![head.map(String::from).collect::<Vec<_>>()];
        let figure = |f: Option<f64>, digits| f.map_or("-".into(), |f| format!("{f:.digits$}"));
        for run in runs {
            let mut row = vec![run.at.clone(), run.commit.clone(), run.why.clone()];
            row.extend([
                run.kind.to_string(),
                run.gate().into(),
                figure(run.score, 3),
            ]);
            row.extend(
                days.iter()
                    .map(|d| figure(run.days.get(*d).copied().flatten(), 2)),
            );
            rows.push(row);
        }
        rows
    }

    /// Tables in Markdown: the full fleet's runs, then those of the short days; without a table
    /// where there is no run.
    pub fn markdown(&self) -> String {
        let line = |cells: &[String]| {
            let cells: Vec<String> = cells
                .iter()
                .map(|c| c.replace('|', "\\|").replace('\n', " "))
                .collect();
            format!("| {} |\n", cells.join(" | "))
        };
        let table = |runs: Vec<&Run>| {
            let rows = Self::rows(&runs);
            let rule = format!("|{}\n", " --- |".repeat(rows[0].len()));
            let lines = rows
                .iter()
                .enumerate()
                .map(|(n, r)| line(r) + if n == 0 { &rule } else { "" });
            (!runs.is_empty()).then(|| lines.collect::<String>())
        };
        let (short, fleet) = self.runs.iter().partition(|r| r.kind == Kind::Short);
        [fleet, short]
            .into_iter()
            .filter_map(table)
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// All runs in one table, as CSV.
    ///
    /// # Errors
    /// None is known: it is written to memory.
    pub fn csv(&self) -> Result<String, csv::Error> {
        let mut csv = csv::Writer::from_writer(Vec::new());
        for row in Self::rows(&self.runs.iter().collect::<Vec<_>>()) {
            csv.write_record(row)?;
        }
        let bytes = csv.into_inner().map_err(|e| e.into_error())?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}
