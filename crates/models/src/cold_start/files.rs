//! The seconds of cases as CSV files and as plots.
use super::{ColdStartOutcome, Second};
use crate::plots::{self, HorizontalScale, WriteError};
use std::path::Path;

/// A case with its name.
pub type NamedOutcome<'a> = (&'a str, &'a ColdStartOutcome);

/// Writes the seconds of several cases as CSV files, and one sheet with two plots: polls waiting, and hosts with a
/// list.
///
/// # Errors
/// A file can't be written.
pub fn write(dir: &Path, name: &str, cases: &[NamedOutcome]) -> Result<(), WriteError> {
    std::fs::create_dir_all(dir).map_err(WriteError::for_path(dir))?;
    for (case, outcome) in cases {
        let path = dir.join(format!("{name}-{case}.csv"));
        write_seconds(&path, &outcome.seconds).map_err(WriteError::for_path(dir))?;
    }
    let sheet = [
        ("calls waiting", lines(cases, polls_waiting)),
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

fn polls_waiting(outcome: &ColdStartOutcome) -> Vec<f64> {
    outcome.seconds.iter().map(|s| s.queued as f64).collect()
}

fn hosts_with_list(outcome: &ColdStartOutcome) -> Vec<f64> {
    let mut sum = 0.0;
    let add = |s: &Second| {
        sum += f64::from(s.fresh);
        sum
    };
    outcome.seconds.iter().map(add).collect()
}
