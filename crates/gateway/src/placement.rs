//! `mallowseam shares`: which nodes volumes are best placed on, worked out ahead of time from a problem file.
//!
//! - `problem_file`, `answer_file`: reading problems and worked-out answers.
//! - `solve`: searching for the best placement, and telling it.
//! - `report`: what a placement means for nodes, against another one, and as migration steps.
//! - `replay`: what answers would have earned with recorded demand.
//! - `apply`: writing an answer into a host's configuration.
mod answer_file;
mod apply;
mod problem_file;
mod replay;
mod report;
mod solve;

pub(crate) use apply::apply;
pub(crate) use replay::replay;
pub(crate) use report::{compare, explain, migration_steps};
pub(crate) use solve::solve;

use crate::error::FileError;
use mallowseam_placement::problem::SCALE;
use mallowseam_settings::Diagnostics;
use std::io;
use std::path::{Path, PathBuf};

/// What a unit's gain is multiplied by inside the model: thousandths of units and of price, parts of a
/// hundred, and `SCALE`.
const GAIN_SCALE: f64 = 1000.0 * 1000.0 * 100.0 * SCALE as f64;

/// Why no answer can be given.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlacementError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error("{}: a host sends to volume {volume}, which the file lacks", file.display())]
    UnknownVolumeSent { file: PathBuf, volume: String },
    /// Proven that nothing fits; the text names the contradiction.
    #[error("{0}")]
    Infeasible(String),
    #[error("nothing fits; the contradiction is too large to be named in time")]
    ContradictionTooLarge,
    #[error("no placement was found in time, and none was proven impossible")]
    NotFoundInTime,
    /// What a configuration contradicts, a line each.
    #[error("{}", .0.join("\n"))]
    Contradicted(Vec<String>),
    #[error("{}: {source}", file.display())]
    Write { file: PathBuf, source: io::Error },
    #[error("{}: volume {volume} is not in {}", record.display(), problem.display())]
    UnknownVolumeRecorded {
        record: PathBuf,
        volume: String,
        problem: PathBuf,
    },
    #[error("{}: no intervals", .0.display())]
    NoIntervals(PathBuf),
}

impl PlacementError {
    fn malformed(problems: Diagnostics) -> Self {
        PlacementError::File(FileError::Malformed(problems.sorted()))
    }
}

fn display_name(path: &Path) -> String {
    path.display().to_string()
}

fn gain_per_second(scaled: i128) -> f64 {
    scaled as f64 / GAIN_SCALE
}

fn data_units(scaled: u128) -> f64 {
    scaled as f64 / SCALE as f64
}
