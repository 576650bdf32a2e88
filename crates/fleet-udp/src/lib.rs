//! Runs a host's membership protocol over UDP on the host's event loop, and renders its membership table for operators.
//! All decisions of the protocol are made by `mallowseam-fleet`.
//!
//! - [`UdpMembership`] runs the membership protocol of a host on a UDP socket.
//! - [`query_membership`] queries the table of a running host; [`MembershipSnapshot`] renders and compares tables.
#![warn(missing_docs)]

mod event_log;
mod log_rate_limit;
mod query;
mod snapshot;
mod udp_membership;

pub use query::{QueryError, query_membership};
pub use snapshot::MembershipSnapshot;
pub use udp_membership::UdpMembership;
