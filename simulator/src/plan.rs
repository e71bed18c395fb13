//! What an experiment is, as its file says it, and what came of it: one day's file, some factors,
//! so many seeds.

use crate::day::{Bad, Day};
use crate::run::Played;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use toml::Value;

/// An experiment, as its file says it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What it is called.
    pub name: String,
    /// What it is to show, for the report.
    #[serde(default)]
    pub about: String,
    /// The day's file, from where this one lies.
    pub day: PathBuf,
    /// Seeds, from 1 on.
    pub seeds: u64,
    /// What is changed.
    #[serde(default)]
    pub factors: Vec<Factor>,
}

/// Something that is changed, and what it is set to; the first is what the others are compared
/// with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Factor {
    /// The setting in the day's file, as a path: `clients.load`, `partners.0.rate`.
    pub set: String,
    /// Its values; the word `unset` leaves it out.
    pub values: Vec<Value>,
    /// What reports call them, where the values do not say enough; one for each, or none.
    #[serde(default)]
    pub names: Vec<String>,
}

impl Factor {
    /// What its values are called, in their order.
    pub fn called(&self) -> Vec<String> {
        let plain = self.values.iter().map(|value| match value {
            Value::String(s) => s.clone(),
            other => other.to_string(),
        });
        if self.names.is_empty() {
            plain.collect()
        } else {
            self.names.clone()
        }
    }
}

/// One combination of values.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// The values, in the order of the factors.
    pub values: Vec<String>,
    /// What came of it, by seed.
    pub played: Vec<Played>,
}

/// A mean with the half width of its interval of 95%.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// It lies in the mean plus or minus this, at 95%.
    pub half: f64,
}

impl Mean {
    /// Of some values, by Student's t.
    pub fn of(values: &[f64]) -> Mean {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n.max(1.0);
        if values.len() < 2 {
            return Mean {
                mean,
                half: f64::INFINITY,
            };
        }
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let t = statrs::distribution::StudentsT::new(0.0, 1.0, n - 1.0)
            .map(|d| statrs::distribution::ContinuousCDF::inverse_cdf(&d, 0.975))
            .unwrap_or(f64::INFINITY);
        Mean {
            mean,
            half: t * (variance / n).sqrt(),
        }
    }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.3} +- {:.3}", self.mean, self.half)
    }
}

/// Reads a figure off a day.
pub type Figure = fn(&Played) -> f64;

/// The figures of a day that are compared.
pub const FIGURES: [(&str, Figure); 7] = [
    ("score", |p| p.sum.score),
    ("service", |p| p.sum.service),
    ("worst", |p| p.sum.worst),
    ("calls_each", |p| p.sum.calls_each),
    ("age_p50_s", |p| p.sum.ages[0]),
    ("age_p99_s", |p| p.sum.ages[2]),
    ("toppled", |p| {
        p.sum.counts.get("toppled").copied().unwrap_or(0) as f64
    }),
];

impl Cell {
    /// A figure, over its seeds.
    pub fn mean(&self, figure: fn(&Played) -> f64) -> Mean {
        Mean::of(&self.played.iter().map(figure).collect::<Vec<_>>())
    }

    /// The difference of a figure to another cell's, seed by seed.
    pub fn against(&self, other: &Cell, figure: fn(&Played) -> f64) -> Mean {
        let pairs = self.played.iter().zip(&other.played);
        Mean::of(
            &pairs
                .map(|(a, b)| figure(a) - figure(b))
                .collect::<Vec<_>>(),
        )
    }
}

