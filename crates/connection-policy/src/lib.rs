//! Decisions that a host makes about its connections, free of I/O, clocks and threads.
//!
//! Each type here is a state machine: the host's event loop reports what happened and when, and carries out
//! the decision that is returned. The same events at the same times always give the same decisions. Decisions on block I/Os
//! themselves are the scheduler's.
//!
//! For clients that keep a session open (iSCSI):
//! - [`admission`]: which logins are admitted and when a connection is closed.
//! - [`request_splitting`]: how a command is split into sub-requests.
//! - [`command_progress`]: how the outcomes of sub-requests make one answer.
//! - [`node_connection`]: when a connection to a storage node is opened and closed.
//! - [`endpoint_list_request`]: when a request for the endpoint list has timed out.
//!
//! For clients that send one request at a time (HTTP):
//! - [`client_connection`]: timeouts of a connection, and which one is evicted when there are too many.
//! - `rejection_backoff`: when the next request of a client is read after a rejected one.
//! - [`graceful_shutdown`]: until when a host that shuts down admits requests.
//! - [`resource_budget`]: how descriptors and memory are divided.
//! - [`keep_alive`]: which idle connections to nodes are kept and reused.
//! - [`watch_liveness`], [`watch_slots`]: when a watch of the endpoint list has failed, and what replaces it.
//!
//! ```
//! use mallowseam_connection_policy::client_connection::{ClientConnection, Phase, TimeoutAction};
//!
//! let mut connection = ClientConnection::new(1_000);
//! connection.enter_phase(Phase::InFlight, 1_200);
//! assert!(!connection.may_read(1_300));
//! connection.enter_phase(Phase::Idle, 1_400);
//! assert_eq!(connection.check_timeouts(5_000, None), TimeoutAction::Nothing);
//! assert_eq!(connection.check_timeouts(31_400, None), TimeoutAction::Close);
//! ```
#![warn(missing_docs)]

pub mod admission;
pub mod client_connection;
pub mod command_progress;
pub mod endpoint_list_request;
pub mod graceful_shutdown;
pub mod keep_alive;
pub mod node_connection;
mod rejection_backoff;
pub mod request_splitting;
pub mod resource_budget;
pub mod watch_liveness;
pub mod watch_slots;

/// Milliseconds: a time on the host's own clock, or a span of time.
pub type Millis = u64;
