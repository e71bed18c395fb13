//! Plots as SVG for reports, and as PNG for pages.

use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::FontTransform;

/// A line of a plot: its name and its points.
pub struct Line {
    /// What it is.
    pub name: String,
    /// Its points; those that are no number are left out.
    pub points: Vec<(f64, f64)>,
}

/// What a plot shows.
pub enum Plot<'a> {
    /// Lines over time, with stretches of trouble behind them.
    Lines {
        /// What is plotted.
        title: &'a str,
        /// What the axes are.
        axes: (&'a str, &'a str),
        /// The lines.
        lines: &'a [Line],
        /// Stretches that are shaded, from and to.
        shaded: &'a [(f64, f64)],
    },
    /// A value for each combination of two factors.
    Heat {
        /// What is plotted.
        title: &'a str,
        /// The factors.
        axes: (&'a str, &'a str),
        /// Their values.
        columns: &'a [String],
        /// See above.
        rows: &'a [String],
        /// The value of a column and a row.
        values: &'a dyn Fn(usize, usize) -> f64,
    },
}

/// Pixels.
const SIZE: (u32, u32) = (860, 340);
const FONT: &str = "sans-serif";

/// A plot that could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("plot: {0}")]
pub struct NoPlot(String);

fn no_plot(e: impl std::fmt::Display) -> NoPlot {
    NoPlot(e.to_string())
}

/// Makes the one font known that the plots are written in.
fn font() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        // It cannot fail for a font that is whole.
        let _ = plotters::style::register_font(
            FONT,
            FontStyle::Normal,
            epaint_default_fonts::UBUNTU_LIGHT,
        );
    });
}

impl Plot<'_> {
    /// As SVG.
    pub fn svg(&self) -> Result<String, NoPlot> {
        font();
        let mut text = String::new();
        self.draw(SVGBackend::with_string(&mut text, SIZE).into_drawing_area())?;
        Ok(text)
    }

    /// As PNG, to a file.
    pub fn png(&self, file: &std::path::Path) -> Result<(), NoPlot> {
        font();
        self.draw(BitMapBackend::new(file, SIZE).into_drawing_area())
    }

    fn draw<D: DrawingBackend>(&self, area: DrawingArea<D, Shift>) -> Result<(), NoPlot> {
        area.fill(&WHITE).map_err(no_plot)?;
        match self {
            Plot::Lines {
                title,
                axes,
                lines,
                shaded,
            } => lines_of(&area, title, axes, lines, shaded)?,
            Plot::Heat {
                title,
                axes,
                columns,
                rows,
                values,
            } => heat(&area, title, axes, (columns, rows), values)?,
        }
        area.present().map_err(no_plot)
    }
}

fn colour(n: usize) -> RGBColor {
    const ALL: [RGBColor; 7] = [
        RGBColor(31, 90, 160),
        RGBColor(200, 80, 30),
        RGBColor(40, 130, 70),
        RGBColor(130, 60, 150),
        RGBColor(110, 110, 110),
        RGBColor(190, 150, 20),
        RGBColor(20, 150, 170),
    ];
    ALL[n % ALL.len()]
}

fn lines_of<D: DrawingBackend>(
    area: &DrawingArea<D, Shift>,
    title: &str,
    axes: &(&str, &str),
    lines: &[Line],
    shaded: &[(f64, f64)],
) -> Result<(), NoPlot> {
    let all = || {
        lines
            .iter()
            .flat_map(|l| &l.points)
            .filter(|p| p.1.is_finite())
    };
    let most = all().fold((1.0f64, 0.0f64), |m, p| (m.0.max(p.0), m.1.max(p.1)));
    let top = if most.1 > 0.0 { most.1 * 1.05 } else { 1.0 };
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, 18))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..most.0, 0.0..top)
        .map_err(no_plot)?;
    let mesh = chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .label_style((FONT, 13))
        .draw();
    mesh.map_err(no_plot)?;
    let bands = shaded.iter().map(|(from, to)| {
        Rectangle::new(
            [(*from, 0.0), (to.max(*from), top)],
            RGBColor(220, 60, 60).mix(0.10).filled(),
        )
    });
    chart.draw_series(bands).map_err(no_plot)?;
    for (n, line) in lines.iter().enumerate() {
        let points = line.points.iter().copied().filter(|p| p.1.is_finite());
        let series = chart
            .draw_series(LineSeries::new(points, colour(n).stroke_width(2)))
            .map_err(no_plot)?;
        series.label(line.name.clone()).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 18, y)], colour(n).stroke_width(2))
        });
    }
    let style = WHITE.mix(0.8);
    let labels = chart
        .configure_series_labels()
        .background_style(style)
        .label_font((FONT, 13))
        .draw();
    labels.map_err(no_plot)
}

fn heat<D: DrawingBackend>(
    area: &DrawingArea<D, Shift>,
    title: &str,
    axes: &(&str, &str),
    (columns, rows): (&[String], &[String]),
    values: &dyn Fn(usize, usize) -> f64,
) -> Result<(), NoPlot> {
    let at = |c: usize, r: usize| values(c, r);
    let all: Vec<f64> = (0..columns.len())
        .flat_map(|c| (0..rows.len()).map(move |r| at(c, r)))
        .collect();
    let (low, high) = all
        .iter()
        .fold((f64::MAX, f64::MIN), |m, v| (m.0.min(*v), m.1.max(*v)));
    let area = area.titled(title, (FONT, 18)).map_err(no_plot)?;
    let (left, top, below) = (110i32, 10i32, 50i32);
    let (width, height) = area.dim_in_pixel();
    let (width, height) = (width as i32 - left - 20, height as i32 - top - below);
    let (wide, tall) = (
        width / columns.len().max(1) as i32,
        height / rows.len().max(1) as i32,
    );
    let text = |word: &str, at: (i32, i32)| {
        let style = (FONT, 13)
            .into_font()
            .transform(FontTransform::None)
            .color(&BLACK);
        area.draw(&Text::new(word.to_string(), at, style))
            .map_err(no_plot)
    };
    for (c, column) in columns.iter().enumerate() {
        let x = left + c as i32 * wide;
        for (r, row) in rows.iter().enumerate() {
            let (y, value) = (top + r as i32 * tall, values(c, r));
            let part = if high > low {
                (value - low) / (high - low)
            } else {
                0.5
            };
            let colour = RGBColor(
                235 - (part * 190.0) as u8,
                240 - (part * 110.0) as u8,
                250 - (part * 60.0) as u8,
            );
            let cell = Rectangle::new([(x, y), (x + wide - 2, y + tall - 2)], colour.filled());
            area.draw(&cell).map_err(no_plot)?;
            text(
                &format!("{value:.3}"),
                (x + wide / 2 - 16, y + tall / 2 - 6),
            )?;
            if c == 0 {
                text(row, (8, y + tall / 2 - 6))?;
            }
        }
        text(column, (x + wide / 2 - 12, top + height + 6))?;
    }
    text(
        &format!("{} (across), {} (down)", axes.0, axes.1),
        (left, top + height + 26),
    )
}
