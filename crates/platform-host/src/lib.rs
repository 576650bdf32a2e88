//! A storage host on the users' platform: an HTTP/1.1 proxy for block I/O, run by one thread with one event loop on
//! `mio`.
//!
//! Clients and storage nodes use HTTP/1.1; the discovery service streams the endpoint list. The scheduler makes every
//! decision about a block I/O, and `mallowseam-connection-policy` every decision about a connection. This package
//! carries these decisions out on sockets.
//!
//! - `event_loop`: one iteration of the event loop; its submodules handle startup, admission of clients, the endpoint
//!   watch, fleet membership, configuration reload, graceful shutdown, timers and the status log.
//! - `dispatcher`: block I/Os in flight; carries out the scheduler's decisions and reports completed attempts to it.
//! - `clients`, `nodes`, `discovery`: connections of clients, to storage nodes and to the discovery service.
//! - `signals`, `tokens`, `buffers`, `error`: signal pipes, poll tokens, message limits and buffer reuse, errors.
#![warn(missing_docs)]

mod buffers;
mod clients;
mod discovery;
mod dispatcher;
mod error;
mod event_loop;
mod nodes;
mod signals;
mod tokens;

pub use error::HostError;
pub use event_loop::run;
