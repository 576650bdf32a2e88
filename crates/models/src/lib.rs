//! Models in simulated time, exhaustive searches and brute-force enumerations. They run the decision code of `mallowseam`
//! without sockets, processes or clocks, or compute its expected results independently.
//!
//! - [`cold_start`]: the schedulers of a whole fleet polling a [`discovery_queue`], a queue model of the discovery service.
//! - [`membership`]: the membership protocol on a simulated network, and three members in every order of events by
//!   [`search`].
//! - [`exhaustive_placement`]: enumeration of all placements of small problems.
//! - [`plots`]: SVG plots of measurements.
#![warn(missing_docs)]

pub mod cold_start;
pub mod discovery_queue;
pub mod exhaustive_placement;
pub mod membership;
pub mod plots;
pub mod search;

/// Simulated time in microseconds.
pub type Micros = u64;
