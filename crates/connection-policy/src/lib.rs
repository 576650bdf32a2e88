//! Decisions of a host about its connections, without I/O, clocks or threads.
//!
//! Each type is a state machine: the host's event loop reports each event with its time, and carries out the decision
//! that is returned. The same events at the same times always give the same decisions. Decisions on block I/Os are
//! made by the scheduler.
//!
//! For clients that keep a session open (iSCSI):
//! - [`admission`]: which logins are admitted and when a connection is closed.
//! - [`client_memory`]: how much memory the data of clients may take.
//! - [`request_splitting`]: how a command is split into sub-requests.
//! - [`command_progress`]: how the outcomes of sub-requests are combined into the answer of a command.
//! - [`node_connection`]: when a connection to a storage node is opened and closed.
//! - [`endpoint_list_request`]: when a request for the endpoint list has timed out.
//!
//! For clients that send one request at a time (HTTP):
//! - [`client_connection`]: timeouts of a connection, and which one is evicted when there are too many.
//! - [`executed_requests`]: which ids of side-effecting requests are remembered, so that none is run twice.
//! - [`connection_reserve`]: how many connections are kept for new clients while the others wait for nodes.
//! - `rejection_backoff`: how long a client's next request is left unread after a rejected one.
//! - [`graceful_shutdown`]: how long a host that shuts down admits requests.
//! - [`resource_budget`]: how descriptors and memory are divided between clients and nodes.
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
pub mod client_memory;
pub mod command_progress;
pub mod connection_reserve;
pub mod endpoint_list_request;
pub mod executed_requests;
pub mod graceful_shutdown;
pub mod keep_alive;
pub mod node_connection;
mod rejection_backoff;
pub mod request_splitting;
pub mod resource_budget;
pub mod watch_liveness;
pub mod watch_slots;

/// Time in milliseconds: a point on the host's own clock, or a duration.
pub type Millis = u64;
