//! Errors that end a run of the multi-process testbed.
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A failure of the testbed itself. Wrong behaviour of hosts is not an error: the audit reports it.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// The event poll of the operating system could not be created or used.
    #[error("cannot create or use the event poll: {0}")]
    Poll(#[source] io::Error),
    /// A socket of a simulated peer could not be bound.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// Address of the socket.
        address: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The directory of a run could not be created.
    #[error("cannot create the directory of a run: {0}")]
    Directory(#[source] io::Error),
    /// Every range of loopback addresses is in use by another run.
    #[error("all ranges of loopback addresses are in use by other runs")]
    NoFreeAddresses,
    /// A host process could not be configured or started.
    #[error("cannot configure or start host {host}: {source}")]
    Host {
        /// Index of the host.
        host: u32,
        /// Cause of the failure.
        source: io::Error,
    },
}
