//! Event loop and connections that all services share.
//!
//! - `event_loop`: polls sockets and calls a [`Service`] until it is asked to stop.
//! - `sockets`: the sockets of a service, and the tokens of its connections.
//! - `host_connections`: the connections of hosts, which carry one JSON object per line.
//! - `operators`: requests of operators on the control socket.
//! - `stop_requests`: whether a signal or an operator has asked the process to stop.
#![warn(missing_docs)]

mod event_loop;
mod host_connections;
mod operators;
mod sockets;
mod stop_requests;

pub use event_loop::{PollError, Service, run};
pub use host_connections::{HostConnection, HostConnections, HostId, Limits};
pub use operators::{Answer, Operators};
pub use sockets::{FIRST_NODE_TOKEN, ListeningSockets, ServiceSockets, SocketEvent};
