//! Carries a host's membership protocol over UDP, on the event loop that the host has, and shows its membership table to
//! operators. Decides nothing: the protocol is `mallowseam-fleet`'s.
//!
//! - [`UdpMembership`] is a host's member of the protocol on its socket.
//! - [`query_membership`] asks a running host for its table; [`MembershipSnapshot`] renders and compares tables.
#![warn(missing_docs)]

mod event_log;
mod log_rate_limit;
mod query;
mod snapshot;
mod udp_membership;

pub use query::{QueryError, query_membership};
pub use snapshot::MembershipSnapshot;
pub use udp_membership::UdpMembership;
