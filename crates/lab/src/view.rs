//! The fleet's view outside of processes: in simulated time, and searched through exhaustively.
//!
//! - `net`: hosts' parts in the view, the very code that hosts run, on a network of figures.
//! - `small`: three of them, with every order of what may happen, for `crate::search`.
//! - `figures`: what it costs and how well it tells, by the number of hosts.
pub mod figures;
pub mod net;
pub mod small;
