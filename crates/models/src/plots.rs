//! SVG files with one or more plots.
use plotters::prelude::*;
use std::error::Error;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A line of a plot: its label and its points.
pub type Line<'a> = (&'a str, Vec<(f64, f64)>);

/// Scale of the horizontal axis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HorizontalScale {
    /// Linear scale.
    Linear,
    /// Logarithmic scale with base 10.
    Logarithmic,
}

/// Error when a file cannot be written.
#[derive(Debug, Error)]
#[error("{path}: {source}", path = path.display())]
pub struct WriteError {
    /// File that cannot be written, or its directory.
    pub path: PathBuf,
    /// Cause of the error.
    pub source: Box<dyn Error + Send + Sync>,
}

impl WriteError {
    /// Returns a function that converts a cause into the error for `path`.
    pub fn for_path<E: Into<Box<dyn Error + Send + Sync>>>(
        path: &Path,
    ) -> impl Fn(E) -> WriteError + Copy {
        move |source| WriteError {
            path: path.to_owned(),
            source: source.into(),
        }
    }
}

type DrawError = Box<dyn Error + Send + Sync>;

/// Writes plots to an SVG file, one below the other, each with a title and its lines. All of them have the horizontal
/// axis label `horizontal_label`.
///
/// # Errors
/// The file or its directory cannot be written.
pub fn write(
    path: &Path,
    horizontal_label: &str,
    scale: HorizontalScale,
    plots: &[(&str, Vec<Line>)],
) -> Result<(), WriteError> {
    if let Some(dir) = path.parent() {
        std::fs::create_dir_all(dir).map_err(WriteError::for_path(path))?;
    }
    draw_sheet(path, horizontal_label, scale, plots).map_err(WriteError::for_path(path))
}

fn draw_sheet(
    path: &Path,
    horizontal_label: &str,
    scale: HorizontalScale,
    plots: &[(&str, Vec<Line>)],
) -> Result<(), DrawError> {
    let sheet = SVGBackend::new(path, (900, 350 * plots.len() as u32)).into_drawing_area();
    sheet.fill(&WHITE).map_err(as_text)?;
    for ((title, lines), area) in plots.iter().zip(sheet.split_evenly((plots.len(), 1))) {
        draw(&area, title, horizontal_label, scale, lines)?;
    }
    sheet.present().map_err(as_text)
}

/// Converts an error of the plotting library, which borrows from its backend, into an owned one.
fn as_text(error: impl std::fmt::Display) -> DrawError {
    error.to_string().into()
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(
    area: &Area,
    title: &str,
    horizontal_label: &str,
    scale: HorizontalScale,
    lines: &[Line],
) -> Result<(), DrawError> {
    let is_logarithmic = scale == HorizontalScale::Logarithmic;
    let x = |x: f64| {
        if is_logarithmic {
            x.max(1.0).log10()
        } else {
            x
        }
    };
    let points = || lines.iter().flat_map(|line| line.1.iter());
    let top = points().map(|p| p.1).fold(1e-9, f64::max);
    let (from, to) = points()
        .map(|p| x(p.0))
        .fold((f64::MAX, f64::MIN), |(min, max), p| {
            (min.min(p), max.max(p))
        });
    let (from, to) = if from < to { (from, to) } else { (0.0, 1.0) };
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(from..to, 0.0..top * 1.05)
        .map_err(as_text)?;
    let label = |v: &f64| {
        if is_logarithmic {
            format!("{:.0}", 10f64.powf(*v))
        } else {
            format!("{v:.0}")
        }
    };
    chart
        .configure_mesh()
        .x_desc(horizontal_label)
        .x_label_formatter(&label)
        .draw()
        .map_err(as_text)?;
    for (i, (name, values)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = values.iter().map(|(a, b)| (x(*a), *b));
        let drawn = chart
            .draw_series(LineSeries::new(points, color))
            .map_err(as_text)?;
        drawn
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(as_text)
}
