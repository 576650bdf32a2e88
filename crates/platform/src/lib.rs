//! The users' protocol, free of I/O. Its names stay in this package; what leaves it are the scheduler's types.
//!
//! - [`config`]: the configuration that a host reads at its start and again on SIGHUP.
//! - [`settings`]: the settings object inside it, which the simulator's wire brings as well.
//! - [`request`]: a client's request, parsed, and the same request as bytes for a node.
//! - [`response`]: a node's response, parsed, and the responses that a host writes to its clients.
//! - [`endpoints`]: the endpoint list, as a full snapshot and as watch events.
//! - [`interner`]: names on the wire to small indices in the scheduler.
#![warn(missing_docs)]

pub mod config;
pub mod endpoints;
pub mod interner;
pub mod request;
pub mod response;
pub mod settings;

mod field_error;

pub use field_error::FieldError;

/// Why writing to a `Vec` can't fail, for `expect`.
const INFALLIBLE: &str = "writing to memory does not fail";
