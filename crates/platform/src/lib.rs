//! The users' HTTP protocol, without I/O. The protocol's names are used only in this package; its interface consists
//! of the scheduler's types.
//!
//! - [`config`]: the configuration that a host reads at its start and again on SIGHUP.
//! - [`settings`]: the settings object of the configuration, which the simulator's wire protocol carries as well.
//! - [`request`]: a client's request: parsing, and writing for a node.
//! - [`response`]: parsing of a node's response, and writing of the host's responses to clients.
//! - [`endpoints`]: the endpoint list, as a full snapshot and as watch events.
//! - [`interner`]: mapping of names on the wire to the scheduler's small indices.
#![warn(missing_docs)]

pub mod config;
pub mod endpoints;
pub mod interner;
pub mod request;
pub mod response;
pub mod settings;

mod field_error;

pub use field_error::FieldError;

/// Message of `expect` for writes to a `Vec`, which cannot fail.
const INFALLIBLE: &str = "writing to memory does not fail";
