//! Export of snapshots to archive files and import from them. Volumes are read and written through a host, as by any
//! client.
//!
//! - `export`, `import`: the two commands.
//! - `remote_unit`: access to a volume, clone or snapshot through a host, one extent at a time.
//! - `archive_file`: the archive file, whose export is resumed if it is incomplete.
//! - `tree`: query of the snapshot tree at the snapshot catalog.
//! - `error`: errors of exports and imports.
mod archive_file;
mod error;
mod export;
mod import;
mod remote_unit;
mod tree;

pub(crate) use error::ArchiveError;
pub(crate) use export::export;
pub(crate) use import::import;
