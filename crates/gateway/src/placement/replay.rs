//! `shares replay`: gain that answers would have had with recorded demand.
use super::answer_file::Answer;
use super::error::PlacementError;
use super::units::{GAIN_SCALE, gain_per_second};
use super::{answer_file, problem_file};
use crate::demand::{self, Interval};
use mallowseam_placement::objective::{VolumeShare, gain_at_demand};
use mallowseam_placement::problem::{MAX_NUMBER, Problem, Volume};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Returns a table with one line per answer: its mean gain per second over all intervals, its gain in the worst
/// interval, and the number of intervals in which no other answer gains more.
pub(crate) fn replay(
    file: &Path,
    record: &Path,
    answers: &[PathBuf],
) -> Result<String, PlacementError> {
    let problem = problem_file::read(file)?;
    let intervals = demand::read(record)?;
    check_volumes(&problem, &intervals, file, record)?;
    if intervals.is_empty() {
        return Err(PlacementError::NoIntervals(record.to_owned()));
    }
    let mut gains: Vec<Vec<i128>> = Vec::new();
    for path in answers {
        let answer = answer_file::read(&problem, path)?;
        gains.push(gains_of(&problem, &answer, &intervals));
    }
    let mut out = format!(
        "{:<28}{:>14}{:>14}{:>10}",
        "answer", "gain a second", "worst", "best in"
    );
    for (path, own) in answers.iter().zip(&gains) {
        let mean = own.iter().sum::<i128>() as f64 / own.len() as f64 / GAIN_SCALE;
        let worst = gain_per_second(*own.iter().min().expect("the record has intervals"));
        let best = (0..own.len())
            .filter(|i| gains.iter().all(|other| other[*i] <= own[*i]))
            .count();
        let name = path.display().to_string();
        write!(out, "\n{name:<28}{mean:>14.3}{worst:>14.3}{best:>10}").expect("writing to memory");
    }
    write!(
        out,
        "\n# {} intervals; gains are computed by the placement model",
        intervals.len()
    )
    .expect("writing to memory");
    Ok(out)
}

fn check_volumes(
    problem: &Problem,
    intervals: &[Interval],
    file: &Path,
    record: &Path,
) -> Result<(), PlacementError> {
    let known = |name: &String| problem.volumes.iter().any(|volume| volume.name == *name);
    let unknown: BTreeSet<&String> = intervals
        .iter()
        .flat_map(|interval| interval.keys())
        .filter(|name| !known(name))
        .collect();
    match unknown.first() {
        None => Ok(()),
        Some(volume) => Err(PlacementError::UnknownVolumeRecorded {
            record: record.to_owned(),
            volume: (*volume).clone(),
            problem: file.to_owned(),
        }),
    }
}

/// Returns the gain of an answer in each interval.
fn gains_of(problem: &Problem, answer: &Answer, intervals: &[Interval]) -> Vec<i128> {
    let share_of = |volume: &Volume| {
        let own = answer
            .shares
            .iter()
            .find(|share| share.volume == volume.name);
        let given = VolumeShare {
            reserved_rate: volume.reserved_rate,
            weight: volume.weight,
        };
        own.map_or(given, |share| VolumeShare {
            reserved_rate: share.reserved_milliunits,
            weight: share.weight,
        })
    };
    let shares: Vec<VolumeShare> = problem.volumes.iter().map(share_of).collect();
    let gain = |interval: &Interval| {
        let requested = |volume: &Volume| {
            (interval.get(&volume.name).copied().unwrap_or(0.0) * 1000.0).min(MAX_NUMBER as f64)
                as u64
        };
        let requested: Vec<u64> = problem.volumes.iter().map(requested).collect();
        gain_at_demand(problem, &answer.placement, &shares, &requested)
    };
    intervals.iter().map(gain).collect()
}
