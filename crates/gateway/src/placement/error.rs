//! Why a subcommand of `shares` gives no answer.
use mallowseam_files::text_file::FileError;
use mallowseam_settings::Diagnostics;
use std::io;
use std::path::PathBuf;

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
    /// A file is not what it must be.
    pub(super) fn malformed(problems: Diagnostics) -> Self {
        PlacementError::File(FileError::Malformed(problems.sorted()))
    }
}
