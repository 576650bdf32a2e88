//! What a host decides around its block I/Os, free of I/O, clocks and threads. Block I/Os themselves are the
//! scheduler's. Times are milliseconds on the host's own clock.
//!
//! - `door`: which clients are let in and when their connections are ended.
//! - `lines`: when connections to nodes and to the node list service are made and given up.
//! - `parts`: how a client's command is cut into block I/Os, and how their ends make one answer.
pub mod door;
pub mod lines;
pub mod parts;

/// Milliseconds on the host's clock, or a span of them.
pub type Millis = u64;
