//! What an experiment came to: lines of JSON, a table of commas, and a page that holds all it
//! needs.

use crate::plan::{Cell, Experiment, Mean, FIGURES};
use crate::plot::{Line, NoPlot, Plot};
use crate::run::Played;
use crate::tally::Second;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::Path;

/// Cells that have a line of their own in plots.
const LINES: usize = 7;

/// A report that could not be written.
#[derive(Debug, thiserror::Error)]
pub enum NoReport {
    /// A file.
    #[error("{0}")]
    File(#[from] io::Error),
    /// A table.
    #[error("{0}")]
    Table(#[from] csv::Error),
    /// A plot.
    #[error("{0}")]
    Plot(#[from] NoPlot),
}

/// Writes `cells.csv`, `report.html` and, if asked for, the plots as PNG to a folder.
pub fn write(to: &Path, plan: &Experiment, cells: &[Cell], png: bool) -> Result<(), NoReport> {
    fs::create_dir_all(to)?;
    table(&to.join("cells.csv"), plan, cells)?;
    let plots = plots(plan, cells);
    let mut page = head(plan, cells);
    for (name, plot) in plots.iter().map(|p| (&p.0, p.1.as_plot())) {
        page.push_str(&plot.svg()?);
        if png {
            plot.png(&to.join(format!("{name}.png")))?;
        }
    }
    page.push_str("</body></html>\n");
    fs::write(to.join("report.html"), page)?;
    Ok(())
}

/// Difference of a cell, seed by seed, to the one with the first value of the first factor and all
/// others the same; nothing for such a one itself.
pub fn against(cells: &[Cell], n: usize, figure: fn(&Played) -> f64) -> Option<Mean> {
    let others = |c: &Cell| c.values.get(1..).unwrap_or_default().to_vec();
    let first = cells.iter().position(|c| others(c) == others(&cells[n]))?;
    (n != first).then(|| cells[n].against(&cells[first], figure))
}

fn table(file: &Path, plan: &Experiment, cells: &[Cell]) -> Result<(), NoReport> {
    let mut csv = csv::Writer::from_path(file)?;
    let mut head: Vec<String> = plan.factors.iter().map(|f| f.set.clone()).collect();
    for (name, _) in FIGURES {
        head.extend([
            name.into(),
            format!("{name}_half"),
            format!("{name}_diff"),
            format!("{name}_diff_half"),
        ]);
    }
    head.push("rules_broken".into());
    csv.write_record(&head)?;
    for (n, cell) in cells.iter().enumerate() {
        let mut row = cell.values.clone();
        for (_, figure) in FIGURES {
            let mean = cell.mean(figure);
            let diff = against(cells, n, figure);
            row.extend([mean.mean.to_string(), mean.half.to_string()]);
            row.extend(diff.map_or([String::new(), String::new()], |d| {
                [d.mean.to_string(), d.half.to_string()]
            }));
        }
        row.push(
            cell.played
                .iter()
                .map(|p| p.broken.values().sum::<u64>())
                .sum::<u64>()
                .to_string(),
        );
        csv.write_record(&row)?;
    }
    csv.flush()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn head(plan: &Experiment, cells: &[Cell]) -> String {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:14px sans-serif;\
         max-width:900px;margin:2em auto}}table{{border-collapse:collapse}}td,th{{border:1px solid #ccc;padding:3px 8px;\
         text-align:right}}.sure{{font-weight:bold}}</style></head><body><h1>{0}</h1><p>{1}</p><p>{2} seeds of {3} for each \
         line. Means with intervals of 95%; differences are to the first value of the first factor with all else the \
         same, seed by seed, bold where zero lies outside.</p><table><tr>",
        escape(&plan.name),
        escape(&plan.about),
        plan.seeds,
        escape(&plan.day.display().to_string())
    );
    let names = plan
        .factors
        .iter()
        .map(|f| f.set.as_str())
        .chain(FIGURES.iter().map(|f| f.0));
    names.for_each(|name| page.push_str(&format!("<th>{}</th>", escape(name))));
    page.push_str("<th>rules broken</th></tr>");
    for (n, cell) in cells.iter().enumerate() {
        page.push_str("<tr>");
        cell.values
            .iter()
            .for_each(|v| page.push_str(&format!("<td>{}</td>", escape(v))));
        for (_, figure) in FIGURES {
            let _ = write!(page, "<td>{}", cell.mean(figure));
            if let Some(diff) = against(cells, n, figure) {
                let class = if diff.mean.abs() > diff.half {
                    " class=\"sure\""
                } else {
                    ""
                };
                let _ = write!(
                    page,
                    "<br><span{class}>{:+.3} +- {:.3}</span>",
                    diff.mean, diff.half
                );
            }
            page.push_str("</td>");
        }
        let broken: u64 = cell.played.iter().flat_map(|p| p.broken.values()).sum();
        let _ = write!(page, "<td>{broken}</td></tr>");
    }
    page.push_str("</table>");
    page
}

/// A plot that owns what it shows.
enum Owned {
    Lines {
        title: String,
        axes: (&'static str, &'static str),
        lines: Vec<Line>,
        shaded: Vec<(f64, f64)>,
    },
    Heat {
        title: String,
        axes: (String, String),
        columns: Vec<String>,
        rows: Vec<String>,
        values: Values,
    },
}

type Values = Box<dyn Fn(usize, usize) -> f64>;

impl Owned {
    fn as_plot(&self) -> Plot<'_> {
        match self {
            Owned::Lines {
                title,
                axes,
                lines,
                shaded,
            } => Plot::Lines {
                title,
                axes: *axes,
                lines,
                shaded,
            },
            Owned::Heat {
                title,
                axes,
                columns,
                rows,
                values,
            } => Plot::Heat {
                title,
                axes: (&axes.0, &axes.1),
                columns,
                rows,
                values,
            },
        }
    }
}

