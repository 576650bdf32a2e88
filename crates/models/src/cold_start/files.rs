//! Output of the per-second statistics of cold starts as CSV files and plots.
use super::{ColdStartOutcome, Second};
use crate::plots::{self, HorizontalScale, WriteError};
use std::path::Path;

/// Name and results of a cold start.
pub type NamedOutcome<'a> = (&'a str, &'a ColdStartOutcome);

/// Writes the per-second statistics of several cold starts to `dir`: a CSV file for each, named by `name` and the case, and
/// an SVG file with plots of the queued polls and of the hosts with a list.
///
/// # Errors
/// A file cannot be written.
pub fn write(dir: &Path, name: &str, cases: &[NamedOutcome]) -> Result<(), WriteError> {
    std::fs::create_dir_all(dir).map_err(WriteError::for_path(dir))?;
    for (case, outcome) in cases {
        let path = dir.join(format!("{name}-{case}.csv"));
        write_seconds(&path, &outcome.seconds).map_err(WriteError::for_path(dir))?;
    }
    let sheet = [
        ("calls waiting", lines(cases, queued_polls)),
        ("hosts with a list", lines(cases, hosts_with_list)),
    ];
    plots::write(
        &dir.join(format!("{name}.svg")),
        "s",
        HorizontalScale::Linear,
        &sheet,
    )
}

fn write_seconds(path: &Path, seconds: &[Second]) -> Result<(), csv::Error> {
    let mut out = csv::Writer::from_path(path)?;
    seconds
        .iter()
        .try_for_each(|second| out.serialize(second))?;
    Ok(out.flush()?)
}

/// Returns a line for each cold start, with one point per second.
fn lines<'a>(
    cases: &[NamedOutcome<'a>],
    series: fn(&ColdStartOutcome) -> Vec<f64>,
) -> Vec<plots::Line<'a>> {
    let numbered = |outcome| {
        series(outcome)
            .into_iter()
            .enumerate()
            .map(|(s, v)| (s as f64, v))
            .collect()
    };
    cases
        .iter()
        .map(|(name, outcome)| (*name, numbered(outcome)))
        .collect()
}

/// Returns the maximum number of queued polls in each second.
fn queued_polls(outcome: &ColdStartOutcome) -> Vec<f64> {
    outcome.seconds.iter().map(|s| s.queued as f64).collect()
}

/// Returns the number of hosts with a list at the end of each second.
fn hosts_with_list(outcome: &ColdStartOutcome) -> Vec<f64> {
    let mut sum = 0.0;
    let add = |s: &Second| {
        sum += f64::from(s.fresh);
        sum
    };
    outcome.seconds.iter().map(add).collect()
}
