//! The membership protocol in simulated time and in an exhaustive state search. Both run the code of `mallowseam-fleet`
//! that hosts run.
//!
//! - [`simulation`]: members on a simulated network with seeded randomness.
//! - [`exhaustive`]: states of three members, for [`crate::search`] through every order of events.
//! - [`measurements`]: cost and accuracy by the number of hosts, compared with simpler protocols. [`files`] writes them as
//!   a table and plots.
pub mod exhaustive;
pub mod files;
pub mod measurements;
pub mod simulation;
