//! Carries a host's part in the view of its fleet over UDP, on the loop that the host has, and shows that view to
//! operators. Decides nothing: whom to ask and what to believe is `mallowseam-fleet`'s.
//!
//! - `part`: a host's socket and part. `ask`: the view of a running host, page by page, for whoever asks.
pub mod query;
mod udp_membership;

pub use udp_membership::UdpMembership;
