//! The days of an experiment that were played, kept in a file as they end, so that one that was
//! interrupted goes on.
//!
//! The first line says which experiment it is, each further one holds a day. At the end the lines
//! are put in order, so that the file is the same whatever number of cores played it and however
//! often it was interrupted.

use crate::plan::{Cell, Experiment};
use crate::run::Played;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use toml::Value;

/// The file in an experiment's folder.
const NAME: &str = "days.jsonl";

/// Days that could not be kept, or not be read again.
#[derive(Debug, thiserror::Error)]
pub enum NotKept {
    /// A file.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// There are days already.
    #[error("{0}: holds days of an earlier run; --resume goes on with it, or name another folder")]
    There(PathBuf),
    /// They are of something else.
    #[error("{0}: holds days of another experiment, or of one that was changed since; name another folder")]
    Other(PathBuf),
    /// A line in the middle is damaged.
    #[error("{0}: line {1}: {2}")]
    Line(PathBuf, usize, serde_json::Error),
    /// Some days are missing.
    #[error("{0}: {1} of {2} days are there; --resume plays the others")]
    Missing(PathBuf, usize, usize),
}

/// The first line.
#[derive(PartialEq, Serialize, Deserialize)]
struct Head {
    experiment: Experiment,
    /// The day as its file had it.
    day: serde_json::Value,
}

/// Any other.
#[derive(Serialize, Deserialize)]
struct Line {
    cell: usize,
    seed: u64,
    values: Vec<String>,
    day: Played,
}

/// The days that are there.
pub struct Done {
    path: PathBuf,
    head: Head,
    file: File,
    days: BTreeMap<(usize, u64), (Vec<String>, Played)>,
}

impl Done {
    /// Opens the file of an experiment in a folder, or makes it. What is there counts only if this
    /// is to resume.
    pub fn open(
        folder: &Path,
        plan: &Experiment,
        base: &Value,
        resume: bool,
    ) -> Result<Done, NotKept> {
        let path = folder.join(NAME);
        let failed = |e| NotKept::File(path.clone(), e);
        fs::create_dir_all(folder).map_err(failed)?;
        let day = serde_json::to_value(base).expect("a day's values have a form");
        let head = Head {
            experiment: plan.clone(),
            day,
        };
        let mut days = BTreeMap::new();
        if path.exists() {
            if !resume {
                return Err(NotKept::There(path));
            }
            let (was, read) = read(&path)?;
            // Nothing is lost with a first line that was not finished.
            if let Some(was) = was {
                if was != head {
                    return Err(NotKept::Other(path));
                }
                days = read;
            }
        }
        let mut done = Done {
            file: File::open(folder).map_err(failed)?,
            path,
            head,
            days,
        };
        // What an interruption left of a line goes.
        done.rewrite()?;
        let file = OpenOptions::new().append(true).open(&done.path);
        done.file = file.map_err(|e| NotKept::File(done.path.clone(), e))?;
        Ok(done)
    }

    /// Reads what there is, and which experiment it is of.
    pub fn cells(folder: &Path) -> Result<(Experiment, Vec<Cell>), NotKept> {
        let path = folder.join(NAME);
        let (head, days) = read(&path)?;
        let head = head.ok_or_else(|| NotKept::Missing(path.clone(), 0, 1))?;
        let cells = gather(&path, &head.experiment, days)?;
        Ok((head.experiment, cells))
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.days.len()
    }

    /// Whether this one is there.
    pub fn has(&self, at: (usize, u64)) -> bool {
        self.days.contains_key(&at)
    }

    /// A day has ended.
    pub fn keep(
        &mut self,
        at: (usize, u64),
        values: &[String],
        played: Played,
    ) -> Result<(), NotKept> {
        let text = line(at, values, &played) + "\n";
        self.file
            .write_all(text.as_bytes())
            .map_err(|e| NotKept::File(self.path.clone(), e))?;
        self.days.insert(at, (values.to_vec(), played));
        Ok(())
    }

    /// All days were played: the file is put in order.
    pub fn finish(mut self) -> Result<Vec<Cell>, NotKept> {
        self.rewrite()?;
        gather(&self.path, &self.head.experiment, self.days)
    }

    fn rewrite(&mut self) -> Result<(), NotKept> {
        let failed = |e| NotKept::File(self.path.clone(), e);
        let mut text = serde_json::to_string(&self.head).expect("an experiment has a form") + "\n";
        for (at, (values, played)) in &self.days {
            text += &line(*at, values, played);
            text.push('\n');
        }
        let aside = self.path.with_extension("new");
        let mut file = File::create(&aside).map_err(failed)?;
        file.write_all(text.as_bytes())
            .and_then(|()| file.sync_all())
            .map_err(failed)?;
        fs::rename(&aside, &self.path).map_err(failed)
    }
}

fn line((cell, seed): (usize, u64), values: &[String], played: &Played) -> String {
    let line = Line {
        cell,
        seed,
        values: values.to_vec(),
        day: played.clone(),
    };
    serde_json::to_string(&line).expect("a day has a form")
}

type Days = BTreeMap<(usize, u64), (Vec<String>, Played)>;

/// What is whole in a file. Only its end may be unfinished.
fn read(path: &Path) -> Result<(Option<Head>, Days), NotKept> {
    let text = fs::read_to_string(path).map_err(|e| NotKept::File(path.to_path_buf(), e))?;
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let mut lines = whole.lines().enumerate();
    let bad = |n: usize, e| NotKept::Line(path.to_path_buf(), n + 1, e);
    let Some((n, first)) = lines.next() else {
        return Ok((None, Days::new()));
    };
    let head: Head = serde_json::from_str(first).map_err(|e| bad(n, e))?;
    let mut days = Days::new();
    for (n, text) in lines {
        let Line {
            cell,
            seed,
            values,
            day,
        } = serde_json::from_str(text).map_err(|e| bad(n, e))?;
        days.insert((cell, seed), (values, day));
    }
    Ok((Some(head), days))
}

fn gather(path: &Path, plan: &Experiment, days: Days) -> Result<Vec<Cell>, NotKept> {
    let count: usize = plan.factors.iter().map(|f| f.values.len()).product();
    let all = count * plan.seeds as usize;
    if days.len() != all {
        return Err(NotKept::Missing(path.to_path_buf(), days.len(), all));
    }
    let mut cells: Vec<Cell> = Vec::new();
    for ((cell, _), (values, played)) in days {
        if cells.len() <= cell {
            cells.push(Cell {
                values,
                played: Vec::new(),
            });
        }
        cells[cell].played.push(played);
    }
    Ok(cells)
}
