//! Why a run of the testbed could not go on.
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A failure of the testbed itself; what hosts do wrong is for the audit.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// The operating system's poll could not be created or used.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// A socket of a simulated peer could not be bound.
    #[error("{address}: {source}")]
    Bind {
        /// The address that was to be bound.
        address: SocketAddr,
        /// Why it could not be.
        source: io::Error,
    },
    /// The directory of a run could not be made.
    #[error("directory of a run: {0}")]
    Directory(#[source] io::Error),
    /// Every range of loopback addresses is in use by another run.
    #[error("no free loopback addresses")]
    NoFreeAddresses,
    /// A host process could not be configured or started.
    #[error("host {host}: {source}")]
    Host {
        /// The host's index.
        host: u32,
        /// Why it could not be.
        source: io::Error,
    },
}
