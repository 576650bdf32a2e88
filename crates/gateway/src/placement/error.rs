//! Errors of the subcommands of `shares`.
use mallowseam_files::text_file::FileError;
use mallowseam_settings::Diagnostics;
use std::io;
use std::path::PathBuf;

/// Error of a subcommand of `shares`.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlacementError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error("{}: a host sends to volume {volume}, which the file lacks", file.display())]
    UnknownVolumeSent { file: PathBuf, volume: String },
    /// No placement meets all constraints; the text names a set of constraints that contradict each other.
    #[error("{0}")]
    Infeasible(String),
    #[error(
        "no placement meets all constraints; the contradicting constraints could not be determined in time"
    )]
    ContradictionTooLarge,
    #[error("no placement was found in time, and it is not proven that there is none")]
    NotFoundInTime,
    /// Contradictions between the answer and the configuration, one line each.
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
    #[error("{}: record contains no intervals", .0.display())]
    NoIntervals(PathBuf),
}

impl PlacementError {
    /// Returns the error of a file with these problems.
    pub(super) fn malformed(problems: Diagnostics) -> Self {
        PlacementError::File(FileError::Malformed(problems.sorted()))
    }
}
