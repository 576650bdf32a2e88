//! Models in simulated time, exhaustive searches and plain enumerations: they run the decisions of `mallowseam` without
//! sockets, processes or clocks, or work out in another way what these should come to.
#![warn(missing_docs)]
