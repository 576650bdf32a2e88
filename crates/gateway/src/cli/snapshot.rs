//! `mallowseam snapshot`: snapshots and clones at the snapshot catalog, exports and imports through a host.
use super::control::{Service, send_request};
use super::error::CommandError;
use crate::snapshot_archive;
use clap::Subcommand;
use mallowseam_files::text_file::read_configuration;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub(super) enum Command {
    /// Take a snapshot, VOLUME@NAME, of a volume or clone
    ///
    /// The snapshot contains every write that was acknowledged before the request, and none that began after the
    /// snapshot was granted.
    Take {
        /// The snapshot catalog's configuration file
        file: PathBuf,
        /// Name of the volume or clone
        volume: String,
        /// Name of the snapshot, the part after the @
        name: String,
    },
    /// List volumes, clones and snapshots with their LUNs
    List {
        /// The snapshot catalog's configuration file
        file: PathBuf,
    },
    /// Print the ranges of blocks in which two volumes, clones or snapshots may differ
    Diff {
        /// The snapshot catalog's configuration file
        file: PathBuf,
        /// Name of a volume or clone, or a snapshot as VOLUME@NAME
        one: String,
        /// Name of the volume, clone or snapshot to compare with
        other: String,
    },
    /// Create a writable clone of a snapshot
    Clone {
        /// The snapshot catalog's configuration file
        file: PathBuf,
        /// The snapshot, as VOLUME@NAME
        snapshot: String,
        /// Name of the new clone
        name: String,
    },
    /// Reset a volume or clone to one of its snapshots; later writes are discarded
    Rollback {
        /// The snapshot catalog's configuration file
        file: PathBuf,
        /// Name of the volume or clone
        volume: String,
        /// The snapshot, as VOLUME@NAME
        snapshot: String,
    },
    /// Export a snapshot to a compressed, checksummed file; an interrupted export is resumed
    Export {
        /// A configuration file that names the host to read through and the snapshot catalog
        file: PathBuf,
        /// The snapshot, as VOLUME@NAME
        snapshot: String,
        /// The file to write
        to: PathBuf,
    },
    /// Import an exported file into a volume or clone, replacing all its contents
    Import {
        /// A configuration file that names the host to write through and the snapshot catalog
        file: PathBuf,
        /// The exported file
        from: PathBuf,
        /// Name of the volume or clone
        name: String,
    },
    /// Delete a snapshot or clone; its space is reclaimed in the background
    Delete {
        /// The snapshot catalog's configuration file
        file: PathBuf,
        /// Name of the clone, or the snapshot as VOLUME@NAME
        name: String,
    },
}

/// Executes a subcommand and returns the text to print.
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
        Command::Export { file, snapshot, to } => export(file, snapshot, to),
        Command::Import { file, from, name } => import(file, from, name),
        Command::Delete { file, name } => request_of_catalog(file, &format!("delete {name}")),
    }
}

fn request_of_catalog(file: &Path, request: &str) -> Result<String, CommandError> {
    send_request(file, Service::SnapshotCatalog, request)
}

fn export(file: &Path, snapshot: &str, to: &Path) -> Result<String, CommandError> {
    let config = read_configuration(file)?;
    Ok(snapshot_archive::export(&config, snapshot, to)?)
}

fn import(file: &Path, from: &Path, name: &str) -> Result<String, CommandError> {
    let config = read_configuration(file)?;
    Ok(snapshot_archive::import(&config, from, name)?)
}
