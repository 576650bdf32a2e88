//! Text files, and the configuration among them.
use mallowseam_settings::{Diagnostics, GatewayConfig};
use std::io;
use std::path::{Path, PathBuf};

/// Why a text file could not be read.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be opened or is not text.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The text is not what the file must hold: every problem, with its line and column.
    #[error("{0}")]
    Malformed(Diagnostics),
}

/// Reads a text file.
///
/// # Errors
/// The file cannot be opened or is not text.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|source| FileError::Io {
        path: path.to_owned(),
        source,
    })
}

/// Reads and checks a configuration file.
///
/// # Errors
/// The file cannot be read, or the configuration in it is not sound.
pub fn read_configuration(path: &Path) -> Result<GatewayConfig, FileError> {
    let text = read_text(path)?;
    mallowseam_settings::parse(&path.display().to_string(), &text).map_err(FileError::Malformed)
}
