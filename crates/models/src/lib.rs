//! Models in simulated time, exhaustive searches and plain enumerations: they run the decisions of `mallowseam` without
//! sockets, processes or clocks, or work out in another way what these should come to.
//!
//! - [`cold_start`]: all schedulers of a fleet poll a [`discovery_queue`], the discovery service as a queue.
//! - [`membership`]: members on a simulated network, and three of them in every order of events by [`search`].
//! - [`exhaustive_placement`]: every placement of small problems.
//! - [`plots`]: sheets of plots of what models measure.
#![warn(missing_docs)]

pub mod cold_start;
pub mod discovery_queue;
pub mod exhaustive_placement;
pub mod membership;
pub mod plots;
pub mod search;

/// Simulated time in microseconds.
pub type Micros = u64;
