//! Why a subcommand failed, and the exit code that says so.
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

/// The command could not be carried out.
const FAILED: u8 = 1;
/// A command line (clap's own code) or a file is wrong.
const BAD_INPUT: u8 = 2;
/// It is proven that no placement fits.
const INFEASIBLE: u8 = 3;

/// Why a subcommand failed. Its text is what the operator reads.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error("{}: no `control` in section {section}", file.display())]
    NoControlSocket {
        file: PathBuf,
        section: &'static str,
    },
    #[error("GW_CONFIG: names no configuration")]
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
    #[error("the {from}'s answer: {source}")]
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
    #[error("not sound")]
    Unsound,
    #[error(transparent)]
    Fleet(#[from] FleetError),
}

/// One problem a line.
fn join_lines(problems: &[impl Display]) -> String {
    problems
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

impl CommandError {
    /// The exit code of the program.
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
