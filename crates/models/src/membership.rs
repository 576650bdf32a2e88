//! The membership protocol outside of processes: in simulated time, and searched through exhaustively. Both run the
//! code of `mallowseam-fleet` that hosts run.
//!
//! - [`simulation`]: members on a simulated network, seeded.
//! - [`exhaustive`]: three members, with every order of what may happen, for [`crate::search`].
//! - [`measurements`]: cost and accuracy of the protocol by the number of hosts, beside simpler protocols. [`files`]
//!   writes them as a table and plots.
pub mod exhaustive;
pub mod files;
pub mod measurements;
pub mod simulation;