/// A figure of each second, over the seeds of a cell.
fn over_time(cell: &Cell, figure: impl Fn(&Second) -> (f64, f64)) -> Vec<(f64, f64)> {
    let long = cell
        .played
        .iter()
        .map(|p| p.seconds.len())
        .max()
        .unwrap_or(0);
    let at = |n: usize| {
        let seconds = cell
            .played
            .iter()
            .filter_map(|p| p.seconds.get(n))
            .map(&figure);
        let (sum, of) = seconds.fold((0.0, 0.0), |s, (a, b)| (s.0 + a, s.1 + b));
        (n as f64, sum / of)
    };
    (0..long).map(at).collect()
}

fn plots(plan: &Experiment, cells: &[Cell]) -> Vec<(String, Owned)> {
    // The first factor is the lines of a plot; each combination of the others has plots of its own.
    let mut groups: Vec<(&[String], Vec<&Cell>)> = Vec::new();
    for cell in cells {
        let others = cell.values.get(1..).unwrap_or_default();
        match groups.iter_mut().find(|(of, _)| *of == others) {
            Some((_, group)) => group.push(cell),
            None => groups.push((others, vec![cell])),
        }
    }
    let mut plots = Vec::new();
    for (n, (others, group)) in groups.iter().enumerate() {
        let of = |what: &str| {
            if others.is_empty() {
                what.into()
            } else {
                format!("{what}: {}", others.join(", "))
            }
        };
        let lines = |figure: &dyn Fn(&Second) -> (f64, f64)| -> Vec<Line> {
            let name = |c: &Cell| c.values.first().cloned().unwrap_or_else(|| "all".into());
            group
                .iter()
                .take(LINES)
                .map(|c| Line {
                    name: name(c),
                    points: over_time(c, figure),
                })
                .collect()
        };
        // Where a day draws when trouble comes, the stretches of the first seed are shaded.
        let shaded = group
            .first()
            .and_then(|c| c.played.first())
            .map_or(Vec::new(), |p| p.troubles.clone());
        let mut plot = |name: &str, title: &str, axis, lines| {
            let name = if groups.len() > 1 {
                format!("{name}-{}", n + 1)
            } else {
                name.into()
            };
            let axes = ("second of the day", axis);
            plots.push((
                name,
                Owned::Lines {
                    title: of(title),
                    axes,
                    lines,
                    shaded: shaded.clone(),
                },
            ));
        };
        let part = |a: u32, b: u32| (f64::from(a), f64::from(b));
        plot(
            "throughput",
            "Throughput",
            "delivered a second",
            lines(&|s| (f64::from(s.delivered), 1.0)),
        );
        plot(
            "latency",
            "Age at delivery",
            "seconds, mean",
            lines(&|s| (s.ages, f64::from(s.delivered))),
        );
        let served = lines(&|s| (s.gained, s.asked));
        plot(
            "recovery",
            "Service, by when messages were due",
            "part of the worth",
            served,
        );
        plot(
            "refusals",
            "Calls refused by partners",
            "part of the calls",
            lines(&|s| part(s.full, s.calls)),
        );
        let cold = lines(&|s| (f64::from(s.cold), 1.0));
        plot(
            "cold",
            "Harm: calls that reach cold partners",
            "calls a second",
            cold,
        );
    }
    if let [across, down] = &plan.factors[..] {
        let rows = down.values.len();
        let scores: Vec<f64> = cells.iter().map(|c| c.mean(|p| p.sum.score).mean).collect();
        plots.push((
            "heat".into(),
            Owned::Heat {
                title: "Score".into(),
                axes: (across.set.clone(), down.set.clone()),
                columns: across.called(),
                rows: down.called(),
                values: Box::new(move |c, r| scores[c * rows + r]),
            },
        ));
    }
    plots
}
