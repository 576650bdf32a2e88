//! Text files, including configuration files.
use mallowseam_settings::{Diagnostics, GatewayConfig};
use std::io;
use std::path::{Path, PathBuf};

/// Error when a text file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read or is not UTF-8 text.
    #[error("{}: {source}", path.display())]
    Io {
        /// File that cannot be read.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is malformed. The diagnostics list every problem with its line and column.
    #[error("{0}")]
    Malformed(Diagnostics),
}

/// Reads a whole text file.
///
/// # Errors
/// The file cannot be read or is not UTF-8 text.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|source| FileError::Io {
        path: path.to_owned(),
        source,
    })
}

/// Reads and validates a configuration file.
///
/// # Errors
/// The file cannot be read, or the configuration in it is invalid.
pub fn read_configuration(path: &Path) -> Result<GatewayConfig, FileError> {
    let text = read_text(path)?;
    mallowseam_settings::parse(&path.display().to_string(), &text).map_err(FileError::Malformed)
}
