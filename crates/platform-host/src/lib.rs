//! One storage host on the users' platform: a single thread with one event loop on `mio`.
//!
//! Clients and storage nodes use HTTP/1.1, the discovery service streams the endpoint list. Every decision about a
//! block I/O is the scheduler's; every decision about a connection comes from `mallowseam-connection-policy`. This package
//! carries them out on sockets.
//!
//! - `event_loop`: one iteration; in its own files startup, admission of clients, the endpoint watch, the fleet's
//!   membership, configuration reload, graceful shutdown, timers and the status log.
//! - `dispatcher`: the block I/Os in flight; carries out the scheduler's decisions and reports completions.
//! - `clients`, `nodes`, `discovery`: the three kinds of connections.
//! - `signals`, `tokens`, `buffers`, `error`: signal pipes, poll tokens, reused buffers, errors.
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
