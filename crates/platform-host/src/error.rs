//! Errors that stop a host.
use mallowseam_platform::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a host could not start, or had to stop.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HostError {
    /// The configuration file could not be read.
    #[error("{}: {source}", path.display())]
    ReadConfig {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration is invalid; one problem a line.
    #[error("{}:\n{problems}", path.display())]
    InvalidConfig {
        /// The file.
        path: PathBuf,
        /// All problems that were found.
        problems: ConfigError,
    },
    /// The limit of descriptors could not be read.
    #[error("descriptors: {0}")]
    DescriptorLimit(#[source] io::Error),
    /// The system allows fewer descriptors than the configuration asks for.
    #[error("limits.sockets: {wanted}, where the system gives {given} descriptors")]
    TooFewDescriptors {
        /// `limits.sockets` of the configuration.
        wanted: u64,
        /// The process's limit.
        given: u64,
    },
    /// The poll could not be set up, or failed.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// Signal handlers could not be registered.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The configured address could not be listened on.
    #[error("listen {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The socket of fleet membership could not be opened.
    #[error("fleet membership: {0}")]
    Fleet(#[source] io::Error),
}
