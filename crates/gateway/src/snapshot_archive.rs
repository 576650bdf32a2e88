//! Exports of snapshots to archive files and imports from them. Volumes are read and written through a host, as any
//! client does.
//!
//! - `export`, `import`: the two commands.
//! - `remote_unit`: a volume, clone or snapshot, read and written an extent at a time.
//! - `archive_file`: the archive on disk, which an export resumes if it is incomplete.
//! - `tree`: the tree of snapshots, as the catalog has it.
//! - `error`: why an export or import failed.
mod archive_file;
mod error;
mod export;
mod import;
mod remote_unit;
mod tree;

pub(crate) use error::ArchiveError;
pub(crate) use export::export;
pub(crate) use import::import;
