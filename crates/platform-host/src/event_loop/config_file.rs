//! Reads the configuration file of the host.
use crate::error::HostError;
use mallowseam_platform::config::{self, HostConfig};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Reads and validates the configuration file.
pub(super) fn read_config(path: &Path) -> Result<HostConfig, HostError> {
    let path = path.to_owned();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(HostError::ReadConfig { path, source }),
    };
    config::parse(&text).map_err(|problems| HostError::InvalidConfig { path, problems })
}

/// The configuration file, and the parts of the running configuration that a reload cannot change.
pub(super) struct ConfigFile {
    path: PathBuf,
    name: String,
    listen: SocketAddr,
}

impl ConfigFile {
    /// Creates the handle of the file from which the running configuration was read.
    pub(super) fn new(path: &Path, config: &HostConfig) -> Self {
        ConfigFile {
            path: path.to_owned(),
            name: config.name.clone(),
            listen: config.listen,
        }
    }

    /// Reads the file again. Returns `None` if it cannot be read or is invalid, after logging the error.
    pub(super) fn read(&self) -> Option<HostConfig> {
        match read_config(&self.path) {
            Ok(config) => Some(config),
            Err(error) => {
                tracing::error!(%error, "configuration rejected");
                None
            }
        }
    }

    /// Logs a warning if a new configuration changes the host's name or listening address, which a reload does not
    /// apply.
    pub(super) fn warn_about_identity(&self, config: &HostConfig) {
        if config.listen != self.listen || config.name != self.name {
            tracing::warn!("another name or address to listen on needs a restart");
        }
    }
}
