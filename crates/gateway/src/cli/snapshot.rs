//! `mallowseam snapshot`: snapshots and clones at the snapshot catalog, exports and imports through a host.
use super::control::{Service, send_request};
use super::error::CommandError;
use crate::error::read_configuration;
use crate::snapshot_archive;
use clap::Subcommand;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub(super) enum Command {
    /// Take one: VOLUME@NAME holds every write acknowledged before, none begun after
    Take {
        file: PathBuf,
        volume: String,
        name: String,
    },
    /// Volumes, clones and snapshots, with the LUN of each
    List { file: PathBuf },
    /// Runs of blocks in which two of them may differ
    Diff {
        file: PathBuf,
        one: String,
        other: String,
    },
    /// Make a writable clone of VOLUME@NAME
    Clone {
        file: PathBuf,
        snapshot: String,
        name: String,
    },
    /// Show a volume as it stood at VOLUME@NAME; what came later is given up
    Rollback {
        file: PathBuf,
        volume: String,
        snapshot: String,
    },
    /// Write VOLUME@NAME to a file, compressed and checksummed; a broken one is gone on with
    Export {
        file: PathBuf,
        snapshot: String,
        to: PathBuf,
    },
    /// Write such a file into a volume or clone, which then shows just that
    Import {
        file: PathBuf,
        from: PathBuf,
        name: String,
    },
    /// Delete a snapshot or a clone; its space is given back in the background
    Delete { file: PathBuf, name: String },
}

/// Carries a subcommand out; the text to print.
pub(super) fn execute(command: &Command) -> Result<String, CommandError> {
    match command {
        Command::Take { file, volume, name } => {
            request_of_catalog(file, &format!("snapshot {volume} {name}"))
        }
        Command::List { file } => request_of_catalog(file, "list"),
        Command::Diff { file, one, other } => {
            request_of_catalog(file, &format!("diff {one} {other}"))
        }
        Command::Clone {
            file,
            snapshot,
            name,
        } => request_of_catalog(file, &format!("clone {snapshot} {name}")),
        Command::Rollback {
            file,
            volume,
            snapshot,
        } => request_of_catalog(file, &format!("rollback {volume} {snapshot}")),
        Command::Delete { file, name } => request_of_catalog(file, &format!("delete {name}")),
        Command::Export { file, snapshot, to } => Ok(snapshot_archive::export(
            &read_configuration(file)?,
            snapshot,
            to,
        )?),
        Command::Import { file, from, name } => Ok(snapshot_archive::import(
            &read_configuration(file)?,
            from,
            name,
        )?),
    }
}

fn request_of_catalog(file: &Path, request: &str) -> Result<String, CommandError> {
    send_request(file, Service::SnapshotCatalog, request)
}
