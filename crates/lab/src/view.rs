//! The fleet's view outside of processes: in simulated time, and searched through exhaustively.
//!
//! - `net`: hosts' parts in the view, the very code that hosts run, on a network of figures.
pub mod net;
