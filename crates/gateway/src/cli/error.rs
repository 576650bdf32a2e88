//! Errors of subcommands and their exit codes.
use super::fleet::FleetError;
use super::plan_parameters::ParameterError;
use crate::control_socket::RequestError;
use crate::error::Error;
use crate::placement::PlacementError;
use crate::snapshot_archive::ArchiveError;
use crate::verify::VerifyError;
use mallowseam_files::text_file::FileError;
use std::fmt::Display;
use std::io;
use std::path::PathBuf;

/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code for an invalid command line, as clap has it, or an invalid file.
const BAD_INPUT: u8 = 2;
/// Exit code if no placement meets all constraints.
const INFEASIBLE: u8 = 3;

/// Error of a subcommand, whose text is printed to standard error.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error("{}: no directive `control` in section `{section}`", file.display())]
    NoControlSocket {
        file: PathBuf,
        section: &'static str,
    },
    #[error(
        "environment variable GW_CONFIG is not set; set it to the path of the configuration file"
    )]
    NoConfiguration,
    #[error("{}", join_lines(.0))]
    PlanParameters(Vec<ParameterError>),
    #[error(transparent)]
    Service(#[from] Error),
    #[error(transparent)]
    IscsiHost(#[from] mallowseam_iscsi_host::Error),
    #[error(transparent)]
    PlatformHost(#[from] mallowseam_platform_host::HostError),
    #[error(transparent)]
    Request(#[from] RequestError),
    #[error("{}: {source}", socket.display())]
    RequestAt {
        socket: PathBuf,
        source: RequestError,
    },
    #[error("invalid answer from the {from}: {source}")]
    Answer {
        from: &'static str,
        source: serde_json::Error,
    },
    #[error(transparent)]
    CurrentDirectory(io::Error),
    #[error(transparent)]
    Placement(#[from] PlacementError),
    #[error(transparent)]
    Archive(#[from] ArchiveError),
    #[error(transparent)]
    Verify(#[from] VerifyError),
    #[error("verification found contradictions or leaked locations")]
    VerificationFailed,
    #[error(transparent)]
    Fleet(#[from] FleetError),
}

/// Joins problems to a text with one line each.
fn join_lines(problems: &[impl Display]) -> String {
    problems
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

impl CommandError {
    /// Returns the exit code of the program.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Placement(PlacementError::Infeasible(_)) => INFEASIBLE,
            CommandError::File(_)
            | CommandError::NoControlSocket { .. }
            | CommandError::NoConfiguration
            | CommandError::PlanParameters(_)
            | CommandError::Placement(_) => BAD_INPUT,
            _ => FAILED,
        }
    }
}
