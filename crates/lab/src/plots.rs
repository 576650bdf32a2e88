//! Sheets of plots, as SVG.
use plotters::prelude::*;
use std::path::Path;

/// A line of a plot: its name and its points.
pub type Line<'a> = (&'a str, Vec<(f64, f64)>);

/// One below the other, each with a title and its lines. `scale`: whether the horizontal one goes by powers of ten.
pub fn write(path: &Path, across: &str, scale: bool, plots: &[(&str, Vec<Line>)]) -> Result<(), String> {
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    if let Some(dir) = path.parent() {
        std::fs::create_dir_all(dir).map_err(|e| failed(&e))?;
    }
    let sheet = SVGBackend::new(path, (900, 350 * plots.len() as u32)).into_drawing_area();
    sheet.fill(&WHITE).map_err(|e| failed(&e))?;
    for ((title, lines), area) in plots.iter().zip(sheet.split_evenly((plots.len(), 1))) {
        draw(&area, title, across, scale, lines).map_err(|e| failed(&e))?;
    }
    sheet.present().map_err(|e| failed(&e))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(area: &Area, title: &str, across: &str, scale: bool, lines: &[Line]) -> Result<(), String> {
    let text = |e: &dyn std::fmt::Display| e.to_string();
    // Points go by powers of ten where the scale does.
    let x = |x: f64| if scale { x.max(1.0).log10() } else { x };
    let points = || lines.iter().flat_map(|l| l.1.iter());
    let most = points().map(|p| p.1).fold(1e-9, f64::max);
    let (from, to) = points().map(|p| x(p.0)).fold((f64::MAX, f64::MIN), |(a, b), p| (a.min(p), b.max(p)));
    let (from, to) = if from < to { (from, to) } else { (0.0, 1.0) };
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(from..to, 0.0..most * 1.05)
        .map_err(|e| text(&e))?;
    let label = |v: &f64| if scale { format!("{:.0}", 10f64.powf(*v)) } else { format!("{v:.0}") };
    chart.configure_mesh().x_desc(across).x_label_formatter(&label).draw().map_err(|e| text(&e))?;
    for (i, (name, values)) in lines.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        let points = values.iter().map(|(a, b)| (x(*a), *b));
        let drawn = chart.draw_series(LineSeries::new(points, colour)).map_err(|e| text(&e))?;
        drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw().map_err(|e| text(&e))
}