impl Experiment {
    /// Reads an experiment's file.
    pub fn read(file: &Path) -> Result<(Experiment, Value), Bad> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| Bad::File(name.clone(), e))?;
        let mut plan: Experiment = toml::from_str(&text).map_err(|e| Bad::Form(name, e))?;
        plan.day = file.parent().unwrap_or(Path::new(".")).join(&plan.day);
        let bad = |setting: &str, what: &str| Bad::Setting {
            setting: setting.into(),
            what: what.into(),
        };
        if plan.seeds == 0 {
            return Err(bad("seeds", "0 play nothing; 1 at least"));
        }
        if let Some(empty) = plan.factors.iter().find(|f| f.values.is_empty()) {
            return Err(bad(&empty.set, "it has no values"));
        }
        let odd = plan
            .factors
            .iter()
            .find(|f| !f.names.is_empty() && f.names.len() != f.values.len());
        if let Some(odd) = odd {
            return Err(bad(&odd.set, "it has not as many names as values"));
        }
        let day = plan.day.display().to_string();
        let text = std::fs::read_to_string(&plan.day).map_err(|e| Bad::File(day.clone(), e))?;
        let base = toml::from_str(&text).map_err(|e| Bad::Form(day, e))?;
        Ok((plan, base))
    }

    /// All combinations of values, the first first, and their days.
    pub fn cells(&self, base: &Value) -> Result<Vec<(Vec<String>, Day)>, Bad> {
        let mut cells = vec![(Vec::new(), base.clone())];
        for factor in &self.factors {
            let mut more = Vec::new();
            for (values, day) in &cells {
                for (value, called) in factor.values.iter().zip(factor.called()) {
                    let mut day = day.clone();
                    let bad = |what: String| Bad::Setting {
                        setting: factor.set.clone(),
                        what,
                    };
                    set(&mut day, &factor.set, value).map_err(bad)?;
                    let mut values = values.clone();
                    values.push(called);
                    more.push((values, day));
                }
            }
            cells = more;
        }
        cells
            .into_iter()
            .map(|(values, day)| {
                let name = format!("{} with {}", self.day.display(), values.join(", "));
                let text = toml::to_string(&day).expect("a day's values");
                Ok((values, Day::parse(&name, &text)?))
            })
            .collect()
    }
}

/// Sets a value at a path; numbers in it count the items of a list. Fails where there is no such
/// path.
pub fn set(day: &mut Value, path: &str, value: &Value) -> Result<(), String> {
    let (before, last) = path.rsplit_once('.').unwrap_or(("", path));
    let mut at = day;
    for step in before.split('.').filter(|s| !s.is_empty()) {
        at = match at {
            Value::Array(items) => step.parse::<usize>().ok().and_then(|n| items.get_mut(n)),
            Value::Table(table) => table.get_mut(step),
            _ => None,
        }
        .ok_or_else(|| format!("the day has no '{step}' there"))?;
    }
    match at {
        Value::Table(table) if *value == Value::String("unset".into()) => drop(table.remove(last)),
        Value::Table(table) => drop(table.insert(last.into(), value.clone())),
        Value::Array(items) => {
            let item = last.parse::<usize>().ok().and_then(|n| items.get_mut(n));
            *item.ok_or_else(|| format!("the day has no '{last}' there"))? = value.clone();
        }
        _ => return Err(format!("'{before}' is a value and holds none")),
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_mean_has_the_interval_that_tables_give() {
        let mean = Mean::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
        assert_eq!(mean.mean, 3.0);
        // t of 4 degrees is 2.776; the standard error is sqrt(2.5 / 5).
        assert!((mean.half - 2.776 * 0.5f64.sqrt()).abs() < 1e-3, "{mean:?}");
        assert!(
            Mean::of(&[1.0]).half.is_infinite(),
            "one run says nothing of its spread"
        );
    }

    #[test]
    fn a_path_reaches_into_tables_and_lists() {
        let mut day: Value =
            toml::from_str("a = 1\n[[b]]\nc = 2\n[[b]]\nc = 3\n").expect("a table");
        set(&mut day, "b.1.c", &Value::Integer(9)).expect("set");
        set(&mut day, "a", &Value::String("unset".into())).expect("left out");
        assert_eq!(day.to_string().replace(' ', ""), "{b=[{c=2},{c=9}]}");
        assert!(set(&mut day, "b.7.c", &Value::Integer(9)).is_err());
        assert!(set(&mut day, "x.y", &Value::Integer(9)).is_err());
    }
}
