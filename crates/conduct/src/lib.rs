//! What a host decides around its block I/Os, free of I/O, clocks and threads. Block I/Os themselves are the
//! scheduler's. Times are milliseconds on the host's own clock.
//!
//! - `door`: which clients are let in and when their connections are ended.
//! - `front`: the same for clients that send one request at a time.
//! - `parting`: how descriptors are parted, and which idle connection to a node serves a submit.
//! - `watch`: when a call to the users' node list has failed.
//! - `lines`: when connections to nodes and to the node list service are made and given up.
//! - `parts`: how a client's command is cut into block I/Os, and how their ends make one answer.
pub mod door;
pub mod front;
pub mod lines;
pub mod parting;
pub mod parts;
pub mod watch;

/// Milliseconds on the host's clock, or a span of them.
pub type Millis = u64;
