//! Errors that stop a host.
use mallowseam_platform::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Error that prevents a host from starting, or stops it.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HostError {
    /// The configuration file could not be read.
    #[error("cannot read configuration file {}: {source}", path.display())]
    ReadConfig {
        /// Path of the configuration file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The configuration is invalid; the text has one line for each problem.
    #[error("invalid configuration file {}:\n{problems}", path.display())]
    InvalidConfig {
        /// Path of the configuration file.
        path: PathBuf,
        /// All problems found in the configuration.
        problems: ConfigError,
    },
    /// The process's limit on file descriptors could not be read.
    #[error("cannot read the limit on file descriptors: {0}")]
    DescriptorLimit(#[source] io::Error),
    /// The system allows fewer file descriptors than the configuration requires.
    #[error(
        "limits.sockets: {wanted}, where the system gives {given} descriptors; \
         lower limits.sockets or raise the hard limit on open files"
    )]
    TooFewDescriptors {
        /// Number of descriptors that `limits.sockets` of the configuration requires.
        wanted: u64,
        /// Number of descriptors that the system allows the process.
        given: u64,
    },
    /// The event poll could not be set up, or failed.
    #[error("event poll failed: {0}")]
    Poll(#[source] io::Error),
    /// Signal handlers could not be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The host could not listen on the configured address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Configured listening address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The datagram socket for fleet membership could not be opened.
    #[error("cannot open the socket for fleet membership: {0}")]
    Fleet(#[source] io::Error),
}
